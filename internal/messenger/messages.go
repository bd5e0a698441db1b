package messenger

import (
	"time"

	"persimmontrail/pkg/descriptor"
)

// Kind is the kind of a message between the system's processes.
type Kind string

// A scheduler starts a gang by sending to each of its agents Hold, which reserves resources for a
// short time, Commit, which extends the reservation, Start, and, once all members run, Confirm. It sends each kind
// after all agents have accepted the one before.
const (
	KindReport     Kind = "Report"
	KindHold       Kind = "Hold"
	KindCommit     Kind = "Commit"
	KindStart      Kind = "Start"
	KindConfirm    Kind = "Confirm"
	KindStop       Kind = "Stop"
	KindServe      Kind = "Serve"
	KindOutcome    Kind = "Outcome"
	KindPeer       Kind = "Peer"
	KindJobChanged Kind = "JobChanged"
	KindForward    Kind = "Forward"
	KindExplain    Kind = "Explain"
	KindStatus     Kind = "Status"
)

// AgentState is the state of an agent in its reports.
type AgentState string

const (
	AgentServing AgentState = "Serving"
	// AgentLeaving means that the agent is shutting down and refuses new work.
	AgentLeaving AgentState = "Leaving"
)

// GangAttempt identifies one attempt of a job by Key and Attempt.
type GangAttempt struct {
	Key     descriptor.JobKey
	Attempt descriptor.Attempt
	// Epoch is the epoch of the scheduler that sends the message or, in a report, that of the latest message about the
	// attempt. Agents reject an epoch lower than the highest that they have seen.
	Epoch descriptor.Epoch
}

// TaskState is the state of a task on its agent. All tasks of a gang attempt on one agent are reported in one state.
type TaskState string

// States of a task, in the order in which a task passes through them. The last three are final alternatives.
const (
	TaskHeld      TaskState = "Held"
	TaskCommitted TaskState = "Committed"
	TaskStarting  TaskState = "Starting"
	TaskRunning   TaskState = "Running"
	TaskDone      TaskState = "Done"
	TaskFailed    TaskState = "Failed"
	TaskStopped   TaskState = "Stopped"
)

// Ended reports whether s is a final state, in which the task uses no resources.
func (s TaskState) Ended() bool {
	return s == TaskDone || s == TaskFailed || s == TaskStopped
}

// TaskReport describes the tasks of one gang attempt on one agent.
type TaskReport struct {
	Gang GangAttempt
	// Tasks lists the indexes of the gang's tasks on this agent.
	Tasks []int
	State TaskState
	// Members is the number of agents on which the gang has tasks.
	Members int
	// Confirmed is set once Confirm was received, possibly by an earlier incarnation. Tasks that are not confirmed in time
	// are stopped.
	Confirmed bool
	// Resources is the sum over Tasks.
	Resources descriptor.Resources
	StartedAt time.Time
	// Cause is the reason for a failure or stop.
	Cause string
}

// EndpointReport describes the load of an agent's endpoint.
type EndpointReport struct {
	ID      descriptor.EndpointID
	Service descriptor.ServiceID
	// Slots is the number of requests that can run at the same time, Busy the number of those running, and Queued the
	// number of those waiting for a slot.
	Slots  int
	Busy   int
	Queued int
	// Connections is the maximum number of open connections.
	Connections int
	Healthy     bool
}

// Report is the state that an agent sends regularly to every entry of its region.
type Report struct {
	// Agent identifies one incarnation of the agent. It has a new value each time the agent process starts.
	Agent string
	// Address is the address on which the agent listens.
	Address string `cbor:",omitempty"`
	// Sequence increases with each report of one Agent. Entries ignore a report that is older than the last
	// one that they have received.
	Sequence uint64
	State    AgentState
	Worker   *descriptor.Worker `cbor:",omitempty"`
	Endpoint *EndpointReport    `cbor:",omitempty"`
	// Tasks describes all tasks that have not ended, and ended tasks until an entry has acknowledged them.
	Tasks []TaskReport `cbor:",omitempty"`
	// Usage is the measured resource usage of the worker, which lags behind the actual usage.
	Usage descriptor.Resources
	// Revision is the highest configuration revision that the agent has received in a permit.
	Revision descriptor.Revision
	// FailureDomain and Region come from the agent's settings.
	FailureDomain descriptor.FailureDomainID `cbor:",omitempty"`
	Region        descriptor.RegionID        `cbor:",omitempty"`
	// Full is set if the report is complete. To stay within the agent's limit of bytes sent, other reports omit Address,
	// FailureDomain and Region, and contain only the tasks that changed since the last report that this entry answered
	// without Resend, Worker if it changed since then, and Endpoint if it differs from the last one in such a report.
	Full bool `cbor:",omitempty"`
}

// Permit allows an agent to start tasks and requests until it expires.
type Permit struct {
	Revision descriptor.Revision
	// ValidFor is the remaining validity, counted from when the agent sent its report. 0 means no permit.
	ValidFor time.Duration
	// Out lists the failure domains in which nothing may be started.
	Out []descriptor.FailureDomainID
}

