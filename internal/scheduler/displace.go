package scheduler

import (
	"cmp"
	"slices"
)

// savedCell holds the assignment and use of a cell in a savedPlan.
type savedCell struct {
	node    *node
	planned bool
	used    int
}

// savedPlan is a snapshot of the plan and of the charges of one workspace, for undoing a change that did not
// help.
type savedPlan struct {
	workspace *workspace
	// cells holds one entry for each of Core.cells, in the same order.
	cells   []savedCell
	charged []*attempt
	// charges holds the charges of the attempts in charged, at the same indexes.
	charges            [][]charge
	planDirty          bool
	fullPassNeeded     bool
	capacityGeneration int
}

// savePlan returns a snapshot of the plan and of the charges of ws.
func (c *Core) savePlan(ws *workspace) savedPlan {
	s := savedPlan{workspace: ws, charged: slices.Clone(ws.charged), planDirty: c.planDirty, fullPassNeeded: c.fullPassNeeded, capacityGeneration: c.capacityGeneration}
	for _, l := range c.cells {
		s.cells = append(s.cells, savedCell{l.node, l.planned, l.used})
	}
	for _, a := range s.charged {
		s.charges = append(s.charges, slices.Clone(a.charges))
	}
	return s
}

// restorePlan undoes all changes since savePlan. No attempt may have been started in between.
func (c *Core) restorePlan(s savedPlan) {
	for _, a := range slices.Clone(s.workspace.charged) {
		c.moveToBorrowed(a)
	}
	for i, l := range c.cells {
		c.restoreCell(l, s.cells[i])
	}
	for i, a := range s.charged {
		a.charges = s.charges[i]
		c.recordCharges(a)
		c.protect(a)
	}
	c.planDirty, c.fullPassNeeded, c.capacityGeneration = s.planDirty, s.fullPassNeeded, s.capacityGeneration
}

// restoreCell sets the assignment and use of l to those in s.
func (c *Core) restoreCell(l *cell, s savedCell) {
	if l.node == s.node && l.planned == s.planned && l.used == s.used {
		return
	}
	if l.planned {
		l.planned = false
		l.node.reduceSlack(-l.residual())
	}
	l.workspace.used += s.used - l.used
	l.used = s.used
	if l.node != s.node {
		l.unbind()
		l.node = s.node
		if l.node != nil {
			l.node.cells = append(l.node.cells, l)
		}
	}
	if s.planned {
		l.planned = true
		l.node.reduceSlack(l.residual())
	}
}

// moveToBorrowed releases the charges of a, so that it runs on borrowed capacity.
func (c *Core) moveToBorrowed(a *attempt) {
	c.releaseCharges(a)
	c.unprotect(a)
}

// repackCharges releases the charges of the workspace's attempts and charges them again, largest attempt first, to
// make the residual of one cell large enough for j. It reports whether that succeeded. It restores the previous
// charges if it failed, and does nothing if a cell can hold j already.
func (c *Core) repackCharges(j *job) bool {
	ws := c.workspaces[j.Workspace]
	if len(ws.charged) == 0 || ws.hasFreeCellFor(j) {
		return false
	}
	saved := c.savePlan(ws)
	attempts := slices.Clone(ws.charged)
	slices.SortStableFunc(attempts, func(a, b *attempt) int { return cmp.Compare(b.job.accelerators(), a.job.accelerators()) })
	for _, a := range attempts {
		c.moveToBorrowed(a)
	}
	for _, a := range attempts {
		if !c.charge(a) {
			c.restorePlan(saved)
			return false
		}
	}
	if !ws.hasFreeCellFor(j) {
		c.restorePlan(saved)
		return false
	}
	return true
}

// hasFreeCellFor reports whether the residual of one planned cell can hold the whole gang of j.
func (ws *workspace) hasFreeCellFor(j *job) bool {
	return slices.ContainsFunc(ws.cells, func(l *cell) bool {
		return l.planned && l.canHold(j) && l.residual() >= j.accelerators()
	})
}

// displacementLimit bounds the attempts that lose their guarantee for one job, and with it the search time.
const displacementLimit = 4

// displace starts j on the guarantee of its workspace in place of work of less urgent classes, and reports whether
// that succeeded. The displaced work continues on borrowed capacity and is reclaimed only if it is the cheapest victim.
func (c *Core) displace(j *job) bool {
	ws := c.workspaces[j.Workspace]
	attempts := c.displaceable(ws, j)
	if len(attempts) == 0 {
		return false
	}
	saved := c.savePlan(ws)
	for i, a := range attempts {
		c.moveToBorrowed(a)
		if !c.entitled(j) || !c.startByReclaim(j, false) {
			continue
		}
		for _, b := range attempts[:i+1] {
			b.job.addRecord(c.now, b.number, "Displaced", "the guarantee is needed for the more urgent "+j.Key().String())
		}
		return true
	}
	c.restorePlan(saved)
	return false
}

// displaceable returns the attempts on the guarantee of ws that may be displaced for j, at most displacementLimit.
// Those of the least urgent class come first, then those that started last.
func (c *Core) displaceable(ws *workspace, j *job) []*attempt {
	target := func(k *job) int64 {
		if class := c.classes[k.Class]; class != nil {
			return int64(class.FinishWithin)
		}
		return 0
	}
	var out []*attempt
	for _, a := range ws.charged {
		if !a.job.NonIdempotent && !a.claim && target(a.job) > target(j) {
			out = append(out, a)
		}
	}
	slices.SortStableFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(target(b.job), target(a.job)), cmp.Compare(b.startedAt, a.startedAt))
	})
	return out[:min(len(out), displacementLimit)]
}
