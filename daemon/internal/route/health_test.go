package route

import (
	"testing"
	"testing/synctest"
	"time"
)

// maintain calls Maintain until the test ends.
func maintain(t *testing.T, e *EntryRouter) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		ticker := time.NewTicker(MaintainInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				e.Maintain()
			}
		}
	}()
}

func begin(t *testing.T, e *EntryRouter) *forwardTx {
	t.Helper()
	tx, err := e.Begin(t.Context(), Request{Database: "d", User: "u", Class: "pay"})
	if err != nil {
		t.Fatal(err)
	}
	return tx.(*forwardTx)
}

// Guards against callers that hang while an owner host is paused: its open
// connections deliver nothing, and requests must move to the other owner.
func TestPausedOwnerIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		e := newEntry(fakeOwners{"d": {hostOf("h1"), hostOf("h2")}}, net, nil)
		defer e.Close()
		maintain(t, e)
		stuck := begin(t, e)
		net.mu.Lock()
		net.refuse["h1"] = true
		net.mu.Unlock()
		paused := time.Now()
		time.Sleep(700 * time.Millisecond)
		next := begin(t, e)
		if got := next.conn.pool.target.Peer; got != "h2" {
			t.Errorf("sent to %s while h1 is paused, want h2", got)
		}
		next.Release(true)
		conn := stuck.Conn().(*fakeConn)
		for !conn.isClosed() {
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(paused); took > 1500*time.Millisecond {
			t.Errorf("connection to the paused owner closed after %v, want at most 1.5s", took)
		}
		stuck.Release(false)
		net.mu.Lock()
		net.refuse["h1"] = false
		net.mu.Unlock()
		time.Sleep(2 * downOwnerProbeInterval)
		back := begin(t, e)
		if got := back.conn.pool.target.Peer; got != "h1" {
			t.Errorf("sent to %s after h1 has resumed, want h1", got)
		}
		back.Release(true)
	})
}

// Guards against interrupting a long statement on a healthy owner.
func TestSlowOwnerIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := newFakeNet()
		e := newEntry(fakeOwners{"d": {hostOf("h1"), hostOf("h2")}}, net, nil)
		defer e.Close()
		maintain(t, e)
		slow := begin(t, e)
		time.Sleep(time.Minute)
		if slow.Conn().(*fakeConn).isClosed() {
			t.Error("connection of a slow statement was closed")
		}
		// The first probe comes after 250 ms, and the interval doubles up to 2 s.
		net.mu.Lock()
		probes := net.dials - 1
		net.mu.Unlock()
		if probes > 35 {
			t.Errorf("%d probes in a minute, want at most 35", probes)
		}
		slow.Release(true)
	})
}
