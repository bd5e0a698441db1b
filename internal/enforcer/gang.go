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
	// startTimeout bounds one call that starts a task; permits are shorter, so that it rarely matters.
	startTimeout = 3 * time.Second
	// stopTimeout bounds one call that stops a task; a failed call is repeated at a later tick.
	stopTimeout = 2 * time.Second
	// confirmedAge is the age above which an adopted task must have been confirmed: its lease shows that the former
	// agent ran less than Lease ago, and that agent would have stopped an unconfirmed task after ConfirmWithin.
	confirmedAge = ConfirmWithin + Lease + leaseMargin
)

// gang is one attempt of a job at this agent.
type gang struct {
	ref   messenger.GangRef
	hold  messenger.Hold
	state messenger.TaskState
	// version of the last change, for reports.
	version uint64
	tasks   []*task
	// expires is when a hold, a commit or an unconfirmed start ends.
	expires   time.Time
	confirmed bool
	startedAt time.Time
	endedAt   time.Time
	cause     string
	// stopping is set once and the gang then ends in state final when all tasks are gone.
	stopping bool
	final    messenger.TaskState
	// checkpointing tasks keep their leases.
	checkpointing bool
	acknowledged  bool
	// settled is closed when the start has come to a result; ended when the gang has ended.
	settled, ended chan struct{}
}

// task is one task of a gang.
type task struct {
	id      string
	index   int
	indexes []int
	// called is set when a start may have reached the worker; it stays set.
	called bool
	// inCall is set while a start or stop call is pending.
	inCall bool
	// running is set when the worker has answered that the task runs.
	running   bool
	runningAt time.Time
	// gone is set when the task certainly does not run and will not.
	gone bool
	done bool
	// endedBefore is set when the task had ended before its adoption: it holds no resources.
	endedBefore bool
	// leaseEnd is when the worker stops the task at the latest.
	leaseEnd time.Time
	// lateUntil is when the worker refuses the start of an unknown result: a stop before that proves nothing.
	lateUntil time.Time
}

// taskID names a task at the worker. Escaping keeps ids of different jobs apart.
func taskID(key descriptor.JobKey, attempt descriptor.Attempt, index int) string {
	return fmt.Sprintf("%s:%s:%d:%d", url.QueryEscape(string(key.Workspace)), url.QueryEscape(string(key.Job)), attempt, index)
}

// neverStarted reports whether the gang has ended and no start can have reached the worker.
func (g *gang) neverStarted() bool {
	if !g.state.Ended() {
		return false
	}
	for _, t := range g.tasks {
		if t.called {
			return false
		}
	}
	return true
}

func (e *Enforcer) change(g *gang) {
	e.version++
	g.version = e.version
}

func (g *gang) reported(since uint64) bool {
	return g.version > since && !g.acknowledged
}

