package cli

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gypsumgap/gypsumgap/core/config"
)

// serveHost starts a host that answers every request with the handler, and returns its
// address.
func serveHost(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a host that answers and refuses, and is reported as unreachable, so that
// an operator looks for a fault of the network.
func TestRefusedStatusIsNotUnreachable(t *testing.T) {
	for name, tt := range map[string]struct {
		handler   http.HandlerFunc
		wantState string
	}{
		"refuses": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusForbidden)
			_, _ = io.WriteString(w, `{"code":"permission_denied","msg":"not an operator"}`)
		}, "refused"},
		"breaks off": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "unreachable"},
	} {
		t.Run(name, func(t *testing.T) {
			status := requestStatus(context.Background(), target{name: "h1", address: serveHost(t, tt.handler)}, "")
			if status.err == nil || errors.Is(status.err, errUnreachable) != (tt.wantState == "unreachable") {
				t.Errorf("got error %v", status.err)
			}
			if line := newHostLine(status); line.State != tt.wantState || line.Error == "" {
				t.Errorf("got line %+v, want state %s and the error", line, tt.wantState)
			}
		})
	}
}

// Guards against a host that returned no metrics for a reason that the report does not
// tell, and against counters of a host whose metrics are not valid.
func TestScrapeErrorsAreReported(t *testing.T) {
	broken := serveHost(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	invalid := serveHost(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "# TYPE gypsumgap_reads_total counter\ngypsumgap_reads_total{service=\"s\",target=\"replica\"} NaN\n")
	})
	rep := &burnReport{Errors: map[string]string{}}
	counters, err := scrapeAll(context.Background(), []string{broken, invalid}, &config.Snapshot{}, rep)
	if len(counters) != 0 || err == nil || len(rep.Unreachable) != 2 {
		t.Errorf("got counters %v, error %v and %v without metrics, want none, an error and both", counters, err, rep.Unreachable)
	}
	for address, want := range map[string]string{broken: "500", invalid: "not a finite number"} {
		if !strings.Contains(rep.Errors[address], want) {
			t.Errorf("got error %q, want it to tell %q", rep.Errors[address], want)
		}
	}
}
