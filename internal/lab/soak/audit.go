package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"topazfall/internal/lab/client"
)

// The bounds, as the operators' pages have them.
const (
	wireSlack    = 50 * time.Millisecond  // every time limit is longer by that on sockets
	answerGrace  = 500 * time.Millisecond // beyond its time a request earns nothing; from then on it is lost
	departure    = 100 * time.Millisecond // from a client's close until no attempt begins any more
	timeoutSlack = 150 * time.Millisecond // by which the time that an attempt tells may be over what is left
	errorOwed    = 3 * time.Second        // to who does what the protocol does not allow
	toldAsked    = 6 * time.Second        // lists that are asked for count as told
	toldMoved    = 4 * time.Second        // after a new address of discovery
	toldReplaced = 2 * time.Second        // after a successor is ready
	readySoon    = 10 * time.Second       // for nine processes in ten
	readyAtAll   = 30 * time.Second       // for all
	lateArrival  = 700 * time.Millisecond // after SIGTERM: what comes later is lost where the kill finds it
	killSeen     = 500 * time.Millisecond // by which a client sees a kill later
)

// Rule is a term that a run may break.
type Rule string

// The rules.
const (
	RuleLost      Rule = "lost"      // a request without its one final answer in time
	RuleClosed    Rule = "closed"    // a request that was read and whose connection was closed without an answer
	RuleDuplicate Rule = "duplicate" // an attempt beside one that may run, or outside its window or class
	RuleRefused   Rule = "refused"   // a refusal of what may have run, and must not run again
	RuleInvented  Rule = "invented"  // a served body that no worker made
	RuleDrain     Rule = "drain"     // new work for a worker that wants none
	RuleDeparted  Rule = "departed"  // an attempt for a client that had gone
	RuleTimeout   Rule = "timeout"   // an attempt that tells its worker more time than is left
	RuleErrorOwed Rule = "owed"      // neither error nor close for who does what the protocol does not allow
	RuleCrash     Rule = "crash"     // a process that ended by itself, or badly
	RuleReady     Rule = "ready"     // a start that took too long
	RuleLeak      Rule = "leak"      // something left over
)

// Violation is a broken rule.
type Violation struct {
	Rule    Rule      `json:"rule"`
	Process string    `json:"process,omitempty"`
	ID      string    `json:"id,omitempty"` // of the request
	At      time.Time `json:"at"`
	Message string    `json:"what"`
	Events  []string  `json:"around"` // the events round it
}

// auditor judges one history.
type auditor struct {
	*History
	requests map[string][]Request
	attempts map[string][]Attempt
	breaks   []Violation
}

// Audit names the broken rules of a history, in the order of time.
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
		a.answer(r)
	}
	for id, list := range a.attempts {
		a.repeats(id, list)
		for _, t := range list {
			a.attempt(t)
		}
	}
	a.lives()
	a.leftovers()
	slices.SortFunc(a.breaks, func(b, c Violation) int {
		return cmp.Or(b.At.Compare(c.At), cmp.Compare(b.Rule, c.Rule), cmp.Compare(b.ID, c.ID))
	})
	return a.breaks
}

// broken notes a broken rule.
func (a *auditor) broken(rule Rule, process, id string, at time.Time, what string, values ...any) {
	a.breaks = append(a.breaks, Violation{rule, process, id, at, fmt.Sprintf(what, values...), a.around(process, id, at)})
}

// answer judges what a client got.
func (a *auditor) answer(r Request) {
	if r.Behavior.ViolatesProtocol() {
		a.owed(r)
		return
	}
	limit := r.Sent.Add(r.Timeout + answerGrace + wireSlack + a.stalled(r.Sent, r.Ended))
	switch {
	case r.Outcome == client.Disconnected:
	case a.killed(r):
	case r.Outcome == client.ClosedAfterRead:
		a.broken(RuleClosed, r.Process, r.ID, r.Ended, "the whole request was read and its connection closed: %v", r.Err)
	case r.Outcome == client.TimedOut:
		a.broken(RuleLost, r.Process, r.ID, r.Ended, "no answer %v after it was sent, of %v", r.Ended.Sub(r.Sent), r.Timeout)
	case r.Outcome == client.Answered && r.Ended.After(limit):
		a.broken(RuleLost, r.Process, r.ID, r.Ended, "answered %v after it was sent, of %v", r.Ended.Sub(r.Sent), r.Timeout)
	case r.Outcome == client.Answered:
		a.said(r)
	}
}

