// Package failinglistener is a stand-in for a listener that the system cannot accept connections on for a while.
package failinglistener

import (
	"net"
	"os"
	"syscall"
)

// Listener fails with each of its errors first, as accept(2) does, and then accepts. Only one goroutine may accept.
type Listener struct {
	net.Listener
	Errors []syscall.Errno
}

// Accept returns the next error, or the next connection if there is none left.
func (l *Listener) Accept() (net.Conn, error) {
	if len(l.Errors) == 0 {
		return l.Listener.Accept()
	}
	next := l.Errors[0]
	l.Errors = l.Errors[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", next)}
}
