package configlog

// Message is what one member tells another. It may be lost, doubled, overtaken and come late. Who it is from must be
// what the transport has authenticated, never what the sender claims.
type Message struct {
	From, To NodeID
	Body     Body
}

// Body is one of the messages below.
type Body interface{ kind() kind }

// Between origins.
type (
	// PreVote asks whether an origin would promise a new epoch: it would unless it hears from a leader.
	PreVote struct{ Epoch Epoch }
	// PreVoteGranted answers that it would.
	PreVoteGranted struct{ Epoch Epoch }
	// Prepare asks for the promise to take nothing of an earlier epoch any more.
	Prepare struct{ Epoch Epoch }
	// Promise gives it, with what was accepted and is held.
	Promise struct {
		Epoch    Epoch
		Held     Revision
		Accepted Proposal // number 0 for none
	}
	// Accept asks to store a proposal durably.
	Accept struct{ Proposal Proposal }
	// Accepted answers that it is stored.
	Accepted struct {
		Ballot   Epoch
		Revision Revision
	}
	// Reject answers a Prepare, Accept or Heartbeat that comes too late, or an Accept to one that is behind.
	Reject struct {
		Epoch    Epoch // what was asked
		Promised Epoch
		Held     Revision
	}
	// Heartbeat tells the other origins who leads.
	Heartbeat struct {
		ID   HeartbeatID
		Held Revision
	}
	// HeartbeatAck answers it.
	HeartbeatAck struct{ ID HeartbeatID }
	// Recover asks for all that the asker may have voted on: it has restarted from nothing.
	Recover struct{ Incarnation uint64 }
	// RecoverReply answers it.
	RecoverReply struct {
		Incarnation uint64
		Vote        Vote
		Held        Revision
	}
)

// Between all members.
type (
	// Digest tells a child what its parent holds, and how fresh that is.
	Digest struct {
		Heartbeat HeartbeatID
		Held      Revision
	}
	// Push brings a revision that has just been committed or taken.
	Push struct{ Delta Delta }
	// Pull asks for what comes after Held. One that has begun to get a snapshot goes on at Offset of that of Part.
	Pull struct {
		Held            Revision
		Subscribe       bool // the asker has lost a parent, and wants to be fed for a while
		PartialRevision Revision
		Offset          uint32
	}
	// Deltas answer it with the next revisions in order; none if there are none.
	Deltas struct {
		Deltas []Delta
		Latest Revision // what the sender holds
	}
	// Chunk answers it with a part of a snapshot.
	Chunk struct {
		Revision Revision
		Total    uint32 // bytes of the snapshot
		Offset   uint32
		Data     []byte
	}
	// Overloaded answers that the sender has too many to feed.
	Overloaded struct{}
	// Apply asks the leader for a change of the revision Base.
	Apply struct {
		ID     uint64
		Base   Revision
		Change Change
	}
	// ApplyReply answers it.
	ApplyReply struct{ Result Result }
)

// kind is a message's first byte on the wire.
type kind uint8

const (
	kindCanvass kind = iota + 1
	kindWilling
	kindPrepare
	kindPromise
	kindAccept
	kindAccepted
	kindReject
	kindHeartbeat
	kindHeartbeatAck
	kindRecover
	kindRecovered
	kindDigest
	kindPush
	kindPull
	kindDeltas
	kindChunk
	kindOverloaded
	kindApply
	kindApplied
)

func (PreVote) kind() kind        { return kindCanvass }
func (PreVoteGranted) kind() kind { return kindWilling }
func (Prepare) kind() kind        { return kindPrepare }
func (Promise) kind() kind        { return kindPromise }
func (Accept) kind() kind         { return kindAccept }
func (Accepted) kind() kind       { return kindAccepted }
func (Reject) kind() kind         { return kindReject }
func (Heartbeat) kind() kind      { return kindHeartbeat }
func (HeartbeatAck) kind() kind   { return kindHeartbeatAck }
func (Recover) kind() kind        { return kindRecover }
func (RecoverReply) kind() kind   { return kindRecovered }
func (Digest) kind() kind         { return kindDigest }
func (Push) kind() kind           { return kindPush }
func (Pull) kind() kind           { return kindPull }
func (Deltas) kind() kind         { return kindDeltas }
func (Chunk) kind() kind          { return kindChunk }
func (Overloaded) kind() kind     { return kindOverloaded }
func (Apply) kind() kind          { return kindApply }
func (ApplyReply) kind() kind     { return kindApplied }
