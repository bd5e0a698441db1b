// Package enforcer is the state machine of an agent: the sole owner of what is
// held, started and served beside one worker, one endpoint, or both. It does no
// I/O except through function fields.
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

// Bounds of the gang protocol and of permits, see docs/design.md section 4.
const (
	HoldFor       = 5 * time.Second
	CommitFor     = 10 * time.Second
	ConfirmWithin = 10 * time.Second
	MaxPermit     = 2 * time.Second
	IsolatedAfter = 30 * time.Second
	// Lease is how long a task runs at the worker without renewal.
	Lease = 5 * time.Second
	// IsolatedGrace bounds the checkpoint of an isolated agent: schedulers treat the tasks of a silent agent as
	// stopped after 35 s, and the leases, which are not renewed any more, lapse then too.
	IsolatedGrace = 4 * time.Second
	// leaseMargin covers a renewal that the worker handles after its call was given up.
	leaseMargin = time.Second
	// remember is how long attempts and outcomes are remembered at least.
	remember = 10 * time.Minute
	// maxRemembered bounds the attempts, and separately the requests, that are remembered: about 4 MB each.
	maxRemembered = 16384
)

// Reasons for refusing a message.
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
	ErrRememberFull = errors.New("too many recent attempts to remember one more")
	ErrInvalid      = errors.New("invalid message")
)

// ErrNotRun is returned by Worker.Start and Endpoint.Serve when the work
// certainly did not start and will not start from this call.
var ErrNotRun = errors.New("not run")

// ErrFailed is returned by Endpoint.Serve when the endpoint answered in full that the request failed.
var ErrFailed = errors.New("request failed")

// TaskStart is what the worker needs to start one task.
type TaskStart struct {
	ID                 string
	Key                descriptor.JobKey
	Attempt            descriptor.Attempt
	Index              int
	Members            int
	Resources          descriptor.Resources
	AcceleratorIndexes []int
	Lease              descriptor.Duration
	// NotAfter is when the permit expires; the worker refuses a later start.
	NotAfter time.Time
	RunTime  descriptor.Duration
	Payload  []byte
}

// WorkerTask is a task in the worker's list.
type WorkerTask struct {
	ID                 string
	Key                descriptor.JobKey
	Attempt            descriptor.Attempt
	Index              int
	Members            int
	Resources          descriptor.Resources
	AcceleratorIndexes []int
	// State is TaskRunning, TaskDone, TaskFailed or TaskStopped.
	State     messenger.TaskState
	Cause     string
	Usage     descriptor.Resources
	StartedAt time.Time
}

// Worker holds the calls to the worker. None is called with a lock held.
type Worker struct {
	// Start returns nil when the task runs, ErrNotRun when it certainly does not, and any other error when that is unknown.
	Start func(ctx context.Context, t TaskStart) error
	// Checkpoint returns when the checkpoint is written.
	Checkpoint func(ctx context.Context, id string) error
	// Stop returns nil when the task does not run any more or never did.
	Stop func(ctx context.Context, id string) error
}

// ServeCall is one request for the endpoint.
type ServeCall struct {
	Request descriptor.Request
	// URL is where the endpoint announced that it listens.
	URL string
	// NotAfter is when the permit expires; a call that has not been sent by then must not be sent.
	NotAfter time.Time
}

// Endpoint holds the call to the endpoint. It is not called with a lock held.
type Endpoint struct {
	// Serve returns the whole answer, ErrNotRun, ErrFailed, or another error when it is unknown whether the request ran.
	Serve func(ctx context.Context, c ServeCall) ([]byte, error)
}

// Enforcer owns what runs beside one worker and one endpoint. The exported
// fields are set before first use. It is safe for concurrent use.
type Enforcer struct {
	// Agent is the id of this run of the agent process.
	Agent         string
	FailureDomain descriptor.FailureDomainID
	Worker        Worker
	Endpoint      Endpoint
	// Now is the clock; nil means time.Now. Its monotonic reading decides expiries.
	Now func() time.Time
	// Spawn runs a function that makes calls; nil means a new goroutine.
	Spawn func(func())
	// Changed is called without a lock held after a change that a report should tell at once; nil means never.
	Changed func()

	mu sync.Mutex
	// version grows with each change of a gang; gangs carry the version of their last change.
	version uint64
	// worker is nil until the worker has been described and its tasks adopted; nothing is held before that.
	worker *descriptor.Worker
	// workerVersion is the version at which worker last changed.
	workerVersion uint64
	free          descriptor.Resources
	// usedAccelerators marks indexes that are given to a gang that has not ended.
	usedAccelerators []bool
	// epoch is the highest seen and never decreases.
	epoch descriptor.Epoch
	// gangs holds at most one attempt per job: the latest that was held here, until it is forgotten.
	gangs map[descriptor.JobKey]*gang
	// attempts outlives gangs: the highest attempt per job, so that a late message cannot start an ended attempt again.
	attempts map[descriptor.JobKey]seenAttempt

	permit    messenger.Permit
	permitEnd time.Time
	// revision is the highest that any permit named and never decreases.
	revision descriptor.Revision
	leaving  bool
	// lastHeard is when the latest answered report was sent.
	lastHeard time.Time

	requests requests
}

