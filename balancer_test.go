package topazfall

// The life of a request, and the limits on the module.

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestPageLimits(t *testing.T) {
	text, err := os.ReadFile("balancer.go")
	if err != nil {
		t.Fatal(err)
	}
	for i, l := range strings.Split(string(text), "\n") {
		if len([]rune(strings.ReplaceAll(l, "\t", "    "))) > 110+8 || len([]rune(l)) > 110 {
			t.Errorf("balancer.go:%d is over 110 columns", i+1)
		}
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
			first := r.requireSend(acts)
			r.now += 1000
			acts = r.done(id, 0, first.Worker, o)
			again, second := countActions(acts, Send)
			failed, _ := countActions(acts, Fail)
			refused, _ := countActions(acts, Refuse)
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
	first := r.requireSend(acts)
	r.now += 4e6 + 1
	acts = r.done(id, 0, first.Worker, ConnectionLost)
	if n, _ := countActions(acts, Fail); n != 1 {
		t.Errorf("after its window a keyed job must fail, not be refused or sent: %+v", acts)
	}
	id, acts = r.arrive(keyed)
	first = r.requireSend(acts)
	r.now += 4e6 + 1
	if n, _ := countActions(r.done(id, 0, first.Worker, ConnectionLost), Refuse); n != 1 {
		t.Errorf("a job keyed everywhere may be refused: %+v", acts)
	}
}

func TestHeldJobIsAnsweredInTime(t *testing.T) {
	r := newRig(t, settings())
	id, acts := r.arrive(unsafe)
	due := r.now + 10e6
	for range 10000 {
		n, timer := countActions(acts, SetTimer)
		if n == 0 {
			break
		}
		r.now += timer.After
		acts = r.handle(Event{Kind: TimerDue, Token: timer.Token})
	}
	if n, a := countActions(acts, Refuse); n != 1 || a.Request != id || r.now > due+20e3 {
		t.Errorf("at %d of %d: %+v", r.now, due, acts)
	}
}

// A job that two workers cannot use is at fault itself; where the second serves it, the first is.
func TestUnusableJob(t *testing.T) {
	for _, second := range []Outcome{Unusable, Completed} {
		r := newRig(t, settings(), fleet(6)...)
		id, acts := r.arrive(safe)
		first := r.requireSend(acts).Worker
		other := r.requireSend(r.done(id, 0, first, Unusable)).Worker
		fails, _ := countActions(r.done(id, 1, other, second), Fail)
		blamed := r.b.workers[first].consecutiveErrors
		if want := map[Outcome]int{Unusable: 1}[second]; fails != want || blamed != 1-want ||
			r.b.workers[other].consecutiveErrors > 0 {
			t.Errorf("second says %v: %d failures, first blamed %d times", second, fails, blamed)
		}
		if len(r.b.requests) > 0 {
			t.Errorf("second says %v: request kept", second)
		}
	}
}

// A copy is for a job that has not begun when half of its slack is over, at a worker that has been silent since: what
// is called off may run all the same, and a worker that gives signs of life has others first.
func TestSecondCopyWhereAJobDoesNotBegin(t *testing.T) {
	for class, want := range map[int]int{safe: 1, keyed: 1, unsafe: 0} {
		r := newRig(t, settings(), fleet(6)...)
		id, acts := r.arrive(class)
		first := r.requireSend(acts)
		timer := Action{Token: id<<2 | tokenRecheck}
		r.now = r.b.requests[id].attempts[0].suspectAt
		if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: timer.Token}), Send); n != 0 {
			t.Error("a copy while the first waits as foretold")
		}
		r.now++
		if w := r.b.workers[first.Worker]; class == safe {
			silent := w.silentSince
			w.silentSince = 0
			if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: timer.Token}), Send); n != 0 {
				t.Error("a copy though the worker lives")
			}
			w.silentSince = silent
		}
		if want == 0 {
			if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: timer.Token}), Send); n != 0 {
				t.Error("an unsafe job got a second copy")
			}
			continue
		}
		second := r.requireSend(r.handle(Event{Kind: TimerDue, Token: timer.Token}))
		if second.Worker == first.Worker {
			t.Error("the copy went to the same worker")
		}
		acts = r.handle(Event{Kind: JobStarted, Request: id, Attempt: 1, Worker: second.Worker})
		if n, a := countActions(acts, CancelAttempt); n != 1 || a.Attempt != 0 {
			t.Errorf("the copy that waits is called off: %+v", acts)
		}
	}
}

