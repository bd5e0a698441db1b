package planner

import (
	"errors"
	"fmt"

	"persimmontrail/pkg/descriptor"
)

// ErrDocument means that a document of a workload cannot be used, since it contradicts itself or its key.
var ErrDocument = errors.New("invalid document")

// Check returns an ErrDocument that names what is wrong with the record stored for a workload, or nil.
func (r *Record) Check(id descriptor.JobID) error {
	if r.Workload.ID != id {
		return fmt.Errorf("%w: record of workload %q has the key of %q", ErrDocument, r.Workload.ID, id)
	}
	if r.Withdrawn() {
		return nil
	}
	if err := r.Workload.Check(); err != nil {
		return fmt.Errorf("%w: %w", ErrDocument, err)
	}
	return nil
}

// Check returns an ErrDocument that names what does not match the workload, or nil. It does not check whether the
// workload itself is valid.
func (p *Progress) Check(w *descriptor.Workload) error {
	if p.State < JobQueued || p.State > JobCancelled {
		return fmt.Errorf("%w: State is %d", ErrDocument, p.State)
	}
	for k, o := range p.Occurrences {
		if k < 0 || k >= w.Occurrences() || o == nil {
			return fmt.Errorf("%w: occurrence %d of %d", ErrDocument, k, w.Occurrences())
		}
		if o.Steps != nil && len(o.Steps) != len(w.Steps) {
			return fmt.Errorf("%w: occurrence %d has %d steps, the workload %d", ErrDocument, k, len(o.Steps), len(w.Steps))
		}
		for s, tasks := range o.Steps {
			if tasks != nil && len(tasks) != w.Steps[s].Count {
				return fmt.Errorf("%w: step %d of occurrence %d has %d tasks, want %d", ErrDocument, s, k, len(tasks), w.Steps[s].Count)
			}
			for i := range tasks {
				if err := tasks[i].check(); err != nil {
					return fmt.Errorf("task %d.%d.%d: %w", k, s, i, err)
				}
			}
		}
	}
	return nil
}

// maxAttempt is far above any number of attempts that a workload can need, and leaves room for further ones.
const maxAttempt = 1 << 30

func (t *Task) check() error {
	switch {
	case t.State < TaskPending || t.State > TaskDone:
		return fmt.Errorf("%w: State is %d", ErrDocument, t.State)
	case t.Attempt < 0 || t.Attempt > maxAttempt:
		return fmt.Errorf("%w: Attempt is %d", ErrDocument, t.Attempt)
	case t.FailedAttempts < 0 || t.FailedAttempts > maxAttempt:
		return fmt.Errorf("%w: FailedAttempts is %d", ErrDocument, t.FailedAttempts)
	case t.State == TaskPlaced && (t.Node == "" || t.Attempt == 0):
		return fmt.Errorf("%w: placed on node %q in attempt %d", ErrDocument, t.Node, t.Attempt)
	}
	return nil
}

// Record is an accepted workload, with its cancellation if there was one.
type Record struct {
	Workload descriptor.Workload
	// Cancelled never goes back to false.
	Cancelled bool `cbor:",omitempty"`
}

// Withdrawal returns the record of a workload that was cancelled before it was accepted. While it is stored, no submission
// with this id can be accepted, not even one whose write is still under way.
func Withdrawal(id descriptor.JobID) Record {
	return Record{Workload: descriptor.Workload{ID: id}, Cancelled: true}
}

// Withdrawn reports whether the record is a Withdrawal, which holds no workload.
func (r *Record) Withdrawn() bool { return r.Cancelled && len(r.Workload.Steps) == 0 }

// TaskState says whether a task needs an attempt. A task whose attempt failed or was lost is pending again; a task that
// is done stays so.
type TaskState int

const (
	// TaskPending means that no attempt of the task can be running.
	TaskPending TaskState = iota
	// TaskPlaced means that an attempt of the task may be running on Worker.
	TaskPlaced
	// TaskDone means that the task has succeeded.
	TaskDone
)

// Task is the part of a task's state that is written to the store.
type Task struct {
	_     struct{} `cbor:",toarray"`
	State TaskState
	// Attempt is the number of the newest attempt, 0 before the first.
	Attempt int
	// FailedAttempts counts the failed attempts. It is the same for all members of a gang.
	FailedAttempts int
	// Worker is the worker on which the newest attempt was placed.
	Worker descriptor.WorkerID
	// Born identifies the incarnation of Worker.
	Born int64
	// Node is the node on which Worker was when the attempt was placed.
	Node string
	// Checkpoint is the newest known checkpoint.
	Checkpoint string
}

// markDone marks the task as done. It drops the placement, which would take up most of the document of a wide step.
func (t *Task) markDone() {
	*t = Task{State: TaskDone, Attempt: t.Attempt, FailedAttempts: t.FailedAttempts}
}

// Occurrence holds the tasks of one occurrence by step and index. A nil step has no tasks placed yet. Once the occurrence
// is done, its tasks are dropped.
type Occurrence struct {
	_     struct{} `cbor:",toarray"`
	Done  bool
	Steps [][]Task
}

// JobState is the state of a workload, as reported to callers.
type JobState int

// A workload is queued until its first task is placed, and then running until it is final, even while no attempt of it
// runs.
const (
	JobQueued JobState = iota
	JobRunning
	JobDone
	JobFailed
	JobCancelled
)

// Final reports whether the state cannot change any more.
func (s JobState) Final() bool { return s >= JobDone }

var jobStateNames = [...]string{"Queued", "Running", "Done", "Failed", "Cancelled"}

// String returns the name used in logs and in the API.
func (s JobState) String() string {
	if s < 0 || int(s) >= len(jobStateNames) {
		return fmt.Sprintf("JobState(%d)", int(s))
	}
	return jobStateNames[s]
}

// Progress is the part of a workload's state that is written to the store.
type Progress struct {
	State JobState
	// Begun is true once any task of the workload has been reported as running.
	Begun bool
	// Fence is the fencing token of the leader that wrote the document. With Change it lets a leader recognise its
	// own write when the answer was lost.
	Fence int64
	// Change is the number of the write within the leader's term.
	Change      int64
	Occurrences map[int]*Occurrence `cbor:",omitempty"`
	// GivenUp holds the newest attempts of tasks that are not done which were given up without a listed end. If a worker lists
	// the end of one after all, it counts like any other.
	GivenUp []TaskAttempt `cbor:",omitempty"`
	// FailedGangs holds the attempts of gangs that count as failed, each by the member with index 0.
	FailedGangs []TaskAttempt `cbor:",omitempty"`
}

// TaskAttempt identifies an attempt of one workload.
type TaskAttempt struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Attempt    int
}

func taskAttemptOf(id descriptor.AttemptID) TaskAttempt {
	return TaskAttempt{Occurrence: id.Task.Occurrence, Step: id.Task.Step, Index: id.Task.Index, Attempt: id.Attempt}
}
