package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// restoredAfter tells jobs that were accepted earlier, and are only loaded again, from new ones.
	restoredAfter = 10 * second
	// fleetMemory is how long a lost worker still counts as part of the fleet; after it the fleet has changed for good.
	fleetMemory = 24 * hour
	// unfitGrace is how long a job that no longer fits the fleet waits before it is ended.
	unfitGrace = hour
	sweepEvery = minute
	// refusedDelay is the first delay after a refused start; it doubles up to refusedDelayMax.
	refusedDelay    = second / 4
	refusedDelayMax = 10 * second
	// searchLimit bounds failed searches for victims in one Decide; less urgent jobs are searched for in the next one.
	searchLimit = 16
)

// Core decides which job starts, where, and what is reclaimed for it.
type Core struct {
	// Policy must be set before the first call and stays the same.
	Policy Policy
	// Region limits the core to the workers and guarantees of one region; empty means all.
	Region descriptor.RegionID
	// QueueLimit bounds the waiting jobs; 0 means 20,000.
	QueueLimit int

	now   int64
	view  view
	fleet []descriptor.RackSize
	// fleetVersion grows when the workers that are known, up or not, change.
	fleetVersion int
	classes      map[descriptor.ClassID]*descriptor.Class
	workspaces   map[descriptor.WorkspaceID]*workspace
	// cells are those of all workspaces, in the order of workspace names.
	cells []*cell
	// planDirty is set when capacity changed in a way that may violate the plan or make more of it possible.
	planDirty bool
	// planMostAt is when planning everything anew may be tried again for impossible guarantees.
	planMostAt int64
	journal    []change
	replans    int

	jobs   map[descriptor.JobKey]*job
	shapes map[resourceShape]*shape
	// queue is sorted by job.compare and may hold entries that are not valid any more.
	queue   []entry
	waiting int
	// fresh jobs were not considered since they were queued; delayed ones wait for their notBefore.
	fresh   []*job
	delayed []*job
	// unserved are new jobs that could not start and have no reservation yet.
	unserved  []*job
	orderedBy int
	reorderAt int64
	passing   bool
	ended     []descriptor.JobKey

	// generation grows whenever capacity or a guarantee becomes free. Failed searches are valid for one generation.
	generation int
	freed      bool
	// failed holds guaranteed placements that found no place in the generation failedOf.
	failed    signatures
	failedOf  int
	searches  int
	reserving int

	claims       []*attempt
	stopping     []*attempt
	strays       map[strayKey]*attempt
	reservations []*reservation
	blocked      []*worker
	quarantined  []*worker
	healths      map[descriptor.WorkerID]health
	history      history
	waits        waits
	sweepAt      int64
	mark         int
	pending      []pending
}

// pending is a decision for the next Decide. A request to stop is void when attempt has ended before.
type pending struct {
	decision Decision
	attempt  *attempt
}

type strayKey struct {
	key    descriptor.JobKey
	number descriptor.Attempt
}

func (c *Core) begin(now time.Time) {
	c.now = max(c.now, nanos(now))
	if c.jobs != nil {
		return
	}
	c.jobs = make(map[descriptor.JobKey]*job)
	c.shapes = make(map[resourceShape]*shape)
	c.failed = make(signatures)
	c.strays = make(map[strayKey]*attempt)
	c.healths = make(map[descriptor.WorkerID]health)
	c.view.workers = make(map[descriptor.WorkerID]*worker)
	c.generation = 1
}

// capacityFreed makes the next Decide look at all waiting jobs.
func (c *Core) capacityFreed() {
	c.generation++
	c.freed = true
}

func (c *Core) emit(d Decision) { c.pending = append(c.pending, pending{decision: d}) }

// emitStop asks to stop what is left of a.
func (c *Core) emitStop(a *attempt, reason string, grace int64) {
	kind := DecisionReclaim
	if a.contradicts || a.job.state == StateEnded {
		kind = DecisionStop
	}
	d := Decision{Kind: kind, Key: a.job.Key(), Attempt: a.number, Reason: reason, Grace: duration(grace)}
	c.pending = append(c.pending, pending{d, a})
	a.job.note(c.now, a.number, kindNames[kind], reason)
}

// flush returns the pending decisions that are still valid.
func (c *Core) flush() []Decision {
	var out []Decision
	for _, p := range c.pending {
		d := p.decision
		if p.attempt != nil {
			if !p.attempt.attached() {
				continue
			}
			d.Placement = p.attempt.placement()
		}
		out = append(out, d)
	}
	c.pending = nil
	return out
}

