package scheduler

import (
	"slices"

	"persimmontrail/pkg/descriptor"
)

// reclaimGrace bounds the checkpoint of a reclaimed attempt; lent capacity returns within this time.
const reclaimGrace = 10 * second

// repeatAfter is when an unanswered request to stop is repeated, one grace and a margin later.
const repeatAfter = 15 * second

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
	// given is the placement of an adopted attempt, whose task indexes may be in any order.
	given []Assignment
	// claim is true until the victims on the placement have stopped and the start is decided.
	claim   bool
	running bool
	// firm attempts may not be reclaimed: they run on their workspace's guarantee or run at most once.
	firm bool
	// charges say which cells a guaranteed attempt uses; empty for borrowed capacity.
	charges []charge
	// leaving attempts were asked to stop and hold their resources until they have.
	leaving   bool
	leavingAt int64
	// checkpointed says that the request to stop left time for a checkpoint.
	checkpointed bool
	// contradicts says that the attempt was found and contradicts the view; it is only stopped.
	contradicts bool
	// unexpected attempts contradict the view and are not the current attempt of their job.
	unexpected bool
	startedAt  int64
	// length is the run time expected at the start.
	length int64
	// backfillUntil is the start of the reservation before which the attempt is to end; 0 for none.
	backfillUntil int64
	// mark is scratch of the reclaim search.
	mark int
}

// on returns what a takes on w.
func (a *attempt) on(w *worker) vector {
	for i := range a.spans {
		if a.spans[i].worker == w {
			return a.job.need.times(a.spans[i].count)
		}
	}
	return vector{}
}

func (a *attempt) attached() bool { return len(a.spans) > 0 }

// reclaimable reports whether a may be asked to stop for the benefit of others.
func (a *attempt) reclaimable() bool { return !a.firm && !a.leaving && !a.claim && !a.unexpected }

// placement returns the assignments of a for a decision.
func (a *attempt) placement() []Assignment {
	if a.given != nil {
		return slices.DeleteFunc(slices.Clone(a.given), func(p Assignment) bool {
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

// attach makes a hold its resources.
func (c *Core) attach(a *attempt) {
	for _, s := range a.spans {
		w := s.worker
		w.used = w.used.plus(a.job.need.times(s.count))
		w.attempts = append(w.attempts, a)
		c.refresh(w)
	}
}

// detach releases what a holds on w.
func (c *Core) detach(a *attempt, w *worker) {
	i := slices.IndexFunc(a.spans, func(s span) bool { return s.worker == w })
	if i < 0 {
		return
	}
	v := a.on(w)
	w.used = w.used.minus(v)
	if a.leaving {
		w.leaving = w.leaving.minus(v)
	}
	w.attempts = without(w.attempts, a)
	a.spans = slices.Delete(slices.Clone(a.spans), i, i+1)
	c.refresh(w)
	c.capacityFreed()
}

// makeFirm marks the resources of a as not reclaimable.
func (c *Core) makeFirm(a *attempt) {
	a.firm = true
	for _, s := range a.spans {
		v := a.job.need.times(s.count)
		s.worker.firm = s.worker.firm.plus(v)
		s.worker.firmCells += s.worker.cells(v)
		c.refresh(s.worker)
	}
}

// makeReclaimable undoes makeFirm.
func (c *Core) makeReclaimable(a *attempt) {
	if !a.firm {
		return
	}
	a.firm = false
	for _, s := range a.spans {
		v := a.job.need.times(s.count)
		s.worker.firm = s.worker.firm.minus(v)
		s.worker.firmCells -= s.worker.cells(v)
		c.refresh(s.worker)
	}
}

// leave asks a to stop. Its guarantee is free for other work at once, since its capacity returns within the grace.
func (c *Core) leave(a *attempt, grace int64, reason string) {
	c.discharge(a)
	c.makeReclaimable(a)
	a.leaving, a.leavingAt = true, c.now
	a.checkpointed = grace > 0 && a.running
	for _, s := range a.spans {
		s.worker.leaving = s.worker.leaving.plus(a.job.need.times(s.count))
	}
	c.stopping = append(c.stopping, a)
	if !a.unexpected && a.job.state != StateEnded {
		a.job.state = StateReclaimed
	}
	c.emitStop(a, reason, grace)
}

// repeatStops asks again when a request to stop was not answered in time.
func (c *Core) repeatStops() {
	rest := c.stopping[:0]
	for _, a := range c.stopping {
		if !a.attached() {
			continue
		}
		rest = append(rest, a)
		if c.now-a.leavingAt < repeatAfter {
			continue
		}
		a.leavingAt = c.now
		c.emitStop(a, "no answer to the request to stop", 0)
	}
	clear(c.stopping[len(rest):])
	c.stopping = rest
}

// release frees everything that a holds.
func (c *Core) release(a *attempt) {
	c.discharge(a)
	c.makeReclaimable(a)
	for _, s := range slices.Clone(a.spans) {
		c.detach(a, s.worker)
	}
}

// expectedEnd estimates when a ends. An attempt over its estimate is assumed to need a quarter of its run time more.
func (c *Core) expectedEnd(a *attempt) int64 {
	if a.leaving {
		return max(c.now, a.leavingAt+reclaimGrace)
	}
	from := a.startedAt
	if !a.running {
		from = c.now
	}
	end := from + a.length
	if end > c.now {
		return end
	}
	return c.now + max(minute, (c.now-from)/4)
}
