// Package refresh decides when a dispatcher calls discovery for the list of workers, how long it waits for the answer,
// and how long it may use the list that it has. It does no I/O and reads no clock: times are durations since a moment
// that the caller chooses, and randomness comes from a source that the caller seeds.
//
// A call either opens a watch or continues one. Continuing is a long poll: the call names the list that the dispatcher
// has and waits for changes.
//
// # The staleness bound
//
// By the protocol, a dispatcher counts as notified of a change [NotifiedAfter] after discovery had the change and could
// be reached, whether or not the dispatcher has read it. A dispatcher that must poll for its list therefore uses the
// list until
//
//	StaleAt = unreadSince + min(NotifiedAfter, 4 * AskEvery)
//
// where unreadSince is the earliest time at which discovery may have had an unread change and could have been reached.
// That is the start of the last call that brought a list or, if later calls that opened a watch showed that discovery
// could not be reached, the start of the last of these. Any answer except a refusal shows that discovery could be
// reached; unreadSince then stays until a list is read. Timeouts, failed connections and refusals are what a service
// that is down shows, and the list stays in use while they last: after a call without an answer the next call starts so
// early that its failure moves StaleAt on in time. A refusal shows that discovery could not be reached up to then, but
// not that it cannot be reached from then on: unreadSince is the time of the refusal, and the next call starts within
// the staleness bound. From StaleAt until the next list is read, nothing new may be sent to any worker; this period is
// called a hold. The grace period of a drain begins at StaleAt and is left to the requests that are in progress then.
//
// A refusal for lack of capacity, as when calls queue and fail after waiting too long, cannot be distinguished from a
// refusal by a service that is down. Holding new requests after such a refusal would leave clients without service
// while discovery is down. Using the list may send requests to a worker whose drain this dispatcher could not read for
// longer than the bound. [Settings.HoldOnRefusal] says that discovery refuses only for lack of capacity: a refusal
// after a wait then shows that discovery could be reached. An immediate refusal never shows that.
//
// What discovery has counts as told earlier after two events: [HandoverBound] after a process that has replaced another
// one is ready, and [MoveBound] after discovery's address has changed. [Schedule.CountsWithin] moves unreadSince back
// accordingly.
//
// # Two processes of one dispatcher
//
// While one process replaces another, both are one dispatcher, and what either has read binds both. Each sends the
// other what it reads, and [Schedule.Adopt] takes it. Where calls are spread, only one of them calls discovery: the
// predecessor until it leaves, and then the successor, which continues its watch once the predecessor's call in
// progress has been answered. Continuing costs discovery nothing, however many dispatchers are replaced at once. A
// process that follows the other's watch calls for itself if it hears nothing for [Settings.FollowTimeout], or if the
// other process ends.
//
// # The call budget of the fleet
//
// Discovery is one service of fixed capacity for all dispatchers. A call that it refuses after a wait has used capacity
// all the same, so calls beyond its capacity bring fewer lists. Continuing a watch costs discovery nothing. Apart from
// that, a dispatcher starts a call every [Settings.Spacing] on average, so that all dispatchers together start at most
// [Settings.Budget] calls a second: in a large fleet each starts one in every [Settings.Interval], and half as many
// once discovery has refused calls after a wait and the list is on hold. Random delays spread the calls: a first call,
// and the first one after a watch broke, over one spacing, each further one by a sixth of it either way. Calls follow
// sooner where the staleness bound requires it: while discovery does not answer, and after a first refusal. So a list
// that stays in use is asked for once in at most the staleness bound, whatever the load on discovery: one that serves
// fewer calls than that, and whose capacity is used up by those that it refuses, recovers only with HoldOnRefusal.
//
// Where lists are pushed, the agent on the dispatcher's own machine answers at once and at no cost: no budget applies,
// and the list never becomes stale.
package refresh

import (
	"math/rand/v2"
	"time"
)

// Result is the way in which a call to discovery ended.
type Result int

// The results of a call.
const (
	// Read means that the call brought a list, or changes that apply to the current one.
	Read Result = iota
	// UnusableAnswer means that the answer is neither a list nor changes that apply. Discovery could be reached.
	UnusableAnswer
	// TimedOut means that the call was abandoned without an answer.
	TimedOut
	// ConnectionFailed means that no connection came up, or that it ended before an answer.
	ConnectionFailed
	// Refused means that discovery answered with a refusing status. [Settings.HoldOnRefusal] says what that shows.
	Refused
)

