package topazfall

// The decision module. Its interface (settings, events, actions) is in topazfall.go. In reading order: the
// life of a request, the rules for sends, observations of workers and the learned tables. The choice of a
// worker is in choice.go, that of the buddies (the subset of workers that this dispatcher uses first) in
// subset.go, and the worker list in workerlist.go.

import (
	"cmp"
	"math"
	"slices"

	"topazfall/internal/decide/gossip"
	"topazfall/internal/decide/ramp"
	"topazfall/internal/decide/share"
)

const (
	// regionCount is K, the number of backlog regions: free; under one job; about one; up to 2.6 jobs; more.
	regionCount = 5
	// columnCount is the length of a table row: no wait, sixteen steps of a quarter of the job time, failed.
	columnCount = 18
	// blendWeight is a in the formula of table.update: the samples of the last interval T_p and the table
	// learned before them count alike.
	blendWeight = 0.5
	// riskSteps is the resolution of a risk. Risks closer than 1/riskSteps tie: the few samples of a lightly
	// loaded dispatcher resolve no finer difference.
	riskSteps = 40
	// faultMemory is the number of probe intervals after which a fault that was not repeated is forgotten.
	faultMemory = 32
	// sendsPerHedge limits hedged requests, which are further copies of a job that has not started: at
	// most one send in sendsPerHedge is one. That is enough for a fleet in which every third worker is
	// silent.
	sendsPerHedge = 4
	// minValue is the minimum expected value of a job that is sent, relative to its worth. The price of late
	// jobs (lateLoss) rises only when late answers arrive, and until then an overload would fill the queues
	// with jobs that cannot be served in time.
	minValue = 0.1
)

// New returns a balancer for one dispatcher, or an error that names the invalid setting.
func New(s Settings) (*Balancer, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	job := float64(s.Classes[0].Deadline) / 10 // a first estimate, until jobs have run
	return &Balancer{
		settings: s, startLag: float64(5 * max(s.Tick, 1000)), jobTime: job, smallJobWork: job,
		hedgeBudget: 1, requests: map[uint64]*request{}, workers: map[string]*worker{},
		kinds:        map[string]*workerKind{},
		maxTimeout:   make([]int64, len(s.Classes)),
		tenantShares: share.Shares{Quotas: s.tenantQuotas(), Fraction: s.dispatcherShare()},
		rotation:     ramp.NewRotation(s.Dispatchers),
	}, nil
}

// Handle processes one event and appends the resulting actions to out. It ignores an event about a request,
// an attempt or a worker that it does not know.
func (b *Balancer) Handle(now int64, e *Event, out []Action) []Action {
	if b.actions = out; b.now == 0 {
		b.setTimer(b.probeInterval(), tokenPeriodic, 0)
	}
	b.now = max(b.now, now, 1)
	switch e.Kind {
	case Arrival:
		b.handleArrival(e)
	case AttemptDone:
		b.handleAttemptDone(e)
	case JobStarted, JobProgress, StreamStarted:
		b.handleProgress(e)
	case ClientGone:
		b.closeRequest(b.requests[e.Request])
	case ProbeDone:
		b.recordLoad(b.workers[e.Worker], e.Load)
	case PeerMessage:
		b.handlePeerMessage(e)
	case TimerDue:
		b.handleTimer(e.Token)
	case ListPatch, ListSnapshot, ListRestored, ListFailed:
		b.handleList(e)
	case HandedOver, Resumed, Replaced, Leaving, NewSettings:
		b.handleSuccession(e)
	}
	return b.actions
}

// ---- the life of a request ----

// The kinds of timer tokens. A tokenRecheck carries the request's id in the bits above the lowest two.
const tokenPeriodic, tokenRecheck = 0, 1

func (b *Balancer) handleTimer(token uint64) {
	if r := b.requests[token>>2]; token == tokenPeriodic {
		b.runPeriodicTasks()
	} else if r != nil && !r.closed && r.outstanding == 0 {
		b.dispatch(r)
	} else if r != nil && !r.closed {
		b.maybeHedge(r)
	}
}

