// Package pgcontrol implements group.Client over the PostgreSQL wire protocol.
//
// The client keeps one control connection per backend server, as the user
// gypsumgap_control, and uses it for one request at a time. Each request is a
// simple query; a command is answered with one status row. If a request fails
// without a complete answer, its connection is closed and the next request
// opens another. The client starts no goroutine that outlives a call.
package pgcontrol

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// User is the user name of control connections.
const User = "gypsumgap_control"

const defaultApplicationName = "gypsumgap control"

var (
	errClosed          = errors.New("control client is closed")
	errRedial          = errors.New("control connection must not dial more than once")
	errMalformedAnswer = errors.New("malformed answer")
)

// Options configures a Client. The zero value is usable.
type Options struct {
	// LocalIP is the local address of connections; with the zero value the system chooses it.
	LocalIP netip.Addr
	// Database is the database to connect to; empty for the one named after the user.
	Database string
	// ApplicationName is the application_name of connections; empty for a default.
	ApplicationName string
}

// Client is a group.Client. It is safe for concurrent use. Requests to the same
// backend server run one at a time; a waiting request fails when its context ends.
type Client struct {
	opts Options

	mu     sync.Mutex
	closed bool
	conns  map[string]*controlConn
}

var _ group.Client = (*Client)(nil)

// controlConn is the control connection to one address, which may be closed.
type controlConn struct {
	address string
	// token holds one element while the connection is not in use.
	token chan struct{}
	conn  *pgconn.PgConn
}

// New returns a client. It connects to a backend server at the first request.
func New(opts Options) *Client {
	if opts.ApplicationName == "" {
		opts.ApplicationName = defaultApplicationName
	}
	return &Client{opts: opts, conns: map[string]*controlConn{}}
}

// Close waits for the requests in progress and closes all connections. Later requests
// fail with group.ErrUnreachable.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	links := c.conns
	c.conns = map[string]*controlConn{}
	c.mu.Unlock()
	for _, l := range links {
		<-l.token
		l.discard()
		l.token <- struct{}{}
	}
}

// Status implements group.Client.
func (c *Client) Status(ctx context.Context, slot group.Slot) (group.Status, error) {
	return c.status(ctx, slot, "status", "SELECT * FROM gypsumgap_status()", true)
}

// Fence implements group.Client.
func (c *Client) Fence(ctx context.Context, slot group.Slot, t group.Term) (group.Status, error) {
	return c.status(ctx, slot, "fence", fmt.Sprintf("SELECT gypsumgap_fence(%d)", t), false)
}

// Promote implements group.Client.
func (c *Client) Promote(ctx context.Context, slot group.Slot, t group.Term) (group.Status, error) {
	return c.status(ctx, slot, "promote", fmt.Sprintf("SELECT gypsumgap_promote(%d)", t), false)
}

// Follow implements group.Client.
func (c *Client) Follow(ctx context.Context, slot group.Slot, t group.Term, primary string) (group.Status, error) {
	sql := fmt.Sprintf("SELECT gypsumgap_follow(%d, '%s')", t, strings.ReplaceAll(primary, "'", "''"))
	return c.status(ctx, slot, "follow", sql, false)
}

// IsRunning reports whether the backend process with this ID still executes a
// statement. It returns the same kinds of errors as the methods of group.Client.
func (c *Client) IsRunning(ctx context.Context, slot group.Slot, pid uint32) (bool, error) {
	rows, err := c.request(ctx, slot, "activity", fmt.Sprintf("SELECT gypsumgap_activity(%d)", pid), true)
	if err != nil {
		return false, err
	}
	row := singleRow(rows)
	return row.boolean(activityColumn), row.answerError(slot, "activity")
}

// Connection is a caller connection of a backend server.
type Connection struct {
	// PID is the ID of its backend process.
	PID uint32
	// Application is its application_name.
	Application string
}

// Connections lists the caller connections of a backend server, without control
// connections. It returns the same kinds of errors as the methods of group.Client.
func (c *Client) Connections(ctx context.Context, slot group.Slot) ([]Connection, error) {
	const operation = "connections"
	rows, err := c.request(ctx, slot, operation, "SELECT pid, application_name FROM pg_stat_activity", true)
	if err != nil {
		return nil, err
	}
	var connections []Connection
	for _, row := range rows {
		connections = append(connections, Connection{
			PID: uint32(row.number(pidColumn)), Application: row.text(applicationColumn),
		})
		if err := row.answerError(slot, operation); err != nil {
			return nil, err
		}
	}
	return connections, nil
}

func (c *Client) status(ctx context.Context, slot group.Slot, operation, sql string, idempotent bool) (group.Status, error) {
	rows, err := c.request(ctx, slot, operation, sql, idempotent)
	if err != nil {
		return group.Status{}, err
	}
	row := singleRow(rows)
	status := row.status()
	return status, row.answerError(slot, operation)
}

