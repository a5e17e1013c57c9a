package metrics

import (
	"fmt"
	"io"
	"sync/atomic"
)

// InputFault is why the frontend did not process a request that it received.
type InputFault int

// The input faults.
const (
	FaultSlow         InputFault = iota // it took too long to arrive
	FaultMalformed                      // it is no HTTP request, or ended early
	FaultFraming                        // HTTP readers may differ about where it ends
	FaultHeaderSize                     // its header is too large
	FaultBodySize                       // its body is too large
	FaultPath                           // there is no such path
	FaultMethod                         // its path has no such method
	FaultMessage                        // a field of the message is missing or invalid
	FaultCallback                       // the callback cannot be parsed
	FaultDuplicate                      // its id is in flight or known of late
	FaultNoMemory                       // there is no room for a request of its size
	FaultNotAdmitted                    // too many messages are in flight, or admission has stopped
	FaultEvicted                        // its connection was evicted while it was read
	FaultDisconnected                   // its client has disconnected before it was admitted
	// InputFaultCount is the number of values above.
	InputFaultCount = int(iota)
)

var inputFaultNames = [InputFaultCount]string{"slow", "malformed", "framing", "header_size", "body_size", "path",
	"method", "message", "callback", "duplicate", "no_memory", "not_admitted", "evicted", "disconnected"}

// String returns the label of the fault.
func (f InputFault) String() string { return inputFaultNames[f] }

// CloseReason is why the frontend closed a connection that its client had left open.
type CloseReason int

// The reasons for closing a connection.
const (
	CloseNoPlace    CloseReason = iota // a new one: on all others a request is being read or answered
	CloseEvicted                       // it was unused, and a new one needed its place
	CloseEvictedMid                    // the same, although a request had begun to arrive on it
	CloseLeaving                       // the process is leaving, or hands over to its successor
	CloseUnread                        // its client did not read an answer, and memory for results was short
	// CloseReasonCount is the number of values above.
	CloseReasonCount = int(iota)
)

var closeReasonNames = [CloseReasonCount]string{"no_place", "evicted", "evicted_mid_request", "leaving",
	"unread"}

// String returns the label of the reason.
func (r CloseReason) String() string { return closeReasonNames[r] }

// CountInputFault counts a request that the frontend did not process.
func (m *Metrics) CountInputFault(f InputFault) { m.inputFaults[f].Add(1) }

// CountClosed counts a connection that the frontend closed.
func (m *Metrics) CountClosed(r CloseReason) { m.connsClosed[r].Add(1) }

func (m *Metrics) writeFrontend(w io.Writer) {
	writeReasons(w, "input_faults_total", m.inputFaults[:], func(i int) string { return inputFaultNames[i] })
	writeReasons(w, "connections_closed_total", m.connsClosed[:], func(i int) string { return closeReasonNames[i] })
}

// writeReasons writes a counter by reason, with a line for each reason that was counted.
func writeReasons(w io.Writer, name string, counts []atomic.Int64, nameOf func(int) string) {
	typed := false
	for i := range counts {
		count := counts[i].Load()
		if count == 0 {
			continue
		}
		if !typed {
			fmt.Fprintf(w, "# TYPE app_%s counter\n", name)
			typed = true
		}
		fmt.Fprintf(w, "app_%s{reason=\"%s\"} %d\n", name, nameOf(i), count)
	}
}
