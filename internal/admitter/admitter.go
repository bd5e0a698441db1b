// Package admitter answers callers: it accepts and cancels workloads and reports their state.
//
// A workload is accepted once the store has committed its record, on the condition that the configuration is still the
// one against which the call was checked. A call is never refused while the store may still commit its write; instead
// the caller is told that the outcome is unknown, and repeats the call with the same job id. The package is part of the
// program persimmontrail-node; the program persimmontrail keeps other documents in the store.
//
// An entry is a process that serves callers, and its peers are the other entries; the leader is the entry that
// currently schedules. The configuration, of type descriptor.Plan and called plan in identifiers, is written by
// operators and defines queues, workspaces and the workspaces' API keys. A mirror is a copy of store documents in
// memory that a watch on the store keeps up to date. A store key names an item in the store, whereas an API key is the
// credential of a workspace. A node is identified by a name and runs an entry, or an agent with its worker. The slack
// of a queue is the fixed part of the time within which its workloads should be done.
package admitter

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"persimmontrail/internal/archiver"
	"persimmontrail/internal/connector"
	"persimmontrail/internal/planner"
	"persimmontrail/internal/recorder"
	"persimmontrail/pkg/descriptor"
)

// Errors of calls. All of them except ErrOutcomeUnknown mean that the call had no effect.
var (
	// ErrNoQueue means that the newest configuration has no queue for the host and path.
	ErrNoQueue = errors.New("no such queue")
	// ErrNoKey means that the queue is not public and the caller's API key belongs to no workspace of the newest
	// configuration.
	ErrNoKey = errors.New("unknown key")
	// ErrNoJob means that the caller's workspace has no such workload in the queue. As the result of a cancellation, and of
	// a submission after that, it means that none with this id will be accepted.
	ErrNoJob = errors.New("no such job")
	// ErrInvalid means that the workload is malformed.
	ErrInvalid = errors.New("invalid workload")
	// ErrRefused means that the call had no effect and will have none later.
	ErrRefused = errors.New("not accepted")
	// ErrOutcomeUnknown means that the call may have taken effect or may do so later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrStoreUnreachable means that this entry cannot serve the call without the store, but another entry might.
	ErrStoreUnreachable = errors.New("store not reached from here")
)

const (
	// storeTimeout bounds one call to the store, which usually answers in 4 ms and takes 0.35 s when it is slow.
	storeTimeout = 700 * time.Millisecond
	// commitRetryDelay is the delay before a write without an answer is repeated.
	commitRetryDelay = 40 * time.Millisecond
	// maxCommitTries is the number of times that an entry tries a write of unknown outcome before it forwards the call to
	// other entries.
	maxCommitTries = 3
	// maxPlanAge is the time after which a confirmation that the configuration is the newest no longer counts, so that a
	// call reads it again. Together with storeTimeout it stays below the 2.5 s within which a new configuration must take
	// effect.
	maxPlanAge = 1700 * time.Millisecond
	// PlanWatchTimeout is the timeout of a watch on the store keys that operators write. Twice this timeout plus the
	// round trip to the store must stay below maxPlanAge; otherwise every entry would read the whole configuration
	// again between two watches.
	PlanWatchTimeout = 750 * time.Millisecond
	// maxDocumentAge is the time after which a confirmation that the mirror of the documents is up to date no longer
	// counts, so that this entry leaves the count of waiting workloads to other entries.
	maxDocumentAge = 2500 * time.Millisecond
)

// SubmitResult is the result of an accepted submission.
type SubmitResult struct {
	// Repeated is true if an earlier submission had already been accepted under this id.
	Repeated bool
	// Revision is the store revision of the workload's record.
	Revision archiver.Revision
}

// Admitter serves the callers of one entry. Its fields must be set before use.
type Admitter struct {
	Node  string
	Store *archiver.Store
	// OperatorKeys mirrors the store keys that operators write, including PlanKey.
	OperatorKeys *archiver.Mirror
	// Documents mirrors the documents under archiver.Prefix, such as jobs, their progress and the entries.
	Documents *archiver.Mirror
	// Plan holds the newest known configuration.
	Plan *PlanCache
	// PlanKey is the store key to which operators write the configuration.
	PlanKey string
	// PlanConfirmedAt returns when Plan was last confirmed to hold the newest configuration.
	PlanConfirmedAt func() time.Time
	// Entries makes the calls to other entries.
	Entries connector.Connector
	// StoreWrites is the number of writes per second that the store takes of all processes together; 0 means 400.
	StoreWrites float64
	// EndedRetention is how long ended and cancelled workloads are kept. Withdrawals are kept for at least a minute.
	EndedRetention time.Duration
	Log            *log.Logger
	Metrics        *recorder.Metrics

	withdrawals withdrawals

	mu sync.Mutex
	// unreachableUntil maps the address of an entry that was not reached to the time until which no calls are sent to it.
	unreachableUntil map[string]time.Time
	// lastOutageAt is the last time at which a forwarded call found that none of the entries asked could reach the store
	// either.
	lastOutageAt time.Time
	// servingAddress is the address of the entry that has served a forwarded call last.
	servingAddress string
}

