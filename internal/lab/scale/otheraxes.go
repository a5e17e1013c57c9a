package scale

import (
	"context"
	"fmt"
	"time"

	"topazfall/internal/lab/discovery"
	"topazfall/internal/lab/program"
)

const (
	smallFleet = 200  // workers, where hundreds of dispatchers run
	someFleet  = 1600 // workers, where both kinds run for other axes
)

// Dispatchers measures hollow dispatchers, with real ones among them, over their number.
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

func measureDispatchers(ctx context.Context, b *Bench, n int) error {
	in, err := b.start(ctx, Setup{Workers: smallFleet, Dispatchers: n, Real: realCount, Hollow: n - realCount,
		PerProcess: 5, Teams: sizeTeams, LiveWeights: true})
	if err != nil {
		return err
	}
	defer in.Close()
	length := pick(b, 1500*time.Millisecond, 6*time.Second)
	quiet, err := in.Watch(ctx, length, 0, nil)
	if err != nil {
		return err
	}
	b.addQuiet(quiet, axisDispatchers, float64(n))
	restarts, err := in.Watch(ctx, length, changeRate, func() error { in.Restart(); return nil })
	if err != nil {
		return err
	}
	b.addEvents(figureChange, figureChangeBytes, axisDispatchers, float64(n), quiet, restarts)
	b.Add("bytes that discovery sends all dispatchers, at 10 changes a second", axisDispatchers, "kB/s", "all",
		float64(n),
		(restarts.Traffic[realKind].FromDiscovery*float64(len(in.real))+
			restarts.Traffic[hollowKind].FromDiscovery*float64(in.setup.Hollow))/1e3)
	return nil
}

// Changes measures dispatchers over the rate at which workers change.
type Changes struct{}

const (
	figureChangesCPU   = "processor time while workers change"
	figureChangesBytes = "bytes while workers change"
)

// Name implements Measurement.
func (Changes) Name() string { return "dispatchers over changes a second" }

// Measure implements Measurement.
func (Changes) Measure(ctx context.Context, b *Bench) error {
	in, err := b.start(ctx, Setup{Workers: someFleet, Dispatchers: sizeDispatchers, Real: realCount,
		Hollow:     pick(b, 12, 40),
		PerProcess: pick(b, 6, 10), Teams: sizeTeams, LiveWeights: true})
	if err != nil {
		return err
	}
	defer in.Close()
	for _, rate := range []float64{0, 2, 5, 10, 20, 40} {
		w, err := in.Watch(ctx, pick(b, 1500*time.Millisecond, 6*time.Second), rate,
			func() error { in.Restart(); return nil })
		if err != nil {
			return err
		}
		x := float64(w.Events) / w.Length.Seconds()
		for _, u := range w.Usages {
			b.Add(figureChangesCPU, axisChanges, "% of a core", string(u.Kind), x,
				u.CPU.Seconds()/w.Length.Seconds()*100)
		}
		for _, k := range []kind{realKind, hollowKind} {
			b.Add(figureChangesBytes, axisChanges, "B/s", string(k), x, w.Traffic[k].Sum())
		}
	}
	return nil
}

// Regions measures what a cut of regions from discovery costs, and how soon what changed meanwhile is known after it.
type Regions struct{}

const (
	figureCutCPU   = "processor time while regions are cut"
	figureCatchUp  = "time from the heal to all knowing"
	figureHealSent = "bytes of catching up"
	cutWorkers     = 25 // new workers during the cut, by which its end is known
)

// Name implements Measurement.
func (Regions) Name() string { return "regions cut from discovery" }

// Measure implements Measurement.
func (r Regions) Measure(ctx context.Context, b *Bench) error {
	for cut := range regions + 1 {
		if err := r.cut(ctx, b, cut); err != nil {
			return err
		}
	}
	return nil
}

