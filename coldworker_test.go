package topazfall

// Tests of cold workers with one or a few balancers driven by hand. Simulated fleets are in coldramp_test.go.

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func TestColdWorkerBudget(t *testing.T) {
	// Every dispatcher is notified of the start at once and has far more to send than the worker can take.
	s := settings()
	s.Dispatchers = 12
	var all []*rig
	started := int64(100e6)
	for me := range s.Dispatchers {
		s.Me = me
		all = append(all, newRig(t, s, Worker{ID: "cold", Zone: "a", Kind: "std", StartedAt: started}))
	}
	var work []float64 // by tick of 100 ms
	for tick := range 200 {
		sum := 0.0
		for _, r := range all {
			r.now = started + int64(tick)*100e3
			_, acts := r.arrive(safe)
			n, _ := countActions(acts, Send)
			sum += float64(n) * 200e3
		}
		work = append(work, sum)
		if tick < 10 {
			continue
		}
		window := 0.0
		for _, w := range work[tick-9:] {
			window += w
		}
		capacity := 0.2 + 0.8*float64(tick-9)/200 // one core at standard speed, as far as is known
		if limit := 2.5 * capacity * 1e6; window > limit {
			t.Fatalf("at %d ms: %v of work within a second, budget %v", tick*100, window, limit)
		}
	}
	total := 0.0
	for _, w := range work {
		total += w
	}
	if total == 0 {
		t.Error("the cold worker never got a job")
	}
}

// A single lightly loaded dispatcher cannot use a cold worker fully. As many have a turn as their quotas require, and
// workers that start together do not all depend on the same dispatchers.
func TestColdTurnsOfLightDispatchers(t *testing.T) {
	turnUsers := func(quota float64, startedMS int64) (users []int) {
		for me := range 36 {
			s := settings()
			s.Me, s.Dispatchers, s.Tenants = me, 36, []Tenant{{Quota: quota}}
			r := newRig(t, s, fleet(6)...)
			w := r.b.workers["w0"]
			w.StartedAt = startedMS * 1000
			if r.b.coldBudget(w) > 0 {
				users = append(users, me)
			}
		}
		return users
	}
	busy, light := turnUsers(1e6, 99_999), turnUsers(0.5, 99_999)
	if len(busy) != 1 || len(light) < 3 || len(light) > 20 || !slices.Contains(light, busy[0]) {
		t.Errorf("users of the turn with high quotas %v, with low quotas %v", busy, light)
	}
	if other := turnUsers(1e6, 99_998); len(other) != 1 || other[0] == busy[0] {
		t.Errorf("users of two workers that start together: %v and %v", busy, other)
	}
}

// A weight has no unit: it compares workers and says nothing of their capacity. The cold budget must be the same
// whatever unit the list uses. The drop of a weight by one job shows the number of cores, with which the budget grows.
func TestColdBudgetIndependentOfWeightUnit(t *testing.T) {
	budget := func(weights ...float64) float64 {
		s := settings()
		s.Dispatchers, s.LiveWeights = 1, true
		r := newRig(t, s, fleet(6)...)
		w := r.b.workers["w0"].Worker
		for _, w.Weight = range weights {
			w.StartedAt = r.now
			r.handle(Event{Kind: ListPatch, List: []Worker{w}})
		}
		return r.b.coldBudget(r.b.workers["w0"])
	}
	one := budget(1)
	if one <= 0 {
		t.Fatal("nothing may be sent")
	}
	for _, unit := range []float64{0.01, 0.2, 1, 2, 99} {
		if got := budget(unit); got != one {
			t.Errorf("%v with a weight of %v, %v with one of 1", got, unit, one)
		}
		if got := budget(unit, unit/(1+1./3)); math.Abs(got-3*one) > 1 {
			t.Errorf("%v where a job takes a third off a weight of %v, want three times %v", got, unit, one)
		}
	}
}

// If all dispatchers have all workers as buddies, every turn at a cold worker has exactly one user.
func TestEveryColdTurnHasOneUser(t *testing.T) {
	for dispatchers := 1; dispatchers < 5; dispatchers++ {
		users := map[int64]int{}
		for me := range dispatchers {
			s := settings()
			s.Me, s.Dispatchers = me, dispatchers
			r := newRig(t, s, fleet(6)...)
			for _, w := range r.b.ranked {
				w.StartedAt = r.now
			}
			for turn := range int64(12) {
				r.now = 101e6 + turn*s.Contract.FallTime
				r.b.now = r.now
				for i, w := range r.b.ranked {
					if r.b.coldBudget(w) > 0 {
						users[turn*6+int64(i)]++
					}
				}
			}
		}
		for i := range int64(12 * 6) {
			if users[i] != 1 {
				t.Errorf("%d dispatchers: turn %d at worker %d has %d users", dispatchers, i/6, i%6, users[i])
			}
		}
	}
}

