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

// propagationLimit is the time within which a revision must take effect at every reachable instance, unless the machine
// stalls meanwhile.
const propagationLimit = 4 * time.Second

// sequentialSaves is the number of saves, one after the other, between the reply to an Apply and the moment when the
// revision takes effect at the last instance: the log's document and the settings, at an origin and at each of the two
// levels below it.
const sequentialSaves = 6

// numTeams is the number of teams that the operators expect.
const numTeams = 490

// TestInstallations runs several installations at a time, but no other test of the package in parallel with them: the
// installations have many processes, and the other tests have time limits.
func TestInstallations(t *testing.T) {
	for _, scenario := range []struct {
		name string
		run  func(*testing.T)
	}{
		{"RevisionsReachEveryInstance", testRevisionsReachEveryInstance},
		{"ConcurrentAppliesOfOneBase", testConcurrentAppliesOfOneBase},
		{"FrozenInstanceCatchesUp", testFrozenInstanceCatchesUp},
		{"PartitionBothWays", testPartitionBothWays},
		{"PartitionOneWay", testPartitionOneWay},
		{"RestartWithEmptyState", testRestartWithEmptyState},
		{"DuplicatedReorderedAndReplayedFrames", testDuplicatedReorderedAndReplayedFrames},
		{"ChangeDuringReplacement", testChangeDuringReplacement},
		{"ZoneKilled", testZoneKilled},
		{"InterruptedSnapshotTransfer", testInterruptedSnapshotTransfer},
	} {
		t.Run(scenario.name, scenario.run)
	}
}

// cluster is an installation of several agents, each in a separate process.
type cluster struct {
	*testing.T
	*rig.Rig
	origins, followers []string

	probe            saveProbe
	mu               sync.Mutex
	clients          map[int]controlpbconnect.ControlClient // by process id
	started          map[string]bool                        // by name: later starts are without --bootstrap
	highestSeen      map[string]uint64                      // by name: the highest revision seen; never decreases
	applyTimes       []time.Duration                        // until each Apply was answered, including elections
	propagationTimes []time.Duration                        // from the reply to an Apply until it was in effect
}

// clusterSlots limits how many installations run at a time: each has up to eight processes.
var clusterSlots = make(chan struct{}, 4)

func startCluster(t *testing.T, origins, followers int) *cluster {
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	s := &cluster{T: t, clients: map[int]controlpbconnect.ControlClient{}, started: map[string]bool{},
		highestSeen: map[string]uint64{}}
	for i := range origins {
		s.origins = append(s.origins, fmt.Sprint("o", i))
	}
	for i := range followers {
		s.followers = append(s.followers, fmt.Sprint("f", i))
	}
	discovery, err := discoveryserver.Start()
	require.NoError(t, err)
	t.Cleanup(discovery.Close)
	discovery.Update(discoveryserver.Entry{Host: "h", Dial: "127.0.0.1:9", Site: "hall-a", Class: "small", Share: 1})
	dir, err := os.MkdirTemp("", "rig") // short enough for the path of a Unix socket
	require.NoError(t, err)
	t.Cleanup(func() { os.RemoveAll(dir) })
	go s.probe.run(t.Context(), filepath.Join(dir, "pace"))
	s.Rig, err = rig.Start(rig.Options{Dir: dir, Names: s.all(), Split: configsync.SplitFrames, Seed: 11,
		Args: s.arguments, Program: program.Options{ProgramPath: os.Args[0], Env: []string{"TOPAZFALL_PLAYED=1"},
			Discovery: discovery.Address()}})
	require.NoError(t, err)
	t.Cleanup(func() {
		s.Rig.Close()
		t.Logf("applies took %v, then %v until they were in effect everywhere; the slowest save took %v",
			s.applyTimes, s.propagationTimes, s.probe.slowest(time.Time{}))
		if t.Failed() {
			for _, name := range s.all() {
				t.Logf("%s:\n%s", name, s.Log(name))
			}
		}
	})
	return s
}

