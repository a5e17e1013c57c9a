// Package main plays case 3: requests that slow clients write across a replacement of the process reach workers that
// hang through it.
package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"topazfall/review/stand"
)

const (
	connectTimeout = time.Second
	jobTime        = 500 * time.Millisecond
	termDelay      = 100 * time.Millisecond  // from the new process's yes to SIGTERM
	killDelay      = 3700 * time.Millisecond // from SIGTERM: 3 s, as the longest deadline is longer, and 0.7 s
	pieces         = 4                       // of a request
	pieceGap       = 900 * time.Millisecond
	clientTimeout  = 12 * time.Second
	graceTime      = 550 * time.Millisecond // after the client's time: 0.5 s, and 50 ms as for every time limit
	excusedTime    = 750 * time.Millisecond // after SIGTERM: 0.7 s, and 50 ms as for every time limit
	numWorkers     = 4
	numHanging     = 2 // "a quarter to a half of the workers"
	numClients     = 4
)

func main() { stand.Main(play) }

func play(c *stand.Case) error {
	job := func(string, int) stand.Job { return stand.Job{Duration: jobTime} }
	var workers []*stand.Worker
	for i := range numWorkers {
		w, err := c.AddWorker(fmt.Sprintf("s-%d", i), "up", job)
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	old, err := c.Start("", stand.SmallSite)
	if err != nil {
		return err
	}
	var conns []net.Conn
	for i := range numClients { // each has its connection, and has had an answer on it
		conn, err := net.DialTimeout("tcp", old.Address(), connectTimeout)
		if err != nil {
			return err
		}
		defer conn.Close()
		if first := stand.SendOn(conn, request("a", i), c.Record); first.Status != 200 {
			return fmt.Errorf("request %s was answered with %d", first.ID, first.Status)
		}
		conns = append(conns, conn)
	}
	replies := make([]stand.Reply, numClients)
	var clients sync.WaitGroup
	for i, conn := range conns {
		clients.Go(func() { replies[i] = stand.SendSlowly(conn, request("b", i), pieces, pieceGap, c.Record) })
	}
	time.Sleep(termDelay)
	if _, err := c.Start(old.Address(), stand.SmallSite); err != nil {
		return err
	}
	for _, w := range workers[:numHanging] {
		w.SetHanging(c.Trouble)
	}
	time.Sleep(termDelay)
	term, err := c.Terminate(old, killDelay)
	if err != nil {
		return err
	}
	clients.Wait()
	judged := 0
	for _, r := range replies {
		if judge(c, r, term) {
			judged++
		}
	}
	if judged == 0 {
		return fmt.Errorf("all requests are excused")
	}
	return nil
}

func request(prefix string, i int) stand.Request {
	return stand.Request{ID: fmt.Sprintf("%s%d", prefix, i), Class: "dispute-extract", Tenant: "delta-mobile",
		Timeout: clientTimeout, Cost: jobTime, Body: "a dispute"}
}

// judge checks that a request that was taken has its final answer, in time, and reports whether it could be judged.
// Excused are a request that was not written whole; one that the dispatcher has not read, which its client sends once
// more; and one that the kill finds unanswered, if it came within 0.7 s after SIGTERM.
func judge(c *stand.Case, r stand.Reply, term time.Time) (judged bool) {
	isRead, came := len(c.Attempts(r.ID)) > 0, r.Sent.Sub(term)
	c.Record.Print("%s: whole %v after SIGTERM, read %v, answered %d %q %v later, error %v", r.ID,
		came.Round(time.Millisecond), isRead, r.Status, r.Body, r.Ended.Sub(r.Sent).Round(time.Millisecond), r.Err)
	switch {
	case r.Unsent, r.Status == 0 && !isRead, r.Status == 0 && came <= excusedTime:
		c.Record.Print("%s: excused", r.ID)
		return false
	case r.Status == 0:
		c.Break("%s was read whole, and its connection ended with no answer", r.ID)
	case r.Ended.Sub(r.Sent) > clientTimeout+graceTime:
		c.Break("%s was answered too late", r.ID)
	case r.Status == 200 && !c.IsResult(r.ID, r.Body):
		c.Break("%s was served with what no worker made for it", r.ID)
	}
	return true
}
