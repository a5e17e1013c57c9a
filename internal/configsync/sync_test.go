package configsync

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"topazfall/internal/decide/configlog"
)

const testTimeout = 20 * time.Second

// fakeTarget records the current revision, and every revision that is older than the one before it.
type fakeTarget struct {
	mu              sync.Mutex
	revision        configlog.Revision
	entries         map[string][]byte
	appliedAt       time.Time
	regressions     []configlog.Revision
	refusedRevision uint64 // the number of a revision that it cannot apply
}

func (g *fakeTarget) ApplyRevision(r configlog.Revision, entries map[string][]byte) (time.Time, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Number < g.revision.Number {
		g.regressions = append(g.regressions, r)
	}
	if r.Number == g.refusedRevision {
		return time.Time{}, errors.New("it is not for this program")
	}
	g.revision, g.entries, g.appliedAt = r, entries, time.Now()
	return g.appliedAt, nil
}

func (g *fakeTarget) current() (configlog.Revision, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.revision, string(g.entries["key"])
}

// installation runs several instances in this process, connected by Unix sockets.
type installation struct {
	*testing.T
	dir     string
	roster  *Roster
	syncs   map[string]*Sync
	targets map[string]*fakeTarget
}

func startInstallation(t *testing.T, origins, followers int) *installation {
	i := &installation{T: t, dir: t.TempDir(), roster: &Roster{Installation: "test"}, syncs: map[string]*Sync{},
		targets: map[string]*fakeTarget{}}
	add := func(prefix, role string, n int) {
		for k := range n {
			name := fmt.Sprintf("%s%d", prefix, k)
			address := "unix:" + filepath.Join(i.dir, name+".sock")
			i.roster.Members = append(i.roster.Members, Member{Name: name, Address: address, Region: "r",
				Zone: fmt.Sprintf("z%d", k%3), Role: role})
		}
	}
	add("o", "origin", origins)
	add("f", "", followers)
	require.NoError(t, i.roster.check())
	for _, m := range i.roster.Members {
		i.start(m.Name, true)
	}
	t.Cleanup(func() {
		for _, s := range i.syncs {
			s.Close()
		}
	})
	return i
}

func (i *installation) start(name string, bootstrap bool) {
	if i.targets[name] == nil {
		i.targets[name] = &fakeTarget{}
	}
	s, err := New(Options{Name: name, Roster: i.roster, State: filepath.Join(i.dir, name), Bootstrap: bootstrap,
		Target: i.targets[name]})
	require.NoError(i, err)
	s.Start()
	i.syncs[name] = s
}

func (i *installation) stop(name string) {
	i.syncs[name].Close()
	delete(i.syncs, name)
}

// apply creates a revision at an origin, retrying until there is a leader, and returns its number.
func (i *installation) apply(name, value string) uint64 {
	var last configlog.Result
	require.Eventually(i, func() bool {
		held, _ := i.targets[name].current()
		r, err := i.syncs[name].Apply(i.Context(), held.Number, map[string][]byte{"key": []byte(value)})
		last = r
		return err == nil && r.Outcome == configlog.Committed
	}, testTimeout, 20*time.Millisecond, "%v", last)
	return last.Revision.Number
}

// waitForValue waits until all running instances hold a value, and returns how long that took.
func (i *installation) waitForValue(value string) time.Duration {
	began := time.Now()
	require.Eventually(i, func() bool {
		for name := range i.syncs {
			if _, v := i.targets[name].current(); v != value {
				return false
			}
		}
		return true
	}, testTimeout, 5*time.Millisecond, "not all instances hold %q", value)
	for name, g := range i.targets {
		require.Empty(i, g.regressions, name)
	}
	return time.Since(began)
}

