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
	local = mustParse("unix:/run/w.sock")
	six   = mustParse("[::1]:9000")
	four  = mustParse("127.0.0.1:9000")
)

func mustParse(text string) Address {
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
		require.Equal(t, a, mustParse(a.String()))
	}
	for _, text := range []string{"", "localhost:9000", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "::1:9000",
		"0.0.0.0:1",
		"[::]:1", "224.0.0.1:1", "unix:run/w", "unix:", "unix:/a\x00b", "unix:/" + strings.Repeat("a", 107)} {
		_, err := Parse(text)
		require.Error(t, err, text)
	}
}

// An invalid entry is left out. However long the list of entries is, the numbers of addresses and of reported entries
// are bounded.
func TestParseList(t *testing.T) {
	texts := []string{"127.0.0.1:1", "odd", "[::ffff:127.0.0.1]:1"}
	for i := range 1000 {
		texts = append(texts, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	list, faults := ParseList(texts)
	require.Len(t, list, MaxAddresses)
	require.Equal(t, "127.0.0.1:8", list[7].String())
	require.Len(t, faults, 2*MaxAddresses)
	require.Equal(t, "odd", faults[0].Text)
	require.Equal(t, errDuplicate, faults[1].Err)
	require.Equal(t, errTooMany, faults[len(faults)-1].Err)
}

func TestInterleave(t *testing.T) {
	a, b, c, d := mustParse("10.0.0.1:1"), mustParse("10.0.0.2:1"), mustParse("[fd00::1]:1"), mustParse("[fd00::2]:1")
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
	require.Equal(t, []Conflict{{four, "b", "a"}}, conflicts, "of two new hosts the first by name owns the address")
	own, listed := c.Usable("b")
	require.True(t, listed)
	require.Equal(t, []Address{six}, own)

	changed, conflicts = c.Resolve()
	require.Empty(t, changed)
	require.Empty(t, conflicts, "a conflict is reported once")

	c.Set("0", []Address{four}, "") // sorts before a, but a already owns it
	_, conflicts = c.Resolve()
	require.Equal(t, []Conflict{{four, "0", "a"}}, conflicts)
	own, listed = c.Usable("0")
	require.True(t, listed)
	require.Empty(t, own, "a host that owns no address stays listed without a usable one")

	c.Set("b", []Address{four, six}, "") // the address moves within one list; the new owner is set first
	c.Remove("0")
	c.Set("a", []Address{local}, "")
	changed, _ = c.Resolve()
	require.Equal(t, []string{"0", "a", "b"}, changed)
	own, _ = c.Usable("b")
	require.Equal(t, []Address{four, six}, own)

	c.Set("d", nil, "[::1]:9000") // a host with a dial address alone owns that address
	changed, conflicts = c.Resolve()
	require.Equal(t, []string{"b"}, changed)
	require.Equal(t, []Conflict{{six, "b", "d"}}, conflicts)
	_, listed = c.Usable("d")
	require.False(t, listed)
	require.Len(t, c.Hosts(), 3)
}

// The owner of a contested address keeps it in a successor if it still lists it there.
func TestClaimsAreInherited(t *testing.T) {
	first := NewClaims()
	first.Set("b", []Address{four, six}, "")
	first.Resolve()
	first.Set("a", []Address{four, six, local}, "")
	first.Resolve()
	require.Equal(t, map[string]string{four.String(): "b", six.String(): "b"}, first.Contested())
	successor := NewClaims()
	successor.Inherit(first.Contested())
	successor.Set("a", []Address{four, six, local}, "")
	successor.Set("b", []Address{four}, "")
	_, conflicts := successor.Resolve()
	require.Equal(t, []Conflict{{four, "a", "b"}}, conflicts)
	own, _ := successor.Usable("a")
	require.Equal(t, []Address{six, local}, own, "b does not list the other one any more")
	require.Equal(t, map[string]string{four.String(): "b"}, successor.Contested())
	successor.Remove("b")
	successor.Resolve()
	own, _ = successor.Usable("a")
	require.Equal(t, []Address{four, six, local}, own)
}

// raceFirst runs a race whose first connection comes up or fails, and returns its address.
func raceFirst(t *testing.T, s *Set, now int64, once bool, failure Failure) Address {
	r := s.NewRace(now, now+250*ms, once)
	step := r.Step(now)
	require.Equal(t, Open, step.Action)
	if failure != NoFailure {
		r.Failed(now+ms, step.Address, failure)
		return step.Address
	}
	require.True(t, r.Opened(now+ms, step.Address, ms, false))
	require.Equal(t, Step{Action: Use, Address: step.Address}, r.Step(now+ms))
	require.Equal(t, Wait, r.Step(now+ms).Action, "Use is returned once")
	r.Finish()
	return step.Address
}

// While the first address is good it is used without a race. A failed address is skipped and stays in backoff.
func TestPreferenceAndBackoff(t *testing.T) {
	s := newSet(1, six, four)
	require.Equal(t, six, raceFirst(t, s, ms, true, ConnectionRefused))
	require.Equal(t, four, raceFirst(t, s, 3*ms, true, NoFailure))
	for now := 10 * ms; now < 200*ms; now += 10 * ms { // during the backoff
		require.Equal(t, four, raceFirst(t, s, now, now%20 == 0, NoFailure))
		a, kind := s.NextTrial(now)
		require.Equal(t, NoTrial, kind, a)
	}
	// After its backoff it is tested by a connection and then by a repeatable request before other requests use it.
	a, kind := s.NextTrial(600 * ms)
	require.Equal(t, six, a)
	require.Equal(t, ConnectTrial, kind)
	_, kind = s.NextTrial(600 * ms)
	require.Equal(t, NoTrial, kind, "one trial at a time")
	require.Equal(t, four, raceFirst(t, s, 600*ms, false, NoFailure))
	s.TrialEnded(601*ms, six, ConnectTrial, 600*ms, NoFailure)
	require.Equal(t, four, raceFirst(t, s, 602*ms, true, NoFailure),
		"a connection is not enough for a request that must not run twice")
	require.Equal(t, six, raceFirst(t, s, 603*ms, false, NoFailure))
	s.Answered(605*ms, six, 603*ms, false)
	require.Equal(t, six, raceFirst(t, s, 606*ms, true, NoFailure), "back in use")
}

// Many requests that fail for the same cause count as one failure. The backoff grows with consecutive failures, within
// bounds, and an address that keeps failing and recovering keeps its count.
func TestBackoffGrows(t *testing.T) {
	s := newSet(1, four)
	status := s.find(four)
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
		require.Equal(t, i+1, status.failures)
		backoff := min(Defaults.MinBackoff<<i, Defaults.MaxBackoff)
		require.GreaterOrEqual(t, status.backoffUntil, now+ms+backoff/2)
		require.LessOrEqual(t, status.backoffUntil, now+ms+backoff)
		now = status.backoffUntil + ms
		raceFirst(t, s, now, false, NoFailure) // good again for a second
		s.Answered(now, four, now-1, false)
		now += 1000 * ms
	}
	s.Answered(now+Defaults.CalmPeriod, four, now, false)
	require.Zero(t, status.failures, "good for the whole calm period")
}

// If all addresses are in backoff, each relay tries one, the one whose backoff ends first.
func TestAllInBackoff(t *testing.T) {
	s := newSet(1, six, four)
	raceFirst(t, s, ms, false, ConnectionRefused)
	raceFirst(t, s, 2*ms, false, ConnectionRefused)
	s.find(six).backoffUntil, s.find(four).backoffUntil = 900*ms, 800*ms
	r := s.NewRace(10*ms, 260*ms, true)
	require.Equal(t, Step{Action: Open, Address: four}, r.Step(10*ms))
	r.Failed(11*ms, four, ConnectionRefused)
	require.Equal(t, GiveUp, r.Step(11*ms).Action)
}

// A silent address delays a request by the attempt delay at most, and while its first connect attempt is pending the
// next request does not start with it.
func TestSilent(t *testing.T) {
	s := newSet(1, six, four)
	r := s.NewRace(0, 250*ms, false)
	require.Equal(t, Step{Action: Open, Address: six}, r.Step(0))
	require.Equal(t, Step{Action: Wait, Until: 50 * ms}, r.Step(ms))
	require.Equal(t, Step{Action: Open, Address: four}, r.Step(50*ms))
	require.Equal(t, four, raceFirst(t, s, 51*ms, false, NoFailure), "six has exceeded its attempt delay")
	require.True(t, r.Opened(52*ms, four, 2*ms, false))
	require.Equal(t, Use, r.Step(52*ms).Action)
	r.Failed(250*ms, six, ConnectTimeout)
	require.Equal(t, Silent, s.find(six).state)
	require.Zero(t, s.find(six).lateConnects)
	require.Equal(t, four, raceFirst(t, s, 251*ms, false, NoFailure))

	// A late connection that comes up after all loses the race, and its address is good.
	s = newSet(1, six, four)
	r = s.NewRace(0, 250*ms, false)
	r.Step(0)
	r.Step(50 * ms)
	require.True(t, r.Opened(51*ms, four, ms, false))
	require.False(t, r.Opened(60*ms, six, 60*ms, false))
	require.Equal(t, Good, s.find(six).state)
	// The winner's connection turns out to be closed before anything is written: the loser's connection is used.
	require.Equal(t, Use, r.Step(61*ms).Action)
	r.Failed(61*ms, four, ConnectionRefused)
	require.Equal(t, Step{Action: Open, Address: six}, r.Step(61*ms))
}

// The remaining time is shared among the remaining addresses, so that the last one is still tried.
func TestDelaySharesTheTime(t *testing.T) {
	var list []Address
	for i := range MaxAddresses {
		list = append(list, mustParse(fmt.Sprintf("10.0.0.%d:1", i+1)))
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

// An address that has reset a request gets no request that must not run twice, even if connections come up, until a
// repeatable request that started after the reset was answered.
func TestReset(t *testing.T) {
	s := newSet(1, six, four)
	raceFirst(t, s, ms, true, NoFailure)
	s.RequestReset(5*ms, six, 2*ms, true)
	require.Equal(t, four, raceFirst(t, s, 6*ms, true, NoFailure))
	s.RequestReset(7*ms, four, 6*ms, true)
	require.Equal(t, GiveUp, s.NewRace(10*ms, 260*ms, true).Step(10*ms).Action,
		"no address is used where a request may run twice")
	s.Answered(11*ms, six, 4*ms, false)
	require.Equal(t, GiveUp, s.NewRace(11*ms, 261*ms, true).Step(11*ms).Action,
		"the answer to a request that started before the reset does not count")
	s.Answered(11*ms, six, 8*ms, true)
	require.Equal(t, GiveUp, s.NewRace(11*ms, 261*ms, true).Step(11*ms).Action,
		"the answer to a request that must not run twice does not count")

	now := 2000 * ms
	r := s.NewRace(now, now+250*ms, false)
	require.Equal(t, Step{Action: Open, Address: six}, r.Step(now))
	require.True(t, r.Opened(now+ms, six, ms, false))
	require.Equal(t, Resetting, s.find(six).state)
	require.Equal(t, GiveUp, s.NewRace(now+ms, now+250*ms, true).Step(now+ms).Action)
	s.Answered(now+5*ms, six, now+2*ms, false)
	require.Equal(t, six, raceFirst(t, s, now+6*ms, true, NoFailure))

	s.SetLimits(func() Limits { l := Defaults; l.CanProbe = true; return l }())
	s.RequestReset(now+10*ms, six, now+6*ms, true)
	a, kind := s.NextTrial(now + 11*ms)
	require.Equal(t, four, a, "six is in backoff")
	require.Equal(t, ProbeTrial, kind)
	now = s.find(six).backoffUntil
	a, kind = s.NextTrial(now)
	require.Equal(t, six, a)
	require.Equal(t, ProbeTrial, kind)
	s.TrialEnded(now+ms, six, ProbeTrial, now, NoFailure)
	require.Equal(t, six, raceFirst(t, s, now+2*ms, true, NoFailure))
}

// 48 dispatchers that lose an address at the same moment return to it at different moments.
func TestBackoffIsSpread(t *testing.T) {
	var at []int64
	for seed := range uint64(48) {
		s := newSet(seed, six, four)
		raceFirst(t, s, ms, false, ConnectionRefused)
		at = append(at, s.find(six).backoffUntil)
	}
	slices.Sort(at)
	for i := 0; i+8 < len(at); i++ {
		require.Greater(t, at[i+8]-at[i], 10*ms, "nine backoffs end within 10 ms")
	}
}

// A successor takes over the memory of its predecessor, except invalid entries.
func TestMemory(t *testing.T) {
	s := newSet(1, six, four)
	raceFirst(t, s, ms, true, NoFailure)
	s.RequestReset(5*ms, six, 2*ms, true)
	successor := newSet(2, four, six)
	successor.Inherit(6*ms, append(s.Memory(), Memory{Address: "nobody"}, Memory{Address: four.String(), State: 99}))
	require.ElementsMatch(t, s.Memory(), successor.Memory())
	require.Equal(t, four, raceFirst(t, successor, 7*ms, true, NoFailure))
	s.Update([]Address{four}) // an address that is removed loses its status
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

// With random events: a race uses one connection at a time, and another only if nothing was written; it opens each
// address once, unless its connection was spare, and at most one address in backoff; a request that must not run twice
// is never sent to an address that has reset one and was not tested since; if any address may be used, one is tried;
// and every race ends in time.
func TestProperties(t *testing.T) {
	addresses := []Address{local, six, four, mustParse("10.0.0.1:1"), mustParse("[fd00::1]:1")}
	rapid.Check(t, func(t *rapid.T) {
		s := newSet(rapid.Uint64().Draw(t, "seed"), addresses...)
		p := &propertyTest{T: t, set: s, addresses: addresses, limits: Defaults, now: 1,
			hasReset: map[Address]bool{}, onceResets: map[Address]int{}}
		p.limits.CanProbe = rapid.Bool().Draw(t, "probe")
		s.SetLimits(p.limits)
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			p.now += rapid.Int64Range(1, 3e6).Draw(t, "pause")
			p.trial()
			p.race()
		}
	})
}

// propertyTest sends requests over a set of addresses and checks each action.
type propertyTest struct {
	*rapid.T
	set        *Set
	addresses  []Address
	limits     Limits
	now        int64
	hasReset   map[Address]bool // has reset a request, as counted by this test
	onceResets map[Address]int  // requests that must not run twice and that were reset
}

// trial tests an address if the set asks for it.
func (p *propertyTest) trial() {
	a, kind := p.set.NextTrial(p.now)
	if kind == NoTrial {
		return
	}
	failure := rapid.SampledFrom([]Failure{NoFailure, ConnectionRefused, ConnectTimeout}).Draw(p.T, "trial")
	p.set.TrialEnded(p.now+1, a, kind, p.now, failure)
	if failure == NoFailure && kind == ProbeTrial {
		delete(p.hasReset, a)
	}
}

// raceState is the state of one race.
type raceState struct {
	*Race
	start, deadline int64
	once            bool // its request must not run twice
	openCounts      map[Address]int
	useCount        int
	backoffOpens    int
	pending         []Address // connect attempts in progress
}

// race sends one request.
func (p *propertyTest) race() {
	once := rapid.Bool().Draw(p.T, "once")
	deadline := p.now + 250*ms
	r := &raceState{Race: p.set.NewRace(p.now, deadline, once), start: p.now, deadline: deadline, once: once,
		openCounts: map[Address]int{}}
	for p.move(r) {
	}
	for _, a := range r.pending { // pending attempts end after the race as well
		r.Failed(deadline, a, ConnectTimeout)
	}
	for _, status := range p.set.statuses {
		if status.lateConnects != 0 {
			p.Fatalf("%s keeps late connect attempts", status.Address)
		}
		if status.backoffUntil > p.now+p.limits.MaxBackoff+250*ms {
			p.Fatalf("%s stays in backoff too long", status.Address)
		}
	}
	p.now = max(p.now, deadline)
}

// move performs the race's next action and reports whether the race continues.
func (p *propertyTest) move(r *raceState) bool {
	step := r.Step(p.now)
	switch step.Action {
	case GiveUp:
		p.gaveUp(r)
		return false
	case Open:
		p.opened(r, step.Address)
	case Use:
		p.used(r, step.Address)
		if p.requestOutcome(r, step.Address) {
			return true
		}
		r.Finish()
		if r.Step(p.now).Action == Use {
			p.Fatal("the connection is used twice")
		}
		return false
	case Wait:
		if step.Until > r.deadline || step.Until <= p.now {
			p.Fatalf("waits until %d at %d with deadline %d", step.Until, p.now, r.deadline)
		}
		p.now += rapid.Int64Range(1, step.Until-p.now).Draw(p.T, "time")
	}
	p.connect(r)
	return true
}

func (p *propertyTest) gaveUp(r *raceState) {
	if len(r.openCounts) > 0 {
		return
	}
	for _, a := range p.addresses {
		if !r.once || !p.hasReset[a] {
			p.Fatalf("no address was tried although %s may be used", a)
		}
	}
}

func (p *propertyTest) opened(r *raceState, a Address) {
	r.openCounts[a]++
	if r.openCounts[a] > 1 && r.useCount == 0 {
		p.Fatalf("%s is opened a second time", a)
	}
	if p.set.find(a).backoffUntil > p.now {
		r.backoffOpens++
	}
	if r.backoffOpens > 1 {
		p.Fatalf("a second address in backoff is opened: %s", a)
	}
	r.pending = append(r.pending, a)
}

func (p *propertyTest) used(r *raceState, a Address) {
	r.useCount++
	if r.once && p.hasReset[a] {
		p.Fatalf("%s is used after it has reset a request", a)
	}
}

// requestOutcome draws the outcome of a request on the connection to a and reports whether nothing was written.
func (p *propertyTest) requestOutcome(r *raceState, a Address) bool {
	switch rapid.IntRange(0, 3).Draw(p.T, "fate") {
	case 0: // answered
		p.set.Answered(p.now+1, a, p.now, r.once)
		if !r.once {
			delete(p.hasReset, a)
		}
	case 1:
		p.set.RequestReset(p.now+1, a, p.now, r.once)
		p.hasReset[a] = true
		if r.once {
			p.onceResets[a]++
		}
		if p.onceResets[a] > maxOnceResets {
			p.Fatalf("%s has reset %d requests that must not run twice", a, p.onceResets[a])
		}
	case 2: // cancelled
	case 3: // nothing was written
		r.Failed(p.now, a, rapid.SampledFrom([]Failure{ConnectionRefused, Unrelated}).Draw(p.T, "unwritten"))
		return true
	}
	return false
}

// connect may let the oldest connect attempt succeed or fail.
func (p *propertyTest) connect(r *raceState) {
	if len(r.pending) == 0 || !rapid.Bool().Draw(p.T, "event") {
		return
	}
	a := r.pending[0]
	r.pending = r.pending[1:]
	failure := rapid.SampledFrom([]Failure{NoFailure, ConnectionRefused, ConnectTimeout, Unrelated}).
		Draw(p.T, "connect")
	if failure == NoFailure {
		r.Opened(p.now, a, p.now-r.start, false)
	} else {
		r.Failed(p.now, a, failure)
	}
}
