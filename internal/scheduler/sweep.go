package scheduler

import (
	"cmp"
	"fmt"
	"slices"

	"persimmontrail/pkg/descriptor"
)

// sweep drops expired state and ends jobs that the fleet can no longer run.
func (c *Core) sweep() {
	var expired []*worker
	c.fleet.eachWorker(func(w *worker) bool {
		if !w.up && c.now-w.removedAt >= workerRetention {
			expired = append(expired, w)
		}
		return true
	})
	for _, w := range expired {
		c.expireWorker(w)
	}
	for id, h := range c.savedHealth {
		if c.now-h.quarantineEnd >= 2*quarantineBackoffMax {
			delete(c.savedHealth, id)
		}
	}
	c.endUnschedulable()
}

// endUnschedulable ends waiting jobs whose gang has not fit the whole fleet for unschedulableTimeout.
func (c *Core) endUnschedulable() {
	reasons := make(map[*shapeState]string)
	for _, s := range c.shapeStates {
		reason := c.unschedulableReason(s)
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
		if reason := reasons[e.job.shapeState]; e.valid() && reason != "" {
			c.endJob(e.job, "can never run: "+reason)
		}
	}
}

// unschedulableReason is like fleetMisfit, but remembers that a resourceShape fits until the fleet changes.
func (c *Core) unschedulableReason(s *shapeState) string {
	if s.fitsFleetVersion == c.fleetVersion && c.fleetVersion > 0 {
		return ""
	}
	reason := c.fleetMisfit(s.resourceShape)
	if reason == "" {
		s.fitsFleetVersion = c.fleetVersion
	}
	return reason
}

// fleetMisfit returns why a gang fits neither the known workers, if all of them were up and idle, nor the expected
// fleet. It returns "" if the gang fits one of them, or if no worker is known or expected.
func (c *Core) fleetMisfit(k resourceShape) string {
	if len(c.fleet.workers) == 0 {
		if len(c.expectedFleet) == 0 || c.fitsExpectedFleet(k) {
			return ""
		}
		return describeMisfit(k, 0)
	}
	maxFit := 0
	level := k.level
	if k.need.accelerators == 0 {
		level = descriptor.LevelFailureDomain
	}
	total := 0
	for _, d := range c.fleet.domains {
		if k.region != "" && d.region != k.region {
			continue
		}
		for _, n := range unitsBelow(d, level) {
			fit := emptyFit(n, k.need)
			maxFit = max(maxFit, fit)
			total += fit
		}
	}
	if k.need.accelerators == 0 {
		maxFit = total
	}
	if maxFit >= k.tasks || c.fitsExpectedFleet(k) {
		return ""
	}
	return describeMisfit(k, maxFit)
}

func describeMisfit(k resourceShape, maxFit int) string {
	return fmt.Sprintf("%d tasks of %d accelerators, %g cores and %d MB each are needed in one %v and at most %d fit when all workers are up and empty",
		k.tasks, k.need.accelerators, float64(k.need.millicores)/1000, k.need.memory, k.level, maxFit)
}

// emptyFit returns how many tasks fit below n if all workers are up and idle.
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

// fitsExpectedFleet reports whether the accelerators of the gang fit the expected fleet. The configuration does not
// give the cores and memory of workers, so they count as sufficient if some known worker can hold a task or no worker
// is known. It returns false for a gang without accelerators, and ignores the region of the gang.
func (c *Core) fitsExpectedFleet(k resourceShape) bool {
	if k.need.accelerators == 0 || !c.someWorkerHoldsTask(k.need) {
		return false
	}
	fitByDomain := make(map[descriptor.FailureDomainID]int)
	for _, r := range c.expectedFleet {
		perWorker := int(int64(r.Accelerators) / k.need.accelerators)
		fitByDomain[r.FailureDomain] += perWorker * r.Workers * r.Racks
		switch {
		case k.level == descriptor.LevelWorker && perWorker >= k.tasks,
			k.level == descriptor.LevelRack && perWorker*r.Workers >= k.tasks,
			k.level == descriptor.LevelFailureDomain && fitByDomain[r.FailureDomain] >= k.tasks:
			return true
		}
	}
	return false
}

// someWorkerHoldsTask reports whether a known worker is large enough for one task, or no worker is known.
func (c *Core) someWorkerHoldsTask(need vector) bool {
	found := len(c.fleet.workers) == 0
	c.fleet.eachWorker(func(w *worker) bool {
		found = w.capacity.count(need) > 0
		return !found
	})
	return found
}

// localFleet returns the racks of the configured fleet that are in the region of the core.
func (c *Core) localFleet(cfg *descriptor.Configuration) []descriptor.RackSize {
	regions := make(map[descriptor.FailureDomainID]descriptor.RegionID)
	for _, d := range cfg.FailureDomains {
		regions[d.Name] = d.Region
	}
	return slices.DeleteFunc(slices.Clone(cfg.Fleet), func(r descriptor.RackSize) bool {
		return c.Region != "" && regions[r.FailureDomain] != c.Region
	})
}

// localShapes returns, for each workspace, the guaranteed shapes that this core honours. Each copy of a shape
// without a region is honoured by exactly one region. The cores of all regions compute the same assignment
// from the configuration alone.
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

// shapeIndex identifies a guaranteed shape by its indexes in the configuration.
type shapeIndex struct{ workspace, shape int }

// assignRegions plans all guarantees on the configured fleet, as if no failure domain were out. For each shape
// without a region, it returns the number of copies per region. Copies that do not fit are assigned to the region
// with the lowest name.
func assignRegions(cfg *descriptor.Configuration) map[shapeIndex]map[descriptor.RegionID]int {
	core := &Core{}
	regions := make(map[descriptor.FailureDomainID]descriptor.RegionID)
	firstRegion := descriptor.RegionID("")
	for _, d := range cfg.FailureDomains {
		regions[d.Name] = d.Region
		if firstRegion == "" || cmp.Less(d.Region, firstRegion) {
			firstRegion = d.Region
		}
	}
	// Configure reads the failure domains only to learn their regions, which a core of all regions ignores, and to
	// learn which are out. Without any of them, none is out.
	withoutDomains := *cfg
	withoutDomains.FailureDomains = nil
	when := toTime(1)
	core.Configure(&withoutDomains, when)
	for i, r := range cfg.Fleet {
		for k := range r.Racks * r.Workers {
			rack := descriptor.RackID(fmt.Sprintf("%d-%d", i, k/r.Workers))
			core.SetWorker(descriptor.Worker{
				ID: descriptor.WorkerID(fmt.Sprintf("%s-%d", rack, k)), Rack: rack, FailureDomain: r.FailureDomain,
				Region: regions[r.FailureDomain], Accelerators: r.Accelerators,
			}, when)
		}
	}
	core.ensurePlan()
	out := make(map[shapeIndex]map[descriptor.RegionID]int)
	for i, ws := range cfg.Workspaces {
		for _, l := range core.workspaces[ws.Name].cells {
			if l.region != "" {
				continue
			}
			key, region := shapeIndex{i, l.shapeIndex}, firstRegion
			if l.planned {
				region = l.node.region
			}
			if out[key] == nil {
				out[key] = make(map[descriptor.RegionID]int)
			}
			out[key][region]++
		}
	}
	return out
}
