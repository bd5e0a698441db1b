package scheduler

import (
	"cmp"
	"slices"

	"persimmontrail/pkg/descriptor"
)

const (
	// reservationLimit is the number of reservations from which further jobs get one only as given by
	// reservationAheadLimit; more would leave less room for backfill.
	reservationLimit = 4
	// reservationAheadLimit applies once there are reservationLimit reservations: another job gets one only if fewer
	// than reservationAheadLimit of the jobs with a reservation are more urgent than it.
	reservationAheadLimit = 2
	// reservationMax bounds all reservations, including those above reservationLimit. When it is reached, a new
	// reservation replaces that of the least urgent job.
	reservationMax = 8
	// reservationSearchLimit bounds the searches for new reservations in one Decide, since each one looks at all
	// running work.
	reservationSearchLimit = 2
	// reservationRetryDelay is the minimum time between two searches for a new reservation for the same job.
	reservationRetryDelay = second
	// reservationRecheckInterval is the interval at which the start of a reservation that is due is estimated
	// again.
	reservationRecheckInterval = 10 * second
	// missedStartLimit is the number of missed starts after which another unit is tried. A cell in use is bound
	// to its unit, so guaranteed jobs that follow each other in it can occupy the unit indefinitely.
	missedStartLimit = 3
)

// reservation sets resources aside from a future time for a job that cannot start yet. It stays in its unit
// while the job waits, unless one of its workers becomes unusable, missedStartLimit is reached, no start can be
// estimated there or a more urgent job replaces it; otherwise a stream of small jobs could keep moving it.
type reservation struct {
	job   *job
	node  *node
	spans []span
	// start is the time at which the resources are expected to be free.
	start       int64
	nextCheckAt int64
	// missedStarts counts the expected starts in this unit that were not met.
	missedStarts int
}

func (r *reservation) resourcesOn(w *worker) vector {
	for _, s := range r.spans {
		if s.worker == w {
			return r.job.need.times(s.count)
		}
	}
	return vector{}
}

// freeBesideReservations limits free to what j may use on w until end. Work that ends before a reservation
// starts may use everything; other work may use only what the reservation leaves.
func (c *Core) freeBesideReservations(w *worker, j *job, end int64, free vector) vector {
	reserved := vector{}
	firstStart := int64(forever)
	for _, r := range w.reservations {
		if r.job == j || r.start >= end {
			continue
		}
		reserved = reserved.plus(r.resourcesOn(w))
		firstStart = min(firstStart, r.start)
	}
	if firstStart == forever {
		return free
	}
	unreserved := w.capacity.minus(reserved).minus(w.claimed)
	for _, a := range w.attempts {
		if !a.stopRequested && c.expectedEnd(a) > firstStart {
			unreserved = unreserved.minus(a.resourcesOn(w))
		}
	}
	return clampToZero(free.minOfEach(unreserved))
}

// mayReserve reports whether j may get a reservation under reservationLimit and reservationAheadLimit.
func (c *Core) mayReserve(j *job) bool {
	if len(c.reservations) < reservationLimit {
		return true
	}
	ahead := 0
	for _, r := range c.reservations {
		if r.job.before(j) {
			ahead++
		}
	}
	return ahead < reservationAheadLimit
}

// leastUrgentReservationBehind returns the reservation of the least urgent job that is less urgent than j, or
// nil.
func (c *Core) leastUrgentReservationBehind(j *job) *reservation {
	var leastUrgent *reservation
	for _, r := range c.reservations {
		if j.before(r.job) && (leastUrgent == nil || leastUrgent.job.before(r.job)) {
			leastUrgent = r
		}
	}
	return leastUrgent
}

// reserve makes a reservation for j in the unit where it can start first. It does nothing if reservationSearchLimit
// searches were made in this Decide or the last search for j was less than reservationRetryDelay ago.
func (c *Core) reserve(j *job) {
	if c.reservationSearches >= reservationSearchLimit || c.now < j.nextReserveAt {
		return
	}
	c.reservationSearches++
	j.nextReserveAt = c.now + reservationRetryDelay
	best := c.earliestReservation(j, nil)
	if leastUrgent := c.leastUrgentReservationBehind(j); leastUrgent != nil && (best == nil || len(c.reservations) >= reservationMax) {
		// Reservations of less urgent jobs must not prevent one for j.
		c.dropReservation(leastUrgent)
	}
	if best == nil {
		return
	}
	c.addReservation(best)
	j.addRecord(c.now, 0, "Reserved", "in "+best.node.name+" from "+toTime(best.start).Format("15:04:05"))
}

