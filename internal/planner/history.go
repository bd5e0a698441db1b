package planner

import (
	"math"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// minRunTimeSamples is the number of samples from which the statistics of a queue correct or replace declared run
	// times.
	minRunTimeSamples = 3
	// newSampleWeight is the least weight of a new sample in the moving means of run times and their errors. The mean
	// work of a queue uses a quarter of it.
	newSampleWeight = 0.15
	// trustedSamples is the number of samples from which the expected run times of a queue may be trusted.
	trustedSamples = 6
	// maxTrustedError is the value that the smaller of errorOfMean and errorOfDeclared must stay below for run times to
	// be trusted. It is the logarithm of a factor of about 1.6.
	maxTrustedError = 0.5
	// defaultRunTime is assumed for a task without a declared run time.
	defaultRunTime = 5 * time.Second
)

// runTimeStats holds statistics of the run times of a queue's tasks, and the errors of two predictions of the next run
// time: the mean of the earlier ones, and the declared run time corrected by bias.
type runTimeStats struct {
	sampleCount int
	mean        time.Duration
	// errorOfMean and errorOfDeclared are the moving means of absLogRatio for the prediction by the mean and for that
	// by the corrected declared run time.
	errorOfMean     float64
	errorOfDeclared float64
	// bias is the moving mean of the logarithm of actual over declared run times. It corrects the estimates for gangs,
	// for example, which end with their slowest member and so take longer than the estimate for one task.
	bias float64
}

// add records the actual and declared run times of a completed task. A declared run time of 0 counts as defaultRunTime.
func (s *runTimeStats) add(actual, declared time.Duration) {
	s.sampleCount++
	weight := max(1/float64(s.sampleCount), newSampleWeight)
	if s.sampleCount > 1 {
		s.errorOfMean += weight * (absLogRatio(s.mean, actual) - s.errorOfMean)
	}
	if declared <= 0 {
		declared = defaultRunTime
	}
	s.errorOfDeclared += weight * (absLogRatio(s.corrected(declared), actual) - s.errorOfDeclared)
	s.bias += weight * (math.Log(float64(max(actual, time.Millisecond))/float64(declared)) - s.bias)
	s.mean += time.Duration(weight * float64(actual-s.mean))
}

// corrected returns a declared run time adjusted by the queue's bias.
func (s *runTimeStats) corrected(declared time.Duration) time.Duration {
	return time.Duration(float64(declared) * math.Exp(s.bias))
}

// trusted reports whether the expected run times of the queue are accurate enough to detect a slow worker. It is false
// for a nil s.
func (s *runTimeStats) trusted() bool {
	return s != nil && s.sampleCount >= trustedSamples && min(s.errorOfMean, s.errorOfDeclared) < maxTrustedError
}

// absLogRatio returns the absolute logarithm of estimate over actual. An estimate that is too short by some factor
// counts as much as one that is too long by the same factor.
func absLogRatio(estimate, actual time.Duration) float64 {
	return math.Abs(math.Log(float64(max(estimate, time.Millisecond)) / float64(max(actual, time.Millisecond))))
}

// addRunTimeSample adds the run time of a successful task to the statistics of its queue. Only the first task of a step
// counts: all tasks of a step share one estimate, so a wide step would let any estimate appear accurate.
func (c *Core) addRunTimeSample(j *job, s int, d time.Duration) {
	if j.sampledSteps[s] {
		return
	}
	if j.sampledSteps == nil {
		j.sampledSteps = map[int]bool{}
	}
	j.sampledSteps[s] = true
	q := j.record.Workload.Queue
	stats := c.runTimes[q]
	if stats == nil {
		stats = &runTimeStats{}
		c.runTimes[q] = stats
	}
	stats.add(d, j.step(s).RunTime)
}

// expectedRunTime returns the expected run time of a task of step s: the one observed on the step's tasks, or else the
// estimate.
func (c *Core) expectedRunTime(j *job, s int) time.Duration {
	if c.TrueRunTime != nil {
		return c.TrueRunTime(j.id(), s)
	}
	if d := j.stepRunTimes[s].medianOverall(); d > 0 {
		return d
	}
	return c.estimateRunTime(j, s)
}

// estimateRunTime returns the mean expectation for a task of step s. Without Expectations it is the declared run time, or
// defaultRunTime if none is declared, while the queue has fewer than minRunTimeSamples. After that it is the mean of the
// queue or the corrected declared run time, whichever has been more accurate.
func (c *Core) estimateRunTime(j *job, s int) time.Duration {
	if c.TrueRunTime != nil {
		return c.TrueRunTime(j.id(), s)
	}
	if c.Expectations != nil {
		return c.meanExpectation(j, s)
	}
	declared := j.step(s).RunTime
	if declared <= 0 {
		declared = defaultRunTime
	}
	stats := c.runTimes[j.record.Workload.Queue]
	if stats == nil || stats.sampleCount < minRunTimeSamples {
		return declared
	}
	if stats.errorOfMean < stats.errorOfDeclared {
		return stats.mean
	}
	return stats.corrected(declared)
}

// remainingRunTime estimates how much longer an attempt runs: from its progress if that exceeds 3 percent, or else from
// the expected run time. It assumes that the attempt has worked on since its last reported progress. It is never
// negative.
func (c *Core) remainingRunTime(r *attempt, now time.Time) time.Duration {
	elapsed := now.Sub(r.started)
	if r.confirmed && r.percent > 3 {
		if worked := c.workedTime(r, r.lastProgress); worked > 0 {
			return max(0, worked*100/time.Duration(r.percent)-c.workedTime(r, r.firstListed+descriptor.WorkerClock(elapsed.Milliseconds())))
		}
	}
	if c.Expectations != nil {
		return c.expectedRest(r, now)
	}
	return max(0, c.expectedRunTime(r.job, r.id.Task.Step)-elapsed)
}
