package statementtest

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// Conn is a connection to a Server. It implements statement.Conn.
type Conn struct {
	server   *Server
	closed   bool
	values   map[string]string
	prepared map[string]statement.Statement
	tx       *openTransaction
}

type openTransaction struct {
	readOnly bool
	failed   bool
	writes   []Write
	// term is the server's term at the start of the transaction. A read-write
	// transaction fails once the server is no longer the primary of that term.
	term group.Term
}

// Alive reports whether the connection is open.
func (c *Conn) Alive() bool {
	c.server.service.mu.Lock()
	defer c.server.service.mu.Unlock()
	return !c.closed
}

// Close closes the connection and rolls back its transaction.
func (c *Conn) Close() error {
	c.server.service.mu.Lock()
	defer c.server.service.mu.Unlock()
	c.closed, c.tx = true, nil
	delete(c.server.conns, c)
	return nil
}

// Exchange executes the statements in order. If the server does not answer, it
// waits until the deadline and returns os.ErrDeadlineExceeded.
func (c *Conn) Exchange(deadline time.Time, requests ...statement.Statement) ([]statement.Answer, bool, error) {
	var answers []statement.Answer
	for _, r := range requests {
		if takesStatementTime(r.Kind) {
			time.Sleep(c.server.service.options.StatementTime)
		}
		a, err := c.run(r)
		if err == nil && a.Code == statement.OK && c.commits(r) {
			err = c.awaitReceipts(deadline)
		}
		if err == errNoAnswer {
			time.Sleep(time.Until(deadline))
			return answers, true, os.ErrDeadlineExceeded
		}
		if err != nil {
			return answers, true, err
		}
		answers = append(answers, a)
	}
	return answers, true, nil
}

// receiptPollInterval is the time between checks whether replicas have received a commit.
const receiptPollInterval = 2 * time.Millisecond

// commits reports whether a statement that succeeded may have appended a commit.
func (c *Conn) commits(r statement.Statement) bool {
	switch r.Kind {
	case statement.Write, statement.Execute, statement.Commit:
		return true
	default:
		return false
	}
}

// awaitReceipts waits until as many replicas as Options.SyncReplicas have received the
// log of the primary as it is now. It fails with errNoAnswer at the deadline and if the
// server loses the lead, and with ErrClosed if the connection is closed.
func (c *Conn) awaitReceipts(deadline time.Time) error {
	s := c.server.service
	s.mu.Lock()
	defer s.mu.Unlock()
	term, length := c.server.term, len(c.server.log)
	for s.options.SyncReplicas > 0 && c.tx == nil {
		s.receiveAll(time.Now())
		switch {
		case c.closed:
			return ErrClosed
		case c.server.hung || !c.server.primary || c.server.term != term || !time.Now().Before(deadline):
			return errNoAnswer
		case s.receipts(c.server, length) >= s.options.SyncReplicas:
			return nil
		}
		s.mu.Unlock()
		time.Sleep(receiptPollInterval)
		s.mu.Lock()
	}
	return nil
}

// receipts returns the number of servers that have received the log of the primary up to
// the length.
func (s *Service) receipts(primary *Server, length int) int {
	n := 0
	for _, sv := range s.servers {
		if sv != primary && !sv.down && sv.term == primary.term && len(sv.log) >= length {
			n++
		}
	}
	return n
}

func takesStatementTime(k statement.Kind) bool {
	switch k {
	case statement.Read, statement.Write, statement.Execute, statement.Commit, statement.Status:
		return true
	default:
		return false
	}
}

// changesSession reports whether a statement changes the session of its connection
// only.
func changesSession(k statement.Kind) bool {
	return k == statement.Set || k == statement.Prepare || k == statement.Reset
}

// errNoAnswer means that the server does not answer.
var errNoAnswer = fmt.Errorf("server does not answer")

func (c *Conn) run(r statement.Statement) (statement.Answer, error) {
	sv := c.server
	s := sv.service
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.closed:
		return statement.Answer{}, ErrClosed
	case sv.hung:
		return statement.Answer{}, errNoAnswer
	}
	sv.receive(time.Now())
	if takesStatementTime(r.Kind) && sv.busyRefusals > 0 {
		sv.busyRefusals--
		if c.tx != nil {
			c.tx.failed = true
		}
		return c.answer(statement.Answer{Code: statement.Busy}), nil
	}
	a := c.execute(r)
	if r.ID != "" && a.Code == statement.OK {
		s.runs[r.ID]++
		a.Signature = fmt.Sprintf("%s|%d|%s", sv.id, len(sv.log), c.formatSessionValues())
		if sv.loseAnswers > 0 {
			sv.loseAnswers--
			return statement.Answer{}, errNoAnswer
		}
	}
	return c.answer(a), nil
}

func (c *Conn) formatSessionValues() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(c.values)) {
		out = append(out, name+"="+c.values[name])
	}
	return strings.Join(out, ",")
}

// answer sets the transaction state and the log position of an answer.
func (c *Conn) answer(a statement.Answer) statement.Answer {
	a.Position = c.server.position()
	switch {
	case c.tx == nil:
		a.State = statement.Idle
	case c.tx.failed:
		a.State = statement.Aborting
	default:
		a.State = statement.InTransaction
	}
	return a
}

