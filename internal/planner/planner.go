// Package planner decides where and when the tasks of workloads run.
//
// Core takes what agents and callers report, and returns orders. It performs no I/O, starts no goroutines and is not
// safe for concurrent use; equal inputs give equal orders. Its owner writes the changed Progress documents before it
// carries orders out or acknowledges ends, so that a successor never finds a run that the store does not name.
package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Order is one step for the agent on Node. Start and stop orders are safe to repeat.
type Order struct {
	Node string
	Life descriptor.Life
	Run  descriptor.RunID
	// Stop ends the run; otherwise the order starts it.
	Stop       bool
	Spec       string
	Checkpoint string
	// Reason names the rule and the figures behind the order, for logs.
	Reason string
}

// Limits are the bounds of a deployment.
type Limits struct {
	// FarFactor is how much longer a task takes away from its data, or a gang spread over racks.
	FarFactor float64
	// CheckpointEvery is the work between two checkpoints.
	CheckpointEvery time.Duration
	// Restore is how long a start from a checkpoint takes.
	Restore time.Duration
	// StopGrace is how long a stop may take.
	StopGrace time.Duration
	// Reclaim is the time in which guaranteed work must begin.
	Reclaim time.Duration
}

// Core is the decision core. Its zero value knows no workers and no workloads.
type Core struct {
	Limits Limits
	// Note is called with each decision that is not an order; nil discards them.
	Note func(what string, job descriptor.JobID, details ...any)

	jobs map[descriptor.JobID]*job
	// activeJobs are the workloads that are not over, or still have runs, by id.
	activeJobs    []*job
	workers map[string]*worker
	outDomains     map[descriptor.FailureDomainID]bool
	// guarantees are the accelerators of each workspace for workloads of priority 0.
	guarantees map[descriptor.WorkspaceID]descriptor.Accelerators
	// dirty names the workloads whose Progress differs from the last one taken by Changed.
	dirty map[descriptor.JobID]bool
	// planNeeded is true when something changed since the last plan that may let another task start.
	planNeeded bool
	// runTimes holds the mean run time of the tasks that ended well, by queue.
	runTimes map[descriptor.QueueID]*runTimeStats
	// workMeans holds the mean work of the workloads of a queue.
	workMeans map[descriptor.QueueID]*meanWork
	// reserve keeps racks for urgent work.
	reserve reserve
	// nextPlanAt is the earliest time at which a plan may differ without a new event.
	nextPlanAt time.Time
}

// job is a workload and its progress.
type job struct {
	record   Record
	progress Progress
	arrived  time.Time
	// activeAttempts holds the volatile part of placed tasks.
	activeAttempts map[descriptor.TaskID]*attempt
	// failedAttempts counts, by step and worker, the failed runs there.
	failedAttempts map[stepWorker]int
	// learnedSteps are the steps whose run time is in the history.
	learnedSteps map[int]bool
	// stepRunTimes are what the tasks of each step show of its run time.
	stepRunTimes map[int]*observedRunTimes
	// claim keeps the room for which others were stopped; nil when there is none.
	claim *claim
	// preemptAfter is when it is worth to look for victims again.
	preemptAfter time.Time
	// waitingSince is when a task of the workload was first found without room; zero when none waits.
	waitingSince time.Time
}

type stepWorker struct {
	step   int
	worker descriptor.WorkerID
}

// attempt is the volatile part of a placed task.
type attempt struct {
	id     descriptor.RunID
	job    *job
	worker *worker
	// incarnation is the worker's incarnation that was ordered to run it.
	incarnation descriptor.Life
	need descriptor.Capacity
	// placed is when the run was decided; started is when it was first seen on the worker.
	placed  time.Time
	started time.Time
	// startBy is the worker's time after which an unanswered start cannot take effect; 0 for a run of a former leader,
	// whose orders the worker refuses.
	startBy descriptor.WorkerClock
	confirmed    bool
	// lastListed is the worker's time when it last said that the run is present.
	lastListed   descriptor.WorkerClock
	stopping bool
	stopSent time.Time
	// stopAnswered is the worker's time at which it answered a stop. From then on it refuses a late start of the run.
	stopAnswered descriptor.WorkerClock
	percent int
	// firstListed is the worker's time when the run was first known to be present.
	firstListed descriptor.WorkerClock
	// lastProgress is the worker's time at which percent was first seen at its value.
	lastProgress descriptor.WorkerClock
	// checkpointAt is when the checkpoint last changed.
	checkpointAt      time.Time
	checkpoint string
}

