package topazfall

// A fleet in virtual time: real balancers, workers that queue and warm up, lists, answers and peer messages
// that take their time. It counts what a cold worker is sent by all dispatchers together. Seeded: every run of
// a scenario is the same.

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
	fleetRestart = fleetEpoch + int64(6e6) // when workers come up cold: balancers have learned by then
	fleetBurst   = fleetRestart - int64(1e6)
	fleetLatency = int64(2e3)    // of a message between dispatcher, worker and peer
	listEvery    = int64(1e6)    // between two lists with live weights
	listDelay    = int64(400e3)  // by which a list is late at most
	downFor      = int64(1500e3) // a worker that returns under its id was gone for so long
	plainWork    = 300e3         // mean work of a job, in microseconds of a standard core
	queuePerCore = 7             // beyond that a worker turns jobs away, which press on it all the same
	workSpread   = 0.6           // coefficient of variation of the work, and half of it that of hints
)

// coldScenario is a fleet of which some workers are cold. The zero value of a field is the plain case.
type coldScenario struct {
	dispatchers, workers, cold int
	cores, speed               float64
	work                       float64 // mean work of a job; 0 for plainWork
	load                       float64 // work offered, as a share of what the fleet bears warm
	burst                      float64 // by which the load is multiplied from just before the start on
	uneven                     bool    // one dispatcher in ten gets four times the mean
	peers                      bool
	lost                       float64 // share of the peer messages that are lost
	live                       bool    // live weights
	weightUnit                 float64 // of the list's weights, in standard cores; 0 for 1
	noHints, noQuota           bool
	hintBias                   float64 // of the work that hints tell; 0 for 1
	// share of the dispatchers killed early in the ramp, and back with nothing learned
	restarted          float64
	joins              bool  // the cold workers are new, not back under their old ids
	twice              bool  // they return once more, half of the ramp later
	lateTold           int64 // one dispatcher in four is told of the start so much later
	coldFrom           float64
	rampTime, fallTime int64
	multiple           float64
	seed               uint64
}

// coldFigures is what the cold workers of a scenario were sent, in requests of mean work.
type coldFigures struct {
	allowed  float64 // N of the window that is fullest, as a share of its budget
	used     float64 // in that window
	budget   float64 // N + 2 sqrt(N) + 2
	byTold   float64 // of used, from dispatchers that had been told of the start
	falls    int     // workers that got more than the budget in a window
	broken   int     // of these, how many of whose first fall over two thirds came from dispatchers that had been told
	sent     float64 // to all cold workers while they were cold
	bears    float64 // what they can do in that time
	permit   float64 // what the rule permits in that time: the multiple of what they can do
	requests int     // that arrived in all
}

// use is what the cold workers were sent, as a share of what they can do while they are cold.
func (f coldFigures) use() float64 { return f.sent / f.bears }

// left is the share of what the rule permits while they are cold that was not used.
func (f coldFigures) left() float64 { return 1 - f.sent/f.permit }

func (f coldFigures) String() string {
	return fmt.Sprintf(
		"N %5.1f, used %5.1f of %5.1f (%.2f; %.2f by who was told), %d falls, %d broken; use %.2f, left %.2f",
		f.allowed, f.used, f.budget, f.used/f.budget, f.byTold/max(f.used, 1e-9), f.falls, f.broken, f.use(), f.left())
}

// fleetEvent is a thing that happens at a time; events of one time happen in the order in which they were
// planned.
type fleetEvent struct {
	at   int64
	rank int
	do   func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].rank < q[j].rank
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
	over                bool
}

// fleetSend is work that was sent to a worker since it came up cold.
type fleetSend struct {
	at   int64
	work float64
	told bool
}

type fleetWorker struct {
	Worker
	cores, speed float64
	queue        []*fleetJob
	running      []*fleetJob
	up           bool
	told         []int64 // by dispatcher: when it learned of the last start
	sends        []fleetSend
}

func (w *fleetWorker) size() float64 { return w.cores * w.speed }

// fleetDispatcher is one balancer, and the requests that its clients wait for.
type fleetDispatcher struct {
	b       *Balancer
	works   map[uint64]float64
	open    map[uint64]bool
	tries   map[uint64]int
	jobs    map[[2]uint64]*fleetJob
	homes   map[[2]uint64]*fleetWorker
	arrived uint64
}

type fleetSim struct {
	c       coldScenario
	mean    float64 // work of a job
	s       Settings
	now     int64
	end     int64
	planned int
	queue   fleetQueue
	random  *rand.Rand
	all     []*fleetDispatcher
	workers []*fleetWorker
	byID    map[string]*fleetWorker
	figures coldFigures
}

