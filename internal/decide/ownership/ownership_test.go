package ownership

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazfall/internal/lab/explore"
)

const id = "m"

// The verdicts of the model.
const (
	refused = 1 + iota // nothing has run, and nothing will
	served
	failed
)

// testFaults are injected faults; each must be detected.
type testFaults struct {
	faults
	actEarly         bool // an owner acts when it has asked for a step, before it is permitted
	rosterByLiveness bool // a claimant uses the instances that it takes to be alive as the roster
	noAnswers        bool // no fault: no owner answers the client, so that the walk covers more of the rest
}

// walkLimits bound a walk: how often replicas restart, owners take and claim, and messages are duplicated.
type walkLimits struct{ restarts, takes, claims, duplicates int }

// state is the state of a model: one message that must not run twice, its three replicas, two owners that compete for
// it, and the network between them. Whatever was sent may arrive at any time or never, and some of it twice. An owner
// may stop between any two of its steps, and a replica may restart without its registers.
type state struct {
	injected  testFaults
	remaining walkLimits
	replicas  []*Replica
	owners    [2]*Owner
	network   []linkMessages // sorted by key
	sends     [2]int         // attempts that the owner may still write
	answers   [2]int         // verdict that the owner may still write
	hasResult [2]bool        // the owner has the worker's result
	runCount  int
	verdicts  uint // final answers that were written, as bits
}

// linkMessages are messages that one link carries in order.
type linkMessages struct {
	key  string
	msgs []Msg
}

func newState(injected testFaults, limits walkLimits) *state {
	s := &state{injected: injected, remaining: limits}
	roster := []Node{"a", "b", "c"}
	all, _ := ReplicasOf(roster, id)
	for i, n := range roster {
		s.replicas = append(s.replicas, NewReplica(n, 1, roster, true))
		s.replicas[i].faults = injected.faults
	}
	for i, n := range []Node{"x", "y"} {
		s.owners[i] = NewOwner(n, id, all)
		s.owners[i].faults = injected.faults
	}
	if injected.rosterByLiveness { // y takes a to be dead, and d to be the replica in its place
		roster := []Node{"b", "c", "d"}
		s.replicas = append(s.replicas, NewReplica("d", 1, roster, true))
		s.owners[1].replicas, _ = ReplicasOf(roster, id)
	}
	return s
}

// clone copies the state; the replicas are shared until they change.
func (s *state) clone() *state {
	c := *s
	c.replicas = slices.Clone(s.replicas)
	c.network = slices.Clone(s.network)
	for i, owner := range s.owners {
		n := *owner
		n.votes = slices.Clone(owner.votes)
		c.owners[i] = &n
	}
	return &c
}

// replica returns a copy of a replica that the clone may change.
func (s *state) replica(i int) *Replica {
	replica := *s.replicas[i]
	replica.incarnations, replica.synced, replica.registers = maps.Clone(replica.incarnations),
		maps.Clone(replica.synced), maps.Clone(replica.registers)
	s.replicas[i] = &replica
	return &replica
}

// nodeNames maps node names to names in a key: states that differ only by the names of the replicas have the same key.
type nodeNames [256]byte

func (names *nodeNames) of(n Node) byte {
	if n == "" {
		return 0
	}
	return names[n[0]]
}

// permutations returns all ways to name the replicas.
func permutations(replicas string) (all []*nodeNames) {
	for _, to := range []string{"abc", "acb", "bac", "bca", "cab", "cba"} {
		names := &nodeNames{}
		for i := range names {
			names[i] = byte(i)
		}
		for i := range to {
			names[replicas[i]] = to[i]
		}
		all = append(all, names)
	}
	return all
}

var replicaPermutations = permutations("abc")

func (m Msg) append(b []byte, names *nodeNames) []byte {
	b = append(b, byte(m.Kind), names.of(m.From), names.of(m.To), byte(m.Incarnation), byte(m.Promise.Number),
		names.of(m.Promise.Node))
	b = m.Record.append(m.HeldVersion.append(m.Version.append(b, names), names))
	o, p := m.Others[0], m.Others[1]
	if names.of(o.Node) > names.of(p.Node) {
		o, p = p, o
	}
	b = append(b, names.of(o.Node), byte(o.Number), names.of(p.Node), byte(p.Number))
	return appendBools(b, m.IsNew, m.CanVote, m.ID != "")
}

