package session

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

// testProxy is a Server with a fake router and fake backends.
type testProxy struct {
	n        *pipeNetwork
	backends []*fakeBackend
	router   *fakeRouter
	server   *Server
	address  string
}

// newTestProxy starts a server. change, if not nil, modifies its options.
func newTestProxy(t *testing.T, backends int, change func(*Options)) *testProxy {
	w := &testProxy{n: newPipeNetwork()}
	for range backends {
		w.backends = append(w.backends, newFakeBackend(t, w.n))
	}
	w.router = newFakeRouter(t, w.n, w.backends...)
	o := Options{Router: w.router}
	if change != nil {
		change(&o)
	}
	w.server, w.address = startServer(t, w.n, o)
	return w
}

func (w *testProxy) connect(t *testing.T, parameters string) *pgx.Conn {
	t.Helper()
	return connect(t, w.n, w.address, parameters)
}

// cancel sends a cancel request for the caller's session and waits until the
// server has processed it.
func (w *testProxy) cancel(t *testing.T, c *pgx.Conn, secret []byte) {
	t.Helper()
	nc, err := w.n.dial(context.Background(), "tcp", w.address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	buf, err := (&pgproto3.CancelRequest{ProcessID: c.PgConn().PID(), SecretKey: secret}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := nc.Write(buf); err != nil {
		t.Fatal(err)
	}
	if _, err := nc.Read(make([]byte, 1)); err == nil {
		t.Fatal("cancel request was answered")
	}
}

// withTestProxy runs a test in virtual time with one backend and one caller.
func withTestProxy(t *testing.T, run func(t *testing.T, w *testProxy, c *pgx.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		run(t, w, w.connect(t, ""))
	})
}

func subtestWithProxy(t *testing.T, name string, run func(t *testing.T, w *testProxy, c *pgx.Conn)) {
	t.Run(name, func(t *testing.T) { withTestProxy(t, run) })
}

// execState runs a statement and returns its SQLSTATE, empty for success.
func execState(t *testing.T, c *pgx.Conn, sql string, arguments ...any) string {
	t.Helper()
	_, err := c.Exec(context.Background(), sql, arguments...)
	return sqlState(t, err)
}

func wantCode(t *testing.T, c *pgx.Conn, code, sql string, arguments ...any) {
	t.Helper()
	if got := execState(t, c, sql, arguments...); got != code {
		t.Fatalf("%s: SQLSTATE %q, want %q", sql, got, code)
	}
}

func wantTag(t *testing.T, c *pgx.Conn, tag, sql string) {
	t.Helper()
	if got := mustExec(t, c, sql); got != tag {
		t.Fatalf("%s: tag %q, want %q", sql, got, tag)
	}
}

func wantRow(t *testing.T, c *pgx.Conn, value, sql string, arguments ...any) {
	t.Helper()
	if got := queryString(t, c, sql, arguments...); got != value {
		t.Fatalf("%s: row %q, want %q", sql, got, value)
	}
}

func wantEffects(t *testing.T, b *fakeBackend, want ...string) {
	t.Helper()
	if got := b.effects(); !slices.Equal(got, want) {
		t.Fatalf("committed %q, want %q", got, want)
	}
}

func failUnknownOutcome(n int) (string, error) {
	return "", &route.UnknownOutcomeError{Reason: "scripted"}
}

// Guards against plain statements, prepared statements or transaction blocks that
// fail or leave their connection in a state in which it is not released as clean.
func TestStatementsThroughRouter(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		wantTag(t, c, "INSERT 0 1", "INSERT a")
		wantRow(t, c, "x", "SELECT $1", "x")
		mustExec(t, c, "BEGIN")
		mustExec(t, c, "INSERT b")
		mustExec(t, c, "COMMIT")
		wantEffects(t, w.backends[0], "INSERT a", "INSERT b")
		if got := w.router.released(); !slices.Equal(got, []bool{true, true, true, true}) {
			t.Fatalf("connections were released as clean: %v, want 4 times true", got)
		}
	})
}

// Guards against named statements that exist only on the connection on which they
// were prepared. Each transaction can run on another connection.
func TestPreparedStatementsOnEveryConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 3, nil)
		a, b := w.connect(t, ""), w.connect(t, "")
		ctx := context.Background()
		for _, c := range []*pgx.Conn{a, b} {
			d, err := c.Prepare(ctx, "st", "SELECT $1")
			if err != nil {
				t.Fatal(err)
			}
			if len(d.ParamOIDs) != 1 || len(d.Fields) != 1 {
				t.Fatalf("statement description %+v, want one parameter and one field", d)
			}
		}
		for i := range 9 {
			want := fmt.Sprint(i)
			wantRow(t, []*pgx.Conn{a, b}[i%2], want, "st", want)
		}
		if err := a.Deallocate(ctx, "st"); err != nil {
			t.Fatal(err)
		}
		wantRow(t, b, "still", "st", "still")
		wantState(t, a.PgConn().ExecPrepared(ctx, "st", [][]byte{nil}, nil, nil).Read().Err, codeUnknownStatement)
		_, err := b.PgConn().Prepare(ctx, "st", "SELECT other", nil)
		wantState(t, err, "42P05")
	})
}

