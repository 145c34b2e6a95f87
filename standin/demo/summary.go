package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/gypsumgap/gypsumgap/core/group/pgcontrol"
	"github.com/gypsumgap/gypsumgap/standin/load"
)

// Summary holds the results of a demo over all databases.
type Summary struct {
	// Statements counts acknowledged writes and answered reads.
	Statements int
	// Reads counts answered reads.
	Reads int
	// ReplicaReads counts the read transactions that the owners routed to replicas, by
	// the hosts' metrics.
	ReplicaReads int
	// DeclaredReads counts the transactions that callers declared as reads, by the
	// hosts' metrics.
	DeclaredReads int
	// FailoverGap is the longest time without an acknowledged write on any database.
	FailoverGap time.Duration
	// Lost counts acknowledged writes that are missing.
	Lost int
	// Duplicated counts writes that are present more than once.
	Duplicated int
	// Stale counts reads that lack a write of their own session.
	Stale int
	// OtherFaults counts writes that are present although they were refused or
	// aborted.
	OtherFaults int
	// Unknown counts writes of unknown outcome.
	Unknown int
	// Refused counts writes that did not run.
	Refused int
	// Aborted counts writes that failed before they could commit.
	Aborted int
	// ReadsFailed counts reads that failed.
	ReadsFailed int
	// ConnectsFailed counts connection attempts that failed.
	ConnectsFailed int
	// KeyedSettled counts keyed writes of unknown outcome that a retry got acknowledged.
	KeyedSettled int
	// KeyedRepeats counts keyed writes that were repeated after their acknowledgement.
	KeyedRepeats int
	// Examples describes some of the faults.
	Examples []string
	// Gaps holds the longest gap of each database.
	Gaps []Gap
}

// Gap is the longest time without an acknowledged write on a database.
type Gap struct {
	Database string
	Length   time.Duration
	// Start is the time from the start of the load to the beginning of the gap.
	Start time.Duration
}

// String formats the gap on one line of key=value pairs.
func (g Gap) String() string {
	return fmt.Sprintf("gap database=%s length_ms=%d start_ms=%d", g.Database, g.Length.Milliseconds(), g.Start.Milliseconds())
}

// OK reports whether all guarantees held and at least one statement was answered.
func (s *Summary) OK() bool {
	return s.Lost+s.Duplicated+s.Stale+s.OtherFaults == 0 && s.Statements > 0
}

// ReplicaReadShare returns the share of declared reads that were routed to replicas,
// from 0 to 1.
func (s *Summary) ReplicaReadShare() float64 {
	if s.DeclaredReads == 0 {
		return 0
	}
	return float64(s.ReplicaReads) / float64(s.DeclaredReads)
}

// String formats the summary on one line of key=value pairs.
func (s *Summary) String() string {
	return fmt.Sprintf("demo ok=%t statements=%d reads=%d replica_reads=%d replica_read_share=%.3f failover_gap_ms=%d "+
		"acknowledged_writes_lost=%d duplicated_writes=%d stale_session_reads=%d",
		s.OK(), s.Statements, s.Reads, s.ReplicaReads, s.ReplicaReadShare(), s.FailoverGap.Milliseconds(),
		s.Lost, s.Duplicated, s.Stale)
}

// Failures formats the counts of failed operations and of keyed retries, which violate
// no guarantee, on one line of key=value pairs.
func (s *Summary) Failures() string {
	return fmt.Sprintf("failures unknown=%d refused=%d aborted=%d reads_failed=%d connects_failed=%d keyed_settled=%d keyed_repeats=%d",
		s.Unknown, s.Refused, s.Aborted, s.ReadsFailed, s.ConnectsFailed, s.KeyedSettled, s.KeyedRepeats)
}

// summarise checks the record of each load against the database's primary and reads
// the hosts' metrics.
func summarise(l *layout, runs []loadRun) (*Summary, error) {
	s := &Summary{}
	client := pgcontrol.New(pgcontrol.Options{})
	defer client.Close()
	for _, r := range runs {
		report, err := check(client, l, r)
		if err != nil {
			return nil, err
		}
		s.add(r.deployment.database, report)
	}
	for _, h := range l.hosts {
		if err := s.addMetrics("http://" + h.admin + "/metrics"); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func check(client *pgcontrol.Client, l *layout, r loadRun) (load.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	primary, err := load.FindPrimary(ctx, client, l.slots[r.deployment.database])
	if err != nil {
		return load.Report{}, err
	}
	return load.Check(ctx, r.record, primary.Address, r.deployment.database, r.deployment.caller)
}

func (s *Summary) add(database string, r load.Report) {
	s.Gaps = append(s.Gaps, Gap{database, r.LongestGap, r.GapStart})
	reads := r.Reads + r.StatusPageReads
	s.Reads += reads
	s.Statements += reads + r.Acknowledged
	s.FailoverGap = max(s.FailoverGap, r.LongestGap)
	s.Lost += r.Lost
	s.Duplicated += r.Duplicated
	s.Stale += r.StaleReads
	s.OtherFaults += r.RefusedPresent + r.AbortedPresent
	s.Unknown += r.Unknown
	s.Refused += r.Refused
	s.Aborted += r.Aborted
	s.ReadsFailed += r.ReadsFailed + r.ReadsRefused
	s.ConnectsFailed += r.ConnectsFailed
	s.KeyedSettled += r.KeyedSettled
	s.KeyedRepeats += r.KeyedRepeats
	s.Examples = append(s.Examples, r.Examples...)
}

// addMetrics adds a host's counts of transactions by the path that it chose as owner.
func (s *Summary) addMetrics(url string) error {
	resp, err := http.Get(url)
	if err != nil {
		return fmt.Errorf("get metrics: %w", err)
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return fmt.Errorf("parse metrics of %s: %w", url, err)
	}
	for _, m := range families["gypsumgap_transactions_total"].GetMetric() {
		count := int(m.GetCounter().GetValue())
		switch label(m, "path") {
		case "replica":
			s.ReplicaReads += count
			s.DeclaredReads += count
		case "primary_read":
			s.DeclaredReads += count
		}
	}
	return nil
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}
