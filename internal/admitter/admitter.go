// Package admitter answers callers: it accepts, shows and cancels workloads.
//
// A workload is accepted when the store has acknowledged its record, under the condition that the configuration is
// still the one that was checked. What the store may still carry out is never refused; the caller is told that the
// outcome is unknown and repeats the call with the same id.
package admitter

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"persimmontrail/internal/archiver"
	"persimmontrail/internal/planner"
	"persimmontrail/internal/recorder"
	"persimmontrail/pkg/descriptor"
)

// Errors of calls. ErrRefused and those before it mean that nothing was done.
var (
	// ErrNoQueue means that the newest configuration has no such queue.
	ErrNoQueue = errors.New("no such queue")
	// ErrNoKey means that the newest configuration does not know the key.
	ErrNoKey = errors.New("unknown key")
	// ErrNoJob means that no such workload exists.
	ErrNoJob = errors.New("no such job")
	// ErrInvalid means that the workload is malformed.
	ErrInvalid = errors.New("invalid workload")
	// ErrRefused means that the call was not carried out and never will be.
	ErrRefused = errors.New("not accepted")
	// ErrUnknown means that the call may have been carried out, now or later.
	ErrUnknown = errors.New("outcome unknown")
	// ErrLocal means that this process cannot serve the call but another one might.
	ErrLocal = errors.New("store not reached from here")
)

const (
	// storeTimeout bounds one call to the store, which answers in 4 ms, or 0.35 s when it is slow.
	storeTimeout = 700 * time.Millisecond
	// commitRetry is the pause before an unanswered write is repeated.
	commitRetry = 40 * time.Millisecond
	// maxTries bounds the tries of a write here; after that other entries are asked.
	maxTries = 3
	// fresh is how old the knowledge of the configuration may be without asking anew. With the store's answer it
	// stays inside the 2.5 s in which a configuration must be in force.
	fresh = 1700 * time.Millisecond
	// PlanWait is how long a watch of the operators' keys waits. Twice that and a way to the store stay inside of fresh;
	// otherwise each entry would read the whole configuration anew in every turn.
	PlanWait = 750 * time.Millisecond
	// visible is how old the knowledge of documents may be when their state is shown.
	visible = 2500 * time.Millisecond
)

// Verdict is the result of an accepted call, for logs.
type Verdict struct {
	// Repeated is true when the workload was known before.
	Repeated bool
	Revision archiver.Revision
}

// Admitter serves callers of one entry. Its fields must be set before use.
type Admitter struct {
	Node  string
	Store *archiver.Store
	// Operators mirrors what operators put into the store.
	Operators *archiver.Mirror
	// Documents mirrors the product's documents.
	Documents *archiver.Mirror
	// Plan returns the newest known configuration.
	Plan *PlanKeeper
	// PlanKey is where operators put the configuration.
	PlanKey string
	// PlanConfirmed returns when Plan was last known to be the newest.
	PlanConfirmed func() time.Time
	Log           *log.Logger
	Metrics       *recorder.Metrics

	mu sync.Mutex
	// shunned entries are not asked before a time, by address.
	shunned map[string]time.Time
	// outage is when all other entries last said that they do not reach the store.
	outage time.Time
}

// PlanKeeper holds the newest configuration that the process has seen. It never goes back.
type PlanKeeper struct {
	// Decode reads the operators' form.
	Decode func(data []byte) (descriptor.Plan, error)
	Log    *log.Logger

	mu       sync.Mutex
	plan     *descriptor.Plan
	revision archiver.Revision
	// expected is the highest revision that another entry is known to have; an older plan may no longer be used.
	expected archiver.Revision
}

// Expect tells that another entry has a configuration with a revision.
func (k *PlanKeeper) Expect(r archiver.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expected = max(k.expected, r)
}

// Newest returns the highest revision that is known to exist.
func (k *PlanKeeper) Newest() archiver.Revision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(k.revision, k.expected)
}

// Behind reports whether a newer configuration than the one held is known to exist.
func (k *PlanKeeper) Behind() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision < k.expected
}

// Take adopts an item unless a newer one is known. It reports whether the plan changed.
func (k *PlanKeeper) Take(i archiver.Item) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if i.Revision <= k.revision {
		return false
	}
	p, err := k.Decode(i.Value)
	if err != nil {
		k.Log.Error("configuration not readable; keeping the former one", "revision", i.Revision, "err", err)
		return false
	}
	k.Log.Info("configuration in force", "version", p.Version, "revision", i.Revision, "queues", len(p.Queues),
		"workspaces", len(p.Accounts), "before", k.revision)
	k.plan, k.revision = &p, i.Revision
	return true
}

// Now returns the newest plan, nil before the first, and its revision.
func (k *PlanKeeper) Now() (*descriptor.Plan, archiver.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.plan, k.revision
}

// Caller is who calls which queue.
type Caller struct {
	Host string
	Path string
	Key  string
}

// Target is what a path names, after the checks of queue and key.
type Target struct {
	Queue     *descriptor.Queue
	Workspace descriptor.WorkspaceID
	Plan      *descriptor.Plan
	// Revision of the configuration that was checked.
	Revision archiver.Revision
	// Rest of the path after the queue's prefix; a job id or empty.
	Rest string
}

