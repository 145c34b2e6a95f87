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

// activeWait is how long an idle session keeps its buffers. A busy caller's next
// message is then read without a further system call.
const bufferRetention = time.Second

// keptUnitBytes is the largest buffer of a unit that a busy session keeps.
const maxKeptUnitBytes = 64 << 10

// session serves one caller. All fields but those under mu belong to its
// goroutine.
type session struct {
	server *Server
	pid    uint32
	secret [cancelSecretBytes]byte
	ctx    context.Context
	stop   context.CancelFunc

	nc        net.Conn
	in        *input
	out       output
	firstByte [1]byte

	user       string
	database   string
	appName    string
	class      string
	token      string
	requestKey string
	forward    *forward
	// wanted are the run-time parameters of the startup packet.
	startupParameters map[string]string
	statements        map[string]*statement
	portals           map[string]*statement

	unit         unit
	sendBuf      []byte
	expected     []expectation
	nextExpected int
	mode         relayMode

	tx        route.Tx
	conn      *upstream.Conn
	forwarded bool
	// status is the transaction status of the last ReadyForQuery.
	status byte
	// explicit says that the caller is inside a transaction block.
	inBlock bool
	// executed says that the transaction has run a statement.
	ranStatement bool
	// midUnit says that a unit was sent up to a Flush, without its Sync.
	awaitingSync bool
	// skip says that messages are ignored up to the next Sync.
	skipToSync bool
	// failed says that the connection of a transaction block was lost and the
	// caller has not yet ended the block.
	blockFailed bool
	// dirty says that the connection has to be reset.
	needsReset        bool
	changedParameters map[string]struct{}
	// begunKey is the request key with which the transaction began.
	beginKey string
	// txKey is the request key of an explicit transaction, tags its results.
	txKey  string
	txTags []byte
	// tokenDue says that the caller must be told the token.
	tokenChanged bool

	// What the current unit has answered so far.
	unitFailed      bool
	completedCount  int
	lastCommit      bool
	lastRollback    bool
	sessionStateTag string

	// starting is true during the start-up phase, idle while the session waits
	// between transactions.
	starting atomic.Bool
	idle     atomic.Bool

	mu          sync.Mutex
	currentConn net.Conn
	activeConn  *upstream.Conn
	cancelled   bool
	// waiting is the wait for a connection.
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
	s.currentConn.Close()
	s.mu.Unlock()
	if s.in != nil {
		s.in.discard()
	}
}

// wake ends the wait of a session that is idle between transactions, and a
// session that is still starting.
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
	// A closed connection needs no waking.
	_ = s.currentConn.SetReadDeadline(time.Unix(1, 0))
}

// abort closes the session at once.
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

// cancelCurrent sends a cancel request to the connection in use. The lock keeps
// the connection from being released meanwhile; afterwards it is not pooled
// again, because the peer may act on the request late.
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

// await waits for the next message. Between transactions it gives its buffers
// back after activeWait, and it ends the session if the server drains.
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

func (s *session) shouldDrain(betweenTx bool) bool {
	return betweenTx && s.server.stopping.Load()
}

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

// awaitIdle waits for one byte without holding a buffer.
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

// refuseMessage ends the session after a message that cannot be read.
func (s *session) rejectMessage(err error) error {
	var ne net.Error
	if errors.Is(err, io.EOF) || errors.As(err, &ne) {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return s.fatal(codeProtocolViolation, "malformed message: "+err.Error())
}

// serveUnit answers one unit.
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

// trim drops buffers that one large unit has grown.
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

// applySettings sets the session's own settings, before the unit begins, so that
// they count for its own statements.
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

// apply sets one of the session's own settings. A bad forward setting ends the
// session, since the unit pipelined behind it must not run without it.
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

// answerLocally answers a unit that needs no server.
func (s *session) answerLocally(u *unit) error {
	s.writeUnitAnswer(u, "SET")
	if !u.partial {
		s.sendReady()
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

// refuse ends a unit with an error of the session's own.
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

// serveSkipped ignores messages up to the Sync that follows an error.
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
	// The server waits for the Sync as well.
	u.reset()
	if err := u.add(item{kind: itemSync}, &pgproto3.Sync{}); err != nil {
		return err
	}
	return s.continueTx(u)
}

// serveFailed answers inside a transaction block whose connection was lost, as a
// server does in a failed transaction, until the caller ends the block.
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

// endsOnly reports whether every statement of the unit only ends a transaction.
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

// emitUnit answers a unit of statements without parameters or rows.
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
