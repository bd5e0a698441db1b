package dispatcher

import "time"

const (
	// retryRatio is the allowed ratio of retries to other requests.
	retryRatio = 0.1
	// retriesPerSecond is the rate of retries allowed in addition, so that a router with few requests can retry at all.
	retriesPerSecond = 0.5
	// retryBurst is the capacity of the budget. It limits the burst of retries at the beginning of an outage.
	retryBurst = 10.0
)

// retryBudget is a token bucket for retries. The zero value is a full bucket.
type retryBudget struct {
	// spent is the number of tokens missing from the full bucket, which contains retryBurst of them.
	spent     float64
	updatedAt time.Time
}

// refill adds tokens to the bucket, which overflows at retryBurst.
func (b *retryBudget) refill(tokens float64) { b.spent = max(0, b.spent-tokens) }

// refillUntil refills the bucket for the time from updatedAt until now.
func (b *retryBudget) refillUntil(now time.Time) {
	if !b.updatedAt.IsZero() && now.After(b.updatedAt) {
		b.refill(now.Sub(b.updatedAt).Seconds() * retriesPerSecond)
	}
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}

// deposit refills the bucket for one request that is not a retry.
func (b *retryBudget) deposit(now time.Time) {
	b.refillUntil(now)
	b.refill(retryRatio)
}

// spend takes one token. It returns false and takes nothing if less than a whole token is left.
func (b *retryBudget) spend(now time.Time) bool {
	b.refillUntil(now)
	if b.spent+1 > retryBurst {
		return false
	}
	b.spent++
	return true
}
