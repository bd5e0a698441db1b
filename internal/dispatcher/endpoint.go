package dispatcher

import (
	"math/rand/v2"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// ejectAfter consecutive failures, while others of the service succeed, eject an endpoint.
	ejectAfter = 5
	// probeAfter is the first wait before an ejected endpoint is probed; it doubles up to probeAtMost.
	probeAfter  = time.Second
	probeAtMost = 30 * time.Second
)

// endpoint is the router's view of one endpoint.
type endpoint struct {
	state EndpointState
	heard time.Time
	// inFlight holds the numbers of this router's own choices, at most limit() of them.
	inFlight map[uint64]struct{}
	// others is the reported load without this router's own part, as of the last report.
	others int

	failures    int
	failedSince time.Time
	// probeAt is zero unless the endpoint is ejected; from then on one request may test it.
	probeAt   time.Time
	probeWait time.Duration
}

func (e *endpoint) update(st EndpointState, now time.Time) {
	// The report lags behind and contains own requests, which are known exactly.
	e.others = max(0, st.Busy+st.Queued-len(e.inFlight))
	e.state = st
	e.heard = now
}

func (e *endpoint) take(number uint64) { e.inFlight[number] = struct{}{} }

func (e *endpoint) release(number uint64) bool {
	_, known := e.inFlight[number]
	delete(e.inFlight, number)
	return known
}

func (e *endpoint) load() int { return len(e.inFlight) + e.others }

// allowedQueue is how many requests may wait at the agent. Half of the slots hides the lag of reports and the way there.
func (e *endpoint) allowedQueue() int { return (e.state.Slots + 1) / 2 }

// limit is the largest number of requests at the endpoint.
func (e *endpoint) limit() int {
	connections := e.state.Connections
	if connections <= 0 {
		connections = DefaultConnections
	}
	return min(e.state.Slots+e.allowedQueue(), connections)
}

func (e *endpoint) hasRoom() bool     { return e.load() < e.limit() }
func (e *endpoint) hasFreeSlot() bool { return e.load() < min(e.state.Slots, e.limit()) }

func (e *endpoint) ejected() bool { return !e.probeAt.IsZero() }

func (e *endpoint) succeeded() {
	e.failures = 0
	e.probeAt = time.Time{}
	e.probeWait = 0
}

func (e *endpoint) failed(now time.Time) {
	if e.failures == 0 {
		e.failedSince = now
	}
	e.failures++
	if e.ejected() {
		e.eject(now)
	}
}

// deservesEjection requires that others succeeded since the failures began: when all fail, the cause is not this endpoint.
func (e *endpoint) deservesEjection(s *service) bool {
	return !e.ejected() && e.failures >= ejectAfter && !s.lastSuccess.Before(e.failedSince)
}

func (e *endpoint) eject(now time.Time) {
	e.probeWait = min(max(2*e.probeWait, probeAfter), probeAtMost)
	e.probeAt = now.Add(e.probeWait)
}

// condition says whether an endpoint may get new work.
type condition int

const (
	usable condition = iota
	silent
	leaving
	failureDomainOut
	unhealthy
	ejected
	otherRegion
)

func (r *Router) condition(e *endpoint, now time.Time) condition {
	switch {
	case e.state.Leaving:
		return leaving
	case r.out[e.state.FailureDomain] || e.state.Revision < r.returned[e.state.FailureDomain]:
		return failureDomainOut
	case now.Sub(e.heard) > SilenceLimit:
		return silent
	case !e.state.Healthy:
		return unhealthy
	case e.ejected() && (now.Before(e.probeAt) || len(e.inFlight) > 0):
		return ejected
	case r.foreign(e):
		return otherRegion
	}
	return usable
}

func (r *Router) foreign(e *endpoint) bool { return r.Region != "" && e.state.Region != r.Region }

// mayEject keeps at least half of the service's live endpoints in use.
func (r *Router) mayEject(s *service, now time.Time) bool {
	live, out := 0, 0
	for _, e := range s.endpoints {
		switch {
		case e.ejected():
			live++
			out++
		case r.condition(e, now) == usable:
			live++
		}
	}
	return 2*(out+1) <= live
}

