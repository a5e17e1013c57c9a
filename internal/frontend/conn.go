package frontend

import (
	"container/list"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"topazfall/internal/dispatch"
	"topazfall/internal/socket"
)

const (
	proveTime  = 2500 * time.Millisecond // from accepting a connection till it has brought something of use
	pieceTime  = 2500 * time.Millisecond // between two pieces of a request; who stops is owed an error within 3 s
	lingerTime = time.Second             // for an error to arrive before its connection is closed
	lingerMost = 1 << 20                 // bytes passed over meanwhile
	largeFrom  = 16 << 10                // a request of more bytes needs a place among the large ones
	partings   = 8                       // connections at a time that have lost their place and are still answered
)

// errCrowded ends the reading of a large request that finds no place.
var errCrowded = errors.New("no place for a large request")

// listener bounds the connections that are open at a time and decides which go first when there are too many.
// Anyone can connect and say nothing, or ask for /ready and stay. So a connection is unproven until it has
// brought a message or a call-back; it must do so in time, and it is the first to go. Proven ones may be quiet
// for long: an unasked closing can cost the message that crosses it.
//
// The order in which they go for a new one:
//
//  1. what has had its last answer, and is kept only for that to arrive; then the oldest unproven one that is between
//     requests and to which nothing has come;
//  2. the oldest of the other unproven ones: a request has begun to come on them, for proveTime at most; it is refused;
//  3. the proven one that has been between requests for longest, and to which nothing has come;
//  4. the new one itself: on all the others a request is being read or answered.
type listener struct {
	net.Listener
	large atomic.Int64 // places left for large requests
	half  atomic.Int64 // of those, what unproven connections leave to the others

	// Once set, a connection goes there as soon as it is between requests. It is not closed for its client then.
	elsewhere atomic.Pointer[func(Kept) error]
	going     chan struct{} // closed then

	mu       sync.Mutex
	most     int           // connections at a time
	places   int           // for large requests, taken or not
	parting  int           // connections that have lost their place and are not closed yet
	resumed  chan struct{} // while nothing is accepted
	unproven *list.List    // of *conn, the oldest first
	proven   *list.List    // the longest unused first
}

// listen bounds what comes in on ln to so many connections, and to memory for so many large requests.
func listen(ln net.Listener, most, large int) *listener {
	l := &listener{Listener: ln, going: make(chan struct{}), unproven: list.New(), proven: list.New()}
	l.bound(most, large)
	return l
}

// bound sets the bounds anew. What is over them ends by itself, or when its place is wanted.
func (l *listener) bound(most, large int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.large.Add(int64(large - l.places))
	l.half.Store(int64(large / 2))
	l.most, l.places = most, large
}

// pause stops the accepting, until resume. What waits to be accepted is for whoever else listens on the socket.
func (l *listener) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && l.resumed == nil {
		l.resumed = make(chan struct{})
		d.SetDeadline(time.Unix(1, 0))
	}
}

func (l *listener) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed != nil {
		l.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Time{})
		close(l.resumed)
		l.resumed = nil
	}
}

// rest takes what waits to be accepted, without waiting for more. While the accepting is paused that is for whoever
// else listens on the socket.
func (l *listener) rest() (all []*conn) {
	l.mu.Lock()
	paused, most := l.resumed != nil, l.most
	l.mu.Unlock()
	raw := socket.Raw(l.Listener)
	if raw == nil || paused {
		return nil
	}
	raw.Control(func(fd uintptr) {
		for range most { // not Accept, which waits, and at a deadline that is over looks for nothing
			c, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			f := os.NewFile(uintptr(c), "accepted")
			if nc, err := net.FileConn(f); err == nil {
				if c := l.admit(nc); c != nil {
					all = append(all, c)
				}
			}
			f.Close()
		}
	})
	return all
}

// Close ends the listening, also while it is paused.
func (l *listener) Close() error {
	l.resume()
	return l.Listener.Close()
}

