package session

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

// backgroundWriteBytes is the size from which a unit is written while its answers
// are read. Otherwise both sides could block: a peer whose answers are not read
// does not read the rest of the unit either.
const backgroundWriteBytes = 16 << 10

type expectKind byte

// The expect kinds are answers of the peer that are forwarded, the synth kinds are
// answers that the session generates, and the hidden kinds are answers of the peer
// to messages of the session, which the caller must not see.
const (
	expectReady expectKind = iota
	expectParse
	expectBind
	expectDescribe
	expectExecute
	expectClose
	expectSync
	synthParse
	synthBind
	synthDescribeStatement
	synthDescribePortal
	synthExecute
	synthClose
	hiddenParse
	hiddenClose
	hiddenSet
)

// expectation describes the answer to one message.
type expectation struct {
	kind expectKind
	// item is the index of the unit's item, or -1.
	item int
	// name is the name of the statement on the server, empty for the unnamed one.
	name string
}

// relayMode controls how the answers to a unit are forwarded.
type relayMode struct {
	// keyed is set for a unit with a request key, in which transaction control and
	// COPY FROM STDIN are rejected.
	keyed bool
}

var setComplete = pgproto3.CommandComplete{CommandTag: []byte("SET")}

// errTransactionControl fails a keyed unit that contains transaction control.
var errTransactionControl = &sqlError{
	code:    codeFeatureNotSupported,
	message: "a request with a request key must not contain transaction control",
	hint:    "Begin the transaction with a statement of its own that carries the key.",
}

// errPartlyCommitted fails a keyed unit that contains a COMMIT. The key has been
// committed by it, and a repeat of the request finds the key without an answer.
var errPartlyCommitted = &sqlError{
	code:    route.CodeUnknownOutcome,
	message: "request was committed in part, because it contains a COMMIT besides its request key",
	hint:    errTransactionControl.hint,
}

// buildRequest encodes the unit for the current connection into s.sendBuf and fills
// s.expected. It adds the messages that prepare missing statements. The prologue,
// if it is not empty, is sent as a query before the unit.
func (s *session) buildRequest(u *unit, prologue string) error {
	s.sendBuf = s.sendBuf[:0]
	s.expected = s.expected[:0]
	s.nextExpected = 0
	if prologue != "" {
		if err := s.appendMessage(&pgproto3.Query{String: prologue}, expectation{kind: hiddenSet, item: -1}); err != nil {
			return err
		}
		s.conn.SetUnnamedStatement("")
	}
	for i := range u.items {
		if err := s.buildItemRequest(u, i); err != nil {
			return err
		}
	}
	return nil
}

// appendMessage appends a message of the session with the answer to expect.
func (s *session) appendMessage(m encoder, e expectation) error {
	b, err := m.Encode(s.sendBuf)
	if err != nil {
		return err
	}
	s.sendBuf = b
	s.expected = append(s.expected, e)
	return nil
}

// appendItem appends the encoded message of the item with the answer to expect.
func (s *session) appendItem(u *unit, i int, kind expectKind) {
	it := &u.items[i]
	s.sendBuf = append(s.sendBuf, u.buf[it.start:it.end]...)
	s.expected = append(s.expected, expectation{kind: kind, item: i})
}

// expectSynthetic adds an answer that the session generates, without a message.
func (s *session) expectSynthetic(i int, kind expectKind) {
	s.expected = append(s.expected, expectation{kind: kind, item: i})
}

func (s *session) buildItemRequest(u *unit, i int) error {
	it := &u.items[i]
	if it.local {
		s.expectSynthetic(i, synthKind(it.kind))
		return nil
	}
	switch it.kind {
	case itemQuery:
		s.needsReset = s.needsReset || mayLeaveState(it.sql)
		s.conn.SetUnnamedStatement("")
		s.appendItem(u, i, expectReady)
	case itemCall:
		s.needsReset = true
		s.appendItem(u, i, expectReady)
	case itemParse:
		return s.buildParseRequest(u, i)
	case itemBind:
		if err := s.ensurePrepared(it.name, it.stmt); err != nil {
			return err
		}
		s.needsReset = s.needsReset || it.stmt != nil && it.stmt.leavesState
		s.appendItem(u, i, expectBind)
	case itemDescribeStatement:
		if err := s.ensurePrepared(it.name, it.stmt); err != nil {
			return err
		}
		s.appendItem(u, i, expectDescribe)
	case itemDescribePortal:
		s.appendItem(u, i, expectDescribe)
	case itemExecute:
		s.appendItem(u, i, expectExecute)
	case itemClosePortal:
		s.appendItem(u, i, expectClose)
	case itemSync:
		s.appendItem(u, i, expectSync)
	case itemFlush:
		s.sendBuf = append(s.sendBuf, u.buf[it.start:it.end]...)
	}
	return nil
}

