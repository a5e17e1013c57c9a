package dispatch

// What goes from a process to the one that replaces it: messages in hand, ids, and what was learned.

import (
	"log/slog"
	"slices"

	"topazfall"
	"topazfall/internal/exchange"
)

// Legacy is what another process needs to go on in this one's place.
type Legacy struct {
	Known  []string // ids, the oldest first
	Memory topazfall.Memory
}

// Legacy returns what there is now.
func (c *Core) Legacy() Legacy {
	l := make(chan Legacy, 1)
	c.ops <- func() {
		out := Legacy{Memory: c.balancer.Memory()}
		for i := range uint64(remembered) {
			if id := c.order[(c.number+1+i)%remembered]; id != "" {
				out.Known = append(out.Known, id)
			}
		}
		l <- out
	}
	return <-l
}

// Inherit goes on with a legacy. The list that it speaks of must have come before.
func (c *Core) Inherit(l Legacy) {
	c.Learn(l.Known)
	c.Sync() // the list is with the module
	c.ops <- func() { c.balancer.Inherit(c.Now(), l.Memory) }
}

// Begun is a message in hand that goes from one process to another.
type Begun struct {
	exchange.Message
	ClassIs topazfall.Class // it may be gone from the settings
	Of      string          // the tenant's name, if it has one
	Relays  []BegunRelay
	Tries   []topazfall.Try
}

// BegunRelay is one of its relays.
type BegunRelay struct {
	Host, Addr       string
	Sent, Begun, Due int64
	Outcome          topazfall.Outcome
	Done             bool
}

// HandOver gives a message in hand away by means of to, and tells whether it is gone. One that is over is not, nor one
// of which a relay is still between here and its host. As to is called from the dispatch goroutine, all that is told of
// the message comes either before it or finds it no more.
func (c *Core) HandOver(x *exchange.Exchange, to func(Begun) error) bool {
	gone := make(chan bool, 1)
	c.ops <- func() { gone <- c.handOver(x, to) }
	return <-gone
}

func (c *Core) handOver(x *exchange.Exchange, to func(Begun) error) bool {
	if x.Over() || c.byNum[x.Number] != x {
		return false
	}
	b := Begun{Message: x.Message, ClassIs: c.classes[x.Class], Tries: c.balancer.Tries(x.Number)}
	if x.Tenant >= 0 {
		b.Of = c.tenants[x.Tenant].Name
	}
	for _, r := range x.Relays {
		if !r.Done && !r.Accepted() {
			return false
		}
		b.Relays = append(b.Relays, BegunRelay{r.Host.ID, r.Host.Addr, r.Sent, r.Begun, r.Due, r.Outcome, r.Done})
	}
	if len(b.Tries) != len(b.Relays) || to(b) != nil { // what is queued for the module comes first
		return false
	}
	c.finish(x, exchange.Answer{Verdict: exchange.Moved})
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
func (c *Core) Resume(b Begun, client exchange.Client) *exchange.Exchange {
	x := exchange.For(client, b.Message)
	x.Look()
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
			c.finish(x, exchange.Answer{Verdict: exchange.Failed})
			return
		}
		c.remember(x.ID)
		x.Number = c.number
		c.byID[x.ID], c.byNum[x.Number] = x, x
		for _, old := range b.Relays {
			h := c.hosts[old.Host]
			if h == nil || !h.Several && h.Addr != old.Addr {
				h = &exchange.Host{ID: old.Host, Addr: old.Addr}
			}
			r := x.Relay(h, old.Sent, old.Due)
			r.Begun, r.Outcome, r.Done = old.Begun, old.Outcome, old.Done
			r.Resume()
			if r.Done && r.Outcome.NotRun() {
				r.NeverRan()
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

// Learn makes ids known that another process has had.
func (c *Core) Learn(ids []string) {
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

// Replaced tells whether another process takes the new messages.
func (c *Core) Replaced(by bool) {
	c.ops <- func() {
		e := topazfall.Event{Kind: topazfall.Replaced}
		if by {
			e.Amount = 1
		}
		c.feed(e)
	}
}
