package topazfall

import (
	"testing"

	"topazfall/internal/decide/ramp"
)

// A request goes from one balancer to another as it stands: what may have run is not sent again, what never ran may
// be refused, nothing is called off, and the first owes nothing any more.
func TestRequestGoesToAnotherBalancer(t *testing.T) {
	old := newRig(t, settings(), fleet(6)...)
	id, acts := old.arrive(unsafe)
	first := old.requireSend(acts).Worker
	second := old.requireSend(old.done(id, 0, first, ConnectionRefused)).Worker
	old.handle(Event{Kind: JobStarted, Request: id, Attempt: 1, Worker: second})

	young := newRig(t, settings(), fleet(6)...)
	young.b.Restore(young.now, old.b.Memory())
	tries := old.b.Tries(id)
	if acts := old.handle(Event{Kind: HandedOver, Request: id}); len(acts) > 0 || len(old.b.requests) > 0 {
		t.Errorf("the old one wants %+v and holds %d", acts, len(old.b.requests))
	}
	for _, w := range old.b.ranked {
		if len(w.ownAttempts) > 0 {
			t.Errorf("%s still has %d", w.ID, len(w.ownAttempts))
		}
	}
	acts = young.handle(Event{Kind: Resumed, Request: 77, Class: unsafe, Tenant: -1, Due: young.now + 10e6, Hint: 200e3,
		Tries: tries})
	if n, _ := countActions(acts, Send); n > 0 {
		t.Errorf("sent again: %+v", acts)
	}
	if w := young.b.workers[second]; len(w.ownAttempts) != 1 || w.ownAttempts[0].startedAt != young.now {
		t.Errorf("the job at %s is not known", second)
	}
	if n, _ := countActions(young.done(77, 1, second, ConnectionLost), Fail); n != 1 {
		t.Error("what may have run must fail")
	}
}

// A worker that has left the list since keeps its job, and gets nothing new.
func TestResumedAtAGoneWorker(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	r.handle(Event{Kind: Resumed, Request: 7, Class: safe, Tenant: -1, Due: r.now + 10e6, Hint: 200e3,
		Tries: []Try{{Worker: "left", Sent: r.now - 1}}})
	if acts := r.done(7, 0, "left", Saturated); r.requireSend(acts).Worker == "left" {
		t.Error("a worker that is not listed gets a job")
	}
}

// What was learned goes on: who rests, rests; what a cold worker was sent counts; jobs of the old one are backlog.
func TestInherit(t *testing.T) {
	s := settings()
	s.Dispatchers = 1
	workers := fleet(6)
	old := newRig(t, s, workers...)
	cold := workers[0]
	cold.StartedAt = old.now - 1
	old.handle(Event{Kind: ListPatch, List: []Worker{cold}})
	old.b.workers["w0"].sentWork.Add(ramp.Sent{At: old.now, Work: 123}, s.Contract.FallTime)
	old.b.workers["w1"].ejectedUntil = old.now + 5e6
	id, acts := old.arrive(unsafe)
	busy := old.requireSend(acts).Worker
	old.handle(Event{Kind: JobStarted, Request: id, Worker: busy})

	workers[0] = cold
	young := newRig(t, s, workers...)
	if young.b.UnavailableWorkers(young.now) != 0 {
		t.Error("a new one avoids nobody")
	}
	before := young.b.backlog(young.b.workers[busy])
	young.b.Restore(young.now, old.b.Memory())
	if n := young.b.UnavailableWorkers(young.now); n != 1 {
		t.Errorf("%d are avoided", n)
	}
	if a, b := young.b.coldBudget(young.b.workers["w0"]), old.b.coldBudget(old.b.workers["w0"]); a != b {
		t.Errorf("cold share %v, %v before", a, b)
	}
	if after := young.b.backlog(young.b.workers[busy]); after < before {
		t.Errorf("backlog %v, %v without the memory", after, before)
	}
	if old.b.coldBudget(old.b.workers["w0"]) <= 0 {
		t.Fatal("nothing is left to leave to another")
	}
	old.handle(Event{Kind: Replaced, Amount: 1})
	if old.b.coldBudget(old.b.workers["w0"]) > 0 {
		t.Error("one that is replaced leaves cold workers to the other")
	}
	young.b.Restore(young.now, Memory{})
	if young.b.jobTime <= 0 || young.b.UnavailableWorkers(young.now) != 1 {
		t.Error("an empty memory is no memory")
	}
}

// New settings bind every attempt from then on; what is in hand keeps its class else, and its index.
func TestNewSettings(t *testing.T) {
	s := settings()
	r := newRig(t, s, fleet(6)...)
	kept, acts := r.arrive(safe)
	first := r.requireSend(acts).Worker
	capped, acts := r.arrive(safe)
	other := r.requireSend(acts).Worker

	stricter := s
	stricter.Allowed.Attempts = 1
	was := s.Classes[safe]
	was.Repeat, was.Aim = Unsafe, 1
	stricter.Classes = MergeClasses(s.Classes, []Class{{Name: "new", Deadline: 1e6, Aim: 1e6}, was})
	if len(stricter.Classes) != len(s.Classes)+1 || stricter.Classes[safe].Aim != 1 || s.Classes[safe].Aim == 1 {
		t.Fatalf("classes %+v", stricter.Classes)
	}
	r.handle(Event{Kind: NewSettings, Settings: &stricter})
	if acts := r.done(capped, 0, other, Saturated); len(acts) != 1 || acts[0].Kind != Refuse {
		t.Errorf("beyond the attempts allowed now: %+v", acts)
	}
	if c := r.b.requests[kept].class; c.Repeat != Unsafe || c.Aim != s.Classes[safe].Aim {
		t.Errorf("the class of a request in hand is %+v", *c)
	}
	if n, _ := countActions(r.done(kept, 0, first, ConnectionLost), Fail); n != 1 {
		t.Error("what may have run is not failed under the stricter rule")
	}
	if _, acts := r.arrive(len(s.Classes)); len(acts) == 0 {
		t.Error("the new class is not known")
	}
}

// Another order is needed where keyed repeats must stay in a cell, and settings may bring the first such class.
func TestNewSettingsRankAnew(t *testing.T) {
	s := settings()
	all := s.Classes
	s.Classes = all[:celled]
	r := newRig(t, s, fleet(9)...)
	s.Classes = all
	r.handle(Event{Kind: NewSettings, Settings: &s})
	for i, w := range r.b.ranked {
		if w.Cell != i/3 {
			t.Fatalf("%s of cell %d is at %d", w.ID, w.Cell, i)
		}
	}
}
