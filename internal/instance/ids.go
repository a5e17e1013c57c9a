package instance

// The ids of messages while one process replaces another. The predecessor decides which ids are taken: this process
// claims each id there before it admits a message, and the predecessor reports the ids that it admits itself. As the
// predecessor keeps only a number of the claimed ids, it asks its successor for the messages in flight there before it
// admits one, and for those whose jobs may have run there.

import (
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"topazfall/internal/decide/digests"
	"topazfall/internal/dispatch"
	"topazfall/internal/takeover"
)

const (
	claimTimeout     = 500 * time.Millisecond // for another process to answer a question about an id
	idReportInterval = 5 * time.Millisecond   // between two reports of new ids

	maxDelayedQuestions = 4096 // to a process that does not answer

	// claimPrefix begins the question whether an id is taken, and inFlightPrefix the one whether its message is in
	// flight. No callback begins like this, and an earlier version of the program answers no to a question that it
	// cannot read as a callback.
	claimPrefix    = "\x00id "
	inFlightPrefix = "\x00in flight "
)

// encodeClaim returns the question that claims an id.
func encodeClaim(id string) []byte { return []byte(claimPrefix + id) }

// decodeClaim returns the id that a question claims, if it claims one.
func decodeClaim(question []byte) (id string, ok bool) {
	return strings.CutPrefix(string(question), claimPrefix)
}

// encodeInFlight returns the question whether the message with an id is in flight.
func encodeInFlight(id string) []byte { return []byte(inFlightPrefix + id) }

// decodeInFlight returns the id of a question whether a message is in flight, if it is one.
func decodeInFlight(question []byte) (id string, ok bool) {
	return strings.CutPrefix(string(question), inFlightPrefix)
}

// updateClaim sets where the core claims ids: at the other processes as long as there are any. The caller holds h.mu.
func (h *handover) updateClaim() {
	if h.predecessorIDs == nil && h.successorIDs == nil {
		h.core.SetClaim(nil)
		return
	}
	h.core.SetClaim(h.isTaken)
}

// isTaken claims an id of a message of this process and reports whether another process has taken it.
func (h *handover) isTaken(id string) bool { return h.claimID(id) || h.hasRunAtSuccessor(id) }

// claimID claims an id at the predecessor and reports whether it is taken there. A predecessor that does not answer
// admits no messages either.
func (h *handover) claimID(id string) (taken bool) {
	h.mu.Lock()
	questions := h.predecessorIDs
	h.mu.Unlock()
	return questions.ask(encodeClaim(id))
}

// hasRunAtSuccessor reports whether the successor, or one of its own successors, has the message with an id in flight,
// or its job may have run there. A message that is only about to be admitted there does not count: its id is being
// claimed here.
func (h *handover) hasRunAtSuccessor(id string) bool {
	h.mu.Lock()
	questions := h.successorIDs
	h.mu.Unlock()
	return questions.ask(encodeInFlight(id))
}

// answerSuccessor answers a question of the successor: the claim of an id, or else a callback.
func (h *handover) answerSuccessor(question []byte, successor *takeover.Link) bool {
	if id, ok := decodeClaim(question); ok {
		return h.core.ClaimForSuccessor(id) || h.claimID(id)
	}
	return h.answerCallback(question, successor)
}

// answerPredecessor answers a question of the predecessor: whether a message is in flight or may have run, or else a
// callback.
func (h *handover) answerPredecessor(question []byte, predecessor *takeover.Link) bool {
	if id, ok := decodeInFlight(question); ok {
		return h.core.HasRun(id) || h.hasRunAtSuccessor(id)
	}
	return h.answerCallback(question, predecessor)
}

// idQuestions asks another process questions about ids. Only the first questions wait for a process that does not
// answer; the later ones are put to it one at a time, until it answers again.
type idQuestions struct {
	link    *takeover.Link
	process string // as the log names it
	silent  atomic.Bool

	mu       sync.Mutex
	delayed  [][]byte // questions that nobody waits for, the oldest first
	draining bool     // a goroutine asks them
}

// ask asks a question, and reports whether the answer is yes. It is no where q is nil, as there is no such process.
func (q *idQuestions) ask(question []byte) (yes bool) {
	switch {
	case q == nil:
		return false
	case q.silent.Load():
		q.askLater(question)
		return false
	default:
		yes, _ = q.askAndWait(question)
		return yes
	}
}

// askLater asks a question without waiting for the answer: the process learns of the id when it goes on. Messages come
// at any rate, so that only the last questions are kept.
func (q *idQuestions) askLater(question []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.delayed) == maxDelayedQuestions {
		q.delayed = q.delayed[1:]
	}
	q.delayed = append(q.delayed, question)
	if !q.draining {
		q.draining = true
		go q.drain()
	}
}

// drain asks the delayed questions until there are none, or the other process has ended.
func (q *idQuestions) drain() {
	for {
		q.mu.Lock()
		if len(q.delayed) == 0 {
			q.draining = false
			q.mu.Unlock()
			return
		}
		question := q.delayed[0]
		q.delayed = q.delayed[1:]
		q.mu.Unlock()
		if _, err := q.askAndWait(question); err != nil && err != takeover.ErrNoReply {
			q.mu.Lock()
			q.delayed = nil
			q.mu.Unlock()
		}
	}
}

// askAndWait asks a question, waits for its answer, and records whether there was one.
func (q *idQuestions) askAndWait(question []byte) (yes bool, err error) {
	yes, err = q.link.Ask(question, claimTimeout)
	silent := err == takeover.ErrNoReply
	if q.silent.Swap(silent) != silent {
		slog.Warn("takeover", q.process, "claims", "silent", silent)
	}
	return yes, err
}

// idReporter informs the successor of the ids that become known in this process.
type idReporter struct {
	core *dispatch.Core
	link *takeover.Link
	gone chan struct{} // closed when the successor has ended

	mu          sync.Mutex
	position    uint64 // of the last id that was reported
	ranPosition uint64 // of the last id that was reported as one whose job may have run
}

// report sends the ids that were not reported yet, and reports whether there were any.
func (r *idReporter) report() (sent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran, lastRan := r.core.RanIDsAfter(r.ranPosition)
	if len(ran) > 0 && r.link.Send(frameRanIDs, digests.Encode(ran), nil) != nil {
		return false
	}
	r.ranPosition = lastRan
	ids, last := r.core.KnownIDsAfter(r.position)
	if len(ids) > 0 && r.link.Send(frameKnownIDs, encode(ids), nil) != nil {
		return false
	}
	r.position = last
	return len(ids)+len(ran) > 0
}

// run reports new ids until the successor has ended.
func (r *idReporter) run() {
	for {
		select {
		case <-r.gone:
			return
		case <-r.core.IDsAdded():
			if r.report() {
				time.Sleep(idReportInterval)
			}
		}
	}
}
