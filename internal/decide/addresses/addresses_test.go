package addresses

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = int64(1000)

var (
	local = must("unix:/run/w.sock")
	six   = must("[::1]:9000")
	four  = must("127.0.0.1:9000")
)

func must(text string) Address {
	a, err := Parse(text)
	if err != nil {
		panic(err)
	}
	return a
}

func newSet(seed uint64, list ...Address) *Set {
	s := NewSet(Defaults, rand.New(rand.NewPCG(seed, 0)))
	s.Update(list)
	return s
}

func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		"127.0.0.1:9000": "127.0.0.1:9000", "[::1]:9": "[::1]:9", "[::ffff:127.0.0.1]:9": "127.0.0.1:9",
		"[0:0:0:0:0:0:0:1]:9": "[::1]:9", "unix:/run//a/../w.sock": "unix:/run/w.sock",
		"[fe80::1%eth0]:1": "[fe80::1%eth0]:1",
	} {
		a, err := Parse(text)
		require.NoError(t, err, text)
		require.Equal(t, want, a.String())
		require.Equal(t, a, must(a.String()))
	}
	for _, text := range []string{"", "localhost:9000", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "::1:9000",
		"0.0.0.0:1",
		"[::]:1", "224.0.0.1:1", "unix:run/w", "unix:", "unix:/a\x00b", "unix:/" + strings.Repeat("a", 107)} {
		_, err := Parse(text)
		require.Error(t, err, text)
	}
}

