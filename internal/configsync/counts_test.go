package configsync

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Each reason is named once in logEvery, with how many there were; all are counted.
func TestReasonsAreNamedOnceAMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCounts()
		waits := func(why DropReason) int64 { return c.unsaid[why] } // what the log has not told yet
		c.drop(ReasonForm, 1)
		require.Zero(t, waits(ReasonForm))
		for range 1000 {
			c.drop(ReasonForm, 2)
		}
		require.EqualValues(t, 2000, waits(ReasonForm))
		c.drop(ReasonSize, 1)
		require.Zero(t, waits(ReasonSize), "another reason has its own")
		time.Sleep(logEvery)
		c.drop(ReasonForm, 1)
		require.Zero(t, waits(ReasonForm))
		require.EqualValues(t, 2002, c.dropped[ReasonForm])
		var text bytes.Buffer
		c.write(&text)
		require.Contains(t, text.String(), "app_config_dropped_total{reason=\"form\"} 2002\n")
		require.Contains(t, text.String(), "app_config_dropped_total{reason=\"size\"} 1\n")
	})
}
