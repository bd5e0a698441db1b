package planner

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

// victimWeightRatio is the factor between the preemption costs of two neighbouring priorities from 1 on. It is less
// than priorityValueRatio, since a stopped task is restarted and not lost.
const victimWeightRatio = 2

// urgentVictimWeight is the weight of urgent work beyond a guarantee; only guaranteed work may preempt it.
const urgentVictimWeight = 12

// maxWasteRatio is how many core-seconds a preemption beyond a guarantee may waste for each one that the urgent tasks
// take. At this ratio the users' cost of the wasted work is about the value that an urgent workload loses when it is
// late.
const maxWasteRatio = 4.0

// stopUnit is a set of attempts that a preemption stops together: a single task, or all members of a gang.
type stopUnit struct {
	attempts []*attempt
	// waste is the work in core-seconds that the stop loses.
	waste float64
	// cost is waste plus restartCost for each attempt, weighted by victimWeight.
	cost float64
}

// victims chooses units to stop so that n tasks fit into the pool, the cheapest first, and returns them with their
// total cost. It reports false when stopping all units that g may preempt would not make enough room.
func (p *pass) victims(g group, pool []*worker, need descriptor.Capacity, n int) ([]*stopUnit, float64, bool) {
	free := map[*worker]descriptor.Capacity{}
	for _, w := range pool {
		free[w] = p.room[w].Plus(p.releasing[w])
	}
	limit := perWorkerLimit(g.job.step(g.step))
	fits := func() bool {
		sum := 0
		for _, w := range pool {
			sum += free[w].CountFitting(need, min(n, limit))
		}
		return sum >= n
	}
	addFreed := func(u *stopUnit, sign int) {
		for _, r := range u.attempts {
			if f, ok := free[r.worker]; ok {
				free[r.worker] = f.Plus(r.need.Multiply(sign))
			}
		}
	}
	var chosen []*stopUnit
	for _, u := range p.stopUnits(g, pool) {
		if fits() {
			break
		}
		addFreed(u, 1)
		chosen = append(chosen, u)
	}
	if !fits() {
		return nil, 0, false
	}
	// Drop the units that are not needed after all, beginning with the most expensive.
	for i := len(chosen) - 1; i >= 0; i-- {
		addFreed(chosen[i], -1)
		if fits() {
			chosen = slices.Delete(chosen, i, i+1)
			continue
		}
		addFreed(chosen[i], 1)
	}
	cost := 0.0
	for _, u := range chosen {
		cost += u.cost
	}
	return chosen, cost, true
}

// stopUnits returns the units on the pool that g may preempt, the cheapest first: those of a higher, less urgent level
// than g that are not being stopped. Tasks of service steps with MayMiss are never preempted.
func (p *pass) stopUnits(g group, pool []*worker) []*stopUnit {
	var units []*stopUnit
	taken := map[*attempt]bool{}
	for _, w := range pool {
		for _, r := range w.attempts {
			if taken[r] || r.stopping || !r.current() || r.job.step(r.id.Task.Step).MayMiss > 0 {
				continue
			}
			if l := level(r.job, p.withinGuarantee); l > g.level {
				u := p.stopUnitOf(r)
				u.cost *= p.victimWeight(r.job, l)
				for _, m := range u.attempts {
					taken[m] = true
				}
				units = append(units, u)
			}
		}
	}
	slices.SortFunc(units, func(a, b *stopUnit) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), a.attempts[0].id.Task.Compare(b.attempts[0].id.Task))
	})
	return units
}

// restartCost is the cost in core-seconds of restarting a task, beyond the work that it loses.
const restartCost = 5

