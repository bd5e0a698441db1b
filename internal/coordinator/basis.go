package coordinator

import (
	"sync"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

const (
	// permitLifetime is the time after the last confirmation of the configuration during which starts are permitted. No
	// start is allowed in a failure domain later than 3 s after its removal, which leaves 1 s for the start itself.
	permitLifetime = 2 * time.Second
	// confirmInterval is short enough for four tries to confirm the configuration within permitLifetime.
	confirmInterval = 400 * time.Millisecond
	// maxStoreReadAge is the age of the last successful read up to which the store counts as reachable.
	maxStoreReadAge = time.Second
)

// basis holds the data on which start permits are based: the configuration and the time at which it was last confirmed
// to be current.
type basis struct {
	mu sync.Mutex
	// current is never replaced by a lower revision, and is not modified in place.
	current *descriptor.Configuration
	// confirmedAt is the time at which the last confirmation began: a read of the store, by this entry or by a peer, or
	// a vote of the entries. It is kept when a newer configuration is adopted.
	confirmedAt time.Time
	// storeReadAt is the time at which the last successful read of the configuration from the store began.
	storeReadAt time.Time
	// fromStore is true if confirmedAt is based on a read of the store, by this entry or by a peer.
	fromStore bool
}

// adopt replaces the current configuration by cfg if cfg is newer, and reports whether it did so.
func (b *basis) adopt(cfg *descriptor.Configuration) bool {
	if cfg == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil && cfg.Revision <= b.current.Revision {
		return false
	}
	b.current = cfg
	return true
}

// confirm records that revision was current at the time began. A confirmation of an older revision than the current
// one, or one that began no later than the last one, is ignored.
func (b *basis) confirm(revision descriptor.Revision, began time.Time, fromStore bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil && revision < b.current.Revision {
		return
	}
	if began.After(b.confirmedAt) {
		b.confirmedAt = began
		b.fromStore = fromStore
	}
}

// recordStoreRead records a successful read of the configuration from the store that began at the given time.
func (b *basis) recordStoreRead(began time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if began.After(b.storeReadAt) {
		b.storeReadAt = began
	}
}

// storeReached reports whether the store counts as reachable: the last successful read began less than maxStoreReadAge
// ago.
func (b *basis) storeReached(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.storeReadAt.IsZero() && now.Sub(b.storeReadAt) < maxStoreReadAge
}

// hasReadSince reports whether a successful read of the configuration from the store began after the given time.
func (b *basis) hasReadSince(since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.storeReadAt.After(since)
}

// configuration returns the configuration with the highest revision seen, or nil before the first one.
func (b *basis) configuration() *descriptor.Configuration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// revision returns the highest revision seen, or 0 before the first configuration.
func (b *basis) revision() descriptor.Revision {
	if cfg := b.configuration(); cfg != nil {
		return cfg.Revision
	}
	return 0
}

// age returns the time since the configuration was last confirmed, and whether that confirmation is based on a read of
// the store. Before the first confirmation, the age is the largest Duration.
func (b *basis) age(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.confirmedAt.IsZero() {
		return time.Duration(1<<63 - 1), false
	}
	return now.Sub(b.confirmedAt), b.fromStore
}

// permit returns a start permit for the remainder of permitLifetime. Its ValidFor is 0 if no start is permitted.
func (b *basis) permit(now time.Time) messenger.Permit {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return messenger.Permit{}
	}
	validFor := permitLifetime - now.Sub(b.confirmedAt)
	if b.confirmedAt.IsZero() || validFor < 0 {
		validFor = 0
	}
	return messenger.Permit{Revision: b.current.Revision, ValidFor: validFor, Out: removedFailureDomains(b.current)}
}

func removedFailureDomains(cfg *descriptor.Configuration) []descriptor.FailureDomainID {
	var out []descriptor.FailureDomainID
	for _, d := range cfg.FailureDomains {
		if d.Out {
			out = append(out, d.Name)
		}
	}
	return out
}
