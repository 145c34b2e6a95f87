package platform_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/platform/httpstore"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
	standin "github.com/gypsumgap/gypsumgap/standin/platform"
)

// serve runs a server until the end of the test and returns its base URL.
func serve(t *testing.T, store *platformtest.Store) string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	addr := make(chan net.Addr, 1)
	done := make(chan error, 1)
	options := standin.Options{Listen: "127.0.0.1:0", Store: store, Ready: func(a net.Addr) { addr <- a }}
	go func() { done <- standin.Serve(ctx, options) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	select {
	case a := <-addr:
		return "http://" + a.String()
	case err := <-done:
		done <- nil
		t.Fatal(err)
		return ""
	}
}

// client returns a client that is closed at the end of the test.
func client(t *testing.T, o httpstore.Options) *httpstore.Client {
	t.Helper()
	c, err := httpstore.New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func wantErr(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}

// putAdmin sends a PUT request to the admin endpoint, which must succeed.
func putAdmin(t *testing.T, url, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("admin request: got status %s, want 200 OK", resp.Status)
	}
}

// TestCallsOverHTTP guards against a client and a server that disagree on the wire
// format, also for keys that contain slashes and spaces.
func TestCallsOverHTTP(t *testing.T) {
	ctx := t.Context()
	c := client(t, httpstore.Options{URL: serve(t, platformtest.New(platformtest.Options{}))})
	v, err := c.Put(ctx, "a/b c", []byte("value"), 0)
	wantErr(t, err, nil)
	obj, err := c.Get(ctx, "a/b c")
	wantErr(t, err, nil)
	if obj.Version != v || obj.Key != "a/b c" || string(obj.Value) != "value" {
		t.Errorf("got object %+v, want the one that was put", obj)
	}
	_, err = c.Put(ctx, "a/b c", nil, 0)
	wantErr(t, err, platform.ErrConflict)
	_, err = c.Put(ctx, "big", bytes.Repeat([]byte("x"), platform.MaxValueBytes+1), 0)
	wantErr(t, err, platform.ErrTooLarge)
	_, err = c.Put(ctx, "big", bytes.Repeat([]byte("x"), platform.MaxValueBytes), 0)
	wantErr(t, err, nil)
	list, err := c.List(ctx, "a/")
	wantErr(t, err, nil)
	if len(list) != 1 || list[0].Key != "a/b c" || list[0].Version != v {
		t.Errorf("got list %+v, want the one object", list)
	}
	wantErr(t, c.Delete(ctx, "a/b c", v+100), platform.ErrConflict)
	wantErr(t, c.Delete(ctx, "a/b c", v), nil)
	_, err = c.Get(ctx, "a/b c")
	wantErr(t, err, platform.ErrNotFound)
	obj, err = c.Watch(ctx, "a/b c", v, time.Minute)
	wantErr(t, err, nil)
	if obj.Version != 0 {
		t.Errorf("watch of a deleted object: got %+v, want version 0", obj)
	}
}

// TestFailuresOverHTTP guards against a write that is reported as not executed
// although only its response was lost, and against the reverse.
func TestFailuresOverHTTP(t *testing.T) {
	ctx := t.Context()
	url := serve(t, platformtest.New(platformtest.Options{}))
	c := client(t, httpstore.Options{URL: url, CallTimeout: 200 * time.Millisecond})

	putAdmin(t, url+"/admin/faults", `{"lose_answers":1}`)
	_, err := c.Put(ctx, "k", []byte("a"), 0)
	wantErr(t, err, platform.ErrUnknown)
	_, err = c.Get(ctx, "k")
	wantErr(t, err, nil)
	putAdmin(t, url+"/admin/faults", `{"down":true}`)
	_, err = c.Put(ctx, "k", nil, 0)
	wantErr(t, err, platform.ErrUnavailable)
	putAdmin(t, url+"/admin/faults", `{"refuse":true}`)
	_, err = c.Hosts(ctx)
	wantErr(t, err, platform.ErrRateLimited)
	putAdmin(t, url+"/admin/faults", `{"slow":"1h"}`)
	_, err = c.Put(ctx, "k", nil, 0)
	wantErr(t, err, platform.ErrUnknown)
	_, err = c.Get(ctx, "k")
	wantErr(t, err, platform.ErrUnavailable)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	wantErr(t, err, nil)
	closed := "http://" + listener.Addr().String()
	listener.Close()
	_, err = client(t, httpstore.Options{URL: closed}).Put(ctx, "k", nil, 0)
	wantErr(t, err, platform.ErrUnavailable)
}

// TestHostsAndLocalAddress guards against a host list that the admin endpoint
// cannot set, and against connections that ignore the configured local address.
func TestHostsAndLocalAddress(t *testing.T) {
	store := platformtest.New(platformtest.Options{})
	url := serve(t, store)
	putAdmin(t, url+"/admin/hosts", `{"hosts":[{"name":"e1","address":"127.0.1.1:8432","zone":"randstad-a","region":"randstad","state":"leaving"}]}`)
	local := netip.MustParseAddr("127.0.7.7")
	c := client(t, httpstore.Options{URL: url, LocalIP: local})
	hosts, err := c.Hosts(t.Context())
	wantErr(t, err, nil)
	if len(hosts) != 1 || hosts[0].State != platform.HostLeaving || hosts[0].Zone != "randstad-a" {
		t.Errorf("got hosts %+v, want one that is leaving in randstad-a", hosts)
	}

	remote := make(chan string, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	wantErr(t, err, nil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remote <- r.RemoteAddr
		http.NotFound(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	c = client(t, httpstore.Options{URL: "http://" + listener.Addr().String(), LocalIP: local})
	_, _ = c.Get(t.Context(), "k")
	if got := <-remote; !strings.HasPrefix(got, "127.0.7.7:") {
		t.Errorf("got a connection from %s, want 127.0.7.7", got)
	}
}
