package coordinator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

// observeMembers processes the reported states of the members that running gangs have at an agent.
func (d *schedulingDuty) observeMembers(t *termState, a agentState, now time.Time) {
	for _, r := range a.report.Tasks {
		g := t.gangs[r.Gang.Key]
		// An earlier scheduler may have given the same number to an unclaimed attempt at other agents, so the agent
		// must be one of the gang's.
		if g == nil || g.ref.Attempt != r.Gang.Attempt || g.phase != phaseRunning || !g.hasMember(a.report.Agent) {
			continue
		}
		switch r.State {
		case messenger.TaskFailed:
			d.beginStop(t, g, 0, scheduler.Event{
				Key:     g.ref.Key,
				Attempt: g.ref.Attempt,
				Kind:    scheduler.EventTaskFailed,
				Worker:  workerOf(a),
				Cause:   r.Cause,
			})
		case messenger.TaskStopped:
			d.beginStop(t, g, 0, stoppedEvent(g, fmt.Sprintf("worker %s stopped its tasks: %s", workerOf(a), r.Cause)))
		case messenger.TaskDone:
			d.finishIfDone(t, g, now)
		case messenger.TaskRunning:
			if !r.Confirmed {
				d.confirmAgain(t, g, a)
			}
		}
	}
}

func (g *gang) hasMember(agent string) bool {
	return slices.ContainsFunc(g.members, func(m member) bool { return m.agent == agent })
}

// workerOf returns the id of an agent's worker, or "" if it has none.
func workerOf(a agentState) descriptor.WorkerID {
	if a.report.Worker == nil {
		return ""
	}
	return a.report.Worker.ID
}

// stoppedEvent returns the event for an attempt that was stopped before its tasks finished.
func stoppedEvent(g *gang, cause string) scheduler.Event {
	return scheduler.Event{Key: g.ref.Key, Attempt: g.ref.Attempt, Kind: scheduler.EventStopped, Cause: cause}
}

// confirmAgain repeats the Confirm to a member that reports that it has not received it.
func (d *schedulingDuty) confirmAgain(t *termState, g *gang, a agentState) {
	m := member{agent: a.report.Agent, address: a.report.Address, worker: workerOf(a)}
	d.background.Go(func() {
		_ = d.send(t.ctx, m, messenger.KindConfirm, messenger.GangRequest{Gang: g.ref}, isOK)
	})
}

// finishIfDone ends a gang's job as Done if every member reports that it is done.
func (d *schedulingDuty) finishIfDone(t *termState, g *gang, now time.Time) {
	for _, m := range g.members {
		if d.memberState(g, m) != messenger.TaskDone {
			return
		}
	}
	t.core.HandleEvent(scheduler.Event{Key: g.ref.Key, Attempt: g.ref.Attempt, Kind: scheduler.EventFinished}, now)
	// The attempt stays in managedAttempts until the end of the job is recorded, so that agents keep reporting it.
	delete(t.gangs, g.ref.Key)
	d.endJob(t, g.ref.Key, descriptor.ResultDone, "all tasks finished")
}

// memberState returns the last reported state of a member, or "" if none was reported.
func (d *schedulingDuty) memberState(g *gang, m member) messenger.TaskState {
	a, ok := d.entry.agents.get(m.agent)
	if !ok {
		return ""
	}
	for _, r := range a.report.Tasks {
		if r.Gang.Key == g.ref.Key && r.Gang.Attempt == g.ref.Attempt {
			return r.State
		}
	}
	return ""
}

