package configlog

// fetch is a snapshot that comes in chunk by chunk. It is in force nowhere before it is whole and checked.
type fetch struct {
	revision Revision
	total    uint32
	text     []byte
}

// snapshot is the one that was last given to somebody, so that whoever has begun to get it can go on when the
// document has changed.
type snapshot struct {
	revision Revision
	text     []byte
	used     int64
}

// snapshotKept is how long, in microseconds, a snapshot that nobody asks for is kept.
const snapshotKept = 10_000_000

// budget is a token bucket of bytes.
type budget struct{ saved, at int64 }

// spend takes so many bytes, or returns false if they are not there.
func (b *budget) spend(now, size, rate, burst int64) bool {
	if b.at == 0 {
		b.saved = burst
	} else if passed := now - b.at; passed > 0 {
		b.saved = min(burst, b.saved+min(passed, 3600e6)*rate/1e6)
	}
	b.at = max(now, 1)
	if b.saved < size {
		return false
	}
	b.saved -= size
	return true
}

// pullFrom asks a source for what comes after the revision held, if it has more and nothing is asked yet.
func (n *Node) pullFrom(now int64, from NodeID, has Revision) {
	r := &n.replica
	if !has.After(n.held()) || r.pull.to != "" || now < r.pull.again {
		return
	}
	if r.pull.wait == 0 {
		r.pull.wait = n.timing.PullTimeout
	}
	r.pull.to, r.pull.deadline = from, now+r.pull.wait
	p := Pull{Held: n.held()}
	if r.fetch.revision.After(n.held()) {
		p.PartialRevision, p.Offset = r.fetch.revision, uint32(len(r.fetch.text))
	} else {
		r.fetch = fetch{}
	}
	n.send(from, p)
}

// pullFailed ends a pull that nobody answered, or that was turned down: the next one waits longer, and prefers another.
func (n *Node) pullFailed(now int64) {
	p := &n.replica.pull
	p.notTo, p.to = p.to, ""
	p.again = now + n.random.Int64N(p.wait/2+1)
	p.wait = min(2*p.wait, n.timing.MaxPullTimeout)
}

// pullDone ends a pull that has brought something.
func (n *Node) pullDone() { n.replica.pull = pull{} }

// asked tells whether an answer is to the pull that is open.
func (n *Node) asked(from NodeID) bool {
	if n.replica.pull.to == from {
		return true
	}
	n.drop(DropLate)
	return false
}

// handlePull answers from the log if that is shorter than a snapshot, and within the bytes that may be spent.
func (n *Node) handlePull(now int64, from NodeID, p Pull) {
	if p.Subscribe {
		n.handleAdopt(now, from)
		return
	}
	body := n.answerPull(now, p)
	size := int64(len(AppendBody(nil, body)))
	if !n.replica.serve.spend(now, size, n.fan.ServeRate, n.fan.ServeBurst) {
		n.send(from, Overloaded{})
		return
	}
	n.send(from, body)
}

func (n *Node) answerPull(now int64, p Pull) Body {
	r := &n.replica
	if !n.held().After(p.Held) {
		return Deltas{Latest: n.held()}
	}
	if s := &r.snapshot; p.PartialRevision.Number > 0 && p.PartialRevision == s.revision && int(p.Offset) < len(s.text) {
		s.used = now
		return s.chunk(p.Offset)
	}
	if deltas, size, err := r.log.after(p.Held); err == nil && (size <= BatchBytes || size <= r.document.size) {
		return Deltas{firstBatch(deltas), n.held()}
	}
	if !n.usable(now, p) {
		r.snapshot = snapshot{revision: n.held(), text: r.document.Snapshot()}
	}
	r.snapshot.used = now
	if p.PartialRevision == r.snapshot.revision {
		return r.snapshot.chunk(p.Offset)
	}
	return r.snapshot.chunk(0)
}

// usable tells whether the snapshot at hand serves one who begins: it is the document in force, or others are getting
// it and what came after is in the log. So those who are getting it need not begin anew with each change.
func (n *Node) usable(now int64, p Pull) bool {
	s := &n.replica.snapshot
	if s.revision == n.held() {
		return true
	}
	_, _, err := n.replica.log.after(s.revision)
	return err == nil && s.revision.After(p.Held) && now-s.used < snapshotKept
}

// firstBatch is as many deltas as fit into a message, and one at least.
func firstBatch(deltas []Delta) []Delta {
	size := 0
	for i, d := range deltas {
		if size += deltaSize(d); size > BatchBytes && i > 0 {
			return deltas[:i]
		}
	}
	return deltas
}

func (s *snapshot) chunk(offset uint32) Chunk {
	offset = min(offset, uint32(len(s.text)))
	end := min(offset+ChunkBytes, uint32(len(s.text)))
	return Chunk{Revision: s.revision, Total: uint32(len(s.text)), Offset: offset, Data: s.text[offset:end]}
}

func (n *Node) handleDeltas(now int64, from NodeID, d Deltas) {
	if s := n.source(from); s != nil {
		s.held = d.Latest
	}
	if !n.asked(from) {
		return
	}
	took := 0
	for _, delta := range d.Deltas {
		if n.take(now, delta) {
			took++
		}
	}
	if took == 0 {
		n.pullFailed(now)
		return
	}
	n.pullDone()
	if n.held().Number < d.Latest.Number {
		n.pullFrom(now, from, d.Latest)
		return
	}
	n.digest(now) // whoever is fed here pulls it: what was missed is sent once, and not by both parents
}

func (n *Node) handleChunk(now int64, from NodeID, c Chunk) {
	if !n.asked(from) {
		return
	}
	f := &n.replica.fetch
	if !c.Revision.After(n.held()) && !n.replica.takesOlder || c.Total > MaxDocument {
		n.drop(DropOld)
		n.pullFailed(now)
		return
	}
	if c.Revision != f.revision || c.Total != f.total {
		*f = fetch{revision: c.Revision, total: c.Total}
	}
	if int(c.Offset) != len(f.text) || len(c.Data) == 0 && c.Total > 0 || len(f.text)+len(c.Data) > int(c.Total) {
		n.drop(DropInvalid)
		*f = fetch{}
		n.pullFailed(now)
		return
	}
	f.text = append(f.text, c.Data...)
	if len(f.text) < int(c.Total) {
		n.pullDone()
		n.pullFrom(now, from, c.Revision)
		return
	}
	document, err := ParseSnapshot(f.revision, f.text)
	*f = fetch{}
	if err != nil {
		n.drop(DropInvalid)
		n.pullFailed(now)
		return
	}
	n.pullDone()
	n.replace(now, document)
	if s := n.source(from); s != nil && s.held.After(n.held()) {
		n.pullFrom(now, from, s.held)
	}
	n.digest(now)
}

func (n *Node) handleOverloaded(now int64, from NodeID) {
	r := &n.replica
	if s := n.source(from); s != nil && !s.parent && s.heard < s.adopted {
		n.forget(from)
	}
	if r.pull.to == from {
		n.pullFailed(now)
	}
}
