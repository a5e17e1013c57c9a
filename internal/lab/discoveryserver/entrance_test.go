package discoveryserver

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// call asks once, on a connection of its own: the library would ask again by itself.
func call(e *Endpoint, query string) (string, error) {
	client := fasthttp.HostClient{Addr: e.Address(), MaxIdemponentCallAttempts: 1}
	status, body, err := client.GetTimeout(nil, "http://"+e.Address()+"/v1/endpoints"+query, 300*time.Millisecond)
	if err == nil && status != fasthttp.StatusOK {
		return "", fasthttp.ErrNoFreeConns
	}
	return string(body), err
}

// What one entrance's callers are sent counts there alone, and a cut keeps it from them until it heals.
func TestEntranceCountsAndCuts(t *testing.T) {
	s, err := Start()
	require.NoError(t, err)
	defer s.Close()
	s.Update(Entry{Host: "a", Share: 1})
	one, err := s.AddEndpoint()
	require.NoError(t, err)
	defer one.Close()
	other, err := s.AddEndpoint()
	require.NoError(t, err)
	defer other.Close()
	body, err := call(one, "")
	require.NoError(t, err)
	require.Contains(t, body, `"whole":true`)
	traffic := one.Traffic()
	require.GreaterOrEqual(t, traffic.BytesOut, int64(len(body)))
	require.Less(t, traffic.BytesOut, int64(len(body)+300))
	require.Positive(t, traffic.BytesIn)
	require.Zero(t, other.Traffic())
	one.Partition()
	_, err = call(one, "")
	require.Error(t, err)
	require.Equal(t, traffic, one.Traffic())
	_, err = call(other, "")
	require.NoError(t, err)
	one.Heal()
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, traffic, one.Traffic()) // what was asked during the cut is lost, and not answered late
	_, err = call(one, "")
	require.NoError(t, err)
}

// A change shows in the next answer, whichever version is asked from: nothing kept of the version before is served.
func TestAnswersFollowChanges(t *testing.T) {
	s, err := Start()
	require.NoError(t, err)
	defer s.Close()
	e, err := s.AddEndpoint()
	require.NoError(t, err)
	defer e.Close()
	s.Update(Entry{Host: "a", Share: 1}) // version 2
	for _, query := range []string{"", "?after=1", "?after=1"} {
		body, err := call(e, query)
		require.NoError(t, err)
		require.Contains(t, body, `"share":1`)
	}
	s.Update(Entry{Host: "a", Share: 2}, Entry{Host: "b", Share: 1})
	for _, query := range []string{"", "?after=1", "?after=2"} {
		body, err := call(e, query)
		require.NoError(t, err)
		require.Contains(t, body, `"share":2`)
		require.Contains(t, body, `"host":"b"`)
	}
	body, err := call(e, "?after=3")
	require.NoError(t, err)
	require.Contains(t, body, `"hosts":[]`)
}
