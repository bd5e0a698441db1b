package scheduler

import (
	"cmp"
	"slices"

	"persimmontrail/pkg/descriptor"
)

// candidatesTried bounds how many units are tried for one job, for the cheapest units and for
// those where the workspace has its own cells.
const candidatesTried = 4

// promotionFailures bounds the victims of one search that were tried on their own guarantees in vain, since each
// try may move many cells.
const promotionFailures = 2

// taskWeight is the weight of a task without accelerators among victims, in accelerators.
const taskWeight = 1.0 / 16

// restartCost is the work that every reclaim loses by the stop and the next start. Without it, a large gang
// that has just started would be the cheapest victim of all.
const restartCost = 30 * second

// lost estimates the work that a loses by a reclaim: run time since the last checkpoint times
// accelerators. Repeated victims become more expensive, so that no job is the victim for ever.
func (c *Core) lost(a *attempt) float64 {
	ran := int64(0)
	if a.running {
		ran = c.now - a.startedAt
	}
	weight := max(float64(a.job.accelerators()), taskWeight*float64(a.job.Tasks))
	return float64(ran+restartCost) / float64(second) * weight * float64(1+a.job.reclaims)
}

// victim is an attempt that may be reclaimed, with its cost.
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

// reclaimSearch collects what a reclaim in one unit would free.
type reclaimSearch struct {
	core *Core
	job  *job
	// cell, when set, restricts the search to what the plan keeps for this cell and to slack, so that
	// the placement needs no change of the plan.
	cell *cell
	// promote says whether victims are put on unused guarantees of their own workspaces.
	promote bool
	workers []*worker
	victims []victim
	// touched workers have a gain that must be reset.
	touched []*worker
}

// afterLeaving returns what is free on w when everything that leaves has left, with the gain of the search.
func afterLeaving(w *worker) vector {
	return w.currentFree().plus(w.leaving).plus(w.gain)
}

func (s *reclaimSearch) reset() {
	for _, w := range s.touched {
		w.gain = vector{}
	}
	s.touched = s.touched[:0]
	s.workers = s.workers[:0]
	s.victims = s.victims[:0]
}

