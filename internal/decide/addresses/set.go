package addresses

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Limits are the settings of the address selection; all times are in microseconds.
type Limits struct {
	// The attempt delay is how long a connect attempt may be pending before the next one starts beside it. It follows
	// the measured connect times between MinDelay and MaxDelay; InitialDelay applies while there are none. RFC 8305,
	// section 5, requires at least 10 ms.
	MinDelay, InitialDelay, MaxDelay int64
	// A failed address stays in backoff for a random time between half of MinBackoff and MinBackoff; each further
	// consecutive failure doubles the range, up to MaxBackoff.
	MinBackoff, MaxBackoff int64
	// Failures are consecutive unless the address was good for CalmPeriod between them.
	CalmPeriod int64
	// CanProbe says that an address may be tested by a request for the host's load.
	CanProbe bool
}

// Defaults are limits for hosts that are at most a few milliseconds away.
var Defaults = Limits{MinDelay: 30e3, InitialDelay: 50e3, MaxDelay: 100e3, MinBackoff: 500e3, MaxBackoff: 10e6,
	CalmPeriod: 30e6}

// Check returns an error that names the first setting that is out of its bounds, and its value.
func (l Limits) Check() error {
	for _, limit := range []struct {
		name                   string
		value, lowest, highest int64
	}{
		{"delay_least", l.MinDelay, 10e3, 2e6}, {"delay_most", l.MaxDelay, l.MinDelay, 2e6},
		{"delay_first", l.InitialDelay, l.MinDelay, l.MaxDelay}, {"rest_least", l.MinBackoff, 10e3, 60e6},
		{"rest_most", l.MaxBackoff, l.MinBackoff, 600e6}, {"calm", l.CalmPeriod, 0, 3600e6},
	} {
		if limit.value < limit.lowest || limit.value > limit.highest {
			return fmt.Errorf("%s is %d, not within %d to %d microseconds", limit.name, limit.value, limit.lowest,
				limit.highest)
		}
	}
	return nil
}

// State is the state of an address. Its values are part of the handover format.
type State uint8

// The states.
const (
	Untried   State = iota
	Good            // a connection came up, and nothing has failed since
	Refusing        // connections are refused, or end before anything is written
	Silent          // connections do not come up
	Resetting       // connections come up and end after a request was written
)

var states = [...]string{"untried", "good", "refusing", "silent", "resetting"}

func (s State) String() string { return states[s] }

var doubts = [...]string{"none", "mild", "severe"}

func (d Doubt) String() string { return doubts[d] }

// Doubt says, in addition to the state, whether an address is trusted with a request that must not run twice. Its
// values are part of the handover format.
type Doubt uint8

// The degrees of doubt.
const (
	NoDoubt     Doubt = iota
	MildDoubt         // it has failed; if another address is good, a repeatable request tests it first
	SevereDoubt       // it has reset a request; not trusted until a repeatable request was answered over it
)

// addressStatus holds the state, the doubt, the failures and the connect times of one address.
type addressStatus struct {
	Address
	state            State
	doubt            Doubt
	failures         int
	lastFailure      int64         // when it last failed
	lastReset        int64         // when it last reset a request
	onceResets       int           // requests that must not run twice and that it has reset
	backoffUntil     int64         // end of its backoff
	goodSince        int64         // when it became good
	inTrial          bool          // a test of it is in progress
	lateConnects     int           // pending connect attempts that have exceeded their attempt delay
	meanConnect      int64         // mean connect time, 0 if none is known
	connectDeviation int64         // mean deviation of the connect time
	reported         reportedState // what Changes has reported
}

// reportedState is the part of a status whose changes are reported.
type reportedState struct {
	state State
	doubt Doubt
}

// Set holds the status of each address of one host. It is not safe for concurrent use.
type Set struct {
	limits   Limits
	random   *rand.Rand
	statuses []*addressStatus // in the order of preference
}

// NewSet returns a set without addresses. The random source spreads the backoff of many dispatchers.
func NewSet(l Limits, random *rand.Rand) *Set { return &Set{limits: l, random: random} }

