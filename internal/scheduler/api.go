// Package scheduler decides which jobs of one region start, where they run and which running work is reclaimed for
// them. The package is part of the program persimmontrail; persimmontrail-node schedules with package planner.
//
// Core takes events and the current time and returns decisions. It performs no I/O, starts no goroutines and
// is not safe for concurrent use. Equal inputs produce equal decisions. The zero Core is ready to use.
//
// The tasks of a job form a gang: they start together or not at all. An attempt is one numbered start of a
// job, and its members are its tasks. A job is more urgent than another if it must start earlier to meet the target
// of its class; see PolicyGuaranteed. Among classes, the one with the shorter target is more urgent.
//
// Capacity is a hierarchy: failure domains contain racks, racks contain workers, and workers have accelerators. The
// levels of this hierarchy are ordered from the loosest, the failure domain, to the tightest, the worker. The guarantee
// of a workspace consists of shapes, each a number of accelerators within one unit. A unit is one node of a level: one
// worker, one rack or one failure domain. Each copy of a shape is a cell, which is planned at a node of the hierarchy;
// the plan is this assignment of cells to nodes. Unused cells may move to other nodes. New protected work (see below)
// is accepted only if all unused guarantees still fit on free or reclaimable capacity.
//
// The unused part of a cell is its residual. The slack of a node is an amount of capacity, not of time: the number of
// usable accelerators below it that are neither taken by protected work nor planned, at this node or below it, for the
// residual of a cell. A node with negative slack is overcommitted. The adjacency of a job is the level of the unit that
// must contain its gang.
//
// Work that runs on the guarantee of its workspace is charged to cells of the workspace and is protected from
// reclaim. A guarantee is earmarked for the most urgent blocked job of its workspace: less urgent jobs may not use the
// part that this job needs.
//
// Work that runs outside the guarantee of its workspace runs on borrowed capacity and may be reclaimed, unless
// it is not idempotent. To displace work is to move it from its guarantee to borrowed capacity, in favour of a more
// urgent class of the same workspace. To promote a victim is to move it from borrowed capacity to the unused guarantee
// of its own workspace.
//
// To reclaim is to stop running work, the victims, in favour of other work. While an attempt waits for the victims
// on its placement to stop, it is a claim. A reservation sets resources aside from a future time for a job
// that cannot start yet; work that is expected to end before this time may still use them, as backfill.
//
// A pass considers waiting jobs for a start, in the order of the queue. A capacity generation ends when capacity or a
// guarantee becomes free; until then, a search for a placement that has failed is not repeated.
//
// An attempt that the reports of the agents on the workers show, such as one of an earlier scheduler, is adopted: the
// core takes it over as the current attempt of its job, unless it contradicts the state of the core; see Adopt.
//
// A worker on which too many jobs fail is quarantined: it gets no work for some time. After that it is probed with one
// task, and returns to normal use if this task succeeds.
package scheduler

