package keeper

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const (
	// batchInterval is the least time between two writes of one document; changes meanwhile are written together.
	batchInterval = 20 * time.Millisecond
	// MaxDocument is the largest document in bytes. The store refuses values over 1 MB.
	MaxDocument = 1_000_000
	// growthLimit is the size up to which records are added. The rest is left for changes of existing records.
	growthLimit = 900_000
	// resolveTimeout bounds how long an unknown outcome is looked into.
	resolveTimeout = 10 * time.Second
	// retryPause is the first pause after a failed call; it doubles up to maxRetryPause.
	retryPause    = 20 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// maxLimited is how often a call over the rate is repeated.
	maxLimited = 5
	// markRetention is how long the mark of a writer stays in a document, far longer than resolveTimeout.
	markRetention = time.Hour
)

// Marks records the last write of each writer in a document, so that a writer whose answer was lost
// recognises its own write even when others have written since.
type Marks struct {
	Writers map[string]Mark `json:",omitempty"`
}

// Mark is the last write of one writer.
type Mark struct {
	Sequence int64
	At       time.Time
}

func (m *Marks) marked(writer string, sequence int64) bool {
	return m.Writers[writer].Sequence == sequence
}

func (m *Marks) mark(writer string, sequence int64, now time.Time) {
	if m.Writers == nil {
		m.Writers = map[string]Mark{}
	}
	for w, k := range m.Writers {
		if now.Sub(k.At) > markRetention {
			delete(m.Writers, w)
		}
	}
	m.Writers[writer] = Mark{Sequence: sequence, At: now}
}

// marker is a document that embeds Marks.
type marker interface {
	marked(writer string, sequence int64) bool
	mark(writer string, sequence int64, now time.Time)
}

// Update reads the document at key, applies change and writes the result by compare-and-swap, until that succeeds.
// Changes of the same document by one Store are batched. change may be called more than once, each time with the
// latest document; it must be idempotent and recognise its own earlier write, unless T embeds Marks.
// A document that does not exist is the zero value. After ErrUnavailable or ErrLimited the change has had no effect
// and never will; after ErrOutcomeUnknown it may take effect.
func Update[T any](ctx context.Context, s *Store, key string, lease LeaseID, change func(*T) (changed bool, err error)) (T, error) {
	var result T
	data, err := update(ctx, s, key, lease, MaxDocument, change)
	if err != nil {
		return result, err
	}
	if len(data) > 0 {
		err = json.Unmarshal(data, &result)
	}
	return result, err
}

// update is Update with a limit on the size of the document; it returns the document as written.
func update[T any](ctx context.Context, s *Store, key string, lease LeaseID, limit int, apply func(*T) (bool, error)) ([]byte, error) {
	c := &change{
		lease: lease,
		limit: limit,
		done:  make(chan struct{}),
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
		q.abandon(c, ctx.Err())
	}
	return c.data, c.err
}

// change is one caller's part of a batch. The queue's mutex guards it until done is closed.
type change struct {
	lease  LeaseID
	limit  int
	decode func([]byte) (any, error)
	apply  func(any) (bool, error)

	// changed and refusal are the outcome of the last call of apply, which only the runner uses.
	changed bool
	refusal error
	// exposed is set while a write that holds the change may take effect.
	exposed bool
	ended   bool
	data    []byte
	err     error
	done    chan struct{}
}

// queue orders the changes of one document. One goroutine runs while there are any.
type queue struct {
	store  *Store
	key    string
	writer string

	mu       sync.Mutex
	pending  []*change
	running  bool
	lastPut  time.Time
	sequence int64
}

func (q *queue) add(c *change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending = append(q.pending, c)
	if !q.running {
		q.running = true
		go q.run()
	}
}

// abandon ends c for a caller that gives up.
func (q *queue) abandon(c *change, cause error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.ended {
		return
	}
	kind := ErrUnavailable
	if c.exposed {
		kind = ErrOutcomeUnknown
	}
	q.end(c, nil, fmt.Errorf("%w: %w", kind, cause))
}

// end is called with mu held.
func (q *queue) end(c *change, data []byte, err error) {
	if c.ended {
		return
	}
	c.ended, c.data, c.err = true, data, err
	close(c.done)
}

func (q *queue) run() {
	for {
		q.mu.Lock()
		if len(q.pending) == 0 {
			q.running = false
			q.mu.Unlock()
			return
		}
		pause := batchInterval - time.Since(q.lastPut)
		q.mu.Unlock()
		if pause > 0 {
			time.Sleep(pause)
		}
		q.write(q.take())
	}
}

// take removes the next batch from the queue. Changes under different leases do not mix.
func (q *queue) take() []*change {
	q.mu.Lock()
	defer q.mu.Unlock()
	var batch, rest []*change
	for _, c := range q.pending {
		switch {
		case c.ended:
		case len(batch) == 0 || batch[0].lease == c.lease:
			batch = append(batch, c)
		default:
			rest = append(rest, c)
		}
	}
	q.pending = rest
	return batch
}

// write brings a batch into the document.
func (q *queue) write(batch []*change) {
	w := &writing{queue: q, batch: batch}
	for w.step() {
	}
}
