package exchange

import (
	"slices"
	"sync"
)

// RepeatLimit is how long after the first attempt that may have run another attempt (a repeat) may start.
type RepeatLimit struct {
	Bounded bool  // if false, a repeat may start at any time
	Within  int64 // microseconds; 0 or less permits no repeat at all
}

// repeatGuard records the attempts of one exchange whose bytes may have reached a worker. Whether a repeat is permitted
// depends on when they were written, which may be much later than when they were decided, as dialling can be slow.
type repeatGuard struct {
	mu      sync.Mutex
	limit   RepeatLimit
	started []startedAttempt
}

// startedAttempt is an attempt and its start on the dispatcher's clock, in microseconds.
type startedAttempt struct {
	relay     *Relay
	startedAt int64
}

// SetRepeatLimit limits the repeats of an exchange. Of several limits the strictest applies.
func (x *Exchange) SetRepeatLimit(limit RepeatLimit) {
	x.repeats.mu.Lock()
	defer x.repeats.mu.Unlock()
	if !limit.Bounded || x.repeats.limit.Bounded && x.repeats.limit.Within <= limit.Within {
		return
	}
	x.repeats.limit = limit
}

// tryStart starts an attempt unless it was cancelled or is a repeat that comes too late.
func (g *repeatGuard) tryStart(r *Relay, now int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.allows(now) || !r.stage.CompareAndSwap(stageWaiting, stageStarted) {
		return false
	}
	g.started = append(g.started, startedAttempt{r, now})
	return true
}

func (g *repeatGuard) allows(now int64) bool {
	tooLate := func(attempt startedAttempt) bool { return now >= attempt.startedAt+g.limit.Within }
	return !g.limit.Bounded || !slices.ContainsFunc(g.started, tooLate)
}

// resume records an attempt that another process started. Its start counts as the time it was decided, the earliest
// possible one.
func (g *repeatGuard) resume(r *Relay) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.stage.Store(stageStarted)
	g.started = append(g.started, startedAttempt{r, r.Sent})
}

func (g *repeatGuard) remove(r *Relay) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started = slices.DeleteFunc(g.started, func(attempt startedAttempt) bool { return attempt.relay == r })
}
