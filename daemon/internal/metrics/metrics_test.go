package metrics

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

func get(t *testing.T, h http.Handler, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	body, err := io.ReadAll(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	return w.Code, string(body)
}

// Guards against changed names or labels of the metrics that the burn report
// reads, and against counting a forwarded request both at the entry host and at
// the owner.
func TestMetricsOfTheBurnReport(t *testing.T) {
	m := New("e1", "randstad-a")
	l := route.Labels{Service: "werkplaats-db", Class: "job-card"}
	m.Began(l, route.PathReplica, time.Millisecond)
	m.Began(l, route.PathPrimaryRead, time.Millisecond)
	m.Finished(l, 30*time.Millisecond)
	m.Entry().Finished(l, 30*time.Millisecond)
	m.Refused(l, route.RefusedQueue)
	m.OutcomeUnknown(l)
	m.AddDatabaseSeconds("werkplaats-db", "werkplaats-1-a", true, 3)
	// Close passes the counts to the reporter.
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	_, body := get(t, m.Handler(func() error { return nil }), "/metrics")
	const labels = `availability_zone="randstad-a",class="job-card",host="e1",`
	for _, want := range []string{
		`gypsumgap_requests_total{` + labels + `outcome="answered",service="werkplaats-db"} 1`,
		`gypsumgap_requests_total{` + labels + `outcome="refused",service="werkplaats-db"} 1`,
		`gypsumgap_requests_total{` + labels + `outcome="unknown",service="werkplaats-db"} 1`,
		`gypsumgap_reads_total{` + labels + `service="werkplaats-db",target="replica"} 1`,
		`gypsumgap_reads_total{` + labels + `service="werkplaats-db",target="primary"} 1`,
		`gypsumgap_request_duration_seconds_count{` + labels + `service="werkplaats-db"} 1`,
		`gypsumgap_database_seconds_total{availability_zone="randstad-a",database="werkplaats-1-a",host="e1",service="werkplaats-db",state="writable"} 3`,
	} {
		if !strings.Contains(body, want) {
			t.Errorf("no line %s", want)
		}
	}
}

// Guards against a load balancer that sends callers to a host that is not ready.
func TestReadyz(t *testing.T) {
	m := New("e1", "randstad-a")
	defer m.Close()
	ready := errors.New("configuration is not confirmed")
	h := m.Handler(func() error { return ready })
	if code, body := get(t, h, "/readyz"); code != http.StatusServiceUnavailable || !strings.Contains(body, "not confirmed") {
		t.Errorf("readyz of a host that is not ready: %d %s", code, body)
	}
	if code, _ := get(t, h, "/healthz"); code != http.StatusOK {
		t.Errorf("healthz: %d", code)
	}
	ready = nil
	if code, _ := get(t, h, "/readyz"); code != http.StatusOK {
		t.Errorf("readyz of a ready host: %d", code)
	}
}
