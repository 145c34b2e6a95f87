package session

import (
	"context"
	"sync"
	"time"
)

// deadlineContext is a context with a deadline that starts a timer only when
// something waits for its end. Most transactions get a connection at once, and
// context.WithDeadline took a fifth of the session's CPU time per statement.
type deadlineContext struct {
	parent   context.Context
	deadline time.Time

	mu       sync.Mutex
	inner    context.Context
	stop     context.CancelFunc
	canceled bool
}

func newDeadlineContext(parent context.Context, deadline time.Time) *deadlineContext {
	return &deadlineContext{parent: parent, deadline: deadline}
}

// Deadline returns the earlier of the context's own and its parent's deadline.
func (c *deadlineContext) Deadline() (time.Time, bool) {
	if d, ok := c.parent.Deadline(); ok && d.Before(c.deadline) {
		return d, true
	}
	return c.deadline, true
}

// Done starts the timer on its first call.
func (c *deadlineContext) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inner == nil {
		c.inner, c.stop = context.WithDeadline(c.parent, c.deadline)
		if c.canceled {
			c.stop()
		}
	}
	return c.inner.Done()
}

// Err tells why the context has ended; nil if it has not.
func (c *deadlineContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.inner != nil:
		return c.inner.Err()
	case c.canceled:
		return context.Canceled
	case c.parent.Err() != nil:
		return c.parent.Err()
	case !time.Now().Before(c.deadline):
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// Value returns the parent's value.
func (c *deadlineContext) Value(key any) any { return c.parent.Value(key) }

// cancel ends the context.
func (c *deadlineContext) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	if c.stop != nil {
		c.stop()
	}
}
