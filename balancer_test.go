package topazfall

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
)

// settings returns plain settings with one class of each repeat rule.
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
		Allowed: Allowed{Cancel: true, SecondCopies: true, Attempts: 5, DialTimeout: 250e3},
		Tick:    5e3, ReportsIn: ReportsInAnswers, TellsStart: true,
	}
}

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

func newRig(t *testing.T, s Settings, workers ...Worker) *rig {
	t.Helper()
	b, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: 100e6}
	r.on(Event{Kind: ListStale, List: workers})
	return r
}

func (r *rig) on(e Event) []Action {
	if e.Load == (Load{}) {
		e.Load = NoLoad
	}
	return r.b.Handle(r.now, &e, nil)
}

func (r *rig) arrive(class int) (uint64, []Action) {
	r.id++
	return r.id, r.on(Event{Kind: Arrival, Request: r.id, Class: class, Tenant: -1, Due: r.now + 10e6, Hint: 200e3})
}

func (r *rig) done(id uint64, attempt int, w string, o Outcome) []Action {
	return r.on(Event{Kind: AttemptDone, Request: id, Attempt: attempt, Worker: w, Outcome: o, Final: o == Completed})
}

// count returns how many actions of a kind there are, and the last of them.
func count(acts []Action, k ActionKind) (n int, last Action) {
	for _, a := range acts {
		if a.Kind == k {
			n, last = n+1, a
		}
	}
	return n, last
}

func (r *rig) sends(acts []Action) Action {
	r.t.Helper()
	n, a := count(acts, Send)
	if n != 1 {
		r.t.Fatalf("want one send, got %+v", acts)
	}
	return a
}

func fleet(n int) []Worker {
	var ws []Worker
	for i := range n {
		ws = append(ws, Worker{ID: fmt.Sprintf("w%d", i), Zone: "a", Kind: "std", Cell: i / 3})
	}
	return ws
}

func TestPageLimits(t *testing.T) {
	text, err := os.ReadFile("balancer.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for i, l := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(l) != "" {
			lines++
		}
		if len([]rune(strings.ReplaceAll(l, "\t", "    "))) > 110+8 || len([]rune(l)) > 110 {
			t.Errorf("balancer.go:%d is over 110 columns", i+1)
		}
	}
	if lines > 650 {
		t.Errorf("balancer.go has %d lines that are not blank, 650 at most", lines)
	}
	if !strings.Contains(strings.Join(strings.SplitN(string(text), "\n", 8)[:7], "\n"), "topazfall.go") {
		t.Error("the top of balancer.go does not name topazfall.go")
	}
}

func TestNewNamesTheBadSetting(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"Dispatchers":           func(s *Settings) { s.Dispatchers = 0 },
		"Me":                    func(s *Settings) { s.Me = -1 },
		"Classes":               func(s *Settings) { s.Classes = nil },
		"Allowed.Attempts":      func(s *Settings) { s.Allowed.Attempts = 0 },
		"Contract.ColdFrom":     func(s *Settings) { s.Contract.ColdFrom = 2 },
		`Classes[1] ("unsafe")`: func(s *Settings) { s.Classes[1].Deadline = 0 },
	} {
		s := settings()
		spoil(&s)
		if _, err := New(s); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error is %v", name, err)
		}
	}
}

// After each outcome: which classes may be sent again, and what the final answer may be.
func TestAfterOutcome(t *testing.T) {
	for o := Errored; o <= Unusable; o++ {
		for class := safe; class <= celled; class++ {
			r := newRig(t, settings(), fleet(6)...)
			id, acts := r.arrive(class)
			first := r.sends(acts)
			r.now += 1000
			acts = r.done(id, 0, first.Worker, o)
			again, second := count(acts, Send)
			failed, _ := count(acts, Fail)
			refused, _ := count(acts, Refuse)
			if class == unsafe && !o.NotRun() {
				if again+refused > 0 || failed != 1 {
					t.Errorf("unsafe after %v: %+v", o, acts)
				}
				continue
			}
			if again != 1 || failed+refused != 0 {
				t.Errorf("class %d after %v: %+v", class, o, acts)
			} else if second.Worker == first.Worker {
				t.Errorf("class %d after %v: the same worker again", class, o)
			}
			if class == celled && !o.NotRun() {
				v, w := r.b.workers[first.Worker], r.b.workers[second.Worker]
				if v.Cell != w.Cell {
					t.Errorf("keyed repeat left its cell: %d to %d", v.Cell, w.Cell)
				}
			}
		}
	}
}

func TestKeyedStaysInItsWindow(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	id, acts := r.arrive(celled)
	first := r.sends(acts)
	r.now += 4e6 + 1
	acts = r.done(id, 0, first.Worker, Severed)
	if n, _ := count(acts, Fail); n != 1 {
		t.Errorf("after its window a keyed job must fail, not be refused or sent: %+v", acts)
	}
	id, acts = r.arrive(keyed)
	first = r.sends(acts)
	r.now += 4e6 + 1
	if n, _ := count(r.done(id, 0, first.Worker, Severed), Refuse); n != 1 {
		t.Errorf("a job keyed everywhere may be refused: %+v", acts)
	}
}

func TestDrainsStopOnHearing(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	_, acts := r.arrive(safe)
	home := r.sends(acts).Worker
	for _, state := range []WorkerState{Draining, Gone} {
		r.on(Event{Kind: ListPatch, List: []Worker{{ID: home, Zone: "a", Kind: "std", State: state}}})
		for range 20 {
			if _, acts := r.arrive(safe); r.sends(acts).Worker == home {
				t.Fatalf("sent to %s, which is %v", home, state)
			}
		}
	}
	r.on(Event{Kind: ListWhole, List: nil})
	if _, acts := r.arrive(safe); len(acts) != 1 || acts[0].Kind != SetTimer {
		t.Errorf("with an empty list a job is held: %+v", acts)
	}
}

