// Package socket inspects the state of a connection in the operating system, without blocking and also while another
// goroutine reads from the connection.
package socket

import (
	"io"
	"syscall"
)

// State is the state of a connection as its reader would find it.
type State int

// The states of a connection.
const (
	NoData   State = iota // it is open and has no unread data
	Readable              // data has arrived that was not read yet
	Closed                // the other side has closed, half-closed or reset it, or it is closed here
)

// RawConn returns the raw connection of a connection or listener, or nil if it has none.
func RawConn(conn any) syscall.RawConn {
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// Inspect returns the state of a connection and leaves unread data in place. A close behind unread data is not noticed:
// the state is Readable then. A connection without a raw connection is in state NoData.
func Inspect(conn any) State {
	raw := RawConn(conn)
	if raw == nil {
		return NoData
	}
	state := Closed
	// raw.Read would wait for a concurrent reader, and would fail after the read deadline.
	raw.Control(func(fd uintptr) { state = InspectFD(fd) })
	return state
}

// InspectFD is Inspect for a file descriptor.
func InspectFD(fd uintptr) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if n == 0 && err == nil {
		err = io.EOF
	}
	return stateOf(err)
}

// stateOf returns the state of a connection that the error of a non-blocking read shows.
func stateOf(err error) State {
	switch err {
	case nil:
		return Readable
	case syscall.EAGAIN, syscall.EINTR:
		return NoData
	}
	return Closed
}

// Discard reads and discards the unread data of a connection. It returns the number of bytes and the state that is
// left: Readable if more than limit bytes were discarded, in which case there may be more.
func Discard(conn any, limit int) (n int, state State) {
	raw := RawConn(conn)
	if raw == nil {
		return 0, NoData
	}
	state = Closed
	raw.Control(func(fd uintptr) {
		var err error
		n, err = DiscardFrom(func(p []byte) (int, error) {
			n, _, err := syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
			if n == 0 && err == nil {
				err = io.EOF
			}
			return max(n, 0), err
		}, limit)
		state = stateOf(err)
	})
	return n, state
}

// chunkSize is the number of bytes that DiscardFrom reads at a time, after the first byte.
const chunkSize = 4 << 10

// DiscardFrom reads and discards bytes until read fails or more than limit bytes were discarded. It returns their
// number and the error of read, which is nil if the limit was exceeded.
func DiscardFrom(read func([]byte) (int, error), limit int) (discarded int, err error) {
	chunk := make([]byte, 1) // most clients send nothing
	for discarded <= limit {
		n, err := read(chunk)
		discarded += n
		if err != nil {
			return discarded, err
		}
		if len(chunk) < chunkSize {
			chunk = make([]byte, chunkSize)
		}
	}
	return discarded, nil
}
