package pgcontrol

import (
	"net"
	"testing"
	"time"
)

// hangTimeout ends a test that would otherwise hang; a passing test does not
// depend on it.
const hangTimeout = 30 * time.Second

// Guards against requests that hang for good behind a reader that pgconn left
// on the connection after a slow write.
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
	// Gives the reader the time to block; without it the test could pass wrongly
	// but never fail wrongly.
	time.Sleep(20 * time.Millisecond)
	result := make(chan bool, 1)
	go func() { result <- isConnBroken(conn) }()
	select {
	case isBroken := <-result:
		if isBroken {
			t.Error("an idle connection counts as broken")
		}
	case <-time.After(hangTimeout):
		t.Fatal("the check waits for the reader")
	}
}