func (b *Balancer) handleArrival(e *Event) {
	switch r := b.openRequest(e); {
	case r == nil:
	case r.class.Repeat == Unsafe && !b.isLeaving && b.probeBuddies(int64(b.jobTime)):
		// The choice of a worker for an unsafe job is final, so it waits for fresh load reports.
		b.scheduleRecheck(r, float64(b.settings.Tick))
	default:
		b.dispatch(r)
	}
}

// openRequest records a new request with its deadline and its aim. It returns nil if the request is known
// already or its class is not.
func (b *Balancer) openRequest(e *Event) *request {
	if b.requests[e.Request] != nil || e.Class < 0 || e.Class >= len(b.settings.Classes) {
		return nil
	}
	c := cmp.Or(e.OwnClass, &b.settings.Classes[e.Class])
	r := &request{id: e.Request, class: c, due: e.Due, key: e.Key, hint: b.expectedWork(c, e.Hint)}
	r.work, r.value = r.hint, b.countTenantRequest(e.Tenant)
	b.smallJobWork = min(b.smallJobWork+b.smallJobWork/16, r.work) // the minimum of recent jobs
	// A client that retries keeps the deadline of its first try, and its aim counts from the first try. The
	// first try is taken to have arrived before the deadline by the longest timeout seen in the class; for a
	// first try with that timeout it is now. If an aim that counts from there has already passed, the request
	// is not a retry, because no first try is held for so long: the client has a shorter timeout, and the aim
	// counts from now.
	b.maxTimeout[e.Class] = max(b.maxTimeout[e.Class], r.due-b.now)
	span := c.Aim + int64(c.Stretch*r.hint)
	aimLeft := max(r.due-b.maxTimeout[e.Class]+span-b.now, 0)
	r.aim = min(r.due, b.now+cmp.Or(aimLeft, span))
	b.requests[r.id] = r
	return r
}

// probeBuddies probes the buddies (the workers in this dispatcher's subset) whose last load report is at
// least age microseconds old. It does so only where load reports come in probes alone, and not beside a
// working list with live weights: a worker that such a list does not name has not changed. It returns whether
// it probed any.
func (b *Balancer) probeBuddies(age int64) (asked bool) {
	allowed := b.settings.LoadReports == ReportsInProbes && b.settings.Allowed.Probe &&
		(!b.settings.LiveWeights || b.listFailed)
	for _, w := range b.buddies {
		if allowed && b.now-w.evidenceAt >= age {
			b.emit(Action{Kind: ProbeWorker, Worker: w.ID})
			asked = true
		}
	}
	return asked
}

// dispatch sends a request that has no outstanding attempt, rejects it, or holds it for a moment if no
// worker may take it or the successor is about to continue it. A held request always has a timer, so that
// its answer comes in time.
func (b *Balancer) dispatch(r *request) {
	if b.isLeaving && b.finalReason(r) == NotRejected {
		b.scheduleRecheck(r, 4*b.startLag)
		return
	}
	w := b.chooseWorker(r)
	reason := b.rejectReason(r, w)
	switch {
	case reason != NotRejected:
		b.reject(r, reason)
	case w == nil:
		b.scheduleRecheck(r, 4*b.startLag)
	default:
		b.send(r, w)
	}
}

// rejectReason returns why a request is rejected rather than sent to w, or held if w is nil.
func (b *Balancer) rejectReason(r *request, w *worker) RejectReason {
	reason := b.finalReason(r)
	switch {
	case reason != NotRejected:
		return reason
	case w == nil:
		return b.reasonNotToHold(r)
	case b.mayRefuse(r):
		return b.shedReason(r, w)
	default:
		return NotRejected
	}
}

