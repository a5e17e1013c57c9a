// Package host is a stand-in for a host (a worker as the network code knows it): it accepts jobs over HTTP/1.1, counts
// how often each one has run and sends callbacks. It listens on several addresses, and each of them can be given a
// fault.
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

// Fault is the way in which an address fails; Serve is none.
type Fault int

// The faults.
const (
	Serve              Fault = iota
	Refuse                   // connections are refused
	ConnectTimeout           // connections are not established, because the listener's accept queue is full
	DelayReading             // connections are established at once, but not read for Options.ReadDelay
	ResetOnAccept            // each connection is reset as soon as it is established
	ResetMidRequest          // it is reset after the request's header
	ResetAfterRequest        // it is reset after the whole request, and the job runs
	ResetAfterJob            // the same for jobs only; other requests are answered
	ResetAfterResponse       // it is reset after the 202, and the job runs
	Garbage                  // the answer is not HTTP, and the job runs
	Hang                     // jobs are accepted, and no callback follows
	RejectJobs               // jobs are rejected before they start
)

var faultNames = [...]string{"serve", "refuse", "silent", "accept-late", "reset-unread", "reset-midway", "reset-whole",
	"reset-jobs", "reset-accepted", "garbage", "hang", "turn-away"}

// String returns the name that reports use.
func (f Fault) String() string { return faultNames[f] }

// Options are the settings of a host.
type Options struct {
	Name        string
	SocketDir   string        // folder of its Unix socket files
	JobDuration time.Duration // how long a job takes
	ReadDelay   time.Duration // of DelayReading
}

// Host is a running stand-in for a worker.
type Host struct {
	options   Options
	endpoints []*endpoint

	mu           sync.Mutex
	runCounts    map[string]int       // by id: how often its job has started
	arrivals     map[string][]Arrival // by id: where and when its requests began to arrive
	attempts     []*Attempt
	attemptsByID map[string][]*Attempt
	lastArrival  time.Time
	postCallback func(body []byte) error // sends a callback
}

// Arrival is where and when a request began to arrive.
type Arrival struct {
	Endpoint int // index of the address
	At       time.Time
}

// Attempt is one request for a job, as the host saw it. A time is zero if its event did not happen.
type Attempt struct {
	ID          string
	FirstByteAt time.Time     // when its first byte arrived
	LastByteAt  time.Time     // when its last byte arrived: from then on its job may have run
	Timeout     time.Duration // how long the dispatcher waits, by the request's header
	EndedAt     time.Time     // when the host first tried to report its end, or reset its connection
	CancelledAt time.Time     // when the dispatcher cancelled it
	Rejected    bool          // the host rejected it before it started
}

// Attempts returns all attempts so far, in the order of their first bytes.
func (h *Host) Attempts() (list []Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attempts {
		list = append(list, *a)
	}
	return list
}

// CloseIdle closes the idle connections of an address, as a host that frees resources does. It resets them if withReset
// is set.
func (h *Host) CloseIdle(endpoint int, withReset bool) {
	e := h.endpoints[endpoint]
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn, idle := range e.conns {
		switch {
		case idle && withReset:
			resetConn(conn)
		case idle:
			conn.Close()
		}
	}
}

// Crash makes an address behave as if the host's process had died: connections to it are refused, and all running jobs
// of the host end. A callback reports each of these jobs as lost, as the machine of a dead process does. SetFault
// lets the address serve again.
func (h *Host) Crash(endpoint int) error {
	var lost []*Attempt
	h.update(func() {
		for _, a := range h.attempts {
			if a.EndedAt.IsZero() && a.CancelledAt.IsZero() {
				a.EndedAt = time.Now()
				lost = append(lost, a)
			}
		}
	})
	for _, a := range lost {
		go h.sendCallback(map[string]string{"id": a.ID, "from": h.options.Name, "state": "lost"})
	}
	return h.endpoints[endpoint].setFault(Refuse)
}

// endpoint is one address of a host.
type endpoint struct {
	host    *Host
	index   int
	network string
	address string

	mu           sync.Mutex
	fault        Fault
	listener     net.Listener
	queueFillers []net.Conn        // connections that fill the accept queue for ConnectTimeout
	conns        map[net.Conn]bool // open connections; true while no request is in progress
	accepted     int
	closed       bool
}

// Start returns a host that listens on each address: "127.0.0.1:0", "[::1]:0", or "unix" for a socket file. It sends
// its callbacks with postCallback.
func Start(options Options, postCallback func(body []byte) error, listenAddresses ...string) (*Host, error) {
	h := &Host{options: options, runCounts: map[string]int{}, arrivals: map[string][]Arrival{},
		attemptsByID: map[string][]*Attempt{}, postCallback: postCallback}
	for i, address := range listenAddresses {
		e := &endpoint{host: h, index: i, network: "tcp", address: address, conns: map[net.Conn]bool{}}
		if address == "unix" {
			e.network, e.address = "unix", fmt.Sprintf("%s/%s-%d.sock", options.SocketDir, options.Name, i)
		}
		if err := e.listen(); err != nil {
			h.Close()
			return nil, err
		}
		e.address = e.listener.Addr().String()
		h.endpoints = append(h.endpoints, e)
	}
	return h, nil
}

