package instance

// The ids of messages while one process replaces another. The predecessor decides which ids are taken: this process
// claims each id there before it admits a message, and the predecessor reports the ids that it admits itself.

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"topazfall/internal/dispatch"
	"topazfall/internal/takeover"
)

const (
	claimTimeout     = 500 * time.Millisecond // for the predecessor to answer a claim
	idReportInterval = 5 * time.Millisecond   // between two reports of new ids

	// claimPrefix begins the question whether an id is taken. No callback begins like this, and an earlier version of
	// the program answers no to a question that it cannot read as a callback.
	claimPrefix = "\x00id "
)

// encodeClaim returns the question that claims an id.
func encodeClaim(id string) []byte { return []byte(claimPrefix + id) }

// decodeClaim returns the id that a question claims, if it claims one.
func decodeClaim(question []byte) (id string, ok bool) {
	return strings.CutPrefix(string(question), claimPrefix)
}

// claimID claims an id at the predecessor and reports whether it is taken there. A predecessor that does not answer
// admits no messages either: only the first claims wait for it, the later ones until it answers again do not.
func (h *handover) claimID(id string) (taken bool) {
	h.mu.Lock()
	link := h.predecessor
	h.mu.Unlock()
	switch {
	case link == nil:
		return false
	case h.predecessorSilent.Load():
		go h.askClaim(link, id) // the predecessor reads it when it goes on
		return false
	default:
		return h.askClaim(link, id)
	}
}

// askClaim asks the predecessor whether an id is taken, and records whether it answers.
func (h *handover) askClaim(link *takeover.Link, id string) (taken bool) {
	taken, err := link.Ask(encodeClaim(id), claimTimeout)
	silent := err == takeover.ErrNoReply
	if h.predecessorSilent.Swap(silent) != silent {
		slog.Warn("takeover", "old", "claims", "silent", silent)
	}
	return taken
}

// answerSuccessor answers a question of the successor: the claim of an id, or else a callback.
func (h *handover) answerSuccessor(question []byte, successor *takeover.Link) bool {
	if id, ok := decodeClaim(question); ok {
		return h.core.ClaimForSuccessor(id) || h.claimID(id)
	}
	return h.answerCallback(question, successor)
}

// idReporter informs the successor of the ids that become known in this process.
type idReporter struct {
	core *dispatch.Core
	link *takeover.Link
	gone chan struct{} // closed when the successor has ended

	mu       sync.Mutex
	position uint64 // of the last id that was reported
}

// report sends the ids that were not reported yet, and reports whether there were any.
func (r *idReporter) report() (sent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids, last := r.core.KnownIDsAfter(r.position)
	if len(ids) > 0 && r.link.Send(frameKnownIDs, encode(ids), nil) != nil {
		return false
	}
	r.position = last
	return len(ids) > 0
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