// said judges what an answer says.
func (a *auditor) said(r Request) {
	ran := slices.ContainsFunc(a.attempts[r.ID], func(t Attempt) bool { return t.mayHaveRun() })
	made := slices.ContainsFunc(a.attempts[r.ID], func(t Attempt) bool { return r.Body == t.Worker+" "+r.ID })
	switch {
	case r.ExtraBytes > 0:
		a.broken(RuleLost, r.Process, r.ID, r.Ended, "%d bytes came behind its final answer", r.ExtraBytes)
	case r.Status == 200 && !made:
		a.broken(RuleInvented, r.Process, r.ID, r.Ended, "served with %q", r.Body)
	case (r.Status == 429 || r.Status == 503) && ran && a.Terms.class(r.Class).Repeat == AtMostOnce:
		a.broken(RuleRefused, r.Process, r.ID, r.Ended, "refused with %d though it may have run", r.Status)
	}
}

// owed judges what somebody got who did what the protocol does not allow.
func (a *auditor) owed(r Request) {
	within := errorOwed
	if r.Behavior == client.TwoRequests { // the first of the two may be taken
		within = max(within, r.Timeout+answerGrace)
	}
	took := r.Ended.Sub(r.Sent)
	if (r.Outcome == client.TimedOut || took > within+wireSlack+a.stalled(r.Sent, r.Ended)) && !a.killed(r) {
		a.broken(RuleErrorOwed, r.Process, r.ID, r.Ended, "%v: %v after %v", r.Behavior, r.Outcome, took)
	}
}

// killed tells whether a request has no answer because its process was killed. What a planned kill finds is lost if it
// came too late after SIGTERM; what came sooner had its time.
func (a *auditor) killed(r Request) bool {
	return r.Outcome != client.Answered && slices.ContainsFunc(a.Processes, func(l ProcessRecord) bool {
		planned := !l.Terminated.IsZero() && l.Killed.After(l.Terminated)
		return l.Process == r.Process && !l.Killed.IsZero() && !l.Killed.Before(r.Started) &&
			r.Ended.Sub(l.Killed) < killSeen && !(planned && r.Sent.Sub(l.Terminated) > lateArrival)
	})
}

// mayHaveRun tells whether the worker may have begun the job.
func (t Attempt) mayHaveRun() bool { return !t.LastByteAt.IsZero() && !t.Rejected }

// over is when the attempt had ended or was given up, zero where neither.
func (t Attempt) over() time.Time {
	switch {
	case t.EndedAt.IsZero(), !t.CancelledAt.IsZero() && t.CancelledAt.Before(t.EndedAt):
		return t.CancelledAt
	}
	return t.EndedAt
}

// repeats judges the attempts of one request, the first first.
func (a *auditor) repeats(id string, list []Attempt) {
	class, process := Class{Repeat: AtMostOnce}, ""
	if of := a.requests[id]; len(of) > 0 {
		class, process = a.Terms.class(of[0].Class), of[0].Process
	}
	var ran []Attempt
	for _, t := range list {
		if t.LastByteAt.IsZero() {
			continue
		}
		for _, before := range ran {
			slack := wireSlack + a.stalled(before.FirstByteAt, t.LastByteAt)
			over := before.over()
			switch {
			case class.Repeat == AtMostOnce:
				a.broken(RuleDuplicate, process, id, t.LastByteAt, "%s has it after %s", t.Worker, before.Worker)
			case over.IsZero() || over.Sub(t.LastByteAt) > slack:
				a.broken(RuleDuplicate, process, id, t.LastByteAt, "%s has it beside %s", t.Worker, before.Worker)
			case class.Repeat == Keyed && t.FirstByteAt.Sub(ran[0].FirstByteAt) > class.Window+slack:
				a.broken(RuleDuplicate, process, id, t.LastByteAt, "%s has it %v after the first, the window is %v", t.Worker,
					t.FirstByteAt.Sub(ran[0].FirstByteAt), class.Window)
			}
		}
		if t.mayHaveRun() {
			ran = append(ran, t)
		}
	}
}

