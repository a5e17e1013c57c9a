package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/program"
)

// Distributor brings revisions of the configuration to all instances. There is one for each way to do so, and all are
// measured in the same manner in one run, so that an old way can be compared with its replacement.
type Distributor interface {
	Name() string
	// Start starts the given number of agents, with their files below dir.
	Start(ctx context.Context, b *Bench, dir string, instances int) error
	// Distribute hands over a revision and returns when the caller has nothing left to do for it.
	Distribute(ctx context.Context, revision uint64) error
	// IsSequential reports whether instances are reached one after the other, so that the time grows with their number.
	IsSequential() bool
	// Sizes returns the numbers of instances to measure with; realDispatchers is one of them.
	Sizes(quick bool) []int
	// Revision returns the number of the revision that an instance has applied.
	Revision(ctx context.Context, instance int) (uint64, error)
	// Process returns the process of an instance, so that it can be frozen.
	Process(instance int) *program.Process
	Close()
}

// ConfigurationMeasurement measures how long distributors take to bring a change of the configuration to all instances,
// also while one instance is frozen, and what a change costs an instance.
type ConfigurationMeasurement struct{ Distributors []Distributor }

const (
	distributionLimit    = 4 * time.Second        // within which all instances must have applied a change
	applyTimeout         = 10 * time.Second       // the default of topazctl
	revisionPollInterval = 10 * time.Millisecond  // between two requests for the revision of an instance
	revisionTimeout      = 200 * time.Millisecond // of such a request to an instance that may be unreachable
	axisInstances        = "instances"

	// Metrics, each with the distributor's name after it.
	metricDistribution          = "time until a change is in force everywhere: "
	metricDistributionOneFrozen = "time until a change is in force at all others while one is frozen: "
	metricThawCatchUp           = "time until a woken instance has what it missed: "
)

// Name implements Measurement.
func (ConfigurationMeasurement) Name() string { return "a change of configuration at all instances" }

// Measure implements Measurement.
func (c ConfigurationMeasurement) Measure(ctx context.Context, b *Bench) error {
	dir, err := os.MkdirTemp("", "topazlab-saves")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	savesCtx, stop := context.WithCancel(ctx)
	defer stop()
	var saveTimes []float64
	savesDone := make(chan error, 1)
	go func() {
		var err error
		saveTimes, err = timeSaves(savesCtx, dir)
		savesDone <- err
	}()
	measureErr := c.measureAll(ctx, b)
	stop()
	if err := errors.Join(measureErr, <-savesDone); err != nil {
		return err
	}
	b.Add(metricSave, axisTimings, "ms", sourceRun, 1, saveTimes...)
	b.AddNote("%s: median %.1f ms, longest %.1f ms of %d", metricSave,
		quantile(saveTimes, 0.5), quantile(saveTimes, 1), len(saveTimes))
	return nil
}

// measureAll measures each distributor at each of its sizes.
func (c ConfigurationMeasurement) measureAll(ctx context.Context, b *Bench) error {
	for _, distributor := range c.Distributors {
		for _, instances := range distributor.Sizes(b.Quick) {
			if err := c.measureDistributor(ctx, b, distributor, instances); err != nil {
				return fmt.Errorf("%s, %d instances: %w", distributor.Name(), instances, err)
			}
		}
	}
	return nil
}

// measureDistributor measures one distributor with the given number of instances. With fewer than realDispatchers it
// measures only the time that changes take.
func (c ConfigurationMeasurement) measureDistributor(ctx context.Context, b *Bench, distributor Distributor,
	instances int) error {
	dir, err := os.MkdirTemp("", "topazlab-scale")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	defer distributor.Close()
	if err := distributor.Start(ctx, b, dir, instances); err != nil {
		return err
	}
	revision, slowest, err := c.measureChanges(ctx, b, distributor, metricDistribution, 0, instanceRange{0, instances})
	if err != nil || instances < realDispatchers {
		return err
	}
	b.AddBound(Bound{Name: fmt.Sprintf("%s: slowest change at %d instances", distributor.Name(), instances),
		Value: slowest, Max: maxDistributionSeconds,
		Unit: "s", IsWallClock: true})
	if distributor.IsSequential() {
		if revision, err = c.measureSequentialRounds(ctx, b, distributor, revision, instances); err != nil {
			return err
		}
	}
	if revision, err = c.measureCost(ctx, b, distributor, revision, instances); err != nil {
		return err
	}
	return c.measureOneFrozen(ctx, b, distributor, revision, instances)
}

