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

// Distributor brings revisions of the configuration to all instances. Each way of doing that is one, so that they are
// measured alike, in one run: the one before, and what takes its place.
type Distributor interface {
	Name() string
	// Start starts so many agents, with files below dir.
	Start(ctx context.Context, b *Bench, dir string, instances int) error
	// Bring hands revision number n to whoever takes it, and returns when there is nothing left to do for the caller.
	Distribute(ctx context.Context, n uint64) error
	// InTurn tells whether instances are reached one after the other, so that the time grows with their number.
	IsSequential() bool
	// Sizes are the numbers of instances that it is measured with; realCount is one of them.
	Sizes(quick bool) []int
	// Holds is the revision in force at an instance.
	Revision(ctx context.Context, instance int) (uint64, error)
	// Process is that of an instance, to freeze it.
	Process(instance int) *program.Process
	Close()
}

// Configuration measures carriers.
type Configuration struct{ Distributors []Distributor }

const (
	inForce       = 4 * time.Second        // within which a change must be in force everywhere
	applyLimit    = 10 * time.Second       // of topazctl, by its default
	askEvery      = 10 * time.Millisecond  // how often an instance is asked what it holds
	askLimit      = 200 * time.Millisecond // for its answer
	axisInstances = "instances"

	// Figures, each with the carrier's name after it.
	figureInForce   = "time until a change is in force everywhere: "
	figureOneFrozen = "time until a change is in force at all others while one is frozen: "
	figureWoken     = "time until a woken instance has what it missed: "
)

// Name implements Measurement.
func (Configuration) Name() string { return "a change of configuration at all instances" }

// Measure implements Measurement.
func (c Configuration) Measure(ctx context.Context, b *Bench) error {
	dir, err := os.MkdirTemp("", "topazlab-saves")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	saving, stop := context.WithCancel(ctx)
	defer stop()
	var saves []float64
	ended := make(chan error, 1)
	go func() {
		var err error
		saves, err = timeSaves(saving, dir)
		ended <- err
	}()
	fault := c.carryAll(ctx, b)
	stop()
	if err := errors.Join(fault, <-ended); err != nil {
		return err
	}
	b.Add(figureSave, axisTimings, "ms", fromRun, 1, saves...)
	b.AddNote("%s: median %.1f ms, longest %.1f ms of %d", figureSave,
		quantile(saves, 0.5), quantile(saves, 1), len(saves))
	return nil
}

// carryAll measures each carrier at each of its sizes.
func (c Configuration) carryAll(ctx context.Context, b *Bench) error {
	for _, carrier := range c.Distributors {
		for _, instances := range carrier.Sizes(b.Quick) {
			if err := c.carry(ctx, b, carrier, instances); err != nil {
				return fmt.Errorf("%s, %d instances: %w", carrier.Name(), instances, err)
			}
		}
	}
	return nil
}

func (c Configuration) carry(ctx context.Context, b *Bench, carrier Distributor, instances int) error {
	dir, err := os.MkdirTemp("", "topazlab-scale")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	defer carrier.Close()
	if err := carrier.Start(ctx, b, dir, instances); err != nil {
		return err
	}
	revision, slowest, err := c.changes(ctx, b, carrier, figureInForce, 0, span{0, instances})
	if err != nil || instances < realCount {
		return err
	}
	b.AddBound(Bound{Name: fmt.Sprintf("%s: slowest change at %d instances", carrier.Name(), instances),
		Value: slowest, Max: mostInForce,
		Unit: "s", IsWallClock: true})
	if carrier.IsSequential() {
		if revision, err = c.allInTurn(ctx, b, carrier, revision, instances); err != nil {
			return err
		}
	}
	if revision, err = c.cost(ctx, b, carrier, revision, instances); err != nil {
		return err
	}
	return c.frozen(ctx, b, carrier, revision, instances)
}

// span is the instances that are asked: from the first one's index on, up to the number of all.
type span struct{ first, instances int }

// changes brings some changes, one after the other, and measures the time until each is in force at all instances
// from the first one named on. It returns the last revision and the longest time, in seconds.
func (Configuration) changes(ctx context.Context, b *Bench, carrier Distributor, figure string, revision uint64,
	asked span) (uint64, float64, error) {
	slowest := 0.0
	for range pick(b, 5, 20) {
		revision++
		began := time.Now()
		if err := carrier.Distribute(ctx, revision); err != nil {
			return revision, 0, err
		}
		if err := awaitRevision(ctx, carrier, revision, asked.first, asked.instances); err != nil {
			return revision, 0, err
		}
		took := time.Since(began).Seconds()
		b.Add(figure+carrier.Name(), axisInstances, "ms", fromReal, float64(asked.instances), took*1e3)
		slowest = max(slowest, took)
	}
	return revision, slowest, nil
}

// allInTurn measures the time until a change is in force at as many instances as there are to be dispatchers: by so
// many rounds over those that run that as many calls are made, one after the other.
func (Configuration) allInTurn(ctx context.Context, b *Bench, carrier Distributor, revision uint64,
	instances int) (uint64, error) {
	began := time.Now()
	for range sizeDispatchers / instances {
		revision++
		if err := carrier.Distribute(ctx, revision); err != nil {
			return revision, err
		}
	}
	b.AddBound(Bound{Name: fmt.Sprintf("%s: time for %d instances on one machine, in rounds over %d, none frozen",
		carrier.Name(),
		sizeDispatchers, instances), Value: time.Since(began).Seconds(), Max: mostInForce, Unit: "s", IsWallClock: true})
	return revision, awaitRevision(ctx, carrier, revision, 0, instances)
}

