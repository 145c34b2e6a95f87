package route

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	_ "github.com/gypsumgap/gypsumgap/core/testseed"
	"pgregory.net/rapid"
)

// poolOp is one step of a randomized run. The steps are drawn before the run,
// because a rapid test must not fail inside a synctest bubble.
type poolOp struct {
	Kind   string
	Peer   string
	User   string
	Clean  bool
	Amount int
	Wait   time.Duration
	Hold   time.Duration
}

var poolOpKinds = []string{
	"get", "get", "get", "get", "get", "get", "pass", "pass", "limit", "total", "drain", "close",
	"warm", "maintain", "refuse", "silence", "replace",
}

func drawPoolOp(t *rapid.T) poolOp {
	return poolOp{
		Kind:   rapid.SampledFrom(poolOpKinds).Draw(t, "kind"),
		Peer:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "peer"),
		User:   rapid.SampledFrom([]string{"u", "v"}).Draw(t, "user"),
		Clean:  rapid.IntRange(0, 3).Draw(t, "clean") > 0,
		Amount: rapid.IntRange(0, 5).Draw(t, "amount"),
		// Durations close to that of a dial make requests time out just as they
		// get a connection.
		Wait: rapid.SampledFrom([]time.Duration{12, 24, 36, 200, 8000}).Draw(t, "wait") * time.Millisecond,
		Hold: rapid.SampledFrom([]time.Duration{12, 24, 250}).Draw(t, "hold") * time.Millisecond,
	}
}

// poolModel checks the invariants of a Pools during a randomized run.
type poolModel struct {
	net       *fakeNet
	pools     *Pools
	mu        sync.Mutex
	peerLimit int
	total     int
	address   map[string]string
	err       error
	users     map[Conn]int
	closings  map[string]int // DrainPeer and ClosePeer calls by peer
	dialed    map[Conn]int   // value of closings for the peer when the dial began
	requests  sync.WaitGroup
}

func (r *poolModel) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = fmt.Errorf(format, args...)
	}
}

func (r *poolModel) limits() (peer, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerLimit, r.total
}

// dial checks that the new connection is within the limits.
func (r *poolModel) dial(ctx context.Context, t Target) (Conn, error) {
	peer, total := r.limits()
	r.net.mu.Lock()
	open, all := r.net.open[t.Peer]+1, r.net.open["a"]+r.net.open["b"]+1
	r.net.mu.Unlock()
	if open > peer || all > total {
		r.fail("dial of connection %d to %s and %d in all, limits %d and %d", open, t.Peer, all, peer, total)
	}
	r.mu.Lock()
	closings := r.closings[t.Peer]
	r.mu.Unlock()
	conn, err := r.net.dial(ctx, t)
	if err == nil {
		r.mu.Lock()
		r.dialed[conn] = closings
		r.mu.Unlock()
	}
	return conn, err
}

func (r *poolModel) target(op poolOp) Target {
	return Target{Peer: op.Peer, Address: r.address[op.Peer], User: op.User, Database: "d"}
}

func (r *poolModel) get(op poolOp) {
	target := r.target(op)
	r.requests.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), op.Wait)
		defer cancel()
		c, err := r.pools.get(ctx, target)
		if err != nil {
			return
		}
		r.enter(c, target)
		time.Sleep(op.Hold)
		r.mu.Lock()
		r.users[c.conn]--
		r.mu.Unlock()
		r.pools.put(c, op.Clean)
	})
}

func (r *poolModel) enter(c *pooledConn, target Target) {
	conn := c.conn.(*fakeConn)
	r.net.mu.Lock()
	closed := conn.closed
	r.net.mu.Unlock()
	// This is read after conn.closed: the pool marks a connection as closed
	// before it closes it, and may do both between the two reads.
	r.pools.mu.Lock()
	gone := c.closed
	r.pools.mu.Unlock()
	if closed && !gone {
		r.fail("a closed connection was handed out")
	}
	if conn.target != target {
		r.fail("connection to %v handed out for %v", conn.target, target)
	}
	r.mu.Lock()
	r.users[conn]++
	shared := r.users[conn] > 1
	stale := r.dialed[conn] != r.closings[target.Peer]
	r.mu.Unlock()
	if stale {
		r.fail("a connection from before the peer was closed was handed out")
	}
	if shared {
		r.fail("a connection was handed out twice")
	}
}

