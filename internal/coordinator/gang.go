package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

const (
	// stepTimeout bounds one message exchange of the gang protocol.
	stepTimeout = 1500 * time.Millisecond
	// startTimeout bounds the time from the first Start message until all members are running. It is shorter than the
	// 10 s after a Commit at which the member's reservation expires.
	startTimeout       = 8 * time.Second
	startRetryInterval = 150 * time.Millisecond
	stopRetryInterval  = 500 * time.Millisecond
)

// member is the part of a gang that runs at one agent.
type member struct {
	agent   string
	address string
	worker  descriptor.WorkerID
	tasks   []int
}

// gangPhase is the scheduler's view of the progress of an attempt.
type gangPhase int

const (
	phaseStarting gangPhase = iota
	phaseRunning
	phaseStopping
)

// gang is an attempt that the scheduler is responsible for. Its fields are written by the loop of the scheduling duty
// only.
type gang struct {
	ref       messenger.GangAttempt
	job       descriptor.Job
	members   []member
	phase     gangPhase
	startedAt time.Time
	// outcome is reported to the core once all members have stopped.
	outcome scheduler.Event
	// cancelStart cancels the goroutine that starts the gang.
	cancelStart context.CancelFunc
	// unclaimed is true if the job had no known claim when this term launched or adopted the attempt.
	unclaimed bool
	// unstarted is true if it is certain that no Start message was sent.
	unstarted bool
	// adopted is true for an attempt that an earlier scheduler began.
	adopted bool
	// reportedEpoch is the highest epoch under which agents reported an adopted attempt.
	reportedEpoch descriptor.Epoch
}

// ownsClaim reports whether the claim in r belongs to this adopted attempt. If another scheduler had taken part in
// the attempt, agents would report a newer epoch.
func (g *gang) ownsClaim(r *keeper.JobRecord) bool {
	return g.adopted && r.Attempt == g.ref.Attempt && r.Epoch == g.reportedEpoch
}

// memberError is the error of a gang message that did not reach a member or that its agent rejected.
type memberError struct {
	worker descriptor.WorkerID
	text   string
}

func (r memberError) Error() string { return fmt.Sprintf("worker %s: %s", r.worker, r.text) }

// broadcast sends a message to all members concurrently and returns the first error in member order.
func (d *schedulingDuty) broadcast(ctx context.Context, g *gang, kind messenger.Kind, request func(member) any, accept func(messenger.GangAnswer) bool) error {
	errs := make([]error, len(g.members))
	var calls sync.WaitGroup
	for i, m := range g.members {
		calls.Go(func() {
			errs[i] = d.send(ctx, m, kind, request(m), accept)
		})
	}
	calls.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// send sends a message to a member and returns a memberError if it fails or accept rejects the answer.
func (d *schedulingDuty) send(ctx context.Context, m member, kind messenger.Kind, request any, accept func(messenger.GangAnswer) bool) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var a messenger.GangAnswer
	if err := d.entry.call(ctx, m.address, kind, request, &a); err != nil {
		return memberError{worker: m.worker, text: fmt.Sprintf("%s: %v", kind, err)}
	}
	d.observeEpoch(a.Epoch)
	if !accept(a) {
		return memberError{worker: m.worker, text: fmt.Sprintf("%s: %s", kind, a.Refusal)}
	}
	return nil
}

func isOK(a messenger.GangAnswer) bool { return a.OK }

// startGang runs the gang protocol. Hold reserves the resources at all members, and Commit, sent once all hold them,
// extends the reservation. A durable claim follows if the job is non-idempotent. Start then starts the members, and
// Confirm tells them that all are running.
func (d *schedulingDuty) startGang(ctx context.Context, g *gang) error {
	hold := func(m member) any {
		return messenger.HoldRequest{
			Gang:          g.ref,
			Tasks:         m.tasks,
			Members:       len(g.members),
			PerTask:       g.job.PerTask,
			NonIdempotent: g.job.NonIdempotent,
			RunTime:       g.job.DeclaredRunTime.Std(),
			Payload:       g.job.Payload,
			Workspace:     g.job.Workspace,
			Class:         g.job.Class,
		}
	}
	if err := d.broadcast(ctx, g, messenger.KindHold, hold, isOK); err != nil {
		return err
	}
	return d.startHeldGang(ctx, g)
}

// errStartUncertain is returned when a member may have started although the start of the gang failed.
var errStartUncertain = errors.New("a member may have started")

// startHeldGang runs the gang protocol after Hold. A new scheduler uses it to complete a gang that the previous
// scheduler left between Hold and Confirm.
func (d *schedulingDuty) startHeldGang(ctx context.Context, g *gang) error {
	step := func(member) any { return messenger.GangRequest{Gang: g.ref} }
	if err := d.broadcast(ctx, g, messenger.KindCommit, step, isOK); err != nil {
		return err
	}
	if g.job.NonIdempotent {
		if err := d.claimAttempt(ctx, g); err != nil {
			return err
		}
	}
	if err := d.startMembers(ctx, g); err != nil {
		return fmt.Errorf("%w: %w", errStartUncertain, err)
	}
	// The loop repeats a lost Confirm for as long as a member reports that it is not confirmed.
	_ = d.broadcast(ctx, g, messenger.KindConfirm, step, isOK)
	return nil
}

