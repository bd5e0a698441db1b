package dispatcher

import (
	"container/heap"
	"context"
	"math"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// endpointCheckInterval is the interval of the checks that refuse a queued request if no endpoint that it has not
	// tried is in service at that time. It is long enough for an agent that has just started to send two reports.
	endpointCheckInterval = 2 * time.Second
	// fairnessWindow limits how far the weighted use of a workspace with urgent requests may exceed the least weighted
	// use of the others: by at most the slot time that all usable slots of the service provide in this period.
	fairnessWindow = time.Second
	// queueCleanupThreshold is the number of workspace queues of one service from which the empty ones are removed before
	// another is added. It does not limit the queues that contain requests.
	queueCleanupThreshold = 4096
)

// RouteRequest describes a request for which an endpoint is selected.
type RouteRequest struct {
	Class     descriptor.ClassID
	Workspace descriptor.WorkspaceID
	// Deadline is the time at which the answer is due; zero means the target of the class, or DefaultDeadline if the
	// class has none.
	Deadline time.Time
	// Tried contains the agents that must not be selected again. A request with a Tried agent counts as a retry.
	Tried []string
	// Bytes is the size of the request and its answer, which determines the cost of a link between regions.
	Bytes int64
}

// waiter is a queued request. At most one result is sent, after the waiter has left the queue.
type waiter struct {
	request RouteRequest
	// targetStart is the deadline minus the expected service time; sorting by it sorts by slack. Whether the request is
	// refused depends on service.latestStart instead.
	targetStart time.Time
	result      chan grant
	// index is the position in the heap, or -1 after the request has left the queue.
	index int
}

// grant ends the wait of a waiter: with a choice, or with the error by which it is refused.
type grant struct {
	choice Choice
	err    error
}

// workspaceQueue is a heap of the queued requests of one workspace, the one with the least slack first.
type workspaceQueue struct {
	workspace descriptor.WorkspaceID
	waiters   []*waiter
	// weightedUse is the expected slot time of the workspace's requests so far, in seconds, divided by its weight. It
	// is raised to queue.virtualTime when the workspace returns with a request.
	weightedUse float64
}

func (wq *workspaceQueue) Len() int { return len(wq.waiters) }
func (wq *workspaceQueue) Less(i, j int) bool {
	return wq.waiters[i].targetStart.Before(wq.waiters[j].targetStart)
}

func (wq *workspaceQueue) Swap(i, j int) {
	wq.waiters[i], wq.waiters[j] = wq.waiters[j], wq.waiters[i]
	wq.waiters[i].index = i
	wq.waiters[j].index = j
}

func (wq *workspaceQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(wq.waiters)
	wq.waiters = append(wq.waiters, w)
}

func (wq *workspaceQueue) Pop() any {
	last := len(wq.waiters) - 1
	w := wq.waiters[last]
	wq.waiters[last] = nil
	wq.waiters = wq.waiters[:last]
	w.index = -1
	return w
}

func (wq *workspaceQueue) leastUrgent() *waiter {
	least := wq.waiters[0]
	for _, w := range wq.waiters {
		if w.targetStart.After(least.targetStart) {
			least = w
		}
	}
	return least
}

// queue contains the queued requests of one service by workspace.
type queue struct {
	// size is the total number of queued requests.
	size        int
	byWorkspace map[descriptor.WorkspaceID]*workspaceQueue
	// virtualTime is the least weighted use, at the last charge, among the workspaces with queued requests and the one
	// charged. It never decreases. A workspace that returns starts from it and gets no credit for its absence.
	virtualTime float64
	// weights contains the weights of the configured workspaces; their sum is 1.
	weights map[descriptor.WorkspaceID]float64
}

// workspaceWeights returns weights in proportion to one more than the guaranteed accelerators of each workspace. The
// sum of the weights is 1.
func workspaceWeights(workspaces []descriptor.Workspace) map[descriptor.WorkspaceID]float64 {
	weights := make(map[descriptor.WorkspaceID]float64, len(workspaces))
	total := 0.0
	for _, w := range workspaces {
		// The 1 gives a workspace without a guarantee a weight too, so that it is served as well.
		weights[w.Name] = 1
		for _, g := range w.Guarantees {
			weights[w.Name] += float64(int(g.Accelerators) * g.Copies())
		}
		total += weights[w.Name]
	}
	for name := range weights {
		weights[name] /= total
	}
	return weights
}

// weight returns the weight of a workspace. One that is not configured gets the weight that it would have if it and the
// configured ones were all equal.
func (q *queue) weight(ws descriptor.WorkspaceID) float64 {
	if w := q.weights[ws]; w > 0 {
		return w
	}
	return 1 / float64(len(q.weights)+1)
}