// synthKind returns the kind of the answer that the session generates to an item.
func synthKind(k itemKind) expectKind {
	switch k {
	case itemParse:
		return synthParse
	case itemBind:
		return synthBind
	case itemDescribeStatement:
		return synthDescribeStatement
	case itemDescribePortal:
		return synthDescribePortal
	case itemCloseStatement, itemClosePortal:
		return synthClose
	default:
		return synthExecute
	}
}

func (s *session) buildParseRequest(u *unit, i int) error {
	it := &u.items[i]
	if it.name == "" {
		s.conn.SetUnnamedStatement(it.stmt.Name)
		s.appendItem(u, i, expectParse)
		return nil
	}
	if it.duplicate {
		// The server rejects the second Parse with its own error.
		if err := s.ensurePrepared(it.name, it.stmt); err != nil {
			return err
		}
		s.appendItem(u, i, expectParse)
		return nil
	}
	if s.conn.HasStatement(it.stmt.Name) {
		s.expectSynthetic(i, synthParse)
		return nil
	}
	if err := s.recordPrepared(it.stmt.Name); err != nil {
		return err
	}
	s.appendItem(u, i, expectParse)
	s.expected[len(s.expected)-1].name = it.stmt.Name
	return nil
}

// recordPrepared records the statement as prepared on the connection and closes the
// statement that it evicts, if any.
func (s *session) recordPrepared(name string) error {
	evicted := s.conn.AddStatement(name)
	if evicted == "" {
		return nil
	}
	return s.appendMessage(&pgproto3.Close{ObjectType: 'S', Name: evicted}, expectation{kind: hiddenClose, item: -1, name: evicted})
}

// ensurePrepared adds a Parse of the caller's statement unless the connection has
// prepared it already.
func (s *session) ensurePrepared(name string, st *statement) error {
	if st == nil {
		return nil
	}
	parse := &pgproto3.Parse{Query: st.SQL, ParameterOIDs: st.OIDs}
	if name == "" {
		if s.conn.UnnamedStatement() == st.Name {
			return nil
		}
		s.conn.SetUnnamedStatement(st.Name)
		return s.appendMessage(parse, expectation{kind: hiddenParse, item: -1})
	}
	if s.conn.HasStatement(st.Name) {
		return nil
	}
	if err := s.recordPrepared(st.Name); err != nil {
		return err
	}
	parse.Name = st.Name
	return s.appendMessage(parse, expectation{kind: hiddenParse, item: -1, name: st.Name})
}

// exchange sends s.sendBuf and forwards the answers. ready reports whether the
// peer has sent ReadyForQuery, which is not yet forwarded. The error is a
// *connLostError, a *sqlError, or wraps errCaller.
func (s *session) exchange(u *unit, mode relayMode) (ready bool, err error) {
	s.mode = mode
	s.unitFailed = false
	s.completedCount = 0
	s.ranStatement = s.ranStatement || u.statementCount > 0
	if len(s.sendBuf) >= backgroundWriteBytes {
		return s.exchangeInBackground(u)
	}
	if n, err := s.conn.Write(s.sendBuf); err != nil {
		return false, &connLostError{err: err, sent: n > 0}
	}
	return s.relayAnswers(u)
}

