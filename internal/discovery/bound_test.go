package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/decide/refresh"
)

// SetHold records the start or the end of a hold, in order with the lists. A hold begins when the list passes its
// staleness bound; nothing new may then be sent to any worker.
func (r recorder) SetHold(held bool) { r <- map[bool]string{true: "held", false: "released"}[held] }

// refusalFormat is the answer to a refused call, with the value of its Retry-After field left open.
const refusalFormat = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n"

// queueWait is how long a call waits in the queue before it is refused, as by a discovery that works but has no free
// capacity.
const queueWait = 550 * time.Millisecond

// refuseAfterWait refuses a call after a wait in the queue.
func (c pendingCall) refuseAfterWait(t *testing.T, retryAfter string) {
	t.Helper()
	time.Sleep(queueWait)
	c.refuseAtOnce(t, retryAfter)
}

// refuseAtOnce refuses a call as a discovery that is down does.
func (c pendingCall) refuseAtOnce(t *testing.T, retryAfter string) {
	t.Helper()
	_, err := fmt.Fprintf(c, refusalFormat, retryAfter)
	require.NoError(t, err)
}

// polledSettings returns the settings of 300 dispatchers that poll, with this staleness bound. Short bounds keep the
// tests short.
func polledSettings(bound time.Duration) refresh.Settings {
	return refresh.Settings{Dispatchers: 300, Polled: true, DrainGrace: 250 * time.Millisecond, AskEvery: bound / 4,
		HoldOnRefusal: true}
}

// startBoundedWatch starts a watch whose lists and holds go to one channel.
func startBoundedWatch(t *testing.T, settings refresh.Settings) (*fakeServer, *Watch, recorder) {
	server, events := newFakeServer(t), make(recorder, 99)
	w := New(server.Addr().String(), events, settings)
	w.SetHoldReceiver(events)
	require.Equal(t, 1, w.LoadKnown([]byte(listJSON(41, true, "a", "up"))))
	require.Equal(t, "a0", events.next(t))
	go w.Run()
	return server, w, events
}

// refuseAllFor refuses all calls for a duration and returns their number.
func (s *fakeServer) refuseAllFor(duration time.Duration, retryAfter string) (calls int) {
	for deadline := time.After(duration); ; calls++ {
		select {
		case call := <-s.calls: // the last may be refused after this returns
			go func() {
				time.Sleep(queueWait)
				fmt.Fprintf(call, refusalFormat, retryAfter)
			}()
		case <-deadline:
			return calls
		}
	}
}

// Every call is refused with a Retry-After beyond the bound. The watch retries in time, the list is relied on up to the
// bound and no longer, and the changes that come then are delivered before the hold ends. A single refusal after that
// causes no hold.
func TestRefusedBeyondTheBound(t *testing.T) {
	t.Parallel()
	bound := 2 * time.Second
	server, w, events := startBoundedWatch(t, polledSettings(bound))
	require.GreaterOrEqual(t, server.refuseAllFor(bound-100*time.Millisecond-w.now(), "60"), 2)
	require.Empty(t, events, "held before the bound")
	require.Positive(t, server.refuseAllFor(time.Second, "60"), "no call during the hold")
	require.Equal(t, "held", events.next(t))
	require.Empty(t, events)

	call := server.next(t)
	require.Equal(t, "/v1/endpoints?after=41&wait_ms=0", call.query)
	call.answer(t, listJSON(43, false, "a", "draining"))
	require.Equal(t, "a1", events.next(t))
	require.Equal(t, "released", events.next(t))
	call = server.next(t)
	require.Equal(t, fmt.Sprintf("/v1/endpoints?after=43&wait_ms=%d", polledSettings(bound).WatchWait().Milliseconds()),
		call.query)
	call.refuseAfterWait(t, "")
	call = server.next(t)
	require.Equal(t, "/v1/endpoints?after=43&wait_ms=0", call.query)
	call.answer(t, listJSON(43, false, "a", "draining"))
	require.Equal(t, "a1", events.next(t))
	require.Empty(t, events)
}

// The version changes twice while a retry waits: the retry brings both changes before the list has reached the
// staleness bound.
func TestVersionChangesWhileARetryWaits(t *testing.T) {
	t.Parallel()
	server, w, events := startBoundedWatch(t, polledSettings(refresh.NotifiedAfter))
	server.next(t).refuseAfterWait(t, "0.5")
	call := server.next(t)
	require.Less(t, w.now(), refresh.NotifiedAfter)
	require.Equal(t, "/v1/endpoints?after=41&wait_ms=0", call.query)
	call.answer(t, `{"seq":43,"whole":false,"hosts":[{"host":"a","dial":"127.0.0.1:1","health":"draining"},
		{"host":"b","dial":"127.0.0.1:2","health":"up"}]}`)
	require.Equal(t, "a1b0", events.next(t))
	require.Equal(t, "/v1/endpoints?after=43&wait_ms=1000", server.next(t).query)
	require.Empty(t, events)
}

