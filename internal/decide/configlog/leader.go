package configlog

// tickOrigin starts elections, maintains leadership and repeats unanswered requests when they are due.
func (n *Node) tickOrigin(now int64) {
	o := n.origin
	if o.campaignAt == 0 {
		o.campaignAt = now + n.jitter(n.timing.ElectionTimeout)
	}
	n.expireRequest(now)
	if o.role == leading {
		n.maintainLeadership(now)
	}
	if now < o.retryAt {
		return
	}
	o.retryAt = now + n.timing.RetryInterval
	switch {
	case !o.vote.CanVote:
		n.sendAll(o.others, Recover{o.incarnation})
	case o.role == leading && o.proposal.Delta.Revision.Number > 0:
		n.sendProposal()
	case o.role == campaigning && now < o.campaignAt:
		n.sendPrepare()
	case o.role != leading && now >= o.campaignAt:
		n.requestPreVotes(now)
	}
}

// requestPreVotes asks the other origins whether they would promise a new epoch. Without this round, an origin that
// receives no heartbeats would depose a leader that all others can reach.
func (n *Node) requestPreVotes(now int64) {
	o := n.origin
	o.role, o.preVotes = preVoting, map[NodeID]bool{}
	o.campaignAt = now + n.jitter(n.timing.ElectionTimeout)
	n.sendAll(o.others, PreVote{Epoch{o.maxRoundSeen + 1, n.id}})
}

func (n *Node) handlePreVote(now int64, from NodeID, request PreVote) {
	o := n.origin
	hasLeader := o.role == leading || o.leaderHeardAt > 0 && now-o.leaderHeardAt < n.timing.ElectionTimeout
	if o.vote.CanVote && !hasLeader && request.Epoch.Compare(o.vote.Promised) > 0 {
		n.send(from, PreVoteGranted(request))
	} else if o.vote.CanVote && !hasLeader {
		n.reject(from, request.Epoch)
	}
}

func (n *Node) handlePreVoteGranted(from NodeID, grant PreVoteGranted) {
	if o := n.origin; o.role == preVoting && grant.Epoch == (Epoch{o.maxRoundSeen + 1, n.id}) {
		o.preVotes[from] = true
	}
}

// campaign starts a new epoch and asks for promises. This origin's own promise counts, since it is saved before
// anything is sent.
func (n *Node) campaign() {
	o := n.origin
	o.epoch = Epoch{o.maxRoundSeen + 1, n.id}
	o.role, o.promises = campaigning, map[NodeID]Promise{}
	n.promise(o.epoch)
	n.sendPrepare()
}

func (n *Node) sendPrepare() {
	for _, other := range n.origin.others {
		if _, ok := n.origin.promises[other]; !ok {
			n.send(other, Prepare{n.origin.epoch})
		}
	}
}

func (n *Node) handlePromise(from NodeID, p Promise) {
	o := n.origin
	n.recordHeld(from, p.Held)
	if o.role == campaigning && p.Epoch == o.epoch {
		o.promises[from] = p
	}
}

// tryLead takes the lead once a majority has promised and this origin holds every revision that the majority knows to
// be committed. An earlier leader may have committed a proposal that others have accepted, so it first proposes again,
// in its own epoch, the accepted proposal with the latest ballot (the epoch of its proposer), if there is one.
func (n *Node) tryLead(now int64) {
	o := n.origin
	if !o.isMajority(len(o.promises) + 1) {
		return
	}
	latest := n.pendingProposal()
	for _, p := range o.promises {
		if p.Held.After(n.held()) && !o.mutations.leadsWhileBehind {
			return // that revision is being pulled
		}
		accepted := p.Accepted
		if accepted.Delta.Revision.Number == n.held().Number+1 && accepted.Ballot.Compare(latest.Ballot) > 0 {
			latest = accepted
		}
	}
	o.role, o.heartbeatTick, o.heartbeatSentAt = leading, 0, 0
	o.proposal, o.accepted, o.answeredAt = Proposal{}, nil, map[NodeID]int64{}
	for _, other := range o.others {
		o.answeredAt[other] = now
	}
	if latest.Delta.Revision.Number > 0 && !o.mutations.dropsPendingProposal {
		n.propose(latest.Delta)
	}
	n.maintainLeadership(now)
}

// propose accepts a delta in this origin's vote and asks the other origins to accept it.
func (n *Node) propose(d Delta) {
	o := n.origin
	o.proposal, o.accepted = Proposal{o.epoch, d}, map[NodeID]bool{}
	o.vote.Accepted, n.queuedEffects.SaveVote = o.proposal, true
	n.sendProposal()
}

func (n *Node) sendProposal() {
	for _, other := range n.origin.others {
		if !n.origin.accepted[other] {
			n.send(other, Accept{n.origin.proposal})
		}
	}
}

func (n *Node) handleAccepted(now int64, from NodeID, a Accepted) {
	o := n.origin
	if o.role != leading || a.Ballot != o.epoch {
		return
	}
	o.answeredAt[from] = now
	if a.Revision == o.proposal.Delta.Revision {
		o.accepted[from] = true
	}
}

// tryCommit applies the proposal once a majority has stored it, and pushes it to origins and children.
func (n *Node) tryCommit(now int64) {
	o := n.origin
	d := o.proposal.Delta
	if d.Revision.Number == 0 || !o.isMajority(len(o.accepted)+1) {
		return
	}
	o.proposal = Proposal{}
	if d.Revision.After(n.held()) && n.applyDelta(now, d) {
		n.sendAll(o.others, Push{d})
		n.forwardDelta(d, "")
	}
}

