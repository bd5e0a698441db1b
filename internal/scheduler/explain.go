package scheduler

import (
	"fmt"
	"time"

	"persimmontrail/pkg/descriptor"
)

// largeJobAccelerators is the number of accelerators from which a job counts as large in Fragmentation.
const largeJobAccelerators = 8

// waitSamples is a ring buffer of the waiting times of the most recently started large jobs.
type waitSamples struct {
	recent [64]int64
	next   int
	filled int
}

// add records the wait of j, if j is large and starts for the first time.
func (w *waitSamples) add(j *job, now int64) {
	if j.accelerators() < largeJobAccelerators || j.number > 1 {
		return
	}
	w.recent[w.next] = now - j.accepted
	w.next = (w.next + 1) % len(w.recent)
	w.filled = min(w.filled+1, len(w.recent))
}

func (w *waitSamples) mean() time.Duration {
	if w.filled == 0 {
		return 0
	}
	sum := int64(0)
	for _, x := range w.recent[:w.filled] {
		sum += x / int64(w.filled)
	}
	return toDuration(sum)
}

var decisionKindNames = [...]string{DecisionStart: "Start", DecisionReclaim: "Reclaim", DecisionStop: "Stop", DecisionEnd: "End"}

// String returns a name such as "Reclaim", or "DecisionKind(n)" for an unknown kind. addStopDecision records it in the
// history of the job.
func (k DecisionKind) String() string {
	if k < 0 || int(k) >= len(decisionKindNames) {
		return fmt.Sprintf("DecisionKind(%d)", int(k))
	}
	return decisionKindNames[k]
}

// Explain describes a job at now, also one that has ended and is still kept. It makes no decision. It returns
// ErrUnknownJob if the job is not known.
func (c *Core) Explain(key descriptor.JobKey, now time.Time) (Explanation, error) {
	c.advanceTo(now)
	j := c.jobs[key]
	if j == nil {
		return Explanation{}, fmt.Errorf("%w: %v", ErrUnknownJob, key)
	}
	e := Explanation{Key: key, State: j.state, Attempt: j.number, History: j.history()}
	f, n := c.history.correction(workspaceClass{j.Workspace, j.Class})
	e.addFact("corrected run time", float64(c.correctedRunTime(j))/float64(second), "s")
	e.addFact("correction of the declared run time", f, "")
	e.addFact("runs behind the correction", float64(n), "")
	switch {
	case j.current != nil && !j.current.claim:
		c.explainAttempt(&e, j.current)
	case j.current != nil:
		e.Blocker = "reclaimed work on its workers has not stopped yet"
		e.setEstimate(c.now+reclaimGrace, "the grace of a reclaim")
	case j.state == StateWaiting:
		c.explainWaiting(&e, j)
	}
	return e, nil
}

func (e *Explanation) addFact(name string, value float64, unit string) {
	e.Facts = append(e.Facts, Fact{Name: name, Value: value, Unit: unit})
}

func (e *Explanation) setEstimate(at int64, basis string) {
	e.EstimatedStart, e.Estimate = toTime(at), basis
}

func (j *job) history() []HistoryEntry {
	out := make([]HistoryEntry, len(j.records))
	for i, r := range j.records {
		out[i] = HistoryEntry{At: toTime(r.at), Attempt: r.attempt, What: r.what, Reason: r.reason}
	}
	return out
}

func (c *Core) explainAttempt(e *Explanation, a *attempt) {
	e.Guaranteed = len(a.charges) > 0
	e.addFact("workers", float64(len(a.spans)), "")
	if a.running {
		e.addFact("run time so far", float64(c.now-a.startedAt)/float64(second), "s")
		e.addFact("expected rest", float64(c.expectedEnd(a)-c.now)/float64(second), "s")
	}
}

