package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"persimmontrail/internal/recorder"
	"persimmontrail/internal/timekeeper"
	"persimmontrail/pkg/descriptor"
)

const (
	// pollWait is how long one poll of the worker waits for an attempt to end; it bounds the age of the progress
	// percentages.
	pollWait = 500 * time.Millisecond
	// pollTimeout bounds a poll, so that one on a hung connection is abandoned.
	pollTimeout = pollWait + 700*time.Millisecond
	// pollRetryPause is the pause after a failed or discarded poll, and between two checks whether the worker can be
	// polled.
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
	// stopTimeout bounds one try of a stop.
	stopTimeout = 400 * time.Millisecond
	// maxStopTries is the number of times that an unanswered stop is sent. The first try may meet a connection that has
	// gone silent. The leader repeats the stop while the worker still lists the attempt.
	maxStopTries = 2
	// maxStartDelay is the longest time between the arrival of a start and its last try. The tries take 0.75 s.
	maxStartDelay = time.Second
	// maxConcurrentStarts bounds the starts that are sent to the worker at a time. Hundreds at once take longer than
	// startTimeout, and each unanswered one is sent again. A worker takes 64 connections.
	maxConcurrentStarts = 32
	// maxListsAge is the age, counted from the poll's request, from which the worker's lists are too old to send it a
	// start. It is the age at which the leader places nothing new on the worker either. Polls take at most pollTimeout.
	maxListsAge = 1500 * time.Millisecond
	// candidatePeriod is how long an announced incarnation that the worker does not confirm is remembered. Heartbeats
	// come every 1.5 s.
	candidatePeriod = 4 * time.Second
)

// Agent is the agent of one worker. Its exported fields must be set before Run and Sync.
type Agent struct {
	Node string
	// HoldAttempts extends the worker's hold deadline and returns the worker's lists of attempts.
	HoldAttempts func(ctx context.Context, hold HoldRequest) (AttemptLists, error)
	// StartAttempt sends a start to the worker. Its error is ErrNoAnswer, ErrOtherIncarnation, ErrNoProcess, or ErrRefused
	// together with the refusal in the answer.
	StartAttempt func(ctx context.Context, incarnation descriptor.Incarnation, fence descriptor.Fence, start Start) (StartAnswer, error)
	// StopAttempt sends a stop to the worker and returns the worker's clock at the time of its answer.
	StopAttempt func(ctx context.Context, incarnation descriptor.Incarnation, fence descriptor.Fence, id descriptor.AttemptID) (descriptor.WorkerClock, error)
	// BootTime returns the time since the start of the VM, including suspensions; nil means timekeeper.BootTime.
	BootTime func() time.Duration
	Log      *log.Logger
	Metrics  *recorder.Metrics

	mu sync.Mutex
	// changed is closed and replaced with each new version; nil until it is first needed.
	changed chan struct{}
	// wake ends the pause between two polls of the worker.
	wake chan struct{}
	// startSlots holds a value for each start that is being sent; nil until it is first needed.
	startSlots chan struct{}
	// version numbers the states of the report; publish raises it.
	version uint64
	// life identifies this process in its reports; 0 until it is first needed. reports counts them.
	life    Life
	reports uint64
	// fence is the highest fence that a leader has sent, 0 before the first call.
	fence descriptor.Fence
	// hasStatus is true once status holds a heartbeat. status.Incarnation changes only to one that the worker has
	// confirmed, except while confirmed is false.
	hasStatus bool
	status    descriptor.WorkerStatus
	// confirmed is true once the worker has answered a poll as status.Incarnation.
	confirmed bool
	// candidate is the last heartbeat that announced another incarnation than the confirmed one; nil if there is none, or
	// the worker has denied it.
	candidate *descriptor.WorkerStatus
	// candidateAt is when candidate arrived.
	candidateAt time.Time
	// contested is the last heartbeat of status.Incarnation that differs from status in facts that do not change during
	// an incarnation; nil if the last one agreed.
	contested *descriptor.WorkerStatus
	// olderSince is when the first heartbeat of status.Incarnation arrived that is older than status; zero if the last one
	// was not.
	olderSince time.Time
	// leaving is true once a shutdown notice has arrived, until a heartbeat of status.Incarnation shows that the worker
	// still takes work. A notice that names no incarnation may come late from a former one.
	leaving bool
	// leavingNamed is true if the notice named status.Incarnation. It implies leaving.
	leavingNamed bool
	// workerGone is true once nothing of the worker runs any more.
	workerGone bool
	// holdUntil and ackedSeq apply to status.Incarnation and never decrease during it.
	holdUntil descriptor.WorkerClock
	ackedSeq  int64
	// lists is the worker's latest answer to a poll, made under listsFence. Its clock never decreases during an
	// incarnation.
	lists      AttemptLists
	hasLists   bool
	listsFence descriptor.Fence
	// listsRequestedAt is the boot time at which the request for lists was sent.
	listsRequestedAt time.Duration
	// verified is true if the last poll showed status.Incarnation. Only then the next one may acknowledge ends and extend
	// the hold, on the same connection.
	verified bool
	// noProcessSince is the time since which each poll was refused a connection; zero if the last poll was not.
	noProcessSince time.Time
	// lastPollErr is the error of the last poll, kept to log only changes between success and failure.
	lastPollErr error
}

