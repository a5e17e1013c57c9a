package frontend

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"topazfall/internal/decide/budget"
	"topazfall/internal/socket"
)

const (
	// proveTimeout is the time from accepting a connection until it must have delivered a valid message or callback.
	proveTimeout = 2500 * time.Millisecond
	// pieceTimeout is the longest pause within a request. A client that stalls must get an error within 3 s.
	pieceTimeout   = 2500 * time.Millisecond
	lingerTimeout  = time.Second // for an error response to arrive before its connection is closed
	maxLingerBytes = 1 << 20     // discarded meanwhile
)

// conn is a connection from a client or worker. A handler that waits for an answer does not read, and so would not
// notice that the connection has ended; watchClient reads meanwhile and discards what the client sends.
type conn struct {
	net.Conn
	listener   *listener
	acceptedAt time.Time

	// Guarded by listener.mu:

	element     *list.Element // in one of the listener's lists; nil once removed
	isProven    bool          // it has delivered a message or callback
	isClient    bool          // it has delivered a message
	isIdle      bool          // it is between requests
	isLingering bool          // its last answer is written, and it stays open only for that to arrive
	evicted     chan struct{} // closed when element becomes nil; nil if nobody waits for that
	writing     *list.Element // in listener.writers; nil if it is not there
	writeBegun  time.Time     // valid if writing is set

	trusted           atomic.Bool        // as isProven, for use without listener.mu
	lingerOnClose     atomic.Bool        // the last response is an error
	closesAfterAnswer atomic.Bool        // evicted, and closed as soon as its request is answered
	requestMemory     budget.Reservation // for the request of a client
	resultMemory      budget.Reservation // for a callback, or for the answer to a client

	// Used by the serving goroutine only, except for sentAhead before watchStopped is closed:

	firstByteAt  time.Time     // when the first bytes of the latest request arrived
	bytesRead    int           // since the last request ended
	readDeadline time.Time     // the server's read deadline; zero for none
	isAdopted    bool          // it came from another process, and may stay idle
	isPipelined  bool          // the latest request began with bytes that were read with the one before
	sentAhead    int           // bytes read while the latest message waited; set by the goroutine of watchClient
	watchStopped chan struct{} // closed when the goroutine of watchClient has ended

	presence *presence // of the client whose message is in flight
}

// tryHandOver hands c over if a handover is under way and c is between requests, and reports whether it did. The other
// process then holds the connection too, so that closing the descriptor here does not close it for the client.
func (c *conn) tryHandOver() bool {
	handOver := c.listener.handOver.Load()
	if handOver == nil || c.bytesRead > 0 || c.lingerOnClose.Load() {
		return false
	}
	sc := c.syscallConn()
	if sc == nil {
		return false
	}
	c.listener.mu.Lock()
	k := HandoverConn{Conn: sc, Proven: c.isProven, Client: c.isClient}
	c.listener.mu.Unlock()
	return (*handOver)(k) == nil
}

// syscallConn returns the connection's system interface, or nil if it has none.
func (c *conn) syscallConn() syscall.Conn {
	sc, _ := c.Conn.(syscall.Conn)
	return sc
}

// hasUnread reports whether bytes have arrived that were not read yet.
func (c *conn) hasUnread() bool { return socket.Inspect(c.Conn) == socket.Readable }

// awaitFirstByte waits for the first byte of a request and marks the connection as busy before that byte is read: until
// then closeIdle and eviction see the byte in the socket. The byte may have arrived long ago, if the connection was in
// the system's queue or the process was held up. awaitFirstByte reports whether the connection may still be read. One
// that was closed meanwhile must not be: its client sends the unread request again elsewhere.
func (c *conn) awaitFirstByte() bool {
	arrived, unread := false, time.Duration(0)
	if raw := socket.RawConn(c.Conn); raw != nil {
		raw.Read(func(fd uintptr) bool { // also returns when the connection is closed or the deadline has passed
			state := socket.InspectFD(fd)
			if arrived = state == socket.Readable; arrived {
				unread = socket.UnreadTime(fd)
			}
			return state != socket.NoData
		})
	}
	c.firstByteAt = time.Now().Add(-unread)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.listener.isClosing && c.isIdle {
		return false
	}
	c.isIdle = c.isIdle && !arrived
	return c.element != nil
}

// isUnused reports whether the connection is between requests and has no unread data. listener.mu must be held.
func (c *conn) isUnused() bool { return c.isIdle && !c.hasUnread() }

// trackState records the server's state changes of a connection.
func trackState(c *conn, state fasthttp.ConnState) {
	if state == fasthttp.StateActive {
		if c.isPipelined = c.bytesRead == 0; c.isPipelined {
			c.firstByteAt = time.Now()
		}
	}
	if state == fasthttp.StateIdle {
		c.bytesRead = 0
		c.releaseMemory()
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.isIdle = state == fasthttp.StateIdle
	if c.isProven && c.element != nil {
		c.listener.proven.MoveToBack(c.element)
	}
}

// isExpendable reports whether closing the connection loses nothing. listener.mu must be held.
func (c *conn) isExpendable() bool { return c.isLingering || c.isUnused() }

// markProven records that the connection has delivered a message or callback. It reports whether the connection is
// still admitted: an unproven one may have been evicted while its request was being read.
func (c *conn) markProven(isClient bool) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.prove(isClient)
	return c.element != nil
}

