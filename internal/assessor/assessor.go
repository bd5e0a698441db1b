// Package assessor judges the health of workers by what happens on them: failed, stalled and slow attempts, refused
// starts, restarts, and gaps between reports.
//
// Each observation adds blame to a worker. Blame decays, and each success takes a share of it. Failures weigh less the
// more the same workload fails on other workers, and the more of the other workers are failing. The package performs no
// I/O and keeps no clock; callers pass the time, which must not decrease.
package assessor

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which blame halves.
	halfLife = 5 * time.Second
	// probationBlame and avoidedBlame are the blames from which a worker leaves the states Sound and Probation.
	probationBlame = 1.25
	avoidedBlame   = 2
	// failureBlame is the blame for the first failed attempt of a workload. One alone may always be the task's fault, and
	// leaves a worker sound.
	failureBlame = 1.2
	// slightBlame is the blame for faults that lead to probation.
	slightBlame = 1.9
	// slowBlame leads to probation for as long as a worker may be taken for slow without a success.
	slowBlame = 2.5
	// clearedShare is the share of the blame that an attempt takes away that works or succeeds.
	clearedShare = 0.3
	// minAvoidance is how long a worker is avoided at first. Each following period is twice as long, up to maxAvoidance,
	// until the worker is sound again.
	minAvoidance = 6 * time.Second
	maxAvoidance = 24 * time.Second
	// maxAvoidedShare is the largest share of the known workers that are avoided at a time. A fault of more workers than
	// that is unlikely to be theirs.
	maxAvoidedShare = 1.0 / 3
	// restartBlame is the blame for a restart, and flapBlame that for a restart of an incarnation that has lived for
	// less than flapTime.
	restartBlame = 0.5
	flapBlame    = 2
	flapTime     = 10 * time.Second
	// silenceBlame is the blame for a gap between two reports.
	silenceBlame = 0.5
	// countInterval is how often failing workers are counted.
	countInterval = 200 * time.Millisecond
	// maxFailures bounds the failures that are kept of a worker, maxJobs the workloads of which failures are compared,
	// and maxJobWorkers the workers that are kept of each of these.
	maxFailures   = 16
	maxJobs       = 256
	maxJobWorkers = 64
	// idleTime is the time after which a worker that is not seen is forgotten.
	idleTime = 2 * time.Minute
)

// WorkerID names a worker across its incarnations.
type WorkerID string

// JobID names a workload.
type JobID string

// State says how much work a worker should get.
type State int

const (
	// Sound workers get any work.
	Sound State = iota
	// Probation means little work, one attempt at a time, and none that another worker can take.
	Probation
	// Avoided means no work as long as there are other workers.
	Avoided
)

func (s State) String() string {
	return [...]string{"Sound", "Probation", "Avoided"}[s]
}

// Fault is something that speaks against a worker, besides the failure of an attempt.
type Fault int

const (
	// Stalled means that an attempt made no progress.
	Stalled Fault = iota
	// Slow means that an attempt was much slower than on other workers. It leads to Probation only, since the task may be
	// the cause.
	Slow
	// Unconfirmed means that a start showed no effect.
	Unconfirmed
	// Refused means that the worker refused a start and would refuse it again. It leads to Probation only.
	Refused
	// Silent means that the reports on the worker paused for too long.
	Silent
)

// faultBlame holds the blame for each fault.
var faultBlame = [...]float64{Stalled: avoidedBlame, Slow: slowBlame, Unconfirmed: slightBlame, Refused: slightBlame, Silent: silenceBlame}

// faultReason describes each fault.
var faultReason = [...]string{
	Stalled: "attempt makes no progress", Slow: "attempt is slow", Unconfirmed: "start not confirmed", Refused: "start refused",
	Silent: "reports paused",
}

const (
	reasonFailures = "attempts failed"
	reasonRestarts = "restarts in quick succession"
	reasonDecay    = "time without faults"
	reasonSuccess  = "attempt succeeded"
	reasonWork     = "attempt works"
	reasonAvoided  = "avoidance ended"
	// reasonAcquitted means that the workloads whose attempts failed on a worker fail elsewhere as well.
	reasonAcquitted = "workloads fail elsewhere"
)

