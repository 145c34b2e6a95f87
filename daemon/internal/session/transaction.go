package session

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

// newRequest returns the route.Request of the transaction that the unit begins. It
// clears the settings that apply to one transaction only.
func (s *session) newRequest(u *unit) route.Request {
	r := route.Request{
		Database: s.database,
		User:     s.user,
		Class:    s.appName,
		Token:    s.token,
		Key:      s.requestKey,
		Arrived:  u.arrived,
	}
	if s.class != "" {
		r.Class = s.class
	}
	c := parseComment(u.sql)
	if c.class != "" {
		r.Class = c.class
	}
	if c.key != "" {
		r.Key = c.key
	}
	if f := s.forward; f != nil {
		r.User, r.Class, r.Token, r.Key, r.Hops = f.User, f.Class, f.Token, f.Key, f.Hops
		r.Deadline = f.deadline(u.arrived)
		// The connection carries the transactions of many callers, so these
		// values are replaced for each of them.
		s.token = f.Token
		s.startupParameters = f.Parameters
		s.forward = nil
	} else if s.options().ClassTimeout != nil {
		if d := s.options().ClassTimeout(r.Database, r.Class); d > 0 {
			r.Deadline = u.arrived.Add(d)
		}
	}
	if sql, ok := u.singleStatement(); ok {
		_, r.ReadOnly = isBegin(sql)
	}
	if u.statementCount == 0 {
		// A unit that runs no statement, such as a Parse, does not use up the
		// request key.
		r.Key = ""
		return r
	}
	s.requestKey = ""
	return r
}

// awaitTx waits for a connection. A cancel request ends the wait with a *sqlError.
func (s *session) awaitTx(r route.Request, deadline time.Time) (route.Tx, error) {
	ctx := newDeadlineContext(s.ctx, deadline)
	defer ctx.cancel()
	s.mu.Lock()
	s.waitCtx = ctx
	s.cancelled = false
	s.mu.Unlock()
	tx, err := s.options().Router.Begin(ctx, r)
	s.mu.Lock()
	s.waitCtx = nil
	cancelled := s.cancelled
	s.mu.Unlock()
	if err != nil && cancelled {
		return nil, &sqlError{code: codeQueryCanceled, message: "canceling statement due to user request; it was not run"}
	}
	return tx, err
}

// beginTx gets a connection for the transaction.
func (s *session) beginTx(r route.Request, deadline time.Time) error {
	tx, err := s.awaitTx(r, deadline)
	if err != nil {
		return err
	}
	conn, ok := tx.Conn().(*upstream.Conn)
	if !ok {
		tx.Release(false)
		return &route.NotRunError{Reason: fmt.Sprintf("unsupported connection type %T", tx.Conn())}
	}
	s.tx = tx
	s.conn = conn
	s.forwarded = tx.Forwarded()
	s.status = upstream.StatusIdle
	s.beginKey = r.Key
	s.mu.Lock()
	s.activeConn = conn
	s.mu.Unlock()
	return nil
}

// finishTx calls Tx.Finish with a time-out.
func (s *session) finishTx() (string, error) {
	ctx := newDeadlineContext(s.ctx, time.Now().Add(s.options().FinishTimeout))
	defer ctx.cancel()
	return s.tx.Finish(ctx)
}

// releaseTx releases the connection, after a reset if the transaction has changed
// its state, and clears the state of the transaction. The connection is closed
// unless clean is set, the reset succeeds and no cancel request was sent to it.
func (s *session) releaseTx(clean bool) {
	if s.tx == nil {
		return
	}
	s.mu.Lock()
	s.activeConn = nil
	clean = clean && !s.cancelled
	s.mu.Unlock()
	if clean && s.needsReset && !s.forwarded {
		clean = s.resetConn()
	}
	if !clean {
		s.conn.Close()
	}
	s.tx.Release(clean)
	s.tx = nil
	s.conn = nil
	s.forwarded = false
	s.inBlock = false
	s.ranStatement = false
	s.awaitingSync = false
	s.needsReset = false
	s.changedParameters = nil
	s.txKey = ""
	s.txTags = s.txTags[:0]
	s.lastCommit = false
	s.lastRollback = false
	s.sessionStateTag = ""
}

