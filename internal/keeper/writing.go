package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// writing brings one batch of changes into a document. Each step reads the document, then applies and writes.
type writing struct {
	queue *queue
	batch []*change
	// base is the version that data was computed from, sequence its mark.
	base     Version
	data     []byte
	sequence int64
	// unknown is set while a write of data over base may take effect, which since tells the begin of.
	unknown bool
	since   time.Time
	limited int
	pause   time.Duration
}

// step makes one try and reports whether another is needed.
func (w *writing) step() bool {
	if !w.dropEnded() {
		return false
	}
	data, v, err := w.read()
	if err != nil {
		return w.failed(err)
	}
	if w.unknown && v == w.base {
		if time.Since(w.since) > resolveTimeout {
			return w.endAll(fmt.Errorf("%w: no answer to the write of %s", ErrOutcomeUnknown, w.queue.key))
		}
		// The unknown write may still be on its way. Writing the same again is safe: at most one of them matches base.
		return w.put()
	}
	document, err := w.batch[0].decode(data)
	if err != nil {
		return w.endAll(fmt.Errorf("document %s: %w", w.queue.key, err))
	}
	if w.unknown {
		if m, ok := document.(marker); ok && m.marked(w.queue.writer, w.sequence) {
			return w.finish(data)
		}
		w.expose(false)
	}
	return w.apply(document, data, v)
}

// dropEnded removes the changes whose callers gave up and reports whether any are left.
func (w *writing) dropEnded() bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	w.batch = slices.DeleteFunc(w.batch, func(c *change) bool { return c.ended })
	return len(w.batch) > 0
}

func (w *writing) read() ([]byte, Version, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	data, v, err := w.queue.store.Get(ctx, w.queue.key)
	if errors.Is(err, ErrNotFound) {
		return nil, 0, nil
	}
	return data, v, err
}

// apply computes the next document from the one that was read and writes it.
func (w *writing) apply(document any, data []byte, v Version) bool {
	next, changed, err := w.compute(document, data)
	if err != nil {
		return w.endAll(fmt.Errorf("document %s: %w", w.queue.key, err))
	}
	if !changed {
		return w.finish(data)
	}
	w.sequence = w.queue.nextSequence()
	if m, ok := next.(marker); ok {
		m.mark(w.queue.writer, w.sequence, time.Now())
	}
	encoded, err := json.Marshal(next)
	if err != nil {
		return w.endAll(fmt.Errorf("document %s: %w", w.queue.key, err))
	}
	if len(encoded) > w.limit() {
		return w.tooLarge(len(encoded))
	}
	w.base, w.data = v, encoded
	return w.put()
}

// compute applies all changes in order. A change that is refused may have altered the document,
// so the others are then applied again to a fresh one.
func (w *writing) compute(document any, data []byte) (next any, changed bool, err error) {
	refused := make([]bool, len(w.batch))
	for {
		again := false
		changed = false
		for i, c := range w.batch {
			if refused[i] {
				continue
			}
			c.changed, c.refusal = c.apply(document)
			if c.refusal != nil {
				c.changed, refused[i], again = false, true, true
				break
			}
			changed = changed || c.changed
		}
		if !again {
			return document, changed, nil
		}
		if document, err = w.batch[0].decode(data); err != nil {
			return nil, false, err
		}
	}
}

func (w *writing) limit() int {
	limit := MaxDocument
	for _, c := range w.batch {
		if c.changed {
			limit = min(limit, c.limit)
		}
	}
	return limit
}

// tooLarge splits a batch until the change that does not fit is alone.
func (w *writing) tooLarge(size int) bool {
	if len(w.batch) == 1 {
		return w.endAll(fmt.Errorf("%w: %s would take %d bytes, the limit is %d", ErrTooLarge, w.queue.key, size, w.limit()))
	}
	half := len(w.batch) / 2
	w.queue.write(slices.Clone(w.batch[:half]))
	w.queue.write(slices.Clone(w.batch[half:]))
	return false
}

func (w *writing) put() bool {
	if !w.unknown && !w.expose(true) {
		return true
	}
	q := w.queue
	q.mu.Lock()
	q.lastPut = time.Now()
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := q.store.Put(ctx, q.key, w.data, w.base, w.batch[0].lease)
	switch {
	case err == nil:
		return w.finish(w.data)
	case errors.Is(err, ErrConflict):
		// With an earlier unknown write, the conflict may be with that one; the next read tells.
		if !w.unknown {
			w.expose(false)
		}
		return true
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrLimited):
		if !w.unknown {
			w.expose(false)
		}
		return w.failed(err)
	case errors.Is(err, ErrLeaseLost), errors.Is(err, ErrTooLarge):
		return w.endAll(err)
	}
	if !w.unknown {
		w.unknown, w.since = true, time.Now()
	}
	// A lost answer says nothing about the store, so the changes behind this batch wait for the next read.
	w.sleep()
	return true
}

// expose records whether a write that holds the batch may take effect. It reports false, without exposing, when a
// caller gave up after its change had been applied to the data.
func (w *writing) expose(exposed bool) bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if exposed && slices.ContainsFunc(w.batch, func(c *change) bool { return c.ended }) {
		return false
	}
	for _, c := range w.batch {
		c.exposed = exposed && c.changed
	}
	w.unknown = w.unknown && exposed
	return true
}

// failed handles a call that did not succeed: it tries again while that helps, and otherwise ends the changes.
func (w *writing) failed(err error) bool {
	if !w.unknown {
		w.limited++
		if !errors.Is(err, ErrLimited) || w.limited > maxLimited {
			return w.endAll(unavailable(err))
		}
		w.sleep()
		return true
	}
	w.queue.refuse(w.batch, unavailable(err))
	if time.Since(w.since) > resolveTimeout {
		return w.endAll(fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
	}
	w.sleep()
	return true
}

// unavailable makes err one of the errors that promise no effect.
func unavailable(err error) error {
	if errors.Is(err, ErrLimited) || errors.Is(err, ErrUnavailable) {
		return err
	}
	// %v: an unknown outcome of another write must not be taken for one of this change.
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

func (w *writing) sleep() {
	w.pause = min(max(2*w.pause, retryPause), maxRetryPause)
	time.Sleep(w.pause)
}

// refuse ends the changes that wait behind a batch with an unknown outcome, and those of the batch that it does not
// hold: while the store does not answer, callers need a quick refusal.
func (q *queue) refuse(batch []*change, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range batch {
		if !c.exposed {
			q.end(c, nil, err)
		}
	}
	for _, c := range q.pending {
		q.end(c, nil, err)
	}
	q.pending = nil
}

func (q *queue) nextSequence() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	return q.sequence
}

// finish ends all changes by the outcome of their last application.
func (w *writing) finish(data []byte) bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	for _, c := range w.batch {
		if c.refusal != nil {
			w.queue.end(c, nil, c.refusal)
		} else {
			w.queue.end(c, data, nil)
		}
	}
	return false
}

func (w *writing) endAll(err error) bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	for _, c := range w.batch {
		w.queue.end(c, nil, err)
	}
	return false
}
