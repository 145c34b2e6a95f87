package route

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

const (
	// stallCheckAfter is how long an answer may take before the backend server is
	// asked about it, and the first interval between two questions.
	stallCheckAfter = 500 * time.Millisecond
	// maxStallCheckInterval bounds the interval, which doubles while the statement runs, so
	// that a long statement costs few questions.
	maxStallCheckInterval = 4 * time.Second
	// stallCheckMisses is the number of answers in a row that deny the statement. One
	// may be older than an answer that is still on its way.
	stallCheckMisses = 2
	// stallCheckTimeout bounds one question.
	stallCheckTimeout = 250 * time.Millisecond
)

// StatementCheck asks a backend server, on another connection than the one that
// waits, whether the backend process still runs a statement.
type StatementCheck func(ctx context.Context, slot group.Slot, pid uint32) (bool, error)

// stallCheckable is implemented by connections that tell whether they wait for an
// answer.
type stallCheckable interface {
	PID() uint32
	// WaitingSince returns since when the connection waits for bytes of an answer.
	WaitingSince() (since time.Time, ok bool)
}

// stallDetector finds connections that went silent for good while new ones work:
// the answer never comes although the backend server no longer runs the
// statement. A statement that is merely slow is never cut, since the backend
// server confirms it.
type stallDetector struct {
	mu    sync.Mutex
	waits map[*pooledConn]*answerWait
}

// answerWait is one wait for an answer that takes long.
type answerWait struct {
	since     time.Time
	nextCheck time.Time
	interval  time.Duration
	misses    int
	checking  bool
}

// due returns the connections to ask about now, and forgets waits that ended.
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
		since, blocked := w.WaitingSince()
		if !blocked || now.Sub(since) < stallCheckAfter {
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

// recordCheck records an answer and reports whether the connection is silent.
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
		// Whether the backend server is lost is for the failover to decide.
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

// checkStalled asks about the connections whose answers take long.
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

func (o *OwnerRouter) checkStatement(slot group.Slot, c *pooledConn) {
	ctx, cancel := context.WithTimeout(o.closing, stallCheckTimeout)
	defer cancel()
	running, err := o.cfg.CheckStatement(ctx, slot, c.conn.(stallCheckable).PID())
	if !o.stalls.recordCheck(c, time.Now(), running, err) {
		return
	}
	// The session that uses the connection sees it fail, and settles its
	// request by the rules for lost connections.
	o.pools.closeStalled(c)
}

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
