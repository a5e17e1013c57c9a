package refresh

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func asked(dispatchers int) Settings {
	return Settings{Dispatchers: dispatchers, Polled: true, DrainGrace: 250 * time.Millisecond, AskEvery: 10 * second,
		HoldOnRefusal: true}
}

// started is a dispatcher of many that started at 100 s.
func started() *Schedule { return New(100*second, asked(300), seeded(1)) }

// call plays one call from begun to ended, and returns when the next one begins.
func call(s *Schedule, begun, ended time.Duration, result Result, retryAfter time.Duration) time.Duration {
	s.Begin(begun, true)
	return ended + s.End(ended, result, retryAfter)
}

func requireHoldAt(t *testing.T, s *Schedule, want time.Duration) {
	t.Helper()
	at, bounded := s.StaleAt()
	require.True(t, bounded)
	require.Equal(t, want, at)
	require.False(t, s.IsStale(want-1))
	require.True(t, s.IsStale(want))
}

// requireNoHoldUntil requires that the list is relied on up to then if no call ends meanwhile.
func requireNoHoldUntil(t *testing.T, s *Schedule, until time.Duration) {
	t.Helper()
	require.False(t, s.IsStale(until))
}

func requireUnbounded(t *testing.T, s *Schedule) {
	t.Helper()
	_, bounded := s.StaleAt()
	require.False(t, bounded)
	require.False(t, s.IsStale(1000*second))
}

// The settings give the bound, the spacing and the budget of the fleet; none of them is another than the
// formula in the package's comment says.
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
		terms := asked(c.dispatchers)
		terms.AskEvery = c.askEvery
		require.Equal(t, c.bound, terms.StalenessBound())
		require.Equal(t, c.spacing, terms.Spacing(9, false))
		require.InDelta(t, c.budget, terms.Budget(), 0.01)
	}
}

// The first call is refused, then refused again with a Retry-After beyond the bound: among few the next call
// still begins before the list may not be relied on any more; among many when the budget allows. Only then is
// anything held back.
func TestRefusedTwiceWithRetryAfterBeyondTheBound(t *testing.T) {
	for _, dispatchers := range []int{1, 8, 300} {
		begins := map[time.Duration]bool{}
		for seed := range uint64(200) {
			s := New(100*second, asked(dispatchers), seeded(seed))
			spacing := s.terms.Spacing(9, false)
			first := 100*second + s.FirstDelay(true)
			next := call(s, first, first+10*time.Millisecond, UnusableAnswer, 0)
			requireHoldAt(t, s, 106*second)
			require.LessOrEqual(t, next-first, spacing*7/6)
			third := call(s, next, next+10*time.Millisecond, UnusableAnswer, 60*second)
			requireHoldAt(t, s, 106*second)
			begins[third.Truncate(10*time.Millisecond)] = true
			require.LessOrEqual(t, third, max(106*second-callLimit, next+spacing*7/6),
				"it puts off more than the spread does")
			require.True(t, dispatchers > 8 || third < 106*second, "no call is left within the bound")
			// Past the bound the service is spared by the budget alone: who refuses all for long serves nobody.
			late := call(s, 111*second, 111*second, UnusableAnswer, 60*second)
			require.LessOrEqual(t, late, 111*second+spacing*7/6)
			call(s, late, late+second, Read, 0)
			requireHoldAt(t, s, late+NotifiedAfter)
		}
		require.Greater(t, len(begins), 5, "not all at the same time")
	}
}

// What a refusal asks for is kept where there is time for it.
func TestRetryAfterIsKept(t *testing.T) {
	for seed := range uint64(100) {
		s := New(100*second, asked(4), seeded(seed))
		next := call(s, 100*second, 100*second, UnusableAnswer, 2*second)
		require.GreaterOrEqual(t, next, 102*second)
		require.LessOrEqual(t, next, 100*second+NotifiedAfter-callLimit)
	}
}