// Name returns the host's name.
func (h *Host) Name() string { return h.options.Name }

// Addresses returns the addresses in the form of the discovery service's list, in the order of Start.
func (h *Host) Addresses() (list []string) {
	for _, e := range h.endpoints {
		if e.network == "unix" {
			list = append(list, "unix:"+e.address)
		} else {
			list = append(list, e.address)
		}
	}
	return list
}

// SetFault gives an address a fault. Refuse and ConnectTimeout reset the open connections.
func (h *Host) SetFault(endpoint int, fault Fault) error {
	return h.endpoints[endpoint].setFault(fault)
}

// RunCount returns how often the job of this id has started.
func (h *Host) RunCount(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runCounts[id]
}

// Arrivals returns where and when the requests of this id began to arrive.
func (h *Host) Arrivals(id string) []Arrival {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Arrival(nil), h.arrivals[id]...)
}

// LastArrival returns when the last request began to arrive, on any address.
func (h *Host) LastArrival() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastArrival
}

// AcceptedConns returns how many connections an address has accepted.
func (h *Host) AcceptedConns(endpoint int) int {
	e := h.endpoints[endpoint]
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.accepted
}

// Close closes the host's listeners and connections.
func (h *Host) Close() {
	for _, e := range h.endpoints {
		e.mu.Lock()
		e.closed = true
		e.closeAll()
		e.mu.Unlock()
	}
}

// listen opens the listener and serves its connections.
func (e *endpoint) listen() error {
	if e.network == "unix" {
		os.Remove(e.address)
	}
	listener, err := net.Listen(e.network, e.address)
	if err != nil {
		return err
	}
	e.listener = listener
	go e.serve(listener)
	return nil
}

// closeAll closes the listener and resets the connections. The caller holds e.mu.
func (e *endpoint) closeAll() {
	if e.listener != nil {
		e.listener.Close()
		e.listener = nil
	}
	for _, c := range e.queueFillers {
		c.Close()
	}
	e.queueFillers = nil
	for c := range e.conns {
		resetConn(c)
	}
}

// setFault sets the fault, and closes or opens the listener as the fault requires.
func (e *endpoint) setFault(fault Fault) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.fault == fault {
		return nil
	}
	previous := e.fault
	e.fault = fault
	switch {
	case fault == Refuse:
		e.closeAll()
	case fault == ConnectTimeout:
		e.closeAll()
		return retryListen(e.fillAcceptQueue)
	case previous == Refuse || previous == ConnectTimeout:
		e.closeAll()
		return retryListen(e.listen)
	}
	return nil
}

// retryListen listens again on an address that was released for a moment. Until the deadline it retries while the port
// is in use, as another process's connection may have it meanwhile.
func retryListen(listen func() error) (err error) {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if err = listen(); !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
	return err
}

// fillAcceptQueue makes connections to the address time out: its listener accepts nothing, and its accept queue is
// full. A Unix socket with a full queue refuses connections instead, so it is left without a listener.
func (e *endpoint) fillAcceptQueue() error {
	if e.network == "unix" {
		return nil
	}
	resolved, err := net.ResolveTCPAddr("tcp", e.address)
	if err != nil {
		return err
	}
	family, sockaddr := syscall.AF_INET, syscall.Sockaddr(nil)
	if ip := resolved.IP.To4(); ip != nil {
		sockaddr = &syscall.SockaddrInet4{Port: resolved.Port, Addr: [4]byte(ip)}
	} else {
		family, sockaddr = syscall.AF_INET6,
			&syscall.SockaddrInet6{Port: resolved.Port, Addr: [16]byte(resolved.IP.To16())}
	}
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, sockaddr)
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		return err
	}
	if e.listener, err = net.FileListener(f); err != nil {
		return err
	}
	for range 16 { // until a connection times out
		c, err := net.DialTimeout("tcp", e.address, 30*time.Millisecond)
		if err != nil {
			return nil
		}
		e.queueFillers = append(e.queueFillers, c)
	}
	return errors.New("the listener's accept queue is not full after 16 connections")
}

// serve accepts connections until the listener is closed.
func (e *endpoint) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.accepted++
		fault := e.fault
		if e.listener != listener || e.closed {
			e.mu.Unlock()
			resetConn(conn)
			continue
		}
		e.conns[conn] = true
		e.mu.Unlock()
		go func() {
			e.serveConn(conn, fault)
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
			conn.Close()
		}()
	}
}

// resetConn closes a connection with a reset.
func resetConn(conn net.Conn) {
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		tcpConn.SetLinger(0)
	}
	conn.Close()
}

