package refresh

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// eventQueue is a heap of future events, ordered by time and then by insertion.
type eventQueue []event

type event struct {
	at    time.Duration
	order int
	do    func()
}

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), q[i].order-q[j].order) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// fleet simulates dispatchers that call one discovery of fixed capacity, in virtual time. A call that opens a watch
// needs capacity; one that continues a watch in time does not. The version of the list rises as workers begin to drain.
type fleet struct {
	t             *testing.T
	random        *rand.Rand
	now           time.Duration
	events        eventQueue
	order         int
	capacity      float64                      // calls that discovery answers, per second
	busyUntil     time.Duration                // until when earlier calls use the capacity
	maxQueueWait  time.Duration                // after which a queued call is refused
	isSilent      func(now time.Duration) bool // discovery answers nothing and could not be reached
	refuses       func(now time.Duration) bool // discovery refuses this call, whatever its capacity
	refusalDelay  time.Duration                // how long such a call waits for its refusal
	isUnreachable func(now time.Duration) bool // discovery could not be reached
	brokenAt      time.Duration                // when discovery refuses the open watches; 0 for never
	retryAfter    time.Duration                // sent with each refusal
	answerDelay   time.Duration                // of the answers to calls that open a watch
	drains        []time.Duration              // version i+1 of the list exists from drains[i] on
	dispatchers   []*dispatcher
	ages          []time.Duration       // of the lists of all dispatchers that may send, at every step
	opened        map[time.Duration]int // calls that open a watch, per second
	late          map[*dispatcher]bool  // successors that lacked what discovery had told
}

// dispatcher is one simulated dispatcher.
type dispatcher struct {
	*Schedule
	started, stopped time.Duration
	version          int
	firstRead        time.Duration // time from its start to the first list
	readAt           time.Duration // when the call that brought the list started
	heldFor          time.Duration
	callNumber       int         // number of the call in progress; an answer to another call is dropped
	follower         *dispatcher // the process that replaces this one; nil for none
	leaving          bool        // it passes its watch on when its call in progress has ended
}

func (f *fleet) schedule(at time.Duration, do func()) {
	f.order++
	heap.Push(&f.events, event{at, f.order, do})
}

func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.do()
	}
	f.now = until
}

func newFleet(t *testing.T, seed uint64) *fleet {
	never := func(time.Duration) bool { return false }
	return &fleet{t: t, random: seeded(seed), capacity: 1e6, maxQueueWait: 2 * second, isSilent: never, refuses: never,
		isUnreachable: never, opened: map[time.Duration]int{}, late: map[*dispatcher]bool{}}
}

// addDispatcher starts a dispatcher that has a list of version 0.
func (f *fleet) addDispatcher(at time.Duration, settings Settings) {
	f.schedule(at, func() {
		d := &dispatcher{Schedule: New(f.now, settings, rand.New(rand.NewPCG(f.random.Uint64(), 1))), started: f.now}
		f.dispatchers = append(f.dispatchers, d)
		f.schedule(f.now+d.FirstDelay(f.now, true), func() { f.call(d) })
	})
}

func (f *fleet) version(at time.Duration) int {
	n, found := slices.BinarySearch(f.drains, at)
	if found {
		n++
	}
	return n
}

func (f *fleet) call(d *dispatcher) {
	wait := d.Begin(f.now, true)
	d.callNumber++
	number := d.callNumber
	end := func(result Result, version int) {
		if d.callNumber != number || d.stopped > 0 {
			return
		}
		d.callNumber++
		if result == Read {
			d.version, d.readAt = version, d.Schedule.callStart
			if d.firstRead == 0 {
				d.firstRead = f.now - d.started
			}
		}
		pause := d.End(f.now, result, map[bool]time.Duration{true: f.retryAfter}[result == Refused])
		if d.follower != nil {
			f.share(d)
		}
		if d.stopped == 0 {
			f.schedule(f.now+pause, func() { f.call(d) })
		}
	}
	f.schedule(f.now+callTimeout, func() { end(TimedOut, 0) })
	if wait == 0 {
		f.opened[f.now.Truncate(second)]++
	}
	if f.isSilent(f.now) { // this call is never answered: once discovery is back, it answers new calls only
		return
	}
	const roundTrip = 2 * time.Millisecond
	answer := func(at time.Duration) { // with the list of that time, unless discovery is silent then
		f.schedule(at, func() {
			if !f.isSilent(f.now) {
				end(Read, f.version(f.now))
			}
		})
	}
	if wait > 0 {
		change := f.now + wait
		if next := f.version(f.now); d.version < next {
			change = f.now
		} else if next < len(f.drains) {
			change = min(change, f.drains[next])
		}
		if f.now < f.brokenAt && f.brokenAt < change {
			f.schedule(f.brokenAt, func() { end(Refused, 0) })
			return
		}
		answer(change + roundTrip)
		return
	}
	queuedUntil := max(f.busyUntil, f.now)
	switch {
	case f.refuses(f.now):
		f.schedule(f.now+roundTrip+f.refusalDelay, func() { end(Refused, 0) })
	case queuedUntil-f.now > f.maxQueueWait: // a refused call uses capacity all the same
		f.busyUntil = queuedUntil + time.Duration(float64(second)/f.capacity)
		f.schedule(f.now+f.maxQueueWait, func() { end(Refused, 0) })
	default:
		f.busyUntil = queuedUntil + time.Duration(float64(second)/f.capacity)
		answer(f.busyUntil + roundTrip + f.answerDelay)
	}
}

