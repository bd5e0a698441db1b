package scheduler

import (
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// resubmittedAge is the time since acceptance from which a submitted job counts as already accepted by an
	// earlier scheduler rather than new. Such a job is not refused.
	resubmittedAge = 10 * second
	// workerRetention is how long a lost worker still counts as part of the fleet. After that, jobs that need
	// the worker may be ended as unschedulable.
	workerRetention = 24 * hour
	// unschedulableTimeout is how long a job that no longer fits the fleet waits before it is ended.
	unschedulableTimeout = hour
	sweepInterval        = minute
	// refusalBackoff is the delay after the first refused start of a job. It doubles with each further refusal up to
	// refusalBackoffMax, until an attempt of the job has started.
	refusalBackoff    = second / 4
	refusalBackoffMax = 10 * second
	// victimSearchLimit bounds the failed searches for reclaim victims in one Decide. The jobs behind them can
	// still start on free capacity; the next Decide considers all waiting jobs again.
	victimSearchLimit = 16
)

// Core decides which jobs start, on which workers, and which attempts are reclaimed for them.
type Core struct {
	// Policy must be set before the first call and must not change afterwards.
	Policy Policy
	// Region limits the core to the workers and guarantees of one region. Empty means all regions.
	Region descriptor.RegionID
	// QueueLimit is the number of waiting jobs from which all new jobs are refused. 0 means 20,000.
	QueueLimit int

	now   int64
	fleet fleet
	// expectedFleet is the part of the configured fleet that is in the region.
	expectedFleet []descriptor.RackSize
	// fleetVersion is incremented when a worker is added, changed or removed for good, and with each configuration; see
	// shapeState.fitsFleetVersion.
	fleetVersion int
	classes      map[descriptor.ClassID]*descriptor.Class
	workspaces   map[descriptor.WorkspaceID]*workspace
	// cells are the cells of all workspaces, ordered by workspace name.
	cells []*cell
	// planDirty is set when a capacity change, a new configuration, changed guarantees or released charges may have
	// overcommitted the plan or made it possible to plan more cells. It stays set while a full plan is postponed; see
	// ensurePlan.
	planDirty bool
	// nextFullPlanAt is the earliest time at which all cells are planned again to make impossible guarantees
	// possible; see fullPlanInterval.
	nextFullPlanAt int64
	// undoLog holds the previous assignments of the cells that were moved for the current charge.
	undoLog []previousAssignment
	// replanCount counts the calls of replanAll in this Decide; see replanLimit.
	replanCount int

	jobs        map[descriptor.JobKey]*job
	shapeStates map[resourceShape]*shapeState
	// queue is sorted by job.compare. It may contain stale entries, for which valid returns false.
	queue        []queueEntry
	waitingCount int
	// unconsidered jobs have not been considered since they were queued. Delayed jobs wait for their
	// notBefore time.
	unconsidered []*job
	delayed      []*job
	// awaitingReservation are new jobs that could not start and have no reservation yet.
	awaitingReservation []*job
	// orderedAtVersion is the version of the run-time history by which the queue was last sorted.
	orderedAtVersion int
	nextReorderAt    int64
	// inPass is set while a pass iterates over the queue, which must not be compacted meanwhile.
	inPass bool
	// endedKeys are the ended jobs that are still kept, in the order in which they will be dropped.
	endedKeys []descriptor.JobKey

	// capacityGeneration is incremented whenever capacity or a guarantee becomes free. The result of a failed
	// search is valid for one generation.
	capacityGeneration int
	// fullPassNeeded is set when the next Decide must consider all waiting jobs.
	fullPassNeeded bool
	// failedSearches are the failed searches for guaranteed placements. A full pass clears them unless the capacity
	// generation still equals failedSearchesGeneration.
	failedSearches           failedSearchGenerations
	failedSearchesGeneration int
	// failedVictimSearches counts the failed searches for reclaim victims in this Decide; see victimSearchLimit.
	failedVictimSearches int
	// reservationSearches counts the searches for new reservations in this Decide; see reservationSearchLimit.
	reservationSearches int

	// claims are the attempts that wait for the victims on their placement to stop.
	claims []*attempt
	// stopping are the attempts that were requested to stop. Those that have stopped stay until repeatStopRequests
	// removes them.
	stopping []*attempt
	// unexpected are reported attempts that contradict the state and are not the current attempt of their job.
	unexpected   map[unexpectedKey]*attempt
	reservations []*reservation
	// blockedWorkers get no new attempts until their blockedUntil time, after a refused start.
	blockedWorkers     []*worker
	quarantinedWorkers []*worker
	// savedHealth holds the quarantine of removed workers.
	savedHealth   map[descriptor.WorkerID]health
	history       history
	largeJobWaits waitSamples
	nextSweepAt   int64
	// searchID numbers the searches, so that each marks the workers and attempts it has visited.
	searchID         int
	pendingDecisions []pendingDecision
}

