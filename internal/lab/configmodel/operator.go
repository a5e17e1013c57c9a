package configmodel

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"topazfall/internal/decide/configlog"
)

const (
	// keys is how many entries the document has: one for each of 490 teams, and a few more.
	keys = 500
	// valueBytes is the mean size of an entry's value, so that a delta has some hundred bytes.
	valueBytes = 200
	// answerLimit is how long an operator waits for an answer before the change is asked for again.
	answerLimit = 3500 * millisecond
	// givenUp is when a change that is not in force at a reachable member is counted as that late, and looked for no
	// more.
	givenUp = 30 * second
)

// try is one asking of an operator for a change.
type try struct {
	change *change
	asked  int64
}

// samples are how long changes took.
type samples struct {
	inForce   []int64 // from the asking that was taken until in force, for each change and reachable dispatcher
	committed []int64 // the same from when it was committed
	taken     []int64 // from the first asking of an operator until committed
}

// value begins with the number of the try, so that it is known again wherever it is in force.
func (m *Model) value(tryID uint64) []byte {
	v := binary.BigEndian.AppendUint64(make([]byte, 0, 2*valueBytes), tryID)
	for range valueBytes/2 + m.random.IntN(valueBytes) {
		v = append(v, byte(m.random.Uint32()))
	}
	return v
}

func teamKey(k int) string { return fmt.Sprintf("team/%03d", k) }

// ask lets an operator change one entry.
func (m *Model) ask() {
	key := teamKey(m.random.IntN(keys))
	m.askFor(func(id uint64) configlog.Change { return configlog.Change{{Key: key, Value: m.value(id)}} })
}

// askFor lets an operator ask for a change at any member that can be reached, until it is committed.
func (m *Model) askFor(body func(id uint64) configlog.Change) {
	m.tryOnce(&change{first: m.now}, body)
}

func (m *Model) tryOnce(c *change, body func(id uint64) configlog.Change) {
	if c.number > 0 {
		return
	}
	m.ids++
	id := m.ids
	m.tries[id] = try{c, m.now}
	m.again[id] = func() { m.tryOnce(c, body) }
	for range 100 {
		if at := m.members[m.random.IntN(len(m.members))]; at.reachable(m.now - second) {
			m.after(answerLimit, func() { m.repeat(id) })
			m.carryOut(at, at.node.Apply(m.now, id, at.node.Document().Revision(), body(id)))
			return
		}
	}
	m.after(second, func() { m.repeat(id) })
}

// repeat asks anew, where a try was turned down or not answered.
func (m *Model) repeat(id uint64) {
	if again := m.again[id]; again != nil {
		delete(m.again, id)
		again()
	}
}

func (m *Model) result(r configlog.Result) {
	switch t := m.tries[r.ID]; r.Outcome {
	case configlog.Committed:
		if m.committed[r.Revision.Number] != r.Revision {
			m.broken("%v was told as committed", r.Revision)
		}
		delete(m.again, r.ID)
	case configlog.Unknown:
	default:
		if t.change != nil {
			m.after(100*millisecond+m.random.Int64N(200*millisecond), func() { m.repeat(r.ID) })
		}
	}
}

func (m *Model) broken(format string, args ...any) {
	if m.fault == nil {
		m.fault = fmt.Errorf(format, args...)
	}
}

// inForce checks and measures what has come into force at a member.
func (m *Model) inForce(i *member, e configlog.Effects) {
	first := i.node.Document().Revision().Number + 1
	if len(e.Deltas) > 0 {
		first = e.Deltas[0].Revision.Number
	}
	if e.Replaced {
		first = i.held + 1
	}
	for _, d := range e.Deltas {
		m.isCommitted(d)
	}
	revision := i.node.Document().Revision()
	if known, ok := m.committed[revision.Number]; ok && known != revision {
		m.broken("%s has %v in force, and another had %v", i.Node, revision, known)
	}
	if first != i.held+1 || revision.Number < first {
		m.broken("%s went from revision %d to %d", i.Node, i.held, revision.Number)
	}
	for n := first; n <= revision.Number; n++ {
		if c := m.changes[n]; c != nil && i.Role == configlog.Follower && i.reachable(c.asked) {
			m.samples.inForce = append(m.samples.inForce, m.now-c.asked)
			m.samples.committed = append(m.samples.committed, m.now-c.committed)
		}
	}
	i.held = revision.Number
	i.saved.Document = i.node.Document()
}

// isCommitted notes a revision that is in force for the first time anywhere.
func (m *Model) isCommitted(d configlog.Delta) {
	number := d.Revision.Number
	if known, ok := m.committed[number]; ok {
		if known != d.Revision {
			m.broken("%v and %v are both in force", known, d.Revision)
		}
		return
	}
	m.committed[number] = d.Revision
	m.newest = max(m.newest, number)
	id := binary.BigEndian.Uint64(d.Change[0].Value)
	t := m.tries[id]
	delete(m.again, id)
	c := *t.change
	c.asked, c.committed, c.number = t.asked, m.now, number
	if t.change.number == 0 {
		t.change.number = number
		m.samples.taken = append(m.samples.taken, m.now-c.first)
	}
	m.changes[number] = &c
	m.after(givenUp-(m.now-c.asked), func() { m.missing(number) })
}

// missing counts the reachable dispatchers that never had a change in time.
func (m *Model) missing(number uint64) {
	for _, i := range m.members {
		if i.Role == configlog.Follower && i.held < number && i.reachable(m.changes[number].asked) {
			m.samples.inForce = append(m.samples.inForce, givenUp)
			m.samples.committed = append(m.samples.committed, givenUp)
		}
	}
	delete(m.changes, number)
}

// quantile returns the value below which a share of the samples lies; the samples are sorted.
func quantile(samples []int64, share float64) int64 {
	if len(samples) == 0 {
		return 0
	}
	slices.SortFunc(samples, cmp.Compare)
	return samples[min(len(samples)-1, int(share*float64(len(samples))))]
}

// within is the share of the samples that are at most so long.
func within(samples []int64, most int64) float64 {
	count := 0
	for _, s := range samples {
		if s <= most {
			count++
		}
	}
	return float64(count) / float64(max(1, len(samples)))
}
