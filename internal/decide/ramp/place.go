package ramp

import (
	"math"

	"topazfall/internal/decide/mix"
)

// Rotation is the order in which dispatchers take turns at the workers that have just started. It follows from their
// number alone: dispatchers whose lists of workers differ find the same order. The zero value is not valid.
type Rotation struct{ dispatchers, stride, inverse int64 }

// Turn is the time in which a few dispatchers may use a worker: those at so many places of the circle, from the first
// on. Places are counted round the circle, so that any number is one. Of two turns with the same first place, the one
// with fewer users has no user that the other has not.
type Turn struct {
	First, Users int64
	Start        int64 // in microseconds
}

// TurnAt is the turn at a time, without its users. Turns follow each other at all workers alike, one a length, and
// from one to the next the first place moves on by one: else a window that touches two would have the jobs of twice
// as many users. Each worker has places of its own, by its salt, lest those that start together hang on the same
// users.
func TurnAt(now, length, salt int64) Turn {
	length = max(length, 1)
	own := int64(mix.Bits(uint64(salt)) >> 2) // so far below the greatest number that time adds nothing that overflows
	return Turn{First: own + now/length, Start: now / length * length}
}

// NewRotation orders the dispatchers 0 to n-1; n is at least 1. Neighbours by number, who may share a zone and its
// traffic, are kept apart: from place to place the number moves on by about the golden section of n, which spreads
// any few places in a row evenly.
func NewRotation(n int) Rotation {
	c := Rotation{dispatchers: int64(n)}
	c.stride = int64(math.Round(float64(n) / math.Phi))
	for !c.coversAll() {
		c.stride++
	}
	return c
}

// coversAll tells whether steps of the stride meet every dispatcher, and then notes the step from one dispatcher to
// the next, counted in places.
func (c *Rotation) coversAll() bool {
	c.inverse = 0
	for at := c.stride % c.dispatchers; at != 1%c.dispatchers; at = (at + c.stride) % c.dispatchers {
		if c.inverse++; c.inverse >= c.dispatchers {
			return false
		}
	}
	c.inverse++
	return true
}

// Has tells whether a dispatcher is one of a turn's users.
func (c Rotation) Has(t Turn, dispatcher int) bool {
	place := (int64(dispatcher)*c.inverse - t.First%c.dispatchers) % c.dispatchers
	return (place+c.dispatchers)%c.dispatchers < t.Users
}

// Each visits the users of a turn, each once.
func (c Rotation) Each(t Turn, visit func(dispatcher int)) {
	first := (t.First%c.dispatchers + c.dispatchers) % c.dispatchers
	for i := range min(t.Users, c.dispatchers) {
		visit(int((first + i) * c.stride % c.dispatchers))
	}
}
