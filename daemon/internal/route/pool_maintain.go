package route

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

func (s *Pools) overLimit(p *peer) bool {
	return p.open > s.cfg.PeerLimit() || s.cfg.TotalLimit != nil && s.open > s.cfg.TotalLimit()
}

// hasRoom reports whether one more connection to the peer is within the limits.
func (s *Pools) hasRoom(p *peer) bool {
	if p.open >= s.cfg.PeerLimit() {
		return false
	}
	return s.cfg.TotalLimit == nil || s.open < s.cfg.TotalLimit()
}

// makeRoom closes idle connections to other targets that stand in the way of
// a new connection, longest unused first.
func (s *Pools) makeRoom(p *Pool) bool {
	for !s.hasRoom(p.peer) {
		var only *peer
		if p.peer.open >= s.cfg.PeerLimit() {
			only = p.peer
		}
		if !s.evict(only) {
			return false
		}
	}
	return true
}

// evict closes the longest unused connection, of one peer if given.
func (s *Pools) evict(only *peer) bool {
	var oldest *Pool
	for _, p := range s.pools {
		if len(p.idle) == 0 || only != nil && p.peer != only {
			continue
		}
		if oldest == nil || p.idle[0].lastUsed.Before(oldest.idle[0].lastUsed) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	s.closeIdle(oldest, 1)
	return true
}

// closeIdle closes the n longest unused connections of a pool. Close does not
// wait for the peer, so the lock may be held.
func (s *Pools) closeIdle(p *Pool, n int) {
	for _, c := range p.idle[:n] {
		c.closed = true
		c.conn.Close()
		s.countClosed(p.peer)
	}
	p.idle = slices.Delete(p.idle, 0, n)
}

func (s *Pools) countClosed(p *peer) {
	p.open--
	s.open--
}

// Warm opens connections to the target ahead of need until n are free or being
// opened, as far as the limits allow, and keeps n idle ones from the idle
// timeout. It returns at once, and does nothing for a while after a failed dial.
func (s *Pools) Warm(t Target, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	p := s.poolFor(t)
	if p == nil {
		return
	}
	p.minIdle = n
	if time.Since(p.lastDialFailure) < warmBackoff {
		return
	}
	for len(p.idle)+p.dialing < n && s.hasRoom(p.peer) {
		s.startDial(p)
	}
}

// DrainPeer closes the idle connections to a peer that is leaving; those in
// use are closed when they are released. Requests that wait get ErrPeerClosed.
func (s *Pools) DrainPeer(name string) { s.closePeerByName(name, false) }

// ClosePeer closes all connections to a peer that is dead, also those in use.
// Requests that wait get ErrPeerClosed.
func (s *Pools) ClosePeer(name string) { s.closePeerByName(name, true) }

func (s *Pools) closePeerByName(name string, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[name]; p != nil {
		s.closePeer(p, busy)
		s.serveWaiters()
	}
}

func (s *Pools) closePeer(pr *peer, busy bool) {
	pr.generation.cancel()
	pr.generation = newGeneration()
	for t, p := range s.pools {
		if p.peer != pr {
			continue
		}
		s.closeIdle(p, len(p.idle))
		p.closeBusy(busy)
		for p.waiting > 0 {
			s.failFirstWaiter(p, fmt.Errorf("%s: %w", pr.name, ErrPeerClosed))
		}
		if p.size() == 0 {
			delete(s.pools, t)
		}
	}
}

// closeUnused closes the idle connections of a pool that were unused for age.
func (s *Pools) closeUnused(p *Pool, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle(p, p.countUnused(age, 0))
	s.serveWaiters()
}

// Maintain closes connections that exceed the idle timeout or a lowered limit.
// The owner of the pools calls it every second or so.
func (s *Pools) Maintain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t, p := range s.pools {
		s.closeIdle(p, p.countUnused(s.cfg.IdleTimeout, p.minIdle))
		for len(p.idle) > 0 && s.overLimit(p.peer) {
			s.closeIdle(p, 1)
		}
		if p.size() == 0 && p.waiting == 0 && p.minIdle == 0 {
			delete(s.pools, t)
		}
	}
	s.serveWaiters()
	s.removeUnusedPeers()
}

// removeUnusedPeers drops peers without connections and pools.
func (s *Pools) removeUnusedPeers() {
	used := make(map[*peer]bool, len(s.peers))
	for _, p := range s.pools {
		used[p.peer] = true
	}
	for name, p := range s.peers {
		maps.DeleteFunc(p.replaced, func(_ string, at time.Time) bool { return time.Since(at) >= replacedAddressTTL })
		if p.open == 0 && !used[p] && len(p.replaced) == 0 {
			p.generation.cancel()
			delete(s.peers, name)
		}
	}
}

// Close closes idle connections, refuses waiting requests and waits for dials
// in progress. Connections in use are closed when they are released.
func (s *Pools) Close() {
	s.mu.Lock()
	s.closed = true
	for _, p := range s.peers {
		s.closePeer(p, false)
		p.generation.cancel()
	}
	s.mu.Unlock()
	s.dials.Wait()
}

// connectionsByUser returns the number of connections to the peer by user.
func (s *Pools) connectionsByUser(name string) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	users := make(map[string]int)
	for t, p := range s.pools {
		if t.Peer == name && p.size() > 0 {
			users[t.User] += p.size()
		}
	}
	return users
}

// resetMinIdleExcept lets the connections of users that are not listed reach the idle
// timeout.
func (s *Pools) resetMinIdleExcept(users map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t, p := range s.pools {
		if users[t.User] == 0 {
			p.minIdle = 0
		}
	}
}

// OpenConnections returns the number of connections to the peer, dials in progress
// included.
func (s *Pools) OpenConnections(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[name]; p != nil {
		return p.open
	}
	return 0
}

// closeBusy closes the connections in use now, or else on their release.
func (p *Pool) closeBusy(now bool) {
	for _, c := range p.busy {
		c.closeOnRelease = true
	}
	if !now {
		return
	}
	for _, c := range p.busy {
		c.closed = true
		c.conn.Close()
		p.pools.countClosed(p.peer)
	}
	p.busy = nil
}

// countUnused counts the idle connections that were countUnused for age, leaving spare.
func (p *Pool) countUnused(age time.Duration, spare int) int {
	n := 0
	for n < len(p.idle)-spare && time.Since(p.idle[n].lastUsed) > age {
		n++
	}
	return n
}

// busyConns returns the connections in use.
func (s *Pools) busyConns() []*pooledConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*pooledConn
	for _, p := range s.pools {
		out = append(out, p.busy...)
	}
	return out
}

// closeStalled closes a connection in use and the idle ones of its pool, which
// have probably gone silent with it.
func (s *Pools) closeStalled(c *pooledConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closed && slices.Contains(c.pool.busy, c) {
		c.closed = true
		c.pool.removeBusy(c)
		c.conn.Close()
		s.countClosed(c.pool.peer)
	}
	s.closeIdle(c.pool, len(c.pool.idle))
	s.serveWaiters()
}
