package configlog

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// feeder is a member's parents as a test plays them, and what has come of it.
type feeder struct {
	t       *testing.T
	node    *Node
	me      NodeID
	now     int64
	sent    []Message
	drops   map[DropReason]int
	parents []NodeID
}

func newFeeder(t *testing.T, saved SavedState) *feeder {
	f := &feeder{t: t, me: "f7", now: 1_000_000, drops: map[DropReason]int{}}
	n, err := New(Options{Node: f.me, Roster: installation(30), Seed: 1, OnDrop: func(d DropReason) { f.drops[d]++ }}, saved)
	require.NoError(t, err)
	f.node, f.parents = n, n.topology.Parents(f.me)
	f.tick(0)
	return f
}

func (f *feeder) tick(d int64) Effects {
	f.now += d
	e := f.node.Tick(f.now)
	f.sent = append(f.sent, e.Messages...)
	return e
}

func (f *feeder) handle(from NodeID, body Body) Effects {
	e := f.node.Handle(f.now, Message{from, f.me, body})
	f.sent = append(f.sent, e.Messages...)
	return e
}

// last returns the last body that was sent to somebody, or nil.
func (f *feeder) last(to NodeID) Body {
	for _, m := range slices.Backward(f.sent) {
		if m.To == to {
			return m.Body
		}
	}
	return nil
}

// history makes so many revisions, each with a new value of that size in one of ten keys.
func history(t *testing.T, revisions, size int) (documents []*Document, deltas []Delta) {
	d := NewDocument()
	documents = append(documents, d.Clone())
	for i := range revisions {
		value := make([]byte, size)
		copy(value, fmt.Sprint(i))
		delta, err := d.next(testEpoch, Change{{Key: fmt.Sprint("k", i%10), Value: value}})
		require.NoError(t, err)
		require.NoError(t, d.Apply(delta))
		documents, deltas = append(documents, d.Clone()), append(deltas, delta)
	}
	return documents, deltas
}

// holder is another member that has all of a history.
func holder(t *testing.T, document *Document, log []Delta) *Node {
	n, err := New(Options{Node: "c5", Roster: installation(30), Seed: 2}, SavedState{Document: document})
	require.NoError(t, err)
	for _, d := range log {
		n.replica.log.add(d)
	}
	if len(log) == 0 {
		n.replica.log.base = document.Revision()
	}
	return n
}

// A snapshot comes in chunks, goes on with another holder after a cut, and is in force only when it is whole.
func TestSnapshotGoesOnElsewhere(t *testing.T) {
	documents, _ := history(t, 12, 10_000)
	last := documents[12]
	f := newFeeder(t, SavedState{})
	a, b := f.parents[0], f.parents[1]
	one, other := holder(t, last.Clone(), nil), holder(t, documents[11].Clone(), nil)
	answer := func(n *Node, from NodeID) Effects {
		p, ok := f.last(from).(Pull)
		require.True(t, ok)
		e := n.Handle(f.now, Message{f.me, n.me, p})
		require.Len(t, e.Messages, 1)
		return f.handle(from, e.Messages[0].Body)
	}
	f.handle(a, Digest{HeartbeatID{testEpoch, 1}, last.Revision()})
	for range 3 {
		require.False(t, answer(one, a).Replaced)
		require.Zero(t, f.node.Document().Revision(), "half of it is not in force")
	}
	require.Equal(t, uint32(3*ChunkBytes), f.last(a).(Pull).Offset)
	f.sent = nil // the link is cut
	f.handle(b, Digest{HeartbeatID{testEpoch, 2}, last.Revision()})
	for range 10 {
		f.tick(MaxTickInterval)
	}
	require.Equal(t, uint32(3*ChunkBytes), f.last(b).(Pull).Offset, "it goes on with the other parent")
	require.Equal(t, last.Revision(), f.last(b).(Pull).PartialRevision)
	same := holder(t, last.Clone(), nil)
	taken := false
	for range 10 {
		if e := answer(same, b); e.Replaced {
			taken = true
			break
		}
		require.Zero(t, f.node.Document().Revision())
	}
	require.True(t, taken)
	require.Equal(t, last, f.node.Document())

	// One that holds another revision begins anew with its own.
	g := newFeeder(t, SavedState{})
	f = g
	f.handle(a, Digest{HeartbeatID{testEpoch, 1}, last.Revision()})
	answer(one, a)
	p := f.last(a).(Pull)
	e := other.Handle(f.now, Message{f.me, other.me, p})
	require.Equal(t, uint32(0), e.Messages[0].Body.(Chunk).Offset)
	require.Equal(t, documents[11].Revision(), e.Messages[0].Body.(Chunk).Revision)
}

