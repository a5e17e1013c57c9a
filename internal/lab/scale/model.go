package scale

import (
	"context"
	"fmt"
	"slices"

	"topazfall/internal/lab/configmodel"
)

// fromModel marks figures of decisions in virtual time, with an assumed network: nothing of them is measured.
const fromModel = "model in virtual time"

// Figures of the model. Scenarios are named as configmodel names them.
const (
	scenarioDay      = "a day in 864 s"
	scenarioQuiet    = "quiet, 5,200 a day"
	figureModelForce = "p99.9 until a change is in force, a day's failures in 864 s"
	figureModelBytes = "bytes a second of a dispatcher on the links, 5,200 changes a day"
)

// ConfigurationModel plays the decisions of one roster at the size that no machine here can hold as processes.
type ConfigurationModel struct{}

// Name implements Measurement.
func (ConfigurationModel) Name() string { return "a change of configuration, by the model" }

// Measure implements Measurement.
func (ConfigurationModel) Measure(ctx context.Context, b *Bench) error {
	day, err := play(b, scenarioDay)
	if err != nil {
		return err
	}
	const toSeconds, toPercent = 1e-6, 100
	b.Add(figureModelForce, axisDispatchers, "s", fromModel, sizeDispatchers, float64(day.P999)*toSeconds)
	b.AddBound(Bound{Name: "model, 300 dispatchers: " + figureModelForce, Value: float64(day.P999) * toSeconds,
		Max: mostInForce, Unit: "s"})
	b.AddBound(Bound{Name: "model, 300 dispatchers: reachable dispatchers and changes later than 4 s",
		Value: (1 - day.Within4s) * toPercent, Max: 0.1, Unit: "%"})
	quiet, err := play(b, scenarioQuiet)
	if err != nil {
		return err
	}
	b.Add(figureModelBytes, axisDispatchers, "B/s", fromModel, sizeDispatchers, quiet.MeanBytes)
	b.AddBound(Bound{Name: "model, 300 dispatchers: " + figureModelBytes, Value: quiet.MeanBytes, Max: mostBytes,
		Unit: "B/s"})
	return ctx.Err()
}

func play(b *Bench, name string) (configmodel.Result, error) {
	all := configmodel.Scenarios()
	i := slices.IndexFunc(all, func(s configmodel.Scenario) bool { return s.Name == name })
	if i < 0 {
		return configmodel.Result{}, fmt.Errorf("the model has no scenario %q", name)
	}
	return configmodel.RunScenario(all[i], sizeDispatchers, b.Seed)
}
