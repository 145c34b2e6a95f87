package dbgroup_test

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
)

// TestDriverTypes guards against values that change on a round trip in the default mode of
// the pgx driver, which prepares statements and requests binary results.
func TestDriverTypes(t *testing.T) {
	c := connect(t, startGroup(t, nil).Slot(0))
	due := time.Date(2026, 12, 4, 5, 20, 0, 123000, time.UTC)
	part := "0c9b7f0e-2f56-4a65-9a0c-0d7a1f3c9e11"
	photo := []byte{0, 1, 0xff}
	exec(t, c, "INSERT INTO jobs (id, card, done, cost, photo, due, part, price) VALUES ($1, $2, $3, $4, $5, $6, $7, $8)",
		int64(1)<<40, "it's ü", true, 1.5, photo, due, part, "12.25")
	var (
		id        int64
		card      string
		done      bool
		cost      float64
		gotPhoto  []byte
		gotDue    time.Time
		gotPart   string
		price     float64
		none      *string
		countText string
	)
	row := c.QueryRow(background, "SELECT id, card, done, cost, photo, due, part, price, null, count(*) FROM jobs WHERE id = $1", int64(1)<<40)
	if err := row.Scan(&id, &card, &done, &cost, &gotPhoto, &gotDue, &gotPart, &price, &none, &countText); err != nil {
		t.Fatal(err)
	}
	if id != 1<<40 || card != "it's ü" || !done || cost != 1.5 || !bytes.Equal(gotPhoto, photo) {
		t.Fatalf("got id %v, card %q, done %v, cost %v, photo %v; want the inserted values", id, card, done, cost, gotPhoto)
	}
	if !gotDue.Equal(due) || gotPart != part || price != 12.25 || none != nil || countText != "1" {
		t.Fatalf("got due %v, part %v, price %v, null %v, count %v; want the inserted values, null and 1", gotDue, gotPart, price, none, countText)
	}
	if n := count(t, c, "done = true AND typeof(photo) = 'blob' AND typeof(cost) = 'real'"); n != 1 {
		t.Fatal("values are stored with a different type than they were sent with")
	}
}

// TestDriverModes guards against query modes of the pgx driver that give different results.
func TestDriverModes(t *testing.T) {
	s := startGroup(t, nil).Slot(0)
	exec(t, connect(t, s), insertJob, 7, "card")
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		c := connect(t, s)
		var id int
		var card string
		if err := c.QueryRow(background, "SELECT id, card FROM jobs WHERE id = $1", mode, 7).Scan(&id, &card); err != nil || id != 7 || card != "card" {
			t.Fatalf("%v: got id %d, card %q, error %v; want 7 and card", mode, id, card, err)
		}
	}
}

// TestSQLStates guards against wrong SQLSTATEs, on which a proxy and its callers depend.
func TestSQLStates(t *testing.T) {
	c := connect(t, startGroup(t, nil).Slot(0))
	exec(t, c, insertJob, 1, "a")
	for sql, code := range map[string]string{
		"INSERT INTO jobs (id, card) VALUES (1, 'b')":              "23505",
		"INSERT INTO jobs (id, card) VALUES (2, 'a')":              "23505",
		"INSERT INTO gypsumgap_request_log (absent) VALUES (null)": "42703",
		"SELECT * FROM nowhere":                                    "42P01",
		"SELEC 1":                                                  "42601",
	} {
		_, err := c.Exec(background, sql)
		wantCode(t, err, code)
	}
	var violation *pgconn.PgError
	_, err := c.Exec(background, insertJob, 3, "a")
	if !errors.As(err, &violation) || violation.ConstraintName != "jobs_card_key" {
		t.Fatalf("got error %v, want constraint jobs_card_key", err)
	}
}

// TestTransactions guards against writes of a failed or rolled-back transaction that persist.
func TestTransactions(t *testing.T) {
	c := connect(t, startGroup(t, nil).Slot(0))
	tx, err := c.Begin(background)
	if err != nil {
		t.Fatal(err)
	}
	exec(t, c, insertJob, 1, "a")
	if status := c.PgConn().TxStatus(); status != 'T' {
		t.Fatalf("in a transaction: got status %c, want T", status)
	}
	_, err = c.Exec(background, insertJob, 1, "again")
	wantCode(t, err, "23505")
	if status := c.PgConn().TxStatus(); status != 'E' {
		t.Fatalf("after an error: got status %c, want E", status)
	}
	_, err = c.Exec(background, "SELECT 1")
	wantCode(t, err, "25P02")
	if err := tx.Commit(background); !errors.Is(err, pgx.ErrTxCommitRollback) {
		t.Fatalf("commit of a failed transaction: got error %v, want pgx.ErrTxCommitRollback", err)
	}
	if n := count(t, c, "true"); n != 0 {
		t.Fatalf("got %d rows of a failed transaction, want 0", n)
	}
}

