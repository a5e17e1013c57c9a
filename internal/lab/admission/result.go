package admission

import (
	"slices"
	"strings"
)

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

// ReasonCount is the number of refusals with one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

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

	Refusals         []ReasonCount `json:"refusals"`           // all of them, also those that clients retried
	RefusedOnce      int           `json:"refused_once"`       // requests that were refused at least once
	RefusedWhileFree int           `json:"refused_while_free"` // of these, while a reachable worker had a free slot

	WorthShare         float64   `json:"worth_share"`           // of the worth of all requests that was served
	WorthShareBySecond []float64 `json:"worth_share_by_second"` // by arrival
	Recovery           *Recovery `json:"recovery,omitempty"`    // after the cut, if there was one
	Violations         int       `json:"violations"`            // actions about unknown or answered requests

	worth worthSeries
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
func (r *Result) countRefusal(q *request, reason string, free bool) {
	if !q.counted {
		return
	}
	if !q.refused {
		r.RefusedOnce++
	}
	if free && !q.refusedFree {
		r.RefusedWhileFree++
	}
	q.refused, q.refusedFree = true, q.refusedFree || free
	i, found := slices.BinarySearchFunc(r.Refusals, reason,
		func(c ReasonCount, reason string) int { return strings.Compare(c.Reason, reason) })
	if !found {
		r.Refusals = slices.Insert(r.Refusals, i, ReasonCount{Reason: reason})
	}
	r.Refusals[i].Count++
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
	r.WorthShare = r.worth.share(0, len(r.worth.offered))
	r.WorthShareBySecond = r.worth.bySecond()
	if r.Scenario.Cut > 0 {
		recovery := r.worth.recovery(m.cut)
		r.Recovery = &recovery
	}
}

// share returns a count as a share of the requests.
func (r *Result) share(count int) float64 { return float64(count) / max(float64(r.Requests), 1) }

// sendsPerRequest returns the mean number of attempts of a request.
func (r *Result) sendsPerRequest() float64 { return r.share(r.Sends) }
