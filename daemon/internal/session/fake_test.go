package session

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

// fault is a scripted failure of a fake backend while it runs a statement.
type fault int

const (
	noFault fault = iota
	// dropBefore closes the connection before the statement runs.
	dropBefore
	// dropAfter runs the statement and closes the connection without an answer.
	dropAfter
	// endSession ends the session as a server does that is shutting down.
	endSession
)

// logRow is a row of the request log.
type logRow struct {
	fingerprint string
	answer      []byte
}

// pipeNetwork connects callers, servers and backends by pipes, which are unbuffered
// and work with the virtual time of synctest. A nil *pipeNetwork uses TCP.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	next      int
	// record, if not nil, is called with the bytes that the listening side at an
	// address writes.
	record func(address string, p []byte)
}

func newPipeNetwork() *pipeNetwork { return &pipeNetwork{listeners: map[string]*pipeListener{}} }

func (n *pipeNetwork) listen(t testing.TB) net.Listener {
	if n == nil {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	ln := &pipeListener{
		n: n, name: fmt.Sprintf("127.0.0.1:%d", n.next),
		conns: make(chan net.Conn), closed: make(chan struct{}),
	}
	n.listeners[ln.name] = ln
	return ln
}

func (n *pipeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if n == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	n.mu.Lock()
	ln := n.listeners[address]
	record := n.record
	n.mu.Unlock()
	if ln == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	if record != nil {
		far = &recordedConn{Conn: far, record: func(p []byte) { record(address, p) }}
	}
	select {
	case ln.conns <- far:
		return near, nil
	case <-ln.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recordedConn passes the bytes that are written to record.
type recordedConn struct {
	net.Conn
	record func(p []byte)
}

func (c *recordedConn) Write(p []byte) (int, error) {
	c.record(p)
	return c.Conn.Write(p)
}

type pipeListener struct {
	n      *pipeNetwork
	name   string
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", l.name)
	return a
}

// fakeBackend is a scripted backend server with a request log.
type fakeBackend struct {
	t    testing.TB
	ln   net.Listener
	wg   sync.WaitGroup
	stop chan struct{}

	mu      sync.Mutex
	conns   map[uint32]*fakeConn
	nextPID uint32
	// committed lists the writes of committed transactions.
	committed []string
	// seen lists every statement that was run, as "pid: sql".
	seen []string
	// requestLog maps request keys to committed rows.
	requestLog map[string]logRow
	// faults maps a statement to the faults of its next runs, in order.
	faults map[string][]fault
	// cancelled lists the process ids of cancel requests.
	cancelled []uint32
	// gate blocks SELECT wait, and the insert of the key "locked", until it is
	// closed.
	gate chan struct{}
	// waiting receives a value when SELECT wait begins to wait.
	waiting chan struct{}
}

func newFakeBackend(t testing.TB, n *pipeNetwork) *fakeBackend {
	b := &fakeBackend{
		t: t, ln: n.listen(t), stop: make(chan struct{}), conns: map[uint32]*fakeConn{},
		requestLog: map[string]logRow{}, faults: map[string][]fault{},
		gate: make(chan struct{}), waiting: make(chan struct{}, 16),
	}
	b.wg.Add(1)
	go b.accept()
	t.Cleanup(b.close)
	return b
}

func (b *fakeBackend) address() string { return b.ln.Addr().String() }

func (b *fakeBackend) accept() {
	defer b.wg.Done()
	for {
		nc, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.wg.Add(1)
		go func() {
			defer b.wg.Done()
			defer nc.Close()
			b.serve(nc)
		}()
	}
}

func (b *fakeBackend) close() {
	close(b.stop)
	b.ln.Close()
	b.mu.Lock()
	for _, c := range b.conns {
		c.nc.Close()
	}
	b.mu.Unlock()
	b.wg.Wait()
}

func (b *fakeBackend) injectFaults(sql string, faults ...fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults[sql] = faults
}

func (b *fakeBackend) effects() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.committed...)
}

func (b *fakeBackend) statements() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.seen...)
}

func (b *fakeBackend) count(sql string) int {
	n := 0
	for _, s := range b.statements() {
		if strings.HasSuffix(s, ": "+sql) {
			n++
		}
	}
	return n
}

