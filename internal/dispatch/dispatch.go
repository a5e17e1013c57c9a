// Package dispatch runs the decision module, topazfall.Balancer. One goroutine owns the Balancer, its clock and timers,
// and the open exchanges (the client messages in flight with their relays). It passes events to the module and executes
// the module's actions in order. It makes no decisions and does not depend on HTTP, so that another protocol can be
// served through the same calls.
package dispatch

import (
	"context"
	"log/slog"
	"sync/atomic"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/decide/digests"
	"topazfall/internal/exchange"
	"topazfall/internal/metrics"
)

// Upstream sends relays (attempts) to hosts (workers, as the network code knows them). Its methods do not block.
type Upstream interface {
	Send(*exchange.Relay)
	Cancel(*exchange.Relay) // the relay has ended at the dispatcher; the host should drop the job
	Probe(*exchange.Host)
	// SetAddresses replaces the addresses of a host that has several. The list is nil if the host has been removed or
	// has only its single address, Entry.Addr.
	SetAddresses(host string, list []addresses.Address)
}

// Discovery requests the list of hosts from the discovery service. Its methods do not block.
type Discovery interface {
	Follow() // requests the changes of the list from now on
	Fetch()  // requests the whole list
}

// Peers sends gossip messages to other dispatchers. Its method does not block.
type Peers interface {
	Send(peer int, data []byte)
}

// Entry is one host (worker) on discovery's list. The names of its fields, and the type name of the embedded Worker,
// are part of the handover format.
type Entry struct {
	topazfall.Worker
	Addr  string              // the host's only address
	Addrs []addresses.Address // in the host's own order of preference; if there are any, Addr is not used
}

// Core holds the state of the dispatch goroutine. Its exported methods may be called from any goroutine.
type Core struct {
	Clock
	balancer  *topazfall.Balancer
	settings  topazfall.Settings
	classes   []topazfall.Class // by index, including removed ones
	tenants   []topazfall.Tenant
	upstream  Upstream
	discovery Discovery
	peers     Peers // nil if peer messages are off
	// listOps carries list updates. They run before ops, so that a draining host is not chosen by any decision made
	// after its drain was received.
	listOps  chan func()
	ops      chan func()
	inFlight atomic.Int64
	claim    atomic.Pointer[ClaimID] // nil if this process alone decides which ids are taken
	idsAdded chan struct{}
	metrics  *metrics.Metrics

	// The fields below belong to the dispatch goroutine.
	lastNumber    uint64
	byID          map[string]*exchange.Exchange
	byNumber      map[uint64]*exchange.Exchange
	knownIDs      map[string]uint64             // the last number of each recent message id, in flight or not
	recentIDs     [maxKnownIDs]knownID          // the same ids as a ring, by number
	ranIDs        *digests.Set                  // of the ids of messages that have ended and whose jobs may have run
	claiming      map[string]*exchange.Exchange // by id: messages that are admitted if their id is not taken
	hosts         map[string]*exchange.Host
	listedWorkers map[string]topazfall.Worker // as discovery reported them
	onHold        bool                        // the list is too old to use; see SetHold
	claims        *addresses.Claims
	events        []topazfall.Event
	actions       []topazfall.Action
	timers        timerHeap
	messageTimers map[uint64][]*timer // by the number of a message in flight
}

// New returns a core with the given settings that updates counters.
func New(settings topazfall.Settings, counters *metrics.Metrics) (*Core, error) {
	balancer, err := topazfall.New(settings)
	if err != nil {
		return nil, err
	}
	for _, class := range settings.Classes {
		counters.AddClasses(class.Name)
	}
	return &Core{Clock: NewClock(), balancer: balancer, settings: settings, classes: settings.Classes,
		tenants: settings.Tenants, ops: make(chan func(), 1024), listOps: make(chan func(), 16), metrics: counters,
		byID: map[string]*exchange.Exchange{}, byNumber: map[uint64]*exchange.Exchange{},
		knownIDs: map[string]uint64{}, ranIDs: digests.NewSet(defaultRanIDMemory),
		claiming: map[string]*exchange.Exchange{},
		idsAdded: make(chan struct{}, 1), hosts: map[string]*exchange.Host{},
		listedWorkers: map[string]topazfall.Worker{}, claims: addresses.NewClaims(),
		messageTimers: map[uint64][]*timer{}}, nil
}

