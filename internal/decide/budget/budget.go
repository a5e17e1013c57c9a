// Package budget limits the memory that requests take up while they are read and in flight. It counts estimates in
// bytes; it neither allocates nor frees anything.
package budget

import "sync"

// Budget is a number of bytes that reservations share. Its methods may be called from any goroutine.
type Budget struct {
	mu          sync.Mutex
	limit, used int64
	released    chan struct{} // closed at the next release; nil if nobody waits for it
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Released returns a channel that is closed when bytes are released.
func (b *Budget) Released() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// SetLimit changes the limit. Reservations beyond a lowered limit stay; they only keep others from growing.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Used returns the number of reserved bytes. It can exceed the limit, by what was reserved by Add or before the limit
// was lowered.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// available returns how many bytes may still be reserved. Half of the budget is not available to untrusted senders, so
// that they cannot keep the others from being served.
func (b *Budget) available(trusted bool) int64 {
	if trusted {
		return b.limit - b.used
	}
	return b.limit/2 - b.used
}

// Reservation is what one request has of a budget. The zero value belongs to no budget.
type Reservation struct {
	budget *Budget
	bytes  int64 // guarded by budget.mu
}

// NewReservation returns a reservation of no bytes.
func (b *Budget) NewReservation() Reservation { return Reservation{budget: b} }

// Grow raises the reservation to the given number of bytes and reports whether the budget allows it. A reservation that
// has as many already is not changed.
func (r *Reservation) Grow(bytes int64, trusted bool) bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	more := bytes - r.bytes
	if more <= 0 {
		return true
	}
	if more > r.budget.available(trusted) {
		return false
	}
	r.add(more)
	return true
}

// Add adds bytes to the reservation, whatever the limit is. It is for memory that is taken up in any case.
func (r *Reservation) Add(bytes int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.add(bytes)
}

// Release returns all bytes to the budget. The reservation can be used again.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.bytes == 0 {
		return
	}
	r.add(-r.bytes)
	if r.budget.released != nil {
		close(r.budget.released)
		r.budget.released = nil
	}
}

// add changes the reservation. The caller holds budget.mu.
func (r *Reservation) add(bytes int64) {
	r.bytes += bytes
	r.budget.used += bytes
}
