package fleet

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// logQueueSize is the number of lines that may wait for a slow reader.
	logQueueSize = 512
	// flushTimeout bounds the wait for queued lines in Close.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter writes lines to another writer without blocking. It drops and
// counts lines while its queue is full.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to w.
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

// Write queues a line. It never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be
// written.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close waits up to flushTimeout for the queued lines to be written. Write must
// not be called afterwards.
func (a *AsyncWriter) Close() {
	close(a.lines)
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}
