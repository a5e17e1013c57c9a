package scale

import (
	"context"
	"time"
)

const (
	smallFleetSize  = 200  // workers, for measurements with hundreds of dispatchers
	mediumFleetSize = 1600 // workers, for measurements with both kinds of dispatchers over other axes
)

// Dispatchers measures simulated dispatchers, with real ones among them, over the number of dispatchers.
type Dispatchers struct{}

// Name implements Measurement.
func (Dispatchers) Name() string { return "dispatchers over their number" }

// Measure implements Measurement.
func (Dispatchers) Measure(ctx context.Context, b *Bench) error {
	for _, n := range pick(b, []int{10, 50, 100, 200, sizeDispatchers}, []int{10, 50, 100, 200, sizeDispatchers, 600}) {
		if err := measureDispatchers(ctx, b, n); err != nil {
			return err
		}
	}
	return nil
}

// measureDispatchers measures n dispatchers with a small fleet.
func measureDispatchers(ctx context.Context, b *Bench, n int) error {
	in, err := b.startInstallation(ctx, Setup{Workers: smallFleetSize, Dispatchers: n, Real: realDispatchers,
		Simulated:  n - realDispatchers,
		PerProcess: 5, Teams: sizeTeams, LiveWeights: true})
	if err != nil {
		return err
	}
	defer in.Close()
	length := pick(b, time.Second, 4*time.Second)
	idle, err := in.MeasureWindow(ctx, length, 0, nil)
	if err != nil {
		return err
	}
	b.addIdleMetrics(idle, axisDispatchers, float64(n))
	restarts, err := in.MeasureWindow(ctx, length, changeRate, in.restartAndAwait(ctx))
	if err != nil {
		return err
	}
	b.addEventCosts(metricChangeCPU, metricChangeBytes, axisDispatchers, float64(n), idle, restarts)
	b.Add("bytes that discovery sends all dispatchers, at 10 changes a second", axisDispatchers, "kB/s", "all",
		float64(n),
		(restarts.Traffic[realKind].FromDiscovery*float64(len(in.realProcesses))+
			restarts.Traffic[simulatedKind].FromDiscovery*float64(in.setup.Simulated))/1e3)
	return nil
}

// ChangeRates measures dispatchers over the rate at which workers change.
type ChangeRates struct{}

const (
	metricChangeRateCPU   = "processor time while workers change"
	metricChangeRateBytes = "bytes while workers change"
)

// Name implements Measurement.
func (ChangeRates) Name() string { return "dispatchers over changes a second" }

// Measure implements Measurement.
func (ChangeRates) Measure(ctx context.Context, b *Bench) error {
	in, err := b.startInstallation(ctx, Setup{Workers: mediumFleetSize, Dispatchers: sizeDispatchers,
		Real:       realDispatchers,
		Simulated:  pick(b, 12, 40),
		PerProcess: pick(b, 6, 10), Teams: sizeTeams, LiveWeights: true})
	if err != nil {
		return err
	}
	defer in.Close()
	for _, rate := range []float64{0, 2, 5, 10, 20, 40} {
		w, err := in.MeasureWindow(ctx, pick(b, time.Second, 4*time.Second), rate,
			func() error { in.RestartWorker(); return nil })
		if err != nil {
			return err
		}
		x := float64(w.Events) / w.Length.Seconds()
		for _, u := range w.Usages {
			b.Add(metricChangeRateCPU, axisChanges, "% of a core", string(u.Kind), x,
				u.CPU.Seconds()/w.Length.Seconds()*100)
		}
		for _, k := range []dispatcherKind{realKind, simulatedKind} {
			b.Add(metricChangeRateBytes, axisChanges, "B/s", string(k), x, w.Traffic[k].Sum())
		}
	}
	return nil
}
