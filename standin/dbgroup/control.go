package dbgroup

import (
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// ControlUser is the user name of control connections, which do not count against
// the connection limit.
const ControlUser = "gypsumgap_control"

var (
	statusPattern   = regexp.MustCompile(`^SELECT \* FROM gypsumgap_status\(\);?$`)
	fencePattern    = regexp.MustCompile(`^SELECT gypsumgap_fence\((\d+)\);?$`)
	promotePattern  = regexp.MustCompile(`^SELECT gypsumgap_promote\((\d+)\);?$`)
	followPattern   = regexp.MustCompile(`^SELECT gypsumgap_follow\((\d+), '([^']*)'\);?$`)
	sessionsPattern = regexp.MustCompile(`^SELECT pid, application_name FROM pg_stat_activity;?$`)
	activityPattern = regexp.MustCompile(`^SELECT gypsumgap_activity\((\d+)\);?$`)
)

// statusColumns are the columns of the response to a status request and to every
// command. Times are in microseconds.
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

// statusRow returns the values of statusColumns in text format.
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

// runControlStatement runs one of the statements of a control connection; known is
// false for any other text.
func (c *session) runControlStatement(sql string) (known bool, err error) {
	ctx := c.ctx
	switch {
	case statusPattern.MatchString(sql):
		return true, c.sendStatus(c.slot.Status(), nil)
	case fencePattern.MatchString(sql):
		return true, c.runGroupCommand(fencePattern, sql, func(t group.Term, _ string) (group.Status, error) { return c.slot.Fence(t) })
	case promotePattern.MatchString(sql):
		return true, c.runGroupCommand(promotePattern, sql, func(t group.Term, _ string) (group.Status, error) { return c.slot.Promote(ctx, t) })
	case followPattern.MatchString(sql):
		return true, c.runGroupCommand(followPattern, sql, c.slot.Follow)
	case activityPattern.MatchString(sql):
		return true, c.sendActivity(activityPattern.FindStringSubmatch(sql)[1])
	case sessionsPattern.MatchString(sql):
		c.sendSessions()
		return true, nil
	}
	return false, nil
}

// runGroupCommand parses the term and, if there is one, the address of a command
// of the group contract, runs it and sends the status after it.
func (c *session) runGroupCommand(pattern *regexp.Regexp, sql string, run func(group.Term, string) (group.Status, error)) error {
	parts := pattern.FindStringSubmatch(sql)
	term, err := strconv.ParseUint(parts[1], 10, 63)
	if err != nil {
		return failf(codeNumericOutOfRange, "term %s is out of range", parts[1])
	}
	address := ""
	if len(parts) > 2 {
		address = parts[2]
	}
	return c.sendStatus(run(group.Term(term), address))
}

func (c *session) sendStatus(status group.Status, err error) error {
	if err != nil {
		return err
	}
	c.sendSingleRow(statusColumns, statusRow(status))
	return nil
}

// sendActivity sends whether a statement of the session with the process ID is running.
func (c *session) sendActivity(pid string) error {
	id, err := strconv.ParseUint(pid, 10, 32)
	if err != nil {
		return failf(codeNumericOutOfRange, "process id %s is out of range", pid)
	}
	c.slot.mu.Lock()
	other := c.slot.sessions[uint32(id)]
	c.slot.mu.Unlock()
	running := "f"
	if other != nil && other.isExecuting() {
		running = "t"
	}
	c.sendSingleRow([]column{{"gypsumgap_activity", pgtype.BoolOID}}, [][]byte{[]byte(running)})
	return nil
}

// sendSessions sends the process ID and application name of each client connection.
func (c *session) sendSessions() {
	c.send(rowDescription([]column{{"pid", pgtype.Int8OID}, {"application_name", pgtype.TextOID}}, nil))
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
	c.sendCommandComplete("SELECT " + strconv.FormatInt(count, 10))
}

// sendSingleRow sends a result of one row in text format.
func (c *session) sendSingleRow(columns []column, row [][]byte) {
	c.send(rowDescription(columns, nil))
	c.send(&pgproto3.DataRow{Values: row})
	c.sendCommandComplete("SELECT 1")
}
