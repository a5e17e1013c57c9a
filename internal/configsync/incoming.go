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

// helloTime is for the first frame of a connection.
const helloTime = 2 * time.Second

// acceptAgain is the wait after an accept that failed, as for want of descriptors.
const acceptAgain = 100 * time.Millisecond

// incoming takes connections of other instances.
type incoming struct {
	me       Member
	roster   *Roster
	members  map[string]Member
	counts   *counts
	hello    []byte // with which connections are greeted
	most     int    // connections at a time
	listener net.Listener
	handle   func(configlog.Message) // takes a message, or drops it; does not wait
	status   func() *syncpb.StatusReply

	wait sync.WaitGroup
	mu   sync.Mutex
	open map[net.Conn]bool
	from map[string]net.Conn // by name, those that bring messages: a newer one takes the place of an older one
}

// listen opens the address of a member.
func listen(address string) (net.Listener, error) {
	kind, name := network(address)
	if kind != "unix" {
		return net.Listen(kind, name)
	}
	if err := removeStale(name); err != nil {
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

// removeStale removes a socket that a process before has left; nothing that is in use, and nothing else than a socket.
func removeStale(path string) error {
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

// run accepts until the listener is closed, and waits for the connections' ends.
func (in *incoming) run(ctx context.Context) {
	for {
		c, err := in.listener.Accept()
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			slog.Warn("configsync", "state", "accept", "error", err)
			select {
			case <-ctx.Done():
			case <-time.After(acceptAgain):
			}
			continue
		}
		if !in.admit(c) {
			c.Close()
			in.counts.drop(ReasonConnections, 1, "address", c.RemoteAddr())
			continue
		}
		in.wait.Go(func() {
			defer in.forget(c)
			in.serve(c)
		})
	}
	in.close()
	in.wait.Wait()
}

func (in *incoming) admit(c net.Conn) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.open) >= in.most {
		return false
	}
	in.open[c] = true
	in.counts.links.Add(1)
	return true
}

func (in *incoming) forget(c net.Conn) {
	c.Close()
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.open, c)
	in.counts.links.Add(-1)
	for name, other := range in.from {
		if other == c {
			delete(in.from, name)
		}
	}
}

func (in *incoming) close() {
	in.mu.Lock()
	defer in.mu.Unlock()
	for c := range in.open {
		c.Close()
	}
}

// serve reads a connection to its end.
func (in *incoming) serve(c net.Conn) {
	reader := bufio.NewReaderSize(&counted{c, in.counts}, 4<<10)
	c.SetReadDeadline(time.Now().Add(helloTime))
	first, err := readFrame(reader)
	if err != nil {
		in.dropUnread(err, "")
		return
	}
	from, why := in.check(first.GetHello())
	if why != "" {
		in.counts.drop(why, 1, "address", c.RemoteAddr(), "name", first.GetHello().GetFrom())
		return
	}
	if !in.write(c, in.hello) {
		return
	}
	for {
		c.SetReadDeadline(time.Now().Add(readTime))
		f, err := readFrame(reader)
		switch {
		case errors.Is(err, ErrFrameMalformed), errors.Is(err, ErrFrameVersion):
			in.dropUnread(err, from)
			continue
		case err != nil:
			in.dropUnread(err, from)
			return
		}
		if !in.take(c, from, f) {
			return
		}
	}
}

// check returns who a first frame is from, or why it is refused.
func (in *incoming) check(h *syncpb.Hello) (from string, why DropReason) {
	if h == nil {
		return "", ReasonHello
	}
	m, ok := in.members[h.From]
	switch {
	case h.Installation != in.roster.Installation, !ok, h.To != in.me.Name, h.From == in.me.Name:
		return "", ReasonStranger
	case h.Region != m.Region:
		return "", ReasonRegion
	}
	return h.From, ""
}

// take takes a frame, and tells whether the connection may go on.
func (in *incoming) take(c net.Conn, from string, f *syncpb.Frame) bool {
	switch content := f.Content.(type) {
	case *syncpb.Frame_Log:
		body, err := configlog.ParseBody(content.Log)
		if err != nil {
			in.counts.drop(ReasonForm, 1, "from", from, "error", err)
			return true
		}
		in.newest(from, c)
		in.handle(configlog.Message{From: configlog.NodeID(from), To: configlog.NodeID(in.me.Name), Body: body})
		return true
	case *syncpb.Frame_StatusRequest:
		return in.answer(c)
	default:
		in.counts.drop(ReasonHello, 1, "from", from)
		return true
	}
}

// newest closes the connection that has brought a member's messages before this one.
func (in *incoming) newest(from string, c net.Conn) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if old := in.from[from]; old != c {
		if old != nil {
			old.Close()
		}
		in.from[from] = c
	}
}

func (in *incoming) answer(c net.Conn) bool {
	frame, err := encodeFrame(&syncpb.Frame{Content: &syncpb.Frame_StatusReply{StatusReply: in.status()}})
	if err != nil {
		return false
	}
	return in.write(c, frame)
}

func (in *incoming) write(c net.Conn, frame []byte) bool {
	c.SetWriteDeadline(time.Now().Add(writeTime))
	n, err := c.Write(frame)
	in.counts.sent.Add(int64(n))
	return err == nil
}

// dropUnread counts what could not be read. That a connection ends, or says nothing for long, is no fault.
func (in *incoming) dropUnread(err error, from string) {
	switch {
	case errors.Is(err, ErrFrameTooLarge):
		in.counts.drop(ReasonSize, 1, "from", from, "error", err)
	case errors.Is(err, ErrFrameVersion):
		in.counts.drop(ReasonVersion, 1, "from", from, "error", err)
	case errors.Is(err, ErrFrameMalformed):
		in.counts.drop(ReasonForm, 1, "from", from, "error", err)
	case errors.Is(err, io.ErrUnexpectedEOF):
		in.counts.drop(ReasonCut, 1, "from", from)
	}
}

// counted counts the bytes that are read.
type counted struct {
	net.Conn
	counts *counts
}

// Read reads from the connection.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counts.received.Add(int64(n))
	return n, err
}
