package configsync

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"topazfall/internal/configsync/syncpb"
	"topazfall/internal/decide/configlog"
)

// helloTimeout limits the wait for the first frame of a connection.
const helloTimeout = 2 * time.Second

// acceptRetryDelay is the wait after a failed accept, for example when no file descriptors are left.
const acceptRetryDelay = 100 * time.Millisecond

// receiver accepts connections from other instances and reads their messages.
type receiver struct {
	self           Member
	roster         *Roster
	members        map[string]Member
	metrics        *metrics
	hello          []byte // encoded Hello frame that answers each connection
	maxConnections int    // limit of open connections
	listener       net.Listener
	handle         func(configlog.Message) // handles or drops a message; must not block
	status         func() *syncpb.StatusReply

	wg       sync.WaitGroup
	mu       sync.Mutex
	open     map[net.Conn]bool
	bySender map[string]net.Conn // the connection on which each member sends log messages; a newer one replaces it
}

// listen listens on the address of a member. A Unix socket is accessible to its owner only.
func listen(address string) (net.Listener, error) {
	kind, name := splitAddress(address)
	if kind != "unix" {
		return net.Listen(kind, name)
	}
	if err := removeStaleSocket(name); err != nil {
		return nil, err
	}
	listener, err := net.Listen(kind, name)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(name, 0o600); err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}

// removeStaleSocket removes a Unix socket that an earlier process left behind. It leaves sockets in use and files of
// other types alone.
func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if errors.Is(err, os.ErrNotExist) || err == nil && info.Mode().Type() != os.ModeSocket {
		return nil
	}
	if err != nil {
		return err
	}
	if c, err := net.Dial("unix", path); err == nil {
		return c.Close()
	}
	return os.Remove(path)
}

// run accepts connections until the context ends, then closes them and waits for their goroutines. The caller closes
// the listener.
func (r *receiver) run(ctx context.Context) {
	for {
		c, err := r.listener.Accept()
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			slog.Warn("configsync", "state", "accept", "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		if !r.register(c) {
			c.Close()
			r.metrics.drop(ReasonConnectionLimit, 1, "address", c.RemoteAddr())
			continue
		}
		r.wg.Go(func() {
			defer r.unregister(c)
			r.serve(c)
		})
	}
	r.close()
	r.wg.Wait()
}

// register counts a connection as open, or reports false if the limit is reached.
func (r *receiver) register(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.open) >= r.maxConnections {
		return false
	}
	r.open[c] = true
	r.metrics.connections.Add(1)
	return true
}

func (r *receiver) unregister(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
	r.metrics.connections.Add(-1)
	for name, other := range r.bySender {
		if other == c {
			delete(r.bySender, name)
		}
	}
}

func (r *receiver) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.Close()
	}
}

// serve reads a connection until it ends or violates the protocol.
func (r *receiver) serve(c net.Conn) {
	reader := bufio.NewReaderSize(&countingConn{c, r.metrics}, 4<<10)
	c.SetReadDeadline(time.Now().Add(helloTimeout))
	first, err := readFrame(reader)
	if err != nil {
		r.countReadError(err, "")
		return
	}
	from, reason := r.checkHello(first.GetHello())
	if reason != "" {
		r.metrics.drop(reason, 1, "address", c.RemoteAddr(), "name", first.GetHello().GetFrom())
		return
	}
	if !r.write(c, r.hello) {
		return
	}
	for {
		c.SetReadDeadline(time.Now().Add(readTimeout))
		f, err := readFrame(reader)
		switch {
		case errors.Is(err, ErrFrameMalformed), errors.Is(err, ErrFrameVersion):
			r.countReadError(err, from)
			continue
		case err != nil:
			r.countReadError(err, from)
			return
		}
		if !r.handleFrame(c, from, f) {
			return
		}
	}
}

// checkHello returns the name of the member that sent a Hello, or why the connection is rejected.
func (r *receiver) checkHello(h *syncpb.Hello) (from string, reason DropReason) {
	if h == nil {
		return "", ReasonUnexpectedFrame
	}
	m, ok := r.members[h.From]
	switch {
	case h.Installation != r.roster.Installation, !ok, h.To != r.self.Name, h.From == r.self.Name:
		return "", ReasonUnknownMember
	case h.Region != m.Region:
		return "", ReasonWrongRegion
	}
	return h.From, ""
}

// handleFrame handles a frame and reports whether the connection may continue.
func (r *receiver) handleFrame(c net.Conn, from string, f *syncpb.Frame) bool {
	switch content := f.Content.(type) {
	case *syncpb.Frame_Log:
		body, err := configlog.ParseBody(content.Log)
		if err != nil {
			r.metrics.drop(ReasonMalformed, 1, "from", from, "error", err)
			return true
		}
		r.replaceConnection(from, c)
		r.handle(configlog.Message{From: configlog.NodeID(from), To: configlog.NodeID(r.self.Name), Body: body})
		return true
	case *syncpb.Frame_StatusRequest:
		return r.sendStatus(c)
	default:
		r.metrics.drop(ReasonUnexpectedFrame, 1, "from", from)
		return true
	}
}

// replaceConnection makes c the connection of a member's messages and closes the member's previous one.
func (r *receiver) replaceConnection(from string, c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.bySender[from]; old != c {
		if old != nil {
			old.Close()
		}
		r.bySender[from] = c
	}
}

func (r *receiver) sendStatus(c net.Conn) bool {
	frame, err := encodeFrame(&syncpb.Frame{Content: &syncpb.Frame_StatusReply{StatusReply: r.status()}})
	if err != nil {
		return false
	}
	return r.write(c, frame)
}

func (r *receiver) write(c net.Conn, frame []byte) bool {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Write(frame)
	r.metrics.sentBytes.Add(int64(n))
	return err == nil
}

// countReadError counts frames that could not be read. The end of a connection and a read timeout are not errors.
func (r *receiver) countReadError(err error, from string) {
	switch {
	case errors.Is(err, ErrFrameTooLarge):
		r.metrics.drop(ReasonTooLarge, 1, "from", from, "error", err)
	case errors.Is(err, ErrFrameVersion):
		r.metrics.drop(ReasonUnknownVersion, 1, "from", from, "error", err)
	case errors.Is(err, ErrFrameMalformed):
		r.metrics.drop(ReasonMalformed, 1, "from", from, "error", err)
	case errors.Is(err, io.ErrUnexpectedEOF):
		r.metrics.drop(ReasonTruncated, 1, "from", from)
	}
}

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	metrics *metrics
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.metrics.receivedBytes.Add(int64(n))
	return n, err
}
