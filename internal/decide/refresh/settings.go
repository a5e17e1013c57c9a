package refresh

import "time"

const (
	// NotifiedAfter is the time after which the protocol counts a dispatcher as notified of what discovery has.
	NotifiedAfter = 6 * time.Second
	// HandoverBound is the time after which a process that has replaced another counts as notified of what
	// discovery has, from the moment on in which it is ready.
	HandoverBound = 2 * time.Second
	// MoveBound is the same time after discovery's address has changed.
	MoveBound = 4 * time.Second
	// MaxPassTimeout is how long a process that leaves waits for the end of its call in progress, to pass its watch
	// on to its successor.
	MaxPassTimeout = watchWait + passSlack
	// HeartbeatInterval is how often a process that calls discovery gives a sign to another one that follows its watch.
	HeartbeatInterval = 50 * time.Millisecond
	// AnswerGrace is how long an agent that pushes lists may take to answer beyond the wait of a watch.
	AnswerGrace = 1500 * time.Millisecond

	watchWait   = time.Second             // short, as a dispatcher soon counts as notified after a silent watch
	callTimeout = watchWait + AnswerGrace // a polling call may have to queue

	// askEveryMultiple is the multiple of AskEvery after which the protocol counts a dispatcher as notified where
	// calls fail.
	askEveryMultiple = 4

	retrySpacing         = 100 * time.Millisecond // of a single dispatcher; its watch continues within 200 ms
	maxSpacingFactor     = 4                      // by which consecutive failures may lengthen retrySpacing
	maxSmallFleet        = 4                      // up to this number, each dispatcher calls as if it were alone
	minQueueWait         = 500 * time.Millisecond // a refusal after this time came from a queue at full capacity
	passSlack            = 250 * time.Millisecond // for the answer to a call whose wait is over
	maxFollowTimeout     = 400 * time.Millisecond
	minFollowTimeout     = 2 * HeartbeatInterval
	followedAnswerTime   = 100 * time.Millisecond // for a call that replaces a watch that gives no sign
	timerSlack           = 100 * time.Millisecond // by which a call starts earlier than the bound requires
	minPause             = 5 * time.Millisecond   // between a failed call and the next
	refusedSpread        = 20                     // of the delay after a refusal, the last 20th is random
	agentCallsPerGrace   = 4                      // to an unresponsive agent within the grace period of a drain
	minAgentCallInterval = 10 * time.Millisecond  // between calls to such an agent, however short the grace period is
)

// Settings are the settings for calls to discovery.
type Settings struct {
	Dispatchers int           // how many share discovery
	Polled      bool          // lists come only in answer to calls; otherwise an agent pushes them
	DrainGrace  time.Duration // in which sends to a draining worker must cease
	AskEvery    time.Duration // longest time between calls that discovery asks for if polled; 0 if it is not set

	// HoldOnRefusal says that discovery refuses calls only for lack of capacity: a call that was refused after queueing
	// then shows that discovery could be reached.
	HoldOnRefusal bool
}

// StalenessBound is how long the list is used once discovery may have had a change and could be reached.
func (s Settings) StalenessBound() time.Duration {
	if s.AskEvery <= 0 {
		return NotifiedAfter
	}
	return min(NotifiedAfter, askEveryMultiple*s.AskEvery)
}

// spacingFactor returns the factor by which consecutive failures lengthen the spacing.
func spacingFactor(failures int) time.Duration {
	return time.Duration(min(1<<min(max(failures, 1)-1, maxSpacingFactor), maxSpacingFactor))
}

// scaleToBound scales a time that is meant for a bound of NotifiedAfter to the staleness bound of the settings.
func (s Settings) scaleToBound(d time.Duration) time.Duration {
	if !s.Polled {
		return d
	}
	return time.Duration(float64(d) * s.StalenessBound().Seconds() / NotifiedAfter.Seconds())
}

// WatchWait is how long a watch may wait for changes.
func (s Settings) WatchWait() time.Duration { return s.scaleToBound(watchWait) }

// CallTimeout is the time after which a call is abandoned. Two call timeouts fit into the staleness bound.
func (s Settings) CallTimeout() time.Duration { return s.scaleToBound(callTimeout) }

// Interval is the time in which each dispatcher of a large fleet may start one call. The calls of the fleet then come
// at half the rate that the contract obliges discovery to serve, and an answer still arrives within the staleness
// bound.
func (s Settings) Interval() time.Duration {
	interval := s.StalenessBound() * 5 / 6
	if s.AskEvery > 0 {
		interval = min(interval, s.AskEvery/2)
	}
	return max(interval, minPause)
}

// Spacing is the mean time from the start of one call to the start of the next after a number of consecutive failures.
// An overloaded discovery is called half as often.
func (s Settings) Spacing(failures int, overloaded bool) time.Duration {
	smallFleets := time.Duration(s.Dispatchers / maxSmallFleet)
	switch {
	case smallFleets <= 1:
		return min(retrySpacing*spacingFactor(failures), s.Interval())
	case overloaded:
		return min(retrySpacing*maxSpacingFactor*smallFleets, 2*s.Interval())
	}
	return min(retrySpacing*maxSpacingFactor*smallFleets, s.Interval())
}

// PassesWatch reports whether a successor follows its predecessor's watch, until that passes it on. Otherwise each of
// the two calls discovery for itself.
func (s Settings) PassesWatch() bool { return s.spreadsCalls() }

// FollowTimeout is how long a process that follows the watch of another one waits for a sign of it before it calls
// discovery itself. What the other was told and could not pass on is then read within the grace period of a drain,
// unless that is shorter than 200 ms.
func (s Settings) FollowTimeout() time.Duration {
	return min(max(s.DrainGrace-followedAnswerTime, minFollowTimeout), maxFollowTimeout)
}

// spreadsCalls reports whether random delays spread the calls of the dispatchers.
func (s Settings) spreadsCalls() bool { return s.Polled && s.Dispatchers >= 2*maxSmallFleet }

// Budget is how many calls a second all dispatchers together start while discovery refuses all of them, apart from the
// calls that the staleness bound requires earlier.
func (s Settings) Budget() float64 {
	return float64(max(s.Dispatchers, 1)) / s.Spacing(maxSpacingFactor, false).Seconds()
}

// AgentRetryInterval is how often an agent that does not answer is called again, beside the call that still waits for
// it. The agent may return at any moment, the earlier call may never be answered, and the grace period of a drain runs
// from the agent's return. Most of the grace period is left for the answer and for requests in progress.
func (s Settings) AgentRetryInterval() time.Duration {
	return max(s.DrainGrace/agentCallsPerGrace, minAgentCallInterval)
}