// playCold plays a scenario to the end of the ramp and returns its figures.
func playCold(t *testing.T, c coldScenario) coldFigures {
	t.Helper()
	f := newFleetSim(t, c)
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(fleetEvent)
		if f.now = e.at; f.now >= f.end {
			break
		}
		e.do()
	}
	for _, w := range f.workers {
		f.count(w)
	}
	return f.figures
}

func newFleetSim(t *testing.T, c coldScenario) *fleetSim {
	t.Helper()
	f := &fleetSim{c: c, mean: cmp.Or(c.work, plainWork), s: settings(), now: fleetEpoch,
		random: rand.New(rand.NewPCG(c.seed, 32)), byID: map[string]*fleetWorker{}}
	s := &f.s
	s.Dispatchers, s.LiveWeights, s.Allowed.PeerMessages = c.dispatchers, c.live, c.peers
	s.Contract.ColdFrom, s.Contract.RampTime = c.coldFrom, c.rampTime
	s.Contract.FallMultiple, s.Contract.FallTime = c.multiple, c.fallTime
	s.Classes = s.Classes[:2] // one that may be repeated and one that may not
	f.end = fleetRestart + c.rampTime
	if c.twice {
		f.end += c.rampTime / 2
	}
	rate := c.load * float64(c.workers) * c.cores * c.speed / f.mean * 1e6 // requests a second of all dispatchers
	if !c.noQuota {
		s.Tenants = []Tenant{{Name: "all", Quota: rate}}
	}
	for i := range c.workers {
		w := &fleetWorker{Worker: Worker{ID: fmt.Sprintf("w%d", i), Zone: "a", Kind: "std", Cell: i / 3},
			cores: c.cores, speed: c.speed, up: true, told: make([]int64, c.dispatchers)}
		f.workers, f.byID[w.ID] = append(f.workers, w), w
	}
	for i := range c.cold {
		w := f.workers[i*c.workers/c.cold]
		if w.up = !c.joins; !w.up {
			w.State = Gone
		}
		f.restart(w, fleetRestart)
		if c.twice {
			f.restart(w, fleetRestart+c.rampTime/2)
		}
	}
	for me := range c.dispatchers {
		s.Me, s.Seed = me, uint64(me+1)
		b, err := New(*s)
		if err != nil {
			t.Fatal(err)
		}
		f.all = append(f.all, &fleetDispatcher{b: b,
			works: map[uint64]float64{}, open: map[uint64]bool{}, tries: map[uint64]int{},
			jobs: map[[2]uint64]*fleetJob{}, homes: map[[2]uint64]*fleetWorker{}})
		f.handle(me, Event{Kind: ListSnapshot, List: f.list()})
		if float64(me%10) < 10*c.restarted {
			f.at(fleetRestart+c.rampTime/6, func() { f.kill(t, me) })
		}
		share := rate / float64(c.dispatchers)
		if c.uneven && me%10 == 3 {
			share *= 4
		} else if c.uneven {
			share *= 2. / 3
		}
		f.arrivals(me, share)
	}
	if c.live {
		for at := f.now + listEvery; at < f.end; at += listEvery {
			f.at(at, func() { f.tell(f.list(), 0) })
		}
	}
	return f
}

// kill has a dispatcher end, and another take its place that knows nothing but the list.
func (f *fleetSim) kill(t *testing.T, me int) {
	d := f.all[me]
	for key, j := range d.jobs {
		f.cancel(d.homes[key], j)
	}
	s := f.s
	s.Me, s.Seed = me, uint64(me+1)
	b, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	d.b, d.works, d.open, d.tries = b, map[uint64]float64{}, map[uint64]bool{}, map[uint64]int{}
	d.jobs, d.homes = map[[2]uint64]*fleetJob{}, map[[2]uint64]*fleetWorker{}
	f.handle(me, Event{Kind: ListSnapshot, List: f.list()})
}

func (f *fleetSim) at(at int64, do func()) {
	f.planned++
	heap.Push(&f.queue, fleetEvent{max(at, f.now), f.planned, do})
}

func (f *fleetSim) later(do func()) { f.at(f.now+fleetLatency, do) }

// list is what discovery has now.
func (f *fleetSim) list() (list []Worker) {
	for _, w := range f.workers {
		entry := w.Worker
		entry.Weight = f.weight(w)
		if f.c.live {
			entry.Weight /= 1 + float64(len(w.queue)+len(w.running))/w.cores
		}
		list = append(list, entry)
	}
	return list
}

