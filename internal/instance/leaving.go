package instance

import (
	"time"

	"topazfall"
	"topazfall/internal/decide/refresh"
	"topazfall/internal/frontend"
)

const (
	acceptPeriod     = 600 * time.Millisecond // new connections arrive for up to 0.4 s after SIGTERM
	settleTime       = 50 * time.Millisecond  // for requests that were being read when admission stopped
	idleHandoverTime = time.Second            // for the handover of idle connections

	deadlineMargin    = 500 * time.Millisecond // beyond the longest deadline; a leaving process is killed after that
	leavePollInterval = 5 * time.Millisecond   // between two checks of the progress

	// SIGKILL comes no sooner after SIGTERM than the longest deadline, of which maxKillWait counts at most, and
	// killMargin.
	maxKillWait = 3 * time.Second
	killMargin  = 700 * time.Millisecond
	// unansweredLead before SIGKILL, attempts that a worker has left unanswered for unansweredAge are cancelled, and
	// lastCancelLead before it all others: a message with such an attempt can be neither handed over nor answered.
	unansweredLead = 500 * time.Millisecond
	unansweredAge  = time.Second
	lastCancelLead = 300 * time.Millisecond // a process may be held up for half of that
	cancelInterval = 50 * time.Millisecond  // between two rounds of cancelling
)

// leaving is the progress of a process that has received a signal to end.
type leaving struct {
	*handover
	startedAt   time.Time
	handingOver bool          // connections are handed over to the successor
	stopped     bool          // no messages are admitted any more
	cancelledAt time.Duration // since startedAt: when unanswered attempts were last cancelled; 0 if they were not
}

// leave stops admitting messages and returns when all admitted ones have their answer.
//
// Without a successor, all messages are served for acceptPeriod, while clients can still be routed here. Later messages
// are refused, because the SIGKILL that follows could cut them off and lose them. Messages in flight are finished.
// Their callbacks need the listener, which therefore stays open to the end. With a successor, no message is admitted
// unless its request had begun to arrive.
func (h *handover) leave() {
	l := &leaving{handover: h, handingOver: h.startHandover()}
	// Not with a successor: in a drain each answer closes its connection, which the successor could continue.
	if !l.handingOver {
		h.server.StartDrain()
	}
	l.startedAt = time.Now()
	for {
		since := time.Since(l.startedAt)
		predecessor, successor := h.linkState()
		l.advance(since, successor)
		if l.isDone(since, predecessor) {
			l.reportIDs()
			return
		}
		time.Sleep(leavePollInterval)
	}
}

// advance takes the steps that are due at this time since the signal. successor is true if a successor accepts
// connections.
func (l *leaving) advance(since time.Duration, successor bool) {
	switch {
	case !l.handingOver && successor:
		l.handingOver = l.startHandover()
	case l.handingOver && !successor:
		l.stopHandover()
		l.handingOver = false
	case l.handingOver && l.isCancelDue(since):
		l.cancelledAt = since
		l.core.CancelUnanswered(l.cancelAge(since).Microseconds())
	case !l.handingOver && !l.stopped && since > acceptPeriod:
		l.server.StopAdmitting()
		l.stopped = true
	}
}

// isCancelDue reports whether it is time to cancel attempts that no worker has answered. It is time again and again, as
// further attempts may be made until the end, as copies beside others.
func (l *leaving) isCancelDue(since time.Duration) bool {
	return since > l.killDelay()-unansweredLead && since > l.cancelledAt+cancelInterval
}

// cancelAge returns the age from which on unanswered attempts are cancelled at this time since the signal.
func (l *leaving) cancelAge(since time.Duration) time.Duration {
	if since > l.killDelay()-lastCancelLead {
		return 0
	}
	return unansweredAge
}

// isDone reports whether this process is no longer needed or its time has run out. predecessor is true if this
// process's predecessor is still running.
func (l *leaving) isDone(since time.Duration, predecessor bool) bool {
	pastDeadline := since > l.longestWait()+deadlineMargin
	// A predecessor may hang, so it is waited for no longer than clients are.
	idle := l.core.InFlight() == 0 && !l.transport.HasPendingCancels() && (!predecessor || pastDeadline)
	if !l.handingOver {
		return l.stopped && idle && since > acceptPeriod+settleTime
	}
	// The handover of idle connections takes a moment. A connection that is still here at the end would be closed.
	allHandedOver := l.server.OpenConns() == 0 || l.server.BusyConns() == 0 && since > idleHandoverTime
	return pastDeadline || idle && allHandedOver && l.isWatchPassed(since)
}

// isWatchPassed reports whether the successor has the watch of discovery, or whether this process has waited for that
// long enough. The successor then opens a watch of its own, which discovery has less room for.
func (l *leaving) isWatchPassed(since time.Duration) bool {
	if since > refresh.MaxPassTimeout {
		return true
	}
	select {
	case <-l.watch.Passed():
	default:
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successorUpdates.isSent()
}

// startHandover starts to hand client connections over to the successor if it accepts connections, and reports whether
// it does.
func (h *handover) startHandover() bool {
	h.mu.Lock()
	link, ready := h.successor, h.successorReady
	h.mu.Unlock()
	if !ready {
		return false
	}
	h.reportIDs()
	h.core.SetLeaving(true)
	h.watch.SetLeaving()
	h.server.StartHandover(func(conn frontend.HandoverConn) error {
		return link.Send(frameConnection, encode(handoverConnection{conn.Proven, conn.Client, conn.More, conn.Begun}),
			conn.Conn)
	})
	return true
}

// stopHandover ends the handover, because there is no successor any more. The connections and messages that are left
// stay here.
func (h *handover) stopHandover() {
	h.server.StopHandover()
	h.core.SetLeaving(false)
}

// reportIDs informs the successor, if there is one, of the ids that it does not know yet.
func (h *handover) reportIDs() {
	h.mu.Lock()
	ids, ready := h.ids, h.successorReady
	h.mu.Unlock()
	if ready {
		ids.report()
	}
}

// recordDeadlines updates the longest wait of clients for new settings: the longest deadline of any class so far, and
// at least 3 s, as a process has that time before it is killed in any case.
func (h *handover) recordDeadlines(settings *topazfall.Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.maxWait = max(h.maxWait, 3*time.Second)
	h.longestDeadline = 0
	for _, c := range settings.Classes {
		h.longestDeadline = max(h.longestDeadline, time.Duration(c.Deadline)*time.Microsecond)
	}
	h.maxWait = max(h.maxWait, h.longestDeadline)
}

// killDelay returns the time from SIGTERM to the earliest SIGKILL.
func (h *handover) killDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(h.longestDeadline, maxKillWait) + killMargin
}

func (h *handover) longestWait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.maxWait
}

// linkState reports whether the predecessor is still running, and whether the successor accepts connections.
func (h *handover) linkState() (predecessor, successor bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.predecessor != nil, h.successorReady
}
