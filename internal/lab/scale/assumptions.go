package scale

// An assumption is a part of a load that the operators have not given, or that days may change.
type assumption struct {
	what   string
	change func(l *Load, by float64)
}

var assumptions = []assumption{
	{"changes of workers", func(l *Load, by float64) { l.Changes *= by }},
	{"words of other dispatchers, as with a third of the dispatchers", func(l *Load, by float64) { l.GossipMessages *= by }},
	{"whole lists", func(l *Load, by float64) { l.Snapshots *= by }},
	{"changes of configuration", func(l *Load, by float64) { l.Revisions *= by }},
}

// wrongBy is how far an assumption may be wrong.
const wrongBy = 3

// What is worked out for an ordinary day, beside the bars.
const (
	workedCPU   = "worked out: processor time for control, ordinary day, with 3 times the "
	workedBytes = "worked out: bytes for control, ordinary day, with 3 times the "
)

// AddSensitivity adds what an ordinary day takes if one assumption is wrong by 3 times, each by itself.
func (b *Bench) AddSensitivity() error {
	for _, a := range assumptions {
		l := ordinary()
		a.change(&l, wrongBy)
		cpu, err := b.CPU(l)
		if err != nil {
			return err
		}
		bytes, err := b.Bytes(l)
		if err != nil {
			return err
		}
		b.worked = append(b.worked, worked{workedCPU + a.what, "% of a core", cpu}, worked{workedBytes + a.what,
			"B/s", bytes})
	}
	return b.parts()
}

// worked is a figure that follows from others.
type worked struct {
	what, unit string
	value      float64
}

// parts adds what each part of an ordinary day takes.
func (b *Bench) parts() error {
	day := ordinary()
	for _, part := range []struct {
		what string
		load Load
	}{{"the watch while nothing changes", Load{}}, {"changes of workers", Load{Changes: day.Changes}},
		{"words of other dispatchers", Load{GossipMessages: day.GossipMessages}}, {"whole lists", Load{Snapshots: day.Snapshots}},
		{"changes of configuration", Load{Revisions: day.Revisions}},
		{"live weights of all once a second", Load{WeightUpdates: reweighsAssumed}}} {
		cpu, err := b.CPU(part.load)
		if err != nil {
			return err
		}
		bytes, err := b.Bytes(part.load)
		if err != nil {
			return err
		}
		b.worked = append(b.worked, worked{"worked out: processor time of " + part.what + ", with the watch",
			"% of a core", cpu},
			worked{"worked out: bytes of " + part.what + ", with the watch", "B/s", bytes})
	}
	return nil
}
