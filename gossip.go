package topazfall

import (
	"slices"

	"topazfall/internal/decide/gossip"
	"topazfall/internal/decide/ramp"
)

// Gossip between dispatchers about workers. Package internal/decide/gossip decides which peers get a message. What
// follows from a message for a choice is in balancer.go; how far messages are trusted is decided here.

// gossipEjectionDivisor limits the effect of gossip: once a third of the listed workers are ejected, a gossip message
// ejects no more.
const gossipEjectionDivisor = 3

// announce notifies the dispatchers that share a worker that a job was sent there or has ended. A message is worth its
// cost for a long job that cannot go elsewhere, and for one that leaves a backlog: by the list the worker would still
// look less loaded than others, and every dispatcher would send there. A short job has mostly ended before the next
// list. At a cold worker every job is announced, because the dispatchers share its budget. Sent work also counts
// towards this dispatcher's own account of the budget.
func (b *Balancer) announce(op gossip.Op, a *attempt) {
	if op == gossip.Sent {
		a.worker.sentWork.Add(ramp.Sent{At: b.now, Work: a.request.work, Own: true}, b.settings.Contract.FallTime)
	}
	if op == gossip.Sent && b.usesGossip() && a.worker.listed {
		final := a.request.class.Repeat == Unsafe && a.request.work > b.jobTime
		a.announced = b.isCold(a.worker) || final || 2*a.request.work > b.jobTime && b.currentRegion(a.worker) > 0
	}
	if a.announced {
		b.gossipAttempt(op, a)
	}
}

// gossipAttempt notifies the dispatchers that may send to the worker of an attempt as well: the users of this turn and
// of the next if the worker was cold, else the dispatchers that share it.
func (b *Balancer) gossipAttempt(op gossip.Op, a *attempt) {
	message := gossip.Message{Op: op, At: b.now, Host: a.worker.hostHash, Work: int64(a.request.work)}
	if op == gossip.Sent && b.isCold(a.worker) {
		a.turn, _, _ = b.coldTurn(a.worker)
		a.turn.Users++ // the user that the next turn adds
	}
	if a.turn.Users == 0 {
		b.gossipToSharers(message, a.worker)
		return
	}
	data := message.Append(nil)
	b.rotation.Each(a.turn, func(peer int) {
		if peer != b.settings.Me && a.worker.listed {
			b.emit(Action{Kind: SendToPeer, Peer: peer, Data: data})
		}
	})
}

// gossipToSharers sends a message to the dispatchers that have a worker among their buddies. It assumes that their
// buddy sets span as many workers of the list as this dispatcher's.
func (b *Balancer) gossipToSharers(message gossip.Message, w *worker) {
	if !w.listed {
		return
	}
	data := message.Append(nil)
	place := slices.Index(b.ranked, w)
	gossip.ForEachSharer(place, len(b.ranked), b.subsetSpan, b.settings.Me, b.settings.Dispatchers, func(peer int) {
		b.emit(Action{Kind: SendToPeer, Peer: peer, Data: data})
	})
}

// usesGossip reports whether gossip is allowed and of use. Where all dispatchers share every worker, each learns of
// the others from its own jobs, and a message costs more than it saves.
func (b *Balancer) usesGossip() bool {
	return b.settings.Allowed.PeerMessages && b.settings.Dispatchers > redundancy
}

// reportError records an error of a worker and notifies the dispatchers that share it, each of which would otherwise
// find out by a job of its own. Notifying all would have a cost at each of hundreds of dispatchers, of which only a
// dozen or two will ever send there.
func (b *Balancer) reportError(w *worker) {
	if b.usesGossip() {
		b.gossipToSharers(gossip.Message{Op: gossip.Failed, At: b.now, Host: w.hostHash}, w)
	}
	b.recordError(w)
}

// handlePeerMessage processes a gossip message of another dispatcher. A message that is invalid, old or about an
// unknown worker is dropped and counted.
func (b *Balancer) handlePeerMessage(e *Event) {
	message, err := gossip.Parse(e.Data, b.now)
	known := false
	if err == nil && e.From >= 0 && e.From != b.settings.Me {
		for _, w := range b.ranked {
			if w.hostHash == message.Host {
				known = true
				b.applyGossip(message, w)
			}
		}
	}
	if !known {
		b.droppedMessages++
	}
}

// applyGossip updates the state of a worker by a gossip message.
func (b *Balancer) applyGossip(message gossip.Message, w *worker) {
	switch message.Op {
	case gossip.Sent:
		w.peerLoad.Add(message.At, 1)
		w.sentWork.Add(ramp.Sent{At: b.now, Work: float64(message.Work)}, b.settings.Contract.FallTime)
	case gossip.Ended:
		w.peerLoad.Add(message.At, -1)
	case gossip.Failed:
		ejected := 0
		for _, other := range b.ranked {
			if b.now < other.ejectedUntil {
				ejected++
			}
		}
		if gossipEjectionDivisor*ejected < len(b.ranked) { // gossip must not eject all workers
			b.recordError(w)
		}
	}
}

// DroppedMessages returns the number of gossip messages that were dropped.
func (b *Balancer) DroppedMessages() int { return b.droppedMessages }

// foldPeerLoad moves queued forward to a later time by the jobs that peers have announced, and returns the number of
// announced jobs since then.
func (w *worker) foldPeerLoad(asOf int64) (since float64) {
	since = float64(w.peerLoad.Since(asOf))
	w.queued += float64(w.peerLoad.Since(w.reportAsOf)) - since
	w.reportAsOf = asOf
	return since
}