func (e *endpoint) currentFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// serveConn serves one connection, which was accepted under this fault. Each request is served under the fault that the
// address has then.
func (e *endpoint) serveConn(conn net.Conn, fault Fault) {
	switch fault {
	case ResetOnAccept:
		resetConn(conn)
		return
	case DelayReading:
		time.Sleep(e.host.options.ReadDelay)
	}
	reader := bufio.NewReader(conn)
	for e.serveRequest(conn, reader) {
	}
}

// serveRequest serves the next request of a connection, and reports whether the connection stays open.
func (e *endpoint) serveRequest(conn net.Conn, reader *bufio.Reader) bool {
	e.setIdle(conn, true)
	if _, err := reader.Peek(1); err != nil {
		return false
	}
	e.setIdle(conn, false)
	firstByteAt := time.Now()
	var req fasthttp.Request
	if err := req.Header.Read(reader); err != nil {
		return false
	}
	id := string(req.Header.Peek("X-Request-Id"))
	var job *Attempt // nil if the request is not a job
	if id != "" && req.Header.IsPost() {
		job = e.host.recordArrival(id, e.index, firstByteAt)
	}
	fault := e.currentFault()
	if fault == ResetMidRequest {
		resetConn(conn)
		return false
	}
	if err := req.ContinueReadBody(reader, 1<<20); err != nil {
		return false
	}
	if job != nil {
		wait, _ := strconv.Atoi(string(req.Header.Peek("X-Timeout-Ms")))
		e.host.update(func() { job.LastByteAt, job.Timeout = time.Now(), time.Duration(wait)*time.Millisecond })
	}
	if fault == Garbage {
		if job != nil {
			e.host.startJob(job, false)
			e.host.markEnded(job)
		}
		io.WriteString(conn, "\x00\x01 this is no answer\r\n\r\n")
		return false
	}
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	switch path := string(req.Header.RequestURI()); {
	case strings.HasPrefix(path, "/jobs/"):
		e.host.cancelJob(strings.TrimPrefix(path, "/jobs/"))
	case job != nil && fault == RejectJobs:
		e.host.update(func() { job.Rejected, job.EndedAt = true, time.Now() })
		answer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	case job != nil:
		e.host.startJob(job, fault != ResetAfterRequest && fault != ResetAfterJob && fault != Hang)
		answer = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	}
	if fault == ResetAfterRequest || fault == ResetAfterJob && job != nil {
		e.host.markEnded(job)
		resetConn(conn)
		return false
	}
	if _, err := io.WriteString(conn, answer); err != nil {
		return false
	}
	if fault == ResetAfterResponse && job != nil {
		time.Sleep(time.Millisecond) // a reset may overtake the answer
		resetConn(conn)
		return false
	}
	return true
}

// setIdle records whether a connection is idle, i.e. no request is in progress on it.
func (e *endpoint) setIdle(conn net.Conn, idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, open := e.conns[conn]; open {
		e.conns[conn] = idle
	}
}

// recordArrival records a new attempt, whose first byte arrived at this time.
func (h *Host) recordArrival(id string, endpoint int, at time.Time) *Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.arrivals[id] = append(h.arrivals[id], Arrival{endpoint, at})
	if at.After(h.lastArrival) {
		h.lastArrival = at
	}
	a := &Attempt{ID: id, FirstByteAt: at}
	h.attempts, h.attemptsByID[id] = append(h.attempts, a), append(h.attemptsByID[id], a)
	return a
}

// update makes a change to the host's records under its lock.
func (h *Host) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// markEnded records that an attempt ends now; nil is ignored.
func (h *Host) markEnded(a *Attempt) {
	if a != nil {
		h.update(func() { a.EndedAt = time.Now() })
	}
}

// Result returns the result that the host reports for a job.
func (h *Host) Result(id string) string { return h.options.Name + " " + id }

// startJob starts a job. If reportsCompletion is set, a callback follows when it is done.
func (h *Host) startJob(a *Attempt, reportsCompletion bool) {
	h.mu.Lock()
	h.runCounts[a.ID]++
	h.mu.Unlock()
	if !reportsCompletion {
		return
	}
	time.AfterFunc(h.options.JobDuration, func() {
		finished := false
		h.update(func() {
			if finished = !a.CancelledAt.IsZero() || !a.EndedAt.IsZero(); !finished {
				a.EndedAt = time.Now()
			}
		})
		if !finished {
			h.sendCallback(map[string]string{"id": a.ID, "from": h.options.Name, "state": "done",
				"result": h.Result(a.ID)})
		}
	})
}

const (
	callbackAttempts   = 10                    // how often a callback is tried
	callbackRetryDelay = 20 * time.Millisecond // between two tries
)

// sendCallback sends a callback, with retries.
func (h *Host) sendCallback(event map[string]string) {
	body, _ := jsoniter.Marshal(event)
	for range callbackAttempts {
		if h.postCallback(body) == nil {
			return
		}
		time.Sleep(callbackRetryDelay)
	}
}

// cancelJob records that the dispatcher has cancelled the attempts of this id.
func (h *Host) cancelJob(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attemptsByID[id] {
		if a.CancelledAt.IsZero() {
			a.CancelledAt = time.Now()
		}
	}
}