// exchangeInBackground is exchange with the write in a goroutine of its own.
func (s *session) exchangeInBackground(u *unit) (bool, error) {
	type result struct {
		n   int
		err error
	}
	written := make(chan result, 1)
	conn, buf := s.conn, s.sendBuf
	go func() {
		n, err := conn.Write(buf)
		written <- result{n, err}
	}()
	ready, err := s.relayAnswers(u)
	if err != nil {
		// Unblocks the write if the peer no longer reads.
		conn.Close()
	}
	w := <-written
	var lost *connLostError
	switch {
	case errors.As(err, &lost):
		lost.sent = lost.sent && w.n > 0
	case err == nil && w.err != nil:
		err = &connLostError{err: w.err, sent: true}
	}
	return ready, err
}

// relayAnswers forwards answers until all expected ones have arrived.
func (s *session) relayAnswers(u *unit) (ready bool, err error) {
	for s.nextExpected < len(s.expected) {
		e := s.expected[s.nextExpected]
		if e.kind >= synthParse && e.kind <= synthClose {
			if err := s.finishHeldCommit(); err != nil {
				return false, err
			}
			s.writeSynthetic(e)
			s.nextExpected++
			continue
		}
		m, err := s.conn.Receive()
		if err != nil {
			return false, &connLostError{err: fmt.Errorf("connection to the server: %w", err), sent: true}
		}
		done, err := s.handleAnswer(u, e, m)
		if err != nil {
			return false, err
		}
		if s.out.err != nil {
			return false, fmt.Errorf("%w: %w", errCaller, s.out.err)
		}
		if done {
			s.nextExpected++
			ready = e.kind == expectReady || e.kind == expectSync
		}
	}
	return ready, nil
}

// writeSynthetic writes an answer that the session generates.
func (s *session) writeSynthetic(e expectation) {
	switch e.kind {
	case synthParse:
		s.out.add(&pgproto3.ParseComplete{})
	case synthBind:
		s.out.add(&pgproto3.BindComplete{})
	case synthClose:
		s.out.add(&pgproto3.CloseComplete{})
	case synthDescribeStatement:
		s.out.add(&pgproto3.ParameterDescription{})
		s.out.add(&pgproto3.NoData{})
	case synthDescribePortal:
		s.out.add(&pgproto3.NoData{})
	case synthExecute:
		s.out.add(&setComplete)
	}
}

// handleAnswer handles one message of the peer. done reports whether it completes
// the answer e.
func (s *session) handleAnswer(u *unit, e expectation, m pgproto3.BackendMessage) (done bool, err error) {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		s.status = m.TxStatus
		return e.kind == expectReady || e.kind == expectSync || e.kind == hiddenSet, nil
	case *pgproto3.ErrorResponse:
		return s.handleError(u, e, m)
	case *pgproto3.ParameterStatus:
		s.handleParameterStatus(m)
		return false, nil
	}
	if e.kind >= hiddenParse {
		return s.handleHidden(e, m)
	}
	if err := s.finishHeldCommit(); err != nil {
		return false, err
	}
	switch m := m.(type) {
	case *pgproto3.DataRow:
		s.out.add(m)
		return false, nil
	case *pgproto3.CommandComplete:
		return e.kind == expectExecute, s.handleCommandComplete(m)
	case *pgproto3.CopyInResponse:
		s.out.add(m)
		return false, s.copyIn(u)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		s.out.add(m.(encoder))
		return e.kind == expectDescribe, nil
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		s.completedCount++
		s.out.add(m.(encoder))
		return e.kind == expectExecute, nil
	case *pgproto3.ParseComplete:
		s.out.add(m)
		return e.kind == expectParse, nil
	case *pgproto3.BindComplete:
		s.out.add(m)
		return e.kind == expectBind, nil
	case *pgproto3.CloseComplete:
		s.out.add(m)
		return e.kind == expectClose, nil
	case *pgproto3.CopyBothResponse:
		return false, &connLostError{err: errors.New("server started a replication stream"), sent: true}
	default:
		s.out.add(m.(encoder))
		return false, nil
	}
}

// handleHidden drops the answer to a message that the session has added.
func (s *session) handleHidden(e expectation, m pgproto3.BackendMessage) (bool, error) {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return e.kind == hiddenParse, nil
	case *pgproto3.CloseComplete:
		return e.kind == hiddenClose, nil
	case *pgproto3.CommandComplete:
		if e.kind == hiddenSet {
			return false, nil
		}
	case *pgproto3.NoticeResponse, *pgproto3.NotificationResponse:
		return false, nil
	}
	return false, &connLostError{err: fmt.Errorf("unexpected message %T", m), sent: true}
}

