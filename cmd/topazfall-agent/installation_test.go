package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"topazfall/internal/configsync"
	"topazfall/internal/control/client"
	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/control/controlpb/controlpbconnect"
	"topazfall/internal/decide/configlog"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/link"
	"topazfall/internal/lab/program"
	"topazfall/internal/lab/rig"
	"topazfall/internal/snapshot"
)

// inForce is within what a revision must be in force at every instance that can be reached, on a machine that does not
// stand still meanwhile.
const inForce = 4 * time.Second

// savesInTurn is how many saves follow each other between an Apply's answer and the last instance that has the
// revision in force: the log's document and the settings, at an origin and at each of the two levels below.
const savesInTurn = 6

// teams are as many as the operators expect to have.
const teams = 490

// TestInstallations runs several installations at a time, and no other test of the package beside them: they are many
// processes, and others judge by the clock.
func TestInstallations(t *testing.T) {
	for _, scene := range []struct {
		name string
		play func(*testing.T)
	}{
		{"EveryRevisionEverywhere", testEveryRevisionEverywhere},
		{"TwoAppliesOfOneBase", testTwoAppliesOfOneBase},
		{"FrozenAndWoken", testFrozenAndWoken},
		{"CutBothWays", testCutBothWays},
		{"CutOneWay", testCutOneWay},
		{"RestartFromNothing", testRestartFromNothing},
		{"DoubledReorderedAndOld", testDoubledReorderedAndOld},
		{"ChangeDuringReplacement", testChangeDuringReplacement},
		{"ZoneKilled", testZoneKilled},
		{"HalfArrived", testHalfArrived},
	} {
		t.Run(scene.name, scene.play)
	}
}

// shared is an installation of several agents, each a process of its own.
type shared struct {
	*testing.T
	*rig.Rig
	origins, followers []string

	pace    pace
	mu      sync.Mutex
	clients map[int]controlpbconnect.ControlClient // by process id
	started map[string]bool                        // by name: no bootstrap again
	highest map[string]uint64                      // by name: the highest revision seen, which must never fall
	waits   []time.Duration                        // until an Apply was answered, elections included
	times   []time.Duration                        // from the answer of an Apply until all that were waited for had it
}

// places bounds how many installations run at a time: each is up to eight processes.
var places = make(chan struct{}, 4)

func join(t *testing.T, origins, followers int) *shared {
	t.Parallel()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	s := &shared{T: t, clients: map[int]controlpbconnect.ControlClient{}, started: map[string]bool{},
		highest: map[string]uint64{}}
	for i := range origins {
		s.origins = append(s.origins, fmt.Sprint("o", i))
	}
	for i := range followers {
		s.followers = append(s.followers, fmt.Sprint("f", i))
	}
	list, err := discoveryserver.Start()
	require.NoError(t, err)
	t.Cleanup(list.Close)
	list.Update(discoveryserver.Entry{Host: "h", Dial: "127.0.0.1:9", Site: "hall-a", Class: "small", Share: 1})
	dir, err := os.MkdirTemp("", "rig") // a name that is short enough for a socket
	require.NoError(t, err)
	t.Cleanup(func() { os.RemoveAll(dir) })
	go s.pace.run(t.Context(), filepath.Join(dir, "pace"))
	s.Rig, err = rig.Start(rig.Options{Dir: dir, Names: s.all(), Split: configsync.SplitFrames, Seed: 11,
		Args: s.arguments, Program: program.Options{ProgramPath: os.Args[0], Env: []string{"TOPAZFALL_PLAYED=1"},
			Discovery: list.Address()}})
	require.NoError(t, err)
	t.Cleanup(func() {
		s.Rig.Close()
		t.Logf("answered after %v, then in force everywhere after %v; a save took up to %v", s.waits, s.times,
			s.pace.slowest(time.Time{}))
		if t.Failed() {
			for _, name := range s.all() {
				t.Logf("%s:\n%s", name, s.Log(name))
			}
		}
	})
	return s
}