// Configure replaces the configuration.
func (c *Core) Configure(cfg *descriptor.Configuration, now time.Time) {
	c.begin(now)
	c.classes = make(map[descriptor.ClassID]*descriptor.Class, len(cfg.Classes))
	for _, k := range cfg.Classes {
		c.classes[k.Name] = &k
	}
	c.fleet = c.localFleet(cfg)
	c.fleetVersion++
	c.configureWorkspaces(cfg)
	c.configureOuts(cfg)
	c.history.prune(c.workspaces)
	c.orderedBy, c.reorderAt = -1, 0
	c.planDirty = true
	c.planMostAt = 0
	c.capacityFreed()
}

// configureWorkspaces keeps the cells of workspaces whose guarantees did not change.
func (c *Core) configureWorkspaces(cfg *descriptor.Configuration) {
	old := c.workspaces
	c.workspaces = make(map[descriptor.WorkspaceID]*workspace, len(cfg.Workspaces))
	shapes := c.localShapes(cfg)
	var changed []*workspace
	for i, s := range cfg.Workspaces {
		ws := old[s.Name]
		delete(old, s.Name)
		if ws == nil || !slices.Equal(ws.shapes, shapes[i]) {
			c.dissolve(ws)
			ws = newWorkspace(s.Name, shapes[i])
			changed = append(changed, ws)
		}
		c.workspaces[s.Name] = ws
	}
	names := make([]descriptor.WorkspaceID, 0, len(old))
	for name := range old {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c.dissolve(old[name])
	}
	c.collectCells()
	c.recharge(changed)
}

func newWorkspace(name descriptor.WorkspaceID, shapes []descriptor.Shape) *workspace {
	ws := &workspace{name: name, shapes: shapes, claimedBy: make(map[descriptor.ClassID]int)}
	for i, s := range shapes {
		for range s.Copies() {
			ws.cells = append(ws.cells, &cell{workspace: ws, shape: i, level: s.Adjacency, region: s.Region, size: int(s.Accelerators)})
			ws.total += int(s.Accelerators)
		}
	}
	slices.SortStableFunc(ws.cells, func(a, b *cell) int { return cmp.Or(int(b.level-a.level), a.size-b.size) })
	return ws
}

// dissolve removes the guarantee of ws. Its running work becomes borrowed, unless it runs at most once.
func (c *Core) dissolve(ws *workspace) {
	if ws == nil {
		return
	}
	for _, a := range c.attemptsOf(ws.name) {
		c.discharge(a)
		if !a.job.NonIdempotent {
			c.soften(a)
		}
	}
	for _, l := range ws.cells {
		c.unplan(l)
		l.unbind()
	}
}

// attemptsOf returns the attempts and claims of a workspace in the order of job ids.
func (c *Core) attemptsOf(name descriptor.WorkspaceID) []*attempt {
	var out []*attempt
	for key, j := range c.jobs {
		if key.Workspace == name && j.current != nil {
			out = append(out, j.current)
		}
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.job.ID, b.job.ID) })
	return out
}

func (c *Core) collectCells() {
	list := make([]*workspace, 0, len(c.workspaces))
	for _, ws := range c.workspaces {
		list = append(list, ws)
	}
	slices.SortFunc(list, func(a, b *workspace) int { return cmp.Compare(a.name, b.name) })
	c.cells = c.cells[:0]
	for _, ws := range list {
		c.cells = append(c.cells, ws.cells...)
	}
}

// recharge puts running work of workspaces with changed guarantees on the new ones where it fits.
func (c *Core) recharge(changed []*workspace) {
	c.planDirty = true
	for _, ws := range changed {
		for _, a := range c.attemptsOf(ws.name) {
			if a.leaving || a.job.state == StateEnded {
				continue
			}
			wasFirm := a.firm
			c.soften(a)
			if !c.charge(a) && wasFirm {
				c.harden(a)
			}
		}
	}
}

// configureOuts applies which failure domains are out.
func (c *Core) configureOuts(cfg *descriptor.Configuration) {
	c.view.outs = make(map[string]bool)
	for _, d := range cfg.FailureDomains {
		if d.Out {
			c.view.outs[string(d.Name)] = true
		}
	}
	c.view.eachWorker(func(w *worker) bool {
		c.refresh(w)
		if c.view.isOut(w) {
			c.drain(w)
		}
		return true
	})
}

