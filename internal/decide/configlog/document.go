package configlog

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math/bits"
	"slices"
)

// Sum is a checksum of a whole document: the sum, modulo 2^128, of the first half of each entry's SHA-256. Updating it
// for a change costs time in proportion to the changed entries, whatever the size of the document. It detects faults,
// not attacks: members that may create revisions are trusted.
type Sum struct{ High, Low uint64 }

func (s Sum) String() string { return fmt.Sprintf("%08x", s.High>>32) }

func (s Sum) plus(other Sum) Sum {
	low, carry := bits.Add64(s.Low, other.Low, 0)
	high, _ := bits.Add64(s.High, other.High, carry)
	return Sum{high, low}
}

func (s Sum) minus(other Sum) Sum {
	low, borrow := bits.Sub64(s.Low, other.Low, 0)
	high, _ := bits.Sub64(s.High, other.High, borrow)
	return Sum{high, low}
}

func entrySum(key string, value []byte) Sum {
	data := binary.AppendUvarint(make([]byte, 0, len(key)+len(value)+4), uint64(len(key)))
	data = append(append(data, key...), value...)
	hash := sha256.Sum256(data)
	return Sum{binary.BigEndian.Uint64(hash[:8]), binary.BigEndian.Uint64(hash[8:16])}
}

// Entry is one entry of a change: the new value of a key, or its deletion.
type Entry struct {
	Key    string
	Value  []byte // must not be modified afterwards
	Delete bool
}

// Change is the difference between two revisions: each key once, in the order of the keys.
type Change []Entry

// Errors of changes, snapshots and messages that are not accepted.
var (
	ErrLimit     = errors.New("limit exceeded")
	ErrChecksum  = errors.New("checksum mismatch")
	ErrMalformed = errors.New("malformed")
)

// validate returns an error if the keys are empty or out of order, a deletion has a value, or a limit is exceeded.
func (c Change) validate() error {
	if len(c) == 0 || len(c) > MaxEntries {
		return fmt.Errorf("%w: %d entries", ErrLimit, len(c))
	}
	size := 0
	for i, e := range c {
		if e.Key == "" || len(e.Key) > MaxKey || len(e.Value) > MaxValue {
			return fmt.Errorf("%w: an entry with a key of %d bytes and a value of %d bytes", ErrLimit, len(e.Key),
				len(e.Value))
		}
		if i > 0 && c[i-1].Key >= e.Key || e.Delete && len(e.Value) > 0 {
			return fmt.Errorf("%w: entry %q is out of order, or a deletion with a value", ErrMalformed, e.Key)
		}
		size += entrySize(e.Key, e.Value)
	}
	if size > MaxChange {
		return fmt.Errorf("%w: a change of %d bytes", ErrLimit, size)
	}
	return nil
}

// size returns the approximate number of bytes of an encoded change.
func (c Change) size() (size int) {
	for _, e := range c {
		size += entrySize(e.Key, e.Value)
	}
	return size
}

// entrySize returns the maximum number of bytes of an entry in a snapshot.
func entrySize(key string, value []byte) int { return len(key) + len(value) + 6 }

// Document is the configuration at one revision: a map from keys to values.
type Document struct {
	revision Revision
	entries  map[string][]byte
	size     int // sum of entrySize: maximum number of bytes of its snapshot
}

// NewDocument returns the empty document of revision 0.
func NewDocument() *Document { return &Document{entries: map[string][]byte{}} }

// Revision returns the revision of the document.
func (d *Document) Revision() Revision { return d.revision }

// Len returns the number of entries.
func (d *Document) Len() int { return len(d.entries) }

// Get returns the value of a key. The caller must not modify it.
func (d *Document) Get(key string) (value []byte, ok bool) {
	value, ok = d.entries[key]
	return value, ok
}

// Keys returns all keys, sorted.
func (d *Document) Keys() []string { return slices.Sorted(maps.Keys(d.entries)) }

// Clone returns a copy of d that can be changed independently.
func (d *Document) Clone() *Document {
	c := *d
	c.entries = maps.Clone(d.entries)
	return &c
}

