package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"topazfall/internal/configsync"
	"topazfall/internal/control/client"
	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/control/controlpb/controlpbconnect"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/program"
	"topazfall/internal/lab/rig"
)

const (
	// maxOrigins is the number of origins of a roster with more instances than that: they agree on each revision.
	maxOrigins = 3
	// twoLevelSize is a number of instances with two levels below the origins: the origins feed three followers, and
	// these feed the other three.
	twoLevelSize = maxOrigins + 6
	// metricLeaderSilence is one of an agent's own metrics. It is negative until the agent has heard from a leader.
	metricLeaderSilence = "app_config_leader_silent_seconds"
)

// SharedRoster runs agents on one roster: an Apply at one origin is passed on by the instances themselves
// (decide/configlog, configsync). In the order of the instances followers come first and origins last.
type SharedRoster struct {
	discovery *discoveryserver.Server
	rig       *rig.Rig
	names     []string
	origins   []string
	clients   []controlpbconnect.ControlClient
}

// Name implements Distributor.
func (s *SharedRoster) Name() string { return "one Apply at an origin of a roster" }

// IsSequential implements Distributor. It returns false: the instances pass a change on to several others at once.
func (s *SharedRoster) IsSequential() bool { return false }

// Sizes implements Distributor. A quick run has time only for the size at which distributors are compared.
func (s *SharedRoster) Sizes(quick bool) []int {
	if quick {
		return []int{realDispatchers}
	}
	return []int{1, 2, 3, 4, realDispatchers, twoLevelSize}
}

// Start implements Distributor. A roster of up to three instances has one origin, a larger one has three.
func (s *SharedRoster) Start(ctx context.Context, b *Bench, dir string, instances int) (err error) {
	if s.discovery, err = discoveryserver.Start(); err != nil {
		return err
	}
	s.discovery.Update()
	origins := 1
	if instances > maxOrigins {
		origins = maxOrigins
	}
	for i := range instances - origins {
		s.names = append(s.names, fmt.Sprintf("follower-%d", i))
	}
	for i := range origins {
		s.origins = append(s.origins, fmt.Sprintf("origin-%d", i))
	}
	s.names = append(s.names, s.origins...)
	s.rig, err = rig.Start(rig.Options{Dir: dir, Names: s.names, Args: s.arguments, Split: configsync.SplitFrames,
		Seed: b.Seed, Program: program.Options{ProgramPath: b.Agent, Discovery: s.discovery.Address()}})
	if err != nil {
		return err
	}
	for _, name := range s.names {
		api, err := client.New("unix:" + filepath.Join(s.rig.Member(name).StateDir, "control.sock"))
		if err != nil {
			return err
		}
		s.clients = append(s.clients, api)
	}
	return s.awaitLeader(ctx)
}

// arguments writes the roster of a member and returns the member's command line arguments. Its roster has the addresses
// of its own links to the other members.
func (s *SharedRoster) arguments(m rig.Member) ([]string, error) {
	roster := configsync.Roster{Installation: "scale"}
	for i, name := range s.names {
		entry := configsync.Member{Name: name, Address: m.PeerLinks[name], Region: "region-0",
			Zone: fmt.Sprint("zone-", i%zonesPerRegion)}
		if name == m.Name {
			entry.Address = m.PeerListen
		}
		if slices.Contains(s.origins, name) {
			entry.Role = "origin"
		}
		roster.Members = append(roster.Members, entry)
	}
	text, err := json.Marshal(roster)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(filepath.Dir(m.StateDir), "roster.json")
	return []string{"--state", m.StateDir, "--roster", path, "--bootstrap"}, os.WriteFile(path, text, 0o600)
}

// awaitLeader waits until all instances have heard from a leader, so that the first change does not wait for an
// election.
func (s *SharedRoster) awaitLeader(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for _, name := range s.names {
		for {
			values, err := s.rig.Process(name).Metrics()
			if silent, ok := values[metricLeaderSilence]; err == nil && ok && silent >= 0 {
				break
			}
			if err := sleep(ctx, revisionPollInterval); err != nil {
				return fmt.Errorf("%s has not heard from a leader: %w", name, err)
			}
		}
	}
	return nil
}

// Distribute implements Distributor. If an origin cannot apply the change now, the next one is tried, as an operator
// would do; the time that this takes counts.
func (s *SharedRoster) Distribute(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for first := len(s.names) - len(s.origins); ; {
		var lastErr error
		for i := first; i < len(s.names); i++ {
			if lastErr = s.apply(ctx, i, revision); lastErr == nil {
				return nil
			}
		}
		if err := sleep(ctx, revisionPollInterval); err != nil {
			return fmt.Errorf("revision %d: %w", revision, lastErr)
		}
	}
}

// apply creates a revision at an origin, unless it exists already: an earlier call that failed or timed out may have
// created it.
func (s *SharedRoster) apply(ctx context.Context, origin int, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	current, err := s.Revision(ctx, origin)
	if err != nil || current >= revision {
		return err
	}
	if current != revision-1 {
		return fmt.Errorf("%s is at revision %d and cannot create revision %d", s.names[origin], current, revision)
	}
	_, err = s.clients[origin].Apply(ctx, connect.NewRequest(&pb.ApplyRequest{From: current,
		Settings: &pb.Settings{
			Sources: &pb.Sources{Hold: durationpb.New(time.Duration(revision) * time.Millisecond)}}}))
	return err
}

// Revision implements Distributor.
func (s *SharedRoster) Revision(ctx context.Context, instance int) (uint64, error) {
	current, err := s.clients[instance].Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	if err != nil {
		return 0, err
	}
	return current.Msg.Revision.GetNumber(), nil
}

// Process implements Distributor.
func (s *SharedRoster) Process(instance int) *program.Process {
	return s.rig.Process(s.names[instance])
}

// Close implements Distributor.
func (s *SharedRoster) Close() {
	if s.rig != nil {
		s.rig.Close()
	}
	if s.discovery != nil {
		s.discovery.Close()
	}
	*s = SharedRoster{}
}
