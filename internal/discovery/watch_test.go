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

const patience = 20 * time.Second // no verdict hangs on how fast a machine is

// told takes the core's place.
type told chan string

func (c told) List(kind topazfall.EventKind, entries []dispatch.Entry) {
	if kind == topazfall.ListBroken {
		return
	}
	text := ""
	for _, e := range entries {
		text += fmt.Sprint(e.ID, e.State)
	}
	c <- text
}

func (c told) next(t *testing.T) string {
	t.Helper()
	select {
	case text := <-c:
		return text
	case <-time.After(patience):
		require.Fail(t, "no list")
		return ""
	}
}

// asked is a call that has come to discovery and waits for the test.
type asked struct {
	net.Conn
	query string
	ended chan struct{} // closed when the caller has given the call up
}

func (a asked) answer(t *testing.T, text string) {
	t.Helper()
	_, err := fmt.Fprintf(a, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	require.NoError(t, err)
}

// discovery stands in for the service on loopback: each call is the test's to answer, or not.
type discovery struct {
	net.Listener
	calls chan asked
}

func newDiscovery(t *testing.T) *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &discovery{ln, make(chan asked, 99)}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			go func() {
				in, ended := bufio.NewReader(nc), make(chan struct{})
				defer close(ended)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					d.calls <- asked{Conn: nc, query: req.URL.RequestURI(), ended: ended}
				}
			}()
		}
	}()
	return d
}

func (d *discovery) next(t *testing.T) asked {
	t.Helper()
	select {
	case a := <-d.calls:
		return a
	case <-time.After(patience):
		require.Fail(t, "no call")
		return asked{}
	}
}

func over(a asked) bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}

func listed(seq int, whole bool, host, health string) string {
	return fmt.Sprintf("{\n \"seq\": %d,\n \"whole\": %v,\n \"hosts\": [\n"+
		"  {\"host\": %q, \"dial\": \"127.0.0.1:1\", \"health\": %q}\n ]\n}", seq, whole, host, health)
}

// pushed are terms under which lists come unasked. The grace is long, lest a slow machine mistakes itself for
// the agent.
var pushed = refresh.Terms{Dispatchers: 300, DrainGrace: 2 * time.Second, AskEvery: 10 * time.Second}

func watching(t *testing.T, terms refresh.Terms, seq int) (*discovery, *Watch, told) {
	d, c := newDiscovery(t), make(told, 99)
	w := New(d.Addr().String(), c, terms)
	require.Equal(t, 1, w.Known([]byte(listed(seq, true, "a", "up"))))
	require.Equal(t, "a0", c.next(t))
	go w.Run()
	return d, w, c
}

// The first call of a process does not wait for news, where what the agent has counts as told from then on:
// it is answered at once, and shows at once where the list that was known is another service's.
func TestFirstCallDoesNotWait(t *testing.T) {
	t.Parallel()
	d, _, c := watching(t, pushed, 41)
	a := d.next(t)
	require.Equal(t, "/v1/endpoints?after=41&wait_ms=0", a.query)
	a.answer(t, listed(7, false, "a", "draining"))
	a = d.next(t)
	require.Equal(t, "/v1/endpoints", a.query)
	a.answer(t, listed(7, true, "a", "draining"))
	require.Equal(t, "a1", c.next(t))
	require.Equal(t, "/v1/endpoints?after=7&wait_ms=1000", d.next(t).query)
}

// An agent falls silent under an open watch, and returns to new calls alone: these are made while the old one
// still waits, so that what it has at its return is here within the grace of a drain. Were it only slow, the
// old call would do.
func TestAgentReturnsWhileACallIsHeld(t *testing.T) {
	t.Parallel()
	for _, which := range []string{"a new call is answered", "the old one is"} {
		t.Run(which, func(t *testing.T) {
			t.Parallel()
			d, _, c := watching(t, pushed, 41)
			a := d.next(t)
			a.answer(t, listed(42, false, "a", "up"))
			require.Equal(t, "a0", c.next(t))
			held := d.next(t)
			require.Equal(t, "/v1/endpoints?after=42&wait_ms=1000", held.query)
			beside := d.next(t)
			require.Equal(t, "/v1/endpoints?after=42&wait_ms=0", beside.query)
			require.False(t, over(held), "the call that was open is given up before another is made")
			if which == "the old one is" {
				beside = held
			}
			beside.answer(t, listed(43, false, "a", "draining"))
			require.Equal(t, "a1", c.next(t))
			for { // the watch goes on from there
				if a = d.next(t); a.query == "/v1/endpoints?after=43&wait_ms=1000" {
					break
				}
			}
			require.Empty(t, c)
		})
	}
}

