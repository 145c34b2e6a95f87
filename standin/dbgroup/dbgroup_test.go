package dbgroup

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
)

const (
	testDatabase = "werkplaats-1-a"
	testSchema   = "CREATE TABLE jobs (id integer primary key, card text unique, done boolean, cost double precision, photo bytea)"
)

func startGroup(t testing.TB, change func(*Options)) *Group {
	t.Helper()
	opts := Options{Name: testDatabase, Size: 3, Schema: []string{testSchema}}
	if change != nil {
		change(&opts)
	}
	g, err := Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func connect(t testing.TB, s *Slot) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(context.Background(), "postgres://mechanic@"+s.Address()+"/"+testDatabase)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func TestSmoke(t *testing.T) {
	g := startGroup(t, nil)
	ctx := context.Background()
	c := connect(t, g.Slot(0))
	if tag, err := c.Exec(ctx, "INSERT INTO jobs (id, card, done, cost) VALUES ($1, $2, $3, $4)", 1, "a", true, 1.5); err != nil || tag.String() != "INSERT 0 1" {
		t.Fatal(tag, err)
	}
	var card string
	var done bool
	var cost float64
	if err := c.QueryRow(ctx, "SELECT card, done, cost FROM jobs WHERE id=$1", 1).Scan(&card, &done, &cost); err != nil {
		t.Fatal(err)
	}
	t.Log(card, done, cost)
	var n int
	if err := c.QueryRow(ctx, "SELECT count(*) FROM jobs").Scan(&n); err != nil || n != 1 {
		t.Fatal(n, err)
	}
}

func BenchmarkSelectByKey(b *testing.B) {
	g := startGroup(b, nil)
	ctx := context.Background()
	c := connect(b, g.Slot(0))
	if _, err := c.Exec(ctx, "INSERT INTO jobs (id, card) VALUES (1, 'card')"); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var card string
		if err := c.QueryRow(ctx, "SELECT card FROM jobs WHERE id=$1", 1).Scan(&card); err != nil {
			b.Fatal(err)
		}
	}
}
