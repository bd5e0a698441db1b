package estimator

import (
	"math"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// maxWorkers bounds the workers whose speed is kept. The one that was updated least recently gives way.
	maxWorkers = 1024
	// speedPriorWeight is how many comparisons the assumption of speed 1 counts as.
	speedPriorWeight = 2
	// speedWeight is the least weight of a new comparison in the moving mean of a worker.
	speedWeight = 0.15
	// speedHalfLife is the time after which what is known of a worker's speed counts half.
	speedHalfLife = 10 * time.Minute
	// maxSpeedFactor bounds what one comparison says of a worker: a task that takes longer by more than this factor
	// is likely to be long by itself.
	maxSpeedFactor = 2
)

// workerSpeed is what is known of the speed of a worker.
type workerSpeed struct {
	// slowness is the moving mean of the logarithm of the run times on the worker over those of equal tasks elsewhere.
	slowness float64
	// count is the decayed number of comparisons.
	count     float64
	updatedAt time.Time
	order     uint64
}

// workerSpeeds holds the speeds of workers and how unequal the tasks of one step are.
type workerSpeeds struct {
	// byWorker has at most maxWorkers entries.
	byWorker map[descriptor.WorkerID]*workerSpeed
	// ratios holds run times over those of equal tasks on other workers, times defaultRunTime.
	ratios      histogram
	ratioCurve  *curve
	lastOrder   uint64
	ratiosPrior *curve
}

// peerSigma is the standard deviation of the logarithm of the run times of the tasks of one step, of which nothing is
// known yet.
const peerSigma = 0.3

// AddComparison learns that a task took ratio times as long on a worker as equal tasks did on others. On a suspect worker
// it counts for the worker's speed, and not for how unequal the tasks of a step are.
func (e *Estimator) AddComparison(w descriptor.WorkerID, ratio float64, suspect bool, at time.Time) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	s := &e.workers
	if !suspect {
		s.ratios.ended.scale(float32(math.Exp2(-1.0 / (4 * halfLifeSamples))))
		s.ratios.ended[bucketOf(ratio*e.Speed(w)*float64(defaultRunTime))]++
		s.ratioCurve = nil
	}
	speed := s.speedFor(w)
	if !speed.updatedAt.IsZero() {
		speed.count *= math.Exp2(-max(0, float64(at.Sub(speed.updatedAt))/float64(speedHalfLife)))
	}
	speed.updatedAt = at
	limit := math.Log(maxSpeedFactor)
	speed.count = min(speed.count+1, 1/speedWeight)
	speed.slowness += (min(max(math.Log(ratio), -limit), limit) - speed.slowness) / speed.count
}

// speedFor returns what is known of a worker, adding it on first use, and makes it the most recently updated one.
func (s *workerSpeeds) speedFor(w descriptor.WorkerID) *workerSpeed {
	speed := s.byWorker[w]
	if speed == nil {
		if len(s.byWorker) >= maxWorkers {
			s.dropOldest()
		}
		if s.byWorker == nil {
			s.byWorker = map[descriptor.WorkerID]*workerSpeed{}
		}
		speed = &workerSpeed{}
		s.byWorker[w] = speed
	}
	s.lastOrder++
	speed.order = s.lastOrder
	return speed
}

// dropOldest removes the worker that was updated least recently.
func (s *workerSpeeds) dropOldest() {
	var oldest descriptor.WorkerID
	var found *workerSpeed
	for w, speed := range s.byWorker {
		if found == nil || speed.order < found.order {
			oldest, found = w, speed
		}
	}
	delete(s.byWorker, oldest)
}

// Speed returns how much faster a worker is than the others: 1 is nominal, and an unknown worker has it. It is never 0.
func (e *Estimator) Speed(w descriptor.WorkerID) float64 {
	speed := e.workers.byWorker[w]
	if speed == nil {
		return 1
	}
	return math.Exp(-speed.slowness * speed.count / (speed.count + speedPriorWeight))
}

// ChanceAgainstPeers returns the chance that a task takes at least ratio times as long as equal tasks of its step by
// itself, on a worker of speed 1.
func (e *Estimator) ChanceAgainstPeers(ratio float64) float64 {
	s := &e.workers
	if s.ratiosPrior == nil {
		s.ratiosPrior = logNormal(defaultRunTime, peerSigma)
	}
	if s.ratioCurve == nil {
		s.ratioCurve = s.ratios.posterior(s.ratiosPrior, 1)
	}
	return 1 - s.ratioCurve.below(ratio*float64(defaultRunTime))
}
