package topazfall

// What the waits of this dispatcher's own jobs show of the load of workers. Where reports are late, as when the worker
// list falls silent, they are the only evidence.

// learnFromStart learns from the time that a job waited for its start.
func (b *Balancer) learnFromStart(a *attempt) {
	w, wait := a.worker, float64(b.now-a.sentAt)
	if wait < 2*b.startLag {
		b.startLag += (wait - b.startLag) / 8
		wait = 0
	}
	// The wait is a sample of the actual backlog in the region that was observed at the send.
	w.addSample(a.region, b.columnOf(wait))
	switch {
	case wait == 0:
		// No job waited, and other dispatchers' jobs leave free at least the slots of this dispatcher's running jobs,
		// this one included.
		w.queued = min(w.queued, -1-w.countAttempts(func(o *attempt) bool { return o.startedAt != 0 }))
	case w.evidenceAt <= a.sentAt:
		// As many jobs are taken to wait behind this one as were ahead of it.
		w.queued, w.evidenceAt = b.queueOfWait(w, wait), b.now
		b.updateMeanQueued(w, w.queued)
	}
}

// learnFromWait raises the mean queue if a job waits longer than that explains and no report of its worker is newer
// than the job.
func (b *Balancer) learnFromWait(a *attempt) {
	w, wait := a.worker, float64(b.now-a.sentAt)
	if w.evidenceAt > a.sentAt || wait < 3*b.startLag {
		return
	}
	if queue := b.queueOfWait(w, wait); queue > b.expectedQueued(w) {
		b.updateMeanQueued(w, queue)
	}
}

// queueOfWait returns the number of jobs that a worker starts within a wait.
func (b *Balancer) queueOfWait(w *worker, wait float64) float64 {
	return wait * w.kind.slots / b.jobTime
}

// updateMeanQueued updates the moving average of the jobs that wait at a worker.
func (b *Balancer) updateMeanQueued(w *worker, queued float64) {
	expected := b.expectedQueued(w)
	b.meanQueued, b.meanQueuedAt = expected+(queued-expected)/8, b.now
}
