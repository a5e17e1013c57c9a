package dispatch

import (
	"container/heap"
	"math"
	"time"
)

// timer calls fire at due, in microseconds of the core's clock.
type timer struct {
	due  int64
	fire func()
}

// timerHeap is a heap of timers, the earliest first.
type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

func (t timerHeap) nextDue() int64 {
	if len(t) == 0 {
		return math.MaxInt64
	}
	return t[0].due
}

func (c *Core) schedule(due int64, fire func()) { heap.Push(&c.timers, timer{due, fire}) }

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
