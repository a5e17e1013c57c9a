// Package sources merges the host lists of several sources into the one list that the decision module uses. A host is a
// worker as the network code knows it. The sources are the roster, which is the list that discovery gives, and DNS SRV
// names. The package does no I/O and reads no clock; times are in microseconds.
//
// The most cautious source decides. A host that is draining or gone in the roster gets no new requests even if DNS
// lists it, in whatever order the changes came, until the roster lists it as up. Two entries are the same host if they
// share an address, or if the roster's ID of the host is the SRV target, with or without its port. The roster's name,
// place and addresses then apply, and DNS adds nothing to them.
package sources

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"topazfall"
	"topazfall/internal/decide/addresses"
)

// Entry is one host in a list of hosts.
type Entry struct {
	topazfall.Worker
	Addr  string
	Addrs []addresses.Address
}

func (e *Entry) hasAddress() bool { return e.Addr != "" || len(e.Addrs) > 0 }

// Record is one SRV record with the addresses of its target.
type Record struct {
	Target    string // in lower case, without the trailing dot
	Port      uint16
	Priority  uint16
	Weight    uint16
	Addresses []addresses.Address
	Expires   int64 // when the shortest lifetime in its chain of records ends; a lifetime is a TTL within bounds
}

// key identifies the record within its SRV name.
func (r *Record) key() string { return r.Target + ":" + strconv.Itoa(int(r.Port)) }

// Place gives the zone and the kind of hosts whose target ends in Suffix.
type Place struct{ Suffix, Zone, Kind string }

// Settings are the settings of a merge.
type Settings struct {
	Hold          int64 // how long a list is kept after its lifetime has ended while resolvers fail
	DrainEvery    int64 // interval at which its hosts then drain one by one
	Confirmations int   // consecutive authoritative empty answers that are needed to believe them
	Flaps         int   // disappearances within FlapWindow that make a host flapping
	FlapWindow    int64
	FlapHold      int64 // how long a flapping host must be listed before it is used; doubles with each further time
}

// NameSettings are the settings of one SRV name.
type NameSettings struct {
	Zone, Kind string  // of hosts that match no place
	Places     []Place // the first that matches applies
	WeightUnit int     // the SRV weight that stands for a share of 1
	WithPort   bool    // host IDs are target:port instead of the target alone
}

// DefaultWeightUnit is the SRV weight that most DNS zones give to an ordinary host.
const DefaultWeightUnit = 100

// Defaults are settings for lifetimes of seconds to minutes.
var Defaults = Settings{Hold: 300e6, DrainEvery: 5e6, Confirmations: 3, Flaps: 3, FlapWindow: 60e6, FlapHold: 5e6}

// Host is a host in the merged list.
type Host struct {
	Entry
	Sources []string // "roster", "srv:NAME"
	Reason  string   // why it gets no new requests, "" if it may get them
	Expires int64    // when the last lifetime of its records ends, 0 if it has none
}

// recordState is the state of one record of an SRV name, and its recent history.
type recordState struct {
	Record
	name         string // target:port
	present      bool
	presentSince int64 // since when it has been listed without a break
	vanishedAt   []int64
	drained      bool
	addedAt      int64 // when it was first listed, 0 if it was known from the start
}

// nameState is the state of one SRV name.
type nameState struct {
	settings     NameSettings
	records      map[string]*recordState
	sortedCache  []*recordState // records by name, nil if it must be rebuilt
	answered     bool
	emptyAnswers int
	fault        string
	lastDrain    int64 // when a host was last drained because its lifetime had ended
}

// Merger holds the state of all sources and merges them.
type Merger struct {
	settings    Settings
	roster      map[string]Entry
	rosterHeard bool // the roster has come from discovery, and not only from before a restart
	withdrawn   *withdrawals
	names       map[string]*nameState
	merged      map[string]Host

	// Buffers that each merge reuses: megabytes of garbage would slow down everything else that is running.
	spare      map[string]Host
	dnsIndex   index
	candidates []candidate
}