// TestSavepoints guards against a rollback to a savepoint that undoes too many or too few
// writes, on the primary or on a replica.
func TestSavepoints(t *testing.T) {
	g := startGroup(t, nil)
	c := connect(t, g.Slot(0))
	outer, err := c.Begin(background)
	if err != nil {
		t.Fatal(err)
	}
	exec(t, c, insertJob, 1, "kept")
	inner, err := outer.Begin(background)
	if err != nil {
		t.Fatal(err)
	}
	exec(t, c, insertJob, 2, "undone")
	if _, err := c.Exec(background, insertJob, 1, "fails"); err == nil {
		t.Fatal("insert of a duplicate succeeded, want an error")
	}
	if err := inner.Rollback(background); err != nil {
		t.Fatal(err)
	}
	exec(t, c, insertJob, 3, "kept too")
	if err := outer.Commit(background); err != nil {
		t.Fatal(err)
	}
	awaitApplied(t, g.Slot(1), g.Slot(0).Status().Received)
	for _, s := range []*dbgroup.Slot{g.Slot(0), g.Slot(1)} {
		rows, _ := connect(t, s).Query(background, "SELECT id FROM jobs ORDER BY id")
		ids, err := pgx.CollectRows(rows, pgx.RowTo[int])
		if err != nil || !slices.Equal(ids, []int{1, 3}) {
			t.Fatalf("%s: got rows %v, error %v; want rows 1 and 3", s.ID(), ids, err)
		}
	}
}

// TestPipeline guards against responses that are lost or reordered when messages are
// pipelined before one Sync, and against a failed pipeline whose first writes
// persist.
func TestPipeline(t *testing.T) {
	c := connect(t, startGroup(t, nil).Slot(0))
	batch := &pgx.Batch{}
	for i := range 20 {
		batch.Queue(insertJob, i, "card")
		batch.Queue("UPDATE jobs SET card = $2 WHERE id = $1", i, string(rune('a'+i)))
		batch.Queue("SELECT card FROM jobs WHERE id = $1", i)
	}
	results := c.SendBatch(background, batch)
	for i := range 20 {
		_, err1 := results.Exec()
		_, err2 := results.Exec()
		var card string
		err3 := results.QueryRow().Scan(&card)
		if err := errors.Join(err1, err2, err3); err != nil || card != string(rune('a'+i)) {
			t.Fatalf("item %d: got card %q, error %v", i, card, err)
		}
	}
	if err := results.Close(); err != nil {
		t.Fatal(err)
	}
	failing := &pgx.Batch{}
	failing.Queue(insertJob, 100, "new")
	failing.Queue(insertJob, 0, "duplicate")
	wantCode(t, c.SendBatch(background, failing).Close(), "23505")
	if n := count(t, c, "id = 100"); n != 0 {
		t.Fatal("first write of a failed pipeline persisted")
	}
}

// TestSimpleScript guards against a simple query that is split at the wrong semicolon, or
// whose first statements persist when a later one fails.
func TestSimpleScript(t *testing.T) {
	c := connect(t, startGroup(t, nil).Slot(0))
	script := "/* c; */ INSERT INTO jobs (id, card) VALUES (1, 'a;b'); SET x = 'y'; SELECT card FROM jobs; -- end;"
	results, err := c.PgConn().Exec(background, script).ReadAll()
	if err != nil || len(results) != 3 || string(results[2].Rows[0][0]) != "a;b" {
		t.Fatalf("got %d results, error %v; want 3, the last one with a;b", len(results), err)
	}
	_, err = c.PgConn().Exec(background, "INSERT INTO jobs (id) VALUES (2); INSERT INTO jobs (id) VALUES (1)").ReadAll()
	wantCode(t, err, "23505")
	if n := count(t, c, "true"); n != 1 {
		t.Fatalf("got %d rows, want 1", n)
	}
}

// TestLargeResult guards against a large result that is truncated.
func TestLargeResult(t *testing.T) {
	c := connect(t, startGroup(t, nil).Slot(0))
	series := "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i+1 FROM n WHERE i < 50000) SELECT i FROM n"
	rows, _ := c.Query(background, series)
	values, err := pgx.CollectRows(rows, pgx.RowTo[int])
	if err != nil || len(values) != 50000 || values[49999] != 50000 {
		t.Fatalf("got %d rows, error %v; want 50000", len(values), err)
	}
}