// explainWaiting describes the first condition that keeps j from starting.
func (c *Core) explainWaiting(e *Explanation, j *job) {
	e.addFact("position in the queue", float64(c.queuePosition(j)), "")
	e.addFact("latest start that meets the target", float64(j.latestStart-c.now)/float64(second), "s from now")
	fitFree, fitEmpty, unit := c.largestFit(j)
	e.addFact("tasks", float64(j.Tasks), "")
	e.addFact("tasks that fit now in one "+unit, float64(fitFree), "")
	e.addFact("tasks that fit in one "+unit+" when it is empty", float64(fitEmpty), "")
	c.explainGuarantee(e, j)
	switch {
	case j.notBefore > c.now:
		e.Blocker = "a pause after a failed or refused start"
		e.setEstimate(j.notBefore, "the end of the pause")
		return
	case fitEmpty < j.Tasks:
		e.Blocker = "no " + unit + " that is up and not out is large enough"
		e.Remedies = append(e.Remedies, "bring workers or failure domains back", "use fewer or smaller tasks, or a looser adjacency")
		return
	case fitFree >= j.Tasks && j.NonIdempotent:
		e.Blocker = "free capacity is needed for guarantees, and a job that runs at most once cannot be reclaimed"
		e.Remedies = append(e.Remedies, "a larger guarantee of the workspace")
	case fitFree >= j.Tasks:
		e.Blocker = "free resources are reserved for more urgent jobs, or the next decision is due"
	default:
		e.Blocker = fmt.Sprintf("no %s has enough free resources", unit)
		e.Remedies = append(e.Remedies, "a larger guarantee of the workspace or share of the class", "fewer tasks or a looser adjacency")
	}
	c.estimateStart(e, j)
}

func (c *Core) explainGuarantee(e *Explanation, j *job) {
	ws := c.workspaces[j.Workspace]
	if ws == nil || j.accelerators() == 0 {
		return
	}
	e.addFact("accelerators guaranteed to the workspace", float64(ws.total), "")
	e.addFact("of these in use", float64(ws.used), "")
	if class := c.classes[j.Class]; class != nil {
		e.addFact("accelerators that the class may claim", float64(class.Share)*float64(ws.total), "")
		e.addFact("of these claimed", float64(ws.usedByClass[j.Class]), "")
	}
	if c.earmarkExcludes(ws, j) {
		e.Remedies = append(e.Remedies, "the guarantee is kept for the more urgent "+ws.earmarkedFor.Key().String())
	}
}

func (c *Core) estimateStart(e *Explanation, j *job) {
	r := j.reservation
	basis := "its reservation, from corrected run times of the work on these workers"
	if r == nil {
		basis = "corrected run times of running work, without the jobs before it in the queue"
		for _, d := range c.fleet.domains {
			for _, n := range unitsBelow(d, j.Adjacency) {
				if k := c.reservationIn(j, n, r); k != nil {
					r = k
				}
			}
		}
	}
	if r == nil {
		e.Estimate = "unknown: the capacity is reserved for other jobs"
		return
	}
	e.setEstimate(max(r.start, c.now), basis)
}

// queuePosition returns the number of waiting jobs before j.
func (c *Core) queuePosition(j *job) int {
	n := 0
	for _, e := range c.queue[:c.queueIndex(j)] {
		if e.valid() {
			n++
		}
	}
	return n
}

// largestFit returns the largest number of tasks of j that fit in one unit of its adjacency, now and when the
// unit is empty, and the name of this kind of unit.
func (c *Core) largestFit(j *job) (fitFree, fitEmpty int, unit string) {
	for _, d := range c.fleet.domains {
		if !j.allowsRegion(d.region) {
			continue
		}
		for _, n := range unitsBelow(d, j.Adjacency) {
			a, b := taskFit(n, j.need)
			fitFree, fitEmpty = max(fitFree, a), max(fitEmpty, b)
		}
	}
	return fitFree, fitEmpty, [...]string{"failure domain", "rack", "worker"}[j.Adjacency]
}

// taskFit returns how many tasks fit on the usable workers below n, now and when they are empty.
func taskFit(n *node, need vector) (fitFree, fitEmpty int) {
	if n.worker != nil {
		if !n.worker.usable {
			return 0, 0
		}
		return n.worker.free.count(need), n.worker.capacity.count(need)
	}
	for _, k := range n.children {
		a, b := taskFit(k, need)
		fitFree, fitEmpty = fitFree+a, fitEmpty+b
	}
	return fitFree, fitEmpty
}

// Guarantees returns the status of every guaranteed shape that this core honours, ordered by workspace name and then as
// in the configuration. It brings the plan up to date first.
func (c *Core) Guarantees(now time.Time) []GuaranteeStatus {
	c.advanceTo(now)
	c.ensurePlan()
	c.markImpossibleSince()
	var out []GuaranteeStatus
	var last *workspace
	firstIndex := 0
	for _, l := range c.cells {
		if l.workspace != last {
			last, firstIndex = l.workspace, len(out)
			for _, s := range last.shapes {
				out = append(out, GuaranteeStatus{Workspace: last.name, Shape: s, InUse: descriptor.Accelerators(last.used)})
			}
		}
		g := &out[firstIndex+l.shapeIndex]
		if l.planned {
			g.Possible++
			continue
		}
		g.Cause = c.impossibleCause(l)
		if at := toTime(l.impossibleSince); g.Since.IsZero() || at.Before(g.Since) {
			g.Since = at
		}
	}
	return out
}

