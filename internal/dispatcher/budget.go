package dispatcher

import "time"

const (
	// retryShare of the requests may be retries.
	retryShare = 0.1
	// retryMinimum per second lets a service with few requests retry at all.
	retryMinimum = 0.5
	// retryBurst bounds what is saved up, so that an outage is not met with a wave of retries.
	retryBurst = 10.0
)

// budget is a token bucket for retries. It starts full.
type budget struct {
	spent float64
	at    time.Time
}

func (b *budget) refill(amount float64) { b.spent = max(0, b.spent-amount) }

func (b *budget) advance(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.refill(now.Sub(b.at).Seconds() * retryMinimum)
	}
	if now.After(b.at) {
		b.at = now
	}
}

// deposit counts one request that is not a retry.
func (b *budget) deposit(now time.Time) {
	b.advance(now)
	b.refill(retryShare)
}

func (b *budget) spend(now time.Time) bool {
	b.advance(now)
	if b.spent+1 > retryBurst {
		return false
	}
	b.spent++
	return true
}
