// Package admission simulates how the admission control of a fleet of dispatchers behaves as their number grows, in
// virtual time. The balancers are real; the clients, the workers, the worker list and the network are modelled from one
// seed. A seed reproduces its run exactly.
//
// The model assumes that workers do not fail or pause, that every note, answer and list arrives unless a cut between
// the zones loses it, and that the time between client and dispatcher is negligible.
package admission

import (
	"fmt"
	"math/rand/v2"

	"topazfall"
)

// Times between two pushes of the worker list.
const (
	minListInterval = 200 * millisecond
	maxListInterval = 1200 * millisecond
)

// model is the state of a run.
type model struct {
	scheduler
	scenario         Scenario
	network, traffic *rand.Rand
	classes          []jobClass
	tenants          []*tenant
	commonBurst      burst // of the traffic of all tenants
	workers          []*worker
	workersByID      map[string]*worker
	dispatchers      []*dispatcher
	trafficSums      []float64 // see cumulativeTraffic
	cut              cut
	measuredFrom     int64
	measuredUntil    int64
	listVersion      int
	result           *Result
}

// Simulate runs a scenario.
func Simulate(s Scenario) (*Result, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	m, err := newModel(s)
	if err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	m.start()
	m.runUntil(m.endTime())
	m.result.complete(m)
	return m.result, nil
}

// endTime returns the time at which the last request has its answer.
func (m *model) endTime() int64 { return m.measuredUntil + maxDeadline(m.classes) + 2*clientSlack }

// newModel returns a model in which nothing has happened.
func newModel(s Scenario) (*model, error) {
	fleet := newRandom(s.Seed, fleetStream)
	m := &model{scheduler: scheduler{now: startTime}, scenario: s, network: newRandom(s.Seed, networkStream),
		traffic: newRandom(s.Seed, trafficStream), classes: jobClasses(s.Classes),
		workers: newWorkers(fleet, s.workerCount()), workersByID: map[string]*worker{}, cut: newCut(s.Cut),
		measuredFrom: startTime + warmupTime}
	m.measuredUntil = m.measuredFrom + s.measuredTime()
	m.result = newResult(s, len(m.workers), s.measuredTime())
	for _, w := range m.workers {
		m.workersByID[w.id] = w
	}
	capacity := m.capacity()
	rate := s.Load * capacity
	if s.Shape == Bursty { // the bursts of a tenant and those of all are independent
		rate /= meanBurstFactor() * meanBurstFactor()
	}
	m.tenants = newTenants(fleet, capacity, rate)
	m.trafficSums = cumulativeTraffic(fleet, s.Dispatchers)
	var err error
	m.dispatchers, err = newDispatchers(s, balancerSettings(s, m.classes, m.tenants))
	return m, err
}

// capacity returns the number of requests a second that the workers can serve.
func (m *model) capacity() float64 {
	size := 0.0
	for _, w := range m.workers {
		size += w.size()
	}
	return size * float64(second) / meanWork(m.classes)
}

// start schedules what happens by itself: the dispatchers' starts, the lists and the clients' requests.
func (m *model) start() {
	for _, d := range m.dispatchers {
		m.after(uniformTime(m.network, 0, startSpread), func() { m.deliverList(d, m.list(), m.listVersion) })
	}
	m.after(startSpread, func() {
		for i := range m.tenants {
			m.scheduleArrivals(i)
		}
	})
	if m.scenario.Reports == Weights {
		m.after(startSpread, m.pushLists)
	}
}

// list returns the current list of the workers.
func (m *model) list() (list []topazfall.Worker) {
	for _, w := range m.workers {
		list = append(list, w.entry(m.scenario.Reports))
	}
	return list
}

// pushLists sends the list to all dispatchers, again and again. Lists that cross zones during a cut come late, and none
// arrives while the list is silent.
func (m *model) pushLists() {
	m.listVersion++
	list, version := m.list(), m.listVersion
	for _, d := range m.dispatchers {
		delay := uniformTime(m.network, minListDelay, maxListDelay)
		if m.cut.separates(m.now, listZone, d.zone) {
			delay += listCutDelay
		}
		if silentUntil := m.cut.from + m.scenario.SilentList.Microseconds(); m.now >= m.cut.from {
			delay = max(delay, silentUntil-m.now)
		}
		m.after(delay, func() { m.deliverList(d, list, version) })
	}
	m.after(uniformTime(m.network, minListInterval, maxListInterval), m.pushLists)
}

// deliverList gives a dispatcher a list, unless it has a later one.
func (m *model) deliverList(d *dispatcher, list []topazfall.Worker, version int) {
	if version < d.listVersion {
		return
	}
	d.listVersion = version
	m.handle(d, &topazfall.Event{Kind: topazfall.ListSnapshot, List: list})
}