func (s *shared) all() []string { return append(slices.Clone(s.origins), s.followers...) }

// arguments writes a member's roster, on which the others are where its links to them are.
func (s *shared) arguments(m rig.Member) ([]string, error) {
	roster := configsync.Roster{Installation: s.Name()}
	for i, name := range s.all() {
		one := configsync.Member{Name: name, Address: m.PeerLinks[name], Region: "north", Zone: fmt.Sprint("z", i%3)}
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
	args := []string{"--state", m.StateDir, "--roster", path}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started[m.Name] {
		args = append(args, "--bootstrap")
	}
	s.started[m.Name] = true
	return args, os.WriteFile(path, text, 0o600)
}

func (s *shared) api(name string) controlpbconnect.ControlClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	pid := s.Process(name).PID()
	if api, ok := s.clients[pid]; ok { // each one keeps a connection, of which an instance takes no more than some
		return api
	}
	api, err := client.New("unix:" + filepath.Join(s.Member(name).StateDir, "control.sock"))
	require.NoError(s, err)
	s.clients[pid] = api
	return api
}

// holds returns the revision in force at an instance, and checks that it never goes back and is never half of one.
func (s *shared) holds(name string) (number uint64, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	r, err := s.api(name).Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	if err != nil {
		return 0, false
	}
	doc := r.Msg.Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	if doc.GetNumber() < s.highest[name] {
		s.Errorf("%s went back from %d to %d", name, s.highest[name], doc.GetNumber())
	}
	s.highest[name] = doc.GetNumber()
	if isMixture(doc.GetSettings()) {
		s.Errorf("%s has a mixture: %v", name, doc)
	}
	return doc.GetNumber(), true
}

// document is one whose parts must agree: it is larger than a chunk of a snapshot, and all of it changes each time.
func document(value int) *pb.Settings {
	d := durationpb.New(time.Duration(value) * time.Millisecond)
	doc := &pb.Settings{Sources: &pb.Sources{Hold: d}, Addresses: &pb.Addresses{Calm: d}}
	for i := range teams {
		team := &pb.Team{Name: fmt.Sprintf("team-%03d", i), Share: 1. / teams, Quota: float64(value)}
		doc.Teams = append(doc.Teams, team)
	}
	return doc
}

// isMixture tells whether a document has parts of several.
func isMixture(doc *pb.Settings) bool {
	value := doc.GetSources().GetHold().AsDuration()
	if doc.GetAddresses().GetCalm().AsDuration() != value || value > 0 && len(doc.GetTeams()) != teams {
		return true
	}
	differs := func(team *pb.Team) bool { return team.Quota != float64(value/time.Millisecond) }
	return slices.ContainsFunc(doc.GetTeams(), differs)
}

func (s *shared) tryApply(origin string, from uint64, value int) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := s.api(origin).Apply(ctx, connect.NewRequest(&pb.ApplyRequest{Settings: document(value), From: from}))
	if err != nil {
		return 0, err
	}
	return r.Msg.Revision.Number, nil
}

// apply makes a revision at an origin as soon as it can be made, and returns its number and when the answer came.
func (s *shared) apply(origin string, value int) (number uint64, at time.Time) {
	var last error
	began := time.Now()
	defer func() { s.waits = append(s.waits, time.Since(began)) }()
	require.Eventually(s, func() bool {
		from, ok := s.holds(origin)
		if !ok {
			return false
		}
		number, last = s.tryApply(origin, from, value)
		at = time.Now()
		return last == nil
	}, patience, 50*time.Millisecond, "apply at %s: %v", origin, last)
	return number, at
}

