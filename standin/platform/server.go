// Package platform simulates the platform's object API: an HTTP server for an
// in-memory store. The wire format is that of core/platform/httpstore.
//
// An admin endpoint on the same address sets faults and hosts at run time:
//
//	GET /admin/faults   the current faults
//	PUT /admin/faults   {"down":false,"slow":"200ms","lose_answers":1,"refuse":false}
//	PUT /admin/hosts    {"hosts":[{"name","address","zone","region","state"}]}
//	GET /admin/calls    the number of calls since the start
//
// The server simulates a lost response by closing the connection without sending one.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/platform/httpstore"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
)

const (
	// maxWait is the maximum time that a watch request waits for a change.
	maxWait = 5 * time.Minute
)

// Options configures a server.
type Options struct {
	// Listen is the host:port to listen on.
	Listen string
	// Store holds the objects.
	Store *platformtest.Store
	// Ready, if set, is called once with the address of the listener before the
	// first request is served.
	Ready func(net.Addr)
}

// Serve runs a server until ctx ends and then returns nil. It fails if it cannot
// listen or accept connections.
func Serve(ctx context.Context, o Options) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", o.Listen)
	if err != nil {
		return fmt.Errorf("platform stand-in: %w", err)
	}
	if o.Ready != nil {
		o.Ready(listener.Addr())
	}
	server := &http.Server{Handler: Handler(o.Store)}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("platform stand-in: %w", err)
	}
	return nil
}

// Handler returns the HTTP handler for a store and its admin endpoint.
func Handler(store *platformtest.Store) http.Handler {
	s := &server{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+httpstore.ObjectsPath, s.list)
	mux.HandleFunc("GET "+httpstore.ObjectsPath+"/{key}", s.get)
	mux.HandleFunc("PUT "+httpstore.ObjectsPath+"/{key}", s.put)
	mux.HandleFunc("DELETE "+httpstore.ObjectsPath+"/{key}", s.delete)
	mux.HandleFunc("GET "+httpstore.WatchPath+"/{key}", s.watch)
	mux.HandleFunc("GET "+httpstore.HostsPath, s.hosts)
	mux.HandleFunc("GET /admin/faults", s.getFaults)
	mux.HandleFunc("PUT /admin/faults", s.setFaults)
	mux.HandleFunc("PUT /admin/hosts", s.setHosts)
	mux.HandleFunc("GET /admin/calls", s.calls)
	return mux
}

// Faults is the JSON form of platformtest.Faults.
type Faults struct {
	// Down makes all calls, including waiting watches, fail as unavailable.
	Down bool `json:"down"`
	// Delay is the duration of each call.
	Delay config.Duration `json:"slow"`
	// LoseResponses is the number of following changes that take effect but whose
	// response is lost; a negative number means all.
	LoseResponses int `json:"lose_answers"`
	// RateLimit makes all calls fail as rate-limited.
	RateLimit bool `json:"refuse"`
}

// server handles requests for a store.
type server struct {
	store *platformtest.Store
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	obj, err := s.store.Get(r.Context(), r.PathValue("key"))
	writeResult(w, httpstore.Object(obj), err)
}

func (s *server) put(w http.ResponseWriter, r *http.Request) {
	expected, err := version(r.URL.Query(), "expected")
	if err != nil {
		badRequest(w, err)
		return
	}
	// Read one byte more than the limit, so that the store can reject a value that
	// is too large.
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		badRequest(w, err)
		return
	}
	written, err := s.store.Put(r.Context(), r.PathValue("key"), value, expected)
	writeResult(w, httpstore.WriteResponse{Version: written}, err)
}

func (s *server) delete(w http.ResponseWriter, r *http.Request) {
	expected, err := version(r.URL.Query(), "expected")
	if err != nil {
		badRequest(w, err)
		return
	}
	err = s.store.Delete(r.Context(), r.PathValue("key"), expected)
	writeResult(w, httpstore.WriteResponse{}, err)
}

func (s *server) list(w http.ResponseWriter, r *http.Request) {
	objects, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	out := httpstore.ListResponse{Objects: make([]httpstore.Object, len(objects))}
	for i, obj := range objects {
		out.Objects[i] = httpstore.Object(obj)
	}
	writeResult(w, out, err)
}

func (s *server) watch(w http.ResponseWriter, r *http.Request) {
	known, err := version(r.URL.Query(), "known")
	if err != nil {
		badRequest(w, err)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		badRequest(w, err)
		return
	}
	obj, err := s.store.Watch(r.Context(), r.PathValue("key"), known, min(wait, maxWait))
	writeResult(w, httpstore.Object(obj), err)
}

func (s *server) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.store.Hosts(r.Context())
	writeResult(w, httpstore.HostsResponse{Hosts: hosts}, err)
}

func (s *server) getFaults(w http.ResponseWriter, _ *http.Request) {
	f := s.store.Faults()
	writeResult(w, Faults{
		Down:          f.Down,
		Delay:         config.Duration(f.Delay),
		LoseResponses: f.LoseResponses,
		RateLimit:     f.RateLimit,
	}, nil)
}

func (s *server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := decodeBody(r, &f); err != nil {
		badRequest(w, err)
		return
	}
	s.store.SetFaults(platformtest.Faults{
		Down:          f.Down,
		Delay:         f.Delay.Std(),
		LoseResponses: f.LoseResponses,
		RateLimit:     f.RateLimit,
	})
	writeResult(w, f, nil)
}

func (s *server) setHosts(w http.ResponseWriter, r *http.Request) {
	var list httpstore.HostsResponse
	if err := decodeBody(r, &list); err != nil {
		badRequest(w, err)
		return
	}
	s.store.SetHosts(list.Hosts)
	writeResult(w, list, nil)
}

func (s *server) calls(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, s.store.Counts(), nil)
}

func decodeBody(r *http.Request, out any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	return d.Decode(out)
}

// version parses a query parameter that holds the version of an object.
func version(q url.Values, name string) (platform.Version, error) {
	v, err := strconv.ParseUint(q.Get(name), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return platform.Version(v), nil
}

func badRequest(w http.ResponseWriter, err error) {
	writeJSON(w, http.StatusBadRequest, httpstore.ErrorResponse{Error: "bad_request", Message: err.Error()})
}

// writeResult writes the result of a call or its error. An unknown outcome closes
// the connection without a response.
func writeResult(w http.ResponseWriter, out any, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, out)
	case errors.Is(err, platform.ErrUnknown):
		dropConnection(w)
	default:
		status, code := httpstore.EncodeError(err)
		writeJSON(w, status, httpstore.ErrorResponse{Error: code, Message: strings.TrimSpace(err.Error())})
	}
}

// dropConnection closes the connection without a response.
func dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

func writeJSON(w http.ResponseWriter, status int, out any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}
