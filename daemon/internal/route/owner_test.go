package route

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

func newOwner(g *fakeGate, net *fakeNet) *OwnerRouter {
	return NewOwnerRouter(OwnerConfig{
		Database: "d",
		Policy:   NewPolicy(testService()),
		Gate:     g,
		Dial:     net.dial,
		Limit:    limitOf(4),
	})
}

func (t *ownerTx) peer() string { return t.conn.pool.target.Peer }

// Guards against a read that is sent where the session's own writes may be
// missing, and against reads that load the primary without need.
func TestReadsGoWhereTheSessionsWritesAre(t *testing.T) {
	cases := []struct {
		name     string
		request  Request
		replica  string // position of the replica
		peer     string
		barriers int
	}{
		{"token covered", Request{Class: "stock", Token: "d/3:90"}, "", "r", 0},
		{"token not covered", Request{Class: "stock", Token: "d/3:91"}, "", "p", 0},
		{"older term covered", Request{Class: "stock", Token: "d/2:5000"}, "", "r", 0},
		{"nothing written", Request{Class: "stock", Token: TokenNone}, "", "r", 0},
		{"no token, replica behind", Request{Class: "stock"}, "", "p", 1},
		{"no token, replica applied", Request{Class: "stock"}, "current", "r", 1},
		{"age accepted, no token, replica behind", Request{Class: "report"}, "", "p", 1},
		{"read-only transaction", Request{ReadOnly: true, Token: "d/3:1"}, "", "r", 0},
		{"write", Request{Class: "pay", Token: "d/3:1"}, "", "p", 0},
		{"unclassified", Request{Class: "psql", Token: "d/3:1"}, "", "p", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeGate()
				if c.replica != "" {
					g.replicas[0].applied = g.position
				}
				o := newOwner(g, newFakeNet())
				defer o.Close()
				c.request.Database = "d"
				tx, err := o.Begin(t.Context(), c.request)
				if err != nil {
					t.Fatal(err)
				}
				if got := tx.(*ownerTx).peer(); got != c.peer || g.barriers != c.barriers {
					t.Errorf("served by %s after %d barriers, want %s after %d", got, g.barriers, c.peer, c.barriers)
				}
				if _, err := tx.Finish(t.Context()); err != nil {
					t.Error(err)
				}
				tx.Release(true)
			})
		})
	}
}

// Guards against a commit that is acknowledged though it is not durable, and
// against a stale read that is passed on as complete.
func TestFinishNeedsTheSameTerm(t *testing.T) {
	finish := func(t *testing.T, r Request, change func(g *fakeGate)) (string, error) {
		g := newFakeGate()
		o := newOwner(g, newFakeNet())
		defer o.Close()
		tx, err := o.Begin(t.Context(), r)
		if err != nil {
			t.Fatal(err)
		}
		defer tx.Release(true)
		if change != nil {
			change(g)
		}
		return tx.Finish(t.Context())
	}
	promote := func(g *fakeGate) { g.promote("r", 4) }
	stall := func(g *fakeGate) { g.set(func(g *fakeGate) { g.stuck = true }) }
	write := Request{Class: "pay"}
	read := Request{ReadOnly: true, Token: "d/3:95"}
	synctest.Test(t, func(t *testing.T) {
		token, err := finish(t, write, nil)
		if token != "d/3:100" || err != nil {
			t.Errorf("durable commit: token %q, %v", token, err)
		}
		var unknown *UnknownOutcomeError
		if _, err := finish(t, write, promote); !errors.As(err, &unknown) {
			t.Errorf("commit in a replaced term: %v", err)
		}
		start := time.Now()
		if _, err := finish(t, write, stall); !errors.As(err, &unknown) {
			t.Errorf("commit without quorum: %v", err)
		}
		if waited := time.Since(start); waited < 5*time.Second || waited > 6*time.Second {
			t.Errorf("commit without quorum took %v, want the commit timeout of 5s", waited)
		}
		var stale *StaleReadError
		if _, err := finish(t, read, promote); !errors.As(err, &stale) {
			t.Errorf("read in a replaced term: %v", err)
		}
	})
}

// Guards against a token that is taken for one of another database, and
// against a session that is shown data older than its token.
func TestTokensThatCannotBeServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGate()
		net := newFakeNet()
		o := newOwner(g, net)
		defer o.Close()
		var notRun *NotRunError
		for _, token := range []string{"e/3:1", "3:1", "d/3", "d/x:1", "d/3:-1"} {
			if _, err := o.Begin(t.Context(), Request{Token: token}); !errors.As(err, &notRun) {
				t.Errorf("token %q: %v", token, err)
			}
		}
		for _, class := range []string{"pay", "stock"} {
			start := time.Now()
			_, err := o.Begin(t.Context(), Request{Class: class, Token: "d/4:1"})
			if !errors.As(err, &notRun) || time.Since(start) != time.Second {
				t.Errorf("%s with a token newer than anything known: %v after %v", class, err, time.Since(start))
			}
		}
		if net.dials != 0 {
			t.Errorf("%d connections opened for refused requests", net.dials)
		}
	})
}

// Guards against requests that fail while a new primary is chosen.
func TestBeginWaitsForPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGate()
		g.known = false
		o := newOwner(g, newFakeNet())
		defer o.Close()
		time.AfterFunc(500*time.Millisecond, func() { g.promote("r", 4) })
		tx, err := o.Begin(t.Context(), Request{Class: "pay"})
		if err != nil {
			t.Fatal(err)
		}
		if tx.(*ownerTx).peer() != "r" || tx.(*ownerTx).term != 4 {
			t.Errorf("sent to %s in term %d", tx.(*ownerTx).peer(), tx.(*ownerTx).term)
		}
		tx.Release(true)
	})
}

// Guards against a read at the primary of another term than its barrier's.
func TestBarrierOfAnotherTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGate()
		g.barrier = group.Position{Term: 4, Offset: 101}
		o := newOwner(g, newFakeNet())
		defer o.Close()
		time.AfterFunc(300*time.Millisecond, func() { g.promote("r", 4) })
		tx, err := o.Begin(t.Context(), Request{Class: "stock"})
		if err != nil {
			t.Fatal(err)
		}
		if tx.(*ownerTx).peer() != "r" {
			t.Errorf("sent to %s, the primary of an older term", tx.(*ownerTx).peer())
		}
		tx.Release(true)
	})
}
