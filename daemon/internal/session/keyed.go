package session

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

// The statements on the request log. They are sent by the extended protocol with
// values in binary format; request_key and fingerprint are text, answer is bytea.
const (
	// InsertKeySQL inserts a row, and fails with 23505 if the key exists.
	InsertKeySQL = "INSERT INTO gypsumgap_request_log(request_key, fingerprint) VALUES ($1, $2)"
	// RecordAnswerSQL stores the answer to a request in its row.
	RecordAnswerSQL = "UPDATE gypsumgap_request_log SET answer = $2 WHERE request_key = $1"
	// ReadAnswerSQL reads the row of a key.
	ReadAnswerSQL = "SELECT fingerprint, answer FROM gypsumgap_request_log WHERE request_key = $1"
)

const (
	// maxRecordedAnswerBytes is the largest answer that is kept for replay.
	maxRecordedAnswerBytes = 8 << 10
	maxKeyBytes            = 256

	// Type OIDs and the format code of the extended protocol.
	oidText      = 25
	oidBytea     = 17
	formatBinary = 1

	// blockFingerprint is the fingerprint of a transaction block, whose statements
	// are not known when its key is inserted.
	blockFingerprint = "transaction block"
)

// internalResult is the result of statements that the session runs by itself.
type internalResult struct {
	// row holds the values of the last row.
	row [][]byte
	// failure is the first ErrorResponse.
	failure *upstream.ServerError
}

func (o internalResult) failed(code string) bool { return o.failure != nil && o.failure.Code == code }

// appendExecute appends the messages that run a statement with parameters to
// s.sendBuf.
func (s *session) appendExecute(sql string, oids []uint32, parameters ...[]byte) error {
	formats := []int16{}
	if len(parameters) > 0 {
		formats = append(formats, formatBinary)
	}
	messages := []encoder{
		&pgproto3.Parse{Query: sql, ParameterOIDs: oids},
		&pgproto3.Bind{ParameterFormatCodes: formats, Parameters: parameters, ResultFormatCodes: []int16{formatBinary}},
		&pgproto3.Execute{},
	}
	for _, m := range messages {
		b, err := m.Encode(s.sendBuf)
		if err != nil {
			return err
		}
		s.sendBuf = b
	}
	return nil
}

// runInternal sends s.sendBuf and a Sync, and reads all answers. It fails with
// *connLostError if the connection fails.
func (s *session) runInternal() (internalResult, error) {
	var o internalResult
	s.conn.SetUnnamedStatement("")
	b, err := (&pgproto3.Sync{}).Encode(s.sendBuf)
	if err != nil {
		return o, err
	}
	s.sendBuf = b
	if n, err := s.conn.Write(s.sendBuf); err != nil {
		return o, &connLostError{err: err, sent: n > 0}
	}
	for {
		m, err := s.conn.Receive()
		if err != nil {
			return o, &connLostError{err: fmt.Errorf("connection to the server: %w", err), sent: true}
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			o.row = copyRow(m.Values)
		case *pgproto3.ErrorResponse:
			if isFatal(m) {
				return o, &connLostError{err: upstream.NewServerError(m), sent: true}
			}
			if o.failure == nil {
				o.failure = upstream.NewServerError(m)
			}
		case *pgproto3.ReadyForQuery:
			s.status = m.TxStatus
			return o, nil
		}
	}
}

func copyRow(values [][]byte) [][]byte {
	row := make([][]byte, len(values))
	for i, v := range values {
		if v != nil {
			row[i] = append([]byte{}, v...)
		}
	}
	return row
}

