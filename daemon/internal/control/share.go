package control

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/failover"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/shares"
	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

const (
	shareRetryMin = 500 * time.Millisecond
	// shareRetryMax bounds, with detection and reclaimDelay, the time until the
	// connections of a dead host are used again.
	shareRetryMax = 10 * time.Second
	// shareConflictRetry separates tries after another owner wrote first.
	shareConflictRetry = 50 * time.Millisecond
	// shareCallTimeout bounds one look at the allocation and the backend servers.
	shareCallTimeout = 5 * time.Second
	// shareReleaseTimeout bounds the release of shares during a shutdown.
	shareReleaseTimeout = 2 * time.Second
	// reclaimDelay is how long a holder must be dead here, without a write of
	// its own to the allocation, before its connections are reclaimed. It
	// leaves time for a refutation to arrive and for a confirmation to lapse.
	reclaimDelay = 2 * confirmValidity
	// unknownReclaimDelay is the same for a holder that this host has not heard
	// of, which may only mean that this host has just started.
	unknownReclaimDelay = 30 * time.Second
)

// errShareInDoubt refuses a connection that this host may no longer open.
var errShareInDoubt = errors.New("share of the connection limit is not confirmed")

// part is what a keeper is to hold.
type part struct {
	database *config.Database
	rank     int
}

// keeper holds this host's part of one database's connections in the store,
// over all groups of that database: one in use, and those given up whose
// transactions still run. One keeper per database is needed because the store
// knows this process as one holder.
type keeper struct {
	c        *Controller
	database string
	part     atomic.Pointer[part]
	// share is the number of connections that all groups may open.
	share atomic.Int64
	// confirmed is the guard's epoch at the latest confirmation, confirmedAt
	// when that was sent.
	confirmed   atomic.Uint64
	confirmedAt atomic.Pointer[time.Time]
	kick        chan struct{}
	cancel      context.CancelFunc
	// resume lets run go on after it has reported that nothing is held.
	resume chan struct{}
	// ended says that the keeper holds nothing and was dropped.
	ended atomic.Bool

	mu sync.Mutex
	// groups are those with connections, the newest last.
	groups []*ownedGroup
	// changed is closed when a look at the store has ended.
	changed chan struct{}
	// wanted says that a dial waits for a confirmation.
	wanted bool

	// The rest is used by the goroutine of run.

	// unsettled says that a write had no answer and may still take effect. The
	// next look writes in any case, which makes the late write conflict.
	unsettled bool
	// goneSince maps holders, with count and confirmation, to when they were
	// first seen dead.
	goneSince map[shares.Holder]time.Time
}

func (c *Controller) newKeeper(database string) *keeper {
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.ctx))
	k := &keeper{
		c:         c,
		database:  database,
		kick:      make(chan struct{}, 1),
		resume:    make(chan struct{}, 1),
		cancel:    cancel,
		changed:   make(chan struct{}),
		goneSince: map[shares.Holder]time.Time{},
	}
	k.part.Store(&part{rank: failover.NotOwner})
	c.workers.Go(func() { k.run(ctx) })
	return k
}

// hold sets what the keeper is to hold; it looks at the store if that changed.
func (k *keeper) hold(p part) {
	before := k.part.Swap(&p)
	if before.database == nil || before.rank != p.rank || before.database.ConnectionLimit != p.database.ConnectionLimit {
		k.wake()
	}
}

func (k *keeper) wake() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// run looks at the allocation until the part is what the rank asks for, and
// again when that changes. When nothing is held any more, it tells the control
// goroutine. It ends with ctx, after it has released what it can.
func (k *keeper) run(ctx context.Context) {
	retry := shareRetryMin
	k.sleep(ctx, farDeadline)
	for ctx.Err() == nil {
		satisfied, err := k.look(ctx)
		k.report(err)
		if err == nil && k.idle() {
			k.c.post(keeperIdle{k})
			k.parked(ctx)
			continue
		}
		wait := retry
		retry = min(2*retry, shareRetryMax)
		switch {
		case errors.Is(err, platform.ErrConflict):
			wait = shareConflictRetry
		case err != nil:
		case satisfied:
			wait, retry = farDeadline, shareRetryMin
		case k.part.Load().rank == failover.NotOwner:
			wait, retry = shareRetryMin, shareRetryMin
		case len(k.goneSince) > 0:
			wait = min(wait, reclaimDelay/2)
		}
		if k.sleep(ctx, wait) {
			retry = shareRetryMin
		}
	}
	if !k.ended.Load() {
		k.release()
	}
}

