package enforcer

import (
	"context"
	"maps"
	"slices"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// AdoptionDelay is the minimum time between the start of the agent process and the
// request for the task list passed to Adopt. Until then the worker may still
// accept a start sent by the previous incarnation of the agent. The caller must
// renew the leases of the listed tasks in the meantime.
const AdoptionDelay = MaxPermitValidity + 100*time.Millisecond

// adoptedConfirmTimeout is the minimum time from the adoption of a gang until the gang may be stopped because it has no
// confirmation.
const adoptedConfirmTimeout = 3 * time.Second

// Adopt sets the description of the worker and takes over the tasks started by
// previous incarnations of the agent. Before the first call, holds are refused.
// Running tasks without a valid identity are stopped, and so are those that do
// not belong to the highest attempt of their job or that adoptTask rejects. Only
// the first call adopts tasks; later calls update the description.
func (e *Enforcer) Adopt(w descriptor.Worker, tasks []WorkerTask) {
	version := e.lock()
	defer e.unlock(version)
	if e.worker != nil {
		e.updateWorker(w)
		return
	}
	e.updateWorker(w)
	now := e.now()
	for _, t := range tasks {
		highest := e.attempts[t.Key].number
		if HasValidIdentity(t) && t.Attempt > highest {
			e.attempts[t.Key] = attemptRecord{number: t.Attempt, recordedAt: now, startSent: true}
		}
	}
	for _, t := range tasks {
		if !HasValidIdentity(t) || t.Attempt != e.attempts[t.Key].number || !e.adoptTask(t, now) {
			e.stopOrphan(t.ID, t.State)
		}
	}
	for _, g := range e.gangs {
		e.finishAdoption(g, now)
	}
}

// updateWorker sets the description and capacity of the worker. Accelerator indexes in use stay reserved.
func (e *Enforcer) updateWorker(w descriptor.Worker) {
	var old descriptor.Worker
	if e.worker != nil {
		old = *e.worker
	}
	if old == w {
		return
	}
	e.subtractFree(descriptor.Resources{
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

// HasValidIdentity reports whether t has a valid key, attempt and index that match its ID.
func HasValidIdentity(t WorkerTask) bool {
	return t.Key.Workspace != "" && t.Key.Job != "" && t.Attempt > 0 && t.Index >= 0 && t.Index < descriptor.MaxGang &&
		t.ID == taskID(t.Key, t.Attempt, t.Index)
}

// adoptTask adds t to its gang, which is created if necessary. It returns false if the gang has a task with the same
// index or with other resources, or if t has not ended and one of its accelerators does not exist or is in use. A gang
// created for a rejected task stays; finishAdoption ends it if no other task joins it.
func (e *Enforcer) adoptTask(t WorkerTask, now time.Time) bool {
	g := e.gangs[t.Key]
	if g == nil {
		ref := messenger.GangAttempt{Key: t.Key, Attempt: t.Attempt}
		g = newGang(ref, messenger.HoldRequest{Gang: ref, Members: t.Members, PerTask: t.Resources})
		g.state = messenger.TaskRunning
		g.startedAt = t.StartedAt
		close(g.startDone)
		e.gangs[t.Key] = g
	}
	if slices.ContainsFunc(g.tasks, func(existing *task) bool { return existing.index == t.Index }) || t.Resources != g.hold.PerTask {
		return false
	}
	adopted := &task{id: t.ID, index: t.Index, startSent: true, startConfirmed: true, startConfirmedAt: now, leaseExpiry: now.Add(LeaseDuration + leaseMargin)}
	if !t.State.Ended() {
		for _, i := range t.AcceleratorIndexes {
			if i < 0 || i >= len(e.usedAccelerators) || e.usedAccelerators[i] {
				return false
			}
		}
		for _, i := range t.AcceleratorIndexes {
			e.usedAccelerators[i] = true
		}
		adopted.acceleratorIndexes = t.AcceleratorIndexes
		e.subtractFree(t.Resources)
	}
	adopted.endedBeforeAdoption = t.State.Ended()
	g.tasks = append(g.tasks, adopted)
	e.observeTask(g, adopted, t, now)
	return true
}

// finishAdoption sets the confirmation and the expiry of an adopted gang. It ends the gang if all of its tasks have
// ended or none could be adopted, and stops it if one of them ended without success.
func (e *Enforcer) finishAdoption(g *gang, now time.Time) {
	e.markChanged(g)
	age := now.Sub(g.startedAt)
	g.confirmed = age > minConfirmedAge
	g.expiry = g.startedAt.Add(ConfirmTimeout)
	if minExpiry := now.Add(adoptedConfirmTimeout); g.expiry.Before(minExpiry) {
		g.expiry = minExpiry
	}
	if len(g.tasks) == 0 {
		g.stopping, g.finalState, g.cause = true, messenger.TaskStopped, "not accountable after a restart of the agent"
	}
	e.advanceGang(g, now)
}

// stopOrphan stops a task that belongs to no active gang, unless it has ended. A failed call is retried when
// ObserveTasks finds the task again.
func (e *Enforcer) stopOrphan(id string, state messenger.TaskState) {
	if state.Ended() {
		return
	}
	e.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = e.Worker.Stop(ctx, id)
	})
}

// ObserveTasks processes the worker's task list, which was requested at requestedAt.
// Running tasks that belong to no active gang are stopped. A task of a running gang
// counts as failed if its start was confirmed before requestedAt and the list lacks it.
func (e *Enforcer) ObserveTasks(tasks []WorkerTask, requestedAt time.Time) {
	byID := make(map[string]WorkerTask, len(tasks))
	for _, t := range tasks {
		byID[t.ID] = t
	}
	orphans := maps.Clone(byID)
	version := e.lock()
	defer e.unlock(version)
	now := e.now()
	for _, g := range e.gangs {
		for _, t := range g.tasks {
			if !g.state.Ended() {
				delete(orphans, t.id)
			}
		}
		if g.state != messenger.TaskRunning {
			continue
		}
		for _, t := range g.tasks {
			status, listed := byID[t.id]
			if !listed {
				status = WorkerTask{State: messenger.TaskFailed, Cause: "worker does not list the task"}
			}
			// A task that started after the request may be missing from the list.
			if t.terminated || !t.startConfirmedAt.Before(requestedAt) && !listed {
				continue
			}
			e.observeTask(g, t, status, now)
		}
		e.advanceGang(g, now)
	}
	for id, t := range orphans {
		e.stopOrphan(id, t.State)
	}
}

// observeTask records the end of t if status reports one. Unless the task ended with TaskDone, its gang begins to stop.
func (e *Enforcer) observeTask(g *gang, t *task, status WorkerTask, now time.Time) {
	if !status.State.Ended() || t.terminated {
		return
	}
	t.terminated = true
	t.succeeded = status.State == messenger.TaskDone
	if t.succeeded || g.stopping {
		return
	}
	g.stopping = true
	g.finalState = status.State
	g.cause = status.Cause
	e.markChanged(g)
}

// advanceGang ends a running gang as TaskDone if all of its tasks have succeeded. If the gang is being stopped, it
// stops the remaining tasks.
func (e *Enforcer) advanceGang(g *gang, now time.Time) {
	if g.stopping {
		e.stopTasks(g, now)
		return
	}
	if !e.allTasksTerminated(g) {
		return
	}
	g.stopping = true
	g.finalState = messenger.TaskDone
	e.endGang(g, messenger.TaskDone, now)
}

// TasksToRenew returns the IDs of the tasks whose leases must be renewed. These are
// the running tasks, except those of a gang that is being stopped and does not
// write checkpoints. An isolated agent renews no leases.
func (e *Enforcer) TasksToRenew() []string {
	version := e.lock()
	defer e.unlock(version)
	if e.now().Sub(e.lastContact) > IsolationTimeout {
		return nil
	}
	var ids []string
	for _, g := range e.gangs {
		if g.state.Ended() || g.stopping && !g.checkpointing {
			continue
		}
		for _, t := range g.tasks {
			if t.startConfirmed && !t.terminated {
				ids = append(ids, t.id)
			}
		}
	}
	return ids
}

// LeaseRenewed records that the worker has renewed the lease of a task. It is called
// after the worker's answer, from which the new lease is counted. Unknown and
// terminated tasks are ignored.
func (e *Enforcer) LeaseRenewed(id string) {
	version := e.lock()
	defer e.unlock(version)
	for _, g := range e.gangs {
		for _, t := range g.tasks {
			if t.id == id && !t.terminated {
				t.leaseExpiry = e.now().Add(LeaseDuration + leaseMargin)
			}
		}
	}
}
