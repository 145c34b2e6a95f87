package session

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"crypto/subtle"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

// activeWait is how long an idle session keeps its buffers. A busy caller's next
// message is then read without a further system call.
const activeWait = time.Second

// keptUnitBytes is the largest buffer of a unit that a busy session keeps.
const keptUnitBytes = 64 << 10

// session serves one caller. All fields but those under mu belong to its
// goroutine.
type session struct {
	server *Server
	pid    uint32
	secret [cancelSecretBytes]byte
	ctx    context.Context
	stop   context.CancelFunc

	nc  net.Conn
	in  *input
	out output
	one [1]byte

	user     string
	database string
	appName  string
	class    string
	token    string
	key      string
	forward  *forward
	// wanted are the run-time parameters of the startup packet.
	wanted     map[string]string
	statements map[string]*statement
	portals    map[string]*statement

	unit unit
	wire []byte
	due  []expectation
	head int
	mode relayMode

	tx        route.Tx
	conn      *upstream.Conn
	forwarded bool
	// status is the transaction status of the last ReadyForQuery.
	status byte
	// explicit says that the caller is inside a transaction block.
	explicit bool
	// executed says that the transaction has run a statement.
	executed bool
	// midUnit says that a unit was sent up to a Flush, without its Sync.
	midUnit bool
	// skip says that messages are ignored up to the next Sync.
	skip bool
	// failed says that the connection of a transaction block was lost and the
	// caller has not yet ended the block.
	failed bool
	// dirty says that the connection has to be reset.
	dirty   bool
	changed map[string]struct{}
	// begunKey is the request key with which the transaction began.
	begunKey string
	// txKey is the request key of an explicit transaction, tags its results.
	txKey string
	tags  []byte
	// tokenDue says that the caller must be told the token.
	tokenDue bool

	// What the current unit has answered so far.
	unitFailed   bool
	completed    int
	lastCommit   bool
	lastRollback bool
	sessionState string

	// starting is true during the start-up phase, idle while the session waits
	// between transactions.
	starting atomic.Bool
	idle     atomic.Bool

	mu        sync.Mutex
	current   net.Conn
	active    *upstream.Conn
	cancelled bool
	// waiting is the wait for a connection.
	waiting *deadlineContext
}

func newSession(server *Server, nc net.Conn) *session {
	s := &session{server: server, secret: newSecret(), status: upstream.StatusIdle}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.starting.Store(true)
	s.out.limit = writeBufferBytes
	s.out.hold = -1
	s.out.timeout = server.options.CallerTimeout
	s.setConn(nc)
	return s
}

func (s *session) options() *Options { return &s.server.options }

func (s *session) setConn(nc net.Conn) {
	s.mu.Lock()
	s.current = nc
	s.mu.Unlock()
	s.nc = nc
	s.out.nc = nc
	if s.in != nil {
		s.in.source.nc = nc
	}
}

// serve runs the session until the caller leaves.
func (s *session) serve() {
	defer s.end()
	s.in = newInput(s.nc, s.options().StartupTimeout, maxStartupBytes)
	if err := s.handshake(); err != nil {
		s.logEnd("startup_failed", err)
		return
	}
	s.starting.Store(false)
	s.in.source.timeout = s.options().CallerTimeout
	for {
		err := s.readUnit(&s.unit)
		if err == nil {
			err = s.serveUnit(&s.unit)
		}
		if err == nil && s.out.err != nil {
			err = s.out.err
		}
		if err != nil {
			s.logEnd("session_ended", err)
			return
		}
	}
}

func (s *session) logEnd(event string, err error) {
	if errors.Is(err, errEnded) || errors.Is(err, io.EOF) {
		return
	}
	s.options().Log.WithError(err).WithField("pid", s.pid).WithField("database", s.database).Debug(event)
}

func (s *session) end() {
	s.releaseTx(false)
	s.stop()
	s.mu.Lock()
	s.current.Close()
	s.mu.Unlock()
	if s.in != nil {
		s.in.discard()
	}
}

// wake ends the wait of a session that is idle between transactions, and a
// session that is still starting.
func (s *session) wake() {
	if s.starting.Load() {
		s.abort()
		return
	}
	if !s.idle.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A closed connection needs no waking.
	_ = s.current.SetReadDeadline(time.Unix(1, 0))
}

