// Package takeover is the link between a running process and the one that replaces it: a Unix socket that carries
// frames, descriptors with them, and questions that want an answer. What is said over it is the program's affair.
package takeover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Frame is one thing said over a link, with the descriptor that came along if there was one.
type Frame struct {
	Kind byte
	Body []byte
	File *os.File // the handler's to close; nil where none came
}

// The kinds of frames that a link keeps for itself; the others are the program's.
const (
	question byte = '?'
	yes      byte = '+'
	no       byte = '-'
)

const (
	largest   = 16 << 20        // of a frame
	writeTime = 2 * time.Second // a process that reads nothing for so long is as good as gone
	headSize  = 5
)

// SocketPath names the socket of the dispatcher of that name at that address. The name may hold anything, and a socket's
// path must be short.
func SocketPath(name, listen string) string {
	safe := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '_'
	}, name)
	h := fnv.New32a()
	fmt.Fprintf(h, "%s\n%s", name, listen)
	return filepath.Join(os.TempDir(), fmt.Sprintf("%.16s-%08x", safe, h.Sum32()))
}

// Listen takes the socket at path over, from a process that is gone as well as from one that lives: that one has been
// found by then, and goes on with the link it has.
func Listen(path string) (*net.UnixListener, error) {
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: fresh, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the path may be another process's
	err = os.Chmod(fresh, 0o600)
	if err == nil {
		err = os.Rename(fresh, path)
	}
	if err != nil {
		ln.Close()
		os.Remove(fresh)
		return nil, err
	}
	return ln, nil
}

// Dial finds the process at path. A file that nobody listens at, as a killed process leaves, is an error like none.
func Dial(path string) (*Link, error) {
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	return NewLink(c), nil
}

// Link is one end of the connection between two processes.
type Link struct {
	c     *net.UnixConn
	write sync.Mutex

	mu    sync.Mutex
	ended bool
	last  uint32
	wait  map[uint32]chan bool // questions without an answer

	read  []byte
	files []*os.File // that came and belong to frames not read yet
}

// NewLink makes a link of a connection.
func NewLink(c *net.UnixConn) *Link { return &Link{c: c, wait: map[uint32]chan bool{}} }

// Close ends the link.
func (l *Link) Close() error { return l.c.Close() }

// Send says something, and hands the descriptor of with over if that is not nil. An error ends the link: the other
// side could not tell where the next frame begins.
func (l *Link) Send(kind byte, body []byte, with syscall.Conn) error {
	head := append(make([]byte, 0, headSize+len(body)), kind)
	head = append(binary.BigEndian.AppendUint32(head, uint32(len(body))), body...)
	l.write.Lock()
	defer l.write.Unlock()
	l.c.SetWriteDeadline(time.Now().Add(writeTime))
	n, err := 0, error(nil)
	if with != nil {
		var raw syscall.RawConn
		if raw, err = with.SyscallConn(); err != nil {
			return err // nothing was written
		}
		var sent error
		err = raw.Control(
			func(fd uintptr) { n, _, sent = l.c.WriteMsgUnix(head[:headSize], syscall.UnixRights(int(fd)), nil) })
		if err != nil {
			return err
		}
		err = sent
	}
	if err == nil {
		_, err = l.c.Write(head[n:])
	}
	if err != nil {
		l.c.Close()
	}
	return err
}

// What comes of a question without an answer.
var (
	ErrLinkClosed = errors.New("the other process has gone")
	ErrNoReply    = errors.New("the other process does not answer")
)

// Ask puts a question and waits for its answer.
func (l *Link) Ask(body []byte, limit time.Duration) (bool, error) {
	answer := make(chan bool, 1)
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return false, ErrLinkClosed
	}
	l.last++
	id := l.last
	l.wait[id] = answer
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.wait, id)
		l.mu.Unlock()
	}()
	if err := l.Send(question, append(binary.BigEndian.AppendUint32(nil, id), body...), nil); err != nil {
		return false, err
	}
	select {
	case a, ok := <-answer:
		if !ok {
			return false, ErrLinkClosed
		}
		return a, nil
	case <-time.After(limit):
		return false, ErrNoReply
	}
}

// Run hands all frames to handle, in order, and questions to answer, each in a goroutine of its own, until the link
// ends.
func (l *Link) Run(handle func(Frame), answer func(body []byte) bool) error {
	defer l.end()
	for {
		f, err := l.ReadFrame()
		if err != nil {
			return err
		}
		switch {
		case f.Kind != question && f.Kind != yes && f.Kind != no:
			handle(f)
		case len(f.Body) < 4:
			return errors.New("a question without its number")
		case f.Kind == question:
			go func() {
				kind := no
				if answer(f.Body[4:]) {
					kind = yes
				}
				l.Send(kind, f.Body[:4], nil)
			}()
		default:
			l.mu.Lock()
			if c := l.wait[binary.BigEndian.Uint32(f.Body)]; c != nil {
				delete(l.wait, binary.BigEndian.Uint32(f.Body))
				c <- f.Kind == yes
			}
			l.mu.Unlock()
		}
	}
}

func (l *Link) end() {
	l.c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for id, c := range l.wait {
		close(c)
		delete(l.wait, id)
	}
	for _, f := range l.files {
		f.Close()
	}
	l.files = nil
}

// ErrFrameTooLarge is a frame of more bytes than any has.
var ErrFrameTooLarge = errors.New("a frame is too large")

// ReadFrame reads one frame. It is for the first words of two processes, before Run. After a deadline that is over it may be
// called again, and goes on where it was.
func (l *Link) ReadFrame() (Frame, error) {
	if err := l.fill(headSize); err != nil {
		return Frame{}, err
	}
	f, size := Frame{Kind: l.read[0]}, int(binary.BigEndian.Uint32(l.read[1:]))
	if size > largest {
		return Frame{}, ErrFrameTooLarge
	}
	if err := l.fill(headSize + size); err != nil {
		return Frame{}, err
	}
	f.File = l.TakeFile()
	f.Body = append([]byte(nil), l.read[headSize:headSize+size]...)
	l.read = append(l.read[:0], l.read[headSize+size:]...)
	return f, nil
}

// TakeFile is the descriptor of the frame that is being read, which comes with its first byte: it may be had before the
// frame is whole. It is nil where there is none, or where it was taken before. It is for whoever calls Next.
func (l *Link) TakeFile() (f *os.File) {
	if len(l.files) > 0 {
		f, l.files = l.files[0], l.files[1:]
	}
	return f
}

// Abandon ends a link that nobody reads any more, and closes what came over it and was not taken.
func (l *Link) Abandon() {
	l.c.Close()
	for f := l.TakeFile(); f != nil; f = l.TakeFile() {
		f.Close()
	}
}

// SetReadDeadline bounds Next.
func (l *Link) SetReadDeadline(t time.Time) { l.c.SetReadDeadline(t) }

// fill reads until so many bytes are there, and no more than one frame's: a descriptor that came with later bytes
// could not be told from one that came with these.
func (l *Link) fill(size int) error {
	oob := make([]byte, syscall.CmsgSpace(4))
	for len(l.read) < size {
		part := make([]byte, min(size-len(l.read), 64<<10))
		n, oobn, _, _, err := l.c.ReadMsgUnix(part, oob)
		if oobn > 0 {
			l.take(oob[:oobn])
		}
		l.read = append(l.read, part[:max(n, 0)]...) // n is -1 with an error
		if err == nil && n == 0 {
			err = io.EOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (l *Link) take(oob []byte) {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return
	}
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue
		}
		for _, fd := range fds {
			l.files = append(l.files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
}
