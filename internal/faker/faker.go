// Package faker provides stand-ins for the platform's store, workers and endpoints. Each is an http.Handler that keeps
// counters of its own, with which tests check what really happened.
package faker

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxBodyBytes bounds every request body. Base64 makes a store value of 1 MB larger by a third.
const maxBodyBytes = 4 << 20

// errBadRequest marks errors of the caller.
var errBadRequest = errors.New("bad request")

// writeJSON answers with v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(data, '\n'))
}

// writeError answers with a JSON object that holds the formatted error.
func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, struct{ Error string }{fmt.Sprintf(format, args...)})
}

// decodeJSON reads one JSON value into v and refuses bodies over maxBodyBytes.
func decodeJSON(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxBodyBytes {
		return fmt.Errorf("%w: body over %d bytes", errBadRequest, maxBodyBytes)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %w", errBadRequest, err)
	}
	return nil
}

// sampler selects a share of a sequence of answers, evenly spread over the sequence.
type sampler struct{ sum float64 }

// selectNext reports whether the next answer is selected, for a share from 0 to 1.
func (s *sampler) selectNext(share float64) bool {
	s.sum += share
	if s.sum < 1 {
		return false
	}
	s.sum--
	return true
}

// broadcast notifies all subscribers of a change. The zero value is ready to use. The owner's mutex guards it.
type broadcast struct{ changed chan struct{} }

// subscribe returns a channel that is closed at the next notify.
func (b *broadcast) subscribe() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// notify closes the channels of all subscribers.
func (b *broadcast) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// sleep waits for d or until stop is closed.
func sleep(d time.Duration, stop <-chan struct{}) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-stop:
	}
}
