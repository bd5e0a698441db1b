package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"persimmontrail/internal/assessor"
	"persimmontrail/pkg/descriptor"
)

const (
	// maxReportAge is the age from which a worker's last report is too old to place new work on it. Agents report at
	// least every 700 ms.
	maxReportAge = 1500 * time.Millisecond
	// provingTime is how long an attempt must work before it says something for its worker.
	provingTime = time.Second
	// minStall is the least time without progress, by the worker's clock, after which an attempt counts as stalled.
	minStall = 600 * time.Millisecond
	// stallPercent is the percentage of the run time after which an attempt without progress counts as stalled.
	// startStallPercent replaces it for an attempt that is still at 0 percent: only an estimate of its run time is known,
	// which may be too short by a factor of ten.
	stallPercent      = 6
	startStallPercent = 16
	// maxStartConfirmation is how long an attempt whose start has no deadline may be unconfirmed before it is stopped. It
	// covers a call with orders and two reports.
	maxStartConfirmation = 2500 * time.Millisecond
	// minRefusalPause is how long a worker gets no start after it has refused one. The pause doubles with each refusal
	// after it, up to maxRefusalPause, until the worker accepts a start, and ends on the grid of refusalPlanInterval. The longest pause leaves time to start a task
	// within 3 s of the end of whatever made the worker refuse.
	minRefusalPause = 100 * time.Millisecond
	maxRefusalPause = 1600 * time.Millisecond
	// refusalPlanInterval is the grid of the plans that repeated refusals ask for. Each plan costs a write, and on a fleet
	// that refuses everything each worker would ask for one at another time.
	refusalPlanInterval = 100 * time.Millisecond
	// stopRetryInterval is the time after which an unconfirmed stop order is repeated.
	stopRetryInterval = 1200 * time.Millisecond
)

// worker is the worker on a node, as its agent last reported it.
type worker struct {
	node        string
	incarnation descriptor.Incarnation
	status      descriptor.WorkerStatus
	// statusKnown is true when a report of this incarnation has arrived, and the node was not removed since.
	statusKnown bool
	// lastReportAt is when the last report arrived.
	lastReportAt time.Time
	// recordedSeq is the sequence number up to which the ended attempts of this incarnation are recorded in the progress.
	recordedSeq int64
	// attempts holds all attempts that may occupy the worker, including those being stopped.
	attempts map[descriptor.AttemptID]*attempt

	// quarantinedUntil is the earliest end of the last period in which the worker was avoided.
	quarantinedUntil time.Time
	// speed holds the samples of the speed of this incarnation.
	speed speedSamples
	// slowness is slownessOf the worker at the last plan.
	slowness int
	// startsPausedUntil is when the worker may get a start again after it has refused one.
	startsPausedUntil time.Time
	// refusalPause is the length of the last such pause; 0 after the worker has accepted a start.
	refusalPause time.Duration
}

// Observation is an agent's report of the worker on its node, made for the current leader.
type Observation struct {
	Node   string
	Status descriptor.WorkerStatus
	// Clock is the worker clock at which the lists were current.
	Clock   descriptor.WorkerClock
	Running []descriptor.AttemptStatus
	// Ended lists ended attempts that are not acknowledged yet.
	Ended []descriptor.AttemptEnd
	// AllEnds is true if Ended holds all of them. Only then does it mean anything that an attempt is listed neither as
	// running nor as ended.
	AllEnds bool
	// Received is when the report arrived.
	Received time.Time
}

// workerOn returns the worker on a node, adding it on first use.
func (c *Core) workerOn(node string) *worker {
	w := c.workers[node]
	if w == nil {
		w = &worker{node: node, attempts: map[descriptor.AttemptID]*attempt{}}
		c.workers[node] = w
	}
	return w
}

