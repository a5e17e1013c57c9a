package topazfall

// A simulation of a fleet in virtual time, with real balancers, workers that queue jobs and warm up, and delays of
// lists, answers and gossip messages. It counts the work that all dispatchers together send to a cold worker. It is
// seeded, so that every run of a scenario is the same.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	fleetEpoch   = int64(100e6)            // virtual time at which a scenario begins
	fleetRestart = fleetEpoch + int64(6e6) // when workers start cold; balancers have learned by then
	fleetBurst   = fleetRestart - int64(1e6)
	fleetLatency = int64(2e3)    // of a message between dispatcher, worker and peer
	listEvery    = int64(1e6)    // between two lists with live weights
	listDelay    = int64(400e3)  // the maximum delay of a list
	downFor      = int64(1500e3) // how long a worker is gone before it returns under its id
	plainWork    = 300e3         // mean work of a job, in microseconds of a standard core
	queuePerCore = 7             // beyond this a worker rejects jobs, which count as sent to it all the same
	workSpread   = 0.6           // coefficient of variation of the work; that of the hints is half of it
)

// coldScenario describes a fleet of which some workers are cold. The zero value of a field is the plain case.
type coldScenario struct {
	dispatchers, workers, cold int
	cores, speed               float64
	work                       float64 // mean work of a job; 0 for plainWork
	load                       float64 // work offered, as a share of the capacity of the warm fleet
	burst                      float64 // factor of the load from just before the restart on
	unevenLoad                 bool    // one dispatcher in ten gets four times the mean
	peers                      bool
	lostMessages               float64 // share of the peer messages that are lost
	liveWeights                bool    // the list has live weights
	weightUnit                 float64 // unit of the list's weights, in standard cores; 0 for 1
	noHints, noQuota           bool
	hintBias                   float64 // factor between the work and the hints; 0 for 1
	// share of the dispatchers that are killed early in the ramp and restart with nothing learned
	killedShare        float64
	joinsAsNew         bool  // the cold workers are new, not back under their old ids
	restartsTwice      bool  // they restart once more after half of the ramp
	lateNotice         int64 // delay with which one dispatcher in four is notified of the start
	coldFrom           float64
	rampTime, fallTime int64
	fallMultiple       float64
	seed               uint64
}

// coldResult is the work that the cold workers of a scenario were sent, in requests of mean work.
type coldResult struct {
	allowed    float64 // N of the window that is the fullest relative to its budget
	used       float64 // in that window
	budget     float64 // N + 2 sqrt(N) + 2
	byNotified float64 // of used, from dispatchers that had been notified of the start
	overloads  int     // workers that were sent more than the budget in a window
	// of overloads, workers for which notified dispatchers sent over two thirds of the first window over budget
	avoidable int
	sentWork  float64 // to all cold workers while they were cold
	capacity  float64 // what they can do in that time
	limit     float64 // what the rule permits in that time: fallMultiple times their capacity
	requests  int     // that arrived in total
}

// utilization returns the work that the cold workers were sent as a share of the work that they could do while they
// were cold.
func (f coldResult) utilization() float64 { return f.sentWork / f.capacity }

// unused returns the share of the limit of the cold workers that was left unused.
func (f coldResult) unused() float64 { return 1 - f.sentWork/f.limit }

func (f coldResult) String() string {
	return fmt.Sprintf(
		"N %5.1f, used %5.1f of %5.1f (%.2f; %.2f notified), %d overloads, %d avoidable; use %.2f, unused %.2f",
		f.allowed, f.used, f.budget, f.used/f.budget, f.byNotified/max(f.used, 1e-9), f.overloads, f.avoidable,
		f.utilization(), f.unused())
}

