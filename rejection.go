package topazfall

import "slices"

// RejectReason says why a request is refused or failed without being served.
type RejectReason int

// The reasons, in the order in which they are looked for.
const (
	NotRejected       RejectReason = iota
	DeadlinePassed                 // the client's deadline has passed
	AttemptsExhausted              // it has had the maximum number of attempts
	RepeatForbidden                // an attempt may have run, and its class forbids another one
	AllWorkersTried                // each listed worker that could run it has failed it
	ListEmpty                      // the worker list has not been read, or names no worker
	WorkersCold                    // the workers left are cold, and this dispatcher's share of their budget is used
	WorkersEjected                 // the workers left are ejected for their faults
	NoWorker                       // no other worker may take it: all drain, or none is of its kind or group
	OverQuota                      // it is beyond its tenant's share, and no worker is free
	LateRisk                       // it would probably be late, while late jobs are costly
	StartedLate                    // it was withdrawn from a worker that did not start it in time
	UnusableJob                    // two workers found the job itself invalid
	// RejectReasonCount is the number of values above.
	RejectReasonCount = int(iota)
)

var rejectReasonNames = [RejectReasonCount]string{"none", "deadline_passed", "attempts_exhausted", "repeat_forbidden",
	"all_workers_tried", "list_empty", "workers_cold", "workers_ejected", "no_worker", "over_quota", "late_risk",
	"started_late", "unusable_job"}

// String returns the name of the reason, as in the metrics, and "unknown" for a value that is none of the constants.
func (r RejectReason) String() string {
	if r < 0 || int(r) >= RejectReasonCount {
		return "unknown"
	}
	return rejectReasonNames[r]
}

// noWorkerReason returns why no worker may take a request now.
func (b *Balancer) noWorkerReason(r *request) RejectReason {
	cold, ejected := false, false
	for _, w := range b.ranked {
		if w.State != Ready || r.hasTried(w) || r.class.Kind != "" && r.class.Kind != w.Kind || b.isBarred(r, w) {
			continue
		}
		ejected = ejected || b.now < w.ejectedUntil
		cold = cold || b.now >= w.ejectedUntil && b.isCold(w)
	}
	switch {
	case len(b.ranked) == 0:
		return ListEmpty
	case cold:
		return WorkersCold
	case ejected:
		return WorkersEjected
	default:
		return NoWorker
	}
}

// hasUntriedWorker reports whether a listed worker that can run the request has not been tried.
func (b *Balancer) hasUntriedWorker(r *request) bool {
	return slices.ContainsFunc(b.ranked, func(w *worker) bool {
		return w.State == Ready && !r.hasTried(w) && (r.class.Kind == "" || r.class.Kind == w.Kind)
	})
}