// While discovery does not answer, it counts as unreachable and the old list stays in use. With its first answer, a
// refusal, the bound begins; it counts from the start of the last unanswered call.
func TestSilentThenRefusing(t *testing.T) {
	t.Parallel()
	bound := 4 * time.Second
	server, w, events := startBoundedWatch(t, polledSettings(bound))
	var lastCallStart time.Duration
	for w.now() < 2*bound {
		call := server.next(t)
		lastCallStart = w.now()
		select {
		case <-call.abandoned:
		case <-time.After(testTimeout):
			require.Fail(t, "the call does not time out")
		}
	}
	require.Empty(t, events, "held while discovery cannot be reached")
	server.refuseAllFor(lastCallStart+bound-200*time.Millisecond-w.now(), "")
	require.Empty(t, events, "held before the bound")
	server.refuseAllFor(time.Second, "")
	require.Equal(t, "held", events.next(t))
}

// A discovery that refuses every call at once is down and causes no hold. Once it refuses a call after a wait in its
// queue, the bound begins.
func TestRefusedAtOnceThenAfterAWait(t *testing.T) {
	t.Parallel()
	bound := 3 * time.Second
	server, w, events := startBoundedWatch(t, polledSettings(bound))
	for w.now() < 2*bound {
		server.next(t).refuseAtOnce(t, "60")
	}
	require.Empty(t, events, "held while discovery is down")
	server.refuseAllFor(bound+time.Second, "60")
	require.Equal(t, "held", events.next(t))
}

// Without HoldOnRefusal a refusal may come from a discovery that is down: it causes no hold, even after a wait.
func TestRefusedByDefault(t *testing.T) {
	t.Parallel()
	settings := polledSettings(2 * time.Second)
	settings.HoldOnRefusal = false
	server, _, events := startBoundedWatch(t, settings)
	require.Greater(t, server.refuseAllFor(6*time.Second, "60"), 2)
	require.Empty(t, events)
}

// Guards against a pause after a refused call that is longer than the bound, while the list is used and discovery
// would answer: work would go to workers that have begun to drain. With a real clock, and 300 dispatchers that ask
// every 10 s.
func TestCallFollowsARefusalWithinTheBound(t *testing.T) {
	t.Parallel()
	settings := polledSettings(refresh.NotifiedAfter)
	settings.AskEvery, settings.HoldOnRefusal = 10*time.Second, false
	server, w, events := startBoundedWatch(t, settings)
	server.next(t).refuseAfterWait(t, "")
	refused := w.now()
	call := server.next(t)
	require.Less(t, w.now()-refused, refresh.NotifiedAfter)
	require.Empty(t, events, "discovery may have been down")
	call.answer(t, listJSON(42, true, "a", "draining"))
	require.Equal(t, "a1", events.next(t))
}

// Pushed lists cause no hold, even if the agent refuses all calls.
func TestPushedListsAreNotHeldBack(t *testing.T) {
	t.Parallel()
	settings := polledSettings(time.Second)
	settings.Polled = false
	server, _, events := startBoundedWatch(t, settings)
	server.refuseAllFor(3*time.Second, "60")
	require.Empty(t, events)
}

// A watch whose calls are answered after their full wait causes no hold.
func TestWaitingWatchIsNotHeldBack(t *testing.T) {
	t.Parallel()
	settings := polledSettings(3 * time.Second)
	server, _, events := startBoundedWatch(t, settings)
	server.next(t).answer(t, `{"seq":41,"whole":false,"hosts":[]}`)
	require.Empty(t, events.next(t))
	for range 12 {
		call := server.next(t)
		require.Equal(t, "/v1/endpoints?after=41&wait_ms=500", call.query)
		time.Sleep(settings.WatchWait())
		call.answer(t, `{"seq":41,"whole":false,"hosts":[]}`)
		require.Empty(t, events.next(t))
	}
	require.Empty(t, events)
}