// sweep handles agents that have become silent, lost or replaced, and then resolves awaited jobs. A gang with a member
// at a lost or replaced agent is stopped at all members, unless the replacing agent reports that member. Its job is
// queued again if it is idempotent.
func (d *schedulingDuty) sweep(t *termState, now time.Time) {
	for _, a := range d.entry.agents.snapshot() {
		d.syncWorker(t, a, now)
		if w := a.report.Worker; w != nil && !a.replaced && a.isLost(now) {
			if _, known := t.workerUsable[w.ID]; known {
				delete(t.workerUsable, w.ID)
				t.core.SetReachable(w.ID, false, now)
				d.stopGangsAt(t, a)
				t.core.RemoveWorker(w.ID, now)
				d.entry.audit("worker "+string(w.ID), "lost", fmt.Sprintf("no report for %v", lostTimeout))
			}
		}
		if a.replaced {
			d.stopGangsAt(t, a)
		}
	}
	for _, id := range d.entry.agents.removeExpired(now) {
		d.entry.router.Remove(id)
	}
	d.sweepAwaited(t, now)
}

// stopGangsAt stops the gangs that have a member at a lost or replaced agent. A member that the replacing agent reports
// is moved there instead.
func (d *schedulingDuty) stopGangsAt(t *termState, a agentState) {
	for _, g := range sortedGangs(t) {
		for _, m := range g.members {
			if m.agent == a.report.Agent && g.phase != phaseStopping && !d.moveToReplacement(g, m) {
				d.beginStop(t, g, 0, stoppedEvent(g, fmt.Sprintf("the agent of worker %s is gone", m.worker)))
				break
			}
		}
	}
}

// moveToReplacement reassigns a member to the agent that replaced the member's agent, if that agent reports the
// member's attempt. It returns whether it did so.
func (d *schedulingDuty) moveToReplacement(g *gang, m member) bool {
	a, ok := d.entry.agents.ofWorker(m.worker)
	if !ok || a.report.Agent == m.agent {
		return false
	}
	for _, r := range a.report.Tasks {
		if r.Gang.Key != g.ref.Key || r.Gang.Attempt != g.ref.Attempt {
			continue
		}
		for i := range g.members {
			if g.members[i].agent == m.agent {
				g.members[i].agent = a.report.Agent
				g.members[i].address = a.report.Address
			}
		}
		return true
	}
	return false
}

// sortedGangs returns the gangs of a term in the order of their job keys.
func sortedGangs(t *termState) []*gang {
	gangs := make([]*gang, 0, len(t.gangs))
	for _, g := range t.gangs {
		gangs = append(gangs, g)
	}
	slices.SortFunc(gangs, func(a, b *gang) int { return cmp.Compare(a.ref.Key.String(), b.ref.Key.String()) })
	return gangs
}

// orphan is an attempt that agents report and that has no gang in this term.
type orphan struct {
	// ref has the highest epoch under which agents report the attempt.
	ref messenger.GangAttempt
	// members holds the reported members, and states the last reported state of each, in the same order.
	members []member
	states  []messenger.TaskState
	// expectedMembers is the number of members of the attempt, reported or not.
	expectedMembers int
	firstSeenAt     time.Time
}

// collectOrphans adds the reported attempts that the scheduler is not responsible for to the orphans. Attempts older
// than the one that it is responsible for are stopped instead, and ended ones that cannot give their job's result are
// ignored. So are all reports of lost and replaced agents.
func (d *schedulingDuty) collectOrphans(t *termState, a agentState, now time.Time) {
	if a.replaced || a.isLost(now) {
		return
	}
	for _, r := range a.report.Tasks {
		g := t.gangs[r.Gang.Key]
		if g != nil && g.ref.Attempt > r.Gang.Attempt && !r.State.Ended() {
			d.stopReplacedMember(t, a, r)
		}
		if g != nil && g.ref.Attempt >= r.Gang.Attempt {
			continue
		}
		if g == nil && r.State.Ended() && !d.mayGiveResult(t, r) {
			continue
		}
		d.addOrphan(t, a, r, now)
	}
}

