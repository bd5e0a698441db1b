package scheduler

import (
	"cmp"
	"math"
	"slices"

	"persimmontrail/pkg/descriptor"
)

const (
	// repairMoveLimit bounds the single moves of cells in one call of repairPlan, before it plans all unused cells
	// again. A few moves suffice in nearly all cases.
	repairMoveLimit = 32
	// replanLimit bounds the calls of replanAll in one Decide, since each takes some milliseconds at 4,000
	// accelerators.
	replanLimit = 4
	// fullPlanInterval is the minimum time between two calls of planMostCells, unless a worker has become usable
	// or unusable or the configuration has changed.
	fullPlanInterval = second
)

// cell is one copy of a guaranteed shape. The plan assigns cells to nodes and proves that every guarantee can
// be honoured by reclaim: each planned cell has its own part of the slack of its node.
//
// An unused cell may move to any node where it fits. A cell in use is bound to its node: its used and unused
// parts must stay in one unit, because the workspace may ask for the whole shape in one unit again when the
// attempts in the cell have ended.
type cell struct {
	workspace *workspace
	// shapeIndex is an index into workspace.shapes.
	shapeIndex int
	// level is the level of the unit that must contain the cell.
	level descriptor.Level
	// region is empty if the cell may be planned in any region.
	region descriptor.RegionID
	// size is the number of accelerators.
	size int
	// used is the number of accelerators in use. It is at most size, and 0 if node is nil.
	used int
	// node is the node at which the cell is planned or to which it is bound, or nil.
	node *node
	// planned reports whether the residual is deducted from the slack of node and of the nodes above it.
	planned bool
	// impossibleSince is the time at which markImpossibleSince first found the cell not planned, or 0 while it is
	// planned.
	impossibleSince int64
}

// residual returns the number of unused accelerators of l, whether or not l is planned.
func (l *cell) residual() int { return l.size - l.used }

// workspace holds the guaranteed shapes of a workspace and their cells.
type workspace struct {
	name   descriptor.WorkspaceID
	shapes []descriptor.Shape
	// cells are sorted from the tightest level to the loosest, then from the smallest to the largest.
	cells []*cell
	// total is the number of accelerators in all cells.
	total int
	// used is the number of these accelerators that are in use.
	used int
	// usedByClass is the number of these accelerators that the jobs of each class use. It is compared with the share
	// of the class.
	usedByClass map[descriptor.ClassID]int
	// earmarkedFor is the most urgent blocked job that fits in one cell. Less urgent jobs of the workspace
	// may not use the part of the guarantee it needs; otherwise small jobs could starve a large job of their
	// own workspace.
	earmarkedFor *job
	// charged are the attempts that use the guarantee, in the order in which they were charged.
	charged []*attempt
}

// plan assigns l to n and deducts its residual from the slack.
func (c *Core) plan(l *cell, n *node) {
	if l.node != n {
		l.node = n
		n.cells = append(n.cells, l)
	}
	l.planned = true
	n.reduceSlack(l.residual())
}

// unplan returns the residual of l to the slack. A cell in use stays bound to its node.
func (c *Core) unplan(l *cell) {
	if l.planned {
		l.planned = false
		l.node.reduceSlack(-l.residual())
	}
	if l.used == 0 {
		l.unbind()
	}
}

func (l *cell) unbind() {
	if l.node != nil {
		l.node.cells = without(l.node.cells, l)
		l.node = nil
	}
}

// addUse adds count, which may be negative, to the use of a cell that has a node. A cell that is then neither used nor
// planned loses its node.
func (c *Core) addUse(l *cell, count int) {
	l.used += count
	l.workspace.used += count
	if l.planned {
		l.node.reduceSlack(-count)
	}
	if l.used == 0 && !l.planned {
		l.unbind()
	}
}

// findNode returns the best node for an unused cell, or nil. It prefers the least slack at the node, then the
// least slack at the nodes above it, to keep whole racks unused.
func (c *Core) findNode(l *cell) *node {
	var best *node
	better := func(n *node) bool {
		for a, b := n, best; a != nil; a, b = a.parent, b.parent {
			if a.slack != b.slack {
				return a.slack < b.slack
			}
		}
		return false
	}
	var visit func(nodes []*node)
	visit = func(nodes []*node) {
		for _, n := range nodes {
			if n.slack < l.size || (l.region != "" && n.region != l.region) {
				continue
			}
			if n.level != l.level {
				visit(n.children)
				continue
			}
			if best == nil || better(n) {
				best = n
			}
		}
	}
	visit(c.fleet.domains)
	return best
}

