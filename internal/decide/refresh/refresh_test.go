package refresh

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func polledSettings(dispatchers int) Settings {
	return Settings{Dispatchers: dispatchers, Polled: true, DrainGrace: 250 * time.Millisecond, AskEvery: 10 * second,
		HoldOnRefusal: true}
}

// startedSchedule returns the schedule of one dispatcher of a large fleet that started at 100 s.
func startedSchedule() *Schedule { return New(100*second, polledSettings(300), seeded(1)) }

// simulateCall simulates one call from start to end and returns when the next one starts.
func simulateCall(s *Schedule, start, end time.Duration, result Result, retryAfter time.Duration) time.Duration {
	s.Begin(start, true)
	return end + s.End(end, result, retryAfter)
}

func requireStaleAt(t *testing.T, s *Schedule, want time.Duration) {
	t.Helper()
	at, bounded := s.StaleAt()
	require.True(t, bounded)
	require.Equal(t, want, at)
	require.False(t, s.IsStale(want-1))
	require.True(t, s.IsStale(want))
}

// requireFreshUntil requires that the list is used up to then if no call ends meanwhile.
func requireFreshUntil(t *testing.T, s *Schedule, until time.Duration) {
	t.Helper()
	require.False(t, s.IsStale(until))
}

func requireUnbounded(t *testing.T, s *Schedule) {
	t.Helper()
	_, bounded := s.StaleAt()
	require.False(t, bounded)
	require.False(t, s.IsStale(1000*second))
}

// The settings determine the staleness bound, the spacing and the call budget of the fleet, by the formulas in the
// package comment.
func TestBoundAndBudget(t *testing.T) {
	for _, c := range []struct {
		dispatchers              int
		askEvery, bound, spacing time.Duration
		budget                   float64
	}{
		{1, 10 * second, NotifiedAfter, 400 * time.Millisecond, 2.5},
		{4, 10 * second, NotifiedAfter, 400 * time.Millisecond, 10},
		{20, 10 * second, NotifiedAfter, 2 * second, 10},
		{80, 10 * second, NotifiedAfter, 5 * second, 16},
		{300, 10 * second, NotifiedAfter, 5 * second, 60},
		{300, 0, NotifiedAfter, 5 * second, 60},
		{300, second, 4 * second, second / 2, 600},
	} {
		settings := polledSettings(c.dispatchers)
		settings.AskEvery = c.askEvery
		require.Equal(t, c.bound, settings.StalenessBound())
		require.Equal(t, c.spacing, settings.Spacing(9, false))
		require.InDelta(t, c.budget, settings.Budget(), 0.01)
	}
}

// The first call is refused, then refused again with a Retry-After beyond the staleness bound. In a small fleet the
// next call still starts before the list becomes stale; in a large one it starts when the call budget allows it.
func TestRefusedTwiceWithRetryAfterBeyondTheBound(t *testing.T) {
	for _, dispatchers := range []int{1, 8, 300} {
		starts := map[time.Duration]bool{}
		for seed := range uint64(200) {
			s := New(100*second, polledSettings(dispatchers), seeded(seed))
			spacing := s.settings.Spacing(9, false)
			first := 100*second + s.FirstDelay(100*second, true)
			next := simulateCall(s, first, first+10*time.Millisecond, UnusableAnswer, 0)
			requireStaleAt(t, s, 106*second)
			require.LessOrEqual(t, next-first, spacing*7/6)
			third := simulateCall(s, next, next+10*time.Millisecond, UnusableAnswer, 60*second)
			requireStaleAt(t, s, 106*second)
			starts[third.Truncate(10*time.Millisecond)] = true
			require.LessOrEqual(t, third, max(106*second-callTimeout, next+spacing*7/6),
				"delayed by more than the random spread")
			require.True(t, dispatchers > 8 || third < 106*second, "no further call starts within the bound")
			// Past the bound a long Retry-After is not kept, as a service that refuses all calls for long is of no use
			// to any dispatcher: only the call budget of the fleet limits the load.
			late := simulateCall(s, 111*second, 111*second, UnusableAnswer, 60*second)
			require.LessOrEqual(t, late, 111*second+spacing*7/6)
			simulateCall(s, late, late+second, Read, 0)
			requireStaleAt(t, s, late+NotifiedAfter)
		}
		require.Greater(t, len(starts), 5, "the calls start at the same time")
	}
}

