// Package configsync replicates the settings to all instances of an installation. It does the I/O for
// internal/decide/configlog: it carries the log's messages between the instances on a roster, saves the state that an
// instance must keep across restarts, and applies each committed revision.
//
// An instance opens one connection to each instance that it has messages for, when the first message is sent. A
// connection carries log messages in one direction. Frames have a size limit and are validated as a whole; invalid
// input is dropped and counted. Nothing is encrypted or signed: connections stay on the machine or in a network that
// the roster declares as trusted.
package configsync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"topazfall/internal/configsync/syncpb"
	"topazfall/internal/decide/configlog"
)

const (
	tickInterval       = configlog.MaxTickInterval * time.Microsecond / 2
	maxPendingEvents   = 256             // queued for the goroutine that owns the log: at most 16 MB of messages
	retryInterval      = 5 * time.Second // between attempts after a disk or listen error
	applyTimeoutMargin = time.Second     // beyond the log's own timeout of an Apply
	spareConnections   = 16              // for status requests and for fallback parents
	maxStatusRequests  = 16              // status requests in flight at a time

	spareDescriptors = 4 // for the listener, and for a file being saved, its folder and its previous version
)

// Target applies committed revisions. ApplyRevision is called from one goroutine, with increasing revision numbers.
// Revisions are skipped if they are committed faster than ApplyRevision returns, and a revision is repeated after a
// restart or an error. ApplyRevision returns the time since which the revision is in effect here, or why it cannot be
// applied.
type Target interface {
	ApplyRevision(revision configlog.Revision, entries map[string][]byte) (since time.Time, err error)
}

// Options configures an instance.
type Options struct {
	Name   string // the instance's name on the roster
	Roster *Roster
	State  string // state folder, which no other process may use at the same time
	// Bootstrap is set for a new installation: an origin with an empty state folder has lost no state and may vote.
	Bootstrap bool
	Target    Target
	Timing    configlog.Timing // the zero value selects the default
	FanOut    configlog.FanOut // the zero value selects the default
}

// Sync is one instance's participant in the replication.
type Sync struct {
	options   Options
	self      Member
	members   map[string]Member
	storage   storage
	applier   *applier
	metrics   *metrics
	startedAt time.Time
	events    chan func(*session)
	context   context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	running   atomic.Bool // a session is handling events
	lastID    atomic.Uint64

	mu    sync.Mutex
	fault string // why this instance follows no revisions; "" if it does
}

// ErrClosed is returned when the instance is shutting down.
var ErrClosed = errors.New("the instance is shutting down")

// ErrNotRunning is returned while this process does not participate in the replication: another process of the
// instance does, or the disk or the listen address cannot be used. Nothing was done.
var ErrNotRunning = errors.New("this process does not participate in the replication now")

// ErrNotOrigin is returned by an instance that cannot create revisions because it is not an origin.
var ErrNotOrigin = errors.New("this instance is not an origin")