// Change is a change of a worker's state.
type Change struct {
	Worker   WorkerID
	From, To State
	Score    float64
	// Reason is the observation behind the change.
	Reason string
	// For is how long a worker is avoided at least; 0 in the other states.
	For time.Duration
}

// Assessor holds the health of the workers of a fleet. The zero value knows no workers, and all are sound.
type Assessor struct {
	// Changed is called when a worker changes its state; it may be nil.
	Changed func(Change)

	workers map[WorkerID]*worker
	jobs    map[JobID]*job
	sweptAt time.Time
	// failingCount is the number of failing workers at countedAt.
	failingCount int
	countedAt    time.Time
}

// decaying is a sum whose terms decay with halfLife.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * decay(now.Sub(d.at))
}

func (d *decaying) add(x float64, now time.Time) {
	d.sum, d.at = d.value(now)+x, now
}

// decay returns the share of a blame that is left after the age given.
func decay(age time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / halfLife.Seconds())
}

// worker is what is known of one worker.
type worker struct {
	// failures are the last failures, oldest first, at most maxFailures.
	failures []failure
	// faults is the blame for everything but failed attempts.
	faults decaying
	// failed and succeeded are the attempts that ended here.
	failed, succeeded decaying
	// lastFaultAt is when the last failure or fault of an attempt was seen. Attempts that began earlier say nothing for
	// the worker.
	lastFaultAt time.Time
	// slow is true from a slow attempt to the next success. Until then, an attempt that works clears nothing.
	slow bool
	// restartedAt is when the current incarnation was seen to follow another one.
	restartedAt time.Time
	state       State
	// avoidedAt is when the last avoidance began, avoidedUntil its earliest end, and avoidance its length; the latter is 0
	// after a success.
	avoidedAt    time.Time
	avoidedUntil time.Time
	avoidance    time.Duration
	usedAt       time.Time
}

// failure is a failed attempt.
type failure struct {
	job JobID
	at  time.Time
	// weight falls with each success on the worker since.
	weight float64
}

// job is what is known of the attempts of a workload. A worker is in at most one of the sets.
type job struct {
	failedOn, ranOn map[WorkerID]bool
	usedAt          time.Time
}

// known returns the record of a worker, adding it on first use.
func (a *Assessor) known(id WorkerID, now time.Time) *worker {
	a.sweep(now)
	w := a.workers[id]
	if w == nil {
		w = &worker{}
		if a.workers == nil {
			a.workers = map[WorkerID]*worker{}
		}
		a.workers[id] = w
	}
	w.usedAt = now
	return w
}

// Seen notes that a worker exists. The share of avoided workers counts only the known ones.
func (a *Assessor) Seen(id WorkerID, now time.Time) { a.known(id, now) }

// sweep forgets workers that were not seen for idleTime.
func (a *Assessor) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < idleTime {
		return
	}
	a.sweptAt = now
	for id, w := range a.workers {
		if now.Sub(w.usedAt) >= idleTime {
			delete(a.workers, id)
		}
	}
}

// Failed notes that an attempt of a workload failed on a worker.
func (a *Assessor) Failed(id WorkerID, j JobID, now time.Time) {
	w := a.known(id, now)
	w.failed.add(1, now)
	w.lastFaultAt = now
	if len(w.failures) == maxFailures {
		w.failures = w.failures[1:]
	}
	w.failures = append(w.failures, failure{j, now, 1})
	if r := a.knownJob(j, now); len(r.failedOn) < maxJobWorkers {
		r.failedOn[id] = true
		delete(r.ranOn, id)
	}
	a.update(id, w, now, reasonFailures)
}

// Ran notes that an attempt of a workload, which began at the time given, works on a worker, before it has ended.
func (a *Assessor) Ran(id WorkerID, j JobID, began, now time.Time) {
	a.noteRun(id, j, now)
	if w := a.known(id, now); !w.slow && !began.Before(w.lastFaultAt) {
		a.clear(id, w, now, reasonWork)
	}
}

