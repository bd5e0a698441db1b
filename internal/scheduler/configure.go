package scheduler

import (
	"cmp"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Configure replaces the classes, the expected fleet, the guarantees and the set of failure domains that are out.
// Running work is charged to changed guarantees where it fits, and idempotent work in failure domains that are out is
// stopped. Waiting jobs stay in the queue, also those of workspaces and classes that are no longer in the
// configuration.
func (c *Core) Configure(cfg *descriptor.Configuration, now time.Time) {
	c.advanceTo(now)
	c.classes = make(map[descriptor.ClassID]*descriptor.Class, len(cfg.Classes))
	for _, k := range cfg.Classes {
		c.classes[k.Name] = &k
	}
	c.expectedFleet = c.localFleet(cfg)
	c.fleetVersion++
	c.configureWorkspaces(cfg)
	c.configureOutDomains(cfg)
	c.history.prune(c.workspaces)
	c.orderedAtVersion, c.nextReorderAt = -1, 0
	c.planDirty = true
	c.nextFullPlanAt = 0
	c.capacityFreed()
}

// configureWorkspaces replaces the workspaces. Workspaces with unchanged guarantees keep their cells.
func (c *Core) configureWorkspaces(cfg *descriptor.Configuration) {
	old := c.workspaces
	c.workspaces = make(map[descriptor.WorkspaceID]*workspace, len(cfg.Workspaces))
	shapes := c.localShapes(cfg)
	var changed []*workspace
	for i, s := range cfg.Workspaces {
		ws := old[s.Name]
		delete(old, s.Name)
		if ws == nil || !slices.Equal(ws.shapes, shapes[i]) {
			c.removeGuarantees(ws)
			ws = newWorkspace(s.Name, shapes[i])
			changed = append(changed, ws)
		}
		c.workspaces[s.Name] = ws
	}
	names := make([]descriptor.WorkspaceID, 0, len(old))
	for name := range old {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c.removeGuarantees(old[name])
	}
	c.collectCells()
	c.recharge(changed)
}

func newWorkspace(name descriptor.WorkspaceID, shapes []descriptor.Shape) *workspace {
	ws := &workspace{name: name, shapes: shapes, usedByClass: make(map[descriptor.ClassID]int)}
	for i, s := range shapes {
		for range s.Copies() {
			ws.cells = append(ws.cells, &cell{workspace: ws, shapeIndex: i, level: s.Adjacency, region: s.Region, size: int(s.Accelerators)})
			ws.total += int(s.Accelerators)
		}
	}
	slices.SortStableFunc(ws.cells, func(a, b *cell) int { return cmp.Or(int(b.level-a.level), a.size-b.size) })
	return ws
}

// removeGuarantees removes the cells of ws, which may be nil. The running work of ws then runs on borrowed capacity,
// except that non-idempotent jobs stay protected.
func (c *Core) removeGuarantees(ws *workspace) {
	if ws == nil {
		return
	}
	for _, a := range c.attemptsOf(ws.name) {
		c.releaseCharges(a)
		if !a.job.NonIdempotent {
			c.unprotect(a)
		}
	}
	for _, l := range ws.cells {
		c.unplan(l)
		l.unbind()
	}
}

// attemptsOf returns the current attempts of a workspace's jobs, including those that are still claims (see
// attempt.claim), ordered by job ID.
func (c *Core) attemptsOf(name descriptor.WorkspaceID) []*attempt {
	var out []*attempt
	for key, j := range c.jobs {
		if key.Workspace == name && j.current != nil {
			out = append(out, j.current)
		}
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.job.ID, b.job.ID) })
	return out
}

// collectCells collects the cells of all workspaces, ordered by workspace name.
func (c *Core) collectCells() {
	sorted := make([]*workspace, 0, len(c.workspaces))
	for _, ws := range c.workspaces {
		sorted = append(sorted, ws)
	}
	slices.SortFunc(sorted, func(a, b *workspace) int { return cmp.Compare(a.name, b.name) })
	c.cells = c.cells[:0]
	for _, ws := range sorted {
		c.cells = append(c.cells, ws.cells...)
	}
}

// recharge charges the running work of workspaces with changed guarantees to the new cells where it fits. Work that
// is still protected (see removeGuarantees) stays protected where it does not fit.
func (c *Core) recharge(changed []*workspace) {
	c.planDirty = true
	for _, ws := range changed {
		for _, a := range c.attemptsOf(ws.name) {
			if a.stopRequested || a.job.state == StateEnded {
				continue
			}
			wasProtected := a.protected
			c.unprotect(a)
			if !c.charge(a) && wasProtected {
				c.protect(a)
			}
		}
	}
}

// configureOutDomains updates the set of failure domains that are out and drains their workers.
func (c *Core) configureOutDomains(cfg *descriptor.Configuration) {
	c.fleet.outDomains = make(map[string]bool)
	for _, d := range cfg.FailureDomains {
		if d.Out {
			c.fleet.outDomains[string(d.Name)] = true
		}
	}
	c.fleet.eachWorker(func(w *worker) bool {
		c.updateSums(w)
		if c.fleet.isOut(w) {
			c.drainWorker(w)
		}
		return true
	})
}

// drainWorker stops the work on a worker whose failure domain is out, and drops its reservations and claims.
// Non-idempotent jobs finish there, because they may not be started again elsewhere.
func (c *Core) drainWorker(w *worker) {
	reason := "failure domain " + string(w.FailureDomain) + " is out"
	for _, r := range slices.Clone(w.reservations) {
		c.dropReservation(r)
	}
	for _, a := range slices.Clone(c.claims) {
		if a.resourcesOn(w) != (vector{}) {
			c.dropClaim(a, reason)
		}
	}
	for _, a := range slices.Clone(w.attempts) {
		switch {
		case a.stopRequested:
		case a.job.NonIdempotent:
			// The job runs to its end. If it has not started, its agent refuses the start and the job is
			// queued again.
			c.releaseCharges(a)
		default:
			c.requestStop(a, reclaimGrace, reason)
		}
	}
}
