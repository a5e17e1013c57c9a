package dispatch

// What hosts tell of jobs.

import (
	"topazfall"
	"topazfall/internal/exchange"
)

// JobState is what a host says of a job.
type JobState int

// The states that hosts tell of.
const (
	Started JobState = iota
	Running
	Finished
)

// Callback is one call-back of a host.
type Callback struct {
	ID, From string
	State    JobState
	Progress float64
	Outcome  topazfall.Outcome // of Over
	Result   []byte
	Load     topazfall.Load
}

// PostCallback takes a call-back. It may come before the host's answer to the relay, come again, or be about an
// earlier life of this dispatcher: it counts only for a relay that is still out at the host it comes from.
func (c *Core) PostCallback(n Callback) { c.ops <- func() { c.note(n) } }

// HandleCallback is Noted, and tells whether the message is in hand here.
func (c *Core) HandleCallback(n Callback) bool {
	taken := make(chan bool, 1)
	c.ops <- func() {
		taken <- c.byID[n.ID] != nil
		c.note(n)
	}
	return <-taken
}

func (c *Core) note(n Callback) {
	r := c.find(n.ID, n.From)
	if r == nil {
		return
	}
	e := topazfall.Event{Request: r.Exchange.Number, Attempt: r.Index, Worker: r.Host.ID, Amount: n.Progress}
	switch n.State {
	case Started:
		e.Kind = topazfall.JobStarted
		if r.StartedAt == 0 {
			r.StartedAt = c.Now()
		}
		c.feed(e)
	case Running:
		e.Kind = topazfall.JobProgress
		c.feed(e)
	case Finished:
		c.end(r, n.Outcome, n.Load, n.Result)
	}
}

func (c *Core) find(id, host string) *exchange.Relay {
	if x := c.byID[id]; x != nil {
		for _, r := range x.Relays {
			if !r.Done && r.Host.ID == host {
				return r
			}
		}
	}
	return nil
}