// candidate is a record during a merge.
type candidate struct {
	record    *recordState
	rosterIDs []string // hosts in the roster that the record stands for
	reason    string   // why it gets no new requests, "" if it may get them
}

// New returns a merger without hosts.
func New(s Settings) *Merger {
	return &Merger{settings: s, roster: map[string]Entry{}, withdrawn: newWithdrawals(),
		names: map[string]*nameState{}, merged: map[string]Host{}, spare: map[string]Host{},
		dnsIndex: index{map[string]string{}, map[addresses.Address]string{}}}
}

// Configure changes the settings and the SRV names that are looked up. The records of other names are dropped.
func (m *Merger) Configure(s Settings, names map[string]NameSettings) {
	m.settings = s
	maps.DeleteFunc(m.names, func(n string, _ *nameState) bool { _, asked := names[n]; return !asked })
	for n, set := range names {
		m.nameState(n).settings = set
	}
}

// UpdateRoster applies a list or changes from discovery. A host that a snapshot leaves out is gone. A restored list, as
// known from before a restart, removes no host, and does not make a withdrawn one ready again.
func (m *Merger) UpdateRoster(kind topazfall.EventKind, entries []Entry) {
	if kind == topazfall.ListFailed {
		return
	}
	m.rosterHeard = m.rosterHeard || kind != topazfall.ListRestored
	if kind == topazfall.ListSnapshot {
		m.withdrawUnlisted(entries)
	}
	for _, e := range entries {
		switch {
		case e.State == topazfall.Gone:
			if old, ok := m.roster[e.ID]; ok && !e.hasAddress() {
				e.Addr, e.Addrs = old.Addr, old.Addrs // DNS may still list the addresses by which it was reached
			}
			m.withdraw(e)
		case kind == topazfall.ListRestored && e.State == topazfall.Ready && m.withdrawn.has(e.ID):
		default:
			m.list(e)
		}
	}
}

// withdrawUnlisted withdraws the hosts of the roster that a snapshot leaves out.
func (m *Merger) withdrawUnlisted(snapshot []Entry) {
	listed := make(map[string]bool, len(snapshot))
	for _, e := range snapshot {
		listed[e.ID] = true
	}
	for id, e := range m.roster {
		if !listed[id] {
			m.withdraw(e)
		}
	}
}

// withdraw takes a host from the roster.
func (m *Merger) withdraw(e Entry) {
	delete(m.roster, e.ID)
	m.withdrawn.add(e)
}

// list adds or changes a host of the roster.
func (m *Merger) list(e Entry) {
	if old, listed := m.roster[e.ID]; (listed && old.State != topazfall.Ready) != (e.State != topazfall.Ready) {
		m.withdrawn.version++
	}
	m.withdrawn.remove(e.ID)
	m.roster[e.ID] = e
}

// nameState returns the state of an SRV name, which it creates if there is none.
func (m *Merger) nameState(srvName string) *nameState {
	state := m.names[srvName]
	if state == nil {
		state = &nameState{records: map[string]*recordState{}}
		m.names[srvName] = state
	}
	return state
}

// HandleAnswer applies a valid answer for an SRV name. Records that it leaves out have vanished.
func (m *Merger) HandleAnswer(now int64, srvName string, records []Record) {
	n := m.nameState(srvName)
	first := !n.answered
	n.answered, n.emptyAnswers, n.fault, n.lastDrain = true, 0, "", 0
	seen := make(map[string]bool, len(records))
	for _, r := range records {
		key := r.key()
		seen[key] = true
		record := n.records[key]
		if record == nil {
			record = &recordState{name: key}
			n.sortedCache = nil
			if n.records[key] = record; !first {
				record.addedAt = now // the host may have just started; DNS does not tell
			}
		}
		if !record.present {
			record.present, record.presentSince = true, now
		}
		record.Record, record.drained = r, false
	}
	for key, record := range n.records {
		if record.present && !seen[key] {
			record.markVanished(now)
		}
		record.vanishedAt = slices.DeleteFunc(record.vanishedAt,
			func(at int64) bool { return at < now-m.settings.FlapWindow })
		if !record.present && len(record.vanishedAt) == 0 {
			delete(n.records, key)
			n.sortedCache = nil
		}
	}
}

