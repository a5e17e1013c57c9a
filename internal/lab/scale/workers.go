package scale

import (
	"context"
	"time"
)

// Figures of whole dispatchers, measured from outside.
const (
	figureIdle        = "processor time while nothing changes"
	figureResident    = "resident memory"
	figureIdleBytes   = "bytes while nothing changes"
	figureChange      = "processor time of a change of one worker"
	figureChangeBytes = "bytes of a change of one worker"
	figureWordReal    = "processor time of a word"
	figureReweigh     = "processor time of new weights of all"
	figureReweighB    = "bytes of new weights of all"
	figureLoad        = "processor time of a whole list"
	figureLoadBytes   = "bytes of a whole list"
)

const (
	changeRate  = 10.0 // a second, where a cost is for each change
	wordRate    = 50.0
	reweighRate = 2.0
	// fewTeams are the teams where lists are measured, which do not depend on them: the reading of the configuration,
	// by which real dispatchers are made to load lists, does.
	fewTeams = 6
	loadRate = 5.0
)

// Workers measures real and hollow dispatchers over the size of the fleet.
type Workers struct{}

// Name implements Measurement.
func (Workers) Name() string { return "dispatchers over the size of the fleet" }

// Measure implements Measurement.
func (w Workers) Measure(ctx context.Context, b *Bench) error {
	for _, workers := range pick(b, []int{200, 800, 1600, 3000, sizeWorkers}, []int{200, 500, 1000, 2000, 3500,
		sizeWorkers}) {
		if err := w.atSize(ctx, b, workers); err != nil {
			return err
		}
	}
	return nil
}

func (Workers) atSize(ctx context.Context, b *Bench, workers int) error {
	in, err := b.start(ctx, Setup{Workers: workers, Dispatchers: sizeDispatchers, Real: realCount, Simulated: pick(b,
		12, 40),
		PerProcess: pick(b, 6, 10), Teams: fewTeams, LiveWeights: true})
	if err != nil {
		return err
	}
	defer in.Close()
	for k, sent := range in.traffic() { // each has loaded the list once
		b.Add(figureLoadBytes, axisWorkers, "kB", string(k), float64(workers),
			float64(sent.BytesIn+sent.BytesOut)/float64(in.count(k))/1e3)
	}
	x, length := float64(workers), pick(b, time.Second, 4*time.Second)
	quiet, err := in.MeasureWindow(ctx, 2*length, 0, nil)
	if err != nil {
		return err
	}
	b.addQuiet(quiet, axisWorkers, x)
	restarts, err := in.MeasureWindow(ctx, length, changeRate, in.restartAll(ctx))
	if err != nil {
		return err
	}
	b.addEvents(figureChange, figureChangeBytes, axisWorkers, x, quiet, restarts)
	words, err := in.MeasureWindow(ctx, length, wordRate, in.SendGossip)
	if err != nil {
		return err
	}
	b.addEvents(figureWordReal, "", axisWorkers, x, quiet, words)
	weights, err := in.MeasureWindow(ctx, length, reweighRate, func() error {
		return in.ChangeAndAwait(ctx, func() error { in.ReweightAll(); return nil }, workers, realKind, hollowKind)
	})
	if err != nil {
		return err
	}
	b.addEvents(figureReweigh, figureReweighB, axisWorkers, x, quiet, weights)
	return in.measureLoads(ctx, b, x, quiet, length)
}

// restartAll changes one worker, and returns when that has gone to all.
func (in *Installation) restartAll(ctx context.Context) func() error {
	return func() error {
		return in.ChangeAndAwait(ctx, func() error { in.RestartWorker(); return nil }, 1, realKind, hollowKind)
	}
}

// measureLoads makes the real dispatchers load the whole list again and again, as by a move of discovery's address.
// What the reading of the configuration takes by itself is taken off: a reading that moves nothing is measured beside
// it.
func (in *Installation) measureLoads(ctx context.Context, b *Bench, x float64, quiet Window,
	length time.Duration) error {
	move := in.reloads(true)
	still, err := in.MeasureWindow(ctx, length, loadRate, in.reloads(false))
	if err != nil {
		return err
	}
	moving, err := in.MeasureWindow(ctx, length, loadRate, func() error {
		return in.ChangeAndAwait(ctx, move, len(in.entries), realKind)
	})
	if err != nil {
		return err
	}
	for i, cost := range perEvent(quiet, moving, realKind) {
		b.Add(figureLoad, axisWorkers, "ms", fromReal, x, (cost-perEvent(quiet, still, realKind)[i])*1e3)
	}
	return nil
}

// reloads returns what makes the real dispatchers read their configuration. It moves discovery's address if move is
// set.
func (in *Installation) reloads(move bool) func() error {
	times := 0
	return func() error {
		times++
		for i, p := range in.real {
			region := i
			if move {
				region += times
			}
			address := in.doors[realKind][region%regions].Address()
			if _, err := p.Configure(func(config map[string]any) { config["discovery"] = address }); err != nil {
				return err
			}
			if err := p.Reload(); err != nil {
				return err
			}
		}
		return nil
	}
}

// addQuiet adds the figures of a window in which nothing changed.
func (b *Bench) addQuiet(w Window, axis string, x float64) {
	for _, u := range w.Usages {
		b.Add(figureIdle, axis, "% of a core", string(u.Kind), x, u.CPU.Seconds()/w.Length.Seconds()*100)
		b.Add(figureResident, axis, "MB", string(u.Kind), x, u.Resident/1e6)
	}
	for _, k := range []kind{realKind, hollowKind} {
		if t, ok := w.Traffic[k]; ok {
			b.Add(figureIdleBytes, axis, "B/s", string(k), x, t.Sum())
		}
	}
}

// addEvents adds what one event of a window cost beyond a quiet one.
func (b *Bench) addEvents(cpu, bytes, axis string, x float64, quiet, busy Window) {
	for _, k := range []kind{realKind, hollowKind} {
		for _, cost := range perEvent(quiet, busy, k) {
			b.Add(cpu, axis, "ms", string(k), x, cost*1e3)
		}
		if t, ok := busy.Traffic[k]; ok && bytes != "" && busy.Events > 0 {
			b.Add(bytes, axis, "B", string(k), x,
				(t.Sum()-quiet.Traffic[k].Sum())*busy.Length.Seconds()/float64(busy.Events))
		}
	}
}
