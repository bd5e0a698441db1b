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

// ErrHeld means that another entry holds the scheduler duty.
var ErrHeld = errors.New("the scheduler duty is held")

// Term is one entry's part in the scheduler duty of a region. A Term is used by pointer.
//
// The epoch is the store's version of the write that took the duty. Versions of a key only grow, also after the key
// has disappeared with its lease, so each new holder has a higher epoch than all earlier ones.
type Term struct {
	Store  *Store
	Region descriptor.RegionID
	Entry  descriptor.EntryID

	mu sync.Mutex
	// lease is that of the present term, or of one whose write has an unknown outcome.
	lease LeaseID
	ttl   time.Duration
	epoch descriptor.Epoch
	until time.Time
}

// termDocument names the holder and the lease, by which a holder recognises its own write.
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

// Until returns when the term ends unless it is renewed, counted from before the last renewal was sent.
func (t *Term) Until() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.until
}

// Acquire takes the duty for ttl and returns the epoch, or ErrHeld. While the duty is held it renews it and returns
// the same epoch. It is safe to repeat after any error.
func (t *Term) Acquire(ctx context.Context, ttl time.Duration) (descriptor.Epoch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	epoch, err := t.acquire(ctx, ttl)
	if errors.Is(err, ErrLeaseLost) {
		t.forget()
		return t.acquire(ctx, ttl)
	}
	return epoch, err
}

func (t *Term) acquire(ctx context.Context, ttl time.Duration) (descriptor.Epoch, error) {
	d, v, err := t.read(ctx)
	if err != nil {
		return 0, err
	}
	if v != 0 && d.Lease != t.lease {
		return 0, fmt.Errorf("%w: by %s", ErrHeld, d.Entry)
	}
	began := time.Now()
	if err := t.keepLease(ctx, ttl); err != nil {
		return 0, err
	}
	if v == 0 {
		if v, err = t.take(ctx); err != nil {
			return 0, err
		}
	}
	t.epoch, t.until = descriptor.Epoch(v), began.Add(t.ttl)
	return t.epoch, nil
}

// forget drops a lease that was lost; the key has disappeared with it.
func (t *Term) forget() { t.lease, t.epoch, t.until = "", 0, time.Time{} }

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

// keepLease renews the lease, or grants one when there is none.
func (t *Term) keepLease(ctx context.Context, ttl time.Duration) error {
	if t.lease != "" {
		return t.Store.RenewLease(ctx, t.lease)
	}
	lease, err := grant(ctx, t.Store, ttl)
	if err != nil {
		return err
	}
	t.lease, t.ttl = lease, ttl
	return nil
}

// take writes the key under the lease and returns its version.
func (t *Term) take(ctx context.Context) (Version, error) {
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
		return 0, fmt.Errorf("%w: by %s", ErrHeld, d.Entry)
	}
	return 0, err
}

// Renew extends the term. After ErrLeaseLost it has ended.
func (t *Term) Renew(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lease == "" || t.epoch == 0 {
		return ErrLeaseLost
	}
	began := time.Now()
	err := t.Store.RenewLease(ctx, t.lease)
	if err == nil {
		t.until = began.Add(t.ttl)
	}
	if errors.Is(err, ErrLeaseLost) {
		t.forget()
	}
	return err
}

// Release ends the term, so that another entry can take the duty at once. Also after an error the caller no longer
// holds the duty; the lease then lapses by itself, or Release is repeated.
func (t *Term) Release(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epoch, t.until = 0, time.Time{}
	if t.lease == "" {
		return nil
	}
	err := t.Store.RevokeLease(ctx, t.lease)
	if err == nil || errors.Is(err, ErrLeaseLost) {
		t.forget()
		return nil
	}
	return err
}

// maxGrants is how often a lease is granted when answers are lost. A lease whose id was lost lapses by itself.
const maxGrants = 3

func grant(ctx context.Context, s *Store, ttl time.Duration) (LeaseID, error) {
	lease, err := s.GrantLease(ctx, ttl)
	for i := 1; i < maxGrants && errors.Is(err, ErrOutcomeUnknown); i++ {
		lease, err = s.GrantLease(ctx, ttl)
	}
	return lease, err
}