func (Regions) cut(ctx context.Context, b *Bench, regionsCut int) error {
	in, err := b.start(ctx, Setup{Workers: someFleet, Dispatchers: sizeDispatchers, Real: realCount,
		Hollow:     pick(b, 12, 40),
		PerProcess: pick(b, 6, 10), Teams: sizeTeams, LiveWeights: true})
	if err != nil {
		return err
	}
	defer in.Close()
	for region := range regionsCut {
		in.doors[realKind][region].Cut()
		in.doors[hollowKind][region].Cut()
	}
	more := Fleet(someFleet+cutWorkers, time.Now())[someFleet:]
	w, err := in.Watch(ctx, pick(b, 2*time.Second, 12*time.Second), 0, nil)
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
func (in *Installation) heal(ctx context.Context, b *Bench, x float64, regionsCut int, more []discovery.Entry) error {
	for _, e := range more {
		in.list.Set(e)
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
	if err := in.Await(ctx, len(in.entries)+len(more), loading); err != nil {
		return fmt.Errorf("%d regions cut: %w", regionsCut, err)
	}
	b.Add(figureCatchUp, axisRegions, "s", "all", x, time.Since(began).Seconds())
	after, sent := in.traffic(), 0.0
	for k := range after {
		sent += float64(after[k].Out-before[k].Out) / 1e3
	}
	b.Add(figureHealSent, axisRegions, "kB", "all", x, sent)
	return nil
}

// Quotas measures the change of the teams' quotas over their number, as it is made today: a file and a signal.
type Quotas struct{}

const (
	figureReload      = "processor time of a change of quotas"
	figureReloadTime  = "time until a change of quotas is in force at one dispatcher"
	figureReloadBytes = "bytes of the configuration"
)

// Name implements Measurement.
func (Quotas) Name() string { return "change of quotas over the number of teams" }

// Measure implements Measurement.
func (q Quotas) Measure(ctx context.Context, b *Bench) error {
	in, err := b.start(ctx, Setup{Workers: smallFleet, Dispatchers: sizeDispatchers, Real: realCount, Teams: 6,
		PerProcess: 1})
	if err != nil {
		return err
	}
	defer in.Close()
	length := pick(b, 1500*time.Millisecond, 6*time.Second)
	quiet, err := in.Watch(ctx, 2*length, 0, nil)
	if err != nil {
		return err
	}
	for _, teams := range []int{6, 50, 120, 250, sizeTeams} {
		if err := q.change(ctx, b, in, quiet, teams, length); err != nil {
			return fmt.Errorf("%d teams: %w", teams, err)
		}
	}
	return nil
}

// quotaRate is how often a second the quotas change in the window that is measured.
const quotaRate = 4

// change changes the quotas of so many teams: in a window for the processor time, and one by one for the time.
func (q Quotas) change(ctx context.Context, b *Bench, in *Installation, quiet Window, teams int,
	length time.Duration) error {
	x, n := float64(teams), 0
	configure := func(p *program.Process) (int, error) {
		n++
		return p.Configure(func(config map[string]any) {
			list := Teams(teams)
			list[n%teams].(map[string]any)["quota_per_s"] = 6
			config["settings"].(map[string]any)["realms"] = list
		})
	}
	for _, p := range in.real {
		size, err := configure(p)
		if err != nil {
			return err
		}
		took, err := reloaded(ctx, p)
		if err != nil {
			return err
		}
		b.Add(figureReloadTime, axisTeams, "ms", fromReal, x, took.Seconds()*1e3)
		b.Add(figureReloadBytes, axisTeams, "B", fromReal, x, float64(size))
	}
	w, err := in.Watch(ctx, length, quotaRate, func() error {
		for _, p := range in.real {
			if _, err := configure(p); err != nil {
				return err
			}
			if err := p.Reload(); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	b.addEvents(figureReload, "", axisTeams, x, quiet, w)
	for _, u := range w.Usages {
		b.Add(figureResident, axisTeams, "MB", string(u.Kind), x, u.Resident/1e6)
	}
	return nil
}
