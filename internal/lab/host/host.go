// Package host is a stand-in for a south side host: it takes jobs over HTTP/1.1, counts how often each has run and
// calls back. It listens on several addresses, and each of them fails on cue.
package host

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/valyala/fasthttp"
)

// Fault is how an address behaves.
type Fault int

// The faults.
const (
	Serve         Fault = iota
	Refuse              // connections are refused
	Silent              // connections do not come up, for want of room in the queue of the listener
	AcceptLate          // connections come up at once, but nobody reads them for Options.Late
	ResetUnread         // each connection is reset as soon as it is up
	ResetMidway         // it is reset when the request has begun to come
	ResetWhole          // it is reset when the request has come whole, and the job runs
	ResetJobs           // the same, but what is no job is answered
	ResetAccepted       // it is reset after the 202, and the job runs
	Garbage             // the answer is none
)

var faults = [...]string{"serve", "refuse", "silent", "accept-late", "reset-unread", "reset-midway", "reset-whole",
	"reset-jobs", "reset-accepted", "garbage"}

func (f Fault) String() string { return faults[f] }

// Options say how a host works.
type Options struct {
	Name string
	Dir  string        // of its socket files
	Work time.Duration // that a job takes
	Late time.Duration // of AcceptLate
}

// Host is a running stand-in.
type Host struct {
	o     Options
	doors []*door

	mu   sync.Mutex
	runs map[string]int     // of each id: how often a job of it has begun
	seen map[string][]Sight // of each id: where and when a request began to come
	off  map[string]bool
	last time.Time
	back func(body []byte) error // makes a call-back
}

// Sight is a request that began to come.
type Sight struct {
	Door int
	At   time.Time
}

// door is one address.
type door struct {
	h       *Host
	n       int
	network string
	address string

	mu       sync.Mutex
	fault    Fault
	ln       net.Listener
	full     []net.Conn // what fills the queue of a silent one
	open     map[net.Conn]bool
	accepted int
	closed   bool
}

// Start listens on each address: "127.0.0.1:0", "[::1]:0", or "unix" for a socket file. Call-backs go by back.
func Start(o Options, back func(body []byte) error, listen ...string) (*Host, error) {
	h := &Host{o: o, runs: map[string]int{}, seen: map[string][]Sight{}, off: map[string]bool{}, back: back}
	for i, address := range listen {
		d := &door{h: h, n: i, network: "tcp", address: address, open: map[net.Conn]bool{}}
		if address == "unix" {
			d.network, d.address = "unix", fmt.Sprintf("%s/%s-%d.sock", o.Dir, o.Name, i)
		}
		if err := d.listen(); err != nil {
			h.Close()
			return nil, err
		}
		d.address = d.ln.Addr().String()
		h.doors = append(h.doors, d)
	}
	return h, nil
}

// Name is the host's name.
func (h *Host) Name() string { return h.o.Name }

// Addresses are the addresses in the form of the inventory, in the order of Start.
func (h *Host) Addresses() (list []string) {
	for _, d := range h.doors {
		if d.network == "unix" {
			list = append(list, "unix:"+d.address)
		} else {
			list = append(list, d.address)
		}
	}
	return list
}

// Set makes an address behave so from now on. Connections that are there are reset where it refuses or is silent.
func (h *Host) Set(door int, f Fault) error { return h.doors[door].set(f) }

// Runs is how often a job of this id has begun.
func (h *Host) Runs(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

// Seen tells on which addresses a request of this id began to come, and when.
func (h *Host) Seen(id string) []Sight {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Sight(nil), h.seen[id]...)
}

// Last is when a request last began to come, on any address.
func (h *Host) Last() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last
}

// Accepted is how many connections an address has taken.
func (h *Host) Accepted(door int) int {
	d := h.doors[door]
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.accepted
}

// Close ends the host and its connections.
func (h *Host) Close() {
	for _, d := range h.doors {
		d.mu.Lock()
		d.closed = true
		d.shut()
		d.mu.Unlock()
	}
}

func (d *door) listen() error {
	if d.network == "unix" {
		os.Remove(d.address)
	}
	ln, err := net.Listen(d.network, d.address)
	if err != nil {
		return err
	}
	d.ln = ln
	go d.serve(ln)
	return nil
}

