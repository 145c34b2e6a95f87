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

// Guards against a stand-in that runs Resume as a read, so that a replica stays paused
// in tests where a real one goes on.
func TestResumeEndsPause(t *testing.T) {
	s := New("service", Options{}, "s1", "s2")
	dial := func(id string) statement.Conn {
		conn, err := Backends{s}.Dial(context.Background(), catalog.Server{ID: id, Service: "service"})
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	primary, replica := dial("s1"), dial("s2")
	exchange := func(conn statement.Conn, st statement.Statement) statement.Answer {
		t.Helper()
		answers, _, err := conn.Exchange(time.Now().Add(time.Second), st)
		if err != nil || answers[0].Code != statement.OK {
			t.Fatalf("statement %d: got %+v, %v", st.Kind, answers, err)
		}
		return answers[0]
	}
	read := statement.Statement{ID: "r", Kind: statement.Read, Text: "READ a"}
	exchange(replica, statement.Statement{Kind: statement.Pause, Term: 2})
	exchange(primary, statement.Statement{ID: "w", Kind: statement.Write, Text: "WRITE a 1"})
	if a := exchange(replica, read); len(a.Rows) != 0 {
		t.Errorf("paused replica returned %v, want nothing", a.Rows)
	}
	if a := exchange(replica, statement.Statement{Kind: statement.Resume}); len(a.Rows) != 1 {
		t.Errorf("resume returned rows %v, want the status", a.Rows)
	}
	if a := exchange(replica, read); !slices.Equal(a.Rows, []string{"1"}) {
		t.Errorf("resumed replica returned %v, want the commit", a.Rows)
	}
}
