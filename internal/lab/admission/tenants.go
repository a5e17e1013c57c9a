package admission

import (
	"fmt"
	"math/rand/v2"

	"topazfall"
)

// quotaShare is the sum of the quotas as a share of the true capacity.
const quotaShare = 0.83

// The bounds of the traffic of a tenant, as a share of its quota, before it is scaled to the load.
const (
	minUsage = 0.5
	maxUsage = 1.3
)

// The bounds of the error of a tenant's hints, as a coefficient of variation.
const (
	minHintError = 0.2
	maxHintError = 0.3
)

// minQuotaBurst is the minimum number of requests of one tenant that lie within its quota at once.
const minQuotaBurst = 10

// tenant is a party that sends requests.
type tenant struct {
	topazfall.Tenant
	rate      float64 // requests a second that it sends on average
	hintError float64
	tokens    float64 // requests that still lie within its quota
	updatedAt int64   // when tokens was updated
	burst     burst
}

// newTenants returns the tenants for a capacity and an offered rate, both in requests a second.
func newTenants(random *rand.Rand, capacity, rate float64) (tenants []*tenant) {
	sum := 0.0
	for i, share := range []float64{0.25, 0.25, 0.17, 0.16, 0.09, 0.08} {
		quota := quotaShare * capacity * share
		t := &tenant{Tenant: topazfall.Tenant{Name: fmt.Sprintf("tenant-%d", i), Share: share, Quota: quota}}
		t.rate = quota * uniform(random, minUsage, maxUsage)
		t.hintError = uniform(random, minHintError, maxHintError)
		t.tokens = max(minQuotaBurst, quota)
		sum += t.rate
		tenants = append(tenants, t)
	}
	for _, t := range tenants {
		t.rate *= rate / sum
	}
	return tenants
}

// isWithinQuota counts a request at the time now, and reports whether it lies within the quota over all dispatchers.
// No dispatcher can know this; it decides what the request is worth.
func (t *tenant) isWithinQuota(now int64) bool {
	if t.updatedAt > 0 {
		t.tokens += t.Quota * float64(now-t.updatedAt) / float64(second)
	}
	t.tokens = min(t.tokens, max(minQuotaBurst, t.Quota))
	t.updatedAt = now
	if t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}