// The cold budget must hold at full size while dispatchers are notified of the start at different times.
func TestColdBudgetAtFullSizeWithLateLists(t *testing.T) {
	s := settings()
	s.Dispatchers = 200
	started := int64(100e6)
	var all []*rig
	for me := range s.Dispatchers {
		s.Me = me
		r := newRig(t, s, fleet(200)...)
		r.now = started + int64(me%40)*100e3 // up to four seconds late
		cold := fleet(200)[77]
		cold.StartedAt = started
		r.handle(Event{Kind: ListPatch, List: []Worker{cold}})
		all = append(all, r)
	}
	var work []float64
	for tick := range 180 {
		sum := 0.0
		for _, r := range all {
			now := started + 4e6 + int64(tick)*100e3
			r.now = now
			for range 1 + tick%2 {
				_, acts := r.arrive(safe)
				for _, a := range acts {
					if a.Kind == Send && a.Worker == "w77" {
						sum += 200e3
					}
				}
			}
		}
		work = append(work, sum)
		if tick < 10 {
			continue
		}
		window := 0.0
		for _, w := range work[tick-9:] {
			window += w
		}
		if limit := 2.5 * (0.2 + 0.8*float64(tick+31)/200) * 1e6; window > limit && tick < 150 {
			t.Fatalf("at %d ms: %v of work within a second, budget %v", 4000+tick*100, window, limit)
		}
	}
}

// The users of a turn at a cold worker do not depend on the list. Dispatchers that see different parts of a restarting
// fleet, and so have different buddies, find the same few users of each worker, whatever part they see.
func TestColdTurnsIndependentOfLists(t *testing.T) {
	const dispatchers, workers = 40, 20
	s := settings()
	s.Dispatchers = dispatchers
	start := int64(100e6)
	cold := fleet(workers)
	for i := range cold {
		cold[i].StartedAt = start
	}
	users := func(worker int, listed func(me, worker int) bool) (turnUsers []int) {
		for me := range dispatchers {
			s.Me = me
			var list []Worker
			for i, w := range cold {
				if i == worker || listed(me, i) {
					list = append(list, w)
				}
			}
			r := newRig(t, s, list...)
			r.b.now = start
			r.b.rebuildBuddies()
			if w := r.b.workers[cold[worker].ID]; r.b.coldBudget(w) > 0 {
				if id, acts := r.arrive(safe); len(list) == 1 && r.requireSend(acts).Worker != w.ID {
					t.Errorf("dispatcher %d has a turn at %s and does not use it for request %d", me, w.ID, id)
				}
				turnUsers = append(turnUsers, me)
			}
		}
		return turnUsers
	}
	random := rand.New(rand.NewPCG(1, 2))
	for worker := range workers {
		all := users(worker, func(int, int) bool { return true })
		none := users(worker, func(int, int) bool { return false })
		some := users(worker, func(int, int) bool { return random.IntN(4) == 0 })
		if len(all) != 1 || !slices.Equal(all, none) || !slices.Equal(all, some) {
			t.Errorf("worker %d is used by %v, %v where it alone is listed, %v where lists differ",
				worker, all, none, some)
		}
	}
}

// A dispatcher without a turn at a cold worker sends nothing there, whether or not it is a buddy. Its turn comes in
// time.
func TestColdWorkerGetsNothingWithoutTurn(t *testing.T) {
	s := settings()
	s.Dispatchers = 40
	r := newRig(t, s, fleet(40)...)
	for _, w := range []*worker{r.b.buddies[0], r.b.nonBuddies[0]} {
		had := 0
		w.StartedAt = r.now
		for turn := range int64(s.Dispatchers) {
			r.b.now = r.now + turn*s.Contract.FallTime
			turn, _, _ := r.b.coldTurn(w)
			share := r.b.coldBudget(w)
			if has := r.b.rotation.Has(turn, s.Me); has != (share > 0) {
				t.Errorf("%s: has a turn: %v, may send %v", w.ID, has, share)
			} else if has {
				had++
			}
		}
		if had == 0 || had > s.Dispatchers/2 {
			t.Errorf("%s: %d turns of %d", w.ID, had, s.Dispatchers)
		}
	}
}
