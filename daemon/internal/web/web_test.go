package web

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"
)

// countingListener counts the connections that it accepts.
type countingListener struct {
	net.Listener
	accepted *atomic.Int32
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// Guards against requests of other hosts that get no answer because a stopping host closes
// idle connections while they are on their way: it has ended those with earlier answers.
func TestServerEndsConnectionsWhileDraining(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var draining atomic.Bool
	var conns atomic.Int32
	var running errgroup.Group
	server := Serve(&running, countingListener{ln, &conns}, CloseWhile(draining.Load, http.NotFoundHandler()))
	client := &http.Client{Transport: &http.Transport{}}
	get := func() {
		response, err := client.Get("http://" + ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		// A connection is used again after its response was read.
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	for _, step := range []struct {
		draining bool
		want     int32
	}{{false, 1}, {false, 1}, {true, 1}, {true, 2}, {true, 3}} {
		draining.Store(step.draining)
		get()
		if n := conns.Load(); n != step.want {
			t.Errorf("draining %t: got %d connections so far, want %d", step.draining, n, step.want)
		}
	}
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	if err := running.Wait(); err != nil {
		t.Error(err)
	}
}