// The Retry-After of a refusal is kept where there is time for it.
func TestRetryAfterIsKept(t *testing.T) {
	for seed := range uint64(100) {
		s := New(100*second, polledSettings(4), seeded(seed))
		next := simulateCall(s, 100*second, 100*second, UnusableAnswer, 2*second)
		require.GreaterOrEqual(t, next, 102*second)
		require.LessOrEqual(t, next, 100*second+NotifiedAfter-callTimeout)
		for _, hold := range []bool{false, true} { // after a watch that broke, too
			settings := polledSettings(4)
			settings.HoldOnRefusal = hold
			s = New(100*second, settings, seeded(seed))
			simulateCall(s, 100*second, 100*second, Read, 0)
			next = simulateCall(s, 100*second, 100*second, Refused, 2*second)
			require.GreaterOrEqual(t, next, 102*second)
			require.LessOrEqual(t, next, 100*second+NotifiedAfter-callTimeout)
		}
	}
}

// A call that opens a watch and times out after 2.5 s shows that discovery could not be reached when it started. A call
// that continues a watch and times out shows nothing, as the watch alone may be broken.
func TestCallTimeout(t *testing.T) {
	s := startedSchedule()
	next := simulateCall(s, 101*second, 101*second+callTimeout, TimedOut, 0)
	require.Less(t, next, 100*second+NotifiedAfter, "the next call starts within the bound")
	requireStaleAt(t, s, 101*second+NotifiedAfter)
	require.Less(t, next+callTimeout, 101*second+NotifiedAfter, "whether the call is answered shows too late")
	simulateCall(s, next, next+10*time.Millisecond, UnusableAnswer, 0)
	requireStaleAt(t, s, 101*second+NotifiedAfter)

	s = startedSchedule()
	require.Zero(t, s.Begin(100*second, true), "a first call does not wait for changes")
	require.Zero(t, s.End(101*second, Read, 0))
	require.Equal(t, watchWait, s.Begin(101*second, true))
	next = 101*second + callTimeout + s.End(101*second+callTimeout, TimedOut, 0)
	require.Zero(t, s.Begin(next, true), "a call that opens a watch does not wait for changes")
	s.End(next, UnusableAnswer, 0)
	requireStaleAt(t, s, 106*second)
}

// The list never becomes stale while discovery is down, whether calls time out or connections fail. After discovery has
// returned, an unusable answer starts the staleness bound at the last call without an answer; later timeouts do not
// move it.
func TestOutageAndRecovery(t *testing.T) {
	for _, how := range []Result{TimedOut, ConnectionFailed} {
		s := startedSchedule()
		now, last := simulateCall(s, 100*second, 100*second, Read, 0), time.Duration(0)
		for now < 130*second {
			last = now
			end := now + map[Result]time.Duration{TimedOut: callTimeout}[how]
			requireFreshUntil(t, s, end)
			now = simulateCall(s, now, end, how, 0)
		}
		now = simulateCall(s, now, now, UnusableAnswer, 0)
		requireStaleAt(t, s, last+NotifiedAfter)
		simulateCall(s, now, now+callTimeout, TimedOut, 0)
		requireStaleAt(t, s, last+NotifiedAfter)
		simulateCall(s, 150*second, 151*second, Read, 0)
		requireStaleAt(t, s, 156*second)
	}
}

// A list is as old as the start of the call that brought it: later changes may be missing from it.
func TestReadIsAsOldAsItsCall(t *testing.T) {
	s := startedSchedule()
	next := simulateCall(s, 100*second, 102*second, Read, 0)
	require.Equal(t, 102*second, next, "the watch continues at once")
	simulateCall(s, next, next, UnusableAnswer, 0)
	requireStaleAt(t, s, 106*second)
}

// Neither a working watch nor a pushed list leads to a hold, in which nothing is sent because the list is stale: each
// read by the watch postpones the time at which the list becomes stale, and a pushed list has no such time.
func TestHealthyWatchNeverHolds(t *testing.T) {
	s := startedSchedule()
	for now := 100 * second; now < 200*second; now += second {
		s.Begin(now, true)
		s.End(now+second, Read, 0)
		requireStaleAt(t, s, now+NotifiedAfter)
	}
	settings := polledSettings(300)
	settings.Polled = false
	s = New(0, settings, seeded(1))
	require.Zero(t, s.FirstDelay(0, true))
	for now := time.Duration(0); now < 100*second; {
		s.Begin(now, true)
		now += time.Millisecond
		now += s.End(now, []Result{UnusableAnswer, TimedOut, ConnectionFailed}[now%3], 60*second)
		requireUnbounded(t, s)
	}
	s.Configure(polledSettings(300)) // no call has brought a list
	require.True(t, s.IsStale(100*second))
	s.Configure(settings)
	requireUnbounded(t, s)
}