// HandleHeartbeat processes a heartbeat. One that announces another incarnation than the confirmed one changes nothing
// until the worker itself has answered as that incarnation: a heartbeat may be late, or come from another writer.
func (a *Agent) HandleHeartbeat(status descriptor.WorkerStatus) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.hasStatus && status.Incarnation == a.status.Incarnation:
		a.candidate = nil
		a.updateStatus(status)
	case a.confirmed:
		a.candidate, a.candidateAt = &status, time.Now()
		a.wakePollLoop()
	default:
		a.beginIncarnation(status)
	}
}

// beginIncarnation makes the incarnation of a heartbeat the current one, and discards the hold deadline, the
// acknowledgement and the lists of the former one. The caller holds a.mu.
func (a *Agent) beginIncarnation(status descriptor.WorkerStatus) {
	a.Log.Info("new worker incarnation", "worker", status.Incarnation.Worker, "born", status.Incarnation.Born, "rack", status.Rack,
		"accelerators", status.Capacity.Accelerators, "before", a.status.Incarnation.Born)
	a.holdUntil, a.ackedSeq, a.hasLists, a.lists, a.workerGone, a.leaving, a.leavingNamed = 0, 0, false, AttemptLists{}, false, false, false
	a.noProcessSince, a.candidate, a.contested, a.confirmed, a.verified = time.Time{}, nil, nil, false, false
	a.olderSince = time.Time{}
	a.hasStatus, a.status = true, status
	a.publish()
}

// updateStatus takes over a heartbeat of the current incarnation, unless it is older than the last one. Facts that do not
// change during an incarnation are taken over only when two heartbeats in a row agree on them. The caller holds a.mu.
func (a *Agent) updateStatus(status descriptor.WorkerStatus) {
	if a.olderHeartbeat(status) {
		a.Log.Warn("ignored heartbeat that is older than the last one", "worker", status.Incarnation.Worker, "born", status.Incarnation.Born,
			"seq", status.Seq, "known", a.status.Seq, "draining", status.Draining)
		a.Metrics.Increment("set_aside_total", "source", "Heartbeat")
		return
	}
	if !sameFacts(status, a.status) {
		if a.contested == nil || !sameFacts(status, *a.contested) {
			a.Log.Warn("ignored heartbeat with other facts", "worker", status.Incarnation.Worker, "born", status.Incarnation.Born,
				"service", status.Service, "accelerators", status.Capacity.Accelerators, "known_service", a.status.Service)
			a.Metrics.Increment("set_aside_total", "source", "Heartbeat")
			a.contested = &status
			return
		}
	}
	a.contested = nil
	changed := status.Draining != a.status.Draining || !sameFacts(status, a.status)
	if status.Draining != a.status.Draining {
		a.Log.Info("worker state changed", "worker", status.Incarnation.Worker, "draining", status.Draining, "remaining_ms", status.DrainRemaining)
	}
	if a.workerGone {
		a.Log.Warn("worker considered gone is back in the same incarnation", "worker", status.Incarnation.Worker, "born", status.Incarnation.Born)
		a.workerGone, a.leaving, a.leavingNamed, a.noProcessSince, changed = false, false, false, time.Time{}, true
	}
	if a.leaving && !status.Draining {
		a.Log.Warn("shutdown notice refuted by a heartbeat", "worker", status.Incarnation.Worker, "born", status.Incarnation.Born)
		a.leaving, a.leavingNamed, changed = false, false, true
	}
	a.status = status
	if changed {
		a.publish()
	}
}

