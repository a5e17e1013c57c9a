package configlog

import (
	"errors"
	"slices"
)

// source is a member that feeds this one: it sends digests and pushes to it, and answers its pulls.
type source struct {
	node         NodeID
	isParent     bool     // by the topology; otherwise a fallback parent
	held         Revision // held by it, as last received
	heardAt      int64    // when it last sent a digest or heartbeat that was about as recent as the latest known
	subscribedAt int64    // of a fallback parent: when it was last asked to feed this member
}

// subscriber is a member that this one feeds for a while, though it is not a child by the topology.
type subscriber struct {
	node      NodeID
	expiresAt int64
}

// replica is the document that a member holds, with the state of its replication from sources to children.
type replica struct {
	document *Document
	since    int64 // when document took effect; 0 if it was loaded at the start
	log      deltaLog
	newest   Revision // the newest revision that is known to exist

	heartbeat    HeartbeatID // the latest known
	heartbeatAt  int64       // when heartbeat last advanced
	digestSentAt int64       // when digests were last sent to children
	sources      []source
	subscribers  []subscriber
	isolatedAt   int64 // when this member considers itself isolated, unless heartbeat advances
	nextSearchAt int64 // when the next fallback parent may be asked
	searchWait   int64 // backoff between fallback parents; 0 once one has answered
	nextFallback int   // index of the next fallback parent

	pull        pull
	download    snapshotDownload
	serveBudget tokenBucket
	served      servedSnapshot

	installsOlderSnapshots bool // a mutation that tests set, see mutations
}

// pull is the state of the open Pull, of which there is one at most, and of the backoff after failures.
type pull struct {
	target     NodeID // the member that was asked; "" if no pull is open
	deadline   int64
	timeout    int64 // of the open or else the next pull; doubles with each failure
	lastFailed NodeID
	notBefore  int64 // earliest time of the next pull
}

func newReplica(d *Document) replica {
	if d == nil {
		d = NewDocument()
	}
	return replica{document: d, newest: d.revision, log: deltaLog{base: d.revision}}
}

// maxTickLag is the number of leader ticks by which a fresh heartbeat may be behind the latest known one.
const maxTickLag = 1

// isFresh reports whether a heartbeat is about as recent as the latest known one.
func (r *replica) isFresh(id HeartbeatID) bool {
	if id.Epoch == r.heartbeat.Epoch {
		return id.Tick+maxTickLag >= r.heartbeat.Tick
	}
	return id.Epoch.Compare(r.heartbeat.Epoch) > 0
}

// applyDelta applies the delta of the next revision, and reports whether it did. A delta that forks from the log or
// does not fit the document is counted as dropped.
func (n *Node) applyDelta(now int64, d Delta) bool {
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
	n.observeRevision(d.Revision)
	n.queuedEffects.Deltas = append(n.queuedEffects.Deltas, d)
	return true
}

// installSnapshot replaces the document by the one of a snapshot.
func (n *Node) installSnapshot(now int64, d *Document) {
	r := &n.replica
	r.document, r.since, r.log = d, now, deltaLog{base: d.revision}
	n.observeRevision(d.revision)
	n.queuedEffects.Replaced, n.queuedEffects.Deltas = true, nil
}

func (n *Node) observeRevision(r Revision) {
	if r.After(n.replica.newest) {
		n.replica.newest = r
	}
}

// downstream returns the members that this one feeds: its children and its subscribers.
func (n *Node) downstream() []NodeID {
	members := slices.Clone(n.topology.Children(n.id))
	for _, c := range n.replica.subscribers {
		if !slices.Contains(members, c.node) {
			members = append(members, c.node)
		}
	}
	return members
}

// forwardDelta pushes a delta that was just applied to all downstream members but the one that it came from.
func (n *Node) forwardDelta(d Delta, from NodeID) {
	for _, c := range n.downstream() {
		if c != from {
			n.send(c, Push{d})
		}
	}
}

// sendDigests sends a digest of the revision held to all downstream members.
func (n *Node) sendDigests(now int64) {
	n.replica.digestSentAt = now
	n.sendAll(n.downstream(), Digest{n.replica.heartbeat, n.held()})
}

// observeHeartbeat records a heartbeat of the leader that arrived directly or in a digest. If it is new, it is passed
// on in digests.
func (n *Node) observeHeartbeat(now int64, id HeartbeatID) {
	if r := &n.replica; id.Compare(r.heartbeat) > 0 {
		r.heartbeat, r.heartbeatAt = id, now
		r.isolatedAt = now + n.timing.SourceTimeout + n.random.Int64N(n.timing.DigestInterval/2+1)
		n.sendDigests(now)
	}
}

