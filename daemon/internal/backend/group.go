package backend

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/freshness"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/placement"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// Recorder counts what happens to connections.
type Recorder interface {
	ConnectionOpened(service string)
	PrimaryChanged(service, server string, term group.Term)
}

// Options configure the groups of a host.
type Options struct {
	Backends statement.Backends
	Recorder Recorder
	// Now must also count while the host is suspended.
	Now func() time.Time
	// Zone is that of the host; RegionOf maps zones to regions.
	Zone     string
	RegionOf map[string]string
}

// Group is a service with its backend servers, as this host sees it.
type Group struct {
	options Options
	name    string
	// Fresh holds the samples of the primary.
	Freshness freshness.Tracker

	// share is the number of connections that this host may have to a server.
	connectionShare atomic.Int32
	// used is when a statement last looked for a server, in nanoseconds of the
	// clock.
	lastUsed atomic.Int64
	// asked is when another host last asked for samples, in nanoseconds of the
	// clock.
	lastSampleRequest atomic.Int64
	// scarce tells that the hosts cannot all have minShare connections.
	connectionsScarce atomic.Bool
	// crowded tells that the hosts cannot all have one connection.
	fewerConnectionsThanHosts atomic.Bool

	mu      sync.Mutex
	pools   map[string]*Pool
	primary *Pool
	term    group.Term
	// verified is when a statement was sent that the primary accepted as such.
	verifiedAt time.Time
	// relayed is the time of the latest sample that another host gave.
	relayedSampleAt time.Time
	// denied holds when servers last denied to lead, claims which servers are
	// registered as the primary.
	notPrimaryAt        map[string]time.Time
	registeredPrimaries map[string]bool
	// vacant is since when no primary is known.
	noPrimarySince time.Time
	primaryChanged chan struct{}
	probes         probeState
}

const (
	// minShare is the number of connections that a host needs to a server, so
	// that one open transaction does not hold up the other statements. Where the
	// limit does not give as many to each host, hosts share the connections in
	// time: one that is unused for scarceIdle is closed.
	minShare      = 3
	scarceMaxIdle = 250 * time.Millisecond
	// usualIdle is how long unused connections are kept elsewhere; the backend
	// servers close them after a minute.
	maxIdle = 30 * time.Second
)

// CloseIdle closes the connections that have not been used for long.
func (g *Group) CloseIdle() {
	maxUnused := maxIdle
	if g.connectionsScarce.Load() {
		maxUnused = scarceMaxIdle
	}
	primary, keepsProbeConn := g.Primary(), g.keepsProbeConn()
	for _, p := range g.Pools() {
		p.closeIdle(maxUnused)
		if !keepsProbeConn || p != primary {
			p.closeProbeConn()
		}
	}
}

// NewGroup returns a group without servers.
func NewGroup(name string, options Options) *Group {
	g := &Group{
		options: options, name: name, pools: map[string]*Pool{}, notPrimaryAt: map[string]time.Time{},
		primaryChanged: make(chan struct{}), noPrimarySince: options.Now(),
	}
	g.connectionShare.Store(1)
	return g
}

// Name returns the name of the service.
func (g *Group) Name() string { return g.name }

// SetService takes the limits of the service and the number of live hosts.
func (g *Group) SetService(s catalog.Service, hosts int) {
	hosts = max(hosts, 1)
	fairShare := (s.ConnectionLimit + hosts - 1) / hosts
	g.connectionsScarce.Store(fairShare < minShare)
	g.fewerConnectionsThanHosts.Store(s.ConnectionLimit < hosts)
	g.connectionShare.Store(int32(max(min(minShare, s.ConnectionLimit), fairShare)))
}

// SetServers takes the registered servers of the service.
func (g *Group) SetServers(servers []catalog.Server) {
	var removed []*Pool
	g.mu.Lock()
	present := map[string]bool{}
	for _, s := range servers {
		present[s.ID] = true
		p := g.pools[s.ID]
		if p != nil && (p.Server().Address != s.Address || p.Server().StartedUnixMilli != s.StartedUnixMilli) {
			removed = append(removed, g.removePool(s.ID))
			p = nil
		}
		if p == nil {
			g.pools[s.ID] = newPool(g, s)
			continue
		}
		p.setServer(s)
	}
	for id := range g.pools {
		if !present[id] {
			removed = append(removed, g.removePool(id))
		}
	}
	g.applyRegistrations(servers)
	g.mu.Unlock()
	for _, p := range removed {
		p.close()
	}
}

func (g *Group) removePool(id string) *Pool {
	p := g.pools[id]
	delete(g.pools, id)
	delete(g.notPrimaryAt, id)
	if g.primary == p {
		g.setPrimary(nil)
	}
	return p
}

// claimTrust is how long a server that denied to lead is not believed when it
// is registered as the primary.
const claimDistrust = time.Second

