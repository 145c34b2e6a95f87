// Package control runs a host's controllers. One goroutine owns the control
// state: the membership table, the failover machines of the owned databases
// and what follows from the configuration. It takes events from an inbox,
// publishes views on the board and leaves all I/O to worker goroutines, which
// post their results as events.
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
	// tickInterval is how often deadlines of the membership table are looked at.
	tickInterval = 100 * time.Millisecond
	// slowStep is half the interval of probes to a suspected primary; a slower
	// step of the control goroutine delays failovers.
	slowStepThreshold = 125 * time.Millisecond
	// hostsInterval is the least time between two reads of the platform's host
	// list. The list only names new hosts; probes tell which of them live.
	hostListInterval = 10 * time.Second
	// hostsIntervalPerHost makes the interval grow with the list, so that the
	// fleet reads it five times a second and the bytes of a host stay bounded.
	hostListIntervalPerHost = 200 * time.Millisecond
	// hostsRetry is how often it is tried until the first success.
	hostListRetry = 250 * time.Millisecond
)

// Options configure a Controller.
type Options struct {
	Self  membership.Member
	Peers []string
	// LocalIP is the source address of control connections.
	LocalIP netip.Addr
	// PeerClient reaches other hosts; nil takes twirp over TCP.
	PeerClient PeerClient
	// GroupClient reaches backend servers; nil takes the PostgreSQL protocol.
	GroupClient GroupClient
	// Rand is the source of random choices, used by the control goroutine; nil
	// takes a random seed.
	Rand  *rand.Rand
	Store platform.Store
	// DialSlot opens connections to backend servers for traffic.
	DialSlot route.DialFunc
	// StatementCheck tells slow statements from silent connections; nil for no check.
	StatementCheck route.StatementCheck
	Recorder       route.Recorder
	Members        membership.Options
	// Drain is called when an operator asks for a graceful shutdown.
	Drain func(timeout time.Duration)
	Log   *logrus.Entry
}

// event is an input of the control goroutine.
type event interface {
	apply(c *Controller, now time.Time)
}

// Controller owns the control state of a host.
type Controller struct {
	opts  Options
	board *board.Board
	peers PeerClient
	slots GroupClient
	log   *logrus.Entry

	// The rest is used by the control goroutine only.
	ctx         context.Context
	table       *membership.Table
	config      *config.Snapshot
	configReady bool
	sync        *confsync.Machine
	nextSync    time.Time
	// stopWatch ends this host's watch of the store; nil if it does not watch.
	stopWatch context.CancelFunc
	draining  bool
	groups    map[string]*ownedGroup
	// shareManagers holds the shares of databases owned now or until lately.
	shareManagers map[string]*shareManager
	policies      map[string]*route.Policy
	// contact is when the latest answered probe was sent.
	lastContact time.Time
	// deaths is the table's count when it was last looked at.
	refutedDeaths uint64
	// settled says that ownership may be derived from the table.
	settled bool
	// placed is the table's change count for which ownership was computed.
	appliedChange uint64
	// members are the table's members at that count.
	members   []membership.Member
	ownership *membership.Ownership
	// stale says that ownership or the view must be computed again.
	stale bool

	guard    shareGuard
	executor confsync.Executor
	// published is what peers are answered from, and configVersion the version
	// that probes carry.
	published     atomic.Pointer[confsync.Published]
	configVersion atomic.Uint64

	workers sync.WaitGroup
	mu      sync.Mutex
	inbox   []event
	wake    chan struct{}
}

// New returns a controller that has published a first view without
// configuration.
func New(o Options) *Controller {
	now := time.Now()
	o = o.withDefaults()
	c := &Controller{
		opts:          o,
		peers:         o.PeerClient,
		slots:         o.GroupClient,
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
	c.sync = confsync.New(confsync.Options{Self: o.Self.Name, Zone: o.Self.Zone, Rand: o.Rand, Start: now})
	c.published.Store(c.sync.Published())
	c.executor = confsync.Executor{Self: o.Self.Name, Peers: configPeers{c}, Store: o.Store}
	c.board = board.New(&board.View{Self: o.Self, Config: c.config})
	return c
}

// joining is a member before it has reached the store.
func asJoining(m membership.Member) membership.Member {
	m.ForwardAddress = ""
	return m
}

func randomSource() *rand.Rand { return newRand(rand.Uint64(), rand.Uint64()) }

func newRand(seed1, seed2 uint64) *rand.Rand { return rand.New(rand.NewPCG(seed1, seed2)) }

// Board returns the board that the controller publishes on.
func (c *Controller) Board() *board.Board { return c.board }

// Run owns the control state until ctx ends, then stops the owned groups.
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
			c.log.WithField("event", "control_slow").WithField("took", took).Warn("a step of the control goroutine was slow")
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
	c.slots.Close()
	c.peers.Close()
}

// post hands an event to the control goroutine. It does not block.
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

// followMembers takes over the members if the table has changed.
func (c *Controller) refreshMembers() {
	if c.members != nil && c.appliedChange == c.table.ChangeCount() {
		return
	}
	c.appliedChange = c.table.ChangeCount()
	c.members = c.table.Members()
	c.syncMembers()
	c.ownership.SetMembers(c.members)
}

// publish puts the current state on the board.
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
		// A copy, because the control goroutine goes on changing its own.
		published := g.Group
		v.Groups[name] = &published
	}
	c.board.Publish(v)
}

// Leave tells the other hosts that this one is about to stop and gives up its
// databases.
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
