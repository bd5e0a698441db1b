package replayer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

// newTestTrace returns a trace with the two workers of testHeader and jobs that each take a whole worker. A job is given as
// "workspace arrival run-time". The job IDs are a, b, c and so on.
func newTestTrace(t *testing.T, jobs ...string) Trace {
	tr, err := Read(strings.NewReader(testHeader))
	assert.NilError(t, err)
	for i, s := range jobs {
		fields := strings.Fields(s)
		at, err := time.ParseDuration(fields[1])
		assert.NilError(t, err)
		runTime, err := time.ParseDuration(fields[2])
		assert.NilError(t, err)
		tr.Events = append(tr.Events, Event{
			At: descriptor.Duration(at), Kind: JobArrives, RunTime: descriptor.Duration(runTime),
			Job: &descriptor.Job{
				ID: descriptor.JobID(rune('a' + i)), Workspace: descriptor.WorkspaceID(fields[0]), Class: "Draft", Tasks: 1,
				PerTask: descriptor.Resources{Cores: 1, Memory: 1, Accelerators: 8}, Adjacency: descriptor.LevelWorker,
				DeclaredRunTime: descriptor.Duration(runTime),
			},
		})
	}
	return tr
}

// TestReplayTimes guards against completion times and utilisation that differ from the model in docs/traces.md, for instance
// because startDelay is left out or a waiting job is not placed as soon as a worker is free.
func TestReplayTimes(t *testing.T) {
	tr := newTestTrace(t, "a 0s 10m", "a 0s 20m", "a 1m 30m")
	r, err := Replay(tr, scheduler.PolicyBaseline)
	assert.NilError(t, err)
	// Each job starts one second after its decision. The third job is placed when the first has ended.
	want := []time.Duration{10*time.Minute + time.Second, 20*time.Minute + time.Second, 39*time.Minute + 2*time.Second}
	assert.DeepEqual(t, r.Classes[0].Times, want)
	assert.Equal(t, r.Completed, 3)
	busyTime := 10*time.Minute + 20*time.Minute + 30*time.Minute + 3*time.Second
	assert.Assert(t, r.Utilisation-busyTime.Hours()/2 < 1e-9 && busyTime.Hours()/2-r.Utilisation < 1e-9, "utilisation %v", r.Utilisation)
	assert.Equal(t, r.GuaranteeViolations, 0)
}

// TestBaselineGuaranteeViolations guards against a violation count that relies on the reports of the policy about itself: the
// baseline policy knows no guarantees, and its violations must be counted all the same. It also guards against violations that
// are counted while too few workers are up to honour all guarantees.
func TestBaselineGuaranteeViolations(t *testing.T) {
	tr := newTestTrace(t, "a 0s 10m", "a 0s 10m", "b 1m 1m", "b 2m 1m")
	r, err := Replay(tr, scheduler.PolicyBaseline)
	assert.NilError(t, err)
	assert.Equal(t, r.GuaranteeViolations, 2)
	assert.Equal(t, r.Violations[0].Key, descriptor.JobKey{Workspace: "b", Job: "c"})

	// With one worker, the two guarantees cannot both be honoured, so no violations are counted.
	tr.Events = append([]Event{{Kind: WorkerFails, Worker: "w2"}}, tr.Events...)
	r, err = Replay(tr, scheduler.PolicyBaseline)
	assert.NilError(t, err)
	assert.Equal(t, r.GuaranteeViolations, 0)
}

// TestFaultsLeaveNoJobUnaccounted guards against jobs that are missing from the counts after cancellations, worker failures and
// the removal of a failure domain.
func TestFaultsLeaveNoJobUnaccounted(t *testing.T) {
	for _, p := range []scheduler.Policy{scheduler.PolicyGuaranteed, scheduler.PolicyBaseline} {
		tr := newTestTrace(t, "a 0s 60m", "a 0s 60m", "b 1m 1m", "b 1m 5m")
		key := tr.Events[3].Job.Key()
		tr.Events = append(tr.Events,
			Event{At: minutes(2), Kind: JobCancelled, Key: &key},
			Event{At: minutes(3), Kind: WorkerFails, Worker: "w1"},
			Event{At: minutes(4), Kind: WorkerReturns, Worker: "w1"},
			Event{At: minutes(5), Kind: FailureDomainOut, FailureDomain: "d"},
			Event{At: minutes(8), Kind: FailureDomainIn, FailureDomain: "d"})
		r, err := Replay(tr, p)
		assert.NilError(t, err)
		assert.Equal(t, r.Completed, 3, "policy %d", p)
		assert.Equal(t, r.Cancelled, 1)
		assert.Equal(t, r.StartsInRemovedDomain, 0)
		assert.Assert(t, r.LostToFailures > 0)
		assert.Equal(t, len(r.Windows), 1)
		assert.Assert(t, r.Windows[0].Work < r.Windows[0].WorkWithoutFault)
	}
}

