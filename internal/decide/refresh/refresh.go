// Package refresh decides when a dispatcher calls discovery for the list of workers, how long it waits for
// the answer, and for how long it may rely on the list that it has. It does no I/O and reads no clock: the
// time comes in, as a duration since any fixed moment, and chance comes from a source that the caller seeds.
//
// # The bound on staleness
//
// What discovery has counts as told [Told] after discovery had it and could be reached, whether or not it was read. A
// dispatcher that must ask for its list therefore relies on it until
//
//	HoldAt = reachable + min(Told, 4 * AskEvery)
//
// where reachable is the earliest time at which discovery may have had something that was not read, and could
// have been reached: the start of the last call that brought a list or, if calls that were opened after it
// stayed without an answer, the start of the last of these before one that was answered. Any answer shows
// that discovery can be reached, a refusal as well. Silence and broken connections do not, and with these
// alone the list is relied on for as long as they last. From HoldAt to the next list that is read, nothing
// new may be sent to any worker. The grace of a drain begins at HoldAt and is left to what is under way then.
//
// # The budget of the fleet
//
// Discovery is one service of fixed room for all dispatchers. Outside a watch that goes on, which costs it
// nothing, one dispatcher begins a call every [Terms.Spacing] on the mean, so that all of them together begin
// at most [Terms.Budget] calls a second. Chance spreads them: a first call over one spacing, each further one
// over half a spacing either way. Only watches that fall silent all at once are opened anew sooner, within what the
// bound leaves beside two whole calls.
//
// Where lists are pushed, the agent on the own machine answers at once and at no cost: there is no budget to
// keep, and the list is always relied on.
package refresh

import (
	"math/rand/v2"
	"time"
)

const (
	// Told is the time after which what discovery has counts as told, by the protocol.
	Told = 6 * time.Second
	// WatchWait is how long a watch may wait for news: a silent watch counts as told soon after that wait.
	WatchWait = time.Second
	// AnswerGrace is what a silent discovery gets beyond the wait.
	AnswerGrace = 1500 * time.Millisecond
	// CallLimit is the time after which a call is given up. Where discovery must be asked, a call may wait
	// for its turn.
	CallLimit = WatchWait + AnswerGrace

	// failedAskEvery is the multiple of AskEvery after which a change counts as told where calls fail, by the
	// protocol.
	failedAskEvery = 4

	retrySpacing   = 100 * time.Millisecond // of a lone dispatcher; a watch goes on within 200 ms
	spacingGrowth  = 4                      // by which failures in a row may lengthen the spacing
	aloneUpTo      = 4                      // so many dispatchers may call as if each were alone
	callsInBound   = 3                      // a refused call and one that is given up leave time for a third
	leastPause     = 5 * time.Millisecond   // between a call that has failed and the next
	callsInGrace   = 4                      // within the grace of a drain, to an agent that does not answer
	leastAgentCall = 10 * time.Millisecond  // between calls to such an agent, however short the grace is
)

// Terms are what the settings say of discovery.
type Terms struct {
	Dispatchers int           // that share it
	Asked       bool          // lists come only when they are asked for
	DrainGrace  time.Duration // in which sends to a worker that drains must cease
	AskEvery    time.Duration // where it must be asked: how often, at least; 0 if that is not said
}

// Bound is for how long the list is relied on once discovery may have had news and could be reached.
func (t Terms) Bound() time.Duration {
	if t.AskEvery <= 0 {
		return Told
	}
	return min(Told, failedAskEvery*t.AskEvery)
}

// growth is by how much so many failures in a row lengthen the spacing.
func growth(failures int) time.Duration {
	return time.Duration(min(1<<min(max(failures, 1)-1, spacingGrowth), spacingGrowth))
}

// Spacing is the mean time from the start of one call to the start of the next, after so many failures in a row.
func (t Terms) Spacing(failures int) time.Duration {
	share := time.Duration(max(t.Dispatchers/aloneUpTo, 1))
	spacing := min(retrySpacing*share*growth(failures), t.Bound()/callsInBound)
	if t.AskEvery > 0 { // the longest that the spread makes of it is half as much again
		spacing = min(spacing, t.AskEvery*2/3)
	}
	return max(spacing, leastPause)
}

// reopenWithin is the longest pause after a call that took its whole spacing already. Watches that fell
// silent together are given up together: what the bound leaves beside two whole calls is there to spread
// those that follow.
func (t Terms) reopenWithin(result Result) time.Duration {
	if result != Silent {
		return retrySpacing
	}
	return max(t.Bound()-2*CallLimit, retrySpacing)
}

// Budget is how many calls a second all dispatchers together begin while discovery turns all of them away.
func (t Terms) Budget() float64 {
	return float64(max(t.Dispatchers, 1)) / t.Spacing(spacingGrowth).Seconds()
}

// AgentBeat is how often an agent that does not answer is called anew, beside the call that waits for it: it
// may return at any moment, the call that was open before may stay silent, and the grace of a drain runs from
// its return. Most of the grace is left for the answer, and for what is under way here.
func (t Terms) AgentBeat() time.Duration { return max(t.DrainGrace/callsInGrace, leastAgentCall) }

// Result says how a call to discovery has ended.
type Result int

