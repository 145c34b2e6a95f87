package session

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

// bufferRetention is how long an idle session keeps its buffers. A message that
// arrives within that time is read without an additional system call.
const bufferRetention = time.Second

// maxKeptUnitBytes is the largest buffer that a session keeps from one unit to the
// next.
const maxKeptUnitBytes = 64 << 10

// session serves one caller. The fields up to starting belong to the goroutine of
// the session; those after mu are guarded by it.
type session struct {
	server *Server
	pid    uint32
	secret [cancelSecretBytes]byte
	ctx    context.Context
	stop   context.CancelFunc

	nc net.Conn
	// in is nil while the session waits without buffers.
	in  *input
	out output
	// firstByte is the buffer of awaitUnbuffered.
	firstByte [1]byte

	user       string
	database   string
	appName    string
	class      string
	token      string
	requestKey string
	// forward is set until the next transaction begins.
	forward *forward
	// startupParameters are the run-time parameters of the startup packet.
	startupParameters map[string]string
	statements        map[string]*statement
	// portals are those bound to statements that the session answers itself.
	portals map[string]*statement

	unit unit
	// sendBuf holds encoded messages for the server.
	sendBuf []byte
	// expected lists the answers to the unit.
	expected []expectation
	// nextExpected is the index in expected of the next answer.
	nextExpected int
	mode         relayMode

	tx   route.Tx
	conn *upstream.Conn
	// forwarded is set if the peer of conn is an owner, not a backend server.
	forwarded bool
	// status is the transaction status of the last ReadyForQuery.
	status byte
	// inBlock is set while the caller is inside a transaction block.
	inBlock bool
	// ranStatement is set once the transaction has run a statement.
	ranStatement bool
	// awaitingSync is set after a unit was sent up to a Flush, without its Sync.
	awaitingSync bool
	// skipToSync is set while messages are ignored up to the next Sync.
	skipToSync bool
	// blockFailed is set while the connection of a transaction block is lost and
	// the caller has not yet ended the block.
	blockFailed bool
	// needsReset is set if the connection has to be reset before its release.
	needsReset bool
	// changedParameters are the names of the run-time parameters that the
	// transaction has changed on a server connection.
	changedParameters map[string]struct{}
	// beginKey is the request key with which the transaction began.
	beginKey string
	// txKey is the request key of a transaction block.
	txKey string
	// txTags are the command tags of the block's statements, one a line.
	txTags []byte
	// tokenChanged is set until the caller has been told the new session token.
	tokenChanged bool

	// The following fields describe the answers to the current unit so far.

	unitFailed     bool
	completedCount int
	// lastCommit is set if the last completed statement is a COMMIT whose outcome
	// the router has not been asked for yet.
	lastCommit bool
	// lastRollback is set if the last completed statement is a ROLLBACK.
	lastRollback bool
	// sessionStateTag is the command of the last completed statement if its only
	// effect is session state, else empty.
	sessionStateTag string

	// starting is set during the start-up phase.
	starting atomic.Bool
	// idle is set while the session waits between transactions.
	idle atomic.Bool

	mu sync.Mutex
	// currentConn is nc, for use by other goroutines.
	currentConn net.Conn
	// activeConn is conn, for use by other goroutines.
	activeConn *upstream.Conn
	cancelled  bool
	// waitCtx is the context of the wait for a connection, nil outside of it.
	waitCtx *deadlineContext
}

func newSession(server *Server, nc net.Conn) *session {
	s := &session{server: server, secret: newSecret(), status: upstream.StatusIdle}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.starting.Store(true)
	s.out.flushBytes = writeBufferBytes
	s.out.heldOffset = -1
	s.out.timeout = server.options.CallerTimeout
	s.setConn(nc)
	return s
}

func (s *session) options() *Options { return &s.server.options }

func (s *session) setConn(nc net.Conn) {
	s.mu.Lock()
	s.currentConn = nc
	s.mu.Unlock()
	s.nc = nc
	s.out.nc = nc
	if s.in != nil {
		s.in.source.nc = nc
	}
}

// serve runs the session until it ends, and closes the caller's connection.
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

// end releases the connection and closes that of the caller.
func (s *session) end() {
	s.releaseTx(false)
	s.stop()
	s.mu.Lock()
	s.currentConn.Close()
	s.mu.Unlock()
	if s.in != nil {
		s.in.discard()
	}
}

