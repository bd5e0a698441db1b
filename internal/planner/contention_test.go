package planner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/pkg/descriptor"
)

// endAll ends the running attempts of a workload as done.
func (f *fixture) endAll(id descriptor.JobID, tasks int) {
	for i := range tasks {
		node, attempt := f.attemptOf(id, i)
		f.endAttempt(node, attempt, descriptor.OutcomeDone)
	}
	f.reportAll()
	f.planAndApply()
}

// stopsOf returns the number of stop orders for a workload.
func (f *fixture) stopsOf(id descriptor.JobID) int {
	n := 0
	for _, o := range f.orders {
		if o.Stop && o.Attempt.Task.Job == id {
			n++
		}
	}
	return n
}

// TestInterruptedWorkIsSpared has waves of urgent gangs, beyond a guarantee, over long work that fills the fleet. Each
// wave takes a whole rack, so without a bound the long work would begin again with every wave. It must go on after
// maxInterruptions, also under a new leader, and still give way to a guarantee.
func TestInterruptedWorkIsSpared(t *testing.T) {
	f := newFixture(t, 1)
	f.submit("long", 3, 8, 60*time.Second, priority(2))
	f.planAndApply()
	waves := 0
	for wave := range 8 {
		f.advance(time.Second)
		id := descriptor.JobID(rune('a' + wave))
		f.submit(id, 3, 8, 2*time.Second, priority(0), sameRack)
		f.advance(500 * time.Millisecond)
		if len(f.runningNodes(id)) > 0 {
			waves++
			f.endAll(id, 3)
			continue
		}
		f.core.Submit(Record{Workload: descriptor.Workload{ID: id}, Cancelled: true}, f.now)
	}
	assert.Equal(t, waves, maxInterruptions)
	assert.Equal(t, f.stopsOf("long"), 3*maxInterruptions)
	assert.Equal(t, len(f.runningNodes("long")), 3)

	progress, _ := f.core.Progress("long")
	record := f.core.jobs["long"].record
	f.core = New(f.core.Limits)
	f.core.Load(record, progress, f.now)
	f.reportAll()
	f.submit("urgent", 3, 8, 2*time.Second, priority(0), sameRack)
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.runningNodes("urgent")), 0)

	f.core.SetGuarantees([]descriptor.Account{{Workspace: "a", Guaranteed: 24}})
	f.submit("guaranteed", 3, 8, 2*time.Second, priority(0), sameRack, workspace("a"))
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.runningNodes("guaranteed")), 3)
}

// TestGangsShareVictim has two urgent gangs that arrive at once, each of which needs one worker. Stopping a task for each
// of them loses more than stopping a younger gang of two, although one such task is cheaper than that gang.
func TestGangsShareVictim(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("singles", 4, 8, 60*time.Second, priority(2))
	f.advance(time.Second)
	f.submit("pair", 2, 8, 60*time.Second, priority(2), gang)
	f.advance(2 * time.Second)
	f.submit("first", 1, 8, 20*time.Second, priority(0), gang)
	f.submit("second", 1, 8, 20*time.Second, priority(0), gang)
	f.advance(500 * time.Millisecond)
	assert.Equal(t, len(f.runningNodes("first"))+len(f.runningNodes("second")), 2)
	assert.Equal(t, f.stopsOf("pair"), 2)
	assert.Equal(t, f.stopsOf("singles"), 0)
}

// TestPoorlyServedWorkspaceMovesUp has a full fleet on which the work of one workspace has come too late in a row while that
// of another was in time. Of two equal workloads, that of the former then takes the next room.
func TestPoorlyServedWorkspaceMovesUp(t *testing.T) {
	f := newFixture(t, 1)
	for i := range 6 {
		id := descriptor.JobID(fmt.Sprintf("rich%d", i))
		f.submit(id, 1, 1, time.Second, priority(1), workspace("rich"))
		f.planAndApply()
		f.advance(time.Second)
		f.endAll(id, 1)
	}
	f.submit("full", 24, 1, 60*time.Second, priority(1), workspace("other"))
	f.planAndApply()
	for i := range 6 {
		f.submit(descriptor.JobID(fmt.Sprintf("late%d", i)), 1, 1, time.Second, priority(1), workspace("poor"), func(w *descriptor.Workload) {
			w.Accepted = f.now.Add(-10 * time.Second)
		})
	}
	otherQueue := func(w *descriptor.Workload) { w.Queue = "other" }
	f.submit("a", 1, 1, time.Second, priority(1), workspace("rich"), otherQueue)
	f.submit("b", 1, 1, time.Second, priority(1), workspace("poor"), otherQueue)
	f.planAndApply()
	node, attempt := f.attemptOf("full", 0)
	f.endAttempt(node, attempt, descriptor.OutcomeDone)
	f.reportAll()
	f.planAndApply()
	assert.Equal(t, len(f.runningNodes("b")), 1)
	assert.Equal(t, len(f.runningNodes("a")), 0)
}
