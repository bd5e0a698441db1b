package scheduler

import (
	"cmp"
	"fmt"
	"slices"

	"persimmontrail/pkg/descriptor"
)

// sweep forgets what is too old and ends jobs that the fleet can never run again.
func (c *Core) sweep() {
	var gone []*worker
	c.view.eachWorker(func(w *worker) bool {
		if !w.up && c.now-w.removedAt >= workerRetention {
			gone = append(gone, w)
		}
		return true
	})
	for _, w := range gone {
		c.expireWorker(w)
	}
	for id, h := range c.savedHealth {
		if c.now-h.quarantineEnd >= 2*quarantineBackoffMax {
			delete(c.savedHealth, id)
		}
	}
	c.endUnschedulable()
}

// endUnschedulable ends waiting jobs whose shape did not fit the whole fleet for unfitGrace.
func (c *Core) endUnschedulable() {
	reasons := make(map[*shape]string)
	for _, s := range c.shapes {
		reason := c.unschedulable(s)
		switch {
		case reason == "":
			s.unschedulableSince = 0
		case s.unschedulableSince == 0:
			s.unschedulableSince = max(1, c.now)
		case c.now-s.unschedulableSince >= unschedulableTimeout:
			reasons[s] = reason
		}
	}
	if len(reasons) == 0 {
		return
	}
	for _, e := range slices.Clone(c.queue) {
		if reason := reasons[e.job.shape]; e.valid() && reason != "" {
			c.endJob(e.job, "can never run: "+reason)
		}
	}
}

// unschedulable is neverFits with the last good outcome remembered until the known fleet changes.
func (c *Core) unschedulable(s *shape) string {
	if s.fitsFleetVersion == c.fleetVersion && c.fleetVersion > 0 {
		return ""
	}
	reason := c.fleetMisfit(s.resourceShape)
	if reason == "" {
		s.fitsFleetVersion = c.fleetVersion
	}
	return reason
}

// fleetMisfit says why a gang does not fit even when all known and expected workers are up and empty, or
// returns "". Without any known or expected worker it cannot tell.
func (c *Core) fleetMisfit(k resourceShape) string {
	if len(c.view.workers) == 0 {
		if len(c.fleet) == 0 || c.fitsExpectedFleet(k) {
			return ""
		}
		return describeMisfit(k, 0)
	}
	most := 0
	level := k.level
	if k.need.accelerators == 0 {
		level = descriptor.LevelFailureDomain
	}
	total := 0
	for _, d := range c.view.domains {
		if k.region != "" && d.region != k.region {
			continue
		}
		for _, n := range unitsBelow(d, level) {
			fit := emptyFit(n, k.need)
			most = max(most, fit)
			total += fit
		}
	}
	if k.need.accelerators == 0 {
		most = total
	}
	if most >= k.tasks || c.fitsExpectedFleet(k) {
		return ""
	}
	return describeMisfit(k, most)
}

func describeMisfit(k resourceShape, most int) string {
	return fmt.Sprintf("%d tasks of %d accelerators, %g cores and %d MB each are needed in one %v and at most %d fit when all workers are up and empty",
		k.tasks, k.need.accelerators, float64(k.need.millicores)/1000, k.need.memory, k.level, most)
}

// emptyFit returns how many tasks fit below n when nothing runs and everything is up.
func emptyFit(n *node, need vector) int {
	if n.worker != nil {
		return n.worker.capacity.count(need)
	}
	sum := 0
	for _, k := range n.children {
		sum += emptyFit(k, need)
	}
	return sum
}

