package scheduler

import (
	"cmp"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Configure replaces the configuration.
func (c *Core) Configure(cfg *descriptor.Configuration, now time.Time) {
	c.begin(now)
	c.classes = make(map[descriptor.ClassID]*descriptor.Class, len(cfg.Classes))
	for _, k := range cfg.Classes {
		c.classes[k.Name] = &k
	}
	c.fleet = c.localFleet(cfg)
	c.fleetVersion++
	c.configureWorkspaces(cfg)
	c.configureOuts(cfg)
	c.history.prune(c.workspaces)
	c.orderedBy, c.reorderAt = -1, 0
	c.planDirty = true
	c.planMostAt = 0
	c.capacityFreed()
}

// configureWorkspaces keeps the cells of workspaces whose guarantees did not change.
func (c *Core) configureWorkspaces(cfg *descriptor.Configuration) {
	old := c.workspaces
	c.workspaces = make(map[descriptor.WorkspaceID]*workspace, len(cfg.Workspaces))
	shapes := c.localShapes(cfg)
	var changed []*workspace
	for i, s := range cfg.Workspaces {
		ws := old[s.Name]
		delete(old, s.Name)
		if ws == nil || !slices.Equal(ws.shapes, shapes[i]) {
			c.dissolve(ws)
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
		c.dissolve(old[name])
	}
	c.collectCells()
	c.recharge(changed)
}

func newWorkspace(name descriptor.WorkspaceID, shapes []descriptor.Shape) *workspace {
	ws := &workspace{name: name, shapes: shapes, claimedBy: make(map[descriptor.ClassID]int)}
	for i, s := range shapes {
		for range s.Copies() {
			ws.cells = append(ws.cells, &cell{workspace: ws, shape: i, level: s.Adjacency, region: s.Region, size: int(s.Accelerators)})
			ws.total += int(s.Accelerators)
		}
	}
	slices.SortStableFunc(ws.cells, func(a, b *cell) int { return cmp.Or(int(b.level-a.level), a.size-b.size) })
	return ws
}

// dissolve removes the guarantee of ws. Its running work becomes borrowed, unless it runs at most once.
func (c *Core) dissolve(ws *workspace) {
	if ws == nil {
		return
	}
	for _, a := range c.attemptsOf(ws.name) {
		c.discharge(a)
		if !a.job.NonIdempotent {
			c.makeReclaimable(a)
		}
	}
	for _, l := range ws.cells {
		c.unplan(l)
		l.unbind()
	}
}

// attemptsOf returns the attempts and claims of a workspace in the order of job ids.
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

func (c *Core) collectCells() {
	list := make([]*workspace, 0, len(c.workspaces))
	for _, ws := range c.workspaces {
		list = append(list, ws)
	}
	slices.SortFunc(list, func(a, b *workspace) int { return cmp.Compare(a.name, b.name) })
	c.cells = c.cells[:0]
	for _, ws := range list {
		c.cells = append(c.cells, ws.cells...)
	}
}

// recharge puts running work of workspaces with changed guarantees on the new ones where it fits.
func (c *Core) recharge(changed []*workspace) {
	c.planDirty = true
	for _, ws := range changed {
		for _, a := range c.attemptsOf(ws.name) {
			if a.leaving || a.job.state == StateEnded {
				continue
			}
			wasFirm := a.firm
			c.makeReclaimable(a)
			if !c.charge(a) && wasFirm {
				c.makeFirm(a)
			}
		}
	}
}

// configureOuts applies which failure domains are out.
func (c *Core) configureOuts(cfg *descriptor.Configuration) {
	c.view.outs = make(map[string]bool)
	for _, d := range cfg.FailureDomains {
		if d.Out {
			c.view.outs[string(d.Name)] = true
		}
	}
	c.view.eachWorker(func(w *worker) bool {
		c.refresh(w)
		if c.view.isOut(w) {
			c.drain(w)
		}
		return true
	})
}

// drain moves work off a worker whose failure domain is out. Running work that runs at most once
// finishes where it is, because it may not start again elsewhere.
func (c *Core) drain(w *worker) {
	reason := "failure domain " + string(w.FailureDomain) + " is out"
	for _, r := range slices.Clone(w.reservations) {
		c.dropReservation(r)
	}
	for _, a := range slices.Clone(c.claims) {
		if a.on(w) != (vector{}) {
			c.dropClaim(a, reason)
		}
	}
	for _, a := range slices.Clone(w.attempts) {
		switch {
		case a.leaving:
		case a.job.NonIdempotent:
			// It runs to its end where it is. One that has not started is refused by its agent and queued again.
			c.discharge(a)
		default:
			c.leave(a, reclaimGrace, reason)
		}
	}
}
