package planner

import (
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

// claimMargin is the time beyond StopGrace for which a claim stays valid after the last preemption for it.
const claimMargin = 1200 * time.Millisecond

// claim is the room for which a group has preempted others. Without it, other groups would take the room while the
// last victims are still stopping, and the group would have to preempt more elsewhere.
type claim struct {
	occurrence int
	step       int
	// workers has one entry for each task that has claimed room, so a worker may appear several times.
	workers   []*worker
	expiresAt time.Time
}

// validClaim returns the workload's claim if it belongs to step s of occurrence k and has not expired, or else nil.
func (j *job) validClaim(k, s int, now time.Time) *claim {
	if c := j.claim; c != nil && c.occurrence == k && c.step == s && now.Before(c.expiresAt) {
		return c
	}
	return nil
}

// addClaim adds room for one task on each of the workers to the claim of a group, and extends the claim to StopGrace
// and claimMargin from now. A claim that has expired or belongs to another step is replaced.
func (p *pass) addClaim(g group, ws placement) {
	c := g.job.validClaim(g.occurrence, g.step, p.now)
	if c == nil {
		c = &claim{occurrence: g.occurrence, step: g.step}
		g.job.claim = c
	}
	c.workers = append(c.workers, ws...)
	c.expiresAt = p.now.Add(p.core.Limits.StopGrace + claimMargin)
}

// placeClaimed starts a group on the workers that it has claimed. A gang starts as a whole; of independent tasks, those
// that fit start. For the others it earmarks room that is still being released. It reports false when a gang no longer
// fits there, or when none of the workers is eligible any more.
func (p *pass) placeClaimed(g group, eligible []*worker) ([]Order, bool) {
	pool := slices.DeleteFunc(slices.Clone(eligible), func(w *worker) bool { return !slices.Contains(g.claim.workers, w) })
	step := g.job.step(g.step)
	need := step.Need()
	if step.Gang {
		return p.placeClaimedGang(g, step, pool, need)
	}
	indexes := g.indexes
	var orders []Order
	for len(indexes) > 0 {
		w := p.bestFit(g, step, pool, need)
		if w == nil {
			break
		}
		orders = append(orders, p.startTasks(g, indexes[:1], placement{w}, "claimed room free")...)
		indexes = indexes[1:]
	}
	for range indexes {
		for _, w := range pool {
			if p.room[w].Plus(p.releasing[w]).Fits(need) {
				p.room[w] = p.room[w].Minus(need)
				break
			}
		}
	}
	if len(indexes) == 0 {
		g.job.claim = nil
	}
	return orders, len(orders) > 0 || len(pool) > 0
}

// placeClaimedGang is placeClaimed for a gang: it starts all members if they fit now, or earmarks room for all of them
// if they fit once the victims have stopped, or else reports false.
func (p *pass) placeClaimedGang(g group, step *descriptor.Step, pool []*worker, need descriptor.Capacity) ([]Order, bool) {
	if ws := p.fill(g, step, pool, need, len(g.indexes), false); ws != nil {
		g.job.claim = nil
		return p.startTasks(g, g.indexes, ws, "claimed room free"), true
	}
	if ws := p.fill(g, step, pool, need, len(g.indexes), true); ws != nil {
		p.earmark(ws, need)
		return nil, true
	}
	return nil, false
}
