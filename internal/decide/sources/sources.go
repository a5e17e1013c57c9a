// Package sources merges what several sources say of the hosts into the one list that the decision module is given: the
// roster, which is the inventory's word, and DNS SRV names. It does no I/O and reads no clock; times are microseconds.
//
// The most cautious word wins. A host that the roster says drains or is gone gets nothing new though DNS lists it, in
// whatever order the news came, until the roster says that it is up. Two entries are the same host if they share an
// address, or if the roster's name of it is the SRV target, with or without its port; the roster's name, place and
// addresses hold then, and DNS adds nothing to them.
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

// Entry is one host of a list.
type Entry struct {
	topazfall.Worker
	Addr  string
	Addrs []addresses.Address
}

// Record is one SRV record with the addresses of its target.
type Record struct {
	Target    string // in lower case, without the last dot
	Port      uint16
	Priority  uint16
	Weight    uint16
	Addresses []addresses.Address
	Expires   int64 // when the least lifetime of its chain ends
}

func (r *Record) key() string { return r.Target + ":" + strconv.Itoa(int(r.Port)) }

// Place says where the hosts are whose target ends so.
type Place struct{ Suffix, Zone, Kind string }

// Settings are the knobs.
type Settings struct {
	Hold          int64 // how long a list is kept beyond its lifetime while its resolvers fail
	DrainEvery    int64 // then its hosts drain one by one, with so much between them
	Confirmations int   // so many authoritative empty answers in a row are believed
	Flaps         int   // a host that vanished so often within FlapWindow
	FlapWindow    int64
	FlapHold      int64 // is taken back only after so long on the list, doubled for each time more
}

// NameSettings is what there is to know of an SRV name beforehand.
type NameSettings struct {
	Zone, Kind string  // of hosts that no place fits
	Places     []Place // the first that fits counts
	WeightUnit int     // the SRV weight that means a share of 1
	WithPort   bool    // hosts are named target:port, else by the target alone
}

// DefaultWeightUnit is the weight that most zones give to an ordinary host.
const DefaultWeightUnit = 100

// Defaults are sound for lifetimes of seconds to minutes.
var Defaults = Settings{Hold: 300e6, DrainEvery: 5e6, Confirmations: 3, Flaps: 3, FlapWindow: 60e6, FlapHold: 5e6}

// Host is what there is to know of a host of the merged list.
type Host struct {
	Entry
	Sources []string // "roster", "srv:NAME"
	Reason  string   // it gets nothing new, "" if it may
	Expires int64    // when the last lifetime ends that it rests on, 0 where it has none
}

// listed is what one name says of one record, and has said of late.
type listed struct {
	Record
	name     string // target:port
	here     bool
	since    int64 // listed without a break
	vanished []int64
	drained  bool
	cold     int64 // when it was first listed, if others had been before
}

// name is one SRV name.
type name struct {
	set      NameSettings
	records  map[string]*listed
	order    []*listed // by name, nil where that has to be found anew
	answered bool
	empties  int
	fault    string
	drains   int64 // when the last host was drained for its lifetime's end
}

// Merger is the state of all sources.
type Merger struct {
	set    Settings
	roster map[string]Entry
	gone   map[string]Entry // of the roster, as last listed
	buried map[string]int64 // when that last mattered: it came, or DNS listed the host all the same
	names  map[string]*name
	out    map[string]Host

	// What a merge builds is used again by the next: garbage of megabytes would cost whoever runs beside it.
	spare map[string]Host
	own   index
	all   []candidate
}

// candidate is a record while it is merged.
type candidate struct {
	l     *listed
	known []string // the roster's hosts that it is
	why   string
}

// New returns an empty merge.
func New(s Settings) *Merger {
	return &Merger{set: s, roster: map[string]Entry{}, gone: map[string]Entry{}, buried: map[string]int64{},
		names: map[string]*name{}, out: map[string]Host{}, spare: map[string]Host{},
		own: index{map[string]string{}, map[addresses.Address]string{}}}
}

// Configure changes the knobs, and the names that are asked for: what others had said is forgotten.
func (m *Merger) Configure(s Settings, names map[string]NameSettings) {
	m.set = s
	maps.DeleteFunc(m.names, func(n string, _ *name) bool { _, asked := names[n]; return !asked })
	for n, set := range names {
		m.name(n).set = set
	}
}