// interruptWait ends the wait of a session that is idle between transactions. It
// aborts a session that is still in its start-up phase.
func (s *session) interruptWait() {
	if s.starting.Load() {
		s.abort()
		return
	}
	if !s.idle.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The error of a closed connection is ignored, since its wait has ended.
	_ = s.currentConn.SetReadDeadline(time.Unix(1, 0))
}

// abort closes both connections of the session at once.
func (s *session) abort() {
	s.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentConn.Close()
	if s.activeConn != nil {
		s.activeConn.Close()
	}
}

func (s *session) secretMatches(secret []byte) bool {
	return subtle.ConstantTimeCompare(s.secret[:], secret) == 1
}

// cancelCurrent ends the wait for a connection, or sends a cancel request to the
// connection in use. The lock keeps the connection from being released meanwhile.
// The connection is not pooled again, because the peer may process the request
// late.
func (s *session) cancelCurrent() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitCtx != nil {
		s.cancelled = true
		s.waitCtx.cancel()
		return nil
	}
	if s.activeConn == nil {
		return nil
	}
	s.cancelled = true
	return s.activeConn.Cancel(s.ctx)
}

// awaitMessage waits for the next message. It returns its buffers to their pools
// after bufferRetention. Between transactions it ends the session if the server
// drains.
func (s *session) awaitMessage() error {
	if s.in != nil && !s.in.empty() {
		return nil
	}
	betweenTx := s.tx == nil && !s.skipToSync
	limit := s.options().IdleInTransaction
	if betweenTx {
		limit = s.options().IdleTimeout
	}
	s.idle.Store(betweenTx)
	defer s.idle.Store(false)
	err := s.awaitBuffered(betweenTx, min(limit, bufferRetention))
	if errors.Is(err, os.ErrDeadlineExceeded) && limit > bufferRetention && !s.shouldDrain(betweenTx) {
		err = s.awaitUnbuffered(betweenTx, limit-bufferRetention)
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
	case s.shouldDrain(betweenTx):
		return s.fatal(codeAdminShutdown, "terminating connection because this host is being stopped")
	case betweenTx:
		return s.fatal(codeIdleSession, "terminating connection due to idle-session timeout")
	default:
		return s.fatal(codeIdleInTransaction, "terminating connection due to idle-in-transaction timeout")
	}
}

// shouldDrain reports whether the session has to end because the server drains.
func (s *session) shouldDrain(betweenTx bool) bool {
	return betweenTx && s.server.stopping.Load()
}

// awaitBuffered waits for the first byte of a message with the buffers in place.
func (s *session) awaitBuffered(betweenTx bool, limit time.Duration) error {
	src := &s.in.source
	src.waiting = true
	src.timeout = limit
	if betweenTx {
		src.stopping = &s.server.stopping
	}
	_, err := s.in.framer.br.Peek(1)
	src.waiting = false
	src.stopping = nil
	src.timeout = s.options().CallerTimeout
	return err
}

// awaitUnbuffered waits for one byte without holding a buffer.
func (s *session) awaitUnbuffered(betweenTx bool, limit time.Duration) error {
	s.in.free()
	s.in = nil
	s.out.free()
	s.unit = unit{}
	s.sendBuf = nil
	s.expected = nil
	if err := s.nc.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if s.shouldDrain(betweenTx) {
		return os.ErrDeadlineExceeded
	}
	if _, err := io.ReadFull(s.nc, s.firstByte[:]); err != nil {
		return err
	}
	s.in = newInput(s.nc, s.options().CallerTimeout, s.options().MaxUnitBytes)
	s.in.source.first = s.firstByte[0]
	s.in.source.hasFirst = true
	return nil
}

