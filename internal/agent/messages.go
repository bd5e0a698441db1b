// Package agent is the agent beside one worker: the only process that sends orders to that worker. The package is part
// of the program persimmontrail-node; the program persimmontrail has an agent in package supervisor.
//
// It keeps no durable state. A leader sends it orders and hold deadlines. A hold deadline is the end of the worker's
// lease, after which the worker ends its attempts. The agent reports which attempts the worker lists. Orders carry the
// leader's fence (fencing token), and both agent and worker refuse a fence lower than the highest they have seen. An
// incarnation is a worker's period between two starts; the worker's clock restarts with it. A node is identified by a
// name and runs an agent with its worker, or an entry.
package agent

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"persimmontrail/internal/encoder"
	"persimmontrail/pkg/descriptor"
)

// SyncPath is the HTTP path of the agent's only call.
const SyncPath = "/sync"

// SyncRequest is a leader's call: orders to execute and a poll for a newer report.
type SyncRequest struct {
	_     struct{} `cbor:",toarray"`
	Fence descriptor.Fence
	// KnownVersion is the version of the last report that the leader has, 0 if it has none. The agent answers a poll at
	// once if its report has another version.
	KnownVersion uint64
	// KnownLife is the life of the newest report that the leader has accepted, 0 if there is none.
	KnownLife Life
	// Wait bounds how long the agent waits for a newer report. A call with orders does not wait for one.
	Wait time.Duration
	// Incarnation is the worker's incarnation to which all of the following fields apply. It is zero while the leader does
	// not know it.
	Incarnation descriptor.Incarnation
	// HoldUntil is the time on the worker's own clock until which the worker keeps its attempts. It is absolute, so a
	// late delivery cannot extend it.
	HoldUntil descriptor.WorkerClock
	// AckedSeq acknowledges all ended attempts up to this sequence number: the leader has recorded them durably.
	AckedSeq int64
	// Specs holds the specs of Starts in an encoded call, each of them once.
	Specs  []string
	Starts []Start
	Stops  []descriptor.AttemptID
}

// Start is an order to start an attempt. A worker that already has the attempt answers that it is started.
type Start struct {
	_ struct{} `cbor:",toarray"`
	descriptor.AttemptID
	// Spec is not encoded; SpecIndex is its index in SyncRequest.Specs.
	Spec       string `cbor:"-"`
	SpecIndex  int
	Checkpoint string
	// Deadline is the time on the worker's clock after which the start must not take effect.
	Deadline descriptor.WorkerClock
}

// Encode returns the encoded call. The starts of one workload share its spec, which may be far larger than the rest.
func (r SyncRequest) Encode() ([]byte, error) {
	indexes := map[string]int{}
	r.Specs, r.Starts = nil, slices.Clone(r.Starts)
	for i := range r.Starts {
		s := &r.Starts[i]
		index, ok := indexes[s.Spec]
		if !ok {
			index = len(r.Specs)
			indexes[s.Spec] = index
			r.Specs = append(r.Specs, s.Spec)
		}
		s.SpecIndex = index
	}
	return encoder.Marshal(r)
}

// ErrCall means that a call cannot be decoded.
var ErrCall = errors.New("invalid call")

// DecodeSyncRequest decodes a call.
func DecodeSyncRequest(data []byte) (SyncRequest, error) {
	var r SyncRequest
	if err := encoder.UnmarshalMessage(data, &r); err != nil {
		return r, fmt.Errorf("%w: %w", ErrCall, err)
	}
	for i := range r.Starts {
		s := &r.Starts[i]
		if s.SpecIndex < 0 || s.SpecIndex >= len(r.Specs) {
			return r, fmt.Errorf("%w: start %d has spec %d of %d", ErrCall, i, s.SpecIndex, len(r.Specs))
		}
		s.Spec, s.SpecIndex = r.Specs[s.SpecIndex], 0
	}
	r.Specs = nil
	return r, nil
}

