package configlog

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Options are the options of New.
type Options struct {
	Node        NodeID
	Roster      Roster
	Timing      Timing // DefaultTiming if zero
	FanOut      FanOut // DefaultFanOut if zero
	Seed        uint64 // of the random jitter of waits
	Incarnation uint64 // different at each start: a timestamp or a random number
	// Bootstrap lets an origin without a saved vote take part at once. It is only safe if no vote can have been lost:
	// the installation is new.
	Bootstrap bool
	OnDrop    func(DropReason) // called for each dropped message or revision; nil for none

	// Topology is that of Roster and FanOut, which several members in one process can share; nil to compute it.
	Topology *Topology
}

// DropReason is the reason for which a message, delta or snapshot was dropped. The values are exported as metrics.
type DropReason string

// Reasons of drops.
const (
	DropUnknownMember DropReason = "stranger" // the sender is not on the roster, or the receiver is another member
	DropWrongRole     DropReason = "role"     // a message between origins whose sender or receiver is not an origin
	DropOld           DropReason = "old"      // a snapshot that is not newer than the document held, or is too large
	DropInvalid       DropReason = "invalid"  // a delta or snapshot that does not match its revision or exceeds a limit
	DropFork          DropReason = "fork"     // another revision of a number that is held: two installations, or a bug
	DropLate          DropReason = "late"     // an answer to no open request, or to one that is no longer open
)

// Node is one member. Its caller serializes the calls, and carries out the Effects of each before the next one.
type Node struct {
	id            NodeID
	topology      *Topology
	timing        Timing
	fanOut        FanOut
	random        *rand.Rand
	onDrop        func(DropReason)
	replica       replica
	origin        *origin // nil for members that are not origins
	forwarded     map[uint64]forwardedApply
	queuedEffects Effects
}

// forwardedApply is an Apply that was forwarded to the leader.
type forwardedApply struct {
	to       NodeID
	deadline int64
}

// New returns a member that resumes from a saved state. The first Tick starts it.
func New(options Options, saved SavedState) (*Node, error) {
	if options.Timing == (Timing{}) {
		options.Timing = DefaultTiming()
	}
	if options.FanOut == (FanOut{}) {
		options.FanOut = DefaultFanOut()
	}
	topology := options.Topology
	if topology == nil {
		var err error
		if topology, err = NewTopology(options.Roster, options.FanOut); err != nil {
			return nil, err
		}
	}
	member, ok := topology.Member(options.Node)
	if !ok {
		return nil, fmt.Errorf("%w: %q is not listed", ErrRoster, options.Node)
	}
	n := &Node{id: options.Node, topology: topology, timing: options.Timing, fanOut: options.FanOut,
		onDrop: options.OnDrop, forwarded: map[uint64]forwardedApply{},
		random: rand.New(rand.NewPCG(options.Seed, rendezvousWeight(options.Node, "")))}
	n.replica = newReplica(saved.Document)
	if member.Role == Origin {
		n.origin = newOrigin(options, topology.Origins, saved)
	}
	return n, nil
}

// Status is the state of a member.
type Status struct {
	Revision      Revision // the current one of this member
	Since         int64    // when it took effect here; 0 if it was loaded at the start
	Newest        Revision // the newest revision that is known to exist
	LeaderHeardAt int64    // when a new heartbeat of a leader last arrived, also through parents; 0 for never
	Sources       []NodeID // live sources: the members that send digests and pushes to this one
	Leader        NodeID   // the leader, or "" if no heartbeat has arrived for two election timeouts
	IsLeader      bool
	CanVote       bool  // it is an origin that votes
	Epoch         Epoch // of the latest known heartbeat
}

// Status returns the state of the member at the time now.
func (n *Node) Status(now int64) Status {
	r := &n.replica
	s := Status{Revision: r.document.revision, Since: r.since, Newest: r.newest, LeaderHeardAt: r.heartbeatAt,
		Epoch: r.heartbeat.Epoch, Sources: n.liveSources(now)}
	if r.heartbeatAt > 0 && now-r.heartbeatAt < 2*n.timing.ElectionTimeout {
		s.Leader = r.heartbeat.Epoch.Leader
	}
	if o := n.origin; o != nil {
		s.IsLeader, s.CanVote = o.role == leading, o.vote.CanVote
	}
	return s
}

// Document returns the current document. The caller must not keep it beyond the next call, but may Clone it.
func (n *Node) Document() *Document { return n.replica.document }