// After discovery's address has changed a new watch is opened, and changes that were unread before still count.
func TestAddressChangeKeepsTheBound(t *testing.T) {
	s := startedSchedule()
	simulateCall(s, 101*second, 101*second, UnusableAnswer, 0)
	s.AddressChanged(102 * second)
	requireStaleAt(t, s, 106*second)
	simulateCall(s, 103*second, 103*second, ConnectionFailed, 0)
	requireStaleAt(t, s, 106*second)
	simulateCall(s, 107*second, 107*second, Read, 0)
	requireStaleAt(t, s, 113*second)
	s.AddressChanged(108 * second)
	requireStaleAt(t, s, 112*second)
	require.Zero(t, s.Begin(108*second, true))
}

// A successor continues from the handover state of its predecessor.
func TestInherit(t *testing.T) {
	for _, reached := range []bool{true, false} {
		s := startedSchedule()
		simulateCall(s, 101*second, 101*second,
			map[bool]Result{true: UnusableAnswer, false: ConnectionFailed}[reached], 0)
		unread := s.Unread(103 * second)
		require.Equal(t, Unread{map[bool]time.Duration{true: 3 * second, false: 2 * second}[reached], reached}, unread)
		successor := New(0, polledSettings(300), seeded(2))
		successor.Inherit(unread)
		requireStaleAt(t, successor, NotifiedAfter-unread.For)
		simulateCall(successor, second, second, ConnectionFailed, 0)
		requireStaleAt(t, successor, map[bool]time.Duration{true: 3 * second, false: second + NotifiedAfter}[reached])
	}
}

// With random failures calls do not overlap, a failed call is followed soon enough by another, and the fleet keeps to
// its call budget.
func TestSpacingUnderRandomFailures(t *testing.T) {
	for _, dispatchers := range []int{1, 3, 8, 48, 300, 2000} {
		for seed := range uint64(20) {
			random := seeded(seed)
			s := New(0, polledSettings(dispatchers), random)
			now, calls := s.FirstDelay(0, true), 0
			for ; now < 1000*second; calls++ {
				start, result := now, Result(1+random.IntN(3))
				s.Begin(now, true)
				now += map[Result]time.Duration{UnusableAnswer: 10 * time.Millisecond, TimedOut: callTimeout}[result]
				now += s.End(now, result, 0)
				require.Greater(t, now, start)
				require.LessOrEqual(t, now-start, s.settings.Spacing(9, true)*7/6+callTimeout)
			}
			require.LessOrEqual(t, float64(calls)*float64(dispatchers)/1000, polledSettings(dispatchers).Budget()*1.05)
		}
	}
}

// retryDelays simulates consecutive calls that fail after a given time and returns the delays after them.
func retryDelays(settings Settings, result Result, duration time.Duration) (all []time.Duration) {
	s, now := New(0, settings, seeded(3)), time.Duration(0)
	for range 98 {
		s.Begin(now, true)
		now += duration
		all = append(all, s.End(now, result, 0))
		now += all[len(all)-1]
	}
	return all
}

// A dispatcher of a small fleet retries in time for its watch to continue. In a large fleet that polls, delays are
// random and bounded. A watch that timed out is opened again before the dispatcher counts as notified of what it
// missed. An agent is called again several times within the grace period of a drain, whatever the size of the fleet.
func TestRetryDelay(t *testing.T) {
	for _, polled := range []bool{false, true} {
		for _, dispatchers := range []int{1, 3, 8, 48, 300, 2000} {
			settings := polledSettings(dispatchers)
			settings.Polled = polled
			refused, silent := retryDelays(settings, UnusableAnswer, 0), retryDelays(settings, TimedOut, callTimeout)
			seen := map[time.Duration]bool{}
			for i, delay := range refused {
				seen[delay] = true
				require.Positive(t, delay)
				require.Positive(t, silent[i])
				require.Less(t, callTimeout+silent[i]+callTimeout, NotifiedAfter+settings.DrainGrace)
				if dispatchers < 8 || !polled {
					require.LessOrEqual(t, delay, 600*time.Millisecond)
				}
				if !polled {
					require.LessOrEqual(t, 2*max(delay, silent[i])+settings.AgentRetryInterval(), settings.DrainGrace)
				}
				require.Less(t, delay, settings.StalenessBound(), "no further call starts within the bound")
			}
			require.Greater(t, len(seen), 50, "the delays are not random")
			require.True(t, dispatchers > 7 || silent[0] < 200*time.Millisecond && refused[0] < 200*time.Millisecond)
		}
	}
}

