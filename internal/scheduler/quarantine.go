package scheduler

import (
	"fmt"
	"slices"

	"persimmontrail/pkg/descriptor"
)

// Limits of the decision who is at fault for failures.
const (
	// badJobWorkerLimit is on how many workers, on which other jobs succeed, a job may fail before it is ended.
	badJobWorkerLimit = 3
	// badJobFailureLimit ends a job whatever the workers are.
	badJobFailureLimit = 8
	// quarantineThreshold is how many unexplained failures of different jobs without a success in between cause quarantine.
	quarantineThreshold = 3.0
	// workerFailuresKept bounds the failures that are remembered for a worker.
	workerFailuresKept = 8
	// healthyRunTime is how long a task must run to count as a success of its worker, since most jobs run for hours.
	healthyRunTime = 5 * minute
	// avoidDuration is how long a job avoids a worker on which it failed.
	avoidDuration = 10 * minute
	// quarantineBackoff is the first back-off; it doubles up to quarantineMax.
	quarantineBackoff    = 30 * second
	quarantineBackoffMax = hour
	// failureBackoff is the first delay after a failure; it doubles up to failureDelayMax.
	failureBackoff    = second
	failureBackoffMax = 5 * minute
)

// failure is the latest failure of a job on one worker.
type failure struct {
	worker descriptor.WorkerID
	at     int64
}

// workerFailure is the failure of one job on a worker.
type workerFailure struct {
	job *job
	at  int64
}

// health is what a worker's successes and failures say about it.
type health struct {
	quarantined bool
	// probing workers left quarantine and run one task, probe, until it succeeds or fails.
	probing bool
	probe   *attempt
	// quarantineEnd is the end of the quarantine; level counts quarantines without a success in between.
	quarantineEnd   int64
	quarantineCount int
	// failures are of distinct jobs since the last success.
	failures    []workerFailure
	lastSuccess int64
}

// avoids reports whether j failed on w recently.
func (j *job) avoids(w *worker, now int64) bool {
	return slices.ContainsFunc(j.failures, func(f failure) bool { return f.worker == w.ID && now-f.at < avoidDuration })
}

// taskFailed decides from who fails with whom whether the job or the worker is at fault.
func (c *Core) taskFailed(a *attempt, e Event) {
	j := a.job
	w := c.view.workers[e.Worker]
	ran := c.now - a.startedAt
	c.release(a)
	j.current = nil
	probe := w != nil && w.health.probe == a
	c.endProbe(a)
	if j.state == StateEnded {
		return
	}
	j.addRecord(c.now, a.number, "Failed", e.Cause)
	j.failures = append(slices.DeleteFunc(j.failures, func(f failure) bool { return f.worker == e.Worker }), failure{e.Worker, c.now})
	healthyWorkers := c.failuresOnHealthyWorkers(j, ran)
	if w != nil && healthyWorkers < 2 {
		c.recordWorkerFailure(w, j, probe)
	}
	switch {
	case j.NonIdempotent:
		c.endJob(j, "a task failed and the job runs at most once: "+e.Cause)
	case healthyWorkers >= badJobWorkerLimit:
		c.forgetJobFailures(j)
		c.endJob(j, fmt.Sprintf("failed on %d workers on which other jobs succeed: %s", healthyWorkers, e.Cause))
	case len(j.failures) >= badJobFailureLimit:
		c.endJob(j, fmt.Sprintf("failed on %d workers: %s", len(j.failures), e.Cause))
	default:
		j.notBefore = c.now + min(failureBackoff<<min(len(j.failures)-1, 10), failureBackoffMax)
		c.enqueue(j)
	}
}

// failuresOnHealthyWorkers counts the workers on which j failed and other jobs succeed.
func (c *Core) failuresOnHealthyWorkers(j *job, ran int64) int {
	n := 0
	for _, f := range j.failures {
		w := c.view.workers[f.worker]
		if w != nil && !w.health.quarantined && !w.health.probing && c.succeedsForOthers(w, j, ran) {
			n++
		}
	}
	return n
}

// succeedsForOthers reports whether work other than j succeeds on w: one has ended well since the last failures,
// or one has run there for longer than j did before it failed.
func (c *Core) succeedsForOthers(w *worker, j *job, ran int64) bool {
	others := slices.ContainsFunc(w.health.failures, func(b workerFailure) bool { return b.job != j })
	if w.health.lastSuccess > 0 && !others {
		return true
	}
	return c.runsWell(w, j, max(ran, healthyRunTime))
}

func (c *Core) runsWell(w *worker, j *job, long int64) bool {
	return slices.ContainsFunc(w.attempts, func(a *attempt) bool {
		return a.job != j && a.running && c.now-a.startedAt >= long
	})
}

