package configlog

import (
	"errors"
	"slices"
)

// source is one who feeds this member.
type source struct {
	node    NodeID
	parent  bool     // by the topology; else a substitute
	held    Revision // by what it has last said
	heard   int64    // when it last said something that is about as fresh as the best known
	adopted int64    // of a substitute: when it was last asked to feed this member
}

// child is one whom this member feeds beyond the topology, for a while.
type child struct {
	node  NodeID
	until int64
}

// replica is the document that a member holds, and how it gets and passes on what comes after.
type replica struct {
	document *Document
	since    int64
	log      deltaLog
	newest   Revision // that was heard of

	beat       HeartbeatID
	fresh      int64 // when beat last advanced
	digested   int64 // when the last digest was sent down
	sources    []source
	adopted    []child
	isolatedAt int64 // when this member holds itself to be cut off, unless beat advances
	seekAt     int64 // when a further substitute may be asked
	seekWait   int64 // 0 unless the last one asked has not answered
	candidate  int   // index of the next substitute

	pull     pull
	fetch    fetch
	serve    budget
	snapshot snapshot

	takesOlder bool // a planted mistake of the tests: a snapshot is taken though it is older than what is held
}

// pull is the question that is open.
type pull struct {
	to       NodeID // "" for none
	deadline int64
	wait     int64 // until the next one counts as lost
	notTo    NodeID
	again    int64 // no pull before that
}

func newReplica(d *Document) replica {
	if d == nil {
		d = NewDocument()
	}
	return replica{document: d, newest: d.revision, log: deltaLog{base: d.revision}}
}

// margin is by how many ticks of the leader a source may be behind the best one and still be as good as it.
const margin = 1

// isFresh tells whether a beat is about as new as the best known.
func (r *replica) isFresh(b HeartbeatID) bool {
	if b.Epoch == r.beat.Epoch {
		return b.Tick+margin >= r.beat.Tick
	}
	return b.Epoch.Compare(r.beat.Epoch) > 0
}

// take brings the next revision into force and tells whether it did.
func (n *Node) take(now int64, d Delta) bool {
	r := &n.replica
	if d.Revision.Number <= n.held().Number {
		if known, ok := r.log.find(d.Revision.Number); ok && known.Revision != d.Revision {
			n.drop(DropFork)
		}
		return false
	}
	if err := r.document.Apply(d); err != nil {
		n.drop(DropInvalid)
		return false
	}
	r.log.add(d)
	r.since = now
	n.hearOf(d.Revision)
	n.out.Deltas = append(n.out.Deltas, d)
	return true
}

// replace brings a whole snapshot into force.
func (n *Node) replace(now int64, d *Document) {
	r := &n.replica
	r.document, r.since, r.log = d, now, deltaLog{base: d.revision}
	n.hearOf(d.revision)
	n.out.Replaced, n.out.Deltas = true, nil
}

func (n *Node) hearOf(r Revision) {
	if r.After(n.replica.newest) {
		n.replica.newest = r
	}
}

// feeds are all whom this member feeds now.
func (n *Node) feeds() []NodeID {
	all := slices.Clone(n.topology.Children(n.me))
	for _, c := range n.replica.adopted {
		if !slices.Contains(all, c.node) {
			all = append(all, c.node)
		}
	}
	return all
}

// pushOn passes on a revision that has just been taken, to all who are fed but the one that it came from.
func (n *Node) pushOn(d Delta, from NodeID) {
	for _, c := range n.feeds() {
		if c != from {
			n.send(c, Push{d})
		}
	}
}

// digest tells all who are fed what is held here.
func (n *Node) digest(now int64) {
	n.replica.digested = now
	n.sendAll(n.feeds(), Digest{n.replica.beat, n.held()})
}

// hearBeat takes the leader's heartbeat, however it came, and passes it on where it is new.
func (n *Node) hearBeat(now int64, b HeartbeatID) {
	if r := &n.replica; b.Compare(r.beat) > 0 {
		r.beat, r.fresh = b, now
		r.isolatedAt = now + n.timing.SourceTimeout + n.random.Int64N(n.timing.DigestInterval/2+1)
		n.digest(now)
	}
}

func (n *Node) handleDigest(now int64, from NodeID, d Digest) {
	r := &n.replica
	s := n.source(from)
	if s == nil {
		return // of one that was asked earlier and is needed no more; it will stop by itself
	}
	s.held = d.Held
	if r.isFresh(d.Heartbeat) {
		s.heard = now
		if !s.parent && d.Heartbeat.Compare(r.beat) >= 0 && now <= r.isolatedAt {
			r.seekWait = 0 // it has taken this member on, and is joined to a leader
		}
	}
	if d.Held.Number == n.held().Number && d.Held != n.held() {
		n.drop(DropFork)
	}
	n.hearBeat(now, d.Heartbeat)
	n.hearOf(d.Held)
	n.pullFrom(now, from, d.Held)
}

