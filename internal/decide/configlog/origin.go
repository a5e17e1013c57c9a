package configlog

import "slices"

// role is the state of an origin in elections.
type role uint8

const (
	following   role = iota
	preVoting        // it asks whether it may campaign
	campaigning      // it asks for promises of a new epoch
	leading
)

// mutations are deliberate faults in the protocol. Only tests set them, one at a time, to check that they find it.
type mutations struct {
	acceptsOldEpochs       bool // an origin accepts a proposal of an epoch that is over
	quorumOfOne            bool // one origin is a majority
	votesWithoutRecovery   bool // an origin that has lost its disk votes at once
	dropsPendingProposal   bool // a new leader does not propose again what its predecessor has proposed
	ignoresBase            bool // a change is proposed regardless of the revision that it was made from
	acceptsWithGap         bool // an origin accepts a proposal though it does not hold the previous revision
	recoversFromOne        bool // an origin that has lost its disk votes after one RecoverReply
	installsOlderSnapshots bool // a follower installs a snapshot that is older than the document that it holds
	leadsWhileBehind       bool // a new leader begins before it holds what a majority has committed
}

// request is an Apply that the leader has proposed.
type request struct {
	from     NodeID
	id       uint64
	base     Revision
	delta    Delta
	deadline int64
	active   bool
}

// origin is the state of an origin beside its replica: its vote, and its part in elections and commits. The package
// comment describes the protocol.
type origin struct {
	others    []NodeID // the other origins
	mutations mutations
	bootstrap bool // it votes from the start without a saved vote, see Options

	vote           Vote
	incarnation    uint64                  // of this start; replies to an earlier incarnation do not count
	recoverReplies map[NodeID]RecoverReply // of other origins, collected until this one can vote again

	role            role
	epoch           Epoch // in which it campaigns or leads
	maxRoundSeen    uint64
	preVotes        map[NodeID]bool // origins that granted the pre-vote
	promises        map[NodeID]Promise
	proposal        Proposal        // in this epoch; number 0 for none
	accepted        map[NodeID]bool // other origins that have accepted proposal
	request         request
	answeredAt      map[NodeID]int64 // when each other origin last answered this leader
	heartbeatTick   uint64           // of this leader's heartbeats; advances once per digest interval
	tickAdvancedAt  int64
	heartbeatSentAt int64 // when the last heartbeat was sent
	retryAt         int64 // when unanswered requests are next repeated
	leaderHeardAt   int64 // when a leader's heartbeat was last received or sent
	campaignAt      int64 // when the next election starts
}

func newOrigin(options Options, origins []NodeID, saved SavedState) *origin {
	others := slices.DeleteFunc(slices.Clone(origins), func(n NodeID) bool { return n == options.Node })
	maxRoundSeen := saved.Vote.Promised.Round
	if saved.Document != nil { // a document that was restored by hand has no vote beside it
		maxRoundSeen = max(maxRoundSeen, saved.Document.revision.Epoch.Round)
	}
	return &origin{others: others, vote: saved.Vote, bootstrap: options.Bootstrap, incarnation: options.Incarnation,
		maxRoundSeen: maxRoundSeen, recoverReplies: map[NodeID]RecoverReply{}}
}

// isMajority reports whether count origins, this one included, are more than half of all.
func (o *origin) isMajority(count int) bool {
	return count > (len(o.others)+1)/2 || o.mutations.quorumOfOne && count > 0
}

// handleOriginMessage processes a message between origins.
func (n *Node) handleOriginMessage(now int64, m Message) {
	if n.origin == nil || !n.isOrigin(m.From) {
		n.drop(DropWrongRole)
		return
	}
	switch body := m.Body.(type) {
	case PreVote:
		n.handlePreVote(now, m.From, body)
	case PreVoteGranted:
		n.handlePreVoteGranted(m.From, body)
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
		n.handleRecoverReply(m.From, body)
	}
}

// recordHeld records the revision that another origin holds, so that it can be pulled from there.
func (n *Node) recordHeld(from NodeID, held Revision) {
	if s := n.findSource(from); s != nil && held.After(s.held) {
		s.held = held
	}
	n.observeRevision(held)
}