// weight is what the list says of the size of an idle worker.
func (f *fleetSim) weight(w *fleetWorker) float64 { return w.size() / cmp.Or(f.c.weightUnit, 1) }

// tell has all dispatchers hear of a list, those that are told late so much later.
func (f *fleetSim) tell(list []Worker, late int64) {
	for me := range f.all {
		delay := f.random.Int64N(listDelay)
		if f.isLate(me) {
			delay += late
		}
		f.at(f.now+delay, func() {
			for _, l := range list {
				if w := f.byID[l.ID]; l.StartedAt > 0 && l.StartedAt == w.StartedAt && w.told[me] < l.StartedAt {
					if f.isLate(me) && f.now < l.StartedAt+f.c.lateTold {
						return // all that it hears is of before the start
					}
					w.told[me] = f.now
				}
			}
			f.handle(me, Event{Kind: ListPatch, List: list})
		})
	}
}

func (f *fleetSim) isLate(me int) bool { return f.c.lateTold > 0 && me%4 == 1 }

// restart has a worker come up cold at a time. One that was there before is gone for a while.
func (f *fleetSim) restart(w *fleetWorker, at int64) {
	f.at(at-downFor, func() {
		if !w.up {
			return
		}
		f.count(w)
		w.up, w.State = false, Gone
		for _, j := range slices.Concat(w.queue, w.running) {
			f.done(w, j, ConnectionLost)
		}
		w.queue, w.running = nil, nil
		f.tell([]Worker{w.Worker}, f.c.lateTold)
	})
	f.at(at, func() {
		w.up, w.State, w.StartedAt, w.sends = true, Ready, at, nil
		entry := w.Worker
		entry.Weight = f.weight(w)
		f.tell([]Worker{entry}, f.c.lateTold)
	})
}

// warm is the share of its capacity that a worker has.
func (f *fleetSim) warm(w *fleetWorker, at int64) float64 {
	if w.StartedAt == 0 {
		return 1
	}
	return min(f.c.coldFrom+(1-f.c.coldFrom)*float64(at-w.StartedAt)/float64(f.c.rampTime), 1)
}

func (f *fleetSim) arrivals(me int, rate float64) {
	gap := f.random.ExpFloat64() / rate * 1e6
	if f.now >= fleetBurst && f.c.burst > 0 {
		gap /= f.c.burst
	}
	f.at(f.now+int64(gap), func() {
		f.arrive(me)
		f.arrivals(me, rate)
	})
}

// spread draws a value with mean 1 and a coefficient of variation.
func (f *fleetSim) spread(cv float64) float64 {
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	return math.Exp(f.random.NormFloat64()*sigma - sigma*sigma/2)
}

func (f *fleetSim) arrive(me int) {
	d := f.all[me]
	d.arrived++
	f.figures.requests++
	id, work := d.arrived, f.mean*f.spread(workSpread)
	hint := work * f.spread(workSpread/2) * cmp.Or(f.c.hintBias, 1)
	e := Event{Kind: Arrival, Request: id, Class: safe, Due: f.now + 10e6, Hint: max(int64(hint), 1)}
	if f.c.noHints {
		e.Hint = 0
	}
	if f.c.noQuota {
		e.Tenant = -1
	}
	if f.random.Float64() < 0.25 {
		e.Class = unsafe
	}
	d.works[id], d.open[id] = work, true
	f.at(e.Due, func() {
		if d.open[id] {
			f.handle(me, Event{Kind: ClientGone, Request: id})
			f.forget(d, id)
		}
	})
	f.handle(me, e)
}

func (f *fleetSim) forget(d *fleetDispatcher, id uint64) {
	delete(d.open, id)
	delete(d.works, id)
	delete(d.tries, id)
}

// handle gives a balancer an event and carries out what it wants.
func (f *fleetSim) handle(me int, e Event) {
	if e.Load == (Load{}) {
		e.Load = NoLoad
	}
	d := f.all[me]
	for _, a := range d.b.Handle(f.now, &e, nil) {
		switch a.Kind {
		case Send:
			f.send(me, a)
		case Refuse, Fail:
			f.forget(d, a.Request)
		case SetTimer:
			f.at(f.now+a.After, func() { f.handle(me, Event{Kind: TimerDue, Token: a.Token}) })
		case CancelAttempt:
			key := [2]uint64{a.Request, uint64(a.Attempt)}
			if j := d.jobs[key]; j != nil {
				f.later(func() { f.cancel(d.homes[key], j) })
			}
		case SendToPeer:
			if f.random.Float64() >= f.c.lost {
				f.later(func() { f.handle(a.Peer, Event{Kind: PeerMessage, From: me, Data: a.Data}) })
			}
		}
	}
}

