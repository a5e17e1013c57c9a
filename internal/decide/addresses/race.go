package addresses

import "slices"

// Race finds a connection for one relay, which is one attempt to send a request to a worker. It opens connections to
// several addresses and uses exactly one of them (Happy Eyeballs, RFC 8305). While the first address is good there is
// no actual race: the next connect attempt starts only when the first fails or exceeds the attempt delay.
type Race struct {
	set            *Set
	once           bool
	deadline       int64            // when it must have found a connection
	queue          []*addressStatus // addresses that are still to be tried
	attempts       []*connectAttempt
	nextAt         int64 // when the next connect attempt may start
	triedBackoff   bool  // an address in backoff was tried
	winner         *connectAttempt
	over           bool
	winnerReturned bool           // Step has returned the winner
	trialTarget    *addressStatus // address that this request may test, or nil
}

// connectAttempt is one attempt to connect to an address.
type connectAttempt struct {
	status  *addressStatus
	start   int64
	pending bool
	late    bool // it has exceeded its attempt delay
	isTrial bool // the request of this race tests the address
	spare   bool // the connection came up and is not used
}

// Action is what the caller of a race must do next.
type Action uint8

// The actions.
const (
	Wait   Action = iota // until Step.Until or the next event
	Open                 // take a kept connection to Step.Address or open one, then call Opened or Failed
	Use                  // write the request to the connection to Step.Address, or call Failed if nothing was written
	GiveUp               // no connection can be found
)

// Step is an action and its arguments.
type Step struct {
	Action  Action
	Address Address
	Until   int64
}

// NewRace starts a race for a request, which must find a connection by the deadline. If once is set the request must
// not run twice.
func (s *Set) NewRace(now, deadline int64, once bool) *Race {
	r := &Race{set: s, once: once, deadline: deadline, queue: s.ranked(now, once)}
	if !once {
		if r.trialTarget = s.messageTrial(now); r.trialTarget != nil {
			r.queue = append([]*addressStatus{r.trialTarget}, r.queue...)
		}
	}
	return r
}

// Step returns the next action. The caller calls it again after each Open and after each event until it returns Use or
// GiveUp.
func (r *Race) Step(now int64) Step {
	switch {
	case r.over:
		return Step{Action: GiveUp}
	case r.winner != nil:
		if r.winnerReturned {
			return Step{Action: Wait, Until: r.deadline}
		}
		r.winnerReturned = true
		return Step{Action: Use, Address: r.winner.status.Address}
	case now >= r.deadline:
		r.over = true
		return Step{Action: GiveUp}
	}
	if n := len(r.attempts); n > 0 && r.attempts[n-1].pending {
		last := r.attempts[n-1]
		if now < r.nextAt {
			return Step{Action: Wait, Until: min(r.nextAt, r.deadline)}
		}
		if !last.late {
			last.late = true
			last.status.lateConnects++
		}
	}
	if status := r.nextCandidate(now); status != nil {
		attempt := &connectAttempt{status: status, start: now, pending: true,
			isTrial: status == r.trialTarget && !status.inTrial}
		status.inTrial = status.inTrial || attempt.isTrial
		r.attempts = append(r.attempts, attempt)
		r.nextAt = now + r.set.attemptDelay(status, r.deadline-now, r.remaining(now))
		return Step{Action: Open, Address: status.Address}
	}
	for _, attempt := range r.attempts {
		if attempt.pending {
			return Step{Action: Wait, Until: r.deadline}
		}
	}
	r.over = true
	return Step{Action: GiveUp}
}

// nextCandidate takes the next address from the queue. A race tries at most one address in backoff, the one whose
// backoff ends first: that is better than none, but if each request tried all of them there would be no backoff.
func (r *Race) nextCandidate(now int64) *addressStatus {
	for len(r.queue) > 0 {
		status := r.queue[0]
		r.queue = r.queue[1:]
		if r.find(status.Address) != nil || r.set.find(status.Address) != status || status.isBarred(r.once) {
			continue
		}
		if status.backoffUntil > now {
			if r.triedBackoff {
				continue
			}
			r.triedBackoff = true
		}
		return status
	}
	return nil
}

// remaining returns how many more addresses may be tried.
func (r *Race) remaining(now int64) (n int) {
	triedBackoff := r.triedBackoff
	for _, status := range r.queue {
		if r.find(status.Address) == nil && (status.backoffUntil <= now || !triedBackoff) {
			triedBackoff = triedBackoff || status.backoffUntil > now
			n++
		}
	}
	return n
}

func (r *Race) find(a Address) *connectAttempt {
	for _, attempt := range r.attempts {
		if attempt.status.Address == a {
			return attempt
		}
	}
	return nil
}

// end ends the pending attempt to connect to an address, nil if there is none.
func (r *Race) end(a Address) *connectAttempt {
	attempt := r.find(a)
	if attempt == nil || !attempt.pending {
		return nil
	}
	attempt.pending = false
	if attempt.late {
		attempt.status.lateConnects--
	}
	return attempt
}

// Opened records that a connection is up: a kept one, or a new one with its connect time. It reports whether the
// connection is the winner, which the next Step returns; if not, this race must not write to it.
func (r *Race) Opened(now int64, a Address, connectTime int64, kept bool) (first bool) {
	attempt := r.end(a)
	if attempt == nil {
		return false
	}
	if !kept {
		attempt.status.connected(now, connectTime)
	}
	if r.over || r.winner != nil || r.set.find(a) != attempt.status || attempt.status.isBarred(r.once) {
		attempt.spare = true
		attempt.cancelTrial()
		return false
	}
	r.winner = attempt
	return true
}

// Failed records that a connection did not come up or, for the winner, that nothing was written to it. The race then
// continues.
func (r *Race) Failed(now int64, a Address, failure Failure) {
	attempt := r.end(a)
	if attempt == nil {
		if attempt = r.winner; attempt == nil || attempt.status.Address != a {
			return
		}
		r.winner, r.winnerReturned = nil, false
		r.requeueSpares()
	}
	attempt.cancelTrial()
	r.set.recordFailure(attempt.status, now, attempt.start, failure)
}

// requeueSpares puts the addresses whose connections came up without being needed at the front of the queue.
func (r *Race) requeueSpares() {
	var spare []*addressStatus
	r.attempts = slices.DeleteFunc(r.attempts, func(attempt *connectAttempt) bool {
		if attempt.spare {
			spare = append(spare, attempt.status)
		}
		return attempt.spare
	})
	r.queue = append(spare, r.queue...)
}

// cancelTrial ends the test of an address without a result.
func (a *connectAttempt) cancelTrial() {
	if a.isTrial {
		a.status.inTrial, a.isTrial = false, false
	}
}

// Finish ends a race whose connection was used. It must be called after the outcome was recorded; if there is none, as
// when the request was cancelled without an answer, it ends the test of the address.
func (r *Race) Finish() {
	if r.winner != nil {
		r.winner.cancelTrial()
	}
}