// olderHeartbeat reports whether a heartbeat of the current incarnation is older than the last one by its number. If
// nothing newer has come for candidatePeriod, the number of the last one came from another writer and no longer counts.
// The caller holds a.mu.
func (a *Agent) olderHeartbeat(status descriptor.WorkerStatus) bool {
	now := time.Now()
	older := status.Seq > 0 && status.Seq < a.status.Seq
	switch {
	case !older:
		a.olderSince = time.Time{}
	case a.olderSince.IsZero():
		a.olderSince = now
	case now.Sub(a.olderSince) > candidatePeriod:
		a.olderSince = time.Time{}
		return false
	}
	return older
}

// sameFacts reports whether two heartbeats agree on what stays the same during an incarnation.
func sameFacts(x, y descriptor.WorkerStatus) bool {
	return x.Service == y.Service && x.FailureDomain == y.FailureDomain && x.Rack == y.Rack && x.Capacity == y.Capacity &&
		slices.Equal(x.Labels, y.Labels)
}

// HandleShutdown notes that the worker has announced its shutdown. From then on it is gone as soon as no process listens
// at its address. The notice of another worker, or of another incarnation if it names one, is ignored. One that names no
// incarnation may come late from a former one, and does not end the starts of a worker that has not announced a drain.
func (a *Agent) HandleShutdown(incarnation descriptor.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status.Incarnation.Worker != incarnation.Worker || incarnation.Born != 0 && a.status.Incarnation.Born != incarnation.Born {
		a.Log.Warn("ignored shutdown notice of another incarnation", "worker", incarnation.Worker, "born", incarnation.Born,
			"known", a.status.Incarnation.Born)
		return
	}
	a.Log.Info("worker announced its shutdown", "worker", incarnation.Worker, "born", a.status.Incarnation.Born,
		"named", incarnation.Born != 0, "draining", a.status.Draining)
	tookStarts := a.takesStarts()
	a.leaving, a.leavingNamed = true, a.leavingNamed || incarnation.Born != 0
	if a.takesStarts() != tookStarts {
		a.publish()
	}
	a.wakePollLoop()
}

// publish raises the version of the report, and wakes the calls that wait for it and the poll loop. The caller holds
// a.mu.
func (a *Agent) publish() {
	a.version++
	if a.changed != nil {
		close(a.changed)
	}
	a.changed = make(chan struct{})
	a.wakePollLoop()
}

// wakePollLoop ends the pause of the poll loop, or its next one if it is polling now. The caller holds a.mu.
func (a *Agent) wakePollLoop() {
	if a.wake == nil {
		a.wake = make(chan struct{}, 1)
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Agent) wakeChannel() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wake == nil {
		a.wake = make(chan struct{}, 1)
	}
	return a.wake
}