// fakeConn is one server session of a fake backend.
type fakeConn struct {
	b      *fakeBackend
	nc     net.Conn
	be     *pgproto3.Backend
	pid    uint32
	status byte
	// pending holds the uncommitted writes of the open transaction.
	pending []string
	// pendingLog holds the transaction's uncommitted rows of the request log.
	pendingLog map[string]logRow
	statements map[string]string
	portals    map[string]fakePortal
	settings   map[string]string
	skip       bool
	cancel     chan struct{}
	inBlock    bool
}

type fakePortal struct {
	sql        string
	parameters [][]byte
}

func (b *fakeBackend) serve(nc net.Conn) {
	be := pgproto3.NewBackend(nc, nc)
	m, err := be.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if c, ok := m.(*pgproto3.CancelRequest); ok {
		b.mu.Lock()
		b.cancelled = append(b.cancelled, c.ProcessID)
		target := b.conns[c.ProcessID]
		b.mu.Unlock()
		if target != nil {
			select {
			case target.cancel <- struct{}{}:
			default:
			}
		}
		return
	}
	c := &fakeConn{
		b: b, nc: nc, be: be, status: 'I', pendingLog: map[string]logRow{}, statements: map[string]string{},
		portals: map[string]fakePortal{}, settings: map[string]string{}, cancel: make(chan struct{}, 1),
	}
	b.mu.Lock()
	b.nextPID++
	c.pid = b.nextPID
	b.conns[c.pid] = c
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.conns, c.pid)
		b.mu.Unlock()
	}()
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"})
	be.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: []byte{1, 2, 3, 4}})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if be.Flush() != nil {
		return
	}
	for c.step() == nil {
	}
}

// step handles one message of the session under test.
func (c *fakeConn) step() error {
	m, err := c.be.Receive()
	if err != nil {
		return err
	}
	if _, sync := m.(*pgproto3.Sync); c.skip && !sync {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		err = c.run(m.String, nil, true)
		if err == io.EOF {
			return err
		}
		c.endStatement()
	case *pgproto3.Parse:
		if _, ok := c.statements[m.Name]; ok && m.Name != "" {
			c.fail("42P05", fmt.Sprintf("prepared statement %q already exists", m.Name))
			return nil
		}
		if strings.HasPrefix(m.Query, "SYNTAX") {
			c.fail("42601", "syntax error")
			return nil
		}
		c.statements[m.Name] = m.Query
		c.be.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := c.statements[m.PreparedStatement]
		if !ok {
			c.fail("26000", fmt.Sprintf("prepared statement %q does not exist", m.PreparedStatement))
			return nil
		}
		p := fakePortal{sql: sql}
		for _, v := range m.Parameters {
			p.parameters = append(p.parameters, append([]byte(nil), v...))
		}
		c.portals[m.DestinationPortal] = p
		c.be.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			sql, ok := c.statements[m.Name]
			if !ok {
				c.fail("26000", fmt.Sprintf("prepared statement %q does not exist", m.Name))
				return nil
			}
			c.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: textOIDs(strings.Count(sql, "$"))})
			c.describe(sql)
			return nil
		}
		c.describe(c.portals[m.Name].sql)
	case *pgproto3.Execute:
		p := c.portals[m.Portal]
		if err := c.run(p.sql, p.parameters, false); err == io.EOF {
			return err
		} else if err != nil {
			c.skip = true
		}
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.statements, m.Name)
		}
		c.be.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return c.be.Flush()
	case *pgproto3.FunctionCall:
		c.be.Send(&pgproto3.FunctionCallResponse{Result: []byte("result")})
		c.endStatement()
	case *pgproto3.Sync:
		c.skip = false
		c.endStatement()
	case *pgproto3.Terminate:
		return io.EOF
	}
	return nil
}

func textOIDs(n int) []uint32 {
	oids := make([]uint32, n)
	for i := range oids {
		oids[i] = 25
	}
	return oids
}

func returnsRows(sql string) bool {
	return strings.HasPrefix(sql, "SELECT") || strings.HasPrefix(sql, "SHOW")
}

var oneColumn = &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
	{Name: []byte("value"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1},
}}

func (c *fakeConn) describe(sql string) {
	if returnsRows(sql) {
		c.be.Send(oneColumn)
		return
	}
	c.be.Send(&pgproto3.NoData{})
}

// endStatement ends an implicit transaction and sends ReadyForQuery.
func (c *fakeConn) endStatement() {
	if !c.inBlock {
		c.commit(c.status != 'E')
	}
	status := byte('I')
	if c.inBlock {
		status = 'T'
		if c.status == 'E' {
			status = 'E'
		}
	} else {
		c.status = 'I'
	}
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	_ = c.be.Flush()
}

