package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"persimmontrail/pkg/descriptor"
)

// BenchmarkPickDone measures a Pick and its Release with ResultDone, for services with 11 and 850 endpoints, all of
// which have free capacity and no queue.
func BenchmarkPickDone(b *testing.B) {
	for _, n := range []int{11, 850} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := testStart
			r := newRouter(&now)
			for i := range n {
				r.Update(testEndpoint(fmt.Sprint(i), "a", 8), now)
			}
			deadline := now.Add(time.Minute)
			for b.Loop() {
				c, err := r.Pick("Report", "large", deadline, nil, now)
				if err != nil {
					b.Fatal(err)
				}
				r.Release(c, descriptor.ResultDone, time.Millisecond)
			}
		})
	}
}
