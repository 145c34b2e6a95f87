package dbgroup

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	lib "modernc.org/sqlite/lib"

	"github.com/gypsumgap/gypsumgap/standin/dbgroup/internal/sqlite"
)

// SQLSTATE codes, severities and messages of error responses, and the prefixes of
// SQLite's constraint messages.
const (
	codeProtocolViolation    = "08P01"
	codeFeatureNotSupported  = "0A000"
	codeInvalidText          = "22P02"
	codeNumericOutOfRange    = "22003"
	codeNotNullViolation     = "23502"
	codeForeignKeyViolation  = "23503"
	codeUniqueViolation      = "23505"
	codeCheckViolation       = "23514"
	codeActiveTransaction    = "25001"
	codeReadOnlyTransaction  = "25006"
	codeNoActiveTransaction  = "25P01"
	codeFailedTransaction    = "25P02"
	codeIdleInTransaction    = "25P03"
	codeUnknownStatement     = "26000"
	codeUnknownDatabase      = "3D000"
	codeUnknownPortal        = "34000"
	codeInvalidSavepoint     = "3B001"
	codeSerialization        = "40001"
	codeInsufficientRights   = "42501"
	codeSyntax               = "42601"
	codeUndefinedColumn      = "42703"
	codeDatatypeMismatch     = "42804"
	codeUndefinedFunction    = "42883"
	codeUndefinedTable       = "42P01"
	codeUndefinedParameter   = "42P02"
	codeDuplicateStatement   = "42P05"
	codeDuplicateTable       = "42P07"
	codeOutOfMemory          = "53200"
	codeDiskFull             = "53100"
	codeTooManyConnections   = "53300"
	codeProgramLimit         = "54000"
	codeNotInPrerequisite    = "55000"
	codeLockNotAvailable     = "55P03"
	codeQueryCanceled        = "57014"
	codeAdminShutdown        = "57P01"
	codeUndefinedObject      = "42704"
	codeInternal             = "XX000"
	severityError            = "ERROR"
	severityFatal            = "FATAL"
	uniqueConstraintPrefix   = "UNIQUE constraint failed: "
	notNullConstraintPrefix  = "NOT NULL constraint failed: "
	checkConstraintPrefix    = "CHECK constraint failed: "
	messageFailedTx          = "current transaction is aborted, commands ignored until end of transaction block"
	messageReadOnlyTx        = "cannot execute a write in a read-only transaction"
	messageQueryCanceled     = "canceling statement due to user request"
	messageFencedCommit      = "transaction was rolled back: the server stopped being the primary"
	messageAdminShutdown     = "terminating connection due to administrator command"
	messageTooManyClients    = "sorry, too many clients already"
	messageIdleInTransaction = "terminating connection due to idle-in-transaction timeout"
)

// sqlError is an error that is reported to the client. The fields other than fatal
// are those of an ErrorResponse message.
type sqlError struct {
	code       string
	message    string
	fatal      bool
	table      string
	column     string
	constraint string
}

// Error returns the message and the SQLSTATE.
func (e *sqlError) Error() string { return fmt.Sprintf("%s (SQLSTATE %s)", e.message, e.code) }

func (e *sqlError) response() *pgproto3.ErrorResponse {
	severity := severityError
	if e.fatal {
		severity = severityFatal
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: e.code, Message: e.message,
		TableName: e.table, ColumnName: e.column, ConstraintName: e.constraint,
	}
}

