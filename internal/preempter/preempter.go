// Package preempter chooses which running work to stop so that work without room can start.
//
// A unit is a set of running members, on one worker or several, that are stopped together. A demand asks for room for a
// number of equal tasks on the workers of one pool out of several. Choose solves several demands together. It holds no
// state and does no I/O, and equal inputs give equal results.
package preempter

import (
	"cmp"
	"math"
	"slices"

	"persimmontrail/pkg/descriptor"
)

const (
	// maxOrders bounds the orders in which the demands are tried.
	maxOrders = 4
	// maxShared bounds the units that are tried as the first to be stopped for several demands together.
	maxShared = 4
	// maxEvaluations bounds the sets of multi-worker units that are evaluated for one demand and pool.
	maxEvaluations = 64
	// maxSteps bounds the product of these evaluations, the workers of the pool and the tasks of the demand. A demand for
	// which a single evaluation exceeds it takes the cheapest units first.
	maxSteps = 60_000
	// maxStates bounds the sums of freed capacity that are tracked for one worker.
	maxStates = 32
	// maxOwnUnits bounds the single-worker units of one worker that are considered, the cheapest first.
	maxOwnUnits = 64
)

// maxWork bounds the work, in sets of one worker's units and in steps over a worker, after which no further variant is
// tried for several demands.
const maxWork = 10_000

// Worker is a worker with the capacity that is free on it. A negative capacity is promised to others.
type Worker struct {
	Free descriptor.Capacity
}

// Member is a running part of a unit.
type Member struct {
	// Worker is the index of the worker that it runs on.
	Worker int
	// Need is the capacity that it occupies.
	Need descriptor.Capacity
}

// Unit is running work that is stopped as a whole.
type Unit struct {
	// Members are the parts of the unit, at most one for each worker.
	Members []Member
	// Level is the urgency level; only demands of a lower, more urgent level may stop the unit.
	Level int
	// Protected units may be stopped only by demands that are Guaranteed.
	Protected bool
	// Cost is what a stop costs; it is at least 0.
	Cost float64
	// Waste is the part of the cost that counts against MaxWaste of a demand.
	Waste float64
}

// Pool is a set of workers on which a demand may be placed as a whole.
type Pool struct {
	// Workers are indexes of workers, the preferred ones first.
	Workers []int
	// CostFactor multiplies the cost when pools are compared; 0 means 1.
	CostFactor float64
}

// Demand is a group of equal tasks that needs room.
type Demand struct {
	Count int
	Need  descriptor.Capacity
	// PerWorker is the most tasks that one worker may take; 0 means no limit.
	PerWorker int
	Pools     []Pool
	Level     int
	// Guaranteed demands come before all others, may stop Protected units and have no MaxWaste.
	Guaranteed bool
	// MaxWaste bounds the waste of the units that are stopped for the demand.
	MaxWaste float64
}

// Choice is the result for one demand.
type Choice struct {
	// Served is true if the demand gets room; otherwise the other fields are empty.
	Served bool
	// Stop holds the indexes of the units to stop, sorted.
	Stop []int
	// Workers has the worker of each task.
	Workers []int
	// Cost is the sum of the costs of Stop.
	Cost float64
}

// Choose returns a choice for each demand. Demands must be sorted by importance, with the guaranteed ones first. A unit
// is stopped for at most one demand; the room that is left of it serves the demands that are placed after.
func Choose(workers []Worker, units []Unit, demands []Demand) []Choice {
	return newScene(workers, units).choose(demands)
}

// choose tries the variants of solving the demands.
func (sc *scene) choose(demands []Demand) []Choice {
	given := variant{order: identity(len(demands)), first: noUnit, solver: solve}
	best := sc.chooseInOrder(demands, given)
	if len(demands) < 2 {
		return best
	}
	try := func(v variant) {
		if sc.work > maxWork {
			return
		}
		if choices := sc.chooseInOrder(demands, v); better(demands, choices, best) {
			best = choices
		}
	}
	// The earlier algorithm is cheap and goes first, so that the result is never worse than that.
	try(variant{order: given.order, first: noUnit, solver: solveCheapestFirst})
	for _, order := range orders(demands) {
		try(variant{order: order, first: noUnit, solver: solve})
		try(variant{order: order, first: noUnit, solver: solve, narrowFirst: true})
	}
	for _, u := range sharedUnits(sc.units, demands) {
		try(variant{order: given.order, first: u, solver: solve})
	}
	return best
}