// anyUsable reports whether an endpoint that was not tried is in service, with or without room.
func (r *Router) anyUsable(s *service, tried []string, now time.Time) bool {
	for _, e := range s.endpoints {
		c := r.condition(e, now)
		inService := c == usable || c == ejected || c == otherRegion && r.LinkCost != nil
		if inService && !slices.Contains(tried, e.state.Agent) {
			return true
		}
	}
	return false
}

// Tiers of endpoints, the best first. A free slot elsewhere in the region is better than waiting at an agent nearby, because the network within a region adds about a millisecond.
const (
	tierProbe = iota
	tierLocalFree
	tierRegionFree
	tierRegionQueue
	tierOtherRegion
	tierCount
)

// selectEndpoint returns an endpoint with room, or nil.
func (r *Router) selectEndpoint(s *service, t Ticket, now time.Time) *endpoint {
	var tiers [tierCount][]*endpoint
	for _, e := range s.endpoints {
		if tier, ok := r.tier(s, e, t, now); ok {
			tiers[tier] = append(tiers[tier], e)
		}
	}
	for _, candidates := range tiers {
		if len(candidates) > 0 {
			return r.better(candidates)
		}
	}
	return nil
}

func (r *Router) tier(s *service, e *endpoint, t Ticket, now time.Time) (int, bool) {
	c := r.condition(e, now)
	if c != usable && c != otherRegion || !e.hasRoom() || slices.Contains(t.Tried, e.state.Agent) {
		return 0, false
	}
	switch {
	case c == otherRegion:
		return tierOtherRegion, e.hasFreeSlot() && r.linkPays(s, t, e.state.Region, now)
	case e.ejected():
		// A lost answer of work that runs at most once cannot be repeated, so such work is no probe.
		return tierProbe, !r.classes[t.Class].NonIdempotent
	case !e.hasFreeSlot():
		return tierRegionQueue, true
	case e.state.FailureDomain == r.FailureDomain:
		return tierLocalFree, true
	}
	return tierRegionFree, true
}

// better compares two random candidates, which spreads load well without all routers choosing the same endpoint.
func (r *Router) better(candidates []*endpoint) *endpoint {
	if len(candidates) == 1 {
		return candidates[0]
	}
	if r.random == nil {
		r.random = rand.New(rand.NewPCG(r.Seed, r.Seed))
	}
	i := r.random.IntN(len(candidates))
	j := r.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	a, b := candidates[i], candidates[j]
	if b.load()*a.state.Slots < a.load()*b.state.Slots {
		return b
	}
	return a
}

// WorthForwarding reports whether forwarding to another region is expected to finish earlier than waiting here.
func (r *Router) WorthForwarding(t Ticket, to descriptor.RegionID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t = r.complete(t, now)
	return r.linkPays(r.service(r.classes[t.Class].Service), t, to, now)
}

func (r *Router) linkPays(s *service, t Ticket, to descriptor.RegionID, now time.Time) bool {
	if r.LinkCost == nil {
		return false
	}
	cost := r.LinkCost(to, t.Bytes)
	if now.Add(cost).After(t.Deadline) {
		return false
	}
	wait, known := r.expectedWait(s, t.Tried, now)
	return !known || wait > cost
}

// expectedWait of a new request in this region; not known when no endpoint is usable.
func (r *Router) expectedWait(s *service, tried []string, now time.Time) (time.Duration, bool) {
	slots, load := 0, 0
	for _, e := range s.endpoints {
		if r.condition(e, now) != usable || slices.Contains(tried, e.state.Agent) {
			continue
		}
		slots += e.state.Slots
		load += min(e.load(), e.state.Slots+e.allowedQueue())
	}
	if slots == 0 {
		return 0, false
	}
	ahead := load + s.queue.size - slots
	if ahead < 0 {
		return 0, true
	}
	return time.Duration(float64(ahead+1) / float64(slots) * float64(s.meanTime())), true
}
