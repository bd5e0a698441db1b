package coordinator

import (
	"context"
	"errors"
	"time"

	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

// applyDecision applies a decision of the core. It starts or stops a gang in a background goroutine, or ends the job.
// An attempt that is to be stopped and has no gang is reported to the core as stopped.
func (d *schedulingDuty) applyDecision(t *termState, decision scheduler.Decision, now time.Time) {
	d.entry.audit("job "+decision.Key.String(), decision.Kind.String(), decision.Reason)
	d.entry.metrics.Increment("decisions_total", "kind", decision.Kind.String())
	switch decision.Kind {
	case scheduler.DecisionStart:
		d.launch(t, decision, now)
	case scheduler.DecisionReclaim, scheduler.DecisionStop:
		g := t.gangs[decision.Key]
		if g == nil || g.ref.Attempt != decision.Attempt {
			t.core.HandleEvent(scheduler.Event{Key: decision.Key, Attempt: decision.Attempt, Kind: scheduler.EventStopped, Cause: "no agent holds it"}, now)
			return
		}
		event := scheduler.Event{Key: decision.Key, Attempt: decision.Attempt, Kind: scheduler.EventStopped, Cause: decision.Reason}
		d.beginStop(t, g, decision.Grace, event)
	case scheduler.DecisionEnd:
		result := descriptor.ResultNotRun
		if decision.Attempt > 0 {
			result = descriptor.ResultFailed
		}
		d.endJob(t, decision.Key, result, decision.Reason)
	}
}

// launch starts a new attempt at the agents of its placement. If no agent reports one of the workers, the attempt
// counts as not started. A job that is no longer cached is ignored.
func (d *schedulingDuty) launch(t *termState, decision scheduler.Decision, now time.Time) {
	r, ok := d.entry.jobs.get(decision.Key)
	if !ok {
		return
	}
	g := &gang{
		ref:       messenger.GangAttempt{Key: decision.Key, Attempt: decision.Attempt, Epoch: t.epoch},
		job:       r.Job,
		phase:     phaseStarting,
		unclaimed: true,
	}
	d.addGang(t, g)
	for _, a := range decision.Placement {
		s, ok := d.entry.agents.ofWorker(a.Worker)
		if !ok {
			d.handleStartResult(t, g, memberError{worker: a.Worker, text: "no agent reports this worker"})
			return
		}
		g.members = append(g.members, member{agent: s.report.Agent, address: s.report.Address, worker: a.Worker, tasks: a.Tasks})
	}
	d.startInBackground(t, g, d.startGang)
}

// addGang makes the scheduler responsible for an attempt, in place of an earlier one of the same job.
func (d *schedulingDuty) addGang(t *termState, g *gang) {
	t.gangs[g.ref.Key] = g
	t.attempted[g.ref.Key] = true
	d.mu.Lock()
	d.managedAttempts[g.ref.Key] = g.ref.Attempt
	d.mu.Unlock()
}

// removeGang ends the scheduler's responsibility for an attempt, unless another gang has taken its place.
func (d *schedulingDuty) removeGang(t *termState, g *gang) {
	if t.gangs[g.ref.Key] != g {
		return
	}
	delete(t.gangs, g.ref.Key)
	d.mu.Lock()
	delete(d.managedAttempts, g.ref.Key)
	d.mu.Unlock()
}

// forgetAttempt drops what the term knows about the attempts of a job whose end is recorded in the store. An attempt
// that the scheduler is still responsible for stays managed.
func (d *schedulingDuty) forgetAttempt(t *termState, k descriptor.JobKey) {
	delete(t.awaited, k)
	delete(t.attempted, k)
	if t.gangs[k] != nil {
		return
	}
	d.mu.Lock()
	delete(d.managedAttempts, k)
	d.mu.Unlock()
}

// startInBackground calls start in a goroutine and passes the result to handleStartResult in the loop.
func (d *schedulingDuty) startInBackground(t *termState, g *gang, start func(context.Context, *gang) error) {
	ctx, cancel := context.WithCancel(t.ctx)
	g.cancelStart = cancel
	d.startingGangs.Add(1)
	d.background.Go(func() {
		defer d.startingGangs.Add(-1)
		err := start(ctx, g)
		cancel()
		d.commands <- func() {
			if d.currentTerm == t {
				d.handleStartResult(t, g, err)
			}
		}
	})
}

// handleStartResult processes the result of startInBackground: it records that the gang is running or, if err is not
// nil, stops all members. It ignores the result if the gang is already being stopped.
func (d *schedulingDuty) handleStartResult(t *termState, g *gang, err error) {
	now := d.entry.now()
	if g.phase == phaseStopping {
		return
	}
	if err == nil {
		g.phase = phaseRunning
		g.startedAt = now
		t.core.HandleEvent(scheduler.Event{Key: g.ref.Key, Attempt: g.ref.Attempt, Kind: scheduler.EventStarted}, now)
		if r, ok := d.entry.jobs.get(g.ref.Key); ok {
			d.entry.metrics.ObserveDuration("job_wait_seconds", now.Sub(r.Accepted), "workspace", string(g.job.Workspace), "class", string(g.job.Class))
		}
		d.recordRunning(g)
		return
	}
	// Every error after a Start was sent in this term wraps errStartUncertain. An earlier term would have claimed a
	// non-idempotent job before its first Start.
	g.unstarted = g.unclaimed && !errors.Is(err, errStartUncertain) && !errors.Is(err, errAlreadyClaimed)
	event := scheduler.Event{Key: g.ref.Key, Attempt: g.ref.Attempt, Kind: scheduler.EventNotStarted, Cause: err.Error()}
	var memberErr memberError
	if errors.As(err, &memberErr) {
		event.Worker = memberErr.worker
	}
	d.entry.audit("job "+g.ref.Key.String(), "not started", err.Error())
	d.beginStop(t, g, 0, event)
}

// recordRunning records the running attempt of an idempotent job in the store for a later scheduler. For a
// non-idempotent job, the claim is that record.
func (d *schedulingDuty) recordRunning(g *gang) {
	if g.job.NonIdempotent {
		return
	}
	ref := g.ref
	d.recordWriter.enqueue(ref.Key, func(r *keeper.JobRecord) error {
		if r.State == keeper.JobEnded || r.State == keeper.JobCancelling || r.Attempt > ref.Attempt {
			return errAlreadyEnded
		}
		r.State = keeper.JobRunning
		r.Attempt = ref.Attempt
		r.Epoch = ref.Epoch
		return nil
	})
}

// beginStop stops all members in the background and then reports event, the outcome of the attempt, to the core. It has
// no effect if the gang is already being stopped.
func (d *schedulingDuty) beginStop(t *termState, g *gang, grace time.Duration, event scheduler.Event) {
	if g.phase == phaseStopping {
		return
	}
	wasStarting := g.phase == phaseStarting
	g.phase = phaseStopping
	g.outcome = event
	if g.cancelStart != nil {
		g.cancelStart()
	}
	d.background.Go(func() {
		neverStarted := d.stopGang(t.ctx, g, grace, event.Cause)
		d.commands <- func() {
			if d.currentTerm == t {
				d.handleStopResult(t, g, wasStarting && (neverStarted || g.unstarted))
			}
		}
	})
}

// releaseClaim queues a non-idempotent job again whose claimed attempt certainly never started, so that it can have
// another attempt.
func (d *schedulingDuty) releaseClaim(g *gang) {
	if !g.job.NonIdempotent {
		return
	}
	ref := g.ref
	d.recordWriter.enqueue(ref.Key, func(r *keeper.JobRecord) error {
		if r.State != keeper.JobRunning || r.Attempt != ref.Attempt || r.Epoch != ref.Epoch {
			return errAlreadyEnded
		}
		r.State = keeper.JobQueued
		return nil
	})
}

// handleStopResult reports the outcome of a stopped attempt to the core. If the attempt never started, it reports
// EventNotStarted instead and releases the claim. It ends the job if the job was cancelled, or if the job is
// non-idempotent and the attempt may have started.
func (d *schedulingDuty) handleStopResult(t *termState, g *gang, neverStarted bool) {
	now := d.entry.now()
	k := g.ref.Key
	r, _ := d.entry.jobs.get(k)
	d.removeGang(t, g)
	if neverStarted {
		g.outcome.Kind = scheduler.EventNotStarted
		d.releaseClaim(g)
	}
	t.core.HandleEvent(g.outcome, now)
	switch {
	case r.State == keeper.JobCancelling:
		d.endJob(t, k, descriptor.ResultFailed, "cancelled")
	case g.job.NonIdempotent && !neverStarted:
		_ = t.core.Cancel(k, now)
		d.endJob(t, k, descriptor.ResultUnknown, "the job runs at most once and its attempt ended without a result: "+g.outcome.Cause)
	}
	d.wake()
}
