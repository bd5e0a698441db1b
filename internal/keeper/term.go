package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

// ErrTermHeld means that the scheduler term of the region is held under the lease of another Term, usually that of
// another entry. It can be acquired once that lease has ended.
var ErrTermHeld = errors.New("scheduler term is held by another entry")

// Term lets an entry acquire and hold the scheduler term of a region, that is, become the region's only scheduler. A
// Term must not be copied.
//
// The epoch of a term is the store's version of the write that acquired it. Versions of a key increase even after the
// key was deleted with its lease, so each new holder gets a higher epoch than all earlier ones.
type Term struct {
	Store  *Store
	Region descriptor.RegionID
	Entry  descriptor.EntryID

	mu sync.Mutex
	// lease is the lease of the current term, or of a term whose write has an unknown outcome.
	lease LeaseID
	// ttl is the time to live with which lease was granted.
	ttl time.Duration
	// epoch is 0 and expiry the zero time while no term is held.
	epoch  descriptor.Epoch
	expiry time.Time
}

// termDocument names the holder of the term and its lease. The lease id lets a holder recognise its own write.
type termDocument struct {
	Entry descriptor.EntryID
	Lease LeaseID
}

func decodeTerm(key string, data []byte) (termDocument, error) {
	var d termDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return termDocument{}, fmt.Errorf("document %s: %w", key, err)
	}
	return d, nil
}

func (t *Term) key() string { return "schedulers/" + string(t.Region) }

// Expiry returns the time at which the term ends unless it is renewed, or the zero time if no term is held. The time to
// live counts from before the lease was last granted or renewed, so that the term does not end in the store before the
// returned time.
func (t *Term) Expiry() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.expiry
}

// Acquire acquires the term for ttl and returns the epoch, or ErrTermHeld if another entry holds it. If this Term
// already holds it, Acquire renews it for its original ttl and returns the same epoch. Acquire may be repeated after
// any error.
func (t *Term) Acquire(ctx context.Context, ttl time.Duration) (descriptor.Epoch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	epoch, err := t.acquire(ctx, ttl)
	if errors.Is(err, ErrLeaseLost) {
		t.reset()
		return t.acquire(ctx, ttl)
	}
	return epoch, err
}

// acquire is Acquire without the retry after ErrLeaseLost. The caller holds t.mu.
func (t *Term) acquire(ctx context.Context, ttl time.Duration) (descriptor.Epoch, error) {
	d, v, err := t.read(ctx)
	if err != nil {
		return 0, err
	}
	if v != 0 && d.Lease != t.lease {
		return 0, fmt.Errorf("%w: %s", ErrTermHeld, d.Entry)
	}
	start := time.Now()
	if err := t.ensureLease(ctx, ttl); err != nil {
		return 0, err
	}
	if v == 0 {
		if v, err = t.writeTerm(ctx); err != nil {
			return 0, err
		}
	}
	t.epoch, t.expiry = descriptor.Epoch(v), start.Add(t.ttl)
	return t.epoch, nil
}

// reset clears the state of a term whose lease has ended. The store has deleted the term document with the lease.
func (t *Term) reset() { t.lease, t.epoch, t.expiry = "", 0, time.Time{} }

// read returns the term document and its version, which is 0 if no entry holds the term.
func (t *Term) read(ctx context.Context) (termDocument, Version, error) {
	data, v, err := t.Store.Get(ctx, t.key())
	if errors.Is(err, ErrNotFound) {
		return termDocument{}, 0, nil
	}
	if err != nil {
		return termDocument{}, 0, err
	}
	d, err := decodeTerm(t.key(), data)
	return d, v, err
}

// ensureLease renews the lease, or grants one if there is none.
func (t *Term) ensureLease(ctx context.Context, ttl time.Duration) error {
	if t.lease != "" {
		return t.Store.RenewLease(ctx, t.lease)
	}
	lease, err := grantLease(ctx, t.Store, ttl)
	if err != nil {
		return err
	}
	t.lease, t.ttl = lease, ttl
	return nil
}

// writeTerm writes the term document under the lease and returns its version. After a conflict or an unknown outcome,
// it reads the document to find out whether its own write took effect.
func (t *Term) writeTerm(ctx context.Context) (Version, error) {
	data, err := json.Marshal(termDocument{Entry: t.Entry, Lease: t.lease})
	if err != nil {
		return 0, err
	}
	v, err := t.Store.Put(ctx, t.key(), data, 0, t.lease)
	if err == nil {
		return v, nil
	}
	if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrOutcomeUnknown) {
		return 0, err
	}
	d, v, readErr := t.read(ctx)
	switch {
	case readErr != nil:
		return 0, errors.Join(err, readErr)
	case v != 0 && d.Lease == t.lease:
		return v, nil
	case v != 0:
		return 0, fmt.Errorf("%w: %s", ErrTermHeld, d.Entry)
	}
	return 0, err
}

// Renew extends the term by the ttl with which its lease was granted. ErrLeaseLost means that the term has ended or was
// never acquired. After other errors Expiry is unchanged.
func (t *Term) Renew(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == "" || t.epoch == 0 {
		return ErrLeaseLost
	}
	start := time.Now()
	err := t.Store.RenewLease(ctx, t.lease)
	if err == nil {
		t.expiry = start.Add(t.ttl)
	}
	if errors.Is(err, ErrLeaseLost) {
		t.reset()
	}
	return err
}

// Release ends the term, so that another entry can acquire it at once. After an error, the caller must also stop using
// the term, but other entries can only acquire it once its lease has expired or a repeated Release has succeeded.
func (t *Term) Release(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch, t.expiry = 0, time.Time{}
	if t.lease == "" {
		return nil
	}
	err := t.Store.RevokeLease(ctx, t.lease)
	if err == nil || errors.Is(err, ErrLeaseLost) {
		t.reset()
		return nil
	}
	return err
}

// maxGrantTries bounds the calls to grant a lease when responses are lost. A lease whose id was lost expires.
const maxGrantTries = 3

func grantLease(ctx context.Context, s *Store, ttl time.Duration) (LeaseID, error) {
	lease, err := s.GrantLease(ctx, ttl)
	for i := 1; i < maxGrantTries && errors.Is(err, ErrOutcomeUnknown); i++ {
		lease, err = s.GrantLease(ctx, ttl)
	}
	return lease, err
}
