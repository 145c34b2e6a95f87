// Package statementtest provides an in-memory service of backend servers for
// tests: one primary, replicas that apply commits after a lag, and faults.
// Connections to it implement statement.Conn.
//
// The signature of an answer holds the ID of the server that sent it and the
// length of its log at that moment, so that a test can determine which commits a
// read has seen.
package statementtest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// Options sets the timing and the limits of a service.
type Options struct {
	// ReplicationLag is the time from a commit to its arrival at the replicas.
	ReplicationLag time.Duration
	// StatementTime is the duration of a read, write, commit or status query,
	// DialTime that of opening a connection.
	StatementTime, DialTime time.Duration
	// PromotionDelay is the time from the request for a promotion to the change of
	// the primary.
	PromotionDelay time.Duration
	// ReplacedPrimaryContinues makes a replaced primary go on as one, and the
	// promotion service accept any fencing token. The primary steps down on a Demote,
	// or StepDownDelay after it can reach its successor; see SetIsolated.
	ReplacedPrimaryContinues bool
	// SyncReplicas is the number of replicas that must receive a commit before the
	// primary acknowledges it.
	SyncReplicas int
	// ConnectionLimit is the maximum number of connections to one server; 0 for no limit.
	ConnectionLimit int
}

// StepDownDelay is the time after which a replaced primary that reaches its
// successor steps down, if Options.ReplacedPrimaryContinues is set.
const StepDownDelay = time.Second

// logEntry is one commit in a log.
type logEntry struct {
	term   group.Term
	at     time.Time
	writes []Write
}

// Write is one write of a caller. ID is that of its statement.
type Write struct {
	ID, Item, Data string
}

// Service is a set of servers, at most one of which is the primary. Its methods
// are safe for concurrent use.
type Service struct {
	Name    string
	options Options

	mu      sync.Mutex
	servers map[string]*Server
	term    group.Term
	// runs holds the number of executions of each caller's statement, by its ID.
	runs map[string]int
	// token is the highest fencing token received.
	token      uint64
	promotions int
	// added is the number of servers that were added.
	added int
	// lastPromoted is the ID of the server that became the primary last.
	lastPromoted string
	// promotedLength is the length of the primary's log when it was promoted.
	promotedLength int
	// splitCommits holds the times of the commits of replaced primaries.
	splitCommits []time.Time
}

// Server is one backend server.
type Server struct {
	service *Service
	id      string
	primary bool
	// term is the term that the server holds.
	term  group.Term
	log   []logEntry
	conns map[*Conn]bool
	// pauseTerm is the term of a Pause, during which the server receives no
	// commits; 0 for none.
	pauseTerm group.Term
	// lag replaces that of the service if it is positive.
	lag time.Duration

	// restarts counts the starts without the log of before.
	restarts int

	down, hung, replicationPaused bool
	// isolated is true if the other servers do not reach the server.
	isolated bool
	// loseAnswers is the number of statements still to be left unanswered.
	loseAnswers int
	// busyRefusals is the number of statements still to be refused as busy.
	busyRefusals int
	// sessionRefusals is the number of Set, Prepare and Reset statements still to be
	// refused.
	sessionRefusals int
}

// New returns a service whose first server is the primary at term 1.
func New(name string, o Options, ids ...string) *Service {
	s := &Service{Name: name, options: o, servers: map[string]*Server{}, term: 1, runs: map[string]int{}}
	for i, id := range ids {
		if i == 0 {
			s.lastPromoted = id
		}
		s.servers[id] = &Server{service: s, id: id, primary: i == 0, term: 1, conns: map[*Conn]bool{}}
	}
	return s
}

// Catalog returns the catalog entries of the servers that are neither crashed nor
// hung.
func (s *Service) Catalog() []catalog.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []catalog.Server
	for id, sv := range s.servers {
		if !sv.down && !sv.hung {
			out = append(out, catalog.Server{ID: id, Service: s.Name, Address: id + ":1", Zone: "a", StatementLimit: 1, Primary: sv.primary, StartedUnixMilli: int64(1 + sv.restarts)})
		}
	}
	return out
}

