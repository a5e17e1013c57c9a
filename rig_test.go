package topazfall

// Helpers of the module's tests: plain settings, and a balancer that is driven by hand.

import (
	"fmt"
	"testing"
)

// settings returns plain settings with one class of each repeat rule and group.
func settings() Settings {
	class := func(name string, rule RepeatRule, g Group) Class {
		return Class{Name: name, Deadline: 10e6, Aim: 500e3, Stretch: 2, Worth: 1, LateWorth: 0.3,
			Repeat: rule, Group: g, Window: 4e6}
	}
	return Settings{
		Seed: 1, Me: 0, Dispatchers: 4, Zone: "a", Zones: []string{"a"}, Kinds: []string{"std", "big"},
		Classes: []Class{class("safe", Safe, GroupAll), class("unsafe", Unsafe, GroupAll),
			class("keyed", Keyed, GroupAll), class("zoned", Keyed, GroupZone), class("celled", Keyed, GroupCell)},
		Contract: Contract{AnswerSlack: 20e3, DrainGrace: 500e3, ColdFrom: 0.2, RampTime: 20e6,
			FallMultiple: 2.5, FallTime: 1e6},
		Allowed: Allowed{Cancel: true, HedgedRequests: true, Attempts: 5, DialTimeout: 250e3},
		Tick:    5e3, LoadReports: ReportsInAnswers, ReportsStart: true,
	}
}

// The indexes of the classes in settings.
const (
	safe = iota
	unsafe
	keyed
	zoned
	celled
)

// rig drives a balancer by hand.
type rig struct {
	t   *testing.T
	b   *Balancer
	now int64
	id  uint64
}

// newRig returns a rig whose balancer knows a list of workers.
func newRig(t *testing.T, s Settings, workers ...Worker) *rig {
	t.Helper()
	b, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: 100e6}
	r.handle(Event{Kind: ListRestored, List: workers})
	return r
}

// handle passes an event to the balancer and returns its actions.
func (r *rig) handle(e Event) []Action {
	if e.Load == (Load{}) {
		e.Load = NoLoad
	}
	return r.b.Handle(r.now, &e, nil)
}

// arrive brings a request of a class and returns its id and the actions.
func (r *rig) arrive(class int) (uint64, []Action) {
	r.id++
	return r.id, r.handle(Event{Kind: Arrival, Request: r.id, Class: class, Tenant: -1, Due: r.now + 10e6, Hint: 200e3})
}

// finishAttempt ends an attempt and returns the actions.
func (r *rig) finishAttempt(id uint64, attempt int, w string, o Outcome) []Action {
	return r.handle(Event{Kind: AttemptDone, Request: id, Attempt: attempt, Worker: w, Outcome: o,
		Final: o == Completed})
}

// countActions returns how many actions of a kind there are, and the last of them.
func countActions(acts []Action, k ActionKind) (n int, last Action) {
	for _, a := range acts {
		if a.Kind == k {
			n, last = n+1, a
		}
	}
	return n, last
}

// requireSend fails the test unless exactly one of the actions is a Send, and returns it.
func (r *rig) requireSend(acts []Action) Action {
	r.t.Helper()
	n, a := countActions(acts, Send)
	if n != 1 {
		r.t.Fatalf("want one send, got %+v", acts)
	}
	return a
}

// fleet returns n workers of one zone and kind, three in each cell.
func fleet(n int) []Worker {
	var ws []Worker
	for i := range n {
		ws = append(ws, Worker{ID: fmt.Sprintf("w%d", i), Zone: "a", Kind: "std", Cell: i / 3})
	}
	return ws
}
