package enforcer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// Stop stops the tasks of an attempt or releases its hold. It waits until the
// tasks are terminated or ctx ends. If req names an attempt without a gang, Stop
// does not wait. It then begins to stop the gang of an older attempt of the same
// job, if there is one, and records the attempt that req names, so that a delayed
// Hold of that attempt is refused.
func (e *Enforcer) Stop(ctx context.Context, req messenger.StopRequest) (messenger.GangAnswer, error) {
	g, a, err := e.beginStop(req)
	if err != nil || g == nil {
		return a, err
	}
	select {
	case <-g.ended:
	case <-ctx.Done():
	}
	version := e.lock()
	defer e.unlock(version)
	return e.gangAnswer(g, nil)
}

// beginStop begins to stop a gang and returns the gang and the current answer. If the attempt has no gang, it stops an
// older attempt of the same job and returns a nil gang.
func (e *Enforcer) beginStop(req messenger.StopRequest) (*gang, messenger.GangAnswer, error) {
	version := e.lock()
	defer e.unlock(version)
	g, err := e.lookupAttempt(req.Gang)
	if err != nil {
		a, err := e.gangAnswer(nil, err)
		return nil, a, err
	}
	now := e.now()
	if older := e.gangs[req.Gang.Key]; g == nil && older != nil {
		e.stopGang(older, messenger.TaskStopped, req.Cause, 0, now)
	}
	if g == nil {
		return nil, e.stopUnknownAttempt(req, now), nil
	}
	grace := time.Duration(0)
	if req.CheckpointFirst {
		grace = req.Grace
	}
	e.stopGang(g, messenger.TaskStopped, req.Cause, grace, now)
	a, err := e.gangAnswer(g, nil)
	return g, a, err
}

// stopUnknownAttempt answers a Stop of an attempt without a gang and records
// the attempt, so that a delayed Hold is refused. NeverStarted is set if the
// Stop names this incarnation of the agent and no start of the attempt was sent.
func (e *Enforcer) stopUnknownAttempt(req messenger.StopRequest, now time.Time) messenger.GangAnswer {
	record := e.attempts[req.Gang.Key]
	a := messenger.GangAnswer{OK: true, State: messenger.TaskStopped, Epoch: e.epoch}
	if record.number == req.Gang.Attempt {
		a.NeverStarted = req.Agent == e.Agent && !record.startSent
		return a
	}
	if e.hasAttemptCapacity(req.Gang.Key) { // While there is no room, a delayed Hold is refused with ErrHistoryFull.
		e.recordAttempt(req.Gang, now)
	}
	a.NeverStarted = req.Agent == e.Agent
	return a
}

// stopGang begins to stop g, which ends in finalState. If grace is positive and g
// is running, checkpoints are written first. A gang that is held or committed ends
// at once. Repeated calls have no effect.
func (e *Enforcer) stopGang(g *gang, finalState messenger.TaskState, cause string, grace time.Duration, now time.Time) {
	if g.stopping || g.state.Ended() {
		return
	}
	g.stopping = true
	g.finalState = finalState
	g.cause = cause
	if g.state == messenger.TaskHeld || g.state == messenger.TaskCommitted {
		for _, t := range g.tasks {
			t.terminated = true
		}
	}
	if g.state == messenger.TaskStarting {
		close(g.startDone)
	}
	e.markChanged(g)
	if grace > 0 && g.state == messenger.TaskRunning {
		g.checkpointing = true
		e.spawn(func() { e.checkpointAndStop(g, grace) })
		return
	}
	e.stopTasks(g, now)
}

// checkpointAndStop writes a checkpoint of every task, for at most grace, and then stops the tasks.
func (e *Enforcer) checkpointAndStop(g *gang, grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	finished := make(chan struct{}, len(g.tasks))
	for _, t := range g.tasks {
		go func() {
			// The error is ignored: the task is stopped after grace at the latest, even without a checkpoint.
			_ = e.Worker.Checkpoint(ctx, t.id)
			finished <- struct{}{}
		}()
	}
	for range g.tasks {
		<-finished
	}
	version := e.lock()
	defer e.unlock(version)
	g.checkpointing = false
	e.stopTasks(g, e.now())
}

// stopTasks calls the worker to stop each task that may be running and has no pending call, and ends g if all tasks are
// terminated. A task counts as terminated if its start was sent, it has no pending call, and its lease has expired.
// While checkpoints are written, stopTasks does nothing.
func (e *Enforcer) stopTasks(g *gang, now time.Time) {
	if g.state.Ended() || g.checkpointing {
		return
	}
	allTerminated := true
	for _, t := range g.tasks {
		if !t.terminated && !t.callPending && t.startSent && now.After(t.leaseExpiry) {
			t.terminated = true
		}
		if t.terminated {
			continue
		}
		allTerminated = false
		if !t.callPending {
			t.callPending = true
			e.spawn(func() { e.stopTask(g, t) })
		}
	}
	if allTerminated {
		e.endGang(g, g.finalState, now)
	}
}

