package fleet

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// logQueue is the number of lines that wait for a reader that is slow.
	logQueueSize = 512
	// flushTimeout bounds the wait for the last lines at the end.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter passes lines on to a writer without ever blocking: a line that
// finds the queue full is dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns a writer that passes lines on to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, logQueueSize), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for line := range a.lines {
			if _, err := w.Write(line); err != nil {
				a.dropped.Add(1)
			}
		}
	}()
	return a
}

// Write queues a line; it never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were lost.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close waits a short while for the queued lines. No line may be written
// afterwards.
func (a *AsyncWriter) Close() {
	close(a.lines)
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}
