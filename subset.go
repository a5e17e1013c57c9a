package topazfall

import (
	"math"
	"slices"

	"topazfall/internal/decide/gossip"
)

// The buddy set: the subset of workers that a dispatcher uses first.

const (
	// redundancy is the minimum number of dispatchers that share a worker, and the number of preferred
	// workers of a key.
	redundancy = 3
	// minBuddies is the minimum size of the buddy set. Two jobs a second keep the load reports of that
	// many buddies fresh.
	minBuddies = 6
	// maxOwnShare is the share of the slots of the buddies that this dispatcher's jobs may take before it takes
	// further buddies: the other dispatchers need the rest.
	maxOwnShare = 0.25
)

// rebuildBuddies chooses the buddies: a range of the common order that begins at this dispatcher's own place,
// so that every worker is a buddy of about as many dispatchers. Ejected and draining workers are passed over.
//
// A dispatcher with much more than the mean of the traffic takes further buddies behind that range. They do not count
// in subsetSpan, from which it is worked out how many dispatchers share a worker.
func (b *Balancer) rebuildBuddies() {
	size := b.subsetSize()
	sizeWithExtra := max(size, b.sizeForOwnJobs())
	start := gossip.SubsetStart(b.settings.Me, b.settings.Dispatchers, len(b.ranked))
	hasKind := map[string]bool{}
	clear(b.buddies)
	clear(b.nonBuddies)
	b.buddies, b.nonBuddies, b.subsetSpan = b.buddies[:0], b.nonBuddies[:0], 0
	for i := range b.ranked {
		w := b.ranked[(start+i)%len(b.ranked)]
		// A worker that gets no jobs cannot clear its errors by serving one, so they expire.
		if b.now-w.lastFaultAt > faultMemory*b.probeInterval() {
			w.consecutiveErrors, w.ejections = 0, 0
		}
		isUsable := w.State == Ready && b.now >= w.ejectedUntil
		// Beyond its size the set still takes the first worker of each kind.
		isInRange := isUsable && (len(b.buddies) < size || !hasKind[w.Kind])
		if isInRange {
			hasKind[w.Kind], b.subsetSpan = true, i+1
		}
		if isInRange || isUsable && len(b.buddies) < sizeWithExtra {
			b.buddies = append(b.buddies, w)
		} else {
			b.nonBuddies = append(b.nonBuddies, w)
		}
	}
	// Among equal workers the zone decides. With few dispatchers all share every worker, and only the
	// different starting places keep them apart, so the order stays.
	if b.settings.Dispatchers > redundancy {
		slices.SortStableFunc(b.buddies, b.compareZones)
	}
	b.coldNonBuddies = slices.DeleteFunc(slices.Clone(b.nonBuddies),
		func(w *worker) bool { return !b.isCold(w) })
}

// subsetSize returns the number of buddies of a dispatcher with the mean of the traffic.
func (b *Balancer) subsetSize() int {
	size := max(minBuddies, (redundancy*len(b.ranked)+b.settings.Dispatchers-1)/b.settings.Dispatchers)
	if b.settings.LiveWeights { // the list keeps the load of more buddies fresh than own jobs can
		size = max(size, 2*minBuddies)
	}
	return size
}

// sizeForOwnJobs returns the number of workers of which this dispatcher's outstanding attempts take maxOwnShare of the
// slots.
func (b *Balancer) sizeForOwnJobs() int {
	jobs, slots := 0, 0.0
	for _, w := range b.ranked {
		jobs += len(w.ownAttempts)
		slots += w.kind.slots
	}
	if jobs == 0 {
		return 0
	}
	return int(math.Ceil(float64(jobs) / maxOwnShare * float64(len(b.ranked)) / slots))
}
