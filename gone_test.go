package topazfall

// Tests of what is kept of workers that have left the list.

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"topazfall/internal/decide/ramp"
)

// deploy replaces workers of a list, a twentieth at a time, and lets the periodic tasks run in between.
func (r *rig) deploy(workers []Worker, release int) {
	for i, part := range slices.Collect(slices.Chunk(workers, max(len(workers)/20, 1))) {
		var patch []Worker
		for j := range part {
			patch = append(patch, Worker{ID: part[j].ID, State: Gone})
			part[j].ID = fmt.Sprintf("r%d-%d-%d", release, i, j)
		}
		r.handle(Event{Kind: ListPatch, List: append(patch, part...)})
		r.tick(4e6)
	}
}

// tick lets time pass, and then the periodic tasks run.
func (r *rig) tick(after int64) {
	r.now += after
	r.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
}

// gone takes a worker off the list.
func (r *rig) gone(id string) {
	r.handle(Event{Kind: ListPatch, List: []Worker{{ID: id, State: Gone}}})
}

// Guards against memory that grows with the workers that were ever listed, until the process is killed for it.
func TestDeploysDoNotGrowMemory(t *testing.T) {
	for _, c := range []struct{ workers, deploys int }{{20, 40}, {3200, 4}} {
		t.Run(fmt.Sprintf("%d deploys of %d", c.deploys, c.workers), func(t *testing.T) {
			const slack = 64 << 10
			workers := fleet(c.workers)
			r := newRig(t, settings(), workers...)
			var heap []uint64
			for release := range c.deploys {
				r.deploy(workers, release)
				require.Equal(t, c.workers, len(r.b.workers))
				var stats runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&stats)
				heap = append(heap, stats.HeapAlloc)
			}
			gone := c.workers * (c.deploys - 1)
			grown := int64(heap[c.deploys-1]) - int64(heap[0])
			t.Logf("heap %d B after the first deploy, %d B after the last: %.1f B for each worker gone", heap[0],
				heap[c.deploys-1], float64(grown)/float64(gone))
			require.Less(t, grown, int64(slack))
		})
	}
}

// Guards against workers that a list without them keeps alive beyond its end.
func TestSmallerListFreesTheRest(t *testing.T) {
	r := newRig(t, settings(), fleet(3200)...)
	r.handle(Event{Kind: ListSnapshot, List: fleet(20)})
	r.tick(4e6)
	require.Equal(t, 20, len(r.b.workers))
	require.Empty(t, r.b.gone)
	for _, list := range [][]*worker{r.b.gone, r.b.ranked, r.b.buddies, r.b.nonBuddies, r.b.coldNonBuddies} {
		for _, w := range list[:cap(list)] {
			require.True(t, w == nil || w.listed)
		}
	}
	r.handle(Event{Kind: ListPatch, List: []Worker{{ID: "unknown", Kind: "unknown", State: Gone}}})
	require.Equal(t, 20, len(r.b.workers))
	require.NotContains(t, r.b.kinds, "unknown")
}

// A worker that is gone is kept as long as a request that was sent there is in progress: it is not taken for another
// worker when it returns, and its outcome counts.
func TestGoneWorkerIsKeptForItsRequests(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	id, acts := r.arrive(safe)
	first := r.requireSend(acts).Worker
	r.gone(first)
	r.tick(10e3)
	require.Contains(t, r.b.workers, first)
	r.handle(Event{Kind: ListPatch, List: []Worker{{ID: first, Zone: "a", Kind: "std"}}})
	second := r.requireSend(r.finishAttempt(id, 0, first, Errored)).Worker
	require.NotEqual(t, first, second, "tried already")
	r.gone(first)
	r.tick(10e3)
	require.Contains(t, r.b.workers, first)
	r.finishAttempt(id, 1, second, Completed)
	r.tick(4e6)
	require.NotContains(t, r.b.workers, first)
	r.handle(Event{Kind: ListPatch, List: []Worker{{ID: first, Zone: "a", Kind: "std"}}})
	require.Zero(t, r.b.workers[first].consecutiveErrors, "starts as a new worker")
}

// A request that another process has begun may have been sent to a worker that this one has never had on its list.
func TestUnlistedWorkerOfResumedRequestIsForgotten(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	r.handle(Event{Kind: Resumed, Request: 7, Class: safe, Tenant: -1, Due: r.now + 10e6, Hint: 200e3,
		Tries: []Try{{Worker: "other", Sent: r.now}}})
	r.tick(10e3)
	require.Contains(t, r.b.workers, "other")
	r.finishAttempt(7, 0, "other", Completed)
	r.tick(4e6)
	require.NotContains(t, r.b.workers, "other")
}

