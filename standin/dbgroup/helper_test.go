package dbgroup_test

import (
	"context"
	"errors"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
)

const (
	testDatabase = "werkplaats-1-a"
	testSchema   = `CREATE TABLE jobs (id integer primary key, card text unique, done boolean,
		cost double precision, photo bytea, due timestamptz, part uuid, price numeric)`
	insertJob = "INSERT INTO jobs (id, card) VALUES ($1, $2)"
	// silenceProbeCount is the number of round trips on another connection after
	// which a response that has not arrived is taken as withheld.
	silenceProbeCount = 300
)

var background = context.Background()

// startGroup starts a group of three slots, unless change sets another size, until
// the end of the test.
func startGroup(t testing.TB, change func(*dbgroup.Options)) *dbgroup.Group {
	t.Helper()
	opts := dbgroup.Options{Name: testDatabase, Size: 3, Schema: []string{testSchema}}
	if change != nil {
		change(&opts)
	}
	g, err := dbgroup.Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func connect(t testing.TB, s *dbgroup.Slot) *pgx.Conn {
	t.Helper()
	conn, err := tryConnect(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(background) })
	return conn
}

func tryConnect(s *dbgroup.Slot) (*pgx.Conn, error) {
	return pgx.Connect(background, "postgres://mechanic@"+s.Address()+"/"+testDatabase)
}

func exec(t testing.TB, c *pgx.Conn, sql string, args ...any) string {
	t.Helper()
	tag, err := c.Exec(background, sql, args...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return tag.String()
}

// count returns the number of jobs that match the condition.
func count(t testing.TB, c *pgx.Conn, where string) int {
	t.Helper()
	var n int
	if err := c.QueryRow(background, "SELECT count(*) FROM jobs WHERE "+where).Scan(&n); err != nil {
		t.Fatal(err)
	}
	return n
}

// wantCode fails the test unless err is an error response with the SQLSTATE.
func wantCode(t testing.TB, err error, code string) {
	t.Helper()
	var pg *pgconn.PgError
	if !errors.As(err, &pg) || pg.Code != code {
		t.Fatalf("got error %v, want SQLSTATE %s", err, code)
	}
}

// await polls until the condition holds. It has no deadline of its own: a condition
// that never holds runs into the timeout of the test binary.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	t.Logf("waiting until %s", what)
	for !condition() {
		runtime.Gosched()
	}
}

func awaitApplied(t testing.TB, s *dbgroup.Slot, p group.Position) {
	t.Helper()
	await(t, s.ID()+" has applied "+p.String(), func() bool { return s.Status().Applied.Covers(p) })
}

// requireNoError fails the test on an error. It takes the results of a command.
func requireNoError(t testing.TB, _ group.Status, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
