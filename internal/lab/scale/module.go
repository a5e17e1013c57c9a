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

// DecisionModule measures the decision module alone: processor time for each event over workers and over teams.
type DecisionModule struct{}

// Name implements Measurement.
func (DecisionModule) Name() string { return "decision module alone" }

// Figures of the module.
const (
	figureWhole   = "module: a whole list"
	figurePatch   = "module: a patch of one worker"
	figurePatches = "module: a patch of all workers"
	figureWord    = "module: a word of another dispatcher"
	figureRequest = "module: a request, with its events"
	figureHeap    = "module: memory"

	axisWorkers     = "workers"
	axisTeams       = "teams"
	axisDispatchers = "dispatchers"
	axisChanges     = "changes a second"
	axisRegions     = "regions cut"
)

// Sizes in two years, as the operators have given them, and the number of dispatchers that is assumed with them.
const (
	sizeWorkers     = 5500
	sizeTeams       = 490
	sizeDispatchers = 300
)

const (
	repeats      = 5                     // measured values at each place of an axis
	slice        = 20 * time.Millisecond // processor time of one value, at least
	requestTicks = 200_000               // microseconds that a request runs
)

// Measure implements Measurement.
func (m DecisionModule) Measure(ctx context.Context, b *Bench) error {
	for _, workers := range pick(b, []int{200, 800, 1600, 3000, sizeWorkers}, []int{200, 500, 1000, 2000, 3500,
		sizeWorkers}) {
		if err := m.atSize(ctx, b, axisWorkers, workers, sizeTeams, float64(workers)); err != nil {
			return err
		}
	}
	for _, teams := range []int{6, 50, 120, 250, sizeTeams} {
		if err := m.atSize(ctx, b, axisTeams, 1000, teams, float64(teams)); err != nil {
			return err
		}
	}
	return nil
}

// player plays a decision module.
type player struct {
	module  *topazfall.Balancer
	now     int64
	actions []topazfall.Action
	fleet   []topazfall.Worker
	teams   int
	request uint64
	chance  *rand.Rand
}

func newPlayer(setup Setup, seed uint64) (*player, error) {
	object := program.Settings(program.Options{})
	setup.settingsFor(object, setup.Dispatchers/2)
	text, err := jsoniter.Marshal(object)
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
	p := &player{module: module, now: time.Now().UnixMicro(), teams: setup.Teams,
		chance: rand.New(rand.NewPCG(seed, 3))}
	for _, e := range Fleet(setup.Workers, time.Now()) {
		p.fleet = append(p.fleet, workerOf(e))
	}
	return p, nil
}

func workerOf(e discoveryserver.Entry) topazfall.Worker {
	return topazfall.Worker{ID: e.Host, Zone: e.Site, Kind: e.Class, Cell: e.Block, Weight: e.Share,
		StartedAt: e.StartedMillis * 1000}
}

func (p *player) on(e topazfall.Event) {
	p.now += 1000
	p.actions = p.module.Handle(p.now, &e, p.actions[:0])
}

func (p *player) reweigh(w *topazfall.Worker) {
	w.Weight = cores / (1 + float64(p.chance.IntN(2*cores))/cores)
}

func (p *player) whole() {
	p.reweighAll()
	p.on(topazfall.Event{Kind: topazfall.ListSnapshot, List: p.fleet})
}

func (p *player) patchAll() {
	p.reweighAll()
	p.on(topazfall.Event{Kind: topazfall.ListPatch, List: p.fleet})
}

func (p *player) reweighAll() {
	for i := range p.fleet {
		p.reweigh(&p.fleet[i])
	}
}

func (p *player) patch() {
	i := p.chance.IntN(len(p.fleet))
	p.reweigh(&p.fleet[i])
	p.on(topazfall.Event{Kind: topazfall.ListPatch, List: p.fleet[i : i+1]})
}

func (p *player) word() {
	op := []gossip.Op{gossip.Sent, gossip.Ended}[p.request%2]
	p.request++
	word := gossip.Message{Op: op, At: p.now, Host: gossip.HostHash(p.fleet[p.chance.IntN(len(p.fleet))].ID),
		Work: requestTicks}
	p.on(topazfall.Event{Kind: topazfall.PeerMessage, From: 0, Data: word.Append(nil)})
}

// serve plays a request from its arrival to its answer.
func (p *player) serve() {
	p.request++
	p.on(topazfall.Event{Kind: topazfall.Arrival, Request: p.request, Tenant: int(p.request) % p.teams,
		Due:  p.now + 5_000_000,
		Hint: requestTicks})
	for _, a := range p.actions {
		if a.Kind == topazfall.Send && a.Request == p.request {
			p.now += requestTicks
			p.on(topazfall.Event{Kind: topazfall.AttemptDone, Request: p.request, Worker: a.Worker,
				Outcome: topazfall.Completed,
				Elapsed: requestTicks, Final: true, Load: topazfall.NoLoad})
			return
		}
	}
}

func (DecisionModule) atSize(ctx context.Context, b *Bench, axis string, workers, teams int, x float64) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	p, err := newPlayer(Setup{Workers: workers, Dispatchers: sizeDispatchers, Teams: teams, LiveWeights: true}, b.Seed)
	if err != nil {
		return err
	}
	fleet := heap()
	p.on(topazfall.Event{Kind: topazfall.ListSnapshot, List: p.fleet})
	b.Add(figureHeap, axis, "MB", fromModule, x, (heap()-fleet)/1e6)
	const us = 1e6
	for range repeats {
		b.Add(figurePatch, axis, "us", fromModule, x, perCall(p.patch)*us)
		b.Add(figureRequest, axis, "us", fromModule, x, perCall(p.serve)*us)
		b.Add(figureWord, axis, "us", fromModule, x, perCall(p.word)*us)
		if axis == axisWorkers {
			b.Add(figureWhole, axis, "us", fromModule, x, perCall(p.whole)*us)
			b.Add(figurePatches, axis, "us", fromModule, x, perCall(p.patchAll)*us)
		}
	}
	return nil
}

// perCall is the processor time of one call in seconds, of this process with the collection of its garbage.
func perCall(call func()) float64 {
	runtime.GC()
	began, calls := processTime(), 0
	for batch := 1; processTime()-began < slice; batch *= 2 {
		for range batch {
			call()
		}
		calls += batch
	}
	return (processTime() - began).Seconds() / float64(calls)
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
