package configlog

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// memberHarness is a member under test; the test sends the messages of its parents and records what it sends.
type memberHarness struct {
	t       *testing.T
	node    *Node
	id      NodeID
	now     int64
	sent    []Message
	drops   map[DropReason]int
	parents []NodeID
}

func newMemberHarness(t *testing.T, saved SavedState) *memberHarness {
	h := &memberHarness{t: t, id: "f7", now: 1_000_000, drops: map[DropReason]int{}}
	n, err := New(Options{Node: h.id, Roster: testInstallation(30), Seed: 1,
		OnDrop: func(d DropReason) { h.drops[d]++ }}, saved)
	require.NoError(t, err)
	h.node, h.parents = n, n.topology.Parents(h.id)
	h.tick(0)
	return h
}

func (h *memberHarness) tick(elapsed int64) Effects {
	h.now += elapsed
	e := h.node.Tick(h.now)
	h.sent = append(h.sent, e.Messages...)
	return e
}

func (h *memberHarness) handle(from NodeID, body Body) Effects {
	e := h.node.Handle(h.now, Message{from, h.id, body})
	h.sent = append(h.sent, e.Messages...)
	return e
}

// lastSentTo returns the last body that was sent to a member, or nil.
func (h *memberHarness) lastSentTo(to NodeID) Body {
	for _, m := range slices.Backward(h.sent) {
		if m.To == to {
			return m.Body
		}
	}
	return nil
}

// makeHistory creates a number of revisions, each with a new value of the given size for one of ten keys. It returns
// the document at each revision, from 0, and the deltas between them.
func makeHistory(t *testing.T, revisions, size int) (documents []*Document, deltas []Delta) {
	d := NewDocument()
	documents = append(documents, d.Clone())
	for i := range revisions {
		value := make([]byte, size)
		copy(value, fmt.Sprint(i))
		delta, err := d.nextDelta(testEpoch, Change{{Key: fmt.Sprint("k", i%10), Value: value}})
		require.NoError(t, err)
		require.NoError(t, d.Apply(delta))
		documents, deltas = append(documents, d.Clone()), append(deltas, delta)
	}
	return documents, deltas
}

// newHolder returns another member that holds a document and a log of deltas.
func newHolder(t *testing.T, document *Document, log []Delta) *Node {
	n, err := New(Options{Node: "c5", Roster: testInstallation(30), Seed: 2}, SavedState{Document: document})
	require.NoError(t, err)
	for _, d := range log {
		n.replica.log.add(d)
	}
	if len(log) == 0 {
		n.replica.log.base = document.Revision()
	}
	return n
}

// A snapshot arrives in chunks, is continued from another member after a cut, and takes effect only when complete.
func TestSnapshotDownloadResumesAtOtherParent(t *testing.T) {
	documents, _ := makeHistory(t, 12, 10_000)
	last := documents[12]
	h := newMemberHarness(t, SavedState{})
	a, b := h.parents[0], h.parents[1]
	holder, olderHolder := newHolder(t, last.Clone(), nil), newHolder(t, documents[11].Clone(), nil)
	answer := func(n *Node, from NodeID) Effects {
		p, ok := h.lastSentTo(from).(Pull)
		require.True(t, ok)
		e := n.Handle(h.now, Message{h.id, n.id, p})
		require.Len(t, e.Messages, 1)
		return h.handle(from, e.Messages[0].Body)
	}
	h.handle(a, Digest{HeartbeatID{testEpoch, 1}, last.Revision()})
	for range 3 {
		require.False(t, answer(holder, a).Replaced)
		require.Zero(t, h.node.Document().Revision(), "an incomplete snapshot is not in effect")
	}
	require.Equal(t, uint32(3*ChunkBytes), h.lastSentTo(a).(Pull).Offset)
	h.sent = nil // the link to the first parent is cut
	h.handle(b, Digest{HeartbeatID{testEpoch, 2}, last.Revision()})
	for range 10 {
		h.tick(MaxTickInterval)
	}
	require.Equal(t, uint32(3*ChunkBytes), h.lastSentTo(b).(Pull).Offset, "resumes at the other parent")
	require.Equal(t, last.Revision(), h.lastSentTo(b).(Pull).PartialRevision)
	secondHolder := newHolder(t, last.Clone(), nil)
	installed := false
	for range 10 {
		if e := answer(secondHolder, b); e.Replaced {
			installed = true
			break
		}
		require.Zero(t, h.node.Document().Revision())
	}
	require.True(t, installed)
	require.Equal(t, last, h.node.Document())

	// A member that holds another revision starts with the first chunk of its own snapshot.
	second := newMemberHarness(t, SavedState{})
	h = second
	h.handle(a, Digest{HeartbeatID{testEpoch, 1}, last.Revision()})
	answer(holder, a)
	p := h.lastSentTo(a).(Pull)
	e := olderHolder.Handle(h.now, Message{h.id, olderHolder.id, p})
	require.Equal(t, uint32(0), e.Messages[0].Body.(Chunk).Offset)
	require.Equal(t, documents[11].Revision(), e.Messages[0].Body.(Chunk).Revision)
}

