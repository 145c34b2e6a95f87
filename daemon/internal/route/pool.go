package route

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Target identifies the peer, user and database of a connection.
type Target struct {
	// Peer is the ID of a slot or the name of an owner host.
	Peer string
	// Address is the peer's host:port. A new address for the same peer means
	// that the machine was replaced; no more connections are opened to the old
	// address.
	Address  string
	User     string
	Database string
}

// DialFunc opens a connection that is ready for a transaction.
type DialFunc func(ctx context.Context, t Target) (Conn, error)

// Defaults of PoolsConfig.
const (
	defaultIdleTimeout = 60 * time.Second
	defaultPingAfter   = 5 * time.Second
	// defaultPingTimeout allows for one round trip between regions, 40 ms at most.
	// If a ping takes much longer, opening a new connection is faster.
	defaultPingTimeout = 250 * time.Millisecond
	defaultDialTimeout = 2 * time.Second
	// replacedAddressTTL is how long a replaced address is refused. It exceeds the
	// time that any request waits with an address it has looked up.
	replacedAddressTTL = 5 * time.Minute
	// warmBackoff is the pause of Warm after a failed dial, so that it does not
	// dial a dead peer on every call.
	warmBackoff = time.Second
)

// Errors of a pool that provides no connection.
var (
	// ErrPoolClosed reports that the Pools were closed.
	ErrPoolClosed = errors.New("connection pool is closed")
	// ErrPeerClosed reports that the connections to the peer were closed during
	// the wait, or that its address has been replaced.
	ErrPeerClosed = errors.New("connections to the peer were closed")
)

// PoolsConfig configures Pools. For zero durations the default in parentheses
// applies.
type PoolsConfig struct {
	// Dial opens a connection to a target.
	Dial DialFunc
	// PeerLimit bounds the connections to one peer, over all users and
	// including dials in progress. It is called with a lock held and must not
	// block.
	PeerLimit func() int
	// TotalLimit bounds the connections to all peers; nil means no bound. It is
	// called like PeerLimit.
	TotalLimit func() int
	// IdleTimeout is how long an unused connection is kept (60 seconds).
	IdleTimeout time.Duration
	// PingAfter is how long a connection may be unused before it is pinged
	// ahead of its next use (5 seconds).
	PingAfter time.Duration
	// PingTimeout bounds a ping (250 ms).
	PingTimeout time.Duration
	// DialTimeout bounds a call of Dial (2 seconds).
	DialTimeout time.Duration
	// OnFailure, if not nil, is called after a failed dial or ping.
	OnFailure func(t Target, err error)
}

// Pools holds the connections of one database to its backend servers, or of
// one host to owner hosts: a Pool for each target, under common limits.
//
// Every connection counts against the limits from the start of its dial until
// its Close has returned. Requests that find no idle connection wait in arrival
// order, and a dial is started for each as far as the limits allow. A connection
// that becomes free, by dial or by release, goes to the first request that waits
// for its target. If a limit prevents a dial, idle connections to other targets
// are closed to make room.
type Pools struct {
	cfg PoolsConfig

	mu        sync.Mutex
	peers     map[string]*peer
	pools     map[Target]*Pool
	openConns int
	waiters   []*waiter
	closed    bool
	dials     sync.WaitGroup
}

// Pool holds the connections to one target. Its fields are guarded by the mutex
// of its Pools.
type Pool struct {
	pools           *Pools
	peer            *peer
	target          Target
	idle            []*pooledConn // least recently used first
	busy            []*pooledConn
	dialing         int
	waiting         int
	minIdle         int // idle connections kept beyond the idle timeout
	lastDialFailure time.Time
}

// peer is the state shared by all pools of one peer. Closing the peer's
// connections replaces its generation, which invalidates dials in progress.
type peer struct {
	name       string
	address    string
	replaced   map[string]time.Time // earlier addresses and when they were replaced
	openConns  int
	generation *generation
}

// generation is canceled when the connections of its peer are closed.
type generation struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// pooledConn is a connection of a Pool, idle or in use.
type pooledConn struct {
	conn           Conn
	pool           *Pool
	index          int // position in pool.busy
	lastUsed       time.Time
	closeOnRelease bool // set when the peer's connections are closed
	closed         bool // set when it no longer counts against the limits
}

// waiter is a request that waits for a connection of a pool.
type waiter struct {
	pool   *Pool
	result chan grant
}

// grant is the result of a wait: a connection or an error.
type grant struct {
	conn *pooledConn
	err  error
}

