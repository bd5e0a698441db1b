package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// batchWriter writes one batch of changes to a document. Each step reads the document, applies the changes and writes
// the result. While the outcome of a write is unknown, a step first finds out whether the write took effect; as long as
// the document is unchanged, the step repeats the write.
type batchWriter struct {
	queue *writeQueue
	batch []*change
	// base is the version of the document that data was computed from.
	base Version
	// data is the encoded document to write.
	data []byte
	// sequence is the sequence number of the writer's mark in data.
	sequence int64
	// outcomeUnknown is set after the response to a write of data was lost, until it is known whether the write took
	// effect.
	outcomeUnknown bool
	// unknownSince is the time at which outcomeUnknown was set.
	unknownSince     time.Time
	rateLimitRetries int
	retryDelay       time.Duration
}

// step tries to write the batch once and reports whether it must be called again.
func (w *batchWriter) step() bool {
	if !w.dropCompleted() {
		return false
	}
	data, v, err := w.read()
	if err != nil {
		return w.handleError(err)
	}
	if w.outcomeUnknown && v == w.base {
		if time.Since(w.unknownSince) > unknownOutcomeTimeout {
			return w.failAll(fmt.Errorf("%w: no answer to the write of %s", ErrOutcomeUnknown, w.queue.key))
		}
		// The earlier write may still take effect. Repeating it is safe, as at most one of the two can find
		// the document at version base.
		return w.put()
	}
	document, err := w.batch[0].decode(data)
	if err != nil {
		return w.failAll(fmt.Errorf("document %s: %w", w.queue.key, err))
	}
	if w.outcomeUnknown {
		// The version has changed, so the earlier write has either taken effect and left its mark, or never will. Changes of
		// a document without marks are applied again, which is safe as they must be idempotent.
		if m, ok := document.(markedDocument); ok && m.hasMark(w.queue.writerID, w.sequence) {
			return w.completeAll(data)
		}
		w.setInFlight(false)
	}
	return w.applyAndPut(document, data, v)
}

// dropCompleted removes the changes that have been completed by a cancellation or by failPending, and reports whether
// any are left.
func (w *batchWriter) dropCompleted() bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	w.batch = slices.DeleteFunc(w.batch, func(c *change) bool { return c.completed })
	return len(w.batch) > 0
}

// read returns the document and its version. For a document that does not exist, they are empty and 0.
func (w *batchWriter) read() ([]byte, Version, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	data, v, err := w.queue.store.Get(ctx, w.queue.key)
	if errors.Is(err, ErrNotFound) {
		return nil, 0, nil
	}
	return data, v, err
}

// applyAndPut applies the changes to a document that was read as data at version v, and writes the result. It reports
// whether step must be called again.
func (w *batchWriter) applyAndPut(document any, data []byte, v Version) bool {
	next, changed, err := w.applyChanges(document, data)
	if err != nil {
		return w.failAll(fmt.Errorf("document %s: %w", w.queue.key, err))
	}
	if !changed {
		return w.completeAll(data)
	}
	w.sequence = w.queue.nextSequence()
	if m, ok := next.(markedDocument); ok {
		m.setMark(w.queue.writerID, w.sequence, time.Now())
	}
	encoded, err := json.Marshal(next)
	if err != nil {
		return w.failAll(fmt.Errorf("document %s: %w", w.queue.key, err))
	}
	if len(encoded) > w.sizeLimit() {
		return w.splitBatch(len(encoded))
	}
	w.base, w.data = v, encoded
	return w.put()
}

// applyChanges applies all changes in order. A change that returns an error may have modified the document, so the
// other changes are then applied again to a freshly decoded one.
func (w *batchWriter) applyChanges(document any, data []byte) (next any, changed bool, err error) {
	failed := make([]bool, len(w.batch))
	for {
		mustRetry := false
		changed = false
		for i, c := range w.batch {
			if failed[i] {
				continue
			}
			c.modified, c.applyErr = c.apply(document)
			if c.applyErr != nil {
				c.modified, failed[i], mustRetry = false, true, true
				break
			}
			changed = changed || c.modified
		}
		if !mustRetry {
			return document, changed, nil
		}
		if document, err = w.batch[0].decode(data); err != nil {
			return nil, false, err
		}
	}
}

// sizeLimit returns the smallest maxBytes of the changes that modified the document.
func (w *batchWriter) sizeLimit() int {
	limit := MaxDocumentBytes
	for _, c := range w.batch {
		if c.modified {
			limit = min(limit, c.maxBytes)
		}
	}
	return limit
}

