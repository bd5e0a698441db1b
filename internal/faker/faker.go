// Package faker provides stand-ins for the platform's store, its workers and the endpoints.
// Each is an http.Handler that counts by itself what happened.
package faker

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxBody bounds every request body. A store value of 1 MB takes 4/3 of that in base64.
const maxBody = 4 << 20

// errBadRequest marks errors that are the caller's.
var errBadRequest = errors.New("bad request")

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

func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, struct{ Error string }{fmt.Sprintf(format, args...)})
}

// decode reads one JSON value into v and refuses bodies over maxBody.
func decode(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	if err != nil {
		return err
	}
	if len(data) > maxBody {
		return fmt.Errorf("%w: body over %d bytes", errBadRequest, maxBody)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %w", errBadRequest, err)
	}
	return nil
}

// share decides which of a sequence of answers a fault applies to, evenly spread.
type share struct{ sum float64 }

// hit reports whether the next answer is within the part, from 0 to 1.
func (s *share) hit(part float64) bool {
	s.sum += part
	if s.sum < 1 {
		return false
	}
	s.sum--
	return true
}

// broadcast wakes all waiters on a change. The zero value is ready; the owner's mutex guards it.
type broadcast struct{ changed chan struct{} }

func (b *broadcast) wait() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

func (b *broadcast) wake() {
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
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-stop:
	}
}
