package configmodel

import (
	"math"
	"slices"

	"topazfall/internal/decide/configlog"
)

// Scenario is the load and the faults of a run.
type Scenario struct {
	Name       string
	Seconds    int64          // how long changes are requested
	ChangeRate float64        // changes a second
	Network    func(*Network) // changes the default network; nil for no change
	// NoQuorum is set if there is no quorum of origins for a while: nothing can be committed then, so the bound of 4 s
	// counts from the commit.
	NoQuorum     bool
	InjectFaults func(m *Model, seconds int64) // schedules the faults; nil for none
}

// Result holds the measurements of a run. Times are microseconds.
type Result struct {
	Scenario               string
	Followers              int
	Changes                int     // committed changes
	Samples                int     // one for each change and reachable dispatcher
	P50, P99, P999, Max    int64   // from the start of the committed attempt until a dispatcher applied the change
	Within4s               float64 // share of the samples of at most 4 s
	NeverApplied           float64 // share of the samples where the change was not applied after 30 s
	Within4sOfCommit       float64 // share of at most 4 s, counted from the commit
	P999FromCommit         int64   // from the commit until a dispatcher applied the change
	CommitP99              int64   // from an operator's first attempt, with all retries, until the commit
	MessagesPerChange      float64 // pushes, pulls and their answers, for each instance and change
	BusiestRelayBytes      float64 // mean bytes a second sent and received by the busiest relay or origin
	BusiestDispatcherBytes float64 // the same by the busiest dispatcher
	MeanBytes              float64 // the same by all dispatchers on average
	// CatchUpTime is from a recovery until all instances that were cut off or restarted have the revision that was the
	// newest one at the recovery; 0 if there was none.
	CatchUpTime int64
	// CatchUpBytes is what each of these instances received in that time on average, including heartbeats.
	CatchUpBytes    float64
	DroppedMessages map[configlog.DropReason]int64
}

// operatorChangeRate is the operators' 5,200 changes a day, in changes a second.
const operatorChangeRate = 5200.0 / 86400

// warmUp is how long the instances run before changes are requested and measured.
const warmUp = 10 * second

// loadDocument commits a first document with all keys, so that what follows are changes of entries.
func (m *Model) loadDocument() error {
	for key := 0; key < documentKeys; key += documentKeys / 10 {
		m.requestUntilCommitted(func(id uint64) (c configlog.Change) {
			for k := key; k < key+documentKeys/10; k++ {
				c = append(c, configlog.Entry{Key: teamKey(k), Value: m.newValue(id)})
			}
			return c
		})
		if err := m.Advance(2 * second); err != nil {
			return err
		}
	}
	return m.Advance(warmUp)
}

// RunScenario runs a scenario with a number of dispatchers (followers). It returns an error if an invariant was broken:
// two documents have the same number, an instance goes back to an earlier revision, or one lacks the newest revision at
// the end.
func RunScenario(scenario Scenario, followers int, seed uint64) (Result, error) {
	network := DefaultNetwork()
	if scenario.Network != nil {
		scenario.Network(&network)
	}
	m, err := NewModel(NewRoster(followers), network, seed)
	if err != nil {
		return Result{}, err
	}
	if err := m.Advance(warmUp); err != nil {
		return Result{}, err
	}
	if err := m.loadDocument(); err != nil {
		return Result{}, err
	}
	m.samples = samples{}
	newestBefore := m.newestNumber
	messagesBefore, measuredFrom := m.revisionMessages, m.now
	for _, inst := range m.instances {
		inst.sentBytes, inst.receivedBytes = 0, 0
	}
	if scenario.InjectFaults != nil {
		scenario.InjectFaults(m, scenario.Seconds)
	}
	m.requestAtRate(scenario.ChangeRate, scenario.Seconds)
	if err := m.Advance(scenario.Seconds * second); err != nil {
		return Result{}, err
	}
	result := m.measureTraffic(scenario, followers, float64(m.now-measuredFrom)/1e6)
	if n := m.newestNumber - newestBefore; n > 0 {
		result.MessagesPerChange = float64(m.revisionMessages-messagesBefore) / float64(n) / float64(len(m.instances))
	}
	if err := m.Advance(giveUpAfter + 90*second); err != nil {
		return result, err
	}
	m.addTimings(&result, int(m.newestNumber-newestBefore))
	return result, m.checkConvergence()
}