// finalReason returns why no worker may get a request any more.
func (b *Balancer) finalReason(r *request) RejectReason {
	switch {
	case b.now >= r.due:
		return DeadlinePassed
	case len(r.attempts) >= b.settings.Allowed.Attempts:
		return AttemptsExhausted
	case b.isBarred(r, nil):
		return RepeatForbidden
	default:
		return NotRejected
	}
}

// reasonNotToHold returns why it is useless to hold a request that no worker may take now: all workers
// have been tried, or the aim would be missed in any case and a late answer is worth no more than what
// was recently lost by late answers (lateLoss). The client is then answered at once and may retry.
func (b *Balancer) reasonNotToHold(r *request) RejectReason {
	switch {
	case len(r.attempts) > 0 && !b.hasUntriedWorker(r):
		return AllWorkersTried
	case float64(r.aim-b.now) < r.hint && r.class.LateWorth <= b.lateLoss:
		return b.noWorkerReason(r)
	default:
		return NotRejected
	}
}

// shedReason decides on load shedding: a job is refused if it is beyond its tenant's share and no worker is
// free, if its expected value at w is below the price of late jobs, which is twice the share of the worth
// that was recently lost by late answers (lateLoss), or if it is all but worthless.
func (b *Balancer) shedReason(r *request, w *worker) RejectReason {
	value := 1 - min(b.risk(r, w), 1)
	switch {
	case r.value < 0.5 && b.currentRegion(w) > 0:
		return OverQuota
	case value < 2*b.lateLoss || value < minValue && b.isWorthlessLate(r, w):
		return LateRisk
	default:
		return NotRejected
	}
}

// isWorthlessLate reports whether the load of w is known and a late answer from it is expected to be worth
// next to nothing.
func (b *Balancer) isWorthlessLate(r *request, w *worker) bool {
	timeLeft := float64(r.due-b.now) - r.hint*w.pace
	lateWorth := r.class.LateWorth * (1 - b.tailProbability(w, b.currentRegion(w), timeLeft))
	return w.evidenceAt > 0 && lateWorth < minValue
}

// send starts an attempt of a request at a worker.
func (b *Balancer) send(r *request, w *worker) {
	a := &attempt{request: r, index: len(r.attempts), worker: w, sentAt: b.now, expectedWait: b.backlog(w)}
	a.region, r.attempts, r.outstanding = b.regionOf(w, a.expectedWait), append(r.attempts, a), r.outstanding+1
	w.ownAttempts, w.lastSentAt, w.silentSince = append(w.ownAttempts, a), b.now, cmp.Or(w.silentSince, b.now)
	b.hedgeBudget = min(b.hedgeBudget+1./sendsPerHedge, 1)
	b.emit(Action{Kind: Send, Request: r.id, Worker: w.ID})
	b.announce(gossip.Sent, a)
	b.scheduleRechecks(r, a)
}

// scheduleRechecks sets timers to check whether a job has started: when half of its slack is over and its
// worker becomes suspect, when it is late by a job time, and when its aim is about to be missed.
func (b *Balancer) scheduleRechecks(r *request, a *attempt) {
	slack, wait := float64(r.aim-a.sentAt)-r.hint*a.worker.pace, float64(a.sentAt-b.now)+a.expectedWait
	a.suspectAt = b.now + int64(wait+min(b.jobTime, max(3*b.startLag, slack/2)))
	if b.settings.ReportsStart {
		b.scheduleRecheck(r, float64(a.suspectAt-b.now)+1)
		b.scheduleRecheck(r, wait+b.jobTime+1)
		b.scheduleRecheck(r, float64(r.aim-b.now)-r.hint*a.worker.pace+r.hint)
	}
}