// Primary returns the ID of the primary, or an empty string if there is none.
func (s *Service) Primary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sv := s.primaryServer(); sv != nil {
		return sv.id
	}
	return ""
}

// LastPrimary returns the ID of the primary or, if there is none, of the last one. Its
// log holds every commit that no promotion has rolled back.
func (s *Service) LastPrimary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sv := s.primaryServer(); sv != nil {
		return sv.id
	}
	return s.lastPromoted
}

// SplitCommits returns the times of the commits that servers executed after another
// server had replaced them as the primary.
func (s *Service) SplitCommits() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.splitCommits)
}

// Promotions returns the number of promotions that changed the primary.
func (s *Service) Promotions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.promotions
}

// ExecutionCount returns how often the statement with the ID was executed.
func (s *Service) ExecutionCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Committed returns the writes in the log of the primary.
func (s *Service) Committed() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Write
	if sv := s.primaryServer(); sv != nil {
		for _, e := range sv.log {
			out = append(out, e.writes...)
		}
	}
	return out
}

// updateServer calls change with the server while it holds the lock.
func (s *Service) updateServer(id string, change func(*Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.servers[id])
}

// Add starts a new replica, to which the log of the primary has been transferred, unless
// there is a server with the ID.
func (s *Service) Add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers[id] != nil {
		return
	}
	sv := &Server{service: s, id: id, term: s.term, conns: map[*Conn]bool{}, restarts: s.added}
	s.added++
	if leader := s.primaryServer(); leader != nil {
		sv.term, sv.log = leader.term, slices.Clone(leader.log)
	}
	s.servers[id] = sv
}

// Remove ends a replica for good.
func (s *Service) Remove(id string) {
	s.Crash(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.servers, id)
}

// Has reports whether there is a server with the ID.
func (s *Service) Has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[id] != nil
}

// Servers returns the IDs of all servers, sorted.
func (s *Service) Servers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.servers))
}

// SetSyncReplicas replaces Options.SyncReplicas.
func (s *Service) SetSyncReplicas(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.SyncReplicas = n
}

// receiveAll lets all replicas receive what has arrived by now.
func (s *Service) receiveAll(now time.Time) {
	for _, sv := range s.servers {
		sv.receive(now)
	}
}

// Crash closes the server's connections and refuses new ones until Start.
func (s *Service) Crash(id string) {
	s.updateServer(id, func(sv *Server) {
		s.receiveAll(time.Now())
		sv.down = true
		sv.closeConns()
	})
}

func (sv *Server) closeConns() {
	for c := range sv.conns {
		c.closed = true
	}
	clear(sv.conns)
}

// CloseConnections closes all connections to a server that goes on running.
func (s *Service) CloseConnections(id string) { s.updateServer(id, (*Server).closeConns) }

// CrashPrimary crashes the primary, if there is one.
func (s *Service) CrashPrimary() {
	if id := s.Primary(); id != "" {
		s.Crash(id)
	}
}

// Start resumes a crashed or hung server with its log.
func (s *Service) Start(id string) {
	s.updateServer(id, func(sv *Server) { sv.down, sv.hung = false, false })
}

// Restart starts a replica again without its log, as a new start under its ID. Its
// connections are closed, and a pause of its replication goes on.
func (s *Service) Restart(id string) {
	s.Crash(id)
	s.updateServer(id, func(sv *Server) {
		sv.down, sv.hung = false, false
		sv.log, sv.pauseTerm = nil, 0
		sv.restarts++
	})
}

// Hang makes the server answer no statement and accept or refuse no connection
// until Start.
func (s *Service) Hang(id string) { s.updateServer(id, func(sv *Server) { sv.hung = true }) }

