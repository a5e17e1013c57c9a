package instance

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"topazfall/internal/takeover"
)

// ErrInterrupted is that a signal to end came before the process had its address.
var ErrInterrupted = errors.New("told to end before it could begin")

// errNoListener is that a process gave its listening socket away without saying so, or is no dispatcher.
var errNoListener = errors.New("no listening descriptor came")

// entrance is the listening socket, and where it came from.
type entrance struct {
	listener    net.Listener
	predecessor *takeover.Link // nil where this process replaces none
	state       *handoverState // of the predecessor; empty where it did not come in time, nil where there is none
}

// enter finds the process at path and takes its place, or listens where there is none. While neither can be done it
// tries again, as whoever has the address may be about to go; a signal ends that.
func enter(path, listen string, stop <-chan os.Signal) (entrance, error) {
	said := ""
	for {
		e, err := follow(path)
		if err == nil {
			return e, nil
		}
		// A file without a listener is what any process before has left.
		if !errors.Is(err, syscall.ENOENT) && !errors.Is(err, syscall.ECONNREFUSED) {
			slog.Warn("takeover", "path", path, "error", err)
		}
		ln, err := net.Listen("tcp", listen)
		if err == nil {
			return entrance{listener: ln}, nil
		}
		if err.Error() != said {
			slog.Warn("main", "state", "waiting", "error", err)
		}
		said = err.Error()
		select {
		case <-stop:
			return entrance{}, ErrInterrupted
		case <-time.After(again):
		}
	}
}

// follow asks the process at path for its place.
func follow(path string) (entrance, error) {
	l, err := takeover.Dial(path)
	if err != nil {
		return entrance{}, err
	}
	ln, state, err := ask(l)
	if err != nil {
		l.Abandon()
		return entrance{}, err
	}
	return entrance{ln, l, state}, nil
}

// ask asks for the listening socket and the state. The socket is what counts: a state that does not come in time, or
// cannot be read, is done without. What comes of it later is read by succeed.
func ask(l *takeover.Link) (net.Listener, *handoverState, error) {
	l.SetReadDeadline(time.Now().Add(stateTime))
	defer l.SetReadDeadline(time.Time{})
	if err := l.Send(frameHello, nil, nil); err != nil {
		return nil, nil, err
	}
	f, err := l.ReadFrame()
	if err != nil {
		f.File = l.TakeFile()
	}
	if f.File == nil {
		return nil, nil, errors.Join(errNoListener, err)
	}
	defer f.File.Close()
	ln, fault := net.FileListener(f.File)
	if fault != nil {
		return nil, nil, fault
	}
	state := &handoverState{}
	if err == nil {
		err = decode(f.Body, state) // of another version perhaps
	}
	if err != nil {
		slog.Warn("takeover", "legacy", "unreadable", "error", err)
		state = &handoverState{}
	}
	return ln, state, nil
}
