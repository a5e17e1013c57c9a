package dispatch

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// timer calls fire at due, in microseconds of the core's clock.
type timer struct {
	due     int64
	fire    func()
	message uint64 // the number of the message that it is for; 0 for none
	index   int    // in the heap
}

// timerHeap is a heap of timers, the earliest first.
type timerHeap []*timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *timerHeap) Push(x any) {
	added := x.(*timer)
	added.index = len(*t)
	*t = append(*t, added)
}
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return x
}

func (t timerHeap) nextDue() int64 {
	if len(t) == 0 {
		return math.MaxInt64
	}
	return t[0].due
}

// schedule calls fire at due.
func (c *Core) schedule(due int64, fire func()) { c.scheduleFor(0, due, fire) }

// scheduleFor calls fire at due unless the message with the given number has ended by then. A client decides how long
// its message may take, so that a timer must not outlive it.
func (c *Core) scheduleFor(message uint64, due int64, fire func()) {
	t := &timer{due: due, fire: fire, message: message}
	heap.Push(&c.timers, t)
	if message != 0 {
		c.messageTimers[message] = append(c.messageTimers[message], t)
	}
}

// popTimer removes and returns the earliest timer.
func (c *Core) popTimer() *timer {
	t := heap.Pop(&c.timers).(*timer)
	if t.message != 0 {
		others := c.messageTimers[t.message]
		c.messageTimers[t.message] = slices.DeleteFunc(others, func(other *timer) bool { return other == t })
	}
	return t
}

// removeTimers removes the timers of a message that has ended.
func (c *Core) removeTimers(message uint64) {
	for _, t := range c.messageTimers[message] {
		heap.Remove(&c.timers, t.index)
	}
	delete(c.messageTimers, message)
}

// wakeTimer is a time.Timer that is reset only if the next due time has changed or has passed.
type wakeTimer struct {
	*time.Timer
	due int64
}

func newWakeTimer() *wakeTimer { return &wakeTimer{time.NewTimer(time.Hour), 0} }

func (a *wakeTimer) setDue(due, now int64) {
	if due != a.due || due <= now {
		a.due = due
		a.Reset(time.Duration(min(max(due-now, 0), 3600e6)) * time.Microsecond)
	}
}
