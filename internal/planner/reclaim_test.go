package planner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/assessor"
	"persimmontrail/pkg/descriptor"
)

// newReclaimFixture returns a fixture of a workspace with a guarantee that must be reclaimed within 2.7 s.
func newReclaimFixture(t *testing.T, racks int, guaranteed descriptor.Accelerators) *fixture {
	t.Helper()
	f := newFixture(t, racks)
	f.core.Limits.StopGrace, f.core.Limits.ReclaimTime = 200*time.Millisecond, 2700*time.Millisecond
	f.core.SetGuarantees([]descriptor.Account{{Workspace: "a", Guaranteed: guaranteed}})
	return f
}

// TestGuaranteedGangBeforeTasks names a load of a guaranteed gang and, after it, guaranteed single tasks on a full fleet.
// The tasks were spread over the workers that the gang needed whole.
func TestGuaranteedGangBeforeTasks(t *testing.T) {
	f := newReclaimFixture(t, 1, 24)
	for i := range 8 {
		f.submit(descriptor.JobID(fmt.Sprintf("long%d", i)), 3, 1, time.Minute, priority(2), func(w *descriptor.Workload) {
			w.Steps[0].MaxPerWorker = 1
		})
		f.planAndApply()
		f.advance(500 * time.Millisecond)
	}
	f.submit("gang", 2, 8, time.Second, priority(0), gang, workspace("a"))
	f.submit("tasks", 8, 1, 20*time.Second, priority(0), workspace("a"))
	f.advance(f.core.Limits.ReclaimTime)
	assert.Equal(t, len(f.runningNodes("gang")), 2)
	assert.Equal(t, len(f.runningNodes("tasks")), 8)
}

// TestProbationDoesNotHoldUpGuarantee names a load of guaranteed work that needs the whole fleet, of which one worker is
// on probation.
func TestProbationDoesNotHoldUpGuarantee(t *testing.T) {
	for _, option := range []option{gang, func(*descriptor.Workload) {}} {
		f := newReclaimFixture(t, 2, 48)
		f.submit("long", 24, 2, time.Minute, priority(2))
		f.planAndApply()
		f.advance(2 * time.Second)
		f.core.health.Note("n00", assessor.Stalled, f.now)
		f.advance(6500 * time.Millisecond)
		assert.Equal(t, f.core.health.State("n00", f.now), assessor.Probation)
		f.submit("guaranteed", 12, 4, 20*time.Second, priority(0), option, workspace("a"))
		f.advance(f.core.Limits.ReclaimTime)
		assert.Equal(t, len(f.runningNodes("guaranteed")), 12)
	}
}

// TestManySmallTasksAreReclaimed names a load of more small tasks on each worker than the search for victims considers one
// by one.
func TestManySmallTasksAreReclaimed(t *testing.T) {
	f := newReclaimFixture(t, 1, 24)
	f.submit("small", 240, 0, time.Minute, priority(2), func(w *descriptor.Workload) {
		w.Steps[0].Size = descriptor.Capacity{Cores: 800, Memory: 100}
	})
	f.planAndApply()
	assert.Equal(t, len(f.runningNodes("small")), 240)
	f.submit("gang", 3, 8, 20*time.Second, priority(0), gang, workspace("a"), func(w *descriptor.Workload) {
		w.Steps[0].Size.Cores = 64000
	})
	f.advance(f.core.Limits.ReclaimTime)
	assert.Equal(t, len(f.runningNodes("gang")), 3)
}
