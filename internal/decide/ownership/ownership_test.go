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

// mistakes are planted; each must be found.
type mistakes struct {
	rules
	early    bool // an owner acts when it has asked, not when it is settled
	liveness bool // a claimant takes for roster who it believes alive
	mute     bool // no mistake: nobody answers a client, so that more of the rest is walked
}

// bounds of a walk: how often keepers start again, holders take and claim, and messages come twice.
type bounds struct{ crashes, takes, claims, doubles int }

// world is one message of a class that must not run twice, three keepers, two that would own it, and the network
// between them: whatever was sent may come at any time, or never, and so many a second time. An owner may be stopped
// between any two of its steps, and a keeper may start again with nothing.
type world struct {
	m        mistakes
	left     bounds
	keepers  []*Keeper
	holders  [2]*Holder
	net      []parcel // sorted by key
	sends    [2]int   // attempts that the holder may still write
	answers  [2]int   // verdict that the holder may still write
	has      [2]bool  // it has the host's result
	runs     int
	verdicts uint // the final answers that were written, as bits
}

// parcel is what one link carries in its order.
type parcel struct {
	key  string
	msgs []Msg
}

func newWorld(m mistakes, b bounds) *world {
	w := &world{m: m, left: b}
	roster := []Node{"a", "b", "c"}
	all, _ := Keepers(roster, id)
	for i, n := range roster {
		w.keepers = append(w.keepers, NewKeeper(n, 1, roster, true))
		w.keepers[i].rules = m.rules
	}
	for i, n := range []Node{"x", "y"} {
		w.holders[i] = NewHolder(n, id, all)
		w.holders[i].rules = m.rules
	}
	if m.liveness { // y holds a for dead, and d for the keeper in its place
		roster := []Node{"b", "c", "d"}
		w.keepers = append(w.keepers, NewKeeper("d", 1, roster, true))
		w.holders[1].keepers, _ = Keepers(roster, id)
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	c.keepers = slices.Clone(w.keepers)
	c.net = slices.Clone(w.net)
	for i, h := range w.holders {
		n := *h
		n.votes = slices.Clone(h.votes)
		c.holders[i] = &n
	}
	return &c
}

// keeper gives the clone a keeper of its own to change.
func (w *world) keeper(i int) *Keeper {
	k := *w.keepers[i]
	k.lives, k.told, k.regs = maps.Clone(k.lives), maps.Clone(k.told), maps.Clone(k.regs)
	w.keepers[i] = &k
	return &k
}

// names are how the nodes are called in a key: what differs by the names of the keepers alone is one state.
type names [256]byte

func (as *names) of(n Node) byte {
	if n == "" {
		return 0
	}
	return as[n[0]]
}

// called are all ways to name the keepers.
func called(keepers string) (all []*names) {
	for _, to := range []string{"abc", "acb", "bac", "bca", "cab", "cba"} {
		as := &names{}
		for i := range as {
			as[i] = byte(i)
		}
		for i := range to {
			as[keepers[i]] = to[i]
		}
		all = append(all, as)
	}
	return all
}

var ways = called("abc")

func (m Msg) append(b []byte, as *names) []byte {
	b = append(b, byte(m.Kind), as.of(m.From), as.of(m.To), byte(m.Life), byte(m.Promise.N), as.of(m.Promise.By))
	b = m.Record.append(m.Held.append(m.Version.append(b, as), as))
	o, p := m.Others[0], m.Others[1]
	if as.of(o.Node) > as.of(p.Node) {
		o, p = p, o
	}
	b = append(b, as.of(o.Node), byte(o.Life), as.of(p.Node), byte(p.Life))
	return flags(b, m.Fresh, m.Sure, m.ID != "")
}

func flags(b []byte, all ...bool) []byte {
	for _, set := range all {
		if set {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	return b
}

func (v Version) append(b []byte, as *names) []byte {
	return append(b, byte(v.Epoch.N), as.of(v.Epoch.By), byte(v.Seq))
}

func (r Record) append(b []byte) []byte {
	return append(b, byte(r.Phase), byte(r.Attempt), r.Verdict)
}

// AppendKey implements explore.State.
func (w *world) AppendKey(b []byte) []byte {
	if w.m.liveness { // its keepers are not alike
		return w.appendKey(b, ways[0])
	}
	from := len(b)
	b = w.appendKey(b, ways[0])
	var other []byte
	for _, as := range ways[1:] {
		if other = w.appendKey(other[:0], as); slices.Compare(other, b[from:]) < 0 {
			b = append(b[:from], other...)
		}
	}
	return b
}

func (w *world) appendKey(b []byte, as *names) []byte {
	b = append(b, byte(w.left.crashes), byte(w.left.takes), byte(w.left.claims), byte(w.left.doubles), byte(w.runs),
		byte(w.verdicts))
	blocks := make([][]byte, 0, 16)
	for _, k := range w.keepers {
		block := []byte{as.of(k.me), byte(k.life)}
		r, ok := k.regs[id]
		if ok {
			block = append(r.record.append(r.held.append(append(block, byte(r.promise.N), as.of(r.promise.By)), as)), 1)
		}
		peers := [4][2]byte{}
		for _, n := range k.roster {
			peers[as.of(n)-'a'][0] = byte(k.lives[n])
			if k.told[n] {
				peers[as.of(n)-'a'][1] = 1
			}
		}
		for _, p := range peers {
			block = append(block, p[0], p[1])
		}
		blocks = append(blocks, block)
	}
	slices.SortFunc(blocks, slices.Compare)
	for i, h := range w.holders {
		b = append(b, byte(h.mode), byte(h.seq), byte(h.seen), byte(w.sends[i]), byte(w.answers[i]), byte(h.epoch.N),
			as.of(h.epoch.By))
		b = flags(h.next.append(h.record.append(b)), h.asking, w.has[i])
		votes := make([][]byte, 0, Of)
		for _, v := range h.votes {
			votes = append(votes, v.append(nil, as))
		}
		slices.SortFunc(votes, slices.Compare)
		b = append(b, byte(len(votes)))
		for _, v := range votes {
			b = append(b, v...)
		}
	}
	for _, p := range w.net {
		var block []byte
		for _, m := range p.msgs {
			block = m.append(block, as)
		}
		blocks = append(blocks, block)
	}
	slices.SortFunc(blocks[len(w.keepers):], slices.Compare)
	for _, block := range blocks {
		b = append(append(b, byte(len(block))), block...)
	}
	return b
}

// Check implements explore.State.
func (w *world) Check() error {
	switch {
	case w.runs > 1:
		return errors.New("it ran twice")
	case bits.OnesCount(w.verdicts) > 1:
		return fmt.Errorf("two final answers: %03b", w.verdicts)
	case w.verdicts&(1<<refused) != 0 && w.runs > 0:
		return errors.New("it was refused, and ran")
	}
	return nil
}

// put sends requests, and what is pulled, which goes over one link to its receiver in its order. The answers to writes
// and claims are heard at once or never: one that comes late is one that came at once, to a holder that was stopped
// before it went on. A refusal only makes a holder give up: that it is lost leaves more that may go wrong.
func (w *world) put(out []Msg) {
	var pulled parcel
	for _, m := range out {
		switch p := (parcel{string(m.append(nil, ways[0])), []Msg{m}}); m.Kind {
		case Refused, Acked, Promised:
		case Pulled:
			pulled.key, pulled.msgs = pulled.key+p.key, append(pulled.msgs, m)
		default:
			w.send(p)
		}
	}
	if len(pulled.msgs) > 0 {
		w.send(pulled)
	}
}

func (w *world) send(p parcel) {
	if i, there := slices.BinarySearchFunc(w.net, p.key,
		func(p parcel, key string) int { return strings.Compare(p.key, key) }); !there {
		w.net = slices.Insert(w.net, i, p)
	}
}

// tidy drops what can change nothing any more: what a keeper that can forget no more would refuse.
func (w *world) tidy() {
	w.net = slices.DeleteFunc(w.net, func(p parcel) bool {
		m := p.msgs[0]
		for _, k := range w.keepers {
			if k.me == m.To && (m.Kind == Write || m.Kind == Claim) && w.left.crashes == 0 && !w.m.anyEpoch {
				return m.Version.Epoch.Compare(k.regs[id].promise) < 0
			}
		}
		return false
	})
}

// possible adds a step that does something to a copy of the world.
type possible func(do func(n *world), name string, about ...any)

// Steps implements explore.State.
func (w *world) Steps() (steps []explore.Step[*world]) {
	may := func(do func(n *world), name string, about ...any) {
		n := w.clone()
		do(n)
		n.tidy()
		steps = append(steps, explore.Step[*world]{Name: func() string { return fmt.Sprintf(name, about...) }, To: n})
	}
	w.holderSteps(may)
	w.restartSteps(may)
	w.messageSteps(may)
	return steps
}

// holderSteps are what the holders may do by themselves.
func (w *world) holderSteps(may possible) {
	for i, h := range w.holders {
		// The first takes the message, the second may take it as well, or claim it; where there are more claims the
		// first has some.
		if h.mode == Idle && w.left.takes > 0 && (i == 0 || w.holders[0].mode != Idle) {
			may(func(n *world) { n.left.takes--; n.put(n.holders[i].Take()) }, "%s takes it", h.me)
		}
		if w.left.claims > 0 && h.mode != Claiming && w.holders[0].mode != Idle && (i == 1 || w.left.claims > 1) {
			may(func(n *world) { n.left.claims--; n.put(n.holders[i].Claim()) }, "%s claims it", h.me)
		}
		step := func(name string, r Record) {
			may(func(n *world) {
				if n.put(n.holders[i].Step(r)); n.m.early {
					n.permit(i, r)
				}
			}, "%s asks to %s", h.me, name)
		}
		r := h.record
		if h.mode == Holding && !h.asking && r.Phase == Taken {
			step("send", Record{Phase: Sending, Attempt: r.Attempt + 1})
		}
		switch {
		case h.mode != Holding || h.asking || w.m.mute:
		case r.Phase == Taken:
			step("refuse", Record{Phase: Answered, Verdict: refused})
		case r.Phase == Sending && w.has[i]:
			step("answer served", Record{Phase: Answered, Attempt: r.Attempt, Verdict: served})
		case r.Phase == Sending:
			step("answer failed", Record{Phase: Answered, Attempt: r.Attempt, Verdict: failed})
		}
		if w.sends[i] > 0 {
			may(func(n *world) { n.sends[i]--; n.runs++; n.has[i] = true }, "%s sends, and it runs", h.me)
		}
		if w.answers[i] > 0 {
			may(func(n *world) { n.verdicts |= 1 << n.answers[i]; n.answers[i] = 0 }, "%s answers %d", h.me,
				w.answers[i])
		}
	}
}

// restartSteps are keepers that crash and start again with nothing.
func (w *world) restartSteps(may possible) {
	for i, k := range w.keepers {
		if w.left.crashes > 0 && w.holders[0].mode != Idle {
			may(func(n *world) {
				n.left.crashes--
				n.keepers[i] = NewKeeper(k.me, k.life+1, k.roster, false)
				n.keepers[i].rules = n.m.rules
				n.put(n.keepers[i].Pulls())
			}, "%s starts again with nothing", k.me)
		}
	}
}

// messageSteps are messages on the network that arrive, once or twice.
func (w *world) messageSteps(may possible) {
	for at, p := range w.net {
		m := p.msgs[0]
		comes := func(heard string, do func(n *world)) {
			may(func(n *world) { n.net = slices.Delete(n.net, at, at+1); do(n) },
				"%s hears %s%s: %d of %v", m.To, m.From, heard, m.Kind, m.Version)
			if w.left.doubles > 0 {
				may(func(n *world) { n.left.doubles--; do(n) },
					"%s hears %s%s, and will again: %d of %v", m.To, m.From, heard, m.Kind, m.Version)
			}
		}
		for i, k := range w.keepers {
			if k.me != m.To {
				continue
			}
			comes("", func(n *world) {
				for _, m := range p.msgs {
					n.put(n.keeper(i).Handle(m, nil))
				}
			})
			if m.Kind == Write || m.Kind == Claim {
				comes(" and is heard", func(n *world) {
					for _, m := range n.keeper(i).Handle(m, nil) {
						n.heard(m)
					}
				})
			}
		}
	}
}

// heard gives a holder the answer of a keeper.
func (w *world) heard(m Msg) {
	for i, h := range w.holders {
		if h.me != m.To || m.Kind == Refused {
			continue
		}
		news, out := h.Handle(m)
		if w.put(out); news == Permitted && !w.m.early || news == Owned && h.record.Phase == Answered {
			w.permit(i, h.record)
		}
	}
}

// taken is the world when the first holder owns the message and all keepers know.
func (w *world) taken() *world {
	w.left.takes--
	for _, m := range w.holders[0].Take() {
		for i, k := range w.keepers {
			if k.me == m.To {
				for _, m := range w.keeper(i).Handle(m, nil) {
					w.heard(m)
				}
			}
		}
	}
	return w
}

// permit lets a holder take a step, now or at any later time.
func (w *world) permit(i int, r Record) {
	if r.Phase == Answered {
		w.answers[i] = int(r.Verdict)
	} else {
		w.sends[i]++
	}
}

// Whatever happens to the keepers, the two that would own a message and the network between them, within these bounds,
// it runs at most once and has one final answer at most.
func TestEveryState(t *testing.T) {
	for _, b := range []bounds{{0, 2, 1, 0}, {1, 1, 1, 0}, {0, 1, 1, 1}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			r, err := explore.Walk(newWorld(mistakes{mute: b.crashes+b.doubles > 0}, b), *most)
			t.Logf("%+v, all: %v", r, err == nil)
			if !errors.Is(err, explore.ErrBound) {
				require.NoError(t, err)
			}
			require.Greater(t, r.States, 1000)
		})
	}
}

// most bounds the states of one walk, for the time of the tests.
var most = flag.Int("most", 450_000, "states of a walk")

// Whoever asks finds the same keepers, the work is spread, and one more instance moves no message between two others.
func TestKeepers(t *testing.T) {
	roster, count, moved := []Node{"a", "b", "c", "d", "e"}, map[Node]int{}, 0
	for i := range 3000 {
		id := fmt.Sprint("m", i)
		k, ok := Keepers(roster, id)
		other, _ := Keepers([]Node{"e", "c", "a", "d", "b"}, id)
		require.True(t, ok)
		require.Equal(t, k, other)
		for _, n := range k {
			count[n]++
		}
		more, _ := Keepers(append(roster, "f"), id)
		for _, n := range more {
			if !slices.Contains(k[:], n) {
				require.Equal(t, Node("f"), n)
				moved++
			}
		}
	}
	for n, c := range count {
		require.InDelta(t, 1800, c, 180, n)
	}
	require.InDelta(t, 1500, moved, 150)
	_, ok := Keepers(roster[:2], "m")
	require.False(t, ok)
}

// Each mistake is found, by the fewest steps that show it.
func TestPlantedMistakes(t *testing.T) {
	for name, m := range map[string]struct {
		mistakes
		bounds
	}{
		"no epoch":                     {mistakes{rules: rules{anyEpoch: true}}, bounds{0, 1, 1, 0}},
		"one keeper is enough":         {mistakes{rules: rules{one: true}}, bounds{0, 1, 1, 0}},
		"who forgot votes":             {mistakes{rules: rules{forgetful: true}, mute: true}, bounds{1, 1, 1, 0}},
		"the votes of a life before":   {mistakes{rules: rules{oldLives: true}, mute: true}, bounds{1, 1, 1, 0}},
		"acts before it is settled":    {mistakes{early: true}, bounds{0, 1, 1, 0}},
		"the roster of who seem alive": {mistakes{liveness: true}, bounds{0, 2, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(m.mistakes, m.bounds)
			if !m.liveness { // else the second must find it untaken
				w = w.taken()
			}
			r, err := explore.Walk(w, 5**most)
			var f *explore.Fault
			require.ErrorAs(t, err, &f)
			t.Logf("%+v: %v", r, f)
		})
	}
}