// queueOf returns the queue of a workspace, which is created if necessary.
func (q *queue) queueOf(ws descriptor.WorkspaceID) *workspaceQueue {
	if wq := q.byWorkspace[ws]; wq != nil {
		return wq
	}
	if q.byWorkspace == nil {
		q.byWorkspace = make(map[descriptor.WorkspaceID]*workspaceQueue)
	}
	if len(q.byWorkspace) >= queueCleanupThreshold {
		q.removeIdle()
	}
	wq := &workspaceQueue{workspace: ws, weightedUse: q.virtualTime}
	q.byWorkspace[ws] = wq
	return wq
}

func (q *queue) removeIdle() {
	for ws, wq := range q.byWorkspace {
		if wq.Len() == 0 {
			delete(q.byWorkspace, ws)
		}
	}
}

func (q *queue) waiting(ws descriptor.WorkspaceID) int {
	if wq := q.byWorkspace[ws]; wq != nil {
		return wq.Len()
	}
	return 0
}

func (q *queue) push(w *waiter) {
	wq := q.queueOf(w.request.Workspace)
	if wq.Len() == 0 {
		wq.weightedUse = max(wq.weightedUse, q.virtualTime)
	}
	heap.Push(wq, w)
	q.size++
}

func (q *queue) remove(w *waiter) {
	if w.index < 0 {
		return
	}
	heap.Remove(q.queueOf(w.request.Workspace), w.index)
	q.size--
}

// charge adds cost, the expected slot time in seconds of a request that starts, to the weighted use of its workspace.
func (q *queue) charge(ws descriptor.WorkspaceID, cost float64) {
	wq := q.queueOf(ws)
	q.virtualTime = max(q.virtualTime, q.leastUse(wq))
	wq.weightedUse = max(wq.weightedUse, q.virtualTime) + cost/q.weight(ws)
}

// leastUse returns the least weighted use among wq and the workspaces with queued requests.
func (q *queue) leastUse(wq *workspaceQueue) float64 {
	least := wq.weightedUse
	for _, other := range q.byWorkspace {
		if other.Len() > 0 {
			least = min(least, other.weightedUse)
		}
	}
	return least
}

// next returns the most urgent waiter, or nil if there is none. It considers only workspaces whose weighted use exceeds
// the least one among those with queued requests by at most allowance.
func (q *queue) next(allowance float64) *waiter {
	least, found := 0.0, false
	for _, wq := range q.byWorkspace {
		if wq.Len() > 0 && (!found || wq.weightedUse < least) {
			least, found = wq.weightedUse, true
		}
	}
	var best *waiter
	for _, wq := range q.byWorkspace {
		if wq.Len() == 0 || wq.weightedUse > least+allowance {
			continue
		}
		if w := wq.waiters[0]; best == nil || moreUrgent(w, best) {
			best = w
		}
	}
	return best
}

// moreUrgent orders waiters by slack, and equal ones by workspace, so that the result does not depend on map order.
func moreUrgent(a, b *waiter) bool {
	if !a.targetStart.Equal(b.targetStart) {
		return a.targetStart.Before(b.targetStart)
	}
	return a.request.Workspace < b.request.Workspace
}

// victim returns the request to be shed from a queue that exceeds limit: the least urgent one of the workspace that
// usesLargerShare orders first. The queue must not be empty.
func (q *queue) victim(limit int) *waiter {
	var largest *workspaceQueue
	for _, wq := range q.byWorkspace {
		if wq.Len() > 0 && (largest == nil || q.usesLargerShare(wq, limit, largest)) {
			largest = wq
		}
	}
	return largest.leastUrgent()
}

// usesLargerShare reports whether a exceeds its share of the queue by a larger factor than b. If both exceed it
// equally, the one with more queued requests counts as larger, and then the one whose workspace has the lesser name.
func (q *queue) usesLargerShare(a *workspaceQueue, limit int, b *workspaceQueue) bool {
	ratioA := float64(a.Len()) / q.queueShare(a, limit)
	ratioB := float64(b.Len()) / q.queueShare(b, limit)
	switch {
	case ratioA != ratioB:
		return ratioA > ratioB
	case a.Len() != b.Len():
		return a.Len() > b.Len()
	}
	return a.workspace < b.workspace
}

// queueShare returns a workspace's share of the queue in whole requests. It is at least 1, so that a workspace with a
// small weight can queue at all.
func (q *queue) queueShare(wq *workspaceQueue, limit int) float64 {
	return math.Ceil(q.weight(wq.workspace) * float64(limit))
}

// Acquire queues a request and waits until an endpoint is selected for it. The error is a *Refusal, or that of ctx if
// ctx ends first. Any error means that the request did not run. Acquire starts no goroutine.
func (r *Router) Acquire(ctx context.Context, request RouteRequest) (Choice, error) {
	if err := ctx.Err(); err != nil {
		return Choice{}, err
	}
	w, s, err := r.enqueue(request, r.now())
	if err != nil {
		return Choice{}, err
	}
	now := r.now()
	timer := time.NewTimer(min(w.timeToLatestStart(s, r, now), endpointCheckInterval))
	defer timer.Stop()
	for {
		select {
		case g := <-w.result:
			return g.choice, g.err
		case <-ctx.Done():
			r.abandon(s, w)
			return Choice{}, ctx.Err()
		case <-timer.C:
			timer.Reset(r.checkWaiter(s, w))
		}
	}
}

