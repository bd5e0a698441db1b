package messenger

import (
	"time"

	"persimmontrail/pkg/descriptor"
)

// Kind names a message between the system's processes.
type Kind string

// Kinds of messages.
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

// AgentState is the state that an agent announces.
type AgentState string

// States of an agent.
const (
	AgentServing AgentState = "Serving"
	AgentLeaving AgentState = "Leaving"
)

// GangRef names one attempt of a job under one scheduler term.
type GangRef struct {
	Key     descriptor.JobKey
	Attempt descriptor.Attempt
	// Epoch of the scheduler that sends the message. Agents refuse an epoch older than the highest they have seen.
	Epoch descriptor.Epoch
}

// TaskState is the state of a task at its agent.
type TaskState string

// States of a task, in the order in which a task passes through them.
const (
	TaskHeld      TaskState = "Held"
	TaskCommitted TaskState = "Committed"
	TaskStarting  TaskState = "Starting"
	TaskRunning   TaskState = "Running"
	TaskDone      TaskState = "Done"
	TaskFailed    TaskState = "Failed"
	TaskStopped   TaskState = "Stopped"
)

// Ended reports whether a task in state s uses no resources any more.
func (s TaskState) Ended() bool {
	return s == TaskDone || s == TaskFailed || s == TaskStopped
}

// TaskReport tells the state of the tasks of one gang attempt at one agent.
type TaskReport struct {
	Gang GangRef
	// Tasks are the indexes of the gang's tasks at this agent.
	Tasks []int
	State TaskState
	// Members is the number of agents that take part in the gang.
	Members   int
	Confirmed bool
	// Resources is the sum over Tasks.
	Resources descriptor.Resources
	StartedAt time.Time
	// Cause of a failure or stop.
	Cause string
}

// EndpointReport tells the load of the endpoint beside an agent.
type EndpointReport struct {
	ID      descriptor.EndpointID
	Service descriptor.ServiceID
	// Slots is how many requests run at the same time; Busy of them are in use and Queued requests wait.
	Slots  int
	Busy   int
	Queued int
	// Connections is the limit of open connections.
	Connections int
	Healthy     bool
}

// Report is what an agent tells every entry of its region.
type Report struct {
	// Agent is unique for each run of an agent process.
	Agent string
	// Address is where the agent listens.
	Address string `cbor:",omitempty"`
	// Sequence grows with each report of one Agent; older reports are dropped.
	Sequence uint64
	State    AgentState
	Worker   *descriptor.Worker `cbor:",omitempty"`
	Endpoint *EndpointReport    `cbor:",omitempty"`
	// Tasks are all tasks that are not ended, and ended ones until an entry has acknowledged them.
	Tasks []TaskReport `cbor:",omitempty"`
	// Usage is the measured use of the worker and lags behind.
	Usage descriptor.Resources
	// Revision of the configuration that the agent holds.
	Revision descriptor.Revision
	// FailureDomain and Region come from the agent's settings.
	FailureDomain descriptor.FailureDomainID `cbor:",omitempty"`
	Region        descriptor.RegionID        `cbor:",omitempty"`
	// Full reports name all tasks. Others leave out Worker, Endpoint, FailureDomain, Region, Address and tasks that are
	// unchanged since the last answered report, to stay within the byte budget of an agent.
	Full bool `cbor:",omitempty"`
}

// Permit allows an agent to start work until it expires.
type Permit struct {
	Revision descriptor.Revision
	// ValidFor is what is left of the permit, counted from the moment at which the agent sent its report. 0 means no permit.
	ValidFor time.Duration
	// Out are the failure domains in which nothing may start.
	Out []descriptor.FailureDomainID
}

// ReportAnswer answers a Report.
type ReportAnswer struct {
	Permit Permit
	// Entries are the addresses of the entries of the agent's region.
	Entries []string
	// Scheduler reports whether this entry is the scheduler of the region.
	Scheduler bool
	Epoch     descriptor.Epoch
	// Resend asks for a full report.
	Resend bool
	// Acknowledged are the ended gang attempts that the scheduler has recorded; the agent may forget them.
	Acknowledged []GangRef
}