// UpdateRoster takes news of the inventory. A whole list says of all that it leaves out that they are gone; a stale one, as
// known from before a restart, says so of none.
func (m *Merger) UpdateRoster(kind topazfall.EventKind, entries []Entry) {
	if kind == topazfall.ListFailed {
		return
	}
	if kind == topazfall.ListSnapshot {
		old := m.roster
		m.roster = map[string]Entry{}
		for id, e := range old {
			m.gone[id] = e
		}
	}
	for _, e := range entries {
		if e.State == topazfall.Gone {
			if old, ok := m.roster[e.ID]; ok && e.Addr == "" && len(e.Addrs) == 0 {
				e.Addr, e.Addrs = old.Addr, old.Addrs // what it was reached by is what DNS may still list
			}
			m.gone[e.ID] = e
			delete(m.roster, e.ID)
			continue
		}
		m.roster[e.ID] = e
		delete(m.gone, e.ID)
	}
}

func (m *Merger) name(n string) *name {
	s := m.names[n]
	if s == nil {
		s = &name{records: map[string]*listed{}}
		m.names[n] = s
	}
	return s
}

// HandleAnswer takes a good answer for a name. What it leaves out has vanished.
func (m *Merger) HandleAnswer(now int64, of string, records []Record) {
	n := m.name(of)
	first := !n.answered
	n.answered, n.empties, n.fault, n.drains = true, 0, "", 0
	seen := make(map[string]bool, len(records))
	for _, r := range records {
		k := r.key()
		seen[k] = true
		l := n.records[k]
		if l == nil {
			l = &listed{name: k}
			n.order = nil
			if n.records[k] = l; !first {
				l.cold = now // it may have just started, and nobody says
			}
		}
		if !l.here {
			l.here, l.since = true, now
		}
		l.Record, l.drained = r, false
	}
	for k, l := range n.records {
		if l.here && !seen[k] {
			l.vanish(now)
		}
		l.vanished = slices.DeleteFunc(l.vanished, func(at int64) bool { return at < now-m.set.FlapWindow })
		if !l.here && len(l.vanished) == 0 {
			delete(n.records, k)
			n.order = nil
		}
	}
}

// sorted returns the records by name.
func (n *name) sorted() []*listed {
	if n.order == nil {
		n.order = slices.AppendSeq(make([]*listed, 0, len(n.records)), maps.Values(n.records))
		slices.SortFunc(n.order, func(a, b *listed) int { return cmp.Compare(a.name, b.name) })
	}
	return n.order
}

func (l *listed) vanish(now int64) {
	l.here = false
	if l.vanished = append(l.vanished, now); len(l.vanished) > 16 {
		l.vanished = l.vanished[1:]
	}
}

// Restore takes records that were known before a restart: better than none until there is an answer. They are held from now
// on, whenever their lifetime has ended.
func (m *Merger) Restore(now int64, of string, records []Record) {
	n := m.name(of)
	for _, r := range records {
		if n.records[r.key()] == nil {
			r.Expires = max(r.Expires, now)
			n.records[r.key()] = &listed{Record: r, name: r.key(), here: true, since: now}
			n.order = nil
		}
	}
	n.fault = "known from before"
}

// HandleEmptyAnswer takes an authoritative answer that the name has no hosts. It is believed once it has come often enough in a
// row; it tells whether it is.
func (m *Merger) HandleEmptyAnswer(now int64, of string) bool {
	n := m.name(of)
	if n.empties++; n.empties < m.set.Confirmations {
		n.fault = fmt.Sprintf("empty, %d of %d times", n.empties, m.set.Confirmations)
		return false
	}
	n.answered, n.fault = true, ""
	for _, l := range n.records {
		if l.here {
			l.vanish(now)
		}
	}
	return true
}

// HandleFailure notes that no resolver answers for a name: what it last said stays, for as long as it may.
func (m *Merger) HandleFailure(of, fault string) {
	n := m.name(of)
	n.fault, n.empties = fault, 0
}

// flapping tells until when a record is not believed to be back.
func (l *listed) flapping(s *Settings) int64 {
	if len(l.vanished) < s.Flaps || s.Flaps == 0 {
		return 0
	}
	return l.since + s.FlapHold<<min(len(l.vanished)-s.Flaps, 4)
}

