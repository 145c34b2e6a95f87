package dbgroup

import (
	"sync/atomic"
	"time"
)

// evictionInterval is how often a slot that wants the lock looks at its holder.
const evictionInterval = 5 * time.Millisecond

// writerLock admits one writer of a slot at a time: a session in a transaction
// that has written, or the applier.
type writerLock struct {
	free      chan struct{}
	holder    atomic.Pointer[session]
	idleLimit time.Duration
	// isNotPrimary reports whether the slot is not the primary.
	isNotPrimary func() bool
}

func newWriterLock(idleLimit time.Duration, demoted func() bool) *writerLock {
	l := &writerLock{free: make(chan struct{}, 1), idleLimit: idleLimit, isNotPrimary: demoted}
	l.free <- struct{}{}
	return l
}

// acquire waits for the lock and returns false if cancelled delivers a value or
// done is closed first. A holder that has been idle for too long is terminated.
// When the slot itself wants the lock, with by nil, and is not the primary, the
// holder can't commit any more and is terminated at once.
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

// evict terminates a holder that has been idle for longer than the limit; with
// limit 0, on a slot that is not the primary, also one that is not idle.
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
