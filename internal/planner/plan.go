package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"persimmontrail/internal/assessor"
	"persimmontrail/pkg/descriptor"
)

// dueMargin delays the starts of timed workloads, so that none is early by the clock of another VM. The clocks
// differ by milliseconds.
const dueMargin = 20 * time.Millisecond

// Urgency levels; a higher number is less urgent. Work of levelGuaranteed and levelUrgent may preempt work of any
// higher level. After the groups with a claim, guaranteed work is placed before the other levels, which are ordered
// together by valueDensity.
const (
	// levelGuaranteed is work of priority 0 within the workspace's guarantee.
	levelGuaranteed = iota
	// levelUrgent is work of priority 0 beyond the guarantee.
	levelUrgent
	// levelOther is the level of priority 1; priority 2 has levelOther+1, and so on.
	levelOther
)

// maxOpenTasks bounds the tasks in the occurrences of one workload that are started before the first of them is done. It
// is twice the largest occurrence, whose progress takes 0.3 MB of the 1 MB that a document may have.
const maxOpenTasks = 2 * descriptor.MaxWorkloadTasks

// group is the set of tasks of one step that are ready to start: a whole gang, or the waiting ones of independent tasks.
type group struct {
	job        *job
	occurrence int
	step       int
	// indexes are those of the tasks to place.
	indexes []int
	// level is the urgency level of the workload.
	level int
	// valueDensity orders groups of the same rank: value per core-second that is still to do, times balanceFactor.
	valueDensity float64
	// balanceFactor is more than 1 if the workload belongs to a class that was served far less than others lately.
	balanceFactor float64
	// objective is the time by which the occurrence should be done.
	objective time.Time
	// claim is the room freed for the group by preemption; nil when there is none.
	claim *claim
}

// Plan decides which attempts to stop and which tasks to place where, records the placements in the progress of the
// workloads and returns the orders.
func (c *Core) Plan(now time.Time) []Order {
	c.nextPlanAt, c.planNeeded = time.Time{}, false
	var orders []Order
	c.activeJobs = slices.DeleteFunc(c.activeJobs, (*job).finished)
	for _, j := range c.activeJobs {
		c.currentJob = j.id()
		orders = append(orders, c.stopUnwanted(j, now)...)
	}
	c.sampleRunning(now)
	orders = append(orders, c.stopStalledAndSlow(now)...)
	orders = append(orders, c.stopOnDraining(now)...)
	if c.reserve.updated.IsZero() {
		c.recallUrgentDemand(now)
	}
	c.reserve.update(c.urgentDemand(), now)
	p := c.newPass(now)
	for _, g := range c.readyGroups(now, p.withinGuarantee) {
		if p.started >= maxStarts {
			c.planBy(now)
			break
		}
		orders = append(orders, p.resolveBefore(g)...)
		c.currentJob = g.job.id()
		orders = append(orders, p.place(g)...)
	}
	orders = append(orders, p.resolve()...)
	p.rotateSearches()
	return orders
}

// stopUnwanted marks a cancelled workload as such, and stops attempts of ended workloads, of tasks that are done and of
// incomplete gangs.
func (c *Core) stopUnwanted(j *job, now time.Time) []Order {
	if j.record.Cancelled && j.nonfinal() {
		c.setState(j, JobCancelled)
		c.logEvent("workload cancelled", j.id())
	}
	var orders []Order
	var incomplete map[gangRun]bool
	for id, r := range j.activeAttempts {
		if !j.nonfinal() {
			orders = append(orders, c.orderStop(r, now, causeEnded, "workload has ended: "+j.progress.State.String())...)
			continue
		}
		if j.taskDone(id) {
			orders = append(orders, c.orderStop(r, now, causeEnded, "task is done: an earlier attempt has succeeded")...)
			continue
		}
		if !j.step(id.Step).Gang {
			continue
		}
		isIncomplete, known := incomplete[r.gangRun()]
		if !known {
			isIncomplete = c.gangIncomplete(j, r)
			if incomplete == nil {
				incomplete = map[gangRun]bool{}
			}
			incomplete[r.gangRun()] = isIncomplete
		}
		if isIncomplete {
			orders = append(orders, c.orderStop(r, now, r.gangCause(), "another gang member has ended or was lost")...)
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return a.Attempt.Task.Compare(b.Attempt.Task) })
	return orders
}

