package admission

import (
	"math/rand/v2"
	"slices"

	"topazfall"
)

// The share of the traffic that a dispatcher gets is uneven: most get about the mean, and every busyEvery-th one
// several times as much.
const (
	busyEvery       = 10
	busyOffset      = 3 // the first busy dispatcher
	busyFactor      = 4
	minTrafficShare = 0.7
	maxTrafficShare = 1.3
)

// Settings of the balancers.
const (
	tick          = 4 * millisecond
	maxAttempts   = 5
	maxRetryAfter = 2 * second
	crossZoneLoss = 0.017
	overShare     = 0.05
)

// dispatcher is a balancer with the submissions that it has not finished.
type dispatcher struct {
	index          int
	zone           zone
	balancer       *topazfall.Balancer
	submissions    map[uint64]*submission
	lastSubmission uint64
	listVersion    int // of the last list that it has applied
	actions        []topazfall.Action
}

// balancerSettings returns the settings that all balancers of a scenario share.
func balancerSettings(s Scenario, classes []jobClass, tenants []*tenant) topazfall.Settings {
	settings := topazfall.Settings{
		Dispatchers: s.Dispatchers, Zones: zoneNames, Tick: tick, ReportsStart: true, Progress: progressEvery,
		CrossZone: crossZoneLoss, OverShare: overShare,
		LoadReports: topazfall.ReportsInAnswers,
		Contract: topazfall.Contract{AnswerSlack: 20 * millisecond, DrainGrace: 500 * millisecond, ColdFrom: 0.2,
			RampTime: 20 * second, FallMultiple: 2.5, FallTime: second},
		Allowed: topazfall.Allowed{Cancel: true, Probe: true, PeerMessages: true, HedgedRequests: true,
			RetryAfter: true, MaxRetryAfter: maxRetryAfter, Attempts: maxAttempts, DialTimeout: dialTimeout},
	}
	if s.Reports == Weights {
		settings.LiveWeights, settings.LoadReports = true, topazfall.ReportsInProbes
	}
	for _, kind := range workerKinds {
		settings.Kinds = append(settings.Kinds, kind.name)
	}
	for _, c := range classes {
		settings.Classes = append(settings.Classes, c.Class)
	}
	for _, t := range tenants {
		settings.Tenants = append(settings.Tenants, t.Tenant)
	}
	return settings
}

// newDispatchers returns the dispatchers, half of them in each zone.
func newDispatchers(s Scenario, settings topazfall.Settings) (dispatchers []*dispatcher, err error) {
	for i := range s.Dispatchers {
		d := &dispatcher{index: i, zone: zone(i % zoneCount), submissions: map[uint64]*submission{}}
		settings.Me, settings.Zone, settings.Seed = i, d.zone.String(), s.Seed+uint64(i)
		if d.balancer, err = topazfall.New(settings); err != nil {
			return nil, err
		}
		dispatchers = append(dispatchers, d)
	}
	return dispatchers, nil
}

// cumulativeTraffic returns the sums of the shares of the traffic that the first dispatchers get, up to each one.
func cumulativeTraffic(random *rand.Rand, count int) (sums []float64) {
	total := 0.0
	for i := range count {
		share := uniform(random, minTrafficShare, maxTrafficShare)
		if i%busyEvery == busyOffset {
			share *= busyFactor
		}
		total += share
		sums = append(sums, total)
	}
	return sums
}

// drawDispatcher draws a dispatcher by its share of the traffic.
func (m *model) drawDispatcher() *dispatcher {
	x := m.traffic.Float64() * m.trafficSums[len(m.trafficSums)-1]
	i, _ := slices.BinarySearch(m.trafficSums, x)
	return m.dispatchers[i]
}

// handle passes an event to a balancer and carries out its actions. No action leads to another event at once, so the
// list of actions can be used again.
func (m *model) handle(d *dispatcher, e *topazfall.Event) {
	d.actions = d.balancer.Handle(m.now, e, d.actions[:0])
	for _, action := range d.actions {
		m.execute(d, action)
	}
}

// execute carries out an action. The list comes without being asked for.
func (m *model) execute(d *dispatcher, action topazfall.Action) {
	switch action.Kind {
	case topazfall.Send:
		m.send(d, action)
	case topazfall.Refuse, topazfall.Fail:
		m.reject(d, action)
	case topazfall.CancelAttempt:
		m.cancel(d, action)
	case topazfall.SetTimer:
		token := action.Token
		m.after(action.After, func() { m.handle(d, &topazfall.Event{Kind: topazfall.TimerDue, Token: token}) })
	case topazfall.ProbeWorker:
		m.probe(d, m.workersByID[action.Worker])
	case topazfall.SendToPeer:
		m.gossip(d, action)
	}
}

// cancel ends an attempt. Its outcome follows as an event of its own.
func (m *model) cancel(d *dispatcher, action topazfall.Action) {
	s := d.submissions[action.Request]
	if s == nil || action.Attempt >= len(s.attempts) {
		m.result.Violations++
		return
	}
	a := s.attempts[action.Attempt]
	m.after(0, func() { m.abandon(a, topazfall.Cancelled) })
}

// probe asks a worker for its load. A probe that is lost fails at the dial timeout.
func (m *model) probe(d *dispatcher, w *worker) {
	delay := latency(d.zone, w.zone)
	done := topazfall.Event{Kind: topazfall.ProbeDone, Worker: w.id, Outcome: topazfall.Completed, Elapsed: 2 * delay}
	if m.cut.separates(m.now, d.zone, w.zone) {
		done.Outcome, done.Elapsed, done.Load = topazfall.ProbeFailed, dialTimeout, topazfall.NoLoad
		m.after(dialTimeout, func() { m.handle(d, &done) })
		return
	}
	m.after(delay, func() {
		done.Load = w.load()
		m.after(delay, func() { m.handle(d, &done) })
	})
}

// gossip sends a message to one peer or to all.
func (m *model) gossip(d *dispatcher, action topazfall.Action) {
	if action.Peer != topazfall.AllPeers {
		m.gossipTo(m.dispatchers[action.Peer], d, action.Data)
		return
	}
	for _, peer := range m.dispatchers {
		if peer != d {
			m.gossipTo(peer, d, action.Data)
		}
	}
}

func (m *model) gossipTo(peer, from *dispatcher, data []byte) {
	if m.cut.separates(m.now, from.zone, peer.zone) {
		return
	}
	m.after(uniformTime(m.network, minGossipDelay, maxGossipDelay), func() {
		m.handle(peer, &topazfall.Event{Kind: topazfall.PeerMessage, From: from.index, Data: data})
	})
}