func (f *fleetSim) send(me int, a Action) {
	d, w := f.all[me], f.byID[a.Worker]
	j := &fleetJob{dispatcher: me, attempt: d.tries[a.Request], request: a.Request, work: d.works[a.Request]}
	d.tries[a.Request]++
	key := [2]uint64{a.Request, uint64(j.attempt)}
	d.jobs[key], d.homes[key] = j, w
	f.later(func() {
		if !w.up {
			f.done(w, j, ConnectionRefused)
			return
		}
		if w.StartedAt > 0 && f.now < w.StartedAt+f.c.rampTime {
			w.sends = append(w.sends, fleetSend{f.now, j.work, w.told[me] >= w.StartedAt})
		}
		if float64(len(w.queue)) >= queuePerCore*w.cores {
			f.done(w, j, Saturated)
			return
		}
		w.queue = append(w.queue, j)
		f.work(w)
	})
}

// work has a worker begin what it has slots for.
func (f *fleetSim) work(w *fleetWorker) {
	for len(w.queue) > 0 && float64(len(w.running)) < w.cores {
		j := w.queue[0]
		w.queue, w.running = w.queue[1:], append(w.running, j)
		f.later(func() {
			if !j.over {
				started := Event{Kind: JobStarted, Request: j.request, Attempt: j.attempt, Worker: w.ID}
				f.handle(j.dispatcher, started)
			}
		})
		f.at(f.now+int64(j.work/w.speed/f.warm(w, f.now)), func() {
			if i := slices.Index(w.running, j); i >= 0 {
				w.running = slices.Delete(w.running, i, i+1)
				f.done(w, j, Completed)
				f.work(w)
			}
		})
	}
}

func (f *fleetSim) cancel(w *fleetWorker, j *fleetJob) {
	is := func(o *fleetJob) bool { return o == j }
	if !j.over && (slices.Contains(w.queue, j) || slices.Contains(w.running, j)) {
		w.queue, w.running = slices.DeleteFunc(w.queue, is), slices.DeleteFunc(w.running, is)
		f.done(w, j, Cancelled)
		f.work(w)
	}
}

// done has the dispatcher of a job hear of its end, with a load report in the answer.
func (f *fleetSim) done(w *fleetWorker, j *fleetJob, o Outcome) {
	if j.over {
		return
	}
	j.over = true
	load := NoLoad
	if o == Completed {
		load.Queue, load.Free = float64(len(w.queue)), w.cores-float64(len(w.running))
	}
	f.later(func() {
		d := f.all[j.dispatcher]
		delete(d.jobs, [2]uint64{j.request, uint64(j.attempt)})
		delete(d.homes, [2]uint64{j.request, uint64(j.attempt)})
		f.handle(j.dispatcher,
			Event{Kind: AttemptDone, Request: j.request, Attempt: j.attempt, Worker: w.ID, Outcome: o,
				Final: o == Completed, Load: load})
		if o == Completed {
			f.forget(d, j.request)
		}
	})
}

// count takes what a worker was sent in this life into the figures: for every send the window that ends with
// it.
func (f *fleetSim) count(w *fleetWorker) {
	if w.StartedAt == 0 {
		return
	}
	until := min(f.now, w.StartedAt+f.c.rampTime)
	age := float64(until - w.StartedAt)
	mean := (f.c.coldFrom + f.warm(w, until)) / 2
	f.figures.bears += mean * w.size() * age / f.mean
	f.figures.permit += f.c.multiple * mean * w.size() * age / f.mean
	sum, told, first, fell := 0.0, 0.0, 0, false
	for _, s := range w.sends {
		f.figures.sent += s.work / f.mean
		sum += s.work / f.mean
		if s.told {
			told += s.work / f.mean
		}
		for ; w.sends[first].at <= s.at-f.c.fallTime; first++ {
			sum -= w.sends[first].work / f.mean
			if w.sends[first].told {
				told -= w.sends[first].work / f.mean
			}
		}
		allowed := f.c.multiple * f.warm(w, s.at) * w.size() * float64(f.c.fallTime) / f.mean
		budget := allowed + 2*math.Sqrt(allowed) + 2
		if f.figures.budget == 0 || sum/budget > f.figures.used/f.figures.budget {
			f.figures.allowed, f.figures.used, f.figures.budget, f.figures.byTold = allowed, sum, budget, told
		}
		if sum > budget && !fell {
			fell = true
			f.figures.falls++
			if told > sum*2/3 {
				f.figures.broken++
			}
		}
	}
	w.sends = nil
}
