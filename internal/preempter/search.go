package preempter

import (
	"math"
	"slices"

	"persimmontrail/pkg/descriptor"
)

// maxTriedWide is the number of units that span workers from which not all sets of them can be tried.
const maxTriedWide = 16

// solve returns the cheapest set of units found that makes room for the demand on the pool.
func solve(p *problem) (solution, bool) {
	if len(p.workers) == 0 {
		return solution{}, false
	}
	if p.demand.Count*len(p.workers) > maxSteps {
		return solveCheapestFirst(p)
	}
	best, found := p.evaluate(nil)
	var bestWide []int
	evaluations, limit := 1, min(maxEvaluations, maxSteps/(p.demand.Count*len(p.workers)))
	try := func(wide []int) bool {
		if evaluations >= limit || found && p.cost(wide) >= best.cost {
			return false
		}
		evaluations++
		s, ok := p.evaluate(wide)
		if !ok || found && s.cost >= best.cost {
			return false
		}
		best, bestWide, found = s, wide, true
		return true
	}
	// The earlier algorithm's set bounds the cost, and is a start for a search where no unit alone makes room.
	if s, ok := solveCheapestFirst(p); ok && (!found || s.cost < best.cost) {
		best, found = s, true
		bestWide = slices.DeleteFunc(slices.Clone(s.stop), func(u int) bool { return !slices.Contains(p.wide, u) })
		try(bestWide)
	}
	if !found {
		return solution{}, false
	}
	if len(p.wide) < maxTriedWide && 1<<len(p.wide) <= limit {
		for set := 1; set < 1<<len(p.wide); set++ {
			try(p.wideSubset(set))
		}
		return best, true
	}
	for improved := true; improved; {
		improved = false
		for _, u := range p.wide {
			// A unit that costs as much as the best set can be part of no better one.
			if p.units[u].Cost < best.cost || slices.Contains(bestWide, u) {
				improved = try(toggled(bestWide, u)) || improved
			}
		}
		improved = improved && evaluations < limit
	}
	return best, true
}

func (p *problem) cost(units []int) float64 {
	sum := 0.0
	for _, u := range units {
		sum += p.units[u].Cost
	}
	return sum
}

func (p *problem) wideSubset(set int) []int {
	var subset []int
	for i, u := range p.wide {
		if set>>i&1 == 1 {
			subset = append(subset, u)
		}
	}
	return subset
}

// toggled returns a copy of the set without u if it is in there, or else with it.
func toggled(set []int, u int) []int {
	if i := slices.Index(set, u); i >= 0 {
		return slices.Delete(slices.Clone(set), i, i+1)
	}
	return append(slices.Clone(set), u)
}

// evaluate returns the cheapest set that consists of the given wide units and any single-worker units. It reports false
// when no such set makes enough room.
func (p *problem) evaluate(wide []int) (solution, bool) {
	total := solution{stop: slices.Clone(wide), cost: p.cost(wide)}
	freed := map[int]descriptor.Capacity{}
	for _, u := range wide {
		for _, m := range p.units[u].Members {
			freed[m.Worker] = freed[m.Worker].Plus(m.Need)
		}
	}
	p.scene.work += len(p.workers)
	missing := p.demand.Count
	tables := make([]table, len(p.workers))
	for i, w := range p.workers {
		tables[i] = p.tableOf(w, freed[w])
		missing -= tables[i].fitting
	}
	if missing <= 0 {
		return total, true
	}
	// costs[k] is the least cost of room for k more tasks, missing meaning at least as many, on the workers so far;
	// taken[i][k] is the number of the step on worker i plus one, or 0.
	costs := make([]float64, missing+1)
	for k := range costs[1:] {
		costs[k+1] = math.Inf(1)
	}
	taken := make([][]int, len(p.workers))
	for i, t := range tables {
		if len(t.steps) == 0 {
			continue
		}
		taken[i] = make([]int, missing+1)
		p.scene.work += missing * len(t.steps) / 8
		for k := missing; k > 0; k-- {
			for x, st := range t.steps {
				if c := costs[max(0, k-st.tasks)] + st.cost; c < costs[k] {
					costs[k], taken[i][k] = c, x+1
				}
			}
		}
	}
	if math.IsInf(costs[missing], 1) {
		return solution{}, false
	}
	for i, k := len(p.workers)-1, missing; i >= 0 && k > 0; i-- {
		if len(tables[i].steps) == 0 || taken[i][k] == 0 {
			continue
		}
		st := tables[i].steps[taken[i][k]-1]
		for x, u := range p.own[p.workers[i]] {
			if st.set>>x&1 == 1 {
				total.stop = append(total.stop, u)
				total.cost += p.units[u].Cost
			}
		}
		k = max(0, k-st.tasks)
	}
	return total, true
}

// table holds the ways to make room on one worker.
type table struct {
	// fitting is the number of tasks that fit without another stop.
	fitting int
	// steps are in the order of both their tasks and their costs.
	steps []tableStep
}

