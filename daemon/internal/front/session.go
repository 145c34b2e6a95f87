package front

import (
	"errors"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// defaultTransactionIdleTimeout is how long a transaction may be idle if the
// configuration sets no limit.
const defaultTransactionIdleTimeout = 30 * time.Second

// session is the session of one caller. Its goroutine reads statements and
// answers them one at a time.
type session struct {
	server   *Server
	conn     statement.CallerConn
	database string

	values   map[string]string
	prepared map[string]preparedStatement
	// lastCommit holds the position of the last commit of the session, by service.
	lastCommit map[string]group.Position

	// mu guards the fields that are shared with the drain and the idle timer.
	mu    sync.Mutex
	phase phase
	tx    *transaction
	// running is the statement that runs or is answered, and cutAnswer the answer to it
	// if a drain ends it.
	running   statement.Statement
	cutAnswer statement.Answer
	// ended is true once a drain has ended the session. No statement runs afterwards.
	ended bool
}

// phase is what a session does.
type phase int

const (
	// idle means that no statement was read.
	idle phase = iota
	running
	// answering means that an answer is being written.
	answering
)

// preparedStatement is a prepared statement of a session.
type preparedStatement struct {
	template string
	writes   bool
}

// transaction is the open transaction of a session.
type transaction struct {
	route     *catalog.Route
	group     *backend.Group
	readOnly  bool
	startedAt time.Time
	// conn is nil before the first statement and after a failure.
	conn *backend.Conn
	// onPrimary is true if the transaction runs on a primary.
	onPrimary bool
	wrote     bool
	failed    bool
	// reason is why the transaction failed.
	reason string
	// failureUnreported is true if no answer since the failure has told the caller
	// of it.
	failureUnreported bool
	idleTimer         *time.Timer
}

func newSession(s *Server, conn statement.CallerConn, database string) *session {
	return &session{
		server: s, conn: conn, database: database,
		values: map[string]string{}, prepared: map[string]preparedStatement{}, lastCommit: map[string]group.Position{},
	}
}

// run serves the session until the caller disconnects, the connection is closed, or
// it is interrupted outside a transaction.
func (ss *session) run() {
	defer ss.close()
	for {
		st, err := ss.conn.Next()
		switch {
		case errors.Is(err, statement.ErrInterrupted):
			if ss.tx == nil || ss.isEnded() {
				return
			}
			continue
		case err != nil:
			return
		}
		if !ss.beginStatement(st) {
			_ = ss.conn.Answer(ss.answerIfNotRun())
			return
		}
		answer := ss.handle(st)
		answer.State = ss.transactionState()
		if !ss.beginAnswer() || ss.conn.Answer(answer) != nil {
			return
		}
		ss.endStatement()
	}
}

// beginStatement marks the statement as running. It returns false if a drain has ended
// the session.
func (ss *session) beginStatement(st statement.Statement) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.ended {
		return false
	}
	ss.phase, ss.running, ss.cutAnswer = running, st, ss.answerIfCut(st)
	if ss.tx != nil && ss.tx.idleTimer != nil {
		ss.tx.idleTimer.Stop()
	}
	return true
}

// beginAnswer reports whether the running statement is still to be answered, which it
// is unless a drain has done so.
func (ss *session) beginAnswer() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.phase == answering {
		return false
	}
	ss.phase = answering
	return true
}

func (ss *session) isEnded() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.ended
}

// endStatement marks the session as idle and starts the idle timer of an open
// transaction.
func (ss *session) endStatement() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.phase = idle
	tx := ss.tx
	if tx == nil || tx.failed {
		return
	}
	limit := defaultTransactionIdleTimeout
	if c := ss.server.options.Catalog.Configuration(); c != nil && c.TransactionIdleTimeout > 0 {
		limit = c.TransactionIdleTimeout
	}
	tx.idleTimer = time.AfterFunc(limit, func() { ss.expireTransaction(tx, "transaction was idle for too long") })
}

// expireTransaction rolls back an idle transaction. Its later statements are
// refused.
func (ss *session) expireTransaction(tx *transaction, reason string) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.phase != idle || ss.tx != tx {
		return
	}
	tx.failWhileIdle(reason)
}

// endIfIdle makes the session's goroutine end the session if it waits for a statement
// outside a transaction. Only that goroutine knows whether a statement has arrived, so
// it is interrupted instead of closing the connection here. If rollBack is true, an idle
// transaction is rolled back.
func (ss *session) endIfIdle(rollBack bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	switch {
	case ss.phase != idle:
	case ss.tx == nil:
		ss.conn.Interrupt()
	case rollBack:
		ss.tx.failWhileIdle(stoppingReason)
	}
}

// close ends the session and rolls back its open transaction.
func (ss *session) close() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.tx != nil {
		ss.tx.fail("caller left")
	}
	ss.tx = nil
}

