// Package keeper is the client of the platform's key-value store, which holds the configuration, accepted jobs, claims
// on non-idempotent requests, the roster of entries and, for each region, the term of its scheduler. The platform is
// the environment that owns the workers and runs the store.
//
// A document is a JSON value under one key. Entries are the processes that accept configurations, jobs and requests;
// the roster lists them. The entry that holds the term of a region, under a lease that it renews, is the region's
// scheduler; the epoch numbers the terms. A claim names the only agent that may run a non-idempotent request.
package keeper

import (
	"context"
	"crypto/rand"
	"errors"
	"maps"
	"sync"
	"time"
)

// Version is the number of the write that produced the value of a key. It only increases; 0 means that the key does not
// exist.
type Version int64

// LeaseID identifies a lease; empty means no lease.
type LeaseID string

var (
	// ErrNotFound means that the key, or a record within its document, does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrUnchanged means that the key still has the version known to the caller.
	ErrUnchanged = errors.New("value unchanged")
	// ErrConflict means that the key does not have the expected version.
	ErrConflict = errors.New("version conflict")
	// ErrTooLarge means that the document would exceed its size limit.
	ErrTooLarge = errors.New("document too large")
	// ErrLeaseLost means that the lease has expired or was revoked.
	ErrLeaseLost = errors.New("lease lost")
	// ErrUnavailable means that the call had no effect and never will.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that the call may have taken effect or may still do so.
	ErrOutcomeUnknown = errors.New("outcome of the write unknown")
	// ErrRateLimited means that the store's rate limit rejected the call, which had no effect.
	ErrRateLimited = errors.New("over the rate of the store")
)

// CallKind is the kind under which Store.Calls counts a call, named after the function of Store.
type CallKind string

// GetChanged counts as CallGet. Each long poll of a watch counts as one call.
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

// Store gives access to the platform's key-value store. All calls go through its functions, which NewHTTPStore sets and
// tests can replace. A Store is safe for concurrent use and must not be copied.
type Store struct {
	// Get returns ErrNotFound for a key that does not exist.
	Get func(ctx context.Context, key string) (data []byte, v Version, err error)
	// GetChanged is Get for a caller that already has a version other than 0. It returns ErrUnchanged if the key still has
	// that version. If GetChanged is nil, Get is used instead.
	GetChanged func(ctx context.Context, key string, known Version) (data []byte, v Version, err error)
	// Put writes key if its version is expect, 0 for a new key, and returns the new version. The key is deleted when the
	// lease ends; an empty lease means that it is kept. After ErrOutcomeUnknown, the value may have been written; after
	// the other errors above, it was not.
	Put func(ctx context.Context, key string, data []byte, expect Version, lease LeaseID) (Version, error)
	// Delete removes key if its version is expect. Otherwise it returns ErrConflict, or ErrNotFound if there is no such
	// key.
	Delete func(ctx context.Context, key string, expect Version) error
	// List returns all keys with the prefix and their values, without versions.
	List func(ctx context.Context, prefix string) (map[string][]byte, error)
	// Watch blocks until the version of key differs from after, a call fails or ctx ends. If after is 0, it waits for a
	// missing key to be created. Otherwise it returns ErrNotFound for a missing key.
	Watch func(ctx context.Context, key string, after Version) (data []byte, v Version, err error)
	// GrantLease returns a lease that expires after ttl unless it is renewed.
	GrantLease func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease restarts the ttl of the lease. It returns ErrLeaseLost if the lease has expired or was revoked.
	RenewLease func(ctx context.Context, id LeaseID) error
	// RevokeLease ends the lease and deletes the keys written under it. It returns ErrLeaseLost if the lease has already
	// ended.
	RevokeLease func(ctx context.Context, id LeaseID) error

	mu    sync.Mutex
	calls map[CallKind]int64
	// queues holds the write queues by document key.
	queues map[string]*writeQueue
	// writerID identifies this Store in the Marks of documents.
	writerID string
}

// getChanged calls GetChanged, or Get if known is 0 or GetChanged is nil.
func (s *Store) getChanged(ctx context.Context, key string, known Version) ([]byte, Version, error) {
	if known == 0 || s.GetChanged == nil {
		return s.Get(ctx, key)
	}
	return s.GetChanged(ctx, key, known)
}

// Calls returns the number of calls made so far, by kind, including failed ones. Only the functions that NewHTTPStore
// sets count their calls.
func (s *Store) Calls() map[CallKind]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

func (s *Store) countCall(k CallKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = map[CallKind]int64{}
	}
	s.calls[k]++
}

// queueFor returns the write queue of key, creating it if necessary.
func (s *Store) queueFor(key string) *writeQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writerID == "" {
		s.writerID = rand.Text()
	}
	if s.queues == nil {
		s.queues = map[string]*writeQueue{}
	}
	q := s.queues[key]
	if q == nil {
		q = &writeQueue{store: s, key: key, writerID: s.writerID}
		s.queues[key] = q
	}
	return q
}
