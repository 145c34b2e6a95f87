package route

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/retry"
)

// fakeNet opens and counts fake connections.
type fakeNet struct {
	mu           sync.Mutex
	open         map[string]int
	peak         map[string]int
	dials        int
	latency      time.Duration
	ignoreCancel bool            // dials ignore cancellation
	refuse       map[string]bool // peers that refuse connections
	conns        []*fakeConn
}

func newFakeNet() *fakeNet {
	return &fakeNet{open: map[string]int{}, peak: map[string]int{}, refuse: map[string]bool{}, latency: 12 * time.Millisecond}
}

var errRefused = errors.New("connection refused")

func (n *fakeNet) dial(ctx context.Context, t Target) (Conn, error) {
	n.mu.Lock()
	n.dials++
	n.open[t.Peer]++
	n.peak[t.Peer] = max(n.peak[t.Peer], n.open[t.Peer])
	latency := n.latency
	if n.ignoreCancel {
		ctx = context.Background()
	}
	n.mu.Unlock()
	err := retry.Sleep(ctx, latency)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil && n.refuse[t.Peer] {
		err = errRefused
	}
	if err != nil {
		n.open[t.Peer]--
		return nil, err
	}
	c := &fakeConn{net: n, target: t}
	n.conns = append(n.conns, c)
	return c, nil
}

// count returns the number of open connections to a peer and its peak.
func (n *fakeNet) count(peer string) (open, peak int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open[peer], n.peak[peer]
}

func (n *fakeNet) dialCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

func (c *fakeConn) isClosed() bool {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	return c.closed
}

func (n *fakeNet) setRefuse(peer string, refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refuse[peer] = refuse
}

// stopResponding makes the connections opened so far stop responding, and sets whether
// dials ignore cancellation.
func (n *fakeNet) stopResponding(ignoreCancel bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ignoreCancel = ignoreCancel
	for _, c := range n.conns {
		c.unresponsive = true
	}
}

type fakeConn struct {
	net          *fakeNet
	target       Target
	closed       bool
	unresponsive bool
	pings        int
}

func (c *fakeConn) Ping(ctx context.Context) error {
	c.net.mu.Lock()
	c.pings++
	unresponsive := c.unresponsive
	c.net.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	return retry.Sleep(ctx, 2*time.Millisecond)
}

func (c *fakeConn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closed {
		panic("connection closed twice")
	}
	c.closed = true
	c.net.open[c.target.Peer]--
	return nil
}

func limitOf(n int) func() int { return func() int { return n } }

func targetOf(peer string) Target {
	return Target{Peer: peer, Address: peer + ":5432", User: "u", Database: "d"}
}

// Guards against exceeding the connection limit while dials are slow, because
// dials in progress are not counted.
func TestPoolCountsDialsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		s := NewPools(PoolsConfig{Dial: net.dial, PeerLimit: limitOf(3)})
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				c, err := s.get(t.Context(), targetOf("a"))
				if err != nil {
					t.Error(err)
					return
				}
				time.Sleep(5 * time.Millisecond)
				s.put(c, true)
			})
		}
		wg.Wait()
		if net.peak["a"] != 3 || net.dialCount() != 3 {
			t.Errorf("peak %d, dials %d; want 3, 3", net.peak["a"], net.dialCount())
		}
		s.Close()
	})
}

func mustGet(t *testing.T, s *Pools, target Target) *pooledConn {
	t.Helper()
	c, err := s.get(t.Context(), target)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against using a connection that stopped responding while idle, against
// consecutive pings when all idle connections have, and against pings on
// connections that were used recently.
func TestPoolPingsBeforeReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		s := NewPools(PoolsConfig{Dial: net.dial, PeerLimit: limitOf(4)})
		defer s.Close()
		s.Warm(targetOf("a"), 4)
		time.Sleep(4 * time.Second)
		c := mustGet(t, s, targetOf("a"))
		s.put(c, true)
		if pings := c.conn.(*fakeConn).pings; pings != 0 {
			t.Errorf("%d pings of a connection that was just opened, want 0", pings)
		}
		time.Sleep(6 * time.Second)
		net.stopResponding(false)
		start := time.Now()
		c = mustGet(t, s, targetOf("a"))
		if c.conn.(*fakeConn).unresponsive {
			t.Error("an unresponsive connection was handed out")
		}
		if waited := time.Since(start); waited != defaultPingTimeout+net.latency {
			t.Errorf("waited %v, want one ping and one dial", waited)
		}
		s.put(c, true)
	})
}