func TestHeldJobIsAnsweredInTime(t *testing.T) {
	r := newRig(t, settings())
	id, acts := r.arrive(unsafe)
	due := r.now + 10e6
	for range 10000 {
		n, timer := count(acts, SetTimer)
		if n == 0 {
			break
		}
		r.now += timer.After
		acts = r.on(Event{Kind: TimerDue, Token: timer.Token})
	}
	if n, a := count(acts, Refuse); n != 1 || a.Request != id || r.now > due+20e3 {
		t.Errorf("at %d of %d: %+v", r.now, due, acts)
	}
}

func TestColdWorkerBudget(t *testing.T) {
	// Every dispatcher hears of the start at once and has far more to send than the worker can take.
	s := settings()
	s.Dispatchers = 12
	var all []*rig
	started := int64(100e6)
	for me := range s.Dispatchers {
		s.Me = me
		all = append(all, newRig(t, s, Worker{ID: "cold", Zone: "a", Kind: "std", StartedAt: started}))
	}
	var work []float64 // by tick of 100 ms
	for tick := range 200 {
		sum := 0.0
		for _, r := range all {
			r.now = started + int64(tick)*100e3
			_, acts := r.arrive(safe)
			n, _ := count(acts, Send)
			sum += float64(n) * 200e3
		}
		work = append(work, sum)
		if tick < 10 {
			continue
		}
		window := 0.0
		for _, w := range work[tick-9:] {
			window += w
		}
		capacity := 0.2 + 0.8*float64(tick-9)/200 // one core at standard speed, as far as is known
		if limit := 2.5 * capacity * 1e6; window > limit {
			t.Fatalf("at %d ms: %v of work within a second, budget %v", tick*100, window, limit)
		}
	}
	total := 0.0
	for _, w := range work {
		total += w
	}
	if total == 0 {
		t.Error("a cold worker never got anything")
	}
}

func TestHungWorkerIsLeftAlone(t *testing.T) {
	s := settings()
	r := newRig(t, s, fleet(6)...)
	_, acts := r.arrive(unsafe)
	hung := r.sends(acts).Worker // takes the job and says nothing
	got := 0
	for range 50 {
		r.now += 200e3
		id, acts := r.arrive(unsafe)
		w := r.sends(acts).Worker
		if w == hung {
			got++
			continue
		}
		r.now += 5e3
		r.on(Event{Kind: JobStarted, Request: id, Attempt: 0, Worker: w})
		r.now += 100e3
		r.done(id, 0, w, Completed)
	}
	if got > 3 {
		t.Errorf("a worker that answers nothing got %d more jobs", got)
	}
}

// A worker that begins every job and fails it at once always looks free. It gets a few that may be repeated, in
// ever longer intervals, and hardly any other; when it serves again it gets its part.
func TestFailingWorkerIsLeftAlone(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	bad, got, serves := "", map[int]int{}, false
	play := func(rounds int) {
		for i := range rounds {
			r.now += 100e3
			if i%20 == 0 {
				r.on(Event{Kind: TimerDue, Token: tokenPulse})
			}
			class := []int{safe, unsafe}[i%2]
			id, acts := r.arrive(class)
			for n := 0; ; n++ {
				w := r.sends(acts).Worker
				if bad == "" {
					bad = w
				}
				r.now += 2e3
				r.on(Event{Kind: JobStarted, Request: id, Attempt: n, Worker: w})
				if w == bad {
					got[class]++
				}
				if w != bad || serves {
					r.now += 200e3
					r.done(id, n, w, Completed)
					break
				}
				r.now += 2e3
				if acts = r.done(id, n, w, Errored); class == unsafe {
					break
				}
			}
		}
	}
	play(300)
	if got[unsafe] > 1 || got[safe] < 2 || got[safe] > 12 {
		t.Errorf("a worker that fails all got %d unsafe jobs and %d others", got[unsafe], got[safe])
	}
	serves, got = true, map[int]int{}
	play(600)
	if got[unsafe] < 3 {
		t.Errorf("a worker that serves again got %v jobs", got)
	}
}

// A worker that began jobs and then stands still tells no progress. It gets nothing more till it does.
func TestQuietWorkerIsLeftAlone(t *testing.T) {
	for _, tells := range []bool{false, true} {
		s := settings()
		s.Progress = 2e6
		r := newRig(t, s, fleet(6)...)
		long, acts := r.arrive(unsafe)
		w := r.sends(acts).Worker
		r.on(Event{Kind: JobStarted, Request: long, Attempt: 0, Worker: w})
		got := 0
		for range 50 {
			r.now += 100e3
			if tells && r.now%1e6 == 0 {
				r.on(Event{Kind: JobProgress, Request: long, Attempt: 0, Worker: w, Amount: 0.1})
			}
			if r.now < 100e6+4.2e6 {
				continue
			}
			r.b.workers[w].held, r.b.workers[w].heardAt = -3, r.now // its last report was of free slots
			for _, o := range r.b.buddies {
				if o.ID != w {
					o.held, o.heardAt = 0, r.now
				}
			}
			id, acts := r.arrive(unsafe)
			to := r.sends(acts).Worker
			if to == w {
				got++
			}
			r.on(Event{Kind: JobStarted, Request: id, Attempt: 0, Worker: to})
			r.done(id, 0, to, Completed)
		}
		if (got > 0) != tells {
			t.Errorf("tells of progress: %t, got %d jobs", tells, got)
		}
	}
}

// Of two free workers the one that has shown to be much slower gets no long job; the risk alone would tie.
func TestSlowWorkerGetsNoLongJob(t *testing.T) {
	s := settings()
	s.Classes[unsafe].Aim = 1.5e6
	r := newRig(t, s, fleet(6)...)
	slow := r.b.buddies[0]
	slow.pace = 3
	for range 10 {
		r.now += 2e6
		id, acts := r.arrive(unsafe)
		w := r.sends(acts).Worker
		if w == slow.ID {
			t.Fatal("the slow worker was chosen")
		}
		r.on(Event{Kind: JobStarted, Request: id, Attempt: 0, Worker: w})
		r.now += 200e3
		r.done(id, 0, w, Completed)
	}
}

