// Package statementtest is an in-memory service of backend servers for tests:
// one primary, replicas that apply commits later, and faults. Connections to it
// implement statement.Conn.
//
// The signature of an answer tells the server that gave it and the end of its
// log at that moment, so that a test can tell which commits a read has seen.
package statementtest

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// Options are the timing and the limits of a service.
type Options struct {
	// Lag is how much later replicas receive a commit.
	Lag time.Duration
	// Work is the time of a read, write or commit, Dial that of a new connection.
	Work, Dial time.Duration
	// Promote is the time from the order to the change of the primary.
	Promote time.Duration
	// ConnectionLimit bounds the connections to one server; 0 for no limit.
	ConnectionLimit int
}

// entry is a commit in a log.
type entry struct {
	term   group.Term
	at     time.Time
	writes []Write
}

// Write is one write of a caller.
type Write struct {
	ID, Item, Data string
}

// Service is a set of servers.
type Service struct {
	Name    string
	options Options

	mu      sync.Mutex
	servers map[string]*Server
	term    group.Term
	// runs counts the runs of each caller's statement, by its ID.
	runs map[string]int
	// token is the highest fencing token seen.
	token      uint64
	promotions int
}

// Server is one backend server.
type Server struct {
	service *Service
	id      string
	primary bool
	log     []entry
	conns   map[*Conn]bool
	held    group.Term
	// lag replaces that of the service if it is positive.
	lag time.Duration

	down, dark, deaf bool
	loseAnswers      int
	busy             int
}

// New returns a service whose first server is the primary at term 1.
func New(name string, o Options, ids ...string) *Service {
	s := &Service{Name: name, options: o, servers: map[string]*Server{}, term: 1, runs: map[string]int{}}
	for i, id := range ids {
		s.servers[id] = &Server{service: s, id: id, primary: i == 0, conns: map[*Conn]bool{}}
	}
	return s
}

// Catalog returns the registered form of the servers that run.
func (s *Service) Catalog() []catalog.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []catalog.Server
	for id, sv := range s.servers {
		if !sv.down && !sv.dark {
			out = append(out, catalog.Server{ID: id, Service: s.Name, Address: "192.0.2.1:1", Zone: "a", StatementLimit: 1, Primary: sv.primary, StartedUnixMilli: 1})
		}
	}
	return out
}

// Primary returns the ID of the server that leads.
func (s *Service) Primary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, sv := range s.servers {
		if sv.primary {
			return id
		}
	}
	return ""
}

// Promotions returns the number of promotions that changed the primary.
func (s *Service) Promotions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.promotions
}

// Runs returns how often the statement ran.
func (s *Service) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Committed returns the writes in the log of the primary.
func (s *Service) Committed() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Write
	for _, sv := range s.servers {
		if !sv.primary {
			continue
		}
		for _, e := range sv.log {
			out = append(out, e.writes...)
		}
	}
	return out
}

// with changes a server under the lock.
func (s *Service) with(id string, change func(*Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.servers[id])
}

// Crash ends the server's connections and refuses new ones until Start.
func (s *Service) Crash(id string) {
	s.with(id, func(sv *Server) {
		sv.down = true
		for c := range sv.conns {
			c.closed = true
		}
		clear(sv.conns)
	})
}

// CrashPrimary crashes the server that leads, if there is one.
func (s *Service) CrashPrimary() {
	if id := s.Primary(); id != "" {
		s.Crash(id)
	}
}

// Start lets a crashed or dark server go on with its log.
func (s *Service) Start(id string) { s.with(id, func(sv *Server) { sv.down, sv.dark = false, false }) }

// Silence lets the server answer nothing and refuse nothing until Start.
func (s *Service) Silence(id string) { s.with(id, func(sv *Server) { sv.dark = true }) }

// SetDeaf stops a replica from receiving commits.
func (s *Service) SetDeaf(id string, deaf bool) {
	s.with(id, func(sv *Server) { sv.receive(time.Now()); sv.deaf = deaf })
}

// SetLag changes the lag of one server.
func (s *Service) SetLag(id string, lag time.Duration) {
	s.with(id, func(sv *Server) { sv.receive(time.Now()); sv.lag = lag })
}

// LoseAnswers lets the server run the next n statements without answering.
func (s *Service) LoseAnswers(id string, n int) { s.with(id, func(sv *Server) { sv.loseAnswers = n }) }

// RefuseBusy lets the server refuse the next n statements as busy.
func (s *Service) RefuseBusy(id string, n int) { s.with(id, func(sv *Server) { sv.busy = n }) }

// Promote implements objects.Promoter.
func (s *Service) Promote(ctx context.Context, p objects.Promotion) error {
	s.mu.Lock()
	sv := s.servers[p.Server]
	refused := sv == nil || sv.down || p.Token < s.token
	s.token = max(s.token, p.Token)
	s.mu.Unlock()
	if refused {
		return objects.ErrRefused
	}
	time.AfterFunc(s.options.Promote, func() { s.lead(p.Server) })
	return nil
}