// Run polls the worker until ctx is done, to extend its hold deadline and to read its lists. It pauses after a failed
// poll and while ended attempts are not acknowledged.
func (a *Agent) Run(ctx context.Context) {
	wake := a.wakeChannel()
	for ctx.Err() == nil {
		pause := a.pollWorker(ctx, pollWait, true)
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

// pollWorker polls the worker once and returns the pause before the next poll. It does not poll before a heartbeat and
// a call of a leader have arrived, nor a worker that is gone. A poll under a new fence asks for the lists without
// waiting. While another incarnation is announced, the poll is addressed to that one. With acknowledge, the poll also
// acknowledges ends and extends the hold if the last such poll has shown the current incarnation; otherwise it only reads.
func (a *Agent) pollWorker(ctx context.Context, wait time.Duration, acknowledge bool) time.Duration {
	a.mu.Lock()
	if a.candidate != nil && time.Since(a.candidateAt) > candidatePeriod {
		a.candidate = nil
	}
	candidate := a.candidate
	hold := HoldRequest{Incarnation: a.status.Incarnation, Fence: a.fence}
	if acknowledge && a.verified {
		hold.AckedSeq, hold.HoldUntil, hold.Wait, hold.SameConnection = a.ackedSeq, a.holdUntil, wait, true
	}
	if candidate != nil {
		hold = HoldRequest{Incarnation: candidate.Incarnation, Fence: a.fence}
	}
	canPoll := a.hasStatus && (!a.workerGone || candidate != nil) && a.fence > 0
	if hold.Fence > a.listsFence {
		hold.Wait = 0
	}
	a.mu.Unlock()
	if !canPoll {
		return pollRetryPause
	}
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	requestedAt := a.bootTime()
	lists, err := a.HoldAttempts(callCtx, hold)
	a.mu.Lock()
	defer a.mu.Unlock()
	if (err == nil) != (a.lastPollErr == nil) && ctx.Err() == nil && !errors.Is(err, ErrConnectionLost) {
		a.Log.Info("result of worker poll changed", "worker", hold.Incarnation.Worker, "born", hold.Incarnation.Born, "err", err)
	}
	a.lastPollErr = err
	if candidate != nil {
		a.judgeCandidate(candidate, lists, err)
	}
	a.detectWorkerGone(hold.Incarnation, err)
	stored := err == nil && a.storeLists(hold, lists, requestedAt)
	if acknowledge {
		wasVerified := a.verified
		a.verified = stored && hold.Incarnation == a.status.Incarnation
		if !a.verified && wasVerified && errors.Is(err, ErrConnectionLost) {
			return 0
		}
	}
	switch {
	case !stored:
		return pollRetryPause
	case len(a.lists.Ended) > 0:
		return ackWait
	}
	return 0
}

// judgeCandidate decides on an announced incarnation by the worker's answer to a poll that was addressed to it. Further
// heartbeats of it may have arrived during the poll. Without an answer it stays a candidate. The caller holds a.mu.
func (a *Agent) judgeCandidate(candidate *descriptor.WorkerStatus, lists AttemptLists, err error) {
	if a.candidate == nil || a.candidate.Incarnation != candidate.Incarnation {
		return
	}
	switch {
	case err == nil && confirms(lists, candidate.Incarnation):
		a.beginIncarnation(*a.candidate)
	case err == nil, errors.Is(err, ErrOtherIncarnation):
		a.Log.Warn("ignored heartbeat of an incarnation that the worker denies", "worker", candidate.Incarnation.Worker,
			"born", candidate.Incarnation.Born, "known", a.status.Incarnation.Born, "answered", lists.Incarnation.Born, "err", err)
		a.Metrics.Increment("set_aside_total", "source", "Heartbeat")
		a.candidate = nil
	}
}

// confirms reports whether lists come from an incarnation. Lists that do not name their incarnation count as the one
// that was addressed.
func confirms(lists AttemptLists, incarnation descriptor.Incarnation) bool {
	return lists.Incarnation.Born == 0 || lists.Incarnation.Born == incarnation.Born
}

// detectWorkerGone marks the worker as gone once its polls have failed with ErrNoProcess for workerGoneDelay, or once if
// it has announced its shutdown. err is the result of a poll of the given incarnation. The caller holds a.mu.
func (a *Agent) detectWorkerGone(incarnation descriptor.Incarnation, err error) {
	if !errors.Is(err, ErrNoProcess) {
		a.noProcessSince = time.Time{}
		return
	}
	if a.noProcessSince.IsZero() {
		a.noProcessSince = time.Now()
	}
	absent := time.Since(a.noProcessSince)
	if (absent >= workerGoneDelay || a.leaving && incarnation == a.status.Incarnation) && !a.workerGone {
		a.Log.Info("worker process is gone", "worker", incarnation.Worker, "born", incarnation.Born,
			"no_process_for", absent, "draining", a.status.Draining, "leaving", a.leaving)
		a.workerGone = true
		a.publish()
	}
}

// storeLists stores the lists, unless they are older than the stored ones or from another incarnation, and reports
// whether it did. requestedAt is the boot time at which the poll was sent. The caller holds a.mu.
func (a *Agent) storeLists(hold HoldRequest, lists AttemptLists, requestedAt time.Duration) bool {
	if !confirms(lists, a.status.Incarnation) || hold.Incarnation != a.status.Incarnation || a.hasLists && lists.Clock < a.lists.Clock {
		return false
	}
	changed := !a.hasLists || !a.confirmed || hold.Fence > a.listsFence || !sameAttempts(a.lists, lists)
	a.lists, a.hasLists, a.listsFence, a.confirmed = lists, true, max(a.listsFence, hold.Fence), true
	a.listsRequestedAt = requestedAt
	if changed {
		a.publish()
		a.clearWake()
	}
	return true
}

// bootTime returns the time by the clock that also counts suspensions.
func (a *Agent) bootTime() time.Duration {
	if a.BootTime != nil {
		return a.BootTime()
	}
	return timekeeper.BootTime()
}

// clearWake discards a wake-up that the poll loop caused itself. The caller holds a.mu.
func (a *Agent) clearWake() {
	select {
	case <-a.wake:
	default:
	}
}

// sameAttempts reports whether two answers list the same attempts, whatever their clocks and progress.
func sameAttempts(a, b AttemptLists) bool {
	return a.AllEnds == b.AllEnds && slices.EqualFunc(a.Running, b.Running, func(x, y descriptor.AttemptStatus) bool { return x.AttemptID == y.AttemptID }) &&
		slices.EqualFunc(a.Ended, b.Ended, func(x, y descriptor.AttemptEnd) bool { return x.Seq == y.Seq })
}

// Sync executes a leader's orders and returns their results in a report. Without orders it waits, up to request.Wait,
// for a version of the report that the leader does not have.
func (a *Agent) Sync(ctx context.Context, request SyncRequest) Report {
	var results []Result
	if a.acceptCall(request) {
		results = a.executeOrders(ctx, request)
		switch {
		case len(results) == 0:
			a.awaitChange(ctx, request)
		case len(request.Stops) > 0:
			// The leader needs lists that were read after the stops.
			a.pollWorker(ctx, 0, false)
		}
	}
	report := a.report(results)
	report.KnownLife = request.KnownLife
	return report
}

// acceptCall raises the fence, the hold deadline and the acknowledgement to those of the call. It returns false for a
// call of an older leader or for another incarnation of the worker; such a call is answered without delay and its
// orders are not executed. A call that names no incarnation is accepted.
func (a *Agent) acceptCall(request SyncRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if request.Fence < a.fence {
		a.Log.Warn("refused call of an older leader", "fence", request.Fence, "known", a.fence)
		return false
	}
	if request.Fence > a.fence {
		a.Log.Info("accepted a new leader", "fence", request.Fence, "before", a.fence)
		a.fence = request.Fence
		a.wakePollLoop()
	}
	if !a.hasStatus || request.Incarnation != a.status.Incarnation {
		return request.Incarnation == descriptor.Incarnation{}
	}
	if request.AckedSeq > a.ackedSeq {
		a.ackedSeq = request.AckedSeq
		a.wakePollLoop()
	}
	a.holdUntil = max(a.holdUntil, request.HoldUntil)
	return true
}

func (a *Agent) executeOrders(ctx context.Context, request SyncRequest) []Result {
	results := make([]Result, len(request.Starts)+len(request.Stops))
	var wg sync.WaitGroup
	arrivedAt := a.bootTime()
	slots := a.startSlotsChannel()
	for i, st := range request.Starts {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = a.startAttempt(ctx, request, st, arrivedAt)
		})
	}
	for i, id := range request.Stops {
		wg.Go(func() { results[len(request.Starts)+i] = a.stopAttempt(ctx, request, id) })
	}
	wg.Wait()
	return results
}