// pendingDecision is a decision to be returned by the next Decide. If attempt is set, the decision is a
// request to stop, which is dropped when the attempt has ended in the meantime.
type pendingDecision struct {
	decision Decision
	attempt  *attempt
}

type unexpectedKey struct {
	key    descriptor.JobKey
	number descriptor.Attempt
}

// advanceTo sets the current time, which never decreases, and initialises the core on first use.
func (c *Core) advanceTo(now time.Time) {
	c.now = max(c.now, toNanos(now))
	if c.jobs != nil {
		return
	}
	c.jobs = make(map[descriptor.JobKey]*job)
	c.shapeStates = make(map[resourceShape]*shapeState)
	c.failedSearches = make(failedSearchGenerations)
	c.unexpected = make(map[unexpectedKey]*attempt)
	c.savedHealth = make(map[descriptor.WorkerID]health)
	c.fleet.workers = make(map[descriptor.WorkerID]*worker)
	c.capacityGeneration = 1
}

// capacityFreed records that capacity became free, so that the next Decide considers all waiting jobs.
func (c *Core) capacityFreed() {
	c.capacityGeneration++
	c.fullPassNeeded = true
}

func (c *Core) addDecision(d Decision) {
	c.pendingDecisions = append(c.pendingDecisions, pendingDecision{decision: d})
}

// addStopDecision adds a request to stop the remaining members of a.
func (c *Core) addStopDecision(a *attempt, reason string, grace int64) {
	kind := DecisionReclaim
	if a.contradicts || a.job.state == StateEnded {
		kind = DecisionStop
	}
	d := Decision{Kind: kind, Key: a.job.Key(), Attempt: a.number, Reason: reason, Grace: toDuration(grace)}
	c.pendingDecisions = append(c.pendingDecisions, pendingDecision{d, a})
	a.job.addRecord(c.now, a.number, decisionKindNames[kind], reason)
}

// takeDecisions returns the pending decisions that are still valid and clears the list.
func (c *Core) takeDecisions() []Decision {
	var out []Decision
	for _, p := range c.pendingDecisions {
		d := p.decision
		if p.attempt != nil {
			if !p.attempt.holdsResources() {
				continue
			}
			d.Placement = p.attempt.placement()
		}
		out = append(out, d)
	}
	c.pendingDecisions = nil
	return out
}

// Decide returns the decisions that follow from all calls so far and from the time, such as an expired delay or
// quarantine. Each decision is returned once, except that unanswered requests to stop are repeated.
func (c *Core) Decide(now time.Time) []Decision {
	c.advanceTo(now)
	c.replanCount, c.failedVictimSearches = 0, 0
	c.tick()
	c.ensurePlan()
	c.startClaims()
	if c.Policy == PolicyBaseline {
		c.passInOrder()
	} else {
		c.checkReservations()
		c.pass()
	}
	c.ensurePlan()
	c.markImpossibleSince()
	return c.takeDecisions()
}

// tick applies the changes that depend on time, such as the end of a delay or of a quarantine.
func (c *Core) tick() {
	c.repeatStopRequests()
	c.updateQuarantine()
	c.blockedWorkers = slices.DeleteFunc(c.blockedWorkers, func(w *worker) bool {
		if w.blockedUntil > c.now {
			return false
		}
		c.capacityFreed()
		return true
	})
	c.delayed = slices.DeleteFunc(c.delayed, func(j *job) bool {
		if j.waiting && j.notBefore > c.now {
			return false
		}
		c.unconsidered = append(c.unconsidered, j)
		return true
	})
	c.reorderQueue()
	if c.now >= c.nextSweepAt {
		c.nextSweepAt = c.now + sweepInterval
		c.sweep()
	}
}

// startClaims starts the claims whose victims have stopped.
func (c *Core) startClaims() {
	for _, a := range slices.Clone(c.claims) {
		if !claimReady(a) {
			continue
		}
		c.claims = without(c.claims, a)
		a.claim = false
		for _, s := range a.spans {
			s.worker.claimed = s.worker.claimed.minus(a.job.need.times(s.count))
		}
		c.start(a, "on the guarantee of "+string(a.job.Workspace)+", after reclaim")
	}
}