// SetLimits changes the settings. A backoff in progress stays as it is.
func (s *Set) SetLimits(l Limits) { s.limits = l }

// Update replaces the host's address list. Addresses that remain keep their status.
func (s *Set) Update(list []Address) {
	old := s.statuses
	s.statuses = nil
	for _, a := range Interleave(list[:min(len(list), MaxAddresses)]) {
		status := &addressStatus{Address: a}
		if i := slices.IndexFunc(old, func(status *addressStatus) bool { return status.Address == a }); i >= 0 {
			status = old[i]
		}
		s.statuses = append(s.statuses, status)
	}
}

// Has reports whether the host has this address now.
func (s *Set) Has(a Address) bool { return s.find(a) != nil }

func (s *Set) find(a Address) *addressStatus {
	for _, status := range s.statuses {
		if status.Address == a {
			return status
		}
	}
	return nil
}

// maxOnceResets is how many requests that must not run twice an address may reset before no further one is sent there.
// By then it has shown that successful tests, by a probe or by a repeatable request, do not protect such requests.
const maxOnceResets = 3

// isBarred reports whether the address must not be used for a request; once is set if the request must not run twice.
func (st *addressStatus) isBarred(once bool) bool {
	return once && (st.doubt == SevereDoubt || st.onceResets >= maxOnceResets)
}

// Ranks of addresses: a lower one is tried sooner.
const (
	rankGood    = 0
	rankUntried = 1
	rankDoubted = 2
	rankFailing = 3
	rankLate    = 4
	rankBackoff = 5
)

// rank returns the rank of the address for a request; once is set if the request must not run twice. The second result
// is false if the address must not be used for the request.
func (st *addressStatus) rank(now int64, once bool) (int, bool) {
	switch {
	case st.isBarred(once):
		return 0, false
	case st.backoffUntil > now:
		return rankBackoff, true
	case st.lateConnects > 0:
		return rankLate, true
	case st.state == Refusing || st.state == Silent:
		return rankFailing, true
	case st.doubt != NoDoubt:
		return rankDoubted, true
	case st.state == Good:
		return rankGood, true
	}
	return rankUntried, true
}

// ranked returns the addresses for a request in the order in which they are tried. Those in backoff come last, sorted
// by the end of their backoff. once is set if the request must not run twice; addresses that are barred for such
// requests are then left out.
func (s *Set) ranked(now int64, once bool) (list []*addressStatus) {
	for _, b := range s.statuses {
		if _, ok := b.rank(now, once); ok {
			list = append(list, b)
		}
	}
	slices.SortStableFunc(list, func(a, b *addressStatus) int {
		ra, _ := a.rank(now, once)
		rb, _ := b.rank(now, once)
		if ra == rb && ra == rankBackoff {
			return cmp.Compare(a.backoffUntil, b.backoffUntil)
		}
		return ra - rb
	})
	return list
}

// messageTrial returns the address that a repeatable request is to test: one that accepts connections but is in doubt,
// and that is preferred to all good ones. Only one request at a time tests an address, and none does if a probe can.
func (s *Set) messageTrial(now int64) *addressStatus {
	for _, status := range s.statuses {
		switch {
		case status.backoffUntil > now || status.inTrial || status.lateConnects > 0:
		case status.doubt != NoDoubt:
			if !s.limits.CanProbe && (status.state == Good || status.state == Resetting) {
				return status
			}
		case status.state == Good:
			return nil
		}
	}
	return nil
}

// TrialKind is the way in which an address is tested outside of requests.
type TrialKind uint8

// The kinds of trials.
const (
	NoTrial      TrialKind = iota
	ConnectTrial           // a connection to which nothing is written
	ProbeTrial             // a probe of the host, whose answer counts as one to a request
)

