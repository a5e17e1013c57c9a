package configsync

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Each drop reason is logged at most once per minLogInterval, with the count since; all drops are counted.
func TestDropsAreLoggedOncePerMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newMetrics()
		unlogged := func(reason DropReason) int64 { return c.unlogged[reason] } // dropped, but not logged yet
		c.drop(ReasonMalformed, 1)
		require.Zero(t, unlogged(ReasonMalformed))
		for range 1000 {
			c.drop(ReasonMalformed, 2)
		}
		require.EqualValues(t, 2000, unlogged(ReasonMalformed))
		c.drop(ReasonTooLarge, 1)
		require.Zero(t, unlogged(ReasonTooLarge), "each reason has its own interval")
		time.Sleep(minLogInterval)
		c.drop(ReasonMalformed, 1)
		require.Zero(t, unlogged(ReasonMalformed))
		require.EqualValues(t, 2002, c.dropped[ReasonMalformed])
		var text bytes.Buffer
		c.write(&text)
		require.Contains(t, text.String(), "app_config_dropped_total{reason=\"form\"} 2002\n")
		require.Contains(t, text.String(), "app_config_dropped_total{reason=\"size\"} 1\n")
	})
}