// resetConn resets the connection and reports whether that succeeded.
func (s *session) resetConn() bool {
	ctx, cancel := context.WithTimeout(s.ctx, s.options().ResetTimeout)
	defer cancel()
	if err := s.conn.Reset(ctx); err != nil {
		s.options().Log.WithError(err).WithField("database", s.database).Warn("connection_reset_failed")
		return false
	}
	return true
}

// retryDeadline returns the time after which the request is not retried.
func (s *session) retryDeadline(r route.Request) time.Time {
	if !r.Deadline.IsZero() {
		return r.Deadline
	}
	return r.Arrived.Add(s.options().RequestTimeout)
}

// runFirstUnit runs the unit that begins a transaction. It retries as long as that
// cannot make the unit take effect twice.
func (s *session) runFirstUnit(u *unit) error {
	r := s.newRequest(u)
	deadline := s.retryDeadline(r)
	delay := defaultRetryDelay
	sent := false
	for {
		if err := s.beginTx(r, deadline); err != nil {
			var cancelled *sqlError
			if sent && r.Key != "" && !errors.As(err, &cancelled) && s.backOff(&delay, deadline) {
				continue
			}
			return s.failUnit(u, beginError(err, sent))
		}
		err := s.attempt(u, r, deadline)
		if err == nil {
			return nil
		}
		lost, err := s.classifyFailure(u, err)
		if lost == nil {
			return err
		}
		again := s.out.sent == 0 && s.canRetry(u, r, lost)
		s.releaseTx(false)
		sent = sent || lost.sent && u.statementCount > 0
		if again && errors.Is(lost.err, errStaleConn) && time.Now().Before(deadline) {
			// The pool may hold more connections that were closed together
			// with this one, so the next attempt follows without delay.
			continue
		}
		if !again || !s.backOff(&delay, deadline) {
			return s.failUnit(u, s.connLostSQLError(u, lost, sent))
		}
		s.out.discardUnsent()
	}
}

// classifyFailure classifies an error of a first unit. It returns a lost connection
// to the caller of the method, sends a *sqlError to the caller of the session, and
// returns any other error as the end of the session.
func (s *session) classifyFailure(u *unit, err error) (*connLostError, error) {
	var lost *connLostError
	if errors.As(err, &lost) {
		return lost, nil
	}
	var sqlErr *sqlError
	if errors.As(err, &sqlErr) {
		s.releaseTx(false)
		return nil, s.failUnit(u, sqlErr)
	}
	return nil, err
}

// canRetry reports whether the unit may be retried after its connection was lost
// without an answer to the caller.
func (s *session) canRetry(u *unit, r route.Request, lost *connLostError) bool {
	if !lost.sent || r.Key != "" || !u.mayHaveEffect() {
		return true
	}
	return s.tx.MayRetry()
}

// mayHaveEffect reports whether the unit runs a statement other than a single BEGIN.
func (u *unit) mayHaveEffect() bool {
	if u.statementCount == 0 {
		return false
	}
	sql, ok := u.singleStatement()
	if !ok {
		return true
	}
	begin, _ := isBegin(sql)
	return !begin
}

// beginError returns the error of a request that got no connection. sent is set if
// an earlier attempt may have run the unit.
func beginError(err error, sent bool) *sqlError {
	var cancelled *sqlError
	if sent {
		err = &route.UnknownOutcomeError{Reason: "an earlier attempt got no answer", Err: errors.New(err.Error())}
	} else if _, ok := route.SQLState(err); !ok && !errors.As(err, &cancelled) {
		err = &route.NotRunError{Reason: "no connection", Err: err}
	}
	return toSQLError(err)
}

