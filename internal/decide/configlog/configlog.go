// Package configlog replicates one configuration document to all instances of an installation. It does no I/O and
// reads no clock: times are arguments in microseconds, random numbers come from a seeded source, and everything to be
// sent or saved is returned as Effects.
//
// A few members of the roster are origins, the voters. They agree on each revision of the document: one of them leads
// in an epoch that a majority has promised, accepts a change only if it was made from the current revision
// (compare-and-set), and commits it once a majority has stored it durably. At most one revision of each number is ever
// committed (Paxos, one instance for each number, one number at a time). Safety rests on promises and acknowledgements
// alone; clocks only decide which origin campaigns at which time.
//
// Only committed revisions are replicated from the origins over relays to all followers. Each member has two parents,
// which every member computes identically from the roster (Topology). A member that applies a delta pushes it to its
// children. Once per digest interval it sends them a digest of the revision that it holds, so that a child that has
// missed revisions pulls them: as deltas, or as a snapshot in chunks that is verified as a whole before it takes
// effect. No member ever applies a revision that is not newer than the one that it holds.
package configlog

import (
	"cmp"
	"fmt"
)

// NodeID is the name of a member of the roster.
type NodeID string

// Epoch identifies the term of one leader of the origins. Epochs are ordered; the zero Epoch is before all others.
type Epoch struct {
	Round  uint64
	Leader NodeID // the origin that leads in it, or campaigns to
}

// Compare orders epochs by round, and epochs of the same round by leader.
func (e Epoch) Compare(other Epoch) int {
	return cmp.Or(cmp.Compare(e.Round, other.Round), cmp.Compare(e.Leader, other.Leader))
}

func (e Epoch) String() string { return fmt.Sprintf("%d@%s", e.Round, e.Leader) }

// Revision identifies a state of the document. Committed revisions are numbered from 1 without gaps; 0 is the empty
// document, with which every member starts. The epoch is the one in which the revision was first proposed.
type Revision struct {
	Epoch  Epoch
	Number uint64
	Sum    Sum // checksum of the whole document
}

// After reports whether r is newer than other.
func (r Revision) After(other Revision) bool { return r.Number > other.Number }

func (r Revision) String() string { return fmt.Sprintf("%d (%v, %v)", r.Number, r.Epoch, r.Sum) }

// Delta is a revision together with the change that produces it from the previous revision.
type Delta struct {
	Revision Revision
	Change   Change
}

// Proposal is a delta that the leader of an epoch asks the origins to store.
type Proposal struct {
	Ballot Epoch // epoch of the proposal; later than the revision's if a leader proposes a predecessor's delta again
	Delta  Delta
}

// Vote is the state of an origin in the consensus protocol. It must be stored durably before any message that follows
// from it is sent.
type Vote struct {
	CanVote  bool // false while the origin may have lost votes that it gave
	Promised Epoch
	Accepted Proposal // its Delta.Revision.Number is 0 if there is none
}

// SavedState is the state of an instance on disk. The zero value stands for an empty disk: an origin then asks all
// other origins what it may have voted for before it votes again, unless Options.Bootstrap is set.
type SavedState struct {
	Document *Document // nil for none
	Vote     Vote      // of an origin; zero for none
}

// HeartbeatID identifies a heartbeat of a leader. Digests carry it down the tree, so that a member can see how up to
// date its parents are.
type HeartbeatID struct {
	Epoch Epoch
	Tick  uint64 // increases by one in each digest interval of the leader
}

// Compare orders heartbeats by epoch, and heartbeats of the same epoch by tick.
func (id HeartbeatID) Compare(other HeartbeatID) int {
	return cmp.Or(id.Epoch.Compare(other.Epoch), cmp.Compare(id.Tick, other.Tick))
}

// Outcome is the outcome of an Apply.
type Outcome uint8

// Outcomes of an Apply.
const (
	Committed   Outcome = iota + 1 // the change is committed as Revision
	Stale                          // the change was not made from Revision, which is the current one
	NotLeader                      // nothing was done: this member does not lead; Leader may, unless it is empty
	Busy                           // nothing was done: another change is in progress
	Unavailable                    // nothing was done: no leader is known
	Invalid                        // nothing was done: the change exceeds a limit, is malformed, or changes nothing
	Unknown                        // the change may be committed or not: the leader did not answer, or was deposed
)

var outcomeNames = [...]string{"", "committed", "stale", "not leader", "busy", "unavailable", "invalid", "unknown"}

func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid outcome"
}

// Result is the result of an Apply that was called at this instance, or that it has forwarded to the leader.
type Result struct {
	ID       uint64
	Outcome  Outcome
	Revision Revision
	Leader   NodeID
}

// Effects lists what the caller must do, in this order: save and sync, activate the document, send the messages and
// report the results. If saving fails, the instance must stop, because the unsaved state must not become visible to
// other instances.
type Effects struct {
	Deltas   []Delta // deltas that have taken effect, in order; to be saved
	Replaced bool    // a snapshot has taken effect, before Deltas: the whole Document must be saved
	SaveVote bool    // Vote must be saved, after the document
	Messages []Message
	Results  []Result
}