// gangIncomplete reports whether some member of r's gang has no attempt with the same number as r.
func (c *Core) gangIncomplete(j *job, r *attempt) bool {
	id := r.id.Task
	for i, t := range j.tasks(id.Occurrence, id.Step) {
		id.Index = i
		if t.State != TaskPlaced || t.Attempt != r.id.Attempt || j.activeAttempts[id] == nil {
			return true
		}
	}
	return false
}

// orderStop returns an order to stop an attempt, at most once per stopRetryInterval.
func (c *Core) orderStop(r *attempt, now time.Time, cause discardCause, reason string) []Order {
	if r.stopping && now.Sub(r.stopOrderedAt) < stopRetryInterval {
		c.planBy(r.stopOrderedAt.Add(stopRetryInterval))
		return nil
	}
	if !r.stopping {
		r.stopCause = cause
		r.noteGangEnd(cause)
		c.learnFromStop(r, cause, now)
	}
	r.stopping, r.stopOrderedAt = true, now
	c.planBy(now.Add(stopRetryInterval))
	return []Order{{Node: r.worker.node, Incarnation: r.worker.incarnation, Attempt: r.id, Stop: true, Reason: reason}}
}

// stopStalledAndSlow repeats unconfirmed stops, and stops attempts that make no progress or run much slower than
// expected, which counts against the health of their workers. Workers whose last report is older than maxReportAge are
// left out.
func (c *Core) stopStalledAndSlow(now time.Time) []Order {
	var orders []Order
	for _, w := range c.sortedWorkers() {
		if now.Sub(w.lastReportAt) > maxReportAge {
			continue
		}
		for _, r := range w.attempts {
			c.currentJob = r.id.Task.Job
			switch {
			case r.stopping && now.Sub(r.stopOrderedAt) >= stopRetryInterval:
				orders = append(orders, c.orderStop(r, now, r.stopCause, "stop not confirmed; repeated")...)
			case !r.stopping && !r.confirmed && r.startDeadline == noStartDeadline && now.Sub(r.placed) > maxStartConfirmation:
				orders = append(orders, c.orderStop(r, now, causeWorkerLost, "start not confirmed, and not ruled out")...)
				c.health.Note(w.healthID(), assessor.Unconfirmed, now)
			case c.stalled(r):
				orders = append(orders, c.orderStop(r, now, causeStalled, fmt.Sprintf("no progress for %v at %d percent",
					r.timeWithoutProgress().Round(time.Millisecond), r.percent))...)
				c.health.Note(w.healthID(), assessor.Stalled, now)
			case c.tooSlow(r):
				r.job.noteSlowStop(r.id.Task)
				orders = append(orders, c.orderStop(r, now, causeSlow, fmt.Sprintf("slow: %d percent after %v, expected run time %v",
					r.percent, now.Sub(r.started).Round(time.Millisecond),
					c.expectedRunTime(r.job, r.id.Task.Step).Round(time.Millisecond)))...)
				c.health.Note(w.healthID(), assessor.Slow, now)
			}
		}
	}
	return orders
}

// timeWithoutProgress returns how long the worker has reported the attempt without progress, by the worker's clock.
func (r *attempt) timeWithoutProgress() time.Duration {
	return time.Duration(r.lastListed-r.lastProgress) * time.Millisecond
}

// progressMeaningful reports whether the progress of an attempt allows conclusions about its worker. It must be
// the current attempt of its task, confirmed and not being stopped. Its workload must be nonfinal, and its step must not
// be a service step. A gang makes no progress until all of its members are present.
func (c *Core) progressMeaningful(r *attempt) bool {
	return r.current() && r.confirmed && !r.stopping && r.job.nonfinal() && !r.job.step(r.id.Task.Step).Service && r.gangPresent()
}