func (b *Balancer) handleAttemptDone(e *Event) {
	a := b.findAttempt(e)
	if a == nil {
		return
	}
	r := a.request
	a.done, a.notRun, a.connectionLost, r.outstanding =
		true, e.Outcome.NotRun(), e.Outcome == ConnectionLost, r.outstanding-1
	b.announce(gossip.Ended, a)
	b.recordOutcome(a, e)
	a.worker.ownAttempts = slices.DeleteFunc(a.worker.ownAttempts, func(o *attempt) bool { return o == a })
	switch {
	case r.closed || e.Final || e.Outcome == Completed:
		b.closeRequest(r)
	case r.countAttempts(func(a *attempt) bool { return a.unusable }) > 1: // two workers found it invalid
		b.emit(Action{Kind: Fail, Request: r.id, Reason: UnusableJob})
		b.closeRequest(r)
	case r.outstanding == 0:
		b.dispatch(r)
	default:
		b.maybeHedge(r)
	}
}

// closeRequest ends a request and cancels its outstanding attempts.
func (b *Balancer) closeRequest(r *request) {
	if r == nil {
		return
	}
	r.closed = true
	if b.cancelAttempts(r, nil); r.outstanding == 0 {
		delete(b.requests, r.id)
	}
}

// cancelAttempts cancels the outstanding attempts of a request except one, if the settings allow it.
func (b *Balancer) cancelAttempts(r *request, except *attempt) {
	for _, a := range r.attempts {
		if a != except && !a.done && !a.cancelled && b.settings.Allowed.Cancel {
			a.cancelled = true
			b.emit(Action{Kind: CancelAttempt, Request: r.id, Attempt: a.index})
		}
	}
}

// reject answers a request that is not served: with a refusal if a retry is harmless, else with a failure.
func (b *Balancer) reject(r *request, reason RejectReason) {
	if reason == OverQuota || reason == LateRisk {
		// The price is twice the loss because a late job makes another one late. The loss decays slowly while
		// jobs are refused because of it.
		b.lateLoss -= b.lateLoss / 64
	}
	if b.mayRefuse(r) {
		b.emit(Action{Kind: Refuse, Request: r.id, After: b.retryAfter(), Reason: reason})
	} else {
		b.emit(Action{Kind: Fail, Request: r.id, Reason: reason})
	}
	b.closeRequest(r)
}

// retryAfter returns the backoff that a refused client is advised of, in microseconds: until the least loaded
// buddy has worked off half of its backlog. A client that retries sooner finds the same backlog; one that
// waits for all of it comes when others have been accepted in its place.
func (b *Balancer) retryAfter() int64 {
	if !b.settings.Allowed.RetryAfter {
		return 0
	}
	wait := float64(b.settings.Allowed.MaxRetryAfter)
	for _, w := range b.buddies {
		wait = min(wait, b.backlog(w))
	}
	return int64(wait / 2)
}

// handleProgress processes a note that a job has started or goes on. It is the surest sign that its worker is
// alive.
func (b *Balancer) handleProgress(e *Event) {
	a := b.findAttempt(e)
	if a == nil {
		return
	}
	a.worker.markAlive()
	if a.startedAt == 0 && e.Kind == JobStarted {
		b.learnFromStart(a)
	}
	a.progressAt = b.now
	if a.startedAt == 0 {
		a.startedAt = b.now
		b.cancelAttempts(a.request, a) // a hedged copy would only take a slot from another job
	}
}

// maybeHedge checks a job that has not started. While it waits no longer than expected it is left alone,
// because a worker may run a cancelled attempt all the same. If it is late by a job time and its aim is
// missed, with the hinted work as an allowance for a hint that errs by half, it is withdrawn, unless a
// late answer is worth at least what was recently lost by late answers (lateLoss). If a repeat is
// harmless and the worker has been silent since the send, the job gets a hedged request at another
// worker, or a third attempt in place of the older one; the first to start is kept. Where all workers are
// late, hedged requests only add to the delay, so their number is limited.
func (b *Balancer) maybeHedge(r *request) {
	newest := r.attempts[0]
	for _, a := range r.attempts {
		if !a.done && a.startedAt != 0 {
			return
		}
		if !a.done {
			newest = a
		}
	}
	b.learnFromWait(newest)
	w, isLate := newest.worker, float64(b.now-newest.sentAt) > newest.expectedWait+b.jobTime
	switch {
	case isLate && float64(r.aim-b.now)+r.hint < r.hint*w.pace && r.class.LateWorth < b.lateLoss:
		b.reject(r, StartedLate)
	case !b.settings.Allowed.HedgedRequests || r.class.Repeat == Unsafe || b.now <= newest.suspectAt ||
		w.silentSince == 0 || w.silentSince > newest.sentAt || b.hedgeBudget < 1:
	case r.outstanding > 1 && len(r.attempts) < b.settings.Allowed.Attempts:
		b.cancelAttempts(r, newest) // the outcome of the cancelled attempt leads here again
	default:
		if w := b.chooseWorker(r); w != nil {
			b.hedgeBudget--
			b.send(r, w)
		}
	}
}