func (c *Conn) refuse(code statement.Code) statement.Answer {
	if c.tx != nil {
		c.tx.failed = true
	}
	return statement.Answer{Code: code, Detail: c.server.id}
}

func (c *Conn) execute(r statement.Statement) statement.Answer {
	sv := c.server
	if c.tx != nil && c.tx.failed && r.Kind != statement.Rollback && r.Kind != statement.Commit {
		return statement.Answer{Code: statement.MalformedStatement}
	}
	if r.MinPosition.Term > 0 && sv.position().Compare(r.MinPosition) < 0 {
		return c.refuse(statement.Lagging)
	}
	// A server that lost the role refuses every statement of a transaction but the one
	// that ends it.
	if c.lostPrimaryRole() && r.Kind != statement.Commit && r.Kind != statement.Rollback {
		return c.refuse(statement.ReadOnly)
	}
	if changesSession(r.Kind) && sv.sessionRefusals > 0 {
		sv.sessionRefusals--
		return c.refuse(statement.Busy)
	}
	switch r.Kind {
	case statement.Set:
		c.values[r.Name] = r.Value
	case statement.Prepare:
		c.prepared[r.Name] = r
	case statement.Reset:
		clear(c.values)
		clear(c.prepared)
	case statement.Status:
		return statement.Answer{Rows: []string{sv.status()}}
	case statement.Pause:
		sv.pauseTerm = r.Term
		return statement.Answer{Rows: []string{sv.status()}}
	case statement.Resume:
		sv.pauseTerm = 0
		return statement.Answer{Rows: []string{sv.status()}}
	case statement.Demote:
		if r.Term > sv.term {
			sv.primary = false
		}
		return statement.Answer{Rows: []string{sv.status()}}
	case statement.Begin, statement.BeginRead:
		return c.begin(r)
	case statement.Rollback:
		c.tx = nil
	case statement.Commit:
		return c.commit()
	default:
		return c.readOrWrite(r)
	}
	return statement.Answer{}
}

// status returns the role of the server, the term that it holds and that of a pause.
func (sv *Server) status() string {
	role := "replica"
	if sv.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %d", role, sv.term, sv.pauseTerm)
}

func (c *Conn) begin(r statement.Statement) statement.Answer {
	if c.tx != nil {
		return c.refuse(statement.MalformedStatement)
	}
	if r.Kind == statement.Begin && !c.server.primary {
		return c.refuse(statement.ReadOnly)
	}
	c.tx = &openTransaction{readOnly: r.Kind == statement.BeginRead, term: c.server.term}
	return statement.Answer{}
}

// lostPrimaryRole reports whether a read-write transaction is open and the server
// is no longer the primary of the term in which it began.
func (c *Conn) lostPrimaryRole() bool {
	return c.tx != nil && !c.tx.readOnly && (!c.server.primary || c.tx.term != c.server.term)
}

func (c *Conn) commit() statement.Answer {
	tx := c.tx
	lost := c.lostPrimaryRole()
	c.tx = nil
	switch {
	case tx == nil:
		return statement.Answer{Code: statement.MalformedStatement}
	case tx.failed:
		return statement.Answer{Code: statement.Aborted}
	case len(tx.writes) == 0:
		return statement.Answer{}
	case lost:
		return statement.Answer{Code: statement.ReadOnly}
	}
	c.append(tx.writes)
	return statement.Answer{}
}

func (c *Conn) append(writes []Write) {
	sv := c.server
	if sv != sv.service.primaryServer() {
		sv.service.splitCommits = append(sv.service.splitCommits, time.Now())
	}
	sv.log = append(sv.log, logEntry{term: sv.term, at: time.Now(), writes: writes})
}

// readOrWrite executes a Read, Write or Execute.
func (c *Conn) readOrWrite(r statement.Statement) statement.Answer {
	item, data, writes, known := c.parse(r)
	switch {
	case !known:
		return c.refuse(statement.UnknownName)
	case writes && (!c.server.primary || c.tx != nil && c.tx.readOnly):
		return c.refuse(statement.ReadOnly)
	case !writes:
		return c.read(item)
	}
	w := Write{ID: r.ID, Item: item, Data: data}
	if c.tx != nil {
		c.tx.writes = append(c.tx.writes, w)
		return statement.Answer{}
	}
	c.append([]Write{w})
	return statement.Answer{}
}

func (c *Conn) read(item string) statement.Answer {
	if c.tx != nil {
		for i := len(c.tx.writes) - 1; i >= 0; i-- {
			if c.tx.writes[i].Item == item {
				return statement.Answer{Rows: []string{c.tx.writes[i].Data}}
			}
		}
	}
	if value, ok := c.server.value(item); ok {
		return statement.Answer{Rows: []string{value}}
	}
	return statement.Answer{}
}

// parse returns the item that a statement reads or writes, and the data to write.
// known is false if it executes a statement that is not prepared.
func (c *Conn) parse(r statement.Statement) (item, data string, writes, known bool) {
	if r.Kind == statement.Execute {
		p, ok := c.prepared[r.Name]
		if !ok {
			return "", "", false, false
		}
		item, data, _ = strings.Cut(r.Arguments, " ")
		return item, data, p.Writes, true
	}
	_, rest, _ := strings.Cut(r.Text, " ")
	item, data, _ = strings.Cut(rest, " ")
	return item, data, r.Kind == statement.Write, true
}
