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
	// failDelay is the run time of a task that fails because of WorkerSwitches.FailEverything.
	failDelay = 20 * time.Millisecond
	// checkpointTime is the delay between a call of POST /tasks/ID/checkpoint and its effect and answer.
	checkpointTime = 10 * time.Millisecond
	// endedRetention is how long GET /tasks lists an ended task.
	endedRetention = 10 * time.Minute
)

// TaskState is the state of a task on a worker. All states except TaskRunning are final.
type TaskState string

// A task is Running until it ends. It is Done or Failed at the end of its run time, and Stopped if it ended for another
// reason, such as a stop by the caller or the expiry of its lease.
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
	// Index is the number of the task in its gang, from 0.
	Index int
	// Members is the number of workers that take part in the gang.
	Members   int
	Resources descriptor.Resources
	// AcceleratorIndexes are the accelerators to use. Their number must be Resources.Accelerators.
	AcceleratorIndexes []int
	// Lease is the time after which the task is stopped unless the lease is renewed.
	Lease descriptor.Duration
	// NotAfter is the latest time at which the task may start.
	NotAfter time.Time
	// RunTime is the declared run time at full speed. TaskPayload.RunTime, if set, is the actual one.
	RunTime descriptor.Duration
	Payload []byte
}

// TaskPayload holds the fields of a payload that control the stand-in. They are all zero for a payload that is not
// JSON of this form.
type TaskPayload struct {
	// RunTime is the actual run time; 0 means the declared one.
	RunTime descriptor.Duration `json:",omitempty"`
	// Fail makes the task fail at the end of its run time.
	Fail bool `json:",omitempty"`
	// Cores and Memory are the actual usage; 0 means the declared size.
	Cores  descriptor.Cores     `json:",omitempty"`
	Memory descriptor.Megabytes `json:",omitempty"`
}

// TaskStatus describes a task in the answer to GET /tasks. Usage is as old as WorkerSwitches.Lag, the rest is current.
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

// WorkerSwitches are the faults that a Worker simulates.
type WorkerSwitches struct {
	// FailEverything makes every task that is started while it is set fail after failDelay.
	FailEverything bool
	// Frozen holds back all calls except those under /admin/ while it is set. Tasks continue and leases expire. Afterwards
	// the worker handles the calls whose callers have not disconnected.
	Frozen bool
	// Lag is the age of the reported usage.
	Lag descriptor.Duration
}

// WorkerStats are the counters of a Worker since its creation. It is also the answer to GET /admin/stats.
type WorkerStats struct {
	// Calls counts calls by method and path, with the word ID in place of a task id. It leaves out the calls for stats and
	// switches. A call to a frozen worker counts once the worker handles it.
	Calls map[string]int64
	// Starts is the number of tasks that were started, and Repeated that of repeated starts of a task. Late is the number
	// of starts that were refused because they came after NotAfter, and Full that of starts that were refused because
	// resources were not free.
	Starts, Repeated, Late, Full int64
	// Lapsed counts tasks that were stopped because their lease expired.
	Lapsed int64
	// Runs is the result of Worker.Runs.
	Runs []Run
}

// Worker is a stand-in for a worker of the platform. Description must be set before it serves.
type Worker struct {
	Description descriptor.Worker

	mu            sync.Mutex
	switches      WorkerSwitches
	switchChanges broadcast
	// tasks holds the tasks that GET /tasks lists, by id.
	tasks map[string]*task
	// runs holds all tasks in the order of their start, including those that are no longer listed.
	runs  []*task
	stats WorkerStats
}

// UpdateSwitches applies change to the faults. change must not call methods of w, because w is locked.
func (w *Worker) UpdateSwitches(change func(*WorkerSwitches)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.switches)
	w.switchChanges.notify()
}

// Runs returns all runs of the worker in the order of their start, including those that GET /tasks no longer lists.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	runs := make([]Run, 0, len(w.runs))
	for _, t := range w.runs {
		runs = append(runs, Run{
			Task: t.id, Key: t.start.Key, Attempt: t.start.Attempt, Index: t.start.Index, Members: t.start.Members,
			Worker: w.Description.ID, FailureDomain: w.Description.FailureDomain,
			StartedAt: t.startedAt, EndedAt: t.endedAt, State: t.state, Cause: t.cause,
		})
	}
	return runs
}

// Stats brings all tasks up to date and returns a copy of the counters.
func (w *Worker) Stats() WorkerStats {
	runs := w.Runs()
	w.mu.Lock()
	defer w.mu.Unlock()
	st := w.stats
	st.Calls = maps.Clone(st.Calls)
	st.Runs = runs
	return st
}

// Fail simulates a failure of the VM: running tasks are stopped, and no earlier task is listed any more. The worker
// still answers calls.
func (w *Worker) Fail() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	for _, t := range w.tasks {
		if t.state == TaskRunning {
			t.finish(TaskStopped, "the worker failed", now)
		}
	}
	clear(w.tasks)
}

// advance brings all tasks up to date and drops those that ended longer than endedRetention ago. The caller holds mu.
func (w *Worker) advance(now time.Time) {
	for id, t := range w.tasks {
		if t.advance(now) {
			w.stats.Lapsed++
		}
		if t.state != TaskRunning && now.Sub(t.endedAt) > endedRetention {
			delete(w.tasks, id)
		}
	}
}

