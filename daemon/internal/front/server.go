// Package front serves callers that send single statements: it keeps each
// caller's session and transaction, finds a backend server for each statement
// and answers what it can itself.
//
// A session is one connection of a caller. Its values and prepared statements
// are kept here and applied to a backend connection when one is used. A
// transaction takes its backend connection with its first statement and keeps
// it to its end; single statements use one only for their exchange.
//
// A refusal promises that nothing of the caller's attempt is kept. It is given
// only if no statement that could commit was sent.
package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// defaultStartTimeout bounds the wait for the first message of a caller where
// the configuration sets none.
const defaultStartTimeout = 5 * time.Second

// Catalog finds routes and services.
type Catalog interface {
	// Route returns the route for a database name, nil if there is none, and the
	// group of its service.
	Route(database string) (*catalog.Route, *backend.Group)
	// Configuration returns the configuration in force, nil before the first one.
	Configuration() *catalog.Configuration
}

// Recorder counts statements.
type Recorder interface {
	Statement(o Outcome)
	// SessionRefused counts a caller that was turned away at its start.
	SessionRefused(database string, version uint64, code statement.Code)
}

// Outcome describes an answered statement.
type Outcome struct {
	ID            string
	Route         *catalog.Route
	ConfigVersion uint64
	Code          statement.Code
	Detail        string
	// Server is the backend server that answered; empty if none did.
	Server string
	// Replica tells that the server was no primary.
	Replica  bool
	Read     bool
	Took     time.Duration
	Attempts int
	// Health is what the host knew of the primary when it answered; it is set for
	// statements that did not succeed or were slow.
	Health backend.Health
}

// Notable reports whether the statement did not succeed, or took longer than
// the objective of its route.
func (o Outcome) FailedOrSlow() bool {
	return o.Code != statement.OK || o.Route.LatencyTarget > 0 && o.Took > o.Route.LatencyTarget
}

// Options configure a Server.
type Options struct {
	Catalog  Catalog
	Recorder Recorder
	// Wrap returns the caller's end of a connection.
	Wrap func(net.Conn) statement.CallerConn
	// Now must also count while the host is suspended.
	Now func() time.Time
}

// Server serves the sessions of callers.
type Server struct {
	options  Options
	draining atomic.Bool

	mu       sync.Mutex
	sessions map[*session]bool
	running  sync.WaitGroup
}

// NewServer returns a server without sessions.
func NewServer(options Options) *Server {
	return &Server{options: options, sessions: map[*session]bool{}}
}

// Serve accepts callers until the listener is closed.
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

// acceptPause follows an accept that failed, for example for lack of descriptors.
const acceptRetryPause = 50 * time.Millisecond

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
	if !s.awaitConfiguration() {
		s.options.Recorder.SessionRefused(database, 0, statement.Busy)
		_ = conn.Refuse(statement.Busy, "host does not know the configuration yet")
		return
	}
	if route, _ := s.options.Catalog.Route(database); route == nil {
		s.options.Recorder.SessionRefused(database, s.configVersion(), statement.NoDatabase)
		_ = conn.Refuse(statement.NoDatabase, "no route for this database")
		return
	}
	ss := newSession(s, conn, database)
	s.mu.Lock()
	s.sessions[ss] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.sessions, ss)
	}()
	if conn.Accept() == nil {
		ss.run()
	}
}

// version returns the version of the configuration in force, 0 before the first.
func (s *Server) configVersion() uint64 {
	if c := s.options.Catalog.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// The wait of callers for the first configuration of a host that has just
// started. Without it nothing can be said about a route.
const (
	configurationTimeout      = 1500 * time.Millisecond
	configurationPollInterval = 10 * time.Millisecond
)

// awaitConfiguration reports whether a configuration is known, after waiting
// for one if need be.
func (s *Server) awaitConfiguration() bool {
	for until := time.Now().Add(configurationTimeout); s.options.Catalog.Configuration() == nil; {
		if time.Now().After(until) {
			return false
		}
		time.Sleep(configurationPollInterval)
	}
	return true
}

const (
	// drainPoll separates looks at the sessions during a drain, which ends when
	// there were none for drainQuiet.
	drainPollInterval = 20 * time.Millisecond
	drainSettleTime   = 200 * time.Millisecond
)

// Drain closes sessions as soon as they rest outside a transaction. After
// transactionsUntil open transactions are rolled back, and when ctx ends the
// sessions that are left are cut. It returns the number of sessions cut.
func (s *Server) Drain(ctx context.Context, rollbackAfter time.Time) int {
	s.draining.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	lastOpen := time.Now()
	for {
		now := time.Now()
		if s.closeIdle(now.After(rollbackAfter)) > 0 {
			lastOpen = now
		}
		// Connections on which no session was started hold nothing up.
		if now.Sub(lastOpen) >= drainSettleTime {
			return 0
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return s.closeAll()
		}
	}
}

func (s *Server) closeIdle(rollBack bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		ss.closeIfIdle(rollBack)
	}
	return len(s.sessions)
}

func (s *Server) closeAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		_ = ss.conn.Close()
	}
	return len(s.sessions)
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