// lead makes a server the primary of the next term; the others follow its log.
func (s *Service) lead(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.servers[id]
	if next.primary || next.down {
		return
	}
	next.receive(time.Now())
	s.term++
	s.promotions++
	for _, sv := range s.servers {
		sv.primary = sv == next
		sv.held = 0
		if sv != next && len(sv.log) > len(next.log) {
			sv.log = sv.log[:len(next.log)]
		}
	}
}

func (s *Service) leader() *Server {
	for _, sv := range s.servers {
		if sv.primary {
			return sv
		}
	}
	return nil
}

// receive takes the commits of the primary that have arrived by now.
func (sv *Server) receive(now time.Time) {
	leader := sv.service.leader()
	if sv.primary || sv.deaf || sv.down || sv.held > 0 || leader == nil {
		return
	}
	lag := sv.service.options.Lag
	if sv.lag > 0 {
		lag = sv.lag
	}
	for len(sv.log) < len(leader.log) {
		e := leader.log[len(sv.log)]
		if e.at.Add(lag).After(now) {
			return
		}
		sv.log = append(sv.log, e)
	}
}

// position returns the end of the server's log. The term of a primary is that
// of the service even before its first commit.
func (sv *Server) position() group.Position {
	term := group.Term(1)
	if n := len(sv.log); n > 0 {
		term = sv.log[n-1].term
	}
	if sv.primary {
		term = sv.service.term
	}
	return group.Position{Term: term, Offset: uint64(len(sv.log)) + 1}
}

func (sv *Server) value(item string) (string, bool) {
	for i := len(sv.log) - 1; i >= 0; i-- {
		for _, w := range sv.log[i].writes {
			if w.Item == item {
				return w.Data, true
			}
		}
	}
	return "", false
}

// Backends connects to the servers of several services.
type Backends []*Service

var _ statement.Backends = Backends(nil)

// Dial connects to a server by its ID.
func (b Backends) Dial(ctx context.Context, server catalog.Server) (statement.Conn, error) {
	for _, s := range b {
		if s.Name == server.Service {
			return s.dial(ctx, server.ID)
		}
	}
	return nil, &statement.RefusedError{Code: statement.WrongServer}
}

func (s *Service) dial(ctx context.Context, id string) (statement.Conn, error) {
	s.mu.Lock()
	sv := s.servers[id]
	dark := sv != nil && sv.dark
	s.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(s.options.Dial):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case sv == nil:
		return nil, &statement.RefusedError{Code: statement.WrongServer}
	case sv.down:
		return nil, syscall.ECONNREFUSED
	case s.options.ConnectionLimit > 0 && len(sv.conns) >= s.options.ConnectionLimit:
		return nil, &statement.RefusedError{Code: statement.TooManyConnections}
	}
	c := &Conn{server: sv, values: map[string]string{}, prepared: map[string]statement.Statement{}}
	sv.conns[c] = true
	return c, nil
}

// Connections returns the number of connections to a server.
func (s *Service) Connections(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.servers[id].conns)
}

// ParseStatus reads the answer to a status.
func (Backends) ParseStatus(a statement.Answer) (statement.ServerStatus, error) {
	if a.Code != statement.OK || len(a.Rows) != 1 {
		return statement.ServerStatus{}, fmt.Errorf("status: %s", a.Code)
	}
	return statement.ServerStatus{Primary: a.Rows[0] == "primary", Term: a.Position.Term, Received: a.Position}, nil
}

// ErrClosed is returned by connections that the server closed.
var ErrClosed = errors.New("connection is closed")

// Signature tells what an answer says of itself.
type Signature struct {
	Server string
	Length int
	Values string
}

// ParseSignature reads the signature of an answer.
func ParseSignature(text string) (Signature, error) {
	var sig Signature
	fields := strings.SplitN(text, "|", 3)
	if len(fields) != 3 {
		return sig, fmt.Errorf("signature %q", text)
	}
	sig.Server, sig.Values = fields[0], fields[2]
	_, err := fmt.Sscanf(fields[1], "%d", &sig.Length)
	return sig, err
}

// Seen returns the IDs of the writes in the first commits of the server's log, as
// many as the length says.
func (s *Service) Seen(server string, length int) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.servers[server].log
	seen := map[string]bool{}
	for _, e := range log[:min(length, len(log))] {
		for _, w := range e.writes {
			seen[w.ID] = true
		}
	}
	return seen
}

// Heal ends all faults of all servers.
func (s *Service) Heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.servers {
		sv.down, sv.dark, sv.deaf, sv.lag, sv.busy, sv.loseAnswers = false, false, false, 0, 0, 0
	}
}