// instanceRange is the instances from index first up to, but not including, index instances.
type instanceRange struct{ first, instances int }

// measureChanges distributes some changes, one after the other, and measures the time until all target instances
// have applied each of them. It returns the last revision and the longest time in seconds.
func (ConfigurationMeasurement) measureChanges(ctx context.Context, b *Bench, distributor Distributor, metric string,
	revision uint64, targets instanceRange) (uint64, float64, error) {
	slowest := 0.0
	for range pick(b, 5, 20) {
		revision++
		start := time.Now()
		if err := distributor.Distribute(ctx, revision); err != nil {
			return revision, 0, err
		}
		if err := awaitRevision(ctx, distributor, revision, targets.first, targets.instances); err != nil {
			return revision, 0, err
		}
		elapsed := time.Since(start).Seconds()
		b.Add(metric+distributor.Name(), axisInstances, "ms", sourceReal, float64(targets.instances), elapsed*1e3)
		slowest = max(slowest, elapsed)
	}
	return revision, slowest, nil
}

// measureSequentialRounds measures the time that a change to sizeDispatchers instances takes, although fewer instances
// run: it distributes several changes to those that run, so that the number of calls, one after the other, is the same.
func (ConfigurationMeasurement) measureSequentialRounds(ctx context.Context, b *Bench, distributor Distributor,
	revision uint64, instances int) (uint64, error) {
	start := time.Now()
	for range sizeDispatchers / instances {
		revision++
		if err := distributor.Distribute(ctx, revision); err != nil {
			return revision, err
		}
	}
	b.AddBound(Bound{Name: fmt.Sprintf("%s: time for %d instances on one machine, in rounds over %d, none frozen",
		distributor.Name(), sizeDispatchers, instances),
		Value: time.Since(start).Seconds(), Max: maxDistributionSeconds, Unit: "s", IsWallClock: true})
	return revision, awaitRevision(ctx, distributor, revision, 0, instances)
}

// awaitRevision waits until all instances from index first on hold at least the given revision.
func awaitRevision(ctx context.Context, distributor Distributor, revision uint64, first, instances int) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for i := first; i < instances; i++ {
		for {
			current, err := distributor.Revision(ctx, i)
			if err == nil && current >= revision {
				break
			}
			if err := sleep(ctx, revisionPollInterval); err != nil {
				return fmt.Errorf("instance %d is at revision %d, not %d: %w", i, current, revision, err)
			}
		}
	}
	return nil
}

// measureOneFrozen freezes the first instance and counts the others that lack a change after the limit. If none does,
// it measures further changes at the others, and then how long the first instance takes to catch up after it was
// thawed.
func (c ConfigurationMeasurement) measureOneFrozen(ctx context.Context, b *Bench, distributor Distributor,
	revision uint64, instances int) error {
	if err := distributor.Process(0).Freeze(); err != nil {
		return err
	}
	defer distributor.Process(0).Thaw()
	revision++
	missing, err := missingAfterLimit(ctx, distributor, revision, instances)
	if err != nil {
		return err
	}
	b.AddBound(Bound{Name: fmt.Sprintf(
		"%s: reachable instances, of %d, without the change after 4 s while one is frozen",
		distributor.Name(), instances-1), Value: float64(missing)})
	if missing > 0 {
		return nil
	}
	revision, slowest, err := c.measureChanges(ctx, b, distributor, metricDistributionOneFrozen, revision,
		instanceRange{1, instances})
	if err != nil {
		return err
	}
	b.AddBound(Bound{Name: fmt.Sprintf("%s: slowest change at the others of %d instances while one is frozen",
		distributor.Name(), instances), Value: slowest, Max: maxDistributionSeconds, Unit: "s", IsWallClock: true})
	if err := distributor.Process(0).Thaw(); err != nil {
		return err
	}
	start := time.Now()
	if err := awaitRevision(ctx, distributor, revision, 0, 1); err != nil {
		return err
	}
	elapsed := time.Since(start).Seconds() * 1e3
	b.Add(metricThawCatchUp+distributor.Name(), axisInstances, "ms", sourceReal, float64(instances), elapsed)
	return nil
}

