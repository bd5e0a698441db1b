package planner

import (
	"slices"

	"persimmontrail/pkg/descriptor"
)

// kind is what decides on the workers that may run a group, but for its own failures.
type kind struct {
	service descriptor.ServiceID
	label   string
	// reserved groups must leave the kept racks alone.
	reserved bool
}

// candidates are the workers for one kind of group.
type candidates struct {
	sound []*worker
	// suspect workers are used when a group has waited for long.
	suspect []*worker
	// full are sizes of tasks for which no sound worker has room any more in this pass.
	full []descriptor.Capacity
}

func (p *pass) candidates(g group) *candidates {
	s := g.job.step(g.step)
	k := kind{g.job.record.Workload.Service, s.Label, !p.mayUseKept(g)}
	if c := p.fitting[k]; c != nil {
		return c
	}
	c := &candidates{}
	for _, w := range p.fleet {
		switch {
		case w.status.Service != k.service || s.Label != "" && !slices.Contains(w.status.Labels, s.Label):
		case k.reserved && p.urgentOnly[w]:
		case p.now.Before(w.quarantined) || p.now.Before(w.suspect):
			c.suspect = append(c.suspect, w)
		default:
			c.sound = append(c.sound, w)
		}
	}
	p.fitting[k] = c
	return c
}

// able returns the workers that may run the group, without suspect ones unless it has waited for long.
func (p *pass) able(g group) []*worker {
	c := p.candidates(g)
	sound, rest := c.sound, c.suspect
	if len(g.job.avoid) > 0 {
		failed := func(w *worker) bool { return g.job.avoid[avoidKey{g.step, w.life.Worker}] > 0 }
		sound = slices.DeleteFunc(slices.Clone(c.sound), failed)
		rest = slices.Concat(rest, slices.DeleteFunc(slices.Clone(c.sound), func(w *worker) bool { return !failed(w) }))
	}
	if len(rest) == 0 {
		return sound
	}
	if p.now.Sub(g.job.waitingSince) > patience {
		// The sound ones stay first, since searches keep the order among equals.
		return slices.Concat(sound, rest)
	}
	p.core.wakeAt(g.job.waitingSince.Add(patience))
	return sound
}

// hopelessSize reports whether an equal or smaller task found no room before in this pass.
func (c *candidates) hopelessSize(need descriptor.Capacity) bool {
	return slices.ContainsFunc(c.full, func(f descriptor.Capacity) bool {
		return need.Cores >= f.Cores && need.Memory >= f.Memory && need.Accelerators >= f.Accelerators
	})
}