// stopReplacedMember stops a member of an attempt that was replaced by a newer one. Such a member is reported by an
// agent that could not reach this scheduler for a time, but reached other entries and so did not stop its tasks by
// itself.
func (d *schedulingDuty) stopReplacedMember(t *termState, a agentState, r messenger.TaskReport) {
	ref := r.Gang
	ref.Epoch = t.epoch
	m := member{agent: a.report.Agent, address: a.report.Address, worker: workerOf(a)}
	d.background.Go(func() {
		stop := messenger.StopRequest{Gang: ref, Cause: "a newer attempt runs"}
		// If the Stop fails, it is repeated after a later report of the member.
		_ = d.send(t.ctx, m, messenger.KindStop, stop, isOK)
	})
}

// mayGiveResult reports whether an ended attempt may give the result of its job: the attempt is done, and the job is one
// that the scheduler handles in this term and that has not ended.
func (d *schedulingDuty) mayGiveResult(t *termState, r messenger.TaskReport) bool {
	record, ok := d.entry.jobs.get(r.Gang.Key)
	if !ok || record.State == keeper.JobEnded || !t.submitted[r.Gang.Key] {
		return false
	}
	return r.State == messenger.TaskDone
}

// addOrphan adds a reported member to the orphan of its job, or updates the member's state. Of several attempts of a
// job, it keeps the one with the highest number.
func (d *schedulingDuty) addOrphan(t *termState, a agentState, r messenger.TaskReport, now time.Time) {
	o := t.orphans[r.Gang.Key]
	if o == nil || o.ref.Attempt < r.Gang.Attempt {
		o = &orphan{ref: r.Gang, expectedMembers: r.Members, firstSeenAt: now}
		t.orphans[r.Gang.Key] = o
	}
	if o.ref.Attempt > r.Gang.Attempt {
		return
	}
	o.ref.Epoch = max(o.ref.Epoch, r.Gang.Epoch)
	for i, m := range o.members {
		if m.agent == a.report.Agent {
			o.states[i] = r.State
			return
		}
	}
	o.members = append(o.members, member{agent: a.report.Agent, address: a.report.Address, worker: workerOf(a), tasks: r.Tasks})
	o.states = append(o.states, r.State)
}

// resolveOrphans calls resolveOrphan for all orphans in the order of their job keys.
func (d *schedulingDuty) resolveOrphans(t *termState, now time.Time) {
	keys := make([]descriptor.JobKey, 0, len(t.orphans))
	for k := range t.orphans {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b descriptor.JobKey) int { return cmp.Compare(a.String(), b.String()) })
	for _, k := range keys {
		d.resolveOrphan(t, t.orphans[k], now)
	}
}

// resolveOrphan adopts an orphan once all members are reported and none has failed or stopped, provided that its job is
// open: handled in this term, not ended, and without a gang. It stops an orphan whose job is not open, or that cannot be
// adopted within orphanTimeout, but not before the job records are complete.
func (d *schedulingDuty) resolveOrphan(t *termState, o *orphan, now time.Time) {
	k := o.ref.Key
	record, known := d.entry.jobs.get(k)
	jobIsOpen := known && record.State != keeper.JobEnded && t.submitted[k] && t.gangs[k] == nil
	isAdoptable := len(o.members) == o.expectedMembers && o.isAlive()
	switch {
	case jobIsOpen && isAdoptable:
		delete(t.orphans, k)
		d.adoptGang(t, o, record, now)
	case jobIsOpen && now.Sub(o.firstSeenAt) < orphanTimeout:
		// The other members may still be reported.
	case !d.entry.jobs.isComplete():
		// The job's record may not have been read yet.
	default:
		delete(t.orphans, k)
		d.stopOrphan(t, o, record, jobIsOpen)
	}
}

// isAlive reports whether no reported member of the attempt has failed or stopped.
func (o *orphan) isAlive() bool {
	for _, s := range o.states {
		if s == messenger.TaskFailed || s == messenger.TaskStopped {
			return false
		}
	}
	return true
}