// Where all workers are late, as when most are cold, each job looks as if its worker were silent: one dispatcher of
// many has sent there nothing else. Copies then only make all later. So has a worker from which jobs leave, by the
// list, given a sign.
func TestCopiesAreFewWhereAllAreLate(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		s, ws := settings(), fleet(6)
		s.LiveWeights = true
		setWeights(ws, 5)
		r := newRig(t, s, ws...)
		setWeights(ws, 5/(1+1./5)) // what a core is
		r.handle(Event{Kind: ListPatch, List: ws})
		messages, copies := 40, 0
		for range messages {
			setWeights(ws, 5/(1+7./5))
			r.handle(Event{Kind: ListPatch, List: ws})
			id, acts := r.arrive(safe)
			r.requireSend(acts)
			if leaving {
				setWeights(ws, 5/(1+6./5))
				r.handle(Event{Kind: ListPatch, List: ws})
			}
			r.now = r.b.requests[id].attempts[0].suspectAt + 1
			for ; len(r.b.requests[id].attempts) < s.Allowed.Attempts; r.now += 100e3 {
				n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: id<<2 | tokenRecheck}), Send)
				if copies += n; n == 0 {
					break
				}
			}
			r.handle(Event{Kind: ClientGone, Request: id})
		}
		if most := messages/(sendsPerHedge-1) + 1; copies > most || leaving && copies > 0 ||
			!leaving && copies < most/2 {
			t.Errorf("jobs leaving %v: %d copies of %d messages, at most %d", leaving, copies, messages, most)
		}
	}
}

// Where nobody else is left, a worker to which the connection broke is tried once more if a repeat is harmless: it may
// be reached another way. One that refused connections, or turned the job away, is not.
func TestBrokenConnectionToTheOnlyWorker(t *testing.T) {
	for _, c := range []struct {
		class int
		o     Outcome
		again int
	}{{safe, ConnectionLost, 1}, {keyed, ConnectionLost, 1}, {unsafe, ConnectionLost, 0},
		{safe, ConnectionRefused, 0}, {safe, Saturated, 0}} {
		r := newRig(t, settings(), fleet(1)...)
		id, acts := r.arrive(c.class)
		w := r.requireSend(acts).Worker
		if n, _ := countActions(r.done(id, 0, w, c.o), Send); n != c.again {
			t.Errorf("class %d, outcome %d: %d further sends, want %d", c.class, c.o, n, c.again)
		}
	}
}

func TestUnknownIsIgnored(t *testing.T) {
	r := newRig(t, settings(), fleet(3)...)
	id, acts := r.arrive(unsafe)
	w := r.requireSend(acts).Worker
	r.done(id, 0, w, Completed)
	for _, acts := range [][]Action{
		r.done(id, 0, w, Completed), r.done(id, 7, w, Errored), r.done(999, 0, "nobody", ConnectionLost),
		r.handle(Event{Kind: JobStarted, Request: 999}), r.handle(Event{Kind: ClientGone, Request: id}),
		r.handle(Event{Kind: ProbeDone, Worker: "nobody"}),
		r.handle(Event{Kind: TimerDue, Token: id<<2 | tokenRecheck}),
		r.handle(Event{Kind: Arrival, Request: 5, Class: 99}), r.handle(Event{Kind: PeerMessage}),
	} {
		if len(acts) != 0 {
			t.Errorf("acted on nothing: %+v", acts)
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{50, 200, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := settings()
			s.Dispatchers = n
			bal, _ := New(s)
			acts := bal.Handle(1, &Event{Kind: ListRestored, List: fleet(n)}, nil)
			now := int64(1)
			b.ReportAllocs()
			for i := range b.N {
				now += 300e3
				id := uint64(i + 10)
				acts = bal.Handle(now, &Event{Kind: Arrival, Request: id, Due: now + 10e6, Hint: 200e3}, acts[:0])
				_, sent := countActions(acts, Send)
				acts = bal.Handle(now, &Event{Kind: JobStarted, Request: id, Worker: sent.Worker}, acts[:0])
				acts = bal.Handle(now, &Event{Kind: AttemptDone, Request: id, Worker: sent.Worker, Final: true,
					Load: Load{Queue: 0, Inflight: 1, Free: 1, Util: 0.5}}, acts[:0])
			}
		})
	}
}

