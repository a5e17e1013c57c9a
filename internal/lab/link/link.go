// Package link is a TCP proxy between a process that dials (the client) and a process that listens (the target). It
// injects faults on request: delays, stalls, cuts in one or both directions and connection resets. When it is given a
// function that splits the stream into frames, it can also duplicate, reorder and replay frames.
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

// Direction is one of the two directions of a connection.
type Direction int

// The directions.
const (
	Forward  Direction = iota // from the client to the target
	Backward                  // from the target to the client
	directionCount
)

// Limits of the proxy.
const (
	maxFrameSize      = 32 << 20 // bytes
	maxRecordedFrames = 64       // frames of a direction that are kept for replays
	bufferSize        = 32 << 10 // bytes
	dialTimeout       = 5 * time.Second
	pollInterval      = 2 * time.Millisecond // between two checks whether a stall has ended
)

// FrameFaults are the faults of whole frames in one direction. Each field is the probability per frame, from 0 to 1.
type FrameFaults struct {
	Duplicate float64 // the frame is sent twice
	Reorder   float64 // the frame is sent after the one that follows it
	Replay    float64 // an earlier frame, from any connection of the link, is sent again before this one
}

// Options configure a link.
type Options struct {
	Listen string          // IP:port to listen on, port 0 for a free port
	Target string          // IP:port of the target
	Split  bufio.SplitFunc // splits the stream into frames, including their headers; nil to treat it as bytes
	Seed   uint64          // of the random generator for frame faults
}

// directionFaults are the current faults of one direction.
type directionFaults struct {
	delay       time.Duration
	stalled     bool // bytes are held back
	cut         bool // bytes are dropped
	frameFaults FrameFaults
}

// Link is a running proxy.
type Link struct {
	options        Options
	listener       net.Listener
	ctx            context.Context
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	bytesForwarded [directionCount]atomic.Int64
	connections    atomic.Int64

	mu             sync.Mutex
	faults         [directionCount]directionFaults
	openPairs      map[*connectionPair]bool
	recordedFrames [directionCount][][]byte
	rng            *rand.Rand
}

// connectionPair is a connection from the client and the corresponding connection to the target.
type connectionPair struct {
	client, target *net.TCPConn
	hasLostBytes   atomic.Bool // bytes were dropped, so the stream cannot continue after the cut
}

func (p *connectionPair) close() {
	p.client.Close()
	if p.target != nil {
		p.target.Close()
	}
}

// reset closes both connections with a TCP reset.
func (p *connectionPair) reset() {
	p.client.SetLinger(0)
	if p.target != nil {
		p.target.SetLinger(0)
	}
	p.close()
}

// Start starts a link that listens on o.Listen.
func Start(o Options) (*Link, error) {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	l := &Link{options: o, listener: listener, openPairs: map[*connectionPair]bool{},
		rng: rand.New(rand.NewPCG(o.Seed, 0))}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.goroutines.Go(l.acceptLoop)
	return l, nil
}

// Address returns the IP:port that the client dials.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Bytes returns the number of bytes forwarded in a direction since the start.
func (l *Link) Bytes(d Direction) int64 { return l.bytesForwarded[d].Load() }

// Connections returns the number of connections accepted since the start.
func (l *Link) Connections() int64 { return l.connections.Load() }

// Close stops the link and closes its connections.
func (l *Link) Close() {
	l.cancel()
	l.listener.Close()
	l.Reset()
	l.goroutines.Wait()
}

// updateFaults changes the faults of some directions, or of both if none is named.
func (l *Link) updateFaults(change func(*directionFaults), directions ...Direction) {
	if len(directions) == 0 {
		directions = []Direction{Forward, Backward}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range directions {
		change(&l.faults[d])
	}
}

// Delay delays each piece of data before it is forwarded. The next piece is read only after that, so a delay also
// limits the throughput. Delay and the other faults apply to both directions if none is named.
func (l *Link) Delay(delay time.Duration, directions ...Direction) {
	l.updateFaults(func(c *directionFaults) { c.delay = delay }, directions...)
}

// Stall holds back all bytes until Heal. No byte is lost.
func (l *Link) Stall(directions ...Direction) {
	l.updateFaults(func(c *directionFaults) { c.stalled = true }, directions...)
}

// Cut drops all bytes until Heal, without closing connections. Heal resets the connections that have lost bytes,
// because a stream with a gap cannot continue.
func (l *Link) Cut(directions ...Direction) {
	l.updateFaults(func(c *directionFaults) { c.cut = true }, directions...)
}

// SetFrameFaults sets the faults of whole frames. It requires Options.Split.
func (l *Link) SetFrameFaults(f FrameFaults, directions ...Direction) {
	l.updateFaults(func(c *directionFaults) { c.frameFaults = f }, directions...)
}

// Heal ends all faults in both directions.
func (l *Link) Heal() {
	l.updateFaults(func(c *directionFaults) { *c = directionFaults{} })
	l.resetMatching(func(p *connectionPair) bool { return p.hasLostBytes.Load() })
}

// Reset resets every open connection. New connections are still accepted.
func (l *Link) Reset() { l.resetMatching(func(*connectionPair) bool { return true }) }

func (l *Link) resetMatching(matches func(*connectionPair) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.openPairs {
		if matches(p) {
			p.reset()
		}
	}
}

func (l *Link) currentFaults(d Direction) directionFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[d]
}

