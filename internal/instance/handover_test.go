package instance

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/config"
	"topazfall/internal/discovery"
	"topazfall/internal/dispatch"
	"topazfall/internal/exchange"
	"topazfall/internal/frontend"
	"topazfall/internal/metrics"
	"topazfall/internal/takeover"
	"topazfall/internal/upstream"
)

// formerState, formerConnection and formerHeld are what the first version with a hand-over sends and reads.
type (
	formerState struct {
		List      discovery.Legacy
		Core      dispatch.Legacy
		Addresses upstream.Legacy
	}
	formerConnection struct {
		Proven, Client, More bool
		Begun                *dispatch.Begun
	}
	formerHeld struct {
		Conns int
		Share float64
	}
)

// carried is v as the other side has it.
func carried[To any](t *testing.T, v any) (to To) {
	require.NoError(t, decode(encode(v), &to))
	return to
}

// What a process says to one of the first version with a hand-over, and that to it, loses nothing on the way.
func TestTransferWithTheFormerVersion(t *testing.T) {
	list := discovery.Legacy{Discovery: "127.0.0.1:1", Seq: 41, Hosts: map[string]dispatch.Entry{
		"s-a": {Worker: topazfall.Worker{ID: "s-a", Zone: "hall", Weight: 2}, Addr: "127.0.0.1:2"}}}
	core := dispatch.Legacy{Known: []string{"one", "tw\xffo"}}
	require.Equal(t, formerState{List: list, Core: core},
		carried[formerState](t, handoverState{List: list, Core: core}))
	require.Equal(t, handoverState{List: list, Core: core},
		carried[handoverState](t, formerState{List: list, Core: core}))
	begun := &dispatch.Begun{Message: exchange.Message{ID: "one", Body: []byte("x")}, Of: "acme",
		Relays: []dispatch.BegunRelay{{Host: "s-a", Sent: 7}}}
	require.Equal(t, formerConnection{Proven: true, Begun: begun},
		carried[formerConnection](t, keptConnection{Proven: true, Begun: begun}))
	require.Equal(t, keptConnection{Client: true, More: true},
		carried[keptConnection](t, formerConnection{Client: true, More: true}))
	require.Equal(t, formerHeld{Conns: 3, Share: 0.5}, carried[formerHeld](t, held{Conns: 3, Share: 0.5}))
	require.Equal(t, held{Conns: 3, Share: 0.5}, carried[held](t, formerHeld{Conns: 3, Share: 0.5}))
	kinds := []byte{frameHello, frameState, frameReady, frameHeld, frameKnownIDs, frameConnection}
	require.Equal(t, "hsrkic", string(kinds))
}

// faultyLinks is a listener that has one fault before somebody comes.
type faultyLinks struct {
	faults []error
	comes  *net.UnixConn
}

func (l *faultyLinks) AcceptUnix() (c *net.UnixConn, err error) {
	switch {
	case len(l.faults) > 0:
		err, l.faults = l.faults[0], l.faults[1:]
		return nil, err
	case l.comes != nil:
		c, l.comes = l.comes, nil
		return c, nil
	}
	return nil, net.ErrClosed
}

// A fault of the moment, such as that no descriptor is left, does not end the waiting for successors: the process could
// never be replaced again.
func TestSuccessorsAreMetAfterAFault(t *testing.T) {
	path := t.TempDir() + "/s"
	ln, err := takeover.Listen(path)
	require.NoError(t, err)
	defer ln.Close()
	client, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	require.NoError(t, err)
	defer client.Close()
	comes, err := ln.AcceptUnix()
	require.NoError(t, err)
	met := make(chan struct{})
	go func() {
		defer close(met)
		(&handover{path: path}).acceptSuccessors(&faultyLinks{[]error{syscall.EMFILE, syscall.ECONNABORTED}, comes})
	}()
	_, err = client.Write([]byte("no first word"))
	require.NoError(t, err)
	client.SetReadDeadline(time.Now().Add(patience))
	_, err = client.Read(make([]byte, 1))
	require.NotErrorIs(t, err, syscall.ETIMEDOUT)
	require.False(t, isTimeout(err), "nobody has met it: %v", err)
	<-met
}

const patience = 20 * time.Second // no verdict hangs on how fast a machine is

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// Whether a process waits to be replaced is told from one that has gone, or is about to.
func TestLives(t *testing.T) {
	path := t.TempDir() + "/s"
	require.False(t, lives(path))
	ln, err := takeover.Listen(path)
	require.NoError(t, err)
	require.True(t, lives(path), "it waits for a first word")
	go func() {
		for {
			c, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	require.False(t, lives(path))
	ln.Close()
	require.False(t, lives(path))
}

// The predecessor's last connection goes: its place is this process's then.
func TestPredecessorHoldsNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	s := topazfall.Settings{Dispatchers: 1, Tick: 4000,
		Classes: []topazfall.Class{{Name: "job", Deadline: 1e6, Aim: 1e6}},
		Allowed: topazfall.Allowed{Attempts: 4, DialTimeout: 250e3}}
	counts := &metrics.Metrics{}
	core, err := dispatch.New(s, counts)
	require.NoError(t, err)
	c := &config.Config{Sockets: 256, Settings: s}
	out, in := bounds(c)
	workers := upstream.New(core, upstream.Options{Conns: out, Metrics: counts})
	clients := frontend.New(ln, core, workers, &s, in)
	h := &handover{config: c, workers: workers, clients: clients, predecessor: &takeover.Link{}}
	for _, says := range []held{{Conns: 3, Share: 0.5}, {Share: 0.5}} {
		h.fromPredecessor(takeover.Frame{Kind: frameHeld, Body: encode(says)}, func() {})
		require.Equal(t, says, h.predecessorHolds)
	}
}
