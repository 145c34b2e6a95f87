// Package upstream implements connections to backend servers and to the forward
// listeners of owner hosts. Both speak version 3 of the PostgreSQL protocol.
//
// A Conn is used by one transaction at a time. It tracks the state of the
// server session: the transaction status of the last ReadyForQuery, the prepared
// statements (a bounded least-recently-used set of server-side names) and the
// key for cancel requests. Received messages are valid until the next Receive;
// buffers are reused, so that memory does not grow with the size of a response.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

const (
	defaultAnswerTimeout  = 10 * time.Minute
	defaultWriteTimeout   = 30 * time.Second
	defaultDialTimeout    = 10 * time.Second
	defaultStatementLimit = 256
	writeChunkBytes       = 64 << 10
	cancelTimeout         = 5 * time.Second

	// StatusIdle is the status of ReadyForQuery outside a transaction block.
	StatusIdle = 'I'
	// StatusInTransaction is the status of ReadyForQuery in a transaction block.
	StatusInTransaction = 'T'
	// StatusFailed is the status of ReadyForQuery in a failed transaction block.
	StatusFailed = 'E'
)

// ErrUnreachable is wrapped by the errors of Dial if no connection could be
// made, in which case the peer has executed nothing.
var ErrUnreachable = errors.New("peer is unreachable")

// ServerError is an ErrorResponse of the peer.
type ServerError struct {
	// Severity is the severity as the peer sends it, such as ERROR or FATAL.
	Severity string
	// Code is the SQLSTATE.
	Code    string
	Message string
}

// Error returns the message and the SQLSTATE.
func (e *ServerError) Error() string {
	return fmt.Sprintf("%s: %s (SQLSTATE %s)", e.Severity, e.Message, e.Code)
}

// NewServerError copies the fields of an ErrorResponse, whose buffers the
// connection reuses.
func NewServerError(m *pgproto3.ErrorResponse) *ServerError {
	return &ServerError{Severity: m.Severity, Code: m.Code, Message: m.Message}
}

// Options configures a connection.
type Options struct {
	// Address is the peer's host:port.
	Address string
	// LocalIP is the source address; nil lets the operating system choose it.
	LocalIP net.IP
	// DialContext opens the network connection; nil means a net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// User is the user name that the connection logs in with.
	User string
	// Database is the name of the database that the connection logs in to.
	Database string
	// Password is used for SCRAM-SHA-256; empty if the peer requires no password
	// from this address.
	Password string
	// Parameters are the run-time parameters to set at login.
	Parameters map[string]string
	// Host is the first part of the application_name after its prefix. The
	// connections of a dead host are recognised by that name.
	Host string
	// Incarnation is the last part of the application_name.
	Incarnation string
	// StatementLimit is the maximum number of prepared statements; 0 means 256.
	StatementLimit int
	// AnswerTimeout is the longest wait for more bytes of a response; 0 means 10
	// minutes.
	AnswerTimeout time.Duration
	// WriteTimeout is the longest duration of one write; 0 means 30 seconds.
	WriteTimeout time.Duration
}

// ApplicationName returns the application_name of a host's connections.
func ApplicationName(host, incarnation string) string {
	return "gypsumgap/" + host + "/" + incarnation
}

// Conn is a connection to a backend server or to an owner host. Only Close and
// Cancel may be called concurrently with the other methods.
type Conn struct {
	nc             net.Conn
	peeker         *peeker
	frontend       *pgproto3.Frontend
	address        string
	dial           dialFunc
	writeTimeout   time.Duration
	answerTimeout  time.Duration
	defaultTimeout time.Duration
	encodeBuf      []byte

	status     byte
	pid        uint32
	secret     []byte
	parameters map[string]string
	statements *statementSet
	unnamed    string
	settings   map[string]string

	// readSince is when the current read began, in nanoseconds; 0 for no read.
	readSince atomic.Int64

	closeOnce sync.Once
	closeErr  error
	closed    atomic.Bool
}

var _ route.Conn = (*Conn)(nil)

// Dial connects and logs in. It fails with an error that wraps ErrUnreachable if
// no connection could be made, or with *ServerError if the peer refused it.
func Dial(ctx context.Context, o Options) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultDialTimeout)
	defer cancel()
	dial := o.DialContext
	if dial == nil {
		dial = dialer(o.LocalIP)
	}
	nc, err := connect(ctx, dial, o.Address)
	if err != nil {
		return nil, err
	}
	c := newConn(nc, o)
	c.dial = dial
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	err = c.login(o)
	stopped := stop()
	if err == nil && !stopped {
		err = ctx.Err()
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("log in to %s: %w", o.Address, err)
	}
	return c, nil
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// keepAlive closes a connection 11 s after its peer or network path is lost,
// also while a long statement runs.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

func dialer(localIP net.IP) dialFunc {
	d := &net.Dialer{KeepAliveConfig: keepAlive}
	if localIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: localIP}
	}
	return d.DialContext
}

func connect(ctx context.Context, dial dialFunc, address string) (net.Conn, error) {
	nc, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return nc, nil
}

