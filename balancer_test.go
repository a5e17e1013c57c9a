package topazfall

// Tests of the life of a request, and of the layout of balancer.go.

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestBalancerFileLayout(t *testing.T) {
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

func TestNewNamesInvalidSetting(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"Dispatchers":           func(s *Settings) { s.Dispatchers = 0 },
		"Me":                    func(s *Settings) { s.Me = -1 },
		"Classes":               func(s *Settings) { s.Classes = nil },
		"Allowed.Attempts":      func(s *Settings) { s.Allowed.Attempts = 0 },
		"Contract.ColdFrom":     func(s *Settings) { s.Contract.ColdFrom = 2 },
		`Classes[1] ("unsafe")`: func(s *Settings) { s.Classes[1].Deadline = 0 },
	} {
		s := settings()
		invalidate(&s)
		if _, err := New(s); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error is %v", name, err)
		}
	}
}

// Checks after each outcome which classes may be retried and what the final answer may be.
func TestRetryAfterOutcome(t *testing.T) {
	for o := Errored; o <= Unusable; o++ {
		for class := safe; class <= celled; class++ {
			r := newRig(t, settings(), fleet(6)...)
			id, acts := r.arrive(class)
			first := r.requireSend(acts)
			r.now += 1000
			acts = r.finishAttempt(id, 0, first.Worker, o)
			again, second := countActions(acts, Send)
			failed, _ := countActions(acts, Fail)
			refused, _ := countActions(acts, Refuse)
			if class == unsafe && !o.NotRun() {
				if again+refused > 0 || failed != 1 {
					t.Errorf("unsafe job after %v: %+v", o, acts)
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
					t.Errorf("a repeat of a keyed job left its cell: %d to %d", v.Cell, w.Cell)
				}
			}
		}
	}
}

func TestKeyedRetryWithinWindow(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	id, acts := r.arrive(celled)
	first := r.requireSend(acts)
	r.now += 4e6 + 1
	acts = r.finishAttempt(id, 0, first.Worker, ConnectionLost)
	if n, _ := countActions(acts, Fail); n != 1 {
		t.Errorf("a keyed job must fail after its window, not be refused or sent: %+v", acts)
	}
	id, acts = r.arrive(keyed)
	first = r.requireSend(acts)
	r.now += 4e6 + 1
	if n, _ := countActions(r.finishAttempt(id, 0, first.Worker, ConnectionLost), Refuse); n != 1 {
		t.Errorf("a keyed job whose group is all workers may be refused: %+v", acts)
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
		t.Errorf("at %d with the deadline at %d: %+v", r.now, due, acts)
	}
}

// A job that two workers cannot use is itself at fault. If the second worker serves it, the first one is.
func TestUnusableJob(t *testing.T) {
	for _, second := range []Outcome{Unusable, Completed} {
		r := newRig(t, settings(), fleet(6)...)
		id, acts := r.arrive(safe)
		first := r.requireSend(acts).Worker
		other := r.requireSend(r.finishAttempt(id, 0, first, Unusable)).Worker
		fails, _ := countActions(r.finishAttempt(id, 1, other, second), Fail)
		errors := r.b.workers[first].consecutiveErrors
		if want := map[Outcome]int{Unusable: 1}[second]; fails != want || errors != 1-want ||
			r.b.workers[other].consecutiveErrors > 0 {
			t.Errorf("second outcome %v: %d failures, %d errors counted against the first", second, fails, errors)
		}
		if len(r.b.requests) > 0 {
			t.Errorf("second outcome %v: the request was kept", second)
		}
	}
}

// A hedged request is for a job that has not started when half of its slack is over, at a worker that has been silent
// since the send. A cancelled attempt may run all the same, and a worker with signs of life runs other jobs first.
func TestHedgedRequestWhenJobDoesNotStart(t *testing.T) {
	for class, want := range map[int]int{safe: 1, keyed: 1, unsafe: 0} {
		r := newRig(t, settings(), fleet(6)...)
		id, acts := r.arrive(class)
		first := r.requireSend(acts)
		recheck := Action{Token: id<<2 | tokenRecheck}
		r.now = r.b.requests[id].attempts[0].suspectAt
		if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: recheck.Token}), Send); n != 0 {
			t.Error("a hedged request while the first attempt waits no longer than expected")
		}
		r.now++
		if w := r.b.workers[first.Worker]; class == safe {
			silent := w.silentSince
			w.silentSince = 0
			if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: recheck.Token}), Send); n != 0 {
				t.Error("a hedged request although the worker is alive")
			}
			w.silentSince = silent
		}
		if want == 0 {
			if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: recheck.Token}), Send); n != 0 {
				t.Error("an unsafe job got a hedged request")
			}
			continue
		}
		second := r.requireSend(r.handle(Event{Kind: TimerDue, Token: recheck.Token}))
		if second.Worker == first.Worker {
			t.Error("the hedged request went to the same worker")
		}
		acts = r.handle(Event{Kind: JobStarted, Request: id, Attempt: 1, Worker: second.Worker})
		if n, a := countActions(acts, CancelAttempt); n != 1 || a.Attempt != 0 {
			t.Errorf("the attempt that waits must be cancelled: %+v", acts)
		}
	}
}