// SetPeers sets the sender of gossip messages. It must be called before Run.
func (c *Core) SetPeers(p Peers) { c.peers = p }

// ReceivePeerMessage accepts a gossip message from a peer (another dispatcher). A negative number marks a sender that
// is not a peer.
func (c *Core) ReceivePeerMessage(from int, data []byte) {
	c.metrics.PeerMessages.Add(1)
	c.ops <- func() { c.queueEvent(topazfall.Event{Kind: topazfall.PeerMessage, From: from, Data: data}) }
}

// Run runs the dispatch goroutine. It never returns.
func (c *Core) Run(upstream Upstream, discovery Discovery) {
	c.upstream, c.discovery = upstream, discovery
	wake := newWakeTimer()
	c.updateGauges()
	for {
		wake.setDue(c.timers.nextDue(), c.Now())
		select {
		case op := <-c.listOps:
			op()
		case op := <-c.ops:
			c.runListOps()
			op()
		case <-wake.C:
			c.runListOps()
		}
		for now := c.Now(); c.timers.nextDue() <= now; {
			c.popTimer().fire()
			c.processEvents()
		}
		c.processEvents()
	}
}

// runListOps applies all waiting list updates before any other operation.
func (c *Core) runListOps() {
	for {
		select {
		case op := <-c.listOps:
			op()
			c.processEvents()
		default:
			return
		}
	}
}

// gaugeInterval is the time between two updates of the gauges, in microseconds. They are polled because the number of
// unavailable workers also changes with time alone.
const gaugeInterval = 200_000

func (c *Core) updateGauges() {
	c.metrics.Ejected.Store(int64(c.balancer.UnavailableWorkers(c.Now())))
	c.metrics.Timers.Store(int64(len(c.timers)))
	c.metrics.PeerMessagesDropped.Store(int64(c.balancer.DroppedMessages()))
	c.schedule(c.Now()+gaugeInterval, c.updateGauges)
}

// InFlight returns the number of messages without a final answer plus the number of relays that have not ended.
func (c *Core) InFlight() int64 { return c.inFlight.Load() }

// Submit accepts a message. It gets exactly one final answer. Each message needs a new id: a message with a known id is
// rejected as a duplicate, because a callback could not tell the two messages apart. Ids stay known for a while after
// their message has ended, because hosts may still send callbacks for it and must not be asked to run it again.
func (c *Core) Submit(x *exchange.Exchange) {
	c.inFlight.Add(1)
	c.metrics.Outstanding.Add(1)
	c.ops <- func() {
		if x.IsDisconnected() {
			c.finish(x, exchange.Answer{Result: exchange.Failed})
			return
		}
		c.admitWithID(x)
	}
}

// admit passes a message with a new id to the module.
func (c *Core) admit(x *exchange.Exchange) {
	class := c.classOf(x)
	c.applyClass(x, class)
	c.byID[x.ID], c.byNumber[x.Number] = x, x
	c.queueEvent(topazfall.Event{Kind: topazfall.Arrival, Request: x.Number, Class: x.Class, OwnClass: class,
		Tenant: x.Tenant, Due: x.Due, Hint: x.Hint, Key: x.Key, Slots: x.Slots, Retry: x.Retry})
}

// ClientDisconnected reports that the client of a message has closed its connection.
func (c *Core) ClientDisconnected(x *exchange.Exchange) {
	x.MarkDisconnected()
	c.ops <- func() { c.endDisconnected(x) }
}

func (c *Core) endDisconnected(x *exchange.Exchange) {
	if c.finish(x, exchange.Answer{Result: exchange.Failed}) {
		c.queueEvent(topazfall.Event{Kind: topazfall.ClientGone, Request: x.Number})
		c.removeIfDone(x)
	}
}