// Resolve finds the queue and workspace of a call. It refuses only by the newest configuration.
func (a *Admitter) Resolve(ctx context.Context, c Caller) (Target, error) {
	t, err := a.lookUp(c)
	if err == nil && a.confirmedWithin(fresh) {
		return t, nil
	}
	if refreshErr := a.refresh(ctx); refreshErr != nil {
		a.Operators.ReportFailure(refreshErr)
		if plan, _ := a.Plan.Now(); plan == nil || err != nil {
			return Target{}, errors.Join(ErrLocal, refreshErr)
		}
		// Nothing newer can be had here; the caller's entry asks others first.
		return t, ErrLocal
	}
	return a.lookUp(c)
}

func (a *Admitter) lookUp(c Caller) (Target, error) {
	plan, revision := a.Plan.Now()
	if plan == nil {
		return Target{}, ErrLocal
	}
	q := findQueue(plan, c.Host, c.Path)
	if q == nil {
		return Target{}, ErrNoQueue
	}
	t := Target{Queue: q, Plan: plan, Revision: revision, Rest: strings.TrimPrefix(c.Path, q.Prefix)}
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

// confirmedWithin reports whether the configuration held was the newest at most d ago.
func (a *Admitter) confirmedWithin(d time.Duration) bool {
	return time.Since(a.PlanConfirmed()) < d && !a.Plan.Behind()
}

// refresh reads the configuration anew.
func (a *Admitter) refresh(ctx context.Context) error {
	if a.Operators.Disconnected() {
		return archiver.ErrUnavailable
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	i, err := a.Store.Get(callCtx, a.PlanKey)
	if err != nil {
		return err
	}
	a.Plan.Take(i)
	return nil
}

// Submit accepts a workload.
func (a *Admitter) Submit(ctx context.Context, t Target, w descriptor.Workload) (Verdict, error) {
	w.Queue, w.Workspace, w.Service = t.Queue.Name, t.Workspace, t.Queue.Service
	w.Priority, w.MaxAttempts = t.Queue.Priority, t.Queue.MaxAttempts
	w.Stretch, w.Slack = t.Queue.Stretch, t.Queue.Slack
	w.Accepted = time.Now()
	if err := w.Check(); err != nil {
		return Verdict{}, errors.Join(ErrInvalid, err)
	}
	key := archiver.JobKey(w.ID)
	if i, ok := a.Documents.Get(key); ok {
		return a.repeated(i, w)
	}
	txn := archiver.Txn{
		If:  []archiver.Condition{{Key: key}, {Key: a.PlanKey, Revision: t.Revision}},
		Put: []archiver.Write{{Key: key, Value: archiver.Encode(planner.Record{Workload: w})}},
	}
	if a.Documents.Disconnected() {
		return Verdict{}, ErrLocal
	}
	unknown := false
	for tries := 1; ; tries++ {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		revision, err := a.Store.Commit(callCtx, txn)
		cancel()
		var conflict *archiver.ConflictError
		switch {
		case err == nil:
			item := archiver.Item{Key: key, Value: txn.Put[0].Value, Revision: revision, Created: revision}
			a.Documents.Note(item)
			a.tellLeader(item)
			return Verdict{Revision: revision}, nil
		case errors.As(err, &conflict):
			return a.conflict(conflict, w)
		case errors.Is(err, archiver.ErrOutcomeUnknown):
			unknown = true
			a.Documents.ReportFailure(err)
		case !unknown:
			return Verdict{}, errors.Join(ErrLocal, err)
		}
		if tries == maxTries || !pause(ctx, commitRetry) {
			return Verdict{}, errors.Join(ErrUnknown, err)
		}
	}
}

// ErrConfigurationChanged means that the call must be checked against a newer configuration.
var ErrConfigurationChanged = errors.New("configuration changed")

func (a *Admitter) conflict(c *archiver.ConflictError, w descriptor.Workload) (Verdict, error) {
	for _, i := range c.Items {
		if i.Key == archiver.JobKey(w.ID) && i.Revision > 0 {
			a.Documents.Note(i)
			return a.repeated(i, w)
		}
	}
	for _, i := range c.Items {
		if i.Key == a.PlanKey {
			a.Plan.Take(i)
		}
	}
	// The condition on the configuration can never hold again, so an earlier try cannot take effect later.
	return Verdict{}, ErrConfigurationChanged
}

func (a *Admitter) repeated(i archiver.Item, w descriptor.Workload) (Verdict, error) {
	var r planner.Record
	if err := archiver.Decode(i.Value, &r); err != nil {
		return Verdict{}, errors.Join(ErrUnknown, err)
	}
	if r.Workload.Queue != w.Queue || r.Workload.Workspace != w.Workspace {
		return Verdict{}, errors.Join(ErrInvalid, errors.New("the id is taken by another job"))
	}
	return Verdict{Repeated: true, Revision: i.Revision}, nil
}

// pause returns false when ctx ends before d has passed.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
