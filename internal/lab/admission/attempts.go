package admission

import "topazfall"

// attempt is one send of a submission to a worker.
type attempt struct {
	submission *submission
	index      int
	worker     *worker
	done       bool // the dispatcher knows its outcome
}

// send starts an attempt. The dispatcher ends it itself when it is due.
func (m *model) send(d *dispatcher, action topazfall.Action) {
	s := d.submissions[action.Request]
	if s == nil {
		m.result.Violations++
		return
	}
	a := &attempt{submission: s, index: len(s.attempts), worker: m.workersByID[action.Worker]}
	s.attempts = append(s.attempts, a)
	s.request.sends++
	due := s.request.due
	if action.After > 0 {
		due = min(due, m.now+action.After)
	}
	m.at(due, func() { m.abandon(a, topazfall.TimedOut) })
	if m.cut.separates(m.now, d.zone, a.worker.zone) {
		m.sendIntoCut(a)
		return
	}
	m.after(latency(d.zone, a.worker.zone), func() { m.receiveJob(a) })
}

// sendIntoCut ends an attempt at a worker that cannot be reached. Half of the attempts need a new connection, which
// fails. The others use an open one, which is silent until the cut ends and is then lost.
func (m *model) sendIntoCut(a *attempt) {
	if m.network.IntN(2) == 0 {
		m.after(dialTimeout, func() { m.end(a, topazfall.ConnectionRefused, topazfall.NoLoad) })
		return
	}
	m.at(m.cut.until, func() { m.end(a, topazfall.ConnectionLost, topazfall.NoLoad) })
}

// notify sends a note about a job to its dispatcher. A note that is lost is not repeated.
func (m *model) notify(a *attempt, note topazfall.Event) {
	d := a.submission.request.dispatcher
	if m.cut.separates(m.now, a.worker.zone, d.zone) {
		return
	}
	note.Request, note.Attempt, note.Worker, note.Load = a.submission.id, a.index, a.worker.id, topazfall.NoLoad
	m.after(latency(a.worker.zone, d.zone), func() {
		if !a.done {
			m.handle(d, &note)
		}
	})
}

// answer sends the outcome of a job to its dispatcher. If it is lost, the connection is found lost after the cut.
func (m *model) answer(a *attempt, outcome topazfall.Outcome, load topazfall.Load) {
	d := a.submission.request.dispatcher
	if m.cut.separates(m.now, a.worker.zone, d.zone) {
		m.at(m.cut.until, func() { m.end(a, topazfall.ConnectionLost, topazfall.NoLoad) })
		return
	}
	m.after(latency(a.worker.zone, d.zone), func() { m.end(a, outcome, load) })
}

// end tells the balancer the outcome of an attempt, once. The first attempt that completes answers the client.
func (m *model) end(a *attempt, outcome topazfall.Outcome, load topazfall.Load) {
	if a.done {
		return
	}
	a.done = true
	s := a.submission
	if outcome == topazfall.Completed && !s.answered {
		m.serve(s)
	}
	m.handle(s.request.dispatcher, &topazfall.Event{Kind: topazfall.AttemptDone, Request: s.id, Attempt: a.index,
		Worker: a.worker.id, Outcome: outcome, Final: s.answered, Load: load})
	s.removeIfDone()
}

// abandon ends an attempt at the dispatcher's side and asks the worker to drop the job.
func (m *model) abandon(a *attempt, outcome topazfall.Outcome) {
	if a.done {
		return
	}
	d := a.submission.request.dispatcher
	if !m.cut.separates(m.now, d.zone, a.worker.zone) {
		m.after(latency(d.zone, a.worker.zone), func() { m.dropQueued(a) })
	}
	m.end(a, outcome, topazfall.NoLoad)
}
