package configlog

import "fmt"

// LinkDelays holds the assumed maximum one-way network delays in microseconds. Only DelayBounds depends on them.
type LinkDelays struct {
	BetweenRegions int64
	WithinRegion   int64
}

// DelayBounds holds the maximum delay of a change in microseconds, from the request until it has taken effect at a
// member that can be reached. Commit and Push always apply; each of the others is the additional delay that one fault
// causes.
type DelayBounds struct {
	Commit          int64 // until a majority of origins has stored the change, if there is a leader
	Push            int64 // from the commit to the last level, by push
	LostPush        int64 // the pushes of both parents to a member are lost: the next digest shows the revision
	DeadParents     int64 // both parents of a member have just died: it asks a fallback parent
	IsolatedParents int64 // both parents have just lost contact with the leader but still send: as for DeadParents
	LeaderLoss      int64 // the leader fails during the change, and the first election finds another
	SilentFallback  int64 // a fallback parent does not answer, or is overloaded; doubles for each further one
}

// NewDelayBounds computes the bounds for a topology of a depth.
func NewDelayBounds(timing Timing, depth int, delays LinkDelays) DelayBounds {
	downDelay := int64(depth-1) * delays.WithinRegion
	// A subscription takes four messages: Pull with Subscribe, Digest, Pull, Deltas.
	subscribeDelay := int64(MaxTickInterval) + 4*max(delays.BetweenRegions, delays.WithinRegion)
	return DelayBounds{
		Commit: 3 * delays.BetweenRegions,           // to the leader, to another origin and back
		Push:   2*delays.BetweenRegions + downDelay, // to another origin, to a head, down the levels
		LostPush: timing.DigestInterval + MaxTickInterval + 2*delays.BetweenRegions +
			2*delays.WithinRegion + downDelay,
		DeadParents:     timing.SourceTimeout + subscribeDelay,
		IsolatedParents: timing.SourceTimeout + timing.DigestInterval/2 + subscribeDelay,
		// Three round trips: PreVote, Prepare and Accept.
		LeaderLoss: 2*timing.ElectionTimeout + timing.RetryInterval + 2*MaxTickInterval +
			6*delays.BetweenRegions,
		SilentFallback: 2 * timing.PullTimeout,
	}
}

// Formulas returns each bound as a text with its formula and its value in milliseconds.
func (b DelayBounds) Formulas() []string {
	line := func(name, formula string, value int64) string {
		return fmt.Sprintf("%s <= %s = %.0f ms", name, formula, float64(value)/1000)
	}
	return []string{
		line("commit", "3 far", b.Commit),
		line("push", "2 far + (depth - 1) near", b.Push),
		line("lost at both parents", "digest + tick + 2 far + (depth + 1) near", b.LostPush),
		line("both parents dead", "silent after + tick + 4 far", b.DeadParents),
		line("both parents stuck", "silent after + digest / 2 + tick + 4 far", b.IsolatedParents),
		line("leader lost", "2 campaign + retry + 2 tick + 6 far", b.LeaderLoss),
		line("a substitute that is silent", "2 pull timeout, doubled for each further one", b.SilentFallback),
	}
}

// WorstCase returns the longest delay with a single fault.
func (b DelayBounds) WorstCase() int64 {
	return b.Commit + b.Push + max(b.LostPush, b.DeadParents, b.IsolatedParents, b.LeaderLoss)
}
