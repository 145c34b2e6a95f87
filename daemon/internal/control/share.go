package control

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/gypsumgap/gypsumgap/core/failover"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/shares"
	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

const (
	shareRetryMin = 500 * time.Millisecond
	shareRetryMax = 30 * time.Second
	// shareCallTimeout bounds one look at the allocation and the backend servers.
	shareCallTimeout = 5 * time.Second
	// shareReleaseTimeout bounds the release of a share during a shutdown.
	shareReleaseTimeout = 2 * time.Second
)

// keepShare holds this host's part of a database's connections. It calls the
// store only until the part is what the host's rank asks for, and again when
// ownership changes.
func (c *Controller) keepShare(ctx context.Context, g *ownedGroup) {
	retry := shareRetryMin
	for {
		satisfied, err := c.claimShare(ctx, g)
		if err != nil && ctx.Err() == nil {
			c.logGroup(g).WithField("event", "share_claim_failed").WithError(err).Warn("can't claim connections; trying again")
		}
		wait := retry
		retry = min(2*retry, shareRetryMax)
		if satisfied {
			wait, retry = farDeadline, shareRetryMin
		}
		select {
		case <-ctx.Done():
			c.releaseShare(g)
			return
		case <-g.kick:
			retry = shareRetryMin
		case <-time.After(wait):
		}
	}
}

func (c *Controller) self() shares.Holder {
	return shares.Holder{Host: c.opts.Self.Name, Incarnation: c.opts.Self.Incarnation}
}

// claimShare writes the allocation that this host wants and reports whether
// it got all of it.
func (c *Controller) claimShare(ctx context.Context, g *ownedGroup) (satisfied bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, shareCallTimeout)
	defer cancel()
	published, ok := c.board.View().Groups[g.database]
	if !ok {
		// The first view with this group is not published yet.
		return false, nil
	}
	limit := published.Ref.Database.ConnectionLimit
	want := shares.Want(limit, published.Rank)
	// Lowered first, so that no connection is opened beyond what is written.
	g.share.Store(min(g.share.Load(), int64(want)))
	current, version, err := c.readAllocation(ctx, g.database)
	if err != nil {
		return false, err
	}
	gone := func(h shares.Holder) bool { return c.holderGone(ctx, published.Ref.Database.Slots, h) }
	next := shares.Plan(current, limit, c.self(), published.Rank, g.Router.Open(), gone)
	if err := c.writeAllocation(ctx, g.database, current, next, version); err != nil {
		return false, err
	}
	count := next.Count(c.self())
	g.share.Store(int64(count))
	return count == want, nil
}

func (c *Controller) readAllocation(ctx context.Context, database string) (shares.Allocation, platform.Version, error) {
	obj, err := c.opts.Store.Get(ctx, shares.Key(database))
	if errors.Is(err, platform.ErrNotFound) {
		return shares.Allocation{}, 0, nil
	}
	if err != nil {
		return shares.Allocation{}, 0, fmt.Errorf("read allocation of connections: %w", err)
	}
	a, err := shares.Decode(obj.Value)
	return a, obj.Version, err
}

// writeAllocation puts next if it differs from current. After an error the
// share in force stays as it was, and the next try reads what became of it.
func (c *Controller) writeAllocation(ctx context.Context, database string, current, next shares.Allocation, version platform.Version) error {
	before, err := current.Encode()
	if err != nil {
		return err
	}
	after, err := next.Encode()
	if err != nil || string(before) == string(after) {
		return err
	}
	if _, err := c.opts.Store.Put(ctx, shares.Key(database), after, version); err != nil {
		return fmt.Errorf("write allocation of connections: %w", err)
	}
	return nil
}

// holderGone reports whether a holder is dead to the other hosts, or replaced
// by a newer process, and no backend server has a connection of it left. A
// backend server that refuses connections has none.
func (c *Controller) holderGone(ctx context.Context, slots []group.Slot, h shares.Holder) bool {
	if c.mayRun(h) {
		return false
	}
	label := upstream.Label(h.Host, strconv.FormatUint(h.Incarnation, 10))
	for _, slot := range slots {
		connections, err := c.slots.Connections(ctx, slot)
		if errors.Is(err, group.ErrUnreachable) {
			continue
		}
		if err != nil {
			return false
		}
		for _, conn := range connections {
			if conn.Application == label {
				return false
			}
		}
	}
	return true
}

// mayRun reports whether the process may still open connections.
func (c *Controller) mayRun(h shares.Holder) bool {
	for _, m := range c.board.View().Members {
		if m.Name == h.Host {
			return m.Incarnation < h.Incarnation || m.State != membership.Dead && c.sameProcess(m, h)
		}
	}
	// Dead hosts are forgotten after a while.
	return false
}

// sameProcess tells a member whose incarnation was raised by refutations from
// a restarted one: a restart starts with the time in microseconds.
func (c *Controller) sameProcess(m membership.Member, h shares.Holder) bool {
	return m.Incarnation-h.Incarnation < uint64(time.Second/time.Microsecond)
}

// releaseShare gives the connections back during a shutdown or after ownership
// moved. It does so once; otherwise the next owner reclaims them.
func (c *Controller) releaseShare(g *ownedGroup) {
	ctx, cancel := context.WithTimeout(context.Background(), shareReleaseTimeout)
	defer cancel()
	g.share.Store(0)
	current, version, err := c.readAllocation(ctx, g.database)
	if err == nil {
		none := func(shares.Holder) bool { return false }
		next := shares.Plan(current, 0, c.self(), failover.NotOwner, g.Router.Open(), none)
		err = c.writeAllocation(ctx, g.database, current, next, version)
	}
	if err != nil {
		c.logGroup(g).WithField("event", "share_release_failed").WithError(err).Warn("can't release connections")
	}
}