func (a *Agent) startSlotsChannel() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.startSlots == nil {
		a.startSlots = make(chan struct{}, maxConcurrentStarts)
	}
	return a.startSlots
}

// stopAttempt sends a stop until the worker answers, at most maxStopTries times.
func (a *Agent) stopAttempt(ctx context.Context, request SyncRequest, id descriptor.AttemptID) Result {
	result := Result{AttemptID: id}
	for try := range maxStopTries {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		lastClock := a.lastClock()
		clock, err := a.StopAttempt(stopCtx, request.Incarnation, request.Fence, id)
		cancel()
		if err == nil && clock < lastClock {
			err = errNewIncarnation
		}
		result.Stopped, result.Clock = err == nil, clock
		a.Metrics.Increment("orders_total", "kind", "Stop", "answered", yesNo(!errors.Is(err, ErrNoAnswer)))
		a.Log.Info("stop sent", "job", id.Task.Job, "task", id.Task, "run", id.Attempt, "fence", request.Fence, "try", try+1, "err", err)
		if !errors.Is(err, ErrNoAnswer) {
			break
		}
	}
	return result
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// startAttempt sends a start, which arrived at the given boot time, until the worker answers, at most maxStartTries times.
// It refuses the start itself when it may no longer send it.
func (a *Agent) startAttempt(ctx context.Context, request SyncRequest, start Start, arrivedAt time.Duration) Result {
	result := Result{AttemptID: start.AttemptID}
	var err error
	unanswered := false
	for try := range maxStartTries {
		if refused := a.checkStart(request, arrivedAt); refused != "" {
			a.Log.Info("start refused", "job", start.Task.Job, "task", start.Task, "run", start.Attempt, "try", try+1, "reason", refused)
			result.Refused, err = refused, nil
			break
		}
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
		var answer StartAnswer
		lastClock := a.lastClock()
		answer, err = a.StartAttempt(callCtx, request.Incarnation, request.Fence, start)
		cancel()
		if err == nil && answer.Clock < lastClock {
			answer, err = StartAnswer{}, errNewIncarnation
		}
		result.Started, result.Refused, result.Clock = err == nil, answer.Refused, answer.Clock
		a.Metrics.Increment("orders_total", "kind", "Start", "answered", yesNo(!errors.Is(err, ErrNoAnswer)))
		a.Log.Info("start sent", "job", start.Task.Job, "task", start.Task, "run", start.Attempt, "fence", request.Fence, "try", try+1,
			"by", start.Deadline, "refused", result.Refused, "err", err)
		if !errors.Is(err, ErrNoAnswer) {
			break
		}
		unanswered = true
	}
	if errors.Is(err, ErrOtherIncarnation) || errors.Is(err, ErrNoProcess) {
		result.Refused = descriptor.RefusedIncarnation
	}
	if unanswered {
		// An earlier try may have taken effect, or may do so until its deadline. That the worker refuses the attempt as
		// stale may mean that it has already ended; the worker's lists tell.
		result.Refused = ""
	}
	return result
}

// checkStart returns why the agent must not send a start that arrived at the given boot time, or an empty refusal if it
// may. The worker's deadline does not stop a late start for a former incarnation, because the clock of the new one begins
// anew. So after a pause of this process nothing is sent until the worker has been polled again.
func (a *Agent) checkStart(request SyncRequest, arrivedAt time.Duration) descriptor.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.bootTime()
	switch {
	case request.Fence < a.fence:
		return descriptor.RefusedFence
	case !a.takesStarts():
		// Orders sent before the leader learned of it must not start anything after it.
		return descriptor.RefusedDraining
	case request.Incarnation != a.status.Incarnation:
		return descriptor.RefusedIncarnation
	case now-arrivedAt > maxStartDelay, a.hasLists && now-a.listsRequestedAt > maxListsAge:
		return descriptor.RefusedDelayed
	}
	return ""
}

