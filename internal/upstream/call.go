package upstream

// This file makes calls on connections to hosts (workers).

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

// needsNewConn reports whether a relay (one attempt at one worker) must not use a kept connection. A kept connection
// may be dead without a sign of it, and a message written to it counts as if it had run: a new connection costs some
// milliseconds, but a message that must not run twice would be lost. A host may also answer the previous message of a
// kept connection a second time while this one is under way; taken for this message's answer, that would end a relay
// that still runs. Other relays use kept connections unless one was found dead recently.
func (t *Transport) needsNewConn(r *exchange.Relay) bool {
	return r.Exchange.FreshConnOnly || t.avoidsReuse()
}

// avoidsReuse reports whether a kept connection was found dead within the last reuseBan.
func (t *Transport) avoidsReuse() bool {
	return t.core.Now()-t.deadConnFoundAt.Load() < reuseBan.Microseconds()
}

// errNotSent is returned when compose decides that the request must not be written any more.
var errNotSent = errors.New("not sent")

// call is one request to a host, and where its answer goes.
type call struct {
	runOnce       bool               // the job must not run twice
	newConn       bool               // only a connection on which nothing was sent yet may be used
	provesAddress bool               // an answer shows that the address does not lose the requests written to it
	relay         *exchange.Relay    // nil if the call is not a relay
	response      *fasthttp.Response // the answer is read into it
	keepsBody     bool               // the body of the answer is needed
	writeDeadline time.Time
	readDeadline  time.Time

	// compose returns the bytes of the request for an open connection, right before they are written, or nil if nothing
	// may be written any more.
	compose func(net.Conn) []byte
}

// roundTrip makes one call to a host: it writes the request once and reads the answer. written reports whether the last
// byte was handed to the connection: without it the job cannot have run.
func (t *Transport) roundTrip(h *exchange.Host, c call) (written bool, err error) {
	if h.MultiAddress {
		return t.roundTripAcross(h, c)
	}
	pool := t.pool(h.Addr)
	pooled, err := pool.AcquireConn(0, false)
	for err == nil && (c.newConn && pooled.Conn().(*countedConn).isUsed ||
		t.isSpent(pooled.Conn().(*countedConn))) { // this call has not written to it
		pool.CloseConn(pooled)
		pooled, err = pool.AcquireConn(0, false)
	}
	if err != nil {
		return false, err
	}
	_, written, keep, err := t.roundTripOn(pool, pooled.Conn().(*countedConn), c)
	if keep {
		pool.ReleaseConn(pooled)
	} else {
		pool.CloseConn(pooled)
	}
	return written, err
}

// roundTripOn makes a call on a connection. n is how many bytes were handed to it, written whether all were, and keep
// whether the connection may be used again.
func (t *Transport) roundTripOn(pool *fasthttp.HostClient, conn *countedConn, c call) (
	n int, written, keep bool, err error) {
	wasUsed := conn.isUsed
	conn.SetWriteDeadline(c.writeDeadline)
	conn.SetReadDeadline(c.readDeadline)
	request := c.compose(conn) // nothing may come between its last check and the first byte
	if request == nil {
		return 0, false, true, errNotSent
	}
	n, err = conn.Write(request)
	conn.isUsed = true
	if c.relay != nil && n == len(request) {
		t.options.Metrics.Forwards.Add(1)
	}
	reader := pool.AcquireReader(conn)
	defer pool.ReleaseReader(reader)
	if err == nil {
		err = readAnswer(reader, c)
	}
	if c.relay != nil { // before the connection is used for another call, which Cancel must not close
		t.mu.Lock()
		delete(t.unanswered, c.relay)
		t.mu.Unlock()
	}
	if err != nil {
		if wasUsed && isBroken(err) {
			t.deadConnFoundAt.Store(t.core.Now())
		}
		return n, n == len(request), false, err
	}
	conn.idleSince = t.core.Now()
	return n, true, !c.response.ConnectionClose() && reader.Buffered() == 0, nil
}

// readAnswer reads a host's answer. A 202 marks the call's relay as accepted as soon as the header is read.
func readAnswer(reader *bufio.Reader, c call) error {
	response := c.response
	err := response.Header.Read(reader)
	for err == nil && response.StatusCode() < fasthttp.StatusOK {
		err = response.Header.Read(reader)
	}
	if err != nil {
		return err
	}
	switch response.StatusCode() {
	case fasthttp.StatusAccepted:
		if c.relay != nil {
			c.relay.MarkAccepted()
		}
	case fasthttp.StatusNoContent, fasthttp.StatusNotModified: // without a body
		return nil
	}
	if c.keepsBody {
		err = response.ReadBody(reader, maxAnswerBody)
	} else {
		err = discardBody(reader, response.Header.ContentLength())
	}
	if err == nil && response.Header.ContentLength() == -1 {
		err = response.Header.ReadTrailer(reader)
	}
	return err
}

// isBroken reports whether err means that the other side has closed or reset the connection.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// isSpent reports whether a kept connection must not be used any more: it is stale, or has been idle for so long that
// the host may be closing it right now. The pool closes such connections in time, unless the process was suspended.
func (t *Transport) isSpent(conn *countedConn) bool {
	idle := t.core.Now() - max(conn.idleSince, conn.openedAt)
	return idle > t.currentSettings().IdleTimeout.Microseconds()*2/3 || isStale(conn)
}

// hopByHopFields are the header fields that are not forwarded: they belong to the client's connection, or are written
// anew.
var hopByHopFields = map[string]bool{"connection": true, "keep-alive": true, "proxy-connection": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true, "expect": true, "content-length": true,
	"x-timeout-ms": true}

// encodeRequest returns the bytes of a relay's request: the message as it arrived, without the fields of its connection
// and with the time that is left. That is rounded up, so that the host never gives up before the dispatcher does.
func encodeRequest(r *exchange.Relay, now int64) []byte {
	x := r.Exchange
	b := make([]byte, 0, 512+len(x.Body))
	b = append(append(append(append(b, x.Method...), ' '), x.Path...), " HTTP/1.1\r\n"...)
	for _, f := range x.Fields {
		if !hopByHopFields[exchange.Lower(f.Name)] {
			b = append(append(append(append(b, f.Name...), ": "...), f.Value...), "\r\n"...)
		}
	}
	b = strconv.AppendInt(append(b, "X-Timeout-Ms: "...), max((r.Due-now+999)/1000, 1), 10)
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(len(x.Body)), 10)
	return append(append(b, "\r\n\r\n"...), x.Body...)
}

// encodeBareRequest returns a compose function for a request without a body.
func encodeBareRequest(method, path, host string) func(net.Conn) []byte {
	return func(net.Conn) []byte {
		return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n\r\n", method, path, host)
	}
}
