package policy

import (
	"math"
	"time"
)

const (
	// maxQuotaPerSecond bounds a quota, in requests a second, so that no arithmetic on it overflows.
	maxQuotaPerSecond = 1e9

	// quotaBurstDeviations is how many standard deviations of a second's arrivals a bucket holds beside the
	// second's worth: a tenant within its quota must not look beyond it by chance.
	quotaBurstDeviations = 3
)

// tokenBucket is this router's part of a tenant's quota. A request whose first attempt is sent takes a token.
type tokenBucket struct {
	tokens          float64
	refillPerSecond float64
	refilledAt      time.Duration
}

// newTokenBucket returns the bucket of a router that shares the tenant's quota with the others evenly.
func newTokenBucket(tenant Tenant, routers int) tokenBucket {
	rate := clamp(tenant.QuotaPerSecond, 0, maxQuotaPerSecond) / float64(routers)
	return tokenBucket{tokens: rate + 1, refillPerSecond: rate}
}

// refill adds the tokens of the time since the last refill, up to a second's worth, some for chance, and a
// whole one, so that a quota of less than one a second can be used at all.
func (b *tokenBucket) refill(now time.Duration) {
	capacity := b.refillPerSecond + quotaBurstDeviations*math.Sqrt(b.refillPerSecond) + 1
	b.tokens = min(b.tokens+b.refillPerSecond*(now-b.refilledAt).Seconds(), capacity)
	b.refilledAt = now
}

// assignQuota gives a new request the quota of its tenant, refilled to now, and records whether the request
// is beyond it.
func (p *Policy) assignQuota(r *request) {
	tenant := r.arrived.Tenant
	if tenant < 0 || tenant >= len(p.quotas) {
		return
	}
	r.quota = &p.quotas[tenant]
	r.quota.refill(p.now)
	r.overQuota = r.quota.tokens < 1
}

// chargeQuota takes a token for r's first attempt, if r was within its quota on arrival. It is not taken on
// arrival: a refused request that comes back is the same one, and would pay twice. Requests that arrive
// before others are charged may take the tokens below 0.
func chargeQuota(r *request) {
	firstAttempt := len(r.attempts) == 0
	if firstAttempt && r.quota != nil && !r.overQuota {
		r.quota.tokens--
	}
}
