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

// Times of the model.
const (
	// startDelay is the time from a decision to the start of all members.
	startDelay = time.Second
	// stopDelay is the time that a stop without a checkpoint takes.
	stopDelay = time.Second
	// badWorkerDelay is how soon a bad worker fails what starts there, and jobDelay how soon a job that always fails does.
	badWorkerDelay = 2 * time.Second
	failingJobTime = 5 * time.Second
	// lossDelay is how long a scheduler waits before it treats the tasks of a silent agent as stopped.
	lossDelay = 35 * time.Second
	// decideInterval is the time between decisions while nothing happens and jobs wait.
	decideInterval = 5 * time.Second
	// sampleInterval is the time between samples of fragmentation and utilisation.
	sampleInterval = 5 * time.Minute
	// drainLimit is how long work may continue after the end of the trace before it counts as unaccounted.
	drainLimit = 48 * time.Hour
	// partialGangLimit is the time after which the gang protocol has ended a partial gang, counted from the loss of a member being known.
	partialGangLimit = 10 * time.Second
)

// jobState is the state of a job in the replay.
type jobState int

const (
	jobWaiting jobState = iota
	jobStarting
	jobRunning
	jobStopping
	jobCompleted
	jobCancelled
	jobRefused
)

func (s jobState) ended() bool    { return s >= jobCompleted }
func (s jobState) occupies() bool { return s >= jobStarting && s <= jobStopping }

// job is what the replay knows of a job, on its own account.
type job struct {
	descriptor.Job
	runTime time.Duration
	fails   bool
	arrived time.Time

	state     jobState
	cancelled bool
	reason    string
	attempt   descriptor.Attempt
	placement []scheduler.Assignment
	// began is the start of the current attempt; zero until it runs.
	began time.Time
	// progress of earlier attempts that a checkpoint holds.
	progress time.Duration
	// lost is set when a member of the current attempt is on a worker that has failed.
	lost bool
	runs int

	waitingSince time.Time
	waited       time.Duration
	endedAt      time.Time

	// entitledSince is since when the job waits although an unused guarantee of its workspace has room for it.
	entitledSince time.Time
	violated      bool
}

// machine is a worker of the fleet with its resources as the replay counts them.
type machine struct {
	descriptor.Worker
	up, bad bool
	// lost is set from the failure until the core is told.
	lost bool
	free descriptor.Resources
}

// region has one core, as each region has one scheduler.
type region struct {
	name     descriptor.RegionID
	core     *scheduler.Core
	machines []*machine
	jobs     []*job
}

type replay struct {
	trace   Trace
	policy  scheduler.Policy
	now     time.Time
	end     time.Time
	timers  timers
	config  descriptor.Configuration
	out     map[descriptor.FailureDomainID]bool
	regions []*region
	byName  map[descriptor.RegionID]*region
	workers map[descriptor.WorkerID]*machine
	jobs    map[descriptor.JobKey]*job
	all     []*job
	ticking bool
	report  *Report
	meters  meters
}

// Replay replays t on a virtual clock with one scheduler core per region.
func Replay(t Trace, p scheduler.Policy) (*Report, error) {
	windows := windowsOf(t)
	r, err := replayOnce(t, p, windows)
	if err != nil || len(windows) == 0 {
		return r, err
	}
	without, err := replayOnce(withoutFailureDomainFaults(t, windows), p, windows)
	if err != nil {
		return nil, err
	}
	for i := range r.Windows {
		r.Windows[i].WorkWithoutFault = without.Windows[i].Work
	}
	return r, nil
}

func replayOnce(t Trace, p scheduler.Policy, windows []Window) (*Report, error) {
	if t.Header.Format != Format {
		return nil, fmt.Errorf("replay trace %q: %w", t.Header.Name, errors.New("the header has no format of this version"))
	}
	r := newReplay(t, p)
	r.report.Windows = slices.Clone(windows)
	r.schedule(t)
	for r.timers.Len() > 0 && r.now.Before(r.end.Add(drainLimit)) {
		r.step()
	}
	r.finish()
	return r.report, nil
}

func newReplay(t Trace, p scheduler.Policy) *replay {
	start := t.Header.Start
	r := &replay{
		trace: t, policy: p, now: start, end: start.Add(t.Header.Duration.Std()), config: t.Header.Configuration,
		out: make(map[descriptor.FailureDomainID]bool), byName: make(map[descriptor.RegionID]*region),
		workers: make(map[descriptor.WorkerID]*machine), jobs: make(map[descriptor.JobKey]*job),
		report: &Report{Trace: t.Header.Name, Policy: p},
	}
	for _, d := range t.Header.Configuration.FailureDomains {
		r.out[d.Name] = d.Out
	}
	for _, w := range t.Header.Fleet {
		m := &machine{Worker: w, up: true, free: descriptor.Resources{Cores: w.Cores, Memory: w.Memory, Accelerators: w.Accelerators}}
		r.workers[w.ID] = m
		g := r.region(w.Region)
		g.machines = append(g.machines, m)
	}
	r.configure()
	for _, g := range r.regions {
		for _, m := range g.machines {
			g.core.SetWorker(m.Worker, r.now)
		}
	}
	return r
}

