package configlog

import "slices"

// source returns one who feeds this member, or nil.
func (n *Node) source(node NodeID) *source {
	r := &n.replica
	for i := range r.sources {
		if r.sources[i].node == node {
			return &r.sources[i]
		}
	}
	return nil
}

func (n *Node) forget(node NodeID) {
	r := &n.replica
	r.sources = slices.DeleteFunc(r.sources, func(s source) bool { return s.node == node && !s.parent })
}

// live tells whether a source has lately said something that is about as fresh as the best known.
func (n *Node) live(now int64, s source) bool { return now-s.heard <= n.timing.SourceTimeout }

func (n *Node) liveSources(now int64) (live []NodeID) {
	for _, s := range n.replica.sources {
		if n.live(now, s) {
			live = append(live, s.node)
		}
	}
	return live
}

// adopt feeds one beyond the topology for a while, if there is room.
func (n *Node) adopt(now int64, node NodeID) bool {
	r := &n.replica
	if slices.Contains(n.topology.Children(n.me), node) {
		return true
	}
	until := now + 3*n.timing.DigestInterval
	for i := range r.adopted {
		if r.adopted[i].node == node {
			r.adopted[i].until = until
			return true
		}
	}
	if len(r.adopted) >= n.fan.Subscribers {
		return false
	}
	r.adopted = append(r.adopted, child{node, until})
	return true
}

// handleAdopt answers one who wants to be fed.
func (n *Node) handleAdopt(now int64, from NodeID) {
	if n.adopt(now, from) {
		n.send(from, Digest{n.replica.beat, n.held()})
	} else {
		n.send(from, Overloaded{})
	}
}

// seek keeps two live sources: it renews the substitutes that are needed, drops those that are not, and asks another
// where one is missing. One more is tried, and changed for another again and again, where no source has brought a
// heartbeat of a leader for long: all of them may be cut off alike. The waits grow, with jitter, as long as that does
// no good. Origins have their fellows.
func (n *Node) seek(now int64) {
	r := &n.replica
	if n.origin != nil {
		return
	}
	isolated := r.fresh > 0 && now > r.isolatedAt
	want := len(n.topology.Parents(n.me))
	if isolated {
		want++
	}
	missing := want - n.keepSubstitutes(now, want)
	if now < r.seekAt || missing <= 0 && !isolated {
		return
	}
	if missing <= 0 {
		n.forgetOldest()
	}
	n.seekAnother(now)
}

// keepSubstitutes renews as many substitutes as are wanted beside the live parents, and forgets all others. It
// returns how many sources are live or may yet answer.
func (n *Node) keepSubstitutes(now int64, want int) (have int) {
	for _, s := range n.replica.sources {
		if s.parent && n.live(now, s) {
			have++
		}
	}
	if len(n.replica.sources) == len(n.topology.Parents(n.me)) {
		return have
	}
	for _, s := range slices.Clone(n.replica.sources) {
		switch {
		case s.parent:
		case have >= want, !n.live(now, s):
			n.forget(s.node)
		default:
			have++
			n.renew(now, s.node)
		}
	}
	return have
}

// forgetOldest drops the substitute that has been one for longest.
func (n *Node) forgetOldest() {
	for _, s := range n.replica.sources {
		if !s.parent {
			n.forget(s.node)
			return
		}
	}
}

// seekAnother asks the next substitute in turn. It counts as live until PullTimeout, so that it is given time to
// answer.
func (n *Node) seekAnother(now int64) {
	r := &n.replica
	candidates := slices.DeleteFunc(n.topology.FallbackParents(n.me), func(c NodeID) bool { return n.source(c) != nil })
	if len(candidates) == 0 {
		return
	}
	next := candidates[r.candidate%len(candidates)]
	r.candidate++
	r.sources = append(r.sources, source{node: next, heard: now - n.timing.SourceTimeout + n.timing.PullTimeout})
	r.seekWait = min(max(n.timing.PullTimeout, 2*r.seekWait), n.timing.MaxPullTimeout)
	r.seekAt = now + n.jitter(r.seekWait)
	n.renew(now, next)
}

// renew asks a substitute to go on feeding this member.
func (n *Node) renew(now int64, node NodeID) {
	s := n.source(node)
	if s == nil || s.adopted > 0 && now-s.adopted < n.timing.DigestInterval {
		return
	}
	s.adopted = now
	n.send(node, Pull{Held: n.held(), Subscribe: true})
}
