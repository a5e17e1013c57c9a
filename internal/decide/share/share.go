// Package share decides which messages (client requests) lie within their tenant's share of the service. It does no
// I/O and reads no clock; times are in microseconds.
//
// Every dispatcher counts for itself with one token bucket for each tenant: it allows a tenant the fraction of its
// quota that corresponds to the dispatcher's fraction of all traffic. A dispatcher does not know how unevenly traffic
// is spread. Of hundreds some see several times the mean, or the traffic of many others that have failed. Until a
// dispatcher has seen a number of messages that grows with the number of dispatchers, it takes all messages to lie
// within their shares.
package share

const (
	// burst is the size of a token bucket, in messages. By random variation alone, about one in burst messages
	// of a tenant that keeps to its share lies beyond it.
	burst = 10
	// minSeenPerDispatcher, times the number of dispatchers, is how many messages a dispatcher must have seen.
	minSeenPerDispatcher = 25
	// averagingTime is the time constant, in microseconds, of the moving average of the dispatcher's traffic.
	averagingTime = 30e6
)

// Shares counts the messages of each tenant at one dispatcher.
type Shares struct {
	Quotas   []float64 // messages per second of each tenant at all dispatchers together; 0 for no limit
	Fraction float64   // fraction of the quotas that one dispatcher has if traffic is even

	tokens    []float64 // messages that still lie within the share, by tenant
	updatedAt int64     // time of the last update
	rate      float64   // recent messages per second here, of all tenants
	seen      float64   // messages counted so far
}

// IsWithin counts a message of a tenant, given by its index, that arrived at now. It reports whether the message lies
// within the tenant's share. All messages of an unknown tenant, or of one without a limit, do.
func (s *Shares) IsWithin(now int64, tenant int) bool {
	total := 0.0
	for _, q := range s.Quotas {
		total += max(q, 0)
	}
	if tenant < 0 || tenant >= len(s.Quotas) || s.Quotas[tenant] <= 0 {
		return true
	}
	elapsed := float64(max(now-s.updatedAt, 0))
	if s.updatedAt == 0 {
		elapsed, s.rate = 0, total*s.Fraction
	}
	s.updatedAt = max(s.updatedAt, now)
	s.rate += (1e6 - s.rate*min(elapsed, averagingTime)) / averagingTime
	// Traffic is uneven: a dispatcher that sees more of it has more of every share.
	fraction := max(s.Fraction, s.rate/total)
	for i, q := range s.Quotas {
		if i == len(s.tokens) {
			s.tokens = append(s.tokens, burst)
		}
		s.tokens[i] = min(s.tokens[i]+max(q, 0)*fraction*elapsed/1e6, burst)
	}
	if s.seen++; s.tokens[tenant] >= 1 {
		s.tokens[tenant]--
		return true
	}
	return s.seen*s.Fraction < minSeenPerDispatcher
}
