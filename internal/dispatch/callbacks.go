package dispatch

// Callbacks of hosts about the state of jobs.

import (
	"topazfall"
	"topazfall/internal/exchange"
)

// JobState is the state of a job that a host (worker) reports.
type JobState int

// The states that hosts report.
const (
	Started JobState = iota
	Running
	Finished
)

// Callback is one callback of a host about a job.
type Callback struct {
	ID, From string // the message's id and the host's
	State    JobState
	Progress float64           // the share of the job that is done
	Outcome  topazfall.Outcome // if State is Finished
	Result   []byte
	Load     topazfall.Load
}

// PostCallback queues a callback and returns. A callback may arrive before the host's answer to the relay (attempt),
// may be repeated, or may be about a relay of an earlier process. It counts only for an open relay at the host that
// sent it.
func (c *Core) PostCallback(callback Callback) { c.ops <- func() { c.applyCallback(callback) } }

// HandleCallback applies a callback like PostCallback, waits for it, and reports whether the message is in flight here.
func (c *Core) HandleCallback(callback Callback) bool {
	return await(c, func() (taken bool) {
		taken = c.byID[callback.ID] != nil
		c.applyCallback(callback)
		return taken
	})
}

func (c *Core) applyCallback(callback Callback) {
	r := c.findRelay(callback.ID, callback.From)
	if r == nil {
		return
	}
	event := topazfall.Event{Request: r.Exchange.Number, Attempt: r.Index, Worker: r.Host.ID, Amount: callback.Progress}
	switch callback.State {
	case Started:
		event.Kind = topazfall.JobStarted
		if r.StartedAt == 0 {
			r.StartedAt = c.Now()
		}
		c.queueEvent(event)
	case Running:
		event.Kind = topazfall.JobProgress
		c.queueEvent(event)
	case Finished:
		c.endRelay(r, callback.Outcome, callback.Load, callback.Result)
	}
}

func (c *Core) findRelay(id, host string) *exchange.Relay {
	if x := c.byID[id]; x != nil {
		for _, r := range x.Relays {
			if !r.Done && r.Host.ID == host {
				return r
			}
		}
	}
	return nil
}
