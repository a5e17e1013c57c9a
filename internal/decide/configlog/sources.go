package configlog

import "slices"

// findSource returns the source of that name, or nil.
func (n *Node) findSource(node NodeID) *source {
	r := &n.replica
	for i := range r.sources {
		if r.sources[i].node == node {
			return &r.sources[i]
		}
	}
	return nil
}

func (n *Node) removeFallback(node NodeID) {
	r := &n.replica
	r.sources = slices.DeleteFunc(r.sources, func(s source) bool { return s.node == node && !s.isParent })
}

// isLive reports whether a source has sent a fresh digest or heartbeat within the source timeout.
func (n *Node) isLive(now int64, s source) bool { return now-s.heardAt <= n.timing.SourceTimeout }

func (n *Node) liveSources(now int64) (live []NodeID) {
	for _, s := range n.replica.sources {
		if n.isLive(now, s) {
			live = append(live, s.node)
		}
	}
	return live
}

// addSubscriber adds a subscriber, which is sent digests and pushes until its subscription expires, or renews the
// subscription. It returns false if there are too many subscribers. Children need no subscription.
func (n *Node) addSubscriber(now int64, node NodeID) bool {
	r := &n.replica
	if slices.Contains(n.topology.Children(n.id), node) {
		return true
	}
	expiresAt := now + 3*n.timing.DigestInterval
	for i := range r.subscribers {
		if r.subscribers[i].node == node {
			r.subscribers[i].expiresAt = expiresAt
			return true
		}
	}
	if len(r.subscribers) >= n.fanOut.Subscribers {
		return false
	}
	r.subscribers = append(r.subscribers, subscriber{node, expiresAt})
	return true
}

// handleSubscribe answers a request for a subscription.
func (n *Node) handleSubscribe(now int64, from NodeID) {
	if n.addSubscriber(now, from) {
		n.send(from, Digest{n.replica.heartbeat, n.held()})
	} else {
		n.send(from, Overloaded{})
	}
}

// maintainSources keeps as many live sources as there are parents: it renews the fallback parents that are needed,
// drops those that are not, and asks a further one if a source is missing. If no source has brought a new heartbeat of
// a leader for long, all of them may be cut off from the leader: one more source is then wanted, and it is replaced by
// the next candidate until one brings new heartbeats. The waits between the replacements grow, with jitter. Origins
// need no fallback parents, since all other origins are their sources.
func (n *Node) maintainSources(now int64) {
	r := &n.replica
	if n.origin != nil {
		return
	}
	isolated := r.heartbeatAt > 0 && now > r.isolatedAt
	wanted := len(n.topology.Parents(n.id))
	if isolated {
		wanted++
	}
	missing := wanted - n.renewFallbacks(now, wanted)
	if now < r.nextSearchAt || missing <= 0 && !isolated {
		return
	}
	if missing <= 0 {
		n.removeOldestFallback()
	}
	n.addFallback(now)
}

// renewFallbacks renews the fallback parents that are wanted beside the live parents, and removes all others. It
// returns how many sources are live or may still answer.
func (n *Node) renewFallbacks(now int64, wanted int) (count int) {
	for _, s := range n.replica.sources {
		if s.isParent && n.isLive(now, s) {
			count++
		}
	}
	if len(n.replica.sources) == len(n.topology.Parents(n.id)) {
		return count
	}
	for _, s := range slices.Clone(n.replica.sources) {
		switch {
		case s.isParent:
		case count >= wanted, !n.isLive(now, s):
			n.removeFallback(s.node)
		default:
			count++
			n.renewSubscription(now, s.node)
		}
	}
	return count
}

// removeOldestFallback removes the fallback parent that was added first.
func (n *Node) removeOldestFallback() {
	for _, s := range n.replica.sources {
		if !s.isParent {
			n.removeFallback(s.node)
			return
		}
	}
}

// addFallback asks the next fallback parent in turn. It counts as live for PullTimeout, so that it has time to answer.
func (n *Node) addFallback(now int64) {
	r := &n.replica
	candidates := slices.DeleteFunc(n.topology.FallbackParents(n.id),
		func(c NodeID) bool { return n.findSource(c) != nil })
	if len(candidates) == 0 {
		return
	}
	next := candidates[r.nextFallback%len(candidates)]
	r.nextFallback++
	r.sources = append(r.sources, source{node: next, heardAt: now - n.timing.SourceTimeout + n.timing.PullTimeout})
	r.searchWait = min(max(n.timing.PullTimeout, 2*r.searchWait), n.timing.MaxPullTimeout)
	r.nextSearchAt = now + n.jitter(r.searchWait)
	n.renewSubscription(now, next)
}

// renewSubscription requests or renews the subscription to a fallback parent, at most once per digest interval.
func (n *Node) renewSubscription(now int64, node NodeID) {
	s := n.findSource(node)
	if s == nil || s.subscribedAt > 0 && now-s.subscribedAt < n.timing.DigestInterval {
		return
	}
	s.subscribedAt = now
	n.send(node, Pull{Held: n.held(), Subscribe: true})
}
