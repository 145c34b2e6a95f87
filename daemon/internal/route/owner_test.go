package route

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

func newOwner(g *fakeMonitor, net *fakeNet) *OwnerRouter {
	return NewOwnerRouter(OwnerConfig{
		Database:  "d",
		Policy:    NewPolicy(testService()),
		Monitor:   g,
		Dial:      net.dial,
		PeerLimit: limitOf(4),
	})
}

func (t *ownerTx) peer() string { return t.conn.pool.target.Peer }

// Guards against sending a read to a server that may lack the session's own
// writes, and against sending reads to the primary although a replica qualifies.
func TestReadsGoWhereTheSessionsWritesAre(t *testing.T) {
	cases := []struct {
		name     string
		request  Request
		replica  string // position of the replica
		peer     string
		barriers int
	}{
		{"token covered", Request{Class: "report", Token: "d/3:90"}, "", "r", 0},
		{"token not covered", Request{Class: "report", Token: "d/3:91"}, "", "p", 0},
		{"older term covered", Request{Class: "report", Token: "d/2:5000"}, "", "r", 0},
		{"nothing written", Request{Class: "report", Token: TokenNone}, "", "r", 0},
		{"no token, replica behind", Request{Class: "stock"}, "", "p", 1},
		{"no token, replica applied", Request{Class: "stock"}, "current", "r", 1},
		{"age accepted, no token, replica behind", Request{Class: "report"}, "", "p", 1},
		{"no stated age, token covered, replica behind", Request{Class: "stock", Token: "d/3:90"}, "", "p", 1},
		{"no stated age, token covered, replica applied", Request{Class: "stock", Token: "d/3:90"}, "current", "r", 1},
		{"read-only transaction, replica behind", Request{ReadOnly: true, Token: "d/3:1"}, "", "p", 1},
		{"read-only transaction, replica applied", Request{ReadOnly: true, Token: "d/3:1"}, "current", "r", 1},
		{"write", Request{Class: "pay", Token: "d/3:1"}, "", "p", 0},
		{"unclassified", Request{Class: "psql", Token: "d/3:1"}, "", "p", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeMonitor()
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

// Guards against acknowledging a commit that is not durable, and against
// returning a stale read as current.
func TestFinishNeedsTheSameTerm(t *testing.T) {
	finish := func(t *testing.T, r Request, change func(g *fakeMonitor)) (string, error) {
		g := newFakeMonitor()
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
	promote := func(g *fakeMonitor) { g.promote("r", 4) }
	stall := func(g *fakeMonitor) { g.set(func(g *fakeMonitor) { g.stalled = true }) }
	write := Request{Class: "pay"}
	read := Request{ReadOnly: true, Token: "d/3:95"}
	synctest.Test(t, func(t *testing.T) {
		token, err := finish(t, write, nil)
		if token != "d/3:100" || err != nil {
			t.Errorf("durable commit: token %q, error %v; want d/3:100 and no error", token, err)
		}
		var unknown *UnknownOutcomeError
		if _, err := finish(t, write, promote); !errors.As(err, &unknown) {
			t.Errorf("commit in a replaced term: error %v, want *UnknownOutcomeError", err)
		}
		start := time.Now()
		if _, err := finish(t, write, stall); !errors.As(err, &unknown) {
			t.Errorf("commit without quorum: error %v, want *UnknownOutcomeError", err)
		}
		if waited := time.Since(start); waited < 5*time.Second || waited > 6*time.Second {
			t.Errorf("commit without quorum took %v, want the commit timeout of 5s", waited)
		}
		var stale *StaleReadError
		if _, err := finish(t, read, promote); !errors.As(err, &stale) {
			t.Errorf("read in a replaced term: error %v, want *StaleReadError", err)
		}
	})
}

// Guards against accepting a session token of another database, and against
// serving data older than the token.
func TestTokensThatCannotBeServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		net := newFakeNet()
		o := newOwner(g, net)
		defer o.Close()
		var notRun *NotRunError
		for _, token := range []string{"e/3:1", "3:1", "d/3", "d/x:1", "d/3:-1"} {
			if _, err := o.Begin(t.Context(), Request{Token: token}); !errors.As(err, &notRun) {
				t.Errorf("token %q: error %v, want *NotRunError", token, err)
			}
		}
		for _, class := range []string{"pay", "report"} {
			start := time.Now()
			_, err := o.Begin(t.Context(), Request{Class: class, Token: "d/4:1"})
			if !errors.As(err, &notRun) || time.Since(start) != time.Second {
				t.Errorf("class %s with a token of a later term: error %v after %v, want *NotRunError after 1s", class, err, time.Since(start))
			}
		}
		if net.dialCount() != 0 {
			t.Errorf("%d connections opened for refused requests, want 0", net.dialCount())
		}
	})
}

// Guards against requests that fail during a change of primary.
func TestBeginWaitsForPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		g.known = false
		o := newOwner(g, newFakeNet())
		defer o.Close()
		time.AfterFunc(500*time.Millisecond, func() { g.promote("r", 4) })
		tx, err := o.Begin(t.Context(), Request{Class: "pay"})
		if err != nil {
			t.Fatal(err)
		}
		if tx.(*ownerTx).peer() != "r" || tx.(*ownerTx).term != 4 {
			t.Errorf("sent to %s in term %d, want r in term 4", tx.(*ownerTx).peer(), tx.(*ownerTx).term)
		}
		tx.Release(true)
	})
}

