package session

import (
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

// statement is a prepared statement of the caller.
type statement struct {
	*upstream.Statement
	// setting is not nil if the statement sets one of the session's own settings.
	// Statement is nil then.
	setting *setting
	// leavesState is the result of mayLeaveState for the text.
	leavesState bool
}

type itemKind byte

const (
	itemQuery itemKind = iota
	itemCall
	itemParse
	itemBind
	itemDescribeStatement
	itemDescribePortal
	itemExecute
	itemCloseStatement
	itemClosePortal
	itemSync
	itemFlush
)

// item is one message of a unit.
type item struct {
	kind itemKind
	// local is set if the session answers the message itself.
	local bool
	// duplicate is set for a Parse of a name that exists already.
	duplicate bool
	// name is the name that the caller gave to the statement.
	name string
	stmt *statement
	// previous is the statement of that name before a Parse or Close.
	previous *statement
	// sql is the text of a Query.
	sql string
	// start and end delimit the encoded message in unit.buf.
	start, end int
}

// unit holds the messages of a caller up to a Sync or Flush, or one simple query.
type unit struct {
	items   []item
	buf     []byte
	arrived time.Time
	// simple is set if the unit ends with a Query or FunctionCall.
	simple bool
	// partial is set if the unit ends with a Flush.
	partial bool
	// needsServer is set if the session cannot answer every message itself.
	needsServer bool
	// statementCount is the number of statements that the unit runs on a server.
	statementCount int
	// sql is the text of the first statement that needs a server.
	sql string
	// tooLarge is set if messages were dropped because of Options.MaxUnitBytes.
	tooLarge bool
}

func (u *unit) reset() {
	clear(u.items)
	*u = unit{items: u.items[:0], buf: u.buf[:0]}
}

// add appends a message to the unit, encoded unless the session answers it itself.
func (u *unit) add(it item, m encoder) error {
	it.start = len(u.buf)
	if !it.local {
		b, err := m.Encode(u.buf)
		if err != nil {
			return err
		}
		u.buf = b
	}
	it.end = len(u.buf)
	u.items = append(u.items, it)
	return nil
}

// noteStatement records the text of a statement that needs a server.
func (u *unit) noteStatement(sql string) {
	u.needsServer = true
	if u.sql == "" {
		u.sql = sql
	}
}

// singleStatement returns u.sql and reports whether the unit runs exactly one
// statement.
func (u *unit) singleStatement() (string, bool) { return u.sql, u.statementCount == 1 }

// mayEndBlock reports whether the unit may contain a statement that ends a
// transaction block.
func (u *unit) mayEndBlock() bool {
	for i := range u.items {
		it := &u.items[i]
		switch {
		case it.kind == itemCall:
			return true
		case it.kind == itemQuery && mayEndPattern.MatchString(it.sql):
			return true
		case it.kind == itemExecute:
			// The portal may have been bound by an earlier unit.
			if u.sql == "" {
				return true
			}
		case it.stmt != nil && it.stmt.Statement != nil && mayEndPattern.MatchString(it.stmt.SQL):
			return true
		}
	}
	return false
}

// readUnit reads messages up to the end of a unit. It fails with errEnded after a
// Terminate message or an error that the caller has been told.
func (s *session) readUnit(u *unit) error {
	u.reset()
	if err := s.awaitMessage(); err != nil {
		return err
	}
	u.arrived = time.Now()
	for {
		m, err := s.receiveNext(u)
		if err != nil {
			return s.rejectMessage(err)
		}
		done, err := s.addMessage(u, m)
		if err != nil || done {
			return err
		}
		if len(u.buf) > s.options().MaxUnitBytes {
			u.tooLarge = true
			s.revertUnit(u)
			u.buf = u.buf[:0]
			u.items = u.items[:0]
		}
	}
}

// receiveNext reads a message. A caller may pause between the messages of a unit
// for as long as between units.
func (s *session) receiveNext(u *unit) (pgproto3.FrontendMessage, error) {
	if len(u.items) == 0 || !s.in.empty() {
		return s.in.backend.Receive()
	}
	s.in.source.timeout = s.options().IdleTimeout
	if s.tx != nil {
		s.in.source.timeout = s.options().IdleInTransaction
	}
	m, err := s.in.backend.Receive()
	s.in.source.timeout = s.options().CallerTimeout
	// A pause of the caller does not count towards the time of the request.
	u.arrived = time.Now()
	return m, err
}

// addMessage adds a message to the unit and reports whether the unit is complete.
func (s *session) addMessage(u *unit, m pgproto3.FrontendMessage) (bool, error) {
	switch m := m.(type) {
	case *pgproto3.Query:
		return true, s.addQuery(u, m)
	case *pgproto3.FunctionCall:
		u.needsServer = true
		u.simple = true
		u.statementCount++
		return true, u.add(item{kind: itemCall}, m)
	case *pgproto3.Parse:
		return false, s.addParse(u, m)
	case *pgproto3.Bind:
		return false, s.addBind(u, m)
	case *pgproto3.Describe:
		return false, s.addDescribe(u, m)
	case *pgproto3.Execute:
		return false, s.addExecute(u, m)
	case *pgproto3.Close:
		return false, s.addClose(u, m)
	case *pgproto3.Sync:
		return true, u.add(item{kind: itemSync}, m)
	case *pgproto3.Flush:
		u.partial = true
		return true, u.add(item{kind: itemFlush}, m)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Remaining data of a COPY that the server has ended with an error.
		return false, nil
	case *pgproto3.Terminate:
		return false, errEnded
	default:
		return false, s.fatal(codeProtocolViolation, fmt.Sprintf("unexpected message %T", m))
	}
}

func (s *session) addQuery(u *unit, m *pgproto3.Query) error {
	u.simple = true
	if set := parseSetting(m.String); set != nil {
		return u.add(item{kind: itemQuery, local: true, stmt: &statement{setting: set}}, m)
	}
	u.statementCount++
	u.noteStatement(m.String)
	return u.add(item{kind: itemQuery, sql: m.String}, m)
}

func (s *session) addParse(u *unit, m *pgproto3.Parse) error {
	previous := s.statements[m.Name]
	it := item{kind: itemParse, name: m.Name, previous: previous}
	if m.Name != "" && previous != nil {
		it.duplicate = true
		it.stmt = previous
		u.noteStatement(m.Query)
		if previous.setting != nil {
			return u.add(item{kind: itemParse, local: true, duplicate: true, stmt: previous}, m)
		}
		return u.add(it, &pgproto3.Parse{Name: previous.Name, Query: m.Query, ParameterOIDs: m.ParameterOIDs})
	}
	it.stmt = &statement{}
	if set := parseSetting(m.Query); set != nil {
		it.stmt.setting = set
		it.local = true
	} else {
		it.stmt.Statement = upstream.NewStatement(m.Query, m.ParameterOIDs)
		it.stmt.leavesState = mayLeaveState(m.Query)
		u.noteStatement(m.Query)
	}
	s.setStatement(m.Name, it.stmt)
	if it.local {
		return u.add(it, m)
	}
	return u.add(it, &pgproto3.Parse{
		Name: serverStatementName(m.Name, it.stmt), Query: m.Query, ParameterOIDs: m.ParameterOIDs,
	})
}

// serverStatementName returns the name of the caller's statement on a connection.
func serverStatementName(name string, st *statement) string {
	if name == "" {
		return ""
	}
	return st.Name
}

// unknownStatementName returns a name that no connection has prepared, so that the
// server itself reports that the statement does not exist. The names of prepared
// statements on connections begin with gg_.
func unknownStatementName(name string) string {
	if strings.HasPrefix(name, "gg_") {
		return "?" + name
	}
	return name
}

// setStatement sets or, if st is nil, removes a statement name of the caller.
func (s *session) setStatement(name string, st *statement) {
	if st == nil {
		delete(s.statements, name)
		return
	}
	if s.statements == nil {
		s.statements = map[string]*statement{}
	}
	s.statements[name] = st
}

func (s *session) addBind(u *unit, m *pgproto3.Bind) error {
	st := s.statements[m.PreparedStatement]
	it := item{kind: itemBind, name: m.PreparedStatement, stmt: st}
	if st != nil && st.setting != nil {
		it.local = true
		if s.portals == nil {
			s.portals = map[string]*statement{}
		}
		s.portals[m.DestinationPortal] = st
		return u.add(it, m)
	}
	delete(s.portals, m.DestinationPortal)
	if st == nil {
		u.needsServer = true
		m.PreparedStatement = unknownStatementName(m.PreparedStatement)
		return u.add(it, m)
	}
	u.noteStatement(st.SQL)
	m.PreparedStatement = serverStatementName(m.PreparedStatement, st)
	return u.add(it, m)
}

func (s *session) addDescribe(u *unit, m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		st := s.portals[m.Name]
		u.needsServer = u.needsServer || st == nil
		return u.add(item{kind: itemDescribePortal, local: st != nil}, m)
	}
	st := s.statements[m.Name]
	it := item{kind: itemDescribeStatement, name: m.Name, stmt: st}
	switch {
	case st == nil:
		u.needsServer = true
		return u.add(it, &pgproto3.Describe{ObjectType: 'S', Name: unknownStatementName(m.Name)})
	case st.setting != nil:
		it.local = true
		return u.add(it, m)
	default:
		u.noteStatement(st.SQL)
		return u.add(it, &pgproto3.Describe{ObjectType: 'S', Name: serverStatementName(m.Name, st)})
	}
}

