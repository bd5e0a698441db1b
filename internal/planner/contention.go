package planner

import (
	"math"
	"slices"

	"persimmontrail/internal/preempter"
)

const (
	// maxContenders is the number of gangs that are solved together at most.
	maxContenders = 8
	// maxContests is the number of times in one plan that gangs beyond a guarantee are solved.
	maxContests = 8
)

// contender is an urgent gang that finds no room, for which others may be preempted.
type contender struct {
	group    group
	demand   demand
	eligible []*worker
	// pools are the sets of workers on which the gang may be placed as a whole.
	pools [][]*worker
	// spread is true if the gang is to be spread over racks.
	spread bool
}

// contend adds a gang to the contenders of the pass, which are resolved together. A gang for which nothing was worth
// stopping a moment ago goes on without that.
func (p *pass) contend(c contender) []Order {
	if p.now.Before(c.group.job.preemptAfter) || !p.mayPreempt(c.group) {
		return p.withoutPreemption(c)
	}
	if c.group.level > levelGuaranteed && p.contests >= maxContests {
		// Those that were denied in this plan leave the next one to the others.
		p.core.planBy(p.now.Add(preemptRetryInterval))
		p.noteVainSearch(c.group, c.demand)
		return p.afterContest(c)
	}
	p.contenders = append(p.contenders, c)
	// Guaranteed gangs must not find their workers taken by the groups after them.
	if c.group.level == levelGuaranteed || len(p.contenders) >= maxContenders {
		return p.resolve()
	}
	return nil
}

// resolveBefore resolves the contenders unless g is of their level.
func (p *pass) resolveBefore(g group) []Order {
	if len(p.contenders) == 0 || p.contenders[0].group.level == g.level {
		return nil
	}
	return p.resolve()
}

// resolve chooses whom to stop for the contenders, and claims the room.
func (p *pass) resolve() []Order {
	contenders := p.contenders
	p.contenders = nil
	if len(contenders) == 0 {
		return nil
	}
	p.contests++
	contests := make([]contest, len(contenders))
	for i, c := range contenders {
		contests[i] = contest{c.group, len(c.group.indexes), c.pools}
	}
	var orders []Order
	for i, r := range p.chooseVictims(contests) {
		c := contenders[i]
		p.core.currentJob = c.group.job.id()
		if r.placement == nil {
			p.core.noteContention(contentionDenied)
			orders = append(orders, p.withoutPreemption(c)...)
			continue
		}
		p.core.logEvent("room found for urgent gang", c.group.job.id(), "step", c.group.step, "level", c.group.level,
			"tasks", len(c.group.indexes), "contenders", len(contenders), "stopped", len(r.units),
			"cost", math.Round(r.cost))
		orders = append(orders, p.take(c.group, r)...)
	}
	return orders
}

// Outcomes of a search for victims, as labels of the metric.
const (
	contentionPreempted = "Preempted"
	contentionDenied    = "Denied"
)

func (c *Core) noteContention(outcome string) {
	if c.Contended != nil {
		c.Contended(outcome)
	}
}

// take stops the units of a ruling and claims the room for the group.
func (p *pass) take(g group, r ruling) []Order {
	p.core.noteContention(contentionPreempted)
	orders := p.preempt(g, r.units, r.cost)
	p.earmark(r.placement, g.job.step(g.step).Need())
	p.addClaim(g, r.placement)
	return orders
}

// withoutPreemption goes on with a gang for which nothing is worth stopping. The set of attempts changes little within
// preemptRetryInterval.
func (p *pass) withoutPreemption(c contender) []Order {
	if !p.now.Before(c.group.job.preemptAfter) {
		c.group.job.preemptAfter = p.now.Add(preemptRetryInterval)
	}
	p.core.planBy(c.group.job.preemptAfter)
	p.noteVainSearch(c.group, c.demand)
	return p.afterContest(c)
}

// afterContest spreads a gang for which nobody is stopped, if that was not tried before.
func (p *pass) afterContest(c contender) []Order {
	if c.spread {
		return nil
	}
	return p.placeSpread(c.group, c.demand, c.eligible, true, false)
}

// mayPreempt reports whether others may be stopped for a group: for guaranteed work always, for other work if its
// expectedLateness is not tooLate and the fleet has reported.
func (p *pass) mayPreempt(g group) bool {
	if g.level == levelGuaranteed {
		return true
	}
	return !p.core.settling(p.now) && p.core.expectedLateness(g.job, g.occurrence, p.now) != tooLate
}

