package replication_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/grouptest"
	"github.com/gypsumgap/gypsumgap/core/replication"
)

// zoneLatency is the one-way latency between availability zones.
const zoneLatency = 1500 * time.Microsecond

var host = grouptest.Host{Name: "e1", Zone: "a"}

// withRunner runs test on a bootstrapped group of n slots that a Runner on host
// follows.
func withRunner(t *testing.T, n int, test func(*testing.T, *grouptest.Group, *replication.Runner)) {
	synctest.Test(t, func(t *testing.T) {
		g := grouptest.New(grouptest.Options{
			Slots:      grouptest.Slots(n, "a", "b", "c"),
			Latency:    grouptest.Uniform(50*time.Microsecond, zoneLatency),
			ApplyDelay: 100 * time.Microsecond,
		})
		g.Bootstrap(0)
		r := replication.NewRunner(replication.Options{Client: g.Client(host), Slots: grouptest.Slots(n, "a", "b", "c")})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = r.Run(ctx) }()
		test(t, g, r)
		cancel()
		<-done
		time.Sleep(time.Minute) // lets the timers of the simulated group end
	})
}

// mustWrite writes value, waits until it is durable and returns its position.
func mustWrite(t *testing.T, g *grouptest.Group, r *replication.Runner, value string) group.Position {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s, term, err := r.WaitPrimary(ctx)
	if err != nil {
		t.Fatalf("wait for a primary: %v", err)
	}
	if _, err := g.Write(ctx, host, s.ID, value); err != nil {
		t.Fatalf("write: %v", err)
	}
	p, err := r.WaitDurable(ctx, term)
	if err != nil {
		t.Fatalf("wait until durable: %v", err)
	}
	return p
}

// Guards against failures without any fault: a write that is not acknowledged,
// or a read by token or barrier that misses it.
func TestWriteThenReadByTokenAndBarrier(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		withRunner(t, n, func(t *testing.T, g *grouptest.Group, r *replication.Runner) {
			p := mustWrite(t, g, r, "w1")
			barrier, err := r.Barrier(t.Context())
			if err != nil || barrier.Compare(p) != 0 {
				t.Fatalf("n=%d: got barrier %v, %v; want %v", n, barrier, err, p)
			}
			if n == 1 {
				return
			}
			s, err := r.WaitReplica(t.Context(), p, 0)
			if err != nil {
				t.Fatalf("wait for a replica: %v", err)
			}
			log, err := g.Read(t.Context(), host, s.ID)
			if err != nil || log[len(log)-1].Value != "w1" {
				t.Fatalf("read got %v, %v; want w1", log, err)
			}
		})
	}
}

// Guards against an unreachable or frozen slot that delays waits although enough
// other slots have answered.
func TestUnreachableReplicaDoesNotDelayWaits(t *testing.T) {
	faults := map[string]func(*grouptest.Group){
		"killed": func(g *grouptest.Group) { g.Kill(2) },
		"frozen": func(g *grouptest.Group) { g.Freeze(2) },
		"cut":    func(g *grouptest.Group) { g.CutBoth(host.Name, "db/2") },
	}
	for name, fault := range faults {
		withRunner(t, 3, func(t *testing.T, g *grouptest.Group, r *replication.Runner) {
			mustWrite(t, g, r, "w1")
			fault(g)
			for range 20 {
				start := time.Now()
				mustWrite(t, g, r, "w2")
				if d := time.Since(start); d > 15*time.Millisecond {
					t.Fatalf("%s: write took %v, want at most 15ms", name, d)
				}
				start = time.Now()
				if _, err := r.Barrier(t.Context()); err != nil {
					t.Fatal(err)
				}
				if d := time.Since(start); d > 15*time.Millisecond {
					t.Fatalf("%s: barrier took %v, want at most 15ms", name, d)
				}
			}
		})
	}
}

// Guards against a commit that is acknowledged while the quorum is lost, and
// against a wait that does not end once the quorum is back.
func TestCommitWithoutQuorumIsNotAcknowledged(t *testing.T) {
	withRunner(t, 3, func(t *testing.T, g *grouptest.Group, r *replication.Runner) {
		mustWrite(t, g, r, "w1")
		g.SetStalled(1, true)
		g.SetStalled(2, true)
		if _, err := g.Write(t.Context(), host, "db/0", "w2"); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if p, err := r.WaitDurable(ctx, 1); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("wait for a commit without quorum: got %v, %v; want a timeout", p, err)
		}
		g.SetStalled(2, false)
		if _, err := r.WaitDurable(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against an idle database that costs more than one request per slot and
// second.
func TestIdleRunnerAsksOncePerInterval(t *testing.T) {
	withRunner(t, 3, func(t *testing.T, g *grouptest.Group, r *replication.Runner) {
		time.Sleep(10*time.Second + 500*time.Millisecond) // between two rounds
		before := g.Counts()
		time.Sleep(60 * time.Second)
		if n := g.Counts().Status - before.Status; n > 180 {
			t.Fatalf("got %d status requests in 60 s, want at most 180", n)
		}
	})
}

// Guards against waits that hang after the runner has stopped.
func TestStoppedRunnerEndsWaits(t *testing.T) {
	withRunner(t, 3, func(t *testing.T, g *grouptest.Group, r *replication.Runner) {
		ctx, cancel := context.WithCancel(t.Context())
		s := replication.NewRunner(replication.Options{Client: g.Client(host), Slots: grouptest.Slots(3, "a", "b", "c")})
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		waited := make(chan error, 1)
		go func() { _, err := s.WaitDurable(t.Context(), 9); waited <- err }()
		time.Sleep(time.Second)
		cancel()
		<-ended
		if err := <-waited; !errors.Is(err, replication.ErrStopped) {
			t.Fatalf("wait on a stopped runner: got %v, want ErrStopped", err)
		}
	})
}