// New returns the participant for the instance that the options name; its errors wrap ErrInvalidRoster.
func New(o Options) (*Sync, error) {
	self, ok := o.Roster.Member(o.Name)
	if !ok {
		return nil, fmt.Errorf("%w: it has no member %.64q", ErrInvalidRoster, o.Name)
	}
	s := &Sync{options: o, self: self, members: map[string]Member{}, storage: storage{o.State}, metrics: newMetrics(),
		startedAt: time.Now(), fault: "it does not take part yet: another process of this instance does",
		events: make(chan func(*session), maxPendingEvents)}
	s.applier = newApplier(o.Target, s.metrics)
	for _, m := range o.Roster.Members {
		s.members[m.Name] = m
	}
	s.lastID.Store(rand.Uint64() >> 1) // so that IDs of an earlier start are not mistaken for IDs of this one
	s.metrics.leaderSilence.Store(-1)
	s.context, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Start starts following revisions and, at an origin, participating in creating them.
func (s *Sync) Start() { s.wg.Go(s.run) }

// Close stops the instance and waits until all its goroutines have ended.
func (s *Sync) Close() {
	s.cancel()
	s.wg.Wait()
}

// IsOrigin reports whether this instance can create revisions.
func (s *Sync) IsOrigin() bool { return roles[s.self.Role] == configlog.Origin }

// WriteMetrics writes the metrics in the text exposition format.
func (s *Sync) WriteMetrics(w io.Writer) { s.metrics.write(w) }

// run runs one session after another. A session lasts until the context ends or until it fails, as on a disk error.
func (s *Sync) run() {
	for s.context.Err() == nil {
		err := s.runSession()
		if s.context.Err() != nil {
			return
		}
		slog.Error("configsync", "state", "stopped", "again_in", retryInterval, "error", err)
		s.setFault(err.Error())
		select {
		case <-s.context.Done():
		case <-time.After(retryInterval):
		}
	}
}

func (s *Sync) setFault(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = text
}

func (s *Sync) currentFault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// runSession loads the saved state and runs a session with it.
func (s *Sync) runSession() error {
	saved, fault, err := s.storage.load()
	if err != nil {
		return err
	}
	if fault != nil {
		slog.Error("configsync", "state", "forgotten", "error", fault)
	}
	bootstrap := s.options.Bootstrap && fault == nil && saved.Document == nil && !saved.Vote.CanVote
	if bootstrap && s.IsOrigin() {
		slog.Warn("configsync", "state", "bootstrap", "name", s.self.Name)
	}
	node, err := configlog.New(configlog.Options{Node: configlog.NodeID(s.self.Name),
		Roster: s.options.Roster.logRoster(), Timing: s.options.Timing, FanOut: s.options.FanOut,
		Seed: rand.Uint64(), Incarnation: uint64(time.Now().UnixNano()),
		Bootstrap: bootstrap, OnDrop: s.metrics.dropLogMessage}, saved)
	if err != nil {
		return err
	}
	hello, err := s.hello("")
	if err != nil {
		return err
	}
	listener, err := listen(s.self.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(s.context)
	current := &session{Sync: s, context: ctx, node: node, senders: map[configlog.NodeID]*sender{},
		pendingApplies: map[uint64]pendingApply{}}
	incoming := &receiver{self: s.self, roster: s.options.Roster, members: s.members, metrics: s.metrics,
		listener: listener, hello: hello,
		maxConnections: maxIncomingConnections(s.options.Roster, s.self.Name, s.options.FanOut),
		handle:         current.handle, status: s.Status, open: map[net.Conn]bool{}, bySender: map[string]net.Conn{}}
	s.wg.Go(func() { incoming.run(ctx) })
	slog.Info("configsync", "state", "started", "name", s.self.Name, "listen", s.self.Address, "role", s.role(),
		"revision", node.Document().Revision().Number)
	s.setFault("")
	current.wg.Go(func() { s.applier.run(ctx) })
	s.options.Bootstrap = false // state that is lost from now on did exist
	s.running.Store(true)
	err = current.loop()
	s.running.Store(false)
	cancel()
	listener.Close()
	current.wg.Wait()
	return err
}

func (s *Sync) role() string {
	if s.self.Role == "" {
		return "follower"
	}
	return s.self.Role
}

// maxIncomingConnections returns how many connections from other instances are accepted at a time.
func maxIncomingConnections(roster *Roster, name string, fanOut configlog.FanOut) int {
	if fanOut == (configlog.FanOut{}) {
		fanOut = configlog.DefaultFanOut()
	}
	topology, err := configlog.NewTopology(roster.logRoster(), fanOut)
	if err != nil {
		return spareConnections
	}
	return len(topology.Neighbors(configlog.NodeID(name))) + fanOut.Subscribers + spareConnections
}

// Descriptors returns how many file descriptors an instance needs for its connections in both directions, its
// listener and its files.
func Descriptors(roster *Roster, name string) int {
	return 2*maxIncomingConnections(roster, name, configlog.FanOut{}) + spareDescriptors
}

// now returns the log's time in microseconds; it is never 0.
func (s *Sync) now() int64 { return time.Since(s.startedAt).Microseconds() + 1 }

// submit queues a function for the goroutine that owns the log. Its errors are those of the context, ErrClosed and
// ErrNotRunning.
func (s *Sync) submit(ctx context.Context, event func(*session)) error {
	if !s.running.Load() {
		return ErrNotRunning
	}
	select {
	case s.events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.context.Done():
		return ErrClosed
	}
}

// query runs a function in the goroutine that owns the log and returns its result.
func query[T any](ctx context.Context, s *Sync, work func(*session) T) (value T, err error) {
	reply := make(chan T, 1)
	if err := s.submit(ctx, func(r *session) { reply <- work(r) }); err != nil {
		return value, err
	}
	select {
	case value = <-reply:
		return value, nil
	case <-ctx.Done():
		return value, ctx.Err()
	case <-s.context.Done():
		return value, ErrClosed
	}
}

// Apply creates a revision that has exactly these entries. It succeeds only if the revision held here has the number
// base and is the current one at the origins (compare and set). It returns when the outcome is known. No two changes
// may have the same entries, because a committed change is recognized by its entries. Beside the outcomes of the log,
// the errors are ErrNotOrigin, ErrNotRunning, ErrClosed and those of the context.
func (s *Sync) Apply(ctx context.Context, base uint64, entries map[string][]byte) (configlog.Result, error) {
	if !s.IsOrigin() {
		return configlog.Result{}, ErrNotOrigin
	}
	reply := make(chan configlog.Result, 1)
	id := s.lastID.Add(1)
	err := s.submit(ctx, func(r *session) {
		current := r.node.Document().Revision()
		if current.Number != base {
			reply <- configlog.Result{ID: id, Outcome: configlog.Stale, Revision: current}
			return
		}
		r.pendingApplies[id] = pendingApply{base, entries, reply}
		r.applyEffects(r.node.Apply(s.now(), id, current, r.node.Document().ChangeTo(entries)))
	})
	if err != nil {
		return configlog.Result{}, err
	}
	defer s.submit(context.WithoutCancel(ctx), func(r *session) { delete(r.pendingApplies, id) })
	timeout := time.NewTimer(time.Duration(s.timing().ApplyTimeout)*time.Microsecond + applyTimeoutMargin)
	defer timeout.Stop()
	select {
	case r := <-reply:
		return r, nil
	case <-timeout.C:
		return configlog.Result{ID: id, Outcome: configlog.Unknown}, nil
	case <-ctx.Done():
		return configlog.Result{}, ctx.Err()
	case <-s.context.Done():
		return configlog.Result{}, ErrClosed
	}
}

func (s *Sync) timing() configlog.Timing {
	if s.options.Timing == (configlog.Timing{}) {
		return configlog.DefaultTiming()
	}
	return s.options.Timing
}

// Status returns the status of this instance.
func (s *Sync) Status() *syncpb.StatusReply {
	ctx, cancel := context.WithTimeout(s.context, writeTimeout)
	defer cancel()
	reply, err := query(ctx, s, (*session).status)
	if err != nil {
		reply = &syncpb.StatusReply{Name: s.self.Name, Revision: s.metrics.revision.Load(),
			SinceUs: s.metrics.inForceSince.Load(), SilentUs: -1, Fault: err.Error()}
	}
	if fault := s.currentFault(); fault != "" {
		reply.Fault = fault
	}
	return reply
}

// InstanceStatus is the status of an instance, or the reason why it could not be fetched.
type InstanceStatus struct {
	Member Member
	Status *syncpb.StatusReply // nil if Err is set
	Err    error
}

// StatusAll fetches the status of every instance on the roster, maxStatusRequests at a time, and returns the results
// in the roster's order.
func (s *Sync) StatusAll(ctx context.Context) []InstanceStatus {
	statuses := make([]InstanceStatus, len(s.options.Roster.Members))
	slots := make(chan struct{}, maxStatusRequests)
	var wg sync.WaitGroup
	for i, m := range s.options.Roster.Members {
		statuses[i].Member = m
		if m.Name == s.self.Name {
			statuses[i].Status = s.Status()
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			statuses[i].Status, statuses[i].Err = s.fetchStatus(ctx, m)
		})
	}
	wg.Wait()
	return statuses
}

// fetchStatus requests the status of another instance.
func (s *Sync) fetchStatus(ctx context.Context, m Member) (*syncpb.StatusReply, error) {
	hello, err := s.hello(m.Name)
	if err != nil {
		return nil, err
	}
	return requestStatus(ctx, m, hello)
}

// hello returns the encoded Hello frame for an instance, or, if to is empty, the one that answers any instance.
func (s *Sync) hello(to string) ([]byte, error) {
	return encodeFrame(&syncpb.Frame{Content: &syncpb.Frame_Hello{Hello: &syncpb.Hello{
		Installation: s.options.Roster.Installation, From: s.self.Name, To: to, Region: s.self.Region}}})
}