// A call that was opened anew and given up after 2.5 s shows that discovery could not be reached when it
// began; a watch that goes on shows nothing by its silence, as it alone may be what is broken.
func TestCallGivenUp(t *testing.T) {
	s := started()
	next := call(s, 101*second, 101*second+callLimit, TimedOut, 0)
	require.Less(t, next, 100*second+NotifiedAfter, "the next call begins within the bound")
	requireHoldAt(t, s, 101*second+NotifiedAfter)
	require.Less(t, next+callLimit, 101*second+NotifiedAfter, "it does not show in time whether it is answered")
	call(s, next, next+10*time.Millisecond, UnusableAnswer, 0)
	requireHoldAt(t, s, 101*second+NotifiedAfter)

	s = started()
	require.Zero(t, s.Begin(100*second, true), "a first call does not wait")
	require.Zero(t, s.End(101*second, Read, 0))
	require.Equal(t, watchWait, s.Begin(101*second, true))
	next = 101*second + callLimit + s.End(101*second+callLimit, TimedOut, 0)
	require.Zero(t, s.Begin(next, true), "whether it is answered shows at once")
	s.End(next, UnusableAnswer, 0)
	requireHoldAt(t, s, 106*second)
}

// Discovery that is down, by silence or by broken connections, is no reason to hold back however long it
// takes. From its return on a refusal begins the bound, at the last call that it left unanswered; later
// silence does not end it.
func TestDownAndBack(t *testing.T) {
	for _, how := range []Result{TimedOut, ConnectionFailed} {
		s := started()
		now, last := call(s, 100*second, 100*second, Read, 0), time.Duration(0)
		for now < 130*second {
			last = now
			end := now + map[Result]time.Duration{TimedOut: callLimit}[how]
			requireNoHoldUntil(t, s, end)
			now = call(s, now, end, how, 0)
		}
		now = call(s, now, now, UnusableAnswer, 0)
		requireHoldAt(t, s, last+NotifiedAfter)
		call(s, now, now+callLimit, TimedOut, 0)
		requireHoldAt(t, s, last+NotifiedAfter)
		call(s, 150*second, 151*second, Read, 0)
		requireHoldAt(t, s, 156*second)
	}
}

// A list is as old as the call that brought it: what changed while it was on its way may be missing.
func TestReadIsAsOldAsItsCall(t *testing.T) {
	s := started()
	next := call(s, 100*second, 102*second, Read, 0)
	require.Equal(t, 102*second, next, "the watch goes on at once")
	call(s, next, next, UnusableAnswer, 0)
	requireHoldAt(t, s, 106*second)
}

// A healthy watch is no reason to hold back, nor is anything where lists are pushed.
func TestNoHoldWithoutNeed(t *testing.T) {
	s := started()
	for now := 100 * second; now < 200*second; now += second {
		s.Begin(now, true)
		s.End(now+second, Read, 0)
		requireHoldAt(t, s, now+NotifiedAfter)
	}
	terms := asked(300)
	terms.Polled = false
	s = New(0, terms, seeded(1))
	require.Zero(t, s.FirstDelay(true))
	for now := time.Duration(0); now < 100*second; {
		s.Begin(now, true)
		now += time.Millisecond
		now += s.End(now, []Result{UnusableAnswer, TimedOut, ConnectionFailed}[now%3], 60*second)
		requireUnbounded(t, s)
	}
	s.Configure(asked(300)) // it has been refused all the time
	require.True(t, s.IsStale(100*second))
	s.Configure(terms)
	requireUnbounded(t, s)
}

// After a move the watch is opened anew, and what was not read before still counts.
func TestMoveKeepsTheBound(t *testing.T) {
	s := started()
	call(s, 101*second, 101*second, UnusableAnswer, 0)
	s.AddressChanged()
	requireHoldAt(t, s, 106*second)
	call(s, 103*second, 103*second, ConnectionFailed, 0)
	requireHoldAt(t, s, 106*second)
	call(s, 107*second, 107*second, Read, 0)
	requireHoldAt(t, s, 113*second)
	s.AddressChanged()
	require.Zero(t, s.Begin(108*second, true))
}

