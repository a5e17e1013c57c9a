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

const patience = 20 * time.Second

// target notes what comes into force, and that nothing goes back.
type target struct {
	mu       sync.Mutex
	revision configlog.Revision
	entries  map[string][]byte
	at       time.Time
	back     []configlog.Revision
	refuse   uint64 // the number of a revision that it cannot use
}

func (g *target) ApplyRevision(r configlog.Revision, entries map[string][]byte) (time.Time, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Number < g.revision.Number {
		g.back = append(g.back, r)
	}
	if r.Number == g.refuse {
		return time.Time{}, errors.New("it is not for this program")
	}
	g.revision, g.entries, g.at = r, entries, time.Now()
	return g.at, nil
}

func (g *target) now() (configlog.Revision, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.revision, string(g.entries["key"])
}

// installation is several instances in this process, joined by Unix sockets.
type installation struct {
	*testing.T
	dir     string
	roster  *Roster
	syncs   map[string]*Sync
	targets map[string]*target
}

func install(t *testing.T, origins, followers int) *installation {
	i := &installation{T: t, dir: t.TempDir(), roster: &Roster{Installation: "test"}, syncs: map[string]*Sync{},
		targets: map[string]*target{}}
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
		i.targets[name] = &target{}
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

// apply makes a revision at an origin, as soon as there is a leader, and returns its number.
func (i *installation) apply(name, value string) uint64 {
	var result configlog.Result
	require.Eventually(i, func() bool {
		held, _ := i.targets[name].now()
		r, err := i.syncs[name].Apply(i.Context(), held.Number, map[string][]byte{"key": []byte(value)})
		result = r
		return err == nil && r.Outcome == configlog.Committed
	}, patience, 20*time.Millisecond, "%v", result)
	return result.Revision.Number
}

// reach waits until all that run hold a value, and returns how long that took.
func (i *installation) reach(value string) time.Duration {
	began := time.Now()
	require.Eventually(i, func() bool {
		for name := range i.syncs {
			if _, v := i.targets[name].now(); v != value {
				return false
			}
		}
		return true
	}, patience, 5*time.Millisecond, "not all hold %q", value)
	for name, g := range i.targets {
		require.Empty(i, g.back, name)
	}
	return time.Since(began)
}

func TestRevisionsReachAll(t *testing.T) {
	before := goleak.IgnoreCurrent()
	i := install(t, 3, 5)
	for n := range 20 {
		value := fmt.Sprint("v", n)
		require.EqualValues(t, n+1, i.apply(fmt.Sprintf("o%d", n%3), value))
		require.Less(t, i.reach(value), 4*time.Second)
	}
	for name := range i.syncs {
		i.stop(name)
	}
	goleak.VerifyNone(t, before)
}

// Of two changes of one base one is taken, and the other told that it was late or that another was under way.
func TestOneOfTwoWins(t *testing.T) {
	t.Parallel()
	i := install(t, 3, 2)
	i.apply("o0", "first")
	i.reach("first")
	for n := range 10 {
		held, _ := i.targets["o0"].now()
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
				if r, _ := i.targets[name].now(); r.Number != held.Number+1 {
					return false
				}
			}
			return true
		}, patience, 5*time.Millisecond)
	}
}

// An instance goes on from what it kept; one without anything gets all, and an origin among them votes again.
func TestRestart(t *testing.T) {
	t.Parallel()
	i := install(t, 3, 3)
	i.apply("o0", "first")
	i.reach("first")
	i.stop("f0")
	i.stop("o1")
	i.apply("o0", "second")
	i.reach("second")
	i.start("f0", false)
	require.NoError(t, i.wipe("o1"))
	i.start("o1", false)
	require.Less(t, i.reach("second"), 4*time.Second)
	require.Eventually(t, func() bool { return i.syncs["o1"].Status().Voting }, patience, 5*time.Millisecond,
		"the other two have told it what it may have forgotten")
	i.stop("o2")
	i.apply("o1", "third")
	i.reach("third")
}

