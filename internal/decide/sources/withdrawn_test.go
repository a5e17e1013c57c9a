package sources

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"topazfall"
)

// restartAs starts the merger of a next process: it takes what its predecessor has withdrawn, then what DNS listed, and
// then the list that it knows.
func restartAs(now int64, state Withdrawals, known ...Entry) (*Merger, view) {
	m, v := newMerger(), view{}
	m.RestoreWithdrawals(now, state)
	m.Restore(now, jobs, []Record{newRecord("w1.example", "10.0.0.1"), newRecord("w2.example", "10.0.0.2")})
	v.apply(m.Merge(now))
	m.UpdateRoster(topazfall.ListRestored, known)
	v.apply(m.Merge(now))
	return m, v
}

// Guards against a withdrawn host that gets new requests from a process after the one that was told: whatever list the
// later process knows from before, until the roster lists the host as up there.
func TestWithdrawnInLaterProcesses(t *testing.T) {
	up := rosterEntry("w1.example", "10.0.0.1:9000", topazfall.Ready)
	for _, state := range []topazfall.WorkerState{topazfall.Draining, topazfall.Gone} {
		for _, known := range [][]Entry{nil, {up}, {rosterEntry("w1.example", "10.0.0.1:9000", topazfall.Draining)}} {
			m, v := restartAs(1, Withdrawals{}, up)
			v.apply(m.Merge(2))
			require.ElementsMatch(t, []string{"w1.example", "w2.example"}, v.ready())
			m.UpdateRoster(topazfall.ListPatch, []Entry{{Worker: topazfall.Worker{ID: "w1.example", State: state}}})
			v.apply(m.Merge(3))
			for hop := range int64(4) {
				withdrawn, _ := m.Withdrawals(hop * second)
				require.Len(t, withdrawn.Hosts, 1)
				m, v = restartAs(hop*second+4, withdrawn, known...)
				require.Equal(t, []string{"w2.example"}, v.ready(), "%v, known %v", state, known)
				m.HandleAnswer(hop*second+5, jobs, []Record{newRecord("w2.example", "10.0.0.2")})
				v.apply(m.Merge(hop*second + 5))
				m.HandleAnswer(hop*second+6, jobs,
					[]Record{newRecord("w1.example", "10.0.0.1"), newRecord("w2.example", "10.0.0.2")})
				v.apply(m.Merge(hop*second + 6))
				require.Equal(t, []string{"w2.example"}, v.ready(), "it vanished and returned")
			}
			m.UpdateRoster(topazfall.ListSnapshot, []Entry{up})
			v.apply(m.Merge(9 * second))
			require.ElementsMatch(t, []string{"w1.example", "w2.example"}, v.ready())
			withdrawn, _ := m.Withdrawals(9 * second)
			require.Empty(t, withdrawn.Hosts)
		}
	}
}

// What a predecessor has withdrawn may come late: after the known list, but not after the roster's own word.
func TestWithdrawnComesLate(t *testing.T) {
	up := rosterEntry("w1.example", "10.0.0.1:9000", topazfall.Ready)
	late := Withdrawals{Hosts: []Withdrawn{{Entry: rosterEntry("w1.example", "10.0.0.1:9000", topazfall.Gone)}}}
	m, v := restartAs(1, Withdrawals{}, up)
	m.RestoreWithdrawals(2, late)
	v.apply(m.Merge(2))
	require.Equal(t, []string{"w2.example"}, v.ready())
	m, v = restartAs(1, Withdrawals{}, up)
	m.UpdateRoster(topazfall.ListPatch, []Entry{up})
	m.RestoreWithdrawals(2, late)
	v.apply(m.Merge(2))
	require.ElementsMatch(t, []string{"w1.example", "w2.example"}, v.ready())
}

