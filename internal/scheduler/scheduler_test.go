package scheduler

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"persimmontrail/pkg/descriptor"
	"pgregory.net/rapid"
)

func testConfig(ws ...descriptor.Workspace) descriptor.Configuration {
	return descriptor.Configuration{
		Workspaces: ws,
		Classes:    []descriptor.Class{newClass("urgent", time.Minute, 1), newClass("slow", 8*time.Hour, 0.5), newClass("whole", 8*time.Hour, 1)},
		FailureDomains: []descriptor.FailureDomain{
			{Name: "d0", Region: "north"},
			{Name: "d1", Region: "north"},
		},
	}
}

func guaranteedWorkspace(name descriptor.WorkspaceID, accelerators descriptor.Accelerators, adjacency descriptor.Level, count int) descriptor.Workspace {
	return descriptor.Workspace{Name: name, Guarantees: []descriptor.Shape{{Accelerators: accelerators, Adjacency: adjacency, Count: count}}}
}

// confirmStarts confirms the start of all attempts that have not started and are not stopping.
func (m *model) confirmStarts() {
	for _, r := range append([]*modelAttempt(nil), m.active...) {
		if !r.started && !r.stopping {
			m.handleEvent(r, EventStarted, "")
		}
	}
}

func (m *model) submitAndStart(t *testing.T, j descriptor.Job) descriptor.JobKey {
	t.Helper()
	assert.NilError(t, m.submit(j))
	m.decide()
	m.confirmStarts()
	return descriptor.JobKey{Workspace: j.Workspace, Job: descriptor.JobID(fmt.Sprintf("j%04d", m.lastJobNumber))}
}

func (m *model) explain(t *testing.T, key descriptor.JobKey) Explanation {
	t.Helper()
	e, err := m.core.Explain(key, m.now)
	assert.NilError(t, err)
	return e
}

// TestLargeJobStartsDespiteSmallJobs guards against starvation of large jobs by small ones: a stream of small
// jobs, some of which exceed their declared run time, keeps the fleet full, and the large job must start
// within 100 rounds. The test fails if freeBesideReservations returns free unchanged, which disables
// reservations.
func TestLargeJobStartsDespiteSmallJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, testConfig(guaranteedWorkspace("small", 2, descriptor.LevelWorker, 1), guaranteedWorkspace("large", 8, descriptor.LevelWorker, 0)), testFleet(1, 2, 2, 8))
		ends := map[descriptor.JobKey]time.Time{}
		large := descriptor.JobKey{Workspace: "large"}
		c := rapid.SampledFrom([]descriptor.ClassID{"urgent", "slow"}).Draw(t, "class")
		for round := range 100 {
			for range 12 {
				j := newJob("small", rapid.SampledFrom([]descriptor.ClassID{"urgent", "slow"}).Draw(t, "small"), 1, 1, 0, time.Duration(drawInt(t, "minutes", 5, 60))*time.Minute)
				_ = m.submit(j)
			}
			if round == 5 {
				assert.NilError(t, m.submit(newJob("large", c, 16, 1, descriptor.LevelRack, time.Hour)))
				large.Job = descriptor.JobID(fmt.Sprintf("j%04d", m.lastJobNumber))
			}
			for _, d := range m.decide() {
				if d.Kind == DecisionStart {
					ends[d.Key] = m.now.Add(m.jobs[d.Key].DeclaredRunTime.TimeDuration() * time.Duration(drawInt(t, "percent", 50, 200)) / 100)
				}
			}
			m.confirmStarts()
			if m.findAttempt(large, 1) != nil {
				return
			}
			m.now = m.now.Add(10 * time.Minute)
			m.confirmStops()
			for _, r := range append([]*modelAttempt(nil), m.active...) {
				if !ends[r.key].After(m.now) {
					m.handleEvent(r, EventFinished, "")
				}
			}
		}
		e, _ := m.core.Explain(large, m.now)
		t.Fatalf("the large job did not start in 100 rounds: %+v", e)
	})
}

// TestProtectedWorkLeavesRoomForGuarantees guards against borrowed or protected work of other workspaces that
// makes a guarantee impossible. The test must fail if repairPlan is changed to return true without looking
// for overcommitted nodes; guarantees are then no longer checked.
func TestProtectedWorkLeavesRoomForGuarantees(t *testing.T) {
	m := newModel(t, testConfig(guaranteedWorkspace("a", 8, descriptor.LevelWorker, 2), descriptor.Workspace{Name: "b"}), testFleet(1, 1, 2, 8))
	nonIdempotent := newJob("b", "urgent", 1, 1, 0, time.Hour)
	nonIdempotent.NonIdempotent = true
	key := m.submitAndStart(t, nonIdempotent)
	assert.Equal(t, m.explain(t, key).State, StateWaiting)
	assert.Assert(t, m.explain(t, key).Blocker != "")
	borrowed := m.submitAndStart(t, newJob("b", "urgent", 16, 1, 0, time.Hour))
	assert.Equal(t, m.explain(t, borrowed).State, StateRunning)
	assert.Assert(t, !m.explain(t, borrowed).Guaranteed)
}

