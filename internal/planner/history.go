package planner

import (
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// minSamples is how many ended runs make the mean of a queue better than a declared run time that is off by up
	// to 90 %.
	minSamples = 3
	// historyWeight is the part of a new run time in the moving mean.
	historyWeight = 0.2
	// fallbackRunTime is assumed for a task without a declared run time.
	fallbackRunTime = 5 * time.Second
)

// runTimes is a moving mean of run times.
type runTimes struct {
	samples int
	mean    time.Duration
}

func (h *runTimes) add(d time.Duration) {
	h.samples++
	if h.samples <= minSamples {
		h.mean += (d - h.mean) / time.Duration(h.samples)
		return
	}
	h.mean += time.Duration(historyWeight * float64(d-h.mean))
}

// learn takes the run time of a task that ended well.
func (c *Core) learn(q descriptor.QueueID, d time.Duration) {
	h := c.history[q]
	if h == nil {
		h = &runTimes{}
		c.history[q] = h
	}
	h.add(d)
}

// expected returns the run time to expect for a task of step s.
func (c *Core) expected(j *job, s int) time.Duration {
	if h := c.history[j.record.Workload.Queue]; h != nil && h.samples >= minSamples {
		return h.mean
	}
	if d := j.step(s).RunTime; d > 0 {
		return d
	}
	return fallbackRunTime
}

// remaining estimates how long a run still takes, from its percent when that says something.
func (c *Core) remaining(r *run, now time.Time) time.Duration {
	elapsed := now.Sub(r.started)
	if r.seen && r.percent > 3 {
		return max(0, elapsed*time.Duration(100-r.percent)/time.Duration(r.percent))
	}
	return max(0, c.expected(r.job, r.id.Task.Step)-elapsed)
}