// Another process goes on from what this one has missed.
func TestInherit(t *testing.T) {
	for _, reached := range []bool{true, false} {
		s := started()
		call(s, 101*second, 101*second, map[bool]Result{true: UnusableAnswer, false: ConnectionFailed}[reached], 0)
		unread := s.Unread(103 * second)
		require.Equal(t, Unread{map[bool]time.Duration{true: 3 * second, false: 2 * second}[reached], reached}, unread)
		heir := New(0, asked(300), seeded(2))
		heir.Inherit(unread)
		requireHoldAt(t, heir, NotifiedAfter-unread.For)
		call(heir, second, second, ConnectionFailed, 0)
		requireHoldAt(t, heir, map[bool]time.Duration{true: 3 * second, false: second + NotifiedAfter}[reached])
	}
}

// Whatever comes, at most one call is under way, a failed one is followed soon enough for another within the
// bound, and the dispatchers together keep to the budget.
func TestSpacingUnderRandomFailures(t *testing.T) {
	for _, dispatchers := range []int{1, 3, 8, 48, 300, 2000} {
		for seed := range uint64(20) {
			random := seeded(seed)
			s := New(0, asked(dispatchers), random)
			now, calls := s.FirstDelay(true), 0
			for ; now < 1000*second; calls++ {
				begun, result := now, Result(1+random.IntN(3))
				s.Begin(now, true)
				now += map[Result]time.Duration{UnusableAnswer: 10 * time.Millisecond, TimedOut: callLimit}[result]
				now += s.End(now, result, 0)
				require.Greater(t, now, begun)
				require.LessOrEqual(t, now-begun, s.terms.Spacing(9, true)*7/6+callLimit)
			}
			require.LessOrEqual(t, float64(calls)*float64(dispatchers)/1000, asked(dispatchers).Budget()*1.05)
		}
	}
}

// pauses plays failures in a row and returns the pauses after them, each of a call that took so long.
func pauses(terms Settings, result Result, took time.Duration) (all []time.Duration) {
	s, now := New(0, terms, seeded(3)), time.Duration(0)
	for range 98 {
		s.Begin(now, true)
		now += took
		all = append(all, s.End(now, result, 0))
		now += all[len(all)-1]
	}
	return all
}

// A dispatcher among few tries again in time for its watch to go on; one of many leaves a discovery that is
// asked to the others by chance, and none stays away for long. A watch that has fallen silent is open again
// before what it missed counts as told, and an agent on the own machine is called again several times within
// the grace of a drain, however many there are.
func TestPause(t *testing.T) {
	for _, isAsked := range []bool{false, true} {
		for _, dispatchers := range []int{1, 3, 8, 48, 300, 2000} {
			terms := asked(dispatchers)
			terms.Polled = isAsked
			refused, silent := pauses(terms, UnusableAnswer, 0), pauses(terms, TimedOut, callLimit)
			seen := map[time.Duration]bool{}
			for i, p := range refused {
				seen[p] = true
				require.Positive(t, p)
				require.Positive(t, silent[i])
				require.Less(t, callLimit+silent[i]+callLimit, NotifiedAfter+terms.DrainGrace)
				if dispatchers < 8 || !isAsked {
					require.LessOrEqual(t, p, 600*time.Millisecond)
				}
				if !isAsked {
					require.LessOrEqual(t, 2*max(p, silent[i])+terms.AgentRetryInterval(), terms.DrainGrace)
				}
				require.Less(t, p, terms.StalenessBound(), "no further call within the bound")
			}
			require.Greater(t, len(seen), 50, "not all at the same time")
			require.True(t, dispatchers > 7 || silent[0] < 200*time.Millisecond && refused[0] < 200*time.Millisecond)
		}
	}
}

