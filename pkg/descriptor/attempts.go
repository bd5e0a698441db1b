package descriptor

// WorkerClock is a time in milliseconds on a worker's own monotonic clock, which restarts with each incarnation.
type WorkerClock int64

// Fence is the fencing token of a leader. Workers and agents refuse orders with a lower one than they have seen.
type Fence int64

// Incarnation identifies one incarnation of a worker, its period between two starts.
type Incarnation struct {
	Worker WorkerID
	// Born is the Unix time in milliseconds at which the incarnation started.
	Born int64
}

// WorkerStatus is the status that a worker reports in a heartbeat.
type WorkerStatus struct {
	_             struct{} `cbor:",toarray"`
	Incarnation   Incarnation
	Service       ServiceID
	FailureDomain FailureDomainID
	Rack          RackID
	// Labels include the worker's kind and rack.
	Labels   []string
	Capacity Capacity
	Draining bool
	// DrainRemaining is the least time in milliseconds that a draining worker stays available, or 0 if it did not report
	// one.
	DrainRemaining int64
}

// AttemptID identifies one attempt of a task.
type AttemptID struct {
	_    struct{} `cbor:",toarray"`
	Task TaskID
	// Attempt numbers the attempts of a task from 1.
	Attempt int
}

// AttemptStatus is the status of an attempt that is running on a worker.
type AttemptStatus struct {
	_ struct{} `cbor:",toarray"`
	AttemptID
	// Checkpoint is the latest checkpoint, passed to the next attempt of the task.
	Checkpoint string
	// Percent is the progress of the attempt.
	Percent int
	// Usage is the tail latency in milliseconds for a service task, and the cores in use for any other task.
	Usage int64
}

// Outcome is how an attempt ended.
type Outcome string

// Outcomes.
const (
	// OutcomeDone means that the task succeeded. For a gang, one such end applies to all members.
	OutcomeDone Outcome = "Done"
	// OutcomeFailed means that the task failed. It counts towards Workload.MaxAttempts.
	OutcomeFailed Outcome = "Failed"
	// OutcomeStopped means that the worker was ordered to stop the attempt.
	OutcomeStopped Outcome = "Stopped"
	// OutcomeLeaseExpired means that the worker's lease expired, because its hold deadline was not extended in time.
	OutcomeLeaseExpired Outcome = "Lapsed"
	// OutcomeGangEnded means that another member of the gang ended.
	OutcomeGangEnded Outcome = "Broken"
	// OutcomeGangTimeout means that the other members of the gang did not start in time.
	OutcomeGangTimeout Outcome = "Alone"
)

// AttemptEnd is the end of an attempt, which the worker lists until it is acknowledged.
type AttemptEnd struct {
	_ struct{} `cbor:",toarray"`
	// Seq numbers the ends of one incarnation of the worker from 1.
	Seq int64
	AttemptID
	Outcome    Outcome
	Checkpoint string
}

// Refusal is the reason why a worker did not start an attempt.
type Refusal string

// Refusals.
const (
	// RefusedFence means that the worker has seen a higher fencing token.
	RefusedFence Refusal = "Fence"
	// RefusedStaleAttempt means that the worker runs another attempt of the task, or has ended this or a later one.
	RefusedStaleAttempt Refusal = "Old"
	// RefusedDeadline means that the deadline of the order had passed.
	RefusedDeadline Refusal = "Late"
	// RefusedCapacity means that the worker had too little free capacity.
	RefusedCapacity Refusal = "Room"
	// RefusedTicket is the platform's reason "ticket". The system does not treat it specially.
	RefusedTicket Refusal = "Ticket"
	// RefusedInvalid means that the worker could not interpret the order.
	RefusedInvalid Refusal = "Invalid"
	// RefusedBusy means that the worker was overloaded or unhealthy and did not act on the order.
	RefusedBusy Refusal = "Busy"
	// RefusedIncarnation means that the order was for another incarnation.
	RefusedIncarnation Refusal = "Life"
	// RefusedDraining means that the agent did not forward the order because the worker is draining.
	RefusedDraining Refusal = "Draining"
)
