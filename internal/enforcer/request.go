package enforcer

import (
	"context"
	"errors"
	"slices"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

const (
	// queuePerSlot limits the queued requests per slot of the endpoint. If the queue is full, entries select another
	// endpoint.
	queuePerSlot = 2
	// maxAnswerBytes limits the total size of the retained answers, so that the agent stays below its memory limit of
	// 64 MB. Answers for which callers still wait are retained even beyond it.
	maxAnswerBytes = 16 << 20
	// announcementTTL is the validity of an announcement of the endpoint.
	announcementTTL = 3 * time.Second
	// maxDeadline limits the time until the deadline of a request, so that every running request ends.
	maxDeadline = time.Hour
	// outcomeAgeMargin is subtracted from retentionPeriod when the age in an outcome query is checked, to allow for the
	// delay of the query.
	outcomeAgeMargin = time.Minute
	// leavingGrace is the time for which queued requests may still start after the endpoint or the agent has begun to
	// leave. No request may start more than 3 s after that; the remaining second covers the interval between ticks and
	// the call itself.
	leavingGrace = 2 * time.Second
)

// EndpointAnnouncement is sent by an endpoint to its agent every second.
type EndpointAnnouncement struct {
	ID      descriptor.EndpointID
	Service descriptor.ServiceID
	URL     string
	// Slots is the number of requests that can run at the same time.
	Slots int
	// Connections is the maximum number of open connections.
	Connections int
	Leaving     bool
}

type requestKey struct {
	workspace descriptor.WorkspaceID
	id        descriptor.RequestID
}

// requestRecord is the state of one request. It is kept for retentionPeriod after the request has ended.
type requestRecord struct {
	key           requestKey
	nonIdempotent bool
	// started is set before the endpoint is called, and is never reset.
	started bool
	// refused is set when the request was answered NotRun and must never start on this agent.
	refused bool
	answer  messenger.ServeAnswer
	// endedAt is the start of the retention period; it is zero until the request has ended.
	endedAt time.Time
	// earlierAnswer is the answer of an earlier run of an idempotent request. It is returned if the repeated request
	// does not run, because NotRun would wrongly state that the request never ran.
	earlierAnswer *messenger.ServeAnswer
	// ended is closed when answer has been set.
	ended chan struct{}
	// slotGranted is closed when a queued request gets a slot.
	slotGranted chan struct{}
	// readers counts the callers that wait for answer. While there are any, the body of answer is not evicted.
	readers int
}

func (r *requestRecord) hasEnded() bool { return !r.endedAt.IsZero() }

// requestState holds the latest announcement of the endpoint and the records of its requests. Enforcer.mu protects it.
type requestState struct {
	endpoint    EndpointAnnouncement
	announcedAt time.Time
	// busy is the number of slots in use.
	busy    int
	queue   []*requestRecord
	records map[requestKey]*requestRecord
	// answerBytes is the total size of the retained answers.
	answerBytes int
	// startedEvicted is set when the record of a request that had started is evicted. From then on, an old request
	// without a record may have run.
	startedEvicted bool
	// wasHealthy is the result of endpointHealthy at the latest Tick, used to detect an expired announcement.
	wasHealthy bool
	// leavingSince is the time of the first Tick at which the endpoint or the agent was leaving; zero if neither is.
	leavingSince time.Time
}

// Announce records an announcement of the endpoint, which is valid for
// announcementTTL, and assigns free slots to queued requests. A change, or the
// first announcement after an expired one, is reported at once.
func (e *Enforcer) Announce(a EndpointAnnouncement) {
	version := e.lock()
	defer e.unlock(version)
	now := e.now()
	rs := &e.requests
	if rs.endpoint != a || now.Sub(rs.announcedAt) > announcementTTL {
		e.version++
	}
	rs.endpoint = a
	rs.announcedAt = now
	e.grantSlots()
}

// endpointHealthy reports whether the announcement is valid and the endpoint is not leaving.
func (e *Enforcer) endpointHealthy(now time.Time) bool {
	rs := &e.requests
	return !rs.announcedAt.IsZero() && now.Sub(rs.announcedAt) <= announcementTTL && !rs.endpoint.Leaving
}

// slots returns how many requests may run at the endpoint at the same time. It is 0 before the first announcement, and
// does not depend on whether the announcement is still valid.
func (e *Enforcer) slots() int {
	return min(e.requests.endpoint.Slots, e.requests.endpoint.Connections)
}

func (e *Enforcer) endpointReport() *messenger.EndpointReport {
	rs := &e.requests
	if rs.announcedAt.IsZero() {
		return nil
	}
	return &messenger.EndpointReport{
		ID:          rs.endpoint.ID,
		Service:     rs.endpoint.Service,
		Slots:       rs.endpoint.Slots,
		Busy:        rs.busy,
		Queued:      len(rs.queue),
		Connections: rs.endpoint.Connections,
		Healthy:     e.endpointHealthy(e.now()),
	}
}

// Serve runs a request at the endpoint. A repeated request gets the recorded
// answer, unless it is idempotent and may run again because it has not
// succeeded. If ctx ends first, the answer is Unknown with Running set.
func (e *Enforcer) Serve(ctx context.Context, req messenger.ServeRequest) messenger.ServeAnswer {
	r, answer := e.recordRequest(req)
	if r == nil {
		return answer
	}
	return e.awaitOutcome(ctx, r)
}

// awaitOutcome waits until r has ended or ctx ends and returns the current answer. The caller must have been counted in
// r.readers.
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

// recordRequest queues a request, unless it repeats one that must not run again,
// and returns the record to wait for, with the caller counted as a reader. If the
// request is refused but has an answer from an earlier run, it returns the record
// of that run. For any other refused request, it returns nil and the answer.
func (e *Enforcer) recordRequest(req messenger.ServeRequest) (*requestRecord, messenger.ServeAnswer) {
	version := e.lock()
	defer e.unlock(version)
	now := e.now()
	key := requestKey{req.Request.Workspace, req.Request.ID}
	if req.Agent != e.Agent {
		// The incarnation that the request was sent to may have answered that it never starts. This one cannot know
		// that, so it does not start the request.
		return nil, messenger.ServeAnswer{
			Result:         descriptor.ResultNotRun,
			Workspace:      req.Request.Workspace,
			Request:        req.Request.ID,
			Reason:         ErrOtherIncarnation.Error(),
			RetryElsewhere: true,
			Endpoint:       e.requests.endpoint.ID,
		}
	}
	earlier := e.requests.records[key]
	// A request may run again only if it is idempotent, has ended with a result other than Done, and is not recorded as
	// refused, which makes NotRun final.
	if earlier != nil && (!earlier.hasEnded() || earlier.refused || earlier.nonIdempotent || req.NonIdempotent || earlier.answer.Result == descriptor.ResultDone) {
		earlier.readers++
		return earlier, messenger.ServeAnswer{}
	}
	r := &requestRecord{key: key, nonIdempotent: req.NonIdempotent, ended: make(chan struct{}), slotGranted: make(chan struct{})}
	if earlier != nil && earlier.answer.Result != descriptor.ResultNotRun {
		r.earlierAnswer = &earlier.answer
	}
	if err := e.checkAdmission(req, now); err != nil {
		if r.earlierAnswer != nil {
			earlier.readers++
			return earlier, messenger.ServeAnswer{}
		}
		return nil, e.refuse(r, err.Error(), now)
	}
	e.requests.records[key] = r
	e.requests.queue = append(e.requests.queue, r)
	deadline := min(req.Deadline, maxDeadline)
	e.spawn(func() { e.runRequest(r, req.Request, now.Add(deadline), deadline) })
	e.grantSlots()
	r.readers++
	return r, messenger.ServeAnswer{}
}

// refuse returns the answer NotRun. A refused non-idempotent request is recorded if there is room for the record, so
// that a delayed duplicate cannot run.
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

// Reasons for which a request is refused, besides ErrLeaving, ErrNoPermit,
// ErrDomainOut and ErrHistoryFull. The answer NotRun holds the text.
var (
	ErrNoEndpoint       = errors.New("no healthy endpoint")
	ErrQueueFull        = errors.New("queue of the endpoint is full")
	ErrDeadline         = errors.New("deadline passed before the request could start")
	ErrOtherIncarnation = errors.New("the request was sent to another run of the agent")
)

// checkAdmission returns nil if a request may run or be queued, and otherwise the reason for its refusal.
func (e *Enforcer) checkAdmission(req messenger.ServeRequest, now time.Time) error {
	rs := &e.requests
	switch {
	case e.leaving:
		return ErrLeaving
	case !e.endpointHealthy(now) || e.slots() < 1:
		return ErrNoEndpoint
	case req.Deadline <= 0:
		return ErrDeadline
	case rs.busy >= e.slots() && len(rs.queue) >= queuePerSlot*e.slots():
		return ErrQueueFull
	case !e.ensureCapacity(0, now):
		return ErrHistoryFull
	}
	return e.checkPermit(now)
}

// grantSlots assigns free slots to the requests that have waited longest.
func (e *Enforcer) grantSlots() {
	rs := &e.requests
	for len(rs.queue) > 0 && rs.busy < e.slots() {
		r := rs.queue[0]
		rs.queue = slices.Delete(rs.queue, 0, 1)
		rs.busy++
		close(r.slotGranted)
	}
}

// runRequest waits for a slot, calls the endpoint at most once and records the outcome.
// It continues after its caller has gone, because the outcome can be queried.
func (e *Enforcer) runRequest(r *requestRecord, request descriptor.Request, deadline time.Time, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	select {
	case <-r.slotGranted:
	case <-r.ended:
		return
	case <-ctx.Done():
		if e.expireQueued(r) {
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

// expireQueued ends r with ErrDeadline if it is still queued. It reports whether r has ended.
func (e *Enforcer) expireQueued(r *requestRecord) bool {
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

// finishRequest records the result of the call, or the error of prepareRequest, and releases the slot.
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

// endNotRun ends a request that did not run, with the answer of its earlier run if there is one. A non-idempotent
// request is marked as refused, so that it never starts.
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

// endRequest sets the answer of r, starts its retention period and wakes its readers. It must be called only once for
// each record.
func (e *Enforcer) endRequest(r *requestRecord, a messenger.ServeAnswer, now time.Time) {
	r.answer = a
	r.endedAt = now
	e.requests.answerBytes += len(a.Body)
	close(r.ended)
	e.ensureCapacity(0, now)
}

// ensureCapacity evicts old records if there are maxRetained of them. If the
// answer bodies exceed maxAnswerBytes, it evicts bodies down to half of that. It
// reports whether another request with an answer of extraBytes can be recorded;
// all callers pass 0, because the size of a future answer is not known.
// Records of requests that ended less than retentionPeriod ago are never evicted,
// so that a non-idempotent request is not run twice.
func (e *Enforcer) ensureCapacity(extraBytes int, now time.Time) bool {
	rs := &e.requests
	if len(rs.records) >= maxRetained {
		for _, r := range rs.records {
			if r.hasEnded() && now.Sub(r.endedAt) > retentionPeriod {
				e.evictRecord(r)
			}
		}
	}
	if rs.answerBytes+extraBytes > maxAnswerBytes {
		e.evictBodies(maxAnswerBytes/2 - extraBytes)
	}
	return len(rs.records) < maxRetained && rs.answerBytes+extraBytes <= maxAnswerBytes
}

// evictBodies removes answer bodies that no caller waits for until at most limit bytes remain: those of idempotent
// requests before others, and older ones before newer ones. Bodies of non-idempotent requests are evicted too, because
// otherwise the agent would refuse all requests once it retains 16 MB of them.
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

// evictBody removes the answer body of r and changes the answer from Done to Unknown. Any other answer stays as it is.
func (e *Enforcer) evictBody(r *requestRecord) {
	if r.answer.Result != descriptor.ResultDone || len(r.answer.Body) == 0 {
		return
	}
	e.requests.answerBytes -= len(r.answer.Body)
	r.answer.Body = nil
	r.answer.Result = descriptor.ResultUnknown
	r.answer.Reason = "ran, but the answer is not kept any more"
}

// evictRecord removes the record r, so that the outcome of the request is no longer known.
func (e *Enforcer) evictRecord(r *requestRecord) {
	e.requests.answerBytes -= len(r.answer.Body)
	e.requests.startedEvicted = e.requests.startedEvicted || r.started
	delete(e.requests.records, r.key)
}

// QueryOutcome returns the outcome of a request. It waits up to query.Wait for a
// request that has not ended, and then answers Unknown with Running set. NotRun
// means that the request will never start on this agent. Any other Unknown means
// that this incarnation cannot tell, or that it no longer keeps the answer.
func (e *Enforcer) QueryOutcome(ctx context.Context, query messenger.OutcomeQuery) messenger.ServeAnswer {
	r, answer := e.lookupOutcome(query)
	if r == nil {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, query.Wait)
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

// lookupOutcome returns the record of the queried request and counts the caller as a reader. If there is no record, it
// returns nil and the answer. A request without a record that cannot have run is recorded as refused.
func (e *Enforcer) lookupOutcome(query messenger.OutcomeQuery) (*requestRecord, messenger.ServeAnswer) {
	version := e.lock()
	defer e.unlock(version)
	now := e.now()
	key := requestKey{query.Workspace, query.Request}
	if r := e.requests.records[key]; r != nil {
		r.readers++
		return r, messenger.ServeAnswer{}
	}
	unknown := messenger.ServeAnswer{Result: descriptor.ResultUnknown, Workspace: query.Workspace, Request: query.Request, Endpoint: e.requests.endpoint.ID}
	switch {
	case query.Agent != e.Agent:
		unknown.Reason = "the request was sent to another run of the agent"
		return nil, unknown
	case e.requests.startedEvicted && (query.Age <= 0 || query.Age > retentionPeriod-outcomeAgeMargin):
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

// tickRequests evicts old records, refuses queued requests if the endpoint or the agent has been leaving for
// leavingGrace, and detects an expired announcement.
func (e *Enforcer) tickRequests(now time.Time) {
	rs := &e.requests
	for _, r := range rs.records {
		if r.hasEnded() && now.Sub(r.endedAt) > retentionPeriod {
			e.evictRecord(r)
		}
	}
	e.refuseQueuedIfLeaving(now)
	// A change of the load alone triggers no report: the load changes with each request, and the limit on the bytes
	// that an agent may send allows only few reports.
	if healthy := e.endpointHealthy(now); healthy != rs.wasHealthy {
		rs.wasHealthy = healthy
		e.version++
	}
}

// refuseQueuedIfLeaving refuses the queued requests if the endpoint or the agent has been leaving for leavingGrace, so
// that they can start elsewhere.
func (e *Enforcer) refuseQueuedIfLeaving(now time.Time) {
	rs := &e.requests
	switch {
	case !e.leaving && !rs.endpoint.Leaving:
		rs.leavingSince = time.Time{}
		return
	case rs.leavingSince.IsZero():
		rs.leavingSince = now
	}
	if now.Sub(rs.leavingSince) < leavingGrace {
		return
	}
	for _, r := range rs.queue {
		e.endNotRun(r, ErrLeaving.Error(), true, now)
	}
	rs.queue = nil
}

// PendingRequests returns the number of requests that are queued or running.
func (e *Enforcer) PendingRequests() int {
	version := e.lock()
	defer e.unlock(version)
	return e.requests.busy + len(e.requests.queue)
}
