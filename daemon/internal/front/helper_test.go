package front

import (
	"context"
	"io"
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

// quietRecorder counts nothing.
type quietRecorder struct{}

func (*quietRecorder) Statement(Outcome)                             {}
func (*quietRecorder) SessionRefused(string, uint64, statement.Code) {}
func (*quietRecorder) ConnectionOpened(string)                       {}
func (*quietRecorder) PrimaryChanged(string, string, group.Term)     {}

// world is one service, the group that a host sees, and a server of callers.
type world struct {
	t       *testing.T
	service *statementtest.Service
	group   *backend.Group
	server  *Server
	config  atomic.Pointer[catalog.Configuration]
	// blind keeps the host from learning of changes through the store.
	blind   atomic.Bool
	stop    context.CancelFunc
	callers []*caller
}

// Names of the routes of a world, one a consistency.
const (
	onPrimary = "db-primary"
	bounded   = "db-bounded"
	ownWrites = "db-own"
)

const (
	testStaleness = 1500 * time.Millisecond
	testTimeout   = time.Second
)

var serviceOptions = statementtest.Options{
	ReplicationLag: 20 * time.Millisecond, StatementTime: 5 * time.Millisecond, DialTime: 10 * time.Millisecond, PromotionDelay: 300 * time.Millisecond,
}

// newWorld must be called in a bubble; the returned world is stopped by end.
func newWorld(t *testing.T, o statementtest.Options) *world {
	w := &world{t: t, service: statementtest.New("service", o, "s1", "s2", "s3")}
	w.config.Store(&catalog.Configuration{Version: 1, TransactionIdleTimeout: 3 * time.Second, Routes: map[string]*catalog.Route{
		onPrimary: route(onPrimary, catalog.Primary),
		bounded:   route(bounded, catalog.BoundedStaleness),
		ownWrites: route(ownWrites, catalog.ReadYourWrites),
	}})
	w.group = backend.NewGroup("service", backend.Options{
		Backends: statementtest.Backends{w.service}, Recorder: &quietRecorder{}, Now: time.Now,
		Zone: "a", RegionOf: map[string]string{"a": "r"},
	})
	w.group.SetService(catalog.Service{Name: "service", ConnectionLimit: 8}, 1)
	w.group.SetServers(w.service.Catalog())
	w.server = NewServer(Options{Catalog: w, Recorder: &quietRecorder{}, Now: time.Now})
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	go w.tick(ctx)
	return w
}

func route(database string, c catalog.Consistency) *catalog.Route {
	return &catalog.Route{
		Name: database, Database: database, Service: "service", Consistency: c,
		MaxStaleness: testStaleness, Timeout: testTimeout, LatencyTarget: testTimeout,
	}
}

// tick does what the controller of a host does.
func (w *world) tick(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.blind.Load() {
			w.group.SetServers(w.service.Catalog())
		}
		w.group.ProbeIfDue(false)
		time.Sleep(100 * time.Millisecond)
	}
}

// end stops the world and waits for its goroutines.
func (w *world) end() {
	w.stop()
	for _, c := range w.callers {
		_ = c.Close()
	}
	synctest.Wait()
	w.group.Close()
	time.Sleep(10 * time.Second)
	w.server.running.Wait()
}

func (w *world) Configuration() *catalog.Configuration { return w.config.Load() }

func (w *world) Route(database string) (*catalog.Route, *backend.Group) {
	r := w.config.Load().Routes[database]
	if r == nil {
		return nil, nil
	}
	return r, w.group
}

// promote makes a server the primary and waits until it leads.
func (w *world) promote(id string, token uint64) {
	w.t.Helper()
	if err := w.service.Promote(context.Background(), objects.Promotion{Service: "service", Server: id, Holder: "test", Token: token}); err != nil {
		w.t.Fatalf("promote %s: %v", id, err)
	}
	time.Sleep(serviceOptions.PromotionDelay + time.Millisecond)
}

// caller is a caller's end of a session. It implements statement.CallerConn for
// the server's end.
type caller struct {
	w        *world
	database string
	in       chan statement.Statement
	out      chan statement.Answer
	closed   chan struct{}
	refused  statement.Code
	nextID   int
	name     string
}

func (w *world) connect(name, database string) *caller {
	c := &caller{w: w, name: name, database: database, in: make(chan statement.Statement), out: make(chan statement.Answer, 1), closed: make(chan struct{})}
	w.callers = append(w.callers, c)
	w.server.running.Add(1)
	go func() {
		defer w.server.running.Done()
		w.server.serve(c)
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
	select {
	case st := <-c.in:
		return st, nil
	case <-c.closed:
		return statement.Statement{}, io.EOF
	}
}

func (c *caller) Answer(a statement.Answer) error {
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

// refusal waits until the session has ended and returns the code of its refusal.
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
		return <-c.out
	case <-c.closed:
		return statement.Answer{Code: statement.Failed, Detail: "session is closed"}
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

func plain(kind statement.Kind) statement.Statement { return statement.Statement{Kind: kind} }

// want fails the test unless the answer has the code.
func (c *caller) want(code statement.Code, st statement.Statement) statement.Answer {
	c.w.t.Helper()
	a := c.do(st)
	if a.Code != code {
		c.w.t.Fatalf("%s: %+v: got %s (%s), want %s", c.name, st, a.Code, a.Detail, code)
	}
	return a
}

// rows fails the test unless the rows of the answer are the given ones.
func (c *caller) rows(st statement.Statement, rows ...string) {
	c.w.t.Helper()
	a := c.want(statement.OK, st)
	if len(a.Rows) != len(rows) {
		c.w.t.Fatalf("%s: %+v: got rows %q, want %q", c.name, st, a.Rows, rows)
	}
	for i := range rows {
		if a.Rows[i] != rows[i] {
			c.w.t.Fatalf("%s: %+v: got rows %q, want %q", c.name, st, a.Rows, rows)
		}
	}
}

func promotion(id string, token uint64) objects.Promotion {
	return objects.Promotion{Service: "service", Server: id, Holder: "test", Token: token}
}
