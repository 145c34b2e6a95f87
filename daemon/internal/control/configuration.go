package control

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/confsync"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/daemon/internal/board"
	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

// fetchTimeout bounds one transfer of configuration between hosts.
const fetchTimeout = 2 * time.Second

// configPeers sends the messages of configuration synchronisation to other
// hosts.
type configPeers struct {
	c *Controller
}

var _ confsync.Peers = configPeers{}

// Announce implements confsync.Peers.
func (p configPeers) Announce(ctx context.Context, name string, version uint64) (uint64, error) {
	address, err := p.address(name)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.c.opts.Members.ProbeTimeout)
	defer cancel()
	resp, err := p.c.peerClient.Probe(ctx, address, &peerapi.ProbeRequest{From: p.c.opts.Self.Name, ConfigVersion: version})
	if err != nil {
		return 0, err
	}
	return resp.GetConfigVersion(), nil
}

// FetchConfig implements confsync.Peers.
func (p configPeers) FetchConfig(ctx context.Context, name string, r *peerapi.FetchConfigRequest) (*peerapi.FetchConfigResponse, error) {
	address, err := p.address(name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	resp, err := p.c.peerClient.Peer(address).FetchConfig(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("fetch configuration from %s: %w", name, err)
	}
	return resp, nil
}

func (p configPeers) address(name string) (string, error) {
	for _, m := range p.c.board.View().Members {
		if m.Name == name {
			return m.PeerAddress, nil
		}
	}
	return "", fmt.Errorf("host %s is not known", name)
}

// configEvent is an event for the configuration synchronisation machine.
type configEvent struct{ event confsync.Event }

func (e configEvent) apply(c *Controller, now time.Time) {
	c.execute(c.configSync.Handle(now, e.event))
	c.applySyncState()
}

// tickConfig ticks the synchronisation machine, and starts or stops this host's
// watch of the store.
func (c *Controller) tickConfig(now time.Time) {
	if !now.Before(c.nextSyncTick) {
		c.nextSyncTick = now.Add(confsync.TickInterval)
		c.execute(c.configSync.Tick(now))
		c.applySyncState()
	}
	switch watching := c.configSync.Watching(); {
	case watching && c.stopWatch == nil:
		c.startWatch()
	case !watching && c.stopWatch != nil:
		c.stopWatch()
		c.stopWatch = nil
	}
}

func (c *Controller) execute(actions []confsync.Action) {
	for _, a := range actions {
		c.workers.Go(func() { c.post(configEvent{c.executor.Execute(c.ctx, a, c.published.Load())}) })
	}
}

// applySyncState applies the configuration, version and readiness that the
// synchronisation machine holds.
func (c *Controller) applySyncState() {
	c.configVersion.Store(c.configSync.Version())
	if ready := c.configSync.Ready(); ready != c.configReady {
		c.configReady = ready
		c.stale = true
	}
	published := c.configSync.Published()
	if published == c.published.Load() {
		return
	}
	c.published.Store(published)
	snapshot := published.Snapshot()
	c.log.WithField("event", "config_in_force").
		WithField("version", snapshot.Version()).
		WithField("previous", c.config.Version()).
		Info("configuration version took effect")
	c.policies = mergePolicies(c.policies, c.config, snapshot)
	c.config = snapshot
	c.ownership.SetDatabases(ownershipDatabases(snapshot))
	c.stale = true
}

// mergePolicies returns the routing policies of the services in next. A service
// that is unchanged since previous keeps its policy.
func mergePolicies(policies map[string]*route.Policy, previous, next *config.Snapshot) map[string]*route.Policy {
	out := make(map[string]*route.Policy, next.Len())
	next.EachDatabase(func(ref config.DatabaseRef) bool {
		name := ref.Service.Name
		if _, ok := out[name]; ok {
			return true
		}
		policy, ok := policies[name]
		if !ok || previous.Service(name) != ref.Service {
			policy = route.NewPolicy(ref.Service)
		}
		out[name] = policy
		return true
	})
	return out
}

// ownershipDatabases lists the databases of a snapshot with their home regions,
// from which ownership is computed.
func ownershipDatabases(snapshot *config.Snapshot) []membership.Database {
	out := make([]membership.Database, 0, snapshot.DatabaseCount())
	snapshot.EachDatabase(func(ref config.DatabaseRef) bool {
		out = append(out, membership.Database{Name: ref.Database.Name, Region: board.HomeRegion(ref.Database)})
		return true
	})
	return out
}

// startWatch starts a watch of the configuration in the store. This host applies
// the updates and passes them on to its peers.
func (c *Controller) startWatch() {
	ctx, stop := context.WithCancel(c.ctx)
	c.stopWatch = stop
	w := confstore.Watcher{
		Store:       c.opts.Store,
		Snapshot:    func() *config.Snapshot { return c.published.Load().Snapshot() },
		OnUpdate:    func(u confstore.Update) { c.post(configEvent{confsync.StoreUpdate{Update: u}}) },
		OnConfirmed: func(v uint64) { c.post(configEvent{confsync.StoreVersion{Version: v}}) },
		OnError: func(err error) {
			c.log.WithField("event", "config_watch_failed").WithError(err).Warn("failed to watch the configuration in the store")
		},
	}
	c.workers.Go(func() { w.Run(ctx) })
}

// syncMembers passes the live hosts to the synchronisation machine.
func (c *Controller) syncMembers() {
	var live []confsync.Member
	for _, m := range c.members {
		if m.State == membership.Alive || m.State == membership.Suspect {
			live = append(live, confsync.Member{Name: m.Name, Zone: m.Zone})
		}
	}
	c.configSync.SetMembers(live)
}
