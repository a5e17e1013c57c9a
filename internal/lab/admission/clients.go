package admission

import "topazfall"

const (
	defaultBackoff  = 200 * millisecond // until a client retries a refusal without advice
	maxSubmissions  = 2                 // of one request: a client retries once
	hotTenant       = 0                 // the tenant of the hot caller
	hotTrafficShare = 0.8               // the share of its requests that it sends through one dispatcher
	clientSlack     = 100 * millisecond // how long after its deadline a client goes on waiting
)

// request is what a client wants to have done. It has exactly one final answer.
type request struct {
	dispatcher           *dispatcher
	class, tenant        int
	work, hint           int64
	arrivedAt, due       int64
	worth                float64 // of an answer in time
	retries              bool    // its client retries a refusal
	withinQuota          bool    // its tenant kept to its quota over all dispatchers when it arrived
	counted              bool    // it arrived in the measured part
	submissions, sends   int
	answered             bool
	refused, refusedFree bool // refused at least once; the second one while a reachable worker was free
}

// submission is a request as it was handed to a dispatcher, for the first time or again.
type submission struct {
	id       uint64
	request  *request
	attempts []*attempt
	answered bool
}

// removeIfDone makes the dispatcher forget a submission that is answered and has no open attempts.
func (s *submission) removeIfDone() {
	if !s.answered {
		return
	}
	for _, a := range s.attempts {
		if !a.done {
			return
		}
	}
	delete(s.request.dispatcher.submissions, s.id)
}

// scheduleArrivals brings the requests of a tenant until the measured part ends.
func (m *model) scheduleArrivals(index int) {
	t := m.tenants[index]
	rate := t.rate
	switch m.scenario.Shape {
	case Bursty:
		rate *= t.burst.factor(m.traffic, m.now) * m.commonBurst.factor(m.traffic, m.now)
	case Surge:
		rate *= surgeRateFactor(m.now - m.cut.from)
	}
	m.after(exponentialTime(m.traffic, float64(second)/rate), func() {
		if m.now < m.measuredUntil {
			m.submit(m.newRequest(index))
			m.scheduleArrivals(index)
		}
	})
}

// newRequest draws a request of a tenant.
func (m *model) newRequest(tenant int) *request {
	t, class := m.tenants[tenant], m.drawClass()
	c := &m.classes[class]
	r := &request{class: class, tenant: tenant, arrivedAt: m.now, due: m.now + c.Deadline, worth: c.Worth,
		dispatcher: m.drawDispatcher(), counted: m.now >= m.measuredFrom}
	r.work = max(int64(float64(c.meanWork)*logNormal(m.traffic, c.workCV)), 1)
	r.hint = max(int64(float64(r.work)*logNormal(m.traffic, t.hintError)), 1)
	r.retries = m.traffic.Float64() < m.scenario.RetryShare
	if m.traffic.Float64() < hotTrafficShare && m.scenario.Shape == Hot && tenant == hotTenant {
		r.dispatcher = m.dispatchers[len(m.dispatchers)/2]
	}
	if r.withinQuota = t.isWithinQuota(m.now); !r.withinQuota {
		r.worth *= overShare
	}
	m.result.countArrival(r)
	return r
}

// drawClass draws a class by its share of the requests.
func (m *model) drawClass() int {
	x := m.traffic.Float64()
	for i, c := range m.classes {
		if x -= c.share; x < 0 {
			return i
		}
	}
	return len(m.classes) - 1
}

// submit hands a request to its dispatcher. A retry keeps the deadline of the first submission.
func (m *model) submit(r *request) {
	d := r.dispatcher
	d.lastSubmission++
	s := &submission{id: d.lastSubmission, request: r}
	d.submissions[s.id] = s
	r.submissions++
	m.at(r.due+clientSlack, func() { m.giveUp(s) })
	m.handle(d, &topazfall.Event{Kind: topazfall.Arrival, Request: s.id, Class: r.class, Tenant: r.tenant, Due: r.due,
		Hint: r.hint, Retry: r.submissions > 1, Load: topazfall.NoLoad})
}

// giveUp ends a submission that the balancer has left without an answer.
func (m *model) giveUp(s *submission) {
	if s.answered {
		return
	}
	s.answered = true
	m.finish(s.request, expired)
	m.handle(s.request.dispatcher, &topazfall.Event{Kind: topazfall.ClientGone, Request: s.id})
	s.removeIfDone()
}

// serve gives the client of a submission its answer.
func (m *model) serve(s *submission) {
	s.answered = true
	r := s.request
	if m.now <= m.classes[r.class].fullWorthUntil(r.arrivedAt, r.work) {
		m.finish(r, servedInTime)
		return
	}
	m.finish(r, servedLate)
}

// reject gives the client of a submission a refusal or a failure. At the deadline both say that time has run out.
func (m *model) reject(d *dispatcher, action topazfall.Action) {
	s := d.submissions[action.Request]
	if s == nil || s.answered {
		m.result.Violations++
		return
	}
	s.answered = true
	defer s.removeIfDone()
	switch {
	case m.now >= s.request.due:
		m.finish(s.request, expired)
	case action.Kind == topazfall.Fail:
		m.result.countFailure(s.request, action.Reason)
		m.finish(s.request, failed)
	default:
		m.refuse(s.request, action)
	}
}

// refuse counts a refusal and lets the client retry or give up.
func (m *model) refuse(r *request, action topazfall.Action) {
	m.result.countRefusal(r, action.Reason, m.hasReachableFreeWorker(r.dispatcher))
	backoff := defaultBackoff
	if action.After > 0 {
		backoff = action.After
	}
	if !r.retries || r.submissions >= maxSubmissions || m.now+backoff >= r.due {
		m.finish(r, refused)
		return
	}
	m.after(backoff, func() { m.submit(r) })
}

// hasReachableFreeWorker reports whether a dispatcher could have sent a job to a worker that would start it at once.
func (m *model) hasReachableFreeWorker(d *dispatcher) bool {
	for _, w := range m.workers {
		if w.hasFreeSlot() && !m.cut.separates(m.now, d.zone, w.zone) {
			return true
		}
	}
	return false
}

// finish counts the final answer of a request.
func (m *model) finish(r *request, answer finalAnswer) {
	if r.answered {
		m.result.Violations++
		return
	}
	r.answered = true
	m.result.countAnswer(r, answer)
}