// A snapshot whose bytes are not those of its revision is dropped whole, and another parent is asked.
func TestBrokenSnapshot(t *testing.T) {
	documents, _ := history(t, 3, 100)
	text := documents[3].Snapshot()
	text[len(text)-1] ^= 1
	f := newFeeder(t, SavedState{})
	a := f.parents[0]
	f.handle(a, Digest{HeartbeatID{testEpoch, 1}, documents[3].Revision()})
	f.handle(f.parents[1], Digest{HeartbeatID{testEpoch, 1}, documents[3].Revision()})
	f.handle(a, Chunk{documents[3].Revision(), uint32(len(text)), 0, text})
	require.Zero(t, f.node.Document().Revision())
	require.Equal(t, 1, f.drops[DropInvalid])
	for range 20 {
		f.tick(MaxTickInterval)
	}
	require.IsType(t, Pull{}, f.last(f.parents[1]))
	for _, c := range []Chunk{
		{documents[3].Revision(), MaxDocument + 1, 0, text},
		{documents[3].Revision(), 10, 0, text},
		{documents[3].Revision(), uint32(len(text)), 5, text[5:]},
		{documents[3].Revision(), uint32(len(text)), 0, nil},
	} {
		f.node.replica.pull = pull{to: a, wait: 1}
		f.handle(a, c)
		require.Zero(t, f.node.Document().Revision())
	}
	require.Equal(t, 4, f.drops[DropInvalid]+f.drops[DropOld]-1)
}

// Nothing that is as old as what is held, or older, is ever taken, also after a restart from the saved document.
func TestNothingOlderIsTaken(t *testing.T) {
	documents, deltas := history(t, 5, 100)
	f := newFeeder(t, SavedState{Document: documents[4].Clone()})
	a := f.parents[0]
	for _, d := range deltas[:4] {
		require.Zero(t, f.handle(a, Push{d}))
	}
	text := documents[3].Snapshot()
	f.node.replica.pull = pull{to: a, wait: 1}
	f.handle(a, Chunk{documents[3].Revision(), uint32(len(text)), 0, text})
	require.Equal(t, documents[4].Revision(), f.node.Document().Revision())
	require.Equal(t, 1, f.drops[DropOld])
	require.Equal(t, deltas[4:], f.handle(a, Push{deltas[4]}).Deltas)
	require.Empty(t, f.handle(f.parents[1], Push{deltas[4]}).Deltas, "twice")
	require.Equal(t, f.now, f.node.Status(f.now).Since)
}

// A delta that comes early is not taken, and what is missing is pulled.
func TestGapIsPulled(t *testing.T) {
	documents, deltas := history(t, 3, 100)
	f := newFeeder(t, SavedState{})
	a := f.parents[0]
	require.Empty(t, f.handle(a, Push{deltas[2]}).Deltas)
	require.Equal(t, Pull{}, f.last(a))
	e := f.handle(a, Deltas{deltas, documents[3].Revision()})
	require.Equal(t, deltas, e.Deltas)
	require.Equal(t, documents[3], f.node.Document())
}

// A change that does not make its revision, or another document under a number that is held, is counted and dropped.
func TestWrongDeltas(t *testing.T) {
	_, deltas := history(t, 2, 100)
	f := newFeeder(t, SavedState{})
	a := f.parents[0]
	wrong := deltas[0]
	wrong.Change = Change{{Key: "x", Value: []byte("y")}}
	require.Empty(t, f.handle(a, Push{wrong}).Deltas)
	require.Equal(t, 1, f.drops[DropInvalid])
	f.handle(a, Push{deltas[0]})
	fork := deltas[0]
	fork.Revision.Epoch.Round++
	require.Empty(t, f.handle(a, Push{fork}).Deltas)
	require.Equal(t, 1, f.drops[DropFork])
	f.handle(a, Digest{HeartbeatID{testEpoch, 1}, fork.Revision})
	require.Equal(t, 2, f.drops[DropFork])
	f.handle("nobody", Push{deltas[1]})
	f.handle("c5", Prepare{testEpoch})
	require.Equal(t, 1, f.drops[DropUnknownMember])
	require.Equal(t, 1, f.drops[DropWrongRole])
	require.Equal(t, uint64(1), f.node.held().Number)
}

// What one member spends on answers is bounded, however many ask: the others are told to come later.
func TestServingIsBounded(t *testing.T) {
	documents, _ := history(t, 40, 16_000)
	n := holder(t, documents[40], nil)
	total, overloaded := int64(0), 0
	now, seconds := int64(1_000_000), int64(5)
	for i := range 10_000 {
		asker := NodeID(fmt.Sprint("f", i%30))
		e := n.Handle(now+int64(i)*seconds*100, Message{asker, n.me, Pull{}})
		for _, m := range e.Messages {
			if _, ok := m.Body.(Overloaded); ok {
				overloaded++
			} else {
				total += int64(len(AppendBody(nil, m.Body)))
			}
		}
	}
	require.LessOrEqual(t, total, n.fan.ServeBurst+(seconds+1)*n.fan.ServeRate)
	require.Greater(t, overloaded, 5000)
	adopted := 0
	for i := range 30 {
		e := n.Handle(now, Message{NodeID(fmt.Sprint("f", i)), n.me, Pull{Subscribe: true}})
		if _, ok := e.Messages[0].Body.(Digest); ok && !slices.Contains(n.topology.Children(n.me), e.Messages[0].To) {
			adopted++
		}
	}
	require.Equal(t, n.fan.Subscribers, adopted)
}