// share sends what a dispatcher has read to its successor, and passes its watch on if it leaves.
func (f *fleet) share(d *dispatcher) {
	version, readAt, unread, passed := d.version, d.readAt, d.Unread(f.now), d.leaving && d.IsWatching()
	if passed {
		d.stopped = f.now
	}
	f.schedule(f.now+linkDelay, func() {
		d.follower.version, d.follower.readAt = version, readAt
		d.follower.Adopt(f.now, unread)
		if passed {
			d.follower.Continue()
			f.call(d.follower)
		}
	})
}

// checkSends checks every 20 ms that each dispatcher that may send has read every drain of which it counts as notified:
// those that discovery had a staleness bound ago, if this dispatcher could reach discovery then. The grace period of
// the drain is not used.
func (f *fleet) checkSends(until time.Duration) {
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at <= until; at += step {
		f.schedule(at, func() {
			for _, d := range f.dispatchers {
				if d.stopped > 0 {
					continue
				}
				age := f.now - max(d.readAt, d.started)
				if d.IsStale(f.now) {
					d.heldFor += step
					continue
				}
				f.ages = append(f.ages, age)
				notifiedBy := f.now - d.Settings().StalenessBound()
				if notifiedBy < d.started || f.isUnreachable(notifiedBy) {
					continue
				}
				require.GreaterOrEqual(f.t, d.version, f.version(notifiedBy),
					"at %v a dispatcher that started at %v sends to a draining worker", f.now, d.started)
			}
		})
	}
}

func quantiles(times []time.Duration) string {
	slices.Sort(times)
	text := ""
	for _, q := range []float64{0.1, 0.5, 0.9, 0.99, 1} {
		text += fmt.Sprintf(" %v%%: %v", q*100, times[int(q*float64(len(times)-1))].Round(10*time.Millisecond))
	}
	return text
}

// report logs what the fleet did, and checks that it made at most maxPerSecond calls in any second, with a margin for
// the random delays.
func (f *fleet) report(name string, maxPerSecond float64) {
	var held, firstReads []time.Duration
	maxCalls, staleDispatchers, unread := 0, 0, 0
	for _, d := range f.dispatchers {
		if firstReads = append(firstReads, d.firstRead); d.firstRead == 0 {
			firstReads, unread = firstReads[:len(firstReads)-1], unread+1
		}
		held = append(held, d.heldFor)
		if d.heldFor > 0 {
			staleDispatchers++
		}
	}
	for _, calls := range f.opened {
		maxCalls = max(maxCalls, calls)
	}
	f.t.Logf("%s: first list after%s (none: %d); stale: %d of %d, for%s", name, quantiles(firstReads), unread,
		staleDispatchers, len(f.dispatchers), quantiles(held))
	f.t.Logf("%s: age of the lists in use:%s; at most %d calls a second of %.0f", name, quantiles(f.ages), maxCalls,
		maxPerSecond)
	require.LessOrEqual(f.t, float64(maxCalls), maxPerSecond*1.25)
}