// Hold asks an agent to reserve resources for tasks of a gang.
type Hold struct {
	Gang    GangRef
	Tasks   []int
	Members int
	PerTask descriptor.Resources
	// NonIdempotent gangs are never started twice by one agent.
	NonIdempotent bool
	RunTime       time.Duration
	Payload       []byte
	Workspace     descriptor.WorkspaceID
	Class         descriptor.ClassID
}

// GangStep is the body of Commit, Start and Confirm.
type GangStep struct {
	Gang GangRef
}

// Stop asks an agent to stop the tasks of a gang attempt, or to drop its hold.
type Stop struct {
	Gang GangRef
	// CheckpointFirst asks for a checkpoint, for at most Grace.
	CheckpointFirst bool
	Grace           time.Duration
	Cause           string
	// Agent is the run of the agent that is meant. Another run cannot say that an attempt never started.
	Agent string
}

// GangAnswer answers Hold, Commit, Start, Confirm and Stop.
type GangAnswer struct {
	OK    bool
	State TaskState
	// Refusal says why, when OK is false.
	Refusal string
	// Epoch is the highest that the agent has seen.
	Epoch descriptor.Epoch
	// NeverStarted is set in the answer to Stop when the agent has not started
	// any task of the attempt and will not.
	NeverStarted bool
}

// Serve asks an agent to run one request at its endpoint.
type Serve struct {
	// Agent is the run of the agent that is meant. Another run at the same address answers NotRun.
	Agent   string
	Request descriptor.Request
	// NonIdempotent requests are started at most once by one agent.
	NonIdempotent bool
	// Deadline is what is left of the request's time.
	Deadline time.Duration
}

// OutcomeQuery asks an agent what became of a request. The agent promises never to start a request that it calls NotRun.
type OutcomeQuery struct {
	Workspace descriptor.WorkspaceID
	Request   descriptor.RequestID
	// Wait is how long to wait for a request that is running.
	Wait time.Duration
	// Agent is the Report.Agent to which the request was sent. Another run of the agent answers Unknown, as it cannot know.
	Agent string
	// Age is how long ago the request was sent. The agent answers Unknown about ids older than its memory.
	Age time.Duration
}

// ServeAnswer answers Serve, Outcome and Forward.
type ServeAnswer struct {
	Result descriptor.Result
	// Workspace and Request name the request that is answered; ids are unique only within a workspace.
	Workspace descriptor.WorkspaceID
	Request   descriptor.RequestID
	Body      []byte
	Reason    string
	// Running is set while the request runs.
	Running bool
	// RetryElsewhere is set on NotRun when another endpoint may still run it.
	RetryElsewhere bool
	Endpoint       descriptor.EndpointID
}

// Peer is exchanged between entries, as question and as answer.
type Peer struct {
	Entry   descriptor.EntryID
	Address string
	Region  descriptor.RegionID
	// Revision is the highest configuration revision that the sender holds.
	Revision descriptor.Revision
	// StoreBasis reports that the sender's permits rest on a read of the store that began BasisAge ago.
	StoreBasis bool
	BasisAge   time.Duration
	// Voter reports that the answer counts towards a majority: the sender has read
	// the store since its start, renewed its membership recently and is not leaving.
	Voter bool
	// Scheduler reports that the sender schedules for its region, in Epoch.
	Scheduler bool
	// Epoch is the highest scheduler epoch of the region that the sender knows.
	Epoch   descriptor.Epoch
	Leaving bool
	// Configuration is sent to an entry that holds an older revision.
	Configuration *descriptor.Configuration
}

// JobChanged tells the scheduler of a region that a job was accepted or cancelled.
type JobChanged struct {
	Job       descriptor.Job
	Accepted  time.Time
	Cancelled bool
	// Ended, Result, Reason and EndedAt are set when the job has ended.
	Ended   bool
	Result  descriptor.Result
	Reason  string
	EndedAt time.Time
}

// Forward passes a request to an entry of another region.
type Forward struct {
	Request  descriptor.Request
	Deadline time.Duration
}

// ExplainQuery asks the scheduler of a region about a job.
type ExplainQuery struct {
	Key descriptor.JobKey
}

// StatusQuery asks the scheduler of a region for its guarantees and fragmentation.
type StatusQuery struct{}

// Document is an answer in JSON that is passed on to a caller as it is.
type Document struct {
	JSON []byte
}

// Empty is an answer without content.
type Empty struct{}
