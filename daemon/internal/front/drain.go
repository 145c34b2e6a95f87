package front

import (
	"context"
	"time"
)

// A drain ends the sessions of a host that is stopping. From its start on, new sessions
// are refused, so callers that still come try another host at once, and the drain ends
// with the last session. A load balancer may send callers to a stopping host until its
// process has ended, for example when most hosts of an availability zone are stopping.

const (
	// drainPollInterval is the time between checks of the sessions during a drain.
	drainPollInterval = 20 * time.Millisecond
	// stoppingReason is the detail of refusals during a drain.
	stoppingReason = "host is stopping"
)

// Drain refuses new sessions, and ends each open one once it is idle outside a
// transaction. After rollbackAfter it rolls back open transactions that are idle, and
// when ctx ends it closes the remaining sessions. It returns the number of sessions
// closed that way.
func (s *Server) Drain(ctx context.Context, rollbackAfter time.Time) int {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.endIdle(time.Now().After(rollbackAfter)) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return s.closeAll()
		}
	}
	return 0
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// endIdle ends idle sessions and returns the number of sessions that were open.
func (s *Server) endIdle(rollBack bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		ss.endIfIdle(rollBack)
	}
	return len(s.sessions)
}

// closeAll closes the connections of all sessions and returns their number.
func (s *Server) closeAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		_ = ss.conn.Close()
	}
	return len(s.sessions)
}
