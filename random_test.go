package topazfall

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// checker checks the actions of a balancer against the rules of the service: one final answer in time, no job run again
// where its class forbids it, nothing sent to a worker that is not ready or not listed, and no more attempts than are
// allowed. It shares no code with the balancer.
type checker struct {
	t        *testing.T
	s        Settings
	seed     int64
	now      int64
	requests map[uint64]*seenRequest
	listed   map[string]Worker
	everSeen map[string]Worker
}

type seenRequest struct {
	class    Class
	due      int64
	attempts []seenAttempt
	answers  int
}

type seenAttempt struct {
	worker   string
	at       int64
	done     bool
	neverRan bool // its outcome proves that the job never ran
}

func (c *checker) fail(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("seed %d at %d: %s", c.seed, c.now, fmt.Sprintf(format, args...))
}

func (c *checker) checkAction(a Action) {
	if a.Kind != Send && a.Kind != Refuse && a.Kind != Fail && a.Kind != CancelAttempt {
		return
	}
	r := c.requests[a.Request]
	if r == nil {
		c.fail("action for an unknown request: %+v", a)
	}
	switch a.Kind {
	case Send:
		c.checkSend(r, a)
	case Refuse, Fail:
		r.answers++
		if r.answers > 1 || c.now > r.due+c.s.Contract.AnswerSlack {
			c.fail("answer %d at %d, deadline %d", r.answers, c.now, r.due)
		}
		for _, x := range r.attempts {
			forbidden := r.class.Repeat == Unsafe || r.class.Repeat == Keyed && r.class.Group != GroupAll
			if a.Kind == Refuse && forbidden && !(x.done && x.neverRan) {
				c.fail("refused a job that may have run")
			}
		}
	case CancelAttempt:
		if a.Attempt < 0 || a.Attempt >= len(r.attempts) {
			c.fail("cancelled attempt %d of %d", a.Attempt, len(r.attempts))
		}
	}
}

func (c *checker) checkSend(r *seenRequest, a Action) {
	w, ok := c.listed[a.Worker]
	if r.answers > 0 || c.now >= r.due {
		c.fail("sent after the answer or the deadline")
	}
	if !ok || w.State != Ready {
		c.fail("sent to %q, state %v, listed %v", a.Worker, w.State, ok)
	}
	if r.class.Kind != "" && r.class.Kind != w.Kind {
		c.fail("sent to a worker of kind %q for a class of kind %q", w.Kind, r.class.Kind)
	}
	out := 1
	for _, x := range r.attempts {
		if !x.done {
			out++
		}
		if x.done && x.neverRan {
			continue
		}
		was := c.everSeen[x.worker]
		switch {
		case r.class.Repeat == Unsafe:
			c.fail("an unsafe job was sent twice")
		case r.class.Repeat == Keyed && c.now > x.at+r.class.Window:
			c.fail("a keyed job was sent outside its window")
		case r.class.Repeat == Keyed && r.class.Group == GroupZone && was.Zone != w.Zone,
			r.class.Repeat == Keyed && r.class.Group == GroupCell && was.Cell != w.Cell:
			c.fail("a keyed job left its group")
		}
	}
	if out > 2 || out > 1 && !c.s.Allowed.HedgedRequests || len(r.attempts) >= c.s.Allowed.Attempts {
		c.fail("%d attempts outstanding, %d made before", out, len(r.attempts))
	}
	r.attempts = append(r.attempts, seenAttempt{worker: a.Worker, at: c.now})
}

// simulation feeds a random but legal sequence of events.
type simulation struct {
	*checker
	rng    *rand.Rand
	b      *Balancer
	timers []timer
}

type timer struct {
	at    int64
	token uint64
}

func (w *simulation) feed(e Event) {
	for _, a := range w.b.Handle(w.now, &e, nil) {
		w.checkAction(a)
		if a.Kind == SetTimer {
			at := w.now + a.After
			i, _ := slices.BinarySearchFunc(w.timers, at+1, func(t timer, at int64) int { return int(t.at - at) })
			w.timers = slices.Insert(w.timers, i, timer{at, a.Token})
		}
	}
}

func (w *simulation) randomWorker(i int) Worker {
	v := Worker{ID: fmt.Sprintf("w%d", i), Zone: []string{"a", "b"}[i%2], Kind: []string{"std", "big"}[i%3/2],
		Cell: i % 4, State: WorkerState([]int{0, 0, 0, 1, 2}[w.rng.Intn(5)])}
	if w.rng.Intn(3) == 0 {
		v.StartedAt = w.now - w.rng.Int63n(30e6)
	}
	return v
}

func (w *simulation) changeList() {
	e := Event{Kind: []EventKind{ListPatch, ListPatch, ListSnapshot, ListRestored, ListFailed}[w.rng.Intn(5)]}
	if e.Kind == ListFailed {
		w.feed(e)
		return
	}
	if e.Kind != ListPatch {
		w.listed = map[string]Worker{}
	}
	for i := range 12 {
		if w.rng.Intn(2) == 0 {
			v := w.randomWorker(i)
			if e.Kind != ListPatch && v.State == Gone {
				continue
			}
			e.List = append(e.List, v)
			w.listed[v.ID], w.everSeen[v.ID] = v, v
		}
	}
	w.feed(e)
}

