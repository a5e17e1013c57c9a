package configlog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// installation has so many followers in 4 regions of 3 zones, 3 origins and 15 relays.
func installation(followers int) (r Roster) {
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

// Everybody has two parents above it, in two zones, and nobody feeds more than its fan-out.
func TestTopology(t *testing.T) {
	for followers, depth := range map[int]int{0: 1, 1: 2, 30: 3, 300: 4, 1000: 5, 3000: 6} {
		fan := DefaultFanOut()
		roster := installation(followers)
		top, err := NewTopology(roster, fan)
		require.NoError(t, err)
		require.LessOrEqual(t, top.Depth(), depth, followers)
		for i, m := range roster {
			require.LessOrEqual(t, len(top.Children(m.Node)), top.fanOut(m.Node, fan), m.Node)
			if m.Role == Origin {
				continue
			}
			p := top.Parents(m.Node)
			require.Len(t, p, parents)
			require.NotEqual(t, p[0], p[1])
			require.NotEqual(t, top.members[p[0]].Zone, top.members[p[1]].Zone, m.Node)
			for _, parent := range p {
				require.Equal(t, top.Level(m.Node)-1, top.Level(parent))
				require.Contains(t, top.Children(parent), m.Node)
			}
			if len(roster) > 400 && i%10 > 0 {
				continue // the ranking of thousands for each of thousands takes long
			}
			for _, s := range top.FallbackParents(m.Node) {
				require.Less(t, top.Level(s), max(2, top.Level(m.Node)))
			}
		}
	}
}

// Whoever asks finds the same, in whatever order the roster is.
func TestTopologyIsTheSameForAll(t *testing.T) {
	roster := installation(300)
	top, err := NewTopology(roster, DefaultFanOut())
	require.NoError(t, err)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(roster), func(i, k int) { roster[i], roster[k] = roster[k], roster[i] })
	other, err := NewTopology(roster, DefaultFanOut())
	require.NoError(t, err)
	for _, m := range roster {
		require.Equal(t, top.Parents(m.Node), other.Parents(m.Node))
		require.ElementsMatch(t, top.Children(m.Node), other.Children(m.Node))
	}
}

// One follower more moves few edges of the others.
func TestTopologyMovesLittle(t *testing.T) {
	before, err := NewTopology(installation(300), DefaultFanOut())
	require.NoError(t, err)
	after, err := NewTopology(installation(301), DefaultFanOut())
	require.NoError(t, err)
	moved, edges := 0, 0
	for _, m := range installation(300) {
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

func TestRosterFaults(t *testing.T) {
	good := installation(2)
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

// The wanted 4 s hold by the formulas, for one fault of the worst kind and links of 80 ms between regions and 4 ms
// within.
func TestBounds(t *testing.T) {
	top, err := NewTopology(installation(300), DefaultFanOut())
	require.NoError(t, err)
	b := NewDelayBounds(DefaultTiming(), top.Depth(), LinkDelays{BetweenRegions: 80_000, WithinRegion: 4_000})
	for _, line := range b.Formulas() {
		t.Log(line)
	}
	require.LessOrEqual(t, b.WorstCase(), int64(4_000_000))
}
