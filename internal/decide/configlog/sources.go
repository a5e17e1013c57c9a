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
func (n *Node) live(now int64, s source) bool { return now-s.heard <= n.timing.SilentAfter }

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
	until := now + 3*n.timing.Digest
	for i := range r.adopted {
		if r.adopted[i].node == node {
			r.adopted[i].until = until
			return true
		}
	}
	if len(r.adopted) >= n.fan.Adopted {
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

// seek keeps two live sources: it drops substitutes as soon as there are enough without them, renews those that are
// needed, and asks for another where one is missing. The waits between two questions grow, with jitter, as long as
// nobody answers. An origin needs no more than its fellows.
func (n *Node) seek(now int64) {
	r := &n.replica
	if n.origin != nil {
		return
	}
	want, have := len(n.topology.Parents(n.me)), 0
	for _, s := range r.sources {
		if s.parent && n.live(now, s) {
			have++
		}
	}
	isolated := r.fresh > 0 && now-r.fresh > 3*n.timing.Digest
	for _, s := range slices.Clone(r.sources) {
		switch {
		case s.parent:
		case have >= want && !isolated, !n.live(now, s):
			n.forget(s.node)
		default:
			have++
			n.renew(now, s.node)
		}
	}
	if have >= want && !isolated || now < r.seekAt || len(r.sources) > 2*want {
		return
	}
	candidates := n.topology.Substitutes(n.me)
	candidates = slices.DeleteFunc(candidates, func(c NodeID) bool { return n.source(c) != nil })
	if len(candidates) == 0 {
		return
	}
	next := candidates[r.candidate%len(candidates)]
	r.candidate++
	r.sources = append(r.sources, source{node: next, heard: now - n.timing.SilentAfter + n.timing.PullTimeout})
	r.seekWait = min(max(n.timing.PullTimeout, 2*r.seekWait), n.timing.PullMax)
	r.seekAt = now + n.jitter(r.seekWait)
	n.renew(now, next)
}

// renew asks a substitute to go on feeding this member.
func (n *Node) renew(now int64, node NodeID) {
	s := n.source(node)
	if s == nil || s.adopted > 0 && now-s.adopted < n.timing.Digest {
		return
	}
	s.adopted = now
	n.send(node, Pull{Held: n.held(), Adopt: true})
}
