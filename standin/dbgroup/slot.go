package dbgroup

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup/internal/sqlite"
)

const (
	// listenRetryLimit and listenRetryInterval bound how long a restarted slot
	// waits for its previous port to become free.
	listenRetryLimit    = 50
	listenRetryInterval = 20 * time.Millisecond
)

// Slot is one backend server of a group.
type Slot struct {
	group *Group
	index int
	id    string
	zone  string
	// address and zone are set by start and do not change afterwards.
	address string
	logger  logrus.FieldLogger

	network  atomic.Pointer[networkFaults]
	settings atomic.Pointer[slotSettings]
	writer   *writerLock
	inferred inferenceCache
	// connectionGoroutines counts the goroutines of the sessions and of the listener.
	connectionGoroutines sync.WaitGroup

	// restarting is held by Restart, so that concurrent ones do not both listen.
	restarting sync.Mutex

	// mu guards the fields below. A commit holds it while it checks the role,
	// commits in the embedded database and appends to the log.
	mu                sync.Mutex
	running           bool
	listener          net.Listener
	sessions          map[uint32]*session
	clientConnections int

	acceptedTerm group.Term
	role         group.Role
	upstream     string
	// epoch is incremented by each change of role and each kill. Work that was
	// started in an older epoch must not be committed or appended.
	epoch       uint64
	log         replicationLog
	applied     group.Position
	arrivals    []arrival
	lastContact time.Time
	// changed is closed and replaced to wake the receive and apply loops.
	changed chan struct{}

	// rebuilding is set while the database is replaced; client connections are then
	// rejected.
	rebuilding bool
	// generation numbers the files of successive copies.
	generation int
	// path is that of the present copy.
	path string
	// adminDB creates the schema and copies the database, the latter under mu.
	adminDB *sqlite.DB
	// apply runs replicated statements under the writer lock.
	apply *applier
}

// slotSettings holds the settings that can be changed at run time.
type slotSettings struct {
	connectionLimit int
	connectTime     time.Duration
	applyLag        time.Duration
	leaving         bool
}

// savedState is the state that a restarted slot reads from its state file. The
// log stays in memory.
type savedState struct {
	Accepted group.Term `json:"accepted"`
	Role     group.Role `json:"role"`
	Upstream string     `json:"upstream"`
}

func newSlot(g *Group, index int) *Slot {
	o := g.opts.Slots[index]
	s := &Slot{
		group: g, index: index, id: o.ID, zone: o.Zone, address: o.Address,
		logger:   g.opts.Logger.WithField("slot", o.ID),
		sessions: map[uint32]*session{},
		changed:  make(chan struct{}),
		role:     group.Replica,
	}
	s.writer = newWriterLock(g.opts.WriterIdleLimit, s.isNotPrimary)
	s.network.Store(&networkFaults{changed: make(chan struct{})})
	s.settings.Store(&slotSettings{
		connectionLimit: g.opts.ConnectionLimit,
		connectTime:     g.opts.ConnectTime,
		applyLag:        g.opts.ApplyLag,
	})
	return s
}

// ID returns the ID of the slot.
func (s *Slot) ID() string { return s.id }

// Zone returns the availability zone of the slot.
func (s *Slot) Zone() string { return s.zone }

// Address returns the host:port of the listener. It does not change on a restart.
func (s *Slot) Address() string { return s.address }

// start creates the database with its schema and starts to listen.
func (s *Slot) start() error {
	s.path = s.group.path("slot-%d-0.db", s.index)
	if err := s.openDatabase(); err != nil {
		return err
	}
	for _, sql := range append([]string{requestLogSchema}, s.group.opts.Schema...) {
		if err := s.adminDB.Exec(sql); err != nil {
			return fmt.Errorf("create schema: %w", err)
		}
	}
	if err := s.listen(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.listener.Addr().(*net.TCPAddr).AddrPort()
	s.address = address.String()
	if s.zone == "" {
		s.zone = s.group.opts.Latency.Zone(address.Addr())
	}
	return nil
}

func (s *Slot) openDatabase() error {
	admin, err := sqlite.Open(s.path)
	if err != nil {
		return err
	}
	db, err := sqlite.Open(s.path)
	if err != nil {
		admin.Close()
		return err
	}
	s.adminDB = admin
	s.apply = newApplier(db)
	return nil
}

func (s *Slot) closeDatabase() {
	if s.apply != nil {
		s.apply.close()
		s.apply = nil
	}
	if s.adminDB != nil {
		s.adminDB.Close()
		s.adminDB = nil
	}
}

// listen opens the listener and starts to accept connections. It retries
// after a failure, as the address may still be in use; see listenRetryLimit.
func (s *Slot) listen() error {
	listener, err := net.Listen("tcp", s.address)
	for range listenRetryLimit {
		if err == nil {
			break
		}
		time.Sleep(listenRetryInterval)
		listener, err = net.Listen("tcp", s.address)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = listener
	s.running = true
	s.connectionGoroutines.Go(func() { s.acceptLoop(listener) })
	s.wakeLoopsLocked()
	return nil
}

func (s *Slot) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.logger.WithError(err).Warn("accept_failed")
			time.Sleep(listenRetryInterval)
			continue
		}
		s.serve(conn)
	}
}

