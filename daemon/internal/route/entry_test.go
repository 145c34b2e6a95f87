package route

import (
	"context"
	"errors"
	"sync"
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

// Guards against requests that fail because the preferred owner is down, and
// against dialing it again for every request.
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
				t.Errorf("sent to %s, want it forwarded to h2", got)
			}
			tx.Release(true)
		}
		if net.dialCount() != 2 {
			t.Errorf("%d dials, want 2", net.dialCount())
		}
	})
}

// Guards against forwarding loops between hosts that disagree about the owners
// of a database, and against a host that forwards requests for its own database.
func TestEntryHops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		served := 0
		local := routerFunc(func(context.Context, Request) (Tx, error) { served++; return nil, nil })
		e := newEntry(fakeOwners{"d": {hostOf("h1")}, "own": {hostOf("h1"), {Name: "me", Self: true}}}, net, local)
		defer e.Close()
		var notRun *NotRunError
		if _, err := e.Begin(t.Context(), Request{Database: "d", Hops: 2}); !errors.As(err, &notRun) {
			t.Errorf("third hop: error %v, want *NotRunError", err)
		}
		if _, err := e.Begin(t.Context(), Request{Database: "own", Hops: 2}); err != nil || served != 1 {
			t.Errorf("owned database: error %v, served locally %d times, want once", err, served)
		}
		if net.dialCount() != 0 {
			t.Errorf("%d dials, want 0", net.dialCount())
		}
	})
}

// Guards against refusing requests at once while no owner is reachable, and
// against holding them beyond their deadline.
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
			t.Errorf("Begin without an owner: error %v, want *NotRunError", err)
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

// Guards against one slow database using up the connections to its owner, one
// slow owner using up the connections of an entry host, and a class of high
// priority queueing behind lower ones.
func TestEntryIsolatesSlowOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		e := NewEntryRouter(EntryConfig{
			Owners: ownersFunc(func(database string) []Host {
				if database == "other" {
					return []Host{hostOf("h2")}
				}
				return []Host{hostOf("h1")}
			}),
			Policy:        func(string) *Policy { return NewPolicy(testService()) },
			Dial:          net.dial,
			DatabaseLimit: 4,
			OwnerLimit:    8,
			TotalLimit:    16,
		})
		defer e.Close()
		var wg sync.WaitGroup
		begin := func(database, class string, hold time.Duration) {
			wg.Go(func() { runTx(t.Context(), e, Request{Database: database, Class: class}, hold) })
		}
		at := func(database, class string) time.Duration {
			start := time.Now()
			if _, err := runTx(t.Context(), e, Request{Database: database, Class: class}, 0); err != nil {
				t.Error(err)
			}
			return time.Since(start)
		}
		for range 40 {
			begin("slow", "stock", 10*time.Second)
		}
		time.Sleep(100 * time.Millisecond)
		if waited := at("sibling", "stock"); waited != net.latency {
			t.Errorf("another database of the same owner waited %v, want one connect", waited)
		}
		if waited := at("slow", "pay"); waited != net.latency {
			t.Errorf("the highest class of the slow database waited %v, want one connect", waited)
		}
		for _, database := range []string{"slow2", "slow3"} {
			for range 40 {
				begin(database, "stock", 10*time.Second)
			}
		}
		time.Sleep(100 * time.Millisecond)
		if waited := at("other", "stock"); waited != net.latency {
			t.Errorf("a database of another owner waited %v, want one connect", waited)
		}
		if _, peak := net.count("h1"); peak > 8 {
			t.Errorf("%d connections to one owner, limit 8", peak)
		}
		wg.Wait()
	})
}