func (s *session) addExecute(u *unit, m *pgproto3.Execute) error {
	if st := s.portals[m.Portal]; st != nil {
		return u.add(item{kind: itemExecute, local: true, stmt: st}, m)
	}
	u.needsServer = true
	u.statementCount++
	return u.add(item{kind: itemExecute}, m)
}

func (s *session) addClose(u *unit, m *pgproto3.Close) error {
	if m.ObjectType == 'P' {
		local := s.portals[m.Name] != nil || s.tx == nil && !u.needsServer
		delete(s.portals, m.Name)
		u.needsServer = u.needsServer || !local
		return u.add(item{kind: itemClosePortal, local: local}, m)
	}
	it := item{kind: itemCloseStatement, local: true, name: m.Name, previous: s.statements[m.Name]}
	delete(s.statements, m.Name)
	return u.add(it, m)
}

// revertItem reverts the change of an item to the caller's statement names.
func (s *session) revertItem(it *item) {
	switch {
	case it.kind == itemParse && !it.duplicate:
		s.setStatement(it.name, it.previous)
	case it.kind == itemCloseStatement:
		s.setStatement(it.name, it.previous)
	}
}

// revertUnit reverts the statement names that a unit which did not run has changed.
func (s *session) revertUnit(u *unit) {
	for i := len(u.items) - 1; i >= 0; i-- {
		s.revertItem(&u.items[i])
	}
}
