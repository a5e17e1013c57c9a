package main

import (
	"fmt"
	"net/http"
	"time"
)

// refusalAfter is how long discovery lets the one call wait that it refuses for want of room.
const refusalAfter = 600 * time.Millisecond

// refusedOnce is the case of a discovery that refuses one call for want of room and answers all others at once.
func refusedOnce(b *bench) (ruleBroken bool, err error) {
	listen := freeAddress()
	workers, hosts, err := b.startWorkers(3, func(string) string { return listen },
		byClass(100*time.Millisecond, 1200*time.Millisecond))
	if err != nil {
		return false, err
	}
	d, err := b.startDiscovery(hosts)
	if err != nil {
		return false, err
	}
	refused := make(chan struct{})
	first := true
	d.intercept = func(w http.ResponseWriter, r *http.Request) bool {
		d.mu.Lock()
		refuse := first
		first = false
		d.mu.Unlock()
		b.note("discovery is called: %s", r.URL)
		if !refuse {
			return false
		}
		defer close(refused)
		if !b.trouble {
			return false
		}
		time.Sleep(refusalAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		b.note("discovery refuses this call after %v, for want of room", refusalAfter)
		return true
	}
	config := b.writeConfig("n0", d.address, object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, hosts,
		func(settings object) { settings["discovery"], settings["replicas_of_me"] = "subscribe", 300 })
	p, err := b.startDispatcher(dispatcherOptions{run: "exec bin/topazfall", name: "n0", listen: listen,
		management: freeAddress(), config: config})
	if err != nil {
		return false, err
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		b.load(listen, stop)
	}()
	<-refused
	time.Sleep(100 * time.Millisecond)
	drains := hosts[2]
	drains.Health = "draining"
	d.set(drains)
	hadAt := time.Now()
	told := hadAt.Add(6 * time.Second)
	b.note("discovery has it that %s drains, and can be reached: it counts as told in 6 s", drains.Host)
	time.Sleep(time.Until(told.Add(grace + 1500*time.Millisecond)))
	lost := workers[2].shutDown(told.Add(grace))
	time.Sleep(5 * time.Second)
	close(stop)
	<-ended
	b.copyLog(p, "at=inventory", "at=main")
	late := workers[2].count("", told.Add(grace))
	b.note("attempts at %s later than 6 s and %v after discovery had its drain: %d", drains.Host, grace, late)
	b.note("jobs among these that were lost when %s ended: %d", drains.Host, lost)
	if workers[2].count("", time.Time{}) == 0 {
		return false, fmt.Errorf("%s got nothing at all", drains.Host)
	}
	if late > 0 {
		b.note("BROKEN: a draining worker got new work")
	}
	return late > 0, nil
}
