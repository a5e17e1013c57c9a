package scale

import (
	"context"
	"fmt"
	"slices"

	"topazfall/internal/lab/configmodel"
)

// sourceModel marks metrics from a simulation in virtual time, with an assumed network; they are not measurements of
// processes.
const sourceModel = "model in virtual time"

// Scenarios of the model, named as in configmodel, and metrics.
const (
	scenarioDay             = "a day in 864 s"
	scenarioQuiet           = "quiet, 5,200 a day"
	metricModelDistribution = "p99.9 until a change is in force, a day's failures in 864 s"
	metricModelBytes        = "bytes a second of a dispatcher on the links, 5,200 changes a day"
)

// ConfigurationModel simulates how the instances of one roster distribute changes, for more instances than one machine
// can run as processes.
type ConfigurationModel struct{}

// Name implements Measurement.
func (ConfigurationModel) Name() string { return "a change of configuration, by the model" }

// Measure implements Measurement.
func (ConfigurationModel) Measure(ctx context.Context, b *Bench) error {
	day, err := runScenario(b, scenarioDay)
	if err != nil {
		return err
	}
	const toSeconds, toPercent = 1e-6, 100
	b.Add(metricModelDistribution, axisDispatchers, "s", sourceModel, sizeDispatchers, float64(day.P999)*toSeconds)
	b.AddBound(Bound{Name: "model, 300 dispatchers: " + metricModelDistribution, Value: float64(day.P999) * toSeconds,
		Max: maxDistributionSeconds, Unit: "s"})
	b.AddBound(Bound{Name: "model, 300 dispatchers: reachable dispatchers and changes later than 4 s",
		Value: (1 - day.Within4s) * toPercent, Max: 0.1, Unit: "%"})
	quiet, err := runScenario(b, scenarioQuiet)
	if err != nil {
		return err
	}
	b.Add(metricModelBytes, axisDispatchers, "B/s", sourceModel, sizeDispatchers, quiet.MeanBytes)
	b.AddBound(Bound{Name: "model, 300 dispatchers: " + metricModelBytes, Value: quiet.MeanBytes, Max: maxBytes,
		Unit: "B/s"})
	return ctx.Err()
}

// runScenario runs the scenario of this name in the model with sizeDispatchers dispatchers.
func runScenario(b *Bench, name string) (configmodel.Result, error) {
	all := configmodel.Scenarios()
	i := slices.IndexFunc(all, func(s configmodel.Scenario) bool { return s.Name == name })
	if i < 0 {
		return configmodel.Result{}, fmt.Errorf("the model has no scenario %q", name)
	}
	return configmodel.RunScenario(all[i], sizeDispatchers, b.Seed)
}
