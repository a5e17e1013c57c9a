package configmodel

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"topazfall/internal/decide/configlog"
)

const (
	// documentKeys is the number of entries of the document: one for each of 490 tenants (teams), and a few more.
	documentKeys = 500
	// meanValueBytes is the mean size of an entry's value. With it a delta has a few hundred bytes.
	meanValueBytes = 200
	// answerTimeout is how long an operator waits for an answer before retrying the change.
	answerTimeout = 3500 * millisecond
	// giveUpAfter is how long a reachable instance may take to apply a change. After that the model stops waiting for
	// the change and records this time as the sample.
	giveUpAfter = 30 * second
)

// attempt is one of an operator's attempts at a change.
type attempt struct {
	change    *change
	startedAt int64
}

// samples are the times of the changes, in microseconds.
type samples struct {
	// applied is from the start of the committed attempt until the change is applied, for each change and reachable
	// dispatcher.
	applied            []int64
	appliedAfterCommit []int64 // the same from the commit
	committed          []int64 // from an operator's first attempt until the commit
}

// newValue returns a random value that begins with the id of the attempt, so that an applied change can be traced to
// its attempt.
func (m *Model) newValue(attemptID uint64) []byte {
	v := binary.BigEndian.AppendUint64(make([]byte, 0, 2*meanValueBytes), attemptID)
	for range meanValueBytes/2 + m.random.IntN(meanValueBytes) {
		v = append(v, byte(m.random.Uint32()))
	}
	return v
}

// teamKey returns the key of entry k of the document.
func teamKey(k int) string { return fmt.Sprintf("team/%03d", k) }

// requestChange requests a change of one entry, as an operator does.
func (m *Model) requestChange() {
	key := teamKey(m.random.IntN(documentKeys))
	m.requestUntilCommitted(func(id uint64) configlog.Change {
		return configlog.Change{{Key: key, Value: m.newValue(id)}}
	})
}

// requestUntilCommitted requests a change at random reachable instances until it is committed.
func (m *Model) requestUntilCommitted(body func(id uint64) configlog.Change) {
	m.attemptChange(&change{firstAttemptAt: m.now}, body)
}

// attemptChange makes the next attempt at a change, unless it is committed. It retries after answerTimeout, or after
// 1 s if it finds no reachable instance.
func (m *Model) attemptChange(c *change, body func(id uint64) configlog.Change) {
	if c.number > 0 {
		return
	}
	m.lastAttemptID++
	id := m.lastAttemptID
	m.attempts[id] = attempt{c, m.now}
	m.retries[id] = func() { m.attemptChange(c, body) }
	for range 100 {
		if inst := m.instances[m.random.IntN(len(m.instances))]; inst.isReachable(m.now - second) {
			m.schedule(answerTimeout, func() { m.retry(id) })
			m.execute(inst, inst.node.Apply(m.now, id, inst.node.Document().Revision(), body(id)))
			return
		}
	}
	m.schedule(second, func() { m.retry(id) })
}

// retry makes another attempt after one that was rejected or not answered.
func (m *Model) retry(id uint64) {
	if retryAttempt := m.retries[id]; retryAttempt != nil {
		delete(m.retries, id)
		retryAttempt()
	}
}

// handleResult handles an answer to an operator's attempt: it checks a commit, and retries a rejected attempt after a
// random 100 to 300 ms. An unknown outcome is left to the timeout.
func (m *Model) handleResult(r configlog.Result) {
	switch pending := m.attempts[r.ID]; r.Outcome {
	case configlog.Committed:
		if m.committed[r.Revision.Number] != r.Revision {
			m.reportViolation("%v was reported as committed, but is not the committed revision of its number",
				r.Revision)
		}
		delete(m.retries, r.ID)
	case configlog.Unknown:
	default:
		if pending.change != nil {
			m.schedule(100*millisecond+m.random.Int64N(200*millisecond), func() { m.retry(r.ID) })
		}
	}
}

// reportViolation records a broken invariant; only the first one is kept.
func (m *Model) reportViolation(format string, args ...any) {
	if m.violation == nil {
		m.violation = fmt.Errorf(format, args...)
	}
}

// recordApplied checks and measures the revisions that an instance has applied.
func (m *Model) recordApplied(inst *instance, effects configlog.Effects) {
	first := inst.node.Document().Revision().Number + 1
	if len(effects.Deltas) > 0 {
		first = effects.Deltas[0].Revision.Number
	}
	if effects.Replaced {
		first = inst.appliedNumber + 1
	}
	for _, d := range effects.Deltas {
		m.recordCommit(d)
	}
	revision := inst.node.Document().Revision()
	if known, ok := m.committed[revision.Number]; ok && known != revision {
		m.reportViolation("%s has applied %v, but another instance has applied %v", inst.Node, revision, known)
	}
	if first != inst.appliedNumber+1 || revision.Number < first {
		m.reportViolation("%s went from revision %d to %d", inst.Node, inst.appliedNumber, revision.Number)
	}
	for n := first; n <= revision.Number; n++ {
		if c := m.changes[n]; c != nil && inst.Role == configlog.Follower && inst.isReachable(c.attemptStartedAt) {
			m.samples.applied = append(m.samples.applied, m.now-c.attemptStartedAt)
			m.samples.appliedAfterCommit = append(m.samples.appliedAfterCommit, m.now-c.committedAt)
		}
	}
	inst.appliedNumber = revision.Number
	inst.saved.Document = inst.node.Document()
}

// recordCommit records a revision as committed when the first instance applies it.
func (m *Model) recordCommit(d configlog.Delta) {
	number := d.Revision.Number
	if known, ok := m.committed[number]; ok {
		if known != d.Revision {
			m.reportViolation("%v and %v were both applied, with the same number", known, d.Revision)
		}
		return
	}
	m.committed[number] = d.Revision
	m.newestNumber = max(m.newestNumber, number)
	id := binary.BigEndian.Uint64(d.Change[0].Value)
	t := m.attempts[id]
	delete(m.retries, id)
	c := *t.change
	c.attemptStartedAt, c.committedAt, c.number = t.startedAt, m.now, number
	if t.change.number == 0 {
		t.change.number = number
		m.samples.committed = append(m.samples.committed, m.now-c.firstAttemptAt)
	}
	m.changes[number] = &c
	m.schedule(giveUpAfter-(m.now-c.attemptStartedAt), func() { m.countNeverApplied(number) })
}

// countNeverApplied adds a sample of giveUpAfter for each reachable dispatcher that has not applied a change by then.
func (m *Model) countNeverApplied(number uint64) {
	for _, inst := range m.instances {
		if inst.Role == configlog.Follower && inst.appliedNumber < number &&
			inst.isReachable(m.changes[number].attemptStartedAt) {
			m.samples.applied = append(m.samples.applied, giveUpAfter)
			m.samples.appliedAfterCommit = append(m.samples.appliedAfterCommit, giveUpAfter)
		}
	}
	delete(m.changes, number)
}

// quantile returns the value below which a share of the samples lies. It sorts the samples.
func quantile(samples []int64, share float64) int64 {
	if len(samples) == 0 {
		return 0
	}
	slices.SortFunc(samples, cmp.Compare)
	return samples[min(len(samples)-1, int(share*float64(len(samples))))]
}

// shareWithin returns the share of the samples that are at most limit.
func shareWithin(samples []int64, limit int64) float64 {
	count := 0
	for _, s := range samples {
		if s <= limit {
			count++
		}
	}
	return float64(count) / float64(max(1, len(samples)))
}
