package dispatcher

import (
	"math/rand/v2"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// ejectThreshold is the number of consecutive failures from which an endpoint is ejected; shouldEject and canEject
	// give the other conditions.
	ejectThreshold = 5
	// minProbeDelay is the delay before the first probe of an ejected endpoint. The delay doubles with each failure
	// while the endpoint is ejected, be it of a probe or of an earlier request, up to maxProbeDelay.
	minProbeDelay = time.Second
	maxProbeDelay = 30 * time.Second
)

// endpoint is what the router knows of the endpoint that one agent reports.
type endpoint struct {
	// report is the last report that Update accepted for the endpoint, at reportedAt.
	report     EndpointReport
	reportedAt time.Time
	// inFlight contains the numbers of this router's choices that have not been released. It grows only up to
	// maxLoad().
	inFlight map[uint64]struct{}
	// otherLoad is the number of requests of other routers at the endpoint, as of the last report.
	otherLoad int

	// failures counts the failures since the last success; failedSince is the time of the first of them.
	failures    int
	failedSince time.Time
	// probeAt is the time from which an ejected endpoint may be probed with one request. It is zero if the endpoint is
	// not ejected.
	probeAt time.Time
	// probeDelay is the delay before the next probe; it is zero if the endpoint is not ejected.
	probeDelay time.Duration
}

func (e *endpoint) update(report EndpointReport, now time.Time) {
	// The reported load includes the requests of this router, which load counts from inFlight because the report lags.
	e.otherLoad = max(0, report.Busy+report.Queued-len(e.inFlight))
	e.report = report
	e.reportedAt = now
}

func (e *endpoint) addInFlight(number uint64) { e.inFlight[number] = struct{}{} }

// removeInFlight removes the choice with the given number. It returns false if the choice has been released before.
func (e *endpoint) removeInFlight(number uint64) bool {
	_, inFlight := e.inFlight[number]
	delete(e.inFlight, number)
	return inFlight
}

// load returns the number of known requests running or waiting at the endpoint, including those of other routers.
func (e *endpoint) load() int { return len(e.inFlight) + e.otherLoad }

// queueAllowance returns how many requests may wait at the agent. Half the number of slots is enough to keep the slots
// busy despite the lag of reports and the network latency.
func (e *endpoint) queueAllowance() int { return (e.report.Slots + 1) / 2 }

// maxLoad returns the load from which the endpoint gets no more requests: its slots plus queueAllowance, or the maximum
// number of its connections if that is less.
func (e *endpoint) maxLoad() int {
	connections := e.report.Connections
	if connections <= 0 {
		connections = DefaultMaxConnections
	}
	return min(e.report.Slots+e.queueAllowance(), connections)
}

func (e *endpoint) hasCapacity() bool { return e.load() < e.maxLoad() }
func (e *endpoint) hasFreeSlot() bool { return e.load() < min(e.report.Slots, e.maxLoad()) }

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

// shouldEject reports whether e is not ejected yet and has failed often enough for it. It requires that others have
// succeeded since the failures began: if all fail, the cause is not this endpoint.
func (e *endpoint) shouldEject(s *service) bool {
	return !e.ejected() && e.failures >= ejectThreshold && !s.lastSuccess.Before(e.failedSince)
}

// eject ejects e until the next probe. If e is ejected already, it doubles the delay before the probe, up to
// maxProbeDelay.
func (e *endpoint) eject(now time.Time) {
	e.probeDelay = min(max(2*e.probeDelay, minProbeDelay), maxProbeDelay)
	e.probeAt = now.Add(e.probeDelay)
}

// condition tells whether an endpoint may get new requests and, if not, why.
type condition int

const (
	conditionUsable condition = iota
	conditionSilent           // no report within ReportTimeout
	conditionLeaving
	conditionDomainOut // the failure domain is out, or the agent does not know yet that it is back
	conditionUnhealthy
	conditionEjected // ejected, and no probe is allowed now
	conditionOtherRegion
)

// conditionOf returns the first condition, in the order of its cases, that keeps e from getting requests. It returns
// conditionUsable if there is none, also for an ejected endpoint that is due for a probe. An endpoint with
// conditionOtherRegion may still get requests if LinkCost is set.
func (r *Router) conditionOf(e *endpoint, now time.Time) condition {
	switch {
	case e.report.Leaving:
		return conditionLeaving
	case r.domainsOut[e.report.FailureDomain] || e.report.Revision < r.returnRevisions[e.report.FailureDomain]:
		return conditionDomainOut
	case now.Sub(e.reportedAt) > ReportTimeout:
		return conditionSilent
	case !e.report.Healthy:
		return conditionUnhealthy
	case e.ejected() && (now.Before(e.probeAt) || len(e.inFlight) > 0):
		return conditionEjected
	case r.inOtherRegion(e):
		return conditionOtherRegion
	}
	return conditionUsable
}

