package topazfall

// The state of a balancer, and lookups in it. Decisions are made in balancer.go, choice.go, subset.go and
// workerlist.go.

import (
	"cmp"
	"math"
	"slices"

	"topazfall/internal/decide/affinity"
	"topazfall/internal/decide/gossip"
	"topazfall/internal/decide/ramp"
	"topazfall/internal/decide/share"
)

// Balancer makes the decisions of one dispatcher.
type Balancer struct {
	settings        Settings
	now             int64
	actions         []Action
	requests        map[uint64]*request
	workers         map[string]*worker     // by ID: the listed ones, and others that are still needed
	gone            []*worker              // those of workers that are not listed
	ranked          []*worker              // the listed workers, in the order common to all dispatchers
	buddies         []*worker              // the subset of ranked that is used first
	subsetSpan      int                    // length of the range of ranked that the buddies are taken from
	nonBuddies      []*worker              // the others, beginning at the dispatcher's own place to spread the load
	coldNonBuddies  []*worker              // those of nonBuddies that were cold when the buddies were chosen
	rotation        ramp.Rotation          // the turns of the dispatchers at cold workers
	kinds           map[string]*workerKind // by name
	jobTime         float64                // moving average of the running time of a job
	smallJobWork    float64                // work of a small job; sets TH1
	startLag        float64                // moving average of the delay until a job starts at a free worker
	maxTimeout      []int64                // the longest time to a deadline that was seen, by class
	lateLoss        float64                // moving average of the share of the worth that is lost on late jobs
	hedgeBudget     float64                // the number of hedged requests that may be sent now
	listFailed      bool                   // the last query or watch of the worker list failed
	restoredAt      int64                  // when the memory of another balancer was restored
	hasSuccessor    bool                   // another process takes the new jobs
	isLeaving       bool                   // the successor continues the requests that have no outstanding attempt
	nextTableUpdate int64                  // when the tables are updated next
	droppedMessages int                    // gossip messages that were dropped
	meanQueued      float64                // moving average of jobs waiting at a worker; below 0: free slots
	meanQueuedAt    int64                  // when meanQueued was updated
	tenantShares    share.Shares
	classRunTimes   map[string]*runTimeStats // by class name
}

// runTimeStats holds the mean running time of the jobs of a class.
type runTimeStats struct{ samples, mean float64 }

type request struct {
	id          uint64
	class       *Class
	due, aim    int64   // aim: until when an answer has its full worth
	hint        float64 // expected work: the client's hint, or the mean of the jobs of its class
	work        float64
	key         uint64
	preferred   []*worker // the workers that should hold the data of its key
	attempts    []*attempt
	outstanding int // attempts without an outcome
	closed      bool
	hasFailed   bool    // a worker has failed the job
	value       float64 // share of its class's worth: less beyond its tenant's share
}

// attempt is one try of a request at one worker.
type attempt struct {
	request                       *request
	index, region                 int // region: the observed backlog region of the worker at the send
	worker                        *worker
	sentAt, startedAt, progressAt int64 // progressAt: the last note of its start or progress
	done, notRun, cancelled       bool
	unusable, connectionLost      bool      // unusable: the worker found the job itself invalid
	announced                     bool      // other dispatchers know of it by gossip
	turn                          ramp.Turn // at a cold worker: the turn whose users were notified
	expectedWait                  float64   // time until the start, as expected at the send
	suspectAt                     int64     // from then on its worker is suspect if it is silent
}