// sorted returns the records sorted by name.
func (n *nameState) sorted() []*recordState {
	if n.sortedCache == nil {
		n.sortedCache = slices.AppendSeq(make([]*recordState, 0, len(n.records)), maps.Values(n.records))
		slices.SortFunc(n.sortedCache, func(a, b *recordState) int { return cmp.Compare(a.name, b.name) })
	}
	return n.sortedCache
}

// markVanished records that the record is no longer listed. It keeps the last 16 times, as many as Flaps may be.
func (r *recordState) markVanished(now int64) {
	r.present = false
	if r.vanishedAt = append(r.vanishedAt, now); len(r.vanishedAt) > 16 {
		r.vanishedAt = r.vanishedAt[1:]
	}
}

// Restore takes records that were known before a restart, to be used until there is an answer. The hold of those whose
// lifetime has already ended begins now.
func (m *Merger) Restore(now int64, srvName string, records []Record) {
	n := m.nameState(srvName)
	for _, r := range records {
		if n.records[r.key()] == nil {
			r.Expires = max(r.Expires, now)
			n.records[r.key()] = &recordState{Record: r, name: r.key(), present: true, presentSince: now}
			n.sortedCache = nil
		}
	}
	n.fault = "known from before"
}

// HandleEmptyAnswer applies an authoritative answer that an SRV name has no hosts. It is believed after enough
// consecutive empty answers; the result reports whether it is.
func (m *Merger) HandleEmptyAnswer(now int64, srvName string) bool {
	n := m.nameState(srvName)
	if n.emptyAnswers++; n.emptyAnswers < m.settings.Confirmations {
		n.fault = fmt.Sprintf("empty, %d of %d times", n.emptyAnswers, m.settings.Confirmations)
		return false
	}
	n.answered, n.fault = true, ""
	for _, record := range n.records {
		if record.present {
			record.markVanished(now)
		}
	}
	return true
}

// HandleFailure records that no resolver answers for an SRV name. Its records stay until their lifetime and the hold
// have ended.
func (m *Merger) HandleFailure(srvName, fault string) {
	n := m.nameState(srvName)
	n.fault, n.emptyAnswers = fault, 0
}

// flapHoldEnd returns until when a flapping record is not used, or 0 if it is not flapping. The hold doubles at most
// four times.
func (r *recordState) flapHoldEnd(s *Settings) int64 {
	if len(r.vanishedAt) < s.Flaps || s.Flaps == 0 {
		return 0
	}
	return r.presentSince + s.FlapHold<<min(len(r.vanishedAt)-s.Flaps, 4)
}

// NextChange returns the next time at which the merged list changes without a change of any source, or 0 if there is
// none.
func (m *Merger) NextChange(now int64) (next int64) {
	consider := func(at int64) {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	for _, n := range m.names {
		for _, record := range n.records {
			if !record.present {
				continue
			}
			consider(record.flapHoldEnd(&m.settings))
			if !record.drained {
				consider(max(record.Expires+m.settings.Hold, n.lastDrain+m.settings.DrainEvery))
			}
		}
	}
	return next
}

// drainExpired drains, for each SRV name, at most one host whose lifetime and hold have ended, once per DrainEvery.
func (m *Merger) drainExpired(now int64) {
	for _, n := range m.names {
		if n.lastDrain != 0 && now < n.lastDrain+m.settings.DrainEvery {
			continue
		}
		var oldest *recordState
		for _, record := range n.records {
			if record.present && !record.drained && record.Expires+m.settings.Hold <= now && (oldest == nil ||
				cmp.Or(cmp.Compare(record.Expires, oldest.Expires), cmp.Compare(record.name, oldest.name)) < 0) {
				oldest = record
			}
		}
		if oldest != nil {
			oldest.drained, n.lastDrain = true, now
		}
	}
}

// index finds the IDs of hosts by what an SRV record may share with them.
type index struct {
	byName    map[string]string
	byAddress map[addresses.Address]string
}

// newIndex indexes entries of the roster.
func newIndex(entries map[string]Entry) index {
	x := index{map[string]string{}, map[addresses.Address]string{}}
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		e := entries[id]
		x.byName[strings.ToLower(strings.TrimSuffix(id, "."))] = id
		list := e.Addrs
		if len(list) == 0 {
			if a, err := addresses.Parse(e.Addr); err == nil {
				list = []addresses.Address{a}
			}
		}
		for _, a := range list {
			if _, taken := x.byAddress[a]; !taken {
				x.byAddress[a] = id
			}
		}
	}
	return x
}

