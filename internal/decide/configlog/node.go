package configlog

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Options are what a member is started with.
type Options struct {
	Node        NodeID
	Roster      Roster
	Timing      Timing // DefaultTiming if zero
	FanOut      FanOut // DefaultFanOut if zero
	Seed        uint64 // of the chance in waits
	Incarnation uint64 // another one with each start: a time, or a number that was drawn
	// of an origin with an empty disk: the installation is new, there is nothing that it may have forgotten
	Bootstrap bool
	OnDrop    func(DropReason)

	// Topology of the roster and fan-out, where several members of one process share it; nil to work it out.
	Topology *Topology
}

// DropReason says why something that came in was dropped.
type DropReason string

// The reasons.
const (
	DropUnknownMember DropReason = "stranger" // from or for somebody who is not on the roster, or for another member
	DropWrongRole     DropReason = "role"     // between origins, but from or for somebody who is none
	DropOld           DropReason = "old"      // a revision that is not newer than the one held
	DropInvalid       DropReason = "invalid"  // a delta or snapshot that does not make its revision, or is beyond a limit
	DropFork          DropReason = "fork"     // another document under a number that is held: two installations, or a fault
	DropLate          DropReason = "late"     // an answer to what is not asked any more
)

// Node is one member. Its caller serializes the calls, and carries out the Effects of each before the next.
type Node struct {
	me        NodeID
	topology  *Topology
	timing    Timing
	fan       FanOut
	random    *rand.Rand
	counted   func(DropReason)
	replica   replica
	origin    *origin // nil for members that are none
	questions map[uint64]question
	out       Effects
}

// question is an Apply that was sent on to another.
type question struct {
	to    NodeID
	until int64
}

// New returns a member that goes on from what is saved. The first Tick starts it.
func New(o Options, saved SavedState) (*Node, error) {
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
	if o.FanOut == (FanOut{}) {
		o.FanOut = DefaultFanOut()
	}
	topology := o.Topology
	if topology == nil {
		var err error
		if topology, err = NewTopology(o.Roster, o.FanOut); err != nil {
			return nil, err
		}
	}
	m, ok := topology.Member(o.Node)
	if !ok {
		return nil, fmt.Errorf("%w: %q is not on it", ErrRoster, o.Node)
	}
	n := &Node{me: o.Node, topology: topology, timing: o.Timing, fan: o.FanOut, counted: o.OnDrop,
		questions: map[uint64]question{},
		random:    rand.New(rand.NewPCG(o.Seed, weight(o.Node, "")))}
	n.replica = newReplica(saved.Document)
	if m.Role == Origin {
		n.origin = newOrigin(o, topology.Origins, saved)
	}
	return n, nil
}

// Status is what a member says of itself.
type Status struct {
	Revision      Revision // in force here
	Since         int64    // when it came into force here; 0 if it was loaded at the start
	Newest        Revision // that it has heard of
	LeaderHeardAt int64    // when it last heard, directly or not, from a leader; 0 for never
	Sources       []NodeID // who feeds it now
	Leader        NodeID   // whom it takes for the leader, "" if it has heard of none lately
	IsLeader      bool     // it leads
	CanVote       bool     // it is an origin and votes
	Epoch         Epoch    // the latest one that it has heard of
}

// Status returns what the member holds at now.
func (n *Node) Status(now int64) Status {
	r := &n.replica
	s := Status{Revision: r.document.revision, Since: r.since, Newest: r.newest, LeaderHeardAt: r.fresh, Epoch: r.beat.Epoch,
		Sources: n.liveSources(now)}
	if r.fresh > 0 && now-r.fresh < 2*n.timing.ElectionTimeout {
		s.Leader = r.beat.Epoch.Leader
	}
	if o := n.origin; o != nil {
		s.IsLeader, s.CanVote = o.role == leading, o.vote.CanVote
	}
	return s
}

// Document is the one in force. The caller must not keep it beyond the next call, but may Clone it.
func (n *Node) Document() *Document { return n.replica.document }

// Vote is what an origin has to save.
func (n *Node) Vote() Vote {
	if n.origin == nil {
		return Vote{}
	}
	return n.origin.vote
}

// Topology is who feeds whom.
func (n *Node) Topology() *Topology { return n.topology }

