// Package backend manages the connections of a host to backend servers and
// tracks what their answers reveal about each service: which server is the
// primary, how fresh its sampled log positions are, and the load and
// reachability of each server.
//
// The known primary is only a hint for routing. Writes and transactions succeed
// only on the actual primary, so an outdated hint costs a round trip but never
// an acknowledged write.
package backend

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/placement"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// Timeouts and limits of connections.
const (
	// dialTimeout bounds the opening of a connection, including the wait for a
	// connection slot of the backend server.
	dialTimeout = 900 * time.Millisecond
	// refusedDialPause is how long no connection is opened after the backend
	// server refused one because of its limit.
	refusedDialPause = 300 * time.Millisecond
	// scarceMaxAge is the age at which a connection is closed if hosts take turns
	// in using the connections: a host that uses its own without a pause does not
	// learn that others lack one.
	scarceMaxAge = 2 * time.Second
	// yieldPause is how long a host opens no connection after it closed one that
	// reached scarceMaxAge.
	yieldPause = 150 * time.Millisecond
	// contendedMaxIdle is how long an unused connection is kept while other hosts
	// may lack one.
	contendedMaxIdle = 80 * time.Millisecond
	// contentionWindow is how long other hosts are assumed to lack a connection
	// after the server refused one because of its limit.
	contentionWindow = 3 * time.Second
	// dialPause is how long no connection is opened after an attempt failed, for
	// example because the server reset the connection.
	dialPause = 120 * time.Millisecond
	// failureWindow is how long a server counts as failing after a connection to
	// it failed.
	failureWindow = 500 * time.Millisecond
	// lagWindow is how long a server counts as failing after its log lacked a
	// required position.
	lagWindow = 60 * time.Millisecond
	// busyResponseTime is recorded as the response time of a server that was too
	// busy.
	busyResponseTime = 250 * time.Millisecond
	// rollbackTimeout bounds the rollback of an abandoned transaction.
	rollbackTimeout = 2 * time.Second
)

// ErrNoConnection is wrapped by errors of obtaining a connection. It means that
// nothing was sent.
var ErrNoConnection = errors.New("no connection to the backend server")

// Pool holds the connections to one backend server.
type Pool struct {
	backends statement.Backends
	limiter  *admission.Limiter
	group    *Group
	// lastAnswer is when the server last answered, in nanoseconds of the group's
	// clock.
	lastAnswer atomic.Int64
	// outstanding counts the statements whose answers are pending.
	outstanding atomic.Int32
	// waiting counts the statements that wait for a connection.
	waiting atomic.Int32
	// lastFailure is when a connection last failed, in nanoseconds of the group's
	// clock. New connections that the server refused for its limit, or reset at
	// once, do not count.
	lastFailure atomic.Int64
	// verifiedTerm is the highest term in which the server was verified as the
	// primary; 0 if it never was.
	verifiedTerm atomic.Uint64
	// verifyingClaim is true while the server's claim to be the primary is verified.
	verifyingClaim atomic.Bool

	mu     sync.Mutex
	server catalog.Server
	idle   []*Conn
	// open counts the connections that are idle, in use or being opened.
	open   int
	closed bool
	// noDialUntil is the time before which no connection is opened, and refusedAt
	// when the server last refused one because of its limit.
	noDialUntil, refusedAt time.Time
	// failingUntil is the time before which the server is avoided for reads.
	failingUntil time.Time
	estimate     placement.Estimate
	// probeConn is a connection that is used only for probes; see keepsProbeConn.
	probeConn statement.Conn
}

func newPool(g *Group, server catalog.Server) *Pool {
	p := &Pool{backends: g.options.Backends, group: g, server: server}
	p.limiter = admission.NewLimiter(p.connectionLimit)
	return p
}

// Server returns the registration of the backend server.
func (p *Pool) Server() catalog.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server
}

// connectionLimit returns the number of connections that may be in use: the
// host's share or, while no connection may be opened, those that are open.
func (p *Pool) connectionLimit() int {
	share := int(p.group.connectionShare.Load())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.group.options.Now().Before(p.noDialUntil) {
		return max(1, min(share, p.open))
	}
	return share
}

// Acquire waits for a connection. It fails with an error that wraps
// ErrNoConnection. If other hosts own the connections, it does not wait: an owner
// chooses one with each exchange.
func (p *Pool) Acquire(ctx context.Context, class *admission.Class) (*Conn, error) {
	if p.group.forwards() {
		return &Conn{pool: p, remote: &remoteConn{priority: class.Priority - 1}}, nil
	}
	return p.acquireOwn(ctx, class)
}

// acquireOwn waits for a connection of this host.
func (p *Pool) acquireOwn(ctx context.Context, class *admission.Class) (*Conn, error) {
	ticket := &admission.Ticket{Class: class}
	if deadline, ok := ctx.Deadline(); ok {
		ticket.Deadline = deadline
	}
	p.waiting.Add(1)
	err := p.limiter.Acquire(ctx, ticket)
	p.waiting.Add(-1)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoConnection, err)
	}
	c, err := p.idleOrNewConn(ctx)
	if err != nil {
		p.limiter.Cancel(ticket)
		return nil, fmt.Errorf("%w: %w", ErrNoConnection, err)
	}
	c.ticket = ticket
	return c, nil
}

