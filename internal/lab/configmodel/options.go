package configmodel

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"topazfall/internal/decide/configlog"
	"topazfall/internal/lab/report"
)

// Conditions under which the alternatives are compared: other ways to distribute a change to all dispatchers. Each is a
// simple model with the delays of the network above; none of them is implemented.
const (
	changesPerOption = 400         // changes of each option
	frozenShare      = 0.02        // share of the instances that are frozen when a change is made, for freezeTime
	freezeTime       = 10 * second // also the timeout of a tool for an instance that does not answer
	pollInterval     = second      // of the option that polls
	gossipInterval   = second      // of the option that gossips
	gossipFanOut     = 2           // instances that each one compares with in each interval
	gossipRounds     = 30          // an instance without the change after these rounds counts as left behind
	never            = math.MaxInt64
)

// option models a way to distribute a change.
type option struct {
	name string
	// idleBytes is how many bytes a second a dispatcher sends and receives when nothing changes.
	idleBytes float64
	// applyTimes returns when each dispatcher has a change, in microseconds after it was made, or never.
	applyTimes func(o *optionRun) []int64
}

// optionRun is the distribution of one change by one option.
type optionRun struct {
	*Model
	frozen map[configlog.NodeID]bool
}

// linkDelay draws the delay of a message; a lost one is sent again after 200 ms, TCP's shortest retransmission timeout.
func (o *optionRun) linkDelay(from, to *instance) int64 {
	d := o.delay(from, to)
	for o.random.Float64() < o.network.LossRate {
		d += 200 * millisecond
	}
	return d
}

// roundTrip draws the time of a call and its answer.
func (o *optionRun) roundTrip(from, to *instance) int64 {
	return o.linkDelay(from, to) + o.linkDelay(to, from)
}

// sequential models a tool that calls one dispatcher after the other, first to get its revision and then to apply the
// change. A dispatcher that does not answer costs the tool its timeout, and does not get the change.
func (o *optionRun) sequential() (times []int64) {
	now, tool := int64(0), o.instances[0]
	for _, inst := range o.instances {
		switch {
		case inst.Role != configlog.Follower:
		case o.frozen[inst.Node]:
			now += freezeTime
			times = append(times, never)
		default:
			now += o.roundTrip(tool, inst) + o.roundTrip(tool, inst)
			times = append(times, now)
		}
	}
	return times
}

// parallel models a tool that calls all dispatchers at the same time, and does not retry.
func (o *optionRun) parallel() (times []int64) {
	for _, inst := range o.instances {
		switch {
		case inst.Role != configlog.Follower:
		case o.frozen[inst.Node]:
			times = append(times, never)
		default:
			times = append(times, o.roundTrip(o.instances[0], inst)+o.roundTrip(o.instances[0], inst))
		}
	}
	return times
}

// polling models one service that all dispatchers poll. The service may be frozen itself.
func (o *optionRun) polling() (times []int64) {
	service, down := o.instances[0], int64(0)
	if o.frozen[service.Node] {
		down = freezeTime
	}
	for _, inst := range o.instances {
		if inst.Role == configlog.Follower && !o.frozen[inst.Node] {
			times = append(times, down+o.random.Int64N(pollInterval)+o.roundTrip(inst, service))
		}
	}
	return times
}

// gossip models instances that each compare revisions with a few random others in every interval, at an offset of their
// own.
func (o *optionRun) gossip() (times []int64) {
	o.frozen[o.instances[0].Node] = false // a change is made at an instance that is not frozen
	appliedAt := map[*instance]int64{o.instances[0]: 0}
	phase := map[*instance]int64{}
	for _, inst := range o.instances {
		phase[inst] = o.random.Int64N(gossipInterval)
	}
	byPhase := slices.Clone(o.instances)
	slices.SortFunc(byPhase, func(a, b *instance) int { return cmp.Compare(phase[a], phase[b]) })
	for round := range int64(gossipRounds) {
		for _, inst := range byPhase {
			for range gossipFanOut {
				partner := o.instances[o.random.IntN(len(o.instances))]
				if o.frozen[inst.Node] || o.frozen[partner.Node] {
					continue
				}
				o.exchange(appliedAt, inst, partner, round*gossipInterval+phase[inst])
			}
		}
	}
	for _, inst := range o.instances {
		if inst.Role != configlog.Follower || o.frozen[inst.Node] {
			continue
		}
		if at, ok := appliedAt[inst]; ok {
			times = append(times, at)
		} else {
			times = append(times, never)
		}
	}
	return times
}

// exchange models one comparison of two instances: if only one of them has the change, the other gets it.
func (o *optionRun) exchange(appliedAt map[*instance]int64, inst, partner *instance, at int64) {
	arrival := at + o.linkDelay(inst, partner)
	hasBy := func(m *instance, by int64) bool { t, ok := appliedAt[m]; return ok && t <= by }
	switch {
	case hasBy(inst, at) && !hasBy(partner, arrival):
		appliedAt[partner] = arrival + o.roundTrip(partner, inst)
	case hasBy(partner, arrival) && !hasBy(inst, at):
		appliedAt[inst] = arrival + o.linkDelay(partner, inst)
	}
}

