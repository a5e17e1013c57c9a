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
	reply   chan configlog.Result // capacity 1
}

// session runs the log from one load of the saved state until the next. Only the goroutine that runs loop uses its
// fields.
type session struct {
	*Sync
	context        context.Context
	node           *configlog.Node
	senders        map[configlog.NodeID]*sender
	pendingApplies map[uint64]pendingApply
	wg             sync.WaitGroup // waits for the connections and the applier
	diskError      error          // nothing may be sent or reported after a failed save
	wasVoting      bool           // as last logged
}

// loop owns the log and handles its events until the context ends or a save fails, which it returns as an error.
func (s *session) loop() error {
	defer s.abandonApplies()
	if s.node.Document().Revision().Number > 0 {
		s.applier.schedule(s.node.Document())
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for s.diskError == nil {
		select {
		case <-s.context.Done():
			return nil
		case event := <-s.events:
			event(s)
		case <-ticker.C:
			s.applyEffects(s.node.Tick(s.now()))
			s.updateMetrics()
		}
	}
	return s.diskError
}

// abandonApplies ends all pending changes with the outcome Unknown: another instance may have saved them.
func (s *session) abandonApplies() {
	for id := range s.pendingApplies {
		s.finishApply(configlog.Result{ID: id, Outcome: configlog.Unknown})
	}
}

// finishApply returns the outcome of a change to its caller.
func (s *session) finishApply(result configlog.Result) {
	if apply, ok := s.pendingApplies[result.ID]; ok {
		delete(s.pendingApplies, result.ID)
		apply.reply <- result
	}
}

// resolveApplies ends the pending changes whose outcome is evident from the newest document. This also covers changes
// for which the leader's reply was lost.
func (s *session) resolveApplies() {
	d := s.node.Document()
	for id, apply := range s.pendingApplies {
		if d.Revision().Number != apply.base+1 {
			continue
		}
		outcome := configlog.Stale
		if len(d.ChangeTo(apply.entries)) == 0 {
			outcome = configlog.Committed
		}
		s.finishApply(configlog.Result{ID: id, Outcome: outcome, Revision: d.Revision()})
	}
}

// handle queues a message of another instance for the log, or drops it if the queue is full.
func (s *session) handle(m configlog.Message) {
	select {
	case s.events <- func(current *session) { current.applyEffects(current.node.Handle(current.now(), m)) }:
	default:
		s.metrics.drop(ReasonOverloaded, 1, "from", m.From)
	}
}

// applyEffects executes the effects that the log requests: it saves first, and only then applies the document, sends
// messages and reports results. After a failed save, no state that is not on disk may become visible to others.
func (s *session) applyEffects(e configlog.Effects) {
	if s.diskError != nil {
		return
	}
	changed := e.Replaced || len(e.Deltas) > 0
	if changed {
		s.diskError = s.storage.saveDocument(s.node.Document())
	}
	if e.SaveVote && s.diskError == nil {
		s.diskError = s.storage.saveVote(s.node.Vote())
	}
	if s.diskError != nil {
		return
	}
	if changed {
		s.applier.schedule(s.node.Document())
		s.resolveApplies()
	}
	for _, m := range e.Messages {
		s.send(m)
	}
	for _, result := range e.Results {
		s.finishApply(result)
	}
}

func (s *session) send(m configlog.Message) {
	to, ok := s.senders[m.To]
	if !ok {
		var err error
		if to, err = s.openSender(m.To); err != nil {
			slog.Error("configsync", "to", m.To, "error", err)
			return
		}
	}
	frame, err := encodeFrame(&syncpb.Frame{Content: &syncpb.Frame_Log{Log: configlog.AppendBody(nil, m.Body)}})
	if err != nil {
		s.metrics.drop(ReasonTooLarge, 1, "to", m.To, "error", err)
		return
	}
	to.send(frame)
}

// openSender creates the sender for an instance; it connects when the first frame is queued.
func (s *session) openSender(name configlog.NodeID) (*sender, error) {
	m, ok := s.members[string(name)]
	if !ok {
		return nil, fmt.Errorf("%w: it has no member %.64q", ErrInvalidRoster, name)
	}
	hello, err := s.hello(m.Name)
	if err != nil {
		return nil, err
	}
	o := newSender(m, hello, s.metrics)
	s.senders[name] = o
	s.wg.Go(func() { o.run(s.context) })
	return o, nil
}

// updateMetrics updates the metrics from the state of the log.
func (s *session) updateMetrics() {
	now := s.now()
	status := s.node.Status(now)
	s.metrics.newestRevision.Store(status.Newest.Number)
	s.metrics.leaderSilence.Store(leaderSilence(now, status))
	if status.CanVote != s.wasVoting {
		s.wasVoting = status.CanVote
		slog.Info("configsync", "state", "voting", "name", s.self.Name)
	}
}

// leaderSilence returns the time since a leader's heartbeat last arrived, directly or in a digest, in microseconds;
// negative for never.
func leaderSilence(now int64, status configlog.Status) int64 {
	if status.LeaderHeardAt == 0 {
		return -1
	}
	return max(now-status.LeaderHeardAt, 0)
}

// status returns the status of this instance.
func (s *session) status() *syncpb.StatusReply {
	now := s.now()
	status := s.node.Status(now)
	inForce, fault := s.applier.state()
	reply := &syncpb.StatusReply{Name: s.self.Name, Voting: status.CanVote, Revision: inForce.Number, Fault: fault,
		SinceUs: s.metrics.inForceSince.Load(), Newest: status.Newest.Number, SilentUs: leaderSilence(now, status),
		Leader: string(status.Leader)}
	if inForce.Number > 0 {
		reply.Epoch = inForce.Epoch.String()
	}
	if s.IsOrigin() && !status.CanVote {
		reply.Fault = "it does not vote: it has forgotten, and not all other origins have told it what they know"
	}
	for _, source := range status.Sources {
		reply.Sources = append(reply.Sources, string(source))
	}
	return reply
}
