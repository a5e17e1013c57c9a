package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"topazfall/internal/lab/program"
)

// Quotas measures changes of the teams' quotas over the number of teams, as operators make them today: by a file and a
// signal.
type Quotas struct{}

const (
	metricQuotaChange     = "processor time of a change of quotas"
	metricQuotaChangeTime = "time until a change of quotas is in force at one dispatcher"
	metricConfigBytes     = "bytes of the configuration"
)

// Name implements Measurement.
func (Quotas) Name() string { return "change of quotas over the number of teams" }

// Measure implements Measurement.
func (q Quotas) Measure(ctx context.Context, b *Bench) error {
	in, err := b.startInstallation(ctx, Setup{Workers: smallFleetSize, Dispatchers: sizeDispatchers,
		Real: realDispatchers, Teams: 6,
		PerProcess: 1})
	if err != nil {
		return err
	}
	defer in.Close()
	length := pick(b, time.Second, 4*time.Second)
	idle, err := in.MeasureWindow(ctx, 2*length, 0, nil)
	if err != nil {
		return err
	}
	for _, teams := range []int{6, 50, 120, 250, sizeTeams} {
		if err := q.measureTeams(ctx, b, in, idle, teams, length); err != nil {
			return fmt.Errorf("%d teams: %w", teams, err)
		}
	}
	return nil
}

// quotaChangeRate is the number of quota changes a second in the window that is measured.
const quotaChangeRate = 4

// measureTeams changes the quotas of the given number of teams: at each dispatcher in turn for the time that a change
// takes, then at all of them in a window for the processor time.
func (q Quotas) measureTeams(ctx context.Context, b *Bench, in *Installation, idle Window, teams int,
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
	for _, p := range in.realProcesses {
		size, err := configure(p)
		if err != nil {
			return err
		}
		elapsed, err := reloadAndWait(ctx, p)
		if err != nil {
			return err
		}
		b.Add(metricQuotaChangeTime, axisTeams, "ms", sourceReal, x, elapsed.Seconds()*1e3)
		b.Add(metricConfigBytes, axisTeams, "B", sourceReal, x, float64(size))
	}
	w, err := in.MeasureWindow(ctx, length, quotaChangeRate, func() error {
		for _, p := range in.realProcesses {
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
	b.addEventCosts(metricQuotaChange, "", axisTeams, x, idle, w)
	for _, u := range w.Usages {
		b.Add(metricResident, axisTeams, "MB", string(u.Kind), x, u.Resident/1e6)
	}
	return nil
}

// reloadAndWait makes a process reload its configuration and returns the time until that is applied.
func reloadAndWait(ctx context.Context, p *program.Process) (time.Duration, error) {
	appliedCount := func() (float64, error) {
		f, err := p.Metrics()
		return f["app_sighup_applied_total"], err
	}
	before, err := appliedCount()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := p.Reload(); err != nil {
		return 0, err
	}
	for {
		now, err := appliedCount()
		if err != nil {
			return 0, err
		}
		if now > before {
			return time.Since(start), nil
		}
		if time.Since(start) > loadTimeout {
			return 0, errors.New("the configuration was not applied in time")
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return 0, err
		}
	}
}
