package coordinator

import (
	"sync"
	"time"

	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

const (
	// permitLifetime bounds how long a start may follow the moment at which the
	// configuration was confirmed. With 3 s allowed after a failure domain is
	// taken out, 1 s is left for the start itself.
	permitLifetime = 2 * time.Second
	// confirmInterval leaves four tries within one permit lifetime.
	confirmInterval = 400 * time.Millisecond
	// storeLimit is how old a store read may be for the store to count as reached.
	storeLimit = time.Second
)

// basis holds the configuration and the moment at which it was last confirmed.
type basis struct {
	mu sync.Mutex
	// current never goes back to a lower revision. It is not changed in place.
	current *descriptor.Configuration
	// confirmedAt is when the read or question that confirmed current began.
	confirmedAt time.Time
	// storeAt is when the last successful read of the store began.
	storeAt time.Time
	// fromStore tells that confirmedAt rests on a read of the store, by this entry or another.
	fromStore bool
}

// adopt takes cfg if it is newer than what is held.
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

// confirm records that revision was current at began. A confirmation of an
// older revision than the one held says nothing about the one held.
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

// storeRead records a successful read of the store.
func (b *basis) storeRead(began time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if began.After(b.storeAt) {
		b.storeAt = began
	}
}

func (b *basis) storeReached(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.storeAt.IsZero() && now.Sub(b.storeAt) < storeLimit
}

// hasReadSince reports whether a successful read of the store began after t.
func (b *basis) hasReadSince(t time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.storeAt.After(t)
}

// configuration returns the highest configuration seen; it may be nil before the first one.
func (b *basis) configuration() *descriptor.Configuration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

func (b *basis) revision() descriptor.Revision {
	if cfg := b.configuration(); cfg != nil {
		return cfg.Revision
	}
	return 0
}

// age returns how long ago the configuration was confirmed and whether the store stands behind it.
func (b *basis) age(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.confirmedAt.IsZero() {
		return time.Duration(1<<63 - 1), false
	}
	return now.Sub(b.confirmedAt), b.fromStore
}

// permit returns what is left of the permit now.
func (b *basis) permit(now time.Time) messenger.Permit {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current == nil {
		return messenger.Permit{}
	}
	left := permitLifetime - now.Sub(b.confirmedAt)
	if b.confirmedAt.IsZero() || left < 0 {
		left = 0
	}
	return messenger.Permit{Revision: b.current.Revision, ValidFor: left, Out: removedDomains(b.current)}
}

func removedDomains(cfg *descriptor.Configuration) []descriptor.FailureDomainID {
	var out []descriptor.FailureDomainID
	for _, d := range cfg.FailureDomains {
		if d.Out {
			out = append(out, d.Name)
		}
	}
	return out
}