// prove records that the connection has delivered a message or callback. listener.mu must be held.
func (c *conn) prove(isClient bool) {
	c.trusted.Store(true)
	c.isClient = c.isClient || isClient
	if c.element != nil && !c.isProven {
		c.listener.unproven.Remove(c.element)
		c.isProven, c.element = true, c.listener.proven.PushBack(c)
	}
}

// Close closes the connection; it may be called more than once. After an error response it first discards what the
// client is still sending, for up to lingerTimeout: closing with unread bytes would reset the connection, and the
// response could be lost with it. Meanwhile the connection is the first to be evicted.
func (c *conn) Close() error {
	if c.lingerOnClose.Swap(false) && !c.closesAfterAnswer.Load() {
		c.listener.mu.Lock()
		c.isLingering = true
		if c.element != nil {
			c.listener.remove(c)
			c.isProven, c.element = false, c.listener.unproven.PushFront(c)
		}
		c.listener.mu.Unlock()
		if writer, ok := c.Conn.(interface{ CloseWrite() error }); ok && writer.CloseWrite() == nil {
			c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
			io.CopyN(io.Discard, c.Conn, maxLingerBytes)
		}
	}
	c.releaseMemory()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.remove(c)
	err := c.Conn.Close()
	if c.closesAfterAnswer.Swap(false) {
		c.listener.endAnswering()
	}
	return err
}

// evictionSignal returns a channel that is closed when the connection is evicted, or has been.
func (c *conn) evictionSignal() <-chan struct{} {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	signal := make(chan struct{})
	if c.element == nil {
		close(signal)
	} else {
		c.evicted = signal
	}
	return signal
}

// releaseMemory returns the memory of a request that has ended.
func (c *conn) releaseMemory() {
	c.listener.endWrite(c)
	c.requestMemory.Release()
	c.resultMemory.Release()
}

// SetWriteDeadline sets the deadline for writing an answer, which begins now. On an evicted connection it is soon.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.listener.beginWrite(c)
	if end := time.Now().Add(answeringTimeout); c.closesAfterAnswer.Load() && t.After(end) {
		t = end
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline sets the server's read deadline, but for an unproven connection not beyond proveTimeout. The server
// takes a connection from another process for a new one and would allow it only the time for a new connection's first
// byte; it gets idleTimeout instead.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.isAdopted {
		c.isAdopted, t = false, time.Now().Add(idleTimeout)
	}
	if end := c.acceptedAt.Add(proveTimeout); !c.trusted.Load() && (t.IsZero() || t.After(end)) {
		t = end
	}
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// setPieceDeadline limits the wait for the next piece of a request to pieceTimeout. The server's own deadline is for
// the whole request: on a proven connection, a client that stalls within a request would get no error within the 3 s
// that are allowed for it.
func (c *conn) setPieceDeadline() {
	deadline := time.Now().Add(pieceTimeout)
	if c.readDeadline.IsZero() || deadline.Before(c.readDeadline) {
		c.Conn.SetReadDeadline(deadline)
	}
}

// awaitRequest waits for the first byte of a request. It returns io.EOF when the connection is handed over to another
// process, or must not be read any more.
func (c *conn) awaitRequest() error {
	if c.tryHandOver() || !c.awaitFirstByte() {
		return io.EOF
	}
	return nil
}

// readPiece reads some bytes of a request. It returns io.EOF when there are none yet and the connection is handed over
// to another process.
func (c *conn) readPiece(p []byte) (int, error) {
	if c.bytesRead > 0 {
		c.setPieceDeadline()
	}
	n, err := c.Conn.Read(p)
	c.bytesRead += n
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.tryHandOver() {
		return 0, io.EOF
	}
	return n, err
}

// watchClient reads and discards what the client sends until stopWatching is called. A client that has sent bytes after
// its message may disconnect like any other, and only a reader that goes beyond those bytes notices. The channel is
// closed when the client has closed, half-closed or reset the connection, or has sent more than maxLingerBytes, which
// cannot be a request that it expects to be read.
func (c *conn) watchClient() <-chan struct{} {
	disconnected := make(chan struct{})
	c.watchStopped = make(chan struct{})
	c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(c.watchStopped)
		var err error
		if c.sentAhead, err = socket.DiscardFrom(c.Conn.Read, maxLingerBytes); !errors.Is(err, os.ErrDeadlineExceeded) {
			close(disconnected)
		}
	}()
	return disconnected
}

// stopWatching ends the reading of watchClient. It reports whether the client has sent more bytes before it had its
// answer: those are discarded, so that the connection cannot be used again.
func (c *conn) stopWatching() (hasMore bool) {
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-c.watchStopped
	c.Conn.SetReadDeadline(time.Time{})
	return c.sentAhead > 0
}
