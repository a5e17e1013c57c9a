// Package main plays case 3: the answer to the call that reports a job as lost does not arrive, and the call is made
// again while the next attempt runs at the same worker.
package main

import (
	"time"

	"topazfall/review/stand"
)

const (
	killedAfter = 200 * time.Millisecond // the first attempt is killed
	jobTime     = 600 * time.Millisecond
)

func main() { stand.Main(play) }

func play(c *stand.Case) error {
	job := func(_ string, number int) stand.Job {
		if number == 0 {
			return stand.Job{Duration: killedAfter, EndState: "lost"}
		}
		return stand.Job{Duration: jobTime}
	}
	worker, err := c.AddWorker("s-1", "up", job)
	if err != nil {
		return err
	}
	if _, err := c.AddWorker("s-2", "draining", job); err != nil {
		return err
	}
	p, err := c.Start("", stand.SmallSite)
	if err != nil {
		return err
	}
	proxy, err := stand.StartProxy(p.Address(), c.Record)
	if err != nil {
		return err
	}
	defer proxy.Close()
	worker.SetCallbacks(proxy.Address())
	if c.Trouble {
		proxy.LoseAnswer(`"lost"`)
	}
	reply := stand.Send(p.Address(), stand.Request{ID: "0d", Class: "lookup", Tenant: "delta-mobile",
		Timeout: 5 * time.Second, Cost: jobTime, Body: "lookup"}, c.Record)
	time.Sleep(2 * jobTime)
	attempts := c.Attempts(reply.ID)
	c.Record.Print("client: %d %q; attempts: %d", reply.Status, reply.Body, len(attempts))
	for i, later := range attempts {
		for k, earlier := range attempts[:i] {
			if earlier.Worker == later.Worker && !earlier.IsOver(later.Arrived) {
				c.Break("attempt %d came to %s while attempt %d had neither ended nor been given up", i, later.Worker,
					k)
			}
		}
	}
	return nil
}
