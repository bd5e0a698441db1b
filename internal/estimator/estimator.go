// Package estimator learns from runs what to expect of the next ones: the distribution of their time, and how fast each
// worker is.
//
// A sample is one run, either finished or censored: it was stopped or still goes, so that it only shows that its run time
// is at least some time. Samples are kept as decayed histograms over the logarithm of the time, one for each class and
// for each of the broader groups that the class belongs to. The estimate for a class starts from that for the next
// broader group, which counts as a few samples. A declared run time can be worth something, nothing or anything between,
// so each histogram is kept for several powers of it, and the power that has predicted best is used.
//
// The package performs no I/O and starts no goroutines. Equal calls give equal results.
package estimator

import (
	"cmp"
	"math"
	"math/bits"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// priorWeight is how many ended samples the estimate for the next broader group counts as.
	priorWeight = 3
	// halfLifeSamples and halfLifeTime are the number of later samples of the same group, and the time, after which a
	// sample counts half.
	halfLifeSamples = 48
	halfLifeTime    = 6 * time.Hour
	// halfLifeQueueSamples is the number of later samples of the queue after which a sample of a narrower group counts
	// half. It lets a group that has few samples follow a change of its queue.
	halfLifeQueueSamples = 128
	// maxGroups bounds the groups that are kept. The one that was updated least recently gives way.
	maxGroups = 512
	// defaultRunTime is assumed for a run without a declared run time while nothing is known of its group.
	defaultRunTime = 5 * time.Second
	// priorSigma is the standard deviation of the logarithm of a run time of which only the declared one is known.
	priorSigma = 0.5
	// minScoredSamples is the weight of finished samples of a queue from which the declared run time may be left out of account.
	minScoredSamples = 3
	// scoreWeight is the least weight of a new sample in the moving means of errors.
	scoreWeight = 0.1
)

// exponents are the powers of the declared run time by which run times are divided before they are learned. At 0 the
// declared one does not count, at 1 the run time is taken as proportional to it.
var exponents = [...]float64{0, 0.5, 1}

// declaredOnly is the index of the exponent 1.
const declaredOnly = len(exponents) - 1

// Shape is the size of a step in steps of a factor of two, so that similar steps share their samples.
type Shape struct {
	// Accelerators, Cores and Count are the bit lengths of the accelerators and full cores of a task, and of the tasks of
	// the step.
	Accelerators, Cores, Count uint8
	Gang                       bool
}

// ShapeOf returns the shape of a step.
func ShapeOf(s *descriptor.Step) Shape {
	size := func(n int) uint8 { return uint8(bits.Len(uint(max(n, 0)))) }
	return Shape{
		Accelerators: size(int(s.Size.Accelerators)), Cores: size(int(s.Size.Cores) / 1000), Count: size(s.Count), Gang: s.Gang,
	}
}

// Class is the narrowest group of runs that are expected to take about the same time.
type Class struct {
	Queue     descriptor.QueueID
	Workspace descriptor.WorkspaceID
	Shape     Shape
}

// Sample is what one run shows.
type Sample struct {
	Class
	// Declared is the run time that the caller declared; 0 if none.
	Declared time.Duration
	// Elapsed is the run time, or for a censored run the time that it has lasted.
	Elapsed time.Duration
	// Censored is true for a run that was stopped or still goes.
	Censored bool
	// Weight is how many samples the run counts as; 0 means 1. The tasks of one step share their length, so together they
	// should count as one.
	Weight float64
	// Worker is the worker of the run; empty if it ran on several. The run time is then not corrected by its speed.
	Worker descriptor.WorkerID
	At     time.Time
}

// declared returns the declared run time, or defaultRunTime if there is none.
func (s *Sample) declared() time.Duration { return declaredOr(s.Declared) }

func declaredOr(d time.Duration) time.Duration {
	if d <= 0 {
		return defaultRunTime
	}
	return d
}

// level says how much of a Class a group has in common. The zero level is that of the group of all runs.
type level uint8

const (
	levelAll level = iota
	levelQueue
	levelQueueShape
	levelClass
	levelCount
)

// groupKey identifies a group: the parts of a class that its level does not have in common are zero.
type groupKey struct {
	Level level
	Class
}

func keyOf(l level, c Class) groupKey {
	switch l {
	case levelAll:
		c = Class{}
	case levelQueue:
		c = Class{Queue: c.Queue}
	case levelQueueShape:
		c.Workspace = ""
	}
	return groupKey{l, c}
}