// TestReclaimTakesCheapestVictimsOnce guards against expensive or unnecessary victims, against victims that
// reclaim other work in turn, and against starts before the victims have stopped.
func TestReclaimTakesCheapestVictimsOnce(t *testing.T) {
	m := newModel(t, testConfig(guaranteedWorkspace("a", 8, descriptor.LevelWorker, 1), guaranteedWorkspace("b", 4, descriptor.LevelWorker, 1)), testFleet(1, 1, 2, 8))
	m.submitAndStart(t, newJob("b", "whole", 1, 4, 0, time.Hour))
	old := m.submitAndStart(t, newJob("b", "whole", 1, 4, 0, 5*time.Hour))
	m.now = m.now.Add(time.Hour)
	young := []descriptor.JobKey{m.submitAndStart(t, newJob("b", "whole", 1, 4, 0, time.Hour)), m.submitAndStart(t, newJob("b", "whole", 1, 4, 0, time.Hour))}
	m.now = m.now.Add(time.Minute)
	key := m.submitAndStart(t, newJob("a", "urgent", 1, 8, descriptor.LevelWorker, time.Minute))
	for _, k := range young {
		assert.Equal(t, m.explain(t, k).State, StateReclaimed)
	}
	assert.Equal(t, m.explain(t, old).State, StateRunning)
	assert.Equal(t, m.explain(t, key).State, StateWaiting)
	m.confirmStops()
	m.decide()
	assert.Equal(t, m.explain(t, key).State, StateHeld)
	assert.Assert(t, m.explain(t, key).Guaranteed)
	assert.Equal(t, m.explain(t, young[0]).State, StateWaiting)
}

// TestClassUsesAtMostItsShare guards against classes that use more than their share of the guarantee: when one job uses
// all of the share, the next job of the class must not be guaranteed.
func TestClassUsesAtMostItsShare(t *testing.T) {
	m := newModel(t, testConfig(guaranteedWorkspace("a", 8, descriptor.LevelWorker, 1)), testFleet(1, 1, 1, 8))
	first := m.submitAndStart(t, newJob("a", "slow", 1, 4, 0, time.Hour))
	second := m.submitAndStart(t, newJob("a", "slow", 1, 4, 0, time.Hour))
	assert.Assert(t, m.explain(t, first).Guaranteed)
	assert.Assert(t, !m.explain(t, second).Guaranteed)
}

// TestGuaranteesFollowTheFleet guards against guarantees that are reported as possible after the loss of a
// worker, or as impossible after its return.
func TestGuaranteesFollowTheFleet(t *testing.T) {
	m := newModel(t, testConfig(guaranteedWorkspace("a", 8, descriptor.LevelWorker, 2)), testFleet(2, 1, 1, 8))
	m.loseWorker("d0-r0-w0")
	m.decide()
	g := m.core.Guarantees(m.now)[0]
	assert.Equal(t, g.Possible, 1)
	assert.Equal(t, g.Cause, "of 16 known accelerators 8 are down, 0 are in failure domains that are out and 0 are on workers in quarantine")
	m.up["d0-r0-w0"] = true
	m.core.SetWorker(m.workers["d0-r0-w0"], m.now)
	m.decide()
	assert.Equal(t, m.core.Guarantees(m.now)[0].Possible, 2)
}

// TestBadJobIsEndedWithoutQuarantine guards against quarantine of workers on which a faulty job failed, and against a
// faulty job that is started again after it has failed on three workers on which other jobs succeed.
func TestBadJobIsEndedWithoutQuarantine(t *testing.T) {
	m := newModel(t, testConfig(descriptor.Workspace{Name: "a"}), testFleet(1, 1, 6, 1))
	for range 6 {
		m.submitAndStart(t, newJob("a", "slow", 1, 1, 0, time.Hour))
	}
	for _, r := range append([]*modelAttempt(nil), m.active...) {
		m.handleEvent(r, EventFinished, "")
	}
	key := m.submitAndStart(t, newJob("a", "slow", 1, 1, 0, time.Hour))
	for n := 1; n <= 3; n++ {
		r := m.findAttempt(key, descriptor.Attempt(n))
		m.handleEvent(r, EventTaskFailed, r.placement[0].Worker)
		m.now = m.now.Add(time.Minute)
		m.decide()
		m.confirmStarts()
	}
	e := m.explain(t, key)
	assert.Equal(t, e.State, StateEnded)
	assert.Equal(t, e.History[len(e.History)-1].Reason, "failed on 3 workers on which other jobs succeed: test")
	assert.Equal(t, len(m.core.quarantinedWorkers), 0)
}