// A withdrawn host keeps the address by which DNS may still list it, however often its removal is told.
func TestWithdrawnKeepsItsAddress(t *testing.T) {
	m, v := restartAs(1, Withdrawals{}, rosterEntry("s-1", "10.0.0.1:9000", topazfall.Ready))
	removal := []Entry{{Worker: topazfall.Worker{ID: "s-1", State: topazfall.Gone}}}
	for range 2 {
		m.UpdateRoster(topazfall.ListPatch, removal)
		v.apply(m.Merge(2))
		require.Equal(t, []string{"w2.example"}, v.ready())
	}
	withdrawn, version := m.Withdrawals(3)
	m.UpdateRoster(topazfall.ListPatch, removal)
	m.Merge(3)
	require.Equal(t, version, m.WithdrawalsVersion(), "nothing has changed")
	m, v = restartAs(3, withdrawn)
	m.UpdateRoster(topazfall.ListPatch, removal)
	v.apply(m.Merge(4))
	require.Equal(t, []string{"w2.example"}, v.ready())
}

// A withdrawn host is remembered for an hour since DNS last listed it, over processes too, and no longer.
func TestWithdrawnRetention(t *testing.T) {
	const minute = 60 * second
	m, _ := restartAs(1, Withdrawals{}, rosterEntry("w1.example", "10.0.0.1:9000", topazfall.Ready))
	m.UpdateRoster(topazfall.ListPatch, []Entry{rosterEntry("w1.example", "10.0.0.1:9000", topazfall.Gone)})
	now := minute
	for range 5 { // DNS goes on listing it
		m.HandleAnswer(now, jobs, []Record{newRecord("w1.example", "10.0.0.1")})
		m.Merge(now)
		now += 50 * minute
	}
	vanishedAt := now
	m.HandleAnswer(now, jobs, []Record{newRecord("w1.example", "10.0.0.1")})
	m.Merge(now)
	m.HandleAnswer(now, jobs, []Record{newRecord("w2.example", "10.0.0.2")})
	m.Merge(now)
	for ; now <= vanishedAt+60*minute; now += 10 * minute {
		state, _ := m.Withdrawals(now)
		require.Len(t, state.Hosts, 1, "forgotten after %d minutes", (now-vanishedAt)/minute)
		require.Equal(t, now-vanishedAt, state.Hosts[0].IdleFor)
		m = newMerger()
		m.RestoreWithdrawals(now, state)
		m.Merge(now)
	}
	m.Merge(now)
	state, _ := m.Withdrawals(now)
	require.Empty(t, state.Hosts)
}

// The number of withdrawn hosts that are remembered is bounded; the oldest are forgotten first.
func TestWithdrawnBound(t *testing.T) {
	m := newMerger()
	for i := range maxWithdrawn + 5 {
		m.UpdateRoster(topazfall.ListPatch,
			[]Entry{rosterEntry(fmt.Sprintf("s-%05d", i), "10.0.0.1:9000", topazfall.Gone)})
		if i%1000 == 0 || i < 10 {
			m.Merge(int64(i + 1))
		}
	}
	m.Merge(maxWithdrawn + 6)
	state, _ := m.Withdrawals(maxWithdrawn + 6)
	require.Len(t, state.Hosts, maxWithdrawn)
	require.Equal(t, "s-00005", state.Hosts[0].ID)
}

// While it is not known which hosts are withdrawn, none that DNS alone lists is used, here and in later processes.
func TestIncompleteWithdrawals(t *testing.T) {
	state := Withdrawals{Incomplete: true}
	for range 3 {
		m, v := restartAs(1, state, rosterEntry("w2.example", "10.0.0.2:9000", topazfall.Ready))
		require.Equal(t, []string{"w2.example"}, v.ready())
		require.Equal(t, reasonUnreadable, m.Hosts()[0].Reason)
		m.UpdateRoster(topazfall.ListSnapshot, []Entry{rosterEntry("w2.example", "10.0.0.2:9000", topazfall.Ready)})
		v.apply(m.Merge(2))
		require.Equal(t, []string{"w2.example"}, v.ready())
		state, _ = m.Withdrawals(3)
		require.True(t, state.Incomplete)
	}
}
