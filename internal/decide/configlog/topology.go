package configlog

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// Role is the role of a member in the installation.
type Role uint8

// Roles of members.
const (
	Follower Role = iota // an instance that holds a replica and passes revisions on, within FanOut.Follower
	Relay                // a control machine at the top of its region's tree, below the origins
	Origin               // a control machine that votes on revisions
)

// Member is an instance on the roster.
type Member struct {
	Node         NodeID
	Region, Zone string
	Role         Role
}

// Roster lists all members of the installation. Each instance is started with it.
type Roster []Member

// ErrRoster is wrapped by the errors of rosters that cannot be used.
var ErrRoster = errors.New("roster")

// Validate returns an error for a roster that cannot be used: it has too many members, a name twice, empty or too long,
// an unknown role, or a number of origins other than 1, 3 or 5.
func (r Roster) Validate() error {
	if len(r) > MaxMembers {
		return fmt.Errorf("%w: %d members, more than %d", ErrRoster, len(r), MaxMembers)
	}
	names, origins := map[NodeID]bool{}, 0
	for _, m := range r {
		if m.Node == "" || len(m.Node) > MaxNodeID {
			return fmt.Errorf("%w: a member name of %d bytes", ErrRoster, len(m.Node))
		}
		if names[m.Node] {
			return fmt.Errorf("%w: %q is listed twice", ErrRoster, m.Node)
		}
		if m.Role > Origin {
			return fmt.Errorf("%w: %q has role %d", ErrRoster, m.Node, m.Role)
		}
		names[m.Node] = true
		if m.Role == Origin {
			origins++
		}
	}
	if origins != 1 && origins != 3 && origins != MaxOrigins {
		return fmt.Errorf("%w: %d origins instead of 1, 3 or %d", ErrRoster, origins, MaxOrigins)
	}
	return nil
}

// parentsPerMember is the number of parents of each member, the members that feed it. They are in different zones if
// possible.
const parentsPerMember = 2

// minRegionHeads is the minimum number of heads of a region: the members that the origins feed directly.
const minRegionHeads = 3

// Topology says which members feed which: parents send digests and pushes to their children and answer their pulls.
// Every member computes the same topology from the same roster.
type Topology struct {
	Origins  []NodeID
	members  map[NodeID]Member
	level    map[NodeID]int // hops from the origins; 0 for origins
	parents  map[NodeID][]NodeID
	children map[NodeID][]NodeID
	byRegion map[string][]NodeID // members by level, without the origins
	depth    int
}

// rendezvousWeight is the weight of b for a in rendezvous hashing, which orders the candidates for a member so that
// adding or removing one member changes few parents of others.
func rendezvousWeight(a, b NodeID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a))
	h.Write([]byte{0})
	h.Write([]byte(b))
	v := h.Sum64()
	v = (v ^ v>>33) * 0xff51afd7ed558ccd // MurmurHash3 finalizer: FNV gives names that differ at the end similar sums
	v = (v ^ v>>33) * 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// rankByWeight returns nodes sorted by their weight for key, the highest first.
