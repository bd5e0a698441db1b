package planner

import (
	"slices"
	"time"

	"persimmontrail/internal/assessor"
	"persimmontrail/pkg/descriptor"
)

// healthID returns the name by which the assessor knows the worker. It stays the same over incarnations.
func (w *worker) healthID() assessor.WorkerID { return assessor.WorkerID(w.node) }

// handleHealthChange logs a change of a worker's health.
func (c *Core) handleHealthChange(change assessor.Change) {
	details := []any{"node", change.Worker, "from", change.From, "to", change.To, "score", change.Score, "reason", change.Reason}
	if change.To == assessor.Avoided {
		details = append(details, "for", change.For)
	}
	c.logEvent("worker health changed", "", details...)
	if c.HealthChanged != nil {
		c.HealthChanged(change)
	}
}

// noteSilence counts a gap between two reports of a worker against it, if most of the other workers have reported in the
// meantime. It must be called before lastReportAt is updated.
func (c *Core) noteSilence(w *worker, now time.Time) {
	c.health.Seen(w.healthID(), now)
	if !w.statusKnown || now.Sub(w.lastReportAt) < maxReportAge {
		return
	}
	reporting := 0
	for _, o := range c.workers {
		if now.Sub(o.lastReportAt) < maxReportAge {
			reporting++
		}
	}
	if 2*reporting > len(c.workers) {
		c.health.Note(w.healthID(), assessor.Silent, now)
	}
}

// noteProven records that an attempt has worked for provingTime, which says that its workload can run on its worker.
func (c *Core) noteProven(r *attempt, now time.Time) {
	if r.proven || r.job == nil || now.Sub(r.started) < provingTime || r.percent == 0 && !r.job.step(r.id.Task.Step).Service {
		return
	}
	r.proven = true
	c.health.Ran(r.worker.healthID(), assessor.JobID(r.job.id()), r.started, now)
}

// failureKey returns the key of a task in failedOn. A gang fails as a whole, so its members share one.
func (j *job) failureKey(id descriptor.TaskID) descriptor.TaskID {
	if j.step(id.Step).Gang {
		id.Index = 0
	}
	return id
}

// noteFailure records that a task has failed on a worker.
func (j *job) noteFailure(id descriptor.TaskID, w descriptor.WorkerID) {
	key := j.failureKey(id)
	if slices.Contains(j.failedOn[key], w) {
		return
	}
	if j.failedOn == nil {
		j.failedOn = map[descriptor.TaskID][]descriptor.WorkerID{}
	}
	j.failedOn[key] = append(j.failedOn[key], w)
}

// assessHealth sets the health of a usable worker for the pass. A worker on probation is on trial while one of its attempts
// is younger than provingTime.
func (p *pass) assessHealth(w *worker) {
	c := p.core
	id := w.healthID()
	p.health[w] = c.health.State(id, p.now)
	switch p.health[w] {
	case assessor.Avoided:
		w.quarantinedUntil = c.health.AvoidedUntil(id, p.now)
		c.planBy(w.quarantinedUntil)
	case assessor.Probation:
		for _, r := range w.attempts {
			switch {
			case r.stopping:
			case !r.confirmed:
				p.onTrial[w] = true
			case p.now.Sub(r.started) < provingTime:
				p.onTrial[w] = true
				c.planBy(r.started.Add(provingTime))
			}
		}
	}
}

// mayCrowdTrials reports whether a group may use the whole room of workers on probation: after suspectWait, guaranteed work
// and tasks that last, since they must begin soon, and all work while most of the service is free.
func (p *pass) mayCrowdTrials(g group) bool {
	if p.now.Sub(g.job.waitingSince) <= suspectWait {
		return false
	}
	return g.level == levelGuaranteed || g.job.step(g.step).Service || !p.serviceBusy(g.job.record.Workload.Service)
}

// trialRoom returns the part of a worker's room that a task of size need may use. On a worker on probation, that is the
// room for one task, and none while the worker is on trial.
func (p *pass) trialRoom(g group, w *worker, room, need descriptor.Capacity) descriptor.Capacity {
	if p.health[w] != assessor.Probation || p.mayCrowdTrials(g) {
		return room
	}
	if p.onTrial[w] || !room.Fits(need) {
		return descriptor.Capacity{}
	}
	return need
}

