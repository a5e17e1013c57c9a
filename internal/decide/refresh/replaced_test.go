package refresh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replacement is the way in which a simulated process is replaced.
type replacement int

const (
	passesOn   replacement = iota // the predecessor leaves and passes its watch on
	isKilled                      // the predecessor is killed before it could
	isSilent                      // the predecessor stops, and its link stays
	isOlder                       // the predecessor is of a version that shares nothing
	withoutAny                    // the same, and nothing is due before the staleness bound: as the program was before
)

func (r replacement) String() string {
	return [...]string{"watch passed on", "predecessor killed", "predecessor silent", "older predecessor",
		"as before"}[r]
}

const (
	linkDelay  = time.Millisecond
	startDelay = 20 * time.Millisecond // from a start to the moment at which the process is ready
	leaveDelay = 50 * time.Millisecond // from then on to the signal to the predecessor

	watchedFrom = 20 * second // when all dispatchers of a fleet watch the list
)

// Guards against a drain that a silent process was told of and that its follower reads too late.
func TestFollowTimeout(t *testing.T) {
	for _, grace := range []time.Duration{200, 250, 400, 500, 2000} {
		settings := Settings{DrainGrace: grace * time.Millisecond}
		require.LessOrEqual(t, settings.FollowTimeout(), settings.DrainGrace-100*time.Millisecond)
		require.LessOrEqual(t, settings.FollowTimeout(), 400*time.Millisecond)
	}
	require.Equal(t, 2*HeartbeatInterval, Settings{}.FollowTimeout(), "several signs may be late")
}

// watchingFleet returns a fleet with default settings at the time watchedFrom. Workers begin to drain until a time.
func watchingFleet(t *testing.T, dispatchers int, drainsUntil time.Duration) *fleet {
	settings := polledSettings(dispatchers)
	settings.HoldOnRefusal, settings.DrainGrace = false, 500*time.Millisecond
	f := newFleet(t, uint64(dispatchers))
	for at := second / 4; at < drainsUntil; at += second / 2 {
		f.drains = append(f.drains, at)
	}
	for range dispatchers {
		f.addDispatcher(time.Duration(f.random.Int64N(int64(600*time.Millisecond))), settings)
	}
	f.run(watchedFrom)
	clear(f.opened)
	return f
}

// replace replaces a dispatcher by a process that is ready at a time, and checks what that knows.
func (f *fleet) replace(old *dispatcher, ready time.Duration, how replacement) {
	f.schedule(ready-startDelay, func() {
		young := &dispatcher{Schedule: New(f.now, old.Settings(), rand.New(rand.NewPCG(f.random.Uint64(), 1))),
			started: f.now, version: old.version, readAt: old.readAt}
		young.Inherit(old.Unread(f.now))
		switch how {
		case isOlder, withoutAny:
			first := f.now + young.FirstDelay(f.now, true)
			f.schedule(ready, func() {
				if how == isOlder {
					young.CountsWithin(f.now, HandoverBound)
					first = min(first, f.now+young.FirstDelay(f.now, true))
				}
				f.schedule(max(first, f.now), func() { f.call(young) })
			})
			f.schedule(ready+leaveDelay, func() { old.stopped = f.now })
		default:
			old.follower = young
			f.schedule(ready, func() { young.CountsWithin(f.now, HandoverBound) })
			f.schedule(ready+leaveDelay, func() { f.endPredecessor(old, young, how) })
		}
		f.checkReplaced(young, ready, how)
	})
}

func (f *fleet) endPredecessor(old, young *dispatcher, how replacement) {
	switch how {
	case passesOn:
		old.leaving = true
	case isKilled:
		old.stopped = f.now
		f.call(young)
	case isSilent:
		old.stopped = f.now
		f.schedule(f.now+young.Settings().FollowTimeout(), func() { f.call(young) })
	}
}