// Jobs that die with their workers do not raise the price at which others are refused as too late.
func TestBrokenWorkersSetNoPrice(t *testing.T) {
	for o, want := range map[Outcome]bool{Severed: false, RefusedConn: false, Overdue: true} {
		r := newRig(t, settings(), fleet(6)...)
		id, acts := r.arrive(unsafe)
		r.done(id, 0, r.sends(acts).Worker, o)
		if (r.b.loss > 0) != want {
			t.Errorf("after %v the price is %v", o, r.b.loss)
		}
	}
}

// Light dispatchers cannot fill a cold worker one at a time: so many have a turn as it takes, by what they get, and
// workers that start together do not all hang on the same ones.
func TestColdTurnsOfLightDispatchers(t *testing.T) {
	holders := func(quota float64, startedMS int64) (who []int) {
		for me := range 36 {
			s := settings()
			s.Me, s.Dispatchers, s.Tenants = me, 36, []Tenant{{Quota: quota}}
			r := newRig(t, s, fleet(6)...)
			w := r.b.workers["w0"]
			w.StartedAt = startedMS * 1000
			if r.b.coldShare(w) > 0 {
				who = append(who, me)
			}
		}
		return who
	}
	busy, light := holders(1e6, 99_999), holders(0.5, 99_999)
	if len(busy) != 1 || len(light) < 3 || len(light) > 20 || !slices.Contains(light, busy[0]) {
		t.Errorf("the turn of busy ones is that of %v, of light ones %v", busy, light)
	}
	if other := holders(1e6, 99_998); len(other) != 1 || other[0] == busy[0] {
		t.Errorf("of two that start together the turns are those of %v and %v", busy, other)
	}
}

// A weight has no unit: it compares workers and tells nothing of what one bears. A worker's share is the same whatever
// unit its list uses. What its weight loses by a job tells its cores, and with them the share grows.
func TestColdShareHasNoUnitOfWeight(t *testing.T) {
	share := func(weights ...float64) float64 {
		s := settings()
		s.Dispatchers, s.LiveWeights = 1, true
		r := newRig(t, s, fleet(6)...)
		w := r.b.workers["w0"].Worker
		for _, w.Weight = range weights {
			w.StartedAt = r.now
			r.on(Event{Kind: ListPatch, List: []Worker{w}})
		}
		return r.b.coldShare(r.b.workers["w0"])
	}
	one := share(1)
	if one <= 0 {
		t.Fatal("nothing may be sent")
	}
	for _, unit := range []float64{0.01, 0.2, 1, 2, 99} {
		if got := share(unit); got != one {
			t.Errorf("%v with a weight of %v, %v with one of 1", got, unit, one)
		}
		if got := share(unit, unit/(1+1./3)); math.Abs(got-3*one) > 1 {
			t.Errorf("%v where a job takes a third off a weight of %v, want three times %v", got, unit, one)
		}
	}
}

// Where all dispatchers have all workers as buddies, every turn at a cold worker is just one dispatcher's.
func TestEveryColdTurnIsSomebodys(t *testing.T) {
	for dispatchers := 1; dispatchers < 5; dispatchers++ {
		may := map[int64]int{}
		for me := range dispatchers {
			s := settings()
			s.Me, s.Dispatchers = me, dispatchers
			r := newRig(t, s, fleet(6)...)
			for _, w := range r.b.ranked {
				w.StartedAt = r.now
			}
			for turn := range int64(12) {
				r.now = 101e6 + turn*s.Contract.FallTime
				r.b.now = r.now
				for i, w := range r.b.ranked {
					if r.b.coldShare(w) > 0 {
						may[turn*6+int64(i)]++
					}
				}
			}
		}
		for i := range int64(12 * 6) {
			if may[i] != 1 {
				t.Errorf("%d dispatchers: turn %d at worker %d is that of %d", dispatchers, i/6, i%6, may[i])
			}
		}
	}
}

// A job that two workers cannot use is at fault itself; where the second serves it, the first is.
func TestUnusableJob(t *testing.T) {
	for _, second := range []Outcome{Unusable, Completed} {
		r := newRig(t, settings(), fleet(6)...)
		id, acts := r.arrive(safe)
		first := r.sends(acts).Worker
		other := r.sends(r.done(id, 0, first, Unusable)).Worker
		fails, _ := count(r.done(id, 1, other, second), Fail)
		blamed := r.b.workers[first].errors
		if want := map[Outcome]int{Unusable: 1}[second]; fails != want || blamed != 1-want || r.b.workers[other].errors > 0 {
			t.Errorf("second says %v: %d failures, first blamed %d times", second, fails, blamed)
		}
		if len(r.b.requests) > 0 {
			t.Errorf("second says %v: request kept", second)
		}
	}
}

