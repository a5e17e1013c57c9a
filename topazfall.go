// Package topazfall makes the decisions of a dispatcher (a load balancer that pushes jobs to workers): which
// worker gets a job, when to retry, when to refuse. It follows the Bayesian load sharing of Shin and Hou: every
// dispatcher keeps a small buddy set (its subset of the workers), observes a region of backlog for each buddy,
// learns the distribution of the actual backlog in that region, and sends each job to the worker with the
// minimum risk of a late start.
//
// The package does no I/O, reads no clock and starts no goroutine. The embedding program owns the network. It
// feeds events to a [Balancer] in the order in which they happen, with a clock that never runs backwards, from
// one goroutine, and carries out the returned actions in the order given. A SetTimer action must come back as a
// TimerDue event at or after its time. Every attempt must end in exactly one AttemptDone event. All times and
// durations are in microseconds.
//
// This file holds the interface only; every decision is made in balancer.go.
package topazfall

import (
	"fmt"
	"math"
	"slices"
)

// RepeatRule says whether a job may be sent again after an attempt that may have run.
type RepeatRule int

// The repeat rules of a class, from the least to the most strict.
const (
	Safe   RepeatRule = iota // idempotent: may be repeated freely
	Keyed                    // deduplicated: a group of workers drops repeats within a window of time
	Unsafe                   // must never run twice
)

// Group is the set of workers that drops the repeats of a keyed job.
type Group int

// The groups of a keyed class: all workers, or those of the first worker's zone or cell.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of jobs. Its field names are part of the handover format.
type Class struct {
	Name      string
	Deadline  int64   // how long a client waits in total
	Aim       int64   // an answer within Aim plus Stretch times the work of its job has its full worth
	Stretch   float64 // see Aim
	Worth     float64 // the value of one job, or of one unit of work
	LateWorth float64 // the share of Worth that an answer between the aim and the deadline keeps
	Repeat    RepeatRule
	Group     Group  // for keyed classes
	Window    int64  // for keyed classes: how long repeats are dropped, counted from the first send
	Kind      string // the only kind of worker that can run the class; empty for any
	Priority  int
}

// Tightened returns the class of a request in progress when its class has a newer definition: it stays as it is, but a
// stricter repeat rule applies.
func (c Class) Tightened(newer Class) Class {
	if newer.Repeat > c.Repeat {
		c.Repeat, c.Group, c.Window = newer.Repeat, newer.Group, newer.Window
	}
	return c
}

// Tenant is one of the parties that share the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // rate limit in jobs a second, across all dispatchers
}

// Contract holds the limits that the service sets for a dispatcher: for final answers, for sends to workers that drain
// or were removed, for queries of the worker list, and for the load of workers that have just started.
type Contract struct {
	AnswerSlack  int64   // how long after the client's deadline a final answer is still accepted
	DrainGrace   int64   // sends to a draining or removed worker must stop within this time
	AskEvery     int64   // the maximum time between two queries where the worker list must be queried
	ColdFrom     float64 // the minimum share of its capacity that a worker has when it starts
	RampTime     int64   // the slow start: after this time a worker has its full capacity
	FallMultiple float64 // a cold worker collapses if it is sent this multiple of its present capacity
	FallTime     int64   // for this long; see FallMultiple
}

// Allowed holds the features that the deployment permits, and their limits.
type Allowed struct {
	Cancel         bool // CancelAttempt
	Probe          bool // ProbeWorker
	PeerMessages   bool
	HedgedRequests bool // two attempts of one job at the same time
	RetryAfter     bool // a refusal may advise when to retry
	MaxRetryAfter  int64
	Attempts       int // the maximum number of attempts of one job
	DialTimeout    int64
}

// Settings holds the configuration of a balancer.
type Settings struct {
	Seed          uint64
	Me            int // the index of this dispatcher among Dispatchers, from 0
	Dispatchers   int
	Zone          string
	Zones         []string
	Kinds         []string
	Classes       []Class
	Tenants       []Tenant
	Contract      Contract
	Allowed       Allowed
	Tick          int64 // the minimum time between two deliveries of events
	LoadReports   ReportSource
	ReportsStart  bool    // workers report when a job starts
	Progress      int64   // the interval of progress notes from workers; 0 for none
	LiveWeights   bool    // a worker's weight is its size divided by 1 + its jobs per core
	ListOnRequest bool    // the worker list arrives only after WatchList or FetchList
	CrossZone     float64 // the share of the worth that is lost by sending to another zone
	OverShare     float64 // the share of the worth that jobs beyond a tenant's quota keep
}

// ReportSource says in which messages load reports arrive.
type ReportSource int

