package recorder

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow output. At 300 bytes per line they take 0.6 MB.
	maxQueuedLines = 2048
	// closeTimeout bounds how long Close waits for the queued lines to be written.
	closeTimeout = 500 * time.Millisecond
)

// Writer buffers log lines, so that Write never blocks on the output. If the queue is full, lines are dropped and
// counted; the number is logged before the next line that is written.
type Writer struct {
	// lines is the queue. A nil line ends the goroutine that writes the lines.
	lines chan []byte
	// dropped counts the lines dropped since the last warning about them.
	dropped atomic.Int64
	// stopped is closed when the goroutine has ended.
	stopped   chan struct{}
	closeOnce sync.Once
}

// NewWriter returns a Writer and starts the goroutine that writes its lines to output until Close.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), stopped: make(chan struct{})}
	go w.run(output)
	return w
}

func (w *Writer) run(output io.Writer) {
	defer close(w.stopped)
	for line := range w.lines {
		if line == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(output, "level=warn msg=\"log lines dropped\" lines=%d\n", n)
		}
		if _, err := output.Write(line); err != nil {
			// There is nowhere to report the error, so the line is counted as dropped.
			w.dropped.Add(1)
		}
	}
}

// Write queues a copy of line, which must not be empty. It never returns an error, even if the line is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the queued lines are written, for at most closeTimeout. Lines passed to Write afterwards may be
// lost. It always returns nil.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() {
		t := time.NewTimer(closeTimeout)
		defer t.Stop()
		select {
		case w.lines <- nil:
		case <-t.C:
			return
		}
		select {
		case <-w.stopped:
		case <-t.C:
		}
	})
	return nil
}
