package configlog

// tickOrigin campaigns, leads and repeats what was not answered, as time goes by.
func (n *Node) tickOrigin(now int64) {
	o := n.origin
	if o.campaigns == 0 {
		o.campaigns = now + n.jitter(n.timing.ElectionTimeout)
	}
	n.openRequest(now)
	if o.role == leading {
		n.lead(now)
	}
	if now < o.retryAt {
		return
	}
	o.retryAt = now + n.timing.RetryInterval
	switch {
	case !o.vote.CanVote:
		n.sendAll(o.others, Recover{o.life})
	case o.role == leading && o.proposal.Delta.Revision.Number > 0:
		n.sendProposal()
	case o.role == campaigning && now < o.campaigns:
		n.sendPrepare()
	case o.role != leading && now >= o.campaigns:
		n.canvass(now)
	}
}

// canvass asks whether a campaign would do good: without it, one who hears nobody would depose a leader whom all
// others hear.
func (n *Node) canvass(now int64) {
	o := n.origin
	o.role, o.willing = canvassing, map[NodeID]bool{}
	o.campaigns = now + n.jitter(n.timing.ElectionTimeout)
	n.sendAll(o.others, PreVote{Epoch{o.seen + 1, n.me}})
}

func (n *Node) handleCanvass(now int64, from NodeID, c PreVote) {
	o := n.origin
	hearsLeader := o.role == leading || o.leaderAt > 0 && now-o.leaderAt < n.timing.ElectionTimeout
	if o.vote.CanVote && !hearsLeader && c.Epoch.Compare(o.vote.Promised) > 0 {
		n.send(from, PreVoteGranted(c))
	} else if o.vote.CanVote && !hearsLeader {
		n.reject(from, c.Epoch)
	}
}

func (n *Node) handleWilling(from NodeID, w PreVoteGranted) {
	if o := n.origin; o.role == canvassing && w.Epoch == (Epoch{o.seen + 1, n.me}) {
		o.willing[from] = true
	}
}

// campaign asks for the promise of a new epoch. Its own vote counts: it is saved before anything is sent.
func (n *Node) campaign() {
	o := n.origin
	o.epoch = Epoch{o.seen + 1, n.me}
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
	n.knowsHeld(from, p.Held)
	if o.role == campaigning && p.Epoch == o.epoch {
		o.promises[from] = p
	}
}

// begin leads, once a majority has promised and this origin holds all that it has committed. What another leader had
// begun, by the latest of the promises, is proposed anew in this epoch before anything else.
func (n *Node) begin(now int64) {
	o := n.origin
	if !o.isMajority(len(o.promises) + 1) {
		return
	}
	latest := n.pending()
	for _, p := range o.promises {
		if p.Held.After(n.held()) && !o.rules.earlyLeader {
			return // it is being pulled
		}
		a := p.Accepted
		if a.Delta.Revision.Number == n.held().Number+1 && a.Ballot.Compare(latest.Ballot) > 0 {
			latest = a
		}
	}
	o.role, o.tick, o.beatAt = leading, 0, 0
	o.proposal, o.accepted, o.answered = Proposal{}, nil, map[NodeID]int64{}
	for _, other := range o.others {
		o.answered[other] = now
	}
	if latest.Delta.Revision.Number > 0 && !o.rules.dropsOther {
		n.propose(latest.Delta)
	}
	n.lead(now)
}

// propose stores a delta itself and asks the others to.
func (n *Node) propose(d Delta) {
	o := n.origin
	o.proposal, o.accepted = Proposal{o.epoch, d}, map[NodeID]bool{}
	o.vote.Accepted, n.out.SaveVote = o.proposal, true
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
	o.answered[from] = now
	if a.Revision == o.proposal.Delta.Revision {
		o.accepted[from] = true
	}
}

// commit brings the proposal into force, once a majority has stored it, and tells all.
func (n *Node) commit(now int64) {
	o := n.origin
	d := o.proposal.Delta
	if d.Revision.Number == 0 || !o.isMajority(len(o.accepted)+1) {
		return
	}
	o.proposal = Proposal{}
	if d.Revision.After(n.held()) && n.take(now, d) {
		n.sendAll(o.others, Push{d})
		n.pushOn(d, "")
	}
}

// handleReject brings up one who is behind, and steps down before a later epoch.
func (n *Node) handleReject(now int64, from NodeID, r Reject) {
	o := n.origin
	n.knowsHeld(from, r.Held)
	o.seen = max(o.seen, r.Promised.Round)
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
	o.answered[from] = now
	if deltas, _, err := n.replica.log.after(r.Held); err == nil && len(deltas) == 1 {
		n.send(from, Push{deltas[0]})
	}
}

