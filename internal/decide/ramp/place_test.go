package ramp

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// workerTurn is a turn at a worker that a part of n dispatchers share, as each of them sees it.
type workerTurn struct {
	n, sharers, users, salt, turn int64
}

// holders counts who of a row of dispatchers has the turn.
func (w workerTurn) holders(from, row int64) (have int64) {
	for i := range row {
		if HasTurn((from+i)%w.n, w.n, w.sharers, w.users, w.salt, w.turn) {
			have++
		}
	}
	return have
}

// Where all dispatchers share a worker, just as many have a turn as may, in every turn and at every worker.
func TestJustAsManyWhereAllShare(t *testing.T) {
	for n := int64(1); n < 80; n++ {
		for _, salt := range []int64{0, 1, 4_000_000_000, 1_700_000_000_000} {
			for users := int64(1); users <= n; users += 1 + n/5 {
				turn := workerTurn{n: n, sharers: n, users: users, salt: salt, turn: salt + 7}
				require.Equal(t, users, turn.holders(0, n), "%d of %d", users, n)
			}
		}
	}
}

// Of those in a row who share a worker no more have a turn than may, but for two; on the mean at least two
// thirds of them. One at a time is one at most.
func TestNeighboursAreSpread(t *testing.T) {
	const salts = 10
	for _, n := range []int64{25, 30, 80, 200, 300} {
		for _, row := range []int64{5, 6, 10, 22, 44} {
			for _, users := range []int64{1, 2, 3, 5, 9} {
				if row > n || users > row {
					continue
				}
				sum, rows := 0.0, 0.0
				for from := range n - row + 1 {
					for salt := range int64(salts) {
						turn := workerTurn{n: n, sharers: row, users: users, salt: salt * 97, turn: 3}
						have := turn.holders(from, row)
						sum, rows = sum+float64(have), rows+1
						require.LessOrEqual(t, have, users+min(users-1, 2),
							"%d from %d of %d, %d users", row, from, n, users)
					}
				}
				require.Greater(t, sum/rows, float64(users)*0.6, "%d of %d, %d users", row, n, users)
				require.Less(t, sum/rows, float64(users)*1.05, "%d of %d, %d users", row, n, users)
			}
		}
	}
}

// Those who don't agree on how many share the worker, as long as they do on its size roughly, have no more
// turns together than those who do: nobody gets one by a change of the list alone who would not have it by the
// larger number of users.
func TestTurnsOutliveChangesOfTheList(t *testing.T) {
	const n = 300
	for me := range int64(n) {
		ever := false
		for sharers := int64(17); sharers <= 32; sharers++ {
			ever = ever || HasTurn(me, n, sharers, 8*sharers/32, 5, 3)
		}
		require.Equal(t, HasTurn(me, n, 32, 8, 5, 3), ever, me)
	}
}

// Most of those who have a turn keep it in the next, and in time everybody has one.
func TestTurnsMoveSlowly(t *testing.T) {
	const n, sharers, users = 300, 32, 10
	had := map[int64]bool{}
	kept, all := 0, 0
	for turn := range int64(steps) {
		for me := range int64(n) {
			now := HasTurn(me, n, sharers, users, 99, turn)
			had[me] = had[me] || now
			if now {
				all++
			}
			if now && HasTurn(me, n, sharers, users, 99, turn+1) {
				kept++
			}
		}
	}
	require.Greater(t, kept, all*3/4)
	for me, had := range had {
		require.True(t, had, me)
	}
}
