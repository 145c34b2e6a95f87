package load

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/pgcontrol"
)

// Report is the result of checking a load.
type Report struct {
	Counts
	// Lost counts acknowledged writes that are absent from the table.
	Lost int
	// Duplicated counts writes that are present more than once.
	Duplicated int
	// RefusedPresent counts writes that are present although the caller was told that
	// they did not run.
	RefusedPresent int
	// AbortedPresent counts writes that are present although the caller was told that
	// they were rolled back.
	AbortedPresent int
	// UnknownPresent counts writes of unknown outcome that are present, which
	// violates no guarantee.
	UnknownPresent int
	// StaleReads counts reads that did not return a write acknowledged to the same session.
	StaleReads int
	// LongestGap is the longest time without an acknowledged write.
	LongestGap time.Duration
	// GapStart is the time from the start of the load to the beginning of LongestGap.
	GapStart time.Duration
	// WriteLatency covers acknowledged writes, ReadLatency answered reads.
	WriteLatency, ReadLatency Latency
	// Examples describes the first violations, 10 at most.
	Examples []string
}

const maxExamples = 10

// Violations returns the number of violated guarantees.
func (r Report) Violations() int {
	return r.Lost + r.Duplicated + r.RefusedPresent + r.AbortedPresent + r.StaleReads
}

// Check reads the load's table from the primary, given as host:port, and compares
// it with the record. It returns an error if the table cannot be read.
func Check(ctx context.Context, record *Record, primary, database, user string) (Report, error) {
	present, err := readTable(ctx, primary, database, user)
	if err != nil {
		return Report{}, fmt.Errorf("load: read table from primary: %w", err)
	}
	return compare(record, present), nil
}

func readTable(ctx context.Context, primary, database, user string) (map[string]int, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", user, primary, database))
	if err != nil {
		return nil, err
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, "SELECT write_id FROM gypsumgap_load")
	if err != nil {
		return nil, err
	}
	present := map[string]int{}
	var id string
	_, err = pgx.ForEachRow(rows, []any{&id}, func() error {
		present[id]++
		return nil
	})
	return present, err
}

func compare(record *Record, present map[string]int) Report {
	r := Report{Counts: record.Counts(), StaleReads: len(record.StaleReads()), LongestGap: record.LongestGap(), GapStart: record.GapStart()}
	r.WriteLatency, r.ReadLatency = record.Latencies()
	for _, w := range record.Writes() {
		times := present[w.ID]
		if times > 1 {
			r.Duplicated++
			r.addExample("twice", w)
		}
		switch {
		case w.Outcome == Acknowledged && times == 0:
			r.Lost++
			r.addExample("lost", w)
		case w.Outcome == Refused && times > 0:
			r.RefusedPresent++
			r.addExample("refused but present", w)
		case w.Outcome == Aborted && times > 0:
			r.AbortedPresent++
			r.addExample("aborted but present", w)
		case w.Outcome == Unknown && times > 0:
			r.UnknownPresent++
		}
	}
	for _, m := range record.StaleReads() {
		if len(r.Examples) < maxExamples {
			r.Examples = append(r.Examples, fmt.Sprintf("session %s missed writes %v at %s", m.Session, m.Missing, m.Address))
		}
	}
	return r
}

func (r *Report) addExample(what string, w Write) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf("%s: write %s %s", what, w.ID, w.Err))
	}
}

// FindPrimary queries the status of the slots and returns the primary with the
// highest accepted term. It returns an error if no slot reports that it is primary.
func FindPrimary(ctx context.Context, client *pgcontrol.Client, slots []group.Slot) (group.Slot, error) {
	var best group.Slot
	var term group.Term
	for _, slot := range slots {
		status, err := client.Status(ctx, slot)
		if err == nil && status.Role == group.Primary && status.AcceptedTerm > term {
			best, term = slot, status.AcceptedTerm
		}
	}
	if term == 0 {
		return best, fmt.Errorf("load: no primary among %d slots", len(slots))
	}
	return best, nil
}