// sleep reports whether it was ended by a kick.
func (k *keeper) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-k.kick:
		return true
	case <-time.After(d):
		return false
	}
}

// idle reports whether nothing is held or asked for.
func (k *keeper) idle() bool {
	return k.part.Load().rank == failover.NotOwner && k.share.Load() == 0 && k.open() == 0
}

// parked waits until the control goroutine wants the keeper again or drops it.
// Meanwhile no look is made: another keeper of the database may exist, and both
// write as the same holder.
func (k *keeper) parked(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-k.resume:
	}
}

func (k *keeper) report(err error) {
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		k.c.log.WithField("database", k.database).WithField("event", "share_claim_failed").WithError(err).
			Warn("can't claim connections; trying again")
	}
}

// look writes the allocation that this host wants and reports whether it got
// all of it.
func (k *keeper) look(ctx context.Context) (satisfied bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, shareCallTimeout)
	defer cancel()
	defer k.announce()
	p := k.part.Load()
	limit := 0
	if p.database != nil {
		limit = p.database.ConnectionLimit
	}
	want := shares.TargetCount(limit, p.rank)
	// Lowered first, so that no connection is opened beyond what is written.
	k.lower(want)
	epoch, started, force := k.c.guard.epoch.Load(), time.Now(), k.forced()
	current, version, err := k.c.readAllocation(ctx, k.database)
	if err != nil {
		return false, err
	}
	k.lower(current.Count(k.c.self()))
	next := k.plan(ctx, current, p, limit)
	if next.Count(k.c.self()) > 0 && force {
		next = next.Confirm(k.c.self(), current)
	}
	wrote, err := k.c.writeAllocation(ctx, k.database, current, next, version, force)
	k.unsettled = err != nil && !errors.Is(err, platform.ErrConflict)
	if err != nil {
		return false, err
	}
	if wrote {
		k.confirmedAt.Store(&started)
		k.confirmed.Store(epoch)
		k.answer()
	}
	count := next.Count(k.c.self())
	// More than is wanted is recorded only until the connections are closed.
	k.share.Store(int64(min(count, want)))
	return count == want && p.rank != failover.NotOwner, nil
}

// forced reports whether the next look must write even if nothing changes.
func (k *keeper) forced() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.unsettled || k.wanted || k.confirmed.Load() != k.c.guard.epoch.Load()
}

// answer ends the wish for a confirmation.
func (k *keeper) answer() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.wanted = false
}

// announce wakes the dials that wait for the outcome of a look.
func (k *keeper) announce() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.changed)
	k.changed = make(chan struct{})
}

// plan computes the next allocation and lowers the share to it. Connections
// may be opened until the share is lowered, so they are counted again then.
func (k *keeper) plan(ctx context.Context, current shares.Allocation, p *part, limit int) shares.Allocation {
	known := map[shares.Holder]bool{}
	gone := func(h shares.Holder) bool {
		if _, ok := known[h]; !ok {
			known[h] = k.gone(ctx, p, h)
		}
		return known[h]
	}
	for {
		next := shares.Plan(current, limit, k.c.self(), p.rank, k.open(), gone)
		if !k.lower(next.Count(k.c.self())) {
			return next
		}
	}
}

// lower reports whether the share was above n.
func (k *keeper) lower(n int) bool {
	if k.share.Load() <= int64(n) {
		return false
	}
	k.share.Store(int64(n))
	return true
}

