package scheduler

import (
	"fmt"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// defaultQueueLimit leaves room above the design target of 10,000 waiting jobs.
	defaultQueueLimit = 20000
	// refusalThreshold is the fraction of the queue limit from which less urgent jobs are refused.
	refusalThreshold = 0.75
	// endedJobsKept is the number of ended jobs that Explain can still describe.
	endedJobsKept = 4096
	// recordsKept is the maximum number of history records per job.
	recordsKept = 12
	// reorderInterval is the minimum time between two sorts of the queue by new run-time history.
	reorderInterval = 30 * second
)

// resourceShape holds the properties of a gang that determine whether it fits on given free resources.
type resourceShape struct {
	tasks  int
	need   vector
	level  descriptor.Level
	region descriptor.RegionID
}

// shapeState holds the outcomes of searches that all jobs of equal resourceShape share.
type shapeState struct {
	resourceShape
	// jobCount is the number of jobs that have not ended.
	jobCount int
	// failedGeneration is the capacity generation of the latest search that found no placement.
	failedGeneration int
	// failedEnd is the earliest end of the work for which a search in failedGeneration found no placement.
	// Searches for work with this end or a later one fail too.
	failedEnd int64
	// unschedulableSince is the time at which the gang was first found not to fit the whole fleet, or 0 if it fits.
	unschedulableSince int64
	// fitsFleetVersion is the fleet version for which the gang was last found to fit.
	fitsFleetVersion int
}

// searchKey identifies jobs that share the outcome of a failed guaranteed placement.
type searchKey struct {
	workspace descriptor.WorkspaceID
	class     descriptor.ClassID
	shape     *shapeState
}

// failedSearchGenerations holds the capacity generation in which each search last failed. The search is not repeated in
// the same generation.
type failedSearchGenerations map[searchKey]int

// record is an entry of a job's history; see HistoryEntry.
type record struct {
	at      int64
	attempt descriptor.Attempt
	what    string
	reason  string
}

// job is a job that was submitted or adopted. It is kept after its end for Explain; see endedJobsKept.
type job struct {
	descriptor.Job
	accepted int64
	// latestStart is the latest start time that meets the target of the class; the queue is sorted by it. It
	// is never before accepted, so a job can only be overtaken by jobs that were accepted before its latestStart.
	latestStart int64
	// need is the resources of one task.
	need       vector
	shapeState *shapeState
	state      JobState
	// number is the number of the attempt that was started or adopted last, or the one that RestoreJob was given. The
	// next start gets the number after it.
	number descriptor.Attempt
	// current is the attempt that holds or claims resources, or nil.
	current *attempt
	// ticket equals the ticket of the job's valid queue entry. Older entries of the job have other tickets.
	ticket int32
	// waiting reports whether the job has a valid queue entry.
	waiting     bool
	reservation *reservation
	// nextReserveAt is the earliest time of the next search for a reservation.
	nextReserveAt int64
	// notBefore is the earliest time of the next start after a failure or refusal.
	notBefore     int64
	failures      []jobFailure
	startRefusals int
	reclaimCount  int
	// checkpointedRunTime is the run time preserved by the checkpoints of earlier attempts.
	checkpointedRunTime int64
	records             []record
}

func (j *job) accelerators() int { return int(j.Accelerators()) }

// before reports whether j is more urgent than o.
func (j *job) before(o *job) bool { return j.compare(o) < 0 }

// compare orders jobs from the most to the least urgent. The order is total.
func (j *job) compare(o *job) int {
	switch {
	case j.latestStart != o.latestStart:
		return compareResult(j.latestStart < o.latestStart)
	case j.accepted != o.accepted:
		return compareResult(j.accepted < o.accepted)
	case j.Workspace != o.Workspace:
		return compareResult(j.Workspace < o.Workspace)
	case j.ID != o.ID:
		return compareResult(j.ID < o.ID)
	}
	return 0
}

func compareResult(isLess bool) int {
	if isLess {
		return -1
	}
	return 1
}

