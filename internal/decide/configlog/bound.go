package configlog

import "fmt"

// Links are the longest delays that are reckoned with, one way, in microseconds. Nothing but the Bounds rests on them.
type Links struct {
	Far  int64 // between regions
	Near int64 // within one
}

// Bounds say how long a change takes at most, in microseconds, from the asking until it is in force at a member that
// can be reached. The others come on top of the first two: each is for one fault on the way to that member.
type Bounds struct {
	Commit int64 // until a majority of origins has stored it, where there is a leader
	Push   int64 // from there to the lowest level, by push
	Lost   int64 // a push that both parents of a member have sent is lost: the next digest tells
	Dead   int64 // both parents of a member have just died: a substitute is asked
	Stuck  int64 // both parents of a member are just cut off, and still send: no heartbeat of the leader comes by them
	Leader int64 // the leader is lost with the change under way, and another is found at the first campaign
	Silent int64 // a substitute does not answer, or is overloaded; the next one that does not costs twice as much
}

// NewBounds works out the bounds for a topology's depth.
func NewBounds(t Timing, depth int, l Links) Bounds {
	down := int64(depth-1) * l.Near
	ask := int64(TickPeriod) + 4*max(l.Far, l.Near) // ask, be told, pull, have
	return Bounds{
		Commit: 3 * l.Far,      // to the leader, to another origin and back
		Push:   2*l.Far + down, // to another origin, to a head, down
		Lost:   t.Digest + TickPeriod + 2*l.Far + 2*l.Near + down,
		Dead:   t.SilentAfter + ask,
		Stuck:  t.SilentAfter + t.Digest/2 + ask,
		Leader: 2*t.Campaign + t.Retry + 2*TickPeriod + 6*l.Far, // canvass, prepare and accept, each there and back
		Silent: 2 * t.PullTimeout,
	}
}

// Formulas are the same in words, with today's values.
func (b Bounds) Formulas() []string {
	line := func(what, formula string, v int64) string {
		return fmt.Sprintf("%s <= %s = %.0f ms", what, formula, float64(v)/1000)
	}
	return []string{
		line("commit", "3 far", b.Commit),
		line("push", "2 far + (depth - 1) near", b.Push),
		line("lost at both parents", "digest + tick + 2 far + (depth + 1) near", b.Lost),
		line("both parents dead", "silent after + tick + 4 far", b.Dead),
		line("both parents stuck", "silent after + digest / 2 + tick + 4 far", b.Stuck),
		line("leader lost", "2 campaign + retry + 2 tick + 6 far", b.Leader),
		line("a substitute that is silent", "2 pull timeout, doubled for each further one", b.Silent),
	}
}

// Worst is the longest with one fault of the worst kind.
func (b Bounds) Worst() int64 { return b.Commit + b.Push + max(b.Lost, b.Dead, b.Stuck, b.Leader) }