// Vote returns the vote that an origin must save; it is zero for other members.
func (n *Node) Vote() Vote {
	if n.origin == nil {
		return Vote{}
	}
	return n.origin.vote
}

// Topology returns the topology of the installation.
func (n *Node) Topology() *Topology { return n.topology }

// Handle processes a message that has arrived.
func (n *Node) Handle(now int64, m Message) Effects {
	_, isMember := n.topology.Member(m.From)
	if !isMember || m.To != n.id || m.From == n.id {
		n.drop(DropUnknownMember)
		return n.takeEffects()
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
		n.handleApplyReply(m.From, body.Result)
	default:
		n.handleOriginMessage(now, m)
	}
	n.advance(now)
	return n.takeEffects()
}

// Tick does what is due at the time now. It must be called at least every MaxTickInterval.
func (n *Node) Tick(now int64) Effects {
	n.tickReplica(now)
	n.expireForwarded(now)
	if n.origin != nil {
		n.tickOrigin(now)
	}
	n.advance(now)
	return n.takeEffects()
}

// MaxTickInterval is the longest time between two calls of Tick, in microseconds.
const MaxTickInterval = 100_000

// Apply requests a change to the revision base. A leader proposes the change itself; any other member forwards it to
// the leader that it knows. The answer is a Result with the same ID in the Effects of this or a later call. If its
// outcome is Unknown, the change may or may not have taken effect: the caller reads Document and decides. Each ID is
// used once.
func (n *Node) Apply(now int64, id uint64, base Revision, change Change) Effects {
	n.apply(now, Apply{ID: id, Base: base, Change: change})
	n.advance(now)
	return n.takeEffects()
}

func (n *Node) apply(now int64, a Apply) {
	if n.origin != nil && n.origin.role == leading {
		n.handleApply(now, n.id, a)
		return
	}
	leader := n.Status(now).Leader
	if leader == "" || leader == n.id {
		n.replyToApply(n.id, Result{ID: a.ID, Outcome: Unavailable, Revision: n.held()})
		return
	}
	n.forwarded[a.ID] = forwardedApply{leader, now + 2*n.timing.ApplyTimeout}
	n.send(leader, a)
}

// handleApplyReply reports the first answer to a forwarded Apply, if it is from the member that was asked.
func (n *Node) handleApplyReply(from NodeID, r Result) {
	if q, ok := n.forwarded[r.ID]; !ok || q.to != from {
		n.drop(DropLate)
		return
	}
	delete(n.forwarded, r.ID)
	n.queuedEffects.Results = append(n.queuedEffects.Results, r)
}

// expireForwarded reports each forwarded Apply that was not answered in time as Unknown, in the order of the IDs.
func (n *Node) expireForwarded(now int64) {
	var expired []uint64
	for id, q := range n.forwarded {
		if now >= q.deadline {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		delete(n.forwarded, id)
		n.queuedEffects.Results = append(n.queuedEffects.Results, Result{ID: id, Outcome: Unknown, Revision: n.held()})
	}
}

// advance takes the steps of the protocol that the latest event has made possible.
func (n *Node) advance(now int64) {
	if n.origin != nil {
		n.advanceOrigin(now)
	}
}

// takeEffects returns the effects that were queued since the last call.
func (n *Node) takeEffects() Effects {
	out := n.queuedEffects
	n.queuedEffects = Effects{}
	return out
}

func (n *Node) held() Revision { return n.replica.document.revision }

func (n *Node) send(to NodeID, body Body) {
	if to != n.id {
		n.queuedEffects.Messages = append(n.queuedEffects.Messages, Message{n.id, to, body})
	}
}

func (n *Node) sendAll(targets []NodeID, body Body) {
	for _, to := range targets {
		n.send(to, body)
	}
}

// replyToApply sends the result of an Apply to the member that requested it, or reports it if that is this member.
func (n *Node) replyToApply(to NodeID, r Result) {
	if to == n.id {
		n.queuedEffects.Results = append(n.queuedEffects.Results, r)
		return
	}
	n.send(to, ApplyReply{r})
}

func (n *Node) drop(reason DropReason) {
	if n.onDrop != nil {
		n.onDrop(reason)
	}
}

// jitter returns a random duration from d to less than 2d.
func (n *Node) jitter(d int64) int64 { return d + n.random.Int64N(max(d, 1)) }

func (n *Node) isOrigin(node NodeID) bool { return slices.Contains(n.topology.Origins, node) }
