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

// Behavior is how a client behaves on a connection.
type Behavior int

// The manners.
const (
	SingleWrite    Behavior = iota // a request in one write
	SeveralWrites                  // in several, with pauses between them
	CloseEarly                     // the client closes its connection before the answer
	HalfClose                      // it shuts its sending side before the answer
	StopMidRequest                 // it sends half of a request and stays
	TwoRequests                    // two requests in one write
)

var manners = [...]string{"at once", "in pieces", "leaving", "half closing", "stop midway", "doubled"}

func (m Behavior) String() string { return manners[m] }

// ViolatesProtocol tells whether clients of this manner do what the protocol does not allow: they are owed an error or a close.
func (m Behavior) ViolatesProtocol() bool { return m == StopMidRequest || m == TwoRequests }

// Outcome is how an exchange on a connection ended.
type Outcome int

// The ends.
const (
	Answered        Outcome = iota // a whole answer came
	ResetUnread                    // the connection was reset over a request that nobody had read
	ClosedAfterRead                // it was closed though the whole request had been read
	TimedOut                       // nothing came in time
	Disconnected                   // the client went
)

var ends = [...]string{"answered", "unread", "closed", "silent", "left"}

func (e Outcome) String() string { return ends[e] }

// Result is what became of a request on a connection.
type Result struct {
	Started time.Time // just before the first byte
	Sent    time.Time // just after the last byte
	Ended   time.Time
	Outcome Outcome
	Status  int
	Body    string
	// Surplus is how many bytes came behind the answer.
	ExtraBytes int
	Err        error // why it ended so, where it was not answered
}

// Connection is a client's connection, on which it brings one request after the other.
type Connection struct {
	nc   *net.TCPConn
	in   *bufio.Reader
	used bool
	over bool
}

// Connect opens a connection; its error is that of connecting.
func Connect(address string, limit time.Duration) (*Connection, error) {
	nc, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, err
	}
	return &Connection{nc: nc.(*net.TCPConn), in: bufio.NewReader(nc)}, nil
}

// HasServed tells whether a request was answered on it.
func (c *Connection) HasServed() bool { return c.used }

// IsUnusable tells whether it is of no use any more.
func (c *Connection) IsUnusable() bool { return c.over }

// Close ends it.
func (c *Connection) Close() { c.nc.Close() }

// Delivery is a request and how it is brought.
type Delivery struct {
	Message
	Behavior  Behavior
	Pause     time.Duration // between pieces, or before the client leaves
	ReadGrace time.Duration // how long beyond its time the client still listens
	SecondID  string        // id of the second request of a doubled one
}

// pieces are how many writes a request in pieces takes.
const pieces = 4

// Do brings a request and waits for its answer.
func (c *Connection) Do(d Delivery) Result {
	r := Result{Started: time.Now()}
	err := c.write(d)
	r.Sent = time.Now()
	switch {
	case err == nil && d.Behavior == CloseEarly:
		time.Sleep(d.Pause)
		r.Outcome, r.Ended = Disconnected, time.Now() // before the close: what begins after it is counted from then on
		c.nc.Close()
		c.over = true
		return r
	case err == nil && d.Behavior == HalfClose:
		time.Sleep(d.Pause)
		r.Outcome, r.Ended = Disconnected, time.Now()
		c.nc.CloseWrite()
		c.over = true
		return r
	}
	if err == nil {
		c.nc.SetReadDeadline(r.Sent.Add(d.Timeout + d.ReadGrace))
		err = c.read(&r)
	}
	r.Ended = time.Now()
	if err != nil {
		c.over = true
		r.Outcome, r.Err = c.endOf(err), err
		return r
	}
	c.used = true
	r.ExtraBytes = c.in.Buffered()
	return r
}

// write writes the request as its manner says.
func (c *Connection) write(d Delivery) error {
	text := d.wire(d.ID)
	switch d.Behavior {
	case StopMidRequest:
		_, err := c.nc.Write(text[:len(text)/2])
		return err
	case TwoRequests:
		_, err := c.nc.Write(append(text, d.wire(d.SecondID)...))
		return err
	case SeveralWrites:
		for i := range pieces {
			if i > 0 {
				time.Sleep(d.Pause)
			}
			if _, err := c.nc.Write(text[i*len(text)/pieces : (i+1)*len(text)/pieces]); err != nil {
				return err
			}
		}
		return nil
	}
	_, err := c.nc.Write(text)
	return err
}

func (c *Connection) read(r *Result) error {
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	var answer fasthttp.Response
	if err := answer.Read(c.in); err != nil {
		return fmt.Errorf("an answer that is cut: %w", io.ErrUnexpectedEOF)
	}
	r.Status, r.Body = answer.StatusCode(), string(answer.Body())
	c.over = answer.ConnectionClose()
	return nil
}

// crossing is the time in which a reset arrives that answers what crossed a close.
const crossing = 20 * time.Millisecond

// endOf tells what an error in bringing a request says. What is written to a connection that its peer has closed is
// answered with a reset, and so is a close over bytes that nobody has read: without one, the request had been read.
func (c *Connection) endOf(err error) Outcome {
	switch {
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ResetUnread
	case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return TimedOut
	}
	time.Sleep(crossing)
	raw, fault := c.nc.SyscallConn()
	if fault != nil {
		return ClosedAfterRead
	}
	pending := 0
	raw.Control(func(fd uintptr) {
		pending, fault = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	if fault == nil && pending != 0 {
		return ResetUnread
	}
	return ClosedAfterRead
}

// wire is a request as it goes over the connection.
func (m Message) wire(id string) []byte {
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