func TestFreshLookBeforeAFinalChoice(t *testing.T) {
	s := settings()
	s.LoadReports, s.Allowed.Probe = ReportsInProbes, true
	r := newRig(t, s, fleet(6)...)
	_, acts := r.arrive(unsafe)
	probes, _ := countActions(acts, ProbeWorker)
	sends, _ := countActions(acts, Send)
	_, timer := countActions(acts, SetTimer)
	if probes == 0 || sends != 0 || timer.After > s.Tick {
		t.Fatalf("want probes and a short wait: %+v", acts)
	}
	for i, w := range r.b.buddies {
		queue := 5.0
		if i == 3 {
			queue = 0
		}
		r.handle(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{queue, 1 + queue, 1 - queue/5, 1}})
	}
	r.now += timer.After
	if got := r.requireSend(r.handle(Event{Kind: TimerDue, Token: timer.Token})).Worker; got != r.b.buddies[3].ID {
		t.Errorf("sent to %s, not to the free buddy", got)
	}
	if _, acts := r.arrive(unsafe); len(acts) == 0 || acts[0].Kind == ProbeWorker {
		t.Errorf("fresh evidence needs no probes: %+v", acts)
	}
	s.LiveWeights = true // whom the list does not name has not changed; once it fails there is nothing but probes
	r = newRig(t, s, fleet(6)...)
	for _, want := range []int{0, 6} {
		if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: tokenPeriodic}), ProbeWorker); n != want {
			t.Errorf("%d probes beside a list with live weights, want %d", n, want)
		}
		r.handle(Event{Kind: ListFailed})
		r.now += 60e6
	}
	s.Allowed.Probe, s.LiveWeights = false, false
	if n, _ := countActions(newRig(t, s, fleet(6)...).handle(Event{Kind: TimerDue, Token: tokenPeriodic}),
		ProbeWorker); n != 0 {
		t.Error("probed where that is not allowed")
	}
}

func TestPriceOfLateLossesRefusesEarly(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	for range 3 {
		for _, w := range r.b.buddies {
			r.handle(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{12, 14, 0, 1}})
		}
	}
	if _, acts := r.arrive(unsafe); r.requireSend(acts).Worker == "" {
		t.Error("not sent while nothing was lost")
	}
	r.b.lateLoss = 0.9
	_, acts := r.arrive(unsafe)
	if n, _ := countActions(acts, Refuse); n != 1 || r.b.lateLoss >= 0.9 {
		t.Errorf("queues of twelve everywhere and most jobs late: %+v", acts)
	}
}

func TestWithdrawalWhenTheAimIsLost(t *testing.T) {
	for _, loss := range []float64{0, 0.9} {
		r := newRig(t, settings(), fleet(6)...)
		id, _ := r.arrive(unsafe)
		r.b.lateLoss = loss
		r.now += 2e6
		acts := r.handle(Event{Kind: TimerDue, Token: id<<2 | tokenRecheck})
		failed, _ := countActions(acts, Fail)
		recalled, _ := countActions(acts, CancelAttempt)
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
		r.b.lateLoss, r.b.jobTime = 0.9, 200e3
		r.now += 500e3 + 2*200e3 - 200e3 + late
		failed, _ := countActions(r.handle(Event{Kind: TimerDue, Token: id<<2 | tokenRecheck}), Fail)
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
			r.handle(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{-1, -1, c.free, 1}})
		}
		for range 100 {
			r.b.tenantShares.IsWithin(r.now, 0)
		}
		r.b.jobTime = 100e3
		r.id++
		acts := r.handle(Event{Kind: Arrival, Request: r.id, Class: safe, Tenant: c.tenant, Due: r.now + 10e6,
			Hint: 100e3})
		if n, _ := countActions(acts, Refuse); n != c.refused {
			t.Errorf("%+v: %d refused", c, n)
		}
	}
}

