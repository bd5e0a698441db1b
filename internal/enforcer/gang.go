package enforcer

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

const (
	// startTimeout limits a call that starts a task. It is longer than MaxPermitValidity, so the worker refuses a start
	// that arrives after the call has timed out.
	startTimeout = 3 * time.Second
	// stopTimeout limits a call that stops a task. A failed call is retried by a later Tick.
	stopTimeout = 2 * time.Second
	// minConfirmedAge is the age above which an adopted gang counts as confirmed. The previous incarnation of the agent
	// stopped unconfirmed gangs after ConfirmTimeout. If it ended just before that, the leases that it left lasted for
	// LeaseDuration more, and leaseMargin allows for a late renewal. The sum does not include the time for which this
	// incarnation renews the leases before it adopts the tasks.
	minConfirmedAge = ConfirmTimeout + LeaseDuration + leaseMargin
)

// gang is the part of one attempt of a job that this agent runs.
type gang struct {
	// ref identifies the attempt; its Epoch is that of the latest message about the attempt.
	ref messenger.GangAttempt
	// hold is the request that reserved the resources. For an adopted gang, only Gang, Members and PerTask are set.
	hold  messenger.HoldRequest
	state messenger.TaskState
	// version is the enforcer's version at the latest change of the gang.
	version uint64
	tasks   []*task
	// expiry is the time at which the hold, the commit or the unconfirmed start expires.
	expiry time.Time
	// confirmed is set when the scheduler has confirmed that all members of the attempt run, or when an adopted gang is
	// older than minConfirmedAge.
	confirmed bool
	startedAt time.Time
	endedAt   time.Time
	// cause describes why the gang was stopped or failed.
	cause string
	// stopping is set when the gang begins to stop, and is never reset. The gang ends in finalState when all of its
	// tasks are terminated.
	stopping   bool
	finalState messenger.TaskState
	// checkpointing is set while checkpoints are written before a stop. The leases are renewed meanwhile, unless the
	// agent is isolated.
	checkpointing bool
	// acknowledged is set when the scheduler has stored the end of the attempt.
	acknowledged bool
	// startDone is closed when all tasks are running, or when the gang begins to stop during the start; it is closed
	// from the outset if the gang is adopted. ended is closed when the gang has ended.
	startDone, ended chan struct{}
}

// task is the agent's knowledge of one task of a gang, from the hold or the adoption until the gang is removed.
type task struct {
	id                 string
	index              int
	acceleratorIndexes []int
	// startSent is set if a start call may have reached the worker, and is never reset.
	startSent bool
	// callPending is set while a start or stop call is in progress.
	callPending bool
	// startConfirmed is set when the worker has confirmed that the task runs, at startConfirmedAt, or when the task is
	// adopted. It is never reset.
	startConfirmed   bool
	startConfirmedAt time.Time
	// terminated is set when the task is not running and cannot start any more.
	terminated bool
	// succeeded is set when the task has ended successfully.
	succeeded bool
	// endedBeforeAdoption is set if the task had ended before it was adopted, and therefore holds no resources.
	endedBeforeAdoption bool
	// leaseExpiry is the time by which the worker stops the task unless its lease is renewed.
	leaseExpiry time.Time
	// startExpiry is set if the result of the start call is unknown. The worker may still process that call until then,
	// even after a stop call, so only a stop call made later shows that the task is terminated.
	startExpiry time.Time
}

// taskID returns the ID of a task at the worker. The parts are escaped so that different jobs never share an ID.
func taskID(key descriptor.JobKey, attempt descriptor.Attempt, index int) string {
	return fmt.Sprintf("%s:%s:%d:%d", url.QueryEscape(string(key.Workspace)), url.QueryEscape(string(key.Job)), attempt, index)
}

// neverStarted reports whether the gang has ended without a start call that may have reached the worker.
func (g *gang) neverStarted() bool {
	if !g.state.Ended() {
		return false
	}
	for _, t := range g.tasks {
		if t.startSent {
			return false
		}
	}
	return true
}

// markChanged assigns a new version to g, so that the next report includes it.
func (e *Enforcer) markChanged(g *gang) {
	e.version++
	g.version = e.version
}

// needsReport reports whether g must be included in a report of the changes after version since.
func (g *gang) needsReport(since uint64) bool {
	return g.version > since && !g.acknowledged
}

// resources returns the resources that the gang reserves until it ends.
func (g *gang) resources() descriptor.Resources {
	n := 0
	for _, t := range g.tasks {
		if !t.endedBeforeAdoption {
			n++
		}
	}
	return descriptor.Resources{
		Cores:        descriptor.Cores(n) * g.hold.PerTask.Cores,
		Memory:       descriptor.Megabytes(n) * g.hold.PerTask.Memory,
		Accelerators: descriptor.Accelerators(n) * g.hold.PerTask.Accelerators,
	}
}