// Schedule decides when one dispatcher calls discovery, and how long its list may be used. It is not safe for
// concurrent use; times must not decrease.
type Schedule struct {
	settings Settings
	random   *rand.Rand

	watching    bool          // the last call brought a list, and the next continues the watch
	callStart   time.Duration // start of the call in progress, or of the last one
	isNewWatch  bool          // that call opened a watch
	failures    int           // consecutive
	overloaded  bool          // discovery has refused a call after a wait since the last list was read
	unreadSince time.Duration // from when on changes may have been missed
	reachable   bool          // discovery has answered since the last list was read; unreadSince stays
}

// New returns the schedule of a dispatcher that starts at now. Changes that discovery had before count as unread from
// now on.
func New(now time.Duration, settings Settings, random *rand.Rand) *Schedule {
	return &Schedule{settings: settings, random: random, callStart: now, unreadSince: now}
}

// Settings returns the current settings.
func (s *Schedule) Settings() Settings { return s.settings }

// CallStart returns when the call in progress, or the last one, started.
func (s *Schedule) CallStart() time.Duration { return s.callStart }

// Configure replaces the settings.
func (s *Schedule) Configure(settings Settings) { s.settings = settings }

// Unread is the handover state of a schedule: what a predecessor has not read. Its fields are part of the handover
// format, which matches them by name.
type Unread struct {
	For       time.Duration // how long changes may have been missed
	Reachable bool          // discovery has answered in that time
}

// Unread returns the handover state at now.
func (s *Schedule) Unread(now time.Duration) Unread { return Unread{now - s.unreadSince, s.reachable} }

// Inherit takes over the state of a predecessor. It must be called before the first call begins.
func (s *Schedule) Inherit(unread Unread) {
	s.unreadSince, s.reachable = s.unreadSince-max(unread.For, 0), unread.Reachable
}

// Adopt records at now that another process of this dispatcher has the same list, and what is unread there.
func (s *Schedule) Adopt(now time.Duration, unread Unread) {
	if since := now - max(unread.For, 0); since >= s.unreadSince {
		s.unreadSince, s.reachable = since, unread.Reachable
	}
}

// Continue records that the next call continues a watch that another process of this dispatcher has passed on.
func (s *Schedule) Continue() { s.watching, s.failures, s.overloaded = true, 0, false }

// IsWatching reports whether the last call brought a list, or the next one continues a watch that was passed on.
func (s *Schedule) IsWatching() bool { return s.watching }

// Passed records that another process of this dispatcher continues the watch.
func (s *Schedule) Passed() { s.watching, s.failures = false, 0 }

// CountsWithin records at now that what discovery has counts as told within a time from now on.
func (s *Schedule) CountsWithin(now, within time.Duration) {
	s.unreadSince = min(s.unreadSince, now+within-s.settings.StalenessBound())
}

// FirstDelay returns how long to wait from now on before the first call, also after discovery's address has changed, or
// when a process is ready that has replaced another and follows none. A dispatcher without a list calls at once, and
// so does one with an agent on its own machine, as it counts as notified by the agent from the start. Otherwise the
// delay is random, because all dispatchers may be starting together, and leaves a prompt answer time within the
// staleness bound, however often the address changes meanwhile.
func (s *Schedule) FirstDelay(now time.Duration, listKnown bool) time.Duration {
	if !listKnown || !s.settings.spreadsCalls() {
		return 0
	}
	longest := s.settings.Spacing(maxSpacingFactor, false)
	if !s.IsStale(now) {
		longest = min(longest, s.unreadSince+s.settings.Interval()-now)
	}
	return s.randomBetween(0, longest)
}

// Begin records the start of a call and returns how long it may wait for changes. Only a call that continues a watch
// waits: any other must show at once whether discovery answers. Where calls are spread, the list by default does not
// become stale before such a call has ended, as it may show that discovery cannot be reached.
func (s *Schedule) Begin(now time.Duration, listKnown bool) (wait time.Duration) {
	s.callStart, s.isNewWatch = now, !s.watching || !listKnown
	if !s.isNewWatch {
		return s.settings.WatchWait()
	}
	mayShowOutage := !s.settings.HoldOnRefusal && !s.reachable
	if mayShowOutage && s.settings.spreadsCalls() && !s.IsStale(now) {
		s.unreadSince += max(now-s.latestStart(), 0)
	}
	return 0
}

// AddressChanged records at now that discovery's address has changed. Changes that were unread stay unread.
func (s *Schedule) AddressChanged(now time.Duration) {
	s.watching, s.failures = false, 0
	s.CountsWithin(now, MoveBound)
}