// idleOrNewConn returns an idle connection that is still open, or opens a new
// one.
func (p *Pool) idleOrNewConn(ctx context.Context) (*Conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if c.conn.Alive() {
			return c, nil
		}
		p.discard(c)
	}
}

func (p *Pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// The reasons not to open a connection.
var (
	errRemoved    = errors.New("backend server was removed")
	errDialPaused = errors.New("backend server gave no connection lately")
)

// reserveSlot counts a connection that is about to be opened. It fails if none
// may be opened now.
func (p *Pool) reserveSlot() (catalog.Server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return p.server, errRemoved
	case p.group.options.Now().Before(p.noDialUntil):
		return p.server, errDialPaused
	}
	p.open++
	return p.server, nil
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	server, err := p.reserveSlot()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.backends.Dial(ctx, server)
	if err != nil {
		p.recordDialFailure(err)
		return nil, err
	}
	p.group.options.Recorder.ConnectionOpened(server.Service)
	p.recordAnswer()
	return &Conn{pool: p, conn: conn, openedAt: p.group.options.Now()}, nil
}

// recordDialFailure records that a connection could not be opened, and pauses
// further attempts.
func (p *Pool) recordDialFailure(err error) {
	now := p.group.options.Now()
	var refused *statement.RefusedError
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	if errors.As(err, &refused) && refused.Code == statement.TooManyConnections {
		p.noDialUntil, p.refusedAt = now.Add(refusedDialPause), now
		p.lastAnswer.Store(now.UnixNano())
		return
	}
	if !isConnectionReset(err) {
		p.recordFailure()
	}
	p.failingUntil = now.Add(failureWindow)
	p.noDialUntil = laterTime(p.noDialUntil, now.Add(dialPause))
}

// recordAnswer records that the server answered just now.
func (p *Pool) recordAnswer() { p.lastAnswer.Store(p.group.options.Now().UnixNano()) }

// LastAnswer returns when the server last answered.
func (p *Pool) LastAnswer() time.Time { return time.Unix(0, p.lastAnswer.Load()) }

// discard closes a connection that is not idle.
func (p *Pool) discard(c *Conn) {
	_ = c.conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *Pool) recordResponseTime(took time.Duration) {
	now := p.group.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimate.Observe(now, took)
}

// markFailing makes reads avoid the server for the given time.
func (p *Pool) markFailing(d time.Duration) {
	until := p.group.options.Now().Add(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failingUntil = laterTime(p.failingUntil, until)
}

// candidate describes the server for the selection of a server for a read.
func (p *Pool) candidate(now time.Time) placement.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return placement.Candidate{
		Mean:        p.estimate.Mean(now),
		Outstanding: int(p.outstanding.Load() + p.waiting.Load()),
		Failing:     now.Before(p.failingUntil),
	}
}

// usable reports whether the server may be given new work.
func (p *Pool) usable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && !p.server.Draining
}

func (p *Pool) setServer(server catalog.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = server
}

// close closes the idle connections. Connections in use are closed when they
// are released.
func (p *Pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	p.closeProbeConn()
	for _, c := range idle {
		p.discard(c)
	}
	p.limiter.Close()
}

// Conn is a connection in exclusive use by one statement, transaction or probe.
type Conn struct {
	pool     *Pool
	conn     statement.Conn
	ticket   *admission.Ticket
	openedAt time.Time
	session  serverSession
	// broken is true after a failure, when an answer may be missing.
	broken bool
	// remote is set if an owner runs the statements; conn and ticket are nil then.
	remote *remoteConn
	// idleSince is when the connection was last released after a statement. A
	// probe does not change it: idleBeforeProbe keeps the value while a probe uses
	// the connection.
	idleSince, idleBeforeProbe time.Time
}

// Pool returns the pool that the connection belongs to.
func (c *Conn) Pool() *Pool { return c.pool }

// Exchange runs the statements in one batch in the wanted session and returns their
// answers; see statement.Conn. If the server refuses the session, it executes none of
// them, and each answer is a refusal with the code Busy or ReadOnly.
func (c *Conn) Exchange(deadline time.Time, want Session, requests ...statement.Statement) ([]statement.Answer, bool, error) {
	c.pool.outstanding.Add(1)
	defer c.pool.outstanding.Add(-1)
	return c.exchange(deadline, false, want, requests)
}

