package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Adopt takes over an attempt found in reports, and adds its job if that is unknown. An attempt that contradicts the
// state of the core is stopped instead. Adopting the current attempt of a job again only records that it runs.
func (c *Core) Adopt(a ReportedAttempt, now time.Time) {
	c.advanceTo(now)
	key := a.Job.Key()
	j := c.jobs[key]
	if c.unexpected[unexpectedKey{key, a.Number}] != nil {
		return
	}
	if j != nil && j.current != nil && j.current.number == a.Number && !j.current.claim {
		c.updateKnownAttempt(j.current, a)
		return
	}
	reason := c.contradiction(j, a)
	if j == nil && reason == "" {
		j = c.newJob(a.Job, toNanos(a.Accepted))
		c.jobs[key] = j
	}
	adopted := c.buildAdopted(j, a)
	adopted.contradicts = reason != ""
	if adopted.contradicts && (j == nil || j.state != StateWaiting || j.current != nil || !adopted.holdsResources()) {
		c.stopUnexpected(adopted, reason)
		return
	}
	if j.current != nil {
		c.dropClaim(j.current, "another attempt was found")
	}
	c.dequeue(j)
	c.makeCurrent(j, adopted)
	if adopted.contradicts && !adopted.stopRequested {
		// The job waits for the end of this attempt, so that two attempts never run at the same time.
		c.requestStop(adopted, 0, reason)
	}
}

// updateKnownAttempt marks the attempt a as running if it is reported as running.
func (c *Core) updateKnownAttempt(a *attempt, reported ReportedAttempt) {
	if reported.Running && !a.running {
		c.attemptStarted(a, toNanos(reported.StartedAt))
	}
}

// contradiction returns the reason why a contradicts the state of the core, or "" if a can be adopted.
func (c *Core) contradiction(j *job, a ReportedAttempt) string {
	if j != nil {
		switch {
		case j.state == StateEnded:
			return "the job has ended"
		case j.current != nil && !j.current.claim:
			return fmt.Sprintf("attempt %d is the current one", j.current.number)
		case a.Number < j.number:
			return fmt.Sprintf("attempt %d is newer", j.number)
		}
	}
	seen := make(map[int]bool)
	need := vectorOf(a.Job.PerTask)
	for i, p := range a.Placement {
		w := c.fleet.workers[p.Worker]
		if w == nil || !w.up {
			return "worker " + string(p.Worker) + " is not up"
		}
		if slices.ContainsFunc(a.Placement[:i], func(o Assignment) bool { return o.Worker == p.Worker }) {
			return "a worker is named twice"
		}
		if w.capacity.minus(w.used).minus(need.times(len(p.Tasks))).negative() {
			return "the resources of " + string(p.Worker) + " are in use"
		}
		for _, t := range p.Tasks {
			if t < 0 || t >= a.Job.Tasks || seen[t] {
				return "the gang has wrong members"
			}
			seen[t] = true
		}
	}
	if len(seen) != max(1, a.Job.Tasks) {
		return fmt.Sprintf("%d of %d members were found", len(seen), a.Job.Tasks)
	}
	return ""
}

// buildAdopted returns the attempt for a, placed on those of its workers that are up.
func (c *Core) buildAdopted(j *job, a ReportedAttempt) *attempt {
	if j == nil {
		j = &job{Job: a.Job, accepted: toNanos(a.Accepted), need: vectorOf(a.Job.PerTask)}
	}
	found := &attempt{job: j, number: a.Number, reportedPlacement: a.Placement, running: a.Running, startedAt: toNanos(a.StartedAt)}
	for _, p := range a.Placement {
		w := c.fleet.workers[p.Worker]
		if w == nil || !w.up || slices.ContainsFunc(found.spans, func(s span) bool { return s.worker == w }) {
			continue
		}
		found.spans = append(found.spans, span{worker: w, count: len(p.Tasks)})
	}
	return found
}

// stopUnexpected stops an attempt that cannot become the current one of its job. Its resources count as used until it
// has stopped.
func (c *Core) stopUnexpected(a *attempt, reason string) {
	a.unexpected = true
	if j := c.jobs[a.job.Key()]; j != nil {
		j.number = max(j.number, a.number)
	}
	c.unexpected[unexpectedKey{a.job.Key(), a.number}] = a
	c.allocate(a)
	previousState := a.job.state
	c.requestStop(a, 0, reason)
	a.job.state = previousState
	if !a.holdsResources() {
		delete(c.unexpected, unexpectedKey{a.job.Key(), a.number})
	}
}

