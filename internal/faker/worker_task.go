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
	id    string
	start TaskStart
	// usage is the actual usage at full speed.
	usage          descriptor.Resources
	startedAt      time.Time
	endedAt        time.Time
	state          TaskState
	cause          string
	leaseExpiresAt time.Time
	// speed is a share of full speed and was last set at speedSince. remaining is the run time, at full speed, that was
	// left at that time.
	speed      float64
	speedSince time.Time
	remaining  time.Duration
	// willFail makes the state TaskFailed instead of TaskDone at the end of the run time.
	willFail    bool
	checkpoints int
}

// finishTime returns the time at which the task reaches the end of its run time, or false if its speed is 0.
func (t *task) finishTime() (time.Time, bool) {
	if t.speed <= 0 {
		return time.Time{}, false
	}
	return t.speedSince.Add(time.Duration(float64(t.remaining) / t.speed)), true
}

// advance brings the state of the task up to date and reports whether it stopped the task because the lease expired.
func (t *task) advance(now time.Time) (leaseExpired bool) {
	if t.state != TaskRunning {
		return false
	}
	finishAt, finishes := t.finishTime()
	if finishes && !finishAt.After(now) && !finishAt.After(t.leaseExpiresAt) {
		t.finish(TaskDone, "", finishAt)
		if t.willFail {
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

// finish records the end of the task, which may lie before the current time.
func (t *task) finish(state TaskState, cause string, at time.Time) {
	t.state, t.cause, t.endedAt = state, cause, at
}

// setSpeed sets the speed of the task, as a share of full speed, from now on.
func (t *task) setSpeed(speed float64, now time.Time) {
	t.remaining = max(0, t.remaining-time.Duration(float64(now.Sub(t.speedSince))*t.speed))
	t.speed, t.speedSince = speed, now
}

// usageAt returns the usage of the task at a time, which is zero before its start and after its end. The cores are those
// for the current speed, even if the speed was set later than at.
func (t *task) usageAt(at time.Time) descriptor.Resources {
	if t.startedAt.After(at) || !t.endedAt.IsZero() && !t.endedAt.After(at) {
		return descriptor.Resources{}
	}
	r := t.usage
	r.Cores *= descriptor.Cores(t.speed)
	return r
}

func addResources(a, b descriptor.Resources) descriptor.Resources {
	return descriptor.Resources{Cores: a.Cores + b.Cores, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

// Errors of createTask, which startTask answers with status 410, 507 and 409.
var (
	errTooLate     = errors.New("after NotAfter")
	errNoResources = errors.New("resources are not free")
	errIDInUse     = errors.New("another task has this id")
)

// startTask handles PUT /tasks/ID. It answers 201 to the first start of a task and 200 to a repeated one.
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

// decodeStart decodes the body of a start and checks it, except for what depends on the time or on the worker: NotAfter
// may have passed, and the resources may not be free.
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

// createTask starts a task. It returns false without an error if the same task was started before and is still listed,
// even if it has ended.
func (w *Worker) createTask(id string, s TaskStart) (created bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if existing := w.tasks[id]; existing != nil {
		if !existing.matchesStart(s) {
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

// matchesStart reports whether s starts the same task again. The fields that are not compared, such as NotAfter, may
// differ.
func (t *task) matchesStart(s TaskStart) bool {
	return t.start.Key == s.Key && t.start.Attempt == s.Attempt && t.start.Index == s.Index &&
		t.start.Resources == s.Resources && reflect.DeepEqual(t.start.AcceleratorIndexes, s.AcceleratorIndexes)
}

// checkResources returns an error unless the resources for s are free. The caller holds mu.
func (w *Worker) checkResources(s TaskStart) error {
	usedAccelerators := map[int]bool{}
	sum := s.Resources
	for _, t := range w.tasks {
		if t.state != TaskRunning {
			continue
		}
		sum = addResources(sum, t.start.Resources)
		for _, i := range t.start.AcceleratorIndexes {
			usedAccelerators[i] = true
		}
	}
	for _, i := range s.AcceleratorIndexes {
		if i < 0 || i >= int(w.Description.Accelerators) || usedAccelerators[i] {
			return fmt.Errorf("%w: accelerator %d", errNoResources, i)
		}
		usedAccelerators[i] = true
	}
	if sum.Cores > w.Description.Cores || sum.Memory > w.Description.Memory {
		return fmt.Errorf("%w: cores or memory", errNoResources)
	}
	return nil
}

// newTask returns a task that starts now. Its payload and the faults determine its run time, usage and outcome. If the
// worker has a guard, applyGuard then enforces the declared size.
func (w *Worker) newTask(id string, s TaskStart, now time.Time) *task {
	var payload TaskPayload
	if json.Unmarshal(s.Payload, &payload) != nil {
		payload = TaskPayload{}
	}
	t := &task{
		id: id, start: s, usage: s.Resources, startedAt: now, state: TaskRunning, leaseExpiresAt: now.Add(s.Lease.TimeDuration()),
		speed: 1, speedSince: now, remaining: s.RunTime.TimeDuration(), willFail: payload.Fail,
	}
	if payload.RunTime > 0 {
		t.remaining = payload.RunTime.TimeDuration()
	}
	if w.switches.FailEverything {
		t.willFail, t.remaining = true, failDelay
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