// takesStarts reports whether the worker may get starts. What it decides by is part of the report, so that a leader does
// not go on placing tasks here. The caller holds a.mu.
func (a *Agent) takesStarts() bool {
	return !a.status.Draining && !a.workerGone && !a.leavingNamed
}

// errNewIncarnation means that the clock in an answer is behind a clock that the worker reported before: the worker was
// restarted under the same id. The answer comes from an incarnation whose heartbeat has not arrived yet.
var errNewIncarnation = errors.New("a new incarnation of the worker answered")

// lastClock returns the worker's clock in the last lists of the current incarnation, 0 if there are none.
func (a *Agent) lastClock() descriptor.WorkerClock {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.hasLists {
		return 0
	}
	return a.lists.Clock
}

// awaitChange waits, up to request.Wait, until the version of the report differs from request.KnownVersion. It does not
// wait if the leader knows another life.
func (a *Agent) awaitChange(ctx context.Context, request SyncRequest) {
	t := time.NewTimer(request.Wait)
	defer t.Stop()
	for {
		a.mu.Lock()
		differs := a.version != request.KnownVersion || request.KnownLife != 0 && request.KnownLife != a.lifeID()
		if a.changed == nil {
			a.changed = make(chan struct{})
		}
		changed := a.changed
		a.mu.Unlock()
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

// lifeID returns the life of this process. The caller holds a.mu.
func (a *Agent) lifeID() Life {
	for a.life == 0 {
		a.life = Life(rand.Uint64())
	}
	return a.life
}

func (a *Agent) report(results []Result) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	status := a.status
	status.Draining = !a.takesStarts()
	a.reports++
	return Report{
		Node: a.Node, Life: a.lifeID(), Seq: a.reports, Version: a.version, Fence: a.fence, HasStatus: a.confirmed, Status: status, WorkerGone: a.workerGone,
		ListsCurrent: a.hasLists && a.listsFence == a.fence, Clock: a.lists.Clock,
		Running: a.lists.Running, Ended: a.lists.Ended, AllEnds: a.lists.AllEnds, Results: results,
	}
}