// A dispatcher counts as notified by its agent from its first moment, so it calls the agent at once. Where discovery is
// polled there is more time, and dispatchers that start together must not all call at the same moment: discovery
// answers a few calls a second, and a call that queues too long fails.
func TestFirstDelay(t *testing.T) {
	for _, polled := range []bool{false, true} {
		for _, dispatchers := range []int{1, 8, 80, 300, 2000} {
			settings := polledSettings(dispatchers)
			settings.Polled, settings.DrainGrace = polled, 500*time.Millisecond
			s, longest, calls := New(0, settings, seeded(4)), time.Duration(0), map[time.Duration]int{}
			require.Zero(t, s.FirstDelay(0, false), "a dispatcher without a list calls at once")
			for range dispatchers * 100 { // a hundred starts of the whole fleet
				first := s.FirstDelay(0, true)
				longest = max(longest, first)
				calls[first.Truncate(second)]++
			}
			require.LessOrEqual(t, longest, 5*second)
			require.True(t, polled || longest == 0)
			require.True(t, !polled || dispatchers < 2*maxSmallFleet || longest > 200*time.Millisecond, longest)
			for start, n := range calls { // spread over the seconds that the contract allows
				require.True(t, !polled || dispatchers < 80 || n/100 <= dispatchers/5+dispatchers/40, start)
			}
		}
	}
}

// A refusal after queueing shows that discovery works. An immediate refusal is also what a discovery that is down
// shows, and so is the refusal of a watch, however long that has waited for changes. Neither delays the next call so
// long that its failure would show too late.
func TestRefusedAtOnceOrAfterAWait(t *testing.T) {
	for _, retryAfter := range []time.Duration{0, 60 * second} {
		s := startedSchedule()
		next := simulateCall(s, 101*second, 101*second+minQueueWait-1, Refused, retryAfter)
		requireStaleAt(t, s, 107*second)
		require.Less(t, next+callTimeout, 107*second)
		simulateCall(s, next, next+minQueueWait, Refused, retryAfter)
		requireStaleAt(t, s, 107*second)
		simulateCall(s, 106*second, 106*second, Refused, retryAfter)
		requireStaleAt(t, s, 107*second)
	}
	s := startedSchedule()
	now := simulateCall(s, 100*second, 100*second, Read, 0)
	now = simulateCall(s, now, now+watchWait, Refused, 0)
	requireStaleAt(t, s, 106*second)
	require.Less(t, now+callTimeout, 106*second)
	for range 20 { // each refusal that comes in time moves the bound on
		start := now
		now = simulateCall(s, start, start, Refused, 0)
		requireStaleAt(t, s, start+NotifiedAfter)
		require.Less(t, now+callTimeout, start+NotifiedAfter)
		require.Greater(t, now-start, 2*second, "the call follows too soon")
	}
}

// With HoldOnRefusal unset, neither refusals nor timeouts nor failed connections make the list stale, in whatever order
// they come, and the fleet keeps to its call budget; an unusable answer starts the staleness bound.
func TestRefusalsHoldNothingByDefault(t *testing.T) {
	for _, dispatchers := range []int{1, 8, 300} {
		settings := polledSettings(dispatchers)
		settings.HoldOnRefusal = false
		for seed := range uint64(50) {
			random := seeded(seed)
			s := New(0, settings, random)
			now, refusals := s.FirstDelay(0, true), 0
			for now < 300*second {
				start := now
				result := []Result{Refused, Refused, TimedOut, ConnectionFailed}[random.IntN(4)]
				s.Begin(now, true)
				switch {
				case result == TimedOut:
					now += callTimeout
				case result == Refused:
					now += time.Duration(random.Int64N(int64(callTimeout)))
					refusals++
				}
				require.False(t, s.IsStale(now), "stale before the call of %v has ended", start)
				now += s.End(now, result, time.Duration(random.Int64N(int64(60*second))))
				require.LessOrEqual(t, now-start, max(settings.Spacing(9, true)*7/6, NotifiedAfter)+callTimeout)
				require.False(t, s.IsStale(now))
			}
			require.Positive(t, refusals)
			now = simulateCall(s, now, now, UnusableAnswer, 0)
			staleAt, _ := s.StaleAt()
			require.Less(t, staleAt, now+NotifiedAfter, "an unusable answer does not start the bound")
			simulateCall(s, now, now, Refused, 0)
			requireStaleAt(t, s, staleAt)
		}
	}
}