func (r *Router) inOtherRegion(e *endpoint) bool {
	return r.Region != "" && e.report.Region != r.Region
}

// canEject reports whether at least half of the service's live endpoints are not ejected after one more ejection.
// Usable endpoints are live, and so are ejected ones, whatever else keeps them from getting requests.
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

// anyUntriedInService reports whether an endpoint that was not tried is in service. An endpoint is in service even if
// it has no capacity left or is ejected at the moment; one in another region only if LinkCost is set.
func (r *Router) anyUntriedInService(s *service, tried []string, now time.Time) bool {
	for _, e := range s.endpoints {
		c := r.conditionOf(e, now)
		inService := c == conditionUsable || c == conditionEjected || c == conditionOtherRegion && r.LinkCost != nil
		if inService && !slices.Contains(tried, e.report.Agent) {
			return true
		}
	}
	return false
}

// Tiers of endpoints, the best first: those due for a probe, those with a free slot in the router's failure domain,
// those with a free slot elsewhere in its region, those in its region with room only in the agent's queue, and those in
// other regions. A free slot elsewhere in the region is preferred to the queue of an agent in the same failure domain,
// because the network within a region adds only about a millisecond.
const (
	tierProbe = iota
	tierLocalFree
	tierRegionFree
	tierRegionQueue
	tierOtherRegion
	tierCount
)

// selectEndpoint returns an endpoint of the best tier that has any, or nil if no endpoint may be selected.
func (r *Router) selectEndpoint(s *service, request RouteRequest, now time.Time) *endpoint {
	var tiers [tierCount][]*endpoint
	for _, e := range s.endpoints {
		if tier, selectable := r.tier(s, e, request, now); selectable {
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

// tier returns the tier of e for the request and whether e may be selected.
func (r *Router) tier(s *service, e *endpoint, request RouteRequest, now time.Time) (int, bool) {
	c := r.conditionOf(e, now)
	if c != conditionUsable && c != conditionOtherRegion || !e.hasCapacity() || slices.Contains(request.Tried, e.report.Agent) {
		return 0, false
	}
	switch {
	case c == conditionOtherRegion:
		return tierOtherRegion, e.hasFreeSlot() && r.forwardingIsFaster(s, request, e.report.Region, now)
	case e.ejected():
		// A probe is likely to fail. A non-idempotent request must not be one, as it cannot be sent again if its answer
		// is lost.
		return tierProbe, !r.classes[request.Class].NonIdempotent
	case !e.hasFreeSlot():
		return tierRegionQueue, true
	case e.report.FailureDomain == r.FailureDomain:
		return tierLocalFree, true
	}
	return tierRegionFree, true
}

// chooseLessLoaded returns the one of two random candidates that has the smaller load per slot. This balances the load
// without making all routers choose the same endpoint. candidates must not be empty.
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
	if b.load()*a.report.Slots < a.load()*b.report.Slots {
		return b
	}
	return a
}

// WorthForwarding reports whether a request is expected to wait longer in this region than the link to the other region
// takes, or cannot be served in this region. The wait in the other region is not known and counts as none. It returns
// false if LinkCost is nil or the link alone takes longer than the deadline allows.
func (r *Router) WorthForwarding(request RouteRequest, to descriptor.RegionID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	request = r.withDeadline(request, now)
	return r.forwardingIsFaster(r.service(r.classes[request.Class].Service), request, to, now)
}

func (r *Router) forwardingIsFaster(s *service, request RouteRequest, to descriptor.RegionID, now time.Time) bool {
	if r.LinkCost == nil {
		return false
	}
	cost := r.LinkCost(to, request.Bytes)
	if now.Add(cost).After(request.Deadline) {
		return false
	}
	wait, known := r.expectedWait(s, request.Tried, now)
	return !known || wait > cost
}

// expectedWait returns how long a new request is expected to wait for a slot in this region, behind the load of the
// endpoints and the queue. It returns false if no usable endpoint that was not tried has slots.
func (r *Router) expectedWait(s *service, tried []string, now time.Time) (time.Duration, bool) {
	slots, load := 0, 0
	for _, e := range s.endpoints {
		if r.conditionOf(e, now) != conditionUsable || slices.Contains(tried, e.report.Agent) {
			continue
		}
		slots += e.report.Slots
		load += min(e.load(), e.report.Slots+e.queueAllowance())
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
