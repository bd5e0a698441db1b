package scheduler

import (
	"slices"

	"persimmontrail/pkg/descriptor"
)

// reclaimGrace is the time a reclaimed attempt has for its checkpoint. Borrowed capacity is returned within it.
const reclaimGrace = 10 * second

// stopRepeatDelay is the time after which an unanswered request to stop is repeated: reclaimGrace plus a margin.
const stopRepeatDelay = 15 * second

// span is the part of a gang on one worker: count tasks, starting with index first.
type span struct {
	worker *worker
	first  int
	count  int
}

// attempt is one start of a job, from the claim or the decision to start until its resources are free. Its number comes
// from the decision to start, or from the report of an adopted attempt; the number of a claim is 0.
type attempt struct {
	job    *job
	number descriptor.Attempt
	spans  []span
	// reportedPlacement is the placement of an adopted attempt, whose task indexes may be in any order. The spans of
	// such an attempt leave first unset.
	reportedPlacement []Assignment
	// claim is true while the attempt waits for the victims on its placement to stop, before it is started.
	claim   bool
	running bool
	// protected attempts may not be reclaimed: they run on their workspace's guarantee or are not idempotent.
	protected bool
	// charges are the cells that a guaranteed attempt uses. It is empty for all other attempts, also for protected ones
	// without a guarantee and for those that were requested to stop.
	charges []charge
	// stopRequested attempts keep their resources until they have stopped.
	stopRequested   bool
	stopRequestedAt int64
	// checkpointAllowed is set if the attempt was running when it was requested to stop, with time for a checkpoint.
	checkpointAllowed bool
	// contradicts is set for a reported attempt that contradicts the state of the core. Such an attempt is
	// stopped.
	contradicts bool
	// unexpected is set if contradicts is set and the attempt is not the current attempt of its job.
	unexpected bool
	startedAt  int64
	// expectedRunTime is the remaining run time of the job, as estimated when the attempt was started or adopted.
	expectedRunTime int64
	// backfillUntil is the start of the reservation before which the attempt should end, or 0.
	backfillUntil int64
	// searchedBy is the ID of the latest search that visited the attempt.
	searchedBy int
}

// resourcesOn returns the sum of the resources of the tasks of a on w, or the zero vector if a has none there.
func (a *attempt) resourcesOn(w *worker) vector {
	for i := range a.spans {
		if a.spans[i].worker == w {
			return a.job.need.times(a.spans[i].count)
		}
	}
	return vector{}
}

func (a *attempt) holdsResources() bool { return len(a.spans) > 0 }

// reclaimable reports whether a may be stopped to make room for other work.
func (a *attempt) reclaimable() bool {
	return !a.protected && !a.stopRequested && !a.claim && !a.unexpected
}

// placement returns the assignments of a on the workers where it still holds resources. The task indexes of an adopted
// attempt are those of its report.
func (a *attempt) placement() []Assignment {
	if a.reportedPlacement != nil {
		return slices.DeleteFunc(slices.Clone(a.reportedPlacement), func(p Assignment) bool {
			return !slices.ContainsFunc(a.spans, func(s span) bool { return s.worker.ID == p.Worker })
		})
	}
	out := make([]Assignment, len(a.spans))
	for i, s := range a.spans {
		tasks := make([]int, s.count)
		for t := range tasks {
			tasks[t] = s.first + t
		}
		out[i] = Assignment{Worker: s.worker.ID, Tasks: tasks}
	}
	return out
}

// allocate marks the resources of a as used.
func (c *Core) allocate(a *attempt) {
	for _, s := range a.spans {
		w := s.worker
		w.used = w.used.plus(a.job.need.times(s.count))
		w.attempts = append(w.attempts, a)
		c.updateSums(w)
	}
}

// deallocateOn frees the resources of a on w, if there are any. a must not be protected.
func (c *Core) deallocateOn(a *attempt, w *worker) {
	i := slices.IndexFunc(a.spans, func(s span) bool { return s.worker == w })
	if i < 0 {
		return
	}
	v := a.resourcesOn(w)
	w.used = w.used.minus(v)
	if a.stopRequested {
		w.releasing = w.releasing.minus(v)
	}
	w.attempts = without(w.attempts, a)
	a.spans = slices.Delete(slices.Clone(a.spans), i, i+1)
	c.updateSums(w)
	c.capacityFreed()
}

// protect excludes the resources of a from reclaim.
func (c *Core) protect(a *attempt) {
	a.protected = true
	for _, s := range a.spans {
		v := a.job.need.times(s.count)
		s.worker.protected = s.worker.protected.plus(v)
		s.worker.protectedAccelerators += s.worker.blockedAccelerators(v)
		c.updateSums(s.worker)
	}
}

// unprotect makes the resources of a reclaimable again.
func (c *Core) unprotect(a *attempt) {
	if !a.protected {
		return
	}
	a.protected = false
	for _, s := range a.spans {
		v := a.job.need.times(s.count)
		s.worker.protected = s.worker.protected.minus(v)
		s.worker.protectedAccelerators -= s.worker.blockedAccelerators(v)
		c.updateSums(s.worker)
	}
}

// requestStop requests a to stop. The charges of a are released at once, since its resources become free within
// the grace period.
func (c *Core) requestStop(a *attempt, grace int64, reason string) {
	c.releaseCharges(a)
	c.unprotect(a)
	a.stopRequested, a.stopRequestedAt = true, c.now
	a.checkpointAllowed = grace > 0 && a.running
	for _, s := range a.spans {
		s.worker.releasing = s.worker.releasing.plus(a.job.need.times(s.count))
	}
	c.stopping = append(c.stopping, a)
	if !a.unexpected && a.job.state != StateEnded {
		a.job.state = StateReclaimed
	}
	c.addStopDecision(a, reason, grace)
}

// repeatStopRequests repeats requests to stop that were not answered within stopRepeatDelay, without time for another
// checkpoint. It removes attempts that have stopped from stopping.
func (c *Core) repeatStopRequests() {
	unstopped := c.stopping[:0]
	for _, a := range c.stopping {
		if !a.holdsResources() {
			continue
		}
		unstopped = append(unstopped, a)
		if c.now-a.stopRequestedAt < stopRepeatDelay {
			continue
		}
		a.stopRequestedAt = c.now
		c.addStopDecision(a, "no answer to the request to stop", 0)
	}
	clear(c.stopping[len(unstopped):])
	c.stopping = unstopped
}

// release frees all resources and charges of a.
func (c *Core) release(a *attempt) {
	c.releaseCharges(a)
	c.unprotect(a)
	for _, s := range slices.Clone(a.spans) {
		c.deallocateOn(a, s.worker)
	}
}

// expectedEnd estimates the end of a. An attempt that was requested to stop is expected to end after reclaimGrace. One
// that exceeds its estimate is expected to need another quarter of its run time so far, and at least a minute.
func (c *Core) expectedEnd(a *attempt) int64 {
	if a.stopRequested {
		return max(c.now, a.stopRequestedAt+reclaimGrace)
	}
	from := a.startedAt
	if !a.running {
		from = c.now
	}
	end := from + a.expectedRunTime
	if end > c.now {
		return end
	}
	return c.now + max(minute, (c.now-from)/4)
}
