package planner

import (
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// priorityValueRatio is how many times more a core-second is worth than one of the next less urgent priority. Long
	// work takes five times as long as urgent work and has three quarters of its value. Urgent work that is late keeps
	// a fifth of its value.
	priorityValueRatio = 4
	// fixedValue is the part of a workload's value to users that does not depend on its work. It, workValue and
	// maxValue are relative to the value of a workload with the mean work of its queue.
	fixedValue = 0.3
	// workValue is the part that is proportional to the work, for a workload with the mean work of its queue.
	workValue = 0.7
	// maxValue bounds the sum of the two parts.
	maxValue = 4
	// lateValueFactor is the factor on the value of an occurrence that is expected to end after its objective. For one
	// that is tooLate the factor is the third power of it.
	lateValueFactor = 0.25
	// tooLateFactor is the multiple of the period from the release time to the objective after which an occurrence is
	// tooLate. It is counted from the release time.
	tooLateFactor = 3
)

// work returns the core-seconds of occurrence k: those of all tasks, and those of the tasks that are not done.
func (c *Core) work(j *job, k int) (total, left float64) {
	for s := range j.record.Workload.Steps {
		step := j.step(s)
		perTask := step.Size.CoreSeconds(c.expectedRunTime(j, s))
		total += perTask * float64(step.Count)
		left += perTask * float64(step.Count-j.doneTasks(k, s))
	}
	return total, left
}

// doneTasks returns the number of tasks of a step that are done. It returns 0 when the whole occurrence is done, because
// its tasks are no longer stored then.
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

// meanWork is the moving mean of the core-seconds of a queue's workloads.
type meanWork struct {
	sampleCount int
	mean        float64
}

func (m *meanWork) add(work float64) {
	m.sampleCount++
	m.mean += (work - m.mean) * max(1/float64(m.sampleCount), newSampleWeight/4)
}

// lateness says when an occurrence would end if its remaining steps started now, relative to its objective.
type lateness int

const (
	// inTime means no later than the objective.
	inTime lateness = iota
	// late means after the objective, but not tooLate.
	late
	// tooLate means so late that little of the value is left.
	tooLate
)

// expectedLateness compares the end of occurrence k, if its remaining steps started now, with its objective.
func (c *Core) expectedLateness(j *job, k int, now time.Time) lateness {
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

// remainingCriticalPath returns the criticalPath of the steps of occurrence k that are not done.
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

// valueDensity returns the value of occurrence k per core-second that is still to do, or 0 when nothing is. It is 1 for
// an occurrence with the mean work of its queue that has priority 0, is in time and has no task done.
func (c *Core) valueDensity(j *job, k int, now time.Time) float64 {
	total, left := c.work(j, k)
	if left <= 0 {
		return 0
	}
	mean := total
	if m := c.workMeans[j.record.Workload.Queue]; m != nil && m.sampleCount > 0 {
		mean = m.mean
	}
	value := min(fixedValue+workValue*total/mean, maxValue) * mean
	for range j.record.Workload.Priority {
		value /= priorityValueRatio
	}
	switch c.expectedLateness(j, k, now) {
	case late:
		value *= lateValueFactor
	case tooLate:
		value *= lateValueFactor * lateValueFactor * lateValueFactor
	}
	return value / left
}

// releaseTime returns the time from which the objective of occurrence k is counted: when it is due, or else when the
// workload arrived.
func (j *job) releaseTime(k int) time.Time {
	if due := j.record.Workload.Due(k); !due.IsZero() {
		return due
	}
	return j.arrived
}

// addWorkSample adds a new workload to the mean work of its queue.
func (c *Core) addWorkSample(j *job) {
	total, _ := c.work(j, 0)
	m := c.workMeans[j.record.Workload.Queue]
	if m == nil {
		m = &meanWork{}
		c.workMeans[j.record.Workload.Queue] = m
	}
	m.add(total)
}

// peakAccelerators returns the most accelerators that a workload uses at one time, taken as those of its largest step.
func peakAccelerators(j *job) descriptor.Accelerators {
	var most descriptor.Accelerators
	for i := range j.record.Workload.Steps {
		step := j.step(i)
		most = max(most, descriptor.Accelerators(step.Count)*step.Size.Accelerators)
	}
	return most
}
