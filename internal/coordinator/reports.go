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

// observeMembers processes the reported states of gang members at an agent.
func (d *schedulingDuty) observeMembers(t *termState, a agentState, now time.Time) {
	for _, r := range a.report.Tasks {
		g := t.gangs[r.Gang.Key]
		// An earlier scheduler may have given the same number to an unclaimed attempt at other agents.
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

func workerOf(a agentState) descriptor.WorkerID {
	if a.report.Worker == nil {
		return ""
	}
	return a.report.Worker.ID
}

func stoppedEvent(g *gang, cause string) scheduler.Event {
	return scheduler.Event{Key: g.ref.Key, Attempt: g.ref.Attempt, Kind: scheduler.EventStopped, Cause: cause}
}

// confirmAgain repeats a Confirm that a member did not receive.
func (d *schedulingDuty) confirmAgain(t *termState, g *gang, a agentState) {
	m := member{agent: a.report.Agent, address: a.report.Address, worker: workerOf(a)}
	d.background.Go(func() {
		_ = d.send(t.ctx, m, messenger.KindConfirm, messenger.GangRequest{Gang: g.ref}, isOK)
	})
}

// finishIfDone ends a job as Done once every member reports that it is done.
func (d *schedulingDuty) finishIfDone(t *termState, g *gang, now time.Time) {
	for _, m := range g.members {
		if d.memberState(g, m) != messenger.TaskDone {
			return
		}
	}
	t.core.HandleEvent(scheduler.Event{Key: g.ref.Key, Attempt: g.ref.Attempt, Kind: scheduler.EventFinished}, now)
	// The attempt stays in managedAttempts until the end of the job is recorded, so that agents keep their reports.
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

// sweep handles silent and lost agents. A gang with a member at a lost agent is stopped at all members and queued
// again.
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
	for _, name := range d.entry.agents.removeExpired(now) {
		d.entry.router.Remove(name)
	}
	d.sweepAwaited(t, now)
}

// stopGangsAt stops the gangs that have a member at a lost or replaced agent, unless the replacement runs the member.
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
// member's tasks. It reports whether it did so.
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

func sortedGangs(t *termState) []*gang {
	list := make([]*gang, 0, len(t.gangs))
	for _, g := range t.gangs {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *gang) int { return cmp.Compare(a.ref.Key.String(), b.ref.Key.String()) })
	return list
}

// orphan is an attempt that agents report and that has no gang in this term.
type orphan struct {
	ref     messenger.GangAttempt
	members []member
	states  []messenger.TaskState
	// expected is the number of agents that take part in the attempt.
	expected  int
	firstSeen time.Time
}

// collectOrphans collects the reported attempts that the scheduler is not responsible for.
func (d *schedulingDuty) collectOrphans(t *termState, a agentState, now time.Time) {
	if a.replaced || a.isLost(now) {
		return
	}
	for _, r := range a.report.Tasks {
		g := t.gangs[r.Gang.Key]
		if g != nil && g.ref.Attempt > r.Gang.Attempt && !r.State.Ended() {
			d.stopReplaced(t, a, r)
		}
		if g != nil && g.ref.Attempt >= r.Gang.Attempt {
			continue
		}
		if g == nil && r.State.Ended() && !d.mayBeResult(t, r) {
			continue
		}
		d.addOrphan(t, a, r, now)
	}
}

// stopReplaced stops a member of an attempt that was replaced by a newer one. This happens when an agent could not
// reach this scheduler but still reached other entries, and so did not stop its tasks by itself.
func (d *schedulingDuty) stopReplaced(t *termState, a agentState, r messenger.TaskReport) {
	ref := r.Gang
	ref.Epoch = t.epoch
	m := member{agent: a.report.Agent, address: a.report.Address, worker: workerOf(a)}
	d.background.Go(func() {
		stop := messenger.StopRequest{Gang: ref, Cause: "a newer attempt runs"}
		// If the Stop fails, the member is reported again and stopped then.
		_ = d.send(t.ctx, m, messenger.KindStop, stop, isOK)
	})
}

// mayBeResult reports whether an ended attempt may determine the result of a job that has not ended.
func (d *schedulingDuty) mayBeResult(t *termState, r messenger.TaskReport) bool {
	record, ok := d.entry.jobs.get(r.Gang.Key)
	if !ok || record.State == keeper.JobEnded || !t.submitted[r.Gang.Key] {
		return false
	}
	return r.State == messenger.TaskDone
}

// addOrphan adds a reported member to the orphan of its job. Of several attempts it keeps the highest.
func (d *schedulingDuty) addOrphan(t *termState, a agentState, r messenger.TaskReport, now time.Time) {
	o := t.orphans[r.Gang.Key]
	if o == nil || o.ref.Attempt < r.Gang.Attempt {
		o = &orphan{ref: r.Gang, expected: r.Members, firstSeen: now}
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

// resolveOrphans adopts the orphans whose members are all reported, and stops the others once orphanTimeout has
// passed.
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

// resolveOrphan adopts or stops an orphan, or keeps it until more is known.
func (d *schedulingDuty) resolveOrphan(t *termState, o *orphan, now time.Time) {
	k := o.ref.Key
	record, known := d.entry.jobs.get(k)
	jobIsOpen := known && record.State != keeper.JobEnded && t.submitted[k] && t.gangs[k] == nil
	complete := len(o.members) == o.expected && o.isAlive()
	switch {
	case jobIsOpen && complete:
		delete(t.orphans, k)
		d.adoptGang(t, o, record, now)
	case jobIsOpen && now.Sub(o.firstSeen) < orphanTimeout:
		// The other members may still be reported.
	case !d.entry.jobs.isComplete():
		// The job's record may not have been read yet.
	default:
		delete(t.orphans, k)
		d.stopOrphan(t, o, record, jobIsOpen)
	}
}

// isAlive reports whether no member of the attempt has failed or stopped.
func (o *orphan) isAlive() bool {
	for _, s := range o.states {
		if s == messenger.TaskFailed || s == messenger.TaskStopped {
			return false
		}
	}
	return true
}

func (o *orphan) allIn(states ...messenger.TaskState) bool {
	for _, s := range o.states {
		if !slices.Contains(states, s) {
			return false
		}
	}
	return true
}

// gang returns the orphan as an adopted gang under the epoch of the current term.
func (o *orphan) gang(t *termState, job descriptor.Job) *gang {
	ref := o.ref
	ref.Epoch = t.epoch
	return &gang{ref: ref, job: job, members: o.members, adopted: true, reportedEpoch: o.ref.Epoch}
}

// adoptGang takes over an attempt that is reported completely. A running attempt continues; for one that is between
// Hold and Start, the gang protocol is completed.
func (d *schedulingDuty) adoptGang(t *termState, o *orphan, r keeper.JobRecord, now time.Time) {
	g := o.gang(t, r.Job)
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
	g := o.gang(t, r.Job)
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
	// Without a claim, no Start was sent. If the cached record is out of date, the claim in the store prevents the
	// next attempt.
	g.unstarted = g.job.NonIdempotent && r.State == keeper.JobQueued
	d.beginStop(t, g, 0, stoppedEvent(g, cause))
}

// acknowledge returns the ended attempts that an agent may forget: those of jobs whose end is recorded in the store,
// and those that the scheduler no longer needs.
func (d *schedulingDuty) acknowledge(tasks []messenger.TaskReport) []messenger.GangAttempt {
	var list []messenger.GangAttempt
	now := d.entry.now()
	for _, r := range tasks {
		if r.State.Ended() && d.mayForget(r, now) {
			list = append(list, r.Gang)
		}
	}
	return list
}

func (d *schedulingDuty) mayForget(r messenger.TaskReport, now time.Time) bool {
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
