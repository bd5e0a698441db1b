package archiver

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// defaultWatchTimeout is how long a watch waits for a change. Together with the margin that the store client adds,
	// it is also the time to detect a hung connection, which must stay below the 2.5 s within which a new configuration
	// must take effect.
	defaultWatchTimeout = 1200 * time.Millisecond
	// loadTimeout bounds the reading of all documents, which take tens of pages. A slow store takes 0.3 s per page.
	loadTimeout = 4 * time.Second
	// probeInterval is the pause between two reads that test whether the store answers again. With two mirrors per
	// process, a fleet of 300 processes makes 4,000 of the 16,000 reads per second that its store allows.
	probeInterval = 150 * time.Millisecond
	// probeTimeout bounds such a read. A slow store answers in 0.35 s.
	probeTimeout = 700 * time.Millisecond
	// minWatchTimeout is the shortest wait of a watch, the unit of the store.
	minWatchTimeout = time.Millisecond
)

// Mirror keeps an in-memory copy of all keys with a prefix. It must not be copied after first use.
type Mirror struct {
	Store  *Store
	Prefix string
	// Changed is called after each change: from the goroutine of Run or, for an item passed to Merge, from the caller's.
	// Calls for concurrent changes may come out of order.
	Changed func(Event)
	// WatchTimeout is how long a watch waits for a change; 0 means defaultWatchTimeout. While the store answers, the
	// time that Confirmed returns is at most twice WatchTimeout plus one BatchDelay ago.
	WatchTimeout time.Duration
	// BatchDelay returns the delay between a watch that returned changes and the next watch, so that one call collects
	// the changes of that period; nil means no delay.
	BatchDelay func() time.Duration
	Log        *log.Logger

	mu sync.Mutex
	// items holds the newest known revision of each key.
	items map[string]Item
	// confirmed is the time at which the last successful call was sent; items contains all changes up to then.
	confirmed time.Time
	// complete is the revision up to which items contains all changes; 0 before the first load.
	complete Revision
	// disconnected is true if the last call failed, except with ErrCompacted, or if ReportFailure has reported a
	// timeout since.
	disconnected bool
}

// Run keeps the mirror up to date until ctx is done: it loads all keys and then watches for changes. After a failed call
// it waits until the store answers, and goes on watching where it stopped if the store still has the history.
func (m *Mirror) Run(ctx context.Context) {
	var after Revision
	loaded := false
	wait := m.watchTimeout()
	for ctx.Err() == nil {
		var err error
		if loaded {
			after, err = m.watchOnce(ctx, after, wait)
		} else {
			after, err = m.load(ctx)
			loaded = err == nil
		}
		wait = m.watchTimeout()
		switch {
		case err == nil || ctx.Err() != nil:
		case errors.Is(err, ErrCompacted):
			m.Log.Info("watch history compacted by store, reloading all keys", "prefix", m.Prefix)
			loaded = false
		default:
			m.setDisconnected(err)
			m.awaitStore(ctx)
			// The first watch returns at once, to confirm what the mirror holds.
			wait = minWatchTimeout
		}
	}
}

func (m *Mirror) watchTimeout() time.Duration { return cmp.Or(m.WatchTimeout, defaultWatchTimeout) }

// awaitStore waits until the store answers a read, or ctx is done. It sends a read every probeInterval without waiting
// for the earlier ones: after an outage in which the store was silent, those may hang although the store is back.
func (m *Mirror) awaitStore(ctx context.Context) {
	probeCtx, cancel := context.WithCancel(ctx)
	var probes sync.WaitGroup
	defer probes.Wait()
	defer cancel()
	answered := make(chan struct{}, 1)
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-answered:
			return
		case <-t.C:
		}
		probes.Go(func() {
			callCtx, cancelCall := context.WithTimeout(probeCtx, probeTimeout)
			defer cancelCall()
			if _, err := m.Store.Get(callCtx, m.Prefix); err == nil || errors.Is(err, ErrNotFound) {
				select {
				case answered <- struct{}{}:
				default:
				}
			}
		})
	}
}

