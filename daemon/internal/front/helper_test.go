package front

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// nopRecorder discards all records.
type nopRecorder struct{}

func (*nopRecorder) Statement(Outcome)                                   {}
func (*nopRecorder) SessionRefused(string, uint64, statement.Code)       {}
func (*nopRecorder) StatementCut(string, string, statement.Code)         {}
func (*nopRecorder) ConnectionOpened(string)                             {}
func (*nopRecorder) PrimaryChanged(string, string, group.Term)           {}
func (*nopRecorder) SessionChangeRefused(string, string, statement.Code) {}

// testEnv consists of one service, the group of a host and a server for
// callers.
type testEnv struct {
	t       *testing.T
	service *statementtest.Service
	group   *backend.Group
	server  *Server
	config  atomic.Pointer[catalog.Configuration]
	// catalogFrozen stops the host from learning changes of the registrations.
	catalogFrozen atomic.Bool
	// ownerGroups are those of other hosts that run statements of this one.
	ownerGroups atomic.Pointer[[]*backend.Group]
	stop        context.CancelFunc
	callers     []*caller
}

// The databases of the test environment, one for each consistency level.
const (
	primaryDatabase   = "db-primary"
	boundedDatabase   = "db-bounded"
	ownWritesDatabase = "db-own"
)

const (
	testStaleness = 1500 * time.Millisecond
	testTimeout   = time.Second
)

var serviceOptions = statementtest.Options{
	ReplicationLag: 20 * time.Millisecond, StatementTime: 5 * time.Millisecond, DialTime: 10 * time.Millisecond, PromotionDelay: 300 * time.Millisecond,
}

// newTestEnv creates a test environment. It must be called within a synctest
// bubble, and the environment must be closed.
func newTestEnv(t *testing.T, o statementtest.Options) *testEnv {
	env := &testEnv{t: t, service: statementtest.New("service", o, "s1", "s2", "s3")}
	env.config.Store(&catalog.Configuration{Version: 1, TransactionIdleTimeout: 3 * time.Second, Routes: map[string]*catalog.Route{
		primaryDatabase:   route(primaryDatabase, catalog.Primary),
		boundedDatabase:   route(boundedDatabase, catalog.BoundedStaleness),
		ownWritesDatabase: route(ownWritesDatabase, catalog.ReadYourWrites),
	}})
	env.group = backend.NewGroup("service", backend.Options{
		Backends: statementtest.Backends{env.service}, Recorder: &nopRecorder{}, Now: time.Now,
		Zone: "a", RegionOf: map[string]string{"a": "r"},
	})
	env.group.SetService(catalog.Service{Name: "service", ConnectionLimit: 8}, 1)
	env.group.SetServers(env.service.Catalog())
	env.server = NewServer(Options{Catalog: env, Recorder: &nopRecorder{}, Now: time.Now})
	ctx, cancel := context.WithCancel(context.Background())
	env.stop = cancel
	go env.runController(ctx)
	return env
}

func route(database string, c catalog.Consistency) *catalog.Route {
	return &catalog.Route{
		Name: database, Database: database, Service: "service", Consistency: c,
		MaxStaleness: testStaleness, Timeout: testTimeout, LatencyTarget: testTimeout,
	}
}

// unreliableOwner is another host that runs statements. It is away at times, and
// may lose the answer to a batch.
type unreliableOwner struct {
	name  string
	group *backend.Group

	mu  sync.Mutex
	rng *rand.Rand
}

func (o *unreliableOwner) Name() string { return o.name }

func (o *unreliableOwner) Execute(ctx context.Context, _, server string, b backend.Batch) (backend.BatchResult, error) {
	o.mu.Lock()
	fault := o.rng.IntN(100)
	o.mu.Unlock()
	switch {
	case fault == 0:
		return backend.BatchResult{}, backend.ErrNotSent
	case fault == 1 && b.Handle == "":
		return backend.BatchResult{Unavailable: true}, nil
	}
	result := o.group.Execute(ctx, server, b)
	if fault == 2 {
		return backend.BatchResult{}, context.DeadlineExceeded
	}
	return result, nil
}

