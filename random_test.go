package topazfall

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// checker watches a balancer from outside and knows only the four rules; it shares no code with it.
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
	class   Class
	due     int64
	tries   []seenTry
	answers int
}

type seenTry struct {
	worker string
	at     int64
	over   bool
	clean  bool // proved that it never ran
}

func (c *checker) bad(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("seed %d at %d: %s", c.seed, c.now, fmt.Sprintf(format, args...))
}

func (c *checker) act(a Action) {
	if a.Kind != Send && a.Kind != Refuse && a.Kind != Fail && a.Kind != CancelAttempt {
		return
	}
	r := c.requests[a.Request]
	if r == nil {
		c.bad("unknown request in %+v", a)
	}
	switch a.Kind {
	case Send:
		c.send(r, a)
	case Refuse, Fail:
		r.answers++
		if r.answers > 1 || c.now > r.due+c.s.Contract.AnswerSlack {
			c.bad("answer %d at %d, due %d", r.answers, c.now, r.due)
		}
		for _, x := range r.tries {
			forbidden := r.class.Repeat == Unsafe || r.class.Repeat == Keyed && r.class.Group != GroupAll
			if a.Kind == Refuse && forbidden && !(x.over && x.clean) {
				c.bad("refused what may have run")
			}
		}
	case CancelAttempt:
		if a.Attempt < 0 || a.Attempt >= len(r.tries) {
			c.bad("cancels attempt %d of %d", a.Attempt, len(r.tries))
		}
	}
}

func (c *checker) send(r *seenRequest, a Action) {
	w, ok := c.listed[a.Worker]
	if r.answers > 0 || c.now >= r.due {
		c.bad("send after the end")
	}
	if !ok || w.State != Ready {
		c.bad("send to %q, state %v, listed %v", a.Worker, w.State, ok)
	}
	if r.class.Kind != "" && r.class.Kind != w.Kind {
		c.bad("kind %q for a class of %q", w.Kind, r.class.Kind)
	}
	out := 1
	for _, x := range r.tries {
		if !x.over {
			out++
		}
		if x.over && x.clean {
			continue
		}
		was := c.everSeen[x.worker]
		switch {
		case r.class.Repeat == Unsafe:
			c.bad("unsafe sent twice")
		case r.class.Repeat == Keyed && c.now > x.at+r.class.Window:
			c.bad("keyed sent outside its window")
		case r.class.Repeat == Keyed && r.class.Group == GroupZone && was.Zone != w.Zone,
			r.class.Repeat == Keyed && r.class.Group == GroupCell && was.Cell != w.Cell:
			c.bad("keyed left its group")
		}
	}
	if out > 2 || out > 1 && !c.s.Allowed.HedgedRequests || len(r.tries) >= c.s.Allowed.Attempts {
		c.bad("%d attempts out, %d made", out, len(r.tries))
	}
	r.tries = append(r.tries, seenTry{worker: a.Worker, at: c.now})
}

// world plays a random but legal course of events.
type world struct {
	*checker
	rng    *rand.Rand
	b      *Balancer
	timers []timer
}

type timer struct {
	at    int64
	token uint64
}

func (w *world) feed(e Event) {
	for _, a := range w.b.Handle(w.now, &e, nil) {
		w.act(a)
		if a.Kind == SetTimer {
			at := w.now + a.After
			i, _ := slices.BinarySearchFunc(w.timers, at+1, func(t timer, at int64) int { return int(t.at - at) })
			w.timers = slices.Insert(w.timers, i, timer{at, a.Token})
		}
	}
}

func (w *world) randomWorker(i int) Worker {
	v := Worker{ID: fmt.Sprintf("w%d", i), Zone: []string{"a", "b"}[i%2], Kind: []string{"std", "big"}[i%3/2],
		Cell: i % 4, State: WorkerState([]int{0, 0, 0, 1, 2}[w.rng.Intn(5)])}
	if w.rng.Intn(3) == 0 {
		v.StartedAt = w.now - w.rng.Int63n(30e6)
	}
	return v
}

func (w *world) list() {
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

func (w *world) load() Load {
	v := func() float64 { return []float64{-1, 0, 1, 2, 5, 1e12}[w.rng.Intn(6)] }
	return Load{v(), v(), v(), v()}
}

// attempt lets something happen to an attempt that is out.
func (w *world) attempt(id uint64, n int) {
	r := w.requests[id]
	x := &r.tries[n]
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
	x.over, x.clean = true, e.Outcome == Saturated || e.Outcome == ConnectionRefused || e.Outcome == NeverSent
	if e.Outcome == Completed && r.answers == 0 {
		r.answers = 1
	}
	e.Final = r.answers > 0
	w.feed(e)
}

// ring lets the timers that are due go off, in order.
func (w *world) ring() {
	for len(w.timers) > 0 && w.timers[0].at <= w.now {
		token := w.timers[0].token
		w.timers = w.timers[1:]
		w.feed(Event{Kind: TimerDue, Token: token})
	}
}

func (w *world) step(next uint64) uint64 {
	w.now += w.rng.Int63n(15e3)
	if w.rng.Intn(40) == 0 {
		w.list()
	}
	w.ring()
	for range max(0, w.rng.Intn(12)-10) {
		c := w.rng.Intn(len(w.s.Classes))
		due := w.now + w.rng.Int63n(4e6)
		w.requests[next] = &seenRequest{class: w.s.Classes[c], due: due}
		w.feed(Event{Kind: Arrival, Request: next, Class: c, Tenant: -1, Due: due, Hint: w.rng.Int63n(1e6)})
		next++
	}
	for id := uint64(1); id < next; id++ {
		r := w.requests[id]
		for n := range r.tries {
			if !r.tries[n].over && (w.rng.Intn(60) == 0 || w.now >= r.due) {
				w.attempt(id, n)
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
		w := &world{&checker{t: t, s: s, seed: seed, now: 50e6, requests: map[uint64]*seenRequest{},
			listed: map[string]Worker{}, everSeen: map[string]Worker{}},
			rand.New(rand.NewSource(seed)), b, nil}
		w.list()
		next := uint64(1)
		for range 2500 {
			next = w.step(next)
		}
		for range 400 { // nothing new comes: everything must end
			w.now += 15e3
			w.ring()
			for id := uint64(1); id < next; id++ {
				r := w.requests[id]
				for n := range r.tries {
					if !r.tries[n].over && w.now >= r.due {
						w.attempt(id, n)
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
			t.Fatalf("seed %d: %d requests are never forgotten", seed, len(b.requests))
		}
	}
}

// The same events must give the same actions.
func TestDeterminism(t *testing.T) {
	play := func() string {
		r := newRig(t, settings(), fleet(20)...)
		text := ""
		for i := range 300 {
			r.now += 90e3
			id, acts := r.arrive(i % 5)
			text += fmt.Sprintln(acts)
			if n, a := countActions(acts, Send); n > 0 && i%3 > 0 {
				text += fmt.Sprintln(r.done(id, 0, a.Worker, Outcome(i%9)))
			}
			if i%40 == 0 {
				text += fmt.Sprintln(r.handle(Event{Kind: TimerDue, Token: tokenPeriodic}))
			}
		}
		return text
	}
	first, second := play(), play()
	if first != second {
		t.Error("two runs of the same events differ")
	}
}
