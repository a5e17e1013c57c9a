package ramp

import "math"

// steps is how many turns it takes at most until the places have gone round. One turn moves them by so little
// that most of those who have one keep it: else a window that touches two turns would have the jobs of both.
const steps = 16

// HasTurn tells whether a dispatcher, of n, may use a worker in a turn, where so many who share the worker are
// so many at a time that may. Those who share a worker are neighbours by their numbers.
//
// Dispatchers hear of changes to the list at different times, and don't agree on how many share a worker. So
// the places hang on that number but roughly: it is rounded up to a power of two. And who has a turn among few
// has it among more as well. Each worker has places of its own, by its salt, lest one dispatcher has the turns
// of all that start at once.
func HasTurn(me, n, sharers, users, salt, turn int64) bool {
	circle := int64(1)
	for circle < sharers {
		circle *= 2
	}
	circle = min(circle, n)
	place := ((order(me%circle, circle)+salt+turn*((circle+steps-1)/steps))%circle + circle) % circle
	return (place+1)*sharers <= users*circle
}

// order is the rank of one of n among the multiples of the golden section, which spread any few in a row
// evenly.
func order(one, n int64) (rank int64) {
	at := func(i int64) float64 { _, part := math.Modf(float64(i) * math.Phi); return part }
	for other := range n {
		if at(other) < at(one) {
			rank++
		}
	}
	return rank
}
