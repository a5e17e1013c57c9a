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

// Sum is a checksum of a whole document: the sum, modulo 2^128, of the first half of each entry's SHA-256. A change
// of one entry costs what that entry costs, whatever the size of the document. It tells documents apart that differ
// by fault; whoever may make revisions is trusted.
type Sum struct{ High, Low uint64 }

func (s Sum) String() string { return fmt.Sprintf("%08x", s.High>>32) }

func (s Sum) plus(o Sum) Sum {
	low, carry := bits.Add64(s.Low, o.Low, 0)
	high, _ := bits.Add64(s.High, o.High, carry)
	return Sum{high, low}
}

func (s Sum) minus(o Sum) Sum {
	low, borrow := bits.Sub64(s.Low, o.Low, 0)
	high, _ := bits.Sub64(s.High, o.High, borrow)
	return Sum{high, low}
}

func entrySum(key string, value []byte) Sum {
	text := binary.AppendUvarint(make([]byte, 0, len(key)+len(value)+4), uint64(len(key)))
	text = append(append(text, key...), value...)
	hash := sha256.Sum256(text)
	return Sum{binary.BigEndian.Uint64(hash[:8]), binary.BigEndian.Uint64(hash[8:16])}
}

// Entry is one entry of a change: a key's new value, or its end.
type Entry struct {
	Key    string
	Value  []byte // not to be changed afterwards
	Delete bool
}

// Change is what differs between two revisions: each key once, in the order of the keys.
type Change []Entry

// Errors of a change or a snapshot that cannot be taken.
var (
	ErrLimit     = errors.New("beyond a limit")
	ErrChecksum  = errors.New("the checksum differs")
	ErrMalformed = errors.New("not well-formed")
)

// check returns an error if a change is not in the order of its keys, or beyond a limit.
func (c Change) check() error {
	if len(c) == 0 || len(c) > MaxEntries {
		return fmt.Errorf("%w: %d entries", ErrLimit, len(c))
	}
	size := 0
	for i, e := range c {
		if e.Key == "" || len(e.Key) > MaxKey || len(e.Value) > MaxValue {
			return fmt.Errorf("%w: an entry of %d and %d bytes", ErrLimit, len(e.Key), len(e.Value))
		}
		if i > 0 && c[i-1].Key >= e.Key || e.Delete && len(e.Value) > 0 {
			return fmt.Errorf("%w: entry %q", ErrMalformed, e.Key)
		}
		size += entrySize(e.Key, e.Value)
	}
	if size > MaxChange {
		return fmt.Errorf("%w: a change of %d bytes", ErrLimit, size)
	}
	return nil
}

// size is about how many bytes a change has when it is encoded.
func (c Change) size() (size int) {
	for _, e := range c {
		size += entrySize(e.Key, e.Value)
	}
	return size
}

// entrySize is how many bytes an entry has in a snapshot, at most.
func entrySize(key string, value []byte) int { return len(key) + len(value) + 6 }

// Document is the configuration at one revision. Only the package changes one.
type Document struct {
	revision Revision
	entries  map[string][]byte
	size     int // bytes of its snapshot, at most
}

// NewDocument returns the empty document of revision 0.
func NewDocument() *Document { return &Document{entries: map[string][]byte{}} }

// Revision is the document's.
func (d *Document) Revision() Revision { return d.revision }

// Len is how many entries there are.
func (d *Document) Len() int { return len(d.entries) }

// Get returns the value of a key, which must not be changed.
func (d *Document) Get(key string) (value []byte, ok bool) {
	value, ok = d.entries[key]
	return value, ok
}

// Keys are all keys, sorted.
func (d *Document) Keys() []string { return slices.Sorted(maps.Keys(d.entries)) }

// Clone returns a document that may go on apart from d.
func (d *Document) Clone() *Document {
	c := *d
	c.entries = maps.Clone(d.entries)
	return &c
}

// ChangeTo returns what makes a document with just these entries from d: what to Apply where a caller has a whole
// document.
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

// after returns the checksum, size and number of entries that the document would have after a change.
func (d *Document) after(change Change) (sum Sum, size, entries int) {
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

// next returns the delta that a change makes of the document in an epoch, or why there is none.
func (d *Document) next(epoch Epoch, change Change) (Delta, error) {
	if err := change.check(); err != nil {
		return Delta{}, err
	}
	sum, size, entries := d.after(change)
	if size > MaxDocument || entries > MaxEntries {
		return Delta{}, fmt.Errorf("%w: a document of %d bytes and %d entries", ErrLimit, size, entries)
	}
	return Delta{Revision{epoch, d.revision.Number + 1, sum}, change}, nil
}

// Apply brings the next revision into force in d, whole or not at all.
func (d *Document) Apply(delta Delta) error {
	if delta.Revision.Number != d.revision.Number+1 {
		return fmt.Errorf("%w: revision %d follows on %d", ErrMalformed, delta.Revision.Number, d.revision.Number)
	}
	next, err := d.next(delta.Revision.Epoch, delta.Change)
	if err != nil {
		return err
	}
	if next.Revision != delta.Revision {
		return fmt.Errorf("%w: revision %d", ErrChecksum, delta.Revision.Number)
	}
	_, d.size, _ = d.after(delta.Change)
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

// Snapshot returns the whole document as bytes, the same ones at all who hold its revision.
func (d *Document) Snapshot() []byte {
	text := make([]byte, 0, d.size)
	for _, key := range d.Keys() {
		text = appendString(text, key)
		text = appendString(text, string(d.entries[key]))
	}
	return text
}

// ParseSnapshot returns the document of a revision, if the bytes are just that.
func ParseSnapshot(revision Revision, text []byte) (*Document, error) {
	if len(text) > MaxDocument {
		return nil, fmt.Errorf("%w: a snapshot of %d bytes", ErrLimit, len(text))
	}
	d, last := NewDocument(), ""
	in := decoder{text: text}
	for len(in.text) > 0 {
		key, value := in.string(MaxKey), in.bytes(MaxValue)
		if in.err != nil || key <= last || len(d.entries) == MaxEntries {
			return nil, fmt.Errorf("%w: snapshot of revision %d", ErrMalformed, revision.Number)
		}
		last, d.entries[key] = key, value
		d.size += entrySize(key, value)
		d.revision.Sum = d.revision.Sum.plus(entrySum(key, value))
	}
	if d.revision.Sum != revision.Sum {
		return nil, fmt.Errorf("%w: snapshot of revision %d", ErrChecksum, revision.Number)
	}
	d.revision = revision
	return d, nil
}