func (n *Node) handlePush(now int64, from NodeID, d Delta) {
	if s := n.source(from); s != nil {
		s.held = d.Revision
	} else {
		return // an old message, or one that was asked earlier
	}
	n.hearOf(d.Revision)
	switch next := n.held().Number + 1; {
	case d.Revision.Number < next:
		n.take(now, d) // looks for a fork
	case d.Revision.Number > next:
		n.pullFrom(now, from, d.Revision)
	case n.take(now, d):
		n.pushOn(d, from)
	default: // not what comes after the one that is held here: the whole document tells
		n.pullFrom(now, from, d.Revision)
	}
}

// upstream are those who feed this member by the topology: its parents, or the other origins of an origin.
func (n *Node) upstream() []NodeID {
	if n.origin == nil {
		return n.topology.Parents(n.me)
	}
	return n.origin.others
}

// tickReplica does what is due.
func (n *Node) tickReplica(now int64) {
	r := &n.replica
	if r.sources == nil {
		for _, p := range n.upstream() {
			r.sources = append(r.sources, source{node: p, parent: true, heard: now})
		}
		r.seekAt = now + n.jitter(n.timing.SourceTimeout)
	}
	if now-r.snapshot.used > snapshotKept {
		r.snapshot = snapshot{}
	}
	r.adopted = slices.DeleteFunc(r.adopted, func(c child) bool { return now > c.until })
	if r.digested == 0 || now-r.digested >= n.timing.DigestInterval*3/2 {
		n.digest(now)
	}
	if r.pull.to != "" && now >= r.pull.deadline {
		n.pullFailed(now)
	}
	if r.pull.to == "" && r.newest.After(n.held()) {
		for _, s := range n.preferred(now) {
			n.pullFrom(now, s.node, s.held)
		}
	}
	n.seek(now)
}

// preferred are the sources in the order in which they are asked: the live ones first, the one that failed last.
func (n *Node) preferred(now int64) []source {
	r := &n.replica
	all := slices.Clone(r.sources)
	rank := func(s source) (v int) {
		if s.node == r.pull.notTo {
			v++
		}
		if now-s.heard > n.timing.SourceTimeout {
			v += 2
		}
		return v
	}
	slices.SortStableFunc(all, func(a, b source) int { return rank(a) - rank(b) })
	return all
}

// errNoRevision says that a log does not reach back to a revision.
var errNoRevision = errors.New("the revision is not in the log")

// deltaLog is the last deltas, for those who are behind.
type deltaLog struct {
	base   Revision // the revision before the first
	deltas []Delta
	bytes  int
}

func (l *deltaLog) add(d Delta) {
	l.deltas = append(l.deltas, d)
	l.bytes += deltaSize(d)
	drop := 0
	for ; len(l.deltas)-drop > 1 && (len(l.deltas)-drop > MaxLogDeltas || l.bytes > MaxLogBytes); drop++ {
		l.base = l.deltas[drop].Revision
		l.bytes -= deltaSize(l.deltas[drop])
		l.deltas[drop] = Delta{}
	}
	l.deltas = l.deltas[drop:]
}

// deltaSize is about how many bytes a delta has in a message.
func deltaSize(d Delta) int { return d.Change.size() + 48 + len(d.Revision.Epoch.Leader) }

// find returns the delta that made a revision.
func (l *deltaLog) find(number uint64) (Delta, bool) {
	if len(l.deltas) == 0 || number < l.deltas[0].Revision.Number {
		return Delta{}, false
	}
	i := number - l.deltas[0].Revision.Number
	if i >= uint64(len(l.deltas)) {
		return Delta{}, false
	}
	return l.deltas[i], true
}

// after returns the deltas that follow on a revision, and how many bytes they have, or errNoRevision.
func (l *deltaLog) after(held Revision) (deltas []Delta, size int, err error) {
	start := 0
	if held != l.base {
		d, ok := l.find(held.Number)
		if !ok || d.Revision != held {
			return nil, 0, errNoRevision
		}
		start = int(held.Number-l.deltas[0].Revision.Number) + 1
	}
	for _, d := range l.deltas[start:] {
		size += deltaSize(d)
	}
	return l.deltas[start:], size, nil
}
