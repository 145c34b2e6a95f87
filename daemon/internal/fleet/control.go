// Package fleet runs a host that serves single statements on the users'
// platform.
//
// One goroutine, the controller, owns the host's knowledge of the fleet: the
// configuration, the registered backend servers, the lease of the promotion
// duty and the reports of other hosts. Watchers and background calls post their
// results to it. It publishes an immutable view, which the goroutines that
// serve callers read without a lock.
package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/lease"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/writelease"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// Timeouts and limits of the controller.
const (
	tickInterval = 100 * time.Millisecond
	// defaultHostCount is the number of hosts assumed until the registrations have
	// been read.
	defaultHostCount = 16
	eventQueueSize   = 256
	// maxTakeoverDelay bounds the random delay that keeps hosts from attempting to
	// take over the duty at the same time.
	maxTakeoverDelay = 400 * time.Millisecond
)

// View is a snapshot of the controller's state.
type View struct {
	// Configuration is the configuration in force; nil if none was received yet.
	Configuration *catalog.Configuration
	// Groups holds the groups by service.
	Groups map[string]*backend.Group
	// ServersListed is true once the backend servers have been listed.
	ServersListed bool
	// Draining is true once the host has begun to shut down.
	Draining bool
}

// PublishedView holds the latest view of a host. It is safe for concurrent use.
type PublishedView struct{ view atomic.Pointer[View] }

// View returns the latest view, which must not be modified.
func (p *PublishedView) View() *View { return p.view.Load() }

// Configuration returns the configuration in force, or nil if none was received
// yet.
func (p *PublishedView) Configuration() *catalog.Configuration { return p.View().Configuration }

// Route returns the route of a database name and the group of its service, or
// nil if there is none.
func (p *PublishedView) Route(database string) (*catalog.Route, *backend.Group) {
	v := p.View()
	if v.Configuration == nil {
		return nil, nil
	}
	route := v.Configuration.Routes[database]
	if route == nil {
		return nil, nil
	}
	g := v.Groups[route.Service]
	if g == nil {
		return nil, nil
	}
	return route, g
}

// options are the settings and dependencies of a controller.
type options struct {
	host        string
	incarnation string
	// peerAddress is the address at which this host serves other hosts.
	peerAddress string
	// peer returns a client for the host at the address.
	peer     func(address string) peerapi.Peer
	zone     string
	zones    map[string]string
	store    objects.Store
	promoter objects.Promoter
	// groups are the options of the groups. Its WriteLease is also that of the
	// controller.
	groups backend.Options
	// watchWait is how long a watch waits for a change. It bounds the delay of
	// changes that the store fails to report.
	watchWait time.Duration
	// heartbeatInterval is the time between the heartbeats of a backend server.
	heartbeatInterval time.Duration
	// now returns the current time. Its clock must also advance while the host is
	// suspended.
	now func() time.Time
	// scope receives the metrics of the control state.
	scope tally.Scope
	log   *logrus.Entry
}