// failedSizes maps a level and region to the smallest cell size for which no node was found. It is valid only
// while slack does not grow.
type failedSizes map[failedSizeKey]int

type failedSizeKey struct {
	level  descriptor.Level
	region descriptor.RegionID
}

// findNodeUnlessKnownToFail is like findNode, but skips searches that must fail according to failed. It records failed
// searches there.
func (c *Core) findNodeUnlessKnownToFail(failed failedSizes, l *cell) *node {
	k := failedSizeKey{l.level, l.region}
	if size, ok := failed[k]; ok && l.size >= size {
		return nil
	}
	n := c.findNode(l)
	if n == nil {
		failed[k] = l.size
	}
	return n
}

// tightestOvercommitted returns the tightest node at or above n with negative slack, or nil.
func tightestOvercommitted(n *node) *node {
	for m := n; m != nil; m = m.parent {
		if m.slack < 0 {
			return m
		}
	}
	return nil
}

// cellToMove returns the unused cell at or below n that best covers the deficit of n: the smallest that
// covers it, else the largest.
func cellToMove(n *node) *cell {
	var best *cell
	better := func(l *cell) bool {
		if best == nil {
			return true
		}
		deficit := -n.slack
		if (l.size >= deficit) != (best.size >= deficit) {
			return l.size >= deficit
		}
		if l.size >= deficit {
			return l.size < best.size
		}
		return l.size > best.size
	}
	var visit func(m *node)
	visit = func(m *node) {
		for _, l := range m.cells {
			if l.planned && l.used == 0 && better(l) {
				best = l
			}
		}
		for _, k := range m.children {
			visit(k)
		}
	}
	visit(n)
	return best
}

// previousAssignment is an entry of the undo log: the assignment of a cell before it was changed.
type previousAssignment struct {
	cell    *cell
	node    *node
	planned bool
}

// recordAssignment adds the assignment of l to the undo log. It is called before the assignment is changed.
func (c *Core) recordAssignment(l *cell) {
	c.undoLog = append(c.undoLog, previousAssignment{l, l.node, l.planned})
}

// rollback restores the assignment of all cells in the undo log.
func (c *Core) rollback() {
	for i := len(c.undoLog) - 1; i >= 0; i-- {
		h := c.undoLog[i]
		c.unplan(h.cell)
		if h.planned {
			c.plan(h.cell, h.node)
		}
	}
	c.undoLog = c.undoLog[:0]
}

// repairPlan moves unused cells away from the nodes of spans and the nodes above them until none is
// overcommitted. If moving single cells does not suffice, it plans all unused cells again, at most replanLimit
// times in one Decide. It fails at once if there is no unused cell to move. It reports whether it succeeded; if not,
// the caller must call rollback.
func (c *Core) repairPlan(spans []span) bool {
	for range repairMoveLimit {
		n := firstOvercommitted(spans)
		if n == nil {
			return true
		}
		l := cellToMove(n)
		if l == nil {
			return false
		}
		c.recordAssignment(l)
		c.unplan(l)
		target := c.findNode(l)
		if target == nil {
			break
		}
		c.plan(l, target)
	}
	if c.replanCount >= replanLimit {
		return false
	}
	c.replanCount++
	return c.replanAll()
}

// firstOvercommitted returns the first overcommitted node at or above the workers of spans, or nil.
func firstOvercommitted(spans []span) *node {
	for _, s := range spans {
		if n := tightestOvercommitted(s.worker.node); n != nil {
			return n
		}
	}
	return nil
}

// replanAll plans all unused cells again, in each of planOrders until one succeeds. It reports whether all unused
// cells that were planned before the current charge are planned again.
func (c *Core) replanAll() bool {
	var unused []*cell
	wasPlanned := make(map[*cell]bool)
	for _, l := range c.cells {
		if l.used == 0 {
			c.recordAssignment(l)
			unused = append(unused, l)
		}
	}
	for _, h := range c.undoLog {
		if h.planned {
			wasPlanned[h.cell] = true
		}
	}
	if !c.unplanUnusedCells() {
		return false
	}
	for _, order := range planOrders {
		if c.planInOrder(unused, order, wasPlanned) == 0 {
			return true
		}
	}
	return false
}

// unplanUnusedCells unplans all unused cells and reports whether the remaining plan has no overcommitted node.
func (c *Core) unplanUnusedCells() bool {
	for _, l := range c.cells {
		if l.used == 0 {
			c.unplan(l)
		}
	}
	for _, d := range c.fleet.domains {
		if anyOvercommitted(d) {
			return false
		}
	}
	return true
}

