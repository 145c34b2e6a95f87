package backend

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

// inSession runs a test with a host that uses its own connections, and with one whose
// statements an owner runs.
func inSession(t *testing.T, test func(t *testing.T, service *statementtest.Service, g *Group)) {
	for name, forwarded := range map[string]bool{"own connections": false, "forwarded": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newForwarding()
				defer f.close()
				if !forwarded {
					f.entry.SetOwners(nil)
				}
				test(t, f.service, f.entry)
			})
		})
	}
}

func sessionOf(tenant string) Session {
	return Session{Values: map[string]string{"tenant": tenant}}
}

// acquirePrimary returns a connection to the primary.
func acquirePrimary(t *testing.T, g *Group) *Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := g.Primary().Acquire(ctx, writeClass)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// valuesOf runs a read in a session and returns the session values that the server used.
func valuesOf(t *testing.T, c *Conn, want Session) string {
	t.Helper()
	answers, _, err := c.Exchange(time.Now().Add(time.Second), want, statement.Statement{ID: "r", Kind: statement.Read, Text: "READ item"})
	if err != nil || answers[0].Code != statement.OK {
		t.Fatalf("got answers %+v and error %v, want a successful read", answers, err)
	}
	sig, err := statementtest.ParseSignature(answers[0].Signature)
	if err != nil {
		t.Fatal(err)
	}
	return sig.Values
}

// Guards against a statement that runs with the session values of another caller
// (PINNED): the server refused the new values, since it had lost the primary's role
// during the transaction, and the host took them for applied.
func TestRefusedValuesDoNotCountAsSet(t *testing.T) {
	inSession(t, func(t *testing.T, service *statementtest.Service, g *Group) {
		c := acquirePrimary(t, g)
		deadline := time.Now().Add(time.Second)
		if answers, _, err := c.ExchangeAsPrimary(deadline, sessionOf("t1"), statement.Statement{Kind: statement.Begin}); err != nil || answers[0].Code != statement.OK {
			t.Fatalf("got answers %+v and error %v, want a transaction", answers, err)
		}
		if err := service.Promote(context.Background(), objects.Promotion{Server: "s2", Token: 1}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		answers, _, err := c.ExchangeAsPrimary(deadline, sessionOf("t2"), writeOf("w1"))
		if err != nil || answers[0].Code != statement.ReadOnly {
			t.Errorf("statement in the lost transaction got answers %+v and error %v, want the refusal of the server", answers, err)
		}
		c.Rollback()
		time.Sleep(100 * time.Millisecond)
		next := acquirePrimary(t, g)
		if got := valuesOf(t, next, sessionOf("t2")); got != "tenant=t2" {
			t.Errorf("next statement on the connection ran with session values %q, want tenant=t2", got)
		}
		next.Release()
	})
}

// Guards against a statement that is sent together with its session values and runs
// without them if the server refuses these (PINNED).
func TestStatementIsNotSentWithoutItsSession(t *testing.T) {
	inSession(t, func(t *testing.T, service *statementtest.Service, g *Group) {
		first := acquirePrimary(t, g)
		valuesOf(t, first, sessionOf("t1"))
		first.Release()
		service.RefuseSessionChanges("s1", 1)
		c := acquirePrimary(t, g)
		answers, mayRun, err := c.ExchangeAsPrimary(time.Now().Add(time.Second), sessionOf("t2"), writeOf("w1"))
		if err != nil || mayRun || answers[0].Code != statement.Busy || service.ExecutionCount("w1") != 0 {
			t.Errorf("got answers %+v, mayRun %t, error %v and %d executions, want a refusal and none", answers, mayRun, err, service.ExecutionCount("w1"))
		}
		c.Release()
		next := acquirePrimary(t, g)
		if got := valuesOf(t, next, sessionOf("t2")); got != "tenant=t2" {
			t.Errorf("next statement ran with session values %q, want tenant=t2", got)
		}
		next.Release()
	})
}

// Guards against a transaction that begins although the server refused the session
// values sent with it, and whose connection goes back to the pool with it open.
func TestTransactionDoesNotBeginWithoutItsSession(t *testing.T) {
	inSession(t, func(t *testing.T, service *statementtest.Service, g *Group) {
		service.RefuseSessionChanges("s1", 1)
		c := acquirePrimary(t, g)
		answers, _, err := c.ExchangeAsPrimary(time.Now().Add(time.Second), sessionOf("t1"), statement.Statement{Kind: statement.Begin})
		if err != nil || answers[0].Code != statement.Busy {
			t.Errorf("got answers %+v and error %v, want a refusal", answers, err)
		}
		c.Release()
		time.Sleep(100 * time.Millisecond)
		next := acquirePrimary(t, g)
		if got := valuesOf(t, next, sessionOf("t1")); got != "tenant=t1" {
			t.Errorf("next statement ran with session values %q, want tenant=t1", got)
		}
		if answers, _, err := next.Exchange(time.Now().Add(time.Second), sessionOf("t1"), statement.Statement{Kind: statement.Begin}); err != nil || answers[0].Code != statement.OK {
			t.Errorf("next transaction got answers %+v and error %v, want it to begin", answers, err)
		}
		next.Release()
	})
}

// Guards against a prepared statement that counts as known although the server refused
// to prepare it, so that its execution fails.
func TestRefusedPrepareDoesNotCountAsPrepared(t *testing.T) {
	inSession(t, func(t *testing.T, service *statementtest.Service, g *Group) {
		want := Session{Prepare: &statement.Statement{Kind: statement.Prepare, Name: PreparedName("shape", false), Value: "shape"}}
		run := func(id string) statement.Code {
			c := acquirePrimary(t, g)
			defer c.Release()
			execute := statement.Statement{ID: id, Kind: statement.Execute, Name: want.Prepare.Name, Arguments: "item"}
			answers, _, err := c.Exchange(time.Now().Add(time.Second), want, execute)
			if err != nil {
				t.Fatal(err)
			}
			return answers[0].Code
		}
		service.RefuseSessionChanges("s1", 1)
		if got := run("e1"); got != statement.Busy {
			t.Errorf("execution of a refused prepared statement got %s, want busy", got)
		}
		if got := run("e2"); got != statement.OK {
			t.Errorf("next execution got %s, want ok", got)
		}
	})
}

// Guards against a probe that leaves a transaction open on a connection of the pool: the
// next statement would run inside it.
func TestProbeLeavesNoTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := statementtest.New("service", statementtest.Options{ConnectionLimit: 4}, "s1", "s2")
		g := groupOf(service)
		defer g.Close()
		c := acquirePrimary(t, g)
		c.conn = unendedTransactions{c.conn}
		c.Release()
		if err := g.verifyPrimary(c.pool, false); err == nil {
			t.Error("probe whose transaction did not end succeeded, want an error")
		}
		if c.pool.hasIdle() {
			t.Error("connection in a transaction went back to the pool")
		}
	})
}

