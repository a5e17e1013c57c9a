package frontend

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"topazfall/internal/decide/budget"
	"topazfall/internal/dispatch"
	"topazfall/internal/metrics"
	"topazfall/internal/socket"
)

// listener limits the number of open connections and decides which one is evicted when there are too many. Anyone can
// connect and send nothing, or request /ready and stay. A connection is therefore unproven until it has delivered a
// message (a client's request) or a callback; it must do so within proveTimeout, and it is evicted first. Proven
// connections may stay idle for long: closing one without need can lose a message that its client is just sending.
type listener struct {
	net.Listener
	requestMemory *budget.Budget // for the requests of clients that are being read or are in flight
	resultMemory  *budget.Budget // for results on their way from workers: callbacks and answers

	// handOver is set while connections are handed over to another process, each as soon as it is between requests. A
	// connection handed over stays open for its client.
	handOver        atomic.Pointer[func(HandoverConn) error]
	handoverStarted chan struct{} // closed when handOver is set

	waitingCallbacks atomic.Int64 // callbacks that wait for memory

	closeLimiters [metrics.CloseReasonCount]rateLimiter
	metrics       *metrics.Metrics

	mu        sync.Mutex
	maxConns  int
	isClosing bool          // no connection begins another request
	answering int           // evicted connections whose request is answered first; they are on no list
	answered  chan struct{} // closed, and replaced, when one of them is closed
	resumed   chan struct{} // not nil while accepting is paused; closed by resume
	unproven  *list.List    // of *conn, the oldest first
	proven    *list.List    // of *conn, the least recently used first
	writers   *list.List    // of *conn on which an answer is being written, the earliest first
}

// newListener limits ln to maxConns open connections, and requests and results to an amount of memory, in bytes.
func newListener(ln net.Listener, maxConns int, memory int64, counters *metrics.Metrics) *listener {
	requests, results := shareMemory(memory)
	return &listener{Listener: ln, requestMemory: budget.New(requests), resultMemory: budget.New(results),
		metrics: counters, maxConns: maxConns, handoverStarted: make(chan struct{}), answered: make(chan struct{}),
		unproven: list.New(), proven: list.New(), writers: list.New()}
}

// shareMemory divides an amount of memory between requests, which need it until they are answered, and results, which
// pass through.
func shareMemory(memory int64) (requests, results int64) { return memory - memory/3, memory / 3 }

// setLimits changes the limits. Connections and requests over a lowered limit are not cut off: they end by themselves,
// or a connection is evicted when a new one arrives.
func (l *listener) setLimits(maxConns int, memory int64) {
	requests, results := shareMemory(memory)
	l.requestMemory.SetLimit(requests)
	l.resultMemory.SetLimit(results)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = maxConns
}

// pause stops accepting until resume. Queued connections are left to the other processes that listen on the socket.
func (l *listener) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && l.resumed == nil {
		l.resumed = make(chan struct{})
		d.SetDeadline(time.Unix(1, 0))
	}
}

// resume accepts connections again after pause.
func (l *listener) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed != nil {
		l.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Time{})
		close(l.resumed)
		l.resumed = nil
	}
}

// acceptQueued accepts the connections that the system has queued, without waiting for more. While accepting is paused
// it accepts none: they are left to the other processes that listen on the socket.
func (l *listener) acceptQueued() (conns []*conn) {
	l.mu.Lock()
	paused, maxConns := l.resumed != nil, l.maxConns
	l.mu.Unlock()
	raw := socket.RawConn(l.Listener)
	if raw == nil || paused {
		return nil
	}
	raw.Control(func(fd uintptr) {
		for range maxConns { // Accept would block, and returns nothing once its deadline has passed
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err == syscall.ECONNABORTED || err == syscall.EINTR {
				continue
			}
			if err != nil {
				return
			}
			f := os.NewFile(uintptr(accepted), "accepted")
			if nc, err := net.FileConn(f); err == nil {
				if c := l.admit(nc); c != nil {
					conns = append(conns, c)
				}
			}
			f.Close()
		}
	})
	return conns
}

// Close stops listening, also while accepting is paused.
func (l *listener) Close() error {
	l.resume()
	return l.Listener.Close()
}

// closeUnproven closes unproven connections until no more than maxConns connections are open, or until a request has
// begun to arrive on each unproven one that is left.
func (l *listener) closeUnproven(maxConns int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.unproven.Len()+l.proven.Len() > maxConns &&
		l.closeFirst(l.unproven, (*conn).isExpendable, metrics.CloseLeaving) {
	}
}

// HandoverConn is a connection that another process takes over, either between two requests or with a message that
// waits for its answer.
type HandoverConn struct {
	Conn           syscall.Conn
	Proven, Client bool                      // whether it has delivered a message or callback; whether a message
	Begun          *dispatch.InFlightMessage // the message in flight on it; nil for none
	More           bool                      // its client has sent further bytes before the answer
}

// startHandover hands every connection over by handOver as soon as it is between requests.
func (l *listener) startHandover(handOver func(HandoverConn) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handOver.Swap(&handOver) == nil {
		close(l.handoverStarted)
	}
	for _, conns := range []*list.List{l.unproven, l.proven} {
		for e := conns.Front(); e != nil; e = e.Next() {
			// The goroutine of an idle connection waits in Read for a first byte, and the deadline wakes it. One with
			// a request must not be woken: it reads the request or watches its client, and calls Read by itself.
			if c := e.Value.(*conn); c.isIdle {
				c.Conn.SetReadDeadline(time.Unix(1, 0))
			}
		}
	}
}

