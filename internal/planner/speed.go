package planner

import (
	"math"
	"slices"
	"time"
)

const (
	// speedHalfLife is the time in which what is known of a worker's speed counts half.
	speedHalfLife = 15 * time.Second
	// speedPrior is the number of samples of speed 1 that is assumed of each worker, so that one sample alone
	// never makes a difference.
	speedPrior = 3.0
	// maxSpeedSample bounds the logarithm of one sample, since single tasks may be many times as long as the others.
	maxSpeedSample = 0.5
	// minSpeedPercent is the least progress of an attempt that shows the speed of its worker.
	minSpeedPercent = 20
	// minSpeedWorkers is the least number of other workers with which a worker is compared.
	minSpeedWorkers = 2
	// speedAccuracy is the logarithm of the ratio by which speeds must differ to be told apart.
	speedAccuracy = 0.3
)

// speedSamples holds the decaying sum of the logarithms of a worker's speeds, and the weight of its samples.
type speedSamples struct {
	sum, weight float64
	at          time.Time
}

// decayed returns the samples as they count at the time given.
func (s speedSamples) decayed(now time.Time) speedSamples {
	if s.weight == 0 {
		return speedSamples{at: now}
	}
	left := math.Exp2(-max(0, now.Sub(s.at).Seconds()) / speedHalfLife.Seconds())
	return speedSamples{s.sum * left, s.weight * left, now}
}

// noteSpeed compares, once for each attempt, its projected run time with those of the same step on other workers.
func (c *Core) noteSpeed(r *attempt, now time.Time) {
	if r.speedNoted || r.percent < minSpeedPercent || r.percent >= 100 || r.checkpoint != "" || !c.progressMeaningful(r) {
		return
	}
	runTimes := r.job.stepRunTimes[r.id.Task.Step]
	if runTimes == nil || len(runTimes.byWorker) <= minSpeedWorkers {
		return
	}
	id := r.worker.incarnation.Worker
	own, others := runTimes.byWorker[id], runTimes.medianExcept(id)
	if own <= 0 || others <= 0 {
		return
	}
	r.speedNoted = true
	samples := r.worker.speed.decayed(now)
	samples.sum += min(max(math.Log(float64(others)/float64(own)), -maxSpeedSample), maxSpeedSample)
	samples.weight++
	r.worker.speed = samples
}

// workerSpeed returns the speed of a worker; 1 is that of most workers. Without Expectations it is that of the tasks
// which this leader has seen on the worker.
func (c *Core) workerSpeed(w *worker) float64 {
	if c.Expectations != nil {
		return c.Expectations.Speed(w.incarnation.Worker)
	}
	s := w.speed.decayed(c.plannedAt)
	return math.Exp(s.sum / (s.weight + speedPrior))
}

// slownessOf returns a number that is larger the slower a worker is. It is 0 without PreferFast and for all workers that
// are not slower than most, since the fit goes before a small gain.
func (c *Core) slownessOf(w *worker) int {
	if !c.PreferFast || w.speed.weight == 0 {
		return 0
	}
	return max(0, -int(math.Round(math.Log(c.workerSpeed(w))/speedAccuracy)))
}

// slownesses returns the distinct slownesses of a pool, the smallest first.
func slownesses(pool []*worker) []int {
	var all []int
	for _, w := range pool {
		if n := w.slowness; !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	slices.Sort(all)
	return all
}
