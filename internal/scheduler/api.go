// Package scheduler is the decision core for jobs of one region.
//
// Core takes events and a clock and returns decisions. It performs no I/O,
// starts no goroutines and is not safe for concurrent use. Equal inputs give
// equal decisions. The zero value is a usable core.
//
// Capacity is a hierarchy of cells: accelerators in a worker, workers in a
// rack, racks in a failure domain. Guaranteed shapes are not tied to real
// workers until they are needed; a placement is accepted when all unused
// guarantees still fit together on what is free or reclaimable.
package scheduler

import (
	"errors"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Errors of Submit, Cancel and Explain. They are wrapped with the reason.
var (
	// ErrNeverFits means that the job cannot run even when all known workers are up and empty.
	ErrNeverFits = errors.New("job can never fit")
	// ErrQueueFull means that the queue is full of work at least as urgent.
	ErrQueueFull = errors.New("queue is full")
	// ErrUnknownWorkspace means that the configuration has no such workspace.
	ErrUnknownWorkspace = errors.New("unknown workspace")
	// ErrUnknownClass means that the configuration has no such class.
	ErrUnknownClass = errors.New("unknown class")
	// ErrUnknownJob means that the core does not know the job.
	ErrUnknownJob = errors.New("unknown job")
)

// Policy selects how jobs are ordered and placed.
type Policy int

// Policies.
const (
	// PolicyGuaranteed honours guarantees, orders by slack and reserves for large jobs.
	PolicyGuaranteed Policy = iota
	// PolicyBaseline is first fit in order of arrival, without reclaim, reservation or guarantees.
	PolicyBaseline
)

// Assignment places some tasks of a gang on one worker.
type Assignment struct {
	Worker descriptor.WorkerID
	// Tasks are indexes of the gang's tasks in ascending order.
	Tasks []int
}

// Attempt is a held or running attempt that was found in reports.
type Attempt struct {
	Job       descriptor.Job
	Accepted  time.Time
	Number    descriptor.Attempt
	Placement []Assignment
	// Running reports whether all members run; otherwise the attempt is held or committed.
	Running   bool
	StartedAt time.Time
}

// EventKind says what became of an attempt.
type EventKind int

// Kinds of events.
const (
	// EventStarted means that all members run.
	EventStarted EventKind = iota
	// EventFinished means that all members ended well.
	EventFinished
	// EventTaskFailed means that a task failed on Event.Worker and all members have stopped.
	EventTaskFailed
	// EventNotStarted means that a hold, commit or start was refused and no member runs.
	EventNotStarted
	// EventStopped means that all members of a reclaimed or cancelled attempt have stopped.
	EventStopped
)

// Event reports what became of an attempt.
type Event struct {
	Key     descriptor.JobKey
	Attempt descriptor.Attempt
	Kind    EventKind
	// Worker on which a task failed or which refused; empty when unknown.
	Worker descriptor.WorkerID
	Cause  string
}

// DecisionKind says what the caller has to do.
type DecisionKind int

// Kinds of decisions.
const (
	// DecisionStart asks for the gang protocol on Placement.
	DecisionStart DecisionKind = iota
	// DecisionReclaim asks for a checkpoint within Grace, then a stop. The job is queued again.
	DecisionReclaim
	// DecisionStop asks to stop an attempt that was cancelled or contradicts the view.
	DecisionStop
	// DecisionEnd ends the job for good with Reason.
	DecisionEnd
)

// Decision is one step that the caller carries out.
type Decision struct {
	Kind      DecisionKind
	Key       descriptor.JobKey
	Attempt   descriptor.Attempt
	Placement []Assignment
	Reason    string
	// Grace is how long a checkpoint may take before the stop.
	Grace time.Duration
}

// JobState is the state of a job in the core.
type JobState string

// States of a job.
const (
	StateWaiting   JobState = "Waiting"
	StateHeld      JobState = "Held"
	StateRunning   JobState = "Running"
	StateReclaimed JobState = "Reclaimed"
	StateEnded     JobState = "Ended"
)

// Fact is one figure behind an explanation.
type Fact struct {
	Name  string
	Value float64
	Unit  string `json:",omitempty"`
}

// Record is one entry of a job's history.
type Record struct {
	At      time.Time
	Attempt descriptor.Attempt
	What    string
	Reason  string `json:",omitempty"`
}

// Explanation says why a job is in its state.
type Explanation struct {
	Key     descriptor.JobKey
	State   JobState
	Attempt descriptor.Attempt
	// Guaranteed reports whether the current attempt runs on its workspace's guarantee.
	Guaranteed bool
	// Blocker is what keeps a waiting job from starting.
	Blocker string `json:",omitempty"`
	Facts   []Fact `json:",omitempty"`
	// Remedies are changes that would let the job start.
	Remedies []string `json:",omitempty"`
	// EstimatedStart is zero when no estimate is possible; Estimate says how it was made.
	EstimatedStart time.Time
	Estimate       string
	// History holds the most recent decisions, oldest first.
	History []Record
}

// GuaranteeStatus tells whether one guaranteed shape of a workspace can be honoured.
type GuaranteeStatus struct {
	Workspace descriptor.WorkspaceID
	Shape     descriptor.Shape
	// Possible is how many of Shape.Copies() fit together with all other guarantees.
	Possible int
	// InUse is the number of accelerators of the workspace that run as guaranteed, over all its shapes.
	InUse descriptor.Accelerators
	// Cause is empty when all copies are possible.
	Cause string `json:",omitempty"`
	// Since is when the guarantee became impossible.
	Since time.Time
}

// Fragmentation measures how much of the free capacity is of no use to large shapes.
type Fragmentation struct {
	Free descriptor.Accelerators
	// Unusable is the part of Free that the largest shape cannot use.
	Unusable descriptor.Accelerators
	// Share is Unusable divided by Free, or 0 when nothing is free.
	Share float64
	// Largest is the largest guaranteed or waiting shape.
	Largest descriptor.Shape
	// LargeWaiting is the number of waiting jobs with at least largeJob accelerators.
	LargeWaiting int
	// LongestWait and MeanWait are over the large jobs that wait now.
	LongestWait time.Duration
	MeanWait    time.Duration
	// StartedMeanWait is over the large jobs that started most recently, at most 64.
	StartedMeanWait time.Duration
	// Utilisation is the share of accelerators on usable workers that are in use.
	Utilisation float64
	// CoreUtilisation is the same for cores.
	CoreUtilisation float64
}
