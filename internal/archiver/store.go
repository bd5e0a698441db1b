// Package archiver stores workloads and their progress as documents in the platform's key-value store and mirrors them
// in memory. The package is part of the program persimmontrail-node; the program persimmontrail keeps other documents
// in the store, with package keeper.
//
// The store is accessed through Store, a struct of functions, so that the package does not depend on the platform's
// wire format. An entry is a process that accepts calls, an agent is a process that runs next to a worker, and the
// leader is the entry that currently schedules. A node is identified by a name and runs an entry, or an agent with its
// worker.
package archiver

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Revision is the number of a change to the store. Revisions only increase.
type Revision int64

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Errors that the functions of Store return, beside ConflictError.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrCompacted means that the store no longer has the history after the given revision.
	ErrCompacted = errors.New("history compacted")
	// ErrUnavailable means that the call failed and certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that the write may have taken effect or may do so later.
	ErrOutcomeUnknown = errors.New("outcome of the write unknown")
	// ErrLeaseLost means that the lease has expired or was revoked.
	ErrLeaseLost = errors.New("lease lost")
)

// ConflictError means that a condition of a transaction did not hold. Nothing was written.
type ConflictError struct {
	// Items holds the current items of the keys in the conditions; missing keys have Revision 0.
	Items []Item
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition on %d keys does not hold", len(e.Items))
}

// Item is a key with its value and revisions.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Created is the revision at which the key was created. Later changes of its value leave it as it is.
	Created Revision
}

// Event is a change of a key or its removal, at the revision of its item.
type Event struct {
	Item
	Removed bool
}

// Condition requires that Key was last changed at Revision; 0 requires that it does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets the value of a key and attaches it to a lease, if one is given.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction: if all conditions hold, its writes and removals are applied atomically.
type Txn struct {
	If     []Condition
	Put    []Write
	Remove []string
}

// MaxTxnOperations is the store's limit on the total of conditions, writes and removals in one transaction.
const MaxTxnOperations = 32

// Store is the client of the platform's key-value store. All functions are safe for concurrent use.
type Store struct {
	Get func(ctx context.Context, key string) (Item, error)
	// Range returns one page of the items whose keys have the prefix and sort after the given key, whether there are more,
	// and the store's revision.
	Range func(ctx context.Context, prefix, after string) (items []Item, more bool, current Revision, err error)
	// Watch waits up to wait for events after a revision. It returns them and the revision to continue from.
	Watch func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Commit applies a transaction. ConflictError, ErrLeaseLost and ErrUnavailable mean that nothing was written.
	Commit func(ctx context.Context, t Txn) (Revision, error)
	Grant  func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew  func(ctx context.Context, id LeaseID) error
	Revoke func(ctx context.Context, id LeaseID) error
}

// pageTimeout bounds the read of one page, so that a hung connection does not use up the time for all pages.
const pageTimeout = 900 * time.Millisecond

// ReadAll returns all items with the prefix and the revision from which to watch for changes. That is the revision of
// the first page, because changes made while later pages are read may be missing from the earlier ones.
func (s *Store) ReadAll(ctx context.Context, prefix string) ([]Item, Revision, error) {
	var allItems []Item
	var firstRevision Revision
	after := ""
	for {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		items, more, current, err := s.Range(pageCtx, prefix, after)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if firstRevision == 0 {
			firstRevision = current
		}
		allItems = append(allItems, items...)
		if !more || len(items) == 0 {
			return allItems, firstRevision, nil
		}
		after = items[len(items)-1].Key
	}
}