func rankByWeight(key NodeID, nodes []NodeID) []NodeID {
	weights := make(map[NodeID]uint64, len(nodes))
	for _, n := range nodes {
		weights[n] = rendezvousWeight(key, n)
	}
	nodes = slices.Clone(nodes)
	slices.SortFunc(nodes, func(a, b NodeID) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return nodes
}

// NewTopology computes the topology of a roster. In each region the heads are its relays, filled up with followers to
// three; origins feed them. All other followers are in levels, each fed by the level above it within the fan-out.
func NewTopology(roster Roster, fan FanOut) (*Topology, error) {
	if err := roster.Validate(); err != nil {
		return nil, err
	}
	t := &Topology{members: map[NodeID]Member{}, level: map[NodeID]int{}, parents: map[NodeID][]NodeID{},
		children: map[NodeID][]NodeID{}, byRegion: map[string][]NodeID{}}
	relays, followers := map[string][]NodeID{}, map[string][]NodeID{}
	for _, m := range roster {
		t.members[m.Node] = m
		switch m.Role {
		case Origin:
			t.Origins = append(t.Origins, m.Node)
		case Relay:
			relays[m.Region] = append(relays[m.Region], m.Node)
		default:
			followers[m.Region] = append(followers[m.Region], m.Node)
		}
		t.byRegion[m.Region] = nil
	}
	slices.Sort(t.Origins)
	for _, region := range slices.Sorted(maps.Keys(t.byRegion)) {
		heads, rest := rankByWeight(NodeID(region), relays[region]), rankByWeight(NodeID(region), followers[region])
		for len(heads) < minRegionHeads && len(rest) > 0 {
			i := max(0, slices.IndexFunc(rest, func(n NodeID) bool { return !t.sharesZone(n, heads) }))
			heads, rest = append(heads, rest[i]), slices.Delete(rest, i, i+1)
		}
		t.addLevel(t.Origins, heads, fan)
		for level := heads; len(rest) > 0; {
			next := rest[:min(len(rest), t.capacity(level, fan))]
			t.addLevel(level, next, fan)
			level, rest = next, rest[len(next):]
		}
	}
	return t, nil
}

func (t *Topology) sharesZone(n NodeID, members []NodeID) bool {
	return slices.ContainsFunc(members, func(o NodeID) bool { return t.members[o].Zone == t.members[n].Zone })
}

// fanOut returns how many children a member may have.
func (t *Topology) fanOut(n NodeID, fan FanOut) int {
	if t.members[n].Role == Follower {
		return fan.Follower
	}
	return fan.Relay
}

// capacity returns how many members are placed below a level: three quarters of what its fan-out allows, so that there
// is a choice of zones.
func (t *Topology) capacity(level []NodeID, fan FanOut) int {
	edges := 0
	for _, n := range level {
		edges += t.fanOut(n, fan)
	}
	return max(1, edges*3/4/min(parentsPerMember, len(level)))
}

// addLevel assigns to each member its parents in the level above: those of the highest weight that have capacity, the
// second one in another zone if possible.
func (t *Topology) addLevel(above, members []NodeID, fan FanOut) {
	for _, n := range members {
		t.level[n] = t.level[above[0]] + 1
		t.depth = max(t.depth, t.level[n])
		t.byRegion[t.members[n].Region] = append(t.byRegion[t.members[n].Region], n)
		for len(t.parents[n]) < min(parentsPerMember, len(above)) {
			p := t.chooseParent(n, above, fan)
			t.parents[n] = append(t.parents[n], p)
			t.children[p] = append(t.children[p], n)
		}
	}
}

// chooseParent returns the next parent of a member: one with capacity in another zone, or else one with capacity, or
// else the one that exceeds its fan-out by the least. Among equals the highest weight wins.
func (t *Topology) chooseParent(n NodeID, above []NodeID, fan FanOut) (parent NodeID) {
	candidates := slices.DeleteFunc(rankByWeight(n, above),
		func(p NodeID) bool { return slices.Contains(t.parents[n], p) })
	hasCapacity := func(p NodeID) bool { return len(t.children[p]) < t.fanOut(p, fan) }
	for _, p := range candidates {
		if hasCapacity(p) && !t.sharesZone(p, t.parents[n]) {
			return p
		}
	}
	return slices.MinFunc(candidates, func(a, b NodeID) int {
		return cmp.Compare(max(0, len(t.children[a])-t.fanOut(a, fan)+1), max(0, len(t.children[b])-t.fanOut(b, fan)+1))
	})
}

// Member returns a member of the roster.
func (t *Topology) Member(n NodeID) (m Member, ok bool) {
	m, ok = t.members[n]
	return m, ok
}

// Parents returns the members that feed a member, in the order in which it prefers them.
func (t *Topology) Parents(n NodeID) []NodeID { return t.parents[n] }

// Children returns the members that a member feeds.
func (t *Topology) Children(n NodeID) []NodeID { return t.children[n] }

// Level returns how many hops a member is from the origins.
func (t *Topology) Level(n NodeID) int { return t.level[n] }

// Depth returns the greatest level of all members.
func (t *Topology) Depth() int { return t.depth }

// FallbackParents returns the members that may feed a member that has lost its parents: members of its region on
// levels closer to the origins, then the origins, then the heads of other regions, each group in the order of
// rendezvous hashing.
func (t *Topology) FallbackParents(n NodeID) []NodeID {
	var above, heads []NodeID
	for _, other := range t.byRegion[t.members[n].Region] {
		if t.level[other] < t.level[n] {
			above = append(above, other)
		}
	}
	for region, nodes := range t.byRegion {
		if region == t.members[n].Region {
			continue
		}
		for _, other := range nodes {
			if t.level[other] == 1 {
				heads = append(heads, other)
			}
		}
	}
	candidates := append(rankByWeight(n, above), rankByWeight(n, t.Origins)...)
	candidates = append(candidates, rankByWeight(n, heads)...)
	return slices.DeleteFunc(candidates,
		func(other NodeID) bool { return other == n || slices.Contains(t.parents[n], other) })
}

// Neighbors returns the members that a member communicates with in normal operation, each once: the I/O layer keeps
// connections with them. Apart from replies, a member only sends messages to its Neighbors, to its FallbackParents, and
// to an origin for an Apply.
func (t *Topology) Neighbors(n NodeID) []NodeID {
	neighbors := append(slices.Clone(t.parents[n]), t.children[n]...)
	if t.members[n].Role == Origin {
		neighbors = append(neighbors, t.Origins...)
	}
	slices.Sort(neighbors)
	return slices.DeleteFunc(slices.Compact(neighbors), func(other NodeID) bool { return other == n })
}
