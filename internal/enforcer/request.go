package enforcer

import (
	"context"
	"errors"
	"slices"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// Limits for requests.
const (
	// queuePerSlot limits the queued requests per slot of the endpoint. Entries select another endpoint when the queue is full.
	queuePerSlot = 2
	// maxAnswerBytes limits the retained answers, so that the agent stays below its memory limit of 64 MB.
	maxAnswerBytes = 16 << 20
	// announcementTTL is how long an announcement of the endpoint is valid.
	announcementTTL = 3 * time.Second
	// maxDeadline limits the deadline of a request, so that every running request ends.
	maxDeadline = time.Hour
	// outcomeAgeMargin is subtracted from retentionPeriod to allow for the delay of an outcome query.
	outcomeAgeMargin = time.Minute
	// leavingGrace is how long queued requests may still start after the endpoint or the agent has begun to leave. None
	// may start later than 3 s after that; the remaining second covers the interval between ticks and the call itself.
	leavingGrace = 2 * time.Second
)

// EndpointAnnouncement is sent by an endpoint to its agent every second.
type EndpointAnnouncement struct {
	ID          descriptor.EndpointID
	Service     descriptor.ServiceID
	URL         string
	Slots       int
	Connections int
	Leaving     bool
}

type requestKey struct {
	workspace descriptor.WorkspaceID
	id        descriptor.RequestID
}

// requestRecord is the state of one request, kept until its outcome is evicted.
type requestRecord struct {
	key           requestKey
	nonIdempotent bool
	// started is set before the endpoint is called, and is never reset.
	started bool
	// refused is set when the request was answered NotRun and must never start on this agent.
	refused bool
	answer  messenger.ServeAnswer
	endedAt time.Time
	// earlierAnswer is the answer of an earlier run of an idempotent request. It is returned if the repetition does
	// not run, as NotRun would be false.
	earlierAnswer *messenger.ServeAnswer
	// ended is closed when answer has been set.
	ended chan struct{}
	// slotGranted is closed when a queued request gets a slot.
	slotGranted chan struct{}
	// readers counts the callers that wait for answer; its body is retained for them.
	readers int
}

func (r *requestRecord) hasEnded() bool { return !r.endedAt.IsZero() }

// requests is the state of the endpoint and of its requests.
type requests struct {
	endpoint    EndpointAnnouncement
	announcedAt time.Time
	// busy is the number of slots in use.
	busy    int
	queue   []*requestRecord
	records map[requestKey]*requestRecord
	// answerBytes is the total size of the retained answers.
	answerBytes int
	// startedEvicted is set when the record of a request that had started has been evicted.
	startedEvicted bool
	// wasHealthy is the health at the latest Tick, used to detect an expired announcement.
	wasHealthy bool
	// leavingSince is when the endpoint or the agent was first seen to be leaving; zero if neither is.
	leavingSince time.Time
}

// Announce processes an announcement of the endpoint.
func (e *Enforcer) Announce(a EndpointAnnouncement) {
	version := e.lock()
	defer e.unlock(version)
	now := e.now()
	q := &e.requests
	if q.endpoint != a || now.Sub(q.announcedAt) > announcementTTL {
		e.version++
	}
	q.endpoint = a
	q.announcedAt = now
	e.grantSlots()
}

// endpointHealthy reports whether the announcement is valid and the endpoint is not leaving.
func (e *Enforcer) endpointHealthy(now time.Time) bool {
	q := &e.requests
	return !q.announcedAt.IsZero() && now.Sub(q.announcedAt) <= announcementTTL && !q.endpoint.Leaving
}

// slots returns how many requests may run at the endpoint at the same time.
func (e *Enforcer) slots() int {
	return min(e.requests.endpoint.Slots, e.requests.endpoint.Connections)
}

func (e *Enforcer) endpointReport() *messenger.EndpointReport {
	q := &e.requests
	if q.announcedAt.IsZero() {
		return nil
	}
	return &messenger.EndpointReport{
		ID:          q.endpoint.ID,
		Service:     q.endpoint.Service,
		Slots:       q.endpoint.Slots,
		Busy:        q.busy,
		Queued:      len(q.queue),
		Connections: q.endpoint.Connections,
		Healthy:     e.endpointHealthy(e.now()),
	}
}

// Serve runs a request at the endpoint. A repeated request gets the answer of
// the first one. If ctx ends first, the answer is Unknown with Running set.
func (e *Enforcer) Serve(ctx context.Context, s messenger.ServeRequest) messenger.ServeAnswer {
	r, answer := e.recordRequest(s)
	if r == nil {
		return answer
	}
	return e.awaitOutcome(ctx, r)
}

// awaitOutcome waits until r has ended or ctx ends and returns the current answer.
func (e *Enforcer) awaitOutcome(ctx context.Context, r *requestRecord) messenger.ServeAnswer {
	select {
	case <-r.ended:
	case <-ctx.Done():
	}
	version := e.lock()
	defer e.unlock(version)
	a := e.currentAnswer(r)
	r.readers--
	e.ensureCapacity(0, e.now())
	return a
}

// currentAnswer returns the answer of r, or Unknown with Running set if r has not ended.
func (e *Enforcer) currentAnswer(r *requestRecord) messenger.ServeAnswer {
	if r.hasEnded() {
		return r.answer
	}
	return messenger.ServeAnswer{
		Result:    descriptor.ResultUnknown,
		Workspace: r.key.workspace,
		Request:   r.key.id,
		Reason:    "running",
		Running:   true,
		Endpoint:  e.requests.endpoint.ID,
	}
}

// recordRequest returns the record to wait for, or nil and the answer. It queues
// a new request.
func (e *Enforcer) recordRequest(s messenger.ServeRequest) (*requestRecord, messenger.ServeAnswer) {
	version := e.lock()
	defer e.unlock(version)
	now := e.now()
	key := requestKey{s.Request.Workspace, s.Request.ID}
	if s.Agent != e.Agent {
		// The addressed incarnation may have answered that the request never starts, which this one cannot know.
		return nil, messenger.ServeAnswer{
			Result:         descriptor.ResultNotRun,
			Workspace:      s.Request.Workspace,
			Request:        s.Request.ID,
			Reason:         ErrOtherIncarnation.Error(),
			RetryElsewhere: true,
			Endpoint:       e.requests.endpoint.ID,
		}
	}
	old := e.requests.records[key]
	// A request may run again only if it is idempotent, has ended with a result other than Done, and is not recorded as
	// refused, which makes NotRun final.
	if old != nil && (!old.hasEnded() || old.refused || old.nonIdempotent || s.NonIdempotent || old.answer.Result == descriptor.ResultDone) {
		old.readers++
		return old, messenger.ServeAnswer{}
	}
	r := &requestRecord{key: key, nonIdempotent: s.NonIdempotent, ended: make(chan struct{}), slotGranted: make(chan struct{})}
	if old != nil && old.answer.Result != descriptor.ResultNotRun {
		r.earlierAnswer = &old.answer
	}
	if err := e.checkAdmission(s, now); err != nil {
		if r.earlierAnswer != nil {
			old.readers++
			return old, messenger.ServeAnswer{}
		}
		return nil, e.refuse(r, err.Error(), now)
	}
	e.requests.records[key] = r
	e.requests.queue = append(e.requests.queue, r)
	deadline := min(s.Deadline, maxDeadline)
	e.spawn(func() { e.runRequest(r, s.Request, now.Add(deadline), deadline) })
	e.grantSlots()
	r.readers++
	return r, messenger.ServeAnswer{}
}

// refuse returns NotRun. A refused non-idempotent request is recorded, so that a delayed duplicate cannot run.
func (e *Enforcer) refuse(r *requestRecord, reason string, now time.Time) messenger.ServeAnswer {
	a := messenger.ServeAnswer{
		Result:         descriptor.ResultNotRun,
		Workspace:      r.key.workspace,
		Request:        r.key.id,
		Reason:         reason,
		RetryElsewhere: true,
		Endpoint:       e.requests.endpoint.ID,
	}
	if r.nonIdempotent && e.ensureCapacity(0, now) {
		r.refused = true
		e.requests.records[r.key] = r
		e.endRequest(r, a, now)
	}
	return a
}

// Errors returned when a request is refused.
var (
	ErrNoEndpoint       = errors.New("no healthy endpoint")
	ErrQueueFull        = errors.New("queue of the endpoint is full")
	ErrDeadline         = errors.New("deadline passed before the request could start")
	ErrOtherIncarnation = errors.New("the request was sent to another run of the agent")
)

// checkAdmission returns nil if a request may run or be queued.
func (e *Enforcer) checkAdmission(s messenger.ServeRequest, now time.Time) error {
	q := &e.requests
	switch {
	case e.leaving:
		return ErrLeaving
	case !e.endpointHealthy(now) || e.slots() < 1:
		return ErrNoEndpoint
	case s.Deadline <= 0:
		return ErrDeadline
	case q.busy >= e.slots() && len(q.queue) >= queuePerSlot*e.slots():
		return ErrQueueFull
	case !e.ensureCapacity(0, now):
		return ErrHistoryFull
	}
	return e.checkPermit(now)
}

// grantSlots gives free slots to the longest waiting requests.
func (e *Enforcer) grantSlots() {
	q := &e.requests
	for len(q.queue) > 0 && q.busy < e.slots() {
		r := q.queue[0]
		q.queue = slices.Delete(q.queue, 0, 1)
		q.busy++
		close(r.slotGranted)
	}
}

// runRequest waits for a slot, calls the endpoint once and records the outcome.
// It continues after its caller has gone, because the outcome can be queried.
func (e *Enforcer) runRequest(r *requestRecord, request descriptor.Request, deadline time.Time, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	select {
	case <-r.slotGranted:
	case <-r.ended:
		return
	case <-ctx.Done():
		if e.removeFromQueue(r) {
			return
		}
	}
	call, err := e.prepareRequest(r, request, deadline)
	var body []byte
	if err == nil {
		body, err = e.Endpoint.Serve(ctx, call)
	}
	e.finishRequest(r, body, err)
}

// removeFromQueue ends a request that got no slot before its deadline. It reports whether r has ended without a slot.
func (e *Enforcer) removeFromQueue(r *requestRecord) bool {
	version := e.lock()
	defer e.unlock(version)
	i := slices.Index(e.requests.queue, r)
	if i < 0 {
		return r.hasEnded()
	}
	e.requests.queue = slices.Delete(e.requests.queue, i, i+1)
	e.endNotRun(r, ErrDeadline.Error(), false, e.now())
	return true
}

// prepareRequest checks that the request may still start, marks it as started and returns the parameters of the call.
func (e *Enforcer) prepareRequest(r *requestRecord, request descriptor.Request, deadline time.Time) (ServeCall, error) {
	version := e.lock()
	defer e.unlock(version)
	now := e.now()
	if !now.Before(deadline) {
		return ServeCall{}, errors.Join(ErrNotRun, ErrDeadline)
	}
	if err := e.checkPermit(now); err != nil {
		return ServeCall{}, errors.Join(ErrNotRun, err)
	}
	r.started = true
	return ServeCall{Request: request, URL: e.requests.endpoint.URL, NotAfter: e.permitExpiry}, nil
}

// finishRequest records the result of the call and releases the slot.
func (e *Enforcer) finishRequest(r *requestRecord, body []byte, err error) {
	version := e.lock()
	defer e.unlock(version)
	now := e.now()
	e.requests.busy--
	a := messenger.ServeAnswer{Workspace: r.key.workspace, Request: r.key.id, Endpoint: e.requests.endpoint.ID}
	switch {
	case err == nil:
		a.Result = descriptor.ResultDone
		a.Body = body
		e.endRequest(r, a, now)
	case errors.Is(err, ErrNotRun):
		e.endNotRun(r, err.Error(), !errors.Is(err, ErrDeadline), now)
	case errors.Is(err, ErrFailed):
		a.Result = descriptor.ResultFailed
		a.Reason = err.Error()
		e.endRequest(r, a, now)
	default:
		a.Result = descriptor.ResultUnknown
		a.Reason = err.Error()
		e.endRequest(r, a, now)
	}
	e.grantSlots()
}

// endNotRun ends a request that did not run. A non-idempotent request is marked as refused, so that it never starts.
func (e *Enforcer) endNotRun(r *requestRecord, reason string, retryElsewhere bool, now time.Time) {
	if r.earlierAnswer != nil {
		e.endRequest(r, *r.earlierAnswer, now)
		return
	}
	r.refused = r.nonIdempotent
	e.endRequest(r, messenger.ServeAnswer{
		Result:         descriptor.ResultNotRun,
		Workspace:      r.key.workspace,
		Request:        r.key.id,
		Reason:         reason,
		RetryElsewhere: retryElsewhere,
		Endpoint:       e.requests.endpoint.ID,
	}, now)
}

// endRequest records the final answer of r.
func (e *Enforcer) endRequest(r *requestRecord, a messenger.ServeAnswer, now time.Time) {
	r.answer = a
	r.endedAt = now
	e.requests.answerBytes += len(a.Body)
	close(r.ended)
	e.ensureCapacity(0, now)
}

// ensureCapacity evicts records and bodies over the limits, old records first,
// and reports whether another request with an answer of extra bytes can be
// recorded. Records younger than retentionPeriod are never evicted, so that
// a non-idempotent request is not run twice.
func (e *Enforcer) ensureCapacity(extra int, now time.Time) bool {
	q := &e.requests
	if len(q.records) >= maxRetained {
		for _, r := range q.records {
			if r.hasEnded() && now.Sub(r.endedAt) > retentionPeriod {
				e.evictRecord(r)
			}
		}
	}
	if q.answerBytes+extra > maxAnswerBytes {
		e.evictBodies(maxAnswerBytes/2 - extra)
	}
	return len(q.records) < maxRetained && q.answerBytes+extra <= maxAnswerBytes
}

// evictBodies removes bodies that no caller waits for until at most limit bytes remain: those of idempotent requests
// first, then the oldest. Bodies of non-idempotent requests are evicted too, because the endpoint could otherwise serve
// nothing after 16 MB of them.
func (e *Enforcer) evictBodies(limit int) {
	var candidates []*requestRecord
	for _, r := range e.requests.records {
		if r.hasEnded() && r.readers == 0 && len(r.answer.Body) > 0 {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *requestRecord) int {
		if a.nonIdempotent != b.nonIdempotent {
			if b.nonIdempotent {
				return -1
			}
			return 1
		}
		return a.endedAt.Compare(b.endedAt)
	})
	for _, r := range candidates {
		if e.requests.answerBytes <= limit {
			return
		}
		e.evictBody(r)
	}
}

// evictBody removes the body of r, whose answer becomes Unknown.
func (e *Enforcer) evictBody(r *requestRecord) {
	if r.answer.Result != descriptor.ResultDone || len(r.answer.Body) == 0 {
		return
	}
	e.requests.answerBytes -= len(r.answer.Body)
	r.answer.Body = nil
	r.answer.Result = descriptor.ResultUnknown
	r.answer.Reason = "ran, but the answer is not kept any more"
}

// evictRecord removes r, so that its outcome is no longer known.
func (e *Enforcer) evictRecord(r *requestRecord) {
	e.requests.answerBytes -= len(r.answer.Body)
	e.requests.startedEvicted = e.requests.startedEvicted || r.started
	delete(e.requests.records, r.key)
}

// QueryOutcome returns the outcome of a request. NotRun means that the request will
// never start on this agent, Unknown that this incarnation cannot tell.
func (e *Enforcer) QueryOutcome(ctx context.Context, o messenger.OutcomeQuery) messenger.ServeAnswer {
	r, answer := e.lookupOutcome(o)
	if r == nil {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	if a := e.awaitOutcome(ctx, r); a.Result != descriptor.ResultNotRun {
		return a
	}
	return e.finalizeNotRun(r)
}

// finalizeNotRun makes the answer NotRun of r final, unless the request was repeated in the meantime.
func (e *Enforcer) finalizeNotRun(r *requestRecord) messenger.ServeAnswer {
	version := e.lock()
	defer e.unlock(version)
	if current := e.requests.records[r.key]; current != r && current != nil {
		return e.currentAnswer(current)
	}
	e.requests.records[r.key] = r
	r.refused = true
	r.endedAt = e.now() // restarts the retention period
	return r.answer
}

// lookupOutcome returns the record of the queried request, or nil and the answer. An unknown request that cannot have
// run is recorded as refused.
func (e *Enforcer) lookupOutcome(o messenger.OutcomeQuery) (*requestRecord, messenger.ServeAnswer) {
	version := e.lock()
	defer e.unlock(version)
	now := e.now()
	key := requestKey{o.Workspace, o.Request}
	if r := e.requests.records[key]; r != nil {
		r.readers++
		return r, messenger.ServeAnswer{}
	}
	unknown := messenger.ServeAnswer{Result: descriptor.ResultUnknown, Workspace: o.Workspace, Request: o.Request, Endpoint: e.requests.endpoint.ID}
	switch {
	case o.Agent != e.Agent:
		unknown.Reason = "the request was sent to another run of the agent"
		return nil, unknown
	case e.requests.startedEvicted && (o.Age <= 0 || o.Age > retentionPeriod-outcomeAgeMargin):
		unknown.Reason = "outcomes that old are not kept"
		return nil, unknown
	case !e.ensureCapacity(0, now):
		unknown.Reason = ErrHistoryFull.Error()
		return nil, unknown
	}
	// refuse records only non-idempotent requests.
	r := &requestRecord{key: key, nonIdempotent: true, ended: make(chan struct{}), slotGranted: make(chan struct{})}
	return nil, e.refuse(r, "never started here and never will", now)
}

// tickRequests evicts old records, refuses queued requests of a leaving endpoint or agent, and detects an expired
// announcement.
func (e *Enforcer) tickRequests(now time.Time) {
	q := &e.requests
	for _, r := range q.records {
		if r.hasEnded() && now.Sub(r.endedAt) > retentionPeriod {
			e.evictRecord(r)
		}
	}
	e.refuseQueued(now)
	// A change of the load alone triggers no report: it changes with each request, and the
	// limit of bytes that an agent may send allows few reports.
	if healthy := e.endpointHealthy(now); healthy != q.wasHealthy {
		q.wasHealthy = healthy
		e.version++
	}
}

// refuseQueued refuses the queued requests when the endpoint or the agent has been leaving for leavingGrace, so that
// they can start elsewhere.
func (e *Enforcer) refuseQueued(now time.Time) {
	q := &e.requests
	switch {
	case !e.leaving && !q.endpoint.Leaving:
		q.leavingSince = time.Time{}
		return
	case q.leavingSince.IsZero():
		q.leavingSince = now
	}
	if now.Sub(q.leavingSince) < leavingGrace {
		return
	}
	for _, r := range q.queue {
		e.endNotRun(r, ErrLeaving.Error(), true, now)
	}
	q.queue = nil
}

// PendingRequests returns the number of requests that are queued or running.
func (e *Enforcer) PendingRequests() int {
	version := e.lock()
	defer e.unlock(version)
	return e.requests.busy + len(e.requests.queue)
}
