package caretaker

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"persimmontrail/internal/recorder"
	"persimmontrail/pkg/descriptor"
)

const (
	// pollWait is how long one poll of the worker waits for an attempt to end; it bounds the age of the progress
	// percentages.
	pollWait = 500 * time.Millisecond
	// pollTimeout bounds a poll, so that one on a hung connection is abandoned.
	pollTimeout = pollWait + 700*time.Millisecond
	// pollRetryPause is the pause after a failed poll.
	pollRetryPause = 100 * time.Millisecond
	// ackWait is the longest pause before the next poll while ended attempts wait for the leader's acknowledgement. The
	// worker answers polls without delay as long as it lists unacknowledged ones.
	ackWait = 150 * time.Millisecond
	// workerGoneDelay is how long connections to the worker must be refused before the worker counts as gone. If it
	// restarts later, it announces a new incarnation.
	workerGoneDelay = 250 * time.Millisecond
	// startTimeout bounds one try of a start. The worker is on the same VM and answers in milliseconds.
	startTimeout = 250 * time.Millisecond
	// maxStartTries is the number of times that an unanswered start is sent. Repeating it is safe: if the worker already
	// has the attempt, it answers that the attempt is started.
	maxStartTries = 3
	// stopTimeout bounds a stop; the leader repeats it while the worker still lists the attempt.
	stopTimeout = 400 * time.Millisecond
)

// Caretaker is the agent of one worker. Its exported fields must be set before Run and Sync.
type Caretaker struct {
	Node string
	// HoldAttempts extends the worker's hold deadline and returns the worker's lists of attempts.
	HoldAttempts func(ctx context.Context, hold Hold) (AttemptLists, error)
	// StartAttempt sends a start to the worker. Its error is ErrNoAnswer, ErrOtherIncarnation, ErrNoProcess, or ErrRefused
	// together with the refusal in the answer.
	StartAttempt func(ctx context.Context, incarnation descriptor.Incarnation, fence descriptor.Fence, start Start) (Answer, error)
	// StopAttempt sends a stop to the worker and returns the worker's clock at the time of its answer.
	StopAttempt func(ctx context.Context, incarnation descriptor.Incarnation, fence descriptor.Fence, id descriptor.AttemptID) (descriptor.WorkerClock, error)
	Log         *log.Logger
	Metrics     *recorder.Metrics

	mu sync.Mutex
	// changed is closed and replaced with each new version; nil until it is first needed.
	changed chan struct{}
	// wake ends the pause between two polls of the worker.
	wake chan struct{}
	// version numbers the states of the report; publish raises it.
	version uint64
	// fence is the highest fence that a leader has sent, 0 before the first call.
	fence descriptor.Fence
	// hasStatus is true once status holds a heartbeat.
	hasStatus  bool
	workerGone bool
	status     descriptor.WorkerStatus
	// holdUntil and ackedSeq apply to status.Incarnation and never decrease during it.
	holdUntil descriptor.WorkerClock
	ackedSeq  int64
	// lists is the worker's latest answer to a poll, made under listsFence. Its clock never decreases during an
	// incarnation.
	lists      AttemptLists
	hasLists   bool
	listsFence descriptor.Fence
	// noProcessSince is the time since which each poll was refused a connection; zero if the last poll was not.
	noProcessSince time.Time
	// lastPollErr is the error of the last poll, kept to log only changes between success and failure.
	lastPollErr error
}

