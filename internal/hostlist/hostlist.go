// Package hostlist brings the merged list of all sources to the dispatch goroutine, as changes in small portions: what
// must get nothing new any more first, and never so many at once that messages would wait for them.
package hostlist

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	"topazfall"
	"topazfall/internal/decide/sources"
	"topazfall/internal/dispatch"
)

// portion is how many entries the dispatch goroutine is given at a time. The module keeps its hosts sorted, and a few
// new ones at the end cost it a pass; with 2,000 hosts 32 of them cost a sort of all, some 1 ms, and 4 some 0.2 ms.
const portion = 4

// Core takes the list.
type Core interface {
	ApplyList(kind topazfall.EventKind, entries []dispatch.Entry)
	Now() int64
	Sync() // returns when what it was told has been dealt with
}

// List is the merged list. It takes the inventory's news in the core's place.
type List struct {
	core Core

	mu     sync.Mutex
	merge  *sources.Merger
	timer  *time.Timer
	closed bool
}

// New returns a list that tells core.
func New(core Core) *List {
	l := &List{core: core, merge: sources.New(sources.Defaults)}
	l.timer = time.AfterFunc(time.Hour, func() { l.do(func(int64) {}) })
	return l
}

// do changes the merge and passes on what comes of it before it returns: a drain is on its way then.
func (l *List) do(change func(now int64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	now := l.core.Now()
	change(now)
	changed := l.merge.Merge(now)
	for len(changed) > 0 {
		n := min(portion, len(changed))
		entries := make([]dispatch.Entry, n)
		for i, e := range changed[:n] {
			entries[i] = dispatch.Entry(e)
		}
		l.core.ApplyList(topazfall.ListPatch, entries)
		l.core.Sync() // what waits has its turn before the next
		changed = changed[n:]
	}
	if next := l.merge.NextChange(now); next > 0 {
		l.timer.Reset(time.Duration(next-now) * time.Microsecond)
	}
}

// ApplyList takes news of the inventory.
func (l *List) ApplyList(kind topazfall.EventKind, entries []dispatch.Entry) {
	if kind == topazfall.ListFailed {
		l.core.ApplyList(kind, nil)
		return
	}
	l.do(func(int64) {
		roster := make([]sources.Entry, len(entries))
		for i, e := range entries {
			roster[i] = sources.Entry(e)
		}
		l.merge.UpdateRoster(kind, roster)
	})
}

// Configure changes the knobs, and the names that are asked for.
func (l *List) Configure(s sources.Settings, names map[string]sources.NameSettings) {
	l.do(func(int64) { l.merge.Configure(s, maps.Clone(names)) })
}

// ApplyAnswer takes a good answer for a name.
func (l *List) ApplyAnswer(name string, records []sources.Record) {
	l.do(func(now int64) { l.merge.HandleAnswer(now, name, records) })
}

// RestoreRecords takes records that were known before a restart.
func (l *List) RestoreRecords(name string, records []sources.Record) {
	l.do(func(now int64) { l.merge.Restore(now, name, records) })
}

// ApplyEmptyAnswer takes an authoritative answer that a name has no hosts.
func (l *List) ApplyEmptyAnswer(name string) {
	l.do(func(now int64) {
		if believed := l.merge.HandleEmptyAnswer(now, name); believed {
			slog.Warn("sources", "name", name, "state", "empty")
		}
	})
}

// RecordFailure notes that no resolver answers for a name.
func (l *List) RecordFailure(name, fault string) {
	l.do(func(int64) { l.merge.HandleFailure(name, fault) })
}

// Now is the core's time.
func (l *List) Now() int64 { return l.core.Now() }

// Hosts returns the merged list, and what is wrong with each name.
func (l *List) Hosts() ([]sources.Host, map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.merge.Hosts(), l.merge.Faults()
}

// KnownRecords returns the records that are listed for a name.
func (l *List) KnownRecords(name string) []sources.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.merge.Records(name)
}

// Close ends it: the core is told nothing more.
func (l *List) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.timer.Stop()
}