// A copy is for a job that has not begun when half of its slack is over, at a worker that has been silent since: what is called
// off may run all the same, and a worker that gives signs of life has others first.
func TestSecondCopyWhereAJobDoesNotBegin(t *testing.T) {
	for class, want := range map[int]int{safe: 1, keyed: 1, unsafe: 0} {
		r := newRig(t, settings(), fleet(6)...)
		id, acts := r.arrive(class)
		first := r.sends(acts)
		timer := Action{Token: id<<2 | tokenLook}
		r.now = r.b.requests[id].tries[0].doubt
		if n, _ := count(r.on(Event{Kind: TimerDue, Token: timer.Token}), Send); n != 0 {
			t.Error("a copy while the first waits as foretold")
		}
		r.now++
		if w := r.b.workers[first.Worker]; class == safe {
			silent := w.silent
			w.silent = 0
			if n, _ := count(r.on(Event{Kind: TimerDue, Token: timer.Token}), Send); n != 0 {
				t.Error("a copy though the worker lives")
			}
			w.silent = silent
		}
		if want == 0 {
			if n, _ := count(r.on(Event{Kind: TimerDue, Token: timer.Token}), Send); n != 0 {
				t.Error("an unsafe job got a second copy")
			}
			continue
		}
		second := r.sends(r.on(Event{Kind: TimerDue, Token: timer.Token}))
		if second.Worker == first.Worker {
			t.Error("the copy went to the same worker")
		}
		acts = r.on(Event{Kind: JobStarted, Request: id, Attempt: 1, Worker: second.Worker})
		if n, a := count(acts, CancelAttempt); n != 1 || a.Attempt != 0 {
			t.Errorf("the copy that waits is called off: %+v", acts)
		}
	}
}

// Where all workers are late, as when most are cold, each job looks as if its worker were silent: one dispatcher of many has
// sent there nothing else. Copies then only make all later. So has a worker from which jobs leave, by the list, given a sign.
func TestCopiesAreFewWhereAllAreLate(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		s, ws := settings(), fleet(6)
		s.LiveWeights = true
		weigh(ws, 5)
		r := newRig(t, s, ws...)
		weigh(ws, 5/(1+1./5)) // what a core is
		r.on(Event{Kind: ListPatch, List: ws})
		messages, copies := 40, 0
		for range messages {
			weigh(ws, 5/(1+7./5))
			r.on(Event{Kind: ListPatch, List: ws})
			id, acts := r.arrive(safe)
			r.sends(acts)
			if leaving {
				weigh(ws, 5/(1+6./5))
				r.on(Event{Kind: ListPatch, List: ws})
			}
			for r.now = r.b.requests[id].tries[0].doubt + 1; len(r.b.requests[id].tries) < s.Allowed.Attempts; r.now += 100e3 {
				n, _ := count(r.on(Event{Kind: TimerDue, Token: id<<2 | tokenLook}), Send)
				if copies += n; n == 0 {
					break
				}
			}
			r.on(Event{Kind: ClientGone, Request: id})
		}
		if most := messages/(spares-1) + 1; copies > most || leaving && copies > 0 || !leaving && copies < most/2 {
			t.Errorf("jobs leaving %v: %d copies of %d messages, at most %d", leaving, copies, messages, most)
		}
	}
}

// Where nobody else is left, a worker to which the connection broke is tried once more if a repeat is harmless: it may be
// reached another way. One that refused connections, or turned the job away, is not.
func TestBrokenConnectionToTheOnlyWorker(t *testing.T) {
	for _, c := range []struct {
		class int
		o     Outcome
		again int
	}{{safe, Severed, 1}, {keyed, Severed, 1}, {unsafe, Severed, 0}, {safe, RefusedConn, 0}, {safe, Saturated, 0}} {
		r := newRig(t, settings(), fleet(1)...)
		id, acts := r.arrive(c.class)
		w := r.sends(acts).Worker
		if n, _ := count(r.done(id, 0, w, c.o), Send); n != c.again {
			t.Errorf("class %d, outcome %d: %d further sends, want %d", c.class, c.o, n, c.again)
		}
	}
}

// Beyond the last threshold there is none to cross: a report of three jobs that wait must not hide a later one of thirty.
func TestCrowdedWorkersAreToldApart(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	for _, queues := range [][2]float64{{3, 30}, {30, 3}, {6, 4}} {
		r.now += 1e6
		for i, q := range queues {
			r.b.report(r.b.workers[fmt.Sprintf("w%d", i)], Load{Queue: q, Inflight: -1, Free: -1, Util: -1})
		}
		_, acts := r.arrive(unsafe)
		if want := fmt.Sprintf("w%d", map[bool]int{true: 0, false: 1}[queues[0] < queues[1]]); r.sends(acts).Worker != want {
			t.Errorf("queues %v: sent to %s", queues, r.sends(acts).Worker)
		}
	}
}

func TestReportsMoveTheChoice(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	_, acts := r.arrive(unsafe)
	home := r.sends(acts).Worker
	if _, acts := r.arrive(unsafe); r.sends(acts).Worker == "" {
		t.Fatal("no worker")
	}
	r.now += 1e6
	r.on(Event{Kind: ProbeDone, Worker: home, Outcome: Completed, Load: Load{Queue: 9, Inflight: 11, Free: 0, Util: 1}})
	if _, acts := r.arrive(unsafe); r.sends(acts).Worker == home {
		t.Error("a reported queue of nine did not keep a job away")
	}
}

func TestLearningChangesAChoice(t *testing.T) {
	// The home worker reports free slots, yet every job sent there begins late. Its table learns that.
	choice := func(blends bool) string {
		r := newRig(t, settings(), fleet(6)...)
		home := r.b.buddies[0]
		before := home.p
		for range 10 {
			for x := range regions {
				home.sample(x, columns-1)
				for _, w := range r.b.buddies[1:] {
					w.sample(x, 0)
				}
			}
		}
		if blends {
			r.now += r.b.pulse() * 5
			r.on(Event{Kind: TimerDue, Token: tokenPulse})
			if home.p == before {
				t.Error("the table is as uniform as at the start")
			}
		}
		_, acts := r.arrive(unsafe)
		if got := r.sends(acts).Worker; got != home.ID {
			return "other"
		}
		return "home"
	}
	if a, b := choice(false), choice(true); a != "home" || b != "other" {
		t.Errorf("before the blend %s, after it %s", a, b)
	}
}

func TestOddReports(t *testing.T) {
	nan := 0.0
	nan /= nan
	for _, v := range []float64{nan, -7, 1e300, 0} {
		r := newRig(t, settings(), fleet(3)...)
		for _, w := range fleet(3) {
			r.on(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{v, v, v, v}})
		}
		_, acts := r.arrive(safe)
		r.sends(acts)
	}
}