// Where every buddy would be late, jobs must not all go to the first of the list.
func TestNoPileWhereAllAreLate(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	for _, w := range r.b.buddies {
		r.handle(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{12, 14, 0, 1}})
	}
	got := map[string]int{}
	for range 12 {
		_, acts := r.arrive(unsafe)
		got[r.requireSend(acts).Worker]++
	}
	if len(got) < 5 {
		t.Errorf("twelve jobs went to %v", got)
	}
}

// Of a started stream the attempt is the client's: nothing more is done about it.
func TestStartedStreamIsLeftAlone(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	id, acts := r.arrive(safe)
	w := r.requireSend(acts).Worker
	r.handle(Event{Kind: StreamStarted, Request: id, Worker: w})
	r.now += 20e6
	r.b.lateLoss = 1
	if acts := r.handle(Event{Kind: TimerDue, Token: id<<2 | tokenRecheck}); len(acts) != 0 {
		t.Errorf("%+v", acts)
	}
}

// What no worker can take any more was held until its deadline. The client is told at once: it may do better.
func TestAllTriedIsAnsweredAtOnce(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	id, acts := r.arrive(unsafe)
	acts = r.done(id, 0, r.requireSend(acts).Worker, Saturated)
	acts = r.done(id, 1, r.requireSend(acts).Worker, Saturated)
	if n, _ := countActions(acts, Refuse); n != 1 {
		t.Errorf("both workers turned it away: %+v", acts)
	}
}

func TestHeldNoLongerThanTheAim(t *testing.T) {
	s := settings()
	s.Classes[unsafe].LateWorth = 0
	r := newRig(t, s)
	id, acts := r.arrive(unsafe)
	for n, timer := countActions(acts, SetTimer); n > 0; n, timer = countActions(acts, SetTimer) {
		r.now += timer.After
		acts = r.handle(Event{Kind: TimerDue, Token: id<<2 | tokenRecheck})
	}
	aim := 100e6 + r.b.settings.Classes[unsafe].Aim + int64(r.b.settings.Classes[unsafe].Stretch*200e3)
	if n, _ := countActions(acts, Refuse); n != 1 || r.now > aim || r.now < aim-400e3 {
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
			r.handle(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{float64(12 + i), 14, 0, 1}})
		}
		r.b.lateLoss = 0.9
		_, acts := r.arrive(unsafe)
		n, a := countActions(acts, Refuse)
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
	acts := r.handle(Event{Kind: Arrival, Request: r.id, Class: safe, Tenant: -1, Due: r.now + 50e3, Hint: 200e3})
	r.requireSend(acts)
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

// A worker that broke the connection of an attempt is the last that the next one may go to. While that one is out no
// copy follows it there: two attempts at one worker at a time have an effect twice, whatever else is allowed.
func TestNoCopyWhereAnAttemptIsOut(t *testing.T) {
	r := newRig(t, settings(), fleet(1)...)
	id, acts := r.arrive(safe)
	first := r.requireSend(acts)
	r.now += 1e3
	again := r.requireSend(r.done(id, 0, first.Worker, ConnectionLost))
	for range 200 { // far beyond the time at which its worker is doubted
		r.now += 40e3
		if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: id<<2 | tokenRecheck}), Send); n != 0 {
			t.Fatalf("a copy went to %s, where an attempt is out", again.Worker)
		}
	}
}
