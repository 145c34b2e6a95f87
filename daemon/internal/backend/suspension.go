package backend

import (
	"context"
	"errors"
	"time"
)

// While the successor of a primary is ordered, hosts that commit on it would have commits
// acknowledged that the successor lacks. A suspension keeps their statements away from the
// server for a limited time, and is ended if the primary is not replaced.

// ErrSuspended means that the primary is being replaced. Nothing was sent.
var ErrSuspended = errors.New("primary is suspended while its successor is ordered")

// suspension is the suspension of one server.
type suspension struct {
	server string
	until  time.Time
}

// SuspendPrimary stops the use of a server as the primary for the given time, or ends its
// suspension if that is 0. Only the last suspended server of a group is suspended.
func (g *Group) SuspendPrimary(server string, d time.Duration) {
	current := g.suspended.Load()
	switch {
	case d > 0:
		g.suspended.Store(&suspension{server, g.options.Now().Add(d)})
	case current != nil && current.server == server:
		g.suspended.CompareAndSwap(current, nil)
	}
}

// isSuspended reports whether the server must not be used as the primary now.
func (g *Group) isSuspended(p *Pool) bool {
	s := g.suspended.Load()
	return s != nil && p.Server().ID == s.server && g.options.Now().Before(s.until)
}

// DrainPrimary waits until no statement is outstanding on a server, and reports whether
// that was so before ctx ended. Statements on a server that does not answer are not
// waited for.
func (g *Group) DrainPrimary(ctx context.Context, server string) bool {
	return poll(ctx, func() bool {
		now := g.options.Now()
		for _, p := range g.Pools() {
			if p.Server().ID == server && p.hasOutstanding(now) {
				return false
			}
		}
		return true
	})
}

// hasOutstanding reports whether statements are outstanding on a server that answers.
func (p *Pool) hasOutstanding(now time.Time) bool {
	return p.outstanding.Load() > 0 && now.Sub(p.LastAnswer()) < lostAnswerAge
}

// poll waits until the condition holds, and reports whether it did before ctx ended.
func poll(ctx context.Context, condition func() bool) bool {
	for !condition() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(drainPollInterval):
		}
	}
	return true
}
