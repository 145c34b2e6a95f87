package route

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

const (
	// silentAfter is how long an answer may take before the backend server is
	// asked about it, and the first interval between two questions.
	silentAfter = 500 * time.Millisecond
	// silentMax bounds the interval, which doubles while the statement runs, so
	// that a long statement costs few questions.
	silentMax = 4 * time.Second
	// silentMisses is the number of answers in a row that deny the statement. One
	// may be older than an answer that is still on its way.
	silentMisses = 2
	// silentTimeout bounds one question.
	silentTimeout = 250 * time.Millisecond
)

// StatementCheck asks a backend server, on another connection than the one that
// waits, whether the backend process still runs a statement.
type StatementCheck func(ctx context.Context, slot group.Slot, pid uint32) (bool, error)

// answerWaiter is implemented by connections that tell whether they wait for an
// answer.
type answerWaiter interface {
	PID() uint32
	// WaitingSince returns since when the connection waits for bytes of an answer.
	WaitingSince() (since time.Time, ok bool)
}

// silentConns finds connections that went silent for good while new ones work:
// the answer never comes although the backend server no longer runs the
// statement. A statement that is merely slow is never cut, since the backend
// server confirms it.
type silentConns struct {
	mu    sync.Mutex
	waits map[*pooled]*answerWait
}

// answerWait is one wait for an answer that takes long.
type answerWait struct {
	since    time.Time
	next     time.Time
	interval time.Duration
	misses   int
	asking   bool
}

// due returns the connections to ask about now, and forgets waits that ended.
func (s *silentConns) due(now time.Time, busy []*pooled) []*pooled {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[*pooled]*answerWait)
	var out []*pooled
	for _, c := range busy {
		w, ok := c.conn.(answerWaiter)
		if !ok {
			continue
		}
		since, blocked := w.WaitingSince()
		if !blocked || now.Sub(since) < silentAfter {
			continue
		}
		wait := s.waits[c]
		if wait == nil || !wait.since.Equal(since) {
			wait = &answerWait{since: since, interval: silentAfter}
		}
		kept[c] = wait
		if !wait.asking && !now.Before(wait.next) {
			wait.asking = true
			out = append(out, c)
		}
	}
	s.waits = kept
	return out
}

// asked records an answer and reports whether the connection is silent.
func (s *silentConns) asked(c *pooled, now time.Time, running bool, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := s.waits[c]
	if wait == nil {
		return false
	}
	wait.asking = false
	switch {
	case err != nil:
		// Whether the backend server is lost is for the failover to decide.
	case running:
		wait.misses = 0
		wait.interval = min(2*wait.interval, silentMax)
	default:
		wait.misses++
		wait.interval = maintainInterval
	}
	wait.next = now.Add(wait.interval)
	return wait.misses >= silentMisses
}

// checkSilent asks about the connections whose answers take long.
func (o *OwnerRouter) checkSilent(now time.Time) {
	if o.cfg.CheckStatement == nil {
		return
	}
	for _, c := range o.silent.due(now, o.pools.busy()) {
		slot, ok := o.slotOf(c)
		if !ok {
			continue
		}
		o.tasks.Go(func() { o.askRunning(slot, c) })
	}
}

func (o *OwnerRouter) askRunning(slot group.Slot, c *pooled) {
	ctx, cancel := context.WithTimeout(o.closing, silentTimeout)
	defer cancel()
	running, err := o.cfg.CheckStatement(ctx, slot, c.conn.(answerWaiter).PID())
	if !o.silent.asked(c, time.Now(), running, err) {
		return
	}
	// The session that uses the connection sees it fail, and settles its
	// request by the rules for lost connections.
	o.pools.closeSilent(c)
}

func (o *OwnerRouter) slotOf(c *pooled) (group.Slot, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.slots {
		if string(s.ID) == c.pool.target.Peer {
			return s, true
		}
	}
	return group.Slot{}, false
}
