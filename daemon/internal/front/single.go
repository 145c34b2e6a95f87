package front

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/retry"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

const (
	// defaultTimeout is the time limit of a statement if its route sets none.
	defaultTimeout = 5 * time.Second
	// retryPause is the pause before another attempt after a failed one.
	retryPause = 15 * time.Millisecond
	// classQueueLimit is the number of statements of one priority that may wait
	// for a connection to one backend server.
	classQueueLimit = 64
	// priorities is the number of distinct priorities.
	priorities = 4
	// refusalMargin is the part of the time limit reserved for refusing a
	// statement that found no server, so that the refusal arrives within the
	// limit.
	refusalMargin = 100 * time.Millisecond
)

// classes holds the admission class of each priority.
var classes = func() (out [priorities]*admission.Class) {
	for i := range out {
		out[i] = &admission.Class{Name: string(rune('0' + i)), Priority: i + 1, QueueLimit: classQueueLimit}
	}
	return out
}()

// classOf returns the admission class of the route's priority. Priorities out of
// range count as the nearest one in range.
func classOf(r *catalog.Route) *admission.Class {
	return classes[min(max(r.Priority, 0), priorities-1)]
}

// statementRun is the execution of one statement.
type statementRun struct {
	ss        *session
	route     *catalog.Route
	group     *backend.Group
	ctx       context.Context
	startedAt time.Time
	// deadline is the end of the time limit. ctx ends earlier, by refusalMargin.
	deadline time.Time
	// tried holds the servers on which the statement was attempted as a read.
	tried   map[*backend.Pool]bool
	outcome Outcome
}

// newStatementRun starts the time limit of a statement. The limit uses the
// monotonic clock.
func (ss *session) newStatementRun(route *catalog.Route, g *backend.Group, id string) (*statementRun, context.CancelFunc) {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(ss.server.waitCtx, deadline.Add(-min(refusalMargin, timeout/4)))
	r := &statementRun{
		ss: ss, route: route, group: g, ctx: ctx, startedAt: ss.server.options.Now(), deadline: deadline,
		tried: map[*backend.Pool]bool{}, outcome: Outcome{ID: id, Route: route},
	}
	return r, cancel
}

// finish records the outcome of the statement and returns its answer.
func (r *statementRun) finish(a statement.Answer) statement.Answer {
	r.outcome.Code, r.outcome.Detail = a.Code, a.Detail
	r.outcome.Took = r.ss.server.options.Now().Sub(r.startedAt)
	r.outcome.ConfigVersion = r.ss.server.configVersion()
	if r.outcome.FailedOrSlow() {
		r.outcome.Health = r.group.Health()
	}
	r.ss.server.options.Recorder.Statement(r.outcome)
	return a
}

func (r *statementRun) recordAttempt(p *backend.Pool) {
	r.outcome.Attempts++
	r.outcome.Server = p.Server().ID
	r.outcome.Replica = r.group.Primary() != p
}

// waitForRetry waits before another attempt. It returns false if no time is
// left.
func (r *statementRun) waitForRetry() bool { return retry.Sleep(r.ctx, retryPause) == nil }

// runSingle runs a statement outside a transaction.
func (ss *session) runSingle(req request) statement.Answer {
	route, g := ss.server.options.Catalog.Route(ss.database)
	if route == nil {
		return refuse(statement.NoDatabase, "no route for this database")
	}
	r, cancel := ss.newStatementRun(route, g, req.statement.ID)
	defer cancel()
	if req.writes {
		return r.finish(r.write(req))
	}
	r.outcome.Read = true
	if route.Consistency == catalog.Primary {
		return r.finish(r.readPrimary(req))
	}
	return r.finish(r.readFromFresh(req))
}

// tryPrimary makes attempts on the primary until one is final or no time is
// left, and returns the answer of the last attempt.
func (r *statementRun) tryPrimary(attempt func(*backend.Pool) (a statement.Answer, final bool)) statement.Answer {
	for {
		p, err := r.group.WaitPrimary(r.ctx)
		if err != nil {
			return refuse(statement.Busy, err.Error())
		}
		if a, final := attempt(p); final || !r.waitForRetry() {
			return a
		}
	}
}

