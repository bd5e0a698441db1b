package scheduler

import (
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
	unexpected   map[unexpectedKey]*attempt
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

type unexpectedKey struct {
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
	c.unexpected = make(map[unexpectedKey]*attempt)
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
