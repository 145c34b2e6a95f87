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
	"github.com/gypsumgap/gypsumgap/core/writelease"
)

// Recorder is notified of new connections and of changes of the primary.
type Recorder interface {
	// ConnectionOpened records a new connection to a backend server of the service.
	ConnectionOpened(service string)
	// PrimaryChanged records that the host considers the server the primary of the
	// service.
	PrimaryChanged(service, server string, term group.Term)
	// SessionChangeRefused records that a server refused to set a session value or to
	// prepare a statement, so that the statement of the caller was not sent.
	SessionChangeRefused(service, server string, code statement.Code)
}

// Options are the settings that the groups of a host share.
type Options struct {
	Backends statement.Backends
	Recorder Recorder
	// Now returns the current time. Its clock must also advance while the host is
	// suspended.
	Now func() time.Time
	// Zone is the availability zone of the host.
	Zone string
	// RegionOf maps each availability zone to its region.
	RegionOf map[string]string
	// WriteLease limits the use of primaries; nil if the platform stops replaced
	// primaries by itself.
	WriteLease *writelease.Lease
}

// Group is a service and its backend servers as seen by this host.
type Group struct {
	options Options
	name    string
	// Freshness holds the log positions sampled from the primary.
	Freshness freshness.Tracker

	// connectionShare is the number of connections that this host may have to one
	// server.
	connectionShare atomic.Int32
	// lastUsed is when a statement or another host last needed a server of the
	// group, in nanoseconds of options.Now.
	lastUsed atomic.Int64
	// lastSampleRequest is when another host last requested samples, in
	// nanoseconds of options.Now.
	lastSampleRequest atomic.Int64
	// connectionsScarce is true if the limit does not allow minShare connections
	// for each host.
	connectionsScarce atomic.Bool
	// suspended is the suspension of the primary; nil if there is none.
	suspended atomic.Pointer[suspension]
	// fewerConnectionsThanHosts is true if the limit does not allow one connection
	// for each host, or some hosts own the connections.
	fewerConnectionsThanHosts atomic.Bool

	mu      sync.Mutex
	pools   map[string]*Pool
	primary *Pool
	term    group.Term
	// verifiedAt is when the last statement that proved the primary's role was
	// sent.
	verifiedAt time.Time
	// relayedSampleAt is the time of the latest sample obtained from another host.
	relayedSampleAt time.Time
	// notPrimaryAt holds when each server last refused to act as the primary, by
	// ID.
	notPrimaryAt map[string]time.Time
	// registeredPrimaries holds the IDs of the servers that are registered as the
	// primary.
	registeredPrimaries map[string]bool
	// noPrimarySince is when the primary became unknown.
	noPrimarySince time.Time
	// primaryChanged is closed and replaced when the primary changes.
	primaryChanged chan struct{}
	probes         probeState
	// retiringPools holds the removed pools on which statements are outstanding.
	retiringPools []*Pool

	// owners are the hosts that run the statements of this one, and held the open
	// transactions of other hosts.
	owners ownerList
	held   heldConns
	// transactionIdleTimeout is the idle timeout of transactions in nanoseconds.
	transactionIdleTimeout atomic.Int64
}

const (
	// minShare is the number of connections that a host needs to each server, so
	// that one open transaction does not block the other statements. If the limit
	// allows fewer for each host, hosts take turns in using the connections.
	minShare = 3
	// scarceMaxIdle is how long an unused connection is kept while hosts take
	// turns.
	scarceMaxIdle = 250 * time.Millisecond
	// maxIdle is how long unused connections are otherwise kept. Backend servers
	// close them after a minute.
	maxIdle = 30 * time.Second
)