// Guards against a statement that stays recorded on a connection although the
// server has skipped or rejected its Parse, so that a later use fails.
func TestFailedParseIsNotRecorded(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		ctx := context.Background()
		for range 2 {
			_, err := c.PgConn().Prepare(ctx, "bad", "SYNTAX", nil)
			wantState(t, err, "42601")
		}
		other := w.connect(t, "")
		_, err := other.PgConn().Prepare(ctx, "also bad", "SYNTAX", nil)
		wantState(t, err, "42601")
		for i, flush := range []bool{false, true} {
			sql := fmt.Sprintf("SELECT later%d", i)
			pipeline := c.PgConn().StartPipeline(ctx)
			pipeline.SendQueryParams("FAIL 22012", nil, nil, nil, nil)
			pipeline.SendPrepare("st", sql, nil)
			if flush {
				pipeline.SendFlushRequest()
			}
			if err := pipeline.Sync(); err != nil {
				t.Fatal(err)
			}
			// The pipeline reports the scripted failure.
			_ = pipeline.Close()
			for _, x := range []*pgx.Conn{other, c} {
				name := fmt.Sprint("st", i)
				if _, err := x.Prepare(ctx, name, sql); err != nil {
					t.Fatal(err)
				}
				wantRow(t, x, fmt.Sprint("later", i), name)
			}
			if _, err := c.PgConn().Prepare(ctx, "st", sql, nil); err != nil {
				t.Fatal(err)
			}
			if err := c.Deallocate(ctx, "st"); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against an eviction that leaves the statement on the server, or that closes
// a statement that is still used.
func TestEvictedStatementIsPreparedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		w.router.options.StatementLimit = 2
		c := w.connect(t, "")
		for range 2 {
			for i := range 4 {
				name := fmt.Sprintf("SELECT $1 /*%d*/", i)
				wantRow(t, c, "v", name, "v")
			}
		}
		w.backends[0].mu.Lock()
		defer w.backends[0].mu.Unlock()
		for _, conn := range w.backends[0].conns {
			if len(conn.statements) > 3 {
				t.Fatalf("server has %d prepared statements, want at most 3", len(conn.statements))
			}
		}
	})
}

// Guards against session state of one caller that leaks to the next caller on the
// same connection.
func TestStateIsNotSharedBetweenCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		a, b := w.connect(t, ""), w.connect(t, "")
		mustExec(t, a, "BEGIN")
		mustExec(t, a, "SET search_path = mine")
		if got := queryString(t, a, "SHOW search_path"); got != "mine" {
			t.Fatalf("search_path in the transaction is %q, want mine", got)
		}
		mustExec(t, a, "COMMIT")
		// The reset runs after the answer was sent to the caller.
		synctest.Wait()
		if got := queryString(t, b, "SHOW search_path"); got != "" {
			t.Fatalf("search_path of the other caller is %q, want none", got)
		}
		// Waits for a reset that would follow the answer.
		synctest.Wait()
		if n := w.backends[0].count("DISCARD ALL"); n != 1 {
			t.Fatalf("%d resets, want 1", n)
		}
	})
}

// Guards against a missing reset after a read that changes the state of its
// connection, since the command tag does not show the change.
func TestStateLeftByReadsIsReset(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		statements := []string{"SELECT pg_Advisory_lock(1)", "SELECT set_config('a', 'b', false)", "SELECT 1 INTO TEMP t"}
		for i, sql := range statements {
			mustExec(t, c, sql)
			queryString(t, c, sql+" /*prepared*/")
			mustExec(t, c, "SELECT harmless")
			if n := w.backends[0].count("DISCARD ALL"); n != 2*(i+1) {
				t.Fatalf("%d resets after %s, want two for each statement so far", n, sql)
			}
		}
	})
}

// Guards against a SET that succeeds and is silently lost at the end of its implicit
// transaction, and against a reset parameter that is not reported to the caller.
func TestSetOutsideTransactionIsRefused(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		wantCode(t, c, codeFeatureNotSupported, "SET search_path = mine")
		wantCode(t, c, codeFeatureNotSupported, "LISTEN news")
		mustExec(t, c, "BEGIN")
		mustExec(t, c, "SET TimeZone = Dar")
		if got := c.PgConn().ParameterStatus("TimeZone"); got != "Dar" {
			t.Fatalf("TimeZone in the transaction is %q, want Dar", got)
		}
		mustExec(t, c, "COMMIT")
		if got := c.PgConn().ParameterStatus("TimeZone"); got != "UTC" {
			t.Fatalf("TimeZone after the transaction is %q, want UTC", got)
		}
	})
}

// Guards against a completion that is sent to the caller before Finish has returned.
func TestCompletionIsHeldUntilFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		var mu sync.Mutex
		var written []byte
		w.n.record = func(address string, p []byte) {
			mu.Lock()
			defer mu.Unlock()
			if address == w.address {
				written = append(written, p...)
			}
		}
		w.router.finish = func(n int) (string, error) {
			mu.Lock()
			defer mu.Unlock()
			if n == 0 && strings.Contains(string(written), "INSERT 0 1") {
				t.Error("completion was written before Finish returned")
			}
			if n == 2 && strings.Contains(string(written), "COMMIT") {
				t.Error("commit was written before Finish returned")
			}
			return fmt.Sprintf("werkplaats-1-a/1:%d", n), nil
		}
		c := w.connect(t, "")
		mustExec(t, c, "INSERT a")
		if got := c.PgConn().ParameterStatus(tokenParameter); got != "werkplaats-1-a/1:0" {
			t.Fatalf("token %q, want werkplaats-1-a/1:0", got)
		}
		mustExec(t, c, "SELECT 1")
		mustExec(t, c, "BEGIN")
		mustExec(t, c, "COMMIT")
		last := w.router.begun()[2]
		if last.Token != "werkplaats-1-a/1:1" {
			t.Fatalf("token of the next request is %q, want werkplaats-1-a/1:1", last.Token)
		}
	})
}

