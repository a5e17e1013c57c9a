package topazfall

import (
	"testing"

	"topazfall/internal/decide/ramp"
)

// Each rejection names its reason.
func TestRejectReasons(t *testing.T) {
	coldWorkers := func(now int64) []Worker {
		ws := fleet(2)
		for i := range ws {
			ws[i].StartedAt = now
		}
		return ws
	}
	for _, c := range []struct {
		reason  RejectReason
		prepare func(r *rig)
	}{
		{ListEmpty, func(r *rig) { r.handle(Event{Kind: ListSnapshot}) }},
		{NoWorker, func(r *rig) {
			ws := fleet(2)
			ws[0].State, ws[1].State = Draining, Draining
			r.handle(Event{Kind: ListPatch, List: ws})
		}},
		{WorkersEjected, func(r *rig) {
			for _, w := range r.b.ranked {
				w.lastFaultAt, w.ejectedUntil = r.now, r.now+60e6
			}
		}},
		{WorkersCold, func(r *rig) {
			r.handle(Event{Kind: ListPatch, List: coldWorkers(r.now)})
			for _, w := range r.b.ranked {
				w.sentWork.Add(ramp.Sent{At: r.now, Work: 1e9}, r.b.settings.Contract.FallTime)
			}
		}},
		{LateRisk, func(r *rig) { r.b.lateLoss = 1 }},
	} {
		t.Run(c.reason.String(), func(t *testing.T) {
			s := settings()
			s.Classes[safe].LateWorth = 0
			r := newRig(t, s, fleet(2)...)
			c.prepare(r)
			r.id++
			// The aim has all but passed, so that it is useless to hold the request.
			acts := r.handle(Event{Kind: Arrival, Request: r.id, Class: safe, Tenant: -1, Due: r.now + 10e3,
				Hint: 200e3})
			if n, a := countActions(acts, Refuse); n != 1 || a.Reason != c.reason {
				t.Errorf("want a refusal for %v, got %+v", c.reason, acts)
			}
		})
	}
	for reason := range RejectReason(RejectReasonCount) {
		if reason.String() == "" || reason.String() == "unknown" {
			t.Errorf("reason %d has no name", reason)
		}
	}
	if RejectReason(-1).String() != "unknown" || RejectReason(RejectReasonCount).String() != "unknown" {
		t.Error("a value that is no reason has a name")
	}
}

// A clock that steps back, a quota of 0 and a tenant that is not known do not keep a request from its decision.
func TestOddInputsGetADecision(t *testing.T) {
	s := settings()
	s.Dispatchers = 900
	s.Tenants = []Tenant{{Name: "none", Quota: 0}, {Name: "some", Quota: 1}}
	r := newRig(t, s, fleet(60)...)
	for i, tenant := range []int{0, 1, 2, -1} {
		id := uint64(i + 1)
		r.now -= 1e6
		acts := r.handle(Event{Kind: Arrival, Request: id, Class: safe, Tenant: tenant, Due: r.now + 10e6, Hint: 200e3})
		sends, _ := countActions(acts, Send)
		refusals, _ := countActions(acts, Refuse)
		if sends+refusals != 1 {
			t.Errorf("tenant %d at %d: %+v", tenant, r.now, acts)
		}
	}
}