func (g *gang) report() messenger.TaskReport {
	r := messenger.TaskReport{
		Gang:      g.ref,
		State:     g.state,
		Members:   g.hold.Members,
		Confirmed: g.confirmed,
		Resources: g.resources(),
		StartedAt: g.startedAt,
		Cause:     g.cause,
	}
	for _, t := range g.tasks {
		r.Tasks = append(r.Tasks, t.index)
	}
	return r
}

// gangAnswer builds the answer to a message about g, which may be nil, and returns it with err.
func (e *Enforcer) gangAnswer(g *gang, err error) (messenger.GangAnswer, error) {
	a := messenger.GangAnswer{OK: err == nil, Epoch: e.epoch}
	if g != nil {
		a.State = g.state
		a.NeverStarted = g.neverStarted()
	}
	if err != nil {
		a.Refusal = err.Error()
	}
	return a, err
}

// lookupAttempt checks the epoch and attempt of ref, records the epoch, and returns the gang, or nil if that attempt is
// not known.
func (e *Enforcer) lookupAttempt(ref messenger.GangAttempt) (*gang, error) {
	if ref.Epoch < e.epoch {
		return nil, ErrStaleEpoch
	}
	e.epoch = ref.Epoch
	if ref.Attempt < e.attempts[ref.Key].number {
		return nil, ErrStaleAttempt
	}
	g := e.gangs[ref.Key]
	if g == nil || g.ref.Attempt != ref.Attempt {
		return nil, nil
	}
	g.ref.Epoch = ref.Epoch
	return g, nil
}

// Hold reserves the resources and accelerator indexes of a gang. It first stops
// an older attempt of the same job, and is refused with ErrNoResources while that
// attempt has not ended. A repeated Hold has no effect.
func (e *Enforcer) Hold(h messenger.HoldRequest) (messenger.GangAnswer, error) {
	version := e.lock()
	defer e.unlock(version)
	g, err := e.lookupAttempt(h.Gang)
	if err != nil {
		return e.gangAnswer(nil, err)
	}
	if g != nil {
		if g.state.Ended() || g.stopping {
			return e.gangAnswer(g, ErrStaleAttempt)
		}
		return e.gangAnswer(g, nil)
	}
	if h.Gang.Attempt == e.attempts[h.Gang.Key].number {
		return e.gangAnswer(nil, ErrStaleAttempt)
	}
	if err := e.validateHold(h); err != nil {
		return e.gangAnswer(nil, err)
	}
	now := e.now()
	if older := e.gangs[h.Gang.Key]; older != nil && !older.state.Ended() {
		e.stopGang(older, messenger.TaskStopped, "replaced by a newer attempt", 0, now)
		if !older.state.Ended() {
			return e.gangAnswer(nil, fmt.Errorf("%w: attempt %d is being stopped", ErrNoResources, older.ref.Attempt))
		}
	}
	if !e.hasAttemptCapacity(h.Gang.Key) {
		return e.gangAnswer(nil, ErrHistoryFull)
	}
	g, err = e.reserve(h, now)
	if err == nil {
		e.recordAttempt(h.Gang, now)
	}
	return e.gangAnswer(g, err)
}

// validateHold returns an error if h is invalid or if the agent accepts no holds now. It does not check whether the
// resources are free.
func (e *Enforcer) validateHold(h messenger.HoldRequest) error {
	r := h.PerTask
	if h.Members < 1 || h.Gang.Attempt < 1 || len(h.Tasks) == 0 || len(h.Tasks) > descriptor.MaxGang || r.Cores < 0 || r.Memory < 0 || r.Accelerators < 0 {
		return ErrInvalid
	}
	if slices.ContainsFunc(h.Tasks, func(i int) bool { return i < 0 || i >= descriptor.MaxGang }) {
		return ErrInvalid
	}
	sorted := slices.Sorted(slices.Values(h.Tasks))
	if len(slices.Compact(sorted)) != len(h.Tasks) {
		return ErrInvalid
	}
	if e.leaving {
		return ErrLeaving
	}
	if e.worker == nil {
		return ErrNoWorker
	}
	if slices.Contains(e.permit.Out, e.FailureDomain) {
		return ErrDomainOut
	}
	return nil
}