// Observe processes a report and returns the stop orders that follow from it. Reports must arrive in the order in which
// the agent made them, and those of one incarnation in the order of their clocks.
func (c *Core) Observe(o Observation) []Order {
	w := c.workerOn(o.Node)
	var orders []Order
	if w.incarnation != o.Status.Incarnation {
		orders = c.beginIncarnation(w, o)
	}
	c.noteSilence(w, o.Received)
	if !w.statusKnown || o.Received.Sub(w.lastReportAt) >= maxReportAge || w.status.Draining != o.Status.Draining {
		c.planNeeded = true
	}
	w.status, w.statusKnown, w.lastReportAt = o.Status, true, o.Received
	delete(c.unheard, o.Node)
	for _, e := range o.Ended {
		if e.Seq > w.recordedSeq {
			w.recordedSeq = e.Seq
			c.currentJob = e.Task.Job
			c.handleEnd(w, e, o.Received)
		}
	}
	listed := make(map[descriptor.AttemptID]bool, len(o.Running)+len(o.Ended))
	for _, status := range o.Running {
		listed[status.AttemptID] = true
		c.currentJob = status.Task.Job
		if r := w.attempts[status.AttemptID]; r != nil {
			c.updateProgress(r, status, o.Clock, o.Received)
			continue
		}
		orders = append(orders, c.stopStray(w, status, o.Received)...)
	}
	if !o.AllEnds {
		return orders
	}
	for _, r := range w.sortedAttempts() {
		if !listed[r.id] {
			orders = append(orders, c.handleUnlisted(r, o)...)
		}
	}
	return orders
}

// beginIncarnation handles a restart of a worker. No attempt of the former incarnation is running any more, but a start
// order that is still on its way can take effect in the new incarnation, since the worker may keep its id and its clock
// begins anew. An attempt that the current leader ordered is removed only after the new incarnation has answered a stop.
// An attempt of a former leader stays if the lists of the new incarnation show it: they were read under the fence of the
// current leader, after which the worker refuses the order.
func (c *Core) beginIncarnation(w *worker, o Observation) []Order {
	attempts := w.sortedAttempts()
	if w.incarnation.Worker == o.Status.Incarnation.Worker {
		c.health.Restarted(w.healthID(), o.Received)
	}
	*w = worker{node: w.node, incarnation: o.Status.Incarnation, attempts: w.attempts, quarantinedUntil: w.quarantinedUntil}
	var orders []Order
	for _, r := range attempts {
		if r.job == nil || o.Status.Incarnation.Worker != r.incarnation.Worker {
			c.removeAttempt(r, o.Received, "worker has a new incarnation")
			continue
		}
		ordered := r.startDeadline != 0
		r.incarnation, r.confirmed, r.startDeadline, r.stopping, r.stopAnswered = w.incarnation, false, 0, false, 0
		r.percent, r.lastListed = 0, 0
		r.job.attemptChanges++
		if ordered {
			r.startDeadline = noStartDeadline
			orders = append(orders, c.orderStop(r, o.Received, causeWorkerLost, "worker has a new incarnation")...)
		}
	}
	return orders
}

// handleUnlisted handles an attempt that a report with all ends lists neither as running nor as ended.
func (c *Core) handleUnlisted(r *attempt, o Observation) []Order {
	switch {
	case r.stopAnswered != 0 && o.Clock > r.stopAnswered, r.job == nil && o.Clock > r.lastListed,
		!r.confirmed && o.Clock > r.startDeadline:
		// The worker has answered a stop, no longer lists an attempt that is not placed there, or can no longer carry out
		// an unanswered start.
		c.giveUp(r, o.Received, "not listed by the worker")
	case r.confirmed && o.Clock > r.lastListed:
		// A worker lists an attempt until its end is acknowledged, so the report that confirmed this attempt must have
		// come from another incarnation.
		return c.orderStop(r, o.Received, causeWorkerLost, "listed neither as running nor as ended")
	}
	return nil
}

