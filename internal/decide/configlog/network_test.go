package configlog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// choiceSource chooses what happens next: rapid, which shrinks failing runs, or a seeded random source.
type choiceSource interface {
	// intN returns a number from 0 to n-1.
	intN(n int) int
}

type randomChoices struct{ *rand.Rand }

func (c randomChoices) intN(n int) int { return c.IntN(n) }

type rapidChoices struct{ t *rapid.T }

func (c rapidChoices) intN(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "n") }

// instance is a member and the state on its disk.
type instance struct {
	node    *Node
	saved   SavedState
	starts  uint64
	maxHeld uint64 // the highest number that was ever in effect here; 0 again after the loss of the disk
}

// cluster simulates a whole installation and its network. Messages may be delayed, lost, reordered and duplicated.
type cluster struct {
	roster     Roster
	mutations  mutations
	now        int64
	instances  map[NodeID]*instance
	inFlight   []Message
	committed  map[uint64]Revision // by number: revisions that were in effect at any instance
	bases      map[uint64]Revision // the revision from which each change was made, by ID
	frozen     map[NodeID]bool     // stopped for now; messages to them wait
	diskLosses int                 // how many disks may still be lost
	applyCount uint64
	drops      map[DropReason]int
	err        error
}

func testRoster(origins, followers int) (r Roster) {
	for i := range origins {
		r = append(r, Member{NodeID(fmt.Sprint("o", i)), "r0", fmt.Sprint("z", i), Origin})
	}
	for i := range followers {
		r = append(r, Member{NodeID(fmt.Sprint("f", i)), "r0", fmt.Sprint("z", i%3), Follower})
	}
	return r
}

func newCluster(r Roster, broken mutations, diskLosses int) *cluster {
	c := &cluster{roster: r, mutations: broken, now: 1_000_000, instances: map[NodeID]*instance{},
		diskLosses: diskLosses, committed: map[uint64]Revision{}, bases: map[uint64]Revision{},
		frozen: map[NodeID]bool{}, drops: map[DropReason]int{}}
	for _, m := range r {
		c.instances[m.Node] = &instance{}
		c.start(m.Node, true)
	}
	return c
}

// start starts or restarts an instance from its disk.
func (c *cluster) start(id NodeID, bootstrap bool) {
	instance := c.instances[id]
	instance.starts++
	saved := instance.saved
	if saved.Document != nil {
		saved.Document = saved.Document.Clone()
	}
	n, err := New(Options{Node: id, Roster: c.roster, Seed: 1, Incarnation: instance.starts, Bootstrap: bootstrap,
		OnDrop: func(reason DropReason) { c.drops[reason]++ }}, saved)
	if err != nil {
		panic(err)
	}
	if n.origin != nil {
		n.origin.mutations = c.mutations
	}
	n.replica.installsOlderSnapshots = c.mutations.installsOlderSnapshots
	instance.node = n
	c.execute(id, n.Tick(c.now))
}

func (c *cluster) fail(format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, args...)
	}
}

// execute carries out effects: it saves, checks the revisions that took effect and the results that were reported, and
// sends the messages.
func (c *cluster) execute(id NodeID, e Effects) {
	i := c.instances[id]
	if e.Replaced {
		c.checkInForce(id, i.node.Document().Revision())
	}
	for _, d := range e.Deltas {
		c.checkInForce(id, d.Revision)
	}
	if e.Replaced || len(e.Deltas) > 0 {
		i.saved.Document = i.node.Document().Clone()
	}
	if e.SaveVote {
		i.saved.Vote = i.node.Vote()
	}
	for _, r := range e.Results {
		if r.Outcome == Committed && c.committed[r.Revision.Number] != r.Revision {
			c.fail("%v was reported as committed, but %v is in effect", r.Revision, c.committed[r.Revision.Number])
		}
		if r.Outcome == Committed && c.bases[r.ID].Number+1 != r.Revision.Number {
			c.fail("%v was made from %v", r.Revision, c.bases[r.ID])
		}
	}
	c.inFlight = append(c.inFlight, e.Messages...)
}

// checkInForce checks a revision that has taken effect: no other instance has another one of its number, and the
// instance does not go back.
func (c *cluster) checkInForce(id NodeID, r Revision) {
	i := c.instances[id]
	if known, ok := c.committed[r.Number]; ok && known != r {
		c.fail("%s has %v in effect, but another instance had %v", id, r, known)
	}
	if r.Number <= i.maxHeld {
		c.fail("%s went from revision %d to %d", id, i.maxHeld, r.Number)
	}
	c.committed[r.Number], i.maxHeld = r, r.Number
}