// addRecord appends to the history, which is bounded by recordsKept. Consecutive equal records are stored
// once.
func (j *job) addRecord(now int64, n descriptor.Attempt, what, reason string) {
	if k := len(j.records); k > 0 && j.records[k-1].what == what && j.records[k-1].reason == reason && j.records[k-1].attempt == n {
		return
	}
	if len(j.records) == recordsKept {
		copy(j.records, j.records[1:])
		j.records = j.records[:recordsKept-1]
	}
	j.records = append(j.records, record{now, n, what, reason})
}

// queueEntry is a position in the queue. It is valid while its job is waiting and has the same ticket.
type queueEntry struct {
	job    *job
	ticket int32
}

func (e queueEntry) valid() bool { return e.job.waiting && e.job.ticket == e.ticket }

// latestStartOf returns the latest start time of j, or its acceptance time for PolicyBaseline. A class that is no
// longer in the configuration counts as one with a target of an hour.
func (c *Core) latestStartOf(j *job) int64 {
	if c.Policy == PolicyBaseline {
		return j.accepted
	}
	target := hour
	if class := c.classes[j.Class]; class != nil {
		target = int64(class.FinishWithin)
	}
	return max(j.accepted, j.accepted+target-c.remainingRunTime(j))
}

// enqueue marks j as waiting and adds it to the queue.
func (c *Core) enqueue(j *job) {
	j.state = StateWaiting
	j.latestStart = c.latestStartOf(j)
	j.waiting = true
	j.ticket++
	at := c.queueIndex(j)
	c.queue = slices.Insert(c.queue, at, queueEntry{j, j.ticket})
	c.waitingCount++
	if j.notBefore > c.now {
		c.delayed = append(c.delayed, j)
		return
	}
	c.unconsidered = append(c.unconsidered, j)
}

// queueIndex returns the index at which j is in the queue or would be inserted according to its latestStart.
func (c *Core) queueIndex(j *job) int {
	at, _ := slices.BinarySearchFunc(c.queue, j, func(e queueEntry, j *job) int { return e.job.compare(j) })
	return at
}

// dequeue marks j as no longer waiting, and drops its earmark and its reservation. The queue entry itself is removed
// later by compactQueue, which keeps mass cancellations cheap.
func (c *Core) dequeue(j *job) {
	if !j.waiting {
		return
	}
	j.waiting = false
	c.waitingCount--
	c.clearEarmark(j)
	if j.reservation != nil {
		c.dropReservation(j.reservation)
	}
	if len(c.queue) > 64 && c.waitingCount < len(c.queue)/2 {
		c.compactQueue()
	}
}

// clearEarmark removes the earmark of the workspace's guarantee for j, if there is one.
func (c *Core) clearEarmark(j *job) {
	if ws := c.workspaces[j.Workspace]; ws != nil && ws.earmarkedFor == j {
		ws.earmarkedFor = nil
		c.capacityFreed()
	}
}

// compactQueue removes stale entries from the queue, except during a pass.
func (c *Core) compactQueue() {
	if c.inPass {
		return
	}
	c.queue = slices.DeleteFunc(c.queue, func(e queueEntry) bool { return !e.valid() })
}

// reorderQueue sorts the queue again when the run-time history has changed, at most once per reorderInterval.
func (c *Core) reorderQueue() {
	if c.Policy == PolicyBaseline || c.history.version == c.orderedAtVersion || c.now < c.nextReorderAt {
		return
	}
	c.orderedAtVersion, c.nextReorderAt = c.history.version, c.now+reorderInterval
	c.compactQueue()
	for _, e := range c.queue {
		e.job.latestStart = c.latestStartOf(e.job)
	}
	slices.SortFunc(c.queue, func(a, b queueEntry) int { return a.job.compare(b.job) })
}

// checkAdmission refuses less urgent jobs as the queue fills up. Above refusalThreshold, a job is accepted
// only if its queue position is close enough to the front. The last accepted position moves linearly to the
// front as the queue approaches its limit.
func (c *Core) checkAdmission(j *job) error {
	limit := c.QueueLimit
	if limit == 0 {
		limit = defaultQueueLimit
	}
	filled := float64(c.waitingCount) / float64(limit)
	if filled < refusalThreshold {
		return nil
	}
	j.latestStart = c.latestStartOf(j)
	position := float64(c.queueIndex(j)) / float64(max(1, len(c.queue)))
	if filled < 1 && position <= (1-filled)/(1-refusalThreshold) {
		return nil
	}
	return fmt.Errorf("%w: %d of %d places taken and %.0f%% of the waiting jobs are more urgent", ErrQueueFull, c.waitingCount, limit, 100*position)
}

