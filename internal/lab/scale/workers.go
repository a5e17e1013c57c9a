package scale

import (
	"context"
	"time"
)

// Metrics of whole dispatchers, measured from outside.
const (
	metricIdleCPU       = "processor time while nothing changes"
	metricResident      = "resident memory"
	metricIdleBytes     = "bytes while nothing changes"
	metricChangeCPU     = "processor time of a change of one worker"
	metricChangeBytes   = "bytes of a change of one worker"
	metricGossipCPU     = "processor time of a word"
	metricReweightCPU   = "processor time of new weights of all"
	metricReweightBytes = "bytes of new weights of all"
	metricSnapshotCPU   = "processor time of a whole list"
	metricSnapshotBytes = "bytes of a whole list"
)

const (
	// Events a second in the windows that measure the cost of one event.
	changeRate   = 10.0
	gossipRate   = 50.0
	reweightRate = 2.0
	// fewTeams is the number of teams where the cost of lists is measured. Lists do not depend on teams, but reading
	// the configuration does, and a real dispatcher is made to load a list by a new configuration.
	fewTeams   = 6
	reloadRate = 5.0
)

// Workers measures real and simulated dispatchers over the size of the fleet.
type Workers struct{}

// Name implements Measurement.
func (Workers) Name() string { return "dispatchers over the size of the fleet" }

// Measure implements Measurement.
func (w Workers) Measure(ctx context.Context, b *Bench) error {
	for _, workers := range pick(b, []int{200, 800, 1600, 3000, sizeWorkers}, []int{200, 500, 1000, 2000, 3500,
		sizeWorkers}) {
		if err := w.measureSize(ctx, b, workers); err != nil {
			return err
		}
	}
	return nil
}

// measureSize measures dispatchers with the given number of workers.
func (Workers) measureSize(ctx context.Context, b *Bench, workers int) error {
	in, err := b.startInstallation(ctx, Setup{Workers: workers, Dispatchers: sizeDispatchers, Real: realDispatchers,
		Simulated:  pick(b, 12, 40),
		PerProcess: pick(b, 6, 10), Teams: fewTeams, LiveWeights: true})
	if err != nil {
		return err
	}
	defer in.Close()
	for k, sent := range in.traffic() { // each dispatcher has loaded the list once
		b.Add(metricSnapshotBytes, axisWorkers, "kB", string(k), float64(workers),
			float64(sent.BytesIn+sent.BytesOut)/float64(in.dispatcherCount(k))/1e3)
	}
	x, length := float64(workers), pick(b, time.Second, 4*time.Second)
	idle, err := in.MeasureWindow(ctx, 2*length, 0, nil)
	if err != nil {
		return err
	}
	b.addIdleMetrics(idle, axisWorkers, x)
	restarts, err := in.MeasureWindow(ctx, length, changeRate, in.restartAndAwait(ctx))
	if err != nil {
		return err
	}
	b.addEventCosts(metricChangeCPU, metricChangeBytes, axisWorkers, x, idle, restarts)
	gossip, err := in.MeasureWindow(ctx, length, gossipRate, in.SendGossip)
	if err != nil {
		return err
	}
	b.addEventCosts(metricGossipCPU, "", axisWorkers, x, idle, gossip)
	weights, err := in.MeasureWindow(ctx, length, reweightRate, func() error {
		return in.ChangeAndAwait(ctx, func() error { in.ReweightAll(); return nil }, workers, realKind, simulatedKind)
	})
	if err != nil {
		return err
	}
	b.addEventCosts(metricReweightCPU, metricReweightBytes, axisWorkers, x, idle, weights)
	return in.measureSnapshots(ctx, b, x, idle, length)
}

// restartAndAwait returns a function that changes one worker and waits until discovery has sent the change to all
// dispatchers.
func (in *Installation) restartAndAwait(ctx context.Context) func() error {
	return func() error {
		return in.ChangeAndAwait(ctx, func() error { in.RestartWorker(); return nil }, 1, realKind, simulatedKind)
	}
}

// measureSnapshots makes the real dispatchers load the whole list repeatedly, as after a change of discovery's address.
// The cost of reading the configuration itself is subtracted: it is measured separately, with a configuration that does
// not change the address.
func (in *Installation) measureSnapshots(ctx context.Context, b *Bench, x float64, idle Window,
	length time.Duration) error {
	move := in.reloadConfig(true)
	unmoved, err := in.MeasureWindow(ctx, length, reloadRate, in.reloadConfig(false))
	if err != nil {
		return err
	}
	moved, err := in.MeasureWindow(ctx, length, reloadRate, func() error {
		return in.ChangeAndAwait(ctx, move, len(in.entries), realKind)
	})
	if err != nil {
		return err
	}
	for i, cost := range costPerEvent(idle, moved, realKind) {
		b.Add(metricSnapshotCPU, axisWorkers, "ms", sourceReal, x, (cost-costPerEvent(idle, unmoved, realKind)[i])*1e3)
	}
	return nil
}

// reloadConfig returns a function that makes the real dispatchers read their configuration. If move is set, each call
// changes discovery's address.
func (in *Installation) reloadConfig(move bool) func() error {
	times := 0
	return func() error {
		times++
		for i, p := range in.realProcesses {
			region := i
			if move {
				region += times
			}
			address := in.endpoints[realKind][region%regions].Address()
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

// addIdleMetrics adds the metrics of a window in which nothing changed.
func (b *Bench) addIdleMetrics(w Window, axis string, x float64) {
	for _, u := range w.Usages {
		b.Add(metricIdleCPU, axis, "% of a core", string(u.Kind), x, u.CPU.Seconds()/w.Length.Seconds()*100)
		b.Add(metricResident, axis, "MB", string(u.Kind), x, u.Resident/1e6)
	}
	for _, k := range []dispatcherKind{realKind, simulatedKind} {
		if t, ok := w.Traffic[k]; ok {
			b.Add(metricIdleBytes, axis, "B/s", string(k), x, t.Sum())
		}
	}
}

// addEventCosts adds what one event of a window cost beyond an idle window. It adds no bytes if the name of their
// metric is empty.
func (b *Bench) addEventCosts(cpu, bytes, axis string, x float64, idle, busy Window) {
	for _, k := range []dispatcherKind{realKind, simulatedKind} {
		for _, cost := range costPerEvent(idle, busy, k) {
			b.Add(cpu, axis, "ms", string(k), x, cost*1e3)
		}
		if t, ok := busy.Traffic[k]; ok && bytes != "" && busy.Events > 0 {
			b.Add(bytes, axis, "B", string(k), x,
				(t.Sum()-idle.Traffic[k].Sum())*busy.Length.Seconds()/float64(busy.Events))
		}
	}
}