// stopHandover ends the handover; the remaining connections stay here.
func (l *listener) stopHandover() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handOver.Swap(nil) != nil {
		l.handoverStarted = make(chan struct{})
	}
}

// handoverSignal returns a channel that is closed when a handover starts.
func (l *listener) handoverSignal() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handoverStarted
}

// beginWrite records that an answer is being written on a connection from now on.
func (l *listener) beginWrite(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.writing == nil {
		c.writing, c.writeBegun = l.writers.PushBack(c), time.Now()
	}
}

// endWrite records that an answer has been written, or cannot be.
func (l *listener) endWrite(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.writing != nil {
		l.writers.Remove(c.writing)
		c.writing = nil
	}
}

// interruptWrites ends the connections whose clients have not read their answers for unreadTimeout: other results need
// the memory.
func (l *listener) interruptWrites() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.writers.Front(); e != nil; e = l.writers.Front() {
		c := e.Value.(*conn)
		if time.Since(c.writeBegun) <= unreadTimeout {
			return
		}
		l.recordClose(c.Conn, metrics.CloseUnread)
		c.Conn.SetWriteDeadline(time.Unix(1, 0))
		l.writers.Remove(e)
		c.writing = nil
	}
}

// stopRequests keeps connections from beginning another request. What arrives from now on is not read.
func (l *listener) stopRequests() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isClosing = true
}

// busyCount returns the number of connections with a request that has begun and not ended.
func (l *listener) busyCount() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conns := range []*list.List{l.unproven, l.proven} {
		for e := conns.Front(); e != nil; e = e.Next() {
			if !e.Value.(*conn).isIdle {
				n++
			}
		}
	}
	return n
}

// openCount returns the number of open connections.
func (l *listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unproven.Len() + l.proven.Len()
}

// closeIdle closes the connections of clients that have no message in flight. A connection with unread data stays, and
// the message that has arrived is answered. A message that arrives after the close is never read, and its client sends
// it again elsewhere.
func (l *listener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.proven.Front(); e != nil; {
		c := e.Value.(*conn)
		e = e.Next()
		if c.isClient && c.isUnused() {
			l.closeNow(c, metrics.CloseLeaving)
		}
	}
}

// Accept tries again after all errors of the system but a closed listener. They concern one connection, or pass: no
// descriptors or buffers for a moment, a network that is down. An error would end the server for good.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil {
			if c := l.admit(nc); c != nil {
				return newRequestConn(c), nil
			}
			continue
		}
		l.mu.Lock()
		resumed := l.resumed
		l.mu.Unlock()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if resumed != nil {
				<-resumed
			}
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if faultLogLimiter.allow() {
			slog.Warn("accept", "error", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// admit adds a new connection and evicts another one if there are too many. If none can be evicted it closes the new
// one and returns nil.
func (l *listener) admit(nc net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFull() && !l.evictOne() {
		l.recordClose(nc, metrics.CloseNoPlace)
		nc.Close()
		return nil
	}
	return l.add(nc)
}

// adopt adds a connection that another process has handed over in the given state, also beyond the limit.
func (l *listener) adopt(nc net.Conn, state HandoverConn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFull() {
		l.closeFirst(l.unproven, (*conn).isExpendable, metrics.CloseEvicted)
	}
	c := l.add(nc)
	c.isIdle = state.Begun == nil
	c.isAdopted = state.Proven
	if state.Proven { // in one step: an unproven connection could be evicted
		c.prove(state.Client)
	}
	return c
}

// isFull reports whether there is no place for another connection. l.mu must be held.
func (l *listener) isFull() bool { return l.unproven.Len()+l.proven.Len() >= l.maxConns }

// add adds a connection as an unproven one. l.mu must be held.
func (l *listener) add(nc net.Conn) *conn {
	c := &conn{Conn: nc, listener: l, acceptedAt: time.Now(), isIdle: true,
		requestMemory: l.requestMemory.NewReservation(), resultMemory: l.resultMemory.NewReservation()}
	c.element = l.unproven.PushBack(c)
	return c
}

// closeFirst closes the first connection in conns that mayClose permits, and reports whether there was one. l.mu must
// be held.
func (l *listener) closeFirst(conns *list.List, mayClose func(*conn) bool, reason metrics.CloseReason) bool {
	for e := conns.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); mayClose(c) {
			l.closeNow(c, reason)
			return true
		}
	}
	return false
}

// closeNow closes a connection without waiting for an answer. l.mu must be held.
func (l *listener) closeNow(c *conn, reason metrics.CloseReason) {
	l.recordClose(c.Conn, reason)
	l.remove(c)
	c.Conn.Close()
}

// recordClose counts and logs that a connection is closed here.
func (l *listener) recordClose(c net.Conn, reason metrics.CloseReason) {
	l.metrics.CountClosed(reason)
	if l.closeLimiters[reason].allow() {
		slog.Info("close", "reason", reason.String(), "from", c.RemoteAddr().String(), "unproven", l.unproven.Len(),
			"proven", l.proven.Len())
	}
}

// remove takes a connection off its list. l.mu must be held.
func (l *listener) remove(c *conn) {
	if c.element == nil {
		return
	}
	if c.isProven {
		l.proven.Remove(c.element)
	} else {
		l.unproven.Remove(c.element)
	}
	c.element = nil
	if c.evicted != nil {
		close(c.evicted)
		c.evicted = nil
	}
}