// Handle takes a message that has come in.
func (n *Node) Handle(now int64, m Message) Effects {
	_, known := n.topology.Member(m.From)
	if !known || m.To != n.me || m.From == n.me {
		n.drop(DropUnknownMember)
		return n.effects()
	}
	switch body := m.Body.(type) {
	case Digest:
		n.handleDigest(now, m.From, body)
	case Push:
		n.handlePush(now, m.From, body.Delta)
	case Pull:
		n.handlePull(now, m.From, body)
	case Deltas:
		n.handleDeltas(now, m.From, body)
	case Chunk:
		n.handleChunk(now, m.From, body)
	case Overloaded:
		n.handleOverloaded(now, m.From)
	case Apply:
		n.handleApply(now, m.From, body)
	case ApplyReply:
		n.handleApplied(m.From, body.Result)
	default:
		n.handleOrigin(now, m)
	}
	n.advance(now)
	return n.effects()
}

// Tick lets time pass; to be called at least every TickPeriod.
func (n *Node) Tick(now int64) Effects {
	n.tickReplica(now)
	n.giveUp(now)
	if n.origin != nil {
		n.tickOrigin(now)
	}
	n.advance(now)
	return n.effects()
}

// MaxTickInterval is the longest time between two calls of Tick, in microseconds.
const MaxTickInterval = 100_000

// Apply asks for a change of the revision base. The answer is a Result with the same ID, in the Effects of this or a
// later call: an origin that leads takes it, any other member sends it on to the leader that it has heard of. Where
// the outcome is Unknown, the change may be in force or not: the caller reads Document and decides. An ID is used once.
func (n *Node) Apply(now int64, id uint64, base Revision, change Change) Effects {
	n.apply(now, Apply{ID: id, Base: base, Change: change})
	n.advance(now)
	return n.effects()
}

func (n *Node) apply(now int64, a Apply) {
	if n.origin != nil && n.origin.role == leading {
		n.handleApply(now, n.me, a)
		return
	}
	leader := n.Status(now).Leader
	if leader == "" || leader == n.me {
		n.answer(n.me, Result{ID: a.ID, Outcome: Unavailable, Revision: n.held()})
		return
	}
	n.questions[a.ID] = question{leader, now + 2*n.timing.ApplyTimeout}
	n.send(leader, a)
}

// handleApplied takes the answer of the one that was asked, once.
func (n *Node) handleApplied(from NodeID, r Result) {
	if q, ok := n.questions[r.ID]; !ok || q.to != from {
		n.drop(DropLate)
		return
	}
	delete(n.questions, r.ID)
	n.out.Results = append(n.out.Results, r)
}

// giveUp reports what nobody has answered as Unknown, in the order of the questions.
func (n *Node) giveUp(now int64) {
	var late []uint64
	for id, q := range n.questions {
		if now >= q.until {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		delete(n.questions, id)
		n.out.Results = append(n.out.Results, Result{ID: id, Outcome: Unknown, Revision: n.held()})
	}
}

// advance does what follows from what has changed.
func (n *Node) advance(now int64) {
	if n.origin != nil {
		n.advanceOrigin(now)
	}
}

// effects hands out what has come up.
func (n *Node) effects() Effects {
	out := n.out
	n.out = Effects{}
	return out
}

func (n *Node) held() Revision { return n.replica.document.revision }

func (n *Node) send(to NodeID, body Body) {
	if to != n.me {
		n.out.Messages = append(n.out.Messages, Message{n.me, to, body})
	}
}

func (n *Node) sendAll(to []NodeID, body Body) {
	for _, t := range to {
		n.send(t, body)
	}
}

// answer tells whoever has asked for a change what became of it.
func (n *Node) answer(to NodeID, r Result) {
	if to == n.me {
		n.out.Results = append(n.out.Results, r)
		return
	}
	n.send(to, ApplyReply{r})
}

func (n *Node) drop(why DropReason) {
	if n.counted != nil {
		n.counted(why)
	}
}

// jitter draws a time between d and 2d.
func (n *Node) jitter(d int64) int64 { return d + n.random.Int64N(max(d, 1)) }

func (n *Node) isOrigin(m NodeID) bool { return slices.Contains(n.topology.Origins, m) }
