package route

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

func (s *Pools) overLimit(p *peer) bool {
	return p.openConns > s.cfg.PeerLimit() || s.cfg.TotalLimit != nil && s.openConns > s.cfg.TotalLimit()
}

// hasRoom reports whether one more connection to the peer is within the limits.
func (s *Pools) hasRoom(p *peer) bool {
	if p.openConns >= s.cfg.PeerLimit() {
		return false
	}
	return s.cfg.TotalLimit == nil || s.openConns < s.cfg.TotalLimit()
}

// makeRoom closes idle connections to other targets, least recently used first,
// until one more connection is within the limits. It reports whether it is.
func (s *Pools) makeRoom(p *Pool) bool {
	for !s.hasRoom(p.peer) {
		var only *peer
		if p.peer.openConns >= s.cfg.PeerLimit() {
			only = p.peer
		}
		if !s.evict(only) {
			return false
		}
	}
	return true
}

// evict closes the least recently used idle connection, of one peer if given. It
// reports whether there was one.
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

// closeIdle closes the n least recently used idle connections of a pool. Close
// does not wait for the peer, so it may be called with the lock held.
func (s *Pools) closeIdle(p *Pool, n int) {
	for _, c := range p.idle[:n] {
		c.closed = true
		c.conn.Close()
		s.countClosed(p.peer)
	}
	p.idle = slices.Delete(p.idle, 0, n)
}

// countClosed removes a closed connection or failed dial from the counts.
func (s *Pools) countClosed(p *peer) {
	p.openConns--
	s.openConns--
}

// Warm opens connections to the target until n are idle or being opened, as far
// as the limits allow, and exempts n idle ones from the idle timeout. It does
// not wait for the dials, and starts none for 1 s after a failed dial.
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

// DrainPeer closes the idle connections to a peer that is leaving; those in use
// are closed when they are released. Waiting requests fail with ErrPeerClosed.
func (s *Pools) DrainPeer(name string) { s.closePeerByName(name, false) }

// ClosePeer closes all connections to a dead peer, including those in use.
// Waiting requests fail with ErrPeerClosed.
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

// closeUnused closes the idle connections of a pool that were unused for longer
// than age.
func (s *Pools) closeUnused(p *Pool, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdle(p, p.countUnused(age, 0))
	s.serveWaiters()
}

// Maintain closes connections that exceed the idle timeout or a lowered limit.
// The owner of the pools must call it at least about once per second.
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

// removeUnusedPeers removes peers that have no connections, pools or recently
// replaced addresses.
func (s *Pools) removeUnusedPeers() {
	used := make(map[*peer]bool, len(s.peers))
	for _, p := range s.pools {
		used[p.peer] = true
	}
	for name, p := range s.peers {
		maps.DeleteFunc(p.replaced, func(_ string, at time.Time) bool { return time.Since(at) >= replacedAddressTTL })
		if p.openConns == 0 && !used[p] && len(p.replaced) == 0 {
			p.generation.cancel()
			delete(s.peers, name)
		}
	}
}

// Close closes idle connections, fails waiting requests and waits for dials in
// progress. Connections in use are closed when they are released.
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

// connectionsByUser returns the number of connections to the peer for each user.
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

// resetMinIdleExcept lets the connections of users that are not listed reach the
// idle timeout.
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
		return p.openConns
	}
	return 0
}

// closeBusy closes the connections in use, at once if now is set and otherwise
// on their release.
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

// countUnused counts the idle connections that were unused for longer than age,
// leaving out the spare most recently used ones.
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

// closeStalled closes a stalled connection that is in use, and the idle ones of its
// pool, which have probably stalled for the same reason.
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
