package replayer

import (
	"container/heap"
	"errors"
	"fmt"
	"slices"
	"sort"
	"time"

	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

// Delays and intervals of the simulated deployment.
const (
	// startDelay is the time from a decision to the start of all members.
	startDelay = time.Second
	// stopDelay is the time that a stop without a checkpoint takes.
	stopDelay = time.Second
	// badWorkerDelay is the time until a task that starts on a bad worker fails.
	badWorkerDelay = 2 * time.Second
	// failingJobDelay is the time from the start of a job that always fails until it fails.
	failingJobDelay = 5 * time.Second
	// workerLossDelay is the time from the failure of a worker until the core is notified of its loss. A scheduler waits this
	// long before it treats the tasks of a silent agent as stopped.
	workerLossDelay = 35 * time.Second
	// decideInterval is the time between decisions while jobs are unfinished and nothing else happens.
	decideInterval = 5 * time.Second
	// sampleInterval is the time between samples of fragmentation and utilisation.
	sampleInterval = 5 * time.Minute
	// drainLimit is how long jobs may continue after the end of the trace before they count as unaccounted.
	drainLimit = 48 * time.Hour
	// partialGangLimit is the time within which the core must stop the surviving members of a gang, counted from when it is
	// notified of the loss of a member. Otherwise, the gang counts as partial.
	partialGangLimit = 10 * time.Second
)

// jobState is the state of a job as the replay records it, which can differ from what the core knows. The states from
// jobCompleted on are final.
type jobState int

const (
	jobWaiting jobState = iota
	// jobStarting is the state from the decision to start until all members run.
	jobStarting
	jobRunning
	// jobStopping is the state while a stop is in progress, which may include writing a checkpoint.
	jobStopping
	jobCompleted
	jobCancelled
	// jobRefused is the state of jobs that the core refused on submission or ended before completion.
	jobRefused
)

func (s jobState) ended() bool { return s >= jobCompleted }

// holdsResources reports whether an attempt of the job holds the resources of its placement.
func (s jobState) holdsResources() bool { return s >= jobStarting && s <= jobStopping }

// job is the record that the replay keeps of a job, independently of the scheduler core.
type job struct {
	descriptor.Job
	runTime time.Duration
	// fails is set for a job that fails on every worker.
	fails     bool
	arrivedAt time.Time

	state jobState
	// cancelRequested is set before the state becomes jobCancelled, which happens only when no attempt runs.
	cancelRequested bool
	endReason       string
	attempt         descriptor.Attempt
	placement       []scheduler.Assignment
	// startedAt is the start of the current attempt; zero until its members run.
	startedAt time.Time
	// progress is the part of the run time that earlier attempts have completed and saved in a checkpoint.
	progress time.Duration
	// memberLost is set when a worker that runs a member of the current attempt has failed.
	memberLost bool
	// starts is the number of attempts whose members started.
	starts int

	// waitingSince is the start of the current wait; totalWait is the sum of the earlier waits.
	waitingSince time.Time
	totalWait    time.Duration
	endedAt      time.Time

	// entitledSince is the time from which the waiting job has been entitled to an unused guarantee of its workspace (see
	// isEntitled); zero if it is not.
	entitledSince     time.Time
	violationReported bool
}

// workerState is a worker of the fleet with its state and its free resources.
type workerState struct {
	descriptor.Worker
	// up is false while the worker is down; bad is set while all tasks that start on the worker fail.
	up, bad bool
	// lossPending is set from the failure of the worker until the core is notified.
	lossPending bool
	free        descriptor.Resources
}

// region is a region of the fleet with its core, as each region has its own scheduler.
type region struct {
	name    descriptor.RegionID
	core    *scheduler.Core
	workers []*workerState
	// jobs are the jobs that the core has accepted. Ended jobs are removed after the next decisions.
	jobs []*job
}

// replay is the state of a replay with one policy.
type replay struct {
	trace  Trace
	policy scheduler.Policy
	now    time.Time
	// end is the end of the trace's duration. The replay continues after it for up to drainLimit while jobs are unfinished.
	end            time.Time
	timers         timers
	config         descriptor.Configuration
	removedDomains map[descriptor.FailureDomainID]bool
	regions        []*region
	regionsByName  map[descriptor.RegionID]*region
	workersByID    map[descriptor.WorkerID]*workerState
	jobsByKey      map[descriptor.JobKey]*job
	// allJobs are all jobs, including ended ones, in the order of their arrival.
	allJobs []*job
	// tickScheduled is set while a timer for the next periodic decision is pending.
	tickScheduled    bool
	report           *Report
	acceleratorHours acceleratorHours
}

// Replay replays t on a virtual clock with one scheduler core per region. If failure domains go out of service and return
// in t, it is replayed a second time without these faults, to compare the work done.
func Replay(t Trace, p scheduler.Policy) (*Report, error) {
	windows := faultWindows(t)
	r, err := replayOnce(t, p, windows)
	if err != nil || len(windows) == 0 {
		return r, err
	}
	withoutFault, err := replayOnce(withoutFailureDomainFaults(t, windows), p, windows)
	if err != nil {
		return nil, err
	}
	for i := range r.Windows {
		r.Windows[i].WorkWithoutFault = withoutFault.Windows[i].Work
	}
	return r, nil
}

// replayOnce replays t once and measures the work done in the given fault windows.
func replayOnce(t Trace, p scheduler.Policy, windows []Window) (*Report, error) {
	if t.Header.Format != Format {
		return nil, fmt.Errorf("replay trace %q: %w", t.Header.Name, errors.New("unsupported format in the header"))
	}
	r := newReplay(t, p)
	r.report.Windows = slices.Clone(windows)
	r.scheduleEvents(t)
	for r.timers.Len() > 0 && r.now.Before(r.end.Add(drainLimit)) {
		r.step()
	}
	r.finishReport()
	return r.report, nil
}

func newReplay(t Trace, p scheduler.Policy) *replay {
	start := t.Header.Start
	r := &replay{
		trace: t, policy: p, now: start, end: start.Add(t.Header.Duration.TimeDuration()), config: t.Header.Configuration,
		removedDomains: make(map[descriptor.FailureDomainID]bool), regionsByName: make(map[descriptor.RegionID]*region),
		workersByID: make(map[descriptor.WorkerID]*workerState), jobsByKey: make(map[descriptor.JobKey]*job),
		report: &Report{Trace: t.Header.Name, Policy: p},
	}
	for _, d := range t.Header.Configuration.FailureDomains {
		r.removedDomains[d.Name] = d.Out
	}
	for _, w := range t.Header.Fleet {
		m := &workerState{Worker: w, up: true, free: descriptor.Resources{Cores: w.Cores, Memory: w.Memory, Accelerators: w.Accelerators}}
		r.workersByID[w.ID] = m
		g := r.region(w.Region)
		g.workers = append(g.workers, m)
	}
	r.configureCores()
	for _, g := range r.regions {
		for _, m := range g.workers {
			g.core.SetWorker(m.Worker, r.now)
		}
	}
	return r
}

// region returns the region with the given name, and creates it if needed. An empty name means the first region.
func (r *replay) region(name descriptor.RegionID) *region {
	if name == "" && len(r.regions) > 0 {
		return r.regions[0]
	}
	if g := r.regionsByName[name]; g != nil {
		return g
	}
	g := &region{name: name, core: &scheduler.Core{Policy: r.policy, Region: name}}
	r.regionsByName[name] = g
	r.regions = append(r.regions, g)
	return g
}

// scheduleEvents schedules a timer for each event and each sample.
func (r *replay) scheduleEvents(t Trace) {
	for i := range t.Events {
		e := &t.Events[i]
		r.scheduleAt(r.trace.Header.Start.Add(e.At.TimeDuration()), func() { r.applyEvent(e) })
	}
	for at := r.now.Add(sampleInterval); !at.After(r.end); at = at.Add(sampleInterval) {
		r.scheduleAt(at, r.takeSample)
	}
}

func (r *replay) scheduleAfter(d time.Duration, f func()) { r.scheduleAt(r.now.Add(d), f) }

func (r *replay) scheduleAt(t time.Time, f func()) {
	r.timers.lastSequence++
	heap.Push(&r.timers, timer{at: t, sequence: r.timers.lastSequence, callback: f})
}

// step advances the clock to the next timer, runs all timers of that time, then lets the cores decide and audits the
// guarantees. It also schedules the next tick.
func (r *replay) step() {
	next := r.timers.items[0].at
	r.acceleratorHours.addInterval(r, next)
	r.now = next
	for r.timers.Len() > 0 && r.timers.items[0].at.Equal(next) {
		heap.Pop(&r.timers).(timer).callback()
	}
	for _, g := range r.regions {
		r.applyDecisions(g)
		r.auditGuarantees(g)
	}
	r.scheduleTick()
}

// scheduleTick schedules another decision while there are unfinished jobs, as the cores' decisions also depend on the time,
// for instance through retry delays and reservations. The timer only clears tickScheduled, as step lets the cores decide after
// every timer.
func (r *replay) scheduleTick() {
	if r.tickScheduled {
		return
	}
	for _, g := range r.regions {
		if len(g.jobs) > 0 {
			r.tickScheduled = true
			r.scheduleAfter(decideInterval, func() { r.tickScheduled = false })
			return
		}
	}
}

func (r *replay) applyEvent(e *Event) {
	switch e.Kind {
	case JobArrives:
		r.submitJob(e)
	case JobCancelled:
		r.cancelJob(r.jobsByKey[*e.Key])
	case WorkerFails:
		r.failWorker(r.workersByID[e.Worker])
	case WorkerReturns:
		r.returnWorker(r.workersByID[e.Worker])
	case WorkerTurnsBad:
		r.workersByID[e.Worker].bad = true
	case WorkerTurnsGood:
		r.workersByID[e.Worker].bad = false
	case FailureDomainOut:
		r.removedDomains[e.FailureDomain] = true
		r.configureCores()
	case FailureDomainIn:
		r.removedDomains[e.FailureDomain] = false
		r.configureCores()
	case ConfigurationChanges:
		r.config = *e.Configuration
		r.configureCores()
	}
}

// configureCores passes the configuration to each core, with the current state of the failure domains and the guarantees of
// its region.
func (r *replay) configureCores() {
	domains := append([]descriptor.FailureDomain(nil), r.trace.Header.Configuration.FailureDomains...)
	for i := range domains {
		domains[i].Out = r.removedDomains[domains[i].Name]
	}
	r.config.FailureDomains = domains
	for _, g := range r.regions {
		cfg := r.config
		cfg.Workspaces = make([]descriptor.Workspace, len(r.config.Workspaces))
		for i, w := range r.config.Workspaces {
			w.Guarantees = guaranteesIn(w, g.name)
			cfg.Workspaces[i] = w
		}
		g.core.Configure(&cfg, r.now)
	}
}

// guaranteesIn returns the guarantees of a workspace that the scheduler of a region has to honour: those for the region, and
// those without a region.
func guaranteesIn(w descriptor.Workspace, regionName descriptor.RegionID) []descriptor.Shape {
	var guarantees []descriptor.Shape
	for _, s := range w.Guarantees {
		if s.Region == "" || s.Region == regionName {
			guarantees = append(guarantees, s)
		}
	}
	return guarantees
}

// submitJob submits an arriving job to the core of its region. A job that the core refuses ends at once, and counts as a wrong
// refusal if it would fit into the empty region.
func (r *replay) submitJob(e *Event) {
	j := &job{Job: *e.Job, runTime: e.RunTime.TimeDuration(), fails: e.Fails, arrivedAt: r.now, waitingSince: r.now}
	r.jobsByKey[j.Key()] = j
	r.allJobs = append(r.allJobs, j)
	g := r.region(j.Region)
	if err := g.core.Submit(j.Job, r.now, r.now); err != nil {
		if r.fitsEmptyRegion(g, &j.Job) {
			r.report.WrongRefusals++
		}
		r.endJob(j, jobRefused, err.Error())
		return
	}
	g.jobs = append(g.jobs, j)
}

// cancelJob cancels a job that has not ended. A job with an attempt ends when the attempt has stopped.
func (r *replay) cancelJob(j *job) {
	if j.state.ended() || j.cancelRequested {
		return
	}
	j.cancelRequested = true
	if err := r.region(j.Region).core.Cancel(j.Key(), r.now); err != nil {
		r.recordInvalidDecision(j, "cancellation refused: "+err.Error())
	}
	if j.state == jobWaiting {
		r.endJob(j, jobCancelled, "cancelled")
	}
}

// endJob records the final state of j and the reason for it.
func (r *replay) endJob(j *job, s jobState, reason string) {
	r.accumulateWait(j)
	j.state = s
	j.endReason = reason
	j.endedAt = r.now
}

// accumulateWait adds the current wait of j, if it waits, to its total waiting time.
func (r *replay) accumulateWait(j *job) {
	if j.state == jobWaiting {
		j.totalWait += r.now.Sub(j.waitingSince)
	}
}

// failWorker stops a worker. Its gangs stop making progress at once, but the core is notified only after workerLossDelay
// or when the worker returns.
func (r *replay) failWorker(m *workerState) {
	if !m.up {
		return
	}
	m.up = false
	m.lossPending = true
	for _, j := range r.region(m.Region).jobs {
		if j.state.holdsResources() && j.runsOn(m.ID) {
			j.memberLost = true
		}
	}
	r.scheduleAfter(workerLossDelay, func() {
		if m.lossPending {
			r.removeWorker(m)
		}
	})
}

// returnWorker brings a worker back without tasks. If its loss is still pending, the core is notified of it first, as the report of
// the restarted agent lists no tasks.
func (r *replay) returnWorker(m *workerState) {
	if m.up {
		return
	}
	if m.lossPending {
		r.removeWorker(m)
	}
	m.up = true
	r.region(m.Region).core.SetWorker(m.Worker, r.now)
}

// removeWorker notifies the core that a worker is lost, and handles the loss of the members that ran there.
func (r *replay) removeWorker(m *workerState) {
	m.lossPending = false
	g := r.region(m.Region)
	g.core.RemoveWorker(m.ID, r.now)
	for _, j := range g.jobs {
		if j.state.holdsResources() && j.runsOn(m.ID) {
			r.handleMemberLoss(j, m)
		}
	}
}

// handleMemberLoss ends an attempt that has no members left. Otherwise the core has to stop the other members within
// partialGangLimit; if it does not, they are stopped here and count as a partial gang.
func (r *replay) handleMemberLoss(j *job, m *workerState) {
	if len(r.survivingAssignments(j)) == 0 {
		r.countLostWork(j, &r.report.LostToFailures)
		r.release(j)
		return
	}
	attempt := j.attempt
	r.scheduleAfter(partialGangLimit, func() {
		if j.attempt == attempt && j.memberLost && j.state == jobRunning {
			r.report.PartialGangs++
			r.attemptStopped(j, attempt, scheduler.EventTaskFailed, m.ID, "a member's worker failed")
		}
	})
}

// survivingAssignments returns the part of the job's placement whose workers are up.
func (r *replay) survivingAssignments(j *job) []scheduler.Assignment {
	var surviving []scheduler.Assignment
	for _, a := range j.placement {
		if r.workersByID[a.Worker].up {
			surviving = append(surviving, a)
		}
	}
	return surviving
}

// runsOn reports whether the current placement includes the worker with the given ID.
func (j *job) runsOn(id descriptor.WorkerID) bool {
	for _, a := range j.placement {
		if a.Worker == id {
			return true
		}
	}
	return false
}

// finishReport adds all jobs to the report and computes its totals.
func (r *replay) finishReport() {
	for _, j := range r.allJobs {
		r.report.countJob(j)
	}
	r.report.computeTotals(r)
}

// removeEndedJobs removes ended jobs from g.jobs, so that audits and samples do not visit them. replay.allJobs keeps them.
func (g *region) removeEndedJobs() {
	kept := g.jobs[:0]
	for _, j := range g.jobs {
		if !j.state.ended() {
			kept = append(kept, j)
		}
	}
	clear(g.jobs[len(kept):])
	g.jobs = kept
}

// timers is a heap of timers, ordered by time, then by order of creation.
type timers struct {
	items        []timer
	lastSequence int
}

type timer struct {
	at       time.Time
	sequence int
	callback func()
}

func (t *timers) Len() int { return len(t.items) }
func (t *timers) Less(i, j int) bool {
	a, b := t.items[i], t.items[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.sequence < b.sequence
}
func (t *timers) Swap(i, j int) { t.items[i], t.items[j] = t.items[j], t.items[i] }
func (t *timers) Push(x any)    { t.items = append(t.items, x.(timer)) }
func (t *timers) Pop() any {
	last := len(t.items) - 1
	x := t.items[last]
	t.items[last] = timer{}
	t.items = t.items[:last]
	return x
}

// faultWindows returns the windows from the removal of each failure domain until half an hour after its return, in order of
// their beginning. A failure domain that does not return has no window.
func faultWindows(t Trace) []Window {
	const recoveryTime = 30 * time.Minute
	var windows []Window
	outSince := make(map[descriptor.FailureDomainID]time.Duration)
	for _, e := range t.Events {
		switch e.Kind {
		case FailureDomainOut:
			outSince[e.FailureDomain] = e.At.TimeDuration()
		case FailureDomainIn:
			if from, ok := outSince[e.FailureDomain]; ok {
				windows = append(windows, Window{FailureDomain: e.FailureDomain, From: from, Returned: e.At.TimeDuration(), To: e.At.TimeDuration() + recoveryTime})
				delete(outSince, e.FailureDomain)
			}
		}
	}
	sort.Slice(windows, func(i, j int) bool { return windows[i].From < windows[j].From })
	return windows
}

// withoutFailureDomainFaults returns t without the failure domain events of the windows, and without the failures and returns
// of workers in these failure domains while they are out of service.
func withoutFailureDomainFaults(t Trace, windows []Window) Trace {
	domainByWorker := make(map[descriptor.WorkerID]descriptor.FailureDomainID)
	for _, w := range t.Header.Fleet {
		domainByWorker[w.ID] = w.FailureDomain
	}
	kept := Trace{Header: t.Header}
	for _, e := range t.Events {
		if !isWindowFault(e, domainByWorker, windows) {
			kept.Events = append(kept.Events, e)
		}
	}
	return kept
}

// isWindowFault reports whether e removes or returns the failure domain of a window, or is the failure or return of one of its
// workers, and lies between the removal and the return of the failure domain, both included.
func isWindowFault(e Event, domainByWorker map[descriptor.WorkerID]descriptor.FailureDomainID, windows []Window) bool {
	domain := e.FailureDomain
	switch e.Kind {
	case FailureDomainOut, FailureDomainIn:
	case WorkerFails, WorkerReturns:
		domain = domainByWorker[e.Worker]
	default:
		return false
	}
	for _, w := range windows {
		if w.FailureDomain == domain && e.At.TimeDuration() >= w.From && e.At.TimeDuration() <= w.Returned {
			return true
		}
	}
	return false
}
