package topazfall

// The decision module. Its interface (settings, events, actions) is in topazfall.go. In reading order: the
// life of a request, choice, legality, what is observed of a worker, learned tables, the list and buddy set.

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"strings"

	"topazfall/internal/decide/gossip"
	"topazfall/internal/decide/ramp"
	"topazfall/internal/decide/share"
)

const (
	regions  = 5   // K: free; under one job; about one; up to 2.6; more
	columns  = 18  // of a table: no wait, sixteen steps of a quarter job, failed
	blend    = 0.5 // a: the last T_p and all before count alike
	grain    = 40  // risks closer than 1/grain tie: the samples of a light dispatcher resolve no more
	cover    = 3   // dispatchers that share a worker, at least
	distrust = 32  // pulses for which a fault that is not repeated counts
	smallest = 6   // buddies, at least: what two jobs a second keep fresh
	spares   = 4   // of so many sends one may be a copy: a fleet of which every third worker is silent
)

// New returns a balancer for one dispatcher, or an error that names the setting that cannot work.
func New(s Settings) (*Balancer, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	job := float64(s.Classes[0].Deadline) / 10 // until jobs tell better
	return &Balancer{s: s, startLag: float64(5 * max(s.Tick, 1000)), jobTime: job, least: job,
		copies: 1, requests: map[uint64]*request{}, workers: map[string]*worker{}, kinds: map[string]*kind{},
		patience: make([]int64, len(s.Classes)), shares: share.Shares{Quotas: s.quotas(), Fraction: s.part()},
		circle: ramp.NewRotation(s.Dispatchers)}, nil
}

// Handle takes one event and appends the actions it calls for to out. What is unknown to it is ignored.
func (b *Balancer) Handle(now int64, e *Event, out []Action) []Action {
	if b.out = out; b.now == 0 {
		b.timer(b.pulse(), tokenPulse)
	}
	b.now = max(b.now, now, 1)
	switch e.Kind {
	case Arrival:
		b.arrive(e)
	case AttemptDone:
		b.finish(e)
	case JobStarted, JobProgress, StreamStarted:
		b.sign(e)
	case ClientGone:
		b.close(b.requests[e.Request])
	case ProbeDone:
		b.report(b.workers[e.Worker], e.Load)
	case PeerMessage:
		b.hear(e)
	case TimerDue:
		b.timerDue(e.Token)
	case ListPatch, ListSnapshot, ListRestored, ListFailed:
		b.list(e)
	case HandedOver, Resumed, Replaced, NewSettings:
		b.succession(e)
	}
	return b.out
}

// ---- the life of a request ----

const tokenPulse, tokenLook = 0, 1 // of timers; with the latter comes a request's id, shifted

func (b *Balancer) timerDue(token uint64) {
	if r := b.requests[token>>2]; token == tokenPulse {
		b.beat()
	} else if r != nil && !r.closed && r.out == 0 {
		b.place(r)
	} else if r != nil && !r.closed {
		b.second(r)
	}
}

func (b *Balancer) arrive(e *Event) {
	switch r := b.open(e); {
	case r == nil:
	case r.class.Repeat == Unsafe && b.probe(int64(b.jobTime)): // its choice is final: worth a fresh look
		b.look(r, float64(b.s.Tick))
	default:
		b.place(r)
	}
}

func (b *Balancer) open(e *Event) *request {
	if b.requests[e.Request] != nil || e.Class < 0 || e.Class >= len(b.s.Classes) {
		return nil
	}
	c := &b.s.Classes[e.Class]
	r := &request{id: e.Request, class: c, due: e.Due, key: e.Key, hint: b.hint(c, e.Hint)}
	r.work, r.worth = r.hint, b.worth(e.Tenant)
	b.least = min(b.least+b.least/16, r.work) // the smallest of late
	// A client's later try shares the deadline of its first: it began a whole deadline before it is due. One
	// whose aim would be lost by that is no such try, as no first is kept for so long: its client waits less.
	b.patience[e.Class] = max(b.patience[e.Class], r.due-b.now)
	span := c.Aim + int64(c.Stretch*r.hint)
	left := max(r.due-b.patience[e.Class]+span-b.now, 0)
	r.aim = min(r.due, b.now+cmp.Or(left, span))
	b.requests[r.id] = r
	return r
}