func TestUnknownIsIgnored(t *testing.T) {
	r := newRig(t, settings(), fleet(3)...)
	id, acts := r.arrive(unsafe)
	w := r.sends(acts).Worker
	r.done(id, 0, w, Completed)
	for _, acts := range [][]Action{
		r.done(id, 0, w, Completed), r.done(id, 7, w, Errored), r.done(999, 0, "nobody", Severed),
		r.on(Event{Kind: JobStarted, Request: 999}), r.on(Event{Kind: ClientGone, Request: id}),
		r.on(Event{Kind: ProbeDone, Worker: "nobody"}), r.on(Event{Kind: TimerDue, Token: id<<2 | tokenLook}),
		r.on(Event{Kind: Arrival, Request: 5, Class: 99}), r.on(Event{Kind: PeerMessage}),
	} {
		if len(acts) != 0 {
			t.Errorf("acted on nothing: %+v", acts)
		}
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
		if n := seen[w.ID]; n < smallest-1 || n > smallest+1 || homes[w.ID] != 1 {
			t.Errorf("%s is in %d buddy sets and first in %d", w.ID, n, homes[w.ID])
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{50, 200, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := settings()
			s.Dispatchers = n
			bal, _ := New(s)
			acts := bal.Handle(1, &Event{Kind: ListStale, List: fleet(n)}, nil)
			now := int64(1)
			b.ReportAllocs()
			for i := range b.N {
				now += 300e3
				id := uint64(i + 10)
				acts = bal.Handle(now, &Event{Kind: Arrival, Request: id, Due: now + 10e6, Hint: 200e3}, acts[:0])
				_, sent := count(acts, Send)
				acts = bal.Handle(now, &Event{Kind: JobStarted, Request: id, Worker: sent.Worker}, acts[:0])
				acts = bal.Handle(now, &Event{Kind: AttemptDone, Request: id, Worker: sent.Worker, Final: true,
					Load: Load{Queue: 0, Inflight: 1, Free: 1, Util: 0.5}}, acts[:0])
			}
		})
	}
}

func TestFreshLookBeforeAFinalChoice(t *testing.T) {
	s := settings()
	s.ReportsIn, s.Allowed.Probe = ReportsInProbes, true
	r := newRig(t, s, fleet(6)...)
	_, acts := r.arrive(unsafe)
	probes, _ := count(acts, ProbeWorker)
	sends, _ := count(acts, Send)
	_, timer := count(acts, SetTimer)
	if probes == 0 || sends != 0 || timer.After > s.Tick {
		t.Fatalf("want probes and a short wait: %+v", acts)
	}
	for i, w := range r.b.buddies {
		queue := 5.0
		if i == 3 {
			queue = 0
		}
		r.on(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{queue, 1 + queue, 1 - queue/5, 1}})
	}
	r.now += timer.After
	if got := r.sends(r.on(Event{Kind: TimerDue, Token: timer.Token})).Worker; got != r.b.buddies[3].ID {
		t.Errorf("sent to %s, not to the free buddy", got)
	}
	if _, acts := r.arrive(unsafe); len(acts) == 0 || acts[0].Kind == ProbeWorker {
		t.Errorf("fresh evidence needs no probes: %+v", acts)
	}
	s.LiveWeights = true // whom the list does not name has not changed; once it fails there is nothing but probes
	r = newRig(t, s, fleet(6)...)
	for _, want := range []int{0, 6} {
		if n, _ := count(r.on(Event{Kind: TimerDue, Token: tokenPulse}), ProbeWorker); n != want {
			t.Errorf("%d probes beside a list with live weights, want %d", n, want)
		}
		r.on(Event{Kind: ListBroken})
		r.now += 60e6
	}
	s.Allowed.Probe, s.LiveWeights = false, false
	if n, _ := count(newRig(t, s, fleet(6)...).on(Event{Kind: TimerDue, Token: tokenPulse}), ProbeWorker); n != 0 {
		t.Error("probed where that is not allowed")
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
		got[r.b.others[0].ID]++
	}
	if len(got) < 30 {
		t.Errorf("40 dispatchers turn to %d workers", len(got))
	}
}

func TestPriceOfLateLossesRefusesEarly(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	for range 3 {
		for _, w := range r.b.buddies {
			r.on(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{12, 14, 0, 1}})
		}
	}
	if _, acts := r.arrive(unsafe); r.sends(acts).Worker == "" {
		t.Error("not sent while nothing was lost")
	}
	r.b.loss = 0.9
	_, acts := r.arrive(unsafe)
	if n, _ := count(acts, Refuse); n != 1 || r.b.loss >= 0.9 {
		t.Errorf("queues of twelve everywhere and most jobs late: %+v", acts)
	}
}

func TestWithdrawalWhenTheAimIsLost(t *testing.T) {
	for _, loss := range []float64{0, 0.9} {
		r := newRig(t, settings(), fleet(6)...)
		id, _ := r.arrive(unsafe)
		r.b.loss = loss
		r.now += 2e6
		acts := r.on(Event{Kind: TimerDue, Token: id<<2 | tokenLook})
		failed, _ := count(acts, Fail)
		recalled, _ := count(acts, CancelAttempt)
		if want := int(loss + 0.5); failed != want || recalled != want {
			t.Errorf("at a price of %v: %+v", loss, acts)
		}
	}
}

// The aim rests on a rough hint: a job gets the time of its hint beyond it.
func TestWithdrawalDoubtsTheHint(t *testing.T) {
	for _, late := range []int64{100e3, 300e3} { // beyond the last moment at which it can be in time
		r := newRig(t, settings(), fleet(6)...)
		id, _ := r.arrive(unsafe)
		r.b.loss, r.b.jobTime = 0.9, 200e3
		r.now += 500e3 + 2*200e3 - 200e3 + late
		failed, _ := count(r.on(Event{Kind: TimerDue, Token: id<<2 | tokenLook}), Fail)
		if want := late > 200e3; want != (failed > 0) {
			t.Errorf("%d after the aim is lost: %d failed", late, failed)
		}
	}
}