// followClaims believes a server that begins to claim that it leads, and any
// server that claims so if no primary is known or the known one no longer does.
// The entry of a lost primary goes on claiming until it lapses. The caller
// holds the lock.
func (g *Group) applyRegistrations(servers []catalog.Server) {
	var claimant, newlyRegistered *Pool
	current := false
	claims := map[string]bool{}
	for i := range servers {
		s := &servers[i]
		if !s.Primary {
			continue
		}
		claims[s.ID] = true
		p := g.pools[s.ID]
		switch {
		case p == g.primary:
			current = true
		case g.options.Now().Sub(g.notPrimaryAt[s.ID]) < claimDistrust:
		case !g.registeredPrimaries[s.ID]:
			newlyRegistered = p
		default:
			claimant = p
		}
	}
	g.registeredPrimaries = claims
	switch {
	case newlyRegistered != nil:
		g.setPrimary(newlyRegistered)
	case !current && claimant != nil:
		g.setPrimary(claimant)
	}
}

// setPrimary changes the belief and wakes those who wait. The caller holds the lock.
func (g *Group) setPrimary(p *Pool) {
	if p == g.primary {
		return
	}
	g.primary = p
	g.probes.reset()
	if p == nil {
		g.noPrimarySince = g.options.Now()
	} else {
		g.options.Recorder.PrimaryChanged(g.name, p.Server().ID, g.term)
	}
	close(g.primaryChanged)
	g.primaryChanged = make(chan struct{})
}

// Leads takes the proof that the server led when a statement was sent, and the
// end of its log thereafter.
func (g *Group) ConfirmPrimary(p *Pool, sent time.Time, position group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if position.Term < g.term || g.pools[p.Server().ID] != p {
		return
	}
	g.term = position.Term
	g.Freshness.Add(sent, position)
	if sent.After(g.verifiedAt) {
		g.verifiedAt = sent
	}
	delete(g.notPrimaryAt, p.Server().ID)
	g.setPrimary(p)
	g.probes.reset()
}

// Denies takes the refusal of a server to act as the primary.
func (g *Group) RecordNotPrimary(p *Pool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notPrimaryAt[p.Server().ID] = g.options.Now()
	if g.primary == p {
		g.setPrimary(nil)
	}
}

// Primary returns the pool of the primary, nil if none is known.
func (g *Group) Primary() *Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// ErrNoPrimary means that the service has no primary as far as the host knows.
var ErrNoPrimary = errors.New("service has no primary")

// suspicionPoll separates looks at a primary that is suspected.
const suspectPollInterval = 20 * time.Millisecond

// WaitPrimary returns the pool of the primary. It waits while none is known, and
// while the known one does not answer: the outcome of a write that is sent to a
// lost server would be unknown, one that was not sent can be refused.
func (g *Group) WaitPrimary(ctx context.Context) (*Pool, error) {
	g.lastUsed.Store(g.options.Now().UnixNano())
	for {
		g.mu.Lock()
		p, changed, suspected := g.primary, g.primaryChanged, g.probes.isSuspected()
		g.mu.Unlock()
		if p != nil && !suspected {
			return p, nil
		}
		var poll <-chan time.Time
		if suspected {
			poll = time.After(suspectPollInterval)
		}
		select {
		case <-changed:
		case <-poll:
		case <-ctx.Done():
			return nil, ErrNoPrimary
		}
	}
}

// Choose returns the pool for a read, nil if every server was tried.
func (g *Group) SelectForRead(tried map[*Pool]bool) *Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	g.lastUsed.Store(now.UnixNano())
	var pools []*Pool
	var candidates []placement.Candidate
	for _, p := range g.pools {
		if tried[p] || !p.usable() {
			continue
		}
		c := p.candidate(now)
		c.Distance = g.distance(p.Server().Zone)
		c.Primary = p == g.primary
		pools = append(pools, p)
		candidates = append(candidates, c)
	}
	i := placement.Choose(candidates)
	if i < 0 {
		return nil
	}
	return pools[i]
}

func (g *Group) distance(zone string) placement.Distance {
	switch {
	case zone == g.options.Zone:
		return placement.SameZone
	case g.options.RegionOf[zone] == g.options.RegionOf[g.options.Zone]:
		return placement.SameRegion
	default:
		return placement.OtherRegion
	}
}

// Health is what the host knows of the primary of a service.
type Health struct {
	// Primary is the ID of the primary, empty for none.
	Primary string
	Term    group.Term
	// Doubted tells that the primary missed a probe, Suspected that it does not
	// answer.
	ProbeFailed, Suspected bool
	// Verified is when the primary last proved to lead, Vacant since when none
	// is known.
	VerifiedAt     time.Time
	NoPrimarySince time.Time
}

// Health returns what the host knows of the primary.
func (g *Group) Health() Health {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := Health{Term: g.term, VerifiedAt: g.verifiedAt, NoPrimarySince: g.noPrimarySince, ProbeFailed: g.probes.misses+g.probes.refusals > 0, Suspected: g.probes.isSuspected()}
	if g.primary != nil {
		h.Primary = g.primary.Server().ID
	}
	return h
}

// Pools returns the pools of all servers.
func (g *Group) Pools() []*Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*Pool, 0, len(g.pools))
	for _, p := range g.pools {
		out = append(out, p)
	}
	return out
}

// Close closes all connections that are not in use.
func (g *Group) Close() {
	for _, p := range g.Pools() {
		p.close()
	}
}
