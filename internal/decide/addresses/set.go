package addresses

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Limits are the knobs, all times in microseconds.
type Limits struct {
	// After so long without an outcome the next address is begun beside a pending one. The delay follows the connect
	// times measured; DelayFirst holds while there are none. RFC 8305, section 5, asks for 10 ms at least.
	MinDelay, InitialDelay, MaxDelay int64
	// A failed address rests for between a half and the whole of RestLeast; each further failure in a row doubles that,
	// up to RestMost.
	MinBackoff, MaxBackoff int64
	// Failures are in a row unless the address was good for so long between them.
	CalmPeriod int64
	// Probe says that the host may be asked for its load over an address to prove it.
	CanProbe bool
}

// Defaults are sound for hosts within a few milliseconds.
var Defaults = Limits{MinDelay: 30e3, InitialDelay: 50e3, MaxDelay: 100e3, MinBackoff: 500e3, MaxBackoff: 10e6,
	CalmPeriod: 30e6}

// Check names the first knob that is out of its bounds, and its value.
func (l Limits) Check() error {
	for _, k := range []struct {
		name              string
		value, least, top int64
	}{
		{"delay_least", l.MinDelay, 10e3, 2e6}, {"delay_most", l.MaxDelay, l.MinDelay, 2e6},
		{"delay_first", l.InitialDelay, l.MinDelay, l.MaxDelay}, {"rest_least", l.MinBackoff, 10e3, 60e6},
		{"rest_most", l.MaxBackoff, l.MinBackoff, 600e6}, {"calm", l.CalmPeriod, 0, 3600e6},
	} {
		if k.value < k.least || k.value > k.top {
			return fmt.Errorf("%s is %d, not within %d to %d microseconds", k.name, k.value, k.least, k.top)
		}
	}
	return nil
}

// State is what is believed of an address.
type State uint8

// The states.
const (
	Untried   State = iota
	Good            // a connection came up, and nothing spoke against it since
	Refusing        // connections are refused, or end before anything is written
	Silent          // connections do not come up
	Resetting       // it takes connections and ends them with the request on them
)

var states = [...]string{"untried", "good", "refusing", "silent", "resetting"}

func (s State) String() string { return states[s] }

var doubts = [...]string{"none", "mild", "severe"}

func (d Doubt) String() string { return doubts[d] }

// Doubt is how far an address is trusted with a message that must not run twice, beside its state.
type Doubt uint8

// The degrees of doubt.
const (
	NoDoubt     Doubt = iota
	MildDoubt         // it had failed: where another is good, a message that may be repeated goes first
	SevereDoubt       // it has reset a request: none of them goes there before another message was answered over it
)

// belief is what is believed of one address.
type belief struct {
	Address
	state    State
	doubt    Doubt
	failures int
	failed   int64 // when it last did
	reset    int64 // when it last reset a request
	lost     int   // messages that must not run twice which it has reset
	rest     int64 // until when it is left alone
	good     int64 // since when
	trial    bool  // one is under way to prove it
	late     int   // connections that are being opened and are over their attempt delay
	mean     int64 // of the connect times, 0 where none is known
	spread   int64 // their mean deviation
	told     told  // what News has said of it
}

type told struct {
	state State
	doubt Doubt
}

// Set is what is believed of the addresses of one host. Its caller serializes the calls.
type Set struct {
	limits Limits
	chance *rand.Rand
	list   []*belief // in the order of preference
}

// NewSet returns a set without addresses. Chance spreads the rests of many dispatchers.
func NewSet(l Limits, chance *rand.Rand) *Set { return &Set{limits: l, chance: chance} }

// SetLimits changes the knobs. Rests that have begun stay as they are.
func (s *Set) SetLimits(l Limits) { s.limits = l }

// Update takes the host's list as it is now. What is known of the addresses that stay is kept.
func (s *Set) Update(list []Address) {
	old := s.list
	s.list = nil
	for _, a := range Interleave(list[:min(len(list), MaxAddresses)]) {
		b := &belief{Address: a}
		if i := slices.IndexFunc(old, func(b *belief) bool { return b.Address == a }); i >= 0 {
			b = old[i]
		}
		s.list = append(s.list, b)
	}
}

// Has tells whether the host has this address now.
func (s *Set) Has(a Address) bool { return s.find(a) != nil }

func (s *Set) find(a Address) *belief {
	for _, b := range s.list {
		if b.Address == a {
			return b
		}
	}
	return nil
}

// mostLost is how many messages that must not run twice an address may reset until none of them goes there any more.
// What proves it good again, a probe or a message that may be repeated, is then known to say nothing of them.
const mostLost = 3

// bars tells whether the address must not be used for a message, which must not run twice if once is set.
func (b *belief) bars(once bool) bool { return once && (b.doubt == SevereDoubt || b.lost >= mostLost) }