// addOwners makes two other hosts run the statements of this one.
func (env *testEnv) addOwners(rng *rand.Rand) {
	var owners []backend.Owner
	var groups []*backend.Group
	for _, name := range []string{"o1", "o2"} {
		g := backend.NewGroup("service", backend.Options{
			Backends: statementtest.Backends{env.service}, Recorder: &nopRecorder{}, Now: time.Now,
			Zone: "a", RegionOf: map[string]string{"a": "r"},
		})
		g.SetService(catalog.Service{Name: "service", ConnectionLimit: 8}, 2)
		g.SetServers(env.service.Catalog())
		groups = append(groups, g)
		owners = append(owners, &unreliableOwner{name: name, group: g, rng: rand.New(rand.NewPCG(rng.Uint64(), 0))})
	}
	env.ownerGroups.Store(&groups)
	env.group.SetTransactionIdleTimeout(3 * time.Second)
	env.group.SetOwners(owners)
}

// otherGroups returns the groups of the hosts that run statements of this one.
func (env *testEnv) otherGroups() []*backend.Group {
	if groups := env.ownerGroups.Load(); groups != nil {
		return *groups
	}
	return nil
}

// runController does the work of a host's controller.
func (env *testEnv) runController(ctx context.Context) {
	for ctx.Err() == nil {
		if !env.catalogFrozen.Load() {
			env.group.SetServers(env.service.Catalog())
			for _, g := range env.otherGroups() {
				g.SetServers(env.service.Catalog())
			}
		}
		env.group.ProbeIfDue(false)
		time.Sleep(100 * time.Millisecond)
	}
}

// close stops the environment and waits for its goroutines.
func (env *testEnv) close() {
	env.stop()
	for _, c := range env.callers {
		_ = c.Close()
	}
	synctest.Wait()
	env.group.Close()
	for _, g := range env.otherGroups() {
		g.Close()
	}
	time.Sleep(10 * time.Second)
	env.server.running.Wait()
}

func (env *testEnv) Configuration() *catalog.Configuration { return env.config.Load() }

func (env *testEnv) Route(database string) (*catalog.Route, *backend.Group) {
	r := env.config.Load().Routes[database]
	if r == nil {
		return nil, nil
	}
	return r, env.group
}

// promote promotes a server and waits until it is the primary.
func (env *testEnv) promote(id string, token uint64) {
	env.t.Helper()
	if err := env.service.Promote(context.Background(), objects.Promotion{Service: "service", Server: id, Holder: "test", Token: token}); err != nil {
		env.t.Fatalf("promote server %s: %v", id, err)
	}
	time.Sleep(serviceOptions.PromotionDelay + time.Millisecond)
}

// caller is the caller's side of a session. It also implements
// statement.CallerConn for the server's side.
type caller struct {
	env      *testEnv
	database string
	in       chan statement.Statement
	out      chan statement.Answer
	closed   chan struct{}
	refused  statement.Code
	nextID   int
	name     string
	// unread is true while a statement of the caller waits in the socket.
	unread atomic.Bool
	// readTime is the time from the reading of a statement to the return of Next.
	readTime time.Duration
	// interrupted receives a value with each Interrupt.
	interrupted chan struct{}
	// ended is closed when the server has ended the session.
	ended chan struct{}
}

func (env *testEnv) connect(name, database string) *caller {
	c := &caller{env: env, name: name, database: database, in: make(chan statement.Statement), out: make(chan statement.Answer, 1), closed: make(chan struct{}), ended: make(chan struct{}), interrupted: make(chan struct{}, 1)}
	env.callers = append(env.callers, c)
	env.server.running.Add(1)
	go func() {
		defer env.server.running.Done()
		defer close(c.ended)
		env.server.serve(c)
	}()
	synctest.Wait()
	return c
}