// gangPresent reports whether all members of the attempt's gang are confirmed; it is true for single tasks.
func (r *attempt) gangPresent() bool {
	return !r.job.step(r.id.Task.Step).Gang || r.job.gangPresence(r.id.Task).complete
}

// gangPresence says which members of a gang are present.
type gangPresence struct {
	// attemptChanges is the value of job.attemptChanges for which the other fields hold.
	attemptChanges int
	// complete is true if all members are confirmed.
	complete bool
	// lastStarted is when the last member was confirmed.
	lastStarted time.Time
	// rack is that of some member, and spread is true if another member is on another rack.
	rack   descriptor.RackID
	spread bool
}

// gangPresence returns the presence of a task's gang, from the cache if possible.
func (j *job) gangPresence(id descriptor.TaskID) gangPresence {
	k := stepOf{id.Occurrence, id.Step}
	if p, ok := j.gangPresences[k]; ok && p.attemptChanges == j.attemptChanges {
		return p
	}
	p := gangPresence{attemptChanges: j.attemptChanges, complete: true}
	for i := range j.step(id.Step).Count {
		id.Index = i
		m := j.activeAttempts[id]
		if m == nil || !m.confirmed {
			p.complete = false
		}
		if m == nil {
			continue
		}
		if m.started.After(p.lastStarted) {
			p.lastStarted = m.started
		}
		p.spread = p.spread || p.rack != "" && p.rack != m.worker.status.Rack
		p.rack = m.worker.status.Rack
	}
	if j.gangPresences == nil {
		j.gangPresences = map[stepOf]gangPresence{}
	}
	j.gangPresences[k] = p
	return p
}

// stalled reports whether an attempt has made no progress for too long. The limit is startStallPercent of the expected
// run time at 0 percent, and after that stallPercent of the expected run time or, if longer, of the run time projected
// from the progress so far. It is at least minStall. It grows by RestoreTime for an attempt with a checkpoint, and by
// gangDelay for a gang member. Gang members at 100 percent and attempts whose progress is not meaningful never count as
// stalled.
func (c *Core) stalled(r *attempt) bool {
	if !c.progressMeaningful(r) {
		return false
	}
	expected := c.expectedRunTime(r.job, r.id.Task.Step)
	limit := startStallPercent * expected / 100
	if r.percent > 0 {
		// With progress the run time can be projected, so a lower percentage is enough.
		limit = stallPercent * max(expected, time.Duration(r.lastProgress-r.firstListed)*time.Millisecond*100/time.Duration(r.percent)) / 100
	}
	limit = max(limit, minStall)
	if r.checkpoint != "" {
		limit += c.Limits.RestoreTime
	}
	if r.job.step(r.id.Task.Step).Gang {
		if r.percent >= 100 {
			// A gang ends as a whole, so this member waits for the others.
			return false
		}
		limit += c.gangDelay(r)
	}
	return r.timeWithoutProgress() >= limit
}

// distanceFactor returns the factor by which an attempt may be slowed down by its placement: away from its data, or
// possibly spread over racks.
func (c *Core) distanceFactor(r *attempt) float64 {
	step := r.job.step(r.id.Task.Step)
	if step.DataRack != "" && step.DataRack != r.worker.status.Rack || step.SameRack {
		return c.Limits.DistanceFactor
	}
	return 1
}

// gangDelay returns how much later than r the last member of its gang was confirmed.
func (c *Core) gangDelay(r *attempt) time.Duration {
	return max(0, r.job.gangPresence(r.id.Task).lastStarted.Sub(r.started))
}

// stopOnDraining stops attempts that are expected to end only after their draining worker has left. Draining workers
// that have not reported a DrainRemaining are left out.
func (c *Core) stopOnDraining(now time.Time) []Order {
	var orders []Order
	for _, w := range c.sortedWorkers() {
		if !w.statusKnown || !w.status.Draining || w.status.DrainRemaining <= 0 {
			continue
		}
		left := time.Duration(w.status.DrainRemaining)*time.Millisecond - now.Sub(w.lastReportAt)
		for _, r := range w.attempts {
			if r.stopping || r.job == nil || c.endsBefore(r, left, now) {
				continue
			}
			orders = append(orders, c.orderStop(r, now, causeDraining, fmt.Sprintf("draining worker leaves in %v", left.Round(time.Millisecond)))...)
		}
	}
	return orders
}

