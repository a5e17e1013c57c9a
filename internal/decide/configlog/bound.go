package configlog

import "fmt"

// LinkDelays are the longest delays that are reckoned with, one way, in microseconds. Nothing but the Bounds rests on them.
type LinkDelays struct {
	BetweenRegions int64 // between regions
	WithinRegion   int64 // within one
}

// DelayBounds say how long a change takes at most, in microseconds, from the asking until it is in force at a member that
// can be reached. The others come on top of the first two: each is for one fault on the way to that member.
type DelayBounds struct {
	Commit          int64 // until a majority of origins has stored it, where there is a leader
	Push            int64 // from there to the lowest level, by push
	LostPush        int64 // a push that both parents of a member have sent is lost: the next digest tells
	DeadParents     int64 // both parents of a member have just died: a substitute is asked
	IsolatedParents int64 // both parents of a member are just cut off, and still send: no heartbeat of the leader comes by them
	LeaderLoss      int64 // the leader is lost with the change under way, and another is found at the first campaign
	SilentFallback  int64 // a substitute does not answer, or is overloaded; the next one that does not costs twice as much
}

// NewDelayBounds works out the bounds for a topology's depth.
func NewDelayBounds(t Timing, depth int, l LinkDelays) DelayBounds {
	down := int64(depth-1) * l.WithinRegion
	ask := int64(MaxTickInterval) + 4*max(l.BetweenRegions, l.WithinRegion) // ask, be told, pull, have
	return DelayBounds{
		Commit:          3 * l.BetweenRegions,      // to the leader, to another origin and back
		Push:            2*l.BetweenRegions + down, // to another origin, to a head, down
		LostPush:        t.DigestInterval + MaxTickInterval + 2*l.BetweenRegions + 2*l.WithinRegion + down,
		DeadParents:     t.SourceTimeout + ask,
		IsolatedParents: t.SourceTimeout + t.DigestInterval/2 + ask,
		LeaderLoss:      2*t.ElectionTimeout + t.RetryInterval + 2*MaxTickInterval + 6*l.BetweenRegions, // canvass, prepare and accept, each there and back
		SilentFallback:  2 * t.PullTimeout,
	}
}

// Formulas are the same in words, with today's values.
func (b DelayBounds) Formulas() []string {
	line := func(what, formula string, v int64) string {
		return fmt.Sprintf("%s <= %s = %.0f ms", what, formula, float64(v)/1000)
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

// WorstCase is the longest with one fault of the worst kind.
func (b DelayBounds) WorstCase() int64 {
	return b.Commit + b.Push + max(b.LostPush, b.DeadParents, b.IsolatedParents, b.LeaderLoss)
}
