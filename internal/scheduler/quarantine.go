package scheduler

import (
	"fmt"
	"slices"

	"persimmontrail/pkg/descriptor"
)

// Limits of the decision who is at fault for failures.
const (
	// badJobWorkers is on how many workers, on which other jobs succeed, a job may fail before it is ended.
	badJobWorkers = 3
	// badJobLimit ends a job whatever the workers are.
	badJobLimit = 8
	// quarantineScore is how many unexplained failures of different jobs without a success in between cause quarantine.
	quarantineScore = 3.0
	// blamesKept bounds the failures that are remembered for a worker.
	blamesKept = 8
	// healthyRun is how long a task must run to count as a success of its worker, since most jobs run for hours.
	healthyRun = 5 * minute
	// avoidFor is how long a job avoids a worker on which it failed.
	avoidFor = 10 * minute
	// quarantineFirst is the first back-off; it doubles up to quarantineMax.
	quarantineFirst = 30 * second
	quarantineMax   = hour
	// failureDelay is the first delay after a failure; it doubles up to failureDelayMax.
	failureDelay    = second
	failureDelayMax = 5 * minute
)

// failure is the latest failure of a job on one worker.
type failure struct {
	worker descriptor.WorkerID
	at     int64
}

// blame is the failure of one job on a worker.
type blame struct {
	job *job
	at  int64
}

// health is what a worker's successes and failures say about it.
type health struct {
	quarantined bool
	// probing workers left quarantine and run one task, probe, until it succeeds or fails.
	probing bool
	probe   *attempt
	// until is the end of the quarantine; level counts quarantines without a success in between.
	until int64
	level int
	// blames are of distinct jobs since the last success.
	blames      []blame
	lastSuccess int64
}

// avoids reports whether j failed on w recently.
func (j *job) avoids(w *worker, now int64) bool {
	return slices.ContainsFunc(j.failures, func(f failure) bool { return f.worker == w.ID && now-f.at < avoidFor })
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
	j.note(c.now, a.number, "Failed", e.Cause)
	j.failures = append(slices.DeleteFunc(j.failures, func(f failure) bool { return f.worker == e.Worker }), failure{e.Worker, c.now})
	good := c.failedOnGood(j, ran)
	if w != nil && good < 2 {
		c.recordWorkerFailure(w, j, probe)
	}
	switch {
	case j.NonIdempotent:
		c.end(j, "a task failed and the job runs at most once: "+e.Cause)
	case good >= badJobWorkers:
		c.forgetJobFailures(j)
		c.end(j, fmt.Sprintf("failed on %d workers on which other jobs succeed: %s", good, e.Cause))
	case len(j.failures) >= badJobLimit:
		c.end(j, fmt.Sprintf("failed on %d workers: %s", len(j.failures), e.Cause))
	default:
		j.notBefore = c.now + min(failureDelay<<min(len(j.failures)-1, 10), failureDelayMax)
		c.enqueue(j)
	}
}

// failedOnGood counts the workers on which j failed and other jobs succeed.
func (c *Core) failedOnGood(j *job, ran int64) int {
	n := 0
	for _, f := range j.failures {
		w := c.view.workers[f.worker]
		if w != nil && !w.health.quarantined && !w.health.probing && c.good(w, j, ran) {
			n++
		}
	}
	return n
}

// good reports whether work other than j succeeds on w: one has ended well since the last failures,
// or one has run there for longer than j did before it failed.
func (c *Core) good(w *worker, j *job, ran int64) bool {
	others := slices.ContainsFunc(w.health.blames, func(b blame) bool { return b.job != j })
	if w.health.lastSuccess > 0 && !others {
		return true
	}
	return c.runsWell(w, j, max(ran, healthyRun))
}

func (c *Core) runsWell(w *worker, j *job, long int64) bool {
	return slices.ContainsFunc(w.attempts, func(a *attempt) bool {
		return a.job != j && a.running && c.now-a.startedAt >= long
	})
}

