package dispatcher

import (
	"container/heap"
	"context"
	"math"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// endpointPatience is how long a request waits for a first endpoint: two reports of an agent that has just started.
	endpointPatience = 2 * time.Second
	// fairnessWindow of the whole service's capacity is how far urgent work of one workspace may run ahead of its share.
	fairnessWindow = time.Second
	// maxLanes bounds the workspaces whose use is remembered while they have no waiting requests.
	maxLanes = 4096
)

// Ticket is a request that asks for an endpoint.
type Ticket struct {
	Class     descriptor.ClassID
	Workspace descriptor.WorkspaceID
	// Deadline of the answer; zero means the target of the class.
	Deadline time.Time
	// Tried are the agents that are not to be used again.
	Tried []string
	// Bytes of the request and its answer, for the cost of a link between regions.
	Bytes int64
}

// waiter is a request in the queue. Its result is sent exactly once, after it has left the queue.
type waiter struct {
	ticket Ticket
	// latest is the deadline minus the expected service time; the order of latest is the order of slack.
	latest time.Time
	result chan grant
	// index in the heap of its lane, or -1 after it has left the queue.
	index int
}

type grant struct {
	choice Choice
	err    error
}

// lane holds the waiting requests of one workspace, the one with the least slack first.
type lane struct {
	workspace descriptor.WorkspaceID
	waiters   []*waiter
	// used is the slot time that the workspace has received, divided by its weight.
	used float64
}

func (l *lane) Len() int           { return len(l.waiters) }
func (l *lane) Less(i, j int) bool { return l.waiters[i].latest.Before(l.waiters[j].latest) }
func (l *lane) Swap(i, j int) {
	l.waiters[i], l.waiters[j] = l.waiters[j], l.waiters[i]
	l.waiters[i].index = i
	l.waiters[j].index = j
}

func (l *lane) Push(x any) {
	w := x.(*waiter)
	w.index = len(l.waiters)
	l.waiters = append(l.waiters, w)
}

func (l *lane) Pop() any {
	last := len(l.waiters) - 1
	w := l.waiters[last]
	l.waiters[last] = nil
	l.waiters = l.waiters[:last]
	w.index = -1
	return w
}

func (l *lane) leastUrgent() *waiter {
	worst := l.waiters[0]
	for _, w := range l.waiters {
		if w.latest.After(worst.latest) {
			worst = w
		}
	}
	return worst
}

// queue holds the waiting requests of one service in lanes by workspace.
type queue struct {
	size  int
	lanes map[descriptor.WorkspaceID]*lane
	// virtual is the least use among the workspaces served last. A workspace that returns starts from here, without credit for its absence.
	virtual float64
	weights map[descriptor.WorkspaceID]float64
}

