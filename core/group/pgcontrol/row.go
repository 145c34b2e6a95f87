package pgcontrol

import (
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// The columns of answers. A command is answered with the status after it.
const (
	roleColumn            = "role"
	acceptedTermColumn    = "accepted_term"
	receivedTermColumn    = "received_term"
	receivedOffsetColumn  = "received_offset"
	appliedTermColumn     = "applied_term"
	appliedOffsetColumn   = "applied_offset"
	leavingColumn         = "leaving"
	connectionsColumn     = "connections"
	connectionLimitColumn = "connection_limit"
	upstreamColumn        = "upstream"
	receivingAgeColumn    = "receiving_age_us"
	activityColumn        = "gypsumgap_activity"
	pidColumn             = "pid"
	applicationColumn     = "application_name"
)

// row is a row of an answer in text format. err is the error of the first
// column read that is missing or malformed.
type row struct {
	values map[string]string
	err    error
}

func newRows(results []*pgconn.Result) ([]*row, error) {
	if len(results) != 1 {
		return nil, fmt.Errorf("%w: got %d results, want one", errMalformedAnswer, len(results))
	}
	var rows []*row
	for _, values := range results[0].Rows {
		r := &row{values: map[string]string{}}
		for i, field := range results[0].FieldDescriptions {
			r.values[field.Name] = string(values[i])
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// singleRow returns the only row of an answer, or a row with an error set if
// the answer does not have exactly one.
func singleRow(rows []*row) *row {
	if len(rows) != 1 {
		return &row{err: fmt.Errorf("%w: got %d rows, want one", errMalformedAnswer, len(rows))}
	}
	return rows[0]
}

func (r *row) text(name string) string {
	value, ok := r.values[name]
	if !ok && r.err == nil {
		r.err = fmt.Errorf("%w: missing column %s", errMalformedAnswer, name)
	}
	return value
}

func (r *row) number(name string) uint64 {
	value, err := strconv.ParseUint(r.text(name), 10, 63)
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("%w: column %s: %w", errMalformedAnswer, name, err)
	}
	return value
}

func (r *row) boolean(name string) bool { return r.text(name) == "t" }

func (r *row) position(term, offset string) group.Position {
	return group.Position{Term: group.Term(r.number(term)), Offset: r.number(offset)}
}

func (r *row) status() group.Status {
	return group.Status{
		Role:            group.Role(r.text(roleColumn)),
		AcceptedTerm:    group.Term(r.number(acceptedTermColumn)),
		Received:        r.position(receivedTermColumn, receivedOffsetColumn),
		Applied:         r.position(appliedTermColumn, appliedOffsetColumn),
		Leaving:         r.boolean(leavingColumn),
		Connections:     int(r.number(connectionsColumn)),
		ConnectionLimit: int(r.number(connectionLimitColumn)),
		Upstream:        r.text(upstreamColumn),
		ReceivingAge:    time.Duration(r.number(receivingAgeColumn)) * time.Microsecond,
	}
}

// answerError returns the error of a malformed answer, which wraps
// group.ErrNoAnswer because the command may have been executed.
func (r *row) answerError(slot group.Slot, operation string) error {
	if r.err == nil {
		return nil
	}
	return wrapError(slot, operation, group.ErrNoAnswer, r.err)
}
