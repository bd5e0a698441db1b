package dispatcher

import "time"

const (
	// retryShare is the allowed ratio of retries to other requests.
	retryShare = 0.1
	// retriesPerSecond is refilled regardless of the requests, so that a service with few requests can retry at all.
	retriesPerSecond = 0.5
	// retryBurst limits the unused budget, so that an outage does not cause a burst of retries.
	retryBurst = 10.0
)

// retryBudget is a token bucket for retries. It starts full.
type retryBudget struct {
	// spent is the number of tokens missing from the full bucket of retryBurst.
	spent     float64
	updatedAt time.Time
}

// refill returns amount to the bucket.
func (b *retryBudget) refill(amount float64) { b.spent = max(0, b.spent-amount) }

// refillUntil refills the bucket for the time until now.
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
	b.refill(retryShare)
}

// spend takes one token and reports whether there was one.
func (b *retryBudget) spend(now time.Time) bool {
	b.refillUntil(now)
	if b.spent+1 > retryBurst {
		return false
	}
	b.spent++
	return true
}