// CloseIdle closes the connections that have been unused for too long, and
// probe connections that are no longer needed.
func (g *Group) CloseIdle() {
	maxUnused := maxIdle
	switch {
	case g.forwards():
		// The owners need the connections that this host opened before it had owners.
		maxUnused = 0
	case g.connectionsScarce.Load():
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

// SetService applies the connection limit of the service and the number of live
// hosts. The hosts that own the connections share them.
func (g *Group) SetService(s catalog.Service, hosts int) {
	hosts = max(hosts, 1)
	owners := OwnerCount(s.ConnectionLimit, hosts)
	g.fewerConnectionsThanHosts.Store(s.ConnectionLimit < hosts || owners > 0)
	// Rounding up would let some hosts take all connections and starve the others.
	fairShare := s.ConnectionLimit / hosts
	if owners > 0 {
		fairShare = ownerShare(s.ConnectionLimit, owners)
	}
	g.connectionsScarce.Store(fairShare < minShare)
	g.connectionShare.Store(int32(max(min(minShare, s.ConnectionLimit/max(owners, 1)), fairShare, 1)))
}

// SetServers replaces the set of registered servers of the service. It closes
// the pools of servers that are no longer registered, have moved or were
// restarted.
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
	unverified := g.applyRegistrations(servers)
	g.mu.Unlock()
	g.verifyClaims(unverified)
	for _, p := range removed {
		p.close()
	}
}

// removePool removes the pool of a server, which the caller must close. The
// caller must hold g.mu.
func (g *Group) removePool(id string) *Pool {
	p := g.pools[id]
	if p.outstanding.Load() > 0 {
		g.retiringPools = append(g.retiringPools, p)
	}
	delete(g.pools, id)
	delete(g.notPrimaryAt, id)
	if g.primary == p {
		g.setPrimary(nil)
	}
	return p
}

// claimIgnorePeriod is how long the registration of a server as the primary is
// ignored after the server refused to act as one.
const claimIgnorePeriod = time.Second

// applyRegistrations sets the primary from the registrations. A server that
// newly registers as the primary is accepted at once. One that was already
// registered so is accepted only if the current primary is unknown or no longer
// registered as such, because the entry of a lost primary remains until it
// lapses. It returns the servers whose claim has to be verified first. The caller
// must hold g.mu.
func (g *Group) applyRegistrations(servers []catalog.Server) (unverified []*Pool) {
	var otherRegistered, newlyRegistered *Pool
	primaryRegistered := false
	registered := map[string]bool{}
	for i := range servers {
		s := &servers[i]
		if !s.Primary {
			continue
		}
		registered[s.ID] = true
		p := g.pools[s.ID]
		switch {
		case p == g.primary:
			primaryRegistered = true
		case g.options.Now().Sub(g.notPrimaryAt[s.ID]) < claimIgnorePeriod:
		case g.isRevoked(p.primaryTerm()):
			unverified = append(unverified, p)
		case !g.registeredPrimaries[s.ID]:
			newlyRegistered = p
		default:
			otherRegistered = p
		}
	}
	g.registeredPrimaries = registered
	switch {
	case newlyRegistered != nil:
		g.setPrimary(newlyRegistered)
	case !primaryRegistered && otherRegistered != nil:
		g.setPrimary(otherRegistered)
	}
	return unverified
}

// setPrimary replaces the known primary and wakes waiting statements. The
// caller must hold g.mu.
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

// ConfirmPrimary records that the server was the primary when a statement was
// sent at the given time, and the end of its log that the statement returned. The
// host must have been allowed to use the server as the primary at that time.
func (g *Group) ConfirmPrimary(p *Pool, sent time.Time, position group.Position) {
	g.confirmPrimary(p, sent, position, true)
}

// confirmPrimary implements ConfirmPrimary. isSample is false if the host held no
// write lease when the statement was sent: another server may have been the
// primary by then, so the position does not show how fresh a log is.
func (g *Group) confirmPrimary(p *Pool, sent time.Time, position group.Position, isSample bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if position.Term < g.term || g.pools[p.Server().ID] != p || g.isRevoked(max(position.Term, p.primaryTerm())) {
		return
	}
	g.term = position.Term
	p.raiseTerm(position.Term)
	if isSample {
		g.Freshness.Add(sent, position)
	}
	if sent.After(g.verifiedAt) {
		g.verifiedAt = sent
	}
	delete(g.notPrimaryAt, p.Server().ID)
	g.setPrimary(p)
	g.probes.reset()
}

// RecordNotPrimary records that the server refused to act as the primary.
func (g *Group) RecordNotPrimary(p *Pool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notPrimaryAt[p.Server().ID] = g.options.Now()
	if g.primary == p {
		g.setPrimary(nil)
	}
}

// Primary returns the pool of the primary, or nil if none is known.
func (g *Group) Primary() *Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// ErrNoPrimary means that the host knows no primary of the service.
var ErrNoPrimary = errors.New("service has no primary that answers")

// suspectPollInterval is the time between checks of a primary that is suspected
// to have failed.
const suspectPollInterval = 20 * time.Millisecond

// WaitPrimary returns the pool of the primary. It waits while none is known or
// the known one is suspected to have failed, because the outcome of a write
// sent to a failed server would be unknown, whereas a write that was not sent
// can be refused, and while it is suspended. It fails with ErrNoPrimary when ctx ends, and with
// ErrNoWriteLease if the host has held no lease for writeLeaseWait.
func (g *Group) WaitPrimary(ctx context.Context) (*Pool, error) {
	startedAt := g.options.Now()
	g.lastUsed.Store(startedAt.UnixNano())
	for {
		leased := g.hasWriteLease()
		if !leased && g.options.Now().Sub(startedAt) >= writeLeaseWait {
			return nil, ErrNoWriteLease
		}
		g.mu.Lock()
		p, changed, unusable := g.primary, g.primaryChanged, g.probes.isSuspected()
		g.mu.Unlock()
		unusable = unusable || p != nil && g.isSuspended(p)
		if p != nil && !unusable && leased {
			return p, nil
		}
		var poll <-chan time.Time
		if unusable || !leased {
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

// SelectForRead returns the pool of the server that should serve a read, or nil
// if no untried server is usable.
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

// Health is the state of the primary of a service as known to this host.
type Health struct {
	// Primary is the ID of the primary; empty if none is known.
	Primary string
	// Term is the highest term of a log position known to this host.
	Term group.Term
	// PrimaryTerm is the highest term in which this host verified the primary; 0 if
	// it has not.
	PrimaryTerm group.Term
	// ProbeFailed is true if a probe of the primary failed since it was last
	// verified, and Suspected if enough of them failed for it to count as
	// unreachable.
	ProbeFailed, Suspected bool
	// VerifiedAt is when the last statement that proved the primary's role was
	// sent.
	VerifiedAt time.Time
	// NoPrimarySince is when the primary became unknown.
	NoPrimarySince time.Time
}

// Health returns the state of the primary as known to this host.
func (g *Group) Health() Health {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := Health{Term: g.term, VerifiedAt: g.verifiedAt, NoPrimarySince: g.noPrimarySince, ProbeFailed: g.probes.misses+g.probes.refusals > 0, Suspected: g.probes.isSuspected()}
	if g.primary != nil {
		h.Primary, h.PrimaryTerm = g.primary.Server().ID, g.primary.primaryTerm()
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

// Close closes the idle connections of all pools. Connections in use are closed
// when they are released.
func (g *Group) Close() {
	for _, p := range g.Pools() {
		p.close()
	}
}
