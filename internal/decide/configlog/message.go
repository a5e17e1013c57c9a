package configlog

// Message is a message between two members. It may be lost, duplicated, reordered and delayed. From must be the sender
// that the transport has authenticated, never what the sender claims.
type Message struct {
	From, To NodeID
	Body     Body
}

// Body is the body of a message: one of the types below.
type Body interface{ kind() messageKind }

// Messages between origins. Held is the current revision of the sender.
type (
	// PreVote asks whether an origin would promise a new epoch; it would unless it receives a leader's heartbeats.
	PreVote struct{ Epoch Epoch }
	// PreVoteGranted answers a PreVote: the sender would promise the epoch.
	PreVoteGranted struct{ Epoch Epoch }
	// Prepare asks for the promise to accept no more proposals of earlier epochs.
	Prepare struct{ Epoch Epoch }
	// Promise answers a Prepare with the promise and with the proposal that the sender has accepted.
	Promise struct {
		Epoch    Epoch
		Held     Revision
		Accepted Proposal // not known to be committed; number 0 for none
	}
	// Accept asks for a proposal to be stored durably.
	Accept struct{ Proposal Proposal }
	// Accepted answers an Accept: the proposal is stored.
	Accepted struct {
		Ballot   Epoch
		Revision Revision
	}
	// Reject answers a PreVote, Prepare, Accept or Heartbeat of an epoch that is over, or an Accept whose previous
	// revision the sender does not hold.
	Reject struct {
		Epoch    Epoch // of the rejected message
		Promised Epoch
		Held     Revision
	}
	// Heartbeat informs the other origins that the sender leads.
	Heartbeat struct {
		ID   HeartbeatID
		Held Revision
	}
	// HeartbeatAck answers a Heartbeat.
	HeartbeatAck struct{ ID HeartbeatID }
	// Recover asks what the sender may have voted for; the sender has restarted with an empty disk.
	Recover struct{ Incarnation uint64 }
	// RecoverReply answers a Recover.
	RecoverReply struct {
		Incarnation uint64
		Vote        Vote
		Held        Revision
	}
)

// Messages between all members. Held is the current revision of the sender.
type (
	// Digest informs a child of the revision that its parent holds and of the latest heartbeat that the parent knows.
	Digest struct {
		Heartbeat HeartbeatID
		Held      Revision
	}
	// Push carries a delta that has just been committed or applied.
	Push struct{ Delta Delta }
	// Pull asks for the revisions after Held, or, with Subscribe, only for a subscription: digests and pushes for a
	// while. A snapshot that has arrived in part is continued: the one of PartialRevision, from Offset on.
	Pull struct {
		Held            Revision
		Subscribe       bool // the sender has lost a parent or is isolated
		PartialRevision Revision
		Offset          uint32
	}
	// Deltas answers a Pull with the next deltas in order, or with none if the sender of the Pull is up to date.
	Deltas struct {
		Deltas []Delta
		Latest Revision // the current one of the sender
	}
	// Chunk answers a Pull with a part of a snapshot.
	Chunk struct {
		Revision Revision
		Total    uint32 // bytes of the whole snapshot
		Offset   uint32
		Data     []byte
	}
	// Overloaded answers a Pull: the sender has no capacity for another subscriber, or for an answer now.
	Overloaded struct{}
	// Apply asks the leader to apply a change to the revision Base.
	Apply struct {
		ID     uint64
		Base   Revision
		Change Change
	}
	// ApplyReply answers an Apply.
	ApplyReply struct{ Result Result }
)

// messageKind identifies the type of a Body on the wire. The values must not change.
type messageKind uint8

const (
	kindPreVote messageKind = iota + 1
	kindPreVoteGranted
	kindPrepare
	kindPromise
	kindAccept
	kindAccepted
	kindReject
	kindHeartbeat
	kindHeartbeatAck
	kindRecover
	kindRecoverReply
	kindDigest
	kindPush
	kindPull
	kindDeltas
	kindChunk
	kindOverloaded
	kindApply
	kindApplyReply
)

func (PreVote) kind() messageKind        { return kindPreVote }
func (PreVoteGranted) kind() messageKind { return kindPreVoteGranted }
func (Prepare) kind() messageKind        { return kindPrepare }
func (Promise) kind() messageKind        { return kindPromise }
func (Accept) kind() messageKind         { return kindAccept }
func (Accepted) kind() messageKind       { return kindAccepted }
func (Reject) kind() messageKind         { return kindReject }
func (Heartbeat) kind() messageKind      { return kindHeartbeat }
func (HeartbeatAck) kind() messageKind   { return kindHeartbeatAck }
func (Recover) kind() messageKind        { return kindRecover }
func (RecoverReply) kind() messageKind   { return kindRecoverReply }
func (Digest) kind() messageKind         { return kindDigest }
func (Push) kind() messageKind           { return kindPush }
func (Pull) kind() messageKind           { return kindPull }
func (Deltas) kind() messageKind         { return kindDeltas }
func (Chunk) kind() messageKind          { return kindChunk }
func (Overloaded) kind() messageKind     { return kindOverloaded }
func (Apply) kind() messageKind          { return kindApply }
func (ApplyReply) kind() messageKind     { return kindApplyReply }
