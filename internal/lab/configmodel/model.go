// Package configmodel simulates the configuration log of a whole installation in virtual time. Every instance runs the
// real decision code of configlog; the network, the disks and the failures are modelled from one seed. A seed
// reproduces its run exactly.
package configmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"topazfall/internal/decide/configlog"
)

// Times in microseconds.
const (
	millisecond = int64(1000)
	second      = 1000 * millisecond
)

// overheadBytes is the size of a message without its body: the headers of IPv4 and TCP with timestamps (52), and the
// length of the frame (4).
const overheadBytes = 56

// Network describes the links between instances when nothing has failed. Rates are shares of the messages, and delays
// are the shortest ones, in microseconds one way.
type Network struct {
	LossRate, DuplicateRate, ReplayRate float64 // a replayed message arrives again up to a minute later
	SameZoneDelay, SameRegionDelay      int64
	InterRegionDelay                    int64
	Jitter                              float64 // mean of the exponential part, as a share of the shortest delay
}

// DefaultNetwork returns the network that the scenarios assume: 0.3 ms within a zone, 1 ms within a region, 40 ms
// between regions, and one message in a thousand lost, where TCP would delay it. These values are assumptions, not
// measurements.
func DefaultNetwork() Network {
	return Network{LossRate: 0.001, DuplicateRate: 0.001, SameZoneDelay: 300, SameRegionDelay: 1000,
		InterRegionDelay: 40_000, Jitter: 0.5}
}

// instance is a member of the roster with its node, its disk and its current faults.
type instance struct {
	configlog.Member
	node                     *configlog.Node
	saved                    configlog.SavedState // what is on its disk
	incarnation              uint64
	appliedNumber            uint64 // number of the revision that it has applied
	down                     bool
	frozen                   bool
	inboundCut               bool // it receives nothing
	outboundCut              bool // nothing that it sends arrives
	regionCut                bool // its region is partitioned from the others
	queued                   []configlog.Message
	lastFaultAt              int64 // when its last fault began or ended
	sentBytes, receivedBytes int64
}

// event is an action at a point of virtual time.
type event struct {
	at       int64
	sequence uint64 // orders events of the same time
	action   func()
}

// events is a heap of events in the order of their times.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// Model is an installation in virtual time. Times are microseconds.
type Model struct {
	network          Network
	roster           configlog.Roster
	topology         *configlog.Topology
	random           *rand.Rand
	now              int64
	sequence         uint64
	events           events
	instances        []*instance
	byID             map[configlog.NodeID]*instance
	revisionMessages int64 // messages so far that carried revisions or asked for them
	droppedMessages  map[configlog.DropReason]int64
	scratch          []byte

	changes       map[uint64]*change // committed in the last giveUpAfter, by number
	committed     map[uint64]configlog.Revision
	newestNumber  uint64
	attempts      map[uint64]attempt
	retries       map[uint64]func() // retries a change, by the id of its pending attempt
	lastAttemptID uint64
	samples       samples

	catchUpTime  int64
	catchUpBytes float64
	violation    error // the first broken invariant
}

// change is a change that an operator has requested.
type change struct {
	firstAttemptAt   int64 // when it was first requested
	attemptStartedAt int64 // start of the attempt that was committed
	committedAt      int64
	number           uint64 // of its revision; 0 until it is committed
}

// NewRoster returns the roster of an installation with a number of dispatchers (followers) in 4 regions with 3 zones
// each, and 18 control machines: 3 origins in different regions, a relay in each zone, and 3 further relays.
func NewRoster(followers int) (r configlog.Roster) {
	add := func(name string, i, region, zone int, role configlog.Role) {
		id := configlog.NodeID(fmt.Sprintf("%s-%d", name, i))
		r = append(r, configlog.Member{Node: id, Role: role,
			Region: fmt.Sprint("region-", region), Zone: fmt.Sprintf("zone-%d-%d", region, zone)})
	}
	for i := range 3 {
		add("origin", i, i, 0, configlog.Origin)
	}
	for i := range 15 {
		add("relay", i, i%4, i/4%3, configlog.Relay)
	}
	for i := range followers {
		add("dispatcher", i, i%4, i/4%3, configlog.Follower)
	}
	return r
}

// NewModel returns an installation whose instances have just been started for the first time.
func NewModel(roster configlog.Roster, network Network, seed uint64) (*Model, error) {
	topology, err := configlog.NewTopology(roster, configlog.DefaultFanOut())
	if err != nil {
		return nil, err
	}
	m := &Model{network: network, roster: roster, topology: topology, random: rand.New(rand.NewPCG(seed, 0)),
		now: second, byID: map[configlog.NodeID]*instance{}, droppedMessages: map[configlog.DropReason]int64{},
		changes: map[uint64]*change{}, committed: map[uint64]configlog.Revision{}, attempts: map[uint64]attempt{},
		retries: map[uint64]func(){}}
	for _, member := range roster {
		inst := &instance{Member: member, lastFaultAt: m.now}
		m.instances, m.byID[member.Node] = append(m.instances, inst), inst
	}
	for _, inst := range m.instances {
		if err := m.start(inst, true); err != nil {
			return nil, err
		}
	}
	for phase := range int64(tickPhases) {
		m.schedule(phase*configlog.MaxTickInterval/tickPhases, func() { m.tick(int(phase)) })
	}
	return m, nil
}