// Guards against handing out a connection although the connections to its peer
// were closed during its ping.
func TestPoolClosedDuringPing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		s := NewPools(PoolsConfig{Dial: net.dial, PeerLimit: limitOf(4)})
		defer s.Close()
		old := mustGet(t, s, targetOf("a"))
		s.put(old, true)
		time.Sleep(6 * time.Second)
		time.AfterFunc(time.Millisecond, func() { s.ClosePeer("a") })
		c := mustGet(t, s, targetOf("a"))
		if c == old {
			t.Error("a closed connection was handed out")
		}
		s.put(c, true)
	})
}

// Guards against idle connections that are never closed, and against closing
// those that Warm keeps.
func TestPoolIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		s := NewPools(PoolsConfig{Dial: net.dial, PeerLimit: limitOf(8), IdleTimeout: 10 * time.Second})
		defer s.Close()
		s.Warm(targetOf("a"), 4)
		s.Warm(targetOf("a"), 2)
		time.Sleep(9 * time.Second)
		s.Maintain()
		if n := s.OpenConnections("a"); n != 4 {
			t.Errorf("%d connections before the timeout, want 4", n)
		}
		time.Sleep(2 * time.Second)
		s.Maintain()
		if n := s.OpenConnections("a"); n != 2 {
			t.Errorf("%d connections after the timeout, want the 2 warm ones", n)
		}
	})
}

// Guards against interrupting transactions on a leaving peer, against
// connections to a dead or replaced peer that stay open, and against new
// transactions on either.
func TestPoolClosesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		s := NewPools(PoolsConfig{Dial: net.dial, PeerLimit: limitOf(4)})
		defer s.Close()
		busy := func() *pooledConn {
			idle := mustGet(t, s, targetOf("a"))
			c := mustGet(t, s, targetOf("a"))
			s.put(idle, true)
			return c
		}
		c := busy()
		s.DrainPeer("a")
		if net.open["a"] != 1 || c.conn.(*fakeConn).closed {
			t.Errorf("%d connections to a leaving peer, want only the one in use", net.open["a"])
		}
		s.put(c, true)
		if net.open["a"] != 0 {
			t.Error("a connection to a leaving peer was kept after its release")
		}
		c = busy()
		s.ClosePeer("a")
		if net.open["a"] != 0 {
			t.Errorf("%d connections to a dead peer, want 0", net.open["a"])
		}
		s.put(c, true)
		c = busy()
		replaced := targetOf("a")
		replaced.Address = "other:5432"
		fresh := mustGet(t, s, replaced)
		if net.open["a"] != 1 || !c.conn.(*fakeConn).closed {
			t.Errorf("%d connections after the peer was replaced, want the new one", net.open["a"])
		}
		if _, err := s.get(t.Context(), targetOf("a")); !errors.Is(err, ErrPeerClosed) {
			t.Errorf("get with the old address: error %v, want ErrPeerClosed", err)
		}
		s.put(c, true)
		s.put(fresh, true)
	})
}

// Guards against a user that waits forever because idle connections of another
// user exhaust the limit.
func TestPoolMakesRoomForOtherUsers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		s := NewPools(PoolsConfig{Dial: net.dial, PeerLimit: limitOf(4), TotalLimit: limitOf(5)})
		defer s.Close()
		s.Warm(targetOf("a"), 4)
		time.Sleep(time.Second)
		other := targetOf("a")
		other.User = "v"
		s.put(mustGet(t, s, other), true)
		s.put(mustGet(t, s, targetOf("b")), true)
		s.put(mustGet(t, s, targetOf("c")), true)
		if net.peak["a"] > 4 || net.open["a"]+net.open["b"]+net.open["c"] > 5 {
			t.Errorf("open %v, peaks %v; want at most 4 to peer a and 5 in all", net.open, net.peak)
		}
	})
}