// ---- the rules for sends ----

// maySend reports whether a request may be sent to a worker now. Every send is checked here and nowhere else.
func (b *Balancer) maySend(r *request, w *worker) bool {
	switch {
	case r.closed || b.now >= r.due || len(r.attempts) >= b.settings.Allowed.Attempts:
		return false
	case !w.listed || w.State != Ready: // stop at once: the drain grace is for sends already on their way
		return false
	case r.class.Kind != "" && r.class.Kind != w.Kind:
		return false
	case r.outstanding > 1 || r.outstanding == 1 && !b.settings.Allowed.HedgedRequests:
		return false
	}
	return !b.isBarred(r, w) && (!b.isCold(w) || r.work <= b.coldBudget(w))
}

// isBarred reports whether an earlier attempt that may have run forbids one at w, or any further one if w is
// nil: the class is unsafe, its deduplication window is over, or w is outside the group that drops repeats.
func (b *Balancer) isBarred(r *request, w *worker) bool {
	class := r.class
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return !a.notRun && (class.Repeat == Unsafe || class.Repeat == Keyed &&
			(b.now >= a.sentAt+class.Window-2*b.settings.Tick || w != nil && !sameGroup(class.Group, a.worker, w)))
	})
}

// mayRefuse reports whether the request may be refused. A refusal promises that a retry is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	harmless := r.class.Repeat == Safe || r.class.Repeat == Keyed && r.class.Group == GroupAll
	return harmless || !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.notRun })
}

// coldBudget returns the work, in microseconds, that this dispatcher may still send to a cold worker,
// which is none outside of its turn. The work limit is what all dispatchers together may send within the
// fall time (Contract.FallTime). Half of it bounds all sends that this dispatcher knows of, and its own
// sends within a turn are bounded by its share, except that the first job of a turn may exceed the share.
// The other half allows for wrong hints, lost gossip messages and dispatchers that do not know of the
// start yet. A dispatcher with a successor leaves its share to the successor.
func (b *Balancer) coldBudget(w *worker) float64 {
	turn, workLimit, userShare := b.coldTurn(w)
	if b.hasSuccessor || !b.rotation.Has(turn, b.settings.Me) {
		return 0
	}
	spent, _ := w.sentWork.Since(max(b.now-b.settings.Contract.FallTime, w.StartedAt-1))
	if _, own := w.sentWork.Since(max(turn.Start, w.StartedAt) - 1); own > 0 {
		return min(workLimit/2-spent, userShare-own)
	}
	return workLimit/2 - spent
}