func (r *poolModel) closed(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closings[peer]++
}

func (r *poolModel) step(op poolOp) {
	switch op.Kind {
	case "get":
		r.get(op)
	case "pass":
		time.Sleep(op.Wait)
	case "limit":
		r.mu.Lock()
		r.peerLimit = op.Amount
		r.mu.Unlock()
	case "total":
		r.mu.Lock()
		r.total = 2 * op.Amount
		r.mu.Unlock()
	case "drain":
		r.closed(op.Peer)
		r.pools.DrainPeer(op.Peer)
	case "close":
		r.closed(op.Peer)
		r.pools.ClosePeer(op.Peer)
	case "warm":
		r.pools.Warm(r.target(op), op.Amount)
	case "maintain":
		r.pools.Maintain()
	case "refuse":
		r.net.setRefuse(op.Peer, !op.Clean)
	case "silence":
		r.net.stopResponding(op.Clean)
	case "replace":
		r.address[op.Peer] += "'"
	}
}

// check fails the run if a request waits although a connection to its target is
// idle, or if connections are miscounted.
func (r *poolModel) check() {
	s := r.pools
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := 0
	for _, p := range s.pools {
		counted += p.size()
		if p.waiting > 0 && len(p.idle) > 0 {
			r.fail("%d requests wait for %v although %d connections are idle", p.waiting, p.target, len(p.idle))
		}
	}
	if counted != s.openConns {
		r.fail("%d connections counted, %d in pools", s.openConns, counted)
	}
}

func (r *poolModel) run(ops []poolOp) error {
	for _, op := range ops {
		r.step(op)
		synctest.Wait()
		r.pools.Maintain()
		synctest.Wait()
		r.check()
	}
	r.checkLiveness()
	r.requests.Wait()
	r.pools.Close()
	for peer, n := range r.net.open {
		if n != 0 {
			r.fail("%d connections to %s are open at the end", n, peer)
		}
	}
	if len(r.pools.waiters) != 0 {
		r.fail("%d requests wait at the end", len(r.pools.waiters))
	}
	return r.err
}

// checkLiveness checks that a request gets a connection after all faults have
// ended.
func (r *poolModel) checkLiveness() {
	r.mu.Lock()
	r.peerLimit, r.total = 2, 4
	r.mu.Unlock()
	for _, peer := range []string{"a", "b"} {
		r.net.setRefuse(peer, false)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		c, err := r.pools.get(ctx, r.target(poolOp{Peer: peer, User: "u"}))
		cancel()
		if err != nil {
			r.fail("no connection to %s after all faults: %v", peer, err)
			continue
		}
		r.pools.put(c, true)
	}
}

// Guards against exceeding a limit under any order of requests and faults,
// against handing out a connection twice, after it was closed or for another
// target, against requests that wait while a connection is idle, and leaks.
func TestPoolsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ops := rapid.SliceOfN(rapid.Custom(drawPoolOp), 1, 60).Draw(rt, "ops")
		var err error
		synctest.Test(t, func(*testing.T) {
			r := &poolModel{
				net:       newFakeNet(),
				peerLimit: 3,
				total:     4,
				address:   map[string]string{"a": "a:1", "b": "b:1"},
				users:     map[Conn]int{},
				closings:  map[string]int{},
				dialed:    map[Conn]int{},
			}
			r.pools = NewPools(PoolsConfig{
				Dial:       r.dial,
				PeerLimit:  func() int { n, _ := r.limits(); return n },
				TotalLimit: func() int { _, n := r.limits(); return n },
			})
			err = r.run(ops)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
