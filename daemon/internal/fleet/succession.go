package fleet

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/succession"
	"github.com/gypsumgap/gypsumgap/core/writelease"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

const (
	// expiredLeaseDelay is how long a holder that cannot renew its lease leaves a
	// replacement to the host that may have taken over the duty.
	expiredLeaseDelay = 3 * time.Second
	// exclusionPeriod is how long a server whose promotion was refused is excluded
	// from the candidates.
	exclusionPeriod = 3 * time.Second
)

// successionState is the holder's state of the promotions of one service.
type successionState struct {
	// running is true while a replacement runs.
	running bool
	// dueSince is when a replacement became due; zero if none is due.
	dueSince time.Time
	// startedAt is when the last replacement started.
	startedAt time.Time
	// refused is true if the last replacement is known to have had no effect.
	refused bool
	// excludedUntil holds the time until which servers are excluded, by ID.
	excludedUntil map[string]time.Time
	// lastPrimary is the ID of the last primary that this host knew; empty if none.
	lastPrimary string
	// orderedAt is when the last promotion was ordered that may have an effect, and
	// replaced the last known primary before it; empty if there was none.
	orderedAt time.Time
	replaced  string
	// unresolvedOrder is the last promotion with a call whose outcome is unknown.
	// The platform may execute it until it has seen a higher token.
	unresolvedOrder objects.Promotion
	// pending is the replacement that is stored; nil if none has begun. It is used where
	// commits wait for replicas.
	pending *pendingReplacement
	// unfinished is true if commits wait for replicas and a replacement of the primary
	// replaced has begun whose order may still be carried out. The choice of its successor
	// holds only while the replicas receive nothing, so they stay paused and the
	// replacement is completed, also if that primary is well again.
	unfinished bool
}

// endUnfinished ends an unfinished replacement once another server leads: the one that
// was ordered, or any but the replaced one.
func (s *successionState) endUnfinished(primary string) {
	if primary != "" && (primary == s.unresolvedOrder.Server || s.replaced != "" && primary != s.replaced) {
		s.unfinished = false
	}
}

// mayTakeEffect reports whether the last promotion may still take effect, given the
// primary that this host knows.
func (s *successionState) mayTakeEffect(now time.Time, primary string) bool {
	ordered := !s.orderedAt.IsZero() && now.Sub(s.orderedAt) < succession.PromotionTimeout
	return ordered && (primary == "" || primary == s.replaced)
}

// stepSuccession replaces primaries while this host holds the duty.
func (c *controller) stepSuccession() {
	if !c.lease.Holding() || c.draining || !c.serversListed {
		return
	}
	now := c.now()
	// After a suspension, another host may hold the duty. While the store cannot
	// be reached, the platform's check of the fencing token is the only
	// protection.
	if !c.lease.Confirmed(now) && c.leaseErr == nil {
		return
	}
	if c.writeLease != nil && !c.lease.Confirmed(now) {
		// Nothing but this check protects the service: without write leases the
		// platform refuses the token of a former holder.
		return
	}
	for name, g := range c.groups {
		s := c.successionOf(name)
		if s.running || !c.knowsLogs(name) {
			continue
		}
		c.startPoll(name, g)
		s.endUnfinished(g.Health().Primary)
		view := c.successionView(name, g, s)
		reason := succession.Decide(now, view)
		if reason == succession.NoReplacement {
			s.dueSince = time.Time{}
			c.endReplacement(view.Primary, s)
			continue
		}
		if s.dueSince.IsZero() {
			s.dueSince = now
		}
		if c.lease.Expired(now) && now.Sub(s.dueSince) < expiredLeaseDelay {
			continue
		}
		c.startSuccession(g, s, view, reason)
	}
}

// successionView returns what this host knows about the service for a decision.
func (c *controller) successionView(name string, g *backend.Group, s *successionState) succession.View {
	h := g.Health()
	v := succession.View{
		Primary: h.Primary, Reachable: !h.Suspected, LiveHosts: c.hostCount, NoPrimarySince: h.NoPrimarySince,
		PromotionOrderedAt: s.startedAt, PromotionRefused: s.refused, Unfinished: s.unfinished,
	}
	if h.Term == 0 {
		// This host has never seen a primary; it may be about to register.
		v.LastRegisteredAt = c.lastRegistered[name]
	}
	if r := c.servers[h.Primary]; r != nil {
		v.Registered, v.Draining = r.missingSince.IsZero() || c.now().Sub(r.missingSince) < lapseGracePeriod, r.server.Draining
	}
	if h.Primary != "" {
		s.lastPrimary = h.Primary
		v.MissingReports, v.MissingReportedAt = c.countMissingReports(name, h.Primary)
		v.PolledHosts, v.PolledMissing = c.pollResult(name, h.Primary)
	}
	v.Candidates = len(c.candidates(g, s, h.Primary))
	return v
}

// candidates returns the servers that may be promoted. While the outcome of an
// order with the current token is unknown, only its server may be named again.
func (c *controller) candidates(g *backend.Group, s *successionState, primary string) []*backend.Pool {
	now := c.now()
	orderUnresolved := s.unresolvedOrder.Server != "" && s.unresolvedOrder.Token == c.lease.Token()
	var out []*backend.Pool
	for _, p := range g.Pools() {
		server := p.Server()
		if orderUnresolved && server.ID != s.unresolvedOrder.Server {
			continue
		}
		r := c.servers[server.ID]
		if server.ID == primary || server.Draining || r == nil || !r.missingSince.IsZero() || now.Before(s.excludedUntil[server.ID]) {
			continue
		}
		out = append(out, p)
	}
	return out
}