// Guards against a success that is reported although Finish has failed, because the
// outcome is unknown or a read is stale. The same holds for a commit in the middle of
// a unit.
func TestFinishErrorReplacesCompletion(t *testing.T) {
	cases := []struct {
		name string
		sql  []string
		err  error
		code string
	}{
		{"implicit write", []string{"INSERT a"}, &route.UnknownOutcomeError{Reason: "gate"}, route.CodeUnknownOutcome},
		{"explicit write", []string{"BEGIN", "INSERT a", "COMMIT"}, &route.UnknownOutcomeError{Reason: "gate"}, route.CodeUnknownOutcome},
		{"read", []string{"SELECT 1"}, &route.StaleReadError{Reason: "term"}, route.CodeStaleRead},
		{"rolled back", []string{"BEGIN", "SELECT 1", "ROLLBACK"}, &route.UnknownOutcomeError{Reason: "gate"}, route.CodeStaleRead},
		{"untyped", []string{"INSERT a"}, errors.New("unexpected"), route.CodeUnknownOutcome},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestProxy(t, 1, nil)
				w.router.finish = func(int) (string, error) { return "", tc.err }
				c := w.connect(t, "")
				for _, sql := range tc.sql[:len(tc.sql)-1] {
					mustExec(t, c, sql)
				}
				if got := execState(t, c, tc.sql[len(tc.sql)-1]); got != tc.code {
					t.Fatalf("SQLSTATE %q, want %s", got, tc.code)
				}
				if got := c.PgConn().TxStatus(); got != 'I' {
					t.Fatalf("transaction status %c, want I", got)
				}
			})
		})
	}
	t.Run("commit inside a unit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, nil)
			w.router.finish = failUnknownOutcome
			c := w.connect(t, "")
			batch := &pgconn.Batch{}
			for _, sql := range []string{"BEGIN", "INSERT a", "COMMIT", "SELECT 1"} {
				batch.ExecParams(sql, nil, nil, nil, nil)
			}
			results, err := c.PgConn().ExecBatch(context.Background(), batch).ReadAll()
			wantState(t, err, route.CodeUnknownOutcome)
			for _, r := range results {
				if r.CommandTag.String() == "COMMIT" && r.Err == nil {
					t.Fatal("commit was reported although its outcome is unknown")
				}
			}
		})
	})
}

// Guards against another SQLSTATE than "not run" for a request that got no
// connection.
func TestNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		w.router.begin = func(int) error { return &route.NotRunError{Reason: "queue is full"} }
		c := w.connect(t, "")
		wantCode(t, c, route.CodeNotRun, "INSERT a")
		wantCode(t, c, route.CodeNotRun, "INSERT $1", "x")
		wantEffects(t, w.backends[0])
	})
}

// Guards against a write that runs twice, or a wrong SQLSTATE, after the connection
// is lost.
func TestLostConnection(t *testing.T) {
	t.Run("write without a key", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, nil)
			w.backends[0].injectFaults("INSERT a", dropAfter)
			c := w.connect(t, "")
			wantCode(t, c, route.CodeUnknownOutcome, "INSERT a")
			wantEffects(t, w.backends[0], "INSERT a")
			mustExec(t, c, "INSERT b")
		})
	})
	t.Run("repeatable", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, nil)
			w.router.mayRepeat = true
			w.backends[0].injectFaults("SELECT 1", dropBefore, dropAfter)
			c := w.connect(t, "")
			wantRow(t, c, "1", "SELECT 1")
			if got := w.router.released(); got[len(got)-1] != true || slices.Index(got, false) < 0 {
				t.Fatalf("connections were released as clean: %v, want at least one false and true at the end", got)
			}
		})
	})
	t.Run("repeatable but then refused", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, nil)
			w.router.mayRepeat = true
			w.router.begin = func(n int) error {
				if n == 0 {
					return nil
				}
				return &route.NotRunError{Reason: "queue is full"}
			}
			w.backends[0].injectFaults("INSERT a", dropAfter)
			c := w.connect(t, "")
			// The first attempt has reached the server, so "not run" would be wrong.
			wantCode(t, c, route.CodeUnknownOutcome, "INSERT a")
		})
	})
	t.Run("inside a transaction", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, nil)
			w.router.mayRepeat = true
			w.backends[0].injectFaults("INSERT b", dropAfter)
			c := w.connect(t, "")
			mustExec(t, c, "BEGIN")
			mustExec(t, c, "INSERT a")
			wantCode(t, c, codeConnectionFailure, "INSERT b")
			// The rest of the block must not run outside of it.
			wantCode(t, c, codeFailedTransaction, "INSERT c")
			wantCode(t, c, codeFailedTransaction, "INSERT $1", "d")
			wantTag(t, c, "ROLLBACK", "COMMIT")
			mustExec(t, c, "INSERT e")
			wantEffects(t, w.backends[0], "INSERT e")
		})
	})
	t.Run("at commit", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, nil)
			w.backends[0].injectFaults("COMMIT", dropAfter)
			c := w.connect(t, "")
			mustExec(t, c, "BEGIN")
			mustExec(t, c, "INSERT a")
			wantCode(t, c, route.CodeUnknownOutcome, "COMMIT")
		})
	})
}

