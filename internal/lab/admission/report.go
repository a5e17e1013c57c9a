package admission

import (
	"fmt"

	"topazfall/internal/lab/report"
)

// The targets. They hold up to targetLoad.
const (
	targetLoad          = 0.85
	maxRefusedWhileFree = 0.01 // share of the requests that are refused while a reachable worker is free
	maxRefusalGrowth    = 0.01 // by which the largest fleet may refuse a larger share than the smallest
)

const percent = 100 // of a whole

// column is a column of the table.
type column struct {
	name  string
	value func(*Result) any
}

var columns = []column{
	{"dispatchers", func(r *Result) any { return r.Scenario.Dispatchers }},
	{"workers", func(r *Result) any { return r.Workers }},
	{"load", func(r *Result) any { return r.Scenario.Load }},
	{"shape", func(r *Result) any { return string(r.Scenario.Shape) }},
	{"reports", func(r *Result) any { return string(r.Scenario.Reports) }},
	{"cut s", func(r *Result) any { return int(r.Scenario.Cut.Seconds()) }},
	{"seed", func(r *Result) any { return r.Scenario.Seed }},
	{"requests", func(r *Result) any { return r.Requests }},
	{"in time %", func(r *Result) any { return r.percentage(r.InTime) }},
	{"late %", func(r *Result) any { return r.percentage(r.Late) }},
	{"refused %", func(r *Result) any { return r.percentage(r.Refused) }},
	{"failed %", func(r *Result) any { return r.percentage(r.Failed) }},
	{"expired %", func(r *Result) any { return r.percentage(r.Expired) }},
	{"refused once %", func(r *Result) any { return r.percentage(r.RefusedOnce) }},
	{"while free %", func(r *Result) any { return r.percentage(r.RefusedWhileFree) }},
	{"within quota %", func(r *Result) any { return r.percentage(r.RefusedWithinQuota) }},
	{"sends", func(r *Result) any { return r.share(r.Sends) }},
	{"worth %", func(r *Result) any { return percent * r.WorthShare }},
	{"recovery s", func(r *Result) any { return r.Recovery.String() }},
	{"refusals", func(r *Result) any { return reasonText(r.Refusals) }},
	{"failures", func(r *Result) any { return reasonText(r.Failures) }},
}

// newReport returns the table of the results, checked against the targets.
func newReport(o Options, results []*Result) *report.Report {
	var names []string
	for _, c := range columns {
		names = append(names, c.name)
	}
	r := report.New("admission", o.FirstSeed, names...)
	r.Data = results
	for _, result := range results {
		addRow(r, result)
		addBounds(r, result)
	}
	addGrowthBounds(r, results)
	return r
}

func addRow(r *report.Report, result *Result) {
	var values []any
	for _, c := range columns {
		values = append(values, c.value(result))
	}
	r.AddRow(values...)
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

// addBounds adds the bounds of a single run. Those of the decisions are judged up to the target load.
func addBounds(r *report.Report, result *Result) {
	s := result.Scenario
	if result.Violations > 0 {
		r.AddBound(fmt.Sprintf("no invalid action (%v)", s), float64(result.Violations), 0, "actions")
	}
	if s.Load > targetLoad {
		return
	}
	r.AddBound(fmt.Sprintf("refused while a worker is free (%v)", s), result.percentage(result.RefusedWhileFree),
		percent*maxRefusedWhileFree, "%")
	if recovery := result.Recovery; recovery != nil {
		r.AddBound(fmt.Sprintf("recovery (%v)", s), recovery.Seconds, recoveryTarget(s.Cut).Seconds(), "s")
	}
}

// fleetPair holds the results of the smallest and the largest fleet in the same circumstances.
type fleetPair struct{ smallest, largest *Result }

// addGrowthBounds compares the share of refused requests of the largest fleet with that of the smallest one.
func addGrowthBounds(r *report.Report, results []*Result) {
	for _, p := range pairFleets(results) {
		s := p.largest.Scenario
		if s.Load > targetLoad || p.smallest == p.largest {
			continue
		}
		growth := p.largest.percentage(p.largest.RefusedOnce) - p.smallest.percentage(p.smallest.RefusedOnce)
		name := fmt.Sprintf("refused more than with %d dispatchers (%v)", p.smallest.Scenario.Dispatchers, s)
		r.AddBound(name, growth, percent*maxRefusalGrowth, "points")
	}
}

// pairFleets returns a pair for each group of results that differ only in the number of dispatchers, in the order of
// the results.
func pairFleets(results []*Result) (pairs []*fleetPair) {
	known := map[Scenario]*fleetPair{}
	for _, result := range results {
		key := result.Scenario
		key.Dispatchers = 0
		p := known[key]
		if p == nil {
			p = &fleetPair{result, result}
			known[key], pairs = p, append(pairs, p)
		}
		if result.Scenario.Dispatchers < p.smallest.Scenario.Dispatchers {
			p.smallest = result
		}
		if result.Scenario.Dispatchers > p.largest.Scenario.Dispatchers {
			p.largest = result
		}
	}
	return pairs
}
