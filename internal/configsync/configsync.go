// Package configsync keeps the settings of all instances of an installation the same: it is the I/O round
// internal/decide/configlog. It carries the log's messages between the instances on a roster, keeps what an
// instance must not forget, and brings each committed revision into force.
//
// For each instance that this one has something to say to there is one connection, which is made when it is needed and
// carries messages one way. Frames are bounded and checked whole; what is not as it should be is dropped and counted.
// Nothing is encrypted or signed: connections stay on the machine or in a network that the roster calls trusted.
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
	tickPeriod  = configlog.MaxTickInterval * time.Microsecond / 2
	eventsMost  = 256             // that wait for the goroutine that owns the log: 16 MB of messages at most
	againTime   = 5 * time.Second // after a fault of the disk or the address
	applySlack  = time.Second     // beyond the log's own limit for an Apply
	spareLinks  = 16              // for status requests and substitutes
	statusAsked = 16              // instances that are asked at a time

	spareDescriptors = 4 // of the listener, and of a file that is saved, its folder and the one before
)

// Target is where committed revisions come into force. Take is called from one goroutine, each time with a newer
// one than before: not with all of them where they follow each other faster than it returns, and again with the
// same after a restart or an error. It returns since when the revision is in force here, or why it cannot be
// brought into force.
type Target interface {
	ApplyRevision(revision configlog.Revision, entries map[string][]byte) (since time.Time, err error)
}

// Options say what an instance is started with.
type Options struct {
	Name   string // on the roster
	Roster *Roster
	State  string // folder that no other process uses
	// Bootstrap says that the installation is new: an origin whose folder is empty has forgotten nothing.
	Bootstrap bool
	Target    Target
	Timing    configlog.Timing // zero for the default
	FanOut    configlog.FanOut // zero for the default
}

// Sync is one instance's part in it.
type Sync struct {
	options  Options
	me       Member
	members  map[string]Member
	storage  storage
	enforcer *enforcer
	counts   *counts
	began    time.Time
	events   chan func(*session)
	context  context.Context
	stop     context.CancelFunc
	wait     sync.WaitGroup
	running  atomic.Bool // a session takes events
	lastID   atomic.Uint64

	mu    sync.Mutex
	fault string // why nothing is followed
}

// ErrClosed says that the instance ends.
var ErrClosed = errors.New("the instance ends")

// ErrNotRunning says that the instance does not take part now: another process of it does, or its disk or address
// cannot be used. Nothing was done.
var ErrNotRunning = errors.New("this process does not take part now")

// ErrNotOrigin says that revisions are not made here.
var ErrNotOrigin = errors.New("this instance follows")

// New checks what it is told; its errors wrap ErrRoster.
func New(o Options) (*Sync, error) {
	me, ok := o.Roster.Member(o.Name)
	if !ok {
		return nil, fmt.Errorf("%w: %.64q is not on it", ErrInvalidRoster, o.Name)
	}
	s := &Sync{options: o, me: me, members: map[string]Member{}, storage: storage{o.State}, counts: newCounts(),
		began: time.Now(), fault: "it does not take part yet: another process of this instance does",
		events: make(chan func(*session), eventsMost)}
	s.enforcer = newEnforcer(o.Target, s.counts)
	for _, m := range o.Roster.Members {
		s.members[m.Name] = m
	}
	s.lastID.Store(rand.Uint64() >> 1) // ids of an earlier start must not be taken for this one's
	s.counts.silent.Store(-1)
	s.context, s.stop = context.WithCancel(context.Background())
	return s, nil
}

// Start begins to follow, or to take part in making revisions.
func (s *Sync) Start() { s.wait.Go(s.run) }

// Close ends it and returns when nothing of it runs any more.
func (s *Sync) Close() {
	s.stop()
	s.wait.Wait()
}

// IsOrigin tells whether revisions are made here.
func (s *Sync) IsOrigin() bool { return roles[s.me.Role] == configlog.Origin }