// HandleStopped records that a worker answered a stop at the given worker clock. Answers of other incarnations are
// ignored.
func (c *Core) HandleStopped(node string, incarnation descriptor.Incarnation, id descriptor.AttemptID, clock descriptor.WorkerClock) {
	if w := c.workers[node]; w != nil && w.incarnation == incarnation && w.attempts[id] != nil {
		w.attempts[id].stopAnswered = clock
	}
}

// sortedAttempts returns the attempts sorted by task and number.
func (w *worker) sortedAttempts() []*attempt {
	attempts := slices.Collect(maps.Values(w.attempts))
	slices.SortFunc(attempts, func(a, b *attempt) int {
		return cmp.Or(a.id.Task.Compare(b.id.Task), cmp.Compare(a.id.Attempt, b.id.Attempt))
	})
	return attempts
}

// stopStray stops an attempt that a worker reports but that is not placed there.
func (c *Core) stopStray(w *worker, status descriptor.AttemptStatus, now time.Time) []Order {
	// The attempt occupies room until the worker reports its end.
	r := &attempt{id: status.AttemptID, worker: w, incarnation: w.incarnation, started: now, confirmed: true, stopping: true, stopOrderedAt: now}
	if j := c.jobs[status.Task.Job]; j != nil && j.has(status.Task) {
		r.need = j.step(status.Task.Step).Need()
	}
	w.attempts[status.AttemptID] = r
	return []Order{{Node: w.node, Incarnation: w.incarnation, Attempt: status.AttemptID, Stop: true, Reason: "attempt is not placed on this worker"}}
}

// updateProgress takes over the progress and checkpoint of an attempt from a report made at the given worker clock. The
// first report that lists an attempt confirms it.
func (c *Core) updateProgress(r *attempt, status descriptor.AttemptStatus, clock descriptor.WorkerClock, now time.Time) {
	if !r.confirmed {
		r.started, r.firstListed, r.lastProgress = now, clock, clock
		c.confirm(r)
	}
	r.lastListed = max(r.lastListed, clock)
	if status.Percent != r.percent {
		r.percent, r.lastProgress = status.Percent, clock
	}
	if status.Checkpoint != "" && status.Checkpoint != r.checkpoint {
		r.checkpoint, r.checkpointAt = status.Checkpoint, now
	}
	c.noteProven(r, now)
	c.recordProjectedRunTime(r)
	c.noteSpeed(r, now)
}

// confirm records that an attempt was reported as running.
func (c *Core) confirm(r *attempt) {
	r.confirmed = true
	r.worker.refusalPause = 0
	if r.job == nil {
		return
	}
	c.noteExpectedQuantiles(r)
	r.job.attemptChanges++
	if !r.job.progress.Begun {
		r.job.progress.Begun = true
		c.dirty[r.job.id()] = true
	}
}

// RecordedSeq returns the incarnation of the worker on a node, and the sequence number up to which its ended attempts
// are recorded in the progress. Both are zero for an unknown node.
func (c *Core) RecordedSeq(node string) (descriptor.Incarnation, int64) {
	w := c.workers[node]
	if w == nil {
		return descriptor.Incarnation{}, 0
	}
	return w.incarnation, w.recordedSeq
}

// RemoveNode removes all attempts on a node whose worker has left, so that none of them can still run.
func (c *Core) RemoveNode(node string, now time.Time, reason string) {
	c.removeNode(node, func(r *attempt) { c.giveUp(r, now, reason) })
}

// ExpireNode removes all attempts on a node where the deadline until which the worker may keep its attempts has passed.
// Ends that the worker lists later do not count, since none of them was acknowledged before that deadline.
func (c *Core) ExpireNode(node string, now time.Time, reason string) {
	c.removeNode(node, func(r *attempt) { c.removeAttempt(r, now, reason) })
}

func (c *Core) removeNode(node string, remove func(*attempt)) {
	w := c.workers[node]
	if w == nil {
		return
	}
	for _, r := range w.sortedAttempts() {
		remove(r)
	}
	w.statusKnown = false
}

