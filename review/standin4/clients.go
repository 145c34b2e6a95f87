package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients are the sessions of clients. Each operation is one write with an ID of its
// own, and none is repeated.
type clients struct {
	record   *record
	database string
	next     atomic.Uint64
	// pause is the time between two operations of a session, in nanoseconds.
	pause   atomic.Int64
	stopped chan struct{}
	running sync.WaitGroup

	mu sync.Mutex
	// acknowledged holds when the success of each write arrived; refused holds the
	// writes that got a promise that nothing is kept.
	acknowledged, refused map[string]time.Time
	unknown               int
	// sent holds when each write was sent.
	sent map[string]time.Time
}

func newClients(rec *record, database string) *clients {
	return &clients{record: rec, database: database, stopped: make(chan struct{}), acknowledged: map[string]time.Time{}, refused: map[string]time.Time{}, sent: map[string]time.Time{}}
}

// promises are the codes that guarantee that nothing is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "WRONGNODE": true, "TOOMANY": true}

// startSessions opens sessions on the host.
func (c *clients) startSessions(h *host, count int) {
	for range count {
		c.running.Go(func() {
			for c.session(h) {
				c.sleep(100 * time.Millisecond)
			}
		})
	}
}

func (c *clients) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.stopped:
	}
}

func (c *clients) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

// stop ends all sessions after their present operation.
func (c *clients) stop() {
	close(c.stopped)
	c.running.Wait()
}

// operationTimeout is the time after which a client gives an operation up.
const operationTimeout = 6 * time.Second

// session runs one session until it ends. It returns false once the clients have
// stopped.
func (c *clients) session(h *host) bool {
	conn, err := net.DialTimeout("tcp", h.listen, 2*time.Second)
	if err != nil {
		return !c.isStopped()
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "START %s u%d\r\n", c.database, c.next.Add(1))
	if line, err := reader.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY I") {
		return !c.isStopped()
	}
	for {
		c.sleep(time.Duration(c.pause.Load()))
		if c.isStopped() {
			_, _ = conn.Write([]byte("BYE\r\n"))
			return false
		}
		if !c.write(conn, reader, h) {
			return true
		}
	}
}

// write runs one write. It returns false if the session is to be closed.
func (c *clients) write(conn net.Conn, reader *bufio.Reader, h *host) bool {
	n := c.next.Add(1)
	id := fmt.Sprintf("%016x", n)
	_ = conn.SetDeadline(time.Now().Add(operationTimeout))
	c.record.add("client", "%s to %s: WRITE i%d", id, h.name, n%500)
	c.mu.Lock()
	c.sent[id] = time.Now()
	c.mu.Unlock()
	_, _ = fmt.Fprintf(conn, "QUERY %s WRITE i%d d%d\r\n", id, n%500, n)
	result := ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			c.finish(id, "no answer")
			return false
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DONE", "ERROR":
			result = word + " " + rest
		case "READY":
			c.finish(id, result)
			return strings.HasPrefix(rest, "I")
		}
	}
}

func (c *clients) finish(id, result string) {
	c.record.add("client", "%s: %s", id, result)
	word, rest, _ := strings.Cut(result, " ")
	code, _, _ := strings.Cut(rest, " ")
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case word == "DONE":
		c.acknowledged[id] = time.Now()
	case word == "ERROR" && promises[code]:
		c.refused[id] = time.Now()
	default:
		c.unknown++
	}
}

// servedBetween returns the number of writes that were sent in the time, and how many of
// them succeeded.
func (c *clients) servedBetween(from, to time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.sent {
		if at.Before(from) || at.After(to) {
			continue
		}
		sent++
		if _, ok := c.acknowledged[id]; ok {
			served++
		}
	}
	return sent, served
}