// NewPools returns an empty set of pools.
func NewPools(cfg PoolsConfig) *Pools {
	setDefault(&cfg.IdleTimeout, defaultIdleTimeout)
	setDefault(&cfg.PingAfter, defaultPingAfter)
	setDefault(&cfg.PingTimeout, defaultPingTimeout)
	setDefault(&cfg.DialTimeout, defaultDialTimeout)
	return &Pools{
		cfg:   cfg,
		peers: make(map[string]*peer),
		pools: make(map[Target]*Pool),
	}
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d <= 0 {
		*d = v
	}
}

// get returns a connection for exclusive use until put. It fails with the
// context's error, the dial's error, ErrPoolClosed or ErrPeerClosed.
func (s *Pools) get(ctx context.Context, t Target) (*pooledConn, error) {
	for {
		c, err := s.acquire(ctx, t)
		if err != nil {
			return nil, err
		}
		if time.Since(c.lastUsed) <= s.cfg.PingAfter {
			return c, nil
		}
		if err := s.ping(ctx, c); err == nil && s.checkUsable(c) {
			return c, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
}

// checkUsable reports whether the connection is still usable after a ping. If
// the peer's connections were closed meanwhile, it closes this one too.
func (s *Pools) checkUsable(c *pooledConn) bool {
	s.mu.Lock()
	retired := c.closeOnRelease
	s.mu.Unlock()
	if retired {
		s.put(c, false)
	}
	return !retired
}

// ping checks a connection that was unused for long. If it fails, the other
// connections to the target that were unused for long are closed too: network
// faults usually affect all of them, and a request should wait for at most one
// failed ping.
func (s *Pools) ping(ctx context.Context, c *pooledConn) error {
	pingCtx, cancel := context.WithTimeout(ctx, s.cfg.PingTimeout)
	defer cancel()
	err := c.conn.Ping(pingCtx)
	if err == nil {
		return nil
	}
	s.put(c, false)
	if ctx.Err() != nil {
		return err
	}
	s.closeUnused(c.pool, s.cfg.PingAfter)
	s.reportFailure(c.pool.target, err)
	return err
}

func (s *Pools) reportFailure(t Target, err error) {
	if s.cfg.OnFailure != nil {
		s.cfg.OnFailure(t, err)
	}
}

// tryGet returns nil if no connection is idle or the idle one needs a ping.
func (s *Pools) tryGet(t Target) *pooledConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[t]
	if p == nil || p.peer.address != t.Address || s.closed || p.waiting > 0 || len(p.idle) == 0 {
		return nil
	}
	if time.Since(p.idle[len(p.idle)-1].lastUsed) > s.cfg.PingAfter {
		return nil
	}
	return p.popIdle()
}

// acquire takes an idle connection to the target or waits for one, without a ping.
func (s *Pools) acquire(ctx context.Context, t Target) (*pooledConn, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, ErrPoolClosed
	}
	p := s.poolFor(t)
	if p == nil {
		s.mu.Unlock()
		return nil, ErrPeerClosed
	}
	if p.waiting == 0 && len(p.idle) > 0 {
		c := p.popIdle()
		s.mu.Unlock()
		return c, nil
	}
	w := &waiter{pool: p, result: make(chan grant, 1)}
	s.waiters = append(s.waiters, w)
	p.waiting++
	s.serveWaiters()
	s.mu.Unlock()
	select {
	case g := <-w.result:
		return g.conn, g.err
	case <-ctx.Done():
		return nil, s.cancelWait(w, ctx.Err())
	}
}

// cancelWait removes a waiter whose context has ended, and returns the connection
// that it was granted meanwhile to the pool.
func (s *Pools) cancelWait(w *waiter, err error) error {
	s.mu.Lock()
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.removeWaiter(i)
		s.mu.Unlock()
		return err
	}
	s.mu.Unlock()
	if g := <-w.result; g.conn != nil {
		s.put(g.conn, true)
	}
	return err
}

// put returns a connection to its pool. It closes the connection if clean is not
// set, if its peer or the pools were closed, or if a limit is exceeded.
func (s *Pools) put(c *pooledConn, clean bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return
	}
	c.pool.removeBusy(c)
	if clean && !c.closeOnRelease && !s.closed && !s.overLimit(c.pool.peer) {
		c.lastUsed = time.Now()
		c.pool.idle = append(c.pool.idle, c)
		s.serveWaiters()
		return
	}
	c.closed = true
	s.mu.Unlock()
	c.conn.Close()
	s.mu.Lock()
	s.countClosed(c.pool.peer)
	s.serveWaiters()
}

