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

// task is a started task. Its state is brought up to date whenever the worker looks at it.
type task struct {
	id      string
	start   TaskStart
	actual  descriptor.Resources
	started time.Time
	ended   time.Time
	state   TaskState
	cause   string
	leaseTo time.Time
	// share of its speed at which the task runs since the moment speedFrom, with left to do at full speed.
	share       float64
	speedFrom   time.Time
	left        time.Duration
	fail        bool
	checkpoints int
}

// finishAt returns when the task ends by itself, or false when it is throttled to a halt.
func (t *task) finishAt() (time.Time, bool) {
	if t.share <= 0 {
		return time.Time{}, false
	}
	return t.speedFrom.Add(time.Duration(float64(t.left) / t.share)), true
}

// advance applies what has happened up to now and reports whether the lease has lapsed.
func (t *task) advance(now time.Time) (lapsed bool) {
	if t.state != TaskRunning {
		return false
	}
	finish, finite := t.finishAt()
	if finite && !finish.After(now) && !finish.After(t.leaseTo) {
		t.end(TaskDone, "", finish)
		if t.fail {
			t.state, t.cause = TaskFailed, "the task failed"
		}
		return false
	}
	if !t.leaseTo.After(now) {
		t.end(TaskStopped, "the lease lapsed", t.leaseTo)
		return true
	}
	return false
}

func (t *task) end(state TaskState, cause string, at time.Time) {
	t.state, t.cause, t.ended = state, cause, at
}

func (t *task) throttle(share float64, now time.Time) {
	t.left = max(0, t.left-time.Duration(float64(now.Sub(t.speedFrom))*t.share))
	t.share, t.speedFrom = share, now
}

// usedAt returns what the task used at a moment.
func (t *task) usedAt(at time.Time) descriptor.Resources {
	if t.started.After(at) || !t.ended.IsZero() && !t.ended.After(at) {
		return descriptor.Resources{}
	}
	r := t.actual
	r.Cores *= descriptor.Cores(t.share)
	return r
}

func add(a, b descriptor.Resources) descriptor.Resources {
	return descriptor.Resources{Cores: a.Cores + b.Cores, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

// Errors that refuse a start.
var (
	errLate = errors.New("after NotAfter")
	errFull = errors.New("resources are not free")
	errUsed = errors.New("another task has this id")
)

func (w *Worker) startTask(rw http.ResponseWriter, r *http.Request, id string) {
	s, err := decodeStart(r)
	if err != nil {
		writeError(rw, http.StatusBadRequest, "%v", err)
		return
	}
	created, err := w.begin(id, s)
	switch {
	case errors.Is(err, errLate):
		writeError(rw, http.StatusGone, "%v", err)
	case errors.Is(err, errFull):
		writeError(rw, http.StatusInsufficientStorage, "%v", err)
	case errors.Is(err, errUsed):
		writeError(rw, http.StatusConflict, "%v", err)
	case created:
		writeJSON(rw, http.StatusCreated, struct{}{})
	default:
		writeJSON(rw, http.StatusOK, struct{}{})
	}
}

func decodeStart(r *http.Request) (TaskStart, error) {
	var s TaskStart
	if err := decode(r.Body, &s); err != nil {
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

// begin starts a task and reports whether it is a new one.
func (w *Worker) begin(id string, s TaskStart) (created bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	if old := w.tasks[id]; old != nil {
		if !old.sameStart(s) {
			return false, errUsed
		}
		w.stats.Repeated++
		return false, nil
	}
	if now.After(s.NotAfter) {
		w.stats.Late++
		return false, errLate
	}
	if err := w.fits(s); err != nil {
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

// sameStart compares what identifies the task; a repeated start may have a later NotAfter.
func (t *task) sameStart(s TaskStart) bool {
	return t.start.Key == s.Key && t.start.Attempt == s.Attempt && t.start.Index == s.Index &&
		t.start.Resources == s.Resources && reflect.DeepEqual(t.start.AcceleratorIndexes, s.AcceleratorIndexes)
}

func (w *Worker) fits(s TaskStart) error {
	used := map[int]bool{}
	sum := s.Resources
	for _, t := range w.tasks {
		if t.state != TaskRunning {
			continue
		}
		sum = add(sum, t.start.Resources)
		for _, i := range t.start.AcceleratorIndexes {
			used[i] = true
		}
	}
	for _, i := range s.AcceleratorIndexes {
		if i < 0 || i >= int(w.Description.Accelerators) || used[i] {
			return fmt.Errorf("%w: accelerator %d", errFull, i)
		}
		used[i] = true
	}
	if sum.Cores > w.Description.Cores || sum.Memory > w.Description.Memory {
		return fmt.Errorf("%w: cores or memory", errFull)
	}
	return nil
}

func (w *Worker) newTask(id string, s TaskStart, now time.Time) *task {
	var p TaskPayload
	if json.Unmarshal(s.Payload, &p) != nil {
		p = TaskPayload{}
	}
	t := &task{
		id: id, start: s, actual: s.Resources, started: now, state: TaskRunning, leaseTo: now.Add(s.Lease.Std()),
		share: 1, speedFrom: now, left: s.RunTime.Std(), fail: p.Fail,
	}
	if p.RunTime > 0 {
		t.left = p.RunTime.Std()
	}
	if w.switches.FailEverything {
		t.fail, t.left = true, failAfter
	}
	if p.Cores > 0 {
		t.actual.Cores = p.Cores
	}
	if p.Memory > 0 {
		t.actual.Memory = p.Memory
	}
	if w.Description.Guard {
		t.guard(now)
	}
	return t
}

// guard stops a task that uses more memory than it declares and throttles one that uses more cores.
func (t *task) guard(now time.Time) {
	if t.actual.Memory > t.start.Resources.Memory {
		t.end(TaskStopped, "memory over the declared size", now)
	}
	if t.actual.Cores > t.start.Resources.Cores {
		t.share = float64(t.start.Resources.Cores / t.actual.Cores)
	}
}
