package fleet

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logQueueSize is the number of lines that may wait for a slow reader.
	logQueueSize = 512
	// maxLineBytes is the maximum length of a line. Lines may quote names and values
	// that other writers left in the store, and waiting lines are held in memory.
	maxLineBytes = 4 << 10
	// cutMark ends a line that was cut to maxLineBytes.
	cutMark = " [cut]\n"
	// flushTimeout bounds the wait for queued lines in Close.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter writes lines to another writer without blocking. It drops and
// counts lines while its queue is full.
type AsyncWriter struct {
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	lines  chan []byte
	closed bool
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

// Write queues a line, of which it keeps maxLineBytes at most. It never fails. After
// Close the line is dropped.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if !a.queue(cutLine(line)) {
		a.dropped.Add(1)
	}
	return len(line), nil
}

func (a *AsyncWriter) queue(line []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	select {
	case a.lines <- line:
		return true
	default:
		return false
	}
}

// cutLine returns a copy of the line of at most maxLineBytes.
func cutLine(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return slices.Clone(line)
	}
	return slices.Concat(line[:maxLineBytes-len(cutMark)], []byte(cutMark))
}

// Dropped returns the number of lines that were dropped or could not be
// written.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close waits up to flushTimeout for the queued lines to be written. Goroutines that
// outlive it may still write.
func (a *AsyncWriter) Close() {
	a.mu.Lock()
	a.closed = true
	close(a.lines)
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}