// Guards against a cold worker that gets its budget twice, because it was off the list for a moment.
func TestColdWorkerThatReturnsKeepsItsBudget(t *testing.T) {
	s := settings()
	s.Contract.FallTime = 3e6
	workers := fleet(2)
	workers[0].StartedAt = 99e6
	r := newRig(t, s, workers...)
	cold := r.b.workers["w0"]
	cold.sentWork.Add(ramp.Sent{At: r.now, Work: 1e6}, s.Contract.FallTime)
	r.gone("w0")
	r.tick(1e6)
	r.handle(Event{Kind: ListPatch, List: workers[:1]})
	sent, _ := r.b.workers["w0"].sentWork.Since(r.now - s.Contract.FallTime)
	require.Equal(t, 1e6, sent)
	r.gone("w0")
	r.tick(4e6)
	require.NotContains(t, r.b.workers, "w0")
}

// The same, if the process is replaced in that moment.
func TestColdWorkerThatReturnsAtAReplacementKeepsItsBudget(t *testing.T) {
	s := settings()
	s.Contract.FallTime = 3e6
	workers := fleet(2)
	workers[0].StartedAt = 99e6
	old := newRig(t, s, workers...)
	old.b.workers["w0"].sentWork.Add(ramp.Sent{At: old.now, Work: 1e6}, s.Contract.FallTime)
	old.gone("w0")
	young := newRig(t, s, workers[1])
	young.b.Restore(young.now, old.b.Memory())
	young.b.RestoreColdWork(old.b.ColdWork())
	young.handle(Event{Kind: ListPatch, List: workers[:1]})
	sent, _ := young.b.workers["w0"].sentWork.Since(young.now - s.Contract.FallTime)
	require.Equal(t, 1e6, sent)
	require.Equal(t, old.b.coldBudget(old.b.workers["w0"]), young.b.coldBudget(young.b.workers["w0"]))
	young.gone("w0")
	young.tick(4e6)
	require.NotContains(t, young.b.workers, "w0")
}

// Guards against a worker that fails all jobs and is used again because it was off the list for a moment.
func TestEjectionOutlastsAbsence(t *testing.T) {
	workers := fleet(2)
	workers[0].StartedAt = 50e6
	r := newRig(t, settings(), workers...)
	r.b.eject(r.b.workers["w0"])
	until := r.b.workers["w0"].ejectedUntil
	r.gone("w0")
	r.tick(until - 1 - r.now)
	r.handle(Event{Kind: ListPatch, List: workers[:1]})
	require.Equal(t, until, r.b.workers["w0"].ejectedUntil)
	r.gone("w0")
	workers[0].StartedAt = r.now
	r.handle(Event{Kind: ListPatch, List: workers[:1]})
	require.Zero(t, r.b.workers["w0"].ejectedUntil, "it has started anew")
}

// Guards against a worker that is taken for one of another kind, because a request that another process has begun was
// sent there before the list named it, or because it has changed.
func TestKindFollowsTheList(t *testing.T) {
	workers := fleet(2)
	r := newRig(t, settings(), workers[1])
	r.handle(Event{Kind: Resumed, Request: 7, Class: safe, Tenant: -1, Due: r.now + 10e6, Hint: 200e3,
		Tries: []Try{{Worker: "w0", Sent: r.now}}})
	r.handle(Event{Kind: ListPatch, List: workers[:1]})
	require.Same(t, r.b.kinds["std"], r.b.workers["w0"].kind)
	workers[0].Kind = "big"
	r.handle(Event{Kind: ListPatch, List: workers[:1]})
	require.Same(t, r.b.kinds["big"], r.b.workers["w0"].kind)
	workers[0].Cell = 7
	r.handle(Event{Kind: ListPatch, List: workers[:1]})
	require.Equal(t, r.b.rankOf(&workers[0]), r.b.workers["w0"].rank)
}

// The names of kinds come from the list too.
func TestKindsAreBounded(t *testing.T) {
	r := newRig(t, settings(), fleet(2)...)
	for i := range 10 * maxKinds {
		r.handle(Event{Kind: ListPatch, List: []Worker{{ID: fmt.Sprint("k", i), Kind: fmt.Sprint("kind", i)}}})
		r.gone(fmt.Sprint("k", i))
		r.tick(4e6)
		require.LessOrEqual(t, len(r.b.kinds), maxKinds+1)
	}
	require.Contains(t, r.b.kinds, "std")
}
