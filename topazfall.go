// Package topazfall makes the decisions of a dispatcher that pushes jobs to workers: which worker
// gets a job, when to try again, when to refuse. It follows the Bayesian load sharing of Shin and Hou:
// every dispatcher keeps a small buddy set, holds an observed region of backlog for each buddy, learns
// how far that region can be trusted, and sends each job where the risk of a late start is least.
//
// The package does no I/O, reads no clock and starts no goroutine. The embedding program owns the
// network: it feeds events to a [Balancer] in the order they happen, with a clock that never runs
// backwards, from one goroutine, and carries out the returned actions in the order given. A Timer
// action must come back as a TimerDue event at or after its time. Every attempt must end in exactly one
// AttemptDone event. All times and durations are microseconds.
//
// This file holds the interface only; every decision is made in balancer.go.
package topazfall

import (
	"fmt"
	"math"
	"slices"
)

// RepeatRule says what may follow an attempt that may have run.
type RepeatRule int

// The repeat rules of a class.
const (
	Safe   RepeatRule = iota // may be repeated freely
	Keyed                    // repeats are dropped within a group of workers, for a while
	Unsafe                   // must never run twice
)

// Group is the set of workers that drops the repeats of a keyed job.
type Group int

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of jobs.
type Class struct {
	Name      string
	Deadline  int64   // total time a client waits
	Aim       int64   // an answer within Aim (plus Stretch times its work) has its full worth
	Stretch   float64 // see Aim
	Worth     float64 // worth of one job, or of one unit of work
	LateWorth float64 // share of the worth kept between the aim and the deadline
	Repeat    RepeatRule
	Group     Group  // of keyed classes
	Window    int64  // of keyed classes: how long repeats are dropped, from the first send
	Kind      string // the only kind of worker that can run it; empty for any
	Priority  int
}

// Tenant is one of the parties sharing the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // jobs a second across all dispatchers
}

// Contract holds the figures of the four rules.
type Contract struct {
	AnswerSlack  int64   // a final answer is accepted so long after the client's deadline
	DrainGrace   int64   // sends to a draining or gone worker must stop within this time
	AskEvery     int64   // where the list must be asked for: how often, at least
	ColdFrom     float64 // share of its capacity a fresh worker has at least
	RampTime     int64   // after which it is warm
	FallMultiple float64 // a cold worker sent this multiple of its present capacity
	FallTime     int64   // for this long falls over
}

// Allowed holds what the site permits.
type Allowed struct {
	Cancel         bool // CancelAttempt
	Probe          bool // ProbeWorker
	PeerMessages   bool
	HedgedRequests bool // two attempts of one job at once
	RetryAfter     bool // advice with a refusal
	MaxRetryAfter  int64
	Attempts       int // most attempts of one job
	DialTimeout    int64
}

// Settings is everything a balancer is told at start.
type Settings struct {
	Seed          uint64
	Me            int // number of this dispatcher among Dispatchers, from 0
	Dispatchers   int
	Zone          string
	Zones         []string
	Kinds         []string
	Classes       []Class
	Tenants       []Tenant
	Contract      Contract
	Allowed       Allowed
	Tick          int64 // least time between two deliveries of events
	LoadReports   ReportSource
	ReportsStart  bool    // workers say when a job begins
	Progress      int64   // interval of progress notes; 0 for none
	LiveWeights   bool    // a worker's weight is its size divided by 1 + its jobs per core
	ListOnRequest bool    // list changes arrive only on FollowList or FetchList
	CrossZone     float64 // worth lost, as a share, by sending to another zone
	OverShare     float64 // share of the worth kept by jobs beyond a tenant's quota
}

// ReportSource says where load reports come from.
type ReportSource int

// The sources of load reports.
const (
	ReportsNever ReportSource = iota
	ReportsInAnswers
	ReportsInProbes
)

// WorkerState is what the list says of a worker.
type WorkerState int

// The states of a worker on the list.
const (
	Ready WorkerState = iota
	Draining
	Gone
)