// tryFreshServers makes attempts on servers whose logs are fresh enough for a
// read that began at the given time, one on each server, until one is final. It
// returns false if none was.
func (r *statementRun) tryFreshServers(began time.Time, attempt func(p *backend.Pool, after group.Position) (final bool)) bool {
	for {
		after, ok := r.ss.requiredPosition(r.route, r.group, began)
		if !ok {
			return false
		}
		p := r.group.SelectForRead(r.tried)
		if p == nil {
			return false
		}
		r.tried[p] = true
		if attempt(p, after) {
			return true
		}
	}
}

// notExecuted returns the refusal of a statement that was not executed.
func notExecuted(reason string) statement.Answer {
	return refuse(statement.Busy, "statement did not run: "+reason)
}

// isFinalRefusal reports whether a failure shows that no further attempt of this
// host will be served in time.
func isFinalRefusal(err error) bool { return errors.Is(err, backend.ErrOverloaded) }

// write runs a write outside a transaction on the primary. It is repeated only
// after a failure that guarantees that it was not executed.
func (r *statementRun) write(req request) statement.Answer {
	return r.tryPrimary(func(p *backend.Pool) (statement.Answer, bool) { return r.writeOn(p, req) })
}

func (r *statementRun) writeOn(p *backend.Pool, req request) (a statement.Answer, final bool) {
	c, err := p.Acquire(r.ctx, classOf(r.route))
	if err != nil {
		return refuse(statement.Busy, err.Error()), r.ctx.Err() != nil
	}
	r.recordAttempt(p)
	sent := r.ss.server.options.Now()
	a, mayRun, err := r.exchange(c, req, c.ExchangeAsPrimary)
	switch {
	case err != nil && mayRun:
		return refuse(statement.InDoubt, err.Error()), true
	case err != nil:
		return notExecuted(err.Error()), isFinalRefusal(err)
	case a.Code == statement.OK:
		r.recordCommit(p, sent, a.Position)
		return a, true
	case a.Code == statement.ReadOnly:
		r.group.RecordNotPrimary(p)
	case !a.Code.NotExecuted() || a.Code == statement.MalformedStatement:
		return a, true
	}
	return notExecuted(a.Code.String()), false
}

// exchangeFunc is Exchange or ExchangeAsPrimary of a connection.
type exchangeFunc func(deadline time.Time, want backend.Session, requests ...statement.Statement) ([]statement.Answer, bool, error)

// session returns the session in which a statement of the caller runs; prepare is nil
// if it needs no prepared statement.
func (r *statementRun) session(prepare *statement.Statement) backend.Session {
	return backend.Session{Values: r.ss.values, Prepare: prepare}
}

// exchange runs the request on the connection by send and releases the connection. The
// second result reports whether the request may have been sent.
func (r *statementRun) exchange(c *backend.Conn, req request, send exchangeFunc) (statement.Answer, bool, error) {
	answers, sent, err := send(r.deadline, r.session(req.prepare), req.statement)
	c.Release()
	if err != nil {
		return statement.Answer{}, sent, err
	}
	return answers[0], sent, nil
}

// readPrimary runs a read in a separate transaction on the primary, because a
// replaced primary still answers plain reads.
func (r *statementRun) readPrimary(req request) statement.Answer {
	return r.tryPrimary(func(p *backend.Pool) (statement.Answer, bool) {
		a, final := r.readPrimaryOn(p, req)
		if !final {
			a = notExecuted(a.Detail)
		}
		return a, final
	})
}

