package topazfall

import (
	"testing"

	"topazfall/internal/decide/ramp"
)

// A request is handed over with the state of its attempts: a job that may have run is not sent again, one that
// never ran may be refused, nothing is cancelled, and the predecessor keeps nothing of the request.
func TestRequestHandedOver(t *testing.T) {
	predecessor := newRig(t, settings(), fleet(6)...)
	id, acts := predecessor.arrive(unsafe)
	first := predecessor.requireSend(acts).Worker
	second := predecessor.requireSend(predecessor.finishAttempt(id, 0, first, ConnectionRefused)).Worker
	predecessor.handle(Event{Kind: JobStarted, Request: id, Attempt: 1, Worker: second})

	successor := newRig(t, settings(), fleet(6)...)
	successor.b.Restore(successor.now, predecessor.b.Memory())
	tries := predecessor.b.Tries(id)
	if acts := predecessor.handle(Event{Kind: HandedOver, Request: id}); len(acts) > 0 ||
		len(predecessor.b.requests) > 0 {
		t.Errorf("the predecessor emits %+v and keeps %d requests", acts, len(predecessor.b.requests))
	}
	for _, w := range predecessor.b.ranked {
		if len(w.ownAttempts) > 0 {
			t.Errorf("%s still has %d attempts", w.ID, len(w.ownAttempts))
		}
	}
	acts = successor.handle(Event{Kind: Resumed, Request: 77, Class: unsafe, Tenant: -1, Due: successor.now + 10e6,
		Hint: 200e3, Tries: tries})
	if n, _ := countActions(acts, Send); n > 0 {
		t.Errorf("sent again: %+v", acts)
	}
	if w := successor.b.workers[second]; len(w.ownAttempts) != 1 || w.ownAttempts[0].startedAt != successor.now {
		t.Errorf("the successor does not know the job at %s", second)
	}
	if n, _ := countActions(successor.finishAttempt(77, 1, second, ConnectionLost), Fail); n != 1 {
		t.Error("a job that may have run must fail")
	}
}

// An attempt at a worker that has left the list is resumed, but the worker gets no new job.
func TestResumedAttemptAtRemovedWorker(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	r.handle(Event{Kind: Resumed, Request: 7, Class: safe, Tenant: -1, Due: r.now + 10e6, Hint: 200e3,
		Tries: []Try{{Worker: "left", Sent: r.now - 1}}})
	if acts := r.finishAttempt(7, 0, "left", Saturated); r.requireSend(acts).Worker == "left" {
		t.Error("a worker that is not listed got a job")
	}
}

// The successor restores what was learned: ejected workers stay ejected, work sent to a cold worker counts, and the
// jobs of the predecessor are part of the backlog.
func TestRestore(t *testing.T) {
	s := settings()
	s.Dispatchers = 1
	workers := fleet(6)
	predecessor := newRig(t, s, workers...)
	cold := workers[0]
	cold.StartedAt = predecessor.now - 1
	predecessor.handle(Event{Kind: ListPatch, List: []Worker{cold}})
	predecessor.b.workers["w0"].sentWork.Add(ramp.Sent{At: predecessor.now, Work: 123}, s.Contract.FallTime)
	predecessor.b.workers["w1"].ejectedUntil = predecessor.now + 5e6
	id, acts := predecessor.arrive(unsafe)
	busy := predecessor.requireSend(acts).Worker
	predecessor.handle(Event{Kind: JobStarted, Request: id, Worker: busy})

	workers[0] = cold
	successor := newRig(t, s, workers...)
	if successor.b.UnavailableWorkers(successor.now) != 0 {
		t.Error("a new balancer has unavailable workers")
	}
	before := successor.b.backlog(successor.b.workers[busy])
	successor.b.Restore(successor.now, predecessor.b.Memory())
	if n := successor.b.UnavailableWorkers(successor.now); n != 1 {
		t.Errorf("%d workers are unavailable, want 1", n)
	}
	if a, b := successor.b.coldBudget(successor.b.workers["w0"]),
		predecessor.b.coldBudget(predecessor.b.workers["w0"]); a != b {
		t.Errorf("cold budget %v, want %v", a, b)
	}
	if after := successor.b.backlog(successor.b.workers[busy]); after < before {
		t.Errorf("backlog %v, %v without the memory", after, before)
	}
	if predecessor.b.coldBudget(predecessor.b.workers["w0"]) <= 0 {
		t.Fatal("the predecessor has no cold budget to leave to the successor")
	}
	predecessor.handle(Event{Kind: Replaced, Amount: 1})
	if predecessor.b.coldBudget(predecessor.b.workers["w0"]) > 0 {
		t.Error("a balancer with a successor still has a cold budget")
	}
	successor.b.Restore(successor.now, Memory{})
	if successor.b.jobTime <= 0 || successor.b.UnavailableWorkers(successor.now) != 1 {
		t.Error("an empty memory must change nothing")
	}
}

