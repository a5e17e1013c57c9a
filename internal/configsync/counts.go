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

// DropReason says why something that came in, or was to go out, was dropped. The reasons of configlog count beside these.
type DropReason string

// The reasons.
const (
	ReasonHello       DropReason = "hello"       // a first frame that is none, or one in the middle
	ReasonStranger    DropReason = "stranger"    // another installation, or a name that is not on the roster
	ReasonRegion      DropReason = "region"      // a member that claims another region than the roster's
	ReasonSize        DropReason = "size"        // a frame larger than frames may be
	ReasonForm        DropReason = "form"        // a frame or message that is not well-formed, or beyond a limit
	ReasonVersion     DropReason = "version"     // a frame of an unknown version
	ReasonCut         DropReason = "cut"         // a frame that was cut short
	ReasonConnections DropReason = "connections" // more connections than there may be
	ReasonBusy        DropReason = "busy"        // more messages than could be handled
	ReasonQueue       DropReason = "queue"       // more messages for an instance than may wait; it pulls what it missed
	ReasonUnreachable DropReason = "unreachable" // messages for an instance that could not be reached
	ReasonSettings    DropReason = "settings"    // a committed revision that this program cannot bring into force
)

// logEvery is how often a reason is named in the log, at most.
const logEvery = time.Minute

// counts are the figures of an instance.
type counts struct {
	revision atomic.Uint64
	newest   atomic.Uint64
	since    atomic.Int64 // microseconds since 1970 when it came into force here
	links    atomic.Int64 // open connections, either way
	sent     atomic.Int64 // bytes
	received atomic.Int64
	silent   atomic.Int64 // microseconds; negative for never heard of a leader

	mu      sync.Mutex
	dropped map[DropReason]int64
	unsaid  map[DropReason]int64
	said    map[DropReason]time.Time
}

func newCounts() *counts {
	return &counts{dropped: map[DropReason]int64{}, unsaid: map[DropReason]int64{}, said: map[DropReason]time.Time{}}
}

// drop counts what was dropped, and names it in the log once in logEvery.
func (c *counts) drop(why DropReason, number int64, attributes ...any) {
	if number == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped[why] += number
	c.unsaid[why] += number
	now := time.Now()
	if said, ok := c.said[why]; ok && now.Sub(said) < logEvery {
		return
	}
	what := []any{"state", "dropped", "reason", string(why), "count", c.unsaid[why]}
	slog.Warn("configsync", append(what, attributes...)...)
	c.said[why], c.unsaid[why] = now, 0
}

func (c *counts) dropLog(why configlog.DropReason) { c.drop(DropReason(why), 1) }

// write writes the figures in the text exposition format.
func (c *counts) write(w io.Writer) {
	inForce := 0.0
	if since := c.since.Load(); since > 0 {
		inForce = time.Since(time.UnixMicro(since)).Seconds()
	}
	silent := float64(c.silent.Load()) / 1e6
	for _, f := range []struct {
		name, kind string
		value      float64
	}{
		{"revision", "gauge", float64(c.revision.Load())},
		{"newest_revision", "gauge", float64(c.newest.Load())},
		{"in_force_seconds", "gauge", inForce},
		{"leader_silent_seconds", "gauge", silent},
		{"connections", "gauge", float64(c.links.Load())},
		{"sent_bytes_total", "counter", float64(c.sent.Load())},
		{"received_bytes_total", "counter", float64(c.received.Load())},
	} {
		fmt.Fprintf(w, "# TYPE app_config_%s %s\napp_config_%s %.15g\n", f.name, f.kind, f.name, f.value)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprint(w, "# TYPE app_config_dropped_total counter\n")
	for _, why := range slices.Sorted(maps.Keys(c.dropped)) {
		fmt.Fprintf(w, "app_config_dropped_total{reason=%q} %d\n", string(why), c.dropped[why])
	}
}
