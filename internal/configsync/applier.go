package configsync

import (
	"context"
	"fmt"
	"sync"
	"time"

	"topazfall/internal/decide/configlog"
)

// applier hands the newest document to the target. It does so outside the goroutine that owns the log: the target
// saves to disk too, and a leader that waits for a slow disk is considered dead. Documents that are superseded
// meanwhile are skipped.
type applier struct {
	target  Target
	metrics *metrics
	wake    chan struct{} // capacity 1

	mu      sync.Mutex
	pending *committedRevision // the newest document that is not applied yet; nil for none
	inForce configlog.Revision
	fault   string // why the newest document is not in effect
}

// committedRevision is a committed document. Its entries must not be modified.
type committedRevision struct {
	revision configlog.Revision
	entries  map[string][]byte
}

func newApplier(target Target, m *metrics) *applier {
	return &applier{target: target, metrics: m, wake: make(chan struct{}, 1)}
}

// schedule makes a document the next one to apply.
func (a *applier) schedule(d *configlog.Document) {
	entries := make(map[string][]byte, d.Len())
	for _, key := range d.Keys() {
		entries[key], _ = d.Get(key)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = &committedRevision{d.Revision(), entries}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run applies scheduled documents until the context ends. It retries one that fails.
func (a *applier) run(ctx context.Context) {
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-retry.C:
		}
		a.applyPending()
	}
}

// applyPending applies the pending document, if there is one.
func (a *applier) applyPending() {
	a.mu.Lock()
	pending := a.pending
	a.mu.Unlock()
	if pending == nil {
		return
	}
	since, err := a.target.ApplyRevision(pending.revision, pending.entries)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.fault = fmt.Sprintf("revision %d is held and not in force: %v", pending.revision.Number, err)
		a.metrics.drop(ReasonNotApplied, 1, "revision", pending.revision.Number, "error", err)
		return
	}
	a.inForce, a.fault = pending.revision, ""
	a.metrics.revision.Store(pending.revision.Number)
	a.metrics.inForceSince.Store(since.UnixMicro())
	if a.pending == pending {
		a.pending = nil
	}
}

// state returns the revision in effect, and why a newer one could not be applied ("" if all could).
func (a *applier) state() (inForce configlog.Revision, fault string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inForce, a.fault
}
