package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	askedDispatchers = 20 // of the 60 that the settings name
	askedLoadEvery   = 100 * time.Millisecond
	boundAfterYes    = 2 * time.Second // what discovery reports becomes binding then
	endAfterYes      = 4 * time.Second // when the draining workers, which have long done what they had, end
)

// askedList is the case of a replacement where lists have to be asked for.
func askedList(b *bench) (ruleBroken bool, err error) {
	var options [askedDispatchers]dispatcherOptions
	report := func(id string) string {
		var n int
		fmt.Sscanf(id, "a%02d", &n)
		return options[n%askedDispatchers].listen
	}
	workers, hosts, err := b.startWorkers(5, report, byClass(20*time.Millisecond, 1200*time.Millisecond))
	if err != nil {
		return false, err
	}
	d, err := b.startDiscovery(hosts)
	if err != nil {
		return false, err
	}
	old, err := b.startAsking(options[:], d.address, hosts)
	if err != nil {
		return false, err
	}
	time.Sleep(7 * time.Second) // each has read the list, and watches it
	stop := make(chan struct{})
	for n := range options {
		go b.quietLoad(options[n].listen, fmt.Sprintf("a%02d", n), "lookup", stop)
		go b.quietLoad(options[n].listen, fmt.Sprintf("a%02dd", n), "dispute-extract", stop)
	}
	time.Sleep(2 * time.Second)
	watching := d.watching()
	if len(watching) != askedDispatchers {
		return false, fmt.Errorf("%d of %d watch the list", len(watching), askedDispatchers)
	}
	if b.trouble {
		if err := b.startSuccessors(options[:]); err != nil {
			return false, err
		}
	}
	yes := time.Now()
	first, second := hosts[3], hosts[4]
	first.Health, second.Health = "draining", "draining"
	d.set(first, second)
	b.note("discovery tells all who watch that %s and %s drain, the old processes among them", first.Host, second.Host)
	time.Sleep(100 * time.Millisecond)
	if !d.told(watching) {
		return false, fmt.Errorf("the drain was not written to each of the old processes")
	}
	b.note("discovery has written it to all %d old processes", len(watching))
	for _, p := range old {
		if b.trouble {
			b.note("SIGTERM to the old process %d", p.Process.Pid)
			p.Process.Signal(syscall.SIGTERM)
		}
	}
	time.Sleep(time.Until(yes.Add(endAfterYes)))
	bound, lost := yes.Add(boundAfterYes+grace), 0
	for _, w := range workers[3:] {
		lost += w.shutDown(bound)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	time.Sleep(200 * time.Millisecond)
	b.copyLogs("at=inventory", "at=takeover", "at=main")
	late := 0
	for _, w := range workers[3:] {
		n := w.count("", bound)
		b.note("attempts at %s: %d before the last yes, %d later than 2 s and %v after it", w.name,
			w.count("", time.Time{})-w.count("", yes), n, grace)
		late += n
	}
	b.note("jobs among these that were lost when their worker ended: %d", lost)
	if late > 0 {
		b.note("BROKEN: a draining worker got new work")
	}
	return late > 0, nil
}

// startAsking starts the dispatchers, which ask for their lists, and fills in how each is started.
func (b *bench) startAsking(options []dispatcherOptions, discovery string, hosts []host) (old []*process, err error) {
	for n := range options {
		name := fmt.Sprintf("n%d", n)
		config := b.writeConfig(name, discovery, object{"cores": 1.0, "memory_mb": 96, "sockets": 512}, hosts,
			func(settings object) {
				settings["discovery"], settings["replicas_of_me"], settings["me"] = "subscribe", 60, n*3
			})
		options[n] = dispatcherOptions{run: "exec bin/topazfall", name: name, listen: freeAddress(),
			management: freeAddress(), config: config}
		p, err := b.startDispatcher(options[n])
		if err != nil {
			return nil, err
		}
		old = append(old, p)
	}
	return old, nil
}

// startSuccessors starts a new process beside each, and waits until all of them say yes.
func (b *bench) startSuccessors(options []dispatcherOptions) error {
	for n := range options {
		options[n].management = freeAddress()
		if _, err := b.startDispatcher(options[n]); err != nil {
			return err
		}
	}
	return nil
}

// deadlines are the whole times that clients wait, by class.
var deadlines = map[string]time.Duration{"lookup": 5 * time.Second, "dispute-extract": 25 * time.Second}

// quietLoad sends jobs of a class, one after the other, and records those that get no result.
func (b *bench) quietLoad(listen, prefix, class string, stop <-chan struct{}) {
	client, results := newClient(), 0
	defer func() { b.note("client %s got %d results", prefix, results) }()
	for n := 1; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(askedLoadEvery):
		}
		j := job{id: fmt.Sprintf("%s%012x", prefix, n), class: class, tenant: "delta-mobile",
			timeout: deadlines[class], body: []byte("subscriber")}
		if a := b.send(client, listen, j); a.status != http.StatusOK {
			b.note("client got %d %q for %s (%v)", a.status, strings.TrimSpace(a.body), j.id, a.err)
		} else {
			results++
		}
	}
}
