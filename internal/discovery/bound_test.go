package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/decide/refresh"
)

// Hold notes in line with the lists whether they may be relied on.
func (c told) Hold(held bool) { c <- map[bool]string{true: "held", false: "released"}[held] }

// refused is the answer to a call that is turned away.
const refused = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n"

// turn is how long a call waits for its turn before it is turned away, as by a discovery that is at work and has no
// room.
const turn = 550 * time.Millisecond

// refuse turns a call away after a wait for its turn.
func (a asked) refuse(t *testing.T, retryAfter string) {
	t.Helper()
	time.Sleep(turn)
	a.refuseAtOnce(t, retryAfter)
}

// refuseAtOnce turns a call away as a discovery does that is down.
func (a asked) refuseAtOnce(t *testing.T, retryAfter string) {
	t.Helper()
	_, err := fmt.Fprintf(a, refused, retryAfter)
	require.NoError(t, err)
}

// askedTerms are terms of 300 dispatchers that must ask, with this bound on the age of the list. Short bounds
// spare time.
func askedTerms(bound time.Duration) refresh.Terms {
	return refresh.Terms{Dispatchers: 300, Asked: true, DrainGrace: 250 * time.Millisecond, AskEvery: bound / 4,
		HoldOnRefusal: true}
}

// bounded is a watch whose lists and holds come to one channel.
func bounded(t *testing.T, terms refresh.Terms) (*discovery, *Watch, told) {
	d, c := newDiscovery(t), make(told, 99)
	w := New(d.Addr().String(), c, terms)
	w.SetHolder(c)
	require.Equal(t, 1, w.Known([]byte(listed(41, true, "a", "up"))))
	require.Equal(t, "a0", c.next(t))
	go w.Run()
	return d, w, c
}

// refuseFor refuses all calls for so long, and returns how many there were.
func (d *discovery) refuseFor(long time.Duration, retryAfter string) (calls int) {
	for over := time.After(long); ; calls++ {
		select {
		case a := <-d.calls: // the last may be turned away after this returns
			go func() {
				time.Sleep(turn)
				fmt.Fprintf(a, refused, retryAfter)
			}()
		case <-over:
			return calls
		}
	}
}

// Every call is refused, and asks to stay away for longer than the bound: the watch calls again in time, the
// list is held to be good up to the bound and no longer, and the news that comes then is told before anything
// may be sent again. A refusal after that is a hiccup.
func TestRefusedBeyondTheBound(t *testing.T) {
	t.Parallel()
	bound := 2 * time.Second
	d, w, c := bounded(t, askedTerms(bound))
	require.GreaterOrEqual(t, d.refuseFor(bound-100*time.Millisecond-w.now(), "60"), 2)
	require.Empty(t, c, "held back before the bound")
	require.Positive(t, d.refuseFor(time.Second, "60"), "no call while the list may not be relied on")
	require.Equal(t, "held", c.next(t))
	require.Empty(t, c)

	a := d.next(t)
	require.Equal(t, "/v1/endpoints?after=41&wait_ms=0", a.query)
	a.answer(t, listed(43, false, "a", "draining"))
	require.Equal(t, "a1", c.next(t))
	require.Equal(t, "released", c.next(t))
	a = d.next(t)
	require.Equal(t, fmt.Sprintf("/v1/endpoints?after=43&wait_ms=%d", askedTerms(bound).WatchWait().Milliseconds()),
		a.query)
	a.refuse(t, "")
	a = d.next(t)
	require.Equal(t, "/v1/endpoints?after=43&wait_ms=0", a.query)
	a.answer(t, listed(43, false, "a", "draining"))
	require.Equal(t, "a1", c.next(t))
	require.Empty(t, c)
}

// The version changes, twice, while a retry waits: the retry brings both changes, well before the bound.
func TestVersionChangesWhileARetryWaits(t *testing.T) {
	t.Parallel()
	d, w, c := bounded(t, askedTerms(refresh.Told))
	d.next(t).refuse(t, "0.5")
	a := d.next(t)
	require.Less(t, w.now(), refresh.Told)
	require.Equal(t, "/v1/endpoints?after=41&wait_ms=0", a.query)
	a.answer(t, `{"seq":43,"whole":false,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"draining"},
		{"host":"b","dial":"127.0.0.1:2","health":"up"}]}`)
	require.Equal(t, "a1b0", c.next(t))
	require.Equal(t, "/v1/endpoints?after=43&wait_ms=1000", d.next(t).query)
	require.Empty(t, c)
}

// Discovery that is silent cannot be reached, and the old list serves on for as long as that lasts. With its
// first word, a refusal, the bound begins, at the last call that it did not answer.
func TestSilentThenRefusing(t *testing.T) {
	t.Parallel()
	bound := 4 * time.Second
	d, w, c := bounded(t, askedTerms(bound))
	var begun time.Duration
	for w.now() < 2*bound {
		a := d.next(t)
		begun = w.now()
		select {
		case <-a.ended:
		case <-time.After(patience):
			require.Fail(t, "it is not given up")
		}
	}
	require.Empty(t, c, "held back while discovery cannot be reached")
	d.refuseFor(begun+bound-200*time.Millisecond-w.now(), "")
	require.Empty(t, c, "held back before the bound")
	d.refuseFor(time.Second, "")
	require.Equal(t, "held", c.next(t))
}