func (c *fakeConn) commit(ok bool) {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if ok {
		c.b.committed = append(c.b.committed, c.pending...)
		for k, v := range c.pendingLog {
			c.b.requestLog[k] = v
		}
	}
	c.pending = nil
	clear(c.pendingLog)
}

func (c *fakeConn) fail(code, message string) {
	c.status = 'E'
	c.skip = true
	c.be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
	// A server sends errors at once, because it ignores a Flush after them.
	_ = c.be.Flush()
}

func (c *fakeConn) nextFault(sql string) fault {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.b.seen = append(c.b.seen, fmt.Sprintf("%d: %s", c.pid, sql))
	list := c.b.faults[sql]
	if len(list) == 0 {
		return noFault
	}
	c.b.faults[sql] = list[1:]
	return list[0]
}

// run runs one statement, or applies the fault that is next for it. It returns io.EOF
// to close the connection.
func (c *fakeConn) run(sql string, parameters [][]byte, simple bool) error {
	body, _ := splitComment(sql)
	body = strings.TrimSpace(body)
	f := c.nextFault(body)
	if f == dropBefore {
		return io.EOF
	}
	if f == endSession {
		c.be.Send(&pgproto3.ErrorResponse{
			Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: codeAdminShutdown, Message: "terminating connection",
		})
		_ = c.be.Flush()
		return io.EOF
	}
	if c.status == 'E' && body != "ROLLBACK" && body != "COMMIT" {
		c.fail("25P02", "current transaction is aborted")
		c.skip = c.skip && !simple
		return fmt.Errorf("failed")
	}
	err := c.runStatement(body, parameters, simple)
	if f == dropAfter {
		if !c.inBlock {
			c.commit(c.status != 'E')
		}
		return io.EOF
	}
	if simple {
		c.skip = false
	}
	return err
}

func (c *fakeConn) commandComplete(tag string) {
	c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (c *fakeConn) dataRow(v []byte) { c.be.Send(&pgproto3.DataRow{Values: [][]byte{v}}) }

func (c *fakeConn) runStatement(sql string, parameters [][]byte, simple bool) error {
	if simple && returnsRows(sql) {
		c.be.Send(oneColumn)
	}
	word, rest, _ := strings.Cut(sql, " ")
	switch {
	case sql == "":
		c.be.Send(&pgproto3.EmptyQueryResponse{})
	case word == "BEGIN":
		c.inBlock = true
		c.commandComplete("BEGIN")
	case word == "COMMIT" || word == "ROLLBACK":
		ok := word == "COMMIT" && c.status != 'E'
		c.commit(ok)
		c.inBlock = false
		c.status = 'I'
		if ok {
			c.commandComplete("COMMIT")
		} else {
			c.commandComplete("ROLLBACK")
		}
	case sql == "DISCARD ALL":
		clear(c.settings)
		clear(c.statements)
		c.commandComplete("DISCARD ALL")
	case word == "SET":
		name, value, _ := strings.Cut(rest, " = ")
		c.settings[name] = value
		if name == "TimeZone" {
			c.be.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
		}
		c.commandComplete("SET")
	case word == "SHOW":
		c.dataRow([]byte(c.settings[rest]))
		c.commandComplete("SELECT 1")
	case word == "RESET":
		delete(c.settings, rest)
		c.commandComplete("RESET")
	case sql == SetParameterSQL:
		name, value := string(parameters[0]), string(parameters[1])
		if value == "invalid" {
			c.fail("22023", "invalid value for parameter")
			return fmt.Errorf("failed")
		}
		c.settings[name] = value
		c.be.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
		c.dataRow(parameters[1])
		c.commandComplete("SELECT 1")
	case sql == InsertKeySQL:
		return c.insertKey(string(parameters[0]), string(parameters[1]))
	case sql == RecordAnswerSQL:
		row := c.pendingLog[string(parameters[0])]
		row.answer = parameters[1]
		c.pendingLog[string(parameters[0])] = row
		c.commandComplete("UPDATE 1")
	case sql == ReadAnswerSQL:
		c.b.mu.Lock()
		row, ok := c.b.requestLog[string(parameters[0])]
		c.b.mu.Unlock()
		if ok {
			c.be.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(row.fingerprint), row.answer}})
		}
		c.commandComplete("SELECT 1")
	case word == "INSERT":
		c.pending = append(c.pending, sql)
		c.commandComplete("INSERT 0 1")
	case sql == "SELECT pid":
		c.dataRow([]byte(strconv.Itoa(int(c.pid))))
		c.commandComplete("SELECT 1")
	case strings.HasPrefix(sql, "SELECT rows "):
		return c.rows(strings.TrimPrefix(sql, "SELECT rows "))
	case sql == "SELECT wait":
		c.b.waiting <- struct{}{}
		select {
		case <-c.cancel:
			c.fail("57014", "canceling statement due to user request")
			return fmt.Errorf("cancelled")
		case <-c.b.gate:
		case <-c.b.stop:
			return io.EOF
		}
		c.dataRow([]byte("waited"))
		c.commandComplete("SELECT 1")
	case word == "SELECT":
		if len(parameters) > 0 {
			c.dataRow(parameters[0])
		} else {
			c.dataRow([]byte(rest))
		}
		c.commandComplete("SELECT 1")
	case word == "FAIL":
		c.fail(rest, "scripted failure")
		return fmt.Errorf("failed")
	case word == "COPY":
		return c.copyIn()
	default:
		c.commandComplete(sql)
	}
	return nil
}

