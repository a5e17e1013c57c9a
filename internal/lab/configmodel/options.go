package configmodel

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"topazfall/internal/decide/configlog"
	"topazfall/internal/lab/report"
)

// What the other ways to bring a change to all dispatchers are compared under. Each is a simple model with the delays
// of the network above; none has an implementation.
const (
	optionChanges  = 400         // changes of each option
	optionFrozen   = 0.02        // share of the members that are frozen when a change is made, for frozenFor
	frozenFor      = 10 * second // and a tool's deadline for one that does not answer
	pollEvery      = second      // of the option that polls
	gossipEvery    = second      // of the option that gossips
	gossipPartners = 2           // whom each one asks in each period
	gossipRounds   = 30          // after which a member that has not heard counts as left behind
	never          = math.MaxInt64
)

// option is a way to bring a change to all, as a model: when each dispatcher has it, in microseconds after it was
// made, or never.
type option struct {
	name string
	// bytes a second that a dispatcher sends and receives where nothing changes
	idle  float64
	times func(o *optionRun) []int64
}

// optionRun is one change of one option.
type optionRun struct {
	*Model
	frozen map[configlog.NodeID]bool
}

// link returns a delay from one to another; a lost message is repeated after 200 ms, as TCP's shortest timeout has it.
func (o *optionRun) link(from, to *member) int64 {
	d := o.delay(from, to)
	for o.random.Float64() < o.network.LossRate {
		d += 200 * millisecond
	}
	return d
}

// call is a question and its answer.
func (o *optionRun) call(from, to *member) int64 { return o.link(from, to) + o.link(to, from) }

// one asks one dispatcher after the other: what is in force, then the change. One that does not answer costs the
// deadline, and lacks it.
func (o *optionRun) one() (times []int64) {
	now, tool := int64(0), o.members[0]
	for _, i := range o.members {
		switch {
		case i.Role != configlog.Follower:
		case o.frozen[i.Node]:
			now += frozenFor
			times = append(times, never)
		default:
			now += o.call(tool, i) + o.call(tool, i)
			times = append(times, now)
		}
	}
	return times
}

// allAtOnce asks all dispatchers at the same time, once.
func (o *optionRun) allAtOnce() (times []int64) {
	for _, i := range o.members {
		switch {
		case i.Role != configlog.Follower:
		case o.frozen[i.Node]:
			times = append(times, never)
		default:
			times = append(times, o.call(o.members[0], i)+o.call(o.members[0], i))
		}
	}
	return times
}

// polled is one service that all ask; it may be frozen itself.
func (o *optionRun) polled() (times []int64) {
	service, down := o.members[0], int64(0)
	if o.frozen[service.Node] {
		down = frozenFor
	}
	for _, i := range o.members {
		if i.Role == configlog.Follower && !o.frozen[i.Node] {
			times = append(times, down+o.random.Int64N(pollEvery)+o.call(i, service))
		}
	}
	return times
}

// gossip lets each member compare with a few others, drawn anew in each period, at a time of its own in it.
func (o *optionRun) gossip() (times []int64) {
	o.frozen[o.members[0].Node] = false // a change is made where somebody is awake
	has := map[*member]int64{o.members[0]: 0}
	phase := map[*member]int64{}
	for _, i := range o.members {
		phase[i] = o.random.Int64N(gossipEvery)
	}
	inTurn := slices.Clone(o.members)
	slices.SortFunc(inTurn, func(a, b *member) int { return cmp.Compare(phase[a], phase[b]) })
	for round := range int64(gossipRounds) {
		for _, i := range inTurn {
			for range gossipPartners {
				k := o.members[o.random.IntN(len(o.members))]
				if o.frozen[i.Node] || o.frozen[k.Node] {
					continue
				}
				o.exchange(has, i, k, round*gossipEvery+phase[i])
			}
		}
	}
	for _, i := range o.members {
		if i.Role != configlog.Follower || o.frozen[i.Node] {
			continue
		}
		if at, ok := has[i]; ok {
			times = append(times, at)
		} else {
			times = append(times, never)
		}
	}
	return times
}

// exchange lets a member compare with another at a time: whichever has the change gives it.
func (o *optionRun) exchange(has map[*member]int64, i, k *member, at int64) {
	there := at + o.link(i, k)
	have := func(m *member, by int64) bool { t, ok := has[m]; return ok && t <= by }
	switch {
	case have(i, at) && !have(k, there):
		has[k] = there + o.call(k, i)
	case have(k, there) && !have(i, at):
		has[i] = there + o.link(k, i)
	}
}

