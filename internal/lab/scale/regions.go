package scale

import (
	"context"
	"fmt"
	"time"

	"topazfall/internal/lab/discoveryserver"
)

// RegionCuts measures what a cut of regions from discovery costs, and how soon what changed meanwhile is known after it.
type RegionCuts struct{}

const (
	figureCutCPU   = "processor time while regions are cut"
	figureCatchUp  = "time from the heal to all knowing"
	figureHealSent = "bytes of catching up"
	cutWorkers     = 25 // new workers during the cut, by which its end is known
)

// Name implements Measurement.
func (RegionCuts) Name() string { return "regions cut from discovery" }

// Measure implements Measurement.
func (r RegionCuts) Measure(ctx context.Context, b *Bench) error {
	for cut := range regions + 1 {
		if err := r.cut(ctx, b, cut); err != nil {
			return err
		}
	}
	return nil
}

func (RegionCuts) cut(ctx context.Context, b *Bench, regionsCut int) error {
	in, err := b.start(ctx, Setup{Workers: someFleet, Dispatchers: sizeDispatchers, Real: realCount,
		Simulated:  pick(b, 12, 40),
		PerProcess: pick(b, 6, 10), Teams: sizeTeams, LiveWeights: true})
	if err != nil {
		return err
	}
	defer in.Close()
	for region := range regionsCut {
		in.doors[realKind][region].Partition()
		in.doors[hollowKind][region].Partition()
	}
	more := Fleet(someFleet+cutWorkers, time.Now())[someFleet:]
	w, err := in.MeasureWindow(ctx, pick(b, time.Second, 12*time.Second), 0, nil)
	if err != nil {
		return err
	}
	x := float64(regionsCut)
	for _, u := range w.Usages {
		b.Add(figureCutCPU, axisRegions, "% of a core", string(u.Kind), x, u.CPU.Seconds()/w.Length.Seconds()*100)
	}
	return in.heal(ctx, b, x, regionsCut, more)
}

// heal lists further workers one by one, ends the cut, and measures the time until all know them.
func (in *Installation) heal(ctx context.Context, b *Bench, x float64, regionsCut int,
	more []discoveryserver.Entry) error {
	for _, e := range more {
		in.list.Update(e)
	}
	if regionsCut < regions { // the others know at once, and their bytes are not those of catching up
		if err := sleep(ctx, settle); err != nil {
			return err
		}
	}
	before, began := in.traffic(), time.Now()
	for region := range regionsCut {
		in.doors[realKind][region].Heal()
		in.doors[hollowKind][region].Heal()
	}
	if err := in.AwaitWorkers(ctx, len(in.entries)+len(more), loading); err != nil {
		return fmt.Errorf("%d regions cut: %w", regionsCut, err)
	}
	b.Add(figureCatchUp, axisRegions, "s", "all", x, time.Since(began).Seconds())
	after, sent := in.traffic(), 0.0
	for k := range after {
		sent += float64(after[k].BytesOut-before[k].BytesOut) / 1e3
	}
	b.Add(figureHealSent, axisRegions, "kB", "all", x, sent)
	return nil
}
