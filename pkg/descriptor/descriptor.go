// Package descriptor holds the types that describe a deployment and its work: ids, units, configuration, workers, jobs,
// workloads and requests.
//
// A workspace is a customer. Its guarantees are the shapes, that is, sets of adjacent accelerators, that it can reclaim
// at any time. Accelerators are adjacent if they lie within one unit: a worker, a rack or a failure domain. A class is
// a kind of work with a target for its completion time. A failure domain is a part of the fleet that fails as a unit,
// and a region is a group of failure domains. An entry is a process that accepts jobs and requests.
//
// An attempt is a numbered start of a job, or of a task of a workload. A gang is the tasks of one attempt of a job, or
// of one step of a workload, which start together or not at all. The leader is the entry that decides where the tasks
// of workloads run. A worker's hold deadline is the time on its own clock until which it keeps its attempts without
// word from the leader.
package descriptor

import "time"

// MaxGang is the maximum number of tasks in one job.
const MaxGang = 256

// Configuration is the operators' configuration for jobs and requests. It is always replaced as a whole. The
// configuration for workloads is Plan.
type Configuration struct {
	// Revision is assigned when the configuration is accepted. Later configurations have higher revisions.
	Revision Revision
	// AcceptedAt and AcceptedBy are set when the configuration is accepted.
	AcceptedAt time.Time
	AcceptedBy string `json:",omitempty"`
	// Workspaces have distinct names.
	Workspaces []Workspace
	// Classes have distinct names.
	Classes []Class
	// FailureDomains have distinct names. Each belongs to one region.
	FailureDomains []FailureDomain
	// Fleet lists the racks that operators expect. It is used to check that all guarantees fit at the same time.
	Fleet []RackSize `json:",omitempty"`
}

// Workspace is a customer with guaranteed accelerators.
type Workspace struct {
	Name WorkspaceID
	// Guarantees lists the shapes that the workspace can reclaim at any time, even while all other workspaces use theirs.
	Guarantees []Shape `json:",omitempty"`
	// TokenHash is the SHA-256 of the caller's token in hex. If it is empty, no caller may act for the workspace while
	// authentication is on.
	TokenHash string `json:",omitempty"`
}

// Shape is a guaranteed set of adjacent accelerators.
type Shape struct {
	// Accelerators is the size of the set, at least 1.
	Accelerators Accelerators
	// Adjacency is the kind of unit, such as a rack, one of which must contain the whole set.
	Adjacency Level
	// Count is the number of such sets that are guaranteed; 0 means 1.
	Count int `json:",omitempty"`
	// Region limits the shape to one region; empty means any region.
	Region RegionID `json:",omitempty"`
}

// Copies returns the number of sets that are guaranteed: Count, or 1 if Count is 0.
func (s Shape) Copies() int {
	if s.Count == 0 {
		return 1
	}
	return s.Count
}

// Class is a kind of work with a target for its completion time.
type Class struct {
	Name ClassID
	// FinishWithin is the target for the time from acceptance to completion of a job or request.
	FinishWithin Duration
	// Share is the part of the workspace's guarantee that the class may claim, above 0 and at most 1.
	Share Share
	// Service names the service that requests of this class go to; empty for classes of jobs only.
	Service ServiceID `json:",omitempty"`
	// NonIdempotent means that the work may run at most once, as in the classes Quote and Nesting of the examples.
	NonIdempotent bool `json:",omitempty"`
}

// FailureDomain is a part of the fleet that fails as a unit.
type FailureDomain struct {
	Name   FailureDomainID
	Region RegionID
	// Out means that operators have taken the failure domain out of service, so that no task may start there.
	Out bool `json:",omitempty"`
}

// RackSize describes identical racks that operators expect in a failure domain.
type RackSize struct {
	FailureDomain FailureDomainID
	// Racks is the number of such racks, at least 1.
	Racks int
	// Workers is the number of workers in each rack, at least 1.
	Workers int
	// Accelerators is the number of accelerators in each worker; it may be 0.
	Accelerators Accelerators
}

// Worker describes a VM that runs tasks.
type Worker struct {
	ID            WorkerID
	Rack          RackID
	FailureDomain FailureDomainID
	Region        RegionID
	Cores         Cores
	Memory        Megabytes
	Accelerators  Accelerators
	// Guard means that the worker throttles or stops tasks that exceed their declared resources.
	Guard bool
}

// Resources are the resources that one task needs.
type Resources struct {
	Cores        Cores
	Memory       Megabytes
	Accelerators Accelerators
}

// Job consists of one or more tasks. Those of one attempt form a gang: they start together or not at all.
type Job struct {
	ID        JobID
	Workspace WorkspaceID
	Class     ClassID
	// Region is the region in which the job runs; empty means the region of the entry that accepts it.
	Region RegionID `json:",omitempty"`
	// Tasks is the number of tasks, from 1 to MaxGang.
	Tasks int
	// PerTask holds the resources of one task, at least one of which must be above 0.
	PerTask Resources
	// Adjacency is the kind of unit, such as a rack, one of which must contain all accelerators of the gang.
	Adjacency Level
	// DeclaredRunTime is the caller's estimate of the run time, which is often far off.
	DeclaredRunTime Duration
	// NonIdempotent means that the job may run at most once.
	NonIdempotent bool `json:",omitempty"`
	// Payload is passed to the worker unchanged.
	Payload []byte `json:",omitempty"`
}

// Accelerators returns the number of accelerators that the whole gang needs.
func (j *Job) Accelerators() Accelerators {
	return Accelerators(j.Tasks) * j.PerTask.Accelerators
}

// JobKey identifies a job within the deployment.
type JobKey struct {
	Workspace WorkspaceID
	Job       JobID
}

// String returns "workspace/job", under which the store keeps the record of the job.
func (k JobKey) String() string { return string(k.Workspace) + "/" + string(k.Job) }

// Key returns the workspace and id of j. The id alone is unique only within the workspace.
func (j *Job) Key() JobKey { return JobKey{Workspace: j.Workspace, Job: j.ID} }

// Request is a call to a service that returns one response.
type Request struct {
	ID        RequestID
	Workspace WorkspaceID
	Class     ClassID
	Body      []byte `json:",omitempty"`
	// Repeated means that the caller may have sent this ID before. If the store cannot be asked whether a non-idempotent
	// request ran, the result is Unknown for a repeated request and NotRun for a new one.
	Repeated bool `json:",omitempty"`
}

// Result is the result of a request or job.
type Result string

const (
	// ResultDone means that the work finished and its complete output is available.
	ResultDone Result = "Done"
	// ResultNotRun means that the work did not start and will not.
	ResultNotRun Result = "NotRun"
	// ResultUnknown means that the work may have run. Callers can repeat the call later with the same id.
	ResultUnknown Result = "Unknown"
	// ResultFailed means that the work ran and ended with an error.
	ResultFailed Result = "Failed"
)
