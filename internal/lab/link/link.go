// Package link is a TCP proxy for one directed link between two processes, from the one that dials to the one that
// listens, with faults on cue: delay, stall, cut one way or both ways, reset, and, where it is told how to split the
// stream into frames, frames that come twice, out of order or once more much later.
package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is one of the two in which bytes travel.
type Direction int

// The directions.
const (
	Forward Direction = iota // from the process that dials
	Backward
	directions
)

// Bounds of a proxy, of a stand-in's own choice.
const (
	largestFrame = 32 << 20
	recorded     = 64 // frames of a direction that may come once more
	bufferSize   = 32 << 10
	dialTime     = 5 * time.Second
	poll         = 2 * time.Millisecond // how often a stalled direction looks whether it may go on
)

// FrameFaults are what happens to whole frames of a direction. Each field is the chance of it for a frame, 0 to 1.
type FrameFaults struct {
	Duplicate float64 // it comes twice
	Reorder   float64 // it comes after the one that follows it
	Replay    float64 // a frame recorded earlier, on any connection of the link, comes before it
}

// Options say how a link is made.
type Options struct {
	Listen string          // IP:port, port 0 for a free one
	Target string          // IP:port of the process that listens
	Split  bufio.SplitFunc // of the stream into frames, as they are on the wire; nil where only bytes are known
	Seed   uint64          // of the frames' faults
}

// conditions are the faults of a direction.
type conditions struct {
	delay   time.Duration
	stalled bool // bytes wait
	cut     bool // bytes are lost
	frames  FrameFaults
}

// Link is a running proxy.
type Link struct {
	options  Options
	listener net.Listener
	context  context.Context
	stop     context.CancelFunc
	wait     sync.WaitGroup
	bytes    [directions]atomic.Int64
	accepted atomic.Int64

	mu       sync.Mutex
	state    [directions]conditions
	open     map[*pair]bool
	recorded [directions][][]byte
	chance   *rand.Rand
}

// pair is a connection from the one who dials and the one on to the target.
type pair struct {
	from, to *net.TCPConn
	holed    atomic.Bool // bytes of it were lost: it cannot go on after the fault
}

func (p *pair) close() {
	p.from.Close()
	if p.to != nil {
		p.to.Close()
	}
}

// reset closes both connections so that their ends see a reset.
func (p *pair) reset() {
	p.from.SetLinger(0)
	if p.to != nil {
		p.to.SetLinger(0)
	}
	p.close()
}

// Start listens; its error is that of listening.
func Start(o Options) (*Link, error) {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	l := &Link{options: o, listener: listener, open: map[*pair]bool{}, chance: rand.New(rand.NewPCG(o.Seed, 0))}
	l.context, l.stop = context.WithCancel(context.Background())
	l.wait.Go(l.accept)
	return l, nil
}

// Address is where the process that dials finds the link.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Bytes counts what was passed on in a direction since the start.
func (l *Link) Bytes(d Direction) int64 { return l.bytes[d].Load() }

// Connections counts those accepted since the start.
func (l *Link) Connections() int64 { return l.accepted.Load() }

// Close ends the link and its connections.
func (l *Link) Close() {
	l.stop()
	l.listener.Close()
	l.Reset()
	l.wait.Wait()
}

func (l *Link) set(change func(*conditions), ds ...Direction) {
	if len(ds) == 0 {
		ds = []Direction{Forward, Backward}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range ds {
		change(&l.state[d])
	}
}

// Delay makes each piece wait so long before it is passed on; a pipe is not kept full meanwhile. With no direction
// named, this and the other faults are those of both.
func (l *Link) Delay(delay time.Duration, ds ...Direction) {
	l.set(func(c *conditions) { c.delay = delay }, ds...)
}

// Stall keeps bytes back until Heal; none is lost.
func (l *Link) Stall(ds ...Direction) { l.set(func(c *conditions) { c.stalled = true }, ds...) }

// Cut loses bytes until Heal. The ends are told nothing. A connection that has lost bytes is reset by Heal, as a stream
// with a hole cannot go on.
func (l *Link) Cut(ds ...Direction) { l.set(func(c *conditions) { c.cut = true }, ds...) }

// SetFrameFaults makes faults happen to whole frames. It needs Options.Split.
func (l *Link) SetFrameFaults(f FrameFaults, ds ...Direction) {
	l.set(func(c *conditions) { c.frames = f }, ds...)
}

// Heal ends all faults of both directions.
func (l *Link) Heal() {
	l.set(func(c *conditions) { *c = conditions{} })
	l.end(func(p *pair) bool { return p.holed.Load() })
}

// Reset resets every open connection. New ones may come.
func (l *Link) Reset() { l.end(func(*pair) bool { return true }) }

func (l *Link) end(which func(*pair) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		if which(p) {
			p.reset()
		}
	}
}

