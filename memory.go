package topazfall

import (
	"maps"
	"slices"

	"topazfall/internal/decide/ramp"
)

// The handover between two balancers, of learned state and of requests, and changes of the settings.

// Memory is what a balancer has learned, for its successor. No other package depends on the meaning of its fields.
// Their names are part of the handover format and differ from those of the Balancer's fields in these cases: Least
// holds smallJobWork, the work of a small job; Loss holds lateLoss, the share of the worth that is lost by late
// answers; MeanHeld and CommonAt hold meanQueued, the mean number of waiting jobs, and its time; Patience holds
// maxTimeout, the longest timeouts seen.
type Memory struct {
	JobTime, Least, StartLag, Loss, MeanHeld float64
	CommonAt                                 int64
	Patience                                 map[string]int64 // by class
	Kinds                                    map[string]KindMemory
	Workers                                  map[string]WorkerMemory
}

// KindMemory is what was learned of a kind of worker. Its field names are part of the handover format.
type KindMemory struct {
	Slots, Pace float64
	Table       [regionCount][columnCount]float64
}

// WorkerMemory is what was learned of one worker. Its field names are part of the handover format. Held is the number
// of waiting jobs plus the outstanding attempts of the predecessor, which the successor counts as other dispatchers'
// jobs. HeardAt is the time of the last evidence of its load, Silent the first send since its last sign of life, and
// LastTry the last send. DownUntil is the end of its ejection, Failures the number of ejections in a row, and Errors
// the number of consecutive errors.
type WorkerMemory struct {
	Held, Pace                 float64
	HeardAt                    int64
	Silent, LastTry, DownUntil int64
	Failures, Errors           int
	Sent                       ramp.Log // recent work sent to a cold worker
	Table                      [regionCount][columnCount]float64
}

// Memory returns what the balancer has learned.
func (b *Balancer) Memory() Memory {
	memory := Memory{JobTime: b.jobTime, Least: b.smallJobWork, StartLag: b.startLag, Loss: b.lateLoss,
		MeanHeld: b.meanQueued, CommonAt: b.meanQueuedAt, Patience: map[string]int64{},
		Kinds: map[string]KindMemory{}, Workers: map[string]WorkerMemory{}}
	for i, c := range b.settings.Classes {
		memory.Patience[c.Name] = b.maxTimeout[i]
	}
	for name, k := range b.kinds {
		memory.Kinds[name] = KindMemory{k.slots, k.pace, k.probability}
	}
	for _, w := range b.ranked {
		learned := WorkerMemory{Held: w.queued + float64(len(w.ownAttempts)), Pace: w.pace,
			HeardAt: w.evidenceAt, Silent: w.silentSince, LastTry: w.lastSentAt, DownUntil: w.ejectedUntil,
			Failures: w.ejections, Errors: w.consecutiveErrors, Table: w.probability}
		if b.isCold(w) {
			learned.Sent = slices.Clone(w.sentWork)
		}
		memory.Workers[w.ID] = learned
	}
	return memory
}

// ColdWork returns the work that was recently sent to the cold workers, by worker, for a successor that has the memory
// already. After the Replaced event it does not grow any more by this balancer.
func (b *Balancer) ColdWork() map[string]ramp.Log {
	sent := map[string]ramp.Log{}
	for _, w := range b.workers { // one that has left the list may return within the fall time
		if len(w.sentWork) > 0 && (b.isCold(w) || !w.listed) {
			sent[w.ID] = slices.Clone(w.sentWork)
		}
	}
	return sent
}

// RestoreColdWork replaces the work that was sent to cold workers as it was when the memory was taken. It is for a
// balancer that has sent none itself.
func (b *Balancer) RestoreColdWork(sent map[string]ramp.Log) {
	for id, log := range sent {
		w := b.knownWorker(id)
		w.sentWork = nil
		for _, part := range log {
			w.sentWork.Add(part, b.settings.Contract.FallTime)
		}
	}
}

// handleSuccession processes the events of a handover from a predecessor or to a successor, and new settings.
func (b *Balancer) handleSuccession(e *Event) {
	switch e.Kind {
	case HandedOver:
		b.releaseRequest(b.requests[e.Request])
	case Resumed:
		b.resumeRequest(e)
	case Replaced:
		b.hasSuccessor = e.Amount > 0
	case Leaving:
		b.setLeaving(e.Amount > 0)
	case NewSettings:
		b.applySettings(*e.Settings)
	}
}

// setLeaving holds the requests without an outstanding attempt for the successor, or sends those that were held.
func (b *Balancer) setLeaving(leaving bool) {
	b.isLeaving = leaving
	for _, id := range slices.Sorted(maps.Keys(b.requests)) {
		if r := b.requests[id]; !leaving && !r.closed && r.outstanding == 0 {
			b.dispatch(r)
		}
	}
}