// A snapshot that does not match the checksum of its revision is dropped as a whole, and another parent is asked.
func TestCorruptSnapshot(t *testing.T) {
	documents, _ := makeHistory(t, 3, 100)
	data := documents[3].Snapshot()
	data[len(data)-1] ^= 1
	h := newMemberHarness(t, SavedState{})
	a := h.parents[0]
	h.handle(a, Digest{HeartbeatID{testEpoch, 1}, documents[3].Revision()})
	h.handle(h.parents[1], Digest{HeartbeatID{testEpoch, 1}, documents[3].Revision()})
	h.handle(a, Chunk{documents[3].Revision(), uint32(len(data)), 0, data})
	require.Zero(t, h.node.Document().Revision())
	require.Equal(t, 1, h.drops[DropInvalid])
	for range 20 {
		h.tick(MaxTickInterval)
	}
	require.IsType(t, Pull{}, h.lastSentTo(h.parents[1]))
	for _, c := range []Chunk{
		{documents[3].Revision(), MaxDocument + 1, 0, data},
		{documents[3].Revision(), 10, 0, data},
		{documents[3].Revision(), uint32(len(data)), 5, data[5:]},
		{documents[3].Revision(), uint32(len(data)), 0, nil},
	} {
		h.node.replica.pull = pull{target: a, timeout: 1}
		h.handle(a, c)
		require.Zero(t, h.node.Document().Revision())
	}
	require.Equal(t, 4, h.drops[DropInvalid]+h.drops[DropOld]-1)
}

// A revision that is not newer than the one held is never applied, also after a restart from a saved document.
func TestOlderRevisionsAreIgnored(t *testing.T) {
	documents, deltas := makeHistory(t, 5, 100)
	h := newMemberHarness(t, SavedState{Document: documents[4].Clone()})
	a := h.parents[0]
	for _, d := range deltas[:4] {
		require.Zero(t, h.handle(a, Push{d}))
	}
	data := documents[3].Snapshot()
	h.node.replica.pull = pull{target: a, timeout: 1}
	h.handle(a, Chunk{documents[3].Revision(), uint32(len(data)), 0, data})
	require.Equal(t, documents[4].Revision(), h.node.Document().Revision())
	require.Equal(t, 1, h.drops[DropOld])
	require.Equal(t, deltas[4:], h.handle(a, Push{deltas[4]}).Deltas)
	require.Empty(t, h.handle(h.parents[1], Push{deltas[4]}).Deltas, "the second push of a delta has no effect")
	require.Equal(t, h.now, h.node.Status(h.now).Since)
}