// Between the moment at which a successor gets the memory and the one from which on it serves, its predecessor goes on
// sending to a cold worker. A successor that did not count this would send as much again: after two replacements in a
// row, three dispatchers' shares would reach the worker within the fall time, more than it can take.
func TestColdWorkSinceTheMemoryCounts(t *testing.T) {
	s := settings()
	s.Dispatchers = 1
	workers := fleet(1)
	workers[0].StartedAt = newRig(t, s).now - 1
	limit, total, serving := 0.0, 0.0, newRig(t, s, workers...)
	for range 3 {
		successor := newRig(t, s, workers...)
		successor.b.Restore(successor.now, serving.b.Memory())
		for budget := serving.b.coldBudget(serving.b.workers["w0"]); budget > 0; {
			id, acts := serving.arrive(safe)
			if n, _ := countActions(acts, Send); n == 0 {
				break
			}
			total += serving.b.requests[id].work
			serving.handle(Event{Kind: JobStarted, Request: id, Worker: "w0"})
		}
		_, limit, _ = serving.b.coldTurn(serving.b.workers["w0"])
		serving.handle(Event{Kind: Replaced, Amount: 1})
		successor.b.RestoreColdWork(serving.b.ColdWork())
		serving = successor
	}
	if total == 0 || total > limit {
		t.Errorf("%v of work in the fall time, want up to %v", total, limit)
	}
}

// New settings apply to every later attempt. A request in progress otherwise keeps its class, and classes keep their
// indexes.
func TestNewSettings(t *testing.T) {
	s := settings()
	r := newRig(t, s, fleet(6)...)
	kept, acts := r.arrive(safe)
	first := r.requireSend(acts).Worker
	capped, acts := r.arrive(safe)
	other := r.requireSend(acts).Worker

	stricter := s
	stricter.Allowed.Attempts = 1
	stricterClass := s.Classes[safe]
	stricterClass.Repeat, stricterClass.Aim = Unsafe, 1
	stricter.Classes = MergeClasses(s.Classes, []Class{{Name: "new", Deadline: 1e6, Aim: 1e6}, stricterClass})
	if len(stricter.Classes) != len(s.Classes)+1 || stricter.Classes[safe].Aim != 1 || s.Classes[safe].Aim == 1 {
		t.Fatalf("classes %+v", stricter.Classes)
	}
	r.handle(Event{Kind: NewSettings, Settings: &stricter})
	if acts := r.finishAttempt(capped, 0, other, Saturated); len(acts) != 1 || acts[0].Kind != Refuse {
		t.Errorf("not refused at the new limit of attempts: %+v", acts)
	}
	if c := r.b.requests[kept].class; c.Repeat != Unsafe || c.Aim != s.Classes[safe].Aim {
		t.Errorf("the class of a request in progress is %+v", *c)
	}
	if n, _ := countActions(r.finishAttempt(kept, 0, first, ConnectionLost), Fail); n != 1 {
		t.Error("a job that may have run does not fail under the stricter rule")
	}
	if _, acts := r.arrive(len(s.Classes)); len(acts) == 0 {
		t.Error("the new class is not known")
	}
}

// New settings may bring the first class whose repeats must stay in a cell, which needs another order of the workers.
func TestNewSettingsChangeOrder(t *testing.T) {
	s := settings()
	all := s.Classes
	s.Classes = all[:celled]
	r := newRig(t, s, fleet(9)...)
	s.Classes = all
	r.handle(Event{Kind: NewSettings, Settings: &s})
	for i, w := range r.b.ranked {
		if w.Cell != i/3 {
			t.Fatalf("%s of cell %d is at place %d", w.ID, w.Cell, i)
		}
	}
}

