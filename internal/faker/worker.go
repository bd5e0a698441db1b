package faker

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// failAfter is how long a task runs on a worker that fails everything.
	failAfter = 20 * time.Millisecond
	// checkpointTime is how long a checkpoint takes.
	checkpointTime = 10 * time.Millisecond
	// endedRetention is how long an ended task stays in the list of tasks.
	endedRetention = 10 * time.Minute
)

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task on a worker.
const (
	TaskRunning TaskState = "Running"
	TaskDone    TaskState = "Done"
	TaskFailed  TaskState = "Failed"
	TaskStopped TaskState = "Stopped"
)

// TaskStart is the body of PUT /tasks/ID.
type TaskStart struct {
	Key     descriptor.JobKey
	Attempt descriptor.Attempt
	// Index of the task in its gang.
	Index int
	// Members is the number of workers that take part in the gang.
	Members   int
	Resources descriptor.Resources
	// AcceleratorIndexes are the accelerators to use, as many as in Resources.
	AcceleratorIndexes []int
	// Lease is how long the task runs without a renewal.
	Lease descriptor.Duration
	// NotAfter is the last moment at which the task may start.
	NotAfter time.Time
	RunTime  descriptor.Duration
	Payload  []byte
}

// TaskPayload are the fields of a payload that direct the stand-in; a payload that is not JSON has none.
type TaskPayload struct {
	// RunTime is the real run time when the declared one is off.
	RunTime descriptor.Duration `json:",omitempty"`
	// Fail makes the task end as failed after its run time.
	Fail bool `json:",omitempty"`
	// Cores and Memory are what the task really uses, when not what it declares.
	Cores  descriptor.Cores     `json:",omitempty"`
	Memory descriptor.Megabytes `json:",omitempty"`
}

// TaskStatus is an item of GET /tasks.
type TaskStatus struct {
	ID                 string
	Key                descriptor.JobKey
	Attempt            descriptor.Attempt
	Index, Members     int
	State              TaskState
	Cause              string
	Usage              descriptor.Resources
	StartedAt          time.Time
	EndedAt            time.Time
	Resources          descriptor.Resources
	AcceleratorIndexes []int
	Checkpoints        int
}

// WorkerSwitches are the faults of a Worker.
type WorkerSwitches struct {
	// FailEverything makes every task fail soon after its start.
	FailEverything bool
	// Frozen leaves all calls but those under /admin/ without an answer; tasks go on and leases lapse.
	Frozen bool
	// Lag is how old the measured usage is.
	Lag descriptor.Duration
}

// WorkerStats are the counters of a Worker.
type WorkerStats struct {
	// Calls by method and kind of path.
	Calls map[string]int64
	// Starts were accepted; Late were refused after NotAfter, Full without free resources.
	Starts, Repeated, Late, Full int64
	// Lapsed tasks were stopped because their lease lapsed.
	Lapsed int64
	Runs   []Run
}

// Worker is a stand-in for a machine of the platform. Description is set before it serves.
type Worker struct {
	Description descriptor.Worker

	mu       sync.Mutex
	switches WorkerSwitches
	changes  broadcast
	tasks    map[string]*task
	// runs are all tasks in the order of their start, also those no longer listed.
	runs  []*task
	stats WorkerStats
}

// Switch changes the switches.
func (w *Worker) Switch(change func(*WorkerSwitches)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.switches)
	w.changes.wake()
}

// Runs returns all runs of the worker.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	runs := make([]Run, 0, len(w.runs))
	for _, t := range w.runs {
		runs = append(runs, Run{
			Task: t.id, Key: t.start.Key, Attempt: t.start.Attempt, Index: t.start.Index, Members: t.start.Members,
			Worker: w.Description.ID, FailureDomain: w.Description.FailureDomain,
			StartedAt: t.started, EndedAt: t.ended, State: t.state, Cause: t.cause,
		})
	}
	return runs
}

// Stats returns a copy of the counters.
func (w *Worker) Stats() WorkerStats {
	runs := w.Runs()
	w.mu.Lock()
	defer w.mu.Unlock()
	st := w.stats
	st.Calls = maps.Clone(st.Calls)
	st.Runs = runs
	return st
}

// Fail stops the worker as a failed VM does: all tasks end.
func (w *Worker) Fail() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	for _, t := range w.tasks {
		if t.state == TaskRunning {
			t.end(TaskStopped, "the worker failed", now)
		}
	}
	clear(w.tasks)
}

// advance is called with mu held.
func (w *Worker) advance(now time.Time) {
	for id, t := range w.tasks {
		if t.advance(now) {
			w.stats.Lapsed++
		}
		if t.state != TaskRunning && now.Sub(t.ended) > endedRetention {
			delete(w.tasks, id)
		}
	}
}

