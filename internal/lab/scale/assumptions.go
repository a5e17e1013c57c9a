package scale

// assumption is a part of a load that the operators have not specified, or that may differ from day to day.
type assumption struct {
	name  string
	scale func(l *Load, factor float64)
}

var assumptions = []assumption{
	{"changes of workers", func(l *Load, factor float64) { l.Changes *= factor }},
	{"words of other dispatchers, as with a third of the dispatchers",
		func(l *Load, factor float64) { l.GossipMessages *= factor }},
	{"whole lists", func(l *Load, factor float64) { l.Snapshots *= factor }},
	{"changes of configuration", func(l *Load, factor float64) { l.Revisions *= factor }},
}

// assumptionErrorFactor is by how much an assumption may be wrong.
const assumptionErrorFactor = 3

// Prefixes of the names of the values for an ordinary day that are reported beside the bounds.
const (
	derivedCPUPrefix   = "worked out: processor time for control, ordinary day, with 3 times the "
	derivedBytesPrefix = "worked out: bytes for control, ordinary day, with 3 times the "
)

// AddSensitivity adds what an ordinary day costs if one assumption is too low by a factor of 3, for each assumption
// separately.
func (b *Bench) AddSensitivity() error {
	for _, a := range assumptions {
		l := ordinaryDay()
		a.scale(&l, assumptionErrorFactor)
		cpu, err := b.CPU(l)
		if err != nil {
			return err
		}
		bytes, err := b.Bytes(l)
		if err != nil {
			return err
		}
		b.derived = append(b.derived, derivedValue{derivedCPUPrefix + a.name, "% of a core", cpu},
			derivedValue{derivedBytesPrefix + a.name, "B/s", bytes})
	}
	return b.addDayBreakdown()
}

// derivedValue is a value that is computed from fitted metrics.
type derivedValue struct {
	name, unit string
	value      float64
}

// addDayBreakdown adds what each part of the load of an ordinary day costs. Each includes the cost of the discovery
// watch while nothing changes.
func (b *Bench) addDayBreakdown() error {
	day := ordinaryDay()
	for _, part := range []struct {
		name string
		load Load
	}{{"the watch while nothing changes", Load{}}, {"changes of workers", Load{Changes: day.Changes}},
		{"words of other dispatchers", Load{GossipMessages: day.GossipMessages}},
		{"whole lists", Load{Snapshots: day.Snapshots}},
		{"changes of configuration", Load{Revisions: day.Revisions}},
		{"live weights of all once a second", Load{WeightUpdates: assumedWeightUpdates}}} {
		cpu, err := b.CPU(part.load)
		if err != nil {
			return err
		}
		bytes, err := b.Bytes(part.load)
		if err != nil {
			return err
		}
		b.derived = append(b.derived, derivedValue{"worked out: processor time of " + part.name + ", with the watch",
			"% of a core", cpu},
			derivedValue{"worked out: bytes of " + part.name + ", with the watch", "B/s", bytes})
	}
	return nil
}