// find returns the IDs of all hosts that a record may stand for.
func (x index) find(record *recordState) (ids []string) {
	if len(x.byName) == 0 {
		return nil
	}
	for _, n := range []string{record.Target, record.name} {
		if id, ok := x.byName[n]; ok && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	for _, a := range record.Addresses {
		if id, ok := x.byAddress[a]; ok && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Reasons why a host gets no new requests. Operators see them.
const (
	reasonDraining  = "the roster says that it drains"
	reasonExpired   = "its lifetime and the hold are over"
	reasonStandby   = "a lower priority has hosts"
	reasonFlapping  = "it vanished too often of late"
	reasonNoAddress = "it has no address"

	reasonUnreadable = "which hosts the roster has removed could not be read"
)

// Merge computes the merged list as of now. It returns the entries that changed since the last call, first those that
// get no new requests any more; hosts that are gone have that state.
func (m *Merger) Merge(now int64) (changed []Entry) {
	m.drainExpired(now)
	out := m.spare
	clear(out)
	for id, e := range m.roster {
		host := Host{Entry: e, Sources: []string{"roster"}}
		if e.State != topazfall.Ready {
			host.Reason = reasonDraining
		}
		out[id] = host
	}
	hosts := indexes{roster: newIndex(m.roster), withdrawn: m.withdrawn.index(), dnsOnly: m.dnsIndex}
	clear(hosts.dnsOnly.byName)
	clear(hosts.dnsOnly.byAddress)
	for _, srvName := range slices.Sorted(maps.Keys(m.names)) {
		n := m.names[srvName]
		m.mergeName(now, srvName, n, hosts, out)
	}
	m.withdrawn.prune(now)
	for id, host := range out { // most are unchanged
		if old, had := m.merged[id]; !had || !sameEntry(old.Entry, host.Entry) {
			changed = append(changed, host.Entry)
		}
	}
	for id, old := range m.merged {
		if _, kept := out[id]; !kept {
			e := old.Entry
			e.State = topazfall.Gone
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.State, a.State), cmp.Compare(a.ID, b.ID))
	})
	m.spare, m.merged = m.merged, out
	return changed
}

// indexes find the hosts that a record may stand for.
type indexes struct {
	roster    index // hosts in the roster
	withdrawn index // hosts that get no new requests until the roster lists them as up
	dnsOnly   index // hosts that DNS alone names
}

// mergeName adds the hosts of one SRV name to out.
func (m *Merger) mergeName(now int64, srvName string, n *nameState, hosts indexes, out map[string]Host) {
	candidates := m.candidates[:0]
	srvSource := []string{"srv:" + srvName} // shared by hosts that no other source lists; never appended to in place
	lowest, anyWeight := -1, false
	for _, record := range n.sorted() {
		if !record.present {
			continue
		}
		c := candidate{record: record, rosterIDs: hosts.roster.find(record)}
		withdrawn := hosts.withdrawn.find(record)
		m.withdrawn.markListed(now, withdrawn)
		switch {
		case len(withdrawn) > 0:
			continue
		case len(c.rosterIDs) > 0:
			for _, id := range c.rosterIDs {
				if m.roster[id].State != topazfall.Ready {
					c.reason = reasonDraining
				}
			}
		case m.withdrawn.incomplete:
			c.reason = reasonUnreadable
		case len(record.Addresses) == 0:
			c.reason = reasonNoAddress
		case record.drained:
			c.reason = reasonExpired
		case record.flapHoldEnd(&m.settings) > now:
			c.reason = reasonFlapping
		}
		if c.reason == "" && (lowest < 0 || int(record.Priority) < lowest) {
			lowest = int(record.Priority)
		}
		anyWeight = anyWeight || record.Weight > 0
		candidates = append(candidates, c)
	}
	m.candidates = candidates
	for _, c := range candidates {
		record := c.record
		if len(c.rosterIDs) > 0 {
			for _, id := range c.rosterIDs {
				host := out[id]
				host.Sources = append(slices.Clip(host.Sources), srvSource...)
				host.Expires = max(host.Expires, record.Expires)
				out[id] = host
			}
			continue
		}
		if c.reason == "" && int(record.Priority) != lowest {
			c.reason = reasonStandby
		}
		if c.reason == reasonFlapping || c.reason == reasonNoAddress {
			continue
		}
		id := n.settings.hostID(record, hosts.dnsOnly)
		host, had := out[id]
		if !had {
			zone, kind := n.settings.place(record.Target)
			host = Host{Entry: Entry{Addrs: record.Addresses,
				Worker: topazfall.Worker{ID: id, Zone: zone, Kind: kind, Weight: n.settings.weight(record, anyWeight),
					State: topazfall.Draining, StartedAt: record.addedAt}}, Reason: c.reason}
		}
		if c.reason == "" { // one of several SRV names that offers the host is enough
			host.State, host.Reason = topazfall.Ready, ""
		}
		if had {
			host.Sources = append(slices.Clip(host.Sources), srvSource...)
		} else {
			host.Sources = srvSource
		}
		host.Expires = max(host.Expires, record.Expires)
		out[id] = host
	}
}

// hostID returns the ID of a host that only DNS lists. A record that shares an address with another is the same host.
func (s *NameSettings) hostID(record *recordState, dnsOnly index) string {
	id, known := dnsOnly.byName[record.name]
	for _, a := range record.Addresses {
		if !known {
			id, known = dnsOnly.byAddress[a]
		}
	}
	if !known {
		id = record.Target
		if _, other := dnsOnly.byName[id]; s.WithPort || other { // another port of the same target is another host
			id = record.name
		}
	}
	dnsOnly.byName[record.name] = id
	if !s.WithPort {
		dnsOnly.byName[record.Target] = id
	}
	for _, a := range record.Addresses {
		if _, taken := dnsOnly.byAddress[a]; !taken {
			dnsOnly.byAddress[a] = id
		}
	}
	return id
}

// place returns the zone and the kind of a target.
func (s *NameSettings) place(target string) (zone, kind string) {
	for _, p := range s.Places {
		if strings.HasSuffix(target, p.Suffix) {
			return p.Zone, p.Kind
		}
	}
	return s.Zone, s.Kind
}

// weight returns the share of a host. If all weights are 0 they carry no information (RFC 2782); among other weights 0
// stands for a tiny share.
func (s *NameSettings) weight(record *recordState, anyWeight bool) float64 {
	if !anyWeight {
		return 1
	}
	return max(float64(record.Weight), 0.01) / float64(max(s.WeightUnit, 1))
}

func sameEntry(a, b Entry) bool {
	return a.Worker == b.Worker && a.Addr == b.Addr && slices.Equal(a.Addrs, b.Addrs)
}

// Hosts returns the list of the last merge, sorted by ID.
func (m *Merger) Hosts() (list []Host) {
	for _, id := range slices.Sorted(maps.Keys(m.merged)) {
		list = append(list, m.merged[id])
	}
	return list
}

// Records returns the records of an SRV name that are listed now, for a successor process.
func (m *Merger) Records(srvName string) (records []Record) {
	if n := m.names[srvName]; n != nil {
		for _, record := range n.sorted() {
			if record.present {
				records = append(records, record.Record)
			}
		}
	}
	return records
}

// Faults returns the fault of each SRV name, "" if it has none.
func (m *Merger) Faults() map[string]string {
	f := map[string]string{}
	for srvName, n := range m.names {
		f[srvName] = n.fault
	}
	return f
}
