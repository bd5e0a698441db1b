package planner

import (
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// priorityWorth is how much more a core-second of one priority is worth than one of the next: the users' urgent
	// work is short and late answers are worth a fifth, their long work is five times as long for three quarters.
	priorityWorth = 4
	// fixedWorth and workWorth are the users' value of a workload: a fixed part, and one that grows with its work
	// against the mean of its queue, together at most maxWorth.
	fixedWorth = 0.3
	workWorth  = 0.7
	maxWorth   = 4
	// lateWorth is what is left of the worth after the objective; it is nothing after hopeless objectives.
	lateWorth = 0.25
	hopeless  = 3
)

// work returns the core-seconds of a workload's occurrence, and of the part that is not done.
func (c *Core) work(j *job, k int) (whole, left float64) {
	for s := range j.record.Workload.Steps {
		step := j.step(s)
		one := step.Size.CoreSeconds(c.expected(j, s))
		whole += one * float64(step.Count)
		left += one * float64(step.Count-j.doneTasks(k, s))
	}
	return whole, left
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
	m.mean += (work - m.mean) * max(1/float64(m.samples), historyWeight/4)
}

// chance says what an immediate start of an occurrence can still reach.
type chance int

// Chances, the best first.
const (
	inTime chance = iota
	late
	hopelessLate
)

func (c *Core) chance(j *job, k int, now time.Time) chance {
	objective := c.objective(j, k)
	ends := now.Add(c.chainLeft(j, k))
	if !ends.After(objective) {
		return inTime
	}
	from := j.from(k)
	if ends.After(from.Add(hopeless * objective.Sub(from))) {
		return hopelessLate
	}
	return late
}

// chainLeft is the longest chain of work that is not done.
func (c *Core) chainLeft(j *job, k int) time.Duration {
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
			ends[i] += c.expected(j, i)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// density is the relative worth of an occurrence for each core-second that it still takes.
func (c *Core) density(j *job, k int, now time.Time) float64 {
	whole, left := c.work(j, k)
	if left <= 0 {
		return 0
	}
	mean := whole
	if m := c.works[j.record.Workload.Queue]; m != nil && m.samples > 0 {
		mean = m.mean
	}
	worth := min(fixedWorth+workWorth*whole/mean, maxWorth) * mean
	for range j.record.Workload.Priority {
		worth /= priorityWorth
	}
	switch c.chance(j, k, now) {
	case late:
		worth *= lateWorth
	case hopelessLate:
		worth *= lateWorth * lateWorth * lateWorth
	}
	return worth / left
}

// from returns when the time of occurrence k begins to count.
func (j *job) from(k int) time.Time {
	if due := j.record.Workload.Due(k); !due.IsZero() {
		return due
	}
	return j.arrived
}

// countWork takes a new workload into the mean of its queue.
func (c *Core) countWork(j *job) {
	whole, _ := c.work(j, 0)
	m := c.works[j.record.Workload.Queue]
	if m == nil {
		m = &meanWork{}
		c.works[j.record.Workload.Queue] = m
	}
	m.add(whole)
}

// accelerators is the most that a workload needs at one time, taken as its largest step.
func accelerators(j *job) descriptor.Accelerators {
	var most descriptor.Accelerators
	for i := range j.record.Workload.Steps {
		s := j.step(i)
		most = max(most, descriptor.Accelerators(s.Count)*s.Size.Accelerators)
	}
	return most
}