// PlanCache holds the newest configuration that the process has seen. It ignores older revisions.
type PlanCache struct {
	// Decode parses the configuration as operators write it.
	Decode func(data []byte) (descriptor.Plan, error)
	Log    *log.Logger

	mu       sync.Mutex
	plan     *descriptor.Plan
	revision archiver.Revision
	// peerRevision is the highest configuration revision that another entry is known to hold. A plan of an older revision
	// must not be used.
	peerRevision archiver.Revision
}

// NotePeerRevision records that another entry holds the configuration of revision r.
func (c *PlanCache) NotePeerRevision(r archiver.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerRevision = max(c.peerRevision, r)
}

// NewestKnown returns the highest configuration revision that is known to exist.
func (c *PlanCache) NewestKnown() archiver.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.revision, c.peerRevision)
}

// Outdated reports whether another entry is known to hold a newer configuration.
func (c *PlanCache) Outdated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision < c.peerRevision
}

// Update decodes and stores the configuration in i unless it is not newer than the current one. It reports whether the
// plan changed. A configuration that cannot be decoded is logged, and the current one stays.
func (c *PlanCache) Update(i archiver.Item) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i.Revision <= c.revision {
		return false
	}
	p, err := c.Decode(i.Value)
	if err != nil {
		c.Log.Error("failed to decode configuration, keeping previous revision", "revision", i.Revision, "err", err)
		return false
	}
	c.Log.Info("configuration in force", "version", p.Version, "revision", i.Revision, "queues", len(p.Queues),
		"workspaces", len(p.Accounts), "before", c.revision)
	c.plan, c.revision = &p, i.Revision
	return true
}

// Current returns the newest plan and its revision. The plan is nil until the first one has been decoded.
func (c *PlanCache) Current() (*descriptor.Plan, archiver.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan, c.revision
}

// Caller holds the host, path and API key of a call, which select its queue and workspace.
type Caller struct {
	Host string
	Path string
	Key  string
}

// Target is the queue and workspace that a call resolves to.
type Target struct {
	Queue     *descriptor.Queue
	Workspace descriptor.WorkspaceID
	Plan      *descriptor.Plan
	// Revision is that of Plan; a submission is committed only if it is still the newest in the store.
	Revision archiver.Revision
	// PathSuffix is the path after the queue's prefix: a job id, or empty for the queue itself.
	PathSuffix string
}

// Resolve finds the queue and workspace of a call. It returns ErrNoQueue and ErrNoKey only after it has read the newest
// configuration. If that read fails, it returns ErrStoreUnreachable, together with the target if the cached
// configuration has one.
func (a *Admitter) Resolve(ctx context.Context, c Caller) (Target, error) {
	t, err := a.lookUpTarget(c)
	if err == nil && a.planConfirmedWithin(maxPlanAge) {
		return t, nil
	}
	if refreshErr := a.refreshPlan(ctx); refreshErr != nil {
		a.OperatorKeys.ReportFailure(refreshErr)
		if plan, _ := a.Plan.Current(); plan == nil || err != nil {
			return Target{}, errors.Join(ErrStoreUnreachable, refreshErr)
		}
		// The target may be outdated, so the call is forwarded to other entries before it is used.
		return t, ErrStoreUnreachable
	}
	return a.lookUpTarget(c)
}

// lookUpTarget resolves a call by the cached configuration, which may be outdated. It returns ErrStoreUnreachable while
// there is none. The workspace is empty for an unknown key on a public queue.
func (a *Admitter) lookUpTarget(c Caller) (Target, error) {
	plan, revision := a.Plan.Current()
	if plan == nil {
		return Target{}, ErrStoreUnreachable
	}
	q := findQueue(plan, c.Host, c.Path)
	if q == nil {
		return Target{}, ErrNoQueue
	}
	t := Target{Queue: q, Plan: plan, Revision: revision, PathSuffix: strings.TrimPrefix(c.Path, q.Prefix)}
	for i := range plan.Accounts {
		for _, k := range plan.Accounts[i].Keys {
			if k == c.Key {
				t.Workspace = plan.Accounts[i].Workspace
				return t, nil
			}
		}
	}
	if q.Public {
		return t, nil
	}
	return Target{}, ErrNoKey
}

