package scheduler

import (
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

// SetReachable records whether a worker is reachable. An unreachable worker gets no new attempts, but its
// work still counts as running.
func (c *Core) SetReachable(id descriptor.WorkerID, reachable bool, now time.Time) {
	c.advanceTo(now)
	w := c.fleet.workers[id]
	if w == nil || w.unreachable != reachable {
		return
	}
	w.unreachable = !reachable
	c.updateSums(w)
	if reachable {
		c.capacityFreed()
	}
}

// RestoreJob is like Submit for a job that had attempts numbered up to last under an earlier scheduler. The next
// start gets the number after last, unless Adopt takes over an attempt of the job before.
func (c *Core) RestoreJob(job descriptor.Job, accepted time.Time, last descriptor.Attempt, now time.Time) error {
	if err := c.Submit(job, accepted, now); err != nil {
		return err
	}
	j := c.jobs[job.Key()]
	j.number = max(j.number, last)
	return nil
}

// GuaranteeRegions returns the regions that honour guarantees of the workspace, sorted by name.
func GuaranteeRegions(cfg *descriptor.Configuration, name descriptor.WorkspaceID) []descriptor.RegionID {
	i := slices.IndexFunc(cfg.Workspaces, func(w descriptor.Workspace) bool { return w.Name == name })
	if i < 0 {
		return nil
	}
	var regions []descriptor.RegionID
	assigned := assignRegions(cfg)
	for k, s := range cfg.Workspaces[i].Guarantees {
		if s.Region != "" {
			regions = append(regions, s.Region)
		}
		for region := range assigned[shapeIndex{i, k}] {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}