// open counts the connections of all groups to the backend server that has most.
func (k *keeper) open() int {
	k.mu.Lock()
	groups := append([]*ownedGroup(nil), k.groups...)
	k.mu.Unlock()
	n := 0
	for _, g := range groups {
		n += g.Router.MaxOpenConnections()
	}
	return n
}

func (k *keeper) add(g *ownedGroup) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.groups = append(k.groups, g)
	k.order()
}

// order tells each group which others come before it. The lock is held.
func (k *keeper) order() {
	for i, g := range k.groups {
		older := append([]*ownedGroup(nil), k.groups[:i]...)
		g.older.Store(&older)
	}
}

func (k *keeper) remove(g *ownedGroup) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, o := range k.groups {
		if o == g {
			k.groups = append(k.groups[:i:i], k.groups[i+1:]...)
			break
		}
	}
	k.order()
}

// limit is what a group may open: the share, less what the groups before it
// still have. A group that was given up opens nothing.
func (g *ownedGroup) limit() int {
	if g.retired.Load() {
		return 0
	}
	n := int(g.keeper.share.Load())
	if older := g.older.Load(); older != nil {
		for _, o := range *older {
			n -= o.Router.MaxOpenConnections()
		}
	}
	return max(n, 0)
}

// valid reports whether connections may be opened within the share.
func (k *keeper) valid(now time.Time) bool {
	g := &k.c.guard
	if g.paused(now) || k.confirmed.Load() != g.epoch.Load() {
		return false
	}
	at := k.confirmedAt.Load()
	return !g.isolated.Load() || at != nil && now.Sub(*at) < confirmValidity
}

// await returns when connections may be opened within the share, or the cause
// of ctx. It asks for a confirmation at most every shareRetryMin.
func (k *keeper) await(ctx context.Context) error {
	var asked time.Time
	for {
		changed, valid := k.request()
		if valid {
			return nil
		}
		if time.Since(asked) >= shareRetryMin {
			asked = time.Now()
			k.wake()
		}
		select {
		case <-changed:
		case <-time.After(shareRetryMin):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", errShareInDoubt, context.Cause(ctx))
		}
	}
}

// request reports whether the share is valid, else notes that a confirmation
// is wanted and returns a channel that is closed after the next look.
func (k *keeper) request() (changed <-chan struct{}, valid bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.valid(time.Now()) {
		return nil, true
	}
	k.wanted = true
	return k.changed, false
}

// dialer opens connections while the share is valid. One that was being opened
// when the share came into doubt is closed at once.
func (k *keeper) dialer(dial route.DialFunc) route.DialFunc {
	return func(ctx context.Context, t route.Target) (route.Conn, error) {
		if err := k.await(ctx); err != nil {
			return nil, err
		}
		// The wait may have ended with a smaller share. This dial is counted.
		if int64(k.open()) > k.share.Load() {
			return nil, errShareInDoubt
		}
		conn, err := dial(ctx, t)
		if err != nil {
			return nil, err
		}
		if !k.valid(time.Now()) {
			_ = conn.Close()
			return nil, errShareInDoubt
		}
		return conn, nil
	}
}

// keeperIdle says that a keeper holds nothing and waits.
type keeperIdle struct{ keeper *keeper }

func (e keeperIdle) apply(c *Controller, _ time.Time) {
	k := e.keeper
	if _, owned := c.groups[k.database]; owned {
		k.resume <- struct{}{}
		return
	}
	delete(c.keepers, k.database)
	k.ended.Store(true)
	k.cancel()
}