// NextTrial returns the address that is to be tested now, and how. It is called whenever there is a request to send,
// and TrialEnded must follow. An address is tested when its backoff is over and no request would test it: because a
// less preferred but good address gets the requests, or because it has reset a request.
func (s *Set) NextTrial(now int64) (Address, TrialKind) {
	for _, status := range s.statuses {
		if status.backoffUntil > now || status.inTrial || status.lateConnects > 0 {
			continue
		}
		if status.state == Good && status.doubt == NoDoubt {
			break
		}
		switch {
		case status.doubt == SevereDoubt && !s.limits.CanProbe: // a connection would show nothing
			continue
		case status.doubt != SevereDoubt && (status.state == Good || !s.hasGood(now)): // the next request will show
			continue
		}
		status.inTrial = true
		status.doubt = max(status.doubt, MildDoubt)
		if s.limits.CanProbe {
			return status.Address, ProbeTrial
		}
		return status.Address, ConnectTrial
	}
	return Address{}, NoTrial
}

func (s *Set) hasGood(now int64) bool {
	return slices.ContainsFunc(s.statuses, func(status *addressStatus) bool {
		return status.state == Good && status.doubt == NoDoubt && status.backoffUntil <= now && status.lateConnects == 0
	})
}

// TrialEnded records the outcome of a trial and when it started. NoFailure means that the connection came up now or
// that the probe was answered.
func (s *Set) TrialEnded(now int64, a Address, kind TrialKind, start int64, failure Failure) {
	status := s.find(a)
	if status == nil {
		return
	}
	status.inTrial = false
	switch {
	case failure != NoFailure:
		s.recordFailure(status, now, start, failure)
	case kind == ProbeTrial:
		s.Answered(now, a, start, false)
	default:
		status.connected(now, now-start)
	}
}

// Failure is the way in which the use of an address failed.
type Failure uint8

// The failures.
const (
	NoFailure         Failure = iota
	ConnectionRefused         // the connection was refused
	ConnectTimeout            // the connection did not come up in time
	ConnectionReset           // it came up and ended without an answer, whether or not a request was written
	Unrelated                 // not the fault of the address: no local resources, or the host no longer has it
)

// connected records that a connection came up, and its connect time.
func (st *addressStatus) connected(now, connectTime int64) {
	if st.state != Good {
		st.goodSince = now
	}
	if st.doubt == SevereDoubt {
		st.state = Resetting // a connection alone does not clear it
	} else {
		st.state, st.backoffUntil = Good, min(st.backoffUntil, now)
	}
	connectTime = max(connectTime, 1)
	if st.meanConnect == 0 {
		st.meanConnect, st.connectDeviation = connectTime, connectTime/2
		return
	}
	// The moving averages by which TCP estimates round-trip times (RFC 6298, section 2).
	st.connectDeviation += (max(connectTime-st.meanConnect, st.meanConnect-connectTime) - st.connectDeviation) / 4
	st.meanConnect += (connectTime - st.meanConnect) / 8
}

// recordFailure records the failure of a connection or request, and when that started. If it started before the last
// failure it adds no information: of many requests that fail for the same cause only the first counts.
func (s *Set) recordFailure(status *addressStatus, now, start int64, failure Failure) {
	if failure == Unrelated {
		return
	}
	wasStable := status.state == Good && now-status.goodSince >= s.limits.CalmPeriod
	if failure == ConnectionReset {
		status.lastReset = now
		status.doubt = SevereDoubt
	} else {
		status.doubt = max(status.doubt, MildDoubt)
	}
	if status.failures > 0 && start <= status.lastFailure {
		return
	}
	if wasStable {
		status.failures = 0
	}
	status.state = [...]State{ConnectionRefused: Refusing, ConnectTimeout: Silent, ConnectionReset: Resetting}[failure]
	backoff := min(s.limits.MinBackoff<<min(status.failures, 20), s.limits.MaxBackoff)
	status.failures++
	status.lastFailure = now
	status.backoffUntil = now + backoff/2 + s.random.Int64N(backoff/2+1)
}

