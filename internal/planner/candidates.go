package planner

import (
	"slices"

	"persimmontrail/pkg/descriptor"
)

// candidateKey holds the properties of a group that determine its candidates. Failures of its step on single workers
// are not among them; eligible takes these into account.
type candidateKey struct {
	service descriptor.ServiceID
	label   string
	// unreservedOnly is true when the group may not use the reserved workers.
	unreservedOnly bool
}

// candidates are the workers that may run the groups with one candidateKey.
type candidates struct {
	healthy []*worker
	// suspect workers, including quarantined ones, are used only for groups whose workload has waited for longer than
	// suspectWait.
	suspect []*worker
	// unplaceableSizes are task sizes for which no healthy worker has room left in this pass.
	unplaceableSizes []descriptor.Capacity
}

// candidates returns the candidates for g, from the cache if possible.
func (p *pass) candidates(g group) *candidates {
	step := g.job.step(g.step)
	k := candidateKey{g.job.record.Workload.Service, step.Label, !p.mayUseReserved(g)}
	if c := p.candidateCache[k]; c != nil {
		return c
	}
	c := &candidates{}
	for _, w := range p.fleet {
		switch {
		case w.status.Service != k.service || step.Label != "" && !slices.Contains(w.status.Labels, step.Label):
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

// eligible returns the workers that may run the group. Suspect workers and those on which the step has failed are
// included only when the workload has waited for longer than suspectWait.
func (p *pass) eligible(g group) []*worker {
	c := p.candidates(g)
	healthy, fallback := c.healthy, c.suspect
	if len(g.job.failuresByWorker) > 0 {
		failed := func(w *worker) bool { return g.job.failuresByWorker[stepWorker{g.step, w.incarnation.Worker}] > 0 }
		healthy = slices.DeleteFunc(slices.Clone(c.healthy), failed)
		fallback = slices.Concat(fallback, slices.DeleteFunc(slices.Clone(c.healthy), func(w *worker) bool { return !failed(w) }))
	}
	if len(fallback) == 0 {
		return healthy
	}
	if p.now.Sub(g.job.waitingSince) > suspectWait {
		// Healthy workers come first, because searches prefer the earlier of equal workers.
		return slices.Concat(healthy, fallback)
	}
	p.core.planBy(g.job.waitingSince.Add(suspectWait))
	return healthy
}

// knownUnplaceable reports whether a task of the same or a smaller size found no room earlier in this pass.
func (c *candidates) knownUnplaceable(need descriptor.Capacity) bool {
	return slices.ContainsFunc(c.unplaceableSizes, func(f descriptor.Capacity) bool {
		return need.Cores >= f.Cores && need.Memory >= f.Memory && need.Accelerators >= f.Accelerators
	})
}
