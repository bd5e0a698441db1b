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
	// jobRefresh is the time between full reads of the region's job documents. Changes
	// between two reads arrive as messages; the read finds those that were lost.
	jobRefresh = 5 * time.Second
	// jobForgetLimit is how long a job that the store does not list stays cached, since
	// a read may have begun before the job was accepted.
	jobForgetLimit = 30 * time.Second
)

// jobCache holds the accepted jobs of the region, so that any entry can take
// over the scheduling while the store is down.
type jobCache struct {
	region descriptor.RegionID

	mu      sync.Mutex
	records map[descriptor.JobKey]keeper.JobRecord
	// changed holds the keys of records that changed since takeChanged.
	changed map[descriptor.JobKey]bool
	// complete is set once all records were read.
	complete bool
	// readAt is when the last read of all records began.
	readAt time.Time
}

func (c *jobCache) loop(ctx context.Context, e *Entry) {
	reader := &keeper.JobReader{Jobs: keeper.Jobs{Store: e.store, Region: c.region}}
	t := time.NewTicker(jobRefresh)
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

func (c *jobCache) refresh(ctx context.Context, e *Entry, reader *keeper.JobReader) {
	began := e.now()
	records, err := reader.All(ctx)
	if err != nil {
		e.metrics.Count("store_errors_total", "call", "jobs")
		return
	}
	listed := make(map[descriptor.JobKey]bool, len(records))
	for _, r := range records {
		listed[r.Job.Key()] = true
		c.put(r)
	}
	c.forgetUnlisted(listed, e.now())
	c.mu.Lock()
	c.readAt = began
	c.mu.Unlock()
	e.duty.wake()
}

// readSince reports whether all records were read after a moment.
func (c *jobCache) readSince(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAt.After(at)
}

// put takes over a record unless a later one is known.
func (c *jobCache) put(r keeper.JobRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.records == nil {
		c.records = map[descriptor.JobKey]keeper.JobRecord{}
		c.changed = map[descriptor.JobKey]bool{}
	}
	k := r.Job.Key()
	if before, ok := c.records[k]; ok && !isLater(r, before) {
		return
	}
	c.records[k] = r
	c.changed[k] = true
}

// isLater reports whether a follows b in the life of a job, which only moves forward.
func isLater(a, b keeper.JobRecord) bool {
	if a.State == keeper.JobEnded || b.State == keeper.JobEnded {
		return b.State != keeper.JobEnded
	}
	if a.State == keeper.JobCancelling || b.State == keeper.JobCancelling {
		return b.State != keeper.JobCancelling
	}
	return a.Attempt > b.Attempt || a.Attempt == b.Attempt && a.State != b.State
}

func (c *jobCache) forgetUnlisted(listed map[descriptor.JobKey]bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete = true
	for k, r := range c.records {
		if !listed[k] && now.Sub(r.Accepted) > jobForgetLimit {
			delete(c.records, k)
		}
	}
}

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

// takeChanged returns the records that changed since the last call, in order of acceptance.
func (c *jobCache) takeChanged() []keeper.JobRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]keeper.JobRecord, 0, len(c.changed))
	for k := range c.changed {
		list = append(list, c.records[k])
	}
	clear(c.changed)
	sortByAcceptance(list)
	return list
}

// all returns all records in order of acceptance.
func (c *jobCache) all() []keeper.JobRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]keeper.JobRecord, 0, len(c.records))
	for _, r := range c.records {
		list = append(list, r)
	}
	sortByAcceptance(list)
	return list
}

func sortByAcceptance(list []keeper.JobRecord) {
	slices.SortFunc(list, func(a, b keeper.JobRecord) int {
		if d := a.Accepted.Compare(b.Accepted); d != 0 {
			return d
		}
		return cmp.Compare(a.Job.Key().String(), b.Job.Key().String())
	})
}

// recordWriter writes changes of job records to the store and repeats them
// until they are durable. Changes of one job are applied in order; while the
// store is down, only the latest one of each job is kept.
type recordWriter struct {
	mu      sync.Mutex
	pending map[descriptor.JobKey]func(*keeper.JobRecord) error
	signal  chan struct{}
}

func newRecordWriter() *recordWriter {
	return &recordWriter{pending: map[descriptor.JobKey]func(*keeper.JobRecord) error{}, signal: make(chan struct{}, 1)}
}

func (w *recordWriter) add(k descriptor.JobKey, change func(*keeper.JobRecord) error) {
	w.mu.Lock()
	w.pending[k] = change
	w.mu.Unlock()
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// take returns the pending changes and leaves them pending until done is called.
func (w *recordWriter) take() map[descriptor.JobKey]func(*keeper.JobRecord) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.pending
	w.pending = map[descriptor.JobKey]func(*keeper.JobRecord) error{}
	return batch
}

// putBack keeps a change that failed, unless a later one has replaced it.
func (w *recordWriter) putBack(k descriptor.JobKey, change func(*keeper.JobRecord) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.pending[k]; !ok {
		w.pending[k] = change
	}
}

const (
	recordRetry = 500 * time.Millisecond
	// recordWriters bounds the changes that wait for the store at the same time;
	// the keeper batches those of one document into one write.
	recordWriters = 64
)

func (w *recordWriter) loop(ctx context.Context, e *Entry) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.signal:
		}
		if failed := w.flush(ctx, e); failed {
			select {
			case <-ctx.Done():
				return
			case <-time.After(recordRetry):
			}
			select {
			case w.signal <- struct{}{}:
			default:
			}
		}
	}
}

func (w *recordWriter) flush(ctx context.Context, e *Entry) (failed bool) {
	var mu sync.Mutex
	var writes sync.WaitGroup
	slots := make(chan struct{}, recordWriters)
	jobs := keeper.Jobs{Store: e.store, Region: e.settings.Region}
	for k, change := range w.take() {
		slots <- struct{}{}
		writes.Go(func() {
			defer func() { <-slots }()
			r, err := jobs.Change(ctx, k, change)
			if err == nil {
				e.jobs.put(r)
				e.duty.wake()
				return
			}
			if isPermanent(err) {
				e.log.Warn("job record not changed", "job", k, "err", err)
				return
			}
			w.putBack(k, change)
			mu.Lock()
			failed = true
			mu.Unlock()
		})
	}
	writes.Wait()
	return failed
}