// probe asks the buddies not heard of for so long, where reports come only so and no list tells of all: whom
// one with live weights does not name has not changed. It tells whether it did.
func (b *Balancer) probe(age int64) (asked bool) {
	may := b.s.LoadReports == ReportsInProbes && b.s.Allowed.Probe && (!b.s.LiveWeights || b.unheard)
	for _, w := range b.buddies {
		if may && b.now-w.heardAt >= age {
			b.do(Action{Kind: ProbeWorker, Worker: w.ID})
			asked = true
		}
	}
	return asked
}

// place sends a request that nothing is out for, or holds it for a moment where no worker may take it: a
// timer always follows, so that the answer comes in time. A job that promises less than the price is
// refused, as is one beyond its tenant's share that no worker is free for.
func (b *Balancer) place(r *request) {
	w := b.choose(r)
	switch {
	case b.now >= r.due || len(r.tries) >= b.s.Allowed.Attempts || b.barred(r, nil) || w == nil && b.hopeless(r):
		b.giveUp(r)
	case w == nil:
		b.look(r, 4*b.startLag)
	case b.mayRefuse(r) && (r.worth < 0.5 && b.region(w) > 0 || 1-min(b.risk(r, w), 1) < 2*b.loss):
		b.loss -= b.loss / 64 // a late job makes another late; the price falls slowly as long as it keeps jobs out
		b.giveUp(r)
	default:
		b.send(r, w)
	}
}

// hopeless tells of a request that no worker may take whether to hold it is in vain: all have been tried, or
// its aim is lost by the time one could. The client is told at once, and may ask again.
func (b *Balancer) hopeless(r *request) bool {
	lost := float64(r.aim-b.now) < r.hint && r.class.LateWorth <= b.loss
	return lost || len(r.tries) > 0 && !slices.ContainsFunc(b.ranked, func(w *worker) bool {
		return w.State == Ready && !r.tried(w) && (r.class.Kind == "" || r.class.Kind == w.Kind)
	})
}

func (b *Balancer) send(r *request, w *worker) {
	a := &attempt{r: r, n: len(r.tries), w: w, sent: b.now, wait: b.backlog(w)}
	a.region, r.tries, r.out = b.regionOf(w, a.wait), append(r.tries, a), r.out+1
	w.own, w.lastTry, w.silent = append(w.own, a), b.now, cmp.Or(w.silent, b.now)
	b.copies = min(b.copies+1./spares, 1)
	b.do(Action{Kind: Send, Request: r.id, Worker: w.ID})
	b.tell(gossip.Sent, a)
	b.follow(r, a)
}

// follow looks whether a job has begun: when half of what its aim leaves is over and its worker in doubt,
// when it is a job time late, and when its aim is about to be lost.
func (b *Balancer) follow(r *request, a *attempt) {
	slack, wait := float64(r.aim-a.sent)-r.hint*a.w.pace, float64(a.sent-b.now)+a.wait
	a.doubt = b.now + int64(wait+min(b.jobTime, max(3*b.startLag, slack/2)))
	if b.s.ReportsStart {
		b.look(r, float64(a.doubt-b.now)+1)
		b.look(r, wait+b.jobTime+1)
		b.look(r, float64(r.aim-b.now)-r.hint*a.w.pace+r.hint)
	}
}

func (b *Balancer) finish(e *Event) {
	a := b.attempt(e)
	if a == nil {
		return
	}
	r := a.r
	a.done, a.notRun, a.broken, r.out = true, e.Outcome.NotRun(), e.Outcome == ConnectionLost, r.out-1
	b.tell(gossip.Ended, a)
	b.judge(a, e)
	a.w.own = slices.DeleteFunc(a.w.own, func(o *attempt) bool { return o == a })
	switch {
	case r.closed || e.Final || e.Outcome == Completed:
		b.close(r)
	case r.count(func(a *attempt) bool { return a.unusable }) > 1: // two workers agree: it is the job
		b.do(Action{Kind: Fail, Request: r.id})
		b.close(r)
	case r.out == 0:
		b.place(r)
	default:
		b.second(r)
	}
}

// close ends a request and calls off what is still out for it.
func (b *Balancer) close(r *request) {
	if r == nil {
		return
	}
	r.closed = true
	if b.recall(r, nil); r.out == 0 {
		delete(b.requests, r.id)
	}
}