func (c *Controller) self() shares.Holder {
	return shares.Holder{Host: c.opts.Self.Name, Incarnation: c.opts.Self.Incarnation}
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

// writeAllocation puts next if it differs from current, or in any case if
// forced, and reports whether it did. After an error the share in force stays
// at the lower count, and the next try reads what became of it.
func (c *Controller) writeAllocation(ctx context.Context, database string, current, next shares.Allocation, version platform.Version, force bool) (bool, error) {
	before, err := current.Encode()
	if err != nil {
		return false, err
	}
	after, err := next.Encode()
	if err != nil || !force && string(before) == string(after) {
		return false, err
	}
	if _, err := c.opts.Store.Put(ctx, shares.Key(database), after, version); err != nil {
		return false, fmt.Errorf("write allocation of connections: %w", err)
	}
	return true, nil
}

// gone reports whether a holder has been dead to this host for long enough,
// and no backend server has a connection of it left.
func (k *keeper) gone(ctx context.Context, p *part, h shares.Holder) bool {
	delay, dead := k.c.presumedDead(h)
	if !dead || p.database == nil {
		delete(k.goneSince, h)
		return false
	}
	since, ok := k.goneSince[h]
	if !ok {
		since = time.Now()
		k.goneSince[h] = since
	}
	if time.Since(since) < delay || !k.c.noConnections(ctx, p.database.Slots, h) {
		return false
	}
	delete(k.goneSince, h)
	k.c.log.WithField("database", k.database).WithField("event", "share_reclaimed").
		WithField("holder", h.Host).WithField("count", h.Count).Info("connections of a dead host are reclaimed")
	return true
}

// presumedDead reports whether the process opens no connections any more as
// far as this host can tell, and for how long that must have been so.
func (c *Controller) presumedDead(h shares.Holder) (time.Duration, bool) {
	if h.Host == c.opts.Self.Name {
		// An earlier process of this host.
		return 0, !h.SameProcess(c.self())
	}
	if !c.guard.reclaims.Load() {
		return 0, false
	}
	for _, m := range c.board.View().Members {
		if m.Name != h.Host {
			continue
		}
		newer := m.Incarnation > h.Incarnation && !sameProcess(m, h)
		return reclaimDelay, newer || m.State == membership.Dead && m.Incarnation >= h.Incarnation
	}
	// Dead hosts are forgotten after a while.
	return unknownReclaimDelay, true
}

// sameProcess tells a member whose incarnation was raised by refutations from
// a restarted one: a restart starts with the time in microseconds.
func sameProcess(m membership.Member, h shares.Holder) bool {
	return m.Incarnation-h.Incarnation < uint64(time.Second/time.Microsecond)
}

// noConnections reports whether no backend server has a connection of the
// holder. One that refuses connections has none; one that does not answer may
// have, since the network may be cut between here and there only.
func (c *Controller) noConnections(ctx context.Context, slots []group.Slot, h shares.Holder) bool {
	label := upstream.ApplicationName(h.Host, strconv.FormatUint(h.Incarnation, 10))
	for _, slot := range slots {
		connections, err := c.slots.Connections(ctx, slot)
		if errors.Is(err, group.ErrUnreachable) && errors.Is(err, syscall.ECONNREFUSED) {
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

// release gives the connections back at the end of a shutdown. What it can't
// give back within its bound is reclaimed by the other owners.
func (k *keeper) release() {
	ctx, cancel := context.WithTimeout(context.Background(), shareReleaseTimeout)
	defer cancel()
	k.share.Store(0)
	for {
		err := k.releaseOnce(ctx)
		if err == nil {
			return
		}
		// A conflict is settled by the next read; a store that is down must not
		// be asked at that pace by every host that stops.
		wait := shareRetryMin
		if errors.Is(err, platform.ErrConflict) {
			wait = shareConflictRetry
		}
		select {
		case <-ctx.Done():
			k.c.log.WithField("database", k.database).WithField("event", "share_release_failed").WithError(err).
				Warn("can't release connections")
			return
		case <-time.After(wait):
		}
	}
}

func (k *keeper) releaseOnce(ctx context.Context) error {
	current, version, err := k.c.readAllocation(ctx, k.database)
	if err != nil {
		return err
	}
	none := func(shares.Holder) bool { return false }
	next := shares.Plan(current, 0, k.c.self(), failover.NotOwner, k.open(), none)
	_, err = k.c.writeAllocation(ctx, k.database, current, next, version, false)
	return err
}
