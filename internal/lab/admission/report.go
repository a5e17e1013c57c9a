package admission

import (
	"fmt"
	"strings"

	"topazfall/internal/lab/report"
)

// The targets. They hold up to targetLoad.
const (
	targetLoad                = 0.85
	maxRefusedWhileFree       = 0.01 // share of the requests that are refused while a reachable worker is free
	maxRefusalGrowth          = 0.01 // by which the largest fleet may refuse a larger share than the smallest
	percent                   = 100
	unitPercent, unitSeconds  = "%", "s"
	unitPoints, unitViolation = "points", ""
)

var columns = []string{"dispatchers", "workers", "load", "shape", "reports", "cut s", "seed", "requests", "in time %",
	"late %", "refused %", "failed %", "expired %", "refused once %", "while free %", "sends", "worth %", "recovery s",
	"refusals"}

// newReport returns the table of the results, checked against the targets.
func newReport(o Options, results []*Result) *report.Report {
	r := report.New("admission", o.FirstSeed, columns...)
	r.Data = results
	for _, result := range results {
		addRow(r, result)
		addBounds(r, result)
	}
	addGrowthBounds(r, results)
	return r
}

func addRow(r *report.Report, x *Result) {
	s := x.Scenario
	inPercent := func(count int) float64 { return percent * x.share(count) }
	r.AddRow(s.Dispatchers, x.Workers, s.Load, string(s.Shape), string(s.Reports), s.Cut.Seconds(), s.Seed, x.Requests,
		inPercent(x.InTime), inPercent(x.Late), inPercent(x.Refused), inPercent(x.Failed), inPercent(x.Expired),
		inPercent(x.RefusedOnce), inPercent(x.RefusedWhileFree), x.sendsPerRequest(), percent*x.WorthShare,
		x.Recovery.String(), refusalText(x.Refusals))
}

// String returns the time of the recovery, or an empty text if there was no cut.
func (r *Recovery) String() string {
	switch {
	case r == nil:
		return ""
	case !r.Reached:
		return fmt.Sprintf("over %.1f", r.Seconds)
	}
	return fmt.Sprintf("%.1f", r.Seconds)
}

// refusalText lists the reasons of the refusals with their numbers.
func refusalText(refusals []ReasonCount) string {
	var parts []string
	for _, c := range refusals {
		parts = append(parts, fmt.Sprintf("%s %d", c.Reason, c.Count))
	}
	return strings.Join(parts, ", ")
}

// addBounds adds the bounds of a single run. Those of the decisions are judged up to the target load.
func addBounds(r *report.Report, x *Result) {
	s := x.Scenario
	if x.Violations > 0 {
		r.AddBound(fmt.Sprintf("no invalid action (%v)", s), float64(x.Violations), 0, unitViolation)
	}
	if s.Load > targetLoad {
		return
	}
	r.AddBound(fmt.Sprintf("refused while a worker is free (%v)", s), percent*x.share(x.RefusedWhileFree),
		percent*maxRefusedWhileFree, unitPercent)
	if x.Recovery != nil {
		r.AddBound(fmt.Sprintf("recovery (%v)", s), x.Recovery.Seconds, recoveryTarget(s.Cut).Seconds(), unitSeconds)
	}
}

// addGrowthBounds compares the share of refused requests of the largest fleet with that of the smallest one.
func addGrowthBounds(r *report.Report, results []*Result) {
	type pair struct{ smallest, largest *Result }
	pairs := map[Scenario]*pair{}
	var order []Scenario
	for _, x := range results {
		key := x.Scenario
		key.Dispatchers = 0
		p := pairs[key]
		if p == nil {
			p = &pair{x, x}
			pairs[key] = p
			order = append(order, key)
		}
		if x.Scenario.Dispatchers < p.smallest.Scenario.Dispatchers {
			p.smallest = x
		}
		if x.Scenario.Dispatchers > p.largest.Scenario.Dispatchers {
			p.largest = x
		}
	}
	for _, key := range order {
		p := pairs[key]
		if key.Load > targetLoad || p.smallest == p.largest {
			continue
		}
		growth := p.largest.share(p.largest.RefusedOnce) - p.smallest.share(p.smallest.RefusedOnce)
		name := fmt.Sprintf("refused more than with %d dispatchers (%v)", p.smallest.Scenario.Dispatchers,
			p.largest.Scenario)
		r.AddBound(name, percent*growth, percent*maxRefusalGrowth, unitPoints)
	}
}
