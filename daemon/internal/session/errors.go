package session

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

// SQLSTATEs of PostgreSQL that the session sends or recognises.
const (
	codeConnectionFailure    = "08006"
	codeProtocolViolation    = "08P01"
	codeFeatureNotSupported  = "0A000"
	codeUniqueViolation      = "23505"
	codeFailedTransaction    = "25P02"
	codeIdleInTransaction    = "25P03"
	codeUnknownStatement     = "26000"
	codeInvalidAuthorization = "28000"
	codeInvalidPassword      = "28P01"
	codeUnknownDatabase      = "3D000"
	codeLimitExceeded        = "54000"
	codeQueryCanceled        = "57014"
	codeAdminShutdown        = "57P01"
	codeIdleSession          = "57P05"
	codeInvalidSetting       = "22023"
	codeInternal             = "XX000"
)

// errCaller wraps failures of the caller's connection, which end the session.
var errCaller = errors.New("caller connection failed")

// errStaleConn reports that a pooled connection was closed before it was used.
var errStaleConn = errors.New("pooled connection was closed by the server")

// connLostError reports that the upstream connection failed during a unit.
type connLostError struct {
	err error
	// sent is set if bytes of the unit may have reached the peer.
	sent bool
}

func (e *connLostError) Error() string { return e.err.Error() }
func (e *connLostError) Unwrap() error { return e.err }

// sqlError is an error with an SQLSTATE that is sent to the caller as the end of its
// unit.
type sqlError struct {
	code    string
	message string
	detail  string
	hint    string
}

func (e *sqlError) Error() string { return fmt.Sprintf("%s (SQLSTATE %s)", e.message, e.code) }

// toSQLError converts an error of the route package, or returns the *sqlError that
// err wraps. Any other error counts as an unknown outcome.
func toSQLError(err error) *sqlError {
	var r *sqlError
	if errors.As(err, &r) {
		return r
	}
	code, ok := route.SQLState(err)
	if !ok {
		code = route.CodeUnknownOutcome
	}
	return &sqlError{code: code, message: err.Error()}
}

func (e *sqlError) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severityError,
		SeverityUnlocalized: severityError,
		Code:                e.code,
		Message:             e.message,
		Detail:              e.detail,
		Hint:                e.hint,
	}
}

// isFatal reports whether the peer closes the connection after the ErrorResponse.
func isFatal(m *pgproto3.ErrorResponse) bool {
	severity := m.SeverityUnlocalized
	if severity == "" {
		severity = m.Severity
	}
	return severity == severityFatal || severity == "PANIC"
}

// endedByPeer reports whether an owner has ended the session because it is stopping.
// It does so only between transactions, and has then not started the unit.
func endedByPeer(err error) bool {
	var se *upstream.ServerError
	return errors.As(err, &se) && se.Code == codeAdminShutdown
}
