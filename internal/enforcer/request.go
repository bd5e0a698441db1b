package enforcer

import (
	"context"
	"errors"
	"slices"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// Bounds of the requests.
const (
	// queuePerSlot bounds the queue before one endpoint; entries choose another endpoint when it is full.
	queuePerSlot = 2
	// maxAnswerBytes bounds what is remembered, below the 64 MB that the agent may use.
	maxAnswerBytes = 16 << 20
	// announceFor is how long an endpoint's announcement counts.
	announceFor = 3 * time.Second
	// maxDeadline bounds how long a request may take, so that every running request ends.
	maxDeadline = time.Hour
	// ageMargin is taken off the time for which an outcome is remembered, for the delay of a query.
	ageMargin = time.Minute
	// leavingGrace is how long requests that wait here may still start after the endpoint or the agent has begun to
	// leave; 3 s are allowed, and a tick and the call itself take the rest.
	leavingGrace = 2 * time.Second
)

// EndpointAnnouncement is what an endpoint tells the agent beside it every second.
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

// record is what is known of one request.
type record struct {
	key           requestKey
	nonIdempotent bool
	// started is set before the endpoint is called and stays set.
	started bool
	// refused promises that the request never starts here.
	refused bool
	answer  messenger.ServeAnswer
	endedAt time.Time
	// earlier is the answer of an earlier run of an idempotent request. It stands when the repetition does not run,
	// because "not run" would be false.
	earlier *messenger.ServeAnswer
	// ended is closed when answer is set.
	ended chan struct{}
	// admit is closed when a queued request gets a slot.
	admit chan struct{}
	// readers wait for answer; its body is kept for them.
	readers int
}

func (r *record) over() bool { return !r.endedAt.IsZero() }

type requests struct {
	endpoint  EndpointAnnouncement
	heard     time.Time
	busy      int
	queue     []*record
	records   map[requestKey]*record
	bytes     int
	forgotten bool
	// healthy is the state at the last tick, to notice a lapsed announcement.
	healthy bool
	// leavingSince is zero unless the endpoint or the agent leaves.
	leavingSince time.Time
}

// Announce takes an announcement of the endpoint.
func (e *Enforcer) Announce(a EndpointAnnouncement) {
	before := e.lock()
	defer e.unlock(before)
	now := e.now()
	q := &e.requests
	if q.endpoint != a || now.Sub(q.heard) > announceFor {
		e.version++
	}
	q.endpoint = a
	q.heard = now
	e.admitQueued()
}

func (e *Enforcer) endpointHealthy(now time.Time) bool {
	q := &e.requests
	return !q.heard.IsZero() && now.Sub(q.heard) <= announceFor && !q.endpoint.Leaving
}

func (e *Enforcer) slots() int {
	return min(e.requests.endpoint.Slots, e.requests.endpoint.Connections)
}

func (e *Enforcer) endpointReport() *messenger.EndpointReport {
	q := &e.requests
	if q.heard.IsZero() {
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

// Serve runs one request at the endpoint. A repeated message gets the answer of
// the first one. When ctx ends first, the answer says Unknown and Running.
func (e *Enforcer) Serve(ctx context.Context, s messenger.Serve) messenger.ServeAnswer {
	r, answer := e.admitRequest(s)
	if r == nil {
		return answer
	}
	return e.await(ctx, r)
}

func (e *Enforcer) await(ctx context.Context, r *record) messenger.ServeAnswer {
	select {
	case <-r.ended:
	case <-ctx.Done():
	}
	before := e.lock()
	defer e.unlock(before)
	a := e.outcome(r)
	r.readers--
	e.makeRoom(0, e.now())
	return a
}

func (e *Enforcer) outcome(r *record) messenger.ServeAnswer {
	if r.over() {
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

// admitRequest returns the record to wait for, or the answer when there is none.
func (e *Enforcer) admitRequest(s messenger.Serve) (*record, messenger.ServeAnswer) {
	before := e.lock()
	defer e.unlock(before)
	now := e.now()
	key := requestKey{s.Request.Workspace, s.Request.ID}
	if s.Agent != e.Agent {
		// The run that was meant may have promised that the request never starts; this one does not know of it.
		return nil, messenger.ServeAnswer{
			Result:         descriptor.ResultNotRun,
			Workspace:      s.Request.Workspace,
			Request:        s.Request.ID,
			Reason:         ErrOtherRun.Error(),
			RetryElsewhere: true,
			Endpoint:       e.requests.endpoint.ID,
		}
	}
	old := e.requests.records[key]
	if old != nil && (!old.over() || old.refused || old.nonIdempotent || s.NonIdempotent || old.answer.Result == descriptor.ResultDone) {
		old.readers++
		return old, messenger.ServeAnswer{}
	}
	r := &record{key: key, nonIdempotent: s.NonIdempotent, ended: make(chan struct{}), admit: make(chan struct{})}
	if old != nil && old.answer.Result != descriptor.ResultNotRun {
		r.earlier = &old.answer
	}
	if err := e.mayQueue(s, now); err != nil {
		if r.earlier != nil {
			old.readers++
			return old, messenger.ServeAnswer{}
		}
		return nil, e.refuse(r, err.Error(), now)
	}
	e.requests.records[key] = r
	e.requests.queue = append(e.requests.queue, r)
	deadline := min(s.Deadline, maxDeadline)
	e.spawn(func() { e.runRequest(r, s.Request, now.Add(deadline), deadline) })
	e.admitQueued()
	r.readers++
	return r, messenger.ServeAnswer{}
}

// refuse answers NotRun. For a non-idempotent request the refusal is recorded, so that a late copy cannot run.
func (e *Enforcer) refuse(r *record, reason string, now time.Time) messenger.ServeAnswer {
	a := messenger.ServeAnswer{
		Result:         descriptor.ResultNotRun,
		Workspace:      r.key.workspace,
		Request:        r.key.id,
		Reason:         reason,
		RetryElsewhere: true,
		Endpoint:       e.requests.endpoint.ID,
	}
	if r.nonIdempotent && e.makeRoom(0, now) {
		r.refused = true
		e.requests.records[r.key] = r
		e.endRequest(r, a, now)
	}
	return a
}

// Reasons for refusing a request.
var (
	ErrNoEndpoint = errors.New("no healthy endpoint")
	ErrQueueFull  = errors.New("queue of the endpoint is full")
	ErrDeadline   = errors.New("deadline passed before the request could start")
	ErrOtherRun   = errors.New("the request was sent to another run of the agent")
)

func (e *Enforcer) mayQueue(s messenger.Serve, now time.Time) error {
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
	case !e.makeRoom(0, now):
		return ErrRememberFull
	}
	return e.mayStart(now)
}

// admitQueued gives free slots to the oldest queued requests.
func (e *Enforcer) admitQueued() {
	q := &e.requests
	for len(q.queue) > 0 && q.busy < e.slots() {
		r := q.queue[0]
		q.queue = slices.Delete(q.queue, 0, 1)
		q.busy++
		close(r.admit)
	}
}

// runRequest waits for a slot, calls the endpoint once and records the outcome.
// It goes on when the caller is gone, because the caller may ask for the outcome.
func (e *Enforcer) runRequest(r *record, request descriptor.Request, deadline time.Time, left time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	select {
	case <-r.admit:
	case <-r.ended:
		return
	case <-ctx.Done():
		if e.leaveQueue(r) {
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

// leaveQueue ends a request that got no slot in time and reports whether it has ended without a slot.
func (e *Enforcer) leaveQueue(r *record) bool {
	before := e.lock()
	defer e.unlock(before)
	i := slices.Index(e.requests.queue, r)
	if i < 0 {
		return r.over()
	}
	e.requests.queue = slices.Delete(e.requests.queue, i, i+1)
	e.endNotRun(r, ErrDeadline.Error(), false, e.now())
	return true
}

func (e *Enforcer) prepareRequest(r *record, request descriptor.Request, deadline time.Time) (ServeCall, error) {
	before := e.lock()
	defer e.unlock(before)
	now := e.now()
	if !now.Before(deadline) {
		return ServeCall{}, errors.Join(ErrNotRun, ErrDeadline)
	}
	if err := e.mayStart(now); err != nil {
		return ServeCall{}, errors.Join(ErrNotRun, err)
	}
	r.started = true
	return ServeCall{Request: request, URL: e.requests.endpoint.URL, NotAfter: e.permitEnd}, nil
}

func (e *Enforcer) finishRequest(r *record, body []byte, err error) {
	before := e.lock()
	defer e.unlock(before)
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
	e.admitQueued()
}

// endNotRun ends a request that certainly did not run. It keeps the promise for non-idempotent ones.
func (e *Enforcer) endNotRun(r *record, reason string, elsewhere bool, now time.Time) {
	if r.earlier != nil {
		e.endRequest(r, *r.earlier, now)
		return
	}
	r.refused = r.nonIdempotent
	e.endRequest(r, messenger.ServeAnswer{
		Result:         descriptor.ResultNotRun,
		Workspace:      r.key.workspace,
		Request:        r.key.id,
		Reason:         reason,
		RetryElsewhere: elsewhere,
		Endpoint:       e.requests.endpoint.ID,
	}, now)
}

func (e *Enforcer) endRequest(r *record, a messenger.ServeAnswer, now time.Time) {
	r.answer = a
	r.endedAt = now
	e.requests.bytes += len(a.Body)
	close(r.ended)
	e.makeRoom(0, now)
}

// makeRoom keeps the memory within its bounds and reports whether one more
// request may be remembered. Old records go first, then bodies. Whether a
// non-idempotent request ran stays known for at least remember.
func (e *Enforcer) makeRoom(extra int, now time.Time) bool {
	q := &e.requests
	if len(q.records) >= maxRemembered {
		for _, r := range q.records {
			if r.over() && now.Sub(r.endedAt) > remember {
				e.forget(r)
			}
		}
	}
	if q.bytes+extra > maxAnswerBytes {
		e.dropBodies(maxAnswerBytes/2 - extra)
	}
	return len(q.records) < maxRemembered && q.bytes+extra <= maxAnswerBytes
}

// dropBodies drops bodies that nobody waits for until at most limit bytes are left: those of idempotent requests
// first, and the oldest first. Keeping all answers of non-idempotent requests would stop the endpoint after 16 MB.
func (e *Enforcer) dropBodies(limit int) {
	var candidates []*record
	for _, r := range e.requests.records {
		if r.over() && r.readers == 0 && len(r.answer.Body) > 0 {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *record) int {
		if a.nonIdempotent != b.nonIdempotent {
			if b.nonIdempotent {
				return -1
			}
			return 1
		}
		return a.endedAt.Compare(b.endedAt)
	})
	for _, r := range candidates {
		if e.requests.bytes <= limit {
			return
		}
		e.dropBody(r)
	}
}

func (e *Enforcer) dropBody(r *record) {
	if r.answer.Result != descriptor.ResultDone || len(r.answer.Body) == 0 {
		return
	}
	e.requests.bytes -= len(r.answer.Body)
	r.answer.Body = nil
	r.answer.Result = descriptor.ResultUnknown
	r.answer.Reason = "ran, but the answer is not kept any more"
}

func (e *Enforcer) forget(r *record) {
	e.requests.bytes -= len(r.answer.Body)
	e.requests.forgotten = e.requests.forgotten || r.started
	delete(e.requests.records, r.key)
}

// Outcome tells what became of a request. When it says NotRun the request will
// never start here. It says Unknown when this process cannot know.
func (e *Enforcer) Outcome(ctx context.Context, o messenger.OutcomeQuery) messenger.ServeAnswer {
	r, answer := e.lookUp(o)
	if r == nil {
		return answer
	}
	ctx, cancel := context.WithTimeout(ctx, o.Wait)
	defer cancel()
	if a := e.await(ctx, r); a.Result != descriptor.ResultNotRun {
		return a
	}
	return e.promise(r)
}

// promise makes the answer NotRun of r final, unless the request was repeated meanwhile.
func (e *Enforcer) promise(r *record) messenger.ServeAnswer {
	before := e.lock()
	defer e.unlock(before)
	if current := e.requests.records[r.key]; current != r && current != nil {
		return e.outcome(current)
	}
	e.requests.records[r.key] = r
	r.refused = true
	r.endedAt = e.now() // The promise is kept for as long as an outcome.
	return r.answer
}

func (e *Enforcer) lookUp(o messenger.OutcomeQuery) (*record, messenger.ServeAnswer) {
	before := e.lock()
	defer e.unlock(before)
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
	case e.requests.forgotten && (o.Age <= 0 || o.Age > remember-ageMargin):
		unknown.Reason = "outcomes that old are not kept"
		return nil, unknown
	case !e.makeRoom(0, now):
		unknown.Reason = ErrRememberFull.Error()
		return nil, unknown
	}
	r := &record{key: key, nonIdempotent: true, ended: make(chan struct{}), admit: make(chan struct{})}
	return nil, e.refuse(r, "never started here and never will", now)
}

// tickRequests forgets old records and notices a lapsed announcement.
func (e *Enforcer) tickRequests(now time.Time) {
	q := &e.requests
	for _, r := range q.records {
		if r.over() && now.Sub(r.endedAt) > remember {
			e.forget(r)
		}
	}
	e.refuseQueued(now)
	// Load alone causes no immediate report: it changes with each request, and the byte budget allows few reports.
	if healthy := e.endpointHealthy(now); healthy != q.healthy {
		q.healthy = healthy
		e.version++
	}
}

// refuseQueued ends the requests that wait at an endpoint that has been leaving for leavingGrace, so that they can
// start elsewhere.
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

// Pending returns how many requests are queued or running.
func (e *Enforcer) Pending() int {
	before := e.lock()
	defer e.unlock(before)
	return e.requests.busy + len(e.requests.queue)
}
