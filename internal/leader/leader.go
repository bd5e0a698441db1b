// Package leader elects one entry process as the leader, under a lease in the store, and schedules jobs while the
// process leads. The package is part of the program persimmontrail-node; the program persimmontrail keeps other
// documents in the store.
//
// The leader reads all documents once, then follows their changes through the mirror, the process's copy of the stored
// documents, and keeps a link to each agent. Each scheduling round is written to the store on the condition that the
// leader key is unchanged, and its orders are sent only after that write. A successor therefore finds every attempt
// that may exist. A former leader can no longer write, and it cannot start anything either, because agents and workers
// refuse its lower fence. The fence, a fencing token, is the store revision of the term's leader key; each order
// carries the fence of its term.
//
// A term is one period of leadership. An entry is a process that accepts calls, an agent is the process beside a worker
// that passes orders to it, and an incarnation is a worker's period between two starts. A hold deadline is the time, on
// the worker's own clock, at which the worker ends its attempts unless the leader has set a later one. A node is
// identified by a name and runs an entry, or an agent with its worker. A plan is the planner's choice, in one call, of
// the attempts to stop and to start.
package leader

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"persimmontrail/internal/agent"
	"persimmontrail/internal/archiver"
	"persimmontrail/internal/planner"
	"persimmontrail/internal/recorder"
	"persimmontrail/internal/timekeeper"
	"persimmontrail/pkg/descriptor"
)

const (
	// leaderLeaseTTL is how long a failed leader blocks the election of the next one. The platform allows leases from 1 s.
	// On a slow store, which answers in 0.35 s, it covers three lost renewals in a row.
	leaderLeaseTTL = 1200 * time.Millisecond
	// renewInterval is the pause between the sending of two renewals. A renewal does not wait for the answer to the one
	// before, so that a lost answer costs no time.
	renewInterval = 200 * time.Millisecond
	// storeTimeout bounds a store call of the leader. A campaign may take twice as long, and one try to read all
	// documents three times as long.
	storeTimeout = 700 * time.Millisecond
	// retryPause is the pause before a campaign or a failed store call is repeated. After a failed campaign a random
	// time of up to the same length is added; the first repetitions of a write come earlier.
	retryPause = 150 * time.Millisecond
	// campaignDelayRoundTrips is the delay before an entry tries to create the leader key, in round trips to the store, so
	// that an entry close to the store is preferred.
	campaignDelayRoundTrips = 6
	// panicBackoff is half of the pause before the next campaign after a panic has ended a term. The pause doubles with
	// each further term that ends so, maxPanicBackoffDoublings times.
	panicBackoff             = 250 * time.Millisecond
	maxPanicBackoffDoublings = 6
)

// Leader campaigns for leadership and schedules jobs while it leads. Its exported fields must be set before Run.
type Leader struct {
	Node string
	// Address is the address at which other entries reach this process.
	Address string
	Store   *archiver.Store
	// Mirror holds a copy of the stored documents; its owner passes the mirror's changes to DocumentChanged.
	Mirror *archiver.Mirror
	// KeyMirror holds a copy of the leader key alone, which shows its removal without the delay by which Mirror collects
	// changes; its owner calls KeyChanged after each change. It is nil if there is none.
	KeyMirror *archiver.Mirror
	// Settings returns the operators' current settings.
	Settings func() Settings
	Limits   planner.Limits
	// MaxHold is the longest time that a worker keeps its attempts without a new hold deadline.
	MaxHold time.Duration
	// HoldSlack is how much longer than its deadline a worker may keep its attempts.
	HoldSlack time.Duration
	// StartsUnbounded means that workers do not check the deadline of a start, so that only a stop rules out that an
	// unanswered one takes effect.
	StartsUnbounded bool
	// LearnRunTimes makes the planner learn the distributions of run times and the speeds of workers, and keeps them in the
	// store.
	LearnRunTimes bool
	// PreferFastWorkers is PreferFast of the planner.
	PreferFastWorkers bool
	// EndedRetention is how long ended workloads stay readable, counted from when the current leader first saw them as
	// ended.
	EndedRetention time.Duration
	// CallAgent makes one call to the agent at an address; nil means HTTP.
	CallAgent func(ctx context.Context, address string, message agent.SyncRequest) (agent.Report, error)
	// BootTime returns the time since the start of the VM, including suspensions; nil means timekeeper.BootTime.
	BootTime func() time.Duration
	Log      *log.Logger
	Metrics  *recorder.Metrics

	mu sync.Mutex
	// term is nil while this process does not lead.
	term *term
	// setAside holds the workloads that made this process's planner panic, with the revision of their record then. They
	// are left out until the record changes.
	setAside map[descriptor.JobID]archiver.Revision
	// keyChanged holds a value after KeyChanged was called; nil until it is first needed.
	keyChanged chan struct{}
	// panicCount is the number of terms in a row that a panic has ended. It belongs to the goroutine of Run.
	panicCount int
}

