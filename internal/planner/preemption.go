package planner

import (
	"fmt"
	"math"
	"slices"
	"time"
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

// maxInterruptions is how often a task may have been interrupted and still be preempted for work beyond a guarantee.
const maxInterruptions = 3

// stopUnit is a set of attempts that a preemption stops together: a single task, or all members of a gang.
type stopUnit struct {
	attempts []*attempt
	// level is the urgency level of its work.
	level int
	// interruptions is how often its work was stopped or lost before without having failed.
	interruptions int
	// waste is the work in core-seconds that the stop loses.
	waste float64
	// cost is waste plus restartCost for each attempt, weighted by victimWeight and doubled for each interruption.
	cost float64
}

// stopUnits returns the units on the pool that groups of a level may preempt, sorted by task: those of a higher, less
// urgent level that are not being stopped. Tasks of service steps with MayMiss are never preempted.
func (p *pass) stopUnits(groupLevel int, pool []*worker) []*stopUnit {
	var units []*stopUnit
	taken := map[*attempt]bool{}
	for _, w := range pool {
		for _, r := range w.attempts {
			if taken[r] || r.stopping || !r.current() || r.job.step(r.id.Task.Step).MayMiss > 0 {
				continue
			}
			if level(r.job, p.withinGuarantee) > groupLevel {
				u := p.stopUnitOf(r)
				for _, m := range u.attempts {
					taken[m] = true
				}
				units = append(units, u)
			}
		}
	}
	slices.SortFunc(units, func(a, b *stopUnit) int { return a.attempts[0].id.Task.Compare(b.attempts[0].id.Task) })
	return units
}

// restartCost is the cost in core-seconds of restarting a task, beyond the work that it loses.
const restartCost = 5

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

// stopUnitOf returns the unit of an attempt with its waste and its cost.
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
		u.interruptions = max(u.interruptions, m.interruptions())
	}
	u.level = level(r.job, p.withinGuarantee)
	u.cost = (u.waste + restartCost*float64(len(u.attempts))) * p.victimWeight(r.job, u.level)
	u.cost = math.Ldexp(u.cost, min(u.interruptions, maxInterruptions))
	return u
}

// interruptions returns how many earlier attempts of the task ended without success although none of them failed. It
// follows from what is stored with each placement, so that a new leader knows it.
func (r *attempt) interruptions() int {
	return max(0, r.id.Attempt-1-r.job.task(r.id.Task).FailedAttempts)
}

// preemptRetryInterval is the pause after a search that found no victims worth stopping. The set of attempts changes
// little in that time.
const preemptRetryInterval = 150 * time.Millisecond

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
