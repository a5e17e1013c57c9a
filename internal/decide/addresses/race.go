package addresses

import "slices"

// Race is one relay's way to a connection over which it may be written. It opens connections and no more: exactly one
// of them is used. While the first address is good it is no race: the next is begun only when that one fails, or does
// not come up within the attempt delay.
type Race struct {
	set     *Set
	once    bool
	by      int64 // when it must have found one
	order   []*belief
	runs    []*run
	next    int64 // when the next address may be begun
	rested  bool  // one that rests was tried
	winner  *run
	over    bool
	claimed bool // the winner was given out
	proof   *belief
}

type run struct {
	b       *belief
	began   int64
	pending bool
	late    bool
	proves  bool // this message is to prove the address
	spare   bool // the connection came up and is not used
}

// Action is what a race asks for.
type Action uint8

// The moves.
const (
	Wait   Action = iota // until Step.Until, or until something is told
	Open                 // a connection to Step.Address, kept or new, and tell Opened or Failed
	Use                  // write on the connection to Step.Address, or tell Failed if nothing was written
	GiveUp               // there is no connection to be had
)

// Step is a move, and what it is about.
type Step struct {
	Action  Action
	Address Address
	Until   int64
}

// NewRace begins a race for a message, which must not run twice if once is set, that ends at a time.
func (s *Set) NewRace(now, by int64, once bool) *Race {
	r := &Race{set: s, once: once, by: by, order: s.order(now, once)}
	if !once {
		if r.proof = s.proving(now); r.proof != nil {
			r.order = append([]*belief{r.proof}, r.order...)
		}
	}
	return r
}

// Step says what to do next. It is asked again after each Open, and after each event, until it says Use or GiveUp.
func (r *Race) Step(now int64) Step {
	switch {
	case r.over:
		return Step{Action: GiveUp}
	case r.winner != nil:
		if r.claimed {
			return Step{Action: Wait, Until: r.by}
		}
		r.claimed = true
		return Step{Action: Use, Address: r.winner.b.Address}
	case now >= r.by:
		r.over = true
		return Step{Action: GiveUp}
	}
	if n := len(r.runs); n > 0 && r.runs[n-1].pending {
		last := r.runs[n-1]
		if now < r.next {
			return Step{Action: Wait, Until: min(r.next, r.by)}
		}
		if !last.late {
			last.late = true
			last.b.late++
		}
	}
	if b := r.candidate(now); b != nil {
		t := &run{b: b, began: now, pending: true, proves: b == r.proof && !b.trial}
		b.trial = b.trial || t.proves
		r.runs = append(r.runs, t)
		r.next = now + r.set.delay(b, r.by-now, r.remaining(now))
		return Step{Action: Open, Address: b.Address}
	}
	for _, t := range r.runs {
		if t.pending {
			return Step{Action: Wait, Until: r.by}
		}
	}
	r.over = true
	return Step{Action: GiveUp}
}

// candidate takes the next address. Of those that rest a race tries one at the most: the one whose rest ends first. It
// is better than none, and all of them for each message would be no rest.
func (r *Race) candidate(now int64) *belief {
	for len(r.order) > 0 {
		b := r.order[0]
		r.order = r.order[1:]
		if r.find(b.Address) != nil || r.set.find(b.Address) != b || b.bars(r.once) {
			continue
		}
		if b.rest > now {
			if r.rested {
				continue
			}
			r.rested = true
		}
		return b
	}
	return nil
}

// remaining is how many more addresses may be tried.
func (r *Race) remaining(now int64) (n int) {
	rested := r.rested
	for _, b := range r.order {
		if r.find(b.Address) == nil && (b.rest <= now || !rested) {
			rested = rested || b.rest > now
			n++
		}
	}
	return n
}

func (r *Race) find(a Address) *run {
	for _, t := range r.runs {
		if t.b.Address == a {
			return t
		}
	}
	return nil
}

func (r *Race) end(a Address) *run {
	t := r.find(a)
	if t == nil || !t.pending {
		return nil
	}
	t.pending = false
	if t.late {
		t.b.late--
	}
	return t
}

// Opened tells that a connection is up: a kept one, or a new one that took so long. It says whether it is the one to
// use, by the next Step; if not, nothing may be written for this race on it.
func (r *Race) Opened(now int64, a Address, took int64, kept bool) (first bool) {
	t := r.end(a)
	if t == nil {
		return false
	}
	if !kept {
		t.b.opened(now, took)
	}
	if r.over || r.winner != nil || r.set.find(a) != t.b || t.b.bars(r.once) {
		t.spare = true
		t.let()
		return false
	}
	r.winner = t
	return true
}

// Failed tells that a connection did not come up or, of the one to use, that it was not used: nothing was written on
// it, and the race goes on.
func (r *Race) Failed(now int64, a Address, why Failure) {
	t := r.end(a)
	if t == nil {
		if t = r.winner; t == nil || t.b.Address != a {
			return
		}
		r.winner, r.claimed = nil, false
		r.again()
	}
	t.let()
	r.set.failed(t.b, now, t.began, why)
}

// again puts the addresses first whose connections came up and were not needed then.
func (r *Race) again() {
	var spare []*belief
	r.runs = slices.DeleteFunc(r.runs, func(t *run) bool {
		if t.spare {
			spare = append(spare, t.b)
		}
		return t.spare
	})
	r.order = append(spare, r.order...)
}

// let ends the proving of an address without a word on it.
func (t *run) let() {
	if t.proves {
		t.b.trial, t.proves = false, false
	}
}

// Finish ends the race whose connection was used, after what was to be said of the address: its message may have been
// called off without an answer.
func (r *Race) Finish() {
	if r.winner != nil {
		r.winner.let()
	}
}
