// Package hostlist passes the merged list of workers from all sources to the dispatch goroutine, as changes in small
// batches. Workers that must get no new messages (requests) come first, and batches are so small that messages do not
// wait for them noticeably.
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

// maxBatchEntries is the number of entries passed to the dispatch goroutine at a time. The decision module appends new
// workers to its list and sorts it. With a few new ones at the end, sorting takes one pass: with 2,000 workers, a batch
// of 4 costs about 0.2 ms, while a batch of 32 causes a full sort of about 1 ms.
const maxBatchEntries = 4

// Core receives the list. It is the dispatch goroutine.
type Core interface {
	ApplyList(kind topazfall.EventKind, entries []dispatch.Entry)
	Now() int64 // microseconds
	Sync()      // returns when everything passed before has been processed
}

// List is the merged list. Discovery delivers its list here, and not to the core directly.
type List struct {
	core Core

	mu     sync.Mutex
	merger *sources.Merger
	timer  *time.Timer
	closed bool
}

// New returns a list that passes its changes to core.
func New(core Core) *List {
	l := &List{core: core, merger: sources.New(sources.Defaults)}
	l.timer = time.AfterFunc(time.Hour, func() { l.update(func(int64) {}) })
	return l
}

// update applies a change to the merge and passes the resulting changes to the core before it returns, so that a drain
// takes effect without delay.
func (l *List) update(change func(now int64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	now := l.core.Now()
	change(now)
	changed := l.merger.Merge(now)
	for len(changed) > 0 {
		n := min(maxBatchEntries, len(changed))
		entries := make([]dispatch.Entry, n)
		for i, e := range changed[:n] {
			entries[i] = dispatch.Entry(e)
		}
		l.core.ApplyList(topazfall.ListPatch, entries)
		l.core.Sync() // waiting messages are processed before the next batch
		changed = changed[n:]
	}
	if next := l.merger.NextChange(now); next > 0 {
		l.timer.Reset(time.Duration(next-now) * time.Microsecond)
	}
}

// ApplyList applies a list or changes from discovery, or informs the core that discovery has failed.
func (l *List) ApplyList(kind topazfall.EventKind, entries []dispatch.Entry) {
	if kind == topazfall.ListFailed {
		l.core.ApplyList(kind, nil)
		return
	}
	l.update(func(int64) {
		roster := make([]sources.Entry, len(entries))
		for i, e := range entries {
			roster[i] = sources.Entry(e)
		}
		l.merger.UpdateRoster(kind, roster)
	})
}

// Configure changes the settings of the merge and the set of SRV names.
func (l *List) Configure(s sources.Settings, names map[string]sources.NameSettings) {
	l.update(func(int64) { l.merger.Configure(s, maps.Clone(names)) })
}

// ApplyAnswer applies the records of a valid answer for a name.
func (l *List) ApplyAnswer(name string, records []sources.Record) {
	l.update(func(now int64) { l.merger.HandleAnswer(now, name, records) })
}

// RestoreRecords restores the records of a name that were known before a restart.
func (l *List) RestoreRecords(name string, records []sources.Record) {
	l.update(func(now int64) { l.merger.Restore(now, name, records) })
}

// ApplyEmptyAnswer applies an authoritative answer that a name has no hosts. The merge accepts it only after a number
// of such answers in a row.
func (l *List) ApplyEmptyAnswer(name string) {
	l.update(func(now int64) {
		if accepted := l.merger.HandleEmptyAnswer(now, name); accepted {
			slog.Warn("sources", "name", name, "state", "empty")
		}
	})
}

// RecordFailure records that no resolver answers for a name.
func (l *List) RecordFailure(name, fault string) {
	l.update(func(int64) { l.merger.HandleFailure(name, fault) })
}

// Now returns the core's time in microseconds.
func (l *List) Now() int64 { return l.core.Now() }

// Hosts returns the merged list, and the fault of each name that has one.
func (l *List) Hosts() ([]sources.Host, map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.merger.Hosts(), l.merger.Faults()
}

// KnownRecords returns the records that are listed for a name.
func (l *List) KnownRecords(name string) []sources.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.merger.Records(name)
}

// Withdrawals returns the hosts that get no new requests until the roster lists them as up, and a version that rises
// whenever they change.
func (l *List) Withdrawals() (sources.Withdrawals, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.merger.Withdrawals(l.core.Now())
}

// WithdrawalsVersion returns the present version of the withdrawn hosts.
func (l *List) WithdrawalsVersion() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.merger.WithdrawalsVersion()
}

// RestoreWithdrawals takes the withdrawn hosts of an earlier process.
func (l *List) RestoreWithdrawals(state sources.Withdrawals) {
	l.update(func(now int64) { l.merger.RestoreWithdrawals(now, state) })
}

// Close stops the list. The core receives nothing more from it.
func (l *List) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.timer.Stop()
}
