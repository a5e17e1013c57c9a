package scale

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	jsoniter "github.com/json-iterator/go"

	"topazfall"
	"topazfall/internal/config"
	"topazfall/internal/decide/gossip"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/program"
)

// DecisionModule measures the decision module alone: the processor time of each event over the number of workers and of
// teams.
type DecisionModule struct{}

// Name implements Measurement.
func (DecisionModule) Name() string { return "decision module alone" }

// Metrics of the module, and the axes of all measurements.
const (
	metricModuleSnapshot = "module: a whole list"
	metricModulePatch    = "module: a patch of one worker"
	metricModulePatchAll = "module: a patch of all workers"
	metricModuleGossip   = "module: a word of another dispatcher"
	metricModuleRequest  = "module: a request, with its events"
	metricModuleHeap     = "module: memory"

	axisWorkers     = "workers"
	axisTeams       = "teams"
	axisDispatchers = "dispatchers"
	axisChanges     = "changes a second"
	axisRegions     = "regions cut"
)

// Sizes in two years: the operators gave the numbers of workers and teams; the number of dispatchers is assumed.
const (
	sizeWorkers     = 5500
	sizeTeams       = 490
	sizeDispatchers = 300
)

const (
	valuesPerPoint = 5                     // measured values at each position of an axis
	minSampleTime  = 20 * time.Millisecond // minimum processor time over which a value is measured
	requestMicros  = 200_000               // time that a request takes at a worker, in microseconds
)

// Measure implements Measurement.
func (m DecisionModule) Measure(ctx context.Context, b *Bench) error {
	for _, workers := range pick(b, []int{200, 800, 1600, 3000, sizeWorkers}, []int{200, 500, 1000, 2000, 3500,
		sizeWorkers}) {
		if err := m.measureSize(ctx, b, axisWorkers, workers, sizeTeams, float64(workers)); err != nil {
			return err
		}
	}
	for _, teams := range []int{6, 50, 120, 250, sizeTeams} {
		if err := m.measureSize(ctx, b, axisTeams, 1000, teams, float64(teams)); err != nil {
			return err
		}
	}
	return nil
}

// moduleDriver feeds events into a decision module, with a clock of its own.
type moduleDriver struct {
	module  *topazfall.Balancer
	now     int64
	actions []topazfall.Action
	fleet   []topazfall.Worker
	teams   int
	request uint64
	random  *rand.Rand
}

// newModuleDriver returns a driver of a new decision module for one dispatcher of the setup.
func newModuleDriver(setup Setup, seed uint64) (*moduleDriver, error) {
	settingsObject := program.Settings(program.Options{})
	setup.configure(settingsObject, setup.Dispatchers/2)
	text, err := jsoniter.Marshal(settingsObject)
	if err != nil {
		return nil, err
	}
	settings, err := config.ParseSettings(seed, text)
	if err != nil {
		return nil, err
	}
	module, err := topazfall.New(settings)
	if err != nil {
		return nil, err
	}
	d := &moduleDriver{module: module, now: time.Now().UnixMicro(), teams: setup.Teams,
		random: rand.New(rand.NewPCG(seed, 3))}
	for _, e := range Fleet(setup.Workers, time.Now()) {
		d.fleet = append(d.fleet, workerFromEntry(e))
	}
	return d, nil
}

// workerFromEntry converts a list entry to a worker as the decision module knows it.
func workerFromEntry(e discoveryserver.Entry) topazfall.Worker {
	return topazfall.Worker{ID: e.Host, Zone: e.Site, Kind: e.Class, Cell: e.Block, Weight: e.Share,
		StartedAt: e.StartedMillis * 1000}
}

// handle advances the clock by 1 ms and passes an event to the module.
func (d *moduleDriver) handle(e topazfall.Event) {
	d.now += 1000
	d.actions = d.module.Handle(d.now, &e, d.actions[:0])
}

// reweight gives a worker a random live weight.
func (d *moduleDriver) reweight(w *topazfall.Worker) {
	w.Weight = workerCores / (1 + float64(d.random.IntN(2*workerCores))/workerCores)
}