// noStartBound is a startBy that no clock reaches.
const noStartBound descriptor.WorkerClock = 1<<62 - 1

// New returns a core with limits.
func New(limits Limits) *Core {
	return &Core{
		Limits: limits,
		jobs:   map[descriptor.JobID]*job{}, workers: map[string]*worker{}, outDomains: map[descriptor.FailureDomainID]bool{},
		guarantees: map[descriptor.WorkspaceID]descriptor.Accelerators{}, dirty: map[descriptor.JobID]bool{},
		runTimes: map[descriptor.QueueID]*runTimeStats{}, workMeans: map[descriptor.QueueID]*meanWork{},
	}
}

func (c *Core) logEvent(what string, id descriptor.JobID, details ...any) {
	if c.Note != nil {
		c.Note(what, id, details...)
	}
}

// Load takes a workload that was read from the store. Its placed tasks count as running until the worker's next
// observation, a new life or LoseNode says otherwise.
func (c *Core) Load(r Record, p Progress, now time.Time) {
	j := c.newJob(r, p, now)
	for k, o := range p.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s] {
				t := &o.Steps[s][i]
				if t.State == TaskPlaced {
					c.adopt(j, descriptor.TaskID{Job: r.Workload.ID, Occurrence: k, Step: s, Index: i}, t, now)
				}
			}
		}
	}
}

// adopt takes a run of a former leader. Documents of workloads that did not change since name former lives of a worker;
// the newest that any of them names is the one whose runs may still be there.
func (c *Core) adopt(j *job, id descriptor.TaskID, t *Task, now time.Time) {
	w := c.workerOn(t.Node)
	incarnation := descriptor.Life{Worker: t.Worker, Born: t.Born}
	switch {
	case incarnation.Born < w.incarnation.Born:
		t.State = TaskPending
		c.dirty[id.Job] = true
		return
	case incarnation.Born > w.incarnation.Born:
		c.loseAttempts(w, now, "worker has a new life")
		w.incarnation = incarnation
	}
	c.addAttempt(j, id, t, w, now)
}

// addAttempt records the volatile part of a placed task.
func (c *Core) addAttempt(j *job, id descriptor.TaskID, t *Task, w *worker, now time.Time) *attempt {
	r := &attempt{
		id: descriptor.RunID{Task: id, Run: t.Run}, job: j, worker: w, incarnation: w.incarnation, need: j.step(id.Step).Need(),
		placed: now, checkpoint: t.Checkpoint, checkpointAt: now,
	}
	j.activeAttempts[id] = r
	w.attempts[r.id] = r
	return r
}

func (c *Core) newJob(r Record, p Progress, now time.Time) *job {
	j := &job{record: r, progress: p, arrived: now, activeAttempts: map[descriptor.TaskID]*attempt{}, failedAttempts: map[stepWorker]int{}}
	if age := now.Sub(r.Workload.Accepted); age > 0 && age < time.Hour {
		j.arrived = now.Add(-age)
	}
	if j.progress.Occurrences == nil {
		j.progress.Occurrences = map[int]*Occurrence{}
	}
	c.jobs[r.Workload.ID] = j
	at, _ := slices.BinarySearchFunc(c.activeJobs, j.id(), func(o *job, id descriptor.JobID) int { return cmp.Compare(o.id(), id) })
	c.activeJobs = slices.Insert(c.activeJobs, at, j)
	c.addWorkSample(j)
	if r.Workload.Priority == 0 && j.arrived.After(c.reserve.lastArrival) {
		c.reserve.lastArrival = j.arrived
	}
	return j
}

// Submit takes a new or changed record. It is safe to repeat.
func (c *Core) Submit(r Record, now time.Time) {
	j := c.jobs[r.Workload.ID]
	if j == nil {
		j = c.newJob(r, Progress{}, now)
	}
	if r.Cancelled && !j.record.Cancelled {
		j.record.Cancelled = true
	}
	c.planNeeded = true
}

// Forget drops a workload whose documents were removed.
func (c *Core) Forget(id descriptor.JobID) {
	if j := c.jobs[id]; j != nil && len(j.activeAttempts) == 0 {
		c.activeJobs = slices.DeleteFunc(c.activeJobs, func(o *job) bool { return o == j })
		delete(c.jobs, id)
		delete(c.dirty, id)
	}
}