// checkReplaced checks every 20 ms that a successor has what discovery had a grace period ago, from the moment on in
// which that counts as told.
func (f *fleet) checkReplaced(young *dispatcher, ready time.Duration, how replacement) {
	const step, until = 20 * time.Millisecond, 10 * second
	grace := young.Settings().DrainGrace
	for at := ready + HandoverBound + grace; at < ready+until; at += step {
		f.schedule(at, func() {
			if how == withoutAny && young.version < f.version(f.now-grace) {
				f.late[young] = true
				return
			}
			require.GreaterOrEqual(f.t, young.version, f.version(f.now-grace),
				"%v: %v after it was ready, a process lacks what discovery has told", how, f.now-ready)
			require.False(f.t, young.IsStale(f.now))
		})
	}
}

// Guards against processes that replace others and read discovery's list late, and against a fleet that is replaced at
// once and calls discovery at once. 60, 300 and 900 dispatchers are replaced within a second, and spread over a minute,
// while workers begin to drain. From 2 s after it is ready, each process knows all that discovery has. Passed on, the
// watches open anew at no process, so that the fleet keeps to its call budget. The calls a second are logged for each
// way of the replacement; at predecessors of an older version the bound allows no longer spread than 1 s.
func TestFleetIsReplaced(t *testing.T) {
	for _, dispatchers := range []int{60, 300, 900} {
		for _, spread := range []time.Duration{second, 60 * second} {
			for _, how := range []replacement{passesOn, isKilled, isSilent, isOlder, withoutAny} {
				if how > passesOn && dispatchers == 900 && spread > second {
					continue // as with 300
				}
				t.Run(fmt.Sprintf("%d within %v, %v", dispatchers, spread, how), func(t *testing.T) {
					testFleetIsReplaced(t, dispatchers, spread, how)
				})
			}
		}
	}
}

func testFleetIsReplaced(t *testing.T, dispatchers int, spread time.Duration, how replacement) {
	end := watchedFrom + spread + 15*second
	f := watchingFleet(t, dispatchers, end)
	for _, old := range f.dispatchers {
		f.replace(old, watchedFrom+startDelay+time.Duration(f.random.Int64N(int64(spread))), how)
	}
	f.run(end)
	most, all := 0, 0
	for _, calls := range f.opened {
		most, all = max(most, calls), all+calls
	}
	budget := f.dispatchers[0].Settings().Budget()
	t.Logf("%d calls that open a watch, at most %d a second, of a budget of %.0f; %d processes late", all, most,
		budget, len(f.late))
	if how == passesOn {
		require.Zero(t, all)
	}
	if spread > second {
		require.LessOrEqual(t, float64(most), budget*1.25)
	}
}

// Guards against a list that is used after discovery has moved though it counts as told that it is not. A fleet is
// reloaded within a second: each dispatcher has read the new discovery within the 4 s after which what that has counts
// as told. The calls a second are logged.
func TestFleetMoves(t *testing.T) {
	const spread, end = second, watchedFrom + 10*second
	for _, dispatchers := range []int{8, 60, 300, 900} {
		f := watchingFleet(t, dispatchers, end)
		for _, d := range f.dispatchers {
			f.move(d, watchedFrom+time.Duration(f.random.Int64N(int64(spread))))
		}
		f.run(end)
		most := 0
		for _, calls := range f.opened {
			most = max(most, calls)
		}
		t.Logf("%d dispatchers: at most %d calls a second, of a budget of %.0f", dispatchers, most,
			f.dispatchers[0].Settings().Budget())
	}
}

// move moves a dispatcher to another discovery with the same list, and checks what it knows when that counts as told.
func (f *fleet) move(d *dispatcher, at time.Duration) {
	f.schedule(at, func() {
		d.callNumber++ // the open call is aborted
		d.AddressChanged(f.now)
		f.schedule(f.now+d.FirstDelay(f.now, true), func() { f.call(d) })
		f.schedule(f.now+MoveBound, func() {
			require.GreaterOrEqual(f.t, d.version, f.version(f.now-d.Settings().DrainGrace))
			require.False(f.t, d.IsStale(f.now))
		})
	})
}