// A discovery that is down and refuses all at once is no reason to hold back; once it lets a call wait for its turn and
// turns it away, the bound begins.
func TestRefusedAtOnceThenAfterATurn(t *testing.T) {
	t.Parallel()
	bound := 3 * time.Second
	d, w, c := bounded(t, askedTerms(bound))
	for w.now() < 2*bound {
		d.next(t).refuseAtOnce(t, "60")
	}
	require.Empty(t, c, "held back while discovery is down")
	d.refuseFor(bound+time.Second, "60")
	require.Equal(t, "held", c.next(t))
}

// Where refusals may come from a discovery that is down they hold nothing back, also after a wait.
func TestRefusedByDefault(t *testing.T) {
	t.Parallel()
	terms := askedTerms(2 * time.Second)
	terms.HoldOnRefusal = false
	d, _, c := bounded(t, terms)
	require.Greater(t, d.refuseFor(6*time.Second, "60"), 2)
	require.Empty(t, c)
}

// Where lists are pushed nothing is held back, however the agent fails.
func TestPushedListsAreNotHeldBack(t *testing.T) {
	t.Parallel()
	terms := askedTerms(time.Second)
	terms.Asked = false
	d, _, c := bounded(t, terms)
	d.refuseFor(3*time.Second, "60")
	require.Empty(t, c)
}

// A watch that is answered after its wait holds nothing back.
func TestWaitingWatchIsNotHeldBack(t *testing.T) {
	t.Parallel()
	terms := askedTerms(3 * time.Second)
	d, _, c := bounded(t, terms)
	d.next(t).answer(t, `{"seq":41,"whole":false,"hosts":[]}`)
	require.Empty(t, c.next(t))
	for range 12 {
		a := d.next(t)
		require.Equal(t, "/v1/endpoints?after=41&wait_ms=500", a.query)
		time.Sleep(terms.WatchWait())
		a.answer(t, `{"seq":41,"whole":false,"hosts":[]}`)
		require.Empty(t, c.next(t))
	}
	require.Empty(t, c)
}

// A move ends no hold, as nothing has been read by it; the first list from the new address does. Nor does it
// begin another time: what was refused at the old address counts on.
func TestMoveWhileHeld(t *testing.T) {
	t.Parallel()
	for _, before := range []time.Duration{2 * time.Second, 6 * time.Second} {
		d, w, c := bounded(t, askedTerms(4*time.Second))
		d.refuseFor(before, "")
		other := newDiscovery(t)
		w.Move(other.Addr().String())
		a := other.next(t)
		require.Equal(t, "/v1/endpoints", a.query)
		require.Equal(t, "held", c.next(t))
		if before < 4*time.Second { // the first call was given up meanwhile
			a = other.next(t)
		}
		a.answer(t, listed(2, true, "b", "up"))
		require.Equal(t, "b0", c.next(t))
		require.Equal(t, "released", c.next(t))
	}
}

// Settings by which lists are pushed end a hold at once, and such by which they are asked for begin one.
func TestTermsChangeWhileHeld(t *testing.T) {
	t.Parallel()
	terms := askedTerms(3 * time.Second)
	d, w, c := bounded(t, terms)
	d.refuseFor(4*time.Second, "")
	require.Equal(t, "held", c.next(t))
	other := terms
	other.Asked = false
	w.Renew(other)
	require.Equal(t, "released", c.next(t))
	w.Renew(terms)
	require.Equal(t, "held", c.next(t))
}

// A process that takes another's place takes over its bound as well.
func TestHoldIsInherited(t *testing.T) {
	t.Parallel()
	terms := askedTerms(refresh.Told)
	d, w, c := bounded(t, terms)
	require.False(t, w.Legacy().Unread.Reachable)
	d.refuseFor(4500*time.Millisecond, "")
	require.Empty(t, c)
	old := w.Legacy()
	require.True(t, old.Unread.Reachable)
	require.GreaterOrEqual(t, old.Unread.For, 4*time.Second)

	heard := make(told, 99)
	heir := New(d.Addr().String(), heard, terms)
	heir.SetHolder(heard)
	require.Equal(t, 1, heir.Inherit(old))
	require.Equal(t, "a0", heard.next(t))
	go heir.Run()
	d.refuseFor(2*time.Second, "")
	require.Equal(t, "held", heard.next(t))
	require.Less(t, heir.now(), 4500*time.Millisecond, "it took another whole bound")
}

// Without a holder the watch goes on as well, and waits for its calls.
func TestNoHolder(t *testing.T) {
	t.Parallel()
	d, c := newDiscovery(t), make(told, 99)
	w := New(d.Addr().String(), c, askedTerms(3*time.Second))
	require.Equal(t, 1, w.Known([]byte(listed(41, true, "a", "up"))))
	require.Equal(t, "a0", c.next(t))
	go w.Run()
	d.refuseFor(4*time.Second, "")
	require.Empty(t, c)
	d.next(t).answer(t, listed(42, false, "a", "up"))
	require.Equal(t, "a0", c.next(t))
}
