// Package replayer replays recorded or generated work against the scheduler
// core on a virtual clock and compares policies on the same trace.
package replayer

import (
	"time"

	"persimmontrail/pkg/descriptor"
)

// Format is the first field of a trace and names the version of the format.
const Format = "persimmontrail-trace/1"

// Trace is a header and events in the order of their time offsets.
type Trace struct {
	Header Header
	Events []Event
}

// Header is the first line of a trace.
type Header struct {
	Format string
	Name   string
	// Deployment is the user whose fleet and classes the trace shows.
	Deployment string
	// Seed of the generator; 0 for a recorded trace.
	Seed uint64 `json:",omitempty"`
	// Start is the time of offset 0.
	Start time.Time
	// Duration is the window over which utilisation is measured. Work that is left continues after it.
	Duration descriptor.Duration
	// CheckpointTime is how long a task needs to write a checkpoint, and to load it again.
	CheckpointTime descriptor.Duration
	Configuration  descriptor.Configuration
	Fleet          []descriptor.Worker
	Outcomes       []Outcome `json:",omitempty"`
}

// OutcomeName names a check of a replay.
type OutcomeName string

// Outcomes that a trace can state.
const (
	// OutcomeGuaranteeViolations bounds the number of violations of guarantees.
	OutcomeGuaranteeViolations OutcomeName = "GuaranteeViolations"
	// OutcomeUrgentWithinTarget requires the p99 completion time of Class to be within its target.
	OutcomeUrgentWithinTarget OutcomeName = "UrgentWithinTargetAtP99"
	// OutcomeLargeWait bounds the p95 wait of large jobs as a ratio of the baseline's.
	OutcomeLargeWait OutcomeName = "LargeWaitP95ToBaseline"
	// OutcomeUtilisation bounds how many points utilisation may lie below the baseline's.
	OutcomeUtilisation OutcomeName = "UtilisationPointsBelowBaseline"
	// OutcomeUnaccounted bounds accepted jobs without an end.
	OutcomeUnaccounted OutcomeName = "UnaccountedJobs"
	// OutcomeWrongRefusals bounds jobs that were refused or ended although they could run.
	OutcomeWrongRefusals OutcomeName = "WrongRefusals"
	// OutcomePartialGangs bounds gangs that run in part for longer than the gang protocol allows.
	OutcomePartialGangs OutcomeName = "PartialGangs"
	// OutcomeRemovedDomain bounds starts in a failure domain that is out.
	OutcomeRemovedDomain OutcomeName = "StartsInRemovedDomain"
	// OutcomeRepeatedRuns bounds jobs that are not idempotent and ran more than once.
	OutcomeRepeatedRuns OutcomeName = "RepeatedNonIdempotentRuns"
	// OutcomeInvalidDecisions bounds decisions that cannot be carried out, such as placements without room.
	OutcomeInvalidDecisions OutcomeName = "InvalidDecisions"
)

var outcomeNames = []OutcomeName{
	OutcomeGuaranteeViolations, OutcomeUrgentWithinTarget, OutcomeLargeWait, OutcomeUtilisation, OutcomeUnaccounted, OutcomeWrongRefusals,
	OutcomePartialGangs, OutcomeRemovedDomain, OutcomeRepeatedRuns, OutcomeInvalidDecisions,
}

// Outcome is what a trace states about its replay with the guaranteed policy.
type Outcome struct {
	Name OutcomeName
	// Limit is the largest value that meets the outcome. UrgentWithinTargetAtP99 uses the target of Class instead.
	Limit float64 `json:",omitempty"`
	// Class is needed by UrgentWithinTargetAtP99 only.
	Class descriptor.ClassID `json:",omitempty"`
}

// EventKind says what happens.
type EventKind string

// Kinds of events.
const (
	JobArrives           EventKind = "JobArrives"
	JobCancelled         EventKind = "JobCancelled"
	WorkerFails          EventKind = "WorkerFails"
	WorkerReturns        EventKind = "WorkerReturns"
	WorkerTurnsBad       EventKind = "WorkerTurnsBad"
	WorkerTurnsGood      EventKind = "WorkerTurnsGood"
	FailureDomainOut     EventKind = "FailureDomainOut"
	FailureDomainIn      EventKind = "FailureDomainIn"
	ConfigurationChanges EventKind = "ConfigurationChanges"
)

// Event is one line of a trace after the header.
type Event struct {
	// At is the offset from Header.Start.
	At   descriptor.Duration
	Kind EventKind
	// Job and RunTime are set on JobArrives. RunTime is the actual run time, which the scheduler is not told.
	Job     *descriptor.Job     `json:",omitempty"`
	RunTime descriptor.Duration `json:",omitempty"`
	// Fails marks a job that fails wherever it starts.
	Fails bool `json:",omitempty"`
	// Key names the job on JobCancelled.
	Key *descriptor.JobKey `json:",omitempty"`
	// Worker is set on the kinds that start with Worker. A bad worker fails everything that starts there.
	Worker descriptor.WorkerID `json:",omitempty"`
	// FailureDomain is set on FailureDomainOut and FailureDomainIn.
	FailureDomain descriptor.FailureDomainID `json:",omitempty"`
	// Configuration is set on ConfigurationChanges. Its failure domains are ignored: the events above state which are out.
	Configuration *descriptor.Configuration `json:",omitempty"`
}
