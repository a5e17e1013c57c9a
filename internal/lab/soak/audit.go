package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"topazfall/internal/lab/client"
)

// The bounds of the operators' rules.
const (
	wireSlack            = 50 * time.Millisecond  // added to every time limit, as times are taken on sockets
	answerGrace          = 500 * time.Millisecond // after a timeout; an answer then earns nothing, a later one is lost
	departureBound       = 100 * time.Millisecond // from a client's close until no attempt may begin any more
	timeoutSlack         = 150 * time.Millisecond // by which the timeout of an attempt may exceed the time left
	errorDeadline        = 3 * time.Second        // for the error or close after a client violated the protocol
	subscribedListBound  = 6 * time.Second        // for a change to arrive where lists must be requested
	movedListBound       = 4 * time.Second        // the same after a move to another discovery address
	successorListBound   = 2 * time.Second        // the same after a successor is ready
	readyBoundP90        = 10 * time.Second       // start time of nine processes in ten
	readyBoundMax        = 30 * time.Second       // start time of every process
	lateArrivalAfterTerm = 700 * time.Millisecond // after SIGTERM; a request sent later and ended by the kill is lost
	killDetectionTime    = 500 * time.Millisecond // from a kill until clients have noticed it
)

// Rule is a rule of the operators that a run may violate.
type Rule string

// The rules.
const (
	RuleLost      Rule = "lost"      // a request without exactly one final answer in time
	RuleClosed    Rule = "closed"    // a request that was read and whose connection was closed without an answer
	RuleDuplicate Rule = "duplicate" // an attempt that the class does not allow, or while another one may be running
	RuleRefused   Rule = "refused"   // a refusal of a request that may have run and must run at most once
	RuleInvented  Rule = "invented"  // an answer that no worker sent, or an attempt for a request that no client sent
	RuleDrain     Rule = "drain"     // new work for a worker that is draining or removed
	RuleDeparted  Rule = "departed"  // an attempt for a client that has disconnected
	RuleTimeout   Rule = "timeout"   // an attempt whose timeout exceeds the time left
	RuleErrorOwed Rule = "owed"      // neither an error nor a close in time for a client that violated the protocol
	RuleCrash     Rule = "crash"     // a process that exited by itself or with an error
	RuleReady     Rule = "ready"     // a start that took too long
	RuleLeak      Rule = "leak"      // descriptors, requests or goroutines that were not released
	RuleMemory    Rule = "memory"    // a process over its memory limit
)

var allRules = []Rule{RuleLost, RuleClosed, RuleDuplicate, RuleRefused, RuleInvented, RuleDrain, RuleDeparted,
	RuleTimeout, RuleErrorOwed, RuleCrash, RuleReady, RuleLeak, RuleMemory}

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule      `json:"rule"`
	Process string    `json:"process,omitempty"`
	ID      string    `json:"id,omitempty"` // of the request
	At      time.Time `json:"at"`
	Message string    `json:"what"`
	Events  []string  `json:"around"` // events of the request, and others near that time
}

// auditor checks one history against the rules.
type auditor struct {
	*History
	requests   map[string][]Request
	attempts   map[string][]Attempt
	violations []Violation
}

// Audit returns the violations in a history, in order of time.
func Audit(h *History) []Violation {
	a := &auditor{History: h, requests: map[string][]Request{}, attempts: map[string][]Attempt{}}
	for _, r := range h.Requests {
		a.requests[r.ID] = append(a.requests[r.ID], r)
	}
	for _, t := range h.Attempts {
		a.attempts[t.ID] = append(a.attempts[t.ID], t)
	}
	for _, list := range a.attempts {
		slices.SortFunc(list, func(s, t Attempt) int { return s.FirstByteAt.Compare(t.FirstByteAt) })
	}
	for _, r := range h.Requests {
		a.checkOutcome(r)
	}
	for id, list := range a.attempts {
		a.checkRepeats(id, list)
		for _, t := range list {
			a.checkAttempt(t)
		}
	}
	a.checkProcesses()
	a.checkLeftovers()
	a.checkMemory()
	slices.SortFunc(a.violations, func(b, c Violation) int {
		return cmp.Or(b.At.Compare(c.At), cmp.Compare(b.Rule, c.Rule), cmp.Compare(b.ID, c.ID))
	})
	return a.violations
}

