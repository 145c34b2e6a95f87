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

// farDeadline stands for no deadline.
const farDeadline = time.Hour

// retirePoll is how often a group that was given up is checked for running
// transactions, which it lets reach their commit gate.
const retirePoll = 100 * time.Millisecond

// ownedGroup is a database that this host owns, with its goroutines.
type ownedGroup struct {
	board.Group
	database string
	keeper   *keeper
	// older are the groups of the same database whose transactions may still run.
	older atomic.Pointer[[]*ownedGroup]
	// retired says that the group opens no further connections.
	retired atomic.Bool
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// place is a host's part in a database.
type place struct {
	ref    config.DatabaseRef
	rank   int
	owners []membership.Member
}

// placeGroups starts and stops groups so that they match the ownership that
// follows from members and configuration.
func (c *Controller) placeGroups() {
	places := c.ownPlaces()
	for name, g := range c.groups {
		if _, ok := places[name]; !ok {
			c.retire(name, g)
		}
	}
	for name, p := range places {
		g, ok := c.groups[name]
		if ok && !slices.Equal(g.Ref.Database.Slots, p.ref.Database.Slots) {
			c.retire(name, g)
			ok = false
		}
		if !ok {
			g = c.startGroup(p.ref)
			c.groups[name] = g
		}
		c.update(g, p)
	}
}

func (c *Controller) ownPlaces() map[string]place {
	places := map[string]place{}
	if c.draining || !c.settled {
		return places
	}
	assignment := c.ownership.Assignment()
	for _, name := range c.ownership.OwnedBy(c.opts.Self.Name) {
		ref, ok := c.config.Database(name)
		if !ok {
			continue
		}
		owners := assignment.Owners(name)
		rank := slices.IndexFunc(owners, func(o membership.Member) bool { return o.Name == c.opts.Self.Name })
		places[name] = place{ref: ref, rank: rank, owners: owners}
	}
	return places
}

func (c *Controller) update(g *ownedGroup, p place) {
	rankChanged := g.Rank != p.rank
	g.Group.Ref = p.ref
	g.Group.Rank = p.rank
	g.Router.SetPolicy(c.policies[p.ref.Service.Name])
	g.Driver.Step(c.ctx, time.Now(), failover.OwnershipChanged{Rank: p.rank, HasPeer: len(p.owners) > 1})
	if rankChanged {
		c.logGroup(g).WithField("event", "own_database").WithField("rank", p.rank).Info("host owns the database")
	}
	g.keeper.hold(part{database: p.ref.Database, rank: p.rank})
}

func (c *Controller) logGroup(g *ownedGroup) *logrus.Entry {
	return c.log.WithField("database", g.database)
}

func (c *Controller) startGroup(ref config.DatabaseRef) *ownedGroup {
	ctx, cancel := context.WithCancel(c.ctx)
	g := &ownedGroup{database: ref.Database.Name, cancel: cancel}
	g.keeper = c.keeperOf(g.database)
	g.Ref = ref
	g.Rank = failover.NotOwner
	g.Group.Share = g.limit
	g.Tracker = replication.NewRunner(replication.Options{
		Client:          c.slots,
		Slots:           ref.Database.Slots,
		RefreshInterval: ref.Service.Failover.ProbeIdle.Std(),
		Observe:         func(o replication.Observation) { g.Driver.Observe(o) },
	})
	g.Router = c.newOwnerRouter(g)
	g.keeper.add(g)
	g.Driver = c.newDriver(g)
	g.done.Go(func() { _ = g.Tracker.Run(ctx) })
	return g
}

func (c *Controller) keeperOf(database string) *keeper {
	k, ok := c.keepers[database]
	if !ok {
		k = c.newKeeper(database)
		c.keepers[database] = k
	}
	return k
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
		Client: c.slots,
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
	}).Info("automation acted on the database")
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

// stepGroups lets the deadlines of the failover machines pass.
func (c *Controller) stepGroups(now time.Time) {
	for _, g := range c.groups {
		if next := g.Driver.NextDeadline(); !next.IsZero() && !now.Before(next) {
			g.Driver.Step(c.ctx, now, failover.Tick{})
		}
	}
}

func (c *Controller) untilDeadline(now time.Time) time.Duration {
	until := farDeadline
	for _, g := range c.groups {
		if next := g.Driver.NextDeadline(); !next.IsZero() {
			until = min(until, max(next.Sub(now), 0))
		}
	}
	return until
}

// askOtherOwner asks the other owner of a database how it sees the primary.
func (c *Controller) askOtherOwner(ctx context.Context, database string) (failover.PeerView, error) {
	v := c.board.View()
	for _, o := range v.Owners(database) {
		if o.Name == v.Self.Name {
			continue
		}
		resp, err := c.peers.Peer(o.PeerAddress).Observe(ctx, &peerapi.ObserveRequest{Database: database})
		if err != nil {
			return failover.PeerView{}, fmt.Errorf("ask owner %s: %w", o.Name, err)
		}
		return failover.PeerView{OK: resp.GetWatching(), Reachable: resp.GetPrimaryReachable(), Term: groupTerm(resp)}, nil
	}
	return failover.PeerView{}, nil
}

// retire gives a database up. Its transactions may end in the meantime, and
// the share shrinks as their connections close.
func (c *Controller) retire(name string, g *ownedGroup) {
	delete(c.groups, name)
	g.retired.Store(true)
	g.keeper.hold(part{database: g.Ref.Database, rank: failover.NotOwner})
	g.Driver.Step(c.ctx, time.Now(), failover.OwnershipChanged{Rank: failover.NotOwner})
	c.logGroup(g).WithField("event", "give_up_database").Info("host no longer owns the database")
	c.workers.Go(func() {
		g.Router.Close()
		g.waitUnused(c.ctx)
		g.finish()
		g.keeper.remove(g)
		g.keeper.wake()
	})
}

// waitUnused returns when the group has no connection left or ctx ends.
func (g *ownedGroup) waitUnused(ctx context.Context) {
	ticker := time.NewTicker(retirePoll)
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
	g.finish()
}

func (g *ownedGroup) finish() {
	g.cancel()
	g.done.Wait()
	g.Driver.Wait()
}