// poolFor returns the pool of the target. If the peer has a new address, the
// connections to the old one are closed. It returns nil for an address that was
// replaced: a request may have looked it up before the change.
func (s *Pools) poolFor(t Target) *Pool {
	if p := s.pools[t]; p != nil && p.peer.address == t.Address {
		return p
	}
	pr := s.peers[t.Peer]
	if pr == nil {
		pr = &peer{name: t.Peer, address: t.Address, generation: newGeneration()}
		s.peers[t.Peer] = pr
	}
	if pr.address != t.Address && !s.changeAddress(pr, t.Address) {
		return nil
	}
	p := s.pools[t]
	if p == nil {
		p = &Pool{pools: s, peer: pr, target: t}
		s.pools[t] = p
	}
	return p
}

// changeAddress sets a new address for a peer. It reports false for an address that
// was replaced less than replacedAddressTTL ago.
func (s *Pools) changeAddress(pr *peer, address string) bool {
	if at, ok := pr.replaced[address]; ok && time.Since(at) < replacedAddressTTL {
		return false
	}
	s.closePeer(pr, true)
	if pr.replaced == nil {
		pr.replaced = make(map[string]time.Time)
	}
	delete(pr.replaced, address)
	pr.replaced[pr.address] = time.Now()
	pr.address = address
	return true
}

func newGeneration() *generation {
	ctx, cancel := context.WithCancel(context.Background())
	return &generation{ctx: ctx, cancel: cancel}
}

// serveWaiters assigns idle connections to waiters in arrival order, and starts
// dials for the others as far as the limits allow.
func (s *Pools) serveWaiters() {
	for i := 0; i < len(s.waiters); {
		w := s.waiters[i]
		if len(w.pool.idle) > 0 {
			s.removeWaiter(i)
			w.result <- grant{conn: w.pool.popIdle()}
			continue
		}
		if w.pool.dialing < w.pool.waiting && s.makeRoom(w.pool) {
			s.startDial(w.pool)
		}
		i++
	}
}

func (s *Pools) removeWaiter(i int) {
	s.waiters[i].pool.waiting--
	s.waiters = slices.Delete(s.waiters, i, i+1)
}

func (s *Pools) startDial(p *Pool) {
	p.dialing++
	p.peer.openConns++
	s.openConns++
	s.dials.Add(1)
	go s.dial(p, p.peer.generation)
}

// dial opens a connection in the generation that was current at its start. The
// connection is closed if the peer was closed or a limit lowered meanwhile.
func (s *Pools) dial(p *Pool, g *generation) {
	defer s.dials.Done()
	ctx, cancel := context.WithTimeout(g.ctx, s.cfg.DialTimeout)
	defer cancel()
	conn, err := s.cfg.Dial(ctx, p.target)
	if err != nil {
		s.dialFailed(p, g, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.dialing--
	if s.closed || g != p.peer.generation || s.overLimit(p.peer) {
		s.mu.Unlock()
		conn.Close()
		s.mu.Lock()
		s.countClosed(p.peer)
		s.serveWaiters()
		return
	}
	p.idle = append(p.idle, &pooledConn{conn: conn, pool: p, lastUsed: time.Now()})
	s.serveWaiters()
}

// dialFailed fails the request that has waited longest for the target.
func (s *Pools) dialFailed(p *Pool, g *generation, err error) {
	s.mu.Lock()
	p.dialing--
	p.lastDialFailure = time.Now()
	s.countClosed(p.peer)
	current := g == p.peer.generation
	if current {
		s.failFirstWaiter(p, fmt.Errorf("connect to %s at %s: %w", p.target.Peer, p.target.Address, err))
	}
	s.serveWaiters()
	s.mu.Unlock()
	if current {
		s.reportFailure(p.target, err)
	}
}

// failFirstWaiter passes the error to the first request that waits for the pool.
func (s *Pools) failFirstWaiter(p *Pool, err error) {
	i := slices.IndexFunc(s.waiters, func(w *waiter) bool { return w.pool == p })
	if i < 0 {
		return
	}
	w := s.waiters[i]
	s.removeWaiter(i)
	w.result <- grant{err: err}
}

func (p *Pool) size() int { return len(p.idle) + len(p.busy) + p.dialing }

// popIdle takes the most recently used connection, so that the others can reach
// the idle timeout.
func (p *Pool) popIdle() *pooledConn {
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	c.index = len(p.busy)
	p.busy = append(p.busy, c)
	return c
}

func (p *Pool) removeBusy(c *pooledConn) {
	last := len(p.busy) - 1
	p.busy[c.index] = p.busy[last]
	p.busy[c.index].index = c.index
	p.busy[last] = nil
	p.busy = p.busy[:last]
}
