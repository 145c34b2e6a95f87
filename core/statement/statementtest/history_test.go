package statementtest

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// Guards against a check of reads that fails, or checks nothing, between the step-down
// of a primary and the promotion of its successor.
func TestRequiredWritesWithoutPrimary(t *testing.T) {
	s := New("service", Options{}, "s1", "s2")
	servers := s.Catalog()
	primary := slices.IndexFunc(servers, func(server catalog.Server) bool { return server.Primary })
	conn, err := Backends{s}.Dial(context.Background(), servers[primary])
	if err != nil {
		t.Fatal(err)
	}
	exchange := func(st statement.Statement) {
		t.Helper()
		answers, _, err := conn.Exchange(time.Now().Add(time.Second), st)
		if err != nil || answers[0].Code != statement.OK {
			t.Fatalf("got %+v, %v", answers, err)
		}
	}
	exchange(statement.Statement{ID: "w1", Kind: statement.Write, Text: "WRITE a 1"})
	h := NewHistory(s, time.Second, time.Millisecond)
	h.acknowledged["w1"] = time.Now()
	exchange(statement.Statement{ID: "-", Kind: statement.Demote, Term: 2})
	if s.Primary() != "" {
		t.Fatalf("got primary %q after it stepped down, want none", s.Primary())
	}
	if got := h.required(time.Now().Add(time.Second)); len(got) != 1 || got[0] != "w1" {
		t.Errorf("got required writes %v, want w1", got)
	}
}