// What is beyond its tenant's share is refused unless it begins at once, and only that; where it is worth most of
// what others are it is not.
func TestBeyondTheShareIsRefusedFirst(t *testing.T) {
	for _, c := range []struct {
		tenant      int
		worth, free float64
		refused     int
	}{{0, 0.05, 0, 1}, {0, 0.05, 3, 0}, {0, 0.8, 0, 0}, {1, 0.05, 0, 0}} {
		s := settings()
		s.OverShare, s.Tenants = c.worth, []Tenant{{Quota: 0.1}, {Quota: 1000}}
		r := newRig(t, s, fleet(6)...)
		for _, w := range r.b.buddies {
			r.on(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{-1, -1, c.free, 1}})
		}
		for range 100 {
			r.b.shares.Within(r.now, 0)
		}
		r.b.jobTime = 100e3
		r.id++
		acts := r.on(Event{Kind: Arrival, Request: r.id, Class: safe, Tenant: c.tenant, Due: r.now + 10e6, Hint: 100e3})
		if n, _ := count(acts, Refuse); n != c.refused {
			t.Errorf("%+v: %d refused", c, n)
		}
	}
}

func TestOldEvidenceAges(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	w := r.b.buddies[0]
	r.on(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{9, 11, 0, 1}})
	fresh := r.b.backlog(w)
	r.now += 60e6
	r.on(Event{Kind: PeerMessage}) // time passes
	if old := r.b.backlog(w); fresh <= 0 || old > fresh/3 {
		t.Errorf("backlog %v, a minute later %v", fresh, old)
	}
}

func TestDeadWorkersLeaveTheBuddySet(t *testing.T) {
	r := newRig(t, settings(), fleet(12)...)
	size := len(r.b.buddies)
	id, acts := r.arrive(unsafe)
	dead := r.sends(acts).Worker
	r.done(id, 0, dead, RefusedConn)
	for _, w := range r.b.buddies {
		if w.ID == dead {
			t.Error("a worker that refuses connections is still a buddy")
		}
	}
	if len(r.b.buddies) != size {
		t.Errorf("the window did not refill: %d buddies of %d", len(r.b.buddies), size)
	}
	r.now += 60e6
	r.on(Event{Kind: TimerDue, Token: tokenPulse})
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
	r.on(Event{Kind: ListWhole, List: nil})
	if len(r.b.buddies) != 0 {
		t.Error("buddies without a list")
	}
	var other []Worker
	for i := range 5 {
		other = append(other, Worker{ID: fmt.Sprintf("new%d", i), Zone: "b", Kind: "odd"})
	}
	r.on(Event{Kind: ListWhole, List: append(other, other[0])})
	if len(r.b.ranked) != 5 || len(r.b.buddies) != 5 {
		t.Errorf("%d ranked, %d buddies", len(r.b.ranked), len(r.b.buddies))
	}
	acts := r.on(Event{Kind: Arrival, Request: 77, Due: r.now - 5, Tenant: -1})
	if n, _ := count(acts, Refuse); n != 1 {
		t.Errorf("a deadline already past: %+v", acts)
	}
}

// A table row with odd samples must not make a worker with a long backlog look freer than a free one:
// traced on a simulated day, jobs went to workers with nine own jobs out while others had none.
func TestTailsRiseWithTheRegion(t *testing.T) {
	r := newRig(t, settings(), fleet(3)...)
	w := r.b.buddies[0]
	for range 50 {
		w.sample(0, columns-1)
		w.sample(regions-1, 0)
	}
	w.blendWith(nil)
	for x := 1; x < regions; x++ {
		for c := range columns {
			if w.tails[x][c] < w.tails[x-1][c] {
				t.Fatalf("P(backlog > %d) is %v in region %d, %v in region %d",
					c, w.tails[x][c], x, w.tails[x-1][c], x-1)
			}
		}
	}
}

// Where every buddy would be late, jobs must not all go to the first of the list.
func TestNoPileWhereAllAreLate(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	for _, w := range r.b.buddies {
		r.on(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{12, 14, 0, 1}})
	}
	got := map[string]int{}
	for range 12 {
		_, acts := r.arrive(unsafe)
		got[r.sends(acts).Worker]++
	}
	if len(got) < 5 {
		t.Errorf("twelve jobs went to %v", got)
	}
}

// At two jobs a second a dispatcher's tables must have learned something within its first minute.
func TestTablesLearnAtALightDispatcher(t *testing.T) {
	r := newRig(t, settings(), fleet(20)...)
	uniform := r.b.buddies[0].p
	pulse := r.now
	for i := range 120 {
		r.now += 500e3
		if r.now >= pulse {
			pulse = r.now + r.b.pulse()
			r.on(Event{Kind: TimerDue, Token: tokenPulse})
		}
		id, acts := r.arrive(unsafe)
		w := r.sends(acts).Worker
		r.now += 5e3
		r.on(Event{Kind: JobStarted, Request: id, Worker: w})
		r.now += 200e3
		queue := float64(i % 3)
		r.on(Event{Kind: AttemptDone, Request: id, Worker: w, Final: true, Load: Load{queue, queue + 2, 0, 1}})
	}
	changed := 0
	for _, w := range r.b.buddies {
		if w.p != uniform {
			changed++
		}
	}
	if changed != len(r.b.buddies) {
		t.Errorf("%d of %d buddies have tables that differ from uniform", changed, len(r.b.buddies))
	}
}