func (c *fakeConn) insertKey(key, fingerprint string) error {
	if key == "locked" {
		// Another open transaction has inserted the row.
		select {
		case <-c.b.gate:
		case <-c.b.stop:
			return io.EOF
		}
	}
	c.b.mu.Lock()
	_, taken := c.b.requestLog[key]
	c.b.mu.Unlock()
	if taken {
		c.fail("23505", "duplicate key value violates unique constraint")
		return fmt.Errorf("conflict")
	}
	c.pendingLog[key] = logRow{fingerprint: fingerprint}
	c.commandComplete("INSERT 0 1")
	return nil
}

// rows sends rows as given by arguments, "<count> <bytes per row>", and flushes them
// in groups of 64.
func (c *fakeConn) rows(arguments string) error {
	var n, size int
	if _, err := fmt.Sscanf(arguments, "%d %d", &n, &size); err != nil {
		return err
	}
	value := []byte(strings.Repeat("x", size))
	for i := range n {
		c.dataRow(value)
		if i%64 == 63 {
			if err := c.be.Flush(); err != nil {
				return io.EOF
			}
		}
	}
	c.commandComplete("SELECT " + strconv.Itoa(n))
	return nil
}

func (c *fakeConn) copyIn() error {
	c.be.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0}})
	if err := c.be.Flush(); err != nil {
		return io.EOF
	}
	n := 0
	for {
		m, err := c.be.Receive()
		if err != nil {
			return io.EOF
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			n += len(m.Data)
		case *pgproto3.CopyDone:
			c.pending = append(c.pending, fmt.Sprintf("COPY %d bytes", n))
			c.commandComplete("COPY 1")
			return nil
		case *pgproto3.CopyFail:
			c.fail("57014", "COPY from stdin failed")
			return fmt.Errorf("failed")
		}
	}
}

// fakeRouter assigns transactions to backends in turn and pools connections.
type fakeRouter struct {
	t        testing.TB
	backends []string
	// forwarded is set if the connections lead to an owner host.
	forwarded bool
	options   upstream.Options

	mu          sync.Mutex
	nextBackend int
	idle        map[string][]*upstream.Conn
	requests    []route.Request
	releases    []bool
	// finish, if not nil, returns the result of the nth Finish, from 0.
	finish   func(n int) (string, error)
	finishes int
	// begin, if not nil, returns the error of the nth Begin, from 0.
	begin  func(n int) error
	begins int
	// queue, if not nil, receives a value for each request, which then waits for
	// the end of its context.
	queue     chan struct{}
	mayRepeat bool
	// discardLog is set by benchmarks, which do not need the lists of requests and
	// releases.
	discardLog bool
}

