// Package statement defines the statements of callers and their answers,
// independently of the wire protocol, and the interfaces of the connections that
// carry them.
package statement

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
)

// Kind is the kind of a statement.
type Kind int

// The kinds of statements. Status and those after it are sent by hosts only.
const (
	Malformed Kind = iota
	Begin
	BeginRead
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
	Status
	Reset
	Pause
	Resume
	Demote
)

// Statement is one statement of a caller or of the host itself.
type Statement struct {
	// ID identifies the statement; it is empty if the host issues it itself.
	ID   string
	Kind Kind
	// Text is the text that the caller sent, without the ID.
	Text string
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is the value of Set, or the statement template of Prepare.
	Value string
	// Writes reports whether the template of Prepare writes.
	Writes bool
	// Arguments is the text after the name in Execute.
	Arguments string
	// Term is the term of Pause or Demote.
	Term group.Term
	// MinPosition, unless it is zero, is the position that the server's log must
	// reach before a Read, Execute or BeginRead runs.
	MinPosition group.Position
}

// State is the transaction state of a connection.
type State int

// The transaction states.
const (
	Idle State = iota
	InTransaction
	// Aborting means that the transaction failed and must be ended.
	Aborting
)

// Code is the outcome of a statement.
type Code int

// The outcomes. Busy, Aborted, Lagging, ReadOnly, WrongServer and
// TooManyConnections guarantee that no effect of the caller's attempt persists.
// InDoubt, Timeout and Failed leave it open whether effects persist.
// MalformedStatement, UnknownName and NoDatabase reject a statement that cannot be
// parsed or served.
const (
	OK Code = iota
	Busy
	Aborted
	Lagging
	ReadOnly
	WrongServer
	TooManyConnections
	InDoubt
	Timeout
	Failed
	MalformedStatement
	UnknownName
	NoDatabase
)

var codeNames = [...]string{"ok", "busy", "aborted", "lagging", "read_only", "wrong_server", "too_many_connections",
	"in_doubt", "timeout", "failed", "malformed", "unknown_name", "no_database"}

// IsValid reports whether the code is one of the outcomes.
func (c Code) IsValid() bool { return c >= 0 && int(c) < len(codeNames) }

// String returns the name used in logs and metrics.
func (c Code) String() string { return codeNames[c] }

// NotExecuted reports whether the code, if it comes from a backend server,
// guarantees that the statement was not executed.
func (c Code) NotExecuted() bool {
	switch c {
	case Busy, Lagging, ReadOnly, WrongServer, TooManyConnections, UnknownName, MalformedStatement:
		return true
	default:
		return false
	}
}

// Answer is the answer to one statement.
type Answer struct {
	Rows []string
	// Signature is the signature that the backend server attaches to its answer;
	// empty if the host answers itself.
	Signature string
	Code      Code
	// Detail explains a Code other than OK.
	Detail string
	State  State
	// Position is the end of the backend server's log; zero if not reported.
	Position group.Position
}

// Conn is a connection to a backend server. Only Close may be called
// concurrently with other methods.
type Conn interface {
	// Exchange sends the statements in one batch and returns their answers in
	// order. If it fails, it returns the answers read so far, and the connection
	// must be closed; sent reports whether any byte may have reached the backend
	// server.
	Exchange(deadline time.Time, requests ...Statement) (answers []Answer, sent bool, err error)
	// Alive reports whether the connection is still open as far as the host
	// knows. It makes no round trip.
	Alive() bool
	// Close closes the connection.
	Close() error
}

// ErrInterrupted means that Next was interrupted while no statement was arriving.
var ErrInterrupted = errors.New("wait for a statement was interrupted")

// CallerConn is the connection of a caller. A read and a write may run concurrently.
type CallerConn interface {
	// Start reads the start message of the caller and returns the database name.
	Start(deadline time.Time) (database string, err error)
	// Accept accepts the connection after Start.
	Accept() error
	// Refuse answers with a code instead of Accept and closes the connection.
	Refuse(code Code, detail string) error
	// Next reads the next statement. A statement that cannot be parsed has the
	// kind Malformed. It fails with ErrInterrupted after Interrupt; any other error
	// ends the connection.
	Next() (Statement, error)
	// Interrupt makes the present or the next call of Next fail with ErrInterrupted,
	// unless a statement of the caller has begun to arrive. It may be called while
	// Next waits.
	Interrupt()
	// Answer writes the answer to a statement.
	Answer(Answer) error
	// Close closes the connection.
	Close() error
}

// ServerStatus is the state that a backend server reports.
type ServerStatus struct {
	Primary  bool
	Term     group.Term
	Received group.Position
	// PauseTerm is the term of the Pause that is in force on the server; 0 for none.
	PauseTerm group.Term
}

// RefusedError is the error of a connection that a backend server refused with a code.
type RefusedError struct {
	Code   Code
	Detail string
}

// Error returns a message with the code and its explanation.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("backend server refused the connection: %s %s", e.Code, e.Detail)
}

// Backends connects to backend servers.
type Backends interface {
	// Dial connects to a backend server and identifies it by its ID. It returns
	// a *RefusedError if the server refuses the connection.
	Dial(ctx context.Context, server catalog.Server) (Conn, error)
	// ParseStatus parses the answer to Status, Pause, Resume or Demote.
	ParseStatus(Answer) (ServerStatus, error)
}
