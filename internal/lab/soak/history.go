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
	Process              string // name of the dispatcher
	Reused               bool   // the connection had brought an answer before
	DescriptorsExhausted bool   // idle clients held the dispatcher's descriptors
}

// Attempt is one attempt at a worker.
type Attempt struct {
	host.Attempt
	Worker string
}

// WorkerUpdate is a change of the list of workers.
type WorkerUpdate struct {
	At          time.Time
	Worker      string
	AcceptsWork bool // whether it may be sent new work from then on
}

// Outage is a time in which discovery told nothing.
type Outage struct{ From, To time.Time }

// ProcessRecord is one process of a dispatcher. Times are zero where that did not happen.
type ProcessRecord struct {
	Process        string // name of the dispatcher
	Started        time.Time
	Ready          time.Time
	Successor      bool        // it was started beside another one, to replace it
	DiscoveryMoves []time.Time // when it was told to follow discovery at another address
	Terminated     time.Time   // when it was first told to end
	Killed         time.Time
	Ended          time.Time
	ExitCode       int
	CrashLine      string // line of its log that tells of a crash
}

// Stall is a time in which the run itself stood still, for want of a processor: what it saw then, it saw late.
type Stall struct{ From, To time.Time }

// Leftover is what a process still held when all clients had gone.
type Leftover struct {
	Process            string
	Descriptors        int // held
	AllowedDescriptors int
	Outstanding        int // requests in hand, by its own count
	// Goroutines is how many it had, and AllowedGoroutines that of a process that nobody has used, and some; both are 0
	// where they were not counted.
	Goroutines, AllowedGoroutines int
}

// Terms are the terms that the installation ran under.
type Terms struct {
	Classes    []Class
	DrainGrace time.Duration
	Subscribe  bool // lists must be asked for
}

// Class is what holds for the requests of a class.
type Class struct {
	Name   string
	Repeat RepeatPolicy
	Window time.Duration // of Keyed, from the first attempt that may have run
}

// RepeatPolicy is whether a request may be sent again.
type RepeatPolicy int

// The kinds of repeats.
const (
	Retryable  RepeatPolicy = iota
	Keyed                   // within the window
	AtMostOnce              // never, once it may have run
)

// History is all that left and reached anybody in a run.
type History struct {
	Terms         Terms
	Requests      []Request
	Attempts      []Attempt
	WorkerUpdates []WorkerUpdate
	Outages       []Outage
	Processes     []ProcessRecord
	Stalls        []Stall
	Leftovers     []Leftover
}

// class finds the class of a name.
func (r Terms) class(name string) Class {
	for _, c := range r.Classes {
		if c.Name == name {
			return c
		}
	}
	return Class{Name: name, Repeat: AtMostOnce}
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
