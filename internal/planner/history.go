package planner

import (
	"math"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// minRunTimeSamples is how many ended runs a mean needs to be compared with declared run times.
	minRunTimeSamples = 3
	// newSampleWeight is the part of a new run time in the moving means.
	newSampleWeight = 0.15
	// trustedSamples is how many workloads must have ended before estimates are trusted.
	trustedSamples = 6
	// maxTrustedError is the logarithm of the factor, about 1.6, by which trusted estimates are off at most on average.
	maxTrustedError = 0.5
	// defaultRunTime is assumed for a task without a declared run time.
	defaultRunTime = 5 * time.Second
)

// runTimeStats learns how long the tasks of a queue run, and whether that or the callers' estimates come closer.
type runTimeStats struct {
	samples int
	mean    time.Duration
	// meanError and declaredError are moving means of the relative errors of both.
	meanError     float64
	declaredError float64
	// bias is the moving mean of the logarithm of true over declared run times. Gangs end with their slowest member,
	// so that they run longer than the estimate of one task.
	bias float64
}

func (h *runTimeStats) add(actual, declared time.Duration) {
	h.samples++
	weight := max(1/float64(h.samples), newSampleWeight)
	if h.samples > 1 {
		h.meanError += weight * (relativeError(h.mean, actual) - h.meanError)
	}
	if declared <= 0 {
		declared = defaultRunTime
	}
	h.declaredError += weight * (relativeError(h.corrected(declared), actual) - h.declaredError)
	h.bias += weight * (math.Log(float64(max(actual, time.Millisecond))/float64(declared)) - h.bias)
	h.mean += time.Duration(weight * float64(actual-h.mean))
}

// corrected returns a declared run time without the callers' usual error.
func (h *runTimeStats) corrected(declared time.Duration) time.Duration {
	return time.Duration(float64(declared) * math.Exp(h.bias))
}

// trusted reports whether the expected run times of the queue are good enough to tell a slow worker by them.
func (h *runTimeStats) trusted() bool {
	return h != nil && h.samples >= trustedSamples && min(h.meanError, h.declaredError) < maxTrustedError
}

// relativeError is symmetric, so that estimates that are far too short count as much as those far too long.
func relativeError(estimate, actual time.Duration) float64 {
	return math.Abs(math.Log(float64(max(estimate, time.Millisecond)) / float64(max(actual, time.Millisecond))))
}

// learnRunTime takes the run time of a task that ended well. Only the first task of a step counts: all of them share one
// estimate, so that a wide step would make any estimate look good.
func (c *Core) learnRunTime(j *job, s int, d time.Duration) {
	if j.learnedSteps[s] {
		return
	}
	if j.learnedSteps == nil {
		j.learnedSteps = map[int]bool{}
	}
	j.learnedSteps[s] = true
	q := j.record.Workload.Queue
	h := c.runTimes[q]
	if h == nil {
		h = &runTimeStats{}
		c.runTimes[q] = h
	}
	h.add(d, j.step(s).RunTime)
}

// expectedRunTime returns the run time to expect for a task of step s: what its tasks show, or else the estimate.
func (c *Core) expectedRunTime(j *job, s int) time.Duration {
	if d := j.stepRunTimes[s].medianOverall(); d > 0 {
		return d
	}
	return c.estimateRunTime(j, s)
}

// estimateRunTime returns the run time by the caller's declaration and by what ended before in the same queue.
func (c *Core) estimateRunTime(j *job, s int) time.Duration {
	declared := j.step(s).RunTime
	if declared <= 0 {
		declared = defaultRunTime
	}
	h := c.runTimes[j.record.Workload.Queue]
	if h == nil || h.samples < minRunTimeSamples {
		return declared
	}
	if h.meanError < h.declaredError {
		return h.mean
	}
	return h.corrected(declared)
}

// remainingRunTime estimates how long a run still takes. Its percent was seen some time ago, and the run went on since.
func (c *Core) remainingRunTime(r *attempt, now time.Time) time.Duration {
	elapsed := now.Sub(r.started)
	if r.confirmed && r.percent > 3 {
		if worked := c.workedTime(r, r.lastProgress); worked > 0 {
			return max(0, worked*100/time.Duration(r.percent)-c.workedTime(r, r.firstListed+descriptor.WorkerClock(elapsed.Milliseconds())))
		}
	}
	return max(0, c.expectedRunTime(r.job, r.id.Task.Step)-elapsed)
}
