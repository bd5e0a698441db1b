package planner

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smallestShare is the share of a core of the smallest entries that the platform's pages name.
const smallestShare = 0.192

// threadTime returns the processor time that the calling thread has used, which load on the machine does not change.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	const thread = 1 // RUSAGE_THREAD, which package syscall does not name.
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(thread, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestLargeWorkloadsLeaveTimeForReports guards against workloads of the largest size that is accepted with which a plan
// takes longer, on the smallest entry, than the age at which the reports that it is based on are too old for a start.
func TestLargeWorkloadsLeaveTimeForReports(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	limit := time.Duration(smallestShare * float64(maxReportAge))
	for name, shape := range largeWorkloads(4096) {
		f := largeFleet(t, shape)
		for i := range 3 {
			start := threadTime(t)
			orders := f.core.Plan(f.now)
			took := threadTime(t) - start
			assert.Assert(t, took < limit, "%s: plan %d took %v, limit %v", name, i, took, limit)
			f.apply(orders)
			f.now = f.now.Add(100 * time.Millisecond)
			f.clock += 100
			start = threadTime(t)
			f.reportAll()
			took = threadTime(t) - start
			assert.Assert(t, took < limit, "%s: reports after plan %d took %v, limit %v", name, i, took, limit)
		}
	}
}
