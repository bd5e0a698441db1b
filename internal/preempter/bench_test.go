package preempter

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"persimmontrail/pkg/descriptor"
)

// BenchmarkChoose measures a choice for eight gangs, each for one rack, on a full fleet of small tasks and gangs.
func BenchmarkChoose(b *testing.B) {
	for _, racks := range []int{4, 15, 60} {
		b.Run(fmt.Sprintf("workers=%d", 4*racks), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			workers := make([]Worker, 4*racks)
			var units []Unit
			for w := range workers {
				if w%4 == 0 {
					units = append(units, Unit{
						Members: []Member{{w, accelerators(4)}, {w + 1, accelerators(4)}}, Level: 2, Cost: 100 * r.Float64(),
					})
				}
				for range 8 - 4*(1-min(w%4/2, 1)) {
					size := accelerators(1)
					size.Cores += descriptor.MilliCores(100 * r.IntN(3))
					units = append(units, Unit{Members: []Member{{w, size}}, Level: 2, Cost: 30 * r.Float64()})
				}
			}
			var demands []Demand
			for range 8 {
				d := Demand{Count: 3, Need: accelerators(8), Level: 1, MaxWaste: 1e9}
				for rack := range racks {
					d.Pools = append(d.Pools, Pool{Workers: []int{4 * rack, 4*rack + 1, 4*rack + 2, 4*rack + 3}})
				}
				demands = append(demands, d)
			}
			for b.Loop() {
				Choose(workers, units, demands)
			}
		})
	}
}
