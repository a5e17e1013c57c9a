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
	"topazfall/internal/takeover"
	"topazfall/internal/upstream"
)

// firstVersionState, firstVersionConnection and firstVersionLimits are the formats of the first version with a
// handover.
type (
	firstVersionState struct {
		List      discovery.HandoverState
		Core      dispatch.HandoverState
		Addresses upstream.HandoverState
	}
	firstVersionConnection struct {
		Proven, Client, More bool
		Begun                *dispatch.InFlightMessage
	}
	firstVersionLimits struct {
		Conns int
		Share float64
	}
)

// roundTrip returns v as the other side decodes it.
func roundTrip[To any](t *testing.T, v any) (to To) {
	require.NoError(t, decode(encode(v), &to))
	return to
}

// Nothing is lost in a handover between this version and the first version with a handover, in either direction.
func TestHandoverWithTheFirstVersion(t *testing.T) {
	list := discovery.HandoverState{Discovery: "127.0.0.1:1", Seq: 41, Hosts: map[string]dispatch.Entry{
		"s-a": {Worker: topazfall.Worker{ID: "s-a", Zone: "hall", Weight: 2}, Addr: "127.0.0.1:2"}}}
	core := dispatch.HandoverState{Known: []string{"one", "tw\xffo"}}
	require.Equal(t, firstVersionState{List: list, Core: core},
		roundTrip[firstVersionState](t, handoverState{List: list, Core: core}))
	require.Equal(t, firstVersionState{List: list, Core: core},
		roundTrip[firstVersionState](t, handoverState{List: list, Core: core, Extension: []byte("later")}))
	require.Equal(t, handoverState{List: list, Core: core},
		roundTrip[handoverState](t, firstVersionState{List: list, Core: core}))
	message := &dispatch.InFlightMessage{Message: exchange.Message{ID: "one", Body: []byte("x")}, Of: "acme",
		Relays: []dispatch.InFlightRelay{{Host: "s-a", Sent: 7}}}
	require.Equal(t, firstVersionConnection{Proven: true, Begun: message},
		roundTrip[firstVersionConnection](t, handoverConnection{Proven: true, Begun: message}))
	require.Equal(t, handoverConnection{Client: true, More: true},
		roundTrip[handoverConnection](t, firstVersionConnection{Client: true, More: true}))
	require.Equal(t, firstVersionLimits{Conns: 3, Share: 0.5},
		roundTrip[firstVersionLimits](t, heldLimits{Conns: 3, Share: 0.5}))
	require.Equal(t, heldLimits{Conns: 3, Share: 0.5},
		roundTrip[heldLimits](t, firstVersionLimits{Conns: 3, Share: 0.5}))
	kinds := []byte{frameHello, frameState, frameReady, frameLimits, frameColdWork, frameKnownIDs, frameConnection}
	require.Equal(t, "hsrkwic", string(kinds))
}

// faultyListener is a listener that returns its errors before it accepts conn.
type faultyListener struct {
	errors []error
	conn   *net.UnixConn
}

func (l *faultyListener) AcceptUnix() (c *net.UnixConn, err error) {
	switch {
	case len(l.errors) > 0:
		err, l.errors = l.errors[0], l.errors[1:]
		return nil, err
	case l.conn != nil:
		c, l.conn = l.conn, nil
		return c, nil
	}
	return nil, net.ErrClosed
}

// A temporary error, such as a lack of descriptors, must not end the accepting of successors: the process could never
// be replaced again.
func TestAcceptSuccessorsAfterTemporaryErrors(t *testing.T) {
	path := t.TempDir() + "/s"
	ln, err := takeover.Listen(path)
	require.NoError(t, err)
	defer ln.Close()
	client, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	require.NoError(t, err)
	defer client.Close()
	conn, err := ln.AcceptUnix()
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		(&handover{socketPath: path}).acceptSuccessors(
			&faultyListener{[]error{syscall.EMFILE, syscall.ECONNABORTED}, conn})
	}()
	_, err = client.Write([]byte("no hello frame"))
	require.NoError(t, err)
	client.SetReadDeadline(time.Now().Add(testTimeout))
	_, err = client.Read(make([]byte, 1))
	require.NotErrorIs(t, err, syscall.ETIMEDOUT)
	require.False(t, isTimeout(err), "the connection was not served: %v", err)
	<-done
}

const testTimeout = 20 * time.Second // long enough for a slow machine

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// A process that waits for successors is distinguished from one that has ended or is ending.
func TestIsServing(t *testing.T) {
	path := t.TempDir() + "/s"
	require.False(t, isServing(path))
	ln, err := takeover.Listen(path)
	require.NoError(t, err)
	require.True(t, isServing(path), "it waits for a first frame")
	go func() {
		for {
			c, err := ln.AcceptUnix()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	require.False(t, isServing(path))
	ln.Close()
	require.False(t, isServing(path))
}

// newHandover returns the handover of a process whose parts are assembled and whose core runs.
func newHandover(t *testing.T) *handover {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	core, workers := startCore(t)
	settings := testSettings()
	c := &config.Config{Sockets: 256, Settings: settings}
	_, in := deriveLimits(c)
	return &handover{config: c, core: core, transport: workers, listener: ln,
		server: frontend.New(ln, core, workers, &settings, in)}
}

// A successor must know which ids are in hand, and what cold workers have been sent, before it admits a message, which
// it does from the limits on.
func TestSuccessorLearnsOfTheLastMomentsFirst(t *testing.T) {
	h := newHandover(t)
	link, successor := linkPair(t)
	require.True(t, h.registerSuccessor(link))
	h.core.HandoverState()
	h.core.AddKnownIDs([]string{"since the state"})
	go h.handleSuccessorFrame(takeover.Frame{Kind: frameReady})
	var kinds []byte
	for len(kinds) < 3 {
		successor.SetReadDeadline(time.Now().Add(testTimeout))
		frame, err := successor.ReadFrame()
		require.NoError(t, err)
		kinds = append(kinds, frame.Kind)
		if frame.Kind == frameKnownIDs {
			var ids []string
			require.NoError(t, decode(frame.Body, &ids))
			require.Equal(t, []string{"since the state"}, ids)
		}
	}
	require.Equal(t, []byte{frameColdWork, frameKnownIDs, frameLimits}, kinds)
}

// testSettings returns settings with one class.
func testSettings() topazfall.Settings {
	return topazfall.Settings{Dispatchers: 1, Tick: 4000,
		Classes: []topazfall.Class{{Name: "job", Deadline: 1e6, Aim: 1e6}},
		Allowed: topazfall.Allowed{Attempts: 4, DialTimeout: 250e3}}
}

// The predecessor's last connection closes: this process may use its place then.
func TestPredecessorReportsNoConnections(t *testing.T) {
	h := newHandover(t)
	h.predecessor = &takeover.Link{}
	for _, limits := range []heldLimits{{Conns: 3, Share: 0.5}, {Share: 0.5}} {
		h.handlePredecessorFrame(takeover.Frame{Kind: frameLimits, Body: encode(limits)}, func() {})
		require.Equal(t, limits, h.predecessorLimits)
	}
}