// reach waits until instances hold a revision, and checks how long that took since.
func (s *shared) reach(number uint64, since time.Time, names ...string) {
	require.Eventually(s, func() bool {
		for _, name := range names {
			if held, ok := s.holds(name); !ok || held < number {
				return false
			}
		}
		return true
	}, patience, 10*time.Millisecond, "revision %d at %v", number, names)
	took := time.Since(since)
	s.times = append(s.times, took)
	slowest := s.pace.slowest(since)
	require.Less(s, took, inForce+savesInTurn*slowest, "a save took up to %v meanwhile", slowest)
}

// pace saves a small file again and again, as the instances do, to tell how long the machine takes for that: others
// use it too, and it has stood still for seconds.
type pace struct {
	mu    sync.Mutex
	saves []save
}

type save struct {
	end  time.Time
	took time.Duration
}

func (p *pace) run(ctx context.Context, path string) {
	for ctx.Err() == nil {
		began := time.Now()
		err := snapshot.Write(path, "pace", nil)
		if err != nil { // the folder is removed at the end
			return
		}
		p.mu.Lock()
		p.saves = append(p.saves, save{time.Now(), time.Since(began)})
		p.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// slowest is the longest save that has ended since.
func (p *pace) slowest(since time.Time) (took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range p.saves {
		if one.end.After(since) {
			took = max(took, one.took)
		}
	}
	return took
}

// instance is what an instance says of itself, nil if it does not answer.
func (s *shared) instance(name string) *pb.Instance {
	r, err := s.api(name).Instances(s.Context(), connect.NewRequest(&pb.InstancesRequest{}))
	if err != nil {
		return nil
	}
	for _, i := range r.Msg.Instances {
		if i.Name == name {
			return i
		}
	}
	return nil
}

// leader is who leads the origins, as an instance has heard.
func (s *shared) leader(name string, except ...string) (leader string) {
	require.Eventually(s, func() bool {
		leader = s.instance(name).GetLeader()
		return leader != "" && !slices.Contains(except, leader)
	}, patience, 50*time.Millisecond, "no leader but %v", except)
	return leader
}

func without(names []string, others ...string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(others, n) })
}

// Revisions made at any origin are in force everywhere; instances that follow say where to apply; status tells of all.
func testEveryRevisionEverywhere(t *testing.T) {
	s := join(t, 3, 5)
	var number uint64
	for i := range 6 {
		next, at := s.apply(s.origins[i%3], i+1)
		require.Greater(t, next, number)
		s.reach(next, at, s.all()...)
		number = next
	}
	_, err := s.tryApply("f0", number, 1)
	require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err))
	require.ErrorContains(t, err, "o0, o1, o2")
	_, err = s.tryApply("o0", number-1, 1)
	require.Equal(t, connect.CodeAborted, connect.CodeOf(err))

	s.Kill("f4")
	r, err := s.api("f0").Instances(t.Context(), connect.NewRequest(&pb.InstancesRequest{}))
	require.NoError(t, err)
	require.Equal(t, number, r.Msg.Newest)
	require.Len(t, r.Msg.Instances, 8)
	for _, i := range r.Msg.Instances {
		require.Equal(t, i.Name != "f4", i.Answered, i.Name)
		if i.Answered {
			require.Equal(t, number, i.Revision)
			require.Empty(t, i.Fault)
			require.NotNil(t, i.Since)
		}
	}
	figures, err := s.Process("f1").Metrics()
	require.NoError(t, err)
	require.EqualValues(t, number, figures["app_config_revision"])
	require.Positive(t, figures["app_config_in_force_seconds"])
}

