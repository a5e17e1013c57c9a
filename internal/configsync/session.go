package configsync

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"topazfall/internal/configsync/syncpb"
	"topazfall/internal/decide/configlog"
)

// pendingApply is a change whose outcome is not known yet.
type pendingApply struct {
	base    uint64
	entries map[string][]byte
	answer  chan configlog.Result // has one place
}

// session is the time between two starts from what is saved. All its fields are of the goroutine that runs loop.
type session struct {
	*Sync
	context  context.Context
	node     *configlog.Node
	outgoing map[configlog.NodeID]*outgoing
	applies  map[uint64]pendingApply
	wait     sync.WaitGroup // of the connections
	fault    error          // of the disk: nothing may leave any more
	voting   bool           // as last said
}

// loop owns the log until the end, or a fault of the disk, which it returns.
func (r *session) loop() error {
	defer r.abandon()
	if r.node.Document().Revision().Number > 0 {
		r.enforcer.enforce(r.node.Document())
	}
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for r.fault == nil {
		select {
		case <-r.context.Done():
			return nil
		case event := <-r.events:
			event(r)
		case <-ticker.C:
			r.carryOut(r.node.Tick(r.now()))
			r.note()
		}
	}
	return r.fault
}

// abandon answers whoever waits: what was begun may be saved somewhere, or not.
func (r *session) abandon() {
	for id := range r.applies {
		r.answer(configlog.Result{ID: id, Outcome: configlog.Unknown})
	}
}

func (r *session) answer(result configlog.Result) {
	if apply, ok := r.applies[result.ID]; ok {
		delete(r.applies, result.ID)
		apply.answer <- result
	}
}

// settle answers the changes whose outcome shows in the revision that has come into force, also where the answer of the
// one who led was lost.
func (r *session) settle() {
	d := r.node.Document()
	for id, apply := range r.applies {
		if d.Revision().Number != apply.base+1 {
			continue
		}
		outcome := configlog.Stale
		if len(d.ChangeTo(apply.entries)) == 0 {
			outcome = configlog.Committed
		}
		r.answer(configlog.Result{ID: id, Outcome: outcome, Revision: d.Revision()})
	}
}

// handle gives a message of another instance to the log, or drops it where too many wait.
func (r *session) handle(m configlog.Message) {
	select {
	case r.events <- func(now *session) { now.carryOut(now.node.Handle(now.now(), m)) }:
	default:
		r.counts.drop(ReasonBusy, 1, "from", m.From)
	}
}

// carryOut does what the log asks for: it saves, and only then has the document brought into force, sends and reports.
// After a fault of the disk nothing that is not saved may be seen by anybody.
func (r *session) carryOut(e configlog.Effects) {
	if r.fault != nil {
		return
	}
	changed := e.Replaced || len(e.Deltas) > 0
	if changed {
		r.fault = r.storage.saveDocument(r.node.Document())
	}
	if e.SaveVote && r.fault == nil {
		r.fault = r.storage.saveVote(r.node.Vote())
	}
	if r.fault != nil {
		return
	}
	if changed {
		r.enforcer.enforce(r.node.Document())
		r.settle()
	}
	for _, m := range e.Messages {
		r.send(m)
	}
	for _, result := range e.Results {
		r.answer(result)
	}
}

func (r *session) send(m configlog.Message) {
	to, ok := r.outgoing[m.To]
	if !ok {
		var err error
		if to, err = r.open(m.To); err != nil {
			slog.Error("configsync", "to", m.To, "error", err)
			return
		}
	}
	frame, err := encodeFrame(&syncpb.Frame{Content: &syncpb.Frame_Log{Log: configlog.AppendBody(nil, m.Body)}})
	if err != nil {
		r.counts.drop(ReasonSize, 1, "to", m.To, "error", err)
		return
	}
	to.send(frame)
}

// open makes the queue for an instance; a connection follows when there is something in it.
func (r *session) open(name configlog.NodeID) (*outgoing, error) {
	m, ok := r.members[string(name)]
	if !ok {
		return nil, fmt.Errorf("%w: %.64q is not on it", ErrInvalidRoster, name)
	}
	hello, err := r.hello(m.Name)
	if err != nil {
		return nil, err
	}
	o := newOutgoing(m, hello, r.counts)
	r.outgoing[name] = o
	r.wait.Go(func() { o.run(r.context) })
	return o, nil
}

// note brings the figures up to date.
func (r *session) note() {
	now := r.now()
	s := r.node.Status(now)
	r.counts.newest.Store(s.Newest.Number)
	r.counts.silent.Store(silence(now, s))
	if s.CanVote != r.voting {
		r.voting = s.CanVote
		slog.Info("configsync", "state", "voting", "name", r.me.Name)
	}
}

// silence is how long ago the leader was last heard of, in microseconds; negative for never.
func silence(now int64, s configlog.Status) int64 {
	if s.LeaderHeardAt == 0 {
		return -1
	}
	return max(now-s.LeaderHeardAt, 0)
}

func (r *session) status() *syncpb.StatusReply {
	now := r.now()
	s := r.node.Status(now)
	inForce, fault := r.enforcer.state()
	reply := &syncpb.StatusReply{Name: r.me.Name, Voting: s.CanVote, Revision: inForce.Number, Fault: fault,
		SinceUs: r.counts.since.Load(), Newest: s.Newest.Number, SilentUs: silence(now, s), Leader: string(s.Leader)}
	if inForce.Number > 0 {
		reply.Epoch = inForce.Epoch.String()
	}
	if r.IsOrigin() && !s.CanVote {
		reply.Fault = "it does not vote: it has forgotten, and not all other origins have told it what they know"
	}
	for _, source := range s.Sources {
		reply.Sources = append(reply.Sources, string(source))
	}
	return reply
}
