package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/succession"
	"github.com/gypsumgap/gypsumgap/core/writelease"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// Timeouts and limits of a promotion.
const (
	// commandTimeout bounds a command to a backend server.
	commandTimeout = 500 * time.Millisecond
	// promoteTimeout bounds one call to the platform.
	promoteTimeout = 800 * time.Millisecond
	// promoteAttempts is the maximum number of calls for one promotion.
	promoteAttempts = 4
	// promoteRetryPause is the pause between these calls.
	promoteRetryPause = 150 * time.Millisecond
	// catchUpTimeout bounds the wait for the successor to receive the commits that
	// the former primary made before it stepped down.
	catchUpTimeout = 600 * time.Millisecond
	// catchUpPollInterval is the pause between status queries during that wait.
	catchUpPollInterval = 20 * time.Millisecond
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
	// orderedAt is when the last promotion was ordered that may have an effect, and
	// replaced the primary before it; empty if there was none.
	orderedAt time.Time
	replaced  string
	// unresolvedOrder is the last promotion with a call whose outcome is unknown.
	// The platform may execute it until it has seen a higher token.
	unresolvedOrder objects.Promotion
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
		s := c.successions[name]
		if s == nil {
			s = &successionState{excludedUntil: map[string]time.Time{}}
			c.successions[name] = s
		}
		if s.running {
			continue
		}
		c.startPoll(name, g)
		view := c.successionView(name, g, s)
		reason := succession.Decide(now, view)
		if reason == succession.NoReplacement {
			s.dueSince = time.Time{}
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
		PromotionOrderedAt: s.startedAt, PromotionRefused: s.refused,
	}
	if h.Term == 0 {
		// This host has never seen a primary; it may be about to register.
		v.LastRegisteredAt = c.lastRegistered[name]
	}
	if r := c.servers[h.Primary]; r != nil {
		v.Registered, v.Draining = r.missingSince.IsZero() || c.now().Sub(r.missingSince) < lapseGracePeriod, r.server.Draining
	}
	if h.Primary != "" {
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

// leavingReplicas returns the registered servers, other than the primary, that are
// about to stop.
func (c *controller) leavingReplicas(g *backend.Group, primary string) []*backend.Pool {
	var out []*backend.Pool
	for _, p := range g.Pools() {
		server := p.Server()
		if r := c.servers[server.ID]; server.ID != primary && server.Draining && r != nil && r.missingSince.IsZero() {
			out = append(out, p)
		}
	}
	return out
}

// startSuccession starts to replace the primary in the background.
func (c *controller) startSuccession(g *backend.Group, s *successionState, v succession.View, reason succession.Reason) {
	h := g.Health()
	job := &promotion{
		group: g, reason: reason, primary: g.Primary(), replaced: v.Primary, term: g.HighestTerm(), candidates: c.candidates(g, s, h.Primary),
		syncReplicas: c.configuration.Services[g.Name()].SyncReplicas, holders: c.commitHolders(g.Name()),
		order:    objects.Promotion{Service: g.Name(), Holder: c.host, Token: c.lease.Token()},
		promoter: c.promoter, isSameRegion: c.isSameRegion,
		log: c.log.WithFields(logrus.Fields{"service": g.Name(), "reason": string(reason), "primary": v.Primary, "term": h.Term,
			"token": c.lease.Token(), "missing_hosts": v.MissingReports, "hosts": v.LiveHosts}),
	}
	if job.syncReplicas > 0 {
		job.leaving = c.leavingReplicas(g, h.Primary)
	}
	if c.writeLease != nil {
		job.revocation = c.newRevocation(g, job)
		job.holdsDuty = job.revocation.holdsDuty
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
	if err == nil {
		// The state of the service is evaluated again after succession.PromotionTimeout.
		s.startedAt = c.now()
	}
	if err == nil || job.unresolved {
		s.orderedAt, s.replaced = c.now(), job.replaced
	}
	if job.unresolved {
		s.unresolvedOrder = job.order
		c.lease.RaiseToken()
	}
	if err == nil {
		job.log.WithFields(logrus.Fields{"event": "promoted", "server": job.order.Server,
			"took_ms": c.now().Sub(s.startedAt).Milliseconds()}).Info("platform promoted a backend server")
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

// promotion is one replacement of a primary.
type promotion struct {
	group   *backend.Group
	reason  succession.Reason
	primary *backend.Pool
	// replaced is the ID of the primary; empty if there was none.
	replaced string
	// term is the highest known term of the service.
	term       group.Term
	candidates []*backend.Pool
	// leaving holds the replicas that are about to stop. They cannot be promoted, but
	// their logs may hold commits that the candidates lack.
	leaving []*backend.Pool
	// syncReplicas is the number of replicas that must receive a commit before it
	// is acknowledged.
	syncReplicas int
	// holders are the servers whose logs may hold acknowledged commits.
	holders      commitHolders
	order        objects.Promotion
	promoter     objects.Promoter
	isSameRegion func(zone string) bool
	// revocation precedes the order; nil if the platform stops replaced primaries.
	revocation *revocation
	// holdsDuty reports whether this host still holds the duty; nil if the platform
	// checks fencing tokens.
	holdsDuty func() bool
	log       *logrus.Entry
	// unresolved is true if the outcome of a call is unknown, so that the order
	// may still be executed.
	unresolved bool
}

// errNoSuccessor means that no successor was chosen. Nothing was ordered.
var errNoSuccessor = errors.New("no replica can safely be promoted")

// run replaces the primary. If that fails, replicas that it paused resume.
func (p *promotion) run(ctx context.Context) error {
	err := p.replace(ctx)
	if err != nil && p.pausesReplicas() {
		p.resumeReplicas(ctx)
	}
	return err
}

// replace chooses the successor and orders its promotion.
func (p *promotion) replace(ctx context.Context) error {
	replicas := p.queryReplicas(ctx)
	best, err := p.chooseSuccessor(replicas)
	if err != nil {
		return err
	}
	switch {
	case p.revocation != nil:
		if best, err = p.revokePrimary(ctx); err != nil {
			return err
		}
	case p.reason == succession.PrimaryDraining:
		if best, err = p.demotePrimary(ctx, best); err != nil && p.syncReplicas > 0 {
			return err
		}
	}
	p.order.Server = best.ID
	p.log.WithFields(logrus.Fields{"event": "promotion_ordered", "server": best.ID, "received": best.Received.String(),
		"answered": len(replicas)}).Info("successor chosen; ordering its promotion")
	return p.requestPromotion(ctx)
}

// chooseSuccessor returns the replica to promote. It fails with errNoSuccessor if an
// acknowledged commit may be missing in the logs of the replicas that replied.
//
// A server that left has acknowledged no commit since. A log that reaches the position
// which the primary had after that holds everything that the server could hold, so its
// reply is not needed.
func (p *promotion) chooseSuccessor(replicas []succession.Replica) (succession.Replica, error) {
	needed := p.requiredReplies(p.holders.servers + p.holders.departed)
	if best, ok := succession.Successor(replicas, needed); ok {
		return best, nil
	}
	if p.holders.departed > 0 {
		best, ok := succession.Successor(replicas, p.requiredReplies(p.holders.servers))
		position, known := p.group.Freshness.LowestCovering(p.holders.departedAt)
		if ok && known && best.Received.Compare(position) >= 0 {
			return best, nil
		}
	}
	return succession.Replica{}, fmt.Errorf("%w: got %d replies, need %d, of which %d for servers that left", errNoSuccessor, len(replicas), needed, p.holders.departed)
}

// requiredReplies returns the number of replicas that must reply if so many servers may
// hold acknowledged commits. It guarantees that every commit that syncReplicas replicas
// received before it was acknowledged is in the log of one that replies.
func (p *promotion) requiredReplies(holders int) int {
	if p.syncReplicas == 0 {
		return 1
	}
	return max(holders-p.syncReplicas, 1)
}

// pausesReplicas reports whether replication is paused before the successor is
// chosen.
func (p *promotion) pausesReplicas() bool {
	return p.syncReplicas > 0 && p.reason != succession.PrimaryDraining
}

// resumeReplicas resumes replication after a promotion failed, because commits
// wait for the replicas.
func (p *promotion) resumeReplicas(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var commands sync.WaitGroup
	for _, pool := range p.replicas() {
		commands.Go(func() {
			if _, err := pool.SendCommand(ctx, statement.Statement{Kind: statement.Resume}); err != nil {
				p.log.WithFields(logrus.Fields{"event": "resume_failed", "server": pool.Server().ID}).WithError(err).
					Warn("replication could not be resumed; the replica may still be paused")
			}
		})
	}
	commands.Wait()
}

// replicas returns the candidates and the leaving replicas.
func (p *promotion) replicas() []*backend.Pool { return slices.Concat(p.candidates, p.leaving) }

// queryReplicas returns the status of the candidates and of the leaving replicas that
// reply. If commits wait for replicas, it pauses replication first, so that no commit is
// acknowledged after the choice that the successor lacks.
func (p *promotion) queryReplicas(ctx context.Context) []succession.Replica {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	command := statement.Statement{Kind: statement.Status}
	if p.pausesReplicas() {
		command = statement.Statement{Kind: statement.Pause, Term: p.term + 1}
	}
	type answer struct {
		replica *succession.Replica
		term    group.Term
	}
	replicas := p.replicas()
	answers := make(chan answer, len(replicas))
	for i, pool := range replicas {
		go func() {
			status, err := pool.SendCommand(ctx, command)
			if err != nil {
				answers <- answer{}
				return
			}
			a := answer{term: max(status.Term, status.Received.Term)}
			if p.revocation == nil || !status.Primary {
				// A replaced primary that has not noticed it cannot be promoted.
				server := pool.Server()
				a.replica = &succession.Replica{ID: server.ID, Received: status.Received, SameRegion: p.isSameRegion(server.Zone), Leaving: i >= len(p.candidates)}
			}
			answers <- a
		}()
	}
	var out []succession.Replica
	for range replicas {
		a := <-answers
		p.term = max(p.term, a.term)
		if a.replica != nil {
			out = append(out, *a.replica)
		}
	}
	return out
}

// demotePrimary makes a draining primary a replica, so that it accepts no more
// commits, and waits until a candidate has received everything that it
// committed.
func (p *promotion) demotePrimary(ctx context.Context, best succession.Replica) (succession.Replica, error) {
	if p.primary == nil {
		return best, errNoSuccessor
	}
	commandCtx, cancel := context.WithTimeout(ctx, commandTimeout)
	status, err := p.primary.SendCommand(commandCtx, statement.Statement{Kind: statement.Demote, Term: p.term + 1})
	cancel()
	if err != nil {
		p.log.WithField("event", "step_down_failed").WithError(err).Warn("draining primary did not accept the command to step down")
		return best, err
	}
	return p.awaitCatchUp(ctx, best, status.Received)
}

// awaitCatchUp waits until a candidate has received the log up to the position,
// for catchUpTimeout at most, and returns the best candidate. It fails with
// errNoSuccessor if commits wait for replicas and the candidate may lack one.
func (p *promotion) awaitCatchUp(ctx context.Context, best succession.Replica, position group.Position) (succession.Replica, error) {
	var err error
	until := time.Now().Add(catchUpTimeout)
	for best.Received.Compare(position) < 0 && time.Now().Before(until) {
		time.Sleep(catchUpPollInterval)
		var next succession.Replica
		if next, err = p.chooseSuccessor(p.queryReplicas(ctx)); err == nil {
			best = next
		}
	}
	if p.syncReplicas == 0 {
		return best, nil
	}
	return best, err
}

// revokePrimary makes all hosts stop using the primary, and returns the candidate
// with the longest log after that.
func (p *promotion) revokePrimary(ctx context.Context) (succession.Replica, error) {
	p.revocation.term = p.term
	if err := p.revocation.run(ctx); err != nil {
		return succession.Replica{}, err
	}
	best, err := p.chooseSuccessor(p.queryReplicas(ctx))
	if err != nil {
		return best, fmt.Errorf("after the revocation: %w", err)
	}
	if best, err = p.awaitCatchUp(ctx, best, p.revocation.finalPosition()); err != nil {
		return best, err
	}
	if !p.holdsDuty() {
		return best, fmt.Errorf("%w: promotion duty may have been taken over", errNotRevoked)
	}
	return best, nil
}

// requestPromotion repeats the order until its outcome is known, at most
// promoteAttempts times. A call without an answer may still be executed, so no
// other server may be named with the same token.
func (p *promotion) requestPromotion(ctx context.Context) error {
	var err error
	for try := range promoteAttempts {
		if try > 0 {
			time.Sleep(promoteRetryPause)
		}
		if p.holdsDuty != nil && !p.holdsDuty() {
			return fmt.Errorf("%w: promotion duty may have been taken over", errNotRevoked)
		}
		callCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
		err = p.promoter.Promote(callCtx, p.order)
		cancel()
		switch {
		case err == nil, errors.Is(err, objects.ErrRefused):
			return err
		case errors.Is(err, objects.ErrRateLimited), errors.Is(err, objects.ErrUnavailable):
		default:
			p.unresolved = true
		}
	}
	return err
}