// schedule runs an action after a delay.
func (m *Model) schedule(delay int64, action func()) {
	m.sequence++
	heap.Push(&m.events, event{m.now + max(delay, 0), m.sequence, action})
}

// Advance runs the model for a duration in microseconds, and returns an error if an invariant was broken.
func (m *Model) Advance(duration int64) error {
	until := m.now + duration
	for m.violation == nil && len(m.events) > 0 && m.events[0].at <= until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.action()
	}
	m.now = until
	return m.violation
}

// start starts an instance from what is on its disk; bootstrap is set at the first start.
func (m *Model) start(inst *instance, bootstrap bool) error {
	inst.incarnation++
	saved := inst.saved
	if saved.Document != nil {
		saved.Document = saved.Document.Clone()
	}
	node, err := configlog.New(configlog.Options{Node: inst.Node, Roster: m.roster, Topology: m.topology,
		Seed: m.random.Uint64(), Incarnation: inst.incarnation, Bootstrap: bootstrap,
		OnDrop: func(reason configlog.DropReason) { m.droppedMessages[reason]++ }}, saved)
	if err != nil {
		return err
	}
	inst.node, inst.down, inst.queued = node, false, nil
	m.execute(inst, node.Tick(m.now))
	return nil
}

// tickPhases is the number of groups of instances that tick at different times.
const tickPhases = 10

// tick ticks each running instance of a phase, and schedules the next tick.
func (m *Model) tick(phase int) {
	for k := phase; k < len(m.instances); k += tickPhases {
		if inst := m.instances[k]; !inst.down && !inst.frozen {
			m.execute(inst, inst.node.Tick(m.now))
		}
	}
	m.schedule(configlog.MaxTickInterval, func() { m.tick(phase) })
}

// execute carries out the effects that an instance's node has decided on: it saves, applies and sends.
func (m *Model) execute(inst *instance, effects configlog.Effects) {
	if effects.Replaced || len(effects.Deltas) > 0 {
		m.recordApplied(inst, effects)
	}
	if effects.SaveVote {
		inst.saved.Vote = inst.node.Vote()
	}
	for _, message := range effects.Messages {
		m.send(inst, message)
	}
	for _, result := range effects.Results {
		m.handleResult(result)
	}
}

// countMessage counts a message if it carries revisions or asks for them.
func (m *Model) countMessage(body configlog.Body) {
	switch body.(type) {
	case configlog.Push, configlog.Pull, configlog.Deltas, configlog.Chunk:
		m.revisionMessages++
	}
}

// send sends a message over the modelled network, which may lose, duplicate or replay it.
func (m *Model) send(from *instance, message configlog.Message) {
	m.scratch = configlog.AppendBody(m.scratch[:0], message.Body)
	size := int64(len(m.scratch)) + overheadBytes
	from.sentBytes += size
	m.countMessage(message.Body)
	to := m.byID[message.To]
	if from.outboundCut || to.inboundCut || from.Region != to.Region && (from.regionCut || to.regionCut) ||
		m.random.Float64() < m.network.LossRate {
		return
	}
	deliver := func() { m.deliver(to, message, size) }
	m.schedule(m.delay(from, to), deliver)
	if m.random.Float64() < m.network.DuplicateRate {
		m.schedule(m.delay(from, to), deliver)
	}
	if m.random.Float64() < m.network.ReplayRate {
		m.schedule(m.random.Int64N(60*second), deliver)
	}
}

// delay draws the one-way delay of a message.
func (m *Model) delay(from, to *instance) int64 {
	base := m.network.InterRegionDelay
	if from.Zone == to.Zone {
		base = m.network.SameZoneDelay
	} else if from.Region == to.Region {
		base = m.network.SameRegionDelay
	}
	return base + int64(m.random.ExpFloat64()*m.network.Jitter*float64(base))
}

// maxQueuedMessages bounds the messages that wait for a frozen instance, as its socket buffers are bounded.
const maxQueuedMessages = 256

// deliver hands a message to its receiver, or queues it if the receiver is frozen.
func (m *Model) deliver(to *instance, message configlog.Message, size int64) {
	switch {
	case to.down:
	case to.frozen:
		if len(to.queued) < maxQueuedMessages {
			to.queued = append(to.queued, message)
		}
	default:
		to.receivedBytes += size
		m.execute(to, to.node.Handle(m.now, message))
	}
}