// RelayEnded reports the outcome of a relay. Only the first outcome reported for a relay counts.
func (c *Core) RelayEnded(r *exchange.Relay, outcome topazfall.Outcome, load topazfall.Load) {
	c.ops <- func() { c.endRelay(r, outcome, load, nil) }
}

// ApplyList applies an update of discovery's list. A ListFailed update has no entries.
func (c *Core) ApplyList(kind topazfall.EventKind, entries []Entry) {
	c.listOps <- func() {
		if kind == topazfall.ListSnapshot || kind == topazfall.ListRestored {
			previous := c.hosts
			c.hosts, c.listedWorkers = map[string]*exchange.Host{}, map[string]topazfall.Worker{}
			for _, e := range entries {
				c.hosts[e.ID] = previous[e.ID]
			}
			for id, h := range previous {
				// Listed hosts get their state below: closing one even for a moment could stop a relay that starts now.
				if _, listed := c.hosts[id]; !listed {
					h.SetClosed(true)
				}
			}
			for _, id := range c.claims.Hosts() {
				if _, listed := c.hosts[id]; !listed {
					c.claims.Remove(id)
				}
			}
		}
		workers := make([]topazfall.Worker, len(entries))
		for i, e := range entries {
			h := c.hosts[e.ID]
			// A relay in flight keeps the address it was created with. Of a host with several addresses, the upstream
			// selects one.
			if multiAddress := len(e.Addrs) > 0; h == nil || h.MultiAddress != multiAddress ||
				!multiAddress && h.Addr != e.Addr {
				if h != nil {
					h.SetClosed(true)
				}
				h = &exchange.Host{ID: e.ID, Addr: e.Addr, MultiAddress: multiAddress}
				c.hosts[e.ID] = h
			}
			c.listedWorkers[e.ID] = e.Worker
			workers[i] = c.effectiveWorker(e.Worker)
			h.SetClosed(workers[i].State != topazfall.Ready)
			if e.State == topazfall.Gone {
				delete(c.hosts, e.ID)
				delete(c.listedWorkers, e.ID)
				c.claims.Remove(e.ID)
			} else {
				c.claims.Set(e.ID, e.Addrs, e.Addr)
			}
		}
		c.resolveClaims()
		c.metrics.Discovered.Store(int64(len(c.hosts)))
		c.queueEvent(topazfall.Event{Kind: kind, List: workers})
	}
}

// SetHold starts or ends a hold. During a hold the list is too old to use: every ready worker is shown to the module as
// draining, and relays that have not started do not start. Relays that have started continue, and a job with time left
// waits for the next list. Like ApplyList, SetHold takes effect before all waiting operations.
func (c *Core) SetHold(held bool) {
	c.listOps <- func() {
		if c.onHold == held {
			return
		}
		c.onHold = held
		workers := make([]topazfall.Worker, 0, len(c.listedWorkers))
		for id, w := range c.listedWorkers {
			w = c.effectiveWorker(w)
			c.hosts[id].SetClosed(w.State != topazfall.Ready)
			workers = append(workers, w)
		}
		c.queueEvent(topazfall.Event{Kind: topazfall.ListPatch, List: workers})
		if held { // the patch above does not come from discovery, which is still failing
			c.queueEvent(topazfall.Event{Kind: topazfall.ListFailed})
		}
	}
}

// effectiveWorker returns a listed worker as the module sees it: during a hold a ready worker is draining.
func (c *Core) effectiveWorker(w topazfall.Worker) topazfall.Worker {
	if c.onHold && w.State == topazfall.Ready {
		w.State = topazfall.Draining
	}
	return w
}

// resolveClaims decides which host owns each address (see addresses.Claims). It passes the usable addresses of each
// host for which they have changed to the upstream, and logs the addresses that a host lists although another one owns
// them.
func (c *Core) resolveClaims() {
	changed, conflicts := c.claims.Resolve()
	for _, conflict := range conflicts {
		slog.Warn("inventory", "odd", "address", "host", conflict.Host, "address", conflict.Address,
			"owner", conflict.Owner)
	}
	for _, host := range changed {
		list, listed := c.claims.Usable(host)
		if !listed {
			list = nil
		}
		c.upstream.SetAddresses(host, list)
	}
}