// earliestReservation returns the possible reservation for j with the earliest start, or nil if there is none. It
// leaves out the unit avoid, which may be nil.
func (c *Core) earliestReservation(j *job, avoid *node) *reservation {
	var best *reservation
	loosestLevel := j.Adjacency
	if j.need.accelerators == 0 {
		loosestLevel = descriptor.LevelFailureDomain
	}
	for _, d := range c.fleet.domains {
		for _, n := range unitsBelow(d, loosestLevel) {
			if n == avoid {
				continue
			}
			if r := c.reservationIn(j, n, best); r != nil {
				best = r
			}
		}
	}
	return best
}

func (c *Core) addReservation(r *reservation) {
	r.nextCheckAt = c.now + reservationRecheckInterval
	r.job.reservation = r
	c.reservations = append(c.reservations, r)
	for _, s := range r.spans {
		s.worker.reservations = append(s.worker.reservations, r)
	}
}

func (c *Core) dropReservation(r *reservation) {
	r.job.reservation = nil
	c.reservations = without(c.reservations, r)
	for _, s := range r.spans {
		s.worker.reservations = without(s.worker.reservations, r)
	}
	c.capacityFreed()
}

// expectedRelease is an attempt, which may be a claim, with the expected end of its use of resources.
type expectedRelease struct {
	attempt *attempt
	end     int64
}

// reservationIn returns a reservation for j in n that starts before best, or nil. best may be nil.
func (c *Core) reservationIn(j *job, n *node, best *reservation) *reservation {
	workers, maxFit := c.reservableWorkers(j, n, nil)
	if maxFit < j.Tasks {
		return nil
	}
	defer resetSimulatedGains(workers)
	start := c.now
	fit := 0
	for _, w := range workers {
		fit += c.reservableFree(w, j).count(j.need)
	}
	if fit < j.Tasks {
		start = c.simulateReleases(j, workers, fit, best)
	}
	if start == c.now && j.NonIdempotent {
		// The job is blocked by guarantees and not by running work, so a reservation would not help.
		return nil
	}
	if start == forever || (best != nil && start >= best.start) {
		return nil
	}
	request := placementRequest{job: j, end: forever, available: func(w *worker) vector { return c.reservableFree(w, j) }}
	spans := c.findPlacement(request, []*node{n})
	if spans == nil {
		return nil
	}
	return &reservation{job: j, node: n, spans: spans, start: start}
}

// reservableWorkers returns workers with the usable workers below n appended, except those that are probed. It also
// returns how many tasks of j fit on the appended ones beside the reservations of other jobs when all work has ended.
// If j does not allow the region of n, it appends none.
func (c *Core) reservableWorkers(j *job, n *node, workers []*worker) ([]*worker, int) {
	if !j.allowsRegion(n.region) {
		return workers, 0
	}
	if n.worker == nil {
		sum := 0
		for _, k := range n.children {
			var fit int
			workers, fit = c.reservableWorkers(j, k, workers)
			sum += fit
		}
		return workers, sum
	}
	w := n.worker
	if !w.usable || w.health.probing {
		return workers, 0
	}
	return append(workers, w), w.capacity.minus(reservedForOthers(w, j)).count(j.need)
}

// reservedForOthers returns the resources of w that are reserved for jobs other than j.
func reservedForOthers(w *worker, j *job) vector {
	reserved := vector{}
	for _, r := range w.reservations {
		if r.job != j {
			reserved = reserved.plus(r.resourcesOn(w))
		}
	}
	return reserved
}

// reservableFree returns the resources of w that a reservation for j may use after the releases that
// simulateReleases has simulated.
func (c *Core) reservableFree(w *worker, j *job) vector {
	return w.unallocated().plus(w.simulatedGain).minus(reservedForOthers(w, j))
}

