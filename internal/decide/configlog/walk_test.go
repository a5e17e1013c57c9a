package configlog

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"topazfall/internal/lab/explore"
)

// walkLimits limits the events of a walk: elections, changes, disk losses and duplicated messages.
type walkLimits struct{ campaigns, applies, diskLosses, duplicates int }

// walkState is a state of three origins and the network between them. The clock stands still: an origin may campaign at
// any time. A message may be delivered at any time or never. Catching up by heartbeats and pulls is a single step.
type walkState struct {
	mutations      mutations
	remaining      walkLimits
	origins        []*Node
	inFlight       []inFlightMessage // sorted by key
	committed      map[uint64]Revision
	committedBases map[uint64]bool   // numbers of the bases of changes that were reported as committed
	bases          map[uint64]uint64 // the number of the base of each change, by ID
	starts         uint64
	err            error
}

type inFlightMessage struct {
	key     string
	message Message
}

const walkTime = 1

func newWalkState(broken mutations, limits walkLimits) *walkState {
	w := &walkState{mutations: broken, remaining: limits, committed: map[uint64]Revision{},
		committedBases: map[uint64]bool{}, bases: map[uint64]uint64{}}
	for _, m := range testRoster(3, 0) {
		w.origins = append(w.origins, w.start(m.Node, true))
	}
	return w
}

func (w *walkState) start(id NodeID, bootstrap bool) *Node {
	w.starts++
	n, err := New(Options{Node: id, Roster: testRoster(3, 0), Incarnation: w.starts, Bootstrap: bootstrap},
		SavedState{})
	if err != nil {
		panic(err)
	}
	n.origin.mutations = w.mutations
	n.Tick(walkTime)
	return n
}

// withLeader elects the first origin.
func (w *walkState) withLeader() *walkState {
	leader := w.origins[0]
	leader.campaign()
	for _, m := range leader.takeEffects().Messages {
		for _, n := range w.origins {
			if n.id == m.To {
				for _, answer := range n.Handle(walkTime, m).Messages {
					leader.Handle(walkTime, answer)
				}
			}
		}
	}
	leader.takeEffects()
	if leader.origin.role != leading {
		panic("the first origin does not lead")
	}
	return w
}

// withStoredChange lets the first origin, as the leader, commit a change that the second has stored. The messages to
// the third are in flight.
func (w *walkState) withStoredChange() *walkState {
	w = w.withLeader()
	leader, second := w.origins[0], w.origins[1]
	change := Change{{Key: "k", Value: []byte{byte(w.remaining.applies)}}}
	w.bases[uint64(w.remaining.applies)] = 0
	for _, m := range leader.Apply(walkTime, uint64(w.remaining.applies), Revision{}, change).Messages {
		if m.To != second.id {
			w.enqueue(m)
			continue
		}
		for _, answer := range second.Handle(walkTime, m).Messages {
			w.execute(leader.Handle(walkTime, answer))
		}
	}
	w.remaining.applies--
	if leader.held().Number != 1 {
		panic("the change is not committed")
	}
	return w
}

func cloneNode(n *Node) *Node {
	c := *n
	c.replica.document = n.replica.document.Clone()
	c.replica.log.deltas = slices.Clone(n.replica.log.deltas)
	c.replica.sources = slices.Clone(n.replica.sources)
	o := *n.origin
	o.recoverReplies, o.preVotes, o.promises = maps.Clone(o.recoverReplies), maps.Clone(o.preVotes),
		maps.Clone(o.promises)
	o.accepted, o.answeredAt = maps.Clone(o.accepted), maps.Clone(o.answeredAt)
	c.origin = &o
	return &c
}

// cloneWith returns a copy of the state, and in it a copy of origin i that may be modified.
func (w *walkState) cloneWith(i int) (*walkState, *Node) {
	c := *w
	c.origins, c.inFlight = slices.Clone(w.origins), slices.Clone(w.inFlight)
	c.committed, c.committedBases, c.bases = maps.Clone(w.committed), maps.Clone(w.committedBases), maps.Clone(w.bases)
	c.origins[i] = cloneNode(w.origins[i])
	return &c, c.origins[i]
}

func (w *walkState) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// execute carries out effects: it checks the revision that has taken effect and the results that were reported, and
// sends the messages.
func (w *walkState) execute(e Effects) {
	for _, d := range e.Deltas {
		r := d.Revision
		if known, ok := w.committed[r.Number]; ok && known != r {
			w.fail("%v and %v are both committed", known, r)
		}
		w.committed[r.Number] = r
	}
	for _, r := range e.Results {
		if r.Outcome != Committed {
			continue
		}
		if w.committed[r.Revision.Number] != r.Revision {
			w.fail("%v was reported as committed, but is not", r.Revision)
		}
		if base := w.bases[r.ID]; w.committedBases[base] || base+1 != r.Revision.Number {
			w.fail("a second change of revision %d is %d", base, r.Revision.Number)
		}
		w.committedBases[w.bases[r.ID]] = true
	}
	for _, m := range e.Messages {
		w.enqueue(m)
	}
}