// claimReady reports whether the resources of a claim are no longer in use.
func claimReady(a *attempt) bool {
	for _, s := range a.spans {
		if s.worker.capacity.minus(s.worker.used).minus(a.job.need.times(s.count)).negative() {
			return false
		}
	}
	return true
}

// start assigns a its number and its resources and adds the decision to start it.
func (c *Core) start(a *attempt, reason string) {
	j := a.job
	c.dequeue(j)
	j.number++
	a.number = j.number
	a.expectedRunTime = c.remainingRunTime(j)
	j.current, j.state = a, StateHeld
	c.allocate(a)
	for _, s := range a.spans {
		if s.worker.health.probing {
			s.worker.health.probe = a
		}
	}
	c.largeJobWaits.add(j, c.now)
	j.addRecord(c.now, a.number, "Start", reason)
	c.addDecision(Decision{Kind: DecisionStart, Key: j.Key(), Attempt: a.number, Placement: a.placement(), Reason: reason})
}

// passInOrder starts jobs strictly in queue order for PolicyBaseline: no job overtakes the first waiting one.
func (c *Core) passInOrder() {
	c.unconsidered = c.unconsidered[:0]
	c.inPass = true
	for _, e := range c.queue {
		if !e.valid() {
			continue
		}
		j := e.job
		if j.notBefore > c.now {
			break
		}
		spans := c.firstFit(j)
		if spans == nil {
			break
		}
		c.start(&attempt{job: j, spans: spans}, "first fit in order of arrival")
	}
	c.inPass = false
	c.compactQueue()
}

// pass considers waiting jobs in queue order: all of them if capacity became free or the previous pass reached
// victimSearchLimit, otherwise only the unconsidered ones.
func (c *Core) pass() {
	if !c.fullPassNeeded {
		c.passUnconsidered()
		return
	}
	c.fullPassNeeded = false
	c.unconsidered, c.awaitingReservation = c.unconsidered[:0], nil
	if c.failedSearchesGeneration != c.capacityGeneration {
		c.failedSearches, c.failedSearchesGeneration = make(failedSearchGenerations), c.capacityGeneration
	}
	c.inPass = true
	for _, e := range c.queue {
		if e.valid() {
			c.consider(e.job)
		}
	}
	c.inPass = false
	c.compactQueue()
}

// passUnconsidered considers only the jobs that were queued, or whose delay ended, since the last pass. If there are
// none, it makes reservations for blocked jobs.
func (c *Core) passUnconsidered() {
	if len(c.unconsidered) == 0 {
		c.reserveBlocked()
		return
	}
	jobs := c.unconsidered
	c.unconsidered = nil
	slices.SortFunc(jobs, func(a, b *job) int { return a.compare(b) })
	for _, j := range jobs {
		if j.waiting {
			c.consider(j)
		}
	}
	clear(jobs)
	c.unconsidered = jobs[:0]
}

// consider starts j if it can. Otherwise it earmarks the guarantee for j if fitsOneCell is true, and makes a
// reservation where mayReserve allows it; outside of a full pass, reserveBlocked makes the reservation later.
// It does nothing before j.notBefore.
func (c *Core) consider(j *job) {
	if j.notBefore > c.now || c.tryStart(j) {
		return
	}
	if c.fitsOneCell(j) {
		c.earmarkGuarantee(j)
	}
	switch {
	case j.reservation != nil || !c.mayReserve(j):
	case c.inPass:
		c.reserve(j)
	default:
		c.awaitingReservation = append(c.awaitingReservation, j)
	}
}

// reserveBlocked makes reservations for new jobs that could not start. It runs only in a Decide without new
// jobs, so that urgent starts are not delayed by it.
func (c *Core) reserveBlocked() {
	jobs := c.awaitingReservation
	c.awaitingReservation = nil
	slices.SortFunc(jobs, func(a, b *job) int { return a.compare(b) })
	for _, j := range jobs {
		if j.waiting && j.reservation == nil && j.notBefore <= c.now && c.mayReserve(j) {
			c.reserve(j)
		}
	}
}

// earmarkGuarantee keeps less urgent jobs of the workspace from using the part of the guarantee that j needs,
// unless the guarantee is already earmarked for a more urgent job.
func (c *Core) earmarkGuarantee(j *job) {
	if ws := c.workspaces[j.Workspace]; ws.earmarkedFor == nil || j.before(ws.earmarkedFor) {
		ws.earmarkedFor = j
	}
}