// withoutTrials returns the workers of a pool whose room counts as a whole when room is searched for.
func (p *pass) withoutTrials(g group, pool []*worker) []*worker {
	onProbation := func(w *worker) bool { return p.health[w] == assessor.Probation }
	if !slices.ContainsFunc(pool, onProbation) || p.mayCrowdTrials(g) {
		return pool
	}
	return slices.DeleteFunc(slices.Clone(pool), onProbation)
}

// worstHealth returns the worst health of the workers of a placement.
func (p *pass) worstHealth(ws placement) assessor.State {
	worst := assessor.Sound
	for _, w := range ws {
		worst = max(worst, p.health[w])
	}
	return worst
}

// sound returns the sound workers of a pool, and false if all of them are.
func (p *pass) sound(pool []*worker) ([]*worker, bool) {
	unsound := func(w *worker) bool { return p.health[w] != assessor.Sound }
	if !slices.ContainsFunc(pool, unsound) {
		return pool, false
	}
	return slices.DeleteFunc(slices.Clone(pool), unsound), true
}

// serviceBusy reports whether at least busyShare of some kind of a service's capacity is in use.
func (p *pass) serviceBusy(service descriptor.ServiceID) bool {
	busy, known := p.busyServices[service]
	if known {
		return busy
	}
	var total, free descriptor.Capacity
	for _, w := range p.core.workers {
		if w.statusKnown && w.status.Service == service {
			total = total.Plus(w.status.Capacity)
			free = free.Plus(w.free())
		}
	}
	busy = mostlyUsed(total, free)
	p.busyServices[service] = busy
	return busy
}

// mayReturn reports whether tasks of the group may use workers that they should avoid, since the others are too few for
// n tasks, or since work must not wait for long while most of the room is free.
func (p *pass) mayReturn(g group, others []*worker, n int) bool {
	step := g.job.step(g.step)
	if p.now.Sub(g.job.waitingSince) <= suspectWait {
		p.core.planBy(g.job.waitingSince.Add(suspectWait))
		return false
	}
	return step.Service || !p.serviceBusy(g.job.record.Workload.Service) || p.tasksBesideServices(others, step) < n
}

// tasksBesideServices returns the number of tasks of a step that fit into a pool when nothing but tasks that last runs
// there.
func (p *pass) tasksBesideServices(pool []*worker, step *descriptor.Step) int {
	sum := 0
	for _, w := range pool {
		free := w.status.Capacity
		for _, r := range w.attempts {
			if r.job != nil && r.job.step(r.id.Task.Step).Service {
				free = free.Minus(r.need)
			}
		}
		sum += free.CountFitting(step.Need(), perWorkerLimit(step))
	}
	return sum
}

// failedWorkers returns the workers on which a task has failed.
func (g *group) failedWorkers(index int) []descriptor.WorkerID {
	id := descriptor.TaskID{Job: g.job.id(), Occurrence: g.occurrence, Step: g.step, Index: index}
	return g.job.failedOn[g.job.failureKey(id)]
}

// withoutFailed returns the workers of a pool on which a task has not failed, or the whole pool if it may return.
func (p *pass) withoutFailed(g group, index int, pool []*worker) []*worker {
	failed := g.failedWorkers(index)
	if len(failed) == 0 {
		return pool
	}
	hasFailed := func(w *worker) bool { return slices.Contains(failed, w.incarnation.Worker) }
	if !slices.ContainsFunc(pool, hasFailed) {
		return pool
	}
	others := slices.DeleteFunc(slices.Clone(pool), hasFailed)
	n := 1
	if g.job.step(g.step).Gang {
		n = len(g.indexes)
	}
	if p.mayReturn(g, others, n) {
		return slices.Concat(others, slices.DeleteFunc(slices.Clone(pool), func(w *worker) bool { return !hasFailed(w) }))
	}
	return others
}