type worker struct {
	Worker
	rank              string // sort key of the common order
	hostHash          uint32 // identifies the worker in gossip messages
	listed            bool
	peerLoad          gossip.PeerLoad // jobs that other dispatchers have started and ended here since the report
	reportAsOf        int64           // the time that the last load report describes
	kind              *workerKind
	inflight          float64    // jobs at the worker by its last live weight; below 0 if that cannot tell
	queued            float64    // jobs waiting by the last load report that changed the region; below 0: free slots
	evidenceAt        int64      // when the load of the worker was last observed
	ownAttempts       []*attempt // outstanding attempts of this dispatcher
	pace              float64    // running time for a unit of hinted work
	silentSince       int64      // the first send since the last sign of life; 0 if there was none
	lastSentAt        int64
	ejections         int // in a row, for the backoff
	consecutiveErrors int // jobs failed since the last that was served, here or at another dispatcher
	lastFaultAt       int64
	ejectedUntil      int64
	sentWork          ramp.Log // work that was sent here within the fall time, as far as is known
	table
}

// workerKind pools what is learned of the workers of one kind.
type workerKind struct {
	slots, pace float64
	size, cores float64 // derived from live weights; 0 until known
	table
}

// table holds P(backlog | region), its tail probabilities, and the samples since the last update.
type table struct {
	probability, tails, samples [regionCount][columnCount]float64
}

// emit appends an action to those of the current event.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// setTimer requests a timer of at least one tick. A tick is the minimum time until anything can be known of an
// attempt that was just sent. A shorter timer, as where the aim is missed already, would only use up the attempts
// of a request at once. The timer may be dropped once the request with the given id has ended; 0 stands for none.
func (b *Balancer) setTimer(after int64, token, request uint64) {
	b.emit(Action{Kind: SetTimer, After: max(after, b.settings.Tick, 1), Token: token, Request: request})
}

// scheduleRecheck sets a timer for a request, no later than its deadline.
func (b *Balancer) scheduleRecheck(r *request, after float64) {
	b.setTimer(min(int64(after), r.due-b.now), r.id<<2|tokenRecheck, r.id)
}

// findAttempt returns the attempt that an event is about, or nil if it is not outstanding.
func (b *Balancer) findAttempt(e *Event) *attempt {
	r := b.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].done {
		return nil
	}
	return r.attempts[e.Attempt]
}

// inflightFromWeight returns the number of jobs that a live weight shows at a worker, or -1 if it cannot tell.
// Machines of a kind have the same size, which the idle ones show. Each job lowers the weight by its share of a core,
// from which the number of cores follows.
func (k *workerKind) inflightFromWeight(weight float64) float64 {
	if weight > 1.02*k.size { // a larger machine: the number of cores was derived from a smaller size
		k.size, k.cores = weight, 0
	}
	jobsPerCore := k.size/max(weight, 1e-9) - 1
	if jobsPerCore > 0.02 { // weights are slightly rounded
		k.cores = min(max(k.cores, math.Round(1/jobsPerCore)), 64)
	}
	if k.cores < 1 {
		return -1
	}
	k.slots = max(k.slots, k.cores) // a worker has at least one slot per core
	return math.Round(jobsPerCore * k.cores)
}

// observeWeight returns the number of jobs that a live weight shows at the worker, or -1. A lower number than before
// is a sign of life, because a job has ended.
func (w *worker) observeWeight(weight float64) float64 {
	before := w.inflight
	if w.inflight = w.kind.inflightFromWeight(weight); w.inflight >= 0 && w.inflight < before {
		w.silentSince = 0
	}
	return w.inflight
}

// kindOf returns what is known of a kind of worker. An unknown kind begins with one slot and a uniform distribution
// of backlogs.
func (b *Balancer) kindOf(name string) *workerKind {
	k := b.kinds[name]
	if k == nil {
		k = &workerKind{slots: 1, pace: 1}
		k.setUniform()
		b.kinds[name] = k
	}
	return k
}

// sameGroup reports whether two workers drop the repeats of each other's keyed jobs.
func sameGroup(g Group, a, w *worker) bool {
	return g == GroupAll || a.Zone == w.Zone && (g == GroupZone || a.Cell == w.Cell)
}