// Answered records that a request was answered over the address, whatever the answer, and when the request started.
// Only the answer to a repeatable request or to a probe clears a severe doubt, because a request that must not run
// twice must not be the test.
func (s *Set) Answered(now int64, a Address, start int64, once bool) {
	status := s.find(a)
	if status == nil || start <= status.lastReset && status.doubt == SevereDoubt ||
		once && status.doubt == SevereDoubt {
		return
	}
	if status.state != Good {
		status.goodSince = now
	}
	status.state, status.doubt, status.backoffUntil, status.inTrial = Good, NoDoubt, 0, false
	if now-status.goodSince >= s.limits.CalmPeriod {
		status.failures = 0
	}
}

// RequestReset records that a connection ended without an answer after all or part of a request was written, and when
// the request started. once is set if the request must not run twice.
func (s *Set) RequestReset(now int64, a Address, start int64, once bool) {
	if status := s.find(a); status != nil {
		status.inTrial = false
		if once {
			status.onceResets++
		}
		s.recordFailure(status, now, start, ConnectionReset)
	}
}

// KeptConnectionClosed records that a kept connection ended without an answer after a request was written. That is weak
// evidence, as hosts close idle connections: other good addresses are preferred until this one has answered again.
func (s *Set) KeptConnectionClosed(a Address) {
	if status := s.find(a); status != nil {
		status.doubt = max(status.doubt, MildDoubt)
	}
}

// attemptDelay returns how long to wait for this address before the next connect attempt starts beside it: the usual
// connect time plus a margin for its deviation, and at most a share of the remaining time that leaves an equal one to
// each remaining address.
func (s *Set) attemptDelay(status *addressStatus, remainingTime int64, remainingAddresses int) int64 {
	delay := s.limits.InitialDelay
	if status.meanConnect > 0 {
		delay = status.meanConnect + 4*status.connectDeviation
	}
	delay = min(max(delay, s.limits.MinDelay), s.limits.MaxDelay)
	return min(delay, remainingTime/int64(remainingAddresses+1))
}

// Memory is the status of an address as handed over to a successor process and logged for operators. Its fields are
// part of the handover format, which matches them by name.
type Memory struct {
	Address  string
	State    State
	Doubt    Doubt
	Failures int
	Failed   int64 // when it last failed, 0 for never
	Reset    int64 // when it last reset a request
	Lost     int   // requests that must not run twice and that it has reset
	Rest     int64 // end of its backoff
	Good     int64 // since when it has been good, if it is
	Connect  int64 // mean connect time, 0 if none is known
	Spread   int64 // mean deviation of the connect time
}

func (st *addressStatus) memory() Memory {
	return Memory{st.String(), st.state, st.doubt, st.failures, st.lastFailure, st.lastReset, st.onceResets,
		st.backoffUntil, st.goodSince, st.meanConnect, st.connectDeviation}
}

// Changes returns the addresses whose state or doubt has changed since the last call.
func (s *Set) Changes() (memories []Memory) {
	for _, status := range s.statuses {
		if current := (reportedState{status.state, status.doubt}); current != status.reported {
			status.reported = current
			memories = append(memories, status.memory())
		}
	}
	return memories
}

// Memory returns the status of all addresses, in the order of preference.
func (s *Set) Memory() (memories []Memory) {
	for _, status := range s.statuses {
		memories = append(memories, status.memory())
	}
	return memories
}

// Inherit takes over a predecessor's memory of the addresses that the set has. A backoff is bounded by the limits here,
// because the predecessor's clock may have differed.
func (s *Set) Inherit(now int64, memories []Memory) {
	for _, memory := range memories {
		a, err := Parse(memory.Address)
		if err != nil || int(memory.State) >= len(states) || memory.Doubt > SevereDoubt {
			continue
		}
		if status := s.find(a); status != nil {
			status.state, status.doubt, status.failures = memory.State, memory.Doubt, min(max(memory.Failures, 0), 64)
			status.lastFailure, status.lastReset, status.goodSince = min(memory.Failed, now), min(memory.Reset, now),
				min(memory.Good, now)
			status.onceResets = min(max(memory.Lost, 0), maxOnceResets)
			status.backoffUntil = min(memory.Rest, now+s.limits.MaxBackoff)
			status.meanConnect, status.connectDeviation = max(memory.Connect, 0), max(memory.Spread, 0)
		}
	}
}
