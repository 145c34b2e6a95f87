package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// codeNotRun and codeUnknownOutcome are SQLSTATEs that a proxy returns.
	codeNotRun         = "YG001"
	codeUnknownOutcome = "08007"
	// codeHostStopped ends a session. A proxy sends it only between
	// transactions, so the request that it answers was not run. From a backend
	// server it leaves the outcome unknown.
	codeHostStopped = "57P01"

	tokenParameter = "gypsumgap.session_token"
	emptyToken     = "none"

	sessionApplication = "gypsumgap-load"

	// readWindow is the number of a session's latest writes that a read covers.
	readWindow = 50
	// reconnectPause is the time between connection attempts.
	reconnectPause = 50 * time.Millisecond
	// keyedRepeatOneIn sets the probability, one in this many, that a keyed write
	// reconnects to another proxy, or is repeated after its acknowledgement.
	keyedRepeatOneIn = 10
	// readShare is the fraction of reads among a session's operations.
	readShare = 0.5

	insertSQL = "INSERT INTO gypsumgap_load (write_id, session, seq) VALUES ($1, $2, $3)"
	ownSQL    = "SELECT seq FROM gypsumgap_load WHERE session = $1 AND seq >= $2"
	statusSQL = "SELECT count(*) FROM gypsumgap_load WHERE session = $1"
)

// caller is a simulated caller with one session. It is not safe for concurrent use.
type caller struct {
	opts   Options
	record *Record
	random *rand.Rand

	name       string
	statusPage bool
	useToken   bool

	conn    *pgx.Conn
	address string
	token   string
	seq     int
	// acked holds the sequence numbers of acknowledged writes, in ascending order;
	// those that left the read window are removed lazily.
	acked []int
}

func newCaller(opts Options, index int, record *Record) *caller {
	return &caller{
		opts: opts, record: record, random: newRandom(opts.Seed, index),
		name:       fmt.Sprintf("%s-%d", opts.Run, index),
		statusPage: index >= opts.Sessions,
		useToken:   index%2 == 0,
		token:      emptyToken,
	}
}

// run runs operations until ctx ends or the limit is reached. An operation in
// progress when ctx ends is completed, so that its outcome is known.
func (c *caller) run(ctx context.Context) {
	defer c.disconnect()
	for done := 0; ctx.Err() == nil && (c.opts.Operations == 0 || done < c.opts.Operations); done++ {
		if c.random.IntN(c.opts.ReconnectEvery) == 0 {
			c.disconnect()
		}
		if !c.ensureConnected(ctx) {
			return
		}
		c.runOperation(context.WithoutCancel(ctx))
		pause(ctx, c.opts.Pause)
	}
}

func (c *caller) runOperation(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, c.opts.Timeout)
	defer cancel()
	switch {
	case c.statusPage:
		c.readStatusPage(ctx)
	case c.seq > 0 && c.random.Float64() < readShare:
		c.readOwnWrites(ctx)
	default:
		c.write(ctx)
	}
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// ensureConnected connects until there is an open connection. It returns false if
// ctx ends first.
func (c *caller) ensureConnected(ctx context.Context) bool {
	for ctx.Err() == nil {
		if c.conn != nil && !c.conn.IsClosed() {
			return true
		}
		c.disconnect()
		if c.connect(ctx) == nil {
			c.record.updateCounts(func(n *Counts) { n.Connects++ })
			return true
		}
		if ctx.Err() == nil {
			c.record.updateCounts(func(n *Counts) { n.ConnectsFailed++ })
		}
		pause(ctx, reconnectPause)
	}
	return false
}