// enqueue sends a message, but for heartbeats, pushes and pulls, whose work is done by the step of catching up.
// Rejections are lost: they only make an origin give up, which it may do at any time by doing nothing more. A message
// that is already in flight is not sent again.
func (w *walkState) enqueue(m Message) {
	switch m.Body.(type) {
	case Heartbeat, HeartbeatAck, Push, Pull, Digest, Reject:
		return
	}
	key := string(AppendBody([]byte(m.From+m.To), m.Body))
	i, found := slices.BinarySearchFunc(w.inFlight, key, func(a inFlightMessage, key string) int {
		return bytes.Compare([]byte(a.key), []byte(key))
	})
	if !found {
		w.inFlight = slices.Insert(w.inFlight, i, inFlightMessage{key, m})
	}
}

// AppendKey implements explore.State.
func (w *walkState) AppendKey(b []byte) []byte {
	b = append(b, byte(w.remaining.campaigns), byte(w.remaining.applies), byte(w.remaining.diskLosses),
		byte(w.remaining.duplicates))
	for _, n := range w.origins {
		o := n.origin
		b = append(appendVote(b, o.vote), byte(o.role), byte(o.maxRoundSeen), byte(o.incarnation),
			byte(len(o.recoverReplies)), byte(len(o.promises)))
		b = appendProposal(appendEpoch(appendRevision(b, n.held()), o.epoch), o.proposal)
		b = appendBool(append(b, byte(o.request.id), byte(len(o.accepted))), o.request.active)
		for _, other := range o.others {
			reply, replied := o.recoverReplies[other]
			promise, promised := o.promises[other]
			b = appendBool(appendBool(appendBool(b, o.accepted[other]), replied), promised)
			b = appendRevision(appendVote(b, reply.Vote), reply.Held)
			b = appendProposal(appendRevision(b, promise.Held), promise.Accepted)
		}
	}
	for number := uint64(1); number <= uint64(len(w.committed)); number++ {
		b = appendRevision(b, w.committed[number])
	}
	for _, m := range w.inFlight {
		b = append(b, m.key...)
	}
	return appendBool(b, w.err != nil)
}

// Check implements explore.State.
func (w *walkState) Check() error { return w.err }

// Steps implements explore.State.
func (w *walkState) Steps() (steps []explore.Step[*walkState]) {
	add := func(to *walkState, format string, args ...any) {
		steps = append(steps,
			explore.Step[*walkState]{Name: func() string { return fmt.Sprintf(format, args...) }, Next: to})
	}
	for k, m := range w.inFlight {
		i := slices.IndexFunc(w.origins, func(n *Node) bool { return n.id == m.message.To })
		to, n := w.cloneWith(i)
		to.inFlight = slices.Delete(to.inFlight, k, k+1)
		to.execute(n.Handle(walkTime, m.message))
		add(to, "%s -> %s: %T%+v", m.message.From, m.message.To, m.message.Body, m.message.Body)
		if w.remaining.duplicates > 0 {
			again, n := w.cloneWith(i)
			again.remaining.duplicates--
			again.execute(n.Handle(walkTime, m.message))
			add(again, "%s -> %s, duplicated: %T%+v", m.message.From, m.message.To, m.message.Body, m.message.Body)
		}
	}
	for i, n := range w.origins {
		w.addOriginSteps(i, n, add)
	}
	return steps
}