// relativeTime returns a duration relative to the time within which the class wants an answer.
func (b *Balancer) relativeTime(r *request, duration float64) float64 {
	return duration / max(float64(r.class.Aim)+r.class.Stretch*r.hint, 1000)
}

// isCold reports whether a worker has started so recently that it may not have its full capacity yet (slow start).
func (b *Balancer) isCold(w *worker) bool {
	return w.StartedAt > 0 && b.now < w.StartedAt+b.settings.Contract.RampTime
}

// warmShare returns the minimum share of its capacity that a cold worker has by now.
func (b *Balancer) warmShare(w *worker) float64 {
	c := &b.settings.Contract
	return min(c.ColdFrom+(1-c.ColdFrom)*float64(b.now-w.StartedAt)/float64(max(c.RampTime, 1)), 1)
}

// expectedSharers returns the number of dispatchers that have a worker among their buddies, rounded up, if all of
// them see the same list as this one.
func (b *Balancer) expectedSharers() float64 {
	return math.Ceil(max(float64(b.subsetSpan*b.settings.Dispatchers)/max(float64(len(b.ranked)), 1), 1))
}

// expectedArrivals returns the number of jobs that a dispatcher gets within a duration in microseconds, by the
// tenants' quotas. It is infinite if there are no quotas.
func (b *Balancer) expectedArrivals(duration int64) float64 {
	return b.settings.totalQuota() * b.settings.dispatcherShare() * float64(duration) / 1e6
}

// coldWorkersInTurn lists the cold workers outside the buddy set at which this dispatcher has a turn.
func (b *Balancer) coldWorkersInTurn() (ws []*worker) {
	for _, w := range b.coldNonBuddies {
		if turn, _, _ := b.coldTurn(w); b.rotation.Has(turn, b.settings.Me) {
			ws = append(ws, w)
		}
	}
	return ws
}

// zonePenalty returns the share of the worth that is lost by sending to a worker in another zone.
func (b *Balancer) zonePenalty(w *worker) float64 {
	if w.Zone == b.settings.Zone {
		return 0
	}
	return b.settings.CrossZone
}

// compareZones orders workers by the penalty of their zone.
func (b *Balancer) compareZones(v, w *worker) int {
	return cmp.Compare(b.zonePenalty(v), b.zonePenalty(w))
}

// sanitize maps an impossible value of a load report to -1, which means not reported.
func sanitize(v float64) float64 {
	if v >= 0 && v < 1e6 {
		return v
	}
	return -1
}

// totalQuota returns the number of jobs a second that all dispatchers together get from tenants within their quotas.
// It is infinite if there are no quotas.
func (s *Settings) totalQuota() (n float64) {
	for _, t := range s.Tenants {
		n += t.Quota
	}
	if n <= 0 {
		return math.Inf(1)
	}
	return n
}

// tenantQuotas lists the quotas by tenant.
func (s *Settings) tenantQuotas() (q []float64) {
	for _, t := range s.Tenants {
		q = append(q, t.Quota)
	}
	return q
}

// dispatcherShare returns the share of all requests that each dispatcher gets if they are spread evenly.
func (s *Settings) dispatcherShare() float64 { return 1 / float64(s.Dispatchers) }

// countTenantRequest counts a request of a tenant and returns its value as a share of its class's worth.
func (b *Balancer) countTenantRequest(tenant int) float64 {
	if b.tenantShares.IsWithin(b.now, tenant) {
		return 1
	}
	return b.settings.OverShare
}

// expectedWork returns the expected work of a job: the client's hint, else the mean of its class, or of all jobs
// until that is known.
func (b *Balancer) expectedWork(c *Class, hint int64) float64 {
	if hint > 0 {
		return float64(min(hint, 1e12))
	}
	if class := b.classRunTimes[c.Name]; class != nil {
		return class.mean
	}
	return b.jobTime
}