// wipe removes what an instance has kept.
func (i *installation) wipe(name string) error {
	i.targets[name] = &target{}
	return os.RemoveAll(filepath.Join(i.dir, name))
}

func TestApplyAtFollower(t *testing.T) {
	t.Parallel()
	i := install(t, 1, 1)
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

// A process that waits for another one of its instance takes nothing, and says so at once.
func TestApplyBeforeStart(t *testing.T) {
	t.Parallel()
	i := install(t, 1, 1)
	waiting, err := New(Options{Name: "o0", Roster: i.roster, State: t.TempDir(), Target: &target{}})
	require.NoError(t, err)
	began := time.Now()
	_, err = waiting.Apply(t.Context(), 0, nil)
	require.ErrorIs(t, err, ErrNotRunning)
	require.Contains(t, waiting.Status().Fault, "another process")
	require.Less(t, time.Since(began), time.Second)
	waiting.Close()
}

// A revision that one program cannot use is not in force there, is said, and reaches the others; the next one is.
func TestRevisionThatCannotBeUsed(t *testing.T) {
	t.Parallel()
	i := install(t, 1, 2)
	i.targets["f0"].refuse = 1
	i.apply("o0", "x")
	require.Eventually(t, func() bool {
		_, v := i.targets["f1"].now()
		return v == "x" && strings.Contains(i.syncs["f0"].Status().Fault, "not for this program")
	}, patience, 5*time.Millisecond)
	i.apply("o0", "y")
	i.reach("y")
	require.Empty(t, i.syncs["f0"].Status().Fault)
}

func TestStatusAll(t *testing.T) {
	t.Parallel()
	i := install(t, 3, 2)
	i.apply("o0", "x")
	i.reach("x")
	i.stop("f1")
	answers := i.syncs["o1"].StatusAll(t.Context())
	require.Len(t, answers, 5)
	for _, a := range answers {
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

// A disk that fails ends the session: what is not saved is shown to nobody. When it is well again all goes on.
func TestDiskFails(t *testing.T) {
	t.Parallel()
	i := install(t, 1, 1)
	i.apply("o0", "x")
	i.reach("x")
	require.NoError(t, makeUnusable(filepath.Join(i.dir, "o0")))
	r, err := i.syncs["o0"].Apply(t.Context(), 1, map[string][]byte{"key": []byte("y")})
	require.NoError(t, err)
	require.Equal(t, configlog.Unknown, r.Outcome, "it may have been saved")
	_, v := i.targets["f0"].now()
	require.Equal(t, "x", v)
	require.NotEmpty(t, i.syncs["o0"].Status().Fault)
	require.NoError(t, makeUsable(filepath.Join(i.dir, "o0")))
	require.EqualValues(t, 2, i.apply("o0", "z"))
	require.Less(t, i.reach("z"), 4*time.Second)
}

// --bootstrap holds for the start of the process: an origin that loses its folder while it runs has forgotten.
func TestBootstrapHoldsOnce(t *testing.T) {
	t.Parallel()
	i := install(t, 1, 0)
	i.apply("o0", "x")
	folder := filepath.Join(i.dir, "o0")
	require.NoError(t, makeUnusable(folder))
	_, err := i.syncs["o0"].Apply(t.Context(), 1, map[string][]byte{"key": []byte("y")})
	require.NoError(t, err)
	require.NoError(t, os.Remove(folder))
	require.Eventually(t, func() bool {
		s := i.syncs["o0"].Status()
		return s.Voting || strings.Contains(s.Fault, "does not vote")
	}, patience, 10*time.Millisecond)
	votes := func() bool { return i.syncs["o0"].Status().Voting }
	require.Never(t, votes, 20*tickPeriod, tickPeriod/5, "it would vote at the first tick")
}

func dialMember(t *testing.T, i *installation, name string) net.Conn {
	m, _ := i.roster.Member(name)
	c, err := dial(context.Background(), m.Address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}