func (c *caller) connect(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, c.opts.Timeout)
	defer cancel()
	c.address = c.chooseAddress()
	config, err := c.config()
	if err != nil {
		return err
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

// chooseAddress returns a random healthy address, or any address if none is healthy.
func (c *caller) chooseAddress() string {
	first := c.random.IntN(len(c.opts.Addresses))
	for i := range c.opts.Addresses {
		address := c.opts.Addresses[(first+i)%len(c.opts.Addresses)]
		if c.opts.Healthy == nil || c.opts.Healthy(address) {
			return address
		}
	}
	return c.opts.Addresses[first]
}

func (c *caller) config() (*pgx.ConnConfig, error) {
	host, portText, err := net.SplitHostPort(c.address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, err
	}
	config, err := pgx.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.Host, config.Port = host, uint16(port)
	config.User, config.Password, config.Database = c.opts.User, c.opts.Password, c.opts.Database
	config.Fallbacks = nil
	config.RuntimeParams = map[string]string{"application_name": sessionApplication}
	if c.statusPage {
		config.RuntimeParams["application_name"] = StatusPageClass
	} else if c.useToken {
		config.RuntimeParams[tokenParameter] = c.token
	}
	return config, nil
}

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reconnectPause)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// write inserts a row in one of three ways and records the outcome: as a single
// statement, under a request key, or in an explicit transaction.
func (c *caller) write(ctx context.Context) {
	c.seq++
	w := Write{ID: fmt.Sprintf("%s-%d", c.name, c.seq)}
	switch kind := c.random.IntN(3); {
	case kind == 0:
		w.Transaction = true
	case kind == 1:
		w.Keyed = c.opts.Proxied
	}
	started := time.Now()
	var err error
	switch {
	case w.Transaction:
		w.Outcome, err = c.writeInTransaction(ctx, w.ID)
	case w.Keyed:
		w.Outcome, err = c.writeKeyed(ctx, w.ID)
	default:
		w.Outcome, err = c.insert(ctx, w.ID)
	}
	w.Done = time.Now()
	if err != nil {
		w.Err = err.Error()
	}
	if w.Outcome == Acknowledged {
		c.acked = append(c.acked, c.seq)
	}
	c.record.addWrite(w, w.Done.Sub(started))
	c.updateToken()
}

func (c *caller) insert(ctx context.Context, id string) (Outcome, error) {
	_, err := c.conn.Exec(ctx, insertSQL, id, c.name, c.seq)
	return c.outcomeOf(err), err
}

// writeKeyed runs a write under a request key and retries it, through any
// proxy, until it is acknowledged or ctx ends. Some writes are repeated once
// after their acknowledgement, like a request that a user submits twice. The
// outcome is unknown if that of any attempt was and none was acknowledged.
func (c *caller) writeKeyed(ctx context.Context, id string) (Outcome, error) {
	inDoubt := false
	for {
		outcome, err := c.attemptKeyed(ctx, id)
		switch {
		case outcome == Acknowledged && inDoubt:
			c.record.updateCounts(func(n *Counts) { n.KeyedSettled++ })
			return outcome, nil
		case outcome == Acknowledged:
			if c.random.IntN(keyedRepeatOneIn) == 0 {
				_, _ = c.attemptKeyed(ctx, id)
				c.record.updateCounts(func(n *Counts) { n.KeyedRepeats++ })
			}
			return outcome, nil
		case outcome == Unknown:
			inDoubt = true
		}
		pause(ctx, reconnectPause)
		if ctx.Err() != nil {
			if inDoubt {
				return Unknown, err
			}
			return outcome, err
		}
	}
}

// attemptKeyed runs the write once and reconnects first if the connection is
// lost. A failure before the write is sent means that the write was not run.
func (c *caller) attemptKeyed(ctx context.Context, id string) (Outcome, error) {
	if c.conn == nil || c.conn.IsClosed() || c.random.IntN(keyedRepeatOneIn) == 0 {
		c.disconnect()
		if err := c.connect(ctx); err != nil {
			return Refused, err
		}
	}
	if _, err := c.conn.Exec(ctx, "SET gypsumgap.request_key = '"+id+"'"); err != nil {
		return Refused, err
	}
	return c.insert(ctx, id)
}

// writeInTransaction inserts the row in an explicit transaction. A failure before
// COMMIT is sent yields Aborted, or Refused if the proxy refused the transaction.
func (c *caller) writeInTransaction(ctx context.Context, id string) (Outcome, error) {
	tx, err := c.conn.Begin(ctx)
	if err != nil {
		return c.outcomeBeforeCommit(err), err
	}
	if _, err := tx.Exec(ctx, insertSQL, id, c.name, c.seq); err != nil {
		_ = tx.Rollback(ctx)
		return c.outcomeBeforeCommit(err), err
	}
	err = tx.Commit(ctx)
	return c.outcomeOf(err), err
}

func (c *caller) outcomeBeforeCommit(err error) Outcome {
	if c.outcomeOf(err) == Refused {
		return Refused
	}
	return Aborted
}

