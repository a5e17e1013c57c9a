package configsync

import (
	"context"
	"fmt"
	"sync"
	"time"

	"topazfall/internal/decide/configlog"
)

// enforcer tells the target of the newest document. It does so apart from the goroutine that owns the log: the
// target saves too, and a leader that waits for a slow disk is taken for dead. Documents that are over by then are
// passed over.
type enforcer struct {
	target Target
	counts *counts
	wake   chan struct{} // has one place

	mu      sync.Mutex
	next    *committed // nil for none
	inForce configlog.Revision
	fault   string // why the newest is not in force
}

// committed is a document with its entries, which are not to be changed.
type committed struct {
	revision configlog.Revision
	entries  map[string][]byte
}

func newEnforcer(target Target, c *counts) *enforcer {
	return &enforcer{target: target, counts: c, wake: make(chan struct{}, 1)}
}

// enforce has a document brought into force soon.
func (e *enforcer) enforce(d *configlog.Document) {
	entries := make(map[string][]byte, d.Len())
	for _, key := range d.Keys() {
		entries[key], _ = d.Get(key)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next = &committed{d.Revision(), entries}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run brings documents into force until the context ends. One that cannot be is tried again.
func (e *enforcer) run(ctx context.Context) {
	again := time.NewTicker(againTime)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-again.C:
		}
		e.take()
	}
}

func (e *enforcer) take() {
	e.mu.Lock()
	now := e.next
	e.mu.Unlock()
	if now == nil {
		return
	}
	since, err := e.target.ApplyRevision(now.revision, now.entries)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.fault = fmt.Sprintf("revision %d is held and not in force: %v", now.revision.Number, err)
		e.counts.drop(ReasonSettings, 1, "revision", now.revision.Number, "error", err)
		return
	}
	e.inForce, e.fault = now.revision, ""
	e.counts.revision.Store(now.revision.Number)
	e.counts.since.Store(since.UnixMicro())
	if e.next == now {
		e.next = nil
	}
}

// state is the revision in force, and why a newer one is not, "" if there is none.
func (e *enforcer) state() (inForce configlog.Revision, fault string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inForce, e.fault
}
