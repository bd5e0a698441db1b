package scheduler

import (
	"fmt"
	"slices"

	"persimmontrail/pkg/descriptor"
)

// Limits that decide whether a job or a worker is at fault for failures, and the delays that follow.
const (
	// badJobHealthyWorkerLimit is the number of workers on which a job must have failed to be ended, if only workers on
	// which other jobs succeed are counted.
	badJobHealthyWorkerLimit = 3
	// badJobAnyWorkerLimit is the number of workers on which a job must have failed to be ended, if all workers are
	// counted.
	badJobAnyWorkerLimit = 8
	// quarantineThreshold is the failure score from which a worker is quarantined; see failureScore.
	quarantineThreshold = 3.0
	// workerFailuresKept is the maximum number of failures remembered per worker.
	workerFailuresKept = 8
	// healthyRunTime is the run time after which a running task counts as a success of its worker. Waiting
	// for the end would take too long, since most jobs run for hours.
	healthyRunTime = 5 * minute
	// avoidDuration is how long a job avoids a worker on which it failed.
	avoidDuration = 10 * minute
	// quarantineBackoff is the length of the first quarantine. It doubles with each further one up to
	// quarantineBackoffMax, until a probe succeeds.
	quarantineBackoff    = 30 * second
	quarantineBackoffMax = hour
	// failureBackoff is the delay after the first failure of a job. It doubles with each further worker on which the
	// job fails, up to failureBackoffMax.
	failureBackoff    = second
	failureBackoffMax = 5 * minute
)

// jobFailure is the latest failure of a job on a worker.
type jobFailure struct {
	worker descriptor.WorkerID
	at     int64
}

// workerFailure is the latest failure on a worker by a job.
type workerFailure struct {
	job *job
	at  int64
}

// health tracks the successes and failures on a worker.
type health struct {
	quarantined bool
	// probing workers have left quarantine and run a single task, probe, until it succeeds or fails.
	probing       bool
	probe         *attempt
	quarantineEnd int64
	// quarantineCount is the number of quarantines since a probe last succeeded on the worker.
	quarantineCount int
	// recentFailures are the failures since the last success or the end of the last quarantine, one per job and
	// workerFailuresKept at most.
	recentFailures []workerFailure
	lastSuccess    int64
}

// avoids reports whether j failed on w within avoidDuration.
func (j *job) avoids(w *worker, now int64) bool {
	return slices.ContainsFunc(j.failures, func(f jobFailure) bool { return f.worker == w.ID && now-f.at < avoidDuration })
}

// taskFailed ends a failed attempt and decides whether the job or the worker is at fault: the job if other jobs succeed
// on the same workers, the worker if other jobs fail on it too. It then ends the job or queues it again.
func (c *Core) taskFailed(a *attempt, e Event) {
	j := a.job
	w := c.fleet.workers[e.Worker]
	ran := c.now - a.startedAt
	c.release(a)
	j.current = nil
	wasProbe := w != nil && w.health.probe == a
	c.endProbe(a)
	if j.state == StateEnded {
		return
	}
	j.addRecord(c.now, a.number, "Failed", e.Cause)
	j.failures = append(slices.DeleteFunc(j.failures, func(f jobFailure) bool { return f.worker == e.Worker }), jobFailure{e.Worker, c.now})
	healthyWorkers := c.failuresOnHealthyWorkers(j, ran)
	if w != nil && healthyWorkers < 2 {
		c.recordWorkerFailure(w, j, wasProbe)
	}
	switch {
	case j.NonIdempotent:
		c.endJob(j, "a task failed and the job runs at most once: "+e.Cause)
	case healthyWorkers >= badJobHealthyWorkerLimit:
		c.forgetJobFailures(j)
		c.endJob(j, fmt.Sprintf("failed on %d workers on which other jobs succeed: %s", healthyWorkers, e.Cause))
	case len(j.failures) >= badJobAnyWorkerLimit:
		c.endJob(j, fmt.Sprintf("failed on %d workers: %s", len(j.failures), e.Cause))
	default:
		j.notBefore = c.now + min(failureBackoff<<min(len(j.failures)-1, 10), failureBackoffMax)
		c.enqueue(j)
	}
}

// failuresOnHealthyWorkers returns the number of workers on which j failed and other jobs succeed. ran is the
// run time of j before the latest failure.
func (c *Core) failuresOnHealthyWorkers(j *job, ran int64) int {
	n := 0
	for _, f := range j.failures {
		w := c.fleet.workers[f.worker]
		if w != nil && !w.health.quarantined && !w.health.probing && c.succeedsForOthers(w, j, ran) {
			n++
		}
	}
	return n
}

// succeedsForOthers reports whether jobs other than j succeed on w: either w has had a success and only j has
// failed there since, or another job has been running there for at least the longer of ran and healthyRunTime. ran
// is the run time of j before its latest failure.
func (c *Core) succeedsForOthers(w *worker, j *job, ran int64) bool {
	othersFailed := slices.ContainsFunc(w.health.recentFailures, func(b workerFailure) bool { return b.job != j })
	if w.health.lastSuccess > 0 && !othersFailed {
		return true
	}
	return c.runsOtherJob(w, j, max(ran, healthyRunTime))
}