// makeCurrent makes the adopted attempt a the current attempt of j and allocates its resources. Unless a contradicts
// the state of the core, it also charges a to the guarantee where it fits, protects a if it is not idempotent, and
// drains those of its workers whose failure domain is out.
func (c *Core) makeCurrent(j *job, a *attempt) {
	j.current, j.number = a, a.number
	a.expectedRunTime = c.remainingRunTime(j)
	c.allocate(a)
	j.state = StateHeld
	if a.running {
		j.state = StateRunning
	}
	j.addRecord(c.now, a.number, "Adopted", "found in reports")
	if a.contradicts {
		return
	}
	if c.Policy == PolicyGuaranteed && !c.charge(a) && j.NonIdempotent && !c.protectWithoutGuarantee(a) {
		// A non-idempotent job is never reclaimed, even if it makes a guarantee impossible.
		c.protect(a)
	}
	for _, s := range a.spans {
		if c.fleet.isOut(s.worker) {
			c.drainWorker(s.worker)
		}
	}
}

// HandleEvent applies an event of the current attempt of a job or of an unexpected attempt. Events of all other
// attempts are ignored.
func (c *Core) HandleEvent(e Event, now time.Time) {
	c.advanceTo(now)
	if a := c.unexpected[unexpectedKey{e.Key, e.Attempt}]; a != nil {
		if e.Kind != EventStarted {
			c.release(a)
			delete(c.unexpected, unexpectedKey{e.Key, e.Attempt})
		}
		return
	}
	j := c.jobs[e.Key]
	if j == nil || j.current == nil || j.current.claim || j.current.number != e.Attempt {
		return
	}
	a := j.current
	switch e.Kind {
	case EventStarted:
		c.attemptStarted(a, c.now)
	case EventFinished:
		c.attemptFinished(a)
	case EventTaskFailed:
		c.taskFailed(a, e)
	case EventNotStarted:
		c.startRefused(a, e)
	case EventStopped:
		c.attemptStopped(a, cmp.Or(e.Cause, "stopped"), true)
	}
}

func (c *Core) attemptStarted(a *attempt, at int64) {
	if a.running {
		return
	}
	a.running, a.startedAt = true, at
	if a.job.state == StateHeld {
		a.job.state = StateRunning
	}
	a.job.startRefusals = 0
	a.job.addRecord(c.now, a.number, "Started", "")
}

func (c *Core) attemptFinished(a *attempt) {
	j := a.job
	for _, s := range a.spans {
		c.recordSuccess(s.worker, a)
	}
	if a.running {
		c.history.add(workspaceClass{j.Workspace, j.Class}, int64(j.DeclaredRunTime), j.checkpointedRunTime+c.now-a.startedAt)
	}
	c.release(a)
	j.current = nil
	if j.state != StateEnded {
		c.markEnded(j, "Finished", "")
	}
}

// startRefused queues the job of a again after a refused hold, commit or start. The refusing worker gets no new
// attempts for a second, and the job waits as given by refusalBackoff.
func (c *Core) startRefused(a *attempt, e Event) {
	j := a.job
	c.endProbe(a)
	c.release(a)
	j.current = nil
	if j.state == StateEnded {
		return
	}
	if w := c.fleet.workers[e.Worker]; w != nil {
		w.blockedUntil = c.now + second
		c.blockedWorkers = append(c.blockedWorkers, w)
	}
	j.notBefore = c.now + min(refusalBackoff<<min(j.startRefusals, 10), refusalBackoffMax)
	j.startRefusals++
	j.addRecord(c.now, a.number, "NotStarted", e.Cause)
	c.enqueue(j)
}

// attemptStopped ends an attempt whose members have all stopped. onRequest reports whether they stopped on
// request rather than with the loss of their worker.
func (c *Core) attemptStopped(a *attempt, reason string, onRequest bool) {
	j := a.job
	c.endProbe(a)
	if onRequest && a.running && a.checkpointAllowed {
		j.checkpointedRunTime += c.now - a.startedAt
	}
	c.release(a)
	if a.unexpected {
		delete(c.unexpected, unexpectedKey{j.Key(), a.number})
		return
	}
	j.current = nil
	switch {
	case j.state == StateEnded:
	case j.NonIdempotent:
		c.endJob(j, "may have run and runs at most once: "+reason)
	default:
		j.addRecord(c.now, a.number, "Stopped", reason)
		c.enqueue(j)
	}
}

// dropClaim abandons a claim whose victims have not all stopped, and queues its job again unless the job has ended.
func (c *Core) dropClaim(a *attempt, reason string) {
	j := a.job
	c.claims = without(c.claims, a)
	c.releaseCharges(a)
	c.unprotect(a)
	for _, s := range a.spans {
		s.worker.claimed = s.worker.claimed.minus(j.need.times(s.count))
		c.updateSums(s.worker)
	}
	j.current = nil
	c.capacityFreed()
	if j.state != StateEnded {
		j.addRecord(c.now, 0, "Queued", reason)
		c.enqueue(j)
	}
}