// outcomeOf is like the function outcomeOf, but takes codeHostStopped from a proxy
// as a refusal.
func (c *caller) outcomeOf(err error) Outcome {
	var pgErr *pgconn.PgError
	if c.opts.Proxied && errors.As(err, &pgErr) && pgErr.Code == codeHostStopped {
		return Refused
	}
	return outcomeOf(err)
}

// outcomeOf derives the outcome of a statement from its error.
func outcomeOf(err error) Outcome {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return Acknowledged
	case errors.Is(err, pgx.ErrTxCommitRollback):
		return Aborted
	case errors.As(err, &pgErr):
		return outcomeOfServerError(pgErr)
	case pgconn.SafeToRetry(err):
		return Aborted
	default:
		return Unknown
	}
}

// outcomeOfServerError returns Unknown for a FATAL error, since the server may have sent
// it while the statement was in flight, and not in answer to it.
func outcomeOfServerError(pgErr *pgconn.PgError) Outcome {
	switch {
	case pgErr.Code == codeNotRun:
		return Refused
	case pgErr.Code == codeUnknownOutcome, pgErr.SeverityUnlocalized == "FATAL":
		return Unknown
	default:
		return Aborted
	}
}

// updateToken stores the session token that the proxy last reported.
func (c *caller) updateToken() {
	if c.conn == nil {
		return
	}
	if token := c.conn.PgConn().ParameterStatus(tokenParameter); token != "" {
		c.token = token
	}
}

// readOwnWrites reads the session's latest writes and records a stale read if an
// acknowledged one is missing.
func (c *caller) readOwnWrites(ctx context.Context) {
	first := max(1, c.seq-readWindow)
	started := time.Now()
	found, err := c.queryOwnWrites(ctx, first)
	if err != nil {
		c.recordReadFailure(err)
		return
	}
	c.record.addRead(false, time.Since(started))
	if missing := c.missingWrites(found, first); len(missing) > 0 {
		c.record.addStaleRead(StaleRead{
			Session: c.name, Token: c.useToken, Address: c.address, Missing: missing, Done: time.Now(),
		})
	}
}

// queryOwnWrites reads in one of three ways: in a read-only transaction, with a
// request class in a comment, or as a plain statement.
func (c *caller) queryOwnWrites(ctx context.Context, first int) ([]int, error) {
	switch c.random.IntN(3) {
	case 0:
		return c.readInTransaction(ctx, first)
	case 1:
		if c.opts.ReadClass != "" {
			return collectInts(c.conn.Query(ctx, fmt.Sprintf("/*class='%s'*/ %s", c.opts.ReadClass, ownSQL), c.name, first))
		}
	}
	return collectInts(c.conn.Query(ctx, ownSQL, c.name, first))
}

func collectInts(rows pgx.Rows, err error) ([]int, error) {
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(rows, pgx.RowTo[int])
}

func (c *caller) readInTransaction(ctx context.Context, first int) ([]int, error) {
	tx, err := c.conn.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	if err != nil {
		return nil, err
	}
	found, err := collectInts(tx.Query(ctx, ownSQL, c.name, first))
	if err != nil {
		_ = tx.Rollback(ctx)
		return nil, err
	}
	return found, tx.Commit(ctx)
}

// missingWrites returns the acknowledged sequence numbers, from first on, that are
// not in found.
func (c *caller) missingWrites(found []int, first int) []int {
	present := map[int]bool{}
	for _, seq := range found {
		present[seq] = true
	}
	for len(c.acked) > 0 && c.acked[0] < first {
		c.acked = c.acked[1:]
	}
	var missing []int
	for _, seq := range c.acked {
		if !present[seq] {
			missing = append(missing, seq)
		}
	}
	return missing
}

func (c *caller) readStatusPage(ctx context.Context) {
	session := fmt.Sprintf("%s-%d", c.opts.Run, c.random.IntN(c.opts.Sessions))
	started := time.Now()
	var n int
	if err := c.conn.QueryRow(ctx, statusSQL, session).Scan(&n); err != nil {
		c.recordReadFailure(err)
		return
	}
	c.record.addRead(true, time.Since(started))
}

func (c *caller) recordReadFailure(err error) {
	refused := outcomeOf(err) == Refused
	c.record.updateCounts(func(n *Counts) {
		if refused {
			n.ReadsRefused++
		} else {
			n.ReadsFailed++
		}
	})
	if c.opts.Logger != nil {
		c.opts.Logger.WithError(err).WithField("session", c.name).Warn("read_failed")
	}
}
