package enforcer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// Stop stops the tasks of an attempt or drops its hold. It waits until the
// tasks are gone or ctx ends. An attempt that is not known here is recorded as
// ended, so that a late Hold of it is refused.
func (e *Enforcer) Stop(ctx context.Context, s messenger.Stop) (messenger.GangAnswer, error) {
	g, a, err := e.beginStop(s)
	if err != nil || g == nil {
		return a, err
	}
	select {
	case <-g.ended:
	case <-ctx.Done():
	}
	before := e.lock()
	defer e.unlock(before)
	return e.answer(g, nil)
}

func (e *Enforcer) beginStop(s messenger.Stop) (*gang, messenger.GangAnswer, error) {
	before := e.lock()
	defer e.unlock(before)
	g, err := e.admit(s.Gang)
	if err != nil {
		a, err := e.answer(nil, err)
		return nil, a, err
	}
	now := e.now()
	if older := e.gangs[s.Gang.Key]; g == nil && older != nil {
		e.stopGang(older, messenger.TaskStopped, s.Cause, 0, now)
	}
	if g == nil {
		return nil, e.stopUnknown(s, now), nil
	}
	grace := time.Duration(0)
	if s.CheckpointFirst {
		grace = s.Grace
	}
	e.stopGang(g, messenger.TaskStopped, s.Cause, grace, now)
	a, err := e.answer(g, nil)
	return g, a, err
}

// stopUnknown answers a Stop of an attempt without a gang, and remembers the
// attempt, so that a late Hold of it is refused. It says NeverStarted when this
// run of the agent is meant and has not sent a start of the attempt.
func (e *Enforcer) stopUnknown(s messenger.Stop, now time.Time) messenger.GangAnswer {
	seen := e.attempts[s.Gang.Key]
	a := messenger.GangAnswer{OK: true, State: messenger.TaskStopped, Epoch: e.epoch}
	if seen.number == s.Gang.Attempt {
		a.NeverStarted = s.Agent == e.Agent && !seen.called
		return a
	}
	if e.mayRemember(s.Gang.Key) { // A full memory refuses a late Hold as well.
		e.remember(s.Gang, now)
	}
	a.NeverStarted = s.Agent == e.Agent
	return a
}

// stopGang begins to stop g, which then ends in state final. A grace above 0
// asks for a checkpoint first. Repeating it has no effect.
func (e *Enforcer) stopGang(g *gang, final messenger.TaskState, cause string, grace time.Duration, now time.Time) {
	if g.stopping || g.state.Ended() {
		return
	}
	g.stopping = true
	g.final = final
	g.cause = cause
	if g.state == messenger.TaskHeld || g.state == messenger.TaskCommitted {
		for _, t := range g.tasks {
			t.gone = true
		}
	}
	if g.state == messenger.TaskStarting {
		close(g.settled)
	}
	e.change(g)
	if grace > 0 && g.state == messenger.TaskRunning {
		g.checkpointing = true
		e.spawn(func() { e.checkpoint(g, grace) })
		return
	}
	e.stopTasks(g, now)
}

// checkpoint writes a checkpoint of every task for at most grace and then stops the tasks.
func (e *Enforcer) checkpoint(g *gang, grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	left := make(chan struct{}, len(g.tasks))
	for _, t := range g.tasks {
		go func() {
			// A task without a checkpoint is stopped all the same: the caller has stated how long it may wait.
			_ = e.Worker.Checkpoint(ctx, t.id)
			left <- struct{}{}
		}()
	}
	for range g.tasks {
		<-left
	}
	before := e.lock()
	defer e.unlock(before)
	g.checkpointing = false
	e.stopTasks(g, e.now())
}

// stopTasks calls the worker for every task that may run and has no call pending, and ends g when all tasks are gone.
func (e *Enforcer) stopTasks(g *gang, now time.Time) {
	if g.state.Ended() || g.checkpointing {
		return
	}
	gone := true
	for _, t := range g.tasks {
		if !t.gone && !t.inCall && t.called && now.After(t.leaseEnd) {
			t.gone = true
		}
		if t.gone {
			continue
		}
		gone = false
		if !t.inCall {
			t.inCall = true
			e.spawn(func() { e.stopTask(g, t) })
		}
	}
	if gone {
		e.endGang(g, g.final, now)
	}
}