func TestRevisionsReachEveryInstance(t *testing.T) {
	before := goleak.IgnoreCurrent()
	i := startInstallation(t, 3, 5)
	for n := range 20 {
		value := fmt.Sprint("v", n)
		require.EqualValues(t, n+1, i.apply(fmt.Sprintf("o%d", n%3), value))
		require.Less(t, i.waitForValue(value), 4*time.Second)
	}
	for name := range i.syncs {
		i.stop(name)
	}
	goleak.VerifyNone(t, before)
}

// Of two concurrent changes of the same base exactly one is committed. The other gets the outcome Stale, or Busy while
// the first is in progress.
func TestOneOfTwoConcurrentAppliesWins(t *testing.T) {
	t.Parallel()
	i := startInstallation(t, 3, 2)
	i.apply("o0", "first")
	i.waitForValue("first")
	for n := range 10 {
		held, _ := i.targets["o0"].current()
		var wait sync.WaitGroup
		results := make([]configlog.Result, 2)
		for k := range 2 {
			wait.Go(func() {
				entries := map[string][]byte{"key": fmt.Append(nil, n, "-", k)}
				r, err := i.syncs[fmt.Sprint("o", k)].Apply(t.Context(), held.Number, entries)
				if err != nil {
					t.Error(err)
				}
				results[k] = r
			})
		}
		wait.Wait()
		committed := 0
		for _, r := range results {
			if r.Outcome == configlog.Committed {
				committed++
				require.Equal(t, held.Number+1, r.Revision.Number)
			} else {
				require.Contains(t, []configlog.Outcome{configlog.Stale, configlog.Busy}, r.Outcome)
			}
		}
		require.Equal(t, 1, committed, "%v", results)
		require.Eventually(t, func() bool {
			for name := range i.syncs {
				if r, _ := i.targets[name].current(); r.Number != held.Number+1 {
					return false
				}
			}
			return true
		}, testTimeout, 5*time.Millisecond)
	}
}

// A restarted instance continues from its saved state. One that lost its state receives the whole document, and an
// origin that lost its state votes again.
func TestRestart(t *testing.T) {
	t.Parallel()
	i := startInstallation(t, 3, 3)
	i.apply("o0", "first")
	i.waitForValue("first")
	i.stop("f0")
	i.stop("o1")
	i.apply("o0", "second")
	i.waitForValue("second")
	i.start("f0", false)
	require.NoError(t, i.wipe("o1"))
	i.start("o1", false)
	require.Less(t, i.waitForValue("second"), 4*time.Second)
	require.Eventually(t, func() bool { return i.syncs["o1"].Status().Voting }, testTimeout, 5*time.Millisecond,
		"the other origins reported what it may have voted for")
	i.stop("o2")
	i.apply("o1", "third")
	i.waitForValue("third")
}

// wipe removes the saved state of an instance.
func (i *installation) wipe(name string) error {
	i.targets[name] = &fakeTarget{}
	return os.RemoveAll(filepath.Join(i.dir, name))
}

func TestApplyAtFollower(t *testing.T) {
	t.Parallel()
	i := startInstallation(t, 1, 1)
	_, err := i.syncs["f0"].Apply(t.Context(), 0, nil)
	require.ErrorIs(t, err, ErrNotOrigin)
	require.EqualValues(t, 1, i.apply("o0", "x"))
	r, err := i.syncs["o0"].Apply(t.Context(), 0, nil)
	require.NoError(t, err)
	require.Equal(t, configlog.Stale, r.Outcome)
	r, err = i.syncs["o0"].Apply(t.Context(), 1, map[string][]byte{"key": make([]byte, configlog.MaxValue+1)})
	require.NoError(t, err)
	require.Equal(t, configlog.Invalid, r.Outcome)
}