func (c *caller) Start(time.Time) (string, error) { return c.database, nil }
func (c *caller) Accept() error                   { return nil }

func (c *caller) Refuse(code statement.Code, _ string) error {
	c.refused = code
	return c.Close()
}

func (c *caller) Next() (statement.Statement, error) {
	for {
		select {
		case st := <-c.in:
			c.unread.Store(false)
			time.Sleep(c.readTime)
			return st, nil
		case <-c.interrupted:
			if !c.unread.Load() {
				return statement.Statement{}, statement.ErrInterrupted
			}
		case <-c.closed:
			return statement.Statement{}, io.EOF
		}
	}
}

func (c *caller) Interrupt() {
	select {
	case c.interrupted <- struct{}{}:
	default:
	}
}

// Answer fails once the connection is closed, as that of a real caller does.
func (c *caller) Answer(a statement.Answer) error {
	if c.isClosed() {
		return net.ErrClosed
	}
	c.out <- a
	return nil
}

func (c *caller) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

// isClosed reports whether the session has ended.
func (c *caller) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// refusal waits until the session has ended and returns the code that it was
// refused with.
func (c *caller) refusal() statement.Code {
	<-c.closed
	return c.refused
}

// do sends a statement and waits for its answer.
func (c *caller) do(st statement.Statement) statement.Answer {
	c.nextID++
	if st.ID == "" {
		st.ID = c.name + "-" + string(rune('0'+c.nextID/10)) + string(rune('0'+c.nextID%10))
	}
	select {
	case c.in <- st:
	case <-c.closed:
		return statement.Answer{Code: statement.Failed, Detail: "session is closed"}
	}
	select {
	case a := <-c.out:
		return a
	case <-c.ended:
	}
	select {
	case a := <-c.out:
		return a
	default:
		return statement.Answer{Code: statement.Failed, Detail: "session ended without an answer"}
	}
}

func read(item string) statement.Statement {
	return statement.Statement{Kind: statement.Read, Text: "READ " + item}
}

func write(item, data string) statement.Statement {
	return statement.Statement{Kind: statement.Write, Text: "WRITE " + item + " " + data}
}

func set(name, value string) statement.Statement {
	return statement.Statement{Kind: statement.Set, Name: name, Value: value}
}

func prepare(name, shape string, writes bool) statement.Statement {
	return statement.Statement{Kind: statement.Prepare, Name: name, Value: shape, Writes: writes}
}

func execute(name, arguments string) statement.Statement {
	return statement.Statement{Kind: statement.Execute, Name: name, Arguments: arguments}
}

func ofKind(kind statement.Kind) statement.Statement { return statement.Statement{Kind: kind} }

// want sends a statement and fails the test unless the answer has the code.
func (c *caller) want(code statement.Code, st statement.Statement) statement.Answer {
	c.env.t.Helper()
	a := c.do(st)
	if a.Code != code {
		c.env.t.Fatalf("%s: %+v: got %s (%s), want %s", c.name, st, a.Code, a.Detail, code)
	}
	return a
}

// wantRows sends a statement and fails the test unless the answer has the rows.
func (c *caller) wantRows(st statement.Statement, rows ...string) {
	c.env.t.Helper()
	a := c.want(statement.OK, st)
	if len(a.Rows) != len(rows) {
		c.env.t.Fatalf("%s: %+v: got rows %q, want %q", c.name, st, a.Rows, rows)
	}
	for i := range rows {
		if a.Rows[i] != rows[i] {
			c.env.t.Fatalf("%s: %+v: got rows %q, want %q", c.name, st, a.Rows, rows)
		}
	}
}

func promotion(id string, token uint64) objects.Promotion {
	return objects.Promotion{Service: "service", Server: id, Holder: "test", Token: token}
}