// NodesWithAttempts returns the nodes that may be running attempts.
func (c *Core) NodesWithAttempts() []string {
	var names []string
	for _, w := range c.sortedWorkers() {
		if len(w.attempts) > 0 {
			names = append(names, w.node)
		}
	}
	return names
}

// maxGivenUp bounds the attempts of one task in GivenUp, which is part of a stored document.
const maxGivenUp = 8

// giveUp removes an attempt that is not running any more although its end was not listed. The worker may list the end
// later, so the attempt is noted in GivenUp.
func (c *Core) giveUp(r *attempt, now time.Time, reason string) {
	if r.current() && r.job.nonfinal() && !r.job.taskDone(r.id.Task) && !r.job.step(r.id.Task.Step).Service {
		r.job.noteGivenUp(r.id)
		c.dirty[r.job.id()] = true
	}
	c.removeAttempt(r, now, reason)
}

// noteGivenUp adds an attempt to GivenUp, in the place of the oldest one of its task if there are maxGivenUp.
func (j *job) noteGivenUp(id descriptor.AttemptID) {
	x := taskAttemptOf(id)
	sameTask := func(o TaskAttempt) bool {
		return o.Occurrence == x.Occurrence && o.Step == x.Step && o.Index == x.Index
	}
	count := 0
	for _, o := range j.progress.GivenUp {
		if sameTask(o) {
			count++
		}
	}
	if count >= maxGivenUp {
		oldest := slices.IndexFunc(j.progress.GivenUp, sameTask)
		j.progress.GivenUp = slices.Delete(j.progress.GivenUp, oldest, oldest+1)
	}
	j.progress.GivenUp = append(j.progress.GivenUp, x)
}

// removeAttempt removes an attempt that is not running any more. Its task becomes pending again, unless it has ended
// or was placed anew.
func (c *Core) removeAttempt(r *attempt, now time.Time, reason string) {
	c.planNeeded = true
	delete(r.worker.attempts, r.id)
	if r.job == nil || r.job.activeAttempts[r.id.Task] != r {
		return
	}
	r.job.dropActive(r.id.Task)
	if r.job.taskDone(r.id.Task) {
		return
	}
	t := r.job.task(r.id.Task)
	if t.State == TaskPlaced && t.Attempt == r.id.Attempt {
		c.noteDiscarded(r, causeWorkerLost, now)
		t.State = TaskPending
		if r.checkpoint != "" {
			t.Checkpoint = r.checkpoint
		}
		c.dirty[r.job.id()] = true
		c.logEvent("attempt removed", r.job.id(), "task", r.id.Task, "run", r.id.Attempt, "node", r.worker.node, "reason", reason)
	}
}

// HandleRefused processes the answer that a start was refused, by the worker or its agent. The attempt is removed unless
// it was already confirmed; if it is, the worker gets no start for a while, whatever the reason. Refusals that the worker would
// repeat count against its health as well. Answers of other incarnations are ignored.
func (c *Core) HandleRefused(node string, incarnation descriptor.Incarnation, id descriptor.AttemptID, refusal descriptor.Refusal, now time.Time) {
	w := c.workers[node]
	if w == nil || w.incarnation != incarnation {
		return
	}
	switch refusal {
	case descriptor.RefusedBusy, descriptor.RefusedInvalid, descriptor.RefusedIncarnation, descriptor.RefusedStaleAttempt:
		// What is known of the worker is out of date, and it would refuse the same order again.
		c.health.Note(w.healthID(), assessor.Refused, now)
	}
	r := w.attempts[id]
	if r != nil && r.confirmed {
		return
	}
	c.pauseStarts(w, now)
	if r == nil {
		return
	}
	planNeeded := c.planNeeded
	c.removeAttempt(r, now, "start refused: "+string(refusal))
	if !c.lastRefusalAt.IsZero() && now.Sub(c.lastRefusalAt) <= 2*refusalPlanInterval {
		c.planNeeded = planNeeded
		c.planBy(c.nextRefusalPlan(now))
	}
	c.lastRefusalAt = now
}

