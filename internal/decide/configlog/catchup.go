package configlog

// snapshotDownload is a snapshot that arrives chunk by chunk. It takes effect only when it is complete and verified.
type snapshotDownload struct {
	revision Revision
	total    uint32
	data     []byte
}

// servedSnapshot is the snapshot that was last sent to another member. It is kept so that downloads of it can continue
// after the document has changed.
type servedSnapshot struct {
	revision Revision
	data     []byte
	usedAt   int64
}

// snapshotRetention is how long an unused snapshot is kept, in microseconds.
const snapshotRetention = 10_000_000

// tokenBucket limits a byte rate: a token is a byte.
type tokenBucket struct{ tokens, updatedAt int64 }

// spend takes size bytes from the bucket, or returns false if there are fewer. The bucket fills by rate bytes per
// second up to burst, and starts full.
func (b *tokenBucket) spend(now, size, rate, burst int64) bool {
	if b.updatedAt == 0 {
		b.tokens = burst
	} else if passed := now - b.updatedAt; passed > 0 {
		b.tokens = min(burst, b.tokens+min(passed, 3600e6)*rate/1e6)
	}
	b.updatedAt = max(now, 1)
	if b.tokens < size {
		return false
	}
	b.tokens -= size
	return true
}

// pullFrom asks a source for the revisions after the one held, if the source has newer ones, no pull is open and the
// backoff is over.
func (n *Node) pullFrom(now int64, from NodeID, sourceHeld Revision) {
	r := &n.replica
	if !sourceHeld.After(n.held()) || r.pull.target != "" || now < r.pull.notBefore {
		return
	}
	if r.pull.timeout == 0 {
		r.pull.timeout = n.timing.PullTimeout
	}
	r.pull.target, r.pull.deadline = from, now+r.pull.timeout
	p := Pull{Held: n.held()}
	if r.download.revision.After(n.held()) {
		p.PartialRevision, p.Offset = r.download.revision, uint32(len(r.download.data))
	} else {
		r.download = snapshotDownload{}
	}
	n.send(from, p)
}

// failPull ends a pull that brought nothing: the next one prefers another source and has twice the timeout.
func (n *Node) failPull(now int64) {
	p := &n.replica.pull
	p.lastFailed, p.target = p.target, ""
	p.notBefore = now + n.random.Int64N(p.timeout/2+1)
	p.timeout = min(2*p.timeout, n.timing.MaxPullTimeout)
}

// completePull ends a pull that has succeeded, and resets the backoff.
func (n *Node) completePull() { n.replica.pull = pull{} }

// expectsAnswerFrom reports whether the open pull is to this member. An answer to any other pull counts as late.
func (n *Node) expectsAnswerFrom(from NodeID) bool {
	if n.replica.pull.target == from {
		return true
	}
	n.drop(DropLate)
	return false
}

// handlePull answers a pull within the byte rate that this member may spend on answers.
func (n *Node) handlePull(now int64, from NodeID, p Pull) {
	if p.Subscribe {
		n.handleSubscribe(now, from)
		return
	}
	body := n.answerPull(now, p)
	size := int64(len(AppendBody(nil, body)))
	if !n.replica.serveBudget.spend(now, size, n.fanOut.ServeRate, n.fanOut.ServeBurst) {
		n.send(from, Overloaded{})
		return
	}
	n.send(from, body)
}

// answerPull returns the first of these that applies: no deltas, if there is nothing newer; the next chunk, if a
// download of the served snapshot is in progress; deltas, if they all fit into one message or are no larger than a
// snapshot; a chunk of a snapshot.
func (n *Node) answerPull(now int64, p Pull) Body {
	r := &n.replica
	if !n.held().After(p.Held) {
		return Deltas{Latest: n.held()}
	}
	if s := &r.served; p.PartialRevision.Number > 0 && p.PartialRevision == s.revision && int(p.Offset) < len(s.data) {
		s.usedAt = now
		return s.chunk(p.Offset)
	}
	if deltas, size, err := r.log.after(p.Held); err == nil && (size <= BatchBytes || size <= r.document.size) {
		return Deltas{firstBatch(deltas), n.held()}
	}
	if !n.canServeSnapshot(now, p) {
		r.served = servedSnapshot{revision: n.held(), data: r.document.Snapshot()}
	}
	r.served.usedAt = now
	if p.PartialRevision == r.served.revision {
		return r.served.chunk(p.Offset)
	}
	return r.served.chunk(0)
}

