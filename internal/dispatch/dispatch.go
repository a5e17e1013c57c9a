// Package dispatch runs the decision module: one goroutine owns the Balancer, its clock and timers and the
// open exchanges. It feeds what happens to the module and carries out the module's actions in order. It
// decides nothing and knows no HTTP, so that another protocol can enter here by the same rules.
package dispatch

import (
	"container/heap"
	"context"
	"log/slog"
	"sync/atomic"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/exchange"
	"topazfall/internal/metrics"
)

// South carries relays to hosts. Its methods return at once.
type South interface {
	Send(*exchange.Relay)
	CallOff(*exchange.Relay) // the relay has ended here; the host should drop it
	Probe(*exchange.Host)
	// Readdress says by which addresses a host that has several is reached from now on; nil if it has gone, or has none
	// but its dial.
	Readdress(host string, list []addresses.Address)
}

// Inventory is asked for the list of hosts. Its methods return at once.
type Inventory interface {
	Follow()
	Fetch()
}

// Peers carries words to other dispatchers. Its method returns at once.
type Peers interface {
	Tell(peer int, data []byte)
}

// Entry is one host of the inventory.
type Entry struct {
	topazfall.Worker
	Addr  string
	Addrs []addresses.Address // in the host's own order of preference; where there are any, Addr is not used
}

// Core is the dispatch goroutine's state. The exported methods may be called from any goroutine.
type Core struct {
	Clock
	balancer  *topazfall.Balancer
	settings  topazfall.Settings
	classes   []topazfall.Class // by index, those that are gone as well
	tenants   []topazfall.Tenant
	south     South
	inventory Inventory
	peers     Peers       // nil where there are none
	news      chan func() // of the inventory: a host that drains gets nothing new that is decided after it was heard
	ops       chan func()
	inHand    atomic.Int64
	metrics   *metrics.Metrics

	// The dispatch goroutine's own from here on.
	number  uint64
	byID    map[string]*exchange.Exchange
	byNum   map[uint64]*exchange.Exchange
	known   map[string]bool // ids of late, in hand or not
	order   [remembered]string
	hosts   map[string]*exchange.Host
	listed  map[string]topazfall.Worker // as the inventory has them
	held    bool                        // the list may not be relied on; see Hold
	claims  *addresses.Claims
	events  []topazfall.Event
	actions []topazfall.Action
	timers  timers
}

// New returns a core for these settings that counts in f.
func New(s topazfall.Settings, f *metrics.Metrics) (*Core, error) {
	b, err := topazfall.New(s)
	if err != nil {
		return nil, err
	}
	for _, k := range s.Classes {
		f.AddClasses(k.Name)
	}
	return &Core{Clock: NewClock(), balancer: b, settings: s, classes: s.Classes, tenants: s.Tenants,
		ops: make(chan func(), 1024), news: make(chan func(), 16), metrics: f,
		byID: map[string]*exchange.Exchange{}, byNum: map[uint64]*exchange.Exchange{},
		known: map[string]bool{}, hosts: map[string]*exchange.Host{},
		listed: map[string]topazfall.Worker{}, claims: addresses.NewClaims()}, nil
}

// SetPeers names what carries words to other dispatchers. It comes before Run.
func (c *Core) SetPeers(p Peers) { c.peers = p }

// Heard takes what another dispatcher tells, or, with a number below 0, somebody who is none.
func (c *Core) Heard(from int, data []byte) {
	c.metrics.Words.Add(1)
	c.ops <- func() { c.feed(topazfall.Event{Kind: topazfall.PeerMessage, From: from, Data: data}) }
}

// Run serves until the program ends.
func (c *Core) Run(south South, inventory Inventory) {
	c.south, c.inventory = south, inventory
	alarm := newAlarm()
	c.look()
	for {
		alarm.set(c.timers.next(), c.Now())
		select {
		case op := <-c.news:
			op()
		case op := <-c.ops:
			c.hearNews()
			op()
		case <-alarm.C:
			c.hearNews()
		}
		for now := c.Now(); c.timers.next() <= now; {
			heap.Pop(&c.timers).(timer).ring()
			c.settle()
		}
		c.settle()
	}
}

