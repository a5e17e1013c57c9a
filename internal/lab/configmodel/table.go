package configmodel

import (
	"fmt"
	"strings"

	"topazfall/internal/decide/configlog"
	"topazfall/internal/lab/report"
)

// The operators' bars.
const (
	barInForce = 4 * second // 99.9% of the reachable dispatchers, at p99.9
	barShare   = 0.999
	barBytes   = 2048 // a second, on average over the dispatchers, at the operators' rate of changes
)

// Columns of the table.
var columns = []string{"scenario", "dispatchers", "changes", "samples", "p50 ms", "p99 ms", "p99.9 ms", "max ms",
	"within 4 s", "p99.9 from commit", "asked to committed p99", "messages", "relay B/s", "feeder B/s", "mean B/s",
	"catch-up ms", "catch-up B"}

// Report plays scenarios at each size and returns the table with its bars. A broken invariant is an error. Progress
// is told by tell, if there is one. Names are parts of scenarios' names; none means all.
func Report(sizes []int, seed uint64, tell func(string), names ...string) (*report.Report, error) {
	r := report.New("configuration", seed, columns...)
	for _, followers := range sizes {
		for _, s := range Scenarios() {
			if !selected(s.Name, names) {
				continue
			}
			if tell != nil {
				tell(fmt.Sprintf("%s, %d dispatchers", s.Name, followers))
			}
			result, err := RunScenario(s, followers, seed)
			if err != nil {
				return nil, fmt.Errorf("%s, %d dispatchers: %w", s.Name, followers, err)
			}
			result.add(r)
			result.check(r, s)
		}
	}
	return r, nil
}

func selected(name string, names []string) bool {
	for _, n := range names {
		if strings.Contains(name, n) {
			return true
		}
	}
	return len(names) == 0
}

func milliseconds(t int64) string { return fmt.Sprintf("%.0f", float64(t)/1000) }

func (x Result) add(r *report.Report) {
	whole := func(v float64) string { return fmt.Sprintf("%.0f", v) }
	r.AddRow(x.Scenario, x.Followers, x.Changes, x.Samples, milliseconds(x.P50), milliseconds(x.P99), milliseconds(x.P999),
		milliseconds(x.Max), fmt.Sprintf("%.3f%%", 100*x.Within4s), milliseconds(x.P999FromCommit),
		milliseconds(x.CommitP99),
		fmt.Sprintf("%.2f", x.MessagesPerChange), whole(x.BusiestRelayBytes), whole(x.BusiestDispatcherBytes), whole(x.MeanBytes),
		milliseconds(x.CatchUpTime), whole(x.CatchUpBytes))
}

// check notes the bars of a result. Bytes have theirs where changes come at the operators' rate; elsewhere there are
// 17 times as many.
func (x Result) check(r *report.Report, s Scenario) {
	name := fmt.Sprintf("%s, %d dispatchers: ", x.Scenario, x.Followers)
	p999, share := x.P999, x.Within4s
	if s.NoQuorum {
		name += "from the commit, "
		p999, share = x.P999FromCommit, x.Within4sOfCommit
	}
	r.AddBound(name+"p99.9 until in force", float64(p999)/1000, float64(barInForce)/1000, "ms")
	r.AddBound(name+"dispatchers and changes later than 4 s", 100*(1-share), 100*(1-barShare), "%")
	if s.ChangeRate == operatorsRate {
		r.AddBound(name+"mean bytes of a dispatcher", x.MeanBytes, barBytes, "B/s")
	}
}

// BoundFormulas are the formulas of the longest times in an installation of so many dispatchers, with the delays that the
// model reckons with.
func BoundFormulas(followers int) ([]string, error) {
	top, err := configlog.NewTopology(NewRoster(followers), configlog.DefaultFanOut())
	if err != nil {
		return nil, err
	}
	n := DefaultNetwork()
	links := configlog.LinkDelays{BetweenRegions: 2 * n.InterRegionDelay, WithinRegion: 4 * n.SameRegionDelay}
	return configlog.NewDelayBounds(configlog.DefaultTiming(), top.Depth(), links).Formulas(), nil
}