// variant is one way to solve several demands one after the other.
type variant struct {
	// order holds the indexes of the demands.
	order []int
	// first is a unit that is stopped for the first demand before that is solved, or noUnit.
	first  int
	solver func(*problem) (solution, bool)
	// narrowFirst places tasks on the workers with room for the fewest of them first, and not on those with room for the
	// most.
	narrowFirst bool
}

// noUnit stands for no unit.
const noUnit = -1

// sharedUnits returns the units that span workers and that each demand may stop, the cheapest first, at most maxShared.
// The room of one may serve several demands, although it is the cheapest for none of them alone.
func sharedUnits(units []Unit, demands []Demand) []int {
	var shared []int
	for i, u := range units {
		if len(u.Members) > 1 && !slices.ContainsFunc(demands, func(d Demand) bool { return !mayStop(&d, &u) }) {
			shared = append(shared, i)
		}
	}
	slices.SortFunc(shared, func(a, b int) int { return cmp.Or(cmp.Compare(units[a].Cost, units[b].Cost), cmp.Compare(a, b)) })
	return shared[:min(len(shared), maxShared)]
}

// mayStop reports whether a demand may stop a unit.
func mayStop(d *Demand, u *Unit) bool { return u.Level > d.Level && (!u.Protected || d.Guaranteed) }

// orders returns the orders in which the demands are tried: the given one, and those with one of them moved to the front
// of its level.
func orders(demands []Demand) [][]int {
	given := identity(len(demands))
	result := [][]int{given}
	for i := 1; i < len(demands) && len(result) < maxOrders; i++ {
		front := slices.IndexFunc(demands, func(d Demand) bool { return d.Guaranteed == demands[i].Guaranteed })
		if front == i {
			continue
		}
		order := slices.Delete(slices.Clone(given), i, i+1)
		result = append(result, slices.Insert(order, front, i))
	}
	return result
}