// The sources of load reports: none, the answers to jobs, or the answers to probes.
const (
	ReportsNever ReportSource = iota
	ReportsInAnswers
	ReportsInProbes
)

// WorkerState is the state of a worker in the list.
type WorkerState int

// The states of a worker in the list.
const (
	Ready WorkerState = iota
	Draining
	Gone
)

// Worker is one entry of the list of workers. Its field names are part of the handover format.
type Worker struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int
	State     WorkerState
	Weight    float64
	StartedAt int64 // clock time of the start; 0 if that is long ago
}

// Load is a worker's load report. A value that was not reported is negative.
type Load struct {
	Queue, Inflight, Free, Util float64
}

// NoLoad is a load report without values.
var NoLoad = Load{-1, -1, -1, -1}

// Outcome says how an attempt ended.
type Outcome int

// The outcomes of an attempt. NotRun says which of them prove that the job never ran.
const (
	Completed         Outcome = iota
	Errored                   // the worker answered with an error
	Saturated                 // the worker was overloaded and rejected the job unprocessed
	TimedOut                  // no answer in time
	ConnectionRefused         // no connection could be opened
	ConnectionLost            // the connection was lost
	Cancelled                 // cancelled by the dispatcher
	NeverSent                 // the attempt was dropped before it was sent
	Unusable                  // the worker answered that the job itself is invalid
	ProbeFailed               // for probes only: any outcome but Completed
	outcomeCount      = int(ProbeFailed) + 1
)

// NotRun reports whether the outcome proves that the job never ran.
func (o Outcome) NotRun() bool { return o == Saturated || o == ConnectionRefused || o == NeverSent }

// EventKind is the kind of an event.
type EventKind int

// The kinds of events, with the fields of Event that each one uses.
const (
	Arrival       EventKind = iota // Request, Class, OwnClass, Tenant, Due, Hint, Key, Slots, Retry
	AttemptDone                    // Request, Attempt, Worker, Outcome, Elapsed, Final, Load
	JobStarted                     // Request, Attempt, Worker
	JobProgress                    // Request, Attempt, Worker, Amount
	StreamStarted                  // Request, Attempt, Worker, Elapsed
	ClientGone                     // Request
	ProbeDone                      // Worker, Outcome, Elapsed, Load
	TimerDue                       // Token
	ListPatch                      // List: the changed entries
	ListSnapshot                   // List: all entries
	ListRestored                   // List: all entries as they were stored before a restart
	ListFailed                     // a query of the list failed or the watch was interrupted
	PeerMessage                    // From, Data
	HandedOver                     // Request: another process continues it
	Resumed                        // as Arrival, and Tries: a request that another process began
	// Settings: they passed Check, and their Classes and Tenants begin with the earlier ones
	NewSettings
	Replaced // Amount: 1 when a successor process begins to take the new jobs, 0 when it has stopped
	// Amount: 1 when the successor begins to continue the requests in progress, 0 when it has stopped. A request
	// without an outstanding attempt is held for it.
	Leaving
)

// Event is something that happened at the dispatcher. The balancer keeps no reference to it or its list.
type Event struct {
	Kind    EventKind
	Request uint64
	Attempt int
	Worker  string
	Class   int // index into Settings.Classes
	// OwnClass is the request's class if that may differ from the one in Settings, else nil. Class is then its index by
	// name.
	OwnClass *Class
	Tenant   int    // index into Settings.Tenants, or -1
	Due      int64  // clock time at which the client gives up
	Hint     int64  // expected work on a standard core; 0 if not known
	Key      uint64 // identifies the data that the job needs; a worker keeps the data of a few keys; 0 for none
	Slots    float64
	Retry    bool // the client has sent the request before
	Outcome  Outcome
	Elapsed  int64
	Final    bool // the request has its final answer
	Amount   float64
	Load     Load
	Token    uint64
	List     []Worker
	From     int
	Data     []byte
	Tries    []Try

	Settings *Settings
}

// Try is the state of one attempt of a request that is handed over to another balancer. Its field names are
// part of the handover format: Heard is the time of the last progress note, and Recalled says that the attempt
// was cancelled.
type Try struct {
	Worker                           string
	Sent, Started, Heard             int64
	Done, NotRun, Recalled, Unusable bool
}

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of actions, with the fields of Action that each one uses.
const (
	Send          ActionKind = iota // Request, Worker, After: the timeout, 0 for the client's deadline
	Refuse                          // Request, After: the advised backoff, 0 for none, Reason
	Fail                            // Request, Reason
	CancelAttempt                   // Request, Attempt
	SetTimer                        // After, Token, Request: the timer is not needed once it has ended; 0 for none
	ProbeWorker                     // Worker
	WatchList                       // no fields
	FetchList                       // no fields
	SendToPeer                      // Peer, Data: up to 256 bytes
	Log                             // Text
)