// recordWorkerFailure notes a failure on w and puts it into quarantine when it fails everything.
func (c *Core) recordWorkerFailure(w *worker, j *job, probe bool) {
	h := &w.health
	h.failures = slices.DeleteFunc(h.failures, func(b workerFailure) bool { return b.job == j })
	if len(h.failures) == workerFailuresKept {
		h.failures = slices.Delete(h.failures, 0, 1)
	}
	h.failures = append(h.failures, workerFailure{j, c.now})
	if probe || (c.failureScore(w) >= quarantineThreshold && !c.runsWellSince(w, h.failures[0].at)) {
		c.quarantineWorker(w)
	}
}

// failureScore adds up the failures on w that the jobs themselves do not explain. When w has succeeded before,
// several failing jobs of one workspace and class may be a bad batch and count half after the first.
func (c *Core) failureScore(w *worker) float64 {
	sum := 0.0
	seen := make(map[workspaceClass]bool)
	for _, b := range w.health.failures {
		if c.failuresOnHealthyWorkers(b.job, 0) >= 2 {
			continue
		}
		p := workspaceClass{b.job.Workspace, b.job.Class}
		if seen[p] && w.health.lastSuccess > 0 {
			sum += 0.5
			continue
		}
		seen[p] = true
		sum++
	}
	return sum
}

// runsWellSince reports whether work that started after at runs well on w.
func (c *Core) runsWellSince(w *worker, at int64) bool {
	return slices.ContainsFunc(w.attempts, func(a *attempt) bool {
		return a.running && a.startedAt > at && c.now-a.startedAt >= healthyRunTime
	})
}

// forgetJobFailures removes the failures of a bad job from the workers.
func (c *Core) forgetJobFailures(j *job) {
	for _, f := range j.failures {
		if w := c.view.workers[f.worker]; w != nil {
			w.health.failures = slices.DeleteFunc(w.health.failures, func(b workerFailure) bool { return b.job == j })
		}
	}
}

func (c *Core) quarantineWorker(w *worker) {
	h := &w.health
	h.quarantined, h.probing, h.probe = true, false, nil
	h.quarantineEnd = c.now + min(quarantineBackoff<<min(h.quarantineCount, 10), quarantineBackoffMax)
	h.quarantineCount++
	if !slices.Contains(c.quarantinedWorkers, w) {
		c.quarantinedWorkers = append(c.quarantinedWorkers, w)
	}
	c.updateSums(w)
	c.planDirty = true
}

// recordSuccess notes that a ended well on w.
func (c *Core) recordSuccess(w *worker, a *attempt) {
	h := &w.health
	h.lastSuccess, h.failures = c.now, nil
	if h.probe == a {
		c.endQuarantine(w)
	}
}

// endQuarantine ends the probing of w.
func (c *Core) endQuarantine(w *worker) {
	h := &w.health
	h.probing, h.probe, h.quarantineCount, h.failures = false, nil, 0, nil
	c.quarantinedWorkers = without(c.quarantinedWorkers, w)
	c.planDirty = true
	c.updateSums(w)
	c.capacityFreed()
}

// endProbe lets another task probe when a ended without a result.
func (c *Core) endProbe(a *attempt) {
	for _, s := range a.spans {
		if s.worker.health.probe == a {
			s.worker.health.probe = nil
			c.capacityFreed()
		}
	}
}

// updateQuarantine starts probing when a back-off has passed, and ends it when the probe runs well.
func (c *Core) updateQuarantine() {
	for _, w := range slices.Clone(c.quarantinedWorkers) {
		h := &w.health
		switch {
		case !w.up:
			c.quarantinedWorkers = without(c.quarantinedWorkers, w)
		case h.quarantined && c.now >= h.quarantineEnd:
			h.quarantined, h.probing, h.failures = false, true, nil
			c.updateSums(w)
		case h.probing && h.probe != nil && h.probe.running && c.now-h.probe.startedAt >= healthyRunTime:
			c.endQuarantine(w)
		}
	}
}

// saveHealth keeps the quarantine of a worker that goes, since a restart does not cure a machine.
func (c *Core) saveHealth(w *worker) {
	if w.health.quarantineCount > 0 {
		c.savedHealth[w.ID] = health{quarantined: true, quarantineEnd: w.health.quarantineEnd, quarantineCount: w.health.quarantineCount}
	}
	w.health = health{}
}

// restoreHealth takes up a quarantine from before the worker went.
func (c *Core) restoreHealth(w *worker) {
	h, ok := c.savedHealth[w.ID]
	if !ok {
		return
	}
	delete(c.savedHealth, w.ID)
	w.health = h
	c.quarantinedWorkers = append(c.quarantinedWorkers, w)
}
