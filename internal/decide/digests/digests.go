// Package digests remembers texts by their digests, the last ones within a bound of memory. It remembers far more of
// them than the texts themselves would allow, and two processes have the same digest for a text.
package digests

import "crypto/sha256"

// Size is the number of bytes of a digest.
const Size = 16

// entryBytes is the memory of an entry: its digest in the order and in the table, and the table's own part.
const entryBytes = 2*Size + 16

// Digest stands for one text. Nobody can find two texts with the same digest.
type Digest [Size]byte

// Of returns the digest of a text.
func Of(text string) (d Digest) {
	sum := sha256.Sum256([]byte(text))
	copy(d[:], sum[:])
	return d
}

// Set is a set of digests that forgets the oldest ones. The zero value holds none.
type Set struct {
	capacity int
	order    []Digest // the oldest first
	known    map[Digest]struct{}
	dropped  uint64 // digests that were forgotten
}

// NewSet returns a set that takes up about the given number of bytes when it is full.
func NewSet(bytes int) *Set {
	return &Set{capacity: max(bytes/entryBytes, 1), known: map[Digest]struct{}{}}
}

// Contains reports whether the set has the digest of a text.
func (s *Set) Contains(text string) bool {
	_, known := s.known[Of(text)]
	return known
}

// Add adds a digest, and reports whether it was not in the set. If the set is full it forgets the oldest one.
func (s *Set) Add(d Digest) bool {
	if _, known := s.known[d]; known {
		return false
	}
	if len(s.order) == s.capacity {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
		s.dropped++
	}
	s.order = append(s.order, d)
	s.known[d] = struct{}{}
	return true
}

// After returns the digests that were added after a position, the oldest first, and the position of the last one. The
// first position is 0. Digests that were forgotten are left out.
func (s *Set) After(position uint64) (added []Digest, last uint64) {
	first := max(position, s.dropped) - s.dropped
	return s.order[min(first, uint64(len(s.order))):], s.dropped + uint64(len(s.order))
}

// Encode returns digests as one sequence of bytes.
func Encode(list []Digest) []byte {
	encoded := make([]byte, 0, len(list)*Size)
	for _, d := range list {
		encoded = append(encoded, d[:]...)
	}
	return encoded
}

// Decode returns the digests of a sequence of bytes. Bytes at its end that are no whole digest are left out.
func Decode(encoded []byte) (list []Digest) {
	for ; len(encoded) >= Size; encoded = encoded[Size:] {
		list = append(list, Digest(encoded[:Size]))
	}
	return list
}