// TestWorkerThatFailsEverythingIsProbed guards against a worker on which everything fails and which therefore
// attracts all work, since its resources are soon free again, and against quarantine that never ends.
func TestWorkerThatFailsEverythingIsProbed(t *testing.T) {
	m := newModel(t, testConfig(descriptor.Workspace{Name: "a"}), testFleet(1, 1, 1, 1))
	bad := descriptor.WorkerID("d0-r0-w0")
	for range 3 {
		m.submitAndStart(t, newJob("a", "slow", 1, 1, 0, time.Hour))
		m.handleEvent(m.active[0], EventTaskFailed, bad)
	}
	m.submitAndStart(t, newJob("a", "slow", 1, 1, 0, time.Hour))
	assert.Equal(t, len(m.active), 0)
	m.now = m.now.Add(31 * time.Second)
	m.decide()
	m.confirmStarts()
	assert.Equal(t, len(m.active), 1)
	m.handleEvent(m.active[0], EventTaskFailed, bad)
	m.now = m.now.Add(45 * time.Second)
	m.submitAndStart(t, newJob("a", "slow", 1, 1, 0, time.Hour))
	assert.Equal(t, len(m.active), 0)
	m.now = m.now.Add(time.Minute)
	m.decide()
	m.confirmStarts()
	assert.Equal(t, len(m.active), 1)
	m.handleEvent(m.active[0], EventFinished, "")
	assert.Equal(t, len(m.core.quarantinedWorkers), 0)
}

// TestAdoptStopsContradictions guards against an older attempt of an earlier scheduler that runs beside the current
// one. It also guards against a stop of the current attempt when it is reported again, or when another attempt is
// reported without any member.
func TestAdoptStopsContradictions(t *testing.T) {
	j := newJob("a", "slow", 2, 1, 0, time.Hour)
	j.ID = "j0001"
	placement := []Assignment{{Worker: "d0-r0-w0", Tasks: []int{1, 0}}}
	tests := []struct {
		name      string
		number    descriptor.Attempt
		placement []Assignment
		reason    string
	}{
		{"older", 1, placement, "attempt 2 is the current one"},
		{"partial", 3, placement[:0], "attempt 2 is the current one"},
		{"same", 2, placement, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newModel(t, testConfig(descriptor.Workspace{Name: "a"}), testFleet(1, 1, 1, 8))
			m.jobs[j.Key()] = j
			m.core.Adopt(ReportedAttempt{Job: j, Accepted: m.now, Number: 2, Placement: placement, Running: true, StartedAt: m.now}, m.now)
			m.core.Adopt(ReportedAttempt{Job: j, Accepted: m.now, Number: tt.number, Placement: tt.placement, Running: true, StartedAt: m.now}, m.now)
			decisions := m.core.Decide(m.now)
			assert.Equal(t, m.explain(t, j.Key()).State, StateRunning)
			if tt.reason == "" || len(tt.placement) == 0 {
				assert.Equal(t, len(decisions), 0)
				return
			}
			assert.Equal(t, decisions[0].Kind, DecisionStop)
			assert.Equal(t, decisions[0].Reason, tt.reason)
		})
	}
}

// TestSubmitRefusals guards against accepting jobs that can never run or name an unknown workspace or class, against an
// unbounded queue, and against less urgent jobs that take the last places in it.
func TestSubmitRefusals(t *testing.T) {
	m := newModel(t, testConfig(descriptor.Workspace{Name: "a"}), testFleet(2, 1, 1, 8))
	m.core.QueueLimit = 8
	err := m.submit(newJob("a", "slow", 2, 8, 0, time.Hour))
	assert.Assert(t, errors.Is(err, ErrNeverFits), "%v", err)
	assert.ErrorContains(t, err, "at most 1 fit")
	assert.Assert(t, errors.Is(m.submit(newJob("x", "slow", 1, 1, 0, time.Hour)), ErrUnknownWorkspace))
	assert.Assert(t, errors.Is(m.submit(newJob("a", "x", 1, 1, 0, time.Hour)), ErrUnknownClass))
	for range 7 {
		assert.NilError(t, m.submit(newJob("a", "slow", 1, 8, 0, time.Hour)))
	}
	assert.Assert(t, errors.Is(m.submit(newJob("a", "slow", 1, 8, 0, time.Minute)), ErrQueueFull))
	assert.NilError(t, m.submit(newJob("a", "urgent", 1, 8, 0, time.Hour)))
	assert.Assert(t, errors.Is(m.submit(newJob("a", "urgent", 1, 8, 0, time.Hour)), ErrQueueFull))
}