// Succeeded notes that an attempt of a workload, which began at the time given, succeeded on a worker.
func (a *Assessor) Succeeded(id WorkerID, j JobID, began, now time.Time) {
	a.noteRun(id, j, now)
	w := a.known(id, now)
	w.succeeded.add(1, now)
	if !began.Before(w.lastFaultAt) {
		w.slow = false
		a.clear(id, w, now, reasonSuccess)
	}
}

// noteRun adds a worker to those on which a workload ran, unless it has failed there.
func (a *Assessor) noteRun(id WorkerID, j JobID, now time.Time) {
	if r := a.knownJob(j, now); !r.failedOn[id] && len(r.ranOn) < maxJobWorkers {
		r.ranOn[id] = true
	}
}

// clear takes clearedShare of the blame from a worker.
func (a *Assessor) clear(id WorkerID, w *worker, now time.Time, reason string) {
	for i := range w.failures {
		w.failures[i].weight *= 1 - clearedShare
	}
	w.faults = decaying{w.faults.value(now) * (1 - clearedShare), now}
	if w.state == Probation {
		w.avoidance = 0
	}
	a.update(id, w, now, reason)
}

// Note notes a fault of a worker.
func (a *Assessor) Note(id WorkerID, f Fault, now time.Time) {
	w := a.known(id, now)
	blame := faultBlame[f]
	if f == Refused || f == Slow {
		// Several of them in a row have one cause.
		blame = max(0, blame-w.faults.value(now))
	}
	w.faults.add(blame, now)
	w.slow = w.slow || f == Slow
	if f != Silent {
		w.lastFaultAt = now
	}
	a.update(id, w, now, faultReason[f])
}

// Restarted notes that a worker has a new incarnation.
func (a *Assessor) Restarted(id WorkerID, now time.Time) {
	w := a.known(id, now)
	blame := restartBlame
	if !w.restartedAt.IsZero() && now.Sub(w.restartedAt) < flapTime {
		blame = flapBlame
	}
	w.restartedAt = now
	w.faults.add(blame, now)
	a.update(id, w, now, reasonRestarts)
}

// knownJob returns the record of a workload, in the place of the one that was used longest ago if there are maxJobs.
func (a *Assessor) knownJob(id JobID, now time.Time) *job {
	r := a.jobs[id]
	if r == nil {
		if len(a.jobs) >= maxJobs {
			a.dropOldestJob()
		}
		r = &job{failedOn: map[WorkerID]bool{}, ranOn: map[WorkerID]bool{}}
		if a.jobs == nil {
			a.jobs = map[JobID]*job{}
		}
		a.jobs[id] = r
	}
	r.usedAt = now
	return r
}

func (a *Assessor) dropOldestJob() {
	var oldest JobID
	for id, r := range a.jobs {
		if o := a.jobs[oldest]; o == nil || r.usedAt.Before(o.usedAt) || r.usedAt.Equal(o.usedAt) && id < oldest {
			oldest = id
		}
	}
	delete(a.jobs, oldest)
}

// State returns the state of a worker.
func (a *Assessor) State(id WorkerID, now time.Time) State {
	w := a.workers[id]
	if w == nil {
		return Sound
	}
	a.update(id, w, now, "")
	return w.state
}

// Score returns the health of a worker, from 0 to 1. It is 1 for an unknown one.
func (a *Assessor) Score(id WorkerID, now time.Time) float64 {
	w := a.workers[id]
	if w == nil {
		return 1
	}
	return 1 / (1 + a.blame(id, w, now))
}

// AvoidedUntil returns the earliest time at which a worker is not avoided any more; zero if it is not avoided.
func (a *Assessor) AvoidedUntil(id WorkerID, now time.Time) time.Time {
	if a.State(id, now) != Avoided {
		return time.Time{}
	}
	return a.workers[id].avoidedUntil
}

