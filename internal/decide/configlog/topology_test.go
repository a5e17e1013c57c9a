package configlog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// testInstallation returns a roster of 4 regions with 3 zones each, with 3 origins, 15 relays and some followers.
func testInstallation(followers int) (r Roster) {
	for i := range followers + 18 {
		m := Member{Node: NodeID(fmt.Sprint("f", i-18)), Region: fmt.Sprint("r", i%4), Zone: fmt.Sprint("z", i%12)}
		switch {
		case i < 3:
			m.Node, m.Role = NodeID(fmt.Sprint("o", i)), Origin
		case i < 18:
			m.Node, m.Role = NodeID(fmt.Sprint("c", i)), Relay
		}
		r = append(r, m)
	}
	return r
}

// Each member but the origins has two parents on the level above, in two zones, and no member feeds more than its
// fan-out.
func TestTopology(t *testing.T) {
	for followers, depth := range map[int]int{0: 1, 1: 2, 30: 3, 300: 4, 1000: 5, 3000: 6} {
		fan := DefaultFanOut()
		roster := testInstallation(followers)
		topology, err := NewTopology(roster, fan)
		require.NoError(t, err)
		require.LessOrEqual(t, topology.Depth(), depth, followers)
		for i, m := range roster {
			require.LessOrEqual(t, len(topology.Children(m.Node)), topology.fanOut(m.Node, fan), m.Node)
			if m.Role == Origin {
				continue
			}
			p := topology.Parents(m.Node)
			require.Len(t, p, parentsPerMember)
			require.NotEqual(t, p[0], p[1])
			require.NotEqual(t, topology.members[p[0]].Zone, topology.members[p[1]].Zone, m.Node)
			for _, parent := range p {
				require.Equal(t, topology.Level(m.Node)-1, topology.Level(parent))
				require.Contains(t, topology.Children(parent), m.Node)
			}
			if len(roster) > 400 && i%10 > 0 {
				continue // ranking thousands of members for each of thousands takes long
			}
			for _, s := range topology.FallbackParents(m.Node) {
				require.Less(t, topology.Level(s), max(2, topology.Level(m.Node)))
			}
		}
	}
}

// The topology does not depend on the order of the roster.
func TestTopologyIgnoresRosterOrder(t *testing.T) {
	roster := testInstallation(300)
	topology, err := NewTopology(roster, DefaultFanOut())
	require.NoError(t, err)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(roster), func(i, k int) { roster[i], roster[k] = roster[k], roster[i] })
	other, err := NewTopology(roster, DefaultFanOut())
	require.NoError(t, err)
	for _, m := range roster {
		require.Equal(t, topology.Parents(m.Node), other.Parents(m.Node))
		require.ElementsMatch(t, topology.Children(m.Node), other.Children(m.Node))
	}
}

// One more follower changes the parents of few other members.
func TestTopologyStability(t *testing.T) {
	before, err := NewTopology(testInstallation(300), DefaultFanOut())
	require.NoError(t, err)
	after, err := NewTopology(testInstallation(301), DefaultFanOut())
	require.NoError(t, err)
	moved, edges := 0, 0
	for _, m := range testInstallation(300) {
		for _, p := range before.Parents(m.Node) {
			edges++
			if !slices.Contains(after.Parents(m.Node), p) {
				moved++
			}
		}
	}
	t.Logf("%d of %d edges moved", moved, edges)
	require.Less(t, moved, edges/5)
}

func TestInvalidRosters(t *testing.T) {
	good := testInstallation(2)
	require.NoError(t, good.Validate())
	for name, bad := range map[string]Roster{
		"no origin":    good[3:],
		"two origins":  good[1:],
		"a name twice": append(slices.Clone(good), good[5]),
		"no name":      append(slices.Clone(good), Member{}),
		"unknown role": append(slices.Clone(good), Member{Node: "x", Role: 9}),
		"a long name":  append(slices.Clone(good), Member{Node: NodeID(make([]byte, MaxNodeID+1))}),
		"too many":     make(Roster, MaxMembers+1),
	} {
		require.ErrorIs(t, bad.Validate(), ErrRoster, name)
	}
	_, err := New(Options{Node: "nobody", Roster: good}, SavedState{})
	require.ErrorIs(t, err, ErrRoster)
}

// By the formulas, a change takes effect within the required 4 s, for one fault of the worst kind and one-way delays of
// 80 ms between regions and 4 ms within a region.
func TestDelayBounds(t *testing.T) {
	topology, err := NewTopology(testInstallation(300), DefaultFanOut())
	require.NoError(t, err)
	b := NewDelayBounds(DefaultTiming(), topology.Depth(), LinkDelays{BetweenRegions: 80_000, WithinRegion: 4_000})
	for _, line := range b.Formulas() {
		t.Log(line)
	}
	require.LessOrEqual(t, b.WorstCase(), int64(4_000_000))
}
