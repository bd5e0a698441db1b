package replayer

import (
	"fmt"
	"time"

	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

// applyDecisions asks the core of a region for its decisions and carries them out. A decision about an unknown job counts as
// invalid. Afterwards, the ended jobs of the region are removed.
func (r *replay) applyDecisions(g *region) {
	for _, d := range g.core.Decide(r.now) {
		j := r.jobsByKey[d.Key]
		if j == nil {
			r.report.InvalidDecisions++
			continue
		}
		switch d.Kind {
		case scheduler.DecisionStart:
			r.applyStart(g, j, d)
		case scheduler.DecisionReclaim:
			r.applyReclaim(j, d)
		case scheduler.DecisionStop:
			r.applyStop(j, d)
		case scheduler.DecisionEnd:
			r.applyEnd(j, d)
		}
	}
	g.removeEndedJobs()
}

// recordInvalidDecision counts a decision that cannot be carried out. The report keeps the first ten reasons.
func (r *replay) recordInvalidDecision(j *job, reason string) {
	r.report.InvalidDecisions++
	if len(r.report.InvalidReasons) < 10 {
		at := r.now.Sub(r.trace.Header.Start)
		r.report.InvalidReasons = append(r.report.InvalidReasons, fmt.Sprintf("%v %v attempt %d: %s", at, j.Key(), j.attempt, reason))
	}
}

// applyStart reserves the resources of the placement. All members start after startDelay. If the job does not wait, its
// cancellation was requested or the placement is invalid, the decision counts as invalid; the core is notified of an invalid
// placement.
func (r *replay) applyStart(g *region, j *job, d scheduler.Decision) {
	if j.state.holdsResources() && j.memberLost {
		// The core starts a new attempt although the surviving members of the previous one have not stopped.
		r.report.PartialGangs++
		r.countLostWork(j, &r.report.LostToFailures)
		r.release(j)
	}
	if j.state != jobWaiting || j.cancelRequested {
		r.recordInvalidDecision(j, "start of a job that does not wait")
		return
	}
	if reason := r.validatePlacement(j, d.Placement); reason != "" {
		r.recordInvalidDecision(j, reason)
		g.core.HandleEvent(scheduler.Event{Key: d.Key, Attempt: d.Attempt, Kind: scheduler.EventNotStarted, Cause: reason}, r.now)
		return
	}
	if r.usesRemovedDomain(d.Placement) {
		r.report.StartsInRemovedDomain++
	}
	r.accumulateWait(j)
	j.state = jobStarting
	j.attempt = d.Attempt
	j.placement = d.Placement
	j.startedAt = time.Time{}
	j.memberLost = false
	r.adjustFreeResources(j, 1)
	r.scheduleAfter(startDelay, func() { r.startMembers(g, j, d.Attempt) })
}

// validatePlacement checks a placement against the replay's own record of the fleet. It returns the reason why the placement
// is invalid, or an empty string if it is valid.
func (r *replay) validatePlacement(j *job, placement []scheduler.Assignment) string {
	seenTasks := make(map[int]bool)
	adjacencyUnits := make(map[string]bool)
	for _, a := range placement {
		m := r.workersByID[a.Worker]
		if m == nil {
			return "placement on an unknown worker"
		}
		// While lossPending is set, the core cannot know that the worker is down.
		if !m.up && !m.lossPending {
			return "placement on a worker that is gone"
		}
		if m.up && !m.fits(j.PerTask, len(a.Tasks)) {
			return "placement without room on " + string(a.Worker)
		}
		for _, t := range a.Tasks {
			if t < 0 || t >= j.Tasks || seenTasks[t] {
				return "task index missing or repeated"
			}
			seenTasks[t] = true
		}
		adjacencyUnits[adjacencyUnit(m.Worker, j.Adjacency)] = true
	}
	if len(seenTasks) != j.Tasks {
		return "partial gang"
	}
	if len(adjacencyUnits) > 1 && j.PerTask.Accelerators > 0 {
		return "placement is not adjacent"
	}
	return ""
}

// adjacencyUnit returns the name of the adjacency unit of w at the given level, that is, its worker, rack or failure domain.
// Accelerators in the same unit count as adjacent at that level.
func adjacencyUnit(w descriptor.Worker, level descriptor.Level) string {
	switch level {
	case descriptor.LevelWorker:
		return string(w.ID)
	case descriptor.LevelRack:
		return string(w.FailureDomain) + "/" + string(w.Rack)
	}
	return string(w.FailureDomain)
}

// fits reports whether the free resources of the worker suffice for the given number of tasks.
func (m *workerState) fits(perTask descriptor.Resources, tasks int) bool {
	// Reserving and freeing fractional cores accumulates rounding errors.
	const tolerance = 1e-6
	n := descriptor.Accelerators(tasks)
	return m.free.Accelerators >= perTask.Accelerators*n && m.free.Memory >= perTask.Memory*descriptor.Megabytes(tasks) &&
		m.free.Cores+tolerance >= perTask.Cores*descriptor.Cores(tasks)
}

// usesRemovedDomain reports whether a placement includes a worker in a failure domain that is out of service.
func (r *replay) usesRemovedDomain(placement []scheduler.Assignment) bool {
	for _, a := range placement {
		if r.removedDomains[r.workersByID[a.Worker].FailureDomain] {
			return true
		}
	}
	return false
}

// adjustFreeResources reserves (sign 1) or frees (sign -1) the resources of the job's placement.
func (r *replay) adjustFreeResources(j *job, sign int) {
	for _, a := range j.placement {
		n := sign * len(a.Tasks)
		free := &r.workersByID[a.Worker].free
		free.Accelerators -= j.PerTask.Accelerators * descriptor.Accelerators(n)
		free.Cores -= j.PerTask.Cores * descriptor.Cores(n)
		free.Memory -= j.PerTask.Memory * descriptor.Megabytes(n)
	}
}

// release frees the resources of the current attempt and returns the job to the waiting state.
func (r *replay) release(j *job) {
	r.adjustFreeResources(j, -1)
	j.placement = nil
	j.startedAt = time.Time{}
	j.memberLost = false
	j.state = jobWaiting
	j.waitingSince = r.now
	j.entitledSince = time.Time{}
}

// startMembers starts all members of an attempt, unless the attempt has ended or is being stopped. The start is refused if a
// worker is down or its failure domain is out of service.
func (r *replay) startMembers(g *region, j *job, attempt descriptor.Attempt) {
	if j.attempt != attempt || j.state != jobStarting {
		return
	}
	for _, a := range j.placement {
		m := r.workersByID[a.Worker]
		if !m.up || r.removedDomains[m.FailureDomain] {
			r.release(j)
			g.core.HandleEvent(scheduler.Event{Key: j.Key(), Attempt: attempt, Kind: scheduler.EventNotStarted, Worker: a.Worker, Cause: "refused by the agent"}, r.now)
			return
		}
	}
	j.state = jobRunning
	j.startedAt = r.now
	j.starts++
	if j.NonIdempotent && j.starts > 1 {
		r.report.RepeatedRuns++
	}
	g.core.HandleEvent(scheduler.Event{Key: j.Key(), Attempt: attempt, Kind: scheduler.EventStarted}, r.now)
	r.scheduleEnd(j, attempt)
}

// scheduleEnd schedules the end that an attempt reaches unless it is stopped or loses a member before: a task failure on a bad
// worker, a failure of the job itself, or completion.
func (r *replay) scheduleEnd(j *job, attempt descriptor.Attempt) {
	for _, a := range j.placement {
		if r.workersByID[a.Worker].bad {
			r.scheduleAfter(badWorkerDelay, func() {
				r.attemptStopped(j, attempt, scheduler.EventTaskFailed, a.Worker, "the worker fails everything")
			})
			return
		}
	}
	if j.fails {
		worker := j.placement[0].Worker
		r.scheduleAfter(failingJobDelay, func() {
			r.attemptStopped(j, attempt, scheduler.EventTaskFailed, worker, "exit status 1")
		})
		return
	}
	r.scheduleAfter(r.remainingTime(j), func() { r.attemptCompleted(j, attempt) })
}

// remainingTime returns the run time of a new attempt, including the time to load a checkpoint if there is one.
func (r *replay) remainingTime(j *job) time.Duration {
	if j.progress == 0 {
		return j.runTime
	}
	return j.runTime - j.progress + r.trace.Header.CheckpointTime.TimeDuration()
}

// attemptCompleted ends the job as completed, unless the attempt has been stopped or has lost a member.
func (r *replay) attemptCompleted(j *job, attempt descriptor.Attempt) {
	if j.attempt != attempt || j.state != jobRunning || j.memberLost {
		return
	}
	r.release(j)
	r.endJob(j, jobCompleted, "")
	r.region(j.Region).core.HandleEvent(scheduler.Event{Key: j.Key(), Attempt: attempt, Kind: scheduler.EventFinished}, r.now)
}

// attemptStopped handles an attempt all of whose members have ended, by a stop or by a failure, before the job has completed.
func (r *replay) attemptStopped(j *job, attempt descriptor.Attempt, kind scheduler.EventKind, worker descriptor.WorkerID, cause string) {
	if j.attempt != attempt || !j.state.holdsResources() {
		return
	}
	if j.state == jobStopping && kind != scheduler.EventStopped {
		// The stop in progress will report the end of the attempt.
		return
	}
	if kind == scheduler.EventTaskFailed {
		r.countLostWork(j, &r.report.LostToFailures)
	}
	r.release(j)
	if j.cancelRequested {
		r.endJob(j, jobCancelled, "cancelled")
	}
	r.region(j.Region).core.HandleEvent(scheduler.Event{Key: j.Key(), Attempt: attempt, Kind: kind, Worker: worker, Cause: cause}, r.now)
}

// usefulTime returns how long the current attempt has run, without the time to load a checkpoint.
func (r *replay) usefulTime(j *job) time.Duration {
	if j.startedAt.IsZero() {
		return 0
	}
	d := r.now.Sub(j.startedAt)
	if j.progress > 0 {
		d -= r.trace.Header.CheckpointTime.TimeDuration()
	}
	return max(0, d)
}

// countLostWork adds the work of the current attempt, in accelerator hours, to total and subtracts it from the fault windows.
func (r *replay) countLostWork(j *job, total *float64) {
	work := float64(j.Accelerators()) * r.usefulTime(j).Hours()
	*total += work
	r.subtractFromWindows(work)
}

// subtractFromWindows subtracts lost work, in accelerator hours, from the fault windows that contain the current time. Otherwise
// repeated work would count twice.
func (r *replay) subtractFromWindows(work float64) {
	at := r.now.Sub(r.trace.Header.Start)
	for i := range r.report.Windows {
		if w := &r.report.Windows[i]; at >= w.From && at < w.To {
			w.Work -= work
		}
	}
}

// applyReclaim writes a checkpoint and stops the attempt. If the grace period is shorter than the time to write a checkpoint,
// or the attempt has lost a member, no checkpoint is written and the work of the attempt is lost. An attempt that is still
// starting has no work to save.
func (r *replay) applyReclaim(j *job, d scheduler.Decision) {
	if j.attempt != d.Attempt || j.state != jobRunning && j.state != jobStarting {
		r.recordInvalidDecision(j, "reclaim of an attempt that does not run")
		return
	}
	checkpointTime := r.trace.Header.CheckpointTime.TimeDuration()
	delay := min(checkpointTime, d.Grace)
	switch {
	case j.memberLost:
		r.countLostWork(j, &r.report.LostToFailures)
		delay = stopDelay
	case j.state == jobStarting:
		r.report.Reclaims++
		delay = stopDelay
	case d.Grace < checkpointTime:
		r.report.Reclaims++
		r.countLostWork(j, &r.report.LostToReclaim)
	default:
		r.report.Reclaims++
		// The job makes no progress while the checkpoint is written and while it is loaded.
		r.report.LostToReclaim += float64(j.Accelerators()) * (2 * checkpointTime).Hours()
		// The fault windows count the accelerators of jobs in jobRunning. This includes the time for loading, which is therefore
		// subtracted, but not the time for writing, during which the job is in jobStopping.
		r.subtractFromWindows(float64(j.Accelerators()) * checkpointTime.Hours())
		j.progress += r.usefulTime(j)
	}
	j.state = jobStopping
	r.scheduleAfter(delay, func() { r.attemptStopped(j, d.Attempt, scheduler.EventStopped, "", d.Reason) })
}

// applyStop stops an attempt without a checkpoint. It ignores a decision about an attempt that has ended.
func (r *replay) applyStop(j *job, d scheduler.Decision) {
	if j.attempt != d.Attempt || !j.state.holdsResources() {
		return
	}
	if j.memberLost {
		r.countLostWork(j, &r.report.LostToFailures)
	}
	j.state = jobStopping
	r.scheduleAfter(stopDelay, func() { r.attemptStopped(j, d.Attempt, scheduler.EventStopped, "", d.Reason) })
}

// applyEnd ends a job that the core does not start again, for instance after failures on several workers. This counts as a
// wrong refusal unless the job fails on every worker or is not idempotent.
func (r *replay) applyEnd(j *job, d scheduler.Decision) {
	if j.state.ended() {
		return
	}
	if j.state.holdsResources() {
		r.release(j)
	}
	if !j.fails && !j.NonIdempotent {
		r.report.WrongRefusals++
	}
	if d.Reason == "" {
		r.recordInvalidDecision(j, "job ended without a reason")
	}
	r.endJob(j, jobRefused, d.Reason)
}