// The cold budget must hold at full size while dispatchers hear of the start at different times.
func TestColdBudgetAtFullSizeWithLateLists(t *testing.T) {
	s := settings()
	s.Dispatchers = 200
	started := int64(100e6)
	var all []*rig
	for me := range s.Dispatchers {
		s.Me = me
		r := newRig(t, s, fleet(200)...)
		r.now = started + int64(me%40)*100e3 // up to four seconds late
		cold := fleet(200)[77]
		cold.StartedAt = started
		r.on(Event{Kind: ListPatch, List: []Worker{cold}})
		all = append(all, r)
	}
	var work []float64
	for tick := range 180 {
		sum := 0.0
		for _, r := range all {
			now := started + 4e6 + int64(tick)*100e3
			r.now = now
			for range 1 + tick%2 {
				_, acts := r.arrive(safe)
				for _, a := range acts {
					if a.Kind == Send && a.Worker == "w77" {
						sum += 200e3
					}
				}
			}
		}
		work = append(work, sum)
		if tick < 10 {
			continue
		}
		window := 0.0
		for _, w := range work[tick-9:] {
			window += w
		}
		if limit := 2.5 * (0.2 + 0.8*float64(tick+31)/200) * 1e6; window > limit && tick < 150 {
			t.Fatalf("at %d ms: %v of work within a second, budget %v", 4000+tick*100, window, limit)
		}
	}
}

func TestNoWorkerOfTheKind(t *testing.T) {
	s := settings()
	s.Classes[unsafe].Kind = "big"
	r := newRig(t, s, fleet(4)...)
	_, acts := r.arrive(unsafe)
	if n, _ := count(acts, Send); n != 0 {
		t.Errorf("sent to another kind: %+v", acts)
	}
	r.on(Event{Kind: ListPatch, List: []Worker{{ID: "b", Zone: "a", Kind: "big"}}})
	_, timer := count(acts, SetTimer)
	r.now += timer.After
	if got := r.sends(r.on(Event{Kind: TimerDue, Token: timer.Token})); got.Worker != "b" {
		t.Errorf("sent to %s", got.Worker)
	}
}

// A rough hint must not make a job look late: on a quiet day a fifth of all jobs did, and others were refused for it.
func TestRoughHintsDoNotLookLate(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	for _, wait := range []int64{0, 3e6} {
		r.b.loss = 0
		id, acts := r.arrive(unsafe) // hinted 0.2 s: wanted within 0.9 s
		w := r.sends(acts).Worker
		r.now += wait
		r.on(Event{Kind: JobStarted, Request: id, Worker: w})
		r.now += 1e6 // five times the hint, so wanted within 2.5 s
		r.done(id, 0, w, Completed)
		if late := r.b.loss > 0; late != (wait > 0) {
			t.Errorf("after a wait of %d: late is %v", wait, late)
		}
	}
}

// The pace of a worker must not swing on small jobs, whose hints are the roughest.
func TestPaceIsWeighedByWork(t *testing.T) {
	pace := func(hint int64) float64 {
		r := newRig(t, settings(), fleet(1)...)
		r.on(Event{Kind: Arrival, Request: 9, Class: unsafe, Tenant: -1, Due: r.now + 10e6, Hint: hint})
		r.on(Event{Kind: JobStarted, Request: 9, Worker: "w0"})
		r.now += 4 * hint
		r.done(9, 0, "w0", Completed)
		return r.b.workers["w0"].pace
	}
	if small, large := pace(20e3), pace(1e6); small > 1.1 || large < 1.3 {
		t.Errorf("pace after a small job %v, after a large one %v", small, large)
	}
}

// Where the list must be asked for, a start subscribes, and a failure is answered at the next pulse, not at once.
func TestListIsFollowed(t *testing.T) {
	s := settings()
	s.AskForList = true
	b, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, b: b, now: 100e6}
	if n, _ := count(r.on(Event{Kind: ListStale, List: fleet(3)}), FollowList); n != 1 {
		t.Error("a start does not subscribe")
	}
	if acts := r.on(Event{Kind: ListBroken}); len(acts) != 0 || len(r.b.ranked) != 3 {
		t.Errorf("a failure: %+v, %d workers", acts, len(r.b.ranked))
	}
	r.now += r.b.pulse()
	if n, _ := count(r.on(Event{Kind: TimerDue, Token: tokenPulse}), FollowList); n != 1 {
		t.Error("a failed subscription is not asked for again")
	}
	r.on(Event{Kind: ListPatch, List: fleet(4)[3:]})
	r.now += r.b.pulse()
	if n, _ := count(r.on(Event{Kind: TimerDue, Token: tokenPulse}), FollowList); n != 0 || len(r.b.ranked) != 4 {
		t.Errorf("asked again without need, %d workers", len(r.b.ranked))
	}
	if p := r.b.pulse(); p > 4e6 {
		t.Errorf("a pulse of %d", p)
	}
}

// Of a started stream the attempt is the client's: nothing more is done about it.
func TestStartedStreamIsLeftAlone(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	id, acts := r.arrive(safe)
	w := r.sends(acts).Worker
	r.on(Event{Kind: StreamBegan, Request: id, Worker: w})
	r.now += 20e6
	r.b.loss = 1
	if acts := r.on(Event{Kind: TimerDue, Token: id<<2 | tokenLook}); len(acts) != 0 {
		t.Errorf("%+v", acts)
	}
}

// Only those who have a cold worker as a buddy share its budget: their turns count nobody else.
func TestColdWorkerGetsNothingFromOutsideTheBuddySet(t *testing.T) {
	s := settings()
	s.Dispatchers = 40
	r := newRig(t, s, fleet(40)...)
	inside, outside := r.b.buddies[0], r.b.others[0]
	inside.StartedAt, outside.StartedAt = r.now, r.now
	shares := map[*worker]float64{}
	for range 30 {
		r.now += s.Contract.FallTime / 2
		r.on(Event{Kind: PeerMessage}) // time passes
		for _, w := range []*worker{inside, outside} {
			shares[w] += r.b.coldShare(w)
		}
	}
	if shares[inside] <= 0 || shares[outside] != 0 {
		t.Errorf("a buddy may be sent %v, another %v", shares[inside], shares[outside])
	}
}