func readTestTrace(t *testing.T, name string) Trace {
	f, err := os.Open(filepath.Join("testdata", name))
	assert.NilError(t, err)
	defer f.Close()
	tr, err := Read(f)
	assert.NilError(t, err)
	return tr
}

// assertNoViolation replays a trace with the guaranteed policy and requires that no guarantee is violated.
func assertNoViolation(t *testing.T, name string) {
	r, err := Replay(readTestTrace(t, name), scheduler.PolicyGuaranteed)
	assert.NilError(t, err)
	assert.Equal(t, r.GuaranteeViolations, 0, "%s: %v", name, r.Violations)
}

// TestReclaimKeepsGuarantee guards against a workspace whose guarantee stays lent to others because its waiting job was once
// reclaimed from borrowed capacity. The trace is an excerpt of beaulieu-bad.
func TestReclaimKeepsGuarantee(t *testing.T) {
	assertNoViolation(t, "fault-reclaimed-job.jsonl")
}

// TestUnusedGuaranteeNotReservedForLargerJob guards against an unused part of a guarantee that is reserved for a larger job
// which does not fit into it. The traces are excerpts of beaulieu-bad.
func TestUnusedGuaranteeNotReservedForLargerJob(t *testing.T) {
	assertNoViolation(t, "fault-guarantee-lock.jsonl")
	assertNoViolation(t, "fault-guarantee-lock-urgent.jsonl")
}

// TestSmallJobUsesSmallestShape guards against a job of 2 accelerators that occupies a guaranteed shape of 8 while a shape of 4
// is unused, so that a job of 8 waits. The trace is an excerpt of beaulieu-bad.
func TestSmallJobUsesSmallestShape(t *testing.T) {
	assertNoViolation(t, "fault-occupied-shape.jsonl")
}

// TestStatedOutcomes guards against policies that miss the outcomes of the traces in testdata. The table is printed with -v.
func TestStatedOutcomes(t *testing.T) {
	for name := range committedTraces {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := Compare(readTestTrace(t, name+".jsonl"))
			assert.NilError(t, err)
			t.Log(c.Table())
			for _, o := range c.Outcomes() {
				assert.Check(t, o.Met, "%s: %s", o.Outcome.Name, o.Detail)
			}
			assert.Check(t, c.Baseline.InvalidDecisions == 0, "baseline: %v", c.Baseline.InvalidReasons)
		})
	}
}

// newTestComparison returns a comparison with fixed figures that do not depend on the scheduler.
func newTestComparison(t *testing.T) *Comparison {
	tr := newTestTrace(t)
	tr.Header.Outcomes = Generate(GenerateOptions{Load: 0.01}).Header.Outcomes
	tr.Header.Outcomes[1].Class = "Draft"
	newReport := func(p99 time.Duration, violations int) *Report {
		return &Report{
			Classes: []ClassReport{{
				Class: "Draft", Target: 10 * time.Minute, Completed: 3, WithinTarget: 2.0 / 3,
				Completion: Percentiles{P50: 1250 * time.Millisecond, P95: time.Minute, P99: p99},
				Times:      []time.Duration{1250 * time.Millisecond, time.Minute, p99},
			}},
			Accepted: 6, Completed: 3, Cancelled: 2, Refused: 1, LargeWait: Percentiles{P95: p99 / 2},
			Utilisation: 0.75, Fragmentation: 0.125, GuaranteeViolations: violations,
			Samples: []Sample{{At: time.Minute, Utilisation: 0.5, Free: 8, Unusable: 2}, {At: time.Hour}},
			Windows: []Window{{FailureDomain: "d", Work: 90, WorkWithoutFault: 100}},
		}
	}
	return &Comparison{Trace: tr, Guaranteed: newReport(5*time.Minute, 0), Baseline: newReport(15*time.Minute, 7)}
}

// TestTable guards against a table without some of the figures or outcomes, or with wrong units or rounding.
func TestTable(t *testing.T) {
	golden.Assert(t, newTestComparison(t).Table(), "table.golden")
}

// TestOutcomesNotMet guards against outcomes that are reported as met although the figures exceed the limits.
func TestOutcomesNotMet(t *testing.T) {
	c := newTestComparison(t)
	c.Guaranteed, c.Baseline = c.Baseline, c.Guaranteed
	for i, o := range c.Outcomes()[:3] {
		assert.Assert(t, !o.Met, "outcome %d: %s", i, o.Detail)
	}
}

// TestPlots guards against plots that are missing or empty.
func TestPlots(t *testing.T) {
	paths, err := newTestComparison(t).Plot(t.TempDir(), "test")
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 6)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, len(data) > 1000, "%s has %d bytes", path, len(data))
	}
}