// sendSnapshot passes the whole list, with new weights.
func (d *moduleDriver) sendSnapshot() {
	d.reweightAll()
	d.handle(topazfall.Event{Kind: topazfall.ListSnapshot, List: d.fleet})
}

// sendPatchAll passes new weights of all workers in one patch.
func (d *moduleDriver) sendPatchAll() {
	d.reweightAll()
	d.handle(topazfall.Event{Kind: topazfall.ListPatch, List: d.fleet})
}

func (d *moduleDriver) reweightAll() {
	for i := range d.fleet {
		d.reweight(&d.fleet[i])
	}
}

// sendPatch passes a new weight of one random worker.
func (d *moduleDriver) sendPatch() {
	i := d.random.IntN(len(d.fleet))
	d.reweight(&d.fleet[i])
	d.handle(topazfall.Event{Kind: topazfall.ListPatch, List: d.fleet[i : i+1]})
}

// sendGossip passes a gossip message about a random worker: alternately that a request was sent to it and that one has
// ended there.
func (d *moduleDriver) sendGossip() {
	op := []gossip.Op{gossip.Sent, gossip.Ended}[d.request%2]
	d.request++
	message := gossip.Message{Op: op, At: d.now, Host: gossip.HostHash(d.fleet[d.random.IntN(len(d.fleet))].ID),
		Work: requestMicros}
	d.handle(topazfall.Event{Kind: topazfall.PeerMessage, From: 0, Data: message.Append(nil)})
}

// serveRequest passes the events of one request, from its arrival to its answer.
func (d *moduleDriver) serveRequest() {
	d.request++
	d.handle(topazfall.Event{Kind: topazfall.Arrival, Request: d.request, Tenant: int(d.request) % d.teams,
		Due:  d.now + 5_000_000,
		Hint: requestMicros})
	for _, a := range d.actions {
		if a.Kind == topazfall.Send && a.Request == d.request {
			d.now += requestMicros
			d.handle(topazfall.Event{Kind: topazfall.AttemptDone, Request: d.request, Worker: a.Worker,
				Outcome: topazfall.Completed,
				Elapsed: requestMicros, Final: true, Load: topazfall.NoLoad})
			return
		}
	}
}

// measureSize measures the module with the given numbers of workers and teams, and adds the values at x.
func (DecisionModule) measureSize(ctx context.Context, b *Bench, axis string, workers, teams int, x float64) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	driver, err := newModuleDriver(Setup{Workers: workers, Dispatchers: sizeDispatchers, Teams: teams,
		LiveWeights: true}, b.Seed)
	if err != nil {
		return err
	}
	heapBefore := heapBytes()
	driver.handle(topazfall.Event{Kind: topazfall.ListSnapshot, List: driver.fleet})
	b.Add(metricModuleHeap, axis, "MB", sourceModule, x, (heapBytes()-heapBefore)/1e6)
	const us = 1e6
	for range valuesPerPoint {
		b.Add(metricModulePatch, axis, "us", sourceModule, x, cpuPerCall(driver.sendPatch)*us)
		b.Add(metricModuleRequest, axis, "us", sourceModule, x, cpuPerCall(driver.serveRequest)*us)
		b.Add(metricModuleGossip, axis, "us", sourceModule, x, cpuPerCall(driver.sendGossip)*us)
		if axis == axisWorkers {
			b.Add(metricModuleSnapshot, axis, "us", sourceModule, x, cpuPerCall(driver.sendSnapshot)*us)
			b.Add(metricModulePatchAll, axis, "us", sourceModule, x, cpuPerCall(driver.sendPatchAll)*us)
		}
	}
	return nil
}

// cpuPerCall returns the processor time of one call in seconds. It counts the time of the whole process, including
// garbage collection.
func cpuPerCall(call func()) float64 {
	runtime.GC()
	start, calls := processTime(), 0
	for batch := 1; processTime()-start < minSampleTime; batch *= 2 {
		for range batch {
			call()
		}
		calls += batch
	}
	return (processTime() - start).Seconds() / float64(calls)
}

// heapBytes returns the live heap in bytes, after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
