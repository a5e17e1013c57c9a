package ramp

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// holders lists who has a turn.
func holders(c Rotation, t Turn, n int) (have []int) {
	for me := range n {
		if c.Has(t, me) {
			have = append(have, me)
		}
	}
	return have
}

// Just as many have a turn as may, in every turn and at every worker, and Each visits these, once each.
func TestJustAsManyWhereAllShare(t *testing.T) {
	for n := 1; n < 80; n++ {
		circle := NewRotation(n)
		for _, first := range []int64{-3, 0, 1, 4_000_000_007, 1_700_000_000_007} {
			for users := 1; users <= n+2; users += 1 + n/5 {
				turn := Turn{First: first, Users: int64(users)}
				have := holders(circle, turn, n)
				require.Len(t, have, min(users, n), "%d of %d", users, n)
				var visited []int
				circle.Each(turn, func(d int) { visited = append(visited, d) })
				slices.Sort(visited)
				require.Equal(t, have, visited, "%d of %d", users, n)
			}
		}
	}
}

// Of those in a row by number no more have a turn than their part of all, but for two; on the mean it is their part.
func TestNeighboursAreSpread(t *testing.T) {
	for _, n := range []int{25, 30, 80, 200, 300} {
		circle := NewRotation(n)
		for _, row := range []int{5, 6, 10, 22, 44} {
			for _, users := range []int{1, 2, 3, 5, 9, 22} {
				if row > n || users > n {
					continue
				}
				part := float64(row*users) / float64(n)
				sum, rows := 0.0, 0.0
				for _, first := range []int64{0, 7} { // by another first place all numbers move on alike
					have := holders(circle, Turn{First: first, Users: int64(users)}, n)
					for from := range n {
						in := 0.0
						for _, me := range have {
							if (me-from+n)%n < row {
								in++
							}
						}
						sum, rows = sum+in, rows+1
						require.LessOrEqual(t, in, math.Ceil(part)+2, "%d from %d of %d, %d users", row, from, n, users)
					}
				}
				require.InDelta(t, part, sum/rows, 1e-9, "%d of %d, %d users", row, n, users)
			}
		}
	}
}

// Those who don't agree on how many may use a worker have no more turns together than those who take it for most.
func TestTurnsOutliveChangesOfTheList(t *testing.T) {
	const n = 300
	circle := NewRotation(n)
	for first := range int64(n) {
		most := holders(circle, Turn{First: first, Users: 20}, n)
		for users := int64(1); users <= 20; users++ {
			for _, me := range holders(circle, Turn{First: first, Users: users}, n) {
				require.Contains(t, most, me)
			}
		}
	}
}

// All but one of those who have a turn keep it in the next, whose first place is one further, and in time everybody
// has one.
func TestTurnsMoveSlowly(t *testing.T) {
	const n, users = 300, 10
	circle := NewRotation(n)
	had := map[int]bool{}
	for first := range int64(n) {
		kept := 0
		for _, me := range holders(circle, Turn{First: first, Users: users}, n) {
			had[me] = true
			if circle.Has(Turn{First: first + 1, Users: users}, me) {
				kept++
			}
		}
		require.Equal(t, users-1, kept)
	}
	require.Len(t, had, n)
}

// Workers whose names are nearly alike, and that start together, have users of their own.
func TestWorkersThatStartTogetherHaveUsersOfTheirOwn(t *testing.T) {
	const n, users, workers = 300, 6, 300
	circle := NewRotation(n)
	turns := make([]int, n)
	for salt := range int64(workers) {
		turn := TurnAt(1_700_000_000_000_000, 3_000_000, salt)
		turn.Users = users
		circle.Each(turn, func(d int) { turns[d]++ })
	}
	for d, held := range turns {
		require.Less(t, held, 5*users, d)
	}
	none := 0
	for _, held := range turns {
		if held == 0 {
			none++
		}
	}
	require.Less(t, none, n/20)
}