func (w *simulation) load() Load {
	v := func() float64 { return []float64{-1, 0, 1, 2, 5, 1e12}[w.rng.Intn(6)] }
	return Load{v(), v(), v(), v()}
}

// advanceAttempt generates an event for an outstanding attempt.
func (w *simulation) advanceAttempt(id uint64, n int) {
	r := w.requests[id]
	x := &r.attempts[n]
	e := Event{Request: id, Attempt: n, Worker: x.worker, Load: w.load()}
	if k := w.rng.Intn(4); k < 2 && w.now < r.due {
		e.Kind = []EventKind{JobStarted, JobProgress}[k]
		w.feed(e)
		return
	}
	e.Kind, e.Outcome = AttemptDone, Outcome(w.rng.Intn(int(Unusable)+1))
	if w.now >= r.due {
		e.Outcome = TimedOut
	}
	x.done, x.neverRan = true, e.Outcome == Saturated || e.Outcome == ConnectionRefused || e.Outcome == NeverSent
	if e.Outcome == Completed && r.answers == 0 {
		r.answers = 1
	}
	e.Final = r.answers > 0
	w.feed(e)
}

// fireTimers delivers the timers that are due, in order.
func (w *simulation) fireTimers() {
	for len(w.timers) > 0 && w.timers[0].at <= w.now {
		token := w.timers[0].token
		w.timers = w.timers[1:]
		w.feed(Event{Kind: TimerDue, Token: token})
	}
}

func (w *simulation) step(next uint64) uint64 {
	w.now += w.rng.Int63n(15e3)
	if w.rng.Intn(40) == 0 {
		w.changeList()
	}
	w.fireTimers()
	for range max(0, w.rng.Intn(12)-10) {
		c := w.rng.Intn(len(w.s.Classes))
		due := w.now + w.rng.Int63n(4e6)
		w.requests[next] = &seenRequest{class: w.s.Classes[c], due: due}
		w.feed(Event{Kind: Arrival, Request: next, Class: c, Tenant: -1, Due: due, Hint: w.rng.Int63n(1e6)})
		next++
	}
	for id := uint64(1); id < next; id++ {
		r := w.requests[id]
		for n := range r.attempts {
			if !r.attempts[n].done && (w.rng.Intn(60) == 0 || w.now >= r.due) {
				w.advanceAttempt(id, n)
			}
		}
		if r.answers == 0 && w.rng.Intn(3000) == 0 {
			r.answers = 1
			w.feed(Event{Kind: ClientGone, Request: id})
		}
	}
	return next
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range int64(60) {
		s := settings()
		s.Seed, s.Zones, s.Dispatchers = uint64(seed), []string{"a", "b"}, 1+int(seed%5)
		s.Me = int(seed) % s.Dispatchers
		s.Allowed.HedgedRequests, s.Allowed.Cancel, s.ReportsStart = seed%2 == 0, seed%3 != 0, seed%5 != 0
		s.Allowed.Attempts, s.LiveWeights = 1+int(seed%6), seed%7 < 3
		if seed%4 == 0 {
			s.Classes[unsafe].Kind = "big"
		}
		b, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		w := &simulation{&checker{t: t, s: s, seed: seed, now: 50e6, requests: map[uint64]*seenRequest{},
			listed: map[string]Worker{}, everSeen: map[string]Worker{}},
			rand.New(rand.NewSource(seed)), b, nil}
		w.changeList()
		next := uint64(1)
		for range 2500 {
			next = w.step(next)
		}
		for range 400 { // without new requests everything must end
			w.now += 15e3
			w.fireTimers()
			for id := uint64(1); id < next; id++ {
				r := w.requests[id]
				for n := range r.attempts {
					if !r.attempts[n].done && w.now >= r.due {
						w.advanceAttempt(id, n)
					}
				}
			}
		}
		for id, r := range w.requests {
			if r.answers != 1 {
				t.Fatalf("seed %d: request %d has %d answers", seed, id, r.answers)
			}
		}
		if len(b.requests) != 0 {
			t.Fatalf("seed %d: %d requests are never removed", seed, len(b.requests))
		}
	}
}

// The same events must give the same actions.
func TestDeterminism(t *testing.T) {
	run := func() string {
		r := newRig(t, settings(), fleet(20)...)
		text := ""
		for i := range 300 {
			r.now += 90e3
			id, acts := r.arrive(i % 5)
			text += fmt.Sprintln(acts)
			if n, a := countActions(acts, Send); n > 0 && i%3 > 0 {
				text += fmt.Sprintln(r.finishAttempt(id, 0, a.Worker, Outcome(i%9)))
			}
			if i%40 == 0 {
				text += fmt.Sprintln(r.handle(Event{Kind: TimerDue, Token: tokenPeriodic}))
			}
		}
		return text
	}
	first, second := run(), run()
	if first != second {
		t.Error("two runs of the same events differ")
	}
}
