package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

const memberPrefix = "entries/"

// Member is a registered entry.
type Member struct {
	Entry  descriptor.EntryID
	Region descriptor.RegionID
	// Address is where the entry listens for other processes of the system.
	Address string
	// HTTPAddress is where the entry serves callers.
	HTTPAddress string `json:",omitempty"`
	JoinedAt    time.Time
}

// Members keeps the registered entries.
type Members struct{ Store *Store }

// Membership is the registration of one entry.
type Membership struct {
	store  *Store
	member Member
	ttl    time.Duration

	mu    sync.Mutex
	lease LeaseID
}

// Join registers an entry until it leaves or does not renew within ttl. Joining again under the same id replaces the
// registration.
func (m Members) Join(ctx context.Context, member Member, ttl time.Duration) (*Membership, error) {
	if member.JoinedAt.IsZero() {
		member.JoinedAt = time.Now().UTC()
	}
	ms := &Membership{store: m.Store, member: member, ttl: ttl}
	if err := ms.register(ctx); err != nil {
		return nil, err
	}
	return ms, nil
}

func (m *Membership) register(ctx context.Context) error {
	lease, err := grant(ctx, m.store, m.ttl)
	if err != nil {
		return err
	}
	_, err = Update(ctx, m.store, memberPrefix+string(m.member.Entry), lease, func(d *memberDocument) (bool, error) {
		if d.Lease == lease {
			return false, nil
		}
		*d = memberDocument{Member: m.member, Lease: lease}
		return true, nil
	})
	if err != nil {
		return err
	}
	m.lease = lease
	return nil
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

// memberDocument names the lease it was written with, by which a write is recognised.
type memberDocument struct {
	Member
	Lease LeaseID
}

// Renew extends the registration, and registers again when it has lapsed.
func (m *Membership) Renew(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.store.RenewLease(ctx, m.lease)
	if errors.Is(err, ErrLeaseLost) {
		return m.register(ctx)
	}
	return err
}

// Leave ends the registration.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.store.RevokeLease(ctx, m.lease)
	if errors.Is(err, ErrLeaseLost) {
		return nil
	}
	return err
}

// List returns the registered entries, ordered by id.
func (m Members) List(ctx context.Context) ([]Member, error) {
	items, err := m.Store.List(ctx, memberPrefix)
	if err != nil {
		return nil, err
	}
	var all []Member
	for k, data := range items {
		member, err := decodeMember(k, data)
		if err != nil {
			return nil, err
		}
		all = append(all, member)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(string(a.Entry), string(b.Entry)) })
	return all, nil
}

func decodeMember(key string, data []byte) (Member, error) {
	var d memberDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return Member{}, fmt.Errorf("document %s: %w", key, err)
	}
	return d.Member, nil
}
