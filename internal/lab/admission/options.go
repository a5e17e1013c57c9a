package admission

import (
	"fmt"
	"time"
)

// Options are the settings of Run: the scenarios are all combinations of the values.
type Options struct {
	Dispatchers          []int
	Loads                []float64
	Shapes               []string
	Reports              []string
	CutSeconds           []int
	SilentList           time.Duration
	Classes              string
	WorkersPerDispatcher float64
	RetryShare           float64
	FirstSeed            uint64
	Seeds                int // number of runs of each scenario, with consecutive seeds
	Length               time.Duration
	Parallel             int // number of runs at the same time
}

// check validates the options that are not part of a scenario.
func (o Options) check() error {
	switch {
	case o.Seeds < 1:
		return fmt.Errorf("%w: the number of seeds must be at least 1, not %d", ErrInvalid, o.Seeds)
	case o.Parallel < 1:
		return fmt.Errorf("%w: the number of parallel runs must be at least 1, not %d", ErrInvalid, o.Parallel)
	case len(o.Dispatchers)*len(o.Loads)*len(o.Shapes)*len(o.Reports)*len(o.CutSeconds) == 0:
		return fmt.Errorf("%w: each list of values needs at least one", ErrInvalid)
	}
	return nil
}

// scenarios returns the scenarios in the order of the table.
func (o Options) scenarios() (scenarios []Scenario, err error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	for _, base := range o.variants() {
		for _, dispatchers := range o.Dispatchers {
			for seed := range uint64(o.Seeds) {
				s := base
				s.Dispatchers, s.Seed = dispatchers, o.FirstSeed+seed
				if err := s.check(); err != nil {
					return nil, err
				}
				scenarios = append(scenarios, s)
			}
		}
	}
	return scenarios, nil
}

// variants returns the combinations of everything but the number of dispatchers and the seed.
func (o Options) variants() (variants []Scenario) {
	base := Scenario{Classes: ClassSet(o.Classes), Length: o.Length, SilentList: o.SilentList,
		WorkersPerDispatcher: o.WorkersPerDispatcher, RetryShare: o.RetryShare}
	for _, shape := range o.Shapes {
		for _, reports := range o.Reports {
			for _, cut := range o.CutSeconds {
				for _, load := range o.Loads {
					s := base
					s.Load, s.Shape, s.Reports = load, Shape(shape), Reports(reports)
					s.Cut = time.Duration(cut) * time.Second
					variants = append(variants, s)
				}
			}
		}
	}
	return variants
}