// Of several changes of the same base at most one wins, at whichever origins they are made, and all hold just that. An
// answer may be lost for want of time, but no two say yes.
func testTwoAppliesOfOneBase(t *testing.T) {
	s := join(t, 3, 2)
	number, at := s.apply("o0", 1)
	s.reach(number, at, s.all()...)
	wins := 0
	for i := 1; wins < 5; i++ {
		require.Less(t, i, 50)
		var wait sync.WaitGroup
		results := make([]uint64, 3)
		for k, origin := range s.origins {
			wait.Go(func() { results[k], _ = s.tryApply(origin, number, 10*i+k) })
		}
		wait.Wait()
		at := time.Now()
		won := slices.IndexFunc(results, func(n uint64) bool { return n > 0 })
		if won < 0 {
			number, at = s.apply("o0", 1)
			s.reach(number, at, s.all()...)
			continue
		}
		wins++
		require.Equal(t, number+1, results[won])
		results[won] = 0
		require.Equal(t, make([]uint64, 3), results, "a second one")
		number++
		s.reach(number, at, s.all()...)
		for _, name := range s.all() {
			r, err := s.api(name).Get(t.Context(), connect.NewRequest(&pb.GetRequest{}))
			require.NoError(t, err)
			require.EqualValues(t, 10*i+won, r.Msg.Revision.Settings.Teams[0].Quota, name)
		}
	}
}

// An instance that was frozen, for longer than anybody waits for it, has what it missed soon after it wakes; a frozen
// leader is replaced by another, and does not bring back what was before.
func testFrozenAndWoken(t *testing.T) {
	s := join(t, 3, 4)
	number, at := s.apply("o0", 1)
	s.reach(number, at, s.all()...)
	for _, name := range []string{"f0", s.leader("f1")} {
		require.NoError(t, s.Freeze(name))
		rest := without(s.all(), name)
		if name != "f0" {
			s.leader("f1", name)
		}
		for i := range 3 {
			number, at = s.apply(without(s.origins, name)[0], 10+i)
			s.reach(number, at, rest...)
		}
		require.NoError(t, s.Thaw(name))
		s.reach(number, time.Now(), s.all()...)
	}
}

// Cut off both ways an instance keeps what it has, and has the rest soon after the heal; an origin that is alone takes
// nothing.
func testCutBothWays(t *testing.T) {
	s := join(t, 3, 4)
	number, at := s.apply("o0", 1)
	s.reach(number, at, s.all()...)
	before := number
	alone := s.leader("f1")
	s.Partition(alone, "f0")
	rest := without(s.all(), alone, "f0")
	_, err := s.tryApply(alone, number, 99)
	require.Error(t, err, "no majority")
	origin := without(s.origins, alone)[0]
	for i := range 3 {
		number, at = s.apply(origin, 10+i)
		s.reach(number, at, rest...)
	}
	held, ok := s.holds("f0")
	require.True(t, ok)
	require.Equal(t, before, held)
	s.Heal()
	s.reach(number, time.Now(), s.all()...)
	number, at = s.apply(alone, 20)
	s.reach(number, at, s.all()...)
}

// An instance that hears the others and is not heard, and one that is heard and does not hear.
func testCutOneWay(t *testing.T) {
	s := join(t, 3, 4)
	number, at := s.apply("o0", 1)
	s.reach(number, at, s.all()...)
	for i, name := range []string{"f1", "o2", "o0", "o1", s.leader("f2")} {
		s.CutOutgoing(name)
		number, at = s.apply(without(s.origins, name)[0], 10+i)
		s.reach(number, at, without(s.all(), name)...)
		s.Heal()
		s.reach(number, time.Now(), s.all()...)
	}
	for _, from := range without(s.all(), "f2") {
		s.Link(from, "f2").Cut(link.Forward)
	}
	number, at = s.apply("o1", 30)
	s.reach(number, at, without(s.all(), "f2")...)
	s.Heal()
	s.reach(number, time.Now(), s.all()...)
}

