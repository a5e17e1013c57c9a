package ramp

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// usersOf returns the dispatchers that are users of a turn.
func usersOf(r Rotation, t Turn, n int) (users []int) {
	for me := range n {
		if r.Has(t, me) {
			users = append(users, me)
		}
	}
	return users
}

// Every turn has exactly its number of users, and Each visits each of them once.
func TestTurnHasExactlyItsUsers(t *testing.T) {
	for n := 1; n < 80; n++ {
		rotation := NewRotation(n)
		for _, first := range []int64{-3, 0, 1, 4_000_000_007, 1_700_000_000_007} {
			for size := 1; size <= n+2; size += 1 + n/5 {
				turn := Turn{First: first, Users: int64(size)}
				users := usersOf(rotation, turn, n)
				require.Len(t, users, min(size, n), "%d of %d", size, n)
				var visited []int
				rotation.Each(turn, func(d int) { visited = append(visited, d) })
				slices.Sort(visited)
				require.Equal(t, users, visited, "%d of %d", size, n)
			}
		}
	}
}

// Of dispatchers with consecutive numbers, on average their proportion of all users have a turn, and at most two
// more.
func TestNeighboursAreSpread(t *testing.T) {
	for _, n := range []int{25, 30, 80, 200, 300} {
		rotation := NewRotation(n)
		for _, consecutive := range []int{5, 6, 10, 22, 44} {
			for _, users := range []int{1, 2, 3, 5, 9, 22} {
				if consecutive > n || users > n {
					continue
				}
				expected := float64(consecutive*users) / float64(n)
				sum, rows := 0.0, 0.0
				for _, first := range []int64{0, 7} { // another first place shifts all numbers equally
					turnUsers := usersOf(rotation, Turn{First: first, Users: int64(users)}, n)
					for from := range n {
						count := 0.0
						for _, me := range turnUsers {
							if (me-from+n)%n < consecutive {
								count++
							}
						}
						sum, rows = sum+count, rows+1
						require.LessOrEqual(t, count, math.Ceil(expected)+2, "%d from %d of %d, %d users",
							consecutive, from, n, users)
					}
				}
				require.InDelta(t, expected, sum/rows, 1e-9, "%d of %d, %d users", consecutive, n, users)
			}
		}
	}
}

// Dispatchers that disagree on the number of users of a worker have no more users in total than the largest number.
func TestFewerUsersAreASubset(t *testing.T) {
	const n = 300
	rotation := NewRotation(n)
	for first := range int64(n) {
		largest := usersOf(rotation, Turn{First: first, Users: 20}, n)
		for users := int64(1); users <= 20; users++ {
			for _, me := range usersOf(rotation, Turn{First: first, Users: users}, n) {
				require.Contains(t, largest, me)
			}
		}
	}
}

// The users of a turn are the dispatchers at consecutive places of the rotation. The next turn begins one place
// further, so that all users but the first keep the worker and one is added. Over time every dispatcher has a turn.
func TestTurnsMoveSlowly(t *testing.T) {
	const n, users = 300, 10
	rotation := NewRotation(n)
	had := map[int]bool{}
	for first := range int64(n) {
		kept := 0
		for _, me := range usersOf(rotation, Turn{First: first, Users: users}, n) {
			had[me] = true
			if rotation.Has(Turn{First: first + 1, Users: users}, me) {
				kept++
			}
		}
		require.Equal(t, users-1, kept)
	}
	require.Len(t, had, n)
}

// Workers that start together and have similar names have different users.
func TestWorkersStartedTogetherHaveDifferentUsers(t *testing.T) {
	const n, users, workers = 300, 6, 300
	rotation := NewRotation(n)
	turns := make([]int, n)
	for salt := range int64(workers) {
		turn := TurnAt(1_700_000_000_000_000, 3_000_000, salt)
		turn.Users = users
		rotation.Each(turn, func(d int) { turns[d]++ })
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
