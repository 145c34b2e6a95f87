package pgcontrol

import (
	"net"
	"testing"
	"time"
)

// hangTimeout ends a test that would otherwise hang; a passing test does not
// depend on it.
const hangTimeout = 30 * time.Second

// Guards against requests that block forever: after a slow write, pgconn leaves
// a goroutine that reads from the connection, and the check must not wait for it.
func TestConnCheckDoesNotWaitForReaders(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	reading := make(chan struct{})
	go func() {
		close(reading)
		var one [1]byte
		_, _ = conn.Read(one[:])
	}()
	<-reading
	// Gives the reader time to block. If it has not blocked yet, the test may pass
	// without testing anything, but it cannot fail spuriously.
	time.Sleep(20 * time.Millisecond)
	result := make(chan bool, 1)
	go func() { result <- isConnBroken(conn) }()
	select {
	case isBroken := <-result:
		if isBroken {
			t.Error("isConnBroken returned true for an idle connection, want false")
		}
	case <-time.After(hangTimeout):
		t.Fatal("isConnBroken did not return while another goroutine reads")
	}
}
