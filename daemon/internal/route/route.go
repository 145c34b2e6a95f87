// Package route gives each transaction a connection: on an entry host to an
// owner of the database, on an owner to a backend server.
//
// On an owner, what may write goes to the primary and is confirmed by the
// commit gate in Finish. A read goes to a replica that has applied what its
// session may have seen: the position in its token, or else a read barrier that
// is asked for after the read has arrived. If none qualifies it goes to the
// primary, whose term Finish then confirms. Requests wait for a connection in
// the bounded queues of package admission, those for the primary also while
// there is none, and are refused as not run if they cannot be in time.
//
// On an entry host, requests are admitted by database and by owner host and go
// to the first owner that can be reached.
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
	// ReadOnly says that the caller began a read-only transaction.
	ReadOnly bool
	// Token is the session token: empty if the caller carries none, TokenNone
	// if its session has written nothing.
	Token string
	// Key is the request key; empty for none.
	Key string
	// Arrived is when the first byte of the request was read.
	Arrived time.Time
	// Deadline is when an answer is no longer of use; zero takes the class's.
	Deadline time.Time
	// Hops counts the hosts that forwarded the request.
	Hops int
}

// TokenNone is the session token of a session that has written nothing.
const TokenNone = "none"

// Conn is a connection to a backend server or to an owner host.
type Conn interface {
	// Ping checks that the peer still answers on this connection.
	Ping(ctx context.Context) error
	// Close closes the connection without waiting for the peer.
	Close() error
}

// Router chooses the connection of each transaction.
type Router interface {
	// Begin waits for a connection. It fails with *NotRunError, in which case
	// no byte of the request has reached a backend server.
	Begin(ctx context.Context, r Request) (Tx, error)
}

// Tx is the exclusive use of a connection by one transaction.
type Tx interface {
	// Conn returns the connection to use.
	Conn() Conn
	// Forwarded reports whether the connection leads to an owner host, which
	// then does what Finish does.
	Forwarded() bool
	// Finish must be called when the backend server has ended the transaction
	// and before its completion is passed to the caller. It returns the session
	// token to report, empty if it is unchanged. It fails with
	// *UnknownOutcomeError if the transaction may have written and it is not
	// known to be durable, or with *StaleReadError if it can only have read.
	Finish(ctx context.Context) (token string, err error)
	// MayRetry reports whether the request may be begun again after its
	// connection failed without an answer: it is idempotent and the retry
	// budget allows it. Keyed requests are always repeatable under their key.
	MayRetry() bool
	// Release gives the connection back. It is closed unless clean, which says
	// that the transaction ended and every answer was read.
	Release(clean bool)
}

// SQLSTATE codes that gypsumgap itself sends. Class letters I-Z are left to
// implementations by the SQL standard.
const (
	CodeNotRun         = "YG001"
	CodeUnknownOutcome = "08007"
	CodeKeyReused      = "YG002"
	CodeAnswerNotKept  = "YG003"
	CodeStaleRead      = "40001"
)

// NotRunError refuses a request of which no byte reached a backend server.
type NotRunError struct {
	// Reason says why, for the caller.
	Reason string
	Err    error
}

// Error returns the reason.
func (e *NotRunError) Error() string { return describe("request not run", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports a request that may or may not have taken effect.
type UnknownOutcomeError struct {
	Reason string
	Err    error
}

// Error returns the reason.
func (e *UnknownOutcomeError) Error() string { return describe("outcome unknown", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// StaleReadError reports a read whose data may miss acknowledged writes.
type StaleReadError struct {
	Reason string
	Err    error
}

// Error returns the reason.
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
