package ownership

import "slices"

// Mode is what a holder is doing.
type Mode uint8

// The modes.
const (
	Idle     Mode = iota
	Taking        // a message that it holds to be new
	Claiming      // one that another may have had
	Holding       // it owns the message
	Lost          // another has it, or will
)

// News is what an answer has brought.
type News uint8

// The news.
const (
	Nothing   News = iota
	Owned          // the message is this holder's now, as far as Record says
	Permitted      // the step that was asked for may be taken
)

// Holder is one instance's side of one message: it takes or claims it, and asks for each step. Its caller serializes
// the calls.
type Holder struct {
	me      Node
	id      string
	keepers [Of]Node
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

// NewHolder returns a holder that has done nothing yet.
func NewHolder(me Node, id string, keepers [Of]Node) *Holder {
	return &Holder{me: me, id: id, keepers: keepers}
}

// Mode is what the holder is doing.
func (h *Holder) Mode() Mode { return h.mode }

// Record is how far the message has got, by what two keepers have acknowledged, as long as the holder owns it.
func (h *Holder) Record() Record { return h.record }

// Take begins to own a message that is new here. Nothing may be done with it until Handle has said that it is owned.
func (h *Holder) Take() []Msg {
	h.mode, h.epoch = Taking, Epoch{1, h.me}
	return h.ask(Record{Phase: Taken})
}

// Claim begins to own a message that another may have had, over whatever epoch has been heard of.
func (h *Holder) Claim() []Msg {
	h.seen = max(h.seen, h.epoch.N, 1) + 1
	h.mode, h.epoch, h.seq, h.votes, h.asking = Claiming, Epoch{h.seen, h.me}, 0, nil, false
	return h.Again()
}

// Step asks for the next step of a message that it owns, one at a time. The step may be taken when Handle has said that
// it is permitted, and not before: Sending before the first byte of an attempt, Answered before the first byte of the
// final answer.
func (h *Holder) Step(next Record) []Msg {
	if h.mode != Holding || h.asking || !follows(h.record, next) {
		return nil
	}
	return h.ask(next)
}

// follows tells whether a step leads on: an answer is the last one, and no attempt has the number of another.
func follows(from, to Record) bool {
	return from.Phase != Answered && (to.Phase == Answered || to.Phase == Sending && to.Attempt > from.Attempt)
}

func (h *Holder) ask(next Record) []Msg {
	h.seq++
	h.next, h.asking, h.votes = next, true, nil
	return h.Again()
}

// Again are the messages of what is under way, to be sent to those who have not answered.
func (h *Holder) Again() (out []Msg) {
	m := Msg{Kind: Write, ID: h.id, From: h.me, Version: Version{h.epoch, h.seq}, Record: h.next,
		Fresh: h.mode == Taking}
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

func (h *Holder) voted(k Node) bool {
	return slices.ContainsFunc(h.votes, func(v Msg) bool { return v.From == k })
}

// Handle takes the answer of a keeper; out is what is to be sent.
func (h *Holder) Handle(m Msg) (news News, out []Msg) {
	if m.ID != h.id {
		return Nothing, nil
	}
	h.seen = max(h.seen, m.Promise.N)
	asked := m.Version == Version{h.epoch, h.seq}
	switch {
	case !asked || h.mode == Idle || h.mode == Lost:
		return Nothing, nil
	case m.Kind == Refused:
		// Of a claim, or a step of an owner, one keeper that has promised more is enough to know that another is at it.
		// Who takes a message finds in the same way that it is not new.
		h.mode, h.asking = Lost, false
		return Nothing, nil
	case m.Kind == Promised && h.mode == Claiming && !h.asking, m.Kind == Acked && h.asking:
	default:
		return Nothing, nil
	}
	h.count(m)
	votes := h.quorum()
	if votes == nil {
		return Nothing, nil
	}
	if m.Kind == Promised {
		var latest Msg
		for _, v := range votes {
			if v.Held.Compare(latest.Held) >= 0 {
				latest = v
			}
		}
		next := latest.Record
		if next.Phase == Unknown { // nobody had got further than to ask
			next.Phase = Taken
		}
		return Nothing, h.ask(next) // what the last owner had reached is settled in this epoch before anything else
	}
	news = Permitted
	if h.mode != Holding {
		news = Owned
	}
	h.record, h.asking, h.votes, h.mode = h.next, false, nil, Holding
	return news, nil
}

// count keeps the latest vote of each keeper.
func (h *Holder) count(m Msg) {
	for i, v := range h.votes {
		if v.From == m.From {
			if m.Life >= v.Life {
				h.votes[i] = m
			}
			return
		}
	}
	h.votes = append(h.votes, m)
}

// quorum returns the votes that are enough, or nil. Neither of two may know of a later life of the other: the vote of
// the other was forgotten, and nobody need have told it anew.
func (h *Holder) quorum() []Msg {
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
	return slices.ContainsFunc(a.Others[:], func(o Life) bool { return o.Node == b.From && o.Life > b.Life })
}