// fingerprint returns a hash of the user, the statements without their sqlcommenter
// comments, and the parameters of a request.
func (s *session) fingerprint(u *unit, user string) string {
	h := sha256.New()
	var n [8]byte
	field := func(b []byte) {
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	field([]byte(user))
	for i := range u.items {
		it := &u.items[i]
		switch it.kind {
		case itemQuery:
			body, _ := splitComment(it.sql)
			field([]byte(body))
		case itemBind:
			if it.stmt != nil && it.stmt.Statement != nil {
				body, _ := splitComment(it.stmt.SQL)
				field([]byte(body))
			}
			field(bindValues(u.buf[it.start:it.end]))
		case itemExecute, itemCall:
			field(u.buf[it.start:it.end])
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

// bindValues returns the body of a Bind message without its portal and statement
// names, which may differ between runs of the same request.
func bindValues(encoded []byte) []byte {
	body := encoded[messageHeaderBytes:]
	for range 2 {
		for i, c := range body {
			if c == 0 {
				body = body[i+1:]
				break
			}
		}
	}
	return body
}

// attemptKeyed runs a first unit with a request key on a server connection.
func (s *session) attemptKeyed(u *unit, r route.Request, deadline time.Time) error {
	switch {
	case len(r.Key) > maxKeyBytes:
		return &sqlError{code: codeInvalidSetting, message: fmt.Sprintf("request key is longer than %d bytes", maxKeyBytes)}
	case u.partial:
		return &sqlError{code: codeFeatureNotSupported, message: "a request with a request key must end with Sync, not Flush"}
	}
	if !u.mayHaveEffect() {
		return s.beginKeyed(u, r)
	}
	return s.runKeyed(u, r)
}

// insertKey inserts the row that ensures that the request runs only once, and begins
// the transaction if begin is set. conflict reports whether the row exists already.
func (s *session) insertKey(r route.Request, fingerprint string, begin bool) (conflict bool, err error) {
	// The insert waits while another transaction with the same key is open.
	s.conn.SetAnswerTimeout(max(time.Until(s.retryDeadline(r)), time.Millisecond))
	defer s.conn.SetAnswerTimeout(0)
	s.sendBuf = s.sendBuf[:0]
	if begin {
		if err := s.appendExecute("BEGIN", nil); err != nil {
			return false, err
		}
	}
	if err := s.appendExecute(InsertKeySQL, []uint32{oidText, oidText}, []byte(r.Key), []byte(fingerprint)); err != nil {
		return false, err
	}
	o, err := s.runInternal()
	if err != nil {
		var lost *connLostError
		if errors.As(err, &lost) {
			// No commit was sent, so the server rolls the transaction back.
			lost.sent = false
		}
		return false, err
	}
	switch {
	case o.failed(codeUniqueViolation):
		return true, nil
	case o.failure != nil:
		return false, serverSQLError(o.failure)
	case s.status != upstream.StatusInTransaction:
		return false, &sqlError{code: codeInternal, message: "server began no transaction for the request key"}
	}
	return false, nil
}

// serverSQLError returns the error that a server has raised for the session's own
// statement as an error for the caller.
func serverSQLError(e *upstream.ServerError) *sqlError {
	return &sqlError{code: e.Code, message: e.Message}
}

// runKeyed runs the unit, the insert of its key and the update of its answer in one
// transaction.
func (s *session) runKeyed(u *unit, r route.Request) error {
	fingerprint := s.fingerprint(u, r.User)
	conflict, err := s.insertKey(r, fingerprint, true)
	if err != nil {
		return err
	}
	if conflict {
		return s.replay(u, r, fingerprint)
	}
	if err := s.buildRequest(u, ""); err != nil {
		return err
	}
	s.out.flushBytes = maxRecordedAnswerBytes
	ready, err := s.exchange(u, relayMode{keyed: true})
	s.out.flushBytes = writeBufferBytes
	switch {
	case err != nil:
		return err
	case !ready:
		// The unit failed before its simple query, and the server skips all
		// messages up to the next Sync.
		return s.abandonKeyed()
	case s.unitFailed:
		return s.rollbackKeyed(u)
	case s.status != upstream.StatusInTransaction:
		return errPartlyCommitted
	}
	if err := s.commitKeyed(u, r); err != nil {
		return err
	}
	if err := s.finish(); err != nil {
		return s.keyedFinishError(err)
	}
	return s.sendKeyedAnswer()
}

// rollbackKeyed ends a keyed unit that failed. Its key can be used again.
func (s *session) rollbackKeyed(u *unit) error {
	if _, err := s.runControl("ROLLBACK"); err != nil || s.status != upstream.StatusIdle {
		return s.abandonKeyed()
	}
	return s.completeUnit(u)
}

// abandonKeyed forwards the error of a unit and closes the connection, which rolls
// the transaction back.
func (s *session) abandonKeyed() error {
	s.releaseTx(false)
	s.out.releaseHeld()
	if !s.skipToSync {
		s.sendReady()
	}
	s.out.flush()
	return nil
}

// runControl runs a statement without parameters or rows, such as ROLLBACK.
func (s *session) runControl(sql string) (internalResult, error) {
	s.sendBuf = s.sendBuf[:0]
	if err := s.appendExecute(sql, nil); err != nil {
		return internalResult{}, err
	}
	return s.runInternal()
}

// commitKeyed records the answer, if it is small enough, and commits.
func (s *session) commitKeyed(u *unit, r route.Request) error {
	s.sendBuf = s.sendBuf[:0]
	if s.out.sent == 0 && len(s.out.unsentAnswer()) <= maxRecordedAnswerBytes {
		answer := encodeRecord(u, s.out.unsentAnswer())
		err := s.appendExecute(RecordAnswerSQL, []uint32{oidText, oidBytea}, []byte(r.Key), answer)
		if err != nil {
			return err
		}
	}
	if err := s.appendExecute("COMMIT", nil); err != nil {
		return err
	}
	o, err := s.runInternal()
	if err != nil {
		return err
	}
	if o.failure != nil {
		return serverSQLError(o.failure)
	}
	return nil
}

// keyedFinishError converts an error of Finish for a request with a key. An unknown
// outcome becomes a *connLostError, after which the request is run again under its
// key.
func (s *session) keyedFinishError(err error) error {
	var unknown *route.UnknownOutcomeError
	if errors.As(err, &unknown) || s.ctx.Err() == nil && !isTyped(err) {
		return &connLostError{err: err, sent: true}
	}
	return toSQLError(err)
}

// isTyped reports whether the route package defines an SQLSTATE for the error.
func isTyped(err error) bool {
	_, ok := route.SQLState(err)
	return ok
}

// sendKeyedAnswer sends the answer of a keyed unit and releases the connection.
func (s *session) sendKeyedAnswer() error {
	s.restoreParameters()
	s.reportToken()
	s.out.releaseHeld()
	s.releaseTx(true)
	s.sendReady()
	s.out.flush()
	return nil
}

// requestRecord is a row of the request log.
type requestRecord struct {
	fingerprint string
	// answer is nil if it was too large to keep.
	answer []byte
}

// readRecord rolls the failed transaction back and reads the row of the key. ok is
// false if there is none.
func (s *session) readRecord(key string) (rec requestRecord, ok bool, err error) {
	if _, err := s.runControl("ROLLBACK"); err != nil {
		return rec, false, err
	}
	s.sendBuf = s.sendBuf[:0]
	if err := s.appendExecute(ReadAnswerSQL, []uint32{oidText}, []byte(key)); err != nil {
		return rec, false, err
	}
	o, err := s.runInternal()
	if err != nil {
		return rec, false, err
	}
	if o.failure != nil {
		return rec, false, serverSQLError(o.failure)
	}
	if len(o.row) != 2 {
		return rec, false, nil
	}
	return requestRecord{fingerprint: string(o.row[0]), answer: o.row[1]}, true, nil
}

// replay answers a request that has run already from its row in the request log.
// The row must be durable before its answer is sent.
func (s *session) replay(u *unit, r route.Request, fingerprint string) error {
	rec, ok, err := s.readRecord(r.Key)
	if err != nil {
		return err
	}
	if !ok {
		return &connLostError{err: errors.New("row of the request key was removed"), sent: false}
	}
	if err := s.finish(); err != nil {
		return s.keyedFinishError(err)
	}
	switch {
	case rec.fingerprint != fingerprint:
		return s.failReplay(u, keyReusedError())
	case rec.answer == nil:
		return s.failReplay(u, &sqlError{
			code:    route.CodeAnswerNotKept,
			message: "request has run already, but its answer was too large to keep",
		})
	}
	if !s.writeRecordedAnswer(u, rec.answer) {
		return s.failReplay(u, &sqlError{
			code:    route.CodeAnswerNotKept,
			message: "request has run already, but its answer was kept for another sequence of messages",
		})
	}
	return s.sendKeyedAnswer()
}

func keyReusedError() *sqlError {
	return &sqlError{code: route.CodeKeyReused, message: "request key was used for a different request"}
}

// failReplay releases the connection as clean and reports r to the caller.
func (s *session) failReplay(u *unit, r *sqlError) error {
	s.releaseTx(true)
	s.reportToken()
	return s.failUnit(u, r)
}

// beginKeyed begins a transaction block with a request key.
func (s *session) beginKeyed(u *unit, r route.Request) error {
	if err := s.buildRequest(u, ""); err != nil {
		return err
	}
	if _, err := s.exchange(u, relayMode{}); err != nil {
		return err
	}
	if s.unitFailed || s.status != upstream.StatusInTransaction {
		return s.completeUnit(u)
	}
	conflict, err := s.insertKey(r, blockFingerprint, false)
	if err != nil {
		return err
	}
	if !conflict {
		s.txKey = r.Key
		return s.completeUnit(u)
	}
	rec, ok, err := s.readRecord(r.Key)
	if err != nil {
		return err
	}
	if !ok {
		return &connLostError{err: errors.New("row of the request key was removed"), sent: false}
	}
	if err := s.finish(); err != nil {
		return s.keyedFinishError(err)
	}
	s.out.discardHeld()
	if rec.fingerprint != blockFingerprint {
		return s.failReplay(u, keyReusedError())
	}
	return s.failReplay(u, &sqlError{
		code:    route.CodeAnswerNotKept,
		message: "transaction with this request key has been committed already",
		detail:  string(rec.answer),
	})
}

// recordTags records the command tags of a transaction block with a request key
// before its commit.
func (s *session) recordTags(u *unit) error {
	sql, single := u.singleStatement()
	if s.txKey == "" || !single || !isCommit(sql) || s.status != upstream.StatusInTransaction {
		return nil
	}
	s.sendBuf = s.sendBuf[:0]
	err := s.appendExecute(RecordAnswerSQL, []uint32{oidText, oidBytea}, []byte(s.txKey), s.txTags)
	if err != nil {
		return err
	}
	return s.runBeforeUnit()
}

// runBeforeUnit runs the statements in s.sendBuf before those of the caller are
// sent. If the connection fails, nothing of the unit has been sent yet.
func (s *session) runBeforeUnit() error {
	o, err := s.runInternal()
	var lost *connLostError
	if errors.As(err, &lost) {
		lost.sent = false
	}
	if err != nil {
		return err
	}
	if o.failure != nil {
		return serverSQLError(o.failure)
	}
	return nil
}

// resolveCommit finds out whether a transaction block whose COMMIT got no answer was
// committed. A new transaction inserts the key of the block: a conflict shows that
// the block was committed, a successful insert that it was rolled back.
func (s *session) resolveCommit(u *unit, lost *connLostError) error {
	r := route.Request{Database: s.database, User: s.user, Class: s.class, Token: s.token, Key: s.txKey, Arrived: time.Now()}
	s.releaseTx(false)
	deadline := s.retryDeadline(r)
	delay := defaultRetryDelay
	for {
		committed, err := s.tryResolveCommit(r, deadline)
		var again *connLostError
		switch {
		case err == nil && committed:
			s.out.discardUnsent()
			s.writeUnitAnswer(u, "COMMIT")
			return s.sendKeyedAnswer()
		case err == nil:
			s.releaseTx(true)
			return s.failUnit(u, &sqlError{
				code:    codeConnectionFailure,
				message: "connection failed and the transaction was rolled back: " + lost.err.Error(),
			})
		case errors.Is(err, errCaller):
			return err
		case !errors.As(err, &again) || !s.backOff(&delay, deadline):
			s.releaseTx(false)
			return s.failUnit(u, toSQLError(&route.UnknownOutcomeError{Reason: "connection failed", Err: lost.err}))
		}
		s.releaseTx(false)
	}
}

// tryResolveCommit makes one attempt of resolveCommit.
func (s *session) tryResolveCommit(r route.Request, deadline time.Time) (committed bool, err error) {
	if err := s.beginTx(r, deadline); err != nil {
		return false, &connLostError{err: err}
	}
	if s.forwarded {
		return false, errors.New("cannot resolve the outcome of a commit over a forwarding connection")
	}
	conflict, err := s.insertKey(r, blockFingerprint, true)
	if err != nil {
		return false, err
	}
	if _, err := s.runControl("ROLLBACK"); err != nil {
		return false, err
	}
	s.lastRollback = !conflict
	if err := s.finish(); err != nil {
		return false, s.keyedFinishError(err)
	}
	return conflict, nil
}