// attempt judges one attempt by itself.
func (a *auditor) attempt(t Attempt) {
	r, known := a.requestOf(t)
	if !known {
		a.broken(RuleInvented, "", t.ID, t.FirstByteAt, "%s has a request that no client sent", t.Worker)
		return
	}
	slack := wireSlack + a.stalled(t.FirstByteAt.Add(-departure), t.FirstByteAt)
	if gone := t.FirstByteAt.Sub(r.Ended); r.Outcome == client.Disconnected && gone > departure+slack {
		a.broken(RuleDeparted, r.Process, t.ID, t.FirstByteAt, "an attempt at %s %v after its client had gone", t.Worker, gone)
	}
	left := r.Sent.Add(r.Timeout).Sub(t.FirstByteAt)
	if !t.LastByteAt.IsZero() && t.Timeout > max(left, 0)+timeoutSlack+slack {
		a.broken(RuleTimeout, r.Process, t.ID, t.FirstByteAt, "%s is told %v, %v are left", t.Worker, t.Timeout, left)
	}
	if told, unwanted := a.unwanted(t, r.Process); unwanted {
		a.broken(RuleDrain, r.Process, t.ID, t.FirstByteAt, "%s had told %v before that it wants nothing", t.Worker,
			t.FirstByteAt.Sub(told))
	}
}

// requestOf finds the request of an attempt: the last that was brought before it.
func (a *auditor) requestOf(t Attempt) (of Request, known bool) {
	for _, r := range a.requests[t.ID] {
		if !known || !r.Started.After(t.FirstByteAt) {
			of, known = r, true
		}
	}
	if known {
		return of, true
	}
	for _, r := range a.Requests { // the second of a doubled one
		if r.SecondID == t.ID {
			return r, true
		}
	}
	return Request{}, false
}

// unwanted tells whether a worker wanted no new work when an attempt began, and when the dispatcher was told so.
func (a *auditor) unwanted(t Attempt, process string) (told time.Time, is bool) {
	for _, l := range a.WorkerUpdates {
		if l.Worker != t.Worker || l.At.After(t.FirstByteAt) {
			continue
		}
		told = time.Time{}
		if !l.AcceptsWork {
			told = a.told(l.At, process)
		}
	}
	late := told.Add(a.Terms.DrainGrace + wireSlack + a.stalled(told, t.FirstByteAt))
	return told, !told.IsZero() && t.FirstByteAt.After(late)
}