func (b *Balancer) recall(r *request, keep *attempt) {
	for _, a := range r.tries {
		if a != keep && !a.done && !a.recalled && b.s.Allowed.Cancel {
			a.recalled = true
			b.do(Action{Kind: CancelAttempt, Request: r.id, Attempt: a.n})
		}
	}
}

func (b *Balancer) giveUp(r *request) {
	if b.mayRefuse(r) {
		b.do(Action{Kind: Refuse, Request: r.id, After: b.advice()})
	} else {
		b.do(Action{Kind: Fail, Request: r.id})
	}
	b.close(r)
}

// advice is how long a refused client should stay away: until the first buddy may have worked off half of
// its backlog. Who asks sooner finds the same; who waits for all of it comes when others have been taken.
func (b *Balancer) advice() int64 {
	if !b.s.Allowed.RetryAfter {
		return 0
	}
	wait := float64(b.s.Allowed.MaxRetryAfter)
	for _, w := range b.buddies {
		wait = min(wait, b.backlog(w))
	}
	return int64(wait / 2)
}

// sign takes a note that a job has begun or goes on: the surest evidence that its worker lives.
func (b *Balancer) sign(e *Event) {
	a := b.attempt(e)
	if a == nil {
		return
	}
	a.w.alive()
	if wait := float64(b.now - a.sent); a.started == 0 && e.Kind == JobStarted {
		if wait < 2*b.startLag {
			b.startLag += (wait - b.startLag) / 8
			wait = 0
		}
		a.w.sample(a.region, b.column(wait)) // a report of the backlog met, with the region held then
		// All that was ahead has begun: with our own, no more run than there are slots.
		a.w.held = min(a.w.held, -1-a.w.count(func(o *attempt) bool { return o.started != 0 }))
	}
	a.heard = b.now
	if a.started == 0 {
		a.started = b.now
		b.recall(a.r, a) // one copy runs; the other would only take a slot from someone
	}
}

// second looks after a job that has not begun. While it waits as foretold it is left alone: a worker may run
// what is called off all the same. If it is late by a job time and its aim is lost, even if its hint errs by
// half, it is withdrawn, unless a late answer is worth the price. Where a repeat is harmless and its worker
// was silent since, it gets a copy elsewhere, or a third try in place of one; the first to begin stays. Where
// all are late, copies only make them later: their number is bounded.
func (b *Balancer) second(r *request) {
	newest := r.tries[0]
	for _, a := range r.tries {
		if !a.done && a.started != 0 {
			return
		}
		if !a.done {
			newest = a
		}
	}
	w, late := newest.w, float64(b.now-newest.sent) > newest.wait+b.jobTime
	switch {
	case late && float64(r.aim-b.now)+r.hint < r.hint*w.pace && r.class.LateWorth < b.loss:
		b.giveUp(r)
	case !b.s.Allowed.HedgedRequests || r.class.Repeat == Unsafe || b.now <= newest.doubt || w.silent == 0 ||
		w.silent > newest.sent || b.copies < 1:
	case r.out > 1 && len(r.tries) < b.s.Allowed.Attempts:
		b.recall(r, newest) // its outcome brings us here again
	default:
		if w := b.choose(r); w != nil {
			b.copies--
			b.send(r, w)
		}
	}
}

// ---- the choice of a worker ----