// Whoever comes back from nothing gets all of it; an origin among them votes only on what it was told again.
func testRestartFromNothing(t *testing.T) {
	s := join(t, 3, 3)
	number, at := s.apply("o0", 1)
	s.reach(number, at, s.all()...)
	for _, name := range []string{"f0", "o1"} {
		s.Kill(name)
		require.NoError(t, s.WipeState(name))
		s.mu.Lock()
		s.highest[name] = 0 // it has forgotten
		s.mu.Unlock()
		number, at = s.apply("o0", 10)
		s.reach(number, at, without(s.all(), name)...)
		require.NoError(t, s.Restart(name))
		s.reach(number, time.Now(), s.all()...)
	}
	require.Eventually(t, func() bool { return s.instance("o1").GetVoting() }, patience, 50*time.Millisecond)
	s.Kill("o0") // the one that came back is needed now
	number, at = s.apply("o1", 20)
	s.reach(number, at, without(s.all(), "o0")...)
}

// Frames that come twice, out of order and once more much later change nothing but the count of what was dropped.
func testDoubledReorderedAndOld(t *testing.T) {
	s := join(t, 3, 4)
	number, at := s.apply("o0", 1)
	s.reach(number, at, s.all()...)
	s.SetFrameFaults(link.FrameFaults{Duplicate: 0.3, Reorder: 0.3, Replay: 0.3})
	for i := range 10 {
		number, at = s.apply(s.origins[i%3], 10+i)
		s.reach(number, at, s.all()...)
	}
	s.Heal()
	number, at = s.apply("o0", 50)
	s.reach(number, at, s.all()...)
}

// A change that comes while a process is being replaced is in force at both, and an instance goes on under its name.
func testChangeDuringReplacement(t *testing.T) {
	s := join(t, 1, 3)
	number, at := s.apply("o0", 1)
	s.reach(number, at, s.all()...)
	for i, name := range []string{"f0", "o0"} {
		old, err := s.Replace(name) // from now on the control API answers for the second one
		require.NoError(t, err)
		if name != "o0" { // the first process of the origin makes the revisions, and its API is gone
			number, at = s.apply("o0", 10+i)
			s.reach(number, at, s.all()...)
		}
		require.NoError(t, s.Terminate(old))
		number, at = s.apply("o0", 20+i)
		s.reach(number, at, s.all()...)
	}
}

// Several processes of a zone are killed at once, an origin among them: the rest goes on, and they catch up.
func testZoneKilled(t *testing.T) {
	s := join(t, 3, 5)
	number, at := s.apply("o0", 1)
	s.reach(number, at, s.all()...)
	zone := []string{s.leader("f1"), "f0", "f3"}
	s.Kill(zone...)
	for i := range 3 {
		number, at = s.apply(without(s.origins, zone...)[0], 10+i)
		s.reach(number, at, without(s.all(), zone...)...)
	}
	require.NoError(t, s.Restart(zone...))
	s.reach(number, time.Now(), s.all()...)
}

// A snapshot that comes piece by piece over a link that is reset between the pieces is in force whole, or not at all.
func testHalfArrived(t *testing.T) {
	s := join(t, 1, 2)
	number, at := s.apply("o0", 1)
	s.reach(number, at, s.all()...)
	for i := range 3 {
		s.Kill("f0")
		require.NoError(t, s.WipeState("f0"))
		s.mu.Lock()
		s.highest["f0"] = 0 // it has forgotten
		s.mu.Unlock()
		number, at = s.apply("o0", 10+i)
		s.reach(number, at, "o0", "f1")
		came := s.Link("o0", "f0").Bytes(link.Forward)
		s.Link("o0", "f0").Delay(100*time.Millisecond, link.Forward)
		require.NoError(t, s.Restart("f0"))
		require.Eventually(t, func() bool { return s.Link("o0", "f0").Bytes(link.Forward) > came+configlog.ChunkBytes },
			patience, time.Millisecond)
		held, ok := s.holds("f0")
		require.True(t, ok)
		require.Zero(t, held, "a part of it has come")
		s.Link("o0", "f0").Reset()
		s.Link("o0", "f0").Heal()
		s.reach(number, time.Now(), s.all()...)
	}
}
