package soak

import (
	"time"

	"topazfall/internal/lab/client"
	"topazfall/internal/lab/host"
)

// Request is one request of a client, once for each connection that it was brought on.
type Request struct {
	client.Delivery
	client.Result
	Process string // name of the dispatcher
	Reused  bool   // the connection had brought an answer before
	Crowded bool   // idle clients held the dispatcher's descriptors
}

// Attempt is one attempt at a worker.
type Attempt struct {
	host.Attempt
	Worker string
}

// Listing is a change of the list of workers.
type Listing struct {
	At     time.Time
	Worker string
	Wanted bool // whether it may be sent new work from then on
}

// Outage is a time in which discovery told nothing.
type Outage struct{ From, To time.Time }

// Life is one process of a dispatcher. Times are zero where that did not happen.
type Life struct {
	Process    string // name of the dispatcher
	Started    time.Time
	Ready      time.Time
	Successor  bool        // it was started beside another one, to replace it
	Moved      []time.Time // when it was told to follow discovery at another address
	Terminated time.Time   // when it was first told to end
	Killed     time.Time
	Ended      time.Time
	ExitCode   int
	Fatal      string // line of its log that tells of a crash
}

// Stall is a time in which the run itself stood still, for want of a processor: what it saw then, it saw late.
type Stall struct{ From, To time.Time }

// Leftover is what a process still held when all clients had gone.
type Leftover struct {
	Process     string
	Descriptors int // held
	Allowed     int
	Outstanding int // requests in hand, by its own count
	// Goroutines is how many it had, and AllowedGoroutines that of a process that nobody has used, and some; both are 0
	// where they were not counted.
	Goroutines, AllowedGoroutines int
}

// Rules are the terms that the installation ran under.
type Rules struct {
	Classes    []Class
	DrainGrace time.Duration
	Asked      bool // lists must be asked for
}

// Class is what holds for the requests of a class.
type Class struct {
	Name   string
	Repeat Repeat
	Window time.Duration // of Keyed, from the first attempt that may have run
}

// Repeat is whether a request may be sent again.
type Repeat int

// The kinds of repeats.
const (
	Retryable Repeat = iota
	Keyed            // within the window
	Once             // never, once it may have run
)

// History is all that left and reached anybody in a run.
type History struct {
	Rules     Rules
	Requests  []Request
	Attempts  []Attempt
	Listings  []Listing
	Outages   []Outage
	Lives     []Life
	Stalls    []Stall
	Leftovers []Leftover
}

// class finds the class of a name.
func (r Rules) class(name string) Class {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return Class{Name: name, Repeat: Once}
}

// stalled is how long the run stood still within a time, with a little before it: what is seen late has happened
// before.
func (h *History) stalled(from, to time.Time) (sum time.Duration) {
	for _, s := range h.Stalls {
		first, last := s.From, s.To
		if first.Before(from) {
			first = from
		}
		if last.After(to) {
			last = to
		}
		if last.After(first) {
			sum += last.Sub(first)
		}
	}
	return sum
}
