package preempter

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"persimmontrail/pkg/descriptor"
)

func accelerators(n int) descriptor.Capacity {
	return descriptor.Capacity{Cores: descriptor.MilliCores(1000 * n), Accelerators: descriptor.Accelerators(n)}
}

// drawPool draws up to five workers of 8 accelerators that run units of one to three members.
func drawPool(t *rapid.T) ([]Worker, []Unit, []int) {
	workers := make([]Worker, rapid.IntRange(1, 5).Draw(t, "workers"))
	pool := identity(len(workers))
	for i := range workers {
		workers[i].Free = accelerators(8)
	}
	var units []Unit
	for range rapid.IntRange(0, 11).Draw(t, "units") {
		u := Unit{Level: 2, Cost: float64(rapid.IntRange(1, 60).Draw(t, "cost"))}
		u.Waste = u.Cost
		size := accelerators(rapid.SampledFrom([]int{1, 1, 2, 4, 8}).Draw(t, "size"))
		first, members := rapid.IntRange(0, len(workers)-1).Draw(t, "worker"), rapid.SampledFrom([]int{1, 1, 1, 2, 3}).Draw(t, "members")
		for i := range min(members, len(workers)) {
			if w := (first + i) % len(workers); workers[w].Free.Fits(size) {
				workers[w].Free = workers[w].Free.Minus(size)
				u.Members = append(u.Members, Member{w, size})
			}
		}
		if len(u.Members) > 0 {
			units = append(units, u)
		}
	}
	return workers, units, pool
}

func drawDemand(t *rapid.T, pool []int) Demand {
	return Demand{
		Count: rapid.IntRange(1, 8).Draw(t, "count"), Need: accelerators(rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "need")),
		PerWorker: rapid.IntRange(0, 3).Draw(t, "perWorker"), Pools: []Pool{{Workers: pool}}, Level: 1, MaxWaste: math.Inf(1),
	}
}

// mayFit reports whether the demands fit together on the workers, trying all assignments.
func mayFit(free []descriptor.Capacity, demands []Demand, d, worker, placed int) bool {
	switch {
	case d == len(demands):
		return true
	case placed >= demands[d].Count:
		return mayFit(free, demands, d+1, 0, 0)
	case worker == len(free):
		return false
	}
	limit := demands[d].Count
	if demands[d].PerWorker > 0 {
		limit = demands[d].PerWorker
	}
	for k := free[worker].CountFitting(demands[d].Need, min(limit, demands[d].Count-placed)); k >= 0; k-- {
		free[worker] = free[worker].Minus(demands[d].Need.Multiply(k))
		fits := mayFit(free, demands, d, worker+1, placed+k)
		free[worker] = free[worker].Plus(demands[d].Need.Multiply(k))
		if fits {
			return true
		}
	}
	return false
}

// cheapest returns the least cost of a set of units that makes room for all demands, by exhaustive search.
func cheapest(workers []Worker, units []Unit, demands []Demand) float64 {
	best := math.Inf(1)
	for set := range 1 << len(units) {
		free := make([]descriptor.Capacity, len(workers))
		for i, w := range workers {
			free[i] = w.Free
		}
		cost := 0.0
		for u := range units {
			if set>>u&1 == 0 {
				continue
			}
			cost += units[u].Cost
			for _, m := range units[u].Members {
				free[m.Worker] = free[m.Worker].Plus(m.Need)
			}
		}
		if cost < best && mayFit(free, demands, 0, 0, 0) {
			best = cost
		}
	}
	return best
}

func totalCost(choices []Choice) float64 {
	sum := 0.0
	for _, c := range choices {
		sum += c.Cost
	}
	return sum
}

// checkRoom checks that the stops make room for the placements.
func checkRoom(t assert.TestingT, workers []Worker, units []Unit, demands []Demand, choices []Choice) {
	free := make([]descriptor.Capacity, len(workers))
	for i, w := range workers {
		free[i] = w.Free
	}
	for d, c := range choices {
		for _, u := range c.Stop {
			for _, m := range units[u].Members {
				free[m.Worker] = free[m.Worker].Plus(m.Need)
			}
		}
		perWorker := map[int]int{}
		for _, w := range c.Workers {
			free[w] = free[w].Minus(demands[d].Need)
			perWorker[w]++
			assert.Assert(t, demands[d].PerWorker == 0 || perWorker[w] <= demands[d].PerWorker)
		}
		assert.Assert(t, !c.Served || len(c.Workers) == demands[d].Count)
	}
	for _, f := range free {
		assert.Assert(t, f.Cores >= 0 && f.Accelerators >= 0, "%+v", choices)
	}
}