func (r *Router) enqueue(request RouteRequest, now time.Time) (*waiter, *service, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request = r.withDeadline(request, now)
	s := r.service(r.classes[request.Class].Service)
	if s.pastLatestStart(request, now) {
		return nil, nil, r.refuse(ErrDeadline, s, request, now)
	}
	if len(request.Tried) > 0 && !r.anyUntriedInService(s, request.Tried, now) {
		return nil, nil, r.refuse(ErrNoEndpoint, s, request, now)
	}
	w := &waiter{request: request, targetStart: request.Deadline.Add(-s.expectedServiceTime(request.Class, now)), result: make(chan grant, 1)}
	s.queue.push(w)
	r.dispatch(s, now)
	if s.queue.size <= r.queueLimit() {
		return w, s, nil
	}
	victim := s.queue.victim(r.queueLimit())
	if victim == w {
		err := r.refuse(ErrQueueFull, s, request, now)
		s.queue.remove(w)
		return nil, nil, err
	}
	r.refuseWaiter(s, victim, ErrShed, now)
	return w, s, nil
}

func (w *waiter) timeToLatestStart(s *service, r *Router, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.latestStart(w.request, now).Sub(now)
}

// checkWaiter does nothing if w has left the queue. Otherwise it assigns free capacity to the queue of s, and then
// refuses w if w is still queued and is past its latest start, or if it is still queued and no endpoint that it has not
// tried is in service. It returns the time until the next check.
func (r *Router) checkWaiter(s *service, w *waiter) time.Duration {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.index < 0 {
		return endpointCheckInterval
	}
	r.dispatch(s, now)
	if w.index >= 0 && s.pastLatestStart(w.request, now) {
		r.refuseWaiter(s, w, ErrDeadline, now)
	}
	if w.index >= 0 && !r.anyUntriedInService(s, w.request.Tried, now) {
		r.refuseWaiter(s, w, ErrNoEndpoint, now)
	}
	return max(time.Millisecond, min(s.latestStart(w.request, now).Sub(now), endpointCheckInterval))
}

// abandon removes a waiter whose caller has gone, or releases the choice that the waiter was granted in the meantime.
func (r *Router) abandon(s *service, w *waiter) {
	r.mu.Lock()
	s.queue.remove(w)
	r.mu.Unlock()
	select {
	case g := <-w.result:
		if g.err == nil {
			r.Release(g.choice, "", 0)
		}
	default:
	}
}

// refuseWaiter removes a waiter from the queue and refuses it. The service status in the refusal still counts it as
// queued.
func (r *Router) refuseWaiter(s *service, w *waiter, reason error, now time.Time) {
	err := r.refuse(reason, s, w.request, now)
	s.queue.remove(w)
	w.result <- grant{err: err}
}

// dispatch assigns free capacity to queued requests in the order of queue.next, and refuses those that it finds past
// their latest start. It is called after each change that may have freed capacity.
func (r *Router) dispatch(s *service, now time.Time) {
	s.queue.weights = r.weights
	if s.queue.size == 0 {
		return
	}
	allowance := r.fairnessAllowance(s, now)
	var skipped []*waiter
	for s.queue.size > 0 && r.anyCapacity(s, now) {
		w := s.queue.next(allowance)
		if s.pastLatestStart(w.request, now) {
			r.refuseWaiter(s, w, ErrDeadline, now)
			continue
		}
		e := r.selectEndpoint(s, w.request, now)
		s.queue.remove(w)
		if e == nil {
			// The free capacity is at endpoints that w has tried or must not use, but other requests may use them.
			skipped = append(skipped, w)
			continue
		}
		s.queue.charge(w.request.Workspace, s.slotTime(w.request.Class, now))
		w.result <- grant{choice: r.startRequest(e, w.request, now)}
	}
	for _, w := range skipped {
		s.queue.push(w)
	}
}

// anyCapacity reports whether any endpoint that may get new requests has capacity.
func (r *Router) anyCapacity(s *service, now time.Time) bool {
	for _, e := range s.endpoints {
		c := r.conditionOf(e, now)
		if e.hasCapacity() && (c == conditionUsable || c == conditionOtherRegion && r.LinkCost != nil) {
			return true
		}
	}
	return false
}

// fairnessAllowance returns fairnessWindow times the usable slots, in seconds of slot time.
func (r *Router) fairnessAllowance(s *service, now time.Time) float64 {
	slots := 0
	for _, e := range s.endpoints {
		if r.conditionOf(e, now) == conditionUsable {
			slots += e.report.Slots
		}
	}
	return float64(slots) * fairnessWindow.Seconds()
}
