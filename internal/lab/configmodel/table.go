package configmodel

import (
	"fmt"
	"strings"

	"topazfall/internal/decide/configlog"
	"topazfall/internal/lab/report"
)

// The operators' bounds: minShareInTime of the reachable dispatchers apply a change within maxApplyTime.
const (
	maxApplyTime   = 4 * second
	minShareInTime = 0.999
	maxMeanBytes   = 2048 // bytes a second, on average over the dispatchers, at operatorChangeRate
)

// columns are the columns of the table.
var columns = []string{"scenario", "dispatchers", "changes", "samples", "p50 ms", "p99 ms", "p99.9 ms", "max ms",
	"within 4 s", "p99.9 from commit", "asked to committed p99", "messages", "relay B/s", "feeder B/s", "mean B/s",
	"catch-up ms", "catch-up B"}

// Report runs scenarios at each size and returns the table with its bounds. A broken invariant is an error. If progress
// is not nil, it is called before each run. Only scenarios whose names contain one of names are run, or all if names is
// empty.
func Report(sizes []int, seed uint64, progress func(string), names ...string) (*report.Report, error) {
	r := report.New("configuration", seed, columns...)
	for _, followers := range sizes {
		for _, s := range Scenarios() {
			if !isSelected(s.Name, names) {
				continue
			}
			if progress != nil {
				progress(fmt.Sprintf("%s, %d dispatchers", s.Name, followers))
			}
			result, err := RunScenario(s, followers, seed)
			if err != nil {
				return nil, fmt.Errorf("%s, %d dispatchers: %w", s.Name, followers, err)
			}
			result.addRow(r)
			result.addBounds(r, s)
		}
	}
	return r, nil
}

// isSelected reports whether a scenario's name contains one of names, or there are none.
func isSelected(name string, names []string) bool {
	for _, n := range names {
		if strings.Contains(name, n) {
			return true
		}
	}
	return len(names) == 0
}

// milliseconds formats a time in microseconds as milliseconds.
func milliseconds(t int64) string { return fmt.Sprintf("%.0f", float64(t)/1000) }

// addRow adds the result to the report.
func (x Result) addRow(r *report.Report) {
	integer := func(v float64) string { return fmt.Sprintf("%.0f", v) }
	r.AddRow(x.Scenario, x.Followers, x.Changes, x.Samples, milliseconds(x.P50), milliseconds(x.P99),
		milliseconds(x.P999), milliseconds(x.Max), fmt.Sprintf("%.3f%%", 100*x.Within4s),
		milliseconds(x.P999FromCommit), milliseconds(x.CommitP99), fmt.Sprintf("%.2f", x.MessagesPerChange),
		integer(x.BusiestRelayBytes), integer(x.BusiestDispatcherBytes), integer(x.MeanBytes),
		milliseconds(x.CatchUpTime), integer(x.CatchUpBytes))
}

// addBounds adds the bounds of a result to the report. Traffic has a bound only at the operators' rate of changes; the
// other scenarios have 17 times that rate.
func (x Result) addBounds(r *report.Report, s Scenario) {
	name := fmt.Sprintf("%s, %d dispatchers: ", x.Scenario, x.Followers)
	p999, share := x.P999, x.Within4s
	if s.NoQuorum {
		name += "from the commit, "
		p999, share = x.P999FromCommit, x.Within4sOfCommit
	}
	r.AddBound(name+"p99.9 until in force", float64(p999)/1000, float64(maxApplyTime)/1000, "ms")
	r.AddBound(name+"dispatchers and changes later than 4 s", 100*(1-share), 100*(1-minShareInTime), "%")
	if s.ChangeRate == operatorChangeRate {
		r.AddBound(name+"mean bytes of a dispatcher", x.MeanBytes, maxMeanBytes, "B/s")
	}
}

// BoundFormulas returns the formulas of the longest times in an installation with a number of dispatchers (followers),
// with the delays of the default network.
func BoundFormulas(followers int) ([]string, error) {
	topology, err := configlog.NewTopology(NewRoster(followers), configlog.DefaultFanOut())
	if err != nil {
		return nil, err
	}
	network := DefaultNetwork()
	links := configlog.LinkDelays{BetweenRegions: 2 * network.InterRegionDelay,
		WithinRegion: 4 * network.SameRegionDelay}
	return configlog.NewDelayBounds(configlog.DefaultTiming(), topology.Depth(), links).Formulas(), nil
}
