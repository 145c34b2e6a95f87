package session

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

const (
	defaultStartupTimeout    = 10 * time.Second
	defaultIdleTimeout       = 12 * time.Hour
	defaultIdleInTransaction = time.Minute
	defaultCallerTimeout     = 30 * time.Second
	defaultRequestTimeout    = 30 * time.Second
	defaultFinishTimeout     = 30 * time.Second
	defaultResetTimeout      = 5 * time.Second
	defaultMaxUnitBytes      = 64 << 20
	defaultRetryDelay        = 10 * time.Millisecond
	maxRetryDelay            = 500 * time.Millisecond
	maxAcceptDelay           = time.Second
	// cancelSecretBytes is the length of the secret in protocol version 3.0.
	cancelSecretBytes    = 4
	defaultServerVersion = "16.0 (gypsumgap)"
)

// VerifierStore looks up the password verifiers of callers.
type VerifierStore interface {
	// Verifier returns the SCRAM-SHA-256 verifier of a user of the database, in
	// the form in which PostgreSQL stores it. It fails with ErrUnknownDatabase
	// or ErrUnknownUser if there is none.
	Verifier(database, user string) (string, error)
}

// Errors of VerifierStore.Verifier.
var (
	// ErrUnknownDatabase reports that no such database is configured.
	ErrUnknownDatabase = errors.New("database does not exist")
	// ErrUnknownUser reports that the database has no such user.
	ErrUnknownUser = errors.New("user does not exist")
)

// ErrServerClosed is returned by Serve after Shutdown.
var ErrServerClosed = errors.New("session server is shut down")

// Options configure a Server. For zero durations and sizes the default in
// parentheses applies.
type Options struct {
	// Router provides the connections for transactions.
	Router route.Router
	// Verifiers is nil if connections need no password, which is intended for
	// the listener for other hosts.
	Verifiers VerifierStore
	// TLS is nil if SSLRequest is declined.
	TLS *tls.Config
	// AcceptForwards is set for the listener for other hosts, the only one that
	// accepts the forward setting.
	AcceptForwards bool
	// Parameters are reported to callers at startup in addition to the usual
	// ones, which they override.
	Parameters map[string]string
	// ClassTimeout returns the time allowed for a request of a class. If it is
	// nil or returns 0, RequestTimeout applies.
	ClassTimeout func(database, class string) time.Duration
	// StartupTimeout bounds each wait in the start-up phase (10 seconds).
	StartupTimeout time.Duration
	// IdleTimeout bounds the wait for the next transaction (12 hours).
	IdleTimeout time.Duration
	// IdleInTransaction bounds the wait for the next message while a
	// connection is held (1 minute).
	IdleInTransaction time.Duration
	// CallerTimeout bounds the wait for the rest of a message, and for a caller
	// that does not read its answer (30 seconds).
	CallerTimeout time.Duration
	// RequestTimeout bounds the wait for a connection and the retries of a
	// request (30 seconds).
	RequestTimeout time.Duration
	// FinishTimeout bounds the call of Tx.Finish (30 seconds).
	FinishTimeout time.Duration
	// ResetTimeout bounds the reset of a connection (5 seconds).
	ResetTimeout time.Duration
	// MaxUnitBytes bounds the messages between two Syncs (64 MiB).
	MaxUnitBytes int
	// Log is the standard logger if nil.
	Log logrus.FieldLogger
}

