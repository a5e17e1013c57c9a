package scale

import (
	"fmt"
	"math"

	"topazfall/internal/decide/gossip"
)

// The operators' limits for control traffic and the work that it causes, for each dispatcher.
const (
	maxCPU                 = 1.0    // % of a core
	maxMemory              = 64.0   // MB
	maxBytes               = 2000.0 // bytes a second
	maxDistributionSeconds = 4.0    // from a change of the configuration until all instances have applied it
	maxUrgentStartSeconds  = 6.6    // until urgent work starts
)

// Load is the rate, in events a second, at which a dispatcher handles each kind of control event: worker list changes,
// gossip messages and changes of the configuration.
type Load struct {
	Name           string
	Changes        float64 // changes of one worker
	WeightUpdates  float64 // changes of the live weights of all workers at once
	GossipMessages float64 // from other dispatchers
	Snapshots      float64 // whole worker lists
	Revisions      float64 // changes of the configuration, which has the quotas of all teams
}

// The rates of an ordinary day, by the operators' numbers.
const (
	secondsPerDay        = 86_400.0
	failuresPerDay       = 64.0  // machines a day: each is removed from the list and comes back
	restartsPerDay       = 790.0 // machines a day: each drains, is removed, comes back and becomes warm
	revisionsPerDay      = 5200.0
	peakStarts           = 700.0 // jobs a second, in the whole installation
	messagesPerStart     = 2.0   // the job was sent, the job has ended
	sharingDispatchers   = 2.0   // other dispatchers that use a worker: the decision module assigns three to each
	snapshotsPerDay      = 24.0  // assumed: one an hour, after a failed watch or a restart
	peakFactor           = 10.0  // assumed: ratio of the rates in the busiest minutes to those of the day
	assumedWeightUpdates = 1.0   // a second; assumed if weights are live
)

// ordinaryDay returns the load of an ordinary day, with the largest possible number of gossip messages.
func ordinaryDay() Load {
	return Load{Name: "ordinary day", Changes: (2*failuresPerDay + 4*restartsPerDay) / secondsPerDay,
		Snapshots:      snapshotsPerDay / secondsPerDay,
		Revisions:      revisionsPerDay / secondsPerDay,
		GossipMessages: peakStarts * messagesPerStart * sharingDispatchers / sizeDispatchers}
}

// capacityLoads returns the loads whose costs are checked against bounds.
func capacityLoads() []Load {
	busiest := ordinaryDay()
	busiest.Name = "busiest minutes"
	busiest.Changes, busiest.Snapshots, busiest.Revisions = peakFactor*busiest.Changes, peakFactor*busiest.Snapshots,
		peakFactor*busiest.Revisions
	live := ordinaryDay()
	live.Name, live.WeightUpdates = "ordinary day with live weights", assumedWeightUpdates
	return []Load{ordinaryDay(), busiest, live}
}

// eventCost is the cost of one kind of event: its rate, and the metric that gives the cost of one event.
type eventCost struct {
	rate         float64
	metric, axis string
	x, factor    float64 // position on the axis, and factor that converts the metric's unit
}

// sumCosts returns the sum of the costs, each computed from the measured or fitted value of its metric for real
// dispatchers.
func (d *Data) sumCosts(costs []eventCost) (sum float64, err error) {
	for _, c := range costs {
		unitCost, err := d.At(c.metric, c.axis, sourceReal, c.x)
		if err != nil {
			return 0, err
		}
		sum += c.rate * max(unitCost, 0) * c.factor
	}
	return sum, nil
}

// CPU returns the processor time that a load takes at the size in two years, in % of a core.
func (d *Data) CPU(l Load) (float64, error) {
	const msToPercent = 1e-3 * 100 // converts ms a second to % of a core
	return d.sumCosts([]eventCost{{1, metricIdleCPU, axisWorkers, sizeWorkers, 1},
		{l.Changes, metricChangeCPU, axisWorkers, sizeWorkers, msToPercent},
		{l.WeightUpdates, metricReweightCPU, axisWorkers, sizeWorkers, msToPercent},
		{l.GossipMessages, metricGossipCPU, axisWorkers, sizeWorkers, msToPercent},
		{l.Snapshots, metricSnapshotCPU, axisWorkers, sizeWorkers, msToPercent},
		{l.Revisions, metricQuotaChange, axisTeams, sizeTeams, msToPercent}})
}

// Bytes returns the bytes a second that a load takes at the size in two years.
func (d *Data) Bytes(l Load) (float64, error) {
	const kilobyte = 1e3
	sum, err := d.sumCosts([]eventCost{{1, metricIdleBytes, axisWorkers, sizeWorkers, 1},
		{l.Changes, metricChangeBytes, axisWorkers, sizeWorkers, 1},
		{l.WeightUpdates, metricReweightBytes, axisWorkers, sizeWorkers, 1},
		{l.Snapshots, metricSnapshotBytes, axisWorkers, sizeWorkers, kilobyte},
		{l.Revisions, metricConfigBytes, axisTeams, sizeTeams, 1}})
	return sum + l.GossipMessages*(gossip.MessageSize+datagramOverhead), err
}

// maxCostDifference is the largest relative difference between the costs of a simulated dispatcher and a real one.
const maxCostDifference = 0.35

// AddCapacityBounds adds the bounds on the cost of a dispatcher at the size in two years: processor time and bytes
// under each of capacityLoads, and resident memory. It also adds the values of AddSensitivity, and bounds on the
// difference between simulated and real dispatchers. All of this is computed from the results of the measurements,
// which must have been made before.
func (b *Bench) AddCapacityBounds() error {
	for _, l := range capacityLoads() {
		cpu, err := b.CPU(l)
		if err != nil {
			return err
		}
		bytes, err := b.Bytes(l)
		if err != nil {
			return err
		}
		b.AddBound(Bound{Name: "processor time for control, " + l.Name, Value: cpu, Max: maxCPU, Unit: "% of a core"})
		b.AddBound(Bound{Name: "bytes for control, " + l.Name, Value: bytes, Max: maxBytes, Unit: "B/s"})
	}
	memory, err := b.At(metricResident, axisWorkers, sourceReal, sizeWorkers)
	if err != nil {
		return err
	}
	b.AddBound(Bound{Name: "resident memory of a dispatcher", Value: memory, Max: maxMemory, Unit: "MB"})
	if err := b.AddSensitivity(); err != nil {
		return err
	}
	return b.addKindComparison()
}

// addKindComparison adds bounds on the difference between the costs of simulated and real dispatchers.
func (b *Bench) addKindComparison() error {
	for _, c := range []struct{ metric, axis string }{{metricChangeCPU, axisWorkers}, {metricReweightCPU, axisWorkers},
		{metricGossipCPU, axisWorkers}, {metricChangeBytes, axisWorkers}} {
		realCost, err := b.At(c.metric, c.axis, sourceReal, sizeWorkers)
		if err != nil {
			return err
		}
		simulatedCost, err := b.At(c.metric, c.axis, sourceSimulated, sizeWorkers)
		if err != nil {
			return err
		}
		b.AddBound(Bound{Name: fmt.Sprintf("hollow dispatchers differ from real ones: %s", c.metric),
			Value: math.Abs(simulatedCost/realCost - 1),
			Max:   maxCostDifference, Unit: "part"})
	}
	return nil
}