// allIn reports whether every reported member is in one of the given states.
func (o *orphan) allIn(states ...messenger.TaskState) bool {
	for _, s := range o.states {
		if !slices.Contains(states, s) {
			return false
		}
	}
	return true
}

// toGang returns the orphan as an adopted gang under the epoch of the current term.
func (o *orphan) toGang(t *termState, job descriptor.Job) *gang {
	ref := o.ref
	ref.Epoch = t.epoch
	return &gang{ref: ref, job: job, members: o.members, adopted: true, reportedEpoch: o.ref.Epoch}
}

// adoptGang takes over an attempt whose members are all reported. A running attempt continues; for one that is not yet
// running, the gang protocol after Hold is completed.
func (d *schedulingDuty) adoptGang(t *termState, o *orphan, r keeper.JobRecord, now time.Time) {
	g := o.toGang(t, r.Job)
	running := o.allIn(messenger.TaskRunning, messenger.TaskDone)
	attempt := scheduler.ReportedAttempt{Job: r.Job, Accepted: r.Accepted, Number: o.ref.Attempt, Running: running, StartedAt: now}
	for _, m := range o.members {
		attempt.Placement = append(attempt.Placement, scheduler.Assignment{Worker: m.worker, Tasks: m.tasks})
	}
	d.addGang(t, g)
	delete(t.awaited, g.ref.Key)
	t.core.Adopt(attempt, now)
	d.entry.audit("job "+g.ref.Key.String(), "adopted", fmt.Sprintf("attempt %d from an earlier scheduler", g.ref.Attempt))
	if running {
		g.phase = phaseRunning
		g.startedAt = now
		d.finishIfDone(t, g, now)
		return
	}
	g.phase = phaseStarting
	g.unclaimed = r.State == keeper.JobQueued
	d.startInBackground(t, g, d.startHeldGang)
}

// stopOrphan stops the reported members of an attempt that cannot be adopted.
func (d *schedulingDuty) stopOrphan(t *termState, o *orphan, r keeper.JobRecord, jobIsOpen bool) {
	g := o.toGang(t, r.Job)
	cause := "the gang is not complete after a change of scheduler"
	if !jobIsOpen {
		cause = "the job has ended or another attempt runs"
	}
	d.entry.audit("job "+g.ref.Key.String(), "stopped", cause)
	if !jobIsOpen {
		d.background.Go(func() { d.stopGang(t.ctx, g, 0, cause) })
		return
	}
	d.addGang(t, g)
	g.phase = phaseStarting
	// For a non-idempotent job, no Start is sent without a claim. If the cached record is outdated, the claim in the
	// store prevents the next attempt.
	g.unstarted = g.job.NonIdempotent && r.State == keeper.JobQueued
	d.beginStop(t, g, 0, stoppedEvent(g, cause))
}

// acknowledge returns those of an agent's reported attempts that the agent may forget. These are ended attempts of jobs
// whose end is recorded in the store, and ended attempts that the scheduler no longer needs.
func (d *schedulingDuty) acknowledge(tasks []messenger.TaskReport) []messenger.GangAttempt {
	var acknowledged []messenger.GangAttempt
	now := d.entry.now()
	for _, r := range tasks {
		if r.State.Ended() && d.agentMayForget(r, now) {
			acknowledged = append(acknowledged, r.Gang)
		}
	}
	return acknowledged
}

// agentMayForget reports whether an agent may forget an ended attempt: the end of its job is recorded, or this entry is
// the scheduler, all agents have had time to report, and it manages no attempt of the job or only a later one.
func (d *schedulingDuty) agentMayForget(r messenger.TaskReport, now time.Time) bool {
	if record, ok := d.entry.jobs.get(r.Gang.Key); ok && record.State == keeper.JobEnded {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.active || d.managedAttempts == nil || now.Before(d.reportsCompleteAt) {
		return false
	}
	attempt, managed := d.managedAttempts[r.Gang.Key]
	return !managed || attempt > r.Gang.Attempt
}