func (c *cluster) deliver(m Message) {
	body, err := ParseBody(AppendBody(nil, m.Body))
	if err != nil {
		c.fail("%T: %v", m.Body, err)
		return
	}
	c.execute(m.To, c.instances[m.To].node.Handle(c.now, Message{m.From, m.To, body}))
}

// apply requests a change of the revision that an instance holds.
func (c *cluster) apply(id NodeID) {
	c.applyCount++
	n := c.instances[id].node
	base := n.Document().Revision()
	c.bases[c.applyCount] = base
	change := Change{{Key: fmt.Sprint("k", c.applyCount%3), Value: fmt.Append(nil, c.applyCount)}}
	c.execute(id, n.Apply(c.now, c.applyCount, base, change))
}

// deliverable returns the indices of the messages that may be delivered next: only the oldest few, so that no message
// is overtaken by too many.
func (c *cluster) deliverable() (indices []int) {
	for k, m := range c.inFlight {
		if !c.frozen[m.To] && len(indices) < 12 {
			indices = append(indices, k)
		}
	}
	return indices
}

// step executes one random event.
func (c *cluster) step(choices choiceSource) {
	id := c.roster[choices.intN(len(c.roster))].Node
	deliverable := c.deliverable()
	switch action := choices.intN(100); {
	case action < 68 && len(deliverable) > 0:
		k := deliverable[choices.intN(len(deliverable))]
		m := c.inFlight[k]
		if choices.intN(12) > 0 { // otherwise it is duplicated
			c.inFlight = slices.Delete(c.inFlight, k, k+1)
		}
		if choices.intN(10) > 0 { // otherwise this copy is lost
			c.deliver(m)
		}
	case action < 70:
		c.frozen[id] = !c.frozen[id]
	case c.frozen[id]:
	case action < 76:
		c.apply(id)
	case action < 79:
		c.start(id, false)
	case action < 80 && c.diskLosses > 0 && c.othersCanVote(id):
		c.diskLosses--
		i := c.instances[id]
		i.saved, i.maxHeld = SavedState{}, 0
		c.start(id, false)
	default:
		c.now += int64(choices.intN(8)) * 50_000
		c.execute(id, c.instances[id].node.Tick(c.now))
	}
	if len(c.inFlight) > 200 {
		k := choices.intN(len(c.inFlight))
		c.inFlight = slices.Delete(c.inFlight, k, k+1)
	}
}

// othersCanVote reports whether all other origins vote. Two origins that have lost their disks at the same time never
// vote again, as intended.
func (c *cluster) othersCanVote(id NodeID) bool {
	for _, m := range c.roster {
		if m.Role == Origin && m.Node != id && !c.instances[m.Node].saved.Vote.CanVote {
			return false
		}
	}
	return true
}

// runFor advances the time without faults: all messages are delivered in order.
func (c *cluster) runFor(duration int64) {
	for end := c.now + duration; c.now < end && c.err == nil; c.now += 50_000 {
		for _, m := range c.roster {
			c.execute(m.Node, c.instances[m.Node].node.Tick(c.now))
		}
		for len(c.inFlight) > 0 && c.err == nil {
			m := c.inFlight[0]
			c.inFlight = c.inFlight[1:]
			c.deliver(m)
		}
	}
}

// checkConvergence checks the end of a run: without further faults, all instances get the latest revision that was ever
// in effect anywhere, and a change is committed.
func (c *cluster) checkConvergence() error {
	clear(c.frozen)
	c.runFor(12_000_000)
	latest := uint64(0)
	for n := range c.committed {
		latest = max(latest, n)
	}
	for _, m := range c.roster {
		if held := c.instances[m.Node].node.held(); c.err == nil && held.Number < latest {
			c.fail("%s holds %d in the end, but %d was in effect", m.Node, held.Number, latest)
		}
	}
	if c.err != nil {
		return c.err
	}
	before := c.instances[c.roster[0].Node].node.held().Number
	c.apply(c.roster[len(c.roster)-1].Node)
	c.runFor(2_000_000)
	for _, m := range c.roster {
		if held := c.instances[m.Node].node.held(); c.err == nil && held.Number != before+1 {
			c.fail("%s holds %d after a change to %d", m.Node, held.Number, before)
		}
	}
	return c.err
}

// run executes random steps, and returns the first violation.
func (c *cluster) run(choices choiceSource, steps int) error {
	c.runFor(4_000_000)
	for range steps {
		if c.step(choices); c.err != nil {
			return c.err
		}
	}
	return c.checkConvergence()
}

