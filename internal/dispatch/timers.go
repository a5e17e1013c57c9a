package dispatch

import (
	"container/heap"
	"math"
	"time"
)

type timer struct {
	at   int64
	ring func()
}

// timers is a heap of what is to happen when.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

func (t timers) next() int64 {
	if len(t) == 0 {
		return math.MaxInt64
	}
	return t[0].at
}

func (c *Core) after(at int64, ring func()) { heap.Push(&c.timers, timer{at, ring}) }

// alarm is a time.Timer that is set anew only when the next time changes.
type alarm struct {
	*time.Timer
	at int64
}

func newAlarm() *alarm { return &alarm{time.NewTimer(time.Hour), 0} }

func (a *alarm) set(at, now int64) {
	if at != a.at || at <= now {
		a.at = at
		a.Reset(time.Duration(min(max(at-now, 0), 3600e6)) * time.Microsecond)
	}
}