// applySettings replaces the settings. A request keeps the class that it arrived with, but a repeat rule that has
// become stricter applies to its next attempt.
func (b *Balancer) applySettings(s Settings) {
	s.Seed = b.settings.Seed
	b.settings = s
	b.tenantShares.Quotas, b.tenantShares.Fraction = s.tenantQuotas(), s.dispatcherShare()
	b.rotation = ramp.NewRotation(s.Dispatchers)
	for len(b.maxTimeout) < len(s.Classes) {
		b.maxTimeout = append(b.maxTimeout, 0)
	}
	for _, r := range b.requests {
		for _, c := range s.Classes {
			if c.Name == r.class.Name && c.Repeat > r.class.Repeat {
				tightened := r.class.Tightened(c)
				r.class = &tightened
			}
		}
	}
	for _, w := range b.workers {
		w.rank = b.rankOf(&w.Worker)
	}
	listFailed := b.listFailed
	b.handleList(&Event{Kind: ListPatch}) // only the order and the buddies change
	b.listFailed = listFailed
}

// ClassOf returns the class of a request in progress, which may differ from the one of its name in the settings. known
// is false if there is no such request.
func (b *Balancer) ClassOf(request uint64) (class Class, known bool) {
	r := b.requests[request]
	if r == nil {
		return Class{}, false
	}
	return *r.class, true
}

// Tries returns the state of the attempts of a request, for the balancer that continues it.
func (b *Balancer) Tries(request uint64) (tries []Try) {
	if r := b.requests[request]; r != nil {
		for _, a := range r.attempts {
			tries = append(tries, Try{a.worker.ID, a.sentAt, a.startedAt, a.progressAt,
				a.done, a.notRun, a.cancelled, a.unusable})
		}
	}
	return tries
}

// releaseRequest forgets a request that another balancer continues, without cancelling its attempts.
func (b *Balancer) releaseRequest(r *request) {
	if r == nil {
		return
	}
	r.closed = true
	delete(b.requests, r.id)
	for _, a := range r.attempts {
		a.worker.ownAttempts = slices.DeleteFunc(a.worker.ownAttempts, func(o *attempt) bool { return o == a })
	}
}

// resumeRequest continues a request that another balancer has begun.
func (b *Balancer) resumeRequest(e *Event) {
	r := b.openRequest(e)
	if r == nil {
		return
	}
	for _, t := range e.Tries {
		// The worker may have left the list: it gets nothing new, but the attempt there may still end.
		w := b.knownWorker(t.Worker)
		a := &attempt{request: r, index: len(r.attempts), region: b.currentRegion(w), worker: w, sentAt: t.Sent,
			expectedWait: b.backlog(w), startedAt: t.Started, progressAt: t.Heard, done: t.Done, notRun: t.NotRun,
			cancelled: t.Recalled, unusable: t.Unusable}
		r.attempts = append(r.attempts, a)
		if !a.done {
			r.outstanding++
			w.ownAttempts = append(w.ownAttempts, a)
			if a.sentAt < b.restoredAt { // the restored value of queued includes it
				w.queued = max(w.queued-1, -w.kind.slots)
			}
			b.scheduleRechecks(r, a)
		}
	}
	if r.outstanding == 0 {
		b.dispatch(r)
	}
}

// Restore gives a balancer that has made no decision yet what another has learned, for the workers that its list
// already has. It leaves out values that cannot be right.
func (b *Balancer) Restore(now int64, memory Memory) {
	if memory.JobTime <= 0 || memory.Least <= 0 || memory.StartLag <= 0 {
		return
	}
	b.restoredAt = now
	b.jobTime, b.smallJobWork, b.startLag, b.lateLoss = memory.JobTime, memory.Least, memory.StartLag, memory.Loss
	b.meanQueued, b.meanQueuedAt = memory.MeanHeld, memory.CommonAt
	for i, c := range b.settings.Classes {
		b.maxTimeout[i] = memory.Patience[c.Name]
	}
	for name, learned := range memory.Kinds {
		if k := b.kinds[name]; k != nil && learned.Slots >= 1 && learned.Pace > 0 {
			k.slots, k.pace, k.probability = learned.Slots, learned.Pace, learned.Table
			k.update(nil) // computes the tails
		}
	}
	for _, w := range b.ranked {
		if learned, ok := memory.Workers[w.ID]; ok && learned.Pace > 0 {
			w.queued, w.pace, w.evidenceAt = learned.Held, learned.Pace, learned.HeardAt
			b.RestoreColdWork(map[string]ramp.Log{w.ID: learned.Sent})
			w.silentSince, w.lastSentAt, w.ejectedUntil = learned.Silent, learned.LastTry, learned.DownUntil
			w.ejections, w.consecutiveErrors = learned.Failures, learned.Errors
			w.lastFaultAt = now // the time of the last fault is not handed over
			w.probability = learned.Table
			w.update(nil)
		}
	}
	b.rebuildBuddies()
}