// Life identifies one run of an agent's process. It is a random number, so that lives have no order of their own: of two
// lives on one node, the later one is that which has answered a call with the other as KnownLife.
type Life uint64

// Report is the agent's answer to a SyncRequest. Reports come over several connections and may overtake each other.
type Report struct {
	_    struct{} `cbor:",toarray"`
	Node string
	Life Life
	// Seq numbers the reports of a life in the order of the states that they show.
	Seq uint64
	// KnownLife is that of the call.
	KnownLife Life
	Version   uint64
	// Fence is the highest fence that the agent has seen.
	Fence descriptor.Fence
	// HasStatus is true if Status holds the last heartbeat of an incarnation that the worker itself has confirmed.
	HasStatus bool
	Status    descriptor.WorkerStatus
	// WorkerGone is true if the worker announced its shutdown or has no process any more, so that nothing runs.
	WorkerGone bool
	// ListsCurrent is true if Clock, Running and Ended were read from the worker under Fence.
	ListsCurrent bool
	Clock        descriptor.WorkerClock
	Running      []descriptor.AttemptStatus
	Ended        []descriptor.AttemptEnd
	// AllEnds is true if Ended holds all ends that are not acknowledged.
	AllEnds bool
	// Results are the results of the call's starts, then of its stops.
	Results []Result
}

// Result is what became of a start or a stop. A start that is neither Started nor Refused may have taken effect or may
// do so until its deadline.
type Result struct {
	_ struct{} `cbor:",toarray"`
	descriptor.AttemptID
	Started bool
	// Stopped is true if the worker answered the stop.
	Stopped bool
	// Refused is empty for a stop, if the worker has the attempt, or if the result is unknown.
	Refused descriptor.Refusal
	// Clock is the worker's clock in its answer, 0 if there was none.
	Clock descriptor.WorkerClock
}

// StartAnswer is a worker's answer to a start.
type StartAnswer struct {
	Clock   descriptor.WorkerClock
	Refused descriptor.Refusal
}

// AttemptLists is a worker's answer to a HoldRequest: all of its running attempts, and the first of the ended ones that
// are not acknowledged, in the order of their ends.
type AttemptLists struct {
	Incarnation descriptor.Incarnation
	Clock       descriptor.WorkerClock
	Running     []descriptor.AttemptStatus
	Ended       []descriptor.AttemptEnd
	// AllEnds is true if no end is left out of Ended. Otherwise an attempt that is in neither list may have ended.
	AllEnds bool
}

// Errors of calls to a worker.
var (
	// ErrNoAnswer means that the call may have taken effect or may do so later.
	ErrNoAnswer = errors.New("worker did not answer")
	// ErrOtherIncarnation means that the worker answered in another incarnation than the one addressed, and did not
	// carry out the call.
	ErrOtherIncarnation = errors.New("another incarnation of the worker answered")
	// ErrNoProcess means that nothing listens at the worker's address on the agent's own VM.
	ErrNoProcess = errors.New("no process listens at the worker address")
	// ErrConnectionLost means that the connection of the last poll is gone, and the call was not sent.
	ErrConnectionLost = errors.New("connection to the worker was lost")
	// ErrRefused means that the worker refused the call, which had no effect.
	ErrRefused = errors.New("worker refused the call")
)

// HoldRequest is the agent's poll of the worker: it extends the hold deadline, acknowledges ended attempts and asks for
// the lists.
type HoldRequest struct {
	Incarnation descriptor.Incarnation
	Fence       descriptor.Fence
	// AckedSeq acknowledges all ended attempts up to this sequence number.
	AckedSeq int64
	// HoldUntil is the hold deadline, 0 if the leader has set none.
	HoldUntil descriptor.WorkerClock
	// Wait is how long the worker may wait for an attempt to end before it answers.
	Wait time.Duration
	// SameConnection means that the poll must be sent on the connection of the last successful one, or else not at all. A
	// worker that was restarted under the same id takes an acknowledgement that was meant for its former incarnation; on
	// one connection the incarnation stays the same.
	SameConnection bool
}