// maxWaste returns the most core-seconds that may be wasted for n tasks of a group beyond a guarantee.
func (p *pass) maxWaste(g group, n int) float64 {
	return maxWasteRatio * float64(n) * g.job.step(g.step).Size.CoreSeconds(p.core.expectedRunTime(g.job, g.step))
}

// contest is a search for victims for n tasks of a group.
type contest struct {
	group group
	n     int
	pools [][]*worker
}

// ruling is the result of a contest. Its placement is nil if nothing is worth stopping.
type ruling struct {
	units     []*stopUnit
	placement placement
	cost      float64
}

// chooseVictims solves contests of one level together.
func (p *pass) chooseVictims(contests []contest) []ruling {
	workers := make([]preempter.Worker, len(p.fleet))
	if p.fleetIndex == nil {
		p.fleetIndex = make(map[*worker]int, len(p.fleet))
		for i, w := range p.fleet {
			p.fleetIndex[w] = i
		}
	}
	inPool := make([]bool, len(p.fleet))
	demands := make([]preempter.Demand, len(contests))
	for i, c := range contests {
		demands[i] = p.preempterDemand(c, inPool)
	}
	var pool []*worker
	for i, w := range p.fleet {
		workers[i].Free = p.room[w].Plus(p.releasing[w])
		if inPool[i] {
			pool = append(pool, w)
		}
	}
	stopUnits := p.stopUnits(contests[0].group.level, pool)
	units := make([]preempter.Unit, len(stopUnits))
	for i, u := range stopUnits {
		units[i] = p.preempterUnit(u)
	}
	rulings := make([]ruling, len(contests))
	for i, choice := range preempter.Choose(workers, units, demands) {
		r := ruling{cost: choice.Cost}
		for _, w := range choice.Workers {
			r.placement = append(r.placement, p.fleet[w])
		}
		for _, u := range choice.Stop {
			r.units = append(r.units, stopUnits[u])
		}
		rulings[i] = r
	}
	return rulings
}

// preempterDemand translates a contest, and marks the workers of its pools in inPool.
func (p *pass) preempterDemand(c contest, inPool []bool) preempter.Demand {
	step := c.group.job.step(c.group.step)
	d := preempter.Demand{
		Count: c.n, Need: step.Need(), PerWorker: step.MaxPerWorker, Level: c.group.level,
		Guaranteed: c.group.level == levelGuaranteed, MaxWaste: p.maxWaste(c.group, c.n),
	}
	for _, pool := range c.pools {
		if len(pool) == 0 {
			continue
		}
		converted := preempter.Pool{CostFactor: 1}
		if step.Gang && step.DataRack != "" && pool[0].status.Rack != step.DataRack {
			converted.CostFactor = p.core.Limits.DistanceFactor
		}
		for _, w := range p.withoutTrials(c.group, pool) {
			i := p.fleetIndex[w]
			inPool[i] = true
			converted.Workers = append(converted.Workers, i)
		}
		if len(converted.Workers) > 0 {
			d.Pools = append(d.Pools, converted)
		}
	}
	return d
}

// preempterUnit translates a unit, without the members on workers that are not in the fleet.
func (p *pass) preempterUnit(u *stopUnit) preempter.Unit {
	unit := preempter.Unit{
		Level: u.level, Protected: u.interruptions >= maxInterruptions, Cost: u.cost, Waste: u.waste,
	}
	for _, r := range u.attempts {
		w, ok := p.fleetIndex[r.worker]
		if !ok {
			continue
		}
		if i := slices.IndexFunc(unit.Members, func(m preempter.Member) bool { return m.Worker == w }); i >= 0 {
			unit.Members[i].Need = unit.Members[i].Need.Plus(r.need)
			continue
		}
		unit.Members = append(unit.Members, preempter.Member{Worker: w, Need: r.need})
	}
	return unit
}

// cheapestVictim returns the ruling for one task of a group on the workers of a pool.
func (p *pass) cheapestVictim(g group, pool []*worker) ruling {
	if len(pool) == 0 || !p.mayPreempt(g) {
		return ruling{}
	}
	return p.chooseVictims([]contest{{g, 1, [][]*worker{pool}}})[0]
}