// SetReplicationPaused pauses or resumes the replication of commits to a replica.
func (s *Service) SetReplicationPaused(id string, paused bool) {
	s.updateServer(id, func(sv *Server) { sv.receive(time.Now()); sv.replicationPaused = paused })
}

// Pause makes a replica receive nothing, as the command does.
func (s *Service) Pause(id string, term group.Term) {
	s.updateServer(id, func(sv *Server) { sv.receive(time.Now()); sv.pauseTerm = term })
}

// SetIsolated cuts a server off from the other servers, or reconnects it.
func (s *Service) SetIsolated(id string, isolated bool) {
	s.updateServer(id, func(sv *Server) { sv.receive(time.Now()); sv.isolated = isolated })
	if !isolated {
		time.AfterFunc(StepDownDelay, s.stepDownReplaced)
	}
}

// SetLag sets the replication lag of one server; 0 restores that of the service.
func (s *Service) SetLag(id string, lag time.Duration) {
	s.updateServer(id, func(sv *Server) { sv.receive(time.Now()); sv.lag = lag })
}

// LoseAnswers makes the server execute the next n statements of callers without
// answering them.
func (s *Service) LoseAnswers(id string, n int) {
	s.updateServer(id, func(sv *Server) { sv.loseAnswers = n })
}

// RefuseBusy makes the server refuse the next n reads, writes, commits and status
// queries with statement.Busy.
func (s *Service) RefuseBusy(id string, n int) {
	s.updateServer(id, func(sv *Server) { sv.busyRefusals = n })
}

// RefuseSessionChanges makes the server refuse the next n Set, Prepare and Reset
// statements with statement.Busy.
func (s *Service) RefuseSessionChanges(id string, n int) {
	s.updateServer(id, func(sv *Server) { sv.sessionRefusals = n })
}

// Promote implements objects.Promoter. It refuses a fencing token lower than the
// highest one received.
func (s *Service) Promote(ctx context.Context, p objects.Promotion) error {
	return s.promote(p, s.starts(p.Server))
}

// PromoteLate carries a promotion out after a delay. A server that has started again
// without its log meanwhile is not promoted.
func (s *Service) PromoteLate(delay time.Duration, p objects.Promotion) {
	starts := s.starts(p.Server)
	time.AfterFunc(delay, func() { _ = s.promote(p, starts) })
}

// starts returns how often a server has started without its log.
func (s *Service) starts(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sv := s.servers[id]; sv != nil {
		return sv.restarts
	}
	return 0
}

func (s *Service) promote(p objects.Promotion, starts int) error {
	s.mu.Lock()
	sv := s.servers[p.Server]
	refused := sv == nil || sv.down || p.Token < s.token && !s.options.ReplacedPrimaryContinues
	s.token = max(s.token, p.Token)
	s.mu.Unlock()
	if refused {
		return objects.ErrRefused
	}
	time.AfterFunc(s.options.PromotionDelay, func() { s.completePromotion(p.Server, starts) })
	return nil
}

// completePromotion makes a server the primary of the next term. The other servers
// drop the part of their logs beyond the end of its log. A server that has started again
// without its log since the order, at which it had started the given number of times, is
// not promoted.
func (s *Service) completePromotion(id string, restarts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.servers[id]
	if next == nil || next.primary || next.down || next.restarts != restarts {
		return
	}
	next.receive(time.Now())
	s.term++
	s.promotions++
	s.lastPromoted = id
	s.promotedLength = len(next.log)
	next.primary, next.term = true, s.term
	for _, sv := range s.servers {
		sv.pauseTerm = 0
		if sv != next && !(sv.primary && s.options.ReplacedPrimaryContinues) {
			sv.follow()
		}
	}
	if s.options.ReplacedPrimaryContinues {
		time.AfterFunc(StepDownDelay, s.stepDownReplaced)
	}
}

// follow makes the server a replica of the primary and drops the commits that the
// primary did not have when it was promoted.
func (sv *Server) follow() {
	s := sv.service
	sv.primary = false
	if sv.term < s.term {
		sv.term = s.term
		sv.log = sv.log[:min(len(sv.log), s.promotedLength)]
	}
}

