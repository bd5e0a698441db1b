// Package enforcer implements the state machine of an agent, the process that
// manages a worker, an endpoint, or both. The worker runs the tasks of jobs, the
// endpoint serves requests. The enforcer decides which tasks and requests may
// start. It performs I/O only through function fields. The package is part of
// the program persimmontrail; persimmontrail-node has an agent of its own.
//
// An attempt is a numbered start of a job. A gang is the tasks of one attempt,
// which start together or not at all; the agents that run them are its members.
// A scheduler starts a gang in four steps: a hold reserves resources on each
// member, a commit prolongs the reservation, a start runs the tasks, and a
// confirmation states that the gang runs on all members. The epoch in each
// message numbers the scheduler's term; messages with an epoch below the highest
// seen are refused.
//
// An entry is a server to which the agent sends its reports. Its answers carry
// permits: short-lived permissions to start work. A permit names the revision,
// the number of the configuration that it is based on, and lists the failure
// domains that are out, in which nothing may start. An agent is isolated if no
// entry has answered its reports for IsolationTimeout; it then stops its tasks.
//
// Each run of the agent process is an incarnation. Each task has a lease at the
// worker, which stops the task unless the agent renews the lease in time. Tasks
// thus survive a short restart of the agent, and the new incarnation adopts them.
//
// A non-idempotent job or request must run at most once. An endpoint runs as many
// requests at a time as it has slots; other requests wait in a queue of the agent.
package enforcer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// Timeouts of the gang protocol and limits of permits and records, see docs/design.md section 4.
const (
	// HoldTimeout is the time after which a hold without a commit expires.
	HoldTimeout = 5 * time.Second
	// CommitTimeout is the time after which a commit without a start expires.
	CommitTimeout = 10 * time.Second
	// ConfirmTimeout is the time after which a started gang without a confirmation is stopped.
	ConfirmTimeout = 10 * time.Second
	// MaxPermitValidity limits how long a permit is valid, even if the permit states a longer time.
	MaxPermitValidity = 2 * time.Second
	// IsolationTimeout is the time after which the agent considers itself isolated, counted from when it sent the last
	// report that was answered.
	IsolationTimeout = 30 * time.Second
	// LeaseDuration is the duration of a task's lease. The worker stops a task whose lease is not renewed in time.
	LeaseDuration = 5 * time.Second
	// IsolationGrace limits the time for checkpoints on an isolated agent. Together with IsolationTimeout it stays
	// below the 35 s of silence after which schedulers regard the tasks of an agent as stopped. An isolated agent
	// renews no leases, so they have expired by then too.
	IsolationGrace = 4 * time.Second
	// leaseMargin is added to the lease expiry assumed by the agent, because the worker may process a renewal after the
	// agent's call has timed out.
	leaseMargin = time.Second
	// retentionPeriod is the minimum time for which the records of attempts and ended requests are retained.
	retentionPeriod = 10 * time.Minute
	// maxRetained limits the number of attempt records and, separately, of request records. Each set takes about 4 MB
	// at this limit.
	maxRetained = 16384
)

// Errors returned when a message is refused.
var (
	ErrStaleEpoch   = errors.New("epoch is older than the highest seen")
	ErrStaleAttempt = errors.New("attempt is older than the highest seen, or has ended")
	ErrNoPermit     = errors.New("no valid permit")
	ErrDomainOut    = errors.New("failure domain is out")
	ErrLeaving      = errors.New("agent is leaving")
	ErrNoWorker     = errors.New("worker is not known yet")
	ErrNoResources  = errors.New("resources are not free")
	ErrUnknownGang  = errors.New("gang attempt is not known here")
	ErrWrongState   = errors.New("gang attempt is not in the state for this message")
	ErrHistoryFull  = errors.New("too many recent attempts to remember one more")
	ErrInvalid      = errors.New("invalid message")
)

// ErrNotRun is returned by WorkerCalls.Start and EndpointCalls.Serve when the work did
// not start and this call cannot start it later.
var ErrNotRun = errors.New("not run")

// ErrFailed is returned by EndpointCalls.Serve when the endpoint reported in a complete answer that the request failed.
var ErrFailed = errors.New("request failed")

// TaskStart describes one task to be started by the worker.
type TaskStart struct {
	ID      string
	Key     descriptor.JobKey
	Attempt descriptor.Attempt
	Index   int
	// Members is the number of agents on which the gang has tasks.
	Members            int
	Resources          descriptor.Resources
	AcceleratorIndexes []int
	// Lease is the time after the start within which the lease must first be renewed.
	Lease descriptor.Duration
	// NotAfter is the time at which the permit expires; the worker refuses to start the task later.
	NotAfter time.Time
	RunTime  descriptor.Duration
	Payload  []byte
}