// resting is the rank of the addresses that are left alone.
const resting = 5

// rank sorts the addresses for a message: the lower, the sooner. The second result is false for one that must not be
// used for it.
func (b *belief) rank(now int64, once bool) (int, bool) {
	switch {
	case b.bars(once):
		return 0, false
	case b.rest > now:
		return resting, true
	case b.late > 0:
		return 4, true
	case b.state == Refusing || b.state == Silent:
		return 3, true
	case b.doubt != NoDoubt:
		return 2, true
	case b.state == Good:
		return 0, true
	}
	return 1, true
}

// order returns the addresses for a message in the order in which they are to be tried; those that rest come last, the
// one whose rest ends first before the others.
func (s *Set) order(now int64, once bool) (list []*belief) {
	for _, b := range s.list {
		if _, ok := b.rank(now, once); ok {
			list = append(list, b)
		}
	}
	slices.SortStableFunc(list, func(a, b *belief) int {
		ra, _ := a.rank(now, once)
		rb, _ := b.rank(now, once)
		if ra == rb && ra == resting {
			return cmp.Compare(a.rest, b.rest)
		}
		return ra - rb
	})
	return list
}

// proving is the address that a message which may be repeated is to prove: one that can be connected to but is doubted,
// and is preferred to all that are good. One message at a time does so, and none where a probe may.
func (s *Set) proving(now int64) *belief {
	for _, b := range s.list {
		switch {
		case b.rest > now || b.trial || b.late > 0:
		case b.doubt != NoDoubt:
			if !s.limits.CanProbe && (b.state == Good || b.state == Resetting) {
				return b
			}
		case b.state == Good:
			return nil
		}
	}
	return nil
}

// TrialKind is how an address is to be proved beside the messages.
type TrialKind uint8

// The ways to prove an address.
const (
	NoTrial      TrialKind = iota
	ConnectTrial           // by a connection that nothing is written to
	ProbeTrial             // by a probe of the host, whose answer counts as that to a message
)

// NextTrial says which address is to be proved now, and how. It is asked whenever there is something to send; Tried must
// follow. An address is proved when its rest is over and no message would: because one that is less preferred, but
// good, takes them, or because it has reset a request.
func (s *Set) NextTrial(now int64) (Address, TrialKind) {
	for _, b := range s.list {
		if b.rest > now || b.trial || b.late > 0 {
			continue
		}
		if b.state == Good && b.doubt == NoDoubt {
			break
		}
		switch {
		case b.doubt == SevereDoubt && !s.limits.CanProbe: // a connection would prove nothing
			continue
		case b.doubt != SevereDoubt && (b.state == Good || !s.anyGood(now)): // the next message will show
			continue
		}
		b.trial = true
		b.doubt = max(b.doubt, MildDoubt)
		if s.limits.CanProbe {
			return b.Address, ProbeTrial
		}
		return b.Address, ConnectTrial
	}
	return Address{}, NoTrial
}

func (s *Set) anyGood(now int64) bool {
	return slices.ContainsFunc(s.list, func(b *belief) bool {
		return b.state == Good && b.doubt == NoDoubt && b.rest <= now && b.late == 0
	})
}

// TrialEnded ends a trial that began at a time: by a connection that came up after so long, or a probe that was answered,
// where failure is Fine, and else by what went wrong.
func (s *Set) TrialEnded(now int64, a Address, how TrialKind, began int64, failure Failure) {
	b := s.find(a)
	if b == nil {
		return
	}
	b.trial = false
	switch {
	case failure != NoFailure:
		s.failed(b, now, began, failure)
	case how == ProbeTrial:
		s.Answered(now, a, began, false)
	default:
		b.opened(now, now-began)
	}
}

// Failure is what went wrong with an address.
type Failure uint8

// The failures.
const (
	NoFailure         Failure = iota
	ConnectionRefused         // the connection was refused
	ConnectTimeout            // the connection did not come up in time
	ConnectionReset           // it came up and ended without an answer, with a request on it, in part or whole, or none
	Unrelated                 // what failed has nothing to do with the address: there was no room, or it is the host's no more
)

// opened notes a connection that came up.
func (b *belief) opened(now, took int64) {
	if b.state != Good {
		b.good = now
	}
	if b.doubt == SevereDoubt {
		b.state = Resetting // whatever a connection says
	} else {
		b.state, b.rest = Good, min(b.rest, now)
	}
	took = max(took, 1)
	if b.mean == 0 {
		b.mean, b.spread = took, took/2
		return
	}
	// The estimate of TCP's round-trip times (RFC 6298, section 2).
	b.spread += (max(took-b.mean, b.mean-took) - b.spread) / 4
	b.mean += (took - b.mean) / 8
}

