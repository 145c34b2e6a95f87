package dbgroup

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup/internal/sqlite"
)

// Transaction status bytes of ReadyForQuery.
const (
	statusIdle   byte = 'I'
	statusInTx   byte = 'T'
	statusFailed byte = 'E'
)

// transaction is the state of a session's explicit or implicit transaction.
//
// At READ COMMITTED, the default, no transaction is opened in the embedded
// database before the first write, so that each statement sees the latest
// commits. The first write acquires the slot's writer lock. A transaction that
// is read-only, REPEATABLE READ or SERIALIZABLE opens one at its start, to take
// its snapshot.
type transaction struct {
	status   byte
	readOnly bool
	// snapshot is set while a transaction is open in the embedded database for a
	// snapshot.
	snapshot bool
	// writing is set while one is open under the writer lock.
	writing bool
	// epoch is the slot's epoch at the first write.
	epoch uint64
	// pending holds the writes to append to the replication log at the commit.
	pending []statement
	// savepoints holds the savepoints that are set, the latest last.
	savepoints []savepoint
}

// savepoint is a savepoint with the number of writes that were pending when it was set.
type savepoint struct {
	name    string
	pending int
}

// hasEngineTransaction reports whether a transaction is open in the embedded database.
func (t *transaction) hasEngineTransaction() bool { return t.snapshot || t.writing }

// begin starts an explicit transaction.
func (c *session) begin(cmd command) error {
	if c.tx.status != statusIdle {
		c.sendWarning(codeActiveTransaction, "there is already a transaction in progress")
		return nil
	}
	c.tx.status = statusInTx
	c.tx.readOnly = cmd.hasWord("read") && cmd.hasWord("only")
	repeatable := cmd.hasWord("repeatable") || cmd.hasWord("serializable")
	if (c.tx.readOnly || repeatable) && !c.tx.writing {
		if err := c.execEngine("BEGIN"); err != nil {
			return err
		}
		c.tx.snapshot = true
	}
	return nil
}

func (c *session) sendWarning(code, message string) {
	c.send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: code, Message: message})
}

// beginWrite acquires the writer lock and opens a transaction in the embedded
// database before the first write. It fails with SQLSTATE 25006 if the slot is
// not the primary or the transaction is read-only.
func (c *session) beginWrite() error {
	if c.tx.readOnly {
		return failf(codeReadOnlyTransaction, messageReadOnlyTx)
	}
	if c.tx.writing {
		return nil
	}
	if _, err := c.slot.writableEpoch(); err != nil {
		return err
	}
	if !c.slot.writer.acquire(c, c.cancelCh, c.ctx.Done()) {
		return c.interruptionError()
	}
	epoch, err := c.slot.writableEpoch()
	if err == nil && !c.tx.snapshot {
		err = c.execEngine("BEGIN IMMEDIATE")
	}
	if err != nil {
		c.slot.writer.release()
		return err
	}
	c.tx.writing, c.tx.epoch = true, epoch
	if !c.tx.snapshot {
		return c.replaySavepoints()
	}
	return nil
}

// replaySavepoints sets the savepoints that the transaction set before its first
// write, when no transaction was open in the embedded database.
func (c *session) replaySavepoints() error {
	for _, sp := range c.tx.savepoints {
		if err := c.execEngine("SAVEPOINT " + quoteName(sp.name)); err != nil {
			return err
		}
	}
	return nil
}

// interruptionError returns the error of a statement that was interrupted by the
// end of the session or by a cancel request.
func (c *session) interruptionError() error {
	if c.ctx.Err() != nil {
		return fatal(codeAdminShutdown, messageAdminShutdown)
	}
	return failf(codeQueryCanceled, messageQueryCanceled)
}

// writableEpoch returns the epoch of a primary. It fails with SQLSTATE 25006 on any other slot.
func (s *Slot) writableEpoch() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != group.Primary || !s.running {
		return 0, failf(codeReadOnlyTransaction, "cannot execute a write: the server is %s, not the primary", s.role)
	}
	return s.epoch, nil
}

// commit commits the open transaction, if any, and appends its writes to the
// replication log. It rolls back and fails with SQLSTATE 25006 if the slot is no
// longer the primary.
func (c *session) commit() error {
	writing, pending := c.tx.writing, c.tx.pending
	if !c.tx.hasEngineTransaction() {
		c.resetTransaction()
		return nil
	}
	c.releasePortals()
	var err error
	if writing {
		err = c.slot.commitAndAppend(c, pending)
	} else {
		err = c.execEngine("COMMIT")
	}
	c.rollbackEngineTransaction()
	c.resetTransaction()
	return err
}

// commitAndAppend commits in the embedded database and appends the writes to the
// log. It does both under the slot's mutex, so that no fence comes between them.
func (s *Slot) commitAndAppend(c *session, pending []statement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != c.tx.epoch || s.role != group.Primary || !s.running {
		return failf(codeReadOnlyTransaction, messageFencedCommit)
	}
	if err := c.execEngine("COMMIT"); err != nil {
		return err
	}
	if len(pending) == 0 {
		return nil
	}
	pos := group.Position{Term: s.acceptedTerm, Offset: s.log.end.Offset + 1}
	s.log.append(&record{pos: pos, committed: time.Now(), stmts: pending})
	s.applied = pos
	s.wakeLoopsLocked()
	return nil
}

