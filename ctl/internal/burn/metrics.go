package burn

import (
	"errors"
	"fmt"
	"io"
	"math"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/gypsumgap/gypsumgap/core/config"
)

// The names, labels and label values of the metrics that this package reads.
const (
	// requestsMetric counts requests, with the labels service and outcome.
	requestsMetric = "gypsumgap_requests_total"
	// durationMetric is a histogram of the duration of answered requests in
	// seconds, with the label service.
	durationMetric = "gypsumgap_request_duration_seconds"
	// databaseSecondsMetric counts the seconds for which the owner with the lowest
	// rank observed a database as writable or not, with the labels service and
	// state.
	databaseSecondsMetric = "gypsumgap_database_seconds_total"
	// readsMetric counts reads, with the labels service and target.
	readsMetric = "gypsumgap_reads_total"

	serviceLabel  = "service"
	stateLabel    = "state"
	targetLabel   = "target"
	writableState = "writable"
	replicaTarget = "replica"
)

// Objective is a kind of service-level objective.
type Objective string

// The kinds of objectives. Their values are the keys in the configuration.
const (
	// Answered is the share of requests that are answered within the time limit.
	Answered Objective = "answered_share"
	// Writable is the share of the time in which databases are writable.
	Writable Objective = "writable_share"
	// ReplicaRead is the share of reads that run on a replica.
	ReplicaRead Objective = "replica_read_share"
)

// Objectives lists the kinds of objectives in the order in which reports show them.
var Objectives = []Objective{Answered, Writable, ReplicaRead}

// target returns the target of a service, the share of good events, or 0 if the
// service does not set one.
func (o Objective) target(s *config.Service) float64 {
	switch o {
	case Answered:
		return s.Objectives.AnsweredShare
	case Writable:
		return s.Objectives.WritableShare
	default:
		return s.Objectives.ReplicaReadShare
	}
}

// Events counts the events of one objective.
type Events struct {
	// Good counts the events that meet the objective.
	Good float64 `json:"good"`
	// Total counts all events.
	Total float64 `json:"total"`
}

// Counters holds the events of a host by service and objective.
type Counters map[string]map[Objective]Events

// add adds events to an objective of a service. Events without a service are
// ignored.
func (c Counters) add(service string, o Objective, good, total float64) {
	if service == "" {
		return
	}
	if c[service] == nil {
		c[service] = map[Objective]Events{}
	}
	e := c[service][o]
	c[service][o] = Events{Good: e.Good + good, Total: e.Total + total}
}

// Parse reads a host's metrics in the Prometheus text format. A request counts as
// good if it was answered within the time that the service's objective sets. If the
// histogram has no bucket with that bound, the next lower bucket is used. It fails with
// ErrNotFinite if a count is not finite.
func Parse(r io.Reader, snapshot *config.Snapshot) (Counters, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return nil, fmt.Errorf("parse metrics: %w", err)
	}
	out := Counters{}
	for _, m := range families[requestsMetric].GetMetric() {
		out.add(label(m, serviceLabel), Answered, 0, value(m))
	}
	for _, m := range families[durationMetric].GetMetric() {
		name := label(m, serviceLabel)
		if s := snapshot.Service(name); s != nil {
			bound := s.Objectives.AnsweredWithin.Std().Seconds()
			out.add(name, Answered, countWithin(m.GetHistogram(), bound), 0)
		}
	}
	for _, m := range families[databaseSecondsMetric].GetMetric() {
		out.add(label(m, serviceLabel), Writable, valueIfLabel(m, stateLabel, writableState), value(m))
	}
	for _, m := range families[readsMetric].GetMetric() {
		out.add(label(m, serviceLabel), ReplicaRead, valueIfLabel(m, targetLabel, replicaTarget), value(m))
	}
	if err := out.check(); err != nil {
		return nil, err
	}
	return out, nil
}

// ErrNotFinite is wrapped by the error of Parse for a metric whose value is not a
// finite number.
var ErrNotFinite = errors.New("value is not a finite number")

// check fails with ErrNotFinite if a count is not finite. It could neither be stored in
// the history nor plotted.
func (c Counters) check() error {
	for service, objectives := range c {
		for o, e := range objectives {
			if !isFinite(e.Good) || !isFinite(e.Total) {
				return fmt.Errorf("parse metrics: %s of %s: %w", o, service, ErrNotFinite)
			}
		}
	}
	return nil
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// countWithin returns the cumulative count of the bucket with the highest upper
// bound that does not exceed bound, in seconds. The tolerance allows for bounds that
// were rounded in the text format.
func countWithin(h *dto.Histogram, bound float64) float64 {
	const tolerance = 1 + 1e-9
	count, best := 0.0, math.Inf(-1)
	for _, b := range h.GetBucket() {
		if b.GetUpperBound() <= bound*tolerance && b.GetUpperBound() > best {
			best = b.GetUpperBound()
			count = float64(b.GetCumulativeCount())
		}
	}
	return count
}

// valueIfLabel returns the value of a metric if its label has the value good, and 0
// otherwise.
func valueIfLabel(m *dto.Metric, name, good string) float64 {
	if label(m, name) == good {
		return value(m)
	}
	return 0
}

// label returns the value of a label, or an empty string if it is not set.
func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// value returns the value of a counter, a gauge or an untyped metric.
func value(m *dto.Metric) float64 {
	switch {
	case m.GetCounter() != nil:
		return m.GetCounter().GetValue()
	case m.GetGauge() != nil:
		return m.GetGauge().GetValue()
	default:
		return m.GetUntyped().GetValue()
	}
}
