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

// ErrInterrupted means that a signal to end came before the process could listen at its address.
var ErrInterrupted = errors.New("a signal to end came before the process could listen")

// errNoListener means that the process at the socket sent no listening descriptor: it has already given its listening
// socket to another successor, or is not a dispatcher.
var errNoListener = errors.New("received no listening descriptor")

// listenSocket is the clients' listening socket, with the predecessor that it was received from, if any.
type listenSocket struct {
	listener    net.Listener
	predecessor *takeover.Link // nil if this process replaces none
	state       *handoverState // of the predecessor; empty if it did not arrive in time, nil without a predecessor
}

// acquireSocket requests the listening socket from the process at path, or listens if there is none. If neither
// succeeds it tries again every retryInterval, because the process that has the address may be about to end. A signal
// ends the retries.
func acquireSocket(path, listen string, stop <-chan os.Signal) (listenSocket, error) {
	lastLogged := ""
	for {
		socket, err := requestSocket(path)
		if err == nil {
			return socket, nil
		}
		// No file, or a file without a listener that an earlier process left behind, is normal.
		if !errors.Is(err, syscall.ENOENT) && !errors.Is(err, syscall.ECONNREFUSED) {
			slog.Warn("takeover", "path", path, "error", err)
		}
		ln, err := net.Listen("tcp", listen)
		if err == nil {
			return listenSocket{listener: ln}, nil
		}
		if err.Error() != lastLogged {
			slog.Warn("main", "state", "waiting", "error", err)
		}
		lastLogged = err.Error()
		select {
		case <-stop:
			return listenSocket{}, ErrInterrupted
		case <-time.After(retryInterval):
		}
	}
}

// requestSocket asks the process at path for its listening socket and its state.
func requestSocket(path string) (listenSocket, error) {
	link, err := takeover.Dial(path)
	if err != nil {
		return listenSocket{}, err
	}
	ln, state, err := receiveSocket(link)
	if err != nil {
		link.Abandon()
		return listenSocket{}, err
	}
	return listenSocket{ln, link, state}, nil
}

// receiveSocket requests and receives the listening socket and the state. Only the socket is required: if the state
// does not arrive in time or cannot be decoded, it is left empty. A state that arrives later is read by
// replacePredecessor.
func receiveSocket(link *takeover.Link) (net.Listener, *handoverState, error) {
	link.SetReadDeadline(time.Now().Add(stateTimeout))
	defer link.SetReadDeadline(time.Time{})
	if err := link.Send(frameHello, nil, nil); err != nil {
		return nil, nil, err
	}
	frame, err := link.ReadFrame()
	if err != nil {
		frame.File = link.TakeFile()
	}
	if frame.File == nil {
		return nil, nil, errors.Join(errNoListener, err)
	}
	defer frame.File.Close()
	ln, listenErr := net.FileListener(frame.File)
	if listenErr != nil {
		return nil, nil, listenErr
	}
	state := &handoverState{}
	if err == nil {
		err = decode(frame.Body, state) // fails if the predecessor's version has another format
	}
	if err != nil {
		slog.Warn("takeover", "legacy", "unreadable", "error", err)
		state = &handoverState{}
	}
	return ln, state, nil
}