// HandleHeartbeat processes a heartbeat of the worker. It ignores heartbeats of an older incarnation.
func (c *Caretaker) HandleHeartbeat(status descriptor.WorkerStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasStatus && status.Incarnation.Born < c.status.Incarnation.Born {
		c.Log.Warn("ignored heartbeat of an older incarnation", "worker", status.Incarnation.Worker, "born", status.Incarnation.Born,
			"known", c.status.Incarnation.Born)
		return
	}
	if status.Incarnation != c.status.Incarnation || !c.hasStatus {
		c.Log.Info("new worker incarnation", "worker", status.Incarnation.Worker, "born", status.Incarnation.Born, "rack", status.Rack,
			"accelerators", status.Capacity.Accelerators, "before", c.status.Incarnation.Born)
		c.holdUntil, c.ackedSeq, c.hasLists, c.lists, c.workerGone = 0, 0, false, AttemptLists{}, false
	}
	if status.Draining != c.status.Draining {
		c.Log.Info("worker state changed", "worker", status.Incarnation.Worker, "draining", status.Draining, "remaining_ms", status.DrainRemaining)
	}
	if c.workerGone && status.Incarnation == c.status.Incarnation {
		c.Log.Warn("worker considered gone is back in the same incarnation", "worker", status.Incarnation.Worker, "born", status.Incarnation.Born)
		c.workerGone, c.noProcessSince = false, time.Time{}
	}
	changed := !c.hasStatus || status.Incarnation != c.status.Incarnation || status.Draining != c.status.Draining
	c.hasStatus, c.status = true, status
	if changed {
		c.publish()
	}
}

// HandleShutdown processes the worker's notice that it shuts down.
func (c *Caretaker) HandleShutdown(id descriptor.WorkerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status.Incarnation.Worker != id {
		return
	}
	c.Log.Info("worker announced its shutdown", "worker", id, "born", c.status.Incarnation.Born)
	c.workerGone = true
	c.publish()
}

// publish raises the version of the report, and wakes the calls that wait for it and the poll loop. The caller holds
// c.mu.
func (c *Caretaker) publish() {
	c.version++
	if c.changed != nil {
		close(c.changed)
	}
	c.changed = make(chan struct{})
	c.wakePollLoop()
}

// wakePollLoop ends the pause of the poll loop, or its next one if it is polling now. The caller holds c.mu.
func (c *Caretaker) wakePollLoop() {
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Caretaker) wakeChannel() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wake == nil {
		c.wake = make(chan struct{}, 1)
	}
	return c.wake
}

