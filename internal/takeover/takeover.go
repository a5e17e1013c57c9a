// Package takeover implements the link between a running process and its successor: a Unix socket that carries frames,
// file descriptors with them, and questions that get a yes or no. The caller defines the content of frames and
// questions.
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

// Frame is one message over a link, with the file descriptor that was sent with it, if any.
type Frame struct {
	Kind byte
	Body []byte
	File *os.File // nil if none was sent; the handler must close it
}

// The kinds of frames that a link uses itself. All other kinds are free for the caller.
const (
	frameQuestion byte = '?'
	frameYes      byte = '+'
	frameNo       byte = '-'
)

const (
	maxFrameSize = 16 << 20        // bytes in the body of a frame
	writeTimeout = 2 * time.Second // a process that reads nothing for this long is considered dead
	drainTimeout = time.Second     // for reading what a process considered dead has sent before
	headerSize   = 5               // bytes: the kind, and the length of the body
)

// SocketPath returns the path of the socket of the dispatcher with the given name and listen address. A name may
// contain any characters, and the path of a socket must be short, so the path has a shortened name and a hash.
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

// Listen listens at path and replaces the socket of any earlier process there, running or not. A running predecessor
// has been contacted before, and continues on the link it has.
func Listen(path string) (*net.UnixListener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(temporary)
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // at close the path may belong to another process
	err = os.Chmod(temporary, 0o600)
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		ln.Close()
		os.Remove(temporary)
		return nil, err
	}
	return ln, nil
}

// Dial connects to the process at path. It is an error if there is no file, or a file without a listener, as a killed
// process leaves behind.
func Dial(path string) (*Link, error) {
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	return NewLink(conn), nil
}

// Link is one process's end of the connection between a running process and its successor. Each of the two has one.
type Link struct {
	conn    *net.UnixConn
	writeMu sync.Mutex

	mu      sync.Mutex
	closed  bool
	lastID  uint32
	pending map[uint32]chan bool // questions without an answer

	buffer       []byte
	pendingFiles []*os.File // received descriptors of frames that have not been returned yet
}

// NewLink returns a link over conn.
func NewLink(conn *net.UnixConn) *Link { return &Link{conn: conn, pending: map[uint32]chan bool{}} }

// Close closes the link.
func (l *Link) Close() error { return l.conn.Close() }

// Send sends a frame, and with it the file descriptor of descriptor if that is not nil. After a write error nothing
// more can be sent, because the other side could not tell where the next frame begins.
func (l *Link) Send(kind byte, body []byte, descriptor syscall.Conn) error {
	frame := append(make([]byte, 0, headerSize+len(body)), kind)
	frame = append(binary.BigEndian.AppendUint32(frame, uint32(len(body))), body...)
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := 0, error(nil)
	if descriptor != nil {
		var raw syscall.RawConn
		if raw, err = descriptor.SyscallConn(); err != nil {
			return err // nothing was written
		}
		var sendErr error
		err = raw.Control(
			func(fd uintptr) {
				n, _, sendErr = l.conn.WriteMsgUnix(frame[:headerSize], syscall.UnixRights(int(fd)), nil)
			})
		if err != nil {
			return err
		}
		err = sendErr
	}
	if err == nil {
		_, err = l.conn.Write(frame[n:])
	}
	if err != nil {
		l.stopWriting(err)
	}
	return err
}

// stopWriting ends the writing direction of the link after an error. What the other process has sent before is still
// read: connections that it has handed over exist nowhere else. A process that has ended closes the link by itself.
func (l *Link) stopWriting(err error) {
	l.conn.CloseWrite()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	}
}

// The errors of a question that gets no answer.
var (
	ErrLinkClosed = errors.New("the other process closed the link")
	ErrNoReply    = errors.New("the other process does not answer")
)

// Ask sends a question and waits for its answer, yes or no.
func (l *Link) Ask(body []byte, timeout time.Duration) (bool, error) {
	answer := make(chan bool, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false, ErrLinkClosed
	}
	l.lastID++
	id := l.lastID
	l.pending[id] = answer
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pending, id)
		l.mu.Unlock()
	}()
	if err := l.Send(frameQuestion, append(binary.BigEndian.AppendUint32(nil, id), body...), nil); err != nil {
		return false, err
	}
	select {
	case a, ok := <-answer:
		if !ok {
			return false, ErrLinkClosed
		}
		return a, nil
	case <-time.After(timeout):
		return false, ErrNoReply
	}
}