// nextRefusalPlan returns the first point of the grid of refusalPlanInterval after now.
func (c *Core) nextRefusalPlan(now time.Time) time.Time {
	if c.refusalGrid.IsZero() {
		c.refusalGrid = now
	}
	return c.refusalGrid.Add(now.Sub(c.refusalGrid).Truncate(refusalPlanInterval) + refusalPlanInterval)
}

// DropStart removes an attempt whose start was not sent, since StartAllowed ruled it out.
func (c *Core) DropStart(o Order, now time.Time) {
	w := c.workers[o.Node]
	if w == nil || w.incarnation != o.Incarnation {
		return
	}
	if r := w.attempts[o.Attempt]; r != nil && !r.confirmed {
		c.removeAttempt(r, now, "start not sent, no longer allowed")
	}
}

// pauseStarts keeps starts from a worker that has refused one. Refusals during a pause do not lengthen it.
func (c *Core) pauseStarts(w *worker, now time.Time) {
	if now.Before(w.startsPausedUntil) {
		return
	}
	w.refusalPause = min(max(2*w.refusalPause, minRefusalPause), maxRefusalPause)
	w.startsPausedUntil = c.nextRefusalPlan(now.Add(w.refusalPause - 1))
}

// HandleStarted processes a worker's answer that an attempt is present at the given worker clock. Answers of other
// incarnations are ignored.
func (c *Core) HandleStarted(node string, incarnation descriptor.Incarnation, id descriptor.AttemptID, clock descriptor.WorkerClock, now time.Time) {
	w := c.workers[node]
	if w == nil || w.incarnation != incarnation {
		return
	}
	if r := w.attempts[id]; r != nil && !r.confirmed {
		r.started, r.firstListed, r.lastProgress, r.lastListed = now, clock, clock, clock
		c.confirm(r)
	}
}

// StartAllowed reports whether a start order may still be sent. Reports and cancellations can rule it out while the
// progress is written to the store.
func (c *Core) StartAllowed(o Order, now time.Time) bool {
	w := c.workers[o.Node]
	if w == nil || w.incarnation != o.Incarnation || !c.usable(w, now) {
		return false
	}
	r := w.attempts[o.Attempt]
	return r != nil && !r.stopping && r.job != nil && r.job.nonfinal() && !r.job.record.Cancelled
}

// SetStartDeadline sets the worker clock until which a start order that was sent may take effect.
func (c *Core) SetStartDeadline(node string, id descriptor.AttemptID, deadline descriptor.WorkerClock) {
	if w := c.workers[node]; w != nil {
		if r := w.attempts[id]; r != nil {
			r.startDeadline = deadline
		}
	}
}

// handleEnd processes an ended attempt that a worker reported, before the end may be acknowledged. Its room is freed, and
// its task becomes pending or, after a success, done; tasks of service steps always become pending.
func (c *Core) handleEnd(w *worker, e descriptor.AttemptEnd, now time.Time) {
	c.planNeeded = true
	r := w.attempts[e.AttemptID]
	delete(w.attempts, e.AttemptID)
	j := c.jobs[e.Task.Job]
	if j == nil || !j.has(e.Task) {
		return
	}
	if r != nil && r.current() {
		j.dropActive(e.Task)
	}
	if j.taskDone(e.Task) {
		return
	}
	t := j.task(e.Task)
	if t.State != TaskPlaced || t.Attempt != e.Attempt {
		c.handleLateEnd(w, j, e, t, now)
		return
	}
	c.logEvent("attempt ended", j.id(), "task", e.Task, "run", e.Attempt, "node", w.node, "outcome", e.Outcome,
		"fails", t.FailedAttempts, "percent", lastPercent(r))
	if r != nil && e.Outcome != descriptor.OutcomeDone {
		c.noteDiscarded(r, causeOfOutcome[e.Outcome], now)
	}
	c.dirty[j.id()] = true
	t.State = TaskPending
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	} else if r != nil && r.checkpoint != "" {
		t.Checkpoint = r.checkpoint
	}
	step := j.step(e.Task.Step)
	if step.Service {
		return
	}
	switch e.Outcome {
	case descriptor.OutcomeDone:
		c.handleDone(j, e, r, w, now)
	case descriptor.OutcomeFailed:
		c.handleFailed(j, e, t, w, now)
	case descriptor.OutcomeRefused:
		// The reason is not known, so the worker may refuse the next start as well.
		c.health.Note(w.healthID(), assessor.Refused, now)
		c.pauseStarts(w, now)
	}
}

