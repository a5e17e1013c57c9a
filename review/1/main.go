// Package main plays case 1: while one process replaces another, a bad client uses the id of another client's open
// request.
package main

import (
	"fmt"
	"net"
	"time"

	"topazfall/review/stand"
)

const (
	connectTimeout = time.Second
	jobTime        = 1500 * time.Millisecond
	termDelay      = 100 * time.Millisecond // from the new process's yes to SIGTERM
	settleTime     = 50 * time.Millisecond  // at least, from the bad client's request to SIGTERM, on a slow machine
	killDelay      = 3700 * time.Millisecond
)

func main() { stand.Main(play) }

func play(c *stand.Case) error {
	// The bad client's job, if it runs, is a longer one.
	job := func(_ string, number int) stand.Job { return stand.Job{Duration: jobTime * time.Duration(1+number)} }
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		if _, err := c.AddWorker(name, "up", job); err != nil {
			return err
		}
	}
	old, err := c.Start("", stand.SmallSite)
	if err != nil {
		return err
	}
	conn, err := net.DialTimeout("tcp", old.Address(), connectTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	if first := stand.SendOn(conn, request("0a", "first of the good client"), c.Record); first.Status != 200 {
		return fmt.Errorf("the first request was answered with %d", first.Status)
	}
	if c.Trouble { // from the yes on the new process accepts all connections; the old one keeps those that it has
		if _, err := c.Start(old.Address(), stand.SmallSite); err != nil {
			return err
		}
	}
	ready := time.Now()
	good, bad := make(chan stand.Reply, 1), make(chan stand.Reply, 1)
	go func() { good <- stand.SendOn(conn, request("0b", "of the good client"), c.Record) }()
	if !c.AwaitAttempts("0b", 1) {
		return fmt.Errorf("the good client's job has not reached a worker")
	}
	go func() { bad <- stand.Send(old.Address(), request("0b", "of the bad client"), c.Record) }()
	time.Sleep(max(time.Until(ready.Add(termDelay)), settleTime))
	if c.Trouble {
		if _, err := c.Terminate(old, killDelay); err != nil {
			return err
		}
	}
	judge(c, <-good, <-bad)
	return nil
}

func request(id, body string) stand.Request {
	return stand.Request{ID: id, Class: "dispute-extract", Tenant: "delta-mobile", Timeout: 25 * time.Second,
		Cost: jobTime, Body: body}
}

// judge checks what clients and workers have seen. Rule lost: the bad client must not be served. Rule duplicate: no
// attempt comes to a worker at which an earlier one of this id has neither ended nor been given up.
func judge(c *stand.Case, good, bad stand.Reply) {
	attempts := c.Attempts(good.ID)
	c.Record.Print("good client: %d %q; bad client: %d %q; attempts: %d", good.Status, good.Body, bad.Status, bad.Body,
		len(attempts))
	if bad.Status == 200 {
		c.Break("lost: the bad client was served with %q in place of an error", bad.Body)
	}
	for i, later := range attempts {
		for _, earlier := range attempts[:i] {
			if earlier.Worker == later.Worker && !earlier.IsOver(later.Arrived) {
				c.Break("duplicate: %s got %q under the open request's id, while %q runs there", later.Worker,
					later.Body, earlier.Body)
			}
		}
	}
}
