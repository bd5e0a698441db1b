package planner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/pkg/descriptor"
)

// takeOver replaces the core by that of a new leader, which has read the documents and no report.
func (f *fixture) takeOver() {
	f.t.Helper()
	former := f.core
	f.core = New(former.Limits)
	for id, j := range former.jobs {
		p, ok := former.Progress(id)
		assert.Assert(f.t, ok)
		f.core.Load(j.record, p, f.now)
	}
	nodes := make([]string, 0, len(f.status))
	for node := range f.status {
		nodes = append(nodes, node)
	}
	f.core.ExpectReports(nodes, f.now)
}

// TestReserveSurvivesTakeover guards against a new leader that fills the fleet with wide work right after a burst of
// urgent gangs, so that the next gang of the burst has to preempt it. The former leader had kept a rack free.
func TestReserveSurvivesTakeover(t *testing.T) {
	f := newFixture(t, 4)
	f.submit("first", 3, 8, 2*time.Second, priority(0), sameRack)
	f.planAndApply()
	for i := range 3 {
		node, attemptID := f.attemptOf("first", i)
		f.endAttempt(node, attemptID, descriptor.OutcomeDone)
	}
	f.reportAll()
	f.advance(time.Second)
	f.takeOver()
	f.reportAll()
	f.submit("flood", 200, 1, 20*time.Second, priority(2))
	f.planAndApply()
	assert.Equal(t, len(f.runningNodes("flood")), 72)
	f.submit("second", 3, 8, 2*time.Second, priority(0), sameRack)
	f.planAndApply()
	assert.Equal(t, len(f.runningNodes("second")), 3)
	assert.Equal(t, f.stopCount(), 0)
}

// TestFirstReportsDecideWhereGangsGo guards against an urgent gang that comes while a new leader knows a part of the
// workers: it was spread over racks, where it takes three times as long, although one rack was free.
func TestFirstReportsDecideWhereGangsGo(t *testing.T) {
	f := newFixture(t, 2)
	f.submit("long", 2, 8, 20*time.Second, priority(2))
	f.planAndApply()
	assert.DeepEqual(t, f.runningNodes("long"), []string{"n00", "n01"})
	f.takeOver()
	f.submit("urgent", 3, 8, 2*time.Second, priority(0), sameRack)
	for _, node := range []string{"n02", "n03", "n04", "n05"} {
		assert.Equal(t, len(f.runningNodes("urgent")), 0)
		f.reportNode(node)
		f.planAndApply()
	}
	assert.DeepEqual(t, f.runningNodes("urgent"), []string{"n03", "n04", "n05"})
	assert.Equal(t, f.stopCount(), 0)
}

// TestUnheardNodesDelayGangsBriefly guards against a new leader that goes on waiting for agents that are gone.
func TestUnheardNodesDelayGangsBriefly(t *testing.T) {
	f := newFixture(t, 1)
	f.takeOver()
	f.core.ExpectReports([]string{"n00", "n01", "n02", "gone"}, f.now)
	f.submit("long", 3, 8, 20*time.Second, priority(2))
	f.reportAll()
	f.planAndApply()
	f.submit("urgent", 3, 8, 2*time.Second, priority(0), sameRack)
	f.planAndApply()
	assert.Equal(t, f.stopCount(), 0)
	f.advance(settleTime + preemptRetryInterval)
	assert.Equal(t, len(f.runningNodes("urgent")), 3)
}