// canServeSnapshot reports whether the served snapshot is suitable for a new download: it is the current document, or
// it is in use and the log has all deltas after it. Thus running downloads need not start again with each change.
func (n *Node) canServeSnapshot(now int64, p Pull) bool {
	s := &n.replica.served
	if s.revision == n.held() {
		return true
	}
	_, _, err := n.replica.log.after(s.revision)
	return err == nil && s.revision.After(p.Held) && now-s.usedAt < snapshotRetention
}

// firstBatch returns as many of the first deltas as fit into one message, and at least one.
func firstBatch(deltas []Delta) []Delta {
	size := 0
	for i, d := range deltas {
		if size += deltaSize(d); size > BatchBytes && i > 0 {
			return deltas[:i]
		}
	}
	return deltas
}

func (s *servedSnapshot) chunk(offset uint32) Chunk {
	offset = min(offset, uint32(len(s.data)))
	end := min(offset+ChunkBytes, uint32(len(s.data)))
	return Chunk{Revision: s.revision, Total: uint32(len(s.data)), Offset: offset, Data: s.data[offset:end]}
}

func (n *Node) handleDeltas(now int64, from NodeID, d Deltas) {
	if s := n.findSource(from); s != nil {
		s.held = d.Latest
	}
	if !n.expectsAnswerFrom(from) {
		return
	}
	appliedCount := 0
	for _, delta := range d.Deltas {
		if n.applyDelta(now, delta) {
			appliedCount++
		}
	}
	if appliedCount == 0 {
		n.failPull(now)
		return
	}
	n.completePull()
	if n.held().Number < d.Latest.Number {
		n.pullFrom(now, from, d.Latest)
		return
	}
	n.sendDigests(now) // children pull what they miss: it is sent to each once, not pushed by both parents
}

func (n *Node) handleChunk(now int64, from NodeID, c Chunk) {
	if !n.expectsAnswerFrom(from) {
		return
	}
	download := &n.replica.download
	if !c.Revision.After(n.held()) && !n.replica.installsOlderSnapshots || c.Total > MaxDocument {
		n.drop(DropOld)
		n.failPull(now)
		return
	}
	if c.Revision != download.revision || c.Total != download.total {
		*download = snapshotDownload{revision: c.Revision, total: c.Total}
	}
	if int(c.Offset) != len(download.data) || len(c.Data) == 0 && c.Total > 0 ||
		len(download.data)+len(c.Data) > int(c.Total) {
		n.drop(DropInvalid)
		*download = snapshotDownload{}
		n.failPull(now)
		return
	}
	download.data = append(download.data, c.Data...)
	if len(download.data) < int(c.Total) {
		n.completePull()
		n.pullFrom(now, from, c.Revision)
		return
	}
	document, err := ParseSnapshot(download.revision, download.data)
	*download = snapshotDownload{}
	if err != nil {
		n.drop(DropInvalid)
		n.failPull(now)
		return
	}
	n.completePull()
	n.installSnapshot(now, document)
	if s := n.findSource(from); s != nil && s.held.After(n.held()) {
		n.pullFrom(now, from, s.held)
	}
	n.sendDigests(now)
}

func (n *Node) handleOverloaded(now int64, from NodeID) {
	r := &n.replica
	if s := n.findSource(from); s != nil && !s.isParent && s.heardAt < s.subscribedAt {
		n.removeFallback(from)
	}
	if r.pull.target == from {
		n.failPull(now)
	}
}
