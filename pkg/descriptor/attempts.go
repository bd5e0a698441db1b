package descriptor

// WorkerClock is a time in milliseconds on a worker's own monotonic clock, which restarts with each Incarnation.
type WorkerClock int64

// Fence is the fencing token of a leader. Workers and agents refuse orders to start or stop attempts if they have seen
// a higher fencing token.
type Fence int64

// Incarnation identifies one incarnation of a worker, that is, its life from one start to the next.
type Incarnation struct {
	Worker WorkerID
	// Born is the Unix time in milliseconds at which the incarnation started.
	Born int64
}

// WorkerStatus describes a worker as in its heartbeat: where it is, what it offers and whether it is draining. The
// attempts on the worker are not included.
type WorkerStatus struct {
	_             struct{} `cbor:",toarray"`
	Incarnation   Incarnation
	Service       ServiceID
	FailureDomain FailureDomainID
	// Rack is empty if the heartbeat names no rack.
	Rack RackID
	// Labels are the labels in the heartbeat, from which Rack is taken too. A task whose step has a Label runs only on
	// workers with that label.
	Labels   []string
	Capacity Capacity
	Draining bool
	// DrainRemaining is the minimum time in milliseconds for which a draining worker stays available, or 0 if it did not
	// report one.
	DrainRemaining int64
	// Seq numbers the heartbeats of an incarnation, 0 if they are not numbered. It is not sent to leaders.
	Seq int64 `cbor:"-"`
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
	// Percent is the progress of the attempt, in percent.
	Percent int
	// Usage is the tail latency in milliseconds for a service task, and the cores in use for any other task.
	Usage int64
}

// Outcome says how an attempt ended.
type Outcome string

const (
	// OutcomeDone means that the task succeeded. If one member of a gang ends with it, all members have succeeded.
	OutcomeDone Outcome = "Done"
	// OutcomeFailed means that the task failed. It counts towards Workload.MaxAttempts.
	OutcomeFailed Outcome = "Failed"
	// OutcomeStopped means that the worker was ordered to stop the attempt.
	OutcomeStopped Outcome = "Stopped"
	// OutcomeLeaseExpired means that the worker's hold deadline passed, because the leader did not extend it in time.
	OutcomeLeaseExpired Outcome = "Lapsed"
	// OutcomeGangEnded means that the attempt was ended because another member of the gang ended.
	OutcomeGangEnded Outcome = "Broken"
	// OutcomeGangTimeout means that other members of the gang did not start in time.
	OutcomeGangTimeout Outcome = "Alone"
	// OutcomeRefused means that the worker refused to start the attempt. Only workers that take orders from the answers to
	// their heartbeats list it.
	OutcomeRefused Outcome = "Refused"
)

// AttemptEnd describes the end of an attempt. The worker lists it until it is acknowledged.
type AttemptEnd struct {
	_ struct{} `cbor:",toarray"`
	// Seq numbers the ends that one incarnation of the worker lists, from 1.
	Seq int64
	AttemptID
	Outcome    Outcome
	Checkpoint string
}

// Refusal is the reason why a worker or its agent did not start an attempt.
type Refusal string

const (
	// RefusedFence means that the worker has seen a higher fencing token.
	RefusedFence Refusal = "Fence"
	// RefusedStaleAttempt means that the worker is running another attempt of the task, or that this attempt or a later
	// one has ended on the worker.
	RefusedStaleAttempt Refusal = "Old"
	// RefusedDeadline means that the deadline of the order had passed.
	RefusedDeadline Refusal = "Late"
	// RefusedCapacity means that the worker had too little free capacity.
	RefusedCapacity Refusal = "Room"
	// RefusedTicket stands for the platform's refusal reason "ticket". The system does not treat it specially.
	RefusedTicket Refusal = "Ticket"
	// RefusedInvalid means that the worker could not interpret the order.
	RefusedInvalid Refusal = "Invalid"
	// RefusedBusy means that the worker was overloaded or unhealthy and did not act on the order.
	RefusedBusy Refusal = "Busy"
	// RefusedIncarnation means that the order was for another incarnation of the worker, or that the worker is not
	// running.
	RefusedIncarnation Refusal = "Life"
	// RefusedDraining means that the agent did not forward the order because the worker is draining.
	RefusedDraining Refusal = "Draining"
	// RefusedDelayed means that the agent did not forward the order because it was delayed, or because the agent's own
	// knowledge of the worker is too old.
	RefusedDelayed Refusal = "Delayed"
)
