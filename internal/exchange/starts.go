package exchange

import (
	"slices"
	"sync"
)

// RepeatLimit says how long after the first attempt that may have run another one may begin.
type RepeatLimit struct {
	Bounded bool  // else at any time
	Within  int64 // microseconds; 0 or less permits no repeat at all
}

// starts are the attempts of one exchange whose bytes may have reached a worker. Whether a repeat is permitted depends
// on when they were written, which may be much later than they were decided on: a connection may take long to come up.
type starts struct {
	mu      sync.Mutex
	repeats RepeatLimit
	begun   []begun
}

// begun is an attempt, and when it began on the dispatcher's clock, in microseconds.
type begun struct {
	attempt *Relay
	at      int64
}

// SetRepeatLimit sets how attempts may follow each other. Of several limits the narrowest counts.
func (x *Exchange) SetRepeatLimit(to RepeatLimit) {
	x.starts.mu.Lock()
	defer x.starts.mu.Unlock()
	if !to.Bounded || x.starts.repeats.Bounded && x.starts.repeats.Within <= to.Within {
		return
	}
	x.starts.repeats = to
}

// begin starts an attempt unless it was called off, or is a repeat that comes too late.
func (s *starts) begin(r *Relay, now int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.permits(now) || !r.stage.CompareAndSwap(waiting, started) {
		return false
	}
	s.begun = append(s.begun, begun{r, now})
	return true
}

func (s *starts) permits(now int64) bool {
	late := func(b begun) bool { return now >= b.at+s.repeats.Within }
	return !s.repeats.Bounded || !slices.ContainsFunc(s.begun, late)
}

// resume counts an attempt that another process has begun, at the earliest moment at which that may have been.
func (s *starts) resume(r *Relay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.stage.Store(started)
	s.begun = append(s.begun, begun{r, r.Sent})
}

func (s *starts) remove(r *Relay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = slices.DeleteFunc(s.begun, func(b begun) bool { return b.attempt == r })
}