// drain moves work off a worker whose failure domain is out. Running work that runs at most once
// finishes where it is, because it may not start again elsewhere.
func (c *Core) drain(w *worker) {
	reason := "failure domain " + string(w.FailureDomain) + " is out"
	for _, r := range slices.Clone(w.reservations) {
		c.dropReservation(r)
	}
	for _, a := range slices.Clone(c.claims) {
		if a.on(w) != (vector{}) {
			c.dropClaim(a, reason)
		}
	}
	for _, a := range slices.Clone(w.attempts) {
		switch {
		case a.leaving:
		case a.job.NonIdempotent:
			// It runs to its end where it is. One that has not started is refused by its agent and queued again.
			c.discharge(a)
		default:
			c.leave(a, reclaimGrace, reason)
		}
	}
}

// Adopt takes over an attempt found in reports. An attempt that contradicts the view is stopped.
func (c *Core) Adopt(a Attempt, now time.Time) {
	c.begin(now)
	key := a.Job.Key()
	j := c.jobs[key]
	if c.strays[strayKey{key, a.Number}] != nil {
		return
	}
	if j != nil && j.current != nil && j.current.number == a.Number && !j.current.claim {
		c.adoptKnown(j.current, a)
		return
	}
	reason := c.contradiction(j, a)
	if j == nil && reason == "" {
		j = c.newJob(a.Job, nanos(a.Accepted))
		c.jobs[key] = j
	}
	n := c.adopted(j, a)
	n.contradicts = reason != ""
	if n.contradicts && (j == nil || j.state != StateWaiting || j.current != nil || !n.attached()) {
		c.stopStray(n, reason)
		return
	}
	if j.current != nil {
		c.dropClaim(j.current, "another attempt was found")
	}
	c.dequeue(j)
	c.takeOver(j, n)
	if n.contradicts && !n.leaving {
		// The job waits for the end of this attempt, so that no two attempts run at the same time.
		c.leave(n, 0, reason)
	}
}

func (c *Core) adoptKnown(n *attempt, a Attempt) {
	if a.Running && !n.running {
		c.started(n, nanos(a.StartedAt))
	}
}

// contradiction says why a cannot be taken over, or returns "".
func (c *Core) contradiction(j *job, a Attempt) string {
	if j != nil {
		switch {
		case j.state == StateEnded:
			return "the job has ended"
		case j.current != nil && !j.current.claim:
			return fmt.Sprintf("attempt %d is the current one", j.current.number)
		case a.Number < j.number:
			return fmt.Sprintf("attempt %d is newer", j.number)
		}
	}
	seen := make(map[int]bool)
	need := vectorOf(a.Job.PerTask)
	for i, p := range a.Placement {
		w := c.view.workers[p.Worker]
		if w == nil || !w.up {
			return "worker " + string(p.Worker) + " is not up"
		}
		if slices.ContainsFunc(a.Placement[:i], func(o Assignment) bool { return o.Worker == p.Worker }) {
			return "a worker is named twice"
		}
		if w.capacity.minus(w.used).minus(need.times(len(p.Tasks))).negative() {
			return "the resources of " + string(p.Worker) + " are in use"
		}
		for _, t := range p.Tasks {
			if t < 0 || t >= a.Job.Tasks || seen[t] {
				return "the gang has wrong members"
			}
			seen[t] = true
		}
	}
	if len(seen) != max(1, a.Job.Tasks) {
		return fmt.Sprintf("%d of %d members were found", len(seen), a.Job.Tasks)
	}
	return ""
}

// adopted builds the attempt of a on the workers that are known.
func (c *Core) adopted(j *job, a Attempt) *attempt {
	if j == nil {
		j = &job{Job: a.Job, accepted: nanos(a.Accepted), need: vectorOf(a.Job.PerTask)}
	}
	n := &attempt{job: j, number: a.Number, given: a.Placement, running: a.Running, startedAt: nanos(a.StartedAt)}
	for _, p := range a.Placement {
		w := c.view.workers[p.Worker]
		if w == nil || !w.up || slices.ContainsFunc(n.spans, func(s span) bool { return s.worker == w }) {
			continue
		}
		n.spans = append(n.spans, span{worker: w, count: len(p.Tasks)})
	}
	return n
}