// ProbeDone reports the result of a probe. The time it took is in microseconds.
func (c *Core) ProbeDone(h *exchange.Host, outcome topazfall.Outcome, elapsed int64, load topazfall.Load) {
	c.ops <- func() {
		c.queueEvent(topazfall.Event{Kind: topazfall.ProbeDone, Worker: h.ID, Outcome: outcome, Elapsed: elapsed,
			Load: load})
	}
}

// CancelUnanswered cancels the relays that were sent at least age microseconds ago and that their hosts have not
// answered. A message that may run again goes to another host, or to the successor if there is one; the others fail. It
// is for a process that is about to be killed: a failure is better for a client than no answer.
func (c *Core) CancelUnanswered(age int64) {
	c.ops <- func() {
		for _, x := range c.byNumber {
			for _, r := range x.Relays {
				if !r.Done && !r.IsAccepted() && c.Now()-r.Sent >= age {
					c.upstream.Cancel(r)
					c.endRelay(r, topazfall.Cancelled, topazfall.NoLoad, nil)
				}
			}
		}
	}
}

// await runs a function on the dispatch goroutine and returns its result.
func await[T any](c *Core, run func() T) T {
	result := make(chan T, 1)
	c.ops <- func() { result <- run() }
	return <-result
}

// Sync waits until all operations queued before it have been executed.
func (c *Core) Sync() { await(c, func() struct{} { return struct{}{} }) }

// queueEvent queues an event for the module. An event caused by an action must not reach the module before the other
// actions of the same batch have been executed.
func (c *Core) queueEvent(e topazfall.Event) { c.events = append(c.events, e) }

// processEvents passes the queued events to the module and executes the resulting actions.
func (c *Core) processEvents() {
	for i := 0; i < len(c.events); i++ {
		c.actions = c.balancer.Handle(c.Now(), &c.events[i], c.actions[:0])
		for j := range c.actions {
			c.execute(&c.actions[j])
		}
	}
	c.events = c.events[:0]
}

func (c *Core) execute(action *topazfall.Action) {
	x := c.byNumber[action.Request]
	switch action.Kind {
	case topazfall.Send:
		c.send(x, c.hosts[action.Worker], action)
	case topazfall.Refuse:
		c.metrics.CountRejection(action.Reason)
		c.finish(x, exchange.Answer{Result: exchange.Refused, RetryAfter: action.After,
			Reason: action.Reason.String()})
		c.removeIfDone(x)
	case topazfall.Fail:
		c.metrics.CountRejection(action.Reason)
		result := exchange.Failed
		if x != nil && len(x.Relays) > 0 && x.Relays[len(x.Relays)-1].Outcome == topazfall.TimedOut {
			result = exchange.TimedOut
		}
		c.finish(x, exchange.Answer{Result: result, Reason: action.Reason.String()})
		c.removeIfDone(x)
	case topazfall.CancelAttempt:
		if x != nil && action.Attempt < len(x.Relays) && !x.Relays[action.Attempt].Done {
			c.upstream.Cancel(x.Relays[action.Attempt])
			c.endRelay(x.Relays[action.Attempt], topazfall.Cancelled, topazfall.NoLoad, nil)
		}
	case topazfall.SetTimer:
		if action.Request != 0 && x == nil { // it has ended
			return
		}
		token := action.Token
		c.scheduleFor(action.Request, c.Now()+action.After, func() {
			c.queueEvent(topazfall.Event{Kind: topazfall.TimerDue, Token: token})
		})
	case topazfall.ProbeWorker:
		if h := c.hosts[action.Worker]; h != nil {
			c.upstream.Probe(h)
		}
	case topazfall.WatchList:
		c.discovery.Follow()
	case topazfall.FetchList:
		c.discovery.Fetch()
	case topazfall.SendToPeer:
		if c.peers != nil {
			c.peers.Send(action.Peer, action.Data)
		}
	case topazfall.Log:
		slog.Info("module", "text", action.Text)
	}
}