// serve starts a session for the connection, unless the slot has been killed.
func (s *Slot) serve(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running {
		_ = conn.Close()
		return
	}
	session := newSession(s, conn, s.group.lastPID.Add(1))
	s.sessions[session.pid] = session
	s.connectionGoroutines.Go(session.run)
}

// removeSession unregisters a session that has ended.
func (s *Slot) removeSession(ended *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ended.pid)
	if ended.counted {
		s.clientConnections--
	}
}

// admitSession counts a client connection against the connection limit. It fails
// if the limit is reached or the database is being rebuilt.
func (s *Slot) admitSession(session *session) *sqlError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rebuilding {
		return fatal("57P03", "the database system is starting up")
	}
	if s.clientConnections >= s.settings.Load().connectionLimit {
		return fatal(codeTooManyConnections, messageTooManyClients)
	}
	s.clientConnections++
	session.counted = true
	return nil
}

// wakeLoopsLocked wakes the loops that wait for a change; the caller holds mu.
func (s *Slot) wakeLoopsLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wakeLoops wakes the loops that wait for a change.
func (s *Slot) wakeLoops() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLoopsLocked()
}

// saveState writes the state that a restart needs; the caller holds mu. It panics
// if the file cannot be written, because the group contract requires that the
// accepted term is durable.
func (s *Slot) saveState() {
	data, err := json.Marshal(savedState{s.acceptedTerm, s.role, s.upstream})
	if err == nil {
		err = os.WriteFile(s.statePath(), data, 0o600)
	}
	if err != nil {
		panic(fmt.Sprintf("dbgroup: slot %s: cannot save the accepted term: %v", s.id, err))
	}
}

func (s *Slot) loadState() error {
	data, err := os.ReadFile(s.statePath())
	if err != nil {
		return err
	}
	var saved savedState
	if err := json.Unmarshal(data, &saved); err != nil {
		return err
	}
	s.acceptedTerm, s.role, s.upstream = saved.Accepted, saved.Role, saved.Upstream
	return nil
}

func (s *Slot) statePath() string { return s.group.path("slot-%d.json", s.index) }

// Kill closes the listener and all connections at once, as a crash does.
// Uncommitted transactions have been rolled back when it returns.
func (s *Slot) Kill() {
	s.mu.Lock()
	if !s.running {
		s.mu.Unlock()
		return
	}
	s.running = false
	s.epoch++
	// A crash loses this state from memory; Restart reads it from the state file.
	s.acceptedTerm, s.role, s.upstream = 0, group.Fenced, ""
	listener := s.listener
	sessions := s.currentSessions()
	s.wakeLoopsLocked()
	s.mu.Unlock()
	_ = listener.Close()
	for _, session := range sessions {
		session.kill()
	}
	s.connectionGoroutines.Wait()
	s.logger.Info("slot_killed")
}

// currentSessions returns the open sessions; the caller holds mu.
func (s *Slot) currentSessions() []*session {
	var sessions []*session
	for _, session := range s.sessions {
		sessions = append(sessions, session)
	}
	return sessions
}

// Restart starts a killed slot again on its address, with its log, accepted
// term and role. On a running slot it does nothing. It fails if the address is
// in use or the saved state cannot be read.
func (s *Slot) Restart() error {
	s.restarting.Lock()
	defer s.restarting.Unlock()
	s.mu.Lock()
	if s.running {
		s.mu.Unlock()
		return nil
	}
	err := s.loadState()
	s.mu.Unlock()
	if err != nil {
		return fmt.Errorf("dbgroup: restart %s: %w", s.id, err)
	}
	if err := s.listen(); err != nil {
		return fmt.Errorf("dbgroup: restart %s: %w", s.id, err)
	}
	s.logger.Info("slot_restarted")
	return nil
}

// Running reports whether the slot is running, that is, not killed.
func (s *Slot) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *Slot) isNotPrimary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role != group.Primary
}

// oneWay returns the one-way latency between the slot and a client.
func (s *Slot) oneWay(client netip.Addr) time.Duration {
	table := s.group.opts.Latency
	if table == nil {
		return 0
	}
	return table.OneWay(table.Zone(client), s.zone)
}
