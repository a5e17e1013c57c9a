package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// All is served until the cut, nothing within it and for a second after it, and then all again. The window of two
// seconds holds 95% of what was served before when it has left all but a tenth of a second of that.
func TestRecovery(t *testing.T) {
	series := newWorthSeries(0, 20*second)
	c := cut{5 * second, 8 * second}
	for at := int64(0); at < 20*second; at += worthStep {
		series.addOffered(at, 2)
		if at < c.from || at >= c.until+second {
			series.addServed(at, 2)
		}
	}
	require.Equal(t, Recovery{ShareBefore: 1, Reached: true, Seconds: 2.9}, series.recovery(c))
	shares := series.bySecond()
	require.Equal(t, []float64{1, 1, 1, 1, 1, 0, 0, 0, 0, 1}, shares[:10])
	series.served = make([]float64, len(series.offered))
	series.addServed(0, 2)
	recovery := series.recovery(c)
	require.False(t, recovery.Reached)
	require.Equal(t, 12.0, recovery.Seconds)
	require.Equal(t, 3*time.Second, recoveryTarget(time.Second))
	require.Equal(t, 15*time.Second, recoveryTarget(30*time.Second))
}

// Over a minute, the quota of a tenant lets its rate through, and what it may send at once.
func TestQuota(t *testing.T) {
	tenant := newTenants(newRandom(1, fleetStream), 100, 50)[0]
	require.InDelta(t, quotaShare*100*0.25, tenant.Quota, 1e-9)
	within := 0
	for at := startTime; at < startTime+60*second; at += 10 * millisecond {
		if tenant.isWithinQuota(at) {
			within++
		}
	}
	require.InDelta(t, 61*tenant.Quota, within, 1)
}
