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
	// shareRetryMin is the delay before the first retry of a reconciliation. It
	// doubles with each further one, up to shareRetryMax.
	shareRetryMin = 500 * time.Millisecond
	// shareRetryMax, failure detection and reclaimDelay together bound the time
	// until the connections of a dead host are available to other hosts.
	shareRetryMax = 10 * time.Second
	// shareConflictRetry is the delay before a retry after a write conflict with
	// another owner.
	shareConflictRetry = 50 * time.Millisecond
	// shareCallTimeout bounds one reconciliation, with its calls to the store and
	// to the backend servers.
	shareCallTimeout = 5 * time.Second
	// shareReleaseTimeout bounds the release of shares during a shutdown.
	shareReleaseTimeout = 2 * time.Second
	// reclaimDelay is how long this host must consider a holder dead, without a
	// write of that holder to the allocation, before it reclaims the holder's
	// connections. It leaves time for a refutation to arrive and for the
	// holder's last confirmation to expire.
	reclaimDelay = 2 * confirmationValidity
	// unknownReclaimDelay replaces reclaimDelay for a holder that is not in the
	// membership table, which may only mean that this host has just started.
	unknownReclaimDelay = 30 * time.Second
)

// errShareUnconfirmed is returned by dials while it is uncertain whether this
// host still holds its share of the connection limit.
var errShareUnconfirmed = errors.New("share of the connection limit is not confirmed")

// shareTarget is the share that a shareManager tries to hold. It follows from
// the database's connection limit and the host's rank among the owners.
type shareTarget struct {
	database *config.Database
	rank     int
}

// shareManager claims and releases this host's share of one database's
// connections in the store. The share covers all groups of that database: the
// one in use, and retired ones whose transactions still run. There must be only
// one manager per database because the store knows this process as one holder.
type shareManager struct {
	c        *Controller
	database string
	target   atomic.Pointer[shareTarget]
	// share is the number of connections that all groups may open.
	share atomic.Int64
	// confirmedEpoch is the guard's epoch at the latest confirmation.
	confirmedEpoch atomic.Uint64
	// confirmedAt is the time when the latest confirmation was sent.
	confirmedAt atomic.Pointer[time.Time]
	wakeup      chan struct{}
	cancel      context.CancelFunc
	// resume restarts run after it has reported that nothing is held.
	resume chan struct{}
	// removed is set when the manager held nothing and the controller dropped it.
	removed atomic.Bool

	mu sync.Mutex
	// groups are the groups that may have connections, in order of creation.
	groups []*ownedGroup
	// reconciled is closed and replaced at the end of each reconciliation.
	reconciled chan struct{}
	// confirmationWanted is set while a dial waits for a confirmation.
	confirmationWanted bool

	// The fields below belong to the goroutine of run.

	// writeInDoubt is set after a write without an answer, which may still take
	// effect. The next reconciliation writes even if nothing changes, so that the
	// late write conflicts.
	writeInDoubt bool
	// deadSince maps holders to the time when they were first seen dead. The key
	// includes count and confirmation, so a write of the holder restarts the delay.
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

// setTarget sets the target and triggers a reconciliation if it changed.
func (m *shareManager) setTarget(target shareTarget) {
	before := m.target.Swap(&target)
	if before.database == nil || before.rank != target.rank || before.database.ConnectionLimit != target.database.ConnectionLimit {
		m.wake()
	}
}

func (m *shareManager) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// run reconciles the allocation until the share matches the target, and again
// when the target changes. When nothing is held any more, it notifies the
// control goroutine. It ends with ctx, after an attempt to release the share.
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

// sleep waits for d, a wakeup or the end of ctx, and reports whether it was
// ended by a wakeup.
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

// isIdle reports whether the host is not an owner and holds no connections.
func (m *shareManager) isIdle() bool {
	return m.target.Load().rank == failover.NotOwner && m.share.Load() == 0 && m.openConnections() == 0
}

// awaitResume waits until the control goroutine resumes the manager or removes
// it. Meanwhile it must not write to the store: another manager of the database
// may exist, and both write as the same holder.
func (m *shareManager) awaitResume(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-m.resume:
	}
}

