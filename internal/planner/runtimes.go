package planner

import (
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// slowFactor is how many times slower than on other workers a task must run to count as slow. The tasks of a step
	// differ by less than a fifth, and workers that have just started may be slower by half.
	slowFactor = 2.5
	// slowFactorByEstimate applies when only estimates are known. They may be several times too short, and a task that
	// is moved needlessly loses its work.
	slowFactorByEstimate = 4.0
	// minProjectionPercent is the least progress from which a projected run time is recorded, or compared with an
	// estimate. Percentages are rounded down, so a projection from less progress is inaccurate.
	minProjectionPercent = 6
	// maxSlowStops is the number of times that a task is stopped because it is slow. One that is slow everywhere is long by
	// itself, and would begin anew for ever.
	maxSlowStops = 2
	// minSlowWork is the least time of work after which an attempt can count as slow.
	minSlowWork = 500 * time.Millisecond
)

// observedRunTimes holds the run times of the tasks of one step by worker. They are projected from the tasks' progress
// and divided by the slowdown of a placement away from the data or spread over racks.
type observedRunTimes struct {
	byWorker map[descriptor.WorkerID]time.Duration
	// median caches the median over all workers; 0 means that it must be computed.
	median time.Duration
	// mediansExcept caches the results of medianExcept.
	mediansExcept map[descriptor.WorkerID]time.Duration
}

// set replaces the projected run time on a worker, and discards the cached median if it has changed.
func (o *observedRunTimes) set(w descriptor.WorkerID, d time.Duration) {
	if o.byWorker == nil {
		o.byWorker = map[descriptor.WorkerID]time.Duration{}
	}
	if o.byWorker[w] != d {
		o.byWorker[w], o.median = d, 0
		clear(o.mediansExcept)
	}
}

// medianOverall returns the median over all workers, 0 when none is known.
func (o *observedRunTimes) medianOverall() time.Duration {
	if o == nil || len(o.byWorker) == 0 {
		return 0
	}
	if o.median == 0 {
		o.median = o.medianExcept("")
	}
	return o.median
}

// medianExcept returns the median over all workers but one, 0 when none is known.
func (o *observedRunTimes) medianExcept(except descriptor.WorkerID) time.Duration {
	if o == nil {
		return 0
	}
	if m, ok := o.mediansExcept[except]; ok {
		return m
	}
	if o.mediansExcept == nil {
		o.mediansExcept = map[descriptor.WorkerID]time.Duration{}
	}
	m := o.computeMedian(except)
	o.mediansExcept[except] = m
	return m
}

// computeMedian is medianExcept without the cache.
func (o *observedRunTimes) computeMedian(except descriptor.WorkerID) time.Duration {
	var runTimes []time.Duration
	for w, d := range o.byWorker {
		if w != except {
			runTimes = append(runTimes, d)
		}
	}
	if len(runTimes) == 0 {
		return 0
	}
	slices.Sort(runTimes)
	return runTimes[len(runTimes)/2]
}

// workedTime returns how long an attempt has worked up to the given worker clock. A gang works only from the time when
// its last member is present.
func (c *Core) workedTime(r *attempt, clock descriptor.WorkerClock) time.Duration {
	d := time.Duration(clock-r.firstListed) * time.Millisecond
	if r.job.step(r.id.Task.Step).Gang {
		d -= c.gangDelay(r)
	}
	return d
}

// recordProjectedRunTime records the run time projected from an attempt's progress, if that is meaningful, at least
// minProjectionPercent and less than 100. Attempts with a checkpoint are left out.
func (c *Core) recordProjectedRunTime(r *attempt) {
	if r.percent < minProjectionPercent || r.percent >= 100 || r.checkpoint != "" || !c.progressMeaningful(r) {
		return
	}
	projected := c.workedTime(r, r.lastProgress) * 100 / time.Duration(r.percent)
	if projected > 0 {
		r.job.stepRunTimesOf(r.id.Task.Step).set(r.worker.incarnation.Worker, time.Duration(float64(projected)/c.distanceFactor(r)))
	}
}

// stepRunTimesOf returns the observed run times of step s, adding an empty set on first use.
func (j *job) stepRunTimesOf(s int) *observedRunTimes {
	o := j.stepRunTimes[s]
	if o == nil {
		o = &observedRunTimes{}
		if j.stepRunTimes == nil {
			j.stepRunTimes = map[int]*observedRunTimes{}
		}
		j.stepRunTimes[s] = o
	}
	return o
}

// tooSlow reports whether an attempt is so slow that the task would end earlier if restarted on another worker: its
// projected run time is more than slowFactor times the expected one, multiplied by its distanceFactor, and it has more
// than one and a half times the time of a restart left. The expected run time is the median observed for the same step
// on other workers. If there is none, the estimate and slowFactorByEstimate are used, but only from
// minProjectionPercent on and if the run times of the queue are trusted. Attempts that have worked for less than
// minSlowWork, have a checkpoint or are at 100 percent never count as too slow, nor do those whose progress is not
// meaningful, nor with Expectations those that are longByNature, nor tasks that were stopped maxSlowStops times.
func (c *Core) tooSlow(r *attempt) bool {
	if !c.progressMeaningful(r) || r.percent >= 100 || r.checkpoint != "" ||
		r.job.slowStops[r.job.failureKey(r.id.Task)] >= maxSlowStops {
		return false
	}
	worked := c.workedTime(r, r.lastListed)
	if worked < minSlowWork {
		return false
	}
	factor := slowFactor
	expected := r.job.stepRunTimes[r.id.Task.Step].medianExcept(r.worker.incarnation.Worker)
	if expected == 0 {
		if r.percent < minProjectionPercent || !c.runTimesTrusted(r.job) {
			return false
		}
		expected, factor = c.estimateRunTime(r.job, r.id.Task.Step), slowFactorByEstimate
	}
	// Percentages are rounded down, so the attempt may be up to one percent further.
	projected := worked * 100 / time.Duration(r.percent+1)
	left := projected * time.Duration(100-r.percent) / 100
	restartTime := expected + c.Limits.StopGrace + stopMargin
	if float64(projected) <= factor*float64(expected)*c.distanceFactor(r) || left <= restartTime*3/2 {
		return false
	}
	return !c.longByNature(r, projected)
}

// noteSlowStop counts a stop of a task that is slow.
func (j *job) noteSlowStop(id descriptor.TaskID) {
	if j.slowStops == nil {
		j.slowStops = map[descriptor.TaskID]int{}
	}
	j.slowStops[j.failureKey(id)]++
}
