package route

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/group"
)

// ownerTx implements Tx on a connection to a backend server.
type ownerTx struct {
	router   *OwnerRouter
	limiter  *admission.Limiter
	ticket   admission.Ticket
	conn     *pooledConn
	slot     group.SlotID
	term     group.Term // of the primary; 0 on a replica
	required group.Position
	class    *classPolicy
	policy   *Policy
	readOnly bool
	keyed    bool
	path     Path
	start    time.Time
	failed   bool // Finish failed
	released atomic.Bool
}

// Conn implements Tx.
func (t *ownerTx) Conn() Conn { return t.conn.conn }

// Forwarded implements Tx.
func (t *ownerTx) Forwarded() bool { return false }

// Finish implements Tx. It waits for at most the service's commit timeout. A
// read on a replica needs no confirmation, as the replica was known to have
// applied the required position before the read began.
func (t *ownerTx) Finish(ctx context.Context) (string, error) {
	o := t.router
	if t.path == PathReplica {
		o.cfg.Recorder.Finished(t.class.labels, time.Since(t.start))
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, t.policy.commitTimeout)
	defer cancel()
	p, err := o.cfg.Monitor.WaitDurable(ctx, t.term)
	if err == nil && t.readOnly && !p.Covers(t.required) {
		err = fmt.Errorf("the group's position %v is behind %v, which the session has seen", p, t.required)
	}
	if err != nil {
		t.failed = true
		return "", t.unconfirmed(err)
	}
	o.cfg.Recorder.Finished(t.class.labels, time.Since(t.start))
	if t.readOnly {
		return "", nil
	}
	return FormatToken(o.cfg.Database, p), nil
}

func (t *ownerTx) unconfirmed(err error) error {
	rec := t.router.cfg.Recorder
	if t.readOnly {
		rec.StaleRead(t.class.labels)
		return &StaleReadError{Reason: "the primary could not be confirmed after the read", Err: err}
	}
	rec.OutcomeUnknown(t.class.labels)
	return &UnknownOutcomeError{Reason: "the commit is not known to be durable", Err: err}
}

// MayRetry implements Tx. It also reports the connection failure to the monitor.
func (t *ownerTx) MayRetry() bool {
	t.router.cfg.Monitor.ReportFailure(t.slot)
	return mayRetry(t.class, t.readOnly, t.keyed, t.router.budget)
}

// mayRetry takes from the retry budget unless the request has a key: a keyed request
// is retried under its key to determine its outcome.
func mayRetry(c *classPolicy, reads, keyed bool, budget *admission.RetryBudget) bool {
	if keyed {
		return true
	}
	return (c.repeatable || reads) && budget.Withdraw()
}

// Release implements Tx.
func (t *ownerTx) Release(clean bool) {
	if !t.released.CompareAndSwap(false, true) {
		return
	}
	if clean {
		t.router.cfg.Monitor.ReportAnswer(t.slot)
	}
	t.router.pools.put(t.conn, clean)
	endAdmission(t.limiter, &t.ticket, clean && !t.failed)
}

// endAdmission ends an admission. With learn, the limiter adds the elapsed time to its
// estimate of the service time. Failed transactions are left out: many of them
// wait for a timeout while a primary is replaced, and the longer estimate would
// cause requests to be refused.
func endAdmission(l *admission.Limiter, t *admission.Ticket, learn bool) {
	if learn {
		l.Release(t)
		return
	}
	l.Cancel(t)
}

// abandon returns a connection that was not used and cancels the admission.
func (t *ownerTx) abandon() {
	t.router.pools.put(t.conn, true)
	t.limiter.Cancel(&t.ticket)
}