// handleLateEnd processes the end of an attempt that is not the current one of its task, which is not done. It counts if
// the attempt was given up. Otherwise it was counted before, and is listed again because its acknowledgement was lost or a
// former leader recorded it, or the hold deadline has passed since.
func (c *Core) handleLateEnd(w *worker, j *job, e descriptor.AttemptEnd, t *Task, now time.Time) {
	if !j.nonfinal() || j.step(e.Task.Step).Service || e.Attempt > t.Attempt {
		return
	}
	if !j.takeGivenUp(e.AttemptID) {
		return
	}
	c.dirty[j.id()] = true
	if e.Outcome != descriptor.OutcomeDone && e.Outcome != descriptor.OutcomeFailed {
		return
	}
	c.logEvent("attempt ended after it was given up", j.id(), "task", e.Task, "run", e.Attempt, "node", w.node, "outcome", e.Outcome,
		"fails", t.FailedAttempts, "newest", t.Attempt)
	if e.Outcome == descriptor.OutcomeFailed {
		c.handleFailed(j, e, t, w, now)
		return
	}
	tasks := j.tasks(e.Task.Occurrence, e.Task.Step)
	for i := range tasks {
		if i == e.Task.Index || j.step(e.Task.Step).Gang {
			tasks[i].markDone()
		}
	}
	// The next plan stops a newer attempt.
	c.completeOccurrence(j, e.Task.Occurrence, now)
}

// takeGivenUp removes an attempt from GivenUp, with all other members of its gang, and reports whether it was there.
func (j *job) takeGivenUp(id descriptor.AttemptID) bool {
	x := taskAttemptOf(id)
	found := slices.Contains(j.progress.GivenUp, x)
	if found {
		j.progress.GivenUp = slices.DeleteFunc(j.progress.GivenUp, func(o TaskAttempt) bool {
			return o == x || j.step(x.Step).Gang && o.Occurrence == x.Occurrence && o.Step == x.Step && o.Attempt == x.Attempt
		})
	}
	return found
}

// lastPercent returns the last reported progress of an attempt, or -1 when r is nil.
func lastPercent(r *attempt) int {
	if r == nil {
		return -1
	}
	return r.percent
}

// handleDone processes the success of an attempt.
func (c *Core) handleDone(j *job, e descriptor.AttemptEnd, r *attempt, w *worker, now time.Time) {
	if r != nil {
		c.health.Succeeded(w.healthID(), assessor.JobID(j.id()), r.started, now)
	}
	if r != nil && r.confirmed && r.checkpoint == "" {
		c.learnFromSuccess(r, now)
		c.addRunTimeSample(j, e.Task.Step, now.Sub(r.started))
	}
	tasks := j.tasks(e.Task.Occurrence, e.Task.Step)
	if !j.step(e.Task.Step).Gang {
		tasks[e.Task.Index].markDone()
	} else {
		// One end counts for the whole gang. The other members occupy room until their workers report their ends.
		for i := range tasks {
			if tasks[i].Attempt == e.Attempt {
				tasks[i].markDone()
				id := descriptor.TaskID{Job: j.id(), Occurrence: e.Task.Occurrence, Step: e.Task.Step, Index: i}
				if m := j.activeAttempts[id]; m != nil {
					c.health.Succeeded(m.worker.healthID(), assessor.JobID(j.id()), m.started, now)
				}
				j.dropActive(id)
			}
		}
	}
	j.progress.GivenUp = slices.DeleteFunc(j.progress.GivenUp, func(o TaskAttempt) bool {
		return j.taskDone(descriptor.TaskID{Job: j.id(), Occurrence: o.Occurrence, Step: o.Step, Index: o.Index})
	})
	c.completeOccurrence(j, e.Task.Occurrence, now)
}