// One that loses both parents finds another within SilentAfter and a tick, and lets go of it when a parent is back.
func TestSubstitutes(t *testing.T) {
	f := newFeeder(t, SavedState{})
	beat := func(tick uint64, from ...NodeID) {
		for _, p := range from {
			f.handle(p, Digest{HeartbeatID{testEpoch, tick}, Revision{}})
		}
	}
	beat(1, f.parents...)
	asked := func() (all []NodeID) {
		for _, m := range f.sent {
			if p, ok := m.Body.(Pull); ok && p.Subscribe {
				all = append(all, m.To)
			}
		}
		return all
	}
	died := f.now
	for len(asked()) == 0 && f.now < died+10_000_000 {
		f.tick(MaxTickInterval)
	}
	require.LessOrEqual(t, f.now-died, f.node.timing.SourceTimeout+f.node.timing.DigestInterval/2+MaxTickInterval)
	substitute := asked()[0]
	require.NotContains(t, f.parents, substitute)
	beat(3, substitute)
	require.Contains(t, f.node.Status(f.now).Sources, substitute)
	beat(5, f.parents...)
	f.tick(MaxTickInterval)
	require.Equal(t, f.parents, f.node.Status(f.now).Sources)
}

// Questions that nobody answers become rarer: a cut of an hour costs little, and its heal finds no storm.
func TestWaitsGrow(t *testing.T) {
	f := newFeeder(t, SavedState{})
	documents, _ := history(t, 1, 10)
	f.handle(f.parents[0], Digest{HeartbeatID{testEpoch, 1}, documents[1].Revision()})
	f.sent = nil
	for range 36_000 {
		f.tick(MaxTickInterval)
	}
	pulls := 0
	for _, m := range f.sent {
		if _, ok := m.Body.(Pull); ok {
			pulls++
		}
	}
	t.Logf("%d pulls in an hour", pulls)
	require.Less(t, pulls, 1200) // two questions each of 6.4 s on average, and what came before
}

// An answer to an Apply counts once, and only from the one that was asked.
func TestAnswersToNobodysQuestion(t *testing.T) {
	f := newFeeder(t, SavedState{})
	f.handle(f.parents[0], Digest{HeartbeatID{Epoch{1, "o1"}, 1}, Revision{}})
	e := f.node.Apply(f.now, 7, Revision{}, Change{{Key: "a", Value: []byte("b")}})
	require.Equal(t, NodeID("o1"), e.Messages[0].To)
	answer := ApplyReply{Result{ID: 7, Outcome: Committed}}
	require.Empty(t, f.handle("o2", answer).Results)
	require.Empty(t, f.handle("o1", ApplyReply{Result{ID: 8, Outcome: Committed}}).Results)
	require.Equal(t, []Result{answer.Result}, f.handle("o1", answer).Results)
	require.Empty(t, f.handle("o1", answer).Results)
	require.Equal(t, 3, f.drops[DropLate])

	f.node.Apply(f.now, 9, Revision{}, Change{{Key: "a", Value: []byte("b")}})
	e = f.tick(2 * f.node.timing.ApplyTimeout)
	require.Equal(t, []Result{{ID: 9, Outcome: Unknown}}, e.Results, "nobody has answered")
}

// One whose parents still talk, but hear of no leader any more, asks another beside them, and changes it for the next
// in turn as long as that does not help.
func TestParentsThatAreCutOff(t *testing.T) {
	f := newFeeder(t, SavedState{})
	stuck := Digest{HeartbeatID{testEpoch, 5}, Revision{}}
	for _, p := range f.parents {
		f.handle(p, stuck)
	}
	cut, asked, first := f.now, map[NodeID]bool{}, int64(0)
	for f.now < cut+60_000_000 {
		for _, p := range f.parents {
			f.handle(p, stuck)
		}
		for _, m := range f.tick(MaxTickInterval).Messages {
			p, ok := m.Body.(Pull)
			if !ok || !p.Subscribe {
				continue
			}
			if first == 0 {
				first = f.now
			}
			asked[m.To] = true
			f.handle(m.To, stuck) // it knows no more
		}
		require.LessOrEqual(t, len(f.node.replica.sources), parents+1)
	}
	require.LessOrEqual(t, first-cut, f.node.timing.SourceTimeout+f.node.timing.DigestInterval/2+MaxTickInterval)
	require.Greater(t, len(asked), 3)
}