// TestPortalInParts guards against rows that are repeated or skipped when a portal is
// executed in parts.
func TestPortalInParts(t *testing.T) {
	hijacked, err := connect(t, startGroup(t, nil).Slot(0)).PgConn().Hijack()
	if err != nil {
		t.Fatal(err)
	}
	defer hijacked.Conn.Close()
	frontend := hijacked.Frontend
	frontend.SendParse(&pgproto3.Parse{Query: "VALUES (1), (2), (3)"})
	frontend.SendBind(&pgproto3.Bind{})
	frontend.SendExecute(&pgproto3.Execute{MaxRows: 2})
	frontend.SendExecute(&pgproto3.Execute{MaxRows: 2})
	frontend.SendSync(&pgproto3.Sync{})
	if err := frontend.Flush(); err != nil {
		t.Fatal(err)
	}
	var got string
	for !strings.HasSuffix(got, "Z") {
		msg, err := frontend.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch msg := msg.(type) {
		case *pgproto3.DataRow:
			got += string(msg.Values[0])
		case *pgproto3.PortalSuspended:
			got += "s"
		case *pgproto3.CommandComplete:
			got += string(msg.CommandTag)
		case *pgproto3.ReadyForQuery:
			got += "Z"
		}
	}
	if got != "12s3SELECT 1Z" {
		t.Fatalf("got messages %s, want 12s3SELECT 1Z", got)
	}
}

// TestCancel guards against a cancel request that is ignored, or that cancels the next
// statement.
func TestCancel(t *testing.T) {
	s := startGroup(t, nil).Slot(0)
	for _, slow := range []string{
		"SELECT pg_sleep(3600)",
		"WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i+1 FROM n) SELECT max(i) FROM n",
	} {
		c := connect(t, s).PgConn()
		done := make(chan error, 1)
		go func() {
			_, err := c.Exec(background, slow).ReadAll()
			done <- err
		}()
		canceller := connect(t, s)
		var err error
		for waiting := true; waiting; {
			if err := c.CancelRequest(background); err != nil {
				t.Fatal(err)
			}
			select {
			case err = <-done:
				waiting = false
			default:
				exec(t, canceller, "SELECT 1")
			}
		}
		wantCode(t, err, "57014")
		if _, err := c.Exec(background, "SELECT 1").ReadAll(); err != nil {
			t.Fatalf("statement after the cancel request: %v", err)
		}
	}
}

// BenchmarkSelectByKey guards against a group that is too slow to measure a proxy with.
func BenchmarkSelectByKey(b *testing.B) {
	c := connect(b, startGroup(b, nil).Slot(0))
	exec(b, c, insertJob, 1, "card")
	b.ReportAllocs()
	for b.Loop() {
		var card string
		if err := c.QueryRow(background, "SELECT card FROM jobs WHERE id = $1", 1).Scan(&card); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkInsert measures single-row inserts on one connection.
func BenchmarkInsert(b *testing.B) {
	c := connect(b, startGroup(b, nil).Slot(0))
	id := 0
	for b.Loop() {
		id++
		exec(b, c, "INSERT INTO jobs (id) VALUES ($1)", id)
	}
}

// BenchmarkConnect measures a connection with one statement.
func BenchmarkConnect(b *testing.B) {
	s := startGroup(b, nil).Slot(0)
	for b.Loop() {
		c, err := tryConnect(s)
		if err != nil {
			b.Fatal(err)
		}
		exec(b, c, "SELECT 1")
		_ = c.Close(background)
	}
}

// BenchmarkSelectByKeyParallel is BenchmarkSelectByKey with one connection per processor.
func BenchmarkSelectByKeyParallel(b *testing.B) {
	s := startGroup(b, nil).Slot(0)
	exec(b, connect(b, s), insertJob, 1, "card")
	b.RunParallel(func(pb *testing.PB) {
		c, err := tryConnect(s)
		if err != nil {
			b.Error(err)
			return
		}
		defer c.Close(background)
		for pb.Next() {
			var card string
			if err := c.QueryRow(background, "SELECT card FROM jobs WHERE id = $1", 1).Scan(&card); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// TestResetOfSettings guards against a stand-in on whose connections settings outlive a
// reset, so that tests of pooled connections do not notice those of another session.
func TestResetOfSettings(t *testing.T) {
	c := connect(t, startGroup(t, nil).Slot(0))
	show := func(name string) string {
		var value string
		if err := c.QueryRow(background, "SHOW "+name).Scan(&value); err != nil {
			return ""
		}
		return value
	}
	initial := show("application_name")
	for _, reset := range []string{"RESET ALL", "DISCARD ALL", "RESET application_name"} {
		exec(t, c, "SET application_name = 'other'")
		if got := show("application_name"); got != "other" {
			t.Fatalf("application_name is %q after SET", got)
		}
		exec(t, c, reset)
		if got := show("application_name"); got != initial {
			t.Errorf("application_name is %q after %s, want %q", got, reset, initial)
		}
	}
	exec(t, c, "SET my.tenant = 't1'")
	exec(t, c, "DISCARD ALL")
	if got := show("my.tenant"); got != "" {
		t.Errorf("my.tenant is %q after DISCARD ALL, want none", got)
	}
	exec(t, c, "BEGIN")
	_, err := c.Exec(background, "DISCARD ALL")
	wantCode(t, err, "25001")
}
