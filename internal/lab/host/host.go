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
	Serve              Fault = iota
	Refuse                   // connections are refused
	ConnectTimeout           // connections do not come up, for want of room in the queue of the listener
	DelayReading             // connections come up at once, but nobody reads them for Options.Late
	ResetOnAccept            // each connection is reset as soon as it is up
	ResetMidRequest          // it is reset when the request has begun to come
	ResetAfterRequest        // it is reset when the request has come whole, and the job runs
	ResetAfterJob            // the same, but what is no job is answered
	ResetAfterResponse       // it is reset after the 202, and the job runs
	Garbage                  // the answer is none
	Hang                     // jobs are taken, and nothing is ever heard of them
	RejectJobs               // jobs are turned away unstarted
)

var faults = [...]string{"serve", "refuse", "silent", "accept-late", "reset-unread", "reset-midway", "reset-whole",
	"reset-jobs", "reset-accepted", "garbage", "hang", "turn-away"}

func (f Fault) String() string { return faults[f] }

// Options say how a host works.
type Options struct {
	Name        string
	SocketDir   string        // of its socket files
	JobDuration time.Duration // that a job takes
	ReadDelay   time.Duration // of AcceptLate
}

// Host is a running stand-in.
type Host struct {
	o     Options
	doors []*door

	mu   sync.Mutex
	runs map[string]int       // of each id: how often a job of it has begun
	seen map[string][]Arrival // of each id: where and when a request began to come
	all  []*Attempt
	byID map[string][]*Attempt
	last time.Time
	back func(body []byte) error // makes a call-back
}

// Arrival is a request that began to come.
type Arrival struct {
	Endpoint int
	At       time.Time
}

// Attempt is one request for a job, as the host saw it. Times are zero where that did not happen.
type Attempt struct {
	ID          string
	FirstByteAt time.Time     // its first byte came
	LastByteAt  time.Time     // its last byte came: it counts from then on
	Timeout     time.Duration // what the dispatcher said that it will wait
	EndedAt     time.Time     // the host first tried to tell of its end, or reset its connection
	CancelledAt time.Time     // the dispatcher called it off
	Rejected    bool          // the host turned it away unstarted
}

// Attempts are all that have come so far, in the order of their first bytes.
func (h *Host) Attempts() (list []Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.all {
		list = append(list, *a)
	}
	return list
}

// CloseIdle closes the connections to an address that rest now, as a host does that wants room; some see a reset.
func (h *Host) CloseIdle(door int, resets bool) {
	d := h.doors[door]
	d.mu.Lock()
	defer d.mu.Unlock()
	for c, resting := range d.open {
		switch {
		case resting && resets:
			reset(c)
		case resting:
			c.Close()
		}
	}
}

// Crash makes an address refuse connections, as that of a process that dies: what it has in hand ends, and its machine
// tells that it is lost. Set lets it serve again.
func (h *Host) Crash(door int) error {
	var lost []*Attempt
	h.note(func() {
		for _, a := range h.all {
			if a.EndedAt.IsZero() && a.CancelledAt.IsZero() {
				a.EndedAt = time.Now()
				lost = append(lost, a)
			}
		}
	})
	for _, a := range lost {
		go h.tell(map[string]string{"id": a.ID, "from": h.o.Name, "state": "lost"})
	}
	return h.doors[door].set(Refuse)
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
	full     []net.Conn        // what fills the queue of a silent one
	open     map[net.Conn]bool // and whether nothing is under way on it
	accepted int
	closed   bool
}

// Start listens on each address: "127.0.0.1:0", "[::1]:0", or "unix" for a socket file. Call-backs go by back.
func Start(o Options, back func(body []byte) error, listen ...string) (*Host, error) {
	h := &Host{o: o, runs: map[string]int{}, seen: map[string][]Arrival{}, byID: map[string][]*Attempt{}, back: back}
	for i, address := range listen {
		d := &door{h: h, n: i, network: "tcp", address: address, open: map[net.Conn]bool{}}
		if address == "unix" {
			d.network, d.address = "unix", fmt.Sprintf("%s/%s-%d.sock", o.SocketDir, o.Name, i)
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

// SetFault makes an address behave so from now on. Connections that are there are reset where it refuses or is silent.
func (h *Host) SetFault(door int, f Fault) error { return h.doors[door].set(f) }

// RunCount is how often a job of this id has begun.
func (h *Host) RunCount(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runs[id]
}

// Arrivals tells on which addresses a request of this id began to come, and when.
func (h *Host) Arrivals(id string) []Arrival {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Arrival(nil), h.seen[id]...)
}

// LastArrival is when a request last began to come, on any address.
func (h *Host) LastArrival() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last
}

// AcceptedConns is how many connections an address has taken.
func (h *Host) AcceptedConns(door int) int {
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
	case f == ConnectTimeout:
		d.shut()
		return retaken(d.fill)
	case was == Refuse || was == ConnectTimeout:
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
	case ResetOnAccept:
		reset(c)
		return
	case DelayReading:
		time.Sleep(d.h.o.ReadDelay)
	}
	in := bufio.NewReader(c)
	for d.serveOne(c, in) {
	}
}