// Guards against a request that runs twice under its key, whose answer is lost, or
// that gets the answer of a different request.
func TestRequestKey(t *testing.T) {
	const insert = "INSERT claim /*request_key='k1'*/"
	t.Run("replay", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 2, nil)
			w.backends[1].requestLog = w.backends[0].requestLog
			a, b := w.connect(t, ""), w.connect(t, "")
			first := mustExec(t, a, insert)
			w.router.nextBackend = 0
			wantTag(t, b, first, insert)
			wantEffects(t, w.backends[0], "INSERT claim")
		})
	})
	subtestWithProxy(t, "by setting and extended protocol", func(t *testing.T, w *testProxy, c *pgx.Conn) {
		for range 2 {
			mustExec(t, c, "SET gypsumgap.request_key = 'k2'")
			wantRow(t, c, "answer", "SELECT $1", "answer")
		}
		if n := w.backends[0].count("SELECT $1"); n != 1 {
			t.Fatalf("request ran %d times, want 1", n)
		}
		// The key applies to one transaction only.
		queryString(t, c, "SELECT $1", "answer")
		if n := w.backends[0].count("SELECT $1"); n != 2 {
			t.Fatalf("request ran %d times, want 2", n)
		}
	})
	subtestWithProxy(t, "reuse", func(t *testing.T, w *testProxy, c *pgx.Conn) {
		mustExec(t, c, insert)
		wantCode(t, c, route.CodeKeyReused, "INSERT other /*request_key='k1'*/")
		wantEffects(t, w.backends[0], "INSERT claim")
	})
	subtestWithProxy(t, "failed request frees its key", func(t *testing.T, w *testProxy, c *pgx.Conn) {
		wantCode(t, c, "22012", "FAIL 22012 /*request_key='k1'*/")
		mustExec(t, c, insert)
		wantEffects(t, w.backends[0], "INSERT claim")
	})
	subtestWithProxy(t, "large answer", func(t *testing.T, w *testProxy, c *pgx.Conn) {
		const sql = "SELECT rows 100 1000 /*request_key='k1'*/"
		wantTag(t, c, "SELECT 100", sql)
		wantCode(t, c, route.CodeAnswerNotKept, sql)
	})
	t.Run("connection lost at commit", func(t *testing.T) {
		for _, f := range []fault{dropBefore, dropAfter} {
			synctest.Test(t, func(t *testing.T) {
				w := newTestProxy(t, 1, nil)
				w.backends[0].injectFaults("COMMIT", f)
				c := w.connect(t, "")
				wantTag(t, c, "INSERT 0 1", insert)
				wantEffects(t, w.backends[0], "INSERT claim")
			})
		}
	})
	t.Run("unknown outcome of Finish", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, nil)
			w.router.finish = func(n int) (string, error) {
				if n < 2 {
					return failUnknownOutcome(n)
				}
				return "werkplaats-1-a/2:7", nil
			}
			c := w.connect(t, "")
			mustExec(t, c, insert)
			wantEffects(t, w.backends[0], "INSERT claim")
			if got := c.PgConn().ParameterStatus(tokenParameter); got != "werkplaats-1-a/2:7" {
				t.Fatalf("token %q, want werkplaats-1-a/2:7", got)
			}
		})
	})
	t.Run("never settled", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, nil)
			w.router.finish = failUnknownOutcome
			c := w.connect(t, "")
			wantCode(t, c, route.CodeUnknownOutcome, insert)
			wantEffects(t, w.backends[0], "INSERT claim")
		})
	})
	subtestWithProxy(t, "transaction control", func(t *testing.T, w *testProxy, c *pgx.Conn) {
		mustExec(t, c, "SET gypsumgap.request_key = 'k1'")
		wantCode(t, c, codeFeatureNotSupported, "ROLLBACK")
		mustExec(t, c, "SET gypsumgap.request_key = 'k1'")
		wantCode(t, c, route.CodeUnknownOutcome, "COMMIT")
		mustExec(t, c, "SET gypsumgap.request_key = 'k1'")
		wantCode(t, c, route.CodeAnswerNotKept, "COMMIT")
	})
	t.Run("transaction block", func(t *testing.T) {
		for _, f := range []fault{noFault, dropBefore, dropAfter} {
			withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
				mustExec(t, c, "BEGIN /*request_key='k1'*/")
				mustExec(t, c, "INSERT claim")
				w.backends[0].injectFaults("COMMIT", f)
				got := execState(t, c, "COMMIT")
				if f == dropBefore {
					if got != codeConnectionFailure {
						t.Fatalf("COMMIT that did not run: SQLSTATE %q, want 08006", got)
					}
					wantEffects(t, w.backends[0])
					return
				}
				if got != "" {
					t.Fatalf("COMMIT that ran: SQLSTATE %q, want success", got)
				}
				wantEffects(t, w.backends[0], "INSERT claim")
				_, err := c.Exec(context.Background(), "BEGIN /*request_key='k1'*/")
				wantState(t, err, route.CodeAnswerNotKept)
				var pe *pgconn.PgError
				if errors.As(err, &pe); pe.Detail != "INSERT 0 1\n" {
					t.Fatalf("recorded command tags %q, want INSERT 0 1", pe.Detail)
				}
				wantCode(t, c, route.CodeKeyReused, insert)
			})
		}
	})
}

// Guards against a replayed answer that a driver cannot read. A driver may repeat a
// request with other protocol messages, for example without a Parse.
func TestReplayMatchesRepeatedMessages(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		ctx := context.Background()
		key := func() { mustExec(t, c, "SET gypsumgap.request_key = 'k1'") }
		values := [][]byte{[]byte("answer")}
		key()
		first := c.PgConn().ExecParams(ctx, "SELECT $1", values, nil, nil, nil).Read()
		if first.Err != nil {
			t.Fatal(first.Err)
		}
		if _, err := c.PgConn().Prepare(ctx, "st", "SELECT $1", nil); err != nil {
			t.Fatal(err)
		}
		key()
		second := c.PgConn().ExecPrepared(ctx, "st", values, nil, nil).Read()
		if second.Err != nil {
			t.Fatal(second.Err)
		}
		if string(second.Rows[0][0]) != "answer" || second.CommandTag != first.CommandTag {
			t.Fatalf("replayed %+v, want %+v", second, first)
		}
		key()
		batch := &pgconn.Batch{}
		batch.ExecPrepared("st", values, nil, nil)
		batch.ExecPrepared("st", values, nil, nil)
		_, err := c.PgConn().ExecBatch(ctx, batch).ReadAll()
		wantState(t, err, route.CodeKeyReused)
		if n := w.backends[0].count("SELECT $1"); n != 1 {
			t.Fatalf("request ran %d times, want 1", n)
		}
	})
}

