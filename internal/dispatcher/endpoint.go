package dispatcher

import (
	"math/rand/v2"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// ejectThreshold consecutive failures eject an endpoint if others of the service succeed in the meantime.
	ejectThreshold = 5
	// minProbeDelay is the delay before the first probe of an ejected endpoint; it doubles up to maxProbeDelay.
	minProbeDelay = time.Second
	maxProbeDelay = 30 * time.Second
)

// endpoint is the router's state of one endpoint.
type endpoint struct {
	state      EndpointState
	reportedAt time.Time
	// inFlight contains the numbers of this router's choices that have not been released, at most limit() of them.
	inFlight map[uint64]struct{}
	// otherLoad is the load of other routers, as of the last report.
	otherLoad int

	// failures counts the failures since the last success; failedSince is the time of the first of them.
	failures    int
	failedSince time.Time
	// probeAt is when an ejected endpoint may be probed with one request; it is zero if the endpoint is not ejected.
	probeAt    time.Time
	probeDelay time.Duration
}

func (e *endpoint) update(st EndpointState, now time.Time) {
	// The report lags behind and includes this router's own requests, whose number is known exactly.
	e.otherLoad = max(0, st.Busy+st.Queued-len(e.inFlight))
	e.state = st
	e.reportedAt = now
}

func (e *endpoint) addInFlight(number uint64) { e.inFlight[number] = struct{}{} }

func (e *endpoint) removeInFlight(number uint64) bool {
	_, known := e.inFlight[number]
	delete(e.inFlight, number)
	return known
}

func (e *endpoint) load() int { return len(e.inFlight) + e.otherLoad }

// queueAllowance returns how many requests may wait at the agent. Half the number of slots covers the lag of reports and
// the network latency.
func (e *endpoint) queueAllowance() int { return (e.state.Slots + 1) / 2 }

// limit returns the maximum number of requests at the endpoint.
func (e *endpoint) limit() int {
	connections := e.state.Connections
	if connections <= 0 {
		connections = DefaultMaxConnections
	}
	return min(e.state.Slots+e.queueAllowance(), connections)
}

func (e *endpoint) hasCapacity() bool { return e.load() < e.limit() }
func (e *endpoint) hasFreeSlot() bool { return e.load() < min(e.state.Slots, e.limit()) }

func (e *endpoint) ejected() bool { return !e.probeAt.IsZero() }

func (e *endpoint) recordSuccess() {
	e.failures = 0
	e.probeAt = time.Time{}
	e.probeDelay = 0
}

func (e *endpoint) recordFailure(now time.Time) {
	if e.failures == 0 {
		e.failedSince = now
	}
	e.failures++
	if e.ejected() {
		e.eject(now)
	}
}

// shouldEject reports whether e has failed often enough. It requires that others have succeeded since the failures
// began: if all fail, the cause is not this endpoint.
func (e *endpoint) shouldEject(s *service) bool {
	return !e.ejected() && e.failures >= ejectThreshold && !s.lastSuccess.Before(e.failedSince)
}

func (e *endpoint) eject(now time.Time) {
	e.probeDelay = min(max(2*e.probeDelay, minProbeDelay), maxProbeDelay)
	e.probeAt = now.Add(e.probeDelay)
}

// condition tells whether an endpoint may get new requests and, if not, why.
type condition int

const (
	conditionUsable condition = iota
	conditionSilent
	conditionLeaving
	conditionDomainOut
	conditionUnhealthy
	conditionEjected
	conditionOtherRegion
)

// conditionOf returns the first condition that keeps e from getting requests, or conditionUsable.
func (r *Router) conditionOf(e *endpoint, now time.Time) condition {
	switch {
	case e.state.Leaving:
		return conditionLeaving
	case r.domainsOut[e.state.FailureDomain] || e.state.Revision < r.returnRevisions[e.state.FailureDomain]:
		return conditionDomainOut
	case now.Sub(e.reportedAt) > ReportTimeout:
		return conditionSilent
	case !e.state.Healthy:
		return conditionUnhealthy
	case e.ejected() && (now.Before(e.probeAt) || len(e.inFlight) > 0):
		return conditionEjected
	case r.inOtherRegion(e):
		return conditionOtherRegion
	}
	return conditionUsable
}