func (s *cluster) all() []string { return append(slices.Clone(s.origins), s.followers...) }

// arguments writes the roster of a member and returns its flags. On the roster, the addresses of the other members are
// those of its links to them.
func (s *cluster) arguments(m rig.Member) ([]string, error) {
	roster := configsync.Roster{Installation: s.Name()}
	for i, name := range s.all() {
		member := configsync.Member{Name: name, Address: m.PeerLinks[name], Region: "north", Zone: fmt.Sprint("z", i%3)}
		if name == m.Name {
			member.Address = m.PeerListen
		}
		if slices.Contains(s.origins, name) {
			member.Role = "origin"
		}
		roster.Members = append(roster.Members, member)
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

func (s *cluster) api(name string) controlpbconnect.ControlClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	pid := s.Process(name).PID()
	if api, ok := s.clients[pid]; ok { // each client keeps a connection open, and an instance limits their number
		return api
	}
	api, err := client.New("unix:" + filepath.Join(s.Member(name).StateDir, "control.sock"))
	require.NoError(s, err)
	s.clients[pid] = api
	return api
}

// revisionAt returns the current revision of an instance. It checks that revisions never go back and that a document is
// never a mixture of several.
func (s *cluster) revisionAt(name string) (number uint64, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	r, err := s.api(name).Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	if err != nil {
		return 0, false
	}
	doc := r.Msg.Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	if doc.GetNumber() < s.highestSeen[name] {
		s.Errorf("%s went back from revision %d to %d", name, s.highestSeen[name], doc.GetNumber())
	}
	s.highestSeen[name] = doc.GetNumber()
	if isMixed(doc.GetSettings()) {
		s.Errorf("%s has a mixture of several documents: %v", name, doc)
	}
	return doc.GetNumber(), true
}

// document returns a document whose parts all derive from value, so that a mixture of two can be detected. It is larger
// than a chunk of a snapshot.
func document(value int) *pb.Settings {
	d := durationpb.New(time.Duration(value) * time.Millisecond)
	doc := &pb.Settings{Sources: &pb.Sources{Hold: d}, Addresses: &pb.Addresses{Calm: d}}
	for i := range numTeams {
		team := &pb.Team{Name: fmt.Sprintf("team-%03d", i), Share: 1. / numTeams, Quota: float64(value)}
		doc.Teams = append(doc.Teams, team)
	}
	return doc
}

// isMixed reports whether a document has parts of several documents.
func isMixed(doc *pb.Settings) bool {
	value := doc.GetSources().GetHold().AsDuration()
	if doc.GetAddresses().GetCalm().AsDuration() != value || value > 0 && len(doc.GetTeams()) != numTeams {
		return true
	}
	differs := func(team *pb.Team) bool { return team.Quota != float64(value/time.Millisecond) }
	return slices.ContainsFunc(doc.GetTeams(), differs)
}

// tryApply applies a document at an origin once, and returns the number of the new revision.
func (s *cluster) tryApply(origin string, from uint64, value int) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := s.api(origin).Apply(ctx, connect.NewRequest(&pb.ApplyRequest{Settings: document(value), From: from}))
	if err != nil {
		return 0, err
	}
	return r.Msg.Revision.Number, nil
}

// apply creates a revision at an origin, retrying until it succeeds. It returns its number and the time of the reply.
func (s *cluster) apply(origin string, value int) (number uint64, answeredAt time.Time) {
	var last error
	startedAt := time.Now()
	defer func() { s.applyTimes = append(s.applyTimes, time.Since(startedAt)) }()
	require.Eventually(s, func() bool {
		from, ok := s.revisionAt(origin)
		if !ok {
			return false
		}
		number, last = s.tryApply(origin, from, value)
		answeredAt = time.Now()
		return last == nil
	}, waitTimeout, 50*time.Millisecond, "apply at %s: %v", origin, last)
	return number, answeredAt
}