// WorkerTask describes one task in the worker's task list, which may have ended.
type WorkerTask struct {
	ID      string
	Key     descriptor.JobKey
	Attempt descriptor.Attempt
	Index   int
	// Members is the number of agents on which the gang has tasks.
	Members            int
	Resources          descriptor.Resources
	AcceleratorIndexes []int
	// State is TaskRunning, TaskDone, TaskFailed or TaskStopped.
	State     messenger.TaskState
	Cause     string
	Usage     descriptor.Resources
	StartedAt time.Time
}

// WorkerCalls contains the functions that call the worker. They are called without the Enforcer's lock held.
type WorkerCalls struct {
	// Start returns nil if the task is running, ErrNotRun if it did not start, and any other error if it is unknown
	// whether it started.
	Start func(ctx context.Context, t TaskStart) error
	// Checkpoint makes the task write a checkpoint and returns after it has been written.
	Checkpoint func(ctx context.Context, id string) error
	// Stop stops the task. It also returns nil if the task had ended before or never ran.
	Stop func(ctx context.Context, id string) error
}

// ServeCall contains the parameters of one call to the endpoint.
type ServeCall struct {
	Request descriptor.Request
	// URL is the address announced by the endpoint.
	URL string
	// NotAfter is the time at which the permit expires; the call must not be sent later.
	NotAfter time.Time
}

// EndpointCalls contains the function that calls the endpoint. It is called without the Enforcer's lock held.
type EndpointCalls struct {
	// Serve runs the request and returns the complete answer, ErrNotRun, ErrFailed, or another error if it is unknown
	// whether the request ran.
	Serve func(ctx context.Context, c ServeCall) ([]byte, error)
}

// Enforcer manages the gangs of one worker and the requests of one endpoint.
// The exported fields must be set before first use. It is safe for concurrent
// use.
type Enforcer struct {
	// Agent identifies this incarnation of the agent process; it changes at each restart.
	Agent         string
	FailureDomain descriptor.FailureDomainID
	Worker        WorkerCalls
	Endpoint      EndpointCalls
	// Now returns the current time; nil means time.Now. Timeouts are based on its monotonic reading.
	Now func() time.Time
	// Spawn runs a function that calls the worker or the endpoint; if Spawn is nil, the function runs in a new
	// goroutine. Spawn must not wait for the function, which needs the lock that the caller of Spawn holds.
	Spawn func(func())
	// OnChange is called, without the lock held, after a change that should be reported at once. It may be nil.
	OnChange func()

	mu sync.Mutex
	// version is incremented by each change that should be reported at once; each gang stores the version of its latest
	// change.
	version uint64
	// worker is nil until Adopt has been called; until then, holds are refused.
	worker *descriptor.Worker
	// workerVersion is the value of version at the latest change of worker.
	workerVersion uint64
	// free is the capacity of the worker that is not reserved. An amount is negative if the worker's capacity has been
	// reduced below what is reserved.
	free descriptor.Resources
	// usedAccelerators marks the accelerator indexes reserved by gangs that have not ended.
	usedAccelerators []bool
	// epoch is the highest epoch seen; it never decreases.
	epoch descriptor.Epoch
	// gangs contains the latest held or adopted attempt of each job, until removeEndedGangs removes it.
	gangs map[descriptor.JobKey]*gang
	// attempts contains the highest attempt of each job. A record outlives the gang by retentionPeriod, so that a
	// delayed message cannot restart an ended attempt.
	attempts map[descriptor.JobKey]attemptRecord

	permit messenger.Permit
	// permitExpiry is zero if the agent has no permit.
	permitExpiry time.Time
	// revision is the highest revision named by any permit; it never decreases.
	revision descriptor.Revision
	leaving  bool
	// lastContact is the time at which the latest answered report was sent, and initially that of the first use.
	lastContact time.Time

	requests requestState
}

// attemptRecord records the highest attempt of a job.
type attemptRecord struct {
	number     descriptor.Attempt
	recordedAt time.Time
	// startSent is set if a start call may have reached the worker.
	startSent bool
}

func (e *Enforcer) now() time.Time {
	if e.Now != nil {
		return e.Now()
	}
	return time.Now()
}

func (e *Enforcer) spawn(f func()) {
	if e.Spawn != nil {
		e.Spawn(f)
		return
	}
	go f()
}

// unlock releases the lock and calls OnChange if the version differs from previousVersion.
func (e *Enforcer) unlock(previousVersion uint64) {
	changed := e.version != previousVersion
	e.mu.Unlock()
	if changed && e.OnChange != nil {
		e.OnChange()
	}
}

