package frontend

import (
	"errors"
	"time"
)

const (
	smallRequestBytes   = 2 << 10 // up to this size a request needs no part of the memory for requests
	firstBufferBytes    = 1 << 10
	bufferGrowth        = 4
	maxWaitingCallbacks = 64 // at a time, for memory; the workers of others send them again
	// resultMemoryTimeout is how long a callback waits for memory before its worker has to send it again.
	resultMemoryTimeout = time.Second
	// unreadTimeout is how long a client may leave its answer unread while other results wait for memory.
	unreadTimeout = 250 * time.Millisecond
	// requestCostFactor is the memory that a request takes up for each of its bytes: as it was received and as the HTTP
	// server has it, or as a message and as it is sent to a worker.
	requestCostFactor = 2
)

var (
	// errNoMemory means that there is no room for a request of this size.
	errNoMemory = errors.New("too many large requests")
	// errIncomplete means that the HTTP server expects more bytes than belong to the request.
	errIncomplete = errors.New("the request ends early")
)

// requestCost returns the memory that a request of the given size takes up beyond that of a small one, in bytes.
func requestCost(size int) int64 { return int64(max(size-smallRequestBytes, 0)) * requestCostFactor }

// answerCost returns the memory that an answer takes up until it is written, beyond that of a small one, in bytes.
func answerCost(size int) int64 { return int64(max(size-smallRequestBytes, 0)) }

// requestConn is a connection as the HTTP server sees it: each request becomes readable when it has arrived whole. The
// server allocates its largest buffers as soon as it has begun to read, and the body as soon as it knows its length. A
// client that sends slowly, or stops, therefore only takes up as much memory as it has sent.
type requestConn struct {
	*conn
	scanner requestScanner
	buffer  []byte // of the request that is arriving
	unread  []byte // the part of buffer that the server has yet to read
	failed  error  // why the request is not complete
}

// newRequestConn returns c for the HTTP server.
func newRequestConn(c *conn) *requestConn { return &requestConn{conn: c} }

// Read reads from a request that has arrived whole. It waits for one if the connection is between requests.
func (r *requestConn) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.unread)
	if r.unread = r.unread[n:]; len(r.unread) == 0 {
		r.buffer, r.unread = nil, nil // an empty slice would keep the buffer
	}
	return n, nil
}

// fill waits for bytes that the server may read.
func (r *requestConn) fill() error {
	switch {
	case r.bytesRead == 0:
		return r.receive()
	case r.failed != nil:
		return r.failed
	case r.scanner.state != scanComplete: // the server has asked for the body
		r.failed = r.collect()
		r.unread = r.buffer
		return r.failed
	default:
		return errIncomplete
	}
}

// receive waits for a request, and for all of it unless its client waits for a 100 (Continue). The server answers an
// error only once it has read a byte, so an error within the request is returned by the Read that follows.
func (r *requestConn) receive() error {
	if err := r.awaitRequest(); err != nil {
		return err
	}
	r.scanner, r.buffer = requestScanner{}, nil
	r.failed = r.collect()
	if r.failed != nil && len(r.buffer) == 0 {
		return r.failed
	}
	if r.unread = r.buffer; r.failed != nil {
		r.unread = r.buffer[:1]
	}
	return nil
}

// collect reads until the request is complete, or until its client waits for a 100 (Continue).
func (r *requestConn) collect() error {
	for {
		complete, err := r.scanner.scan(r.buffer)
		if complete || err != nil {
			return err
		}
		if r.scanner.isPausedFor100(r.buffer) {
			return r.pauseFor100()
		}
		if err := r.grow(); err != nil {
			return err
		}
		isFirst := r.bytesRead == 0
		n, err := r.readPiece(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		if err != nil {
			return err
		}
		if isFirst {
			r.SetReadDeadline(time.Now().Add(readTimeout))
		}
	}
}

// pauseFor100 lets the server read the header, which makes it ask for the body. The server then allocates its buffers
// before the body has arrived.
func (r *requestConn) pauseFor100() error {
	size := len(r.buffer) + maxHeaderBytes + r.scanner.maxBodySize()
	r.scanner.resumeAfter100()
	return r.reserve(size)
}

// grow makes room for more bytes of the request. A byte that follows the request is read as well, as it shows that the
// client has sent more than one request.
func (r *requestConn) grow() error {
	if len(r.buffer) < cap(r.buffer) {
		return nil
	}
	size := max(bufferGrowth*cap(r.buffer), firstBufferBytes)
	if total := r.scanner.totalSize() + 1; total > len(r.buffer) {
		size = min(size, total)
	}
	if err := r.reserve(size); err != nil {
		return err
	}
	r.buffer = append(make([]byte, 0, size), r.buffer...)
	return nil
}

// reserve takes memory for a request of the given size. A callback waits for it: without its result a message would
// stay in flight until its deadline. Other requests can be refused.
func (r *requestConn) reserve(size int) error {
	cost, trusted := requestCost(size), r.trusted.Load()
	if !r.scanner.isCallback {
		if !r.requestMemory.Grow(cost, trusted) {
			return errNoMemory
		}
		return nil
	}
	if r.resultMemory.Grow(cost, trusted) {
		return nil
	}
	return r.awaitResultMemory(cost, trusted)
}

// awaitResultMemory waits until there is memory for a callback. It gives up when the callback's connection is evicted.
func (r *requestConn) awaitResultMemory(cost int64, trusted bool) error {
	defer r.listener.waitingCallbacks.Add(-1)
	if r.listener.waitingCallbacks.Add(1) > maxWaitingCallbacks {
		return errNoMemory
	}
	timeout := time.NewTimer(resultMemoryTimeout)
	defer timeout.Stop()
	evicted := r.evictionSignal()
	for {
		released := r.listener.resultMemory.Released()
		if r.resultMemory.Grow(cost, trusted) {
			return nil
		}
		r.listener.interruptWrites()
		select {
		case <-released:
		case <-time.After(unreadTimeout):
		case <-evicted:
			return errNoMemory
		case <-timeout.C:
			return errNoMemory
		}
	}
}
