package topazfall

import "testing"

// Dispatchers that read the same list at the same moment must not all send to the worker that it shows as the best.
func TestDispatchersDoNotHerd(t *testing.T) {
	const dispatchers, workers = 300, 195
	s, ws := settings(), fleet(workers)
	s.LiveWeights = true
	setWeights(ws, 3) // idle: this shows the size
	a := newTier(t, s, dispatchers, ws)
	for i := range ws {
		if i%12 != 0 { // one worker in twelve stays idle
			ws[i].Weight = 3 / (1 + 4./3)
		}
	}
	sent, users := map[string]int{}, map[string]int{}
	for _, r := range a.rigs {
		r.now += 1e6
		r.handle(Event{Kind: ListPatch, List: ws})
		for _, w := range r.b.buddies {
			users[w.ID]++
		}
		_, acts := r.arrive(safe)
		sent[r.requireSend(acts).Worker]++
	}
	for id, jobs := range sent {
		if 2*jobs > users[id] {
			t.Errorf("%s is sent %d jobs by the %d dispatchers that use it", id, jobs, users[id])
		}
	}
}

// Among few dispatchers, or with reports that each gets for itself, the worker with the least risk is chosen.
func TestAllBuddiesAreComparedWhereReportsAreOwn(t *testing.T) {
	for _, c := range []struct {
		liveWeights bool
		dispatchers int
	}{{true, redundancy}, {false, 300}} {
		for idle := range 6 {
			s, ws := settings(), fleet(6)
			s.LiveWeights, s.Dispatchers = c.liveWeights, c.dispatchers
			r := newRig(t, s, ws...)
			for i, w := range ws {
				if i != idle {
					r.handle(Event{Kind: ProbeDone, Worker: w.ID, Load: Load{Queue: 8, Inflight: -1, Free: -1}})
				}
			}
			_, acts := r.arrive(safe)
			if got := r.requireSend(acts).Worker; got != ws[idle].ID {
				t.Errorf("%+v: sent to %s although only %s is free", c, got, ws[idle].ID)
			}
		}
	}
}

// The same seed draws the same workers.
func TestSampleFollowsSeed(t *testing.T) {
	s := settings()
	s.LiveWeights, s.Dispatchers = true, 300
	one, other := newRig(t, s, fleet(60)...), newRig(t, s, fleet(60)...)
	for range 50 {
		_, acts := one.arrive(safe)
		_, same := other.arrive(safe)
		if one.requireSend(acts).Worker != other.requireSend(same).Worker {
			t.Fatal("two balancers with one seed choose differently")
		}
	}
}