// simulateReleases adds the resources of the work on workers to their simulatedGain, in the order of expected ends,
// until j fits, and returns that time. fit is the number of tasks that fit already. It returns forever if j does not
// fit before the start of best.
func (c *Core) simulateReleases(j *job, workers []*worker, fit int, best *reservation) int64 {
	c.searchID++
	var releases []expectedRelease
	addRelease := func(a *attempt) {
		if a.searchedBy != c.searchID {
			a.searchedBy = c.searchID
			releases = append(releases, expectedRelease{a, c.expectedEnd(a)})
		}
	}
	inUnit := make(map[*worker]bool, len(workers))
	for _, w := range workers {
		inUnit[w] = true
		for _, a := range w.attempts {
			addRelease(a)
		}
	}
	for _, a := range c.claims {
		if slices.ContainsFunc(a.spans, func(s span) bool { return inUnit[s.worker] }) {
			addRelease(a)
		}
	}
	slices.SortStableFunc(releases, func(a, b expectedRelease) int { return cmp.Compare(a.end, b.end) })
	for _, e := range releases {
		if best != nil && e.end >= best.start {
			return forever
		}
		for _, s := range e.attempt.spans {
			w := s.worker
			if !inUnit[w] {
				continue
			}
			before := c.reservableFree(w, j).count(j.need)
			w.simulatedGain = w.simulatedGain.plus(e.attempt.job.need.times(s.count))
			fit += c.reservableFree(w, j).count(j.need) - before
		}
		if fit >= j.Tasks {
			return e.end
		}
	}
	return forever
}

// checkReservations drops reservations on workers that are no longer usable, reclaims backfill that overruns a
// reservation, and estimates the starts of due reservations again.
func (c *Core) checkReservations() {
	c.reservationSearches = 0
	for _, r := range slices.Clone(c.reservations) {
		if r.job.reservation != r {
			continue
		}
		if c.hasUnusableWorker(r) {
			c.dropReservation(r)
			continue
		}
		if r.start > c.now {
			continue
		}
		c.reclaimBackfill(r)
		if c.now >= r.nextCheckAt {
			c.reestimate(r)
		}
	}
}

func (c *Core) hasUnusableWorker(r *reservation) bool {
	return slices.ContainsFunc(r.spans, func(s span) bool { return !s.worker.usable })
}

// reclaimBackfill reclaims backfill that overruns r, cheapest first, until the reserved resources are free.
func (c *Core) reclaimBackfill(r *reservation) {
	for _, s := range r.spans {
		var victims []victim
		for _, a := range s.worker.attempts {
			if a.reclaimable() && a.backfillUntil > 0 && a.backfillUntil <= c.now {
				victims = append(victims, victim{a, c.reclaimCost(a)})
			}
		}
		slices.SortFunc(victims, compareVictims)
		for _, v := range victims {
			if !freeAfterStops(s.worker).minus(r.resourcesOn(s.worker)).negative() {
				break
			}
			c.requestStop(v.attempt, reclaimGrace, "ran longer than expected, into the reservation of "+r.job.Key().String())
		}
	}
}

// reestimate replaces r by a reservation with a new estimated start in the same unit. If none is possible there, or
// after missedStartLimit missed starts, it prefers another unit.
func (c *Core) reestimate(r *reservation) {
	j := r.job
	next := c.reservationIn(j, r.node, nil)
	if next != nil {
		next.missedStarts = r.missedStarts + 1
	}
	if next == nil || next.missedStarts >= missedStartLimit {
		// Reservations of less urgent jobs must not keep j from moving to another unit.
		for leastUrgent := c.leastUrgentReservationBehind(j); leastUrgent != nil; leastUrgent = c.leastUrgentReservationBehind(j) {
			c.dropReservation(leastUrgent)
		}
		if elsewhere := c.earliestReservation(j, r.node); elsewhere != nil {
			next = elsewhere
		}
	}
	c.dropReservation(r)
	if next != nil {
		c.addReservation(next)
	}
}

func resetSimulatedGains(workers []*worker) {
	for _, w := range workers {
		w.simulatedGain = vector{}
	}
}
