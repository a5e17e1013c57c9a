package soak

import (
	"time"

	"topazfall/internal/lab/client"
	"topazfall/internal/lab/host"
)

// Request is one request of a client on one connection. A request that was sent on two connections is recorded twice.
type Request struct {
	client.Delivery
	client.Result
	Process              string // name of the dispatcher
	Reused               bool   // the connection had already served a request
	DescriptorsExhausted bool   // idle clients exhausted the dispatcher's descriptors
}

// Attempt is one attempt (one try of a request at one worker), as the worker saw it.
type Attempt struct {
	host.Attempt
	Worker string
}

// WorkerUpdate is a change of the worker list.
type WorkerUpdate struct {
	At          time.Time
	Worker      string
	AcceptsWork bool  // whether the worker may get new work from then on
	Version     int64 // of the list that has it
}

// Told is a version of the list that discovery has written to a dispatcher, and that the dispatcher has read.
type Told struct {
	Process string // name of the dispatcher
	Version int64
	At      time.Time
}

// Outage is a period in which discovery had a fault.
type Outage struct{ From, To time.Time }

// ProcessRecord is the life of one dispatcher process. The times of events that did not happen are zero.
type ProcessRecord struct {
	Process        string // name of the dispatcher
	Started        time.Time
	Ready          time.Time
	Successor      bool        // it was started to take over from a running process
	DiscoveryMoves []time.Time // when it got a SIGHUP with another discovery address
	Terminated     time.Time   // when it got its first SIGTERM
	Killed         time.Time
	Ended          time.Time
	ExitCode       int
	CrashLine      string // log line that shows a crash, "" for none
	PeakMemoryKB   int    // as last seen
}

// Stall is a period in which the process that makes the run got no CPU, so that it observed events late.
type Stall struct{ From, To time.Time }

// Leftover holds the resources that a process still used after all clients had disconnected.
type Leftover struct {
	Process            string
	Descriptors        int // open descriptors
	AllowedDescriptors int
	Outstanding        int // unfinished requests by the process's own metric
	// Goroutines is how many it had. AllowedGoroutines is the number in a process that was never used, plus
	// allowedExtra. Both are 0 where they were not counted.
	Goroutines, AllowedGoroutines int
}

// Terms are the settings of the installation that the auditor needs.
type Terms struct {
	Classes    []Class
	DrainGrace time.Duration
	Subscribe  bool // the dispatchers must request the worker list
	MemoryMB   int  // limit on the memory of a process, 0 for none that is checked
}

// Class is the repeat policy of a request class.
type Class struct {
	Name   string
	Repeat RepeatPolicy
	Window time.Duration // of Keyed, measured from the first attempt that may have run
}

// RepeatPolicy says whether a request that may have run may be sent to a worker again.
type RepeatPolicy int

// The repeat policies.
const (
	Retryable  RepeatPolicy = iota // always
	Keyed                          // within the window
	AtMostOnce                     // never
)

// History is everything that was sent, received and observed in a run.
type History struct {
	Terms         Terms
	Requests      []Request
	Attempts      []Attempt
	WorkerUpdates []WorkerUpdate
	Told          []Told // in order of time
	Outages       []Outage
	Processes     []ProcessRecord
	Stalls        []Stall
	Leftovers     []Leftover
}

// class returns the class of a name. An unknown class counts as AtMostOnce.
func (t Terms) class(name string) Class {
	for _, c := range t.Classes {
		if c.Name == name {
			return c
		}
	}
	return Class{Name: name, Repeat: AtMostOnce}
}

// stalledWithin returns how long the run was stalled between two times. The auditor extends its limits by that, because
// an event that is observed late has happened earlier.
func (h *History) stalledWithin(from, to time.Time) (sum time.Duration) {
	for _, s := range h.Stalls {
		start, end := s.From, s.To
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		if end.After(start) {
			sum += end.Sub(start)
		}
	}
	return sum
}