func (r *fakeRouter) Begin(ctx context.Context, q route.Request) (route.Tx, error) {
	r.mu.Lock()
	if !r.discardLog {
		r.requests = append(r.requests, q)
	}
	n := r.begins
	r.begins++
	begin, queue := r.begin, r.queue
	r.mu.Unlock()
	if queue != nil {
		queue <- struct{}{}
		<-ctx.Done()
		return nil, &route.NotRunError{Reason: "no connection in time", Err: ctx.Err()}
	}
	if begin != nil {
		if err := begin(n); err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	address := r.backends[r.nextBackend%len(r.backends)]
	r.nextBackend++
	var conn *upstream.Conn
	if list := r.idle[address]; len(list) > 0 {
		conn = list[len(list)-1]
		r.idle[address] = list[:len(list)-1]
	}
	r.mu.Unlock()
	if conn == nil {
		var err error
		o := r.options
		o.Address, o.User, o.Database, o.Host, o.Incarnation = address, "gypsumgap", q.Database, "h1", "1"
		if conn, err = upstream.Dial(ctx, o); err != nil {
			return nil, &route.NotRunError{Reason: "no connection", Err: err}
		}
	}
	return &fakeTx{r: r, conn: conn, address: address}, nil
}

func (r *fakeRouter) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.idle {
		for _, c := range list {
			c.Close()
		}
	}
	r.idle = nil
}

func (r *fakeRouter) released() []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]bool(nil), r.releases...)
}

func (r *fakeRouter) begun() []route.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]route.Request(nil), r.requests...)
}

type fakeTx struct {
	r       *fakeRouter
	conn    *upstream.Conn
	address string
}

func (x *fakeTx) Conn() route.Conn { return x.conn }
func (x *fakeTx) Forwarded() bool  { return x.r.forwarded }
func (x *fakeTx) MayRetry() bool   { return x.r.mayRepeat }

func (x *fakeTx) Finish(context.Context) (string, error) {
	x.r.mu.Lock()
	n := x.r.finishes
	x.r.finishes++
	finish := x.r.finish
	x.r.mu.Unlock()
	if finish == nil {
		return "", nil
	}
	return finish(n)
}

func (x *fakeTx) Release(clean bool) {
	x.r.mu.Lock()
	defer x.r.mu.Unlock()
	if !x.r.discardLog {
		x.r.releases = append(x.r.releases, clean)
	}
	if !clean || x.r.idle == nil {
		x.conn.Close()
		return
	}
	x.r.idle[x.address] = append(x.r.idle[x.address], x.conn)
}

func newFakeRouter(t testing.TB, n *pipeNetwork, backends ...*fakeBackend) *fakeRouter {
	r := &fakeRouter{t: t, idle: map[string][]*upstream.Conn{}}
	r.options.DialContext = n.dial
	for _, b := range backends {
		r.backends = append(r.backends, b.address())
	}
	return r
}

// startServer runs a server until the test ends, and returns it with its address.
func startServer(t testing.TB, n *pipeNetwork, o Options) (*Server, string) {
	if o.Log == nil {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		o.Log = quiet
	}
	ln := n.listen(t)
	s := NewServer(o)
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_ = s.Shutdown(ctx)
		<-done
		if r, ok := o.Router.(*fakeRouter); ok {
			r.close()
		}
	})
	return s, ln.Addr().String()
}

// connect opens a caller's connection with pgx.
func connect(t testing.TB, n *pipeNetwork, address string, parameters string) *pgx.Conn {
	t.Helper()
	c, err := tryConnect(n, address, parameters)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func tryConnect(n *pipeNetwork, address, parameters string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig("postgres://mechanic:secret@" + address + "/werkplaats-1-a?sslmode=disable" + parameters)
	if err != nil {
		return nil, err
	}
	config.DialFunc = n.dial
	return pgx.ConnectConfig(context.Background(), config)
}

// sqlState returns the SQLSTATE of an error, empty for nil.
func sqlState(t testing.TB, err error) string {
	t.Helper()
	if err == nil {
		return ""
	}
	var pe *pgconn.PgError
	if !errors.As(err, &pe) {
		t.Fatalf("error without SQLSTATE: %v", err)
	}
	return pe.Code
}

func wantState(t testing.TB, err error, code string) {
	t.Helper()
	if got := sqlState(t, err); got != code {
		t.Fatalf("got %v, want SQLSTATE %s", err, code)
	}
}

func mustExec(t testing.TB, c *pgx.Conn, sql string, arguments ...any) string {
	t.Helper()
	tag, err := c.Exec(context.Background(), sql, arguments...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return tag.String()
}

func queryString(t testing.TB, c *pgx.Conn, sql string, arguments ...any) string {
	t.Helper()
	var v string
	if err := c.QueryRow(context.Background(), sql, arguments...).Scan(&v); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return v
}
