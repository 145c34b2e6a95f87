// Package web runs the HTTP servers of a host.
package web

import (
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// headerTimeout bounds the time to read the headers of a request.
const headerTimeout = 5 * time.Second

// Serve starts an HTTP server on the listener in a goroutine of the group and
// returns it. Closing or shutting down the server ends the goroutine without an
// error.
func Serve(running *errgroup.Group, ln net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	running.Go(func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return server
}

// CloseWhile makes the server end each connection with its next response while the
// condition holds, as Connection: close asks the client to. A server that closed idle
// connections at its end would lose the requests that are on their way then.
func CloseWhile(condition func() bool, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if condition() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}
