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
	reclaimDelay = 2 * confirmationValidity
	// unknownReclaimDelay is the same for a holder that this host has not heard
	// of, which may only mean that this host has just started.
	unknownReclaimDelay = 30 * time.Second
)

// errShareUnconfirmed refuses a connection that this host may no longer open.
var errShareUnconfirmed = errors.New("share of the connection limit is not confirmed")

// shareTarget is what a keeper is to hold.
type shareTarget struct {
	database *config.Database
	rank     int
}

// shareManager holds this host's part of one database's connections in the store,
// over all groups of that database: one in use, and those given up whose
// transactions still run. One shareManager per database is needed because the store
// knows this process as one holder.
type shareManager struct {
	c        *Controller
	database string
	target   atomic.Pointer[shareTarget]
	// share is the number of connections that all groups may open.
	share atomic.Int64
	// confirmedEpoch is the guard's epoch at the latest confirmation, confirmedAt
	// when that was sent.
	confirmedEpoch atomic.Uint64
	confirmedAt    atomic.Pointer[time.Time]
	wakeup         chan struct{}
	cancel         context.CancelFunc
	// resume lets run go on after it has reported that nothing is held.
	resume chan struct{}
	// removed says that the keeper holds nothing and was dropped.
	removed atomic.Bool

	mu sync.Mutex
	// groups are those with connections, the newest last.
	groups []*ownedGroup
	// reconciled is closed when a look at the store has ended.
	reconciled chan struct{}
	// confirmationWanted says that a dial waits for a confirmation.
	confirmationWanted bool

	// The rest is used by the goroutine of run.

	// writeInDoubt says that a write had no answer and may still take effect. The
	// next look writes in any case, which makes the late write conflict.
	writeInDoubt bool
	// deadSince maps holders, with count and confirmation, to when they were
	// first seen dead.
	deadSince map[shares.Holder]time.Time
}

func (c *Controller) newShareManager(database string) *shareManager {
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.ctx))
	m := &shareManager{
		c:          c,
		database:   database,
		wakeup:     make(chan struct{}, 1),
		resume:     make(chan struct{}, 1),
		cancel:     cancel,
		reconciled: make(chan struct{}),
		deadSince:  map[shares.Holder]time.Time{},
	}
	m.target.Store(&shareTarget{rank: failover.NotOwner})
	c.workers.Go(func() { m.run(ctx) })
	return m
}

// setTarget sets what the keeper is to setTarget; it looks at the store if that changed.
func (m *shareManager) setTarget(p shareTarget) {
	before := m.target.Swap(&p)
	if before.database == nil || before.rank != p.rank || before.database.ConnectionLimit != p.database.ConnectionLimit {
		m.wake()
	}
}

func (m *shareManager) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// run looks at the allocation until the part is what the rank asks for, and
// again when that changes. When nothing is held any more, it tells the control
// goroutine. It ends with ctx, after it has released what it can.
func (m *shareManager) run(ctx context.Context) {
	retry := shareRetryMin
	m.sleep(ctx, noDeadline)
	for ctx.Err() == nil {
		satisfied, err := m.reconcile(ctx)
		m.logClaimError(err)
		if err == nil && m.isIdle() {
			m.c.post(shareManagerIdle{m})
			m.awaitResume(ctx)
			continue
		}
		wait := retry
		retry = min(2*retry, shareRetryMax)
		switch {
		case errors.Is(err, platform.ErrConflict):
			wait = shareConflictRetry
		case err != nil:
		case satisfied:
			wait, retry = noDeadline, shareRetryMin
		case m.target.Load().rank == failover.NotOwner:
			wait, retry = shareRetryMin, shareRetryMin
		case len(m.deadSince) > 0:
			wait = min(wait, reclaimDelay/2)
		}
		if m.sleep(ctx, wait) {
			retry = shareRetryMin
		}
	}
	if !m.removed.Load() {
		m.release()
	}
}

// sleep reports whether it was ended by a kick.
func (m *shareManager) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-m.wakeup:
		return true
	case <-time.After(d):
		return false
	}
}

// isIdle reports whether nothing is held or asked for.
func (m *shareManager) isIdle() bool {
	return m.target.Load().rank == failover.NotOwner && m.share.Load() == 0 && m.openConnections() == 0
}

// awaitResume waits until the control goroutine wants the keeper again or drops it.
// Meanwhile no look is made: another keeper of the database may exist, and both
// write as the same holder.
func (m *shareManager) awaitResume(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-m.resume:
	}
}

