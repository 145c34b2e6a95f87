package admission

import (
	"context"
	"sync"
	"time"
)

// Limiter is a State for concurrent use, which takes the time from the clock
// and the limit from a function.
type Limiter struct {
	limit func() int

	mu    sync.Mutex
	state *State
	timer *time.Timer
}

// NewLimiter returns a limiter. The limit is read on every call; the function
// is called with a lock held and may not block.
func NewLimiter(limit func() int) *Limiter {
	return &Limiter{limit: limit, state: NewState(limit())}
}

// Acquire waits until the ticket is admitted; Release or Cancel must then be
// called. It fails with *RefusedError, or with the context's error.
func (l *Limiter) Acquire(ctx context.Context, t *Ticket) error {
	t.done = nil
	l.mu.Lock()
	now := l.applyLimit()
	l.state.Arrive(now, t)
	if t.status == Waiting {
		t.done = make(chan struct{})
	}
	l.wakeAndSchedule()
	l.mu.Unlock()
	if t.done == nil {
		return t.Err()
	}
	select {
	case <-t.done:
		return t.Err()
	case <-ctx.Done():
		l.Cancel(t)
		return ctx.Err()
	}
}

// TryAcquire is Acquire for callers that do not wait: it reports whether the
// ticket was admitted, and leaves no trace if it was not.
func (l *Limiter) TryAcquire(t *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.applyLimit()
	ok := l.state.TryArrive(now, t)
	l.wakeAndSchedule()
	return ok
}

// Release ends the use of an admitted ticket and learns its service time.
func (l *Limiter) Release(t *Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.applyLimit()
	l.state.Finish(now, t)
	l.wakeAndSchedule()
}

// Cancel ends a ticket that waits, or was admitted but not used or failed.
func (l *Limiter) Cancel(t *Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.applyLimit()
	l.state.Cancel(now, t)
	l.wakeAndSchedule()
}

// Pause admits no request until Resume.
func (l *Limiter) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Pause()
}

// Resume ends a pause and begins the gradual release.
func (l *Limiter) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Resume(l.applyLimit())
	l.wakeAndSchedule()
}

// ReplaceBackend tells that connections now lead to another backend server: tickets
// admitted so far count no longer. It begins the gradual release.
func (l *Limiter) ReplaceBackend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.ReplaceBackend(l.applyLimit())
	l.wakeAndSchedule()
}

// Close refuses all waiting and further requests.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Close()
	l.wakeAndSchedule()
}

// Refresh applies a limit that has changed.
func (l *Limiter) Refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Tick(l.applyLimit())
	l.wakeAndSchedule()
}

// Load returns the number of admitted and of waiting requests.
func (l *Limiter) Load() (inUse, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.InUse(), l.state.Waiting()
}

// applyLimit applies the current limit and returns the time.
func (l *Limiter) applyLimit() time.Time {
	now := time.Now()
	if limit := l.limit(); limit != l.state.limit {
		l.state.SetLimit(now, limit)
	}
	return now
}

// wakeAndSchedule wakes the tickets that stopped waiting and sets the timer.
func (l *Limiter) wakeAndSchedule() {
	for _, t := range l.state.Settled() {
		close(t.done)
	}
	at, ok := l.state.Next()
	if !ok {
		return
	}
	if l.timer == nil {
		l.timer = time.AfterFunc(time.Until(at), l.Refresh)
		return
	}
	l.timer.Reset(time.Until(at))
}
