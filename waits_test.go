package topazfall

import "testing"

// saturated returns a rig whose list has fallen silent after it showed free workers, while all are full: each job that
// is sent starts after two seconds.
func saturated(t *testing.T) *rig {
	t.Helper()
	s, ws := settings(), fleet(60)
	s.LiveWeights, s.Dispatchers = true, 300
	r := newRig(t, s)
	setWeights(ws, 3)
	r.handle(Event{Kind: ListSnapshot, List: ws})
	setWeights(ws, 3/(1+1./3))
	r.now += 1e6
	r.handle(Event{Kind: ListSnapshot, List: ws})
	r.b.jobTime = 1e6
	return r
}

// While no report arrives, the waits of own jobs show that all workers are full, those too that got none.
func TestWaitsShowLoadWhileTheListIsSilent(t *testing.T) {
	r := saturated(t)
	const wait, jobs = int64(2e6), 24
	type sentJob struct {
		id     uint64
		worker string
		at     int64
	}
	var sent []sentJob
	for range jobs {
		r.now += 200e3
		if id, acts := r.arrive(unsafe); len(acts) > 0 {
			if n, a := countActions(acts, Send); n == 1 {
				sent = append(sent, sentJob{id, a.Worker, r.now})
			}
		}
		for len(sent) > 0 && r.now >= sent[0].at+wait {
			r.handle(Event{Kind: JobStarted, Request: sent[0].id, Worker: sent[0].worker})
			sent = sent[1:]
		}
	}
	unused := r.b.nonBuddies[0]
	if estimate := r.b.backlog(unused); estimate < float64(wait)/4 {
		t.Errorf("a worker that got no job is expected to start one after %.0f us; all others took %d us", estimate,
			wait)
	}
}

// A job that waited before it started does not show that the worker is free: others wait behind it.
func TestLateStartDoesNotShowFreeWorker(t *testing.T) {
	r := saturated(t)
	id, acts := r.arrive(unsafe)
	w := r.b.workers[r.requireSend(acts).Worker]
	r.now += 2e6
	r.handle(Event{Kind: JobStarted, Request: id, Worker: w.ID})
	if w.queued < 1 {
		t.Errorf("%.1f jobs are taken to wait at a worker whose last job waited for two seconds", w.queued)
	}
	r.now += 1e3
	id, acts = r.arrive(unsafe)
	w = r.b.workers[r.requireSend(acts).Worker]
	w.queued = 5
	r.now += 1e3
	r.handle(Event{Kind: JobStarted, Request: id, Worker: w.ID})
	if w.queued >= 0 {
		t.Errorf("%.1f jobs are taken to wait at a worker that started a job at once", w.queued)
	}
}

// A job that would almost surely be late is refused before any late answer has raised the price of late jobs, unless a
// late answer has a worth, or the load of the worker is not known.
func TestWorthlessJobIsRefused(t *testing.T) {
	for _, c := range []struct {
		lateWorth float64
		known     bool
		refused   int
	}{{0, true, 1}, {0.5, true, 0}, {0, false, 0}} {
		s := settings()
		s.Classes[safe].LateWorth = c.lateWorth
		r := newRig(t, s, fleet(6)...)
		for _, w := range r.b.ranked {
			w.queued = 60
			if c.known {
				w.evidenceAt = r.now
			}
		}
		r.b.lateLoss = 0
		_, acts := r.arrive(safe)
		if n, a := countActions(acts, Refuse); n != c.refused || n == 1 && a.Reason != LateRisk {
			t.Errorf("%+v: %+v", c, acts)
		}
	}
}

// Jobs that still wait show it too, before any of them has started.
func TestWaitingJobsShowLoad(t *testing.T) {
	r := saturated(t)
	var ids []uint64
	for range 16 {
		r.now += 100e3
		id, acts := r.arrive(unsafe)
		r.requireSend(acts)
		ids = append(ids, id)
	}
	before := r.b.backlog(r.b.nonBuddies[0])
	r.now += 2e6
	for _, id := range ids {
		r.handle(Event{Kind: TimerDue, Token: id<<2 | tokenRecheck})
	}
	if after := r.b.backlog(r.b.nonBuddies[0]); after < before+500e3 {
		t.Errorf("a worker that got no job is expected to start one after %.0f us, and %.0f us before 16 jobs waited",
			after, before)
	}
}
