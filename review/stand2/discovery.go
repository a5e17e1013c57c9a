package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// newHost returns a warm worker's entry.
func newHost(name, dial string) host {
	return host{Host: name, Dial: dial, Site: "hall-a", Class: "large", Block: 1, Health: "up", Share: 1}
}

// change is one change of the list.
type change struct {
	seq   int64
	entry host
}

// discovery is the agent on the dispatcher's machine: it answers at once with what it has, and a watch when there is
// something newer or when its wait is over.
type discovery struct {
	bench   *bench
	address string

	listener net.Listener
	server   *http.Server
	// intercept answers a call in place of the list, and reports whether it did; nil for none.
	intercept func(http.ResponseWriter, *http.Request) bool

	mu      sync.Mutex
	seq     int64
	hosts   map[string]host
	order   []string
	changes []change
	changed chan struct{}
	callers map[string]caller // by address
}

// caller is what was last asked from an address, and told there.
type caller struct {
	at  time.Time
	seq int64
}

// startDiscovery serves a list, whose version is 1.
func (b *bench) startDiscovery(hosts []host) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{bench: b, address: ln.Addr().String(), seq: 1, hosts: map[string]host{},
		changed: make(chan struct{}), callers: map[string]caller{}}
	for _, h := range hosts {
		d.hosts[h.Host] = h
		d.order = append(d.order, h.Host)
	}
	d.listener, d.server = ln, &http.Server{Handler: d.handler()}
	go d.server.Serve(ln)
	return d, nil
}

// handler serves the list.
func (d *discovery) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/endpoints", d.serve)
	return mux
}

// set makes changes, all under one new version.
func (d *discovery) set(hosts ...host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, h := range hosts {
		if h.Health == "removed" {
			delete(d.hosts, h.Host)
		} else {
			if _, known := d.hosts[h.Host]; !known {
				d.order = append(d.order, h.Host)
			}
			d.hosts[h.Host] = h
		}
		d.changes = append(d.changes, change{d.seq, h})
	}
	if len(d.changes) > 20000 {
		d.changes = append([]change(nil), d.changes[len(d.changes)-10000:]...)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// serve answers one call.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	if d.intercept != nil && d.intercept(w, r) {
		return
	}
	d.mu.Lock()
	d.callers[r.RemoteAddr] = caller{time.Now(), d.callers[r.RemoteAddr].seq}
	d.mu.Unlock()
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	whole := err != nil
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for !whole {
		d.mu.Lock()
		seq, changed := d.seq, d.changed
		d.mu.Unlock()
		if seq > after {
			break
		}
		over := false
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			over = true
		}
		if over {
			break
		}
	}
	w.Header().Set("Content-Type", "application/json")
	d.mu.Lock()
	seq := d.seq
	d.mu.Unlock()
	if _, err := w.Write(d.answer(after, whole)); err != nil {
		return
	}
	http.NewResponseController(w).Flush()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callers[r.RemoteAddr] = caller{d.callers[r.RemoteAddr].at, seq}
}

// watching returns the addresses that have called within the last 1.5 s: a watch is called again at least as often.
func (d *discovery) watching() (addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, c := range d.callers {
		if time.Since(c.at) < 1500*time.Millisecond {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// told reports whether the present version was written to all of these addresses.
func (d *discovery) told(addresses []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses {
		if d.callers[address].seq < d.seq {
			return false
		}
	}
	return true
}

// answer returns the whole list or the changes after a version.
func (d *discovery) answer(after int64, whole bool) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.changes) > 0 && after < d.changes[0].seq-1 {
		whole = true
	}
	entries := []host{}
	if whole {
		for _, name := range d.order {
			if h, listed := d.hosts[name]; listed {
				entries = append(entries, h)
			}
		}
	} else {
		for _, c := range d.changes {
			if c.seq > after {
				entries = append(entries, c.entry)
			}
		}
	}
	text, _ := json.Marshal(map[string]any{"seq": d.seq, "whole": whole, "hosts": entries})
	return text
}
