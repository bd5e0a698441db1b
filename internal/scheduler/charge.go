package scheduler

import (
	"slices"
)

// charge is the use of a cell by an attempt.
type charge struct {
	cell *cell
	// count is the number of accelerators used, including those that the attempt blocks; see blockedAccelerators.
	count int
}

// entitled reports whether j may run on the guarantee of its workspace now: it fits the share of its class, and the
// cells not kept for a more urgent job have enough unused accelerators in total. It also counts cells that are not
// planned, which charge cannot use.
func (c *Core) entitled(j *job) bool {
	ws := c.workspaces[j.Workspace]
	if ws == nil || !c.classShareAllows(ws, j, ws.usedByClass[j.Class]) {
		return false
	}
	available := 0
	for _, l := range ws.cells {
		if !c.cellEarmarkExcludes(l, j) {
			available += l.residual()
		}
	}
	return available >= j.accelerators()
}

// classShareAllows reports whether j fits into the share that its class has of the workspace's guaranteed
// accelerators. used is the number of these accelerators that the class already uses. The comparison tolerates
// rounding errors of the share. The result is false for a job without accelerators.
func (c *Core) classShareAllows(ws *workspace, j *job, used int) bool {
	n := j.accelerators()
	if n == 0 || n > ws.total {
		return false
	}
	class := c.classes[j.Class]
	return class != nil && float64(used+n) <= float64(class.Share)*float64(ws.total)+1e-9
}

// fitsOneCell reports whether j fits the share of its class and one cell of the workspace, planned or in use, is
// large enough for the whole gang when it is unused.
func (c *Core) fitsOneCell(j *job) bool {
	ws := c.workspaces[j.Workspace]
	if ws == nil || !c.classShareAllows(ws, j, ws.usedByClass[j.Class]) {
		return false
	}
	return slices.ContainsFunc(ws.cells, func(l *cell) bool { return (l.planned || l.used > 0) && l.canHold(j) })
}

// charge puts a on the guarantee of its workspace and protects it from reclaim. It returns false and leaves a
// uncharged if a worker of a is not healthy, if the cells or the share of the class do not suffice, or if the other
// guarantees would no longer fit.
func (c *Core) charge(a *attempt) bool {
	c.ensurePlan()
	ws := c.workspaces[a.job.Workspace]
	if ws == nil {
		return false
	}
	c.undoLog = c.undoLog[:0]
	if !allHealthy(a.spans) {
		return false
	}
	if !c.chargeSingleCell(ws, a) && !c.chargeSeveralCells(ws, a) {
		c.undoCharge(a)
		return false
	}
	if !c.chargesWithinShare(ws, a) {
		c.undoCharge(a)
		return false
	}
	return c.protectIfGuaranteesFit(a)
}

// protectIfGuaranteesFit protects a and records its charges, if the protected work then fits each of its workers and
// the plan can be repaired. Otherwise it undoes the charges of a and returns false.
func (c *Core) protectIfGuaranteesFit(a *attempt) bool {
	c.protect(a)
	for _, s := range a.spans {
		if int(s.worker.capacity.accelerators) < s.worker.protectedAccelerators {
			c.unprotect(a)
			c.undoCharge(a)
			return false
		}
	}
	if !c.repairPlan(a.spans) {
		c.unprotect(a)
		c.undoCharge(a)
		c.planDirty = false
		return false
	}
	c.planDirty = false
	c.recordCharges(a)
	return true
}

// protectWithoutGuarantee protects a without charging cells, if all guarantees still fit beside it.
func (c *Core) protectWithoutGuarantee(a *attempt) bool {
	c.ensurePlan()
	c.undoLog = c.undoLog[:0]
	return allHealthy(a.spans) && c.protectIfGuaranteesFit(a)
}

// chargesWithinShare reports whether the new charges of a fit the share of its class, with the same tolerance as
// classShareAllows. The charges may exceed the accelerators of the job, since they include those that it blocks.
func (c *Core) chargesWithinShare(ws *workspace, a *attempt) bool {
	n := 0
	for _, h := range a.charges {
		n += h.count
	}
	class := c.classes[a.job.Class]
	return class != nil && float64(ws.usedByClass[a.job.Class]+n) <= float64(class.Share)*float64(ws.total)+1e-9
}