func (l *Link) acceptLoop() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.connections.Add(1)
		l.goroutines.Go(func() { l.serve(c.(*net.TCPConn)) })
	}
}

// serve relays one connection. It connects to the target only when the forward direction is neither cut nor stalled.
func (l *Link) serve(client *net.TCPConn) {
	p := &connectionPair{client: client}
	if !l.register(p) {
		return
	}
	defer l.unregister(p)
	for faults := l.currentFaults(Forward); faults.cut || faults.stalled; faults = l.currentFaults(Forward) {
		if !l.sleep(pollInterval) {
			return
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(l.ctx, "tcp", l.options.Target)
	if err != nil {
		p.reset()
		return
	}
	l.mu.Lock()
	p.target = target.(*net.TCPConn)
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.relay(p, p.client, p.target, Forward) })
	directions.Go(func() { l.relay(p, p.target, p.client, Backward) })
	directions.Wait()
}

func (l *Link) register(p *connectionPair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		p.reset()
		return false
	}
	l.openPairs[p] = true
	return true
}

func (l *Link) unregister(p *connectionPair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.openPairs, p)
	p.close()
}

// sleep waits for d, and reports false if the link was closed in the meantime.
func (l *Link) sleep(d time.Duration) bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// errBytesLost ends the relay of a connection that has lost bytes, once no direction is cut any more.
var errBytesLost = errors.New("bytes were lost")

// relay copies one direction until EOF and then passes the EOF on to the receiver. On an error it resets both
// connections.
func (l *Link) relay(p *connectionPair, from, to *net.TCPConn, d Direction) {
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

func (l *Link) relayBytes(p *connectionPair, from io.Reader, to io.Writer, d Direction) error {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if err := l.forward(p, to, buffer[:n], d); err != nil {
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

func (l *Link) relayFrames(p *connectionPair, from io.Reader, to io.Writer, d Direction) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, bufferSize), maxFrameSize)
	scanner.Split(l.options.Split)
	var overtaken []byte // a frame that is sent after the next one
	for scanner.Scan() {
		frame := append([]byte(nil), scanner.Bytes()...)
		frames, isOvertaken := l.applyFrameFaults(frame, d)
		if isOvertaken && overtaken == nil {
			overtaken = frame
			continue
		}
		if overtaken != nil {
			frames = append(frames, overtaken)
			overtaken = nil
		}
		for _, next := range frames {
			if err := l.forward(p, to, next, d); err != nil {
				return err
			}
		}
	}
	return scanner.Err()
}

// applyFrameFaults returns the frames to send in place of a frame, and whether the next frame is to overtake it.
func (l *Link) applyFrameFaults(frame []byte, d Direction) (frames [][]byte, isOvertaken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	faults, recorded := l.faults[d].frameFaults, l.recordedFrames[d]
	if len(recorded) > 0 && l.rng.Float64() < faults.Replay {
		frames = append(frames, recorded[l.rng.IntN(len(recorded))])
	}
	if len(recorded) < maxRecordedFrames {
		l.recordedFrames[d] = append(recorded, frame)
	} else {
		recorded[l.rng.IntN(len(recorded))] = frame
	}
	frames = append(frames, frame)
	if l.rng.Float64() < faults.Duplicate {
		frames = append(frames, frame)
	}
	return frames, l.rng.Float64() < faults.Reorder
}

// forward writes data to the receiver, subject to the faults of the direction.
func (l *Link) forward(p *connectionPair, to io.Writer, data []byte, d Direction) error {
	faults := l.currentFaults(d)
	if faults.delay > 0 && !l.sleep(faults.delay) {
		return net.ErrClosed
	}
	for faults = l.currentFaults(d); faults.stalled && !faults.cut; faults = l.currentFaults(d) {
		if !l.sleep(pollInterval) {
			return net.ErrClosed
		}
	}
	if faults.cut {
		p.hasLostBytes.Store(true)
		return nil
	}
	if p.hasLostBytes.Load() && !l.currentFaults(Forward).cut && !l.currentFaults(Backward).cut {
		return errBytesLost
	}
	l.bytesForwarded[d].Add(int64(len(data))) // before the write, so that a receiver finds its bytes counted
	n, err := to.Write(data)
	l.bytesForwarded[d].Add(int64(n - len(data)))
	return err
}
