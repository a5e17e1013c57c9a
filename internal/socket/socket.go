// Package socket looks at what the system holds of a connection, without waiting and whoever else reads from it.
package socket

import (
	"io"
	"syscall"
)

// State is what a look at a connection has found.
type State int

// The states of a connection, as its reader would find it.
const (
	Quiet    State = iota // nothing has come
	Readable              // something has come that nobody has read yet
	Ended                 // the other side has closed it, half closed it or reset it, or it is closed here
)

// Raw returns the system's side of a connection or listener, or nil where it has none.
func Raw(of any) syscall.RawConn {
	if c, ok := of.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// Look tells the state of a connection and leaves what has come where it is. An end behind bytes that nobody has read
// is not seen. One that the system knows nothing of is Quiet.
func Look(of any) State {
	raw := Raw(of)
	if raw == nil {
		return Quiet
	}
	state := Ended
	raw.Control(func(fd uintptr) { state = Peek(fd) }) // Read would wait for its reader, and ends with its deadline
	return state
}

// Peek is Look for a descriptor.
func Peek(fd uintptr) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if n == 0 && err == nil {
		err = io.EOF
	}
	return stateOf(err)
}

// stateOf is the state of a connection by the error of a read that did not wait.
func stateOf(err error) State {
	switch err {
	case nil:
		return Readable
	case syscall.EAGAIN, syscall.EINTR:
		return Quiet
	}
	return Ended
}

// Discard reads and drops what has come on a connection. It returns how many bytes that were and the state that they
// leave: Readable if there were more than most, of which the rest is left.
func Discard(of any, most int) (n int, state State) {
	raw := Raw(of)
	if raw == nil {
		return 0, Quiet
	}
	state = Ended
	raw.Control(func(fd uintptr) {
		var err error
		n, err = PassOver(func(p []byte) (int, error) {
			n, _, err := syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
			if n == 0 && err == nil {
				err = io.EOF
			}
			return max(n, 0), err
		}, most)
		state = stateOf(err)
	})
	return n, state
}

// pieceSize is of the pieces in which PassOver reads, after the first byte.
const pieceSize = 4 << 10

// PassOver reads and drops bytes until read fails, and returns how many there were. err is that of read, or nil where
// there were more than most.
func PassOver(read func([]byte) (int, error), most int) (passed int, err error) {
	piece := make([]byte, 1) // most clients send nothing
	for passed <= most {
		n, err := read(piece)
		passed += n
		if err != nil {
			return passed, err
		}
		if len(piece) < pieceSize {
			piece = make([]byte, pieceSize)
		}
	}
	return passed, nil
}