// Run polls the worker until ctx is done.
func (c *Caretaker) Run(ctx context.Context) {
	wake := c.wakeChannel()
	for ctx.Err() == nil {
		pause := c.pollWorker(ctx, pollWait)
		if pause == 0 {
			continue
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-wake:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// pollWorker polls the worker once and returns the pause before the next poll.
func (c *Caretaker) pollWorker(ctx context.Context, wait time.Duration) time.Duration {
	c.mu.Lock()
	hold := Hold{Incarnation: c.status.Incarnation, Fence: c.fence, AckedSeq: c.ackedSeq, HoldUntil: c.holdUntil, Wait: wait}
	canPoll := c.hasStatus && !c.workerGone && c.fence > 0
	if hold.Fence > c.listsFence {
		hold.Wait = 0
	}
	c.mu.Unlock()
	if !canPoll {
		return pollRetryPause
	}
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	lists, err := c.HoldAttempts(callCtx, hold)
	c.mu.Lock()
	defer c.mu.Unlock()
	if (err == nil) != (c.lastPollErr == nil) && ctx.Err() == nil {
		c.Log.Info("result of worker poll changed", "worker", hold.Incarnation.Worker, "born", hold.Incarnation.Born, "err", err)
	}
	c.lastPollErr = err
	c.detectWorkerGone(hold.Incarnation, err)
	if err != nil {
		return pollRetryPause
	}
	return c.storeLists(hold, lists)
}

// detectWorkerGone marks the worker as gone once its polls have failed with ErrNoProcess for workerGoneDelay. err is
// the result of a poll of the given incarnation. The caller holds c.mu.
func (c *Caretaker) detectWorkerGone(incarnation descriptor.Incarnation, err error) {
	if !errors.Is(err, ErrNoProcess) || incarnation != c.status.Incarnation {
		c.noProcessSince = time.Time{}
		return
	}
	if c.noProcessSince.IsZero() {
		c.noProcessSince = time.Now()
		return
	}
	if absent := time.Since(c.noProcessSince); absent >= workerGoneDelay && !c.workerGone {
		c.Log.Info("worker process is gone", "worker", incarnation.Worker, "born", incarnation.Born,
			"no_process_for", absent, "draining", c.status.Draining)
		c.workerGone = true
		c.publish()
	}
}

// storeLists stores the lists unless they are older than the stored ones or from another incarnation. It returns the
// pause before the next poll. The caller holds c.mu.
func (c *Caretaker) storeLists(hold Hold, lists AttemptLists) time.Duration {
	if lists.Incarnation.Born != 0 && lists.Incarnation.Born != c.status.Incarnation.Born || hold.Incarnation != c.status.Incarnation {
		return pollRetryPause
	}
	if c.hasLists && lists.Clock < c.lists.Clock {
		return 0
	}
	changed := !c.hasLists || hold.Fence > c.listsFence || !sameAttempts(c.lists, lists)
	c.lists, c.hasLists, c.listsFence = lists, true, max(c.listsFence, hold.Fence)
	if changed {
		c.publish()
		c.clearWake()
	}
	if len(lists.Ended) > 0 {
		return ackWait
	}
	return 0
}

// clearWake discards a wake-up that the poll loop caused itself. The caller holds c.mu.
func (c *Caretaker) clearWake() {
	select {
	case <-c.wake:
	default:
	}
}

// sameAttempts reports whether two answers list the same attempts, whatever their clocks and progress.
func sameAttempts(a, b AttemptLists) bool {
	return slices.EqualFunc(a.Running, b.Running, func(x, y descriptor.AttemptStatus) bool { return x.AttemptID == y.AttemptID }) &&
		slices.EqualFunc(a.Ended, b.Ended, func(x, y descriptor.AttemptEnd) bool { return x.Seq == y.Seq })
}

// Sync executes a leader's orders and returns their results in a report. Without orders it waits, up to request.Wait,
// for a version of the report that the leader does not have.
func (c *Caretaker) Sync(ctx context.Context, request Sync) Report {
	if !c.acceptCall(request) {
		return c.report(nil)
	}
	results := c.executeOrders(ctx, request)
	switch {
	case len(results) == 0:
		c.awaitChange(ctx, request)
	case len(request.Stops) > 0:
		// The leader needs lists that were read after the stops.
		c.pollWorker(ctx, 0)
	}
	return c.report(results)
}

// acceptCall raises the fence, the hold deadline and the acknowledgement to those of the call. It returns false for a
// call of an older leader or for another incarnation of the worker; such a call is answered without delay and its
// orders are not executed. A call that names no incarnation is accepted.
func (c *Caretaker) acceptCall(request Sync) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.Fence < c.fence {
		c.Log.Warn("refused call of an older leader", "fence", request.Fence, "known", c.fence)
		return false
	}
	if request.Fence > c.fence {
		c.Log.Info("accepted a new leader", "fence", request.Fence, "before", c.fence)
		c.fence = request.Fence
		c.wakePollLoop()
	}
	if !c.hasStatus || request.Incarnation != c.status.Incarnation {
		return request.Incarnation == descriptor.Incarnation{}
	}
	if request.AckedSeq > c.ackedSeq {
		c.ackedSeq = request.AckedSeq
		c.wakePollLoop()
	}
	c.holdUntil = max(c.holdUntil, request.HoldUntil)
	return true
}

func (c *Caretaker) executeOrders(ctx context.Context, request Sync) []Result {
	results := make([]Result, len(request.Starts)+len(request.Stops))
	var wg sync.WaitGroup
	for i, st := range request.Starts {
		wg.Go(func() { results[i] = c.startAttempt(ctx, request, st) })
	}
	for i, id := range request.Stops {
		wg.Go(func() { results[len(request.Starts)+i] = c.stopAttempt(ctx, request, id) })
	}
	wg.Wait()
	return results
}

func (c *Caretaker) stopAttempt(ctx context.Context, request Sync, id descriptor.AttemptID) Result {
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	lastClock := c.lastClock()
	clock, err := c.StopAttempt(stopCtx, request.Incarnation, request.Fence, id)
	if err == nil && clock < lastClock {
		err = errNewIncarnation
	}
	c.Metrics.Count("orders_total", "kind", "Stop", "answered", yesNo(!errors.Is(err, ErrNoAnswer)))
	c.Log.Info("stop sent", "job", id.Task.Job, "task", id.Task, "run", id.Attempt, "fence", request.Fence, "err", err)
	return Result{AttemptID: id, Stopped: err == nil, Clock: clock}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// startAttempt sends a start until the worker answers, at most maxStartTries times.
func (c *Caretaker) startAttempt(ctx context.Context, request Sync, start Start) Result {
	result := Result{AttemptID: start.AttemptID}
	if c.drainingOrGone() {
		// Orders sent before the leader learned of the drain must not start anything after it.
		result.Refused = descriptor.RefusedDraining
		c.Log.Info("start refused", "job", start.Task.Job, "task", start.Task, "run", start.Attempt, "reason", "worker is draining")
		return result
	}
	var err error
	unanswered := false
	for try := range maxStartTries {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
		var answer Answer
		lastClock := c.lastClock()
		answer, err = c.StartAttempt(callCtx, request.Incarnation, request.Fence, start)
		cancel()
		if err == nil && answer.Clock < lastClock {
			answer, err = Answer{}, errNewIncarnation
		}
		result.Started, result.Refused, result.Clock = err == nil, answer.Refused, answer.Clock
		c.Metrics.Count("orders_total", "kind", "Start", "answered", yesNo(!errors.Is(err, ErrNoAnswer)))
		c.Log.Info("start sent", "job", start.Task.Job, "task", start.Task, "run", start.Attempt, "fence", request.Fence, "try", try+1,
			"by", start.Deadline, "refused", result.Refused, "err", err)
		if !errors.Is(err, ErrNoAnswer) {
			break
		}
		unanswered = true
	}
	if errors.Is(err, ErrOtherIncarnation) || errors.Is(err, ErrNoProcess) {
		result.Refused = descriptor.RefusedIncarnation
	}
	if unanswered && result.Refused != descriptor.RefusedDeadline && result.Refused != descriptor.RefusedStaleAttempt {
		// An earlier try may still take effect until its deadline.
		result.Refused = ""
	}
	return result
}

// errNewIncarnation means that the clock in an answer is behind a clock that the worker reported before: the worker was
// restarted under the same id. The answer comes from an incarnation whose heartbeat has not arrived yet.
var errNewIncarnation = errors.New("a new incarnation of the worker answered")

// lastClock returns the worker's clock in the last lists of the current incarnation, 0 if there are none.
func (c *Caretaker) lastClock() descriptor.WorkerClock {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasLists {
		return 0
	}
	return c.lists.Clock
}

func (c *Caretaker) drainingOrGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status.Draining || c.workerGone
}

// awaitChange waits, up to request.Wait, until the version of the report differs from request.KnownVersion.
func (c *Caretaker) awaitChange(ctx context.Context, request Sync) {
	t := time.NewTimer(request.Wait)
	defer t.Stop()
	for {
		c.mu.Lock()
		differs := c.version != request.KnownVersion
		if c.changed == nil {
			c.changed = make(chan struct{})
		}
		changed := c.changed
		c.mu.Unlock()
		if differs {
			return
		}
		select {
		case <-changed:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (c *Caretaker) report(results []Result) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Report{
		Node: c.Node, Version: c.version, Fence: c.fence, HasStatus: c.hasStatus, Status: c.status, WorkerGone: c.workerGone,
		ListsCurrent: c.hasLists && c.listsFence == c.fence, Clock: c.lists.Clock,
		Running: c.lists.Running, Ended: c.lists.Ended, Results: results,
	}
}
