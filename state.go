package topazfall

// What a balancer remembers, and plain look-ups. Every decision is in balancer.go.

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
	s        Settings
	now      int64
	out      []Action
	requests map[uint64]*request
	workers  map[string]*worker // all that were ever listed, by id
	ranked   []*worker          // those listed now, in the order common to all dispatchers
	buddies  []*worker          // the preferred list
	reach    int                // how many of the ranked the buddies are taken from: more where some are out
	others   []*worker          // the rest, from the dispatcher's own place on: all must not turn to the same
	started  []*worker          // those of the others that were cold when the buddies were chosen
	circle   ramp.Circle        // the turns of the dispatchers at cold workers
	kinds    map[string]*kind
	jobTime  float64 // mean running time of a job
	least    float64 // work of a small job; sets TH1
	startLag float64 // how soon a job begins on a free worker
	patience []int64 // the longest time to a deadline seen, by class
	loss     float64 // share of the worth lost on late jobs
	copies   float64 // that may be sent now
	unheard  bool    // the list service failed us
	heir     int64   // when it took over what another had learned
	replaced bool    // another process takes the new jobs
	blendAt  int64
	unheeded int     // words of others that were dropped
	meanHeld float64 // jobs waiting at a buddy, by its last reports; below 0: free slots
	commonAt int64
	shares   share.Shares
	runs     map[string]*runs // by class
}

// runs is how long the jobs of a class run.
type runs struct{ n, mean float64 }

type request struct {
	id       uint64
	class    *Class
	due, aim int64   // aim: when the full worth ends
	hint     float64 // of its work: the client's, or what jobs of its class take
	work     float64
	key      uint64
	homes    []*worker // who should hold what its key needs
	tries    []*attempt
	out      int // attempts without an outcome
	closed   bool
	failed   bool    // a worker has failed at it
	worth    float64 // as a share of its class's: less beyond its tenant's share
}

type attempt struct {
	r                      *request
	n, region              int // region: what was observed of w when it was sent
	w                      *worker
	sent, started, heard   int64 // heard: of its running, last
	done, notRun, recalled bool
	unusable, broken       bool      // its worker said that of the job; the connection to it broke
	told                   bool      // others know of it
	turn                   ramp.Turn // at a cold worker: who of them
	wait                   float64   // until it would begin, by what was known when it was sent
	doubt                  int64     // from when on its worker is doubted, if it is silent
}

type worker struct {
	Worker
	rank      string // its place in the common order
	name      uint32 // in gossip
	listed    bool
	told      gossip.Tally // what others have done here since the report
	reportOf  int64        // the time that the last report is of
	kind      *kind
	inHand    float64 // jobs, by the last live weight; below 0 where it could not tell
	held      float64 // jobs waiting by the last report that moved x; below 0: free slots
	heardAt   int64
	own       []*attempt // this dispatcher's, still out
	pace      float64    // running time for a unit of hinted work
	silent    int64      // first send since the last sign of life
	lastTry   int64
	failures  int
	errors    int // jobs failed since the last that was served, here or at another dispatcher
	faultAt   int64
	downUntil int64
	sent      ramp.Log // what was sent there within the fall time, as far as is known
	table
}

// kind pools what is learned of the workers of one kind.
type kind struct {
	slots, pace float64
	size, cores float64 // as live weights show them; 0 until they do
	table
}

// table holds P(backlog | region), its tails, and the samples since the last blend.
type table struct{ p, tails, fresh [regions][columns]float64 }

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

// timer asks to be woken. A tick is the least time in which anything can be heard of what was just sent: a
// shorter timer, as where an aim is lost already, would only spend the attempts of a request in a row.
func (b *Balancer) timer(after int64, token uint64) {
	b.do(Action{Kind: SetTimer, After: max(after, b.s.Tick, 1), Token: token})
}

// look has a request looked at again.
func (b *Balancer) look(r *request, after float64) {
	b.timer(min(int64(after), r.due-b.now), r.id<<2|tokenLook)
}

// attempt finds the attempt that an event is about, if it is still out.
func (b *Balancer) attempt(e *Event) *attempt {
	r := b.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.tries) || r.tries[e.Attempt].done {
		return nil
	}
	return r.tries[e.Attempt]
}

