package topazfall

// Tests of what is observed of workers and learned from it.

import (
	"fmt"
	"math"
	"testing"
)

func TestHungWorkerIsAvoided(t *testing.T) {
	s := settings()
	r := newRig(t, s, fleet(6)...)
	_, acts := r.arrive(unsafe)
	hung := r.requireSend(acts).Worker // takes the job and never reports
	got := 0
	for range 50 {
		r.now += 200e3
		id, acts := r.arrive(unsafe)
		w := r.requireSend(acts).Worker
		if w == hung {
			got++
			continue
		}
		r.now += 5e3
		r.handle(Event{Kind: JobStarted, Request: id, Attempt: 0, Worker: w})
		r.now += 100e3
		r.finishAttempt(id, 0, w, Completed)
	}
	if got > 3 {
		t.Errorf("a worker that never answers got %d more jobs", got)
	}
}

// A worker that starts every job and fails it at once always looks free. It must get a few jobs that may be repeated,
// at ever longer intervals, and hardly any other. When it has recovered it must get its share again.
func TestFailingWorkerIsEjected(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	failing, got, recovered := "", map[int]int{}, false
	runRounds := func(rounds int) {
		for i := range rounds {
			r.now += 100e3
			if i%20 == 0 {
				r.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
			}
			class := []int{safe, unsafe}[i%2]
			id, acts := r.arrive(class)
			for n := 0; ; n++ {
				w := r.requireSend(acts).Worker
				if failing == "" {
					failing = w
				}
				r.now += 2e3
				r.handle(Event{Kind: JobStarted, Request: id, Attempt: n, Worker: w})
				if w == failing {
					got[class]++
				}
				if w != failing || recovered {
					r.now += 200e3
					r.finishAttempt(id, n, w, Completed)
					break
				}
				r.now += 2e3
				if acts = r.finishAttempt(id, n, w, Errored); class == unsafe {
					break
				}
			}
		}
	}
	runRounds(300)
	if got[unsafe] > 1 || got[safe] < 2 || got[safe] > 12 {
		t.Errorf("a worker that fails every job got %d unsafe jobs and %d others", got[unsafe], got[safe])
	}
	recovered, got = true, map[int]int{}
	runRounds(600)
	if got[unsafe] < 3 {
		t.Errorf("a worker that has recovered got %v jobs", got)
	}
}

// A worker that has started jobs and then stalls reports no progress. It must get no more jobs until it does.
func TestStalledWorkerIsAvoided(t *testing.T) {
	for _, reports := range []bool{false, true} {
		s := settings()
		s.Progress = 2e6
		r := newRig(t, s, fleet(6)...)
		long, acts := r.arrive(unsafe)
		w := r.requireSend(acts).Worker
		r.handle(Event{Kind: JobStarted, Request: long, Attempt: 0, Worker: w})
		got := 0
		for range 50 {
			r.now += 100e3
			if reports && r.now%1e6 == 0 {
				r.handle(Event{Kind: JobProgress, Request: long, Attempt: 0, Worker: w, Amount: 0.1})
			}
			if r.now < 100e6+4.2e6 {
				continue
			}
			r.b.workers[w].queued, r.b.workers[w].evidenceAt = -3, r.now // its last report was of free slots
			for _, o := range r.b.buddies {
				if o.ID != w {
					o.queued, o.evidenceAt = 0, r.now
				}
			}
			id, acts := r.arrive(unsafe)
			to := r.requireSend(acts).Worker
			if to == w {
				got++
			}
			r.handle(Event{Kind: JobStarted, Request: id, Attempt: 0, Worker: to})
			r.finishAttempt(id, 0, to, Completed)
		}
		if (got > 0) != reports {
			t.Errorf("reports progress: %t, got %d jobs", reports, got)
		}
	}
}

// Of two free workers, one that is known to be much slower must get no long job, although the risk alone would tie.
func TestSlowWorkerGetsNoLongJob(t *testing.T) {
	s := settings()
	s.Classes[unsafe].Aim = 1.5e6
	r := newRig(t, s, fleet(6)...)
	slow := r.b.buddies[0]
	slow.pace = 3
	for range 10 {
		r.now += 2e6
		id, acts := r.arrive(unsafe)
		w := r.requireSend(acts).Worker
		if w == slow.ID {
			t.Fatal("the slow worker was chosen")
		}
		r.handle(Event{Kind: JobStarted, Request: id, Attempt: 0, Worker: w})
		r.now += 200e3
		r.finishAttempt(id, 0, w, Completed)
	}
}

