package admission

import (
	"errors"
	"fmt"
	"time"
)

// Shape says how the traffic varies.
type Shape string

// The shapes of the traffic.
const (
	Calm   Shape = "calm"   // Poisson arrivals at constant rates
	Bursty Shape = "bursty" // bursts of single tenants and of all together
	Surge  Shape = "surge"  // constant rates, and twice as much for some seconds from the time of the cut on
	Hot    Shape = "hot"    // one tenant sends most of its requests through one dispatcher
)

// Reports says how dispatchers learn of the load of workers.
type Reports string

// The kinds of load reports.
const (
	Weights Reports = "weights" // by live weights in the worker list, which is pushed
	Answers Reports = "answers" // by load reports in the answers to jobs
)

// ClassSet names a set of classes of requests.
type ClassSet string

// The sets of classes.
const (
	Long  ClassSet = "long"  // keyed and unsafe jobs of about a second
	Short ClassSet = "short" // safe jobs of tens of milliseconds
)

// Scenario describes one run.
type Scenario struct {
	Dispatchers          int           `json:"dispatchers"`
	WorkersPerDispatcher float64       `json:"workers_per_dispatcher"`
	Load                 float64       `json:"load"` // offered work as a share of the true capacity
	Shape                Shape         `json:"shape"`
	Reports              Reports       `json:"reports"`
	Classes              ClassSet      `json:"classes"`
	Cut                  time.Duration `json:"cut_ns"`         // how long the paths between zones are lost; 0: no cut
	SilentList           time.Duration `json:"silent_list_ns"` // how long no list arrives, from the time of the cut
	Length               time.Duration `json:"length_ns"`      // of the measured part, unless a cut needs more
	RetryShare           float64       `json:"retry_share"`    // share of the clients that retry a refusal, once
	Seed                 uint64        `json:"seed"`
}

// ErrInvalid is wrapped by the errors about invalid scenarios and options.
var ErrInvalid = errors.New("admission")

// Limits of a scenario.
const (
	minWorkers     = 12
	maxDispatchers = 10_000
	maxLoad        = 10
	maxLength      = time.Hour
)

// Parts of a run.
const (
	startTime    = 100 * second // the virtual time at which a run begins
	startSpread  = second       // the dispatchers start within this time
	warmupTime   = 10 * second  // requests that arrive in the warm-up are not counted
	timeToCut    = 20 * second  // from the end of the warm-up
	timeAfterCut = 10 * second  // measured beyond the recovery target, at least
)

// workerCount returns the number of workers.
func (s Scenario) workerCount() int {
	return max(minWorkers, int(float64(s.Dispatchers)*s.WorkersPerDispatcher))
}

// measuredTime returns the length of the measured part.
func (s Scenario) measuredTime() int64 {
	length := s.Length.Microseconds()
	if s.Cut == 0 {
		return length
	}
	afterCut := recoveryTarget(s.Cut).Microseconds() + timeAfterCut
	return max(length, timeToCut+s.Cut.Microseconds()+afterCut)
}

// check returns an error that names the first invalid value.
func (s Scenario) check() error {
	switch {
	case s.Dispatchers < 1 || s.Dispatchers > maxDispatchers:
		return fmt.Errorf("%w: the number of dispatchers must be 1 to %d, not %d", ErrInvalid, maxDispatchers,
			s.Dispatchers)
	case !(s.WorkersPerDispatcher > 0 && s.WorkersPerDispatcher <= minWorkers):
		return fmt.Errorf("%w: the number of workers per dispatcher must be above 0 and at most %d, not %v",
			ErrInvalid, minWorkers, s.WorkersPerDispatcher)
	case !(s.Load > 0 && s.Load <= maxLoad):
		return fmt.Errorf("%w: the load must be above 0 and at most %d, not %v", ErrInvalid, maxLoad, s.Load)
	case s.Shape != Calm && s.Shape != Bursty && s.Shape != Surge && s.Shape != Hot:
		return fmt.Errorf("%w: the shape must be calm, bursty, surge or hot, not %q", ErrInvalid, s.Shape)
	case s.Reports != Weights && s.Reports != Answers:
		return fmt.Errorf("%w: the load reports must be weights or answers, not %q", ErrInvalid, s.Reports)
	case s.Classes != Long && s.Classes != Short:
		return fmt.Errorf("%w: the classes must be long or short, not %q", ErrInvalid, s.Classes)
	case s.Cut < 0 || s.Cut > maxLength:
		return fmt.Errorf("%w: a cut must last 0 to %v, not %v", ErrInvalid, maxLength, s.Cut)
	case s.SilentList < 0 || s.SilentList > maxLength:
		return fmt.Errorf("%w: the list must be silent for 0 to %v, not %v", ErrInvalid, maxLength, s.SilentList)
	case s.Length < time.Second || s.Length > maxLength:
		return fmt.Errorf("%w: the length must be 1s to %v, not %v", ErrInvalid, maxLength, s.Length)
	case !(s.RetryShare >= 0 && s.RetryShare <= 1):
		return fmt.Errorf("%w: the share of retries must be 0 to 1, not %v", ErrInvalid, s.RetryShare)
	}
	return nil
}

// String names the scenario in one line.
func (s Scenario) String() string {
	name := fmt.Sprintf("%d dispatchers, load %v, %s, %s, %s", s.Dispatchers, s.Load, s.Shape, s.Reports, s.Classes)
	if s.Cut > 0 {
		name += fmt.Sprintf(", cut %v", s.Cut)
	}
	if s.SilentList > 0 {
		name += fmt.Sprintf(", list silent for %v", s.SilentList)
	}
	return fmt.Sprintf("%s, seed %d", name, s.Seed)
}