// TestJobEndsWhenFleetShrinksPermanently guards against jobs that wait indefinitely after the loss of a worker that
// they need. The worker must expire after workerRetention, and the job must end after unschedulableTimeout.
func TestJobEndsWhenFleetShrinksPermanently(t *testing.T) {
	m := newModel(t, testConfig(descriptor.Workspace{Name: "a"}), testFleet(1, 1, 2, 8))
	key := m.submitAndStart(t, newJob("a", "slow", 2, 8, 0, time.Hour))
	m.loseWorker("d0-r0-w1")
	for range 26 * 60 {
		m.confirmStops()
		m.decide()
		m.now = m.now.Add(time.Minute)
	}
	assert.Equal(t, m.explain(t, key).State, StateEnded)
}

// TestRunTimesAreCorrected guards against a correction that does not follow the run times of earlier runs, or that
// keeps following old runs when many recent ones differ.
func TestRunTimesAreCorrected(t *testing.T) {
	var h history
	p := workspaceClass{"a", "slow"}
	for range 10 {
		h.add(p, int64(time.Hour), 3*int64(time.Hour))
	}
	f, n := h.correction(p)
	assert.Equal(t, n, 10)
	assert.Assert(t, f >= 3 && f <= 4.5, "%v", f)
	for range 1000 {
		h.add(p, int64(time.Hour), int64(time.Hour)/2)
	}
	f, _ = h.correction(p)
	assert.Assert(t, f <= 1, "%v", f)
}

// TestBaselineIsStrictlyFirstInFirstOut guards against a baseline policy in which a small urgent job, for which a
// worker is free, overtakes a large job that waits for two workers.
func TestBaselineIsStrictlyFirstInFirstOut(t *testing.T) {
	m := newModel(t, testConfig(guaranteedWorkspace("a", 8, descriptor.LevelWorker, 1)), nil)
	m.core.Policy = PolicyBaseline
	for _, w := range testFleet(1, 1, 2, 8) {
		m.workers[w.ID], m.up[w.ID] = w, true
		m.core.SetWorker(w, m.now)
	}
	m.submitAndStart(t, newJob("a", "slow", 1, 8, 0, time.Hour))
	m.now = m.now.Add(time.Second)
	big := m.submitAndStart(t, newJob("a", "slow", 2, 8, 0, time.Hour))
	m.now = m.now.Add(time.Second)
	small := m.submitAndStart(t, newJob("a", "urgent", 1, 1, 0, time.Minute))
	assert.Equal(t, m.explain(t, big).State, StateWaiting)
	assert.Equal(t, m.explain(t, small).State, StateWaiting)
	m.handleEvent(m.active[0], EventFinished, "")
	m.decide()
	assert.Equal(t, m.explain(t, big).State, StateHeld)
}

// TestExplainAndFragmentation guards against a wrong blocker or estimated start of a waiting job, and against free
// capacity that counts as usable although it is spread over two workers and the job needs a whole one.
func TestExplainAndFragmentation(t *testing.T) {
	m := newModel(t, testConfig(descriptor.Workspace{Name: "a"}), testFleet(1, 1, 2, 8))
	for range 2 {
		m.submitAndStart(t, newJob("a", "slow", 1, 6, 0, time.Hour))
	}
	key := m.submitAndStart(t, newJob("a", "slow", 1, 8, 0, time.Hour))
	m.decide()
	e := m.explain(t, key)
	assert.Equal(t, e.Blocker, "no failure domain has enough free resources")
	assert.Equal(t, e.EstimatedStart, m.now.Add(time.Hour))
	f := m.core.Fragmentation(m.now)
	assert.Equal(t, f.Free, descriptor.Accelerators(4))
	assert.Equal(t, f.Share, 1.0)
	assert.Equal(t, f.LargeWaiting, 1)
	assert.Equal(t, f.Utilisation, 0.75)
}

// TestGuaranteeBelongsToOneRegion guards against a guarantee without a region that is honoured by several
// regions or by none.
func TestGuaranteeBelongsToOneRegion(t *testing.T) {
	cfg := testConfig(guaranteedWorkspace("a", 8, descriptor.LevelRack, 3))
	cfg.FailureDomains[1].Region = "south"
	cfg.Fleet = []descriptor.RackSize{{FailureDomain: "d0", Racks: 1, Workers: 1, Accelerators: 8}, {FailureDomain: "d1", Racks: 2, Workers: 1, Accelerators: 8}}
	copies := map[descriptor.RegionID]int{}
	for _, region := range []descriptor.RegionID{"north", "south"} {
		c := &Core{Region: region}
		c.Configure(&cfg, startTime)
		copies[region] = len(c.cells)
	}
	assert.DeepEqual(t, copies, map[descriptor.RegionID]int{"north": 1, "south": 2})
}
