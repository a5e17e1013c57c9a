package logs

import (
	"io"
	"sync"
	"time"
)

// maxPending is the size of the lines that wait to be written, in bytes. Further lines are dropped.
const maxPending = 256 << 10

// Writer passes lines on to another writer, in order, without waiting for it. Whoever reads the log may be slow or
// stopped, which must not hold up the program; lines that find no room are dropped and counted.
type Writer struct {
	out    io.Writer
	filled chan struct{} // has an element if there may be pending lines

	mu        sync.Mutex
	pending   []byte
	dropped   int           // lines since the last report
	isWriting bool          // lines are being written to out
	idle      chan struct{} // closed when no line is pending or being written; nil if nobody waits for that
}

// NewWriter returns a writer that passes lines on to out. It runs until the program ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, filled: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write takes a line. It always succeeds.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.filled <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Flush waits until all lines have been written, but no longer than timeout.
func (w *Writer) Flush(timeout time.Duration) {
	w.mu.Lock()
	if len(w.pending) == 0 && !w.isWriting {
		w.mu.Unlock()
		return
	}
	if w.idle == nil {
		w.idle = make(chan struct{})
	}
	idle := w.idle
	w.mu.Unlock()
	select {
	case <-idle:
	case <-time.After(timeout):
	}
}

// run writes the pending lines, and reports those that were dropped.
func (w *Writer) run() {
	report := New(w.out)
	var spare []byte
	for range w.filled {
		lines, dropped := w.take(spare)
		if len(lines) > 0 {
			w.out.Write(lines) // there is nowhere else to tell an error
		}
		if dropped > 0 {
			report.Warn("log", "dropped", dropped)
		}
		spare = lines[:0]
		w.endWrite()
	}
}

// take returns the pending lines and the number of lines dropped since the last call. buffer is for further lines.
func (w *Writer) take(buffer []byte) (lines []byte, dropped int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, dropped = w.pending, w.dropped
	w.pending, w.dropped, w.isWriting = buffer, 0, true
	return lines, dropped
}

// endWrite records that the lines of the last take are written.
func (w *Writer) endWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isWriting = false
	if len(w.pending) == 0 && w.idle != nil {
		close(w.idle)
		w.idle = nil
	}
}