// Guards against requests that treat the only owner as down after it has
// recovered, and against every waiting request dialing it while it is down.
func TestEntryProbesTheOnlyOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		net.setRefuse("h1", true)
		e := newEntry(fakeOwners{"d": {hostOf("h1")}}, net, nil)
		defer e.Close()
		counts := newCountingRecorder()
		e.cfg.Recorder = counts
		start := time.Now()
		time.AfterFunc(600*time.Millisecond, func() { net.setRefuse("h1", false) })
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				if _, err := runTx(t.Context(), e, Request{Database: "d", Class: "pay"}, 0); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if elapsed := time.Since(start); elapsed > 800*time.Millisecond {
			t.Errorf("the last request ended after %v, want at most 800ms as the owner is back after 600ms", elapsed)
		}
		if net.dialCount() > 60 {
			t.Errorf("%d dials by 20 requests, want at most 60", net.dialCount())
		}
		if counts.began[PathForward] != 20 || counts.finished != 20 {
			t.Errorf("began %v, finished %d; want 20 forwarded and 20 finished", counts.began, counts.finished)
		}
	})
}

// Guards against a request that keeps waiting for other hosts after this host
// has become an owner, and against recording the request twice.
func TestEntryBecomesOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		net.setRefuse("h1", true)
		start := time.Now()
		o := newOwner(newFakeMonitor(), newFakeNet())
		defer o.Close()
		e := newEntry(ownersFunc(func(string) []Host {
			if time.Since(start) < 300*time.Millisecond {
				return []Host{hostOf("h1")}
			}
			return []Host{{Name: "me", Self: true}}
		}), net, o)
		defer e.Close()
		counts := newCountingRecorder()
		e.cfg.Recorder = counts
		tx, err := e.Begin(t.Context(), Request{Database: "d", Class: "pay"})
		if err != nil {
			t.Fatal(err)
		}
		if tx.Forwarded() || len(counts.began) != 0 {
			t.Errorf("forwarded %v, recorded %v; want a local transaction, not recorded by the entry router", tx.Forwarded(), counts.began)
		}
		tx.Release(true)
		_, database := e.lookup("d")
		if n, waiting := database.limiter.Load(); n != 0 || waiting != 0 {
			t.Errorf("%d admitted and %d waiting at the end, want 0 and 0", n, waiting)
		}
	})
}

// Guards against retrying a request on an idle connection to an owner that has
// just failed.
func TestEntryDropsConnectionsOfAFailedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		e := newEntry(fakeOwners{"d": {hostOf("h1"), hostOf("h2")}}, net, nil)
		defer e.Close()
		request := Request{Database: "d", Class: "book"}
		first, _ := e.Begin(t.Context(), request)
		second, _ := e.Begin(t.Context(), request)
		time.Sleep(time.Millisecond)
		first.Release(true)
		time.Sleep(time.Millisecond)
		net.setRefuse("h1", true)
		if !second.MayRetry() {
			t.Error("MayRetry is false for a repeatable request")
		}
		second.Release(false)
		tx, err := e.Begin(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		if got := tx.(*forwardTx).conn.pool.target.Peer; got != "h2" {
			t.Errorf("retried on %s, want h2", got)
		}
		tx.Release(true)
	})
}

// Guards against state that is kept for every host that was ever an owner.
func TestEntryForgetsHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		net.setRefuse("h1", true)
		e := newEntry(fakeOwners{"d": {hostOf("h1"), hostOf("h2")}}, net, nil)
		defer e.Close()
		if _, err := runTx(t.Context(), e, Request{Database: "d", Class: "pay"}, 0); err != nil {
			t.Fatal(err)
		}
		e.Maintain()
		if _, ok := e.owners.Load("h2"); !ok {
			t.Error("the limiter of a host with open connections was removed")
		}
		time.Sleep(2 * time.Minute)
		e.Maintain()
		for name := range e.owners.Range {
			t.Errorf("the limiter of %s is kept", name)
		}
		if len(e.downOwners) != 0 || len(e.pools.peers) != 0 || len(e.pools.pools) != 0 {
			t.Errorf("outages %v, peers %v and pools %v are kept, want none", e.downOwners, e.pools.peers, e.pools.pools)
		}
	})
}