// connLostSQLError returns the error of a first unit whose connection was lost.
func (s *session) connLostSQLError(u *unit, lost *connLostError, sent bool) *sqlError {
	switch {
	case !sent && !lost.sent:
		return toSQLError(&route.NotRunError{Reason: "connection failed", Err: lost.err})
	case !u.mayHaveEffect():
		return &sqlError{code: codeConnectionFailure, message: "connection failed: " + lost.err.Error()}
	default:
		return toSQLError(&route.UnknownOutcomeError{Reason: "connection failed", Err: lost.err})
	}
}

// backOff waits before a further attempt and doubles the delay, up to maxRetryDelay.
// It reports false if the deadline does not allow another attempt or the session
// ends.
func (s *session) backOff(delay *time.Duration, deadline time.Time) bool {
	if time.Until(deadline) <= *delay {
		return false
	}
	t := time.NewTimer(*delay)
	defer t.Stop()
	*delay = min(2**delay, maxRetryDelay)
	select {
	case <-t.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// attempt runs a first unit once on the current connection.
func (s *session) attempt(u *unit, r route.Request, deadline time.Time) error {
	if s.conn.Stale() {
		return &connLostError{err: errStaleConn}
	}
	if err := s.applyParameters(); err != nil {
		return err
	}
	if r.Key != "" && !s.forwarded {
		return s.attemptKeyed(u, r, deadline)
	}
	prologue := ""
	if s.forwarded {
		var err error
		if prologue, err = s.forwardPrologue(r, deadline); err != nil {
			return err
		}
	}
	if err := s.buildRequest(u, prologue); err != nil {
		return err
	}
	ready, err := s.exchange(u, relayMode{})
	if err != nil {
		return err
	}
	return s.finishUnit(u, ready)
}

// forwardPrologue returns the SET statement that describes the request to an owner.
func (s *session) forwardPrologue(r route.Request, deadline time.Time) (string, error) {
	f := forward{
		User:       r.User,
		Class:      r.Class,
		Token:      r.Token,
		Key:        r.Key,
		DeadlineMS: max(time.Until(deadline).Milliseconds(), 1),
		Hops:       r.Hops + 1,
		Parameters: s.startupParameters,
	}
	return f.statement()
}

// continueTx runs a further unit of a transaction.
func (s *session) continueTx(u *unit) error {
	err := s.continueOnce(u)
	if err == nil {
		return nil
	}
	var lost *connLostError
	var sqlErr *sqlError
	switch {
	case errors.As(err, &lost):
		return s.handleConnLost(u, lost)
	case errors.As(err, &sqlErr):
		s.releaseTx(false)
		return s.failUnit(u, sqlErr)
	default:
		return err
	}
}

// continueOnce runs a further unit once on the connection of the transaction.
func (s *session) continueOnce(u *unit) error {
	if key := parseComment(u.sql).key; key != "" && key != s.beginKey {
		// Without its key the request could run more than once.
		s.blockFailed = s.inBlock
		return &sqlError{
			code:    codeFeatureNotSupported,
			message: "a request key must be given with the statement that begins the transaction",
		}
	}
	if err := s.recordTags(u); err != nil {
		return err
	}
	if err := s.buildRequest(u, ""); err != nil {
		return err
	}
	ready, err := s.exchange(u, relayMode{})
	if err != nil {
		return err
	}
	return s.finishUnit(u, ready)
}

// handleConnLost reports the loss of the connection inside a transaction. The
// transaction has been rolled back unless the unit may have requested the commit.
func (s *session) handleConnLost(u *unit, lost *connLostError) error {
	sql, single := u.singleStatement()
	commit := single && isCommit(sql)
	if commit && s.txKey != "" && lost.sent {
		return s.resolveCommit(u, lost)
	}
	commitRequested := !u.partial
	if s.inBlock {
		commitRequested = u.mayEndBlock()
	}
	explicit := s.inBlock
	s.releaseTx(false)
	s.blockFailed = explicit && !commit
	if lost.sent && commitRequested {
		return s.failUnit(u, toSQLError(&route.UnknownOutcomeError{Reason: "connection failed", Err: lost.err}))
	}
	return s.failUnit(u, &sqlError{
		code:    codeConnectionFailure,
		message: "connection failed and the transaction was rolled back: " + lost.err.Error(),
	})
}

// finishUnit ends a unit whose answers have been forwarded. ready is false for a
// unit that ends with a Flush.
func (s *session) finishUnit(u *unit, ready bool) error {
	if !ready {
		s.awaitingSync = true
		if err := s.finishHeldCommit(); err != nil {
			return err
		}
		s.out.flush()
		return nil
	}
	s.awaitingSync = false
	return s.completeUnit(u)
}

// completeUnit forwards the held messages at the end of a unit, and releases the
// connection if the transaction is over.
func (s *session) completeUnit(u *unit) error {
	over := s.status == upstream.StatusIdle
	if !s.forwarded {
		if err := s.resolveHeld(over); err != nil {
			return err
		}
	}
	if !over {
		s.inBlock = true
		s.reportToken()
		s.sendReady()
		s.out.flush()
		return nil
	}
	s.restoreParameters()
	s.reportToken()
	s.out.releaseHeld()
	if s.needsReset && !s.forwarded {
		s.out.append(&pgproto3.ReadyForQuery{TxStatus: upstream.StatusIdle})
		s.out.flush()
		s.releaseTx(true)
		s.portals = nil
		return nil
	}
	// The connection is released first, so that a caller that does not read its
	// answer does not occupy it.
	s.releaseTx(true)
	s.sendReady()
	s.out.flush()
	return nil
}

// resolveHeld asks the router for the outcome of the transaction, and replaces the
// held completion by an error if that is not a success. It fails with
// *connLostError if the outcome is unknown and can be resolved by the request key
// of the transaction.
func (s *session) resolveHeld(over bool) error {
	if over && !s.inBlock && !s.unitFailed && s.completedCount == 1 && s.sessionStateTag != "" {
		s.out.discardHeld()
		s.out.append(ineffectiveStateError(s.sessionStateTag).response())
		return nil
	}
	ended := over && !s.unitFailed && (s.ranStatement || s.inBlock)
	if !ended && !s.lastCommit {
		return nil
	}
	s.lastCommit = false
	err := s.finish()
	if err == nil {
		return nil
	}
	if s.txKey != "" && !s.lastRollback && over {
		return s.keyedFinishError(err)
	}
	s.out.discardHeld()
	s.out.append(toSQLError(err).response())
	return nil
}

// ineffectiveStateError returns the error of a statement whose effect would end with
// its implicit transaction.
func ineffectiveStateError(word string) *sqlError {
	return &sqlError{
		code:    codeFeatureNotSupported,
		message: word + " outside a transaction block has no effect: server connections are shared between callers",
		hint:    "Use it inside a transaction block, for which it lasts.",
	}
}

// restoreParameters reports to the caller the values that changed parameters have
// after the reset.
func (s *session) restoreParameters() {
	if len(s.changedParameters) == 0 {
		return
	}
	for _, p := range s.announcedParameters() {
		if _, ok := s.changedParameters[p.Name]; ok {
			s.out.append(&p)
			delete(s.changedParameters, p.Name)
		}
	}
	for name := range s.changedParameters {
		if value, ok := s.conn.Parameter(name); ok {
			s.out.append(&pgproto3.ParameterStatus{Name: name, Value: value})
		}
	}
}

// reportToken reports a changed session token to the caller as a ParameterStatus.
func (s *session) reportToken() {
	if !s.tokenChanged {
		return
	}
	s.tokenChanged = false
	s.out.append(&pgproto3.ParameterStatus{Name: tokenParameter, Value: s.token})
}
