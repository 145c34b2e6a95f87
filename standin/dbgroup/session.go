package dbgroup

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"maps"
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
	// terminationWriteTimeout bounds the writes of a session that is being
	// terminated, in case its client does not read.
	terminationWriteTimeout = time.Second
	serverVersion           = "17.0 (gypsumgap stand-in)"
)

// session serves one connection. Its own goroutine reads messages and runs
// statements; other goroutines may only call kill, terminate, silence,
// cancelStatement, isExecuting and idleFor.
type session struct {
	slot    *Slot
	raw     net.Conn
	conn    net.Conn
	client  netip.Addr
	delay   time.Duration
	backend *pgproto3.Backend
	pid     uint32
	secret  []byte

	ctx               context.Context
	cancel            context.CancelFunc
	killed            atomic.Bool
	silenced          atomic.Bool
	terminationReason atomic.Pointer[sqlError]
	// running is set while a message of the client is being processed.
	running atomic.Bool
	// idleSince is the Unix time in nanoseconds at which running was last cleared.
	idleSince atomic.Int64

	cancelRequested atomic.Bool
	cancelCh        chan struct{}
	db              atomic.Pointer[sqlite.DB]
	// application is the application_name. It is set before the session is counted.
	application atomic.Pointer[string]

	// counted reports whether the session counts against the connection limit.
	// The slot's mutex guards it.
	counted bool

	isControl bool
	user      string
	settings  map[string]string
	// startSettings holds the settings of the startup packet, to which a reset returns.
	startSettings    map[string]string
	codec            *codec
	statementCache   map[string][]*sqlite.Stmt
	cachedStatements int
	prepared         map[string]*prepared
	portals          map[string]*portal
	tx               transaction
	skipUntilSync    bool
	unflushedBytes   int

	row    pgproto3.DataRow
	values [][]byte
	buffer []byte
}

func newSession(s *Slot, raw net.Conn, pid uint32) *session {
	ctx, cancel := context.WithCancel(context.Background())
	c := &session{
		slot: s, raw: raw, pid: pid, secret: make([]byte, secretKeySize),
		ctx: ctx, cancel: cancel,
		cancelCh:       make(chan struct{}, 1),
		settings:       map[string]string{},
		codec:          newCodec(),
		statementCache: map[string][]*sqlite.Stmt{},
		prepared:       map[string]*prepared{},
		portals:        map[string]*portal{},
	}
	_, _ = rand.Read(c.secret)
	c.client = raw.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	c.delay = s.oneWay(c.client)
	c.conn = latency.Delay(raw, c.delay)
	c.backend = pgproto3.NewBackend(c, c)
	c.tx.status = statusIdle
	c.idleSince.Store(time.Now().UnixNano())
	return c
}

// Read reads bytes from the client and waits while a network fault blocks the
// client. The protocol decoder calls it when it needs more bytes, so the session
// is idle during the call.
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

// Write sends bytes to the client and waits while a network fault blocks the client.
func (c *session) Write(p []byte) (int, error) {
	if !c.waitWhileBlocked() {
		return 0, net.ErrClosed
	}
	if c.silenced.Load() {
		return len(p), nil
	}
	return c.conn.Write(p)
}

// waitWhileBlocked waits while a network fault blocks the client. It returns false
// if the session ends first.
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

// drain discards the bytes that a silenced connection receives until it ends.
func (c *session) drain() error {
	chunk := make([]byte, drainBufferSize)
	for {
		if _, err := c.conn.Read(chunk); err != nil {
			return err
		}
	}
}

// kill resets the connection without an error message, as a crash does.
func (c *session) kill() {
	c.killed.Store(true)
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.cancel()
	c.interrupt()
	_ = c.raw.Close()
}

// terminate ends the session and sends the fatal error to the client. The first
// reason is used if it is called more than once.
func (c *session) terminate(reason *sqlError) {
	if !c.terminationReason.CompareAndSwap(nil, reason) {
		return
	}
	c.cancel()
	c.interrupt()
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	_ = c.raw.SetWriteDeadline(time.Now().Add(terminationWriteTimeout))
}

// silence makes the session discard all further bytes in both directions.
func (c *session) silence() {
	c.silenced.Store(true)
}

// interrupt interrupts the statement that runs in the embedded database, if any.
func (c *session) interrupt() {
	if db := c.db.Load(); db != nil {
		db.Interrupt()
	}
}

// cancelStatement cancels the running statement; it has no effect on an idle session.
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

// isExecuting reports whether a message of the client is being processed.
func (c *session) isExecuting() bool { return c.running.Load() }

// idleFor returns how long the session has been waiting for its client; 0 if a
// message is being processed.
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
	// Models the round trip of the TCP handshake before the first byte.
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

// end rolls the open transaction back and frees the resources of the session.
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

// pause waits for the duration or the end of the session.
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

// startUp handles the messages up to the first ReadyForQuery. It returns false if
// the session ends without one.
func (c *session) startUp() bool {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
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

// cancelSession handles a cancel request. It is ignored unless the secret matches.
func (s *Slot) cancelSession(pid uint32, secret []byte) {
	s.mu.Lock()
	target := s.sessions[pid]
	s.mu.Unlock()
	if target != nil && subtle.ConstantTimeCompare(target.secret, secret) == 1 {
		target.cancelStatement()
	}
}

// completeStartUp admits the session and sends the responses up to ReadyForQuery.
func (c *session) completeStartUp(parameters map[string]string) bool {
	c.settings, c.startSettings = maps.Clone(parameters), parameters
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

// checkAdmission checks the database name and the connection limit, neither of
// which applies to control connections.
func (c *session) checkAdmission(database string) *sqlError {
	if c.isControl {
		return nil
	}
	if want := c.slot.group.opts.Name; want != "" && database != want {
		return fatal(codeUnknownDatabase, "database \""+database+"\" does not exist")
	}
	return c.slot.admitSession(c)
}

// initialParameters returns the parameters that are reported at the start of a session.
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

// send queues a message until the next flush.
func (c *session) send(msg pgproto3.BackendMessage) { c.backend.Send(msg) }

func (c *session) flush() error {
	c.unflushedBytes = 0
	return c.backend.Flush()
}

// sendReady sends ReadyForQuery and discards a cancel request that came too late.
// It returns false if the connection is broken.
func (c *session) sendReady() bool {
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.tx.status})
	c.cancelRequested.Store(false)
	select {
	case <-c.cancelCh:
	default:
	}
	// Mark the session idle before the flush, so that a client that has its
	// response finds it idle.
	c.idleSince.Store(time.Now().UnixNano())
	c.running.Store(false)
	return c.flush() == nil
}

// serveMessage handles the next message and returns false at the end of the session.
func (c *session) serveMessage() bool {
	msg, err := c.backend.Receive()
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

// reportError sends the error to the client and fails the transaction.
func (c *session) reportError(err error) {
	failure := toSQLError(err)
	c.send(failure.response())
	c.failTransaction()
}

// sync ends a pipeline of extended-protocol messages and its implicit transaction.
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

// simpleQuery runs all statements of a simple query, in one implicit transaction
// unless they begin an explicit one.
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