// NextChange is when time alone changes the list, or 0.
func (m *Merger) NextChange(now int64) (next int64) {
	sooner := func(at int64) {
		if at > now && (next == 0 || at < next) {
			next = at
		}
	}
	for _, n := range m.names {
		for _, l := range n.records {
			if !l.here {
				continue
			}
			sooner(l.flapping(&m.set))
			if !l.drained {
				sooner(max(l.Expires+m.set.Hold, n.drains+m.set.DrainEvery))
			}
		}
	}
	return next
}

// expire drains, of each name, one host whose list has outlived its lifetime and the hold, if it is time for one.
func (m *Merger) expire(now int64) {
	for _, n := range m.names {
		if n.drains != 0 && now < n.drains+m.set.DrainEvery {
			continue
		}
		var oldest *listed
		for _, l := range n.records {
			if l.here && !l.drained && l.Expires+m.set.Hold <= now && (oldest == nil ||
				cmp.Or(cmp.Compare(l.Expires, oldest.Expires), cmp.Compare(l.name, oldest.name)) < 0) {
				oldest = l
			}
		}
		if oldest != nil {
			oldest.drained, n.drains = true, now
		}
	}
}

// index finds the roster's entries by what an SRV record may share with them.
type index struct {
	byName    map[string]string
	byAddress map[addresses.Address]string
}

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