func (m *shareManager) logClaimError(err error) {
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		m.c.log.WithField("database", m.database).WithField("event", "share_claim_failed").WithError(err).
			Warn("failed to claim connections; retrying")
	}
}

// reconcile writes the allocation that this host wants and reports whether the
// host is an owner and holds its full target.
func (m *shareManager) reconcile(ctx context.Context) (satisfied bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, shareCallTimeout)
	defer cancel()
	defer m.notifyWaiters()
	target := m.target.Load()
	limit := 0
	if target.database != nil {
		limit = target.database.ConnectionLimit
	}
	want := shares.TargetCount(limit, target.rank)
	// The share is lowered before the write, so that no connection is opened
	// beyond the stored count.
	m.lowerShare(want)
	epoch, started, force := m.c.guard.epoch.Load(), time.Now(), m.mustWrite()
	current, version, err := m.c.readAllocation(ctx, m.database)
	if err != nil {
		return false, err
	}
	m.lowerShare(current.Count(m.c.self()))
	next := m.plan(ctx, current, target, limit)
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
	// The stored count exceeds the target only until surplus connections close.
	m.share.Store(int64(min(count, want)))
	return count == want && target.rank != failover.NotOwner, nil
}

// mustWrite reports whether the next reconciliation must write even if the
// allocation does not change.
func (m *shareManager) mustWrite() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writeInDoubt || m.confirmationWanted || m.confirmedEpoch.Load() != m.c.guard.epoch.Load()
}

func (m *shareManager) clearConfirmationRequest() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmationWanted = false
}

// notifyWaiters wakes the dials that wait for the end of a reconciliation.
func (m *shareManager) notifyWaiters() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.reconciled)
	m.reconciled = make(chan struct{})
}

// plan computes the next allocation and lowers the share to it. Connections may
// be opened until the share is lowered, so it plans again after lowering.
func (m *shareManager) plan(ctx context.Context, current shares.Allocation, target *shareTarget, limit int) shares.Allocation {
	known := map[shares.Holder]bool{}
	isReclaimable := func(h shares.Holder) bool {
		if _, ok := known[h]; !ok {
			known[h] = m.isReclaimable(ctx, target, h)
		}
		return known[h]
	}
	for {
		next := shares.Plan(current, limit, m.c.self(), target.rank, m.openConnections(), isReclaimable)
		if !m.lowerShare(next.Count(m.c.self())) {
			return next
		}
	}
}

// lowerShare lowers the share to n and reports whether it was above n.
func (m *shareManager) lowerShare(n int) bool {
	if m.share.Load() <= int64(n) {
		return false
	}
	m.share.Store(int64(n))
	return true
}

// openConnections returns the sum over all groups of the number of connections
// to the backend server that has most.
func (m *shareManager) openConnections() int {
	m.mu.Lock()
	groups := append([]*ownedGroup(nil), m.groups...)
	m.mu.Unlock()
	n := 0
	for _, g := range groups {
		n += g.Router.MaxOpenConnections()
	}
	return n
}

func (m *shareManager) addGroup(g *ownedGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.groups = append(m.groups, g)
	m.updateOlderGroups()
}

// updateOlderGroups tells each group which groups are older. The caller must
// hold the lock.
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

