package faker

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"time"

	"persimmontrail/pkg/descriptor"
)

// task is a started task. Its state is up to date only after a call of advance.
type task struct {
	id             string
	start          TaskStart
	usage          descriptor.Resources
	startedAt      time.Time
	endedAt        time.Time
	state          TaskState
	cause          string
	leaseExpiresAt time.Time
	// speed is a share of full speed and was last set at speedSince. remaining is the run time, at full speed, that was
	// left at that time.
	speed       float64
	speedSince  time.Time
	remaining   time.Duration
	fails       bool
	checkpoints int
}

// finishTime returns when the task ends by itself, or false when it is throttled to a halt.
func (t *task) finishTime() (time.Time, bool) {
	if t.speed <= 0 {
		return time.Time{}, false
	}
	return t.speedSince.Add(time.Duration(float64(t.remaining) / t.speed)), true
}

// advance updates the state of the task to now and reports whether the task was stopped because its lease expired.
func (t *task) advance(now time.Time) (lapsed bool) {
	if t.state != TaskRunning {
		return false
	}
	finishAt, finishes := t.finishTime()
	if finishes && !finishAt.After(now) && !finishAt.After(t.leaseExpiresAt) {
		t.finish(TaskDone, "", finishAt)
		if t.fails {
			t.state, t.cause = TaskFailed, "the task failed"
		}
		return false
	}
	if !t.leaseExpiresAt.After(now) {
		t.finish(TaskStopped, "the lease lapsed", t.leaseExpiresAt)
		return true
	}
	return false
}

// finish ends the task.
func (t *task) finish(state TaskState, cause string, at time.Time) {
	t.state, t.cause, t.endedAt = state, cause, at
}

// setSpeed changes the speed of the task from now on.
func (t *task) setSpeed(speed float64, now time.Time) {
	t.remaining = max(0, t.remaining-time.Duration(float64(now.Sub(t.speedSince))*t.speed))
	t.speed, t.speedSince = speed, now
}

// usageAt returns the usage of the task at a time.
func (t *task) usageAt(at time.Time) descriptor.Resources {
	if t.startedAt.After(at) || !t.endedAt.IsZero() && !t.endedAt.After(at) {
		return descriptor.Resources{}
	}
	r := t.usage
	r.Cores *= descriptor.Cores(t.speed)
	return r
}