// waitForRevision waits until instances hold a revision, and checks that the time since then is within the limit.
func (s *cluster) waitForRevision(number uint64, since time.Time, names ...string) {
	require.Eventually(s, func() bool {
		for _, name := range names {
			if held, ok := s.revisionAt(name); !ok || held < number {
				return false
			}
		}
		return true
	}, waitTimeout, 10*time.Millisecond, "revision %d is not in effect at all of %v", number, names)
	elapsed := time.Since(since)
	s.propagationTimes = append(s.propagationTimes, elapsed)
	slowest := s.probe.slowest(since)
	require.Less(s, elapsed, propagationLimit+sequentialSaves*slowest, "the slowest save meanwhile took %v", slowest)
}

// saveProbe saves a small file repeatedly, as the instances do, and measures how long that takes. The machine is shared
// with other work, and has stalled for seconds.
type saveProbe struct {
	mu      sync.Mutex
	samples []saveSample
}

// saveSample is the end and the duration of one save.
type saveSample struct {
	end      time.Time
	duration time.Duration
}

func (p *saveProbe) run(ctx context.Context, path string) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := snapshot.Write(path, "pace", nil)
		if err != nil { // the folder is removed at the end
			return
		}
		p.mu.Lock()
		p.samples = append(p.samples, saveSample{time.Now(), time.Since(startedAt)})
		p.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// slowest returns the duration of the longest save that ended after a time.
func (p *saveProbe) slowest(since time.Time) (longest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, sample := range p.samples {
		if sample.end.After(since) {
			longest = max(longest, sample.duration)
		}
	}
	return longest
}

// instanceStatus returns the status of an instance, or nil if it does not answer.
func (s *cluster) instanceStatus(name string) *pb.Instance {
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

// waitForLeader waits until an instance reports a leader that is not listed in except, and returns it.
func (s *cluster) waitForLeader(name string, except ...string) (leader string) {
	require.Eventually(s, func() bool {
		leader = s.instanceStatus(name).GetLeader()
		return leader != "" && !slices.Contains(except, leader)
	}, waitTimeout, 50*time.Millisecond, "no leader other than %v", except)
	return leader
}

// without returns names without others.
func without(names []string, others ...string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(others, n) })
}

