package session

import (
	"testing"
)

// Guards against an unusable path: plain and prepared statements, and a
// transaction block.
func TestStatementsThroughRouter(t *testing.T) {
	b := newFakeBackend(t)
	r := newFakeRouter(t, b)
	_, address := startServer(t, Options{Router: r})
	c := connect(t, address, "")
	if got := mustExec(t, c, "INSERT a"); got != "INSERT 0 1" {
		t.Fatalf("tag %q", got)
	}
	if got := queryString(t, c, "SELECT $1", "x"); got != "x" {
		t.Fatalf("row %q", got)
	}
	mustExec(t, c, "BEGIN")
	mustExec(t, c, "INSERT b")
	mustExec(t, c, "COMMIT")
	if got := b.effects(); len(got) != 2 {
		t.Fatalf("effects %q", got)
	}
}
