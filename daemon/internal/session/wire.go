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
	// maxWriteBytes bounds a single write to a caller.
	maxWriteBytes = 64 << 10
	// maxKeptBufferBytes is the largest output buffer that returns to the pool.
	maxKeptBufferBytes = 64 << 10

	startupHeaderBytes = 4
	messageHeaderBytes = 5
)

var errMalformed = errors.New("malformed message")

// deadlineReader reads from the caller's connection and sets a deadline for each
// read.
type deadlineReader struct {
	nc      net.Conn
	timeout time.Duration
	// first is a byte that awaitUnbuffered has read, valid if hasFirst is set.
	first byte
	// hasFirst is set until Read has returned first.
	hasFirst bool
	// waiting is set while the session waits for a message, so that a deadline
	// moved by Shutdown ends the wait.
	waiting bool
	// stopping, if not nil, ends the wait once it is true.
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
		// Shutdown moves the deadline of idle sessions to interrupt their wait,
		// and the session may have become busy in the meantime.
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
			continue
		}
		return n, err
	}
}

// framer returns no byte of the next message before the current one has been read
// completely. The decoder that reads from it therefore never holds bytes of the next
// message and can be returned to the pool whenever the caller is idle.
type framer struct {
	br *bufio.Reader
	// remaining is the number of unread bytes of the current message.
	remaining int
	// startup is set for packets of the start-up phase, which have no type byte.
	startup bool
	// maxBytes bounds the length field of a message.
	maxBytes int
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

// next reads the header of the next message without consuming it.
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

// input decodes the caller's messages. A session holds one only while its caller is
// active.
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

// empty reports whether no byte of a further message has been read.
func (in *input) empty() bool {
	return in.framer.remaining == 0 && in.framer.br.Buffered() == 0 && !in.source.hasFirst
}

// free returns the input, which must be empty, to the pool.
func (in *input) free() {
	in.source = deadlineReader{}
	inputPool.Put(in)
}

// discard drops an input that may hold part of a message and must not be reused.
func (in *input) discard() { in.source = deadlineReader{} }

// encoder is a protocol message in either direction.
type encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// output buffers messages for the caller. It holds a buffer only while there is
// something to send. Messages from the first CommandComplete whose transaction is
// not known to be over can still be discarded.
type output struct {
	nc      net.Conn
	timeout time.Duration
	buf     []byte
	// flushBytes is the size of a unit's answer at which the buffer is sent.
	flushBytes int
	// heldOffset is the offset of the first held message in buf, or -1.
	heldOffset int
	// unitOffset is the offset of the current unit's answer in buf. The messages
	// before it answer an earlier unit and are never discarded.
	unitOffset int
	// sent counts the bytes of the current unit's answer that have been sent.
	sent int
	// err is the first error; later messages are dropped.
	err error
}

var outputBufferPool = sync.Pool{New: func() any {
	b := make([]byte, 0, writeBufferBytes+writeBufferBytes/2)
	return &b
}}

// add sends the buffer if it is full, and appends a message.
func (o *output) add(m encoder) {
	o.flushIfFull()
	o.append(m)
}

// flushIfFull sends the buffer if it has reached flushBytes.
func (o *output) flushIfFull() {
	if len(o.buf)-o.unitOffset >= o.flushBytes {
		o.flush()
	}
}

// startUnit marks the beginning of a unit's answer.
func (o *output) startUnit() {
	o.unitOffset = len(o.buf)
	o.sent = 0
	o.heldOffset = -1
}

// unsentAnswer returns the part of the unit's answer that has not been sent.
func (o *output) unsentAnswer() []byte { return o.buf[o.unitOffset:] }

// append appends a message without sending the buffer.
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

// appendRaw appends encoded messages.
func (o *output) appendRaw(b []byte) {
	if o.buf == nil {
		o.buf = (*outputBufferPool.Get().(*[]byte))[:0]
	}
	o.buf = append(o.buf, b...)
}

// markHeld holds the messages from the next one until the end of the transaction.
func (o *output) markHeld() {
	if o.heldOffset < 0 {
		o.heldOffset = len(o.buf)
	}
}

// releaseHeld allows held messages to be sent.
func (o *output) releaseHeld() { o.heldOffset = -1 }

// discardHeld drops the held messages.
func (o *output) discardHeld() {
	if o.heldOffset >= 0 {
		o.buf = o.buf[:o.heldOffset]
	}
	o.heldOffset = -1
}

// discardUnsent drops the part of the unit's answer that has not been sent.
func (o *output) discardUnsent() {
	o.buf = o.buf[:o.unitOffset]
	o.heldOffset = -1
}

// flush sends the buffer, held messages included. It blocks while the caller does not
// read.
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

// write sends the buffer in parts with a deadline for each, so that a slow caller is
// distinguished from one that does not read.
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