// Settings are the operators' settings that concern the leader.
type Settings struct {
	Accounts []descriptor.Account
	// ExcludedDomains are the failure domains where nothing may start.
	ExcludedDomains map[descriptor.FailureDomainID]bool
}

// DocumentChanged passes a change of the mirror to the current term, if this process leads.
func (ld *Leader) DocumentChanged(e archiver.Event) {
	ld.mu.Lock()
	t := ld.term
	ld.mu.Unlock()
	if t != nil {
		t.post(func() { t.handleDocumentChange(e) })
	}
}

// SettingsChanged makes the current term read Settings again, if this process leads.
func (ld *Leader) SettingsChanged() {
	ld.mu.Lock()
	t := ld.term
	ld.mu.Unlock()
	if t != nil {
		t.post(t.applySettings)
	}
}

// IsLeader reports whether this process leads. It is true from the election on, also while the term still loads the
// documents.
func (ld *Leader) IsLeader() bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.term != nil
}

// KeyChanged makes Run look at the leader key again without delay.
func (ld *Leader) KeyChanged(archiver.Event) {
	select {
	case ld.keyChangedChannel() <- struct{}{}:
	default:
	}
}

func (ld *Leader) keyChangedChannel() chan struct{} {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if ld.keyChanged == nil {
		ld.keyChanged = make(chan struct{}, 1)
	}
	return ld.keyChanged
}

// Run campaigns for leadership and leads until ctx is done. Before it returns, it tries to revoke its lease.
func (ld *Leader) Run(ctx context.Context) {
	keyChanged := ld.keyChangedChannel()
	for ctx.Err() == nil {
		if !ld.mayCampaign() {
			sleepUntil(ctx, retryPause, keyChanged)
			continue
		}
		lease, fence, requestedAt, err := ld.campaign(ctx)
		if err != nil {
			ld.Log.Debug("failed to become leader", "err", err)
			sleep(ctx, retryPause+rand.N(retryPause))
			continue
		}
		if err := ld.lead(ctx, lease, fence, requestedAt); errors.Is(err, errPanic) {
			// Another entry may lead better; this one comes back in case that no other does.
			ld.panicCount = min(ld.panicCount+1, maxPanicBackoffDoublings)
			sleep(ctx, panicBackoff<<ld.panicCount)
		} else {
			ld.panicCount = 0
		}
	}
}

// mayCampaign reports whether the leader key may be free. While the store does not answer, a campaign would only hang:
// its first call could still wait for its timeout when the store is back.
func (ld *Leader) mayCampaign() bool {
	if ld.Mirror.Confirmed().IsZero() || ld.Mirror.Disconnected() {
		return false
	}
	for _, m := range []*archiver.Mirror{ld.Mirror, ld.KeyMirror} {
		if m == nil || m.Confirmed().IsZero() {
			continue
		}
		if _, ok := m.Get(archiver.LeaderKey); !ok {
			return true
		}
	}
	return false
}