func (r *replay) region(name descriptor.RegionID) *region {
	if name == "" && len(r.regions) > 0 {
		return r.regions[0]
	}
	if g := r.byName[name]; g != nil {
		return g
	}
	g := &region{name: name, core: &scheduler.Core{Policy: r.policy, Region: name}}
	r.byName[name] = g
	r.regions = append(r.regions, g)
	return g
}

// schedule sets a timer for each event and each sample.
func (r *replay) schedule(t Trace) {
	for i := range t.Events {
		e := &t.Events[i]
		r.at(r.trace.Header.Start.Add(e.At.Std()), func() { r.apply(e) })
	}
	for at := r.now.Add(sampleInterval); !at.After(r.end); at = at.Add(sampleInterval) {
		r.at(at, r.sample)
	}
}

func (r *replay) after(d time.Duration, f func()) { r.at(r.now.Add(d), f) }

func (r *replay) at(t time.Time, f func()) {
	r.timers.number++
	heap.Push(&r.timers, timer{at: t, number: r.timers.number, run: f})
}

// step runs everything that is due at the next moment, then lets the cores decide.
func (r *replay) step() {
	next := r.timers.items[0].at
	r.meters.advance(r, next)
	r.now = next
	for r.timers.Len() > 0 && r.timers.items[0].at.Equal(next) {
		heap.Pop(&r.timers).(timer).run()
	}
	for _, g := range r.regions {
		r.decide(g)
		r.auditGuarantees(g)
	}
	r.tick()
}

// tick makes the cores decide again while jobs wait, since slack and reservations change with time alone.
func (r *replay) tick() {
	if r.ticking {
		return
	}
	for _, g := range r.regions {
		if len(g.jobs) > 0 {
			r.ticking = true
			r.after(decideInterval, func() { r.ticking = false })
			return
		}
	}
}

func (r *replay) apply(e *Event) {
	switch e.Kind {
	case JobArrives:
		r.arrive(e)
	case JobCancelled:
		r.cancel(r.jobs[*e.Key])
	case WorkerFails:
		r.fail(r.workers[e.Worker])
	case WorkerReturns:
		r.bringBack(r.workers[e.Worker])
	case WorkerTurnsBad:
		r.workers[e.Worker].bad = true
	case WorkerTurnsGood:
		r.workers[e.Worker].bad = false
	case FailureDomainOut:
		r.out[e.FailureDomain] = true
		r.configure()
	case FailureDomainIn:
		r.out[e.FailureDomain] = false
		r.configure()
	case ConfigurationChanges:
		r.config = *e.Configuration
		r.configure()
	}
}