// A move does not end a hold, as it brings no list; the first list from the new address does. Nor does a move restart
// the bound: the time without a list at the old address counts.
func TestMoveWhileHeld(t *testing.T) {
	t.Parallel()
	for _, before := range []time.Duration{2 * time.Second, 6 * time.Second} {
		server, w, events := startBoundedWatch(t, polledSettings(4*time.Second))
		server.refuseAllFor(before, "")
		other := newFakeServer(t)
		w.Move(other.Addr().String())
		call := other.next(t)
		require.Equal(t, "/v1/endpoints", call.query)
		require.Equal(t, "held", events.next(t))
		if before < 4*time.Second { // the first call has timed out meanwhile
			call = other.next(t)
		}
		call.answer(t, listJSON(2, true, "b", "up"))
		require.Equal(t, "b0", events.next(t))
		require.Equal(t, "released", events.next(t))
	}
}

// Guards against a list that is used for longer than 4 s after a reload has moved discovery, beyond which what the new
// one has counts as told: the first call comes before, and while discovery refuses for lack of capacity, a hold begins
// then.
func TestMoveIsReadWithinItsBound(t *testing.T) {
	t.Parallel()
	for attempt := range 5 { // the first call's delay is random
		t.Run(fmt.Sprint(attempt), func(t *testing.T) {
			t.Parallel()
			settings := polledSettings(refresh.NotifiedAfter)
			server, w, events := startBoundedWatch(t, settings)
			server.next(t).answer(t, listJSON(42, false, "b", "up"))
			require.Equal(t, "b0", events.next(t))
			server.next(t)
			other := newFakeServer(t)
			movedAt := time.Now()
			w.Move(other.Addr().String())
			call := other.next(t)
			require.Less(t, time.Since(movedAt), refresh.MoveBound-time.Second/2)
			if attempt == 0 {
				call.refuseAfterWait(t, "")
				require.Equal(t, "held", events.next(t))
				require.InDelta(t, refresh.MoveBound.Seconds(), time.Since(movedAt).Seconds(), 0.25)
				return
			}
			call.answer(t, listJSON(2, true, "c", "up"))
			require.Equal(t, "c0", events.next(t))
			require.Empty(t, events)
		})
	}
}

// The list is stale, so a hold is in progress: nothing new may be sent to any worker. A change to settings with pushed
// lists, which have no staleness bound, ends the hold at once. A change back to polled lists begins it again.
func TestSettingsChangeWhileHeld(t *testing.T) {
	t.Parallel()
	settings := polledSettings(3 * time.Second)
	server, w, events := startBoundedWatch(t, settings)
	server.refuseAllFor(4*time.Second, "")
	require.Equal(t, "held", events.next(t))
	other := settings
	other.Polled = false
	w.UpdateSettings(other)
	require.Equal(t, "released", events.next(t))
	w.UpdateSettings(settings)
	require.Equal(t, "held", events.next(t))
}

// A successor process inherits the staleness bound of its predecessor.
func TestHoldIsInherited(t *testing.T) {
	t.Parallel()
	settings := polledSettings(refresh.NotifiedAfter)
	server, w, events := startBoundedWatch(t, settings)
	require.False(t, w.HandoverState().Unread.Reachable)
	server.refuseAllFor(4500*time.Millisecond, "")
	require.Empty(t, events)
	state := w.HandoverState()
	require.True(t, state.Unread.Reachable)
	require.GreaterOrEqual(t, state.Unread.For, 4*time.Second)

	successorRecorder := make(recorder, 99)
	successor := New(server.Addr().String(), successorRecorder, settings)
	successor.SetHoldReceiver(successorRecorder)
	require.Equal(t, 1, successor.RestoreState(state))
	require.Equal(t, "a0", successorRecorder.next(t))
	go successor.Run()
	server.refuseAllFor(2*time.Second, "")
	require.Equal(t, "held", successorRecorder.next(t))
	require.Less(t, successor.now(), 4500*time.Millisecond, "the bound was restarted")
}

// A watch without a hold receiver continues after the bound, with the same pauses between its calls.
func TestNoHolder(t *testing.T) {
	t.Parallel()
	server, events := newFakeServer(t), make(recorder, 99)
	w := New(server.Addr().String(), events, polledSettings(3*time.Second))
	require.Equal(t, 1, w.LoadKnown([]byte(listJSON(41, true, "a", "up"))))
	require.Equal(t, "a0", events.next(t))
	go w.Run()
	server.refuseAllFor(4*time.Second, "")
	require.Empty(t, events)
	server.next(t).answer(t, listJSON(42, false, "a", "up"))
	require.Equal(t, "a0", events.next(t))
}