// group holds what is known of the runs of a group.
type group struct {
	// histograms holds run times divided by the powers of the declared ones that exponents lists, relative to
	// defaultRunTime.
	histograms [len(exponents)]histogram
	// scores holds the moving means of the absolute logarithmic errors of the predictions by each power, and scored the
	// sum of their weights. They are only kept for queues.
	scores [len(exponents)]float64
	scored float64
	// total is the weight of all samples since the start or Restore. It is only kept for queues.
	total float64
	// queueTotal is the total of the queue at the newest sample.
	queueTotal float64
	// updatedAt is the time of the newest sample; order numbers the updates of all groups.
	updatedAt time.Time
	order     uint64
	// hasRunning is true if the group is in Estimator.runningIn.
	hasRunning bool
	// estimates caches the results of Estimator.estimateOf for version.
	estimates [len(exponents)]*estimate
	version   uint64
}

// Estimator learns from samples. The zero value knows nothing and is ready for use. It is not safe for concurrent use.
type Estimator struct {
	// groups has at most maxGroups entries.
	groups map[groupKey]*group
	// version is the number of changes to any histogram.
	version uint64
	// runningIn holds the groups with entries in histogram.running.
	runningIn []*group
	prior     *estimate
	workers   workerSpeeds
}

// Add learns from a run.
func (e *Estimator) Add(s Sample) {
	if s.Elapsed <= 0 {
		return
	}
	if s.Worker != "" {
		s.Elapsed = time.Duration(float64(s.Elapsed) * e.Speed(s.Worker))
	}
	if !s.Censored {
		e.score(&s)
	}
	q := e.groupFor(keyOf(levelQueue, s.Class))
	q.total += float64(s.weight())
	for l := range levelCount {
		g := e.groupFor(keyOf(l, s.Class))
		if l > levelQueue {
			g.decay(&s, q.total)
		} else {
			g.decay(&s, g.queueTotal)
		}
		for i := range exponents {
			h := &g.histograms[i]
			if s.Censored {
				h.censored[s.bucket(i)] += s.weight()
			} else {
				h.ended[s.bucket(i)] += s.weight()
			}
		}
	}
	e.version++
}

// SetRunning replaces the runs that still go. They count as censored samples until the next call.
func (e *Estimator) SetRunning(samples []Sample) {
	if len(samples) == 0 && len(e.runningIn) == 0 {
		return
	}
	for _, g := range e.runningIn {
		g.hasRunning = false
		for i := range exponents {
			g.histograms[i].running = counts{}
		}
	}
	e.runningIn = e.runningIn[:0]
	for k := range samples {
		s := &samples[k]
		if s.Elapsed <= 0 {
			continue
		}
		for l := range levelCount {
			g := e.groups[keyOf(l, s.Class)]
			if g == nil {
				continue
			}
			for i := range exponents {
				g.histograms[i].running[s.bucket(i)] += s.weight()
			}
			if !g.hasRunning {
				g.hasRunning = true
				e.runningIn = append(e.runningIn, g)
			}
		}
	}
	e.version++
}

// weight returns how many samples s counts as.
func (s *Sample) weight() float32 {
	if s.Weight <= 0 {
		return 1
	}
	return float32(s.Weight)
}

// bucket returns the bucket of the run time divided by the power of the declared one.
func (s *Sample) bucket(exponent int) int {
	return bucketOf(float64(s.Elapsed) / scaleOf(s.declared(), exponent))
}

// scaleOf returns the power of a declared run time relative to defaultRunTime.
func scaleOf(declared time.Duration, exponent int) float64 {
	switch exponents[exponent] {
	case 0:
		return 1
	case 1:
		return float64(declared) / float64(defaultRunTime)
	}
	return math.Pow(float64(declared)/float64(defaultRunTime), exponents[exponent])
}

// score records how far the predictions by each power were from the run time of a finished run.
func (e *Estimator) score(s *Sample) {
	q := e.groupFor(keyOf(levelQueue, s.Class))
	q.scored += float64(s.weight())
	weight := min(1, float64(s.weight())*max(1/q.scored, scoreWeight))
	for i := range exponents {
		expected := e.distribution(s.Class, s.declared(), i).Quantile(0.5)
		miss := math.Abs(math.Log(float64(max(expected, time.Millisecond)) / float64(max(s.Elapsed, time.Millisecond))))
		q.scores[i] += weight * (miss - q.scores[i])
	}
}