// find returns all entries that a record may be.
func (x index) find(r *listed) (ids []string) {
	if len(x.byName) == 0 {
		return nil
	}
	for _, n := range []string{r.Target, r.name} {
		if id, ok := x.byName[n]; ok && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	for _, a := range r.Addresses {
		if id, ok := x.byAddress[a]; ok && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// reasons for which a host gets nothing new
const (
	whyDrains   = "the roster says that it drains"
	whyExpired  = "its lifetime and the hold are over"
	whyStandby  = "a lower priority has hosts"
	whyFlapping = "it vanished too often of late"
	whyAddress  = "it has no address"
)

// Merge settles what holds now. It returns the entries that changed since the last call, those first that get nothing
// new any more; what is gone has that state.
func (m *Merger) Merge(now int64) (changed []Entry) {
	m.expire(now)
	out := m.spare
	clear(out)
	for id, e := range m.roster {
		i := Host{Entry: e, Sources: []string{"roster"}}
		if e.State != topazfall.Ready {
			i.Reason = whyDrains
		}
		out[id] = i
	}
	known := indexes{roster: newIndex(m.roster), gone: newIndex(m.gone), own: m.own}
	clear(known.own.byName)
	clear(known.own.byAddress)
	for _, of := range slices.Sorted(maps.Keys(m.names)) {
		n := m.names[of]
		m.add(now, of, n, known, out)
	}
	m.forget(now)
	for id, i := range out { // most are as they were
		if old, had := m.out[id]; !had || !same(old.Entry, i.Entry) {
			changed = append(changed, i.Entry)
		}
	}
	for id, old := range m.out {
		if _, has := out[id]; !has {
			e := old.Entry
			e.State = topazfall.Gone
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.State, a.State), cmp.Compare(a.ID, b.ID))
	})
	m.spare, m.out = m.out, out
	return changed
}

// The roster's word that a host is gone is kept for so long after it last mattered, and of so many hosts.
const (
	goneFor = 3600e6
	goneOf  = 10_000
)

func (m *Merger) forget(now int64) {
	for id := range m.gone {
		at, dated := m.buried[id]
		if !dated {
			m.buried[id] = now
		} else if at < now-goneFor {
			delete(m.gone, id)
		}
	}
	maps.DeleteFunc(m.buried, func(id string, _ int64) bool { _, is := m.gone[id]; return !is })
	if over := len(m.gone) - goneOf; over > 0 {
		oldest := slices.SortedFunc(maps.Keys(m.gone),
			func(a, b string) int { return cmp.Compare(m.buried[a], m.buried[b]) })
		for _, id := range oldest[:over] {
			delete(m.gone, id)
			delete(m.buried, id)
		}
	}
}

// indexes are those of all hosts that a record may be.
type indexes struct {
	roster index // hosts that the roster lists
	gone   index // hosts that the roster has removed
	own    index // hosts that DNS alone names
}

// add adds the hosts of one name.
func (m *Merger) add(now int64, of string, n *name, hosts indexes, out map[string]Host) {
	all := m.all[:0]
	alone := []string{"srv:" + of} // of the hosts that no other source names; never appended to in place
	lowest, positive := -1, false
	for _, l := range n.sorted() {
		if !l.here {
			continue
		}
		c := candidate{l: l, known: hosts.roster.find(l)}
		buried := hosts.gone.find(l)
		for _, id := range buried {
			m.buried[id] = now
		}
		switch {
		case len(buried) > 0:
			continue
		case len(c.known) > 0:
			for _, id := range c.known {
				if m.roster[id].State != topazfall.Ready {
					c.why = whyDrains
				}
			}
		case len(l.Addresses) == 0:
			c.why = whyAddress
		case l.drained:
			c.why = whyExpired
		case l.flapping(&m.set) > now:
			c.why = whyFlapping
		}
		if c.why == "" && (lowest < 0 || int(l.Priority) < lowest) {
			lowest = int(l.Priority)
		}
		positive = positive || l.Weight > 0
		all = append(all, c)
	}
	m.all = all
	for _, c := range all {
		l := c.l
		if len(c.known) > 0 {
			for _, id := range c.known {
				i := out[id]
				i.Sources = append(slices.Clip(i.Sources), alone...)
				i.Expires = max(i.Expires, l.Expires)
				out[id] = i
			}
			continue
		}
		if c.why == "" && int(l.Priority) != lowest {
			c.why = whyStandby
		}
		if c.why == whyFlapping || c.why == whyAddress {
			continue
		}
		id := n.set.id(l, hosts.own)
		i, had := out[id]
		if !had {
			zone, kind := n.set.place(l.Target)
			i = Host{Entry: Entry{Addrs: l.Addresses,
				Worker: topazfall.Worker{ID: id, Zone: zone, Kind: kind, Weight: n.set.weight(l, positive),
					State: topazfall.Draining, StartedAt: l.cold}}, Reason: c.why}
		}
		if c.why == "" { // of several names one that offers it is enough
			i.State, i.Reason = topazfall.Ready, ""
		}
		if had {
			i.Sources = append(slices.Clip(i.Sources), alone...)
		} else {
			i.Sources = alone
		}
		i.Expires = max(i.Expires, l.Expires)
		out[id] = i
	}
}

// id names a host that DNS alone names. One that shares an address with another is that one.
func (s *NameSettings) id(l *listed, own index) string {
	id, known := own.byName[l.name]
	for _, a := range l.Addresses {
		if !known {
			id, known = own.byAddress[a]
		}
	}
	if !known {
		id = l.Target
		if _, other := own.byName[id]; s.WithPort || other { // another port of the same target is another host
			id = l.name
		}
	}
	own.byName[l.name] = id
	if !s.WithPort {
		own.byName[l.Target] = id
	}
	for _, a := range l.Addresses {
		if _, taken := own.byAddress[a]; !taken {
			own.byAddress[a] = id
		}
	}
	return id
}

func (s *NameSettings) place(target string) (zone, kind string) {
	for _, p := range s.Places {
		if strings.HasSuffix(target, p.Suffix) {
			return p.Zone, p.Kind
		}
	}
	return s.Zone, s.Kind
}

// weight is the share of a host. Where all weights are 0 they say nothing (RFC 2782); among others 0 is next to
// nothing.
func (s *NameSettings) weight(l *listed, positive bool) float64 {
	if !positive {
		return 1
	}
	return max(float64(l.Weight), 0.01) / float64(max(s.WeightUnit, 1))
}

func same(a, b Entry) bool {
	return a.Worker == b.Worker && a.Addr == b.Addr && slices.Equal(a.Addrs, b.Addrs)
}

// Hosts returns the merged list, as last settled, by name.
func (m *Merger) Hosts() (list []Host) {
	for _, id := range slices.Sorted(maps.Keys(m.out)) {
		list = append(list, m.out[id])
	}
	return list
}

// Records returns the records of a name that are listed now, for a process that comes after.
func (m *Merger) Records(of string) (records []Record) {
	if n := m.names[of]; n != nil {
		for _, l := range n.sorted() {
			if l.here {
				records = append(records, l.Record)
			}
		}
	}
	return records
}

// Faults returns what is wrong with each name now, "" for nothing.
func (m *Merger) Faults() map[string]string {
	f := map[string]string{}
	for of, n := range m.names {
		f[of] = n.fault
	}
	return f
}