// shut ends the listener and the connections; d.mu is held.
func (d *door) shut() {
	if d.ln != nil {
		d.ln.Close()
		d.ln = nil
	}
	for _, c := range d.full {
		c.Close()
	}
	d.full = nil
	for c := range d.open {
		reset(c)
	}
}

func (d *door) set(f Fault) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.fault == f {
		return nil
	}
	was := d.fault
	d.fault = f
	switch {
	case f == Refuse:
		d.shut()
	case f == Silent:
		d.shut()
		return retaken(d.fill)
	case was == Refuse || was == Silent:
		d.shut()
		return retaken(d.listen)
	}
	return nil
}

// retaken listens at an address again that was given up for a moment. A connection of somebody else's may have its port
// by now, for as long as that lasts.
func retaken(listen func() error) (err error) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = listen(); !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return err
}

// fill makes the address one whose connections do not come up: a listener that accepts nothing, its queue full. A full
// socket file refuses instead of waiting, so that it stays without a listener.
func (d *door) fill() error {
	if d.network == "unix" {
		return nil
	}
	a, err := net.ResolveTCPAddr("tcp", d.address)
	if err != nil {
		return err
	}
	family, sa := syscall.AF_INET, syscall.Sockaddr(nil)
	if ip := a.IP.To4(); ip != nil {
		sa = &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(ip)}
	} else {
		family, sa = syscall.AF_INET6, &syscall.SockaddrInet6{Port: a.Port, Addr: [16]byte(a.IP.To16())}
	}
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, sa)
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		return err
	}
	if d.ln, err = net.FileListener(f); err != nil {
		return err
	}
	for range 16 { // until one does not come up any more
		c, err := net.DialTimeout("tcp", d.address, 30*time.Millisecond)
		if err != nil {
			return nil
		}
		d.full = append(d.full, c)
	}
	return errors.New("the queue of the listener does not fill")
}

func (d *door) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.accepted++
		f := d.fault
		if d.ln != ln || d.closed {
			d.mu.Unlock()
			reset(c)
			continue
		}
		d.open[c] = true
		d.mu.Unlock()
		go func() {
			d.talk(c, f)
			d.mu.Lock()
			delete(d.open, c)
			d.mu.Unlock()
			c.Close()
		}()
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (d *door) faulty() Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault
}

// talk serves one connection. What the address does is asked anew for each request.
func (d *door) talk(c net.Conn, f Fault) {
	switch f {
	case ResetUnread:
		reset(c)
		return
	case AcceptLate:
		time.Sleep(d.h.o.Late)
	}
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		var req fasthttp.Request
		if err := req.Header.Read(in); err != nil {
			return
		}
		id := string(req.Header.Peek("X-Request-Id"))
		job := id != "" && req.Header.IsPost()
		if job {
			d.h.sight(id, d.n, at)
		}
		f := d.faulty()
		if f == ResetMidway {
			reset(c)
			return
		}
		if err := req.ContinueReadBody(in, 1<<20); err != nil {
			return
		}
		if f == Garbage {
			if job {
				d.h.run(id, false)
			}
			io.WriteString(c, "\x00\x01 this is no answer\r\n\r\n")
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		switch path := string(req.Header.RequestURI()); {
		case strings.HasPrefix(path, "/jobs/"):
			d.h.callOff(strings.TrimPrefix(path, "/jobs/"))
		case job:
			d.h.run(id, f != ResetWhole && f != ResetJobs)
			answer = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
		}
		if f == ResetWhole || f == ResetJobs && job {
			reset(c)
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if f == ResetAccepted && job {
			time.Sleep(time.Millisecond) // a reset may overtake what was written
			reset(c)
			return
		}
	}
}

func (h *Host) sight(id string, door int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen[id] = append(h.seen[id], Sight{door, at})
	if at.After(h.last) {
		h.last = at
	}
}

// run begins a job, which calls back when it is done if tells is set.
func (h *Host) run(id string, tells bool) {
	h.mu.Lock()
	h.runs[id]++
	h.mu.Unlock()
	if !tells {
		return
	}
	time.AfterFunc(h.o.Work, func() {
		h.mu.Lock()
		off := h.off[id]
		h.mu.Unlock()
		if off {
			return
		}
		body, _ := jsoniter.Marshal(map[string]string{"id": id, "from": h.o.Name, "state": "done",
			"result": h.o.Name + " " + strconv.Itoa(len(id))})
		for range 10 {
			if h.back(body) == nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (h *Host) callOff(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.off[id] = true
}