// Worker is one entry of the list of workers.
type Worker struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int
	State     WorkerState
	Weight    float64
	StartedAt int64 // 0 for long ago
}

// Load is a worker's report about itself. A value that was not reported is negative.
type Load struct {
	Queue, Inflight, Free, Util float64
}

// NoLoad is the report of a worker that said nothing.
var NoLoad = Load{-1, -1, -1, -1}

// Outcome says how an attempt ended.
type Outcome int

// The outcomes of an attempt. NotRun tells which of them prove that the job never ran.
const (
	Completed         Outcome = iota
	Errored                   // the worker answered with an error
	Saturated                 // turned away unseen
	TimedOut                  // no answer in time
	ConnectionRefused         // no connection
	ConnectionLost            // the connection broke
	Cancelled                 // cancelled by the dispatcher
	NeverSent                 // never sent
	Unusable                  // the worker answered that the job itself cannot be used
	ProbeFailed               // of probes only: anything but Completed
	numOfOutcomes     = int(ProbeFailed) + 1
)

// NotRun reports whether the outcome proves that the job never ran.
func (o Outcome) NotRun() bool { return o == Saturated || o == ConnectionRefused || o == NeverSent }

// EventKind names what happened.
type EventKind int

// The events, with the fields of Event that each one uses.
const (
	Arrival       EventKind = iota // Request, Class, Tenant, Due, Hint, Key, Slots, Retry
	AttemptDone                    // Request, Attempt, Worker, Outcome, Took, Final, Load
	JobStarted                     // Request, Attempt, Worker
	JobProgress                    // Request, Attempt, Worker, Amount
	StreamStarted                  // Request, Attempt, Worker, Took
	ClientGone                     // Request
	ProbeDone                      // Worker, Outcome, Took, Load
	TimerDue                       // Token
	ListPatch                      // List: changed entries
	ListSnapshot                   // List: all entries
	ListRestored                   // List: all entries as last held before a restart
	ListFailed                     // a list call failed or the subscription broke
	PeerMessage                    // From, Data
	HandedOver                     // Request: another process goes on with it
	Resumed                        // as Arrival, and Tries: a request that another process has begun
	// Settings: they passed Check, and their Classes and Tenants begin with those from before
	NewSettings
	Replaced // Amount: 1 from when another process takes the new jobs, 0 if it does no more
)

// Event is one thing that happened at the dispatcher. The balancer keeps no reference to it or its list.
type Event struct {
	Kind    EventKind
	Request uint64
	Attempt int
	Worker  string
	Class   int    // index into Settings.Classes
	Tenant  int    // index into Settings.Tenants, or -1
	Due     int64  // clock time at which the client gives up
	Hint    int64  // expected work on a standard core; 0 if not known
	Key     uint64 // what the job needs at a worker, which keeps some; 0 for nothing of the kind
	Slots   float64
	Retry   bool // the client has tried before
	Outcome Outcome
	Elapsed int64
	Final   bool // the request has its final answer
	Amount  float64
	Load    Load
	Token   uint64
	List    []Worker
	From    int
	Data    []byte
	Tries   []Try

	Settings *Settings
}

// Try is what is known of one attempt of a request that goes from one balancer to another.
type Try struct {
	Worker                           string
	Sent, Started, Heard             int64
	Done, NotRun, Recalled, Unusable bool
}

// ActionKind names what the dispatcher is to do.
type ActionKind int

// The actions, with the fields of Action that each one uses.
const (
	Send          ActionKind = iota // Request, Worker, After: time-out, 0 for the client's deadline
	Refuse                          // Request, After: advised wait, 0 for none
	Fail                            // Request
	CancelAttempt                   // Request, Attempt
	SetTimer                        // After, Token
	ProbeWorker                     // Worker
	WatchList                       // -
	FetchList                       // -
	SendToPeer                      // Peer, Data: at most 256 bytes
	Log                             // Text
)

// AllPeers stands for every other dispatcher.
const AllPeers = -1

