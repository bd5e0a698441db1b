// Package planner decides where and when the tasks of workloads run. It is part of the program persimmontrail-node;
// the program persimmontrail schedules with package scheduler.
//
// A workload, called job in identifiers, is a graph of steps, and each step has a number of equal tasks. A gang is a
// step whose tasks start together or not at all. The tasks of a service step run until they are stopped. A timed
// workload runs its steps several times; each time is an occurrence, and other workloads have a single one. The
// objective of an occurrence is the time by which it should be done; the Slack of a workload is its fixed part, beside
// Stretch times the run time. An attempt is one numbered start of a task. A node has one worker, which runs attempts,
// and an agent that reports on the worker and passes orders to it. An incarnation is the period of a worker between two
// of its starts. Variables k and s are the indexes of an occurrence and of a step.
//
// Urgent work is that of priority 0; larger numbers are less urgent. A guarantee is a number of accelerators on which a
// workspace's urgent work must start within ReclaimTime. To preempt is to stop less urgent attempts, the victims, to
// make room; a unit is a set of attempts that are stopped together. A plan is the choice, in one call of Plan, of the
// attempts to stop and to start. Earmarked room is withheld from the groups of tasks that the same plan places later; a
// claim keeps preempted room for a group over several plans. Reserved workers are kept free for urgent work. Package
// assessor judges the health of workers.
//
// Core takes reports from agents and submissions from callers, and returns orders. It performs no I/O, starts no
// goroutines and is not safe for concurrent use; equal inputs give equal orders. The caller must write the changed
// Progress documents to the store before it sends orders or acknowledges ends, so that after a change of leader the
// store names every attempt that may be running.
package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"persimmontrail/internal/assessor"
	"persimmontrail/internal/balancer"
	"persimmontrail/internal/estimator"
	"persimmontrail/pkg/descriptor"
)

// Order is one start or stop for the agent on Node. Orders are idempotent.
type Order struct {
	Node string
	// Incarnation is the incarnation of the worker to which the order applies.
	Incarnation descriptor.Incarnation
	Attempt     descriptor.AttemptID
	// Stop is true for an order that ends the attempt, false for one that starts it.
	Stop bool
	// Spec is the workload's Spec; empty for a stop.
	Spec string
	// Checkpoint is the checkpoint from which a start resumes; empty means from the beginning.
	Checkpoint string
	// Reason gives the rule and the values behind the order, for logs.
	Reason string
}

// Limits are the timing parameters of a deployment.
type Limits struct {
	// DistanceFactor is the factor by which a task slows down on a rack other than that of its data, and a SameRack
	// gang when it is spread over racks.
	DistanceFactor float64
	// CheckpointInterval is the working time between two checkpoints of a task.
	CheckpointInterval time.Duration
	// RestoreTime is how long a start from a checkpoint takes.
	RestoreTime time.Duration
	// StopGrace is the longest time that a stop may take.
	StopGrace time.Duration
	// ReclaimTime is the time within which work inside a guarantee must begin, counted from its arrival or due time.
	ReclaimTime time.Duration
}

