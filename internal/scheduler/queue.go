package scheduler

import (
	"fmt"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Limits of the queue and of what is kept about jobs.
const (
	// defaultQueueLimit is above the 10,000 waiting jobs that the design provides for.
	defaultQueueLimit = 20000
	// refusalThreshold is the share of the limit from which less urgent jobs are refused.
	refusalThreshold = 0.75
	// endedJobsKept is how many ended jobs Explain still knows.
	endedJobsKept = 4096
	// recordsKept bounds the history of one job.
	recordsKept = 12
	// reorderInterval is how often the queue takes new run-time history into account.
	reorderInterval = 30 * second
)

// resourceShape is all that matters for whether a gang fits on given free resources.
type resourceShape struct {
	tasks  int
	need   vector
	level  descriptor.Level
	region descriptor.RegionID
}

// shape shares the outcome of failed searches between jobs of equal resource shape.
type shape struct {
	resourceShape
	jobCount int
	// In failedAt, the generation of the view, no place was found for work that ends at failedEnd or later.
	failedGeneration int
	failedEnd        int64
	// unschedulableSince is when the shape was first found too large for the whole fleet.
	unschedulableSince int64
	// fitsFleetVersion is the version of the fleet on which the shape was last found to fit.
	fitsFleetVersion int
}

// searchKey shares the outcome of failed guaranteed placements between equal jobs.
type searchKey struct {
	workspace descriptor.WorkspaceID
	class     descriptor.ClassID
	shape     *shape
}

// failedSearchGenerations holds the generation in which no guaranteed place was found for each of them.
type failedSearchGenerations map[searchKey]int

// record is one entry of a job's history in compact form.
type record struct {
	at      int64
	attempt descriptor.Attempt
	what    string
	reason  string
}

// job is the view of one accepted job.
type job struct {
	descriptor.Job
	accepted int64
	// latestStart is the latest start that meets the target of the class. It never lies before accepted, so
	// that a job is overtaken only by jobs accepted before its latest start.
	latestStart int64
	need        vector
	shape       *shape
	state       JobState
	// number is that of the latest attempt.
	number descriptor.Attempt
	// current is the attempt that holds or claims resources, or nil.
	current *attempt
	// ticket tells the valid entry of the job in the queue from older ones; waiting says whether there is one.
	ticket      int32
	waiting     bool
	reservation *reservation
	// nextReserveAt is when a reservation may be searched for again.
	nextReserveAt int64
	// notBefore delays the next try after failures and refusals.
	notBefore     int64
	failures      []failure
	startRefusals int
	reclaimCount  int
	// checkpointedRunTime is the run time before the latest checkpoint.
	checkpointedRunTime int64
	records             []record
}

func (j *job) accelerators() int { return int(j.Accelerators()) }

// before reports whether j is more urgent than o. The order is total.
func (j *job) before(o *job) bool { return j.compare(o) < 0 }

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

// addRecord adds to the bounded history. Repeated records are kept once.
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

// queueEntry is one place in the queue. It is valid while its ticket is that of the waiting job.
type queueEntry struct {
	job    *job
	ticket int32
}

func (e queueEntry) valid() bool { return e.job.waiting && e.job.ticket == e.ticket }

// latestStart computes the position of j in the queue.
func (c *Core) latestStart(j *job) int64 {
	if c.Policy == PolicyBaseline {
		return j.accepted
	}
	target := hour
	if class := c.classes[j.Class]; class != nil {
		target = int64(class.FinishWithin)
	}
	return max(j.accepted, j.accepted+target-c.remainingRunTime(j))
}

// enqueue adds j to the queue.
func (c *Core) enqueue(j *job) {
	j.state = StateWaiting
	j.latestStart = c.latestStart(j)
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

// queueIndex returns the position of j in the queue.
func (c *Core) queueIndex(j *job) int {
	at, _ := slices.BinarySearchFunc(c.queue, j, func(e queueEntry, j *job) int { return e.job.compare(j) })
	return at
}

// dequeue takes j out of the queue. Its entry is removed later, so that waves of cancellations are cheap.
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

// clearEarmark lets later jobs of the workspace of j use the guarantee again.
func (c *Core) clearEarmark(j *job) {
	if ws := c.workspaces[j.Workspace]; ws != nil && ws.earmarkedFor == j {
		ws.earmarkedFor = nil
		c.capacityFreed()
	}
}

func (c *Core) compactQueue() {
	if c.inPass {
		return
	}
	c.queue = slices.DeleteFunc(c.queue, func(e queueEntry) bool { return !e.valid() })
}

// reorderQueue sorts the queue by the run times that history suggests now.
func (c *Core) reorderQueue() {
	if c.Policy == PolicyBaseline || c.history.version == c.orderedAtVersion || c.now < c.nextReorderAt {
		return
	}
	c.orderedAtVersion, c.nextReorderAt = c.history.version, c.now+reorderInterval
	c.compactQueue()
	for _, e := range c.queue {
		e.job.latestStart = c.latestStart(e.job)
	}
	slices.SortFunc(c.queue, func(a, b queueEntry) int { return a.job.compare(b.job) })
}

// checkAdmission refuses the least urgent jobs first as the queue fills: from refuseFrom on, the more
// the queue is filled, the further to the front a new job must belong.
func (c *Core) checkAdmission(j *job) error {
	limit := c.QueueLimit
	if limit == 0 {
		limit = defaultQueueLimit
	}
	filled := float64(c.waitingCount) / float64(limit)
	if filled < refusalThreshold {
		return nil
	}
	j.latestStart = c.latestStart(j)
	position := float64(c.queueIndex(j)) / float64(max(1, len(c.queue)))
	if filled < 1 && position <= (1-filled)/(1-refusalThreshold) {
		return nil
	}
	return fmt.Errorf("%w: %d of %d places taken and %.0f%% of the waiting jobs are more urgent", ErrQueueFull, c.waitingCount, limit, 100*position)
}

// Submit adds a job to the queue. Repeating a known job is no error.
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
	// A job that was accepted before this core knew it may not be refused any more; sweep ends it if it never fits.
	if c.now-j.accepted < resubmittedAge {
		if reason := c.unschedulable(j.shape); reason != "" {
			c.releaseShape(j)
			return fmt.Errorf("%w: %s", ErrNeverFits, reason)
		}
		if err := c.checkAdmission(j); err != nil {
			c.releaseShape(j)
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
	j.shape = c.shapes[k]
	if j.shape == nil {
		j.shape = &shape{resourceShape: k}
		c.shapes[k] = j.shape
	}
	j.shape.jobCount++
	for k := range c.unexpected {
		if k.key == j.Key() {
			j.number = max(j.number, k.number)
		}
	}
	return j
}

func (c *Core) releaseShape(j *job) {
	if j.shape.jobCount--; j.shape.jobCount == 0 {
		delete(c.shapes, j.shape.resourceShape)
	}
}

// Cancel ends a job. Its resources are free when Observe says that its tasks have stopped. Repeating it is no error.
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

// markEnded marks j as ended and forgets the oldest ended job.
func (c *Core) markEnded(j *job, what, reason string) {
	c.dequeue(j)
	j.state = StateEnded
	j.addRecord(c.now, j.number, what, reason)
	j.Payload, j.failures = nil, nil
	c.releaseShape(j)
	c.endedKeys = append(c.endedKeys, j.Key())
	if len(c.endedKeys) <= endedJobsKept {
		return
	}
	oldest := c.endedKeys[0]
	c.endedKeys = c.endedKeys[1:]
	if ended := c.jobs[oldest]; ended != nil && ended.current != nil {
		// The job still holds resources; it is forgotten in a later round.
		c.endedKeys = append(c.endedKeys, oldest)
		return
	}
	delete(c.jobs, oldest)
}

// endJob ends j for good and tells the caller.
func (c *Core) endJob(j *job, reason string) {
	c.markEnded(j, "Ended", reason)
	c.addDecision(Decision{Kind: DecisionEnd, Key: j.Key(), Attempt: j.number, Reason: reason})
}
