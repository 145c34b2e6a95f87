package route

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

type fakeOwners map[string][]Host

func (o fakeOwners) Owners(database string) []Host { return o[database] }

type ownersFunc func(database string) []Host

func (f ownersFunc) Owners(database string) []Host { return f(database) }

func newEntry(owners Owners, net *fakeNet, local Router) *EntryRouter {
	return NewEntryRouter(EntryConfig{
		Owners: owners,
		Local:  func(string) Router { return local },
		Policy: func(string) *Policy { return NewPolicy(testService()) },
		Dial:   net.dial,
	})
}

func hostOf(name string) Host { return Host{Name: name, ForwardAddress: name + ":7432"} }

type routerFunc func(ctx context.Context, r Request) (Tx, error)

func (f routerFunc) Begin(ctx context.Context, r Request) (Tx, error) { return f(ctx, r) }

// Guards against requests that fail because the first owner is down, and
// against waiting for it again on every request.
func TestEntryUsesSecondOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		net.refuse["h1"] = true
		e := newEntry(fakeOwners{"d": {hostOf("h1"), hostOf("h2")}}, net, nil)
		defer e.Close()
		for range 3 {
			tx, err := e.Begin(t.Context(), Request{Database: "d", User: "u", Class: "pay"})
			if err != nil {
				t.Fatal(err)
			}
			if got := tx.(*forwardTx).conn.pool.target.Peer; got != "h2" || !tx.Forwarded() {
				t.Errorf("sent to %s", got)
			}
			tx.Release(true)
		}
		if net.dials != 2 {
			t.Errorf("%d dials, want 2", net.dials)
		}
	})
}

// Guards against requests that circle between hosts which disagree about the
// owners, and against a host that forwards what it owns.
func TestEntryHops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		served := 0
		local := routerFunc(func(context.Context, Request) (Tx, error) { served++; return nil, nil })
		e := newEntry(fakeOwners{"d": {hostOf("h1")}, "own": {hostOf("h1"), {Name: "me", Self: true}}}, net, local)
		defer e.Close()
		var notRun *NotRunError
		if _, err := e.Begin(t.Context(), Request{Database: "d", Hops: 2}); !errors.As(err, &notRun) {
			t.Errorf("third hop: %v", err)
		}
		if _, err := e.Begin(t.Context(), Request{Database: "own", Hops: 2}); err != nil || served != 1 {
			t.Errorf("owned database: %v, served %d", err, served)
		}
		if net.dials != 0 {
			t.Errorf("%d dials", net.dials)
		}
	})
}

// Guards against failing requests at once while no owner is reachable, and
// against keeping them longer than their deadline.
func TestEntryWaitsForAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		start := time.Now()
		appears := start.Add(1400 * time.Millisecond)
		e := newEntry(ownersFunc(func(string) []Host {
			if time.Now().Before(appears) {
				return nil
			}
			return []Host{hostOf("h1")}
		}), net, nil)
		defer e.Close()
		var notRun *NotRunError
		if _, err := e.Begin(t.Context(), Request{Database: "d", Class: "pay"}); !errors.As(err, &notRun) {
			t.Errorf("no owner: %v", err)
		}
		if time.Since(start) != time.Second {
			t.Errorf("refused after %v, want the deadline of 1s", time.Since(start))
		}
		tx, err := e.Begin(t.Context(), Request{Database: "d", Class: "pay"})
		if err != nil {
			t.Fatal(err)
		}
		tx.Release(true)
	})
}