// coldTurn returns the current turn at a cold worker, which is the period in which a few dispatchers, its
// users, may send there; the work limit of the fall time; and the share of each user. The shares come out
// of three eighths of the limit, as a window of the fall time touches two turns, or of half of it where
// dispatchers gossip about their sends. A share is at least one job. There are so many users that those
// who get a job within the turn use up the shares on average. All dispatchers take turns, whether or not
// the worker is a buddy: buddy sets differ while worker lists do, and more dispatchers would use the
// worker than each of them counts.
func (b *Balancer) coldTurn(w *worker) (turn ramp.Turn, workLimit, userShare float64) {
	contract := &b.settings.Contract
	workLimit = contract.FallMultiple * b.warmShare(w) * w.kind.slots / max(w.kind.pace, 0.1) *
		float64(contract.FallTime)
	budget := workLimit * 3 / 8
	if b.usesGossip() {
		budget = workLimit / 2
	}
	userShare = max(budget/b.expectedSharers(), b.jobTime)
	turn = ramp.TurnAt(b.now, contract.FallTime, int64(w.hostHash)+w.StartedAt/1000)
	turn.Users = int64(max(budget/(userShare*-math.Expm1(-b.expectedArrivals(contract.FallTime))), 1))
	return turn, workLimit, userShare
}

// ---- observations of workers ----

// markAlive records a sign of life and ends an ejection. A worker that starts jobs only to fail them stays
// ejected.
func (w *worker) markAlive() {
	if w.silentSince = 0; w.consecutiveErrors == 0 {
		w.ejections, w.ejectedUntil = 0, 0
	}
}

// eject excludes a worker from new jobs for a while, with exponential backoff.
func (b *Balancer) eject(w *worker) {
	w.ejections, w.lastFaultAt = w.ejections+1, b.now
	w.ejectedUntil = b.now + int64(max(float64(b.settings.Allowed.DialTimeout), b.jobTime))<<min(w.ejections, 4)
	b.rebuildBuddies()
}

// recordError records that a worker has failed a job that another worker may well serve, here or at another
// dispatcher. One error may be chance. From the second in a row the worker is ejected, because a worker that
// fails jobs at once looks free and would attract more.
func (b *Balancer) recordError(w *worker) {
	if w.consecutiveErrors, w.lastFaultAt = w.consecutiveErrors+1, b.now; w.consecutiveErrors > 1 {
		b.eject(w)
	}
}

// backlog estimates the time until a new job would start at a worker, in microseconds: from the reported
// queue and the hinted work of own jobs, which the report may not include, and not less than the wait that
// own outstanding jobs prove.
func (b *Balancer) backlog(w *worker) float64 {
	ownJobs, waiting, ownWork, provenWait := float64(len(w.ownAttempts)), -1.0, 0.0, 0.0
	for _, a := range w.ownAttempts {
		ownWork += a.request.work * w.pace
		if waited := float64(b.now - a.sentAt); a.startedAt == 0 && !a.cancelled && waited > 3*b.startLag {
			// All slots are taken, by other dispatchers' jobs if not by own ones.
			waiting, provenWait = max(waiting, 0)+1, max(provenWait, waited)
		}
		// A worker sends progress notes of a running job at a fixed interval unless it is stalled.
		if quiet := b.now - a.progressAt; a.startedAt > 0 && b.settings.Progress > 0 &&
			quiet > 2*b.settings.Progress {
			provenWait = max(provenWait, float64(quiet))
		}
	}
	// An old report counts less and less beside the recent mean of the buddies, and that beside a free
	// worker. Otherwise a worker that was once busy would never be tried again.
	age := float64(b.now-w.evidenceAt) / b.jobTime
	queued := w.queued + (b.expectedQueued(w)-w.queued)*age/(age+1) + float64(w.peerLoad.Since(w.reportAsOf))
	jobs := max(queued+ownJobs, waiting)
	estimate := 0.0
	if jobs > -1 {
		estimate = max(b.jobTime/2, (jobs+1-ownJobs)*b.jobTime+ownWork) / w.kind.slots
	}
	// A hung worker never reports. After it has been tried in vain for some time, it is avoided for as long.
	if w.silentSince > 0 {
		provenWait = max(provenWait, float64(2*(w.lastSentAt-w.silentSince)-(b.now-w.lastSentAt)))
	}
	return max(estimate, provenWait)
}

