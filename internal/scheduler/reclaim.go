package scheduler

import (
	"cmp"
	"slices"

	"persimmontrail/pkg/descriptor"
)

// candidateLimit bounds the units of one level that are tried for a job. It applies separately to the cheapest units
// and to those that overlap cells of the workspace. It also bounds the cells that reclaimInPlannedCells tries.
const candidateLimit = 4

// promotionFailureLimit bounds the failed promotions of victims per search, since each may move many cells.
const promotionFailureLimit = 2

// cpuTaskWeight is the weight of a task without accelerators in reclaimCost; an accelerator has the weight 1.
const cpuTaskWeight = 1.0 / 16

// restartCost is the run time lost by stopping and restarting a victim. Without it, a large gang that has
// just started would be the cheapest victim.
const restartCost = 30 * second

// reclaimCost estimates the work lost by reclaiming a, in accelerator seconds: the run time of the attempt plus
// restartCost, times its accelerators or, if larger, its tasks weighted by cpuTaskWeight. It grows with each reclaim of
// the job, so that the same job is not always the victim.
func (c *Core) reclaimCost(a *attempt) float64 {
	ran := int64(0)
	if a.running {
		ran = c.now - a.startedAt
	}
	weight := max(float64(a.job.accelerators()), cpuTaskWeight*float64(a.job.Tasks))
	return float64(ran+restartCost) / float64(second) * weight * float64(1+a.job.reclaimCount)
}

// victim is an attempt that may be reclaimed.
type victim struct {
	attempt *attempt
	cost    float64
}

func compareVictims(a, b victim) int {
	return cmp.Or(
		cmp.Compare(a.cost, b.cost),
		cmp.Compare(b.attempt.startedAt, a.attempt.startedAt),
		cmp.Compare(a.attempt.job.Workspace, b.attempt.job.Workspace),
		cmp.Compare(a.attempt.job.ID, b.attempt.job.ID),
	)
}

// reclaimSearch finds the victims in a unit that must be reclaimed to place job there.
type reclaimSearch struct {
	core *Core
	job  *job
	// cell, if set, restricts the search to the slack and to the residual planned for this cell, so that the
	// placement needs no change of the plan.
	cell *cell
	// promote allows moving victims to unused guarantees of their own workspaces instead of reclaiming them.
	promote bool
	workers []*worker
	victims []victim
	// gainChanged are the workers whose simulatedGain must be reset.
	gainChanged []*worker
}

// freeAfterStops returns the free resources of w after all requested stops, plus those that reclaiming the
// victims collected so far would free.
func freeAfterStops(w *worker) vector {
	return w.unallocated().plus(w.releasing).plus(w.simulatedGain)
}

func (s *reclaimSearch) reset() {
	for _, w := range s.gainChanged {
		w.simulatedGain = vector{}
	}
	s.gainChanged = s.gainChanged[:0]
	s.workers = s.workers[:0]
	s.victims = s.victims[:0]
}

// limitToPlan reduces fit to the number of tasks that the plan allows in n, if the search is restricted to a
// cell and n is a rack or worker.
func (s *reclaimSearch) limitToPlan(n *node, fit int) int {
	if s.cell == nil || n.level == descriptor.LevelFailureDomain {
		return fit
	}
	allowed := n.slack
	for m := s.cell.node; m != nil; m = m.parent {
		if m == n {
			allowed += s.cell.residual()
		}
	}
	return max(0, min(fit, allowed/int(s.job.need.accelerators)))
}

// evaluateUnit collects victims below n, cheapest first, until the gang fits. It returns their total cost, and reports
// whether the gang fits. For each reservation on a worker, it adds the wait of the reserved job in seconds, times the
// accelerators of one task of the searching job.
func (s *reclaimSearch) evaluateUnit(n *node) (float64, bool) {
	s.reset()
	s.core.searchID++
	if s.collectWorkers(n) < s.job.Tasks {
		return 0, false
	}
	fit, cost := 0, 0.0
	for _, w := range s.workers {
		w.searchedBy = s.core.searchID
		w.node.fit, w.node.parent.fit = 0, 0
	}
	for _, w := range s.workers {
		fit += s.updateFit(w)
		for _, r := range w.reservations {
			cost += float64(s.core.now-r.job.accepted) / float64(second) * float64(s.job.need.accelerators)
		}
	}
	if fit >= s.job.Tasks {
		return cost, true
	}
	s.collectVictims()
	slices.SortFunc(s.victims, compareVictims)
	for i, v := range s.victims {
		cost += v.cost
		fit += s.addGain(v.attempt, 1)
		if fit >= s.job.Tasks {
			s.victims = s.victims[:i+1]
			return cost, true
		}
	}
	return 0, false
}