func (c *Core) send(x *exchange.Exchange, h *exchange.Host, action *topazfall.Action) {
	if x == nil { // unexpected: the module names only requests that it was given and that have not ended
		slog.Warn("send", "error", "no such message", "request", action.Request)
		return
	}
	now, due := c.Now(), x.Due
	if action.After != 0 {
		due = min(due, now+action.After)
	}
	c.inFlight.Add(1)
	// If the relay cannot be sent, it is still recorded and ended: otherwise the message would wait for it in vain.
	if h == nil || x.IsDisconnected() {
		if h == nil {
			h = &exchange.Host{ID: action.Worker}
		}
		c.endRelay(x.AddRelay(h, now, due), topazfall.NeverSent, topazfall.NoLoad, nil)
		return
	}
	r := x.AddRelay(h, now, due)
	c.scheduleTimeout(r)
	c.upstream.Send(r)
}

// scheduleTimeout ends a relay at its deadline.
func (c *Core) scheduleTimeout(r *exchange.Relay) {
	number, index := r.Exchange.Number, r.Index
	c.scheduleFor(number, r.Due, func() {
		if x := c.byNumber[number]; x != nil && !x.Relays[index].Done {
			c.upstream.Cancel(x.Relays[index])
			c.endRelay(x.Relays[index], topazfall.TimedOut, topazfall.NoLoad, nil)
		}
	})
}

// endRelay sets the outcome of a relay, once. The first relay that completes answers the client.
func (c *Core) endRelay(r *exchange.Relay, outcome topazfall.Outcome, load topazfall.Load, result []byte) {
	if r.Done {
		return
	}
	r.Done, r.Outcome = true, outcome
	r.End()
	if outcome.NotRun() {
		r.MarkNeverRan()
	}
	c.inFlight.Add(-1)
	x := r.Exchange
	if outcome == topazfall.Completed {
		c.finish(x, exchange.Answer{Result: exchange.Served, Body: result})
	} else if x.IsDisconnected() { // TryStart may have been the first to notice the disconnect
		c.endDisconnected(x)
	}
	now := c.Now()
	slog.LogAttrs(context.Background(), slog.LevelInfo, "relay", slog.String("id", x.ID), slog.Int("n", r.Index),
		slog.String("host", r.Host.ID), slog.String("outcome", outcomeNames[outcome]),
		slog.Int64("took_us", now-r.Sent), slog.Int64("begun_us", max(r.StartedAt-r.Sent, 0)))
	c.queueEvent(topazfall.Event{Kind: topazfall.AttemptDone, Request: x.Number, Attempt: r.Index, Worker: r.Host.ID,
		Outcome: outcome, Elapsed: now - r.Sent, Final: x.IsFinished(), Load: load})
	c.removeIfDone(x)
}

var outcomeNames = [...]string{"completed", "errored", "saturated", "overdue", "refused_conn", "severed", "recalled",
	"superseded", "unusable"}

func (c *Core) finish(x *exchange.Exchange, answer exchange.Answer) bool {
	if x == nil || !x.Finish(answer) {
		return false
	}
	c.inFlight.Add(-1)
	c.metrics.Outstanding.Add(-1)
	if result, ok := jobResults[answer.Result]; ok {
		c.metrics.CountJob(x.Class, result)
	}
	return true
}

// jobResults maps the result of an answer to its counter. A message that was not accepted here, or was handed over,
// does not count as a job.
var jobResults = map[exchange.Result]metrics.JobResult{exchange.Served: metrics.Succeeded,
	exchange.Refused: metrics.Declined, exchange.Failed: metrics.Aborted, exchange.TimedOut: metrics.Aborted}

// removeIfDone drops an exchange that has its final answer and no open relay.
func (c *Core) removeIfDone(x *exchange.Exchange) {
	if x == nil || !x.IsFinished() || c.byNumber[x.Number] != x {
		return
	}
	for _, r := range x.Relays {
		if !r.Done {
			return
		}
	}
	delete(c.byID, x.ID)
	delete(c.byNumber, x.Number)
	c.removeTimers(x.Number)
	c.recordRun(x)
}
