package estimator

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling sets the resolution of the histograms: a bucket spans 12 percent.
	bucketsPerDoubling = 6
	// doublings is the range of the histograms, from minTime to about two days.
	doublings   = 24
	bucketCount = bucketsPerDoubling * doublings
	// minTime is the lower edge of the first bucket. Shorter times count in it, and longer ones than the range in the last.
	minTime = 10 * time.Millisecond
)

// bucketOf returns the bucket of a time.
func bucketOf(t float64) int {
	return min(max(int(position(t)), 0), bucketCount-1)
}

// position returns the place of a time on the logarithmic axis, on which bucket b spans b to b+1.
func position(t float64) float64 {
	return bucketsPerDoubling * math.Log2(max(t, 1)/float64(minTime))
}

// timeAt is the inverse of position.
func timeAt(position float64) float64 {
	return float64(minTime) * math.Exp2(position/bucketsPerDoubling)
}

// counts holds a weight for each bucket.
type counts [bucketCount]float32

func (c *counts) scale(factor float32) {
	for i := range c {
		c[i] *= factor
	}
}

// histogram holds decayed samples of one quantity. The zero value is empty.
type histogram struct {
	// ended holds the runs that ended in a bucket; censored those that lasted at least as long and were not seen to end.
	ended, censored counts
	// running holds the runs that still go, which the next call of Estimator.SetRunning replaces.
	running counts
}

// curve is a distribution over the buckets: the chance that the quantity is below the upper edge of each. It never
// decreases, and its last value is 1.
type curve [bucketCount]float64

// posterior returns the product-limit estimate (Kaplan-Meier) of the distribution. The prior counts as priorWeight ended
// samples, so it also shapes the part above the longest sample; freshness is the factor on the weight of the others.
func (h *histogram) posterior(prior *curve, freshness float64) *curve {
	var events, losses [bucketCount]float64
	atRisk := 0.0
	last := 0.0
	for b := range events {
		events[b] = freshness*float64(h.ended[b]) + priorWeight*(prior[b]-last)
		losses[b] = freshness*float64(h.censored[b]) + float64(h.running[b])
		atRisk += events[b] + losses[b]
		last = prior[b]
	}
	var c curve
	survival := 1.0
	for b := range events {
		// Censored runs leave at the middle of a bucket, so half of them are at risk in it.
		if exposed := atRisk - losses[b]/2; exposed > 0 {
			survival *= max(0, 1-events[b]/exposed)
		}
		atRisk -= events[b] + losses[b]
		c[b] = 1 - survival
	}
	c[bucketCount-1] = 1
	return &c
}

// logNormal returns the curve of a log-normal distribution with the given mean.
func logNormal(mean time.Duration, sigma float64) *curve {
	var c curve
	mu := math.Log(float64(mean)) - sigma*sigma/2
	for b := range c {
		c[b] = math.Erfc(-(math.Log(timeAt(float64(b+1)))-mu)/(sigma*math.Sqrt2)) / 2
	}
	c[bucketCount-1] = 1
	return &c
}

// below returns the chance that the quantity is below t. Within a bucket the chance grows evenly on the logarithmic axis.
func (c *curve) below(t float64) float64 {
	p := position(t)
	if p <= 0 {
		return 0
	}
	if p >= bucketCount {
		return 1
	}
	b := int(p)
	return c.before(b) + (p-float64(b))*(c[b]-c.before(b))
}

// before returns the chance that the quantity is below the lower edge of a bucket.
func (c *curve) before(b int) float64 {
	if b == 0 {
		return 0
	}
	return c[b-1]
}

// quantile returns the time below which the quantity is with chance p.
func (c *curve) quantile(p float64) float64 {
	low, high := 0, bucketCount-1
	for low < high {
		if middle := (low + high) / 2; c[middle] < p {
			low = middle + 1
		} else {
			high = middle
		}
	}
	share := 1.0
	if mass := c[low] - c.before(low); mass > 0 {
		share = min(max((p-c.before(low))/mass, 0), 1)
	}
	return timeAt(float64(low) + share)
}

// meanAbove returns the mean of the part of the distribution above t, and the chance of that part.
func (c *curve) meanAbove(t float64) (mean, chance float64) {
	from := min(max(position(t), 0), bucketCount)
	sum := 0.0
	for b := min(int(from), bucketCount-1); b < bucketCount; b++ {
		low := max(from, float64(b))
		mass := (c[b] - c.before(b)) * (float64(b+1) - low)
		sum += mass * timeAt((low+float64(b+1))/2)
		chance += mass
	}
	if chance <= 0 {
		return t, 0
	}
	return sum / chance, chance
}
