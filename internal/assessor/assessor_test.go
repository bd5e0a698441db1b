package assessor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet is an Assessor with workers n00, n01, ... that it knows.
func fleet(count int) (*Assessor, time.Time) {
	a, now := &Assessor{}, time.Unix(1000, 0)
	for i := range count {
		a.Seen(workerID(i), now)
	}
	return a, now
}

func workerID(i int) WorkerID { return WorkerID(fmt.Sprintf("n%02d", i)) }

// countStates returns the number of workers in each state.
func countStates(a *Assessor, count int, now time.Time) map[State]int {
	states := map[State]int{}
	for i := range count {
		states[a.State(workerID(i), now)]++
	}
	return states
}

// TestGreyWorker names the load of a worker that fails half of its tasks while the others fail one in fifty. It must
// get few attempts, and the others nearly as many as before.
func TestGreyWorker(t *testing.T) {
	failedInAll := 0
	for seed := range uint64(20) {
		a, now := fleet(20)
		r := rand.New(rand.NewPCG(seed, 0))
		failed := 0
		for i := range 400 {
			now = now.Add(50 * time.Millisecond)
			id := workerID(i % 20)
			if a.State(id, now) == Avoided {
				continue
			}
			share := 0.02
			if i%20 == 0 {
				share = 0.5
			}
			j := JobID(fmt.Sprint(i / 3))
			if r.Float64() >= share {
				a.Succeeded(id, j, now.Add(-time.Millisecond), now)
				continue
			}
			a.Failed(id, j, now)
			if i%20 == 0 {
				failed++
			}
		}
		failedInAll += failed
		states := countStates(a, 20, now)
		assert.Assert(t, failed <= 7 && states[Avoided] <= 2, "seed %d: %d of 20 failed, %v", seed, failed, states)
	}
	assert.Assert(t, failedInAll <= 100, "%d of 400 attempts failed", failedInAll)
}

// TestFlappingWorker names the load of a worker that goes down and up each 1.4 s, and of one that restarts once.
func TestFlappingWorker(t *testing.T) {
	a, now := fleet(9)
	a.Restarted("n00", now)
	a.Restarted("n01", now)
	assert.Equal(t, countStates(a, 9, now)[Sound], 9)
	for range 3 {
		now = now.Add(1400 * time.Millisecond)
		a.Restarted("n01", now)
		assert.Equal(t, a.State("n01", now), Avoided)
	}
	now = now.Add(minAvoidance)
	assert.Equal(t, a.State("n01", now), Probation)
	a.Succeeded("n01", "j", now.Add(-time.Second), now)
	assert.Equal(t, countStates(a, 9, now.Add(halfLife))[Sound], 9)
}

// TestJobFailingEverywhere names the load of wide workloads whose tasks fail on all workers. They must not take the
// workers from others, and clear those that they blamed first.
func TestJobFailingEverywhere(t *testing.T) {
	a, now := fleet(12)
	worst := 0
	for i := range 96 {
		now = now.Add(20 * time.Millisecond)
		a.Failed(workerID(i/8), JobID(fmt.Sprint("j", i%2)), now)
		worst = max(worst, countStates(a, 12, now)[Avoided])
	}
	assert.Assert(t, worst <= 3, "%d workers avoided at a time", worst)
	states := countStates(a, 12, now)
	assert.Assert(t, states[Avoided] <= 1, "%v", states)
}

// TestFailureDomainFailing names the load of a failure domain, a sixth of the fleet, whose workers fail all that they
// start, and of a fault of the whole fleet, after which most workers must still get work.
func TestFailureDomainFailing(t *testing.T) {
	for _, test := range []struct{ failing, avoided int }{{9, 9}, {54, 18}} {
		a, now := fleet(54)
		for i := range 10 * test.failing {
			now = now.Add(2 * time.Millisecond)
			a.Ran(workerID(9+i%45), JobID(fmt.Sprint("j", i%4)), now, now)
			if id := workerID(i % test.failing); a.State(id, now) != Avoided {
				a.Failed(id, JobID(fmt.Sprint("j", i%4)), now)
			}
		}
		states := countStates(a, 54, now)
		if test.failing < 54 {
			assert.Equal(t, states[Avoided], test.avoided)
			assert.Equal(t, states[Sound], 54-test.failing)
		}
		assert.Assert(t, states[Avoided] <= test.avoided, "%v", states)
	}
}

// TestMemoryIsBounded names the load of a day of workloads that fail, on workers that come and go.
func TestMemoryIsBounded(t *testing.T) {
	a, now := fleet(0)
	for i := range 20_000 {
		now = now.Add(100 * time.Millisecond)
		a.Failed(WorkerID(fmt.Sprint("w", i/50)), JobID(fmt.Sprint("j", i/10)), now)
	}
	assert.Assert(t, len(a.jobs) <= maxJobs && len(a.workers) < 100, "%d workloads, %d workers", len(a.jobs), len(a.workers))
	for _, w := range a.workers {
		assert.Assert(t, len(w.failures) <= maxFailures)
	}
}
