package ownership

import "slices"

// Mode is what a holder is doing.
type Mode uint8

// The modes.
const (
	Idle     Mode = iota
	Taking        // a message that it holds to be new
	Claiming      // one that another may have had
	Owning        // it owns the message
	Lost          // another has it, or will
)

// Result is what an answer has brought.
type Result uint8

// The news.
const (
	NoChange  Result = iota
	Owned            // the message is this holder's now, as far as Record says
	Permitted        // the step that was asked for may be taken
)

// Owner is one instance's side of one message: it takes or claims it, and asks for each step. Its caller serializes
// the calls.
type Owner struct {
	me      Node
	id      string
	keepers [NumReplicas]Node
	rules   rules

	mode   Mode
	epoch  Epoch
	record Record // settled: what two keepers have
	next   Record // asked for
	asking bool
	seq    uint32
	votes  []Msg
	seen   uint32 // the highest number of an epoch that was heard of
}

// NewOwner returns a holder that has done nothing yet.
func NewOwner(me Node, id string, keepers [NumReplicas]Node) *Owner {
	return &Owner{me: me, id: id, keepers: keepers}
}

// Mode is what the holder is doing.
func (h *Owner) Mode() Mode { return h.mode }

// Record is how far the message has got, by what two keepers have acknowledged, as long as the holder owns it.
func (h *Owner) Record() Record { return h.record }

// Take begins to own a message that is new here. Nothing may be done with it until Handle has said that it is owned.
func (h *Owner) Take() []Msg {
	h.mode, h.epoch = Taking, Epoch{1, h.me}
	return h.ask(Record{Phase: Taken})
}

// Claim begins to own a message that another may have had, over whatever epoch has been heard of.
func (h *Owner) Claim() []Msg {
	h.seen = max(h.seen, h.epoch.Number, 1) + 1
	h.mode, h.epoch, h.seq, h.votes, h.asking = Claiming, Epoch{h.seen, h.me}, 0, nil, false
	return h.Resend()
}

// Step asks for the next step of a message that it owns, one at a time. The step may be taken when Handle has said that
// it is permitted, and not before: Sending before the first byte of an attempt, Answered before the first byte of the
// final answer.
func (h *Owner) Step(next Record) []Msg {
	if h.mode != Owning || h.asking || !follows(h.record, next) {
		return nil
	}
	return h.ask(next)
}

// follows tells whether a step leads on: an answer is the last one, and no attempt has the number of another.
func follows(from, to Record) bool {
	return from.Phase != Answered && (to.Phase == Answered || to.Phase == Sending && to.Attempt > from.Attempt)
}

func (h *Owner) ask(next Record) []Msg {
	h.seq++
	h.next, h.asking, h.votes = next, true, nil
	return h.Resend()
}

// Resend are the messages of what is under way, to be sent to those who have not answered.
func (h *Owner) Resend() (out []Msg) {
	m := Msg{Kind: Write, ID: h.id, From: h.me, Version: Version{h.epoch, h.seq}, Record: h.next,
		IsNew: h.mode == Taking}
	if h.mode == Claiming && !h.asking {
		m.Kind, m.Record = Claim, Record{}
	}
	if h.mode != Claiming && !h.asking {
		return nil
	}
	for _, k := range h.keepers {
		if !h.voted(k) {
			m.To = k
			out = append(out, m)
		}
	}
	return out
}

func (h *Owner) voted(k Node) bool {
	return slices.ContainsFunc(h.votes, func(v Msg) bool { return v.From == k })
}

// Handle takes the answer of a keeper; out is what is to be sent.
func (h *Owner) Handle(m Msg) (news Result, out []Msg) {
	if m.ID != h.id {
		return NoChange, nil
	}
	h.seen = max(h.seen, m.Promise.Number)
	asked := m.Version == Version{h.epoch, h.seq}
	switch {
	case !asked || h.mode == Idle || h.mode == Lost:
		return NoChange, nil
	case m.Kind == Refused:
		// Of a claim, or a step of an owner, one keeper that has promised more is enough to know that another is at it.
		// Who takes a message finds in the same way that it is not new.
		h.mode, h.asking = Lost, false
		return NoChange, nil
	case m.Kind == Promised && h.mode == Claiming && !h.asking, m.Kind == Acked && h.asking:
	default:
		return NoChange, nil
	}
	h.count(m)
	votes := h.quorum()
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
		if next.Phase == Unknown { // nobody had got further than to ask
			next.Phase = Taken
		}
		return NoChange, h.ask(next) // what the last owner had reached is settled in this epoch before anything else
	}
	news = Permitted
	if h.mode != Owning {
		news = Owned
	}
	h.record, h.asking, h.votes, h.mode = h.next, false, nil, Owning
	return news, nil
}

// count keeps the latest vote of each keeper.
func (h *Owner) count(m Msg) {
	for i, v := range h.votes {
		if v.From == m.From {
			if m.Incarnation >= v.Incarnation {
				h.votes[i] = m
			}
			return
		}
	}
	h.votes = append(h.votes, m)
}

// quorum returns the votes that are enough, or nil. Neither of two may know of a later life of the other: the vote of
// the other was forgotten, and nobody need have told it anew.
func (h *Owner) quorum() []Msg {
	if h.rules.one && len(h.votes) > 0 {
		return h.votes[:1]
	}
	for i, a := range h.votes {
		for _, b := range h.votes[:i] {
			if h.rules.oldLives || !outlived(a, b) && !outlived(b, a) {
				return []Msg{a, b}
			}
		}
	}
	return nil
}

// outlived tells whether a knows of a later life of b.
func outlived(a, b Msg) bool {
	return slices.ContainsFunc(a.Others[:], func(o Incarnation) bool { return o.Node == b.From && o.Number > b.Incarnation })
}