// Action is one thing for the dispatcher to do.
type Action struct {
	Kind    ActionKind
	Request uint64
	Worker  string
	Attempt int
	After   int64
	Token   uint64
	Peer    int // number of a dispatcher, or AllPeers
	Data    []byte
	Text    string
}

// MergeClasses returns old, with the classes in it that now names as they are now, and behind these what is new: so
// that an index means the same class for ever. Which of them are in use is now's to say.
func MergeClasses(old, now []Class) []Class {
	return appendNamed(slices.Clone(old), now, func(c Class) string { return c.Name })
}

// MergeTenants does the same for tenants. Those that are gone have no bound: what they still have in hand is theirs.
func MergeTenants(old, now []Tenant) (all []Tenant) {
	for _, t := range old {
		all = append(all, Tenant{Name: t.Name})
	}
	return appendNamed(all, now, func(t Tenant) string { return t.Name })
}

func appendNamed[T any](all, now []T, name func(T) string) []T {
	for _, v := range now {
		if i := slices.IndexFunc(all, func(o T) bool { return name(o) == name(v) }); i >= 0 {
			all[i] = v
		} else {
			all = append(all, v)
		}
	}
	return all
}

// Check names the first setting that cannot work, and its value.
func (s *Settings) Check() error {
	type field struct {
		name  string
		value float64
		good  bool
	}
	first := func(fields ...field) error {
		for _, f := range fields {
			if !f.good || math.IsNaN(f.value) || math.IsInf(f.value, 0) {
				return fmt.Errorf("topazfall: settings: %s is %v, missing or out of range", f.name, f.value)
			}
		}
		return nil
	}
	least := func(name string, value, least float64) field { return field{name, value, value >= least} }
	part := func(name string, value float64) field { return field{name, value, value >= 0 && value <= 1} }
	c, a := &s.Contract, &s.Allowed
	if err := first(least("Dispatchers", float64(s.Dispatchers), 1), least("Me", float64(s.Me), 0),
		least("Classes", float64(len(s.Classes)), 1), least("Allowed.Attempts", float64(a.Attempts), 1),
		least("Allowed.MaxRetryAfter", float64(a.MaxRetryAfter), 0),
		least("Allowed.DialTimeout", float64(a.DialTimeout), 0),
		least("Tick", float64(s.Tick), 0), least("Progress", float64(s.Progress), 0),
		least("CrossZone", s.CrossZone, 0),
		part("OverShare", s.OverShare), least("Contract.AnswerSlack", float64(c.AnswerSlack), 0),
		least("Contract.DrainGrace", float64(c.DrainGrace), 0), least("Contract.AskEvery", float64(c.AskEvery), 0),
		least("Contract.RampTime", float64(c.RampTime), 0), least("Contract.FallTime", float64(c.FallTime), 0),
		least("Contract.FallMultiple", c.FallMultiple, 0), part("Contract.ColdFrom", c.ColdFrom)); err != nil {
		return err
	}
	for i, k := range s.Classes {
		name := fmt.Sprintf("Classes[%d] (%q): ", i, k.Name)
		if err := first(least(name+"deadline", float64(k.Deadline), 1), least(name+"aim", float64(k.Aim), 0),
			least(name+"stretch", k.Stretch, 0), part(name+"late worth", k.LateWorth), least(name+"worth", k.Worth, 0),
			least(name+"window", float64(k.Window), 0),
			field{name + "aim and stretch", 0, k.Aim > 0 || k.Stretch > 0}); err != nil {
			return err
		}
		if slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == k.Name }) && k.Name != "" {
			return fmt.Errorf("topazfall: settings: Classes[%d] has the name %q of another", i, k.Name)
		}
	}
	for i, t := range s.Tenants {
		name := fmt.Sprintf("Tenants[%d] (%q): ", i, t.Name)
		if err := first(least(name+"quota", t.Quota, 0), least(name+"share", t.Share, 0)); err != nil {
			return err
		}
	}
	return nil
}