// configure gives each core the configuration with the failure domains as they are now and the guarantees of its region.
func (r *replay) configure() {
	domains := append([]descriptor.FailureDomain(nil), r.trace.Header.Configuration.FailureDomains...)
	for i := range domains {
		domains[i].Out = r.out[domains[i].Name]
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

// guaranteesIn returns the guarantees that the scheduler of a region has to honour.
func guaranteesIn(w descriptor.Workspace, name descriptor.RegionID) []descriptor.Shape {
	var in []descriptor.Shape
	for _, s := range w.Guarantees {
		if s.Region == "" || s.Region == name {
			in = append(in, s)
		}
	}
	return in
}

func (r *replay) arrive(e *Event) {
	j := &job{Job: *e.Job, runTime: e.RunTime.Std(), fails: e.Fails, arrived: r.now, waitingSince: r.now}
	r.jobs[j.Key()] = j
	r.all = append(r.all, j)
	g := r.region(j.Region)
	if err := g.core.Submit(j.Job, r.now, r.now); err != nil {
		if r.fitsEmptyFleet(g, &j.Job) {
			r.report.WrongRefusals++
		}
		r.close(j, jobRefused, err.Error())
		return
	}
	g.jobs = append(g.jobs, j)
}

func (r *replay) cancel(j *job) {
	if j.state.ended() || j.cancelled {
		return
	}
	j.cancelled = true
	if err := r.region(j.Region).core.Cancel(j.Key(), r.now); err != nil {
		r.invalid(j, "cancellation refused: "+err.Error())
	}
	if j.state == jobWaiting {
		r.close(j, jobCancelled, "cancelled")
	}
}

// close ends j for good.
func (r *replay) close(j *job, s jobState, reason string) {
	r.wait(j)
	j.state = s
	j.reason = reason
	j.endedAt = r.now
}

// wait adds the time since the job began to wait.
func (r *replay) wait(j *job) {
	if j.state == jobWaiting {
		j.waited += r.now.Sub(j.waitingSince)
	}
}

// fail stops a worker. Its gangs stop to make progress at once; the core is told when the agent has been silent for long enough.
func (r *replay) fail(m *machine) {
	if !m.up {
		return
	}
	m.up = false
	m.lost = true
	for _, j := range r.region(m.Region).jobs {
		if j.state.occupies() && j.isOn(m.ID) {
			j.lost = true
		}
	}
	r.after(lossDelay, func() {
		if m.lost {
			r.removeWorker(m)
		}
	})
}

// bringBack returns a worker that is empty. The new agent's report tells the core at once that the old tasks are gone.
func (r *replay) bringBack(m *machine) {
	if m.up {
		return
	}
	if m.lost {
		r.removeWorker(m)
	}
	m.up = true
	r.region(m.Region).core.SetWorker(m.Worker, r.now)
}

func (r *replay) removeWorker(m *machine) {
	m.lost = false
	g := r.region(m.Region)
	g.core.RemoveWorker(m.ID, r.now)
	for _, j := range g.jobs {
		if j.state.occupies() && j.isOn(m.ID) {
			r.loseMember(j, m)
		}
	}
}

// loseMember ends an attempt whose members are all gone. Otherwise the core has to stop the rest.
func (r *replay) loseMember(j *job, m *machine) {
	if len(r.survivors(j)) == 0 {
		r.lose(j, &r.report.LostToFailures)
		r.release(j)
		return
	}
	attempt := j.attempt
	r.after(partialGangLimit, func() {
		if j.attempt == attempt && j.lost && j.state == jobRunning {
			r.report.PartialGangs++
			r.stopped(j, attempt, scheduler.EventTaskFailed, m.ID, "a member's worker failed")
		}
	})
}

func (r *replay) survivors(j *job) []scheduler.Assignment {
	var alive []scheduler.Assignment
	for _, a := range j.placement {
		if r.workers[a.Worker].up {
			alive = append(alive, a)
		}
	}
	return alive
}

func (j *job) isOn(id descriptor.WorkerID) bool {
	for _, a := range j.placement {
		if a.Worker == id {
			return true
		}
	}
	return false
}

// finish closes the accounts.
func (r *replay) finish() {
	for _, j := range r.all {
		r.report.count(j)
	}
	r.report.conclude(r)
}

// dropEnded removes ended jobs from the list of a region.
func (g *region) dropEnded() {
	kept := g.jobs[:0]
	for _, j := range g.jobs {
		if !j.state.ended() {
			kept = append(kept, j)
		}
	}
	clear(g.jobs[len(kept):])
	g.jobs = kept
}

// timers is a heap by time, then by order of creation.
type timers struct {
	items  []timer
	number int
}

type timer struct {
	at     time.Time
	number int
	run    func()
}

func (t *timers) Len() int { return len(t.items) }
func (t *timers) Less(i, j int) bool {
	a, b := t.items[i], t.items[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.number < b.number
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

// windowsOf returns the times from each failure domain going out until half an hour after its return.
func windowsOf(t Trace) []Window {
	const after = 30 * time.Minute
	var windows []Window
	open := make(map[descriptor.FailureDomainID]time.Duration)
	for _, e := range t.Events {
		switch e.Kind {
		case FailureDomainOut:
			open[e.FailureDomain] = e.At.Std()
		case FailureDomainIn:
			if from, ok := open[e.FailureDomain]; ok {
				windows = append(windows, Window{FailureDomain: e.FailureDomain, From: from, Returned: e.At.Std(), To: e.At.Std() + after})
				delete(open, e.FailureDomain)
			}
		}
	}
	sort.Slice(windows, func(i, j int) bool { return windows[i].From < windows[j].From })
	return windows
}

// withoutFailureDomainFaults leaves out the windows' failure domain events and the failures of workers there.
func withoutFailureDomainFaults(t Trace, windows []Window) Trace {
	domains := make(map[descriptor.WorkerID]descriptor.FailureDomainID)
	for _, w := range t.Header.Fleet {
		domains[w.ID] = w.FailureDomain
	}
	kept := Trace{Header: t.Header}
	for _, e := range t.Events {
		if !partOfWindow(e, domains, windows) {
			kept.Events = append(kept.Events, e)
		}
	}
	return kept
}

func partOfWindow(e Event, domains map[descriptor.WorkerID]descriptor.FailureDomainID, windows []Window) bool {
	domain := e.FailureDomain
	switch e.Kind {
	case FailureDomainOut, FailureDomainIn:
	case WorkerFails, WorkerReturns:
		domain = domains[e.Worker]
	default:
		return false
	}
	for _, w := range windows {
		if w.FailureDomain == domain && e.At.Std() >= w.From && e.At.Std() <= w.Returned {
			return true
		}
	}
	return false
}