// ChangeTo returns the change from d to a document with exactly the given entries, for callers of Node.Apply that have
// a whole document.
func (d *Document) ChangeTo(entries map[string][]byte) (change Change) {
	for key := range d.entries {
		if _, ok := entries[key]; !ok {
			change = append(change, Entry{Key: key, Delete: true})
		}
	}
	for key, value := range entries {
		if old, ok := d.entries[key]; !ok || !bytes.Equal(old, value) {
			change = append(change, Entry{Key: key, Value: value})
		}
	}
	slices.SortFunc(change, func(a, b Entry) int { return bytes.Compare([]byte(a.Key), []byte(b.Key)) })
	return change
}

// statsAfter returns the checksum, size and number of entries that the document would have after a change.
func (d *Document) statsAfter(change Change) (sum Sum, size, entries int) {
	sum, size, entries = d.revision.Sum, d.size, len(d.entries)
	for _, e := range change {
		if old, ok := d.entries[e.Key]; ok {
			sum, size, entries = sum.minus(entrySum(e.Key, old)), size-entrySize(e.Key, old), entries-1
		}
		if !e.Delete {
			sum, size, entries = sum.plus(entrySum(e.Key, e.Value)), size+entrySize(e.Key, e.Value), entries+1
		}
	}
	return sum, size, entries
}

// nextDelta returns the delta of a change to the document in an epoch, or an error if the change is not valid or the
// document would exceed a limit.
func (d *Document) nextDelta(epoch Epoch, change Change) (Delta, error) {
	if err := change.validate(); err != nil {
		return Delta{}, err
	}
	sum, size, entries := d.statsAfter(change)
	if size > MaxDocument || entries > MaxEntries {
		return Delta{}, fmt.Errorf("%w: a document of %d bytes and %d entries", ErrLimit, size, entries)
	}
	return Delta{Revision{epoch, d.revision.Number + 1, sum}, change}, nil
}

// Apply applies the delta of the next revision to d, completely or not at all.
func (d *Document) Apply(delta Delta) error {
	if delta.Revision.Number != d.revision.Number+1 {
		return fmt.Errorf("%w: revision %d does not follow revision %d", ErrMalformed, delta.Revision.Number,
			d.revision.Number)
	}
	next, err := d.nextDelta(delta.Revision.Epoch, delta.Change)
	if err != nil {
		return err
	}
	if next.Revision != delta.Revision {
		return fmt.Errorf("%w: revision %d", ErrChecksum, delta.Revision.Number)
	}
	_, d.size, _ = d.statsAfter(delta.Change)
	for _, e := range delta.Change {
		if e.Delete {
			delete(d.entries, e.Key)
		} else {
			d.entries[e.Key] = e.Value
		}
	}
	d.revision = delta.Revision
	return nil
}

// Snapshot returns the encoded document. It is the same at all members that hold the revision.
func (d *Document) Snapshot() []byte {
	data := make([]byte, 0, d.size)
	for _, key := range d.Keys() {
		data = appendString(data, key)
		data = appendString(data, string(d.entries[key]))
	}
	return data
}

// ParseSnapshot decodes the snapshot of a revision, and verifies its checksum.
func ParseSnapshot(revision Revision, data []byte) (*Document, error) {
	if len(data) > MaxDocument {
		return nil, fmt.Errorf("%w: a snapshot of %d bytes", ErrLimit, len(data))
	}
	d, lastKey := NewDocument(), ""
	in := decoder{data: data}
	for len(in.data) > 0 {
		key, value := in.string(MaxKey), in.bytes(MaxValue)
		if in.err != nil || key <= lastKey || len(d.entries) == MaxEntries {
			return nil, fmt.Errorf("%w: snapshot of revision %d", ErrMalformed, revision.Number)
		}
		lastKey, d.entries[key] = key, value
		d.size += entrySize(key, value)
		d.revision.Sum = d.revision.Sum.plus(entrySum(key, value))
	}
	if d.revision.Sum != revision.Sum {
		return nil, fmt.Errorf("%w: snapshot of revision %d", ErrChecksum, revision.Number)
	}
	d.revision = revision
	return d, nil
}