// 300 dispatchers start together, and discovery refuses nine calls in ten for 20 s, at random or for lack of capacity.
// A dispatcher that has not read a drain of which it counts as notified sends nothing, the fleet keeps to its call
// budget, and all dispatchers have read the list soon afterwards. The dispatchers cannot foresee the times of the
// drains.
func TestFleetHoldsWhileCallsAreRefused(t *testing.T) {
	const refusing = 20 * second
	settings := polledSettings(300)
	for name, set := range map[string]func(*fleet){
		"at random": func(f *fleet) {
			f.refuses = func(now time.Duration) bool { return now < refusing && f.random.Float64() < 0.9 }
			f.refusalDelay = minQueueWait
		},
		"at random, with Retry-After": func(f *fleet) {
			f.refuses = func(now time.Duration) bool { return now < refusing && f.random.Float64() < 0.9 }
			f.refusalDelay = minQueueWait
			f.retryAfter = 10 * second
		},
		"for lack of capacity": func(f *fleet) {
			f.capacity = 15
			f.schedule(refusing, func() { f.capacity, f.busyUntil = 1e6, refusing })
		},
	} {
		f := newFleet(t, 7)
		set(f)
		for i := range 60 { // before, during and after the refusals
			f.drains = append(f.drains, time.Duration(i)*second/2)
		}
		for range settings.Dispatchers {
			f.addDispatcher(time.Duration(f.random.Int64N(int64(600*time.Millisecond))), settings)
		}
		f.checkSends(40 * second)
		f.run(40 * second)
		f.report(name, settings.Budget())
		for _, d := range f.dispatchers {
			require.Equal(t, len(f.drains), d.version)
			require.False(t, d.IsStale(f.now))
		}
	}
}

// With HoldOnRefusal unset a refusal may come from a discovery that is down: no dispatcher stops sending, the fleet
// keeps to its call budget, and all dispatchers have read the list soon afterwards. The ages of the lists in use are
// logged.
func TestFleetServesWhileCallsAreRefused(t *testing.T) {
	const refusing = 20 * second
	settings := polledSettings(300)
	settings.HoldOnRefusal = false
	f := newFleet(t, 7)
	f.refuses = func(now time.Duration) bool { return now < refusing && f.random.Float64() < 0.9 }
	f.refusalDelay = 2 * second
	f.isUnreachable = func(time.Duration) bool { return true } // so that no dispatcher must have read the drains
	f.drains = append(f.drains, 5*second, 15*second, 25*second)
	for range settings.Dispatchers {
		f.addDispatcher(time.Duration(f.random.Int64N(int64(600*time.Millisecond))), settings)
	}
	f.checkSends(40 * second)
	f.run(40 * second)
	f.report("refused after 2 s at random", settings.Budget())
	for _, d := range f.dispatchers {
		require.Equal(t, len(f.drains), d.version)
		require.Zero(t, d.heldFor)
	}
}

// With default settings, a working discovery refuses nine calls in ten for 20 s. The test requires that a dispatcher
// that has not read a drain within the 6 s after which it counts as notified sends nothing. This fails: such a
// dispatcher sends for up to half a minute, because a refusal is not taken to show that discovery could be reached; one
// that is down refuses in the same way. On the bench (harbour-north, herd 1301 with 60 dispatchers) all 145 refusals
// were alike whether discovery was down or overloaded: connected at once, 503 with Connection: close, no Retry-After,
// no body, after 2.000 s, except those of calls that were waiting when discovery went down (0.5 to 1.6 s). The
// difference lies in what other dispatchers got: no lists while it was down, 50 a second while it was overloaded.
// Listed in KNOWN-RED.txt.
func TestFleetThatIsTurnedAwaySendsToNobodyWhoDrains(t *testing.T) {
	const refusing, refusedAfter = 20 * second, 2 * second
	settings := polledSettings(300)
	settings.HoldOnRefusal = false // the default
	f := newFleet(t, 7)
	f.refuses = func(now time.Duration) bool { return now < refusing && f.random.Float64() < 0.9 }
	f.refusalDelay = refusedAfter
	f.drains = append(f.drains, 5*second, 15*second, 25*second)
	for range settings.Dispatchers {
		f.addDispatcher(time.Duration(f.random.Int64N(int64(600*time.Millisecond))), settings)
	}
	f.checkSends(2 * refusing)
	f.run(2 * refusing)
}