// AllPeers is the value of Peer for every other dispatcher.
const AllPeers = -1

// Action is something that the dispatcher has to do.
type Action struct {
	Kind    ActionKind
	Request uint64
	Worker  string
	Attempt int
	After   int64
	Reason  RejectReason
	Token   uint64
	Peer    int // index of a dispatcher, or AllPeers
	Data    []byte
	Text    string
}

// MergeClasses returns old with the classes that updated also has replaced, and the others of updated appended. An
// index therefore always means the same class. Only the classes in updated are in use.
func MergeClasses(old, updated []Class) []Class {
	return mergeByName(slices.Clone(old), updated, func(c Class) string { return c.Name })
}

// MergeTenants does the same for tenants. A tenant that is not in updated loses its quota and is no longer limited.
// Its requests in progress stay assigned to it.
func MergeTenants(old, updated []Tenant) (all []Tenant) {
	for _, t := range old {
		all = append(all, Tenant{Name: t.Name})
	}
	return mergeByName(all, updated, func(t Tenant) string { return t.Name })
}

// mergeByName replaces the elements of all that have the name of an updated one and appends the others.
func mergeByName[T any](all, updated []T, name func(T) string) []T {
	for _, v := range updated {
		if i := slices.IndexFunc(all, func(other T) bool { return name(other) == name(v) }); i >= 0 {
			all[i] = v
		} else {
			all = append(all, v)
		}
	}
	return all
}

// Check returns an error that names the first invalid setting and its value, or nil.
func (s *Settings) Check() error {
	type field struct {
		name  string
		value float64
		valid bool
	}
	checkFields := func(fields ...field) error {
		for _, f := range fields {
			if !f.valid || math.IsNaN(f.value) || math.IsInf(f.value, 0) {
				return fmt.Errorf("topazfall: settings: %s is %v, missing or out of range", f.name, f.value)
			}
		}
		return nil
	}
	atLeast := func(name string, value, minimum float64) field { return field{name, value, value >= minimum} }
	fraction := func(name string, value float64) field { return field{name, value, value >= 0 && value <= 1} }
	c, a := &s.Contract, &s.Allowed
	if err := checkFields(atLeast("Dispatchers", float64(s.Dispatchers), 1), atLeast("Me", float64(s.Me), 0),
		atLeast("Classes", float64(len(s.Classes)), 1), atLeast("Allowed.Attempts", float64(a.Attempts), 1),
		atLeast("Allowed.MaxRetryAfter", float64(a.MaxRetryAfter), 0),
		atLeast("Allowed.DialTimeout", float64(a.DialTimeout), 0),
		atLeast("Tick", float64(s.Tick), 0), atLeast("Progress", float64(s.Progress), 0),
		atLeast("CrossZone", s.CrossZone, 0),
		fraction("OverShare", s.OverShare), atLeast("Contract.AnswerSlack", float64(c.AnswerSlack), 0),
		atLeast("Contract.DrainGrace", float64(c.DrainGrace), 0), atLeast("Contract.AskEvery", float64(c.AskEvery), 0),
		atLeast("Contract.RampTime", float64(c.RampTime), 0), atLeast("Contract.FallTime", float64(c.FallTime), 0),
		atLeast("Contract.FallMultiple", c.FallMultiple, 0), fraction("Contract.ColdFrom", c.ColdFrom)); err != nil {
		return err
	}
	for i, class := range s.Classes {
		name := fmt.Sprintf("Classes[%d] (%q): ", i, class.Name)
		if err := checkFields(atLeast(name+"deadline", float64(class.Deadline), 1),
			atLeast(name+"aim", float64(class.Aim), 0), atLeast(name+"stretch", class.Stretch, 0),
			fraction(name+"late worth", class.LateWorth), atLeast(name+"worth", class.Worth, 0),
			atLeast(name+"window", float64(class.Window), 0),
			field{name + "aim and stretch", 0, class.Aim > 0 || class.Stretch > 0}); err != nil {
			return err
		}
		if slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == class.Name }) && class.Name != "" {
			return fmt.Errorf("topazfall: settings: Classes[%d] has the same name %q as another class", i, class.Name)
		}
	}
	for i, t := range s.Tenants {
		name := fmt.Sprintf("Tenants[%d] (%q): ", i, t.Name)
		if err := checkFields(atLeast(name+"quota", t.Quota, 0), atLeast(name+"share", t.Share, 0)); err != nil {
			return err
		}
	}
	return nil
}
