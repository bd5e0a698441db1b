package enforcer

import (
	"context"
	"maps"
	"slices"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// AdoptAfter is how long after the start of an agent process the task list for
// Adopt may be asked for at the earliest: until then the worker may still
// accept a start that a former process sent. Leases are renewed meanwhile.
const AdoptAfter = MaxPermit + 100*time.Millisecond

// adoptedConfirm is the least time in which an adopted, unconfirmed gang may be confirmed.
const adoptedConfirm = 3 * time.Second

// Adopt describes the worker and takes over the tasks that a former agent
// process left on it. Nothing is held before that. Tasks without a usable key,
// attempt or index, and all but the highest attempt of a job, are stopped. It
// has an effect once; later calls only update the description.
func (e *Enforcer) Adopt(w descriptor.Worker, tasks []WorkerTask) {
	before := e.lock()
	defer e.unlock(before)
	if e.worker != nil {
		e.describe(w)
		return
	}
	e.describe(w)
	now := e.now()
	for _, t := range tasks {
		n := e.attempts[t.Key].number
		if Accountable(t) && t.Attempt > n {
			e.attempts[t.Key] = seenAttempt{number: t.Attempt, at: now, called: true}
		}
	}
	for _, t := range tasks {
		if !Accountable(t) || t.Attempt != e.attempts[t.Key].number || !e.adoptTask(t, now) {
			e.stopUnexpected(t.ID, t.State)
		}
	}
	for _, g := range e.gangs {
		e.settleAdopted(g, now)
	}
}

// describe sets the capacity. Accelerator indexes that are in use stay so.
func (e *Enforcer) describe(w descriptor.Worker) {
	var old descriptor.Worker
	if e.worker != nil {
		old = *e.worker
	}
	if old == w {
		return
	}
	e.take(descriptor.Resources{
		Cores:        old.Cores - w.Cores,
		Memory:       old.Memory - w.Memory,
		Accelerators: old.Accelerators - w.Accelerators,
	})
	for len(e.usedAccelerators) < int(w.Accelerators) {
		e.usedAccelerators = append(e.usedAccelerators, false)
	}
	e.worker = &w
	e.version++
	e.workerVersion = e.version
}

// Accountable reports whether t names the attempt that it belongs to.
func Accountable(t WorkerTask) bool {
	return t.Key.Workspace != "" && t.Key.Job != "" && t.Attempt > 0 && t.Index >= 0 && t.Index < descriptor.MaxGang &&
		t.ID == taskID(t.Key, t.Attempt, t.Index)
}

// adoptTask adds t to its gang and reports whether it could.
func (e *Enforcer) adoptTask(t WorkerTask, now time.Time) bool {
	g := e.gangs[t.Key]
	if g == nil {
		ref := messenger.GangRef{Key: t.Key, Attempt: t.Attempt}
		g = newGang(ref, messenger.Hold{Gang: ref, Members: t.Members, PerTask: t.Resources})
		g.state = messenger.TaskRunning
		g.startedAt = t.StartedAt
		close(g.settled)
		e.gangs[t.Key] = g
	}
	if slices.ContainsFunc(g.tasks, func(have *task) bool { return have.index == t.Index }) || t.Resources != g.hold.PerTask {
		return false
	}
	a := &task{id: t.ID, index: t.Index, called: true, running: true, runningAt: now, leaseEnd: now.Add(Lease + leaseMargin)}
	if !t.State.Ended() {
		for _, i := range t.AcceleratorIndexes {
			if i < 0 || i >= len(e.usedAccelerators) || e.usedAccelerators[i] {
				return false
			}
		}
		for _, i := range t.AcceleratorIndexes {
			e.usedAccelerators[i] = true
		}
		a.indexes = t.AcceleratorIndexes
		e.take(t.Resources)
	}
	a.endedBefore = t.State.Ended()
	g.tasks = append(g.tasks, a)
	e.observeTask(g, a, t, now)
	return true
}

// settleAdopted decides whether an adopted gang counts as confirmed.
func (e *Enforcer) settleAdopted(g *gang, now time.Time) {
	e.change(g)
	age := now.Sub(g.startedAt)
	g.confirmed = age > confirmedAge
	g.expires = g.startedAt.Add(ConfirmWithin)
	if least := now.Add(adoptedConfirm); g.expires.Before(least) {
		g.expires = least
	}
	if len(g.tasks) == 0 {
		g.stopping, g.final, g.cause = true, messenger.TaskStopped, "not accountable after a restart of the agent"
	}
	e.concludeGang(g, now)
}

// stopUnexpected stops a task that belongs to no gang. A failed call is repeated when the task is observed again.
func (e *Enforcer) stopUnexpected(id string, state messenger.TaskState) {
	if state.Ended() {
		return
	}
	e.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = e.Worker.Stop(ctx, id)
	})
}

// Observe takes the worker's task list, which was asked for at asked. Running
// tasks that no gang accounts for are stopped.
func (e *Enforcer) Observe(tasks []WorkerTask, asked time.Time) {
	byID := make(map[string]WorkerTask, len(tasks))
	for _, t := range tasks {
		byID[t.ID] = t
	}
	unexpected := maps.Clone(byID)
	before := e.lock()
	defer e.unlock(before)
	now := e.now()
	for _, g := range e.gangs {
		for _, t := range g.tasks {
			if !g.state.Ended() {
				delete(unexpected, t.id)
			}
		}
		if g.state != messenger.TaskRunning {
			continue
		}
		for _, t := range g.tasks {
			w, listed := byID[t.id]
			if !listed {
				w = WorkerTask{State: messenger.TaskFailed, Cause: "worker does not list the task"}
			}
			if t.gone || !t.runningAt.Before(asked) && !listed {
				continue
			}
			e.observeTask(g, t, w, now)
		}
		e.concludeGang(g, now)
	}
	for id, t := range unexpected {
		e.stopUnexpected(id, t.State)
	}
}

func (e *Enforcer) observeTask(g *gang, t *task, w WorkerTask, now time.Time) {
	if !w.State.Ended() || t.gone {
		return
	}
	t.gone = true
	t.done = w.State == messenger.TaskDone
	if t.done || g.stopping {
		return
	}
	g.stopping = true
	g.final = w.State
	g.cause = w.Cause
	e.change(g)
}

// concludeGang ends a running gang whose tasks have ended, and stops the rest when one of them failed.
func (e *Enforcer) concludeGang(g *gang, now time.Time) {
	if g.stopping {
		e.stopTasks(g, now)
		return
	}
	if !e.allGone(g) {
		return
	}
	g.stopping = true
	g.final = messenger.TaskDone
	e.endGang(g, messenger.TaskDone, now)
}

// Leases returns the ids of the tasks whose leases are to be renewed. An
// isolated agent renews none, and neither does one that is stopping them.
func (e *Enforcer) Leases() []string {
	before := e.lock()
	defer e.unlock(before)
	if e.now().Sub(e.lastHeard) > IsolatedAfter {
		return nil
	}
	var ids []string
	for _, g := range e.gangs {
		if g.state.Ended() || g.stopping && !g.checkpointing {
			continue
		}
		for _, t := range g.tasks {
			if t.running && !t.gone {
				ids = append(ids, t.id)
			}
		}
	}
	return ids
}

// Renewed tells that the worker has renewed the lease of a task.
func (e *Enforcer) Renewed(id string) {
	before := e.lock()
	defer e.unlock(before)
	for _, g := range e.gangs {
		for _, t := range g.tasks {
			if t.id == id && !t.gone {
				t.leaseEnd = e.now().Add(Lease + leaseMargin)
			}
		}
	}
}
