package session

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

// backgroundWriteBytes is the size from which a unit is written while its
// answers are read, because a peer that waits for the reader of its answers
// does not read either.
const backgroundWriteBytes = 16 << 10

type expectKind byte

// The expect kinds name answers of the peer, the synth kinds answers that the
// session makes up, and the hidden kinds answers that the caller must not see.
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

// expectation is the next answer due.
type expectation struct {
	kind expectKind
	// item is the index of the unit's item, or -1.
	item int
	// name is the server-side name of a statement; empty for the unnamed one.
	name string
}

// relayMode says how the answers of a unit are passed on.
type relayMode struct {
	// keyed refuses transaction control inside the unit.
	keyed bool
}

var setComplete = pgproto3.CommandComplete{CommandTag: []byte("SET")}

// errTransactionControl ends a keyed unit that contains transaction control.
var errTransactionControl = &refusal{
	code:    codeFeatureNotSupported,
	message: "a request with a request key must not contain transaction control",
	hint:    "Begin the transaction with a statement of its own that carries the key.",
}

// errCommittedInPart ends a keyed unit that has committed by itself. A repeat of
// the request finds its key without an answer.
var errCommittedInPart = &refusal{
	code:    route.CodeUnknownOutcome,
	message: "request was committed in part, because it contains a COMMIT besides its request key",
	hint:    errTransactionControl.hint,
}

