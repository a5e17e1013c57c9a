package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	jsoniter "github.com/json-iterator/go"
	"github.com/stretchr/testify/require"
)

// A missed bound is an error, but only after the report was printed and written to the file.
func TestFinish(t *testing.T) {
	r := New("test", 7, "case", "figure")
	r.AddRow("one", 1.5)
	r.AddBound("kept", 1, 1, "ms")
	file := filepath.Join(t.TempDir(), "r.json")
	var out strings.Builder
	require.NoError(t, r.Finish(&out, file))
	r.AddBound("missed", 1.01, 1, "ms")
	require.ErrorContains(t, r.Finish(&out, file), "1 of 2 bounds")
	require.Contains(t, out.String(), "MISSED")
	require.Contains(t, out.String(), "seed 7")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	var back Report
	require.NoError(t, jsoniter.Unmarshal(text, &back))
	require.Equal(t, 1.5, back.Rows[0]["figure"])
	require.False(t, back.Bounds[1].IsMet())
}

// The same report is the same file to the byte: the values of a row are in the order of their names.
func TestSameFile(t *testing.T) {
	r := New("test", 7, "b", "d", "a", "c")
	r.AddRow(1, 2, 3, 4)
	file := filepath.Join(t.TempDir(), "r.json")
	for range 20 {
		require.NoError(t, r.Finish(&strings.Builder{}, file))
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Contains(t, strings.Join(strings.Fields(string(text)), " "), `{ "a": 3, "b": 1, "c": 4, "d": 2 }`)
	}
}

// A bound that is exceeded on a busy machine is neither met nor missed, but still an error. One that is met counts as
// met on a busy machine too.
func TestInconclusiveBound(t *testing.T) {
	r := New("test", 7, "case")
	r.Bounds = []Bound{{Name: "slow", Value: 2, Max: 1, Inconclusive: "machine too busy"},
		{Name: "fast", Value: 1, Max: 1, Inconclusive: "machine too busy"}}
	var out strings.Builder
	require.ErrorContains(t, r.Finish(&out, ""), "1 of 2 bounds were not judged: slow (machine too busy)")
	require.Contains(t, out.String(), "kept")
	require.NotContains(t, out.String(), "MISSED")
	r.AddBound("wrong", 0.0012, 0, "s")
	require.ErrorContains(t, r.Finish(&out, ""), "1 of 3 bounds were missed: wrong; slow (machine too busy)")
	require.Contains(t, out.String(), "0.0012")
}
