package dbgroup

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/gypsumgap/gypsumgap/standin/dbgroup/internal/sqlite"
)

// column is a column of a result.
type column struct {
	name string
	oid  uint32
}

// prepared is a prepared statement.
type prepared struct {
	command
	// params holds the type OIDs of $1, $2 and so on.
	params []uint32
	// paramOrder holds, for each parameter of the embedded database, its index in params.
	paramOrder []int
	columns    []column
	readOnly   bool
	// columnTypesResolved is set once the types of all columns are known, or the
	// attempt to find them has been made.
	columnTypesResolved bool
}

// portal is a prepared statement with bound parameters, and its execution.
type portal struct {
	*prepared
	args    []any
	formats []int16
	// describe is set if a RowDescription precedes the rows, as in a simple query.
	describe bool
	stmt     *sqlite.Stmt
	rows     int64
	done     bool
}

// prepare classifies a statement and finds its parameters and columns.
func (c *session) prepare(sql string, oids []uint32) (*prepared, error) {
	p := &prepared{command: classify(sql), readOnly: true, columnTypesResolved: true}
	if c.tx.status == statusFailed && !p.allowedInFailedTransaction() {
		return nil, failf(codeFailedTransaction, messageFailedTx)
	}
	switch p.kind {
	case kindSQL:
		return p, c.prepareSQL(p, oids)
	case kindShow:
		p.columns = []column{{p.name, pgtype.TextOID}}
	case kindSleep:
		p.columns = []column{{"pg_sleep", pgtype.TextOID}}
	}
	return p, nil
}

// allowedInFailedTransaction reports whether the statement can run in a failed transaction.
func (c command) allowedInFailedTransaction() bool {
	switch c.kind {
	case kindCommit, kindRollback, kindRollbackTo, kindEmpty:
		return true
	}
	return false
}

// prepareSQL finds the parameters and columns of a statement by preparing it in
// the embedded database.
func (c *session) prepareSQL(p *prepared, oids []uint32) error {
	stmt, err := c.acquireStatement(p.sql)
	if err != nil {
		return err
	}
	defer c.releaseStatement(p.sql, stmt)
	if stmt.Empty() {
		p.kind = kindEmpty
		return nil
	}
	p.readOnly = stmt.ReadOnly
	p.params = append(p.params, oids...)
	for _, name := range stmt.Params {
		if err := p.addParam(name); err != nil {
			return err
		}
	}
	if err := c.inferParams(p); err != nil {
		return err
	}
	for _, col := range stmt.Columns {
		oid := oidOfName(col.DeclType)
		p.columns = append(p.columns, column{col.Name, oid})
		p.columnTypesResolved = p.columnTypesResolved && oid != unknownOID
	}
	return nil
}

// addParam adds a parameter with a name such as "$1" or "$1::int8": the embedded
// database treats a cast that follows a parameter as part of its name.
func (p *prepared) addParam(name string) error {
	number, cast, _ := strings.Cut(strings.TrimPrefix(name, "$"), "::")
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 || n > 65535 || !strings.HasPrefix(name, "$") {
		return failf(codeUndefinedParameter, "parameter %q is not of the form $1", name)
	}
	for len(p.params) < n {
		p.params = append(p.params, unknownOID)
	}
	if p.params[n-1] == unknownOID {
		p.params[n-1] = oidOfName(cast)
	}
	p.paramOrder = append(p.paramOrder, n-1)
	return nil
}

// resolveColumnTypes finds the types of expression columns by running the statement
// without parameters up to its first row. The types stay unknown if there is no
// row or the statement writes.
func (c *session) resolveColumnTypes(p *prepared) {
	if p.columnTypesResolved {
		return
	}
	p.columnTypesResolved = true
	if !p.readOnly {
		return
	}
	stmt, err := c.acquireStatement(p.sql)
	if err != nil {
		return
	}
	defer c.releaseStatement(p.sql, stmt)
	if more, err := stmt.Step(); err == nil && more {
		p.setColumnTypes(stmt)
	}
}

// setColumnTypes sets the unknown column types from the current row.
func (p *prepared) setColumnTypes(stmt *sqlite.Stmt) {
	for i := range p.columns {
		if p.columns[i].oid == unknownOID {
			p.columns[i].oid = oidOfValue(stmt.Type(i))
		}
	}
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, col := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(col.name), DataTypeOID: col.oid, DataTypeSize: typeSize(col.oid),
			TypeModifier: -1, Format: formatOf(formats, i),
		})
	}
	return d
}

