package limiter

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// firstBodyRead is the size of the buffer for the first part of a body.
const firstBodyRead = 4 << 10

// body is the body of a guarded request. Reads end with ErrTooSlow when the client makes no progress, and with ErrNoRoom
// when the request was ended to make room for others.
type body struct {
	inner      io.ReadCloser
	connection *connection
	draw       draw
	// length is the Content-Length, -1 if it is unknown.
	length int64
	began  time.Time
	// complete is true once the body has been read to its end.
	complete bool
	// failed is set once the request was refused because of its body.
	failed bool
	// ahead is true if the request was sent before the answer to the one before.
	ahead bool
	// serving is true while the request counts as one that is served.
	serving bool
	evicted atomic.Bool
}

// startServing reports whether the request may be served, which it is until stopServing.
func (b *body) startServing() bool {
	b.serving = b.serving || b.connection.port.addRequest(b.ahead)
	return b.serving
}

func (b *body) stopServing() {
	if b.serving {
		b.serving = false
		b.connection.port.removeRequest()
	}
}

// Read reads a part of the body within the limits on time.
func (b *body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	limits := b.connection.port.guard.Limits
	deadline := time.Now().Add(limits.StallTimeout)
	if last := b.began.Add(limits.BodyTimeout); deadline.After(last) {
		deadline = last
	}
	if err := b.connection.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	// The eviction sets the flag before the deadline, so that one of the two is seen.
	if b.evicted.Load() {
		return 0, ErrNoRoom
	}
	n, err := b.inner.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
		// Reads that watch for the end of the connection have no deadline.
		if resetErr := b.connection.SetReadDeadline(time.Time{}); resetErr != nil {
			return n, resetErr
		}
		b.connection.setWaiting(true)
	case b.evicted.Load():
		err = ErrNoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrTooSlow
	}
	return n, err
}

// Close closes the body.
func (b *body) Close() error { return b.inner.Close() }

// evict ends the reads of the body.
func (b *body) evict() {
	b.evicted.Store(true)
	// An error means that the connection is closed already.
	_ = b.connection.SetReadDeadline(time.Unix(1, 0))
}

// end gives back what the request holds. The rest of a body that was not read is discarded by the server, within the
// deadline that is set here.
func (b *body) end() {
	b.draw.close()
	if b.complete || b.evicted.Load() {
		return
	}
	rest := b.connection.port.guard.Limits.StallTimeout
	if b.failed {
		rest = min(rest, evictionAge)
	}
	// An error means that the connection is closed already.
	_ = b.connection.SetReadDeadline(time.Now().Add(rest))
}

// readAll reads the body into memory that is charged as it arrives.
func (b *body) readAll(limit int64) ([]byte, error) {
	if b.length > limit {
		return nil, ErrTooLarge
	}
	b.stopServing()
	b.draw.allowEviction(b.began, b.evict)
	known := limit + 1
	if b.length >= 0 {
		// One more byte, so that the last read sees the end.
		known = b.length + 1
	}
	size := min(known, firstBodyRead)
	if err := b.draw.grow(Bytes(size)); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	for {
		n, err := b.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			if b.draw.keep() || !b.startServing() {
				return nil, ErrNoRoom
			}
			return data, nil
		case err != nil:
			return nil, err
		case int64(len(data)) > limit:
			return nil, ErrTooLarge
		}
		if len(data) == cap(data) {
			larger := min(known, 2*int64(cap(data)))
			if err := b.draw.grow(Bytes(larger)); err != nil {
				return nil, err
			}
			b.draw.shrink(Bytes(cap(data)))
			data = append(make([]byte, 0, larger), data...)
		}
	}
}

// ReadBody reads the body of a request that has at most limit bytes. After an error, the response must be written with
// the status that Status returns; the connection is closed after it.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	b, ok := r.Body.(*body)
	if !ok {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			err = errors.Join(ErrTooLarge, err)
		}
		return data, err
	}
	data, err := b.readAll(limit)
	if err != nil {
		b.fail(w, err)
	}
	return data, err
}

// DiscardBody reads the body of a request that has at most limit bytes without keeping it, so that the connection can be
// used again. Errors are those of ReadBody.
func DiscardBody(w http.ResponseWriter, r *http.Request, limit int64) error {
	b, ok := r.Body.(*body)
	if !ok {
		_, err := ReadBody(w, r, limit)
		return err
	}
	if b.complete {
		return nil
	}
	err := ErrTooLarge
	if b.length <= limit {
		b.stopServing()
		var n int64
		switch n, err = io.Copy(io.Discard, io.LimitReader(b, limit+1)); {
		case err == nil && n > limit:
			err = ErrTooLarge
		case err == nil && !b.startServing():
			err = ErrNoRoom
		}
	}
	if err != nil {
		b.fail(w, err)
	}
	return err
}

// fail makes the server close the connection after the answer and counts the cause.
func (b *body) fail(w http.ResponseWriter, err error) {
	b.failed = true
	closeAfterAnswer(w)
	c := b.connection
	switch {
	case errors.Is(err, ErrNoRoom):
		setRetryAfter(w)
		c.port.limited("memory", c.address)
	case errors.Is(err, ErrTooSlow):
		c.port.limited("slow body", c.address)
	case errors.Is(err, ErrTooLarge):
		c.port.limited("body size", c.address)
	}
}

// closeAfterAnswer makes the server close the connection after the answer, but leave the client time to read it. Closing
// a connection with unread bytes at once would reset it.
func closeAfterAnswer(w http.ResponseWriter) {
	// A body that is over its limit is the only way to tell the server. The error is that of this body.
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, io.NopCloser(strings.NewReader("ab")), 1))
}

// ChargeWorkspace charges what a request holds to a workspace too, or returns ErrNoRoom.
func ChargeWorkspace(w http.ResponseWriter, r *http.Request, workspace string) error {
	b, ok := r.Body.(*body)
	if !ok || workspace == "" {
		return nil
	}
	limit := Bytes(workspaceShare * float64(b.draw.budget.size))
	err := b.draw.join(account{name: "workspace " + workspace, max: limit})
	if err != nil {
		b.fail(w, err)
	}
	return err
}

// decodeAlone runs decode while no other message is decoded.
func (g *Guard) decodeAlone(decode func() (Bytes, error)) (Bytes, error) {
	g.decoding.Lock()
	defer g.decoding.Unlock()
	return decode()
}

// Decode runs decode, which decodes the body of r and returns the size of the result. The result is charged to the
// request. Only one message is decoded at a time. The errors are that of decode and ErrNoRoom.
func Decode(w http.ResponseWriter, r *http.Request, decode func() (Bytes, error)) error {
	b, ok := r.Body.(*body)
	if !ok {
		_, err := decode()
		return err
	}
	size, err := b.connection.port.guard.decodeAlone(decode)
	if err != nil {
		return err
	}
	if err = b.draw.grow(size); err != nil {
		b.fail(w, err)
	}
	return err
}