// choose returns the legal buddy with the least risk; ties follow the preferred list. Where none may take the
// job (tried, out, not in its group) any listed worker may; last, one that is tried, if the connection broke.
func (b *Balancer) choose(r *request) *worker {
	for i, among := range [][]*worker{b.near(r), b.others, r.broken()} {
		var best *worker
		least := math.MaxInt
		for _, w := range among {
			if b.now < w.downUntil || !b.maySend(r, w) || i < 2 && r.tried(w) {
				continue
			}
			// The running time counts a fifth beside the risk: it spreads more than hints tell, and a slow
			// worker may make a long job late that it begins at once.
			if risk := int((b.risk(r, w) + b.share(r, r.hint*w.pace)/5) * grain); risk < least {
				best, least = w, risk
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// risk is the loss expected of this worker: P(backlog > slack, less what is fetched) against the aim, and
// against the deadline for what a late answer still earns; the wait in view as a share of the time wanted,
// without which jobs pile up on the first of the list where all would be late; and the price of another zone.
func (b *Balancer) risk(r *request, w *worker) float64 {
	x, run, late := b.region(w), r.hint*w.pace+b.setup(r, w), r.class.LateWorth
	risk := (1-late)*b.tail(w, x, float64(r.aim-b.now)-run) + late*b.tail(w, x, float64(r.due-b.now)-run)
	if r.class.Repeat == Unsafe { // that it fails this one too, by the rule of succession
		risk += float64(w.errors) / float64(w.errors+1)
	}
	return risk + b.crossing(w) + b.share(r, b.backlog(w)+b.setup(r, w))
}

// near lists whom to choose from first: the cold workers beyond the buddies that this dispatcher has a turn
// at, the buddies, and the homes of the key, the same at all dispatchers.
func (b *Balancer) near(r *request) []*worker {
	r.homes = b.homes(r.key)
	return slices.Concat(b.turns(), b.buddies, r.homes)
}

// setup is the time that a worker is expected to spend on fetching what the key needs: a job's where it is no
// home, nothing at the first home, and at the next ones in proportion. Jobs go there only if the homes before
// are busy, so that few workers hold a key, and each keeps what it has.
func (b *Balancer) setup(r *request, w *worker) float64 {
	return b.jobTime * float64(r.homesBefore(w)) / cover
}

// ---- legality ----

// maySend is the one guard of every send.
func (b *Balancer) maySend(r *request, w *worker) bool {
	switch {
	case r.closed || b.now >= r.due || len(r.tries) >= b.s.Allowed.Attempts:
		return false
	case !w.listed || w.State != Ready: // stop on hearing: the grace is for what is under way
		return false
	case r.class.Kind != "" && r.class.Kind != w.Kind:
		return false
	case r.out > 1 || r.out == 1 && !b.s.Allowed.HedgedRequests:
		return false
	}
	return !b.barred(r, w) && (!b.cold(w) || r.work <= b.coldShare(w))
}

// barred tells that an attempt which may have run bars one at w, or any other if w is nil: the class is
// unsafe, its window is over, or w is outside the group, where a repeat would have its effect again.
func (b *Balancer) barred(r *request, w *worker) bool {
	c := r.class
	return slices.ContainsFunc(r.tries, func(a *attempt) bool {
		return !a.notRun && (c.Repeat == Unsafe || c.Repeat == Keyed &&
			(b.now >= a.sent+c.Window-2*b.s.Tick || w != nil && !sameGroup(c.Group, a.w, w)))
	})
}

// mayRefuse tells whether what a refusal promises, that trying again is harmless, holds.
func (b *Balancer) mayRefuse(r *request) bool {
	harmless := r.class.Repeat == Safe || r.class.Repeat == Keyed && r.class.Group == GroupAll
	return harmless || !slices.ContainsFunc(r.tries, func(a *attempt) bool { return !a.notRun })
}

// coldShare is the work this dispatcher may still send to a cold worker. Half of what the rule has for the
// fall time is for all that is heard of; the rest is for hints that err, lost words and who was not told. A
// turn's first job may be larger than its part. Who is replaced leaves the part to the other.
func (b *Balancer) coldShare(w *worker) float64 {
	turn, rule, part := b.coldTurn(w)
	if b.replaced || !b.circle.Has(turn, b.s.Me) {
		return 0
	}
	spent, _ := w.sent.Since(max(b.now-b.s.Contract.FallTime, w.StartedAt-1))
	if _, own := w.sent.Since(max(turn.Start, w.StartedAt) - 1); own > 0 {
		return min(rule/2-spent, part-own)
	}
	return rule/2 - spent
}

// coldTurn tells whose turn it is, what the rule has, and a user's part: of three eighths, as a window
// touches two turns, or half where they tell each other, for as many as bear one job. All dispatchers have
// turns, buddy or not: buddies differ while lists do, and more would use a worker than each counts.
func (b *Balancer) coldTurn(w *worker) (turn ramp.Turn, rule, part float64) {
	c := &b.s.Contract
	rule = c.FallMultiple * b.warmth(w) * w.kind.slots / max(w.kind.pace, 0.1) * float64(c.FallTime)
	all := rule * 3 / 8
	if b.hasPeers() {
		all = rule / 2
	}
	part = max(all/b.sharers(), b.jobTime)
	turn = ramp.TurnAt(b.now, c.FallTime, int64(w.name)+w.StartedAt/1000)
	turn.Users = int64(max(all/(part*-math.Expm1(-b.jobsWithin(c.FallTime))), 1))
	return turn, rule, part
}

// ---- what is observed of a worker ----

func (w *worker) alive() {
	if w.silent = 0; w.errors == 0 { // who begins jobs only to fail them stays at rest
		w.failures, w.downUntil = 0, 0
	}
}

// rest leaves a worker alone for a while, longer each time.
func (b *Balancer) rest(w *worker) {
	w.failures, w.faultAt = w.failures+1, b.now
	w.downUntil = b.now + int64(max(float64(b.s.Allowed.DialTimeout), b.jobTime))<<min(w.failures, 4)
	b.refill()
}

// blame notes that a worker has failed a job that another may well serve, here or at another dispatcher.
// One is chance; from the second in a row it rests: failing at once it looks free, and would draw more.
func (b *Balancer) blame(w *worker) {
	if w.errors, w.faultAt = w.errors+1, b.now; w.errors > 1 {
		b.rest(w)
	}
}

// backlog is the time until a new job would begin: the reported queue, the hints of own jobs that the
// report cannot have seen, and not less than own jobs out there prove.
func (b *Balancer) backlog(w *worker) float64 {
	own, waiting, hints, oldest := float64(len(w.own)), -1.0, 0.0, 0.0
	for _, a := range w.own {
		hints += a.r.work * w.pace
		if waited := float64(b.now - a.sent); a.started == 0 && !a.recalled && waited > 3*b.startLag {
			waiting, oldest = max(waiting, 0)+1, max(oldest, waited) // all slots are taken, if not by us
		}
		// It tells of a running job in fixed intervals unless it stands still.
		if quiet := b.now - a.heard; a.started > 0 && b.s.Progress > 0 && quiet > 2*b.s.Progress {
			oldest = max(oldest, float64(quiet))
		}
	}
	// Evidence ages towards what all buddies showed of late, and that towards a free worker: else one once
	// found busy would never be tried again.
	age := float64(b.now-w.heardAt) / b.jobTime
	held := w.held + (b.common(w)-w.held)*age/(age+1) + float64(w.told.Since(w.reportOf))
	jobs := max(held+own, waiting)
	time := 0.0
	if jobs > -1 {
		time = max(b.jobTime/2, (jobs+1-own)*b.jobTime+hints) / w.kind.slots
	}
	// Silence: a hung worker never reports. What it was tried for in vain, it is left alone for again.
	if w.silent > 0 {
		oldest = max(oldest, float64(2*(w.lastTry-w.silent)-(b.now-w.lastTry)))
	}
	return max(time, oldest)
}

// common is how many jobs wait at a worker of this kind on average, by late evidence.
func (b *Balancer) common(w *worker) float64 {
	age := float64(b.now-b.commonAt) / b.jobTime
	return b.meanHeld + (-w.kind.slots-b.meanHeld)*age/(age+8)
}

// report takes a load report and pairs it with the region held till then.
func (b *Balancer) report(w *worker, l Load) {
	queue, free, inflight := sane(l.Queue), sane(l.Free), sane(l.Inflight)
	if w == nil || queue < 0 && free < 0 && inflight < 0 {
		return
	}
	// Slots are learned, but no odd report may swell them: the cold budget hangs on them.
	w.kind.slots = max(w.kind.slots, min(math.Round(free*0.9), w.kind.slots*2))
	jobs := inflight - w.kind.slots
	if queue >= 0.5 || queue >= 0 && free < 0 && inflight < 0 {
		jobs = queue
	} else if free >= 0 {
		jobs = -math.Round(free)
	}
	// What is this dispatcher's own in it is better known from what is out.
	of := b.now - int64(b.jobTime/2) // the time that it tells of
	own, others := w.count(func(a *attempt) bool { return a.sent < of }), w.foldHearsay(of)
	seen, before := max(0, jobs+1)*b.jobTime/w.kind.slots,
		max(0, w.held+others+own+1)*b.jobTime/w.kind.slots
	w.sample(b.region(w), b.column(seen))
	if x := b.regionOf(w, seen); x/2 != b.regionOf(w, before)/2 || x == regions-1 || w.heardAt == 0 {
		w.held = max(jobs-own, -w.kind.slots) // TH_2k is crossed, or beyond the last there is none to cross
	}
	w.heardAt = b.now
	b.meanHeld, b.commonAt = b.common(w)+(jobs-own-b.common(w))/8, b.now
}

// judge learns from an outcome: its report, the worker's pace, and failure in the sense of the design.
func (b *Balancer) judge(a *attempt, e *Event) {
	w, lost := a.w, 1.0
	switch e.Outcome {
	case Cancelled, NeverSent: // our own doing
		return
	case Unusable: // says nothing of the worker, unless another one can use it
		a.unusable = true
		return
	case Errored: // whatever its backlog; what fails everywhere is blamed on the first only
		if !a.r.failed {
			b.fault(w)
		}
		a.r.failed = true
	case Completed:
		for _, o := range a.r.tries {
			if o.unusable {
				b.fault(o.w)
			}
		}
		w.errors = 0
		w.alive()
		run := float64(b.now - max(a.started, a.sent))
		fetched := b.setup(a.r, w) > 0 // perhaps: its running time says little of the job, or of the worker
		b.ran(a.r, run, fetched)
		if a.r.hint > 0 && !fetched {
			// Weighed by work: the ratios of small jobs with rough hints would throw it about.
			ratio, weight := min(max(run/a.r.hint, 0.1), 10), min(a.r.hint/b.jobTime, 2)/8
			w.pace += (ratio - w.pace) * weight * 2
			w.kind.pace += (ratio - w.kind.pace) * weight
		}
		// Late is lost whole: in time, its work would have earned all. The running time corrects a rough hint.
		if more := run/w.kind.pace - a.r.hint; float64(b.now-a.r.aim) <= a.r.class.Stretch*max(more, 0) {
			lost = 0
		}
	case Saturated:
		w.held, w.heardAt = max(w.held, 4*w.kind.slots), b.now
	case ConnectionLost: // one connection that breaks is chance as well
		if a.started == 0 {
			b.fault(w)
		}
	case ConnectionRefused, TimedOut:
		if a.started == 0 { // it does not even begin jobs
			b.rest(w)
		}
	}
	if lost > 0 {
		w.sample(a.region, columns-1)
	}
	if e.Outcome != ConnectionLost && e.Outcome != ConnectionRefused { // due to a fault, not to a queue
		b.loss += (lost - b.loss) / 16
	}
	b.report(w, e.Load)
}

// ---- the learned tables ----

// regionOf cuts backlog by TH1, just under the smallest job time, TH2, just under the mean one, and two
// multiples of that; all are shared out among a worker's slots.
func (b *Balancer) regionOf(w *worker, backlog float64) int {
	least := min(b.least, b.jobTime)
	backlog *= w.kind.slots
	for k, th := range [regions - 1]float64{0.9 * least, 0.95 * b.jobTime, 1.6 * b.jobTime, 2.6 * b.jobTime} {
		if backlog < th {
			return k
		}
	}
	return regions - 1
}

// tail is P(backlog > slack) in region x, linear within a column.
func (b *Balancer) tail(w *worker, x int, slack float64) float64 {
	if slack < 0 {
		return 1
	}
	at := min(slack*4/b.jobTime, columns-2)
	c := min(int(at), columns-3)
	return w.tails[x][c+1] + (at-float64(c))*(w.tails[x][c+2]-w.tails[x][c+1])
}

// blendWith makes P_U = aP_T + (1-a)P_O of the samples since the last time. With few samples a shrinks, and
// the kind's pooled table serves as prior: alone, a light dispatcher's tables would stay uniform.
func (t *table) blendWith(prior *table) {
	var lower [columns]float64
	for x := range regions {
		n, rest := 0.0, 0.0
		for _, f := range t.fresh[x] {
			n += f
		}
		for c := columns - 1; c >= 0; c-- {
			if n > 0 {
				t.p[x][c] += blend * n / (n + 1) * (t.fresh[x][c]/n - t.p[x][c])
			}
			if prior != nil {
				t.p[x][c] += (prior.p[x][c] - t.p[x][c]) * 2 / (2 + n)
			}
			t.fresh[x][c] = 0
			rest += t.p[x][c]
			lower[c] = max(lower[c], rest) // few samples must not make a full worker look freer than others
			t.tails[x][c] = lower[c]
		}
	}
}

// pulse is the time between probes of the buddies, a few seconds; T_p is four of them.
func (b *Balancer) pulse() int64 { return int64(min(max(2*b.jobTime, 1e6), 4e6)) }

func (b *Balancer) beat() {
	b.timer(b.pulse(), tokenPulse)
	if b.unheard { // not at once: that would only feed a jam
		b.do(Action{Kind: WatchList})
	}
	b.probe(b.pulse())
	b.refill() // who has rested is a buddy again
	if b.now < b.blendAt {
		return
	}
	b.blendAt = b.now + 4*b.pulse()
	for _, k := range b.kinds {
		k.blendWith(nil)
	}
	for _, w := range b.buddies {
		w.blendWith(&w.kind.table)
	}
}

// ---- the list of workers and the buddy set ----

func (b *Balancer) list(e *Event) {
	b.unheard = e.Kind == ListFailed // what is known stays; the next pulse asks again
	if e.Kind == ListSnapshot || e.Kind == ListRestored {
		for _, w := range b.ranked {
			w.listed = false
		}
		b.ranked = b.ranked[:0]
	}
	for i := range e.List {
		b.entry(&e.List[i])
	}
	b.ranked = slices.DeleteFunc(b.ranked, func(w *worker) bool { return !w.listed })
	slices.SortFunc(b.ranked, func(v, w *worker) int { return strings.Compare(v.rank, w.rank) })
	b.refill()
	if e.Kind == ListRestored && b.s.ListOnRequest {
		b.do(Action{Kind: WatchList})
	}
}

func (b *Balancer) entry(l *Worker) {
	w := b.workers[l.ID]
	if w == nil {
		k := b.kind(l.Kind)
		w = &worker{kind: k, pace: k.pace, held: -1, rank: b.rank(l), name: gossip.HostHash(l.ID)}
		w.p, w.tails = k.p, k.tails
		b.workers[l.ID] = w
	}
	if l.StartedAt > w.StartedAt { // a new life: neither old distrust nor old backlog counts
		w.errors, w.held, w.heardAt = 0, -1, max(w.heardAt, min(l.StartedAt, b.now))
		w.alive()
	}
	w.Worker = *l
	if !w.listed && l.State != Gone {
		b.ranked = append(b.ranked, w)
	}
	w.listed = l.State != Gone
	if b.s.LiveWeights && w.listed { // a report of every worker, also to who sends too little to hear of any
		b.report(w, Load{Queue: -1, Inflight: w.shown(l.Weight), Free: -1})
	}
}

// rank orders workers alike everywhere: by a hash, and before that by cell where keyed repeats must stay in
// it, as its members then share windows. Zones are mixed: how many dispatchers each has is not known.
func (b *Balancer) rank(l *Worker) string {
	h, cell := fnv.New64a(), ""
	for _, c := range b.s.Classes {
		if c.Repeat == Keyed && c.Group == GroupCell {
			cell = fmt.Sprint(l.Cell)
		}
	}
	h.Write([]byte(l.ID))
	return fmt.Sprintf("%s %x %s", cell, h.Sum(nil), l.ID)
}

// refill makes the preferred list: a window of the common order that begins at this dispatcher's own
// place, so that every worker is in about as many windows. Workers that are out are passed over.
func (b *Balancer) refill() {
	size := max(smallest, (cover*len(b.ranked)+b.s.Dispatchers-1)/b.s.Dispatchers)
	if b.s.LiveWeights { // the list keeps more of them fresh than own jobs can
		size = max(size, 2*smallest)
	}
	start := gossip.SubsetStart(b.s.Me, b.s.Dispatchers, len(b.ranked))
	have := map[string]bool{}
	b.buddies, b.others, b.reach = b.buddies[:0], b.others[:0], 0
	for i := range b.ranked {
		w := b.ranked[(start+i)%len(b.ranked)]
		if b.now-w.faultAt > distrust*b.pulse() { // whom we send nothing to serves us nothing that would clear it
			w.errors, w.failures = 0, 0
		}
		if w.State == Ready && b.now >= w.downUntil && (len(b.buddies) < size || !have[w.Kind]) {
			b.buddies, have[w.Kind], b.reach = append(b.buddies, w), true, i+1 // some of each kind
		} else {
			b.others = append(b.others, w)
		}
	}
	// Among equals the zone decides; not where few share all workers, whom only the rotation keeps apart.
	if b.s.Dispatchers > cover {
		slices.SortStableFunc(b.buddies, b.nearer)
	}
	b.started = slices.DeleteFunc(slices.Clone(b.others), func(w *worker) bool { return !b.cold(w) })
}