// Guards against reading from a primary of an older term than the read barrier.
func TestBarrierOfAnotherTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		g.barrier = group.Position{Term: 4, Offset: 101}
		o := newOwner(g, newFakeNet())
		defer o.Close()
		time.AfterFunc(300*time.Millisecond, func() { g.promote("r", 4) })
		tx, err := o.Begin(t.Context(), Request{Class: "stock"})
		if err != nil {
			t.Fatal(err)
		}
		if tx.(*ownerTx).peer() != "r" {
			t.Errorf("sent to %s, want r, the primary of the barrier's term", tx.(*ownerTx).peer())
		}
		tx.Release(true)
	})
}

// countingRecorder counts the events of a router.
type countingRecorder struct {
	mu       sync.Mutex
	began    map[Path]int
	refused  map[RefusalReason]int
	unknown  int
	stale    int
	finished int
}

func newCountingRecorder() *countingRecorder {
	return &countingRecorder{began: map[Path]int{}, refused: map[RefusalReason]int{}}
}

func (c *countingRecorder) count(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *countingRecorder) Began(_ Labels, p Path, _ time.Duration) { c.count(func() { c.began[p]++ }) }
func (c *countingRecorder) Refused(_ Labels, r RefusalReason)       { c.count(func() { c.refused[r]++ }) }
func (c *countingRecorder) OutcomeUnknown(Labels)                   { c.count(func() { c.unknown++ }) }
func (c *countingRecorder) StaleRead(Labels)                        { c.count(func() { c.stale++ }) }
func (c *countingRecorder) Finished(Labels, time.Duration)          { c.count(func() { c.finished++ }) }

// runTx runs a transaction of the given duration and returns its session token.
func runTx(ctx context.Context, r Router, q Request, length time.Duration) (string, error) {
	tx, err := r.Begin(ctx, q)
	if err != nil {
		return "", err
	}
	time.Sleep(length)
	token, err := tx.Finish(ctx)
	tx.Release(err == nil)
	return token, err
}