// Guards against a key that is silently ignored because it first appears inside a
// transaction block.
func TestKeyInsideTransactionIsRefused(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		mustExec(t, c, "BEGIN")
		wantCode(t, c, codeFeatureNotSupported, "INSERT a /*request_key='k1'*/")
		mustExec(t, c, "ROLLBACK")
		mustExec(t, c, "BEGIN /*request_key='k1'*/")
		mustExec(t, c, "INSERT b /*request_key='k1'*/")
		mustExec(t, c, "COMMIT /*request_key='k1'*/")
		wantEffects(t, w.backends[0], "INSERT b")
	})
}

// Guards against a request that waits beyond its deadline for another transaction
// with the same key, or that is then not reported as "not run".
func TestKeyHeldByAnotherRun(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		start := time.Now()
		wantCode(t, c, route.CodeNotRun, "INSERT a /*request_key='locked'*/")
		// In virtual time only the retries add to the timeout.
		if d := time.Since(start); d > defaultRequestTimeout+time.Second {
			t.Fatalf("request waited %v, want at most 1 s more than its timeout", d)
		}
		wantEffects(t, w.backends[0])
	})
}

// Guards against a request that is routed with the wrong class, key or token.
func TestRequestSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		c := w.connect(t, "&application_name=status-page&gypsumgap.session_token=none")
		mustExec(t, c, "SELECT 1")
		mustExec(t, c, "SET gypsumgap.class TO 'stock-count';")
		mustExec(t, c, "SET gypsumgap.session_token = 'werkplaats-1-a/1:5'")
		mustExec(t, c, "SELECT 1")
		mustExec(t, c, "SELECT 1 /*class='job%2Dcard',route='x'*/")
		mustExec(t, c, "BEGIN READ ONLY")
		mustExec(t, c, "COMMIT")
		mustExec(t, c, "START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY")
		mustExec(t, c, "COMMIT")
		mustExec(t, c, "SELECT $1", "READ ONLY")
		got := w.router.begun()
		want := []struct {
			class, token string
			readOnly     bool
		}{
			{"status-page", "none", false},
			{"stock-count", "werkplaats-1-a/1:5", false},
			{"job-card", "werkplaats-1-a/1:5", false},
			{"stock-count", "werkplaats-1-a/1:5", true},
			{"stock-count", "werkplaats-1-a/1:5", true},
			{"stock-count", "werkplaats-1-a/1:5", false},
		}
		for i, x := range want {
			if got[i].Class != x.class || got[i].Token != x.token || got[i].ReadOnly != x.readOnly {
				t.Errorf("request %d is %+v, want %+v", i, got[i], x)
			}
		}
	})
}

// Guards against settings by the extended protocol that are sent to the server or
// not answered.
func TestSettingsByExtendedProtocol(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		ctx := context.Background()
		if _, err := c.Prepare(ctx, "s", "SET gypsumgap.class = 'it''s'"); err != nil {
			t.Fatal(err)
		}
		mustExec(t, c, "s")
		batch := &pgconn.Batch{}
		batch.ExecParams("SET gypsumgap.class = 'batched'", nil, nil, nil, nil)
		batch.ExecParams("SELECT 1", nil, nil, nil, nil)
		if _, err := c.PgConn().ExecBatch(ctx, batch).ReadAll(); err != nil {
			t.Fatal(err)
		}
		if got := w.router.begun(); len(got) != 1 || got[0].Class != "batched" {
			t.Fatalf("requests %+v, want one of class batched", got)
		}
		if n := len(w.backends[0].statements()); n != 1 {
			t.Fatalf("server ran %q, want one statement", w.backends[0].statements())
		}
	})
}

// Guards against a caller that uses the forward setting, by which hosts pass on the
// user of a request.
func TestForwardSettingIsForHostsOnly(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		wantCode(t, c, codeInvalidSetting, `SET gypsumgap.forward = '{"user":"admin"}'`)
	})
}

// newForwardingProxies starts an entry host that forwards to an owner host.
func newForwardingProxies(t *testing.T) (owner *testProxy, entry *fakeRouter, address string, ownerOptions *Options) {
	owner = newTestProxy(t, 1, func(o *Options) {
		o.AcceptForwards = true
		ownerOptions = o
	})
	entry = newFakeRouter(t, owner.n)
	entry.backends = []string{owner.address}
	entry.forwarded = true
	_, address = startServer(t, owner.n, Options{Router: entry})
	return owner, entry, address, ownerOptions
}

// Guards against a forwarded request that loses its class, key, token, deadline or
// user, and against state that leaks between callers of one forwarding connection.
func TestForwarding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner, entry, address, _ := newForwardingProxies(t)
		owner.router.finish = func(n int) (string, error) {
			if n > 3 {
				n = 3
			}
			return fmt.Sprintf("werkplaats-1-a/1:%d", n), nil
		}
		a, b := connect(t, owner.n, address, "&gypsumgap.session_token=none"), connect(t, owner.n, address, "")
		mustExec(t, a, "INSERT a /*class='job-card',request_key='k1'*/")
		mustExec(t, b, "INSERT a /*class='job-card',request_key='k1'*/")
		wantEffects(t, owner.backends[0], "INSERT a")
		got := owner.router.begun()
		first := got[0]
		if first.Class != "job-card" || first.Key != "k1" || first.User != "mechanic" || first.Hops != 1 || first.Token != "none" {
			t.Fatalf("first request at the owner is %+v", first)
		}
		if first.Deadline.IsZero() || got[1].Token != "" {
			t.Fatalf("requests at the owner are %+v and %+v, want a deadline on the first and no token on the second", first, got[1])
		}
		mustExec(t, a, "BEGIN")
		wantRow(t, a, "x", "SELECT $1", "x")
		mustExec(t, a, "INSERT b")
		mustExec(t, a, "COMMIT")
		mustExec(t, b, "INSERT c")
		for _, c := range []*pgx.Conn{a, b} {
			if got := c.PgConn().ParameterStatus(tokenParameter); got != "werkplaats-1-a/1:2" && got != "werkplaats-1-a/1:3" {
				t.Fatalf("token %q, want werkplaats-1-a/1:2 or werkplaats-1-a/1:3", got)
			}
		}
		owner.router.finish = func(int) (string, error) { return "werkplaats-1-a/1:9", nil }
		for _, c := range []*pgx.Conn{a, b} {
			mustExec(t, c, "SELECT 1")
			if got := c.PgConn().ParameterStatus(tokenParameter); got != "werkplaats-1-a/1:9" {
				t.Fatalf("token %q, want werkplaats-1-a/1:9", got)
			}
		}
		if entry.finishes != 0 {
			t.Fatal("entry host called Finish for a transaction that the owner has finished already")
		}
		wantEffects(t, owner.backends[0], "INSERT a", "INSERT b", "INSERT c")
	})
}