// limit lowers fit to what the plan allows in n for the cell of the search.
func (s *reclaimSearch) limit(n *node, fit int) int {
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

// evaluate finds victims below n, the cheapest first, until the gang fits. It returns their cost.
func (s *reclaimSearch) evaluate(n *node) (float64, bool) {
	s.reset()
	s.core.mark++
	if s.collect(n) < s.job.Tasks {
		return 0, false
	}
	fit, cost := 0, 0.0
	for _, w := range s.workers {
		w.searched = s.core.mark
		w.node.fit, w.node.parent.fit = 0, 0
	}
	for _, w := range s.workers {
		fit += s.update(w)
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
		fit += s.gain(v.attempt, 1)
		if fit >= s.job.Tasks {
			s.victims = s.victims[:i+1]
			return cost, true
		}
	}
	return 0, false
}

// update counts again how many tasks fit on w and returns by how much the sum of its rack changes.
func (s *reclaimSearch) update(w *worker) int {
	rack := w.node.parent
	before := s.limit(rack, rack.fit)
	fit := s.limit(w.node, afterLeaving(w).count(s.job.need))
	rack.fit += fit - w.node.fit
	w.node.fit = fit
	return s.limit(rack, rack.fit) - before
}

// collect gathers the workers below n that could help, and returns how many tasks fit without reclaimable work.
func (s *reclaimSearch) collect(n *node) int {
	if !s.job.allows(n.region) {
		return 0
	}
	if n.worker == nil {
		sum := 0
		for _, k := range n.children {
			sum += s.collect(k)
		}
		return sum
	}
	w := n.worker
	if w.room < int(s.job.need.accelerators) || w.health.probing || !s.core.admits(w, s.job) {
		return 0
	}
	fit := s.limit(n, w.capacity.minus(w.firm).count(s.job.need))
	if fit > 0 {
		s.workers = append(s.workers, w)
	}
	return fit
}

func (s *reclaimSearch) collectVictims() {
	for _, w := range s.workers {
		for _, a := range w.attempts {
			if a.mark == s.core.mark || !a.reclaimable() {
				continue
			}
			a.mark = s.core.mark
			s.victims = append(s.victims, victim{a, s.core.lost(a)})
		}
	}
}

// gain adds or removes what the victim a frees, and returns by how much the fit of the unit changes.
func (s *reclaimSearch) gain(a *attempt, sign int) int {
	changed := 0
	for _, p := range a.spans {
		w := p.worker
		w.gain = w.gain.plus(a.job.need.times(sign * p.count))
		s.touched = append(s.touched, w)
		if w.searched == s.core.mark {
			changed += s.update(w)
		}
	}
	return changed
}

// candidate is a unit with the cost of making room in it.
type candidate struct {
	node *node
	cost float64
	own  bool
}

// startByReclaim makes room for j on the guarantee of its workspace. promote says whether victims are put on
// unused guarantees of their own workspaces.
func (c *Core) startByReclaim(j *job, promote bool) bool {
	s := &reclaimSearch{core: c, job: j, promote: promote}
	defer s.reset()
	for level := descriptor.LevelWorker; level >= j.Adjacency; level-- {
		list := c.candidates(s, level)
		for _, k := range list {
			if c.reclaimIn(s, k.node) {
				return true
			}
		}
	}
	return c.reclaimOwn(s)
}

// reclaimOwn makes room where the plan keeps a cell for j, which succeeds whenever the gang fits its cell.
func (c *Core) reclaimOwn(s *reclaimSearch) bool {
	j := s.job
	tried := 0
	for _, l := range c.workspaces[j.Workspace].cells {
		if !l.planned || l.residual() < j.accelerators() || tried >= candidatesTried {
			continue
		}
		tried++
		s.cell = l
		for _, n := range unitsWithin(l.node, j.Adjacency) {
			if c.reclaimIn(s, n) {
				return true
			}
		}
	}
	return false
}

// unitsWithin returns n, or the units of level l below it when l is tighter.
func unitsWithin(n *node, l descriptor.Level) []*node {
	if n.level >= l {
		return []*node{n}
	}
	return unitsBelow(n, l)
}

// promising reports whether n may have room for one task of the job.
func (s *reclaimSearch) promising(n *node) bool {
	if n.worker != nil {
		return n.worker.room >= int(s.job.need.accelerators)
	}
	return s.job.allows(n.region)
}

// candidates returns the units of a level to try, the cheapest first.
func (c *Core) candidates(s *reclaimSearch, level descriptor.Level) []candidate {
	var all []candidate
	var visit func(n *node)
	visit = func(n *node) {
		if !s.promising(n) {
			return
		}
		if n.level != level {
			for _, k := range n.children {
				visit(k)
			}
			return
		}
		if cost, ok := s.evaluate(n); ok {
			all = append(all, candidate{n, cost, c.ownCellAt(s.job, n)})
		}
	}
	for _, d := range c.view.domains {
		visit(d)
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return fewest(all)
}

// fewest keeps the cheapest candidates and the cheapest own ones.
func fewest(all []candidate) []candidate {
	out := all[:0]
	any, own := 0, 0
	for _, k := range all {
		if any >= candidatesTried && (!k.own || own >= candidatesTried) {
			continue
		}
		any++
		if k.own {
			own++
		}
		out = append(out, k)
	}
	return out
}

// ownCellAt reports whether a cell of the workspace that can hold j is planned at, above or below n.
func (c *Core) ownCellAt(j *job, n *node) bool {
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

// reclaimIn places j in unit n and asks its victims to leave.
func (c *Core) reclaimIn(s *reclaimSearch, n *node) bool {
	if _, ok := s.evaluate(n); !ok {
		return false
	}
	j := s.job
	r := request{job: j, end: forever, limit: s.limit, spare: func(w *worker) vector {
		if w.room == 0 || w.health.probing {
			return vector{}
		}
		return afterLeaving(w)
	}}
	spans := c.find(r, []*node{n})
	if spans == nil {
		return false
	}
	victims := s.needed(spans)
	s.reset()
	if s.promote && c.promoteAny(j, victims) {
		// The victims that are left may be in other places.
		return c.reclaimIn(s, n)
	}
	a := &attempt{job: j, spans: spans}
	if !c.charge(a) {
		return false
	}
	c.claim(a)
	for _, v := range victims {
		v.job.reclaims++
		c.leave(v, reclaimGrace, "guarantee of "+string(j.Workspace)+" needed for "+j.Key().String())
	}
	c.startClaims()
	return true
}

// promoteAny puts victims on unused guarantees of their own workspaces, where they may not be reclaimed. Otherwise
// they would wait and reclaim in turn, although their guarantee was unused. The guarantee of the workspace of j is for j.
func (c *Core) promoteAny(j *job, victims []*attempt) bool {
	promoted, failed := false, 0
	replans := c.replans
	defer func() { c.replans = replans }()
	// A promotion is not worth planning everything anew.
	c.replans = replansLimit
	for _, a := range victims {
		if failed == promotionFailures {
			break
		}
		if a.job.Workspace == j.Workspace || !c.entitled(a.job) {
			continue
		}
		if !c.charge(a) {
			failed++
			continue
		}
		a.job.note(c.now, a.number, "Guaranteed", "on the guarantee of "+string(a.job.Workspace))
		promoted = true
	}
	return promoted
}

// needed drops the victims, the most expensive first, without which the placement still fits.
func (s *reclaimSearch) needed(spans []span) []*attempt {
	wanted := make(map[*worker]vector, len(spans))
	for _, p := range spans {
		wanted[p.worker] = s.job.need.times(p.count)
	}
	var out []*attempt
	for i := len(s.victims) - 1; i >= 0; i-- {
		a := s.victims[i].attempt
		if !spareable(a, wanted) {
			out = append(out, a)
			continue
		}
		s.gain(a, -1)
	}
	return out
}

// spareable reports whether the placement fits without the reclaim of a.
func spareable(a *attempt, wanted map[*worker]vector) bool {
	for _, p := range a.spans {
		w, ok := wanted[p.worker]
		if ok && afterLeaving(p.worker).minus(a.job.need.times(p.count)).minus(w).negative() {
			return false
		}
	}
	return true
}

// claim promises the resources of a until its victims have stopped.
func (c *Core) claim(a *attempt) {
	c.dequeue(a.job)
	a.claim = true
	a.job.current = a
	for _, s := range a.spans {
		s.worker.claimed = s.worker.claimed.plus(a.job.need.times(s.count))
		c.refresh(s.worker)
	}
	c.claims = append(c.claims, a)
	a.job.note(c.now, 0, "Claimed", "waiting for reclaimed work to stop")
}
