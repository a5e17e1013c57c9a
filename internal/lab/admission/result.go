package admission

import "topazfall"

// finalAnswer is what a client gets in the end.
type finalAnswer int

// The final answers of a request.
const (
	servedInTime finalAnswer = iota // while the answer has its full worth
	servedLate                      // later, but before the deadline
	refused                         // and not retried, or refused again
	failed
	expired // not answered before the deadline
)

// Result is what was measured in a run. It counts the requests that arrived in the measured part, without the warm-up.
type Result struct {
	Scenario Scenario `json:"scenario"`
	Workers  int      `json:"workers"`
	Requests int      `json:"requests"`
	InTime   int      `json:"in_time"`
	Late     int      `json:"late"`
	Refused  int      `json:"refused"` // not served in the end because of a refusal
	Failed   int      `json:"failed"`
	Expired  int      `json:"expired"`
	Sends    int      `json:"sends"`

	RefusedOnce        int `json:"refused_once"`         // requests that were refused at least once
	RefusedWhileFree   int `json:"refused_while_free"`   // of these, while a reachable worker had a free slot
	RefusedWithinQuota int `json:"refused_within_quota"` // of these, within their tenant's quota over all dispatchers

	Refusals []ReasonCount `json:"refusals"` // all of them, also those that clients retried
	Failures []ReasonCount `json:"failures"`

	WorthShare         float64   `json:"worth_share"`           // of the worth of all requests that was served
	WorthShareBySecond []float64 `json:"worth_share_by_second"` // by arrival
	Recovery           *Recovery `json:"recovery,omitempty"`    // after the cut, if there was one
	Violations         int       `json:"violations"`            // actions about unknown or answered requests

	worth              worthSeries
	refusals, failures reasonCounter
}

func newResult(s Scenario, workers int, measured int64) *Result {
	return &Result{Scenario: s, Workers: workers, worth: newWorthSeries(startTime+warmupTime, measured)}
}

// countArrival counts a request that has arrived.
func (r *Result) countArrival(q *request) {
	if !q.counted {
		return
	}
	r.Requests++
	r.worth.addOffered(q.arrivedAt, q.worth)
}

// countRefusal counts the refusal of a submission; free says that a reachable worker had a free slot.
func (r *Result) countRefusal(q *request, reason topazfall.RejectReason, free bool) {
	if !q.counted {
		return
	}
	if !q.refused {
		r.RefusedOnce++
		if q.withinQuota {
			r.RefusedWithinQuota++
		}
	}
	if free && !q.refusedFree {
		r.RefusedWhileFree++
	}
	q.refused, q.refusedFree = true, q.refusedFree || free
	r.refusals[reason]++
}

// countFailure counts the reason of a failure.
func (r *Result) countFailure(q *request, reason topazfall.RejectReason) {
	if q.counted {
		r.failures[reason]++
	}
}

// countAnswer counts the final answer of a request.
func (r *Result) countAnswer(q *request, answer finalAnswer) {
	if !q.counted {
		return
	}
	switch answer {
	case servedInTime:
		r.InTime++
		r.worth.addServed(q.arrivedAt, q.worth)
	case servedLate: // the classes keep no worth of a late answer
		r.Late++
	case refused:
		r.Refused++
	case failed:
		r.Failed++
	case expired:
		r.Expired++
	}
	r.Sends += q.sends
}

// complete computes what follows from the counts of the whole run.
func (r *Result) complete(m *model) {
	r.Refusals, r.Failures = r.refusals.list(), r.failures.list()
	r.WorthShare = r.worth.share(0, len(r.worth.offered))
	r.WorthShareBySecond = r.worth.bySecond()
	if r.Scenario.Cut > 0 {
		recovery := r.worth.recovery(m.cut)
		r.Recovery = &recovery
	}
}

// share returns a count as a share of the requests.
func (r *Result) share(count int) float64 { return float64(count) / max(float64(r.Requests), 1) }

// percentage returns a count as a percentage of the requests.
func (r *Result) percentage(count int) float64 { return percent * r.share(count) }