// Discovery is down for 8 s, either silent or refusing all calls at once, and open watches end. No dispatcher stops
// sending because of that. On its return discovery has the capacity that the contract requires, half of it, or as much
// as is needed: nothing is sent to workers that have begun to drain meanwhile, and all dispatchers read the list in the
// end.
func TestFleetAfterOutage(t *testing.T) {
	const down, back, end = 10 * second, 18 * second, 60 * second
	settings := polledSettings(300)
	for _, silent := range []bool{true, false} {
		for _, capacity := range []float64{settings.Budget() / 2, settings.Budget(), 1e6} {
			f := newFleet(t, 8)
			isDown := func(now time.Duration) bool { return now >= down && now < back }
			f.isUnreachable = isDown
			if silent {
				f.isSilent = isDown
			} else {
				f.refuses, f.brokenAt = isDown, down+100*time.Millisecond
			}
			f.schedule(down, func() { f.capacity = capacity })
			for i := range 60 {
				f.drains = append(f.drains, time.Duration(i)*second/2)
			}
			for range settings.Dispatchers {
				f.addDispatcher(time.Duration(f.random.Int64N(int64(600*time.Millisecond))), settings)
			}
			f.checkSends(end)
			f.run(back)
			for _, d := range f.dispatchers {
				require.Zero(t, d.heldFor, "stale while discovery cannot be reached")
			}
			f.run(end)
			f.report(fmt.Sprintf("down for 8 s, silent %v, then a capacity of %.0f", silent, capacity),
				float64(settings.Dispatchers))
			for at := back + 4*second; at < end; at += second { // calls that timed out have been retried by then
				require.LessOrEqual(t, float64(f.opened[at]), settings.Budget()*1.25)
			}
			for _, d := range f.dispatchers {
				require.Equal(t, len(f.drains), d.version)
			}
		}
	}
}

// Guards against pauses of dispatchers' own choice after refusals in which they send to draining workers. With default
// settings discovery breaks the watches, refuses all calls for a while, at once or after a wait, and then answers each
// call: nothing is sent to a worker whose drain counts as told since discovery answers, and no dispatcher has stopped
// sending. The calls a second are logged.
func TestFleetReadsInTimeAfterRefusals(t *testing.T) {
	const from = 10 * second
	for _, dispatchers := range []int{60, 300} {
		for _, refusing := range []time.Duration{100 * time.Millisecond, 8 * second, 25 * second} {
			for _, refusalDelay := range []time.Duration{0, 600 * time.Millisecond, 2 * second} {
				settings := polledSettings(dispatchers)
				settings.HoldOnRefusal = false
				f := newFleet(t, 10)
				f.refusalDelay, f.brokenAt = refusalDelay, from
				f.refuses = func(now time.Duration) bool { return now >= from && now < from+refusing }
				f.isUnreachable = f.refuses
				end := from + refusing + 12*second
				for at := second / 4; at < end; at += second / 2 { // none ends the watches before they break
					f.drains = append(f.drains, at)
				}
				for range settings.Dispatchers {
					f.addDispatcher(time.Duration(f.random.Int64N(int64(600*time.Millisecond))), settings)
				}
				f.checkSends(end)
				f.run(end)
				f.report(fmt.Sprintf("%d dispatchers, refused for %v after %v", dispatchers, refusing, refusalDelay),
					float64(settings.Dispatchers))
				for _, d := range f.dispatchers {
					require.Zero(t, d.heldFor)
				}
			}
		}
	}
}

// With default settings discovery answers each call that opens a watch after 1.9 s, as one with a queue does. The test
// requires that a dispatcher that has not read a drain within the 6 s after which it counts as notified sends nothing.
// This fails: a first call may start 5 s after the dispatcher, and one after several refusals 5.9 s after the last, so
// that the fleet keeps to its call budget; and the list stays in use until the call has ended, as it may still show
// that discovery is down. Listed in KNOWN-RED.txt.
func TestFleetReadsSlowAnswersInTime(t *testing.T) {
	const end = 20 * second
	settings := polledSettings(300)
	settings.HoldOnRefusal = false // the default
	f := newFleet(t, 11)
	f.answerDelay = 1900 * time.Millisecond
	for at := second / 4; at < end; at += second / 2 {
		f.drains = append(f.drains, at)
	}
	for range settings.Dispatchers {
		f.addDispatcher(time.Duration(f.random.Int64N(int64(600*time.Millisecond))), settings)
	}
	f.checkSends(end)
	f.run(end)
}

// Discovery has the capacity that the contract requires, and all dispatchers start at the same moment, as after a
// restart of the fleet: no call is refused, and no list becomes stale.
func TestFleetStartsWithinTheContract(t *testing.T) {
	settings := polledSettings(300)
	f := newFleet(t, 9)
	f.capacity = settings.Budget()
	for i := range 20 {
		f.drains = append(f.drains, time.Duration(i)*second/2)
	}
	for range settings.Dispatchers {
		f.addDispatcher(0, settings)
	}
	f.checkSends(20 * second)
	f.run(20 * second)
	f.report("capacity as in the contract", settings.Budget())
	for _, d := range f.dispatchers {
		require.Equal(t, len(f.drains), d.version)
		require.Zero(t, d.heldFor)
	}
}