// fleetEvent is something that happens at a time. Events of the same time happen in the order in which they were
// scheduled.
type fleetEvent struct {
	at    int64
	order int
	run   func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q fleetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleetJob is one attempt at a worker.
type fleetJob struct {
	dispatcher, attempt int
	request             uint64
	work                float64
	done                bool
}

// fleetSend is work that was sent to a worker since its last cold start.
type fleetSend struct {
	at       int64
	work     float64
	notified bool
}

type fleetWorker struct {
	Worker
	cores, speed float64
	queue        []*fleetJob
	running      []*fleetJob
	isUp         bool
	notifiedAt   []int64 // by dispatcher: when it was notified of the last start
	sends        []fleetSend
}

func (w *fleetWorker) size() float64 { return w.cores * w.speed }

// fleetDispatcher is one balancer and the requests of its clients.
type fleetDispatcher struct {
	b           *Balancer
	work        map[uint64]float64
	open        map[uint64]bool
	attempts    map[uint64]int
	jobs        map[[2]uint64]*fleetJob
	workers     map[[2]uint64]*fleetWorker
	lastRequest uint64
}

type fleetSim struct {
	scenario    coldScenario
	mean        float64 // work of a job
	settings    Settings
	now         int64
	end         int64
	scheduled   int
	queue       fleetQueue
	random      *rand.Rand
	dispatchers []*fleetDispatcher
	workers     []*fleetWorker
	byID        map[string]*fleetWorker
	result      coldResult
}

// runColdScenario runs a scenario to the end of the ramp and returns its result.
func runColdScenario(t *testing.T, c coldScenario) coldResult {
	t.Helper()
	f := newFleetSim(t, c)
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(fleetEvent)
		if f.now = e.at; f.now >= f.end {
			break
		}
		e.run()
	}
	for _, w := range f.workers {
		f.recordSends(w)
	}
	return f.result
}

func newFleetSim(t *testing.T, c coldScenario) *fleetSim {
	t.Helper()
	f := &fleetSim{scenario: c, mean: cmp.Or(c.work, plainWork), settings: settings(), now: fleetEpoch,
		random: rand.New(rand.NewPCG(c.seed, 32)), byID: map[string]*fleetWorker{}}
	s := &f.settings
	s.Dispatchers, s.LiveWeights, s.Allowed.PeerMessages = c.dispatchers, c.liveWeights, c.peers
	s.Contract.ColdFrom, s.Contract.RampTime = c.coldFrom, c.rampTime
	s.Contract.FallMultiple, s.Contract.FallTime = c.fallMultiple, c.fallTime
	s.Classes = s.Classes[:2] // one that may be repeated and one that may not
	f.end = fleetRestart + c.rampTime
	if c.restartsTwice {
		f.end += c.rampTime / 2
	}
	rate := c.load * float64(c.workers) * c.cores * c.speed / f.mean * 1e6 // requests a second of all dispatchers
	if !c.noQuota {
		s.Tenants = []Tenant{{Name: "all", Quota: rate}}
	}
	for i := range c.workers {
		w := &fleetWorker{Worker: Worker{ID: fmt.Sprintf("w%d", i), Zone: "a", Kind: "std", Cell: i / 3},
			cores: c.cores, speed: c.speed, isUp: true, notifiedAt: make([]int64, c.dispatchers)}
		f.workers, f.byID[w.ID] = append(f.workers, w), w
	}
	for i := range c.cold {
		w := f.workers[i*c.workers/c.cold]
		if w.isUp = !c.joinsAsNew; !w.isUp {
			w.State = Gone
		}
		f.restart(w, fleetRestart)
		if c.restartsTwice {
			f.restart(w, fleetRestart+c.rampTime/2)
		}
	}
	for me := range c.dispatchers {
		s.Me, s.Seed = me, uint64(me+1)
		b, err := New(*s)
		if err != nil {
			t.Fatal(err)
		}
		f.dispatchers = append(f.dispatchers, &fleetDispatcher{b: b,
			work: map[uint64]float64{}, open: map[uint64]bool{}, attempts: map[uint64]int{},
			jobs: map[[2]uint64]*fleetJob{}, workers: map[[2]uint64]*fleetWorker{}})
		f.handle(me, Event{Kind: ListSnapshot, List: f.list()})
		if float64(me%10) < 10*c.killedShare {
			f.schedule(fleetRestart+c.rampTime/6, func() { f.kill(t, me) })
		}
		share := rate / float64(c.dispatchers)
		if c.unevenLoad && me%10 == 3 {
			share *= 4
		} else if c.unevenLoad {
			share *= 2. / 3
		}
		f.arrivals(me, share)
	}
	if c.liveWeights {
		for at := f.now + listEvery; at < f.end; at += listEvery {
			f.schedule(at, func() { f.sendList(f.list(), 0) })
		}
	}
	return f
}