func anyOvercommitted(n *node) bool {
	if n.slack < 0 {
		return true
	}
	return slices.ContainsFunc(n.children, anyOvercommitted)
}

// planOrders are the orders in which cells are planned: largest first, tightest first and smallest first.
// Smallest first keeps the most guarantees when not all are possible.
var planOrders = []func(a, b *cell) int{
	func(a, b *cell) int { return cmp.Or(b.size-a.size, int(b.level-a.level)) },
	func(a, b *cell) int { return cmp.Or(int(b.level-a.level), b.size-a.size) },
	func(a, b *cell) int { return cmp.Or(a.size-b.size, int(b.level-a.level)) },
}

// planInOrder plans cells again in the given order and returns how many of the required ones could not be planned.
// If required is nil, all are required.
func (c *Core) planInOrder(cells []*cell, order func(a, b *cell) int, required map[*cell]bool) int {
	for _, l := range cells {
		c.unplan(l)
	}
	sorted := slices.Clone(cells)
	slices.SortStableFunc(sorted, func(a, b *cell) int {
		// Among equal cells, those that are limited to a region come first, since they have fewer possible nodes.
		return cmp.Or(cmp.Compare(order(a, b), 0), cmp.Compare(b.region, a.region))
	})
	missing := 0
	failed := failedSizes{}
	for _, l := range sorted {
		n := c.findNodeUnlessKnownToFail(failed, l)
		if n == nil {
			if required == nil || required[l] {
				missing++
			}
			continue
		}
		c.plan(l, n)
	}
	return missing
}

// ensurePlan resolves overcommitment after a loss of capacity, and plans cells that became possible again, if planDirty
// is set. It first changes single cells. If unused cells remain without a node, it plans all unused cells again, at
// most once per fullPlanInterval.
func (c *Core) ensurePlan() {
	if !c.planDirty {
		return
	}
	c.planDirty = false
	c.undoLog = c.undoLog[:0]
	for _, d := range c.fleet.domains {
		c.resolveOvercommitment(d)
	}
	c.planBoundCells()
	missing := c.planUnplacedCells()
	if missing == 0 || !c.fullPlanMayHelp() {
		return
	}
	if c.now < c.nextFullPlanAt {
		c.planDirty = true
		return
	}
	c.nextFullPlanAt = c.now + fullPlanInterval
	c.planMostCells()
	c.planBoundCells()
}

// resolveOvercommitment moves or unplans cells until neither n nor a node below it is overcommitted, or no cell is
// left to move or unplan.
func (c *Core) resolveOvercommitment(n *node) {
	for _, k := range n.children {
		c.resolveOvercommitment(k)
	}
	for n.slack < 0 {
		l := cellToMove(n)
		if l == nil {
			l = boundCellBelow(n)
		}
		if l == nil {
			return
		}
		c.unplan(l)
		if l.used > 0 {
			continue
		}
		if target := c.findNode(l); target != nil {
			c.plan(l, target)
		}
	}
}

// boundCellBelow returns a cell at or below n that is planned with a residual, or nil. It is called only if
// cellToMove finds no unused cell there, so the cell is in use and bound to its node.
func boundCellBelow(n *node) *cell {
	for _, l := range n.cells {
		if l.planned && l.residual() > 0 {
			return l
		}
	}
	for _, k := range n.children {
		if l := boundCellBelow(k); l != nil {
			return l
		}
	}
	return nil
}

// planBoundCells plans unplanned cells in use at the nodes to which they are bound, if their residuals fit there.
func (c *Core) planBoundCells() {
	for _, l := range c.cells {
		if l.planned || l.used == 0 || l.node == nil {
			continue
		}
		fits := true
		for n := l.node; n != nil; n = n.parent {
			fits = fits && n.slack >= l.residual()
		}
		if fits {
			c.plan(l, l.node)
		}
	}
}

// planUnplacedCells plans unused cells that have no node. It returns how many remain without one.
func (c *Core) planUnplacedCells() int {
	missing := 0
	failed := failedSizes{}
	for _, l := range c.cells {
		if l.planned || l.used > 0 {
			continue
		}
		if n := c.findNodeUnlessKnownToFail(failed, l); n != nil {
			c.plan(l, n)
			continue
		}
		missing++
	}
	return missing
}