// failed notes a failure of something that began at a time. What had begun before the last failure says nothing new:
// of many messages that meet the same trouble the first counts.
func (s *Set) failed(b *belief, now, began int64, why Failure) {
	if why == Unrelated {
		return
	}
	calm := b.state == Good && now-b.good >= s.limits.CalmPeriod
	if why == ConnectionReset {
		b.reset = now
		b.doubt = SevereDoubt
	} else {
		b.doubt = max(b.doubt, MildDoubt)
	}
	if b.failures > 0 && began <= b.failed {
		return
	}
	if calm {
		b.failures = 0
	}
	b.state = [...]State{ConnectionRefused: Refusing, ConnectTimeout: Silent, ConnectionReset: Resetting}[why]
	rest := min(s.limits.MinBackoff<<min(b.failures, 20), s.limits.MaxBackoff)
	b.failures++
	b.failed = now
	b.rest = now + rest/2 + s.chance.Int64N(rest/2+1)
}

// Answered notes that a request which began at a time was answered over the address, whatever the answer was. Only of a
// message that may run again, or of a probe, it takes a severe doubt away: what must not run twice must not be the
// proof.
func (s *Set) Answered(now int64, a Address, began int64, once bool) {
	b := s.find(a)
	if b == nil || began <= b.reset && b.doubt == SevereDoubt || once && b.doubt == SevereDoubt {
		return
	}
	if b.state != Good {
		b.good = now
	}
	b.state, b.doubt, b.rest, b.trial = Good, NoDoubt, 0, false
	if now-b.good >= s.limits.CalmPeriod {
		b.failures = 0
	}
}

// RequestReset notes that a connection ended, without an answer, when a request was on it that began at a time: part of it or
// all. Once is set if it must not run twice.
func (s *Set) RequestReset(now int64, a Address, began int64, once bool) {
	if b := s.find(a); b != nil {
		b.trial = false
		if once {
			b.lost++
		}
		s.failed(b, now, began, ConnectionReset)
	}
}

// KeptConnectionClosed notes that a kept connection ended, without an answer, when a request was on it. Hosts close idle ones, so that
// it says little: another address that is good goes first until this one has answered again.
func (s *Set) KeptConnectionClosed(a Address) {
	if b := s.find(a); b != nil {
		b.doubt = max(b.doubt, MildDoubt)
	}
}

// delay is how long to wait for this address before the next is begun beside it: as long as its connections have taken
// but for outliers, and no longer than leaves all that remain a share of the time.
func (s *Set) delay(b *belief, left int64, remaining int) int64 {
	d := s.limits.InitialDelay
	if b.mean > 0 {
		d = b.mean + 4*b.spread
	}
	d = min(max(d, s.limits.MinDelay), s.limits.MaxDelay)
	return min(d, left/int64(remaining+1))
}

// Memory is what another process, or an operator, is told of an address.
type Memory struct {
	Address  string
	State    State
	Doubt    Doubt
	Failures int
	Failed   int64 // when it last did, 0 for never
	Reset    int64 // when it last reset a request
	Lost     int   // messages that must not run twice which it has reset
	Rest     int64 // until when it is left alone
	Good     int64 // since when, if it is
	Connect  int64 // mean connect time, 0 where none is known
	Spread   int64 // its mean deviation
}

func (b *belief) memory() Memory {
	return Memory{b.String(), b.state, b.doubt, b.failures, b.failed, b.reset, b.lost, b.rest, b.good, b.mean, b.spread}
}

// Changes returns the addresses of which something else is believed than when it was last asked.
func (s *Set) Changes() (m []Memory) {
	for _, b := range s.list {
		if now := (told{b.state, b.doubt}); now != b.told {
			b.told = now
			m = append(m, b.memory())
		}
	}
	return m
}

// Memory returns what is believed, in the order of preference.
func (s *Set) Memory() (m []Memory) {
	for _, b := range s.list {
		m = append(m, b.memory())
	}
	return m
}

// Inherit goes on with another process's memory of the addresses that are there. A rest of that process is bound by the
// limits here: its clock may have been another.
func (s *Set) Inherit(now int64, m []Memory) {
	for _, k := range m {
		a, err := Parse(k.Address)
		if err != nil || int(k.State) >= len(states) || k.Doubt > SevereDoubt {
			continue
		}
		if b := s.find(a); b != nil {
			b.state, b.doubt, b.failures = k.State, k.Doubt, min(max(k.Failures, 0), 64)
			b.failed, b.reset, b.good = min(k.Failed, now), min(k.Reset, now), min(k.Good, now)
			b.lost = min(max(k.Lost, 0), mostLost)
			b.rest = min(k.Rest, now+s.limits.MaxBackoff)
			b.mean, b.spread = max(k.Connect, 0), max(k.Spread, 0)
		}
	}
}
