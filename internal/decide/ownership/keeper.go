package ownership

import "slices"

// Keeper holds the registers of one instance. Its caller serializes the calls and bounds how many messages it holds:
// Drop.
type Keeper struct {
	me     Node
	life   uint64
	roster []Node
	rules  rules

	lives map[Node]uint64 // of the others, as they have said
	told  map[Node]bool   // who has told all it holds since this start
	regs  map[string]register
}

type register struct {
	held    Version
	record  Record
	promise Epoch
}

// NewKeeper returns the keeper of an instance in its life of that number, higher than that of any before. One that
// starts for the first time of all, with nothing to forget, is sure from the start.
func NewKeeper(me Node, life uint64, roster []Node, first bool) *Keeper {
	k := &Keeper{me: me, life: life, roster: slices.Clone(roster), lives: map[Node]uint64{}, told: map[Node]bool{},
		regs: map[string]register{}}
	for _, n := range roster {
		k.told[n] = first || n == me
	}
	return k
}

// Pulls are what the keeper asks the others at its start, and again for as long as they have not answered.
func (k *Keeper) Pulls() (out []Msg) {
	for _, n := range k.roster {
		if !k.told[n] {
			out = append(out, Msg{Kind: Pull, From: k.me, To: n, Life: k.life})
		}
	}
	return out
}

// Settle makes the keeper sure: as long as any message is remembered has gone by since it started, so that there is
// none left that it may have forgotten.
func (k *Keeper) Settle() {
	for _, n := range k.roster {
		k.told[n] = true
	}
}

// Drop forgets a message whose window is over.
func (k *Keeper) Drop(id string) { delete(k.regs, id) }

// Len is how many messages are held.
func (k *Keeper) Len() int { return len(k.regs) }

// others are the other keepers of a message; ok tells whether this is one.
func (k *Keeper) others(id string) (others [Of - 1]Node, ok bool) {
	all, enough := Keepers(k.roster, id)
	if i := slices.Index(all[:], k.me); enough && i >= 0 {
		copy(others[:], slices.Delete(all[:], i, i+1))
		return others, true
	}
	return others, false
}

// sure tells whether the keeper votes on a message: it knows all that it may have known of it before it started.
func (k *Keeper) sure(others [Of - 1]Node) bool {
	return k.rules.forgetful || k.told[others[0]] && k.told[others[1]]
}

// Handle takes a message that was sent to this keeper and appends what it answers to out. What is odd, or for a keeper
// that it is not, gets no answer.
func (k *Keeper) Handle(m Msg, out []Msg) []Msg {
	switch m.Kind {
	case Pull:
		return k.pulled(m, out)
	case Pulled:
		k.learn(m)
		return out
	case Write, Claim:
	default:
		return out
	}
	others, mine := k.others(m.ID)
	if !mine || !k.sure(others) || m.Version.Epoch.N == 0 {
		return out
	}
	r, known := k.regs[m.ID]
	answer := Msg{ID: m.ID, From: k.me, To: m.From, Life: k.life, Version: m.Version, Promise: r.promise, Held: r.held,
		Record: r.record}
	for i, n := range others {
		answer.Others[i] = Life{n, k.lives[n]}
	}
	over := m.Version.Epoch.Compare(r.promise) < 0 && !(k.rules.anyEpoch && m.Kind == Write)
	switch {
	case over, m.Fresh && known && m.Version.Compare(r.held) != 0:
		answer.Kind = Refused
	case m.Kind == Claim:
		r.promise = m.Version.Epoch
		k.regs[m.ID] = r
		answer.Kind, answer.Promise = Promised, r.promise
	default:
		if r.promise.Compare(m.Version.Epoch) < 0 {
			r.promise = m.Version.Epoch
		}
		if m.Version.Compare(r.held) > 0 || k.rules.anyEpoch {
			r.held, r.record = m.Version, m.Record
		}
		k.regs[m.ID] = r
		answer.Kind, answer.Held, answer.Record = Acked, r.held, r.record
	}
	return append(out, answer)
}

// pulled tells a keeper that has started again all that both keep. From here on it is known to be another.
func (k *Keeper) pulled(m Msg, out []Msg) []Msg {
	if !slices.Contains(k.roster, m.From) || m.Life < k.lives[m.From] {
		return out
	}
	k.lives[m.From] = m.Life
	both := true
	for id, r := range k.regs {
		if others, ok := k.others(id); ok && slices.Contains(others[:], m.From) {
			out = append(out, Msg{Kind: Pulled, ID: id, From: k.me, To: m.From, Life: m.Life, Held: r.held,
				Record: r.record, Promise: r.promise})
		}
	}
	for _, n := range k.roster {
		both = both && k.told[n]
	}
	return append(out, Msg{Kind: Pulled, From: k.me, To: m.From, Life: m.Life, Sure: both})
}

// learn takes what another tells. The last of it counts only where all before has come: the link that carries them
// keeps their order, and one that breaks begins anew with a Pull.
func (k *Keeper) learn(m Msg) {
	if m.Life != k.life || k.told[m.From] {
		return
	}
	if m.ID == "" {
		k.told[m.From] = m.Sure
		return
	}
	r := k.regs[m.ID]
	if m.Held.Compare(r.held) > 0 {
		r.held, r.record = m.Held, m.Record
	}
	if m.Promise.Compare(r.promise) > 0 {
		r.promise = m.Promise
	}
	k.regs[m.ID] = r
}