// formatOf returns the i-th format code. A list of one code holds for all values,
// and an empty list means text.
func formatOf(formats []int16, i int) int16 {
	switch len(formats) {
	case 0:
		return textFormat
	case 1:
		return formats[0]
	}
	if i < len(formats) {
		return formats[i]
	}
	return textFormat
}

// handleExtended handles the messages of the extended protocol other than Sync and Flush.
func (c *session) handleExtended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return c.parse(msg)
	case *pgproto3.Bind:
		return c.bind(msg)
	case *pgproto3.Describe:
		return c.describe(msg)
	case *pgproto3.Execute:
		return c.executePortal(msg)
	case *pgproto3.Close:
		return c.closeObject(msg)
	}
	return failf(codeProtocolViolation, "message %T is not supported", msg)
}

func (c *session) parse(msg *pgproto3.Parse) error {
	if _, exists := c.prepared[msg.Name]; exists && msg.Name != "" {
		return failf(codeDuplicateStatement, "prepared statement %q already exists", msg.Name)
	}
	p, err := c.prepare(msg.Query, msg.ParameterOIDs)
	if err != nil {
		return err
	}
	c.prepared[msg.Name] = p
	c.send(&pgproto3.ParseComplete{})
	return nil
}

func (c *session) findPrepared(name string) (*prepared, error) {
	if p, ok := c.prepared[name]; ok {
		return p, nil
	}
	return nil, failf(codeUnknownStatement, "prepared statement %q does not exist", name)
}

