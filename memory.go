package topazfall

import (
	"slices"

	"topazfall/internal/decide/ramp"
)

// What comes from outside to a balancer that is at work: another's memory and requests, and other settings.

// Memory is what a balancer has learned, for the one that goes on in its place. Its form is of no concern outside.
type Memory struct {
	JobTime, Least, StartLag, Loss, MeanHeld float64
	CommonAt                                 int64
	Patience                                 map[string]int64 // by class
	Kinds                                    map[string]KindMemory
	Workers                                  map[string]WorkerMemory
}

// KindMemory is what was learned of a kind of worker.
type KindMemory struct {
	Slots, Pace float64
	Table       [regions][columns]float64
}

// WorkerMemory is what was learned of one worker. Held counts the jobs of the one who learned it too: to another
// they are jobs like anybody's.
type WorkerMemory struct {
	Held, Pace                 float64
	HeardAt                    int64
	Silent, LastTry, DownUntil int64
	Failures, Errors           int
	Sent                       ramp.Log // to a cold worker, of late
	Table                      [regions][columns]float64
}

// Memory returns what the balancer has learned.
func (b *Balancer) Memory() Memory {
	m := Memory{JobTime: b.jobTime, Least: b.least, StartLag: b.startLag, Loss: b.loss, MeanHeld: b.meanHeld,
		CommonAt: b.commonAt, Patience: map[string]int64{}, Kinds: map[string]KindMemory{},
		Workers: map[string]WorkerMemory{}}
	for i, c := range b.s.Classes {
		m.Patience[c.Name] = b.patience[i]
	}
	for name, k := range b.kinds {
		m.Kinds[name] = KindMemory{k.slots, k.pace, k.p}
	}
	for _, w := range b.ranked {
		l := WorkerMemory{Held: w.held + float64(len(w.own)), Pace: w.pace,
			HeardAt: w.heardAt, Silent: w.silent, LastTry: w.lastTry, DownUntil: w.downUntil,
			Failures: w.failures, Errors: w.errors, Table: w.p}
		if b.cold(w) {
			l.Sent = slices.Clone(w.sent)
		}
		m.Workers[w.ID] = l
	}
	return m
}

// succession takes what happens between this balancer and another in whose place it goes on, or that goes on in its
// own.
func (b *Balancer) succession(e *Event) {
	switch e.Kind {
	case HandedOver:
		b.drop(b.requests[e.Request])
	case Resumed:
		b.resume(e)
	case Replaced:
		b.replaced = e.Amount > 0
	case NewSettings:
		b.renew(*e.Settings)
	}
}

// renew goes on with other settings. A request keeps the class that it came with, but what has become stricter binds
// its next attempt.
func (b *Balancer) renew(s Settings) {
	s.Seed = b.s.Seed
	b.s = s
	b.shares.Quotas, b.shares.Fraction = s.quotas(), s.part()
	b.circle = ramp.NewRotation(s.Dispatchers)
	for len(b.patience) < len(s.Classes) {
		b.patience = append(b.patience, 0)
	}
	for _, r := range b.requests {
		for _, c := range s.Classes {
			if c.Name == r.class.Name && c.Repeat > r.class.Repeat {
				stricter := *r.class
				stricter.Repeat, stricter.Group, stricter.Window = c.Repeat, c.Group, c.Window
				r.class = &stricter
			}
		}
	}
	for _, w := range b.workers {
		w.rank = b.rank(&w.Worker)
	}
	unheard := b.unheard
	b.list(&Event{Kind: ListPatch}) // nothing has changed but the order, and who is a buddy
	b.unheard = unheard
}

// Tries is what is known of the attempts of a request, for the balancer that goes on with it.
func (b *Balancer) Tries(request uint64) (tries []Try) {
	if r := b.requests[request]; r != nil {
		for _, a := range r.tries {
			tries = append(tries, Try{a.w.ID, a.sent, a.started, a.heard, a.done, a.notRun, a.recalled, a.unusable})
		}
	}
	return tries
}

// drop lets go of a request that another balancer goes on with: nothing is called off.
func (b *Balancer) drop(r *request) {
	if r == nil {
		return
	}
	r.closed = true
	delete(b.requests, r.id)
	for _, a := range r.tries {
		a.w.own = slices.DeleteFunc(a.w.own, func(o *attempt) bool { return o == a })
	}
}

// resume goes on with a request that another balancer has begun.
func (b *Balancer) resume(e *Event) {
	r := b.open(e)
	if r == nil {
		return
	}
	for _, t := range e.Tries {
		if b.workers[t.Worker] == nil { // it has left the list: nothing goes there, but what is there may come back
			b.entry(&Worker{ID: t.Worker, State: Gone})
		}
		w := b.workers[t.Worker]
		a := &attempt{r: r, n: len(r.tries), region: b.region(w), w: w, sent: t.Sent, wait: b.backlog(w),
			started: t.Started, heard: t.Heard, done: t.Done, notRun: t.NotRun, recalled: t.Recalled,
			unusable: t.Unusable}
		r.tries = append(r.tries, a)
		if !a.done {
			r.out++
			w.own = append(w.own, a)
			if a.sent < b.heir { // it was counted among the others' jobs there
				w.held = max(w.held-1, -w.kind.slots)
			}
			b.follow(r, a)
		}
	}
	if r.out == 0 {
		b.place(r)
	}
}

// Restore makes a balancer that has decided nothing yet go on with what another has learned, of the workers that its
// list names already. What makes no sense is left as it was.
func (b *Balancer) Restore(now int64, m Memory) {
	if m.JobTime <= 0 || m.Least <= 0 || m.StartLag <= 0 {
		return
	}
	b.heir = now
	b.jobTime, b.least, b.startLag, b.loss = m.JobTime, m.Least, m.StartLag, m.Loss
	b.meanHeld, b.commonAt = m.MeanHeld, m.CommonAt
	for i, c := range b.s.Classes {
		b.patience[i] = m.Patience[c.Name]
	}
	for name, l := range m.Kinds {
		if k := b.kinds[name]; k != nil && l.Slots >= 1 && l.Pace > 0 {
			k.slots, k.pace, k.p = l.Slots, l.Pace, l.Table
			k.blendWith(nil) // for the tails
		}
	}
	for _, w := range b.ranked {
		if l, ok := m.Workers[w.ID]; ok && l.Pace > 0 {
			w.held, w.pace, w.heardAt = l.Held, l.Pace, l.HeardAt
			for _, sent := range l.Sent {
				w.sent.Add(sent, b.s.Contract.FallTime)
			}
			w.silent, w.lastTry, w.downUntil = l.Silent, l.LastTry, l.DownUntil
			w.failures, w.errors = l.Failures, l.Errors
			w.faultAt = now // when it was is not handed on
			w.p = l.Table
			w.blendWith(nil)
		}
	}
	b.refill()
}