// inflight tells how many jobs a live weight says a worker had in hand, or -1 where it cannot: machines of a kind are
// of one size, which the idle ones show, and each job takes off the same for its part of a core.
func (k *kind) inflight(weight float64) float64 {
	if weight > 1.02*k.size { // the steps seen till now were of something else
		k.size, k.cores = weight, 0
	}
	crowd := k.size/max(weight, 1e-9) - 1
	if crowd > 0.02 { // a weight is a little rounded
		k.cores = min(max(k.cores, math.Round(1/crowd)), 64)
	}
	if k.cores < 1 {
		return -1
	}
	k.slots = max(k.slots, k.cores) // no machine has fewer
	return math.Round(crowd * k.cores)
}

// shown is how many jobs a live weight says the worker has in hand, or -1. Fewer than before are a sign of life: one
// has left it.
func (w *worker) shown(weight float64) float64 {
	before := w.inHand
	if w.inHand = w.kind.inflight(weight); w.inHand >= 0 && w.inHand < before {
		w.silent = 0
	}
	return w.inHand
}

// kind finds what is known of a kind, or begins with a machine of one slot whose every backlog is as likely as another.
func (b *Balancer) kind(name string) *kind {
	k := b.kinds[name]
	if k == nil {
		k = &kind{slots: 1, pace: 1}
		k.uniform()
		b.kinds[name] = k
	}
	return k
}

func sameGroup(g Group, a, w *worker) bool {
	return g == GroupAll || a.Zone == w.Zone && (g == GroupZone || a.Cell == w.Cell)
}

// share is a time as a part of the time wanted.
func (b *Balancer) share(r *request, time float64) float64 {
	return time / max(float64(r.class.Aim)+r.class.Stretch*r.hint, 1000)
}

// cold tells that a worker has started so late that it may not bear much yet.
func (b *Balancer) cold(w *worker) bool {
	return w.StartedAt > 0 && b.now < w.StartedAt+b.s.Contract.RampTime
}

// warmth is the share of its capacity that a cold worker has by now, at least.
func (b *Balancer) warmth(w *worker) float64 {
	c := &b.s.Contract
	return min(c.ColdFrom+(1-c.ColdFrom)*float64(b.now-w.StartedAt)/float64(max(c.RampTime, 1)), 1)
}

// sharers is how many dispatchers have a worker among their buddies, rounded up, if all see the list that this one
// sees.
func (b *Balancer) sharers() float64 {
	return math.Ceil(max(float64(b.reach*b.s.Dispatchers)/max(float64(len(b.ranked)), 1), 1))
}

// jobsWithin is how many jobs a dispatcher gets within a time in microseconds, by the tenants' quotas: without bound if
// these are not told.
func (b *Balancer) jobsWithin(time int64) float64 {
	return b.s.quota() * b.s.part() * float64(time) / 1e6
}

// turns lists the cold workers beyond the buddies that this dispatcher has a turn at.
func (b *Balancer) turns() (ws []*worker) {
	for _, w := range b.started {
		if turn, _, _ := b.coldTurn(w); b.circle.Has(turn, b.s.Me) {
			ws = append(ws, w)
		}
	}
	return ws
}

// crossing is the price of sending to a worker because of its zone.
func (b *Balancer) crossing(w *worker) float64 {
	if w.Zone == b.s.Zone {
		return 0
	}
	return b.s.CrossZone
}

// nearer orders workers by the price of their zone.
func (b *Balancer) nearer(v, w *worker) int { return cmp.Compare(b.crossing(v), b.crossing(w)) }

// sane maps what a report cannot mean to "not reported".
func sane(v float64) float64 {
	if v >= 0 && v < 1e6 {
		return v
	}
	return -1
}

// quota is how many jobs a second all dispatchers get together, within the tenants' shares: without bound if that is
// not told.
func (s *Settings) quota() (n float64) {
	for _, t := range s.Tenants {
		n += t.Quota
	}
	if n <= 0 {
		return math.Inf(1)
	}
	return n
}