// WriteMetrics writes the figures in the text exposition format.
func (s *Sync) WriteMetrics(w io.Writer) { s.counts.write(w) }

// run runs sessions: one lasts until the end, or until its disk fails.
func (s *Sync) run() {
	for s.context.Err() == nil {
		err := s.session()
		if s.context.Err() != nil {
			return
		}
		slog.Error("configsync", "state", "stopped", "again_in", againTime, "error", err)
		s.setFault(err.Error())
		select {
		case <-s.context.Done():
		case <-time.After(againTime):
		}
	}
}

func (s *Sync) setFault(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = text
}

func (s *Sync) nowFault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// session goes on from what is saved.
func (s *Sync) session() error {
	saved, fault, err := s.storage.load()
	if err != nil {
		return err
	}
	if fault != nil {
		slog.Error("configsync", "state", "forgotten", "error", fault)
	}
	first := s.options.Bootstrap && fault == nil && saved.Document == nil && !saved.Vote.CanVote
	if first && s.IsOrigin() {
		slog.Warn("configsync", "state", "bootstrap", "name", s.me.Name)
	}
	node, err := configlog.New(configlog.Options{Node: configlog.NodeID(s.me.Name), Roster: s.options.Roster.members(),
		Timing: s.options.Timing, FanOut: s.options.FanOut, Seed: rand.Uint64(), Incarnation: uint64(time.Now().UnixNano()),
		Bootstrap: first, OnDrop: s.counts.dropLog}, saved)
	if err != nil {
		return err
	}
	hello, err := s.hello("")
	if err != nil {
		return err
	}
	listener, err := listen(s.me.Address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(s.context)
	run := &session{Sync: s, context: ctx, node: node, outgoing: map[configlog.NodeID]*outgoing{},
		applies: map[uint64]pendingApply{}}
	in := &incoming{me: s.me, roster: s.options.Roster, members: s.members, counts: s.counts,
		listener: listener, hello: hello, most: mostConnections(s.options.Roster, s.me.Name, s.options.FanOut),
		handle: run.handle, status: s.Status, open: map[net.Conn]bool{}, from: map[string]net.Conn{}}
	s.wait.Go(func() { in.run(ctx) })
	slog.Info("configsync", "state", "started", "name", s.me.Name, "listen", s.me.Address, "role", s.role(),
		"revision", node.Document().Revision().Number)
	s.setFault("")
	run.wait.Go(func() { s.enforcer.run(ctx) })
	s.options.Bootstrap = false // what is lost from now on was there
	s.running.Store(true)
	err = run.loop()
	s.running.Store(false)
	stop()
	listener.Close()
	run.wait.Wait()
	return err
}

func (s *Sync) role() string {
	if s.me.Role == "" {
		return "follower"
	}
	return s.me.Role
}

// mostConnections is how many connections other instances may have here at a time.
func mostConnections(roster *Roster, name string, fan configlog.FanOut) int {
	if fan == (configlog.FanOut{}) {
		fan = configlog.DefaultFanOut()
	}
	t, err := configlog.NewTopology(roster.members(), fan)
	if err != nil {
		return spareLinks
	}
	return len(t.Neighbors(configlog.NodeID(name))) + fan.Subscribers + spareLinks
}

// Descriptors are those that an instance's connections need, both ways, with its listener and files.
func Descriptors(roster *Roster, name string) int {
	return 2*mostConnections(roster, name, configlog.FanOut{}) + spareDescriptors
}

// now is the log's time in microseconds; it is never 0.
func (s *Sync) now() int64 { return time.Since(s.began).Microseconds() + 1 }

// do has the goroutine that owns the log do something. Its errors are those of the context, ErrEnded and ErrNotRunning.
func (s *Sync) do(ctx context.Context, what func(*session)) error {
	if !s.running.Load() {
		return ErrNotRunning
	}
	select {
	case s.events <- what:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.context.Done():
		return ErrClosed
	}
}

// ask has that goroutine work something out, and returns it.
func ask[T any](ctx context.Context, s *Sync, what func(*session) T) (v T, err error) {
	answer := make(chan T, 1)
	if err := s.do(ctx, func(r *session) { answer <- what(r) }); err != nil {
		return v, err
	}
	select {
	case v = <-answer:
		return v, nil
	case <-ctx.Done():
		return v, ctx.Err()
	case <-s.context.Done():
		return v, ErrClosed
	}
}

// Apply makes a revision of the one in force here, with just these entries, if that has the number base and is the
// one in force at the origins. It answers when the outcome is known; no two changes may have the same entries, so
// that each is known by what it makes. Besides the log's outcomes there are ErrNotOrigin, ErrEnded and the
// context's errors.
func (s *Sync) Apply(ctx context.Context, base uint64, entries map[string][]byte) (configlog.Result, error) {
	if !s.IsOrigin() {
		return configlog.Result{}, ErrNotOrigin
	}
	answer := make(chan configlog.Result, 1)
	id := s.lastID.Add(1)
	err := s.do(ctx, func(r *session) {
		held := r.node.Document().Revision()
		if held.Number != base {
			answer <- configlog.Result{ID: id, Outcome: configlog.Stale, Revision: held}
			return
		}
		r.applies[id] = pendingApply{base, entries, answer}
		r.carryOut(r.node.Apply(s.now(), id, held, r.node.Document().ChangeTo(entries)))
	})
	if err != nil {
		return configlog.Result{}, err
	}
	defer s.do(context.WithoutCancel(ctx), func(r *session) { delete(r.applies, id) })
	limit := time.NewTimer(time.Duration(s.timing().ApplyTimeout)*time.Microsecond + applySlack)
	defer limit.Stop()
	select {
	case r := <-answer:
		return r, nil
	case <-limit.C:
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

// Status is what this instance says of itself.
func (s *Sync) Status() *syncpb.StatusReply {
	ctx, cancel := context.WithTimeout(s.context, writeTime)
	defer cancel()
	reply, err := ask(ctx, s, (*session).status)
	if err != nil {
		reply = &syncpb.StatusReply{Name: s.me.Name, Revision: s.counts.revision.Load(),
			SinceUs: s.counts.since.Load(), SilentUs: -1, Fault: err.Error()}
	}
	if fault := s.nowFault(); fault != "" {
		reply.Fault = fault
	}
	return reply
}

// InstanceStatus is what an instance has said of itself, or why it has said nothing.
type InstanceStatus struct {
	Member Member
	Status *syncpb.StatusReply // nil where Err is not
	Err    error
}

// StatusAll asks every instance on the roster, some at a time, and returns the answers in the roster's order.
func (s *Sync) StatusAll(ctx context.Context) []InstanceStatus {
	answers := make([]InstanceStatus, len(s.options.Roster.Members))
	places := make(chan struct{}, statusAsked)
	var wait sync.WaitGroup
	for i, m := range s.options.Roster.Members {
		answers[i].Member = m
		if m.Name == s.me.Name {
			answers[i].Status = s.Status()
			continue
		}
		places <- struct{}{}
		wait.Go(func() {
			defer func() { <-places }()
			answers[i].Status, answers[i].Err = s.askOne(ctx, m)
		})
	}
	wait.Wait()
	return answers
}

func (s *Sync) askOne(ctx context.Context, m Member) (*syncpb.StatusReply, error) {
	hello, err := s.hello(m.Name)
	if err != nil {
		return nil, err
	}
	return askStatus(ctx, m, hello)
}

func (s *Sync) hello(to string) ([]byte, error) {
	return encodeFrame(&syncpb.Frame{Content: &syncpb.Frame_Hello{Hello: &syncpb.Hello{
		Installation: s.options.Roster.Installation, From: s.me.Name, To: to, Region: s.me.Region}}})
}