func newConn(nc net.Conn, o Options) *Conn {
	c := &Conn{
		nc:            nc,
		peeker:        newPeeker(nc),
		address:       o.Address,
		writeTimeout:  orDefault(o.WriteTimeout, defaultWriteTimeout),
		answerTimeout: orDefault(o.AnswerTimeout, defaultAnswerTimeout),
		parameters:    map[string]string{},
		settings:      map[string]string{},
	}
	c.defaultTimeout = c.answerTimeout
	limit := o.StatementLimit
	if limit <= 0 {
		limit = defaultStatementLimit
	}
	c.statements = newStatementSet(limit)
	c.frontend = pgproto3.NewFrontend((*deadlineReader)(c), nil)
	return c
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// deadlineReader sets a deadline for each read of the connection.
type deadlineReader Conn

func (r *deadlineReader) Read(p []byte) (int, error) {
	now := time.Now()
	if err := r.nc.SetReadDeadline(now.Add(r.answerTimeout)); err != nil {
		return 0, err
	}
	r.readSince.Store(now.UnixNano())
	defer r.readSince.Store(0)
	return r.nc.Read(p)
}

// WaitingSince returns the time since which the connection has been waiting for
// bytes of a response; ok is false if it is not waiting, for example because the
// caller is slow to read the response.
func (c *Conn) WaitingSince() (since time.Time, ok bool) {
	at := c.readSince.Load()
	if at == 0 {
		return time.Time{}, false
	}
	return time.Unix(0, at), true
}

// Write sends encoded messages and returns the number of bytes passed to the
// network; 0 with an error means that the peer has received none of them. The
// write timeout applies to each chunk of 64 KiB.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writeChunkBytes)]
		if err := c.nc.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.nc.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Receive returns the next message, which is valid until the next call.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	m, err := c.frontend.Receive()
	if err != nil {
		return nil, err
	}
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		c.status = m.TxStatus
	case *pgproto3.BackendKeyData:
		c.pid = m.ProcessID
		c.secret = append([]byte(nil), m.SecretKey...)
	}
	return m, nil
}

// TxStatus returns the transaction status of the last ReadyForQuery.
func (c *Conn) TxStatus() byte { return c.status }

// PID returns the process ID that the peer reported for cancel requests.
func (c *Conn) PID() uint32 { return c.pid }

// Parameter returns a run-time parameter that the peer reported during login.
func (c *Conn) Parameter(name string) (string, bool) {
	v, ok := c.parameters[name]
	return v, ok
}

// HasStatement reports whether the peer holds the named prepared statement, and
// marks it as the most recently used.
func (c *Conn) HasStatement(name string) bool { return c.statements.touch(name) }

// StatementCount returns the number of prepared statements that the peer holds.
func (c *Conn) StatementCount() int { return c.statements.order.Len() }

// AddStatement records that the peer is told to prepare the named statement. It
// returns the name of the evicted statement, which the caller must close on the
// peer; empty if none was evicted.
func (c *Conn) AddStatement(name string) (evicted string) { return c.statements.add(name) }

// RemoveStatement records that the peer does not hold the named prepared statement.
func (c *Conn) RemoveStatement(name string) { c.statements.remove(name) }

// RestoreStatement records that the peer still holds an evicted statement, because it
// did not execute the message that closes it.
func (c *Conn) RestoreStatement(name string) { c.statements.restore(name) }

// ClearStatements records that the peer has dropped every prepared statement.
func (c *Conn) ClearStatements() {
	c.statements.clear()
	c.unnamed = ""
}

// UnnamedStatement returns the Name of the statement that the peer holds as the
// unnamed prepared statement; empty for none.
func (c *Conn) UnnamedStatement() string { return c.unnamed }

// SetUnnamedStatement records the peer's unnamed prepared statement.
func (c *Conn) SetUnnamedStatement(name string) { c.unnamed = name }

// Settings returns the run-time parameters set on the connection since its login
// or last Reset. The map is not a copy: callers record changes in it.
func (c *Conn) Settings() map[string]string { return c.settings }

// SetAnswerTimeout sets the longest wait for more bytes of a response; 0
// restores the value of the options.
func (c *Conn) SetAnswerTimeout(d time.Duration) {
	c.answerTimeout = orDefault(d, c.defaultTimeout)
}

// Close closes the connection without waiting for the peer.
func (c *Conn) Close() error {
	c.closed.Store(true)
	c.closeOnce.Do(func() { c.closeErr = c.nc.Close() })
	return c.closeErr
}

// Closed reports whether Close was called.
func (c *Conn) Closed() bool { return c.closed.Load() }

// Ping sends an empty query and waits for the response.
func (c *Conn) Ping(ctx context.Context) error { return c.execSimple(ctx, "") }

// Reset discards all state of the server session, including prepared statements.
// It fails with *ServerError if the peer refuses.
func (c *Conn) Reset(ctx context.Context) error {
	c.ClearStatements()
	clear(c.settings)
	return c.execSimple(ctx, "DISCARD ALL")
}

// execSimple runs a query and discards its rows. It closes the connection if ctx
// ends first.
func (c *Conn) execSimple(ctx context.Context, sql string) error {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.unnamed = ""
	var err error
	c.encodeBuf, err = (&pgproto3.Query{String: sql}).Encode(c.encodeBuf[:0])
	if err != nil {
		return err
	}
	if _, err = c.Write(c.encodeBuf); err != nil {
		return err
	}
	return c.receiveUntilReady()
}

func (c *Conn) receiveUntilReady() error {
	var failure error
	for {
		m, err := c.Receive()
		if err != nil {
			return errors.Join(failure, err)
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			failure = NewServerError(m)
		case *pgproto3.ReadyForQuery:
			return failure
		}
	}
}

// Cancel asks the peer, on a separate connection, to cancel the statement that
// is running on c.
func (c *Conn) Cancel(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	nc, err := connect(ctx, c.dial, c.address)
	if err != nil {
		return err
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(cancelTimeout)); err != nil {
		return err
	}
	buf, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := nc.Write(buf); err != nil {
		return err
	}
	// The peer closes the connection after it has processed the request.
	_, _ = nc.Read(make([]byte, 1))
	return nil
}
