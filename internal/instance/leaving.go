package instance

import (
	"time"

	"topazfall"
	"topazfall/internal/frontend"
)

const (
	acceptPeriod     = 600 * time.Millisecond // new connections arrive for up to 0.4 s after SIGTERM
	settleTime       = 50 * time.Millisecond  // for requests that were being read when admission stopped
	idleHandoverTime = time.Second            // for the handover of idle connections
	// unansweredTimeout is the time for workers to answer attempts after SIGTERM. SIGKILL may come after 3.7 s.
	unansweredTimeout = 3200 * time.Millisecond
	deadlineMargin    = 500 * time.Millisecond // beyond the longest deadline; a leaving process is killed after that
	leavePollInterval = 5 * time.Millisecond   // between two checks of the progress
)

// leaving is the progress of a process that has received a signal to end.
type leaving struct {
	*handover
	startedAt   time.Time
	handingOver bool // connections are handed over to the successor
	stopped     bool // no messages are admitted any more
	cancelled   bool // attempts that no worker has answered have been cancelled
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
		l.handingOver = false
	case l.handingOver && !l.cancelled && since > unansweredTimeout:
		l.cancelled = true
		l.core.CancelUnanswered(time.Second.Microseconds()) // a message with such an attempt cannot be handed over
	case !l.handingOver && !l.stopped && since > acceptPeriod:
		l.server.StopAdmitting()
		l.stopped = true
	}
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
	return pastDeadline || idle && allHandedOver
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
	h.server.StartHandover(func(conn frontend.HandoverConn) error {
		return link.Send(frameConnection, encode(handoverConnection{conn.Proven, conn.Client, conn.More, conn.Begun}),
			conn.Conn)
	})
	return true
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
	for _, c := range settings.Classes {
		h.maxWait = max(h.maxWait, time.Duration(c.Deadline)*time.Microsecond)
	}
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