// expectedQueued returns the number of jobs that wait at a worker of this kind on average, by recent load
// reports; below 0 are free slots.
func (b *Balancer) expectedQueued(w *worker) float64 {
	ageInJobs := float64(b.now-b.meanQueuedAt) / b.jobTime
	return b.meanQueued + (-w.kind.slots-b.meanQueued)*ageInJobs/(ageInJobs+8)
}

// recordLoad processes a load report. The reported backlog is a sample of the region in which the worker
// was estimated to be until now.
func (b *Balancer) recordLoad(w *worker, l Load) {
	queue, free, inflight := sanitize(l.Queue), sanitize(l.Free), sanitize(l.Inflight)
	if w == nil || queue < 0 && free < 0 && inflight < 0 {
		return
	}
	// The number of slots is learned, but one report can at most double it: the cold budget depends on it.
	w.kind.slots = max(w.kind.slots, min(math.Round(free*0.9), w.kind.slots*2))
	jobs := inflight - w.kind.slots
	if queue >= 0.5 || queue >= 0 && free < 0 && inflight < 0 {
		jobs = queue
	} else if free >= 0 {
		jobs = -math.Round(free)
	}
	// This dispatcher's own jobs are taken out of the report: its outstanding attempts are known better.
	asOf := b.now - int64(b.jobTime/2) // the time at which the report was true
	ownJobs, peerJobs := w.countAttempts(func(a *attempt) bool { return a.sentAt < asOf }), w.foldPeerLoad(asOf)
	observed, expected := max(0, jobs+1)*b.jobTime/w.kind.slots,
		max(0, w.queued+peerJobs+ownJobs+1)*b.jobTime/w.kind.slots
	w.addSample(b.currentRegion(w), b.columnOf(observed))
	if region := b.regionOf(w, observed); region/2 != b.regionOf(w, expected)/2 || region == regionCount-1 ||
		w.evidenceAt == 0 {
		// The estimate changes only if the backlog has crossed one of the thresholds with an even number, TH2 and
		// TH4 (see regionOf), or is beyond the last, where there is none to cross, or was never reported.
		w.queued = max(jobs-ownJobs, -w.kind.slots)
	}
	w.evidenceAt = b.now
	b.updateMeanQueued(w, jobs-ownJobs)
}

// recordOutcome learns from the outcome of an attempt: the worker's load report, its pace and its failures.
func (b *Balancer) recordOutcome(a *attempt, e *Event) {
	w, loss := a.worker, 1.0
	switch e.Outcome {
	case Cancelled, NeverSent: // decided by this dispatcher: it says nothing of the worker
		return
	case Unusable: // says nothing of the worker, unless another worker can use the job
		a.unusable = true
		return
	case Errored:
		// An error is a loss whatever the backlog. A job that fails everywhere counts against the first
		// worker only.
		if !a.request.hasFailed {
			b.reportError(w)
		}
		a.request.hasFailed = true
	case Completed:
		for _, o := range a.request.attempts {
			if o.unusable {
				b.reportError(o.worker)
			}
		}
		w.consecutiveErrors = 0
		w.markAlive()
		runTime := float64(b.now - max(a.startedAt, a.sentAt))
		// A worker that may have fetched data for the key: its running time says little of the job or the
		// worker.
		fetched := b.fetchTime(a.request, w) > 0
		b.recordRunTime(a.request, runTime, fetched)
		if a.request.hint > 0 && !fetched {
			// The pace is weighted by work: the ratios of small jobs with rough hints would make it unstable.
			ratio, weight := min(max(runTime/a.request.hint, 0.1), 10), min(a.request.hint/b.jobTime, 2)/8
			w.pace += (ratio - w.pace) * weight * 2
			w.kind.pace += (ratio - w.kind.pace) * weight
		}
		// A late job counts as a whole loss, as its work could have earned the full worth in time. The
		// running time corrects a rough hint.
		if extraWork := runTime/w.kind.pace - a.request.hint; float64(b.now-a.request.aim) <=
			a.request.class.Stretch*max(extraWork, 0) {
			loss = 0
		}
	case Saturated:
		w.queued, w.evidenceAt = max(w.queued, 4*w.kind.slots), b.now
	case ConnectionLost: // as with errors, a single lost connection may be chance
		if a.startedAt == 0 {
			b.reportError(w)
		}
	case ConnectionRefused, TimedOut:
		if a.startedAt == 0 { // the worker does not even start jobs
			b.eject(w)
		}
	}
	if loss > 0 {
		w.addSample(a.region, columnCount-1)
	}
	if e.Outcome != ConnectionLost && e.Outcome != ConnectionRefused { // due to a fault, not to a queue
		b.lateLoss += (loss - b.lateLoss) / 16
	}
	b.recordLoad(w, e.Load)
}