// addResources returns the sum of a and b.
func addResources(a, b descriptor.Resources) descriptor.Resources {
	return descriptor.Resources{Cores: a.Cores + b.Cores, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

// Reasons to refuse a start.
var (
	errTooLate     = errors.New("after NotAfter")
	errNoResources = errors.New("resources are not free")
	errIDInUse     = errors.New("another task has this id")
)

// startTask handles the start of a task.
func (w *Worker) startTask(rw http.ResponseWriter, r *http.Request, id string) {
	s, err := decodeStart(r)
	if err != nil {
		writeError(rw, http.StatusBadRequest, "%v", err)
		return
	}
	created, err := w.createTask(id, s)
	switch {
	case errors.Is(err, errTooLate):
		writeError(rw, http.StatusGone, "%v", err)
	case errors.Is(err, errNoResources):
		writeError(rw, http.StatusInsufficientStorage, "%v", err)
	case errors.Is(err, errIDInUse):
		writeError(rw, http.StatusConflict, "%v", err)
	case created:
		writeJSON(rw, http.StatusCreated, struct{}{})
	default:
		writeJSON(rw, http.StatusOK, struct{}{})
	}
}

// decodeStart reads and validates a start.
func decodeStart(r *http.Request) (TaskStart, error) {
	var s TaskStart
	if err := decodeJSON(r.Body, &s); err != nil {
		return s, err
	}
	if s.Lease <= 0 || s.NotAfter.IsZero() || s.Index < 0 || s.Members < 1 {
		return s, fmt.Errorf("%w: want Lease above 0, NotAfter, Index from 0 and Members from 1", errBadRequest)
	}
	if s.RunTime < 0 || s.Resources.Cores < 0 || s.Resources.Memory < 0 {
		return s, fmt.Errorf("%w: RunTime and Resources must not be below 0", errBadRequest)
	}
	if int(s.Resources.Accelerators) != len(s.AcceleratorIndexes) {
		return s, fmt.Errorf("%w: %d accelerators, but %d indexes", errBadRequest, s.Resources.Accelerators, len(s.AcceleratorIndexes))
	}
	return s, nil
}

// createTask starts a task. It returns false without an error when the same task was started before.
func (w *Worker) createTask(id string, s TaskStart) (created bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if old := w.tasks[id]; old != nil {
		if !old.sameStart(s) {
			return false, errIDInUse
		}
		w.stats.Repeated++
		return false, nil
	}
	if now.After(s.NotAfter) {
		w.stats.Late++
		return false, errTooLate
	}
	if err := w.checkResources(s); err != nil {
		w.stats.Full++
		return false, err
	}
	if w.tasks == nil {
		w.tasks = map[string]*task{}
	}
	t := w.newTask(id, s, now)
	w.tasks[id] = t
	w.runs = append(w.runs, t)
	w.stats.Starts++
	return true, nil
}

// sameStart reports whether a repeated start is of the same task. NotAfter may differ.
func (t *task) sameStart(s TaskStart) bool {
	return t.start.Key == s.Key && t.start.Attempt == s.Attempt && t.start.Index == s.Index &&
		t.start.Resources == s.Resources && reflect.DeepEqual(t.start.AcceleratorIndexes, s.AcceleratorIndexes)
}

// checkResources returns an error unless the resources of a start are free. The caller holds mu.
func (w *Worker) checkResources(s TaskStart) error {
	used := map[int]bool{}
	sum := s.Resources
	for _, t := range w.tasks {
		if t.state != TaskRunning {
			continue
		}
		sum = addResources(sum, t.start.Resources)
		for _, i := range t.start.AcceleratorIndexes {
			used[i] = true
		}
	}
	for _, i := range s.AcceleratorIndexes {
		if i < 0 || i >= int(w.Description.Accelerators) || used[i] {
			return fmt.Errorf("%w: accelerator %d", errNoResources, i)
		}
		used[i] = true
	}
	if sum.Cores > w.Description.Cores || sum.Memory > w.Description.Memory {
		return fmt.Errorf("%w: cores or memory", errNoResources)
	}
	return nil
}

// newTask returns a started task whose behaviour depends on its payload, on the faults and, if the worker has a guard
// against excessive use of resources, on applyGuard.
func (w *Worker) newTask(id string, s TaskStart, now time.Time) *task {
	var payload TaskPayload
	if json.Unmarshal(s.Payload, &payload) != nil {
		payload = TaskPayload{}
	}
	t := &task{
		id: id, start: s, usage: s.Resources, startedAt: now, state: TaskRunning, leaseExpiresAt: now.Add(s.Lease.Std()),
		speed: 1, speedSince: now, remaining: s.RunTime.Std(), fails: payload.Fail,
	}
	if payload.RunTime > 0 {
		t.remaining = payload.RunTime.Std()
	}
	if w.switches.FailEverything {
		t.fails, t.remaining = true, failDelay
	}
	if payload.Cores > 0 {
		t.usage.Cores = payload.Cores
	}
	if payload.Memory > 0 {
		t.usage.Memory = payload.Memory
	}
	if w.Description.Guard {
		t.applyGuard(now)
	}
	return t
}

// applyGuard stops a task that uses more memory than declared and throttles one that uses more cores.
func (t *task) applyGuard(now time.Time) {
	if t.usage.Memory > t.start.Resources.Memory {
		t.finish(TaskStopped, "memory over the declared size", now)
	}
	if t.usage.Cores > t.start.Resources.Cores {
		t.speed = float64(t.start.Resources.Cores / t.usage.Cores)
	}
}