// Submit adds a job to the queue. Submitting a known job again is not an error.
func (c *Core) Submit(d descriptor.Job, accepted, now time.Time) error {
	c.advanceTo(now)
	if c.jobs[d.Key()] != nil {
		return nil
	}
	if c.workspaces[d.Workspace] == nil {
		return fmt.Errorf("%w: %q", ErrUnknownWorkspace, d.Workspace)
	}
	if c.classes[d.Class] == nil {
		return fmt.Errorf("%w: %q", ErrUnknownClass, d.Class)
	}
	j := c.newJob(d, toNanos(accepted))
	// A job accepted by an earlier scheduler must not be refused; sweep ends it if it never fits.
	if c.now-j.accepted < resubmittedAge {
		if reason := c.unschedulableReason(j.shapeState); reason != "" {
			c.releaseShapeState(j)
			return fmt.Errorf("%w: %s", ErrNeverFits, reason)
		}
		if err := c.checkAdmission(j); err != nil {
			c.releaseShapeState(j)
			return err
		}
	}
	c.jobs[d.Key()] = j
	j.addRecord(c.now, 0, "Queued", "")
	c.enqueue(j)
	return nil
}

func (c *Core) newJob(d descriptor.Job, accepted int64) *job {
	d.Tasks = max(1, d.Tasks)
	j := &job{Job: d, accepted: accepted, need: vectorOf(d.PerTask), state: StateWaiting}
	k := resourceShape{d.Tasks, j.need, d.Adjacency, d.Region}
	j.shapeState = c.shapeStates[k]
	if j.shapeState == nil {
		j.shapeState = &shapeState{resourceShape: k}
		c.shapeStates[k] = j.shapeState
	}
	j.shapeState.jobCount++
	for k := range c.unexpected {
		if k.key == j.Key() {
			j.number = max(j.number, k.number)
		}
	}
	return j
}

// releaseShapeState records that j no longer uses its shapeState, which is dropped when no job uses it.
func (c *Core) releaseShapeState(j *job) {
	if j.shapeState.jobCount--; j.shapeState.jobCount == 0 {
		delete(c.shapeStates, j.shapeState.resourceShape)
	}
}

// Cancel ends a job. Its resources stay in use until HandleEvent reports that its tasks have stopped. Cancelling
// an ended job is not an error.
func (c *Core) Cancel(key descriptor.JobKey, now time.Time) error {
	c.advanceTo(now)
	j := c.jobs[key]
	if j == nil {
		return fmt.Errorf("%w: %v", ErrUnknownJob, key)
	}
	if j.state == StateEnded {
		return nil
	}
	a := j.current
	c.markEnded(j, "Cancelled", "cancelled by the caller")
	switch {
	case a == nil:
	case a.claim:
		c.dropClaim(a, "cancelled")
	case a.stopRequested:
		c.addStopDecision(a, "cancelled by the caller", 0)
	default:
		c.requestStop(a, 0, "cancelled by the caller")
	}
	return nil
}

// markEnded marks j as ended. If more than endedJobsKept ended jobs are then kept, it drops the oldest.
func (c *Core) markEnded(j *job, what, reason string) {
	c.dequeue(j)
	j.state = StateEnded
	j.addRecord(c.now, j.number, what, reason)
	j.Payload, j.failures = nil, nil
	c.releaseShapeState(j)
	c.endedKeys = append(c.endedKeys, j.Key())
	if len(c.endedKeys) <= endedJobsKept {
		return
	}
	oldest := c.endedKeys[0]
	c.endedKeys = c.endedKeys[1:]
	if ended := c.jobs[oldest]; ended != nil && ended.current != nil {
		// The job still holds resources; drop it later.
		c.endedKeys = append(c.endedKeys, oldest)
		return
	}
	delete(c.jobs, oldest)
}

// endJob ends j and adds a decision that reports it to the caller.
func (c *Core) endJob(j *job, reason string) {
	c.markEnded(j, "Ended", reason)
	c.addDecision(Decision{Kind: DecisionEnd, Key: j.Key(), Attempt: j.number, Reason: reason})
}