// kill replaces a dispatcher by a new one that knows nothing but the list.
func (f *fleetSim) kill(t *testing.T, me int) {
	d := f.dispatchers[me]
	for key, j := range d.jobs {
		f.cancel(d.workers[key], j)
	}
	s := f.settings
	s.Me, s.Seed = me, uint64(me+1)
	b, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	d.b, d.work, d.open, d.attempts = b, map[uint64]float64{}, map[uint64]bool{}, map[uint64]int{}
	d.jobs, d.workers = map[[2]uint64]*fleetJob{}, map[[2]uint64]*fleetWorker{}
	f.handle(me, Event{Kind: ListSnapshot, List: f.list()})
}

func (f *fleetSim) schedule(at int64, run func()) {
	f.scheduled++
	heap.Push(&f.queue, fleetEvent{max(at, f.now), f.scheduled, run})
}

func (f *fleetSim) afterLatency(do func()) { f.schedule(f.now+fleetLatency, do) }

// list returns the current list of discovery.
func (f *fleetSim) list() (list []Worker) {
	for _, w := range f.workers {
		entry := w.Worker
		entry.Weight = f.weight(w)
		if f.scenario.liveWeights {
			entry.Weight /= 1 + float64(len(w.queue)+len(w.running))/w.cores
		}
		list = append(list, entry)
	}
	return list
}

// weight returns the weight of an idle worker in the list.
func (f *fleetSim) weight(w *fleetWorker) float64 { return w.size() / cmp.Or(f.scenario.weightUnit, 1) }

// sendList sends a list to all dispatchers, with an additional delay for those that are notified late.
func (f *fleetSim) sendList(list []Worker, lateBy int64) {
	for me := range f.dispatchers {
		delay := f.random.Int64N(listDelay)
		if f.isNotifiedLate(me) {
			delay += lateBy
		}
		f.schedule(f.now+delay, func() {
			for _, l := range list {
				if w := f.byID[l.ID]; l.StartedAt > 0 && l.StartedAt == w.StartedAt && w.notifiedAt[me] < l.StartedAt {
					if f.isNotifiedLate(me) && f.now < l.StartedAt+f.scenario.lateNotice {
						return // the list is from before the start
					}
					w.notifiedAt[me] = f.now
				}
			}
			f.handle(me, Event{Kind: ListPatch, List: list})
		})
	}
}

func (f *fleetSim) isNotifiedLate(me int) bool { return f.scenario.lateNotice > 0 && me%4 == 1 }

// restart starts a worker cold at a time. A worker that was up before is gone for a while.
func (f *fleetSim) restart(w *fleetWorker, at int64) {
	f.schedule(at-downFor, func() {
		if !w.isUp {
			return
		}
		f.recordSends(w)
		w.isUp, w.State = false, Gone
		for _, j := range slices.Concat(w.queue, w.running) {
			f.finish(w, j, ConnectionLost)
		}
		w.queue, w.running = nil, nil
		f.sendList([]Worker{w.Worker}, f.scenario.lateNotice)
	})
	f.schedule(at, func() {
		w.isUp, w.State, w.StartedAt, w.sends = true, Ready, at, nil
		entry := w.Worker
		entry.Weight = f.weight(w)
		f.sendList([]Worker{entry}, f.scenario.lateNotice)
	})
}

