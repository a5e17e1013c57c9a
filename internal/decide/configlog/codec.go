package configlog

import (
	"encoding/binary"
	"fmt"
	"slices"
)

// WireVersion is the first byte of an encoded body.
const WireVersion = 1

// AppendBody appends an encoded body: version, kind and fields. From and To are the transport's.
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
		return appendRevision(appendBeat(to, b.ID), b.Held)
	case HeartbeatAck:
		return appendBeat(to, b.ID)
	case Recover:
		return binary.AppendUvarint(to, b.Incarnation)
	case RecoverReply:
		return appendRevision(appendVote(binary.AppendUvarint(to, b.Incarnation), b.Vote), b.Held)
	case Digest:
		return appendRevision(appendBeat(to, b.Heartbeat), b.Held)
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
	return to // Overloaded
}

// ParseBody reads what AppendBody has written, whole: a body that is cut short, goes on, is beyond a limit or of an
// unknown version or kind is an error that wraps ErrForm or ErrLimit. The result shares no memory with text.
func ParseBody(text []byte) (Body, error) {
	if len(text) > MaxMessage {
		return nil, fmt.Errorf("%w: a message of %d bytes", ErrLimit, len(text))
	}
	if len(text) < 2 || text[0] != WireVersion {
		return nil, fmt.Errorf("%w: no message of version %d", ErrMalformed, WireVersion)
	}
	in := decoder{text: text[2:]}
	body := in.body(kind(text[1]))
	if in.err == nil && len(in.text) > 0 {
		in.fail("it goes on after its end")
	}
	if in.err != nil {
		return nil, in.err
	}
	return body, nil
}

func (in *decoder) body(k kind) Body {
	switch k {
	case kindCanvass:
		return PreVote{in.epoch()}
	case kindWilling:
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
		return Heartbeat{in.beat(), in.revision()}
	case kindHeartbeatAck:
		return HeartbeatAck{in.beat()}
	case kindRecover:
		return Recover{in.uvarint()}
	case kindRecovered:
		return RecoverReply{in.uvarint(), in.vote(), in.revision()}
	case kindDigest:
		return Digest{in.beat(), in.revision()}
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
	case kindApplied:
		return ApplyReply{Result{in.uvarint(), Outcome(in.byte()), in.revision(), in.node()}}
	}
	in.fail("unknown kind %d", k)
	return nil
}

func appendString(to []byte, text string) []byte {
	return append(binary.AppendUvarint(to, uint64(len(text))), text...)
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

func appendBeat(to []byte, b HeartbeatID) []byte {
	return binary.AppendUvarint(appendEpoch(to, b.Epoch), b.Tick)
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

// AppendVote appends a vote as it is to be saved.
func AppendVote(to []byte, v Vote) []byte { return appendVote(append(to, WireVersion), v) }

// ParseVote reads what AppendVote has written.
func ParseVote(text []byte) (Vote, error) {
	if len(text) == 0 || len(text) > MaxMessage || text[0] != WireVersion {
		return Vote{}, fmt.Errorf("%w: no vote of version %d", ErrMalformed, WireVersion)
	}
	in := decoder{text: text[1:]}
	v := in.vote()
	if in.err == nil && len(in.text) > 0 {
		in.fail("it goes on after its end")
	}
	return v, in.err
}

// AppendDocument appends a whole document as it is to be saved, with its revision.
func AppendDocument(to []byte, d *Document) []byte {
	return append(appendRevision(append(to, WireVersion), d.revision), d.Snapshot()...)
}

// ParseDocument reads what AppendDocument has written, and checks it as a whole.
func ParseDocument(text []byte) (*Document, error) {
	if len(text) == 0 || text[0] != WireVersion {
		return nil, fmt.Errorf("%w: no document of version %d", ErrMalformed, WireVersion)
	}
	in := decoder{text: text[1:]}
	revision := in.revision()
	if in.err != nil {
		return nil, in.err
	}
	return ParseSnapshot(revision, in.text)
}

// decoder reads fields one after the other, until the first that is not well-formed.
type decoder struct {
	text []byte
	err  error
}

func (in *decoder) fail(format string, args ...any) {
	if in.err == nil {
		in.err = fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
	}
	in.text = nil
}

func (in *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(in.text)
	if n <= 0 {
		in.fail("cut short")
		return 0
	}
	in.text = in.text[n:]
	return v
}

func (in *decoder) uint32() uint32 {
	v := in.uvarint()
	if v > 1<<32-1 {
		in.fail("%d is no 32 bits", v)
	}
	return uint32(v)
}

func (in *decoder) byte() byte {
	if len(in.text) == 0 {
		in.fail("cut short")
		return 0
	}
	b := in.text[0]
	in.text = in.text[1:]
	return b
}

func (in *decoder) bool() bool {
	b := in.byte()
	if b > 1 {
		in.fail("%d is no truth value", b)
	}
	return b == 1
}

func (in *decoder) bytes(most int) []byte {
	n := in.uvarint()
	if n > uint64(most) || n > uint64(len(in.text)) {
		in.fail("%d bytes", n)
		return nil
	}
	b := slices.Clone(in.text[:n])
	in.text = in.text[n:]
	return b
}

func (in *decoder) string(most int) string { return string(in.bytes(most)) }

func (in *decoder) uint64() uint64 {
	if len(in.text) < 8 {
		in.fail("cut short")
		return 0
	}
	v := binary.BigEndian.Uint64(in.text)
	in.text = in.text[8:]
	return v
}

func (in *decoder) node() NodeID      { return NodeID(in.string(MaxNodeID)) }
func (in *decoder) epoch() Epoch      { return Epoch{in.uvarint(), in.node()} }
func (in *decoder) beat() HeartbeatID { return HeartbeatID{in.epoch(), in.uvarint()} }
func (in *decoder) delta() Delta      { return Delta{in.revision(), in.change()} }
func (in *decoder) vote() (v Vote)    { return Vote{in.bool(), in.epoch(), in.proposal()} }

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
		in.fail("%d entries", n)
		return nil
	}
	for range n {
		e := Entry{Key: in.string(MaxKey), Delete: in.bool(), Value: in.bytes(MaxValue)}
		if in.err != nil {
			return nil
		}
		c = append(c, e)
	}
	if err := c.check(); err != nil {
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
		in.fail("%d deltas", n)
	}
	for range n {
		if in.err != nil {
			break
		}
		d.Deltas = append(d.Deltas, in.delta())
	}
	return d
}
