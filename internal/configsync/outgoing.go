package configsync

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"topazfall/internal/configsync/syncpb"
)

// Bounds of a connection to another instance. Those in time follow from the 4 s within which a revision is to be in force
// everywhere: a connection that is dead is found, and another one made, within that.
const (
	dialTime     = time.Second
	writeTime    = 2 * time.Second
	unackedTime  = 3 * time.Second // data that the other end's kernel has not acknowledged ends the connection
	idleTime     = 30 * time.Second
	readTime     = 2 * idleTime // until the next frame: the one who dials closes first
	backOffFirst = 50 * time.Millisecond
	backOffMost  = time.Second
	steadyTime   = 5 * time.Second // a connection that stood for so long was a good one
	queueFrames  = 512
	queueBytes   = 512 << 10
)

// outgoing sends messages to one other instance, over a connection that is made when there is something to send. Nothing
// comes back on it.
type outgoing struct {
	to     Member
	hello  []byte
	counts *counts

	mu     sync.Mutex
	frames [][]byte
	bytes  int
	wake   chan struct{} // has one place
}

func newOutgoing(to Member, hello []byte, c *counts) *outgoing {
	return &outgoing{to: to, hello: hello, counts: c, wake: make(chan struct{}, 1)}
}

// send queues a frame. Where more wait than may, all are dropped: whoever is so far behind pulls what it missed.
func (o *outgoing) send(frame []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.frames) >= queueFrames || o.bytes+len(frame) > queueBytes {
		o.clear(ReasonQueue)
	}
	o.frames, o.bytes = append(o.frames, frame), o.bytes+len(frame)
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// clear drops what waits; o.mu is held.
func (o *outgoing) clear(why Reason) {
	o.counts.drop(why, int64(len(o.frames)), "to", o.to.Name)
	o.frames, o.bytes = nil, 0
}

func (o *outgoing) take() [][]byte {
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

// connect makes a connection and sends over it until it breaks, or nothing has been sent for idleTime, which is no error.
func (o *outgoing) connect(ctx context.Context) error {
	c, err := dial(ctx, o.to.Address)
	if err != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.clear(ReasonUnreachable)
		return err
	}
	o.counts.links.Add(1)
	defer o.counts.links.Add(-1)
	defer c.Close()
	broken := watch(c)
	if err := o.write(c, o.hello); err != nil {
		return err
	}
	for {
		for _, frame := range o.take() {
			if err := o.write(c, frame); err != nil {
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
	request, err := encodeFrame(&syncpb.Frame{Content: &syncpb.Frame_StatusRequest{StatusRequest: &syncpb.StatusRequest{}}})
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(writeTime))
	if _, err := c.Write(append(append([]byte(nil), hello...), request...)); err != nil {
		return nil, err
	}
	f, err := readFrame(c)
	if err == io.EOF {
		return nil, fmt.Errorf("%s has refused the connection", to.Name)
	}
	if err != nil {
		return nil, err
	}
	reply := f.GetStatusReply()
	if reply == nil || reply.Name != to.Name {
		return nil, fmt.Errorf("%w: no status of %s", ErrFrameForm, to.Name)
	}
	return reply, nil
}