// addOriginSteps adds the steps that origin i can take without a message.
func (w *walkState) addOriginSteps(i int, n *Node, add func(*walkState, string, ...any)) {
	o := n.origin
	if w.remaining.campaigns > 0 && o.vote.CanVote && o.role != leading {
		to, n := w.cloneWith(i)
		to.remaining.campaigns--
		n.campaign()
		n.advance(walkTime)
		to.execute(n.takeEffects())
		add(to, "%s campaigns", n.id)
	}
	if w.remaining.applies > 0 && o.role == leading && !o.request.active {
		to, n := w.cloneWith(i)
		id := uint64(to.remaining.applies)
		to.remaining.applies--
		base := n.held()
		if w.mutations.ignoresBase {
			base = Revision{}
		}
		to.bases[id] = base.Number
		to.execute(n.Apply(walkTime, id, base, Change{{Key: "k", Value: []byte{byte(id)}}}))
		add(to, "%s proposes change %d", n.id, id)
	}
	if o.role == leading && o.proposal.Delta.Revision.Number > 0 {
		to, n := w.cloneWith(i)
		n.sendProposal()
		to.execute(n.takeEffects())
		add(to, "%s proposes again", n.id)
	}
	if w.remaining.diskLosses > 0 && w.othersCanVote(i) {
		to, _ := w.cloneWith(i)
		to.remaining.diskLosses--
		to.origins[i] = to.start(n.id, false)
		for _, other := range n.origin.others {
			to.enqueue(Message{n.id, other, Recover{to.starts}})
		}
		add(to, "%s restarts with an empty disk", n.id)
	}
	for _, other := range w.origins {
		if other.held().After(n.held()) {
			to, n := w.cloneWith(i)
			deltas, _, err := other.replica.log.after(n.held())
			if err != nil {
				panic(err)
			}
			for _, d := range deltas {
				n.applyDelta(walkTime, d)
			}
			n.advance(walkTime)
			to.execute(n.takeEffects())
			add(to, "%s catches up with %s", n.id, other.id)
		}
	}
}

// othersCanVote reports whether all origins but origin i vote.
func (w *walkState) othersCanVote(i int) bool {
	for k, n := range w.origins {
		if k != i && !n.origin.vote.CanVote {
			return false
		}
	}
	return true
}

// maxStates limits the states of one walk, and so the time of the tests.
var maxStates = flag.Int("most", 20_000, "states of a walk")

// exhaustiveMaxStates exceeds the number of states within the smallest limits, so that those walks are exhaustive.
const exhaustiveMaxStates = 100_000

// Within these limits at most one revision of each number is committed, no matter which messages are delayed,
// duplicated or lost, and which origins lose their disks.
func TestEveryState(t *testing.T) {
	for _, limits := range []walkLimits{{1, 1, 0, 0}, {0, 2, 1, 0}} {
		t.Run(fmt.Sprintf("%+v", limits), func(t *testing.T) {
			r, err := explore.Walk(startState(mutations{}, limits), exhaustiveMaxStates)
			t.Logf("%+v, all", r)
			require.NoError(t, err)
		})
	}
	for _, limits := range []walkLimits{
		{2, 1, 0, 0}, {1, 1, 0, 1}, {1, 2, 0, 0}, {2, 2, 0, 0}, {1, 2, 1, 0}, {2, 3, 1, 1},
	} {
		t.Run(fmt.Sprintf("%+v", limits), func(t *testing.T) {
			r, err := explore.Walk(startState(mutations{}, limits), *maxStates)
			t.Logf("%+v, all: %v", r, err == nil)
			if !errors.Is(err, explore.ErrStateLimit) {
				require.NoError(t, err)
			}
			require.Greater(t, r.States, 1000)
		})
	}
}

// startState returns the start of a walk. If disks may be lost, a stored change exists that can be lost with them.
func startState(broken mutations, limits walkLimits) *walkState {
	if limits.diskLosses > 0 {
		return newWalkState(broken, limits).withStoredChange()
	}
	return newWalkState(broken, limits).withLeader()
}

// Each mutation of the protocol is found by a walk, with a shortest sequence of steps that shows it.
func TestMutationsAreDetected(t *testing.T) {
	for name, m := range map[string]struct {
		mutations
		walkLimits
	}{
		"accepts old epochs":     {mutations{acceptsOldEpochs: true}, walkLimits{1, 2, 0, 0}},
		"quorum of one":          {mutations{quorumOfOne: true}, walkLimits{1, 2, 0, 0}},
		"votes without recovery": {mutations{votesWithoutRecovery: true}, walkLimits{1, 2, 1, 0}},
		"recovers from one":      {mutations{recoversFromOne: true}, walkLimits{1, 2, 1, 0}},
		"drops pending proposal": {mutations{dropsPendingProposal: true}, walkLimits{1, 2, 0, 0}},
		"ignores base":           {mutations{ignoresBase: true}, walkLimits{0, 2, 0, 0}},
		"accepts with gap":       {mutations{acceptsWithGap: true}, walkLimits{1, 3, 0, 0}},
		"leads while behind":     {mutations{leadsWhileBehind: true}, walkLimits{1, 2, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := explore.Walk(startState(m.mutations, m.walkLimits), 10**maxStates)
			var fault *explore.Violation
			require.ErrorAs(t, err, &fault)
			t.Logf("%+v: %v", r, fault)
		})
	}
}