// Core holds the state of the planner. Create it with New.
type Core struct {
	Limits Limits
	// PreferFast makes placement take workers that were measured to be slower than most last. By default the fit alone
	// decides among sound workers.
	PreferFast bool
	// LogEvent is called, for logging, when an attempt ends or is removed, a workload becomes final or the health of a
	// worker changes; it may be nil.
	LogEvent func(message string, job descriptor.JobID, details ...any)
	// Discarded is called with the core-seconds of unsaved work that an attempt loses as it ends, and the cause; it may be
	// nil.
	Discarded func(cause string, coreSeconds float64)
	// HealthChanged is called when the state of a worker's health changes; it may be nil.
	HealthChanged func(assessor.Change)
	// Contended is called with the outcome of each search for work to stop for an urgent group without room, "Preempted" or
	// "Denied"; it may be nil.
	Contended func(outcome string)
	// Expectations learns run times and the speeds of workers; nil means that the moving means of each queue are used.
	Expectations *estimator.Estimator
	// QuantileChecked is called when an attempt has succeeded, for each of CheckedQuantiles that was expected of its run
	// time, and tells whether the run time was below it; it may be nil.
	QuantileChecked func(quantile float64, below bool)
	// TrueRunTime returns the run time of a step's longest task, for simulations of a planner that knows it; nil means
	// that run times are estimated.
	TrueRunTime func(job descriptor.JobID, step int) time.Duration

	jobs map[descriptor.JobID]*job
	// activeJobs holds the workloads that were not finished at the last plan or were added since, sorted by id.
	activeJobs      []*job
	workers         map[string]*worker
	excludedDomains map[descriptor.FailureDomainID]bool
	// guarantees holds the accelerators that each workspace is guaranteed for workloads of priority 0.
	guarantees map[descriptor.WorkspaceID]descriptor.Accelerators
	// dirty is the set of workloads whose Progress changed since the last call of TakeChangedJobs.
	dirty map[descriptor.JobID]bool
	// planNeeded is true when an event since the last plan may change the next one.
	planNeeded bool
	// runTimes holds the run time statistics of completed tasks, by queue.
	runTimes map[descriptor.QueueID]*runTimeStats
	// workMeans holds the mean work in core-seconds of the workloads of each queue.
	workMeans map[descriptor.QueueID]*meanWork
	// plannedAt is the time of the last plan.
	plannedAt time.Time
	// health judges the workers by what happens on them.
	health assessor.Assessor
	// service holds how well classes of work were served lately.
	service balancer.Ledger
	// reserve tracks how many accelerators to keep free for urgent work.
	reserve reserve
	// unheard is the set of nodes whose first report is awaited until settledAt.
	unheard   map[string]bool
	settledAt time.Time
	// nextPlanAt is the earliest time at which a plan may differ without a new event; zero means never.
	nextPlanAt time.Time
	// lastRefusalAt is when the last start was refused; refusalGrid is the origin of the grid of refusalPlanInterval.
	lastRefusalAt time.Time
	refusalGrid   time.Time
	// runningSampledAt is when the running attempts were last passed to Expectations.
	runningSampledAt time.Time
	// currentJob is the workload that is being processed. It names the one at fault when the planner panics.
	currentJob descriptor.JobID
}

// job is a workload with its progress.
type job struct {
	record   Record
	progress Progress
	// arrived is when the workload arrived, from which its objective counts unless it is timed.
	arrived time.Time
	// activeAttempts holds the current attempt of each placed task.
	activeAttempts map[descriptor.TaskID]*attempt
	// failedOn holds the workers on which tasks have failed; see failureKey.
	failedOn map[descriptor.TaskID][]descriptor.WorkerID
	// sampledSteps is the set of steps for which the run time statistics already have a sample.
	sampledSteps map[int]bool
	// stepRunTimes holds, by step, the run times projected from the progress of its tasks.
	stepRunTimes map[int]*observedRunTimes
	// expectedMeans caches, by step, the mean expected run times.
	expectedMeans []expectedMean
	// attemptChanges counts the changes of activeAttempts and of which attempts are confirmed.
	attemptChanges int
	// gangPresences caches, by occurrence and step, the presence of gangs.
	gangPresences map[stepOf]gangPresence
	// firstOpen is the first occurrence that is not known to be done.
	firstOpen int
	// failedSteps is the set of steps of which attempts have failed.
	failedSteps map[int]bool
	// slowStops counts, by failureKey, the attempts that were stopped because they were slow.
	slowStops map[descriptor.TaskID]int
	// gangEnds says why gangs of the workload ended that did not succeed.
	gangEnds map[gangRun]discardCause
	// classes caches the result of classesOf.
	classes []balancer.Membership
	// recordedLate is the set of open occurrences that were recorded as not served, since they are tooLate.
	recordedLate map[int]bool
	// claim is the room freed for the workload by preemption; nil when there is none.
	claim *claim
	// preemptAfter is the earliest time for the next search for attempts that a gang of the workload may preempt.
	preemptAfter time.Time
	// waitingSince is the time of the first plan that found tasks of the workload ready to start. A plan that finds
	// none resets it to zero.
	waitingSince time.Time
	// searchStart is the number of groups whose searches for room to be freed are skipped in the next plan, since earlier
	// plans made them; see pass.searchLimit.
	searchStart int
}

// stepOf identifies a step of an occurrence of one workload.
type stepOf struct {
	occurrence, step int
}

