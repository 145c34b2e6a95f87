package load

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/goleak"

	"github.com/gypsumgap/gypsumgap/core/group/pgcontrol"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
)

const testDatabase = "planting-1-a"

// Guards against goroutines and connections of callers that are leaked after the
// load has ended.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startGroup(t *testing.T) *dbgroup.Group {
	t.Helper()
	g, err := dbgroup.Start(dbgroup.Options{Name: testDatabase, Schema: Schema})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func testOptions(addresses ...string) Options {
	return Options{
		Addresses: addresses, Database: testDatabase, User: "crew", Run: "test",
		Sessions: 4, StatusPages: 1, Operations: 60, ReconnectEvery: 5, ReadClass: "own", Seed: 1,
	}
}

func run(t *testing.T, opts Options) *Record {
	t.Helper()
	record, err := Run(context.Background(), opts)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func check(t *testing.T, g *dbgroup.Group, record *Record) Report {
	t.Helper()
	client := pgcontrol.New(pgcontrol.Options{})
	defer client.Close()
	primary, err := FindPrimary(context.Background(), client, g.GroupSlots())
	if err != nil {
		t.Fatal(err)
	}
	report, err := Check(context.Background(), record, primary.Address, testDatabase, "crew")
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// Guards against false positives: a run without faults must report no violations.
func TestCleanRun(t *testing.T) {
	g := startGroup(t)
	report := check(t, g, run(t, testOptions(g.Slot(0).Address())))
	if report.Violations() != 0 || report.Acknowledged == 0 || report.Reads == 0 || report.StatusPageReads != 60 {
		t.Fatalf("got %+v", report)
	}
	if report.Unknown+report.Refused+report.Aborted != 0 || report.LongestGap <= 0 {
		t.Fatalf("got %+v", report)
	}
}

// Guards against a check that misses a lost or duplicated write, or one that is
// present although it was refused or aborted.
func TestCheckFindsFaults(t *testing.T) {
	g := startGroup(t)
	record := run(t, testOptions(g.Slot(0).Address()))
	var ids []string
	for _, w := range record.Writes() {
		ids = append(ids, w.ID)
	}
	conn, err := pgx.Connect(context.Background(), "postgres://crew@"+g.Slot(0).Address()+"/"+testDatabase)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(context.Background())
	for _, change := range []struct{ sql, id string }{
		{"DELETE FROM gypsumgap_load WHERE write_id = $1", ids[0]},
		{"INSERT INTO gypsumgap_load (write_id) VALUES ($1)", ids[1]},
		{"INSERT INTO gypsumgap_load (write_id) VALUES ($1)", "refused"},
		{"INSERT INTO gypsumgap_load (write_id) VALUES ($1)", "aborted"},
	} {
		if _, err := conn.Exec(context.Background(), change.sql, change.id); err != nil {
			t.Fatal(err)
		}
	}
	record.addWrite(Write{ID: "refused", Outcome: Refused}, 0)
	record.addWrite(Write{ID: "aborted", Outcome: Aborted}, 0)
	report := check(t, g, record)
	if report.Lost != 1 || report.Duplicated != 1 || report.RefusedPresent != 1 || report.AbortedPresent != 1 || report.Violations() != 4 {
		t.Fatalf("got %+v", report)
	}
}

// Guards against stale reads that go undetected. Without a proxy, a session that
// reconnects to other servers reads from replicas that lag.
func TestStaleReadsAreFound(t *testing.T) {
	g := startGroup(t)
	for _, slot := range g.Slots() {
		slot.SetApplyLag(24 * time.Hour)
	}
	report := check(t, g, run(t, testOptions(g.Addresses()...)))
	if report.StaleReads == 0 || report.Aborted == 0 || report.Lost != 0 || report.AbortedPresent != 0 {
		t.Fatalf("got %+v", report)
	}
}

// Guards against an error being classified as a definite outcome when the caller
// cannot know whether the write was committed.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		err  error
		want Outcome
	}{
		{nil, Acknowledged},
		{&pgconn.PgError{Code: "YG001"}, Refused},
		{&pgconn.PgError{Code: "08007"}, Unknown},
		{&pgconn.PgError{Code: "57P01", SeverityUnlocalized: "FATAL"}, Unknown},
		{&pgconn.PgError{Code: "40001", SeverityUnlocalized: "ERROR"}, Aborted},
		{pgx.ErrTxCommitRollback, Aborted},
		{context.DeadlineExceeded, Unknown},
		{errors.New("connection reset by peer"), Unknown},
	} {
		if got := outcomeOf(c.err); got != c.want {
			t.Errorf("%v: got %s, want %s", c.err, got, c.want)
		}
	}
}

// Guards against a gap that is not measured between acknowledged writes, or that
// omits the time from the last one to the end of the load.
func TestLongestGap(t *testing.T) {
	start := time.Unix(0, 0)
	r := newRecord(start)
	for _, w := range []Write{
		{Outcome: Acknowledged, Done: start.Add(1 * time.Second)},
		{Outcome: Unknown, Done: start.Add(3 * time.Second)},
		{Outcome: Acknowledged, Done: start.Add(6 * time.Second)},
	} {
		r.addWrite(w, time.Millisecond)
	}
	if r.LongestGap() != 5*time.Second {
		t.Fatalf("got %v, want 5s", r.LongestGap())
	}
	r.finish(start.Add(20 * time.Second))
	if r.LongestGap() != 14*time.Second {
		t.Fatalf("got %v, want 14s to the end", r.LongestGap())
	}
}