func (r *Router) inOtherRegion(e *endpoint) bool { return r.Region != "" && e.state.Region != r.Region }

// canEject reports whether at least half of the service's live endpoints, those usable or ejected, stay in use after
// one more ejection.
func (r *Router) canEject(s *service, now time.Time) bool {
	live, ejected := 0, 0
	for _, e := range s.endpoints {
		switch {
		case e.ejected():
			live++
			ejected++
		case r.conditionOf(e, now) == conditionUsable:
			live++
		}
	}
	return 2*(ejected+1) <= live
}

// anyInService reports whether an endpoint that was not tried is in service, even if it has no capacity left or is
// ejected at the moment.
func (r *Router) anyInService(s *service, tried []string, now time.Time) bool {
	for _, e := range s.endpoints {
		c := r.conditionOf(e, now)
		inService := c == conditionUsable || c == conditionEjected || c == conditionOtherRegion && r.LinkCost != nil
		if inService && !slices.Contains(tried, e.state.Agent) {
			return true
		}
	}
	return false
}

// Tiers of endpoints, the best first: those due for a probe, those with a free slot in the router's failure domain, those
// with a free slot elsewhere in its region, those in the region with room in the queue only, and those of other regions.
// A free slot elsewhere in the region is preferred to the queue of an agent nearby,
// because the network within a region adds about a millisecond.
const (
	tierProbe = iota
	tierLocalFree
	tierRegionFree
	tierRegionQueue
	tierOtherRegion
	tierCount
)

// selectEndpoint returns an endpoint with capacity, or nil.
func (r *Router) selectEndpoint(s *service, t Ticket, now time.Time) *endpoint {
	var tiers [tierCount][]*endpoint
	for _, e := range s.endpoints {
		if tier, ok := r.tier(s, e, t, now); ok {
			tiers[tier] = append(tiers[tier], e)
		}
	}
	for _, candidates := range tiers {
		if len(candidates) > 0 {
			return r.chooseLessLoaded(candidates)
		}
	}
	return nil
}

// tier returns the tier of e for t and whether e may be selected.
func (r *Router) tier(s *service, e *endpoint, t Ticket, now time.Time) (int, bool) {
	c := r.conditionOf(e, now)
	if c != conditionUsable && c != conditionOtherRegion || !e.hasCapacity() || slices.Contains(t.Tried, e.state.Agent) {
		return 0, false
	}
	switch {
	case c == conditionOtherRegion:
		return tierOtherRegion, e.hasFreeSlot() && r.forwardingIsFaster(s, t, e.state.Region, now)
	case e.ejected():
		// A lost answer of a non-idempotent request cannot be repeated, so such a request must not be a probe.
		return tierProbe, !r.classes[t.Class].NonIdempotent
	case !e.hasFreeSlot():
		return tierRegionQueue, true
	case e.state.FailureDomain == r.FailureDomain:
		return tierLocalFree, true
	}
	return tierRegionFree, true
}

// chooseLessLoaded compares two random candidates. This balances the load without making all routers choose the same
// endpoint.
func (r *Router) chooseLessLoaded(candidates []*endpoint) *endpoint {
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

// WorthForwarding reports whether a request is expected to finish earlier if forwarded to another region than if it
// waits here.
func (r *Router) WorthForwarding(t Ticket, to descriptor.RegionID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t = r.withDeadline(t, now)
	return r.forwardingIsFaster(r.service(r.classes[t.Class].Service), t, to, now)
}

func (r *Router) forwardingIsFaster(s *service, t Ticket, to descriptor.RegionID, now time.Time) bool {
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

// expectedWait returns the expected wait of a new request in this region, and false if no endpoint is usable.
func (r *Router) expectedWait(s *service, tried []string, now time.Time) (time.Duration, bool) {
	slots, load := 0, 0
	for _, e := range s.endpoints {
		if r.conditionOf(e, now) != conditionUsable || slices.Contains(tried, e.state.Agent) {
			continue
		}
		slots += e.state.Slots
		load += min(e.load(), e.state.Slots+e.queueAllowance())
	}
	if slots == 0 {
		return 0, false
	}
	ahead := load + s.queue.size - slots
	if ahead < 0 {
		return 0, true
	}
	return time.Duration(float64(ahead+1) / float64(slots) * float64(s.meanServiceTime())), true
}