// Jobs that fail because their workers broke down must not count as late. lateLoss is the average share of a job's
// worth that late answers have cost recently; if it rises, further jobs are refused as too late. A timeout does count
// as late.
func TestBrokenWorkersDoNotRaiseLateLoss(t *testing.T) {
	for o, want := range map[Outcome]bool{ConnectionLost: false, ConnectionRefused: false, TimedOut: true} {
		r := newRig(t, settings(), fleet(6)...)
		id, acts := r.arrive(unsafe)
		r.finishAttempt(id, 0, r.requireSend(acts).Worker, o)
		if (r.b.lateLoss > 0) != want {
			t.Errorf("after %v the late loss is %v", o, r.b.lateLoss)
		}
	}
}

// Beyond the last threshold no other can be crossed, so every report counts there: one of three waiting jobs must not
// hide a later one of thirty.
func TestLongQueuesAreDistinguished(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	for _, queues := range [][2]float64{{3, 30}, {30, 3}, {6, 4}} {
		r.now += 1e6
		for i, q := range queues {
			r.b.recordLoad(r.b.workers[fmt.Sprintf("w%d", i)], Load{Queue: q, Inflight: -1, Free: -1, Util: -1})
		}
		_, acts := r.arrive(unsafe)
		want := fmt.Sprintf("w%d", map[bool]int{true: 0, false: 1}[queues[0] < queues[1]])
		if r.requireSend(acts).Worker != want {
			t.Errorf("queues %v: sent to %s", queues, r.requireSend(acts).Worker)
		}
	}
}

func TestLoadReportsChangeChoice(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	_, acts := r.arrive(unsafe)
	first := r.requireSend(acts).Worker
	if _, acts := r.arrive(unsafe); r.requireSend(acts).Worker == "" {
		t.Fatal("no worker")
	}
	r.now += 1e6
	r.handle(Event{Kind: ProbeDone, Worker: first, Outcome: Completed,
		Load: Load{Queue: 9, Inflight: 11, Free: 0, Util: 1}})
	if _, acts := r.arrive(unsafe); r.requireSend(acts).Worker == first {
		t.Error("a job went to a worker with a reported queue of nine")
	}
}

func TestLearnedTableChangesChoice(t *testing.T) {
	// The first buddy reports free slots, but every job sent there starts late. Its table must learn that.
	choice := func(updates bool) string {
		r := newRig(t, settings(), fleet(6)...)
		first := r.b.buddies[0]
		before := first.probability
		for range 10 {
			for x := range regionCount {
				first.addSample(x, columnCount-1)
				for _, w := range r.b.buddies[1:] {
					w.addSample(x, 0)
				}
			}
		}
		if updates {
			r.now += r.b.probeInterval() * 5
			r.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
			if first.probability == before {
				t.Error("the table is still uniform")
			}
		}
		_, acts := r.arrive(unsafe)
		if got := r.requireSend(acts).Worker; got != first.ID {
			return "other"
		}
		return "home"
	}
	if a, b := choice(false), choice(true); a != "home" || b != "other" {
		t.Errorf("before the update %s, after it %s", a, b)
	}
}

func TestInvalidLoadReports(t *testing.T) {
	nan := 0.0
	nan /= nan
	for _, v := range []float64{nan, -7, 1e300, 0} {
		r := newRig(t, settings(), fleet(3)...)
		for _, w := range fleet(3) {
			r.handle(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{v, v, v, v}})
		}
		_, acts := r.arrive(safe)
		r.requireSend(acts)
	}
}

func TestLoadReportsAge(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	w := r.b.buddies[0]
	r.handle(Event{Kind: ProbeDone, Worker: w.ID, Outcome: Completed, Load: Load{9, 11, 0, 1}})
	fresh := r.b.backlog(w)
	r.now += 60e6
	r.handle(Event{Kind: PeerMessage}) // time passes
	if old := r.b.backlog(w); fresh <= 0 || old > fresh/3 {
		t.Errorf("backlog %v, a minute later %v", fresh, old)
	}
}

