package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/failover"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/replication"
	"github.com/gypsumgap/gypsumgap/daemon/internal/board"
)

// noDeadline is the wait when there is no deadline.
const noDeadline = time.Hour

// retirePollInterval is how often a retired group is checked for running
// transactions, which it lets reach their commit gate.
const retirePollInterval = 100 * time.Millisecond

// ownedGroup is a database that this host owns or has retired, with its
// goroutines.
type ownedGroup struct {
	board.Group
	database     string
	shareManager *shareManager
	// older are the groups of the same database that were created before this
	// one and whose transactions may still run.
	older atomic.Pointer[[]*ownedGroup]
	// retired is set when the group must open no further connections.
	retired atomic.Bool
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// placement is this host's role in a database that it owns.
type placement struct {
	ref config.DatabaseRef
	// rank is the index of this host in owners.
	rank int
	// owners are the owners of the database, ordered by rank.
	owners []membership.Member
}

// reconcileGroups starts and retires groups so that they match the ownership
// that follows from the members and the configuration.
func (c *Controller) reconcileGroups() {
	placements := c.ownPlacements()
	for name, g := range c.groups {
		if _, ok := placements[name]; !ok {
			c.retire(name, g)
		}
	}
	for name, p := range placements {
		g, ok := c.groups[name]
		if ok && !slices.Equal(g.Ref.Database.Slots, p.ref.Database.Slots) {
			c.retire(name, g)
			ok = false
		}
		if !ok {
			g = c.startGroup(p.ref)
			c.groups[name] = g
		}
		c.updateGroup(g, p)
	}
}

func (c *Controller) ownPlacements() map[string]placement {
	placements := map[string]placement{}
	if c.draining || !c.settled {
		return placements
	}
	assignment := c.ownership.Assignment()
	for _, name := range c.ownership.OwnedBy(c.opts.Self.Name) {
		ref, ok := c.config.Database(name)
		if !ok {
			continue
		}
		owners := assignment.Owners(name)
		rank := slices.IndexFunc(owners, func(o membership.Member) bool { return o.Name == c.opts.Self.Name })
		placements[name] = placement{ref: ref, rank: rank, owners: owners}
	}
	return placements
}

func (c *Controller) updateGroup(g *ownedGroup, p placement) {
	rankChanged := g.Rank != p.rank
	g.Group.Ref = p.ref
	g.Group.Rank = p.rank
	g.Router.SetPolicy(c.policies[p.ref.Service.Name])
	g.Driver.Step(c.ctx, time.Now(), failover.OwnershipChanged{Rank: p.rank, HasPeer: len(p.owners) > 1})
	if rankChanged {
		c.logGroup(g).WithField("event", "own_database").WithField("rank", p.rank).Info("host owns the database")
	}
	g.shareManager.setTarget(shareTarget{database: p.ref.Database, rank: p.rank})
}

func (c *Controller) logGroup(g *ownedGroup) *logrus.Entry {
	return c.log.WithField("database", g.database)
}

func (c *Controller) startGroup(ref config.DatabaseRef) *ownedGroup {
	ctx, cancel := context.WithCancel(c.ctx)
	g := &ownedGroup{database: ref.Database.Name, cancel: cancel}
	g.shareManager = c.shareManagerFor(g.database)
	g.Ref = ref
	g.Rank = failover.NotOwner
	g.Group.Share = g.connectionLimit
	g.Tracker = replication.NewRunner(replication.Options{
		Client:          c.groupClient,
		Slots:           ref.Database.Slots,
		RefreshInterval: ref.Service.Failover.ProbeIdle.Std(),
		Observe:         func(o replication.Observation) { g.Driver.Observe(o) },
	})
	g.Router = c.newOwnerRouter(g)
	g.shareManager.addGroup(g)
	g.Driver = c.newDriver(g)
	g.done.Go(func() { _ = g.Tracker.Run(ctx) })
	return g
}

func (c *Controller) shareManagerFor(database string) *shareManager {
	m, ok := c.shareManagers[database]
	if !ok {
		m = c.newShareManager(database)
		c.shareManagers[database] = m
	}
	return m
}

func (c *Controller) newDriver(g *ownedGroup) *failover.Driver {
	policy := g.Ref.Service.Failover
	return failover.NewDriver(failover.DriverOptions{
		Machine: failover.Config{
			Slots:        g.Ref.Database.Slots,
			ProbeIdle:    policy.ProbeIdle.Std(),
			ProbeSuspect: policy.ProbeSuspect.Std(),
			Misses:       policy.Misses,
			Rand:         newRand(c.opts.Rand.Uint64(), c.opts.Rand.Uint64()),
		},
		Client: c.groupClient,
		Post:   func(ev failover.Event) { c.post(groupEvent{g, ev}) },
		Hooks: failover.Hooks{
			AskPeer:    func(ctx context.Context) (failover.PeerView, error) { return c.askOtherOwner(ctx, g.database) },
			Hold:       func() { g.Router.Pause() },
			Drain:      func(ctx context.Context) { _ = g.Router.Quiesce(ctx) },
			Release:    func() { g.Router.Resume() },
			Refresh:    func(ctx context.Context, t group.Term) error { return g.Tracker.Refresh(ctx, t) },
			Record:     func(r failover.Record) { c.logRecord(g, r) },
			LastAnswer: func(slot int) time.Time { return g.Tracker.LastAnswer(slot) },
		},
	})
}

func (c *Controller) logRecord(g *ownedGroup, r failover.Record) {
	c.logGroup(g).WithFields(logrus.Fields{
		"event":  "failover_" + string(r.Action),
		"reason": r.Reason,
		"slot":   r.Slot,
		"term":   r.Term,
	}).Info("failover machine acted on the database")
}

// groupEvent is an event for the failover machine of a group.
type groupEvent struct {
	group *ownedGroup
	event failover.Event
}

func (e groupEvent) apply(c *Controller, now time.Time) {
	if c.groups[e.group.database] == e.group {
		e.group.Driver.Step(c.ctx, now, e.event)
	}
}

// stepGroups steps the failover machines whose deadline has passed.
func (c *Controller) stepGroups(now time.Time) {
	for _, g := range c.groups {
		if next := g.Driver.NextDeadline(); !next.IsZero() && !now.Before(next) {
			g.Driver.Step(c.ctx, now, failover.Tick{})
		}
	}
}

// untilDeadline returns the time until the earliest deadline of a failover
// machine, at least 0 and at most noDeadline.
func (c *Controller) untilDeadline(now time.Time) time.Duration {
	until := noDeadline
	for _, g := range c.groups {
		if next := g.Driver.NextDeadline(); !next.IsZero() {
			until = min(until, max(next.Sub(now), 0))
		}
	}
	return until
}

// askOtherOwner asks the other owner of a database for its view of the primary.
// The view is the zero value if there is no other owner.
func (c *Controller) askOtherOwner(ctx context.Context, database string) (failover.PeerView, error) {
	v := c.board.View()
	for _, o := range v.Owners(database) {
		if o.Name == v.Self.Name {
			continue
		}
		resp, err := c.peerClient.Peer(o.PeerAddress).Observe(ctx, &peerapi.ObserveRequest{Database: database})
		if err != nil {
			return failover.PeerView{}, fmt.Errorf("ask owner %s: %w", o.Name, err)
		}
		return failover.PeerView{OK: resp.GetWatching(), Reachable: resp.GetPrimaryReachable(), Term: groupTerm(resp)}, nil
	}
	return failover.PeerView{}, nil
}

// retire gives up the ownership of a database. Running transactions may finish,
// and the share shrinks as their connections close.
func (c *Controller) retire(name string, g *ownedGroup) {
	delete(c.groups, name)
	g.retired.Store(true)
	g.shareManager.setTarget(shareTarget{database: g.Ref.Database, rank: failover.NotOwner})
	g.Driver.Step(c.ctx, time.Now(), failover.OwnershipChanged{Rank: failover.NotOwner})
	c.logGroup(g).WithField("event", "give_up_database").Info("host no longer owns the database")
	c.workers.Go(func() {
		g.Router.Close()
		g.waitConnectionsClosed(c.ctx)
		g.stopGoroutines()
		g.shareManager.removeGroup(g)
		g.shareManager.wake()
	})
}

// waitConnectionsClosed returns when the group has no open connection or ctx
// ends.
func (g *ownedGroup) waitConnectionsClosed(ctx context.Context) {
	ticker := time.NewTicker(retirePollInterval)
	defer ticker.Stop()
	for g.Router.MaxOpenConnections() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (g *ownedGroup) stop() {
	g.Router.Close()
	g.stopGoroutines()
}

func (g *ownedGroup) stopGoroutines() {
	g.cancel()
	g.done.Wait()
	g.Driver.Wait()
}