// stepDown ends what this origin has begun. Whether its proposal is committed is for the next leader to find out.
func (n *Node) stepDown() {
	o := n.origin
	o.role, o.proposal = following, Proposal{}
}

// lead sends heartbeats, and steps down where no majority answers them.
func (n *Node) lead(now int64) {
	o := n.origin
	answering := 1
	for _, at := range o.answered {
		if now-at < n.timing.ElectionTimeout {
			answering++
		}
	}
	if !o.isMajority(answering) {
		n.stepDown()
		o.campaigns = now + n.jitter(n.timing.ElectionTimeout)
		return
	}
	if o.beatAt > 0 && now-o.beatAt < n.timing.HeartbeatInterval {
		return
	}
	o.beatAt = now
	if o.tick == 0 || now-o.tickAt >= n.timing.DigestInterval {
		o.tick, o.tickAt = o.tick+1, now
	}
	o.leaderAt = now
	beat := HeartbeatID{o.epoch, o.tick}
	n.sendAll(o.others, Heartbeat{beat, n.held()})
	n.hearBeat(now, beat)
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
	if o.role == canvassing {
		o.role = following
	}
	o.seen = max(o.seen, h.ID.Epoch.Round)
	o.leaderAt = now
	o.campaigns = now + n.jitter(n.timing.ElectionTimeout)
	if s := n.source(from); s != nil {
		s.heard, s.held = now, h.Held
	}
	n.send(from, HeartbeatAck{h.ID})
	n.hearOf(h.Held)
	n.pullFrom(now, from, h.Held)
	n.hearBeat(now, h.ID)
}

func (n *Node) handleHeartbeatAck(now int64, from NodeID, h HeartbeatAck) {
	if o := n.origin; o.role == leading && h.ID.Epoch == o.epoch {
		o.answered[from] = now
	}
}

// advanceOrigin does what votes, and revisions that have come in, have made possible.
func (n *Node) advanceOrigin(now int64) {
	o := n.origin
	n.recovered()
	if o.role == canvassing && o.vote.CanVote && o.isMajority(len(o.willing)+1) {
		n.campaign()
	}
	if o.role == campaigning {
		n.begin(now)
	}
	if o.role == leading {
		n.commit(now)
	}
	n.closeRequest()
}

// handleApply proposes a change that was made from the revision in force.
func (n *Node) handleApply(now int64, from NodeID, a Apply) {
	o := n.origin
	result := Result{ID: a.ID, Revision: n.held(), Leader: n.Status(now).Leader}
	switch {
	case o == nil || o.role != leading:
		result.Outcome = NotLeader
	case o.request.active && o.request.from == from && o.request.id == a.ID:
		return // the same one again
	case o.request.active || o.proposal.Delta.Revision.Number > 0:
		result.Outcome = Busy
	case a.Base != n.held() && !o.rules.anyBase:
		result.Outcome = Stale
	default:
		d, err := n.replica.document.next(o.epoch, a.Change)
		if err == nil && d.Revision.Sum != n.held().Sum {
			o.request = request{from, a.ID, a.Base, d, now + n.timing.ApplyTimeout, true}
			n.propose(d)
			return
		}
		result.Outcome = Invalid
	}
	n.answer(from, result)
}

// closeRequest answers the Apply that is under way when its number is committed, with its change or another's.
func (n *Node) closeRequest() {
	q := &n.origin.request
	if !q.active || n.held().Number < q.delta.Revision.Number {
		return
	}
	result := Result{ID: q.id, Outcome: Unknown, Revision: n.held(), Leader: n.replica.beat.Epoch.Leader}
	if d, ok := n.replica.log.find(q.delta.Revision.Number); ok {
		result.Outcome, result.Revision = Stale, n.held()
		if d.Revision == q.delta.Revision {
			result.Outcome, result.Revision = Committed, d.Revision
		}
	}
	q.active = false
	n.answer(q.from, result)
}

// openRequest gives up on an Apply whose outcome is open for too long.
func (n *Node) openRequest(now int64) {
	if q := &n.origin.request; q.active && now >= q.until {
		q.active = false
		n.answer(q.from, Result{ID: q.id, Outcome: Unknown, Revision: n.held(), Leader: n.replica.beat.Epoch.Leader})
	}
}
