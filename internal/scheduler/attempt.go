package scheduler

import (
	"slices"

	"persimmontrail/pkg/descriptor"
)

// reclaimGrace bounds the checkpoint of a reclaimed attempt; lent capacity returns within this time.
const reclaimGrace = 10 * second

// stopRepeatDelay is when an unanswered request to stop is repeated, one grace and a margin later.
const stopRepeatDelay = 15 * second

// span is the part of a gang on one worker: count tasks from index first.
type span struct {
	worker *worker
	first  int
	count  int
}

// attempt is one run of a job, from the decision to its end.
type attempt struct {
	job    *job
	number descriptor.Attempt
	spans  []span
	// reportedPlacement is the placement of an adopted attempt, whose task indexes may be in any order.
	reportedPlacement []Assignment
	// claim is true until the victims on the placement have stopped and the start is decided.
	claim   bool
	running bool
	// protected attempts may not be reclaimed: they run on their workspace's guarantee or run at most once.
	protected bool
	// charges say which cells a guaranteed attempt uses; empty for borrowed capacity.
	charges []charge
	// stopRequested attempts were asked to stop and hold their resources until they have.
	stopRequested   bool
	stopRequestedAt int64
	// checkpointAllowed says that the request to stop left time for a checkpoint.
	checkpointAllowed bool
	// contradicts says that the attempt was found and contradicts the view; it is only stopped.
	contradicts bool
	// unexpected attempts contradict the view and are not the current attempt of their job.
	unexpected bool
	startedAt  int64
	// expectedRunTime is the run time expected at the start.
	expectedRunTime int64
	// backfillUntil is the start of the reservation before which the attempt is to end; 0 for none.
	backfillUntil int64
	// searchedBy is scratch of the reclaim search.
	searchedBy int
}

// resourcesOn returns what a takes on w.
func (a *attempt) resourcesOn(w *worker) vector {
	for i := range a.spans {
		if a.spans[i].worker == w {
			return a.job.need.times(a.spans[i].count)
		}
	}
	return vector{}
}

func (a *attempt) holdsResources() bool { return len(a.spans) > 0 }

// reclaimable reports whether a may be asked to stop for the benefit of others.
func (a *attempt) reclaimable() bool {
	return !a.protected && !a.stopRequested && !a.claim && !a.unexpected
}

// placement returns the assignments of a for a decision.
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

// allocate makes a hold its resources.
func (c *Core) allocate(a *attempt) {
	for _, s := range a.spans {
		w := s.worker
		w.used = w.used.plus(a.job.need.times(s.count))
		w.attempts = append(w.attempts, a)
		c.updateSums(w)
	}
}

// deallocateOn releases what a holds on w.
func (c *Core) deallocateOn(a *attempt, w *worker) {
	i := slices.IndexFunc(a.spans, func(s span) bool { return s.worker == w })
	if i < 0 {
		return
	}
	v := a.resourcesOn(w)
	w.used = w.used.minus(v)
	if a.stopRequested {
		w.stopping = w.stopping.minus(v)
	}
	w.attempts = without(w.attempts, a)
	a.spans = slices.Delete(slices.Clone(a.spans), i, i+1)
	c.updateSums(w)
	c.capacityFreed()
}

// protect marks the resources of a as not reclaimable.
func (c *Core) protect(a *attempt) {
	a.protected = true
	for _, s := range a.spans {
		v := a.job.need.times(s.count)
		s.worker.protected = s.worker.protected.plus(v)
		s.worker.protectedAccelerators += s.worker.blockedAccelerators(v)
		c.updateSums(s.worker)
	}
}

// unprotect undoes makeFirm.
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

// requestStop asks a to stop. Its guarantee is free for other work at once, since its capacity returns within the grace.
func (c *Core) requestStop(a *attempt, grace int64, reason string) {
	c.releaseCharges(a)
	c.unprotect(a)
	a.stopRequested, a.stopRequestedAt = true, c.now
	a.checkpointAllowed = grace > 0 && a.running
	for _, s := range a.spans {
		s.worker.stopping = s.worker.stopping.plus(a.job.need.times(s.count))
	}
	c.stopping = append(c.stopping, a)
	if !a.unexpected && a.job.state != StateEnded {
		a.job.state = StateReclaimed
	}
	c.addStopDecision(a, reason, grace)
}

// repeatStopRequests asks again when a request to stop was not answered in time.
func (c *Core) repeatStopRequests() {
	rest := c.stopping[:0]
	for _, a := range c.stopping {
		if !a.holdsResources() {
			continue
		}
		rest = append(rest, a)
		if c.now-a.stopRequestedAt < stopRepeatDelay {
			continue
		}
		a.stopRequestedAt = c.now
		c.addStopDecision(a, "no answer to the request to stop", 0)
	}
	clear(c.stopping[len(rest):])
	c.stopping = rest
}

// release frees everything that a holds.
func (c *Core) release(a *attempt) {
	c.releaseCharges(a)
	c.unprotect(a)
	for _, s := range slices.Clone(a.spans) {
		c.deallocateOn(a, s.worker)
	}
}

// expectedEnd estimates when a ends. An attempt over its estimate is assumed to need a quarter of its run time more.
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
