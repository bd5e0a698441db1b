package planner

import (
	"math"
	"slices"
	"time"

	"persimmontrail/internal/assessor"
	"persimmontrail/internal/estimator"
	"persimmontrail/pkg/descriptor"
)

const (
	// runningSampleInterval is the pause between two samples of the running attempts.
	runningSampleInterval = time.Second
	// trustedMiss is the value that the error of the expectations of a queue must stay below for run times to be trusted;
	// like maxTrustedError, it is the logarithm of a factor of about 1.6.
	trustedMiss = maxTrustedError
	// maxSampledTasks bounds the tasks of a step whose run times are learned; they share most of what there is to learn.
	maxSampledTasks = 32
	// manyWorkers is the number of workers of a step from which one of them hardly changes the median.
	manyWorkers = 8
	// longTaskChance is the chance of a task as long from which a task that lags behind counts as long by itself, when
	// nothing else is known of its worker.
	longTaskChance = 0.05
	// sameStartMargin is how much earlier than another one an attempt may have started to have seen the same conditions on
	// its worker.
	sameStartMargin = 300 * time.Millisecond
	// projectionSigma is the standard deviation of the logarithm of a rest projected from progress, apart from what the
	// rounding of percentages adds.
	projectionSigma = 0.1
	// minProjectedPercent is the progress from which the rest of an attempt is projected from it.
	minProjectedPercent = 4
)

// CheckedQuantiles are the quantiles of the expected run times that are compared with the actual ones.
var CheckedQuantiles = []float64{0.5, 0.8, 0.95}

// classOf returns the class of the tasks of step s.
func classOf(j *job, s int) estimator.Class {
	w := &j.record.Workload
	return estimator.Class{Queue: w.Queue, Workspace: w.Workspace, Shape: estimator.ShapeOf(j.step(s))}
}

// expectation returns what to expect of the run time of a task of step s on a worker of speed 1.
func (c *Core) expectation(j *job, s int) estimator.Distribution {
	return c.Expectations.Estimate(classOf(j, s), j.step(s).RunTime)
}

// expectedMean is the mean of an expectation.
type expectedMean struct {
	// version is the version of Expectations plus one for which mean holds; 0 for none.
	version uint64
	mean    time.Duration
}

// meanExpectation returns the mean of expectation, from the cache if possible.
func (c *Core) meanExpectation(j *job, s int) time.Duration {
	if j.expectedMeans == nil {
		j.expectedMeans = make([]expectedMean, len(j.record.Workload.Steps))
	}
	cached := &j.expectedMeans[s]
	if version := c.Expectations.Version() + 1; cached.version != version {
		*cached = expectedMean{version, c.expectation(j, s).Mean()}
	}
	return cached.mean
}

// runTimesTrusted reports whether the expected run times of a workload's queue are accurate enough to detect a slow
// worker.
func (c *Core) runTimesTrusted(j *job) bool {
	if c.Expectations == nil {
		return c.runTimes[j.record.Workload.Queue].trusted()
	}
	samples, miss := c.Expectations.Known(estimator.Class{Queue: j.record.Workload.Queue})
	return samples >= trustedSamples && miss < trustedMiss
}

// placementFactor returns the factor by which an attempt is slowed down by its placement: away from its data, or as a
// member of a SameRack gang that is spread over racks.
func (c *Core) placementFactor(r *attempt) float64 {
	step := r.job.step(r.id.Task.Step)
	rack := r.worker.status.Rack
	away := step.DataRack != "" && step.DataRack != rack
	if !away && step.SameRack {
		p := r.job.gangPresence(r.id.Task)
		away = p.spread || p.rack != "" && p.rack != rack
	}
	if away {
		return max(1, c.Limits.DistanceFactor)
	}
	return 1
}

// nominalWork returns how long an attempt has run, without the wait for its gang and the slowdown by its placement.
func (c *Core) nominalWork(r *attempt, now time.Time) time.Duration {
	elapsed := now.Sub(r.started)
	if r.job.step(r.id.Task.Step).Gang {
		elapsed -= c.gangDelay(r)
	}
	return time.Duration(float64(elapsed) / c.placementFactor(r))
}

// expectedRest returns the expected rest of an attempt whose progress says nothing about it.
func (c *Core) expectedRest(r *attempt, now time.Time) time.Duration {
	worked, s := c.nominalWork(r, now), r.id.Task.Step
	slowdown := c.placementFactor(r) / c.workerSpeed(r.worker)
	if observed := r.job.stepRunTimes[s].medianOverall(); observed > worked {
		return time.Duration(float64(observed-worked) * slowdown)
	}
	return time.Duration(float64(c.expectation(r.job, s).MeanRemaining(max(0, worked))) * slowdown)
}