// missingAfterLimit distributes a change and counts the instances, other than the first, that lack it after
// distributionLimit.
func missingAfterLimit(ctx context.Context, distributor Distributor, revision uint64,
	instances int) (missing int, err error) {
	start := time.Now()
	distributeCtx, cancel := context.WithCancel(ctx)
	distributed := make(chan error, 1)
	go func() { distributed <- distributor.Distribute(distributeCtx, revision) }()
	defer func() { // Distribute must have returned before the distributor is closed
		cancel()
		<-distributed
	}()
	if err := sleep(ctx, distributionLimit-time.Since(start)); err != nil {
		return 0, err
	}
	for i := 1; i < instances; i++ {
		revisionCtx, cancel := context.WithTimeout(ctx, revisionTimeout)
		if current, err := distributor.Revision(revisionCtx, i); err != nil || current < revision {
			missing++
		}
		cancel()
	}
	return missing, nil
}

// SerialApply distributes changes as an operator does with topazctl: it calls the control API of one agent after the
// other.
type SerialApply struct {
	discovery *discoveryserver.Server
	agents    []*program.Agent
}

// Name implements Distributor.
func (s *SerialApply) Name() string { return "one Apply after the other" }

// IsSequential implements Distributor. It returns true: the agents are called one after the other.
func (s *SerialApply) IsSequential() bool { return true }

// Sizes implements Distributor.
func (s *SerialApply) Sizes(bool) []int { return []int{1, 2, 3, 4, realDispatchers} }

// Start implements Distributor.
func (s *SerialApply) Start(_ context.Context, b *Bench, dir string, instances int) (err error) {
	if s.discovery, err = discoveryserver.Start(); err != nil {
		return err
	}
	s.discovery.Update()
	for i := range instances {
		a, err := program.StartAgent(b.Agent, dir, fmt.Sprintf("agent-%d", i), s.discovery.Address())
		if err != nil {
			return err
		}
		s.agents = append(s.agents, a)
	}
	return nil
}

// Distribute implements Distributor.
func (s *SerialApply) Distribute(ctx context.Context, revision uint64) (errs error) {
	for i, a := range s.agents {
		if err := s.apply(ctx, a, revision); err != nil {
			errs = errors.Join(errs, fmt.Errorf("agent %d: %w", i, err))
		}
	}
	return errs
}

func (s *SerialApply) apply(ctx context.Context, a *program.Agent, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	current, err := a.API.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	if err != nil {
		return err
	}
	_, err = a.API.Apply(ctx, connect.NewRequest(&pb.ApplyRequest{From: current.Msg.Revision.GetNumber(),
		Settings: &pb.Settings{
			Sources: &pb.Sources{Hold: durationpb.New(time.Duration(revision) * time.Millisecond)}}}))
	return err
}

// Revision implements Distributor.
func (s *SerialApply) Revision(ctx context.Context, instance int) (uint64, error) {
	current, err := s.agents[instance].API.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	if err != nil {
		return 0, err
	}
	return current.Msg.Revision.GetNumber(), nil
}

// Process implements Distributor.
func (s *SerialApply) Process(instance int) *program.Process { return s.agents[instance].Process }

// Close implements Distributor.
func (s *SerialApply) Close() {
	for _, a := range s.agents {
		a.Kill()
	}
	if s.discovery != nil {
		s.discovery.Close()
	}
	s.agents, s.discovery = nil, nil
}
