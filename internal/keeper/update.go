package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const (
	// batchInterval is the minimum time from a write of a document to the start of the next batch of changes. Changes made
	// in between are written together.
	batchInterval = 20 * time.Millisecond
	// MaxDocumentBytes is the maximum size of a document. The store rejects values over 1 MB.
	MaxDocumentBytes = 1_000_000
	// growthLimitBytes is the size up to which records may be added. The rest is reserved for changes of existing records.
	growthLimitBytes = 900_000
	// unknownOutcomeTimeout bounds the time spent on finding out whether a write with a lost response took effect.
	unknownOutcomeTimeout = 10 * time.Second
	// minRetryDelay is the delay after the first failed call. It doubles with each further one up to maxRetryDelay.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxRateLimitRetries bounds the retries of a batch after calls that the store's rate limit rejected. It does not
	// apply while the outcome of a write is unknown.
	maxRateLimitRetries = 5
	// markRetention is how long the mark of a writer is kept in a document. It must far exceed unknownOutcomeTimeout, as a
	// writer that no longer finds its mark assumes that its write had no effect.
	markRetention = time.Hour
)

// Marks records the last write of each writer of a document, where a writer is one Store. A writer whose response was
// lost uses its mark to recognise its own write, even if others have written since.
type Marks struct {
	Writers map[string]Mark `json:",omitempty"`
}

// Mark identifies the last write of one writer by its sequence number, which is unique for a writer and document. At is
// the time by the writer's clock.
type Mark struct {
	Sequence int64
	At       time.Time
}

func (m *Marks) hasMark(writerID string, sequence int64) bool {
	return m.Writers[writerID].Sequence == sequence
}

func (m *Marks) setMark(writerID string, sequence int64, now time.Time) {
	if m.Writers == nil {
		m.Writers = map[string]Mark{}
	}
	for w, k := range m.Writers {
		if now.Sub(k.At) > markRetention {
			delete(m.Writers, w)
		}
	}
	m.Writers[writerID] = Mark{Sequence: sequence, At: now}
}

// markedDocument is implemented by documents that embed Marks.
type markedDocument interface {
	hasMark(writerID string, sequence int64) bool
	setMark(writerID string, sequence int64, now time.Time)
}

// Update reads the document at key, applies change and writes the result by compare-and-swap, retrying after conflicts.
// A document that does not exist is passed as the zero value. Changes of one document made through the same Store are
// batched. change may be called several times, each time with the latest document. Unless T embeds Marks, change must
// be idempotent and detect that an earlier write of its own has taken effect. If it returns an error, Update returns
// that error and the change has no effect. After ErrUnavailable or ErrRateLimited, the change has had no effect and
// never will; after ErrOutcomeUnknown, it may have or may still take effect. Update returns the document as written,
// which may include other changes of the batch, or as read if nothing was changed.
func Update[T any](ctx context.Context, s *Store, key string, lease LeaseID, change func(*T) (changed bool, err error)) (T, error) {
	var result T
	data, err := update(ctx, s, key, lease, MaxDocumentBytes, change)
	if err != nil {
		return result, err
	}
	if len(data) > 0 {
		err = json.Unmarshal(data, &result)
	}
	return result, err
}

// update is Update with a limit on the size of the document. It returns the encoded document as written or, if nothing
// was changed, as read.
func update[T any](ctx context.Context, s *Store, key string, lease LeaseID, maxBytes int, apply func(*T) (bool, error)) ([]byte, error) {
	c := &change{
		lease:    lease,
		maxBytes: maxBytes,
		done:     make(chan struct{}),
		decode: func(data []byte) (any, error) {
			d := new(T)
			if len(data) == 0 {
				return d, nil
			}
			return d, json.Unmarshal(data, d)
		},
		apply: func(d any) (bool, error) {
			t, ok := d.(*T)
			if !ok {
				return false, fmt.Errorf("document %s has type %T in another change", key, d)
			}
			return apply(t)
		},
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	q := s.queueFor(key)
	q.add(c)
	select {
	case <-c.done:
	case <-ctx.Done():
		q.cancel(c, ctx.Err())
	}
	return c.data, c.err
}

// change is one caller's change of a document. The mutex of the queue guards the fields from inFlight on until done is
// closed.
type change struct {
	lease LeaseID
	// maxBytes is the size that the document must not exceed if the change modifies it.
	maxBytes int
	decode   func([]byte) (any, error)
	apply    func(any) (bool, error)

	// modified and applyErr are the results of the last call of apply. Only the goroutine that runs the queue uses them.
	modified bool
	applyErr error
	// inFlight is set while a write that includes the change may still take effect.
	inFlight bool
	// completed is set, and done is closed, once data and err hold the outcome.
	completed bool
	data      []byte
	err       error
	done      chan struct{}
}

// writeQueue serialises the changes of one document. A goroutine runs while changes are pending.
type writeQueue struct {
	store    *Store
	key      string
	writerID string

	mu      sync.Mutex
	pending []*change
	// running is set while the goroutine runs.
	running   bool
	lastPutAt time.Time
	// sequence is the sequence number last assigned to a write.
	sequence int64
}

func (q *writeQueue) add(c *change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, c)
	if !q.running {
		q.running = true
		go q.run()
	}
}

// cancel completes c because its caller's context has ended: with ErrOutcomeUnknown if c is in flight, and otherwise
// with ErrUnavailable.
func (q *writeQueue) cancel(c *change, cause error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.completed {
		return
	}
	kind := ErrUnavailable
	if c.inFlight {
		kind = ErrOutcomeUnknown
	}
	q.complete(c, nil, fmt.Errorf("%w: %w", kind, cause))
}

// complete sets the outcome of c unless it is already set. The caller holds q.mu.
func (q *writeQueue) complete(c *change, data []byte, err error) {
	if c.completed {
		return
	}
	c.completed, c.data, c.err = true, data, err
	close(c.done)
}

// run writes the pending changes in batches until none is left.
func (q *writeQueue) run() {
	for {
		q.mu.Lock()
		if len(q.pending) == 0 {
			q.running = false
			q.mu.Unlock()
			return
		}
		delay := batchInterval - time.Since(q.lastPutAt)
		q.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		q.writeBatch(q.nextBatch())
	}
}

// nextBatch removes the next batch and all completed changes from the queue. All changes of a batch are written under
// the same lease.
func (q *writeQueue) nextBatch() []*change {
	q.mu.Lock()
	defer q.mu.Unlock()
	var batch, rest []*change
	for _, c := range q.pending {
		switch {
		case c.completed:
		case len(batch) == 0 || batch[0].lease == c.lease:
			batch = append(batch, c)
		default:
			rest = append(rest, c)
		}
	}
	q.pending = rest
	return batch
}

// writeBatch writes a batch to the document and returns when all its changes are completed.
func (q *writeQueue) writeBatch(batch []*change) {
	w := &batchWriter{queue: q, batch: batch}
	for w.step() {
	}
}
