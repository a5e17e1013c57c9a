package topazfall

import "testing"

// The worker with the least risk is chosen, among few dispatchers and among many.
func TestFreeBuddyIsChosen(t *testing.T) {
	for _, c := range []struct {
		liveWeights bool
		dispatchers int
	}{{true, redundancy}, {true, 300}, {false, 300}} {
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
