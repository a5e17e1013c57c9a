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
	"topazfall/internal/lab/discovery"
	"topazfall/internal/lab/program"
)

// Carrier brings revisions of the configuration to all instances. Each way of doing that is one, so that they are
// measured alike, in one run: the one before, and what takes its place.
type Carrier interface {
	Name() string
	// Start starts so many agents, with files below dir.
	Start(ctx context.Context, b *Bench, dir string, instances int) error
	// Bring hands revision number n to whoever takes it, and returns when there is nothing left to do for the caller.
	Bring(ctx context.Context, n uint64) error
	// InTurn tells whether instances are reached one after the other, so that the time grows with their number.
	InTurn() bool
	// Holds is the revision in force at an instance.
	Holds(ctx context.Context, instance int) (uint64, error)
	// Process is that of an instance, to freeze it.
	Process(instance int) *program.Process
	Close()
}

// Configuration measures carriers.
type Configuration struct{ Carriers []Carrier }

const (
	inForce       = 4 * time.Second        // within which a change must be in force everywhere
	applyLimit    = 10 * time.Second       // of topazctl, by its default
	askEvery      = 10 * time.Millisecond  // how often an instance is asked what it holds
	askLimit      = 200 * time.Millisecond // for its answer
	axisInstances = "instances"
	figureInForce = "time until a change is in force everywhere: " // and the carrier
)

// Name implements Measurement.
func (Configuration) Name() string { return "a change of configuration at all instances" }

// Measure implements Measurement.
func (c Configuration) Measure(ctx context.Context, b *Bench) error {
	for _, carrier := range c.Carriers {
		for _, instances := range []int{1, 2, 3, 4, realCount} {
			if err := c.carry(ctx, b, carrier, instances); err != nil {
				return fmt.Errorf("%s, %d instances: %w", carrier.Name(), instances, err)
			}
		}
	}
	return nil
}

func (c Configuration) carry(ctx context.Context, b *Bench, carrier Carrier, instances int) error {
	dir, err := os.MkdirTemp("", "topazlab-scale")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	defer carrier.Close()
	if err := carrier.Start(ctx, b, dir, instances); err != nil {
		return err
	}
	figure, revision, slowest := figureInForce+carrier.Name(), uint64(0), 0.0
	for range pick(b, 5, 20) {
		revision++
		began := time.Now()
		if err := carrier.Bring(ctx, revision); err != nil {
			return err
		}
		if err := awaitRevision(ctx, carrier, revision, instances); err != nil {
			return err
		}
		took := time.Since(began).Seconds()
		b.Add(figure, axisInstances, "ms", fromReal, float64(instances), took*1e3)
		slowest = max(slowest, took)
	}
	if instances < realCount {
		return nil
	}
	b.Check(Bar{What: fmt.Sprintf("%s: slowest change at %d instances", carrier.Name(), instances),
		Value: slowest, Most: mostInForce,
		Unit: "s", Timed: true})
	if carrier.InTurn() {
		if revision, err = c.allInTurn(ctx, b, carrier, revision, instances); err != nil {
			return err
		}
	}
	lacking, err := c.frozen(ctx, carrier, revision+1, instances)
	b.Check(Bar{What: fmt.Sprintf("%s: reachable instances, of %d, without the change after 4 s while one is frozen",
		carrier.Name(), instances-1), Value: float64(lacking)})
	return err
}

// allInTurn measures the time until a change is in force at as many instances as there are to be dispatchers: by so
// many rounds over those that run that as many calls are made, one after the other.
func (Configuration) allInTurn(ctx context.Context, b *Bench, carrier Carrier, revision uint64,
	instances int) (uint64, error) {
	began := time.Now()
	for range sizeDispatchers / instances {
		revision++
		if err := carrier.Bring(ctx, revision); err != nil {
			return revision, err
		}
	}
	b.Check(Bar{What: fmt.Sprintf("%s: time for %d instances on one machine, in rounds over %d, none frozen",
		carrier.Name(),
		sizeDispatchers, instances), Value: time.Since(began).Seconds(), Most: mostInForce, Unit: "s", Timed: true})
	return revision, awaitRevision(ctx, carrier, revision, instances)
}

// awaitRevision waits until all instances hold a revision.
func awaitRevision(ctx context.Context, carrier Carrier, revision uint64, instances int) error {
	ctx, cancel := context.WithTimeout(ctx, loading)
	defer cancel()
	for i := range instances {
		for {
			held, err := carrier.Holds(ctx, i)
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

// frozen counts the instances that lack a change when it should be in force, while the first is frozen.
func (Configuration) frozen(ctx context.Context, carrier Carrier, revision uint64, instances int) (lacking int,
	err error) {
	if err := carrier.Process(0).Freeze(); err != nil {
		return 0, err
	}
	defer carrier.Process(0).Thaw()
	began := time.Now()
	bringing, cancel := context.WithCancel(ctx)
	brought := make(chan error, 1)
	go func() { brought <- carrier.Bring(bringing, revision) }()
	defer func() { // who brings it must have ended when the carrier is closed
		cancel()
		<-brought
	}()
	if err := sleep(ctx, inForce-time.Since(began)); err != nil {
		return 0, err
	}
	for i := 1; i < instances; i++ {
		asking, cancel := context.WithTimeout(ctx, askLimit)
		if held, err := carrier.Holds(asking, i); err != nil || held < revision {
			lacking++
		}
		cancel()
	}
	return lacking, nil
}

// SerialApply is what there is without a carrier: a call of the control API at one agent after the other, as an
// operator makes it with topazctl.
type SerialApply struct {
	list   *discovery.Server
	agents []*program.Agent
}

// Name implements Carrier.
func (s *SerialApply) Name() string { return "one Apply after the other" }

// InTurn implements Carrier.
func (s *SerialApply) InTurn() bool { return true }

// Start implements Carrier.
func (s *SerialApply) Start(_ context.Context, b *Bench, dir string, instances int) (err error) {
	if s.list, err = discovery.Start(); err != nil {
		return err
	}
	s.list.Set()
	for i := range instances {
		a, err := program.StartAgent(b.Agent, dir, fmt.Sprintf("agent-%d", i), s.list.Address())
		if err != nil {
			return err
		}
		s.agents = append(s.agents, a)
	}
	return nil
}

// Bring implements Carrier.
func (s *SerialApply) Bring(ctx context.Context, n uint64) (faults error) {
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

// Holds implements Carrier.
func (s *SerialApply) Holds(ctx context.Context, instance int) (uint64, error) {
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
