package planner

import (
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// priorityValueRatio is how much more a core-second of one priority is worth than one of the next: the users' urgent
	// work is short and late answers are worth a fifth, their long work is five times as long for three quarters.
	priorityValueRatio = 4
	// fixedValue and workWorth are the users' value of a workload: a fixed part, and one that grows with its work
	// against the mean of its queue, together at most maxWorth.
	fixedValue = 0.3
	workValue  = 0.7
	maxValue   = 4
	// lateValueFactor is what is left of the worth after the objective; it is nothing after hopeless objectives.
	lateValueFactor = 0.25
	tooLateFactor  = 3
)

// work returns the core-seconds of a workload's occurrence, and of the part that is not done.
func (c *Core) work(j *job, k int) (total, left float64) {
	for s := range j.record.Workload.Steps {
		step := j.step(s)
		perTask := step.Size.CoreSeconds(c.expectedRunTime(j, s))
		total += perTask * float64(step.Count)
		left += perTask * float64(step.Count-j.doneTasks(k, s))
	}
	return total, left
}

func (j *job) doneTasks(k, s int) int {
	o := j.occurrence(k)
	if o == nil || o.Steps == nil {
		return 0
	}
	n := 0
	for _, t := range o.Steps[s] {
		if t.State == TaskDone {
			n++
		}
	}
	return n
}

// meanWork is the moving mean of the work of a queue's workloads.
type meanWork struct {
	samples int
	mean    float64
}

func (m *meanWork) add(work float64) {
	m.samples++
	m.mean += (work - m.mean) * max(1/float64(m.samples), newSampleWeight/4)
}

// lateness says what an immediate start of an occurrence can still reach.
type lateness int

// Chances, the best first.
const (
	inTime lateness = iota
	late
	tooLate
)

func (c *Core) lateness(j *job, k int, now time.Time) lateness {
	objective := c.objective(j, k)
	ends := now.Add(c.remainingCriticalPath(j, k))
	if !ends.After(objective) {
		return inTime
	}
	releaseTime := j.releaseTime(k)
	if ends.After(releaseTime.Add(tooLateFactor * objective.Sub(releaseTime))) {
		return tooLate
	}
	return late
}

// remainingCriticalPath is the longest chain of work that is not done.
func (c *Core) remainingCriticalPath(j *job, k int) time.Duration {
	steps := j.record.Workload.Steps
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i := range steps {
		var begin time.Duration
		for _, a := range steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin
		if !j.stepDone(k, i) {
			ends[i] += c.expectedRunTime(j, i)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// valueDensity is the relative worth of an occurrence for each core-second that it still takes.
func (c *Core) valueDensity(j *job, k int, now time.Time) float64 {
	total, left := c.work(j, k)
	if left <= 0 {
		return 0
	}
	mean := total
	if m := c.workMeans[j.record.Workload.Queue]; m != nil && m.samples > 0 {
		mean = m.mean
	}
	value := min(fixedValue+workValue*total/mean, maxValue) * mean
	for range j.record.Workload.Priority {
		value /= priorityValueRatio
	}
	switch c.lateness(j, k, now) {
	case late:
		value *= lateValueFactor
	case tooLate:
		value *= lateValueFactor * lateValueFactor * lateValueFactor
	}
	return value / left
}

// releaseTime returns when the time of occurrence k begins to count.
func (j *job) releaseTime(k int) time.Time {
	if due := j.record.Workload.Due(k); !due.IsZero() {
		return due
	}
	return j.arrived
}

// addWorkSample takes a new workload into the mean of its queue.
func (c *Core) addWorkSample(j *job) {
	total, _ := c.work(j, 0)
	m := c.workMeans[j.record.Workload.Queue]
	if m == nil {
		m = &meanWork{}
		c.workMeans[j.record.Workload.Queue] = m
	}
	m.add(total)
}

// peakAccelerators is the most that a workload needs at one time, taken as its largest step.
func peakAccelerators(j *job) descriptor.Accelerators {
	var most descriptor.Accelerators
	for i := range j.record.Workload.Steps {
		s := j.step(i)
		most = max(most, descriptor.Accelerators(s.Count)*s.Size.Accelerators)
	}
	return most
}