func (l *Link) now(d Direction) conditions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state[d]
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.accepted.Add(1)
		l.wait.Go(func() { l.serve(c.(*net.TCPConn)) })
	}
}

// serve relays a connection. While the forward direction is cut the target hears nothing of it.
func (l *Link) serve(from *net.TCPConn) {
	p := &pair{from: from}
	if !l.admit(p) {
		return
	}
	defer l.forget(p)
	for c := l.now(Forward); c.cut || c.stalled; c = l.now(Forward) {
		if !l.pause(poll) {
			return
		}
	}
	dialer := net.Dialer{Timeout: dialTime}
	to, err := dialer.DialContext(l.context, "tcp", l.options.Target)
	if err != nil {
		p.reset()
		return
	}
	l.mu.Lock()
	p.to = to.(*net.TCPConn)
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.relay(p, p.from, p.to, Forward) })
	both.Go(func() { l.relay(p, p.to, p.from, Backward) })
	both.Wait()
}

func (l *Link) admit(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.context.Err() != nil {
		p.reset()
		return false
	}
	l.open[p] = true
	return true
}

func (l *Link) forget(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, p)
	p.close()
}

// pause waits, and tells whether the link is still open.
func (l *Link) pause(d time.Duration) bool {
	select {
	case <-l.context.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// errHole ends the relaying of a direction that has lost bytes once the cut is over.
var errHole = errors.New("bytes were lost")

// relay passes on one direction until its end, which ends the other one too where the stream broke.
func (l *Link) relay(p *pair, from, to *net.TCPConn, d Direction) {
	var err error
	if l.options.Split != nil {
		err = l.relayFrames(p, from, to, d)
	} else {
		err = l.relayBytes(p, from, to, d)
	}
	if err != nil {
		p.reset()
		return
	}
	to.CloseWrite()
}

func (l *Link) relayBytes(p *pair, from io.Reader, to io.Writer, d Direction) error {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if err := l.pass(p, to, buffer[:n], d); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (l *Link) relayFrames(p *pair, from io.Reader, to io.Writer, d Direction) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, bufferSize), largestFrame)
	scanner.Split(l.options.Split)
	var held []byte // a frame that the next one overtakes
	for scanner.Scan() {
		frame := append([]byte(nil), scanner.Bytes()...)
		list, holds := l.disturb(frame, d)
		if holds && held == nil {
			held = frame
			continue
		}
		if held != nil {
			list = append(list, held)
			held = nil
		}
		for _, one := range list {
			if err := l.pass(p, to, one, d); err != nil {
				return err
			}
		}
	}
	return scanner.Err()
}

// disturb returns what travels in a frame's place, and whether the frame is to be overtaken.
func (l *Link) disturb(frame []byte, d Direction) (list [][]byte, holds bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	faults, old := l.state[d].frames, l.recorded[d]
	if len(old) > 0 && l.chance.Float64() < faults.Replay {
		list = append(list, old[l.chance.IntN(len(old))])
	}
	if len(old) < recorded {
		l.recorded[d] = append(old, frame)
	} else {
		old[l.chance.IntN(len(old))] = frame
	}
	list = append(list, frame)
	if l.chance.Float64() < faults.Duplicate {
		list = append(list, frame)
	}
	return list, l.chance.Float64() < faults.Reorder
}

// pass writes a piece as the conditions of its direction allow.
func (l *Link) pass(p *pair, to io.Writer, piece []byte, d Direction) error {
	c := l.now(d)
	if c.delay > 0 && !l.pause(c.delay) {
		return net.ErrClosed
	}
	for c = l.now(d); c.stalled && !c.cut; c = l.now(d) {
		if !l.pause(poll) {
			return net.ErrClosed
		}
	}
	if c.cut {
		p.holed.Store(true)
		return nil
	}
	if p.holed.Load() && !l.now(Forward).cut && !l.now(Backward).cut {
		return errHole
	}
	l.bytes[d].Add(int64(len(piece))) // before anybody can have read them
	n, err := to.Write(piece)
	l.bytes[d].Add(int64(n - len(piece)))
	return err
}