// startSuccession starts to replace the primary in the background.
func (c *controller) startSuccession(g *backend.Group, s *successionState, v succession.View, reason succession.Reason) {
	h := g.Health()
	replaced := cmp.Or(v.Primary, s.lastPrimary)
	job := &promotion{
		group: g, reason: reason, primary: g.Primary(), replaced: replaced, term: g.HighestTerm(), replicas: c.replicaLogs(g, s, h.Primary),
		syncReplicas: c.configuration.Services[g.Name()].SyncReplicas, holders: c.commitHolders(g.Name()),
		order:    objects.Promotion{Service: g.Name(), Holder: c.host, Token: c.lease.Token()},
		promoter: c.promoter, store: c.store, isSameRegion: c.isSameRegion, unfinished: s.unfinished, lastOrdered: s.unresolvedOrder.Server,
		isPlanned:  reason == succession.PrimaryDraining || reason == succession.PromotionUnfinished && v.Reachable && c.writeLease == nil,
		isRecorded: c.isRecorded(g.Name(), replaced),
		log: c.log.WithFields(logrus.Fields{"service": g.Name(), "reason": string(reason), "primary": v.Primary, "term": h.Term,
			"token": c.lease.Token(), "missing_hosts": v.MissingReports, "hosts": v.LiveHosts}),
	}
	job.suspension = c.newSuspension(g, job)
	if job.syncReplicas > 0 && c.writeLease == nil {
		all := c.suspensionOf(g, "", job.log)
		job.endSuspension = func(ctx context.Context, server string) {
			all.server = server
			all.end(ctx)
		}
	}
	if c.writeLease != nil {
		job.revocation = c.newRevocation(g, job)
		job.holdsDuty = job.revocation.holdsDuty
	} else if job.syncReplicas > 0 {
		// The next holder takes over what this one has begun.
		token := job.order.Token
		job.holdsDuty = func() bool { return c.holdsDuty(token) }
	}
	s.running, s.startedAt, s.refused = true, c.now(), false
	job.log.WithField("event", "succession").Info("replacing the primary")
	c.runAsync(func(ctx context.Context) {
		err := job.run(ctx)
		c.post(ctx, func() { c.endSuccession(s, job, err) })
	})
}

// endSuccession processes the result of a replacement.
func (c *controller) endSuccession(s *successionState, job *promotion, err error) {
	s.running = false
	took := c.now().Sub(s.startedAt)
	if err == nil {
		// The state of the service is evaluated again after succession.PromotionTimeout.
		s.startedAt = c.now()
	}
	if err == nil || job.unresolved {
		s.orderedAt = c.now()
		if !s.unfinished {
			s.replaced = job.replaced
		}
	}
	if job.syncReplicas > 0 {
		s.unfinished = err != nil && (s.unfinished || job.unresolved)
	}
	if job.unresolved {
		s.unresolvedOrder = job.order
		c.lease.RaiseToken()
	}
	if err == nil {
		job.log.WithFields(logrus.Fields{"event": "promoted", "server": job.order.Server,
			"took_ms": took.Milliseconds()}).Info("platform promoted a backend server")
		return
	}
	if errors.Is(err, errNotRecorded) {
		s.refused = true
		c.recordReplacement(job.group.Name(), job.replaced)
		return
	}
	job.log.WithFields(logrus.Fields{"event": "promotion_failed", "server": job.order.Server}).WithError(err).
		Warn("promotion failed; the primary was not replaced")
	switch {
	case errors.Is(err, objects.ErrRefused):
		// Either the server is not running or another host holds the duty. The
		// renewal of the lease shows which, before another promotion is ordered.
		s.refused = true
		s.excludedUntil[job.order.Server] = c.now().Add(exclusionPeriod)
		c.lease.RequireRenewal()
	case errors.Is(err, errNoSuccessor):
		s.refused = true
		c.endReplacement(job.replaced, s)
	}
}

// newRevocation returns the revocation that precedes the promotion.
func (c *controller) newRevocation(g *backend.Group, job *promotion) *revocation {
	unconfirmed := map[string]string{}
	for name, p := range c.peers {
		unconfirmed[name] = p.address
	}
	token := job.order.Token
	return &revocation{
		lease: c.writeLease, store: c.store, peer: c.peer, host: c.host, era: c.lease.Era(), group: g, primary: job.primary,
		predecessors: c.lease.Predecessors(), progress: writelease.Progress{TookOverAt: c.lease.ClaimedAt(), EraSeenAt: c.eraSeenAt}, registrations: c.registrations, now: c.now,
		holdsDuty: func() bool { return c.holdsDuty(token) }, log: job.log, unconfirmed: unconfirmed, confirmed: map[string]bool{},
	}
}

// isSameRegion reports whether the zone is in the region of this host.
func (c *controller) isSameRegion(zone string) bool { return c.zones[zone] == c.zones[c.zone] }
