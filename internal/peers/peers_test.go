package peers

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
)

type heard struct {
	from int
	data string
}

type ear chan heard

func (e ear) ReceivePeerMessage(from int, data []byte) { e <- heard{from, string(data)} }

func free(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

func start(t *testing.T, a Addresses) (*Peers, ear) {
	t.Helper()
	e := make(ear, 16)
	p, err := New(a, e)
	require.NoError(t, err)
	done := make(chan struct{})
	go func() { p.Run(); close(done) }()
	t.Cleanup(func() { p.Close(); <-done })
	require.Eventually(t, func() bool { return p.conn.Load() != nil }, 5*time.Second, time.Millisecond)
	return p, e
}

func (e ear) next(t *testing.T) heard {
	t.Helper()
	select {
	case h := <-e:
		return h
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was heard")
		return heard{}
	}
}

func TestWordsReachPeers(t *testing.T) {
	addrs := []string{free(t), free(t)}
	a, _ := start(t, Addresses{addrs[0], addrs, addrs[1]}) // all: here, the other
	b, heardB := start(t, Addresses{addrs[1], addrs, addrs[0]})

	a.Send(1, []byte("one"))
	require.Equal(t, heard{0, "one"}, heardB.next(t))
	a.Send(topazfall.AllPeers, []byte("all"))
	require.Equal(t, heard{0, "all"}, heardB.next(t))

	stranger, err := net.Dial("udp4", addrs[1])
	require.NoError(t, err)
	defer stranger.Close()
	stranger.Write([]byte("from nobody"))
	require.Equal(t, heard{-1, "from nobody"}, heardB.next(t))
	a.Send(7, []byte("to nobody"))
	a.Send(1, make([]byte, largest+1)) // the platform forbids it
	a.Send(1, make([]byte, largest))
	require.Len(t, heardB.next(t).data, largest)
	require.Empty(t, heardB)

	b.Close()
	a.Send(1, []byte("lost")) // to nobody who listens: no more than lost
	a.Send(1, []byte("lost"))
}

// The process that is replaced still has the address.
func TestTakenAddressIsHadLater(t *testing.T) {
	addrs := []string{free(t), free(t)}
	old, err := net.ListenPacket("udp4", addrs[1])
	require.NoError(t, err)
	e := make(ear, 16)
	p, err := New(Addresses{addrs[1], addrs, addrs[0]}, e)
	require.NoError(t, err)
	done := make(chan struct{})
	go func() { p.Run(); close(done) }()
	p.Send(0, []byte("not from the address that counts"))
	time.Sleep(again / 2)
	require.Nil(t, p.conn.Load())
	old.Close()
	require.Eventually(t, func() bool { return p.conn.Load() != nil }, 5*time.Second, time.Millisecond)
	p.Close()
	<-done
}

func TestOddAddressesAreNamed(t *testing.T) {
	for name, a := range map[string]Addresses{
		`peer_listen "x"`:            {"x", nil, "127.0.0.1:1"},
		`peers_all ""`:               {"127.0.0.1:1", nil, ""},
		`peers[1] "127.0.0.1:99999"`: {"127.0.0.1:1", []string{"127.0.0.1:1", "127.0.0.1:99999"}, "127.0.0.1:2"},
	} {
		_, err := New(a, make(ear))
		require.ErrorContains(t, err, name)
	}
}