// fitsExpectedFleet reports whether the accelerators of the gang fit the fleet that operators expect. The
// expected racks state no cores and memory; these are taken as enough if some known worker holds a task.
func (c *Core) fitsExpectedFleet(k resourceShape) bool {
	if k.need.accelerators == 0 || !c.someWorkerHoldsTask(k.need) {
		return false
	}
	domains := make(map[descriptor.FailureDomainID]int)
	for _, r := range c.fleet {
		perWorker := int(int64(r.Accelerators) / k.need.accelerators)
		domains[r.FailureDomain] += perWorker * r.Workers * r.Racks
		switch {
		case k.level == descriptor.LevelWorker && perWorker >= k.tasks,
			k.level == descriptor.LevelRack && perWorker*r.Workers >= k.tasks,
			k.level == descriptor.LevelFailureDomain && domains[r.FailureDomain] >= k.tasks:
			return true
		}
	}
	return false
}

// someWorkerHoldsTask reports whether a known worker is large enough for one task, or none is known.
func (c *Core) someWorkerHoldsTask(need vector) bool {
	found := len(c.view.workers) == 0
	c.view.eachWorker(func(w *worker) bool {
		found = w.capacity.count(need) > 0
		return !found
	})
	return found
}

// localFleet returns the expected racks of the core's region.
func (c *Core) localFleet(cfg *descriptor.Configuration) []descriptor.RackSize {
	regions := make(map[descriptor.FailureDomainID]descriptor.RegionID)
	for _, d := range cfg.FailureDomains {
		regions[d.Name] = d.Region
	}
	return slices.DeleteFunc(slices.Clone(cfg.Fleet), func(r descriptor.RackSize) bool {
		return c.Region != "" && regions[r.FailureDomain] != c.Region
	})
}

// localShapes returns the guaranteed shapes of each workspace that this core honours. A shape that names
// no region is honoured by exactly one region. All regional cores compute the same choice from the configuration alone.
func (c *Core) localShapes(cfg *descriptor.Configuration) [][]descriptor.Shape {
	out := make([][]descriptor.Shape, len(cfg.Workspaces))
	if c.Region == "" {
		for i, s := range cfg.Workspaces {
			out[i] = s.Guarantees
		}
		return out
	}
	copies := assignRegions(cfg)
	for i, ws := range cfg.Workspaces {
		for k, s := range ws.Guarantees {
			s.Count = copies[shapeIndex{i, k}][c.Region]
			if s.Region == c.Region {
				s.Count = ws.Guarantees[k].Copies()
			}
			if s.Count > 0 {
				out[i] = append(out[i], s)
			}
		}
	}
	return out
}

type shapeIndex struct{ workspace, shape int }

// assignRegions plans all guarantees on the expected fleet and returns how many copies of each
// shape without a region lie in which region. Copies that do not fit belong to the region with the first name.
func assignRegions(cfg *descriptor.Configuration) map[shapeIndex]map[descriptor.RegionID]int {
	planner := &Core{}
	regions := make(map[descriptor.FailureDomainID]descriptor.RegionID)
	first := descriptor.RegionID("")
	for _, d := range cfg.FailureDomains {
		regions[d.Name] = d.Region
		if first == "" || cmp.Less(d.Region, first) {
			first = d.Region
		}
	}
	withoutOuts := *cfg
	withoutOuts.FailureDomains = nil
	when := toTime(1)
	planner.Configure(&withoutOuts, when)
	for i, r := range cfg.Fleet {
		for k := range r.Racks * r.Workers {
			rack := descriptor.RackID(fmt.Sprintf("%d-%d", i, k/r.Workers))
			planner.SetWorker(descriptor.Worker{
				ID: descriptor.WorkerID(fmt.Sprintf("%s-%d", rack, k)), Rack: rack, FailureDomain: r.FailureDomain,
				Region: regions[r.FailureDomain], Accelerators: r.Accelerators,
			}, when)
		}
	}
	planner.ensurePlan()
	out := make(map[shapeIndex]map[descriptor.RegionID]int)
	for i, ws := range cfg.Workspaces {
		for _, l := range planner.workspaces[ws.Name].cells {
			if l.region != "" {
				continue
			}
			key, home := shapeIndex{i, l.shape}, first
			if l.planned {
				home = l.node.region
			}
			if out[key] == nil {
				out[key] = make(map[descriptor.RegionID]int)
			}
			out[key][home]++
		}
	}
	return out
}