func (m *shareManager) logClaimError(err error) {
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		m.c.log.WithField("database", m.database).WithField("event", "share_claim_failed").WithError(err).
			Warn("can't claim connections; trying again")
	}
}

// reconcile writes the allocation that this host wants and reports whether it got
// all of it.
func (m *shareManager) reconcile(ctx context.Context) (satisfied bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, shareCallTimeout)
	defer cancel()
	defer m.notifyWaiters()
	p := m.target.Load()
	limit := 0
	if p.database != nil {
		limit = p.database.ConnectionLimit
	}
	want := shares.TargetCount(limit, p.rank)
	// Lowered first, so that no connection is opened beyond what is written.
	m.lowerShare(want)
	epoch, started, force := m.c.guard.epoch.Load(), time.Now(), m.mustWrite()
	current, version, err := m.c.readAllocation(ctx, m.database)
	if err != nil {
		return false, err
	}
	m.lowerShare(current.Count(m.c.self()))
	next := m.plan(ctx, current, p, limit)
	if next.Count(m.c.self()) > 0 && force {
		next = next.Confirm(m.c.self(), current)
	}
	wrote, err := m.c.writeAllocation(ctx, m.database, current, next, version, force)
	m.writeInDoubt = err != nil && !errors.Is(err, platform.ErrConflict)
	if err != nil {
		return false, err
	}
	if wrote {
		m.confirmedAt.Store(&started)
		m.confirmedEpoch.Store(epoch)
		m.clearConfirmationRequest()
	}
	count := next.Count(m.c.self())
	// More than is wanted is recorded only until the connections are closed.
	m.share.Store(int64(min(count, want)))
	return count == want && p.rank != failover.NotOwner, nil
}

// mustWrite reports whether the next look must write even if nothing changes.
func (m *shareManager) mustWrite() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writeInDoubt || m.confirmationWanted || m.confirmedEpoch.Load() != m.c.guard.epoch.Load()
}

// clearConfirmationRequest ends the wish for a confirmation.
func (m *shareManager) clearConfirmationRequest() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmationWanted = false
}

// notifyWaiters wakes the dials that wait for the outcome of a look.
func (m *shareManager) notifyWaiters() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.reconciled)
	m.reconciled = make(chan struct{})
}

// plan computes the next allocation and lowers the share to it. Connections
// may be opened until the share is lowered, so they are counted again then.
func (m *shareManager) plan(ctx context.Context, current shares.Allocation, p *shareTarget, limit int) shares.Allocation {
	known := map[shares.Holder]bool{}
	isReclaimable := func(h shares.Holder) bool {
		if _, ok := known[h]; !ok {
			known[h] = m.isReclaimable(ctx, p, h)
		}
		return known[h]
	}
	for {
		next := shares.Plan(current, limit, m.c.self(), p.rank, m.openConnections(), isReclaimable)
		if !m.lowerShare(next.Count(m.c.self())) {
			return next
		}
	}
}

// lowerShare reports whether the share was above n.
func (m *shareManager) lowerShare(n int) bool {
	if m.share.Load() <= int64(n) {
		return false
	}
	m.share.Store(int64(n))
	return true
}

// openConnections counts the connections of all groups to the backend server that has most.
func (m *shareManager) openConnections() int {
	m.mu.Lock()
	groups := append([]*ownedGroup(nil), m.groups...)
	m.mu.Unlock()
	n := 0
	for _, g := range groups {
		n += g.Router.Open()
	}
	return n
}

func (m *shareManager) addGroup(g *ownedGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.groups = append(m.groups, g)
	m.updateOlderGroups()
}

// updateOlderGroups tells each group which others come before it. The lock is held.
func (m *shareManager) updateOlderGroups() {
	for i, g := range m.groups {
		older := append([]*ownedGroup(nil), m.groups[:i]...)
		g.older.Store(&older)
	}
}

func (m *shareManager) removeGroup(g *ownedGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, o := range m.groups {
		if o == g {
			m.groups = append(m.groups[:i:i], m.groups[i+1:]...)
			break
		}
	}
	m.updateOlderGroups()
}

// connectionLimit is what a group may open: the share, less what the groups before it
// still have. A group that was given up opens nothing.
func (g *ownedGroup) connectionLimit() int {
	if g.retired.Load() {
		return 0
	}
	n := int(g.shareManager.share.Load())
	if older := g.older.Load(); older != nil {
		for _, o := range *older {
			n -= o.Router.Open()
		}
	}
	return max(n, 0)
}

