package dbgroup

import (
	"sync/atomic"
	"time"
)

// writerLock admits one writer of a slot at a time: a session in a transaction
// that has written, or the applier.
type writerLock struct {
	free      chan struct{}
	holder    atomic.Pointer[session]
	idleLimit time.Duration
}

func newWriterLock(idleLimit time.Duration) *writerLock {
	l := &writerLock{free: make(chan struct{}, 1), idleLimit: idleLimit}
	l.free <- struct{}{}
	return l
}

// acquire waits for the lock and returns false if one of the channels is
// closed first. A holder that has been idle for too long is terminated.
func (l *writerLock) acquire(by *session, cancelled, done <-chan struct{}) bool {
	select {
	case <-l.free:
		l.holder.Store(by)
		return true
	default:
	}
	check := time.NewTicker(l.idleLimit/2 + 1)
	defer check.Stop()
	for {
		select {
		case <-l.free:
			l.holder.Store(by)
			return true
		case <-cancelled:
			return false
		case <-done:
			return false
		case <-check.C:
			l.evictIdle()
		}
	}
}

func (l *writerLock) evictIdle() {
	holder := l.holder.Load()
	if holder != nil && holder.idleFor() > l.idleLimit {
		holder.terminate(fatal(codeIdleInTransaction, messageOfIdleTransaction))
	}
}

func (l *writerLock) release() {
	l.holder.Store(nil)
	l.free <- struct{}{}
}