// warmShare returns the share of its capacity that a worker has.
func (f *fleetSim) warmShare(w *fleetWorker, at int64) float64 {
	if w.StartedAt == 0 {
		return 1
	}
	return min(f.scenario.coldFrom+(1-f.scenario.coldFrom)*float64(at-w.StartedAt)/float64(f.scenario.rampTime), 1)
}

func (f *fleetSim) arrivals(me int, rate float64) {
	gap := f.random.ExpFloat64() / rate * 1e6
	if f.now >= fleetBurst && f.scenario.burst > 0 {
		gap /= f.scenario.burst
	}
	f.schedule(f.now+int64(gap), func() {
		f.arrive(me)
		f.arrivals(me, rate)
	})
}

// logNormal draws a value from the log-normal distribution with mean 1 and a coefficient of variation.
func (f *fleetSim) logNormal(cv float64) float64 {
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	return math.Exp(f.random.NormFloat64()*sigma - sigma*sigma/2)
}

func (f *fleetSim) arrive(me int) {
	d := f.dispatchers[me]
	d.lastRequest++
	f.result.requests++
	id, work := d.lastRequest, f.mean*f.logNormal(workSpread)
	hint := work * f.logNormal(workSpread/2) * cmp.Or(f.scenario.hintBias, 1)
	e := Event{Kind: Arrival, Request: id, Class: safe, Due: f.now + 10e6, Hint: max(int64(hint), 1)}
	if f.scenario.noHints {
		e.Hint = 0
	}
	if f.scenario.noQuota {
		e.Tenant = -1
	}
	if f.random.Float64() < 0.25 {
		e.Class = unsafe
	}
	d.work[id], d.open[id] = work, true
	f.schedule(e.Due, func() {
		if d.open[id] {
			f.handle(me, Event{Kind: ClientGone, Request: id})
			f.forget(d, id)
		}
	})
	f.handle(me, e)
}

func (f *fleetSim) forget(d *fleetDispatcher, id uint64) {
	delete(d.open, id)
	delete(d.work, id)
	delete(d.attempts, id)
}

// handle passes an event to a balancer and carries out its actions.
func (f *fleetSim) handle(me int, e Event) {
	if e.Load == (Load{}) {
		e.Load = NoLoad
	}
	d := f.dispatchers[me]
	for _, a := range d.b.Handle(f.now, &e, nil) {
		switch a.Kind {
		case Send:
			f.send(me, a)
		case Refuse, Fail:
			f.forget(d, a.Request)
		case SetTimer:
			f.schedule(f.now+a.After, func() { f.handle(me, Event{Kind: TimerDue, Token: a.Token}) })
		case CancelAttempt:
			key := [2]uint64{a.Request, uint64(a.Attempt)}
			if j := d.jobs[key]; j != nil {
				f.afterLatency(func() { f.cancel(d.workers[key], j) })
			}
		case SendToPeer:
			if f.random.Float64() >= f.scenario.lostMessages {
				f.afterLatency(func() { f.handle(a.Peer, Event{Kind: PeerMessage, From: me, Data: a.Data}) })
			}
		}
	}
}

func (f *fleetSim) send(me int, a Action) {
	d, w := f.dispatchers[me], f.byID[a.Worker]
	j := &fleetJob{dispatcher: me, attempt: d.attempts[a.Request], request: a.Request, work: d.work[a.Request]}
	d.attempts[a.Request]++
	key := [2]uint64{a.Request, uint64(j.attempt)}
	d.jobs[key], d.workers[key] = j, w
	f.afterLatency(func() {
		if !w.isUp {
			f.finish(w, j, ConnectionRefused)
			return
		}
		if w.StartedAt > 0 && f.now < w.StartedAt+f.scenario.rampTime {
			w.sends = append(w.sends, fleetSend{f.now, j.work, w.notifiedAt[me] >= w.StartedAt})
		}
		if float64(len(w.queue)) >= queuePerCore*w.cores {
			f.finish(w, j, Saturated)
			return
		}
		w.queue = append(w.queue, j)
		f.startQueued(w)
	})
}

