package route

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fakeNet opens fake connections and keeps count of them.
type fakeNet struct {
	mu      sync.Mutex
	open    map[string]int
	peak    map[string]int
	dials   int
	latency time.Duration
	refuse  map[string]bool // peers that refuse connections
	conns   []*fakeConn
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
	n.mu.Unlock()
	err := sleep(ctx, latency)
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

type fakeConn struct {
	net    *fakeNet
	target Target
	closed bool
	silent bool
	pings  int
}

func (c *fakeConn) Ping(ctx context.Context) error {
	c.net.mu.Lock()
	c.pings++
	silent := c.silent
	c.net.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
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

// Guards against more connections than the share allows while dials are slow.
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
		if net.peak["a"] != 3 || net.dials != 3 {
			t.Errorf("peak %d, dials %d; want 3, 3", net.peak["a"], net.dials)
		}
		s.Close()
	})
}