// findQueue returns the queue of the host with the longest prefix of the path, or nil.
func findQueue(p *descriptor.Plan, host, path string) *descriptor.Queue {
	var best *descriptor.Queue
	for i := range p.Queues {
		q := &p.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}

// planConfirmedWithin reports whether the cached configuration was confirmed as the newest within the last d and no
// other entry is known to hold a newer one.
func (a *Admitter) planConfirmedWithin(d time.Duration) bool {
	return time.Since(a.PlanConfirmedAt()) < d && !a.Plan.Outdated()
}

// refreshPlan reads the configuration from the store into the cache. It fails without a call while the mirror of the
// store keys that operators write is disconnected.
func (a *Admitter) refreshPlan(ctx context.Context) error {
	if a.OperatorKeys.Disconnected() {
		return archiver.ErrUnavailable
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	i, err := a.Store.Get(callCtx, a.PlanKey)
	if err != nil {
		return err
	}
	a.Plan.Update(i)
	return nil
}

// Submit adds the queue's settings to a new workload and stores it. Submitting a workload with the same id, queue and
// workspace again has no effect. It returns ErrConfigurationChanged if the configuration in the store is no longer that
// of t.
func (a *Admitter) Submit(ctx context.Context, t Target, w descriptor.Workload) (SubmitResult, error) {
	w.Queue, w.Workspace, w.Service = t.Queue.Name, t.Workspace, t.Queue.Service
	w.Priority, w.MaxAttempts = t.Queue.Priority, t.Queue.MaxAttempts
	w.Stretch, w.Slack = t.Queue.Stretch, t.Queue.Slack
	w.Accepted = time.Now()
	if err := w.Check(); err != nil {
		return SubmitResult{}, errors.Join(ErrInvalid, err)
	}
	key := archiver.JobKey(w.ID)
	if i, ok := a.Documents.Get(key); ok {
		return a.repeatedSubmit(i, w)
	}
	txn := archiver.Txn{
		If:  []archiver.Condition{{Key: key}, {Key: a.PlanKey, Revision: t.Revision}},
		Put: []archiver.Write{{Key: key, Value: archiver.Encode(planner.Record{Workload: w})}},
	}
	if a.Documents.Disconnected() {
		return SubmitResult{}, ErrStoreUnreachable
	}
	outcomeUnknown := false
	for tries := 1; ; tries++ {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		revision, err := a.Store.Commit(callCtx, txn)
		cancel()
		var conflict *archiver.ConflictError
		switch {
		case err == nil:
			item := archiver.Item{Key: key, Value: txn.Put[0].Value, Revision: revision, Created: revision}
			a.Documents.Merge(item)
			a.notifyLeader(item)
			return SubmitResult{Revision: revision}, nil
		case errors.As(err, &conflict):
			return a.resolveConflict(conflict, w)
		case errors.Is(err, archiver.ErrOutcomeUnknown):
			outcomeUnknown = true
			a.Documents.ReportFailure(err)
		case !outcomeUnknown:
			return SubmitResult{}, errors.Join(ErrStoreUnreachable, err)
		}
		if tries == maxCommitTries || !sleep(ctx, commitRetryDelay) {
			return SubmitResult{}, errors.Join(ErrOutcomeUnknown, err)
		}
	}
}

// ErrConfigurationChanged means that the call must be checked against a newer configuration.
var ErrConfigurationChanged = errors.New("configuration changed")

// resolveConflict returns the result of a submission whose transaction failed on one of its conditions.
func (a *Admitter) resolveConflict(c *archiver.ConflictError, w descriptor.Workload) (SubmitResult, error) {
	for _, i := range c.Items {
		if i.Key == archiver.JobKey(w.ID) && i.Revision > 0 {
			a.Documents.Merge(i)
			return a.repeatedSubmit(i, w)
		}
	}
	for _, i := range c.Items {
		if i.Key == a.PlanKey {
			a.Plan.Update(i)
		}
	}
	// The revision of the configuration only increases, so the transaction of an earlier try cannot commit later.
	return SubmitResult{}, ErrConfigurationChanged
}

// repeatedSubmit returns the result of a submission whose id already has the record i: ErrInvalid if that is a workload
// of another queue or workspace, and ErrNoJob if it is a withdrawal.
func (a *Admitter) repeatedSubmit(i archiver.Item, w descriptor.Workload) (SubmitResult, error) {
	var r planner.Record
	if err := archiver.Decode(i.Value, &r); err != nil {
		return SubmitResult{}, errors.Join(ErrOutcomeUnknown, err)
	}
	if r.Withdrawn() {
		return SubmitResult{}, fmt.Errorf("%w: cancelled before it was accepted", ErrNoJob)
	}
	if r.Workload.Queue != w.Queue || r.Workload.Workspace != w.Workspace {
		return SubmitResult{}, fmt.Errorf("%w: the id is taken by another job: %w", ErrInvalid, errOtherTarget)
	}
	return SubmitResult{Repeated: true, Revision: i.Revision}, nil
}

// sleep waits for d. It returns false if ctx is done before that.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
