package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

// dueMargin delays a timed start a little, since clocks of machines differ by milliseconds.
const dueMargin = 20 * time.Millisecond

// Levels of urgency. Work of a lower level goes first; levels up to levelUrgent may preempt higher ones.
const (
	// levelGuaranteed is priority 0 within the workspace's guarantee.
	levelGuaranteed = iota
	// levelUrgent is priority 0 beyond it.
	levelUrgent
	// levelOther is the first level of all other priorities.
	levelOther
)

// group is what is placed together: a whole gang, or the waiting tasks of one step.
type group struct {
	job        *job
	occurrence int
	step       int
	// indexes of the tasks to place.
	indexes []int
	level   int
	// valueDensity orders groups of one level.
	valueDensity  float64
	deadline time.Time
	// claim is room for which others were stopped; nil when there is none.
	claim *claim
}

// Plan returns the orders that follow from all that is known.
func (c *Core) Plan(now time.Time) []Order {
	c.nextPlanAt, c.planNeeded = time.Time{}, false
	var orders []Order
	c.activeJobs = slices.DeleteFunc(c.activeJobs, (*job).settled)
	for _, j := range c.activeJobs {
		orders = append(orders, c.stopUnwanted(j, now)...)
	}
	orders = append(orders, c.stopStalledAndSlow(now)...)
	orders = append(orders, c.stopOnDraining(now)...)
	c.reserve.update(c.urgentDemand(), now)
	p := c.newPass(now)
	for _, g := range c.readyGroups(now, p.withinGuarantee) {
		orders = append(orders, p.place(g)...)
	}
	return orders
}

// stopUnwanted ends workloads that were cancelled and stops what runs of ended ones and of broken gangs.
func (c *Core) stopUnwanted(j *job, now time.Time) []Order {
	if j.record.Cancelled && j.unfinished() {
		c.setState(j, JobCancelled)
		c.logEvent("workload cancelled", j.id())
	}
	var orders []Order
	for id, r := range j.activeAttempts {
		if !j.unfinished() {
			orders = append(orders, c.orderStop(r, now, "workload has ended: "+j.progress.State.String())...)
			continue
		}
		if j.step(id.Step).Gang && c.gangBroken(j, r) {
			orders = append(orders, c.orderStop(r, now, "another member of the gang is gone")...)
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Run.Task.String(), b.Run.Task.String()) })
	return orders
}

// gangBroken reports whether some member of the run's gang has no run with the same number.
func (c *Core) gangBroken(j *job, r *attempt) bool {
	id := r.id.Task
	for i, t := range j.tasks(id.Occurrence, id.Step) {
		id.Index = i
		if t.State != TaskPlaced || t.Run != r.id.Run || j.activeAttempts[id] == nil {
			return true
		}
	}
	return false
}

// orderStop orders the end of a run and repeats it while the run stays.
func (c *Core) orderStop(r *attempt, now time.Time, reason string) []Order {
	if r.stopping && now.Sub(r.stopSent) < stopRetryInterval {
		c.planBy(r.stopSent.Add(stopRetryInterval))
		return nil
	}
	r.stopping, r.stopSent = true, now
	c.planBy(now.Add(stopRetryInterval))
	return []Order{{Node: r.worker.node, Life: r.worker.incarnation, Run: r.id, Stop: true, Reason: reason}}
}

// stopStalledAndSlow moves tasks that stand still or crawl, and sets their workers apart.
func (c *Core) stopStalledAndSlow(now time.Time) []Order {
	var orders []Order
	for _, w := range c.sortedWorkers() {
		if now.Sub(w.observed) > maxReportAge {
			continue
		}
		for _, r := range w.attempts {
			switch {
			case r.stopping && now.Sub(r.stopSent) >= stopRetryInterval:
				orders = append(orders, c.orderStop(r, now, "stop repeated")...)
			case c.stalled(r):
				orders = append(orders, c.orderStop(r, now, fmt.Sprintf("no progress for %v at %d percent",
					r.timeWithoutProgress().Round(time.Millisecond), r.percent))...)
				c.quarantineWorker(w, now, "a task stands still")
			case c.tooSlow(r):
				orders = append(orders, c.orderStop(r, now, fmt.Sprintf("slow: %d percent after %v, %v expected in all", r.percent,
					now.Sub(r.started).Round(time.Millisecond), c.expectedRunTime(r.job, r.id.Task.Step).Round(time.Millisecond)))...)
				w.suspectUntil = now.Add(suspectPeriod)
			}
		}
	}
	return orders
}

// timeWithoutProgress is how long the worker has listed the run without progress, by the worker's clock.
func (r *attempt) timeWithoutProgress() time.Duration { return time.Duration(r.lastListed-r.lastProgress) * time.Millisecond }

// progressMeaningful reports whether the progress of a run says something about its worker. A gang makes none before all of its
// members are present.
func (c *Core) progressMeaningful(r *attempt) bool {
	return r.current() && r.confirmed && !r.stopping && r.job.unfinished() && !r.job.step(r.id.Task.Step).Service && r.gangPresent()
}

func (r *attempt) gangPresent() bool {
	id := r.id.Task
	if !r.job.step(id.Step).Gang {
		return true
	}
	for i := range r.job.tasks(id.Occurrence, id.Step) {
		id.Index = i
		if m := r.job.activeAttempts[id]; m == nil || !m.confirmed {
			return false
		}
	}
	return true
}