func (o Options) withDefaults() Options {
	setDefaultDuration(&o.StartupTimeout, defaultStartupTimeout)
	setDefaultDuration(&o.IdleTimeout, defaultIdleTimeout)
	setDefaultDuration(&o.IdleInTransaction, defaultIdleInTransaction)
	setDefaultDuration(&o.CallerTimeout, defaultCallerTimeout)
	setDefaultDuration(&o.RequestTimeout, defaultRequestTimeout)
	setDefaultDuration(&o.FinishTimeout, defaultFinishTimeout)
	setDefaultDuration(&o.ResetTimeout, defaultResetTimeout)
	if o.MaxUnitBytes <= 0 {
		o.MaxUnitBytes = defaultMaxUnitBytes
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	return o
}

func setDefaultDuration(d *time.Duration, fallback time.Duration) {
	if *d <= 0 {
		*d = fallback
	}
}

// Server serves caller connections.
type Server struct {
	options Options

	// stopping is set once Shutdown has been called. It mirrors draining for
	// readers that do not hold mu.
	stopping atomic.Bool

	mu        sync.Mutex
	draining  bool
	listeners map[net.Listener]struct{}
	sessions  map[uint32]*session
	nextPID   uint32
	wg        sync.WaitGroup
	// drainStarted is closed once Shutdown has been called.
	drainStarted chan struct{}
}

// NewServer returns a server that has no listener yet.
func NewServer(o Options) *Server {
	return &Server{
		options:      o.withDefaults(),
		listeners:    map[net.Listener]struct{}{},
		sessions:     map[uint32]*session{},
		drainStarted: make(chan struct{}),
	}
}

// Serve accepts connections until Shutdown, after which it returns
// ErrServerClosed. It closes the listener.
func (s *Server) Serve(ln net.Listener) error {
	defer ln.Close()
	if !s.addListener(ln) {
		return ErrServerClosed
	}
	delay := time.Duration(0)
	for {
		nc, err := ln.Accept()
		if s.isDraining() {
			if err == nil {
				nc.Close()
			}
			return ErrServerClosed
		}
		if err != nil {
			var temporary interface{ Temporary() bool }
			if !errors.As(err, &temporary) || !temporary.Temporary() {
				return err
			}
			// Accept fails temporarily while no file descriptor is free.
			delay = min(max(2*delay, time.Millisecond), maxAcceptDelay)
			s.options.Log.WithError(err).Warn("accept_failed")
			s.pause(delay)
			continue
		}
		delay = 0
		s.startSession(nc)
	}
}

// pause waits for d or until Shutdown is called.
func (s *Server) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.drainStarted:
	}
}

// addListener registers a listener. It reports false once Shutdown has been called.
func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.listeners[ln] = struct{}{}
	return true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// startSession registers a session under a new process id and runs it.
func (s *Server) startSession(nc net.Conn) {
	se := newSession(s, nc)
	s.mu.Lock()
	if s.draining {
		s.mu.Unlock()
		nc.Close()
		return
	}
	for {
		s.nextPID++
		if _, taken := s.sessions[s.nextPID]; !taken && s.nextPID != 0 {
			break
		}
	}
	se.pid = s.nextPID
	s.sessions[se.pid] = se
	s.wg.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.wg.Done()
		defer s.remove(se)
		se.serve()
	}()
}

func (s *Server) remove(se *session) {
	s.mu.Lock()
	delete(s.sessions, se.pid)
	s.mu.Unlock()
}

// Sessions returns the number of open caller connections.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// cancel forwards a cancel request to the connection that the session with this
// process id and secret uses now. A request with a wrong secret is ignored.
func (s *Server) cancel(pid uint32, secret []byte) {
	s.mu.Lock()
	se := s.sessions[pid]
	s.mu.Unlock()
	if se == nil || !se.secretMatches(secret) {
		return
	}
	if err := se.cancelCurrent(); err != nil {
		s.options.Log.WithError(err).WithField("pid", pid).Warn("cancel_failed")
	}
}

// Shutdown stops accepting connections, ends idle sessions and waits until running
// transactions have finished. When ctx ends it closes the remaining sessions and
// returns the error of the context.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, se := range s.beginDrain() {
		se.interruptWait()
	}
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	for _, se := range s.allSessions() {
		se.abort()
	}
	<-done
	return ctx.Err()
}

// beginDrain closes the listeners and returns the open sessions.
func (s *Server) beginDrain() []*session {
	s.mu.Lock()
	if !s.draining {
		s.draining = true
		s.stopping.Store(true)
		close(s.drainStarted)
	}
	for ln := range s.listeners {
		ln.Close()
	}
	s.mu.Unlock()
	return s.allSessions()
}

func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.sessions))
	for _, se := range s.sessions {
		list = append(list, se)
	}
	return list
}

// newSecret returns a random secret for cancel requests.
func newSecret() [cancelSecretBytes]byte {
	var b [cancelSecretBytes]byte
	if _, err := rand.Read(b[:]); err != nil {
		binary.BigEndian.PutUint32(b[:], uint32(time.Now().UnixNano()))
	}
	return b
}