// Revisions created at any origin take effect at every instance. A follower rejects a document and names the origins.
// The status covers all instances, including one that does not answer.
func testRevisionsReachEveryInstance(t *testing.T) {
	s := startCluster(t, 3, 5)
	var number uint64
	for i := range 6 {
		next, at := s.apply(s.origins[i%3], i+1)
		require.Greater(t, next, number)
		s.waitForRevision(next, at, s.all()...)
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
	metrics, err := s.Process("f1").Metrics()
	require.NoError(t, err)
	require.EqualValues(t, number, metrics["app_config_revision"])
	require.Positive(t, metrics["app_config_in_force_seconds"])
}

// Of several concurrent changes of the same base at most one is committed, whichever origins they are applied at, and
// all instances hold that one. All may fail, for example on a timeout, but no two may succeed.
func testConcurrentAppliesOfOneBase(t *testing.T) {
	s := startCluster(t, 3, 2)
	number, at := s.apply("o0", 1)
	s.waitForRevision(number, at, s.all()...)
	committed := 0
	for i := 1; committed < 5; i++ {
		require.Less(t, i, 50)
		var wait sync.WaitGroup
		results := make([]uint64, 3)
		for k, origin := range s.origins {
			wait.Go(func() { results[k], _ = s.tryApply(origin, number, 10*i+k) })
		}
		wait.Wait()
		at := time.Now()
		winner := slices.IndexFunc(results, func(n uint64) bool { return n > 0 })
		if winner < 0 {
			number, at = s.apply("o0", 1)
			s.waitForRevision(number, at, s.all()...)
			continue
		}
		committed++
		require.Equal(t, number+1, results[winner])
		results[winner] = 0
		require.Equal(t, make([]uint64, 3), results, "a second change was committed")
		number++
		s.waitForRevision(number, at, s.all()...)
		for _, name := range s.all() {
			r, err := s.api(name).Get(t.Context(), connect.NewRequest(&pb.GetRequest{}))
			require.NoError(t, err)
			require.EqualValues(t, 10*i+winner, r.Msg.Revision.Settings.Teams[0].Quota, name)
		}
	}
}

// An instance that was frozen for longer than any timeout catches up soon after it continues. A frozen leader is
// replaced by another origin, and does not restore an older revision when it continues.
func testFrozenInstanceCatchesUp(t *testing.T) {
	s := startCluster(t, 3, 4)
	number, at := s.apply("o0", 1)
	s.waitForRevision(number, at, s.all()...)
	for _, name := range []string{"f0", s.waitForLeader("f1")} {
		require.NoError(t, s.Freeze(name))
		rest := without(s.all(), name)
		if name != "f0" {
			s.waitForLeader("f1", name)
		}
		for i := range 3 {
			number, at = s.apply(without(s.origins, name)[0], 10+i)
			s.waitForRevision(number, at, rest...)
		}
		require.NoError(t, s.Thaw(name))
		s.waitForRevision(number, time.Now(), s.all()...)
	}
}

// An instance that is cut off in both directions keeps its revision, and catches up soon after the partition heals. An
// isolated origin commits nothing.
func testPartitionBothWays(t *testing.T) {
	s := startCluster(t, 3, 4)
	number, at := s.apply("o0", 1)
	s.waitForRevision(number, at, s.all()...)
	before := number
	alone := s.waitForLeader("f1")
	s.Partition(alone, "f0")
	rest := without(s.all(), alone, "f0")
	_, err := s.tryApply(alone, number, 99)
	require.Error(t, err, "no majority")
	origin := without(s.origins, alone)[0]
	for i := range 3 {
		number, at = s.apply(origin, 10+i)
		s.waitForRevision(number, at, rest...)
	}
	held, ok := s.revisionAt("f0")
	require.True(t, ok)
	require.Equal(t, before, held)
	s.Heal()
	s.waitForRevision(number, time.Now(), s.all()...)
	number, at = s.apply(alone, 20)
	s.waitForRevision(number, at, s.all()...)
}

// Partitions in one direction: an instance that receives but whose messages are lost, and one that sends but receives
// nothing.
func testPartitionOneWay(t *testing.T) {
	s := startCluster(t, 3, 4)
	number, at := s.apply("o0", 1)
	s.waitForRevision(number, at, s.all()...)
	for i, name := range []string{"f1", "o2", "o0", "o1", s.waitForLeader("f2")} {
		s.CutOutgoing(name)
		number, at = s.apply(without(s.origins, name)[0], 10+i)
		s.waitForRevision(number, at, without(s.all(), name)...)
		s.Heal()
		s.waitForRevision(number, time.Now(), s.all()...)
	}
	for _, from := range without(s.all(), "f2") {
		s.Link(from, "f2").Cut(link.Forward)
	}
	number, at = s.apply("o1", 30)
	s.waitForRevision(number, at, without(s.all(), "f2")...)
	s.Heal()
	s.waitForRevision(number, time.Now(), s.all()...)
}

// An instance that restarts with an empty state receives the whole document. An origin votes only after the other
// origins have reported what it may have voted for.
func testRestartWithEmptyState(t *testing.T) {
	s := startCluster(t, 3, 3)
	number, at := s.apply("o0", 1)
	s.waitForRevision(number, at, s.all()...)
	for _, name := range []string{"f0", "o1"} {
		s.Kill(name)
		require.NoError(t, s.WipeState(name))
		s.mu.Lock()
		s.highestSeen[name] = 0 // its state is empty now
		s.mu.Unlock()
		number, at = s.apply("o0", 10)
		s.waitForRevision(number, at, without(s.all(), name)...)
		require.NoError(t, s.Restart(name))
		s.waitForRevision(number, time.Now(), s.all()...)
	}
	require.Eventually(t, func() bool { return s.instanceStatus("o1").GetVoting() }, waitTimeout, 50*time.Millisecond)
	s.Kill("o0") // the majority now needs the origin that restarted
	number, at = s.apply("o1", 20)
	s.waitForRevision(number, at, without(s.all(), "o0")...)
}

// Frames that arrive twice, out of order or again much later do not affect the outcome.
func testDuplicatedReorderedAndReplayedFrames(t *testing.T) {
	s := startCluster(t, 3, 4)
	number, at := s.apply("o0", 1)
	s.waitForRevision(number, at, s.all()...)
	s.SetFrameFaults(link.FrameFaults{Duplicate: 0.3, Reorder: 0.3, Replay: 0.3})
	for i := range 10 {
		number, at = s.apply(s.origins[i%3], 10+i)
		s.waitForRevision(number, at, s.all()...)
	}
	s.Heal()
	number, at = s.apply("o0", 50)
	s.waitForRevision(number, at, s.all()...)
}

// A change during the replacement of a process takes effect in both processes, and the instance continues under its
// name.
func testChangeDuringReplacement(t *testing.T) {
	s := startCluster(t, 1, 3)
	number, at := s.apply("o0", 1)
	s.waitForRevision(number, at, s.all()...)
	for i, name := range []string{"f0", "o0"} {
		old, err := s.Replace(name) // from now on the control API is that of the second process
		require.NoError(t, err)
		if name != "o0" { // the first process of the origin still creates the revisions, but its API is gone
			number, at = s.apply("o0", 10+i)
			s.waitForRevision(number, at, s.all()...)
		}
		require.NoError(t, s.Terminate(old))
		number, at = s.apply("o0", 20+i)
		s.waitForRevision(number, at, s.all()...)
	}
}

// All instances of a zone, including the leading origin, are killed at once. The others continue, and the killed ones
// catch up after their restart.
func testZoneKilled(t *testing.T) {
	s := startCluster(t, 3, 5)
	number, at := s.apply("o0", 1)
	s.waitForRevision(number, at, s.all()...)
	zone := []string{s.waitForLeader("f1"), "f0", "f3"}
	s.Kill(zone...)
	for i := range 3 {
		number, at = s.apply(without(s.origins, zone...)[0], 10+i)
		s.waitForRevision(number, at, without(s.all(), zone...)...)
	}
	require.NoError(t, s.Restart(zone...))
	s.waitForRevision(number, time.Now(), s.all()...)
}

// A snapshot whose transfer is interrupted between two chunks takes effect completely or not at all.
func testInterruptedSnapshotTransfer(t *testing.T) {
	s := startCluster(t, 1, 2)
	number, at := s.apply("o0", 1)
	s.waitForRevision(number, at, s.all()...)
	for i := range 3 {
		s.Kill("f0")
		require.NoError(t, s.WipeState("f0"))
		s.mu.Lock()
		s.highestSeen["f0"] = 0 // its state is empty now
		s.mu.Unlock()
		number, at = s.apply("o0", 10+i)
		s.waitForRevision(number, at, "o0", "f1")
		received := s.Link("o0", "f0").Bytes(link.Forward)
		s.Link("o0", "f0").Delay(100*time.Millisecond, link.Forward)
		require.NoError(t, s.Restart("f0"))
		require.Eventually(t, func() bool {
			return s.Link("o0", "f0").Bytes(link.Forward) > received+configlog.ChunkBytes
		}, waitTimeout, time.Millisecond)
		held, ok := s.revisionAt("f0")
		require.True(t, ok)
		require.Zero(t, held, "only a part of the snapshot has arrived")
		s.Link("o0", "f0").Reset()
		s.Link("o0", "f0").Heal()
		s.waitForRevision(number, time.Now(), s.all()...)
	}
}