// TestChoiceIsCheapest compares the choice for one gang on a full rack of five workers with all sets of units.
func TestChoiceIsCheapest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, units, pool := drawPool(t)
		demands := []Demand{drawDemand(t, pool)}
		choices := Choose(workers, units, demands)
		best := cheapest(workers, units, demands)
		assert.Equal(t, choices[0].Served, !math.IsInf(best, 1))
		if choices[0].Served {
			assert.Equal(t, choices[0].Cost, best)
		}
		checkRoom(t, workers, units, demands, choices)
	})
}

// maxExcess is how many times the cheapest sets the choices for two gangs may cost, over all seeds.
const maxExcess = 1.05

// rushScene is a full rack with two gangs that arrive at once.
type rushScene struct {
	workers []Worker
	units   []Unit
	demands []Demand
}

// TestJointChoice compares the choices for two gangs that arrive at once with all sets of units, over the seeds of 2,000
// full racks, and each of them with the earlier algorithm, which serves one gang after the other.
func TestJointChoice(t *testing.T) {
	scenes := rapid.Custom(func(t *rapid.T) rushScene {
		workers, units, pool := drawPool(t)
		return rushScene{workers, units, []Demand{drawDemand(t, pool), drawDemand(t, pool)}}
	})
	cost, best := 0.0, 0.0
	for seed := range 2000 {
		s := scenes.Example(seed)
		choices := Choose(s.workers, s.units, s.demands)
		earlier := newScene(s.workers, s.units).chooseInOrder(s.demands,
			variant{order: identity(len(s.demands)), first: noUnit, solver: solveCheapestFirst})
		assert.Assert(t, !better(s.demands, earlier, choices))
		checkRoom(t, s.workers, s.units, s.demands, choices)
		if choices[0].Served && choices[1].Served {
			cost, best = cost+totalCost(choices), best+cheapest(s.workers, s.units, s.demands)
		}
	}
	t.Logf("cost %.0f, best %.0f", cost, best)
	assert.Assert(t, best > 0 && cost <= maxExcess*best, "cost %v, best %v", cost, best)
}

// TestSharedVictim has two gangs of half a rack each and a large gang whose stop makes room for both. One after the
// other, the first would take the cheaper small units.
func TestSharedVictim(t *testing.T) {
	workers := make([]Worker, 4)
	units := []Unit{
		{Members: []Member{{0, accelerators(8)}, {1, accelerators(8)}}, Level: 2, Cost: 10},
		{Members: []Member{{2, accelerators(8)}}, Level: 2, Cost: 6},
		{Members: []Member{{3, accelerators(8)}}, Level: 2, Cost: 8},
	}
	gang := Demand{Count: 1, Need: accelerators(8), Pools: []Pool{{Workers: identity(4)}}, Level: 1, MaxWaste: 100}
	wide := gang
	wide.Count = 2
	choices := Choose(workers, units, []Demand{gang, gang})
	assert.Equal(t, totalCost(choices), 10.0)
	choices = Choose(workers, units, []Demand{gang, wide})
	assert.Equal(t, totalCost(choices), 16.0)
}

// TestGuaranteedDemandGoesFirst has room for one of two gangs in protected work.
func TestGuaranteedDemandGoesFirst(t *testing.T) {
	units := []Unit{{Members: []Member{{0, accelerators(8)}}, Level: 2, Protected: true, Cost: 1000, Waste: 1000}}
	urgent := Demand{Count: 1, Need: accelerators(8), Pools: []Pool{{Workers: identity(1)}}, Level: 1, MaxWaste: 1e9}
	guaranteed := urgent
	guaranteed.Level, guaranteed.Guaranteed = 0, true
	choices := Choose(make([]Worker, 1), units, []Demand{guaranteed, urgent})
	assert.Assert(t, choices[0].Served && !choices[1].Served)
	assert.Assert(t, !Choose(make([]Worker, 1), units, []Demand{urgent})[0].Served)
}