// trim closes unproven connections until no more than so many are open, or none is left but those on which a request
// has begun to come.
func (l *listener) trim(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.unproven.Len()+l.proven.Len() > most && l.dropFirst(l.unproven, (*conn).expendable) {
	}
}

// Kept is a connection between two requests, for another process to go on with.
type Kept struct {
	Conn           syscall.Conn
	Proven, Client bool
	Begun          *dispatch.Begun // the message in hand on it; nil for none
	More           bool            // its client has sent more before the answer
}

// passOn makes all connections go elsewhere, each as soon as it is between requests.
func (l *listener) passOn(to func(Kept) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.elsewhere.Swap(&to) == nil {
		close(l.going)
	}
	for _, some := range []*list.List{l.unproven, l.proven} {
		for e := some.Front(); e != nil; e = e.Next() {
			// Its goroutine waits for a first byte, and now wakes in Read. A busy one must not be woken: it reads
			// a request, or waits for its client to leave, and comes to Read by itself.
			if c := e.Value.(*conn); c.idle {
				c.Conn.SetReadDeadline(time.Unix(1, 0))
			}
		}
	}
}

// keepOn ends the handing over.
func (l *listener) keepOn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.elsewhere.Swap(nil) != nil {
		l.going = make(chan struct{})
	}
}

func (l *listener) goes() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.going
}

// passed hands c over if it is between requests and is to go. The other process has it then: what closes here is
// no more than our end of it.
func (c *conn) passed() bool {
	to := c.l.elsewhere.Load()
	if to == nil || c.got > 0 || c.linger.Load() {
		return false
	}
	sc := c.socket()
	if sc == nil {
		return false
	}
	c.l.mu.Lock()
	k := Kept{Conn: sc, Proven: c.isProven, Client: c.client}
	c.l.mu.Unlock()
	return (*to)(k) == nil
}

func (c *conn) socket() syscall.Conn {
	sc, _ := c.Conn.(syscall.Conn)
	return sc
}

// unread tells whether something has come that nobody has read yet.
func (c *conn) unread() bool { return socket.Look(c.Conn) == socket.Readable }

// begin waits for the first byte of a request, and makes the connection a busy one before anybody reads that byte: who
// closes idle connections sees it in the socket till then. It tells whether the connection is still to be read; one
// that was closed meanwhile is not, as its client sends what crossed the closing once more elsewhere.
func (c *conn) begin() bool {
	came := false
	if raw := socket.Raw(c.Conn); raw != nil {
		raw.Read(func(fd uintptr) bool { // ends as well when the connection is closed or the deadline is over
			state := socket.Peek(fd)
			came = state == socket.Readable
			return state != socket.Quiet
		})
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.idle = c.idle && !came
	return c.place != nil
}

// busy is the number of connections that have begun a request without its end.
func (l *listener) busy() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, some := range []*list.List{l.unproven, l.proven} {
		for e := some.Front(); e != nil; e = e.Next() {
			if !e.Value.(*conn).idle {
				n++
			}
		}
	}
	return n
}

// count is the number of open connections.
func (l *listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unproven.Len() + l.proven.Len()
}

// closeIdle closes the connections of clients that have no message in hand. One of which a message has come, though
// nobody has read it yet, gets its answer. A message that crosses the closing has not been read, and its client sends
// it again elsewhere.
func (l *listener) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.proven.Front(); e != nil; {
		c := e.Value.(*conn)
		e = e.Next()
		if c.client && c.resting() {
			l.drop(c)
		}
	}
}

// resting tells that the connection is between requests, and that none has come; l.mu is held.
func (c *conn) resting() bool { return c.idle && !c.unread() }