// updateFit recomputes how many tasks fit on w and returns the change in how many fit on its rack.
func (s *reclaimSearch) updateFit(w *worker) int {
	rack := w.node.parent
	before := s.limitToPlan(rack, rack.fit)
	fit := s.limitToPlan(w.node, freeAfterStops(w).count(s.job.need))
	rack.fit += fit - w.node.fit
	w.node.fit = fit
	return s.limitToPlan(rack, rack.fit) - before
}

// collectWorkers collects the workers below n that could hold a task. It returns how many tasks would fit if
// all reclaimable work stopped.
func (s *reclaimSearch) collectWorkers(n *node) int {
	if !s.job.allowsRegion(n.region) {
		return 0
	}
	if n.worker == nil {
		sum := 0
		for _, k := range n.children {
			sum += s.collectWorkers(k)
		}
		return sum
	}
	w := n.worker
	if w.unprotected < int(s.job.need.accelerators) || w.health.probing || !s.core.accepts(w, s.job) {
		return 0
	}
	fit := s.limitToPlan(n, w.capacity.minus(w.protected).count(s.job.need))
	if fit > 0 {
		s.workers = append(s.workers, w)
	}
	return fit
}

func (s *reclaimSearch) collectVictims() {
	for _, w := range s.workers {
		for _, a := range w.attempts {
			if a.searchedBy == s.core.searchID || !a.reclaimable() {
				continue
			}
			a.searchedBy = s.core.searchID
			s.victims = append(s.victims, victim{a, s.core.reclaimCost(a)})
		}
	}
}

// addGain adds (sign 1) or removes (sign -1) the resources that reclaiming a frees. It returns the change in
// how many tasks fit.
func (s *reclaimSearch) addGain(a *attempt, sign int) int {
	fitChange := 0
	for _, p := range a.spans {
		w := p.worker
		w.simulatedGain = w.simulatedGain.plus(a.job.need.times(sign * p.count))
		s.gainChanged = append(s.gainChanged, w)
		if w.searchedBy == s.core.searchID {
			fitChange += s.updateFit(w)
		}
	}
	return fitChange
}

// candidate is a unit in which the job may be placed by reclaim.
type candidate struct {
	node *node
	// cost is the total cost of the victims and of the reservations in the unit; see evaluateUnit.
	cost float64
	// ownCell reports whether the unit overlaps a planned cell of the job's workspace with unused capacity.
	ownCell bool
}

// startByReclaim claims a placement for j on the guarantee of its workspace and reclaims the victims on it.
// promote allows moving victims to unused guarantees of their own workspaces. It reports whether j has a claim or was
// started.
func (c *Core) startByReclaim(j *job, promote bool) bool {
	s := &reclaimSearch{core: c, job: j, promote: promote}
	defer s.reset()
	for level := descriptor.LevelWorker; level >= j.Adjacency; level-- {
		candidates := c.candidates(s, level)
		for _, k := range candidates {
			if c.reclaimInUnit(s, k.node) {
				return true
			}
		}
	}
	return c.reclaimInPlannedCells(s)
}

// reclaimInPlannedCells tries the units within planned cells of the workspace whose residual is large enough for
// the gang, for candidateLimit cells at most. It reports whether j was placed in one of them.
func (c *Core) reclaimInPlannedCells(s *reclaimSearch) bool {
	j := s.job
	tried := 0
	for _, l := range c.workspaces[j.Workspace].cells {
		if !l.planned || l.residual() < j.accelerators() || tried >= candidateLimit {
			continue
		}
		tried++
		s.cell = l
		for _, n := range unitsWithin(l.node, j.Adjacency) {
			if c.reclaimInUnit(s, n) {
				return true
			}
		}
	}
	return false
}

// unitsWithin returns the units of level l below n, or only n if n is not looser than l.
func unitsWithin(n *node, l descriptor.Level) []*node {
	if n.level >= l {
		return []*node{n}
	}
	return unitsBelow(n, l)
}

// mayHaveRoom returns false if n cannot hold a task of the job: a worker with too few unprotected accelerators, or a
// rack or failure domain in a region that the job does not allow. It makes no other checks.
func (s *reclaimSearch) mayHaveRoom(n *node) bool {
	if n.worker != nil {
		return n.worker.unprotected >= int(s.job.need.accelerators)
	}
	return s.job.allowsRegion(n.region)
}

