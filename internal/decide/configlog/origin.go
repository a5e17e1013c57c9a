package configlog

import "slices"

// role is what an origin is doing.
type role uint8

const (
	following   role = iota
	canvassing       // it asks whether it may campaign
	campaigning      // it asks for the promise of a new epoch
	leading
)

// rules are sound as they are; tests break them to see that it is found.
type rules struct {
	anyEpoch    bool // an origin takes a proposal of an epoch that is over
	one         bool // one origin is enough for a promise and to commit
	forgetful   bool // an origin that has forgotten votes at once
	dropsOther  bool // a new leader doesn't take up what another had begun
	anyBase     bool // a change is taken whatever it was made from
	behind      bool // an origin takes a proposal though it does not hold the revision before it
	partly      bool // an origin that has forgotten votes when one other has told it what it knows
	takesOlder  bool // a follower takes a snapshot that is older than what it holds
	earlyLeader bool // a new leader begins before it holds what a majority has committed
}

// request is an Apply that is under way.
type request struct {
	from   NodeID
	id     uint64
	base   Revision
	delta  Delta
	until  int64
	active bool
}

// origin is what an origin has beside its replica: a vote, and what it does to lead. See the package for the protocol.
type origin struct {
	others []NodeID
	rules  rules
	first  bool // it votes from the start, though nothing is saved: the installation is new

	vote Vote
	life uint64                  // of this start, so that answers to an earlier one do not count
	told map[NodeID]RecoverReply // what the others have told one that has forgotten

	role      role
	epoch     Epoch // in which it campaigns or leads
	seen      uint64
	willing   map[NodeID]bool
	promises  map[NodeID]Promise
	proposal  Proposal // in this epoch; number 0 for none
	accepted  map[NodeID]bool
	request   request
	answered  map[NodeID]int64 // when each other origin last answered this leader
	tick      uint64           // of the heartbeats that go down with digests: one in each digest period
	tickAt    int64
	beatAt    int64 // when the last heartbeat was sent
	retryAt   int64
	leaderAt  int64 // when a leader was last heard
	campaigns int64 // when it campaigns next
}

func newOrigin(o Options, all []NodeID, saved SavedState) *origin {
	others := slices.DeleteFunc(slices.Clone(all), func(n NodeID) bool { return n == o.Node })
	seen := saved.Vote.Promised.Round
	if saved.Document != nil { // what was restored by hand has no vote beside it
		seen = max(seen, saved.Document.revision.Epoch.Round)
	}
	return &origin{others: others, vote: saved.Vote, first: o.Bootstrap, life: o.Incarnation, seen: seen,
		told: map[NodeID]RecoverReply{}}
}

// isMajority tells whether so many origins, itself among them, are more than half.
func (o *origin) isMajority(count int) bool {
	return count > (len(o.others)+1)/2 || o.rules.one && count > 0
}

// handleOrigin takes a message from another origin.
func (n *Node) handleOrigin(now int64, m Message) {
	if n.origin == nil || !n.isOrigin(m.From) {
		n.drop(DropWrongRole)
		return
	}
	switch body := m.Body.(type) {
	case PreVote:
		n.handleCanvass(now, m.From, body)
	case PreVoteGranted:
		n.handleWilling(m.From, body)
	case Prepare:
		n.handlePrepare(m.From, body)
	case Promise:
		n.handlePromise(m.From, body)
	case Accept:
		n.handleAccept(m.From, body.Proposal)
	case Accepted:
		n.handleAccepted(now, m.From, body)
	case Reject:
		n.handleReject(now, m.From, body)
	case Heartbeat:
		n.handleHeartbeat(now, m.From, body)
	case HeartbeatAck:
		n.handleHeartbeatAck(now, m.From, body)
	case Recover:
		n.handleRecover(m.From, body)
	case RecoverReply:
		n.handleRecovered(m.From, body)
	}
}

// knowsHeld notes what another origin holds, so that it can be pulled from there.
func (n *Node) knowsHeld(from NodeID, held Revision) {
	if s := n.source(from); s != nil && held.After(s.held) {
		s.held = held
	}
	n.hearOf(held)
}