// tree models pushes down the tree, from a number of each instance's parents, without any repair: a frozen instance
// forwards nothing, and a lost message is not sent again.
func (o *optionRun) tree(parents int) (times []int64) {
	appliedAt := map[configlog.NodeID]int64{}
	for _, origin := range o.topology.Origins {
		appliedAt[origin] = o.linkDelay(o.instances[0], o.byID[origin])
	}
	ordered := slices.Clone(o.instances)
	slices.SortStableFunc(ordered, func(a, b *instance) int {
		return cmp.Compare(o.topology.Level(a.Node), o.topology.Level(b.Node))
	})
	for _, inst := range ordered {
		if inst.Role == configlog.Origin || o.frozen[inst.Node] {
			continue
		}
		at := int64(never)
		for _, p := range o.topology.Parents(inst.Node)[:parents] {
			if t, ok := appliedAt[p]; ok && t != never && !o.frozen[p] && o.random.Float64() >= o.network.LossRate {
				at = min(at, t+o.delay(o.byID[p], inst))
			}
		}
		appliedAt[inst.Node] = at
		if inst.Role == configlog.Follower {
			times = append(times, at)
		}
	}
	return times
}

// alternatives returns the options that were not implemented.
func alternatives() []option {
	digest := float64(len(configlog.AppendBody(nil, configlog.Digest{
		Heartbeat: configlog.HeartbeatID{Epoch: configlog.Epoch{Round: 1, Leader: "origin-0"}, Tick: 1 << 20},
		Held:      configlog.Revision{Epoch: configlog.Epoch{Round: 1, Leader: "origin-0"}, Number: 5200},
	}))) + overheadBytes
	perSecond := func(period int64) float64 { return float64(second) / float64(period) }
	return []option{
		{"one after the other, by a tool", 0, (*optionRun).sequential},
		{"all at once, by a tool", 0, (*optionRun).parallel},
		{"one service is polled each second", 2 * digest * perSecond(pollInterval), (*optionRun).polling},
		{"gossip alone", 4 * gossipFanOut * digest * perSecond(gossipInterval), (*optionRun).gossip},
		{"tree alone, one parent", 0, func(o *optionRun) []int64 { return o.tree(1) }},
		{"tree alone, two parents", 0, func(o *optionRun) []int64 { return o.tree(2) }},
	}
}

// CompareOptions compares the ways to distribute a change to a number of dispatchers (followers) while 2% of the
// instances are frozen.
func CompareOptions(followers int, seed uint64) (*report.Report, error) {
	r := report.New("configuration-options", seed, "way", "dispatchers", "p50 ms", "p99 ms", "p99.9 ms", "within 4 s",
		"left behind", "idle B/s")
	for _, alternative := range alternatives() {
		m, err := NewModel(NewRoster(followers), DefaultNetwork(), seed)
		if err != nil {
			return nil, err
		}
		var times []int64
		for range changesPerOption {
			o := &optionRun{Model: m, frozen: map[configlog.NodeID]bool{}}
			for _, inst := range m.instances {
				o.frozen[inst.Node] = m.random.Float64() < frozenShare
			}
			times = append(times, alternative.applyTimes(o)...)
		}
		neverShare := 1 - shareWithin(times, never-1)
		text := func(share float64) string {
			if t := quantile(times, share); t != never {
				return milliseconds(t)
			}
			return "never"
		}
		r.AddRow(alternative.name, followers, text(0.5), text(0.99), text(0.999),
			fmt.Sprintf("%.2f%%", 100*shareWithin(times, 4*second)), fmt.Sprintf("%.2f%%", 100*neverShare),
			fmt.Sprintf("%.0f", alternative.idleBytes))
	}
	if err := addImplemented(r, followers, seed); err != nil {
		return nil, err
	}
	return r, nil
}

// addImplemented adds the option that was implemented, under the same conditions: 2% of the instances are frozen at any
// time, for 10 s each.
func addImplemented(r *report.Report, followers int, seed uint64) error {
	s := Scenario{Name: "as the others", Seconds: changesPerOption, ChangeRate: 1,
		InjectFaults: func(m *Model, seconds int64) {
			for at := int64(0); at < seconds; at++ {
				m.schedule(at*second, func() {
					for _, inst := range m.drawInstances(frozenShare/10,
						configlog.Follower, configlog.Relay, configlog.Origin) {
						m.freeze(inst, freezeTime)
					}
				})
			}
		}}
	x, err := RunScenario(s, followers, seed)
	if err != nil {
		return err
	}
	quiet, err := RunScenario(Scenario{Name: "idle", Seconds: 100, ChangeRate: 0.001}, followers, seed)
	if err != nil {
		return err
	}
	r.AddRow("tree, two parents, digests and pulls", followers, milliseconds(x.P50), milliseconds(x.P99),
		milliseconds(x.P999), fmt.Sprintf("%.2f%%", 100*x.Within4s), fmt.Sprintf("%.2f%%", 100*x.NeverApplied),
		fmt.Sprintf("%.0f", quiet.MeanBytes))
	return nil
}