// impossibleCause describes why l cannot be planned: the capacity in its region that is not usable or, if there is
// none, its size.
func (c *Core) impossibleCause(l *cell) string {
	var down, out, inQuarantine, known int
	c.fleet.eachWorker(func(w *worker) bool {
		if l.region != "" && w.Region != l.region {
			return true
		}
		n := int(w.capacity.accelerators)
		known += n
		switch {
		case !w.up:
			down += n
		case c.fleet.isOut(w):
			out += n
		case w.health.quarantined || w.health.probing:
			inQuarantine += n
		}
		return true
	})
	if down+out+inQuarantine == 0 {
		return fmt.Sprintf("%d accelerators in one %v do not fit beside the other guarantees on the %d known accelerators", l.size, l.level, known)
	}
	return fmt.Sprintf("of %d known accelerators %d are down, %d are in failure domains that are out and %d are on workers in quarantine", known, down, out, inQuarantine)
}

// Fragmentation measures how well large shapes can use the free capacity of usable workers at now.
func (c *Core) Fragmentation(now time.Time) Fragmentation {
	c.advanceTo(now)
	f := Fragmentation{StartedMeanWait: c.largeJobWaits.mean()}
	free := vector{}
	for _, d := range c.fleet.domains {
		free = free.plus(d.free)
	}
	f.Free = descriptor.Accelerators(free.accelerators)
	c.measureWaits(&f)
	largest, need := c.largestShape()
	f.Largest = largest
	if f.Free > 0 && largest.Accelerators > 0 {
		f.Unusable = f.Free - c.usableFree(largest, need)
		f.Share = float64(f.Unusable) / float64(f.Free)
	}
	f.Utilisation = ratio(c.fleet.total.accelerators-free.accelerators, c.fleet.total.accelerators)
	f.CoreUtilisation = ratio(c.fleet.total.millicores-free.millicores, c.fleet.total.millicores)
	return f
}

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (c *Core) measureWaits(f *Fragmentation) {
	sum := int64(0)
	for _, e := range c.queue {
		if !e.valid() || e.job.accelerators() < largeJobAccelerators {
			continue
		}
		wait := c.now - e.job.accepted
		f.LargeWaiting++
		f.LongestWait = max(f.LongestWait, toDuration(wait))
		sum += wait
	}
	if f.LargeWaiting > 0 {
		f.MeanWait = toDuration(sum / int64(f.LargeWaiting))
	}
}

// largestShape returns the largest shape of an unused cell or waiting job, and the resources of one of its
// tasks. A task of a cell is one accelerator without cores or memory.
func (c *Core) largestShape() (descriptor.Shape, vector) {
	var s descriptor.Shape
	need := vector{accelerators: 1}
	larger := func(n descriptor.Accelerators, l descriptor.Level) bool {
		return n > s.Accelerators || (n == s.Accelerators && l > s.Adjacency)
	}
	for _, l := range c.cells {
		if l.used == 0 && larger(descriptor.Accelerators(l.size), l.level) {
			s = descriptor.Shape{Accelerators: descriptor.Accelerators(l.size), Adjacency: l.level, Region: l.region}
		}
	}
	for _, e := range c.queue {
		if j := e.job; e.valid() && larger(j.Accelerators(), j.Adjacency) {
			s = descriptor.Shape{Accelerators: j.Accelerators(), Adjacency: j.Adjacency, Region: j.Region}
			need = j.need
		}
	}
	return s, need
}

// usableFree returns the number of free accelerators that whole copies of s can use, if each task takes need.
func (c *Core) usableFree(s descriptor.Shape, need vector) descriptor.Accelerators {
	tasks := int(int64(s.Accelerators) / need.accelerators)
	sum := descriptor.Accelerators(0)
	for _, d := range c.fleet.domains {
		if s.Region != "" && d.region != s.Region {
			continue
		}
		for _, n := range unitsBelow(d, s.Adjacency) {
			fit, _ := taskFit(n, need)
			sum += descriptor.Accelerators(fit/tasks) * s.Accelerators
		}
	}
	return sum
}