// lock acquires the lock, initializes the maps and lastContact on first use, and returns the current version for
// unlock.
func (e *Enforcer) lock() uint64 {
	e.mu.Lock()
	if e.gangs == nil {
		e.gangs = make(map[descriptor.JobKey]*gang)
		e.attempts = make(map[descriptor.JobKey]attemptRecord)
		e.requests.records = make(map[requestKey]*requestRecord)
		e.lastContact = e.now()
	}
	return e.version
}

// SetPermit accepts a permit received in the answer to a report sent at sentAt.
// It ignores a permit whose revision is below the highest seen, and one of the
// same revision that does not expire later than the current permit.
func (e *Enforcer) SetPermit(p messenger.Permit, sentAt time.Time) {
	version := e.lock()
	defer e.unlock(version)
	if p.Revision < e.revision {
		return
	}
	expiry := sentAt.Add(min(p.ValidFor, MaxPermitValidity))
	if p.ValidFor <= 0 {
		expiry = time.Time{}
	}
	newer := p.Revision > e.revision
	if !newer && !expiry.After(e.permitExpiry) {
		return
	}
	e.revision = p.Revision
	e.permit = p
	e.permitExpiry = expiry
}

// ObserveEpoch records an epoch reported by an entry. Older epochs are ignored.
func (e *Enforcer) ObserveEpoch(epoch descriptor.Epoch) {
	version := e.lock()
	defer e.unlock(version)
	e.epoch = max(e.epoch, epoch)
}

// ReportAnswered records that an entry answered a report sent at sentAt. The
// latest such time is the one from which IsolationTimeout is counted.
func (e *Enforcer) ReportAnswered(sentAt time.Time) {
	version := e.lock()
	defer e.unlock(version)
	if sentAt.After(e.lastContact) {
		e.lastContact = sentAt
	}
}

// checkPermit returns nil if the permit allows work to start at now. It checks
// the wall clock in addition to the monotonic clock, which does not advance
// while a VM is suspended.
func (e *Enforcer) checkPermit(now time.Time) error {
	if !now.Before(e.permitExpiry) || !now.Round(0).Before(e.permitExpiry.Round(0)) {
		return ErrNoPermit
	}
	if slices.Contains(e.permit.Out, e.FailureDomain) {
		return ErrDomainOut
	}
	return nil
}

// Leave makes the enforcer refuse all new work from now on. Running work
// continues, and queued requests may still start for about leavingGrace.
func (e *Enforcer) Leave() {
	version := e.lock()
	defer e.unlock(version)
	if !e.leaving {
		e.leaving = true
		e.version++
	}
}

// Leaving reports whether Leave has been called.
func (e *Enforcer) Leaving() bool {
	version := e.lock()
	defer e.unlock(version)
	return e.leaving
}

// Tick processes the timeouts that have expired at now, except the deadlines of
// requests, which have timers of their own. It also retries failed calls that
// stop tasks and removes old records. It must be called more often than once a
// second, see leavingGrace.
func (e *Enforcer) Tick(now time.Time) {
	version := e.lock()
	defer e.unlock(version)
	isolated := now.Sub(e.lastContact) > IsolationTimeout
	for _, g := range e.gangs {
		e.tickGang(g, isolated, now)
	}
	e.removeEndedGangs(now)
	e.tickRequests(now)
}

// Snapshot contains the state sent in reports.
type Snapshot struct {
	Version  uint64
	Leaving  bool
	Epoch    descriptor.Epoch
	Revision descriptor.Revision
	// PermitValid reports whether the permit allows work to start now.
	PermitValid bool
	Worker      *descriptor.Worker
	// WorkerVersion is the value of Version at the latest change of Worker.
	WorkerVersion uint64
	Endpoint      *messenger.EndpointReport
	Tasks         []messenger.TaskReport
}

// ActiveGangs returns the number of gang attempts that have not ended.
func (e *Enforcer) ActiveGangs() int {
	version := e.lock()
	defer e.unlock(version)
	n := 0
	for _, g := range e.gangs {
		if !g.state.Ended() {
			n++
		}
	}
	return n
}

// Snapshot returns the current state, with the gang attempts that changed after version since. If since is 0, it
// includes all attempts. Those whose end has been acknowledged are always omitted.
func (e *Enforcer) Snapshot(since uint64) Snapshot {
	version := e.lock()
	defer e.unlock(version)
	s := Snapshot{
		Version:     e.version,
		Leaving:     e.leaving,
		Epoch:       e.epoch,
		Revision:    e.revision,
		PermitValid: e.checkPermit(e.now()) == nil,
		Endpoint:    e.endpointReport(),
	}
	if e.worker != nil {
		w := *e.worker
		s.Worker = &w
		s.WorkerVersion = e.workerVersion
	}
	for _, g := range e.gangs {
		if g.needsReport(since) {
			s.Tasks = append(s.Tasks, g.report())
		}
	}
	return s
}