func (c *Core) undoCharge(a *attempt) {
	for i := len(a.charges) - 1; i >= 0; i-- {
		c.addUse(a.charges[i].cell, -a.charges[i].count)
	}
	a.charges = nil
	c.rollback()
}

// releaseCharges returns the charged accelerators of a to its workspace's guarantee.
func (c *Core) releaseCharges(a *attempt) {
	if len(a.charges) == 0 {
		return
	}
	for _, h := range a.charges {
		h.cell.workspace.usedByClass[a.job.Class] -= h.count
		c.addUse(h.cell, -h.count)
	}
	ws := a.charges[0].cell.workspace
	ws.charged = without(ws.charged, a)
	a.charges = nil
	c.planDirty = true
	c.capacityFreed()
}

// chargeSingleCell charges one cell for the whole gang, the best one according to betterCell. A cell in use must be
// bound to the node where the gang is placed. It reports whether it found a cell.
func (c *Core) chargeSingleCell(ws *workspace, a *attempt) bool {
	need := 0
	for _, s := range a.spans {
		need += s.worker.blockedAccelerators(a.job.need.times(s.count))
	}
	var best *cell
	var bestNode *node
	for _, l := range ws.cells {
		if !l.planned || l.residual() < need || c.cellEarmarkExcludes(l, a.job) {
			continue
		}
		n := commonNode(a.spans, l.level)
		if n == nil || (l.region != "" && n.region != l.region) || (l.used > 0 && l.node != n) {
			continue
		}
		if best == nil || betterCell(l, best, n) {
			best, bestNode = l, n
		}
	}
	if best == nil {
		return false
	}
	c.chargeCell(a, best, bestNode, need)
	return true
}

// chargeCell charges count accelerators of l to a, and moves l to n first if it is planned elsewhere.
func (c *Core) chargeCell(a *attempt, l *cell, n *node, count int) {
	if l.node != n {
		c.recordAssignment(l)
		c.unplan(l)
		c.plan(l, n)
	}
	c.addUse(l, count)
	a.charges = append(a.charges, charge{l, count})
}

// chargeSeveralCells spreads the charges over several cells: first over cells in use, then over unused ones, in both
// cases from the tightest level to the loosest. It reports whether the cells suffice; if not, the charges that it has
// made remain.
func (c *Core) chargeSeveralCells(ws *workspace, a *attempt) bool {
	remaining := make([]int, len(a.spans))
	for i, s := range a.spans {
		remaining[i] = s.worker.blockedAccelerators(a.job.need.times(s.count))
	}
	for _, inUse := range []bool{true, false} {
		for _, l := range ws.cells {
			if l.planned && (l.used > 0) == inUse && l.residual() > 0 && !c.cellEarmarkExcludes(l, a.job) {
				c.chargeCellPart(a, l, remaining)
			}
		}
	}
	for _, n := range remaining {
		if n > 0 {
			return false
		}
	}
	return true
}

// chargeCellPart charges l for as many of the remaining accelerators as it can take within one node.
// remaining has one count per span.
func (c *Core) chargeCellPart(a *attempt, l *cell, remaining []int) {
	bestNode, bestCount := l.node, 0
	sums := make(map[*node]int)
	for i, s := range a.spans {
		n := s.worker.node.ancestor(l.level)
		if remaining[i] == 0 || (l.used > 0 && n != l.node) || (l.region != "" && n.region != l.region) {
			continue
		}
		sums[n] += remaining[i]
		if sums[n] > bestCount {
			bestNode, bestCount = n, sums[n]
		}
	}
	take := min(bestCount, l.residual())
	if take == 0 {
		return
	}
	c.chargeCell(a, l, bestNode, take)
	for i, s := range a.spans {
		if s.worker.node.ancestor(l.level) == bestNode {
			n := min(take, remaining[i])
			remaining[i] -= n
			take -= n
		}
	}
}
