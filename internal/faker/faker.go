// Package faker provides stand-ins for the platform's store, workers and endpoints, which can inject faults. Each is an
// http.Handler with its own counters, so that tests can check what happened without relying on the system under test.
//
// Switches turn the faults of a stand-in on and off while it runs. A gang is the set of tasks of a job, which start
// together or not at all, and its members are the workers that run them. An attempt is a numbered start of a job, and a
// run is one execution of a task or request. Workers stop a task when its lease, which the caller must renew, expires.
// The guard of a worker enforces the declared size of tasks. An agent is the process of the system under test that
// starts work on a worker and an endpoint. An endpoint serves as many requests at a time as it has slots.
package faker

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxBodyBytes limits every request body. It leaves room for a store value of MaxValueBytes, which base64 makes a third
// larger.
const maxBodyBytes = 4 << 20

// errBadRequest is wrapped by the errors about an invalid body, but not by those of reading it.
var errBadRequest = errors.New("bad request")

// writeJSON answers with the status and v as one line of JSON, or with 500 if v cannot be encoded.
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

// writeError answers with the status and a JSON object whose field Error is the formatted message.
func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, struct{ Error string }{fmt.Sprintf(format, args...)})
}

// decodeJSON decodes the JSON value read from r into v. It returns an error if r holds more than maxBodyBytes.
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

// sampler selects a share of a sequence of answers, evenly spread over the sequence. Each answer adds the share to
// credit, and a selected answer takes 1 from it.
type sampler struct{ credit float64 }

// selectNext reports whether the next answer is selected. share is from 0, which selects none, to 1, which selects all.
func (s *sampler) selectNext(share float64) bool {
	s.credit += share
	if s.credit < 1 {
		return false
	}
	s.credit--
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
