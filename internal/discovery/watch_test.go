package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/decide/refresh"
	"topazfall/internal/dispatch"
)

const testTimeout = 20 * time.Second // long, so that no result depends on the machine's speed

// recorder is a ListReceiver that sends each list as text: the id and state of each entry.
type recorder chan string

func (r recorder) ApplyList(kind topazfall.EventKind, entries []dispatch.Entry) {
	if kind == topazfall.ListFailed {
		return
	}
	text := ""
	for _, e := range entries {
		text += fmt.Sprint(e.ID, e.State)
	}
	r <- text
}

func (r recorder) next(t *testing.T) string {
	t.Helper()
	select {
	case text := <-r:
		return text
	case <-time.After(testTimeout):
		require.Fail(t, "no list")
		return ""
	}
}

// pendingCall is a call that the fake server has received and the test has yet to answer.
type pendingCall struct {
	net.Conn
	query     string
	abandoned chan struct{} // closed when the caller has closed the connection
}

func (c pendingCall) answer(t *testing.T, text string) {
	t.Helper()
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	require.NoError(t, err)
}

// fakeServer is a discovery service on loopback. The test answers each call, or leaves it unanswered.
type fakeServer struct {
	net.Listener
	calls chan pendingCall
}

func newFakeServer(t *testing.T) *fakeServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fakeServer{ln, make(chan pendingCall, 99)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			go func() {
				reader, abandoned := bufio.NewReader(nc), make(chan struct{})
				defer close(abandoned)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					s.calls <- pendingCall{Conn: nc, query: req.URL.RequestURI(), abandoned: abandoned}
				}
			}()
		}
	}()
	return s
}

func (s *fakeServer) next(t *testing.T) pendingCall {
	t.Helper()
	select {
	case call := <-s.calls:
		return call
	case <-time.After(testTimeout):
		require.Fail(t, "no call")
		return pendingCall{}
	}
}

func isAbandoned(call pendingCall) bool {
	select {
	case <-call.abandoned:
		return true
	default:
		return false
	}
}

func listJSON(seq int, whole bool, host, health string) string {
	return fmt.Sprintf("{\n \"seq\": %d,\n \"whole\": %v,\n \"hosts\": [\n"+
		"  {\"host\": %q, \"dial\": \"127.0.0.1:1\", \"health\": %q}\n ]\n}", seq, whole, host, health)
}

// pushedSettings are settings with pushed lists. An agent counts as silent if its answer is late by a part of the drain
// grace. The grace is long here, so that an agent on a slow machine does not count as silent.
var pushedSettings = refresh.Settings{Dispatchers: 300, DrainGrace: 2 * time.Second, AskEvery: 10 * time.Second}

func startWatch(t *testing.T, settings refresh.Settings, seq int) (*fakeServer, *Watch, recorder) {
	server, events := newFakeServer(t), make(recorder, 99)
	w := New(server.Addr().String(), events, settings)
	require.Equal(t, 1, w.LoadKnown([]byte(listJSON(seq, true, "a", "up"))))
	require.Equal(t, "a0", events.next(t))
	go w.Run()
	return server, w, events
}

// The first call of a process does not wait for changes, because what the agent has counts as received from then on. It
// is answered at once, and so shows at once that the restored list came from another service.
func TestFirstCallDoesNotWait(t *testing.T) {
	t.Parallel()
	server, _, events := startWatch(t, pushedSettings, 41)
	call := server.next(t)
	require.Equal(t, "/v1/endpoints?after=41&wait_ms=0", call.query)
	call.answer(t, listJSON(7, false, "a", "draining"))
	call = server.next(t)
	require.Equal(t, "/v1/endpoints", call.query)
	call.answer(t, listJSON(7, true, "a", "draining"))
	require.Equal(t, "a1", events.next(t))
	require.Equal(t, "/v1/endpoints?after=7&wait_ms=1000", server.next(t).query)
}

// An agent stops answering an open call, and after its return answers only new calls. Extra calls are made while the
// open one still waits, so that changes are received within the drain grace. If the agent was only slow, the answer to
// the open call is used.
func TestAgentReturnsWhileACallIsHeld(t *testing.T) {
	t.Parallel()
	for _, which := range []string{"extra call answered", "open call answered"} {
		t.Run(which, func(t *testing.T) {
			t.Parallel()
			server, _, events := startWatch(t, pushedSettings, 41)
			call := server.next(t)
			call.answer(t, listJSON(42, false, "a", "up"))
			require.Equal(t, "a0", events.next(t))
			held := server.next(t)
			require.Equal(t, "/v1/endpoints?after=42&wait_ms=1000", held.query)
			extra := server.next(t)
			require.Equal(t, "/v1/endpoints?after=42&wait_ms=0", extra.query)
			require.False(t, isAbandoned(held), "the open call is abandoned before an extra call is made")
			if which == "open call answered" {
				extra = held
			}
			extra.answer(t, listJSON(43, false, "a", "draining"))
			require.Equal(t, "a1", events.next(t))
			for { // the watch continues from version 43
				if call = server.next(t); call.query == "/v1/endpoints?after=43&wait_ms=1000" {
					break
				}
			}
			require.Empty(t, events)
		})
	}
}

