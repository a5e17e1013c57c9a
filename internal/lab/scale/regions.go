package scale

import (
	"context"
	"fmt"
	"time"

	"topazfall/internal/lab/discoveryserver"
)

// RegionCuts measures what it costs when regions are cut off from discovery, and how long dispatchers take to catch up
// after the cut.
type RegionCuts struct{}

const (
	metricCutCPU       = "processor time while regions are cut"
	metricCatchUpTime  = "time from the heal to all knowing"
	metricCatchUpBytes = "bytes of catching up"
	cutWorkers         = 25 // workers added during the cut, which show when dispatchers have caught up
)

// Name implements Measurement.
func (RegionCuts) Name() string { return "regions cut from discovery" }

// Measure implements Measurement.
func (r RegionCuts) Measure(ctx context.Context, b *Bench) error {
	for cut := range regions + 1 {
		if err := r.measureCut(ctx, b, cut); err != nil {
			return err
		}
	}
	return nil
}

// measureCut measures one cut of the given number of regions.
func (RegionCuts) measureCut(ctx context.Context, b *Bench, regionsCut int) error {
	in, err := b.startInstallation(ctx, Setup{Workers: mediumFleetSize, Dispatchers: sizeDispatchers,
		Real:       realDispatchers,
		Simulated:  pick(b, 12, 40),
		PerProcess: pick(b, 6, 10), Teams: sizeTeams, LiveWeights: true})
	if err != nil {
		return err
	}
	defer in.Close()
	for region := range regionsCut {
		in.endpoints[realKind][region].Partition()
		in.endpoints[simulatedKind][region].Partition()
	}
	added := Fleet(mediumFleetSize+cutWorkers, time.Now())[mediumFleetSize:]
	w, err := in.MeasureWindow(ctx, pick(b, time.Second, 12*time.Second), 0, nil)
	if err != nil {
		return err
	}
	x := float64(regionsCut)
	for _, u := range w.Usages {
		b.Add(metricCutCPU, axisRegions, "% of a core", string(u.Kind), x, u.CPU.Seconds()/w.Length.Seconds()*100)
	}
	return in.measureHeal(ctx, b, x, regionsCut, added)
}

// measureHeal adds further workers to the list, ends the cut, and measures the time and the bytes until all dispatchers
// know them. x is the number of regions cut.
func (in *Installation) measureHeal(ctx context.Context, b *Bench, x float64, regionsCut int,
	added []discoveryserver.Entry) error {
	for _, e := range added {
		in.discovery.Update(e)
	}
	if regionsCut < regions { // wait for the regions that are not cut, so that their bytes are not counted
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
	}
	before, start := in.traffic(), time.Now()
	for region := range regionsCut {
		in.endpoints[realKind][region].Heal()
		in.endpoints[simulatedKind][region].Heal()
	}
	if err := in.AwaitWorkers(ctx, len(in.entries)+len(added), loadTimeout); err != nil {
		return fmt.Errorf("%d regions cut: %w", regionsCut, err)
	}
	b.Add(metricCatchUpTime, axisRegions, "s", "all", x, time.Since(start).Seconds())
	after, sent := in.traffic(), 0.0
	for k := range after {
		sent += float64(after[k].BytesOut-before[k].BytesOut) / 1e3
	}
	b.Add(metricCatchUpBytes, axisRegions, "kB", "all", x, sent)
	return nil
}