// attempt is one numbered start of a task on a worker, kept in memory while it may occupy the worker.
type attempt struct {
	id descriptor.AttemptID
	// job is nil for an attempt that the worker reports but that is not placed there.
	job    *job
	worker *worker
	// incarnation is the worker's incarnation to which the start was ordered.
	incarnation descriptor.Incarnation
	// need is the capacity that the attempt occupies.
	need descriptor.Capacity
	// placed is when the planner placed the attempt or took it over; started is when the attempt was confirmed.
	placed  time.Time
	started time.Time
	// adopted is true for an attempt that a former leader placed. When it began is not known then.
	adopted bool
	// startDeadline is the worker clock after which an unanswered start cannot take effect. It is 0 for attempts placed
	// by a former leader, whose orders the worker refuses.
	startDeadline descriptor.WorkerClock
	// confirmed is true once a report or an answer of the worker has named the attempt as present.
	confirmed bool
	// lastListed is the worker clock at which the attempt was last reported as present.
	lastListed descriptor.WorkerClock
	// stopping is true once a stop was ordered.
	stopping bool
	// stopCause is why the first stop was ordered; empty if none was.
	stopCause discardCause
	// stopOrderedAt is when a stop was last ordered.
	stopOrderedAt time.Time
	// stopAnswered is the worker clock at which the worker answered a stop; after it, a delayed start of the attempt
	// is refused. Zero means no answer.
	stopAnswered descriptor.WorkerClock
	// percent is the last reported progress.
	percent int
	// firstListed is the worker clock at which the attempt was first reported as present.
	firstListed descriptor.WorkerClock
	// lastProgress is the worker clock at which percent last changed.
	lastProgress descriptor.WorkerClock
	// expectedQuantiles holds the CheckedQuantiles that were expected of the run time when the attempt was confirmed; nil
	// without Expectations.
	expectedQuantiles []time.Duration
	// checkpointAt is when checkpoint last changed.
	checkpointAt time.Time
	// checkpoint is the newest checkpoint that is known; empty when there is none.
	checkpoint string
	// proven is true once the attempt has worked for provingTime.
	proven bool
	// speedNoted is true once the attempt is among the samples of its worker's speed.
	speedNoted bool
}

// noStartDeadline is a startDeadline that no worker clock reaches: the start may take effect at any time.
const noStartDeadline descriptor.WorkerClock = 1<<62 - 1

// New returns a Core without workers or workloads.
func New(limits Limits) *Core {
	c := &Core{
		Limits: limits,
		jobs:   map[descriptor.JobID]*job{}, workers: map[string]*worker{}, excludedDomains: map[descriptor.FailureDomainID]bool{},
		guarantees: map[descriptor.WorkspaceID]descriptor.Accelerators{}, dirty: map[descriptor.JobID]bool{},
		runTimes: map[descriptor.QueueID]*runTimeStats{}, workMeans: map[descriptor.QueueID]*meanWork{},
	}
	c.health.Changed = c.handleHealthChange
	return c
}

func (c *Core) logEvent(message string, id descriptor.JobID, details ...any) {
	if c.LogEvent != nil {
		c.LogEvent(message, id, details...)
	}
}

