package measure

import (
	"testing"

	"github.com/stretchr/testify/require"

	"topazfall/internal/lab/report"
)

// The measurement of merging runs, and its two bounds have values; whether they are met depends on an idle machine.
func TestMeasureMerge(t *testing.T) {
	r := report.New("dns", 1, "measurement", "figure", "unit")
	require.NoError(t, measureMerge(t.Context(), DNSOptions{}, t.TempDir(), nil, r))
	require.Len(t, r.Bounds, 2)
	for _, b := range r.Bounds {
		require.Positive(t, b.Value)
		t.Log(b)
	}
}
