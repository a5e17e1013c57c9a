// Package share tells which messages of a tenant lie within its share of the service. It does no I/O and reads no
// clock; times are microseconds.
//
// Every dispatcher counts for itself: it allows a tenant the part of its quota that it sees of all traffic. Nothing
// tells how uneven that is, and of hundreds some see several times the mean, or the traffic of many that died. Until
// one has seen a number of messages that grows with the number of dispatchers, it holds all to lie within their shares.
package share

const (
	// depth is how many messages a tenant may have saved up: of chance alone, one in so many of one that keeps to its
	// share lies beyond it.
	depth = 10
	// proof is how many messages one must have seen for each dispatcher that there is.
	proof = 25
	// memory is the time, in microseconds, over which a dispatcher's own part of the traffic is taken.
	memory = 30e6
)

// Shares counts the messages of tenants at one dispatcher.
type Shares struct {
	Quotas   []float64 // messages a second of each tenant, at all dispatchers together; 0 for one that has no bound
	Fraction float64   // of them, that one dispatcher has if all have the same

	saved []float64 // messages that are still within the share, by tenant
	at    int64     // when that was
	rate  float64   // of all messages here, a second, of late
	seen  float64
}

// IsWithin counts a message of a tenant, by its index, that came at now. It tells whether it lies within the tenant's
// share: where there is no such tenant, or no bound, all do.
func (s *Shares) IsWithin(now int64, tenant int) bool {
	all := 0.0
	for _, q := range s.Quotas {
		all += max(q, 0)
	}
	if tenant < 0 || tenant >= len(s.Quotas) || s.Quotas[tenant] <= 0 {
		return true
	}
	past := float64(max(now-s.at, 0))
	if s.at == 0 {
		past, s.rate = 0, all*s.Fraction
	}
	s.at = max(s.at, now)
	s.rate += (1e6 - s.rate*min(past, memory)) / memory
	part := max(s.Fraction, s.rate/all) // traffic is uneven: who sees more of it sees more of every share
	for i, q := range s.Quotas {
		if i == len(s.saved) {
			s.saved = append(s.saved, depth)
		}
		s.saved[i] = min(s.saved[i]+max(q, 0)*part*past/1e6, depth)
	}
	if s.seen++; s.saved[tenant] >= 1 {
		s.saved[tenant]--
		return true
	}
	return s.seen*s.Fraction < proof
}