// abort closes the session at once.
func (s *session) abort() {
	s.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Close()
	if s.active != nil {
		s.active.Close()
	}
}

func (s *session) secretMatches(secret []byte) bool {
	return subtle.ConstantTimeCompare(s.secret[:], secret) == 1
}

// cancelCurrent sends a cancel request to the connection in use. The lock keeps
// the connection from being released meanwhile; afterwards it is not pooled
// again, because the peer may act on the request late.
func (s *session) cancelCurrent() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting != nil {
		s.cancelled = true
		s.waiting.cancel()
		return nil
	}
	if s.active == nil {
		return nil
	}
	s.cancelled = true
	return s.active.Cancel(s.ctx)
}

// await waits for the next message. Between transactions it gives its buffers
// back after activeWait, and it ends the session if the server drains.
func (s *session) await() error {
	if s.in != nil && !s.in.empty() {
		return nil
	}
	between := s.tx == nil && !s.skip
	limit := s.options().IdleInTransaction
	if between {
		limit = s.options().IdleTimeout
	}
	s.idle.Store(between)
	defer s.idle.Store(false)
	err := s.awaitActive(between, min(limit, activeWait))
	if errors.Is(err, os.ErrDeadlineExceeded) && limit > activeWait && !s.drainNow(between) {
		err = s.awaitIdle(between, limit-activeWait)
	}
	if err == nil {
		return nil
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if s.in == nil {
		s.in = newInput(s.nc, s.options().CallerTimeout, s.options().MaxUnitBytes)
	}
	switch {
	case s.drainNow(between):
		return s.fatal(codeAdminShutdown, "terminating connection because this host is being stopped")
	case between:
		return s.fatal(codeIdleSession, "terminating connection due to idle-session timeout")
	default:
		return s.fatal(codeIdleInTransaction, "terminating connection due to idle-in-transaction timeout")
	}
}

func (s *session) drainNow(between bool) bool {
	return between && s.server.stopping.Load()
}

func (s *session) awaitActive(between bool, limit time.Duration) error {
	src := &s.in.source
	src.waiting = true
	src.timeout = limit
	if between {
		src.stopping = &s.server.stopping
	}
	_, err := s.in.framer.br.Peek(1)
	src.waiting = false
	src.stopping = nil
	src.timeout = s.options().CallerTimeout
	return err
}

// awaitIdle waits for one byte without holding a buffer.
func (s *session) awaitIdle(between bool, limit time.Duration) error {
	s.in.free()
	s.in = nil
	s.out.free()
	s.unit = unit{}
	s.wire = nil
	s.due = nil
	if err := s.nc.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if s.drainNow(between) {
		return os.ErrDeadlineExceeded
	}
	if _, err := io.ReadFull(s.nc, s.one[:]); err != nil {
		return err
	}
	s.in = newInput(s.nc, s.options().CallerTimeout, s.options().MaxUnitBytes)
	s.in.source.first = s.one[0]
	s.in.source.hasFirst = true
	return nil
}

// refuseMessage ends the session after a message that cannot be read.
func (s *session) refuseMessage(err error) error {
	var ne net.Error
	if errors.Is(err, io.EOF) || errors.As(err, &ne) {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return s.fatal(codeProtocolViolation, "malformed message: "+err.Error())
}

// serveUnit answers one unit.
func (s *session) serveUnit(u *unit) error {
	s.out.start()
	defer s.trim()
	if s.skip {
		return s.serveSkipped(u)
	}
	if u.tooLarge {
		return s.refuse(u, &refusal{
			code:    codeLimitExceeded,
			message: fmt.Sprintf("request is larger than %d bytes", s.options().MaxUnitBytes),
		})
	}
	if s.failed {
		return s.serveFailed(u)
	}
	if err := s.applySettings(u); err != nil {
		var r *refusal
		if errors.As(err, &r) {
			return s.refuse(u, r)
		}
		return err
	}
	if !u.remote && !s.midUnit {
		return s.answerLocally(u)
	}
	if s.tx != nil {
		return s.continueTx(u)
	}
	return s.firstUnit(u)
}

// trim drops buffers that one large unit has grown.
func (s *session) trim() {
	if cap(s.unit.buf) > keptUnitBytes {
		s.unit.buf = nil
	}
	if cap(s.wire) > keptUnitBytes {
		s.wire = nil
	}
	if cap(s.out.buf) > keptBufferBytes && len(s.out.buf) == 0 {
		s.out.buf = nil
	}
}

// applySettings sets the session's own settings, before the unit begins, so that
// they count for its own statements.
func (s *session) applySettings(u *unit) error {
	for i := range u.items {
		it := &u.items[i]
		if !it.local || it.kind != itemQuery && it.kind != itemExecute {
			continue
		}
		if err := s.apply(it.stmt.setting); err != nil {
			return err
		}
	}
	return nil
}

// apply sets one of the session's own settings. A bad forward setting ends the
// session, since the unit pipelined behind it must not run without it.
func (s *session) apply(set *setting) error {
	switch set.name {
	case settingClass:
		s.class = set.value
	case settingToken:
		s.token = set.value
	case settingRequestKey:
		s.key = set.value
	case settingForward:
		if !s.options().Forwarded {
			return s.fatal(codeInvalidSetting, "gypsumgap.forward is accepted from other hosts only")
		}
		f, err := parseForward(set.value)
		if err != nil {
			return s.fatal(codeInvalidSetting, "invalid gypsumgap.forward: "+err.Error())
		}
		s.forward = f
	}
	return nil
}

// answerLocally answers a unit that needs no server.
func (s *session) answerLocally(u *unit) error {
	s.emitUnit(u, "SET")
	if !u.partial {
		s.ready()
	}
	if s.forward != nil && !s.in.empty() {
		// The entry host has sent the request along with the setting; both
		// answers go out together.
		return nil
	}
	s.out.flush()
	return nil
}

// ready writes ReadyForQuery with the status that the caller is to see.
func (s *session) ready() {
	status := byte(upstream.StatusIdle)
	switch {
	case s.failed:
		status = upstream.StatusFailed
	case s.tx != nil:
		status = s.status
	default:
		s.portals = nil
	}
	s.out.append(&pgproto3.ReadyForQuery{TxStatus: status})
}

// refuse ends a unit with an error of the session's own.
func (s *session) refuse(u *unit, r *refusal) error {
	s.undoUnit(u)
	s.out.withdraw()
	s.out.append(r.response())
	if u.partial {
		s.skip = true
	} else {
		s.ready()
	}
	s.out.flush()
	return nil
}

// serveSkipped ignores messages up to the Sync that follows an error.
func (s *session) serveSkipped(u *unit) error {
	s.undoUnit(u)
	if u.partial || u.simple {
		return nil
	}
	s.skip = false
	if s.tx == nil || !s.midUnit {
		s.ready()
		s.out.flush()
		return nil
	}
	// The server waits for the Sync as well.
	u.reset()
	if err := u.add(item{kind: itemSync}, &pgproto3.Sync{}); err != nil {
		return err
	}
	return s.continueTx(u)
}

// serveFailed answers inside a transaction block whose connection was lost, as a
// server does in a failed transaction, until the caller ends the block.
func (s *session) serveFailed(u *unit) error {
	if !u.endsOnly() {
		return s.refuse(u, &refusal{
			code:    codeFailedTransaction,
			message: "current transaction is aborted, commands ignored until end of transaction block",
		})
	}
	if u.executed > 0 {
		s.failed = false
	}
	s.emitUnit(u, "ROLLBACK")
	if !u.partial {
		s.ready()
	}
	s.out.flush()
	return nil
}

// endsOnly reports whether every statement of the unit only ends a transaction.
func (u *unit) endsOnly() bool {
	for i := range u.items {
		it := &u.items[i]
		switch {
		case it.kind == itemCall || it.local && it.stmt != nil:
			return false
		case it.kind == itemQuery && !isEnd(it.sql):
			return false
		case it.kind == itemExecute && !isEnd(u.sql):
			return false
		case it.stmt != nil && it.stmt.Statement != nil && !isEnd(it.stmt.SQL):
			return false
		}
	}
	return true
}

// emitUnit answers a unit of statements without parameters or rows.
func (s *session) emitUnit(u *unit, tag string) {
	for i := range u.items {
		it := &u.items[i]
		switch it.kind {
		case itemSync, itemFlush:
		case itemQuery, itemExecute:
			s.out.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		default:
			s.emit(expectation{kind: synthKind(it.kind), item: i})
		}
	}
}

// request describes the transaction that the unit begins, and takes the settings
// that count only for it.
func (s *session) request(u *unit) route.Request {
	r := route.Request{
		Database: s.database,
		User:     s.user,
		Class:    s.appName,
		Token:    s.token,
		Key:      s.key,
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
		// The connection carries transactions of many callers.
		s.token = f.Token
		s.wanted = f.Parameters
		s.forward = nil
	} else if s.options().Deadline != nil {
		if d := s.options().Deadline(r.Database, r.Class); d > 0 {
			r.Deadline = u.arrived.Add(d)
		}
	}
	if sql, ok := u.single(); ok {
		_, r.ReadOnly = isBegin(sql)
	}
	if u.executed == 0 {
		// Preparing a statement is not the request that the key is meant for.
		r.Key = ""
		return r
	}
	s.key = ""
	return r
}

// awaitTx waits for a connection; a cancel request ends the wait.
func (s *session) awaitTx(r route.Request, deadline time.Time) (route.Tx, error) {
	ctx := newDeadlineContext(s.ctx, deadline)
	defer ctx.cancel()
	s.mu.Lock()
	s.waiting = ctx
	s.cancelled = false
	s.mu.Unlock()
	tx, err := s.options().Router.Begin(ctx, r)
	s.mu.Lock()
	s.waiting = nil
	cancelled := s.cancelled
	s.mu.Unlock()
	if err != nil && cancelled {
		return nil, &refusal{code: codeQueryCanceled, message: "canceling statement due to user request; it was not run"}
	}
	return tx, err
}

// begin gets a connection.
func (s *session) begin(r route.Request, deadline time.Time) error {
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
	s.begunKey = r.Key
	s.mu.Lock()
	s.active = conn
	s.mu.Unlock()
	return nil
}

func (s *session) finishTx() (string, error) {
	ctx := newDeadlineContext(s.ctx, time.Now().Add(s.options().FinishTimeout))
	defer ctx.cancel()
	return s.tx.Finish(ctx)
}

// releaseTx gives the connection back, after a reset if a transaction has changed
// its state.
func (s *session) releaseTx(clean bool) {
	if s.tx == nil {
		return
	}
	s.mu.Lock()
	s.active = nil
	clean = clean && !s.cancelled
	s.mu.Unlock()
	if clean && s.dirty && !s.forwarded {
		clean = s.resetConn()
	}
	if !clean {
		s.conn.Close()
	}
	s.tx.Release(clean)
	s.tx = nil
	s.conn = nil
	s.forwarded = false
	s.explicit = false
	s.executed = false
	s.midUnit = false
	s.dirty = false
	s.changed = nil
	s.txKey = ""
	s.tags = s.tags[:0]
	s.lastCommit = false
	s.lastRollback = false
	s.sessionState = ""
}

func (s *session) resetConn() bool {
	ctx, cancel := context.WithTimeout(s.ctx, s.options().ResetTimeout)
	defer cancel()
	if err := s.conn.Reset(ctx); err != nil {
		s.options().Log.WithError(err).WithField("database", s.database).Warn("connection_reset_failed")
		return false
	}
	return true
}

// deadlineOf returns when the request is no longer begun again.
func (s *session) deadlineOf(r route.Request) time.Time {
	if !r.Deadline.IsZero() {
		return r.Deadline
	}
	return r.Arrived.Add(s.options().RequestTimeout)
}

// firstUnit runs the unit that begins a transaction. It begins again as long as
// that cannot run the unit twice.
func (s *session) firstUnit(u *unit) error {
	r := s.request(u)
	deadline := s.deadlineOf(r)
	delay := defaultRetryDelay
	sent := false
	for {
		if err := s.begin(r, deadline); err != nil {
			var cancelled *refusal
			if sent && r.Key != "" && !errors.As(err, &cancelled) && s.pause(&delay, deadline) {
				continue
			}
			return s.refuse(u, beginRefusal(err, sent))
		}
		err := s.attempt(u, r, deadline)
		if err == nil {
			return nil
		}
		lost, err := s.firstFailure(u, err)
		if lost == nil {
			return err
		}
		again := s.out.sent == 0 && s.repeatable(u, r, lost)
		s.releaseTx(false)
		sent = sent || lost.sent && u.executed > 0
		if again && errors.Is(lost.err, errStale) && time.Now().Before(deadline) {
			// The pool may hold more connections that ended with this one.
			continue
		}
		if !again || !s.pause(&delay, deadline) {
			return s.refuse(u, s.lostRefusal(u, lost, sent))
		}
		s.out.withdrawAll()
	}
}

// firstFailure sorts the failures of a first unit. It returns the loss of the
// connection, or else reports a refusal and returns what ends the session.
func (s *session) firstFailure(u *unit, err error) (*lostError, error) {
	var lost *lostError
	if errors.As(err, &lost) {
		return lost, nil
	}
	var refused *refusal
	if errors.As(err, &refused) {
		s.releaseTx(false)
		return nil, s.refuse(u, refused)
	}
	return nil, err
}

// repeatable reports whether the unit may be begun again after its connection
// was lost without an answer to the caller.
func (s *session) repeatable(u *unit, r route.Request, lost *lostError) bool {
	if !lost.sent || r.Key != "" || !u.writes() {
		return true
	}
	return s.tx.MayRepeat()
}

// writes reports whether running the unit can have an effect.
func (u *unit) writes() bool {
	if u.executed == 0 {
		return false
	}
	sql, ok := u.single()
	if !ok {
		return true
	}
	begin, _ := isBegin(sql)
	return !begin
}

// beginRefusal is the error of a request that got no connection.
func beginRefusal(err error, sent bool) *refusal {
	var cancelled *refusal
	if sent {
		err = &route.UnknownOutcomeError{Reason: "an earlier attempt got no answer", Err: errors.New(err.Error())}
	} else if _, ok := route.Code(err); !ok && !errors.As(err, &cancelled) {
		err = &route.NotRunError{Reason: "no connection", Err: err}
	}
	return refusalOf(err)
}

// lostRefusal is the error of a first unit whose connection was lost.
func (s *session) lostRefusal(u *unit, lost *lostError, sent bool) *refusal {
	switch {
	case !sent && !lost.sent:
		return refusalOf(&route.NotRunError{Reason: "connection failed", Err: lost.err})
	case !u.writes():
		return &refusal{code: codeConnectionFailure, message: "connection failed: " + lost.err.Error()}
	default:
		return refusalOf(&route.UnknownOutcomeError{Reason: "connection failed", Err: lost.err})
	}
}

// pause waits before a further attempt and reports whether there is time for one.
func (s *session) pause(delay *time.Duration, deadline time.Time) bool {
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

// attempt runs a first unit once.
func (s *session) attempt(u *unit, r route.Request, deadline time.Time) error {
	if s.conn.Stale() {
		return &lostError{err: errStale}
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
		if prologue, err = s.prologue(r, deadline); err != nil {
			return err
		}
	}
	if err := s.build(u, prologue); err != nil {
		return err
	}
	ready, err := s.exchange(u, relayMode{})
	if err != nil {
		return err
	}
	return s.answered(u, ready)
}

// prologue is the statement that tells an owner about the request.
func (s *session) prologue(r route.Request, deadline time.Time) (string, error) {
	f := forward{
		User:       r.User,
		Class:      r.Class,
		Token:      r.Token,
		Key:        r.Key,
		DeadlineMS: max(time.Until(deadline).Milliseconds(), 1),
		Hops:       r.Hops + 1,
		Parameters: s.wanted,
	}
	return f.statement()
}

// continueTx runs a further unit of a transaction.
func (s *session) continueTx(u *unit) error {
	err := s.continueOnce(u)
	if err == nil {
		return nil
	}
	var lost *lostError
	var refused *refusal
	switch {
	case errors.As(err, &lost):
		return s.lostInTx(u, lost)
	case errors.As(err, &refused):
		s.releaseTx(false)
		return s.refuse(u, refused)
	default:
		return err
	}
}

func (s *session) continueOnce(u *unit) error {
	if key := parseComment(u.sql).key; key != "" && key != s.begunKey {
		// Ignoring the key would break the promise that it makes.
		s.failed = s.explicit
		return &refusal{
			code:    codeFeatureNotSupported,
			message: "a request key must be given with the statement that begins the transaction",
		}
	}
	if err := s.recordTags(u); err != nil {
		return err
	}
	if err := s.build(u, ""); err != nil {
		return err
	}
	ready, err := s.exchange(u, relayMode{})
	if err != nil {
		return err
	}
	return s.answered(u, ready)
}

// lostInTx reports the loss of the connection inside a transaction. Unless the
// unit may have asked for the commit, the transaction has been rolled back.
func (s *session) lostInTx(u *unit, lost *lostError) error {
	sql, single := u.single()
	commit := single && isCommit(sql)
	if commit && s.txKey != "" && lost.sent {
		return s.settleCommit(u, lost)
	}
	asked := !u.partial
	if s.explicit {
		asked = u.mayEnd()
	}
	explicit := s.explicit
	s.releaseTx(false)
	s.failed = explicit && !commit
	if lost.sent && asked {
		return s.refuse(u, refusalOf(&route.UnknownOutcomeError{Reason: "connection failed", Err: lost.err}))
	}
	return s.refuse(u, &refusal{
		code:    codeConnectionFailure,
		message: "connection failed and the transaction was rolled back: " + lost.err.Error(),
	})
}

// answered ends a unit whose answers have been relayed. Without ready the caller
// asked for a Flush only.
func (s *session) answered(u *unit, ready bool) error {
	if !ready {
		s.midUnit = true
		if err := s.beforeNext(); err != nil {
			return err
		}
		s.out.flush()
		return nil
	}
	s.midUnit = false
	return s.complete(u)
}

// complete passes on what was held at the end of a unit.
func (s *session) complete(u *unit) error {
	over := s.status == upstream.StatusIdle
	if !s.forwarded {
		if err := s.completeHeld(over); err != nil {
			return err
		}
	}
	if !over {
		s.explicit = true
		s.reportToken()
		s.ready()
		s.out.flush()
		return nil
	}
	s.restoreParameters()
	s.reportToken()
	s.out.released()
	if s.dirty && !s.forwarded {
		s.out.append(&pgproto3.ReadyForQuery{TxStatus: upstream.StatusIdle})
		s.out.flush()
		s.releaseTx(true)
		s.portals = nil
		return nil
	}
	// A caller that does not read must not keep the connection.
	s.releaseTx(true)
	s.ready()
	s.out.flush()
	return nil
}

// completeHeld asks for the transaction's outcome and replaces the held
// completion if that is not a success. It fails with *lostError if the outcome is
// unknown and can be settled by the transaction's request key.
func (s *session) completeHeld(over bool) error {
	if over && !s.explicit && !s.unitFailed && s.completed == 1 && s.sessionState != "" {
		s.out.withdraw()
		s.out.append(lostSetting(s.sessionState).response())
		return nil
	}
	ended := over && !s.unitFailed && (s.executed || s.explicit)
	if !ended && !s.lastCommit {
		return nil
	}
	s.lastCommit = false
	err := s.finish()
	if err == nil {
		return nil
	}
	if s.txKey != "" && !s.lastRollback && over {
		return s.keyedInDoubt(err)
	}
	s.out.withdraw()
	s.out.append(refusalOf(err).response())
	return nil
}

// lostSetting refuses a statement whose effect would end with its transaction.
func lostSetting(word string) *refusal {
	return &refusal{
		code:    codeFeatureNotSupported,
		message: word + " outside a transaction block has no effect: server connections are shared between callers",
		hint:    "Use it inside a transaction block, for which it lasts.",
	}
}

// restoreParameters tells the caller the values that the reset brings back.
func (s *session) restoreParameters() {
	if len(s.changed) == 0 {
		return
	}
	for _, p := range s.announced() {
		if _, ok := s.changed[p.Name]; ok {
			s.out.append(&p)
			delete(s.changed, p.Name)
		}
	}
	for name := range s.changed {
		if value, ok := s.conn.Parameter(name); ok {
			s.out.append(&pgproto3.ParameterStatus{Name: name, Value: value})
		}
	}
}

func (s *session) reportToken() {
	if !s.tokenDue {
		return
	}
	s.tokenDue = false
	s.out.append(&pgproto3.ParameterStatus{Name: tokenParameter, Value: s.token})
}