// splitBatch writes the two halves of a batch that made the document too large. A single change that does so fails. It
// returns false, as step need not be called again.
func (w *batchWriter) splitBatch(size int) bool {
	if len(w.batch) == 1 {
		return w.failAll(fmt.Errorf("%w: %s would take %d bytes, the limit is %d", ErrTooLarge, w.queue.key, size, w.sizeLimit()))
	}
	half := len(w.batch) / 2
	w.queue.writeBatch(slices.Clone(w.batch[:half]))
	w.queue.writeBatch(slices.Clone(w.batch[half:]))
	return false
}

// put writes data over version base, unless a caller has cancelled in the meantime, and reports whether step must be
// called again.
func (w *batchWriter) put() bool {
	if !w.outcomeUnknown && !w.setInFlight(true) {
		return true
	}
	q := w.queue
	q.mu.Lock()
	q.lastPutAt = time.Now()
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := q.store.Put(ctx, q.key, w.data, w.base, w.batch[0].lease)
	switch {
	case err == nil:
		return w.completeAll(w.data)
	case errors.Is(err, ErrConflict):
		// After an earlier write with an unknown outcome, the conflict may be with that write. The changes stay in flight
		// until step has read the document again and, if it has marks, checked whether that write took effect.
		if !w.outcomeUnknown {
			w.setInFlight(false)
		}
		return true
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrRateLimited):
		if !w.outcomeUnknown {
			w.setInFlight(false)
		}
		return w.handleError(err)
	case errors.Is(err, ErrLeaseLost), errors.Is(err, ErrTooLarge):
		return w.failAll(err)
	}
	if !w.outcomeUnknown {
		w.outcomeUnknown, w.unknownSince = true, time.Now()
	}
	// A lost response does not mean that the store is down, so the pending changes only fail if the next call fails too.
	w.backOff()
	return true
}

// setInFlight records whether a write that includes the batch may still take effect, and if not, clears outcomeUnknown.
// It returns false and changes nothing if inFlight is set but a caller has cancelled after its change was applied to
// data.
func (w *batchWriter) setInFlight(inFlight bool) bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if inFlight && slices.ContainsFunc(w.batch, func(c *change) bool { return c.completed }) {
		return false
	}
	for _, c := range w.batch {
		c.inFlight = inFlight && c.modified
	}
	w.outcomeUnknown = w.outcomeUnknown && inFlight
	return true
}

// handleError handles a failed call and reports whether step must be called again. While the outcome of a write is
// unknown, it fails the pending changes and waits before a retry, until unknownOutcomeTimeout has passed. Otherwise it
// waits before a retry only if the store's rate limit rejected the call, at most maxRateLimitRetries times, and fails
// the batch after any other error.
func (w *batchWriter) handleError(err error) bool {
	if !w.outcomeUnknown {
		w.rateLimitRetries++
		if !errors.Is(err, ErrRateLimited) || w.rateLimitRetries > maxRateLimitRetries {
			return w.failAll(asUnavailable(err))
		}
		w.backOff()
		return true
	}
	w.queue.failPending(w.batch, asUnavailable(err))
	if time.Since(w.unknownSince) > unknownOutcomeTimeout {
		return w.failAll(fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
	}
	w.backOff()
	return true
}

// asUnavailable returns err, wrapped in ErrUnavailable unless it already is an error that guarantees no effect.
func asUnavailable(err error) error {
	if errors.Is(err, ErrRateLimited) || errors.Is(err, ErrUnavailable) {
		return err
	}
	// %v and not %w: a failed read may return ErrOutcomeUnknown, but the change itself has not been written.
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

func (w *batchWriter) backOff() {
	w.retryDelay = min(max(2*w.retryDelay, minRetryDelay), maxRetryDelay)
	time.Sleep(w.retryDelay)
}

// failPending fails the pending changes and those changes of the batch that are not in flight. While the store does not
// respond, callers should get an error quickly.
func (q *writeQueue) failPending(batch []*change, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range batch {
		if !c.inFlight {
			q.complete(c, nil, err)
		}
	}
	for _, c := range q.pending {
		q.complete(c, nil, err)
	}
	q.pending = nil
}

func (q *writeQueue) nextSequence() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	return q.sequence
}

// completeAll completes all changes of the batch with the results of their last call of apply. It returns false, as
// step need not be called again.
func (w *batchWriter) completeAll(data []byte) bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	for _, c := range w.batch {
		if c.applyErr != nil {
			w.queue.complete(c, nil, c.applyErr)
		} else {
			w.queue.complete(c, data, nil)
		}
	}
	return false
}

// failAll completes all changes of the batch with err. It returns false, as step need not be called again.
func (w *batchWriter) failAll(err error) bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	for _, c := range w.batch {
		w.queue.complete(c, nil, err)
	}
	return false
}