// promise moves this origin's promise to a later epoch: from then on it accepts no proposals of earlier epochs.
func (n *Node) promise(e Epoch) {
	o := n.origin
	if e.Compare(o.vote.Promised) <= 0 {
		return
	}
	o.vote.Promised, n.queuedEffects.SaveVote = e, true
	o.maxRoundSeen = max(o.maxRoundSeen, e.Round)
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
	n.send(from, Promise{p.Epoch, n.held(), n.pendingProposal()})
}

// pendingProposal returns the proposal that this origin has accepted and does not know to be committed, if any.
func (n *Node) pendingProposal() Proposal {
	if n.origin.vote.Accepted.Delta.Revision.After(n.held()) {
		return n.origin.vote.Accepted
	}
	return Proposal{}
}

func (n *Node) reject(to NodeID, requested Epoch) {
	n.send(to, Reject{requested, n.origin.vote.Promised, n.held()})
}

// handleAccept stores a proposal if no later epoch was promised and this origin holds the previous revision. An origin
// that has accepted the previous revision keeps that proposal until it knows it to be committed: otherwise a majority
// could end up without it.
func (n *Node) handleAccept(from NodeID, p Proposal) {
	o := n.origin
	if !o.vote.CanVote || p.Ballot.Leader != from || p.Delta.Revision.Number == 0 {
		return
	}
	if p.Ballot.Compare(o.vote.Promised) < 0 && !o.mutations.acceptsOldEpochs {
		n.reject(from, p.Ballot)
		return
	}
	n.promise(p.Ballot)
	switch next := n.held().Number + 1; {
	case p.Delta.Revision == n.held(): // already committed
	case p.Delta.Revision.Number == next, o.mutations.acceptsWithGap:
		o.vote.Accepted, n.queuedEffects.SaveVote = p, true
	default:
		n.reject(from, p.Ballot)
		return
	}
	n.send(from, Accepted{p.Ballot, p.Delta.Revision})
}

func (n *Node) handleRecover(from NodeID, r Recover) {
	if n.origin.vote.CanVote {
		n.send(from, RecoverReply{r.Incarnation, Vote{true, n.origin.vote.Promised, n.pendingProposal()}, n.held()})
	}
}

// handleRecoverReply records what another origin has stored. This origin votes again only when every other origin has
// replied (see tryFinishRecovery): each leader and candidate that may have got its vote is among them, and has stored
// what it asked for before it asked.
func (n *Node) handleRecoverReply(from NodeID, r RecoverReply) {
	o := n.origin
	if o.vote.CanVote || r.Incarnation != o.incarnation {
		return
	}
	o.recoverReplies[from] = r
	n.recordHeld(from, r.Held)
}

// tryFinishRecovery lets an origin that has lost its disk vote again, once all others have replied and it holds the
// newest revision that they hold. A bootstrapping origin votes without replies.
func (n *Node) tryFinishRecovery() {
	o := n.origin
	enough := len(o.recoverReplies) == len(o.others) && len(o.others) > 0 ||
		o.mutations.recoversFromOne && len(o.recoverReplies) > 0
	if o.vote.CanVote || !enough && !o.bootstrap && !o.mutations.votesWithoutRecovery {
		return
	}
	for _, reply := range o.recoverReplies {
		if reply.Held.After(n.held()) {
			return
		}
	}
	for _, reply := range o.recoverReplies {
		if reply.Vote.Promised.Compare(o.vote.Promised) > 0 {
			o.vote.Promised = reply.Vote.Promised
		}
		accepted := reply.Vote.Accepted
		if accepted.Delta.Revision.Number == n.held().Number+1 && accepted.Ballot.Compare(o.vote.Accepted.Ballot) > 0 {
			o.vote.Accepted = accepted
		}
	}
	o.maxRoundSeen = max(o.maxRoundSeen, o.vote.Promised.Round)
	o.vote.CanVote, n.queuedEffects.SaveVote = true, true
	o.recoverReplies = nil
}