// reserve creates a gang in state TaskHeld, or returns ErrNoResources if its resources are not free.
func (e *Enforcer) reserve(h messenger.HoldRequest, now time.Time) (*gang, error) {
	g := newGang(h.Gang, h)
	for _, i := range h.Tasks {
		g.tasks = append(g.tasks, &task{id: taskID(h.Gang.Key, h.Gang.Attempt, i), index: i})
	}
	need := g.resources()
	if need.Cores > e.free.Cores || need.Memory > e.free.Memory || need.Accelerators > e.free.Accelerators {
		return nil, ErrNoResources
	}
	if int(need.Accelerators) > e.countFreeAccelerators() {
		return nil, ErrNoResources
	}
	for _, t := range g.tasks {
		t.acceleratorIndexes = e.allocateAccelerators(int(h.PerTask.Accelerators))
	}
	e.subtractFree(need)
	g.state = messenger.TaskHeld
	g.expiry = now.Add(HoldTimeout)
	e.gangs[h.Gang.Key] = g
	e.markChanged(g)
	return g, nil
}

func newGang(ref messenger.GangAttempt, h messenger.HoldRequest) *gang {
	return &gang{ref: ref, hold: h, startDone: make(chan struct{}), ended: make(chan struct{})}
}

// subtractFree subtracts r from the free resources. Negative amounts are added.
func (e *Enforcer) subtractFree(r descriptor.Resources) {
	e.free.Cores -= r.Cores
	e.free.Memory -= r.Memory
	e.free.Accelerators -= r.Accelerators
}

func (e *Enforcer) countFreeAccelerators() int {
	n := 0
	for _, used := range e.usedAccelerators {
		if !used {
			n++
		}
	}
	return n
}