// quotas lists those of the tenants.
func (s *Settings) quotas() (q []float64) {
	for _, t := range s.Tenants {
		q = append(q, t.Quota)
	}
	return q
}

// part is what a dispatcher gets of all messages if all get the same.
func (s *Settings) part() float64 { return 1 / float64(s.Dispatchers) }

// worth counts a message of a tenant, and tells what it is worth as a share of its class's.
func (b *Balancer) worth(tenant int) float64 {
	if b.shares.Within(b.now, tenant) {
		return 1
	}
	return b.s.OverShare
}

// hint is what is known of the work of a job: what its client says, else the mean of its class, or of all until that
// shows.
func (b *Balancer) hint(c *Class, told int64) float64 {
	if told > 0 {
		return float64(min(told, 1e12))
	}
	if k := b.runs[c.Name]; k != nil {
		return k.mean
	}
	return b.jobTime
}

// ran counts how long a job has run. What its class is taken for comes from those that fetched nothing.
func (b *Balancer) ran(r *request, run float64, fetched bool) {
	b.jobTime += (run - b.jobTime) / 32
	if fetched {
		return
	}
	k := b.runs[r.class.Name]
	if k == nil {
		if b.runs == nil {
			b.runs = map[string]*runs{}
		}
		k = &runs{}
		b.runs[r.class.Name] = k
	}
	k.n = min(k.n+1, 32)
	k.mean += (run - k.mean) / k.n
}

// homes lists the workers that should hold what the jobs of a key need, in the order in which they are asked. One
// that rests keeps its place: it still holds what it has, and the others would have to fetch it.
func (b *Balancer) homes(key uint64) (ws []*worker) {
	if key == 0 {
		return nil
	}
	var places [cover]int
	for _, i := range affinity.Homes(key, len(b.ranked), cover, func(i int) (uint32, bool) {
		w := b.ranked[i]
		return w.name, w.State == Ready
	}, places[:0]) {
		ws = append(ws, b.ranked[i])
	}
	return ws
}

// uniform starts a table: within its region every backlog is as likely as another.
func (t *table) uniform() {
	for c, x := range [columns - 1]int{0, 0, 1, 2, 3, 3, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4, 4} {
		t.p[x][c] = [regions]float64{1. / 2, 1, 1, 1. / 2, 1. / 11}[x]
	}
	t.blendWith(nil)
}

// column maps a backlog to a column: none, or steps of a quarter of the job time.
func (b *Balancer) column(backlog float64) int {
	return int(min(math.Ceil(max(backlog, 0)*4/b.jobTime), columns-2))
}

func (b *Balancer) region(w *worker) int { return b.regionOf(w, b.backlog(w)) }

// sample pairs a region with the backlog (or, in the last column, the failure) that was met there.
func (w *worker) sample(region, column int) {
	w.fresh[region][column]++
	w.kind.fresh[region][column]++
}

// Avoided is how many of the listed workers get nothing new at that time.
func (b *Balancer) Avoided(now int64) (n int) {
	for _, w := range b.ranked {
		if now < w.downUntil || w.State != Ready {
			n++
		}
	}
	return n
}

func (r *request) tried(w *worker) bool {
	return slices.ContainsFunc(r.tries, func(a *attempt) bool { return a.w == w })
}

// homesBefore counts the homes of the request's key that come before a worker: cover of them if it is no home, and
// none without a key.
func (r *request) homesBefore(w *worker) int {
	switch place := slices.Index(r.homes, w); {
	case r.key == 0:
		return 0
	case place < 0:
		return cover
	default:
		return place
	}
}

// broken lists the workers that broke the connection of an attempt and have none that is out.
func (r *request) broken() (ws []*worker) {
	for _, a := range r.tries {
		if a.broken && !slices.ContainsFunc(r.tries, func(o *attempt) bool { return o.w == a.w && !o.done }) {
			ws = append(ws, a.w)
		}
	}
	return ws
}

func (r *request) count(which func(*attempt) bool) (n int) {
	for _, a := range r.tries {
		if which(a) {
			n++
		}
	}
	return n
}

func (w *worker) count(which func(*attempt) bool) (n float64) {
	for _, a := range w.own {
		if which(a) {
			n++
		}
	}
	return n
}