// Guards against requests that fail or are all admitted at once during a failover,
// against connections to the old primary that stay open, and against waiting for
// connects to the new primary.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		net := newFakeNet()
		net.latency = 30 * time.Millisecond
		o := NewOwnerRouter(OwnerConfig{
			Database:  "d",
			Slots:     []group.Slot{slotOf("p"), slotOf("r")},
			Policy:    NewPolicy(testService()),
			Monitor:   g,
			Dial:      net.dial,
			PeerLimit: limitOf(16),
		})
		defer o.Close()
		if _, err := runTx(t.Context(), o, Request{Class: "pay"}, 0); err != nil {
			t.Fatal(err)
		}
		held, err := o.Begin(t.Context(), Request{Class: "pay"})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if n, _ := net.count("r"); n != spareConnsPerUser {
			t.Errorf("%d spare connections to the replica, want %d", n, spareConnsPerUser)
		}
		net.setRefuse("p", true)
		g.set(func(g *fakeMonitor) { g.known = false })
		first := time.Hour
		var mu sync.Mutex
		promoted := time.Now().Add(500 * time.Millisecond)
		var wg sync.WaitGroup
		for range 30 {
			wg.Go(func() {
				tx, err := o.Begin(t.Context(), Request{Class: "book"})
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				first = min(first, time.Since(promoted))
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
				if _, err := tx.Finish(t.Context()); err != nil {
					t.Error(err)
				}
				tx.Release(true)
			})
		}
		time.Sleep(500 * time.Millisecond)
		g.promote("r", 4)
		time.Sleep(30 * time.Millisecond)
		if n, _ := net.count("p"); n != 0 || !held.Conn().(*fakeConn).isClosed() {
			t.Errorf("%d connections to the old primary, want 0 and the one in use closed", n)
		}
		if used := len(inUse(o, "r")); used > 2 {
			t.Errorf("%d requests admitted in the first step, want at most 2 of a limit of 16", used)
		}
		wg.Wait()
		if first != 0 {
			t.Errorf("the first request waited %v after the promotion, want 0", first)
		}
		if _, err := held.Finish(t.Context()); err == nil {
			t.Error("a transaction of the old primary was confirmed")
		}
		held.Release(false)
		if n, waiting := o.primary.Load(); n != 0 || waiting != 0 {
			t.Errorf("%d admitted and %d waiting at the end, want 0 and 0", n, waiting)
		}
	})
}

func inUse(o *OwnerRouter, peer string) []*pooledConn {
	o.pools.mu.Lock()
	defer o.pools.mu.Unlock()
	var busy []*pooledConn
	for t, p := range o.pools.pools {
		if t.Peer == peer {
			busy = append(busy, p.busy...)
		}
	}
	return busy
}

// Guards against refusing requests while the monitor still reports a primary
// that cannot be reached, and against not reporting its failed connects.
func TestUnreachablePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		net := newFakeNet()
		net.setRefuse("p", true)
		o := newOwner(g, net)
		defer o.Close()
		time.AfterFunc(600*time.Millisecond, func() { g.promote("r", 4) })
		if _, err := runTx(t.Context(), o, Request{Class: "pay"}, 0); err != nil {
			t.Error(err)
		}
		if g.failures["p"] == 0 {
			t.Error("the failed connects were not reported")
		}
	})
}

// Guards against an unbounded queue while there is no primary, against requests
// that wait beyond their deadline, and against unrecorded refusals.
func TestQueueIsBoundedWithoutPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		g.known = false
		net := newFakeNet()
		o := newOwner(g, net)
		defer o.Close()
		counts := newCountingRecorder()
		o.cfg.Recorder = counts
		start := time.Now()
		var wg sync.WaitGroup
		for range 60 {
			wg.Go(func() {
				var notRun *NotRunError
				if _, err := o.Begin(t.Context(), Request{Class: "pay"}); !errors.As(err, &notRun) {
					t.Errorf("Begin without a primary: error %v, want *NotRunError", err)
				}
			})
		}
		wg.Wait()
		if counts.refused[RefusedQueue] != 10 || counts.refused[RefusedDeadline] != 50 {
			t.Errorf("refusals %v, want 10 for the queue limit of 50 and 50 for the deadline", counts.refused)
		}
		if time.Since(start) != time.Second || net.dialCount() != 0 {
			t.Errorf("refused after %v with %d dials, want 1s and 0 dials", time.Since(start), net.dialCount())
		}
	})
}

