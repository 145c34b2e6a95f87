// Package metrics records the metrics of a host with tally and serves them in
// the Prometheus format, together with health checks and profiles.
package metrics

import (
	"errors"
	"io"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

// reportInterval is how often tally passes its counts to the reporter.
const reportInterval = time.Second

// latencyBuckets range from a local read to a request that waits for a failover.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 17 * time.Second,
}

// Metrics holds a process's metrics. It implements route.Recorder.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry

	perClass sync.Map // route.Labels -> *classMetrics
}

var _ route.Recorder = (*Metrics)(nil)

// New returns metrics labelled with the host and its availability zone.
func New(host, zone string) *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
		// Two scopes may register the same metric; the first one serves both.
		OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "gypsumgap",
		Tags:                   map[string]string{"host": host, "availability_zone": zone},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, registry: registry}
}

// Scope returns the scope for metrics of other packages.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Close reports the remaining counts and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// Handler serves /metrics, /healthz, /readyz and profiles under /debug/pprof/.
// ready returns nil if the host can accept callers, else the reason, which
// /readyz returns with status 503.
func (m *Metrics) Handler(ready func() error) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return mux
}

// ErrNotReady is wrapped by the errors that tell why a host accepts no callers.
var ErrNotReady = errors.New("not ready")

type classMetrics struct {
	began     map[route.Path]tally.Counter
	wait      tally.Histogram
	refused   sync.Map // route.RefusalReason -> tally.Counter
	unknown   tally.Counter
	stale     tally.Counter
	outcomes  map[string]tally.Counter
	reads     map[route.Path]tally.Counter
	elapsed   tally.Histogram
	forwarded tally.Histogram
	scope     tally.Scope
}

var pathNames = map[route.Path]string{
	route.PathPrimary:     "primary",
	route.PathPrimaryRead: "primary_read",
	route.PathReplica:     "replica",
	route.PathForward:     "forward",
}

// readTargets maps the paths of reads to the label of the server that runs them.
var readTargets = map[route.Path]string{
	route.PathReplica:     "replica",
	route.PathPrimaryRead: "primary",
}

// Outcomes of requests. A request is counted at the host where it ended: the
// owner of its database, or the host that refused it.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeUnknown  = "unknown"
	outcomeStale    = "stale"
)

func (m *Metrics) class(l route.Labels) *classMetrics {
	if c, ok := m.perClass.Load(l); ok {
		return c.(*classMetrics)
	}
	name := l.Class
	if name == "" {
		name = "none"
	}
	scope := m.scope.Tagged(map[string]string{"service": l.Service, "class": name})
	c := &classMetrics{
		began:     map[route.Path]tally.Counter{},
		wait:      scope.Histogram("connection_wait_seconds", latencyBuckets),
		unknown:   scope.Counter("outcome_unknown_total"),
		stale:     scope.Counter("stale_reads_total"),
		outcomes:  map[string]tally.Counter{},
		reads:     map[route.Path]tally.Counter{},
		elapsed:   scope.Histogram("request_duration_seconds", latencyBuckets),
		forwarded: scope.Histogram("forward_duration_seconds", latencyBuckets),
		scope:     scope,
	}
	for _, outcome := range []string{outcomeAnswered, outcomeRefused, outcomeUnknown, outcomeStale} {
		c.outcomes[outcome] = scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests_total")
	}
	for path, target := range readTargets {
		c.reads[path] = scope.Tagged(map[string]string{"target": target}).Counter("reads_total")
	}
	for path, pathName := range pathNames {
		c.began[path] = scope.Tagged(map[string]string{"path": pathName}).Counter("transactions_total")
	}
	stored, _ := m.perClass.LoadOrStore(l, c)
	return stored.(*classMetrics)
}

// Began implements route.Recorder.
func (m *Metrics) Began(l route.Labels, p route.Path, wait time.Duration) {
	c := m.class(l)
	c.began[p].Inc(1)
	c.wait.RecordDuration(wait)
	if reads, ok := c.reads[p]; ok {
		reads.Inc(1)
	}
}

// Refused implements route.Recorder.
func (m *Metrics) Refused(l route.Labels, r route.RefusalReason) {
	c := m.class(l)
	counter, ok := c.refused.Load(r)
	if !ok {
		counter, _ = c.refused.LoadOrStore(r, c.scope.Tagged(map[string]string{"reason": string(r)}).Counter("refused_total"))
	}
	counter.(tally.Counter).Inc(1)
	c.outcomes[outcomeRefused].Inc(1)
}

// OutcomeUnknown implements route.Recorder.
func (m *Metrics) OutcomeUnknown(l route.Labels) {
	c := m.class(l)
	c.unknown.Inc(1)
	c.outcomes[outcomeUnknown].Inc(1)
}

// StaleRead implements route.Recorder.
func (m *Metrics) StaleRead(l route.Labels) {
	c := m.class(l)
	c.stale.Inc(1)
	c.outcomes[outcomeStale].Inc(1)
}

// Finished implements route.Recorder.
func (m *Metrics) Finished(l route.Labels, elapsed time.Duration) {
	c := m.class(l)
	c.outcomes[outcomeAnswered].Inc(1)
	c.elapsed.RecordDuration(elapsed)
}

// Entry returns the recorder for the router that forwards requests to owners. It
// does not count answered requests, since the owners count them.
func (m *Metrics) Entry() route.Recorder { return entryRecorder{m} }

type entryRecorder struct{ *Metrics }

// Finished implements route.Recorder. It records the duration of a forwarded
// request.
func (e entryRecorder) Finished(l route.Labels, elapsed time.Duration) {
	e.class(l).forwarded.RecordDuration(elapsed)
}

// AddDatabaseSeconds counts seconds during which the first owner of a database
// saw it as writable or not writable.
func (m *Metrics) AddDatabaseSeconds(service, database string, writable bool, seconds int) {
	state := "not_writable"
	if writable {
		state = "writable"
	}
	m.scope.Tagged(map[string]string{"service": service, "database": database, "state": state}).
		Counter("database_seconds_total").Inc(int64(seconds))
}
