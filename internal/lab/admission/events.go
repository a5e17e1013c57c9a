package admission

import "container/heap"

// Virtual times and durations are in microseconds, as in the decision module.
const (
	millisecond = int64(1000)
	second      = 1000 * millisecond
)

// event is an action at a point of virtual time.
type event struct {
	at       int64
	sequence uint64 // orders events of the same time
	action   func()
}

// eventHeap is a heap of events, the earliest first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return x
}

// scheduler runs actions in the order of their virtual times.
type scheduler struct {
	now       int64
	scheduled uint64
	pending   eventHeap
}

// at schedules an action for a time, or for now if that has passed.
func (s *scheduler) at(time int64, action func()) {
	s.scheduled++
	heap.Push(&s.pending, event{max(time, s.now), s.scheduled, action})
}

// after schedules an action for the end of a delay.
func (s *scheduler) after(delay int64, action func()) { s.at(s.now+delay, action) }

// runUntil runs the actions that are due before the end.
func (s *scheduler) runUntil(end int64) {
	for len(s.pending) > 0 && s.pending[0].at < end {
		next := heap.Pop(&s.pending).(event)
		s.now = next.at
		next.action()
	}
}
