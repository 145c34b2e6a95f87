// Package front serves callers that send single statements. It keeps the
// session and transaction of each caller, selects a backend server for each
// statement and answers statements that need none.
//
// A session is one connection of a caller. Its session values and prepared
// statements are kept here and applied to a backend connection before it is
// used. A transaction acquires its backend connection with its first statement
// and keeps it until it ends. A statement outside a transaction uses a backend
// connection only for one exchange.
//
// A refusal guarantees that no effect of the caller's attempt persists. A
// statement is refused only if nothing that could commit was sent.
package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// defaultStartTimeout bounds the wait for the first message of a caller if the
// configuration sets no limit.
const defaultStartTimeout = 5 * time.Second

// Catalog provides the routes and the groups of their services.
type Catalog interface {
	// Route returns the route of a database name and the group of its service, or
	// nil if there is none.
	Route(database string) (*catalog.Route, *backend.Group)
	// Configuration returns the configuration in force, or nil if none was
	// received yet.
	Configuration() *catalog.Configuration
}

// Recorder records the outcomes of statements and refused sessions.
type Recorder interface {
	// Statement records the outcome of an answered statement.
	Statement(o Outcome)
	// SessionRefused records a session that was refused at its start.
	SessionRefused(database string, version uint64, code statement.Code)
	// StatementCut records a statement that a drain ended, with the code of the answer
	// to its caller.
	StatementCut(id, database string, code statement.Code)
}

// Outcome describes an answered statement.
type Outcome struct {
	ID    string
	Route *catalog.Route
	// ConfigVersion is the version of the configuration in force when the statement
	// was answered; 0 if there was none.
	ConfigVersion uint64
	Code          statement.Code
	// Detail explains a Code other than OK.
	Detail string
	// Server is the ID of the last backend server that the statement was sent to;
	// empty if there was none.
	Server string
	// Replica is true if that server was not the known primary.
	Replica bool
	// Read is true for a read, and for the commit of a transaction that wrote
	// nothing.
	Read bool
	// Took is the time from the start of the statement on this host to its answer.
	Took time.Duration
	// Attempts is the number of attempts on backend servers.
	Attempts int
	// Health is the state of the primary when the statement was answered. It is
	// set only if FailedOrSlow is true.
	Health backend.Health
}

// FailedOrSlow reports whether the statement did not succeed or exceeded the
// latency target of its route.
func (o Outcome) FailedOrSlow() bool {
	return o.Code != statement.OK || o.Route.LatencyTarget > 0 && o.Took > o.Route.LatencyTarget
}

// Options are the dependencies of a Server.
type Options struct {
	Catalog  Catalog
	Recorder Recorder
	// Wrap returns the protocol side of a caller's connection.
	Wrap func(net.Conn) statement.CallerConn
	// Now returns the current time. Its clock must also advance while the host is
	// suspended.
	Now func() time.Time
}

// Server serves the sessions of callers.
type Server struct {
	options Options
	// waitCtx ends the waits of statements for a backend server.
	waitCtx  context.Context
	endWaits context.CancelFunc

	mu       sync.Mutex
	sessions map[*session]bool
	// draining is true once Drain was called. No session begins afterwards.
	draining bool
	running  sync.WaitGroup
}

// NewServer returns a server without sessions.
func NewServer(options Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{options: options, waitCtx: ctx, endWaits: cancel, sessions: map[*session]bool{}}
}

// Serve accepts callers until the listener is closed. It fails with the error
// of accepting a connection.
func (s *Server) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			var temporary net.Error
			if errors.As(err, &temporary) {
				time.Sleep(acceptRetryPause)
				continue
			}
			return fmt.Errorf("accept callers: %w", err)
		}
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			s.serve(s.options.Wrap(c))
		}()
	}
}

// acceptRetryPause is the pause after a failed accept, for example when file
// descriptors are exhausted.
const acceptRetryPause = 50 * time.Millisecond

// serve runs the session of one caller.
func (s *Server) serve(conn statement.CallerConn) {
	defer conn.Close()
	timeout := defaultStartTimeout
	if c := s.options.Catalog.Configuration(); c != nil && c.StartupTimeout > 0 {
		timeout = c.StartupTimeout
	}
	database, err := conn.Start(time.Now().Add(timeout))
	if err != nil {
		return
	}
	ss, code, reason := s.begin(conn, database)
	if ss == nil {
		s.options.Recorder.SessionRefused(database, s.configVersion(), code)
		_ = conn.Refuse(code, reason)
		return
	}
	defer s.remove(ss)
	if conn.Accept() == nil {
		ss.run()
	}
}

// begin registers a new session. It returns nil and the refusal if the session can't be
// served.
func (s *Server) begin(conn statement.CallerConn, database string) (*session, statement.Code, string) {
	if !s.awaitConfiguration() {
		return nil, statement.Busy, "host does not know the configuration yet"
	}
	if route, _ := s.options.Catalog.Route(database); route == nil {
		return nil, statement.NoDatabase, "no route for this database"
	}
	ss := newSession(s, conn, database)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, statement.Busy, stoppingReason
	}
	s.sessions[ss] = true
	return ss, statement.OK, ""
}

func (s *Server) remove(ss *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ss)
}

// configVersion returns the version of the configuration in force, or 0 if
// there is none.
func (s *Server) configVersion() uint64 {
	if c := s.options.Catalog.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// Callers wait for the first configuration of a host that has just started,
// because the host knows no routes without it.
const (
	// configurationTimeout bounds the wait.
	configurationTimeout = 1500 * time.Millisecond
	// configurationPollInterval is the time between checks during the wait.
	configurationPollInterval = 10 * time.Millisecond
)

// awaitConfiguration waits for a configuration if there is none, and reports
// whether there is one. It does not wait during a drain.
func (s *Server) awaitConfiguration() bool {
	for until := time.Now().Add(configurationTimeout); s.options.Catalog.Configuration() == nil; {
		if time.Now().After(until) || s.isDraining() {
			return false
		}
		time.Sleep(configurationPollInterval)
	}
	return true
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
