package recorder

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader. At 300 bytes per line they take 0.6 MB.
	maxQueuedLines = 2048
	// closeTimeout bounds how long Close waits until the queued lines are written.
	closeTimeout = 500 * time.Millisecond
)

// Writer buffers log lines and never blocks its callers. If the queue is full, lines are dropped and counted.
type Writer struct {
	// lines is the queue; nil in it ends the goroutine that writes the lines.
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewWriter returns a Writer that writes to w in the background.
func NewWriter(w io.Writer) *Writer {
	a := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

func (a *Writer) run(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		if line == nil {
			return
		}
		if n := a.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w, "level=warn msg=\"log lines dropped\" lines=%d\n", n)
		}
		if _, err := w.Write(line); err != nil {
			// The line only counts as dropped, as there is nowhere else to report the error.
			a.dropped.Add(1)
		}
	}
}

// Write queues a copy of line. It never returns an error.
func (a *Writer) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the queued lines are written, for at most closeTimeout.
func (a *Writer) Close() error {
	a.closeOnce.Do(func() {
		t := time.NewTimer(closeTimeout)
		defer t.Stop()
		select {
		case a.lines <- nil:
		case <-t.C:
			return
		}
		select {
		case <-a.done:
		case <-t.C:
		}
	})
	return nil
}
