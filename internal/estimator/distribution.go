package estimator

import "time"

// estimate is a curve with its mean.
type estimate struct {
	curve curve
	mean  float64
}

func newEstimate(c *curve) *estimate {
	mean, _ := c.meanAbove(0)
	return &estimate{curve: *c, mean: mean}
}

// Distribution is the expected distribution of a run time. That of an Estimator does not change with later samples. The
// zero value is a run time of 0.
type Distribution struct {
	*estimate
	// scale is the factor between the times of the curve and those of the distribution.
	scale float64
}

// leastChance is the chance of a longer run below which the distribution says nothing about the rest of a run.
const leastChance = 1e-4

// longest bounds all results, so that sums of them do not overflow.
const longest = 365 * 24 * time.Hour

// durationOf returns a number of nanoseconds as a duration from 0 to longest.
func durationOf(nanoseconds float64) time.Duration {
	return time.Duration(min(max(nanoseconds, 0), float64(longest)))
}

// Mean returns the expected run time.
func (d Distribution) Mean() time.Duration {
	if d.estimate == nil {
		return 0
	}
	return durationOf(d.scale * d.mean)
}

// Quantile returns the time within which a run ends with chance p.
func (d Distribution) Quantile(p float64) time.Duration {
	if d.estimate == nil {
		return 0
	}
	return durationOf(d.scale * d.curve.quantile(p))
}

// Remaining returns the time within which a run that has gone on for elapsed ends with chance p.
func (d Distribution) Remaining(p float64, elapsed time.Duration) time.Duration {
	if d.estimate == nil {
		return 0
	}
	ended := d.curve.below(float64(elapsed) / d.scale)
	if 1-ended < leastChance {
		return time.Duration(p * float64(elapsed))
	}
	return max(0, d.Quantile(ended+p*(1-ended))-elapsed)
}

// MeanRemaining returns the expected rest of a run that has gone on for elapsed. A run that is longer than any expected
// one is expected to take half as long again.
func (d Distribution) MeanRemaining(elapsed time.Duration) time.Duration {
	if d.estimate == nil {
		return 0
	}
	mean, chance := d.curve.meanAbove(float64(elapsed) / d.scale)
	if chance < leastChance {
		return elapsed / 2
	}
	return max(0, durationOf(d.scale*mean)-elapsed)
}

// ChanceWithin returns the chance that a run that has gone on for elapsed ends within limit.
func (d Distribution) ChanceWithin(elapsed, limit time.Duration) float64 {
	if d.estimate == nil {
		return 1
	}
	ended := d.curve.below(float64(elapsed) / d.scale)
	if 1-ended < leastChance {
		return min(1, float64(limit)/max(float64(elapsed), 1))
	}
	return (d.curve.below((float64(elapsed)+float64(limit))/d.scale) - ended) / (1 - ended)
}