// A balancer whose successor continues its requests begins none itself: it may be ended before the worker answers, and
// the request would be lost. It holds those without an outstanding attempt, whether they arrive or an attempt of theirs
// ends, and the successor sends them.
func TestLeavingBalancerHoldsRequests(t *testing.T) {
	r, successor := newRig(t, settings(), fleet(6)...), newRig(t, settings(), fleet(6)...)
	retried, acts := r.arrive(safe)
	first := r.requireSend(acts).Worker
	r.handle(Event{Kind: Leaving, Amount: 1})
	arrived, acts := r.arrive(unsafe)
	requireHeld(t, acts)
	requireHeld(t, r.finishAttempt(retried, 0, first, Saturated))
	for _, held := range []uint64{arrived, retried} {
		tries := r.b.Tries(held)
		if acts := r.handle(Event{Kind: HandedOver, Request: held}); len(acts) > 0 {
			t.Errorf("%+v", acts)
		}
		send := successor.requireSend(successor.handle(Event{Kind: Resumed, Request: held, Class: unsafe, Tenant: -1,
			Due: successor.now + 10e6, Hint: 200e3, Tries: tries}))
		if held == retried && send.Worker == first {
			t.Error("sent to the worker that has turned it away")
		}
	}
	if len(r.b.requests) > 0 {
		t.Errorf("%d requests are left", len(r.b.requests))
	}
}

// A request goes on with the class that it had at the balancer that began it. By the class of its name in the settings
// here, a job that must not run twice would be sent again after an attempt that may have run, or be refused.
func TestResumedRequestKeepsItsClass(t *testing.T) {
	s := settings()
	own := s.Classes[unsafe]
	s.Classes[unsafe].Repeat = Safe
	for name, tries := range map[string][]Try{
		"the attempt is lost here": {{Worker: "w1", Sent: 99e6}},
		"it was lost there":        {{Worker: "w1", Sent: 99e6, Done: true}},
	} {
		r := newRig(t, s, fleet(6)...)
		acts := r.handle(Event{Kind: Resumed, Request: 7, Class: unsafe, OwnClass: &own, Tenant: -1, Due: r.now + 10e6,
			Hint: 200e3, Tries: tries})
		if class, known := r.b.ClassOf(7); known && class != own {
			t.Errorf("%s: the class is %+v", name, class)
		}
		if !tries[0].Done {
			acts = r.finishAttempt(7, 0, "w1", ConnectionLost)
		}
		if n, _ := countActions(acts, Fail); n != 1 {
			t.Errorf("%s: %+v", name, acts)
		}
	}
	if _, known := newRig(t, s).b.ClassOf(7); known {
		t.Error("a request that is not in progress has a class")
	}
}

// requireHeld fails the test unless the only action is a timer.
func requireHeld(t *testing.T, acts []Action) {
	t.Helper()
	if len(acts) != 1 || acts[0].Kind != SetTimer {
		t.Fatalf("not held: %+v", acts)
	}
}

// A request that is held for the successor gets its answer in time if nobody takes it: it is sent when the successor
// has ended, and rejected when its time is over or it may not be sent again.
func TestHeldRequestIsAnswered(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	began, acts := r.arrive(unsafe)
	first := r.requireSend(acts).Worker
	r.handle(Event{Kind: Leaving, Amount: 1})
	if n, _ := countActions(r.finishAttempt(began, 0, first, ConnectionLost), Fail); n != 1 {
		t.Error("a job that may have run is held")
	}
	late, acts := r.arrive(safe)
	requireHeld(t, acts)
	r.now += acts[0].After
	requireHeld(t, r.handle(Event{Kind: TimerDue, Token: acts[0].Token}))
	r.now += 10e6
	if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: acts[0].Token}), Refuse); n != 1 {
		t.Errorf("request %d is not answered when its time is over", late)
	}
	_, acts = r.arrive(safe)
	requireHeld(t, acts)
	r.requireSend(r.handle(Event{Kind: Leaving}))
}
