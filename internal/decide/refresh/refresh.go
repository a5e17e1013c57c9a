// Package refresh decides when a dispatcher calls discovery for the list of workers, how long it waits for
// the answer, and for how long it may rely on the list that it has. It does no I/O and reads no clock: the
// time comes in, as a duration since any fixed moment, and chance comes from a source that the caller seeds.
//
// # The bound on staleness
//
// What discovery has counts as told [Told] after discovery had it and could be reached, whether or not it was read. A
// dispatcher that must ask for its list therefore relies on it until
//
//	HoldAt = unread + min(Told, 4 * AskEvery)
//
// where unread is the earliest time at which discovery may have had something that was not read, and could have been
// reached: the start of the last call that brought a list or, if calls that were opened after it showed that discovery
// could not be reached, the start of the last of these. Any answer but a refusal shows that it could; from then on
// unread stays until a list is read. Silence, broken connections and refusals are what a service that is down shows,
// and the list is relied on for as long as they last: each call after one without an answer is made so early that its
// failure moves HoldAt on in time, and after a refusal the next call decides. From HoldAt to the next list that is
// read, nothing new may be sent to any worker. The grace of a drain begins at HoldAt and is left to what is under way
// then.
//
// A refusal for want of room, as when calls wait for their turn and fail when they have waited too long, cannot be
// told from one of a service that is down. To hold back for it would leave clients without service for as long as
// discovery is down; to rely on the list may send to a worker whose drain this dispatcher could not read for longer
// than the bound. Where discovery refuses only for want of room, [Terms.HoldOnRefusal] says so: a refusal after a wait
// then shows that it could be reached, and one at once still does not.
//
// # The budget of the fleet
//
// Discovery is one service of fixed room for all dispatchers. What it turns away after a wait has taken room
// all the same, so that more calls than it has room for bring fewer lists. Outside a watch that goes on,
// which costs it nothing, one dispatcher begins a call every [Terms.Spacing] on the mean, so that all of them
// together begin at most [Terms.Budget] calls a second: among many, one each in every [Terms.Interval], and
// half of that once discovery has turned calls away after a wait. Chance spreads them: a first call, and the
// first one after a watch broke, over one spacing, each further one over a sixth of it either way. Only while
// discovery does not answer do calls follow sooner.
//
// Where lists are pushed, the agent on the own machine answers at once and at no cost: there is no budget to
// keep, and the list is always relied on.
package refresh

import (
	"math/rand/v2"
	"time"
)

const (
	// NotifiedAfter is the time after which what discovery has counts as told, by the protocol.
	NotifiedAfter = 6 * time.Second
	// AnswerGrace is what an agent that pushes lists gets beyond the wait of a watch.
	AnswerGrace = 1500 * time.Millisecond

	watchWait = time.Second             // for news; a silent watch counts as told soon after that
	callLimit = watchWait + AnswerGrace // a call that is asked for may wait for its turn

	// failedAskEvery is the multiple of AskEvery after which a change counts as told where calls fail, by the
	// protocol.
	failedAskEvery = 4

	retrySpacing   = 100 * time.Millisecond // of a lone dispatcher; a watch goes on within 200 ms
	spacingGrowth  = 4                      // by which failures in a row may lengthen the spacing
	aloneUpTo      = 4                      // so many dispatchers may call as if each were alone
	longWait       = 500 * time.Millisecond // a refusal after it shows a line of calls, and no room for more
	timerSlack     = 100 * time.Millisecond // by which a call is made earlier than the bound wants it
	leastPause     = 5 * time.Millisecond   // between a call that has failed and the next
	callsInGrace   = 4                      // within the grace of a drain, to an agent that does not answer
	leastAgentCall = 10 * time.Millisecond  // between calls to such an agent, however short the grace is
)

// Settings are what the settings say of discovery.
type Settings struct {
	Dispatchers int           // that share it
	Polled      bool          // lists come only when they are asked for
	DrainGrace  time.Duration // in which sends to a worker that drains must cease
	AskEvery    time.Duration // where it must be asked: how often, at least; 0 if that is not said

	// HoldOnRefusal says that discovery turns calls away only for want of room: one that was turned away after a wait
	// for its turn then shows that discovery could be reached.
	HoldOnRefusal bool
}

// StalenessBound is for how long the list is relied on once discovery may have had news and could be reached.
func (t Settings) StalenessBound() time.Duration {
	if t.AskEvery <= 0 {
		return NotifiedAfter
	}
	return min(NotifiedAfter, failedAskEvery*t.AskEvery)
}

