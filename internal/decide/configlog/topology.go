package configlog

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
)

// Role is what a member does beside following.
type Role uint8

// The roles.
const (
	Follower Role = iota // an instance that follows; it feeds others too, within FanOut.Follower
	Relay                // a control machine: it feeds the members of its region first
	Origin               // a control machine that stores the log and votes on it
)

// Member is an instance on the roster.
type Member struct {
	Node         NodeID
	Region, Zone string
	Role         Role
}

// Roster is all members of the installation. It is part of what an instance is started with.
type Roster []Member

// ErrRoster is wrapped by what says why a roster cannot be used.
var ErrRoster = errors.New("roster")

// Validate returns an error for a roster that cannot be used: names twice or beyond a limit, or a number of origins
// other than 1, 3 or 5.
func (r Roster) Validate() error {
	if len(r) > MaxMembers {
		return fmt.Errorf("%w: %d members, more than %d", ErrRoster, len(r), MaxMembers)
	}
	seen, origins := map[NodeID]bool{}, 0
	for _, m := range r {
		if m.Node == "" || len(m.Node) > MaxNodeID {
			return fmt.Errorf("%w: a name of %d bytes", ErrRoster, len(m.Node))
		}
		if seen[m.Node] {
			return fmt.Errorf("%w: %q is there twice", ErrRoster, m.Node)
		}
		if m.Role > Origin {
			return fmt.Errorf("%w: %q has role %d", ErrRoster, m.Node, m.Role)
		}
		seen[m.Node] = true
		if m.Role == Origin {
			origins++
		}
	}
	if origins != 1 && origins != 3 && origins != MaxOrigins {
		return fmt.Errorf("%w: %d origins, neither 1, 3 nor %d", ErrRoster, origins, MaxOrigins)
	}
	return nil
}

// parents is how many members feed each one, in different zones where there are such.
const parents = 2

// minHeads is how many members of a region at least are fed by the origins.
const minHeads = 3

// Topology is who feeds whom, as every member finds it from the same roster.
type Topology struct {
	Origins  []NodeID
	members  map[NodeID]Member
	level    map[NodeID]int // 0 for origins; hops from them for all others
	parents  map[NodeID][]NodeID
	children map[NodeID][]NodeID
	byRegion map[string][]NodeID // members by level, origins not among them
	depth    int
}

// weight orders candidates for a member by rendezvous hashing: one member more or less moves the edges of a few.
func weight(a, b NodeID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a))
	h.Write([]byte{0})
	h.Write([]byte(b))
	v := h.Sum64()
	v = (v ^ v>>33) * 0xff51afd7ed558ccd // the finalizer of MurmurHash3: FNV leaves names alike that differ at the end
	v = (v ^ v>>33) * 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// ranked sorts nodes by their weight for one, the heaviest first.
func ranked(of NodeID, nodes []NodeID) []NodeID {
	weights := make(map[NodeID]uint64, len(nodes))
	for _, n := range nodes {
		weights[n] = weight(of, n)
	}
	nodes = slices.Clone(nodes)
	slices.SortFunc(nodes, func(a, b NodeID) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return nodes
}

// NewTopology works out who feeds whom. In each region the heads are its relays, or followers where it has fewer than
// three; origins feed them. All others are in levels, each fed by the one before within the bound on its fan-out.
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
		heads, rest := ranked(NodeID(region), relays[region]), ranked(NodeID(region), followers[region])
		for len(heads) < minHeads && len(rest) > 0 {
			i := max(0, slices.IndexFunc(rest, func(n NodeID) bool { return !t.sharesZone(n, heads) }))
			heads, rest = append(heads, rest[i]), slices.Delete(rest, i, i+1)
		}
		t.addLevel(t.Origins, heads, fan)
		for level := heads; len(rest) > 0; {
			next := rest[:min(len(rest), t.room(level, fan))]
			t.addLevel(level, next, fan)
			level, rest = next, rest[len(next):]
		}
	}
	return t, nil
}