// ServeHTTP serves the protocol of a worker.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /admin/stats":
		writeJSON(rw, http.StatusOK, w.Stats())
		return
	case "PUT /admin/switches":
		w.putSwitches(rw, r)
		return
	}
	if !w.waitWhileFrozen(r) {
		panic(http.ErrAbortHandler)
	}
	id, step, ok := taskPath(r.URL.Path)
	w.count(r.Method, r.URL.Path, step, ok)
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/description":
		writeJSON(rw, http.StatusOK, w.Description)
	case r.Method == http.MethodGet && r.URL.Path == "/tasks":
		writeJSON(rw, http.StatusOK, w.list())
	case r.Method == http.MethodGet && r.URL.Path == "/usage":
		writeJSON(rw, http.StatusOK, w.usage())
	case ok && step == "" && r.Method == http.MethodPut:
		w.startTask(rw, r, id)
	case ok && step == "" && r.Method == http.MethodDelete:
		w.change(rw, id, func(t *task, now time.Time) { t.end(TaskStopped, "stopped", now) })
	case ok && step == "lease" && r.Method == http.MethodPost:
		w.renew(rw, r, id)
	case ok && step == "checkpoint" && r.Method == http.MethodPost:
		time.Sleep(checkpointTime)
		w.change(rw, id, func(t *task, _ time.Time) { t.checkpoints++ })
	case ok && step == "throttle" && r.Method == http.MethodPost:
		w.throttle(rw, r, id)
	default:
		writeError(rw, http.StatusNotFound, "no such path: %s %s", r.Method, r.URL.Path)
	}
}

func taskPath(path string) (id, step string, ok bool) {
	rest, ok := strings.CutPrefix(path, "/tasks/")
	if !ok || rest == "" {
		return "", "", false
	}
	for _, s := range []string{"lease", "checkpoint", "throttle"} {
		if id, found := strings.CutSuffix(rest, "/"+s); found {
			return id, s, id != ""
		}
	}
	return rest, "", true
}

func (w *Worker) count(method, path, step string, isTask bool) {
	kind := method + " " + path
	if isTask {
		kind = strings.TrimSuffix(method+" /tasks/ID/"+step, "/")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stats.Calls == nil {
		w.stats.Calls = map[string]int64{}
	}
	w.stats.Calls[kind]++
}

func (w *Worker) putSwitches(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	next := w.switches
	w.mu.Unlock()
	if err := decode(r.Body, &next); err != nil {
		writeError(rw, http.StatusBadRequest, "%v", err)
		return
	}
	w.Switch(func(s *WorkerSwitches) { *s = next })
	writeJSON(rw, http.StatusOK, next)
}

// waitWhileFrozen waits while the worker is frozen and reports false when the caller has gone meanwhile.
func (w *Worker) waitWhileFrozen(r *http.Request) bool {
	for {
		w.mu.Lock()
		frozen, changed := w.switches.Frozen, w.changes.wait()
		w.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (w *Worker) list() []TaskStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	all := make([]TaskStatus, 0, len(w.tasks))
	for id, t := range w.tasks {
		all = append(all, TaskStatus{
			ID: id, Key: t.start.Key, Attempt: t.start.Attempt, Index: t.start.Index, Members: t.start.Members,
			State: t.state, Cause: t.cause, Usage: t.usedAt(now.Add(-w.switches.Lag.Std())),
			StartedAt: t.started, EndedAt: t.ended,
			Resources: t.start.Resources, AcceleratorIndexes: t.start.AcceleratorIndexes, Checkpoints: t.checkpoints,
		})
	}
	slices.SortFunc(all, func(a, b TaskStatus) int { return strings.Compare(a.ID, b.ID) })
	return all
}

func (w *Worker) usage() descriptor.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	var sum descriptor.Resources
	for _, t := range w.tasks {
		sum = add(sum, t.usedAt(now.Add(-w.switches.Lag.Std())))
	}
	return sum
}

// change applies f to a running task. An ended task is left as it is.
func (w *Worker) change(rw http.ResponseWriter, id string, f func(*task, time.Time)) {
	w.mu.Lock()
	now := time.Now()
	w.advance(now)
	t := w.tasks[id]
	if t != nil && t.state == TaskRunning {
		f(t, now)
	}
	var state TaskState
	if t != nil {
		state = t.state
	}
	w.mu.Unlock()
	if t == nil {
		writeError(rw, http.StatusNotFound, "no task %s", id)
		return
	}
	writeJSON(rw, http.StatusOK, struct{ State TaskState }{state})
}

func (w *Worker) renew(rw http.ResponseWriter, r *http.Request, id string) {
	var body struct{ Lease descriptor.Duration }
	if err := decode(r.Body, &body); err != nil || body.Lease <= 0 {
		writeError(rw, http.StatusBadRequest, "Lease must be above 0: %v", err)
		return
	}
	w.change(rw, id, func(t *task, now time.Time) { t.leaseTo = now.Add(body.Lease.Std()) })
}

func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request, id string) {
	var body struct{ Share float64 }
	if err := decode(r.Body, &body); err != nil || body.Share < 0 || body.Share > 1 {
		writeError(rw, http.StatusBadRequest, "Share must be from 0 to 1: %v", err)
		return
	}
	w.change(rw, id, func(t *task, now time.Time) { t.throttle(body.Share, now) })
}
