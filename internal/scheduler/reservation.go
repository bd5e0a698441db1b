package scheduler

import (
	"cmp"
	"slices"

	"persimmontrail/pkg/descriptor"
)

const (
	// reservationLimit bounds the jobs with a reservation. More would leave less room for backfill. The first
	// reservationFirst jobs of the queue get one beyond it, up to reservationMost.
	reservationLimit    = 4
	reservationHeadJobs = 2
	reservationMax      = 8
	// reservationSearchLimit bounds the searches in one Decide, since each looks at all running work,
	// and reservationRetry is when a search that found nothing is repeated.
	reservationSearchLimit = 2
	reservationRetryDelay  = second
	// reservationRecheckInterval is how often the start of a reservation that is due is estimated again.
	reservationRecheckInterval = 10 * second
	// missedStartLimit is after how many missed starts another unit is tried. Guaranteed work that never
	// ends completely keeps its cell, and with it the unit, for ever.
	missedStartLimit = 3
)

// reservation sets resources aside from a future time for a job that cannot start yet. It stays in its
// unit until the job starts or the unit is lost; otherwise a stream of small jobs could push it around.
type reservation struct {
	job   *job
	node  *node
	spans []span
	// start is when the resources are expected to be free.
	start       int64
	nextCheckAt int64
	// missedStarts counts the starts that were not met in this unit.
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

// freeBesideReservations limits free to what j may use on w until end: work that ends before a reservation
// starts may use everything, other work only what the reservation leaves.
func (c *Core) freeBesideReservations(w *worker, j *job, end int64, free vector) vector {
	kept := vector{}
	from := int64(forever)
	for _, r := range w.reservations {
		if r.job == j || r.start >= end {
			continue
		}
		kept = kept.plus(r.resourcesOn(w))
		from = min(from, r.start)
	}
	if from == forever {
		return free
	}
	beside := w.capacity.minus(kept).minus(w.claimed)
	for _, a := range w.attempts {
		if !a.stopRequested && c.expectedEnd(a) > from {
			beside = beside.minus(a.resourcesOn(w))
		}
	}
	return clampToZero(free.minOfEach(beside))
}

// mayReserve reports whether j may have a reservation beside those of other jobs.
func (c *Core) mayReserve(j *job) bool {
	if len(c.reservations) < reservationLimit {
		return true
	}
	first := 0
	for _, r := range c.reservations {
		if r.job.before(j) {
			first++
		}
	}
	return first < reservationHeadJobs
}

// leastUrgentReservationBehind returns the reservation of the least urgent job behind j, or nil.
func (c *Core) leastUrgentReservationBehind(j *job) *reservation {
	var last *reservation
	for _, r := range c.reservations {
		if j.before(r.job) && (last == nil || last.job.before(r.job)) {
			last = r
		}
	}
	return last
}

// reserve makes a reservation where j can start first.
func (c *Core) reserve(j *job) {
	if c.reservationsTried >= reservationSearchLimit || c.now < j.nextReserveAt {
		return
	}
	c.reservationsTried++
	j.nextReserveAt = c.now + reservationRetryDelay
	best := c.earliestReservation(j, nil)
	if last := c.leastUrgentReservationBehind(j); last != nil && (best == nil || len(c.reservations) >= reservationMax) {
		// Less urgent jobs must not keep the first ones from their reservation.
		c.dropReservation(last)
	}
	if best == nil {
		return
	}
	c.addReservation(best)
	j.addRecord(c.now, 0, "Reserved", "in "+best.node.name+" from "+toTime(best.start).Format("15:04:05"))
}

// earliestReservation returns the reservation for j with the first start, outside of the unit avoid.
func (c *Core) earliestReservation(j *job, avoid *node) *reservation {
	var best *reservation
	loosest := j.Adjacency
	if j.need.accelerators == 0 {
		loosest = descriptor.LevelFailureDomain
	}
	for _, d := range c.view.domains {
		for _, n := range unitsBelow(d, loosest) {
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

// expectedRelease is the expected end of an attempt or claim on the unit of a reservation.
type expectedRelease struct {
	attempt *attempt
	end     int64
}

// reservationIn returns a reservation for j below n that starts before best, or nil.
func (c *Core) reservationIn(j *job, n *node, best *reservation) *reservation {
	workers, most := c.reservableWorkers(j, n, nil)
	if most < j.Tasks {
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
		// Guarantees and not running work block the job; a reservation would not help it.
		return nil
	}
	if start == forever || (best != nil && start >= best.start) {
		return nil
	}
	r := placementRequest{job: j, end: forever, available: func(w *worker) vector { return c.reservableFree(w, j) }}
	spans := c.findPlacement(r, []*node{n})
	if spans == nil {
		return nil
	}
	return &reservation{job: j, node: n, spans: spans, start: start}
}

// reservableWorkers gathers the usable workers below n and how many tasks fit there when all work has ended.
func (c *Core) reservableWorkers(j *job, n *node, list []*worker) ([]*worker, int) {
	if !j.allowsRegion(n.region) {
		return list, 0
	}
	if n.worker == nil {
		sum := 0
		for _, k := range n.children {
			var fit int
			list, fit = c.reservableWorkers(j, k, list)
			sum += fit
		}
		return list, sum
	}
	w := n.worker
	if !w.usable || w.health.probing {
		return list, 0
	}
	return append(list, w), w.capacity.minus(reservedForOthers(w, j)).count(j.need)
}

func reservedForOthers(w *worker, j *job) vector {
	kept := vector{}
	for _, r := range w.reservations {
		if r.job != j {
			kept = kept.plus(r.resourcesOn(w))
		}
	}
	return kept
}

func (c *Core) reservableFree(w *worker, j *job) vector {
	return w.unallocated().plus(w.simulatedGain).minus(reservedForOthers(w, j))
}

// simulateReleases ends the work on workers in the order of expected ends until j fits, and returns that time.
func (c *Core) simulateReleases(j *job, workers []*worker, fit int, best *reservation) int64 {
	c.searchID++
	var list []expectedRelease
	addRelease := func(a *attempt) {
		if a.searchedBy != c.searchID {
			a.searchedBy = c.searchID
			list = append(list, expectedRelease{a, c.expectedEnd(a)})
		}
	}
	inside := make(map[*worker]bool, len(workers))
	for _, w := range workers {
		inside[w] = true
		for _, a := range w.attempts {
			addRelease(a)
		}
	}
	for _, a := range c.claims {
		if slices.ContainsFunc(a.spans, func(s span) bool { return inside[s.worker] }) {
			addRelease(a)
		}
	}
	slices.SortStableFunc(list, func(a, b expectedRelease) int { return cmp.Compare(a.end, b.end) })
	for _, e := range list {
		if best != nil && e.end >= best.start {
			return forever
		}
		for _, s := range e.attempt.spans {
			w := s.worker
			if !inside[w] {
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

// checkReservations reclaims backfill that runs into a reservation, and estimates again when a reserved job starts.
func (c *Core) checkReservations() {
	c.reservationsTried = 0
	for _, r := range slices.Clone(c.reservations) {
		if r.job.reservation != r {
			continue
		}
		if c.lostWorker(r) {
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

func (c *Core) lostWorker(r *reservation) bool {
	return slices.ContainsFunc(r.spans, func(s span) bool { return !s.worker.usable })
}

// reclaimBackfill reclaims overrunning backfill on the workers of r, the least work lost first.
func (c *Core) reclaimBackfill(r *reservation) {
	for _, s := range r.spans {
		var list []victim
		for _, a := range s.worker.attempts {
			if a.reclaimable() && a.backfillUntil > 0 && a.backfillUntil <= c.now {
				list = append(list, victim{a, c.reclaimCost(a)})
			}
		}
		slices.SortFunc(list, compareVictims)
		for _, v := range list {
			if !freeAfterStops(s.worker).minus(r.resourcesOn(s.worker)).negative() {
				break
			}
			c.requestStop(v.attempt, reclaimGrace, "ran longer than expected, into the reservation of "+r.job.Key().String())
		}
	}
}

// reestimate estimates the start of r again within its unit, and after several missed starts in the other units.
func (c *Core) reestimate(r *reservation) {
	j := r.job
	next := c.reservationIn(j, r.node, nil)
	if next != nil {
		next.missedStarts = r.missedStarts + 1
	}
	if next == nil || next.missedStarts >= missedStartLimit {
		// Reservations of less urgent jobs must not keep j from moving.
		for last := c.leastUrgentReservationBehind(j); last != nil; last = c.leastUrgentReservationBehind(j) {
			c.dropReservation(last)
		}
		if other := c.earliestReservation(j, r.node); other != nil {
			next = other
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