// End records how the last call ended and returns the delay before the next one. retryAfter is the delay that a refusal
// asks for, or 0.
func (s *Schedule) End(now time.Duration, result Result, retryAfter time.Duration) time.Duration {
	s.watching = result == Read
	if result == Read {
		s.failures, s.overloaded, s.unreadSince, s.reachable = 0, false, s.callStart, false
		return 0
	}
	s.failures++
	refusedAfterWait := result == Refused && s.isNewWatch && now-s.callStart >= minQueueWait
	s.overloaded = s.overloaded || refusedAfterWait
	switch {
	case s.reachable:
	case result == UnusableAnswer || refusedAfterWait && s.settings.HoldOnRefusal:
		s.reachable = true
	case result == Refused && !s.settings.HoldOnRefusal: // discovery could not be reached up to now
		s.unreadSince = now
	case s.isNewWatch: // discovery could not be reached when this call started
		s.unreadSince = s.callStart
	}
	switch {
	case !s.settings.Polled:
		longest := min(retrySpacing*3/2*spacingFactor(s.failures), s.settings.AgentRetryInterval())
		return s.randomBetween(longest/2, longest)
	case s.reachable:
		return s.budgetedDelay(now, retryAfter)
	case result == Refused:
		return s.refusedDelay(now, retryAfter)
	default: // the next call must show before StaleAt whether it is answered
		return s.randomBetween(minPause, min(s.settings.Spacing(s.failures, s.overloaded), s.latestStart()-now))
	}
}

// latestStart returns the latest start of a call that ends before the list becomes stale, however it ends.
func (s *Schedule) latestStart() time.Duration {
	staleAt, _ := s.StaleAt()
	return staleAt - s.settings.CallTimeout() - timerSlack
}

// refusedDelay returns the delay after a refusal that does not show whether discovery could be reached. Discovery has
// answered, so there is no need for haste. But it may have been reachable since the call started, so that even an
// overloaded one is called again within the staleness bound: early enough for a slow answer after a first refusal, and
// only for a prompt one after several in a row, which a lack of capacity would explain.
func (s *Schedule) refusedDelay(now, retryAfter time.Duration) time.Duration {
	spacing := s.settings.Spacing(s.failures, s.overloaded)
	latest := s.latestStart()
	if s.failures > 1 && !s.settings.HoldOnRefusal {
		latest = max(latest, s.callStart+s.settings.StalenessBound()-timerSlack)
	}
	longest := min(spacing, latest-now)
	shortest := longest - longest/refusedSpread
	if !s.isNewWatch { // all watches may break at the same moment
		shortest = minPause
	}
	return max(s.randomBetween(shortest, longest), min(s.retryAfterDelay(now, retryAfter, spacing), latest-now))
}

// budgetedDelay returns the delay that keeps to the call budget of the fleet.
func (s *Schedule) budgetedDelay(now, retryAfter time.Duration) time.Duration {
	spacing := s.settings.Spacing(s.failures, s.overloaded)
	if !s.isNewWatch { // all watches may break at the same moment
		return max(s.randomBetween(minPause, spacing), s.retryAfterDelay(now, retryAfter, spacing))
	}
	pause := max(s.callStart+s.randomBetween(spacing*5/6, spacing*7/6)-now,
		s.randomBetween(minPause, min(retrySpacing, spacing)))
	return max(pause, s.retryAfterDelay(now, retryAfter, spacing))
}

// retryAfterDelay returns how long a refusal may delay the next call. The requested delay is kept as long as it leaves
// time for a whole call before StaleAt; beyond that the call budget of the fleet limits the load on discovery.
func (s *Schedule) retryAfterDelay(now, retryAfter, spacing time.Duration) time.Duration {
	staleAt, _ := s.StaleAt()
	latest := staleAt - s.settings.CallTimeout() - now
	if retryAfter <= 0 || latest <= 0 {
		return 0
	}
	// Dispatchers that were given the same delay at the same moment return at different times.
	earliest := min(retryAfter, max(latest-spacing, 0))
	return s.randomBetween(earliest, min(earliest+spacing, latest))
}

// randomBetween returns a random time from minimum to maximum.
func (s *Schedule) randomBetween(minimum, maximum time.Duration) time.Duration {
	if maximum <= minimum {
		return minimum
	}
	return minimum + time.Duration(s.random.Int64N(int64(maximum-minimum)+1))
}

// StaleAt returns the time from which on the list must not be used. bounded is false if there is none.
func (s *Schedule) StaleAt() (at time.Duration, bounded bool) {
	if !s.settings.Polled {
		return 0, false
	}
	return s.unreadSince + s.settings.StalenessBound(), true
}

// IsStale reports whether the list must not be used, so that nothing new may be sent.
func (s *Schedule) IsStale(now time.Duration) bool {
	at, bounded := s.StaleAt()
	return bounded && now >= at
}