// rejectMessage ends the session after a message that cannot be read.
func (s *session) rejectMessage(err error) error {
	var ne net.Error
	if errors.Is(err, io.EOF) || errors.As(err, &ne) {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return s.fatal(codeProtocolViolation, "malformed message: "+err.Error())
}

// serveUnit answers one unit. An error ends the session.
func (s *session) serveUnit(u *unit) error {
	s.out.startUnit()
	defer s.trimBuffers()
	if s.skipToSync {
		return s.skipUnit(u)
	}
	if u.tooLarge {
		return s.failUnit(u, &sqlError{
			code:    codeLimitExceeded,
			message: fmt.Sprintf("request is larger than %d bytes", s.options().MaxUnitBytes),
		})
	}
	if s.blockFailed {
		return s.serveInFailedBlock(u)
	}
	if err := s.applySettings(u); err != nil {
		var r *sqlError
		if errors.As(err, &r) {
			return s.failUnit(u, r)
		}
		return err
	}
	if !u.needsServer && !s.awaitingSync {
		return s.answerLocally(u)
	}
	if s.tx != nil {
		return s.continueTx(u)
	}
	return s.runFirstUnit(u)
}

// trimBuffers drops buffers that a large unit has grown beyond their usual size.
func (s *session) trimBuffers() {
	if cap(s.unit.buf) > maxKeptUnitBytes {
		s.unit.buf = nil
	}
	if cap(s.sendBuf) > maxKeptUnitBytes {
		s.sendBuf = nil
	}
	if cap(s.out.buf) > maxKeptBufferBytes && len(s.out.buf) == 0 {
		s.out.buf = nil
	}
}

// applySettings applies the SET statements of the unit that the session answers
// itself. It runs before the unit begins, so that they take effect for the
// statements of the same unit.
func (s *session) applySettings(u *unit) error {
	for i := range u.items {
		it := &u.items[i]
		if !it.local || it.kind != itemQuery && it.kind != itemExecute {
			continue
		}
		if err := s.applySetting(it.stmt.setting); err != nil {
			return err
		}
	}
	return nil
}

// applySetting sets one of the session's own settings. An invalid forward setting
// ends the session, since the unit pipelined after it must not run without it.
func (s *session) applySetting(set *setting) error {
	switch set.name {
	case settingClass:
		s.class = set.value
	case settingToken:
		s.token = set.value
	case settingRequestKey:
		s.requestKey = set.value
	case settingForward:
		if !s.options().AcceptForwards {
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

// answerLocally answers a unit that needs no connection to a server.
func (s *session) answerLocally(u *unit) error {
	s.writeUnitAnswer(u, "SET")
	if !u.partial {
		s.sendReady()
	}
	if s.forward != nil && !s.in.empty() {
		// The entry host has sent the request together with the setting, so
		// both answers are sent together.
		return nil
	}
	s.out.flush()
	return nil
}

// sendReady appends ReadyForQuery with the transaction status that applies to the
// caller.
func (s *session) sendReady() {
	status := byte(upstream.StatusIdle)
	switch {
	case s.blockFailed:
		status = upstream.StatusFailed
	case s.tx != nil:
		status = s.status
	default:
		s.portals = nil
	}
	s.out.append(&pgproto3.ReadyForQuery{TxStatus: status})
}

// failUnit ends a unit with an error that the session raises.
func (s *session) failUnit(u *unit, r *sqlError) error {
	s.revertUnit(u)
	s.out.discardHeld()
	s.out.append(r.response())
	if u.partial {
		s.skipToSync = true
	} else {
		s.sendReady()
	}
	s.out.flush()
	return nil
}

// skipUnit ignores messages up to the Sync that follows an error.
func (s *session) skipUnit(u *unit) error {
	s.revertUnit(u)
	if u.partial || u.simple {
		return nil
	}
	s.skipToSync = false
	if s.tx == nil || !s.awaitingSync {
		s.sendReady()
		s.out.flush()
		return nil
	}
	// The server waits for the Sync too.
	u.reset()
	if err := u.add(item{kind: itemSync}, &pgproto3.Sync{}); err != nil {
		return err
	}
	return s.continueTx(u)
}

// serveInFailedBlock answers a unit in a transaction block whose connection was
// lost. Until the caller ends the block it answers as a server does in a failed
// transaction.
func (s *session) serveInFailedBlock(u *unit) error {
	if !u.onlyEndsTx() {
		return s.failUnit(u, &sqlError{
			code:    codeFailedTransaction,
			message: "current transaction is aborted, commands ignored until end of transaction block",
		})
	}
	if u.statementCount > 0 {
		s.blockFailed = false
	}
	s.writeUnitAnswer(u, "ROLLBACK")
	if !u.partial {
		s.sendReady()
	}
	s.out.flush()
	return nil
}

// onlyEndsTx reports whether all statements of the unit are COMMIT or ROLLBACK.
func (u *unit) onlyEndsTx() bool {
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

// writeUnitAnswer writes the answer to a unit whose statements have no parameters
// and return no rows. All of them complete with the same tag.
func (s *session) writeUnitAnswer(u *unit, tag string) {
	for i := range u.items {
		it := &u.items[i]
		switch it.kind {
		case itemSync, itemFlush:
		case itemQuery, itemExecute:
			s.out.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		default:
			s.writeSynthetic(expectation{kind: synthKind(it.kind), item: i})
		}
	}
}