// decay lets the former samples of a group count less before a new one is added. queueTotal is the total of the queue for a
// group within one queue.
func (g *group) decay(s *Sample, queueTotal float64) {
	halfLives := float64(s.weight())/halfLifeSamples + max(0, queueTotal-g.queueTotal)/halfLifeQueueSamples
	g.queueTotal = queueTotal
	if !g.updatedAt.IsZero() {
		halfLives += max(0, float64(s.At.Sub(g.updatedAt))/float64(halfLifeTime))
	}
	factor := float32(math.Exp2(-halfLives))
	for i := range g.histograms {
		g.histograms[i].ended.scale(factor)
		g.histograms[i].censored.scale(factor)
	}
	if s.At.After(g.updatedAt) {
		g.updatedAt = s.At
	}
}

// freshness returns the factor on the weight of the samples of a group for those that its queue has had since.
func (g *group) freshness(l level, queue *group) float64 {
	if l <= levelQueue || queue == nil {
		return 1
	}
	return math.Exp2(-max(0, queue.total-g.queueTotal) / halfLifeQueueSamples)
}

// groupFor returns the group with a key, adding it on first use, and makes it the most recently updated one.
func (e *Estimator) groupFor(k groupKey) *group {
	g := e.groups[k]
	if g == nil {
		if len(e.groups) >= maxGroups {
			e.dropOldest()
		}
		if e.groups == nil {
			e.groups = map[groupKey]*group{}
		}
		g = &group{}
		e.groups[k] = g
	}
	e.version++
	g.order = e.version
	return g
}

// dropOldest removes the group that was updated least recently.
func (e *Estimator) dropOldest() {
	var oldest groupKey
	var found *group
	for k, g := range e.groups {
		if found == nil || g.order < found.order {
			oldest, found = k, g
		}
	}
	delete(e.groups, oldest)
}

// Estimate returns what to expect of a run on a worker of speed 1. declared is the run time that the caller declared; 0
// if none.
func (e *Estimator) Estimate(c Class, declared time.Duration) Distribution {
	return e.distribution(c, declaredOr(declared), e.bestExponent(c))
}

// distribution is Estimate by one of the exponents.
func (e *Estimator) distribution(c Class, declared time.Duration, exponent int) Distribution {
	return Distribution{estimate: e.estimateOf(c, exponent), scale: scaleOf(declared, exponent)}
}

// bestExponent returns the index of the exponent that has predicted the run times of a queue best.
func (e *Estimator) bestExponent(c Class) int {
	q := e.groups[keyOf(levelQueue, c)]
	if q == nil || q.scored < minScoredSamples {
		return declaredOnly
	}
	best := declaredOnly
	for i, score := range q.scores {
		if score < q.scores[best] {
			best = i
		}
	}
	return best
}

// Known returns the weight of all finished samples of the queue of a class, and the mean absolute logarithmic error of
// the predictions for them.
func (e *Estimator) Known(c Class) (samples, score float64) {
	q := e.groups[keyOf(levelQueue, c)]
	if q == nil {
		return 0, 0
	}
	return q.scored, q.scores[e.bestExponent(c)]
}

// Version changes with each change of what is known.
func (e *Estimator) Version() uint64 { return e.version }

// estimateOf returns the estimate for a class from all of its groups, the broadest first.
func (e *Estimator) estimateOf(c Class, exponent int) *estimate {
	if e.prior == nil {
		e.prior = newEstimate(logNormal(defaultRunTime, priorSigma))
	}
	last := e.prior
	queue := e.groups[keyOf(levelQueue, c)]
	for l := range levelCount {
		g := e.groups[keyOf(l, c)]
		if g == nil {
			continue
		}
		if g.version != e.version {
			g.version, g.estimates = e.version, [len(exponents)]*estimate{}
		}
		if g.estimates[exponent] == nil {
			g.estimates[exponent] = newEstimate(g.histograms[exponent].posterior(&last.curve, g.freshness(l, queue)))
		}
		last = g.estimates[exponent]
	}
	return last
}

// compareKeys orders keys, for results that do not depend on the order of maps.
func compareKeys(a, b groupKey) int {
	return cmp.Or(cmp.Compare(a.Level, b.Level), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Shape.number(), b.Shape.number()))
}

// number returns a number that differs between shapes.
func (s Shape) number() uint32 {
	n := uint32(s.Accelerators)<<24 | uint32(s.Cores)<<16 | uint32(s.Count)<<8
	if s.Gang {
		n |= 1
	}
	return n
}
