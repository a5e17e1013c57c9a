package topazfall

// Many dispatchers side by side: what each does alone must be harmless when all do it.

import (
	"fmt"
	"math"
	"testing"
)

// tier is many balancers over one fleet that share nothing, as on as many machines.
type tier struct {
	rigs    []*rig
	workers []Worker
}

func newTier(t *testing.T, s Settings, dispatchers int, workers []Worker) *tier {
	t.Helper()
	all := &tier{workers: workers}
	s.Dispatchers = dispatchers
	for me := range dispatchers {
		s.Me, s.Seed = me, uint64(me+1)
		all.rigs = append(all.rigs, newRig(t, s, workers...))
	}
	return all
}

// one gives every balancer one request of a class at the same moment, and returns how many each worker is sent.
func (a *tier) one(class int) map[string]int {
	sent := map[string]int{}
	for _, r := range a.rigs {
		if _, acts := r.arrive(class); len(acts) > 0 {
			for _, act := range acts {
				if act.Kind == Send {
					sent[act.Worker]++
				}
			}
		}
	}
	return sent
}

func most(sent map[string]int) (n int) {
	for _, k := range sent {
		n = max(n, k)
	}
	return n
}

// The list's weights are the only word of load that a dispatcher has of workers it does not use.
func TestLiveWeightsTellWhoIsBusy(t *testing.T) {
	s := settings()
	s.LiveWeights, s.Dispatchers = true, 1
	for idle := range 6 {
		ws := fleet(6)
		r := newRig(t, s)
		for i := range ws {
			ws[i].Weight = 3
		}
		r.on(Event{Kind: ListWhole, List: ws}) // all idle
		for i := range ws {
			ws[i].Weight = 3 / (1 + 5./3) // five jobs on three cores
		}
		ws[idle].Weight = 3 / (1 + 1./3)
		r.now += 1e6
		r.on(Event{Kind: ListWhole, List: ws})
		_, acts := r.arrive(unsafe)
		if got := r.sends(acts).Worker; got != ws[idle].ID {
			t.Errorf("sent to %s, though only %s has free slots", got, ws[idle].ID)
		}
		if k := r.b.kinds["std"]; k.slots != 3 || k.size != 3 {
			t.Errorf("learned %v slots and size %v", k.slots, k.size)
		}
	}
}

func TestInflightOfLiveWeights(t *testing.T) {
	k := &kind{slots: 1}
	for _, c := range []struct{ weight, want float64 }{
		{1.0, -1},  // all that is seen so far: it may be the size
		{1.5, -1},  // the size, as it turns out; no step seen yet
		{1.0, 1},   // one job on two cores
		{0.749, 2}, // a little noise
		{0.501, 4}, //
		{1.502, 0}, //
		{3.0, -1},  // a larger machine: what was learned was of something else
		{2.25, 1},  // of three cores
		{0, 1e9},   // what cannot be is bounded by what report takes
		{math.NaN(), 1e9},
	} {
		got := k.inflight(c.weight)
		if c.want == 1e9 {
			if sane(got) >= 1e6 || k.cores != 3 {
				t.Errorf("weight %v: %v in hand, %v cores", c.weight, got, k.cores)
			}
		} else if got != c.want {
			t.Errorf("weight %v: %v in hand, want %v", c.weight, got, c.want)
		}
	}
}

// All read the same list at the same moment: who it shows idle must not get what all of them have.
func TestOneListDoesNotMakeOnePile(t *testing.T) {
	const dispatchers, workers = 80, 60
	s, ws := settings(), fleet(workers)
	s.LiveWeights = true
	for i := range ws {
		ws[i].Weight = 3
	}
	a := newTier(t, s, dispatchers, ws)
	for i := range ws {
		if i%6 != 0 { // ten idle ones
			ws[i].Weight = 3 / (1 + 6./3)
		}
	}
	for _, r := range a.rigs {
		r.now += 1e6
		r.on(Event{Kind: ListPatch, List: ws})
	}
	sent := a.one(unsafe)
	if share := dispatchers * smallest / workers; most(sent) > share+1 {
		t.Errorf("one worker is sent %d of %d, its share of the buddy sets is %d: %v", most(sent), dispatchers, share, sent)
	}
	busy := 0
	for i, w := range ws {
		if i%6 != 0 {
			busy += sent[w.ID]
		}
	}
	if busy > dispatchers/2 { // a window of six may hold none that is idle
		t.Errorf("%d of %d went to busy workers", busy, dispatchers)
	}
	if n := len(sent); n < 10 {
		t.Error(fmt.Sprintf("only %d workers are used", n))
	}
}