// handleError forwards an error of the peer. The peer then skips all messages up
// to the next Sync, and so do the expected answers.
func (s *session) handleError(u *unit, e expectation, m *pgproto3.ErrorResponse) (bool, error) {
	if isFatal(m) || e.kind == hiddenSet {
		err := upstream.NewServerError(m)
		sent := !s.unitNotAccepted(e, err)
		return false, &connLostError{err: err, sent: sent}
	}
	if err := s.finishHeldCommit(); err != nil {
		return false, err
	}
	s.unitFailed = true
	if m.Code == codeUnknownStatement || m.Code == codeFeatureNotSupported {
		// The statements of the connection may no longer exist, or their
		// result type may have changed. A reset drops them.
		s.needsReset = true
	}
	s.out.add(m)
	if e.kind == expectReady || e.kind == expectSync {
		return false, nil
	}
	for i := s.nextExpected; i < len(s.expected); i++ {
		if s.expected[i].kind == expectSync {
			s.revertExpected(u, s.nextExpected, i)
			s.nextExpected = i
			return false, nil
		}
	}
	s.revertExpected(u, s.nextExpected, len(s.expected))
	s.nextExpected = len(s.expected)
	s.skipToSync = true
	return false, nil
}

// unitNotAccepted reports whether an owner has not started the unit: either it has
// rejected the forward setting, or it has ended its session, which it does only
// between transactions. A backend server may end a session at any time.
func (s *session) unitNotAccepted(e expectation, err error) bool {
	if !s.forwarded || s.expected[0].kind != hiddenSet {
		return false
	}
	if e.kind == hiddenSet {
		return true
	}
	unanswered := s.nextExpected == 1 && s.out.sent == 0 && len(s.out.unsentAnswer()) == 0
	return unanswered && endedByPeer(err)
}

// revertExpected reverts the effects of messages that the peer has skipped on the
// statements of the caller and of the connection.
func (s *session) revertExpected(u *unit, from, to int) {
	for i := to - 1; i >= from; i-- {
		e := s.expected[i]
		if e.item >= 0 {
			s.revertItem(&u.items[e.item])
		}
		switch e.kind {
		case expectParse, hiddenParse:
			if e.name != "" {
				s.conn.RemoveStatement(e.name)
			} else {
				s.conn.SetUnnamedStatement("")
			}
		case hiddenClose:
			s.conn.RestoreStatement(e.name)
		}
	}
}

// handleParameterStatus forwards a changed run-time parameter. A change on a server
// connection makes a reset necessary.
func (s *session) handleParameterStatus(m *pgproto3.ParameterStatus) {
	if m.Name == tokenParameter {
		s.token = m.Value
	}
	if !s.forwarded {
		s.needsReset = true
		if s.changedParameters == nil {
			s.changedParameters = map[string]struct{}{}
		}
		s.changedParameters[m.Name] = struct{}{}
	}
	s.out.add(m)
}

// handleCommandComplete holds a CommandComplete until the next message shows
// whether the transaction is over. An owner has already done so for a forwarded
// transaction.
func (s *session) handleCommandComplete(m *pgproto3.CommandComplete) error {
	s.completedCount++
	word := tagCommand(m.CommandTag)
	if s.mode.keyed && isTransactionControl(word) {
		if string(word) == "COMMIT" {
			return errPartlyCommitted
		}
		return errTransactionControl
	}
	s.trackTag(m.CommandTag, word)
	if s.forwarded {
		s.out.add(m)
		return nil
	}
	s.out.flushIfFull()
	s.out.markHeld()
	s.out.append(m)
	return nil
}