func (t *Topology) sharesZone(n NodeID, others []NodeID) bool {
	return slices.ContainsFunc(others, func(o NodeID) bool { return t.members[o].Zone == t.members[n].Zone })
}

// fanOut is how many children a member may have.
func (t *Topology) fanOut(n NodeID, fan FanOut) int {
	if t.members[n].Role == Follower {
		return fan.Follower
	}
	return fan.Relay
}

// room is how many members a level feeds: three quarters of what its fan-out allows, so that there is a choice among
// zones.
func (t *Topology) room(level []NodeID, fan FanOut) int {
	edges := 0
	for _, n := range level {
		edges += t.fanOut(n, fan)
	}
	return max(1, edges*3/4/min(parents, len(level)))
}

// addLevel gives members their parents among those above: the heaviest that have room, the second in another zone if
// there is one.
func (t *Topology) addLevel(above, members []NodeID, fan FanOut) {
	for _, n := range members {
		t.level[n] = t.level[above[0]] + 1
		t.depth = max(t.depth, t.level[n])
		t.byRegion[t.members[n].Region] = append(t.byRegion[t.members[n].Region], n)
		for len(t.parents[n]) < min(parents, len(above)) {
			p := t.choose(n, above, fan)
			t.parents[n] = append(t.parents[n], p)
			t.children[p] = append(t.children[p], n)
		}
	}
}

// choose finds a further parent: in another zone and with room, else with room, else the one with the fewest children.
func (t *Topology) choose(n NodeID, above []NodeID, fan FanOut) (parent NodeID) {
	open := slices.DeleteFunc(ranked(n, above), func(p NodeID) bool { return slices.Contains(t.parents[n], p) })
	hasRoom := func(p NodeID) bool { return len(t.children[p]) < t.fanOut(p, fan) }
	for _, p := range open {
		if hasRoom(p) && !t.sharesZone(p, t.parents[n]) {
			return p
		}
	}
	return slices.MinFunc(open, func(a, b NodeID) int {
		return cmp.Compare(max(0, len(t.children[a])-t.fanOut(a, fan)+1), max(0, len(t.children[b])-t.fanOut(b, fan)+1))
	})
}

// Member returns a member of the roster.
func (t *Topology) Member(n NodeID) (m Member, ok bool) {
	m, ok = t.members[n]
	return m, ok
}

// Parents are those who feed a member, in the order in which it prefers them.
func (t *Topology) Parents(n NodeID) []NodeID { return t.parents[n] }

// Children are those whom a member feeds.
func (t *Topology) Children(n NodeID) []NodeID { return t.children[n] }

// Level is how many hops a member is from the origins.
func (t *Topology) Level(n NodeID) int { return t.level[n] }

// Depth is the highest level.
func (t *Topology) Depth() int { return t.depth }

// FallbackParents are those who may feed a member that has lost its parents: members of its region that are above it, in
// the order of rendezvous hashing, then the origins. Heads have the origins, then the heads of other regions.
func (t *Topology) FallbackParents(n NodeID) []NodeID {
	var above, heads []NodeID
	for _, o := range t.byRegion[t.members[n].Region] {
		if t.level[o] < t.level[n] {
			above = append(above, o)
		}
	}
	for region, nodes := range t.byRegion {
		if region == t.members[n].Region {
			continue
		}
		for _, o := range nodes {
			if t.level[o] == 1 {
				heads = append(heads, o)
			}
		}
	}
	all := append(ranked(n, above), ranked(n, t.Origins)...)
	all = append(all, ranked(n, heads)...)
	return slices.DeleteFunc(all, func(o NodeID) bool { return o == n || slices.Contains(t.parents[n], o) })
}

// Neighbors are all whom a member talks to in ordinary times, each once: an I/O layer keeps links with them. With
// Substitutes, and the other origins for an Apply, they are all whom it may ever talk to of its own accord.
func (t *Topology) Neighbors(n NodeID) []NodeID {
	all := append(slices.Clone(t.parents[n]), t.children[n]...)
	if t.members[n].Role == Origin {
		all = append(all, t.Origins...)
	}
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(o NodeID) bool { return o == n })
}
