package planner

import (
	"time"

	"persimmontrail/internal/balancer"
)

// lateService is the share of an occurrence that counts as served if it ends after its objective but is not tooLate.
const lateService = 0.25

// sizeClassRatios are the least ratios of the work of a workload to the mean of its queue for the size classes after the
// first. About a tenth of the workloads of a queue are in the last one.
var sizeClassRatios = []float64{1, 2}

var sizeClassNames = []string{"Small", "Medium", "Large"}

// classesOf returns the classes by which the service of a workload is balanced: its workspace, among all, and its size
// within its queue. Queues are not balanced against one another, since their value differs.
func (c *Core) classesOf(j *job) []balancer.Membership {
	if j.classes == nil {
		total, _ := c.work(j, 0)
		size := 0
		for size < len(sizeClassRatios) && total >= sizeClassRatios[size]*c.workMeans[j.record.Workload.Queue].mean {
			size++
		}
		queue := string(j.record.Workload.Queue)
		j.classes = []balancer.Membership{
			{Class: balancer.Class{Kind: "Workspace", Name: string(j.record.Workload.Workspace)}},
			{Class: balancer.Class{Kind: sizeClassNames[size], Name: queue}, Within: balancer.Class{Kind: "Queue", Name: queue}},
		}
	}
	return j.classes
}

// balanceFactor returns the factor on the valueDensity of a waiting occurrence: more than 1 if classes of the workload were
// served far less than others lately. An occurrence that is tooLate counts as not served.
func (c *Core) balanceFactor(j *job, k int, now time.Time) float64 {
	if c.expectedLateness(j, k, now) == tooLate {
		c.recordService(j, k, false, now)
	}
	return c.service.Factor(c.classesOf(j), now)
}

// recordService records how occurrence k was served, at its end or when it is tooLate, whichever is first.
func (c *Core) recordService(j *job, k int, done bool, now time.Time) {
	if j.recordedLate[k] {
		if done {
			delete(j.recordedLate, k)
		}
		return
	}
	served := 0.0
	switch {
	case !done:
		if j.recordedLate == nil {
			j.recordedLate = map[int]bool{}
		}
		j.recordedLate[k] = true
	case !now.After(c.objective(j, k)):
		served = 1
	default:
		served = lateService
	}
	c.service.Record(c.classesOf(j), served, now)
}