// promise takes a later epoch, before which nothing is taken any more.
func (n *Node) promise(e Epoch) {
	o := n.origin
	if e.Compare(o.vote.Promised) <= 0 {
		return
	}
	o.vote.Promised, n.out.SaveVote = e, true
	o.seen = max(o.seen, e.Round)
	if o.role != following && e != o.epoch {
		n.stepDown()
	}
}

func (n *Node) handlePrepare(from NodeID, p Prepare) {
	o := n.origin
	if !o.vote.CanVote || p.Epoch.Leader != from {
		return
	}
	if p.Epoch.Compare(o.vote.Promised) < 0 {
		n.reject(from, p.Epoch)
		return
	}
	n.promise(p.Epoch)
	n.send(from, Promise{p.Epoch, n.held(), n.pending()})
}

// pending is what this origin has accepted and does not know to be committed.
func (n *Node) pending() Proposal {
	if n.origin.vote.Accepted.Delta.Revision.After(n.held()) {
		return n.origin.vote.Accepted
	}
	return Proposal{}
}

func (n *Node) reject(to NodeID, asked Epoch) {
	n.send(to, Reject{asked, n.origin.vote.Promised, n.held()})
}

// handleAccept stores a proposal, if it is of the latest epoch and this origin holds the revision before it. Whoever
// has accepted the revision before keeps that until it knows it to be committed: else a majority could come to have
// forgotten it.
func (n *Node) handleAccept(from NodeID, p Proposal) {
	o := n.origin
	if !o.vote.CanVote || p.Ballot.Leader != from || p.Delta.Revision.Number == 0 {
		return
	}
	if p.Ballot.Compare(o.vote.Promised) < 0 && !o.rules.anyEpoch {
		n.reject(from, p.Ballot)
		return
	}
	n.promise(p.Ballot)
	switch next := n.held().Number + 1; {
	case p.Delta.Revision == n.held(): // committed already
	case p.Delta.Revision.Number == next, o.rules.behind:
		o.vote.Accepted, n.out.SaveVote = p, true
	default:
		n.reject(from, p.Ballot)
		return
	}
	n.send(from, Accepted{p.Ballot, p.Delta.Revision})
}

func (n *Node) handleRecover(from NodeID, r Recover) {
	if n.origin.vote.CanVote {
		n.send(from, RecoverReply{r.Incarnation, Vote{true, n.origin.vote.Promised, n.pending()}, n.held()})
	}
}

// handleRecovered notes what another origin knows. Only when every other one has told, this origin votes again (see
// recovered): each leader and candidate to whom it may have given a vote is among them, and has stored what it asked
// for before it asked.
func (n *Node) handleRecovered(from NodeID, r RecoverReply) {
	o := n.origin
	if o.vote.CanVote || r.Incarnation != o.life {
		return
	}
	o.told[from] = r
	n.knowsHeld(from, r.Held)
}

// recovered lets an origin that had forgotten vote again, when it has been told all and holds what was committed.
func (n *Node) recovered() {
	o := n.origin
	enough := len(o.told) == len(o.others) && len(o.others) > 0 || o.rules.partly && len(o.told) > 0
	if o.vote.CanVote || !enough && !o.first && !o.rules.forgetful {
		return
	}
	for _, t := range o.told {
		if t.Held.After(n.held()) {
			return
		}
	}
	for _, t := range o.told {
		if t.Vote.Promised.Compare(o.vote.Promised) > 0 {
			o.vote.Promised = t.Vote.Promised
		}
		a := t.Vote.Accepted
		if a.Delta.Revision.Number == n.held().Number+1 && a.Ballot.Compare(o.vote.Accepted.Ballot) > 0 {
			o.vote.Accepted = a
		}
	}
	o.seen = max(o.seen, o.vote.Promised.Round)
	o.vote.CanVote, n.out.SaveVote = true, true
	o.told = nil
}