func (c *session) bind(msg *pgproto3.Bind) error {
	p, err := c.findPrepared(msg.PreparedStatement)
	if err != nil {
		return err
	}
	if c.tx.status == statusFailed && !p.allowedInFailedTransaction() {
		return failf(codeFailedTransaction, messageFailedTx)
	}
	if len(msg.Parameters) != len(p.params) {
		return failf(codeProtocolViolation, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(msg.Parameters), msg.PreparedStatement, len(p.params))
	}
	values := make([]any, len(p.params))
	for i, src := range msg.Parameters {
		if values[i], err = c.codec.decode(p.params[i], formatOf(msg.ParameterFormatCodes, i), src); err != nil {
			return err
		}
	}
	target := &portal{prepared: p, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for _, index := range p.paramOrder {
		target.args = append(target.args, values[index])
	}
	c.closePortal(msg.DestinationPortal)
	c.portals[msg.DestinationPortal] = target
	c.send(&pgproto3.BindComplete{})
	return nil
}

func (c *session) describe(msg *pgproto3.Describe) error {
	if msg.ObjectType == 'P' {
		target, err := c.findPortal(msg.Name)
		if err != nil {
			return err
		}
		c.sendDescription(target.prepared, target.formats)
		return nil
	}
	p, err := c.findPrepared(msg.Name)
	if err != nil {
		return err
	}
	c.send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
	c.sendDescription(p, nil)
	return nil
}

// sendDescription sends the RowDescription of a statement, or NoData.
func (c *session) sendDescription(p *prepared, formats []int16) {
	if len(p.columns) == 0 {
		c.send(&pgproto3.NoData{})
		return
	}
	c.resolveColumnTypes(p)
	c.send(rowDescription(p.columns, formats))
}

func (c *session) findPortal(name string) (*portal, error) {
	if target, ok := c.portals[name]; ok {
		return target, nil
	}
	return nil, failf(codeUnknownPortal, "portal %q does not exist", name)
}

func (c *session) executePortal(msg *pgproto3.Execute) error {
	target, err := c.findPortal(msg.Portal)
	if err != nil {
		return err
	}
	if c.tx.status == statusFailed && !target.allowedInFailedTransaction() {
		return failf(codeFailedTransaction, messageFailedTx)
	}
	suspended, err := c.execute(target, int64(msg.MaxRows))
	if suspended {
		c.send(&pgproto3.PortalSuspended{})
	}
	return err
}

func (c *session) closeObject(msg *pgproto3.Close) error {
	if msg.ObjectType == 'P' {
		c.closePortal(msg.Name)
	} else {
		delete(c.prepared, msg.Name)
	}
	c.send(&pgproto3.CloseComplete{})
	return nil
}

func (c *session) closePortal(name string) {
	if target, ok := c.portals[name]; ok {
		c.releasePortal(target)
		delete(c.portals, name)
	}
}

func (c *session) closePortals() {
	for name := range c.portals {
		c.closePortal(name)
	}
}

// releasePortal ends the execution of the portal and returns its statement to the cache.
func (c *session) releasePortal(target *portal) {
	if target.stmt != nil {
		c.releaseStatement(target.sql, target.stmt)
		target.stmt = nil
	}
}

// releasePortals ends unfinished executions, which would prevent the embedded
// database from ending its transaction.
func (c *session) releasePortals() {
	for _, target := range c.portals {
		c.releasePortal(target)
	}
}

// execute runs a portal and sends its rows and command tag. It returns suspended
// if it stopped after maxRows rows; 0 means no limit.
func (c *session) execute(target *portal, maxRows int64) (suspended bool, err error) {
	if c.cancelRequested.Load() {
		return false, c.interruptionError()
	}
	if target.kind == kindSQL {
		return c.executeSQL(target, maxRows)
	}
	tag, err := c.executeSessionCommand(target)
	if err != nil {
		return false, err
	}
	if target.kind == kindEmpty {
		c.send(&pgproto3.EmptyQueryResponse{})
		return false, nil
	}
	c.sendCommandComplete(tag)
	return false, nil
}

func (c *session) sendCommandComplete(tag string) {
	c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// executeSessionCommand runs a statement that the session handles itself instead
// of passing it to the embedded database.
func (c *session) executeSessionCommand(target *portal) (tag string, err error) {
	cmd := target.command
	switch cmd.kind {
	case kindEmpty:
		return "", nil
	case kindBegin:
		return "BEGIN", c.begin(cmd)
	case kindCommit:
		return c.endTransaction()
	case kindRollback:
		c.rollback()
		return "ROLLBACK", nil
	case kindSavepoint:
		return "SAVEPOINT", c.setSavepoint(cmd.name)
	case kindRelease:
		return "RELEASE", c.releaseSavepoint(cmd.name)
	case kindRollbackTo:
		return "ROLLBACK", c.rollbackTo(cmd.name)
	case kindShow:
		return "SHOW", c.showSetting(target)
	case kindSleep:
		return "SELECT 1", c.sleep(target)
	}
	return c.changeSetting(cmd)
}

// endTransaction runs COMMIT, which rolls a failed transaction back.
func (c *session) endTransaction() (string, error) {
	switch c.tx.status {
	case statusFailed:
		c.rollback()
		return "ROLLBACK", nil
	case statusIdle:
		c.sendWarning(codeNoActiveTransaction, "there is no transaction in progress")
	}
	return "COMMIT", c.commit()
}

// changeSetting runs SET, RESET, DISCARD and DEALLOCATE and returns the command tag.
func (c *session) changeSetting(cmd command) (tag string, err error) {
	switch cmd.kind {
	case kindSet:
		c.changeSessionSetting(cmd.name, cmd.value)
		return "SET", nil
	case kindReset:
		c.resetSettings(cmd.name)
		return "RESET", nil
	case kindDiscard:
		if c.tx.status != statusIdle {
			return "", failf(codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
		}
		c.resetSettings("all")
		clear(c.prepared)
		return "DISCARD ALL", nil
	case kindDeallocate:
		if cmd.name == "all" {
			clear(c.prepared)
			return "DEALLOCATE ALL", nil
		}
		delete(c.prepared, cmd.name)
	}
	return "DEALLOCATE", nil
}

// resetSettings returns a setting, or all of them if the name is "all", to the values of
// the startup packet.
func (c *session) resetSettings(name string) {
	for changed := range maps.Clone(c.settings) {
		if name != "all" && name != changed {
			continue
		}
		if value, set := c.startSettings[changed]; set || changed == "application_name" {
			c.changeSessionSetting(changed, value)
		} else {
			delete(c.settings, changed)
		}
	}
}

func (c *session) changeSessionSetting(name, value string) {
	if old, set := c.settings[name]; set && old == value {
		return
	}
	c.settings[name] = value
	if name == "application_name" {
		c.setApplicationName(value)
		c.send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
}

func (c *session) showSetting(target *portal) error {
	value, known := c.settings[target.name]
	switch target.name {
	case "transaction_read_only", "in_hot_standby":
		_, err := c.slot.writableEpoch()
		value, known = onOff(err != nil || c.tx.readOnly), true
	case "server_version":
		value, known = serverVersion, true
	}
	if !known {
		return failf(codeUndefinedObject, "unrecognized configuration parameter %q", target.name)
	}
	c.sendTextRow(target, value)
	return nil
}

func onOff(v bool) string {
	if v {
		return "on"
	}
	return "off"
}

func (c *session) sendTextRow(target *portal, value string) {
	if target.describe {
		c.send(rowDescription(target.columns, target.formats))
	}
	c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}

// sleep runs pg_sleep, which tests use as a slow statement.
func (c *session) sleep(target *portal) error {
	seconds, err := strconv.ParseFloat(target.value, 64)
	if err != nil {
		return failf(codeInvalidText, "invalid input syntax for type double precision: %q", target.value)
	}
	timer := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer timer.Stop()
	select {
	case <-timer.C:
		c.sendTextRow(target, "")
		return nil
	case <-c.cancelCh:
	case <-c.ctx.Done():
	}
	return c.interruptionError()
}

// executeSQL runs a statement in the embedded database.
func (c *session) executeSQL(target *portal, maxRows int64) (suspended bool, err error) {
	// A command tag counts only the rows of one Execute message.
	target.rows = 0
	if target.done {
		c.sendCommandComplete(target.tag(0))
		return false, nil
	}
	if !target.readOnly {
		if err := c.beginWrite(); err != nil {
			return false, err
		}
		// A write runs to completion, so all its rows are sent at once.
		maxRows = 0
	}
	if err := c.startPortal(target); err != nil {
		return false, err
	}
	suspended, err = c.sendRows(target, maxRows)
	if err != nil || suspended {
		return suspended, err
	}
	target.done = true
	c.completeSQL(target)
	return false, nil
}

// startPortal binds the parameters, unless the portal has been started.
func (c *session) startPortal(target *portal) error {
	if target.stmt != nil {
		return nil
	}
	stmt, err := c.acquireStatement(target.sql)
	if err != nil {
		return err
	}
	target.stmt = stmt
	for i, arg := range target.args {
		if err := stmt.Bind(i+1, arg); err != nil {
			return err
		}
	}
	return nil
}

// completeSQL records a write for the replication log and sends the command tag.
func (c *session) completeSQL(target *portal) {
	count := target.rows
	if !target.readOnly {
		if len(target.columns) == 0 {
			count = c.db.Load().Changes()
		}
		c.tx.pending = append(c.tx.pending, statement{target.sql, target.args})
	}
	c.releasePortal(target)
	c.sendCommandComplete(target.tag(count))
}

func (p *portal) tag(count int64) string {
	verb := p.commandTagVerb(p.readOnly)
	if !countsRows(verb) {
		return verb
	}
	return verb + " " + strconv.FormatInt(count, 10)
}

// sendRows sends at most maxRows rows, or all if maxRows is 0. It returns
// suspended if it stopped at the limit.
func (c *session) sendRows(target *portal, maxRows int64) (suspended bool, err error) {
	for sent := int64(0); maxRows == 0 || sent < maxRows; sent++ {
		more, err := target.stmt.Step()
		if err != nil {
			return false, err
		}
		if err := c.sendRowDescriptionOnce(target, more); err != nil || !more {
			return false, err
		}
		if err := c.sendRow(target); err != nil {
			return false, err
		}
		target.rows++
	}
	return true, nil
}

// sendRowDescriptionOnce sends the RowDescription of a simple query before its
// first row, which determines the types of expression columns.
func (c *session) sendRowDescriptionOnce(target *portal, hasRow bool) error {
	if !target.describe || len(target.columns) == 0 {
		return nil
	}
	target.describe = false
	if hasRow {
		target.setColumnTypes(target.stmt)
	}
	c.send(rowDescription(target.columns, target.formats))
	return nil
}

func (c *session) sendRow(target *portal) error {
	c.values, c.buffer = c.values[:0], c.buffer[:0]
	for i, col := range target.columns {
		if target.stmt.Type(i) == sqlite.Null {
			c.values = append(c.values, nil)
			continue
		}
		start := len(c.buffer)
		out, err := c.codec.encode(c.buffer, target.stmt, i, col.oid, formatOf(target.formats, i))
		if err != nil {
			return err
		}
		c.buffer = out
		c.values = append(c.values, out[start:len(out):len(out)])
	}
	c.row.Values = c.values
	c.send(&c.row)
	c.unflushedBytes += len(c.buffer)
	if c.unflushedBytes < flushThreshold {
		return nil
	}
	return c.flush()
}
