package sources

import (
	"cmp"
	"maps"
	"slices"

	"topazfall"
)

// Bounds on the withdrawn hosts that are remembered.
const (
	withdrawnRetention = 3600e6 // microseconds since a host was withdrawn, or last listed by DNS
	maxWithdrawn       = 10_000
)

// Withdrawn is a host that gets no new requests, whatever DNS lists, until the roster lists it as up: the roster has
// removed it, or lists it as draining.
type Withdrawn struct {
	Entry
	Listed  bool  // DNS lists it all the same
	IdleFor int64 // microseconds since it was withdrawn, or last listed by DNS
}

// Withdrawals are all withdrawn hosts, as a successor process or a restarted one needs them.
type Withdrawals struct {
	Hosts []Withdrawn // sorted by ID
	// Incomplete says that others may be missing. Then no host that DNS alone lists gets new requests.
	Incomplete bool
}

// withdrawal is a withdrawn host that is not in the roster.
type withdrawal struct {
	Entry
	listed bool  // by DNS, as of the last merge
	usedAt int64 // when it was withdrawn, or last listed by DNS; 0 until the next merge
}

// withdrawals holds the withdrawn hosts that are not in the roster.
type withdrawals struct {
	hosts       map[string]*withdrawal
	listed      map[string]bool // hosts that DNS lists, found so far by the merge in progress
	cachedIndex *index          // nil if it must be rebuilt
	incomplete  bool
	version     uint64 // rises when what Merger.Withdrawals returns changes, except for IdleFor
}

func newWithdrawals() *withdrawals {
	return &withdrawals{hosts: map[string]*withdrawal{}, listed: map[string]bool{}}
}

func (w *withdrawals) has(id string) bool { return w.hosts[id] != nil }

// add withdraws a host. It keeps the addresses of one that is withdrawn already if e has none.
func (w *withdrawals) add(e Entry) {
	e.State = topazfall.Gone
	usedAt := int64(0)
	if old := w.hosts[e.ID]; old != nil {
		usedAt = old.usedAt
		if !e.hasAddress() {
			e.Addr, e.Addrs = old.Addr, old.Addrs
		}
		if sameEntry(old.Entry, e) {
			return
		}
	}
	w.hosts[e.ID] = &withdrawal{Entry: e, usedAt: usedAt}
	w.changed()
}

func (w *withdrawals) remove(id string) {
	if w.has(id) {
		delete(w.hosts, id)
		w.changed()
	}
}

func (w *withdrawals) changed() {
	w.cachedIndex = nil
	w.version++
}

// index returns the index of the hosts' names and addresses.
func (w *withdrawals) index() index {
	if w.cachedIndex == nil {
		entries := make(map[string]Entry, len(w.hosts))
		for id, host := range w.hosts {
			entries[id] = host.Entry
		}
		x := newIndex(entries)
		w.cachedIndex = &x
	}
	return *w.cachedIndex
}

// markListed records that DNS lists these hosts.
func (w *withdrawals) markListed(now int64, ids []string) {
	for _, id := range ids {
		w.hosts[id].usedAt = now
		w.listed[id] = true
	}
}

// prune ends a merge. It forgets the hosts beyond the bounds, the oldest first.
func (w *withdrawals) prune(now int64) {
	for id, host := range w.hosts {
		if host.listed != w.listed[id] {
			host.listed = w.listed[id]
			w.version++
		}
		if host.usedAt == 0 {
			host.usedAt = now
		} else if host.usedAt < now-withdrawnRetention {
			w.remove(id)
		}
	}
	clear(w.listed)
	if excess := len(w.hosts) - maxWithdrawn; excess > 0 {
		oldest := slices.SortedFunc(maps.Keys(w.hosts),
			func(a, b string) int { return cmp.Compare(w.hosts[a].usedAt, w.hosts[b].usedAt) })
		for _, id := range oldest[:excess] {
			w.remove(id)
		}
	}
}

// Withdrawals returns the withdrawn hosts, and a version that rises whenever they change, except for IdleFor.
func (m *Merger) Withdrawals(now int64) (Withdrawals, uint64) {
	state := Withdrawals{Incomplete: m.withdrawn.incomplete}
	for _, e := range m.roster {
		if e.State != topazfall.Ready {
			state.Hosts = append(state.Hosts, Withdrawn{Entry: e})
		}
	}
	for _, host := range m.withdrawn.hosts {
		w := Withdrawn{Entry: host.Entry, Listed: host.listed}
		if host.usedAt != 0 {
			w.IdleFor = now - host.usedAt
		}
		state.Hosts = append(state.Hosts, w)
	}
	slices.SortFunc(state.Hosts, func(a, b Withdrawn) int { return cmp.Compare(a.ID, b.ID) })
	return state, m.withdrawn.version
}

// WithdrawalsVersion returns the version of what Withdrawals would return.
func (m *Merger) WithdrawalsVersion() uint64 { return m.withdrawn.version }

// RestoreWithdrawals takes the withdrawn hosts of an earlier process. They are withdrawn until the roster lists them,
// whatever a restored list says or has said. Once the roster has been heard, a host that it lists stays as it is.
func (m *Merger) RestoreWithdrawals(now int64, state Withdrawals) {
	if state.Incomplete && !m.withdrawn.incomplete {
		m.withdrawn.incomplete = true
		m.withdrawn.changed()
	}
	for _, host := range state.Hosts {
		current, listed := m.roster[host.ID]
		if m.withdrawn.has(host.ID) || listed && (m.rosterHeard || current.State != topazfall.Ready) {
			continue
		}
		delete(m.roster, host.ID)
		host.State = topazfall.Gone
		m.withdrawn.hosts[host.ID] = &withdrawal{Entry: host.Entry, usedAt: max(now-max(host.IdleFor, 0), 1)}
		m.withdrawn.changed()
	}
}
