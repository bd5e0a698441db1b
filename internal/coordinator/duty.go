package coordinator

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

const (
	// commandQueueSize is the capacity of schedulingDuty.commands.
	commandQueueSize = 1024
	// decideInterval is the time between scheduling decisions when no event wakes the loop.
	decideInterval = 100 * time.Millisecond
	// sweepInterval is the time between checks for silent agents and for claimed jobs that no agent reports.
	sweepInterval = 500 * time.Millisecond
	// adoptionDelay is the time for which an entry collects reports, after its start or a pause, before it makes
	// decisions: three report intervals. In each term, agents may forget attempts that the scheduler does not need, and
	// awaited jobs are resolved, only after the same time.
	adoptionDelay = 1500 * time.Millisecond
	// orphanTimeout bounds the wait for the missing members of a reported attempt: one report interval plus
	// transmission. No decisions are made meanwhile. Urgent work must start within 2.8 s of a scheduler's failure, and
	// the expiry of its lease and the retry to acquire it take up to 1.5 s of that.
	orphanTimeout = 700 * time.Millisecond
	// otherSchedulerDelay is the time for which decisions are delayed after hasOtherScheduler last returned true.
	// Within this time the agents report the last starts of that scheduler.
	otherSchedulerDelay = 200 * time.Millisecond
	// maxOtherSchedulerDelay is the age of a term from which otherSchedulerDelay no longer applies.
	maxOtherSchedulerDelay = time.Second
	// maxStepGap is the longest gap between two steps of the loop after which the known state of the agents still
	// holds. An agent that reaches no entry begins to stop its tasks after 30 s, and lostTimeout is maxStepGap longer.
	maxStepGap = 5 * time.Second
)

// errNotScheduler is returned by runInLoop outside a term.
var errNotScheduler = errors.New("this entry does not schedule the region")

// schedulingDuty schedules the jobs of a region while the entry is the region's scheduler. The loop goroutine owns the
// gangs and the scheduler.Core, called the core, which makes the decisions and performs no I/O. Goroutines that
// exchange messages with agents return their results to the loop through commands.
type schedulingDuty struct {
	entry *Entry
	// commands holds functions that other goroutines pass to the loop to be run there.
	commands chan func()
	// wakeups has a capacity of 1, so that several wake-ups before a step result in one step.
	wakeups chan struct{}
	// resigning is closed to request that the entry resigns as scheduler, and resigned is closed once it has.
	resigning, resigned chan struct{}
	recordWriter        *recordWriter
	// startingGangs counts the gangs that are being started.
	startingGangs atomic.Int32

	mu sync.Mutex
	// active is true while this entry is the scheduler.
	active bool
	// grantedByStore is true if the store granted the current or last term, and false if the entry began it as acting
	// scheduler during a store outage.
	grantedByStore bool
	// epoch is the epoch of this entry's current or last term.
	epoch descriptor.Epoch
	// highestEpoch is the highest epoch of the region that this entry has used or received; it never decreases.
	highestEpoch descriptor.Epoch
	// managedAttempts maps each job to the attempt that the scheduler is responsible for, or that has finished and
	// whose job's end is not recorded yet. Agents may forget older ended attempts, and ended attempts of other jobs. It
	// is nil between terms.
	managedAttempts map[descriptor.JobKey]descriptor.Attempt
	// reportsCompleteAt is the time by which all agents are expected to have reported in the current term.
	reportsCompleteAt time.Time

	// The fields below are accessed by the loop goroutine only.

	// currentTerm is nil while the entry is not the scheduler.
	currentTerm *termState
	lastSweepAt time.Time
	lastStepAt  time.Time
	// otherSchedulerSeenAt is the time at which hasOtherScheduler last returned true.
	otherSchedulerSeenAt time.Time
	// listeningSince is the time at which the process started or last resumed after a pause.
	listeningSince time.Time
	// background counts the goroutines that exchange messages with agents.
	background sync.WaitGroup
}

