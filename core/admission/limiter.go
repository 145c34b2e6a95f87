package admission

import (
	"context"
	"sync"
	"time"
)

// Limiter is a State for concurrent use, which takes the time from the system
// clock and the limit from a function.
type Limiter struct {
	limit func() int

	mu    sync.Mutex
	state *State
	timer *time.Timer
}

// NewLimiter returns a limiter. It calls limit with a lock held on every
// operation that may admit a request; limit must not block.
func NewLimiter(limit func() int) *Limiter {
	return &Limiter{limit: limit, state: NewState(limit())}
}

// Acquire blocks until the ticket is admitted; the caller must then call Release
// or Cancel. It fails with *RefusedError or with the error of the context.
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

// TryAcquire admits the ticket if it need not wait, and reports whether it did.
// Otherwise it has no effect on later requests.
func (l *Limiter) TryAcquire(t *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.applyLimit()
	ok := l.state.TryArrive(now, t)
	l.wakeAndSchedule()
	return ok
}

// Release ends the use of an admitted ticket and records its service time.
func (l *Limiter) Release(t *Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.applyLimit()
	l.state.Finish(now, t)
	l.wakeAndSchedule()
}

// Cancel ends a waiting ticket, or an admitted one whose connection was not used
// or failed.
func (l *Limiter) Cancel(t *Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.applyLimit()
	l.state.Cancel(now, t)
	l.wakeAndSchedule()
}

// Pause stops admissions until Resume.
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

// ReplaceBackend records that connections now lead to another backend server:
// the tickets admitted so far no longer count. It begins the gradual release.
func (l *Limiter) ReplaceBackend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.ReplaceBackend(l.applyLimit())
	l.wakeAndSchedule()
}

// Close refuses all waiting and all further requests.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Close()
	l.wakeAndSchedule()
}

// Refresh applies a changed limit and admits the requests that it and the
// passing of time allow.
func (l *Limiter) Refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Tick(l.applyLimit())
	l.wakeAndSchedule()
}

// Load returns the numbers of admitted and of waiting requests.
func (l *Limiter) Load() (inUse, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.InUse(), l.state.Waiting()
}

// applyLimit applies the current limit and returns the current time.
func (l *Limiter) applyLimit() time.Time {
	now := time.Now()
	if limit := l.limit(); limit != l.state.limit {
		l.state.SetLimit(now, limit)
	}
	return now
}

// wakeAndSchedule wakes the callers whose tickets stopped waiting, and sets the
// timer for the next Tick.
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