// Guards against errors of an owner that the entry host changes.
func TestOwnerErrorsPassThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner, _, address, _ := newForwardingProxies(t)
		c := connect(t, owner.n, address, "")
		owner.router.begin = func(int) error { return &route.NotRunError{Reason: "queue is full"} }
		_, err := c.Exec(context.Background(), "INSERT a")
		wantState(t, err, route.CodeNotRun)
		if !strings.Contains(err.Error(), "queue is full") {
			t.Fatalf("error %v, want it to contain the owner's message", err)
		}
		owner.router.begin = nil
		owner.router.finish = failUnknownOutcome
		wantCode(t, c, route.CodeUnknownOutcome, "INSERT b")
	})
}

// Guards against a request that fails because its pooled connection leads to an
// owner that has been shut down.
func TestRequestRetriedAfterOwnerShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner, entry, address, _ := newForwardingProxies(t)
		c := connect(t, owner.n, address, "")
		mustExec(t, c, "INSERT a")
		_, other := startServer(t, owner.n, Options{Router: owner.router, AcceptForwards: true})
		if err := owner.server.Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
		entry.begin = func(n int) error {
			if n == 2 {
				entry.mu.Lock()
				entry.backends = []string{other}
				entry.mu.Unlock()
			}
			return nil
		}
		mustExec(t, c, "INSERT b")
		wantEffects(t, owner.backends[0], "INSERT a", "INSERT b")
	})
}

// Guards against an unknown outcome for a request that a draining owner has not
// started. A backend server may end a session at any time, so there the outcome is
// unknown.
func TestSessionEndedByPeer(t *testing.T) {
	for _, forwarded := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, nil)
			w.router.forwarded = forwarded
			w.backends[0].injectFaults("INSERT a", endSession)
			c := w.connect(t, "")
			got := execState(t, c, "INSERT a")
			if forwarded && got != "" || !forwarded && got != route.CodeUnknownOutcome {
				t.Fatalf("forwarded %v: SQLSTATE %q, want success if forwarded, else an unknown outcome", forwarded, got)
			}
		})
	}
}

// Guards against an entry host that does not retry a request with a key, or that
// drops the key, when the connection to the owner is lost, and against one that
// retries a request without a key.
func TestOwnerConnectionLost(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		w.router.forwarded = true
		w.backends[0].injectFaults("INSERT a", dropBefore, noFault, dropBefore)
		mustExec(t, c, "INSERT a /*request_key='k1'*/")
		wantCode(t, c, route.CodeUnknownOutcome, "INSERT a")
		prologues := 0
		for _, sql := range w.backends[0].statements() {
			if strings.Contains(sql, settingPrefix+settingForward) && strings.Contains(sql, `"key":"k1"`) {
				prologues++
			}
		}
		if prologues != 2 {
			t.Fatalf("%d forwarded requests carried the key, want 2", prologues)
		}
	})
}

// Guards against a cancel request that is lost, or that cancels a statement of the
// next transaction on the connection.
func TestCancel(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		ctx := context.Background()
		failed := make(chan error, 1)
		go func() {
			_, err := c.Exec(ctx, "SELECT wait")
			failed <- err
		}()
		<-w.backends[0].waiting
		w.cancel(t, c, c.PgConn().SecretKey())
		wantState(t, <-failed, "57014")
		if got := w.router.released(); !slices.Equal(got, []bool{false}) {
			t.Fatalf("cancelled connection was released as clean: %v, want false", got)
		}
		// No statement runs now, so the request must not be forwarded.
		w.cancel(t, c, c.PgConn().SecretKey())
		if n := len(w.backends[0].cancelled); n != 1 {
			t.Fatalf("server got %d cancel requests, want 1", n)
		}
	})
}

// Guards against a cancel request that does not end the wait for a connection.
func TestCancelWhileQueued(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		w.router.queue = make(chan struct{}, 1)
		done := make(chan error, 1)
		go func() {
			_, err := c.Exec(context.Background(), "INSERT a")
			done <- err
		}()
		<-w.router.queue
		w.cancel(t, c, c.PgConn().SecretKey())
		wantState(t, <-done, codeQueryCanceled)
		w.router.queue = nil
		mustExec(t, c, "INSERT b")
		wantEffects(t, w.backends[0], "INSERT b")
	})
}

// Guards against a cancel request with a wrong secret that cancels a statement.
func TestCancelNeedsTheSecret(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		done := make(chan error, 1)
		go func() {
			_, err := c.Exec(context.Background(), "SELECT wait")
			done <- err
		}()
		<-w.backends[0].waiting
		w.cancel(t, c, []byte{0, 0, 0, 0})
		close(w.backends[0].gate)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		if n := len(w.backends[0].cancelled); n != 0 {
			t.Fatalf("server got %d cancel requests, want none", n)
		}
	})
}