// readyGroups returns the groups that are ready to start, in the order in which they are placed, and updates waitingSince
// of the workloads.
func (c *Core) readyGroups(now time.Time, withinGuarantee map[descriptor.JobID]bool) []group {
	var gs []group
	for _, j := range c.activeJobs {
		if !j.nonfinal() {
			continue
		}
		c.currentJob = j.id()
		waiting := false
		openTasks := 0
		for k := j.firstOpenOccurrence(); k < j.record.Workload.Occurrences(); k++ {
			if o := j.occurrence(k); o != nil && o.Done {
				continue
			}
			if due := j.record.Workload.Due(k); !due.IsZero() && now.Before(due.Add(dueMargin)) {
				c.planBy(due.Add(dueMargin))
				break
			}
			// Occurrences that overlap are bounded, because their tasks are all in memory and in one document.
			if openTasks += j.taskCount(); openTasks > maxOpenTasks && k > 0 {
				break
			}
			ready := c.readySteps(j, k)
			if len(ready) == 0 {
				continue
			}
			waiting = true
			jobLevel, objective, valueDensity := level(j, withinGuarantee), c.objective(j, k), c.valueDensity(j, k, now)
			factor := c.balanceFactor(j, k, now)
			for _, g := range ready {
				g.level, g.objective, g.claim = jobLevel, objective, j.validClaim(k, g.step, now)
				g.valueDensity, g.balanceFactor = valueDensity*factor, factor
				gs = append(gs, g)
			}
		}
		if !waiting {
			j.waitingSince = time.Time{}
		} else if j.waitingSince.IsZero() {
			j.waitingSince = now
		}
	}
	slices.SortStableFunc(gs, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(b.valueDensity, a.valueDensity), a.objective.Compare(b.objective))
	})
	return gs
}

// rank orders groups: first those with a claim, then guaranteed ones, then all others together.
func (g *group) rank() int {
	if g.claim != nil {
		return -1
	}
	return min(g.level, levelUrgent)
}

// readySteps returns the waiting tasks of each step of occurrence k that is ready to start.
func (c *Core) readySteps(j *job, k int) []group {
	var gs []group
	done := j.doneSteps(k)
	isDone := func(s int) bool { return done[s] }
	for s := range done {
		if done[s] || !allOf(j.step(s).After, isDone) {
			continue
		}
		if g, ok := c.readyGroup(j, k, s); ok {
			gs = append(gs, g)
		}
	}
	return gs
}

func allOf(steps []int, f func(int) bool) bool {
	return !slices.ContainsFunc(steps, func(s int) bool { return !f(s) })
}

// readyGroup returns the waiting tasks of a step whose dependencies are done. It reports false when no task is waiting, or
// when the step is a gang of which some members still have attempts.
func (c *Core) readyGroup(j *job, k, s int) (group, bool) {
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

// level returns the urgency level of a workload. All workloads in withinGuarantee have priority 0.
func level(j *job, withinGuarantee map[descriptor.JobID]bool) int {
	switch {
	case withinGuarantee[j.id()]:
		return levelGuaranteed
	case j.record.Workload.Priority == 0:
		return levelUrgent
	}
	return levelOther + j.record.Workload.Priority - 1
}

// jobsWithinGuarantee returns the nonfinal workloads of priority 0 that count as within their workspace's guarantee.
// They are tried in the order of arrival: a workload counts if its peakAccelerators and those of the workloads already
// counted do not exceed the guarantee. One that would exceed it is skipped, and later, smaller ones may still count.
func (c *Core) jobsWithinGuarantee() map[descriptor.JobID]bool {
	var urgent []*job
	for _, j := range c.activeJobs {
		if j.nonfinal() && j.record.Workload.Priority == 0 {
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