func identity(n int) []int {
	indexes := make([]int, n)
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// better reports whether a serves more guaranteed demands than b, or as many of these and more of the others, or equal
// numbers at a lower cost.
func better(demands []Demand, a, b []Choice) bool {
	rate := func(choices []Choice) (guaranteed, served int, cost float64) {
		for i, c := range choices {
			if c.Served && demands[i].Guaranteed {
				guaranteed++
			}
			if c.Served {
				served++
			}
			cost += c.Cost
		}
		return guaranteed, served, cost
	}
	guaranteedA, servedA, costA := rate(a)
	guaranteedB, servedB, costB := rate(b)
	return cmp.Or(cmp.Compare(guaranteedA, guaranteedB), cmp.Compare(servedA, servedB), cmp.Compare(costB, costA)) > 0
}

// scene holds what stays the same while the variants are tried.
type scene struct {
	workers []Worker
	units   []Unit
	// unitsOn holds, for each worker, the units with a member there, the cheapest first.
	unitsOn [][]int
	// tables caches the ways to make room on single workers.
	tables map[tableKey]table
	// work counts what was done, for maxWork.
	work int
}

func newScene(workers []Worker, units []Unit) *scene {
	sc := &scene{workers: workers, units: units, unitsOn: make([][]int, len(workers)), tables: map[tableKey]table{}}
	for i, u := range units {
		for _, m := range u.Members {
			sc.unitsOn[m.Worker] = append(sc.unitsOn[m.Worker], i)
		}
	}
	for _, on := range sc.unitsOn {
		slices.SortFunc(on, sc.byCost)
	}
	return sc
}

func (sc *scene) byCost(a, b int) int {
	return cmp.Or(cmp.Compare(sc.units[a].Cost, sc.units[b].Cost), cmp.Compare(a, b))
}

// problem is the search for one demand on one pool.
type problem struct {
	scene  *scene
	demand *Demand
	units  []Unit
	// workers are the indexes of the workers of the pool.
	workers []int
	// free holds the free capacity of all workers.
	free []descriptor.Capacity
	// own holds, for each worker of the pool, the units that run on it alone, the cheapest first; ownKey identifies them.
	own    map[int][]int
	ownKey map[int]uint64
	// wide holds the units that span workers and of which a member is in the pool, the cheapest first.
	wide []int
	// rest holds the units beyond maxOwnUnits of a worker, which only solveCheapestFirst stops.
	rest []int
}

// solution is a set of units to stop for one demand, with its cost.
type solution struct {
	stop []int
	cost float64
}

// chooseInOrder solves the demands one after the other. What one takes or frees counts for those after it.
func (sc *scene) chooseInOrder(demands []Demand, v variant) []Choice {
	s := state{
		scene: sc, free: make([]descriptor.Capacity, len(sc.workers)), units: sc.units, spent: make([]bool, len(sc.units)), variant: v,
	}
	for i, w := range sc.workers {
		s.free[i] = w.Free
	}
	choices := make([]Choice, len(demands))
	if v.first != noUnit {
		s.release(v.first)
		s.first = []int{v.first}
	}
	for _, i := range v.order {
		choices[i] = s.choose(&demands[i])
	}
	return choices
}

// state is what is left to assign while the demands are solved.
type state struct {
	scene *scene
	free  []descriptor.Capacity
	units []Unit
	// spent marks the units that are to be stopped.
	spent   []bool
	variant variant
	// first holds units that are stopped already, on behalf of the next demand that is served.
	first []int
}

// choose serves one demand on the pool where that costs least, if it may cost so much.
func (s *state) choose(d *Demand) Choice {
	var best *problem
	var bestSolution solution
	bestCost := math.Inf(1)
	for _, pool := range d.Pools {
		p := s.newProblem(d, pool.Workers)
		found, ok := s.variant.solver(p)
		for _, u := range s.first {
			found.stop = append(found.stop, u)
			found.cost += s.units[u].Cost
		}
		if !ok || !s.mayWaste(d, found.stop) {
			continue
		}
		if cost := found.cost * cmp.Or(pool.CostFactor, 1); best == nil || cost < bestCost {
			best, bestSolution, bestCost = p, found, cost
		}
	}
	if best == nil {
		return Choice{}
	}
	return s.commit(best, bestSolution)
}

func (s *state) mayWaste(d *Demand, stop []int) bool {
	if d.Guaranteed {
		return true
	}
	waste := 0.0
	for _, u := range stop {
		waste += s.units[u].Waste
	}
	return waste <= d.MaxWaste
}

func (s *state) newProblem(d *Demand, pool []int) *problem {
	p := &problem{
		scene: s.scene, demand: d, units: s.units, workers: pool, free: slices.Clone(s.free),
		own: make(map[int][]int, len(pool)), ownKey: make(map[int]uint64, len(pool)),
	}
	s.scene.work += len(s.free) / 8
	for _, w := range pool {
		for x, i := range s.scene.unitsOn[w] {
			u := &s.units[i]
			switch {
			case s.spent[i]:
			case !mayStop(d, u):
			case len(u.Members) > 1:
				p.wide = append(p.wide, i)
			case x < maxOwnUnits:
				p.own[w] = append(p.own[w], i)
				p.ownKey[w] |= 1 << x
			default:
				p.rest = append(p.rest, i)
			}
		}
	}
	slices.SortFunc(p.wide, s.scene.byCost)
	p.wide = slices.Compact(p.wide)
	return p
}

// commit takes the room of a solution, places the tasks and returns the choice.
func (s *state) commit(p *problem, found solution) Choice {
	c := Choice{Served: true, Stop: slices.Sorted(slices.Values(found.stop)), Cost: found.cost}
	s.first = nil
	for _, u := range c.Stop {
		if s.spent[u] {
			continue
		}
		s.release(u)
		for _, m := range s.units[u].Members {
			p.free[m.Worker] = p.free[m.Worker].Plus(m.Need)
		}
	}
	c.Workers = p.place(s.variant.narrowFirst)
	for _, w := range c.Workers {
		s.free[w] = s.free[w].Minus(p.demand.Need)
	}
	return c
}

// release marks a unit as spent and adds its capacity to what is free.
func (s *state) release(u int) {
	s.spent[u] = true
	for _, m := range s.units[u].Members {
		s.free[m.Worker] = s.free[m.Worker].Plus(m.Need)
	}
}

// limit returns the most tasks that one worker may take.
func (p *problem) limit() int {
	if p.demand.PerWorker > 0 {
		return min(p.demand.PerWorker, p.demand.Count)
	}
	return p.demand.Count
}

// place returns a worker for each task. The tasks must fit. They go to as few workers as possible or, with narrowFirst, to
// those with the least room.
func (p *problem) place(narrowFirst bool) []int {
	type space struct{ worker, fitting int }
	spaces := make([]space, 0, len(p.workers))
	for _, w := range p.workers {
		if k := p.free[w].CountFitting(p.demand.Need, p.limit()); k > 0 {
			spaces = append(spaces, space{w, k})
		}
	}
	slices.SortStableFunc(spaces, func(a, b space) int {
		if narrowFirst {
			return cmp.Compare(a.fitting, b.fitting)
		}
		return cmp.Compare(b.fitting, a.fitting)
	})
	var placed []int
	for _, sp := range spaces {
		for range min(sp.fitting, p.demand.Count-len(placed)) {
			placed = append(placed, sp.worker)
		}
	}
	return placed
}
