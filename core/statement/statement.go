// Package statement holds the statements of callers and their answers in a
// form that is independent of the protocol, and the connections that carry
// them.
package statement

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
)

// Kind is what a statement does.
type Kind int

// The kinds of statements. Those from Status on are only sent by hosts.
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

// Statement is one statement. An empty ID stands for a statement of the host's
// own.
type Statement struct {
	ID   string
	Kind Kind
	// Text is what the caller sent, without the ID.
	Text string
	// Name is that of a session value or of a prepared statement.
	Name string
	// Value is that of Set, or the shape of Prepare.
	Value string
	// Writes tells that the prepared shape writes.
	Writes bool
	// Arguments are what follows the name of Execute.
	Arguments string
	// Term is that of Pause and Demote.
	Term group.Term
	// MinPosition, unless it is zero, is the position that the log must hold for a
	// Read, Execute or BeginRead to run.
	MinPosition group.Position
}

// State is the state of a connection's transaction.
type State int

// The states of a connection.
const (
	Idle State = iota
	InTransaction
	// Aborting is a transaction that failed and has to be ended.
	Aborting
)

// Code is the outcome of a statement.
type Code int

// The outcomes.
const (
	OK Code = iota
	// Busy, Aborted, Lagging, ReadOnly, WrongServer and TooManyConnections
	// promise that nothing of the caller's attempt is kept.
	Busy
	Aborted
	Lagging
	ReadOnly
	WrongServer
	TooManyConnections
	// InDoubt, Timeout and Failed promise nothing.
	InDoubt
	Timeout
	Failed
	// MalformedStatement, UnknownName and NoDatabase refuse a statement that
	// cannot be understood or served.
	MalformedStatement
	UnknownName
	NoDatabase
)

var codeNames = [...]string{"ok", "busy", "aborted", "lagging", "read_only", "wrong_server", "too_many_connections",
	"in_doubt", "timeout", "failed", "malformed", "unknown_name", "no_database"}

// String returns the name used in logs and metrics.
func (c Code) String() string { return codeNames[c] }

// NotExecuted reports whether the code, sent by a backend server, says that the
// statement did not run.
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
	// Signature is that of the backend server; empty for answers of the host.
	Signature string
	Code      Code
	// Detail explains a code other than OK.
	Detail string
	State  State
	// Position is the end of the backend server's log; zero if not told.
	Position group.Position
}

// Conn is a connection to a backend server. It is used by one goroutine at a
// time, but for Close.
type Conn interface {
	// Exchange sends the statements together and returns their answers in
	// order. If it fails, the answers read so far are returned, and the
	// connection must be closed; sent tells whether any byte may have reached
	// the backend server.
	Exchange(deadline time.Time, requests ...Statement) (answers []Answer, sent bool, err error)
	// Alive reports whether the connection is still open as far as the host
	// knows, without a round trip.
	Alive() bool
	Close() error
}

// CallerConn is the connection of a caller. Reads and writes may be concurrent.
type CallerConn interface {
	// Start reads the name of the database.
	Start(deadline time.Time) (database string, err error)
	// Accept answers Start; Refuse does so with a code, and closes.
	Accept() error
	Refuse(code Code, detail string) error
	// Next reads a statement. Malformed statements are returned as such; an
	// error ends the connection.
	Next() (Statement, error)
	// Answer writes the answer to a statement.
	Answer(Answer) error
	Close() error
}

// ServerStatus is the report of a backend server.
type ServerStatus struct {
	Primary  bool
	Term     group.Term
	Received group.Position
	// PauseTerm is the term of Pause that the server keeps to; 0 for none.
	PauseTerm group.Term
}

// RefusedError reports a backend server that refused a connection with a code.
type RefusedError struct {
	Code   Code
	Detail string
}

// Error returns the code and its explanation.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("backend server refused the connection: %s %s", e.Code, e.Detail)
}

// Backends connects to backend servers.
type Backends interface {
	// Dial connects to a backend server under its ID. It fails with
	// *RefusedError if the server answered and declined.
	Dial(ctx context.Context, server catalog.Server) (Conn, error)
	// ParseStatus reads the answer to Status, Pause, Resume or Demote.
	ParseStatus(Answer) (ServerStatus, error)
}
