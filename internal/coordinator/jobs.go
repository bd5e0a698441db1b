package coordinator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"persimmontrail/internal/keeper"
	"persimmontrail/pkg/descriptor"
)

const (
	// jobRefreshInterval is the time between full reads of the region's job records. Changes between two reads arrive
	// as messages; the reads recover changes whose messages were lost.
	jobRefreshInterval = 5 * time.Second
	// unlistedJobRetention is the age up to which a job stays cached although a read of the store does not list it. The
	// read may have begun before the job was accepted.
	unlistedJobRetention = 30 * time.Second
)

// jobCache holds the accepted jobs of the region, so that any entry can take over scheduling while the store is down.
type jobCache struct {
	region descriptor.RegionID

	mu      sync.Mutex
	records map[descriptor.JobKey]keeper.JobRecord
	// changed holds the keys of the records that have changed since the last call of takeChanged.
	changed map[descriptor.JobKey]bool
	// complete is true once all records of the region have been read.
	complete bool
	// readAt is the time at which the last successful read of all records began.
	readAt time.Time
}

// loop reads the job records every jobRefreshInterval, and more often until they have been read once.
func (c *jobCache) loop(ctx context.Context, e *Entry) {
	reader := &keeper.JobReader{Jobs: keeper.Jobs{Store: e.store, Region: c.region}}
	t := time.NewTicker(jobRefreshInterval)
	defer t.Stop()
	for {
		c.refresh(ctx, e, reader)
		wait := t.C
		if !c.isComplete() {
			wait = time.After(confirmInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-wait:
		}
	}
}

// refresh reads all records of the region and updates the cache.
func (c *jobCache) refresh(ctx context.Context, e *Entry, reader *keeper.JobReader) {
	began := e.now()
	records, err := reader.All(ctx)
	if err != nil {
		e.metrics.Increment("store_errors_total", "call", "jobs")
		return
	}
	listed := make(map[descriptor.JobKey]bool, len(records))
	for _, r := range records {
		listed[r.Job.Key()] = true
		c.put(r)
	}
	c.finishRefresh(listed, e.now())
	c.mu.Lock()
	c.readAt = began
	c.mu.Unlock()
	e.duty.wake()
}

// hasReadSince reports whether a successful read of all records began after the given time.
func (c *jobCache) hasReadSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAt.After(since)
}

// put caches a record unless the cached one is as late or later.
func (c *jobCache) put(r keeper.JobRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records == nil {
		c.records = map[descriptor.JobKey]keeper.JobRecord{}
		c.changed = map[descriptor.JobKey]bool{}
	}
	k := r.Job.Key()
	if cached, ok := c.records[k]; ok && !isLater(r, cached) {
		return
	}
	c.records[k] = r
	c.changed[k] = true
}

// isLater reports whether a is a later record than b of the same job. An ended record is final, and only an ended one
// follows a cancelling one. Otherwise a is later if its attempt is higher, or if the attempts are equal and the states
// differ.
func isLater(a, b keeper.JobRecord) bool {
	if a.State == keeper.JobEnded || b.State == keeper.JobEnded {
		return b.State != keeper.JobEnded
	}
	if a.State == keeper.JobCancelling || b.State == keeper.JobCancelling {
		return b.State != keeper.JobCancelling
	}
	return a.Attempt > b.Attempt || a.Attempt == b.Attempt && a.State != b.State
}

// finishRefresh marks the cache as complete after a read, and removes the jobs that the read did not list and that were
// accepted more than unlistedJobRetention ago.
func (c *jobCache) finishRefresh(listed map[descriptor.JobKey]bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete = true
	for k, r := range c.records {
		if !listed[k] && now.Sub(r.Accepted) > unlistedJobRetention {
			delete(c.records, k)
		}
	}
}

// isComplete reports whether all records of the region have been read.
func (c *jobCache) isComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete
}

func (c *jobCache) get(k descriptor.JobKey) (keeper.JobRecord, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.records[k]
	return r, ok
}

