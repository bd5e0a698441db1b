package commander

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/recorder"
	"persimmontrail/internal/registrar"
	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

var noon = time.Date(2026, 11, 3, 12, 0, 0, 0, time.UTC)

// TestStatusTable guards against a status that does not show which guarantee cannot be met and why, or which
// failure domain is out.
func TestStatusTable(t *testing.T) {
	s := coordinator.Status{
		Entry: "entry-1", Region: "Morava", Revision: 12, StoreReached: true, PermitLeft: descriptor.Duration(1987 * time.Millisecond),
		Entries:        []registrar.Member{{Entry: "entry-1", Region: "Morava", FailureDomain: "Brno", HTTPAddress: "10.0.0.7:7401", Renewed: noon}},
		FailureDomains: []descriptor.FailureDomain{{Name: "Brno", Region: "Morava"}, {Name: "Olomouc", Region: "Morava", Out: true}, {Name: "Praha", Region: "Čechy"}},
		Agents: []coordinator.AgentStatus{
			{Agent: "a1-X", State: messenger.AgentServing, FailureDomain: "Brno", Worker: &descriptor.Worker{ID: "w1", Accelerators: 8}, Endpoint: &messenger.EndpointReport{ID: "e1", Slots: 8, Busy: 3}, Tasks: 2, Revision: 12},
			{Agent: "a2-Y", State: messenger.AgentServing, FailureDomain: "Olomouc", Worker: &descriptor.Worker{ID: "w2", Accelerators: 8}, Revision: 11, Silent: true},
		},
		Regions: []coordinator.RegionStatus{{
			Region: "Morava", Scheduler: "entry-1", Epoch: "3", Jobs: 5, Gangs: 1,
			Guarantees: []scheduler.GuaranteeStatus{
				{Workspace: "brno-instal", Shape: descriptor.Shape{Accelerators: 8, Adjacency: descriptor.LevelWorker}, Possible: 1, InUse: 2},
				{Workspace: "olomouc-instal", Shape: descriptor.Shape{Accelerators: 8, Adjacency: descriptor.LevelWorker, Count: 2}, Possible: 1, Since: noon, Cause: "of 16 known accelerators 0 are down, 8 are in failure domains that are out and 0 are on workers in quarantine"},
			},
			Fragmentation: scheduler.Fragmentation{Free: 6, Unusable: 6, Largest: descriptor.Shape{Accelerators: 8, Adjacency: descriptor.LevelWorker}, LargeWaiting: 1, LongestWait: 90 * time.Second, Utilisation: 0.25},
		}},
		Notes: []string{"no scheduler of region Čechy is known at this moment"},
	}
	var b strings.Builder
	printStatus(&b, s)
	golden.Assert(t, b.String(), "status.golden")
}

// TestExplanationTables guards against an explanation that omits the blocker, the remedies or the end
// of a job.
func TestExplanationTables(t *testing.T) {
	job := descriptor.Job{ID: "draft-17", Workspace: "atelier", Class: "Draft", Region: "qc-sud", Tasks: 3, PerTask: descriptor.Resources{Accelerators: 8}, Adjacency: descriptor.LevelRack}
	endedAt := noon.Add(95 * time.Second)
	queued := coordinator.JobStatus{Job: job, Accepted: noon, State: keeper.JobQueued}
	done := coordinator.JobStatus{Job: job, Accepted: noon, State: keeper.JobEnded, Result: descriptor.ResultDone, Attempt: 2, EndedAt: &endedAt}
	refused := coordinator.JobStatus{Job: job, Accepted: noon, State: keeper.JobEnded, Result: descriptor.ResultNotRun, Reason: "job can never fit: the failure domain Montreal has left", EndedAt: &endedAt}
	audit := []recorder.AuditRecord{{At: noon, Subject: "job atelier/draft-17", Action: "accepted", Reason: "3 tasks of 8 accelerators", By: "entry-1"}}
	history := []scheduler.HistoryEntry{
		{At: noon.Add(time.Second), Attempt: 1, What: "started", Reason: "on borrowed capacity"},
		{At: noon.Add(20 * time.Second), Attempt: 1, What: "reclaimed", Reason: "couture claims its guarantee of 8 within one Worker"},
	}
	var b strings.Builder
	for _, x := range []coordinator.JobExplanation{
		{Job: queued, Audit: audit, Decision: &scheduler.Explanation{
			State: scheduler.StateWaiting, Blocker: "no rack has 24 free accelerators", Facts: []scheduler.Fact{{Name: "free accelerators", Value: 16}, {Name: "largest fit", Value: 2, Unit: "tasks"}},
			Remedies: []string{"FailureDomain as the adjacency"}, EstimatedStart: noon.Add(time.Hour), Estimate: "its reservation, from corrected run times",
		}},
		{Job: queued, Decision: &scheduler.Explanation{State: scheduler.StateReclaimed, Attempt: 1, History: history}},
		{Job: queued, Decision: &scheduler.Explanation{State: scheduler.StateRunning, Attempt: 2, Guaranteed: true, History: history}},
		{Job: queued, Note: "no scheduler of region qc-sud is known at this moment"},
		{Job: refused, Note: "unknown job"},
		{Job: done, Note: "unknown job"},
	} {
		printExplanation(&b, x)
	}
	golden.Assert(t, b.String(), "explanations.golden")
}

// TestStatusOfRunningEntry guards against a status or audit trail of a running entry that lacks a failure
// domain taken out, a new configuration or a cancelled job, and against metrics without the number of silent
// agents.
func TestStatusOfRunningEntry(t *testing.T) {
	e := startEntry(t, nil)
	e.apply(nil)
	_, stdout, _ := e.run("domain out", "--operator", "jana", "Olomouc")
	assert.Assert(t, strings.HasPrefix(stdout, coordinator.ChangeAccepted), stdout)
	code, stdout, stderr := e.run("status")
	assert.Equal(t, code, ExitOK, stderr)
	assert.Assert(t, strings.Contains(strings.Join(strings.Fields(stdout), " "), "Olomouc Morava out"), stdout)
	_, stdout, _ = e.run("audit", "failure domain Olomouc")
	assert.Assert(t, strings.Contains(stdout, "by jana"), stdout)
	_, stdout, _ = e.run("audit", "configuration")
	assert.Assert(t, strings.Contains(stdout, "revision 1"), stdout)
	code, _, stderr = e.run("job submit", "--workspace", "obec", "--class", "Survey", "--id", "j1")
	assert.Equal(t, code, ExitOK, stderr)
	code, _, stderr = e.run("job cancel", "obec", "j1")
	assert.Equal(t, code, ExitOK, stderr)
	_, stdout, _ = e.run("audit", "job obec/j1")
	assert.Assert(t, strings.Contains(stdout, "cancelled"), stdout)
	_, metrics := e.call("GET", "/metrics", "", "")
	assert.Assert(t, strings.Contains(metrics, "persimmontrail_agents_silent 0"), metrics)
}
