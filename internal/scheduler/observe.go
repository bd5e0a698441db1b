package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Adopt takes over an attempt found in reports. An attempt that contradicts the view is stopped.
func (c *Core) Adopt(a Attempt, now time.Time) {
	c.begin(now)
	key := a.Job.Key()
	j := c.jobs[key]
	if c.unexpected[unexpectedKey{key, a.Number}] != nil {
		return
	}
	if j != nil && j.current != nil && j.current.number == a.Number && !j.current.claim {
		c.adoptKnown(j.current, a)
		return
	}
	reason := c.contradiction(j, a)
	if j == nil && reason == "" {
		j = c.newJob(a.Job, nanos(a.Accepted))
		c.jobs[key] = j
	}
	n := c.adopted(j, a)
	n.contradicts = reason != ""
	if n.contradicts && (j == nil || j.state != StateWaiting || j.current != nil || !n.attached()) {
		c.stopUnexpected(n, reason)
		return
	}
	if j.current != nil {
		c.dropClaim(j.current, "another attempt was found")
	}
	c.dequeue(j)
	c.takeOver(j, n)
	if n.contradicts && !n.leaving {
		// The job waits for the end of this attempt, so that no two attempts run at the same time.
		c.leave(n, 0, reason)
	}
}

func (c *Core) adoptKnown(n *attempt, a Attempt) {
	if a.Running && !n.running {
		c.started(n, nanos(a.StartedAt))
	}
}

// contradiction says why a cannot be taken over, or returns "".
func (c *Core) contradiction(j *job, a Attempt) string {
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
		w := c.view.workers[p.Worker]
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

// adopted builds the attempt of a on the workers that are known.
func (c *Core) adopted(j *job, a Attempt) *attempt {
	if j == nil {
		j = &job{Job: a.Job, accepted: nanos(a.Accepted), need: vectorOf(a.Job.PerTask)}
	}
	n := &attempt{job: j, number: a.Number, given: a.Placement, running: a.Running, startedAt: nanos(a.StartedAt)}
	for _, p := range a.Placement {
		w := c.view.workers[p.Worker]
		if w == nil || !w.up || slices.ContainsFunc(n.spans, func(s span) bool { return s.worker == w }) {
			continue
		}
		n.spans = append(n.spans, span{worker: w, count: len(p.Tasks)})
	}
	return n
}

func (c *Core) stopUnexpected(n *attempt, reason string) {
	n.unexpected = true
	if j := c.jobs[n.job.Key()]; j != nil {
		j.number = max(j.number, n.number)
	}
	c.unexpected[unexpectedKey{n.job.Key(), n.number}] = n
	c.attach(n)
	state := n.job.state
	c.leave(n, 0, reason)
	n.job.state = state
	if !n.attached() {
		delete(c.unexpected, unexpectedKey{n.job.Key(), n.number})
	}
}

func (c *Core) takeOver(j *job, n *attempt) {
	j.current, j.number = n, n.number
	n.length = c.remaining(j)
	c.attach(n)
	j.state = StateHeld
	if n.running {
		j.state = StateRunning
	}
	j.note(c.now, n.number, "Adopted", "found in reports")
	if n.contradicts {
		return
	}
	if c.Policy == PolicyGuaranteed && !c.charge(n) && j.NonIdempotent && !c.pin(n) {
		// Work that runs at most once is never reclaimed, even if a guarantee becomes impossible by it.
		c.makeFirm(n)
	}
	for _, s := range n.spans {
		if c.view.isOut(s.worker) {
			c.drain(s.worker)
		}
	}
}

// Observe says what became of an attempt. Events of unknown attempts are ignored.
func (c *Core) Observe(e Event, now time.Time) {
	c.begin(now)
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
		c.started(a, c.now)
	case EventFinished:
		c.finished(a)
	case EventTaskFailed:
		c.taskFailed(a, e)
	case EventNotStarted:
		c.notStarted(a, e)
	case EventStopped:
		c.stopped(a, cmp.Or(e.Cause, "stopped"), true)
	}
}

func (c *Core) started(a *attempt, at int64) {
	if a.running {
		return
	}
	a.running, a.startedAt = true, at
	if a.job.state == StateHeld {
		a.job.state = StateRunning
	}
	a.job.refusals = 0
	a.job.note(c.now, a.number, "Started", "")
}

func (c *Core) finished(a *attempt) {
	j := a.job
	for _, s := range a.spans {
		c.succeeded(s.worker, a)
	}
	if a.running {
		c.history.add(pair{j.Workspace, j.Class}, int64(j.DeclaredRunTime), j.ranFor+c.now-a.startedAt)
	}
	c.release(a)
	j.current = nil
	if j.state != StateEnded {
		c.finish(j, "Finished", "")
	}
}

func (c *Core) notStarted(a *attempt, e Event) {
	j := a.job
	c.endProbe(a)
	c.release(a)
	j.current = nil
	if j.state == StateEnded {
		return
	}
	if w := c.view.workers[e.Worker]; w != nil {
		w.blockedUntil = c.now + second
		c.blocked = append(c.blocked, w)
	}
	j.notBefore = c.now + min(refusedDelay<<min(j.refusals, 10), refusedDelayMax)
	j.refusals++
	j.note(c.now, a.number, "NotStarted", e.Cause)
	c.enqueue(j)
}

// stopped ends an attempt whose members are all gone. known says that the tasks were stopped on request,
// rather than lost with their worker.
func (c *Core) stopped(a *attempt, reason string, known bool) {
	j := a.job
	c.endProbe(a)
	if known && a.running && a.checkpointed {
		j.ranFor += c.now - a.startedAt
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
		c.end(j, "may have run and runs at most once: "+reason)
	default:
		j.note(c.now, a.number, "Stopped", reason)
		c.enqueue(j)
	}
}

// dropClaim gives up a start for which victims were still stopping.
func (c *Core) dropClaim(a *attempt, reason string) {
	j := a.job
	c.claims = without(c.claims, a)
	c.discharge(a)
	c.makeReclaimable(a)
	for _, s := range a.spans {
		s.worker.claimed = s.worker.claimed.minus(j.need.times(s.count))
		c.refresh(s.worker)
	}
	j.current = nil
	c.capacityFreed()
	if j.state != StateEnded {
		j.note(c.now, 0, "Queued", reason)
		c.enqueue(j)
	}
}
