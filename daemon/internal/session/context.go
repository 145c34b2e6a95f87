package session

import (
	"context"
	"sync"
	"time"
)

// deadlineContext is a context with a deadline that starts its timer only when Done
// is called. Most transactions get a connection without waiting, and
// context.WithDeadline takes a fifth of the session's CPU time per statement.
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

// Deadline returns the earlier one of the deadlines of the context and its parent.
func (c *deadlineContext) Deadline() (time.Time, bool) {
	if d, ok := c.parent.Deadline(); ok && d.Before(c.deadline) {
		return d, true
	}
	return c.deadline, true
}

// Done returns a channel that is closed when the context ends. The first call starts
// the timer.
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

// Err returns the reason why the context has ended, or nil if it has not.
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

// Value returns the value of the parent for the key.
func (c *deadlineContext) Value(key any) any { return c.parent.Value(key) }

// cancel ends the context and releases its timer.
func (c *deadlineContext) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	if c.stop != nil {
		c.stop()
	}
}
