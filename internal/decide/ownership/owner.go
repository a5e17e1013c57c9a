package ownership

import "slices"

// Mode is what an owner is doing.
type Mode uint8

// The modes.
const (
	Idle     Mode = iota
	Taking        // it is taking a message as new
	Claiming      // it is claiming a message that another may have had
	Owning        // it owns the message
	Lost          // another instance owns the message, or is about to
)

// Result is the effect of an answer.
type Result uint8

// The results.
const (
	NoChange  Result = iota
	Owned            // this owner now owns the message, with the progress in Record
	Permitted        // the requested step may be taken
)

// Owner is the state of one instance that owns, or wants to own, one message. It takes or claims the message and asks
// the replicas for each step. It is not safe for concurrent use.
type Owner struct {
	me       Node
	id       string
	replicas [NumReplicas]Node
	faults   faults

	mode         Mode
	epoch        Epoch
	record       Record // decided: what a quorum has acknowledged
	proposed     Record // what the replicas were last asked to write
	isProposing  bool
	seq          uint32
	votes        []Msg
	highestEpoch uint32 // highest epoch number that was seen
}

// NewOwner returns an idle owner.
func NewOwner(me Node, id string, replicas [NumReplicas]Node) *Owner {
	return &Owner{me: me, id: id, replicas: replicas}
}

// Mode returns what the owner is doing.
func (o *Owner) Mode() Mode { return o.mode }

// Record returns the progress that a quorum has acknowledged. It is valid while the owner owns the message.
func (o *Owner) Record() Record { return o.record }

// Take starts to take a message as new. Nothing may be done with the message until Handle returns Owned.
func (o *Owner) Take() []Msg {
	o.mode, o.epoch = Taking, Epoch{1, o.me}
	return o.propose(Record{Phase: Taken})
}

// Claim starts to claim a message that another instance may have owned, with an epoch above all that were seen.
func (o *Owner) Claim() []Msg {
	o.highestEpoch = max(o.highestEpoch, o.epoch.Number, 1) + 1
	o.mode, o.epoch, o.seq, o.votes, o.isProposing = Claiming, Epoch{o.highestEpoch, o.me}, 0, nil, false
	return o.Resend()
}

// Step asks for the next step of an owned message, one at a time. The step may be taken only after Handle has returned
// Permitted: Sending before the first byte of an attempt, Answered before the first byte of the final answer.
func (o *Owner) Step(next Record) []Msg {
	if o.mode != Owning || o.isProposing || !isNextStep(o.record, next) {
		return nil
	}
	return o.propose(next)
}

// isNextStep reports whether one record may follow another: an answer is final, and attempt numbers rise.
func isNextStep(from, to Record) bool {
	return from.Phase != Answered && (to.Phase == Answered || to.Phase == Sending && to.Attempt > from.Attempt)
}

// propose asks all replicas to write the next record.
func (o *Owner) propose(next Record) []Msg {
	o.seq++
	o.proposed, o.isProposing, o.votes = next, true, nil
	return o.Resend()
}

// Resend returns the protocol messages of the operation in progress, to the replicas that have not answered.
func (o *Owner) Resend() (out []Msg) {
	m := Msg{Kind: Write, ID: o.id, From: o.me, Version: Version{o.epoch, o.seq}, Record: o.proposed,
		IsNew: o.mode == Taking}
	if o.mode == Claiming && !o.isProposing {
		m.Kind, m.Record = Claim, Record{}
	}
	if o.mode != Claiming && !o.isProposing {
		return nil
	}
	for _, replica := range o.replicas {
		if !o.hasVoted(replica) {
			m.To = replica
			out = append(out, m)
		}
	}
	return out
}

func (o *Owner) hasVoted(replica Node) bool {
	return slices.ContainsFunc(o.votes, func(v Msg) bool { return v.From == replica })
}

// Handle processes the answer of a replica; out must be sent.
func (o *Owner) Handle(m Msg) (result Result, out []Msg) {
	if m.ID != o.id {
		return NoChange, nil
	}
	o.highestEpoch = max(o.highestEpoch, m.Promise.Number)
	isCurrent := m.Version == Version{o.epoch, o.seq}
	switch {
	case !isCurrent || o.mode == Idle || o.mode == Lost:
		return NoChange, nil
	case m.Kind == Refused:
		// One replica that has promised a higher epoch shows that another instance has claimed the message. An owner
		// that takes a message as new learns in the same way that it is not new.
		o.mode, o.isProposing = Lost, false
		return NoChange, nil
	case m.Kind == Promised && o.mode == Claiming && !o.isProposing, m.Kind == Acked && o.isProposing:
	default:
		return NoChange, nil
	}
	o.recordVote(m)
	votes := o.quorum()
	if votes == nil {
		return NoChange, nil
	}
	if m.Kind == Promised {
		var latest Msg
		for _, v := range votes {
			if v.HeldVersion.Compare(latest.HeldVersion) >= 0 {
				latest = v
			}
		}
		next := latest.Record
		if next.Phase == Unknown { // no earlier owner had completed a write
			next.Phase = Taken
		}
		// The progress of the last owner must be acknowledged in this epoch before anything else.
		return NoChange, o.propose(next)
	}
	result = Permitted
	if o.mode != Owning {
		result = Owned
	}
	o.record, o.isProposing, o.votes, o.mode = o.proposed, false, nil, Owning
	return result, nil
}

// recordVote keeps the latest vote of each replica.
func (o *Owner) recordVote(m Msg) {
	for i, v := range o.votes {
		if v.From == m.From {
			if m.Incarnation >= v.Incarnation {
				o.votes[i] = m
			}
			return
		}
	}
	o.votes = append(o.votes, m)
}

// quorum returns the votes of a quorum, or nil. Neither of two voters may know of a later incarnation of the other: the
// other has lost what it voted for in a restart, and may not have received it again.
func (o *Owner) quorum() []Msg {
	if o.faults.singleReplica && len(o.votes) > 0 {
		return o.votes[:1]
	}
	for i, a := range o.votes {
		for _, b := range o.votes[:i] {
			if o.faults.acceptOldIncarnations || !knowsLaterIncarnation(a, b) && !knowsLaterIncarnation(b, a) {
				return []Msg{a, b}
			}
		}
	}
	return nil
}

// knowsLaterIncarnation reports whether the sender of a knows of a later incarnation of the sender of b.
func knowsLaterIncarnation(a, b Msg) bool {
	return slices.ContainsFunc(a.Others[:],
		func(other Incarnation) bool { return other.Node == b.From && other.Number > b.Incarnation })
}
