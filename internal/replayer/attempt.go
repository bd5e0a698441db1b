package replayer

import (
	"fmt"
	"time"

	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

// decide carries out the decisions of a core.
func (r *replay) decide(g *region) {
	for _, d := range g.core.Decide(r.now) {
		j := r.jobs[d.Key]
		if j == nil {
			r.report.InvalidDecisions++
			continue
		}
		switch d.Kind {
		case scheduler.DecisionStart:
			r.start(g, j, d)
		case scheduler.DecisionReclaim:
			r.reclaim(j, d)
		case scheduler.DecisionStop:
			r.stop(j, d)
		case scheduler.DecisionEnd:
			r.endByCore(j, d)
		}
	}
	g.dropEnded()
}

func (r *replay) invalid(j *job, reason string) {
	r.report.InvalidDecisions++
	if len(r.report.InvalidReasons) < 10 {
		at := r.now.Sub(r.trace.Header.Start)
		r.report.InvalidReasons = append(r.report.InvalidReasons, fmt.Sprintf("%v %v attempt %d: %s", at, j.Key(), j.attempt, reason))
	}
}

// start reserves the placement and starts all members after startDelay.
func (r *replay) start(g *region, j *job, d scheduler.Decision) {
	if j.state.occupies() && j.lost {
		r.report.PartialGangs++
		r.lose(j, &r.report.LostToFailures)
		r.release(j)
	}
	if j.state != jobWaiting || j.cancelled {
		r.invalid(j, "start of a job that does not wait")
		return
	}
	if fault := r.faultOf(j, d.Placement); fault != "" {
		r.invalid(j, fault)
		g.core.Observe(scheduler.Event{Key: d.Key, Attempt: d.Attempt, Kind: scheduler.EventNotStarted, Cause: fault}, r.now)
		return
	}
	if r.placesInRemovedDomain(d.Placement) {
		r.report.StartsInRemovedDomain++
	}
	r.wait(j)
	j.state = jobStarting
	j.attempt = d.Attempt
	j.placement = d.Placement
	j.began = time.Time{}
	j.lost = false
	r.take(j, 1)
	r.after(startDelay, func() { r.run(g, j, d.Attempt) })
}

// faultOf checks a placement against the replay's own account of the fleet.
func (r *replay) faultOf(j *job, placement []scheduler.Assignment) string {
	seen := make(map[int]bool)
	units := make(map[string]bool)
	for _, a := range placement {
		m := r.workers[a.Worker]
		if m == nil {
			return "placement on an unknown worker"
		}
		if !m.up && !m.lost {
			return "placement on a worker that is gone"
		}
		if m.up && !m.fits(j.PerTask, len(a.Tasks)) {
			return "placement without room on " + string(a.Worker)
		}
		for _, t := range a.Tasks {
			if t < 0 || t >= j.Tasks || seen[t] {
				return "task index missing or repeated"
			}
			seen[t] = true
		}
		units[unitOf(m.Worker, j.Adjacency)] = true
	}
	if len(seen) != j.Tasks {
		return "partial gang"
	}
	if len(units) > 1 && j.PerTask.Accelerators > 0 {
		return "placement is not adjacent"
	}
	return ""
}

// unitOf names the worker, rack or failure domain in which accelerators are adjacent.
func unitOf(w descriptor.Worker, level descriptor.Level) string {
	switch level {
	case descriptor.LevelWorker:
		return string(w.ID)
	case descriptor.LevelRack:
		return string(w.FailureDomain) + "/" + string(w.Rack)
	}
	return string(w.FailureDomain)
}

func (m *machine) fits(per descriptor.Resources, tasks int) bool {
	// A small tolerance covers the rounding of fractional cores.
	const tolerance = 1e-6
	n := descriptor.Accelerators(tasks)
	return m.free.Accelerators >= per.Accelerators*n && m.free.Memory >= per.Memory*descriptor.Megabytes(tasks) &&
		m.free.Cores+tolerance >= per.Cores*descriptor.Cores(tasks)
}

func (r *replay) placesInRemovedDomain(placement []scheduler.Assignment) bool {
	for _, a := range placement {
		if r.out[r.workers[a.Worker].FailureDomain] {
			return true
		}
	}
	return false
}

// take reserves (sign 1) or frees (sign -1) the resources of an attempt.
func (r *replay) take(j *job, sign int) {
	for _, a := range j.placement {
		n := sign * len(a.Tasks)
		free := &r.workers[a.Worker].free
		free.Accelerators -= j.PerTask.Accelerators * descriptor.Accelerators(n)
		free.Cores -= j.PerTask.Cores * descriptor.Cores(n)
		free.Memory -= j.PerTask.Memory * descriptor.Megabytes(n)
	}
}

// release frees the resources of an attempt; the job waits again.
func (r *replay) release(j *job) {
	r.take(j, -1)
	j.placement = nil
	j.began = time.Time{}
	j.lost = false
	j.state = jobWaiting
	j.waitingSince = r.now
	j.entitledSince = time.Time{}
}

// run starts the members, unless an agent refuses.
func (r *replay) run(g *region, j *job, attempt descriptor.Attempt) {
	if j.attempt != attempt || j.state != jobStarting {
		return
	}
	for _, a := range j.placement {
		m := r.workers[a.Worker]
		if !m.up || r.out[m.FailureDomain] {
			r.release(j)
			g.core.Observe(scheduler.Event{Key: j.Key(), Attempt: attempt, Kind: scheduler.EventNotStarted, Worker: a.Worker, Cause: "refused by the agent"}, r.now)
			return
		}
	}
	j.state = jobRunning
	j.began = r.now
	j.runs++
	if j.NonIdempotent && j.runs > 1 {
		r.report.RepeatedRuns++
	}
	g.core.Observe(scheduler.Event{Key: j.Key(), Attempt: attempt, Kind: scheduler.EventStarted}, r.now)
	r.scheduleEnd(j, attempt)
}

// scheduleEnd sets when and how the attempt ends if nothing intervenes.
func (r *replay) scheduleEnd(j *job, attempt descriptor.Attempt) {
	for _, a := range j.placement {
		if r.workers[a.Worker].bad {
			r.after(badWorkerDelay, func() {
				r.stopped(j, attempt, scheduler.EventTaskFailed, a.Worker, "the worker fails everything")
			})
			return
		}
	}
	if j.fails {
		worker := j.placement[0].Worker
		r.after(failingJobTime, func() {
			r.stopped(j, attempt, scheduler.EventTaskFailed, worker, "exit status 1")
		})
		return
	}
	r.after(r.remaining(j), func() { r.completed(j, attempt) })
}

// remaining run time of a new attempt, with the time to load a checkpoint.
func (r *replay) remaining(j *job) time.Duration {
	if j.progress == 0 {
		return j.runTime
	}
	return j.runTime - j.progress + r.trace.Header.CheckpointTime.Std()
}

func (r *replay) completed(j *job, attempt descriptor.Attempt) {
	if j.attempt != attempt || j.state != jobRunning || j.lost {
		return
	}
	r.release(j)
	r.close(j, jobCompleted, "")
	r.region(j.Region).core.Observe(scheduler.Event{Key: j.Key(), Attempt: attempt, Kind: scheduler.EventFinished}, r.now)
}

// stopped reports that all members of an attempt have ended before the job was done.
func (r *replay) stopped(j *job, attempt descriptor.Attempt, kind scheduler.EventKind, worker descriptor.WorkerID, cause string) {
	if j.attempt != attempt || !j.state.occupies() {
		return
	}
	if j.state == jobStopping && kind != scheduler.EventStopped {
		// The stop that is under way reports the end.
		return
	}
	if kind == scheduler.EventTaskFailed {
		r.lose(j, &r.report.LostToFailures)
	}
	r.release(j)
	if j.cancelled {
		r.close(j, jobCancelled, "cancelled")
	}
	r.region(j.Region).core.Observe(scheduler.Event{Key: j.Key(), Attempt: attempt, Kind: kind, Worker: worker, Cause: cause}, r.now)
}

// elapsed useful time of the current attempt, without the time to load a checkpoint.
func (r *replay) elapsed(j *job) time.Duration {
	if j.began.IsZero() {
		return 0
	}
	d := r.now.Sub(j.began)
	if j.progress > 0 {
		d -= r.trace.Header.CheckpointTime.Std()
	}
	return max(0, d)
}

// lose counts the work of the current attempt as lost.
func (r *replay) lose(j *job, account *float64) {
	work := float64(j.Accelerators()) * r.elapsed(j).Hours()
	*account += work
	r.undo(work)
}

// undo takes lost work off the windows in which it is lost; otherwise work that is done twice would count twice.
func (r *replay) undo(work float64) {
	at := r.now.Sub(r.trace.Header.Start)
	for i := range r.report.Windows {
		if w := &r.report.Windows[i]; at >= w.From && at < w.To {
			w.Work -= work
		}
	}
}

// reclaim writes a checkpoint and stops the attempt. Without enough grace there is no checkpoint and the attempt's work is lost.
func (r *replay) reclaim(j *job, d scheduler.Decision) {
	if j.attempt != d.Attempt || j.state != jobRunning && j.state != jobStarting {
		r.invalid(j, "reclaim of an attempt that does not run")
		return
	}
	checkpoint := r.trace.Header.CheckpointTime.Std()
	delay := min(checkpoint, d.Grace)
	switch {
	case j.lost:
		r.lose(j, &r.report.LostToFailures)
		delay = stopDelay
	case j.state == jobStarting:
		r.report.Reclaims++
		delay = stopDelay
	case d.Grace < checkpoint:
		r.report.Reclaims++
		r.lose(j, &r.report.LostToReclaim)
	default:
		r.report.Reclaims++
		// A checkpoint and its loading are time that does no work.
		r.report.LostToReclaim += float64(j.Accelerators()) * (2 * checkpoint).Hours()
		r.undo(float64(j.Accelerators()) * checkpoint.Hours())
		j.progress += r.elapsed(j)
	}
	j.state = jobStopping
	r.after(delay, func() { r.stopped(j, d.Attempt, scheduler.EventStopped, "", d.Reason) })
}

func (r *replay) stop(j *job, d scheduler.Decision) {
	if j.attempt != d.Attempt || !j.state.occupies() {
		return
	}
	if j.lost {
		r.lose(j, &r.report.LostToFailures)
	}
	j.state = jobStopping
	r.after(stopDelay, func() { r.stopped(j, d.Attempt, scheduler.EventStopped, "", d.Reason) })
}

// endByCore ends a job for good, such as one that failed on several workers.
func (r *replay) endByCore(j *job, d scheduler.Decision) {
	if j.state.ended() {
		return
	}
	if j.state.occupies() {
		r.release(j)
	}
	if !j.fails && !j.NonIdempotent {
		r.report.WrongRefusals++
	}
	if d.Reason == "" {
		r.invalid(j, "job ended without a reason")
	}
	r.close(j, jobRefused, d.Reason)
}