// Guards against reads that use connections of the primary although replicas
// qualify, and against writes that wait behind these reads.
func TestReplicaReadsLeavePrimaryFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		net := newFakeNet()
		o := newOwner(g, net)
		defer o.Close()
		counts := newCountingRecorder()
		o.cfg.Recorder = counts
		if _, err := runTx(t.Context(), o, Request{Class: "pay"}, 0); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for range 40 {
			wg.Go(func() {
				runTx(t.Context(), o, Request{Class: "report", Token: TokenNone}, 200*time.Millisecond)
			})
		}
		time.Sleep(50 * time.Millisecond)
		start := time.Now()
		if _, err := runTx(t.Context(), o, Request{Class: "pay"}, 0); err != nil || time.Since(start) != 0 {
			t.Errorf("write during reads: error %v after %v, want success without a wait", err, time.Since(start))
		}
		wg.Wait()
		if counts.began[PathPrimaryRead] != 0 || net.peak["r"] > 4 {
			t.Errorf("%d reads on the primary, %d connections to the replica; want 0 and at most 4", counts.began[PathPrimaryRead], net.peak["r"])
		}
		if counts.began[PathReplica]+counts.refused[RefusedDeadline] != 40 || counts.began[PathReplica] < 16 {
			t.Errorf("began %v, refused %v; want 40 in all, at least 16 of them on the replica", counts.began, counts.refused)
		}
	})
}

// Guards against reads that wait for an unreachable replica until their
// deadline.
func TestReplicaUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		net := newFakeNet()
		net.setRefuse("r", true)
		o := newOwner(g, net)
		defer o.Close()
		tx, err := o.Begin(t.Context(), Request{Class: "report", Token: TokenNone})
		if err != nil {
			t.Fatal(err)
		}
		if tx.(*ownerTx).peer() != "p" || g.failures["r"] == 0 {
			t.Errorf("served by %s, failures %v; want p and a reported failure of r", tx.(*ownerTx).peer(), g.failures)
		}
		tx.Release(true)
	})
}

// Guards against returning data that exceeds the accepted age because it aged
// while the request waited for a connection.
func TestAgeIncludesTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		g.replicas[0].age = 9 * time.Second // class report accepts 10 s
		o := newOwner(g, newFakeNet())
		defer o.Close()
		tx, err := o.Begin(t.Context(), Request{Class: "report", Token: TokenNone})
		if err != nil {
			t.Fatal(err)
		}
		if tx.(*ownerTx).peer() != "p" {
			t.Error("read served by the replica, whose data may exceed the accepted age after the connect")
		}
		tx.Release(true)
	})
}

// Guards against retrying requests that must run only once, and against an
// unbounded number of retries.
func TestMayRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		o := newOwner(g, newFakeNet())
		defer o.Close()
		countRetries := func(r Request) int {
			n := 0
			for range 200 {
				tx, err := o.Begin(t.Context(), r)
				if err != nil {
					t.Fatal(err)
				}
				if tx.MayRetry() {
					n++
				}
				tx.Release(false)
			}
			return n
		}
		if n := countRetries(Request{Class: "pay"}); n != 0 {
			t.Errorf("%d writes without a key may be retried, want 0", n)
		}
		if n := countRetries(Request{Class: "pay", Key: "k"}); n != 200 {
			t.Errorf("%d of 200 writes may be retried under their key, want 200", n)
		}
		if n := countRetries(Request{Class: "book"}); n < 20 || n > 30 {
			t.Errorf("%d of 200 requests may be retried, want 10%% and a burst of 10", n)
		}
		if g.failures["p"] != 600 || g.answers["p"] != 0 {
			t.Errorf("failures %v, answers %v; want 600 failures and no answers of p", g.failures, g.answers)
		}
	})
}

// Guards against requests that keep waiting after Close.
func TestCloseRefusesWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		g.known = false
		o := newOwner(g, newFakeNet())
		counts := newCountingRecorder()
		o.cfg.Recorder = counts
		time.AfterFunc(100*time.Millisecond, o.Close)
		start := time.Now()
		var notRun *NotRunError
		if _, err := o.Begin(t.Context(), Request{Class: "pay"}); !errors.As(err, &notRun) {
			t.Error(err)
		}
		if time.Since(start) != 100*time.Millisecond || counts.refused[RefusedStopped] != 1 {
			t.Errorf("refused after %v, refusals %v; want 100ms and one as stopped", time.Since(start), counts.refused)
		}
		synctest.Wait()
	})
}

