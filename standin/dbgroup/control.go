package dbgroup

import (
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// ControlUser is the user of control connections, which don't count against
// the connection limit.
const ControlUser = "gypsumgap_control"

var (
	statusOrder   = regexp.MustCompile(`^SELECT \* FROM gypsumgap_status\(\);?$`)
	fenceOrder    = regexp.MustCompile(`^SELECT gypsumgap_fence\((\d+)\);?$`)
	promoteOrder  = regexp.MustCompile(`^SELECT gypsumgap_promote\((\d+)\);?$`)
	followOrder   = regexp.MustCompile(`^SELECT gypsumgap_follow\((\d+), '([^']*)'\);?$`)
	sessionsOrder = regexp.MustCompile(`^SELECT pid, application_name FROM pg_stat_activity;?$`)
	activityOrder = regexp.MustCompile(`^SELECT gypsumgap_activity\((\d+)\);?$`)
)

// statusColumns are the columns of the answer to a status request and to every
// order. Times are in microseconds.
var statusColumns = []column{
	{"role", pgtype.TextOID},
	{"accepted_term", pgtype.Int8OID},
	{"received_term", pgtype.Int8OID},
	{"received_offset", pgtype.Int8OID},
	{"applied_term", pgtype.Int8OID},
	{"applied_offset", pgtype.Int8OID},
	{"leaving", pgtype.BoolOID},
	{"connections", pgtype.Int8OID},
	{"connection_limit", pgtype.Int8OID},
	{"upstream", pgtype.TextOID},
	{"receiving_age_us", pgtype.Int8OID},
}

func statusRow(s group.Status) [][]byte {
	number := func(v uint64) []byte { return strconv.AppendUint(nil, v, 10) }
	leaving := "f"
	if s.Leaving {
		leaving = "t"
	}
	return [][]byte{
		[]byte(s.Role),
		number(uint64(s.AcceptedTerm)),
		number(uint64(s.Received.Term)), number(s.Received.Offset),
		number(uint64(s.Applied.Term)), number(s.Applied.Offset),
		[]byte(leaving),
		number(uint64(s.Connections)), number(uint64(s.ConnectionLimit)),
		[]byte(s.Upstream),
		number(uint64(s.ReceivingAge.Microseconds())),
	}
}

// control runs one of the statements of a control connection; known is false
// for other text.
func (c *session) control(sql string) (known bool, err error) {
	ctx := c.ctx
	switch {
	case statusOrder.MatchString(sql):
		return true, c.answerStatus(c.slot.Status(), nil)
	case fenceOrder.MatchString(sql):
		return true, c.order(fenceOrder, sql, func(t group.Term, _ string) (group.Status, error) { return c.slot.Fence(t) })
	case promoteOrder.MatchString(sql):
		return true, c.order(promoteOrder, sql, func(t group.Term, _ string) (group.Status, error) { return c.slot.Promote(ctx, t) })
	case followOrder.MatchString(sql):
		return true, c.order(followOrder, sql, c.slot.Follow)
	case activityOrder.MatchString(sql):
		return true, c.activity(activityOrder.FindStringSubmatch(sql)[1])
	case sessionsOrder.MatchString(sql):
		c.listSessions()
		return true, nil
	}
	return false, nil
}

func (c *session) order(pattern *regexp.Regexp, sql string, run func(group.Term, string) (group.Status, error)) error {
	parts := pattern.FindStringSubmatch(sql)
	term, err := strconv.ParseUint(parts[1], 10, 63)
	if err != nil {
		return failf(codeNumericOutOfRange, "term %s is out of range", parts[1])
	}
	address := ""
	if len(parts) > 2 {
		address = parts[2]
	}
	return c.answerStatus(run(group.Term(term), address))
}

func (c *session) answerStatus(status group.Status, err error) error {
	if err != nil {
		return err
	}
	c.answerRow(statusColumns, statusRow(status))
	return nil
}

// activity tells whether a statement of the backend process is running.
func (c *session) activity(pid string) error {
	id, err := strconv.ParseUint(pid, 10, 32)
	if err != nil {
		return failf(codeNumericOutOfRange, "process id %s is out of range", pid)
	}
	c.slot.mu.Lock()
	other := c.slot.sessions[uint32(id)]
	c.slot.mu.Unlock()
	running := "f"
	if other != nil && other.isRunning() {
		running = "t"
	}
	c.answerRow([]column{{"gypsumgap_activity", pgtype.BoolOID}}, [][]byte{[]byte(running)})
	return nil
}

// listSessions lists the ordinary connections.
func (c *session) listSessions() {
	c.send(describeRow([]column{{"pid", pgtype.Int8OID}, {"application_name", pgtype.TextOID}}, nil))
	c.slot.mu.Lock()
	defer c.slot.mu.Unlock()
	count := int64(0)
	for pid, other := range c.slot.sessions {
		if !other.counted {
			continue
		}
		row := [][]byte{strconv.AppendUint(nil, uint64(pid), 10), []byte(*other.application.Load())}
		c.send(&pgproto3.DataRow{Values: row})
		count++
	}
	c.complete("SELECT " + strconv.FormatInt(count, 10))
}

// answerRow sends a result of one row in text form.
func (c *session) answerRow(columns []column, row [][]byte) {
	c.send(describeRow(columns, nil))
	c.send(&pgproto3.DataRow{Values: row})
	c.complete("SELECT 1")
}