// startQueued starts the queued jobs for which a worker has cores.
func (f *fleetSim) startQueued(w *fleetWorker) {
	for len(w.queue) > 0 && float64(len(w.running)) < w.cores {
		j := w.queue[0]
		w.queue, w.running = w.queue[1:], append(w.running, j)
		f.afterLatency(func() {
			if !j.done {
				started := Event{Kind: JobStarted, Request: j.request, Attempt: j.attempt, Worker: w.ID}
				f.handle(j.dispatcher, started)
			}
		})
		f.schedule(f.now+int64(j.work/w.speed/f.warmShare(w, f.now)), func() {
			if i := slices.Index(w.running, j); i >= 0 {
				w.running = slices.Delete(w.running, i, i+1)
				f.finish(w, j, Completed)
				f.startQueued(w)
			}
		})
	}
}

func (f *fleetSim) cancel(w *fleetWorker, j *fleetJob) {
	is := func(o *fleetJob) bool { return o == j }
	if !j.done && (slices.Contains(w.queue, j) || slices.Contains(w.running, j)) {
		w.queue, w.running = slices.DeleteFunc(w.queue, is), slices.DeleteFunc(w.running, is)
		f.finish(w, j, Cancelled)
		f.startQueued(w)
	}
}

// finish notifies the dispatcher of a job that it has ended, with a load report in the answer.
func (f *fleetSim) finish(w *fleetWorker, j *fleetJob, o Outcome) {
	if j.done {
		return
	}
	j.done = true
	load := NoLoad
	if o == Completed {
		load.Queue, load.Free = float64(len(w.queue)), w.cores-float64(len(w.running))
	}
	f.afterLatency(func() {
		d := f.dispatchers[j.dispatcher]
		delete(d.jobs, [2]uint64{j.request, uint64(j.attempt)})
		delete(d.workers, [2]uint64{j.request, uint64(j.attempt)})
		f.handle(j.dispatcher,
			Event{Kind: AttemptDone, Request: j.request, Attempt: j.attempt, Worker: w.ID, Outcome: o,
				Final: o == Completed, Load: load})
		if o == Completed {
			f.forget(d, j.request)
		}
	})
}

// recordSends adds what a worker was sent since its start to the result. It checks the window that ends with each send.
func (f *fleetSim) recordSends(w *fleetWorker) {
	if w.StartedAt == 0 {
		return
	}
	until := min(f.now, w.StartedAt+f.scenario.rampTime)
	age := float64(until - w.StartedAt)
	mean := (f.scenario.coldFrom + f.warmShare(w, until)) / 2
	f.result.capacity += mean * w.size() * age / f.mean
	f.result.limit += f.scenario.fallMultiple * mean * w.size() * age / f.mean
	sum, notified, first, overloaded := 0.0, 0.0, 0, false
	for _, s := range w.sends {
		f.result.sentWork += s.work / f.mean
		sum += s.work / f.mean
		if s.notified {
			notified += s.work / f.mean
		}
		for ; w.sends[first].at <= s.at-f.scenario.fallTime; first++ {
			sum -= w.sends[first].work / f.mean
			if w.sends[first].notified {
				notified -= w.sends[first].work / f.mean
			}
		}
		allowed := f.scenario.fallMultiple * f.warmShare(w, s.at) * w.size() * float64(f.scenario.fallTime) / f.mean
		budget := allowed + 2*math.Sqrt(allowed) + 2
		if f.result.budget == 0 || sum/budget > f.result.used/f.result.budget {
			f.result.allowed, f.result.used, f.result.budget, f.result.byNotified = allowed, sum, budget, notified
		}
		if sum > budget && !overloaded {
			overloaded = true
			f.result.overloads++
			if notified > sum*2/3 {
				f.result.avoidable++
			}
		}
	}
	w.sends = nil
}