// ServeHTTP implements the HTTP interface of a worker, and the paths under /admin/ that control the stand-in.
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
	id, action, isTask := parseTaskPath(r.URL.Path)
	w.countCall(r.Method, r.URL.Path, action, isTask)
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/description":
		writeJSON(rw, http.StatusOK, w.Description)
	case r.Method == http.MethodGet && r.URL.Path == "/tasks":
		writeJSON(rw, http.StatusOK, w.taskStatuses())
	case r.Method == http.MethodGet && r.URL.Path == "/usage":
		writeJSON(rw, http.StatusOK, w.totalUsage())
	case isTask && action == "" && r.Method == http.MethodPut:
		w.startTask(rw, r, id)
	case isTask && action == "" && r.Method == http.MethodDelete:
		w.updateTask(rw, id, func(t *task, now time.Time) { t.finish(TaskStopped, "stopped", now) })
	case isTask && action == "lease" && r.Method == http.MethodPost:
		w.renewLease(rw, r, id)
	case isTask && action == "checkpoint" && r.Method == http.MethodPost:
		time.Sleep(checkpointTime)
		w.updateTask(rw, id, func(t *task, _ time.Time) { t.checkpoints++ })
	case isTask && action == "throttle" && r.Method == http.MethodPost:
		w.throttleTask(rw, r, id)
	default:
		writeError(rw, http.StatusNotFound, "no such path: %s %s", r.Method, r.URL.Path)
	}
}

// parseTaskPath splits a path of the form /tasks/ID or /tasks/ID/ACTION. It returns false for other paths.
func parseTaskPath(path string) (id, action string, ok bool) {
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

// countCall counts a call in WorkerStats.Calls. A call for a task counts under the path /tasks/ID or /tasks/ID/ACTION.
func (w *Worker) countCall(method, path, action string, isTask bool) {
	kind := method + " " + path
	if isTask {
		kind = strings.TrimSuffix(method+" /tasks/ID/"+action, "/")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stats.Calls == nil {
		w.stats.Calls = map[string]int64{}
	}
	w.stats.Calls[kind]++
}

// putSwitches changes the faults that are set in the request body and leaves the others as they are.
func (w *Worker) putSwitches(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	switches := w.switches
	w.mu.Unlock()
	if err := decodeJSON(r.Body, &switches); err != nil {
		writeError(rw, http.StatusBadRequest, "%v", err)
		return
	}
	w.UpdateSwitches(func(s *WorkerSwitches) { *s = switches })
	writeJSON(rw, http.StatusOK, switches)
}

// waitWhileFrozen waits until the worker is not frozen. It returns false when the caller disconnects before that.
func (w *Worker) waitWhileFrozen(r *http.Request) bool {
	for {
		w.mu.Lock()
		frozen, changed := w.switches.Frozen, w.switchChanges.subscribe()
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

// taskStatuses returns the status of the running and the recently ended tasks, ordered by id.
func (w *Worker) taskStatuses() []TaskStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	statuses := make([]TaskStatus, 0, len(w.tasks))
	for id, t := range w.tasks {
		statuses = append(statuses, TaskStatus{
			ID: id, Key: t.start.Key, Attempt: t.start.Attempt, Index: t.start.Index, Members: t.start.Members,
			State: t.state, Cause: t.cause, Usage: t.usageAt(now.Add(-w.switches.Lag.TimeDuration())),
			StartedAt: t.startedAt, EndedAt: t.endedAt,
			Resources: t.start.Resources, AcceleratorIndexes: t.start.AcceleratorIndexes, Checkpoints: t.checkpoints,
		})
	}
	slices.SortFunc(statuses, func(a, b TaskStatus) int { return strings.Compare(a.ID, b.ID) })
	return statuses
}

// totalUsage returns the sum of the usage of all tasks, as measured Lag ago.
func (w *Worker) totalUsage() descriptor.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.advance(now)
	var sum descriptor.Resources
	for _, t := range w.tasks {
		sum = addResources(sum, t.usageAt(now.Add(-w.switches.Lag.TimeDuration())))
	}
	return sum
}

// updateTask calls update with a task if it is running, and answers with the state of the task, or with 404 if the
// task is not listed.
func (w *Worker) updateTask(rw http.ResponseWriter, id string, update func(*task, time.Time)) {
	w.mu.Lock()
	now := time.Now()
	w.advance(now)
	t := w.tasks[id]
	if t != nil && t.state == TaskRunning {
		update(t, now)
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

// renewLease makes the lease of a running task expire after the Lease in the request body, counted from now.
func (w *Worker) renewLease(rw http.ResponseWriter, r *http.Request, id string) {
	var body struct{ Lease descriptor.Duration }
	if err := decodeJSON(r.Body, &body); err != nil || body.Lease <= 0 {
		writeError(rw, http.StatusBadRequest, "Lease must be above 0: %v", err)
		return
	}
	w.updateTask(rw, id, func(t *task, now time.Time) { t.leaseExpiresAt = now.Add(body.Lease.TimeDuration()) })
}

// throttleTask sets the speed of a running task to the Share of full speed, from 0 to 1, in the request body.
func (w *Worker) throttleTask(rw http.ResponseWriter, r *http.Request, id string) {
	var body struct{ Share float64 }
	if err := decodeJSON(r.Body, &body); err != nil || body.Share < 0 || body.Share > 1 {
		writeError(rw, http.StatusBadRequest, "Share must be from 0 to 1: %v", err)
		return
	}
	w.updateTask(rw, id, func(t *task, now time.Time) { t.setSpeed(body.Share, now) })
}