// recordRunTime updates the mean running times after a job. The mean of a class is taken of jobs that did not have to
// fetch the data of a key.
func (b *Balancer) recordRunTime(r *request, duration float64, fetched bool) {
	b.jobTime += (duration - b.jobTime) / 32
	if fetched {
		return
	}
	class := b.classRunTimes[r.class.Name]
	if class == nil {
		if b.classRunTimes == nil {
			b.classRunTimes = map[string]*runTimeStats{}
		}
		class = &runTimeStats{}
		b.classRunTimes[r.class.Name] = class
	}
	class.samples = min(class.samples+1, 32)
	class.mean += (duration - class.mean) / class.samples
}

// preferredFor lists the workers that should hold the data of a key, in order of preference. An ejected worker keeps
// its place: it still holds the data, and the others would have to fetch them.
func (b *Balancer) preferredFor(key uint64) (ws []*worker) {
	if key == 0 {
		return nil
	}
	var places [redundancy]int
	for _, i := range affinity.PreferredHosts(key, len(b.ranked), redundancy, func(i int) (uint32, bool) {
		w := b.ranked[i]
		return w.hostHash, w.State == Ready
	}, places[:0]) {
		ws = append(ws, b.ranked[i])
	}
	return ws
}

// setUniform initializes a table: within a region all backlogs are equally likely.
func (t *table) setUniform() {
	for column, region := range [columnCount - 1]int{0, 0, 1, 2, 3, 3, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4} {
		t.probability[region][column] = [regionCount]float64{1. / 2, 1, 1, 1. / 2, 1. / 11}[region]
	}
	t.update(nil)
}

// columnOf returns the column that a backlog has in a table of backlog distributions: 0 for none, else in steps of a
// quarter of the job time.
func (b *Balancer) columnOf(backlog float64) int {
	return int(min(math.Ceil(max(backlog, 0)*4/b.jobTime), columnCount-2))
}

// currentRegion returns the region of a worker's estimated backlog.
func (b *Balancer) currentRegion(w *worker) int { return b.regionOf(w, b.backlog(w)) }

// addSample counts the actual backlog, or a failure in the last column, that was found in a region.
func (w *worker) addSample(region, column int) {
	w.samples[region][column]++
	w.kind.samples[region][column]++
}

// UnavailableWorkers returns the number of listed workers that get no new jobs at the time now: those that are ejected
// or not ready.
func (b *Balancer) UnavailableWorkers(now int64) (count int) {
	for _, w := range b.ranked {
		if now < w.ejectedUntil || w.State != Ready {
			count++
		}
	}
	return count
}

// hasTried reports whether the request has had an attempt at a worker.
func (r *request) hasTried(w *worker) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.worker == w })
}

// preferenceRank returns the number of preferred workers of the request's key that come before a worker: redundancy
// if it is not preferred, and 0 without a key.
func (r *request) preferenceRank(w *worker) int {
	switch index := slices.Index(r.preferred, w); {
	case r.key == 0:
		return 0
	case index < 0:
		return redundancy
	default:
		return index
	}
}

// workersWithLostConnection lists the workers to which the connection of an attempt was lost and that have no
// outstanding attempt.
func (r *request) workersWithLostConnection() (ws []*worker) {
	for _, a := range r.attempts {
		if a.connectionLost && !slices.ContainsFunc(r.attempts,
			func(o *attempt) bool { return o.worker == a.worker && !o.done }) {
			ws = append(ws, a.worker)
		}
	}
	return ws
}

// countAttempts returns the number of the request's attempts that match.
func (r *request) countAttempts(matches func(*attempt) bool) (n int) {
	for _, a := range r.attempts {
		if matches(a) {
			n++
		}
	}
	return n
}

// countAttempts returns the number of this dispatcher's outstanding attempts at the worker that match.
func (w *worker) countAttempts(matches func(*attempt) bool) (n float64) {
	for _, a := range w.ownAttempts {
		if matches(a) {
			n++
		}
	}
	return n
}