// ---- the learned tables ----

// regionOf returns the region of a backlog. The thresholds are TH1, just under the time of a small job; TH2,
// just under the mean job time; and two multiples of the mean. All are divided by the number of the worker's
// slots.
func (b *Balancer) regionOf(w *worker, backlog float64) int {
	smallJob := min(b.smallJobWork, b.jobTime)
	backlog *= w.kind.slots
	for region, threshold := range [regionCount - 1]float64{
		0.9 * smallJob, 0.95 * b.jobTime, 1.6 * b.jobTime, 2.6 * b.jobTime} {
		if backlog < threshold {
			return region
		}
	}
	return regionCount - 1
}

// tailProbability returns P(backlog > slack) in a region, interpolated linearly within a column.
func (b *Balancer) tailProbability(w *worker, region int, slack float64) float64 {
	if slack < 0 {
		return 1
	}
	position := min(slack*4/b.jobTime, columnCount-2)
	column := min(int(position), columnCount-3)
	return w.tails[region][column+1] +
		(position-float64(column))*(w.tails[region][column+2]-w.tails[region][column+1])
}

// update computes P_U = aP_T + (1-a)P_O from the samples since the last update. With few samples a shrinks,
// and the pooled table of the worker's kind serves as the prior: without it, the tables of a lightly loaded
// dispatcher would stay uniform.
func (t *table) update(prior *table) {
	var maxTails [columnCount]float64
	for region := range regionCount {
		samples, tail := 0.0, 0.0
		for _, n := range t.samples[region] {
			samples += n
		}
		for column := columnCount - 1; column >= 0; column-- {
			if samples > 0 {
				t.probability[region][column] += blendWeight * samples / (samples + 1) *
					(t.samples[region][column]/samples - t.probability[region][column])
			}
			if prior != nil {
				t.probability[region][column] += (prior.probability[region][column] - t.probability[region][column]) *
					2 / (2 + samples)
			}
			t.samples[region][column] = 0
			tail += t.probability[region][column]
			maxTails[column] = max(maxTails[column], tail) // few samples must not make a full worker look less loaded
			t.tails[region][column] = maxTails[column]
		}
	}
}

// probeInterval returns the time between two probes of the buddies, in microseconds: 1 to 4 s. T_p is four of
// them.
func (b *Balancer) probeInterval() int64 { return int64(min(max(2*b.jobTime, 1e6), 4e6)) }

// runPeriodicTasks probes the buddies, rebuilds the buddy set and updates the tables when they are due.
func (b *Balancer) runPeriodicTasks() {
	b.setTimer(b.probeInterval(), tokenPeriodic, 0)
	if b.listFailed { // retried here, not at once: that would only add to an overload of the list service
		b.emit(Action{Kind: WatchList})
	}
	b.probeBuddies(b.probeInterval())
	b.rebuildBuddies() // a worker whose ejection has ended is a buddy again
	b.forgetGoneWorkers()
	if b.now < b.nextTableUpdate {
		return
	}
	b.nextTableUpdate = b.now + 4*b.probeInterval()
	for _, k := range b.kinds {
		k.update(nil)
	}
	for _, w := range b.buddies {
		w.update(&w.kind.table)
	}
}
