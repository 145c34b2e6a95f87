// Package route assigns a connection to each transaction. An entry host uses a
// connection to an owner host of the database, an owner host a connection to a
// backend server.
//
// On an owner host, a transaction that may write goes to the primary, and
// Finish waits until its commit is durable. A read goes to a replica that has
// applied everything its session may have seen: the position in its session
// token, or else a read barrier requested after the read arrived. If no replica
// qualifies, the read goes to the primary, and Finish confirms that the primary
// still holds its term. Requests wait for a connection in the bounded queues of
// package admission, also while no primary is known. A request that cannot get
// a connection before its deadline is refused as not run.
//
// On an entry host, requests are admitted per database and per owner host, and
// go to the first owner host that can be reached.
package route

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Request describes a transaction that is about to begin.
type Request struct {
	Database string
	User     string
	// Class is the request class; empty for an unclassified request.
	Class string
	// ReadOnly reports whether the caller began a read-only transaction.
	ReadOnly bool
	// Token is the session token: empty if the caller sent none, TokenNone if
	// its session has written nothing.
	Token string
	// Key is the request key; empty for none.
	Key string
	// Arrived is when the first byte of the request was read.
	Arrived time.Time
	// Deadline is the time after which the response is useless; zero means the
	// deadline of the class.
	Deadline time.Time
	// Hops is the number of hosts that have forwarded the request.
	Hops int
}

// TokenNone is the session token of a session that has written nothing.
const TokenNone = "none"

// Conn is a connection to a backend server or to an owner host.
type Conn interface {
	// Ping checks that the peer still responds on this connection.
	Ping(ctx context.Context) error
	// Close closes the connection without waiting for the peer.
	Close() error
}

// Router chooses the connection of each transaction.
type Router interface {
	// Begin waits for a connection. Every error is a *NotRunError: no byte of
	// the request has reached a backend server.
	Begin(ctx context.Context, r Request) (Tx, error)
}

// Tx is the exclusive use of a connection by one transaction.
type Tx interface {
	// Conn returns the connection to use.
	Conn() Conn
	// Forwarded reports whether the connection leads to an owner host, which
	// then confirms the transaction in place of Finish.
	Forwarded() bool
	// Finish must be called after the backend server has ended the transaction
	// and before its completion is passed to the caller. It returns the session
	// token to report, empty if unchanged. If the transaction cannot be
	// confirmed, the error is *UnknownOutcomeError for one that may have
	// written, and *StaleReadError for one that can only have read.
	Finish(ctx context.Context) (token string, err error)
	// MayRetry reports whether the request may be retried after its connection
	// failed without a response: it is idempotent and the retry budget allows
	// it. A request with a key may always be retried under that key.
	MayRetry() bool
	// Release returns the connection to its pool. The connection is closed
	// unless clean is set, which means that the transaction ended and every
	// response was read.
	Release(clean bool)
}

// SQLSTATE codes that gypsumgap itself sends. The SQL standard reserves classes
// that begin with I to Z for implementations.
const (
	// CodeNotRun reports a request that was refused and has not run.
	CodeNotRun = "YG001"
	// CodeUnknownOutcome reports a transaction that may or may not have taken effect.
	CodeUnknownOutcome = "08007"
	// CodeKeyReused reports a request key that was used for a different request.
	CodeKeyReused = "YG002"
	// CodeAnswerNotKept reports a request that has run under its key, but whose
	// answer was not recorded.
	CodeAnswerNotKept = "YG003"
	// CodeStaleRead reports a read that could not be confirmed.
	CodeStaleRead = "40001"
)

// NotRunError reports a request that was refused before any byte of it reached
// a backend server.
type NotRunError struct {
	// Reason is the reason of the refusal, as sent to the caller.
	Reason string
	// Err is the cause; nil for none.
	Err error
}

// Error returns the reason and the cause.
func (e *NotRunError) Error() string { return describe("request not run", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports a request that may or may not have taken effect.
type UnknownOutcomeError struct {
	// Reason is the reason, as sent to the caller.
	Reason string
	// Err is the cause; nil for none.
	Err error
}

// Error returns the reason and the cause.
func (e *UnknownOutcomeError) Error() string { return describe("outcome unknown", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// StaleReadError reports a read whose result may miss acknowledged writes.
type StaleReadError struct {
	// Reason is the reason, as sent to the caller.
	Reason string
	// Err is the cause; nil for none.
	Err error
}

// Error returns the reason and the cause.
func (e *StaleReadError) Error() string { return describe("read may be stale", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *StaleReadError) Unwrap() error { return e.Err }

func describe(kind, reason string, err error) string {
	if err == nil {
		return fmt.Sprintf("%s: %s", kind, reason)
	}
	return fmt.Sprintf("%s: %s: %v", kind, reason, err)
}

// SQLState returns the SQLSTATE for an error of this package, and false for
// errors of other packages.
func SQLState(err error) (string, bool) {
	var notRun *NotRunError
	var unknown *UnknownOutcomeError
	var stale *StaleReadError
	switch {
	case errors.As(err, &notRun):
		return CodeNotRun, true
	case errors.As(err, &unknown):
		return CodeUnknownOutcome, true
	case errors.As(err, &stale):
		return CodeStaleRead, true
	default:
		return "", false
	}
}
