// Package web runs the HTTP servers of a host.
package web

import (
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// headerTimeout bounds the headers of a request.
const headerTimeout = 5 * time.Second

// Serve serves the listener's requests in the group, until the returned server
// is closed or shut down, which is no error of the group.
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
