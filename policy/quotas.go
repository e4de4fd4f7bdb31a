package policy

import (
	"math"
	"time"
)

const (
	// maxQuotaPerSecond bounds a quota, in requests per second, so that no arithmetic on it overflows.
	maxQuotaPerSecond = 1e9

	// quotaBurstDeviations is the number of standard deviations of a second's arrivals that a bucket holds in
	// addition to a second's tokens, so that requests of a tenant that keeps to its quota do not count as
	// beyond the quota because of random variation.
	quotaBurstDeviations = 3
)

// tokenBucket is this router's part of a tenant's quota. The first attempt of a request takes one token.
type tokenBucket struct {
	tokens          float64
	refillPerSecond float64
	refilledAt      time.Duration
}

// newTokenBucket returns the bucket of one of several routers that divide the tenant's quota evenly.
func newTokenBucket(tenant Tenant, routers int) tokenBucket {
	rate := clamp(tenant.QuotaPerSecond, 0, maxQuotaPerSecond) / float64(routers)
	return tokenBucket{tokens: rate + 1, refillPerSecond: rate}
}

// refill adds the tokens for the time since the last refill. The bucket holds a second's tokens, an allowance
// for random variation, and one more token, so that a quota of less than one request per second can be used.
func (b *tokenBucket) refill(now time.Duration) {
	capacity := b.refillPerSecond + quotaBurstDeviations*math.Sqrt(b.refillPerSecond) + 1
	b.tokens = min(b.tokens+b.refillPerSecond*(now-b.refilledAt).Seconds(), capacity)
	b.refilledAt = now
}

// assignQuota links a new request to the quota of its tenant, refills the quota to now, and records whether
// the request is beyond the quota. A request of an unknown tenant has no quota.
func (p *Policy) assignQuota(r *request) {
	tenant := r.arrived.Tenant
	if tenant < 0 || tenant >= len(p.quotas) {
		return
	}
	r.quota = &p.quotas[tenant]
	r.quota.refill(p.now)
	r.overQuota = r.quota.tokens < 1
}

// chargeQuota takes a token for r's first attempt, if r was within its tenant's quota on arrival. The token
// is not taken on arrival, because a refused request that the client sends again is the same request and
// would be charged twice. If several requests arrive before the first of them is charged, the tokens may fall
// below 0.
func chargeQuota(r *request) {
	firstAttempt := len(r.attempts) == 0
	if firstAttempt && r.quota != nil && !r.overQuota {
		r.quota.tokens--
	}
}