// A process that waits for another process of its instance rejects changes at once, and its status has a fault.
func TestApplyBeforeStart(t *testing.T) {
	t.Parallel()
	i := startInstallation(t, 1, 1)
	waiting, err := New(Options{Name: "o0", Roster: i.roster, State: t.TempDir(), Target: &fakeTarget{}})
	require.NoError(t, err)
	began := time.Now()
	_, err = waiting.Apply(t.Context(), 0, nil)
	require.ErrorIs(t, err, ErrNotRunning)
	require.Contains(t, waiting.Status().Fault, "another process")
	require.Less(t, time.Since(began), time.Second)
	waiting.Close()
}

// A revision that one instance cannot apply reaches the others, and the status of the instance has the fault. The next
// revision is applied there too.
func TestUnusableRevisionIsReported(t *testing.T) {
	t.Parallel()
	i := startInstallation(t, 1, 2)
	i.targets["f0"].refusedRevision = 1
	i.apply("o0", "x")
	require.Eventually(t, func() bool {
		_, v := i.targets["f1"].current()
		return v == "x" && strings.Contains(i.syncs["f0"].Status().Fault, "not for this program")
	}, testTimeout, 5*time.Millisecond)
	i.apply("o0", "y")
	i.waitForValue("y")
	require.Empty(t, i.syncs["f0"].Status().Fault)
}

func TestStatusAll(t *testing.T) {
	t.Parallel()
	i := startInstallation(t, 3, 2)
	i.apply("o0", "x")
	i.waitForValue("x")
	i.stop("f1")
	statuses := i.syncs["o1"].StatusAll(t.Context())
	require.Len(t, statuses, 5)
	for _, a := range statuses {
		if a.Member.Name == "f1" {
			require.Error(t, a.Err)
			continue
		}
		require.NoError(t, a.Err, a.Member.Name)
		require.EqualValues(t, 1, a.Status.Revision)
		require.NotEmpty(t, a.Status.Epoch)
		require.Positive(t, a.Status.SinceUs)
	}
}

// A disk error ends the session, so that no unsaved state becomes visible. The instance resumes when the disk works
// again.
func TestDiskFailure(t *testing.T) {
	t.Parallel()
	i := startInstallation(t, 1, 1)
	i.apply("o0", "x")
	i.waitForValue("x")
	require.NoError(t, replaceWithFile(filepath.Join(i.dir, "o0")))
	r, err := i.syncs["o0"].Apply(t.Context(), 1, map[string][]byte{"key": []byte("y")})
	require.NoError(t, err)
	require.Equal(t, configlog.Unknown, r.Outcome, "it may have been saved")
	_, v := i.targets["f0"].current()
	require.Equal(t, "x", v)
	require.NotEmpty(t, i.syncs["o0"].Status().Fault)
	require.NoError(t, restoreFolder(filepath.Join(i.dir, "o0")))
	require.EqualValues(t, 2, i.apply("o0", "z"))
	require.Less(t, i.waitForValue("z"), 4*time.Second)
}

// --bootstrap applies only to the start of the process: an origin whose state folder disappears while it runs must not
// vote from an empty state.
func TestBootstrapAppliesOnce(t *testing.T) {
	t.Parallel()
	i := startInstallation(t, 1, 0)
	i.apply("o0", "x")
	folder := filepath.Join(i.dir, "o0")
	require.NoError(t, replaceWithFile(folder))
	_, err := i.syncs["o0"].Apply(t.Context(), 1, map[string][]byte{"key": []byte("y")})
	require.NoError(t, err)
	require.NoError(t, os.Remove(folder))
	require.Eventually(t, func() bool {
		s := i.syncs["o0"].Status()
		return s.Voting || strings.Contains(s.Fault, "does not vote")
	}, testTimeout, 10*time.Millisecond)
	votes := func() bool { return i.syncs["o0"].Status().Voting }
	require.Never(t, votes, 20*tickInterval, tickInterval/5, "an origin that bootstraps votes at the first tick")
}

func dialMember(t *testing.T, i *installation, name string) net.Conn {
	m, _ := i.roster.Member(name)
	c, err := dial(context.Background(), m.Address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}
