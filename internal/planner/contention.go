package planner

import (
	"math"
	"slices"
	"time"

	"persimmontrail/internal/preempter"
)

// maxContenders is the number of gangs that are solved together at most.
const maxContenders = 8

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
	p.contenders = append(p.contenders, c)
	if len(p.contenders) >= maxContenders {
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

// resolve chooses whom to stop for the contenders, and whom to wait for, and claims the room.
func (p *pass) resolve() []Order {
	contenders := p.contenders
	p.contenders = nil
	if len(contenders) == 0 {
		return nil
	}
	demands := make([]contest, len(contenders))
	for i, c := range contenders {
		demands[i] = contest{c.group, len(c.group.indexes), c.pools}
	}
	var orders []Order
	for i, r := range p.chooseVictims(demands) {
		c := contenders[i]
		p.core.currentJob = c.group.job.id()
		if r.placement == nil {
			p.core.noteContention(contentionDenied)
			orders = append(orders, p.withoutPreemption(c)...)
			continue
		}
		p.core.logEvent("room found for urgent gang", c.group.job.id(), "step", c.group.step, "level", c.group.level,
			"tasks", len(c.group.indexes), "contenders", len(contenders), "stopped", len(r.units), "awaited", len(r.awaited),
			"cost", math.Round(r.cost))
		orders = append(orders, p.take(c.group, r)...)
	}
	return orders
}

// Outcomes of a search for victims, as labels of the metric.
const (
	contentionPreempted = "Preempted"
	contentionAwaited   = "Awaited"
	contentionDenied    = "Denied"
)

func (c *Core) noteContention(outcome string) {
	if c.Contended != nil {
		c.Contended(outcome)
	}
}

// take stops the units of a ruling and claims the room for the group.
func (p *pass) take(g group, r ruling) []Order {
	if len(r.units) > 0 {
		p.core.noteContention(contentionPreempted)
	} else {
		p.core.noteContention(contentionAwaited)
	}
	orders := p.preempt(g, r.units, r.cost)
	p.earmark(r.placement, g.job.step(g.step).Need())
	p.addClaim(g, r.placement)
	awaitedUntil := p.now.Add(p.maxForecast(g))
	for _, u := range r.awaited {
		for _, a := range u.attempts {
			a.awaitedUntil = awaitedUntil
		}
		g.job.claim.awaited = append(g.job.claim.awaited, u.attempts...)
		p.countAwaited(u.attempts)
	}
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
	if c.spread {
		return nil
	}
	return p.placeSpread(c.group, c.demand, c.eligible, true, false)
}

// mayPreempt reports whether others may be stopped for a group: for guaranteed work always, for other work if its
// expectedLateness is not tooLate.
func (p *pass) mayPreempt(g group) bool {
	return g.level == levelGuaranteed || p.core.expectedLateness(g.job, g.occurrence, p.now) != tooLate
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
	awaited   []*stopUnit
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
		for _, u := range choice.Await {
			r.awaited = append(r.awaited, stopUnits[u])
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
		Guaranteed: c.group.level == levelGuaranteed, MaxWaste: p.maxWaste(c.group, c.n), MaxWait: p.maxForecast(c.group),
	}
	for _, pool := range c.pools {
		if len(pool) == 0 {
			continue
		}
		converted := preempter.Pool{CostFactor: 1}
		if step.Gang && step.DataRack != "" && pool[0].status.Rack != step.DataRack {
			converted.CostFactor = p.core.Limits.DistanceFactor
		}
		for _, w := range pool {
			i := p.fleetIndex[w]
			inPool[i] = true
			converted.Workers = append(converted.Workers, i)
		}
		d.Pools = append(d.Pools, converted)
	}
	return d
}

// preempterUnit translates a unit, without the members on workers that are not in the fleet.
func (p *pass) preempterUnit(u *stopUnit) preempter.Unit {
	unit := preempter.Unit{
		Level: u.level, Protected: u.interruptions >= maxInterruptions, Cost: u.cost, Waste: u.waste, EndsIn: p.endsIn(u),
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

// endsIn returns the time until the last attempt of a unit is expected to end, or 0 if that is not known: the progress
// of an attempt that runs longer than was expected must show it. A unit that was awaited in vain is not awaited again.
func (p *pass) endsIn(u *stopUnit) time.Duration {
	var longest time.Duration
	for _, r := range u.attempts {
		remaining := p.core.remainingRunTime(r, p.now)
		if !r.awaitedUntil.IsZero() || r.job.step(r.id.Task.Step).Service || remaining <= 0 && r.percent <= minProjectionPercent {
			return 0
		}
		longest = max(longest, remaining, time.Millisecond)
	}
	return longest
}

// countAwaited counts the room of attempts for which a claim waits as being released.
func (p *pass) countAwaited(attempts []*attempt) {
	for _, r := range attempts {
		_, usable := p.releasing[r.worker]
		if !usable || p.awaited[r] || r.stopping || r.worker.attempts[r.id] != r || !p.now.Before(r.awaitedUntil) {
			continue
		}
		p.core.planBy(r.awaitedUntil)
		if p.awaited == nil {
			p.awaited = map[*attempt]bool{}
		}
		p.awaited[r] = true
		p.releasing[r.worker] = p.releasing[r.worker].Plus(r.need)
	}
}

// countAllAwaited counts the room for which the valid claims wait.
func (p *pass) countAllAwaited() {
	for _, j := range p.core.activeJobs {
		if c := j.claim; c != nil && p.now.Before(c.expiresAt) {
			p.countAwaited(c.awaited)
		}
	}
}

// cheapestVictim returns the ruling for one task of a group on the workers of a pool.
func (p *pass) cheapestVictim(g group, pool []*worker) ruling {
	if len(pool) == 0 || !p.mayPreempt(g) {
		return ruling{}
	}
	return p.chooseVictims([]contest{{g, 1, [][]*worker{pool}}})[0]
}