// Guards against a Shutdown that interrupts a running transaction, or that waits for
// idle sessions.
func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		idle, busy, long := w.connect(t, ""), w.connect(t, ""), w.connect(t, "")
		mustExec(t, idle, "SELECT 1")
		mustExec(t, busy, "BEGIN")
		mustExec(t, busy, "INSERT a")
		// A session that is idle for longer than bufferRetention holds no buffer.
		time.Sleep(10 * time.Second)
		mustExec(t, long, "SELECT 1")
		done := make(chan error, 1)
		go func() { done <- w.server.Shutdown(context.Background()) }()
		synctest.Wait()
		for _, c := range []*pgx.Conn{idle, long} {
			_, err := c.Exec(context.Background(), "SELECT 1")
			if err == nil {
				t.Fatal("idle session was not ended")
			}
			var pe *pgconn.PgError
			if errors.As(err, &pe) && pe.Code != codeAdminShutdown {
				t.Fatalf("idle session ended with %v, want SQLSTATE 57P01", err)
			}
		}
		if _, err := tryConnect(w.n, w.address, ""); err == nil {
			t.Fatal("new connection was accepted")
		}
		mustExec(t, busy, "INSERT b")
		mustExec(t, busy, "COMMIT")
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		wantEffects(t, w.backends[0], "INSERT a", "INSERT b")
	})
}

// Guards against a Shutdown that waits for a connection which does not complete its
// start-up phase.
func TestShutdownDuringStartup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		nc, err := w.n.dial(context.Background(), "tcp", w.address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		synctest.Wait()
		start := time.Now()
		if err := w.server.Shutdown(context.Background()); err != nil {
			t.Fatal(err)
		}
		if d := time.Since(start); d != 0 {
			t.Fatalf("Shutdown took %v, want no wait", d)
		}
	})
}

// Guards against a Shutdown that waits for a transaction beyond the end of its
// context.
func TestShutdownIsBounded(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		mustExec(t, c, "BEGIN")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := w.server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("Shutdown returned %v, want context.DeadlineExceeded", err)
		}
		if w.server.Sessions() != 0 {
			t.Fatal("sessions remain after Shutdown")
		}
	})
}

// Guards against a caller that occupies a connection with an idle transaction.
func TestIdleInTransaction(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		mustExec(t, c, "BEGIN")
		mustExec(t, c, "INSERT a")
		time.Sleep(2 * defaultIdleInTransaction)
		if _, err := c.Exec(context.Background(), "COMMIT"); err == nil {
			t.Fatal("commit after the timeout was accepted")
		}
		wantEffects(t, w.backends[0])
		if got := w.router.released(); !slices.Equal(got, []bool{false}) {
			t.Fatalf("connections were released as clean: %v, want one false", got)
		}
	})
}

// Guards against an answer that is buffered without bound while its caller does not
// read.
func TestBackPressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		var mu sync.Mutex
		sent := 0
		w.n.record = func(address string, p []byte) {
			mu.Lock()
			defer mu.Unlock()
			if address == w.backends[0].address() {
				sent += len(p)
			}
		}
		c := w.connect(t, "")
		rows, err := c.Query(context.Background(), "SELECT rows 20000 1000")
		if err != nil {
			t.Fatal(err)
		}
		if !rows.Next() {
			t.Fatal(rows.Err())
		}
		synctest.Wait()
		mu.Lock()
		// The server can fill the buffers of its connection, of the session and
		// of the caller.
		if sent > 1<<20 {
			t.Errorf("server has sent %d bytes to a caller that does not read, want at most 1 MiB", sent)
		}
		mu.Unlock()
		n := 1
		for rows.Next() {
			n++
		}
		if n != 20000 || rows.Err() != nil {
			t.Fatalf("got %d rows and error %v, want 20000 rows", n, rows.Err())
		}
	})
}

// Guards against a wrong answer to a unit, with or without a key, that fails before
// its simple query: a server skips the query and everything up to the next Sync. Also
// guards against a time-out of a caller that pauses inside a unit.
func TestMixedUnit(t *testing.T) {
	for _, sql := range []string{"FAIL 22012", "FAIL 22012 /*request_key='k1'*/"} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestProxy(t, 1, nil)
			h, err := w.connect(t, "").PgConn().Hijack()
			if err != nil {
				t.Fatal(err)
			}
			defer h.Conn.Close()
			sent := make(chan error, 1)
			go func() {
				defer close(sent)
				for _, m := range []encoder{
					&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Query{String: "INSERT a"}, &pgproto3.Sync{},
				} {
					if _, err := h.Conn.Write(encode(t, m)); err != nil {
						sent <- err
						return
					}
					time.Sleep(defaultCallerTimeout + time.Second)
				}
			}()
			var got []string
			for {
				m, err := h.Frontend.Receive()
				if err != nil {
					t.Fatal(err)
				}
				if e, ok := m.(*pgproto3.ErrorResponse); ok && e.Code != "22012" {
					t.Errorf("%s: error %s %s", sql, e.Code, e.Message)
				}
				got = append(got, fmt.Sprintf("%T", m))
				if r, ok := m.(*pgproto3.ReadyForQuery); ok {
					if r.TxStatus != 'I' {
						t.Fatalf("transaction status %c, want I", r.TxStatus)
					}
					break
				}
			}
			want := []string{"*pgproto3.ParseComplete", "*pgproto3.BindComplete", "*pgproto3.ErrorResponse", "*pgproto3.ReadyForQuery"}
			if !slices.Equal(got, want) {
				t.Fatalf("answer %v, want that of a failed unit", got)
			}
			if err := <-sent; err != nil {
				t.Fatal(err)
			}
			wantEffects(t, w.backends[0])
		})
	}
}