// startMembers sends Start until every member is running. The members are started independently, so that a slow
// member does not delay the others.
func (d *schedulingDuty) startMembers(ctx context.Context, g *gang) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	errs := make([]error, len(g.members))
	var calls sync.WaitGroup
	for i, m := range g.members {
		calls.Go(func() {
			errs[i] = d.startMember(ctx, g, m)
			if errs[i] != nil {
				cancel()
			}
		})
	}
	calls.Wait()
	for _, err := range errs {
		if err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
	}
	return errors.Join(errs...)
}

// startMember repeats Start until the member's tasks run. It fails if the agent refuses, a task has failed or stopped, or
// ctx ends.
func (d *schedulingDuty) startMember(ctx context.Context, g *gang, m member) error {
	for {
		var a messenger.GangAnswer
		err := d.send(ctx, m, messenger.KindStart, messenger.GangRequest{Gang: g.ref}, func(answer messenger.GangAnswer) bool {
			a = answer
			return true
		})
		switch {
		case err == nil && (a.State == messenger.TaskRunning || a.State == messenger.TaskDone):
			return nil
		case err == nil && (a.State.Ended() || !a.OK):
			return memberError{worker: m.worker, text: "Start: " + a.Refusal}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startRetryInterval):
		}
	}
}

// claimAttempt records the attempt of a non-idempotent job in the store before any member starts.
func (d *schedulingDuty) claimAttempt(ctx context.Context, g *gang) error {
	jobs := keeper.Jobs{Store: d.entry.store, Region: d.entry.settings.Region}
	now := d.entry.now()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r, err := jobs.Change(ctx, g.ref.Key, func(r *keeper.JobRecord) error {
		// The keeper may apply a change after its caller has timed out. A claim that is written then would prevent
		// the next scheduler from starting the job.
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if r.State == keeper.JobEnded || r.State == keeper.JobCancelling {
			return errAlreadyEnded
		}
		// An earlier attempt of the same term cannot have started, or the scheduler would not have made another one.
		if r.State == keeper.JobRunning && !g.ownsClaim(r) && (r.Attempt > g.ref.Attempt || r.Epoch != g.ref.Epoch) {
			return errAlreadyClaimed
		}
		r.State = keeper.JobRunning
		r.Attempt = g.ref.Attempt
		r.Epoch = g.ref.Epoch
		r.ClaimedAt = now
		return nil
	})
	if err != nil {
		return fmt.Errorf("claim attempt %d: %w", g.ref.Attempt, err)
	}
	d.entry.jobs.put(r)
	return nil
}

var (
	errAlreadyEnded   = errors.New("job has ended")
	errAlreadyClaimed = errors.New("job was started by another attempt")
)

// isPermanentError reports whether retrying a change of a job record cannot succeed.
func isPermanentError(err error) bool {
	return errors.Is(err, errAlreadyEnded) || errors.Is(err, errAlreadyClaimed) || errors.Is(err, keeper.ErrNotFound)
}

// stopGang stops all members and returns when each has stopped or its agent is lost. It reports whether no member
// ever started.
func (d *schedulingDuty) stopGang(ctx context.Context, g *gang, grace time.Duration, cause string) (neverStarted bool) {
	results := make([]bool, len(g.members))
	var calls sync.WaitGroup
	for i, m := range g.members {
		calls.Go(func() { results[i] = d.stopMember(ctx, g, m, grace, cause) })
	}
	calls.Wait()
	for _, n := range results {
		if !n {
			return false
		}
	}
	return true
}

// stopMember repeats Stop until the member has stopped or its agent is lost. It reports whether the agent says that the
// member never started.
func (d *schedulingDuty) stopMember(ctx context.Context, g *gang, m member, grace time.Duration, cause string) (neverStarted bool) {
	request := messenger.StopRequest{Gang: g.ref, CheckpointFirst: grace > 0, Grace: grace, Cause: cause, Agent: m.agent}
	for ctx.Err() == nil {
		stop, cancel := context.WithTimeout(ctx, stepTimeout+grace)
		var a messenger.GangAnswer
		err := d.entry.call(stop, m.address, messenger.KindStop, request, &a)
		cancel()
		if err == nil {
			d.observeEpoch(a.Epoch)
			if !a.OK && a.Epoch > g.ref.Epoch {
				// A newer scheduler is responsible for the member. This term ends, and the result of the stop is
				// discarded.
				<-ctx.Done()
				return false
			}
			if !a.OK || a.State.Ended() {
				return a.NeverStarted
			}
		}
		if s, ok := d.entry.agents.get(m.agent); !ok || s.isLost(d.entry.now()) {
			return false
		}
		select {
		case <-ctx.Done():
		case <-time.After(stopRetryInterval):
		}
	}
	return false
}
