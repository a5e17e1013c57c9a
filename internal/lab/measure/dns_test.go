package measure

import (
	"testing"

	"github.com/stretchr/testify/require"

	"topazfall/internal/lab/report"
)

// measureMerge adds two bounds with positive values. The test does not check that they are met, which takes an idle
// machine.
func TestMeasureMerge(t *testing.T) {
	r := report.New("dns", 1, "measurement", "figure", "unit")
	require.NoError(t, measureMerge(t.Context(), DNSOptions{}, t.TempDir(), nil, r))
	require.Len(t, r.Bounds, 2)
	for _, b := range r.Bounds {
		require.Positive(t, b.Value)
		t.Log(b)
	}
}
