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
		if net.dialCount() != 2 {
			t.Errorf("%d dials, want 2", net.dialCount())
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
		if net.dialCount() != 0 {
			t.Errorf("%d dials", net.dialCount())
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

// Guards against one slow database that takes all connections to its owner,
// one slow owner that takes all connections of a host, and a first class that
// waits behind lower ones on the entry host.
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
			t.Errorf("another database of the same owner waited %v", waited)
		}
		if waited := at("slow", "pay"); waited != net.latency {
			t.Errorf("the first class of the slow database waited %v", waited)
		}
		for _, database := range []string{"slow2", "slow3"} {
			for range 40 {
				begin(database, "stock", 10*time.Second)
			}
		}
		time.Sleep(100 * time.Millisecond)
		if waited := at("other", "stock"); waited != net.latency {
			t.Errorf("a database of another owner waited %v", waited)
		}
		if _, peak := net.count("h1"); peak > 8 {
			t.Errorf("%d connections to one owner, limit 8", peak)
		}
		wg.Wait()
	})
}

// Guards against requests that wait for a remembered outage to end although
// the only owner is back, and against all of them dialing while it is down.
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
			t.Errorf("the owner was back after 600 ms, the last request got there after %v", elapsed)
		}
		if net.dialCount() > 60 {
			t.Errorf("%d dials by 20 requests", net.dialCount())
		}
		if counts.began[PathForward] != 20 || counts.finished != 20 {
			t.Errorf("began %v, finished %d", counts.began, counts.finished)
		}
	})
}

// Guards against a request that waits for other hosts after this host became
// an owner itself, and against counting it twice.
func TestEntryBecomesOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		net.setRefuse("h1", true)
		start := time.Now()
		o := newOwner(newFakeGate(), newFakeNet())
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
			t.Errorf("forwarded %v, counted %v", tx.Forwarded(), counts.began)
		}
		tx.Release(true)
		_, database := e.lookup("d")
		if n, waiting := database.limiter.Load(); n != 0 || waiting != 0 {
			t.Errorf("%d admitted and %d waiting at the end", n, waiting)
		}
	})
}

// Guards against repeating a request on another connection to an owner that
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
			t.Error("a repeatable request may not be repeated")
		}
		second.Release(false)
		tx, err := e.Begin(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		if got := tx.(*forwardTx).conn.pool.target.Peer; got != "h2" {
			t.Errorf("repeated at %s", got)
		}
		tx.Release(true)
	})
}

// Guards against memory that grows with each host that was ever an owner.
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
			t.Error("a host with open connections was forgotten")
		}
		time.Sleep(2 * time.Minute)
		e.Maintain()
		for name := range e.owners.Range {
			t.Errorf("%s is remembered", name)
		}
		if len(e.down) != 0 || len(e.pools.peers) != 0 || len(e.pools.pools) != 0 {
			t.Errorf("outages %v, peers %v, pools %v are remembered", e.down, e.pools.peers, e.pools.pools)
		}
	})
}