func (g *gang) resources() descriptor.Resources {
	n := 0
	for _, t := range g.tasks {
		if !t.endedBefore {
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

func (e *Enforcer) answer(g *gang, err error) (messenger.GangAnswer, error) {
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

// admit checks epoch and attempt and returns the gang when exactly this attempt is known.
func (e *Enforcer) admit(ref messenger.GangRef) (*gang, error) {
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

// Hold reserves resources and accelerator indexes.
func (e *Enforcer) Hold(h messenger.Hold) (messenger.GangAnswer, error) {
	before := e.lock()
	defer e.unlock(before)
	g, err := e.admit(h.Gang)
	if err != nil {
		return e.answer(nil, err)
	}
	if g != nil {
		if g.state.Ended() || g.stopping {
			return e.answer(g, ErrStaleAttempt)
		}
		return e.answer(g, nil)
	}
	if h.Gang.Attempt == e.attempts[h.Gang.Key].number {
		return e.answer(nil, ErrStaleAttempt)
	}
	if err := e.mayHold(h); err != nil {
		return e.answer(nil, err)
	}
	now := e.now()
	if older := e.gangs[h.Gang.Key]; older != nil && !older.state.Ended() {
		e.stopGang(older, messenger.TaskStopped, "replaced by a newer attempt", 0, now)
		if !older.state.Ended() {
			return e.answer(nil, fmt.Errorf("%w: attempt %d is being stopped", ErrNoResources, older.ref.Attempt))
		}
	}
	if !e.mayRemember(h.Gang.Key) {
		return e.answer(nil, ErrRememberFull)
	}
	g, err = e.reserve(h, now)
	if err == nil {
		e.remember(h.Gang, now)
	}
	return e.answer(g, err)
}

func (e *Enforcer) mayHold(h messenger.Hold) error {
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

// reserve creates the gang in state Held when its resources are free.
func (e *Enforcer) reserve(h messenger.Hold, now time.Time) (*gang, error) {
	g := newGang(h.Gang, h)
	for _, i := range h.Tasks {
		g.tasks = append(g.tasks, &task{id: taskID(h.Gang.Key, h.Gang.Attempt, i), index: i})
	}
	need := g.resources()
	if need.Cores > e.free.Cores || need.Memory > e.free.Memory || need.Accelerators > e.free.Accelerators {
		return nil, ErrNoResources
	}
	if int(need.Accelerators) > e.freeIndexes() {
		return nil, ErrNoResources
	}
	for _, t := range g.tasks {
		t.indexes = e.takeIndexes(int(h.PerTask.Accelerators))
	}
	e.take(need)
	g.state = messenger.TaskHeld
	g.expires = now.Add(HoldFor)
	e.gangs[h.Gang.Key] = g
	e.change(g)
	return g, nil
}

func newGang(ref messenger.GangRef, h messenger.Hold) *gang {
	return &gang{ref: ref, hold: h, settled: make(chan struct{}), ended: make(chan struct{})}
}

func (e *Enforcer) take(r descriptor.Resources) {
	e.free.Cores -= r.Cores
	e.free.Memory -= r.Memory
	e.free.Accelerators -= r.Accelerators
}

func (e *Enforcer) freeIndexes() int {
	n := 0
	for _, used := range e.usedAccelerators {
		if !used {
			n++
		}
	}
	return n
}

func (e *Enforcer) takeIndexes(n int) []int {
	var taken []int
	for i, used := range e.usedAccelerators {
		if len(taken) == n {
			break
		}
		if !used {
			e.usedAccelerators[i] = true
			taken = append(taken, i)
		}
	}
	return taken
}

// mayRemember reports whether the attempt memory has room for the job.
func (e *Enforcer) mayRemember(key descriptor.JobKey) bool {
	_, known := e.attempts[key]
	return known || len(e.attempts) < maxRemembered
}

// remember records the attempt as the highest of its job.
func (e *Enforcer) remember(ref messenger.GangRef, now time.Time) {
	e.attempts[ref.Key] = seenAttempt{number: ref.Attempt, at: now}
}

// Commit keeps the hold for longer.
func (e *Enforcer) Commit(s messenger.GangStep) (messenger.GangAnswer, error) {
	before := e.lock()
	defer e.unlock(before)
	g, err := e.known(s.Gang)
	if err != nil {
		return e.answer(g, err)
	}
	now := e.now()
	if g.state == messenger.TaskHeld {
		if e.expireGang(g, now) {
			return e.answer(g, ErrStaleAttempt)
		}
		g.state = messenger.TaskCommitted
		g.expires = now.Add(CommitFor)
		e.change(g)
	}
	return e.answer(g, nil)
}

// known returns the gang of an attempt that has not ended and is not being stopped.
func (e *Enforcer) known(ref messenger.GangRef) (*gang, error) {
	g, err := e.admit(ref)
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

// Start starts the tasks of a committed gang. It waits for the worker until ctx
// ends and then answers with state Starting; reports tell the rest.
func (e *Enforcer) Start(ctx context.Context, s messenger.GangStep) (messenger.GangAnswer, error) {
	g, a, err := e.beginStart(s)
	if err != nil {
		return a, err
	}
	select {
	case <-g.settled:
	case <-ctx.Done():
	}
	before := e.lock()
	defer e.unlock(before)
	if g.state.Ended() || g.stopping {
		return e.answer(g, fmt.Errorf("%w: %s", ErrStaleAttempt, g.cause))
	}
	return e.answer(g, nil)
}

func (e *Enforcer) beginStart(s messenger.GangStep) (*gang, messenger.GangAnswer, error) {
	before := e.lock()
	defer e.unlock(before)
	g, err := e.known(s.Gang)
	if err == nil {
		err = e.acceptStart(g)
	}
	a, err := e.answer(g, err)
	return g, a, err
}

func (e *Enforcer) acceptStart(g *gang) error {
	switch g.state {
	case messenger.TaskStarting, messenger.TaskRunning:
		return nil
	case messenger.TaskCommitted:
	default:
		return fmt.Errorf("%w: %s", ErrWrongState, g.state)
	}
	now := e.now()
	if e.expireGang(g, now) {
		return ErrStaleAttempt
	}
	if e.leaving {
		return ErrLeaving
	}
	if err := e.mayStart(now); err != nil {
		return err
	}
	g.state = messenger.TaskStarting
	g.startedAt = now
	g.expires = now.Add(ConfirmWithin)
	e.change(g)
	for _, t := range g.tasks {
		t.inCall = true
		e.spawn(func() { e.startTask(g, t) })
	}
	return nil
}

// startTask makes the worker's start call for one task, with the permit checked once more right before it.
func (e *Enforcer) startTask(g *gang, t *task) {
	call, err := e.prepareStart(g, t)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		err = e.Worker.Start(ctx, call)
		cancel()
	}
	e.finishStart(g, t, err)
}

func (e *Enforcer) prepareStart(g *gang, t *task) (TaskStart, error) {
	before := e.lock()
	defer e.unlock(before)
	now := e.now()
	if g.stopping {
		return TaskStart{}, fmt.Errorf("%w: %s", ErrNotRun, g.cause)
	}
	if err := e.mayStart(now); err != nil {
		return TaskStart{}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	t.called = true
	if s := e.attempts[g.ref.Key]; s.number == g.ref.Attempt {
		s.called = true
		e.attempts[g.ref.Key] = s
	}
	t.leaseEnd = e.permitEnd.Add(Lease + leaseMargin)
	return TaskStart{
		ID:                 t.id,
		Key:                g.ref.Key,
		Attempt:            g.ref.Attempt,
		Index:              t.index,
		Members:            g.hold.Members,
		Resources:          g.hold.PerTask,
		AcceleratorIndexes: t.indexes,
		Lease:              descriptor.Duration(Lease),
		NotAfter:           e.permitEnd,
		RunTime:            descriptor.Duration(g.hold.RunTime),
		Payload:            g.hold.Payload,
	}, nil
}

func (e *Enforcer) finishStart(g *gang, t *task, err error) {
	before := e.lock()
	defer e.unlock(before)
	now := e.now()
	t.inCall = false
	switch {
	case err == nil:
		t.running = true
		t.runningAt = now
		t.leaseEnd = now.Add(Lease + leaseMargin)
	case errors.Is(err, ErrNotRun):
		t.gone = true
	default:
		t.lateUntil = t.leaseEnd.Add(-Lease - leaseMargin)
	}
	if err != nil {
		e.stopGang(g, messenger.TaskFailed, fmt.Sprintf("start of task %d: %v", t.index, err), 0, now)
	}
	if g.stopping {
		e.stopTasks(g, now)
		return
	}
	for _, t := range g.tasks {
		if !t.running {
			return
		}
	}
	g.state = messenger.TaskRunning
	e.change(g)
	close(g.settled)
}

// Confirm tells that all members of the gang run.
func (e *Enforcer) Confirm(s messenger.GangStep) (messenger.GangAnswer, error) {
	before := e.lock()
	defer e.unlock(before)
	g, err := e.known(s.Gang)
	if err != nil {
		return e.answer(g, err)
	}
	if g.state != messenger.TaskRunning {
		return e.answer(g, fmt.Errorf("%w: %s", ErrWrongState, g.state))
	}
	if e.expireGang(g, e.now()) {
		return e.answer(g, ErrStaleAttempt)
	}
	if !g.confirmed {
		g.confirmed = true
		e.change(g)
	}
	return e.answer(g, nil)
}
