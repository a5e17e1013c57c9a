package topazfall

import (
	"math"
	"slices"
)

// The choice of a worker for a request.

// chooseWorker returns the worker with the minimum risk among the first candidates that may take the job. If none of
// them may (tried, ejected, outside its group), any listed worker may. The last resort is a worker that was tried and
// to which the connection was lost.
func (b *Balancer) chooseWorker(r *request) *worker {
	untried := func(w *worker) bool { return !r.hasTried(w) }
	if w := b.leastRisk(r, b.firstCandidates(r), untried); w != nil {
		return w
	}
	if w := b.leastRisk(r, b.nonBuddies, untried); w != nil {
		return w
	}
	return b.leastRisk(r, r.workersWithLostConnection(), func(*worker) bool { return true })
}

// leastRisk returns the worker with the minimum risk among the candidates that may take the job and are eligible; ties
// go to the earlier one. It returns nil if there is none.
func (b *Balancer) leastRisk(r *request, candidates []*worker, isEligible func(*worker) bool) (best *worker) {
	minRisk := math.MaxInt
	for _, w := range candidates {
		if b.now < w.ejectedUntil || !b.maySend(r, w) || !isEligible(w) {
			continue
		}
		// A fifth of the running time is added to the risk: it varies more than hints show, and a slow
		// worker may finish a long job late even if it starts it at once.
		if risk := int((b.risk(r, w) + b.relativeTime(r, r.hint*w.pace)/5) * riskSteps); risk < minRisk {
			best, minRisk = w, risk
		}
	}
	return best
}

// risk returns the expected loss of sending a request to a worker. It is the sum of the probability that the
// backlog exceeds the slack, after the running and fetch times, before the aim and, for the worth of a late
// answer, before the deadline; of the expected wait relative to the time allowed, without which jobs pile up
// on the first of the list where all would be late; and of the penalty for another zone.
func (b *Balancer) risk(r *request, w *worker) float64 {
	region, runTime, lateWorth := b.currentRegion(w), r.hint*w.pace+b.fetchTime(r, w), r.class.LateWorth
	risk := (1-lateWorth)*b.tailProbability(w, region, float64(r.aim-b.now)-runTime) +
		lateWorth*b.tailProbability(w, region, float64(r.due-b.now)-runTime)
	if r.class.Repeat == Unsafe { // that the worker fails this job too, by the rule of succession
		risk += float64(w.consecutiveErrors) / float64(w.consecutiveErrors+1)
	}
	return risk + b.zonePenalty(w) + b.relativeTime(r, b.backlog(w)+b.fetchTime(r, w))
}

// firstCandidates lists the workers to choose from first: the cold workers outside the buddy set at which this
// dispatcher has a turn, the buddies, and the preferred workers of the key, which are the same at all dispatchers.
func (b *Balancer) firstCandidates(r *request) []*worker {
	r.preferred = b.preferredFor(r.key)
	return slices.Concat(b.coldWorkersInTurn(), b.buddies, r.preferred)
}

// fetchTime returns the time that a worker is expected to spend on fetching the data of the key: nothing at
// the first preferred worker, a proportion of the job time at the next ones, and the whole job time at any
// other worker. Jobs go to the next preferred worker only if the earlier ones are busy, so that few workers
// hold a key and each keeps what it has.
func (b *Balancer) fetchTime(r *request, w *worker) float64 {
	return b.jobTime * float64(r.preferenceRank(w)) / redundancy
}