// isValid reports whether connections may be opened within the share.
func (m *shareManager) isValid(now time.Time) bool {
	g := &m.c.guard
	if g.isPaused(now) || m.confirmedEpoch.Load() != g.epoch.Load() {
		return false
	}
	at := m.confirmedAt.Load()
	return !g.isolated.Load() || at != nil && now.Sub(*at) < confirmationValidity
}

// awaitConfirmation returns when connections may be opened within the share, or the cause
// of ctx. It asks for a confirmation at most every shareRetryMin.
func (m *shareManager) awaitConfirmation(ctx context.Context) error {
	var asked time.Time
	for {
		changed, valid := m.requestConfirmation()
		if valid {
			return nil
		}
		if time.Since(asked) >= shareRetryMin {
			asked = time.Now()
			m.wake()
		}
		select {
		case <-changed:
		case <-time.After(shareRetryMin):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", errShareUnconfirmed, context.Cause(ctx))
		}
	}
}

// requestConfirmation reports whether the share is valid, else notes that a confirmation
// is wanted and returns a channel that is closed after the next look.
func (m *shareManager) requestConfirmation() (changed <-chan struct{}, valid bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isValid(time.Now()) {
		return nil, true
	}
	m.confirmationWanted = true
	return m.reconciled, false
}

// dialer opens connections while the share is valid. One that was being opened
// when the share came into doubt is closed at once.
func (m *shareManager) dialer(dial route.DialFunc) route.DialFunc {
	return func(ctx context.Context, t route.Target) (route.Conn, error) {
		if err := m.awaitConfirmation(ctx); err != nil {
			return nil, err
		}
		// The wait may have ended with a smaller share. This dial is counted.
		if int64(m.openConnections()) > m.share.Load() {
			return nil, errShareUnconfirmed
		}
		conn, err := dial(ctx, t)
		if err != nil {
			return nil, err
		}
		if !m.isValid(time.Now()) {
			_ = conn.Close()
			return nil, errShareUnconfirmed
		}
		return conn, nil
	}
}

// shareManagerIdle says that a keeper holds nothing and waits.
type shareManagerIdle struct{ manager *shareManager }

func (e shareManagerIdle) apply(c *Controller, _ time.Time) {
	m := e.manager
	if _, owned := c.groups[m.database]; owned {
		m.resume <- struct{}{}
		return
	}
	delete(c.shareManagers, m.database)
	m.removed.Store(true)
	m.cancel()
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

// isReclaimable reports whether a holder has been dead to this host for long enough,
// and no backend server has a connection of it left.
func (m *shareManager) isReclaimable(ctx context.Context, p *shareTarget, h shares.Holder) bool {
	delay, dead := m.c.presumedDead(h)
	if !dead || p.database == nil {
		delete(m.deadSince, h)
		return false
	}
	since, ok := m.deadSince[h]
	if !ok {
		since = time.Now()
		m.deadSince[h] = since
	}
	if time.Since(since) < delay || !m.c.hasNoConnections(ctx, p.database.Slots, h) {
		return false
	}
	delete(m.deadSince, h)
	m.c.log.WithField("database", m.database).WithField("event", "share_reclaimed").
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
	if !c.guard.mayReclaim.Load() {
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

// hasNoConnections reports whether no backend server has a connection of the
// holder. One that refuses connections has none; one that does not answer may
// have, since the network may be cut between here and there only.
func (c *Controller) hasNoConnections(ctx context.Context, slots []group.Slot, h shares.Holder) bool {
	label := upstream.Label(h.Host, strconv.FormatUint(h.Incarnation, 10))
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
func (m *shareManager) release() {
	ctx, cancel := context.WithTimeout(context.Background(), shareReleaseTimeout)
	defer cancel()
	m.share.Store(0)
	for {
		err := m.releaseOnce(ctx)
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
			m.c.log.WithField("database", m.database).WithField("event", "share_release_failed").WithError(err).
				Warn("can't release connections")
			return
		case <-time.After(wait):
		}
	}
}

func (m *shareManager) releaseOnce(ctx context.Context) error {
	current, version, err := m.c.readAllocation(ctx, m.database)
	if err != nil {
		return err
	}
	zero := func(shares.Holder) bool { return false }
	next := shares.Plan(current, 0, m.c.self(), failover.NotOwner, m.openConnections(), zero)
	_, err = m.c.writeAllocation(ctx, m.database, current, next, version, false)
	return err
}
