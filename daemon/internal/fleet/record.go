package fleet

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/daemon/internal/front"
)

const (
	// logRate is the number of lines per second for statements that were refused,
	// failed or slow.
	logRate = 20.0
	// logBurst is the number of such lines that may be logged at once.
	logBurst = 60.0
)

var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// recorder counts statements and logs those that failed or were slow.
type recorder struct {
	scope tally.Scope
	log   *logrus.Entry
	// now is the clock of the groups.
	now func() time.Time

	mu           sync.Mutex
	tokens       float64
	refilledAt   time.Time
	skippedLines int
	byOutcome    map[outcomeKey]*outcomeMetrics
}

type outcomeKey struct {
	route   string
	code    statement.Code
	replica bool
	read    bool
}

type outcomeMetrics struct {
	count   tally.Counter
	latency tally.Histogram
}

func newRecorder(scope tally.Scope, now func() time.Time, log *logrus.Entry) *recorder {
	return &recorder{scope: scope, log: log, now: now, tokens: logBurst, byOutcome: map[outcomeKey]*outcomeMetrics{}}
}

// maxOutcomes is the maximum number of combinations of route, code, role and kind
// with metrics of their own; further ones are counted under the route "other".
const maxOutcomes = 200

// Statement counts an answered statement, and logs it if it failed or was slow.
func (r *recorder) Statement(o front.Outcome) {
	m := r.metrics(o)
	m.count.Inc(1)
	m.latency.RecordDuration(o.Took)
	if !o.FailedOrSlow() {
		return
	}
	skipped, ok := r.takeLogToken()
	if !ok {
		return
	}
	entry := r.log.WithFields(logrus.Fields{
		"event": "statement", "id": o.ID, "route": o.Route.Name, "consistency": o.Route.Consistency.String(),
		"config_version": o.ConfigVersion, "code": o.Code.String(), "server": o.Server, "attempts": o.Attempts,
		"took_ms": o.Took.Milliseconds(), "read": o.Read, "primary": o.Health.Primary, "term": o.Health.Term,
		"primary_suspected": o.Health.Suspected, "primary_proved_ms": r.now().Sub(o.Health.VerifiedAt).Milliseconds(),
	})
	if o.Detail != "" {
		entry = entry.WithField("detail", o.Detail)
	}
	if skipped > 0 {
		entry = entry.WithField("lines_skipped", skipped)
	}
	entry.Warn("statement was refused, failed or slow")
}

// SessionRefused counts and logs a session that was refused at its start.
func (r *recorder) SessionRefused(database string, version uint64, code statement.Code) {
	r.scope.Tagged(map[string]string{"code": code.String()}).Counter("sessions_refused").Inc(1)
	if skipped, ok := r.takeLogToken(); ok {
		r.log.WithFields(logrus.Fields{"event": "session_refused", "database": database, "config_version": version,
			"code": code.String(), "lines_skipped": skipped}).Warn("session was refused at its start")
	}
}

// StatementCut counts and logs a statement that a drain ended.
func (r *recorder) StatementCut(id, database string, code statement.Code) {
	r.scope.Tagged(map[string]string{"code": code.String()}).Counter("statements_cut").Inc(1)
	if skipped, ok := r.takeLogToken(); ok {
		r.log.WithFields(logrus.Fields{"event": "statement_cut", "id": id, "database": database,
			"code": code.String(), "lines_skipped": skipped}).Warn("statement was still running at the end of the drain")
	}
}

func (r *recorder) metrics(o front.Outcome) *outcomeMetrics {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := outcomeKey{o.Route.Name, o.Code, o.Replica, o.Read}
	if m := r.byOutcome[key]; m != nil {
		return m
	}
	if len(r.byOutcome) >= maxOutcomes {
		key.route = "other"
		if m := r.byOutcome[key]; m != nil {
			return m
		}
	}
	tags := map[string]string{"route": key.route, "code": key.code.String(), "server_role": "primary", "statement": "write"}
	if key.replica {
		tags["server_role"] = "replica"
	}
	if key.read {
		tags["statement"] = "read"
	}
	scope := r.scope.Tagged(tags)
	m := &outcomeMetrics{scope.Counter("statements"), scope.Histogram("statement_seconds", latencyBuckets)}
	r.byOutcome[key] = m
	return m
}

// takeLogToken reports whether a line may be logged, and returns the number of
// lines skipped before it.
func (r *recorder) takeLogToken() (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !r.refilledAt.IsZero() {
		r.tokens = min(logBurst, r.tokens+logRate*now.Sub(r.refilledAt).Seconds())
	}
	r.refilledAt = now
	if r.tokens < 1 {
		r.skippedLines++
		return 0, false
	}
	r.tokens--
	skipped := r.skippedLines
	r.skippedLines = 0
	return skipped, true
}

// ConnectionOpened counts a new connection to a backend server.
func (r *recorder) ConnectionOpened(service string) {
	r.scope.Tagged(map[string]string{"service": service}).Counter("connections_opened").Inc(1)
}

// SessionChangeRefused counts and logs that a backend server refused a change of the
// session of a connection.
func (r *recorder) SessionChangeRefused(service, server string, code statement.Code) {
	r.scope.Tagged(map[string]string{"service": service, "code": code.String()}).Counter("session_changes_refused").Inc(1)
	if skipped, ok := r.takeLogToken(); ok {
		r.log.WithFields(logrus.Fields{"event": "session_change_refused", "service": service, "server": server,
			"code": code.String(), "lines_skipped": skipped}).Warn("backend server refused the session of a caller; the statement was not sent")
	}
}

// PrimaryChanged logs that the host sends writes to another backend server.
func (r *recorder) PrimaryChanged(service, server string, term group.Term) {
	r.log.WithFields(logrus.Fields{"event": "primary_changed", "service": service, "server": server, "term": term}).
		Info("primary changed; writes go to the new one")
}
