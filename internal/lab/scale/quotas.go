package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"topazfall/internal/lab/program"
)

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
	length := pick(b, time.Second, 4*time.Second)
	quiet, err := in.MeasureWindow(ctx, 2*length, 0, nil)
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
	w, err := in.MeasureWindow(ctx, length, quotaRate, func() error {
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

// reloaded tells a process to take its configuration, and returns when it has.
func reloaded(ctx context.Context, p *program.Process) (time.Duration, error) {
	taken := func() (float64, error) {
		f, err := p.Metrics()
		return f["app_sighup_applied_total"], err
	}
	before, err := taken()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if err := p.Reload(); err != nil {
		return 0, err
	}
	for {
		now, err := taken()
		if err != nil {
			return 0, err
		}
		if now > before {
			return time.Since(began), nil
		}
		if time.Since(began) > loading {
			return 0, errors.New("the configuration is not taken")
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return 0, err
		}
	}
}