// Guards against a pause after refused calls in which the list is used beyond the bound although discovery can be
// reached. Discovery refuses one call, or several in a row, each after some wait, and can be reached from any moment of
// the last of these calls on: the next call then starts within the bound of that moment, or the list is stale by then.
// After a first refusal even a call that is abandoned ends within the bound of the refusal.
func TestCallStartsWithinTheBoundOfARefusal(t *testing.T) {
	type refusalCase struct {
		dispatchers, refusals int
		wait, retryAfter      time.Duration
		watching, hold        bool
	}
	var cases []refusalCase
	for _, dispatchers := range []int{1, 4, 8, 20, 52, 80, 300, 900, 5000} {
		for _, wait := range []time.Duration{0, second / 4, minQueueWait, 600 * time.Millisecond, second, 2 * second,
			callTimeout - time.Millisecond} {
			for _, retryAfter := range []time.Duration{0, second, 60 * second} {
				for _, refusals := range []int{1, 2, 3, 9} {
					for _, watching := range []bool{true, false} {
						cases = append(cases, refusalCase{dispatchers, refusals, wait, retryAfter, watching, false},
							refusalCase{dispatchers, refusals, wait, retryAfter, watching, true})
					}
				}
			}
		}
	}
	for seed := range uint64(5) {
		for _, c := range cases {
			settings := polledSettings(c.dispatchers)
			settings.HoldOnRefusal = c.hold
			s, now, start := New(0, settings, seeded(seed)), time.Duration(0), time.Duration(0)
			if c.watching {
				now = simulateCall(s, now, now, Read, 0)
			}
			for range c.refusals {
				start = now
				now = simulateCall(s, start, start+c.wait, Refused, c.retryAfter)
			}
			bound := settings.StalenessBound()
			require.True(t, now < start+bound || s.IsStale(start+bound), "%+v: %v after the last call", c, now-start)
			require.True(t, now < start+bound || c.hold, "%+v: calls after %v", c, now-start)
			if c.refusals == 1 && !c.hold {
				require.LessOrEqual(t, now+settings.CallTimeout(), start+c.wait+bound, "%+v", c)
				requireStaleAt(t, s, start+c.wait+bound)
			}
		}
	}
}

// Guards against a pause before the first call, after a start, a handover or a change of discovery's address, in which
// the list is used beyond the bound: the call starts so early that a prompt answer comes within the bound, or the list
// is stale by then. Changes of the address in quick succession put neither the call nor the bound off, and what
// discovery is known to have had stays bounded as it was.
func TestFirstCallStartsWithinTheBound(t *testing.T) {
	for _, dispatchers := range []int{1, 8, 80, 300, 900, 5000} {
		for _, unread := range []Unread{{}, {For: 2 * second}, {For: 4 * second}, {For: 2 * second, Reachable: true},
			{For: 9 * second, Reachable: true}, {For: 9 * second}} {
			settings := polledSettings(dispatchers)
			for moves := range 12 {
				for seed := range uint64(20) {
					settings.HoldOnRefusal = seed%2 == 0
					requireFirstCallWithinTheBound(t, settings, unread, moves, seed)
				}
			}
		}
	}
}

// requireFirstCallWithinTheBound starts a dispatcher that has inherited what is unread, and moves discovery up to a
// number of times, a second apart, as long as the first call has not begun.
func requireFirstCallWithinTheBound(t *testing.T, settings Settings, unread Unread, moves int, seed uint64) {
	now := 100 * second
	s := New(now, settings, seeded(seed))
	s.Inherit(unread)
	bound, _ := s.StaleAt()
	isStale := s.IsStale(now)
	call := now + s.FirstDelay(now, true)
	for ; moves > 0 && now+second <= call; moves-- {
		now += second
		s.AddressChanged(now)
		bound = min(bound, now+MoveBound)
		call = now + s.FirstDelay(now, true)
	}
	require.True(t, isStale || call <= bound-second, "%+v, %+v: calls at %v", settings, unread, call)
	requireStaleAt(t, s, bound)
	s.Begin(call, true)
	if !settings.HoldOnRefusal && !unread.Reachable && settings.spreadsCalls() && !isStale {
		bound = max(bound, call+settings.CallTimeout()+timerSlack)
	}
	requireStaleAt(t, s, bound)
}
