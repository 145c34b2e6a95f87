package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/succession"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// The timing of a promotion.
const (
	// orderTimeout bounds an order to a backend server, promoteTimeout one call
	// of the platform.
	commandTimeout    = 500 * time.Millisecond
	promoteTimeout    = 800 * time.Millisecond
	promoteAttempts   = 4
	promoteRetryPause = 150 * time.Millisecond
	// catchUpTimeout bounds the wait for the successor to receive what the
	// former primary committed before it stepped down.
	catchUpTimeout      = 600 * time.Millisecond
	catchUpPollInterval = 20 * time.Millisecond
	// lapsedDelay is how long a holder that cannot renew its lease leaves a
	// replacement to the host that may have taken the duty over.
	expiredLeaseDelay = 3 * time.Second
	// excludeTime is how long a server that could not be promoted is not chosen.
	exclusionPeriod = 3 * time.Second
)

// succeeding is what the holder knows of the promotions of one service.
type successionState struct {
	running bool
	// due is since when a replacement is due, zero while none is.
	dueSince      time.Time
	startedAt     time.Time
	refused       bool
	excludedUntil map[string]time.Time
	// open is the last order of which a call had no answer. It may be executed
	// until the platform has seen a higher token.
	unresolvedOrder objects.Promotion
}

// stepSuccession replaces primaries while this host holds the duty.
func (c *controller) stepSuccession() {
	if !c.lease.Holding() || c.draining || !c.serversListed {
		return
	}
	now := c.now()
	// After a suspension another host may hold the duty. While the store cannot
	// be reached, the fencing token alone decides.
	if !c.lease.Confirmed(now) && c.leaseErr == nil {
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

func (c *controller) successionView(name string, g *backend.Group, s *successionState) succession.View {
	h := g.Health()
	v := succession.View{
		Primary: h.Primary, Reachable: !h.Suspected, LiveHosts: c.hostCount, NoPrimarySince: h.NoPrimarySince,
		PromotionOrderedAt: s.startedAt, PromotionRefused: s.refused,
	}
	if h.Term == 0 {
		// No primary was ever seen here: it may be about to register.
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

// candidates returns the servers that may take over. While an order is open with
// the present token, only its server may be named again.
func (c *controller) candidates(g *backend.Group, s *successionState, primary string) []*backend.Pool {
	now := c.now()
	bound := s.unresolvedOrder.Server != "" && s.unresolvedOrder.Token == c.lease.Token()
	var out []*backend.Pool
	for _, p := range g.Pools() {
		server := p.Server()
		if bound && server.ID != s.unresolvedOrder.Server {
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

func (c *controller) startSuccession(g *backend.Group, s *successionState, v succession.View, reason succession.Reason) {
	h := g.Health()
	job := &promotion{
		group: g, reason: reason, primary: g.Primary(), term: h.Term, candidates: c.candidates(g, s, h.Primary),
		syncReplicas: c.configuration.Services[g.Name()].SyncReplicas, possibleCommitHolders: c.countPossibleCommitHolders(g.Name()),
		order:    objects.Promotion{Service: g.Name(), Holder: c.host, Token: c.lease.Token()},
		promoter: c.promoter, isSameRegion: c.isSameRegion,
		log: c.log.WithFields(logrus.Fields{"service": g.Name(), "reason": string(reason), "primary": v.Primary, "term": h.Term,
			"token": c.lease.Token(), "missing_hosts": v.MissingReports, "hosts": v.LiveHosts}),
	}
	s.running, s.startedAt, s.refused = true, c.now(), false
	job.log.WithField("event", "succession").Info("replacing the primary")
	c.runAsync(func(ctx context.Context) {
		err := job.run(ctx)
		c.post(ctx, func() { c.endSuccession(s, job, err) })
	})
}

func (c *controller) endSuccession(s *successionState, job *promotion, err error) {
	s.running = false
	if job.unresolved {
		s.unresolvedOrder = job.order
		c.lease.RaiseToken()
	}
	if err == nil {
		job.log.WithFields(logrus.Fields{"event": "promoted", "server": job.order.Server,
			"took_ms": c.now().Sub(s.startedAt).Milliseconds()}).Info("platform made a backend server the primary")
		return
	}
	job.log.WithFields(logrus.Fields{"event": "promotion_failed", "server": job.order.Server}).WithError(err).
		Warn("primary was not replaced")
	switch {
	case errors.Is(err, objects.ErrRefused):
		// Either the server is not running or another host holds the duty now: a
		// renewal of the lease tells before anything else is ordered.
		s.refused = true
		s.excludedUntil[job.order.Server] = c.now().Add(exclusionPeriod)
		c.lease.RequireRenewal()
	case errors.Is(err, errTooFewReplies):
		s.refused = true
	}
}

// near reports whether a zone lies in the region of this host.
func (c *controller) isSameRegion(zone string) bool { return c.zones[zone] == c.zones[c.zone] }

// promotion is one replacement of a primary.
type promotion struct {
	group      *backend.Group
	reason     succession.Reason
	primary    *backend.Pool
	term       group.Term
	candidates []*backend.Pool
	// sync is the number of replicas that hold an acknowledged commit, members the
	// number of servers, the primary included, whose logs may hold one.
	syncReplicas, possibleCommitHolders int
	order                               objects.Promotion
	promoter                            objects.Promoter
	isSameRegion                        func(zone string) bool
	log                                 *logrus.Entry
	// open is set when a call had no answer, so that it may still be executed.
	unresolved bool
}

var errTooFewReplies = errors.New("too few replicas answered")

func (p *promotion) run(ctx context.Context) error {
	err := p.replace(ctx)
	if err != nil && p.pausesReplicas() {
		p.resumeReplicas(ctx)
	}
	return err
}

func (p *promotion) replace(ctx context.Context) error {
	replicas := p.queryCandidates(ctx)
	best, ok := succession.Successor(replicas, p.requiredReplies())
	if !ok {
		return fmt.Errorf("%w: %d of %d", errTooFewReplies, len(replicas), p.requiredReplies())
	}
	if p.reason == succession.PrimaryDraining {
		var err error
		if best, err = p.demotePrimary(ctx, best); err != nil && p.syncReplicas > 0 {
			return err
		}
	}
	p.order.Server = best.ID
	p.log.WithFields(logrus.Fields{"event": "promotion_ordered", "server": best.ID, "received": best.Received.String(),
		"answered": len(replicas)}).Info("ordering a promotion")
	return p.callPlatform(ctx)
}

// needed is the number of replicas that must answer, so that each commit which
// sync of them had received before it was acknowledged is in one of their logs.
func (p *promotion) requiredReplies() int {
	if p.syncReplicas == 0 {
		return 1
	}
	return max(p.possibleCommitHolders-p.syncReplicas, 1)
}

// pauses reports whether replicas are stopped from receiving before the choice.
func (p *promotion) pausesReplicas() bool {
	return p.syncReplicas > 0 && p.reason != succession.PrimaryDraining
}

// resume lets replicas receive again after a promotion that was given up, since
// commits wait for them.
func (p *promotion) resumeReplicas(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var orders sync.WaitGroup
	for _, pool := range p.candidates {
		orders.Go(func() {
			if _, err := pool.SendCommand(ctx, statement.Statement{Kind: statement.Resume}); err != nil {
				p.log.WithFields(logrus.Fields{"event": "resume_failed", "server": pool.Server().ID}).WithError(err).
					Warn("replica may still be paused")
			}
		})
	}
	orders.Wait()
}

// ask reads the reports of the candidates. Where commits wait for replicas they
// are paused first, so that no commit can be acknowledged behind the choice.
func (p *promotion) queryCandidates(ctx context.Context) []succession.Replica {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	order := statement.Statement{Kind: statement.Status}
	if p.pausesReplicas() {
		order = statement.Statement{Kind: statement.Pause, Term: p.term + 1}
	}
	answers := make(chan *succession.Replica, len(p.candidates))
	for _, pool := range p.candidates {
		go func() {
			status, err := pool.SendCommand(ctx, order)
			if err != nil {
				answers <- nil
				return
			}
			server := pool.Server()
			answers <- &succession.Replica{ID: server.ID, Received: status.Received, SameRegion: p.isSameRegion(server.Zone)}
		}()
	}
	var out []succession.Replica
	for range p.candidates {
		if r := <-answers; r != nil {
			out = append(out, *r)
		}
	}
	return out
}

// stepDown makes a primary that is about to end a replica, so that it commits
// nothing more, and waits until a candidate has received all that it committed.
func (p *promotion) demotePrimary(ctx context.Context, best succession.Replica) (succession.Replica, error) {
	if p.primary == nil {
		return best, errTooFewReplies
	}
	orderCtx, cancel := context.WithTimeout(ctx, commandTimeout)
	status, err := p.primary.SendCommand(orderCtx, statement.Statement{Kind: statement.Demote, Term: p.term + 1})
	cancel()
	if err != nil {
		p.log.WithField("event", "step_down_failed").WithError(err).Warn("draining primary could not be asked to step down")
		return best, err
	}
	until := time.Now().Add(catchUpTimeout)
	for best.Received.Compare(status.Received) < 0 && time.Now().Before(until) {
		time.Sleep(catchUpPollInterval)
		if next, ok := succession.Successor(p.queryCandidates(ctx), 1); ok {
			best = next
		}
	}
	return best, nil
}

// promote repeats the order until its outcome is known. Without an answer it
// may still be executed, so only the same server is named again with the token.
func (p *promotion) callPlatform(ctx context.Context) error {
	var err error
	for try := range promoteAttempts {
		if try > 0 {
			time.Sleep(promoteRetryPause)
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
