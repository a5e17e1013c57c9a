package upstream

import (
	"testing"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/dispatch"
)

func TestParseCallback(t *testing.T) {
	n, known, err := parseCallback(
		[]byte(`{"id":"1","from":"s","state":"returned","load":{"pending":7,"x0":0.4,"odd":1}}`))
	require.NoError(t, err)
	require.True(t, known)
	require.Equal(t, dispatch.Callback{ID: "1", From: "s", State: dispatch.Finished, Outcome: topazfall.Saturated,
		Load: topazfall.Load{Queue: 7, Free: 0.4, Inflight: -1, Util: -1}}, n)

	n, known, err = parseCallback([]byte(`{"id":"1","from":"s","state":"running","share":0.25}`))
	require.NoError(t, err)
	require.True(t, known)
	require.Equal(t, dispatch.Running, n.State)
	require.Equal(t, 0.25, n.Progress)

	for _, load := range []string{`null`, `[]`, `"x0=7"`, `{"x0":"7"}`, `{"x0":null,"pending":[]}`, `{"x0":-3}`,
		`{"x0":1e400}`, `{"x0": NaN, "pending":-Infinity}`} {
		n, known, err = parseCallback([]byte(`{"id":"1","from":"s","state":"done","result":"","load":` + load + `}`))
		require.NoError(t, err, load)
		require.True(t, known && n.Outcome == topazfall.Completed, load)
		require.False(t, n.Load.Free > 0 || n.Load.Queue > 0, "%s: a report that cannot be parsed is left out", load)
	}

	_, known, err = parseCallback([]byte(`{"id":"1","from":"s","state":"paused"}`))
	require.NoError(t, err, "an unknown state of a later protocol is not an error")
	require.False(t, known)
	for _, text := range []string{``, `[]`, `{"id":"1","from":"s","state":"done"}`,
		`{"id":"1","from":"s","state":"done","result":null}`, `{"id":"1","from":"s","state":"done","load":{"x0":NaN}}`,
		`{"id":1,"from":"s","state":"done"}`, `{"id":"1","from":"s"}`,
		`{"id":"1","from":"s","state":"done","result":"`,
		`{"id":"1","from":"s","state":NaN,"load":{"x0":NaN}}`} {
		_, _, err := parseCallback([]byte(text))
		require.Error(t, err, text)
	}
}

func TestLoadReports(t *testing.T) {
	want := topazfall.Load{Queue: 2, Inflight: 7, Free: -1, Util: 0.61}
	require.Equal(t, want, parseLoadHeader([]byte("inflight=7, queue=2,util=0.61,odd,x0=none")))
	require.Equal(t, want, parseLoadBody([]byte(`{"inflight":7,"queue":2,"util":0.61}`)))
	require.Equal(t, want, parseLoadBody([]byte("inflight=7,queue=2,util=0.61")))
	require.Equal(t, topazfall.NoLoad, parseLoadHeader(nil))
}
