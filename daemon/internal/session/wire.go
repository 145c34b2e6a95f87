package session

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 16 << 10
	maxWriteBytes    = 64 << 10
	// keptBufferBytes is the largest output buffer that returns to the pool.
	maxKeptBufferBytes = 64 << 10

	startupHeaderBytes = 4
	messageHeaderBytes = 5
)

var errMalformed = errors.New("malformed message")

// source reads from the caller's connection; each read has a deadline.
type deadlineReader struct {
	nc      net.Conn
	timeout time.Duration
	// first is a byte that was read while no buffer was held.
	first    byte
	hasFirst bool
	// waiting says that the session waits for a message, so that a deadline
	// moved by Shutdown ends the wait.
	waiting bool
	// stopping, if set, ends the wait once it is true.
	stopping *atomic.Bool
}

func (s *deadlineReader) Read(p []byte) (int, error) {
	if s.hasFirst {
		p[0] = s.first
		s.hasFirst = false
		return 1, nil
	}
	for {
		deadline := time.Now().Add(s.timeout)
		if err := s.nc.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		if s.stopping != nil && s.stopping.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := s.nc.Read(p)
		if s.waiting {
			return n, err
		}
		// Shutdown moves the deadline to wake idle sessions and can hit one
		// that has just become busy.
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
			continue
		}
		return n, err
	}
}

// framer hands out at most one message per call sequence, so that the decoder
// behind it never holds bytes of the next message and can be returned to the
// pool whenever the caller is idle.
type framer struct {
	br        *bufio.Reader
	remaining int
	startup   bool
	maxBytes  int
}

func (f *framer) Read(p []byte) (int, error) {
	if f.remaining == 0 {
		if err := f.next(); err != nil {
			return 0, err
		}
	}
	if len(p) > f.remaining {
		p = p[:f.remaining]
	}
	n, err := f.br.Read(p)
	f.remaining -= n
	return n, err
}

func (f *framer) next() error {
	header, prefix := messageHeaderBytes, 1
	if f.startup {
		header, prefix = startupHeaderBytes, 0
	}
	b, err := f.br.Peek(header)
	if err != nil {
		if len(b) > 0 && errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	length := int(binary.BigEndian.Uint32(b[prefix:]))
	if length < startupHeaderBytes || length > f.maxBytes {
		return fmt.Errorf("%w: length %d", errMalformed, length)
	}
	f.remaining = prefix + length
	return nil
}

// input decodes the caller's messages. It is held only while a caller is active.
type input struct {
	source  deadlineReader
	framer  framer
	backend *pgproto3.Backend
}

var inputPool = sync.Pool{New: func() any {
	in := &input{}
	in.framer.br = bufio.NewReaderSize(&in.source, readBufferBytes)
	in.backend = pgproto3.NewBackend(&in.framer, nil)
	return in
}}

func newInput(nc net.Conn, timeout time.Duration, maxBytes int) *input {
	in := inputPool.Get().(*input)
	in.source = deadlineReader{nc: nc, timeout: timeout}
	in.framer.br.Reset(&in.source)
	in.framer.remaining = 0
	in.framer.startup = false
	in.framer.maxBytes = maxBytes
	return in
}

// empty reports that no byte of a further message has been read.
func (in *input) empty() bool {
	return in.framer.remaining == 0 && in.framer.br.Buffered() == 0 && !in.source.hasFirst
}

// free returns the buffers to the pool; it must be empty.
func (in *input) free() {
	in.source = deadlineReader{}
	inputPool.Put(in)
}

// discard drops an input that may hold part of a message.
func (in *input) discard() { in.source = deadlineReader{} }

// encoder is a message in either direction.
type encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// output collects messages for the caller. Its buffer is held only while there
// is something to send. From the mark of the first CommandComplete whose
// transaction is not known to be over, its content can still be withdrawn.
type output struct {
	nc      net.Conn
	timeout time.Duration
	buf     []byte
	// limit is the size at which the buffer is sent.
	flushBytes int
	// hold is the offset of the first held message, or -1.
	heldOffset int
	// base is the offset of the current unit's answer. What lies before it
	// answers an earlier unit and is never withdrawn.
	unitOffset int
	// sent counts the bytes of the current unit that reached the caller.
	sent int
	// err is the first failure of a write; later messages are dropped.
	err error
}

var outputBufferPool = sync.Pool{New: func() any {
	b := make([]byte, 0, writeBufferBytes+writeBufferBytes/2)
	return &b
}}

// add appends a message, after it has sent the buffer if that is full.
func (o *output) add(m encoder) {
	o.flushIfFull()
	o.append(m)
}

// makeRoom sends the buffer if it is full.
func (o *output) flushIfFull() {
	if len(o.buf)-o.unitOffset >= o.flushBytes {
		o.flush()
	}
}

// start marks the beginning of a unit's answer.
func (o *output) startUnit() {
	o.unitOffset = len(o.buf)
	o.sent = 0
	o.heldOffset = -1
}

// answer returns what the unit has answered so far and has not been sent.
func (o *output) unsentAnswer() []byte { return o.buf[o.unitOffset:] }

// append appends a message and never sends.
func (o *output) append(m encoder) {
	if o.err != nil {
		return
	}
	if o.buf == nil {
		o.buf = (*outputBufferPool.Get().(*[]byte))[:0]
	}
	b, err := m.Encode(o.buf)
	if err != nil {
		o.err = err
		return
	}
	o.buf = b
}

// raw appends encoded messages.
func (o *output) appendRaw(b []byte) {
	if o.buf == nil {
		o.buf = (*outputBufferPool.Get().(*[]byte))[:0]
	}
	o.buf = append(o.buf, b...)
}

// markHeld notes that the next message must wait for the transaction's end.
func (o *output) markHeld() {
	if o.heldOffset < 0 {
		o.heldOffset = len(o.buf)
	}
}

// released notes that what is held may be sent.
func (o *output) releaseHeld() { o.heldOffset = -1 }

// withdraw drops what is held.
func (o *output) discardHeld() {
	if o.heldOffset >= 0 {
		o.buf = o.buf[:o.heldOffset]
	}
	o.heldOffset = -1
}

// withdrawAll drops everything that has not been sent.
func (o *output) discardUnsent() {
	o.buf = o.buf[:o.unitOffset]
	o.heldOffset = -1
}

// flush sends the buffer; it blocks while the caller does not read.
func (o *output) flush() {
	o.heldOffset = -1
	if o.buf == nil {
		return
	}
	if o.err == nil && len(o.buf) > 0 {
		o.sent += len(o.buf) - o.unitOffset
		o.err = o.write()
	}
	o.buf = o.buf[:0]
	o.unitOffset = 0
}

// write sends the buffer in parts, each of which has the full time, so that a
// slow caller is told from one that does not read.
func (o *output) write() error {
	for b := o.buf; len(b) > 0; {
		n := min(len(b), maxWriteBytes)
		if err := o.nc.SetWriteDeadline(time.Now().Add(o.timeout)); err != nil {
			return err
		}
		if _, err := o.nc.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// free returns the empty buffer to the pool.
func (o *output) free() {
	if o.buf == nil {
		return
	}
	if cap(o.buf) <= maxKeptBufferBytes {
		b := o.buf[:0]
		outputBufferPool.Put(&b)
	}
	o.buf = nil
}