func (e *Enforcer) stopTask(g *gang, t *task) {
	began := e.now()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	err := e.Worker.Stop(ctx, t.id)
	cancel()
	before := e.lock()
	defer e.unlock(before)
	t.inCall = false
	if err != nil || !began.After(t.lateUntil) {
		return // A later tick tries again.
	}
	t.gone = true
	if e.allGone(g) {
		e.endGang(g, g.final, e.now())
	}
}

func (e *Enforcer) allGone(g *gang) bool {
	return !slices.ContainsFunc(g.tasks, func(t *task) bool { return !t.gone })
}

// endGang frees the resources of g. Nothing of g may run any more.
func (e *Enforcer) endGang(g *gang, state messenger.TaskState, now time.Time) {
	if g.state.Ended() {
		return
	}
	g.state = state
	g.endedAt = now
	g.hold.Payload = nil
	r := g.resources()
	e.take(descriptor.Resources{Cores: -r.Cores, Memory: -r.Memory, Accelerators: -r.Accelerators})
	for _, t := range g.tasks {
		for _, i := range t.indexes {
			e.usedAccelerators[i] = false
		}
	}
	close(g.ended)
	e.change(g)
}

// expireGang ends a hold or a commit, or begins to stop an unconfirmed start, that is past its time.
func (e *Enforcer) expireGang(g *gang, now time.Time) bool {
	if g.confirmed || g.stopping || g.state.Ended() || now.Before(g.expires) {
		return false
	}
	cause := fmt.Sprintf("%s attempt expired", g.state)
	e.stopGang(g, messenger.TaskStopped, cause, 0, now)
	return true
}

func (e *Enforcer) tickGang(g *gang, isolated bool, now time.Time) {
	e.expireGang(g, now)
	if isolated && !g.state.Ended() {
		e.stopGang(g, messenger.TaskStopped, "no entry heard", IsolatedGrace, now)
	}
	lapsed := func(t *task) bool { return t.running && !t.gone && now.After(t.leaseEnd) }
	if slices.ContainsFunc(g.tasks, lapsed) {
		e.stopGang(g, messenger.TaskFailed, "lease at the worker lapsed", 0, now)
	}
	if g.stopping {
		e.stopTasks(g, now)
	}
}

// forgetGangs drops ended attempts that are acknowledged or old, and old entries of the attempt memory.
func (e *Enforcer) forgetGangs(now time.Time) {
	for key, g := range e.gangs {
		if g.state.Ended() && (g.acknowledged || now.Sub(g.endedAt) > remember) {
			s := e.attempts[key]
			s.at = now
			e.attempts[key] = s
			delete(e.gangs, key)
		}
	}
	for key, s := range e.attempts {
		if e.gangs[key] == nil && now.Sub(s.at) > remember {
			delete(e.attempts, key)
		}
	}
}

// Acknowledge tells that the scheduler has recorded these ended attempts.
func (e *Enforcer) Acknowledge(refs []messenger.GangRef) {
	before := e.lock()
	defer e.unlock(before)
	for _, r := range refs {
		g := e.gangs[r.Key]
		if g != nil && g.ref.Attempt == r.Attempt && g.state.Ended() {
			g.acknowledged = true
		}
	}
}

// StopAll checkpoints and stops every attempt and waits until all are gone or ctx ends.
func (e *Enforcer) StopAll(ctx context.Context, cause string, grace time.Duration) error {
	before := e.lock()
	var pending []*gang
	for _, g := range e.gangs {
		e.stopGang(g, messenger.TaskStopped, cause, grace, e.now())
		pending = append(pending, g)
	}
	e.unlock(before)
	for _, g := range pending {
		select {
		case <-g.ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
