// Package ramp counts the work that was sent to a worker within a sliding window, for the bound on what a cold
// worker may get. It does no I/O and reads no clock; times and work are microseconds.
//
// A count that begins anew at fixed times lets twice its bound through around each of them. Here every window
// of the length is bounded, wherever it begins.
package ramp

// parts is how many a window is cut into. What is sent in one part counts as sent with the last of it: a log takes
// a bounded place, however many words others send, and its sum is never too small, nor that of more than one part
// more than the window.
const parts = 32

// Sent is work that was sent to a worker.
type Sent struct {
	At   int64
	Work float64
	Own  bool // by this dispatcher
}

// Log holds what was sent to one worker of late, the oldest first. Its zero value is empty.
type Log []Sent

// Add counts what was sent at a time, and forgets what is older than the window. A time before the last one counts
// as the last one: clocks don't run backwards here.
func (l *Log) Add(s Sent, window int64) {
	if n := len(*l); n > 0 {
		s.At = max(s.At, (*l)[n-1].At)
	}
	part := max(window/parts, 1)
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
