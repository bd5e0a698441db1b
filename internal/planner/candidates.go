package planner

import (
	"slices"

	"persimmontrail/pkg/descriptor"
)

// candidateKey is what decides on the workers that may run a group, but for its own failures.
type candidateKey struct {
	service descriptor.ServiceID
	label   string
	// unreservedOnly groups must leave the kept racks alone.
	unreservedOnly bool
}

// candidates are the workers for one kind of group.
type candidates struct {
	healthy []*worker
	// suspect workers are used when a group has waited for long.
	suspect []*worker
	// unplaceableSizes are sizes of tasks for which no sound worker has room any more in this pass.
	unplaceableSizes []descriptor.Capacity
}

func (p *pass) candidates(g group) *candidates {
	s := g.job.step(g.step)
	k := candidateKey{g.job.record.Workload.Service, s.Label, !p.mayUseReserved(g)}
	if c := p.candidateCache[k]; c != nil {
		return c
	}
	c := &candidates{}
	for _, w := range p.fleet {
		switch {
		case w.status.Service != k.service || s.Label != "" && !slices.Contains(w.status.Labels, s.Label):
		case k.unreservedOnly && p.reservedWorkers[w]:
		case p.now.Before(w.quarantinedUntil) || p.now.Before(w.suspectUntil):
			c.suspect = append(c.suspect, w)
		default:
			c.healthy = append(c.healthy, w)
		}
	}
	p.candidateCache[k] = c
	return c
}

// eligible returns the workers that may run the group, without suspect ones unless it has waited for long.
func (p *pass) eligible(g group) []*worker {
	c := p.candidates(g)
	healthy, fallback := c.healthy, c.suspect
	if len(g.job.failedAttempts) > 0 {
		failed := func(w *worker) bool { return g.job.failedAttempts[stepWorker{g.step, w.incarnation.Worker}] > 0 }
		healthy = slices.DeleteFunc(slices.Clone(c.healthy), failed)
		fallback = slices.Concat(fallback, slices.DeleteFunc(slices.Clone(c.healthy), func(w *worker) bool { return !failed(w) }))
	}
	if len(fallback) == 0 {
		return healthy
	}
	if p.now.Sub(g.job.waitingSince) > suspectWait {
		// The sound ones stay first, since searches keep the order among equals.
		return slices.Concat(healthy, fallback)
	}
	p.core.planBy(g.job.waitingSince.Add(suspectWait))
	return healthy
}

// knownUnplaceable reports whether an equal or smaller task found no room before in this pass.
func (c *candidates) knownUnplaceable(need descriptor.Capacity) bool {
	return slices.ContainsFunc(c.unplaceableSizes, func(f descriptor.Capacity) bool {
		return need.Cores >= f.Cores && need.Memory >= f.Memory && need.Accelerators >= f.Accelerators
	})
}
