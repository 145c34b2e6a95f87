// Package control implements the control plane of a host. One goroutine owns the
// control state: the membership table, the failover state machines of the owned
// databases, and the state derived from the configuration. It processes events
// from an inbox, publishes views on the board and leaves all I/O to worker
// goroutines, which post their results as events.
package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confsync"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/daemon/internal/board"
	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

const (
	// tickInterval is how often the deadlines of the membership table are checked.
	tickInterval = 100 * time.Millisecond
	// slowStepThreshold is half the interval of probes to a suspected primary. A
	// slower step of the control goroutine delays failovers.
	slowStepThreshold = 125 * time.Millisecond
	// hostListInterval is the minimum time between two reads of the platform's
	// host list. The list is needed only to discover new hosts; probes show which
	// of them are alive.
	hostListInterval = 10 * time.Second
	// hostListIntervalPerHost makes the interval grow with the list, so that the
	// whole fleet reads it at most five times a second and the bytes that each
	// host reads per second stay bounded.
	hostListIntervalPerHost = 200 * time.Millisecond
	// hostListRetry is the interval between attempts until the first success.
	hostListRetry = 250 * time.Millisecond
)

// Options configures a Controller.
type Options struct {
	// Self describes this host to the others.
	Self membership.Member
	// Peers are the peer addresses that are probed at the start.
	Peers []string
	// LocalIP is the source address of control connections.
	LocalIP netip.Addr
	// PeerClient sends control messages to other hosts; nil means twirp over TCP.
	PeerClient PeerClient
	// GroupClient controls backend servers; nil means the PostgreSQL protocol.
	GroupClient GroupClient
	// Rand is the source of random choices, used by the control goroutine only;
	// nil means a source with a random seed.
	Rand *rand.Rand
	// Store is the platform's store of configuration, hosts and shares.
	Store platform.Store
	// DialSlot opens connections to backend servers for caller traffic.
	DialSlot route.DialFunc
	// StatementCheck distinguishes slow statements from dead connections; nil
	// disables the check.
	StatementCheck route.StatementCheck
	// Recorder receives the events of the routers.
	Recorder route.Recorder
	// Members configures the membership table.
	Members membership.Options
	// Drain starts a graceful shutdown that an operator requests. It must not
	// block. A timeout of 0 means the default.
	Drain func(timeout time.Duration)
	Log   *logrus.Entry
}

// event is an input of the control goroutine.
type event interface {
	apply(c *Controller, now time.Time)
}

// Controller owns the control state of a host.
type Controller struct {
	opts        Options
	board       *board.Board
	peerClient  PeerClient
	groupClient GroupClient
	log         *logrus.Entry

	// The fields from ctx to stale belong to the control goroutine.
	ctx          context.Context
	table        *membership.Table
	config       *config.Snapshot
	configReady  bool
	configSync   *confsync.Machine
	nextSyncTick time.Time
	// stopWatch ends this host's watch of the store; nil while it has none.
	stopWatch context.CancelFunc
	draining  bool
	groups    map[string]*ownedGroup
	// shareManagers maps the databases that this host owns, or recently owned and
	// still has connections for, to the managers of their shares.
	shareManagers map[string]*shareManager
	policies      map[string]*route.Policy
	// lastContact is when the latest answered probe was sent.
	lastContact time.Time
	// refutedDeaths is the last known value of the table's RefutedDeaths.
	refutedDeaths uint64
	// settled is set when ownership may be derived from the table.
	settled bool
	// appliedChange is the table's change count for which ownership was computed.
	appliedChange uint64
	// members are the table's members at appliedChange.
	members   []membership.Member
	ownership *membership.Ownership
	// stale is set when ownership or the published view must be recomputed.
	stale bool

	guard    shareGuard
	executor confsync.Executor
	// published is the configuration that is served to peers.
	published atomic.Pointer[confsync.Published]
	// configVersion is the configuration version that probes carry.
	configVersion atomic.Uint64

	workers sync.WaitGroup
	mu      sync.Mutex
	inbox   []event
	wake    chan struct{}
}