func appendBools(b []byte, all ...bool) []byte {
	for _, set := range all {
		if set {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	return b
}

func (v Version) append(b []byte, names *nodeNames) []byte {
	return append(b, byte(v.Epoch.Number), names.of(v.Epoch.Node), byte(v.Seq))
}

func (r Record) append(b []byte) []byte {
	return append(b, byte(r.Phase), byte(r.Attempt), r.Verdict)
}

// AppendKey implements explore.State.
func (s *state) AppendKey(b []byte) []byte {
	if s.injected.rosterByLiveness { // the replicas are not interchangeable
		return s.appendKey(b, replicaPermutations[0])
	}
	from := len(b)
	b = s.appendKey(b, replicaPermutations[0])
	var other []byte
	for _, names := range replicaPermutations[1:] {
		if other = s.appendKey(other[:0], names); slices.Compare(other, b[from:]) < 0 {
			b = append(b[:from], other...)
		}
	}
	return b
}

func (s *state) appendKey(b []byte, names *nodeNames) []byte {
	b = append(b, byte(s.remaining.restarts), byte(s.remaining.takes), byte(s.remaining.claims),
		byte(s.remaining.duplicates), byte(s.runCount), byte(s.verdicts))
	blocks := make([][]byte, 0, 16)
	for _, replica := range s.replicas {
		block := []byte{names.of(replica.me), byte(replica.incarnation)}
		r, ok := replica.registers[id]
		if ok {
			block = append(r.record.append(r.held.append(
				append(block, byte(r.promise.Number), names.of(r.promise.Node)), names)), 1)
		}
		peers := [4][2]byte{}
		for _, n := range replica.roster {
			peers[names.of(n)-'a'][0] = byte(replica.incarnations[n])
			if replica.synced[n] {
				peers[names.of(n)-'a'][1] = 1
			}
		}
		for _, p := range peers {
			block = append(block, p[0], p[1])
		}
		blocks = append(blocks, block)
	}
	slices.SortFunc(blocks, slices.Compare)
	for i, owner := range s.owners {
		b = append(b, byte(owner.mode), byte(owner.seq), byte(owner.highestEpoch), byte(s.sends[i]), byte(s.answers[i]),
			byte(owner.epoch.Number), names.of(owner.epoch.Node))
		b = appendBools(owner.proposed.append(owner.record.append(b)), owner.isProposing, s.hasResult[i])
		votes := make([][]byte, 0, NumReplicas)
		for _, v := range owner.votes {
			votes = append(votes, v.append(nil, names))
		}
		slices.SortFunc(votes, slices.Compare)
		b = append(b, byte(len(votes)))
		for _, v := range votes {
			b = append(b, v...)
		}
	}
	for _, p := range s.network {
		var block []byte
		for _, m := range p.msgs {
			block = m.append(block, names)
		}
		blocks = append(blocks, block)
	}
	slices.SortFunc(blocks[len(s.replicas):], slices.Compare)
	for _, block := range blocks {
		b = append(append(b, byte(len(block))), block...)
	}
	return b
}

// Check implements explore.State.
func (s *state) Check() error {
	switch {
	case s.runCount > 1:
		return errors.New("the message ran twice")
	case bits.OnesCount(s.verdicts) > 1:
		return fmt.Errorf("two final answers: %03b", s.verdicts)
	case s.verdicts&(1<<refused) != 0 && s.runCount > 0:
		return errors.New("the message was refused, and ran")
	}
	return nil
}

// sendAll sends requests and Pulled messages; the latter go over one link, in order. Answers to writes and claims
// arrive at once or never: a late one is equivalent to one that arrived at once at an owner that then paused. Refusals
// are lost: they only make an owner give up, and without them more can go wrong.
func (s *state) sendAll(out []Msg) {
	var pulled linkMessages
	for _, m := range out {
		switch link := (linkMessages{string(m.append(nil, replicaPermutations[0])), []Msg{m}}); m.Kind {
		case Refused, Acked, Promised:
		case Pulled:
			pulled.key, pulled.msgs = pulled.key+link.key, append(pulled.msgs, m)
		default:
			s.send(link)
		}
	}
	if len(pulled.msgs) > 0 {
		s.send(pulled)
	}
}

func (s *state) send(link linkMessages) {
	if i, found := slices.BinarySearchFunc(s.network, link.key,
		func(link linkMessages, key string) int { return strings.Compare(link.key, key) }); !found {
		s.network = slices.Insert(s.network, i, link)
	}
}

// dropObsolete drops messages without effect: those that a replica would refuse when no more restarts can follow.
func (s *state) dropObsolete() {
	s.network = slices.DeleteFunc(s.network, func(link linkMessages) bool {
		m := link.msgs[0]
		for _, replica := range s.replicas {
			if replica.me == m.To && (m.Kind == Write || m.Kind == Claim) && s.remaining.restarts == 0 &&
				!s.injected.acceptOldEpochs {
				return m.Version.Epoch.Compare(replica.registers[id].promise) < 0
			}
		}
		return false
	})
}

// addStep adds a step that changes a copy of the state.
type addStep func(do func(n *state), name string, about ...any)

// Steps implements explore.State.
func (s *state) Steps() (steps []explore.Step[*state]) {
	add := func(do func(n *state), name string, about ...any) {
		n := s.clone()
		do(n)
		n.dropObsolete()
		steps = append(steps, explore.Step[*state]{Name: func() string { return fmt.Sprintf(name, about...) }, Next: n})
	}
	s.ownerSteps(add)
	s.restartSteps(add)
	s.messageSteps(add)
	return steps
}

// ownerSteps adds the steps that the owners may take by themselves.
func (s *state) ownerSteps(add addStep) {
	for i, owner := range s.owners {
		// The first owner takes the message; the second may take it as well, or claim it. If there are several claims
		// the first owner may use some.
		if owner.mode == Idle && s.remaining.takes > 0 && (i == 0 || s.owners[0].mode != Idle) {
			add(func(n *state) { n.remaining.takes--; n.sendAll(n.owners[i].Take()) }, "%s takes the message", owner.me)
		}
		if s.remaining.claims > 0 && owner.mode != Claiming && s.owners[0].mode != Idle &&
			(i == 1 || s.remaining.claims > 1) {
			add(func(n *state) { n.remaining.claims--; n.sendAll(n.owners[i].Claim()) },
				"%s claims the message", owner.me)
		}
		step := func(name string, r Record) {
			add(func(n *state) {
				if n.sendAll(n.owners[i].Step(r)); n.injected.actEarly {
					n.permit(i, r)
				}
			}, "%s asks to %s", owner.me, name)
		}
		r := owner.record
		if owner.mode == Owning && !owner.isProposing && r.Phase == Taken {
			step("send", Record{Phase: Sending, Attempt: r.Attempt + 1})
		}
		switch {
		case owner.mode != Owning || owner.isProposing || s.injected.noAnswers:
		case r.Phase == Taken:
			step("refuse", Record{Phase: Answered, Verdict: refused})
		case r.Phase == Sending && s.hasResult[i]:
			step("answer served", Record{Phase: Answered, Attempt: r.Attempt, Verdict: served})
		case r.Phase == Sending:
			step("answer failed", Record{Phase: Answered, Attempt: r.Attempt, Verdict: failed})
		}
		if s.sends[i] > 0 {
			add(func(n *state) { n.sends[i]--; n.runCount++; n.hasResult[i] = true },
				"%s sends, and the message runs", owner.me)
		}
		if s.answers[i] > 0 {
			add(func(n *state) { n.verdicts |= 1 << n.answers[i]; n.answers[i] = 0 }, "%s answers %d", owner.me,
				s.answers[i])
		}
	}
}

// restartSteps adds the steps in which replicas restart without their registers.
func (s *state) restartSteps(add addStep) {
	for i, replica := range s.replicas {
		if s.remaining.restarts > 0 && s.owners[0].mode != Idle {
			add(func(n *state) {
				n.remaining.restarts--
				n.replicas[i] = NewReplica(replica.me, replica.incarnation+1, replica.roster, false)
				n.replicas[i].faults = n.injected.faults
				n.sendAll(n.replicas[i].PullRequests())
			}, "%s restarts without its registers", replica.me)
		}
	}
}

// messageSteps adds the steps in which messages arrive, once or twice.
func (s *state) messageSteps(add addStep) {
	for at, link := range s.network {
		m := link.msgs[0]
		arrive := func(suffix string, do func(n *state)) {
			add(func(n *state) { n.network = slices.Delete(n.network, at, at+1); do(n) },
				"%s receives from %s%s: %d of %v", m.To, m.From, suffix, m.Kind, m.Version)
			if s.remaining.duplicates > 0 {
				add(func(n *state) { n.remaining.duplicates--; do(n) },
					"%s receives from %s%s, and will again: %d of %v", m.To, m.From, suffix, m.Kind, m.Version)
			}
		}
		for i, replica := range s.replicas {
			if replica.me != m.To {
				continue
			}
			arrive("", func(n *state) {
				for _, m := range link.msgs {
					n.sendAll(n.replica(i).Handle(m, nil))
				}
			})
			if m.Kind == Write || m.Kind == Claim {
				arrive(" and its answer arrives", func(n *state) {
					for _, m := range n.replica(i).Handle(m, nil) {
						n.deliverAnswer(m)
					}
				})
			}
		}
	}
}

// deliverAnswer passes the answer of a replica to its owner.
func (s *state) deliverAnswer(m Msg) {
	for i, owner := range s.owners {
		if owner.me != m.To || m.Kind == Refused {
			continue
		}
		result, out := owner.Handle(m)
		if s.sendAll(out); result == Permitted && !s.injected.actEarly ||
			result == Owned && owner.record.Phase == Answered {
			s.permit(i, owner.record)
		}
	}
}

// withFirstOwner advances the state until the first owner owns the message and all replicas know it.
func (s *state) withFirstOwner() *state {
	s.remaining.takes--
	for _, m := range s.owners[0].Take() {
		for i, replica := range s.replicas {
			if replica.me == m.To {
				for _, m := range s.replica(i).Handle(m, nil) {
					s.deliverAnswer(m)
				}
			}
		}
	}
	return s
}

// permit lets an owner take a step, now or later.
func (s *state) permit(i int, r Record) {
	if r.Phase == Answered {
		s.answers[i] = int(r.Verdict)
	} else {
		s.sends[i]++
	}
}

// Whatever happens to the replicas, the two owners and the network within these limits, the message runs at most once
// and has at most one final answer.
func TestEveryState(t *testing.T) {
	for _, limits := range []walkLimits{{0, 2, 1, 0}, {1, 1, 1, 0}, {0, 1, 1, 1}} {
		t.Run(fmt.Sprintf("%+v", limits), func(t *testing.T) {
			t.Parallel()
			report, err := explore.Walk(
				newState(testFaults{noAnswers: limits.restarts+limits.duplicates > 0}, limits), *maxStates)
			t.Logf("%+v, all: %v", report, err == nil)
			if !errors.Is(err, explore.ErrStateLimit) {
				require.NoError(t, err)
			}
			require.Greater(t, report.States, 1000)
		})
	}
}

// maxStates bounds the states of one walk, to limit the time of the tests.
var maxStates = flag.Int("most", 450_000, "maximum number of states of a walk")

// All instances compute the same replicas, the load is spread, and an added instance moves no message between two
// others.
func TestReplicasOf(t *testing.T) {
	roster, count, moved := []Node{"a", "b", "c", "d", "e"}, map[Node]int{}, 0
	for i := range 3000 {
		id := fmt.Sprint("m", i)
		replicas, ok := ReplicasOf(roster, id)
		other, _ := ReplicasOf([]Node{"e", "c", "a", "d", "b"}, id)
		require.True(t, ok)
		require.Equal(t, replicas, other)
		for _, n := range replicas {
			count[n]++
		}
		grown, _ := ReplicasOf(append(roster, "f"), id)
		for _, n := range grown {
			if !slices.Contains(replicas[:], n) {
				require.Equal(t, Node("f"), n)
				moved++
			}
		}
	}
	for n, c := range count {
		require.InDelta(t, 1800, c, 180, n)
	}
	require.InDelta(t, 1500, moved, 150)
	_, ok := ReplicasOf(roster[:2], "m")
	require.False(t, ok)
}

// Each injected fault is detected, by the shortest sequence of steps that shows it.
func TestInjectedFaults(t *testing.T) {
	for name, test := range map[string]struct {
		testFaults
		walkLimits
	}{
		"old epochs are accepted": {testFaults{faults: faults{acceptOldEpochs: true}}, walkLimits{0, 1, 1, 0}},
		"one replica is a quorum": {testFaults{faults: faults{singleReplica: true}}, walkLimits{0, 1, 1, 0}},
		"a replica votes without its data": {testFaults{faults: faults{voteIncomplete: true}, noAnswers: true},
			walkLimits{1, 1, 1, 0}},
		"votes of an old incarnation count": {testFaults{faults: faults{acceptOldIncarnations: true}, noAnswers: true},
			walkLimits{1, 1, 1, 0}},
		"an owner acts before it is permitted": {testFaults{actEarly: true}, walkLimits{0, 1, 1, 0}},
		"the roster depends on liveness":       {testFaults{rosterByLiveness: true}, walkLimits{0, 2, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newState(test.testFaults, test.walkLimits)
			if !test.rosterByLiveness { // otherwise the second owner must find the message untaken
				s = s.withFirstOwner()
			}
			report, err := explore.Walk(s, 5**maxStates)
			var fault *explore.Violation
			require.ErrorAs(t, err, &fault)
			t.Logf("%+v: %v", report, fault)
		})
	}
}
