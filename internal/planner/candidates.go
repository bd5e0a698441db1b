package planner

import (
	"slices"

	"persimmontrail/internal/assessor"
	"persimmontrail/pkg/descriptor"
)

// candidateKey holds the properties of a group that determine its candidates. Failures of its tasks on single workers
// are not among them; withoutFailed takes these into account.
type candidateKey struct {
	service descriptor.ServiceID
	label   string
	// unreservedOnly is true when the group may not use the reserved workers.
	unreservedOnly bool
}

// candidates are the workers that may run the groups with one candidateKey.
type candidates struct {
	healthy []*worker
	// probation and avoided workers are used only for groups whose workload has waited for longer than suspectWait; the
	// latter only as long as mayReturn allows it.
	probation []*worker
	avoided   []*worker
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
		case p.health[w] == assessor.Probation:
			c.probation = append(c.probation, w)
		case p.health[w] == assessor.Avoided:
			c.avoided = append(c.avoided, w)
		default:
			c.healthy = append(c.healthy, w)
		}
	}
	p.candidateCache[k] = c
	return c
}

// eligible returns the workers that may run the group. Workers on probation are included only when the workload has
// waited for longer than suspectWait, avoided workers and those on which a gang has failed only if it may return to them.
// Guaranteed work must begin soon, so it may use avoided workers as well. Healthy workers come first, because searches
// prefer the earlier of equal workers.
func (p *pass) eligible(g group) []*worker {
	c := p.candidates(g)
	workers := c.healthy
	if len(c.probation)+len(c.avoided) > 0 {
		if p.now.Sub(g.job.waitingSince) > suspectWait {
			workers = slices.Concat(c.healthy, c.probation)
		} else {
			p.core.planBy(g.job.waitingSince.Add(suspectWait))
		}
	}
	n := 1
	if g.job.step(g.step).Gang {
		n = len(g.indexes)
	}
	if len(c.avoided) > 0 && p.now.Sub(g.job.waitingSince) > suspectWait && (g.level == levelGuaranteed || p.mayReturn(g, workers, n)) {
		workers = slices.Concat(workers, c.avoided)
	}
	if g.job.step(g.step).Gang {
		workers = p.withoutFailed(g, 0, workers)
	}
	return workers
}

// knownUnplaceable reports whether a task of the same or a smaller size found no room earlier in this pass.
func (c *candidates) knownUnplaceable(need descriptor.Capacity) bool {
	return slices.ContainsFunc(c.unplaceableSizes, func(f descriptor.Capacity) bool {
		return need.Cores >= f.Cores && need.Memory >= f.Memory && need.Accelerators >= f.Accelerators
	})
}
