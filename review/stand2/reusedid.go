package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	openJobTime   = 15 * time.Second // of the running time of the job that must not run twice; its class has 25 s
	floodClients  = 60               // connections of the client that asks again as soon as it is turned away
	floodAsks     = 5000             // that it makes in all
	floodTime     = 8 * time.Second  // after which it stops
	afterFlood    = 2 * time.Second  // of quiet, before the id is used again
	floodPatience = 1 * time.Millisecond
)

// reusedID is case 6. A job that must not run twice is open. A bad client asks again and again, with a new id each
// time, as soon as it is turned away. Then another bad client sends the id of the open job.
func reusedID(b *bench) (ruleBroken bool, err error) {
	listen := freeAddress()
	report := func(string) string { return listen }
	result := func(a *attempt) string { return fmt.Sprintf("extract of %s", a.body) }
	var workers []*worker
	var hosts []host
	for i := range 4 {
		name := fmt.Sprintf("w%d", i+1)
		w, err := b.startWorker(name, "127.0.0.1:0", report, func(w *worker, a *attempt) {
			duration := 300 * time.Millisecond
			if a.class == "dispute-extract" {
				duration = openJobTime
			}
			run(duration, result)(w, a)
		})
		if err != nil {
			return false, err
		}
		workers, hosts = append(workers, w), append(hosts, newHost(name, w.address))
	}
	d, err := b.startDiscovery(hosts)
	if err != nil {
		return false, err
	}
	config := b.writeConfig("n0", d.address, object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, hosts, nil)
	if _, err := b.startDispatcher(dispatcherOptions{run: "exec bin/topazfall", name: "n0", listen: listen,
		management: freeAddress(), config: config}); err != nil {
		return false, err
	}
	open := job{id: "5be2a07c9b1f03aa", class: "dispute-extract", tenant: "delta-mobile", timeout: 25 * time.Second,
		body: []byte("invoice 1")}
	first := make(chan answer, 1)
	b.note("client 1 sends %s, a dispute-extract", open.id)
	due := time.Now().Add(open.timeout)
	go func() { first <- b.send(newClient(), listen, open) }()
	time.Sleep(2 * time.Second)
	if b.trouble {
		b.flood(listen)
	}
	time.Sleep(afterFlood)
	// The bad client's request is its own: another body under the id of client 1's open request.
	bad := open
	bad.body = []byte("invoice 2")
	b.note("a bad client sends %s too, the id of client 1's open request", open.id)
	second := make(chan answer, 1)
	go func() { second <- b.send(newClient(), listen, bad) }()
	a := <-first
	b.note("client 1 got %d %q after %v (%v)", a.status, a.body, a.took.Round(time.Millisecond), a.err)
	if a.status == http.StatusOK && a.body != "extract of invoice 1" {
		b.note("BROKEN: client 1 got what no worker made for its request")
		ruleBroken = true
	}
	sent, done := 0, 0
	for _, w := range workers {
		sent += w.count(open.id, time.Time{})
		done += w.countDone(open.id, "invoice 1", due)
	}
	if done > 0 && a.status != http.StatusOK {
		b.note("BROKEN: the dispatcher took the call that client 1's job is done, and client 1 has no result")
		ruleBroken = true
	}
	ruleBroken = b.judgeBad(<-second) || ruleBroken
	b.note("attempts of %s, which must not run twice, at all workers: %d", open.id, sent)
	if sent == 0 {
		return false, fmt.Errorf("the open job reached no worker: %d", a.status)
	}
	if sent > 1 {
		b.note("BROKEN: it was sent again while its first attempt ran")
		ruleBroken = true
	}
	return ruleBroken, nil
}

// judgeBad reports whether the bad client was served as if its request had run, which breaks the rule. That it is owed
// an error or a close within 3 s has a price only, and is recorded.
func (b *bench) judgeBad(a answer) bool {
	b.note("the bad client got %d %q (%v) after %v", a.status, a.body, a.err, a.took.Round(time.Millisecond))
	if a.status == http.StatusOK {
		b.note("BROKEN: the bad client was served in place of an error")
	}
	return a.status == http.StatusOK
}

// flood lets a client hand in lookups with very little time left, each again under a new id as soon as it is turned
// away.
func (b *bench) flood(listen string) {
	var asked, refused, failed, served atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(floodTime)
	for range floodClients {
		wait.Go(func() {
			client := newClient()
			for time.Now().Before(end) {
				n := asked.Add(1)
				if n > floodAsks {
					return
				}
				a := b.send(client, listen, job{id: fmt.Sprintf("f%015x", n), class: "lookup", tenant: "sinai-tel",
					timeout: floodPatience, body: []byte("subscriber")})
				switch {
				case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
					refused.Add(1)
				case a.status == http.StatusOK:
					served.Add(1)
				default:
					failed.Add(1)
				}
			}
		})
	}
	wait.Wait()
	b.note("the client that asks again got %d refusals, %d failures, %d results, in %v", refused.Load(), failed.Load(),
		served.Load(), (time.Since(end) + floodTime).Round(time.Millisecond))
}
