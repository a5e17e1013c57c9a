package discoveryserver

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// fetch makes one call on a new connection, without the retries that the HTTP library makes by default.
func fetch(e *Endpoint, query string) (string, error) {
	client := fasthttp.HostClient{Addr: e.Address(), MaxIdemponentCallAttempts: 1}
	status, body, err := client.GetTimeout(nil, "http://"+e.Address()+"/v1/endpoints"+query, 300*time.Millisecond)
	if err == nil && status != fasthttp.StatusOK {
		return "", fasthttp.ErrNoFreeConns
	}
	return string(body), err
}

// Traffic counts at its own endpoint only, and a partition holds it back until it is healed.
func TestEndpointCountsAndPartitions(t *testing.T) {
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
	body, err := fetch(one, "")
	require.NoError(t, err)
	require.Contains(t, body, `"whole":true`)
	traffic := one.Traffic()
	require.GreaterOrEqual(t, traffic.BytesOut, int64(len(body)))
	require.Less(t, traffic.BytesOut, int64(len(body)+300))
	require.Positive(t, traffic.BytesIn)
	require.Zero(t, other.Traffic())
	one.Partition()
	_, err = fetch(one, "")
	require.Error(t, err)
	require.Equal(t, traffic, one.Traffic())
	_, err = fetch(other, "")
	require.NoError(t, err)
	one.Heal()
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, traffic, one.Traffic()) // the call made during the partition is lost, and not answered late
	_, err = fetch(one, "")
	require.NoError(t, err)
}

// peekingConn is a connection that takes 3 bytes at most, and notes what its endpoint has counted when they leave.
type peekingConn struct {
	net.Conn
	endpoint *Endpoint
	counted  int64
}

func (c *peekingConn) Write(p []byte) (int, error) {
	c.counted = c.endpoint.Traffic().BytesOut
	if len(p) > 3 {
		return 3, net.ErrClosed
	}
	return len(p), nil
}

// Bytes are counted before the peer can receive them, and those that a broken connection did not take are not.
func TestBytesAreCountedBeforeTheyLeave(t *testing.T) {
	s, err := Start()
	require.NoError(t, err)
	defer s.Close()
	e, err := s.AddEndpoint()
	require.NoError(t, err)
	defer e.Close()
	wire := &peekingConn{endpoint: e}
	conn := &countingConn{wire, e}
	_, err = conn.Write([]byte("abc"))
	require.NoError(t, err)
	require.EqualValues(t, 3, wire.counted)
	_, err = conn.Write([]byte("defgh"))
	require.Error(t, err)
	require.EqualValues(t, 6, e.Traffic().BytesOut)
}

// A change is in the next answer, whichever version the caller has: no cached answer of an earlier version is served.
func TestAnswersFollowChanges(t *testing.T) {
	s, err := Start()
	require.NoError(t, err)
	defer s.Close()
	e, err := s.AddEndpoint()
	require.NoError(t, err)
	defer e.Close()
	s.Update(Entry{Host: "a", Share: 1}) // version 2
	for _, query := range []string{"", "?after=1", "?after=1"} {
		body, err := fetch(e, query)
		require.NoError(t, err)
		require.Contains(t, body, `"share":1`)
	}
	s.Update(Entry{Host: "a", Share: 2}, Entry{Host: "b", Share: 1})
	for _, query := range []string{"", "?after=1", "?after=2"} {
		body, err := fetch(e, query)
		require.NoError(t, err)
		require.Contains(t, body, `"share":2`)
		require.Contains(t, body, `"host":"b"`)
	}
	body, err := fetch(e, "?after=3")
	require.NoError(t, err)
	require.Contains(t, body, `"hosts":[]`)
}
