package configlog

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// fillDocument adds entries with values of 200 bytes to a document, in changes of at most 100 entries, and returns the
// deltas.
func fillDocument(tb testing.TB, d *Document, entries int) (deltas []Delta) {
	for k := 0; k < entries; {
		var change Change
		for ; k < entries && len(change) < 100; k++ {
			change = append(change, Entry{Key: fmt.Sprintf("key/%06d", k), Value: make([]byte, 200)})
		}
		delta, err := d.nextDelta(testEpoch, change)
		require.NoError(tb, err)
		require.NoError(tb, d.Apply(delta))
		deltas = append(deltas, delta)
	}
	return deltas
}

// BenchmarkPush measures a push that a relay applies and forwards. Its cost depends on the size of the change, not on
// that of the document.
func BenchmarkPush(b *testing.B) {
	for _, entries := range []int{50, 500, 4000} {
		b.Run(fmt.Sprint(entries, " entries"), func(b *testing.B) {
			d := NewDocument()
			fillDocument(b, d, entries)
			n, err := New(Options{Node: "c5", Roster: testInstallation(300)}, SavedState{Document: d.Clone()})
			require.NoError(b, err)
			n.Tick(1)
			parent := n.topology.Parents("c5")[0]
			pushes := make([]Message, b.N)
			for i := range pushes {
				value := make([]byte, 200)
				copy(value, fmt.Sprint(i))
				delta, err := d.nextDelta(testEpoch, Change{{Key: "key/000001", Value: value}})
				require.NoError(b, err)
				require.NoError(b, d.Apply(delta))
				pushes[i] = Message{parent, "c5", Push{delta}}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for _, m := range pushes {
				n.Handle(1, m)
			}
			if n.held() != d.Revision() {
				b.Fatal("not all deltas were applied")
			}
		})
	}
}

// BenchmarkDigest measures how a follower handles one digest, the periodic message in which a parent reports the
// revision that it holds. The cost does not depend on the size of the installation.
func BenchmarkDigest(b *testing.B) {
	for _, followers := range []int{30, 300, 1000} {
		b.Run(fmt.Sprint(followers, " followers"), func(b *testing.B) {
			n, err := New(Options{Node: "f7", Roster: testInstallation(followers)}, SavedState{})
			require.NoError(b, err)
			n.Tick(1)
			parent := n.topology.Parents("f7")[0]
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				n.Handle(int64(i), Message{parent, "f7", Digest{HeartbeatID{testEpoch, uint64(i)}, Revision{}}})
			}
		})
	}
}

// The memory of a member is bounded by the document, a log of 512 KB, and the roster.
func TestMemoryBound(t *testing.T) {
	const mb = 1 << 20
	heap := func() int64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	roster := testInstallation(300)
	before := heap()
	n, err := New(Options{Node: "f7", Roster: roster}, SavedState{})
	require.NoError(t, err)
	idle := heap() - before
	n.Tick(1)
	parent := n.topology.Parents("f7")[0]
	d := NewDocument()
	for _, delta := range fillDocument(t, d, 4000) {
		n.Handle(1, Message{parent, "f7", Push{delta}})
	}
	for i := range 5200 { // the changes of a day
		value := make([]byte, 200)
		copy(value, fmt.Sprint(i))
		delta, err := d.nextDelta(testEpoch, Change{{Key: fmt.Sprintf("key/%06d", i%4000), Value: value}})
		require.NoError(t, err)
		require.NoError(t, d.Apply(delta))
		n.Handle(1, Message{parent, "f7", Push{delta}})
	}
	revision := d.Revision()
	d = nil
	day := heap() - before
	require.Equal(t, revision, n.held())
	t.Logf("%.2f MB for a roster of 318, %.2f MB with a document of 4,000 entries and a day's changes",
		float64(idle)/mb, float64(day)/mb)
	require.Less(t, day, int64(8*mb))
}
