package dbgroup

import (
	"sync/atomic"
	"time"
)

// evictionInterval is how often a slot that waits for the lock checks its holder.
const evictionInterval = 5 * time.Millisecond

// writerLock is the mutex of a slot's writers: a session holds it from the first
// write of a transaction to its end, and the slot itself while it applies or drops
// records or rebuilds its database.
type writerLock struct {
	free      chan struct{}
	holder    atomic.Pointer[session]
	idleLimit time.Duration
	// isNotPrimary reports whether the slot is not the primary.
	isNotPrimary func() bool
}

func newWriterLock(idleLimit time.Duration, isNotPrimary func() bool) *writerLock {
	l := &writerLock{free: make(chan struct{}, 1), idleLimit: idleLimit, isNotPrimary: isNotPrimary}
	l.free <- struct{}{}
	return l
}

// acquire waits for the lock. It returns false if cancelled delivers a value or
// done is closed first. A holder that has been idle for longer than the limit is
// terminated. If the slot itself waits for the lock (by is nil) and is not the
// primary, the holder can no longer commit and is terminated at once.
func (l *writerLock) acquire(by *session, cancelled, done <-chan struct{}) bool {
	select {
	case <-l.free:
		l.holder.Store(by)
		return true
	default:
	}
	idleLimit, interval := l.idleLimit, l.idleLimit/2+1
	if by == nil {
		idleLimit, interval = 0, evictionInterval
	}
	check := time.NewTicker(interval)
	defer check.Stop()
	for {
		l.evict(idleLimit)
		select {
		case <-l.free:
			l.holder.Store(by)
			return true
		case <-cancelled:
			return false
		case <-done:
			return false
		case <-check.C:
		}
	}
}

// evict terminates a holder that has been idle for longer than the limit. With
// limit 0 it terminates any holder, idle or not, if the slot is not the primary.
func (l *writerLock) evict(limit time.Duration) {
	holder := l.holder.Load()
	switch {
	case holder == nil:
	case limit == 0 && l.isNotPrimary():
		holder.terminate(fatal(codeAdminShutdown, messageAdminShutdown))
	case limit > 0 && holder.idleFor() > limit:
		holder.terminate(fatal(codeIdleInTransaction, messageIdleInTransaction))
	}
}

func (l *writerLock) release() {
	l.holder.Store(nil)
	l.free <- struct{}{}
}
