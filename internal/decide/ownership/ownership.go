// Package ownership decides which dispatcher may do what with a message whose dispatcher may die. It does no I/O and
// reads no clock.
//
// Each message has three keepers among the instances of an installation (see Keepers). A keeper holds a register for
// the message: its progress as reported by the owner. An owner changes the register by a Write that two of the three
// keepers acknowledge; it must have done so before the first byte of a relay that must not run twice leaves, and before
// the first byte of a final answer. Another instance takes over by a Claim with a higher epoch: two keepers promise to
// accept nothing of a lower epoch any more, and return what they hold. The latest of these is how far the message had
// got. As any two quorums of two out of three have a keeper in common, the new owner sees whatever the old one was
// permitted, and the old one is permitted nothing more, wherever it was stopped.
//
// A keeper that restarts has forgotten what it acknowledged. It is a new incarnation, and does not vote until both
// other keepers have told it what they hold. From then on they report it as a new incarnation, so that an
// acknowledgement of its previous life is not counted beside a later one of theirs.
package ownership

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Node names an instance of the installation.
type Node string

// Of is how many keepers a message has; Enough of them are asked for each step.
const (
	Of     = 3
	Enough = 2
)

// Keepers finds the keepers of a message in the roster, by rendezvous hashing: whoever asks finds the same, and a
// change of the roster by one instance moves the messages of that one only. A roster of fewer than three keeps nothing.
func Keepers(roster []Node, id string) (keepers [Of]Node, ok bool) {
	if len(roster) < Of {
		return keepers, false
	}
	weight := func(n Node) uint64 {
		h := fnv.New64a()
		h.Write([]byte(n))
		h.Write([]byte{0})
		h.Write([]byte(id))
		return mix(h.Sum64())
	}
	ranked := slices.Clone(roster)
	slices.SortFunc(ranked, func(a, b Node) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	copy(keepers[:], ranked)
	return keepers, true
}

// mix spreads the bits of a hash whose last bytes were alike (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Epoch orders those who own a message one after the other. Who takes a message that it holds to be new does so in
// epoch 1, unasked; whoever claims it later has a higher one.
type Epoch struct {
	N  uint32
	By Node
}

// Compare orders epochs by number, and those of one number by who made them. Two that take a message at one time are
// equal: no promise was asked for, and at most one of them gets two keepers.
func (e Epoch) Compare(o Epoch) int {
	if e.N == 1 && o.N == 1 {
		return 0
	}
	return cmp.Or(cmp.Compare(e.N, o.N), cmp.Compare(e.By, o.By))
}

// Version orders the writes to a register.
type Version struct {
	Epoch Epoch
	Seq   uint32
}

// Compare orders versions by epoch, and those of one epoch by their sequence. Of several that take a message at one
// time only the one that got it goes on to a second write: by who it is alone, another's first write would hide that.
func (v Version) Compare(o Version) int {
	return cmp.Or(v.Epoch.Compare(o.Epoch), cmp.Compare(v.Seq, o.Seq), cmp.Compare(v.Epoch.By, o.Epoch.By))
}

// Phase is how far a message has got.
type Phase uint8

// The phases, in their order.
const (
	Unknown  Phase = iota
	Taken          // an owner has it, and nothing was sent
	Sending        // an attempt may be on its way: it may have run
	Answered       // its final answer is settled
)

// Record is what a register says of a message.
type Record struct {
	Phase   Phase
	Attempt uint32 // the latest that may be on its way
	Host    string // where that goes
	Verdict uint8  // of Answered: what the caller makes of it
}

// Kind names a message between an owner and a keeper, or between keepers.
type Kind uint8

// The kinds, with the fields of Msg that each one uses beside ID, From, To and Life.
const (
	Write    Kind = iota + 1 // Version, Record; Fresh if the owner takes a message that it holds to be new
	Claim                    // Version.Epoch
	Acked                    // Version, Others: a Write is taken
	Promised                 // Version.Epoch, Others, Held, Record: to a Claim
	Refused                  // Version, Promise: a higher epoch is promised, or the message is not new
	Pull                     // a keeper that has started again asks another what it holds
	Pulled                   // Held, Record, Promise, Sure; for each message, and one with no ID that ends them
)

// Msg is one message. It may be lost, doubled and overtaken.
type Msg struct {
	Kind     Kind
	ID       string
	From, To Node
	Life     uint64 // incarnation of the keeper that sends it; of Pulled, of the one that asked
	Version  Version
	Record   Record
	Held     Version // what the keeper holds; zero for nothing
	Promise  Epoch
	Others   [Of - 1]Life // the other keepers of the message, as this one knows them
	Fresh    bool
	Sure     bool // the keeper that tells votes itself
}

// Life is an incarnation of a keeper: higher with each start.
type Life struct {
	Node Node
	Life uint64
}

// rules are sound as they are; tests break them to see that it is found.
type rules struct {
	anyEpoch  bool // a keeper takes a write of an epoch that is over
	one       bool // one keeper is enough
	forgetful bool // a keeper that has forgotten votes at once
	oldLives  bool // what a keeper has acknowledged before it started again counts
}
