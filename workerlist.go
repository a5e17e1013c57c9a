package topazfall

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"topazfall/internal/decide/gossip"
)

// The list of workers, and how long a worker that has left it is remembered.

// maxKinds is the number of kinds of workers beyond which those that no worker has any more are forgotten. What was
// learned of a kind outlasts a restart of all its workers.
const maxKinds = 256

// handleList processes a change, a snapshot or a failure of the worker list.
func (b *Balancer) handleList(e *Event) {
	b.listFailed = e.Kind == ListFailed // the known list stays in use; runPeriodicTasks asks for it again
	if e.Kind == ListSnapshot || e.Kind == ListRestored {
		for _, w := range b.ranked {
			w.listed = false
		}
		b.gone = append(b.gone, b.ranked...) // unless they are listed again below
		clear(b.ranked)                      // what lies beyond the new end must not keep them
		b.ranked = b.ranked[:0]
	}
	for i := range e.List {
		if l := &e.List[i]; l.State != Gone || b.workers[l.ID] != nil {
			b.updateWorker(l)
		}
	}
	b.gone = slices.DeleteFunc(b.gone, func(w *worker) bool { return w.listed })
	b.ranked = slices.DeleteFunc(b.ranked, func(w *worker) bool {
		if !w.listed {
			b.gone = append(b.gone, w)
		}
		return !w.listed
	})
	slices.SortFunc(b.ranked, func(v, w *worker) int { return strings.Compare(v.rank, w.rank) })
	b.ranked = slices.Compact(b.ranked) // of a list that removes a worker and names it again
	b.rebuildBuddies()
	if e.Kind == ListRestored && b.settings.ListOnRequest {
		b.emit(Action{Kind: WatchList})
	}
}

// updateWorker adds a worker or updates it from its entry in the list.
func (b *Balancer) updateWorker(l *Worker) {
	w := b.workers[l.ID]
	switch {
	case w == nil:
		w = &worker{queued: -1, rank: b.rankOf(l), hostHash: gossip.HostHash(l.ID)}
		w.setKind(b.kindOf(l.Kind))
		b.workers[l.ID] = w
	case l.State == Gone: // nothing else is told of it
		w.State, w.listed = Gone, false
		return
	case l.Kind != w.Kind:
		w.setKind(b.kindOf(l.Kind))
	}
	if l.Cell != w.Cell {
		w.rank = b.rankOf(l)
	}
	if l.StartedAt > w.StartedAt { // it has restarted: its earlier errors and backlog no longer count
		w.consecutiveErrors, w.queued, w.evidenceAt = 0, -1, max(w.evidenceAt, min(l.StartedAt, b.now))
		w.markAlive()
	}
	w.Worker = *l
	if !w.listed && l.State != Gone {
		b.ranked = append(b.ranked, w)
	}
	w.listed = l.State != Gone
	// A live weight is a load report of each worker, also for a dispatcher whose jobs bring too few reports.
	if b.settings.LiveWeights && w.listed {
		b.recordLoad(w, Load{Queue: -1, Inflight: w.observeWeight(l.Weight), Free: -1})
	}
}

// setKind makes a worker one of a kind, with what was learned of that kind.
func (w *worker) setKind(k *workerKind) {
	w.kind, w.pace, w.table = k, k.pace, table{probability: k.probability, tails: k.tails}
}

// knownWorker returns a worker that another balancer knows. It is added as one that has left the list if it is not
// known here.
func (b *Balancer) knownWorker(id string) *worker {
	if b.workers[id] == nil {
		b.updateWorker(&Worker{ID: id, State: Gone})
		b.gone = append(b.gone, b.workers[id])
	}
	return b.workers[id]
}

// rankOf returns the key by which workers are sorted alike at every dispatcher. It is a hash, preceded by the
// cell where keyed repeats must stay in their cell, so that the workers of a cell are in the same buddy sets.
// Zones are mixed, because the number of dispatchers in each is not known.
func (b *Balancer) rankOf(l *Worker) string {
	h, cell := fnv.New64a(), ""
	for _, c := range b.settings.Classes {
		if c.Repeat == Keyed && c.Group == GroupCell {
			cell = fmt.Sprint(l.Cell)
		}
	}
	h.Write([]byte(l.ID))
	return fmt.Sprintf("%s %x %s", cell, h.Sum(nil), l.ID)
}

// forgetGoneWorkers drops the workers that have left the list, with what was learned of them, unless they are needed.
// A worker that returns later starts as a new one.
func (b *Balancer) forgetGoneWorkers() {
	if len(b.gone) == 0 {
		return
	}
	tried := map[*worker]bool{}
	for _, r := range b.requests {
		for _, a := range r.attempts {
			tried[a.worker] = true
		}
	}
	b.gone = slices.DeleteFunc(b.gone, func(w *worker) bool {
		isNeeded := tried[w] || b.outlastsAbsence(w)
		if !isNeeded {
			delete(b.workers, w.ID)
		}
		return !isNeeded
	})
	b.forgetUnusedKinds()
}

// outlastsAbsence reports whether a rule depends on what is known of a worker, should it return to the list now: it
// is ejected, or the work that it was sent counts towards its budget while it is cold.
func (b *Balancer) outlastsAbsence(w *worker) bool {
	sent, _ := w.sentWork.Since(b.now - b.settings.Contract.FallTime)
	return sent > 0 || b.now < w.ejectedUntil
}

// forgetUnusedKinds drops the kinds that no worker has, if there are more than maxKinds in all.
func (b *Balancer) forgetUnusedKinds() {
	if len(b.kinds) <= maxKinds {
		return
	}
	used := map[*workerKind]bool{}
	for _, w := range b.workers {
		used[w.kind] = true
	}
	maps.DeleteFunc(b.kinds, func(_ string, k *workerKind) bool { return !used[k] })
}