// hearNews takes what the inventory has told before anything else is dealt with.
func (c *Core) hearNews() {
	for {
		select {
		case op := <-c.news:
			op()
			c.settle()
		default:
			return
		}
	}
}

// lookTime is how often the module is asked whom it avoids, which changes with time as well, and what it has dropped.
const lookTime = 200_000

func (c *Core) look() {
	c.metrics.Ejected.Store(int64(c.balancer.Avoided(c.Now())))
	c.metrics.Unheeded.Store(int64(c.balancer.Unheeded()))
	c.after(c.Now()+lookTime, c.look)
}

// InHand is the number of messages without a final answer, and of relays that have not ended.
func (c *Core) InHand() int64 { return c.inHand.Load() }

// remembered is how many ids are known: some minutes of them on a busy day, and a few hundred kB.
const remembered = 4096

// Arrive takes in a message. It gets exactly one final answer. An id is new with every message: one that is
// known is of somebody else's, and a call-back could not tell the two apart. That holds for a while after the
// first has ended as well, since hosts may still tell of it, and must not be asked to run it again.
func (c *Core) Arrive(x *exchange.Exchange) {
	c.inHand.Add(1)
	c.metrics.Outstanding.Add(1)
	c.ops <- func() {
		if x.HasLeft() {
			c.finish(x, exchange.Answer{Verdict: exchange.Failed})
			return
		}
		if c.known[x.ID] || c.byID[x.ID] != nil {
			c.finish(x, exchange.Answer{Verdict: exchange.Twice})
			return
		}
		c.remember(x.ID)
		x.Number = c.number
		c.class(x)
		c.byID[x.ID], c.byNum[x.Number] = x, x
		c.feed(topazfall.Event{Kind: topazfall.Arrival, Request: x.Number, Class: x.Class, Tenant: x.Tenant,
			Due: x.Due, Hint: x.Hint, Key: x.Key, Slots: x.Slots, Retry: x.Retry})
	}
}

// Gone tells that the client of a message has left.
func (c *Core) Gone(x *exchange.Exchange) {
	x.Leave()
	c.ops <- func() { c.gone(x) }
}

func (c *Core) gone(x *exchange.Exchange) {
	if c.finish(x, exchange.Answer{Verdict: exchange.Failed}) {
		c.feed(topazfall.Event{Kind: topazfall.ClientGone, Request: x.Number})
		c.forget(x)
	}
}

// Ended tells how a relay ended. Of several endings the first counts.
func (c *Core) Ended(r *exchange.Relay, o topazfall.Outcome, l topazfall.Load) {
	c.ops <- func() { c.end(r, o, l, nil) }
}

