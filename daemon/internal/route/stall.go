package route

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

const (
	// stallCheckAfter is how long a response may take before the backend server is
	// asked about the statement, and the first interval between two checks.
	stallCheckAfter = 500 * time.Millisecond
	// maxStallCheckInterval is the longest interval between checks. The interval
	// doubles while the statement runs, so that a long statement costs few
	// checks.
	maxStallCheckInterval = 4 * time.Second
	// stallCheckMisses is the number of consecutive checks that must report the
	// statement as not running. After a single one, the response may still be in
	// transit.
	stallCheckMisses = 2
	// stallCheckTimeout is the timeout of one check.
	stallCheckTimeout = 250 * time.Millisecond
)

// StatementCheck asks a backend server, on a separate connection, whether the
// backend process with the given PID is still running a statement.
type StatementCheck func(ctx context.Context, slot group.Slot, pid uint32) (bool, error)

// stallCheckable is implemented by connections that can be checked for stalls.
type stallCheckable interface {
	PID() uint32
	// WaitingSince returns the time since which the connection has been waiting
	// for bytes of a response; ok is false if it is not waiting.
	WaitingSince() (since time.Time, ok bool)
}

// stallDetector detects connections that no longer deliver data while new ones
// work: the response never arrives although the backend server no longer runs
// the statement. A slow statement is never interrupted, because the backend
// server reports it as running.
type stallDetector struct {
	mu    sync.Mutex
	waits map[*pooledConn]*answerWait
}

// answerWait is the state of one long wait for a response.
type answerWait struct {
	since     time.Time
	nextCheck time.Time
	interval  time.Duration
	misses    int
	checking  bool
}

// due returns the connections to check now, and removes waits that have ended.
func (s *stallDetector) due(now time.Time, busy []*pooledConn) []*pooledConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[*pooledConn]*answerWait)
	var out []*pooledConn
	for _, c := range busy {
		w, ok := c.conn.(stallCheckable)
		if !ok {
			continue
		}
		since, waiting := w.WaitingSince()
		if !waiting || now.Sub(since) < stallCheckAfter {
			continue
		}
		wait := s.waits[c]
		if wait == nil || !wait.since.Equal(since) {
			wait = &answerWait{since: since, interval: stallCheckAfter}
		}
		kept[c] = wait
		if !wait.checking && !now.Before(wait.nextCheck) {
			wait.checking = true
			out = append(out, c)
		}
	}
	s.waits = kept
	return out
}

// recordCheck records the result of a check and reports whether the connection has
// stalled.
func (s *stallDetector) recordCheck(c *pooledConn, now time.Time, running bool, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := s.waits[c]
	if wait == nil {
		return false
	}
	wait.checking = false
	switch {
	case err != nil:
		// A failed check says nothing about the statement; failover handles the
		// loss of a backend server.
	case running:
		wait.misses = 0
		wait.interval = min(2*wait.interval, maxStallCheckInterval)
	default:
		wait.misses++
		wait.interval = maintainInterval
	}
	wait.nextCheck = now.Add(wait.interval)
	return wait.misses >= stallCheckMisses
}

// checkStalled starts checks of the connections whose responses take long.
func (o *OwnerRouter) checkStalled(now time.Time) {
	if o.cfg.CheckStatement == nil {
		return
	}
	for _, c := range o.stalls.due(now, o.pools.busyConns()) {
		slot, ok := o.slotOf(c)
		if !ok {
			continue
		}
		o.tasks.Go(func() { o.checkStatement(slot, c) })
	}
}

// checkStatement checks one connection and closes it if it has stalled.
func (o *OwnerRouter) checkStatement(slot group.Slot, c *pooledConn) {
	ctx, cancel := context.WithTimeout(o.closing, stallCheckTimeout)
	defer cancel()
	running, err := o.cfg.CheckStatement(ctx, slot, c.conn.(stallCheckable).PID())
	if !o.stalls.recordCheck(c, time.Now(), running, err) {
		return
	}
	// The session that uses the connection handles its request as after any
	// lost connection.
	o.pools.closeStalled(c)
}

// slotOf returns the slot that the connection leads to, and false if it was
// removed.
func (o *OwnerRouter) slotOf(c *pooledConn) (group.Slot, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.slots {
		if string(s.ID) == c.pool.target.Peer {
			return s, true
		}
	}
	return group.Slot{}, false
}