// A delta that arrives before its predecessors is not applied, and the missing deltas are pulled.
func TestGapIsPulled(t *testing.T) {
	documents, deltas := makeHistory(t, 3, 100)
	h := newMemberHarness(t, SavedState{})
	a := h.parents[0]
	require.Empty(t, h.handle(a, Push{deltas[2]}).Deltas)
	require.Equal(t, Pull{}, h.lastSentTo(a))
	e := h.handle(a, Deltas{deltas, documents[3].Revision()})
	require.Equal(t, deltas, e.Deltas)
	require.Equal(t, documents[3], h.node.Document())
}

// A delta whose change does not result in its revision, and another revision of a number that is held, are dropped and
// counted. So are messages of unknown senders, and messages between origins at a follower.
func TestInvalidDeltas(t *testing.T) {
	_, deltas := makeHistory(t, 2, 100)
	h := newMemberHarness(t, SavedState{})
	a := h.parents[0]
	wrong := deltas[0]
	wrong.Change = Change{{Key: "x", Value: []byte("y")}}
	require.Empty(t, h.handle(a, Push{wrong}).Deltas)
	require.Equal(t, 1, h.drops[DropInvalid])
	h.handle(a, Push{deltas[0]})
	fork := deltas[0]
	fork.Revision.Epoch.Round++
	require.Empty(t, h.handle(a, Push{fork}).Deltas)
	require.Equal(t, 1, h.drops[DropFork])
	h.handle(a, Digest{HeartbeatID{testEpoch, 1}, fork.Revision})
	require.Equal(t, 2, h.drops[DropFork])
	h.handle("nobody", Push{deltas[1]})
	h.handle("c5", Prepare{testEpoch})
	require.Equal(t, 1, h.drops[DropUnknownMember])
	require.Equal(t, 1, h.drops[DropWrongRole])
	require.Equal(t, uint64(1), h.node.held().Number)
}

// The byte rate of answers to pulls and the number of subscribers are limited, however many members ask. The others get
// Overloaded.
func TestPullAnswersAreRateLimited(t *testing.T) {
	documents, _ := makeHistory(t, 40, 16_000)
	n := newHolder(t, documents[40], nil)
	total, overloaded := int64(0), 0
	now, seconds := int64(1_000_000), int64(5)
	for i := range 10_000 {
		from := NodeID(fmt.Sprint("f", i%30))
		e := n.Handle(now+int64(i)*seconds*100, Message{from, n.id, Pull{}})
		for _, m := range e.Messages {
			if _, ok := m.Body.(Overloaded); ok {
				overloaded++
			} else {
				total += int64(len(AppendBody(nil, m.Body)))
			}
		}
	}
	require.LessOrEqual(t, total, n.fanOut.ServeBurst+(seconds+1)*n.fanOut.ServeRate)
	require.Greater(t, overloaded, 5000)
	accepted := 0
	for i := range 30 {
		e := n.Handle(now, Message{NodeID(fmt.Sprint("f", i)), n.id, Pull{Subscribe: true}})
		if _, ok := e.Messages[0].Body.(Digest); ok && !slices.Contains(n.topology.Children(n.id), e.Messages[0].To) {
			accepted++
		}
	}
	require.Equal(t, n.fanOut.Subscribers, accepted)
}

// A member that loses both parents asks a fallback parent within SourceTimeout, half a DigestInterval and a tick, and
// drops it when the parents are back.
func TestFallbackParents(t *testing.T) {
	h := newMemberHarness(t, SavedState{})
	digest := func(tick uint64, from ...NodeID) {
		for _, p := range from {
			h.handle(p, Digest{HeartbeatID{testEpoch, tick}, Revision{}})
		}
	}
	digest(1, h.parents...)
	asked := func() (all []NodeID) {
		for _, m := range h.sent {
			if p, ok := m.Body.(Pull); ok && p.Subscribe {
				all = append(all, m.To)
			}
		}
		return all
	}
	died := h.now
	for len(asked()) == 0 && h.now < died+10_000_000 {
		h.tick(MaxTickInterval)
	}
	require.LessOrEqual(t, h.now-died, h.node.timing.SourceTimeout+h.node.timing.DigestInterval/2+MaxTickInterval)
	fallback := asked()[0]
	require.NotContains(t, h.parents, fallback)
	digest(3, fallback)
	require.Contains(t, h.node.Status(h.now).Sources, fallback)
	digest(5, h.parents...)
	h.tick(MaxTickInterval)
	require.Equal(t, h.parents, h.node.Status(h.now).Sources)
}

