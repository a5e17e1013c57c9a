package stand

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// Record is the record of a case: what was sent, answered and run, with the time since its start.
type Record struct {
	mu     sync.Mutex
	out    io.WriteCloser
	origin time.Time
}

// NewRecord creates the record's file anew.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: f, origin: time.Now()}, nil
}

// Add adds a line.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.origin).Seconds(), fmt.Sprintf(format, values...))
}

// Print adds a line and prints it to standard output as well.
func (r *Record) Print(format string, values ...any) {
	r.Add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close closes the file.
func (r *Record) Close() { r.out.Close() }
