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
	// gangCallTimeout bounds one message exchange of the gang protocol. For a Stop, the grace period is added.
	gangCallTimeout = 1500 * time.Millisecond
	// startTimeout bounds the time from the first Start message until all members are running. It is shorter than the
	// 10 s for which a member's reservation lasts after Commit.
	startTimeout       = 8 * time.Second
	startRetryInterval = 150 * time.Millisecond
	stopRetryInterval  = 500 * time.Millisecond
)

// member is the part of a gang that runs at one agent.
type member struct {
	agent   string
	address string
	worker  descriptor.WorkerID
	// tasks holds the indexes of the job's tasks that belong to the member.
	tasks []int
}

// gangPhase is the progress of an attempt as known to the scheduler.
type gangPhase int

const (
	phaseStarting gangPhase = iota
	phaseRunning
	phaseStopping
)

// gang is an attempt that the scheduler is responsible for. Only the loop of the scheduling duty writes its fields.
type gang struct {
	// ref identifies the attempt, and holds the epoch of the current term.
	ref       messenger.GangAttempt
	job       descriptor.Job
	members   []member
	phase     gangPhase
	startedAt time.Time
	// outcome is the event that is reported to the core once all members have stopped. It is set in phaseStopping.
	outcome scheduler.Event
	// cancelStart cancels the goroutine that starts the gang.
	cancelStart context.CancelFunc
	// unclaimed is true if no claim of the job was known when this term launched or adopted the attempt.
	unclaimed bool
	// unstarted is true if no Start message was sent in this term and, for a non-idempotent job, none in an earlier
	// term.
	unstarted bool
	// adopted is true for an attempt that an earlier scheduler began.
	adopted bool
	// reportedEpoch is the highest epoch under which agents reported an adopted attempt.
	reportedEpoch descriptor.Epoch
}

// ownsClaim reports whether this is an adopted attempt and the claim in r belongs to it. If a scheduler after the one
// that wrote the claim had taken part in the attempt, agents would report a newer epoch.
func (g *gang) ownsClaim(r *keeper.JobRecord) bool {
	return g.adopted && r.Attempt == g.ref.Attempt && r.Epoch == g.reportedEpoch
}

// memberError is the failure of a step of the gang protocol at one member: its agent is not known, was not reached, or
// rejected the message.
type memberError struct {
	worker descriptor.WorkerID
	text   string
}

func (e memberError) Error() string { return fmt.Sprintf("worker %s: %s", e.worker, e.text) }

// broadcast sends a message to all members concurrently. It returns the error of the first member, in the order of
// g.members, for which send fails.
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

// send sends a message to a member. It returns a memberError if the call fails or accept returns false for the answer.
func (d *schedulingDuty) send(ctx context.Context, m member, kind messenger.Kind, request any, accept func(messenger.GangAnswer) bool) error {
	ctx, cancel := context.WithTimeout(ctx, gangCallTimeout)
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
			RunTime:       g.job.DeclaredRunTime.TimeDuration(),
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

// errStartUncertain is returned if the start of a gang fails after a member may have started.
var errStartUncertain = errors.New("a member may have started")

// startHeldGang runs the gang protocol after Hold. A new scheduler uses it to complete a gang that the previous
// scheduler left between Hold and Confirm.
func (d *schedulingDuty) startHeldGang(ctx context.Context, g *gang) error {
	request := func(member) any { return messenger.GangRequest{Gang: g.ref} }
	if err := d.broadcast(ctx, g, messenger.KindCommit, request, isOK); err != nil {
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
	// A lost Confirm is repeated by observeMembers for as long as the member reports that it is not confirmed.
	_ = d.broadcast(ctx, g, messenger.KindConfirm, request, isOK)
	return nil
}

// startMembers starts all members concurrently, so that a slow member does not delay the others, and returns when all
// are running. If one fails, it gives up the others.
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

// startMember repeats Start until the member's tasks run or are done. It fails if the agent refuses, a task has failed
// or stopped, or ctx is done.
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

// claimAttempt writes the claim of a non-idempotent job for this attempt to the store, before this scheduler starts any
// member. It fails with errAlreadyEnded if the job has ended or is being cancelled, and with errAlreadyClaimed if
// another attempt may have started.
func (d *schedulingDuty) claimAttempt(ctx context.Context, g *gang) error {
	jobs := keeper.Jobs{Store: d.entry.store, Region: d.entry.settings.Region}
	now := d.entry.now()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r, err := jobs.Change(ctx, g.ref.Key, func(r *keeper.JobRecord) error {
		// keeper.Jobs may apply a change after its caller has timed out. A claim written that late would prevent the
		// next scheduler from starting the job.
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if r.State == keeper.JobEnded || r.State == keeper.JobCancelling {
			return errAlreadyEnded
		}
		// An earlier attempt of the same term cannot have started, or the scheduler would not have begun this one.
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

// isPermanentError reports whether a change of a job record that failed with err fails on every retry.
func isPermanentError(err error) bool {
	return errors.Is(err, errAlreadyEnded) || errors.Is(err, errAlreadyClaimed) || errors.Is(err, keeper.ErrNotFound)
}

// stopGang stops all members and returns when stopMember has returned for each. neverStarted is true if all agents say
// that their members never started.
func (d *schedulingDuty) stopGang(ctx context.Context, g *gang, grace time.Duration, cause string) (neverStarted bool) {
	memberNeverStarted := make([]bool, len(g.members))
	var calls sync.WaitGroup
	for i, m := range g.members {
		calls.Go(func() { memberNeverStarted[i] = d.stopMember(ctx, g, m, grace, cause) })
	}
	calls.Wait()
	for _, n := range memberNeverStarted {
		if !n {
			return false
		}
	}
	return true
}

// stopMember repeats Stop until the member has stopped, its agent is lost, or ctx is done. An agent that refuses the
// Stop without a newer epoch knows a later attempt, and the member counts as stopped. After a refusal with a newer
// epoch, stopMember waits until ctx is done. neverStarted is true if the agent says that the member never started.
func (d *schedulingDuty) stopMember(ctx context.Context, g *gang, m member, grace time.Duration, cause string) (neverStarted bool) {
	request := messenger.StopRequest{Gang: g.ref, CheckpointFirst: grace > 0, Grace: grace, Cause: cause, Agent: m.agent}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, gangCallTimeout+grace)
		var a messenger.GangAnswer
		err := d.entry.call(callCtx, m.address, messenger.KindStop, request, &a)
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