// seedCount is the number of random runs of a test.
const seedCount = 400

// Without faults a change reaches all members, and a change of an old base is rejected as stale.
func TestChangeReachesAll(t *testing.T) {
	for _, origins := range []int{1, 3, 5} {
		c := newCluster(testRoster(origins, 12), mutations{}, 0)
		c.runFor(6_000_000)
		require.NoError(t, c.err)
		for i := range 5 {
			c.apply(c.roster[i].Node)
			c.runFor(500_000)
			require.NoError(t, c.err)
		}
		for _, m := range c.roster {
			s := c.instances[m.Node].node.Status(c.now)
			require.Equal(t, uint64(5), s.Revision.Number, m.Node)
			require.Less(t, c.now-s.Since, int64(600_000))
			if m.Role == Follower {
				require.Len(t, s.Sources, len(c.instances[m.Node].node.topology.Parents(m.Node)))
			}
		}
		n := c.instances["o0"].node
		old := c.committed[4]
		e := c.instances[n.Status(c.now).Leader].node.Apply(c.now, 99, old, Change{{Key: "x", Value: []byte("y")}})
		require.Equal(t, []Result{{99, Stale, c.committed[5], n.Status(c.now).Leader}}, e.Results)
	}
}

// Origins that have all lost their disks commit nothing more on their own. Manual recovery copies the newest document
// of a follower to all origins and restarts all members; changes then go on after that revision.
func TestAllOriginsLoseTheirDisks(t *testing.T) {
	c := newCluster(testRoster(3, 4), mutations{}, 0)
	c.runFor(5_000_000)
	for range 3 {
		c.apply("f0")
		c.runFor(1_000_000)
	}
	require.Len(t, c.committed, 3)
	for _, o := range []NodeID{"o0", "o1", "o2"} {
		c.instances[o].saved, c.instances[o].maxHeld = SavedState{}, 0
		c.start(o, false)
	}
	c.runFor(10_000_000)
	c.apply("f0")
	c.runFor(10_000_000)
	require.NoError(t, c.err)
	require.Len(t, c.committed, 3)

	newest := c.instances["f1"].saved.Document
	require.Equal(t, uint64(3), newest.Revision().Number)
	for _, m := range c.roster {
		if m.Role == Origin {
			c.instances[m.Node].saved = SavedState{Document: newest.Clone()}
			c.instances[m.Node].maxHeld = 3
		}
		c.start(m.Node, m.Role == Origin)
	}
	require.NoError(t, c.checkConvergence())
	require.Len(t, c.committed, 4)
}

// Messages are lost, duplicated and reordered, members are frozen and restarted, and origins lose their disks one at a
// time. Nevertheless at most one revision of each number takes effect anywhere, no committed revision is lost or
// replaced, no member goes back, and all converge in the end.
func TestAgreementUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(testRoster(3, 2), mutations{}, 2)
		if err := c.run(rapidChoices{t}, 300); err != nil {
			t.Fatal(err)
		}
	})
}

// As TestAgreementUnderFaults, with seeded random runs that are longer than rapid's, and with one, three and five
// origins.
func TestAgreementUnderFaultsSeeded(t *testing.T) {
	for _, origins := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(origins), func(t *testing.T) {
			revisions := 0
			for seed := range uint64(seedCount) {
				c := newCluster(testRoster(origins, 2), mutations{}, origins-1)
				err := c.run(randomChoices{rand.New(rand.NewPCG(seed, 1))}, 1500)
				require.NoError(t, err, "seed %d", seed)
				revisions += len(c.committed)
			}
			t.Logf("%d revisions", revisions)
			require.Greater(t, revisions, 500)
		})
	}
}

// Random runs of a cluster with followers find these mutations within few runs. The mutations of origins that need a
// rarer order of events are found by the search of all orders in TestMutationsAreDetected.
func TestMutationsAreDetectedInRandomRuns(t *testing.T) {
	for name, broken := range map[string]mutations{
		"quorum of one":            {quorumOfOne: true},
		"ignores base":             {ignoresBase: true},
		"leads while behind":       {leadsWhileBehind: true},
		"installs older snapshots": {installsOlderSnapshots: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seedCount) {
				c := newCluster(testRoster(3, 2), broken, 0)
				if err := c.run(randomChoices{rand.New(rand.NewPCG(seed, 1))}, 1500); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("the mutation was not detected")
		})
	}
}