// Guards against transactions that hang on the old primary and occupy the
// limit, so that the connections to the new primary stay unused.
func TestHungTransactionsDoNotBlockNewPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		o := newOwner(g, newFakeNet())
		defer o.Close()
		for range 4 {
			tx, err := o.Begin(t.Context(), Request{Class: "pay"})
			if err != nil {
				t.Fatal(err)
			}
			defer tx.Release(false)
		}
		g.promote("r", 4)
		start := time.Now()
		if _, err := runTx(t.Context(), o, Request{Class: "pay"}, 0); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(start); waited > 12*time.Millisecond {
			t.Errorf("a write waited %v for the new primary, want at most one connect", waited)
		}
	})
}

// Guards against confirming a read although the replication group has not
// reached the position in its session token.
func TestTokenBeyondTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(newFakeMonitor(), newFakeNet())
		defer o.Close()
		var stale *StaleReadError
		if _, err := runTx(t.Context(), o, Request{Class: "report", Token: "d/3:101"}, 0); !errors.As(err, &stale) {
			t.Errorf("read of a position beyond the log: error %v, want *StaleReadError", err)
		}
	})
}

// Guards against a switchover that starts while transactions are running, admits
// new ones meanwhile, or drops waiting ones.
func TestQuiesce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeMonitor()
		o := newOwner(g, newFakeNet())
		defer o.Close()
		running, err := o.Begin(t.Context(), Request{Class: "pay"})
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(100*time.Millisecond, func() { running.Release(true) })
		var wg sync.WaitGroup
		start := time.Now()
		time.AfterFunc(10*time.Millisecond, func() {
			wg.Go(func() {
				if _, err := runTx(t.Context(), o, Request{Class: "pay"}, 0); err != nil {
					t.Error(err)
				}
				if waited := time.Since(start); waited < 120*time.Millisecond {
					t.Errorf("a transaction ended %v after Quiesce began, want at least 120ms", waited)
				}
			})
		})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if err := o.Quiesce(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Quiesce while a transaction runs: error %v, want deadline exceeded", err)
		}
		if err := o.Quiesce(t.Context()); err != nil || time.Since(start) < 100*time.Millisecond {
			t.Errorf("Quiesce ended after %v with error %v, want success after at least 100ms", time.Since(start), err)
		}
		time.Sleep(20 * time.Millisecond)
		g.promote("r", 4)
		o.Resume()
		wg.Wait()
	})
}

// Guards against opening spare connections to a slot that is being drained, and
// against keeping connections to a slot that was replaced.
func TestLeavingAndReplacedSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		slots := []group.Slot{slotOf("p"), slotOf("r")}
		o := NewOwnerRouter(OwnerConfig{
			Database:  "d",
			Slots:     slots,
			Policy:    NewPolicy(testService()),
			Monitor:   newFakeMonitor(),
			Dial:      net.dial,
			PeerLimit: limitOf(4),
		})
		defer o.Close()
		if _, err := runTx(t.Context(), o, Request{Class: "pay"}, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		o.DrainSlot("r")
		time.Sleep(3 * time.Second)
		if n, _ := net.count("r"); n != 0 {
			t.Errorf("%d connections to a slot that is being drained, want 0", n)
		}
		moved := slotOf("r")
		moved.Address = "other:5432"
		o.SetSlots([]group.Slot{slots[0], moved})
		time.Sleep(time.Second)
		if n, _ := net.count("r"); n != spareConnsPerUser {
			t.Errorf("%d connections to the slot at its new address, want %d", n, spareConnsPerUser)
		}
		o.SetSlots(slots[:1])
		if n, _ := net.count("r"); n != 0 {
			t.Errorf("%d connections to a removed slot, want 0", n)
		}
	})
}