// update changes the state of a worker by its blame and the time. An empty reason means that nothing was observed.
func (a *Assessor) update(id WorkerID, w *worker, now time.Time, reason string) {
	blame := a.blame(id, w, now)
	next := w.state
	switch {
	case w.state == Avoided && a.blame(id, w, w.avoidedAt) < probationBlame:
		next, reason = Sound, reasonAcquitted
	case w.state == Avoided && now.Before(w.avoidedUntil):
	case w.state == Avoided:
		next, reason = Probation, reasonAvoided
	case blame >= avoidedBlame && leadsToAvoidance(reason), w.avoidance > 0 && reason == reasonFailures && blame >= probationBlame:
		next = Avoided
	case blame >= probationBlame:
		next = Probation
	case w.avoidance > 0 && now.Sub(w.avoidedUntil) < maxAvoidance:
		// Without an attempt, only time shows that the worker has recovered.
	default:
		next, w.avoidance = Sound, 0
	}
	if next == Avoided && w.state != Avoided && !a.mayAvoidMore(now) {
		next = Probation
	}
	a.setState(id, w, next, now, reason)
}

// leadsToAvoidance reports whether a worker may be avoided from an observation on. Slow attempts and refusals may have
// other causes than the worker.
func leadsToAvoidance(reason string) bool {
	switch reason {
	case reasonFailures, reasonRestarts, faultReason[Stalled], faultReason[Unconfirmed], faultReason[Silent]:
		return true
	}
	return false
}

// mayAvoidMore reports whether one more worker may be avoided.
func (a *Assessor) mayAvoidMore(now time.Time) bool {
	avoided := 0
	for _, w := range a.workers {
		if w.state == Avoided && now.Before(w.avoidedUntil) {
			avoided++
		}
	}
	return float64(avoided+1) <= maxAvoidedShare*float64(len(a.workers))
}

func (a *Assessor) setState(id WorkerID, w *worker, next State, now time.Time, reason string) {
	if next == w.state {
		return
	}
	change := Change{Worker: id, From: w.state, To: next, Reason: reason}
	if reason == "" {
		change.Reason = reasonDecay
	}
	w.state = next
	if next == Avoided {
		w.avoidedAt = now
		w.avoidance = min(max(2*w.avoidance, minAvoidance), maxAvoidance)
		w.avoidedUntil = now.Add(w.avoidance)
		change.For = w.avoidance
	}
	if a.Changed != nil {
		change.Score = a.Score(id, now)
		a.Changed(change)
	}
}

// blame returns what speaks against a worker now.
func (a *Assessor) blame(id WorkerID, w *worker, now time.Time) float64 {
	blame := w.faults.value(now)
	if len(w.failures) == 0 {
		return blame
	}
	sum := 0.0
	for i, f := range w.failures {
		weight := failureBlame * f.weight * decay(now.Sub(f.at))
		for _, g := range w.failures[:i] {
			if g.job == f.job {
				weight /= 2
			}
		}
		sum += weight * (1 - a.failureShareElsewhere(id, f.job))
	}
	return blame + sum*(1-a.fleetFailureShare(w, now))
}

// failureShareElsewhere returns the share of the other workers on which a workload failed, of those on which it ran. One
// more worker on which it ran is assumed.
func (a *Assessor) failureShareElsewhere(id WorkerID, j JobID) float64 {
	r := a.jobs[j]
	if r == nil {
		return 0
	}
	failed, ran := len(r.failedOn), len(r.ranOn)
	if r.failedOn[id] {
		failed--
	}
	if r.ranOn[id] {
		ran--
	}
	return float64(failed) / float64(failed+ran+1)
}

// fleetFailureShare returns the share of the other workers that are failing. Workers are counted and not attempts, since
// a worker on which everything fails at once has many of them.
func (a *Assessor) fleetFailureShare(except *worker, now time.Time) float64 {
	if now.Sub(a.countedAt) >= countInterval {
		a.failingCount, a.countedAt = 0, now
		for _, w := range a.workers {
			if w.failing(now) {
				a.failingCount++
			}
		}
	}
	others := a.failingCount
	if except.failing(now) {
		others--
	}
	return max(0, float64(others)) / float64(max(len(a.workers)-1, 1))
}

// failing reports whether more attempts failed than succeeded on a worker recently.
func (w *worker) failing(now time.Time) bool {
	failed := w.failed.value(now)
	return failed >= 0.5 && failed > w.succeeded.value(now)
}