// What an agent has counts as told from a process's first moment: it is called at once. Where discovery must
// be asked there is more time, and those who start together must not all ask in one moment: it answers a few
// a second, and what waits too long fails.
func TestFirst(t *testing.T) {
	for _, isAsked := range []bool{false, true} {
		for _, dispatchers := range []int{1, 8, 80, 300, 2000} {
			terms := asked(dispatchers)
			terms.Polled, terms.DrainGrace = isAsked, 500*time.Millisecond
			s, longest, calls := New(0, terms, seeded(4)), time.Duration(0), map[time.Duration]int{}
			require.Zero(t, s.FirstDelay(false), "without a list there is nothing to wait with")
			for range dispatchers * 100 { // a hundred joint starts
				first := s.FirstDelay(true)
				longest = max(longest, first)
				calls[first.Truncate(second)]++
			}
			require.LessOrEqual(t, longest, 5*second)
			require.True(t, isAsked || longest == 0)
			require.True(t, !isAsked || dispatchers < 2*aloneUpTo || longest > 200*time.Millisecond, longest)
			for begun, n := range calls { // spread over the seconds that the contract leaves
				require.True(t, !isAsked || dispatchers < 80 || n/100 <= dispatchers/5+dispatchers/40, begun)
			}
		}
	}
}

// A refusal after a wait for its turn shows that discovery is at work; one at once is what a discovery that is down
// shows, and so is the end of a watch, however long that has waited for news. Neither puts the next call off for so
// long that its failure would not show in time.
func TestRefusedAtOnceOrAfterAWait(t *testing.T) {
	for _, retryAfter := range []time.Duration{0, 60 * second} {
		s := started()
		next := call(s, 101*second, 101*second+longWait-1, Refused, retryAfter)
		requireHoldAt(t, s, 107*second)
		require.Less(t, next+callLimit, 107*second)
		call(s, next, next+longWait, Refused, retryAfter)
		requireHoldAt(t, s, 107*second)
		call(s, 106*second, 106*second, Refused, retryAfter)
		requireHoldAt(t, s, 107*second)
	}
	s := started()
	now := call(s, 100*second, 100*second, Read, 0)
	now = call(s, now, now+watchWait, Refused, 0)
	requireHoldAt(t, s, 106*second)
	require.Less(t, now+callLimit, 106*second)
	for range 20 { // and each that follows on time is relied on
		begun := now
		now = call(s, begun, begun, Refused, 0)
		requireHoldAt(t, s, begun+NotifiedAfter)
		require.Less(t, now+callLimit, begun+NotifiedAfter)
		require.Greater(t, now-begun, 2*second, "calls in haste")
	}
}

// Where refusals may come from a discovery that is down, neither they nor silence nor broken connections hold anything
// back, in whatever order they come, and the fleet keeps to its budget; an answer that is no list begins the bound.
func TestRefusalsHoldNothingBackByDefault(t *testing.T) {
	for _, dispatchers := range []int{1, 8, 300} {
		terms := asked(dispatchers)
		terms.HoldOnRefusal = false
		for seed := range uint64(50) {
			random := seeded(seed)
			s := New(0, terms, random)
			now, refusals := s.FirstDelay(true), 0
			for now < 300*second {
				begun := now
				result := []Result{Refused, Refused, TimedOut, ConnectionFailed}[random.IntN(4)]
				s.Begin(now, true)
				switch {
				case result == TimedOut:
					now += callLimit
				case result == Refused:
					now += time.Duration(random.Int64N(int64(callLimit)))
					refusals++
				}
				require.False(t, s.IsStale(now), "held before the call of %v has ended", begun)
				now += s.End(now, result, time.Duration(random.Int64N(int64(60*second))))
				require.LessOrEqual(t, now-begun, max(terms.Spacing(9, true)*7/6, NotifiedAfter)+callLimit)
				require.False(t, s.IsStale(now))
			}
			require.Positive(t, refusals)
			now = call(s, now, now, UnusableAnswer, 0)
			holdAt, _ := s.StaleAt()
			require.Less(t, holdAt, now+NotifiedAfter, "an answer that is no list does not begin the bound")
			call(s, now, now, Refused, 0)
			requireHoldAt(t, s, holdAt)
		}
	}
}
