package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is a job that a client hands in.
type Request struct {
	ID, Class, Tenant string
	Timeout           time.Duration
	Cost              time.Duration // the hint, 0 for none
	Body              string
}

// Reply is what a client got for a request. Status is 0 if there was no whole answer.
type Reply struct {
	Request
	Status int
	Body   string
	Sent   time.Time // after its last byte
	Ended  time.Time
	Err    error
	Unsent bool // its last byte could not be written
}

// Encode returns the request's bytes.
func (q Request) Encode() []byte {
	cost := ""
	if q.Cost > 0 {
		cost = fmt.Sprintf("X-Cost: %d\r\n", q.Cost.Microseconds())
	}
	return fmt.Appendf(nil, "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: %s\r\nX-Timeout-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		q.ID, q.Class, q.Tenant, q.Timeout.Milliseconds(), cost, len(q.Body), q.Body)
}

// Send hands a request in on a connection of its own and waits for the answer, for a second beyond its timeout.
func Send(address string, q Request, record *Record) Reply {
	r := Reply{Request: q}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.Err, r.Ended = err, time.Now()
		return r
	}
	defer conn.Close()
	return SendOn(conn, q, record)
}

// SendOn hands a request in on a connection and waits for the answer, for a second beyond its timeout.
func SendOn(conn net.Conn, q Request, record *Record) Reply { return SendSlowly(conn, q, 1, 0, record) }

// SendSlowly is SendOn for a client that writes a request in several pieces, with a pause between two of them.
func SendSlowly(conn net.Conn, q Request, pieces int, pause time.Duration, record *Record) Reply {
	r, text := Reply{Request: q}, q.Encode()
	for i := 0; i < pieces && r.Err == nil; i++ {
		if i > 0 {
			time.Sleep(pause)
		}
		_, r.Err = conn.Write(text[i*len(text)/pieces : (i+1)*len(text)/pieces])
		record.Add("client: sent piece %d of %d of %s, class %s, timeout %v", i+1, pieces, q.ID, q.Class, q.Timeout)
	}
	r.Sent, r.Unsent = time.Now(), r.Err != nil
	if r.Err == nil {
		conn.SetReadDeadline(r.Sent.Add(q.Timeout + time.Second))
		r.Err = readAnswer(conn, &r)
	}
	r.Ended = time.Now()
	record.Add("client: %s: status %d, %q, after %v, error %v", q.ID, r.Status, r.Body,
		r.Ended.Sub(r.Sent).Round(time.Millisecond), r.Err)
	return r
}

// readAnswer reads one whole answer.
func readAnswer(conn net.Conn, r *Reply) error {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	r.Status, r.Body = answer.StatusCode, string(body)
	return nil
}