// List takes news of the inventory; for ListBroken there are no entries.
func (c *Core) List(kind topazfall.EventKind, entries []Entry) {
	c.news <- func() {
		if kind == topazfall.ListWhole || kind == topazfall.ListStale {
			old := c.hosts
			c.hosts, c.listed = map[string]*exchange.Host{}, map[string]topazfall.Worker{}
			for _, e := range entries {
				c.hosts[e.ID] = old[e.ID]
			}
			for id, h := range old {
				if _, listed := c.hosts[id]; !listed { // the others' state is below: a relay may begin at any moment
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
			// A relay under way keeps the address it was made for; one of several the south side looks after.
			if several := len(e.Addrs) > 0; h == nil || h.Several != several || !several && h.Addr != e.Addr {
				if h != nil {
					h.SetClosed(true)
				}
				h = &exchange.Host{ID: e.ID, Addr: e.Addr, Several: several}
				c.hosts[e.ID] = h
			}
			c.listed[e.ID] = e.Worker
			workers[i] = c.offered(e.Worker)
			h.SetClosed(workers[i].State != topazfall.Ready)
			if e.State == topazfall.Gone {
				delete(c.hosts, e.ID)
				delete(c.listed, e.ID)
				c.claims.Remove(e.ID)
			} else {
				c.claims.Set(e.ID, e.Addrs, e.Addr)
			}
		}
		c.settleClaims()
		c.metrics.Discovered.Store(int64(len(c.hosts)))
		c.feed(topazfall.Event{Kind: kind, List: workers})
	}
}

// Hold tells whether the list may not be relied on: then no host is offered to the module for anything new, and what
// has not begun does not begin. What is under way goes on, and a job that still has time waits for the next list. As
// with List, news goes before all that waits to be dealt with.
func (c *Core) Hold(held bool) {
	c.news <- func() {
		if c.held == held {
			return
		}
		c.held = held
		workers := make([]topazfall.Worker, 0, len(c.listed))
		for id, w := range c.listed {
			w = c.offered(w)
			c.hosts[id].SetClosed(w.State != topazfall.Ready)
			workers = append(workers, w)
		}
		c.feed(topazfall.Event{Kind: topazfall.ListPatch, List: workers})
		if held { // it is no news of the inventory: that is still broken
			c.feed(topazfall.Event{Kind: topazfall.ListBroken})
		}
	}
}

// offered is a worker as the module is to see it.
func (c *Core) offered(w topazfall.Worker) topazfall.Worker {
	if c.held && w.State == topazfall.Ready {
		w.State = topazfall.Draining
	}
	return w
}

// settleClaims hands on which addresses the hosts of the list have now.
func (c *Core) settleClaims() {
	changed, conflicts := c.claims.Settle()
	for _, f := range conflicts {
		slog.Warn("inventory", "odd", "address", "host", f.Host, "address", f.Address, "owner", f.Owner)
	}
	for _, host := range changed {
		list, listed := c.claims.Usable(host)
		if !listed {
			list = nil
		}
		c.south.Readdress(host, list)
	}
}

// Probed tells what a probe brought.
func (c *Core) Probed(h *exchange.Host, o topazfall.Outcome, took int64, l topazfall.Load) {
	c.ops <- func() {
		c.feed(topazfall.Event{Kind: topazfall.ProbeDone, Worker: h.ID, Outcome: o, Took: took, Load: l})
	}
}

// EndUnanswered calls off the relays that their hosts have not answered for so long. What may run again goes to another
// host, the rest is failed: better than no answer at all, where this process is about to be killed.
func (c *Core) EndUnanswered(age int64) {
	c.ops <- func() {
		for _, x := range c.byNum {
			for _, r := range x.Relays {
				if !r.Done && !r.Accepted() && c.Now()-r.Sent >= age {
					c.south.CallOff(r)
					c.end(r, topazfall.Recalled, topazfall.NoLoad, nil)
				}
			}
		}
	}
}

// Sync returns when all that was told before has been dealt with.
func (c *Core) Sync() {
	done := make(chan struct{})
	c.ops <- func() { close(done) }
	<-done
}

// feed queues an event: what an action leads to must not reach the module before that action's siblings
// are carried out.
func (c *Core) feed(e topazfall.Event) { c.events = append(c.events, e) }

// settle hands the queued events to the module and carries out what it wants.
func (c *Core) settle() {
	for i := 0; i < len(c.events); i++ {
		c.actions = c.balancer.Handle(c.Now(), &c.events[i], c.actions[:0])
		for j := range c.actions {
			c.carryOut(&c.actions[j])
		}
	}
	c.events = c.events[:0]
}

func (c *Core) carryOut(a *topazfall.Action) {
	x := c.byNum[a.Request]
	switch a.Kind {
	case topazfall.Send:
		c.send(x, c.hosts[a.Worker], a)
	case topazfall.Refuse:
		c.finish(x, exchange.Answer{Verdict: exchange.Refused, After: a.After})
		c.forget(x)
	case topazfall.Fail:
		verdict := exchange.Failed
		if x != nil && len(x.Relays) > 0 && x.Relays[len(x.Relays)-1].Outcome == topazfall.Overdue {
			verdict = exchange.TimedOut
		}
		c.finish(x, exchange.Answer{Verdict: verdict})
		c.forget(x)
	case topazfall.CancelAttempt:
		if x != nil && a.Attempt < len(x.Relays) && !x.Relays[a.Attempt].Done {
			c.south.CallOff(x.Relays[a.Attempt])
			c.end(x.Relays[a.Attempt], topazfall.Recalled, topazfall.NoLoad, nil)
		}
	case topazfall.SetTimer:
		token := a.Token
		c.after(c.Now()+a.After, func() { c.feed(topazfall.Event{Kind: topazfall.TimerDue, Token: token}) })
	case topazfall.ProbeWorker:
		if h := c.hosts[a.Worker]; h != nil {
			c.south.Probe(h)
		}
	case topazfall.FollowList:
		c.inventory.Follow()
	case topazfall.FetchList:
		c.inventory.Fetch()
	case topazfall.TellPeer:
		if c.peers != nil {
			c.peers.Tell(a.Peer, a.Data)
		}
	case topazfall.Log:
		slog.Info("module", "text", a.Text)
	}
}

func (c *Core) send(x *exchange.Exchange, h *exchange.Host, a *topazfall.Action) {
	if x == nil { // the module names only what it was given and has not ended
		slog.Warn("send", "error", "no such message", "request", a.Request)
		return
	}
	now, due := c.Now(), x.Due
	if a.After != 0 {
		due = min(due, now+a.After)
	}
	c.inHand.Add(1)
	if h == nil || x.HasLeft() { // the relay still counts and ends: else the message would wait for it in vain
		if h == nil {
			h = &exchange.Host{ID: a.Worker}
		}
		c.end(x.Relay(h, now, due), topazfall.Superseded, topazfall.NoLoad, nil)
		return
	}
	r := x.Relay(h, now, due)
	c.watch(r)
	c.south.Send(r)
}

// watch ends a relay when its time is up. Timers cannot be taken back: this one must not keep the message's body until
// its time comes.
func (c *Core) watch(r *exchange.Relay) {
	number, n := r.Exchange.Number, r.N
	c.after(r.Due, func() {
		if x := c.byNum[number]; x != nil && !x.Relays[n].Done {
			c.south.CallOff(x.Relays[n])
			c.end(x.Relays[n], topazfall.Overdue, topazfall.NoLoad, nil)
		}
	})
}

// end gives a relay its one outcome. The first to be served answers the client.
func (c *Core) end(r *exchange.Relay, o topazfall.Outcome, l topazfall.Load, result []byte) {
	if r.Done {
		return
	}
	r.Done, r.Outcome = true, o
	r.End()
	if o.NotRun() {
		r.NeverRan()
	}
	c.inHand.Add(-1)
	x := r.Exchange
	if o == topazfall.Completed {
		c.finish(x, exchange.Answer{Verdict: exchange.Served, Body: result})
	} else if x.HasLeft() { // the relay found out
		c.gone(x)
	}
	now := c.Now()
	slog.LogAttrs(context.Background(), slog.LevelInfo, "relay", slog.String("id", x.ID), slog.Int("n", r.N),
		slog.String("host", r.Host.ID), slog.String("outcome", outcomes[o]), slog.Int64("took_us", now-r.Sent),
		slog.Int64("begun_us", max(r.Begun-r.Sent, 0)))
	c.feed(topazfall.Event{Kind: topazfall.AttemptDone, Request: x.Number, Attempt: r.N, Worker: r.Host.ID,
		Outcome: o, Took: now - r.Sent, Final: x.Over(), Load: l})
	c.forget(x)
}

var outcomes = [...]string{"completed", "errored", "saturated", "overdue", "refused_conn", "severed", "recalled",
	"superseded", "unusable"}

func (c *Core) finish(x *exchange.Exchange, a exchange.Answer) bool {
	if x == nil || !x.Finish(a) {
		return false
	}
	c.inHand.Add(-1)
	c.metrics.Outstanding.Add(-1)
	if e, ok := endings[a.Verdict]; ok {
		c.metrics.End(x.Class, e)
	}
	return true
}

// endings says how a verdict counts. A message that was not taken is no job.
var endings = map[exchange.Verdict]metrics.Ending{exchange.Served: metrics.Succeeded,
	exchange.Refused: metrics.Declined, exchange.Failed: metrics.Aborted, exchange.TimedOut: metrics.Aborted}

// forget drops an exchange that owes and awaits nothing any more.
func (c *Core) forget(x *exchange.Exchange) {
	if x == nil || !x.Over() {
		return
	}
	for _, r := range x.Relays {
		if !r.Done {
			return
		}
	}
	delete(c.byID, x.ID)
	delete(c.byNum, x.Number)
}
