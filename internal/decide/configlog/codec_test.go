package configlog

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	testEpoch    = Epoch{7, "origin-1"}
	testRevision = Revision{testEpoch, 300, Sum{1 << 63, 5}}
	testChange   = Change{{Key: "a", Value: []byte("one")}, {Key: "b", Delete: true, Value: []byte{}}}
	testDelta    = Delta{testRevision, testChange}
	testProposal = Proposal{Epoch{8, "origin-2"}, testDelta}
	testBeat     = HeartbeatID{testEpoch, 1 << 40}
)

// bodies has one body of each kind, and some without content.
var bodies = []Body{
	PreVote{testEpoch}, PreVoteGranted{testEpoch}, Prepare{testEpoch}, Promise{testEpoch, testRevision, testProposal},
	Promise{testEpoch, Revision{}, Proposal{}}, Accept{testProposal}, Accepted{testEpoch, testRevision},
	Reject{testEpoch, Epoch{9, "x"}, testRevision}, Heartbeat{testBeat, testRevision}, HeartbeatAck{testBeat},
	Recover{1 << 60}, RecoverReply{1, Vote{true, testEpoch, testProposal}, testRevision},
	Digest{testBeat, testRevision}, Digest{}, Push{testDelta},
	Pull{testRevision, true, testRevision, 1 << 31}, Deltas{[]Delta{testDelta, testDelta}, testRevision}, Deltas{},
	Chunk{testRevision, 9, 4, []byte("abcd")}, Overloaded{}, Apply{3, testRevision, testChange},
	ApplyReply{Result{3, Stale, testRevision, "origin-1"}},
}

func TestBodyRoundTrip(t *testing.T) {
	for _, body := range bodies {
		data := AppendBody(nil, body)
		got, err := ParseBody(data)
		require.NoError(t, err)
		require.Equal(t, body, got)
		for cut := range data {
			_, err := ParseBody(data[:cut])
			require.True(t, errors.Is(err, ErrMalformed) || errors.Is(err, ErrLimit),
				"%T cut at %d: %v", body, cut, err)
		}
		_, err = ParseBody(append(data, 0))
		require.ErrorIs(t, err, ErrMalformed)
		data[0]++
		_, err = ParseBody(data)
		require.ErrorIs(t, err, ErrMalformed)
	}
}

// A body that exceeds a limit, or whose change is not well-formed, is rejected as a whole.
func TestInvalidBodies(t *testing.T) {
	entries := func(n int) (c Change) {
		for i := range n {
			c = append(c, Entry{Key: string(rune('A' + i)), Value: []byte{}})
		}
		return c
	}
	long := make([]byte, MaxValue)
	for name, body := range map[string]Body{
		"an entry twice":  Push{Delta{testRevision, Change{{Key: "a"}, {Key: "a"}}}},
		"out of order":    Push{Delta{testRevision, Change{{Key: "b"}, {Key: "a"}}}},
		"no entry":        Push{Delta{testRevision, nil}},
		"50,000 entries":  Push{Delta{testRevision, entries(50_000)}},
		"a long key":      Push{Delta{testRevision, Change{{Key: string(make([]byte, MaxKey+1))}}}},
		"a long value":    Push{Delta{testRevision, Change{{Key: "a", Value: make([]byte, MaxValue+1)}}}},
		"a long change":   Push{Delta{testRevision, Change{{Key: "a", Value: long}, {Key: "b", Value: long}}}},
		"a long chunk":    Chunk{testRevision, 1 << 20, 0, make([]byte, ChunkBytes+1)},
		"a long name":     PreVote{Epoch{1, NodeID(make([]byte, MaxNodeID+1))}},
		"a deleted value": Push{Delta{testRevision, Change{{Key: "a", Delete: true, Value: []byte("x")}}}},
	} {
		_, err := ParseBody(AppendBody(nil, body))
		require.True(t, errors.Is(err, ErrMalformed) || errors.Is(err, ErrLimit), "%s: %v", name, err)
	}
	_, err := ParseBody(make([]byte, MaxMessage+1))
	require.ErrorIs(t, err, ErrLimit)
}

func TestVoteAndDocumentRoundTrip(t *testing.T) {
	vote := Vote{true, testEpoch, testProposal}
	data := AppendVote(nil, vote)
	got, err := ParseVote(data)
	require.NoError(t, err)
	require.Equal(t, vote, got)
	for cut := range data {
		_, err := ParseVote(data[:cut])
		require.Error(t, err, cut)
	}
	d := NewDocument()
	first, err := d.nextDelta(testEpoch, Change{{Key: "a", Value: []byte("one")}, {Key: "b", Value: []byte("two")}})
	require.NoError(t, err)
	require.NoError(t, d.Apply(first))
	data = AppendDocument(nil, d)
	read, err := ParseDocument(data)
	require.NoError(t, err)
	require.Equal(t, d, read)
	for cut := range data {
		_, err := ParseDocument(data[:cut])
		require.Error(t, err, cut)
	}
	data[len(data)-1] ^= 1
	_, err = ParseDocument(data)
	require.ErrorIs(t, err, ErrChecksum)
}

// A document from deltas and one from a snapshot are equal, and a delta is applied completely or not at all.
func TestDocument(t *testing.T) {
	d := NewDocument()
	apply := func(c Change) {
		delta, err := d.nextDelta(testEpoch, c)
		require.NoError(t, err)
		require.NoError(t, d.Apply(delta))
	}
	apply(Change{{Key: "a", Value: []byte("one")}, {Key: "b", Value: []byte("two")}})
	apply(Change{{Key: "a", Value: []byte("three")}, {Key: "b", Delete: true}, {Key: "c", Value: []byte("four")}})
	other, err := ParseSnapshot(d.Revision(), d.Snapshot())
	require.NoError(t, err)
	require.Equal(t, d, other)

	want := d.Clone()
	delta, err := d.nextDelta(testEpoch, Change{{Key: "a", Value: []byte("five")}, {Key: "d", Value: []byte("six")}})
	require.NoError(t, err)
	delta.Change[1].Value = []byte("seven")
	require.ErrorIs(t, d.Apply(delta), ErrChecksum)
	require.Equal(t, want, d)
	delta.Revision.Number++
	require.ErrorIs(t, d.Apply(delta), ErrMalformed)
	require.Equal(t, want, d)

	change := d.ChangeTo(map[string][]byte{"a": []byte("three"), "x": []byte("new")})
	require.Equal(t, Change{{Key: "c", Delete: true}, {Key: "x", Value: []byte("new")}}, change)
}

func FuzzParseBody(f *testing.F) {
	for _, body := range bodies {
		f.Add(AppendBody(nil, body))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		body, err := ParseBody(text)
		if err != nil {
			return
		}
		again, err := ParseBody(AppendBody(nil, body))
		require.NoError(t, err)
		require.Equal(t, body, again)
	})
}

func FuzzParseDocument(f *testing.F) {
	f.Add(AppendDocument(nil, NewDocument()))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := ParseDocument(text)
		if err != nil {
			return
		}
		again, err := ParseDocument(AppendDocument(nil, d))
		require.NoError(t, err)
		require.Equal(t, d, again)
	})
}