// weightsOf returns each workspace's part of all guaranteed accelerators.
func weightsOf(workspaces []descriptor.Workspace) map[descriptor.WorkspaceID]float64 {
	weights := make(map[descriptor.WorkspaceID]float64, len(workspaces))
	total := 0.0
	for _, w := range workspaces {
		// One is added so that a workspace without a guarantee is served as well.
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

func (q *queue) weight(ws descriptor.WorkspaceID) float64 {
	if w := q.weights[ws]; w > 0 {
		return w
	}
	return 1 / float64(len(q.weights)+1)
}

func (q *queue) lane(ws descriptor.WorkspaceID) *lane {
	if l := q.lanes[ws]; l != nil {
		return l
	}
	if q.lanes == nil {
		q.lanes = make(map[descriptor.WorkspaceID]*lane)
	}
	if len(q.lanes) >= maxLanes {
		q.forgetIdle()
	}
	l := &lane{workspace: ws, used: q.virtual}
	q.lanes[ws] = l
	return l
}

func (q *queue) forgetIdle() {
	for ws, l := range q.lanes {
		if l.Len() == 0 {
			delete(q.lanes, ws)
		}
	}
}

func (q *queue) waiting(ws descriptor.WorkspaceID) int {
	if l := q.lanes[ws]; l != nil {
		return l.Len()
	}
	return 0
}

func (q *queue) push(w *waiter) {
	l := q.lane(w.ticket.Workspace)
	if l.Len() == 0 {
		l.used = max(l.used, q.virtual)
	}
	heap.Push(l, w)
	q.size++
}

func (q *queue) remove(w *waiter) {
	if w.index < 0 {
		return
	}
	heap.Remove(q.lane(w.ticket.Workspace), w.index)
	q.size--
}

// charge adds the cost of a started request to its workspace's use.
func (q *queue) charge(ws descriptor.WorkspaceID, cost float64) {
	l := q.lane(ws)
	q.virtual = max(q.virtual, q.leastUsed(l))
	l.used = max(l.used, q.virtual) + cost/q.weight(ws)
}

func (q *queue) leastUsed(l *lane) float64 {
	least := l.used
	for _, other := range q.lanes {
		if other.Len() > 0 {
			least = min(least, other.used)
		}
	}
	return least
}

// next returns the most urgent waiter among the workspaces that are not ahead of the others by more than window.
func (q *queue) next(window float64) *waiter {
	least, found := 0.0, false
	for _, l := range q.lanes {
		if l.Len() > 0 && (!found || l.used < least) {
			least, found = l.used, true
		}
	}
	var best *waiter
	for _, l := range q.lanes {
		if l.Len() == 0 || l.used > least+window {
			continue
		}
		if w := l.waiters[0]; best == nil || before(w, best) {
			best = w
		}
	}
	return best
}

// before orders by slack, and by workspace among equals so that the order does not depend on that of a map.
func before(a, b *waiter) bool {
	if !a.latest.Equal(b.latest) {
		return a.latest.Before(b.latest)
	}
	return a.ticket.Workspace < b.ticket.Workspace
}

// victim is the least urgent request of the workspace that uses the most of its part of the queue. Among equals it is the one with more waiting requests.
func (q *queue) victim(limit int) *waiter {
	var most *lane
	for _, l := range q.lanes {
		if l.Len() > 0 && (most == nil || q.overuse(l, limit, most)) {
			most = l
		}
	}
	return most.leastUrgent()
}

// overuse reports whether a uses more of its part than b.
func (q *queue) overuse(a *lane, limit int, b *lane) bool {
	ratioA := float64(a.Len()) / q.part(a, limit)
	ratioB := float64(b.Len()) / q.part(b, limit)
	switch {
	case ratioA != ratioB:
		return ratioA > ratioB
	case a.Len() != b.Len():
		return a.Len() > b.Len()
	}
	return a.workspace < b.workspace
}

// part is a workspace's part of the queue in whole requests. It is at least 1, so that a workspace with a small share can wait at all.
func (q *queue) part(l *lane, limit int) float64 {
	return math.Ceil(q.weight(l.workspace) * float64(limit))
}

// Acquire waits in the queue until an endpoint is selected. Every error means that the request did not run. It uses no goroutine of its own.
func (r *Router) Acquire(ctx context.Context, t Ticket) (Choice, error) {
	if err := ctx.Err(); err != nil {
		return Choice{}, err
	}
	w, s, err := r.enqueue(t, r.now())
	if err != nil {
		return Choice{}, err
	}
	now := r.now()
	timer := time.NewTimer(min(w.remaining(s, r, now), endpointPatience))
	defer timer.Stop()
	for {
		select {
		case g := <-w.result:
			return g.choice, g.err
		case <-ctx.Done():
			r.abandon(s, w)
			return Choice{}, ctx.Err()
		case <-timer.C:
			timer.Reset(r.timeout(s, w))
		}
	}
}

func (r *Router) enqueue(t Ticket, now time.Time) (*waiter, *service, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t = r.complete(t, now)
	s := r.service(r.classes[t.Class].Service)
	if s.tooLate(t, now) {
		return nil, nil, r.refuse(ErrDeadline, s, t, now)
	}
	if len(t.Tried) > 0 && !r.anyUsable(s, t.Tried, now) {
		return nil, nil, r.refuse(ErrNoEndpoint, s, t, now)
	}
	w := &waiter{ticket: t, latest: t.Deadline.Add(-s.expected(t.Class, now)), result: make(chan grant, 1)}
	s.queue.push(w)
	r.dispatch(s, now)
	if s.queue.size <= r.queueLimit() {
		return w, s, nil
	}
	v := s.queue.victim(r.queueLimit())
	if v == w {
		err := r.refuse(ErrQueueFull, s, t, now)
		s.queue.remove(w)
		return nil, nil, err
	}
	r.end(s, v, ErrShed, now)
	return w, s, nil
}

func (w *waiter) remaining(s *service, r *Router, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.lastStart(w.ticket, now).Sub(now)
}

// timeout ends a waiter that can no longer be served, and otherwise returns how long to wait until the next check.
func (r *Router) timeout(s *service, w *waiter) time.Duration {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.index < 0 {
		return endpointPatience
	}
	r.dispatch(s, now)
	if w.index >= 0 && s.tooLate(w.ticket, now) {
		r.end(s, w, ErrDeadline, now)
	}
	if w.index >= 0 && !r.anyUsable(s, w.ticket.Tried, now) {
		r.end(s, w, ErrNoEndpoint, now)
	}
	return max(time.Millisecond, min(s.lastStart(w.ticket, now).Sub(now), endpointPatience))
}

// abandon takes a waiter whose caller has gone out of the queue, or returns what it was granted in the meantime.
func (r *Router) abandon(s *service, w *waiter) {
	r.mu.Lock()
	s.queue.remove(w)
	r.mu.Unlock()
	select {
	case g := <-w.result:
		if g.err == nil {
			r.Done(g.choice, "", 0)
		}
	default:
	}
}

// end refuses a waiter.
func (r *Router) end(s *service, w *waiter, reason error, now time.Time) {
	err := r.refuse(reason, s, w.ticket, now)
	s.queue.remove(w)
	w.result <- grant{err: err}
}

// dispatch gives free capacity to waiting requests.
func (r *Router) dispatch(s *service, now time.Time) {
	s.queue.weights = r.weights
	if s.queue.size == 0 {
		return
	}
	window := r.window(s, now)
	var passed []*waiter
	for s.queue.size > 0 && r.anyRoom(s, now) {
		w := s.queue.next(window)
		if s.tooLate(w.ticket, now) {
			r.end(s, w, ErrDeadline, now)
			continue
		}
		e := r.selectEndpoint(s, w.ticket, now)
		s.queue.remove(w)
		if e == nil {
			// Only its tried endpoints, or none that may serve it, have room; others may use that.
			passed = append(passed, w)
			continue
		}
		s.queue.charge(w.ticket.Workspace, s.cost(w.ticket.Class, now))
		w.result <- grant{choice: r.take(e, w.ticket, now)}
	}
	for _, w := range passed {
		s.queue.push(w)
	}
}

func (r *Router) anyRoom(s *service, now time.Time) bool {
	for _, e := range s.endpoints {
		c := r.condition(e, now)
		if e.hasRoom() && (c == usable || c == otherRegion && r.LinkCost != nil) {
			return true
		}
	}
	return false
}

// window is fairnessWindow of the slots in service, in seconds of a slot.
func (r *Router) window(s *service, now time.Time) float64 {
	slots := 0
	for _, e := range s.endpoints {
		if r.condition(e, now) == usable {
			slots += e.state.Slots
		}
	}
	return float64(slots) * fairnessWindow.Seconds()
}