// addViolation records a violation and the events around it.
func (a *auditor) addViolation(rule Rule, process, id string, at time.Time, format string, values ...any) {
	a.violations = append(a.violations,
		Violation{rule, process, id, at, fmt.Sprintf(format, values...), a.eventsNear(process, id, at)})
}

// checkOutcome checks the outcome of a request.
func (a *auditor) checkOutcome(r Request) {
	if r.Behavior.ViolatesProtocol() {
		a.checkProtocolError(r)
		return
	}
	limit := r.Sent.Add(r.Timeout + answerGrace + wireSlack + a.stalledWithin(r.Sent, r.Ended))
	switch {
	case r.Outcome == client.Disconnected:
	case a.isLostToKill(r):
	case r.Outcome == client.ClosedAfterRead:
		a.addViolation(RuleClosed, r.Process, r.ID, r.Ended, "the whole request was read and its connection closed: %v",
			r.Err)
	case r.Outcome == client.TimedOut:
		a.addViolation(RuleLost, r.Process, r.ID, r.Ended, "no answer %v after it was sent, of %v", r.Ended.Sub(r.Sent),
			r.Timeout)
	case r.Outcome == client.Answered && r.Ended.After(limit):
		a.addViolation(RuleLost, r.Process, r.ID, r.Ended, "answered %v after it was sent, of %v", r.Ended.Sub(r.Sent),
			r.Timeout)
	case r.Outcome == client.Answered:
		a.checkAnswer(r)
	}
}

// checkAnswer checks the status and the body of an answer in time.
func (a *auditor) checkAnswer(r Request) {
	ran := slices.ContainsFunc(a.attempts[r.ID], func(t Attempt) bool { return t.mayHaveRun() })
	isFromWorker := slices.ContainsFunc(a.attempts[r.ID], func(t Attempt) bool { return r.Body == t.Worker+" "+r.ID })
	switch {
	case r.ExtraBytes > 0:
		a.addViolation(RuleLost, r.Process, r.ID, r.Ended, "%d bytes came behind its final answer", r.ExtraBytes)
	case r.Status == 200 && !isFromWorker:
		a.addViolation(RuleInvented, r.Process, r.ID, r.Ended, "served with %q", r.Body)
	case (r.Status == 429 || r.Status == 503) && ran && a.Terms.class(r.Class).Repeat == AtMostOnce:
		a.addViolation(RuleRefused, r.Process, r.ID, r.Ended, "refused with %d though it may have run", r.Status)
	}
}

// checkProtocolError checks that a client that violated the protocol got an error or a close in time.
func (a *auditor) checkProtocolError(r Request) {
	bound := errorDeadline
	if r.Behavior == client.TwoRequests { // the first of the two requests may be served
		bound = max(bound, r.Timeout+answerGrace)
	}
	elapsed := r.Ended.Sub(r.Sent)
	if (r.Outcome == client.TimedOut || elapsed > bound+wireSlack+a.stalledWithin(r.Sent, r.Ended)) &&
		!a.isLostToKill(r) {
		a.addViolation(RuleErrorOwed, r.Process, r.ID, r.Ended, "%v: %v after %v", r.Behavior, r.Outcome, elapsed)
	}
}

// isLostToKill reports whether a request has no answer because its process was killed, which is no violation. It
// returns false for a request that was sent more than lateArrivalAfterTerm after SIGTERM and ended by the planned kill.
// A request that was sent earlier had its full timeout before that kill.
func (a *auditor) isLostToKill(r Request) bool {
	return r.Outcome != client.Answered && slices.ContainsFunc(a.Processes, func(p ProcessRecord) bool {
		planned := !p.Terminated.IsZero() && p.Killed.After(p.Terminated)
		return p.Process == r.Process && !p.Killed.IsZero() && !p.Killed.Before(r.Started) &&
			r.Ended.Sub(p.Killed) < killDetectionTime && !(planned && r.Sent.Sub(p.Terminated) > lateArrivalAfterTerm)
	})
}

