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

// enter finds the process at path and takes its place, or listens where there is none. While neither can be done it
// tries again, as whoever has the address may be about to go; a signal ends that.
func enter(path, listen string, stop <-chan os.Signal) (net.Listener, *takeover.Link, *handoverState, error) {
	said := ""
	for {
		ln, predecessor, from, err := follow(path)
		if err == nil {
			return ln, predecessor, from, nil
		}
		// A file without a listener is what any process before has left.
		refused := errors.Is(err, syscall.ENOENT) || errors.Is(err, syscall.ECONNREFUSED)
		if !refused {
			slog.Warn("takeover", "path", path, "error", err)
		}
		if ln, err = net.Listen("tcp", listen); err == nil {
			return ln, nil, nil, nil
		}
		if err.Error() != said {
			slog.Warn("main", "state", "waiting", "error", err)
		}
		said = err.Error()
		select {
		case <-stop:
			return nil, nil, nil, errors.New("told to end before it could begin")
		case <-time.After(again):
		}
	}
}

func follow(path string) (net.Listener, *takeover.Link, *handoverState, error) {
	l, err := takeover.Dial(path)
	if err != nil {
		return nil, nil, nil, err
	}
	ln, from, err := ask(l)
	if err != nil {
		l.Close()
		return nil, nil, nil, err
	}
	return ln, l, from, nil
}

func ask(l *takeover.Link) (net.Listener, *handoverState, error) {
	l.SetReadDeadline(time.Now().Add(helloTime))
	defer l.SetReadDeadline(time.Time{})
	if err := l.Send(frameHello, nil, nil); err != nil {
		return nil, nil, err
	}
	f, err := l.Next()
	if err != nil {
		return nil, nil, err
	}
	if f.File == nil {
		return nil, nil, errors.New("no listening descriptor came")
	}
	defer f.File.Close()
	ln, err := net.FileListener(f.File)
	if err != nil {
		return nil, nil, err
	}
	from := &handoverState{}
	if err := decode(f.Body, from); err != nil { // of another version perhaps: what counts has come
		slog.Warn("takeover", "legacy", "unreadable", "error", err)
		from = &handoverState{}
	}
	return ln, from, nil
}
