package configlog

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// WireVersion is the first byte of each encoded body, vote and document.
const WireVersion = 1

// AppendBody appends an encoded body: version, kind and fields. The transport carries From and To of a Message.
func AppendBody(to []byte, body Body) []byte {
	to = append(to, WireVersion, byte(body.kind()))
	switch b := body.(type) {
	case PreVote:
		return appendEpoch(to, b.Epoch)
	case PreVoteGranted:
		return appendEpoch(to, b.Epoch)
	case Prepare:
		return appendEpoch(to, b.Epoch)
	case Promise:
		return appendProposal(appendRevision(appendEpoch(to, b.Epoch), b.Held), b.Accepted)
	case Accept:
		return appendProposal(to, b.Proposal)
	case Accepted:
		return appendRevision(appendEpoch(to, b.Ballot), b.Revision)
	case Reject:
		return appendRevision(appendEpoch(appendEpoch(to, b.Epoch), b.Promised), b.Held)
	case Heartbeat:
		return appendRevision(appendHeartbeatID(to, b.ID), b.Held)
	case HeartbeatAck:
		return appendHeartbeatID(to, b.ID)
	case Recover:
		return binary.AppendUvarint(to, b.Incarnation)
	case RecoverReply:
		return appendRevision(appendVote(binary.AppendUvarint(to, b.Incarnation), b.Vote), b.Held)
	case Digest:
		return appendRevision(appendHeartbeatID(to, b.Heartbeat), b.Held)
	case Push:
		return appendDelta(to, b.Delta)
	case Pull:
		to = appendRevision(appendBool(appendRevision(to, b.Held), b.Subscribe), b.PartialRevision)
		return binary.AppendUvarint(to, uint64(b.Offset))
	case Deltas:
		to = binary.AppendUvarint(appendRevision(to, b.Latest), uint64(len(b.Deltas)))
		for _, d := range b.Deltas {
			to = appendDelta(to, d)
		}
		return to
	case Chunk:
		to = binary.AppendUvarint(appendRevision(to, b.Revision), uint64(b.Total))
		return appendString(binary.AppendUvarint(to, uint64(b.Offset)), string(b.Data))
	case Apply:
		return appendChange(appendRevision(binary.AppendUvarint(to, b.ID), b.Base), b.Change)
	case ApplyReply:
		to = append(binary.AppendUvarint(to, b.Result.ID), byte(b.Result.Outcome))
		return appendString(appendRevision(to, b.Result.Revision), string(b.Result.Leader))
	}
	return to // Overloaded has no fields
}

// ParseBody decodes a body that AppendBody has encoded. The error for a body that is truncated, has trailing bytes,
// exceeds a limit or is of an unknown version or kind wraps ErrMalformed or ErrLimit. The result shares no memory with
// data.
func ParseBody(data []byte) (Body, error) {
	if len(data) > MaxMessage {
		return nil, fmt.Errorf("%w: a message of %d bytes", ErrLimit, len(data))
	}
	if len(data) < 2 || data[0] != WireVersion {
		return nil, fmt.Errorf("%w: not a message of version %d", ErrMalformed, WireVersion)
	}
	in := decoder{data: data[2:]}
	body := in.body(messageKind(data[1]))
	if in.err == nil && len(in.data) > 0 {
		in.fail("trailing bytes")
	}
	if in.err != nil {
		return nil, in.err
	}
	return body, nil
}

func (in *decoder) body(k messageKind) Body {
	switch k {
	case kindPreVote:
		return PreVote{in.epoch()}
	case kindPreVoteGranted:
		return PreVoteGranted{in.epoch()}
	case kindPrepare:
		return Prepare{in.epoch()}
	case kindPromise:
		return Promise{in.epoch(), in.revision(), in.proposal()}
	case kindAccept:
		return Accept{in.proposal()}
	case kindAccepted:
		return Accepted{in.epoch(), in.revision()}
	case kindReject:
		return Reject{in.epoch(), in.epoch(), in.revision()}
	case kindHeartbeat:
		return Heartbeat{in.heartbeatID(), in.revision()}
	case kindHeartbeatAck:
		return HeartbeatAck{in.heartbeatID()}
	case kindRecover:
		return Recover{in.uvarint()}
	case kindRecoverReply:
		return RecoverReply{in.uvarint(), in.vote(), in.revision()}
	case kindDigest:
		return Digest{in.heartbeatID(), in.revision()}
	case kindPush:
		return Push{in.delta()}
	case kindPull:
		return Pull{in.revision(), in.bool(), in.revision(), in.uint32()}
	case kindDeltas:
		return in.deltas()
	case kindChunk:
		return Chunk{in.revision(), in.uint32(), in.uint32(), in.bytes(ChunkBytes)}
	case kindOverloaded:
		return Overloaded{}
	case kindApply:
		return Apply{in.uvarint(), in.revision(), in.change()}
	case kindApplyReply:
		return ApplyReply{Result{in.uvarint(), Outcome(in.byte()), in.revision(), in.node()}}
	}
	in.fail("unknown kind %d", k)
	return nil
}

func appendString(to []byte, value string) []byte {
	return append(binary.AppendUvarint(to, uint64(len(value))), value...)
}

func appendBool(to []byte, set bool) []byte {
	if set {
		return append(to, 1)
	}
	return append(to, 0)
}

func appendEpoch(to []byte, e Epoch) []byte {
	return appendString(binary.AppendUvarint(to, e.Round), string(e.Leader))
}

func appendHeartbeatID(to []byte, id HeartbeatID) []byte {
	return binary.AppendUvarint(appendEpoch(to, id.Epoch), id.Tick)
}

