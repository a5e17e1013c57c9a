// Package ramp counts the work that was sent to a worker within a sliding window, for the bound on what a cold
// worker may get. It does no I/O and reads no clock; times and work are microseconds.
//
// A count that begins anew at fixed times lets twice its bound through around each of them. Here every window
// of the length is bounded, wherever it begins.
package ramp

// most is how many sends are kept of a worker. Beyond it the two oldest count as one, at the time of the later:
// the sum is never too small, however many words others send.
const most = 64

// Sent is work that was sent to a worker.
type Sent struct {
	At   int64
	Work float64
	Own  bool // by this dispatcher
}

// Log holds what was sent to one worker of late, the oldest first. Its zero value is empty.
type Log []Sent

// Add counts what was sent at a time, and forgets what is older than the window. A time before the last one
// counts as the last one: clocks don't run backwards here.
func (l *Log) Add(s Sent, window int64) {
	if n := len(*l); n > 0 {
		s.At = max(s.At, (*l)[n-1].At)
	}
	old := 0
	for old < len(*l) && (*l)[old].At <= s.At-window {
		old++
	}
	*l = append((*l)[:0], (*l)[old:]...)
	if len(*l) >= most {
		l.merge()
	}
	*l = append(*l, s)
}

// merge makes room: of the first two of one kind, own or others', the earlier counts at the time of the later.
func (l *Log) merge() {
	for i := range *l {
		for j := i + 1; j < len(*l); j++ {
			if (*l)[i].Own == (*l)[j].Own {
				(*l)[j].Work += (*l)[i].Work
				*l = append((*l)[:i], (*l)[i+1:]...)
				return
			}
		}
	}
}

// Since sums up the work that was sent later than a time: by all, and by this dispatcher.
func (l Log) Since(at int64) (all, own float64) {
	for _, s := range l {
		if s.At > at {
			all += s.Work
			if s.Own {
				own += s.Work
			}
		}
	}
	return all, own
}