import (
	"errors"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Errors of Submit, RestoreJob, Cancel and Explain. They are returned wrapped with details.
var (
	// ErrNeverFits means that the job fits neither the known workers, if all of them were up and idle, nor the
	// fleet in the configuration.
	ErrNeverFits = errors.New("job can never fit")
	// ErrQueueFull means that the queue is too full for a job of this urgency.
	ErrQueueFull = errors.New("queue is full")
	// ErrUnknownWorkspace means that the workspace is not in the configuration.
	ErrUnknownWorkspace = errors.New("unknown workspace")
	// ErrUnknownClass means that the class is not in the configuration.
	ErrUnknownClass = errors.New("unknown class")
	// ErrUnknownJob means that the job was never accepted, or that it has ended and is no longer kept.
	ErrUnknownJob = errors.New("unknown job")
)

// Policy selects how jobs are ordered and placed.
type Policy int

const (
	// PolicyGuaranteed honours guarantees, orders jobs by their latest start and makes reservations for
	// blocked jobs.
	PolicyGuaranteed Policy = iota
	// PolicyBaseline places jobs first fit in order of arrival, without reclaim, reservations or guarantees.
	PolicyBaseline
)

// Assignment assigns some tasks of a gang to one worker.
type Assignment struct {
	Worker descriptor.WorkerID
	// Tasks are task indexes, in ascending order unless the attempt was adopted.
	Tasks []int
}

// ReportedAttempt is a held or running attempt found in the reports of the agents that run tasks on the workers.
type ReportedAttempt struct {
	Job       descriptor.Job
	Accepted  time.Time
	Number    descriptor.Attempt
	Placement []Assignment
	// Running reports whether all members run. Otherwise the attempt is held or committed; see DecisionStart.
	Running   bool
	StartedAt time.Time
}

// EventKind says what happened to an attempt. Every kind except EventStarted ends the attempt and frees its resources.
type EventKind int

const (
	// EventStarted means that all members run.
	EventStarted EventKind = iota
	// EventFinished means that all members ended successfully.
	EventFinished
	// EventTaskFailed means that a task failed on Event.Worker and all members have stopped.
	EventTaskFailed
	// EventNotStarted means that a hold, commit or start was refused and no member runs.
	EventNotStarted
	// EventStopped means that all members of an attempt that was requested to stop have stopped.
	EventStopped
)

// Event reports a change in the state of an attempt.
type Event struct {
	Key     descriptor.JobKey
	Attempt descriptor.Attempt
	Kind    EventKind
	// Worker is the worker on which a task failed or that refused a start, if known.
	Worker descriptor.WorkerID
	Cause  string
}

// DecisionKind says which action a Decision requests or, for DecisionEnd, that it only reports the end of a job.
type DecisionKind int

const (
	// DecisionStart starts the attempt on Placement with the gang protocol: hold, commit and start on all workers.
	DecisionStart DecisionKind = iota
	// DecisionReclaim requests a checkpoint within Grace and then a stop; if Grace is 0, a stop at once. When the
	// attempt has stopped, the job is queued again, or ended if it is not idempotent.
	DecisionReclaim
	// DecisionStop stops, without a checkpoint, an attempt whose job has ended or that contradicts the state of the
	// core.
	DecisionStop
	// DecisionEnd reports that the core has ended the job permanently, for Reason. The job has no current attempt then.
	DecisionEnd
)

// Decision is an action that the caller must carry out or, if Kind is DecisionEnd, a report that requests no action.
type Decision struct {
	Kind      DecisionKind
	Key       descriptor.JobKey
	Attempt   descriptor.Attempt
	Placement []Assignment
	Reason    string
	// Grace is the time allowed for a checkpoint before the stop.
	Grace time.Duration
}

// JobState is where a job is between its acceptance and its end. A job can return to StateWaiting from every state
// except StateEnded.
type JobState string

const (
	// StateWaiting means that the job is queued, or that it has a claim and waits for the victims to stop.
	StateWaiting JobState = "Waiting"
	// StateHeld means that the job has a current attempt of which not all members run yet.
	StateHeld JobState = "Held"
	// StateRunning means that all members of the current attempt run.
	StateRunning JobState = "Running"
	// StateReclaimed means that the current attempt was requested to stop. When it has stopped, the job is queued
	// again, or ended if it is not idempotent.
	StateReclaimed JobState = "Reclaimed"
	// StateEnded means that the job has ended. Its last attempt may still be stopping.
	StateEnded JobState = "Ended"
)

// Fact is a named figure in an explanation.
type Fact struct {
	Name  string
	Value float64
	Unit  string `json:",omitempty"`
}

// HistoryEntry records one change of a job, such as a start or a failure.
type HistoryEntry struct {
	At time.Time
	// Attempt is 0 if the change does not belong to an attempt.
	Attempt descriptor.Attempt
	// What is the kind of the change, such as "Start" or "Failed".
	What   string
	Reason string `json:",omitempty"`
}

// Explanation describes the state of a job and the reasons for it.
type Explanation struct {
	Key     descriptor.JobKey
	State   JobState
	Attempt descriptor.Attempt
	// Guaranteed reports whether the current attempt runs on the guarantee of its workspace.
	Guaranteed bool
	// Blocker is the reason why a waiting job does not start.
	Blocker string `json:",omitempty"`
	Facts   []Fact `json:",omitempty"`
	// Remedies are changes that may let the job start. If the guarantee is kept for a more urgent job, one entry names
	// it.
	Remedies []string `json:",omitempty"`
	// EstimatedStart is zero if the job is not waiting or no estimate is possible.
	EstimatedStart time.Time
	// Estimate is the basis of EstimatedStart, or the reason why there is no estimate.
	Estimate string
	// History holds the most recent entries, oldest first.
	History []HistoryEntry
}

// GuaranteeStatus reports whether one guaranteed shape of a workspace can be honoured.
type GuaranteeStatus struct {
	Workspace descriptor.WorkspaceID
	Shape     descriptor.Shape
	// Possible is the number of copies of Shape that fit together with all other guarantees.
	Possible int
	// InUse is the number of accelerators in use on the guarantees of the workspace, over all its shapes.
	InUse descriptor.Accelerators
	// Cause describes why some copies are not possible.
	Cause string `json:",omitempty"`
	// Since is the earliest time since which one of the impossible copies has been impossible. It is zero if all
	// copies are possible.
	Since time.Time
}

// Fragmentation measures how much free capacity large shapes cannot use.
type Fragmentation struct {
	Free descriptor.Accelerators
	// Unusable is the part of Free that copies of Largest cannot use.
	Unusable descriptor.Accelerators
	// Share is Unusable divided by Free, or 0 when nothing is free or there is no Largest shape.
	Share float64
	// Largest is the largest shape of an unused guarantee or a waiting job.
	Largest descriptor.Shape
	// LargeWaiting is the number of waiting jobs with at least largeJobAccelerators accelerators.
	LargeWaiting int
	// LongestWait and MeanWait refer to the large jobs that are waiting now.
	LongestWait time.Duration
	MeanWait    time.Duration
	// StartedMeanWait refers to the large jobs that most recently started for the first time, at most 64.
	StartedMeanWait time.Duration
	// Utilisation is the fraction of the accelerators on usable workers that are in use or claimed.
	Utilisation float64
	// CoreUtilisation is the same for CPU cores.
	CoreUtilisation float64
}
