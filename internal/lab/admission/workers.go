package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"topazfall"
)

const (
	queuePerCore  = 10     // jobs that wait at a worker; beyond this it rejects jobs
	speedVariance = 0.15   // the speed of a worker differs by up to this share from that of its kind
	progressEvery = second // between two progress notes of a running job
)

// workerKind is a kind of machine.
type workerKind struct {
	name  string
	cores int
	speed float64 // of a core, relative to a standard core
}

var workerKinds = []workerKind{{"fast", 5, 1.6}, {"standard", 5, 1.0}, {"slow", 7, 0.6}}

// worker runs one job per core, in the order in which the jobs arrive.
type worker struct {
	id      string
	kind    workerKind
	zone    zone
	speed   float64
	queue   []*attempt
	running int
}

// newWorkers returns workers of all kinds, half of them in each zone.
func newWorkers(random *rand.Rand, count int) (workers []*worker) {
	for i := range count {
		kind := workerKinds[i%len(workerKinds)]
		speed := kind.speed * uniform(random, 1-speedVariance, 1+speedVariance)
		w := &worker{id: fmt.Sprintf("worker-%d", i), kind: kind, zone: zone(i / len(workerKinds) % zoneCount)}
		w.speed = speed
		workers = append(workers, w)
	}
	return workers
}

// size returns the capacity of the worker in standard cores.
func (w *worker) size() float64 { return float64(w.kind.cores) * w.speed }

// hasFreeSlot reports whether a job that arrived now would start at once.
func (w *worker) hasFreeSlot() bool { return w.running < w.kind.cores }

// isFull reports whether the worker would reject a job that arrived now.
func (w *worker) isFull() bool { return !w.hasFreeSlot() && len(w.queue) >= queuePerCore*w.kind.cores }

// load returns the worker's load report.
func (w *worker) load() topazfall.Load {
	running, cores := float64(w.running), float64(w.kind.cores)
	return topazfall.Load{Queue: float64(len(w.queue)), Inflight: running, Free: cores - running, Util: running / cores}
}

// entry returns the worker's entry in the list. Its weight goes by the nominal speed of its kind: machines of a kind
// have the same size, as topazfall.Settings says of live weights.
func (w *worker) entry(reports Reports) topazfall.Worker {
	weight := float64(w.kind.cores) * w.kind.speed
	if reports == Weights {
		weight /= 1 + float64(len(w.queue)+w.running)/float64(w.kind.cores)
	}
	return topazfall.Worker{ID: w.id, Zone: w.zone.String(), Kind: w.kind.name, State: topazfall.Ready, Weight: weight}
}

// receiveJob processes a job that has arrived at a worker.
func (m *model) receiveJob(a *attempt) {
	w := a.worker
	if w.isFull() {
		m.answer(a, topazfall.Saturated, w.load())
		return
	}
	w.queue = append(w.queue, a)
	m.startQueued(w)
}

// startQueued starts the queued jobs for which a worker has free cores.
func (m *model) startQueued(w *worker) {
	for len(w.queue) > 0 && w.hasFreeSlot() {
		a := w.queue[0]
		w.queue = w.queue[1:]
		w.running++
		m.run(a)
	}
}

// run starts a job. A job that has started runs to its end, even if it is cancelled.
func (m *model) run(a *attempt) {
	duration := int64(float64(a.submission.request.work) / a.worker.speed)
	m.notify(a, topazfall.Event{Kind: topazfall.JobStarted})
	for ran := progressEvery; ran < duration; ran += progressEvery {
		m.after(ran, func() {
			m.notify(a, topazfall.Event{Kind: topazfall.JobProgress, Amount: float64(ran) / float64(duration)})
		})
	}
	m.after(duration, func() {
		a.worker.running--
		m.startQueued(a.worker)
		load := topazfall.NoLoad
		if m.scenario.Reports == Answers {
			load = a.worker.load()
		}
		m.answer(a, topazfall.Completed, load)
	})
}

// dropQueued removes a cancelled job from the queue of its worker if it has not started.
func (m *model) dropQueued(a *attempt) {
	a.worker.queue = slices.DeleteFunc(a.worker.queue, func(queued *attempt) bool { return queued == a })
}
