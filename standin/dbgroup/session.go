package dbgroup

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/standin/dbgroup/internal/sqlite"
	"github.com/gypsumgap/gypsumgap/standin/latency"
)

const (
	secretKeySize   = 4
	flushThreshold  = 64 << 10
	drainBufferSize = 4 << 10
	// terminationWriteTimeout bounds the writes of a session that is being terminated, in
	// case its client does not read.
	terminationWriteTimeout = time.Second
	serverVersion           = "17.0 (gypsumgap stand-in)"
)

// session is one connection. Its goroutine reads messages and runs statements;
// other goroutines only call kill, terminate, silence, cancelStatement,
// isExecuting and idleFor.
type session struct {
	slot   *Slot
	raw    net.Conn
	conn   net.Conn
	client netip.Addr
	delay  time.Duration
	be     *pgproto3.Backend
	pid    uint32
	secret []byte

	ctx      context.Context
	cancel   context.CancelFunc
	killed   atomic.Bool
	silenced atomic.Bool
	terminationReason     atomic.Pointer[sqlError]
	// running is set while bytes of the client are being worked on, and since
	// holds the time in nanoseconds since 1970 when it was last cleared.
	running   atomic.Bool
	idleSince     atomic.Int64
	cancelRequested atomic.Bool
	cancelCh  chan struct{}
	db        atomic.Pointer[sqlite.DB]
	// application is the application_name, set before the session is counted.
	application atomic.Pointer[string]

	// counted is guarded by the slot's mutex.
	counted bool

	isControl bool
	user      string
	settings  map[string]string
	codec     *codec
	cache     map[string][]*sqlite.Stmt
	cached    int
	prepared  map[string]*prepared
	portals   map[string]*portal
	tx        transaction
	skipUntilSync  bool
	unflushedBytes    int

	row    pgproto3.DataRow
	values [][]byte
	buffer []byte
}

func newSession(s *Slot, raw net.Conn, pid uint32) *session {
	ctx, cancel := context.WithCancel(context.Background())
	c := &session{
		slot: s, raw: raw, pid: pid, secret: make([]byte, secretKeySize),
		ctx: ctx, cancel: cancel,
		cancelCh: make(chan struct{}, 1),
		settings: map[string]string{},
		codec:    newCodec(),
		cache:    map[string][]*sqlite.Stmt{},
		prepared: map[string]*prepared{},
		portals:  map[string]*portal{},
	}
	_, _ = rand.Read(c.secret)
	c.client = raw.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	c.delay = s.oneWay(c.client)
	c.conn = latency.Delay(raw, c.delay)
	c.be = pgproto3.NewBackend(c, c)
	c.tx.status = statusIdle
	c.idleSince.Store(time.Now().UnixNano())
	return c
}

// Read reads bytes of the client, once no fault holds them back. It implements
// io.Reader for the protocol decoder, which calls it when it needs more bytes.
func (c *session) Read(p []byte) (int, error) {
	c.idleSince.Store(time.Now().UnixNano())
	c.running.Store(false)
	n, err := c.conn.Read(p)
	if !c.waitWhileBlocked() {
		return 0, net.ErrClosed
	}
	if c.silenced.Load() {
		return 0, c.drain()
	}
	c.running.Store(true)
	return n, err
}

// Write sends bytes to the client, once no fault holds them back.
func (c *session) Write(p []byte) (int, error) {
	if !c.waitWhileBlocked() {
		return 0, net.ErrClosed
	}
	if c.silenced.Load() {
		return len(p), nil
	}
	return c.conn.Write(p)
}

// waitWhileBlocked returns false if the session ends while it is blocked.
func (c *session) waitWhileBlocked() bool {
	for {
		faults := c.slot.network.Load()
		if !faults.blocksClient(c.client) {
			return true
		}
		select {
		case <-faults.changed:
		case <-c.ctx.Done():
			return false
		}
	}
}

// drain discards what a silent connection receives until it ends.
func (c *session) drain() error {
	chunk := make([]byte, drainBufferSize)
	for {
		if _, err := c.conn.Read(chunk); err != nil {
			return err
		}
	}
}

// kill ends the session without a word, as a crash does.
func (c *session) kill() {
	c.killed.Store(true)
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.cancel()
	c.interrupt()
	_ = c.raw.Close()
}

// terminate ends the session with a fatal error.
func (c *session) terminate(reason *sqlError) {
	if !c.terminationReason.CompareAndSwap(nil, reason) {
		return
	}
	c.cancel()
	c.interrupt()
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	_ = c.raw.SetWriteDeadline(time.Now().Add(terminationWriteTimeout))
}

func (c *session) silence() {
	c.silenced.Store(true)
}

func (c *session) interrupt() {
	if db := c.db.Load(); db != nil {
		db.Interrupt()
	}
}

// cancelStatement serves a cancel request; it has no effect on an idle session.
func (c *session) cancelStatement() {
	if !c.running.Load() {
		return
	}
	c.cancelRequested.Store(true)
	select {
	case c.cancelCh <- struct{}{}:
	default:
	}
	c.interrupt()
}

// isExecuting reports whether a statement is being worked on.
func (c *session) isExecuting() bool { return c.running.Load() }

// idleFor returns how long the session has waited for its client.
func (c *session) idleFor() time.Duration {
	since := c.idleSince.Load()
	if c.running.Load() {
		return 0
	}
	return time.Duration(time.Now().UnixNano() - since)
}