// recordWorkerFailure notes a failure on w and puts it into quarantine when it fails everything.
func (c *Core) recordWorkerFailure(w *worker, j *job, probe bool) {
	h := &w.health
	h.blames = slices.DeleteFunc(h.blames, func(b blame) bool { return b.job == j })
	if len(h.blames) == blamesKept {
		h.blames = slices.Delete(h.blames, 0, 1)
	}
	h.blames = append(h.blames, blame{j, c.now})
	if probe || (c.score(w) >= quarantineScore && !c.startedSince(w, h.blames[0].at)) {
		c.quarantine(w)
	}
}

// score adds up the failures on w that the jobs themselves do not explain. When w has succeeded before,
// several failing jobs of one workspace and class may be a bad batch and count half after the first.
func (c *Core) score(w *worker) float64 {
	sum := 0.0
	seen := make(map[pair]bool)
	for _, b := range w.health.blames {
		if c.failedOnGood(b.job, 0) >= 2 {
			continue
		}
		p := pair{b.job.Workspace, b.job.Class}
		if seen[p] && w.health.lastSuccess > 0 {
			sum += 0.5
			continue
		}
		seen[p] = true
		sum++
	}
	return sum
}

// startedSince reports whether work that started after at runs well on w.
func (c *Core) startedSince(w *worker, at int64) bool {
	return slices.ContainsFunc(w.attempts, func(a *attempt) bool {
		return a.running && a.startedAt > at && c.now-a.startedAt >= healthyRun
	})
}

// forgetJobFailures removes the failures of a bad job from the workers.
func (c *Core) forgetJobFailures(j *job) {
	for _, f := range j.failures {
		if w := c.view.workers[f.worker]; w != nil {
			w.health.blames = slices.DeleteFunc(w.health.blames, func(b blame) bool { return b.job == j })
		}
	}
}

func (c *Core) quarantine(w *worker) {
	h := &w.health
	h.quarantined, h.probing, h.probe = true, false, nil
	h.until = c.now + min(quarantineFirst<<min(h.level, 10), quarantineMax)
	h.level++
	if !slices.Contains(c.quarantined, w) {
		c.quarantined = append(c.quarantined, w)
	}
	c.refresh(w)
	c.planDirty = true
}

// succeeded notes that a ended well on w.
func (c *Core) succeeded(w *worker, a *attempt) {
	h := &w.health
	h.lastSuccess, h.blames = c.now, nil
	if h.probe == a {
		c.endQuarantine(w)
	}
}

// endQuarantine ends the probing of w.
func (c *Core) endQuarantine(w *worker) {
	h := &w.health
	h.probing, h.probe, h.level, h.blames = false, nil, 0, nil
	c.quarantined = without(c.quarantined, w)
	c.planDirty = true
	c.refresh(w)
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

// checkQuarantine starts probing when a back-off has passed, and ends it when the probe runs well.
func (c *Core) checkQuarantine() {
	for _, w := range slices.Clone(c.quarantined) {
		h := &w.health
		switch {
		case !w.up:
			c.quarantined = without(c.quarantined, w)
		case h.quarantined && c.now >= h.until:
			h.quarantined, h.probing, h.blames = false, true, nil
			c.refresh(w)
		case h.probing && h.probe != nil && h.probe.running && c.now-h.probe.startedAt >= healthyRun:
			c.endQuarantine(w)
		}
	}
}

// saveHealth keeps the quarantine of a worker that goes, since a restart does not cure a machine.
func (c *Core) saveHealth(w *worker) {
	if w.health.level > 0 {
		c.healths[w.ID] = health{quarantined: true, until: w.health.until, level: w.health.level}
	}
	w.health = health{}
}

// restoreHealth takes up a quarantine from before the worker went.
func (c *Core) restoreHealth(w *worker) {
	h, ok := c.healths[w.ID]
	if !ok {
		return
	}
	delete(c.healths, w.ID)
	w.health = h
	c.quarantined = append(c.quarantined, w)
}