// growth is by how much so many failures in a row lengthen the spacing.
func growth(failures int) time.Duration {
	return time.Duration(min(1<<min(max(failures, 1)-1, spacingGrowth), spacingGrowth))
}

// ofBound is the part of the bound that a time has of Told.
func (t Settings) ofBound(d time.Duration) time.Duration {
	if !t.Polled {
		return d
	}
	return time.Duration(float64(d) * t.StalenessBound().Seconds() / NotifiedAfter.Seconds())
}

// WatchWait is how long a watch may wait for news.
func (t Settings) WatchWait() time.Duration { return t.ofBound(watchWait) }

// CallTimeout is the time after which a call is given up. Two of them fit into the bound.
func (t Settings) CallTimeout() time.Duration { return t.ofBound(callLimit) }

// Interval is the time in which each of many dispatchers may begin one call: half of what the contract says that
// discovery must bear, and short enough for an answer within the bound.
func (t Settings) Interval() time.Duration {
	interval := t.StalenessBound() * 5 / 6
	if t.AskEvery > 0 {
		interval = min(interval, t.AskEvery/2)
	}
	return max(interval, leastPause)
}

// Spacing is the mean time from the start of one call to the start of the next, after so many failures in a row. A
// discovery that has shown that it has no room is called half as often.
func (t Settings) Spacing(failures int, noRoom bool) time.Duration {
	share := time.Duration(t.Dispatchers / aloneUpTo)
	switch {
	case share <= 1:
		return min(retrySpacing*growth(failures), t.Interval())
	case noRoom:
		return min(retrySpacing*spacingGrowth*share, 2*t.Interval())
	}
	return min(retrySpacing*spacingGrowth*share, t.Interval())
}

// Budget is how many calls a second all dispatchers together begin while discovery turns all of them away.
func (t Settings) Budget() float64 {
	return float64(max(t.Dispatchers, 1)) / t.Spacing(spacingGrowth, false).Seconds()
}

// AgentRetryInterval is how often an agent that does not answer is called anew, beside the call that waits for it: it
// may return at any moment, the call that was open before may stay silent, and the grace of a drain runs from
// its return. Most of the grace is left for the answer, and for what is under way here.
func (t Settings) AgentRetryInterval() time.Duration {
	return max(t.DrainGrace/callsInGrace, leastAgentCall)
}

// Result says how a call to discovery has ended.
type Result int

// The results of a call.
const (
	// Read: it brought a list, or changes that apply to the one held.
	Read Result = iota
	// Answered: it brought what is no list that applies. Discovery could be reached.
	UnusableAnswer
	// Silent: it was given up for want of an answer.
	TimedOut
	// Broken: no connection came up, or it ended before an answer.
	ConnectionFailed
	// Refused: it was turned away by a status. What that shows is for [Terms.HoldOnRefusal] to say.
	Refused
)

// Schedule is one dispatcher's view of discovery. Its methods are for one goroutine; times must not decrease.
type Schedule struct {
	terms  Settings
	random *rand.Rand

	following bool          // the last call brought a list, and the next goes on from there
	begun     time.Duration // of the call under way, or the last one
	opened    bool          // that call did not go on from the one before
	failures  int           // in a row
	noRoom    bool          // discovery has turned a call away after a wait, since the last list was read
	unread    time.Duration // from when on news may have been missed
	reachable bool          // discovery has answered since the last list was read; unread stays
}

// New returns the schedule of a dispatcher that starts at now. What discovery had before counts as told from then on.
func New(now time.Duration, terms Settings, random *rand.Rand) *Schedule {
	return &Schedule{terms: terms, random: random, begun: now, unread: now}
}

// Settings are the terms in force.
func (s *Schedule) Settings() Settings { return s.terms }

// CallStart is when the call under way, or the last one, began.
func (s *Schedule) CallStart() time.Duration { return s.begun }

// Configure puts other terms in force.
func (s *Schedule) Configure(terms Settings) { s.terms = terms }

// Unread says what one dispatcher has not read, for another that takes its place.
type Unread struct {
	For       time.Duration // how long news may have been missed
	Reachable bool          // discovery has answered meanwhile
}

// Unread is what has not been read at now.
func (s *Schedule) Unread(now time.Duration) Unread { return Unread{now - s.unread, s.reachable} }

// Inherit goes on from a dispatcher in whose place this one starts. It comes before the first call.
func (s *Schedule) Inherit(u Unread) {
	s.unread, s.reachable = s.unread-max(u.For, 0), u.Reachable
}

