package scheduler

import (
	"fmt"
	"sort"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Core decides which job starts, where, and what is reclaimed for it.
type Core struct {
	// Policy must be set before the first call and stays the same.
	Policy Policy

	workers map[descriptor.WorkerID]*worker
	order   []*worker
	jobs    map[descriptor.JobKey]*job
	queue   []*job
	pending []Decision
}

type worker struct {
	descriptor.Worker
	free descriptor.Resources
}

type job struct {
	descriptor.Job
	accepted  time.Time
	attempt   descriptor.Attempt
	state     JobState
	placement []Assignment
}

// Configure replaces the configuration.
func (c *Core) Configure(cfg *descriptor.Configuration, now time.Time) {}

// SetWorker says that a worker is up or has changed.
func (c *Core) SetWorker(w descriptor.Worker, now time.Time) {
	if c.workers == nil {
		c.workers = make(map[descriptor.WorkerID]*worker)
	}
	if c.workers[w.ID] != nil {
		return
	}
	v := &worker{Worker: w, free: descriptor.Resources{Cores: w.Cores, Memory: w.Memory, Accelerators: w.Accelerators}}
	c.workers[w.ID] = v
	c.order = append(c.order, v)
	sort.Slice(c.order, func(i, j int) bool { return c.order[i].ID < c.order[j].ID })
}

// RemoveWorker says that a worker and its tasks are gone.
func (c *Core) RemoveWorker(id descriptor.WorkerID, now time.Time) {
	delete(c.workers, id)
	for i, w := range c.order {
		if w.ID == id {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

// Submit adds a job to the queue. Repeating a known job is no error.
func (c *Core) Submit(j descriptor.Job, accepted, now time.Time) error {
	if c.jobs == nil {
		c.jobs = make(map[descriptor.JobKey]*job)
	}
	if c.jobs[j.Key()] != nil {
		return nil
	}
	v := &job{Job: j, accepted: accepted, state: StateWaiting}
	c.jobs[j.Key()] = v
	c.queue = append(c.queue, v)
	return nil
}

// Cancel ends a job. Repeating it is no error.
func (c *Core) Cancel(key descriptor.JobKey, now time.Time) error {
	j := c.jobs[key]
	if j == nil {
		return fmt.Errorf("%w: %v", ErrUnknownJob, key)
	}
	if j.state == StateHeld || j.state == StateRunning {
		c.pending = append(c.pending, Decision{Kind: DecisionStop, Key: key, Attempt: j.attempt, Placement: j.placement, Reason: "cancelled"})
	}
	j.state = StateEnded
	return nil
}

// Adopt takes over an attempt found in reports.
func (c *Core) Adopt(a Attempt, now time.Time) {}

// Observe says what became of an attempt.
func (c *Core) Observe(e Event, now time.Time) {
	j := c.jobs[e.Key]
	if j == nil || j.attempt != e.Attempt {
		return
	}
	if e.Kind == EventStarted {
		j.state = StateRunning
		return
	}
	for _, a := range j.placement {
		if w := c.workers[a.Worker]; w != nil {
			w.take(j.PerTask, -len(a.Tasks))
		}
	}
	j.placement = nil
	if e.Kind == EventFinished || j.state == StateEnded {
		j.state = StateEnded
		return
	}
	j.state = StateWaiting
	c.queue = append(c.queue, j)
}

func (w *worker) take(r descriptor.Resources, n int) {
	w.free.Cores -= r.Cores * descriptor.Cores(n)
	w.free.Memory -= r.Memory * descriptor.Megabytes(n)
	w.free.Accelerators -= r.Accelerators * descriptor.Accelerators(n)
}

func (w *worker) fits(r descriptor.Resources) bool {
	return w.free.Cores >= r.Cores && w.free.Memory >= r.Memory && w.free.Accelerators >= r.Accelerators
}

// Decide returns the next steps.
func (c *Core) Decide(now time.Time) []Decision {
	out := c.pending
	c.pending = nil
	rest := c.queue[:0]
	for _, j := range c.queue {
		if j.state != StateWaiting {
			continue
		}
		if !c.place(j) {
			rest = append(rest, j)
			continue
		}
		j.attempt++
		j.state = StateHeld
		out = append(out, Decision{Kind: DecisionStart, Key: j.Key(), Attempt: j.attempt, Placement: j.placement, Reason: "first fit"})
	}
	c.queue = rest
	return out
}

func (c *Core) place(j *job) bool {
	var placed []Assignment
	next := 0
	for _, w := range c.order {
		var tasks []int
		for next < j.Tasks && w.fits(j.PerTask) {
			w.take(j.PerTask, 1)
			tasks = append(tasks, next)
			next++
		}
		if tasks != nil {
			placed = append(placed, Assignment{Worker: w.ID, Tasks: tasks})
		}
	}
	if next == j.Tasks {
		j.placement = placed
		return true
	}
	for _, a := range placed {
		c.workers[a.Worker].take(j.PerTask, -len(a.Tasks))
	}
	return false
}

// Explain says why a job is in its state.
func (c *Core) Explain(key descriptor.JobKey, now time.Time) (Explanation, error) {
	j := c.jobs[key]
	if j == nil {
		return Explanation{}, fmt.Errorf("%w: %v", ErrUnknownJob, key)
	}
	return Explanation{Key: key, State: j.state, Attempt: j.attempt}, nil
}

// Guarantees reports the state of every guaranteed shape.
func (c *Core) Guarantees(now time.Time) []GuaranteeStatus { return nil }

// Fragmentation measures the use of the free capacity.
func (c *Core) Fragmentation(now time.Time) Fragmentation { return Fragmentation{} }
