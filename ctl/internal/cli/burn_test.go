package cli_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/gypsumgap/gypsumgap/ctl/internal/cli"
)

// portPattern matches the addresses of test servers, whose ports differ between runs.
var portPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// metricsHost serves the metrics of a host, with counters that the test sets.
type metricsHost struct {
	answered, late, failed   int
	writable, unwritable     int
	replicaReads, otherReads int
}

func (m *metricsHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/metrics" {
		http.NotFound(w, r)
		return
	}
	fmt.Fprintf(w, `# TYPE gypsumgap_requests_total counter
gypsumgap_requests_total{service="werkplaats-db",outcome="answered"} %d
gypsumgap_requests_total{service="werkplaats-db",outcome="failed"} %d
# TYPE gypsumgap_request_duration_seconds histogram
gypsumgap_request_duration_seconds_bucket{service="werkplaats-db",le="0.1"} 0
gypsumgap_request_duration_seconds_bucket{service="werkplaats-db",le="0.5"} %d
gypsumgap_request_duration_seconds_bucket{service="werkplaats-db",le="+Inf"} %d
gypsumgap_request_duration_seconds_sum{service="werkplaats-db"} 1
gypsumgap_request_duration_seconds_count{service="werkplaats-db"} %d
# TYPE gypsumgap_database_seconds_total counter
gypsumgap_database_seconds_total{service="werkplaats-db",database="werkplaats-1-a",state="writable"} %d
gypsumgap_database_seconds_total{service="werkplaats-db",database="werkplaats-1-a",state="not_writable"} %d
# TYPE gypsumgap_reads_total counter
gypsumgap_reads_total{service="werkplaats-db",target="replica"} %d
gypsumgap_reads_total{service="werkplaats-db",target="primary"} %d
`, m.answered+m.late, m.failed, m.answered, m.answered+m.late, m.answered+m.late,
		m.writable, m.unwritable, m.replicaReads, m.otherReads)
}

// address starts a server for the metrics and returns its address.
func (m *metricsHost) address(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against wrong burn rates: late and failed requests that count as good, a
// restarted host whose reset counters reduce the totals, and windows of the wrong
// length. Also guards against a host without metrics that the report omits.
func TestReportBurn(t *testing.T) {
	first, second := &metricsHost{}, &metricsHost{}
	addresses := []string{first.address(t), second.address(t)}
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	s := &recorder{now: func() time.Time { return now }}
	history := filepath.Join(t.TempDir(), "burn.json")
	argv := []string{"report", "burn", "--history", history, "--folder", "testdata/first",
		"--metrics", addresses[0], "--metrics", addresses[1]}

	wantStatus(t, s.run(argv...), cli.Done)
	for minute := 1; minute <= 72; minute++ {
		now = now.Add(time.Minute)
		first.answered += 990
		first.writable += 60
		first.replicaReads += 90
		first.otherReads += 10
		second.answered += 500
		if minute > 60 {
			first.late += 6
			first.failed += 4
		}
		if minute == 65 {
			*second = metricsHost{answered: 500}
		}
		s.out.Reset()
		wantStatus(t, s.run(argv...), cli.Done)
	}
	checkPage(t, s, argv)
	wantStatus(t, s.run(append(argv, "--output=json")...), cli.Done)
	wantStatus(t, s.run(append(argv, "--metrics", closedAddress(t))...), cli.Done)
	out := s.out.String()
	for i, address := range addresses {
		out = strings.ReplaceAll(out, address, fmt.Sprintf("host-%d", i+1))
	}
	out = strings.ReplaceAll(out, history, "burn.json")
	out = portPattern.ReplaceAllString(out, "closed")
	s.out.Reset()
	s.out.WriteString(out)
	s.assert(t, "burn")
}

// plotPattern matches the drawing of a plot, whose properties the tests of package burn
// check.
var plotPattern = regexp.MustCompile(`(?s)<svg .*?</svg>`)

// checkPage writes the HTML report and checks that it has a plot, loads no other
// resources, and that its text equals the golden file.
func checkPage(t *testing.T, s *recorder, argv []string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "burn.html")
	before := s.out.String()
	wantStatus(t, s.run(append(argv, "--html", file)...), cli.Done)
	s.out.Reset()
	s.out.WriteString(before)
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(page, []byte("<svg ")) {
		t.Error("HTML report contains no plot")
	}
	// The names of the XML namespaces are identifiers, which browsers do not load.
	rest := bytes.ReplaceAll(page, []byte("http://www.w3.org/2000/svg"), nil)
	rest = bytes.ReplaceAll(rest, []byte("http://www.w3.org/1999/xlink"), nil)
	for _, loaded := range []string{"<script", "src=", "href=", "url(", "//"} {
		if bytes.Contains(rest, []byte(loaded)) {
			t.Errorf("HTML report may load other resources: it contains %s", loaded)
		}
	}
	goldie.New(t).Assert(t, "burn-page", plotPattern.ReplaceAll(rest, []byte("<svg/>")))
}

// Guards against a history file that is written although no host returned metrics.
func TestReportBurnWithoutHosts(t *testing.T) {
	s := &recorder{now: time.Now}
	history := filepath.Join(t.TempDir(), "burn.json")
	wantStatus(t, s.run("report", "burn", "--history", history, "--folder", "testdata/first",
		"--metrics", closedAddress(t)), cli.Unreachable)
	wantStatus(t, s.run("report"), cli.Usage)
	wantStatus(t, s.run("report", "burn"), cli.Usage)
	wantStatus(t, s.run("report", "burn", "--help"), cli.Done)
	if _, err := os.Stat(history); err == nil {
		t.Error("history file exists after a scrape that no host answered")
	}
}
