package planner

import "persimmontrail/pkg/descriptor"

// Record is an accepted workload.
type Record struct {
	Workload descriptor.Workload
	// Cancelled never goes back to false.
	Cancelled bool `cbor:",omitempty"`
}

// TaskState is the state of one task.
type TaskState int

// States of a task.
const (
	// TaskPending has no run that may still act.
	TaskPending TaskState = iota
	// TaskPlaced has a run that may act on Worker.
	TaskPlaced
	// TaskDone has ended well.
	TaskDone
)

// Task is the durable part of one task.
type Task struct {
	_     struct{} `cbor:",toarray"`
	State TaskState
	// Run is the number of the newest run, 0 before the first.
	Run int
	// Fails counts the runs that ended as failed. For gangs it is equal in all members.
	Fails int
	// Worker, Born and Node say where the newest run was placed.
	Worker descriptor.WorkerID
	Born   int64
	Node   string
	// Checkpoint is the newest saved progress that is known.
	Checkpoint string
}

// markDone marks the task as done. Where it ran is needed no more, and would take most of a wide step's document.
func (t *Task) markDone() { *t = Task{State: TaskDone, Run: t.Run, Fails: t.Fails} }

// Occurrence holds the tasks of one occurrence by step and index. Nil steps have not been touched.
type Occurrence struct {
	_     struct{} `cbor:",toarray"`
	Done  bool
	Steps [][]Task
}

// JobState is the state that callers see.
type JobState int

// States of a workload.
const (
	JobQueued JobState = iota
	JobRunning
	JobDone
	JobFailed
	JobCancelled
)

// Final reports whether the state never changes again.
func (s JobState) Final() bool { return s >= JobDone }

// String returns the name in logs and in the product's own interface.
func (s JobState) String() string {
	return [...]string{"Queued", "Running", "Done", "Failed", "Cancelled"}[s]
}

// Progress is how far a workload has come.
type Progress struct {
	State JobState
	// Begun is true once a task was seen to run.
	Begun bool
	// Fence and Change name the write, so that its writer recognises it after a lost answer.
	Fence       int64
	Change      int64
	Occurrences map[int]*Occurrence `cbor:",omitempty"`
}