// mayHaveRun reports whether the worker may have begun the job.
func (t Attempt) mayHaveRun() bool { return !t.LastByteAt.IsZero() && !t.Rejected }

// finishedAt returns when the attempt ended or was cancelled, whichever was first, or zero if neither happened.
func (t Attempt) finishedAt() time.Time {
	switch {
	case t.EndedAt.IsZero(), !t.CancelledAt.IsZero() && t.CancelledAt.Before(t.EndedAt):
		return t.CancelledAt
	}
	return t.EndedAt
}

// checkRepeats checks the attempts of one request, which are in order of time.
func (a *auditor) checkRepeats(id string, list []Attempt) {
	class, process := Class{Repeat: AtMostOnce}, ""
	if requests := a.requests[id]; len(requests) > 0 {
		class, process = a.Terms.class(requests[0].Class), requests[0].Process
	}
	var ran []Attempt
	for _, t := range list {
		if t.LastByteAt.IsZero() {
			continue
		}
		for _, before := range ran {
			slack := wireSlack + a.stalledWithin(before.FirstByteAt, t.LastByteAt)
			finished := before.finishedAt()
			switch {
			case class.Repeat == AtMostOnce:
				a.addViolation(RuleDuplicate, process, id, t.LastByteAt, "%s has it after %s", t.Worker, before.Worker)
			case finished.IsZero() || finished.Sub(t.LastByteAt) > slack:
				a.addViolation(RuleDuplicate, process, id, t.LastByteAt, "%s has it beside %s", t.Worker, before.Worker)
			case class.Repeat == Keyed && t.FirstByteAt.Sub(ran[0].FirstByteAt) > class.Window+slack:
				a.addViolation(RuleDuplicate, process, id, t.LastByteAt,
					"%s has it %v after the first, the window is %v", t.Worker,
					t.FirstByteAt.Sub(ran[0].FirstByteAt), class.Window)
			}
		}
		if t.mayHaveRun() {
			ran = append(ran, t)
		}
	}
}

// checkAttempt checks one attempt on its own.
func (a *auditor) checkAttempt(t Attempt) {
	r, known := a.requestOf(t)
	if !known {
		a.addViolation(RuleInvented, "", t.ID, t.FirstByteAt, "%s has a request that no client sent", t.Worker)
		return
	}
	slack := wireSlack + a.stalledWithin(t.FirstByteAt.Add(-departureBound), t.FirstByteAt)
	if gone := t.FirstByteAt.Sub(r.Ended); r.Outcome == client.Disconnected && gone > departureBound+slack {
		a.addViolation(RuleDeparted, r.Process, t.ID, t.FirstByteAt, "an attempt at %s %v after its client had gone",
			t.Worker, gone)
	}
	left := r.Sent.Add(r.Timeout).Sub(t.FirstByteAt)
	if !t.LastByteAt.IsZero() && t.Timeout > max(left, 0)+timeoutSlack+slack {
		a.addViolation(RuleTimeout, r.Process, t.ID, t.FirstByteAt, "%s is told %v, %v are left", t.Worker,
			t.Timeout, left)
	}
	if notified, isLate := a.isSentAfterDrain(t, r.Process); isLate {
		a.addViolation(RuleDrain, r.Process, t.ID, t.FirstByteAt, "%s had told %v before that it wants nothing",
			t.Worker, t.FirstByteAt.Sub(notified))
	}
}

// requestOf returns the request of an attempt. If it was sent on two connections, it is the last one that was begun
// before the attempt.
func (a *auditor) requestOf(t Attempt) (request Request, known bool) {
	for _, r := range a.requests[t.ID] {
		if !known || !r.Started.After(t.FirstByteAt) {
			request, known = r, true
		}
	}
	if known {
		return request, true
	}
	for _, r := range a.Requests { // the second of two requests in one write
		if r.SecondID == t.ID {
			return r, true
		}
	}
	return Request{}, false
}

