package peers

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
)

type received struct {
	from int
	data string
}

type fakeReceiver chan received

func (e fakeReceiver) ReceivePeerMessage(from int, data []byte) { e <- received{from, string(data)} }

func freeAddr(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

func start(t *testing.T, a Addresses) (*Peers, fakeReceiver) {
	t.Helper()
	e := make(fakeReceiver, 16)
	p, err := New(a, e)
	require.NoError(t, err)
	done := make(chan struct{})
	go func() { p.Run(); close(done) }()
	t.Cleanup(func() { p.Close(); <-done })
	require.Eventually(t, func() bool { return p.conn.Load() != nil }, 5*time.Second, time.Millisecond)
	return p, e
}

func (e fakeReceiver) next(t *testing.T) received {
	t.Helper()
	select {
	case h := <-e:
		return h
	case <-time.After(5 * time.Second):
		t.Fatal("no message was received")
		return received{}
	}
}

func TestMessagesReachPeers(t *testing.T) {
	addrs := []string{freeAddr(t), freeAddr(t)}
	a, _ := start(t, Addresses{addrs[0], addrs, addrs[1]}) // All is only the other dispatcher here
	b, receivedB := start(t, Addresses{addrs[1], addrs, addrs[0]})

	a.Send(1, []byte("one"))
	require.Equal(t, received{0, "one"}, receivedB.next(t))
	a.Send(topazfall.AllPeers, []byte("all"))
	require.Equal(t, received{0, "all"}, receivedB.next(t))

	stranger, err := net.Dial("udp4", addrs[1])
	require.NoError(t, err)
	defer stranger.Close()
	stranger.Write([]byte("from nobody"))
	require.Equal(t, received{-1, "from nobody"}, receivedB.next(t))
	a.Send(7, []byte("to nobody"))
	a.Send(1, make([]byte, maxDatagramSize+1)) // larger than the platform allows
	a.Send(1, make([]byte, maxDatagramSize))
	require.Len(t, receivedB.next(t).data, maxDatagramSize)
	require.Empty(t, receivedB)

	b.Close()
	a.Send(1, []byte("lost")) // without a listener the message is just lost
	a.Send(1, []byte("lost"))
}

// The predecessor still has the address: it is bound once the predecessor frees it.
func TestBusyAddressIsBoundLater(t *testing.T) {
	addrs := []string{freeAddr(t), freeAddr(t)}
	old, err := net.ListenPacket("udp4", addrs[1])
	require.NoError(t, err)
	e := make(fakeReceiver, 16)
	p, err := New(Addresses{addrs[1], addrs, addrs[0]}, e)
	require.NoError(t, err)
	done := make(chan struct{})
	go func() { p.Run(); close(done) }()
	p.Send(0, []byte("not from the address that counts"))
	time.Sleep(retryInterval / 2)
	require.Nil(t, p.conn.Load())
	old.Close()
	require.Eventually(t, func() bool { return p.conn.Load() != nil }, 5*time.Second, time.Millisecond)
	p.Close()
	<-done
}

func TestInvalidAddressIsNamedInError(t *testing.T) {
	for name, a := range map[string]Addresses{
		`peer_listen "x"`:            {"x", nil, "127.0.0.1:1"},
		`peers_all ""`:               {"127.0.0.1:1", nil, ""},
		`peers[1] "127.0.0.1:99999"`: {"127.0.0.1:1", []string{"127.0.0.1:1", "127.0.0.1:99999"}, "127.0.0.1:2"},
	} {
		_, err := New(a, make(fakeReceiver))
		require.ErrorContains(t, err, name)
	}
}