type seenAttempt struct {
	number descriptor.Attempt
	at     time.Time
	// called is set when a start of the attempt may have reached the worker.
	called bool
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

// unlock releases the lock and then announces changes, if there were any since before.
func (e *Enforcer) unlock(before uint64) {
	changed := e.version != before
	e.mu.Unlock()
	if changed && e.Changed != nil {
		e.Changed()
	}
}

// lock takes the lock and returns the current version for unlock.
func (e *Enforcer) lock() uint64 {
	e.mu.Lock()
	if e.gangs == nil {
		e.gangs = make(map[descriptor.JobKey]*gang)
		e.attempts = make(map[descriptor.JobKey]seenAttempt)
		e.requests.records = make(map[requestKey]*record)
		e.lastHeard = e.now()
	}
	return e.version
}

// SetPermit accepts a permit from the answer to a report that was sent at
// sentAt. A permit with a revision below the highest seen is ignored.
func (e *Enforcer) SetPermit(p messenger.Permit, sentAt time.Time) {
	before := e.lock()
	defer e.unlock(before)
	if p.Revision < e.revision {
		return
	}
	end := sentAt.Add(min(p.ValidFor, MaxPermit))
	if p.ValidFor <= 0 {
		end = time.Time{}
	}
	newer := p.Revision > e.revision
	if !newer && !end.After(e.permitEnd) {
		return
	}
	e.revision = p.Revision
	e.permit = p
	e.permitEnd = end
}

// ObserveEpoch tells the epoch that an entry named. Older ones are ignored.
func (e *Enforcer) ObserveEpoch(epoch descriptor.Epoch) {
	before := e.lock()
	defer e.unlock(before)
	e.epoch = max(e.epoch, epoch)
}

// Heard tells that a report sent at sentAt was answered by an entry.
func (e *Enforcer) Heard(sentAt time.Time) {
	before := e.lock()
	defer e.unlock(before)
	if sentAt.After(e.lastHeard) {
		e.lastHeard = sentAt
	}
}

// mayStart checks the permit at this moment. The wall clock is checked in
// addition because the monotonic clock stands still while a VM is suspended.
func (e *Enforcer) mayStart(now time.Time) error {
	if !now.Before(e.permitEnd) || !now.Round(0).Before(e.permitEnd.Round(0)) {
		return ErrNoPermit
	}
	if slices.Contains(e.permit.Out, e.FailureDomain) {
		return ErrDomainOut
	}
	return nil
}

// SetLeaving makes the enforcer refuse all new work from now on.
func (e *Enforcer) SetLeaving() {
	before := e.lock()
	defer e.unlock(before)
	if !e.leaving {
		e.leaving = true
		e.version++
	}
}

// Leaving reports whether new work is refused.
func (e *Enforcer) Leaving() bool {
	before := e.lock()
	defer e.unlock(before)
	return e.leaving
}

// Tick applies all expiries that are due at now.
func (e *Enforcer) Tick(now time.Time) {
	before := e.lock()
	defer e.unlock(before)
	isolated := now.Sub(e.lastHeard) > IsolatedAfter
	for _, g := range e.gangs {
		e.tickGang(g, isolated, now)
	}
	e.forgetGangs(now)
	e.tickRequests(now)
}

// Snapshot is the state for reports.
type Snapshot struct {
	Version  uint64
	Leaving  bool
	Epoch    descriptor.Epoch
	Revision descriptor.Revision
	// PermitValid tells whether work may start now.
	PermitValid bool
	Worker      *descriptor.Worker
	// WorkerVersion is the version at which the description last changed.
	WorkerVersion uint64
	Endpoint      *messenger.EndpointReport
	Tasks         []messenger.TaskReport
}

// Active returns how many gang attempts have not ended.
func (e *Enforcer) Active() int {
	before := e.lock()
	defer e.unlock(before)
	n := 0
	for _, g := range e.gangs {
		if !g.state.Ended() {
			n++
		}
	}
	return n
}

// Snapshot returns the state, with the gang attempts that changed after version since; 0 asks for all.
func (e *Enforcer) Snapshot(since uint64) Snapshot {
	before := e.lock()
	defer e.unlock(before)
	s := Snapshot{
		Version:     e.version,
		Leaving:     e.leaving,
		Epoch:       e.epoch,
		Revision:    e.revision,
		PermitValid: e.mayStart(e.now()) == nil,
		Endpoint:    e.endpointReport(),
	}
	if e.worker != nil {
		w := *e.worker
		s.Worker = &w
		s.WorkerVersion = e.workerVersion
	}
	for _, g := range e.gangs {
		if g.reported(since) {
			s.Tasks = append(s.Tasks, g.report())
		}
	}
	return s
}