func (c *Core) stopStray(n *attempt, reason string) {
	n.stray = true
	if j := c.jobs[n.job.Key()]; j != nil {
		j.number = max(j.number, n.number)
	}
	c.strays[strayKey{n.job.Key(), n.number}] = n
	c.attach(n)
	state := n.job.state
	c.leave(n, 0, reason)
	n.job.state = state
	if !n.attached() {
		delete(c.strays, strayKey{n.job.Key(), n.number})
	}
}

func (c *Core) takeOver(j *job, n *attempt) {
	j.current, j.number = n, n.number
	n.length = c.remaining(j)
	c.attach(n)
	j.state = StateHeld
	if n.running {
		j.state = StateRunning
	}
	j.note(c.now, n.number, "Adopted", "found in reports")
	if n.contradicts {
		return
	}
	if c.Policy == PolicyGuaranteed && !c.charge(n) && j.NonIdempotent && !c.pin(n) {
		// Work that runs at most once is never reclaimed, even if a guarantee becomes impossible by it.
		c.harden(n)
	}
	for _, s := range n.spans {
		if c.view.isOut(s.worker) {
			c.drain(s.worker)
		}
	}
}

// Observe says what became of an attempt. Events of unknown attempts are ignored.
func (c *Core) Observe(e Event, now time.Time) {
	c.begin(now)
	if a := c.strays[strayKey{e.Key, e.Attempt}]; a != nil {
		if e.Kind != EventStarted {
			c.release(a)
			delete(c.strays, strayKey{e.Key, e.Attempt})
		}
		return
	}
	j := c.jobs[e.Key]
	if j == nil || j.current == nil || j.current.claim || j.current.number != e.Attempt {
		return
	}
	a := j.current
	switch e.Kind {
	case EventStarted:
		c.started(a, c.now)
	case EventFinished:
		c.finished(a)
	case EventTaskFailed:
		c.taskFailed(a, e)
	case EventNotStarted:
		c.notStarted(a, e)
	case EventStopped:
		c.stopped(a, cmp.Or(e.Cause, "stopped"), true)
	}
}

func (c *Core) started(a *attempt, at int64) {
	if a.running {
		return
	}
	a.running, a.startedAt = true, at
	if a.job.state == StateHeld {
		a.job.state = StateRunning
	}
	a.job.refusals = 0
	a.job.note(c.now, a.number, "Started", "")
}

func (c *Core) finished(a *attempt) {
	j := a.job
	for _, s := range a.spans {
		c.succeeded(s.worker, a)
	}
	if a.running {
		c.history.add(pair{j.Workspace, j.Class}, int64(j.DeclaredRunTime), j.ranFor+c.now-a.startedAt)
	}
	c.release(a)
	j.current = nil
	if j.state != StateEnded {
		c.finish(j, "Finished", "")
	}
}

func (c *Core) notStarted(a *attempt, e Event) {
	j := a.job
	c.endProbe(a)
	c.release(a)
	j.current = nil
	if j.state == StateEnded {
		return
	}
	if w := c.view.workers[e.Worker]; w != nil {
		w.blockedUntil = c.now + second
		c.blocked = append(c.blocked, w)
	}
	j.notBefore = c.now + min(refusedDelay<<min(j.refusals, 10), refusedDelayMax)
	j.refusals++
	j.note(c.now, a.number, "NotStarted", e.Cause)
	c.enqueue(j)
}

// stopped ends an attempt whose members are all gone. known says that the tasks were stopped on request,
// rather than lost with their worker.
func (c *Core) stopped(a *attempt, reason string, known bool) {
	j := a.job
	c.endProbe(a)
	if known && a.running && a.checkpointed {
		j.ranFor += c.now - a.startedAt
	}
	c.release(a)
	if a.stray {
		delete(c.strays, strayKey{j.Key(), a.number})
		return
	}
	j.current = nil
	switch {
	case j.state == StateEnded:
	case j.NonIdempotent:
		c.end(j, "may have run and runs at most once: "+reason)
	default:
		j.note(c.now, a.number, "Stopped", reason)
		c.enqueue(j)
	}
}

// dropClaim gives up a start for which victims were still stopping.
func (c *Core) dropClaim(a *attempt, reason string) {
	j := a.job
	c.claims = without(c.claims, a)
	c.discharge(a)
	c.soften(a)
	for _, s := range a.spans {
		s.worker.claimed = s.worker.claimed.minus(j.need.times(s.count))
		c.refresh(s.worker)
	}
	j.current = nil
	c.capacityFreed()
	if j.state != StateEnded {
		j.note(c.now, 0, "Queued", reason)
		c.enqueue(j)
	}
}