// stepDownReplaced makes replaced primaries that reach their successor replicas.
func (s *Service) stepDownReplaced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	leader := s.primaryServer()
	for _, sv := range s.servers {
		if sv.primary && sv != leader && sv.reaches(leader) {
			sv.follow()
		}
	}
}

// reaches reports whether the servers can exchange messages.
func (sv *Server) reaches(other *Server) bool { return !sv.isolated && !other.isolated }

// primaryServer returns the primary of the highest term, or nil if there is none.
func (s *Service) primaryServer() *Server {
	var leader *Server
	for _, sv := range s.servers {
		if sv.primary && (leader == nil || sv.term > leader.term) {
			leader = sv
		}
	}
	return leader
}

// receive appends the primary's commits that have arrived at a replica by now.
func (sv *Server) receive(now time.Time) {
	leader := sv.service.primaryServer()
	if sv.primary || sv.replicationPaused || sv.down || sv.pauseTerm > 0 || leader == nil || leader.down || !sv.reaches(leader) {
		return
	}
	if sv.term < leader.term {
		sv.follow()
	}
	lag := sv.service.options.ReplicationLag
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

// position returns the end of the server's log. Its term is that of the last
// commit.
func (sv *Server) position() group.Position {
	term := group.Term(1)
	if n := len(sv.log); n > 0 {
		term = sv.log[n-1].term
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

// Dial implements statement.Backends. It finds the server by service name and ID.
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
	dark := sv != nil && sv.hung
	s.mu.Unlock()
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(s.options.DialTime):
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

// Connections returns the number of open connections to a server.
func (s *Service) Connections(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.servers[id].conns)
}

// ParseStatus implements statement.Backends.
func (Backends) ParseStatus(a statement.Answer) (statement.ServerStatus, error) {
	if a.Code != statement.OK || len(a.Rows) != 1 {
		return statement.ServerStatus{}, fmt.Errorf("status query failed: %s", a.Code)
	}
	var role string
	var term, pauseTerm group.Term
	if _, err := fmt.Sscanf(a.Rows[0], "%s %d %d", &role, &term, &pauseTerm); err != nil {
		return statement.ServerStatus{}, fmt.Errorf("status %q: %w", a.Rows[0], err)
	}
	return statement.ServerStatus{Primary: role == "primary", Term: term, Received: a.Position, PauseTerm: pauseTerm}, nil
}

// ErrClosed is the error of statements on a closed connection.
var ErrClosed = errors.New("connection is closed")

// Signature is the parsed signature of an answer.
type Signature struct {
	// Server is the ID of the server.
	Server string
	// Length is the length of the server's log.
	Length int
	// Values holds the session values as name=value pairs.
	Values string
}

// ParseSignature parses the signature of an answer, server|length|values.
func ParseSignature(text string) (Signature, error) {
	var sig Signature
	fields := strings.SplitN(text, "|", 3)
	if len(fields) != 3 {
		return sig, fmt.Errorf("malformed signature %q", text)
	}
	sig.Server, sig.Values = fields[0], fields[2]
	_, err := fmt.Sscanf(fields[1], "%d", &sig.Length)
	return sig, err
}

// WriteIDs returns the IDs of the writes in the first length commits of the
// server's log.
func (s *Service) WriteIDs(server string, length int) map[string]bool {
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

// Heal ends all faults of all servers, except that closed connections stay closed.
func (s *Service) Heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sv := range s.servers {
		sv.down, sv.hung, sv.replicationPaused, sv.lag, sv.busyRefusals, sv.loseAnswers = false, false, false, 0, 0, 0
		sv.isolated, sv.sessionRefusals = false, 0
	}
	if s.options.ReplacedPrimaryContinues {
		time.AfterFunc(StepDownDelay, s.stepDownReplaced)
	}
}