// Extra calls beside an unanswered one time out one after the other, and only one is open at a time.
func TestExtraCallsAreSequential(t *testing.T) {
	t.Parallel()
	settings := pushedSettings
	settings.DrainGrace = 400 * time.Millisecond
	server, _, _ := startWatch(t, settings, 41)
	held := server.next(t)
	for range 5 {
		call := server.next(t)
		select {
		case <-call.abandoned:
		case <-time.After(testTimeout):
			require.Fail(t, "the call stays open")
		}
	}
	require.False(t, isAbandoned(held))
}

// A polled discovery gets a call only after the previous one has ended, as each call costs it work.
func TestPolledDiscoveryGetsOneCall(t *testing.T) {
	t.Parallel()
	settings := pushedSettings
	settings.Polled, settings.Dispatchers = true, 1
	server, _, _ := startWatch(t, settings, 41)
	for range 2 {
		call := server.next(t)
		select {
		case <-call.abandoned:
		case <-time.After(testTimeout):
			require.Fail(t, "the call stays open")
		}
		require.Empty(t, server.calls)
	}
}

// An older whole list from the same service is not applied, as it may show draining workers as up. The next call is
// for the whole list again; if its answer is older too, the service has restarted its versions and the list is applied.
func TestOldWholeList(t *testing.T) {
	t.Parallel()
	for _, restarted := range []bool{false, true} {
		server, w, events := startWatch(t, pushedSettings, 41)
		server.next(t).answer(t, listJSON(43, false, "a", "draining"))
		require.Equal(t, "a1", events.next(t))
		call := server.next(t)
		w.Fetch()
		call.answer(t, `{"seq":43,"whole":false,"hosts":[]}`)
		require.Empty(t, events.next(t))
		call = server.next(t)
		require.Equal(t, "/v1/endpoints", call.query)
		call.answer(t, listJSON(42, true, "a", "up"))
		call = server.next(t)
		require.Equal(t, "/v1/endpoints", call.query)
		require.Empty(t, events, "the older list was applied")
		if restarted {
			call.answer(t, listJSON(3, true, "a", "up"))
			require.Equal(t, "a0", events.next(t))
			continue
		}
		call.answer(t, listJSON(43, true, "a", "draining"))
		require.Equal(t, "a1", events.next(t))
		require.Equal(t, "/v1/endpoints?after=43&wait_ms=1000", server.next(t).query)
	}
}

// After a move the versions are those of another service, so a lower one does not mean an older list. Calls to the old
// address are aborted, and answers that still come are dropped.
func TestMoveWhileACallIsHeld(t *testing.T) {
	t.Parallel()
	server, w, events := startWatch(t, pushedSettings, 41)
	server.next(t).answer(t, listJSON(43, false, "a", "up"))
	require.Equal(t, "a0", events.next(t))
	held := server.next(t)
	extra := server.next(t)
	other := newFakeServer(t)
	w.Move(other.Addr().String())
	call := other.next(t)
	require.Equal(t, "/v1/endpoints", call.query)
	for _, old := range []pendingCall{held, extra} {
		select {
		case <-old.abandoned:
		case <-time.After(testTimeout):
			require.Fail(t, "a call to the old address stays open")
		}
		io.WriteString(old, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	}
	call.answer(t, listJSON(2, true, "b", "up"))
	require.Equal(t, "b0", events.next(t))
}

// New settings apply to the running watch: after a change from polling to pushed lists, an extra call is made beside an
// unanswered one.
func TestSettingsChange(t *testing.T) {
	t.Parallel()
	settings := pushedSettings
	settings.Polled, settings.Dispatchers = true, 1
	server, w, _ := startWatch(t, settings, 41)
	call := server.next(t)
	w.UpdateSettings(pushedSettings)
	call.answer(t, listJSON(42, false, "a", "up"))
	held := server.next(t)
	require.Equal(t, "/v1/endpoints?after=42&wait_ms=1000", held.query)
	require.Equal(t, "/v1/endpoints?after=42&wait_ms=0", server.next(t).query)
	require.False(t, isAbandoned(held))
}