// chanceToEnd returns the chance that an attempt ends within a time from now. Without Expectations it is 0 or 1.
func (c *Core) chanceToEnd(r *attempt, within time.Duration, now time.Time) float64 {
	rest := c.remainingRunTime(r, now)
	switch {
	case c.Expectations == nil || rest <= 0:
		if rest <= within {
			return 1
		}
		return 0
	case within <= 0:
		return 0
	case r.confirmed && r.percent >= minProjectedPercent:
		sigma := projectionSigma + 1/float64(r.percent)
		return math.Erfc(-math.Log(float64(within)/float64(rest))/(sigma*math.Sqrt2)) / 2
	}
	slowdown := c.placementFactor(r) / c.workerSpeed(r.worker)
	worked := max(0, c.nominalWork(r, now))
	return c.expectation(r.job, r.id.Task.Step).ChanceWithin(worked, time.Duration(float64(within)/slowdown))
}

// endsBefore reports whether an attempt is expected to end before a time from now has passed.
func (c *Core) endsBefore(r *attempt, left time.Duration, now time.Time) bool {
	if c.Expectations == nil {
		return c.remainingRunTime(r, now) < left
	}
	return c.chanceToEnd(r, left, now) > 0.5
}

// sampleOf returns a sample of an attempt. The sampled tasks of a step count as one sample together. A gang runs on
// several workers and ends as a whole, so it counts for no worker.
func (c *Core) sampleOf(r *attempt, censored bool, now time.Time) estimator.Sample {
	s := r.id.Task.Step
	step := r.job.step(s)
	sample := estimator.Sample{
		Class: classOf(r.job, s), Declared: step.RunTime, Elapsed: c.nominalWork(r, now), Censored: censored, At: now,
	}
	if !step.Gang {
		sample.Weight, sample.Worker = 1/float64(min(step.Count, maxSampledTasks)), r.worker.incarnation.Worker
	}
	return sample
}

// sampledTask reports whether a task is one of those of its step that are sampled.
func (j *job) sampledTask(id descriptor.TaskID) bool {
	step := j.step(id.Step)
	return !step.Service && (id.Index == 0 || !step.Gang && id.Index < maxSampledTasks)
}

// learnFromSuccess adds the run time of an attempt that has succeeded, and compares it with those of the other tasks of
// the step. Of a gang, the first member that is known to have ended counts. An adopted attempt has run for at least as
// long as this leader knows of it.
func (c *Core) learnFromSuccess(r *attempt, now time.Time) {
	if c.Expectations == nil {
		return
	}
	sample := c.sampleOf(r, r.adopted, now)
	if r.adopted {
		if r.job.sampledTask(r.id.Task) {
			c.Expectations.Add(sample)
		}
		return
	}
	if r.job.step(r.id.Task.Step).Gang {
		c.compareGang(r, now)
	} else {
		c.compareWithPeers(r.worker, r, sample.Elapsed, now)
	}
	if r.job.step(r.id.Task.Step).Gang || r.job.sampledTask(r.id.Task) {
		c.checkQuantiles(r, sample.Elapsed)
		c.Expectations.Add(sample)
	}
}

// compareGang compares the members of a gang. They end together, so the run times projected from their progress are
// compared. r is the first member to end.
func (c *Core) compareGang(r *attempt, now time.Time) {
	observed := r.job.stepRunTimes[r.id.Task.Step]
	if observed == nil {
		return
	}
	compared := map[*worker]bool{}
	id := r.id.Task
	for i := range r.job.step(id.Step).Count {
		id.Index = i
		m := r.job.activeAttempts[id]
		if i == r.id.Task.Index {
			m = r
		}
		if m == nil || compared[m.worker] {
			continue
		}
		compared[m.worker] = true
		if projected := observed.byWorker[m.worker.incarnation.Worker]; projected > 0 {
			c.compareWithPeers(m.worker, m, projected, now)
		}
	}
}