// campaign tries to create the leader key. It returns the lease of the key, the fence of the term, which is the key's
// revision, and the time when the lease was requested, from which its validity counts.
func (ld *Leader) campaign(ctx context.Context) (archiver.LeaseID, descriptor.Fence, time.Time, error) {
	callCtx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	readAt := time.Now()
	readCtx, cancelRead := context.WithTimeout(ctx, storeTimeout)
	_, err := ld.Store.Get(readCtx, archiver.LeaderKey)
	cancelRead()
	if !errors.Is(err, archiver.ErrNotFound) {
		return 0, 0, readAt, errors.Join(errors.New("leader key exists or could not be read"), err)
	}
	sleep(ctx, campaignDelayRoundTrips*time.Since(readAt))
	requestedAt := time.Now()
	lease, err := ld.Store.Grant(callCtx, leaderLeaseTTL)
	if err != nil {
		return 0, 0, requestedAt, err
	}
	leaderValue := archiver.Encode(archiver.Member{Node: ld.Node, Address: ld.Address})
	revision, err := ld.Store.Commit(callCtx, archiver.Txn{
		If:  []archiver.Condition{{Key: archiver.LeaderKey}},
		Put: []archiver.Write{{Key: archiver.LeaderKey, Value: leaderValue, Lease: lease}},
	})
	if err != nil {
		// The write may still take effect, but its key is bound to this lease, which is not renewed.
		ld.revokeLease(ctx, lease)
		return 0, 0, requestedAt, err
	}
	return lease, descriptor.Fence(revision), requestedAt, nil
}

// revokeLease revokes a lease and reports whether it has certainly ended.
func (ld *Leader) revokeLease(ctx context.Context, lease archiver.LeaseID) bool {
	revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	err := ld.Store.Revoke(revokeCtx, lease)
	if err == nil || errors.Is(err, archiver.ErrLeaseLost) {
		return true
	}
	ld.Log.Debug("failed to end leader lease", "lease", lease, "err", err)
	return false
}

// lead leads for one term, which ends if the lease may have expired, if the term fails or when ctx is done. It then
// revokes the lease and repeats that until the lease has ended or ctx is done. It returns the error that ended the term.
func (ld *Leader) lead(ctx context.Context, lease archiver.LeaseID, fence descriptor.Fence, requestedAt time.Time) error {
	ld.Log.Info("elected as leader", "fence", fence, "node", ld.Node)
	ld.Metrics.Increment("terms_total")
	termCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := newTerm(ld, fence)
	t.extendLease(ld.bootTime() - time.Since(requestedAt) + leaderLeaseTTL)
	ld.setTerm(t)
	var wg sync.WaitGroup
	wg.Go(func() { ld.renew(termCtx, cancel, lease, t) })
	termErr := t.runContained(termCtx)
	cancel(termErr)
	ld.setTerm(nil)
	cancel(nil)
	wg.Wait()
	ld.Log.Info("leader term ended", "fence", fence, "reason", context.Cause(termCtx))
	// The store may suspend lease expiry during an outage. No entry can lead until this lease has ended.
	for !ld.revokeLease(ctx, lease) && ctx.Err() == nil {
		sleep(ctx, retryPause)
	}
	return termErr
}

// bootTime returns the time by the clock that also counts suspensions.
func (ld *Leader) bootTime() time.Duration {
	if ld.BootTime != nil {
		return ld.BootTime()
	}
	return timekeeper.BootTime()
}

func (ld *Leader) setTerm(t *term) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.term = t
}

var errLeaseExpired = errors.New("leader lease not renewed in time")

// renew renews the lease every renewInterval and cancels the term before the lease can expire. Renewals overlap if the
// store is slow.
func (ld *Leader) renew(ctx context.Context, cancel context.CancelCauseFunc, lease archiver.LeaseID, t *term) {
	var renewals sync.WaitGroup
	defer renewals.Wait()
	var failing atomic.Bool
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if t.leaseExpired() {
			cancel(errLeaseExpired)
			return
		}
		sentAt := ld.bootTime()
		renewals.Go(func() {
			callCtx, cancelCall := context.WithTimeout(ctx, storeTimeout)
			defer cancelCall()
			err := ld.Store.Renew(callCtx, lease)
			switch {
			case err == nil:
				failing.Store(false)
				t.extendLease(sentAt + leaderLeaseTTL)
			case errors.Is(err, archiver.ErrLeaseLost):
				cancel(err)
			case ctx.Err() == nil && !failing.Swap(true):
				ld.Log.Warn("failed to renew leader lease", "err", err, "left", t.leaseLeft())
			}
		})
	}
}

// sleepUntil waits for d, until ctx is done or until it receives from wake.
func sleepUntil(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-wake:
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