// New returns a controller that has published an initial view without
// configuration. Run starts it.
func New(o Options) *Controller {
	now := time.Now()
	o = o.withDefaults()
	c := &Controller{
		opts:          o,
		peerClient:    o.PeerClient,
		groupClient:   o.GroupClient,
		log:           o.Log,
		table:         membership.NewTable(asJoining(o.Self), o.Members, o.Rand, now),
		config:        config.NewSnapshot(0, nil),
		groups:        map[string]*ownedGroup{},
		shareManagers: map[string]*shareManager{},
		lastContact:   now,
		ownership:     membership.NewOwnership(),
		policies:      map[string]*route.Policy{},
		wake:          make(chan struct{}, 1),
	}
	c.configSync = confsync.New(confsync.Options{Self: o.Self.Name, Zone: o.Self.Zone, Rand: o.Rand, Start: now})
	c.published.Store(c.configSync.Published())
	c.executor = confsync.Executor{Self: o.Self.Name, Peers: configPeers{c}, Store: o.Store}
	c.board = board.New(&board.View{Self: o.Self, Config: c.config})
	return c
}

// asJoining returns m as a member that has not reached the store yet, and hence
// has no forward address.
func asJoining(m membership.Member) membership.Member {
	m.ForwardAddress = ""
	return m
}

func randomSource() *rand.Rand { return newRand(rand.Uint64(), rand.Uint64()) }

func newRand(seed1, seed2 uint64) *rand.Rand { return rand.New(rand.NewPCG(seed1, seed2)) }

// Board returns the board that the controller publishes on.
func (c *Controller) Board() *board.Board { return c.board }

// Run runs the control goroutine until ctx ends, then stops the owned groups,
// releases the shares and closes the clients.
func (c *Controller) Run(ctx context.Context) {
	c.ctx = ctx
	c.workers.Go(func() { c.pollHostList(ctx) })
	c.bootstrap()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		began := time.Now()
		c.step(began)
		if took := time.Since(began); took > slowStepThreshold {
			c.log.WithField("event", "control_slow").WithField("took", took).Warn("slow step of the control goroutine; failovers may be delayed")
		}
		timer.Reset(c.untilDeadline(time.Now()))
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-timer.C:
		case <-ticker.C:
		}
	}
	for _, g := range c.groups {
		g.retired.Store(true)
		g.stop()
	}
	for _, m := range c.shareManagers {
		m.cancel()
	}
	c.workers.Wait()
	c.groupClient.Close()
	c.peerClient.Close()
}

// post adds an event to the inbox of the control goroutine. It does not block.
func (c *Controller) post(e event) {
	c.mu.Lock()
	c.inbox = append(c.inbox, e)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Controller) takeEvents() []event {
	c.mu.Lock()
	defer c.mu.Unlock()
	inbox := c.inbox
	c.inbox = nil
	return inbox
}

func (c *Controller) step(now time.Time) {
	c.updateGuard(now)
	for _, e := range c.takeEvents() {
		e.apply(c, now)
	}
	c.sendProbes(c.table.Tick(now))
	c.tickConfig(now)
	c.stepGroups(now)
	settled := c.table.Settled(now)
	if c.stale || c.settled != settled || c.appliedChange != c.table.ChangeCount() {
		c.stale = false
		c.settled = settled
		c.refreshMembers()
		c.reconcileGroups()
		c.publish()
	}
}

// refreshMembers copies the members from the table if it has changed.
func (c *Controller) refreshMembers() {
	if c.members != nil && c.appliedChange == c.table.ChangeCount() {
		return
	}
	c.appliedChange = c.table.ChangeCount()
	c.members = c.table.Members()
	c.syncMembers()
	c.ownership.SetMembers(c.members)
}

// publish publishes the current state on the board.
func (c *Controller) publish() {
	v := &board.View{
		Self:        c.table.Self(),
		Config:      c.config,
		Members:     c.members,
		Owned:       c.ownership.Assignment(),
		Policies:    c.policies,
		Groups:      make(map[string]*board.Group, len(c.groups)),
		ConfigReady: c.configReady,
		Draining:    c.draining,
	}
	for name, g := range c.groups {
		// Views are immutable, while the control goroutine modifies its own copy.
		published := g.Group
		v.Groups[name] = &published
	}
	c.board.Publish(v)
}

// Leave announces to the other hosts that this one is about to stop, and gives
// up the ownership of its databases.
func (c *Controller) Leave() { c.post(leaveRequested{}) }

type leaveRequested struct{}

func (leaveRequested) apply(c *Controller, now time.Time) {
	if c.draining {
		return
	}
	c.draining = true
	c.table.Leave(now)
	c.log.WithField("event", "leave").Info("host is leaving")
	c.stale = true
}
