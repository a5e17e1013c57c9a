package client

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Behavior is how a client sends a request on a connection.
type Behavior int

// The behaviors of a client.
const (
	SingleWrite    Behavior = iota // writes the request at once
	SeveralWrites                  // writes it in several parts, with pauses between them
	CloseEarly                     // closes the connection before the answer
	HalfClose                      // shuts down its sending side before the answer
	StopMidRequest                 // sends half of the request and keeps the connection open
	TwoRequests                    // sends two requests in one write
)

var behaviorNames = [...]string{"at once", "in pieces", "leaving", "half closing", "stop midway", "doubled"}

// String returns the name that reports use.
func (b Behavior) String() string { return behaviorNames[b] }

// ViolatesProtocol reports whether the protocol forbids this behavior: the dispatcher has to answer it with an error or
// close the connection.
func (b Behavior) ViolatesProtocol() bool { return b == StopMidRequest || b == TwoRequests }

// Outcome is how an exchange on a connection ended.
type Outcome int

// The outcomes of an exchange.
const (
	Answered        Outcome = iota // a complete answer arrived
	ResetUnread                    // the connection was reset before the dispatcher had read the request
	ClosedAfterRead                // it was closed although the whole request had been read
	TimedOut                       // nothing arrived in time
	Disconnected                   // the client closed the connection or its sending side
)

var outcomeNames = [...]string{"answered", "unread", "closed", "silent", "left"}

// String returns the name that reports use.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the outcome of a request on a connection, with its times and the answer.
type Result struct {
	Started time.Time // just before the first byte
	Sent    time.Time // just after the last byte
	Ended   time.Time
	Outcome Outcome
	Status  int
	Body    string
	// ExtraBytes is how many bytes followed the answer.
	ExtraBytes int
	Err        error // the cause, if the request was not answered
}

// Connection is a client's connection, which carries one request after the other.
type Connection struct {
	conn       *net.TCPConn
	reader     *bufio.Reader
	hasServed  bool
	isUnusable bool
}

// Connect opens a connection and returns the error of connecting, if any.
func Connect(address string, timeout time.Duration) (*Connection, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return &Connection{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}, nil
}

// HasServed reports whether a request was answered on the connection.
func (c *Connection) HasServed() bool { return c.hasServed }

// IsUnusable reports whether no further request can be sent on the connection.
func (c *Connection) IsUnusable() bool { return c.isUnusable }

// Close closes the connection.
func (c *Connection) Close() { c.conn.Close() }

// Delivery is a request and the way in which the client sends it.
type Delivery struct {
	Message
	Behavior  Behavior
	Pause     time.Duration // between writes, or before the client closes
	ReadGrace time.Duration // how long the client still reads after the message's timeout
	SecondID  string        // id of the second request of TwoRequests
}

// numWrites is the number of writes of SeveralWrites.
const numWrites = 4

// Do sends a request and waits for its answer.
func (c *Connection) Do(d Delivery) Result {
	r := Result{Started: time.Now()}
	err := c.writeRequest(d)
	r.Sent = time.Now()
	switch {
	case err == nil && d.Behavior == CloseEarly:
		time.Sleep(d.Pause)
		// The time is taken before the close: attempts that begin after it count as later than the disconnect.
		r.Outcome, r.Ended = Disconnected, time.Now()
		c.conn.Close()
		c.isUnusable = true
		return r
	case err == nil && d.Behavior == HalfClose:
		time.Sleep(d.Pause)
		r.Outcome, r.Ended = Disconnected, time.Now()
		c.conn.CloseWrite()
		c.isUnusable = true
		return r
	}
	if err == nil {
		c.conn.SetReadDeadline(r.Sent.Add(d.Timeout + d.ReadGrace))
		err = c.readAnswer(&r)
	}
	r.Ended = time.Now()
	if err != nil {
		c.isUnusable = true
		r.Outcome, r.Err = c.classifyError(err), err
		return r
	}
	c.hasServed = true
	r.ExtraBytes = c.reader.Buffered()
	return r
}

// writeRequest writes the request as its behavior demands.
func (c *Connection) writeRequest(d Delivery) error {
	text := d.encode(d.ID)
	switch d.Behavior {
	case StopMidRequest:
		_, err := c.conn.Write(text[:len(text)/2])
		return err
	case TwoRequests:
		_, err := c.conn.Write(append(text, d.encode(d.SecondID)...))
		return err
	case SeveralWrites:
		for i := range numWrites {
			if i > 0 {
				time.Sleep(d.Pause)
			}
			if _, err := c.conn.Write(text[i*len(text)/numWrites : (i+1)*len(text)/numWrites]); err != nil {
				return err
			}
		}
		return nil
	}
	_, err := c.conn.Write(text)
	return err
}

// readAnswer reads an answer into the result. A connection that ends within the answer is io.ErrUnexpectedEOF.
func (c *Connection) readAnswer(r *Result) error {
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	var answer fasthttp.Response
	if err := answer.Read(c.reader); err != nil {
		return fmt.Errorf("truncated answer: %w", io.ErrUnexpectedEOF)
	}
	r.Status, r.Body = answer.StatusCode(), string(answer.Body())
	c.isUnusable = answer.ConnectionClose()
	return nil
}

// resetWait is how long to wait for the reset that answers bytes which crossed the peer's close on the way.
const resetWait = 20 * time.Millisecond

// classifyError returns the outcome that an error in sending a request stands for. A peer that has closed a connection
// answers further bytes with a reset, and closing a connection with unread bytes sends a reset as well: without a
// reset, the request had been read.
func (c *Connection) classifyError(err error) Outcome {
	switch {
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ResetUnread
	case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return TimedOut
	}
	time.Sleep(resetWait)
	raw, socketErr := c.conn.SyscallConn()
	if socketErr != nil {
		return ClosedAfterRead
	}
	pending := 0
	raw.Control(func(fd uintptr) {
		pending, socketErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	if socketErr == nil && pending != 0 {
		return ResetUnread
	}
	return ClosedAfterRead
}

// encode returns the message as an HTTP/1.1 request with this id.
func (m Message) encode(id string) []byte {
	text := fmt.Appendf(nil, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: %s\r\nX-Timeout-Ms: %d\r\n", id, m.Class, m.Tenant, max(m.Timeout.Milliseconds(), 1))
	if m.Hint > 0 {
		text = fmt.Appendf(text, "X-Cost: %d\r\n", m.Hint.Microseconds())
	}
	if m.Key != "" {
		text = fmt.Appendf(text, "Idempotency-Key: %s\r\n", m.Key)
	}
	text = fmt.Appendf(text, "Content-Length: %d\r\n\r\n", len(m.Body))
	return append(text, m.Body...)
}