func appendRevision(to []byte, r Revision) []byte {
	to = binary.AppendUvarint(to, r.Number)
	if r.Number == 0 {
		return to
	}
	to = appendEpoch(to, r.Epoch)
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(to, r.Sum.High), r.Sum.Low)
}

func appendChange(to []byte, c Change) []byte {
	to = binary.AppendUvarint(to, uint64(len(c)))
	for _, e := range c {
		to = appendString(appendBool(appendString(to, e.Key), e.Delete), string(e.Value))
	}
	return to
}

func appendDelta(to []byte, d Delta) []byte {
	return appendChange(appendRevision(to, d.Revision), d.Change)
}

func appendProposal(to []byte, p Proposal) []byte {
	to = appendRevision(to, p.Delta.Revision)
	if p.Delta.Revision.Number == 0 {
		return to
	}
	return appendChange(appendEpoch(to, p.Ballot), p.Delta.Change)
}

func appendVote(to []byte, v Vote) []byte {
	return appendProposal(appendEpoch(appendBool(to, v.CanVote), v.Promised), v.Accepted)
}

// AppendVote appends a vote in its saved form.
func AppendVote(to []byte, v Vote) []byte { return appendVote(append(to, WireVersion), v) }

// ParseVote decodes a vote that AppendVote has encoded.
func ParseVote(data []byte) (Vote, error) {
	if len(data) == 0 || len(data) > MaxMessage || data[0] != WireVersion {
		return Vote{}, fmt.Errorf("%w: not a vote of version %d", ErrMalformed, WireVersion)
	}
	in := decoder{data: data[1:]}
	v := in.vote()
	if in.err == nil && len(in.data) > 0 {
		in.fail("trailing bytes")
	}
	return v, in.err
}

// AppendDocument appends a whole document with its revision, in its saved form.
func AppendDocument(to []byte, d *Document) []byte {
	return append(appendRevision(append(to, WireVersion), d.revision), d.Snapshot()...)
}

// ParseDocument decodes a document that AppendDocument has encoded, and verifies its checksum.
func ParseDocument(data []byte) (*Document, error) {
	if len(data) == 0 || data[0] != WireVersion {
		return nil, fmt.Errorf("%w: not a document of version %d", ErrMalformed, WireVersion)
	}
	in := decoder{data: data[1:]}
	revision := in.revision()
	if in.err != nil {
		return nil, in.err
	}
	return ParseSnapshot(revision, in.data)
}

// decoder decodes one field after the other. At the first malformed field it sets err and drops the rest of the data.
type decoder struct {
	data []byte
	err  error
}

func (in *decoder) fail(format string, args ...any) {
	if in.err == nil {
		in.err = fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
	}
	in.data = nil
}

func (in *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(in.data)
	if n <= 0 {
		in.fail("truncated")
		return 0
	}
	in.data = in.data[n:]
	return v
}

func (in *decoder) uint32() uint32 {
	v := in.uvarint()
	if v > 1<<32-1 {
		in.fail("%d exceeds 32 bits", v)
	}
	return uint32(v)
}

func (in *decoder) byte() byte {
	if len(in.data) == 0 {
		in.fail("truncated")
		return 0
	}
	b := in.data[0]
	in.data = in.data[1:]
	return b
}

func (in *decoder) bool() bool {
	b := in.byte()
	if b > 1 {
		in.fail("%d is not a boolean", b)
	}
	return b == 1
}

func (in *decoder) bytes(maxBytes int) []byte {
	n := in.uvarint()
	if n > uint64(maxBytes) || n > uint64(len(in.data)) {
		in.fail("a field of %d bytes is too long or truncated", n)
		return nil
	}
	b := slices.Clone(in.data[:n])
	in.data = in.data[n:]
	return b
}

func (in *decoder) string(maxBytes int) string { return string(in.bytes(maxBytes)) }

func (in *decoder) uint64() uint64 {
	if len(in.data) < 8 {
		in.fail("truncated")
		return 0
	}
	v := binary.BigEndian.Uint64(in.data)
	in.data = in.data[8:]
	return v
}

func (in *decoder) node() NodeID             { return NodeID(in.string(MaxNodeID)) }
func (in *decoder) epoch() Epoch             { return Epoch{in.uvarint(), in.node()} }
func (in *decoder) heartbeatID() HeartbeatID { return HeartbeatID{in.epoch(), in.uvarint()} }
func (in *decoder) delta() Delta             { return Delta{in.revision(), in.change()} }
func (in *decoder) vote() (v Vote)           { return Vote{in.bool(), in.epoch(), in.proposal()} }

func (in *decoder) revision() (r Revision) {
	if r.Number = in.uvarint(); r.Number == 0 {
		return r
	}
	r.Epoch = in.epoch()
	r.Sum = Sum{in.uint64(), in.uint64()}
	return r
}

func (in *decoder) change() (c Change) {
	n := in.uvarint()
	if n > MaxEntries {
		in.fail("%d entries are too many", n)
		return nil
	}
	for range n {
		e := Entry{Key: in.string(MaxKey), Delete: in.bool(), Value: in.bytes(MaxValue)}
		if in.err != nil {
			return nil
		}
		c = append(c, e)
	}
	if err := c.validate(); err != nil {
		in.fail("%v", err)
	}
	return c
}

func (in *decoder) proposal() (p Proposal) {
	p.Delta.Revision = in.revision()
	if p.Delta.Revision.Number > 0 {
		p.Ballot = in.epoch()
		p.Delta.Change = in.change()
	}
	return p
}

func (in *decoder) deltas() Deltas {
	d := Deltas{Latest: in.revision()}
	n := in.uvarint()
	if n > MaxLogDeltas {
		in.fail("%d deltas are too many", n)
	}
	for range n {
		if in.err != nil {
			break
		}
		d.Deltas = append(d.Deltas, in.delta())
	}
	return d
}