// awaitRevision waits until all instances from the first one named on hold a revision.
func awaitRevision(ctx context.Context, carrier Distributor, revision uint64, first, instances int) error {
	ctx, cancel := context.WithTimeout(ctx, loading)
	defer cancel()
	for i := first; i < instances; i++ {
		for {
			held, err := carrier.Revision(ctx, i)
			if err == nil && held >= revision {
				break
			}
			if err := sleep(ctx, askEvery); err != nil {
				return fmt.Errorf("instance %d holds revision %d, not %d: %w", i, held, revision, err)
			}
		}
	}
	return nil
}

// frozen freezes the first instance and measures what the others get meanwhile; where none lacks the change, further
// ones follow, and then the time until the first has what it missed after it is woken.
func (c Configuration) frozen(ctx context.Context, b *Bench, carrier Distributor, revision uint64, instances int) error {
	if err := carrier.Process(0).Freeze(); err != nil {
		return err
	}
	defer carrier.Process(0).Thaw()
	revision++
	lacking, err := lackingAfterLimit(ctx, carrier, revision, instances)
	if err != nil {
		return err
	}
	b.AddBound(Bound{Name: fmt.Sprintf("%s: reachable instances, of %d, without the change after 4 s while one is frozen",
		carrier.Name(), instances-1), Value: float64(lacking)})
	if lacking > 0 {
		return nil
	}
	revision, slowest, err := c.changes(ctx, b, carrier, figureOneFrozen, revision, span{1, instances})
	if err != nil {
		return err
	}
	b.AddBound(Bound{Name: fmt.Sprintf("%s: slowest change at the others of %d instances while one is frozen",
		carrier.Name(), instances), Value: slowest, Max: mostInForce, Unit: "s", IsWallClock: true})
	if err := carrier.Process(0).Thaw(); err != nil {
		return err
	}
	began := time.Now()
	if err := awaitRevision(ctx, carrier, revision, 0, 1); err != nil {
		return err
	}
	took := time.Since(began).Seconds() * 1e3
	b.Add(figureWoken+carrier.Name(), axisInstances, "ms", fromReal, float64(instances), took)
	return nil
}

// lackingAfterLimit brings a change and counts the instances, all but the first, that lack it when it should be in
// force.
func lackingAfterLimit(ctx context.Context, carrier Distributor, revision uint64, instances int) (lacking int, err error) {
	began := time.Now()
	bringing, cancel := context.WithCancel(ctx)
	brought := make(chan error, 1)
	go func() { brought <- carrier.Distribute(bringing, revision) }()
	defer func() { // who brings it must have ended when the carrier is closed
		cancel()
		<-brought
	}()
	if err := sleep(ctx, inForce-time.Since(began)); err != nil {
		return 0, err
	}
	for i := 1; i < instances; i++ {
		asking, cancel := context.WithTimeout(ctx, askLimit)
		if held, err := carrier.Revision(asking, i); err != nil || held < revision {
			lacking++
		}
		cancel()
	}
	return lacking, nil
}

// SerialApply is what there is without a carrier: a call of the control API at one agent after the other, as an
// operator makes it with topazctl.
type SerialApply struct {
	list   *discoveryserver.Server
	agents []*program.Agent
}

// Name implements Carrier.
func (s *SerialApply) Name() string { return "one Apply after the other" }

// IsSequential implements Carrier.
func (s *SerialApply) IsSequential() bool { return true }

// Sizes implements Carrier.
func (s *SerialApply) Sizes(bool) []int { return []int{1, 2, 3, 4, realCount} }

// Start implements Carrier.
func (s *SerialApply) Start(_ context.Context, b *Bench, dir string, instances int) (err error) {
	if s.list, err = discoveryserver.Start(); err != nil {
		return err
	}
	s.list.Update()
	for i := range instances {
		a, err := program.StartAgent(b.Agent, dir, fmt.Sprintf("agent-%d", i), s.list.Address())
		if err != nil {
			return err
		}
		s.agents = append(s.agents, a)
	}
	return nil
}

// Distribute implements Carrier.
func (s *SerialApply) Distribute(ctx context.Context, n uint64) (faults error) {
	for i, a := range s.agents {
		if err := s.apply(ctx, a, n); err != nil {
			faults = errors.Join(faults, fmt.Errorf("agent %d: %w", i, err))
		}
	}
	return faults
}

func (s *SerialApply) apply(ctx context.Context, a *program.Agent, n uint64) error {
	ctx, cancel := context.WithTimeout(ctx, applyLimit)
	defer cancel()
	now, err := a.API.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	if err != nil {
		return err
	}
	_, err = a.API.Apply(ctx, connect.NewRequest(&pb.ApplyRequest{From: now.Msg.Revision.GetNumber(),
		Settings: &pb.Settings{Sources: &pb.Sources{Hold: durationpb.New(time.Duration(n) * time.Millisecond)}}}))
	return err
}

// Revision implements Carrier.
func (s *SerialApply) Revision(ctx context.Context, instance int) (uint64, error) {
	now, err := s.agents[instance].API.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	if err != nil {
		return 0, err
	}
	return now.Msg.Revision.GetNumber(), nil
}

// Process implements Carrier.
func (s *SerialApply) Process(instance int) *program.Process { return s.agents[instance].Process }

// Close implements Carrier.
func (s *SerialApply) Close() {
	for _, a := range s.agents {
		a.Kill()
	}
	if s.list != nil {
		s.list.Close()
	}
	s.agents, s.list = nil, nil
}