// takeChanged returns the records that have changed since the last call, in order of acceptance. A changed record that
// finishRefresh has removed in the meantime is returned as a zero JobRecord.
func (c *jobCache) takeChanged() []keeper.JobRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := make([]keeper.JobRecord, 0, len(c.changed))
	for k := range c.changed {
		changed = append(changed, c.records[k])
	}
	clear(c.changed)
	sortByAcceptance(changed)
	return changed
}

// snapshot returns all records in order of acceptance.
func (c *jobCache) snapshot() []keeper.JobRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	records := make([]keeper.JobRecord, 0, len(c.records))
	for _, r := range c.records {
		records = append(records, r)
	}
	sortByAcceptance(records)
	return records
}

func sortByAcceptance(records []keeper.JobRecord) {
	slices.SortFunc(records, func(a, b keeper.JobRecord) int {
		if d := a.Accepted.Compare(b.Accepted); d != 0 {
			return d
		}
		return cmp.Compare(a.Job.Key().String(), b.Job.Key().String())
	})
}

// recordWriter writes changes of job records to the store and retries them until they are durable. For each job it
// keeps only the latest change that has not been written.
type recordWriter struct {
	mu      sync.Mutex
	pending map[descriptor.JobKey]func(*keeper.JobRecord) error
	// signal holds a value if there may be pending changes; its capacity is 1.
	signal chan struct{}
}

func newRecordWriter() *recordWriter {
	return &recordWriter{pending: map[descriptor.JobKey]func(*keeper.JobRecord) error{}, signal: make(chan struct{}, 1)}
}

// enqueue adds a change of a job to the pending ones. It replaces an earlier pending change of that job.
func (w *recordWriter) enqueue(k descriptor.JobKey, change func(*keeper.JobRecord) error) {
	w.mu.Lock()
	w.pending[k] = change
	w.mu.Unlock()
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// takePending returns the pending changes and removes them from the writer.
func (w *recordWriter) takePending() map[descriptor.JobKey]func(*keeper.JobRecord) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.pending
	w.pending = map[descriptor.JobKey]func(*keeper.JobRecord) error{}
	return batch
}

// putBack adds a failed change to the pending ones again, unless a later change of the job is pending.
func (w *recordWriter) putBack(k descriptor.JobKey, change func(*keeper.JobRecord) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.pending[k]; !ok {
		w.pending[k] = change
	}
}

const (
	recordRetryInterval = 500 * time.Millisecond
	// maxRecordWrites bounds the number of concurrent changes of job records. Package keeper combines concurrent
	// changes of the same document into one write.
	maxRecordWrites = 64
)

// loop writes pending changes until ctx is done, and retries failed ones after recordRetryInterval.
func (w *recordWriter) loop(ctx context.Context, e *Entry) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.signal:
		}
		if mustRetry := w.flush(ctx, e); mustRetry {
			select {
			case <-ctx.Done():
				return
			case <-time.After(recordRetryInterval):
			}
			select {
			case w.signal <- struct{}{}:
			default:
			}
		}
	}
}

// flush writes the pending changes and reports whether any of them must be retried. It drops changes that can never
// succeed.
func (w *recordWriter) flush(ctx context.Context, e *Entry) (mustRetry bool) {
	var mu sync.Mutex
	var writes sync.WaitGroup
	slots := make(chan struct{}, maxRecordWrites)
	jobs := keeper.Jobs{Store: e.store, Region: e.settings.Region}
	for k, change := range w.takePending() {
		slots <- struct{}{}
		writes.Go(func() {
			defer func() { <-slots }()
			r, err := jobs.Change(ctx, k, change)
			if err == nil {
				e.jobs.put(r)
				e.duty.wake()
				return
			}
			if isPermanentError(err) {
				e.log.Warn("failed to change job record", "job", k, "err", err)
				return
			}
			w.putBack(k, change)
			mu.Lock()
			mustRetry = true
			mu.Unlock()
		})
	}
	writes.Wait()
	return mustRetry
}