// tryStart tries in turn to start j on free resources of its guarantee, on other free capacity, by reclaim for its
// guarantee, and in place of work of less urgent classes on that guarantee. It reports whether j was started or
// has a claim.
func (c *Core) tryStart(j *job) bool {
	key := searchKey{j.Workspace, j.Class, j.shapeState}
	mayUse := c.failedSearches[key] != c.capacityGeneration && c.mayUseGuarantee(j)
	entitledNow := mayUse && c.entitled(j)
	if entitledNow && c.startGuaranteed(j) {
		return true
	}
	if j.NonIdempotent {
		if c.startNonIdempotent(j) {
			return true
		}
	} else if c.startBorrowed(j) {
		return true
	}
	if !mayUse {
		return false
	}
	if c.failedVictimSearches >= victimSearchLimit {
		c.fullPassNeeded = true
		return false
	}
	if entitledNow && (c.startByReclaim(j, true) || c.repackCharges(j) && c.startByReclaim(j, true)) || c.displace(j) {
		return true
	}
	c.failedVictimSearches++
	if len(j.failures) == 0 {
		c.failedSearches[key] = c.capacityGeneration
	}
	return false
}

// startGuaranteed starts j on free resources within the guarantee. It tries partly used cells of the
// workspace first.
func (c *Core) startGuaranteed(j *job) bool {
	reason := "on the guarantee of " + string(j.Workspace)
	if c.knownToFail(j, forever) {
		return false
	}
	for _, l := range c.workspaces[j.Workspace].cells {
		if l.used == 0 || !l.planned || l.residual() < j.accelerators() {
			continue
		}
		if spans := c.findPlacement(c.freeRequest(j, forever), []*node{l.node}); spans != nil && c.startProtected(j, spans, c.charge, reason) {
			return true
		}
	}
	spans := c.findFree(j, forever)
	return spans != nil && c.startProtected(j, spans, c.charge, reason)
}

// startProtected starts j on spans if protect succeeds for the new attempt.
func (c *Core) startProtected(j *job, spans []span, protect func(*attempt) bool, reason string) bool {
	a := &attempt{job: j, spans: spans}
	if !protect(a) {
		return false
	}
	c.start(a, reason)
	return true
}

// startNonIdempotent starts a non-idempotent job without a guarantee, on capacity that no guarantee needs,
// since the job can never be reclaimed.
func (c *Core) startNonIdempotent(j *job) bool {
	spans := c.findFree(j, forever)
	return spans != nil && c.startProtected(j, spans, c.protectWithoutGuarantee, "on capacity that no guarantee needs")
}

// startBorrowed starts j on borrowed capacity, if necessary as backfill before a reservation.
func (c *Core) startBorrowed(j *job) bool {
	end := c.now + c.remainingRunTime(j)
	spans := c.findFree(j, end)
	if spans == nil {
		return false
	}
	a := &attempt{job: j, spans: spans}
	reason := "on borrowed capacity"
	for _, s := range spans {
		for _, r := range s.worker.reservations {
			if r.job != j && r.start >= end {
				a.backfillUntil = r.start
				reason = "on borrowed capacity, before the reservation of " + r.job.Key().String()
			}
		}
	}
	c.start(a, reason)
	return true
}

// knownToFail reports whether a search for a job of the same resourceShape, with the same end or an earlier one, has
// failed since capacity was last freed. Such a result does not apply to a job that has failed on a worker, since it may
// avoid this worker, or that has a reservation, since it may use the resources reserved for it.
func (c *Core) knownToFail(j *job, end int64) bool {
	s := j.shapeState
	return len(j.failures) == 0 && j.reservation == nil && s.failedGeneration == c.capacityGeneration && end >= s.failedEnd
}

// findFree returns a placement of j until end on free resources, or nil. It caches the failures for all jobs of equal
// resourceShape, except those of jobs that have failed on a worker or have a reservation; see knownToFail.
func (c *Core) findFree(j *job, end int64) []span {
	if c.knownToFail(j, end) {
		return nil
	}
	spans := c.findPlacement(c.freeRequest(j, end), c.fleet.domains)
	if spans != nil || len(j.failures) > 0 || j.reservation != nil {
		return spans
	}
	s := j.shapeState
	if s.failedGeneration != c.capacityGeneration {
		s.failedGeneration, s.failedEnd = c.capacityGeneration, end
	}
	s.failedEnd = min(s.failedEnd, end)
	if len(c.reservations) == 0 {
		// Only reservations make a search depend on the end of the work, so the failure applies to any end.
		s.failedEnd = 0
	}
	return nil
}