// Pulls without answer back off: an outage of an hour costs little traffic, and its end causes no burst of pulls.
func TestPullBackoff(t *testing.T) {
	h := newMemberHarness(t, SavedState{})
	documents, _ := makeHistory(t, 1, 10)
	h.handle(h.parents[0], Digest{HeartbeatID{testEpoch, 1}, documents[1].Revision()})
	h.sent = nil
	for range 36_000 {
		h.tick(MaxTickInterval)
	}
	pulls := 0
	for _, m := range h.sent {
		if _, ok := m.Body.(Pull); ok {
			pulls++
		}
	}
	t.Logf("%d pulls in an hour", pulls)
	require.Less(t, pulls, 1200) // two kinds of pull, each every 6.4 s on average, and those of the initial backoff
}

// A reply to an Apply counts once, and only from the member that was asked. Without a reply, the outcome is Unknown.
func TestUnexpectedApplyReplies(t *testing.T) {
	h := newMemberHarness(t, SavedState{})
	h.handle(h.parents[0], Digest{HeartbeatID{Epoch{1, "o1"}, 1}, Revision{}})
	e := h.node.Apply(h.now, 7, Revision{}, Change{{Key: "a", Value: []byte("b")}})
	require.Equal(t, NodeID("o1"), e.Messages[0].To)
	answer := ApplyReply{Result{ID: 7, Outcome: Committed}}
	require.Empty(t, h.handle("o2", answer).Results)
	require.Empty(t, h.handle("o1", ApplyReply{Result{ID: 8, Outcome: Committed}}).Results)
	require.Equal(t, []Result{answer.Result}, h.handle("o1", answer).Results)
	require.Empty(t, h.handle("o1", answer).Results)
	require.Equal(t, 3, h.drops[DropLate])

	h.node.Apply(h.now, 9, Revision{}, Change{{Key: "a", Value: []byte("b")}})
	e = h.tick(2 * h.node.timing.ApplyTimeout)
	require.Equal(t, []Result{{ID: 9, Outcome: Unknown}}, e.Results, "no reply has arrived")
}

// A member whose parents still send digests, but without new heartbeats of a leader, asks a fallback parent as well,
// and replaces it by the next one until one has new heartbeats.
func TestIsolatedParents(t *testing.T) {
	h := newMemberHarness(t, SavedState{})
	stuck := Digest{HeartbeatID{testEpoch, 5}, Revision{}}
	for _, p := range h.parents {
		h.handle(p, stuck)
	}
	isolatedSince, asked, first := h.now, map[NodeID]bool{}, int64(0)
	for h.now < isolatedSince+60_000_000 {
		for _, p := range h.parents {
			h.handle(p, stuck)
		}
		for _, m := range h.tick(MaxTickInterval).Messages {
			p, ok := m.Body.(Pull)
			if !ok || !p.Subscribe {
				continue
			}
			if first == 0 {
				first = h.now
			}
			asked[m.To] = true
			h.handle(m.To, stuck) // the fallback parent has no newer heartbeat either
		}
		require.LessOrEqual(t, len(h.node.replica.sources), parentsPerMember+1)
	}
	require.LessOrEqual(t, first-isolatedSince,
		h.node.timing.SourceTimeout+h.node.timing.DigestInterval/2+MaxTickInterval)
	require.Greater(t, len(asked), 3)
}