// runsOtherJob reports whether a job other than j has been running on w for at least minRunTime.
func (c *Core) runsOtherJob(w *worker, j *job, minRunTime int64) bool {
	return slices.ContainsFunc(w.attempts, func(a *attempt) bool {
		return a.job != j && a.running && c.now-a.startedAt >= minRunTime
	})
}

// recordWorkerFailure records a failure of j on w. It quarantines w if the failed attempt was its probe, or if
// failureScore reaches quarantineThreshold and no work that started after the first recent failure has run there
// for healthyRunTime.
func (c *Core) recordWorkerFailure(w *worker, j *job, wasProbe bool) {
	h := &w.health
	h.recentFailures = slices.DeleteFunc(h.recentFailures, func(b workerFailure) bool { return b.job == j })
	if len(h.recentFailures) == workerFailuresKept {
		h.recentFailures = slices.Delete(h.recentFailures, 0, 1)
	}
	h.recentFailures = append(h.recentFailures, workerFailure{j, c.now})
	if wasProbe || (c.failureScore(w) >= quarantineThreshold && !c.runsWellSince(w, h.recentFailures[0].at)) {
		c.quarantineWorker(w)
	}
}

// failureScore returns the weighted number of recent failures on w. Failures of a job that failed on at least two
// workers where other jobs succeed are not counted. If w has ever had a success, several failures in the same
// workspace and class may be due to a faulty batch of jobs; all but the first of them count half.
func (c *Core) failureScore(w *worker) float64 {
	sum := 0.0
	seen := make(map[workspaceClass]bool)
	for _, b := range w.health.recentFailures {
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

// runsWellSince reports whether work that started after at has run on w for healthyRunTime.
func (c *Core) runsWellSince(w *worker, at int64) bool {
	return slices.ContainsFunc(w.attempts, func(a *attempt) bool {
		return a.running && a.startedAt > at && c.now-a.startedAt >= healthyRunTime
	})
}

// forgetJobFailures removes the failures of j, which is itself at fault, from the workers.
func (c *Core) forgetJobFailures(j *job) {
	for _, f := range j.failures {
		if w := c.fleet.workers[f.worker]; w != nil {
			w.health.recentFailures = slices.DeleteFunc(w.health.recentFailures, func(b workerFailure) bool { return b.job == j })
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

// recordSuccess records that a finished on w. It clears the recent failures of w and ends the probing if a is the
// probe.
func (c *Core) recordSuccess(w *worker, a *attempt) {
	h := &w.health
	h.lastSuccess, h.recentFailures = c.now, nil
	if h.probe == a {
		c.endQuarantine(w)
	}
}

// endQuarantine returns w to normal use after a successful probe. The next quarantine is as short as the first.
func (c *Core) endQuarantine(w *worker) {
	h := &w.health
	h.probing, h.probe, h.quarantineCount, h.recentFailures = false, nil, 0, nil
	c.quarantinedWorkers = without(c.quarantinedWorkers, w)
	c.planDirty = true
	c.updateSums(w)
	c.capacityFreed()
}

// endProbe allows another probe on the workers on which a is the probe, when a ended without a result.
func (c *Core) endProbe(a *attempt) {
	for _, s := range a.spans {
		if s.worker.health.probe == a {
			s.worker.health.probe = nil
			c.capacityFreed()
		}
	}
}

// updateQuarantine starts probing when the quarantine of a worker ends, and returns the worker to normal use
// when its probe has run for healthyRunTime.
func (c *Core) updateQuarantine() {
	for _, w := range slices.Clone(c.quarantinedWorkers) {
		h := &w.health
		switch {
		case !w.up:
			c.quarantinedWorkers = without(c.quarantinedWorkers, w)
		case h.quarantined && c.now >= h.quarantineEnd:
			h.quarantined, h.probing, h.recentFailures = false, true, nil
			c.updateSums(w)
		case h.probing && h.probe != nil && h.probe.running && c.now-h.probe.startedAt >= healthyRunTime:
			c.endQuarantine(w)
		}
	}
}

// saveHealth saves the quarantine of a worker that is removed, since a restart does not repair a faulty VM, and clears
// the health of w.
func (c *Core) saveHealth(w *worker) {
	if w.health.quarantineCount > 0 {
		c.savedHealth[w.ID] = health{quarantined: true, quarantineEnd: w.health.quarantineEnd, quarantineCount: w.health.quarantineCount}
	}
	w.health = health{}
}

// restoreHealth restores the quarantine of a worker that is added to the hierarchy again, such as after a move to
// another rack. SetWorker does not call it for a worker that returns to the same rack within workerRetention.
func (c *Core) restoreHealth(w *worker) {
	h, ok := c.savedHealth[w.ID]
	if !ok {
		return
	}
	delete(c.savedHealth, w.ID)
	w.health = h
	c.quarantinedWorkers = append(c.quarantinedWorkers, w)
}