// Decide returns the next steps. Each is returned once, but for requests to stop that stay unanswered.
func (c *Core) Decide(now time.Time) []Decision {
	c.begin(now)
	c.replans, c.searches = 0, 0
	c.tick()
	c.ensurePlan()
	c.startClaims()
	if c.Policy == PolicyBaseline {
		c.passInOrder()
	} else {
		c.overruns()
		c.pass()
	}
	c.ensurePlan()
	c.markSince()
	return c.flush()
}

// tick applies what changes with time alone.
func (c *Core) tick() {
	c.repeatStops()
	c.checkQuarantine()
	c.blocked = slices.DeleteFunc(c.blocked, func(w *worker) bool {
		if w.blockedUntil > c.now {
			return false
		}
		c.capacityFreed()
		return true
	})
	c.delayed = slices.DeleteFunc(c.delayed, func(j *job) bool {
		if j.waiting && j.notBefore > c.now {
			return false
		}
		c.fresh = append(c.fresh, j)
		return true
	})
	c.reorder()
	if c.now >= c.sweepAt {
		c.sweepAt = c.now + sweepEvery
		c.sweep()
	}
}

// startClaims starts the attempts whose victims have stopped.
func (c *Core) startClaims() {
	for _, a := range slices.Clone(c.claims) {
		if !ready(a) {
			continue
		}
		c.claims = without(c.claims, a)
		a.claim = false
		for _, s := range a.spans {
			s.worker.claimed = s.worker.claimed.minus(a.job.need.times(s.count))
		}
		c.start(a, "on the guarantee of "+string(a.job.Workspace)+", after reclaim")
	}
}

// ready reports whether the resources of a claim are physically free.
func ready(a *attempt) bool {
	for _, s := range a.spans {
		if s.worker.capacity.minus(s.worker.used).minus(a.job.need.times(s.count)).negative() {
			return false
		}
	}
	return true
}

// start gives a its number and its resources and asks for the gang protocol.
func (c *Core) start(a *attempt, reason string) {
	j := a.job
	c.dequeue(j)
	j.number++
	a.number = j.number
	a.length = c.remaining(j)
	j.current, j.state = a, StateHeld
	c.attach(a)
	for _, s := range a.spans {
		if s.worker.health.probing {
			s.worker.health.probe = a
		}
	}
	c.waits.add(j, c.now)
	j.note(c.now, a.number, "Start", reason)
	c.emit(Decision{Kind: DecisionStart, Key: j.Key(), Attempt: a.number, Placement: a.placement(), Reason: reason})
}

// passInOrder is the strict queue of PolicyBaseline: nothing overtakes the first job.
func (c *Core) passInOrder() {
	c.fresh = c.fresh[:0]
	c.passing = true
	for _, e := range c.queue {
		if !e.valid() {
			continue
		}
		j := e.job
		if j.notBefore > c.now {
			break
		}
		spans := c.firstFit(j)
		if spans == nil {
			break
		}
		c.start(&attempt{job: j, spans: spans}, "first fit in order of arrival")
	}
	c.passing = false
	c.compact()
}

// pass considers waiting jobs in order: all when something became free, else only fresh ones.
func (c *Core) pass() {
	if !c.freed {
		c.passFresh()
		return
	}
	c.freed = false
	c.fresh, c.unserved = c.fresh[:0], nil
	if c.failedOf != c.generation {
		c.failed, c.failedOf = make(signatures), c.generation
	}
	c.passing = true
	for _, e := range c.queue {
		if e.valid() {
			c.consider(e.job)
		}
	}
	c.passing = false
	c.compact()
}

func (c *Core) passFresh() {
	if len(c.fresh) == 0 {
		c.reserveBlocked()
		return
	}
	list := c.fresh
	c.fresh = nil
	slices.SortFunc(list, func(a, b *job) int { return a.compare(b) })
	for _, j := range list {
		if j.waiting {
			c.consider(j)
		}
	}
	clear(list)
	c.fresh = list[:0]
}

// consider starts j or notes that it is blocked.
func (c *Core) consider(j *job) {
	if j.notBefore > c.now || c.tryStart(j) {
		return
	}
	if c.covers(j) {
		c.lock(j)
	}
	switch {
	case j.reserved != nil || !c.mayReserve(j):
	case c.passing:
		c.reserve(j)
	default:
		c.unserved = append(c.unserved, j)
	}
}

