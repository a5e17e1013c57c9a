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
	// None of the jobs ahead of this one waits, and other dispatchers' jobs leave free at least the slots of this
	// dispatcher's running jobs, this one included.
	w.queued = min(w.queued, -1-w.countAttempts(func(o *attempt) bool { return o.startedAt != 0 }))
	if wait > 0 && w.evidenceAt <= a.sentAt {
		// No report counts the jobs behind this one. As many are taken to wait there as were ahead of it.
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

// queueOfWait returns the number of other dispatchers' jobs at a worker beyond its slots, if as many jobs wait there as
// it starts within a wait. This dispatcher's own outstanding attempts are counted apart, as they are in load reports.
func (b *Balancer) queueOfWait(w *worker, wait float64) float64 {
	queue := wait * w.kind.slots / b.jobTime
	return max(queue-float64(len(w.ownAttempts)), -w.kind.slots)
}

// updateMeanQueued updates the moving average of the jobs that wait at a worker.
func (b *Balancer) updateMeanQueued(w *worker, queued float64) {
	expected := b.expectedQueued(w)
	b.meanQueued, b.meanQueuedAt = expected+(queued-expected)/8, b.now
}