// A table row with few, unusual samples must not make a worker with a long backlog look less loaded than a free one.
// On a simulated day jobs went to workers with nine outstanding jobs of the dispatcher while others had none.
func TestTailsRiseWithTheRegion(t *testing.T) {
	r := newRig(t, settings(), fleet(3)...)
	w := r.b.buddies[0]
	for range 50 {
		w.addSample(0, columnCount-1)
		w.addSample(regionCount-1, 0)
	}
	w.update(nil)
	for x := 1; x < regionCount; x++ {
		for c := range columnCount {
			if w.tails[x][c] < w.tails[x-1][c] {
				t.Fatalf("P(backlog > %d) is %v in region %d, %v in region %d",
					c, w.tails[x][c], x, w.tails[x-1][c], x-1)
			}
		}
	}
}

// The tables of a dispatcher with two jobs a second must have changed within its first minute.
func TestTablesLearnAtLightLoad(t *testing.T) {
	r := newRig(t, settings(), fleet(20)...)
	uniform := r.b.buddies[0].probability
	nextProbe := r.now
	for i := range 120 {
		r.now += 500e3
		if r.now >= nextProbe {
			nextProbe = r.now + r.b.probeInterval()
			r.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
		}
		id, acts := r.arrive(unsafe)
		w := r.requireSend(acts).Worker
		r.now += 5e3
		r.handle(Event{Kind: JobStarted, Request: id, Worker: w})
		r.now += 200e3
		queue := float64(i % 3)
		r.handle(Event{Kind: AttemptDone, Request: id, Worker: w, Final: true, Load: Load{queue, queue + 2, 0, 1}})
	}
	changed := 0
	for _, w := range r.b.buddies {
		if w.probability != uniform {
			changed++
		}
	}
	if changed != len(r.b.buddies) {
		t.Errorf("%d of %d buddies have tables that differ from uniform", changed, len(r.b.buddies))
	}
}

// A rough hint must not make a job count as late. On a quiet day a fifth of all jobs did, and other jobs were refused
// because of that.
func TestRoughHintsDoNotLookLate(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	for _, wait := range []int64{0, 3e6} {
		r.b.lateLoss = 0
		id, acts := r.arrive(unsafe) // a hint of 0.2 s gives an aim of 0.9 s
		w := r.requireSend(acts).Worker
		r.now += wait
		r.handle(Event{Kind: JobStarted, Request: id, Worker: w})
		r.now += 1e6 // five times the hint, which extends the aim to 2.5 s
		r.finishAttempt(id, 0, w, Completed)
		if late := r.b.lateLoss > 0; late != (wait > 0) {
			t.Errorf("after a wait of %d us: counted as late: %v", wait, late)
		}
	}
}

// The pace of a worker must not vary much with small jobs, whose hints are the roughest.
func TestPaceIsWeightedByWork(t *testing.T) {
	paceAfter := func(hint int64) float64 {
		r := newRig(t, settings(), fleet(1)...)
		r.handle(Event{Kind: Arrival, Request: 9, Class: unsafe, Tenant: -1, Due: r.now + 10e6, Hint: hint})
		r.handle(Event{Kind: JobStarted, Request: 9, Worker: "w0"})
		r.now += 4 * hint
		r.finishAttempt(9, 0, "w0", Completed)
		return r.b.workers["w0"].pace
	}
	if small, large := paceAfter(20e3), paceAfter(1e6); small > 1.1 || large < 1.3 {
		t.Errorf("pace after a small job %v, after a large one %v", small, large)
	}
}

// If clients give no hints, the work of a job is taken to be the mean of its class. Its aim grows with that work, and
// it is not refused as if its aim were missed.
func TestNoHints(t *testing.T) {
	s := settings()
	s.Classes = s.Classes[:2]
	s.Classes[safe].Aim, s.Classes[unsafe].Aim = 100e3, 100e3
	r := newRig(t, s, fleet(1)...)
	arrive := func(class int) (uint64, []Action) {
		r.id++
		return r.id, r.handle(Event{Kind: Arrival, Request: r.id, Class: class, Tenant: -1, Due: r.now + 10e6})
	}
	for range 60 {
		for class, run := range []int64{300e3, 900e3} {
			id, acts := arrive(class)
			r.requireSend(acts)
			r.handle(Event{Kind: JobStarted, Request: id, Worker: "w0"})
			r.now += run
			r.finishAttempt(id, 0, "w0", Completed)
		}
	}
	for class, want := range []float64{300e3, 900e3} {
		id, _ := arrive(class)
		opened := r.b.requests[id]
		if opened == nil || math.Abs(opened.hint-want) > want/4 ||
			math.Abs(float64(opened.aim-r.now)-(100e3+2*want)) > want {
			t.Errorf("class %d: %+v", class, opened)
		}
		r.handle(Event{Kind: ClientGone, Request: id})
	}
}