// FirstDelay is how long to wait with a first call, also of a dispatcher that has been told of another address.
// Without a list there is nothing to wait with, and an agent on the own machine is called at once: its word
// counts from the first moment. Else all may be starting together.
func (s *Schedule) FirstDelay(listKnown bool) time.Duration {
	if !listKnown || !s.terms.Polled || s.terms.Dispatchers < 2*aloneUpTo {
		return 0
	}
	wait := s.spread(0, s.terms.Spacing(spacingGrowth, false))
	if !s.terms.HoldOnRefusal { // the first call has to end before its refusal shows that nothing is to be held back
		s.unread += wait
	}
	return wait
}

// Begin notes that a call begins, and returns how long it may wait for news. Only one that goes on from the
// last answer waits: of any other it has to show at once whether it is answered.
func (s *Schedule) Begin(now time.Duration, listKnown bool) (wait time.Duration) {
	s.begun, s.opened = now, !s.following || !listKnown
	if s.opened {
		return 0
	}
	return s.terms.WatchWait()
}

// AddressChanged notes that discovery is at another address from now on. What was not read by then stays unread.
func (s *Schedule) AddressChanged() { s.following, s.failures = false, 0 }

// End notes how the call that began last has ended, and returns the pause before the next one. retryAfter is
// what a refusal asks for, 0 if nothing.
func (s *Schedule) End(now time.Duration, result Result, retryAfter time.Duration) time.Duration {
	s.following = result == Read
	if result == Read {
		s.failures, s.noRoom, s.unread, s.reachable = 0, false, s.begun, false
		return 0
	}
	s.failures++
	turnedAway := result == Refused && s.opened && now-s.begun >= longWait
	s.noRoom = s.noRoom || turnedAway
	switch {
	case s.reachable:
	case result == UnusableAnswer || turnedAway && s.terms.HoldOnRefusal:
		s.reachable = true
	case s.opened: // discovery could not be reached when this call began
		s.unread = s.begun
	}
	if s.reachable || !s.terms.Polled || result != Refused || s.terms.HoldOnRefusal {
		return s.pause(now, result, retryAfter)
	}
	// It answers, and so there is no haste; and it shows no more of itself before the next call.
	pause := s.paced(now, retryAfter)
	s.unread = max(s.unread, now+pause)
	return pause
}

func (s *Schedule) pause(now time.Duration, result Result, retryAfter time.Duration) time.Duration {
	if !s.terms.Polled {
		longest := min(retrySpacing*3/2*growth(s.failures), s.terms.AgentRetryInterval())
		return s.spread(longest/2, longest)
	}
	if !s.reachable { // whether the next call is answered has to show before HoldAt
		spacing := s.terms.Spacing(s.failures, s.noRoom)
		holdAt, _ := s.StaleAt()
		longest := min(spacing, holdAt-s.terms.CallTimeout()-timerSlack-now)
		if result == Refused && s.opened { // it has answered: there is no haste
			return max(s.spread(longest*5/6, longest), min(s.putOff(now, retryAfter, spacing), longest))
		}
		return s.spread(leastPause, longest)
	}
	return s.paced(now, retryAfter)
}

// paced is the pause that keeps to the budget of the fleet.
func (s *Schedule) paced(now, retryAfter time.Duration) time.Duration {
	spacing := s.terms.Spacing(s.failures, s.noRoom)
	if !s.opened { // watches that break may all break in one moment
		return max(s.spread(leastPause, spacing), s.putOff(now, retryAfter, spacing))
	}
	pause := max(s.begun+s.spread(spacing*5/6, spacing*7/6)-now, s.spread(leastPause, min(retrySpacing, spacing)))
	return max(pause, s.putOff(now, retryAfter, spacing))
}

// putOff is for how long a refusal may put off the next call. What it asks for is kept as long as that leaves
// time for a whole call before HoldAt; beyond that the budget of the fleet is what spares the service.
func (s *Schedule) putOff(now, retryAfter, spacing time.Duration) time.Duration {
	holdAt, _ := s.StaleAt()
	latest := holdAt - s.terms.CallTimeout() - now
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
		return least
	}
	return least + time.Duration(s.random.Int64N(int64(most-least)+1))
}

// StaleAt is the time from which on the list may not be relied on, and whether there is one.
func (s *Schedule) StaleAt() (at time.Duration, bounded bool) {
	if !s.terms.Polled {
		return 0, false
	}
	return s.unread + s.terms.StalenessBound(), true
}

// IsStale tells whether nothing new may be sent, as the list may not be relied on.
func (s *Schedule) IsStale(now time.Duration) bool {
	at, bounded := s.StaleAt()
	return bounded && now >= at
}
