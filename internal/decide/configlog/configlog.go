// Package configlog decides how one configuration document comes into force at all instances of an installation. It
// does no I/O and reads no clock: times are microseconds and come in as arguments, chance comes from a seeded source,
// and whatever is to be sent or saved goes out as Effects.
//
// A few members of the roster are origins. They agree on each revision of the document: one of them leads in an epoch
// that a majority has promised, takes a change only if it was made from the revision in force (compare and set), and
// commits it once a majority has stored it durably. At most one revision of each number is ever committed (Paxos, one
// instance for each number, one number at a time). Safety rests on promises and acknowledgements alone; clocks decide
// only who campaigns when.
//
// Committed revisions, and no others, travel from the origins over relays to all followers: each member has two
// parents, which all find alike from the roster (Topology). A delta is pushed on by whoever takes it. A digest, sent
// down once in each digest period, tells what is held, so that whoever has missed something pulls it: as deltas, or
// as a snapshot in chunks that is checked as a whole before it comes into force. No member ever takes a revision that
// is not newer than the one that it holds.
package configlog

import (
	"cmp"
	"fmt"
)

// NodeID names a member of the roster.
type NodeID string

// Epoch orders those who lead the origins one after the other. The zero Epoch is before all others.
type Epoch struct {
	Round  uint64
	Leader NodeID // who leads in it
}

// Compare orders epochs by round, and those of one round by who leads.
func (e Epoch) Compare(o Epoch) int {
	return cmp.Or(cmp.Compare(e.Round, o.Round), cmp.Compare(e.Leader, o.Leader))
}

func (e Epoch) String() string { return fmt.Sprintf("%d@%s", e.Round, e.Leader) }

// Revision identifies a state of the document. Numbers of committed revisions follow each other without a gap, from
// 1; 0 is the empty document that all begin with. The epoch is the one in which it was first proposed.
type Revision struct {
	Epoch  Epoch
	Number uint64
	Sum    Sum // of the whole document
}

// After tells whether r is newer than o.
func (r Revision) After(o Revision) bool { return r.Number > o.Number }

func (r Revision) String() string { return fmt.Sprintf("%d (%v, %v)", r.Number, r.Epoch, r.Sum) }

// Delta is a revision as the change that makes it from the one before.
type Delta struct {
	Revision Revision
	Change   Change
}

// Proposal is what the leader of an epoch asks the origins to store.
type Proposal struct {
	Ballot Epoch // in which it is proposed; later than the revision's where a leader takes up what another had begun
	Delta  Delta
}

// Vote is what an origin must have stored durably before anything that it says leaves it.
type Vote struct {
	CanVote  bool // the origin votes: it has forgotten nothing
	Promised Epoch
	Accepted Proposal // its Delta.Revision.Number is 0 if there is none
}

// SavedState is what an instance has on disk. The zero Saved is an instance with an empty disk: an origin then asks all
// others for what it may have voted on before it votes.
type SavedState struct {
	Document *Document // nil for none
	Vote     Vote      // of an origin; zero for none
}

// HeartbeatID is the leader's heartbeat as it travels down with the digests: its age tells a member how fresh its parents are.
type HeartbeatID struct {
	Epoch Epoch
	Tick  uint64
}

// Compare orders beats by epoch, and those of one epoch by tick.
func (b HeartbeatID) Compare(o HeartbeatID) int {
	return cmp.Or(b.Epoch.Compare(o.Epoch), cmp.Compare(b.Tick, o.Tick))
}

// Outcome says what became of an Apply.
type Outcome uint8

// The outcomes.
const (
	Committed   Outcome = iota + 1 // Revision is the one that it made
	Stale                          // it was made from another revision than the one in force, Revision
	NotLeader                      // nothing was done; Leader, if there is one, may do it
	Busy                           // nothing was done: another change is under way
	Unavailable                    // nothing was done: no majority of origins answers
	Invalid                        // nothing was done: the change is beyond a limit, or changes nothing
	Unknown                        // it may be committed or not: the leader lost its epoch meanwhile
)

var outcomes = [...]string{"", "committed", "stale", "not leader", "busy", "unavailable", "invalid", "unknown"}

func (o Outcome) String() string {
	if int(o) < len(outcomes) {
		return outcomes[o]
	}
	return "invalid outcome"
}

// Result answers an Apply that was called at this instance, or that this instance has sent on to another.
type Result struct {
	ID       uint64
	Outcome  Outcome
	Revision Revision
	Leader   NodeID
}

// Effects are what the caller must do, in this order: save and sync, bring into force, send and report. If saving
// fails, the instance must stop: what it holds in memory may not be shown to anybody.
type Effects struct {
	Deltas   []Delta // revisions that have come into force, in order; to be saved
	Replaced bool    // a snapshot has come into force instead, before Taken: the whole Document is to be saved
	SaveVote bool    // Vote is to be saved, when the document is on the disk
	Messages []Message
	Results  []Result
}