// stalled reports whether a run stands still through no fault of a missing gang member.
func (c *Core) stalled(r *attempt) bool {
	if !c.progressMeaningful(r) {
		return false
	}
	expected := c.expectedRunTime(r.job, r.id.Task.Step)
	limit := startStallPercent * expected / 100
	if r.percent > 0 {
		// The pace so far says more than an estimate.
		limit = stallPercent * max(expected, time.Duration(r.lastProgress-r.firstListed)*time.Millisecond*100/time.Duration(r.percent)) / 100
	}
	limit = max(limit, minStall)
	if r.checkpoint != "" {
		limit += c.Limits.Restore
	}
	if r.job.step(r.id.Task.Step).Gang {
		if r.percent >= 100 {
			// It waits for the other members, with which it ends together.
			return false
		}
		limit += c.gangDelay(r)
	}
	return r.timeWithoutProgress() >= limit
}

// distanceFactor is how much longer a run takes where it was placed.
func (c *Core) distanceFactor(r *attempt) float64 {
	s := r.job.step(r.id.Task.Step)
	if s.DataRack != "" && s.DataRack != r.worker.status.Rack || s.SameRack {
		return c.Limits.FarFactor
	}
	return 1
}

// gangDelay is how much later than r the last member of its gang was seen.
func (c *Core) gangDelay(r *attempt) time.Duration {
	last := r.started
	id := r.id.Task
	for i := range r.job.tasks(id.Occurrence, id.Step) {
		id.Index = i
		if m := r.job.activeAttempts[id]; m != nil && m.started.After(last) {
			last = m.started
		}
	}
	return last.Sub(r.started)
}

// stopOnDraining moves tasks off workers that leave before the tasks can end.
func (c *Core) stopOnDraining(now time.Time) []Order {
	var orders []Order
	for _, w := range c.sortedWorkers() {
		if !w.known || !w.status.Draining || w.status.Remaining <= 0 {
			continue
		}
		left := time.Duration(w.status.Remaining)*time.Millisecond - now.Sub(w.observed)
		for _, r := range w.attempts {
			if r.stopping || r.job == nil || c.remainingRunTime(r, now) < left {
				continue
			}
			orders = append(orders, c.orderStop(r, now, fmt.Sprintf("worker leaves in %v", left.Round(time.Millisecond)))...)
		}
	}
	return orders
}

// readyGroups returns all that could start now, the most urgent first.
func (c *Core) readyGroups(now time.Time, withinGuarantee map[descriptor.JobID]bool) []group {
	var gs []group
	for _, j := range c.activeJobs {
		if !j.unfinished() {
			continue
		}
		waiting := false
		for k := range j.record.Workload.Occurrences() {
			if o := j.occurrence(k); o != nil && o.Done {
				continue
			}
			if due := j.record.Workload.Due(k); !due.IsZero() && now.Before(due.Add(dueMargin)) {
				c.planBy(due.Add(dueMargin))
				break
			}
			for s := range j.record.Workload.Steps {
				if g, ok := c.readyGroup(j, k, s); ok {
					g.level = level(j, withinGuarantee)
					g.deadline = c.objective(j, k)
					g.valueDensity = c.valueDensity(j, k, now)
					g.claim = j.validClaim(k, s, now)
					gs = append(gs, g)
					waiting = true
				}
			}
		}
		if !waiting {
			j.waitingSince = time.Time{}
		} else if j.waitingSince.IsZero() {
			j.waitingSince = now
		}
	}
	slices.SortStableFunc(gs, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.valueDensity, a.valueDensity), a.deadline.Compare(b.deadline))
	})
	return gs
}

// rank puts work for which others were stopped first, then guaranteed work; all other goes by density.
func (g *group) rank() int {
	if g.claim != nil {
		return -1
	}
	return min(g.level, levelUrgent)
}

// readyGroup returns the tasks of a step that wait, when the step's turn has come.
func (c *Core) readyGroup(j *job, k, s int) (group, bool) {
	if j.stepDone(k, s) || !j.stepReady(k, s) {
		return group{}, false
	}
	tasks := j.tasks(k, s)
	g := group{job: j, occurrence: k, step: s}
	for i := range tasks {
		id := descriptor.TaskID{Job: j.id(), Occurrence: k, Step: s, Index: i}
		if tasks[i].State == TaskPending && j.activeAttempts[id] == nil {
			g.indexes = append(g.indexes, i)
		}
	}
	if len(g.indexes) == 0 || j.step(s).Gang && len(g.indexes) < len(tasks) {
		return group{}, false
	}
	return g, true
}

func level(j *job, withinGuarantee map[descriptor.JobID]bool) int {
	switch {
	case withinGuarantee[j.id()]:
		return levelGuaranteed
	case j.record.Workload.Priority == 0:
		return levelUrgent
	}
	return levelOther + j.record.Workload.Priority - 1
}

// jobsWithinGuarantee returns the workloads of priority 0 that fit into their workspace's guarantee, the oldest first.
func (c *Core) jobsWithinGuarantee() map[descriptor.JobID]bool {
	var urgent []*job
	for _, j := range c.activeJobs {
		if j.unfinished() && j.record.Workload.Priority == 0 {
			urgent = append(urgent, j)
		}
	}
	slices.SortStableFunc(urgent, func(a, b *job) int { return a.arrived.Compare(b.arrived) })
	used := map[descriptor.WorkspaceID]descriptor.Accelerators{}
	withinGuarantee := map[descriptor.JobID]bool{}
	for _, j := range urgent {
		w := j.record.Workload.Workspace
		if need := peakAccelerators(j); used[w]+need <= c.guarantees[w] {
			used[w] += need
			withinGuarantee[j.id()] = true
		}
	}
	return withinGuarantee
}