// isSentAfterDrain reports whether an attempt began too late after its worker stopped accepting new work, and by when
// the dispatcher must have learned of that.
func (a *auditor) isSentAfterDrain(t Attempt, process string) (notified time.Time, isViolation bool) {
	for _, update := range a.WorkerUpdates {
		if update.Worker != t.Worker || update.At.After(t.FirstByteAt) {
			continue
		}
		notified = time.Time{}
		if !update.AcceptsWork {
			notified = a.notifiedBy(update, process, t.FirstByteAt)
		}
	}
	limit := notified.Add(a.Terms.DrainGrace + wireSlack + a.stalledWithin(notified, t.FirstByteAt))
	return notified, !notified.IsZero() && t.FirstByteAt.After(limit)
}

// notifiedBy returns the time by which a dispatcher counts as notified of a change of the worker list, as far as it
// matters for an attempt. Where lists are requested, that is a fixed time after the change, or earlier when discovery
// has told it.
func (a *auditor) notifiedBy(update WorkerUpdate, process string, attempt time.Time) time.Time {
	at := update.At
	for _, o := range a.Outages {
		if !at.Before(o.From) && at.Before(o.To) {
			at = o.To
		}
	}
	if !a.Terms.Subscribe {
		return a.extendedByStarts(at, process)
	}
	notified := at.Add(subscribedListBound)
	if told, known := a.toldAt(update.Version, process, attempt); known {
		notified = earliest(notified, a.extendedByStarts(told, process))
	}
	return notified
}

// toldAt returns when discovery told a dispatcher a version of the list. It is unknown if the dispatcher has started
// since then without a predecessor, as then nobody there may have it.
func (a *auditor) toldAt(version int64, process string, attempt time.Time) (at time.Time, known bool) {
	for _, told := range a.Told {
		if told.Process == process && told.Version >= version && !known {
			at, known = told.At, true
		}
	}
	for _, p := range a.Processes {
		if p.Process == process && !p.Successor && p.Started.Before(attempt) && p.Ready.After(at) {
			return time.Time{}, false
		}
	}
	return at, known
}

