package route

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// waitingConn is a connection that has been waiting for a response since the
// time set by wait.
type waitingConn struct {
	*fakeConn
	mu    sync.Mutex
	since time.Time
}

func (c *waitingConn) PID() uint32 { return 1 }

func (c *waitingConn) WaitingSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, !c.since.IsZero()
}

func (c *waitingConn) wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = time.Now()
}

// fakeStatementCheck reports a fixed result and counts the checks.
type fakeStatementCheck struct {
	mu      sync.Mutex
	running bool
	err     error
	checks  int
}

func (s *fakeStatementCheck) check(context.Context, group.Slot, uint32) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks++
	return s.running, s.err
}

func (s *fakeStatementCheck) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checks
}

// startWaiting returns a transaction on the primary that waits for a response.
func startWaiting(t *testing.T, s *fakeStatementCheck) (Tx, *waitingConn) {
	t.Helper()
	net := newFakeNet()
	gate := newFakeMonitor()
	gate.promote("s1", 1)
	o := NewOwnerRouter(OwnerConfig{
		Database:       "d",
		Slots:          []group.Slot{slotOf("s1"), slotOf("s2"), slotOf("s3")},
		Policy:         NewPolicy(testService()),
		Monitor:        gate,
		PeerLimit:      func() int { return 10 },
		CheckStatement: s.check,
		Dial: func(ctx context.Context, target Target) (Conn, error) {
			conn, err := net.dial(ctx, target)
			if err != nil {
				return nil, err
			}
			return &waitingConn{fakeConn: conn.(*fakeConn)}, nil
		},
	})
	t.Cleanup(o.Close)
	tx, err := o.Begin(t.Context(), Request{Database: "d", User: "u", Class: "pay"})
	if err != nil {
		t.Fatal(err)
	}
	conn := tx.Conn().(*waitingConn)
	conn.wait()
	return tx, conn
}

// Guards against callers that hang on a connection that no longer delivers data
// while new connections work.
func TestSilentConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStatementCheck{}
		tx, conn := startWaiting(t, s)
		start := time.Now()
		for !conn.isClosed() {
			if time.Since(start) > 2*time.Second {
				t.Fatal("stalled connection is still open after 2s")
			}
			time.Sleep(10 * time.Millisecond)
		}
		tx.Release(false)
	})
}

// Guards against interrupting a slow statement, and against checking it too
// often.
func TestSlowStatementIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStatementCheck{running: true}
		tx, conn := startWaiting(t, s)
		time.Sleep(time.Minute)
		if conn.isClosed() {
			t.Error("connection of a slow statement was closed")
		}
		if n := s.count(); n > 20 {
			t.Errorf("%d checks in a minute, want at most 20", n)
		}
		tx.Release(true)
	})
}

// Guards against closing a connection because the control connection failed,
// which says nothing about the statement.
func TestFailedStatementCheckClosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStatementCheck{err: errors.New("no answer")}
		tx, conn := startWaiting(t, s)
		time.Sleep(10 * time.Second)
		if conn.isClosed() {
			t.Error("connection was closed although the statement check failed")
		}
		tx.Release(true)
	})
}