// reserveBlocked makes reservations for new jobs that could not start. It runs in a Decide without
// new jobs, because an urgent start must not wait for it.
func (c *Core) reserveBlocked() {
	list := c.unserved
	c.unserved = nil
	slices.SortFunc(list, func(a, b *job) int { return a.compare(b) })
	for _, j := range list {
		if j.waiting && j.reserved == nil && j.notBefore <= c.now && c.mayReserve(j) {
			c.reserve(j)
		}
	}
}

// lock keeps the guarantee of the workspace for j against less urgent jobs.
func (c *Core) lock(j *job) {
	if ws := c.workspaces[j.Workspace]; ws.lock == nil || j.before(ws.lock) {
		ws.lock = j
	}
}

// tryStart starts j on its guarantee if that needs no reclaim, else on borrowed capacity, else by reclaim.
func (c *Core) tryStart(j *job) bool {
	sig := signature{j.Workspace, j.Class, j.shape}
	claimable := c.failed[sig] != c.generation && c.claimable(j)
	entitled := claimable && c.entitled(j)
	if entitled && c.startGuaranteed(j) {
		return true
	}
	if j.NonIdempotent {
		if c.startPinned(j) {
			return true
		}
	} else if c.startBorrowed(j) {
		return true
	}
	if !claimable {
		return false
	}
	if c.searches >= searchLimit {
		c.freed = true
		return false
	}
	if entitled && (c.startByReclaim(j, true) || c.regroup(j) && c.startByReclaim(j, true)) || c.displace(j) {
		return true
	}
	c.searches++
	if len(j.failures) == 0 {
		c.failed[sig] = c.generation
	}
	return false
}

// startGuaranteed looks for free resources, first in the cells of the workspace that are broken already.
func (c *Core) startGuaranteed(j *job) bool {
	reason := "on the guarantee of " + string(j.Workspace)
	if c.hopeless(j, forever) {
		return false
	}
	for _, l := range c.workspaces[j.Workspace].cells {
		if l.used == 0 || !l.planned || l.residual() < j.accelerators() {
			continue
		}
		if spans := c.find(c.free(j, forever), []*node{l.node}); spans != nil && c.startFirm(j, spans, c.charge, reason) {
			return true
		}
	}
	spans := c.findFree(j, forever)
	return spans != nil && c.startFirm(j, spans, c.charge, reason)
}

func (c *Core) startFirm(j *job, spans []span, firm func(*attempt) bool, reason string) bool {
	a := &attempt{job: j, spans: spans}
	if !firm(a) {
		return false
	}
	c.start(a, reason)
	return true
}

// startPinned places work that runs at most once where it never needs to be reclaimed.
func (c *Core) startPinned(j *job) bool {
	spans := c.findFree(j, forever)
	return spans != nil && c.startFirm(j, spans, c.pin, "on capacity that no guarantee needs")
}

func (c *Core) startBorrowed(j *job) bool {
	end := c.now + c.remaining(j)
	spans := c.findFree(j, end)
	if spans == nil {
		return false
	}
	a := &attempt{job: j, spans: spans}
	reason := "on borrowed capacity"
	for _, s := range spans {
		for _, r := range s.worker.reservations {
			if r.job != j && r.start >= end {
				a.backfillUntil = r.start
				reason = "on borrowed capacity, before the reservation of " + r.job.Key().String()
			}
		}
	}
	c.start(a, reason)
	return true
}

// hopeless reports whether the same search has failed since anything became free.
func (c *Core) hopeless(j *job, end int64) bool {
	s := j.shape
	return len(j.failures) == 0 && j.reserved == nil && s.failedAt == c.generation && end >= s.failedEnd
}

// findFree finds free resources and remembers failures for jobs of equal shape.
func (c *Core) findFree(j *job, end int64) []span {
	if c.hopeless(j, end) {
		return nil
	}
	spans := c.find(c.free(j, end), c.view.domains)
	if spans != nil || len(j.failures) > 0 || j.reserved != nil {
		return spans
	}
	s := j.shape
	if s.failedAt != c.generation {
		s.failedAt, s.failedEnd = c.generation, end
	}
	s.failedEnd = min(s.failedEnd, end)
	if len(c.reservations) == 0 {
		s.failedEnd = 0
	}
	return nil
}
