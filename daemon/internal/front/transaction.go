package front

import (
	"errors"
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// runInTransaction runs a statement of the open transaction.
func (ss *session) runInTransaction(req request) statement.Answer {
	tx := ss.tx
	r, cancel := ss.newStatementRun(tx.route, tx.group, req.statement.ID)
	defer cancel()
	r.outcome.Read = !req.writes
	if tx.conn == nil {
		if a, ok := r.startTransaction(tx); !ok {
			tx.fail(a.Detail)
			return r.finish(a)
		}
	}
	r.recordAttempt(tx.conn.Pool())
	return r.finish(r.runInTransaction(tx, req))
}

// runInTransaction runs a statement on the connection of the transaction. No
// effect of the transaction persists before its commit is sent, so a failure of
// the connection can be reported as aborted.
func (r *statementRun) runInTransaction(tx *transaction, req request) statement.Answer {
	p := tx.conn.Pool()
	sent := r.ss.server.options.Now()
	answers, _, err := tx.send()(r.deadline, r.session(req.prepare), req.statement)
	if err != nil {
		tx.discardConn(err.Error())
		return refuse(statement.Aborted, "connection to the backend server failed: "+err.Error())
	}
	a := answers[0]
	if a.Code != statement.OK {
		if a.Code == statement.ReadOnly && tx.onPrimary {
			r.group.RecordNotPrimary(p)
		}
		tx.fail(a.Code.String() + " " + a.Detail)
		return a
	}
	if req.writes {
		tx.wrote = true
	}
	if tx.onPrimary {
		r.group.ConfirmPrimary(p, sent, a.Position)
	}
	return a
}

// send returns the exchange for the statements of the transaction.
func (tx *transaction) send() exchangeFunc {
	if tx.onPrimary {
		return tx.conn.ExchangeAsPrimary
	}
	return tx.conn.Exchange
}

// startTransaction acquires a connection for the transaction and begins the
// transaction on it. It returns false and the refusal if that fails.
func (r *statementRun) startTransaction(tx *transaction) (statement.Answer, bool) {
	if tx.readOnly && tx.route.Consistency != catalog.Primary && r.startOnFresh(tx) {
		return statement.Answer{}, true
	}
	a := r.tryPrimary(func(p *backend.Pool) (statement.Answer, bool) {
		if err := r.startOn(p, tx, statement.Statement{Kind: statement.Begin}); err != nil {
			return refuse(statement.Busy, "transaction could not begin: "+err.Error()), isFinalRefusal(err)
		}
		tx.onPrimary = true
		return statement.Answer{}, true
	})
	return a, tx.conn != nil
}

// startOnFresh begins a read-only transaction on a server whose log is fresh
// enough. It returns false if there is none.
func (r *statementRun) startOnFresh(tx *transaction) bool {
	return r.tryFreshServers(tx.startedAt, func(p *backend.Pool, after group.Position) bool {
		return r.startOn(p, tx, statement.Statement{Kind: statement.BeginRead, MinPosition: after}) == nil
	})
}

// startOn makes one attempt to begin the transaction on a server.
func (r *statementRun) startOn(p *backend.Pool, tx *transaction, begin statement.Statement) error {
	c, err := p.Acquire(r.ctx, classOf(r.route))
	if err != nil {
		return err
	}
	r.outcome.Attempts++
	code, err := r.beginOn(c, nil, begin)
	if err != nil {
		return err
	}
	if code != statement.OK {
		return fmt.Errorf("%w: %s", errNotBegun, code)
	}
	tx.conn = c
	return nil
}

// errNotBegun means that the backend server did not begin a transaction.
var errNotBegun = errors.New("backend server refused the transaction")

// commit ends the open transaction. If the answer to a sent commit is missing,
// the outcome is in doubt, unless the transaction has written nothing.
func (ss *session) commit(st statement.Statement) statement.Answer {
	tx := ss.tx
	if tx == nil {
		return refuse(statement.MalformedStatement, "no transaction is open")
	}
	r, cancel := ss.newStatementRun(tx.route, tx.group, st.ID)
	defer cancel()
	r.outcome.Read = !tx.wrote
	if tx.conn == nil {
		if a, ok := r.startTransaction(tx); !ok {
			ss.tx = nil
			return r.finish(a)
		}
	}
	a := r.commitOn(tx, st)
	ss.tx = nil
	return r.finish(a)
}

func (r *statementRun) commitOn(tx *transaction, st statement.Statement) statement.Answer {
	c, send := tx.conn, tx.send()
	tx.conn = nil
	p := c.Pool()
	r.recordAttempt(p)
	sent := r.ss.server.options.Now()
	answers, mayRun, err := send(r.deadline, r.session(nil), st)
	c.Release()
	if err != nil {
		if !tx.wrote || !mayRun {
			return refuse(statement.Aborted, "transaction was rolled back: "+err.Error())
		}
		return refuse(statement.InDoubt, err.Error())
	}
	a := answers[0]
	if a.Code == statement.ReadOnly && tx.onPrimary {
		r.group.RecordNotPrimary(p)
	}
	if a.Code == statement.OK && tx.wrote {
		r.recordCommit(p, sent, a.Position)
	}
	return a
}

func (r *statementRun) recordCommit(p *backend.Pool, sent time.Time, position group.Position) {
	r.group.ConfirmPrimary(p, sent, position)
	service := r.route.Service
	r.ss.lastCommit[service] = laterPosition(r.ss.lastCommit[service], position)
}
