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
	// commandQueue bounds the results of gang goroutines that wait for the loop.
	commandQueue = 1024
	// decideInterval bounds how long a change waits for a decision when no event wakes the loop.
	decideInterval = 100 * time.Millisecond
	// sweepInterval is the time between checks for silent agents and overdue members.
	sweepInterval = 500 * time.Millisecond
	// adoptionTime is how long an entry listens to reports before it decides: three reports.
	adoptionTime = 1500 * time.Millisecond
	// orphanWait is how long a scheduler waits for the missing members of a reported
	// attempt: one periodic report and its way. No decision is made meanwhile, and of
	// the 2.8 s for urgent work the lapse of the lease and its retry take up to 1.5 s.
	orphanWait = 700 * time.Millisecond
	// rivalWait is how long decisions wait after another scheduler was heard: its last
	// starts are reported within that time. rivalLimit bounds the wait in a new term.
	rivalWait  = 200 * time.Millisecond
	rivalLimit = time.Second
	// pauseLimit is the longest gap between two steps of the loop after which the
	// view still counts. It is what lostLimit leaves above the 30 s after which an
	// agent that hears no entry stops its tasks.
	pauseLimit = 5 * time.Second
)

// errNotScheduler means that the entry does not schedule its region now.
var errNotScheduler = errors.New("this entry does not schedule the region")

// schedulingDuty schedules the jobs of a region while the entry holds the
// region's term. One goroutine owns the core and the gangs; goroutines that
// talk to agents hand their results to it through commands.
type schedulingDuty struct {
	entry    *Entry
	commands chan func()
	wakeups  chan struct{}
	// resigning is closed to give up the term, resigned when that is done.
	resigning, resigned chan struct{}
	records             *recordWriter
	// starting counts the gangs whose start is under way.
	starting atomic.Int32

	mu     sync.Mutex
	active bool
	// term tells that the store granted the duty; otherwise the entry acts during an outage.
	term bool
	// epoch is the one of this entry's current or last term.
	epoch descriptor.Epoch
	// highest epoch seen in the region; it only grows.
	highest descriptor.Epoch
	// attempts holds the attempt of each job that the scheduler is responsible
	// for. Reports of other ended attempts need not be kept by agents.
	attempts map[descriptor.JobKey]descriptor.Attempt
	// settledAt is when the scheduler has seen all reports after it took over.
	settledAt time.Time

	// The fields below belong to the loop.
	running   *termState
	lastSweep time.Time
	lastStep  time.Time
	// rivalAt is when another entry that calls itself the scheduler was last known.
	rivalAt time.Time
	// listeningSince is when the process started or last resumed after a pause.
	listeningSince time.Time
	background     sync.WaitGroup
}

// termState is what the scheduler builds anew in each term.
type termState struct {
	epoch    descriptor.Epoch
	core     scheduler.Core
	revision descriptor.Revision
	gangs    map[descriptor.JobKey]*gang
	// known holds the workers that the core has, and whether they take new work.
	known map[descriptor.WorkerID]bool
	// submitted holds the jobs that were handed to the core.
	submitted map[descriptor.JobKey]bool
	// attempted holds the jobs that had an attempt in this term.
	attempted map[descriptor.JobKey]bool
	// orphans are reported attempts without a gang.
	orphans map[descriptor.JobKey]*orphan
	// deferred are submitted jobs that run at most once and whose records were not read in this
	// term yet. The core does not know them; a reported attempt is adopted all the same.
	deferred map[descriptor.JobKey]bool
	// awaited are jobs that run at most once, were started in an earlier term and are not reported yet.
	awaited map[descriptor.JobKey]bool
	// asking are those about which the agents were asked.
	asking map[descriptor.JobKey]bool
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc
}

func (d *schedulingDuty) wake() {
	select {
	case d.wakeups <- struct{}{}:
	default:
	}
}