// handleReject steps down if the sender has promised a later epoch, and sends the missing delta to an origin that is
// one revision behind.
func (n *Node) handleReject(now int64, from NodeID, r Reject) {
	o := n.origin
	n.recordHeld(from, r.Held)
	o.maxRoundSeen = max(o.maxRoundSeen, r.Promised.Round)
	if o.role != leading && o.role != campaigning || r.Epoch != o.epoch {
		return
	}
	if r.Promised.Compare(o.epoch) > 0 {
		n.stepDown()
		return
	}
	if o.role != leading {
		return
	}
	o.answeredAt[from] = now
	if deltas, _, err := n.replica.log.after(r.Held); err == nil && len(deltas) == 1 {
		n.send(from, Push{deltas[0]})
	}
}

// stepDown ends this origin's leadership or campaign. The next leader finds out whether its proposal is committed.
func (n *Node) stepDown() {
	o := n.origin
	o.role, o.proposal = following, Proposal{}
}

// maintainLeadership sends heartbeats, and steps down if no majority answers.
func (n *Node) maintainLeadership(now int64) {
	o := n.origin
	answering := 1
	for _, at := range o.answeredAt {
		if now-at < n.timing.ElectionTimeout {
			answering++
		}
	}
	if !o.isMajority(answering) {
		n.stepDown()
		o.campaignAt = now + n.jitter(n.timing.ElectionTimeout)
		return
	}
	if o.heartbeatSentAt > 0 && now-o.heartbeatSentAt < n.timing.HeartbeatInterval {
		return
	}
	o.heartbeatSentAt = now
	if o.heartbeatTick == 0 || now-o.tickAdvancedAt >= n.timing.DigestInterval {
		o.heartbeatTick, o.tickAdvancedAt = o.heartbeatTick+1, now
	}
	o.leaderHeardAt = now
	id := HeartbeatID{o.epoch, o.heartbeatTick}
	n.sendAll(o.others, Heartbeat{id, n.held()})
	n.observeHeartbeat(now, id)
}

func (n *Node) handleHeartbeat(now int64, from NodeID, h Heartbeat) {
	o := n.origin
	if h.ID.Epoch.Leader != from {
		return
	}
	if h.ID.Epoch.Compare(o.vote.Promised) < 0 {
		n.reject(from, h.ID.Epoch)
		return
	}
	if o.vote.CanVote {
		n.promise(h.ID.Epoch)
	}
	if o.role == preVoting {
		o.role = following
	}
	o.maxRoundSeen = max(o.maxRoundSeen, h.ID.Epoch.Round)
	o.leaderHeardAt = now
	o.campaignAt = now + n.jitter(n.timing.ElectionTimeout)
	if s := n.findSource(from); s != nil {
		s.heardAt, s.held = now, h.Held
	}
	n.send(from, HeartbeatAck{h.ID})
	n.observeRevision(h.Held)
	n.pullFrom(now, from, h.Held)
	n.observeHeartbeat(now, h.ID)
}

func (n *Node) handleHeartbeatAck(now int64, from NodeID, h HeartbeatAck) {
	if o := n.origin; o.role == leading && h.ID.Epoch == o.epoch {
		o.answeredAt[from] = now
	}
}

// advanceOrigin takes the steps that new votes and revisions have made possible.
func (n *Node) advanceOrigin(now int64) {
	o := n.origin
	n.tryFinishRecovery()
	if o.role == preVoting && o.vote.CanVote && o.isMajority(len(o.preVotes)+1) {
		n.campaign()
	}
	if o.role == campaigning {
		n.tryLead(now)
	}
	if o.role == leading {
		n.tryCommit(now)
	}
	n.completeRequest()
}

// handleApply proposes a change that was made from the current revision.
func (n *Node) handleApply(now int64, from NodeID, a Apply) {
	o := n.origin
	result := Result{ID: a.ID, Revision: n.held(), Leader: n.Status(now).Leader}
	switch {
	case o == nil || o.role != leading:
		result.Outcome = NotLeader
	case o.request.active && o.request.from == from && o.request.id == a.ID:
		return // a duplicate of the request in progress
	case o.request.active || o.proposal.Delta.Revision.Number > 0:
		result.Outcome = Busy
	case a.Base != n.held() && !o.mutations.ignoresBase:
		result.Outcome = Stale
	default:
		d, err := n.replica.document.nextDelta(o.epoch, a.Change)
		if err == nil && d.Revision.Sum != n.held().Sum {
			o.request = request{from, a.ID, a.Base, d, now + n.timing.ApplyTimeout, true}
			n.propose(d)
			return
		}
		result.Outcome = Invalid
	}
	n.replyToApply(from, result)
}

// completeRequest answers the Apply in progress once a revision of its number has taken effect, with its change or
// another.
func (n *Node) completeRequest() {
	request := &n.origin.request
	if !request.active || n.held().Number < request.delta.Revision.Number {
		return
	}
	result := Result{ID: request.id, Outcome: Unknown, Revision: n.held(), Leader: n.replica.heartbeat.Epoch.Leader}
	if d, ok := n.replica.log.find(request.delta.Revision.Number); ok {
		result.Outcome, result.Revision = Stale, n.held()
		if d.Revision == request.delta.Revision {
			result.Outcome, result.Revision = Committed, d.Revision
		}
	}
	request.active = false
	n.replyToApply(request.from, result)
}

// expireRequest answers Unknown to an Apply whose outcome is undecided at its deadline.
func (n *Node) expireRequest(now int64) {
	if request := &n.origin.request; request.active && now >= request.deadline {
		request.active = false
		n.replyToApply(request.from, Result{ID: request.id, Outcome: Unknown, Revision: n.held(),
			Leader: n.replica.heartbeat.Epoch.Leader})
	}
}
