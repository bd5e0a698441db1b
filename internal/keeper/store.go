// Package keeper keeps durable state in the platform's store: the configuration, accepted jobs,
// claims of non-idempotent requests, entry membership and the scheduler term of each region.
package keeper

import (
	"context"
	"crypto/rand"
	"errors"
	"maps"
	"sync"
	"time"
)

// Version numbers the writes of one key and only grows; 0 means that the key does not exist.
type Version int64

// LeaseID names a lease; empty means no lease.
type LeaseID string

// Errors of the store.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrUnchanged means that the key still has the version that the caller knows.
	ErrUnchanged = errors.New("value unchanged")
	// ErrConflict means that the key has another version than expected.
	ErrConflict = errors.New("version conflict")
	// ErrTooLarge means that a document would exceed its limit.
	ErrTooLarge = errors.New("document too large")
	// ErrLeaseLost means that the lease has lapsed or was revoked.
	ErrLeaseLost = errors.New("lease lost")
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that the call may have taken effect, now or later.
	ErrOutcomeUnknown = errors.New("outcome of the write unknown")
	// ErrLimited means that the call was over the store's rate and had no effect.
	ErrLimited = errors.New("over the rate of the store")
)

// CallKind names a kind of call to the store.
type CallKind string

// Kinds of calls. A pending watch is one call.
const (
	CallGet         CallKind = "Get"
	CallPut         CallKind = "Put"
	CallDelete      CallKind = "Delete"
	CallList        CallKind = "List"
	CallWatch       CallKind = "Watch"
	CallGrantLease  CallKind = "GrantLease"
	CallRenewLease  CallKind = "RenewLease"
	CallRevokeLease CallKind = "RevokeLease"
)

// Store is the only seam to the platform's store. A Store is used by pointer and safe for concurrent use.
type Store struct {
	// Get returns ErrNotFound for a key that does not exist.
	Get func(ctx context.Context, key string) (data []byte, v Version, err error)
	// GetChanged is Get for a caller that knows a version, which is not 0; it returns ErrUnchanged when the key still
	// has it. Nil means that Get is used instead.
	GetChanged func(ctx context.Context, key string, known Version) (data []byte, v Version, err error)
	// Put writes key if it has version expect. It returns ErrConflict, ErrTooLarge or ErrLeaseLost without effect.
	Put func(ctx context.Context, key string, data []byte, expect Version, lease LeaseID) (Version, error)
	// Delete removes key if it has version expect.
	Delete func(ctx context.Context, key string, expect Version) error
	// List returns all keys with the prefix.
	List func(ctx context.Context, prefix string) (map[string][]byte, error)
	// Watch returns when the version of key differs from after, or when ctx ends.
	Watch func(ctx context.Context, key string, after Version) (data []byte, v Version, err error)
	// GrantLease returns a lease that lapses after ttl unless it is renewed.
	GrantLease func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease returns ErrLeaseLost when the lease has lapsed.
	RenewLease func(ctx context.Context, id LeaseID) error
	// RevokeLease removes the lease and the keys written with it.
	RevokeLease func(ctx context.Context, id LeaseID) error

	mu        sync.Mutex
	calls     map[CallKind]int64
	documents map[string]*queue
	// writer marks the writes of this process in documents.
	writer string
}

// getChanged is GetChanged, or Get when known is 0 or the store has no GetChanged.
func (s *Store) getChanged(ctx context.Context, key string, known Version) ([]byte, Version, error) {
	if known == 0 || s.GetChanged == nil {
		return s.Get(ctx, key)
	}
	return s.GetChanged(ctx, key, known)
}

// Calls returns how many calls were made, by kind.
func (s *Store) Calls() map[CallKind]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

func (s *Store) count(k CallKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = map[CallKind]int64{}
	}
	s.calls[k]++
}

// queueFor returns the queue of key and the name of this writer.
func (s *Store) queueFor(key string) *queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writer == "" {
		s.writer = rand.Text()
	}
	if s.documents == nil {
		s.documents = map[string]*queue{}
	}
	q := s.documents[key]
	if q == nil {
		q = &queue{store: s, key: key, writer: s.writer}
		s.documents[key] = q
	}
	return q
}
