package dbgroup

import (
	"slices"
	"testing"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/gypsumgap/gypsumgap/standin/dbgroup/internal/sqlite"
)

// TestInferTypes guards against inferred parameter types that make a client send a value
// in a form that does not match the column.
func TestInferTypes(t *testing.T) {
	db, err := sqlite.Open(t.TempDir() + "/infer.db")
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	for _, sql := range []string{
		"CREATE TABLE jobs (id integer primary key, card text unique, done boolean, cost double precision, due timestamptz)",
		"CREATE INDEX jobs_done ON jobs (done, due)",
		"CREATE TABLE shares (host text, n integer, primary key (n, host)) WITHOUT ROWID",
	} {
		if err := db.Exec(sql); err != nil {
			t.Fatal(err)
		}
	}
	const (
		none  = unknownOID
		int8  = pgtype.Int8OID
		text  = pgtype.TextOID
		boole = pgtype.BoolOID
		float = pgtype.Float8OID
		due   = pgtype.TimestamptzOID
	)
	for sql, want := range map[string][]uint32{
		"INSERT INTO jobs (card, id, done, due) VALUES ($1,$2,$3,$4)":      {text, int8, boole, due},
		"INSERT INTO jobs VALUES ($1,$2,$3,$4,$5), ($6,$7,$8,$9,$10)":      {int8, text, boole, float, due, int8, text, boole, float, due},
		"INSERT INTO jobs (card) VALUES ($1) RETURNING id":                 {text},
		"UPDATE jobs SET done = $1, due = $2 WHERE id = $3":                {boole, due, int8},
		"UPDATE jobs SET cost = cost + $1 WHERE card = $2":                 {none, text},
		"UPDATE jobs SET card = CAST($1 AS integer)":                       {none},
		"SELECT * FROM jobs WHERE card = $1 AND due > $2":                  {text, due},
		"SELECT * FROM jobs WHERE done = $1 AND due > $2 AND due < $3":     {boole, due, due},
		"SELECT * FROM jobs WHERE cost >= $1 LIMIT $2":                     {float, int8},
		"SELECT count(*) FROM jobs j JOIN jobs k USING (id) WHERE k.id=$1": {int8},
		"SELECT upper($1)": {none},
		"INSERT INTO jobs (id, card) VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET card = $3": {int8, text, text},
		"DELETE FROM jobs WHERE done = $1": {boole},
	} {
		if got := inferTypes(db, sql, len(want)); !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", sql, got, want)
		}
	}
	for _, sql := range []string{
		"INSERT INTO shares (host, n) VALUES ($1, $2)",
		"SELECT * FROM shares WHERE host = $1 AND n = $2",
	} {
		for i, got := range inferTypes(db, sql, 2) {
			if want := []uint32{text, int8}[i]; got != none && got != want {
				t.Errorf("%s: $%d got %d, want %d or none", sql, i+1, got, want)
			}
		}
	}
}