// termState is the scheduler state that is rebuilt in each term.
type termState struct {
	epoch descriptor.Epoch
	core  scheduler.Core
	// revision is the revision of the configuration in the core, or 0 if it has none yet.
	revision descriptor.Revision
	// gangs holds the attempts that the scheduler is responsible for.
	gangs map[descriptor.JobKey]*gang
	// workerUsable maps each worker known to the core to whether it accepts new work.
	workerUsable map[descriptor.WorkerID]bool
	// submitted holds the jobs that the scheduler handles in this term and has not ended: those in the core, and those
	// in deferred or awaited.
	submitted map[descriptor.JobKey]bool
	// attempted holds the jobs for which the scheduler was responsible for an attempt in this term.
	attempted map[descriptor.JobKey]bool
	// orphans holds attempts that agents report and that have no gang in this term.
	orphans map[descriptor.JobKey]*orphan
	// deferred holds submitted non-idempotent jobs whose records have not been read from the store in this term. They
	// are not in the core yet, but a reported attempt of such a job is adopted.
	deferred map[descriptor.JobKey]bool
	// awaited holds non-idempotent jobs that were claimed in an earlier term and whose claimed attempt has been neither
	// adopted nor resolved by sweepAwaited.
	awaited map[descriptor.JobKey]bool
	// queried holds the jobs for which queryAwaited has asked every agent of the region to stop the claimed attempt. It
	// asks once in each term, to learn whether the attempt ever started.
	queried   map[descriptor.JobKey]bool
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
}

// wake makes the loop run a step soon.
func (d *schedulingDuty) wake() {
	select {
	case d.wakeups <- struct{}{}:
	default:
	}
}

// loop runs the scheduling duty until ctx is done, then ends the term and waits for the goroutines that it started.
func (d *schedulingDuty) loop(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { d.termLoop(ctx) })
	loops.Go(func() { d.recordWriter.loop(ctx, d.entry) })
	t := time.NewTicker(decideInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			d.endTerm()
			d.awaitBackground()
			loops.Wait()
			return
		case f := <-d.commands:
			f()
		case <-d.wakeups:
		case <-t.C:
		}
		d.runCommands()
		d.step(ctx)
	}
}

// runCommands runs the queued commands without blocking.
func (d *schedulingDuty) runCommands() {
	for {
		select {
		case f := <-d.commands:
			f()
		default:
			return
		}
	}
}

// awaitBackground waits for the background goroutines and discards their results.
func (d *schedulingDuty) awaitBackground() {
	finished := make(chan struct{})
	go func() {
		d.background.Wait()
		close(finished)
	}()
	for {
		select {
		case <-finished:
			return
		case <-d.commands:
		}
	}
}