// tableStep is the cheapest set of a worker's own units, as bits, that makes room for a number of tasks beyond those that
// fit.
type tableStep struct {
	tasks int
	cost  float64
	set   uint64
}

// tableKey holds all on which a table depends.
type tableKey struct {
	worker int
	free   descriptor.Capacity
	own    uint64
	need   descriptor.Capacity
	limit  int
}

// tableOf returns the table of a worker on which wide units free the given capacity.
func (p *problem) tableOf(w int, freed descriptor.Capacity) table {
	key := tableKey{w, p.free[w].Plus(freed), p.ownKey[w], p.demand.Need, p.limit()}
	if t, ok := p.scene.tables[key]; ok {
		return t
	}
	t := p.newTable(w, key.free)
	p.scene.tables[key] = t
	return t
}

// newTable builds the table of a worker.
func (p *problem) newTable(w int, free descriptor.Capacity) table {
	options := p.options(w, free)
	t := table{fitting: free.CountFitting(p.demand.Need, p.limit())}
	most := t.fitting
	for _, o := range options {
		if k := o.free.CountFitting(p.demand.Need, p.limit()); k > most {
			most = k
			t.steps = append(t.steps, tableStep{k - t.fitting, o.cost, o.set})
		}
	}
	return t
}

// option is a set of a worker's own units, as bits, with its cost and the capacity that it leaves free.
type option struct {
	free descriptor.Capacity
	cost float64
	set  uint64
}

// options returns the cheapest sets of a worker's own units, the cheapest first, without those that leave no more free
// than a cheaper one in any resource. Sets that make room for as many tasks as the limit allows are not extended. Beyond
// maxStates the most expensive ones are left out, except for the last.
func (p *problem) options(w int, free descriptor.Capacity) []option {
	options := []option{{free: free}}
	if p.full(free) {
		return options
	}
	for x, u := range p.own[w] {
		need, cost := p.units[u].Members[0].Need, p.units[u].Cost
		extended := make([]option, 0, len(options))
		for _, o := range options {
			if !p.full(o.free) {
				extended = append(extended, option{o.free.Plus(need), o.cost + cost, o.set | 1<<x})
			}
		}
		p.scene.work += len(extended)
		options = mergeOptions(options, extended)
		if n := len(options); n > maxStates {
			options = append(options[:maxStates-1], options[n-1])
		}
	}
	return options
}

// full reports whether as many tasks as the limit allows fit into a capacity.
func (p *problem) full(free descriptor.Capacity) bool {
	return free.CountFitting(p.demand.Need, p.limit()) == p.limit()
}

// mergeOptions merges two lists in the order of cost, without the options that are dominated by an earlier one.
func mergeOptions(a, b []option) []option {
	merged := make([]option, 0, len(a)+len(b))
	for len(a) > 0 || len(b) > 0 {
		from := &a
		if len(a) == 0 || len(b) > 0 && b[0].cost < a[0].cost {
			from = &b
		}
		o := (*from)[0]
		*from = (*from)[1:]
		if !slices.ContainsFunc(merged, func(m option) bool { return covers(m.free, o.free) }) {
			merged = append(merged, o)
		}
	}
	return merged
}

// covers reports whether a is at least b in each resource.
func covers(a, b descriptor.Capacity) bool {
	return a.Cores >= b.Cores && a.Memory >= b.Memory && a.Accelerators >= b.Accelerators
}

// solveCheapestFirst takes units, the cheapest first over the whole pool, until the demand fits, and then drops those
// that are not needed, the most expensive first.
func solveCheapestFirst(p *problem) (solution, bool) {
	free := make(map[int]descriptor.Capacity, len(p.workers))
	fitting := 0
	for _, w := range p.workers {
		free[w] = p.free[w]
		fitting += free[w].CountFitting(p.demand.Need, p.limit())
	}
	fits := func() bool { return fitting >= p.demand.Count }
	add := func(u, sign int) {
		for _, m := range p.units[u].Members {
			before, inPool := free[m.Worker]
			if !inPool {
				continue
			}
			after := before.Plus(m.Need.Multiply(sign))
			free[m.Worker] = after
			fitting += after.CountFitting(p.demand.Need, p.limit()) - before.CountFitting(p.demand.Need, p.limit())
		}
	}
	candidates := slices.Clone(p.rest)
	for _, own := range p.own {
		candidates = append(candidates, own...)
	}
	candidates = append(candidates, p.wide...)
	slices.SortFunc(candidates, p.scene.byCost)
	p.scene.work += len(p.workers) + len(candidates)
	var s solution
	for _, u := range candidates {
		if fits() {
			break
		}
		add(u, 1)
		s.stop = append(s.stop, u)
	}
	if !fits() {
		return solution{}, false
	}
	for i := len(s.stop) - 1; i >= 0; i-- {
		u := s.stop[i]
		if add(u, -1); fits() {
			s.stop = slices.Delete(s.stop, i, i+1)
			continue
		}
		add(u, 1)
	}
	s.cost = p.cost(s.stop)
	return s, true
}
