package scale

import (
	"fmt"
	"math"

	"topazfall/internal/decide/gossip"
)

// The operators' figures for control, of each dispatcher.
const (
	mostCPU      = 1.0    // % of a core
	mostMemory   = 64.0   // MB
	mostBytes    = 2000.0 // a second
	mostInForce  = 4.0    // seconds from a change of configuration to all
	mostStarting = 6.6    // seconds until urgent work starts
)

// Load is how often a second each dispatcher has to do with what it is controlled by.
type Load struct {
	Name           string
	Changes        float64 // of one worker
	WeightUpdates  float64 // of the live weights of all
	GossipMessages float64 // of other dispatchers
	Snapshots      float64 // whole ones
	Revisions      float64 // of the configuration, with the quotas of all teams
}

// What the operators' figures make of an ordinary day.
const (
	day             = 86_400.0 // seconds
	failures        = 64.0     // machines a day: each is taken off the list and comes back
	restarts        = 790.0    // machines a day: each drains, goes, comes back and is warm
	revisionsADay   = 5200.0
	startsAtPeak    = 700.0 // tasks a second
	wordsOfAStart   = 2.0   // that it was sent, and that it has ended
	sharers         = 2.0   // other dispatchers that share a worker, as the module has three for each
	listsADay       = 24.0  // assumed: one an hour, after a failed watch or a restart
	peak            = 10.0  // assumed: how much busier the busiest minutes are than the day
	reweighsAssumed = 1.0   // assumed where weights are live: all of them once a second
)

// ordinary is the load of an ordinary day, with the most words that there can be.
func ordinary() Load {
	return Load{Name: "ordinary day", Changes: (2*failures + 4*restarts) / day, Snapshots: listsADay / day,
		Revisions:      revisionsADay / day,
		GossipMessages: startsAtPeak * wordsOfAStart * sharers / sizeDispatchers}
}

// loads are those that the bars are worked out for.
func loads() []Load {
	busiest := ordinary()
	busiest.Name = "busiest minutes"
	busiest.Changes, busiest.Snapshots, busiest.Revisions = peak*busiest.Changes, peak*busiest.Snapshots, peak*busiest.Revisions
	live := ordinary()
	live.Name, live.WeightUpdates = "ordinary day with live weights", reweighsAssumed
	return []Load{ordinary(), busiest, live}
}

// cost is a part of what a load costs: how often a second, and the figure that says how much each time.
type cost struct {
	rate         float64
	figure, axis string
	at, unit     float64 // place on the axis, and factor to seconds or bytes
}

// work sums up costs, by the fits over their axes.
func (d *Data) work(costs []cost) (sum float64, err error) {
	for _, c := range costs {
		each, err := d.At(c.figure, c.axis, fromReal, c.at)
		if err != nil {
			return 0, err
		}
		sum += c.rate * max(each, 0) * c.unit
	}
	return sum, nil
}

// CPU is the processor time that a load takes at the size in two years, in % of a core.
func (d *Data) CPU(l Load) (float64, error) {
	const ms = 1e-3 * 100 // to % of a core
	return d.work([]cost{{1, figureIdle, axisWorkers, sizeWorkers, 1}, {l.Changes, figureChange, axisWorkers,
		sizeWorkers, ms},
		{l.WeightUpdates, figureReweigh, axisWorkers, sizeWorkers, ms}, {l.GossipMessages, figureWordReal, axisWorkers,
			sizeWorkers, ms},
		{l.Snapshots, figureLoad, axisWorkers, sizeWorkers, ms}, {l.Revisions, figureReload, axisTeams, sizeTeams, ms}})
}

// Bytes are those that a load takes a second, at the size in two years.
func (d *Data) Bytes(l Load) (float64, error) {
	const kilo = 1e3
	sum, err := d.work([]cost{{1, figureIdleBytes, axisWorkers, sizeWorkers, 1}, {l.Changes, figureChangeBytes,
		axisWorkers, sizeWorkers, 1},
		{l.WeightUpdates, figureReweighB, axisWorkers, sizeWorkers, 1}, {l.Snapshots, figureLoadBytes, axisWorkers,
			sizeWorkers, kilo},
		{l.Revisions, figureReloadBytes, axisTeams, sizeTeams, 1}})
	return sum + l.GossipMessages*(gossip.MessageSize+datagramOverhead), err
}

// margin is by how much the cost of a hollow dispatcher may differ from that of a real one, as a part of the latter.
const margin = 0.35

// AddCapacityBounds adds the bars that follow from all that was measured.
func (b *Bench) AddCapacityBounds() error {
	for _, l := range loads() {
		cpu, err := b.CPU(l)
		if err != nil {
			return err
		}
		bytes, err := b.Bytes(l)
		if err != nil {
			return err
		}
		b.AddBound(Bound{Name: "processor time for control, " + l.Name, Value: cpu, Max: mostCPU, Unit: "% of a core"})
		b.AddBound(Bound{Name: "bytes for control, " + l.Name, Value: bytes, Max: mostBytes, Unit: "B/s"})
	}
	memory, err := b.At(figureResident, axisWorkers, fromReal, sizeWorkers)
	if err != nil {
		return err
	}
	b.AddBound(Bound{Name: "resident memory of a dispatcher", Value: memory, Max: mostMemory, Unit: "MB"})
	if err := b.AddSensitivity(); err != nil {
		return err
	}
	return b.compareKinds()
}

// compareKinds checks that hollow dispatchers cost what real ones do, where both ran.
func (b *Bench) compareKinds() error {
	for _, c := range []struct{ figure, axis string }{{figureChange, axisWorkers}, {figureReweigh, axisWorkers},
		{figureWordReal, axisWorkers}, {figureChangeBytes, axisWorkers}} {
		full, err := b.At(c.figure, c.axis, fromReal, sizeWorkers)
		if err != nil {
			return err
		}
		hollow, err := b.At(c.figure, c.axis, fromHollow, sizeWorkers)
		if err != nil {
			return err
		}
		b.AddBound(Bound{Name: fmt.Sprintf("hollow dispatchers differ from real ones: %s", c.figure),
			Value: math.Abs(hollow/full - 1),
			Max:   margin, Unit: "part"})
	}
	return nil
}
