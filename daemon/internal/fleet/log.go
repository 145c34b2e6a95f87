package fleet

import (
	"io"
	"slices"
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

// Write queues a line, of which it keeps maxLineBytes at most. It never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- cutLine(line):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
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

// Close waits up to flushTimeout for the queued lines to be written. Write must
// not be called afterwards.
func (a *AsyncWriter) Close() {
	close(a.lines)
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}
