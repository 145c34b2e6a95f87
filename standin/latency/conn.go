package latency

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// queueChunks limits the chunks in flight in each direction, like the buffers of a
	// network.
	queueChunks = 256
	chunkSize   = 16 << 10
	// closeGrace is the time beyond the delay for which Close waits for queued bytes.
	closeGrace = time.Second
)

// chunk holds bytes that are delivered at the time due, or an error that follows them.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

// Conn delays the bytes of a connection by the same time in both directions without
// limiting its throughput. Write returns as soon as the bytes are queued.
type Conn struct {
	net.Conn
	delay time.Duration
	in    chan chunk
	out   chan chunk
	rest  chunk

	done    chan struct{}
	flushed chan struct{}
	closing sync.Once
	abort   sync.Once
	aborted chan struct{}
}

// Delay wraps c so that each direction takes d longer. It returns c itself if d is not
// positive.
func Delay(c net.Conn, d time.Duration) net.Conn {
	if d <= 0 {
		return c
	}
	w := &Conn{
		Conn: c, delay: d,
		in: make(chan chunk, queueChunks), out: make(chan chunk, queueChunks),
		done: make(chan struct{}), flushed: make(chan struct{}), aborted: make(chan struct{}),
	}
	go w.pumpIn()
	go w.pumpOut()
	return w
}

func (c *Conn) pumpIn() {
	defer close(c.in)
	buffer := make([]byte, chunkSize)
	for {
		n, err := c.Conn.Read(buffer)
		got := chunk{due: time.Now().Add(c.delay), data: slices.Clone(buffer[:n]), err: err}
		select {
		case c.in <- got:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *Conn) pumpOut() {
	defer close(c.flushed)
	for {
		select {
		case next := <-c.out:
			c.send(next)
		case <-c.done:
			c.sendRest()
			return
		}
	}
}

func (c *Conn) sendRest() {
	for {
		select {
		case next := <-c.out:
			c.send(next)
		default:
			return
		}
	}
}

func (c *Conn) send(next chunk) {
	if !sleepUntil(next.due, c.aborted) {
		return
	}
	// After a failed write, the next read returns an error.
	_, _ = c.Conn.Write(next.data)
}

// Read returns bytes once their delay has passed. It returns net.ErrClosed after Close.
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.rest.data) == 0 {
		if c.rest.err != nil {
			return 0, c.rest.err
		}
		next, ok := <-c.in
		if !ok {
			return 0, net.ErrClosed
		}
		if !sleepUntil(next.due, c.done) {
			return 0, net.ErrClosed
		}
		c.rest = next
	}
	n := copy(p, c.rest.data)
	c.rest.data = c.rest.data[n:]
	return n, nil
}

// Write queues a copy of p. It returns net.ErrClosed after Close.
func (c *Conn) Write(p []byte) (int, error) {
	data := slices.Clone(p)
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.out <- chunk{due: time.Now().Add(c.delay), data: data}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Close sends the queued bytes and closes the connection. It waits at most the delay
// and one second more.
func (c *Conn) Close() error {
	c.closing.Do(func() { close(c.done) })
	select {
	case <-c.flushed:
	case <-time.After(c.delay + closeGrace):
	}
	return c.Abort()
}

// Abort closes the connection and discards the queued bytes.
func (c *Conn) Abort() error {
	c.closing.Do(func() { close(c.done) })
	c.abort.Do(func() { close(c.aborted) })
	return c.Conn.Close()
}

// sleepUntil waits until the time due. It returns false if stop is closed first.
func sleepUntil(due time.Time, stop <-chan struct{}) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}
