// Package replayer replays recorded or generated traces against the scheduler core on a virtual clock and compares
// scheduling policies on the same trace.
//
// The scheduler core is the scheduling logic of one region, without I/O. The guaranteed policy honours the guarantees
// of workspaces, that is, the accelerators that each workspace is entitled to, as a list of shapes. A shape is a number
// of accelerators that lie within one adjacency unit, that is, one worker, rack or failure domain. Capacity that a
// guarantee leaves unused may be borrowed by other jobs and is reclaimed from them on demand. The baseline policy
// places jobs first fit in order of arrival, without guarantees.
//
// An attempt is a numbered start of a job on a placement, that is, on workers with a list of tasks for each. It runs the tasks
// of the job as the members of a gang, which start together. A partial gang is one that runs without some of its members. A
// class is a group of jobs with a common target for their completion time. An agent is the process beside a worker that starts
// the worker's tasks.
//
// An outcome is a requirement that a trace states for a figure of its replay, such as a limit for the number of partial gangs.
package replayer

import (
	"time"

	"persimmontrail/pkg/descriptor"
)

// Format is the value of the first field of a trace and identifies the version of the format.
const Format = "persimmontrail-trace/1"

// Trace consists of a header and of events in ascending order of their offsets.
type Trace struct {
	Header Header
	Events []Event
}

// Header is the first line of a trace.
type Header struct {
	Format string
	Name   string
	// Deployment is the name of the installation whose fleet and classes the trace contains.
	Deployment string
	// Seed is the seed of the generator; 0 for a recorded trace.
	Seed uint64 `json:",omitempty"`
	// Start is the virtual time at which the replay begins. The offsets of events count from it.
	Start time.Time
	// Duration is the period over which utilisation is measured. Unfinished jobs continue after it.
	Duration descriptor.Duration
	// CheckpointTime is the time that a task takes to write a checkpoint. Loading one takes the same time.
	CheckpointTime descriptor.Duration
	Configuration  descriptor.Configuration
	Fleet          []descriptor.Worker
	// Outcomes are the requirements that the replay of the trace must meet.
	Outcomes []Outcome `json:",omitempty"`
}

// OutcomeName identifies the figure of a replay that an Outcome bounds.
type OutcomeName string

// Each constant describes the requirement of the outcome with this name. Bounds are upper bounds, given by Outcome.Limit.
const (
	// OutcomeGuaranteeViolations bounds the number of guarantee violations.
	OutcomeGuaranteeViolations OutcomeName = "GuaranteeViolations"
	// OutcomeUrgentWithinTarget requires the p99 completion time of Class to be within its target, and at least one job of Class
	// to be completed.
	OutcomeUrgentWithinTarget OutcomeName = "UrgentWithinTargetAtP99"
	// OutcomeLargeWait bounds the p95 wait of large jobs, those with at least MinLargeJobAccelerators, as a ratio to their p95
	// wait with the baseline policy. The ratio counts as 1 if the latter is 0.
	OutcomeLargeWait OutcomeName = "LargeWaitP95ToBaseline"
	// OutcomeUtilisation bounds how many percentage points utilisation may lie below the baseline's.
	OutcomeUtilisation OutcomeName = "UtilisationPointsBelowBaseline"
	// OutcomeUnaccounted bounds the accepted jobs that have not ended by the end of the replay.
	OutcomeUnaccounted OutcomeName = "UnaccountedJobs"
	// OutcomeWrongRefusals bounds the jobs that were refused or ended although they could run.
	OutcomeWrongRefusals OutcomeName = "WrongRefusals"
	// OutcomePartialGangs bounds the gangs that ran on without a lost member until partialGangLimit (10 s) after the loss was
	// detected, or until the core started another attempt of the job.
	OutcomePartialGangs OutcomeName = "PartialGangs"
	// OutcomeStartsInRemovedDomain bounds the starts in a failure domain that is out of service.
	OutcomeStartsInRemovedDomain OutcomeName = "StartsInRemovedDomain"
	// OutcomeRepeatedRuns bounds the repeated starts of jobs that are not idempotent.
	OutcomeRepeatedRuns OutcomeName = "RepeatedNonIdempotentRuns"
	// OutcomeInvalidDecisions bounds the decisions that cannot be carried out, such as placements without room.
	OutcomeInvalidDecisions OutcomeName = "InvalidDecisions"
)

var outcomeNames = []OutcomeName{
	OutcomeGuaranteeViolations, OutcomeUrgentWithinTarget, OutcomeLargeWait, OutcomeUtilisation, OutcomeUnaccounted, OutcomeWrongRefusals,
	OutcomePartialGangs, OutcomeStartsInRemovedDomain, OutcomeRepeatedRuns, OutcomeInvalidDecisions,
}

// Outcome is a requirement that a trace states for a figure of its replay with the guaranteed policy.
type Outcome struct {
	Name OutcomeName
	// Limit is the largest value that meets the outcome. UrgentWithinTargetAtP99 uses the target of Class instead.
	Limit float64 `json:",omitempty"`
	// Class is needed by UrgentWithinTargetAtP99 only.
	Class descriptor.ClassID `json:",omitempty"`
}

// EventKind identifies what changes at an event: a job, a worker, a failure domain or the configuration.
type EventKind string

const (
	// JobArrives submits a job.
	JobArrives EventKind = "JobArrives"
	// JobCancelled requests the cancellation of a job that arrived earlier.
	JobCancelled EventKind = "JobCancelled"
	// WorkerFails takes a worker down. Its tasks are lost.
	WorkerFails EventKind = "WorkerFails"
	// WorkerReturns brings a failed worker back, without tasks.
	WorkerReturns EventKind = "WorkerReturns"
	// WorkerTurnsBad makes every task fail that starts on the worker from then on. The worker stays up.
	WorkerTurnsBad EventKind = "WorkerTurnsBad"
	// WorkerTurnsGood ends the effect of WorkerTurnsBad.
	WorkerTurnsGood EventKind = "WorkerTurnsGood"
	// FailureDomainOut takes a failure domain out of service: no job may start there.
	FailureDomainOut EventKind = "FailureDomainOut"
	// FailureDomainIn returns a failure domain to service.
	FailureDomainIn EventKind = "FailureDomainIn"
	// ConfigurationChanges replaces the configuration.
	ConfigurationChanges EventKind = "ConfigurationChanges"
)

// Event is one line of a trace after the header.
type Event struct {
	// At is the offset from Header.Start.
	At   descriptor.Duration
	Kind EventKind
	// Job is set on JobArrives.
	Job *descriptor.Job `json:",omitempty"`
	// RunTime is the actual run time of Job, which the scheduler is not told.
	RunTime descriptor.Duration `json:",omitempty"`
	// Fails is set on JobArrives for a job that fails on every worker.
	Fails bool `json:",omitempty"`
	// Key names the job on JobCancelled.
	Key *descriptor.JobKey `json:",omitempty"`
	// Worker is set on WorkerFails, WorkerReturns, WorkerTurnsBad and WorkerTurnsGood.
	Worker descriptor.WorkerID `json:",omitempty"`
	// FailureDomain is set on FailureDomainOut and FailureDomainIn.
	FailureDomain descriptor.FailureDomainID `json:",omitempty"`
	// Configuration is set on ConfigurationChanges. Its failure domains are ignored: FailureDomainOut and
	// FailureDomainIn determine which are out of service.
	Configuration *descriptor.Configuration `json:",omitempty"`
}