// stopTask calls the worker to stop t. A success counts only if the worker can no longer accept an earlier start of t.
func (e *Enforcer) stopTask(g *gang, t *task) {
	calledAt := e.now()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	err := e.Worker.Stop(ctx, t.id)
	cancel()
	version := e.lock()
	defer e.unlock(version)
	t.callPending = false
	if err != nil || !calledAt.After(t.startExpiry) {
		return // retried by a later Tick
	}
	t.terminated = true
	if e.allTasksTerminated(g) {
		e.endGang(g, g.finalState, e.now())
	}
}

func (e *Enforcer) allTasksTerminated(g *gang) bool {
	return !slices.ContainsFunc(g.tasks, func(t *task) bool { return !t.terminated })
}

// endGang ends g and releases its resources. All tasks of g must be terminated.
func (e *Enforcer) endGang(g *gang, state messenger.TaskState, now time.Time) {
	if g.state.Ended() {
		return
	}
	g.state = state
	g.endedAt = now
	g.hold.Payload = nil
	r := g.resources()
	e.subtractFree(descriptor.Resources{Cores: -r.Cores, Memory: -r.Memory, Accelerators: -r.Accelerators})
	for _, t := range g.tasks {
		for _, i := range t.acceleratorIndexes {
			e.usedAccelerators[i] = false
		}
	}
	close(g.ended)
	e.markChanged(g)
}

// expireIfDue stops g and returns true if its hold, commit or unconfirmed start has expired.
func (e *Enforcer) expireIfDue(g *gang, now time.Time) bool {
	if g.confirmed || g.stopping || g.state.Ended() || now.Before(g.expiry) {
		return false
	}
	cause := fmt.Sprintf("%s attempt expired", g.state)
	e.stopGang(g, messenger.TaskStopped, cause, 0, now)
	return true
}

// tickGang processes the timeouts of g and retries failed stop calls.
func (e *Enforcer) tickGang(g *gang, isolated bool, now time.Time) {
	e.expireIfDue(g, now)
	if isolated && !g.state.Ended() {
		e.stopGang(g, messenger.TaskStopped, "no entry heard", IsolationGrace, now)
	}
	leaseExpired := func(t *task) bool { return t.startConfirmed && !t.terminated && now.After(t.leaseExpiry) }
	if slices.ContainsFunc(g.tasks, leaseExpired) {
		e.stopGang(g, messenger.TaskFailed, "lease at the worker lapsed", 0, now)
	}
	if g.stopping {
		e.stopTasks(g, now)
	}
}

// removeEndedGangs removes the gangs whose end was acknowledged or is more than retentionPeriod ago. An attempt record
// is removed retentionPeriod after its gang, or after it was written if there was no gang.
func (e *Enforcer) removeEndedGangs(now time.Time) {
	for key, g := range e.gangs {
		if g.state.Ended() && (g.acknowledged || now.Sub(g.endedAt) > retentionPeriod) {
			record := e.attempts[key]
			record.recordedAt = now
			e.attempts[key] = record
			delete(e.gangs, key)
		}
	}
	for key, r := range e.attempts {
		if e.gangs[key] == nil && now.Sub(r.recordedAt) > retentionPeriod {
			delete(e.attempts, key)
		}
	}
}

// Acknowledge records that the scheduler has stored the end of those attempts in refs that have ended. They are no
// longer reported, and a later Tick removes them.
func (e *Enforcer) Acknowledge(refs []messenger.GangAttempt) {
	version := e.lock()
	defer e.unlock(version)
	for _, r := range refs {
		g := e.gangs[r.Key]
		if g != nil && g.ref.Attempt == r.Attempt && g.state.Ended() {
			g.acknowledged = true
		}
	}
}

// StopAll stops every attempt, after writing checkpoints for at most grace. It waits until all have ended, or returns
// ctx.Err() when ctx ends.
func (e *Enforcer) StopAll(ctx context.Context, cause string, grace time.Duration) error {
	version := e.lock()
	var gangs []*gang
	for _, g := range e.gangs {
		e.stopGang(g, messenger.TaskStopped, cause, grace, e.now())
		gangs = append(gangs, g)
	}
	e.unlock(version)
	for _, g := range gangs {
		select {
		case <-g.ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