// worthPreempting reports whether n tasks of an urgent group may stop the victims. Guaranteed work always may.
// Other work may if its expectedLateness is not tooLate and the waste is at most maxWasteRatio times the work of these
// tasks.
func (p *pass) worthPreempting(g group, victims []*stopUnit, n int) bool {
	if g.level == levelGuaranteed {
		return true
	}
	if p.core.settling(p.now) {
		return false
	}
	if p.core.expectedLateness(g.job, g.occurrence, p.now) == tooLate {
		return false
	}
	waste := 0.0
	for _, u := range victims {
		waste += u.waste
	}
	step := g.job.step(g.step)
	return waste <= maxWasteRatio*float64(n)*step.Size.CoreSeconds(p.core.expectedRunTime(g.job, g.step))
}

// current reports whether r is the current attempt of its task. A gang member that has ended occupies room until its
// worker reports the end, but is not current.
func (r *attempt) current() bool { return r.job != nil && r.job.activeAttempts[r.id.Task] == r }

// victimWeight returns the factor on the cost of a victim by the urgency of its work. Urgent work is expensive, since
// most of it ends late once it has been stopped.
func (p *pass) victimWeight(j *job, victimLevel int) float64 {
	if victimLevel == levelUrgent {
		return urgentVictimWeight
	}
	w := float64(victimWeightRatio)
	for range j.record.Workload.Priority - 1 {
		w /= victimWeightRatio
	}
	return w
}

// stopUnitOf returns the unit of an attempt with its waste and its cost before the weighting.
func (p *pass) stopUnitOf(r *attempt) *stopUnit {
	u := &stopUnit{attempts: []*attempt{r}}
	id := r.id.Task
	if r.job.step(id.Step).Gang {
		u.attempts = nil
		for i := range r.job.tasks(id.Occurrence, id.Step) {
			id.Index = i
			if m := r.job.activeAttempts[id]; m != nil {
				u.attempts = append(u.attempts, m)
			}
		}
	}
	for _, m := range u.attempts {
		u.waste += m.need.CoreSeconds(m.timeLostByStop(p.core.Limits.RestoreTime, p.now))
	}
	u.cost = u.waste + restartCost*float64(len(u.attempts))
	return u
}

// preemptRetryInterval is the pause after a search that found no victims worth stopping. The set of attempts changes
// little in that time.
const preemptRetryInterval = 150 * time.Millisecond

// preemptForGang preempts in the pool where that costs least, and claims the room for the group. Away from the group's
// data the cost counts DistanceFactor times. After a search that found no victims worth stopping, it returns nil until
// preemptAfter.
func (p *pass) preemptForGang(g group, step *descriptor.Step, pools [][]*worker, need descriptor.Capacity, n int) []Order {
	if p.now.Before(g.job.preemptAfter) {
		return nil
	}
	var best []*stopUnit
	var bestPool []*worker
	bestCost := 0.0
	for _, pool := range pools {
		victims, cost, ok := p.victims(g, pool, need, n)
		if !ok {
			continue
		}
		if step.DataRack != "" && pool[0].status.Rack != step.DataRack {
			cost *= p.core.Limits.DistanceFactor
		}
		if bestPool == nil || cost < bestCost {
			best, bestPool, bestCost = victims, pool, cost
		}
	}
	if bestPool == nil || !p.worthPreempting(g, best, n) {
		g.job.preemptAfter = p.now.Add(preemptRetryInterval)
		p.core.planBy(g.job.preemptAfter)
		return nil
	}
	orders := p.preempt(g, best, bestCost)
	if ws := p.fill(g, step, bestPool, need, n, true); ws != nil {
		p.earmark(ws, need)
		p.addClaim(g, ws)
	}
	return orders
}

// preempt stops units and adds what they occupy to the capacity being released; the caller earmarks it.
func (p *pass) preempt(g group, units []*stopUnit, cost float64) []Order {
	var orders []Order
	for _, u := range units {
		for _, r := range u.attempts {
			orders = append(orders, p.core.orderStop(r, p.now, causePreempted, fmt.Sprintf("preempted by %s at level %d, cost %.1f core-seconds",
				g.job.id(), g.level, cost))...)
			if _, ok := p.releasing[r.worker]; ok {
				p.releasing[r.worker] = p.releasing[r.worker].Plus(r.need)
			}
		}
	}
	return orders
}