// fullPlanMayHelp reports whether the total slack is enough for an unused cell that is not planned. Otherwise
// planning all cells again cannot help.
func (c *Core) fullPlanMayHelp() bool {
	slack := 0
	for _, d := range c.fleet.domains {
		slack += max(0, d.slack)
	}
	return slices.ContainsFunc(c.cells, func(l *cell) bool { return !l.planned && l.used == 0 && l.size <= slack })
}

// planMostCells plans the unused cells again, in the one of planOrders that leaves the fewest of them unplanned.
func (c *Core) planMostCells() {
	var unused []*cell
	for _, l := range c.cells {
		if l.used == 0 {
			unused = append(unused, l)
		}
	}
	best, fewest := 0, math.MaxInt
	for i, order := range planOrders {
		if missing := c.planInOrder(unused, order, nil); missing < fewest {
			best, fewest = i, missing
		}
		if fewest == 0 {
			return
		}
	}
	c.planInOrder(unused, planOrders[best], nil)
}

// markImpossibleSince sets impossibleSince of cells that are newly unplanned and clears it for planned cells.
func (c *Core) markImpossibleSince() {
	for _, l := range c.cells {
		switch {
		case l.planned:
			l.impossibleSince = 0
		case l.impossibleSince == 0:
			l.impossibleSince = max(1, c.now)
		}
	}
}

// mayUseGuarantee reports whether the share of the class of j leaves room for j on the guarantee of its
// workspace.
func (c *Core) mayUseGuarantee(j *job) bool {
	ws := c.workspaces[j.Workspace]
	return ws != nil && c.classShareAllows(ws, j, ws.usedByClass[j.Class])
}

// earmarkExcludes reports whether the guarantee of ws is earmarked for a more urgent job than j that still fits
// the share of its class.
func (c *Core) earmarkExcludes(ws *workspace, j *job) bool {
	return ws.earmarkedFor != nil && ws.earmarkedFor != j && !j.before(ws.earmarkedFor) && c.classShareAllows(ws, ws.earmarkedFor, ws.usedByClass[ws.earmarkedFor.Class])
}

// cellEarmarkExcludes reports whether l is kept for the earmarked job of the workspace and not for j. It is
// not kept if the earmarked job cannot use it, or cannot use it before j is expected to end.
func (c *Core) cellEarmarkExcludes(l *cell, j *job) bool {
	ws := l.workspace
	if !c.earmarkExcludes(ws, j) || !l.canHold(ws.earmarkedFor) {
		return false
	}
	return l.residual() >= ws.earmarkedFor.accelerators() || c.cellExpectedEnd(l) < c.now+c.remainingRunTime(j)
}

// canHold reports whether l, when unused, can hold the whole gang of j.
func (l *cell) canHold(j *job) bool {
	return l.size >= j.accelerators() && l.level >= j.Adjacency && j.allowsRegion(l.region)
}

// cellExpectedEnd returns the time by which all attempts that use l are expected to have ended, or the current time if
// there are none.
func (c *Core) cellExpectedEnd(l *cell) int64 {
	end := c.now
	for _, a := range l.workspace.charged {
		if slices.ContainsFunc(a.charges, func(h charge) bool { return h.cell == l }) {
			end = max(end, c.expectedEnd(a))
		}
	}
	return end
}

// recordCharges updates usedByClass and charged of the workspace for the charges of a.
func (c *Core) recordCharges(a *attempt) {
	if len(a.charges) == 0 {
		return
	}
	ws := a.charges[0].cell.workspace
	ws.charged = append(ws.charged, a)
	for _, h := range a.charges {
		ws.usedByClass[a.job.Class] += h.count
	}
}

// allHealthy reports whether all workers of spans are usable and not probing. Guarantees are planned only on
// such workers.
func allHealthy(spans []span) bool {
	return !slices.ContainsFunc(spans, func(s span) bool { return !s.worker.usable || s.worker.health.probing })
}

// commonNode returns the node of level l that contains all spans, or nil.
func commonNode(spans []span, l descriptor.Level) *node {
	var n *node
	for _, s := range spans {
		m := s.worker.node.ancestor(l)
		if n != nil && m != n {
			return nil
		}
		n = m
	}
	return n
}

// betterCell reports whether l is a better cell than best for a gang at n: a cell in use is better than an unused
// one, then a smaller residual is better, then, at equal levels, a cell that is already at n.
func betterCell(l, best *cell, n *node) bool {
	if (l.used > 0) != (best.used > 0) {
		return l.used > 0
	}
	if l.residual() != best.residual() {
		return l.residual() < best.residual()
	}
	return l.node == n && best.node != n && l.level == best.level
}
