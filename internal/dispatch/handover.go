package dispatch

// The state that a process passes to its successor: messages in flight, known ids, and the module's memory.

import (
	"log/slog"
	"slices"

	"topazfall"
	"topazfall/internal/decide/ramp"
	"topazfall/internal/exchange"
)

// HandoverState is what a successor needs to continue in the place of this process. Its field names are part of the
// handover format.
type HandoverState struct {
	Known  []string         // known message ids, the oldest first
	Memory topazfall.Memory // what the module has learned about workers and their kinds

	AddressOwners map[string]string // by address: the host that owns it, if several list it
}

// HandoverState returns the current state for a successor.
func (c *Core) HandoverState() HandoverState {
	return await(c, func() HandoverState {
		return HandoverState{Known: c.recentIDsAfter(0), Memory: c.balancer.Memory(),
			AddressOwners: c.claims.Contested()}
	})
}

// RestoreAddressOwners continues with the owners of addresses that a predecessor had. It must be called before the list
// of workers is applied.
func (c *Core) RestoreAddressOwners(state HandoverState) {
	c.listOps <- func() { c.claims.Inherit(state.AddressOwners) }
}

// RestoreState continues with the state of a predecessor. The list of workers that it refers to must have been applied
// before.
func (c *Core) RestoreState(state HandoverState) {
	c.AddKnownIDs(state.Known)
	c.Sync() // now the module has the list
	c.ops <- func() { c.balancer.Restore(c.Now(), state.Memory) }
}

// ColdWork returns the work that was recently sent to the cold workers, by worker.
func (c *Core) ColdWork() map[string]ramp.Log {
	return await(c, c.balancer.ColdWork)
}

// RestoreColdWork continues with what a predecessor has sent to the cold workers. This process must not have sent
// anything.
func (c *Core) RestoreColdWork(sent map[string]ramp.Log) {
	c.ops <- func() { c.balancer.RestoreColdWork(sent) }
}

// InFlightMessage is a message in flight that is handed over to another process. Its field names, and the type name of
// the embedded Message, are part of the handover format.
type InFlightMessage struct {
	exchange.Message
	ClassIs topazfall.Class // the message's own class, whatever the settings tell of that name by now
	Of      string          // the tenant's name, empty if the message has none
	Relays  []InFlightRelay // all relays of the message, in the order they were made
	Tries   []topazfall.Try // the module's record of the same relays
}

// InFlightRelay is one relay (attempt) of an InFlightMessage. Its field names are part of the handover format. Times
// are microseconds of the dispatcher's clock.
type InFlightRelay struct {
	Host, Addr       string            // the host's id and address
	Sent, Begun, Due int64             // when it was made, when the host reported the start (0 before), its deadline
	Outcome          topazfall.Outcome // valid if Done
	Done             bool              // the relay has ended
}

// HandOver hands a message in flight over by calling transfer, and reports whether it did. A message that has its final
// answer stays, and so does one with a relay that its host has not accepted yet. One without any relay goes. As
// transfer is called from the dispatch goroutine, each report about the message is handled either before it or finds
// the message gone.
func (c *Core) HandOver(x *exchange.Exchange, transfer func(InFlightMessage) error) bool {
	return await(c, func() bool { return c.handOver(x, transfer) })
}

func (c *Core) handOver(x *exchange.Exchange, transfer func(InFlightMessage) error) bool {
	if x.IsFinished() || c.byNumber[x.Number] != x {
		return false
	}
	class, known := c.balancer.ClassOf(x.Number)
	if !known {
		return false
	}
	message := InFlightMessage{Message: x.Message, ClassIs: class, Tries: c.balancer.Tries(x.Number)}
	if x.Tenant >= 0 {
		message.Of = c.tenants[x.Tenant].Name
	}
	for _, r := range x.Relays {
		if !r.Done && !r.IsAccepted() {
			return false
		}
		message.Relays = append(message.Relays,
			InFlightRelay{r.Host.ID, r.Host.Addr, r.Sent, r.StartedAt, r.Due, r.Outcome, r.Done})
	}
	// The lengths differ while events for the module are still queued: those come first.
	if len(message.Tries) != len(message.Relays) || transfer(message) != nil {
		return false
	}
	c.finish(x, exchange.Answer{Result: exchange.HandedOver})
	for _, r := range x.Relays {
		if !r.Done {
			r.Done = true
			c.inFlight.Add(-1)
		}
	}
	c.queueEvent(topazfall.Event{Kind: topazfall.HandedOver, Request: x.Number})
	c.removeIfDone(x)
	slog.Info("moved", "id", x.ID, "to", "young")
	return true
}

// Resume continues a message that another process handed over and that a client waits for. The message gets its final
// answer here. If the client has already disconnected, ClientDisconnected must still be called.
func (c *Core) Resume(message InFlightMessage, client exchange.Client) *exchange.Exchange {
	x := exchange.NewForClient(client, message.Message)
	x.CheckDisconnected()
	c.inFlight.Add(1)
	c.metrics.Outstanding.Add(1)
	c.ops <- func() {
		class := c.resumedClass(&message)
		x.Class = c.indexOf(class)
		c.applyClass(x, class)
		if x.Tenant >= 0 { // the index is the other process's
			x.Tenant = slices.IndexFunc(c.tenants, func(t topazfall.Tenant) bool { return t.Name == message.Of })
		}
		c.endClaim(x.ID, c.claiming[x.ID], true)
		if c.byID[x.ID] != nil {
			slog.Warn("moved", "id", x.ID, "error", "already in flight")
			c.finish(x, exchange.Answer{Result: exchange.Failed})
			return
		}
		x.Number = c.addKnownID(knownID{id: x.ID})
		c.byID[x.ID], c.byNumber[x.Number] = x, x
		for _, saved := range message.Relays {
			h := c.hosts[saved.Host]
			if h == nil || !h.MultiAddress && h.Addr != saved.Addr {
				h = &exchange.Host{ID: saved.Host, Addr: saved.Addr}
			}
			r := x.AddRelay(h, saved.Sent, saved.Due)
			r.StartedAt, r.Outcome, r.Done = saved.Begun, saved.Outcome, saved.Done
			r.Resume()
			if r.Done && r.Outcome.NotRun() {
				r.MarkNeverRan()
			}
			if r.Done {
				r.End()
				continue
			}
			c.inFlight.Add(1)
			c.scheduleTimeout(r)
		}
		c.queueEvent(topazfall.Event{Kind: topazfall.Resumed, Request: x.Number, Class: x.Class, OwnClass: class,
			Tenant: x.Tenant, Due: x.Due, Hint: x.Hint, Key: x.Key, Slots: x.Slots, Retry: x.Retry,
			Tries: message.Tries})
		slog.Info("moved", "id", x.ID, "from", "old", "relays", len(message.Relays))
	}
	return x
}

// SetReplaced sets whether a successor accepts the new messages.
func (c *Core) SetReplaced(replaced bool) { c.setPhase(topazfall.Replaced, replaced) }

// SetLeaving sets whether the successor continues the messages in flight. A message that no host has then waits to be
// handed over: this process may be killed before a host would answer.
func (c *Core) SetLeaving(leaving bool) { c.setPhase(topazfall.Leaving, leaving) }

// setPhase passes the begin or the end of a phase of a replacement to the module.
func (c *Core) setPhase(kind topazfall.EventKind, begins bool) {
	event := topazfall.Event{Kind: kind}
	if begins {
		event.Amount = 1
	}
	c.ops <- func() { c.queueEvent(event) }
}
