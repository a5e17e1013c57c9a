// Package metrics holds the counters and gauges of the process. The other packages write them and the management
// address reads them: all are atomics, so that a reader never waits for the load it asks about.
package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Ending is how a job ended for its client.
type Ending int

// The endings.
const (
	Succeeded Ending = iota
	Declined
	Aborted
	endings
)

var names = [endings]string{"succeeded", "declined", "aborted"}

// Metrics are the counts of one process. The zero value counts no class yet.
type Metrics struct {
	Outstanding, Discovered, Ejected      atomic.Int64 // as they are now
	Forwards, HangupsTaken, HangupsFailed atomic.Int64 // since the start; the latter are files read at SIGHUP

	Words, Unheeded atomic.Int64 // of other dispatchers: heard, and of these dropped; shown once there was one

	// Of hosts with several addresses, since the start; they are shown once there was one.
	Several                                 atomic.Bool
	Opened, Unopened, Moved, Resets, Trials atomic.Int64

	mu      sync.Mutex // of those who add classes or parts
	parts   []func(io.Writer)
	classes atomic.Pointer[[]*class]
}

type class struct {
	name  string
	ended [endings]atomic.Int64
}

// AddClasses makes classes count from now on, each by the place in which it was first named. A class that is known
// keeps its place and its counts; one that is no longer used keeps its line.
func (f *Metrics) AddClasses(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*class
	if old := f.classes.Load(); old != nil {
		all = slices.Clone(*old)
	}
	for _, name := range names {
		if !slices.ContainsFunc(all, func(c *class) bool { return c.name == name }) {
			all = append(all, &class{name: name})
		}
	}
	f.classes.Store(&all)
}

// Extend has another part of the program write its figures behind these.
func (f *Metrics) Extend(write func(io.Writer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.parts = append(f.parts, write)
}

// End counts a job of the class at that place.
func (f *Metrics) End(class int, e Ending) {
	if all := f.classes.Load(); all != nil && class >= 0 && class < len(*all) {
		(*all)[class].ended[e].Add(1)
	}
}

// escape does what the format asks of a label's value, and no more.
var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Write writes all figures in the text exposition format.
func (f *Metrics) Write(w io.Writer) {
	var all []*class
	if p := f.classes.Load(); p != nil {
		all = *p
	}
	for e, name := range names {
		fmt.Fprintf(w, "# TYPE app_%s_total counter\n", name)
		for _, c := range all {
			fmt.Fprintf(w, "app_%s_total{service=\"%s\"} %d\n", name, escape.Replace(c.name), c.ended[e].Load())
		}
	}
	for _, v := range []figure{
		{"forwards_total", "counter", &f.Forwards}, {"outstanding", "gauge", &f.Outstanding},
		{"discovered", "gauge", &f.Discovered}, {"ejected", "gauge", &f.Ejected},
		{"sighup_applied_total", "counter", &f.HangupsTaken}, {"sighup_rejected_total", "counter", &f.HangupsFailed},
	} {
		v.write(w)
	}
	if f.Words.Load() > 0 {
		figure{"peer_words_total", "counter", &f.Words}.write(w)
		figure{"peer_words_dropped_total", "counter", &f.Unheeded}.write(w)
	}
	f.writeAddresses(w)
	f.mu.Lock()
	parts := f.parts
	f.mu.Unlock()
	for _, write := range parts {
		write(w)
	}
}

func (f *Metrics) writeAddresses(w io.Writer) {
	if !f.Several.Load() {
		return
	}
	for _, v := range []figure{
		{"address_opened_total", "counter", &f.Opened}, {"address_failed_total", "counter", &f.Unopened},
		{"address_moves_total", "counter", &f.Moved}, {"address_resets_total", "counter", &f.Resets},
		{"address_trials_total", "counter", &f.Trials},
	} {
		v.write(w)
	}
}

type figure struct {
	name, kind string
	value      *atomic.Int64
}

func (v figure) write(w io.Writer) {
	fmt.Fprintf(w, "# TYPE app_%s %s\napp_%s %d\n", v.name, v.kind, v.name, v.value.Load())
}
