package topazfall

// The list of workers, and who of them is a buddy of whom.

import (
	"fmt"
	"testing"
)

func TestDrainsStopOnHearing(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	_, acts := r.arrive(safe)
	home := r.requireSend(acts).Worker
	for _, state := range []WorkerState{Draining, Gone} {
		r.handle(Event{Kind: ListPatch, List: []Worker{{ID: home, Zone: "a", Kind: "std", State: state}}})
		for range 20 {
			if _, acts := r.arrive(safe); r.requireSend(acts).Worker == home {
				t.Fatalf("sent to %s, which is %v", home, state)
			}
		}
	}
	r.handle(Event{Kind: ListSnapshot, List: nil})
	if _, acts := r.arrive(safe); len(acts) != 1 || acts[0].Kind != SetTimer {
		t.Errorf("with an empty list a job is held: %+v", acts)
	}
}

func TestEveryWorkerHasItsDispatchers(t *testing.T) {
	s := settings()
	s.Dispatchers = 40
	seen, homes := map[string]int{}, map[string]int{}
	for me := range s.Dispatchers {
		s.Me = me
		r := newRig(t, s, fleet(40)...)
		for _, w := range r.b.buddies {
			seen[w.ID]++
		}
		homes[r.b.buddies[0].ID]++
	}
	for _, w := range fleet(40) {
		if n := seen[w.ID]; n < minBuddies-1 || n > minBuddies+1 || homes[w.ID] != 1 {
			t.Errorf("%s is in %d buddy sets and first in %d", w.ID, n, homes[w.ID])
		}
	}
}

// The fallback outside the buddy set must not send every dispatcher to the same first workers.
func TestFallbackIsSpread(t *testing.T) {
	s := settings()
	s.Dispatchers = 40
	got := map[string]int{}
	for me := range s.Dispatchers {
		s.Me = me
		r := newRig(t, s, fleet(40)...)
		got[r.b.nonBuddies[0].ID]++
	}
	if len(got) < 30 {
		t.Errorf("40 dispatchers turn to %d workers", len(got))
	}
}

func TestDeadWorkersLeaveTheBuddySet(t *testing.T) {
	r := newRig(t, settings(), fleet(12)...)
	size := len(r.b.buddies)
	id, acts := r.arrive(unsafe)
	dead := r.requireSend(acts).Worker
	r.done(id, 0, dead, ConnectionRefused)
	for _, w := range r.b.buddies {
		if w.ID == dead {
			t.Error("a worker that refuses connections is still a buddy")
		}
	}
	if len(r.b.buddies) != size {
		t.Errorf("the window did not refill: %d buddies of %d", len(r.b.buddies), size)
	}
	r.now += 60e6
	r.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
	found := false
	for _, w := range r.b.buddies {
		found = found || w.ID == dead
	}
	if !found {
		t.Error("it was never tried again")
	}
}

func TestWideChangesOfTheList(t *testing.T) {
	r := newRig(t, settings(), fleet(12)...)
	r.handle(Event{Kind: ListSnapshot, List: nil})
	if len(r.b.buddies) != 0 {
		t.Error("buddies without a list")
	}
	var other []Worker
	for i := range 5 {
		other = append(other, Worker{ID: fmt.Sprintf("new%d", i), Zone: "b", Kind: "odd"})
	}
	r.handle(Event{Kind: ListSnapshot, List: append(other, other[0])})
	if len(r.b.ranked) != 5 || len(r.b.buddies) != 5 {
		t.Errorf("%d ranked, %d buddies", len(r.b.ranked), len(r.b.buddies))
	}
	acts := r.handle(Event{Kind: Arrival, Request: 77, Due: r.now - 5, Tenant: -1})
	if n, _ := countActions(acts, Refuse); n != 1 {
		t.Errorf("a deadline already past: %+v", acts)
	}
}

func TestNoWorkerOfTheKind(t *testing.T) {
	s := settings()
	s.Classes[unsafe].Kind = "big"
	r := newRig(t, s, fleet(4)...)
	_, acts := r.arrive(unsafe)
	if n, _ := countActions(acts, Send); n != 0 {
		t.Errorf("sent to another kind: %+v", acts)
	}
	r.handle(Event{Kind: ListPatch, List: []Worker{{ID: "b", Zone: "a", Kind: "big"}}})
	_, timer := countActions(acts, SetTimer)
	r.now += timer.After
	if got := r.requireSend(r.handle(Event{Kind: TimerDue, Token: timer.Token})); got.Worker != "b" {
		t.Errorf("sent to %s", got.Worker)
	}
}

// Where the list must be asked for, a start subscribes, and a failure is answered at the next pulse, not at once.
func TestListIsFollowed(t *testing.T) {
	s := settings()
	s.ListOnRequest = true
	b, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: 100e6}
	if n, _ := countActions(r.handle(Event{Kind: ListRestored, List: fleet(3)}), WatchList); n != 1 {
		t.Error("a start does not subscribe")
	}
	if acts := r.handle(Event{Kind: ListFailed}); len(acts) != 0 || len(r.b.ranked) != 3 {
		t.Errorf("a failure: %+v, %d workers", acts, len(r.b.ranked))
	}
	r.now += r.b.probeInterval()
	if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: tokenPeriodic}), WatchList); n != 1 {
		t.Error("a failed subscription is not asked for again")
	}
	r.handle(Event{Kind: ListPatch, List: fleet(4)[3:]})
	r.now += r.b.probeInterval()
	if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: tokenPeriodic}), WatchList); n != 0 ||
		len(r.b.ranked) != 4 {
		t.Errorf("asked again without need, %d workers", len(r.b.ranked))
	}
	if p := r.b.probeInterval(); p > 4e6 {
		t.Errorf("a pulse of %d", p)
	}
}

// Jobs of one key go where what they need is kept, from whichever dispatcher, and beside the buddies; where those have
// much to do, to others, and on to the next home when one leaves.
func TestJobsOfAKeyMeet(t *testing.T) {
	s, key := settings(), uint64(99)
	s.Dispatchers, s.LiveWeights = 40, true
	met := map[string]int{}
	var first *rig
	for me := range 40 {
		s.Me = me
		r := newRig(t, s, fleet(60)...)
		r.id++
		acts := r.handle(Event{Kind: Arrival, Request: r.id, Tenant: -1, Due: r.now + 10e6, Hint: 200e3, Key: key})
		met[r.requireSend(acts).Worker]++
		first = r
	}
	if len(met) > redundancy {
		t.Fatalf("%d workers got the jobs of one key, %d should hold what they need", len(met), redundancy)
	}
	send := func() string {
		first.id++
		return first.requireSend(first.handle(Event{Kind: Arrival, Request: first.id, Tenant: -1, Due: first.now + 10e6,
			Hint: 200e3, Key: key})).Worker
	}
	used := map[string]bool{}
	for range 40 {
		used[send()] = true
	}
	if len(used) <= redundancy {
		t.Errorf("forty jobs at once wait at %d workers while others are free", len(used))
	}
	for w := range met {
		first.handle(Event{Kind: ListPatch, List: []Worker{{ID: w, Zone: "a", Kind: "std", State: Draining}}})
	}
	if w := send(); met[w] > 0 {
		t.Errorf("%s drains and got a job", w)
	}
}
