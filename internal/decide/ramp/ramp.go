// Package ramp counts the work that was sent to a worker within a sliding window, which bounds what a cold worker may
// get during its slow start, and decides which dispatchers may use a cold worker at a time. It does no I/O and reads no
// clock; times and work are in microseconds.
//
// A count that restarts at fixed times lets through twice its bound around each of them. Here every window of the given
// length is bounded, wherever it begins.
package ramp

// windowParts is the number of parts of a window. Work that is sent within one part counts as sent with the last of it.
// The memory of a log is therefore bounded, however many gossip messages arrive. Its sum is never too small, and it
// covers at most one part more than the window.
const windowParts = 32

// Sent is work that was sent to a worker. Its fields are part of the handover format, which matches them by name.
type Sent struct {
	At   int64 // when it was sent
	Work float64
	Own  bool // sent by this dispatcher
}

// Log holds the work that was recently sent to one worker, oldest first. Its zero value is empty.
type Log []Sent

// Add adds work that was sent and drops what is older than the window. A time before the last one counts as the last
// one, so that a clock that goes back has no effect.
func (l *Log) Add(s Sent, window int64) {
	if n := len(*l); n > 0 {
		s.At = max(s.At, (*l)[n-1].At)
	}
	part := max(window/windowParts, 1)
	kept := (*l)[:0]
	for _, old := range *l {
		switch {
		case old.At <= s.At-window:
		case old.At/part == s.At/part && old.Own == s.Own:
			s.Work += old.Work
		default:
			kept = append(kept, old)
		}
	}
	*l = append(kept, s)
}

// Since returns the work that was sent after a time, by all dispatchers and by this one.
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