// track follows what the server does with a connection.
func track(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	if state == fasthttp.StateActive {
		c.first, c.stray = time.Now(), c.got == 0
	}
	if state == fasthttp.StateIdle {
		c.got = 0
		c.free()
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.idle = state == fasthttp.StateIdle
	if c.isProven && c.place != nil {
		c.l.proven.MoveToBack(c.place)
	}
}

// Accept goes on when descriptors run out for a moment: the server would end for good.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil {
			if c := l.admit(nc); c != nil {
				return c, nil
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
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) && !errors.Is(err, syscall.ECONNABORTED) {
			return nil, err
		}
		if faults.allow() {
			slog.Warn("accept", "error", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// admit makes room for a new connection. Where all that are open are busy it is the new one that goes.
func (l *listener) admit(nc net.Conn) *conn {
	c := &conn{Conn: nc, l: l, accepted: time.Now(), idle: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unproven.Len()+l.proven.Len() >= l.most && !l.evict() {
		nc.Close()
		return nil
	}
	c.place = l.unproven.PushBack(c)
	return c
}

// evict takes its place from the connection that is the first to go, and tells whether there was one. One on which no
// request has begun is closed: should one cross that, it has not been read. l.mu is held.
func (l *listener) evict() bool {
	return l.dropFirst(l.unproven, (*conn).expendable) || l.partWithFirst() ||
		l.dropFirst(l.proven, (*conn).resting)
}

// partWithFirst parts with the oldest unproven connection, and tells whether there is one; l.mu is held.
func (l *listener) partWithFirst() bool {
	first := l.unproven.Front()
	if first == nil {
		return false
	}
	l.part(first.Value.(*conn))
	return true
}

// part takes its place from a connection on which a request has begun to come. The request may be whole in its
// reader's hands by now, and is lost if nobody answers it. So the reading ends with what is here, and the connection is
// closed by its own goroutine as soon as that has answered, whether or not it came whole. Where many part at a time
// they are closed at once, lest they take descriptors that others need. l.mu is held.
func (l *listener) part(c *conn) {
	half, ok := c.Conn.(interface{ CloseRead() error })
	if !ok || l.parting >= partings {
		l.drop(c)
		return
	}
	l.leave(c)
	l.parting++
	c.parting.Store(true)
	half.CloseRead()
}

// dropFirst closes the first connection of a list that may go, and tells whether there is one; l.mu is held.
func (l *listener) dropFirst(list *list.List, may func(*conn) bool) bool {
	for e := list.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); may(c) {
			l.drop(c)
			return true
		}
	}
	return false
}

// expendable tells that nothing is lost with the connection; l.mu is held.
func (c *conn) expendable() bool { return c.ended || c.resting() }

// drop closes a connection without further ado; l.mu is held.
func (l *listener) drop(c *conn) {
	l.leave(c)
	c.Conn.Close()
}

func (l *listener) leave(c *conn) {
	switch {
	case c.place == nil:
	case c.isProven:
		l.proven.Remove(c.place)
	default:
		l.unproven.Remove(c.place)
	}
	c.place = nil
}

// conn is a connection from outside. A handler does not read, so it would not see the connection end: while
// it waits, what its client sends on is read and passed over.
type conn struct {
	net.Conn
	l        *listener
	accepted time.Time

	place    *list.Element // in a list of l; l.mu guards it and what follows
	isProven bool
	client   bool // it has brought a message
	idle     bool // it is between requests
	ended    bool // its last answer is written, and only has to arrive

	trusted atomic.Bool // as isProven
	linger  atomic.Bool // an error is the last that is written
	parting atomic.Bool // it has lost its place, and is closed as soon as its request is answered
	large   atomic.Bool // the request has a place among the large ones

	first   time.Time // when the first byte of the latest request came; the serving goroutine's, as the rest
	got     int       // bytes read since the last request ended
	readBy  time.Time // the server's deadline for reading; zero for none
	kept    bool      // it came from another process, and may be quiet
	stray   bool      // the latest request began with bytes that came along with the one before
	ahead   int       // bytes that were read while the latest message waited; its watch's until stopped
	stopped chan struct{}

	presence *presence // of the client whose message is in hand
}

// prove notes that the connection has brought something of use. It tells whether it is still there: an unproven one may
// have had to go while its request was being read.
func (c *conn) prove(client bool) bool {
	c.trusted.Store(true)
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.client = c.client || client
	if c.place != nil && !c.isProven {
		c.l.unproven.Remove(c.place)
		c.isProven, c.place = true, c.l.proven.PushBack(c)
	}
	return c.place != nil
}

// free gives the place of a large request back.
func (c *conn) free() {
	if c.large.Swap(false) {
		c.l.large.Add(1)
	}
}

// Close closes the connection; it may be called more than once. After an error, what the client is still
// sending is passed over for a while: closing with bytes unread would reset the connection, and the error
// could be lost with it. Meanwhile it is the first to go when others need the room.
func (c *conn) Close() error {
	if c.linger.Swap(false) && !c.parting.Load() {
		c.l.mu.Lock()
		c.ended = true
		if c.place != nil {
			c.l.leave(c)
			c.isProven, c.place = false, c.l.unproven.PushFront(c)
		}
		c.l.mu.Unlock()
		if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
			c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
			io.CopyN(io.Discard, c.Conn, lingerMost)
		}
	}
	c.free()
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.parting.Swap(false) {
		c.l.parting--
	}
	c.l.leave(c)
	return c.Conn.Close()
}

// SetReadDeadline lets no deadline of the server's outlast the time in which a connection must prove good. The
// server takes one that came from another process for new, and would wait for its first byte as it does for that.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.kept {
		c.kept, t = false, time.Now().Add(idleTime)
	}
	if end := c.accepted.Add(proveTime); !c.trusted.Load() && (t.IsZero() || t.After(end)) {
		t = end
	}
	c.readBy = t
	return c.Conn.SetReadDeadline(t)
}