// connectionLimit returns the number of connections that a group may have open:
// the share, less the open connections of older groups. It is 0 for a retired
// group.
func (g *ownedGroup) connectionLimit() int {
	if g.retired.Load() {
		return 0
	}
	n := int(g.shareManager.share.Load())
	if older := g.older.Load(); older != nil {
		for _, o := range *older {
			n -= o.Router.MaxOpenConnections()
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

// awaitConfirmation returns when connections may be opened within the share. It
// requests a confirmation at most every shareRetryMin. If ctx ends first, the
// error wraps errShareUnconfirmed and the cause of ctx.
func (m *shareManager) awaitConfirmation(ctx context.Context) error {
	var asked time.Time
	for {
		reconciled, valid := m.requestConfirmation()
		if valid {
			return nil
		}
		if time.Since(asked) >= shareRetryMin {
			asked = time.Now()
			m.wake()
		}
		select {
		case <-reconciled:
		case <-time.After(shareRetryMin):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", errShareUnconfirmed, context.Cause(ctx))
		}
	}
}

// requestConfirmation reports whether the share is valid. If it is not, it
// requests a confirmation and returns a channel that is closed after the next
// reconciliation.
func (m *shareManager) requestConfirmation() (reconciled <-chan struct{}, valid bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isValid(time.Now()) {
		return nil, true
	}
	m.confirmationWanted = true
	return m.reconciled, false
}

// dialer wraps dial so that connections are opened only while the share is
// valid. A connection that was being opened when the share became invalid is
// closed at once.
func (m *shareManager) dialer(dial route.DialFunc) route.DialFunc {
	return func(ctx context.Context, t route.Target) (route.Conn, error) {
		if err := m.awaitConfirmation(ctx); err != nil {
			return nil, err
		}
		// The share may have shrunk during the wait. The count includes this dial.
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

// shareManagerIdle is posted by a manager that holds nothing and waits for
// resume.
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

// self returns this process as a holder of shares.
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

// writeAllocation writes next if it differs from current or force is set, and
// reports whether it wrote. After an error the share stays at the lower count,
// and the next attempt reads the outcome from the store.
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

// isReclaimable reports whether this host has considered the holder dead for
// long enough and no backend server has a connection of the holder left.
func (m *shareManager) isReclaimable(ctx context.Context, target *shareTarget, h shares.Holder) bool {
	delay, dead := m.c.presumedDead(h)
	if !dead || target.database == nil {
		delete(m.deadSince, h)
		return false
	}
	since, ok := m.deadSince[h]
	if !ok {
		since = time.Now()
		m.deadSince[h] = since
	}
	if time.Since(since) < delay || !m.c.hasNoConnections(ctx, target.database.Slots, h) {
		return false
	}
	delete(m.deadSince, h)
	m.c.log.WithField("database", m.database).WithField("event", "share_reclaimed").
		WithField("holder", h.Host).WithField("count", h.Count).Info("reclaiming connections of a dead host")
	return true
}

// presumedDead reports whether, as far as this host can tell, the holder's
// process no longer opens connections, and for how long that must have been the
// case before its connections may be reclaimed.
func (c *Controller) presumedDead(h shares.Holder) (time.Duration, bool) {
	if h.Host == c.opts.Self.Name {
		// An earlier process of this host is dead, since this one has replaced it.
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
	// The membership table drops dead hosts after a while.
	return unknownReclaimDelay, true
}

// sameProcess distinguishes a member whose incarnation was raised by refutations
// from a restarted one. A refutation adds little to the incarnation, while a
// restarted process begins with the time in microseconds.
func sameProcess(m membership.Member, h shares.Holder) bool {
	return m.Incarnation-h.Incarnation < uint64(time.Second/time.Microsecond)
}

// hasNoConnections reports whether no backend server has a connection of the
// holder. A server that refuses connections has none. A server that does not
// answer may have some, since only the path from this host may be interrupted.
func (c *Controller) hasNoConnections(ctx context.Context, slots []group.Slot, h shares.Holder) bool {
	label := upstream.ApplicationName(h.Host, strconv.FormatUint(h.Incarnation, 10))
	for _, slot := range slots {
		connections, err := c.groupClient.Connections(ctx, slot)
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

// release returns the share to the store at the end of a shutdown. What cannot
// be released within shareReleaseTimeout is reclaimed by the other owners.
func (m *shareManager) release() {
	ctx, cancel := context.WithTimeout(context.Background(), shareReleaseTimeout)
	defer cancel()
	m.share.Store(0)
	for {
		err := m.releaseOnce(ctx)
		if err == nil {
			return
		}
		// A conflict is resolved by the next read, so it is retried quickly. A
		// store that is down must not get that rate from every stopping host.
		wait := shareRetryMin
		if errors.Is(err, platform.ErrConflict) {
			wait = shareConflictRetry
		}
		select {
		case <-ctx.Done():
			m.c.log.WithField("database", m.database).WithField("event", "share_release_failed").WithError(err).
				Warn("failed to release connections; other owners will reclaim them")
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
