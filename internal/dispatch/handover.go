package dispatch

// What goes from a process to the one that replaces it: messages in hand, ids, and what was learned.

import (
	"log/slog"
	"slices"

	"topazfall"
	"topazfall/internal/exchange"
)

// HandoverState is what another process needs to go on in this one's place.
type HandoverState struct {
	Known  []string // ids, the oldest first
	Memory topazfall.Memory
}

// HandoverState returns what there is now.
func (c *Core) HandoverState() HandoverState {
	l := make(chan HandoverState, 1)
	c.ops <- func() {
		out := HandoverState{Memory: c.balancer.Memory()}
		for i := range uint64(remembered) {
			if id := c.order[(c.number+1+i)%remembered]; id != "" {
				out.Known = append(out.Known, id)
			}
		}
		l <- out
	}
	return <-l
}

// RestoreState goes on with a legacy. The list that it speaks of must have come before.
func (c *Core) RestoreState(l HandoverState) {
	c.AddKnownIDs(l.Known)
	c.Sync() // the list is with the module
	c.ops <- func() { c.balancer.Restore(c.Now(), l.Memory) }
}

// InFlightMessage is a message in hand that goes from one process to another.
type InFlightMessage struct {
	exchange.Message
	ClassIs topazfall.Class // it may be gone from the settings
	Of      string          // the tenant's name, if it has one
	Relays  []InFlightRelay
	Tries   []topazfall.Try
}

// InFlightRelay is one of its relays.
type InFlightRelay struct {
	Host, Addr       string
	Sent, Begun, Due int64
	Outcome          topazfall.Outcome
	Done             bool
}

// HandOver gives a message in hand away by means of to, and tells whether it is gone. One that is over is not, nor one
// of which a relay is still between here and its host. As to is called from the dispatch goroutine, all that is told of
// the message comes either before it or finds it no more.
func (c *Core) HandOver(x *exchange.Exchange, to func(InFlightMessage) error) bool {
	gone := make(chan bool, 1)
	c.ops <- func() { gone <- c.handOver(x, to) }
	return <-gone
}

func (c *Core) handOver(x *exchange.Exchange, to func(InFlightMessage) error) bool {
	if x.IsFinished() || c.byNum[x.Number] != x {
		return false
	}
	b := InFlightMessage{Message: x.Message, ClassIs: c.classes[x.Class], Tries: c.balancer.Tries(x.Number)}
	if x.Tenant >= 0 {
		b.Of = c.tenants[x.Tenant].Name
	}
	for _, r := range x.Relays {
		if !r.Done && !r.IsAccepted() {
			return false
		}
		b.Relays = append(b.Relays, InFlightRelay{r.Host.ID, r.Host.Addr, r.Sent, r.StartedAt, r.Due, r.Outcome, r.Done})
	}
	if len(b.Tries) != len(b.Relays) || to(b) != nil { // what is queued for the module comes first
		return false
	}
	c.finish(x, exchange.Answer{Result: exchange.HandedOver})
	for _, r := range x.Relays {
		if !r.Done {
			r.Done = true
			c.inHand.Add(-1)
		}
	}
	c.feed(topazfall.Event{Kind: topazfall.HandedOver, Request: x.Number})
	c.forget(x)
	slog.Info("moved", "id", x.ID, "to", "young")
	return true
}

// Resume goes on with a message that another process has begun, and which a client waits for. It gets its final answer
// here. If the client has left already, Gone is still to be told.
func (c *Core) Resume(b InFlightMessage, client exchange.Client) *exchange.Exchange {
	x := exchange.NewForClient(client, b.Message)
	x.CheckDisconnected()
	c.inHand.Add(1)
	c.metrics.Outstanding.Add(1)
	c.ops <- func() {
		named := func(k topazfall.Class) bool { return k.Name == b.ClassIs.Name }
		if !slices.ContainsFunc(c.classes, named) {
			c.addClasses([]topazfall.Class{b.ClassIs})
		}
		x.Class = slices.IndexFunc(c.classes, named)
		c.class(x)
		if x.Tenant >= 0 { // its number was the other process's
			x.Tenant = slices.IndexFunc(c.tenants, func(t topazfall.Tenant) bool { return t.Name == b.Of })
		}
		if c.byID[x.ID] != nil {
			slog.Warn("moved", "id", x.ID, "error", "in hand already")
			c.finish(x, exchange.Answer{Result: exchange.Failed})
			return
		}
		c.remember(x.ID)
		x.Number = c.number
		c.byID[x.ID], c.byNum[x.Number] = x, x
		for _, old := range b.Relays {
			h := c.hosts[old.Host]
			if h == nil || !h.MultiAddress && h.Addr != old.Addr {
				h = &exchange.Host{ID: old.Host, Addr: old.Addr}
			}
			r := x.AddRelay(h, old.Sent, old.Due)
			r.StartedAt, r.Outcome, r.Done = old.Begun, old.Outcome, old.Done
			r.Resume()
			if r.Done && r.Outcome.NotRun() {
				r.MarkNeverRan()
			}
			if r.Done {
				r.End()
				continue
			}
			c.inHand.Add(1)
			c.watch(r)
		}
		c.feed(topazfall.Event{Kind: topazfall.Resumed, Request: x.Number, Class: x.Class, Tenant: x.Tenant,
			Due: x.Due, Hint: x.Hint, Key: x.Key, Slots: x.Slots, Retry: x.Retry, Tries: b.Tries})
		slog.Info("moved", "id", x.ID, "from", "old", "relays", len(b.Relays))
	}
	return x
}

// AddKnownIDs makes ids known that another process has had.
func (c *Core) AddKnownIDs(ids []string) {
	c.ops <- func() {
		for _, id := range ids {
			if !c.known[id] {
				c.remember(id)
			}
		}
	}
}

func (c *Core) remember(id string) {
	c.number++
	oldest := &c.order[c.number%remembered]
	delete(c.known, *oldest)
	*oldest, c.known[id] = id, true
}

// SetReplaced tells whether another process takes the new messages.
func (c *Core) SetReplaced(by bool) {
	c.ops <- func() {
		e := topazfall.Event{Kind: topazfall.Replaced}
		if by {
			e.Amount = 1
		}
		c.feed(e)
	}
}