// ExchangeAsPrimary is like Exchange, for statements that only the primary may
// execute. It fails with ErrNoWriteLease or ErrSuspended, and sends nothing, if this host
// may not use the server as the primary.
func (c *Conn) ExchangeAsPrimary(deadline time.Time, want Session, requests ...statement.Statement) ([]statement.Answer, bool, error) {
	// The statement counts as outstanding before the check, so that a revocation
	// is confirmed only after statements that passed the check have ended.
	c.pool.outstanding.Add(1)
	defer c.pool.outstanding.Add(-1)
	if err := c.pool.group.checkUse(c.pool); err != nil {
		return nil, false, err
	}
	return c.exchange(deadline, true, want, requests)
}

func (c *Conn) exchange(deadline time.Time, asPrimary bool, want Session, requests []statement.Statement) (answers []statement.Answer, mayRun bool, err error) {
	p := c.pool
	sentAt := p.group.options.Now()
	if c.remote != nil {
		answers, mayRun, err = c.remote.exchange(p, deadline, asPrimary, want, requests)
		// An owner that was not reached, or is lost, says nothing about the server.
		p.recordExchange(len(answers) > 0, err != nil && mayRun && !errors.Is(err, errOwnerLost))
	} else {
		answers, mayRun, err = c.exchangeInSession(deadline, asPrimary, want, requests)
	}
	if err != nil {
		return answers, mayRun, err
	}
	p.recordResponseTime(p.group.options.Now().Sub(sentAt))
	for _, a := range answers {
		p.recordCode(a.Code)
	}
	return answers, mayRun, nil
}

// send sends the statements in one batch on the connection of this host, and records
// what their answers show of the connection and of the server.
func (c *Conn) send(deadline time.Time, statements ...statement.Statement) ([]statement.Answer, bool, error) {
	answers, mayRun, err := c.transmit(deadline, statements...)
	c.pool.recordExchange(len(answers) > 0, err != nil && mayRun)
	return answers, mayRun, err
}

// transmit is send for probes and rollbacks, which do not count as failures of the
// server.
func (c *Conn) transmit(deadline time.Time, statements ...statement.Statement) ([]statement.Answer, bool, error) {
	answers, mayRun, err := c.conn.Exchange(deadline, statements...)
	c.session.record(statements, answers)
	c.broken = c.broken || err != nil
	return answers, mayRun, err
}

// recordExchange records whether the server answered, and whether it failed to.
func (p *Pool) recordExchange(answered, failed bool) {
	if answered {
		p.recordAnswer()
	}
	if failed {
		p.recordFailure()
		p.markFailing(failureWindow)
	}
}

// recordCode updates the load and availability of the server from the code of
// an answer.
func (p *Pool) recordCode(code statement.Code) {
	switch code {
	case statement.Busy:
		p.recordResponseTime(busyResponseTime)
	case statement.Lagging:
		p.markFailing(lagWindow)
	}
}

// Release returns the connection to its pool. The connection is closed if it failed
// or is in a transaction.
func (c *Conn) Release() {
	p := c.pool
	if c.remote != nil {
		c.remote.release(p)
		return
	}
	// After the push, another statement may already use the connection.
	ticket := c.ticket
	if c.broken || c.session.state != statement.Idle || !p.pushIdle(c) {
		p.discard(c)
	}
	p.limiter.Release(ticket)
}

// pushIdle keeps an idle connection and reports whether it did. Connections to
// a draining server are kept only while it is the primary.
func (p *Pool) pushIdle(c *Conn) bool {
	isPrimary := p.group.Primary() == p
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.server.Draining && !isPrimary {
		return false
	}
	now := p.group.options.Now()
	if p.group.connectionsScarce.Load() && now.Sub(c.openedAt) >= scarceMaxAge {
		p.noDialUntil = laterTime(p.noDialUntil, now.Add(yieldPause))
		return false
	}
	c.idleSince = p.group.options.Now()
	if !c.idleBeforeProbe.IsZero() {
		c.idleSince, c.idleBeforeProbe = c.idleBeforeProbe, time.Time{}
	}
	p.idle = append(p.idle, c)
	return true
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (p *Pool) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0
}

// closeIdle closes the connections that no statement used for the given time,
// or for contendedMaxIdle while other hosts may lack a connection.
func (p *Pool) closeIdle(maxUnused time.Duration) {
	now := p.group.options.Now()
	p.mu.Lock()
	if now.Sub(p.refusedAt) < contentionWindow {
		maxUnused = min(maxUnused, contendedMaxIdle)
	}
	var closing []*Conn
	p.idle = slices.DeleteFunc(p.idle, func(c *Conn) bool {
		expired := now.Sub(c.idleSince) >= maxUnused
		if expired {
			closing = append(closing, c)
		}
		return expired
	})
	p.mu.Unlock()
	for _, c := range closing {
		p.discard(c)
	}
}

// Rollback ends an open transaction in the background and then releases the
// connection.
func (c *Conn) Rollback() {
	if c.remote != nil {
		c.remote.release(c.pool)
		return
	}
	go func() {
		_, _, _ = c.transmit(time.Now().Add(rollbackTimeout), statement.Statement{Kind: statement.Rollback})
		c.Release()
	}()
}