// rollback rolls the open transaction back, if any.
func (c *session) rollback() {
	c.releasePortals()
	c.rollbackEngineTransaction()
	c.resetTransaction()
}

// rollbackEngineTransaction rolls back the transaction in the embedded database,
// releases the writer lock and discards the pending writes.
func (c *session) rollbackEngineTransaction() {
	if db := c.db.Load(); db != nil && c.tx.hasEngineTransaction() && db.InTransaction() {
		if err := c.execEngine("ROLLBACK"); err != nil {
			c.slot.logger.WithError(err).Error("rollback_failed")
		}
	}
	if c.tx.writing {
		c.slot.writer.release()
	}
	c.tx.writing, c.tx.snapshot, c.tx.pending = false, false, nil
}

func (c *session) resetTransaction() { c.tx = transaction{status: statusIdle} }

// failTransaction marks an explicit transaction as failed and rolls back an
// implicit one. A transaction without savepoints cannot be recovered, so its
// writer lock is released at once.
func (c *session) failTransaction() {
	if c.tx.status == statusIdle {
		c.rollback()
		return
	}
	c.tx.status = statusFailed
	db := c.db.Load()
	if len(c.tx.savepoints) == 0 || (c.tx.hasEngineTransaction() && db != nil && !db.InTransaction()) {
		c.tx.savepoints = nil
		c.releasePortals()
		c.rollbackEngineTransaction()
	}
}

func (c *session) setSavepoint(name string) error {
	if c.tx.status == statusIdle {
		return failf(codeNoActiveTransaction, "SAVEPOINT can only be used in transaction blocks")
	}
	if c.tx.hasEngineTransaction() {
		if err := c.execEngine("SAVEPOINT " + quoteName(name)); err != nil {
			return err
		}
	}
	c.tx.savepoints = append(c.tx.savepoints, savepoint{name, len(c.tx.pending)})
	return nil
}

// findSavepoint returns the index of the latest savepoint with the name.
func (c *session) findSavepoint(name string) (int, error) {
	for i := len(c.tx.savepoints) - 1; i >= 0; i-- {
		if c.tx.savepoints[i].name == name {
			return i, nil
		}
	}
	return 0, failf(codeInvalidSavepoint, "savepoint %q does not exist", name)
}

func (c *session) releaseSavepoint(name string) error {
	i, err := c.findSavepoint(name)
	if err != nil {
		return err
	}
	if c.tx.hasEngineTransaction() {
		if err := c.execEngine("RELEASE " + quoteName(name)); err != nil {
			return err
		}
	}
	c.tx.savepoints = c.tx.savepoints[:i]
	return nil
}

func (c *session) rollbackTo(name string) error {
	i, err := c.findSavepoint(name)
	if err != nil {
		return err
	}
	if c.tx.hasEngineTransaction() {
		c.releasePortals()
		if err := c.execEngine("ROLLBACK TO " + quoteName(name)); err != nil {
			return err
		}
	}
	c.tx.pending = c.tx.pending[:min(len(c.tx.pending), c.tx.savepoints[i].pending)]
	c.tx.savepoints = c.tx.savepoints[:i+1]
	c.tx.status = statusInTx
	return nil
}

func quoteName(name string) string { return `"` + name + `"` }

// execEngine runs a statement in the embedded database that the client did not
// send, such as BEGIN IMMEDIATE.
func (c *session) execEngine(sql string) error {
	stmt, err := c.acquireStatement(sql)
	if err != nil {
		return err
	}
	defer c.releaseStatement(sql, stmt)
	return stmt.Run()
}

// statementCacheSize is the maximum number of cached prepared statements of a
// session and of an applier.
const statementCacheSize = 512

// acquireStatement returns a prepared statement for exclusive use, until releaseStatement.
func (c *session) acquireStatement(sql string) (*sqlite.Stmt, error) {
	if idle := c.statementCache[sql]; len(idle) > 0 {
		stmt := idle[len(idle)-1]
		c.statementCache[sql] = idle[:len(idle)-1]
		c.cachedStatements--
		return stmt, nil
	}
	db, err := c.openDatabase()
	if err != nil {
		return nil, err
	}
	return db.Prepare(sql)
}

// releaseStatement resets a statement and returns it to the cache.
func (c *session) releaseStatement(sql string, stmt *sqlite.Stmt) {
	stmt.Reset()
	if c.cachedStatements >= statementCacheSize {
		c.clearStatementCache()
	}
	c.statementCache[sql] = append(c.statementCache[sql], stmt)
	c.cachedStatements++
}

func (c *session) clearStatementCache() {
	for sql, idle := range c.statementCache {
		for _, stmt := range idle {
			stmt.Finalize()
		}
		delete(c.statementCache, sql)
	}
	c.cachedStatements = 0
}

// openDatabase returns the session's handle of the slot's database and opens it
// at the first use, so that an idle connection needs little memory.
func (c *session) openDatabase() (*sqlite.DB, error) {
	if db := c.db.Load(); db != nil {
		return db, nil
	}
	c.slot.mu.Lock()
	path := c.slot.path
	c.slot.mu.Unlock()
	db, err := sqlite.Open(path)
	if err != nil {
		return nil, err
	}
	c.db.Store(db)
	return db, nil
}

func (c *session) closeDatabase() {
	c.clearStatementCache()
	if db := c.db.Swap(nil); db != nil {
		db.Close()
	}
}