// unendedTransactions is a connection on which a transaction cannot be rolled back.
type unendedTransactions struct{ statement.Conn }

func (c unendedTransactions) Exchange(deadline time.Time, requests ...statement.Statement) ([]statement.Answer, bool, error) {
	answers, sent, err := c.Conn.Exchange(deadline, requests...)
	for i := range answers {
		if requests[i].Kind == statement.Rollback {
			answers[i] = statement.Answer{Code: statement.ReadOnly, State: statement.Aborting}
		}
	}
	return answers, sent, err
}

// sessionServer is a model of the session of a connection at a server that refuses
// changes at random. A refused change may still have been executed.
type sessionServer struct {
	values   map[string]string
	prepared map[string]bool
}

func (s *sessionServer) execute(st statement.Statement) {
	switch st.Kind {
	case statement.Reset:
		clear(s.values)
		clear(s.prepared)
	case statement.Set:
		s.values[st.Name] = st.Value
	case statement.Prepare:
		s.prepared[st.Name] = true
	}
}

// Guards against changes that lead to another session than the wanted one, whichever
// changes the server refused before, executed or not.
func TestChangesLeadToTheWantedSession(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := &sessionServer{values: map[string]string{}, prepared: map[string]bool{}}
		var known serverSession
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			want := Session{Values: rapid.MapOf(names, rapid.SampledFrom([]string{"1", "2"})).Draw(t, "values")}
			if rapid.Bool().Draw(t, "prepares") {
				want.Prepare = &statement.Statement{Kind: statement.Prepare, Name: names.Draw(t, "prepared")}
			}
			changes := known.changes(want)
			answers := make([]statement.Answer, len(changes))
			refused := false
			for i, st := range changes {
				switch rapid.IntRange(0, 9).Draw(t, "outcome") {
				case 0:
					answers[i].Code, refused = statement.Busy, true
				case 1:
					answers[i].Code, refused = statement.Failed, true
					server.execute(st)
				default:
					server.execute(st)
				}
			}
			known.record(changes, answers)
			if refused {
				continue
			}
			if !maps.Equal(server.values, want.Values) {
				t.Fatalf("server has values %v, want %v", server.values, want.Values)
			}
			if want.Prepare != nil && !server.prepared[want.Prepare.Name] {
				t.Fatalf("server lacks the prepared statement %s", want.Prepare.Name)
			}
		}
	})
}

// Guards against prepared statements that accumulate on a connection.
func TestPreparedStatementsAreBounded(t *testing.T) {
	var known serverSession
	resets := 0
	for i := range 3 * maxPrepared {
		changes := known.changes(Session{Prepare: &statement.Statement{Kind: statement.Prepare, Name: fmt.Sprint("g", i)}})
		if changes[0].Kind == statement.Reset {
			resets++
		}
		known.record(changes, make([]statement.Answer, len(changes)))
		if len(known.prepared) > maxPrepared {
			t.Fatalf("%d prepared statements, want %d at most", len(known.prepared), maxPrepared)
		}
	}
	if resets != 2 {
		t.Errorf("got %d resets for %d statements, want 2", resets, 3*maxPrepared)
	}
}