// candidates returns the units of a level to try, cheapest first; see candidateLimit.
func (c *Core) candidates(s *reclaimSearch, level descriptor.Level) []candidate {
	var found []candidate
	var visit func(n *node)
	visit = func(n *node) {
		if !s.mayHaveRoom(n) {
			return
		}
		if n.level != level {
			for _, k := range n.children {
				visit(k)
			}
			return
		}
		if cost, ok := s.evaluateUnit(n); ok {
			found = append(found, candidate{n, cost, c.ownCellOverlaps(s.job, n)})
		}
	}
	for _, d := range c.fleet.domains {
		visit(d)
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return cheapestCandidates(found)
}

// cheapestCandidates returns the first candidateLimit candidates of sorted, which is sorted by cost. It adds the next
// cheapest ones with ownCell set until the result contains candidateLimit of these. It reuses the memory of sorted.
func cheapestCandidates(sorted []candidate) []candidate {
	out := sorted[:0]
	kept, keptOwn := 0, 0
	for _, k := range sorted {
		if kept >= candidateLimit && (!k.ownCell || keptOwn >= candidateLimit) {
			continue
		}
		kept++
		if k.ownCell {
			keptOwn++
		}
		out = append(out, k)
	}
	return out
}

// ownCellOverlaps reports whether a planned cell of the workspace of j with unused capacity contains n or is
// within it.
func (c *Core) ownCellOverlaps(j *job, n *node) bool {
	for _, l := range c.workspaces[j.Workspace].cells {
		if !l.planned || l.residual() == 0 {
			continue
		}
		if n.ancestor(l.level) == l.node || l.node.ancestor(n.level) == n {
			return true
		}
	}
	return false
}

// reclaimInUnit claims a placement for the job of s in n and requests the victims on it to stop. It reports whether
// that succeeded.
func (c *Core) reclaimInUnit(s *reclaimSearch, n *node) bool {
	if _, ok := s.evaluateUnit(n); !ok {
		return false
	}
	j := s.job
	r := placementRequest{job: j, end: forever, limit: s.limitToPlan, available: func(w *worker) vector {
		if w.unprotected == 0 || w.health.probing {
			return vector{}
		}
		return freeAfterStops(w)
	}}
	spans := c.findPlacement(r, []*node{n})
	if spans == nil {
		return false
	}
	victims := s.neededVictims(spans)
	s.reset()
	if s.promote && c.promoteVictims(j, victims) {
		// Search again: the remaining victims may be on other workers.
		return c.reclaimInUnit(s, n)
	}
	a := &attempt{job: j, spans: spans}
	if !c.charge(a) {
		return false
	}
	c.claimPlacement(a)
	for _, v := range victims {
		v.job.reclaimCount++
		c.requestStop(v, reclaimGrace, "guarantee of "+string(j.Workspace)+" needed for "+j.Key().String())
	}
	c.startClaims()
	return true
}

// promoteVictims moves victims to unused guarantees of their own workspaces, which protects them from
// reclaim. Otherwise they would be queued and reclaim other work in turn although their guarantee is unused.
// Victims of the workspace of j are not promoted, since j needs that guarantee. It reports whether any victim was
// promoted.
func (c *Core) promoteVictims(j *job, victims []*attempt) bool {
	promoted, failed := false, 0
	previousReplanCount := c.replanCount
	defer func() { c.replanCount = previousReplanCount }()
	// With replanCount at its limit, repairPlan moves only single cells and fails instead of planning all unused cells
	// again, which is too expensive for a promotion.
	c.replanCount = replanLimit
	for _, a := range victims {
		if failed == promotionFailureLimit {
			break
		}
		if a.job.Workspace == j.Workspace || !c.entitled(a.job) {
			continue
		}
		if !c.charge(a) {
			failed++
			continue
		}
		a.job.addRecord(c.now, a.number, "Guaranteed", "on the guarantee of "+string(a.job.Workspace))
		promoted = true
	}
	return promoted
}

// neededVictims returns the victims without which the placement does not fit. It drops the most expensive
// ones first.
func (s *reclaimSearch) neededVictims(spans []span) []*attempt {
	wanted := make(map[*worker]vector, len(spans))
	for _, p := range spans {
		wanted[p.worker] = s.job.need.times(p.count)
	}
	var out []*attempt
	for i := len(s.victims) - 1; i >= 0; i-- {
		a := s.victims[i].attempt
		if !dispensable(a, wanted) {
			out = append(out, a)
			continue
		}
		s.addGain(a, -1)
	}
	return out
}

// dispensable reports whether the placement, which needs the resources wanted on each worker, fits without reclaiming
// a.
func dispensable(a *attempt, wanted map[*worker]vector) bool {
	for _, p := range a.spans {
		need, ok := wanted[p.worker]
		if ok && freeAfterStops(p.worker).minus(a.job.need.times(p.count)).minus(need).negative() {
			return false
		}
	}
	return true
}

// claimPlacement sets aside the resources of a until its victims have stopped.
func (c *Core) claimPlacement(a *attempt) {
	c.dequeue(a.job)
	a.claim = true
	a.job.current = a
	for _, s := range a.spans {
		s.worker.claimed = s.worker.claimed.plus(a.job.need.times(s.count))
		c.updateSums(s.worker)
	}
	c.claims = append(c.claims, a)
	a.job.addRecord(c.now, 0, "Claimed", "waiting for reclaimed work to stop")
}
