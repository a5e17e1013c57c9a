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

// Limits of a connection to another instance. The times follow from the requirement that a revision takes effect at all
// instances within 4 s: within that time a dead connection is detected and a new one is opened.
const (
	dialTimeout          = 700 * time.Millisecond
	helloReplyTimeout    = 700 * time.Millisecond // for the Hello of the dialed instance; longer than any round trip
	writeTimeout         = 2 * time.Second
	unackedTimeout       = 3 * time.Second // unacknowledged data for this long closes the connection (TCP_USER_TIMEOUT)
	idleTimeout          = 30 * time.Second
	readTimeout          = 2 * idleTimeout // for the next frame; longer, so that the dialing instance closes first
	minBackoff           = 50 * time.Millisecond
	maxBackoff           = 700 * time.Millisecond
	stableConnectionTime = 5 * time.Second // a connection that lasted this long resets the backoff
	maxQueuedFrames      = 512
	maxQueuedBytes       = 512 << 10
	maxQueueAge          = 2 * time.Second // frames older than this are dropped on failure: newer ones supersede them
)

// sender sends messages to one other instance, over a connection that it opens when there is something to send. The
// other instance answers with a Hello before any message is sent, so that nothing is sent to a listener whose process
// does not read. The other instance sends nothing else on this connection.
type sender struct {
	to      Member
	hello   []byte
	metrics *metrics

	mu          sync.Mutex
	queue       []queuedFrame
	queuedBytes int
	wake        chan struct{} // capacity 1
}

// queuedFrame is a frame that waits to be sent.
type queuedFrame struct {
	frame    []byte
	queuedAt time.Time
}

func newSender(to Member, hello []byte, m *metrics) *sender {
	return &sender{to: to, hello: hello, metrics: m, wake: make(chan struct{}, 1)}
}

// send queues a frame. If the queue is full, all queued frames are dropped first: an instance that is so far behind
// pulls what it missed.
func (s *sender) send(frame []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) >= maxQueuedFrames || s.queuedBytes+len(frame) > maxQueuedBytes {
		s.drop(len(s.queue), ReasonQueueFull)
	}
	s.queue, s.queuedBytes = append(s.queue, queuedFrame{frame, time.Now()}), s.queuedBytes+len(frame)
	s.wakeUp()
}

// wakeUp makes the sending goroutine check the queue.
func (s *sender) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// drop drops the oldest frames of the queue; the caller holds s.mu.
func (s *sender) drop(count int, reason DropReason) {
	s.metrics.drop(reason, int64(count), "to", s.to.Name)
	for _, q := range s.queue[:count] {
		s.queuedBytes -= len(q.frame)
	}
	s.queue = append([]queuedFrame(nil), s.queue[count:]...)
}

// dropExpired drops the frames that have been queued for maxQueueAge and schedules another attempt for the rest.
func (s *sender) dropExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	expired := slices.IndexFunc(s.queue, func(q queuedFrame) bool { return time.Since(q.queuedAt) < maxQueueAge })
	if expired < 0 {
		expired = len(s.queue)
	}
	s.drop(expired, ReasonUnreachable)
	if len(s.queue) > 0 {
		s.wakeUp()
	}
}

// takeQueue removes all queued frames and returns them.
func (s *sender) takeQueue() []queuedFrame {
	s.mu.Lock()
	defer s.mu.Unlock()
	frames := s.queue
	s.queue, s.queuedBytes = nil, 0
	return frames
}

// run sends queued frames until the context ends. Failed connections are retried with exponential backoff.
func (s *sender) run(ctx context.Context) {
	for backoff := minBackoff; ; {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		startedAt := time.Now()
		if err := s.connect(ctx); err == nil || time.Since(startedAt) > stableConnectionTime {
			backoff = minBackoff
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff/2 + rand.N(backoff/2)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// connect opens a connection and sends queued frames over it until it breaks. A connection that is closed after
// idleTimeout without a frame to send is not an error.
func (s *sender) connect(ctx context.Context) error {
	c, err := dial(ctx, s.to.Address)
	if err != nil {
		s.dropExpired()
		return err
	}
	s.metrics.connections.Add(1)
	defer s.metrics.connections.Add(-1)
	defer c.Close()
	if err := s.handshake(c); err != nil {
		s.dropExpired()
		return err
	}
	closed := watchClosed(c)
	for {
		for _, q := range s.takeQueue() {
			if err := s.write(c, q.frame); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-closed:
			return net.ErrClosed
		case <-time.After(idleTimeout):
			return nil
		case <-s.wake:
		}
	}
}

// handshake sends this instance's Hello and waits for the other instance's Hello.
func (s *sender) handshake(c net.Conn) error {
	if err := s.write(c, s.hello); err != nil {
		return err
	}
	return readHello(c, s.to)
}

// readHello reads the first frame from the dialed instance and checks that it is the Hello of that member.
func readHello(c net.Conn, to Member) error {
	c.SetReadDeadline(time.Now().Add(helloReplyTimeout))
	defer c.SetReadDeadline(time.Time{})
	f, err := readFrame(c)
	switch {
	case err == io.EOF:
		return fmt.Errorf("%s rejected the connection", to.Name)
	case err != nil:
		return err
	case f.GetHello().GetFrom() != to.Name:
		return fmt.Errorf("%w: no hello from %s", ErrFrameMalformed, to.Name)
	}
	return nil
}

func (s *sender) write(c net.Conn, frame []byte) error {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Write(frame)
	s.metrics.sentBytes.Add(int64(n))
	return err
}

// watchClosed returns a channel that is closed when the other end closes a connection on which it sends nothing.
func watchClosed(c net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.Read(make([]byte, 1)) // returns at the latest when this side closes the connection
	}()
	return closed
}

// dial connects to an address on the roster.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	kind, name := splitAddress(address)
	c, err := dialer.DialContext(ctx, kind, name)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		if err := setUnackedTimeout(t); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// setUnackedTimeout sets TCP_USER_TIMEOUT, which closes a connection whose data stays unacknowledged.
func setUnackedTimeout(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var socketErr error
	err = raw.Control(func(fd uintptr) {
		socketErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
			int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return socketErr
}

// requestStatus requests the status of an instance over a separate connection.
func requestStatus(ctx context.Context, to Member, hello []byte) (*syncpb.StatusReply, error) {
	c, err := dial(ctx, to.Address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	content := &syncpb.Frame_StatusRequest{StatusRequest: &syncpb.StatusRequest{}}
	request, err := encodeFrame(&syncpb.Frame{Content: content})
	if err != nil {
		return nil, err
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(append(append([]byte(nil), hello...), request...)); err != nil {
		return nil, err
	}
	if err := readHello(c, to); err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(writeTimeout))
	f, err := readFrame(c)
	if err != nil {
		return nil, err
	}
	reply := f.GetStatusReply()
	if reply == nil || reply.Name != to.Name {
		return nil, fmt.Errorf("%w: no status from %s", ErrFrameMalformed, to.Name)
	}
	return reply, nil
}
