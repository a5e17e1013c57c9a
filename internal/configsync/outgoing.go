package configsync

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"topazfall/internal/configsync/syncpb"
)

// Bounds of a connection to another instance. Those in time follow from the 4 s within which a revision is to be in
// force everywhere: a connection that is dead is found, and another one made, within that.
const (
	dialTime     = 700 * time.Millisecond
	greetTime    = 700 * time.Millisecond // for the first frame of the one who was dialed; longer than any round trip
	writeTime    = 2 * time.Second
	unackedTime  = 3 * time.Second // data that the other end's kernel has not acknowledged ends the connection
	idleTime     = 30 * time.Second
	readTime     = 2 * idleTime // until the next frame: the one who dials closes first
	backOffFirst = 50 * time.Millisecond
	backOffMost  = 700 * time.Millisecond
	steadyTime   = 5 * time.Second // a connection that stood for so long was a good one
	queueFrames  = 512
	queueBytes   = 512 << 10
	queueTime    = 2 * time.Second // what waits for longer is dropped: a newer message has said more
)

// outgoing sends messages to one other instance, over a connection that is made when there is something to send.
// The other one greets on it, so that nothing is sent to a listener behind which nobody reads; else nothing comes
// back.
type outgoing struct {
	to     Member
	hello  []byte
	counts *counts

	mu     sync.Mutex
	frames []queued
	bytes  int
	wake   chan struct{} // has one place
}

// queued is a frame that waits, and since when.
type queued struct {
	frame []byte
	since time.Time
}

func newOutgoing(to Member, hello []byte, c *counts) *outgoing {
	return &outgoing{to: to, hello: hello, counts: c, wake: make(chan struct{}, 1)}
}

// send queues a frame. Where more wait than may, all are dropped: whoever is so far behind pulls what it missed.
func (o *outgoing) send(frame []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.frames) >= queueFrames || o.bytes+len(frame) > queueBytes {
		o.drop(len(o.frames), ReasonQueue)
	}
	o.frames, o.bytes = append(o.frames, queued{frame, time.Now()}), o.bytes+len(frame)
	o.awake()
}

// awake has the goroutine that sends look at the queue.
func (o *outgoing) awake() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// drop drops the first of what waits; o.mu is held.
func (o *outgoing) drop(count int, why DropReason) {
	o.counts.drop(why, int64(count), "to", o.to.Name)
	for _, q := range o.frames[:count] {
		o.bytes -= len(q.frame)
	}
	o.frames = append([]queued(nil), o.frames[count:]...)
}

// unreached drops what has waited for long, and has the rest tried again.
func (o *outgoing) unreached() {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := slices.IndexFunc(o.frames, func(q queued) bool { return time.Since(q.since) < queueTime })
	if old < 0 {
		old = len(o.frames)
	}
	o.drop(old, ReasonUnreachable)
	if len(o.frames) > 0 {
		o.awake()
	}
}

func (o *outgoing) take() []queued {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := o.frames
	o.frames, o.bytes = nil, 0
	return list
}

// run sends what is queued until the context ends.
func (o *outgoing) run(ctx context.Context) {
	for wait := backOffFirst; ; {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		}
		began := time.Now()
		if err := o.connect(ctx); err == nil || time.Since(began) > steadyTime {
			wait = backOffFirst
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait/2 + rand.N(wait/2)):
		}
		wait = min(2*wait, backOffMost)
	}
}

// connect makes a connection and sends over it until it breaks, or nothing has been sent for idleTime, which is no
// error.
func (o *outgoing) connect(ctx context.Context) error {
	c, err := dial(ctx, o.to.Address)
	if err != nil {
		o.unreached()
		return err
	}
	o.counts.links.Add(1)
	defer o.counts.links.Add(-1)
	defer c.Close()
	if err := o.greet(c); err != nil {
		o.unreached()
		return err
	}
	broken := watch(c)
	for {
		for _, q := range o.take() {
			if err := o.write(c, q.frame); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-broken:
			return net.ErrClosed
		case <-time.After(idleTime):
			return nil
		case <-o.wake:
		}
	}
}

// greet says who dials, and waits until the other one has said who it is.
func (o *outgoing) greet(c net.Conn) error {
	if err := o.write(c, o.hello); err != nil {
		return err
	}
	return greeted(c, o.to)
}

// greeted reads the first frame of the one who was dialed.
func greeted(c net.Conn, to Member) error {
	c.SetReadDeadline(time.Now().Add(greetTime))
	defer c.SetReadDeadline(time.Time{})
	f, err := readFrame(c)
	switch {
	case err == io.EOF:
		return fmt.Errorf("%s has refused the connection", to.Name)
	case err != nil:
		return err
	case f.GetHello().GetFrom() != to.Name:
		return fmt.Errorf("%w: no hello of %s", ErrFrameMalformed, to.Name)
	}
	return nil
}

func (o *outgoing) write(c net.Conn, frame []byte) error {
	c.SetWriteDeadline(time.Now().Add(writeTime))
	n, err := c.Write(frame)
	o.counts.sent.Add(int64(n))
	return err
}

// watch tells when the other end has closed a connection on which it says nothing.
func watch(c net.Conn) <-chan struct{} {
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		c.Read(make([]byte, 1)) // ends at the latest when the connection is closed here
	}()
	return broken
}

// dial connects to an address of the roster.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTime}
	kind, name := network(address)
	c, err := dialer.DialContext(ctx, kind, name)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		if err := setUnackedTime(t); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

func setUnackedTime(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var fault error
	err = raw.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return fault
}

// askStatus asks an instance what it holds, on a connection of its own.
func askStatus(ctx context.Context, to Member, hello []byte) (*syncpb.StatusReply, error) {
	c, err := dial(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	what := &syncpb.Frame_StatusRequest{StatusRequest: &syncpb.StatusRequest{}}
	request, err := encodeFrame(&syncpb.Frame{Content: what})
	if err != nil {
		return nil, err
	}
	c.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := c.Write(append(append([]byte(nil), hello...), request...)); err != nil {
		return nil, err
	}
	if err := greeted(c, to); err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(writeTime))
	f, err := readFrame(c)
	if err != nil {
		return nil, err
	}
	reply := f.GetStatusReply()
	if reply == nil || reply.Name != to.Name {
		return nil, fmt.Errorf("%w: no status of %s", ErrFrameMalformed, to.Name)
	}
	return reply, nil
}