// Run reads from the link until it is closed. It passes frames to handle, in order, and each question to answer, in a
// goroutine of its own.
func (l *Link) Run(handle func(Frame), answer func(body []byte) bool) error {
	defer l.shutDown()
	for {
		frame, err := l.ReadFrame()
		if err != nil {
			return err
		}
		switch {
		case frame.Kind != frameQuestion && frame.Kind != frameYes && frame.Kind != frameNo:
			handle(frame)
		case len(frame.Body) < 4:
			return errors.New("a question or answer has no id")
		case frame.Kind == frameQuestion:
			go func() {
				kind := frameNo
				if answer(frame.Body[4:]) {
					kind = frameYes
				}
				l.Send(kind, frame.Body[:4], nil)
			}()
		default:
			l.mu.Lock()
			if reply := l.pending[binary.BigEndian.Uint32(frame.Body)]; reply != nil {
				delete(l.pending, binary.BigEndian.Uint32(frame.Body))
				reply <- frame.Kind == frameYes
			}
			l.mu.Unlock()
		}
	}
}

func (l *Link) shutDown() {
	l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for id, reply := range l.pending {
		close(reply)
		delete(l.pending, id)
	}
	for _, file := range l.pendingFiles {
		file.Close()
	}
	l.pendingFiles = nil
}

// ErrFrameTooLarge is the error for a frame that exceeds the maximum size.
var ErrFrameTooLarge = errors.New("a frame is too large")

// ReadFrame reads one frame. It is for the first frames between two processes, before Run. After a deadline has passed
// it may be called again and continues where it stopped.
func (l *Link) ReadFrame() (Frame, error) {
	if err := l.readUntil(headerSize); err != nil {
		return Frame{}, err
	}
	frame, size := Frame{Kind: l.buffer[0]}, int(binary.BigEndian.Uint32(l.buffer[1:]))
	if size > maxFrameSize {
		return Frame{}, ErrFrameTooLarge
	}
	if err := l.readUntil(headerSize + size); err != nil {
		return Frame{}, err
	}
	frame.File = l.TakeFile()
	frame.Body = append([]byte(nil), l.buffer[headerSize:headerSize+size]...)
	l.buffer = append(l.buffer[:0], l.buffer[headerSize+size:]...)
	return frame, nil
}

// TakeFile returns the descriptor of the frame that is being read. The descriptor arrives with the frame's first byte,
// so it is available before the frame is complete. TakeFile returns nil if there is none or it was taken before. Only
// the goroutine that calls ReadFrame may call it.
func (l *Link) TakeFile() (file *os.File) {
	if len(l.pendingFiles) > 0 {
		file, l.pendingFiles = l.pendingFiles[0], l.pendingFiles[1:]
	}
	return file
}

// Abandon closes a link that is no longer read, and the received descriptors that were not taken.
func (l *Link) Abandon() {
	l.conn.Close()
	for file := l.TakeFile(); file != nil; file = l.TakeFile() {
		file.Close()
	}
}

// SetReadDeadline sets the deadline of ReadFrame.
func (l *Link) SetReadDeadline(t time.Time) { l.conn.SetReadDeadline(t) }

// readUntil reads until the buffer has size bytes. It never reads beyond one frame, because a descriptor received with
// the bytes of a later frame could not be distinguished from one of this frame.
func (l *Link) readUntil(size int) error {
	oob := make([]byte, syscall.CmsgSpace(4))
	for len(l.buffer) < size {
		chunk := make([]byte, min(size-len(l.buffer), 64<<10))
		n, oobn, _, _, err := l.conn.ReadMsgUnix(chunk, oob)
		if oobn > 0 {
			l.collectFiles(oob[:oobn])
		}
		l.buffer = append(l.buffer, chunk[:max(n, 0)]...) // n may be -1 with an error
		if err == nil && n == 0 {
			err = io.EOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (l *Link) collectFiles(oob []byte) {
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
			l.pendingFiles = append(l.pendingFiles, os.NewFile(uintptr(fd), "handed over"))
		}
	}
}