// A bad entry costs that entry only, and a hostile list neither room nor log lines.
func TestList(t *testing.T) {
	texts := []string{"127.0.0.1:1", "odd", "[::ffff:127.0.0.1]:1"}
	for i := range 1000 {
		texts = append(texts, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	list, faults := ParseList(texts)
	require.Len(t, list, MaxAddresses)
	require.Equal(t, "127.0.0.1:8", list[7].String())
	require.Len(t, faults, 2*MaxAddresses)
	require.Equal(t, "odd", faults[0].Text)
	require.Equal(t, errTwice, faults[1].Err)
	require.Equal(t, errMore, faults[len(faults)-1].Err)
}

func TestOrder(t *testing.T) {
	a, b, c, d := must("10.0.0.1:1"), must("10.0.0.2:1"), must("[fd00::1]:1"), must("[fd00::2]:1")
	require.Equal(t, []Address{local, a, c, b, d}, Interleave([]Address{a, b, c, local, d}))
	require.Equal(t, []Address{c, a, d, b}, Interleave([]Address{c, d, a, b}))
	require.Empty(t, Interleave(nil))
}

func TestClaims(t *testing.T) {
	c := NewClaims()
	c.Set("b", []Address{four, six}, "")
	c.Set("a", []Address{four, local}, "")
	changed, conflicts := c.Resolve()
	require.Equal(t, []string{"a", "b"}, changed)
	require.Equal(t, []Conflict{{four, "b", "a"}}, conflicts, "of two that are new the order of names decides")
	own, listed := c.Usable("b")
	require.True(t, listed)
	require.Equal(t, []Address{six}, own)

	changed, conflicts = c.Resolve()
	require.Empty(t, changed)
	require.Empty(t, conflicts, "said once")

	c.Set("0", []Address{four}, "") // would come before a, but a has it
	_, conflicts = c.Resolve()
	require.Equal(t, []Conflict{{four, "0", "a"}}, conflicts)
	own, listed = c.Usable("0")
	require.True(t, listed)
	require.Empty(t, own, "a host without an address of its own is there, and cannot be reached")

	c.Set("b", []Address{four, six}, "") // a move within one list, the new owner's news first
	c.Remove("0")
	c.Set("a", []Address{local}, "")
	changed, _ = c.Resolve()
	require.Equal(t, []string{"0", "a", "b"}, changed)
	own, _ = c.Usable("b")
	require.Equal(t, []Address{four, six}, own)

	c.Set("d", nil, "[::1]:9000") // what is named by dial alone stays exactly as it was
	changed, conflicts = c.Resolve()
	require.Equal(t, []string{"b"}, changed)
	require.Equal(t, []Conflict{{six, "b", "d"}}, conflicts)
	_, listed = c.Usable("d")
	require.False(t, listed)
	require.Len(t, c.Hosts(), 3)
}

// first is the address that a race begins with, which then comes up or fails.
func first(t *testing.T, s *Set, now int64, once bool, why Failure) Address {
	r := s.NewRace(now, now+250*ms, once)
	step := r.Step(now)
	require.Equal(t, Open, step.Action)
	if why != NoFailure {
		r.Failed(now+ms, step.Address, why)
		return step.Address
	}
	require.True(t, r.Opened(now+ms, step.Address, ms, false))
	require.Equal(t, Step{Action: Use, Address: step.Address}, r.Step(now+ms))
	require.Equal(t, Wait, r.Step(now+ms).Action, "used once")
	r.Finish()
	return step.Address
}

// While the first address is good there is no race, and it is kept to; a failure is passed by, and rests.
func TestStickyAndRest(t *testing.T) {
	s := newSet(1, six, four)
	require.Equal(t, six, first(t, s, ms, true, ConnectionRefused))
	require.Equal(t, four, first(t, s, 3*ms, true, NoFailure))
	for now := 10 * ms; now < 200*ms; now += 10 * ms { // while it rests
		require.Equal(t, four, first(t, s, now, now%20 == 0, NoFailure))
		a, how := s.NextTrial(now)
		require.Equal(t, NoTrial, how, a)
	}
	// Its rest is over: it is tried by a connection, and then a message that may be repeated, before any other.
	a, how := s.NextTrial(600 * ms)
	require.Equal(t, six, a)
	require.Equal(t, ConnectTrial, how)
	_, how = s.NextTrial(600 * ms)
	require.Equal(t, NoTrial, how, "one trial at a time")
	require.Equal(t, four, first(t, s, 600*ms, false, NoFailure))
	s.TrialEnded(601*ms, six, ConnectTrial, 600*ms, NoFailure)
	require.Equal(t, four, first(t, s, 602*ms, true, NoFailure), "a connection is no proof for what must not run twice")
	require.Equal(t, six, first(t, s, 603*ms, false, NoFailure))
	s.Answered(605*ms, six, 603*ms, false)
	require.Equal(t, six, first(t, s, 606*ms, true, NoFailure), "back in use")
}

// Many messages that meet the same trouble are one failure; failures in a row rest ever longer, within bounds, and an
// address that goes up and down keeps its count.
func TestRestsGrow(t *testing.T) {
	s := newSet(1, four)
	b := s.find(four)
	now := ms
	for i := range 10 {
		var races []*Race
		for range 50 {
			r := s.NewRace(now, now+250*ms, false)
			if step := r.Step(now); step.Action == Open {
				races = append(races, r)
			}
		}
		for _, r := range races {
			r.Failed(now+ms, four, ConnectionRefused)
		}
		require.Equal(t, i+1, b.failures)
		rest := min(Defaults.MinBackoff<<i, Defaults.MaxBackoff)
		require.GreaterOrEqual(t, b.rest, now+ms+rest/2)
		require.LessOrEqual(t, b.rest, now+ms+rest)
		now = b.rest + ms
		first(t, s, now, false, NoFailure) // up again for a second
		s.Answered(now, four, now-1, false)
		now += 1000 * ms
	}
	s.Answered(now+Defaults.CalmPeriod, four, now, false)
	require.Zero(t, b.failures, "calm for long enough")
}

// All rest: the one whose rest ends first is tried, one for each relay, and never none.
func TestAllRest(t *testing.T) {
	s := newSet(1, six, four)
	first(t, s, ms, false, ConnectionRefused)
	first(t, s, 2*ms, false, ConnectionRefused)
	s.find(six).rest, s.find(four).rest = 900*ms, 800*ms
	r := s.NewRace(10*ms, 260*ms, true)
	require.Equal(t, Step{Action: Open, Address: four}, r.Step(10*ms))
	r.Failed(11*ms, four, ConnectionRefused)
	require.Equal(t, GiveUp, r.Step(11*ms).Action)
}

// A silent address holds nobody up for longer than the delay, and while its first connect is still pending the next
// message does not begin with it.
func TestSilent(t *testing.T) {
	s := newSet(1, six, four)
	r := s.NewRace(0, 250*ms, false)
	require.Equal(t, Step{Action: Open, Address: six}, r.Step(0))
	require.Equal(t, Step{Action: Wait, Until: 50 * ms}, r.Step(ms))
	require.Equal(t, Step{Action: Open, Address: four}, r.Step(50*ms))
	require.Equal(t, four, first(t, s, 51*ms, false, NoFailure), "six is late")
	require.True(t, r.Opened(52*ms, four, 2*ms, false))
	require.Equal(t, Use, r.Step(52*ms).Action)
	r.Failed(250*ms, six, ConnectTimeout)
	require.Equal(t, Silent, s.find(six).state)
	require.Zero(t, s.find(six).late)
	require.Equal(t, four, first(t, s, 251*ms, false, NoFailure))

	// A late one that comes up after all is a loser, and good.
	s = newSet(1, six, four)
	r = s.NewRace(0, 250*ms, false)
	r.Step(0)
	r.Step(50 * ms)
	require.True(t, r.Opened(51*ms, four, ms, false))
	require.False(t, r.Opened(60*ms, six, 60*ms, false))
	require.Equal(t, Good, s.find(six).state)
	// The winner turns out to be dead before anything is written: the loser's connection is taken.
	require.Equal(t, Use, r.Step(61*ms).Action)
	r.Failed(61*ms, four, ConnectionRefused)
	require.Equal(t, Step{Action: Open, Address: six}, r.Step(61*ms))
}

// The time is shared among the addresses that remain, so that the last is still tried.
func TestDelayLeavesTime(t *testing.T) {
	var list []Address
	for i := range MaxAddresses {
		list = append(list, must(fmt.Sprintf("10.0.0.%d:1", i+1)))
	}
	s, now, opened := newSet(1, list...), int64(0), 0
	r := s.NewRace(0, 250*ms, false)
	for {
		step := r.Step(now)
		if step.Action == GiveUp {
			break
		}
		if step.Action == Open {
			opened++
			continue
		}
		require.Greater(t, step.Until, now)
		now = step.Until
	}
	require.Equal(t, MaxAddresses, opened)
	require.Equal(t, 250*ms, now)
}

// What has reset a request gets nothing that must not run twice, whatever a connection says, until a message that may
// be repeated, and began after the reset, was answered.
func TestReset(t *testing.T) {
	s := newSet(1, six, four)
	first(t, s, ms, true, NoFailure)
	s.RequestReset(5*ms, six, 2*ms, true)
	require.Equal(t, four, first(t, s, 6*ms, true, NoFailure))
	s.RequestReset(7*ms, four, 6*ms, true)
	require.Equal(t, GiveUp, s.NewRace(10*ms, 260*ms, true).Step(10*ms).Action, "rather no host than a second run")
	s.Answered(11*ms, six, 4*ms, false)
	require.Equal(t, GiveUp, s.NewRace(11*ms, 261*ms, true).Step(11*ms).Action,
		"an answer to what began before says nothing")
	s.Answered(11*ms, six, 8*ms, true)
	require.Equal(t, GiveUp, s.NewRace(11*ms, 261*ms, true).Step(11*ms).Action, "what must not run twice is no proof")

	now := 2000 * ms
	r := s.NewRace(now, now+250*ms, false)
	require.Equal(t, Step{Action: Open, Address: six}, r.Step(now))
	require.True(t, r.Opened(now+ms, six, ms, false))
	require.Equal(t, Resetting, s.find(six).state)
	require.Equal(t, GiveUp, s.NewRace(now+ms, now+250*ms, true).Step(now+ms).Action)
	s.Answered(now+5*ms, six, now+2*ms, false)
	require.Equal(t, six, first(t, s, now+6*ms, true, NoFailure))

	s.SetLimits(func() Limits { l := Defaults; l.CanProbe = true; return l }())
	s.RequestReset(now+10*ms, six, now+6*ms, true)
	a, how := s.NextTrial(now + 11*ms)
	require.Equal(t, four, a, "six rests")
	require.Equal(t, ProbeTrial, how)
	now = s.find(six).rest
	a, how = s.NextTrial(now)
	require.Equal(t, six, a)
	require.Equal(t, ProbeTrial, how)
	s.TrialEnded(now+ms, six, ProbeTrial, now, NoFailure)
	require.Equal(t, six, first(t, s, now+2*ms, true, NoFailure))
}

// 48 dispatchers that lose an address at one moment do not come back to it at one moment.
func TestReturnsAreSpread(t *testing.T) {
	var at []int64
	for seed := range uint64(48) {
		s := newSet(seed, six, four)
		first(t, s, ms, false, ConnectionRefused)
		at = append(at, s.find(six).rest)
	}
	slices.Sort(at)
	for i := 0; i+8 < len(at); i++ {
		require.Greater(t, at[i+8]-at[i], 10*ms, "nine within 10 ms")
	}
}

// What was learned goes on in another process, and nonsense of it does not.
func TestMemory(t *testing.T) {
	s := newSet(1, six, four)
	first(t, s, ms, true, NoFailure)
	s.RequestReset(5*ms, six, 2*ms, true)
	young := newSet(2, four, six)
	young.Inherit(6*ms, append(s.Memory(), Memory{Address: "nobody"}, Memory{Address: four.String(), State: 99}))
	require.ElementsMatch(t, s.Memory(), young.Memory())
	require.Equal(t, four, first(t, young, 7*ms, true, NoFailure))
	s.Update([]Address{four}) // the address that goes takes its memory with it
	require.False(t, s.Has(six))
	s.Update([]Address{four, six})
	require.Equal(t, Untried, s.find(six).state)
}

func TestLimits(t *testing.T) {
	require.NoError(t, Defaults.Check())
	l := Defaults
	l.MaxBackoff = 1
	require.ErrorContains(t, l.Check(), "rest_most is 1")
}

// Whatever happens: a race uses one connection at a time and moves on only after nothing was written; it opens each
// address once, unless its connection was spare; of those that rest one; what must not run twice never goes where a
// reset is not disproved; as long as an address may be used, something is tried; and every race ends in time.
func TestProperties(t *testing.T) {
	addresses := []Address{local, six, four, must("10.0.0.1:1"), must("[fd00::1]:1")}
	rapid.Check(t, func(t *rapid.T) {
		s := newSet(rapid.Uint64().Draw(t, "seed"), addresses...)
		p := &properties{T: t, set: s, addresses: addresses, limits: Defaults, now: 1,
			bad: map[Address]bool{}, lost: map[Address]int{}}
		p.limits.CanProbe = rapid.Bool().Draw(t, "probe")
		s.SetLimits(p.limits)
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			p.now += rapid.Int64Range(1, 3e6).Draw(t, "pause")
			p.try()
			p.race()
		}
	})
}

// properties plays messages against a set of addresses, and checks each move.
type properties struct {
	*rapid.T
	set       *Set
	addresses []Address
	limits    Limits
	now       int64
	bad       map[Address]bool // has reset a request, by this test's own books
	lost      map[Address]int  // requests that must not run twice and were reset
}

// try proves an address if the set asks for it.
func (p *properties) try() {
	a, how := p.set.NextTrial(p.now)
	if how == NoTrial {
		return
	}
	why := rapid.SampledFrom([]Failure{NoFailure, ConnectionRefused, ConnectTimeout}).Draw(p.T, "trial")
	p.set.TrialEnded(p.now+1, a, how, p.now, why)
	if why == NoFailure && how == ProbeTrial {
		delete(p.bad, a)
	}
}

// raced is what has happened so far in one race.
type raced struct {
	*Race
	began, by int64
	once      bool // its request must not run twice
	opens     map[Address]int
	used      int
	resting   int
	pending   []Address // connections under way
}

// race sends one request.
func (p *properties) race() {
	once := rapid.Bool().Draw(p.T, "once")
	by := p.now + 250*ms
	r := &raced{Race: p.set.NewRace(p.now, by, once), began: p.now, by: by, once: once, opens: map[Address]int{}}
	for p.move(r) {
	}
	for _, a := range r.pending { // what the race left behind comes back all the same
		r.Failed(by, a, ConnectTimeout)
	}
	for _, b := range p.set.list {
		if b.late != 0 {
			p.Fatalf("%s stays late", b.Address)
		}
		if b.rest > p.now+p.limits.MaxBackoff+250*ms {
			p.Fatalf("%s rests too long", b.Address)
		}
	}
	p.now = max(p.now, by)
}

// move takes the race's next step, and tells whether the race goes on.
func (p *properties) move(r *raced) bool {
	step := r.Step(p.now)
	switch step.Action {
	case GiveUp:
		p.gaveUp(r)
		return false
	case Open:
		p.opened(r, step.Address)
	case Use:
		p.used(r, step.Address)
		if p.unwritten(r, step.Address) {
			return true
		}
		r.Finish()
		if r.Step(p.now).Action == Use {
			p.Fatal("used twice")
		}
		return false
	case Wait:
		if step.Until > r.by || step.Until <= p.now {
			p.Fatalf("waits until %d at %d of %d", step.Until, p.now, r.by)
		}
		p.now += rapid.Int64Range(1, step.Until-p.now).Draw(p.T, "time")
	}
	p.connect(r)
	return true
}

func (p *properties) gaveUp(r *raced) {
	if len(r.opens) > 0 {
		return
	}
	for _, a := range p.addresses {
		if !r.once || !p.bad[a] {
			p.Fatalf("nothing was tried though %s may be used", a)
		}
	}
}

func (p *properties) opened(r *raced, a Address) {
	r.opens[a]++
	if r.opens[a] > 1 && r.used == 0 {
		p.Fatalf("%s is opened again", a)
	}
	if p.set.find(a).rest > p.now {
		r.resting++
	}
	if r.resting > 1 {
		p.Fatalf("a second one that rests: %s", a)
	}
	r.pending = append(r.pending, a)
}

func (p *properties) used(r *raced, a Address) {
	r.used++
	if r.once && p.bad[a] {
		p.Fatalf("%s has reset a request", a)
	}
}

// unwritten draws what becomes of a request on the connection to a, and tells whether nothing of it was written.
func (p *properties) unwritten(r *raced, a Address) bool {
	switch rapid.IntRange(0, 3).Draw(p.T, "fate") {
	case 0: // answered
		p.set.Answered(p.now+1, a, p.now, r.once)
		if !r.once {
			delete(p.bad, a)
		}
	case 1:
		p.set.RequestReset(p.now+1, a, p.now, r.once)
		p.bad[a] = true
		if r.once {
			p.lost[a]++
		}
		if p.lost[a] > mostLost {
			p.Fatalf("%s has reset %d that must not run twice", a, p.lost[a])
		}
	case 2: // called off
	case 3: // nothing was written
		r.Failed(p.now, a, rapid.SampledFrom([]Failure{ConnectionRefused, Unrelated}).Draw(p.T, "unwritten"))
		return true
	}
	return false
}

// connect may let the oldest connection under way come up or fail.
func (p *properties) connect(r *raced) {
	if len(r.pending) == 0 || !rapid.Bool().Draw(p.T, "event") {
		return
	}
	a := r.pending[0]
	r.pending = r.pending[1:]
	why := rapid.SampledFrom([]Failure{NoFailure, ConnectionRefused, ConnectTimeout, Unrelated}).Draw(p.T, "connect")
	if why == NoFailure {
		r.Opened(p.now, a, p.now-r.began, false)
	} else {
		r.Failed(p.now, a, why)
	}
}