// trackTag updates the state of the transaction and of the connection from the
// command tag of a completed statement.
func (s *session) trackTag(tag, word []byte) {
	s.lastCommit = false
	s.lastRollback = false
	switch string(word) {
	case "SELECT", "INSERT", "UPDATE", "DELETE", "BEGIN", "MERGE", "COPY", "SAVEPOINT", "RELEASE", "START":
	case "COMMIT":
		s.lastCommit = true
	case "ROLLBACK":
		s.lastRollback = true
	case "DISCARD", "DEALLOCATE":
		s.needsReset = true
		if bytes.HasSuffix(tag, []byte("ALL")) {
			clear(s.statements)
		}
		s.conn.ClearStatements()
	default:
		s.needsReset = true
	}
	s.sessionStateTag = sessionStateOnly(word)
	if s.txKey != "" && len(s.txTags) < maxRecordedAnswerBytes {
		s.txTags = append(append(s.txTags, tag...), '\n')
	}
}

// sessionStateOnly returns the command if its only effect is session state, which
// is lost at the end of the transaction, and else an empty string.
func sessionStateOnly(word []byte) string {
	switch string(word) {
	case "SET", "LISTEN", "PREPARE":
		return string(word)
	default:
		return ""
	}
}

// isTransactionControl reports whether the command begins or ends a transaction.
func isTransactionControl(word []byte) bool {
	switch string(word) {
	case "BEGIN", "START", "COMMIT", "ROLLBACK":
		return true
	default:
		return false
	}
}

// tagCommand returns the first word of a command tag.
func tagCommand(tag []byte) []byte {
	if i := bytes.IndexByte(tag, ' '); i >= 0 {
		return tag[:i]
	}
	return tag
}

// finishHeldCommit is called before a message follows a held one in the same unit.
// A commit in the middle of a unit has to be durable before the answers after it
// are forwarded.
func (s *session) finishHeldCommit() error {
	if !s.lastCommit || s.forwarded {
		return nil
	}
	s.lastCommit = false
	if err := s.finish(); err != nil {
		return toSQLError(err)
	}
	s.out.releaseHeld()
	return nil
}

// finish asks the router whether the completion of the transaction may be forwarded,
// and takes over the new session token.
func (s *session) finish() error {
	token, err := s.finishTx()
	if err != nil {
		var unknown *route.UnknownOutcomeError
		if s.lastRollback && errors.As(err, &unknown) {
			// The outcome of a rolled back transaction is known, but its reads
			// may be stale.
			return &route.StaleReadError{Reason: "transaction was rolled back: " + err.Error()}
		}
		return err
	}
	if token != "" && token != s.token {
		s.token = token
		s.tokenChanged = true
	}
	return nil
}

// copyIn forwards the caller's COPY data up to CopyDone or CopyFail, and in the
// extended protocol up to the Sync after it.
func (s *session) copyIn(u *unit) error {
	if s.mode.keyed {
		return &sqlError{code: codeFeatureNotSupported, message: "COPY FROM STDIN cannot have a request key"}
	}
	s.out.flush()
	if s.out.err != nil {
		return fmt.Errorf("%w: %w", errCaller, s.out.err)
	}
	s.in.source.timeout = s.options().IdleInTransaction
	defer func() { s.in.source.timeout = s.options().CallerTimeout }()
	ended := false
	buf := s.sendBuf[:0]
	if len(s.sendBuf) >= backgroundWriteBytes {
		// The write in the background may still use s.sendBuf.
		buf = nil
	}
	for {
		m, err := s.in.backend.Receive()
		if err != nil {
			return fmt.Errorf("%w: %w", errCaller, err)
		}
		last := false
		switch m.(type) {
		case *pgproto3.CopyData:
		case *pgproto3.CopyDone, *pgproto3.CopyFail:
			ended = true
			last = u.simple
		case *pgproto3.Sync:
			if !ended {
				continue
			}
			last = true
		case *pgproto3.Flush:
			continue
		default:
			return fmt.Errorf("%w: unexpected message %T during COPY", errCaller, m)
		}
		if buf, err = m.Encode(buf); err != nil {
			return fmt.Errorf("%w: %w", errCaller, err)
		}
		if !last && len(buf) < backgroundWriteBytes {
			continue
		}
		if _, err := s.conn.Write(buf); err != nil {
			return &connLostError{err: err, sent: true}
		}
		buf = buf[:0]
		if last {
			return nil
		}
	}
}
