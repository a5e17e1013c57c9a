package stand

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
)

// Proxy passes the connections of workers on to a dispatcher. It can lose the answer to one call: it then resets the
// worker's connection in place of the answer, which the dispatcher has written.
type Proxy struct {
	listener net.Listener
	target   string
	record   *Record
	marker   atomic.Pointer[string] // the next call that contains it loses its answer
}

// StartProxy starts a proxy on a free loopback port.
func StartProxy(target string, record *Record) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, record: record}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

// Address returns the proxy's address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the listener.
func (p *Proxy) Close() { p.listener.Close() }

// LoseAnswer makes the proxy lose the answer to the next call that contains the marker.
func (p *Proxy) LoseAnswer(marker string) { p.marker.Store(&marker) }

// serve passes one connection on.
func (p *Proxy) serve(client *net.TCPConn) {
	defer client.Close()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	var loses atomic.Bool
	go func() {
		buffer, seen := make([]byte, 32<<10), []byte(nil)
		for {
			n, err := client.Read(buffer)
			seen = append(seen, buffer[:n]...)
			if marker := p.marker.Load(); marker != nil && bytes.Contains(seen, []byte(*marker)) &&
				p.marker.CompareAndSwap(marker, nil) {
				loses.Store(true)
			}
			if n > 0 {
				target.Write(buffer[:n])
			}
			if err != nil {
				return
			}
		}
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := target.Read(buffer)
		if n > 0 && loses.Load() {
			p.record.Add("proxy: the answer %q is lost, and its connection reset", firstLine(buffer[:n]))
			client.SetLinger(0)
			return
		}
		if n > 0 {
			client.Write(buffer[:n])
		}
		if err != nil {
			if err != io.EOF {
				client.SetLinger(0)
			}
			return
		}
	}
}

func firstLine(text []byte) string {
	line, _, _ := bytes.Cut(text, []byte("\r\n"))
	return string(line)
}
