package topazfall

// Tests of the list of workers and of the buddy set.

import (
	"fmt"
	"testing"
)

func TestDrainStopsSendsAtOnce(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	_, acts := r.arrive(safe)
	first := r.requireSend(acts).Worker
	for _, state := range []WorkerState{Draining, Gone} {
		r.handle(Event{Kind: ListPatch, List: []Worker{{ID: first, Zone: "a", Kind: "std", State: state}}})
		for range 20 {
			if _, acts := r.arrive(safe); r.requireSend(acts).Worker == first {
				t.Fatalf("sent to %s, whose state is %v", first, state)
			}
		}
	}
	r.handle(Event{Kind: ListSnapshot, List: nil})
	if _, acts := r.arrive(safe); len(acts) != 1 || acts[0].Kind != SetTimer {
		t.Errorf("with an empty list a job must be held: %+v", acts)
	}
}

func TestEveryWorkerHasDispatchers(t *testing.T) {
	s := settings()
	s.Dispatchers = 40
	sharers, firsts := map[string]int{}, map[string]int{}
	for me := range s.Dispatchers {
		s.Me = me
		r := newRig(t, s, fleet(40)...)
		for _, w := range r.b.buddies {
			sharers[w.ID]++
		}
		firsts[r.b.buddies[0].ID]++
	}
	for _, w := range fleet(40) {
		if n := sharers[w.ID]; n < minBuddies-1 || n > minBuddies+1 || firsts[w.ID] != 1 {
			t.Errorf("%s is in %d buddy sets and first in %d of them", w.ID, n, firsts[w.ID])
		}
	}
}

// Outside the buddy set the dispatchers must not all fall back to the same workers first.
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
		t.Errorf("40 dispatchers fall back to %d workers", len(got))
	}
}

func TestUnreachableWorkerLeavesBuddySet(t *testing.T) {
	r := newRig(t, settings(), fleet(12)...)
	size := len(r.b.buddies)
	id, acts := r.arrive(unsafe)
	unreachable := r.requireSend(acts).Worker
	r.finishAttempt(id, 0, unreachable, ConnectionRefused)
	for _, w := range r.b.buddies {
		if w.ID == unreachable {
			t.Error("a worker that refuses connections is still a buddy")
		}
	}
	if len(r.b.buddies) != size {
		t.Errorf("the buddy set was not refilled: %d buddies of %d", len(r.b.buddies), size)
	}
	r.now += 60e6
	r.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
	found := false
	for _, w := range r.b.buddies {
		found = found || w.ID == unreachable
	}
	if !found {
		t.Error("the worker is not a buddy again after a minute")
	}
}

// Guards against a worker that counts twice because one change of the list removes it and names it again.
func TestWorkerIsRankedOnce(t *testing.T) {
	r := newRig(t, settings(), fleet(3)...)
	again := fleet(1)[0]
	r.handle(Event{Kind: ListPatch, List: []Worker{{ID: again.ID, State: Gone}, again}})
	if len(r.b.ranked) != 3 {
		t.Errorf("%d of 3 workers are ranked", len(r.b.ranked))
	}
}

func TestWholeListReplaced(t *testing.T) {
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
		t.Errorf("a request after its deadline is not refused: %+v", acts)
	}
}

func TestNoWorkerOfTheKind(t *testing.T) {
	s := settings()
	s.Classes[unsafe].Kind = "big"
	r := newRig(t, s, fleet(4)...)
	_, acts := r.arrive(unsafe)
	if n, _ := countActions(acts, Send); n != 0 {
		t.Errorf("sent to a worker of another kind: %+v", acts)
	}
	r.handle(Event{Kind: ListPatch, List: []Worker{{ID: "b", Zone: "a", Kind: "big"}}})
	_, timer := countActions(acts, SetTimer)
	r.now += timer.After
	if got := r.requireSend(r.handle(Event{Kind: TimerDue, Token: timer.Token})); got.Worker != "b" {
		t.Errorf("sent to %s", got.Worker)
	}
}

// If the list arrives on request only, the balancer starts to watch it at the start. After a failure it does so again
// with the next periodic tasks, not at once.
func TestListIsWatched(t *testing.T) {
	s := settings()
	s.ListOnRequest = true
	b, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: 100e6}
	if n, _ := countActions(r.handle(Event{Kind: ListRestored, List: fleet(3)}), WatchList); n != 1 {
		t.Error("the list is not watched after the start")
	}
	if acts := r.handle(Event{Kind: ListFailed}); len(acts) != 0 || len(r.b.ranked) != 3 {
		t.Errorf("a failure: %+v, %d workers", acts, len(r.b.ranked))
	}
	r.now += r.b.probeInterval()
	if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: tokenPeriodic}), WatchList); n != 1 {
		t.Error("the list is not watched again after a failure")
	}
	r.handle(Event{Kind: ListPatch, List: fleet(4)[3:]})
	r.now += r.b.probeInterval()
	if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: tokenPeriodic}), WatchList); n != 0 ||
		len(r.b.ranked) != 4 {
		t.Errorf("watched again without a failure, or %d workers instead of 4", len(r.b.ranked))
	}
	if p := r.b.probeInterval(); p > 4e6 {
		t.Errorf("a probe interval of %d us", p)
	}
}

// Jobs of one key go to its preferred workers from every dispatcher, even if those are not buddies. While those are
// busy they go to other workers, and when one drains, to the next preferred worker.
func TestJobsOfKeyShareWorkers(t *testing.T) {
	s, key := settings(), uint64(99)
	s.Dispatchers, s.LiveWeights = 40, true
	used := map[string]int{}
	var last *rig
	for me := range 40 {
		s.Me = me
		r := newRig(t, s, fleet(60)...)
		r.id++
		acts := r.handle(Event{Kind: Arrival, Request: r.id, Tenant: -1, Due: r.now + 10e6, Hint: 200e3, Key: key})
		used[r.requireSend(acts).Worker]++
		last = r
	}
	if len(used) > redundancy {
		t.Fatalf("%d workers got the jobs of one key, at most %d should hold its data", len(used), redundancy)
	}
	send := func() string {
		last.id++
		return last.requireSend(last.handle(Event{Kind: Arrival, Request: last.id, Tenant: -1, Due: last.now + 10e6,
			Hint: 200e3, Key: key})).Worker
	}
	usedAtOnce := map[string]bool{}
	for range 40 {
		usedAtOnce[send()] = true
	}
	if len(usedAtOnce) <= redundancy {
		t.Errorf("forty jobs at once went to %d workers while others are free", len(usedAtOnce))
	}
	for w := range used {
		last.handle(Event{Kind: ListPatch, List: []Worker{{ID: w, Zone: "a", Kind: "std", State: Draining}}})
	}
	if w := send(); used[w] > 0 {
		t.Errorf("%s got a job while it drains", w)
	}
}
