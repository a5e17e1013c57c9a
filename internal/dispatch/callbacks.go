package dispatch

// What hosts tell of jobs.

import (
	"topazfall"
	"topazfall/internal/exchange"
)

// State is what a host says of a job.
type State int

// The states that hosts tell of.
const (
	Started State = iota
	Running
	Over
)

// Note is one call-back of a host.
type Note struct {
	ID, From string
	State    State
	Share    float64
	Outcome  topazfall.Outcome // of Over
	Result   []byte
	Load     topazfall.Load
}

// Noted takes a call-back. It may come before the host's answer to the relay, come again, or be about an
// earlier life of this dispatcher: it counts only for a relay that is still out at the host it comes from.
func (c *Core) Noted(n Note) { c.ops <- func() { c.note(n) } }

// Take is Noted, and tells whether the message is in hand here.
func (c *Core) Take(n Note) bool {
	taken := make(chan bool, 1)
	c.ops <- func() {
		taken <- c.byID[n.ID] != nil
		c.note(n)
	}
	return <-taken
}

func (c *Core) note(n Note) {
	r := c.find(n.ID, n.From)
	if r == nil {
		return
	}
	e := topazfall.Event{Request: r.Exchange.Number, Attempt: r.N, Worker: r.Host.ID, Amount: n.Share}
	switch n.State {
	case Started:
		e.Kind = topazfall.JobStarted
		if r.Begun == 0 {
			r.Begun = c.Now()
		}
		c.feed(e)
	case Running:
		e.Kind = topazfall.JobProgress
		c.feed(e)
	case Over:
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