// requestAtRate schedules changes as a Poisson process with a mean rate.
func (m *Model) requestAtRate(rate float64, seconds int64) {
	at := int64(0)
	for {
		at += int64(m.random.ExpFloat64() / rate * float64(second))
		if at >= seconds*second {
			return
		}
		m.schedule(at, m.requestChange)
	}
}

// measureTraffic returns a result with the traffic of the time in which changes were requested.
func (m *Model) measureTraffic(s Scenario, followers int, seconds float64) Result {
	r := Result{Scenario: s.Name, Followers: followers}
	for _, inst := range m.instances {
		rate := float64(inst.sentBytes+inst.receivedBytes) / seconds
		if inst.Role == configlog.Follower {
			r.BusiestDispatcherBytes = max(r.BusiestDispatcherBytes, rate)
			r.MeanBytes += rate / float64(followers)
		} else {
			r.BusiestRelayBytes = max(r.BusiestRelayBytes, rate)
		}
	}
	return r
}

// addTimings adds what is known at the end of the run to its result.
func (m *Model) addTimings(r *Result, changes int) {
	applied := m.samples.applied
	r.Changes, r.Samples, r.DroppedMessages = changes, len(applied), m.droppedMessages
	r.P50, r.P99, r.P999, r.Max = quantile(applied, 0.5), quantile(applied, 0.99),
		quantile(applied, 0.999), quantile(applied, 1)
	r.Within4s = shareWithin(applied, 4*second)
	r.NeverApplied = 1 - shareWithin(applied, giveUpAfter-1)
	r.P999FromCommit = quantile(m.samples.appliedAfterCommit, 0.999)
	r.Within4sOfCommit = shareWithin(m.samples.appliedAfterCommit, 4*second)
	r.CommitP99 = quantile(m.samples.committed, 0.99)
	r.CatchUpTime, r.CatchUpBytes = m.catchUpTime, m.catchUpBytes
}

// checkConvergence returns an error if an instance that is up has not applied the newest revision.
func (m *Model) checkConvergence() error {
	for _, inst := range m.instances {
		if !inst.down && !inst.frozen && inst.appliedNumber != m.newestNumber {
			m.reportViolation("%s is at revision %d at the end, but the newest is %d",
				inst.Node, inst.appliedNumber, m.newestNumber)
		}
	}
	return m.violation
}

// measureCatchUp measures the time and traffic from now until all lagging instances have the revision that is now the
// newest one.
func (m *Model) measureCatchUp(lagging []*instance) {
	target, healed := m.newestNumber, m.now
	before := int64(0)
	for _, inst := range lagging {
		before += inst.receivedBytes
	}
	var check func()
	check = func() {
		if slices.ContainsFunc(lagging, func(i *instance) bool { return !i.frozen && i.appliedNumber < target }) {
			m.schedule(10*millisecond, check)
			return
		}
		m.catchUpTime = m.now - healed
		got := -before
		for _, inst := range lagging {
			got += inst.receivedBytes
		}
		m.catchUpBytes = float64(got) / float64(len(lagging))
	}
	check()
}

// scheduleRandomly schedules an action at random times of the run; times is how often, rounded.
func (m *Model) scheduleRandomly(times float64, seconds int64, action func()) {
	for range int(math.Round(times)) {
		m.schedule(m.random.Int64N(seconds*second), action)
	}
}

