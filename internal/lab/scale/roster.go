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
	// originCount is how many instances of a roster agree on each revision, where there are more than that.
	originCount = 3
	// levelled is how many instances make two levels below the origins: three are fed by these, and feed the others.
	levelled = originCount + 6
	// figureLeaderSilent is an agent's own figure: negative until it has heard of a leader.
	figureLeaderSilent = "app_config_leader_silent_seconds"
)

// SharedRoster is agents on one roster: an Apply at one origin is passed on by the instances themselves
// (decide/configlog, configsync). Followers are counted first, the origins are the last ones.
type SharedRoster struct {
	list    *discoveryserver.Server
	rig     *rig.Rig
	names   []string
	origins []string
	clients []controlpbconnect.ControlClient
}

// Name implements Carrier.
func (s *SharedRoster) Name() string { return "one Apply at an origin of a roster" }

// IsSequential implements Carrier.
func (s *SharedRoster) IsSequential() bool { return false }

// Sizes implements Carrier. A quick run has no time for more than what the other carrier is compared at.
func (s *SharedRoster) Sizes(quick bool) []int {
	if quick {
		return []int{realCount}
	}
	return []int{1, 2, 3, 4, realCount, levelled}
}

// Start implements Carrier. Up to three instances have one origin.
func (s *SharedRoster) Start(ctx context.Context, b *Bench, dir string, instances int) (err error) {
	if s.list, err = discoveryserver.Start(); err != nil {
		return err
	}
	s.list.Update()
	origins := 1
	if instances > originCount {
		origins = originCount
	}
	for i := range instances - origins {
		s.names = append(s.names, fmt.Sprintf("follower-%d", i))
	}
	for i := range origins {
		s.origins = append(s.origins, fmt.Sprintf("origin-%d", i))
	}
	s.names = append(s.names, s.origins...)
	s.rig, err = rig.Start(rig.Options{Dir: dir, Names: s.names, Args: s.arguments, Split: configsync.SplitFrames,
		Seed: b.Seed, Program: program.Options{ProgramPath: b.Agent, Discovery: s.list.Address()}})
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

// arguments writes a member's roster, on which the others are where its links to them are.
func (s *SharedRoster) arguments(m rig.Member) ([]string, error) {
	roster := configsync.Roster{Installation: "scale"}
	for i, name := range s.names {
		one := configsync.Member{Name: name, Address: m.PeerLinks[name], Region: "region-0",
			Zone: fmt.Sprint("zone-", i%zones)}
		if name == m.Name {
			one.Address = m.PeerListen
		}
		if slices.Contains(s.origins, name) {
			one.Role = "origin"
		}
		roster.Members = append(roster.Members, one)
	}
	text, err := json.Marshal(roster)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(filepath.Dir(m.StateDir), "roster.json")
	return []string{"--state", m.StateDir, "--roster", path, "--bootstrap"}, os.WriteFile(path, text, 0o600)
}

// awaitLeader waits until all instances have heard of a leader, so that the first change waits for no election.
func (s *SharedRoster) awaitLeader(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loading)
	defer cancel()
	for _, name := range s.names {
		for {
			figures, err := s.rig.Process(name).Metrics()
			if silent, ok := figures[figureLeaderSilent]; err == nil && ok && silent >= 0 {
				break
			}
			if err := sleep(ctx, askEvery); err != nil {
				return fmt.Errorf("%s has heard of no leader: %w", name, err)
			}
		}
	}
	return nil
}

// Distribute implements Carrier. An origin that cannot take the change now is followed by the next, as an operator would go
// on: the time that this takes counts.
func (s *SharedRoster) Distribute(ctx context.Context, n uint64) error {
	ctx, cancel := context.WithTimeout(ctx, loading)
	defer cancel()
	for first := len(s.names) - len(s.origins); ; {
		var last error
		for i := first; i < len(s.names); i++ {
			if last = s.apply(ctx, i, n); last == nil {
				return nil
			}
		}
		if err := sleep(ctx, askEvery); err != nil {
			return fmt.Errorf("revision %d: %w", n, last)
		}
	}
}

// apply makes revision n at an origin, unless it is there already: a call that was given up may have made it.
func (s *SharedRoster) apply(ctx context.Context, origin int, n uint64) error {
	ctx, cancel := context.WithTimeout(ctx, applyLimit)
	defer cancel()
	held, err := s.Revision(ctx, origin)
	if err != nil || held >= n {
		return err
	}
	if held != n-1 {
		return fmt.Errorf("%s holds revision %d and cannot make revision %d", s.names[origin], held, n)
	}
	_, err = s.clients[origin].Apply(ctx, connect.NewRequest(&pb.ApplyRequest{From: held,
		Settings: &pb.Settings{Sources: &pb.Sources{Hold: durationpb.New(time.Duration(n) * time.Millisecond)}}}))
	return err
}

// Revision implements Carrier.
func (s *SharedRoster) Revision(ctx context.Context, instance int) (uint64, error) {
	now, err := s.clients[instance].Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	if err != nil {
		return 0, err
	}
	return now.Msg.Revision.GetNumber(), nil
}

// Process implements Carrier.
func (s *SharedRoster) Process(instance int) *program.Process {
	return s.rig.Process(s.names[instance])
}

// Close implements Carrier.
func (s *SharedRoster) Close() {
	if s.rig != nil {
		s.rig.Close()
	}
	if s.list != nil {
		s.list.Close()
	}
	*s = SharedRoster{}
}
