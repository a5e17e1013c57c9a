package configsync

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"topazfall/internal/decide/configlog"
)

// DropReason is the reason why an incoming or outgoing message, frame or connection was dropped. The drop reasons of
// configlog are counted under the same metric.
type DropReason string

// The drop reasons.
const (
	ReasonUnexpectedFrame DropReason = "hello"       // not a hello as the first frame, or an unexpected later one
	ReasonUnknownMember   DropReason = "stranger"    // another installation, or a name that is not on the roster
	ReasonWrongRegion     DropReason = "region"      // a member claims another region than the roster gives it
	ReasonTooLarge        DropReason = "size"        // a frame is larger than the limit
	ReasonMalformed       DropReason = "form"        // a frame or message is malformed or exceeds a limit
	ReasonUnknownVersion  DropReason = "version"     // a frame has an unknown version
	ReasonTruncated       DropReason = "cut"         // a frame is truncated
	ReasonConnectionLimit DropReason = "connections" // the connection limit is reached
	ReasonOverloaded      DropReason = "busy"        // messages arrive faster than they are handled
	ReasonQueueFull       DropReason = "queue"       // the send queue of an instance is full; it pulls what it missed
	ReasonUnreachable     DropReason = "unreachable" // the instance that a message is for cannot be reached
	ReasonNotApplied      DropReason = "settings"    // this program cannot apply a committed revision
)

// minLogInterval is the shortest time between two log lines about the same drop reason.
const minLogInterval = time.Minute

// metrics holds the metrics of an instance.
type metrics struct {
	revision       atomic.Uint64
	newestRevision atomic.Uint64
	inForceSince   atomic.Int64 // when the revision took effect here, in microseconds since 1970
	connections    atomic.Int64 // open connections in both directions
	sentBytes      atomic.Int64
	receivedBytes  atomic.Int64
	leaderSilence  atomic.Int64 // microseconds since a leader's heartbeat last arrived; negative for never

	mu       sync.Mutex
	dropped  map[DropReason]int64
	unlogged map[DropReason]int64 // dropped since the reason was last logged
	loggedAt map[DropReason]time.Time
}

func newMetrics() *metrics {
	return &metrics{dropped: map[DropReason]int64{}, unlogged: map[DropReason]int64{},
		loggedAt: map[DropReason]time.Time{}}
}

// drop counts dropped items, and logs the reason at most once per minLogInterval.
func (m *metrics) drop(reason DropReason, count int64, attributes ...any) {
	if count == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropped[reason] += count
	m.unlogged[reason] += count
	now := time.Now()
	if loggedAt, ok := m.loggedAt[reason]; ok && now.Sub(loggedAt) < minLogInterval {
		return
	}
	logged := []any{"state", "dropped", "reason", string(reason), "count", m.unlogged[reason]}
	slog.Warn("configsync", append(logged, attributes...)...)
	m.loggedAt[reason], m.unlogged[reason] = now, 0
}

func (m *metrics) dropLogMessage(reason configlog.DropReason) { m.drop(DropReason(reason), 1) }

// write writes the metrics in the text exposition format.
func (m *metrics) write(w io.Writer) {
	inForce := 0.0
	if inForceSince := m.inForceSince.Load(); inForceSince > 0 {
		inForce = time.Since(time.UnixMicro(inForceSince)).Seconds()
	}
	leaderSilence := float64(m.leaderSilence.Load()) / 1e6
	for _, metric := range []struct {
		name, kind string
		value      float64
	}{
		{"revision", "gauge", float64(m.revision.Load())},
		{"newest_revision", "gauge", float64(m.newestRevision.Load())},
		{"in_force_seconds", "gauge", inForce},
		{"leader_silent_seconds", "gauge", leaderSilence},
		{"connections", "gauge", float64(m.connections.Load())},
		{"sent_bytes_total", "counter", float64(m.sentBytes.Load())},
		{"received_bytes_total", "counter", float64(m.receivedBytes.Load())},
	} {
		fmt.Fprintf(w, "# TYPE app_config_%s %s\napp_config_%s %.15g\n", metric.name, metric.kind, metric.name,
			metric.value)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Fprint(w, "# TYPE app_config_dropped_total counter\n")
	for _, reason := range slices.Sorted(maps.Keys(m.dropped)) {
		fmt.Fprintf(w, "app_config_dropped_total{reason=%q} %d\n", string(reason), m.dropped[reason])
	}
}
