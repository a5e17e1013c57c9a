package main

import (
	"fmt"
	"io"
	"net"
	"time"
)

// lostTwice is the case of a job that is killed at its worker, whose call-back about it has to be made again because
// the connection broke before the answer to it came back.
func lostTwice(b *bench) (ruleBroken bool, err error) {
	listen := freeAddress()
	proxy, err := b.startAnswerLoser(listen)
	if err != nil {
		return false, err
	}
	result := func(a *attempt) string { return fmt.Sprintf("records of %s", a.body) }
	id := "9b1f03aa5c7e2d41"
	w1, err := b.startWorker("w1", "127.0.0.1:0", func(string) string { return listen }, func(w *worker, a *attempt) {
		if a.id != id || a.number > 0 {
			run(1500*time.Millisecond, result)(w, a)
			return
		}
		w.tell(listen, a, "started", nil)
		time.Sleep(300 * time.Millisecond)
		b.note("the first attempt of %s is killed at w1", a.id)
		w.end(a)
		to := listen
		if b.trouble {
			to = proxy
		}
		w.tell(to, a, "lost", nil)
	})
	if err != nil {
		return false, err
	}
	w2, err := b.startWorker("w2", "127.0.0.1:0", func(string) string { return listen }, run(time.Second, result))
	if err != nil {
		return false, err
	}
	draining := newHost("w2", w2.address)
	draining.Health = "draining"
	hosts := []host{newHost("w1", w1.address), draining}
	d, err := b.startDiscovery(hosts)
	if err != nil {
		return false, err
	}
	config := b.writeConfig("n0", d.address, object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, hosts, nil)
	p, err := b.startDispatcher(dispatcherOptions{run: "exec bin/topazfall", name: "n0", listen: listen,
		management: freeAddress(), config: config})
	if err != nil {
		return false, err
	}
	a := b.send(newClient(), listen, job{id: id, class: "lookup", tenant: "delta-mobile", timeout: 5 * time.Second,
		body: []byte("subscriber")})
	b.note("the client got %d %q after %v (%v)", a.status, a.body, a.took.Round(time.Millisecond), a.err)
	time.Sleep(500 * time.Millisecond)
	b.copyLog(p, "at=relay", "at=answer")
	if w1.count(id, time.Time{}) < 2 {
		return false, fmt.Errorf("the job was not sent again after it was lost")
	}
	w1.mu.Lock()
	defer w1.mu.Unlock()
	for _, a := range w1.attempts {
		if a.beside > 0 {
			b.note("BROKEN: w1 got attempt %d of %s while an earlier one had neither ended nor been given up",
				a.number+1, a.id)
			ruleBroken = true
		}
	}
	return ruleBroken, nil
}

// startAnswerLoser starts a proxy that passes one request to an address and cuts the client's connection when the
// answer has come back, so that the answer is lost.
func (b *bench) startAnswerLoser(to string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				server, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer server.Close()
				go io.Copy(server, c)
				first := make([]byte, 4096)
				n, _ := server.Read(first)
				b.note("the proxy cuts the connection in place of the answer %.15q", first[:n])
				c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return ln.Addr().String(), nil
}
