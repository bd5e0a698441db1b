package planner

import (
	"fmt"
	"testing"
	"time"

	"persimmontrail/pkg/descriptor"
)

// BenchmarkPlan measures one plan over a full fleet with a long queue and a burst of urgent gangs.
func BenchmarkPlan(b *testing.B) {
	for _, racks := range []int{4, 20, 60} {
		b.Run(fmt.Sprintf("workers=%d", racks*3), func(b *testing.B) {
			f := newFixture(&testing.T{}, racks)
			for i := range racks * 4 {
				f.submit(descriptor.JobID(fmt.Sprintf("low%d", i)), 40, 1, 7*time.Second, priority(2))
				f.submit(descriptor.JobID(fmt.Sprintf("mid%d", i)), 6, 8, 7*time.Second, priority(1))
			}
			for i := range racks {
				f.submit(descriptor.JobID(fmt.Sprintf("urgent%d", i)), 5, 8, 2*time.Second, priority(0), sameRack)
			}
			f.planAndApply()
			f.now = f.now.Add(100 * time.Millisecond)
			f.reportAll()
			b.ResetTimer()
			for b.Loop() {
				f.core.Plan(f.now)
			}
		})
	}
}