// Load adds a workload that was read from the store. Its placed tasks count as running until a report of the worker, a
// new incarnation of the worker, RemoveNode or ExpireNode shows otherwise.
func (c *Core) Load(r Record, p Progress, now time.Time) {
	c.currentJob = r.Workload.ID
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

// adopt takes over an attempt that a former leader placed. Progress documents that have not changed since may name
// earlier incarnations of a worker. Their attempts may still run in the newest incarnation, in which a late start can
// have taken effect, unless that is another worker.
func (c *Core) adopt(j *job, id descriptor.TaskID, t *Task, now time.Time) {
	w := c.workerOn(t.Node)
	incarnation := descriptor.Incarnation{Worker: t.Worker, Born: t.Born}
	if incarnation.Born > w.incarnation.Born {
		w.incarnation = incarnation
		for _, r := range w.sortedAttempts() {
			if r.incarnation.Worker != incarnation.Worker {
				c.removeAttempt(r, now, "another worker is on the node")
			}
			r.incarnation = incarnation
		}
	} else if incarnation.Worker != w.incarnation.Worker {
		t.State = TaskPending
		c.dirty[id.Job] = true
		return
	}
	c.addAttempt(j, id, t, w, now).adopted = true
}

// addAttempt adds the current attempt of a placed task to its job and worker.
func (c *Core) addAttempt(j *job, id descriptor.TaskID, t *Task, w *worker, now time.Time) *attempt {
	r := &attempt{
		id: descriptor.AttemptID{Task: id, Attempt: t.Attempt}, job: j, worker: w, incarnation: w.incarnation, need: j.step(id.Step).Need(),
		placed: now, checkpoint: t.Checkpoint, checkpointAt: now,
	}
	j.activeAttempts[id] = r
	j.attemptChanges++
	w.attempts[r.id] = r
	return r
}

// dropActive removes the current attempt of a task.
func (j *job) dropActive(id descriptor.TaskID) {
	delete(j.activeAttempts, id)
	j.attemptChanges++
}

// newJob adds a workload with its progress. The workload's arrival is its Accepted time, or now if that is in the future
// or at least an hour ago, since it comes from the clock of another VM.
func (c *Core) newJob(r Record, p Progress, now time.Time) *job {
	j := &job{
		record: r, progress: p, arrived: now, activeAttempts: map[descriptor.TaskID]*attempt{},
	}
	if age := now.Sub(r.Workload.Accepted); age > 0 && age < time.Hour {
		j.arrived = now.Add(-age)
	}
	if j.progress.Occurrences == nil {
		j.progress.Occurrences = map[int]*Occurrence{}
	}
	c.jobs[r.Workload.ID] = j
	i, _ := slices.BinarySearchFunc(c.activeJobs, j.id(), func(o *job, id descriptor.JobID) int { return cmp.Compare(o.id(), id) })
	c.activeJobs = slices.Insert(c.activeJobs, i, j)
	c.addWorkSample(j)
	if r.Workload.Priority == 0 && j.arrived.After(c.reserve.lastArrival) {
		c.reserve.lastArrival = j.arrived
	}
	return j
}

// Submit adds a workload or updates its cancellation. It is idempotent.
func (c *Core) Submit(r Record, now time.Time) {
	c.currentJob = r.Workload.ID
	j := c.jobs[r.Workload.ID]
	if j == nil {
		j = c.newJob(r, Progress{}, now)
	}
	if r.Cancelled && !j.record.Cancelled {
		j.record.Cancelled = true
	}
	c.planNeeded = true
}

// CurrentJob returns the workload that the planner processes or processed last; empty if there was none.
func (c *Core) CurrentJob() descriptor.JobID { return c.currentJob }

// Forget removes a workload whose documents were deleted from the store, unless it still has attempts.
func (c *Core) Forget(id descriptor.JobID) {
	if j := c.jobs[id]; j != nil && len(j.activeAttempts) == 0 {
		c.activeJobs = slices.DeleteFunc(c.activeJobs, func(o *job) bool { return o == j })
		delete(c.jobs, id)
		delete(c.dirty, id)
	}
}

// Progress returns the progress of a workload, and false when the workload is unknown. Its occurrences are shared with
// the Core and must not be changed.
func (c *Core) Progress(id descriptor.JobID) (Progress, bool) {
	j := c.jobs[id]
	if j == nil {
		return Progress{}, false
	}
	return j.progress, true
}

// FinishedJobs returns the workloads that are final and have no attempts left, sorted by id.
func (c *Core) FinishedJobs() []descriptor.JobID {
	var ids []descriptor.JobID
	for id, j := range c.jobs {
		if j.finished() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// TakeChangedJobs returns the workloads whose progress changed since the last call, sorted by id.
func (c *Core) TakeChangedJobs() []descriptor.JobID {
	ids := slices.Sorted(maps.Keys(c.dirty))
	clear(c.dirty)
	return ids
}

// SetGuarantees replaces the guarantees of all workspaces. A workspace without an account has none.
func (c *Core) SetGuarantees(accounts []descriptor.Account) {
	clear(c.guarantees)
	c.planNeeded = true
	for _, a := range accounts {
		c.guarantees[a.Workspace] = a.Guaranteed
	}
}

// SetExcludedDomains replaces the set of failure domains that are taken out of service. Nothing new starts there, but
// running attempts are not stopped.
func (c *Core) SetExcludedDomains(domains map[descriptor.FailureDomainID]bool) {
	c.excludedDomains = domains
	c.planNeeded = true
}

// PlanNeeded reports whether an event since the last plan may change the next one. Without one, plans stay the same
// until NextPlanAt.
func (c *Core) PlanNeeded() bool { return c.planNeeded }

// NextPlanAt returns the earliest time at which a plan may change without a new event; zero means never.
func (c *Core) NextPlanAt() time.Time { return c.nextPlanAt }

// planBy makes NextPlanAt return t or an earlier time.
func (c *Core) planBy(t time.Time) {
	if c.nextPlanAt.IsZero() || t.Before(c.nextPlanAt) {
		c.nextPlanAt = t
	}
}

func (j *job) id() descriptor.JobID            { return j.record.Workload.ID }
func (j *job) step(s int) *descriptor.Step     { return &j.record.Workload.Steps[s] }
func (j *job) task(id descriptor.TaskID) *Task { return &j.tasks(id.Occurrence, id.Step)[id.Index] }
func (j *job) occurrence(k int) *Occurrence    { return j.progress.Occurrences[k] }

// taskCount returns the number of tasks in one occurrence.
func (j *job) taskCount() int {
	n := 0
	for i := range j.record.Workload.Steps {
		n += j.record.Workload.Steps[i].Count
	}
	return n
}

// has reports whether the workload has a task. An id that a worker reports may name one that does not exist.
func (j *job) has(id descriptor.TaskID) bool {
	w := &j.record.Workload
	return id.Occurrence >= 0 && id.Occurrence < w.Occurrences() && id.Step >= 0 && id.Step < len(w.Steps) &&
		id.Index >= 0 && id.Index < w.Steps[id.Step].Count
}

// finished reports whether the workload is final and has no attempts left.
func (j *job) finished() bool { return !j.nonfinal() && len(j.activeAttempts) == 0 }

// nonfinal reports whether the workload is still queued or running. A final one may have attempts until they are
// stopped.
func (j *job) nonfinal() bool { return !j.progress.State.Final() }

// tasks returns the tasks of a step, creating them on first use.
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

// stepDone reports whether all tasks of a step have succeeded.
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

// taskDone reports whether a task has succeeded.
func (j *job) taskDone(id descriptor.TaskID) bool {
	o := j.occurrence(id.Occurrence)
	if o == nil {
		return false
	}
	return o.Done || o.Steps != nil && o.Steps[id.Step] != nil && o.Steps[id.Step][id.Index].State == TaskDone
}

// doneSteps returns for each step of occurrence k whether it is done.
func (j *job) doneSteps(k int) []bool {
	done := make([]bool, len(j.record.Workload.Steps))
	for s := range done {
		done[s] = j.stepDone(k, s)
	}
	return done
}

// firstOpenOccurrence returns the first occurrence that is not done.
func (j *job) firstOpenOccurrence() int {
	for ; j.firstOpen < j.record.Workload.Occurrences(); j.firstOpen++ {
		if o := j.occurrence(j.firstOpen); o == nil || !o.Done {
			break
		}
	}
	return j.firstOpen
}

// setState sets the state of a workload and, if it differs, marks the progress as changed.
func (c *Core) setState(j *job, state JobState) {
	if j.progress.State != state {
		j.progress.State = state
		c.dirty[j.id()] = true
	}
}

// criticalPath returns the largest sum of expected run times over a chain of dependent steps.
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

// objective returns the time by which occurrence k should be done: Stretch times the criticalPath, plus Slack, after
// its releaseTime.
func (c *Core) objective(j *job, k int) time.Time {
	w := &j.record.Workload
	return j.releaseTime(k).Add(time.Duration(w.Stretch*float64(c.criticalPath(j))) + w.Slack)
}

// sortedWorkers returns the workers sorted by node name.
func (c *Core) sortedWorkers() []*worker {
	ws := slices.Collect(maps.Values(c.workers))
	slices.SortFunc(ws, func(a, b *worker) int { return cmp.Compare(a.node, b.node) })
	return ws
}