// request sends sql and returns the rows of its answer. If it fails on a reused
// connection, it is retried once: any request if nothing was executed, an
// idempotent one unless the backend server refused it.
func (c *Client) request(ctx context.Context, slot group.Slot, operation, sql string, idempotent bool) ([]*row, error) {
	l, err := c.controlConnFor(slot.Address)
	if err == nil {
		err = l.acquire(ctx)
	}
	if err != nil {
		return nil, wrapError(slot, operation, group.ErrUnreachable, err)
	}
	defer l.release()
	answer, reused, err := c.attempt(ctx, l, sql)
	shouldRetry := reused && ctx.Err() == nil && (idempotent && !errors.Is(err, group.ErrRefused) || errors.Is(err, group.ErrUnreachable))
	if err != nil && shouldRetry {
		answer, _, err = c.attempt(ctx, l, sql)
	}
	if err != nil {
		return nil, fmt.Errorf("%s of %s: %w", operation, slot.ID, err)
	}
	return answer, nil
}

func wrapError(slot group.Slot, operation string, kind, cause error) error {
	return fmt.Errorf("%s of %s: %w: %w", operation, slot.ID, kind, cause)
}

func (c *Client) controlConnFor(address string) (*controlConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errClosed
	}
	l, ok := c.conns[address]
	if !ok {
		l = &controlConn{address: address, token: make(chan struct{}, 1)}
		l.token <- struct{}{}
		c.conns[address] = l
	}
	return l, nil
}

func (l *controlConn) acquire(ctx context.Context) error {
	select {
	case <-l.token:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *controlConn) release() { l.token <- struct{}{} }

// attempt sends sql once. It reuses the open connection unless that is broken.
func (c *Client) attempt(ctx context.Context, l *controlConn, sql string) (answer []*row, reused bool, err error) {
	if l.conn != nil && (l.conn.IsClosed() || isConnBroken(l.conn.Conn())) {
		l.discard()
	}
	reused = l.conn != nil
	if !reused {
		if err := c.connect(ctx, l); err != nil {
			return nil, false, fmt.Errorf("%w: %w", group.ErrUnreachable, err)
		}
	}
	results, err := l.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, reused, l.classifyError(err)
	}
	answer, err = newRows(results)
	if err != nil {
		return nil, reused, fmt.Errorf("%w: %w", group.ErrNoAnswer, err)
	}
	return answer, reused, nil
}

// classifyError wraps the error of a failed query in one of the kinds of
// group.Client and closes the connection unless the backend server rejected the
// command.
func (l *controlConn) classifyError(err error) error {
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) && refusal.SeverityUnlocalized != "FATAL" && refusal.SeverityUnlocalized != "PANIC" {
		return fmt.Errorf("%w: %w", group.ErrRefused, err)
	}
	l.discard()
	if pgconn.SafeToRetry(err) {
		return fmt.Errorf("%w: %w", group.ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", group.ErrNoAnswer, err)
}

func (c *Client) connect(ctx context.Context, l *controlConn) error {
	config, err := c.connConfig(l.address)
	if err != nil {
		return err
	}
	dialer := c.newDialer()
	config.DialFunc = dialer.dial
	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		dialer.close()
		return err
	}
	l.conn = conn
	return nil
}

func (c *Client) connConfig(address string) (*pgconn.Config, error) {
	peer, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.Host = peer.Addr().String()
	config.Port = peer.Port()
	config.User = User
	config.Password = ""
	config.Database = c.opts.Database
	config.TLSConfig = nil
	config.Fallbacks = nil
	config.ConnectTimeout = 0
	config.ValidateConnect = nil
	config.RuntimeParams = map[string]string{"application_name": c.opts.ApplicationName}
	return config, nil
}

// dialer dials once. When a context ends during a query, pgconn would otherwise
// dial again in the background to send a cancel request, which outlives the
// call and serves no purpose for a control command.
type dialer struct {
	net.Dialer
	used atomic.Bool
	conn net.Conn
}

func (c *Client) newDialer() *dialer {
	d := &dialer{}
	if c.opts.LocalIP.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: c.opts.LocalIP.AsSlice()}
	}
	return d
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.used.Swap(true) {
		return nil, errRedial
	}
	conn, err := d.DialContext(ctx, network, address)
	d.conn = conn
	return conn, err
}

// close closes the socket that pgconn may still use after a failed connect.
func (d *dialer) close() {
	if d.conn != nil {
		_ = d.conn.Close()
	}
}

// discard closes the connection without waiting for the backend server. It
// returns after pgconn's cleanup, which ends as soon as the socket is closed.
func (l *controlConn) discard() {
	if l.conn == nil {
		return
	}
	_ = l.conn.Conn().Close()
	// This cannot block, since the socket is closed.
	_ = l.conn.Close(context.Background())
	<-l.conn.CleanupDone()
	l.conn = nil
}
