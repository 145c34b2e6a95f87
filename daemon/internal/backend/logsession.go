package backend

import (
	"context"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// LogSession is a connection to a backend server that is kept open between commands. A
// connection reaches one process for as long as it lasts, so replies over the same one
// are about the same log. It is safe for concurrent use; commands run one at a time.
type LogSession struct {
	group  *Group
	server catalog.Server

	// lock holds a value while a command runs, which owns the fields below.
	lock   chan struct{}
	conn   statement.Conn
	openAt time.Time
	closed bool
}

// LogReply is the reply to a command.
type LogReply struct {
	statement.ServerStatus
	// ConnectedAt is not later than the time at which the connection was opened over
	// which the reply came, in the clock of the group.
	ConnectedAt time.Time
}

// NewLogSession returns a session with a server, which need not be registered any more.
// It connects with the first command.
func (g *Group) NewLogSession(server catalog.Server) *LogSession {
	return &LogSession{group: g, server: server, lock: make(chan struct{}, 1)}
}

// Server returns the server as it was registered when the session was created.
func (s *LogSession) Server() catalog.Server { return s.server }

// Send sends a command and returns the reply of the server. It opens a connection if
// there is none, or if the one that was open has failed. The deadline of ctx, which must
// have one, bounds the exchange. It returns a *statement.RefusedError if the server
// refuses the connection.
func (s *LogSession) Send(ctx context.Context, command statement.Statement) (LogReply, error) {
	select {
	case s.lock <- struct{}{}:
	case <-ctx.Done():
		return LogReply{}, ctx.Err()
	}
	defer func() { <-s.lock }()
	deadline, _ := ctx.Deadline()
	if s.conn != nil {
		// An open connection may have gone silent. Half of the time is left for a new one.
		now := time.Now()
		if reply, err := s.exchange(now.Add(deadline.Sub(now)/2), command); err == nil {
			return reply, nil
		}
	}
	if err := s.connect(ctx); err != nil {
		return LogReply{}, err
	}
	return s.exchange(deadline, command)
}

func (s *LogSession) connect(ctx context.Context) error {
	if s.closed {
		return errRemoved
	}
	startedAt := s.group.options.Now()
	conn, err := s.group.options.Backends.Dial(ctx, s.server)
	if err != nil {
		return err
	}
	s.group.options.Recorder.ConnectionOpened(s.server.Service)
	s.conn, s.openAt = conn, startedAt
	return nil
}

// exchange sends a command over the open connection, which it closes on failure.
func (s *LogSession) exchange(deadline time.Time, command statement.Statement) (LogReply, error) {
	answers, _, err := s.conn.Exchange(deadline, command)
	if err != nil {
		s.disconnect()
		return LogReply{}, err
	}
	status, err := s.group.options.Backends.ParseStatus(answers[0])
	return LogReply{ServerStatus: status, ConnectedAt: s.openAt}, err
}

func (s *LogSession) disconnect() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}

// Close closes the connection and waits for a command that runs. Later commands fail.
func (s *LogSession) Close() {
	s.lock <- struct{}{}
	defer func() { <-s.lock }()
	s.closed = true
	s.disconnect()
}