// loop owns the core and the gangs.
func (d *schedulingDuty) loop(ctx context.Context) {
	var helpers sync.WaitGroup
	helpers.Go(func() { d.termLoop(ctx) })
	helpers.Go(func() { d.records.loop(ctx, d.entry) })
	t := time.NewTicker(decideInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			d.endTerm()
			d.drain()
			helpers.Wait()
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

// runCommands runs what is queued without waiting.
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

// drain waits for background goroutines, whose results no longer matter.
func (d *schedulingDuty) drain() {
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

// do runs f in the loop and waits for it.
func (d *schedulingDuty) do(ctx context.Context, f func(*termState) error) error {
	result := make(chan error, 1)
	command := func() {
		if d.running == nil {
			result <- errNotScheduler
			return
		}
		result <- f(d.running)
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

// step brings the core up to date and carries out its decisions.
func (d *schedulingDuty) step(ctx context.Context) {
	d.checkPause(d.entry.now())
	active, epoch := d.state()
	if d.running != nil && (!active || d.running.epoch != epoch) {
		d.endTerm()
	}
	if !active {
		return
	}
	if d.running == nil {
		d.beginTerm(ctx, epoch)
	}
	now := d.entry.now()
	t := d.running
	d.syncConfiguration(t, now)
	changed := d.takeChangedAgents()
	for _, a := range changed {
		d.syncWorker(t, a, now)
	}
	d.syncJobs(t, now)
	d.syncAttempts(t, changed, now)
	if now.Sub(d.lastSweep) >= sweepInterval {
		d.lastSweep = now
		d.sweep(t, now)
	}
	if !d.mayDecide(t, now) {
		return
	}
	for _, c := range t.core.Decide(now) {
		d.carryOut(t, c, now)
	}
}

// checkPause ends the term after a pause of the process. No report was handled
// meanwhile, so every agent looks silent although its tasks run.
func (d *schedulingDuty) checkPause(now time.Time) {
	if d.lastStep.IsZero() {
		d.listeningSince = d.entry.startedAt
	}
	if !d.lastStep.IsZero() && now.Sub(d.lastStep) > pauseLimit {
		d.listeningSince = now
		d.deactivate("the process was paused")
	}
	d.lastStep = now
}

// mayDecide reports whether the view is complete enough and starts are permitted.
func (d *schedulingDuty) mayDecide(t *termState, now time.Time) bool {
	if d.waitsForRival(t, now) || d.entry.leaving.Load() {
		return false
	}
	heardAll := now.Sub(d.listeningSince) > adoptionTime
	return heardAll && d.entry.jobs.isComplete() && t.revision > 0 && d.entry.basis.permit(now).ValidFor > 0 && len(t.orphans) == 0
}

// waitsForRival reports whether an earlier scheduler may still start jobs. After an
// outage of the store its lease has lapsed, but it goes on until it hears the new epoch.
func (d *schedulingDuty) waitsForRival(t *termState, now time.Time) bool {
	if d.entry.peers.hearsOtherScheduler(now) {
		d.rivalAt = now
	}
	return now.Sub(t.began) < rivalLimit && !d.rivalAt.IsZero() && now.Sub(d.rivalAt) < rivalWait
}

func (d *schedulingDuty) beginTerm(ctx context.Context, epoch descriptor.Epoch) {
	now := d.entry.now()
	t := &termState{
		epoch:     epoch,
		gangs:     map[descriptor.JobKey]*gang{},
		known:     map[descriptor.WorkerID]bool{},
		submitted: map[descriptor.JobKey]bool{},
		attempted: map[descriptor.JobKey]bool{},
		orphans:   map[descriptor.JobKey]*orphan{},
		awaited:   map[descriptor.JobKey]bool{},
		asking:    map[descriptor.JobKey]bool{},
		deferred:  map[descriptor.JobKey]bool{},
		began:     now,
	}
	t.core.Region = d.entry.settings.Region
	t.ctx, t.cancel = context.WithCancel(ctx)
	d.running = t
	d.mu.Lock()
	d.attempts = map[descriptor.JobKey]descriptor.Attempt{}
	d.settledAt = now.Add(adoptionTime)
	d.mu.Unlock()
	d.syncConfiguration(t, now)
	for _, a := range d.entry.agents.all() {
		d.syncWorker(t, a, now)
	}
	for _, r := range d.entry.jobs.all() {
		d.syncJob(t, r, now)
	}
	for _, a := range d.entry.agents.all() {
		d.collectOrphans(t, a, now)
	}
	d.resolveOrphans(t, now)
}

func (d *schedulingDuty) endTerm() {
	if d.running == nil {
		return
	}
	d.running.cancel()
	d.running = nil
	d.mu.Lock()
	d.attempts = nil
	d.mu.Unlock()
}

func (d *schedulingDuty) syncConfiguration(t *termState, now time.Time) {
	cfg := d.entry.basis.configuration()
	if cfg == nil || cfg.Revision <= t.revision {
		return
	}
	t.core.Configure(cfg, now)
	t.revision = cfg.Revision
}

// takeChangedAgents returns the agents that reported since the last step.
func (d *schedulingDuty) takeChangedAgents() []agentState {
	var list []agentState
	for _, name := range d.entry.agents.takeChanged() {
		if a, ok := d.entry.agents.get(name); ok {
			list = append(list, a)
		}
	}
	return list
}

// syncAttempts takes over the reported attempts. Workers and jobs come before
// them: a job needs the workers that it may fit on, and an attempt its job.
func (d *schedulingDuty) syncAttempts(t *termState, changed []agentState, now time.Time) {
	for _, a := range changed {
		d.observeMembers(t, a, now)
		d.collectOrphans(t, a, now)
	}
	d.resolveOrphans(t, now)
}

// syncWorker tells the core whether a worker takes new work.
func (d *schedulingDuty) syncWorker(t *termState, a agentState, now time.Time) {
	w := a.report.Worker
	if w == nil || a.replaced {
		return
	}
	usable := !a.isSilent(now) && a.report.State != messenger.AgentLeaving
	before, known := t.known[w.ID]
	switch {
	case usable && !(known && before):
		t.core.SetWorker(*w, now)
		t.core.SetReachable(w.ID, true, now)
	case !usable && known && before:
		t.core.SetReachable(w.ID, false, now)
	case !usable && !known:
		return
	}
	t.known[w.ID] = usable
}

// syncJobs hands new and cancelled jobs to the core.
func (d *schedulingDuty) syncJobs(t *termState, now time.Time) {
	for _, r := range d.entry.jobs.takeChanged() {
		d.syncJob(t, r, now)
	}
	if len(t.deferred) == 0 || !d.entry.jobs.readSince(t.began) {
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

func compareKeys(a, b descriptor.JobKey) int { return cmp.Compare(a.String(), b.String()) }

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
			d.entry.log.Warn("job not cancelled", "job", k, "err", err)
		}
		if t.gangs[k] == nil {
			d.endCancelled(t, r)
		}
	case r.State == keeper.JobCancelling:
		d.endCancelled(t, r)
	case !t.submitted[k]:
		d.submit(t, r, now)
	}
}

// endCancelled ends a cancelled job without an attempt. It calls it not run
// only when no attempt is recorded and no earlier scheduler can have started it.
func (d *schedulingDuty) endCancelled(t *termState, r keeper.JobRecord) {
	k := r.Job.Key()
	if r.Attempt == 0 && !t.attempted[k] && r.Accepted.After(t.began) {
		d.end(t, k, descriptor.ResultNotRun, "cancelled before it started")
		return
	}
	d.end(t, k, descriptor.ResultFailed, "cancelled")
}

func (d *schedulingDuty) submit(t *termState, r keeper.JobRecord, now time.Time) {
	k := r.Job.Key()
	if t.revision == 0 {
		return
	}
	if r.Job.NonIdempotent && !r.Accepted.After(t.began) && !d.entry.jobs.readSince(t.began) {
		// The former scheduler may have claimed it after the record was read here last.
		t.submitted[k] = true
		t.deferred[k] = true
		return
	}
	t.submitted[k] = true
	if r.Job.NonIdempotent && r.State == keeper.JobRunning {
		// It was started in an earlier term and must not run again: its agents
		// report it, or else its outcome stays unknown.
		t.awaited[k] = true
		return
	}
	if err := t.core.Resubmit(r.Job, r.Accepted, r.Attempt, now); err != nil {
		d.entry.audit("job "+k.String(), "refused", err.Error())
		d.end(t, k, descriptor.ResultNotRun, err.Error())
	}
}

// end makes the end of a job durable. Until then agents keep their reports of it.
func (d *schedulingDuty) end(t *termState, k descriptor.JobKey, result descriptor.Result, reason string) {
	now := d.entry.now()
	delete(t.submitted, k)
	d.entry.audit("job "+k.String(), string(result), reason)
	if r, ok := d.entry.jobs.get(k); ok {
		d.entry.metrics.Completion("job", k.Workspace, r.Job.Class, result, now.Sub(r.Accepted))
	}
	d.records.add(k, func(r *keeper.JobRecord) error {
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