// runInLoop runs f in the loop goroutine and returns its result, or errNotScheduler outside a term. If ctx is done
// first, it returns ctx.Err() and f may still run later.
func (d *schedulingDuty) runInLoop(ctx context.Context, f func(*termState) error) error {
	result := make(chan error, 1)
	command := func() {
		if d.currentTerm == nil {
			result <- errNotScheduler
			return
		}
		result <- f(d.currentTerm)
	}
	select {
	case d.commands <- command:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// step begins or ends a term as required. During a term it updates the core from the configuration, reports and jobs,
// and applies the core's decisions if mayDecide returns true.
func (d *schedulingDuty) step(ctx context.Context) {
	d.checkPause(d.entry.now())
	active, epoch := d.activeEpoch()
	if d.currentTerm != nil && (!active || d.currentTerm.epoch != epoch) {
		d.endTerm()
	}
	if !active {
		return
	}
	if d.currentTerm == nil {
		d.beginTerm(ctx, epoch)
	}
	now := d.entry.now()
	t := d.currentTerm
	d.syncConfiguration(t, now)
	changed := d.takeChangedAgents()
	for _, a := range changed {
		d.syncWorker(t, a, now)
	}
	d.syncJobs(t, now)
	d.syncAttempts(t, changed, now)
	if now.Sub(d.lastSweepAt) >= sweepInterval {
		d.lastSweepAt = now
		d.sweep(t, now)
	}
	if !d.mayDecide(t, now) {
		return
	}
	for _, decision := range t.core.Decide(now) {
		d.applyDecision(t, decision, now)
	}
}

// checkPause ends the term if the process was paused for more than maxStepGap. No reports were handled during the
// pause, so every agent looks silent although its tasks may be running.
func (d *schedulingDuty) checkPause(now time.Time) {
	if d.lastStepAt.IsZero() {
		d.listeningSince = d.entry.startedAt
	}
	if !d.lastStepAt.IsZero() && now.Sub(d.lastStepAt) > maxStepGap {
		d.listeningSince = now
		d.deactivate("the process was paused")
	}
	d.lastStepAt = now
}

// mayDecide reports whether the known state is complete enough for decisions, starts are permitted, and no handover
// from or to another scheduler is in progress.
func (d *schedulingDuty) mayDecide(t *termState, now time.Time) bool {
	if d.waitsForOtherScheduler(t, now) || d.entry.shuttingDown.Load() {
		return false
	}
	reportsCollected := now.Sub(d.listeningSince) > adoptionDelay
	return reportsCollected && d.entry.jobs.isComplete() && t.revision > 0 && d.entry.basis.permit(now).ValidFor > 0 && len(t.orphans) == 0
}

// waitsForOtherScheduler reports whether decisions must wait because an earlier scheduler may still start jobs. After a
// store outage the lease of that scheduler has expired, but it continues until it learns of the newer epoch.
func (d *schedulingDuty) waitsForOtherScheduler(t *termState, now time.Time) bool {
	if d.entry.peers.hasOtherScheduler(now) {
		d.otherSchedulerSeenAt = now
	}
	return now.Sub(t.startedAt) < maxOtherSchedulerDelay && !d.otherSchedulerSeenAt.IsZero() && now.Sub(d.otherSchedulerSeenAt) < otherSchedulerDelay
}

// beginTerm builds the scheduler state of a new term from the known configuration, workers, jobs and reports.
func (d *schedulingDuty) beginTerm(ctx context.Context, epoch descriptor.Epoch) {
	now := d.entry.now()
	t := &termState{
		epoch:        epoch,
		gangs:        map[descriptor.JobKey]*gang{},
		workerUsable: map[descriptor.WorkerID]bool{},
		submitted:    map[descriptor.JobKey]bool{},
		attempted:    map[descriptor.JobKey]bool{},
		orphans:      map[descriptor.JobKey]*orphan{},
		awaited:      map[descriptor.JobKey]bool{},
		queried:      map[descriptor.JobKey]bool{},
		deferred:     map[descriptor.JobKey]bool{},
		startedAt:    now,
	}
	t.core.Region = d.entry.settings.Region
	t.ctx, t.cancel = context.WithCancel(ctx)
	d.currentTerm = t
	d.mu.Lock()
	d.managedAttempts = map[descriptor.JobKey]descriptor.Attempt{}
	d.reportsCompleteAt = now.Add(adoptionDelay)
	d.mu.Unlock()
	d.syncConfiguration(t, now)
	for _, a := range d.entry.agents.snapshot() {
		d.syncWorker(t, a, now)
	}
	for _, r := range d.entry.jobs.snapshot() {
		d.syncJob(t, r, now)
	}
	for _, a := range d.entry.agents.snapshot() {
		d.collectOrphans(t, a, now)
	}
	d.resolveOrphans(t, now)
}

func (d *schedulingDuty) endTerm() {
	if d.currentTerm == nil {
		return
	}
	d.currentTerm.cancel()
	d.currentTerm = nil
	d.mu.Lock()
	d.managedAttempts = nil
	d.mu.Unlock()
}

// syncConfiguration passes a newer configuration to the core.
func (d *schedulingDuty) syncConfiguration(t *termState, now time.Time) {
	cfg := d.entry.basis.configuration()
	if cfg == nil || cfg.Revision <= t.revision {
		return
	}
	t.core.Configure(cfg, now)
	t.revision = cfg.Revision
}

// takeChangedAgents returns the agents that reported or were replaced since the last step.
func (d *schedulingDuty) takeChangedAgents() []agentState {
	var changed []agentState
	for _, id := range d.entry.agents.takeChanged() {
		if a, ok := d.entry.agents.get(id); ok {
			changed = append(changed, a)
		}
	}
	return changed
}

// syncAttempts processes the attempts in the reports of changed agents. It must run after syncJobs, which must run after
// syncWorker: an attempt is adopted only if its job is known, and the core may refuse a job whose workers are not known.
func (d *schedulingDuty) syncAttempts(t *termState, changed []agentState, now time.Time) {
	for _, a := range changed {
		d.observeMembers(t, a, now)
		d.collectOrphans(t, a, now)
	}
	d.resolveOrphans(t, now)
}

// syncWorker adds an agent's worker to the core, or updates whether the worker accepts new work.
func (d *schedulingDuty) syncWorker(t *termState, a agentState, now time.Time) {
	w := a.report.Worker
	if w == nil || a.replaced {
		return
	}
	usable := !a.isSilent(now) && a.report.State != messenger.AgentLeaving
	wasUsable, known := t.workerUsable[w.ID]
	switch {
	case usable && !(known && wasUsable):
		t.core.SetWorker(*w, now)
		t.core.SetReachable(w.ID, true, now)
	case !usable && known && wasUsable:
		t.core.SetReachable(w.ID, false, now)
	case !usable && !known:
		return
	}
	t.workerUsable[w.ID] = usable
}

// syncJobs processes the changed job records. Once the records have been read from the store in this term, it also
// processes the deferred jobs of which no attempt was adopted.
func (d *schedulingDuty) syncJobs(t *termState, now time.Time) {
	for _, r := range d.entry.jobs.takeChanged() {
		d.syncJob(t, r, now)
	}
	if len(t.deferred) == 0 || !d.entry.jobs.hasReadSince(t.startedAt) {
		return
	}
	keys := sortedKeys(t.deferred)
	clear(t.deferred)
	for _, k := range keys {
		if r, ok := d.entry.jobs.get(k); ok && t.gangs[k] == nil {
			delete(t.submitted, k)
			d.syncJob(t, r, now)
		}
	}
}

// compareKeys orders job keys by their text.
func compareKeys(a, b descriptor.JobKey) int { return cmp.Compare(a.String(), b.String()) }

// syncJob processes a new or changed job record. It submits a new job. It cancels a job in the core if its cancellation
// was requested, or if it has ended and has no attempt in progress. A job to be cancelled that has no attempt in
// progress ends at once.
func (d *schedulingDuty) syncJob(t *termState, r keeper.JobRecord, now time.Time) {
	k := r.Job.Key()
	switch {
	case r.State == keeper.JobEnded:
		d.forgetAttempt(t, k)
		if t.submitted[k] && t.gangs[k] == nil {
			delete(t.submitted, k)
			_ = t.core.Cancel(k, now)
		}
	case r.State == keeper.JobCancelling && t.submitted[k]:
		if err := t.core.Cancel(k, now); err != nil {
			d.entry.log.Warn("failed to cancel job", "job", k, "err", err)
		}
		if t.gangs[k] == nil {
			d.endCancelled(t, r)
		}
	case r.State == keeper.JobCancelling:
		d.endCancelled(t, r)
	case !t.submitted[k]:
		d.submitJob(t, r, now)
	}
}

// endCancelled ends a cancelled job that has no attempt in progress. The result is NotRun only if no attempt is
// recorded and neither this scheduler nor an earlier one can have started one, and Failed otherwise.
func (d *schedulingDuty) endCancelled(t *termState, r keeper.JobRecord) {
	k := r.Job.Key()
	if r.Attempt == 0 && !t.attempted[k] && r.Accepted.After(t.startedAt) {
		d.endJob(t, k, descriptor.ResultNotRun, "cancelled before it started")
		return
	}
	d.endJob(t, k, descriptor.ResultFailed, "cancelled")
}

// submitJob submits a job to the core, unless there is no configuration yet. A non-idempotent job is instead added to
// awaited if an earlier scheduler has claimed it, and to deferred if an earlier scheduler may have claimed it since its
// record was last read. A job that the core refuses ends as NotRun.
func (d *schedulingDuty) submitJob(t *termState, r keeper.JobRecord, now time.Time) {
	k := r.Job.Key()
	if t.revision == 0 {
		return
	}
	if r.Job.NonIdempotent && !r.Accepted.After(t.startedAt) && !d.entry.jobs.hasReadSince(t.startedAt) {
		// An earlier scheduler may have claimed the job after this entry last read its record.
		t.submitted[k] = true
		t.deferred[k] = true
		return
	}
	t.submitted[k] = true
	if r.Job.NonIdempotent && r.State == keeper.JobRunning {
		// The job was claimed in an earlier term and may have run, so it must not be started again. It waits until
		// agents report its attempt or sweepAwaited resolves it.
		t.awaited[k] = true
		return
	}
	if err := t.core.RestoreJob(r.Job, r.Accepted, r.Attempt, now); err != nil {
		d.entry.audit("job "+k.String(), "refused", err.Error())
		d.endJob(t, k, descriptor.ResultNotRun, err.Error())
	}
}

// endJob records the end of a job in the store, in the background. Agents keep their reports of the job until the
// record is durable.
func (d *schedulingDuty) endJob(t *termState, k descriptor.JobKey, result descriptor.Result, reason string) {
	now := d.entry.now()
	delete(t.submitted, k)
	d.entry.audit("job "+k.String(), string(result), reason)
	if r, ok := d.entry.jobs.get(k); ok {
		d.entry.metrics.ObserveCompletion("job", k.Workspace, r.Job.Class, result, now.Sub(r.Accepted))
	}
	d.recordWriter.enqueue(k, func(r *keeper.JobRecord) error {
		if r.State == keeper.JobEnded {
			return errAlreadyEnded
		}
		r.State = keeper.JobEnded
		r.Result = result
		r.Reason = reason
		r.EndedAt = now
		return nil
	})
}