// What no worker can take any more was held until its deadline. The client is told at once: it may do better.
func TestAllTriedIsAnsweredAtOnce(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	id, acts := r.arrive(unsafe)
	acts = r.done(id, 0, r.sends(acts).Worker, Saturated)
	acts = r.done(id, 1, r.sends(acts).Worker, Saturated)
	if n, _ := count(acts, Refuse); n != 1 {
		t.Errorf("both workers turned it away: %+v", acts)
	}
}

func TestHeldNoLongerThanTheAim(t *testing.T) {
	s := settings()
	s.Classes[unsafe].LateWorth = 0
	r := newRig(t, s)
	id, acts := r.arrive(unsafe)
	for n, timer := count(acts, SetTimer); n > 0; n, timer = count(acts, SetTimer) {
		r.now += timer.After
		acts = r.on(Event{Kind: TimerDue, Token: id<<2 | tokenLook})
	}
	aim := 100e6 + r.b.s.Classes[unsafe].Aim + int64(r.b.s.Classes[unsafe].Stretch*200e3)
	if n, _ := count(acts, Refuse); n != 1 || r.now > aim || r.now < aim-400e3 {
		t.Errorf("at %d, aim %d: %+v", r.now, aim, acts)
	}
}

// A refusal says how long the shortest queue needs to fall by half; without the site's leave it says nothing.
func TestAdviceFollowsTheLeastBacklog(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		s := settings()
		s.Allowed.RetryAfter, s.Allowed.MaxRetryAfter = allowed, 60e6
		r := newRig(t, s, fleet(6)...)
		for i, w := range r.b.buddies {
			r.on(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{float64(12 + i), 14, 0, 1}})
		}
		r.b.loss = 0.9
		_, acts := r.arrive(unsafe)
		n, a := count(acts, Refuse)
		least := int64(r.b.backlog(r.b.buddies[0]) / 2)
		if n != 1 || !allowed && a.After != 0 || allowed && (a.After != least || least < 1e6) {
			t.Errorf("allowed %t, half the least backlog %d: %+v", allowed, least, acts)
		}
	}
}

// On sockets, where a timer can ring at once, a job whose aim was lost spent four attempts in 100 microseconds.
func TestNoTimerUnderATick(t *testing.T) {
	s := settings()
	r := newRig(t, s, fleet(6)...)
	r.arrive(safe)
	r.id++
	acts := r.on(Event{Kind: Arrival, Request: r.id, Class: safe, Tenant: -1, Due: r.now + 50e3, Hint: 200e3})
	r.sends(acts)
	n := 0
	for _, a := range acts {
		if a.Kind == SetTimer {
			n++
			if a.After < s.Tick {
				t.Errorf("a timer of %d, tick %d", a.After, s.Tick)
			}
		}
	}
	if n != 3 {
		t.Errorf("%d timers, want two for the start and one for the aim", n)
	}
}

// Jobs of one key go where what they need is kept, from whichever dispatcher, and beside the buddies; where those have much
// to do, to others, and on to the next home when one leaves.
func TestJobsOfAKeyMeet(t *testing.T) {
	s, key := settings(), uint64(99)
	s.Dispatchers, s.LiveWeights = 40, true
	met := map[string]int{}
	var first *rig
	for me := range 40 {
		s.Me = me
		r := newRig(t, s, fleet(60)...)
		r.id++
		met[r.sends(r.on(Event{Kind: Arrival, Request: r.id, Tenant: -1, Due: r.now + 10e6, Hint: 200e3, Key: key})).Worker]++
		first = r
	}
	if len(met) > cover {
		t.Fatalf("%d workers got the jobs of one key, %d should hold what they need", len(met), cover)
	}
	send := func() string {
		first.id++
		return first.sends(first.on(Event{Kind: Arrival, Request: first.id, Tenant: -1, Due: first.now + 10e6, Hint: 200e3, Key: key})).Worker
	}
	used := map[string]bool{}
	for range 40 {
		used[send()] = true
	}
	if len(used) <= cover {
		t.Errorf("forty jobs at once wait at %d workers while others are free", len(used))
	}
	for w := range met {
		first.on(Event{Kind: ListPatch, List: []Worker{{ID: w, Zone: "a", Kind: "std", State: Draining}}})
	}
	if w := send(); met[w] > 0 {
		t.Errorf("%s drains and got a job", w)
	}
}

// Where clients give no hints, a job is taken for one like those of its class: its aim grows with its work all the same, and
// it is not refused as one whose aim is lost.
func TestNoHints(t *testing.T) {
	s := settings()
	s.Classes = s.Classes[:2]
	s.Classes[safe].Aim, s.Classes[unsafe].Aim = 100e3, 100e3
	r := newRig(t, s, fleet(1)...)
	arrive := func(class int) (uint64, []Action) {
		r.id++
		return r.id, r.on(Event{Kind: Arrival, Request: r.id, Class: class, Tenant: -1, Due: r.now + 10e6})
	}
	for range 60 {
		for class, run := range []int64{300e3, 900e3} {
			id, acts := arrive(class)
			r.sends(acts)
			r.on(Event{Kind: JobStarted, Request: id, Worker: "w0"})
			r.now += run
			r.done(id, 0, "w0", Completed)
		}
	}
	for class, want := range []float64{300e3, 900e3} {
		id, _ := arrive(class)
		q := r.b.requests[id]
		if q == nil || math.Abs(q.hint-want) > want/4 || math.Abs(float64(q.aim-r.now)-(100e3+2*want)) > want {
			t.Errorf("class %d: %+v", class, q)
		}
		r.on(Event{Kind: ClientGone, Request: id})
	}
}