// readPrimaryOn makes one attempt of readPrimary. done reports whether the
// answer is final.
func (r *statementRun) readPrimaryOn(p *backend.Pool, req request) (a statement.Answer, done bool) {
	c, err := p.Acquire(r.ctx, classOf(r.route))
	if err != nil {
		return refuse(statement.Busy, err.Error()), r.ctx.Err() != nil
	}
	r.recordAttempt(p)
	if code, err := r.beginOn(c, req.prepare, statement.Statement{Kind: statement.Begin}); err != nil || code != statement.OK {
		return refuse(statement.Busy, "transaction could not begin"), isFinalRefusal(err)
	}
	req.statement.MinPosition = group.Position{}
	answers, _, err := c.ExchangeAsPrimary(r.deadline, r.session(req.prepare), req.statement, statement.Statement{Kind: statement.Rollback})
	c.Release()
	if len(answers) == 0 {
		return r.handleReadError(err)
	}
	a = answers[0]
	switch {
	case a.Code == statement.OK, a.Code == statement.MalformedStatement:
		return a, true
	case a.Code == statement.ReadOnly:
		r.group.RecordNotPrimary(p)
	case !a.Code.NotExecuted():
		return a, r.outcome.Attempts > 1
	}
	return a, false
}

// beginOn applies the session values, prepares a statement unless prepare is
// nil, and begins a transaction. It releases the connection unless the
// transaction has begun.
func (r *statementRun) beginOn(c *backend.Conn, prepare *statement.Statement, begin statement.Statement) (statement.Code, error) {
	p := c.Pool()
	send := c.Exchange
	if begin.Kind == statement.Begin {
		send = c.ExchangeAsPrimary
	}
	sent := r.ss.server.options.Now()
	answers, _, err := send(r.deadline, r.session(prepare), begin)
	if err != nil {
		c.Release()
		return statement.Busy, err
	}
	a := answers[0]
	if a.Code != statement.OK {
		c.Release()
		if a.Code == statement.ReadOnly {
			r.group.RecordNotPrimary(p)
		}
		return a.Code, nil
	}
	if begin.Kind == statement.Begin {
		r.group.ConfirmPrimary(p, sent, a.Position)
	}
	return statement.OK, nil
}

// handleReadError returns the answer to a read whose connection failed, and
// whether it is final. Reads are repeated while time is left, since they may
// run twice.
func (r *statementRun) handleReadError(err error) (statement.Answer, bool) {
	if time.Now().After(r.deadline.Add(-refusalMargin)) {
		return refuse(statement.Timeout, err.Error()), true
	}
	return refuse(statement.Busy, err.Error()), false
}

// requiredPosition returns the position that a log must contain to serve a read
// that began at the given time. It returns false if no sample of the primary is
// recent enough.
func (ss *session) requiredPosition(r *catalog.Route, g *backend.Group, began time.Time) (group.Position, bool) {
	position, ok := g.Freshness.LowestCovering(began.Add(-r.MaxStaleness))
	if !ok {
		return group.Position{}, false
	}
	if r.Consistency == catalog.ReadYourWrites {
		position = laterPosition(position, ss.lastCommit[r.Service])
	}
	return position, true
}

func laterPosition(a, b group.Position) group.Position {
	if a.Compare(b) >= 0 {
		return a
	}
	return b
}

// readFromFresh runs a read on a server whose log is fresh enough, or on the
// primary if there is no such server or no sample is recent enough.
func (r *statementRun) readFromFresh(req request) (a statement.Answer) {
	done := r.tryFreshServers(r.startedAt, func(p *backend.Pool, after group.Position) (final bool) {
		req.statement.MinPosition = after
		a, final = r.readOn(p, req)
		return final
	})
	if done {
		return a
	}
	return r.readPrimary(req)
}

func (r *statementRun) readOn(p *backend.Pool, req request) (statement.Answer, bool) {
	c, err := p.Acquire(r.ctx, classOf(r.route))
	if err != nil {
		return refuse(statement.Busy, err.Error()), r.ctx.Err() != nil
	}
	r.recordAttempt(p)
	a, _, err := r.exchange(c, req, c.Exchange)
	if err != nil {
		return r.handleReadError(err)
	}
	switch {
	case a.Code == statement.OK, a.Code == statement.MalformedStatement:
		return a, true
	default:
		// A failed read is repeated on another server. After all servers were tried,
		// readPrimary gives the final answer.
		return a, false
	}
}