// Calls beside a silent one end one after the other, and only one is open at a time.
func TestCallsBesideASilentOneAreFew(t *testing.T) {
	t.Parallel()
	terms := pushed
	terms.DrainGrace = 400 * time.Millisecond
	d, _, _ := watching(t, terms, 41)
	held := d.next(t)
	for range 5 {
		a := d.next(t)
		select {
		case <-a.ended:
		case <-time.After(patience):
			require.Fail(t, "it stays open")
		}
	}
	require.False(t, over(held))
}

// Where discovery must be asked, a call is made only when the one before has ended: calls are its work.
func TestAskedDiscoveryGetsOneCall(t *testing.T) {
	t.Parallel()
	terms := pushed
	terms.Asked, terms.Dispatchers = true, 1
	d, _, _ := watching(t, terms, 41)
	for range 2 {
		a := d.next(t)
		select {
		case <-a.ended:
		case <-time.After(patience):
			require.Fail(t, "it stays open")
		}
		require.Empty(t, d.calls)
	}
}

// A whole list that is older than the one held, from the same service, brings back nobody who drains. The
// next call is for the whole list again; who answers that with an older one as well has begun anew.
func TestOldWholeList(t *testing.T) {
	t.Parallel()
	for _, anew := range []bool{false, true} {
		d, w, c := watching(t, pushed, 41)
		d.next(t).answer(t, listed(43, false, "a", "draining"))
		require.Equal(t, "a1", c.next(t))
		a := d.next(t)
		w.Fetch()
		a.answer(t, `{"seq":43,"whole":false,"hosts":[]}`)
		require.Empty(t, c.next(t))
		a = d.next(t)
		require.Equal(t, "/v1/endpoints", a.query)
		a.answer(t, listed(42, true, "a", "up"))
		a = d.next(t)
		require.Equal(t, "/v1/endpoints", a.query)
		require.Empty(t, c, "the old list was taken")
		if anew {
			a.answer(t, listed(3, true, "a", "up"))
			require.Equal(t, "a0", c.next(t))
			continue
		}
		a.answer(t, listed(43, true, "a", "draining"))
		require.Equal(t, "a1", c.next(t))
		require.Equal(t, "/v1/endpoints?after=43&wait_ms=1000", d.next(t).query)
	}
}

// After a move the versions are another service's, and a lower one is no old list. What the old one still has
// to say is dropped, and its calls are ended.
func TestMoveWhileACallIsHeld(t *testing.T) {
	t.Parallel()
	d, w, c := watching(t, pushed, 41)
	d.next(t).answer(t, listed(43, false, "a", "up"))
	require.Equal(t, "a0", c.next(t))
	held := d.next(t)
	beside := d.next(t)
	other := newDiscovery(t)
	w.Move(other.Addr().String())
	a := other.next(t)
	require.Equal(t, "/v1/endpoints", a.query)
	for _, old := range []asked{held, beside} {
		select {
		case <-old.ended:
		case <-time.After(patience):
			require.Fail(t, "a call to the old address stays open")
		}
		io.WriteString(old, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
	}
	a.answer(t, listed(2, true, "b", "up"))
	require.Equal(t, "b0", c.next(t))
}

// Other settings hold for the watch as well: the agent that is called beside a silent call was asked for its
// list before.
func TestTermsChange(t *testing.T) {
	t.Parallel()
	terms := pushed
	terms.Asked, terms.Dispatchers = true, 1
	d, w, _ := watching(t, terms, 41)
	a := d.next(t)
	w.Renew(pushed)
	a.answer(t, listed(42, false, "a", "up"))
	held := d.next(t)
	require.Equal(t, "/v1/endpoints?after=42&wait_ms=1000", held.query)
	require.Equal(t, "/v1/endpoints?after=42&wait_ms=0", d.next(t).query)
	require.False(t, over(held))
}
