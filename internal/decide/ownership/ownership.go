// Package ownership decides which dispatcher may do what with a message (a client's request) when dispatchers may
// fail. It does no I/O and reads no clock.
//
// Each message has three replicas among the instances of an installation (see ReplicasOf). A replica holds a register
// for the message: its progress as reported by the owner. An owner changes the register by a Write that two of the
// three replicas acknowledge. It must have done so before the first byte of a relay that must not run twice leaves, and
// before the first byte of a final answer. Another instance takes over by a Claim with a higher epoch: two replicas
// promise to accept nothing of a lower epoch any more, and return what they hold. The latest of these records is how
// far the message had got. As any two quorums of two out of three have a replica in common, the new owner sees every
// step that the old one was permitted, and the old one is permitted nothing more, wherever it was stopped.
//
// A replica that restarts has lost what it acknowledged. It is a new incarnation, and does not vote until both other
// replicas have sent it what they hold. From then on they report the new incarnation, so that an acknowledgement of the
// previous one is not counted together with a later one of theirs.
package ownership

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Node names an instance of the installation.
type Node string

// NumReplicas is how many replicas a message has; Quorum of them must agree to each step.
const (
	NumReplicas = 3
	Quorum      = 2
)

// ReplicasOf returns the replicas of a message by rendezvous hashing over the roster of instances. All instances
// compute the same result, and a change of the roster by one instance moves only the messages of that instance. ok is
// false for a roster of fewer than three.
func ReplicasOf(roster []Node, id string) (replicas [NumReplicas]Node, ok bool) {
	if len(roster) < NumReplicas {
		return replicas, false
	}
	weight := func(n Node) uint64 {
		hash := fnv.New64a()
		hash.Write([]byte(n))
		hash.Write([]byte{0})
		hash.Write([]byte(id))
		return mix(hash.Sum64())
	}
	ranked := slices.Clone(roster)
	slices.SortFunc(ranked, func(a, b Node) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	copy(replicas[:], ranked)
	return replicas, true
}

// mix mixes the bits of a hash whose last input bytes were similar (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Epoch orders the successive owners of a message. An owner that takes a message as new does so in epoch 1, without
// asking for a promise; an owner that claims it later uses a higher epoch.
type Epoch struct {
	Number uint32
	Node   Node
}

// Compare orders epochs by number, and epochs of the same number by node. Epochs of number 1 are equal, whatever their
// nodes: an owner in epoch 1 writes without asking the replicas for a promise first, so several may take a message at
// the same time. None of them replaces another, and at most one gets a quorum.
func (e Epoch) Compare(other Epoch) int {
	if e.Number == 1 && other.Number == 1 {
		return 0
	}
	return cmp.Or(cmp.Compare(e.Number, other.Number), cmp.Compare(e.Node, other.Node))
}

// Version orders the writes to a register.
type Version struct {
	Epoch Epoch
	Seq   uint32
}

// Compare orders versions by epoch, then by sequence number, then by node. Of several owners that take a message at the
// same time only the one with a quorum makes a second write. If versions were ordered by node before sequence, another
// owner's first write could hide the second one.
func (v Version) Compare(other Version) int {
	return cmp.Or(v.Epoch.Compare(other.Epoch), cmp.Compare(v.Seq, other.Seq),
		cmp.Compare(v.Epoch.Node, other.Epoch.Node))
}

// Phase is how far a message has got.
type Phase uint8

// The phases, in their order.
const (
	Unknown  Phase = iota
	Taken          // an owner has the message; no attempt was made
	Sending        // an attempt may be in progress, so the message may have run
	Answered       // the final answer is decided
)

// Record is the progress of a message as stored in a register.
type Record struct {
	Phase   Phase
	Attempt uint32 // number of the latest attempt that may be in progress
	Host    string // worker of that attempt
	Verdict uint8  // set if Phase is Answered; its values are defined by the caller
}

// Kind is the kind of a protocol message between an owner and a replica, or between replicas.
type Kind uint8

// The kinds, with the fields of Msg that each one uses besides ID, From, To and Incarnation.
const (
	Write    Kind = iota + 1 // Version, Record; IsNew if the owner takes the message as new
	Claim                    // Version.Epoch
	Acked                    // Version, Others: a Write was accepted
	Promised                 // Version.Epoch, Others, HeldVersion, Record: answer to a Claim
	Refused                  // Version, Promise: a higher epoch was promised, or the message is not new
	Pull                     // a replica that has restarted asks another what it holds
	Pulled                   // HeldVersion, Record, Promise for each message; then one without ID, with CanVote
)

// Msg is one protocol message. It may be lost, duplicated and reordered.
type Msg struct {
	Kind        Kind
	ID          string
	From, To    Node
	Incarnation uint64 // of the replica that sends it; in a Pulled, of the one that sent the Pull
	Version     Version
	Record      Record
	HeldVersion Version // version of the record that the replica holds; zero for none
	Promise     Epoch
	Others      [NumReplicas - 1]Incarnation // other replicas of the message, as the sender knows them
	IsNew       bool                         // the owner takes the message as new
	CanVote     bool                         // the sender of a Pulled votes itself
}

// Incarnation identifies one run of a replica; its number rises with each start.
type Incarnation struct {
	Node   Node
	Number uint64
}

// faults disable parts of the protocol. All are false except in tests, which check that each fault is detected.
type faults struct {
	acceptOldEpochs       bool // a replica accepts a write of a superseded epoch
	singleReplica         bool // one replica is a quorum
	voteIncomplete        bool // a replica votes before it has what the others hold
	acceptOldIncarnations bool // acknowledgements from before a restart of a replica count
}