// Guards against a caller that occupies a connection by not reading its answer.
func TestCallerThatDoesNotRead(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		rows, err := c.Query(context.Background(), "SELECT rows 20000 1000")
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * defaultCallerTimeout)
		// The first release follows the preparation of the statement.
		if got := w.router.released(); !slices.Equal(got, []bool{true, false}) {
			t.Fatalf("connections were released as clean: %v, want true and false", got)
		}
		rows.Close()
	})
}

// Guards against a deadlock when a large unit and its answers exceed the buffers
// of the connection.
func TestLargePipeline(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		batch := &pgx.Batch{}
		const n = 300
		for i := range n {
			batch.Queue("SELECT $1", strings.Repeat("y", 1000)+fmt.Sprint(i))
		}
		results := c.SendBatch(context.Background(), batch)
		for i := range n {
			var v string
			if err := results.QueryRow().Scan(&v); err != nil {
				t.Fatal(err)
			}
			if !strings.HasSuffix(v, "y"+fmt.Sprint(i)) {
				t.Fatalf("answer %d is that of another statement", i)
			}
		}
		if err := results.Close(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a COPY FROM STDIN that loses data or does not end.
func TestCopyIn(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		text := strings.Repeat("line\n", 20000)
		tag, err := c.PgConn().CopyFrom(context.Background(), strings.NewReader(text), "COPY t FROM STDIN")
		if err != nil || tag.String() != "COPY 1" {
			t.Fatalf("got tag %q and error %v, want COPY 1", tag, err)
		}
		wantEffects(t, w.backends[0], fmt.Sprintf("COPY %d bytes", len(text)))
		mustExec(t, c, "INSERT a")
	})
}

// Guards against a COPY by the extended protocol that ends at the wrong Sync: a
// server ignores a Sync that arrives during the COPY.
func TestCopyInByExtendedProtocol(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, nil)
		h, err := w.connect(t, "").PgConn().Hijack()
		if err != nil {
			t.Fatal(err)
		}
		defer h.Conn.Close()
		send := func(messages ...encoder) {
			if _, err := h.Conn.Write(encode(t, messages...)); err != nil {
				t.Fatal(err)
			}
		}
		receive := func() pgproto3.BackendMessage {
			m, err := h.Frontend.Receive()
			if err != nil {
				t.Fatal(err)
			}
			return m
		}
		send(&pgproto3.Parse{Query: "COPY t FROM STDIN"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
		for {
			if _, ok := receive().(*pgproto3.CopyInResponse); ok {
				break
			}
		}
		send(&pgproto3.CopyData{Data: []byte("line\n")}, &pgproto3.CopyDone{}, &pgproto3.Sync{})
		if m, ok := receive().(*pgproto3.CommandComplete); !ok || string(m.CommandTag) != "COPY 1" {
			t.Fatalf("got %#v, want CommandComplete of the COPY", m)
		}
		if m, ok := receive().(*pgproto3.ReadyForQuery); !ok || m.TxStatus != 'I' {
			t.Fatalf("got %#v, want ReadyForQuery with status I", m)
		}
		send(&pgproto3.Query{String: "INSERT a"})
		if m, ok := receive().(*pgproto3.CommandComplete); !ok || string(m.CommandTag) != "INSERT 0 1" {
			t.Fatalf("got %#v, want CommandComplete of the INSERT", m)
		}
		receive()
		wantEffects(t, w.backends[0], "COPY 5 bytes", "INSERT a")
	})
}

// Guards against a unit that takes more memory than MaxUnitBytes, and against a
// session that is unusable after such a unit.
func TestUnitLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, 1, func(o *Options) { o.MaxUnitBytes = 10000 })
		c := w.connect(t, "")
		batch := &pgx.Batch{}
		for range 20 {
			batch.Queue("SELECT $1", strings.Repeat("y", 1000))
		}
		err := c.SendBatch(context.Background(), batch).Close()
		wantState(t, err, codeLimitExceeded)
		mustExec(t, c, "INSERT a")
		wantEffects(t, w.backends[0], "INSERT a")
	})
}

// Guards against answers that are not sent at a Flush but only at the Sync after it.
func TestFlush(t *testing.T) {
	withTestProxy(t, func(t *testing.T, w *testProxy, c *pgx.Conn) {
		ctx := context.Background()
		pipeline := c.PgConn().StartPipeline(ctx)
		pipeline.SendQueryParams("INSERT a", nil, nil, nil, nil)
		pipeline.SendFlushRequest()
		if err := pipeline.Flush(); err != nil {
			t.Fatal(err)
		}
		r, err := pipeline.GetResults()
		if err != nil {
			t.Fatal(err)
		}
		if tag, err := r.(*pgconn.ResultReader).Close(); err != nil || tag.String() != "INSERT 0 1" {
			t.Fatalf("got tag %q and error %v, want INSERT 0 1", tag, err)
		}
		if err := pipeline.Sync(); err != nil {
			t.Fatal(err)
		}
		if err := pipeline.Close(); err != nil {
			t.Fatal(err)
		}
		wantEffects(t, w.backends[0], "INSERT a")
		if w.router.finishes != 1 {
			t.Fatalf("Finish was called %d times, want 1", w.router.finishes)
		}
		pipeline = c.PgConn().StartPipeline(ctx)
		pipeline.SendQueryParams("FAIL 22012", nil, nil, nil, nil)
		pipeline.SendFlushRequest()
		pipeline.SendQueryParams("INSERT b", nil, nil, nil, nil)
		if err := pipeline.Sync(); err != nil {
			t.Fatal(err)
		}
		_, err = pipeline.GetResults()
		if r, ok := err.(*pgconn.PgError); ok && r.Code != "22012" {
			t.Fatal(err)
		}
		_ = pipeline.Close()
		mustExec(t, c, "INSERT c")
		wantEffects(t, w.backends[0], "INSERT a", "INSERT c")
	})
}