// serveOne serves the next request of a connection, and tells whether the connection goes on.
func (d *door) serveOne(c net.Conn, in *bufio.Reader) bool {
	d.rests(c, true)
	if _, err := in.Peek(1); err != nil {
		return false
	}
	d.rests(c, false)
	at := time.Now()
	var req fasthttp.Request
	if err := req.Header.Read(in); err != nil {
		return false
	}
	id := string(req.Header.Peek("X-Request-Id"))
	var job *Attempt // nil for what is none
	if id != "" && req.Header.IsPost() {
		job = d.h.sight(id, d.n, at)
	}
	f := d.faulty()
	if f == ResetMidRequest {
		reset(c)
		return false
	}
	if err := req.ContinueReadBody(in, 1<<20); err != nil {
		return false
	}
	if job != nil {
		wait, _ := strconv.Atoi(string(req.Header.Peek("X-Timeout-Ms")))
		d.h.note(func() { job.LastByteAt, job.Timeout = time.Now(), time.Duration(wait)*time.Millisecond })
	}
	if f == Garbage {
		if job != nil {
			d.h.run(job, false)
			d.h.ended(job)
		}
		io.WriteString(c, "\x00\x01 this is no answer\r\n\r\n")
		return false
	}
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	switch path := string(req.Header.RequestURI()); {
	case strings.HasPrefix(path, "/jobs/"):
		d.h.callOff(strings.TrimPrefix(path, "/jobs/"))
	case job != nil && f == RejectJobs:
		d.h.note(func() { job.Rejected, job.EndedAt = true, time.Now() })
		answer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	case job != nil:
		d.h.run(job, f != ResetAfterRequest && f != ResetAfterJob && f != Hang)
		answer = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	}
	if f == ResetAfterRequest || f == ResetAfterJob && job != nil {
		d.h.ended(job)
		reset(c)
		return false
	}
	if _, err := io.WriteString(c, answer); err != nil {
		return false
	}
	if f == ResetAfterResponse && job != nil {
		time.Sleep(time.Millisecond) // a reset may overtake what was written
		reset(c)
		return false
	}
	return true
}

// rests notes whether nothing is under way on a connection.
func (d *door) rests(c net.Conn, resting bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, open := d.open[c]; open {
		d.open[c] = resting
	}
}

func (h *Host) sight(id string, door int, at time.Time) *Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen[id] = append(h.seen[id], Arrival{door, at})
	if at.After(h.last) {
		h.last = at
	}
	a := &Attempt{ID: id, FirstByteAt: at}
	h.all, h.byID[id] = append(h.all, a), append(h.byID[id], a)
	return a
}

// note changes what is known of an attempt.
func (h *Host) note(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// ended notes that an attempt, if it is one, ends now.
func (h *Host) ended(a *Attempt) {
	if a != nil {
		h.note(func() { a.EndedAt = time.Now() })
	}
}

// Result is the result that the host calls back for a job.
func (h *Host) Result(id string) string { return h.o.Name + " " + id }

// run begins a job, which calls back when it is done if tells is set.
func (h *Host) run(a *Attempt, tells bool) {
	h.mu.Lock()
	h.runs[a.ID]++
	h.mu.Unlock()
	if !tells {
		return
	}
	time.AfterFunc(h.o.JobDuration, func() {
		over := false
		h.note(func() {
			if over = !a.CancelledAt.IsZero() || !a.EndedAt.IsZero(); !over {
				a.EndedAt = time.Now()
			}
		})
		if !over {
			h.tell(map[string]string{"id": a.ID, "from": h.o.Name, "state": "done", "result": h.Result(a.ID)})
		}
	})
}

// callBacks is how often a call-back is tried, callBackPause the time between two tries.
const (
	callBacks     = 10
	callBackPause = 20 * time.Millisecond
)

// tell makes a call-back.
func (h *Host) tell(what map[string]string) {
	body, _ := jsoniter.Marshal(what)
	for range callBacks {
		if h.back(body) == nil {
			return
		}
		time.Sleep(callBackPause)
	}
}

func (h *Host) callOff(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.byID[id] {
		if a.CancelledAt.IsZero() {
			a.CancelledAt = time.Now()
		}
	}
}