// completeOccurrence marks occurrence k as done when all of its steps are, and the workload when all occurrences are.
func (c *Core) completeOccurrence(j *job, k int, now time.Time) {
	for s := range j.record.Workload.Steps {
		if !j.stepDone(k, s) {
			return
		}
	}
	c.recordService(j, k, true, now)
	*j.occurrence(k) = Occurrence{Done: true}
	for s := range j.record.Workload.Steps {
		delete(j.gangPresences, stepOf{k, s})
	}
	ofOccurrence := func(a TaskAttempt) bool { return a.Occurrence == k }
	j.progress.GivenUp = slices.DeleteFunc(j.progress.GivenUp, ofOccurrence)
	j.progress.FailedGangs = slices.DeleteFunc(j.progress.FailedGangs, ofOccurrence)
	if j.firstOpenOccurrence() < j.record.Workload.Occurrences() {
		return
	}
	if j.nonfinal() {
		c.setState(j, JobDone)
		c.logEvent("workload done", j.id())
	}
}

// handleFailed processes a failed attempt; the workload fails with the task's MaxAttempts-th failure. A gang fails as a
// whole, so its members share one count, and several that fail in one attempt count once.
func (c *Core) handleFailed(j *job, e descriptor.AttemptEnd, t *Task, w *worker, now time.Time) {
	j.noteFailure(e.Task, w.incarnation.Worker)
	if j.failedSteps == nil {
		j.failedSteps = map[int]bool{}
	}
	j.failedSteps[e.Task.Step] = true
	c.health.Failed(w.healthID(), assessor.JobID(j.id()), now)
	if j.step(e.Task.Step).Gang {
		gang := taskAttemptOf(e.AttemptID)
		gang.Index = 0
		if slices.Contains(j.progress.FailedGangs, gang) {
			return
		}
		j.progress.FailedGangs = append(j.progress.FailedGangs, gang)
	}
	failedAttempts := t.FailedAttempts + 1
	t.FailedAttempts = failedAttempts
	if j.step(e.Task.Step).Gang {
		tasks := j.tasks(e.Task.Occurrence, e.Task.Step)
		for i := range tasks {
			tasks[i].FailedAttempts = failedAttempts
		}
	}
	if failedAttempts >= j.record.Workload.MaxAttempts && j.nonfinal() {
		c.setState(j, JobFailed)
		c.logEvent("workload failed", j.id(), "task", e.Task, "attempts", failedAttempts)
	}
}

// free returns the capacity of w that no attempt occupies; attempts being stopped still do.
func (w *worker) free() descriptor.Capacity {
	f := w.status.Capacity
	for _, r := range w.attempts {
		f = f.Minus(r.need)
	}
	return f
}

// stoppingCapacity returns the capacity that attempts being stopped still occupy.
func (w *worker) stoppingCapacity() descriptor.Capacity {
	var sum descriptor.Capacity
	for _, r := range w.attempts {
		if r.stopping {
			sum = sum.Plus(r.need)
		}
	}
	return sum
}

// usable reports whether new work may be placed on w: it has reported within maxReportAge, is not draining and is in no
// excluded failure domain.
func (c *Core) usable(w *worker, now time.Time) bool {
	return w.statusKnown && !w.status.Draining && now.Sub(w.lastReportAt) < maxReportAge && !c.excludedDomains[w.status.FailureDomain]
}