// load reads all keys and removes those from the mirror that no longer exist in the store. It returns the revision to
// watch from.
func (m *Mirror) load(ctx context.Context) (Revision, error) {
	sentAt := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	items, revision, err := m.Store.ReadAll(readCtx, m.Prefix)
	if err != nil {
		return 0, err
	}
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
		m.apply(Event{Item: i})
	}
	for _, k := range m.keys() {
		if !present[k] {
			m.apply(Event{Item: Item{Key: k, Revision: revision}, Removed: true})
		}
	}
	m.setConfirmed(sentAt, revision)
	return revision, nil
}

// watchOnce waits for changes after a revision, up to wait, and applies them. It returns the revision to continue from.
func (m *Mirror) watchOnce(ctx context.Context, after Revision, wait time.Duration) (Revision, error) {
	sentAt := time.Now()
	events, current, err := m.Store.Watch(ctx, m.Prefix, after, wait)
	if err != nil {
		return after, err
	}
	for _, e := range events {
		m.apply(e)
	}
	m.setConfirmed(sentAt, max(after, current))
	if m.BatchDelay != nil && len(events) > 0 {
		sleep(ctx, m.BatchDelay())
	}
	return max(after, current), nil
}

// apply records a change unless the mirror already holds the same or a newer revision of the key; a removal is recorded
// also at the same revision.
func (m *Mirror) apply(e Event) {
	m.mu.Lock()
	old, known := m.items[e.Key]
	if known && (old.Revision > e.Revision || old.Revision == e.Revision && !e.Removed) {
		m.mu.Unlock()
		return
	}
	if m.items == nil {
		m.items = map[string]Item{}
	}
	if e.Removed {
		delete(m.items, e.Key)
	} else {
		m.items[e.Key] = e.Item
	}
	m.mu.Unlock()
	if m.Changed != nil && (known || !e.Removed) {
		m.Changed(e)
	}
}

// Merge applies an item that was read or written by a call outside the mirror. It ignores an item that is late: one of
// a key that the mirror does not hold, although it holds all changes up to the item's revision, was removed since.
func (m *Mirror) Merge(i Item) {
	m.mu.Lock()
	_, known := m.items[i.Key]
	removed := !known && i.Revision <= m.complete
	m.mu.Unlock()
	if !removed {
		m.apply(Event{Item: i})
	}
}

func (m *Mirror) keys() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	keys := make([]string, 0, len(m.items))
	for k := range m.items {
		keys = append(keys, k)
	}
	return keys
}

func (m *Mirror) setConfirmed(sentAt time.Time, complete Revision) {
	m.mu.Lock()
	m.confirmed, m.complete = sentAt, max(m.complete, complete)
	reconnected := m.disconnected
	m.disconnected = false
	m.mu.Unlock()
	if reconnected {
		m.Log.Info("store reachable again", "prefix", m.Prefix)
	}
}

func (m *Mirror) setDisconnected(err error) {
	m.mu.Lock()
	wasConnected := !m.disconnected
	m.disconnected = true
	m.mu.Unlock()
	if wasConnected {
		m.Log.Warn("store unreachable", "prefix", m.Prefix, "err", err)
	}
}

// Get returns the item stored under key, if the mirror holds one.
func (m *Mirror) Get(key string) (Item, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, ok := m.items[key]
	return i, ok
}

// Confirmed returns the time up to which the mirror is known to hold all changes, or zero before the first load.
func (m *Mirror) Confirmed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed
}

// ReportFailure marks the mirror as disconnected if err is a timeout of a store call outside the mirror, so that a
// store that stopped answering is detected before the mirror's own watch times out. The mirror's next successful call
// resets the mark.
func (m *Mirror) ReportFailure(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		m.setDisconnected(err)
	}
}

// Disconnected reports whether the mirror's last call to the store failed, or ReportFailure has reported a timeout
// since.
func (m *Mirror) Disconnected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.disconnected
}

// Each calls f for each item, in no particular order, until f returns false. f must not call methods of the mirror.
func (m *Mirror) Each(f func(Item) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, i := range m.items {
		if !f(i) {
			return
		}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
