// Package metrics holds the counters and gauges of the process. Other packages update them and the management address
// reads them. All are atomics, so that a reader is never blocked by the load that it measures.
package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"topazfall"
)

// JobResult is how a job ended for its client.
type JobResult int

// The results of jobs.
const (
	Succeeded JobResult = iota
	Declined
	Aborted
	numResults
)

var resultNames = [numResults]string{"succeeded", "declined", "aborted"}

// Metrics holds the counters and gauges of one process. The zero value has no classes.
type Metrics struct {
	Outstanding, Discovered, Ejected          atomic.Int64 // gauges
	Timers                                    atomic.Int64 // gauge: timers that the dispatch goroutine keeps
	Forwards, ReloadsApplied, ReloadsRejected atomic.Int64 // counters; the reloads are those at SIGHUP

	// Gossip messages received from other dispatchers, and how many of them were dropped. They are written from the
	// first such message on.
	PeerMessages, PeerMessagesDropped atomic.Int64

	// Counters for hosts with several addresses. They are written from the first such host on.
	HasMultiAddress                                                          atomic.Bool
	AddressOpened, AddressFailed, AddressMoves, AddressResets, AddressTrials atomic.Int64

	rejections  [topazfall.RejectReasonCount + 1]atomic.Int64 // by reason; the last counts unknown reasons
	inputFaults [InputFaultCount]atomic.Int64
	connsClosed [CloseReasonCount]atomic.Int64

	mu      sync.Mutex // held while classes or writers are added
	writers []func(io.Writer)
	classes atomic.Pointer[[]*class]
}

type class struct {
	name string
	jobs [numResults]atomic.Int64
}

// AddClasses adds classes to be counted. A class is identified by its position in the order in which classes were first
// added. A known class keeps its position and counts, and a class that is no longer used keeps its line.
func (m *Metrics) AddClasses(names ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*class
	if old := m.classes.Load(); old != nil {
		all = slices.Clone(*old)
	}
	for _, name := range names {
		if !slices.ContainsFunc(all, func(c *class) bool { return c.name == name }) {
			all = append(all, &class{name: name})
		}
	}
	m.classes.Store(&all)
}

// AddWriter adds a function that writes the metrics of another part of the program after these.
func (m *Metrics) AddWriter(write func(io.Writer)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writers = append(m.writers, write)
}

// CountJob counts a job of the class at the given position.
func (m *Metrics) CountJob(class int, result JobResult) {
	if all := m.classes.Load(); all != nil && class >= 0 && class < len(*all) {
		(*all)[class].jobs[result].Add(1)
	}
}

// CountRejection counts a request that the decision module refused or failed.
func (m *Metrics) CountRejection(reason topazfall.RejectReason) {
	if reason < 0 || int(reason) > topazfall.RejectReasonCount {
		reason = topazfall.RejectReason(topazfall.RejectReasonCount)
	}
	m.rejections[reason].Add(1)
}

// writeRejections writes the counts by reason, from the first rejection for a reason on.
func (m *Metrics) writeRejections(w io.Writer) {
	writeReasons(w, "rejected_total", m.rejections[:], func(i int) string { return topazfall.RejectReason(i).String() })
}

// labelEscaper escapes exactly what the text format requires in a label's value.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Write writes all metrics in the Prometheus text exposition format.
func (m *Metrics) Write(w io.Writer) {
	var all []*class
	if p := m.classes.Load(); p != nil {
		all = *p
	}
	for result, name := range resultNames {
		fmt.Fprintf(w, "# TYPE app_%s_total counter\n", name)
		for _, c := range all {
			fmt.Fprintf(w, "app_%s_total{service=\"%s\"} %d\n", name, labelEscaper.Replace(c.name),
				c.jobs[result].Load())
		}
	}
	for _, v := range []metric{
		{"forwards_total", "counter", &m.Forwards}, {"outstanding", "gauge", &m.Outstanding},
		{"discovered", "gauge", &m.Discovered}, {"ejected", "gauge", &m.Ejected},
		{"sighup_applied_total", "counter", &m.ReloadsApplied},
		{"sighup_rejected_total", "counter", &m.ReloadsRejected},
	} {
		v.write(w)
	}
	m.writeRejections(w)
	m.writeFrontend(w)
	if m.PeerMessages.Load() > 0 {
		metric{"peer_words_total", "counter", &m.PeerMessages}.write(w)
		metric{"peer_words_dropped_total", "counter", &m.PeerMessagesDropped}.write(w)
	}
	m.writeAddresses(w)
	m.mu.Lock()
	writers := m.writers
	m.mu.Unlock()
	for _, write := range writers {
		write(w)
	}
}

func (m *Metrics) writeAddresses(w io.Writer) {
	if !m.HasMultiAddress.Load() {
		return
	}
	for _, v := range []metric{
		{"address_opened_total", "counter", &m.AddressOpened}, {"address_failed_total", "counter", &m.AddressFailed},
		{"address_moves_total", "counter", &m.AddressMoves}, {"address_resets_total", "counter", &m.AddressResets},
		{"address_trials_total", "counter", &m.AddressTrials},
	} {
		v.write(w)
	}
}

// metric is one line of output with its type.
type metric struct {
	name, kind string
	value      *atomic.Int64
}

func (m metric) write(w io.Writer) {
	fmt.Fprintf(w, "# TYPE app_%s %s\napp_%s %d\n", m.name, m.kind, m.name, m.value.Load())
}