// ReportAnswer is the answer to Report. An entry that cannot grant a permit answers with ValidFor 0. Epoch is the
// highest scheduler epoch of the region that the entry has seen.
type ReportAnswer struct {
	Permit Permit
	// Entries lists the addresses of the entries of the agent's region.
	Entries []string
	// Scheduler reports whether the answering entry is the scheduler of the region.
	Scheduler bool
	Epoch     descriptor.Epoch
	// Resend asks for a full report.
	Resend bool
	// Acknowledged lists the ended gang attempts that the scheduler has recorded, so that the agent may remove them.
	Acknowledged []GangAttempt
}

// HoldRequest asks an agent to reserve resources for tasks of a gang.
type HoldRequest struct {
	Gang    GangAttempt
	Tasks   []int
	Members int
	PerTask descriptor.Resources
	// NonIdempotent is set if one agent must never start the gang twice.
	NonIdempotent bool
	// RunTime is the run time that the job declares.
	RunTime   time.Duration
	Payload   []byte
	Workspace descriptor.WorkspaceID
	Class     descriptor.ClassID
}

// GangRequest is the body of Commit, Start and Confirm.
type GangRequest struct {
	Gang GangAttempt
}

// StopRequest asks an agent to stop the tasks of a gang attempt, or to release its hold.
type StopRequest struct {
	Gang GangAttempt
	// CheckpointFirst asks the agent to write a checkpoint before it stops the tasks, for at most Grace.
	CheckpointFirst bool
	Grace           time.Duration
	Cause           string
	// Agent is the Report.Agent of the receiver. Another incarnation cannot know whether the attempt has started.
	Agent string
}

// GangAnswer is the answer to Hold, Commit, Start, Confirm and Stop.
type GangAnswer struct {
	OK    bool
	State TaskState
	// Refusal is the reason if OK is false.
	Refusal string
	// Epoch is the highest epoch that the agent has seen.
	Epoch descriptor.Epoch
	// NeverStarted is set if the attempt has ended on the agent, which has not started any task of it and will not start
	// one.
	NeverStarted bool
}

// ServeRequest asks an agent to run one request on its endpoint.
type ServeRequest struct {
	// Agent is the Report.Agent of the receiver. Another incarnation at the same address answers NotRun.
	Agent   string
	Request descriptor.Request
	// NonIdempotent is set if one agent must not start the request more than once.
	NonIdempotent bool
	// Deadline is the time left until the request's deadline.
	Deadline time.Duration
}

// OutcomeQuery asks an agent for the result of a request. After the answer NotRun the agent never starts the request.
type OutcomeQuery struct {
	Workspace descriptor.WorkspaceID
	Request   descriptor.RequestID
	// Wait is how long the agent waits for the result of a running request before it answers.
	Wait time.Duration
	// Agent is the Report.Agent to which the request was sent. Another incarnation answers Unknown, since it has no
	// record.
	Agent string
	// Age is how long ago the request was sent. The agent answers Unknown if it no longer keeps records of that age.
	Age time.Duration
}

// ServeAnswer is the answer to Serve, Outcome and Forward.
type ServeAnswer struct {
	Result descriptor.Result
	// Workspace and Request identify the request. Request IDs are unique only within a workspace.
	Workspace descriptor.WorkspaceID
	Request   descriptor.RequestID
	Body      []byte
	Reason    string
	// Running is set with Unknown while the request is queued or running.
	Running bool
	// RetryElsewhere is set with NotRun if another endpoint may still run the request.
	RetryElsewhere bool
	Endpoint       descriptor.EndpointID
}

// EntryState is the state that an entry sends to other entries. It is both the request and the answer of a Peer
// message.
type EntryState struct {
	Entry   descriptor.EntryID
	Address string
	Region  descriptor.RegionID
	// Revision is the highest configuration revision that the sender has.
	Revision descriptor.Revision
	// StoreBasis reports that the sender may issue permits based on a recent read of the store, by itself or by another
	// entry. If it is set, BasisAge is the time since that read began.
	StoreBasis bool
	BasisAge   time.Duration
	// Voter reports that the answer counts towards a majority: the sender has read the configuration from the store since
	// it joined the roster (the stored list of entries), has renewed its membership recently and is not leaving.
	Voter bool
	// Scheduler reports that the sender is the scheduler of its region, in Epoch.
	Scheduler bool
	// Epoch is the highest scheduler epoch of the region that the sender knows.
	Epoch   descriptor.Epoch
	Leaving bool
	// Configuration is set if the receiver has an older revision.
	Configuration *descriptor.Configuration
}

// JobChanged notifies the entries of a region that a job was accepted, was cancelled or has ended.
type JobChanged struct {
	Job       descriptor.Job
	Accepted  time.Time
	Cancelled bool
	// Ended, Result, Reason and EndedAt are set if the job has ended.
	Ended   bool
	Result  descriptor.Result
	Reason  string
	EndedAt time.Time
}

// ForwardRequest passes a request to an entry of another region.
type ForwardRequest struct {
	Request descriptor.Request
	// Deadline is the time left until the request's deadline.
	Deadline time.Duration
}

// ExplainQuery asks the scheduler of a region why a job is in its current state.
type ExplainQuery struct {
	Key descriptor.JobKey
}

// StatusQuery asks the scheduler of a region for the state of the guarantees and the fragmentation of free resources.
type StatusQuery struct{}

// JSONDocument is an answer in JSON that is passed on unchanged to an HTTP client.
type JSONDocument struct {
	JSON []byte
}

// Empty is an answer without content.
type Empty struct{}
