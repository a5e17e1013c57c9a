package instance

import (
	"time"

	"topazfall"
	"topazfall/internal/frontend"
)

const (
	lateComes = 600 * time.Millisecond  // after SIGTERM connections still come for up to 0.4 s
	settle    = 50 * time.Millisecond   // for what was being read when the taking in ended
	passTime  = time.Second             // for idle connections to be handed over
	hopeTime  = 3200 * time.Millisecond // for workers to answer attempts, after SIGTERM; the kill may come after 3.7 s
	lastCall  = 500 * time.Millisecond  // beyond the longest deadline, after which a leaving process is killed
	leaveStep = 5 * time.Millisecond    // between two looks at how far the leaving has come
)

// leaving is how far a process has come that was told to end.
type leaving struct {
	*handover
	began    time.Time
	passing  bool // connections go to the successor
	shut     bool // nothing is taken any more
	hopeless bool // attempts that no worker has answered were called off
}

// leave ends the taking in and returns when all that was taken has its answer.
//
// Without a successor all that comes is served while clients can still be sent here. What came later could be cut off
// by the kill that follows, and would be lost; so it is refused. What is in hand is finished, and as its call-backs
// need the listener, that stays open to the last. With a successor nothing is taken that had not begun to come.
func (h *handover) leave() {
	l := &leaving{handover: h, passing: h.passOn()}
	if !l.passing { // an answer between the two would end its connection, which the successor could go on with
		h.clients.Leave()
	}
	l.began = time.Now()
	for {
		since := time.Since(l.began)
		predecessor, successor := h.linked()
		l.advance(since, successor)
		if l.over(since, predecessor) {
			return
		}
		time.Sleep(leaveStep)
	}
}

// advance does what is due so long after the signal; successor tells whether there is one that accepts.
func (l *leaving) advance(since time.Duration, successor bool) {
	switch {
	case !l.passing && successor:
		l.passing = l.passOn()
	case l.passing && !successor:
		l.passing = false
	case l.passing && !l.hopeless && since > hopeTime:
		l.hopeless = true
		l.core.EndUnanswered(time.Second.Microseconds()) // a message with such an attempt cannot be handed over
	case !l.passing && !l.shut && since > lateComes:
		l.clients.Shut()
		l.shut = true
	}
}

// over tells whether nothing is left that this process is needed for, or its time is over; predecessor tells whether
// the one before it is still there.
func (l *leaving) over(since time.Duration, predecessor bool) bool {
	late := since > l.longestWait()+lastCall
	// A predecessor that hangs is not waited for any longer than clients are.
	done := l.core.InHand() == 0 && !l.workers.Busy() && (!predecessor || late)
	if !l.passing {
		return l.shut && done && since > lateComes+settle
	}
	// Idle connections go by themselves, but not in no time: one that is still here would be closed with the rest.
	passed := l.clients.Conns() == 0 || l.clients.Busy() == 0 && since > passTime
	return late || done && passed
}

// passOn hands the clients over to the successor if that accepts, and tells whether it does.
func (h *handover) passOn() bool {
	h.mu.Lock()
	l, takes := h.successor, h.successorAccepts
	h.mu.Unlock()
	if !takes {
		return false
	}
	l.Send(frameKnownIDs, encode(h.core.Legacy().Known), nil)
	h.clients.PassOn(func(k frontend.Kept) error {
		return l.Send(frameConnection, encode(keptConnection{k.Proven, k.Client, k.More, k.Begun}), k.Conn)
	})
	return true
}

// holds notes that settings hold: clients may wait as long as their classes' deadlines, at least as long as the kill
// does.
func (h *handover) holds(now *topazfall.Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.longest = max(h.longest, 3*time.Second)
	for _, c := range now.Classes {
		h.longest = max(h.longest, time.Duration(c.Deadline)*time.Microsecond)
	}
}

func (h *handover) longestWait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.longest
}

// linked tells whether the process before this one is still there, and whether the one after it accepts.
func (h *handover) linked() (predecessor, successor bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.predecessor != nil, h.successorAccepts
}
