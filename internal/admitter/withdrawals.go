package admitter

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"persimmontrail/internal/archiver"
	"persimmontrail/pkg/descriptor"
)

const (
	// withdrawalShare is the share of the store's writes that all entries together spend on withdrawals. Anyone with an API
	// key can ask for one with an id that nobody has used.
	withdrawalShare = 0.05
	// defaultStoreWrites applies if Admitter.StoreWrites is 0.
	defaultStoreWrites = 400
	// workspaceShare is the share of an entry's budget that one workspace can use up.
	workspaceShare = 0.5
	// minWithdrawalRate is the least that an entry may spend a second. The documents of entries that were replaced stay in
	// the store, so that the share of each entry would become ever smaller.
	minWithdrawalRate = 0.5
	// minWithdrawalBurst is the smallest number of withdrawals that an entry makes at once.
	minWithdrawalBurst = 4
	// withdrawalBurstTime is the time over which an unused budget adds up.
	withdrawalBurstTime = 2 * time.Second
	// minWithdrawalRetention is the shortest time for which a withdrawal is kept. The store may carry out a write that got no
	// answer seconds later, and a submission may be repeated seconds later.
	minWithdrawalRetention = time.Minute
	// maxWithdrawalLease is the longest lease that the store grants.
	maxWithdrawalLease = 10 * time.Minute
	// entryCountLifetime is how long the number of entries is used before the documents are counted again.
	entryCountLifetime = 5 * time.Second
)

// withdrawals bounds the withdrawals of an entry and holds the lease to which they are attached, with which the store
// removes them. The zero value is ready for use.
type withdrawals struct {
	mu          sync.Mutex
	entry       *rate.Limiter
	byWorkspace map[descriptor.WorkspaceID]*rate.Limiter
	// entryCount is the number of entries in the deployment, counted at entriesCountedAt.
	entryCount       int
	entriesCountedAt time.Time

	// leaseMu is held while a lease is requested, so that calls at the same time share it.
	leaseMu sync.Mutex
	lease   archiver.LeaseID
	// leaseUsableUntil is when the rest of the lease becomes shorter than withdrawals must be kept.
	leaseUsableUntil time.Time
}

// limiterAt returns l with another rate and burst, or a new limiter if l is nil.
func limiterAt(l *rate.Limiter, now time.Time, perSecond, burst float64) *rate.Limiter {
	if l == nil {
		return rate.NewLimiter(rate.Limit(perSecond), int(burst))
	}
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, int(burst))
	return l
}

// allowWithdrawal takes one withdrawal of a workspace off the budget and reports whether there was one left.
func (a *Admitter) allowWithdrawal(id descriptor.WorkspaceID) bool {
	w := &a.withdrawals
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	perSecond := max(withdrawalShare*a.storeWrites()/float64(a.countEntries(now)), minWithdrawalRate)
	burst := max(perSecond*withdrawalBurstTime.Seconds(), minWithdrawalBurst)
	if w.byWorkspace == nil {
		w.byWorkspace = map[descriptor.WorkspaceID]*rate.Limiter{}
	}
	w.entry = limiterAt(w.entry, now, perSecond, burst)
	own := limiterAt(w.byWorkspace[id], now, workspaceShare*perSecond, workspaceShare*burst)
	w.byWorkspace[id] = own
	if w.entry.TokensAt(now) < 1 || own.TokensAt(now) < 1 {
		a.Metrics.Increment("withdrawals_total", "result", "Refused")
		return false
	}
	w.entry.AllowN(now, 1)
	own.AllowN(now, 1)
	a.Metrics.Increment("withdrawals_total", "result", "Allowed")
	return true
}

func (a *Admitter) storeWrites() float64 {
	if a.StoreWrites == 0 {
		return defaultStoreWrites
	}
	return a.StoreWrites
}

// countEntries returns the number of entries in the mirror, at least 1. Entries that were replaced count too, which makes
// the budget smaller. The caller holds a.withdrawals.mu.
func (a *Admitter) countEntries(now time.Time) int {
	w := &a.withdrawals
	if w.entryCount > 0 && now.Sub(w.entriesCountedAt) < entryCountLifetime {
		return w.entryCount
	}
	n := 0
	a.Documents.Each(func(i archiver.Item) bool {
		if kind, _ := archiver.ParseKey(i.Key); kind == archiver.KindEntry {
			n++
		}
		return true
	})
	w.entryCount, w.entriesCountedAt = max(n, 1), now
	return w.entryCount
}

// withdrawalLease returns a lease that lasts for at least the time for which withdrawals must be kept.
func (a *Admitter) withdrawalLease(ctx context.Context) (archiver.LeaseID, error) {
	w := &a.withdrawals
	w.leaseMu.Lock()
	defer w.leaseMu.Unlock()
	now := time.Now()
	if w.lease != 0 && now.Before(w.leaseUsableUntil) {
		return w.lease, nil
	}
	retention := max(a.EndedRetention, minWithdrawalRetention)
	ttl := min(retention+retention/4, maxWithdrawalLease)
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := a.Store.Grant(callCtx, ttl)
	if err != nil {
		return 0, err
	}
	w.lease, w.leaseUsableUntil = lease, now.Add(ttl/5)
	return lease, nil
}

// dropWithdrawalLease forgets a lease that the store no longer knows.
func (a *Admitter) dropWithdrawalLease(lease archiver.LeaseID) {
	w := &a.withdrawals
	w.leaseMu.Lock()
	defer w.leaseMu.Unlock()
	if w.lease == lease {
		w.lease = 0
	}
}
