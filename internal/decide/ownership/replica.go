package ownership

import "slices"

// Replica holds the registers of one instance. It is not safe for concurrent use. Its caller bounds the number of
// registers by Drop.
type Replica struct {
	me          Node
	incarnation uint64
	roster      []Node
	faults      faults

	incarnations map[Node]uint64 // of the other replicas, as they have reported
	synced       map[Node]bool   // replicas that have sent all they hold since this start
	registers    map[string]register
}

// register is the progress of one message.
type register struct {
	held    Version // of the record; zero for none
	record  Record
	promise Epoch // no lower epoch is accepted
}

// NewReplica returns the replica of an instance. The incarnation must be higher than that of any earlier start. If
// first is set the instance starts for the first time, so it has lost nothing and votes at once.
func NewReplica(me Node, incarnation uint64, roster []Node, first bool) *Replica {
	r := &Replica{me: me, incarnation: incarnation, roster: slices.Clone(roster), incarnations: map[Node]uint64{},
		synced: map[Node]bool{}, registers: map[string]register{}}
	for _, n := range roster {
		r.synced[n] = first || n == me
	}
	return r
}

// PullRequests returns the requests to the other replicas after a start. They are repeated until the others have
// answered.
func (r *Replica) PullRequests() (out []Msg) {
	for _, n := range r.roster {
		if !r.synced[n] {
			out = append(out, Msg{Kind: Pull, From: r.me, To: n, Incarnation: r.incarnation})
		}
	}
	return out
}

// MarkComplete lets the replica vote on all messages. It is called when the replica has run for the longest time that
// a message is remembered, so that no message is left whose register it may have lost.
func (r *Replica) MarkComplete() {
	for _, n := range r.roster {
		r.synced[n] = true
	}
}

// Drop removes the register of a message whose window is over.
func (r *Replica) Drop(id string) { delete(r.registers, id) }

// Len returns the number of registers.
func (r *Replica) Len() int { return len(r.registers) }

// otherReplicas returns the other replicas of a message; ok reports whether this is one of its replicas.
func (r *Replica) otherReplicas(id string) (others [NumReplicas - 1]Node, ok bool) {
	all, enough := ReplicasOf(r.roster, id)
	if i := slices.Index(all[:], r.me); enough && i >= 0 {
		copy(others[:], slices.Delete(all[:], i, i+1))
		return others, true
	}
	return others, false
}

// canVote reports whether the replica may vote on a message: it has all that it may have held before it started.
func (r *Replica) canVote(others [NumReplicas - 1]Node) bool {
	return r.faults.voteIncomplete || r.synced[others[0]] && r.synced[others[1]]
}

// Handle processes a protocol message to this replica and appends the answers to out. Invalid messages, and those about
// a message of which this is no replica, get no answer.
func (r *Replica) Handle(m Msg, out []Msg) []Msg {
	switch m.Kind {
	case Pull:
		return r.handlePull(m, out)
	case Pulled:
		r.handlePulled(m)
		return out
	case Write, Claim:
	default:
		return out
	}
	others, isReplica := r.otherReplicas(m.ID)
	if !isReplica || !r.canVote(others) || m.Version.Epoch.Number == 0 {
		return out
	}
	reg, known := r.registers[m.ID]
	answer := Msg{ID: m.ID, From: r.me, To: m.From, Incarnation: r.incarnation, Version: m.Version,
		Promise: reg.promise, HeldVersion: reg.held, Record: reg.record}
	for i, n := range others {
		answer.Others[i] = Incarnation{n, r.incarnations[n]}
	}
	superseded := m.Version.Epoch.Compare(reg.promise) < 0 && !(r.faults.acceptOldEpochs && m.Kind == Write)
	switch {
	case superseded, m.IsNew && known && m.Version.Compare(reg.held) != 0:
		answer.Kind = Refused
	case m.Kind == Claim:
		reg.promise = m.Version.Epoch
		r.registers[m.ID] = reg
		answer.Kind, answer.Promise = Promised, reg.promise
	default:
		if reg.promise.Compare(m.Version.Epoch) < 0 {
			reg.promise = m.Version.Epoch
		}
		if m.Version.Compare(reg.held) > 0 || r.faults.acceptOldEpochs {
			reg.held, reg.record = m.Version, m.Record
		}
		r.registers[m.ID] = reg
		answer.Kind, answer.HeldVersion, answer.Record = Acked, reg.held, reg.record
	}
	return append(out, answer)
}

// handlePull sends a replica that has restarted all registers that both hold. From then on this replica reports the new
// incarnation of the other.
func (r *Replica) handlePull(m Msg, out []Msg) []Msg {
	if !slices.Contains(r.roster, m.From) || m.Incarnation < r.incarnations[m.From] {
		return out
	}
	r.incarnations[m.From] = m.Incarnation
	synced := true
	for id, reg := range r.registers {
		if others, ok := r.otherReplicas(id); ok && slices.Contains(others[:], m.From) {
			out = append(out, Msg{Kind: Pulled, ID: id, From: r.me, To: m.From, Incarnation: m.Incarnation,
				HeldVersion: reg.held, Record: reg.record, Promise: reg.promise})
		}
	}
	for _, n := range r.roster {
		synced = synced && r.synced[n]
	}
	return append(out, Msg{Kind: Pulled, From: r.me, To: m.From, Incarnation: m.Incarnation, CanVote: synced})
}

// handlePulled stores a register that another replica has sent. The last Pulled must arrive only after all others: the
// link keeps their order, and a link that breaks restarts with a Pull.
func (r *Replica) handlePulled(m Msg) {
	if m.Incarnation != r.incarnation || r.synced[m.From] {
		return
	}
	if m.ID == "" {
		r.synced[m.From] = m.CanVote
		return
	}
	reg := r.registers[m.ID]
	if m.HeldVersion.Compare(reg.held) > 0 {
		reg.held, reg.record = m.HeldVersion, m.Record
	}
	if m.Promise.Compare(reg.promise) > 0 {
		reg.promise = m.Promise
	}
	r.registers[m.ID] = reg
}