// extendedByStarts returns the time by which a dispatcher counts as notified of what it is told at a time: later if it
// has moved to another discovery address, or if one of its processes has just replaced another.
func (a *auditor) extendedByStarts(at time.Time, process string) time.Time {
	notified := at
	extend := func(from time.Time, bound time.Duration) {
		if !from.IsZero() && from.After(at.Add(-bound)) && from.Before(at.Add(a.Terms.DrainGrace)) {
			notified = latest(notified, from.Add(bound))
		}
	}
	for _, p := range a.Processes {
		if p.Process != process {
			continue
		}
		for _, movedAt := range p.DiscoveryMoves {
			extend(movedAt, movedListBound)
		}
		if p.Successor {
			extend(p.Ready, successorListBound)
		}
	}
	return notified
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkProcesses checks the starts and the exits of the processes.
func (a *auditor) checkProcesses() {
	late, started := 0, 0
	for _, p := range a.Processes {
		startTime := p.Ready.Sub(p.Started)
		interrupted := p.Ready.IsZero() && (!p.Terminated.IsZero() || !p.Killed.IsZero())
		switch {
		case p.CrashLine != "":
			a.addViolation(RuleCrash, p.Process, "", p.Ended, "its log has %q", p.CrashLine)
		case !p.Ended.IsZero() && p.Terminated.IsZero() && p.Killed.IsZero():
			a.addViolation(RuleCrash, p.Process, "", p.Ended, "ended by itself with %d", p.ExitCode)
		case !p.Ended.IsZero() && p.Killed.IsZero() && p.ExitCode != 0 && !p.Ready.IsZero():
			a.addViolation(RuleCrash, p.Process, "", p.Ended, "told to end, it ended with %d", p.ExitCode)
		}
		if interrupted {
			continue
		}
		started++
		if p.Ready.IsZero() || startTime > readyBoundMax+a.stalledWithin(p.Started, p.Ready) {
			a.addViolation(RuleReady, p.Process, "", p.Started, "ready after %v", startTime)
		}
		if startTime > readyBoundP90+a.stalledWithin(p.Started, p.Ready) {
			late++
		}
	}
	if late*10 > started {
		a.addViolation(RuleReady, "", "", time.Time{}, "%d of %d processes were not ready within %v", late, started,
			readyBoundP90)
	}
}

// checkLeftovers checks that the processes released their resources.
func (a *auditor) checkLeftovers() {
	for _, l := range a.Leftovers {
		if l.Descriptors > l.AllowedDescriptors || l.Outstanding > 0 || l.Goroutines > l.AllowedGoroutines {
			a.addViolation(RuleLeak, l.Process, "", time.Time{},
				"%d descriptors, %d are allowed; %d requests in hand; %d goroutines, %d are allowed",
				l.Descriptors, l.AllowedDescriptors, l.Outstanding, l.Goroutines, l.AllowedGoroutines)
		}
	}
}

// checkMemory checks that each process stayed within its memory limit.
func (a *auditor) checkMemory() {
	for _, p := range a.Processes {
		if limit := a.Terms.MemoryMB << 10; limit > 0 && p.PeakMemoryKB > limit {
			a.addViolation(RuleMemory, p.Process, "", p.Started, "%d kB, %d are allowed", p.PeakMemoryKB, limit)
		}
	}
}

// eventWindow is how long after a violation other events are listed with it. Before the violation, the events of four
// times this length are listed.
const eventWindow = time.Second

// eventsNear describes the events of a request, and those of its dispatcher's processes, the worker list and discovery
// near that time, in order of time.
func (a *auditor) eventsNear(process, id string, at time.Time) (lines []string) {
	type event struct {
		at   time.Time
		text string
	}
	var events []event
	add := func(t time.Time, text string, values ...any) {
		if !t.IsZero() {
			events = append(events, event{t, fmt.Sprintf(text, values...)})
		}
	}
	for _, r := range a.requests[id] {
		add(r.Started, "%s: a client begins to send %s, %s, %v, reused %v", r.Process, id, r.Class, r.Behavior,
			r.Reused)
		add(r.Sent, "%s: %s is sent, with %v to wait", r.Process, id, r.Timeout)
		add(r.Ended, "%s: %s is %v, %d %q %v", r.Process, id, r.Outcome, r.Status, strings.TrimSpace(r.Body), r.Err)
	}
	for _, t := range a.attempts[id] {
		add(t.FirstByteAt, "%s: an attempt of %s begins, told %v", t.Worker, id, t.Timeout)
		add(t.LastByteAt, "%s: it has come whole", t.Worker)
		add(t.EndedAt, "%s: it ends", t.Worker)
		add(t.CancelledAt, "%s: it is given up", t.Worker)
	}
	ifNear := func(t time.Time) time.Time {
		if t.After(at.Add(eventWindow)) || t.Before(at.Add(-4*eventWindow)) {
			return time.Time{}
		}
		return t
	}
	for _, p := range a.Processes {
		if p.Process != process {
			continue
		}
		add(ifNear(p.Started), "%s: a process is started, successor %v", process, p.Successor)
		add(ifNear(p.Ready), "%s: it is ready", process)
		for _, movedAt := range p.DiscoveryMoves {
			add(ifNear(movedAt), "%s: SIGHUP with another address of discovery", process)
		}
		add(ifNear(p.Terminated), "%s: SIGTERM", process)
		add(ifNear(p.Killed), "%s: SIGKILL", process)
		add(ifNear(p.Ended), "%s: it has ended with %d", process, p.ExitCode)
	}
	for _, update := range a.WorkerUpdates {
		add(ifNear(update.At), "discovery: %s wants new work: %v", update.Worker, update.AcceptsWork)
	}
	for _, o := range a.Outages {
		add(ifNear(o.From), "discovery: tells nothing")
		add(ifNear(o.To), "discovery: tells again")
	}
	slices.SortStableFunc(events, func(e, f event) int { return e.at.Compare(f.at) })
	for _, e := range events {
		lines = append(lines, fmt.Sprintf("%+.3f s %s", e.at.Sub(at).Seconds(), e.text))
	}
	return lines
}