// expectPiece bounds the wait for more of a request that has begun to come. The server's own deadline is for the whole
// of it, and so long that a client which stops in the middle and stays would learn nothing in the time that it is owed
// an error, once its connection had proved good.
func (c *conn) expectPiece() {
	by := time.Now().Add(pieceTime)
	if c.readBy.IsZero() || by.Before(c.readBy) {
		c.Conn.SetReadDeadline(by)
	}
}

// Read is bounded for large requests, and ends where the connection goes to another process.
func (c *conn) Read(p []byte) (int, error) {
	if c.got >= largeFrom && !c.large.Load() {
		if left := c.l.large.Add(-1); left < 0 || left < c.l.half.Load() && !c.trusted.Load() {
			c.l.large.Add(1)
			return 0, errCrowded
		}
		c.large.Store(true)
	} else if c.got < largeFrom {
		p = p[:min(len(p), largeFrom-c.got)]
	}
	if c.passed() || c.got == 0 && !c.begin() {
		return 0, io.EOF
	}
	if c.got > 0 {
		c.expectPiece()
	}
	n, err := c.Conn.Read(p)
	c.got += n
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.passed() {
		return 0, io.EOF
	}
	return n, err
}

// watch reads until unwatch, and passes over what comes: a client that has sent more than its message may leave as any
// other, and only who reads on sees it. The channel is closed when the client has closed the connection, or one
// direction of it, or has reset it; or when it has sent so much that it cannot be meant for anybody to read.
func (c *conn) watch() <-chan struct{} {
	gone := make(chan struct{})
	c.stopped = make(chan struct{})
	c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(c.stopped)
		var err error
		if c.ahead, err = socket.PassOver(c.Conn.Read, lingerMost); !errors.Is(err, os.ErrDeadlineExceeded) {
			close(gone)
		}
	}()
	return gone
}

// unwatch ends the reading. It tells whether the client has sent more before it had its answer: the connection is then
// of no further use, as what came is lost.
func (c *conn) unwatch() (more bool) {
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-c.stopped
	c.Conn.SetReadDeadline(time.Time{})
	return c.ahead > 0
}

// limiter lets so many through a second. Whoever sends rubbish at full speed must not fill the log too.
type limiter struct {
	most int
	mu   sync.Mutex
	at   int64
	n    int
}

// faults bounds what is logged of faults in what comes from outside.
var faults = &limiter{most: 20}

func (l *limiter) allow() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.at {
		l.at, l.n = now, 0
	}
	l.n++
	return l.n <= l.most
}