func (n *Node) handleDigest(now int64, from NodeID, d Digest) {
	r := &n.replica
	s := n.findSource(from)
	if s == nil {
		return // from a former fallback parent; it stops when its subscription expires
	}
	s.held = d.Held
	if r.isFresh(d.Heartbeat) {
		s.heardAt = now
		if !s.isParent && d.Heartbeat.Compare(r.heartbeat) >= 0 && now <= r.isolatedAt {
			r.searchWait = 0 // the fallback parent feeds this member and receives the leader's heartbeats
		}
	}
	if d.Held.Number == n.held().Number && d.Held != n.held() {
		n.drop(DropFork)
	}
	n.observeHeartbeat(now, d.Heartbeat)
	n.observeRevision(d.Held)
	n.pullFrom(now, from, d.Held)
}

func (n *Node) handlePush(now int64, from NodeID, d Delta) {
	if s := n.findSource(from); s != nil {
		s.held = d.Revision
	} else {
		return // an old message, or one from a former fallback parent
	}
	n.observeRevision(d.Revision)
	switch next := n.held().Number + 1; {
	case d.Revision.Number < next:
		n.applyDelta(now, d) // applies nothing, but detects a fork
	case d.Revision.Number > next:
		n.pullFrom(now, from, d.Revision)
	case n.applyDelta(now, d):
		n.forwardDelta(d, from)
	default: // the delta does not fit the document held: a pull gets the right deltas, or the whole document
		n.pullFrom(now, from, d.Revision)
	}
}

// topologySources returns the members that feed this one by the topology: its parents, or for an origin the other
// origins.
func (n *Node) topologySources() []NodeID {
	if n.origin == nil {
		return n.topology.Parents(n.id)
	}
	return n.origin.others
}

// tickReplica sends digests and pulls that are due, drops what has expired, and maintains the sources.
func (n *Node) tickReplica(now int64) {
	r := &n.replica
	if r.sources == nil {
		for _, p := range n.topologySources() {
			r.sources = append(r.sources, source{node: p, isParent: true, heardAt: now})
		}
		r.nextSearchAt = now + n.jitter(n.timing.SourceTimeout)
	}
	if now-r.served.usedAt > snapshotRetention {
		r.served = servedSnapshot{}
	}
	r.subscribers = slices.DeleteFunc(r.subscribers, func(c subscriber) bool { return now > c.expiresAt })
	if r.digestSentAt == 0 || now-r.digestSentAt >= n.timing.DigestInterval*3/2 {
		n.sendDigests(now)
	}
	if r.pull.target != "" && now >= r.pull.deadline {
		n.failPull(now)
	}
	if r.pull.target == "" && r.newest.After(n.held()) {
		for _, s := range n.sourcesByPreference(now) {
			n.pullFrom(now, s.node, s.held)
		}
	}
	n.maintainSources(now)
}

// sourcesByPreference returns the sources in the order in which they are asked: live ones first, then the others. In
// both groups the source whose pull last failed comes last.
func (n *Node) sourcesByPreference(now int64) []source {
	r := &n.replica
	sorted := slices.Clone(r.sources)
	rank := func(s source) (v int) {
		if s.node == r.pull.lastFailed {
			v++
		}
		if now-s.heardAt > n.timing.SourceTimeout {
			v += 2
		}
		return v
	}
	slices.SortStableFunc(sorted, func(a, b source) int { return rank(a) - rank(b) })
	return sorted
}

// errNoRevision means that a log does not contain a revision.
var errNoRevision = errors.New("the revision is not in the log")

// deltaLog holds the latest deltas, for members that are behind.
type deltaLog struct {
	base   Revision // the revision before the first delta
	deltas []Delta
	bytes  int // sum of deltaSize of all deltas
}

func (l *deltaLog) add(d Delta) {
	l.deltas = append(l.deltas, d)
	l.bytes += deltaSize(d)
	dropped := 0
	for ; len(l.deltas)-dropped > 1 && (len(l.deltas)-dropped > MaxLogDeltas || l.bytes > MaxLogBytes); dropped++ {
		l.base = l.deltas[dropped].Revision
		l.bytes -= deltaSize(l.deltas[dropped])
		l.deltas[dropped] = Delta{}
	}
	l.deltas = l.deltas[dropped:]
}

// deltaSize returns the approximate number of bytes of a delta in a message.
func deltaSize(d Delta) int { return d.Change.size() + 48 + len(d.Revision.Epoch.Leader) }

// find returns the delta that produced the revision of a number.
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

// after returns the deltas after a revision and their approximate size in bytes, or errNoRevision.
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
