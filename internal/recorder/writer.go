package recorder

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logQueue is how many lines wait for a slow reader; at 300 bytes a line they take 0.6 MB.
	logQueue = 2048
	// logFlush is how long Close waits for the last lines.
	logFlush = 500 * time.Millisecond
)

// Writer passes log lines on without ever blocking its callers. Lines that find the queue full are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer {
	a := &Writer{lines: make(chan []byte, logQueue), done: make(chan struct{})}
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
			// There is no other place to report it.
			a.dropped.Add(1)
		}
	}
}

// Write queues a line.
func (a *Writer) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what is queued, for at most logFlush.
func (a *Writer) Close() error {
	a.once.Do(func() {
		t := time.NewTimer(logFlush)
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
