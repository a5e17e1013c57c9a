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
	fault   string // why the newest document is not in force
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
func (e *applier) schedule(d *configlog.Document) {
	entries := make(map[string][]byte, d.Len())
	for _, key := range d.Keys() {
		entries[key], _ = d.Get(key)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending = &committedRevision{d.Revision(), entries}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run applies scheduled documents until the context ends. It retries one that fails.
func (e *applier) run(ctx context.Context) {
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-retry.C:
		}
		e.applyPending()
	}
}

// applyPending applies the pending document, if there is one.
func (e *applier) applyPending() {
	e.mu.Lock()
	pending := e.pending
	e.mu.Unlock()
	if pending == nil {
		return
	}
	since, err := e.target.ApplyRevision(pending.revision, pending.entries)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.fault = fmt.Sprintf("revision %d is held and not in force: %v", pending.revision.Number, err)
		e.metrics.drop(ReasonSettings, 1, "revision", pending.revision.Number, "error", err)
		return
	}
	e.inForce, e.fault = pending.revision, ""
	e.metrics.revision.Store(pending.revision.Number)
	e.metrics.inForceSince.Store(since.UnixMicro())
	if e.pending == pending {
		e.pending = nil
	}
}

// state returns the revision in force, and why a newer one could not be applied ("" if all could).
func (e *applier) state() (inForce configlog.Revision, fault string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inForce, e.fault
}
