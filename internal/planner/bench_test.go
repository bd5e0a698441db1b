package planner

import (
	"fmt"
	"testing"
	"time"

	"persimmontrail/pkg/descriptor"
)

// BenchmarkPlan decides over a full fleet with a long queue, as in the rush of a grown deployment.
func BenchmarkPlan(b *testing.B) {
	for _, racks := range []int{4, 20, 60} {
		b.Run(fmt.Sprintf("workers=%d", racks*3), func(b *testing.B) {
			r := newFixture(&testing.T{}, racks)
			for i := range racks * 4 {
				r.submit(descriptor.JobID(fmt.Sprintf("low%d", i)), 40, 1, 7*time.Second, priority(2))
				r.submit(descriptor.JobID(fmt.Sprintf("mid%d", i)), 6, 8, 7*time.Second, priority(1))
			}
			for i := range racks {
				r.submit(descriptor.JobID(fmt.Sprintf("urgent%d", i)), 5, 8, 2*time.Second, priority(0), sameRack)
			}
			r.planAndApply()
			r.now = r.now.Add(100 * time.Millisecond)
			r.reportAll()
			b.ResetTimer()
			for b.Loop() {
				r.core.Plan(r.now)
			}
		})
	}
}