// told is when a change counts as told to a dispatcher at the latest.
func (a *auditor) told(at time.Time, process string) time.Time {
	for _, o := range a.Outages {
		if !at.Before(o.From) && at.Before(o.To) {
			at = o.To
		}
	}
	if a.Terms.Subscribe {
		return at.Add(toldAsked)
	}
	told := at
	until := func(from time.Time, later time.Duration) {
		if !from.IsZero() && from.After(at.Add(-later)) && from.Before(at.Add(a.Terms.DrainGrace)) {
			told = latest(told, from.Add(later))
		}
	}
	for _, l := range a.Processes {
		if l.Process != process {
			continue
		}
		for _, moved := range l.DiscoveryMoves {
			until(moved, toldMoved)
		}
		if l.Successor {
			until(l.Ready, toldReplaced)
		}
	}
	return told
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lives judges the starts and the ends of the processes.
func (a *auditor) lives() {
	late, started := 0, 0
	for _, l := range a.Processes {
		took := l.Ready.Sub(l.Started)
		interrupted := l.Ready.IsZero() && (!l.Terminated.IsZero() || !l.Killed.IsZero())
		switch {
		case l.CrashLine != "":
			a.broken(RuleCrash, l.Process, "", l.Ended, "its log has %q", l.CrashLine)
		case !l.Ended.IsZero() && l.Terminated.IsZero() && l.Killed.IsZero():
			a.broken(RuleCrash, l.Process, "", l.Ended, "ended by itself with %d", l.ExitCode)
		case !l.Ended.IsZero() && l.Killed.IsZero() && l.ExitCode != 0 && !l.Ready.IsZero():
			a.broken(RuleCrash, l.Process, "", l.Ended, "told to end, it ended with %d", l.ExitCode)
		}
		if interrupted {
			continue
		}
		started++
		if l.Ready.IsZero() || took > readyAtAll+a.stalled(l.Started, l.Ready) {
			a.broken(RuleReady, l.Process, "", l.Started, "ready after %v", took)
		}
		if took > readySoon+a.stalled(l.Started, l.Ready) {
			late++
		}
	}
	if late*10 > started {
		a.broken(RuleReady, "", "", time.Time{}, "%d of %d processes were not ready within %v", late, started, readySoon)
	}
}

func (a *auditor) leftovers() {
	for _, l := range a.Leftovers {
		if l.Descriptors > l.AllowedDescriptors || l.Outstanding > 0 || l.Goroutines > l.AllowedGoroutines {
			a.broken(RuleLeak, l.Process, "", time.Time{},
				"%d descriptors, %d are allowed; %d requests in hand; %d goroutines, %d are allowed",
				l.Descriptors, l.AllowedDescriptors, l.Outstanding, l.Goroutines, l.AllowedGoroutines)
		}
	}
}

// near is how far from a break events are told.
const near = time.Second

// around tells the events of a request, and those of the processes and lists near it, in the order of time.
func (a *auditor) around(process, id string, at time.Time) (lines []string) {
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
		add(r.Started, "%s: a client begins to send %s, %s, %v, reused %v", r.Process, id, r.Class, r.Behavior, r.Reused)
		add(r.Sent, "%s: %s is sent, with %v to wait", r.Process, id, r.Timeout)
		add(r.Ended, "%s: %s is %v, %d %q %v", r.Process, id, r.Outcome, r.Status, strings.TrimSpace(r.Body), r.Err)
	}
	for _, t := range a.attempts[id] {
		add(t.FirstByteAt, "%s: an attempt of %s begins, told %v", t.Worker, id, t.Timeout)
		add(t.LastByteAt, "%s: it has come whole", t.Worker)
		add(t.EndedAt, "%s: it ends", t.Worker)
		add(t.CancelledAt, "%s: it is given up", t.Worker)
	}
	nearby := func(t time.Time) time.Time {
		if t.After(at.Add(near)) || t.Before(at.Add(-4*near)) {
			return time.Time{}
		}
		return t
	}
	for _, l := range a.Processes {
		if l.Process != process {
			continue
		}
		add(nearby(l.Started), "%s: a process is started, successor %v", process, l.Successor)
		add(nearby(l.Ready), "%s: it is ready", process)
		for _, moved := range l.DiscoveryMoves {
			add(nearby(moved), "%s: SIGHUP with another address of discovery", process)
		}
		add(nearby(l.Terminated), "%s: SIGTERM", process)
		add(nearby(l.Killed), "%s: SIGKILL", process)
		add(nearby(l.Ended), "%s: it has ended with %d", process, l.ExitCode)
	}
	for _, l := range a.WorkerUpdates {
		add(nearby(l.At), "discovery: %s wants new work: %v", l.Worker, l.AcceptsWork)
	}
	for _, o := range a.Outages {
		add(nearby(o.From), "discovery: tells nothing")
		add(nearby(o.To), "discovery: tells again")
	}
	slices.SortStableFunc(events, func(e, f event) int { return e.at.Compare(f.at) })
	for _, e := range events {
		lines = append(lines, fmt.Sprintf("%+.3f s %s", e.at.Sub(at).Seconds(), e.text))
	}
	return lines
}
