package upstream

// How a call is made on a connection to a host.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"topazfall/internal/exchange"
)

// fresh tells whether a relay goes on a new connection. A kept one may be dead without a sign of it, and what
// is written to it is lost as if it had run: a new one costs some milliseconds, a message that must not run
// twice all of it. And a host may answer the message before a second time, when this one is on its way already: taken
// for its own, that would end a relay which still runs. The others use kept ones as long as these live.
func (s *Side) fresh(r *exchange.Relay) bool { return r.Exchange.Own || s.wary() }

func (s *Side) wary() bool { return s.core.Now()-s.burnt.Load() < burntTime.Microseconds() }

var errNotSent = errors.New("not sent")

// call is one request to a host and what becomes of it.
type call struct {
	once    bool               // it must not run twice
	fresh   bool               // on a new connection
	proves  bool               // an answer shows that the address does not lose what is written to it
	relay   *exchange.Relay    // nil for what is none
	out     *fasthttp.Response // the answer is read into it
	writeBy time.Time
	readBy  time.Time

	// compose returns the bytes of the request for a connection that is up, right before they are written, or nil if
	// nothing may be written any more.
	compose func(net.Conn) []byte
}

// talk makes one call to a host: it writes the request once and reads the answer. written tells whether the last byte
// was handed to the connection: before that nothing can have run.
func (s *Side) talk(h *exchange.Host, c call) (written bool, err error) {
	if h.Several {
		return s.across(h, c)
	}
	client := s.client(h.Addr)
	cc, err := client.AcquireConn(0, false)
	for err == nil && (c.fresh && cc.Conn().(*line).used || s.spent(cc.Conn().(*line))) { // nothing was written to it
		client.CloseConn(cc)
		cc, err = client.AcquireConn(0, false)
	}
	if err != nil {
		return false, err
	}
	_, written, keep, err := s.say(client, cc.Conn().(*line), c)
	if keep {
		client.ReleaseConn(cc)
	} else {
		client.CloseConn(cc)
	}
	return written, err
}

// say makes a call on this connection. n is how many bytes were handed to it, written tells whether all were; keep,
// whether the connection may be used again.
func (s *Side) say(client *fasthttp.HostClient, l *line, c call) (n int, written, keep bool, err error) {
	used := l.used
	l.SetWriteDeadline(c.writeBy)
	l.SetReadDeadline(c.readBy)
	bytes := c.compose(l) // nothing stands between its last question and the first byte
	if bytes == nil {
		return 0, false, true, errNotSent
	}
	n, err = l.Write(bytes)
	l.used = true
	if c.relay != nil && n == len(bytes) {
		s.o.Metrics.Forwards.Add(1)
	}
	in := client.AcquireReader(l)
	defer client.ReleaseReader(in)
	if err == nil {
		err = answer(c.out, in, c.relay)
	}
	if c.relay != nil { // before the connection can be another's: a call-off must not close that
		s.mu.Lock()
		delete(s.early, c.relay)
		s.mu.Unlock()
	}
	if err != nil {
		if used && broke(err) {
			s.burnt.Store(s.core.Now())
		}
		return n, n == len(bytes), false, err
	}
	l.idle = s.core.Now()
	return n, true, !c.out.ConnectionClose() && in.Buffered() == 0, nil
}

// answer reads a host's answer, for the relay r if that is not nil: a 202 counts as soon as its head is here.
func answer(out *fasthttp.Response, in *bufio.Reader, r *exchange.Relay) error {
	err := out.Header.Read(in)
	for err == nil && out.StatusCode() < fasthttp.StatusOK {
		err = out.Header.Read(in)
	}
	if err != nil {
		return err
	}
	switch out.StatusCode() {
	case fasthttp.StatusAccepted:
		if r != nil {
			r.Accept()
		}
	case fasthttp.StatusNoContent, fasthttp.StatusNotModified: // without a body
		return nil
	}
	if err = out.ReadBody(in, largest); err == nil && out.Header.ContentLength() == -1 {
		err = out.Header.ReadTrailer(in)
	}
	return err
}

// broke tells that the other side has ended or reset the connection.
func broke(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// spent tells that a kept connection is of no use any more: it is stale, or has been idle for so long that the host may
// be closing it right now. The pool's own cleaner sees to that in time, but for when the process stood still.
func (s *Side) spent(l *line) bool {
	idle := s.core.Now() - max(l.idle, l.born)
	return idle > s.timesNow().ConnIdle.Microseconds()*2/3 || stale(l)
}

// hop names the fields that belong to the client's connection, or that are written anew.
var hop = map[string]bool{"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "expect": true, "content-length": true, "x-timeout-ms": true}

// request is a relay as it goes on the wire: the message as it came, but for what belongs to its connection
// and for the time left, which is rounded up so that the host never stops before the dispatcher does.
func request(r *exchange.Relay, now int64) []byte {
	x := r.Exchange
	b := make([]byte, 0, 512+len(x.Body))
	b = append(append(append(append(b, x.Method...), ' '), x.Path...), " HTTP/1.1\r\n"...)
	for _, f := range x.Fields {
		if !hop[exchange.Lower(f.Name)] {
			b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
		}
	}
	b = strconv.AppendInt(append(b, "X-Timeout-Ms: "...), max((r.Due-now+999)/1000, 1), 10)
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(x.Body)), 10)
	return append(append(b, "\r\n\r\n"...), x.Body...)
}

// bare composes a request without a body.
func bare(method, path, host string) func(net.Conn) []byte {
	return func(net.Conn) []byte {
		return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", method, path, host)
	}
}