// tree pushes down, by so many of each member's parents, and does nothing about what is missed: a frozen member
// passes on nothing, and a link that breaks with the message in it is not looked after.
func (o *optionRun) tree(of int) (times []int64) {
	has := map[configlog.NodeID]int64{}
	for _, origin := range o.topology.Origins {
		has[origin] = o.link(o.members[0], o.byID[origin])
	}
	ordered := slices.Clone(o.members)
	slices.SortStableFunc(ordered, func(a, b *member) int {
		return cmp.Compare(o.topology.Level(a.Node), o.topology.Level(b.Node))
	})
	for _, i := range ordered {
		if i.Role == configlog.Origin || o.frozen[i.Node] {
			continue
		}
		at := int64(never)
		for _, p := range o.topology.Parents(i.Node)[:of] {
			if t, ok := has[p]; ok && t != never && !o.frozen[p] && o.random.Float64() >= o.network.LossRate {
				at = min(at, t+o.delay(o.byID[p], i))
			}
		}
		has[i.Node] = at
		if i.Role == configlog.Follower {
			times = append(times, at)
		}
	}
	return times
}

// options are the other ways.
func options() []option {
	digest := float64(len(configlog.AppendBody(nil, configlog.Digest{
		Heartbeat: configlog.HeartbeatID{Epoch: configlog.Epoch{Round: 1, Leader: "origin-0"}, Tick: 1 << 20},
		Held:      configlog.Revision{Epoch: configlog.Epoch{Round: 1, Leader: "origin-0"}, Number: 5200}}))) + overhead
	perSecond := func(period int64) float64 { return float64(second) / float64(period) }
	return []option{
		{"one after the other, by a tool", 0, (*optionRun).one},
		{"all at once, by a tool", 0, (*optionRun).allAtOnce},
		{"one service is polled each second", 2 * digest * perSecond(pollEvery), (*optionRun).polled},
		{"gossip alone", 4 * gossipPartners * digest * perSecond(gossipEvery), (*optionRun).gossip},
		{"tree alone, one parent", 0, func(o *optionRun) []int64 { return o.tree(1) }},
		{"tree alone, two parents", 0, func(o *optionRun) []int64 { return o.tree(2) }},
	}
}

// CompareOptions compares the ways to bring a change to all of so many dispatchers, while 2% of the members are frozen.
func CompareOptions(followers int, seed uint64) (*report.Report, error) {
	r := report.New("configuration-options", seed, "way", "dispatchers", "p50 ms", "p99 ms", "p99.9 ms", "within 4 s",
		"left behind", "idle B/s")
	for _, way := range options() {
		m, err := NewModel(NewRoster(followers), DefaultNetwork(), seed)
		if err != nil {
			return nil, err
		}
		var times []int64
		for range optionChanges {
			o := &optionRun{Model: m, frozen: map[configlog.NodeID]bool{}}
			for _, i := range m.members {
				o.frozen[i.Node] = m.random.Float64() < optionFrozen
			}
			times = append(times, way.times(o)...)
		}
		behind := 1 - within(times, never-1)
		text := func(share float64) string {
			if t := quantile(times, share); t != never {
				return milliseconds(t)
			}
			return "never"
		}
		r.AddRow(way.name, followers, text(0.5), text(0.99), text(0.999),
			fmt.Sprintf("%.2f%%", 100*within(times, 4*second)), fmt.Sprintf("%.2f%%", 100*behind),
			fmt.Sprintf("%.0f", way.idle))
	}
	if err := addTaken(r, followers, seed); err != nil {
		return nil, err
	}
	return r, nil
}

// addTaken plays what was built under the same conditions: 2% of the members frozen at any time, for 10 s each.
func addTaken(r *report.Report, followers int, seed uint64) error {
	s := Scenario{Name: "as the others", Seconds: optionChanges, ChangeRate: 1, InjectFaults: func(m *Model, seconds int64) {
		for at := int64(0); at < seconds; at++ {
			m.after(at*second, func() {
				for _, i := range m.some(optionFrozen/10, configlog.Follower, configlog.Relay, configlog.Origin) {
					m.freeze(i, frozenFor)
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