// run serves the connection until it ends.
func (c *session) run() {
	defer c.end()
	// The handshake of TCP takes a round trip before the first byte.
	c.pause(2 * c.delay)
	if !c.startUp() {
		return
	}
	for c.serveMessage() {
	}
	if reason := c.terminationReason.Load(); reason != nil && !c.killed.Load() {
		c.send(reason.response())
		_ = c.flush()
	}
}

func (c *session) end() {
	c.cancel()
	c.closePortals()
	c.rollback()
	c.closeDatabase()
	if c.killed.Load() {
		if delayed, ok := c.conn.(*latency.Conn); ok {
			_ = delayed.Abort()
		}
	}
	c.slot.removeSession(c)
	_ = c.conn.Close()
}

func (c *session) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// startUp serves the messages up to the first ReadyForQuery.
func (c *session) startUp() bool {
	for {
		msg, err := c.be.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			c.slot.cancelSession(msg.ProcessID, msg.SecretKey)
			return false
		case *pgproto3.StartupMessage:
			return c.completeStartUp(msg.Parameters)
		}
	}
}

func (s *Slot) cancelSession(pid uint32, secret []byte) {
	s.mu.Lock()
	target := s.sessions[pid]
	s.mu.Unlock()
	if target != nil && subtle.ConstantTimeCompare(target.secret, secret) == 1 {
		target.cancelStatement()
	}
}

func (c *session) completeStartUp(parameters map[string]string) bool {
	for name, value := range parameters {
		c.settings[name] = value
	}
	c.user = parameters["user"]
	c.setApplicationName(parameters["application_name"])
	c.isControl = c.user == ControlUser
	c.pause(c.slot.settings.Load().connectTime)
	if err := c.checkAdmission(parameters["database"]); err != nil {
		c.send(err.response())
		_ = c.flush()
		return false
	}
	c.send(&pgproto3.AuthenticationOk{})
	for _, status := range c.initialParameters() {
		c.send(&status)
	}
	c.send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	return c.sendReady()
}

func (c *session) setApplicationName(name string) { c.application.Store(&name) }

func (c *session) checkAdmission(database string) *sqlError {
	if c.isControl {
		return nil
	}
	if want := c.slot.group.opts.Name; want != "" && database != want {
		return fatal(codeUnknownDatabase, "database \""+database+"\" does not exist")
	}
	return c.slot.admitSession(c)
}

func (c *session) initialParameters() []pgproto3.ParameterStatus {
	return []pgproto3.ParameterStatus{
		{Name: "server_version", Value: serverVersion},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "application_name", Value: c.settings["application_name"]},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "IntervalStyle", Value: "postgres"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
	}
}

// send queues a message.
func (c *session) send(msg pgproto3.BackendMessage) { c.be.Send(msg) }

func (c *session) flush() error {
	c.unflushedBytes = 0
	return c.be.Flush()
}

// sendReady ends a query cycle. It returns false if the connection is broken.
func (c *session) sendReady() bool {
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.tx.status})
	c.cancelRequested.Store(false)
	select {
	case <-c.cancelCh:
	default:
	}
	// A client that has its answer must find the session idle.
	c.idleSince.Store(time.Now().UnixNano())
	c.running.Store(false)
	return c.flush() == nil
}

// serveMessage handles the next message and returns false at the end of the session.
func (c *session) serveMessage() bool {
	msg, err := c.be.Receive()
	if err != nil || c.ctx.Err() != nil {
		return false
	}
	c.running.Store(true)
	switch msg := msg.(type) {
	case *pgproto3.Query:
		c.simpleQuery(msg.String)
		return c.sendReady()
	case *pgproto3.Sync:
		return c.sync()
	case *pgproto3.Flush:
		return c.flush() == nil
	case *pgproto3.Terminate:
		return false
	}
	if c.skipUntilSync {
		return true
	}
	if err := c.handleExtended(msg); err != nil {
		c.reportError(err)
		c.skipUntilSync = true
	}
	return c.ctx.Err() == nil
}

// reportError reports an error and fails the transaction.
func (c *session) reportError(err error) {
	failure := toSQLError(err)
	c.send(failure.response())
	c.failTransaction()
}

// sync ends a pipeline of extended messages and its implicit transaction.
func (c *session) sync() bool {
	c.skipUntilSync = false
	if c.tx.status == statusIdle {
		if err := c.commit(); err != nil {
			c.reportError(err)
		}
		c.closePortals()
	}
	return c.sendReady()
}

// simpleQuery runs all statements of a query, in one implicit transaction
// unless they begin one.
func (c *session) simpleQuery(script string) {
	if c.isControl {
		if known, err := c.runControlStatement(script); known {
			if err != nil {
				c.reportError(err)
			}
			return
		}
	}
	c.closePortal("")
	for _, sql := range splitScript(script) {
		if err := c.simpleStatement(sql); err != nil {
			c.reportError(err)
			return
		}
	}
	if c.tx.status == statusIdle {
		if err := c.commit(); err != nil {
			c.reportError(err)
		}
	}
}

func (c *session) simpleStatement(sql string) error {
	p, err := c.prepare(sql, nil)
	if err != nil {
		return err
	}
	if len(p.params) > 0 {
		return failf(codeUndefinedParameter, "there is no parameter $1")
	}
	target := &portal{prepared: p, describe: true}
	defer c.releasePortal(target)
	_, err = c.execute(target, 0)
	return err
}