// Where all workers are late, as when most are cold, each job looks as if its worker were silent, because one
// dispatcher of many has sent nothing else there. Hedged requests then only add to the delay. A worker whose live
// weight shows that jobs have ended has given a sign of life.
func TestHedgedRequestsLimitedWhenAllLate(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		s, ws := settings(), fleet(6)
		s.LiveWeights = true
		setWeights(ws, 5)
		r := newRig(t, s, ws...)
		setWeights(ws, 5/(1+1./5)) // with one job the weight is lower, which shows the number of cores
		r.handle(Event{Kind: ListPatch, List: ws})
		requests, hedges := 40, 0
		for range requests {
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
				if hedges += n; n == 0 {
					break
				}
			}
			r.handle(Event{Kind: ClientGone, Request: id})
		}
		if maxHedges := requests/(sendsPerHedge-1) + 1; hedges > maxHedges || leaving && hedges > 0 ||
			!leaving && hedges < maxHedges/2 {
			t.Errorf("jobs leaving %v: %d hedged requests for %d requests, at most %d", leaving, hedges, requests,
				maxHedges)
		}
	}
}

// If no other worker is left, one to which the connection was lost is tried once more if a repeat is harmless: it may
// be reachable at another address. A worker that refused the connection or the job is not tried again.
func TestLostConnectionToOnlyWorker(t *testing.T) {
	for _, c := range []struct {
		class int
		o     Outcome
		again int
	}{{safe, ConnectionLost, 1}, {keyed, ConnectionLost, 1}, {unsafe, ConnectionLost, 0},
		{safe, ConnectionRefused, 0}, {safe, Saturated, 0}} {
		r := newRig(t, settings(), fleet(1)...)
		id, acts := r.arrive(c.class)
		w := r.requireSend(acts).Worker
		if n, _ := countActions(r.finishAttempt(id, 0, w, c.o), Send); n != c.again {
			t.Errorf("class %d, outcome %d: %d further sends, want %d", c.class, c.o, n, c.again)
		}
	}
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	r := newRig(t, settings(), fleet(3)...)
	id, acts := r.arrive(unsafe)
	w := r.requireSend(acts).Worker
	r.finishAttempt(id, 0, w, Completed)
	for _, acts := range [][]Action{
		r.finishAttempt(id, 0, w, Completed), r.finishAttempt(id, 7, w, Errored),
		r.finishAttempt(999, 0, "nobody", ConnectionLost),
		r.handle(Event{Kind: JobStarted, Request: 999}), r.handle(Event{Kind: ClientGone, Request: id}),
		r.handle(Event{Kind: ProbeDone, Worker: "nobody"}),
		r.handle(Event{Kind: TimerDue, Token: id<<2 | tokenRecheck}),
		r.handle(Event{Kind: Arrival, Request: 5, Class: 99}), r.handle(Event{Kind: PeerMessage}),
	} {
		if len(acts) != 0 {
			t.Errorf("actions after an unknown event: %+v", acts)
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

func TestProbesBeforeUnsafeChoice(t *testing.T) {
	s := settings()
	s.LoadReports, s.Allowed.Probe = ReportsInProbes, true
	r := newRig(t, s, fleet(6)...)
	_, acts := r.arrive(unsafe)
	probes, _ := countActions(acts, ProbeWorker)
	sends, _ := countActions(acts, Send)
	_, timer := countActions(acts, SetTimer)
	if probes == 0 || sends != 0 || timer.After > s.Tick {
		t.Fatalf("want probes and a timer of at most a tick: %+v", acts)
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
		t.Errorf("probes although the load reports are fresh: %+v", acts)
	}
	// A worker that a list with live weights does not name has not changed. Once the list fails, only probes are left.
	s.LiveWeights = true
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
		t.Error("probed although that is not allowed")
	}
}

func TestLoadSheddingByLateLoss(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	for range 3 {
		for _, w := range r.b.buddies {
			r.handle(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{12, 14, 0, 1}})
		}
	}
	if _, acts := r.arrive(unsafe); r.requireSend(acts).Worker == "" {
		t.Error("not sent although nothing was lost")
	}
	r.b.lateLoss = 0.9
	_, acts := r.arrive(unsafe)
	if n, _ := countActions(acts, Refuse); n != 1 || r.b.lateLoss >= 0.9 {
		t.Errorf("not refused with queues of twelve everywhere and most jobs late: %+v", acts)
	}
}

func TestWithdrawalAfterMissedAim(t *testing.T) {
	for _, loss := range []float64{0, 0.9} {
		r := newRig(t, settings(), fleet(6)...)
		id, _ := r.arrive(unsafe)
		r.b.lateLoss = loss
		r.now += 2e6
		acts := r.handle(Event{Kind: TimerDue, Token: id<<2 | tokenRecheck})
		failed, _ := countActions(acts, Fail)
		cancelled, _ := countActions(acts, CancelAttempt)
		if want := int(loss + 0.5); failed != want || cancelled != want {
			t.Errorf("at a late loss of %v: %+v", loss, acts)
		}
	}
}

// The aim depends on a rough hint. A job is therefore withdrawn only when, after the last moment at which it could
// have been in time, the time of the hinted work has passed as well.
func TestWithdrawalAllowsForRoughHint(t *testing.T) {
	for _, late := range []int64{100e3, 300e3} { // after the last moment at which it could be in time
		r := newRig(t, settings(), fleet(6)...)
		id, _ := r.arrive(unsafe)
		r.b.lateLoss, r.b.jobTime = 0.9, 200e3
		r.now += 500e3 + 2*200e3 - 200e3 + late
		failed, _ := countActions(r.handle(Event{Kind: TimerDue, Token: id<<2 | tokenRecheck}), Fail)
		if want := late > 200e3; want != (failed > 0) {
			t.Errorf("%d us after the aim is missed: %d failed", late, failed)
		}
	}
}

// A request beyond its tenant's share is refused unless it starts at once, and no other request is. It is not refused
// where it keeps most of its worth.
func TestRequestsOverQuotaRefusedFirst(t *testing.T) {
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

// If every buddy would be late, the jobs must not all go to the first one.
func TestJobsSpreadWhenAllLate(t *testing.T) {
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

// Once the stream of an answer has started, the attempt belongs to the client and gets no hedge or withdrawal.
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

// A request that no worker can take any more must be refused at once, so that the client can retry elsewhere. It used
// to be held until its deadline.
func TestRefusedAtOnceWhenAllTried(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	id, acts := r.arrive(unsafe)
	acts = r.finishAttempt(id, 0, r.requireSend(acts).Worker, Saturated)
	acts = r.finishAttempt(id, 1, r.requireSend(acts).Worker, Saturated)
	if n, _ := countActions(acts, Refuse); n != 1 {
		t.Errorf("not refused although both workers are saturated: %+v", acts)
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
		t.Errorf("at %d with the aim at %d: %+v", r.now, aim, acts)
	}
}

// A refusal advises a backoff of half the minimum backlog of the buddies, or none if Allowed.RetryAfter is not set.
func TestRetryAfterFollowsMinBacklog(t *testing.T) {
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
		want := int64(r.b.backlog(r.b.buddies[0]) / 2)
		if n != 1 || !allowed && a.After != 0 || allowed && (a.After != want || want < 1e6) {
			t.Errorf("allowed %t, half the minimum backlog %d: %+v", allowed, want, acts)
		}
	}
}

// No timer is shorter than a tick. Real timers can fire at once, and without this bound a job whose aim was missed
// used up four attempts in 100 microseconds.
func TestNoTimerBelowTick(t *testing.T) {
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
				t.Errorf("a timer of %d us, the tick is %d us", a.After, s.Tick)
			}
		}
	}
	if n != 3 {
		t.Errorf("%d timers, want two for the start of the job and one for the aim", n)
	}
}

// A worker to which the connection of an attempt was lost is the last resort for the next one. While that one is
// outstanding no hedged request goes there: two attempts at one worker at a time could both take effect.
func TestNoHedgeAtWorkerWithOutstandingAttempt(t *testing.T) {
	r := newRig(t, settings(), fleet(1)...)
	id, acts := r.arrive(safe)
	first := r.requireSend(acts)
	r.now += 1e3
	again := r.requireSend(r.finishAttempt(id, 0, first.Worker, ConnectionLost))
	for range 200 { // far beyond the time at which its worker is suspect
		r.now += 40e3
		if n, _ := countActions(r.handle(Event{Kind: TimerDue, Token: id<<2 | tokenRecheck}), Send); n != 0 {
			t.Fatalf("a hedged request went to %s, where an attempt is outstanding", again.Worker)
		}
	}
}