func (ss *session) transactionState() statement.State {
	switch {
	case ss.tx == nil:
		return statement.Idle
	case ss.tx.failed:
		return statement.Aborting
	default:
		return statement.InTransaction
	}
}

// fail rolls back the transaction and releases its connection.
func (tx *transaction) fail(reason string) {
	if tx.failed {
		return
	}
	tx.failed, tx.reason = true, reason
	if tx.idleTimer != nil {
		tx.idleTimer.Stop()
	}
	if tx.conn != nil {
		tx.conn.Rollback()
		tx.conn = nil
	}
}

// failWhileIdle fails the transaction between two statements, so that the next
// answer is the first that can report the failure.
func (tx *transaction) failWhileIdle(reason string) {
	if tx.failed {
		return
	}
	tx.failureUnreported = true
	tx.fail(reason)
}

// discardConn fails the transaction and closes its connection, which must not
// be used again. The backend server rolls back the transaction when the
// connection closes.
func (tx *transaction) discardConn(reason string) {
	if tx.conn != nil {
		tx.conn.Release()
		tx.conn = nil
	}
	tx.fail(reason)
}

func ok() statement.Answer { return statement.Answer{} }

func refuse(code statement.Code, detail string) statement.Answer {
	return statement.Answer{Code: code, Detail: detail}
}

// handle answers one statement.
func (ss *session) handle(st statement.Statement) statement.Answer {
	if ss.tx != nil && ss.tx.failed {
		return ss.handleFailed(st)
	}
	switch st.Kind {
	case statement.Set:
		ss.values[st.Name] = st.Value
		return ok()
	case statement.Prepare:
		ss.prepared[st.Name] = preparedStatement{st.Value, st.Writes}
		return ok()
	case statement.Deallocate:
		return ss.deallocate(st)
	case statement.Begin, statement.BeginRead:
		return ss.begin(st)
	case statement.Rollback:
		return ss.rollback()
	case statement.Commit:
		return ss.commit(st)
	case statement.Read, statement.Write, statement.Execute:
		return ss.execute(st)
	default:
		return ss.reject(statement.MalformedStatement, "statement is not known")
	}
}

// reject refuses a statement that was not executed, and fails the open
// transaction if there is one.
func (ss *session) reject(code statement.Code, detail string) statement.Answer {
	if ss.tx != nil {
		ss.tx.fail(detail)
	}
	return refuse(code, detail)
}

// handleFailed answers a statement in a failed transaction.
func (ss *session) handleFailed(st statement.Statement) statement.Answer {
	switch st.Kind {
	case statement.Rollback:
		ss.tx = nil
		return ok()
	case statement.Commit:
		reason := ss.tx.reason
		ss.tx = nil
		return refuse(statement.Aborted, reason)
	default:
		if ss.tx.failureUnreported {
			ss.tx.failureUnreported = false
			return refuse(statement.Aborted, ss.tx.reason)
		}
		return refuse(statement.MalformedStatement, "transaction has failed: "+ss.tx.reason)
	}
}

func (ss *session) deallocate(st statement.Statement) statement.Answer {
	if _, known := ss.prepared[st.Name]; !known {
		return ss.reject(statement.UnknownName, "no such prepared statement")
	}
	delete(ss.prepared, st.Name)
	return ok()
}

func (ss *session) begin(st statement.Statement) statement.Answer {
	if ss.tx != nil {
		return ss.reject(statement.MalformedStatement, "a transaction is open")
	}
	route, g := ss.server.options.Catalog.Route(ss.database)
	if route == nil {
		return refuse(statement.NoDatabase, "no route for this database")
	}
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.tx = &transaction{route: route, group: g, readOnly: st.Kind == statement.BeginRead, startedAt: ss.server.options.Now()}
	return ok()
}

func (ss *session) rollback() statement.Answer {
	if ss.tx == nil {
		return refuse(statement.MalformedStatement, "no transaction is open")
	}
	tx := ss.tx
	tx.fail("rolled back")
	ss.tx = nil
	return ok()
}

// execute runs a read or a write, inside or outside a transaction.
func (ss *session) execute(st statement.Statement) statement.Answer {
	req := request{statement: st, writes: st.Kind == statement.Write}
	if st.Kind == statement.Execute {
		p, known := ss.prepared[st.Name]
		if !known {
			return ss.reject(statement.UnknownName, "no such prepared statement")
		}
		req.writes = p.writes
		req.statement.Name = backend.PreparedName(p.template, p.writes)
		req.prepare = &statement.Statement{Kind: statement.Prepare, Name: req.statement.Name, Value: p.template, Writes: p.writes}
	}
	if ss.tx != nil {
		return ss.runInTransaction(req)
	}
	return ss.runSingle(req)
}

// request is a statement to run on a backend server.
type request struct {
	statement statement.Statement
	// prepare is the statement that must be prepared first; nil if there is none.
	prepare *statement.Statement
	writes  bool
}