// compareWithPeers compares a run time on a worker with those of the other tasks of the step.
func (c *Core) compareWithPeers(w *worker, r *attempt, elapsed time.Duration, now time.Time) {
	observed := r.job.stepRunTimes[r.id.Task.Step]
	if observed == nil {
		return
	}
	peers := observed.medianOverall()
	if len(observed.byWorker) < manyWorkers {
		peers = observed.medianExcept(w.incarnation.Worker)
	}
	if peers > 0 {
		sound := c.health.State(w.healthID(), now) == assessor.Sound
		c.Expectations.AddComparison(w.incarnation.Worker, float64(elapsed)/float64(peers), !sound, now)
	}
}

// learnFromStop adds an attempt that is stopped as a censored sample, unless its worker is to blame for its duration.
func (c *Core) learnFromStop(r *attempt, cause discardCause, now time.Time) {
	if c.Expectations == nil || r.job == nil || !c.sampled(r) {
		return
	}
	switch cause {
	case causeStalled, causeSlow, causeWorkerLost:
	default:
		c.Expectations.Add(c.sampleOf(r, true, now))
	}
}

// sampled reports whether an attempt of a workload is sampled and the time that it has run says something about the run
// time of its task.
func (c *Core) sampled(r *attempt) bool {
	return r.confirmed && r.checkpoint == "" && r.job.sampledTask(r.id.Task) && r.gangPresent()
}

// sampleRunning passes the running attempts to Expectations, at most once per runningSampleInterval.
func (c *Core) sampleRunning(now time.Time) {
	if c.Expectations == nil || now.Sub(c.runningSampledAt) < runningSampleInterval {
		return
	}
	c.runningSampledAt = now
	var samples []estimator.Sample
	for _, j := range c.activeJobs {
		var running []*attempt
		for _, r := range j.activeAttempts {
			if c.sampled(r) {
				running = append(running, r)
			}
		}
		slices.SortFunc(running, func(a, b *attempt) int { return a.id.Task.Compare(b.id.Task) })
		for _, r := range running {
			samples = append(samples, c.sampleOf(r, true, now))
		}
	}
	c.Expectations.SetRunning(samples)
}

// longByNature reports whether an attempt that takes longer than expected is more likely long by itself than on a slow
// worker: other attempts on the worker run as expected, or tasks that are as long are not rare.
func (c *Core) longByNature(r *attempt, projected time.Duration) bool {
	if c.Expectations == nil {
		return false
	}
	normal, slow := 0, 0
	for _, other := range r.worker.attempts {
		if other == r || !c.progressMeaningful(other) || other.percent < minProjectionPercent || other.checkpoint != "" {
			continue
		}
		peers := other.job.stepRunTimes[other.id.Task.Step].medianExcept(other.worker.incarnation.Worker)
		if peers == 0 {
			continue
		}
		switch {
		case c.runTimeRatio(other, peers) >= slowFactor:
			slow++
		case !other.started.Before(r.started.Add(-sameStartMargin)):
			// The worker may have become slow after the start of an earlier attempt.
			normal++
		}
	}
	if normal != slow {
		return normal > slow
	}
	length := float64(projected) / c.placementFactor(r)
	if peers := r.job.stepRunTimes[r.id.Task.Step].medianExcept(r.worker.incarnation.Worker); peers > 0 {
		return c.Expectations.ChanceAgainstPeers(length/float64(peers)) > longTaskChance
	}
	return 1-c.expectation(r.job, r.id.Task.Step).ChanceWithin(0, time.Duration(length)) > longTaskChance
}

// runTimeRatio returns the projected run time of an attempt over that of its peers.
func (c *Core) runTimeRatio(r *attempt, peers time.Duration) float64 {
	projected := c.workedTime(r, r.lastListed) * 100 / time.Duration(r.percent+1)
	return float64(projected) / (float64(peers) * c.placementFactor(r))
}

// noteExpectedQuantiles keeps the expected run time of an attempt that was confirmed, to be compared with the actual one.
func (c *Core) noteExpectedQuantiles(r *attempt) {
	if c.Expectations == nil || c.QuantileChecked == nil || r.adopted || r.job.step(r.id.Task.Step).Service {
		return
	}
	expected := c.expectation(r.job, r.id.Task.Step)
	r.expectedQuantiles = make([]time.Duration, len(CheckedQuantiles))
	for i, q := range CheckedQuantiles {
		r.expectedQuantiles[i] = expected.Quantile(q)
	}
}

// checkQuantiles compares a run time with the expected quantiles.
func (c *Core) checkQuantiles(r *attempt, elapsed time.Duration) {
	for i, expected := range r.expectedQuantiles {
		c.QuantileChecked(CheckedQuantiles[i], elapsed < expected)
	}
}