// controller owns the control state of a host. Only the goroutine of run accesses
// the state; others use published or post an event.
type controller struct {
	options
	published *PublishedView
	// events holds functions that the goroutine of run calls.
	events chan func()

	// feed holds what this host passes on to its followers, and followState what the
	// controller shares with the follower of this host.
	feed        *feed
	followState followState
	startedAt   time.Time

	configuration *catalog.Configuration
	groups        map[string]*backend.Group
	servers       map[string]*registeredServer
	// lastRegistered is when a new server of each service last registered.
	lastRegistered map[string]time.Time
	// lostServers holds the servers whose entries have lapsed, by ID.
	lostServers map[string]lostServer
	// departedServers holds the servers that left after they had announced it, by ID.
	departedServers map[string]departedServer
	// lostLogs holds the logs that receive nothing any more, and logRecords the holder's
	// state of the stored logs.
	lostLogs   map[logID]lostLog
	logRecords logRecords
	// logSessions holds the holder's sessions with the servers whose logs it follows.
	logSessions map[logID]*backend.LogSession
	// logProofs holds when the connection was opened that is known to reach the process
	// whose log it is, by log.
	logProofs map[logID]time.Time
	// serversRegainedAt is when the entries of servers could last be read again.
	serversRegainedAt time.Time
	serversListed     bool
	draining          bool
	// departure is the planned stop of this host until the duty is handed over; nil
	// before and after that.
	departure *departure
	hostCount int
	// failingSince is when calls for each kind began to fail.
	failingSince map[objects.Kind]time.Time

	lease            *lease.Machine
	leaseCallRunning bool
	leaseReadAt      time.Time
	wasHolding       bool
	// storeEra is the highest era of the store that this host has seen.
	storeEra uint64
	// eraSeenAt is when this host first saw the store in that era, and leasedEra is that
	// era if the host had a valid write lease from an earlier one then.
	eraSeenAt time.Time
	leasedEra uint64
	// dutyUnconfirmed is true after the loss of the confirmation was logged.
	dutyUnconfirmed bool
	// leaseErr is the error of the last lease call; nil if it succeeded.
	leaseErr error
	// leaseFailedAt is when the last failed lease call ended.
	leaseFailedAt time.Time
	reports       map[string]receivedReport
	// stopReports ends the watch of reports; nil if there is none.
	stopReports        context.CancelFunc
	reportWriteRunning bool
	report             report
	reportWrittenAt    time.Time
	// reportRevision is the revision of the last written report.
	reportRevision objects.Revision
	// peers holds the other hosts by name.
	peers map[string]peerHost
	// polls holds the answers of other hosts about primaries, by service.
	polls map[string]*peerPoll
	relay relayState
	// writeLease is the write lease of this host; nil if the platform stops
	// replaced primaries by itself.
	writeLease   *writelease.Lease
	leaseRenewal leaseRenewal
	vouching     *vouching
	// revocationsReadAt is when the last successful read of the complete stored
	// revocations was sent, and revocationsReadEra the era of the store then.
	revocationsReadAt     time.Time
	revocationsReadEra    uint64
	completingRevocations bool
	registrations         *hostRegistry
	// registrationLost receives a value when the store may have forgotten the
	// registration of this host.
	registrationLost chan struct{}
	// dutyHeldUntil is the time until which this host certainly holds the
	// promotion duty with the token in dutyToken.
	dutyHeldUntil atomic.Int64
	dutyToken     atomic.Uint64
	// successions holds the state of promotions by service.
	successions map[string]*successionState
	// runAsync runs a function in a new goroutine with the context of run.
	runAsync func(func(context.Context))
}

func newController(o options) *controller {
	c := &controller{
		options: o, published: &PublishedView{}, events: make(chan func(), eventQueueSize),
		groups: map[string]*backend.Group{}, servers: map[string]*registeredServer{}, lastRegistered: map[string]time.Time{}, lostServers: map[string]lostServer{}, departedServers: map[string]departedServer{}, lostLogs: map[logID]lostLog{}, logSessions: map[logID]*backend.LogSession{}, logProofs: map[logID]time.Time{}, hostCount: defaultHostCount,
		failingSince: map[objects.Kind]time.Time{},
		lease:        lease.New(o.host, o.incarnation, rand.N(maxTakeoverDelay)),
		reports:      map[string]receivedReport{},
		successions:  map[string]*successionState{},
		polls:        map[string]*peerPoll{},
		feed:         newFeed(o.host+"/"+o.incarnation, o.now),
		followState:  followState{counted: make(chan struct{})},
		writeLease:   o.groups.WriteLease, vouching: &vouching{}, registrations: &hostRegistry{}, registrationLost: make(chan struct{}, 1),
	}
	c.publish()
	return c
}

// run processes events until ctx ends.
func (c *controller) run(ctx context.Context) {
	c.runAsync = func(work func(context.Context)) { go work(ctx) }
	c.startedAt = time.Now()
	go c.follow(ctx)
	go c.maintainRegistration(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			event()
		case <-ticker.C:
			c.tick()
		}
	}
}

// post passes an event to the controller's goroutine.
func (c *controller) post(ctx context.Context, event func()) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// tick does the periodic work.
func (c *controller) tick() {
	c.removeLapsedServers()
	holdsDuty := c.lease.Holding()
	for _, g := range c.groups {
		g.ProbeIfDue(holdsDuty)
		g.CloseIdle()
	}
	c.stepRelay()
	c.stepLease()
	c.publishDuty()
	c.recordDuty()
	c.stepWriteLease()
	c.stepReport()
	c.stepLogRecords()
	c.stepSuccession()
	c.stepDeparture()
}