// The results of a call.
const (
	// Read: it brought a list, or changes that apply to the one held.
	Read Result = iota
	// Answered: it brought anything else, as a refusal does. Discovery could be reached.
	Answered
	// Silent: it was given up for want of an answer.
	Silent
	// Broken: no connection came up, or it ended before an answer.
	Broken
)

// Schedule is one dispatcher's view of discovery. Its methods are for one goroutine; times must not decrease.
type Schedule struct {
	terms  Terms
	random *rand.Rand

	following bool          // the last call brought a list, and the next goes on from there
	begun     time.Duration // of the call under way, or the last one
	opened    bool          // that call did not go on from the one before
	failures  int           // in a row
	unread    time.Duration // from when on news may have been missed, if discovery could be reached
	reachable bool          // discovery has answered since the last list was read; unread stays
}

// New returns the schedule of a dispatcher that starts at now. What discovery had before counts as told from then on.
func New(now time.Duration, terms Terms, random *rand.Rand) *Schedule {
	return &Schedule{terms: terms, random: random, begun: now, unread: now}
}

// Terms are the terms in force.
func (s *Schedule) Terms() Terms { return s.terms }

// Begun is when the call under way, or the last one, began.
func (s *Schedule) Begun() time.Duration { return s.begun }

// Renew puts other terms in force.
func (s *Schedule) Renew(terms Terms) { s.terms = terms }

// Inherit goes on from a dispatcher in whose place this one starts, for which news may have been missed for
// so long, as [Schedule.Missed] says. It comes before the first call.
func (s *Schedule) Inherit(missed time.Duration) {
	if missed > 0 {
		s.unread, s.reachable = s.unread-missed, true
	}
}

// Missed is for how long news may have been missed although discovery could be reached; 0 if nothing shows
// that it could.
func (s *Schedule) Missed(now time.Duration) time.Duration {
	if !s.terms.Asked || !s.reachable {
		return 0
	}
	return now - s.unread
}

// First is how long to wait with a first call, also of a dispatcher that has been told of another address.
// Without a list there is nothing to wait with, and an agent on the own machine is called at once: its word
// counts from the first moment. Else all may be starting together.
func (s *Schedule) First(listKnown bool) time.Duration {
	if !listKnown || !s.terms.Asked || s.terms.Dispatchers < 2*aloneUpTo {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(s.terms.Spacing(spacingGrowth)) + 1))
}

// Begin notes that a call begins, and returns how long it may wait for news. Only one that goes on from the
// last answer waits: of any other it has to show at once whether it is answered.
func (s *Schedule) Begin(now time.Duration, listKnown bool) (wait time.Duration) {
	s.begun, s.opened = now, !s.following || !listKnown
	if s.opened {
		return 0
	}
	return WatchWait
}

// Moved notes that discovery is at another address from now on. What was not read by then stays unread.
func (s *Schedule) Moved() { s.following, s.failures = false, 0 }

// End notes how the call that began last has ended, and returns the pause before the next one. retryAfter is
// what a refusal asks for, 0 if nothing.
func (s *Schedule) End(now time.Duration, result Result, retryAfter time.Duration) time.Duration {
	s.following = result == Read
	if result == Read {
		s.failures, s.unread, s.reachable = 0, s.begun, false
		return 0
	}
	s.failures++
	switch {
	case s.reachable:
	case result == Answered:
		s.reachable = true
	case s.opened: // discovery could not be reached when this call began
		s.unread = s.begun
	}
	return s.pause(now, result, retryAfter)
}

func (s *Schedule) pause(now time.Duration, result Result, retryAfter time.Duration) time.Duration {
	if !s.terms.Asked {
		longest := min(retrySpacing*3/2*growth(s.failures), s.terms.AgentBeat())
		return s.spread(longest/2, longest)
	}
	spacing := s.terms.Spacing(s.failures)
	pause := s.begun + s.spread(spacing/2, spacing*3/2) - now
	pause = max(pause, s.spread(leastPause, min(s.terms.reopenWithin(result), spacing)))
	return max(pause, s.putOff(now, retryAfter, spacing))
}

// putOff is for how long a refusal may put off the next call. What it asks for is kept as long as that leaves
// time for a whole call before HoldAt; beyond that the budget of the fleet is what spares the service.
func (s *Schedule) putOff(now, retryAfter, spacing time.Duration) time.Duration {
	holdAt, _ := s.HoldAt()
	latest := holdAt - CallLimit - now
	if retryAfter <= 0 || latest <= 0 {
		return 0
	}
	// Those that were told the same at one moment come back at different ones.
	earliest := min(retryAfter, max(latest-spacing, 0))
	return s.spread(earliest, min(earliest+spacing, latest))
}

// spread draws a time between least and most.
func (s *Schedule) spread(least, most time.Duration) time.Duration {
	if most <= least {
		return most
	}
	return least + time.Duration(s.random.Int64N(int64(most-least)+1))
}

// HoldAt is the time from which on the list may not be relied on, and whether there is one.
func (s *Schedule) HoldAt() (at time.Duration, bounded bool) {
	if !s.terms.Asked || !s.reachable {
		return 0, false
	}
	return s.unread + s.terms.Bound(), true
}

// Held tells whether nothing new may be sent, as the list may not be relied on.
func (s *Schedule) Held(now time.Duration) bool {
	at, bounded := s.HoldAt()
	return bounded && now >= at
}