// failf returns an error that ends the statement.
func failf(code, format string, args ...any) *sqlError {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

// fatal returns an error that ends the session.
func fatal(code, message string) *sqlError {
	return &sqlError{code: code, message: message, fatal: true}
}

// toSQLError converts any error to one with a SQLSTATE, XX000 if none fits.
func toSQLError(err error) *sqlError {
	var known *sqlError
	if errors.As(err, &known) {
		return known
	}
	var engine *sqlite.Error
	if errors.As(err, &engine) {
		return fromEngineError(engine)
	}
	return &sqlError{code: codeInternal, message: err.Error()}
}

// fromEngineError converts an error of the embedded database by its extended result code.
func fromEngineError(e *sqlite.Error) *sqlError {
	switch e.Code {
	case lib.SQLITE_CONSTRAINT_UNIQUE, lib.SQLITE_CONSTRAINT_PRIMARYKEY, lib.SQLITE_CONSTRAINT_ROWID:
		return uniqueViolation(e)
	case lib.SQLITE_CONSTRAINT_NOTNULL:
		table, column, _ := strings.Cut(strings.TrimPrefix(e.Message, notNullConstraintPrefix), ".")
		return &sqlError{code: codeNotNullViolation, message: e.Message, table: table, column: column}
	case lib.SQLITE_CONSTRAINT_FOREIGNKEY:
		return &sqlError{code: codeForeignKeyViolation, message: e.Message}
	case lib.SQLITE_CONSTRAINT_CHECK:
		name := strings.TrimPrefix(e.Message, checkConstraintPrefix)
		return &sqlError{code: codeCheckViolation, message: e.Message, constraint: name}
	case lib.SQLITE_BUSY_SNAPSHOT:
		return &sqlError{code: codeSerialization, message: "could not serialize access due to concurrent update"}
	}
	return fromPrimaryCode(e)
}

// fromPrimaryCode converts an error of the embedded database by its primary result code.
func fromPrimaryCode(e *sqlite.Error) *sqlError {
	code := codeInternal
	switch e.Code & 0xff {
	case lib.SQLITE_ERROR:
		code = codeForMessage(e.Message)
	case lib.SQLITE_INTERRUPT:
		return &sqlError{code: codeQueryCanceled, message: messageQueryCanceled}
	case lib.SQLITE_BUSY, lib.SQLITE_LOCKED:
		code = codeLockNotAvailable
	case lib.SQLITE_READONLY:
		code = codeReadOnlyTransaction
	case lib.SQLITE_MISMATCH:
		code = codeDatatypeMismatch
	case lib.SQLITE_CONSTRAINT:
		code = codeDatatypeMismatch
	case lib.SQLITE_TOOBIG:
		code = codeProgramLimit
	case lib.SQLITE_NOMEM:
		code = codeOutOfMemory
	case lib.SQLITE_FULL:
		code = codeDiskFull
	}
	return &sqlError{code: code, message: e.Message}
}

// codeForMessage returns the SQLSTATE of errors that share the result code
// SQLITE_ERROR and differ only in their message.
func codeForMessage(message string) string {
	for _, known := range []struct{ part, code string }{
		{"no such table", codeUndefinedTable},
		{"no such column", codeUndefinedColumn},
		{"has no column named", codeUndefinedColumn},
		{"no such function", codeUndefinedFunction},
		{"already exists", codeDuplicateTable},
		{"no such savepoint", codeInvalidSavepoint},
		{"integer overflow", codeNumericOutOfRange},
	} {
		if strings.Contains(message, known.part) {
			return known.code
		}
	}
	return codeSyntax
}

// uniqueViolation converts a violated unique constraint. It names the constraint as
// PostgreSQL names one that is declared without a name.
func uniqueViolation(e *sqlite.Error) *sqlError {
	columns := strings.Split(strings.TrimPrefix(e.Message, uniqueConstraintPrefix), ", ")
	table, _, _ := strings.Cut(columns[0], ".")
	name := table
	for _, column := range columns {
		_, bare, _ := strings.Cut(column, ".")
		name += "_" + bare
	}
	name += "_key"
	if e.Code != lib.SQLITE_CONSTRAINT_UNIQUE {
		name = table + "_pkey"
	}
	message := fmt.Sprintf("duplicate key value violates unique constraint %q", name)
	return &sqlError{code: codeUniqueViolation, message: message, table: table, constraint: name}
}