// applyChange processes a change reported by a watcher.
func (c *controller) applyChange(ch storeChange) {
	if ch.err != nil {
		c.recordStoreFailure(ch)
		return
	}
	c.observeEra(ch.revision)
	if since, failed := c.failingSince[ch.kind]; failed {
		delete(c.failingSince, ch.kind)
		if ch.kind == objects.Servers {
			c.serversRegainedAt = c.now()
		}
		c.log.WithFields(logrus.Fields{"event": "store_regained", "kind": ch.kind.String(), "lost_ms": c.now().Sub(since).Milliseconds()}).
			Info("object store answers again; following its changes")
	}
	switch ch.kind {
	case objects.Configurations:
		c.applyConfiguration(ch)
	case objects.Servers:
		c.applyServers(ch)
	case objects.Reports:
		c.applyReports(ch)
	}
}

// observeEra records the era of the store as of a revision, and logs when the store
// went back to an older copy.
func (c *controller) observeEra(asOf objects.Revision) {
	era := asOf.Era()
	if era <= c.storeEra {
		return
	}
	before := c.storeEra
	c.storeEra, c.eraSeenAt = era, c.now()
	if before != 0 && c.writeLease != nil && c.writeLease.Valid(c.now()) {
		c.leasedEra = era
	}
	c.scope.Gauge("store_era").Update(float64(era))
	if before == 0 {
		return
	}
	c.log.WithFields(logrus.Fields{"event": "store_restored", "era": era, "before": before}).
		Warn("object store went back to an older copy; what was written since is lost")
	select {
	case c.registrationLost <- struct{}{}:
	default:
	}
}

func (c *controller) recordStoreFailure(ch storeChange) {
	if _, failed := c.failingSince[ch.kind]; failed {
		return
	}
	c.failingSince[ch.kind] = c.now()
	c.log.WithFields(logrus.Fields{"event": "store_lost", "kind": ch.kind.String()}).WithError(ch.err).
		Warn("object store call failed; retrying and continuing with the last known state")
}

func (c *controller) applyConfiguration(ch storeChange) {
	for _, o := range ch.objects {
		if o.Deleted {
			continue
		}
		if o.Err != nil {
			c.log.WithFields(logrus.Fields{"event": "configuration_skipped", "object": o.Name, "revision": o.Revision}).
				WithError(o.Err).Warn("configuration could not be decoded; keeping the one in force")
			continue
		}
		if c.configuration != nil && o.Configuration.Version <= c.configuration.Version {
			continue
		}
		c.configuration = o.Configuration
		c.log.WithFields(logrus.Fields{"event": "configuration", "version": o.Configuration.Version,
			"routes": len(o.Configuration.Routes), "revision": o.Revision}).Info("new configuration is in force")
	}
	c.updateGroups()
}

// updateGroups passes the configuration and the servers to the groups.
func (c *controller) updateGroups() {
	if c.configuration == nil {
		return
	}
	byService := map[string][]catalog.Server{}
	for _, r := range c.servers {
		byService[r.server.Service] = append(byService[r.server.Service], r.server)
	}
	groups := make(map[string]*backend.Group, len(c.configuration.Services))
	for name, s := range c.configuration.Services {
		g := c.groups[name]
		if g == nil {
			g = backend.NewGroup(name, c.options.groups)
		}
		g.SetService(s, c.hostCount)
		g.SetServers(byService[name])
		groups[name] = g
	}
	for name, g := range c.groups {
		if groups[name] == nil {
			g.SetServers(nil)
		}
	}
	c.groups = groups
	c.updateOwners()
	c.publish()
}

// publish makes the current state visible to other goroutines.
func (c *controller) publish() {
	c.published.view.Store(&View{Configuration: c.configuration, Groups: c.groups, ServersListed: c.serversListed, Draining: c.draining})
}

// decode parses the JSON value of an object written by a host, and reports
// whether it succeeded.
func decode(value []byte, to any) bool { return json.Unmarshal(value, to) == nil }