// Progress returns the progress of a workload.
func (c *Core) Progress(id descriptor.JobID) (Progress, bool) {
	j := c.jobs[id]
	if j == nil {
		return Progress{}, false
	}
	return j.progress, true
}

// Ended returns the workloads that are over and have nothing running.
func (c *Core) Ended() []descriptor.JobID {
	var ids []descriptor.JobID
	for id, j := range c.jobs {
		if j.settled() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Changed returns the workloads whose progress changed since they were last returned, in a stable order.
func (c *Core) Changed() []descriptor.JobID {
	ids := slices.Sorted(maps.Keys(c.dirty))
	clear(c.dirty)
	return ids
}

// SetGuarantees replaces the guarantees of all workspaces.
func (c *Core) SetGuarantees(accounts []descriptor.Account) {
	clear(c.guarantees)
	c.planNeeded = true
	for _, a := range accounts {
		c.guarantees[a.Workspace] = a.Guaranteed
	}
}

// SetOut replaces the failure domains that are taken out.
func (c *Core) SetOut(domains map[descriptor.FailureDomainID]bool) {
	c.outDomains = domains
	c.planNeeded = true
}

// Touched reports whether a plan may differ from the last one before Recheck.
func (c *Core) Touched() bool { return c.planNeeded }

// Recheck returns when the plan may change without a new event.
func (c *Core) Recheck() time.Time { return c.nextPlanAt }

func (c *Core) planBy(t time.Time) {
	if c.nextPlanAt.IsZero() || t.Before(c.nextPlanAt) {
		c.nextPlanAt = t
	}
}

func (j *job) id() descriptor.JobID            { return j.record.Workload.ID }
func (j *job) step(s int) *descriptor.Step     { return &j.record.Workload.Steps[s] }
func (j *job) task(id descriptor.TaskID) *Task { return &j.tasks(id.Occurrence, id.Step)[id.Index] }
func (j *job) occurrence(k int) *Occurrence    { return j.progress.Occurrences[k] }

// settled reports whether the workload is over and has no runs.
func (j *job) settled() bool { return !j.unfinished() && len(j.activeAttempts) == 0 }

func (j *job) unfinished() bool { return !j.progress.State.Final() }

// tasks returns the tasks of a step, which it makes on first use.
func (j *job) tasks(k, s int) []Task {
	o := j.progress.Occurrences[k]
	if o == nil {
		o = &Occurrence{}
		j.progress.Occurrences[k] = o
	}
	if o.Steps == nil {
		o.Steps = make([][]Task, len(j.record.Workload.Steps))
	}
	if o.Steps[s] == nil {
		o.Steps[s] = make([]Task, j.step(s).Count)
	}
	return o.Steps[s]
}

// stepDone reports whether all tasks of a step have ended well.
func (j *job) stepDone(k, s int) bool {
	o := j.occurrence(k)
	if o == nil {
		return false
	}
	if o.Done {
		return true
	}
	if o.Steps == nil || o.Steps[s] == nil {
		return false
	}
	return !slices.ContainsFunc(o.Steps[s], func(t Task) bool { return t.State != TaskDone })
}

func (j *job) stepReady(k, s int) bool {
	for _, a := range j.step(s).After {
		if !j.stepDone(k, a) {
			return false
		}
	}
	return true
}

// setState changes the state that callers see.
func (c *Core) setState(j *job, s JobState) {
	if j.progress.State != s {
		j.progress.State = s
		c.dirty[j.id()] = true
	}
}

// criticalPath is the longest criticalPath of work by the run times known.
func (c *Core) criticalPath(j *job) time.Duration {
	steps := j.record.Workload.Steps
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i := range steps {
		var begin time.Duration
		for _, a := range steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + c.expectedRunTime(j, i)
		longest = max(longest, ends[i])
	}
	return longest
}

// objective returns when occurrence k should be done.
func (c *Core) objective(j *job, k int) time.Time {
	w := &j.record.Workload
	return j.releaseTime(k).Add(time.Duration(w.Stretch*float64(c.criticalPath(j))) + w.Slack)
}

// sortedWorkers returns the workers in a stable order.
func (c *Core) sortedWorkers() []*worker {
	ws := slices.Collect(maps.Values(c.workers))
	slices.SortFunc(ws, func(a, b *worker) int { return cmp.Compare(a.node, b.node) })
	return ws
}
