// Package archiver keeps workloads and their progress in the platform's store and mirrors them in memory.
//
// It is written against Store, a seam of function fields, and knows nothing of how the platform spells its calls.
package archiver

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Revision counts the changes of the store; it only grows.
type Revision int64

// LeaseID names a lease; 0 means none.
type LeaseID int64

// Errors of the store.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrCompacted means that the history after the given revision is gone.
	ErrCompacted = errors.New("history compacted")
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that the call may have taken effect, now or later.
	ErrOutcomeUnknown = errors.New("outcome of the write unknown")
	// ErrLeaseLost means that the lease has ended.
	ErrLeaseLost = errors.New("lease lost")
)

// ConflictError means that a condition did not hold. Nothing was written.
type ConflictError struct {
	// Items are the keys of the conditions as they are now; missing keys have Revision 0.
	Items []Item
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition on %d keys does not hold", len(e.Items))
}

// Item is one key and its value.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	// Created is the revision at which the key was created.
	Created Revision
}

// Event is a change of one key.
type Event struct {
	Item
	Removed bool
}

// Condition requires that Key has Revision; 0 means that it does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets a key.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is applied as a whole or not at all.
type Txn struct {
	If     []Condition
	Put    []Write
	Remove []string
}

// MaxTxnEntries is the most conditions, writes and removals that the store takes in one transaction.
const MaxTxnEntries = 32

// Store is the seam to the platform's store. All functions are safe for concurrent use.
type Store struct {
	Get func(ctx context.Context, key string) (Item, error)
	// Range returns one page of the keys with the prefix that come after a key, and the store's revision.
	Range func(ctx context.Context, prefix, after string) (items []Item, more bool, current Revision, err error)
	// Watch returns the events after a revision, or none after wait, and the revision to continue from.
	Watch func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Commit returns ConflictError, ErrLeaseLost or ErrUnavailable without effect.
	Commit func(ctx context.Context, t Txn) (Revision, error)
	Grant  func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew  func(ctx context.Context, id LeaseID) error
	End    func(ctx context.Context, id LeaseID) error
}

// pageTimeout bounds one page, so that a silent connection does not use up the time for all of them.
const pageTimeout = 900 * time.Millisecond

// ReadAll returns all keys with the prefix and the revision before which none of their changes is missing.
func (s *Store) ReadAll(ctx context.Context, prefix string) ([]Item, Revision, error) {
	var all []Item
	var first Revision
	after := ""
	for {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		items, more, current, err := s.Range(pageCtx, prefix, after)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = current
		}
		all = append(all, items...)
		if !more || len(items) == 0 {
			return all, first, nil
		}
		after = items[len(items)-1].Key
	}
}
