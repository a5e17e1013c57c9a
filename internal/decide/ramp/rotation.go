package ramp

import (
	"math"

	"topazfall/internal/decide/mix"
)

// Rotation is the circular order in which dispatchers take turns at cold workers, which are workers that have just
// started. It depends only on the number of dispatchers, so dispatchers whose worker lists differ compute the same
// order. The zero value is not valid.
type Rotation struct{ dispatchers, stride, inverse int64 }

// Turn is a period in which a few dispatchers may use a worker: those at Users consecutive places of the rotation,
// from First on. Places wrap around, so any number is a place. Of two turns with the same first place, the users of
// the one with fewer users are a subset of those of the other.
type Turn struct {
	First, Users int64
	Start        int64 // in microseconds
}

// TurnAt returns the turn at a time, without its number of users. Turns of the given length follow each other, at the
// same times at all workers. From one turn to the next the first place moves on by only one; otherwise a window that
// overlaps two turns would have the jobs of twice as many users. The salt of a worker shifts its places, so that
// workers that start together do not depend on the same users.
func TurnAt(now, length, salt int64) Turn {
	length = max(length, 1)
	offset := int64(mix.Bits(uint64(salt)) >> 2) // shifted so that adding the time cannot overflow
	return Turn{First: offset + now/length, Start: now / length * length}
}

// NewRotation orders the dispatchers 0 to n-1; n is at least 1. Dispatchers with neighbouring numbers may share a zone
// and its traffic, so they are kept apart: from place to place the number moves on by about the golden section of n,
// which spreads any few consecutive places evenly.
func NewRotation(n int) Rotation {
	r := Rotation{dispatchers: int64(n)}
	r.stride = int64(math.Round(float64(n) / math.Phi))
	for !r.visitsAll() {
		r.stride++
	}
	return r
}

// visitsAll reports whether steps of the stride visit every dispatcher. If so, it stores the inverse of the stride: the
// number of places from one dispatcher to the next by number.
func (r *Rotation) visitsAll() bool {
	r.inverse = 0
	for at := r.stride % r.dispatchers; at != 1%r.dispatchers; at = (at + r.stride) % r.dispatchers {
		if r.inverse++; r.inverse >= r.dispatchers {
			return false
		}
	}
	r.inverse++
	return true
}

// Has reports whether a dispatcher is one of the users of a turn.
func (r Rotation) Has(t Turn, dispatcher int) bool {
	place := (int64(dispatcher)*r.inverse - t.First%r.dispatchers) % r.dispatchers
	return (place+r.dispatchers)%r.dispatchers < t.Users
}

// Each calls visit once for each user of a turn.
func (r Rotation) Each(t Turn, visit func(dispatcher int)) {
	first := (t.First%r.dispatchers + r.dispatchers) % r.dispatchers
	for i := range min(t.Users, r.dispatchers) {
		visit(int((first + i) * r.stride % r.dispatchers))
	}
}