// allocateAccelerators reserves up to n free accelerator indexes and returns them.
func (e *Enforcer) allocateAccelerators(n int) []int {
	var indexes []int
	for i, used := range e.usedAccelerators {
		if len(indexes) == n {
			break
		}
		if !used {
			e.usedAccelerators[i] = true
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// hasAttemptCapacity reports whether an attempt of the job can be recorded without exceeding maxRetained.
func (e *Enforcer) hasAttemptCapacity(key descriptor.JobKey) bool {
	_, known := e.attempts[key]
	return known || len(e.attempts) < maxRetained
}

// recordAttempt records ref as the highest attempt of its job.
func (e *Enforcer) recordAttempt(ref messenger.GangAttempt, now time.Time) {
	e.attempts[ref.Key] = attemptRecord{number: ref.Attempt, recordedAt: now}
}

// Commit turns a hold into a commit, which expires after CommitTimeout. It is
// refused if the hold has expired. A repeated Commit has no effect.
func (e *Enforcer) Commit(req messenger.GangRequest) (messenger.GangAnswer, error) {
	version := e.lock()
	defer e.unlock(version)
	g, err := e.lookupActive(req.Gang)
	if err != nil {
		return e.gangAnswer(g, err)
	}
	now := e.now()
	if g.state == messenger.TaskHeld {
		if e.expireIfDue(g, now) {
			return e.gangAnswer(g, ErrStaleAttempt)
		}
		g.state = messenger.TaskCommitted
		g.expiry = now.Add(CommitTimeout)
		e.markChanged(g)
	}
	return e.gangAnswer(g, nil)
}

// lookupActive returns the gang of an attempt, or nil and the reason for the refusal. If the gang has ended or is being
// stopped, it is returned together with ErrStaleAttempt.
func (e *Enforcer) lookupActive(ref messenger.GangAttempt) (*gang, error) {
	g, err := e.lookupAttempt(ref)
	if err != nil {
		return nil, err
	}
	if g == nil {
		return nil, ErrUnknownGang
	}
	if g.state.Ended() || g.stopping {
		return g, ErrStaleAttempt
	}
	return g, nil
}

// Start starts the tasks of a committed gang. It returns when all tasks are
// running or the start has failed. If ctx ends first, it returns with state
// TaskStarting; later changes are included in reports.
func (e *Enforcer) Start(ctx context.Context, req messenger.GangRequest) (messenger.GangAnswer, error) {
	g, a, err := e.beginStart(req)
	if err != nil {
		return a, err
	}
	select {
	case <-g.startDone:
	case <-ctx.Done():
	}
	version := e.lock()
	defer e.unlock(version)
	if g.state.Ended() || g.stopping {
		return e.gangAnswer(g, fmt.Errorf("%w: %s", ErrStaleAttempt, g.cause))
	}
	return e.gangAnswer(g, nil)
}

// beginStart is the part of Start that does not wait. On success, the gang is starting or running already; on error,
// the answer holds the refusal and the gang may be nil.
func (e *Enforcer) beginStart(req messenger.GangRequest) (*gang, messenger.GangAnswer, error) {
	version := e.lock()
	defer e.unlock(version)
	g, err := e.lookupActive(req.Gang)
	if err == nil {
		err = e.acceptStart(g)
	}
	a, err := e.gangAnswer(g, err)
	return g, a, err
}

// acceptStart begins the start of a committed gang. A repeated start has no effect.
func (e *Enforcer) acceptStart(g *gang) error {
	switch g.state {
	case messenger.TaskStarting, messenger.TaskRunning:
		return nil
	case messenger.TaskCommitted:
	default:
		return fmt.Errorf("%w: %s", ErrWrongState, g.state)
	}
	now := e.now()
	if e.expireIfDue(g, now) {
		return ErrStaleAttempt
	}
	if e.leaving {
		return ErrLeaving
	}
	if err := e.checkPermit(now); err != nil {
		return err
	}
	g.state = messenger.TaskStarting
	g.startedAt = now
	g.expiry = now.Add(ConfirmTimeout)
	e.markChanged(g)
	for _, t := range g.tasks {
		t.callPending = true
		e.spawn(func() { e.startTask(g, t) })
	}
	return nil
}

// startTask calls the worker to start t. The permit is checked again immediately before the call.
func (e *Enforcer) startTask(g *gang, t *task) {
	call, err := e.prepareStart(g, t)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		err = e.Worker.Start(ctx, call)
		cancel()
	}
	e.finishStart(g, t, err)
}

// prepareStart checks that t may still start, records the start as sent and returns the parameters of the call.
func (e *Enforcer) prepareStart(g *gang, t *task) (TaskStart, error) {
	version := e.lock()
	defer e.unlock(version)
	now := e.now()
	if g.stopping {
		return TaskStart{}, fmt.Errorf("%w: %s", ErrNotRun, g.cause)
	}
	if err := e.checkPermit(now); err != nil {
		return TaskStart{}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	t.startSent = true
	if record := e.attempts[g.ref.Key]; record.number == g.ref.Attempt {
		record.startSent = true
		e.attempts[g.ref.Key] = record
	}
	t.leaseExpiry = e.permitExpiry.Add(LeaseDuration + leaseMargin)
	return TaskStart{
		ID:                 t.id,
		Key:                g.ref.Key,
		Attempt:            g.ref.Attempt,
		Index:              t.index,
		Members:            g.hold.Members,
		Resources:          g.hold.PerTask,
		AcceleratorIndexes: t.acceleratorIndexes,
		Lease:              descriptor.Duration(LeaseDuration),
		NotAfter:           e.permitExpiry,
		RunTime:            descriptor.Duration(g.hold.RunTime),
		Payload:            g.hold.Payload,
	}, nil
}

// finishStart records the result of the start call of t. An error stops the gang. Once all tasks are confirmed, the
// gang is running.
func (e *Enforcer) finishStart(g *gang, t *task, err error) {
	version := e.lock()
	defer e.unlock(version)
	now := e.now()
	t.callPending = false
	switch {
	case err == nil:
		t.startConfirmed = true
		t.startConfirmedAt = now
		t.leaseExpiry = now.Add(LeaseDuration + leaseMargin)
	case errors.Is(err, ErrNotRun):
		t.terminated = true
	default:
		t.startExpiry = t.leaseExpiry.Add(-LeaseDuration - leaseMargin) // NotAfter of the call
	}
	if err != nil {
		e.stopGang(g, messenger.TaskFailed, fmt.Sprintf("start of task %d: %v", t.index, err), 0, now)
	}
	if g.stopping {
		e.stopTasks(g, now)
		return
	}
	for _, t := range g.tasks {
		if !t.startConfirmed {
			return
		}
	}
	g.state = messenger.TaskRunning
	e.markChanged(g)
	close(g.startDone)
}

// Confirm records that all members of the gang are running, so that the gang does
// not expire any more. It is refused with ErrWrongState if the tasks here have not
// all been started.
func (e *Enforcer) Confirm(req messenger.GangRequest) (messenger.GangAnswer, error) {
	version := e.lock()
	defer e.unlock(version)
	g, err := e.lookupActive(req.Gang)
	if err != nil {
		return e.gangAnswer(g, err)
	}
	if g.state != messenger.TaskRunning {
		return e.gangAnswer(g, fmt.Errorf("%w: %s", ErrWrongState, g.state))
	}
	if e.expireIfDue(g, e.now()) {
		return e.gangAnswer(g, ErrStaleAttempt)
	}
	if !g.confirmed {
		g.confirmed = true
		e.markChanged(g)
	}
	return e.gangAnswer(g, nil)
}