// Scenarios returns the scenarios of the table. In "a day in 864 s" the failures of a day, 64 of 5,500 machines lost
// and 790 restarted, are scaled to the number of instances and happen in a hundredth of a day: this is 100 times the
// usual rate of failures and, with a change a second, 17 times the usual rate of changes.
func Scenarios() []Scenario {
	day := func(m *Model, seconds int64) {
		scale := float64(len(m.instances)) / 5500
		randomInstance := func() *instance { return m.instances[m.random.IntN(len(m.instances))] }
		m.scheduleRandomly(64*scale, seconds, func() { m.crash(randomInstance(), 60*second, true) })
		m.scheduleRandomly(790*scale, seconds, func() { m.crash(randomInstance(), 3*second, true) })
	}
	roles := []configlog.Role{configlog.Follower, configlog.Relay}
	return []Scenario{
		{Name: "quiet, 5,200 a day", Seconds: 1000, ChangeRate: operatorChangeRate},
		{Name: "a day in 864 s", Seconds: 864, ChangeRate: 1, InjectFaults: day},
		{Name: "a zone killed", Seconds: 120, ChangeRate: 1, InjectFaults: func(m *Model, _ int64) {
			m.schedule(20*second, func() {
				for _, inst := range m.instances {
					if inst.Zone == "zone-1-0" { // an origin, a relay and a twelfth of the dispatchers
						m.crash(inst, 60*second, true)
					}
				}
			})
		}},
		{Name: "one-way cuts", Seconds: 240, ChangeRate: 1, InjectFaults: func(m *Model, seconds int64) {
			for at := int64(0); at < seconds; at += 20 {
				m.schedule(at*second, func() {
					for _, inst := range m.drawInstances(0.05, roles...) {
						m.cutOneWay(inst, 15*second, m.random.IntN(2) == 0)
					}
				})
			}
		}},
		{Name: "frozen and woken", Seconds: 240, ChangeRate: 1, InjectFaults: func(m *Model, seconds int64) {
			for at := int64(0); at < seconds; at += 20 {
				m.schedule(at*second, func() {
					for _, inst := range m.drawInstances(0.05, roles...) {
						m.freeze(inst, 10*second)
					}
					if m.random.IntN(4) == 0 { // also one of the origins, be it the leader or not
						m.freeze(m.instances[m.random.IntN(3)], 10*second)
					}
				})
			}
		}},
		{Name: "two of three origins frozen", Seconds: 120, ChangeRate: 1, NoQuorum: true,
			InjectFaults: func(m *Model, _ int64) {
				m.schedule(20*second, func() {
					m.freeze(m.instances[0], 20*second)
					m.freeze(m.instances[1], 20*second)
				})
			}},
		{Name: "lost, doubled, old", Seconds: 240, ChangeRate: 1, Network: func(n *Network) {
			n.LossRate, n.DuplicateRate, n.ReplayRate, n.Jitter = 0.05, 0.05, 0.02, 3
		}},
		{Name: "all dispatchers start from nothing", Seconds: 600, ChangeRate: operatorChangeRate,
			InjectFaults: startFromNothing},
		{Name: "region cut for an hour", Seconds: 3660, ChangeRate: operatorChangeRate, InjectFaults: cutLeadersRegion},
	}
}

// startFromNothing restarts all dispatchers at the same time, each with an empty disk.
func startFromNothing(m *Model, _ int64) {
	m.schedule(20*second, func() {
		all := m.drawInstances(1, configlog.Follower)
		for _, inst := range all {
			m.crash(inst, second, false)
		}
		m.schedule(second, func() { m.measureCatchUp(all) })
	})
}

// cutLeadersRegion partitions the leader's region from the others for an hour.
func cutLeadersRegion(m *Model, _ int64) {
	region := "region-0"
	m.schedule(10*second, func() {
		for _, inst := range m.instances {
			if inst.node.Status(m.now).IsLeader {
				region = inst.Region
			}
		}
		m.setRegionCut(region, true)
	})
	m.schedule(3610*second, func() {
		m.setRegionCut(region, false)
		elsewhere := func(inst *instance) bool { return inst.Region != region }
		m.measureCatchUp(slices.DeleteFunc(slices.Clone(m.instances), elsewhere))
	})
}
