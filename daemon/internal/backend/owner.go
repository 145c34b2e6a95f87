package backend

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

const (
	// ownerRefusalMargin is the part of the time limit reserved for the refusal of a
	// statement that found no connection.
	ownerRefusalMargin = 150 * time.Millisecond
	// forwardQueueLimit is the number of forwarded statements of one priority that
	// may wait for a connection to one server.
	forwardQueueLimit = 256
	// priorities is the number of distinct priorities of forwarded statements.
	priorities = 4
)

// forwardClasses holds the admission class of each priority.
var forwardClasses = func() (out [priorities]*admission.Class) {
	for i := range out {
		out[i] = &admission.Class{Name: "forwarded " + strconv.Itoa(i), Priority: i + 1, QueueLimit: forwardQueueLimit}
	}
	return out
}()

// heldConn is a connection of this host with an open transaction of another one.
type heldConn struct {
	conn   *Conn
	expiry *time.Timer
}

// heldConns holds the open transactions of other hosts by handle.
type heldConns struct {
	mu    sync.Mutex
	conns map[string]*heldConn
	// prefix distinguishes the handles from those of an earlier process of this
	// host.
	prefix string
	next   uint64
	// running counts the batches of other hosts that run or wait for a connection.
	running int
}

// begin counts a batch that begins.
func (h *heldConns) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running++
}

func (h *heldConns) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running--
}

// take removes a held connection, or returns nil if there is none.
func (h *heldConns) take(handle string) *Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.conns[handle]
	if held == nil {
		return nil
	}
	held.expiry.Stop()
	delete(h.conns, handle)
	return held.conn
}

// keep holds a connection until it is taken or the timeout ends, and returns its
// handle.
func (h *heldConns) keep(c *Conn, timeout time.Duration) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conns == nil {
		h.conns = map[string]*heldConn{}
		h.prefix = strconv.FormatUint(rand.Uint64(), 36) + "-"
	}
	h.next++
	handle := h.prefix + strconv.FormatUint(h.next, 36)
	h.conns[handle] = &heldConn{conn: c, expiry: time.AfterFunc(timeout, func() {
		if c := h.take(handle); c != nil {
			c.Rollback()
		}
	})}
	return handle
}

// DrainForwarded returns the number of open transactions and running batches of other
// hosts. If rollBack is true, transactions of which no statement runs are rolled back
// before; their hosts report that to their callers.
func (g *Group) DrainForwarded(rollBack bool) int {
	g.held.mu.Lock()
	defer g.held.mu.Unlock()
	if rollBack {
		g.held.rollBackAll()
	}
	return len(g.held.conns) + g.held.running
}

// rollBackAll rolls back the transactions of which no statement runs. mu must be held.
func (h *heldConns) rollBackAll() {
	for handle, held := range h.conns {
		held.expiry.Stop()
		held.conn.Rollback()
		delete(h.conns, handle)
	}
}

// idleTimeoutMargin is the time beyond the idle timeout of a transaction after which
// an owner rolls it back, which the host of the caller does in time.
const idleTimeoutMargin = 2 * time.Second

// Execute runs a batch of another host on a connection of this one.
func (g *Group) Execute(ctx context.Context, server string, b Batch) BatchResult {
	if b.Release {
		if c := g.held.take(b.Handle); c != nil {
			c.Rollback()
		}
		return BatchResult{}
	}
	g.held.begin()
	defer g.held.end()
	c, result := g.connFor(ctx, server, b)
	if c == nil {
		return result
	}
	b.useOwnNames()
	send := c.Exchange
	if b.AsPrimary {
		send = c.ExchangeAsPrimary
	}
	answers, mayRun, err := send(time.Now().Add(b.Timeout), b.Session, b.Statements...)
	result = BatchResult{Answers: answers, MayRun: mayRun}
	if err != nil {
		result.Failure = err.Error()
		c.Release()
		return result
	}
	if c.session.state == statement.Idle {
		c.Release()
		return result
	}
	result.Handle = g.held.keep(c, b.IdleTimeout+idleTimeoutMargin)
	return result
}

// useOwnNames replaces the name of the prepared statement, which the other host
// chose, by that of this host.
func (b *Batch) useOwnNames() {
	if b.Session.Prepare == nil {
		return
	}
	prepare := *b.Session.Prepare
	prepare.Name = PreparedName(prepare.Value, prepare.Writes)
	statements := slices.Clone(b.Statements)
	for i := range statements {
		if statements[i].Kind == statement.Execute && statements[i].Name == b.Session.Prepare.Name {
			statements[i].Name = prepare.Name
		}
	}
	b.Session.Prepare, b.Statements = &prepare, statements
}

// connFor returns the connection of the batch's transaction, or acquires one. It
// returns the result of the batch if there is none.
func (g *Group) connFor(ctx context.Context, server string, b Batch) (*Conn, BatchResult) {
	if b.Handle != "" {
		if c := g.held.take(b.Handle); c != nil {
			return c, BatchResult{}
		}
		return nil, BatchResult{Failure: "transaction is no longer open"}
	}
	g.mu.Lock()
	p := g.pools[server]
	g.mu.Unlock()
	if p == nil {
		return nil, BatchResult{Failure: "backend server is not known"}
	}
	g.lastUsed.Store(g.options.Now().UnixNano())
	// The refusal must arrive before the other host gives up, since it would not know
	// then whether the statement ran.
	ctx, cancel := context.WithTimeout(ctx, b.Timeout-min(ownerRefusalMargin, b.Timeout/2))
	defer cancel()
	c, err := p.acquireOwn(ctx, forwardClasses[min(max(b.Priority, 0), priorities-1)])
	if err != nil {
		var refused *admission.RefusedError
		return nil, BatchResult{Failure: err.Error(), Overloaded: errors.As(err, &refused)}
	}
	return c, BatchResult{}
}