// build encodes the unit for the current connection into s.wire and lists the
// answers that are due. It adds the messages that prepare missing statements.
func (s *session) build(u *unit, prologue string) error {
	s.wire = s.wire[:0]
	s.due = s.due[:0]
	s.head = 0
	if prologue != "" {
		if err := s.push(&pgproto3.Query{String: prologue}, expectation{kind: hiddenSet, item: -1}); err != nil {
			return err
		}
		s.conn.SetUnnamed("")
	}
	for i := range u.items {
		if err := s.buildItem(u, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) push(m encoder, e expectation) error {
	b, err := m.Encode(s.wire)
	if err != nil {
		return err
	}
	s.wire = b
	s.due = append(s.due, e)
	return nil
}

// pass sends the item as it was encoded.
func (s *session) pass(u *unit, i int, kind expectKind) {
	it := &u.items[i]
	s.wire = append(s.wire, u.buf[it.start:it.end]...)
	s.due = append(s.due, expectation{kind: kind, item: i})
}

func (s *session) synth(i int, kind expectKind) {
	s.due = append(s.due, expectation{kind: kind, item: i})
}

func (s *session) buildItem(u *unit, i int) error {
	it := &u.items[i]
	if it.local {
		s.synth(i, synthKind(it.kind))
		return nil
	}
	switch it.kind {
	case itemQuery:
		s.dirty = s.dirty || mayLeaveState(it.sql)
		s.conn.SetUnnamed("")
		s.pass(u, i, expectReady)
	case itemCall:
		s.dirty = true
		s.pass(u, i, expectReady)
	case itemParse:
		return s.buildParse(u, i)
	case itemBind:
		if err := s.ensure(it.name, it.stmt); err != nil {
			return err
		}
		s.dirty = s.dirty || it.stmt != nil && it.stmt.leavesState
		s.pass(u, i, expectBind)
	case itemDescribeStatement:
		if err := s.ensure(it.name, it.stmt); err != nil {
			return err
		}
		s.pass(u, i, expectDescribe)
	case itemDescribePortal:
		s.pass(u, i, expectDescribe)
	case itemExecute:
		s.pass(u, i, expectExecute)
	case itemClosePortal:
		s.pass(u, i, expectClose)
	case itemSync:
		s.pass(u, i, expectSync)
	case itemFlush:
		s.wire = append(s.wire, u.buf[it.start:it.end]...)
	}
	return nil
}

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

func (s *session) buildParse(u *unit, i int) error {
	it := &u.items[i]
	if it.name == "" {
		s.conn.SetUnnamed(it.stmt.Name)
		s.pass(u, i, expectParse)
		return nil
	}
	if it.duplicate {
		// The server refuses the second Parse with its own error.
		if err := s.ensure(it.name, it.stmt); err != nil {
			return err
		}
		s.pass(u, i, expectParse)
		return nil
	}
	if s.conn.Holds(it.stmt.Name) {
		s.synth(i, synthParse)
		return nil
	}
	if err := s.hold(it.stmt.Name); err != nil {
		return err
	}
	s.pass(u, i, expectParse)
	s.due[len(s.due)-1].name = it.stmt.Name
	return nil
}

// hold records the statement on the connection and closes an evicted one.
func (s *session) hold(name string) error {
	evicted := s.conn.Add(name)
	if evicted == "" {
		return nil
	}
	return s.push(&pgproto3.Close{ObjectType: 'S', Name: evicted}, expectation{kind: hiddenClose, item: -1, name: evicted})
}

// ensure prepares the statement that the caller knows by name, if the connection
// does not hold it.
func (s *session) ensure(name string, st *statement) error {
	if st == nil {
		return nil
	}
	parse := &pgproto3.Parse{Query: st.SQL, ParameterOIDs: st.OIDs}
	if name == "" {
		if s.conn.Unnamed() == st.Name {
			return nil
		}
		s.conn.SetUnnamed(st.Name)
		return s.push(parse, expectation{kind: hiddenParse, item: -1})
	}
	if s.conn.Holds(st.Name) {
		return nil
	}
	if err := s.hold(st.Name); err != nil {
		return err
	}
	parse.Name = st.Name
	return s.push(parse, expectation{kind: hiddenParse, item: -1, name: st.Name})
}

// exchange sends what build has prepared and relays the answers. ready reports
// that the peer's ReadyForQuery was reached, which is not yet passed on. It
// fails with *lostError, *refusal or an error that wraps errCaller.
func (s *session) exchange(u *unit, mode relayMode) (ready bool, err error) {
	s.mode = mode
	s.unitFailed = false
	s.completed = 0
	s.executed = s.executed || u.executed > 0
	if len(s.wire) >= backgroundWriteBytes {
		return s.exchangeInBackground(u)
	}
	if n, err := s.conn.Write(s.wire); err != nil {
		return false, &lostError{err: err, sent: n > 0}
	}
	return s.relay(u)
}

func (s *session) exchangeInBackground(u *unit) (bool, error) {
	type result struct {
		n   int
		err error
	}
	written := make(chan result, 1)
	conn, wire := s.conn, s.wire
	go func() {
		n, err := conn.Write(wire)
		written <- result{n, err}
	}()
	ready, err := s.relay(u)
	if err != nil {
		// Ends the write, which may wait for a peer that no longer reads.
		conn.Close()
	}
	w := <-written
	var lost *lostError
	switch {
	case errors.As(err, &lost):
		lost.sent = lost.sent && w.n > 0
	case err == nil && w.err != nil:
		err = &lostError{err: w.err, sent: true}
	}
	return ready, err
}

// relay passes answers on until all that are due have arrived.
func (s *session) relay(u *unit) (ready bool, err error) {
	for s.head < len(s.due) {
		e := s.due[s.head]
		if e.kind >= synthParse && e.kind <= synthClose {
			if err := s.beforeNext(); err != nil {
				return false, err
			}
			s.emit(e)
			s.head++
			continue
		}
		m, err := s.conn.Receive()
		if err != nil {
			return false, &lostError{err: fmt.Errorf("connection to the server: %w", err), sent: true}
		}
		done, err := s.takeAnswer(u, e, m)
		if err != nil {
			return false, err
		}
		if s.out.err != nil {
			return false, fmt.Errorf("%w: %w", errCaller, s.out.err)
		}
		if done {
			s.head++
			ready = e.kind == expectReady || e.kind == expectSync
		}
	}
	return ready, nil
}

// emit writes an answer that the session makes up.
func (s *session) emit(e expectation) {
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

// takeAnswer handles one message of the peer. done reports that it completes the
// answer e.
func (s *session) takeAnswer(u *unit, e expectation, m pgproto3.BackendMessage) (done bool, err error) {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		s.status = m.TxStatus
		return e.kind == expectReady || e.kind == expectSync || e.kind == hiddenSet, nil
	case *pgproto3.ErrorResponse:
		return s.takeError(u, e, m)
	case *pgproto3.ParameterStatus:
		s.takeParameter(m)
		return false, nil
	}
	if e.kind >= hiddenParse {
		return s.takeHidden(e, m)
	}
	if err := s.beforeNext(); err != nil {
		return false, err
	}
	switch m := m.(type) {
	case *pgproto3.DataRow:
		s.out.add(m)
		return false, nil
	case *pgproto3.CommandComplete:
		return e.kind == expectExecute, s.takeComplete(m)
	case *pgproto3.CopyInResponse:
		s.out.add(m)
		return false, s.copyIn(u)
	case *pgproto3.RowDescription, *pgproto3.NoData:
		s.out.add(m.(encoder))
		return e.kind == expectDescribe, nil
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		s.completed++
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
		return false, &lostError{err: errors.New("server started a replication stream"), sent: true}
	default:
		s.out.add(m.(encoder))
		return false, nil
	}
}

// takeHidden swallows the answer to a message that the session added.
func (s *session) takeHidden(e expectation, m pgproto3.BackendMessage) (bool, error) {
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
	return false, &lostError{err: fmt.Errorf("unexpected message %T", m), sent: true}
}

// takeError passes on an error of the peer, after which it skips the messages up
// to the next Sync.
func (s *session) takeError(u *unit, e expectation, m *pgproto3.ErrorResponse) (bool, error) {
	if isFatal(m) || e.kind == hiddenSet {
		err := upstream.NewServerError(m)
		sent := !s.notTaken(e, err)
		return false, &lostError{err: err, sent: sent}
	}
	if err := s.beforeNext(); err != nil {
		return false, err
	}
	s.unitFailed = true
	if m.Code == codeUnknownStatement || m.Code == codeFeatureNotSupported {
		// The connection's statements may be gone or may have outlived a
		// change of their result type; a reset drops them.
		s.dirty = true
	}
	s.out.add(m)
	if e.kind == expectReady || e.kind == expectSync {
		return false, nil
	}
	for i := s.head; i < len(s.due); i++ {
		if s.due[i].kind == expectSync {
			s.undoDue(u, s.head, i)
			s.head = i
			return false, nil
		}
	}
	s.undoDue(u, s.head, len(s.due))
	s.head = len(s.due)
	s.skip = true
	return false, nil
}

// notTaken reports that an owner has taken nothing of the unit: it refused the
// forward setting, or it ended its session, which it does only between
// transactions. A backend server may end a session at any time.
func (s *session) notTaken(e expectation, err error) bool {
	if !s.forwarded || s.due[0].kind != hiddenSet {
		return false
	}
	if e.kind == hiddenSet {
		return true
	}
	unanswered := s.head == 1 && s.out.sent == 0 && len(s.out.answer()) == 0
	return unanswered && endedByPeer(err)
}

// undoDue takes back the effects of messages that the peer has skipped.
func (s *session) undoDue(u *unit, from, to int) {
	for i := to - 1; i >= from; i-- {
		e := s.due[i]
		if e.item >= 0 {
			s.undo(&u.items[e.item])
		}
		switch e.kind {
		case expectParse, hiddenParse:
			if e.name != "" {
				s.conn.Forget(e.name)
			} else {
				s.conn.SetUnnamed("")
			}
		case hiddenClose:
			s.conn.Restore(e.name)
		}
	}
}

// takeParameter passes on a changed run-time parameter. A changed parameter of a
// server connection makes a reset necessary.
func (s *session) takeParameter(m *pgproto3.ParameterStatus) {
	if m.Name == tokenParameter {
		s.token = m.Value
	}
	if !s.forwarded {
		s.dirty = true
		if s.changed == nil {
			s.changed = map[string]struct{}{}
		}
		s.changed[m.Name] = struct{}{}
	}
	s.out.add(m)
}

// takeComplete holds a CommandComplete until the next message shows whether the
// transaction is over.
func (s *session) takeComplete(m *pgproto3.CommandComplete) error {
	s.completed++
	word := tagWord(m.CommandTag)
	if s.mode.keyed && isControl(word) {
		if string(word) == "COMMIT" {
			return errCommittedInPart
		}
		return errTransactionControl
	}
	s.noteTag(m.CommandTag, word)
	if s.forwarded {
		s.out.add(m)
		return nil
	}
	s.out.makeRoom()
	s.out.markHeld()
	s.out.append(m)
	return nil
}

// noteTag records what a completed statement did to the state of the connection.
func (s *session) noteTag(tag, word []byte) {
	s.lastCommit = false
	s.lastRollback = false
	switch string(word) {
	case "SELECT", "INSERT", "UPDATE", "DELETE", "BEGIN", "MERGE", "COPY", "SAVEPOINT", "RELEASE", "START":
	case "COMMIT":
		s.lastCommit = true
	case "ROLLBACK":
		s.lastRollback = true
	case "DISCARD", "DEALLOCATE":
		s.dirty = true
		if bytes.HasSuffix(tag, []byte("ALL")) {
			clear(s.statements)
		}
		s.conn.ForgetAll()
	default:
		s.dirty = true
	}
	s.sessionState = refusedState(word)
	if s.txKey != "" && len(s.tags) < maxRecordedAnswer {
		s.tags = append(append(s.tags, tag...), '\n')
	}
}

// refusedState names statements whose only effect is session state, which is
// lost at the end of the transaction.
func refusedState(word []byte) string {
	switch string(word) {
	case "SET", "LISTEN", "PREPARE":
		return string(word)
	default:
		return ""
	}
}

func isControl(word []byte) bool {
	switch string(word) {
	case "BEGIN", "START", "COMMIT", "ROLLBACK":
		return true
	default:
		return false
	}
}

// tagWord returns the first word of a command tag.
func tagWord(tag []byte) []byte {
	if i := bytes.IndexByte(tag, ' '); i >= 0 {
		return tag[:i]
	}
	return tag
}

// beforeNext is called before a message follows a held one in the same unit. A
// commit in the middle of a unit has to be durable before anything follows it.
func (s *session) beforeNext() error {
	if !s.lastCommit || s.forwarded {
		return nil
	}
	s.lastCommit = false
	if err := s.finish(); err != nil {
		return refusalOf(err)
	}
	s.out.released()
	return nil
}

// finish asks the router whether the transaction's completion may be passed on.
func (s *session) finish() error {
	token, err := s.finishTx()
	if err != nil {
		var unknown *route.UnknownOutcomeError
		if s.lastRollback && errors.As(err, &unknown) {
			// A rolled back transaction has no outcome in doubt, but what it
			// has read may be stale.
			return &route.StaleReadError{Reason: "transaction was rolled back: " + err.Error()}
		}
		return err
	}
	if token != "" && token != s.token {
		s.token = token
		s.tokenDue = true
	}
	return nil
}

// copyIn passes the caller's COPY data on until its end.
func (s *session) copyIn(u *unit) error {
	if s.mode.keyed {
		return &refusal{code: codeFeatureNotSupported, message: "COPY FROM STDIN cannot have a request key"}
	}
	s.out.flush()
	if s.out.err != nil {
		return fmt.Errorf("%w: %w", errCaller, s.out.err)
	}
	s.in.source.timeout = s.options().IdleInTransaction
	defer func() { s.in.source.timeout = s.options().CallerTimeout }()
	ended := false
	buf := s.wire[:0]
	if len(s.wire) >= backgroundWriteBytes {
		// The write in the background may still use s.wire.
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
			return &lostError{err: err, sent: true}
		}
		buf = buf[:0]
		if last {
			return nil
		}
	}
}
